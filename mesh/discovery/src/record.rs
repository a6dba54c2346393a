//! What is known of a process of the mesh.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The version of a record: in which life of its source it was made, and the how-manieth it was there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Goes up from one start of the source to the next.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Goes up with every change.
    #[serde(rename = "change")]
    pub revision: u64,
}

/// The versions that somebody has, by source.
pub type VersionVector = BTreeMap<String, Version>;

/// How an upstream is, by its own word and its balancer's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Condition {
    /// Takes requests.
    Accepting,
    /// Finishes what it has.
    Closing,
    /// Can't be reached by its balancer, or has ended.
    Down,
}

/// An upstream as its balancer tells of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its life.
    pub id: String,
    /// Its service.
    pub service: String,
    /// The version of its software.
    #[serde(rename = "edition")]
    pub software_version: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// How it is.
    pub condition: Condition,
    /// Until when it is slow, in Unix microseconds; nothing where it is not.
    #[serde(rename = "cold_until")]
    pub cold_until_micros: Option<u64>,
}

/// What a process tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its machine's name.
    pub source: String,
    /// The version.
    pub version: Version,
    /// Where processes of the mesh reach it.
    #[serde(rename = "mesh")]
    pub mesh_address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// It serves control.
    #[serde(rename = "core")]
    pub is_core: bool,
    /// It is about to end.
    pub leaving: bool,
    /// Where requests for its upstream go.
    #[serde(rename = "incoming")]
    pub incoming_address: Option<SocketAddr>,
    /// Its upstream.
    pub upstream: Option<Upstream>,
}
