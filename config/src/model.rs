//! The configuration model that the readers fill in and the daemon uses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use finchshift::{Class, Micros, Tenant};
use sloeline_descriptions::behaviour::Declared;
use sloeline_routing::pattern::{HostPattern, Route};

use crate::problem::Span;

/// Names that `assert` accepts on a route or class, each with the statement that the operator confirms by it. The
/// matching error is then not reported.
pub const ASSERTIONS: [(&str, &str); 5] = [
    ("write-method-is-safe", "on a route: a method other than GET, HEAD and OPTIONS changes nothing"),
    ("overlap", "on both routes: the route whose name sorts first takes precedence"),
    ("unreachable", "on a route: it is intended that no request reaches it"),
    ("deadline-under-aim", "on a route or class: its callers give up before the latency target (aim)"),
    ("split-sum", "on a route: the weights of its split are relative, they need not add up to 100"),
];

/// The whole configuration of one daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Identity of this instance: name, zone and position in the fleet.
    pub instance: Instance,
    /// Limits on the file descriptors, memory and shutdown time of the process.
    pub limits: Limits,
    /// CPU budget of background work.
    pub work: Work,
    /// How operators reach the daemon: the control socket and signed calls.
    pub control: Control,
    /// Format, levels and rate limits of the log.
    pub log: Log,
    /// Communication with the other instances. `None` if this instance works alone.
    pub fleet: Option<Fleet>,
    /// Registration of this instance in etcd. `None` if it is not registered.
    pub announce: Option<Announce>,
    /// Listeners that accept callers' connections, by name.
    pub listeners: BTreeMap<String, Listener>,
    /// Request classes (effect, latency target, deadline), by name.
    pub classes: BTreeMap<String, ClassConfig>,
    /// Shares and quotas of tenants, by the tenant's name.
    pub tenants: BTreeMap<String, Tenant>,
    /// Pools of upstreams, by name.
    pub pools: BTreeMap<String, Pool>,
    /// Interface descriptions (OpenAPI documents), by name.
    pub descriptions: BTreeMap<String, Description>,
    /// Routes: first those written in the configuration, in its order, then those generated from descriptions.
    pub routes: Vec<RouteConfig>,
}

/// `[fleet]`: communication with the other instances over UDP.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// UDP address on which this instance listens for fleet messages.
    pub address: SocketAddr,
    /// UDP address under which other instances reach this one, if it differs from `address`.
    pub announced_address: Option<SocketAddr>,
    /// Addresses of other instances to contact first when joining the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of instances in the fleet.
    pub max_instances: u32,
    /// Interval between two probes of other instances.
    pub probe_period: Micros,
    /// Maximum number of bytes of fleet messages sent per second.
    pub bytes_per_second: usize,
    /// Name of the key that signs outgoing messages; one of `keys`.
    pub signing_key: String,
    /// Keys accepted on incoming messages: the key's name and the path of its file, relative to the configuration's
    /// folder.
    pub keys: BTreeMap<String, String>,
}

/// `[log]`: format, levels and rate limits of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// Whether each log line is a JSON object instead of plain text.
    pub json: bool,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Log level by area; overrides `level` in that area.
    pub levels: BTreeMap<String, String>,
    /// How many log lines for the same event and subject may be written in a burst.
    pub burst: f64,
    /// Log lines per second for the same event and subject after the burst.
    pub rate: f64,
}

impl Default for Log {
    fn default() -> Log {
        Log { json: false, level: "info".to_owned(), levels: BTreeMap::new(), burst: 20.0, rate: 1.0 }
    }
}

/// `[control]`: how operators reach the daemon. With neither socket nor address, operator calls are disabled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Control {
    /// Path of the Unix control socket, relative to the configuration's folder.
    pub socket: Option<String>,
    /// File that persists operators' orders, relative to the configuration's folder. Without it, orders end with the
    /// process.
    pub orders_file: Option<String>,
    /// TCP address that accepts signed operator calls.
    pub address: Option<SocketAddr>,
    /// Keys that may sign operator calls, by name.
    pub keys: BTreeMap<String, ControlKey>,
}

/// `[control.key.NAME]`: a key for signed operator calls.
#[derive(Clone, Debug, PartialEq)]
pub struct ControlKey {
    /// Path of the key file, relative to the configuration's folder.
    pub file: String,
    /// Whether the key may sign orders as well as queries.
    pub allows_orders: bool,
}

/// `[instance]`: identity of this instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Name of the instance in logs.
    pub name: String,
    /// Zone that the instance runs in.
    pub zone: String,
    /// Index of the instance among all instances, from 0.
    pub number: u32,
    /// Number of instances that send to the same upstreams.
    pub count: u32,
}

/// Position of an instance among all instances that share its upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstancePosition {
    /// Number of instances, at least 1.
    pub count: u32,
    /// Index of the instance, from 0 and less than `count`. Each instance needs an index of its own; instances with
    /// the same index would take their turns at the same time.
    pub number: u32,
}

impl Instance {
    /// Position of the instance as configured by `number` and `count`.
    pub fn position(&self) -> InstancePosition {
        InstancePosition { count: self.count, number: self.number }
    }
}

/// `[limits]`: what the process may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of open file descriptors.
    pub descriptors: usize,
    /// Memory budget, in bytes.
    pub memory: usize,
    /// Maximum time from the order to stop until the last response. `None` means the longest deadline plus half a
    /// second.
    pub stop_timeout: Option<Micros>,
    /// Where the section stands in the text.
    pub span: Span,
}

/// `[work]`: CPU budget of background work.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// Share of a core, up to 1, that background work may use as long as it delays no request.
    pub cpu_share: f64,
    /// Target duration of one slice of background work.
    pub time_slice: Micros,
}

/// `[listener.NAME]`: an address that accepts callers' connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Listener {
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Maximum number of connections. `None` means an equal share of what the other listeners leave of the caller
    /// connections.
    pub max_connections: Option<usize>,
    /// Request header in which callers state how long they wait, in milliseconds.
    pub deadline_header: Option<String>,
    /// Path of the readiness check, which the listener answers itself.
    pub ready_path: String,
    /// How long a connection without a request stays open.
    pub idle_timeout: Micros,
    /// Maximum time to receive the head of a request.
    pub head_timeout: Micros,
    /// Maximum time from the first to the last byte of a request.
    pub body_timeout: Micros,
    /// Where the section stands in the text.
    pub span: Span,
}

/// `[class.NAME]`: a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassConfig {
    /// The class as the balancing engine uses it.
    pub class: Class,
    /// Names from [`ASSERTIONS`] that the class asserts.
    pub assertions: Vec<String>,
    /// Where the section stands in the text.
    pub span: Span,
}

/// Where a pool's upstreams are listed.
#[derive(Clone, Debug, PartialEq)]
pub enum Nodes {
    /// The upstreams are listed in the configuration itself.
    Static(Vec<Node>),
    /// The upstreams are listed in a file at this path, in the format of the platform's list.
    File(String),
    /// The upstreams are listed by a registry at this address that speaks the platform's protocol.
    Registry(SocketAddr),
    /// The upstreams come from one or more membership sources, in order of precedence, whose changes are checked
    /// against the guard.
    Sources(Vec<MembershipSource>, MembershipGuard),
}

/// `[[pool.NAME.source]]`: a source that lists a pool's members.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSource {
    /// Name of the source in logs.
    pub name: String,
    /// Calls per second that all instances together may make to the source after a failure.
    pub fleet_call_rate: f64,
    /// Maximum time for a response of the source.
    pub response_timeout: Micros,
    /// Protocol, address and query settings of the source.
    pub kind: SourceKind,
}

/// Protocol of a membership source with its address and query settings.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceKind {
    /// `etcd`: keys under a prefix, followed by a watch.
    Etcd {
        /// Addresses of the source's servers.
        endpoints: Vec<SocketAddr>,
        /// Prefix of the members' keys; ends with a slash.
        prefix: String,
        /// Interval at which a watch without events is checked by a read.
        check_interval: Micros,
        /// How long the watch may lag behind the revision that a check found.
        max_watch_lag: Micros,
        /// How long the known cluster must be silent before an older view or another cluster is accepted.
        acceptance_delay: Micros,
    },
    /// `consul`: a service, followed by blocking queries.
    Consul {
        /// Addresses of the source's servers.
        endpoints: Vec<SocketAddr>,
        /// Name of the service in Consul.
        service: String,
        /// How long a blocking query waits for a change.
        poll_wait: Micros,
        /// Whether any server may answer, not only the leader.
        allow_stale: bool,
        /// An answer is rejected if its server has had no contact with the leader for longer than this.
        max_staleness: Micros,
    },
    /// `xds`: endpoints of a cluster, followed on a stream.
    Xds {
        /// Addresses of the source's servers.
        endpoints: Vec<SocketAddr>,
        /// Name of the cluster in xDS.
        cluster: String,
        /// Whether to use the incremental (delta) protocol instead of state of the world.
        incremental: bool,
        /// Age at which a stream is replaced by a new stream.
        stream_lifetime: Micros,
        /// How long a new stream's data is rejected if an earlier stream already delivered the same version.
        acceptance_delay: Micros,
    },
    /// `dns` or `srv`: address or SRV records of a name.
    Dns {
        /// Name to look up.
        name: String,
        /// Port of all members. `None` for SRV records, which contain the port.
        port: Option<u16>,
        /// Zone assigned to all members of this source.
        zone: String,
        /// DNS servers to query; the system's servers if empty.
        servers: Vec<SocketAddr>,
        /// Lower bound on the time to live of a record.
        min_ttl: Micros,
        /// Upper bound on the time to live of a record.
        max_ttl: Micros,
    },
    /// `file`: path of a file in the format of the platform's list.
    File(String),
    /// `registry`: address of a registry that speaks the platform's protocol.
    Registry(SocketAddr),
}

/// `[pool.NAME.doubt]`: when a shrinking or oversized member list is not trusted.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipGuard {
    /// Share of the serving members, 0 to 1, that may disappear within `window`; a larger loss is suspect.
    pub max_lost_share: f64,
    /// Time window over which lost members are counted.
    pub window: Micros,
    /// How long a suspect change is held back.
    pub hold_time: Micros,
    /// Whether all losses are accepted, however large.
    pub accept_losses: bool,
    /// Maximum number of members accepted from one source.
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

/// `[announce]`: registration of this instance in etcd.
#[derive(Clone, Debug, PartialEq)]
pub struct Announce {
    /// Addresses of the etcd servers.
    pub endpoints: Vec<SocketAddr>,
    /// Prefix of the registration's key; ends with a slash.
    pub prefix: String,
    /// Identity under which this instance is registered.
    pub identity: String,
    /// Address at which callers reach this instance.
    pub address: SocketAddr,
    /// Lease time: how long the entry remains after the instance stops renewing it.
    pub lease: Micros,
    /// Calls per second that all instances together may make to etcd after a failure.
    pub fleet_call_rate: f64,
    /// Maximum time for a response of etcd.
    pub response_timeout: Micros,
}

/// `[[pool.NAME.nodes]]`: an upstream of a static list.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Identity of the upstream.
    pub name: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Zone that the upstream runs in.
    pub zone: String,
    /// Number of the cell that the upstream belongs to.
    pub cell: u32,
    /// Capacity of the upstream relative to others, more than 0.
    pub weight: f64,
    /// Whether the upstream is draining: it finishes open requests and receives no new ones.
    pub draining: bool,
}

/// `[pool.NAME.declined]`: the response that proves that an upstream rejected a request without running it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclineRule {
    /// Response header that marks a declined request.
    pub header: String,
    /// Value that the header must have.
    pub value: String,
    /// Status codes, of which the response must have one.
    pub statuses: Vec<u16>,
}

/// Largest response, in bytes, that is buffered until it is complete, so that the request can be retried if the
/// response breaks off. Longer responses are streamed.
const MAX_BUFFERED_RESPONSE: usize = 64 << 10;

impl Pool {
    /// Maximum number of bytes of a response that are buffered at once.
    pub fn max_buffered_response(&self) -> usize {
        self.response_limit.min(MAX_BUFFERED_RESPONSE)
    }
}

/// `[pool.NAME]`: a pool of upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Requests per second that all instances together accept for the pool. `None` for no limit.
    pub fleet_rate: Option<u64>,
    /// Where the pool's upstreams are listed.
    pub nodes: Nodes,
    /// Weight of the pool when connections, open requests and memory are divided among pools.
    pub weight: f64,
    /// Number of zones that the pool's upstreams run in.
    pub zone_count: u32,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// After an upstream is reported as draining, no new requests are sent to it once this time has passed.
    pub drain_grace: Micros,
    /// Share of its full capacity that an upstream has right after its start, up to 1.
    pub initial_capacity_share: f64,
    /// Time after its start at which an upstream reaches its full capacity.
    pub warm_up_time: Micros,
    /// Load of a cold upstream, as a multiple of its current capacity, above which it fails if the load lasts for
    /// `overload_time`.
    pub overload_factor: f64,
    /// How long a load above `overload_factor` lasts before a cold upstream fails.
    pub overload_time: Micros,
    /// Maximum time to establish a connection to an upstream.
    pub connect_timeout: Micros,
    /// Idle time after which upstreams close a connection.
    pub idle_timeout: Micros,
    /// Request header that states to upstreams how long the balancer waits, in milliseconds.
    pub deadline_header: Option<String>,
    /// The response that proves that a request never ran, if upstreams send such a response.
    pub declined: Option<DeclineRule>,
    /// Maximum size of a response, in bytes. Responses above [`max_buffered_response`](Pool::max_buffered_response) are
    /// streamed.
    pub response_limit: usize,
    /// Where the section stands in the text.
    pub span: Span,
}

/// Where a route takes a value of the request from, such as the tenant or the idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub enum ValueSource {
    /// `header:NAME`: the header of this name, in lower case.
    Header(String),
    /// `query:NAME`: the query parameter of this name.
    Query(String),
    /// `path:NAME`: the path parameter of this name, as the index of its segment from 0.
    Segment(usize),
    /// `=TEXT`: this text for every request.
    Fixed(String),
}

/// `[[route]]`: which requests it matches and where they go.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Name and match conditions of the route.
    pub route: Route,
    /// Names of the listeners that the route applies to.
    pub listeners: Vec<String>,
    /// Pools with their weights; a single pool has weight 100.
    pub split: Vec<(String, u32)>,
    /// Value that assigns a caller to the same pool of the split each time. `None` if none is configured.
    pub sticky: Option<ValueSource>,
    /// Names of the route's classes; more than one only if `class_header` selects among them.
    pub classes: Vec<String>,
    /// Request header that names the class of a request.
    pub class_header: Option<String>,
    /// Where a request names its tenant.
    pub tenant: Option<ValueSource>,
    /// Where a request of a keyed class contains its idempotency key.
    pub key: Option<ValueSource>,
    /// Maximum time that callers wait, if shorter than the deadline of the class.
    pub deadline: Option<Micros>,
    /// Maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// Names from [`ASSERTIONS`] that the route asserts.
    pub assertions: Vec<String>,
    /// Operation that the route was generated for. `None` for a route written in the configuration.
    pub operation: Option<RouteOperation>,
    /// Where the section stands in the text.
    pub span: Span,
}

/// The operation of a route that was generated from a description.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteOperation {
    /// Name of the operation: description, method and path, as in `portal POST /v1/checks`.
    pub name: String,
    /// What the description declares about the operation's responses.
    pub declared: Declared,
    /// Name of the class that replaces the route's class once the operation is restricted, that is, once its responses
    /// have contradicted the declared effect.
    pub restricted_class: String,
}

/// `[description.NAME]`: an interface description and the settings of its routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Description {
    /// Name of the description.
    pub name: String,
    /// Path of the description's file, relative to the configuration's folder.
    pub file: String,
    /// Hosts that the description applies to.
    pub hosts: Vec<HostPattern>,
    /// Names of the listeners that the description applies to.
    pub listeners: Vec<String>,
    /// Pools with their weights.
    pub split: Vec<(String, u32)>,
    /// Name of the class of safe operations.
    pub safe_class: Option<String>,
    /// Name of the class of keyed operations.
    pub keyed_class: Option<String>,
    /// Name of the class of all other operations and of restricted operations.
    pub unsafe_class: String,
    /// Where a request names its tenant, for operations that declare no tenant.
    pub tenant: Option<ValueSource>,
    /// Maximum time that callers wait, if shorter than the deadline of the class.
    pub deadline: Option<Micros>,
    /// Maximum size of a request body, in bytes, for operations that declare no limit.
    pub body_limit: usize,
    /// Share of responses, from 0 to 1, that are compared with the description.
    pub compared_share: f64,
    /// Whether the description generates no routes and the handwritten routes are checked against it instead.
    pub check_only: bool,
    /// Where the section stands in the text.
    pub span: Span,
}

impl Config {
    /// The longest deadline of all classes; 0 without classes.
    pub fn longest_deadline(&self) -> Micros {
        self.classes.values().map(|c| c.class.deadline).max().unwrap_or(0)
    }

    /// For each pool, the names of the classes whose requests its routes can send to it, without duplicates and sorted.
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
