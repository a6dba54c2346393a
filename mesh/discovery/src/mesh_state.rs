//! What a process knows of the mesh, and the responses to pulls from other processes.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use sloeline_config_transfer::Config;

use crate::record::{Record, Version, VersionVector};
use crate::rendezvous::FnvHasher;

/// Maximum number of stored records. Bounds memory use if a faulty or hostile process invents source names.
const MAX_RECORDS: usize = 1 << 16;

/// The core machines of one membership view. A list of a higher round replaces one of a lower round.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreList {
    /// Round of the membership view.
    pub round: u64,
    /// Addresses at which processes of the mesh reach the core machines.
    pub machines: Vec<SocketAddr>,
}

/// A request for everything that is newer at the responder than at the requester.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// Node name of the requester.
    pub source: String,
    /// Versions of the records that the requester has.
    pub vector: VersionVector,
    /// Version of the requester's configuration, if it has one.
    #[serde(rename = "edition")]
    pub config_version: Option<u32>,
    /// Newest configuration version that the responder has offered to this requester before.
    #[serde(rename = "offered")]
    pub offered_version: Option<u32>,
    /// Round of the requester's list of core machines, if it has one.
    pub core_round: Option<u64>,
    /// Records that the requester believes the responder does not have.
    #[serde(rename = "told")]
    pub pushed_records: Vec<Record>,
    /// How long the responder may hold the request until it has something new, in milliseconds.
    #[serde(rename = "hold")]
    pub max_hold_ms: u64,
}

/// Everything that is newer at the responder than at the requester of a [`Pull`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullResponse {
    /// Records that are newer than those of the requester.
    pub records: Vec<Record>,
    /// Version of a newer configuration. Its content is fetched separately in pieces, because a message with a time limit
    /// must not contain anything of unbounded size.
    #[serde(rename = "offered")]
    pub offered_version: Option<u32>,
    /// A list of core machines that is newer than the requester's.
    #[serde(rename = "core")]
    pub core_list: Option<CoreList>,
    /// Version of the requester's own record that the responder has.
    #[serde(rename = "yours")]
    pub requester_version: Option<Version>,
    /// Whether the responder is a core machine that has lost contact with the majority of the core. Its records may be
    /// outdated, and it offers no configuration.
    pub out_of_contact: bool,
}

impl PullResponse {
    /// Whether the response contains nothing new.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.offered_version.is_none() && self.core_list.is_none()
    }
}

/// Everything that a process knows of the mesh. Snapshots that were handed out never change.
#[derive(Default)]
pub struct MeshState {
    /// The newest record of each source.
    records: Rc<BTreeMap<String, Rc<Record>>>,
    /// The newest configuration.
    config: Option<Rc<Config>>,
    /// The newest list of core machines.
    core_list: Option<Rc<CoreList>>,
}

impl MeshState {
    /// A snapshot of all records, by source.
    pub fn records(&self) -> Rc<BTreeMap<String, Rc<Record>>> {
        self.records.clone()
    }

    /// The newest known configuration.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.config.clone()
    }

    /// The newest known list of core machines.
    pub fn core_list(&self) -> Option<Rc<CoreList>> {
        self.core_list.clone()
    }

    /// Stores a list of core machines if it is newer than the present one; returns whether it was.
    pub fn update_core_list(&mut self, core: CoreList) -> bool {
        let newer = self.core_list.as_ref().is_none_or(|known| known.round < core.round);
        if newer {
            self.core_list = Some(Rc::new(core));
        }
        newer
    }

    /// Versions of all stored records, by source.
    pub fn vector(&self) -> VersionVector {
        self.records.iter().map(|(source, record)| (source.clone(), record.version)).collect()
    }

    /// Hash of all versions in this state. Equal states have equal digests, and different states almost always differ;
    /// comparing digests is cheaper than sending a version vector.
    pub fn digest(&self) -> u64 {
        let mut hasher = FnvHasher::default();
        for (source, record) in self.records.iter() {
            hasher.write(source.as_bytes());
            hasher.write_u64(record.version.incarnation);
            hasher.write_u64(record.version.revision);
        }
        hasher.write_u64(self.config.as_ref().map_or(0, |c| u64::from(c.edition) + 1));
        hasher.write_u64(self.core_list.as_ref().map_or(0, |core| core.round + 1));
        hasher.finish()
    }

    /// Stores the records that are newer than the present ones; returns the sources whose records changed.
    pub fn merge(&mut self, records: Vec<Record>) -> Vec<String> {
        let mut changed = Vec::new();
        for record in records {
            let known = self.records.get(&record.source);
            // The same list may contain several records of one source.
            let newer = known.is_none_or(|known| known.version < record.version);
            if newer && (known.is_some() || self.records.len() < MAX_RECORDS) {
                changed.push(record.source.clone());
                Rc::make_mut(&mut self.records).insert(record.source.clone(), Rc::new(record));
            }
        }
        changed
    }

    /// Removes the records that match a predicate.
    pub fn remove_where(&mut self, matches: impl Fn(&Record) -> bool) {
        if self.records.values().any(|r| matches(r)) {
            Rc::make_mut(&mut self.records).retain(|_, r| !matches(r));
        }
    }

    /// Stores a configuration if it is newer than the present one; returns whether it was.
    pub fn update_config(&mut self, config: Config) -> bool {
        let newer = self.config.as_ref().is_none_or(|c| c.edition < config.edition);
        if newer {
            self.config = Some(Rc::new(config));
        }
        newer
    }

    /// The response to a pull: everything here that is newer than what the requester has.
    pub fn response_to(&self, pull: &Pull) -> PullResponse {
        let is_newer_record = |r: &&Rc<Record>| {
            r.source != pull.source && pull.vector.get(&r.source).is_none_or(|v| *v < r.version)
        };
        let records = self.records.values().filter(is_newer_record).map(|r| (**r).clone()).collect();
        let known_version = pull.config_version.max(pull.offered_version);
        let offered_version = self
            .config
            .as_ref()
            .map(|config| config.edition)
            .filter(|edition| known_version < Some(*edition));
        let is_newer_list = |core: &&CoreList| pull.core_round.is_none_or(|round| round < core.round);
        let core_list = self.core_list.as_deref().filter(is_newer_list).cloned();
        let requester_version = self.records.get(&pull.source).map(|r| r.version);
        PullResponse { records, offered_version, core_list, requester_version, out_of_contact: false }
    }
}
