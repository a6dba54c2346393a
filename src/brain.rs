//! All decisions of the balancer; its settings, events and actions are in `api.rs`. Learned percentiles and
//! the remaining time limit an attempt, timeouts trip a circuit breaker, and the ready server with the fewest
//! own calls in flight gets the next call.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::api::*;

/// Histogram buckets per doubling of the latency: percentiles are accurate to within a tenth.
const BUCKETS_PER_OCTAVE: f64 = 8.0;
/// Number of histogram buckets: 22 doublings above `MIN_LATENCY_US`, more than any deadline.
const BUCKETS: usize = 176;
/// Lower edge of the first histogram bucket in microseconds, far below any call over a network.
const MIN_LATENCY_US: f64 = 64.0;
/// Number of requests over which the mean of the work hints is taken.
const MEAN_WORK_SAMPLES: f64 = 32.0;
/// Share of a latency that is proportional to the work hint; the rest is queueing, also for small requests.
const WORK_HINT_WEIGHT: f64 = 0.6;
/// Minimum number of (faded) latency samples for a usable P50.
const MIN_P50_SAMPLES: f64 = 6.0;
/// Number of samples that do not fade: at one request per second none would remain.
const MIN_KEPT_SAMPLES: f64 = 20.0;
/// Minimum number of samples for P99: fewer cannot show one in 100. Until then the time left limits attempts.
const MIN_P99_SAMPLES: f64 = 100.0;
/// Factor that widens P99 for each timeout above the 1% that P99 allows.
const WIDENING_STEP: f64 = 1.15;
/// Maximum factor by which timeouts widen P99.
const MAX_WIDENING: f64 = 8.0;
/// An attempt is sent while this share of its class's latency target is left, whatever the learned P50.
const REQUIRED_TARGET_SHARE: f64 = 0.5;
/// Half-life of abandoned attempts in the window, in P50s. The P99 of a slow period would fill the window.
const ABANDON_P50S: f64 = 2.0;
/// Mean delay before a retry, in P50s: short compared with a call, long enough to spread retries.
const RETRY_BACKOFF_P50S: f64 = 0.1;
/// Time for a retry is reserved only if the first attempt still gets this many P50s, as large requests need.
const MIN_FIRST_P50S: f64 = 5.0;
/// Limit of attempts that must not be retried, in P99s: their timeout frees a slot but loses the request.
const UNREPEATABLE_LIMIT_P99S: f64 = 3.0;
/// Minimum limit of an attempt without a reserved retry, as a share of the time left: a timeout saves little.
const MIN_LAST_LIMIT_SHARE: f64 = 0.1;
/// An attempt that timed out after this many P50s is a failure of its server, whatever set its limit.
const SERVER_TIMEOUT_P50S: f64 = 12.0;
/// Retry budget earned per first attempt.
const RETRY_BUDGET_RATIO: f64 = 0.1;
/// Minimum cap of the retry budget; wide windows raise it, since a hiccup ends all attempts in flight.
const MIN_RETRY_BUDGET_CAP: f64 = 5.0;
/// An answer is late if queueing takes more than this share of the time that the latency target leaves.
const MAX_QUEUEING_SHARE: f64 = 0.7;
/// Share of late answers above which the window shrinks.
const LATE_SHARE: f64 = 0.25;
/// The window shrinks if half of the answers take more than this multiple of the lowest recent P50.
const CONGESTION_P50_RATIO: f64 = 1.25;
/// Share of the latency target below which an answer is never congested: a fast P50 doubles without queues.
const MIN_CONGESTION_SHARE: f64 = 0.02;
/// Growth of the lowest recent P50 per half-life, so that it adapts to a changed fleet.
const MIN_P50_GROWTH: f64 = 1.05;
/// A class's latencies are learned from scratch when they change by this multiple of `INITIAL_WINDOW`.
const SHIFT_WINDOW_DEPTHS: f64 = 4.0;
/// A rise in latency counts as a shift only while no window exceeds this multiple of its fair size.
const MAX_SHIFT_WINDOW_RATIO: f64 = 2.0;
/// An uncongested answer within this share of the latency target grows a full window. Until a latency is
/// known, calls are assumed to take this share.
const FAST_SHARE: f64 = 0.1;
/// Base change of the window per answer.
const WINDOW_GAIN: f64 = 0.5;
/// Initial window, in attempts per server of the balancer's part of the fleet.
const INITIAL_WINDOW: f64 = 4.0;
/// Extra window for each tier below, as a share of the window: calls stay open while lower tiers work.
const TIER_ALLOWANCE: f64 = 0.75;
/// Extra window for each tier below while a window is new: a smaller share, as answers show no queueing yet.
const FIRST_ALLOWANCE: f64 = 0.25;
/// Maximum factor by which a window's growth is raised below its fair size, and lowered above it.
const MAX_WINDOW_BIAS: f64 = 3.0;
/// Minimum window in attempts. A window below 1 allows one attempt at a time, with pauses.
const MIN_WINDOW: f64 = 0.05;
/// Balancers that prefer the same server: few enough to learn its state, enough to cover all servers evenly.
const BALANCERS_PER_SERVER: f64 = 4.0;
/// Calls in flight that are added to the score of a server that is not preferred.
const NON_PREFERRED_PENALTY: f64 = 1.0;
/// Phase step between adjacent balancers, in intervals: multiples of the golden ratio spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Maximum number of servers of a zone ranked per call, from a random one if more are preferred.
const MAX_RANKED_SERVERS: usize = 32;
/// A run of failures ejects a server if its probability by chance is below this.
const MAX_CHANCE: f64 = 0.01;
/// Mean time that a breaker stays open, in longest deadlines.
const OPEN_DEADLINES: f64 = 1.0;
/// Idle connections are closed before a call if more than this share of calls on similarly idle ones failed.
const MAX_IDLE_FAILURE_SHARE: f64 = 0.5;
/// Idle connections are closed before an unsafe call if more than this share of calls on similar ones broke
/// at once: a new connection costs less than a lost call.
const MAX_IDLE_RESET_SHARE: f64 = 0.1;
/// A reset within this share of P50 means a dead idle connection; a later one had reached the server.
const STALE_RESET_P50S: f64 = 0.1;
/// Weight of one call in the failure shares of idle connections.
const IDLE_FAILURE_GAIN: f64 = 0.25;
/// Mean time without calls for a server that rejected one, in P50s.
const REJECTION_PAUSE_P50S: f64 = 2.0;
/// Maximum share of servers that may be ejected.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Maximum share of servers that may be ejected if the failing one accepts no connections.
const MAX_OFFLINE_SHARE: f64 = 0.67;
/// Window of the priority class as a multiple of the normal one: long calls of low value fill a small window.
const PRIORITY_WINDOW: f64 = 2.0;
/// A class has priority if its value per work is more than this multiple of the next class's.
const PRIORITY_VALUE_RATIO: f64 = 2.0;
/// The queue may hold at least this many requests per attempt in the window.
const QUEUED_PER_ATTEMPT: f64 = 4.0;
/// The queue may hold at least what the window serves within this share of the shortest latency target.
const QUEUED_TARGET_SHARE: f64 = 0.05;
/// The queue may always hold this many requests.
const MIN_QUEUE_CAPACITY: usize = 16;
/// Number of sweeps of the queued requests per shortest latency target.
const SWEEPS_PER_TARGET: u64 = 64;
/// Number of rounds of housekeeping per longest deadline.
const HOUSEKEEPING_PER_DEADLINE: u64 = 16;
/// Maximum random delay of the first watch of discovery, as a share of the discovery interval.
const MAX_FIRST_WATCH: f64 = 0.9;
/// Delay of the first watch per balancer, as a share of the discovery interval: a few need little spread.
const FIRST_WATCH_PER_BALANCER: f64 = 0.0025;
/// Maximum random delay of a new watch after a failed one, as a share of the discovery interval.
const WATCH_RETRY_SHARE: f64 = 0.4;

const SWEEP_TOKEN: u64 = 1;
const HOUSEKEEPING_TOKEN: u64 = 2;
const WATCH_TOKEN: u64 = 3;
const RETRY_TOKEN: u64 = 4;

/// Percentiles of recent latencies: a histogram with exponential buckets whose samples decay over time.
#[derive(Clone)]
struct Percentiles {
    counts: Vec<f64>,
    total: f64,
    widening: f64,
    p50: f64,
    p99: f64,
    faded_at: Micros,
}

impl Default for Percentiles {
    fn default() -> Self {
        Percentiles { counts: vec![0.0; BUCKETS], total: 0.0, widening: 1.0, p50: 0.0, p99: 0.0, faded_at: 0 }
    }
}

impl Percentiles {
    fn fade(&mut self, now: Micros, half_life: f64) {
        let kept = 0.5_f64.powf((now - self.faded_at.min(now)) as f64 / half_life);
        // Prevents a balancer with little traffic from losing each sample before the next.
        let kept = kept.max(MIN_KEPT_SAMPLES / self.total.max(MIN_KEPT_SAMPLES));
        if kept < 0.95 {
            self.counts.iter_mut().for_each(|c| *c *= kept);
            self.total *= kept;
            self.faded_at = now;
        }
    }

    /// Adds a sample. Timeouts above 1% widen P99, which otherwise could not exceed its own attempt limit.
    fn record(&mut self, latency: f64, timed_out: bool) {
        let bucket = (BUCKETS_PER_OCTAVE * (latency.max(MIN_LATENCY_US) / MIN_LATENCY_US).log2()) as usize;
        self.counts[bucket.min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
        let step = if timed_out { 1.0 } else { -0.01 };
        self.widening = (self.widening * WIDENING_STEP.powf(step)).clamp(1.0, MAX_WIDENING);
        self.recompute();
    }

    fn recompute(&mut self) {
        self.p50 = self.quantile(0.5);
        let enough = self.total >= MIN_P99_SAMPLES;
        // The bucket's upper edge: a lower value would cut off calls of a service with constant latency.
        let edge = (0.5 / BUCKETS_PER_OCTAVE).exp2();
        self.p99 = if enough { self.quantile(0.99) * edge * self.widening } else { f64::INFINITY };
    }

    fn export(&self) -> Vec<f64> {
        [&[self.widening], &self.counts[..]].concat()
    }

    /// Restores the values of [`export`](Percentiles::export), as of now; ignores values of another layout.
    fn import(&mut self, now: Micros, values: &[f64]) {
        let [w, counts @ ..] = values else { return };
        if counts.len() == BUCKETS && counts.iter().any(|c| *c > 0.0) {
            (self.widening, self.counts, self.faded_at) = (w.clamp(1.0, MAX_WIDENING), counts.to_vec(), now);
            self.total = counts.iter().sum();
            self.recompute();
        }
    }

    fn quantile(&self, q: f64) -> f64 {
        let mut left = q * self.total;
        let at = self.counts.iter().position(|c| {
            left -= c;
            left <= 0.0
        });
        MIN_LATENCY_US * ((at.unwrap_or(BUCKETS - 1) as f64 + 0.5) / BUCKETS_PER_OCTAVE).exp2()
    }
}

#[derive(Clone, Copy, Default, PartialEq)]
enum Circuit {
    #[default]
    Closed,
    Open {
        until: Micros,
    },
    HalfOpen,
}

/// A circuit breaker: it opens after consecutive failures and then admits one trial call at a time.
#[derive(Clone, Default)]
struct Breaker {
    state: Circuit,
    failures: u32,
}

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    in_flight: u32,
    /// The last attempt failed to connect.
    unreachable: bool,
    /// One for all classes together, then one per class: a server may fail one class and serve the others.
    breakers: Vec<Breaker>,
    /// Earliest time of the next attempt, if the server is cold or rejected an attempt.
    not_before: Micros,
    /// Start of the idle time of each idle connection.
    idle_since: Vec<Micros>,
    /// When a list first named the running process.
    first_listed: Micros,
    /// Start of the warm-up; `None` if the server started long ago.
    cold_since: Option<Micros>,
    /// How often the server was skipped because it is cold.
    cold_skips: u64,
}

impl Server {
    fn capacity(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(started) = self.cold_since else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / rules.warm_up_time.max(1) as f64;
        (rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * age).min(1.0)
    }

    /// Returns whether an admitted call of the class is a trial, or `None` if a breaker rejects it.
    fn admits(&self, class: ClassId, now: Micros) -> Option<bool> {
        let pass = |b: &Breaker| match b.state {
            Circuit::Closed => Some(false),
            Circuit::Open { until } if now >= until => Some(true),
            _ => None,
        };
        Some(pass(&self.breakers[0])? | pass(&self.breakers[class + 1])?)
    }

    fn is_ejected(&self) -> bool {
        self.breakers.iter().any(|b| b.state != Circuit::Closed)
    }
}

/// The servers of one zone, as seen through this balancer's own attempts.
#[derive(Default)]
struct Pool {
    servers: u32,
    /// Number of servers when the window was last scaled to it.
    sized: u32,
    /// Number of servers to which the last attempt failed to connect.
    unreachable: u32,
    /// Index of the zone's first server in `Balancer::servers`.
    start: usize,
    /// Offset from `start` of the first server that this balancer prefers.
    preferred_start: usize,
    /// Number of servers that this balancer prefers.
    preferred: usize,
    /// Number of ready servers that are warm.
    warm: u32,
    /// Upper limit of the window while no server of any zone is warm.
    cap: f64,
    /// Number of attempts that may be in flight at once.
    window: f64,
    in_flight: u32,
    /// Attempts in flight from another process of this balancer, during a handover.
    peer_in_flight: f64,
    /// Decaying number of abandoned attempts that servers may still be processing.
    abandoned: f64,
    /// Earliest time of the next attempt while the window is below one attempt.
    resume_at: Micros,
    /// Decaying number of calls that warm servers answered; rejected or lost calls do not show capacity.
    served: f64,
}

impl Pool {
    /// The window without the part of unreachable servers, so that a returning server does not get all of it.
    fn reachable_window(&self) -> f64 {
        let reached = f64::from(self.servers.saturating_sub(self.unreachable).max(1));
        self.window.min(self.cap) * reached / f64::from(self.servers.max(1))
    }
}

#[derive(Default)]
struct Request {
    class: ClassId,
    arrived: Micros,
    /// An answer after this time has no value.
    expires: Micros,
    deadline: Micros,
    attempts: u32,
    retried: bool,
    /// One unit of the retry budget is reserved for the request.
    retry_reserved: bool,
    /// Expected latency relative to its class, from the work hint; 1 without a hint.
    scale: f64,
    /// Time, zone and cell of the earliest attempt that may have run.
    first_ran: Option<(Micros, ZoneId, u32)>,
    attempt: Option<Attempt>,
    last_server: Option<ServerId>,
    not_before: Micros,
}

struct Attempt {
    sent_at: Micros,
    zone: ZoneId,
    cell: u32,
    own_limit: bool,
    /// Idle time of the attempt's connection, in doublings of `MIN_LATENCY_US`.
    idle_bucket: usize,
}

/// The end of an attempt, from [`Event::Outcome`].
struct Ended {
    server: ServerId,
    outcome: Outcome,
    latency: Micros,
    closed: bool,
}

#[derive(Clone, Default)]
struct ClassState {
    latency: Percentiles,
    /// Lowest recent P50, taken as the latency without queueing.
    min_p50: f64,
    /// Length of the run of far slower (positive) or faster (negative) answers, and the last answer's server.
    shift_run: (i32, ServerId),
    /// Mean work hint.
    work: f64,
    offered: f64,
    served: f64,
    queued: VecDeque<RequestId>,
}

/// Returns a balancer's part of a zone's servers; the parts of all balancers add up to the whole. The own
/// zone weighs `zones` times as much, if balancers are not fewer than zones. Unfair if most are in one zone.
fn balancer_part(settings: &Settings, zone: ZoneId, servers: u32) -> f64 {
    let (zones, balancers) = (settings.zones as f64, settings.balancers as f64);
    let weight = match (balancers < zones, zone == settings.zone) {
        (true, _) => 1.0,
        (_, true) => zones / (2.0 - 1.0 / zones),
        _ => 1.0 / (2.0 - 1.0 / zones),
    };
    servers as f64 * weight / balancers
}

/// Returns the fair window of a balancer, with an allowance for each tier below: calls stay open while it
/// works, but not all calls wait at once. A whole window per tier overloaded the servers.
fn fair_window(settings: &Settings, zone: ZoneId, servers: u32, allowance: f64) -> f64 {
    let allowance = 1.0 + allowance * (settings.tiers - settings.tier - 1) as f64;
    INITIAL_WINDOW * balancer_part(settings, zone, servers) * allowance
}

/// A load balancer: takes events and decides on actions, without I/O.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// Sorted by zone, then by position on the hash ring.
    servers: Vec<Server>,
    /// Index of each server in `servers`.
    indices: HashMap<ServerId, usize>,
    pools: BTreeMap<ZoneId, Pool>,
    /// No server of any zone is warm.
    all_cold: bool,
    requests: BTreeMap<RequestId, Request>,
    classes: Vec<ClassState>,
    pooled: Percentiles,
    /// Requests that wait for a retry: for the end of the backoff or for a server.
    retries: Vec<RequestId>,
    /// Retries that are earned and not reserved for a request.
    retry_budget: f64,
    /// Number of retries that are reserved for requests.
    reserved_retries: u32,
    failure_rate: f64,
    /// Half-life of samples in microseconds: the longest deadline, so that a change shows within seconds.
    half_life: f64,
    /// Shares of calls on idle connections that failed, and that broke at once, by log2 of the idle time.
    idle_failures: [[f64; 64]; 2],
    /// The class that may exceed a full window.
    priority_class: Option<ClassId>,
    /// Time between two sweeps of the queued requests.
    sweep_interval: Micros,
    sweeping: bool,
    started: bool,
    housekept_at: Micros,
    /// Decaying time over which answers were counted, so that rates are right soon after the start.
    observed: f64,
}

impl Balancer {
    /// Creates a balancer that has learned nothing yet; fails if the settings are invalid.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(1);
        Ok(Balancer {
            classes: settings.classes.iter().map(|_| ClassState::default()).collect(),
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            indices: HashMap::new(),
            pools: BTreeMap::new(),
            all_cold: false,
            requests: BTreeMap::new(),
            pooled: Percentiles::default(),
            retries: Vec::new(),
            retry_budget: MIN_RETRY_BUDGET_CAP,
            reserved_retries: 0,
            failure_rate: 0.01,
            half_life: longest as f64,
            idle_failures: [[0.0; 64]; 2],
            priority_class: None,
            sweep_interval: (settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(1)
                / SWEEPS_PER_TARGET)
                .max(settings.tick),
            sweeping: false,
            started: false,
            housekept_at: 0,
            observed: 0.0,
            settings,
        })
    }

    /// Applies new settings and keeps what was learned. Class `i` inherits the state of old class `map[i]`; a
    /// class with open requests must keep its effect. Fails without any change if the settings are invalid.
    pub fn reconfigure(&mut self, settings: Settings, map: &[Option<ClassId>]) -> Result<(), SettingsError> {
        settings.check()?;
        let source = |i: usize| map.get(i).copied().flatten();
        let mut old: Vec<ClassState> = std::mem::take(&mut self.classes);
        let held: Vec<_> = old.iter_mut().map(|c| std::mem::take(&mut c.queued)).collect();
        let copied = |i: usize| source(i).and_then(|j| old.get(j)).cloned().unwrap_or_default();
        self.classes = (0..settings.classes.len()).map(copied).collect();
        self.classes.iter_mut().zip(held).for_each(|(class, queued)| class.queued = queued);
        for server in &mut self.servers {
            let old = std::mem::take(&mut server.breakers);
            let copied = |i: usize| source(i).and_then(|j| old.get(j + 1)).cloned().unwrap_or_default();
            server.breakers = vec![old.first().cloned().unwrap_or_default()];
            server.breakers.extend((0..settings.classes.len()).map(copied));
        }
        self.half_life = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(1) as f64;
        let target = settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(1);
        self.sweep_interval = (target / SWEEPS_PER_TARGET).max(settings.tick);
        self.settings = settings;
        self.rebuild_pools(self.housekept_at);
        Ok(())
    }

    /// Returns what was learned about classes and zones, for a successor of the same build.
    pub fn learned(&self) -> LearnedState {
        let class =
            |c: &ClassState| [&[c.min_p50, c.work, c.offered, c.served], &c.latency.export()[..]].concat();
        let classes = self.classes.iter().map(class).collect();
        let zones =
            self.pools.iter().map(|(&zone, p)| (zone, vec![p.window, p.abandoned, p.served])).collect();
        LearnedState { classes, overall: self.pooled.export(), zones }
    }

    /// Adopts a predecessor's state; call it after the first list, before any request. Skips invalid parts.
    pub fn restore(&mut self, now: Micros, learned: &LearnedState) {
        let valid = |values: &[f64]| values.iter().all(|f| f.is_finite() && *f >= 0.0);
        for (class, values) in self.classes.iter_mut().zip(&learned.classes).filter(|(_, f)| valid(f)) {
            let [p50, work, offered, served, latency @ ..] = &values[..] else { continue };
            (class.min_p50, class.work, class.offered, class.served) = (*p50, *work, *offered, *served);
            class.latency.import(now, latency);
        }
        if valid(&learned.overall) {
            self.pooled.import(now, &learned.overall);
        }
        for (zone, values) in learned.zones.iter().filter(|(_, f)| valid(f)) {
            if let ([window, abandoned, served], Some(pool)) = (&values[..], self.pools.get_mut(zone)) {
                (pool.window, pool.abandoned, pool.served) = (window.max(MIN_WINDOW), *abandoned, *served);
                self.observed = self.half_life * std::f64::consts::LOG2_E;
            }
        }
    }

    /// Returns the number of attempts in flight, by zone.
    pub fn in_flight(&self) -> Vec<(ZoneId, f64)> {
        self.pools.iter().map(|(&zone, p)| (zone, f64::from(p.in_flight))).collect()
    }

    /// Sets the attempts in flight of another process of this balancer, by zone; 0 for zones not listed.
    pub fn set_peer_in_flight(&mut self, others: &[(ZoneId, f64)]) {
        for (zone, pool) in &mut self.pools {
            let reported = others.iter().find(|(z, n)| z == zone && n.is_finite());
            pool.peer_in_flight = reported.map_or(0.0, |(_, n)| n.max(0.0));
        }
    }

    /// Handles an event and appends the resulting actions. `now` must never decrease.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            self.housekept_at = now;
            self.housekeep(now, actions);
            if self.settings.discovery == DiscoveryMode::Pull {
                let spread = MAX_FIRST_WATCH.min(FIRST_WATCH_PER_BALANCER * self.settings.balancers as f64);
                self.schedule_watch(self.settings.rules.discovery_interval as f64 * spread, actions);
            }
        }
        match event {
            Event::Servers { kind, entries } => self.listed(now, kind, entries, actions),
            Event::Request { id, class, time_left, work, .. } => {
                self.enqueue(now, id, class, time_left, work, actions);
            }
            Event::Outcome { request, server, outcome, latency, closed, .. } => {
                self.attempt_ended(now, request, &Ended { server, outcome, latency, closed }, actions);
            }
            // A stream that has begun has no limit and no retry; its outcome frees the slot in the window.
            Event::FirstByte { request, .. } => {
                let _ = self.remove(request).map(|r| self.classes[r.class].served += 1.0);
            }
            Event::ClientGone { request } => self.client_gone(request),
            Event::Timer { token: SWEEP_TOKEN } => self.sweep(now, actions),
            Event::Timer { token: HOUSEKEEPING_TOKEN } => self.housekeep(now, actions),
            Event::Timer { token: WATCH_TOKEN } => actions.push(Action::Watch),
            Event::Timer { .. } | Event::Probed { .. } => {}
        }
        self.dispatch(now, actions);
        if !self.sweeping && (!self.retries.is_empty() || self.classes.iter().any(|c| !c.queued.is_empty())) {
            self.sweeping = true;
            actions.push(Action::Timer { delay: self.sweep_interval, token: SWEEP_TOKEN });
        }
    }

    /// Shrinks the window: slow servers would look fast if only the clients of the slowest calls left.
    fn client_gone(&mut self, id: RequestId) {
        let Some(attempt) = self.remove(id).and_then(|r| r.attempt) else { return };
        let Some(pool) = self.pools.get_mut(&attempt.zone) else { return };
        pool.window = (pool.window - WINDOW_GAIN * pool.window.min(1.0)).max(MIN_WINDOW);
    }

    /// Removes a request and releases its reserved retry.
    fn remove(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.reserved_retries -= u32::from(request.retry_reserved);
        self.retry_budget += f64::from(u8::from(request.retry_reserved));
        Some(request)
    }

    fn enqueue(
        &mut self,
        now: Micros,
        id: RequestId,
        class: ClassId,
        left: Micros,
        work: Option<Micros>,
        actions: &mut Vec<Action>,
    ) {
        let Some(c) = self.settings.classes.get(class) else {
            actions.push(Action::Fail { request: id });
            return;
        };
        let stretch = (c.target_per_work * work.unwrap_or(0) as f64) as Micros;
        let mut target = (c.latency_target + stretch).min(c.deadline);
        if !self.settings.propagates_deadline {
            target = target.min(self.tier_part(c.deadline));
        }
        let useful_for =
            if c.late_value_ratio > 0.0 { left } else { left.min(target.saturating_sub(self.settings.tick)) };
        let state = &mut self.classes[class];
        state.offered += 1.0;
        state.queued.push_back(id);
        let work = work.map_or(0.0, |w| w as f64);
        state.work += (work - state.work) / state.offered.clamp(1.0, MEAN_WORK_SAMPLES);
        let scale = if work > 0.0 { 1.0 + WORK_HINT_WEIGHT * (work / state.work - 1.0) } else { 1.0 };
        let (expires, deadline) = (now + useful_for, now + left);
        let request =
            Request { class, arrived: now, not_before: now, expires, deadline, scale, ..Request::default() };
        self.requests.insert(id, request);
        self.bound_queue(now, actions);
    }

    /// Returns the part of a class's time that is for this tier and the tiers below it.
    fn tier_part(&self, span: Micros) -> Micros {
        let (tier, tiers) = (self.settings.tier as u64, self.settings.tiers as u64);
        span * (tiers - tier) / tiers
    }

    /// Limits the queued requests, and so memory: drops the oldest one of the class of lowest priority.
    fn bound_queue(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let window: f64 = self.pools.values().map(|p| p.window).sum();
        let rounds = (self.sweep_interval * SWEEPS_PER_TARGET) as f64 * QUEUED_TARGET_SHARE / self.pooled.p50;
        let rounds = if self.pooled.p50 > 0.0 { rounds.max(QUEUED_PER_ATTEMPT) } else { QUEUED_PER_ATTEMPT };
        let max = ((window * rounds) as usize).max(MIN_QUEUE_CAPACITY);
        if self.classes.iter().map(|c| c.queued.len()).sum::<usize>() > max {
            let order = self.class_order();
            let id = order.iter().rev().find_map(|&c| self.classes[c].queued.pop_front());
            if let Some(id) = id {
                self.finish_unserved(now, id, actions);
            }
        }
    }

    /// Ends a request without service: refuses it if that is safe and a retry may still help, else fails it.
    fn finish_unserved(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.remove(id) else { return };
        let class = &self.settings.classes[request.class];
        let repeatable = matches!(class.effect, Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. });
        let may_refuse = request.first_ran.is_none() || repeatable;
        let still_useful = now as f64 + self.classes[request.class].latency.p50 < request.expires as f64;
        actions.push(if may_refuse && still_useful {
            Action::Refuse { request: id, retry_after: 0 }
        } else {
            Action::Fail { request: id }
        });
    }

    /// Returns the latency percentiles of the class, or else of all classes, if there are enough samples.
    fn percentiles(&self, class: ClassId) -> Option<&Percentiles> {
        [&self.classes[class].latency, &self.pooled].into_iter().find(|p| p.total >= MIN_P50_SAMPLES)
    }

    /// Returns true if too little time is left for an attempt to finish.
    fn too_late(&self, now: Micros, request: &Request) -> bool {
        let left = request.expires.saturating_sub(now) as f64;
        let target = self.tier_part(self.settings.classes[request.class].latency_target) as f64;
        let p50 = self.percentiles(request.class).map_or(0.0, |p| p.p50);
        // Prevents a late final answer if sweeps are further apart than the grace time for answers.
        let last_sweep = now + self.sweep_interval >= request.deadline;
        last_sweep || left <= 0.0 || left < p50.min(target * REQUIRED_TARGET_SHARE) * request.scale
    }

    /// Returns the classes by value per work, highest first, with a bonus for the worst-served class.
    fn class_order(&mut self) -> Vec<ClassId> {
        let ratio = |c: &ClassState| if c.offered > 0.0 { c.served / c.offered } else { 1.0 };
        let value = |i: usize| self.settings.classes[i].value;
        let total: f64 = self.classes.iter().enumerate().map(|(i, c)| value(i) * c.offered).sum();
        let worst = self.classes.iter().map(ratio).fold(1.0, f64::min);
        let goal = &self.settings.goal;
        let priority = |i: usize| {
            let c = &self.classes[i];
            let own = value(i) * c.offered;
            let bonus = if ratio(c) <= worst && own > 0.0 { goal.worst_class * total / own } else { 0.0 };
            let equal_work = self.settings.value_per_work || c.latency.total < MIN_P50_SAMPLES;
            let work = if equal_work { 1.0 } else { c.latency.p50 };
            value(i) * (goal.overall + goal.worst_window + bonus) / work
        };
        let mut order: Vec<ClassId> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| priority(b).total_cmp(&priority(a)));
        self.priority_class = match order[..] {
            [first, second, ..] if priority(first) > PRIORITY_VALUE_RATIO * priority(second) => Some(first),
            _ => None,
        };
        order
    }

    /// Sends waiting retries and queued requests as far as servers have room.
    fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let retries = std::mem::take(&mut self.retries);
        for id in retries {
            let Some(request) = self.requests.get(&id) else { continue };
            if self.too_late(now, request) || self.dedup_expired(now, request) {
                self.finish_unserved(now, id, actions);
            } else if request.not_before > now {
                self.retries.push(id);
            } else if let Some(at) = self.pick(now, id) {
                self.send(now, id, at, actions);
            } else {
                self.retries.push(id);
            }
        }
        if self.classes.iter().all(|c| c.queued.is_empty()) {
            return;
        }
        let order = self.class_order();
        while order.iter().any(|&class| self.dispatch_one(now, class, actions)) {}
    }

    /// Sends or drops one queued request of the class: the newest possible, since it has the most time left.
    fn dispatch_one(&mut self, now: Micros, class: ClassId, actions: &mut Vec<Action>) -> bool {
        let queued = &self.classes[class].queued;
        let may_leave = |id: &RequestId| self.requests.get(id).is_none_or(|r| self.may_leave_zone(now, r));
        for end in [queued.len(), queued.partition_point(may_leave)] {
            let Some(&id) = end.checked_sub(1).and_then(|at| self.classes[class].queued.get(at)) else {
                continue;
            };
            let too_late = self.requests.get(&id).is_none_or(|r| self.too_late(now, r));
            let picked = if too_late { None } else { self.pick(now, id) };
            if !too_late && picked.is_none() {
                continue;
            }
            self.classes[class].queued.remove(end - 1);
            match picked {
                Some(at) => self.send(now, id, at, actions),
                None => self.finish_unserved(now, id, actions),
            }
            return true;
        }
        false
    }

    /// Returns true if a request has waited in its own zone long enough for the price of another zone.
    fn may_leave_zone(&self, now: Micros, request: &Request) -> bool {
        let p50 = self.percentiles(request.class).map_or(1.0, |p| p.p50);
        (now - request.arrived) as f64 >= self.settings.prices.cross_zone * p50
    }

    /// Returns true if a retry could run twice, as the servers may have forgotten the first attempt.
    fn dedup_expired(&self, now: Micros, request: &Request) -> bool {
        match (self.settings.classes[request.class].effect, request.first_ran) {
            (_, None) | (Effect::Safe, _) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, .. }, Some((at, ..))) => now + self.settings.tick >= at + window,
        }
    }

    fn in_group(effect: Effect, request: &Request, entry: &ServerEntry) -> bool {
        match (effect, request.first_ran) {
            (Effect::Keyed { group: DedupGroup::Zone, .. }, Some((_, zone, _))) => entry.zone == zone,
            (Effect::Keyed { group: DedupGroup::Cell, .. }, Some((_, _, cell))) => entry.cell == cell,
            _ => true,
        }
    }

    /// Picks the ready server with the fewest own calls in flight per capacity; own zone first.
    fn pick(&mut self, now: Micros, id: RequestId) -> Option<usize> {
        let may_leave = self.may_leave_zone(now, &self.requests[&id]);
        let Balancer { requests, settings, servers, pools, rng, priority_class, all_cold, .. } = self;
        let request = &requests[&id];
        let effect = settings.classes[request.class].effect;
        let ratio = if *priority_class == Some(request.class) && !*all_cold { PRIORITY_WINDOW } else { 1.0 };
        let mut best: Option<(f64, usize)> = None;
        for remote in [false, true] {
            if remote && (best.is_some() || !may_leave) {
                break;
            }
            for pool in pools.iter().filter(|(zone, _)| remote == (**zone != settings.zone)).map(|(_, p)| p) {
                let abandoned = if settings.tier == 0 { pool.abandoned } else { 0.0 };
                let occupied = pool.in_flight as f64 + pool.peer_in_flight + abandoned;
                let max = (pool.reachable_window() * ratio).max(1.0);
                // Prevents many balancers from each rounding up its part of servers that are all cold.
                let full = if *all_cold { occupied.floor() + 1.0 > max } else { occupied >= max };
                if full || (now < pool.resume_at && ratio == 1.0) {
                    continue;
                }
                let (preferred, all) = (pool.preferred, pool.servers as usize);
                let offset = if preferred > MAX_RANKED_SERVERS { rng.usize(..preferred) } else { 0 };
                let mut ranked = 0;
                for step in 0..all {
                    // Avoids ranking the whole fleet for each call: the others have a penalty anyway.
                    let enough = step >= preferred && best.is_some_and(|(s, _)| s < NON_PREFERRED_PENALTY);
                    if enough || ranked == MAX_RANKED_SERVERS {
                        break;
                    }
                    let step = if step < preferred { (offset + step) % preferred } else { step };
                    let at = pool.start + (pool.preferred_start + step) % all;
                    let server = &mut servers[at];
                    if now < server.not_before {
                        server.cold_skips += u64::from(server.cold_since.is_some());
                        continue;
                    }
                    let entry = &server.entry;
                    let usable = entry.state == ServerState::Ready && Self::in_group(effect, request, entry);
                    let admitted = if usable { server.admits(request.class, now) } else { None };
                    let Some(trial) = admitted else { continue };
                    ranked += 1;
                    let capacity = entry.weight * server.capacity(now, &settings.rules);
                    let penalty = if request.last_server == Some(entry.id) { 2.0 } else { 1.0 };
                    let jitter = rng.f64() + if step < preferred { 0.0 } else { NON_PREFERRED_PENALTY };
                    let score = (server.in_flight as f64 + jitter) * penalty / capacity;
                    let score = if trial { -1.0 } else { score };
                    if best.is_none_or(|(s, _)| score < s) {
                        best = Some((score, at));
                    }
                }
            }
        }
        best.map(|(_, at)| at)
    }

    fn send(&mut self, now: Micros, id: RequestId, at: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.attempts == 0 {
            let windows: f64 = self.pools.values().map(|p| p.window).sum();
            let max = (windows.max(MIN_RETRY_BUDGET_CAP) - f64::from(self.reserved_retries)).max(0.0);
            self.retry_budget = (self.retry_budget + RETRY_BUDGET_RATIO).min(max);
        }
        let may_retry = !request.retried && self.settings.classes[request.class].is_repeatable();
        if may_retry && !request.retry_reserved && self.retry_budget >= 1.0 {
            self.retry_budget -= 1.0;
            self.reserved_retries += 1;
            request.retry_reserved = true;
        }
        let (limit, class) = (self.attempt_limit(now, &self.requests[&id]), self.requests[&id].class);
        // Lets attempts that are limited only by the remaining time count against unresponsive servers.
        let server_limit = self
            .percentiles(class)
            .map_or(limit, |p| (p.p50 * self.requests[&id].scale * SERVER_TIMEOUT_P50S) as Micros);
        self.delay_cold(now, at, false);
        let server = &mut self.servers[at];
        let pool = self.pools.entry(server.entry.zone).or_default();
        pool.in_flight += 1;
        server.in_flight += 1;
        for breaker in [0, class + 1] {
            let state = &mut server.breakers[breaker].state;
            *state = if *state == Circuit::Closed { Circuit::Closed } else { Circuit::HalfOpen };
        }
        let idle_for = server.idle_since.pop().map_or(0, |since| now - since) / MIN_LATENCY_US as Micros;
        let mut bucket = idle_for.checked_ilog2().unwrap_or(0) as usize;
        // Avoids connections that a middlebox may have dropped silently.
        let unsafe_on_stale = !self.settings.classes[class].is_repeatable()
            && self.idle_failures[1][bucket] > MAX_IDLE_RESET_SHARE;
        if self.idle_failures[0][bucket] > MAX_IDLE_FAILURE_SHARE || unsafe_on_stale {
            actions.push(Action::CloseIdle { server: server.entry.id });
            server.idle_since.clear();
            bucket = 0;
        }
        let ServerEntry { id: server, zone, cell, .. } = server.entry;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts += 1;
        request.last_server = Some(server);
        let own_limit = now + limit.min(server_limit) < request.deadline;
        request.attempt = Some(Attempt { sent_at: now, zone, cell, own_limit, idle_bucket: bucket });
        actions.push(Action::Send { request: id, server, limit });
    }

    /// Returns an attempt's time limit: P99 for the first, with time for a retry; P50 for the retry.
    fn attempt_limit(&self, now: Micros, request: &Request) -> Micros {
        let left = (request.expires - now) as f64;
        // Only the class's own percentiles: those of faster classes would cut off its first attempts.
        let p = &self.classes[request.class].latency;
        if p.total < MIN_P50_SAMPLES {
            return left as Micros;
        }
        let limit = if request.retried {
            p.p50 * request.scale
        } else if !self.settings.classes[request.class].is_repeatable() {
            p.p99 * request.scale * UNREPEATABLE_LIMIT_P99S
        } else {
            let reserve = p.p50 * request.scale * (1.0 + RETRY_BACKOFF_P50S);
            let first_limit =
                if left - reserve > p.p50 * request.scale * MIN_FIRST_P50S { left - reserve } else { left };
            (p.p99 * request.scale).min(first_limit)
        };
        // Prevents failures with time left: only an attempt with a reserved retry may be cut short.
        let limit = if !request.retry_reserved { limit.max(left * MIN_LAST_LIMIT_SHARE) } else { limit };
        limit.min(left).max(1.0) as Micros
    }

    fn attempt_ended(&mut self, now: Micros, id: RequestId, ended: &Ended, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id);
        let (class, attempt) = request.map_or((None, None), |r| (Some((r.class, r.scale)), r.attempt.take()));
        let own_limit = attempt.as_ref().is_some_and(|a| a.own_limit);
        let late = class.and_then(|(c, scale)| self.record_latency(c, scale, ended));
        if let Some(bucket) = attempt.as_ref().map(|a| a.idle_bucket).filter(|bucket| *bucket > 0) {
            // Only an early reset means a dead connection: a later one may be a broken answer.
            let immediate = ended.latency as f64 <= STALE_RESET_P50S * self.pooled.p50;
            let broken = ended.outcome == Outcome::Reset && immediate;
            for (shares, failed) in
                self.idle_failures.iter_mut().zip([broken || ended.outcome == Outcome::TimedOut, broken])
            {
                // A failure raises longer idle times to at most this share, a success lowers shorter ones.
                if failed {
                    shares[bucket] += IDLE_FAILURE_GAIN * (1.0 - shares[bucket]);
                    let share = shares[bucket];
                    shares[bucket..].iter_mut().for_each(|s| *s = s.max(share));
                } else {
                    shares[..=bucket].iter_mut().for_each(|s| *s -= IDLE_FAILURE_GAIN * *s);
                }
            }
        }
        self.apply_end(now, class.map(|(c, _)| c), ended, own_limit, late);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if ended.closed {
            self.classes[request.class].served += f64::from(u8::from(ended.outcome == Outcome::Ok));
            self.remove(id);
            return;
        }
        if let Some(a) = attempt.filter(|_| !ended.outcome.never_ran()) {
            request.first_ran = request.first_ran.or(Some((a.sent_at, a.zone, a.cell)));
        }
        self.retry_or_finish(now, id, ended.outcome, actions);
    }

    /// Retries once after a timeout, error or reset, within the budget; resends what never ran.
    fn retry_or_finish(&mut self, now: Micros, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let p50 = self.percentiles(self.requests[&id].class).map_or(0.0, |p| p.p50);
        let wait = (p50 * RETRY_BACKOFF_P50S * (0.5 + self.rng.f64())) as Micros;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempts_left = request.attempts < self.settings.limits.max_attempts;
        let may_retry = if outcome.never_ran() {
            attempts_left
        } else {
            let repeatable = self.settings.classes[request.class].is_repeatable();
            let in_budget = request.retry_reserved || self.retry_budget >= 1.0;
            let may_retry = attempts_left && !request.retried && repeatable && in_budget;
            if may_retry {
                self.reserved_retries -= u32::from(request.retry_reserved);
                self.retry_budget -= f64::from(u8::from(!request.retry_reserved));
                (request.retried, request.retry_reserved) = (true, false);
            }
            may_retry
        };
        if may_retry {
            let wait = wait.max(self.settings.tick);
            request.not_before = now + wait;
            self.retries.push(id);
            // Prevents a retry from waiting for the next sweep if no other event occurs.
            actions.push(Action::Timer { delay: wait, token: RETRY_TOKEN });
        } else {
            self.finish_unserved(now, id, actions);
        }
    }

    /// Returns true for a far slower answer; learns latencies anew after a run of far slower or faster ones.
    /// Queues of initial windows lengthen calls by about their depth; far longer calls mean a slower service.
    fn detect_shift(&mut self, class: ClassId, scale: f64, ended: &Ended) -> bool {
        let initial =
            |(z, p): (&ZoneId, &Pool)| fair_window(&self.settings, *z, p.servers, TIER_ALLOWANCE).max(2.0);
        let narrow = self.pools.iter().all(|zp| zp.1.window <= MAX_SHIFT_WINDOW_RATIO * initial(zp));
        let state = &mut self.classes[class];
        let (latency, ratio) = (ended.latency as f64 / scale, SHIFT_WINDOW_DEPTHS * INITIAL_WINDOW);
        let known = state.min_p50 > 0.0 && ended.outcome == Outcome::Ok;
        let slower = known && narrow && latency > ratio * state.min_p50;
        let faster = known && latency < state.latency.p50 / ratio;
        let (run, last_server) = state.shift_run;
        state.shift_run = match (slower, faster) {
            (false, false) if ended.outcome != Outcome::Ok => (run, last_server),
            _ if run != 0 && last_server == ended.server && self.servers.len() > 1 => (run, last_server),
            (true, _) => (run.max(0) + 1, ended.server),
            (_, true) => (run.min(0) - 1, ended.server),
            _ => (0, last_server),
        };
        if f64::from(state.shift_run.0.abs()) >= MIN_KEPT_SAMPLES {
            (state.shift_run.0, state.min_p50) = (0, latency);
            state.latency = Percentiles { faded_at: state.latency.faded_at, ..Percentiles::default() };
        }
        slower
    }

    /// Records an attempt's latency. Returns its lateness: 1 late, 0 in time, -1 fast, `None` for unknown.
    fn record_latency(&mut self, class: ClassId, scale: f64, ended: &Ended) -> Option<f64> {
        let outcome = ended.outcome;
        let slower = self.detect_shift(class, scale, ended);
        let min_p50 = self.classes[class].min_p50;
        // Only latency above the lowest P50 is queueing: calls with tiers below are long without any.
        let target = self.tier_part(self.settings.classes[class].latency_target) as f64;
        let congested = if min_p50 > 0.0 { CONGESTION_P50_RATIO * min_p50 * scale } else { f64::INFINITY };
        let congested = if slower { f64::INFINITY } else { congested.max(MIN_CONGESTION_SHARE * target) };
        let unqueued = (min_p50 * scale).min(target);
        let max_latency = unqueued + MAX_QUEUEING_SHARE * (target - unqueued);
        let latency = ended.latency as f64;
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let timed_out = outcome == Outcome::TimedOut;
            self.classes[class].latency.record(latency / scale, timed_out);
            self.pooled.record(latency / scale, timed_out);
        }
        match outcome {
            // Prevents a spiral: an attempt cut short after a long wait in the queue says nothing about load.
            Outcome::TimedOut | Outcome::Error if latency <= max_latency.min(congested) => None,
            Outcome::Full => Some(1.0),
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > max_latency => Some(1.0),
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > congested => Some(2.0 * LATE_SHARE),
            Outcome::Ok if latency < FAST_SHARE * target => Some(-1.0),
            Outcome::Ok => Some(0.0),
            _ => None,
        }
    }

    /// Updates the server's counters and breakers and its pool's window after an attempt. `own`: a limit of
    /// its own ended the attempt, not the request's deadline. `late`: its lateness, see `record_latency`.
    fn apply_end(&mut self, now: Micros, class: Option<ClassId>, end: &Ended, own: bool, late: Option<f64>) {
        let outcome = end.outcome;
        let Some(&index) = self.indices.get(&end.server) else { return };
        let typical = self.typical_latency();
        let server = &mut self.servers[index];
        let pool = self.pools.entry(server.entry.zone).or_default();
        let in_use = pool.in_flight as f64 + pool.peer_in_flight >= 0.7 * pool.window;
        if server.in_flight > 0 {
            server.in_flight -= 1;
            pool.in_flight = pool.in_flight.saturating_sub(1);
        }
        let was = std::mem::replace(&mut server.unreachable, outcome == Outcome::ConnectFailed);
        pool.unreachable = (pool.unreachable + u32::from(server.unreachable)).saturating_sub(u32::from(was));
        if let Some(late) = late {
            // Prevents some balancers from holding all capacity: a window below the fair one grows faster.
            let fair = fair_window(&self.settings, server.entry.zone, pool.servers, TIER_ALLOWANCE);
            let bias = (fair / pool.window).clamp(1.0 / MAX_WINDOW_BIAS, MAX_WINDOW_BIAS);
            let step = if late > 0.0 || in_use { LATE_SHARE * bias - late } else { 0.0 };
            // Prevents many balancers from overloading a server: a window below 1 changes in proportion.
            let gain = WINDOW_GAIN * pool.window.min(1.0);
            pool.window = (pool.window + gain * step).max(MIN_WINDOW);
        }
        let window = pool.reachable_window();
        if window < 1.0 && (late.is_some() || server.unreachable) {
            let span = if server.unreachable { typical } else { end.latency as f64 };
            let pause = span * (1.0 / window - 1.0);
            pool.resume_at = now.saturating_add((pause * (0.5 + self.rng.f64())) as Micros);
        }
        if outcome == Outcome::Full {
            // A server that rejects all calls at once would look idle. Keeps a longer delay of a cold server.
            let pause_end = now + (self.pooled.p50 * REJECTION_PAUSE_P50S * (0.5 + self.rng.f64())) as Micros;
            server.not_before = server.not_before.max(pause_end);
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            server.idle_since.push(now);
            pool.served += f64::from(u8::from(server.capacity(now, &self.settings.rules) >= 1.0));
        } else if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            pool.abandoned += 1.0;
        }
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => true,
            // A timeout counts only if the attempt had enough time: one cut short by queueing says little.
            Outcome::TimedOut if own && late.is_some() => true,
            _ => {
                for breaker in server.breakers.iter_mut().filter(|b| b.state == Circuit::HalfOpen) {
                    breaker.state = Circuit::Open { until: now };
                }
                return;
            }
        };
        self.failure_rate += 0.02 * (f64::from(u8::from(failed)) - self.failure_rate);
        // Prevents a lost zone from receiving every call in turn, and the whole queue once it is back. Its
        // servers fail independently of the others, and may be most of the fleet.
        let unreached = outcome == Outcome::ConnectFailed;
        let (max, rate) =
            if unreached { (MAX_OFFLINE_SHARE, MAX_CHANCE) } else { (MAX_EJECTED_SHARE, self.failure_rate) };
        let needed = (MAX_CHANCE.ln() / rate.clamp(0.01, 0.5).ln()).max(2.0);
        let breakers = [Some(0), class.map(|c| c + 1)].into_iter().flatten();
        let at_limit = |at: usize| failed && server.breakers[at].failures as f64 + 1.0 >= needed;
        let may_eject = server.is_ejected()
            || breakers.clone().any(at_limit) && {
                let ejected = self.servers.iter().filter(|s| s.is_ejected()).count();
                (ejected as f64) < max * self.servers.len() as f64
            };
        let server = &mut self.servers[index];
        for at in breakers {
            let breaker = &mut server.breakers[at];
            if !failed {
                *breaker = Breaker::default();
                continue;
            }
            breaker.failures += 1;
            if breaker.state == Circuit::HalfOpen || (breaker.failures as f64 >= needed && may_eject) {
                let until = now + (self.half_life * OPEN_DEADLINES * (0.75 + 0.5 * self.rng.f64())) as Micros;
                breaker.state = Circuit::Open { until };
                // The server fails all calls: a class's own breaker opens only if other classes are served.
                break;
            }
        }
    }

    fn schedule_watch(&mut self, span: f64, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { delay: (span * self.rng.f64()) as Micros, token: WATCH_TOKEN });
    }

    fn listed(&mut self, now: Micros, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.schedule_watch(self.settings.rules.discovery_interval as f64 * WATCH_RETRY_SHARE, actions);
            return;
        }
        let gone = entries.iter().filter(|e| e.state == ServerState::Gone).map(|e| e.id);
        let (gone, listed): (HashSet<_>, HashSet<_>) =
            (gone.collect(), entries.iter().map(|e| e.id).collect());
        let stays = |id: &ServerId| !gone.contains(id) && (kind == ListKind::Changes || listed.contains(id));
        let mut moved = kind != ListKind::Changes || gone.iter().any(|id| self.indices.contains_key(id));
        for entry in entries.into_iter().filter(|e| e.state != ServerState::Gone) {
            moved |= self.upsert_server(now, entry);
        }
        if moved {
            self.servers.retain(|s| stays(&s.entry.id));
            self.rebuild_pools(now);
        } else {
            self.update_cold_state(now);
        }
    }

    /// Adds or replaces a server. Returns true if it is new, restarted or moved.
    fn upsert_server(&mut self, now: Micros, mut entry: ServerEntry) -> bool {
        entry.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        let known = self.indices.get(&entry.id).copied();
        if let Some(server) =
            known.map(|index| &mut self.servers[index]).filter(|s| s.entry.started_at == entry.started_at)
        {
            let moved = (server.entry.zone, server.entry.ring_hash) != (entry.zone, entry.ring_hash);
            server.entry = entry;
            return moved;
        }
        // Guards against wrong clocks: a start is not in the future nor before the previous process.
        let listed = known.map_or(0, |index| self.servers[index].first_listed);
        let outdated = |at: Micros| at < listed && now - at >= self.settings.rules.warm_up_time;
        let cold_since = entry.started_at.map(|at| if outdated(at) { now } else { at.min(now) });
        let breakers = vec![Breaker::default(); self.classes.len() + 1];
        let mut server = Server { entry, breakers, first_listed: now, cold_since, ..Server::default() };
        let index = known.unwrap_or(self.servers.len());
        match known {
            // The server has restarted; attempts in flight to it still count.
            Some(index) => {
                server.in_flight = self.servers[index].in_flight;
                self.servers[index] = server;
            }
            None => {
                self.indices.insert(server.entry.id, self.servers.len());
                self.servers.push(server);
            }
        }
        self.delay_cold(now, index, true);
        true
    }

    fn rebuild_pools(&mut self, now: Micros) {
        self.pools.values_mut().for_each(|p| (p.servers, p.in_flight, p.unreachable) = (0, 0, 0));
        for s in &self.servers {
            let pool = self.pools.entry(s.entry.zone).or_default();
            pool.servers += 1;
            pool.unreachable += u32::from(s.unreachable);
            pool.in_flight += s.in_flight;
        }
        self.pools.retain(|_, p| p.servers > 0);
        self.choose_preferred();
        self.update_cold_state(now);
        for (&zone, pool) in &mut self.pools {
            // A window learned with many servers would overload the few that remain. New ones add their part.
            let kept = f64::from(pool.servers) / f64::from(pool.sized.max(1));
            let added =
                fair_window(&self.settings, zone, pool.servers.saturating_sub(pool.sized), FIRST_ALLOWANCE);
            pool.window = (pool.window * kept.min(1.0) + added).max(MIN_WINDOW);
            pool.sized = pool.servers;
        }
    }

    /// Returns the time between this balancer's calls to a warm server of a zone, by the rate of the zone or
    /// of all zones, whichever is higher, and at least that of one call at a time from all balancers.
    fn interval(&self, zone: ZoneId) -> f64 {
        let warm = || self.pools.iter().filter(|(_, p)| p.warm > 0);
        let span = self.observed.max(self.settings.rules.overload_time as f64);
        let rate = |served: f64, servers: u32| served / span / f64::from(servers.max(1));
        let (sum, servers) = warm().fold((0.0, 0), |(sum, n), (_, p)| (sum + p.served, n + p.warm));
        let in_zone = warm().find(|(z, _)| **z == zone).map_or(0.0, |(_, p)| rate(p.served, p.warm));
        let part = balancer_part(&self.settings, zone, 1);
        let everywhere = rate(sum, servers) * part * self.settings.balancers as f64;
        1.0 / in_zone.max(everywhere).max(part / self.typical_latency())
    }

    /// Returns the typical latency of a call, or an assumed one while too few samples are known.
    fn typical_latency(&self) -> f64 {
        let min = self.settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(0);
        let known = self.pooled.total >= MIN_P50_SAMPLES;
        if known { self.pooled.p50 } else { FAST_SHARE * self.tier_part(min).max(self.settings.tick) as f64 }
    }

    /// Delays the next call to a cold server by about one interval. First delays are parts of the interval
    /// that differ between balancers, so that their calls do not coincide.
    fn delay_cold(&mut self, now: Micros, at: usize, first: bool) {
        let Server { entry, cold_since, .. } = &self.servers[at];
        let capacity = self.servers[at].capacity(now, &self.settings.rules);
        if capacity < 1.0 && !self.all_cold {
            let warm = cold_since.unwrap_or(0).saturating_add(self.settings.rules.warm_up_time);
            let phase = f64::from(self.settings.balancer_index) * GOLDEN_RATIO
                + entry.ring_hash as f64 / u64::MAX as f64;
            let spans = if first { phase.fract() } else { 0.9 + 0.2 * self.rng.f64() };
            let wait = self.interval(entry.zone) / capacity * spans;
            self.servers[at].not_before = now.saturating_add(wait as Micros).min(warm);
        }
    }

    /// Returns the cold servers, with the present share of their capacity and how often each was skipped.
    pub fn cold_servers(&self, now: Micros) -> Vec<(ServerId, f64, u64)> {
        let report = |s: &Server| (s.entry.id, s.capacity(now, &self.settings.rules), s.cold_skips);
        self.servers.iter().map(report).filter(|(_, share, _)| *share < 1.0).collect()
    }

    /// Returns why a cold server may get a call: its capacity share, the microseconds between calls to a warm
    /// server, the number of warm servers and the window of its zone, and whether all servers are cold.
    pub fn cold_admission_factors(&self, now: Micros, id: ServerId) -> Option<(f64, f64, u32, f64, bool)> {
        let server = &self.servers[*self.indices.get(&id)?];
        let (share, pool) = (server.capacity(now, &self.settings.rules), self.pools.get(&server.entry.zone)?);
        Some((share, self.interval(server.entry.zone), pool.warm, pool.window.min(pool.cap), self.all_cold))
    }

    /// Counts warm servers. Cold servers get calls at intervals derived from warm ones. If no server is warm,
    /// the cold share of the initial window protects them, and balancers start on a pool at random times.
    fn update_cold_state(&mut self, now: Micros) {
        let Settings { rules, .. } = &self.settings;
        let mut shares: BTreeMap<ZoneId, f64> = BTreeMap::new();
        self.pools.values_mut().for_each(|p| p.warm = 0);
        for s in self.servers.iter().filter(|s| s.entry.state == ServerState::Ready) {
            let share = s.capacity(now, rules);
            *shares.entry(s.entry.zone).or_default() += share;
            self.pools.entry(s.entry.zone).or_default().warm += u32::from(share >= 1.0);
        }
        let cold = !self.servers.is_empty() && self.pools.values().all(|p| p.warm == 0);
        let changed = std::mem::replace(&mut self.all_cold, cold) != cold;
        let typical = self.typical_latency();
        for (&zone, pool) in &mut self.pools {
            let fair = |servers, behind| fair_window(&self.settings, zone, servers, behind);
            let share = shares.get(&zone).map_or(1.0, |sum| sum / f64::from(pool.servers.max(1)));
            let cap = fair(pool.servers, FIRST_ALLOWANCE) * (rules.overload_factor * share).min(1.0);
            pool.cap = if cold { cap } else { f64::INFINITY };
            if changed || cold && pool.window == 0.0 {
                let max = if cold { fair(pool.servers, TIER_ALLOWANCE).max(2.0) } else { f64::INFINITY };
                pool.window = pool.window.min(max);
                let span = typical / share * (1.0 / pool.cap - 1.0).max(0.0);
                pool.resume_at = now + (span * self.rng.f64()).min(rules.warm_up_time as f64) as Micros;
            }
        }
        for at in (0..self.servers.len()).filter(|_| changed) {
            self.servers[at].not_before *= Micros::from(!cold);
            self.delay_cold(now, at, true);
        }
    }

    /// Chooses the preferred servers of each zone: a range of the ring, adjacent for adjacent balancers.
    fn choose_preferred(&mut self) {
        self.servers.sort_by_key(|s| (s.entry.zone, s.entry.ring_hash, s.entry.id));
        self.indices = self.servers.iter().enumerate().map(|(at, s)| (s.entry.id, at)).collect();
        let (index, balancers) = (self.settings.balancer_index as usize, self.settings.balancers as usize);
        let mut start = 0;
        for (&zone, pool) in &mut self.pools {
            let n = pool.servers as usize;
            let factor = if zone == self.settings.zone { self.settings.zones as f64 } else { 1.0 };
            let count = (BALANCERS_PER_SERVER * n as f64 * factor / balancers as f64).ceil() as usize;
            (pool.start, pool.preferred_start, pool.preferred) = (start, index * n / balancers, count.min(n));
            start += n;
        }
    }

    /// Drops queued requests that cannot finish in time; the caller dispatches the rest.
    fn sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.sweeping = false;
        for class in 0..self.classes.len() {
            let ids = std::mem::take(&mut self.classes[class].queued);
            let (expired, rest): (VecDeque<_>, VecDeque<_>) =
                ids.into_iter().partition(|id| self.requests.get(id).is_none_or(|r| self.too_late(now, r)));
            self.classes[class].queued = rest;
            for id in expired {
                self.finish_unserved(now, id, actions);
            }
        }
    }

    fn housekeep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let span = (now - self.housekept_at) as f64;
        self.housekept_at = now;
        let kept = 0.5_f64.powf(span / self.half_life);
        for c in &mut self.classes {
            c.latency.fade(now, self.half_life);
            c.min_p50 *= MIN_P50_GROWTH.powf(span / self.half_life);
            if c.latency.total >= MIN_KEPT_SAMPLES && (c.min_p50 == 0.0 || c.latency.p50 < c.min_p50) {
                c.min_p50 = c.latency.p50;
            }
            c.offered *= kept;
            c.served *= kept;
        }
        self.pooled.fade(now, self.half_life);
        self.idle_failures.iter_mut().flatten().for_each(|s| *s *= kept);
        let fade =
            if self.pooled.p50 > 0.0 { 0.5_f64.powf(span / (ABANDON_P50S * self.pooled.p50)) } else { kept };
        self.pools.values_mut().for_each(|p| (p.abandoned, p.served) = (p.abandoned * fade, p.served * kept));
        self.observed = self.observed * kept + self.half_life * std::f64::consts::LOG2_E * (1.0 - kept);
        self.update_cold_state(now);
        let delay = (self.half_life as Micros / HOUSEKEEPING_PER_DEADLINE).max(1);
        actions.push(Action::Timer { delay, token: HOUSEKEEPING_TOKEN });
    }
}
