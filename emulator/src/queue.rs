//! The event queue: earliest first, and first in first out among those of one microsecond.
//!
//! A radix heap (R. K. Ahuja, K. Mehlhorn, J. B. Orlin, R. E. Tarjan, "Faster Algorithms for the Shortest Path Problem",
//! 1990): time never goes back, so an event waits in the bucket of the highest bit in which its time differs from the
//! present, and moves to lower ones at most once for each bit. Events of one time always share a bucket, in the order in
//! which they came, which makes the order of ties that of their scheduling.

use std::collections::VecDeque;

use finchshift::Micros;

/// One bucket for each bit of a time, beside that of the present.
const BUCKETS: usize = 64;

/// Events that are to come.
pub struct Queue<E> {
    /// Those of the present.
    ready: VecDeque<E>,
    buckets: Vec<Vec<(Micros, E)>>,
    now: Micros,
    len: usize,
}

impl<E> Default for Queue<E> {
    fn default() -> Queue<E> {
        let buckets = (0..BUCKETS).map(|_| Vec::new()).collect();
        Queue { ready: VecDeque::new(), buckets, now: 0, len: 0 }
    }
}

impl<E> Queue<E> {
    /// How many are to come.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether none is to come.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The time of the event that came last.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Adds an event; one of the past comes now.
    pub fn push(&mut self, at: Micros, event: E) {
        self.len += 1;
        match bucket(at.max(self.now), self.now) {
            None => self.ready.push_back(event),
            Some(bucket) => self.buckets[bucket].push((at, event)),
        }
    }

    /// The next event; the present is its time.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        if self.ready.is_empty() {
            self.advance()?;
        }
        let event = self.ready.pop_front()?;
        self.len -= 1;
        Some((self.now, event))
    }

    /// Moves the present to the earliest event.
    fn advance(&mut self) -> Option<()> {
        let lowest = self.buckets.iter().position(|b| !b.is_empty())?;
        let mut waiting = std::mem::take(&mut self.buckets[lowest]);
        self.now = waiting.iter().map(|(at, _)| *at).min()?;
        for (at, event) in waiting.drain(..) {
            match bucket(at, self.now) {
                None => self.ready.push_back(event),
                Some(bucket) => self.buckets[bucket].push((at, event)),
            }
        }
        // Its memory serves again.
        self.buckets[lowest] = waiting;
        Some(())
    }
}

/// Where an event waits: by the highest bit in which its time differs from the present.
fn bucket(at: Micros, now: Micros) -> Option<usize> {
    (at ^ now).checked_ilog2().map(|bit| bit as usize)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{RngExt, SeedableRng};

    /// Against a sorted list, with ties, events for the past, and pushes between pops.
    #[test]
    fn events_come_by_time_and_then_in_the_order_in_which_they_were_added() {
        let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(rand::random);
        println!("SEED={seed}");
        let mut rng = rand_xoshiro::Xoshiro256PlusPlus::seed_from_u64(seed);
        let (mut queue, mut model) = (Queue::default(), std::collections::BTreeMap::new());
        let mut number = 0_u64;
        for _ in 0..50_000 {
            if rng.random_range(0..5) < 3 {
                let ahead = match rng.random_range(0..4) {
                    0 => rng.random_range(0..4),
                    1 => rng.random_range(0..5000),
                    _ => rng.random_range(0..50_000_000),
                };
                let at = queue.now().saturating_sub(2) + ahead;
                queue.push(at, number);
                model.insert((at.max(queue.now()), number), ());
                number += 1;
            } else {
                let expected = model.pop_first().map(|(key, ())| key);
                assert_eq!(queue.pop(), expected);
            }
            assert_eq!(queue.len(), model.len());
        }
        while let Some(expected) = model.pop_first() {
            assert_eq!(queue.pop(), Some(expected.0));
        }
        assert!(queue.pop().is_none() && queue.is_empty());
    }
}
