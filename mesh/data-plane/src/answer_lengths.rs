//! How long answers are, by kind of request: learned, so that the link is reckoned with before an answer is there.

use std::collections::HashMap;

use crate::shaped_body::LONG;

/// Weight of the newest figure in the mean.
const NEWEST: f64 = 0.1;
/// Most kinds that are known.
const MOST_KINDS: usize = 64;

/// Mean lengths in bytes.
#[derive(Debug, Default)]
pub struct AnswerLengths {
    by_kind: HashMap<u64, f64>,
}

impl AnswerLengths {
    /// Mean length of the answers to such requests where they are long.
    pub fn long(&self, kind: u64) -> Option<u64> {
        let mean = self.by_kind.get(&kind).map(|mean| *mean as u64);
        mean.filter(|mean| *mean > LONG)
    }

    /// An answer was so long.
    pub fn learn(&mut self, kind: u64, length: u64) {
        if self.by_kind.len() < MOST_KINDS || self.by_kind.contains_key(&kind) {
            let mean = self.by_kind.entry(kind).or_insert(length as f64);
            *mean += NEWEST * (length as f64 - *mean);
        }
    }
}
