//! The store after a loss of power: cut or spoilt anywhere, it opens with what was synced, or says that it does not.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::{fs, io};

use bytes::Bytes;
use redb::StorageBackend;
use sloeline_chain_replication::{DurableState, VoterSet, Write};
use sloeline_storage::{Store, exists, is_corrupt};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("sloeline-storage-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        Folder(path)
    }

    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn durable() -> DurableState {
    DurableState::founder(VoterSet::founders(&[([10, 0, 0, 1], 1).into()]))
}

fn row(key: &str, value: &str) -> (Bytes, Option<Bytes>) {
    let value = (!value.is_empty()).then(|| Bytes::copy_from_slice(value.as_bytes()));
    (Bytes::copy_from_slice(key.as_bytes()), value)
}

fn write(token: u64, rows: Vec<(Bytes, Option<Bytes>)>, replace: bool) -> Write {
    let mut durable = durable();
    durable.position.sequence = token;
    Write { token, durable, rows, replace_all: replace }
}

#[test]
fn writes_are_there_in_their_order_and_a_replacement_takes_all_others_away() {
    let folder = Folder::new("order");
    assert!(!exists(folder.path()).expect("a look"));
    let store = Store::create(folder.path(), &durable()).expect("a store");
    assert!(exists(folder.path()).expect("a look"));
    store
        .write(&[
            write(1, vec![row("a", "1"), row("b", "1")], false),
            write(2, vec![row("a", "2"), row("b", "")], false),
            write(3, vec![row("c", "3")], true),
            write(4, vec![row("d", "4")], false),
        ])
        .expect("a write");
    drop(store);
    let (_, durable, rows) = Store::open(folder.path()).expect("the store");
    let names: Vec<&[u8]> = rows.iter().map(|(key, _)| key.as_ref()).collect();
    assert_eq!((durable.position.sequence, names), (4, vec![&b"c"[..], b"d"]));
}

/// A disk that loses power: what was synced is there, of each later write all, nothing, or a first part.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Bytewise>>);

#[derive(Debug, Default)]
struct Bytewise {
    synced: Vec<u8>,
    seen: Vec<u8>,
    since: Vec<Change>,
}

#[derive(Debug)]
enum Change {
    Length(usize),
    Write(usize, Vec<u8>),
}

impl Change {
    fn apply(&self, to: &mut Vec<u8>) {
        match self {
            Change::Length(length) => to.resize(*length, 0),
            Change::Write(at, bytes) => {
                to.resize(to.len().max(at + bytes.len()), 0);
                to[*at..at + bytes.len()].copy_from_slice(bytes);
            }
        }
    }
}

impl Disk {
    fn lock(&self) -> std::sync::MutexGuard<'_, Bytewise> {
        self.0.lock().expect("no panic before")
    }

    fn change(&self, change: Change) {
        let mut disk = self.lock();
        change.apply(&mut disk.seen);
        disk.since.push(change);
    }

    /// What is there after a loss of power now.
    fn lose_power(&self, rng: &mut fastrand::Rng) -> Disk {
        let disk = self.lock();
        let mut left = disk.synced.clone();
        for change in &disk.since {
            match (rng.u8(..3), change) {
                (0, _) => {}
                (1, Change::Write(at, bytes)) => {
                    let torn = bytes[..rng.usize(..=bytes.len())].to_vec();
                    Change::Write(*at, torn).apply(&mut left);
                }
                (_, change) => change.apply(&mut left),
            }
        }
        Disk(Arc::new(Mutex::new(Bytewise { synced: left.clone(), seen: left, since: Vec::new() })))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.lock().seen.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let (disk, at) = (self.lock(), offset as usize);
        out.copy_from_slice(disk.seen.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::Length(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.lock();
        disk.synced = disk.seen.clone();
        disk.since.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write(offset as usize, data.to_vec()));
        Ok(())
    }
}

/// A write is there whole or not at all, and once it was told as synced it is there.
#[test]
fn after_a_loss_of_power_at_any_moment_a_store_holds_what_was_synced_and_nothing_by_halves() {
    let mut opened = 0;
    for seed in 0..150 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut disk = Disk::default();
        let mut store = Store::create_with_backend(disk.clone(), &durable()).expect("a store");
        let mut synced = 0;
        for round in 0..6 {
            let first = synced + 1;
            let last = synced + rng.u64(1..4);
            let mut images = Vec::new();
            for token in first..=last {
                // Each write says its number in three rows; one in four replaces all.
                let number = token.to_string();
                let rows = ["a", "b", "c"].map(|key| row(key, &number)).to_vec();
                images.push((synced, disk.lose_power(&mut rng)));
                store.write(&[write(token, rows, rng.u8(..4) == 0)]).expect("a write");
                synced = token;
                images.push((synced, disk.lose_power(&mut rng)));
            }
            let (least, image) = images.swap_remove(rng.usize(..images.len()));
            // The library's own end writes too; it is not heard of here.
            std::mem::forget(store);
            let (again, durable, rows) = Store::open_with_backend(image.clone())
                .unwrap_or_else(|e| panic!("seed {seed}, round {round}: {e:#}"));
            let held = durable.position.sequence;
            assert!(held >= least && held <= last, "seed {seed}: {held} of {least} to {last}");
            let expected = if held == 0 { 0 } else { 3 };
            assert_eq!(rows.len(), expected, "seed {seed}");
            assert!(rows.iter().all(|(_, v)| *v == held.to_string()), "seed {seed}: {rows:?} at {held}");
            opened += 1;
            (store, disk, synced) = (again, image, held);
        }
    }
    assert_eq!(opened, 900);
}

#[test]
fn a_file_that_is_spoilt_is_told_from_none_and_can_be_set_aside() {
    let folder = Folder::new("spoilt");
    drop(Store::create(folder.path(), &durable()).expect("a store"));
    let path = folder.path().join("signals.redb");
    let good = fs::read(&path).expect("the file");
    for (what, bytes) in [
        ("no store at all", b"no store at all".to_vec()),
        ("its first half", good[..good.len() / 2].to_vec()),
        ("zeroes", vec![0; good.len()]),
    ] {
        fs::write(&path, bytes).expect("a file");
        let why = Store::open(folder.path()).err().unwrap_or_else(|| panic!("{what} opens"));
        assert!(is_corrupt(&why), "{what}: {why:#}");
        assert!(exists(folder.path()).expect("a look"), "{what}");
    }
    sloeline_storage::quarantine(folder.path()).expect("a new name");
    assert!(!exists(folder.path()).expect("a look"));
}

#[test]
fn a_file_that_another_process_still_has_is_not_taken_for_a_spoilt_one() {
    let folder = Folder::new("open");
    let store = Store::create(folder.path(), &durable()).expect("a store");
    let why = Store::open(folder.path()).err().expect("it is open");
    assert!(!is_corrupt(&why), "{why:#}");
    drop(store);
    assert!(Store::open(folder.path()).is_ok());
}
