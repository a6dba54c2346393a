//! Results of the runs whose claims this machine holds.

use std::collections::{HashMap, HashSet, VecDeque};

use bytes::Bytes;

use crate::StoredResponse;

/// State of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The run is in progress, or waits to start.
    Running,
    /// The run finished with this response; `None` if the response was lost or is too large to store.
    Finished(Option<StoredResponse>),
}

/// The runs of this process and their responses, for as long as their operation keys are remembered.
#[derive(Debug)]
pub struct Ledger {
    /// Run identifier and state, by operation key.
    entries: HashMap<Bytes, (u64, RunState)>,
    /// Runs whose claims are being asked for. Most of several runs for one key will be denied, so none of them counts as the
    /// run of the key before its claim is granted.
    claiming: HashSet<u64>,
    /// Start time, run identifier and operation key of each run, oldest first. Removed runs stay listed until they expire.
    expiry_order: VecDeque<(u64, u64, Bytes)>,
    /// Age in milliseconds at which an entry expires.
    window_ms: u64,
    /// Approximate memory use of the stored responses and their keys.
    stored_bytes: usize,
    /// Upper limit of `stored_bytes`.
    max_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger that keeps entries for `window_ms` milliseconds and stores responses of at most
    /// `max_bytes` bytes in total.
    pub fn new(window_ms: u64, max_bytes: usize) -> Ledger {
        Ledger {
            entries: HashMap::new(),
            claiming: HashSet::new(),
            expiry_order: VecDeque::new(),
            window_ms,
            stored_bytes: 0,
            max_bytes,
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Approximate memory use of the stored responses and their keys, in bytes.
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Identifier and state of the run known for an operation key.
    pub fn get(&self, key: &Bytes) -> Option<&(u64, RunState)> {
        self.entries.get(key)
    }

    /// Records that the claim of a run is being asked for. [`Ledger::start`] or [`Ledger::end_claim`] follows.
    pub fn begin_claim(&mut self, run: u64) {
        self.claiming.insert(run);
    }

    /// Records that the claim of a run was denied or failed.
    pub fn end_claim(&mut self, run: u64) {
        self.claiming.remove(&run);
    }

    /// Whether the claim of a run is being asked for. It may have been granted already, with the answer on its way.
    pub fn is_claiming(&self, run: u64) -> bool {
        self.claiming.contains(&run)
    }

    /// Records the start of a run in place of any earlier entry for its key, and removes expired entries.
    pub fn start(&mut self, now_ms: u64, key: &Bytes, run: u64) {
        while self.expiry_order.front().is_some_and(|(at, ..)| at.saturating_add(self.window_ms) < now_ms) {
            let Some((_, run, key)) = self.expiry_order.pop_front() else { break };
            self.remove_run(&key, run);
        }
        self.claiming.remove(&run);
        self.remove(key);
        self.entries.insert(key.clone(), (run, RunState::Running));
        self.expiry_order.push_back((now_ms, run, key.clone()));
    }

    /// Records that a run finished, with its response if there is one to store.
    pub fn finish(&mut self, key: &Bytes, run: u64, response: Option<StoredResponse>) {
        let Some((known, state)) = self.entries.get_mut(key) else { return };
        if *known != run || *state != RunState::Running {
            return;
        }
        // The key counts as well: many small responses under long keys also use memory.
        let size = response.as_ref().map_or(0, |r| r.size() + key.len());
        // Bounds memory use. A response that does not fit counts as lost, which breaks no guarantee.
        let fits = self.stored_bytes + size <= self.max_bytes;
        *state = RunState::Finished(response.filter(|_| fits));
        self.stored_bytes += if fits { size } else { 0 };
    }

    /// Stores a response for another machine, which holds the claim but may lose the response. Does nothing if there is
    /// an entry for the key.
    pub fn store_replica(&mut self, now_ms: u64, key: &Bytes, run: u64, response: StoredResponse) {
        if !self.entries.contains_key(key) {
            self.start(now_ms, key, run);
            self.finish(key, run, Some(response));
        }
    }

    /// Removes the entry of a run, either because it never ran and never will or because it has expired.
    pub fn remove_run(&mut self, key: &Bytes, run: u64) {
        if self.entries.get(key).is_some_and(|(known, _)| *known == run) {
            self.remove(key);
        }
    }

    /// Removes the entry of an operation key and stops counting the bytes of its response.
    fn remove(&mut self, key: &Bytes) {
        if let Some((_, RunState::Finished(Some(response)))) = self.entries.remove(key) {
            self.stored_bytes = self.stored_bytes.saturating_sub(response.size() + key.len());
        }
    }
}
