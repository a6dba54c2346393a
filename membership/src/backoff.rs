//! Pauses after failures of a source, so that a fleet does not overload a registry that becomes reachable again.
//!
//! Full jitter: each pause is drawn uniformly between zero and a ceiling, and the ceiling doubles. The first ceiling is the
//! time in which the whole fleet, at the configured rate, makes one call per instance. So `N` instances whose registry fails
//! at the same moment make calls at about that rate at most, however long the registry is unreachable: `N` calls within the
//! first ceiling, then `N` calls within twice the previous time.

use finchshift::Micros;

/// Lower limit of the first ceiling. Limits the load on the registry and on this instance if calls fail immediately.
const MIN_FIRST_CEILING: Micros = 100_000;
/// The highest ceiling is the first one times this factor, but at least [`MIN_LONGEST_CEILING`].
const MAX_CEILING_FACTOR: u64 = 4;
/// Lower limit of the highest ceiling.
const MIN_LONGEST_CEILING: Micros = 4_000_000;

/// Draws the pauses after failures.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    longest: Micros,
    ceiling: Micros,
}

impl Backoff {
    /// Creates the pauses of one of `instances` instances that together may make `rate` calls per second.
    pub fn new(instances: u32, rate: f64) -> Backoff {
        let spread = (f64::from(instances.max(1)) / rate.max(1e-3) * 1e6).min(600e6) as Micros;
        let first = spread.max(MIN_FIRST_CEILING);
        Backoff { first, longest: (first * MAX_CEILING_FACTOR).max(MIN_LONGEST_CEILING), ceiling: first }
    }

    /// Draws the next pause, and doubles the ceiling.
    pub fn pause(&mut self, rng: &mut fastrand::Rng) -> Micros {
        let pause = rng.u64(..=self.ceiling);
        self.ceiling = (self.ceiling * 2).min(self.longest);
        pause
    }

    /// Returns to the first ceiling after a successful call.
    pub fn reset(&mut self) {
        self.ceiling = self.first;
    }

    /// The highest ceiling.
    pub fn longest(&self) -> Micros {
        self.longest
    }
}
