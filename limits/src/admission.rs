//! Admission limit of a pool, set by an operator: concurrent requests and requests per second. The caller passes the
//! current time in microseconds; there is no clock in here.
//!
//! The rate limit is a token bucket with one token per request. The bucket holds a tenth of a second's tokens, and at
//! least one; a larger bucket would admit the bursts that the limit is meant to prevent. Each refused caller gets a
//! retry delay that is one token later than that of the refusal before it, so that refused callers do not retry all
//! at once. The queue of scheduled retries drains at the same rate.

use std::cell::Cell;

/// Capacity of the token bucket, in seconds at the configured rate.
const BURST_SECONDS: f64 = 0.1;
/// Upper bound of the retry delay that a refused caller is given, in microseconds.
const MAX_RETRY_AFTER_US: u64 = 60_000_000;

/// A limit on concurrent requests, on requests per second, on both or on neither.
#[derive(Debug, Default)]
pub struct AdmissionLimit {
    /// Maximum number of concurrent requests.
    max_open: Cell<Option<u64>>,
    /// Maximum number of requests per second.
    rate: Cell<Option<f64>>,
    /// Tokens in the bucket.
    tokens: Cell<f64>,
    /// Refused callers whose retry time has not come yet.
    scheduled_retries: Cell<f64>,
    /// When the bucket was last refilled, in microseconds.
    refilled_at: Cell<u64>,
    /// Requests refused so far.
    refused: Cell<u64>,
    /// Requests checked so far, admitted or refused.
    offered: Cell<u64>,
}

impl AdmissionLimit {
    /// Replaces both limits; `None` removes a limit. A newly set rate limit starts with a full bucket.
    pub fn set(&self, now: u64, max_open: Option<u64>, rate: Option<f64>) {
        self.max_open.set(max_open);
        match (self.rate.replace(rate), rate) {
            // A changed rate does not refill the bucket: frequent changes would otherwise lift the limit.
            (Some(_), Some(rate)) => self.tokens.set(self.tokens.get().min(bucket_capacity(rate))),
            (_, rate) => {
                self.tokens.set(rate.map_or(0.0, bucket_capacity));
                self.scheduled_retries.set(0.0);
                self.refilled_at.set(now);
            }
        }
    }

    /// The limits in force: concurrent requests and requests per second.
    pub fn limits(&self) -> (Option<u64>, Option<f64>) {
        (self.max_open.get(), self.rate.get())
    }

    /// Number of requests checked by [`admit`](AdmissionLimit::admit) so far, admitted or refused.
    pub fn offered(&self) -> u64 {
        self.offered.get()
    }

    /// Number of requests refused so far.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Admits or refuses a request while `open` requests are in progress. The error is the delay in microseconds
    /// after which the caller may retry, or 0 where no delay can be estimated.
    pub fn admit(&self, now: u64, open: usize) -> Result<(), u64> {
        let admitted = self.check(now, open);
        self.offered.set(self.offered.get() + 1);
        if admitted.is_err() {
            self.refused.set(self.refused.get() + 1);
        }
        admitted
    }

    /// The decision behind [`admit`](AdmissionLimit::admit), without the counters.
    fn check(&self, now: u64, open: usize) -> Result<(), u64> {
        if self.max_open.get().is_some_and(|max| open as u64 >= max) {
            return Err(0);
        }
        let Some(rate) = self.rate.get() else { return Ok(()) };
        // No tokens are added when the clock goes backwards.
        let elapsed = now.saturating_sub(self.refilled_at.get()) as f64 / 1e6;
        self.refilled_at.set(self.refilled_at.get().max(now));
        let tokens = (self.tokens.get() + elapsed * rate).min(bucket_capacity(rate));
        self.scheduled_retries.set((self.scheduled_retries.get() - elapsed * rate).max(0.0));
        if tokens >= 1.0 {
            self.tokens.set(tokens - 1.0);
            return Ok(());
        }
        self.tokens.set(tokens);
        if rate == 0.0 {
            return Err(0);
        }
        // The tokens before the next free one are reserved for the retries already scheduled.
        let wait = (1.0 - tokens + self.scheduled_retries.get()) / rate * 1e6;
        self.scheduled_retries.set(self.scheduled_retries.get() + 1.0);
        Err((wait.ceil() as u64).clamp(1, MAX_RETRY_AFTER_US))
    }
}

/// Capacity of the token bucket at a rate in requests per second.
fn bucket_capacity(rate: f64) -> f64 {
    if rate > 0.0 { (rate * BURST_SECONDS).max(1.0) } else { 0.0 }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn admits_at_most_the_rate_and_one_burst() {
        for (rate, offered, seconds) in [(100.0, 1000, 10), (2.5, 40, 20), (0.0, 100, 5), (1000.0, 200, 3)] {
            let limit = AdmissionLimit::default();
            limit.set(0, None, Some(rate));
            let total = offered * seconds;
            let admitted =
                (0..total).filter(|n| limit.admit(n * 1_000_000 / offered, 0).is_ok()).count() as f64;
            let max = rate * seconds as f64 + (rate * BURST_SECONDS).max(f64::from(rate > 0.0));
            let min = (rate * seconds as f64 - 1.0).min(total as f64);
            assert!(admitted <= max && admitted >= min, "{rate}: {admitted} of {total}");
            assert_eq!(limit.refused(), total - admitted as u64);
        }
    }

    #[test]
    fn frequent_rate_changes_do_not_lift_the_limit() {
        let limit = AdmissionLimit::default();
        let admitted = (0..10_000_u64).filter(|n| {
            limit.set(n * 1_000, None, Some(100.0 + (n % 2) as f64));
            limit.admit(n * 1_000, 0).is_ok()
        });
        let admitted = admitted.count();
        assert!((990..=1_020).contains(&admitted), "{admitted}");
    }

    #[test]
    fn refused_callers_are_spread_over_later_tokens() {
        let limit = AdmissionLimit::default();
        limit.set(0, None, Some(10.0));
        assert_eq!(limit.admit(0, 0), Ok(()));
        let waits: Vec<u64> = (0..20).map(|_| limit.admit(0, 0).expect_err("the bucket is empty")).collect();
        assert!(waits.windows(2).all(|w| w[1] - w[0] == 100_000), "{waits:?}");
        // Each caller that retries at its given time finds a token, as long as no others arrive.
        assert!(waits.iter().all(|at| limit.admit(*at, 0).is_ok()));
        // The delay is capped at a minute however many callers are refused, and the queue of retries drains.
        for _ in 0..100_000 {
            assert!(limit.admit(2_000_000, 0).is_ok_and(|()| false) || limit.admit(2_000_000, 0).is_err());
        }
        assert_eq!(limit.admit(2_000_000, 0), Err(MAX_RETRY_AFTER_US));
        let later = 2_000_000 + 30_000_000_000;
        assert_eq!(limit.admit(later, 0), Ok(()));
        assert!(limit.admit(later, 0).is_err_and(|wait| wait <= 100_000));
    }

    #[test]
    fn the_concurrency_limit_holds_until_it_is_removed() {
        let limit = AdmissionLimit::default();
        assert_eq!(limit.admit(0, 1_000_000), Ok(()));
        limit.set(0, Some(3), None);
        assert_eq!((limit.admit(0, 2), limit.admit(0, 3)), (Ok(()), Err(0)));
        limit.set(0, Some(0), Some(5.0));
        assert_eq!((limit.admit(0, 0), limit.limits()), (Err(0), (Some(0), Some(5.0))));
        limit.set(0, None, None);
        assert_eq!(limit.admit(0, 1_000_000), Ok(()));
        // No tokens are added when the clock goes backwards.
        limit.set(9_000_000, None, Some(1.0));
        assert!(
            limit.admit(9_000_000, 0).is_ok()
                && limit.admit(0, 0).is_err()
                && limit.admit(9_000_001, 0).is_err()
        );
    }
}
