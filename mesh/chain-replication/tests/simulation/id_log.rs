//! A simple state machine for tests: the ids of all updates in the order in which they were applied.

use bytes::Bytes;
use sloeline_chain_replication::{Applied, Row, Rows, StateMachine};

/// The ids of all updates applied so far.
#[derive(Default)]
pub struct IdLog {
    /// The ids in the order in which the updates were applied.
    ids: Vec<u64>,
}

/// The id of an update that reads the whole log and changes nothing.
pub const READ: u64 = 0;

impl IdLog {
    /// Whether the update with this id has been applied.
    pub fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// The reply to a read: all ids as big-endian bytes.
    fn encoded(&self) -> Bytes {
        self.ids.iter().flat_map(|id| id.to_be_bytes()).collect::<Vec<u8>>().into()
    }
}

/// The ids in the reply to a read.
pub fn decoded(result: &Bytes) -> Vec<u64> {
    result.chunks_exact(8).map(|c| u64::from_be_bytes(c.try_into().expect("eight bytes"))).collect()
}

/// The encoded update with this id.
pub fn update(id: u64) -> Bytes {
    Bytes::copy_from_slice(&id.to_be_bytes())
}

impl StateMachine for IdLog {
    fn apply(&mut self, _stamp: u64, update: &Bytes) -> Applied {
        let id = u64::from_be_bytes(update.as_ref().try_into().expect("eight bytes"));
        // Retries can bring the same update twice; the second one changes nothing.
        let rows: Vec<Row> = match id {
            READ => Vec::new(),
            _ if self.ids.contains(&id) => Vec::new(),
            _ => {
                self.ids.push(id);
                let key = (self.ids.len() as u64).to_be_bytes();
                vec![(Bytes::copy_from_slice(&key), Some(update.clone()))]
            }
        };
        let result = if id == READ { self.encoded() } else { Bytes::new() };
        Applied { result, rows }
    }

    fn load(&mut self, rows: &Rows) {
        self.ids = rows
            .iter()
            .map(|(_, id)| u64::from_be_bytes(id.as_ref().try_into().expect("eight bytes")))
            .collect();
    }
}
