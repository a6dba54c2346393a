//! How long clients wait in all, from their first try on. Each try tells only the time that is left, so a later try is known
//! by having less than the first ones have. Without I/O.

use std::collections::HashMap;

use hyper::header::HeaderValue;

/// Milliseconds.
pub type Millis = u64;

/// Values that are counted. A value is overestimated by at most one part in so many of what was seen.
const COUNTED: usize = 16;
/// A time that one part in so many of the tries has is one that clients begin with; those of later tries are all different.
const COMMON: u64 = 6;
/// Tries without which nothing is said.
const LEAST_SEEN: u64 = 12;
/// How long a window of counting lasts.
const WINDOW: Millis = 10_000;

/// The most frequent values of a stream, by the space-saving algorithm.
#[derive(Clone, Debug, Default)]
struct Frequent {
    seen: u64,
    counts: Vec<(Millis, u64)>,
}

impl Frequent {
    fn add(&mut self, value: Millis) {
        self.seen += 1;
        if let Some((_, count)) = self.counts.iter_mut().find(|(known, _)| *known == value) {
            *count += 1;
        } else if self.counts.len() < COUNTED {
            self.counts.push((value, 1));
        } else if let Some(rarest) = self.counts.iter_mut().min_by_key(|(_, count)| *count) {
            *rarest = (value, rarest.1 + 1);
        }
    }

    /// The longest of the values that are common.
    fn longest_common(&self) -> Option<Millis> {
        if self.seen < LEAST_SEEN {
            return None;
        }
        let common = self.counts.iter().filter(|(_, count)| count * COMMON >= self.seen);
        common.map(|(value, _)| *value).max()
    }
}

/// What the clients of one kind of request wait for, in all.
#[derive(Clone, Debug, Default)]
pub struct Patience {
    began: Millis,
    current: Frequent,
    /// What the last window with enough tries has told.
    before: Option<Millis>,
}

impl Patience {
    /// A try with so much time left arrives; how long ago its client's first try began, zero where that can't be told.
    pub fn age(&mut self, now: Millis, left: Millis) -> Millis {
        if now.saturating_sub(self.began) >= WINDOW {
            // A few tries tell nothing new.
            if self.current.seen >= LEAST_SEEN {
                self.before = self.current.longest_common();
            }
            self.current = Frequent::default();
            self.began = now;
        }
        self.current.add(left);
        let in_all = self.current.longest_common().or(self.before);
        in_all.map_or(0, |in_all| in_all.saturating_sub(left))
    }
}

/// The same for each kind of request.
#[derive(Debug, Default)]
pub struct Patiences {
    by_kind: HashMap<HeaderValue, Patience>,
}

impl Patiences {
    /// A try of this kind arrives, as in [`Patience::age`].
    pub fn age(&mut self, kind: &HeaderValue, now: Millis, left: Millis) -> Millis {
        match self.by_kind.get_mut(kind) {
            Some(patience) => patience.age(now, left),
            None => self.by_kind.entry(kind.clone()).or_default().age(now, left),
        }
    }

    /// Forgets the kinds that are not asked for any more.
    pub fn keep<'a>(&mut self, kinds: impl Iterator<Item = &'a HeaderValue>) {
        let kept = kinds.filter_map(|kind| self.by_kind.remove_entry(kind)).collect();
        self.by_kind = kept;
    }
}
