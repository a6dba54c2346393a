//! A disk: what is synced, and what was written since.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use sloeline_chain_replication::{DurableState, Rows, Write};

pub struct Disk {
    pub durable: DurableState,
    pub rows: BTreeMap<Bytes, Bytes>,
    pub writes: VecDeque<(u64, Write)>,
    /// Most milliseconds of a sync.
    pub slow: u64,
}

impl Disk {
    pub fn new(durable: DurableState, slow: u64) -> Disk {
        Disk { durable, rows: BTreeMap::new(), writes: VecDeque::new(), slow }
    }

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

    pub fn load(&self) -> Rows {
        self.rows.iter().map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// The process ended. After a kill all that was written is there, after a loss of power the first `kept` writes.
    pub fn end(&mut self, kept: usize) {
        let writes: Vec<Write> = self.writes.drain(..).map(|(_, write)| write).collect();
        for write in &writes[..kept] {
            self.apply(write);
        }
    }
}
