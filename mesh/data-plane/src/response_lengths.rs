//! Learns the mean response length of each kind of request, so that the load on the link can be estimated before a response
//! exists.

use std::collections::HashMap;

use crate::shaped_body::LONG_RESPONSE_BYTES;

/// Weight of the newest sample in the moving average of response lengths.
const MEAN_UPDATE_WEIGHT: f64 = 0.1;
/// Maximum number of request kinds with a mean; further kinds are ignored.
const MAX_KINDS: usize = 64;

/// Mean response lengths, by kind of request.
#[derive(Debug, Default)]
pub struct ResponseLengths {
    /// Mean response length in bytes, by kind of request.
    by_kind: HashMap<u64, f64>,
}

impl ResponseLengths {
    /// Mean response length of a kind in bytes, if such responses are long.
    pub fn long_mean(&self, kind: u64) -> Option<u64> {
        let mean = self.by_kind.get(&kind).map(|mean| *mean as u64);
        mean.filter(|mean| *mean > LONG_RESPONSE_BYTES)
    }

    /// Adds the length of a response in bytes to the mean of its kind.
    pub fn record(&mut self, kind: u64, length: u64) {
        if self.by_kind.len() < MAX_KINDS || self.by_kind.contains_key(&kind) {
            let mean = self.by_kind.entry(kind).or_insert(length as f64);
            *mean += MEAN_UPDATE_WEIGHT * (length as f64 - *mean);
        }
    }
}
