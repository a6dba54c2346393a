//! What the data plane measures.

use sloeline_metrics::{Counter, Gauge, Metrics};

/// The configuration that requests go by.
pub static VERSION_IN_FORCE: Gauge = Gauge::new(
    "sloeline_configuration_in_force_version",
    "Version of the configuration that requests go by.",
);
/// Calls to the core about keyed operations.
pub static KEY_CALLS: Counter =
    Counter::new("sloeline_key_calls_total", "Calls to core machines about keyed operations.");
/// Those that failed.
pub static KEY_CALLS_FAILED: Counter = Counter::new(
    "sloeline_key_calls_failed_total",
    "Calls to core machines about keyed operations that were refused or not answered.",
);
/// Claims that wait to be taken back.
pub static KEY_RELEASES_WAITING: Gauge =
    Gauge::new("sloeline_key_releases_waiting", "Claims that wait to be taken back in the background.");

/// Requests that were given a place with the upstream.
pub static GATE_ADMITTED: Counter =
    Counter::new("sloeline_gate_admitted_total", "Requests that were given a place with the upstream.");
/// Time that they waited for it.
pub static GATE_WAIT: Counter = Counter::new(
    "sloeline_gate_wait_microseconds_total",
    "Time that admitted requests waited for their place.",
);
/// Time that they had it.
pub static GATE_HELD: Counter = Counter::new(
    "sloeline_gate_held_microseconds_total",
    "Time for which places with the upstream were held.",
);
/// The part of it in which the upstream had answered already and the answer was still being passed on.
pub static GATE_HELD_PASSING: Counter = Counter::new(
    "sloeline_gate_held_passing_microseconds_total",
    "Time for which places were held while an answer that had begun was passed on.",
);
/// Requests that were turned away as they arrived.
pub static GATE_REFUSED: Counter =
    Counter::new("sloeline_gate_refused_total", "Requests turned away on arrival for want of room.");
/// Requests that waited in vain.
pub static GATE_EXPIRED: Counter = Counter::new(
    "sloeline_gate_expired_total",
    "Requests turned away after a wait, because their place would have come too late.",
);
/// Time that those had waited.
pub static GATE_EXPIRED_WAIT: Counter = Counter::new(
    "sloeline_gate_expired_wait_microseconds_total",
    "Time that requests waited for a place which came too late.",
);

/// Bytes of long answers that wait for the link.
pub static LINK_BACKLOG: Gauge = Gauge::new(
    "sloeline_link_backlog_bytes",
    "Bytes of long answers that are to be sent or expected from the upstream.",
);

/// All of them.
pub static METRICS: Metrics = &[
    &VERSION_IN_FORCE,
    &KEY_CALLS,
    &KEY_CALLS_FAILED,
    &KEY_RELEASES_WAITING,
    &GATE_ADMITTED,
    &GATE_WAIT,
    &GATE_HELD,
    &GATE_HELD_PASSING,
    &GATE_REFUSED,
    &GATE_EXPIRED,
    &GATE_EXPIRED_WAIT,
    &LINK_BACKLOG,
];
