//! The messages between the holder of a configuration and the process that requests it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A configuration in the form the operator submitted it. Of two configurations, the one with the higher version is in
/// force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version number of the configuration.
    pub edition: u32,
    /// The configuration as JSON, byte for byte as the operator submitted it.
    pub body: Bytes,
}

impl Config {
    /// Returns the identity of this configuration: its version and the digest of its body.
    pub fn id(&self) -> ConfigId {
        ConfigId { edition: self.edition, digest: digest(&self.body) }
    }
}

/// Computes the digest that identifies a configuration body or the compressed bytes of a transfer.
pub(crate) fn digest(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Identifies a configuration by version and content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ConfigId {
    /// Version number of the configuration.
    pub edition: u32,
    /// Digest of the configuration's body.
    pub digest: u64,
}

/// Describes the transfer of one compressed configuration. Two transfers with equal descriptions carry the same bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// The configuration that the transfer yields.
    pub target: ConfigId,
    /// Length in bytes of the target's body after decompression.
    pub body_length: u64,
    /// The configuration against which the target was compressed; `None` if the target was compressed on its own.
    pub base: Option<ConfigId>,
    /// Number of compressed bytes that the transfer carries.
    pub packed_length: u64,
    /// Digest of the compressed bytes.
    pub packed_digest: u64,
}

/// Requests the next piece of a configuration that is newer than the requester's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRequest {
    /// The newest configuration that the requester has.
    pub base: Option<ConfigId>,
    /// The transfer that the requester has in progress, and how many of its bytes have arrived.
    #[serde(rename = "begun")]
    pub in_progress: Option<(Transfer, u64)>,
    /// Maximum number of bytes in the piece.
    #[serde(rename = "most")]
    pub max_bytes: u32,
}

/// Consecutive bytes of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The transfer that these bytes belong to.
    pub transfer: Transfer,
    /// Offset of the first byte within the compressed bytes of the transfer.
    pub offset: u64,
    /// Compressed bytes of the transfer, starting at `offset`.
    pub bytes: Bytes,
}

/// The answer to a [`PieceRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceAnswer {
    /// The next piece of the transfer in progress, or the first piece of another transfer.
    Piece(Piece),
    /// The holder has no configuration newer than the requester's.
    NothingNewer,
}
