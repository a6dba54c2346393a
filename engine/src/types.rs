//! Types that the engine shares with its callers and with sources of upstream lists.

use std::net::SocketAddr;
use std::rc::Rc;

use finchshift as fs;
use finchshift::{Micros, ServerId};

/// An upstream to send to.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The id of the upstream.
    pub server: ServerId,
    /// The instance name of the upstream. Several listed upstreams may have the same address, so only this name tells
    /// which of them was selected.
    pub instance: Rc<str>,
    /// The address of the upstream in the latest list.
    pub address: SocketAddr,
}

/// An upstream as described by a discovery source.
#[derive(Clone, Debug, PartialEq)]
pub struct DiscoveryEntry {
    /// The instance name, which is the same at every balancer.
    pub instance: String,
    /// The address under which this balancer reaches the upstream.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: String,
    /// The name of its machine kind.
    pub kind: String,
    /// The cell of the upstream: a small group of servers that deduplicate repeated requests among themselves.
    pub cell: u32,
    /// The state that discovery reports.
    pub state: fs::ServerState,
    /// The relative capacity of the upstream.
    pub weight: f64,
    /// When the upstream last started, in Unix time, if known.
    pub started: Option<Micros>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// The request or its last attempt ran out of time.
    DeadlineExceeded,
    /// The last attempt failed for another reason than time.
    Upstream,
}

/// The final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer<R> {
    /// The reply of an upstream.
    Served(R),
    /// A retry is safe: the request was not executed, or executing it again is harmless.
    Refused {
        /// How long the client should wait before a retry; 0 if unspecified.
        retry_after: Micros,
    },
    /// The request failed, and it may have been executed.
    Failed(Failure),
}

/// A request to be submitted to the engine.
pub struct NewRequest<C> {
    /// The class of the request.
    pub class: fs::ClassId,
    /// How long the client waits, from now or from the last byte of a streamed body.
    pub time_left: Micros,
    /// The tenant that the request belongs to, if any.
    pub tenant: Option<fs::TenantId>,
    /// Estimated processing time at an upstream, if known.
    pub work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// The operation that the request runs, if known.
    pub operation: Option<u64>,
    /// The call to send to an upstream.
    pub call: C,
}
