//! In-memory log of the most recent updates, for replicas that are only a few updates behind.

use std::collections::VecDeque;

use crate::identity::{Entry, Position};

/// Maximum number of updates kept in the log.
const MAX_ENTRIES: usize = 4096;
/// Maximum total size of the updates kept in the log, in bytes. The newest update is kept even if it is
/// larger.
const MAX_LOG_BYTES: usize = 8 << 20;
/// Maximum number of entries in one message.
const MAX_BATCH_ENTRIES: usize = 512;
/// Maximum size of the updates in one message, in bytes. A larger update is sent in a message of its own.
const MAX_BATCH_BYTES: usize = 1 << 20;

/// The most recent updates, in order of their sequence numbers.
pub struct RecentLog {
    /// The position before the first entry in the log.
    start: Position,
    /// The updates, oldest first, with consecutive sequence numbers.
    entries: VecDeque<Entry>,
    /// Total size of the updates in `entries`, in bytes.
    bytes: usize,
}

impl RecentLog {
    /// An empty log; the next update follows `start`.
    pub fn new(start: Position) -> RecentLog {
        RecentLog { start, entries: VecDeque::new(), bytes: 0 }
    }

    /// Appends the next update and drops the oldest updates while the log exceeds its limits.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.update.len();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_ENTRIES || (self.bytes > MAX_LOG_BYTES && self.entries.len() > 1) {
            let Some(first) = self.entries.pop_front() else { break };
            self.bytes -= first.update.len();
            self.start = first.position;
        }
    }

    /// Clears the log; the next update follows `start`.
    pub fn restart(&mut self, start: Position) {
        *self = RecentLog::new(start);
    }

    /// Whether a replica at `position` shares the history of this log, so that later entries can be applied
    /// to its state.
    pub fn contains(&self, position: Position) -> bool {
        let logged = || self.index(position.sequence).map(|at| self.entries[at].position);
        position == self.start || logged() == Some(position)
    }

    /// Index in `entries` of the entry with this sequence number, if it is in the log.
    fn index(&self, sequence: u64) -> Option<usize> {
        let first = self.entries.front()?.position.sequence;
        let at = usize::try_from(sequence.checked_sub(first)?).ok()?;
        (at < self.entries.len()).then_some(at)
    }

    /// Updates after `sequence` up to `last`, as many as fit in one message. `None` if the log no longer has
    /// the first of them.
    pub fn after(&self, sequence: u64, last: u64) -> Option<Vec<Entry>> {
        let at = self.index(sequence + 1)?;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.update.len();
            bytes <= MAX_BATCH_BYTES || bytes == entry.update.len()
        };
        let requested = self.entries.iter().skip(at).take_while(|entry| entry.position.sequence <= last);
        Some(requested.take(MAX_BATCH_ENTRIES).take_while(fits).cloned().collect())
    }

    /// Updates from the newest back to the one that follows `sequence`.
    pub fn newest_first(&self, sequence: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev().take_while(move |entry| entry.position.sequence > sequence)
    }
}
