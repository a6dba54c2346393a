//! Tests of the store after a power loss or file corruption: it opens with everything that was synced, or
//! reports that it is corrupt.

use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::{fs, io};

use bytes::Bytes;
use redb::StorageBackend;
use sloeline_chain_replication::{DurableState, VoterSet, Write};
use sloeline_storage::{Store, exists, is_corrupt};

/// A temporary folder that is removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    /// An empty folder with a unique name.
    fn new(name: &str) -> TempFolder {
        let path = std::env::temp_dir().join(format!("sloeline-storage-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        TempFolder(path)
    }

    /// The path of the folder.
    fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The durable state of a founder.
fn durable() -> DurableState {
    DurableState::founder(VoterSet::founders(&[([10, 0, 0, 1], 1).into()]))
}

/// A row; an empty value deletes the row.
fn row(key: &str, value: &str) -> (Bytes, Option<Bytes>) {
    let value = (!value.is_empty()).then(|| Bytes::copy_from_slice(value.as_bytes()));
    (Bytes::copy_from_slice(key.as_bytes()), value)
}

/// A write whose durable state has the token as its sequence number.
fn write(token: u64, rows: Vec<(Bytes, Option<Bytes>)>, replace_all: bool) -> Write {
    let mut durable = durable();
    durable.position.sequence = token;
    Write { token, durable, rows, replace_all }
}

#[test]
fn writes_apply_in_order_and_replace_all_deletes_earlier_rows() {
    let folder = TempFolder::new("order");
    assert!(!exists(folder.path()).expect("check for the store file"));
    let store = Store::create(folder.path(), &durable()).expect("create the store");
    assert!(exists(folder.path()).expect("check for the store file"));
    store
        .write(&[
            write(1, vec![row("a", "1"), row("b", "1")], false),
            write(2, vec![row("a", "2"), row("b", "")], false),
            write(3, vec![row("c", "3")], true),
            write(4, vec![row("d", "4")], false),
        ])
        .expect("write");
    drop(store);
    let (_, durable, rows) = Store::open(folder.path()).expect("open the store");
    let names: Vec<&[u8]> = rows.iter().map(|(key, _)| key.as_ref()).collect();
    assert_eq!((durable.position.sequence, names), (4, vec![&b"c"[..], b"d"]));
}

/// A storage backend that can lose power. Synced data is kept; each later write survives fully, partly or not
/// at all.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskContents>>);

/// The contents of a simulated disk.
#[derive(Debug, Default)]
struct DiskContents {
    /// The bytes that survive a power loss.
    synced: Vec<u8>,
    /// The bytes that reads return: everything written so far.
    current: Vec<u8>,
    /// Changes since the last sync.
    unsynced: Vec<Change>,
}

/// A change of the disk that is not synced yet.
#[derive(Debug)]
enum Change {
    /// The new length of the disk in bytes.
    Length(usize),
    /// Bytes written at an offset.
    Write(usize, Vec<u8>),
}

impl Change {
    /// Applies the change to the contents of a disk.
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
    /// Locks the contents.
    fn lock(&self) -> std::sync::MutexGuard<'_, DiskContents> {
        self.0.lock().expect("lock is not poisoned")
    }

    /// Applies a change that is not synced yet.
    fn change(&self, change: Change) {
        let mut disk = self.lock();
        change.apply(&mut disk.current);
        disk.unsynced.push(change);
    }

    /// The disk as it may be after a power loss at this moment.
    fn lose_power(&self, rng: &mut fastrand::Rng) -> Disk {
        let disk = self.lock();
        let mut left = disk.synced.clone();
        for change in &disk.unsynced {
            match (rng.u8(..3), change) {
                (0, _) => {}
                (1, Change::Write(at, bytes)) => {
                    let torn = bytes[..rng.usize(..=bytes.len())].to_vec();
                    Change::Write(*at, torn).apply(&mut left);
                }
                (_, change) => change.apply(&mut left),
            }
        }
        Disk(Arc::new(Mutex::new(DiskContents { synced: left.clone(), current: left, unsynced: Vec::new() })))
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.lock().current.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let (disk, at) = (self.lock(), offset as usize);
        out.copy_from_slice(disk.current.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.change(Change::Length(len as usize));
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.lock();
        disk.synced = disk.current.clone();
        disk.unsynced.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.change(Change::Write(offset as usize, data.to_vec()));
        Ok(())
    }
}

/// Each write must be stored completely or not at all, and it must be there once it was reported as synced.
#[test]
fn power_loss_keeps_synced_writes_and_no_partial_write() {
    let mut opened = 0;
    for seed in 0..150 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut disk = Disk::default();
        let mut store = Store::create_with_backend(disk.clone(), &durable()).expect("create the store");
        let mut synced = 0;
        for round in 0..6 {
            let first = synced + 1;
            let last = synced + rng.u64(1..4);
            let mut images = Vec::new();
            for token in first..=last {
                // Each write stores its number in three rows; one in four replaces all rows.
                let number = token.to_string();
                let rows = ["a", "b", "c"].map(|key| row(key, &number)).to_vec();
                images.push((synced, disk.lose_power(&mut rng)));
                store.write(&[write(token, rows, rng.u8(..4) == 0)]).expect("write");
                synced = token;
                images.push((synced, disk.lose_power(&mut rng)));
            }
            let (min_token, image) = images.swap_remove(rng.usize(..images.len()));
            // Dropping the store would write to the backend, as a clean shutdown does, so it is leaked
            // instead.
            std::mem::forget(store);
            let (again, durable, rows) = Store::open_with_backend(image.clone())
                .unwrap_or_else(|e| panic!("seed {seed}, round {round}: {e:#}"));
            let stored = durable.position.sequence;
            assert!(stored >= min_token && stored <= last, "seed {seed}: {stored} of {min_token} to {last}");
            let expected = if stored == 0 { 0 } else { 3 };
            assert_eq!(rows.len(), expected, "seed {seed}");
            assert!(rows.iter().all(|(_, v)| *v == stored.to_string()), "seed {seed}: {rows:?} at {stored}");
            opened += 1;
            (store, disk, synced) = (again, image, stored);
        }
    }
    assert_eq!(opened, 900);
}

#[test]
fn corrupt_file_is_detected_and_can_be_quarantined() {
    let folder = TempFolder::new("corrupt");
    drop(Store::create(folder.path(), &durable()).expect("create the store"));
    let path = folder.path().join("signals.redb");
    let valid = fs::read(&path).expect("read the file");
    for (description, bytes) in [
        ("not a store", b"no store at all".to_vec()),
        ("its first half", valid[..valid.len() / 2].to_vec()),
        ("zeroes", vec![0; valid.len()]),
    ] {
        fs::write(&path, bytes).expect("write the file");
        let error = Store::open(folder.path()).err().unwrap_or_else(|| panic!("{description} was opened"));
        assert!(is_corrupt(&error), "{description}: {error:#}");
        assert!(exists(folder.path()).expect("check for the store file"), "{description}");
    }
    sloeline_storage::quarantine(folder.path()).expect("rename the file");
    assert!(!exists(folder.path()).expect("check for the store file"));
}

#[test]
fn file_in_use_is_not_reported_as_corrupt() {
    let folder = TempFolder::new("open");
    let store = Store::create(folder.path(), &durable()).expect("create the store");
    let error = Store::open(folder.path()).err().expect("the store is already open");
    assert!(!is_corrupt(&error), "{error:#}");
    drop(store);
    assert!(Store::open(folder.path()).is_ok());
}
