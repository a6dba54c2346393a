//! How often an event is told: so many at once and so many a second for each event and what it is about, the rest counted.
//! No I/O; the time is an argument, in microseconds.
//!
//! What events are about comes from outside (names of nodes, say) and may be anything: so many are told apart, and the rest
//! of each event share one count.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What is told apart at once.
pub const MOST_KEYS: usize = 1024;

/// How much is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// At once.
    pub burst: f64,
    /// A second.
    pub per_second: f64,
}

impl Default for Rate {
    fn default() -> Rate {
        Rate { burst: 20.0, per_second: 1.0 }
    }
}

/// Whether an event is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is, and so many like it were not since the last.
    Tell(u64),
    /// It is counted.
    Drop,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    left: f64,
    at: u64,
    dropped: u64,
}

/// Events that were not told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Which.
    pub event: &'static str,
    /// How many.
    pub count: u64,
}

/// Decides what is told.
#[derive(Debug, Default)]
pub struct Limiter {
    rate: Rate,
    /// By event and a hash of what it is about; none for all that there was no place for.
    buckets: HashMap<(&'static str, Option<u64>), Bucket>,
    swept: u64,
}

impl Limiter {
    /// Other rates from now on.
    pub fn set(&mut self, rate: Rate) {
        self.rate = rate;
    }

    /// Whether an event about something is told.
    pub fn admit(&mut self, now: u64, event: &'static str, about: &str) -> Verdict {
        let mut hasher = DefaultHasher::new();
        about.hash(&mut hasher);
        let key = (event, Some(hasher.finish()));
        if !self.buckets.contains_key(&key) && self.buckets.len() >= MOST_KEYS {
            self.rest(now);
        }
        let room = self.buckets.contains_key(&key) || self.buckets.len() < MOST_KEYS;
        let key = if room { key } else { (event, None) };
        let rate = self.rate;
        let bucket = self.buckets.entry(key).or_insert(Bucket { left: rate.burst, at: now, dropped: 0 });
        bucket.fill(now, rate);
        if bucket.left >= 1.0 {
            bucket.left -= 1.0;
            Verdict::Tell(std::mem::take(&mut bucket.dropped))
        } else {
            bucket.dropped += 1;
            Verdict::Drop
        }
    }

    /// Forgets what has long been quiet and owes nothing, at most once for each refill.
    fn rest(&mut self, now: u64) {
        let rate = self.rate;
        let refill = (1e6 / rate.per_second.max(1e-3)) as u64;
        if now.saturating_sub(self.swept) < refill {
            return;
        }
        self.swept = now;
        self.buckets.retain(|_, bucket| {
            bucket.fill(now, rate);
            bucket.dropped > 0 || bucket.left < rate.burst
        });
    }

    /// What was dropped, is not told yet, and may be told now: the last of a burst that nothing follows.
    pub fn sweep(&mut self, now: u64) -> Vec<Dropped> {
        let rate = self.rate;
        let mut told = Vec::new();
        for ((event, _), bucket) in &mut self.buckets {
            bucket.fill(now, rate);
            if bucket.dropped > 0 && bucket.left >= 1.0 {
                bucket.left -= 1.0;
                told.push(Dropped { event, count: std::mem::take(&mut bucket.dropped) });
            }
        }
        told.sort_by_key(|dropped| dropped.event);
        told
    }
}

impl Bucket {
    fn fill(&mut self, now: u64, rate: Rate) {
        // A clock that goes back brings nothing.
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.left = (self.left + span * rate.per_second).min(rate.burst.max(1.0));
        self.at = self.at.max(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_thing_has_its_own_measure_and_every_event_is_told_or_counted() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut limiter = Limiter::default();
        limiter.set(Rate { burst: 5.0, per_second: 2.0 });
        let (mut now, mut told, mut counted, mut events) = (0, HashMap::<String, u64>::new(), 0, 0);
        for _ in 0..20_000 {
            now += rng.u64(0..2_000);
            let about = format!("n{}", rng.u32(0..3));
            events += 1;
            if let Verdict::Tell(dropped) = limiter.admit(now, "e", &about) {
                *told.entry(about).or_default() += 1;
                counted += 1 + dropped;
            }
        }
        let most = 5.0 + 2.0 * now as f64 / 1e6;
        assert!(
            told.values().all(|told| (*told as f64) <= most + 1.0 && *told as f64 >= most - 2.0),
            "{told:?}"
        );
        // What nothing follows is told when it may be.
        let rest: u64 = limiter.sweep(now + 10_000_000).iter().map(|dropped| dropped.count).sum();
        assert_eq!(counted + rest, events);
        assert_eq!(limiter.sweep(now + 10_000_000), []);
    }

    #[test]
    fn names_from_outside_take_up_no_more_than_there_is_room_for() {
        let mut limiter = Limiter::default();
        let told = |verdict| matches!(verdict, Verdict::Tell(_));
        for n in 0..10 * MOST_KEYS {
            limiter.admit(0, "flood", &n.to_string());
        }
        assert!(limiter.buckets.len() <= MOST_KEYS + 1);
        // Another event is told all the same, if it is not as many itself.
        assert!(told(limiter.admit(0, "other", "n")));
        // Later there is room again: what is quiet and owes nothing is forgotten.
        assert!(told(limiter.admit(60_000_000, "late", "n")));
        assert!(limiter.buckets.len() < 10, "{}", limiter.buckets.len());
    }
}
