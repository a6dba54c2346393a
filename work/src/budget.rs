//! Token buckets that limit how much of a resource background work uses. Each resource has its own budget: processor time,
//! connections, bytes, or requests to a registry.

use finchshift::Micros;

/// A token bucket that refills at a constant rate. The amount that a turn uses is often known only after the turn, so the
/// bucket can be overdrawn; no work starts until it is positive again.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Refill rate in units per second; 0 never refills.
    rate: f64,
    /// Capacity in units. Bounds the burst after a long idle time.
    capacity: f64,
    /// Units available now; negative while the bucket is overdrawn.
    available: f64,
    /// Time up to which the bucket has been refilled.
    refilled_at: Micros,
}

impl Budget {
    /// Creates a full bucket. Negative arguments count as 0.
    pub fn new(rate: f64, capacity: f64) -> Budget {
        Budget {
            rate: rate.max(0.0),
            capacity: capacity.max(0.0),
            available: capacity.max(0.0),
            refilled_at: 0,
        }
    }

    /// Changes the rate and the capacity. The units available stay, up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, capacity: f64) {
        (self.rate, self.capacity) = (rate.max(0.0), capacity.max(0.0));
        self.available = self.available.min(self.capacity);
    }

    /// Refills the bucket up to `now`, at `share` (0 to 1) of the rate. A clock that goes backwards changes nothing.
    pub fn refill(&mut self, now: Micros, share: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.available = (self.available + elapsed_s * self.rate * share.clamp(0.0, 1.0)).min(self.capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Whether a turn may start: some units are available.
    pub fn is_open(&self) -> bool {
        self.available > 0.0
    }

    /// The earliest time at which a turn may start if the bucket refills at `share` of the rate; none if it never will.
    pub fn opens_at(&self, share: f64) -> Option<Micros> {
        if self.is_open() {
            return Some(self.refilled_at);
        }
        let rate = self.rate * share.clamp(0.0, 1.0);
        // One microsecond beyond the time at which the bucket is empty but no longer overdrawn.
        (rate > 0.0 && self.capacity > 0.0)
            .then(|| self.refilled_at + (-self.available / rate * 1e6).ceil() as Micros + 1)
    }

    /// Subtracts `used` units; the bucket may become overdrawn.
    pub fn charge(&mut self, used: f64) {
        // The debt is limited to two capacities, so that one wrong measurement cannot stop all work for good.
        self.available = (self.available - used.max(0.0)).max(-2.0 * self.capacity.max(1.0));
    }

    /// Units available now; negative while the bucket is overdrawn.
    pub fn available(&self) -> f64 {
        self.available
    }

    /// Refill rate in units per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn usage_is_bounded_by_rate_and_capacity() {
        let mut budget = Budget::new(100.0, 10.0);
        let mut used = 0.0;
        for now in 0..5_000_u64 {
            budget.refill(now * 1000, 1.0);
            while budget.is_open() {
                budget.charge(3.0);
                used += 3.0;
            }
        }
        assert!((500.0..=513.0).contains(&used), "{used}");
        // An idle hour fills the bucket to its capacity, not beyond.
        budget.refill(3_600_000_000, 1.0);
        assert_eq!(budget.available(), 10.0);
    }

    #[test]
    fn overdrawn_budget_reports_when_it_opens_again() {
        let mut budget = Budget::new(100.0, 10.0);
        budget.refill(1_000_000, 1.0);
        budget.charge(15.0);
        assert_eq!(
            (budget.is_open(), budget.opens_at(1.0), budget.opens_at(0.5)),
            (false, Some(1_050_001), Some(1_100_001))
        );
        budget.refill(1_050_001, 1.0);
        assert!(budget.is_open());
        // A budget with rate 0 never opens. A clock that goes backwards changes nothing.
        let mut none = Budget::new(0.0, 0.0);
        none.refill(9_000_000, 1.0);
        assert_eq!((none.is_open(), none.opens_at(1.0)), (false, None));
        budget.refill(0, 1.0);
        assert!(budget.is_open());
        // The debt after one wrong measurement is limited.
        budget.charge(1e12);
        assert!(budget.opens_at(1.0).is_some_and(|opens_at| opens_at < 2_000_000));
    }
}
