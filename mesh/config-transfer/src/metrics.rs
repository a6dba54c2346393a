//! Metrics and invariants of configuration transfers.

use sloeline_metrics::{Counter, Invariant, Metrics};

/// Counts the configurations that were compressed for a transfer.
pub static TRANSFERS_PACKED: Counter =
    Counter::new("sloeline_transfers_packed_total", "Configurations packed for a transfer.");
/// Counts the compressed bytes sent in pieces.
pub static PIECE_BYTES_SENT: Counter =
    Counter::new("sloeline_transfer_sent_bytes_total", "Bytes of configurations sent in pieces.");
/// Counts the compressed bytes received in pieces.
pub static PIECE_BYTES_RECEIVED: Counter =
    Counter::new("sloeline_transfer_received_bytes_total", "Bytes of configurations received in pieces.");
/// Counts the transfers that completed with a valid configuration.
pub static TRANSFERS_COMPLETED: Counter =
    Counter::new("sloeline_transfers_completed_total", "Configurations received whole.");
/// Counts the requested pieces that did not arrive.
pub static PIECES_LOST: Counter =
    Counter::new("sloeline_transfer_pieces_lost_total", "Pieces that were asked for and did not come.");
/// Counts the transfers that were abandoned after some of their bytes had arrived.
pub static TRANSFERS_RESTARTED: Counter = Counter::new(
    "sloeline_transfers_restarted_total",
    "Transfers given up with bytes received, since no holder had them any more.",
);
/// Each piece starts at the offset where the previous piece of its transfer ended, so received bytes are not discarded
/// while a holder can continue the transfer.
pub static PIECES_CONTIGUOUS: Invariant = Invariant::new(
    "sloeline_transfer_progress_violations_total",
    "Each piece of a transfer continues where the one before ended",
);
/// A decompressed configuration has the digest that its transfer announced.
pub static DIGEST_MATCHES: Invariant = Invariant::new(
    "sloeline_transfer_digest_violations_total",
    "A configuration that was received whole has the digest that was announced",
);

/// All metrics of this crate.
pub static METRICS: Metrics = &[
    &TRANSFERS_PACKED,
    &PIECE_BYTES_SENT,
    &PIECE_BYTES_RECEIVED,
    &TRANSFERS_COMPLETED,
    &PIECES_LOST,
    &TRANSFERS_RESTARTED,
    &PIECES_CONTIGUOUS,
    &DIGEST_MATCHES,
];
