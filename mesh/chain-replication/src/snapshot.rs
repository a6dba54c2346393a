//! The rows of the state with their digest, cheap snapshots of the rows, and the chunks in which a snapshot
//! is transferred from one replica to another while the chain continues to run.

use bytes::Bytes;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

use crate::identity::Position;

/// Approximate maximum size of a chunk, in bytes. A larger row is sent in a chunk of its own.
const MAX_CHUNK_BYTES: usize = 128 << 10;
/// Maximum number of snapshots open for receivers at once.
const MAX_OPEN_SNAPSHOTS: usize = 2;
/// A snapshot that no receiver has requested for this time is dropped, in milliseconds.
const SNAPSHOT_IDLE_TIMEOUT_MS: u64 = 10_000;

/// An order-independent digest of a set of rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64, u64);

impl Digest {
    /// Hash of a single row.
    fn row_hash(key: &[u8], value: &[u8]) -> u128 {
        let mut hasher = Xxh3::with_seed(xxh3_128(key) as u64);
        hasher.update(&(key.len() as u64).to_be_bytes());
        hasher.update(key);
        hasher.update(value);
        hasher.digest128()
    }

    /// The digest as one 128-bit sum of row hashes.
    fn sum(self) -> u128 {
        u128::from(self.0) << 64 | u128::from(self.1)
    }

    /// The digest for a 128-bit sum of row hashes.
    fn from_sum(sum: u128) -> Digest {
        Digest((sum >> 64) as u64, sum as u64)
    }

    /// Adds a row to the digest.
    fn add(&mut self, key: &[u8], value: &[u8]) {
        *self = Digest::from_sum(self.sum().wrapping_add(Digest::row_hash(key, value)));
    }

    /// Removes a row from the digest.
    fn remove(&mut self, key: &[u8], value: &[u8]) {
        *self = Digest::from_sum(self.sum().wrapping_sub(Digest::row_hash(key, value)));
    }
}

/// The rows of the state, sorted by key. Cloning is cheap because clones share the rows.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    /// The rows by key.
    rows: OrdMap<Bytes, Bytes>,
    /// The digest of all rows, kept up to date with every change.
    digest: Digest,
}

impl Rows {
    /// Inserts or replaces a row, or deletes it if `value` is `None`.
    pub fn set(&mut self, key: &Bytes, value: Option<&Bytes>) {
        let replaced = match value {
            Some(value) => {
                self.digest.add(key, value);
                self.rows.insert(key.clone(), value.clone())
            }
            None => self.rows.remove(key),
        };
        if let Some(replaced) = replaced {
            self.digest.remove(key, &replaced);
        }
    }

    /// The digest of all rows.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Iterates over all rows in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Bytes)> {
        self.rows.iter()
    }

    /// The rows after the key `after` that fit in one chunk, and whether no rows follow them.
    fn chunk(&self, after: Option<&Bytes>) -> (Vec<(Bytes, Bytes)>, bool) {
        use std::ops::Bound;
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rows = Vec::new();
        let mut bytes = 0;
        for (key, value) in self.rows.range::<_, Bytes>((from, Bound::Unbounded)) {
            bytes += key.len() + value.len();
            if bytes > MAX_CHUNK_BYTES && !rows.is_empty() {
                return (rows, false);
            }
            rows.push((key.clone(), value.clone()));
        }
        (rows, true)
    }
}

impl FromIterator<(Bytes, Bytes)> for Rows {
    fn from_iter<I: IntoIterator<Item = (Bytes, Bytes)>>(rows: I) -> Rows {
        let mut all = Rows::default();
        rows.into_iter().for_each(|(key, value)| all.set(&key, Some(&value)));
        all
    }
}

/// Identifies a snapshot by its position and its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    /// Position of the last update in the snapshot.
    pub position: Position,
    /// Timestamp of the last update in the snapshot.
    pub stamp: u64,
    /// The digest of all rows of the snapshot.
    pub digest: Digest,
}

/// A snapshot that receivers are fetching.
struct OpenSnapshot {
    /// Identifies the snapshot in chunks and cursors.
    id: SnapshotId,
    /// The rows at the time when the snapshot was opened.
    rows: Rows,
    /// Local time of the last request for a chunk, in milliseconds.
    last_used_at: u64,
}

/// A chunk of a snapshot to be sent.
pub struct SnapshotChunk {
    /// The snapshot to which the chunk belongs.
    pub id: SnapshotId,
    /// Rows in the order of their keys.
    pub rows: Vec<(Bytes, Bytes)>,
    /// Whether this is the last chunk of the snapshot.
    pub last: bool,
}

/// The snapshots that receivers are currently fetching.
#[derive(Default)]
pub struct OpenSnapshots {
    /// At most [`MAX_OPEN_SNAPSHOTS`] snapshots, in no particular order.
    open: Vec<OpenSnapshot>,
}

impl OpenSnapshots {
    /// The chunk after the key `after`, if the snapshot is still open.
    pub fn next_chunk(&mut self, now: u64, id: &SnapshotId, after: &Bytes) -> Option<SnapshotChunk> {
        let open = self.open.iter_mut().find(|open| open.id == *id)?;
        open.last_used_at = now;
        let (rows, last) = open.rows.chunk(Some(after));
        Some(SnapshotChunk { id: open.id, rows, last })
    }

    /// Opens a snapshot of `rows` and returns its first chunk. If too many snapshots are open, closes the
    /// least recently used.
    pub fn open(&mut self, now: u64, id: SnapshotId, rows: &Rows) -> SnapshotChunk {
        if !self.open.iter().any(|open| open.id == id) {
            if self.open.len() >= MAX_OPEN_SNAPSHOTS {
                let oldest = self.open.iter().enumerate().min_by_key(|(_, open)| open.last_used_at);
                let oldest = oldest.map(|(at, _)| at);
                oldest.map(|at| self.open.swap_remove(at));
            }
            self.open.push(OpenSnapshot { id, rows: rows.clone(), last_used_at: now });
        }
        let (rows, last) = rows.chunk(None);
        SnapshotChunk { id, rows, last }
    }

    /// Closes snapshots that no receiver has requested recently.
    pub fn expire(&mut self, now: u64) {
        self.open.retain(|open| now.saturating_sub(open.last_used_at) < SNAPSHOT_IDLE_TIMEOUT_MS);
    }
}

/// A snapshot that is being received.
pub struct SnapshotAssembly {
    /// The snapshot being received.
    id: SnapshotId,
    /// The rows received so far.
    rows: Rows,
    /// The last key received.
    after: Option<Bytes>,
}

/// The state of a received snapshot after a chunk was added.
pub enum AssemblyResult {
    /// Further chunks are needed.
    Partial(SnapshotAssembly),
    /// All rows have arrived and their digest matches.
    Complete(SnapshotId, Rows),
    /// All rows have arrived but their digest does not match: the transfer must restart.
    Corrupt,
}

impl SnapshotAssembly {
    /// Starts to receive a snapshot; no rows have arrived yet.
    pub fn new(id: SnapshotId) -> SnapshotAssembly {
        SnapshotAssembly { id, rows: Rows::default(), after: None }
    }

    /// The snapshot being received.
    pub fn id(&self) -> &SnapshotId {
        &self.id
    }

    /// The last key received.
    pub fn after(&self) -> Option<&Bytes> {
        self.after.as_ref()
    }

    /// The number of rows received.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no rows have been received.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Adds the next chunk. Rows that were already received are ignored, so a repeated chunk changes nothing.
    pub fn add_chunk(mut self, rows: Vec<(Bytes, Bytes)>, last: bool) -> AssemblyResult {
        for (key, value) in rows {
            if self.after.as_ref().is_none_or(|after| *after < key) {
                self.rows.set(&key, Some(&value));
                self.after = Some(key);
            }
        }
        match (last, self.rows.digest() == self.id.digest) {
            (false, _) => AssemblyResult::Partial(self),
            (true, true) => AssemblyResult::Complete(self.id, self.rows),
            (true, false) => AssemblyResult::Corrupt,
        }
    }
}
