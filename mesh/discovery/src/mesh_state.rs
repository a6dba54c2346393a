//! All that a process knows of others, and what it tells to those who lack it.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use sloeline_config_transfer::Config;

use crate::record::{Record, Version, VersionVector};
use crate::rendezvous::Fnv;

/// Most records that are kept. Guards the memory against a stranger that makes names up.
const MOST_RECORDS: usize = 1 << 16;

/// The core machines that serve, as of a view of theirs: the higher round holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreList {
    /// The round of that view.
    pub round: u64,
    /// Where processes of the mesh reach them.
    pub machines: Vec<SocketAddr>,
}

/// Asks for what is lacking.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Who asks.
    pub source: String,
    /// What the asker has.
    pub vector: VersionVector,
    /// The version of its configuration, where it has one.
    #[serde(rename = "edition")]
    pub config_version: Option<u32>,
    /// The newest version that the other has told of.
    #[serde(rename = "offered")]
    pub offered_version: Option<u32>,
    /// The round of its list of core machines, where it has one.
    pub core_round: Option<u64>,
    /// What the asker believes that the other lacks.
    #[serde(rename = "told")]
    pub pushed_records: Vec<Record>,
    /// How long the other may wait for news, in milliseconds.
    #[serde(rename = "hold")]
    pub max_hold_ms: u64,
}

/// What was lacking.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Records.
    pub records: Vec<Record>,
    /// The version of a newer configuration. Its content is fetched in pieces: a message that must come within a time limit
    /// holds nothing that grows without bound.
    #[serde(rename = "offered")]
    pub offered_version: Option<u32>,
    /// A newer list of core machines.
    #[serde(rename = "core")]
    pub core_list: Option<CoreList>,
    /// What the other has of the asker.
    #[serde(rename = "yours")]
    pub requester_version: Option<Version>,
    /// The other is of the core and has not heard a majority lately: what it knows may be old, and its configuration is
    /// not offered.
    pub out_of_contact: bool,
}

impl PullResponse {
    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.offered_version.is_none() && self.core_list.is_none()
    }
}

/// What is known. Snapshots are immutable and swapped whole.
#[derive(Default)]
pub struct MeshState {
    records: Rc<BTreeMap<String, Rc<Record>>>,
    config: Option<Rc<Config>>,
    core: Option<Rc<CoreList>>,
}

impl MeshState {
    /// Everybody, as of now.
    pub fn records(&self) -> Rc<BTreeMap<String, Rc<Record>>> {
        self.records.clone()
    }

    /// The newest configuration.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.clone()
    }

    /// The newest list of core machines.
    pub fn core_list(&self) -> Option<Rc<CoreList>> {
        self.core.clone()
    }

    /// Takes a list of core machines if it is newer; tells whether it was.
    pub fn update_core_list(&mut self, core: CoreList) -> bool {
        let newer = self.core.as_ref().is_none_or(|known| known.round < core.round);
        if newer {
            self.core = Some(Rc::new(core));
        }
        newer
    }

    /// The versions that are here.
    pub fn vector(&self) -> VersionVector {
        self.records.iter().map(|(source, record)| (source.clone(), record.version)).collect()
    }

    /// The same for two boards that have the same, and hardly ever for others: a look costs less than a vector.
    pub fn digest(&self) -> u64 {
        let mut hasher = Fnv::default();
        for (source, record) in self.records.iter() {
            hasher.write(source.as_bytes());
            hasher.write_u64(record.version.incarnation);
            hasher.write_u64(record.version.revision);
        }
        hasher.write_u64(self.config.as_ref().map_or(0, |c| u64::from(c.edition) + 1));
        hasher.write_u64(self.core.as_ref().map_or(0, |core| core.round + 1));
        hasher.finish()
    }

    /// Takes what is newer; tells which sources changed.
    pub fn merge(&mut self, records: Vec<Record>) -> Vec<String> {
        let mut changed = Vec::new();
        for record in records {
            let known = self.records.get(&record.source);
            // One of the same list may have come before.
            let newer = known.is_none_or(|known| known.version < record.version);
            if newer && (known.is_some() || self.records.len() < MOST_RECORDS) {
                changed.push(record.source.clone());
                Rc::make_mut(&mut self.records).insert(record.source.clone(), Rc::new(record));
            }
        }
        changed
    }

    /// Forgets sources.
    pub fn remove_where(&mut self, gone: impl Fn(&Record) -> bool) {
        if self.records.values().any(|r| gone(r)) {
            Rc::make_mut(&mut self.records).retain(|_, r| !gone(r));
        }
    }

    /// Takes a configuration if it is newer; tells whether it was.
    pub fn update_config(&mut self, config: Config) -> bool {
        let newer = self.config.as_ref().is_none_or(|c| c.edition < config.edition);
        if newer {
            self.config = Some(Rc::new(config));
        }
        newer
    }

    /// What somebody lacks who has this.
    pub fn response_to(&self, pull: &Pull) -> PullResponse {
        let lacks = |r: &&Rc<Record>| {
            r.source != pull.source && pull.vector.get(&r.source).is_none_or(|v| *v < r.version)
        };
        let records = self.records.values().filter(lacks).map(|r| (**r).clone()).collect();
        let known = pull.config_version.max(pull.offered_version);
        let offered_version =
            self.config.as_ref().map(|config| config.edition).filter(|edition| known < Some(*edition));
        let newer = |core: &&CoreList| pull.core_round.is_none_or(|round| round < core.round);
        let core_list = self.core.as_deref().filter(newer).cloned();
        let requester_version = self.records.get(&pull.source).map(|r| r.version);
        PullResponse { records, offered_version, core_list, requester_version, out_of_contact: false }
    }
}
