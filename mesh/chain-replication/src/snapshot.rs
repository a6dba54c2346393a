//! The rows of the state: their digest, snapshots of them that cost nothing to take, and the pieces in which a snapshot
//! moves from one replica to another while the chain runs.

use bytes::Bytes;
use imbl::OrdMap;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_128};

use crate::identity::Position;

/// About the most bytes of one piece; a larger row is a piece of its own.
const PIECE_BYTES: usize = 128 << 10;
/// Most snapshots that are kept for receivers at once.
const MOST_OPEN: usize = 2;
/// A snapshot that nobody has asked for during so many milliseconds is dropped.
const IDLE: u64 = 10_000;

/// A digest over all rows, whatever the order in which they came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest(u64, u64);

impl Digest {
    fn of(key: &[u8], value: &[u8]) -> u128 {
        let mut hasher = Xxh3::with_seed(xxh3_128(key) as u64);
        hasher.update(&(key.len() as u64).to_be_bytes());
        hasher.update(key);
        hasher.update(value);
        hasher.digest128()
    }

    fn sum(self) -> u128 {
        u128::from(self.0) << 64 | u128::from(self.1)
    }

    fn from_sum(sum: u128) -> Digest {
        Digest((sum >> 64) as u64, sum as u64)
    }

    fn add(&mut self, key: &[u8], value: &[u8]) {
        *self = Digest::from_sum(self.sum().wrapping_add(Digest::of(key, value)));
    }

    fn remove(&mut self, key: &[u8], value: &[u8]) {
        *self = Digest::from_sum(self.sum().wrapping_sub(Digest::of(key, value)));
    }
}

/// The rows, in the order of their keys. A clone shares them and costs nothing.
#[derive(Clone, Debug, Default)]
pub struct Rows {
    rows: OrdMap<Bytes, Bytes>,
    digest: Digest,
}

impl Rows {
    /// Puts a row in, or takes it out.
    pub fn set(&mut self, key: &Bytes, value: Option<&Bytes>) {
        let before = match value {
            Some(value) => {
                self.digest.add(key, value);
                self.rows.insert(key.clone(), value.clone())
            }
            None => self.rows.remove(key),
        };
        if let Some(before) = before {
            self.digest.remove(key, &before);
        }
    }

    /// The digest over all of them.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// All rows.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Bytes)> {
        self.rows.iter()
    }

    /// Rows after a key that fit one piece, and whether these are the last.
    fn piece(&self, after: Option<&Bytes>) -> (Vec<(Bytes, Bytes)>, bool) {
        use std::ops::Bound;
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rows = Vec::new();
        let mut bytes = 0;
        for (key, value) in self.rows.range::<_, Bytes>((from, Bound::Unbounded)) {
            bytes += key.len() + value.len();
            if bytes > PIECE_BYTES && !rows.is_empty() {
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

/// Which snapshot: of which position, and with which rows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    /// The position of its last update.
    pub position: Position,
    /// The stamp of that update.
    pub stamp: u64,
    /// The digest over all its rows.
    pub digest: Digest,
}

/// A snapshot that is being handed out.
struct Open {
    id: SnapshotId,
    rows: Rows,
    used_at: u64,
}

/// A piece that is handed out.
pub struct Piece {
    /// Its snapshot.
    pub id: SnapshotId,
    /// Rows in the order of their keys.
    pub rows: Vec<(Bytes, Bytes)>,
    /// No row follows.
    pub last: bool,
}

/// Snapshots that are being handed out.
#[derive(Default)]
pub struct OpenSnapshots {
    open: Vec<Open>,
}

impl OpenSnapshots {
    /// The next piece of a snapshot that is still open.
    pub fn resume(&mut self, now: u64, id: &SnapshotId, after: &Bytes) -> Option<Piece> {
        let open = self.open.iter_mut().find(|open| open.id == *id)?;
        open.used_at = now;
        let (rows, last) = open.rows.piece(Some(after));
        Some(Piece { id: open.id, rows, last })
    }

    /// Opens a snapshot of these rows and gives its first piece. The one that was used longest ago gives way.
    pub fn begin(&mut self, now: u64, id: SnapshotId, rows: &Rows) -> Piece {
        if !self.open.iter().any(|open| open.id == id) {
            if self.open.len() >= MOST_OPEN {
                let oldest = self.open.iter().enumerate().min_by_key(|(_, open)| open.used_at);
                let oldest = oldest.map(|(at, _)| at);
                oldest.map(|at| self.open.swap_remove(at));
            }
            self.open.push(Open { id, rows: rows.clone(), used_at: now });
        }
        let (rows, last) = rows.piece(None);
        Piece { id, rows, last }
    }

    /// Drops what nobody asks for any more.
    pub fn expire(&mut self, now: u64) {
        self.open.retain(|open| now.saturating_sub(open.used_at) < IDLE);
    }
}

/// A snapshot that is being received.
pub struct Assembly {
    id: SnapshotId,
    rows: Rows,
    after: Option<Bytes>,
}

/// What became of a piece.
pub enum Assembled {
    /// More of them are needed.
    Partial(Assembly),
    /// All rows are here, and their digest agrees.
    Whole(SnapshotId, Rows),
    /// All rows are here, and their digest does not agree: begin anew.
    Corrupt,
}

impl Assembly {
    /// Nothing of it is here yet.
    pub fn new(id: SnapshotId) -> Assembly {
        Assembly { id, rows: Rows::default(), after: None }
    }

    /// Which snapshot it is.
    pub fn id(&self) -> &SnapshotId {
        &self.id
    }

    /// The last key that is here.
    pub fn after(&self) -> Option<&Bytes> {
        self.after.as_ref()
    }

    /// How many rows are here.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Takes the next piece. One that came before changes nothing.
    pub fn take(mut self, rows: Vec<(Bytes, Bytes)>, last: bool) -> Assembled {
        for (key, value) in rows {
            if self.after.as_ref().is_none_or(|after| *after < key) {
                self.rows.set(&key, Some(&value));
                self.after = Some(key);
            }
        }
        match (last, self.rows.digest() == self.id.digest) {
            (false, _) => Assembled::Partial(self),
            (true, true) => Assembled::Whole(self.id, self.rows),
            (true, false) => Assembled::Corrupt,
        }
    }
}
