//! Figures that a process tells of itself: [`Counter`], [`Gauge`] and [`Invariant`] are statics of the module that they measure,
//! each crate lists its own as `METRICS`, and [`render`] writes such lists in the Prometheus text format.
//!
//! An [`Invariant`] is a condition that must hold whenever the code passes by. It is checked in every build; each violation is
//! counted and logged with the prefix `defect`, and tests read the count.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Violations of one invariant that are logged; those beyond are only counted.
const MOST_LOGGED: u64 = 20;

/// A figure with a name.
pub trait Metric: Sync {
    /// Its name, with the unit as its last word.
    fn name(&self) -> &'static str;
    /// What it counts or measures, in a sentence.
    fn help(&self) -> &'static str;
    /// `counter` or `gauge`.
    fn kind(&self) -> &'static str;
    /// Its value now.
    fn value(&self) -> u64;
}

/// The metrics of a crate.
pub type Metrics = &'static [&'static dyn Metric];

/// A number that only goes up.
pub struct Counter {
    name: &'static str,
    help: &'static str,
    value: AtomicU64,
}

impl Counter {
    /// One that stands at zero.
    pub const fn new(name: &'static str, help: &'static str) -> Counter {
        Counter { name, help, value: AtomicU64::new(0) }
    }

    /// Counts one more.
    pub fn increment(&self) {
        self.add(1);
    }

    /// Counts so many more.
    pub fn add(&self, more: u64) {
        self.value.fetch_add(more, Relaxed);
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

/// A number that goes up and down.
pub struct Gauge {
    name: &'static str,
    help: &'static str,
    value: AtomicU64,
}

impl Gauge {
    /// One that stands at zero.
    pub const fn new(name: &'static str, help: &'static str) -> Gauge {
        Gauge { name, help, value: AtomicU64::new(0) }
    }

    /// Sets it.
    pub fn set(&self, value: u64) {
        self.value.store(value, Relaxed);
    }

    /// Counts one for as long as the guard lives.
    pub fn hold(&'static self) -> GaugeGuard {
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

/// One of what a [`Gauge`] counts.
pub struct GaugeGuard(&'static Gauge);

impl Drop for GaugeGuard {
    fn drop(&mut self) {
        self.0.value.fetch_sub(1, Relaxed);
    }
}

/// A condition that must always hold; its value is the number of violations.
pub struct Invariant {
    name: &'static str,
    help: &'static str,
    violations: AtomicU64,
}

impl Invariant {
    /// One that has not been violated.
    pub const fn new(name: &'static str, help: &'static str) -> Invariant {
        Invariant { name, help, violations: AtomicU64::new(0) }
    }

    /// Checks it. Where it does not hold, counts a violation and logs what `found` says. Gives back whether it holds.
    pub fn check(&self, holds: bool, found: impl FnOnce() -> String) -> bool {
        if !holds && self.violations.fetch_add(1, Relaxed) < MOST_LOGGED {
            log::error!(target: "defect", "{}: {}.", self.help, found());
        }
        holds
    }

    /// How often it was violated.
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

/// All of these lists in the Prometheus text format.
pub fn render(lists: &[Metrics]) -> String {
    let mut text = String::new();
    for metric in lists.iter().flat_map(|list| list.iter()) {
        let (name, help, kind, value) = (metric.name(), metric.help(), metric.kind(), metric.value());
        // Writing to a string never fails.
        let _ = write!(text, "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}\n");
    }
    text
}
