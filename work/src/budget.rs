//! What background work may use up: so much a second, and so much at once. Several kinds of things have a budget each:
//! processor time, connections, bytes, questions to a registry.

use finchshift::Micros;

/// A bucket that fills at a rate. What is used may be known only afterwards, so it may be overdrawn; then nothing is left
/// until it has filled again.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Units a second; 0 for none at all.
    rate: f64,
    /// Most units that gather. Guards against a burst after a long rest.
    most: f64,
    left: f64,
    at: Micros,
}

impl Budget {
    /// A full one.
    pub fn new(rate: f64, most: f64) -> Budget {
        Budget { rate: rate.max(0.0), most: most.max(0.0), left: most.max(0.0), at: 0 }
    }

    /// Goes on at another rate; what is left stays, as far as it still may gather.
    pub fn set(&mut self, rate: f64, most: f64) {
        (self.rate, self.most) = (rate.max(0.0), most.max(0.0));
        self.left = self.left.min(self.most);
    }

    /// Lets time pass; `part` of the rate holds since the last time. Time that goes back changes nothing.
    pub fn pass(&mut self, now: Micros, part: f64) {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.left = (self.left + span * self.rate * part.clamp(0.0, 1.0)).min(self.most);
        self.at = self.at.max(now);
    }

    /// Whether something may begin.
    pub fn open(&self) -> bool {
        self.left > 0.0
    }

    /// When something may begin, if `part` of the rate holds; none where that never is.
    pub fn opens(&self, part: f64) -> Option<Micros> {
        if self.open() {
            return Some(self.at);
        }
        let rate = self.rate * part.clamp(0.0, 1.0);
        // A hair more than to nothing.
        (rate > 0.0 && self.most > 0.0).then(|| self.at + (-self.left / rate * 1e6).ceil() as Micros + 1)
    }

    /// So much was used.
    pub fn take(&mut self, used: f64) {
        // No debt that outlives a whole filling twice over: guards against one wild figure that stops all work for good.
        self.left = (self.left - used.max(0.0)).max(-2.0 * self.most.max(1.0));
    }

    /// Units that are left; negative where it is overdrawn.
    pub fn available(&self) -> f64 {
        self.left
    }

    /// Units a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_than_the_rate_and_what_has_gathered_is_given() {
        let mut budget = Budget::new(100.0, 10.0);
        let mut used = 0.0;
        for now in 0..5_000_u64 {
            budget.pass(now * 1000, 1.0);
            while budget.open() {
                budget.take(3.0);
                used += 3.0;
            }
        }
        assert!((500.0..=513.0).contains(&used), "{used}");
        // After an hour's rest only what gathers.
        budget.pass(3_600_000_000, 1.0);
        assert_eq!(budget.available(), 10.0);
    }

    #[test]
    fn what_is_overdrawn_says_when_it_opens_again() {
        let mut budget = Budget::new(100.0, 10.0);
        budget.pass(1_000_000, 1.0);
        budget.take(15.0);
        assert_eq!(
            (budget.open(), budget.opens(1.0), budget.opens(0.5)),
            (false, Some(1_050_001), Some(1_100_001))
        );
        budget.pass(1_050_001, 1.0);
        assert!(budget.open());
        // None at all, and a clock that goes back.
        let mut none = Budget::new(0.0, 0.0);
        none.pass(9_000_000, 1.0);
        assert_eq!((none.open(), none.opens(1.0)), (false, None));
        budget.pass(0, 1.0);
        assert!(budget.open());
        // One wild figure.
        budget.take(1e12);
        assert!(budget.opens(1.0).is_some_and(|at| at < 2_000_000));
    }
}
