//! Metrics of the data plane.

use sloeline_metrics::{Counter, Gauge, Metrics};

/// Version of the routing configuration in use.
pub static VERSION_IN_FORCE: Gauge = Gauge::new(
    "sloeline_configuration_in_force_version",
    "Version of the configuration that requests go by.",
);
/// Number of calls to core machines about operation keys.
pub static KEY_CALLS: Counter =
    Counter::new("sloeline_key_calls_total", "Calls to core machines about keyed operations.");
/// Number of calls to core machines about operation keys that were refused or not answered.
pub static KEY_CALLS_FAILED: Counter = Counter::new(
    "sloeline_key_calls_failed_total",
    "Calls to core machines about keyed operations that were refused or not answered.",
);
/// Number of claims that wait to be released in the background.
pub static KEY_RELEASES_WAITING: Gauge =
    Gauge::new("sloeline_key_releases_waiting", "Claims that wait to be taken back in the background.");

/// Number of attempts sent to other balancers.
pub static ATTEMPTS: Counter =
    Counter::new("sloeline_attempts_total", "Attempts of requests sent to the balancers of upstreams.");
/// Number of attempts sent after an earlier attempt of the request may have been executed.
pub static ATTEMPTS_REPEATED: Counter = Counter::new(
    "sloeline_attempts_repeated_total",
    "Attempts sent after an upstream may have run an earlier one of the same request.",
);

/// Number of requests that admission control admitted to the upstream.
pub static GATE_ADMITTED: Counter =
    Counter::new("sloeline_gate_admitted_total", "Requests that were given a place with the upstream.");
/// Total time in microseconds that admitted requests waited in the admission queue.
pub static GATE_WAIT: Counter = Counter::new(
    "sloeline_gate_wait_microseconds_total",
    "Time that admitted requests waited for their place.",
);
/// Total time in microseconds for which requests held a slot of the upstream.
pub static GATE_HELD: Counter = Counter::new(
    "sloeline_gate_held_microseconds_total",
    "Time for which places with the upstream were held.",
);
/// Total time in microseconds for which requests held a slot of the upstream while their response was already being passed
/// back.
pub static GATE_HELD_PASSING: Counter = Counter::new(
    "sloeline_gate_held_passing_microseconds_total",
    "Time for which places were held while an answer that had begun was passed on.",
);
/// Number of requests that admission control rejected on arrival for lack of room.
pub static GATE_REFUSED: Counter =
    Counter::new("sloeline_gate_refused_total", "Requests turned away on arrival for want of room.");
/// Number of requests that expired in the admission queue.
pub static GATE_EXPIRED: Counter = Counter::new(
    "sloeline_gate_expired_total",
    "Requests turned away after a wait, because their place would have come too late.",
);
/// Total time in microseconds that expired requests had waited in the admission queue.
pub static GATE_EXPIRED_WAIT: Counter = Counter::new(
    "sloeline_gate_expired_wait_microseconds_total",
    "Time that requests waited for a place which came too late.",
);

/// Bytes of long responses that are not sent yet, including those of expected responses.
pub static LINK_BACKLOG: Gauge = Gauge::new(
    "sloeline_link_backlog_bytes",
    "Bytes of long answers that are to be sent or expected from the upstream.",
);

/// All metrics of the data plane.
pub static METRICS: Metrics = &[
    &VERSION_IN_FORCE,
    &KEY_CALLS,
    &KEY_CALLS_FAILED,
    &KEY_RELEASES_WAITING,
    &ATTEMPTS,
    &ATTEMPTS_REPEATED,
    &GATE_ADMITTED,
    &GATE_WAIT,
    &GATE_HELD,
    &GATE_HELD_PASSING,
    &GATE_REFUSED,
    &GATE_EXPIRED,
    &GATE_EXPIRED_WAIT,
    &LINK_BACKLOG,
];
