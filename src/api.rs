//! The interface of the balancer: settings, events, actions and the ids they use.
//!
//! This file makes no decisions; all of them are in `brain.rs`. Ids are small integers assigned by the caller.
//! Times are microseconds on any monotonic clock; durations are microseconds too.

use std::fmt;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
/// Identifies a server. The caller assigns it, and it stays the same across restarts of the server's process.
pub type ServerId = u32;
/// Identifies a request. The caller assigns it and never reuses it with the same [`Balancer`](crate::Balancer).
pub type RequestId = u64;
/// Index of a request class in [`Settings::classes`].
pub type ClassId = usize;
/// Identifies a zone: any small integer, the same for all servers of the zone.
pub type ZoneId = u32;
/// Identifies a machine type: any small integer.
pub type KindId = u32;
/// Index of a tenant in [`Settings::tenants`].
pub type TenantId = usize;

/// Whether, and on which servers, a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: may be repeated on any server.
    Safe,
    /// Carries an idempotency key: the servers of one group discard repeats within a window that starts with
    /// the earliest attempt that may have run.
    Keyed {
        /// The servers that recognize each other's repeats.
        group: DedupGroup,
        /// How long the servers of the group remember a request.
        window: Micros,
    },
    /// Not idempotent: must never run twice.
    Unsafe,
}

/// The set of servers that deduplicate keyed requests among themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All servers of the tier.
    All,
    /// All servers of one zone.
    Zone,
    /// All servers of one cell.
    Cell,
}

/// A class of requests with a common latency target, deadline and value.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Whether and where a request may be repeated.
    pub effect: Effect,
    /// Maximum number of servers that may run one request, whatever its effect allows; at least 1.
    pub max_runs: u32,
    /// Latency target: an answer within this time earns the full value.
    pub latency_target: Micros,
    /// Extra latency target per unit of the request's own work, if a work hint is given.
    pub target_per_work: f64,
    /// Total time that a client waits for an answer.
    pub deadline: Micros,
    /// Value of one request, or of one unit of its work (see [`Settings::value_per_work`]).
    pub value: f64,
    /// Share of the value that an answer after the latency target still earns.
    pub late_value_ratio: f64,
    /// Answers are streamed: [`Event::FirstByte`] reports the start of each.
    pub stream: bool,
}

impl Class {
    /// Whether a request may be sent to another server after one that may have run it.
    pub fn is_repeatable(&self) -> bool {
        self.effect != Effect::Unsafe && self.max_runs > 1
    }
}

/// A tenant of a shared service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// The tenant's share of the service's capacity.
    pub share: f64,
    /// Requests per second within that share, over all balancers. Requests beyond it have only
    /// [`Settings::over_quota_value_ratio`] of their class's value.
    pub quota: f64,
}

/// Latencies, windows and rates that a balancer has learned, for a successor of the same build. The layout of
/// each list of numbers is private to the balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// One list of numbers per request class.
    pub classes: Vec<Vec<f64>>,
    /// The numbers that cover all classes together.
    pub overall: Vec<f64>,
    /// One list of numbers per zone.
    pub zones: Vec<(ZoneId, Vec<f64>)>,
}

/// How [`ServerEntry::weight`] relates to the capacity of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    /// It carries no information: it is always 1.
    #[default]
    None,
    /// The registered capacity.
    Nominal,
    /// An approximation of the capacity.
    Rough,
    /// The capacity divided by (1 + requests in flight per core), as of some time ago.
    Live,
}

/// How the balancer receives the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes are pushed without a request.
    Push,
    /// Nothing arrives until the balancer requests it with [`Action::Watch`] or [`Action::Fetch`].
    Pull,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    /// In outcomes of attempts and in probe answers.
    Answers,
    /// In probe answers only.
    Probe,
    /// Servers report no load.
    None,
}

/// Limits and permissions of the deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::Probe`] may be used.
    pub probes: bool,
    /// Two attempts of one request may be in flight at once (hedging).
    pub concurrent_attempts: bool,
    /// Clients receive the delay of [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest delay that a client observes.
    pub max_retry_after: Micros,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Maximum number of open requests in the balancer; 0 for no limit.
    pub max_open: u32,
    /// Maximum number of concurrent attempts on one connection; 0 if unknown.
    pub max_streams: u32,
    /// An idle connection is closed after this time; 0 if unknown.
    pub idle_close: Micros,
    /// A connection not established within this time ends as [`Outcome::ConnectFailed`]; 0 if unknown.
    pub connect_timeout: Micros,
    /// CPU time per second that the balancer may use; 0 for no limit.
    pub cpu_per_second: Micros,
    /// CPU time in microseconds, with a fraction, for one request and its outcomes; 0 for no limit.
    pub cpu_per_request: f64,
}

/// Parameters of the rules for draining servers, cold servers and discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Share of its full capacity that a server has right after its start.
    pub initial_capacity_share: f64,
    /// Time after its start at which a server has its full capacity.
    pub warm_up_time: Micros,
    /// A cold server is overloaded by more than this multiple of its present capacity.
    pub overload_factor: f64,
    /// A cold server that is overloaded for this long collapses.
    pub overload_time: Micros,
    /// With [`DiscoveryMode::Pull`] and no active watch, the maximum time between two requests for the list.
    pub discovery_interval: Micros,
    /// Nothing new may be sent to a server later than this after the news that it drains or is gone.
    pub drain_grace: Micros,
    /// A final answer still counts if it is at most this late after the client's deadline.
    pub answer_grace: Micros,
}

/// Costs that are deducted from the result, in points.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt sent to another zone, per request.
    pub cross_zone: f64,
    /// For each probe, per request.
    pub probe: f64,
    /// For the value of requests that fail after their latency target.
    pub late_failure: f64,
    /// For server work that led to no answer, per work offered.
    pub waste: f64,
    /// For open connections, per hundred servers.
    pub connection: f64,
    /// For each new connection, per request.
    pub handshake: f64,
    /// For entries received in lists of servers, per hundred requests.
    pub discovery: f64,
}

/// Weights of the parts of the result that the balancer optimizes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Goal {
    /// Weight of all requests together.
    pub overall: f64,
    /// Weight of the time window with the worst result.
    pub worst_window: f64,
    /// Weight of the class with the worst result.
    pub worst_class: f64,
    /// Weight of the tenant with the worst result, within its share of the service.
    pub worst_tenant: f64,
    /// Weight of a part that counts in full only while few requests miss their latency target.
    pub tail_latency: f64,
    /// Share of requests that may miss their latency target for that part; an early refusal is no miss.
    pub tail_miss_share: f64,
}

/// The configuration of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this balancer among the balancers of its tier, from 0.
    pub balancer_index: u32,
    /// Number of balancers that send to this tier.
    pub balancers: u32,
    /// The zone of this balancer.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u32,
    /// Index of the tier that this balancer sends to, 0 for the first.
    pub tier: u32,
    /// Number of tiers.
    pub tiers: u32,
    /// A call from the tier above carries the caller's remaining time, not the full deadline of its class.
    pub propagates_deadline: bool,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The value of a class counts per unit of work, not per request.
    pub value_per_work: bool,
    /// The tenants of the service; empty if it is not shared.
    pub tenants: Vec<Tenant>,
    /// Value of a request beyond its tenant's quota, as a ratio of its class's value.
    pub over_quota_value_ratio: f64,
    /// Clients mark their retries, see [`Event::Request`].
    pub clients_mark_retries: bool,
    /// Meaning of the weights of servers.
    pub weights: WeightMeaning,
    /// How the list of servers arrives.
    pub discovery: DiscoveryMode,
    /// How servers report their load.
    pub report: ReportMode,
    /// Limits and permissions of the deployment.
    pub limits: Limits,
    /// Parameters of the rules for draining servers, cold servers and discovery.
    pub rules: Rules,
    /// Costs that are deducted from the result.
    pub prices: Prices,
    /// Weights of the parts of the result.
    pub goal: Goal,
    /// Resolution of the clock: the shortest time between two calls of `handle` with different times.
    pub tick: Micros,
}

/// The reason why [`Settings`] are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub(crate) &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Settings of a single balancer for one tier in one zone, without prices and with all optional actions
    /// disabled; adjust the fields that differ.
    pub fn new(classes: Vec<Class>) -> Settings {
        Settings {
            balancer_index: 0,
            balancers: 1,
            zone: 0,
            zones: 1,
            tier: 0,
            tiers: 1,
            propagates_deadline: true,
            classes,
            value_per_work: false,
            tenants: Vec::new(),
            over_quota_value_ratio: 1.0,
            clients_mark_retries: false,
            weights: WeightMeaning::None,
            discovery: DiscoveryMode::Push,
            report: ReportMode::None,
            limits: Limits {
                cancel: false,
                probes: false,
                concurrent_attempts: false,
                retry_after: false,
                max_retry_after: 0,
                max_attempts: 4,
                max_open: 0,
                max_streams: 0,
                idle_close: 0,
                connect_timeout: 0,
                cpu_per_second: 0,
                cpu_per_request: 0.0,
            },
            rules: Rules {
                initial_capacity_share: 0.1,
                warm_up_time: 30_000_000,
                overload_factor: 2.0,
                overload_time: 1_000_000,
                discovery_interval: 10_000_000,
                drain_grace: 1_000_000,
                answer_grace: 20_000,
            },
            prices: Prices::default(),
            goal: Goal { overall: 1.0, ..Goal::default() },
            tick: 1_000,
        }
    }

    /// Validates the settings; [`Balancer::new`](crate::Balancer::new) calls it.
    pub fn check(&self) -> Result<(), SettingsError> {
        let valid = |x: f64| x.is_finite() && x >= 0.0;
        let require = |ok: bool, reason| if ok { Ok(()) } else { Err(SettingsError(reason)) };
        require(!self.classes.is_empty(), "no classes")?;
        require(self.balancers > 0 && self.zones > 0, "the number of balancers or zones is zero")?;
        require(self.tier < self.tiers, "the tier index is not below the number of tiers")?;
        require(self.limits.max_attempts > 0, "no attempts allowed")?;
        require(self.tick > 0, "the tick is zero")?;
        for c in &self.classes {
            require(c.latency_target > 0 && c.deadline > 0, "a class without latency target or deadline")?;
            require(c.max_runs > 0, "a class whose requests may not run")?;
            require(
                valid(c.value) && valid(c.late_value_ratio) && valid(c.target_per_work),
                "a class's value, late value ratio or target per work is negative or not finite",
            )?;
        }
        for t in &self.tenants {
            require(valid(t.share) && valid(t.quota), "a tenant's share or quota is negative or not finite")?;
        }
        require(valid(self.over_quota_value_ratio), "the over-quota value ratio is negative or not finite")?;
        require(valid(self.limits.cpu_per_request), "the CPU time for a request is negative or not finite")?;
        let r = &self.rules;
        require(
            r.initial_capacity_share > 0.0 && r.initial_capacity_share <= 1.0,
            "the initial capacity share is not within 0 to 1",
        )?;
        require(valid(r.overload_factor), "the overload factor is negative or not finite")?;
        let p = &self.prices;
        let prices = [p.cross_zone, p.probe, p.late_failure, p.waste, p.connection, p.handshake, p.discovery];
        require(prices.into_iter().all(valid), "a price is negative or not finite")?;
        let g = &self.goal;
        let weights =
            [g.overall, g.worst_window, g.worst_class, g.worst_tenant, g.tail_latency, g.tail_miss_share];
        require(weights.into_iter().all(valid), "a weight of the goal is negative or not finite")
    }
}

/// The state of a server according to discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes the requests in flight; nothing new may be sent to it.
    Draining,
    /// Deregistered.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Zone of the server.
    pub zone: ZoneId,
    /// Machine type of the server.
    pub kind: KindId,
    /// Cell of the server: a small group that deduplicates requests among its members.
    pub cell: u32,
    /// Hash of the server's address, the same at every balancer: its position on the hash ring that spreads
    /// the balancers over the servers.
    pub ring_hash: u64,
    /// State of the server according to discovery.
    pub state: ServerState,
    /// Relative capacity of the server, see [`WeightMeaning`]; 1 if unknown.
    pub weight: f64,
    /// Time of the last start of the server's process; `None` if it is long ago.
    pub started_at: Option<Micros>,
}

impl ServerEntry {
    /// A ready server in zone, machine type and cell 0 that started long ago.
    pub fn new(id: ServerId) -> ServerEntry {
        ServerEntry { id, ring_hash: u64::from(id), weight: 1.0, ..ServerEntry::default() }
    }
}

/// The kind of a list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list: a server that is not in it is gone.
    Complete,
    /// The complete list as saved before a restart; it may be out of date.
    Stale,
    /// A call to discovery failed or the watch broke; the list has no entries.
    Failed,
}

/// A server's report of its load; `None` for each value that it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in the server, running or queued.
    pub in_flight: Option<f64>,
    /// Requests that wait in the server's queue.
    pub queue: Option<f64>,
    /// Share of the server's CPU in use.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Recent time to serve a request.
    pub latency: Option<Micros>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server rejected the attempt as overloaded; the request never ran.
    Full,
    /// No answer within the attempt's limit; the request may have run.
    TimedOut,
    /// No connection was established; the request never ran.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The attempt was cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent; the request never ran.
    NotSent,
}

impl Outcome {
    /// Returns true if this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// An input of the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A list of servers, or changes to it, arrived.
    Servers {
        /// Whether the entries are changes or a complete list.
        kind: ListKind,
        /// The entries of the list.
        entries: Vec<ServerEntry>,
    },
    /// A request arrived; the balancer owes it exactly one final answer.
    Request {
        /// Id of the request.
        id: RequestId,
        /// Class of the request.
        class: ClassId,
        /// Time until the client gives up.
        time_left: Micros,
        /// Tenant of the request, if the service is shared.
        tenant: Option<TenantId>,
        /// Expected work, if the deployment provides a hint.
        work: Option<Micros>,
        /// The client marks the request as a retry.
        retry: bool,
    },
    /// A streamed answer has begun: the balancer no longer limits, cancels or retries the request.
    FirstByte {
        /// The request that is being answered.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
    },
    /// An attempt ended. There is exactly one such event for each [`Action::Send`].
    Outcome {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
        /// The server that the attempt was sent to.
        server: ServerId,
        /// How the attempt ended.
        outcome: Outcome,
        /// Time from sending the attempt until its end.
        latency: Micros,
        /// The request is finished: the balancer owes it no further answer.
        closed: bool,
        /// The server's load, if it reported any.
        load: Option<Load>,
    },
    /// The client disconnected; the balancer owes the request no answer.
    ClientGone {
        /// The request of that client.
        request: RequestId,
    },
    /// A timer set by [`Action::Timer`] fired.
    Timer {
        /// The token of that action.
        token: u64,
    },
    /// A probe ended, with or without an answer.
    Probed {
        /// The server that was probed.
        server: ServerId,
        /// `Ok` if the server answered.
        outcome: Outcome,
        /// Time from sending the probe until its end.
        latency: Micros,
        /// The server's load, if it reported any.
        load: Option<Load>,
    },
}

/// An output of the balancer. The caller executes actions in the order in which they were appended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send the request to.
        server: ServerId,
        /// Time limit of the attempt.
        limit: Micros,
    },
    /// Final answer: refused. A retry by the client is safe.
    Refuse {
        /// The request that is refused.
        request: RequestId,
        /// Time that the client should wait before a retry; 0 for no preference.
        retry_after: Micros,
    },
    /// Final answer: failed. The request may or may not have run.
    Fail {
        /// The request that fails.
        request: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0 in the order of sending.
        attempt: u32,
    },
    /// Probe a server.
    Probe {
        /// The server to probe.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server whose connections are closed.
        server: ServerId,
    },
    /// Deliver [`Event::Timer`] after a delay.
    Timer {
        /// Time from now until the event.
        delay: Micros,
        /// Token to pass in the event.
        token: u64,
    },
    /// Ask discovery to push changes from now on.
    Watch,
    /// Ask discovery for the complete list once.
    Fetch,
}
