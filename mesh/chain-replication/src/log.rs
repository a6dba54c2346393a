//! The last updates, kept in memory for replicas that lack a few.

use std::collections::VecDeque;

use crate::identity::{Entry, Position};

/// Most updates that are kept.
const MOST_ENTRIES: usize = 4096;
/// Most bytes of them.
const MOST_BYTES: usize = 8 << 20;
/// Most entries of one message, and about their most bytes.
const MOST_SENT: usize = 512;
const MOST_SENT_BYTES: usize = 1 << 20;

/// The last updates in their order.
pub struct RecentLog {
    /// The position before the first entry.
    start: Position,
    entries: VecDeque<Entry>,
    bytes: usize,
}

impl RecentLog {
    /// Nothing; the next update follows upon `start`.
    pub fn new(start: Position) -> RecentLog {
        RecentLog { start, entries: VecDeque::new(), bytes: 0 }
    }

    /// The next update.
    pub fn push(&mut self, entry: Entry) {
        self.bytes += entry.update.len();
        self.entries.push_back(entry);
        while self.entries.len() > MOST_ENTRIES || (self.bytes > MOST_BYTES && self.entries.len() > 1) {
            let Some(first) = self.entries.pop_front() else { break };
            self.bytes -= first.update.len();
            self.start = first.position;
        }
    }

    /// Forgets all; the next update follows upon `start`.
    pub fn restart(&mut self, start: Position) {
        *self = RecentLog::new(start);
    }

    /// Whether whoever is at a position has the history that this log goes on from.
    pub fn contains(&self, position: Position) -> bool {
        let known = || self.index(position.sequence).map(|at| self.entries[at].position);
        position == self.start || known() == Some(position)
    }

    fn index(&self, sequence: u64) -> Option<usize> {
        let first = self.entries.front()?.position.sequence;
        let at = usize::try_from(sequence.checked_sub(first)?).ok()?;
        (at < self.entries.len()).then_some(at)
    }

    /// Updates after `sequence` up to `last`, as many as fit one message. Nothing where they are no longer here.
    pub fn after(&self, sequence: u64, last: u64) -> Option<Vec<Entry>> {
        let at = self.index(sequence + 1)?;
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.update.len();
            bytes <= MOST_SENT_BYTES || bytes == entry.update.len()
        };
        let wanted = self.entries.iter().skip(at).take_while(|entry| entry.position.sequence <= last);
        Some(wanted.take(MOST_SENT).take_while(fits).cloned().collect())
    }

    /// Updates from the newest back to the one after `sequence`.
    pub fn newest_first(&self, sequence: u64) -> impl Iterator<Item = &Entry> {
        self.entries.iter().rev().take_while(move |entry| entry.position.sequence > sequence)
    }
}
