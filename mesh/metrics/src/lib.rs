//! Metrics of a process: each crate declares its [`Counter`]s, [`Gauge`]s and [`Invariant`]s as statics and lists them in a
//! static `METRICS`; [`render`] writes such lists in the Prometheus text format.
//!
//! An [`Invariant`] is a condition that must hold each time the code checks it. It is checked in every build, debug and
//! release. Each violation is counted, the first are logged with the target `defect`, and tests assert that the count is 0.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Number of violations logged for each invariant; further violations are only counted.
const MAX_LOGGED_VIOLATIONS: u64 = 20;

/// A named value that a process exports.
pub trait Metric: Sync {
    /// Name of the metric in the Prometheus format, such as `sent_bytes_total`.
    fn name(&self) -> &'static str;
    /// Help text: what the metric counts or measures, in one sentence.
    fn help(&self) -> &'static str;
    /// Prometheus type of the metric: `counter` or `gauge`.
    fn kind(&self) -> &'static str;
    /// Current value of the metric.
    fn value(&self) -> u64;
}

/// A list of metrics, such as all metrics of one crate.
pub type Metrics = &'static [&'static dyn Metric];

/// A metric that only increases.
pub struct Counter {
    name: &'static str,
    help: &'static str,
    value: AtomicU64,
}

impl Counter {
    /// Creates a counter with the value 0.
    pub const fn new(name: &'static str, help: &'static str) -> Counter {
        Counter { name, help, value: AtomicU64::new(0) }
    }

    /// Increases the counter by 1.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Increases the counter by `amount`.
    pub fn add(&self, amount: u64) {
        self.value.fetch_add(amount, Relaxed);
    }
}

impl Metric for Counter {
    fn name(&self) -> &'static str {
        self.name
    }

    fn help(&self) -> &'static str {
        self.help
    }

    fn kind(&self) -> &'static str {
        "counter"
    }

    fn value(&self) -> u64 {
        self.value.load(Relaxed)
    }
}

/// A metric that can increase and decrease.
pub struct Gauge {
    name: &'static str,
    help: &'static str,
    value: AtomicU64,
}

impl Gauge {
    /// Creates a gauge with the value 0.
    pub const fn new(name: &'static str, help: &'static str) -> Gauge {
        Gauge { name, help, value: AtomicU64::new(0) }
    }

    /// Sets the gauge to `value`.
    pub fn set(&self, value: u64) {
        self.value.store(value, Relaxed);
    }

    /// Increases the gauge by 1 until the returned guard is dropped.
    pub fn count_while_held(&'static self) -> GaugeGuard {
        self.value.fetch_add(1, Relaxed);
        GaugeGuard(self)
    }
}

impl Metric for Gauge {
    fn name(&self) -> &'static str {
        self.name
    }

    fn help(&self) -> &'static str {
        self.help
    }

    fn kind(&self) -> &'static str {
        "gauge"
    }

    fn value(&self) -> u64 {
        self.value.load(Relaxed)
    }
}

/// Keeps a [`Gauge`] increased by 1; the gauge decreases again when the guard is dropped.
pub struct GaugeGuard(&'static Gauge);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.value.fetch_sub(1, Relaxed);
    }
}

/// A condition that must always hold. As a metric, its value is the number of violations.
pub struct Invariant {
    name: &'static str,
    help: &'static str,
    violations: AtomicU64,
}

impl Invariant {
    /// Creates an invariant without violations. `help` states the condition in one sentence.
    pub const fn new(name: &'static str, help: &'static str) -> Invariant {
        Invariant { name, help, violations: AtomicU64::new(0) }
    }

    /// Counts a violation unless `holds` is true, and logs the text that `found` returns. Returns `holds`.
    pub fn check(&self, holds: bool, found: impl FnOnce() -> String) -> bool {
        if !holds && self.violations.fetch_add(1, Relaxed) < MAX_LOGGED_VIOLATIONS {
            log::error!(target: "defect", "{}: {}.", self.help, found());
        }
        holds
    }

    /// Number of violations so far.
    pub fn violations(&self) -> u64 {
        self.violations.load(Relaxed)
    }
}

impl Metric for Invariant {
    fn name(&self) -> &'static str {
        self.name
    }

    fn help(&self) -> &'static str {
        self.help
    }

    fn kind(&self) -> &'static str {
        "counter"
    }

    fn value(&self) -> u64 {
        self.violations()
    }
}

/// Renders all metrics of the given lists in the Prometheus text format.
pub fn render(lists: &[Metrics]) -> String {
    let mut text = String::new();
    for metric in lists.iter().flat_map(|list| list.iter()) {
        let (name, help, kind, value) = (metric.name(), metric.help(), metric.kind(), metric.value());
        // Writing to a `String` never fails.
        let _ = write!(text, "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}\n");
    }
    text
}
