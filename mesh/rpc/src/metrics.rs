//! What this crate measures.

use sloeline_metrics::{Counter, Gauge, Metrics};

/// Bytes that calling ends have received.
pub static RECEIVED_BYTES: Counter =
    Counter::new("sloeline_rpc_received_bytes_total", "Bytes received in answers to own calls.");
/// Bytes that calling ends have sent.
pub static SENT_BYTES: Counter = Counter::new("sloeline_rpc_sent_bytes_total", "Bytes sent in own calls.");
/// Calls without an answer in time.
pub static TIMED_OUT: Counter =
    Counter::new("sloeline_rpc_timed_out_calls_total", "Own calls that ended for want of an answer in time.");
/// Frames that found their queue full.
pub static DROPPED_FRAMES: Counter = Counter::new(
    "sloeline_rpc_dropped_frames_total",
    "Frames dropped because too many waited for a connection.",
);
/// Bytes of answers.
pub static SERVED_BYTES: Counter =
    Counter::new("sloeline_rpc_served_bytes_total", "Bytes of answers to calls of others.");
/// Calls of others.
pub static SERVED_CALLS: Counter = Counter::new("sloeline_rpc_served_calls_total", "Calls of others.");
/// Calls of others that wait for their answer.
pub static SERVED_CALLS_OPEN: Gauge =
    Gauge::new("sloeline_rpc_served_calls_open", "Calls of others without an answer yet.");
/// Pulls that were answered.
pub static PULLS_ANSWERED: Counter =
    Counter::new("sloeline_pulls_answered_total", "Own pulls that were answered.");
/// Pulls that were not.
pub static PULLS_FAILED: Counter =
    Counter::new("sloeline_pulls_failed_total", "Own pulls that ended without an answer.");
/// Pulls answered by core machines without a majority.
pub static PULLS_OUT_OF_CONTACT: Counter = Counter::new(
    "sloeline_pulls_out_of_contact_total",
    "Own pulls answered by a core machine that was out of contact with a majority.",
);
/// The newest configuration that is held.
pub static CONFIGURATION_VERSION: Gauge =
    Gauge::new("sloeline_configuration_version", "Version of the newest configuration that is held.");

/// All of them.
pub static METRICS: Metrics = &[
    &RECEIVED_BYTES,
    &SENT_BYTES,
    &TIMED_OUT,
    &DROPPED_FRAMES,
    &SERVED_BYTES,
    &SERVED_CALLS,
    &SERVED_CALLS_OPEN,
    &PULLS_ANSWERED,
    &PULLS_FAILED,
    &PULLS_OUT_OF_CONTACT,
    &CONFIGURATION_VERSION,
];
