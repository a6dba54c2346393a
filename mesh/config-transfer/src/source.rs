//! The holder's side of a transfer: the newest configurations, and a cache of their compressed transfers.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;

use crate::encoding::pack;
use crate::message::{Config, ConfigId, Piece, PieceAnswer, PieceRequest, Transfer, digest};
use crate::metrics;

/// Maximum number of configuration versions kept as bases for differences, including the newest.
const MAX_VERSIONS: usize = 8;
/// Maximum total bytes of the configuration versions kept besides the newest.
const MAX_OLDER_VERSION_BYTES: usize = 4 << 20;
/// Maximum number of compressed transfers in the cache.
const MAX_CACHED_TRANSFERS: usize = 16;
/// Maximum total bytes of the cached transfers besides the most recently used one.
const MAX_OLDER_TRANSFER_BYTES: usize = 4 << 20;
/// Maximum number of bytes in a piece, whatever the requester allows.
pub const MAX_PIECE_BYTES: u32 = 256 << 10;

/// A configuration and its identity, computed once.
struct HeldVersion {
    id: ConfigId,
    config: Rc<Config>,
}

/// A transfer and its compressed bytes.
struct PackedTransfer {
    transfer: Transfer,
    bytes: Bytes,
}

/// The configurations that a process can send to others.
#[derive(Default)]
pub struct Source {
    /// The kept configurations, from oldest to newest.
    versions: VecDeque<HeldVersion>,
    /// Cache of compressed transfers; the most recently used is at the back.
    transfers: VecDeque<PackedTransfer>,
}

impl Source {
    /// Adds a configuration, which must be newer than all added before.
    pub fn add(&mut self, config: Rc<Config>) {
        self.versions.push_back(HeldVersion { id: config.id(), config });
        let older_bytes = |versions: &VecDeque<HeldVersion>| -> usize {
            versions.iter().rev().skip(1).map(|version| version.config.body.len()).sum()
        };
        while self.versions.len() > MAX_VERSIONS || older_bytes(&self.versions) > MAX_OLDER_VERSION_BYTES {
            self.versions.pop_front();
        }
    }

    /// Returns the next piece of the transfer that the requester has in progress if it is still cached, else the first
    /// piece of a transfer of the newest configuration.
    pub fn answer(&mut self, request: &PieceRequest) -> PieceAnswer {
        if let Some((transfer, received)) = &request.in_progress
            && let Some(packed) = self.find_cached(|cached| cached == transfer)
        {
            return PieceAnswer::Piece(piece(packed, *received, request.max_bytes));
        }
        match self.transfer_of_newest(request.base) {
            Some(packed) => PieceAnswer::Piece(piece(packed, 0, request.max_bytes)),
            None => PieceAnswer::NothingNewer,
        }
    }

    /// Returns a transfer of the newest configuration, as the difference to `base` if that version is still held. `None` if
    /// `base` is at least as new.
    fn transfer_of_newest(&mut self, base: Option<ConfigId>) -> Option<&PackedTransfer> {
        let newest = self.versions.back()?;
        if base.is_some_and(|base| base.edition >= newest.id.edition) {
            return None;
        }
        let target = newest.id;
        let held_base = base.filter(|base| self.versions.iter().any(|version| version.id == *base));
        let wanted = |transfer: &Transfer| transfer.target == target && transfer.base == held_base;
        if self.transfers.iter().all(|packed| !wanted(&packed.transfer)) {
            let packed = self.pack_newest(held_base)?;
            self.transfers.push_back(packed);
            self.evict_transfers();
        }
        self.find_cached(wanted)
    }

    /// Compresses the newest configuration, against `base` if one is given.
    fn pack_newest(&self, base: Option<ConfigId>) -> Option<PackedTransfer> {
        let newest = self.versions.back()?;
        let base_version = self.versions.iter().find(|version| Some(version.id) == base);
        let base_body = base_version.map(|version| version.config.body.clone()).unwrap_or_default();
        let bytes = pack(&base_body, &newest.config.body).ok()?;
        metrics::TRANSFERS_PACKED.increment();
        let transfer = Transfer {
            target: newest.id,
            body_length: newest.config.body.len() as u64,
            base,
            packed_length: bytes.len() as u64,
            packed_digest: digest(&bytes),
        };
        Some(PackedTransfer { transfer, bytes })
    }

    /// Finds a cached transfer and marks it as the most recently used.
    fn find_cached(&mut self, wanted: impl Fn(&Transfer) -> bool) -> Option<&PackedTransfer> {
        let index = self.transfers.iter().position(|packed| wanted(&packed.transfer))?;
        let packed = self.transfers.remove(index)?;
        self.transfers.push_back(packed);
        self.transfers.back()
    }

    /// Evicts the least recently used transfers until the cache is within its limits.
    fn evict_transfers(&mut self) {
        let older_bytes = |transfers: &VecDeque<PackedTransfer>| -> usize {
            transfers.iter().rev().skip(1).map(|packed| packed.bytes.len()).sum()
        };
        while self.transfers.len() > MAX_CACHED_TRANSFERS
            || older_bytes(&self.transfers) > MAX_OLDER_TRANSFER_BYTES
        {
            self.transfers.pop_front();
        }
    }
}

/// Cuts the piece at `offset` out of a transfer, with at least 1 and at most `max_bytes` bytes if any are left.
fn piece(packed: &PackedTransfer, offset: u64, max_bytes: u32) -> Piece {
    let length = packed.bytes.len();
    let from = usize::try_from(offset).unwrap_or(length).min(length);
    let to = from.saturating_add(max_bytes.clamp(1, MAX_PIECE_BYTES) as usize).min(length);
    metrics::PIECE_BYTES_SENT.add((to - from) as u64);
    Piece { transfer: packed.transfer, offset: from as u64, bytes: packed.bytes.slice(from..to) }
}
