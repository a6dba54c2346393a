//! What passes between the engine, its callers and the sources of lists.

use std::net::SocketAddr;

use finchshift as fs;
use finchshift::{Micros, ServerId};

/// An upstream and where it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Its number.
    pub server: ServerId,
    /// Its address, from the newest list.
    pub address: SocketAddr,
}

/// An entry of a list, as discovery words it.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEntry {
    /// The same at every balancer.
    pub instance: String,
    /// Its address at this balancer.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// What discovery says of it.
    pub state: fs::ServerState,
    /// Its size.
    pub weight: f64,
    /// When it last started, in Unix time.
    pub started: Option<Micros>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// The time ran out.
    DeadlineExceeded,
    /// An upstream failed.
    Upstream,
}

/// The one final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer<R> {
    /// An upstream's answer.
    Served(R),
    /// Trying again is harmless.
    Refused {
        /// How long the client should stay away; 0 for no wish.
        retry_after: Micros,
    },
    /// No promise.
    Failed(Failure),
}

/// A request as the engine takes it.
pub struct NewRequest<C> {
    /// Its class.
    pub class: fs::ClassId,
    /// How long its client waits, from now.
    pub time_left: Micros,
    /// Whose it is.
    pub tenant: Option<fs::TenantId>,
    /// A guess at its work.
    pub work: Option<Micros>,
    /// Its client marks it as a repeat.
    pub retry: bool,
    /// The operation that it runs, where that is known.
    pub operation: Option<u64>,
    /// What goes on to upstreams.
    pub call: C,
}
