//! When a source that failed is asked again, so that a fleet does not fall upon a registry that comes back.
//!
//! Full jitter: each pause is drawn evenly from nothing to a ceiling, and the ceiling doubles. The first ceiling is the
//! time in which the whole fleet, asking at the stated rate, asks once. So `N` instances whose registry breaks at one
//! moment send it at most about that rate at every moment after, however long it stays away: in the first round `N` calls
//! over the first ceiling, in each later one `N` calls over twice the time before it.

use finchshift::Micros;

/// The least of a first ceiling: guards a registry and this instance's processor against a call that fails at once.
const LEAST: Micros = 100_000;
/// The longest ceiling is this many first ones, and no less than [`LONGEST`].
const MOST_ROUNDS: u64 = 4;
/// What the longest ceiling is at least.
const LONGEST: Micros = 4_000_000;

/// Pauses between failures.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    longest: Micros,
    ceiling: Micros,
}

impl Backoff {
    /// For one of `instances` that together may make `rate` calls a second.
    pub fn new(instances: u32, rate: f64) -> Backoff {
        let spread = (f64::from(instances.max(1)) / rate.max(1e-3) * 1e6).min(600e6) as Micros;
        let first = spread.max(LEAST);
        Backoff { first, longest: (first * MOST_ROUNDS).max(LONGEST), ceiling: first }
    }

    /// The next pause.
    pub fn pause(&mut self, rng: &mut fastrand::Rng) -> Micros {
        let pause = rng.u64(..=self.ceiling);
        self.ceiling = (self.ceiling * 2).min(self.longest);
        pause
    }

    /// A call succeeded.
    pub fn reset(&mut self) {
        self.ceiling = self.first;
    }

    /// No pause is longer.
    pub fn longest(&self) -> Micros {
        self.longest
    }
}
