//! Limits the rate of log events with a token bucket for each event and subject, the value of the event's first field.
//! Suppressed events are counted. No I/O; the time is passed as an argument, in microseconds.
//!
//! Subjects come from outside (names of nodes, for example) and their number is unbounded. At most [`MAX_BUCKETS`] pairs of
//! event and subject have a bucket of their own; the remaining subjects of each event share one bucket.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of pairs of event and subject that have a bucket of their own.
pub const MAX_BUCKETS: usize = 1024;

/// Rate limit of each event and subject.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Number of events that may be emitted at once.
    pub burst: f64,
    /// Number of events per second in the long run.
    pub per_second: f64,
}

impl Default for Rate {
    fn default() -> Rate {
        Rate { burst: 20.0, per_second: 1.0 }
    }
}

/// Decision of the limiter about an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The event is emitted. Holds the number of similar events suppressed since the last emitted one.
    Emit(u64),
    /// The event is suppressed and counted.
    Suppress,
}

/// Token bucket of one event and subject.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Events that may be emitted now.
    tokens: f64,
    /// Time up to which the bucket has been refilled, in microseconds.
    refilled_at: u64,
    /// Events suppressed and not reported yet.
    dropped: u64,
}

/// Count of suppressed events, to be reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Name of the suppressed events.
    pub event: &'static str,
    /// Number of events suppressed since the last report.
    pub count: u64,
}

/// Decides which events are emitted and counts the others.
#[derive(Debug, Default)]
pub struct Limiter {
    /// Rate limit of each bucket.
    rate: Rate,
    /// Buckets by event and hash of the subject; the hash is none for the shared bucket of an event.
    buckets: HashMap<(&'static str, Option<u64>), Bucket>,
    /// Time of the last removal of idle buckets, in microseconds.
    last_eviction: u64,
}

impl Limiter {
    /// Changes the rate limit of all buckets.
    pub fn set_rate(&mut self, rate: Rate) {
        self.rate = rate;
    }

    /// Decides whether an event about `subject` is emitted now.
    pub fn admit(&mut self, now: u64, event: &'static str, subject: &str) -> Verdict {
        let mut hasher = DefaultHasher::new();
        subject.hash(&mut hasher);
        let key = (event, Some(hasher.finish()));
        if !self.buckets.contains_key(&key) && self.buckets.len() >= MAX_BUCKETS {
            self.evict_idle(now);
        }
        let has_room = self.buckets.contains_key(&key) || self.buckets.len() < MAX_BUCKETS;
        let key = if has_room { key } else { (event, None) };
        let rate = self.rate;
        let bucket =
            self.buckets.entry(key).or_insert(Bucket { tokens: rate.burst, refilled_at: now, dropped: 0 });
        bucket.refill(now, rate);
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            Verdict::Emit(std::mem::take(&mut bucket.dropped))
        } else {
            bucket.dropped += 1;
            Verdict::Suppress
        }
    }

    /// Removes buckets that are full and have nothing to report; at most once per time in which one token is refilled.
    fn evict_idle(&mut self, now: u64) {
        let rate = self.rate;
        let refill_interval = (1e6 / rate.per_second.max(1e-3)) as u64;
        if now.saturating_sub(self.last_eviction) < refill_interval {
            return;
        }
        self.last_eviction = now;
        self.buckets.retain(|_, bucket| {
            bucket.refill(now, rate);
            bucket.dropped > 0 || bucket.tokens < rate.burst
        });
    }

    /// Returns the counts of suppressed events that may be reported now. Without this, the events suppressed at the end of a
    /// burst would be reported only with the next similar event.
    pub fn take_dropped(&mut self, now: u64) -> Vec<Dropped> {
        let rate = self.rate;
        let mut reports = Vec::new();
        for ((event, _), bucket) in &mut self.buckets {
            bucket.refill(now, rate);
            if bucket.dropped > 0 && bucket.tokens >= 1.0 {
                bucket.tokens -= 1.0;
                reports.push(Dropped { event, count: std::mem::take(&mut bucket.dropped) });
            }
        }
        reports.sort_by_key(|dropped| dropped.event);
        reports
    }
}

impl Bucket {
    /// Adds the tokens for the time since the last refill, up to the burst.
    fn refill(&mut self, now: u64, rate: Rate) {
        // A clock that goes backwards adds no tokens.
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + elapsed_s * rate.per_second).min(rate.burst.max(1.0));
        self.refilled_at = self.refilled_at.max(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_subject_has_its_own_limit_and_every_event_is_emitted_or_counted() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut limiter = Limiter::default();
        limiter.set_rate(Rate { burst: 5.0, per_second: 2.0 });
        let (mut now, mut emitted, mut counted, mut events) = (0, HashMap::<String, u64>::new(), 0, 0);
        for _ in 0..20_000 {
            now += rng.u64(0..2_000);
            let subject = format!("n{}", rng.u32(0..3));
            events += 1;
            if let Verdict::Emit(dropped) = limiter.admit(now, "e", &subject) {
                *emitted.entry(subject).or_default() += 1;
                counted += 1 + dropped;
            }
        }
        let max_emitted = 5.0 + 2.0 * now as f64 / 1e6;
        assert!(
            emitted
                .values()
                .all(|count| (*count as f64) <= max_emitted + 1.0 && *count as f64 >= max_emitted - 2.0),
            "{emitted:?}"
        );
        // Counts that no later event reports are returned as soon as the rate allows.
        let rest: u64 = limiter.take_dropped(now + 10_000_000).iter().map(|dropped| dropped.count).sum();
        assert_eq!(counted + rest, events);
        assert_eq!(limiter.take_dropped(now + 10_000_000), []);
    }

    #[test]
    fn number_of_buckets_is_bounded() {
        let mut limiter = Limiter::default();
        let is_emitted = |verdict| matches!(verdict, Verdict::Emit(_));
        for n in 0..10 * MAX_BUCKETS {
            limiter.admit(0, "flood", &n.to_string());
        }
        assert!(limiter.buckets.len() <= MAX_BUCKETS + 1);
        // Another event still uses the shared bucket of its own name.
        assert!(is_emitted(limiter.admit(0, "other", "n")));
        // Idle buckets with nothing to report are removed later, which makes room.
        assert!(is_emitted(limiter.admit(60_000_000, "late", "n")));
        assert!(limiter.buckets.len() < 10, "{}", limiter.buckets.len());
    }
}
