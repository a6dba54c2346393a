//! A simulated disk: the synced state and the writes that are not synced yet.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use sloeline_chain_replication::{DurableState, Rows, Write};

/// The disk of a simulated machine.
pub struct Disk {
    /// The synced durable state.
    pub durable: DurableState,
    /// The synced rows.
    pub rows: BTreeMap<Bytes, Bytes>,
    /// Writes that are not synced yet, each with the time at which its sync completes.
    pub writes: VecDeque<(u64, Write)>,
    /// Maximum duration of a sync, in milliseconds.
    pub max_sync_ms: u64,
}

impl Disk {
    /// A disk with this durable state and no rows.
    pub fn new(durable: DurableState, max_sync_ms: u64) -> Disk {
        Disk { durable, rows: BTreeMap::new(), writes: VecDeque::new(), max_sync_ms }
    }

    /// Applies a write to the synced state.
    pub fn apply(&mut self, write: &Write) {
        if write.replace_all {
            self.rows.clear();
        }
        for (key, value) in &write.rows {
            match value {
                Some(value) => self.rows.insert(key.clone(), value.clone()),
                None => self.rows.remove(key),
            };
        }
        self.durable = write.durable.clone();
    }

    /// The synced rows, as a node loads them at its start.
    pub fn load(&self) -> Rows {
        self.rows.iter().map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// Ends the process: of the writes that are not synced yet, the first `stored` reach the disk. After a kill
    /// these are all writes; after a power loss they may be fewer.
    pub fn end(&mut self, stored: usize) {
        let writes: Vec<Write> = self.writes.drain(..).map(|(_, write)| write).collect();
        for write in &writes[..stored] {
            self.apply(write);
        }
    }
}
