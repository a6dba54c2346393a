//! Metrics of the RPC clients and servers of a process, and of its pulls.

use sloeline_metrics::{Counter, Gauge, Metrics};

/// Counts the bytes received on connections that this process opened.
pub static RECEIVED_BYTES: Counter =
    Counter::new("sloeline_rpc_received_bytes_total", "Bytes received in answers to own calls.");
/// Counts the bytes sent on connections that this process opened.
pub static SENT_BYTES: Counter = Counter::new("sloeline_rpc_sent_bytes_total", "Bytes sent in own calls.");
/// Counts this process's calls that ended without a response in time.
pub static TIMED_OUT_CALLS: Counter =
    Counter::new("sloeline_rpc_timed_out_calls_total", "Own calls that ended for want of an answer in time.");
/// Counts the frames that were dropped because a queue was full, both queued requests and responses.
pub static DROPPED_FRAMES: Counter = Counter::new(
    "sloeline_rpc_dropped_frames_total",
    "Frames dropped because too many waited for a connection.",
);
/// Counts the bytes of responses that this process sent.
pub static SERVED_BYTES: Counter =
    Counter::new("sloeline_rpc_served_bytes_total", "Bytes of answers to calls of others.");
/// Counts the requests and notifications that this process received.
pub static SERVED_CALLS: Counter = Counter::new("sloeline_rpc_served_calls_total", "Calls of others.");
/// Number of received requests and notifications that are still being handled.
pub static SERVED_CALLS_OPEN: Gauge =
    Gauge::new("sloeline_rpc_served_calls_open", "Calls of others without an answer yet.");
/// Counts this process's pulls that were answered by a process in contact with a majority, or by a balancer.
pub static PULLS_ANSWERED: Counter =
    Counter::new("sloeline_pulls_answered_total", "Own pulls that were answered.");
/// Counts this process's pulls that failed or timed out.
pub static PULLS_FAILED: Counter =
    Counter::new("sloeline_pulls_failed_total", "Own pulls that ended without an answer.");
/// Counts this process's pulls that were answered by a core machine without contact to a majority.
pub static PULLS_OUT_OF_CONTACT: Counter = Counter::new(
    "sloeline_pulls_out_of_contact_total",
    "Own pulls answered by a core machine that was out of contact with a majority.",
);
/// Version of the newest configuration that this process has.
pub static CONFIGURATION_VERSION: Gauge =
    Gauge::new("sloeline_configuration_version", "Version of the newest configuration that is held.");

/// All metrics of this crate.
pub static METRICS: Metrics = &[
    &RECEIVED_BYTES,
    &SENT_BYTES,
    &TIMED_OUT_CALLS,
    &DROPPED_FRAMES,
    &SERVED_BYTES,
    &SERVED_CALLS,
    &SERVED_CALLS_OPEN,
    &PULLS_ANSWERED,
    &PULLS_FAILED,
    &PULLS_OUT_OF_CONTACT,
    &CONFIGURATION_VERSION,
];
