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

/// All of them.
pub static METRICS: Metrics = &[&VERSION_IN_FORCE, &KEY_CALLS, &KEY_CALLS_FAILED, &KEY_RELEASES_WAITING];
