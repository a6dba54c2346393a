//! The asker's part: one transfer at a time, resumed after whatever breaks.

use std::rc::Rc;

use anyhow::{Result, bail};
use bytes::{Bytes, BytesMut};

use crate::encoding::unpack;
use crate::message::{Base, Config, Piece, PieceAnswer, PieceRequest, Transfer, digest};
use crate::metrics;

/// Bytes of the first piece. A tenth of a second on a link of 3 Mbit/s.
const FIRST_PIECE: u32 = 32 << 10;
/// Bounds of later pieces: each that comes doubles the next, each that does not halves it.
const LEAST_PIECE: u32 = 2 << 10;
const MOST_PIECE: u32 = 128 << 10;
/// Most bytes of a configuration or of a transfer that are taken from another process.
const MOST_BYTES: u64 = 64 << 20;

/// What a piece has led to.
#[derive(Debug)]
pub enum Progress {
    /// More is to come: ask again.
    More,
    /// A configuration is here whole.
    Complete(Config),
    /// The holder has nothing newer than what is held here.
    NothingNewer,
}

/// A transfer under way.
struct Begun {
    transfer: Transfer,
    /// What it is a difference to, kept until the transfer is over whatever else arrives meanwhile.
    base_body: Bytes,
    received: BytesMut,
}

/// Fetches newer configurations.
pub struct Fetch {
    held: Option<(Base, Rc<Config>)>,
    begun: Option<Begun>,
    piece: u32,
}

impl Default for Fetch {
    fn default() -> Fetch {
        Fetch { held: None, begun: None, piece: FIRST_PIECE }
    }
}

impl Fetch {
    /// The configuration that is held here.
    pub fn held(&mut self, config: Rc<Config>) {
        if self.held.as_ref().is_none_or(|(base, _)| base.edition < config.edition) {
            self.held = Some((config.base(), config));
        }
        // A transfer of what is here by now leads nowhere.
        let edition = self.held.as_ref().map_or(0, |(base, _)| base.edition);
        if self.begun.as_ref().is_some_and(|begun| begun.transfer.target.edition <= edition) {
            self.begun = None;
        }
    }

    /// What to ask a holder for next.
    pub fn request(&self) -> PieceRequest {
        let begun = self.begun.as_ref().map(|begun| (begun.transfer, begun.received.len() as u64));
        PieceRequest {
            base: self.held.as_ref().map(|(base, _)| *base),
            in_progress: begun,
            max_bytes: self.piece,
        }
    }

    /// A piece did not come: the next is smaller.
    pub fn lost(&mut self) {
        metrics::PIECES_LOST.increment();
        self.piece = (self.piece / 2).max(LEAST_PIECE);
    }

    /// An answer came. With an error the transfer is given up, and the next request begins another.
    pub fn answered(&mut self, answer: PieceAnswer) -> Result<Progress> {
        let piece = match answer {
            PieceAnswer::NothingNewer => return Ok(Progress::NothingNewer),
            PieceAnswer::Piece(piece) => piece,
        };
        let taken = self.take(piece);
        if taken.is_err() {
            self.begun = None;
        }
        taken
    }

    fn take(&mut self, piece: Piece) -> Result<Progress> {
        metrics::PIECE_BYTES_RECEIVED.add(piece.bytes.len() as u64);
        if self.begun.as_ref().is_none_or(|begun| begun.transfer != piece.transfer) {
            self.begin(&piece)?;
        }
        let Some(begun) = &mut self.begun else { bail!("transfer: none has begun") };
        let received = begun.received.len() as u64;
        let found = || format!("found a piece at {}, expected {received}", piece.offset);
        if !metrics::PROGRESS.check(piece.offset == received, found) {
            bail!("transfer: found a piece at {}, expected {received}", piece.offset);
        }
        let left = begun.transfer.packed_length - received;
        if piece.bytes.is_empty() && left > 0 || piece.bytes.len() as u64 > left {
            bail!("transfer: found a piece of {} bytes, expected 1 to {left}", piece.bytes.len());
        }
        begun.received.extend_from_slice(&piece.bytes);
        self.piece = (self.piece * 2).min(MOST_PIECE);
        if (begun.received.len() as u64) < begun.transfer.packed_length {
            return Ok(Progress::More);
        }
        self.complete()
    }

    /// Another transfer than the one that was begun: its holder has that one no longer, or a newer version.
    fn begin(&mut self, piece: &Piece) -> Result<()> {
        let transfer = piece.transfer;
        if transfer.packed_length > MOST_BYTES || transfer.body_length > MOST_BYTES {
            bail!("transfer: found {} bytes, expected at most {MOST_BYTES}", transfer.body_length);
        }
        let base_body = match (transfer.base, &self.held) {
            (None, _) => Bytes::new(),
            (Some(base), Some((held, config))) if base == *held => config.body.clone(),
            (Some(base), _) => {
                bail!("transfer: found a difference to version {}, which is not held", base.edition)
            }
        };
        if self.begun.as_ref().is_some_and(|begun| !begun.received.is_empty()) {
            metrics::RESTARTED.increment();
        }
        self.begun = Some(Begun { transfer, base_body, received: BytesMut::new() });
        Ok(())
    }

    fn complete(&mut self) -> Result<Progress> {
        let Some(begun) = self.begun.take() else { bail!("transfer: none has begun") };
        let Transfer { target, body_length, packed_digest, .. } = begun.transfer;
        let received = digest(&begun.received);
        let body = unpack(&begun.base_body, &begun.received, body_length as usize)?;
        let whole = received == packed_digest && digest(&body) == target.digest;
        let found = || format!("version {} came with another digest", target.edition);
        if !metrics::FAITHFUL.check(whole, found) {
            bail!("transfer: version {} came with another digest than announced", target.edition);
        }
        metrics::COMPLETED.increment();
        Ok(Progress::Complete(Config { edition: target.edition, body }))
    }
}
