//! Keyed operations, one train to a section: a key is claimed before its operation runs, and whoever comes later with
//! the same key is told that it runs or what came of it. A state machine; where it is kept is the caller's business.
//!
//! | record | a claim by another run | `Done` by its run | `Release` by its run |
//! | --- | --- | --- | --- |
//! | none | granted | kept, as if it had been claimed | nothing |
//! | claimed | it is at work, by whom | the answer is kept | the record goes: it never ran |
//! | done | the answer | nothing | nothing |

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Most bytes of a key; longer ones are refused.
pub const MOST_KEY: usize = 512;

/// An answer that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Vec<(String, Bytes)>,
    /// Its body.
    pub body: Bytes,
}

/// What is asked of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// May this run go?
    Claim {
        /// The key.
        key: Bytes,
        /// The run, never used for another.
        run: u64,
        /// The machine that would run it.
        holder: String,
    },
    /// It ran.
    Done {
        /// The key.
        key: Bytes,
        /// The run.
        run: u64,
        /// Its answer, where there is one that can be kept.
        answer: Option<Answer>,
    },
    /// It did not run and never will.
    Release {
        /// The key.
        key: Bytes,
        /// The run.
        run: u64,
    },
}

impl Update {
    /// The key.
    pub fn key(&self) -> &Bytes {
        match self {
            Update::Claim { key, .. } | Update::Done { key, .. } | Update::Release { key, .. } => key,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run may go. For the other updates: done.
    Granted,
    /// Another run has it.
    Running {
        /// On this machine.
        holder: String,
    },
    /// It ran.
    Ran {
        /// With this answer; nothing where it was lost.
        answer: Option<Answer>,
    },
}

/// What is kept of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When it was claimed.
    pub stamp: u64,
    /// By which run.
    pub run: u64,
    /// On which machine.
    pub holder: String,
    /// It ran, with or without an answer.
    pub ran: Option<Option<Answer>>,
}

/// All keys within their window.
#[derive(Debug, Default)]
pub struct Table {
    records: HashMap<Bytes, Record>,
    /// In the order of their claims.
    order: VecDeque<(u64, u64, Bytes)>,
    window: u64,
}

/// A record that changed: its key, and what is kept now.
pub type Changed = Vec<(Bytes, Option<Record>)>;

impl Table {
    /// An empty table that keeps keys for `window` milliseconds.
    pub fn new(window: u64) -> Table {
        Table { window, ..Table::default() }
    }

    /// How many keys are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What is kept of a key.
    pub fn get(&self, key: &Bytes) -> Option<&Record> {
        self.records.get(key)
    }

    /// All of it.
    pub fn records(&self) -> impl Iterator<Item = (&Bytes, &Record)> {
        self.records.iter()
    }

    /// Takes these records in place of all others.
    pub fn load(&mut self, records: impl Iterator<Item = (Bytes, Record)>) {
        self.records = records.collect();
        let mut order: Vec<_> = self.records.iter().map(|(k, r)| (r.stamp, r.run, k.clone())).collect();
        order.sort_unstable();
        self.order = order.into();
    }

    /// Applies an update. Stamps never go back.
    pub fn apply(&mut self, stamp: u64, update: &Update) -> (Outcome, Changed) {
        let mut changed = self.expire(stamp);
        let outcome = match update {
            Update::Claim { key, run, holder } => match self.records.get(key) {
                Some(record) if record.run != *run || record.ran.is_some() => match &record.ran {
                    Some(answer) => Outcome::Ran { answer: answer.clone() },
                    None => Outcome::Running { holder: record.holder.clone() },
                },
                Some(_) => Outcome::Granted,
                None => {
                    let record = Record { stamp, run: *run, holder: holder.clone(), ran: None };
                    self.keep(key, record, &mut changed);
                    Outcome::Granted
                }
            },
            Update::Done { key, run, answer } => {
                match self.records.get_mut(key) {
                    Some(record) if record.run == *run && record.ran.is_none() => {
                        record.ran = Some(answer.clone());
                        changed.push((key.clone(), Some(record.clone())));
                    }
                    Some(_) => {}
                    None => {
                        let (holder, ran) = (String::new(), Some(answer.clone()));
                        self.keep(key, Record { stamp, run: *run, holder, ran }, &mut changed);
                    }
                }
                Outcome::Granted
            }
            Update::Release { key, run } => {
                if self.records.get(key).is_some_and(|r| r.run == *run && r.ran.is_none()) {
                    self.records.remove(key);
                    changed.push((key.clone(), None));
                }
                Outcome::Granted
            }
        };
        (outcome, changed)
    }

    fn keep(&mut self, key: &Bytes, record: Record, changed: &mut Changed) {
        self.order.push_back((record.stamp, record.run, key.clone()));
        changed.push((key.clone(), Some(record.clone())));
        self.records.insert(key.clone(), record);
    }

    /// Forgets what is older than the window.
    fn expire(&mut self, stamp: u64) -> Changed {
        let mut changed = Changed::new();
        while let Some((at, run, _)) = self.order.front()
            && at + self.window < stamp
        {
            let (at, run) = (*at, *run);
            let Some((.., key)) = self.order.pop_front() else { break };
            // It may have been released, and claimed anew since.
            if self.records.get(&key).is_some_and(|r| r.run == run && r.stamp == at) {
                self.records.remove(&key);
                changed.push((key, None));
            }
        }
        changed
    }
}
