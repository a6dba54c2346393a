//! What holder and asker tell each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A configuration, as it was taken: the higher version holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its version.
    pub edition: u32,
    /// As the operator sent it.
    pub body: Bytes,
}

impl Config {
    /// What names it: its version and a digest of its body.
    pub fn base(&self) -> Base {
        Base { edition: self.edition, digest: digest(&self.body) }
    }
}

/// The digest by which bodies and transfers are known again.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Names a configuration that a difference is made against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Base {
    /// Its version.
    pub edition: u32,
    /// Of its body.
    pub digest: u64,
}

/// One configuration on its way, packed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// What it becomes.
    pub target: Base,
    /// Bytes of the body that it becomes.
    pub body_length: u64,
    /// What it is a difference to; nothing where it is whole.
    pub base: Option<Base>,
    /// Bytes that are carried.
    pub packed_length: u64,
    /// Of these bytes.
    pub packed_digest: u64,
}

/// Asks for a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRequest {
    /// What the asker has.
    pub base: Option<Base>,
    /// The transfer that it has begun, and how many bytes of it have arrived.
    #[serde(rename = "begun")]
    pub in_progress: Option<(Transfer, u64)>,
    /// Most bytes of a piece.
    #[serde(rename = "most")]
    pub max_bytes: u32,
}

/// Consecutive bytes of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Of which.
    pub transfer: Transfer,
    /// Where they begin.
    pub offset: u64,
    /// The bytes.
    pub bytes: Bytes,
}

/// The answer to a [`PieceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceAnswer {
    /// The next piece of the transfer that was begun, or the first piece of another one.
    Piece(Piece),
    /// Nothing newer is held.
    NothingNewer,
}
