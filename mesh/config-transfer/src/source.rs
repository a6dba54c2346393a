//! The holder's part: the last versions, and the transfers that were made of them.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;

use crate::encoding::pack;
use crate::message::{Base, Config, Piece, PieceAnswer, PieceRequest, Transfer, digest};
use crate::metrics;

/// Versions that are kept to make differences against, the newest included.
const MOST_VERSIONS: usize = 8;
/// Bytes of the versions that are kept besides the newest.
const MOST_VERSION_BYTES: usize = 4 << 20;
/// Packed transfers that are kept, those used last.
const MOST_TRANSFERS: usize = 16;
/// Bytes of the packed transfers that are kept besides the one used last.
const MOST_TRANSFER_BYTES: usize = 4 << 20;
/// Most bytes of a piece, whatever is asked for.
pub const MOST_PIECE: u32 = 256 << 10;

struct Version {
    base: Base,
    config: Rc<Config>,
}

struct Packed {
    transfer: Transfer,
    bytes: Bytes,
}

/// What a process can hand on.
#[derive(Default)]
pub struct Source {
    /// The newest is the last.
    versions: VecDeque<Version>,
    /// The one used last is the last.
    transfers: VecDeque<Packed>,
}

impl Source {
    /// Holds a configuration that is newer than all before.
    pub fn hold(&mut self, config: Rc<Config>) {
        self.versions.push_back(Version { base: config.base(), config });
        let older_bytes = |versions: &VecDeque<Version>| -> usize {
            versions.iter().rev().skip(1).map(|version| version.config.body.len()).sum()
        };
        while self.versions.len() > MOST_VERSIONS || older_bytes(&self.versions) > MOST_VERSION_BYTES {
            self.versions.pop_front();
        }
    }

    /// The next piece for somebody who has and has begun this.
    pub fn answer(&mut self, request: &PieceRequest) -> PieceAnswer {
        if let Some((transfer, received)) = &request.in_progress
            && let Some(packed) = self.find(|known| known == transfer)
        {
            return PieceAnswer::Piece(piece(packed, *received, request.max_bytes));
        }
        match self.begin(request.base) {
            Some(packed) => PieceAnswer::Piece(piece(packed, 0, request.max_bytes)),
            None => PieceAnswer::NothingNewer,
        }
    }

    /// A transfer of the newest version, as the difference to `base` where that is known.
    fn begin(&mut self, base: Option<Base>) -> Option<&Packed> {
        let newest = self.versions.back()?;
        if base.is_some_and(|base| base.edition >= newest.base.edition) {
            return None;
        }
        let target = newest.base;
        let known = base.filter(|base| self.versions.iter().any(|version| version.base == *base));
        let wanted = |transfer: &Transfer| transfer.target == target && transfer.base == known;
        if self.transfers.iter().all(|packed| !wanted(&packed.transfer)) {
            let packed = self.pack(known)?;
            self.transfers.push_back(packed);
            self.forget_unused();
        }
        self.find(wanted)
    }

    fn pack(&self, base: Option<Base>) -> Option<Packed> {
        let newest = self.versions.back()?;
        let base_version = self.versions.iter().find(|version| Some(version.base) == base);
        let base_body = base_version.map(|version| version.config.body.clone()).unwrap_or_default();
        let bytes = pack(&base_body, &newest.config.body).ok()?;
        metrics::PACKED.increment();
        let transfer = Transfer {
            target: newest.base,
            body_length: newest.config.body.len() as u64,
            base,
            packed_length: bytes.len() as u64,
            packed_digest: digest(&bytes),
        };
        Some(Packed { transfer, bytes })
    }

    /// A transfer that is kept; it counts as used.
    fn find(&mut self, wanted: impl Fn(&Transfer) -> bool) -> Option<&Packed> {
        let at = self.transfers.iter().position(|packed| wanted(&packed.transfer))?;
        let packed = self.transfers.remove(at)?;
        self.transfers.push_back(packed);
        self.transfers.back()
    }

    fn forget_unused(&mut self) {
        let older_bytes = |transfers: &VecDeque<Packed>| -> usize {
            transfers.iter().rev().skip(1).map(|packed| packed.bytes.len()).sum()
        };
        while self.transfers.len() > MOST_TRANSFERS || older_bytes(&self.transfers) > MOST_TRANSFER_BYTES {
            self.transfers.pop_front();
        }
    }
}

fn piece(packed: &Packed, offset: u64, most: u32) -> Piece {
    let length = packed.bytes.len();
    let from = usize::try_from(offset).unwrap_or(length).min(length);
    let to = from.saturating_add(most.clamp(1, MOST_PIECE) as usize).min(length);
    metrics::PIECE_BYTES_SENT.add((to - from) as u64);
    Piece { transfer: packed.transfer, offset: from as u64, bytes: packed.bytes.slice(from..to) }
}
