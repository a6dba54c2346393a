//! The requester's side of a transfer: one transfer at a time, resumed after every failure.

use std::rc::Rc;

use anyhow::{Result, bail};
use bytes::{Bytes, BytesMut};

use crate::encoding::unpack;
use crate::message::{Config, ConfigId, Piece, PieceAnswer, PieceRequest, Transfer, digest};
use crate::metrics;

/// Size of the first requested piece in bytes. A link of 3 Mbit/s carries it in a tenth of a second.
const FIRST_PIECE_BYTES: u32 = 32 << 10;
/// Smallest requested piece in bytes. Each lost piece halves the size of the next.
const MIN_PIECE_BYTES: u32 = 2 << 10;
/// Largest requested piece in bytes. Each received piece doubles the size of the next.
const MAX_PIECE_BYTES: u32 = 128 << 10;
/// Maximum size in bytes of a configuration, and of its compressed form, that is accepted from another process.
const MAX_CONFIG_BYTES: u64 = 64 << 20;

/// The state of a fetch after an answer.
#[derive(Debug)]
pub enum Progress {
    /// More pieces are missing; send the next request.
    Incomplete,
    /// A configuration has arrived completely and matches its digest.
    Complete(Config),
    /// The holder has no configuration newer than the local one.
    NothingNewer,
}

/// A transfer in progress.
struct ActiveTransfer {
    /// Identifies the transfer and its length.
    transfer: Transfer,
    /// Body of the base configuration. It is kept until the transfer ends, even if a newer configuration arrives meanwhile.
    base_body: Bytes,
    /// The compressed bytes that have arrived, without gaps.
    received: BytesMut,
}

/// Fetches newer configurations from their holders, piece by piece.
pub struct Fetcher {
    /// The newest local configuration and its identity.
    held: Option<(ConfigId, Rc<Config>)>,
    /// The transfer in progress, if any.
    active: Option<ActiveTransfer>,
    /// Size of the next requested piece in bytes.
    piece_bytes: u32,
}

impl Default for Fetcher {
    fn default() -> Fetcher {
        Fetcher { held: None, active: None, piece_bytes: FIRST_PIECE_BYTES }
    }
}

impl Fetcher {
    /// Sets the local configuration, unless the current one is at least as new. A transfer that would not yield a newer
    /// configuration is dropped.
    pub fn set_held(&mut self, config: Rc<Config>) {
        if self.held.as_ref().is_none_or(|(id, _)| id.edition < config.edition) {
            self.held = Some((config.id(), config));
        }
        let edition = self.held.as_ref().map_or(0, |(id, _)| id.edition);
        if self.active.as_ref().is_some_and(|active| active.transfer.target.edition <= edition) {
            self.active = None;
        }
    }

    /// Returns the next request to send to a holder.
    pub fn next_request(&self) -> PieceRequest {
        let in_progress = self.active.as_ref().map(|active| (active.transfer, active.received.len() as u64));
        PieceRequest { base: self.held.as_ref().map(|(id, _)| *id), in_progress, max_bytes: self.piece_bytes }
    }

    /// Records that a requested piece did not arrive; the next request is for a smaller piece.
    pub fn handle_loss(&mut self) {
        metrics::PIECES_LOST.increment();
        self.piece_bytes = (self.piece_bytes / 2).max(MIN_PIECE_BYTES);
    }

    /// Handles the answer to a request. On an error the transfer is abandoned, and the next request starts another one.
    pub fn handle_answer(&mut self, answer: PieceAnswer) -> Result<Progress> {
        let piece = match answer {
            PieceAnswer::NothingNewer => return Ok(Progress::NothingNewer),
            PieceAnswer::Piece(piece) => piece,
        };
        let result = self.handle_piece(piece);
        if result.is_err() {
            self.active = None;
        }
        result
    }

    /// Appends a piece to the transfer in progress, or starts the piece's transfer if it is another one.
    fn handle_piece(&mut self, piece: Piece) -> Result<Progress> {
        metrics::PIECE_BYTES_RECEIVED.add(piece.bytes.len() as u64);
        if self.active.as_ref().is_none_or(|active| active.transfer != piece.transfer) {
            self.start_transfer(&piece)?;
        }
        let Some(active) = &mut self.active else { bail!("transfer: none in progress") };
        let received = active.received.len() as u64;
        let found = || format!("found a piece at {}, expected {received}", piece.offset);
        if !metrics::PIECES_CONTIGUOUS.check(piece.offset == received, found) {
            bail!("transfer: found a piece at {}, expected {received}", piece.offset);
        }
        let missing = active.transfer.packed_length - received;
        if piece.bytes.is_empty() && missing > 0 || piece.bytes.len() as u64 > missing {
            bail!("transfer: found a piece of {} bytes, expected 1 to {missing}", piece.bytes.len());
        }
        active.received.extend_from_slice(&piece.bytes);
        self.piece_bytes = (self.piece_bytes * 2).min(MAX_PIECE_BYTES);
        if (active.received.len() as u64) < active.transfer.packed_length {
            return Ok(Progress::Incomplete);
        }
        self.complete()
    }

    /// Starts the transfer of a piece that does not belong to the transfer in progress: its holder no longer has the
    /// previous transfer, or has a newer version.
    fn start_transfer(&mut self, piece: &Piece) -> Result<()> {
        let transfer = piece.transfer;
        if transfer.packed_length > MAX_CONFIG_BYTES || transfer.body_length > MAX_CONFIG_BYTES {
            bail!("transfer: found {} bytes, expected at most {MAX_CONFIG_BYTES}", transfer.body_length);
        }
        let base_body = match (transfer.base, &self.held) {
            (None, _) => Bytes::new(),
            (Some(base), Some((held, config))) if base == *held => config.body.clone(),
            (Some(base), _) => {
                bail!("transfer: found a difference to version {}, which is not held", base.edition)
            }
        };
        if self.active.as_ref().is_some_and(|active| !active.received.is_empty()) {
            metrics::TRANSFERS_RESTARTED.increment();
        }
        self.active = Some(ActiveTransfer { transfer, base_body, received: BytesMut::new() });
        Ok(())
    }

    /// Decompresses and verifies a transfer whose bytes have all arrived.
    fn complete(&mut self) -> Result<Progress> {
        let Some(active) = self.active.take() else { bail!("transfer: none in progress") };
        let Transfer { target, body_length, packed_digest, .. } = active.transfer;
        let received = digest(&active.received);
        let body = unpack(&active.base_body, &active.received, body_length as usize)?;
        let intact = received == packed_digest && digest(&body) == target.digest;
        let found = || format!("version {} arrived with another digest", target.edition);
        if !metrics::DIGEST_MATCHES.check(intact, found) {
            bail!("transfer: version {} arrived with another digest than announced", target.edition);
        }
        metrics::TRANSFERS_COMPLETED.increment();
        Ok(Progress::Complete(Config { edition: target.edition, body }))
    }
}
