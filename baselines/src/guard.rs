//! What proxies put around a policy: a budget for repeats and the ejection of outliers.

use std::collections::BTreeMap;

use finchshift::{Micros, Outcome};

/// Repeats that first attempts pay for, with a reserve of so many a second: as Finagle describes its retry budget.
#[derive(Clone, Debug)]
pub struct Budget {
    /// Repeats for each first attempt.
    pub part: f64,
    /// Most that may be saved up.
    pub most: f64,
    saved: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { part: 0.2, most: 20.0, saved: 10.0 }
    }
}

impl Budget {
    /// A first attempt pays in.
    pub fn pay_in(&mut self) {
        self.saved = (self.saved + self.part).min(self.most);
    }

    /// A repeat takes; false where nothing is left.
    pub fn take(&mut self) -> bool {
        let may = self.saved >= 1.0;
        self.saved -= if may { 1.0 } else { 0.0 };
        may
    }
}

/// Consecutive failures eject a node for a time that grows with each ejection, as Envoy describes its outlier detection.
#[derive(Clone, Debug)]
pub struct Ejection {
    /// Failures in a row.
    pub failures: u32,
    /// How long the first time; each further time adds as much.
    pub time: Micros,
    /// Part of the nodes that may be ejected.
    pub most: f64,
    states: BTreeMap<u32, (u32, u32)>,
}

impl Default for Ejection {
    fn default() -> Ejection {
        Ejection { failures: 5, time: 5_000_000, most: 0.3, states: BTreeMap::new() }
    }
}

impl Ejection {
    /// An attempt ended; until when the node is ejected, where it is now. `ejected` of `all` are already.
    pub fn ended(
        &mut self,
        now: Micros,
        node: u32,
        outcome: Outcome,
        ejected: usize,
        all: usize,
    ) -> Option<Micros> {
        let state = self.states.entry(node).or_default();
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Full | Outcome::Cancelled | Outcome::NotSent => return None,
            _ => true,
        };
        if !failed {
            state.0 = 0;
            return None;
        }
        state.0 += 1;
        if state.0 < self.failures || (ejected + 1) as f64 > (self.most * all as f64).max(1.0) {
            return None;
        }
        state.0 = 0;
        state.1 += 1;
        Some(now + self.time * Micros::from(state.1))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_is_paid_by_first_attempts_and_never_overdrawn() {
        let mut budget = Budget::default();
        assert_eq!((0..100).filter(|_| budget.take()).count(), 10);
        (0..51).for_each(|_| budget.pay_in());
        assert_eq!((0..100).filter(|_| budget.take()).count(), 10);
        (0..1000).for_each(|_| budget.pay_in());
        assert_eq!((0..100).filter(|_| budget.take()).count(), 20);
    }

    #[test]
    fn a_node_that_fails_in_a_row_is_ejected_for_longer_each_time_and_never_most_of_them() {
        let mut ejection = Ejection::default();
        let mut fail = |n: usize, ejected| -> Option<Micros> {
            (0..n).filter_map(|_| ejection.ended(100, 7, Outcome::Error, ejected, 10)).last()
        };
        assert_eq!(fail(4, 0), None);
        assert_eq!(fail(1, 0), Some(100 + 5_000_000));
        assert_eq!(fail(5, 0), Some(100 + 10_000_000));
        assert_eq!(fail(50, 3), None);
        assert_eq!(ejection.ended(0, 7, Outcome::Ok, 0, 10), None);
        assert_eq!((0..4).filter_map(|_| ejection.ended(0, 7, Outcome::Reset, 0, 10)).count(), 0);
    }
}
