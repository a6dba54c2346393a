//! What came of the runs that this machine holds claims for.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

use crate::StoredResponse;

/// What is known of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It is at work, or waits to be.
    Running,
    /// It ran, with this answer; nothing where the answer was lost or is too large.
    Ran(Option<StoredResponse>),
}

/// The runs of this process, for as long as their keys are kept.
#[derive(Debug)]
pub struct Ledger {
    entries: HashMap<Bytes, (u64, Entry)>,
    /// In the order of their beginnings.
    order: VecDeque<(u64, u64, Bytes)>,
    window: u64,
    bytes: usize,
    most: usize,
}

impl Ledger {
    /// None; entries are kept for `window` milliseconds, answers in at most so many bytes.
    pub fn new(window: u64, most: usize) -> Ledger {
        Ledger { entries: HashMap::new(), order: VecDeque::new(), window, bytes: 0, most }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// About what the answers take of the memory.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// What is known of a key, and of which run.
    pub fn get(&self, key: &Bytes) -> Option<&(u64, Entry)> {
        self.entries.get(key)
    }

    /// A run begins.
    pub fn begin(&mut self, now: u64, key: &Bytes, run: u64) {
        while self.order.front().is_some_and(|(at, ..)| at.saturating_add(self.window) < now) {
            let Some((_, run, key)) = self.order.pop_front() else { break };
            self.end(&key, run);
        }
        self.remove(key);
        self.entries.insert(key.clone(), (run, Entry::Running));
        self.order.push_back((now, run, key.clone()));
    }

    /// It ran.
    pub fn ran(&mut self, key: &Bytes, run: u64, answer: Option<StoredResponse>) {
        let Some((known, entry)) = self.entries.get_mut(key) else { return };
        if *known != run || *entry != Entry::Running {
            return;
        }
        // The key counts too: many small answers under long keys take memory as well.
        let size = answer.as_ref().map_or(0, |a| a.size() + key.len());
        // Guards the memory: an answer that is not kept is lost, which is no promise broken.
        let kept = self.bytes + size <= self.most;
        *entry = Entry::Ran(answer.filter(|_| kept));
        self.bytes += if kept { size } else { 0 };
    }

    /// Keeps an answer for another holder, which may forget it.
    pub fn keep(&mut self, now: u64, key: &Bytes, run: u64, answer: StoredResponse) {
        if !self.entries.contains_key(key) {
            self.begin(now, key, run);
            self.ran(key, run, Some(answer));
        }
    }

    /// It never ran and never will.
    pub fn end(&mut self, key: &Bytes, run: u64) {
        if self.entries.get(key).is_some_and(|(known, _)| *known == run) {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: &Bytes) {
        if let Some((_, Entry::Ran(Some(answer)))) = self.entries.remove(key) {
            self.bytes = self.bytes.saturating_sub(answer.size() + key.len());
        }
    }
}
