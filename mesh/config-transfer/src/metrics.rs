//! What this crate measures, and what must hold.

use sloeline_metrics::{Counter, Invariant, Metrics};

/// Transfers that were packed.
pub static PACKED: Counter =
    Counter::new("sloeline_transfers_packed_total", "Configurations packed for a transfer.");
/// Bytes of pieces.
pub static PIECE_BYTES_SENT: Counter =
    Counter::new("sloeline_transfer_sent_bytes_total", "Bytes of configurations sent in pieces.");
/// Bytes of pieces.
pub static PIECE_BYTES_RECEIVED: Counter =
    Counter::new("sloeline_transfer_received_bytes_total", "Bytes of configurations received in pieces.");
/// Transfers that ended with a configuration.
pub static COMPLETED: Counter =
    Counter::new("sloeline_transfers_completed_total", "Configurations received whole.");
/// Pieces that did not come.
pub static PIECES_LOST: Counter =
    Counter::new("sloeline_transfer_pieces_lost_total", "Pieces that were asked for and did not come.");
/// Transfers that were given up.
pub static RESTARTED: Counter = Counter::new(
    "sloeline_transfers_restarted_total",
    "Transfers given up with bytes received, since no holder had them any more.",
);
/// Received bytes are not thrown away while a holder can go on.
pub static PROGRESS: Invariant = Invariant::new(
    "sloeline_transfer_progress_violations_total",
    "Each piece of a transfer continues where the one before ended",
);
/// What was packed is what is unpacked.
pub static FAITHFUL: Invariant = Invariant::new(
    "sloeline_transfer_digest_violations_total",
    "A configuration that was received whole has the digest that was announced",
);

/// All of them.
pub static METRICS: Metrics = &[
    &PACKED,
    &PIECE_BYTES_SENT,
    &PIECE_BYTES_RECEIVED,
    &COMPLETED,
    &PIECES_LOST,
    &RESTARTED,
    &PROGRESS,
    &FAITHFUL,
];
