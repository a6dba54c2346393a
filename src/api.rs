//! The interface of the balancer: settings, events, actions and the ids they use.
//!
//! Nothing in this file decides anything; every decision is in `brain.rs`. Ids are small integers that the
//! caller assigns. Times are microseconds on any clock that only advances; spans are microseconds too.

use std::fmt;

/// A point in time or a span, in microseconds.
pub type Micros = u64;
/// A server, as numbered by the caller; the same server keeps its number across restarts of its process.
pub type ServerId = u32;
/// A request, as numbered by the caller; never reused within the life of a [`Balancer`](crate::Balancer).
pub type RequestId = u64;
/// Index of a class in [`Settings::classes`].
pub type ClassId = usize;
/// A zone: any small integer, the same for all servers of the zone.
pub type ZoneId = u32;
/// A machine kind: any small integer.
pub type KindId = u32;
/// Index of a tenant in [`Settings::tenants`].
pub type TenantId = usize;

/// What may be repeated of a class's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat anywhere.
    Safe,
    /// Carries a key: the servers of one group drop repeats, for a window counted from the earliest attempt
    /// that may have run.
    Keyed {
        /// Which servers drop each other's repeats.
        group: DedupGroup,
        /// For how long they remember a request.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// The servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupGroup {
    /// All servers of the tier.
    All,
    /// Servers of the same zone.
    Zone,
    /// Servers of the same cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// What may be repeated.
    pub effect: Effect,
    /// An answer within this span earns the full worth.
    pub latency_target: Micros,
    /// The aim grows by this multiple of the request's own work, where a hint tells it.
    pub target_per_work: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// Worth of one request (or of a unit of its work, see [`Settings::value_per_work`]).
    pub value: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_value_ratio: f64,
    /// The answer is a stream: [`Event::FirstByte`] tells of its start.
    pub stream: bool,
}

/// One of those who share the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Its share of the service.
    pub share: f64,
    /// Requests a second within that share, over all balancers; what exceeds it is worth
    /// [`Settings::over_quota_value_ratio`] of the usual.
    pub quota: f64,
}

/// What a balancer has learned, as figures whose meaning is the module's: for another of the same build.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Of each class.
    pub classes: Vec<Vec<f64>>,
    /// Of all classes together.
    pub overall: Vec<f64>,
    /// Of each zone.
    pub zones: Vec<(ZoneId, Vec<f64>)>,
}

/// What [`ServerEntry::weight`] says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightMeaning {
    /// Nothing: it is always 1.
    #[default]
    None,
    /// The registered size.
    Nominal,
    /// About the size.
    Rough,
    /// The size over 1 + requests held for each core, as it was a while ago.
    Live,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Changes arrive unasked.
    Push,
    /// Nothing arrives until [`Action::Watch`] or [`Action::Fetch`] asks.
    Pull,
}

/// How servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportMode {
    /// In outcomes and probe answers.
    Answers,
    /// In probe answers only.
    Probe,
    /// Not at all.
    None,
}

/// What the deployment allows.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// [`Action::Cancel`] may be used.
    pub cancel: bool,
    /// [`Action::Probe`] may be used.
    pub probes: bool,
    /// Two attempts of a request may be out at once.
    pub concurrent_attempts: bool,
    /// Clients are handed the wait of [`Action::Refuse`].
    pub retry_after: bool,
    /// The longest wait that a client follows.
    pub max_retry_after: Micros,
    /// Attempts for a request, all told.
    pub max_attempts: u32,
    /// Requests that the balancer may have open; 0 for no limit.
    pub max_open: u32,
    /// Attempts that one connection carries at once; 0 where nothing is known.
    pub max_streams: u32,
    /// An idle connection is closed after this span; 0 where nothing is known.
    pub idle_close: Micros,
    /// A connection that is not up after this span is [`Outcome::ConnectFailed`]; 0 where nothing is known.
    pub connect_timeout: Micros,
    /// Processing time that the balancer has in a second; 0 for no limit.
    pub cpu_per_second: Micros,
    /// Processing time, in microseconds and parts of them, for a request with its outcomes; 0 for no limit.
    pub cpu_per_request: f64,
}

/// Figures of the rules on drains, cold servers and discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A server that starts has at least this share of its capacity.
    pub initial_capacity_share: f64,
    /// It is warm after this span at the latest.
    pub warm_up_time: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this span, a cold server falls over.
    pub overload_time: Micros,
    /// Where discovery must be asked, it must be asked at least this often unless watched.
    pub discovery_interval: Micros,
    /// Nothing new may go to a server later than this after the news that it drains or is gone.
    pub drain_grace: Micros,
    /// A final answer still counts this long after the client's time.
    pub answer_grace: Micros,
}

/// What each thing costs, in points of the result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For each attempt that crosses zones, per request.
    pub cross_zone: f64,
    /// For each probe, per request.
    pub probe: f64,
    /// For worth that ends unserved after its aim.
    pub late_failure: f64,
    /// For work of servers that served no answer, per work offered.
    pub waste: f64,
    /// For connections open, per hundred servers' worth of them.
    pub connection: f64,
    /// For each new connection, per request.
    pub handshake: f64,
    /// For lines of the list of servers, per hundred requests' worth of them.
    pub discovery: f64,
}

/// Weights of the parts of the result.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Goal {
    /// Share of the result that all requests together decide.
    pub overall: f64,
    /// Share that the worst stretch of time decides.
    pub worst_window: f64,
    /// Share that the worst-served class decides.
    pub worst_class: f64,
    /// Share that the worst-served tenant decides, within its share of the service.
    pub worst_tenant: f64,
    /// Share for which worth counts in full only while few requests miss their aim.
    pub tail_latency: f64,
    /// The share of requests that may miss it; an early refusal is no miss.
    pub tail_miss_share: f64,
}

/// Everything a balancer is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This balancer's number among those of its tier, from 0.
    pub balancer_index: u32,
    /// How many balancers send to this tier.
    pub balancers: u32,
    /// The zone that this balancer is in.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zones: u32,
    /// The tier that this balancer sends to, 0 for the first.
    pub tier: u32,
    /// How many tiers there are.
    pub tiers: u32,
    /// A call from a tier above carries its caller's time left, not its class's whole deadline.
    pub propagates_deadline: bool,
    /// The request classes.
    pub classes: Vec<Class>,
    /// Worth counts per unit of work, not per request.
    pub value_per_work: bool,
    /// Those who share the service; none where it has one owner.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of its class's worth.
    pub over_quota_value_ratio: f64,
    /// Clients mark their repeats, see [`Event::Request`].
    pub clients_mark_retries: bool,
    /// What the weights of servers say.
    pub weights: WeightMeaning,
    /// How the list of servers arrives.
    pub discovery: DiscoveryMode,
    /// How servers report load.
    pub report: ReportMode,
    /// What is allowed.
    pub limits: Limits,
    /// Figures of the rules.
    pub rules: Rules,
    /// Prices.
    pub prices: Prices,
    /// Weights of the result.
    pub goal: Goal,
    /// Shortest span between two calls of `handle` with different times.
    pub tick: Micros,
}

/// Why settings make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub(crate) &'static str);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "bad settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Settings of a lone balancer for one tier in one zone, with nothing priced and nothing but sending
    /// allowed; change what differs.
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

    /// Tells whether the settings make sense; [`Balancer::new`](crate::Balancer::new) calls it.
    pub fn check(&self) -> Result<(), SettingsError> {
        let finite = |x: f64| x.is_finite() && x >= 0.0;
        let test = |ok: bool, why| if ok { Ok(()) } else { Err(SettingsError(why)) };
        test(!self.classes.is_empty(), "no classes")?;
        test(self.balancers > 0 && self.zones > 0, "no balancers or no zones")?;
        test(self.tier < self.tiers, "the tier lies beyond the last")?;
        test(self.limits.max_attempts > 0, "no attempts allowed")?;
        test(self.tick > 0, "the tick is zero")?;
        for c in &self.classes {
            test(c.latency_target > 0 && c.deadline > 0, "a class without aim or deadline")?;
            test(
                finite(c.value) && finite(c.late_value_ratio) && finite(c.target_per_work),
                "a class's worth or stretch",
            )?;
        }
        for t in &self.tenants {
            test(finite(t.share) && finite(t.quota), "a tenant's share or quota")?;
        }
        test(finite(self.over_quota_value_ratio), "the worth beyond a tenant's share")?;
        test(finite(self.limits.cpu_per_request), "the processing time for a request")?;
        let r = &self.rules;
        test(
            r.initial_capacity_share > 0.0 && r.initial_capacity_share <= 1.0,
            "the cold share is not within 0 to 1",
        )?;
        test(finite(r.overload_factor), "the overload factor")?;
        let p = &self.prices;
        let prices = [p.cross_zone, p.probe, p.late_failure, p.waste, p.connection, p.handshake, p.discovery];
        test(prices.into_iter().all(finite), "a price")?;
        let g = &self.goal;
        let weights =
            [g.overall, g.worst_window, g.worst_class, g.worst_tenant, g.tail_latency, g.tail_miss_share];
        test(weights.into_iter().all(finite), "a weight of the goal")
    }
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may go to it.
    Draining,
    /// Withdrawn.
    Gone,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell: a small group that drops each other's repeats.
    pub cell: u32,
    /// A hash of its address, the same at every balancer: it spreads the balancers over the servers.
    pub ring_hash: u64,
    /// What discovery says of it.
    pub state: ServerState,
    /// Its size beside the others'; 1 where nothing is known.
    pub weight: f64,
    /// When its process last started; `None` for long ago.
    pub started_at: Option<Micros>,
}

impl ServerEntry {
    /// A ready server of zone, kind and cell 0 that started long ago.
    pub fn new(id: ServerId) -> ServerEntry {
        ServerEntry { id, ring_hash: u64::from(id), weight: 1.0, ..ServerEntry::default() }
    }
}

/// What a list of servers is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// The complete list: a server not in it is gone.
    Complete,
    /// The complete list as last held before a restart, perhaps old.
    Stale,
    /// A call to discovery failed or the watch broke; it has no entries.
    Failed,
}

/// A server's report of its load; what it does not tell is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests it holds.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queue: Option<f64>,
    /// Share of its processing power in use.
    pub utilization: Option<f64>,
    /// Requests served in a second.
    pub throughput: Option<f64>,
    /// Recent time to serve a request.
    pub latency: Option<Micros>,
    /// Errors in a second.
    pub errors: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen; it never ran.
    Full,
    /// No answer within the attempt's limit; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
    Cancelled,
    /// Never sent; it never ran.
    NotSent,
}

impl Outcome {
    /// Tells whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// What happens to a balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    Servers {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<ServerEntry>,
    },
    /// A request arrived; the balancer owes one final answer.
    Request {
        /// The request.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// How long until its client gives up.
        time_left: Micros,
        /// Whose it is, where the service is shared.
        tenant: Option<TenantId>,
        /// Expected work, where the deployment tells it.
        work: Option<Micros>,
        /// The client marks it as a repeat.
        retry: bool,
    },
    /// A streamed answer has begun: the attempt is the client's now.
    FirstByte {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended. One for each [`Action::Send`].
    Outcome {
        /// The request.
        request: RequestId,
        /// Number of the attempt, counted from 0 in order of sending.
        attempt: u32,
        /// Where it went.
        server: ServerId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        latency: Micros,
        /// The request is finished and nothing more is owed for it.
        closed: bool,
        /// The server's load, where it reported.
        load: Option<Load>,
    },
    /// The client left; nothing more is owed.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// A timer set by [`Action::Timer`] rang.
    Timer {
        /// Its token.
        token: u64,
    },
    /// A probe was answered or not.
    Probed {
        /// The server.
        server: ServerId,
        /// `Ok` if it answered.
        outcome: Outcome,
        /// How long it took.
        latency: Micros,
        /// The server's load, where it reported.
        load: Option<Load>,
    },
}

/// What a balancer wants done, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        server: ServerId,
        /// The attempt's limit.
        limit: Micros,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 for no wish.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// The server.
        server: ServerId,
    },
    /// Ring [`Event::Timer`] after a delay.
    Timer {
        /// From now.
        delay: Micros,
        /// Handed back.
        token: u64,
    },
    /// Ask discovery to send changes from now on.
    Watch,
    /// Ask discovery for the complete list once.
    Fetch,
}
