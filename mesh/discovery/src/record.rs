//! The record that a process of the mesh publishes about itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Version of a record: the incarnation of its source, and the revision within that incarnation. A greater version is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Increases with every start of the source process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Increases with every change of the record within one incarnation.
    #[serde(rename = "change")]
    pub revision: u64,
}

/// The record versions that a process has, by source.
pub type VersionVector = BTreeMap<String, Version>;

/// Condition of an upstream, as the upstream reports it and its balancer observes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// The upstream accepts requests.
    Accepting,
    /// The upstream finishes its requests and accepts no new ones.
    Closing,
    /// The upstream cannot be reached by its balancer, or has stopped.
    Down,
}

/// An upstream as its balancer publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Identifier of the upstream instance; a restarted upstream has a new one.
    pub id: String,
    /// Name of the service that the upstream belongs to.
    pub service: String,
    /// Version of the upstream's software.
    #[serde(rename = "edition")]
    pub software_version: String,
    /// Number of requests that the upstream processes concurrently.
    pub slots: u32,
    /// Whether the upstream accepts requests.
    pub condition: Condition,
    /// End of the upstream's warm-up, in Unix microseconds; `None` if it started warm.
    #[serde(rename = "cold_until")]
    pub cold_until_micros: Option<u64>,
}

/// What a process of the mesh publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Node name of the process, which identifies the record.
    pub source: String,
    /// Version of this record.
    pub version: Version,
    /// Address at which other processes of the mesh reach the process.
    #[serde(rename = "mesh")]
    pub mesh_address: SocketAddr,
    /// Name of the zone that the process runs in.
    pub zone: String,
    /// Whether the process is a core machine, which runs the control plane.
    #[serde(rename = "core")]
    pub is_core: bool,
    /// Whether the process is shutting down.
    pub leaving: bool,
    /// Address that accepts requests for the upstream; `None` if the process accepts none.
    #[serde(rename = "incoming")]
    pub incoming_address: Option<SocketAddr>,
    /// The local upstream of the process, once the upstream has reported itself.
    pub upstream: Option<Upstream>,
}
