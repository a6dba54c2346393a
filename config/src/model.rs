//! What a configuration says, once it is read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use finchshift::{Class, Micros, Tenant};
use sloeline_descriptions::behaviour::Declared;
use sloeline_routing::pattern::{HostPattern, Route};

use crate::problem::Span;

/// What can be asserted in a route, a class or a split, and what it says.
pub const ASSERTIONS: [(&str, &str); 5] = [
    ("write-method-is-safe", "on a route: a method other than GET, HEAD and OPTIONS changes nothing"),
    ("overlap", "on both routes: the one whose name comes first in the alphabet goes first"),
    ("unreachable", "on a route: that no request reaches it is known"),
    ("deadline-under-aim", "on a route or class: its callers leave before the aim"),
    ("split-sum", "on a route: the weights of its split are relative, they need not add up to 100"),
];

/// Everything.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// This instance.
    pub instance: Instance,
    /// What the process may take up.
    pub limits: Limits,
    /// What background work may take up.
    pub work: Work,
    /// Operators' calls.
    pub control: Control,
    /// What is told of what happens.
    pub log: Log,
    /// The other instances; none for each by itself.
    pub fleet: Option<Fleet>,
    /// Where this instance is announced, if anywhere.
    pub announce: Option<Announce>,
    /// Where callers connect.
    pub listeners: BTreeMap<String, Listener>,
    /// Classes of requests.
    pub classes: BTreeMap<String, ClassConfig>,
    /// Tenants.
    pub tenants: BTreeMap<String, Tenant>,
    /// Pools of upstreams.
    pub pools: BTreeMap<String, Pool>,
    /// Descriptions of interfaces.
    pub descriptions: BTreeMap<String, Description>,
    /// Routes, in the order of the text, then those of descriptions.
    pub routes: Vec<RouteConfig>,
}

/// `[fleet]`
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Where it listens, on UDP.
    pub address: SocketAddr,
    /// Where others reach it, if not there.
    pub announced_address: Option<SocketAddr>,
    /// Some of the others.
    pub seeds: Vec<SocketAddr>,
    /// As many instances as there may be.
    pub max_instances: u32,
    /// From one question to the next.
    pub probe_period: Micros,
    /// Bytes that may be sent each second.
    pub bytes_per_second: usize,
    /// The key that is signed with.
    pub signing_key: String,
    /// All keys that are heard, and the files in which they stand, from the configuration's folder.
    pub keys: BTreeMap<String, String>,
}

/// `[log]`
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// An object a line, not text.
    pub json: bool,
    /// What is told: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// The same by area.
    pub levels: BTreeMap<String, String>,
    /// Of one event about one thing, so many at once.
    pub burst: f64,
    /// And so many a second.
    pub rate: f64,
}

impl Default for Log {
    fn default() -> Log {
        Log { json: false, level: "info".to_owned(), levels: BTreeMap::new(), burst: 20.0, rate: 1.0 }
    }
}

/// `[control]`; nothing of it for no operators' calls.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Control {
    /// The path of the Unix socket, from the configuration's folder.
    pub socket: Option<String>,
    /// The file of orders, from the same folder; without one they end with the process.
    pub orders_file: Option<String>,
    /// An address for signed calls.
    pub address: Option<SocketAddr>,
    /// Those who may call there.
    pub keys: BTreeMap<String, ControlKey>,
}

/// `[control.key.NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct ControlKey {
    /// The file in which it stands, from the configuration's folder.
    pub file: String,
    /// It is for orders too, not for asking only.
    pub allows_orders: bool,
}

/// `[instance]`
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name in logs.
    pub name: String,
    /// The zone that it is in.
    pub zone: String,
    /// Its number among the instances, from 0.
    pub number: u32,
    /// How many instances send to the same upstreams.
    pub count: u32,
}

/// An instance's place among all that share its upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstancePosition {
    /// How many they are, one at the least.
    pub count: u32,
    /// Its number among them, from 0, under the count. No two should have one number: their turns would fall together.
    pub number: u32,
}

impl Instance {
    /// Its place as the configuration has it.
    pub fn position(&self) -> InstancePosition {
        InstancePosition { count: self.count, number: self.number }
    }
}

/// `[limits]`
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Memory, in bytes.
    pub memory: usize,
    /// From the order to stop until the last answer; none for the longest deadline and half a second.
    pub stop_timeout: Option<Micros>,
    /// Where it stands.
    pub span: Span,
}

/// `[work]`
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The part of a core that background work may use while it holds up no request.
    pub cpu_share: f64,
    /// How long a turn of it should last.
    pub time_slice: Micros,
}

/// `[listener.NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Where callers connect.
    pub address: SocketAddr,
    /// Most connections; none for an equal part of what callers may hold.
    pub max_connections: Option<usize>,
    /// The header in which callers say how long they wait, in milliseconds.
    pub deadline_header: Option<String>,
    /// The path that tells whether requests can be served.
    pub ready_path: String,
    /// How long a connection without a request is kept.
    pub idle_timeout: Micros,
    /// How long a head may take.
    pub head_timeout: Micros,
    /// How long a request may take from its first byte to its last.
    pub body_timeout: Micros,
    /// Where it stands.
    pub span: Span,
}

/// `[class.NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct ClassConfig {
    /// As the module has it.
    pub class: Class,
    /// What is asserted of it.
    pub assertions: Vec<String>,
    /// Where it stands.
    pub span: Span,
}

/// Where a pool's upstreams are listed.
#[derive(Clone, Debug, PartialEq)]
pub enum Nodes {
    /// In the configuration.
    Static(Vec<Node>),
    /// In a file, in the form of the platform's list.
    File(String),
    /// At a registry that speaks the platform's protocol.
    Registry(SocketAddr),
    /// At several places, in the order of their precedence, or at one whose news is weighed.
    Sources(Vec<MembershipSource>, MembershipGuard),
}

/// `[[pool.NAME.source]]`
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSource {
    /// Its name in logs.
    pub name: String,
    /// Calls a second that all instances together may make there after a failure.
    pub fleet_call_rate: f64,
    /// How long an answer may take.
    pub response_timeout: Micros,
    /// Where it is and how it is asked.
    pub kind: SourceKind,
}

/// Where a source is and how it is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceKind {
    /// `etcd`
    Etcd {
        /// Its endpoints.
        endpoints: Vec<SocketAddr>,
        /// Ends with a slash.
        prefix: String,
        /// How often a quiet watch is checked.
        check_interval: Micros,
        /// How far a watch may lag behind what a check found.
        max_watch_lag: Micros,
        /// How long the known cluster must be silent before an older view or another cluster is believed.
        acceptance_delay: Micros,
    },
    /// `consul`
    Consul {
        /// Its endpoints.
        endpoints: Vec<SocketAddr>,
        /// The service.
        service: String,
        /// How long a question waits for news.
        poll_wait: Micros,
        /// Any server may answer.
        allow_stale: bool,
        /// One that has not heard of its leader for so long is not believed.
        max_staleness: Micros,
    },
    /// `xds`
    Xds {
        /// Its endpoints.
        endpoints: Vec<SocketAddr>,
        /// The cluster.
        cluster: String,
        /// Incremental, not state of the world.
        incremental: bool,
        /// A stream is opened anew after this.
        stream_lifetime: Micros,
        /// How long a version that was seen before is not believed on a new stream.
        acceptance_delay: Micros,
    },
    /// `dns` or `srv`
    Dns {
        /// The name.
        name: String,
        /// All members' port; none where SRV records tell it.
        port: Option<u16>,
        /// Whose zone its members are in.
        zone: String,
        /// Servers to ask; none for the system's.
        servers: Vec<SocketAddr>,
        /// Records live no shorter than this ...
        min_ttl: Micros,
        /// ... and no longer than this.
        max_ttl: Micros,
    },
    /// `file`
    File(String),
    /// `registry`
    Registry(SocketAddr),
}

/// `[pool.NAME.doubt]`
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipGuard {
    /// Losing more than this part of the serving members within the window is suspect.
    pub max_lost_share: f64,
    /// The window.
    pub window: Micros,
    /// How long what is suspect is held.
    pub hold_time: Micros,
    /// The lists are right, whatever they have lost.
    pub accept_losses: bool,
    /// More members than this are not taken from one source.
    pub max_members: usize,
}

impl Default for MembershipGuard {
    fn default() -> MembershipGuard {
        MembershipGuard {
            max_lost_share: 0.5,
            window: 10_000_000,
            hold_time: 300_000_000,
            accept_losses: false,
            max_members: 100_000,
        }
    }
}

/// `[announce]`
#[derive(Clone, Debug, PartialEq)]
pub struct Announce {
    /// Endpoints of an etcd.
    pub endpoints: Vec<SocketAddr>,
    /// Ends with a slash.
    pub prefix: String,
    /// What this instance is known by there.
    pub identity: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// How long the entry outlives the instance.
    pub lease: Micros,
    /// Calls a second that all instances together may make there after a failure.
    pub fleet_call_rate: f64,
    /// How long a call may take.
    pub response_timeout: Micros,
}

/// An upstream of a static list.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Its identity.
    pub name: String,
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: u32,
    /// Its size.
    pub weight: f64,
    /// It finishes what it has and takes nothing new.
    pub draining: bool,
}

/// What proves that an upstream turned a request away unseen.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclineRule {
    /// A header ...
    pub header: String,
    /// ... with this value ...
    pub value: String,
    /// ... in an answer with one of these statuses.
    pub statuses: Vec<u16>,
}

/// Answers up to this many bytes are held until they are whole, so that a spoilt one can be repeated; longer ones pass
/// through as they come.
const ANSWER_HELD: usize = 64 << 10;

impl Pool {
    /// Most bytes of an answer that are held at once.
    pub fn max_buffered_response(&self) -> usize {
        self.response_limit.min(ANSWER_HELD)
    }
}

/// `[pool.NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Requests a second that all instances together take; none for no such limit.
    pub fleet_rate: Option<u64>,
    /// Where its upstreams are listed.
    pub nodes: Nodes,
    /// Its part of descriptors, open requests and memory beside other pools'.
    pub weight: f64,
    /// How many zones its upstreams are in.
    pub zone_count: u32,
    /// Attempts for a request, all told.
    pub max_attempts: u32,
    /// Nothing new goes to an upstream this long after the news that it drains.
    pub drain_grace: Micros,
    /// A started upstream can do this part of its work ...
    pub initial_capacity_share: f64,
    /// ... and all of it after this.
    pub warm_up_time: Micros,
    /// Sent more than this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... for this long, a cold upstream falls over.
    pub overload_time: Micros,
    /// How long a connection may take to come up.
    pub connect_timeout: Micros,
    /// After which idle time upstreams close a connection.
    pub idle_timeout: Micros,
    /// The header that tells upstreams how long the balancer waits, in milliseconds.
    pub deadline_header: Option<String>,
    /// What proves that a request never ran.
    pub declined: Option<DeclineRule>,
    /// Most bytes of an answer; what is longer than [`held`](Pool::max_buffered_response) passes through.
    pub response_limit: usize,
    /// Where it stands.
    pub span: Span,
}

/// Where a route finds something.
#[derive(Clone, Debug, PartialEq)]
pub enum ValueSource {
    /// `header:NAME`
    Header(String),
    /// `query:NAME`
    Query(String),
    /// `path:NAME`, by the number of the segment.
    Segment(usize),
    /// `=TEXT`, always this.
    Fixed(String),
}

/// `[[route]]`
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// What it asks for.
    pub route: Route,
    /// The listeners it is for.
    pub listeners: Vec<String>,
    /// Pools by weight; one pool has weight 100.
    pub split: Vec<(String, u32)>,
    /// What keeps a caller on its side.
    pub sticky: Option<ValueSource>,
    /// Its classes; more than one only where a header names it.
    pub classes: Vec<String>,
    /// The header that names the class.
    pub class_header: Option<String>,
    /// Whose requests they are.
    pub tenant: Option<ValueSource>,
    /// What a keyed request is known by.
    pub key: Option<ValueSource>,
    /// How long callers wait at the longest, if that is less than the class says.
    pub deadline: Option<Micros>,
    /// Most bytes of a body.
    pub body_limit: usize,
    /// What is asserted of it.
    pub assertions: Vec<String>,
    /// The operation that it was made for.
    pub operation: Option<RouteOperation>,
    /// Where it stands.
    pub span: Span,
}

/// The operation of a route that was made from a description.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteOperation {
    /// `portal POST /v1/checks`
    pub name: String,
    /// What is said of its answers.
    pub declared: Declared,
    /// The class by which it goes once it is narrowed.
    pub restricted_class: String,
}

/// `[description.NAME]`
#[derive(Clone, Debug, PartialEq)]
pub struct Description {
    /// Its name.
    pub name: String,
    /// Its file, from the configuration's folder.
    pub file: String,
    /// The hosts that it is for.
    pub hosts: Vec<HostPattern>,
    /// The listeners that it is for.
    pub listeners: Vec<String>,
    /// Pools by weight.
    pub split: Vec<(String, u32)>,
    /// The class of safe operations.
    pub safe_class: Option<String>,
    /// The class of keyed ones.
    pub keyed_class: Option<String>,
    /// The class of all others, and of those that are narrowed.
    pub unsafe_class: String,
    /// Whose requests they are, where an operation does not say.
    pub tenant: Option<ValueSource>,
    /// How long callers wait at the longest, if that is less than the class says.
    pub deadline: Option<Micros>,
    /// Most bytes of a body, where an operation does not say.
    pub body_limit: usize,
    /// The share of answers that are compared with it.
    pub compared_share: f64,
    /// It makes no routes: those that were written by hand are held against it.
    pub check_only: bool,
    /// Where it stands.
    pub span: Span,
}

impl Config {
    /// The longest time that any caller may wait.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.values().map(|c| c.class.deadline).max().unwrap_or(0)
    }

    /// The names of the classes that routes send to each pool, each once, in order.
    pub fn classes_by_pool(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let mut classes: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for route in &self.routes {
            for (pool, _) in &route.split {
                let names = classes.entry(pool).or_default();
                names.extend(route.classes.iter().map(String::as_str));
                names.extend(route.operation.iter().map(|o| o.restricted_class.as_str()));
            }
        }
        classes
    }
}
