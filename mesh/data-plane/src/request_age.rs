//! Estimates how long ago the first try of a request began, without I/O. A try only carries the client's remaining time.
//! The total time that clients wait is learned from the most frequent remaining times, and a try with less time left is a
//! later one.

use std::collections::HashMap;

use hyper::header::HeaderValue;

/// A duration or a point in time, in milliseconds.
pub type Millis = u64;

/// Number of values that are counted. The count of a value is too high by at most the number of samples divided by this.
const MAX_COUNTED_VALUES: usize = 16;
/// A remaining time shared by at least one in this many tries counts as that of first tries; the remaining times of later
/// tries are all different.
const COMMON_ONE_IN: u64 = 6;
/// Number of samples below which there is no estimate.
const MIN_SAMPLES: u64 = 12;
/// Length of a window in which values are counted.
const WINDOW_MS: Millis = 10_000;

/// The most frequent values of a stream, counted by the space-saving algorithm.
#[derive(Clone, Debug, Default)]
struct FrequentValues {
    /// Number of values added.
    samples: u64,
    /// Values with their counts.
    counts: Vec<(Millis, u64)>,
}

impl FrequentValues {
    /// Counts a value, in place of the rarest one if there is no room for it.
    fn add(&mut self, value: Millis) {
        self.samples += 1;
        if let Some((_, count)) = self.counts.iter_mut().find(|(known, _)| *known == value) {
            *count += 1;
        } else if self.counts.len() < MAX_COUNTED_VALUES {
            self.counts.push((value, 1));
        } else if let Some(rarest) = self.counts.iter_mut().min_by_key(|(_, count)| *count) {
            *rarest = (value, rarest.1 + 1);
        }
    }

    /// The longest value that is common; `None` if there are too few samples or no common value.
    fn longest_common(&self) -> Option<Millis> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let common = self.counts.iter().filter(|(_, count)| count * COMMON_ONE_IN >= self.samples);
        common.map(|(value, _)| *value).max()
    }
}

/// Estimates the total time that the clients of one kind of request wait, and from it the age of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestAgeEstimator {
    /// When the present window began.
    window_start: Millis,
    /// Remaining times of the tries in the present window.
    current: FrequentValues,
    /// Total client timeout learned in the last window with enough samples.
    previous_timeout: Option<Millis>,
}

impl RequestAgeEstimator {
    /// Records a try with this remaining time. Returns how long ago the client's first try began, or zero if that is not
    /// known.
    pub fn record(&mut self, now: Millis, time_left: Millis) -> Millis {
        if now.saturating_sub(self.window_start) >= WINDOW_MS {
            // A window with too few samples does not replace the earlier estimate.
            if self.current.samples >= MIN_SAMPLES {
                self.previous_timeout = self.current.longest_common();
            }
            self.current = FrequentValues::default();
            self.window_start = now;
        }
        self.current.add(time_left);
        let client_timeout = self.current.longest_common().or(self.previous_timeout);
        client_timeout.map_or(0, |client_timeout| client_timeout.saturating_sub(time_left))
    }
}

/// A [`RequestAgeEstimator`] for each kind of request.
#[derive(Debug, Default)]
pub struct RequestAgeEstimators {
    /// Estimators by request kind.
    by_kind: HashMap<HeaderValue, RequestAgeEstimator>,
}

impl RequestAgeEstimators {
    /// Records a try of a request kind; see [`RequestAgeEstimator::record`].
    pub fn record(&mut self, kind: &HeaderValue, now: Millis, time_left: Millis) -> Millis {
        match self.by_kind.get_mut(kind) {
            Some(estimator) => estimator.record(now, time_left),
            None => self.by_kind.entry(kind.clone()).or_default().record(now, time_left),
        }
    }

    /// Keeps the estimators of the given kinds and removes all others.
    pub fn retain<'a>(&mut self, kinds: impl Iterator<Item = &'a HeaderValue>) {
        let retained = kinds.filter_map(|kind| self.by_kind.remove_entry(kind)).collect();
        self.by_kind = retained;
    }
}
