//! A bound on what a pool takes, set for a time by hand: requests open at once, and requests a second. No clock: the time
//! is an argument, in microseconds.
//!
//! The rate is a bucket (a token for each request) that fills evenly and holds what a tenth of a second brings, one at the
//! least: more would let a burst through that is what the bound is against. Whoever is refused is told when to return,
//! each a place later than the one before, so that they do not come back together; the line that they form in thought
//! empties at the same rate.

use std::cell::Cell;

/// What gathers in the bucket, in seconds of the rate.
const GATHERS: f64 = 0.1;
/// Longest time that a refused caller is told to wait, in microseconds; beyond it nobody plans.
const LONGEST: u64 = 60_000_000;

/// A bound, or none.
#[derive(Debug, Default)]
pub struct AdmissionLimit {
    open: Cell<Option<u64>>,
    rate: Cell<Option<f64>>,
    left: Cell<f64>,
    /// Those that were told to return and have not had their time yet.
    told: Cell<f64>,
    at: Cell<u64>,
    refused: Cell<u64>,
    asked: Cell<u64>,
}

impl AdmissionLimit {
    /// Other bounds from now on; none for no bound. A bucket begins full.
    pub fn set(&self, now: u64, open: Option<u64>, rate: Option<f64>) {
        self.open.set(open);
        match (self.rate.replace(rate), rate) {
            // Another rate is no reason to begin with a full bucket: rates that change often would be none.
            (Some(_), Some(rate)) => self.left.set(self.left.get().min(most(rate))),
            (_, rate) => {
                self.left.set(rate.map_or(0.0, most));
                self.told.set(0.0);
                self.at.set(now);
            }
        }
    }

    /// The bounds: requests open at once, requests a second.
    pub fn limits(&self) -> (Option<u64>, Option<f64>) {
        (self.open.get(), self.rate.get())
    }

    /// Requests that asked so far.
    pub fn offered(&self) -> u64 {
        self.asked.get()
    }

    /// Requests that were refused by it so far.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Whether one more may come beside so many that are open. The error is when to return, in microseconds from now; 0
    /// where nothing can be said.
    pub fn admit(&self, now: u64, open: usize) -> Result<(), u64> {
        let admitted = self.look(now, open);
        self.asked.set(self.asked.get() + 1);
        if admitted.is_err() {
            self.refused.set(self.refused.get() + 1);
        }
        admitted
    }

    fn look(&self, now: u64, open: usize) -> Result<(), u64> {
        if self.open.get().is_some_and(|most| open as u64 >= most) {
            return Err(0);
        }
        let Some(rate) = self.rate.get() else { return Ok(()) };
        // A clock that goes back brings nothing.
        let span = now.saturating_sub(self.at.get()) as f64 / 1e6;
        self.at.set(self.at.get().max(now));
        let left = (self.left.get() + span * rate).min(most(rate));
        self.told.set((self.told.get() - span * rate).max(0.0));
        if left >= 1.0 {
            self.left.set(left - 1.0);
            return Ok(());
        }
        self.left.set(left);
        if rate == 0.0 {
            return Err(0);
        }
        // The next token is one that nobody has been told of; those before it are taken in thought.
        let wait = (1.0 - left + self.told.get()) / rate * 1e6;
        self.told.set(self.told.get() + 1.0);
        Err((wait.ceil() as u64).clamp(1, LONGEST))
    }
}

fn most(rate: f64) -> f64 {
    if rate > 0.0 { (rate * GATHERS).max(1.0) } else { 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_than_the_rate_and_what_gathers_come_through() {
        for (rate, offered, seconds) in [(100.0, 1000, 10), (2.5, 40, 20), (0.0, 100, 5), (1000.0, 200, 3)] {
            let bound = AdmissionLimit::default();
            bound.set(0, None, Some(rate));
            let total = offered * seconds;
            let admitted =
                (0..total).filter(|n| bound.admit(n * 1_000_000 / offered, 0).is_ok()).count() as f64;
            let most = rate * seconds as f64 + (rate * GATHERS).max(f64::from(rate > 0.0));
            let least = (rate * seconds as f64 - 1.0).min(total as f64);
            assert!(admitted <= most && admitted >= least, "{rate}: {admitted} of {total}");
            assert_eq!(bound.refused(), total - admitted as u64);
        }
    }

    #[test]
    fn a_rate_that_changes_often_lets_no_more_through() {
        let bound = AdmissionLimit::default();
        let admitted = (0..10_000_u64).filter(|n| {
            bound.set(n * 1_000, None, Some(100.0 + (n % 2) as f64));
            bound.admit(n * 1_000, 0).is_ok()
        });
        let admitted = admitted.count();
        assert!((990..=1_020).contains(&admitted), "{admitted}");
    }

    #[test]
    fn those_that_are_refused_return_in_line_and_find_room() {
        let bound = AdmissionLimit::default();
        bound.set(0, None, Some(10.0));
        assert_eq!(bound.admit(0, 0), Ok(()));
        let waits: Vec<u64> = (0..20).map(|_| bound.admit(0, 0).expect_err("it is empty")).collect();
        assert!(waits.windows(2).all(|w| w[1] - w[0] == 100_000), "{waits:?}");
        // Each that returns at its time finds a token, when nobody else comes.
        assert!(waits.iter().all(|at| bound.admit(*at, 0).is_ok()));
        // However many there are, nobody is told more than a minute, and the line empties.
        for _ in 0..100_000 {
            assert!(bound.admit(2_000_000, 0).is_ok_and(|()| false) || bound.admit(2_000_000, 0).is_err());
        }
        assert_eq!(bound.admit(2_000_000, 0), Err(LONGEST));
        let later = 2_000_000 + 30_000_000_000;
        assert_eq!(bound.admit(later, 0), Ok(()));
        assert!(bound.admit(later, 0).is_err_and(|wait| wait <= 100_000));
    }

    #[test]
    fn the_number_open_counts_and_a_bound_that_is_gone_holds_nobody() {
        let bound = AdmissionLimit::default();
        assert_eq!(bound.admit(0, 1_000_000), Ok(()));
        bound.set(0, Some(3), None);
        assert_eq!((bound.admit(0, 2), bound.admit(0, 3)), (Ok(()), Err(0)));
        bound.set(0, Some(0), Some(5.0));
        assert_eq!((bound.admit(0, 0), bound.limits()), (Err(0), (Some(0), Some(5.0))));
        bound.set(0, None, None);
        assert_eq!(bound.admit(0, 1_000_000), Ok(()));
        // A clock that goes back brings no tokens.
        bound.set(9_000_000, None, Some(1.0));
        assert!(
            bound.admit(9_000_000, 0).is_ok()
                && bound.admit(0, 0).is_err()
                && bound.admit(9_000_001, 0).is_err()
        );
    }
}
