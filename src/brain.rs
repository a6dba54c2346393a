//! Every decision of the balancer. Its settings, events and actions are in `api.rs`.
//!
//! One mechanism decides the ordinary path: an attempt is bounded by learned percentiles and the time left,
//! what cannot finish is not sent, own time-outs trip a breaker, the ready server with fewest own calls wins.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use crate::api::*;

// Named constants: ratios of learned values or of settings.
/// Histogram buckets to a doubling: a percentile is then right to within a tenth.
const PER_OCTAVE: f64 = 8.0;
/// Buckets in all: 22 doublings above `FLOOR`, more than any deadline.
const BUCKETS: usize = 176;
/// Lower edge of the first bucket, far below any call that crosses a network.
const FLOOR: f64 = 64.0;
/// Requests that the mean of their hinted work is taken over.
const MEAN_OVER: f64 = 32.0;
/// Part of a latency that goes with the hinted work; the rest is waiting, which small requests do as well.
const HINT_TRUST: f64 = 0.6;
/// With fewer (faded) samples not even P50 is known.
const MIN_SAMPLES: f64 = 6.0;
/// Samples that do not fade: with a request a second there would be none.
const KEPT_SAMPLES: f64 = 20.0;
/// With fewer, P99 is not: one in a hundred cannot be told from less than a hundred; time left alone bounds.
const TAIL_SAMPLES: f64 = 100.0;
/// Factor by which P99 is widened for each time-out above the 1% that a P99 allows.
const WIDEN: f64 = 1.15;
/// Widest that P99 becomes.
const WIDEST: f64 = 8.0;
/// An attempt is sent while this share of its class's aim is left, whatever the learned P50.
const ALWAYS_SENT: f64 = 0.5;
/// Places of attempts given up fade by half in this many P50: a slow spell's P99 would fill the window.
const LINGER: f64 = 2.0;
/// Wait before a retry, in P50: short beside the call, long enough to spread.
const BACKOFF: f64 = 0.1;
/// Room for a retry is kept only where the first attempt still gets this many P50: a heavy one needs them.
const RETRY_ROOM: f64 = 5.0;
/// Attempts that no retry may follow get this many P99: a time-out gains a place and loses the request.
const UNREPEATED: f64 = 3.0;
/// An attempt that nothing may follow gets this part of the time left at the least: a time-out saves little.
const LAST_SHARE: f64 = 0.1;
/// An attempt that ran out after this many P50 counts against its server, whatever bound it.
const PATIENCE: f64 = 12.0;
/// Retries that one first attempt pays for.
const RETRY_SHARE: f64 = 0.1;
/// Retries that may be saved up, or as many as the windows: a hiccup cuts all that is out.
const RETRY_SAVINGS: f64 = 5.0;
/// An answer that took more than this share of the time in which it is useful waited too long in queues.
const QUEUE_TARGET: f64 = 0.7;
/// Share of answers that may come later than the queueing target before the window shrinks.
const LATE_SHARE: f64 = 0.25;
/// The window shrinks too when half of the answers took more than this many of the lowest P50 seen lately.
const CROWDED: f64 = 1.25;
/// ... but only from this share of the aim on: a fast service's P50 doubles for reasons that are no queue.
const CROWDED_FROM: f64 = 0.02;
/// Growth of that lowest P50 within a half-life, so that it follows a fleet that has changed.
const BASE_RISE: f64 = 1.05;
/// A class is learned anew when answers take this many times the depth of first windows longer or shorter.
const SLOWER: f64 = 4.0;
/// ... while no window is wider than this many first ones.
const MODEST: f64 = 2.0;
/// An answer within this share of the aim that shows no queue lets a full window grow by so much more.
/// Calls are taken for such until known.
const ROOMY: f64 = 0.1;
/// Change of the window for one answer.
const WINDOW_GAIN: f64 = 0.5;
/// First window, in attempts to a server of the balancer's share of the fleet.
const FIRST_WINDOW: f64 = 4.0;
/// Allowance for each tier behind, as a part of that; in first windows, before answers tell of queues.
const BEHIND: f64 = 0.75;
const FIRST_BEHIND: f64 = 0.25;
/// Most by which a window's growth is raised or lowered, as it lies under or over that first window.
const MOST_PULL: f64 = 3.0;
/// The window's floor, in attempts in all: a part of one is one with pauses.
const LEAST_WINDOW: f64 = 0.05;
/// Balancers that prefer the same server: each meets its few often enough, and all are covered evenly.
const SHARED_BY: f64 = 4.0;
/// Calls in flight that a server outside the preferred ones seems to have more.
const OUTSIDE: f64 = 1.0;
/// Turns of balancers with neighbouring numbers, in spans: by the golden ratio any number lie evenly apart.
const APART: f64 = 0.618_033_988_749_895;
/// Servers of a zone that are ranked for a call: in larger zones a stretch of so many from a random place.
const RANKED: usize = 32;
/// A server is ejected when so many failures in a row would come by chance less often than this.
const CHANCE: f64 = 0.01;
/// Open time of a breaker, in longest deadlines.
const OPEN_FOR: f64 = 1.0;
/// Idle connections are closed before a call when this share of calls on such ones failed.
const MOST_STALE: f64 = 0.5;
/// The same for calls that may not be repeated and what broke at once: a new connection costs less than they.
const MOST_BROKEN: f64 = 0.1;
/// A connection that was dead breaks within this part of P50; what breaks later had reached the server.
const AT_ONCE: f64 = 0.1;
/// Weight of one more call in that share.
const STALE_GAIN: f64 = 0.25;
/// A server that turned a call away rests this many P50.
const REST: f64 = 2.0;
/// Share of the servers that may be ejected.
const MOST_EJECTED: f64 = 0.34;
/// The same where they cannot be reached.
const MOST_UNREACHED: f64 = 0.67;
/// Places of an express class, in windows: long calls of little worth would hold all of a balancer's few.
const EXPRESS: f64 = 2.0;
/// A class is express when it is worth this many times as much for its work as the next one.
const FAR_AHEAD: f64 = 2.0;
/// Requests held for each attempt that the window allows.
const HELD_FOR_WINDOW: f64 = 4.0;
/// ... or as many as the window serves within this share of the shortest aim, where that is more.
const HELD_FOR_AIM: f64 = 0.05;
/// Requests that may always be held.
const HELD_ALWAYS: usize = 16;
/// Looks at the held requests in the shortest aim.
const SWEEPS: u64 = 64;
/// Rounds of housekeeping in the longest deadline.
const HOUSEKEEPING: u64 = 16;
/// Discovery is first asked within this share of the span allowed for asking.
const ASK_SPREAD: f64 = 0.9;
/// ... but this share for each balancer is enough: a few must not wait for their first list as hundreds do.
const ASK_EACH: f64 = 0.0025;
/// Discovery is asked again within this share of that span after a failed call.
const ASK_AGAIN: f64 = 0.4;

const SWEEP: u64 = 1;
const HOUSEKEEP: u64 = 2;
const ASK: u64 = 3;
const RETRY: u64 = 4;

/// Percentiles of recent latencies: a histogram with buckets of equal ratio, whose samples fade with time.
#[derive(Clone)]
struct Percentiles {
    counts: Vec<f64>,
    total: f64,
    widen: f64,
    p50: f64,
    p99: f64,
    faded: Micros,
}

impl Default for Percentiles {
    fn default() -> Self {
        Percentiles { counts: vec![0.0; BUCKETS], total: 0.0, widen: 1.0, p50: 0.0, p99: 0.0, faded: 0 }
    }
}

impl Percentiles {
    fn fade(&mut self, now: Micros, half_life: f64) {
        let keep = 0.5_f64.powf((now - self.faded.min(now)) as f64 / half_life);
        // Prevents a balancer with little traffic from forgetting each answer before the next.
        let keep = keep.max(KEPT_SAMPLES / self.total.max(KEPT_SAMPLES));
        if keep < 0.95 {
            self.counts.iter_mut().for_each(|c| *c *= keep);
            self.total *= keep;
            self.faded = now;
        }
    }

    /// A time-out counts at its value; while they are over 1%, P99 is widened: cut-offs set it.
    fn record(&mut self, latency: f64, timed_out: bool) {
        let at = (PER_OCTAVE * (latency.max(FLOOR) / FLOOR).log2()) as usize;
        self.counts[at.min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
        let step = if timed_out { 1.0 } else { -0.01 };
        self.widen = (self.widen * WIDEN.powf(step)).clamp(1.0, WIDEST);
        self.settle();
    }

    fn settle(&mut self) {
        self.p50 = self.quantile(0.5);
        let tail = self.total >= TAIL_SAMPLES;
        // Its bucket's upper edge: within the bucket, a service that always takes the same would be cut off.
        let edge = (0.5 / PER_OCTAVE).exp2();
        self.p99 = if tail { self.quantile(0.99) * edge * self.widen } else { f64::INFINITY };
    }

    fn figures(&self) -> Vec<f64> {
        [&[self.widen], &self.counts[..]].concat()
    }

    /// What [`figures`](Percentiles::figures) told, as of now.
    fn resume(&mut self, now: Micros, figures: &[f64]) {
        let [widen, counts @ ..] = figures else { return };
        if counts.len() == BUCKETS && counts.iter().any(|c| *c > 0.0) {
            (self.widen, self.counts, self.faded) = (widen.clamp(1.0, WIDEST), counts.to_vec(), now);
            self.total = counts.iter().sum();
            self.settle();
        }
    }

    fn quantile(&self, q: f64) -> f64 {
        let mut left = q * self.total;
        let at = self.counts.iter().position(|c| {
            left -= c;
            left <= 0.0
        });
        FLOOR * ((at.unwrap_or(BUCKETS - 1) as f64 + 0.5) / PER_OCTAVE).exp2()
    }
}

#[derive(Clone, Copy, Default, PartialEq)]
enum State {
    #[default]
    Closed,
    Open {
        until: Micros,
    },
    HalfOpen,
}

/// Opens after failures in a row; open, it passes a trial at a time.
#[derive(Clone, Default)]
struct Breaker {
    state: State,
    failures: u32,
}

#[derive(Default)]
struct Server {
    entry: ServerEntry,
    in_flight: u32,
    /// The last attempt could not connect.
    unreached: bool,
    /// That of all classes together, then one for each class: a server may fail one and serve the rest.
    breakers: Vec<Breaker>,
    /// The next attempt goes no earlier: it is cold or turned the last one away.
    not_before: Micros,
    /// Since when its idle connections have been so.
    idle: Vec<Micros>,
    /// When this life of it was first told, and since when it counts as cold.
    told: Micros,
    since: Option<Micros>,
    /// Picks that passed it over for being cold.
    spared: u64,
}

impl Server {
    fn share(&self, now: Micros, rules: &Rules) -> f64 {
        let Some(started) = self.since else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / rules.warm_up_time.max(1) as f64;
        (rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * age).min(1.0)
    }

    /// Whether the breakers let a call of the class through, and if it is a trial.
    fn passes(&self, class: ClassId, now: Micros) -> Option<bool> {
        let pass = |b: &Breaker| match b.state {
            State::Closed => Some(false),
            State::Open { until } if now >= until => Some(true),
            _ => None,
        };
        Some(pass(&self.breakers[0])? | pass(&self.breakers[class + 1])?)
    }

    fn ejected(&self) -> bool {
        self.breakers.iter().any(|b| b.state != State::Closed)
    }
}

/// The servers of one zone, as far as this balancer's own attempts tell of them.
#[derive(Default)]
struct Pool {
    servers: u32,
    /// How many they were when the window was last fitted to them.
    sized: u32,
    /// Those that could not be reached last.
    unreached: u32,
    /// Where they begin among all servers.
    from: usize,
    /// The few that this balancer prefers: the first of them, counted from there, and how many they are.
    first: usize,
    few: usize,
    /// Servers that take calls and are warm.
    warm: u32,
    /// Where no server of any zone is warm, the window is no wider than this.
    most: f64,
    /// Attempts that may be out at once.
    window: f64,
    in_flight: u32,
    /// Those of another process of this balancer, while there are two.
    beside: f64,
    /// Attempts given up that may still be worked on; they fade.
    lingering: f64,
    /// With a window under one attempt: nothing goes out earlier.
    resume: Micros,
    /// Calls that warm servers answered, faded: what is turned away or lost tells nothing of what one takes.
    taken: f64,
}

impl Pool {
    /// The window, less the part of what cannot be reached. Prevents all of a zone's places from going to the
    /// one server of it that is back.
    fn places(&self) -> f64 {
        let reached = f64::from(self.servers.saturating_sub(self.unreached).max(1));
        self.window.min(self.most) * reached / f64::from(self.servers.max(1))
    }
}

#[derive(Default)]
struct Request {
    class: ClassId,
    arrived: Micros,
    /// An answer after this earns nothing.
    useful: Micros,
    deadline: Micros,
    sent: u32,
    retried: bool,
    /// A retry is put aside for it.
    assured: bool,
    /// Its hinted work beside its class's mean; 1 where there is no hint.
    scale: f64,
    /// The earliest attempt that may have run: when it was sent and where.
    ran: Option<(Micros, ZoneId, u32)>,
    out: Option<Attempt>,
    last: Option<ServerId>,
    not_before: Micros,
}

struct Attempt {
    at: Micros,
    zone: ZoneId,
    cell: u32,
    own_limit: bool,
    /// How long its connection had been idle, in doublings of `FLOOR`.
    idle: usize,
}

/// How an attempt ended.
struct Ended {
    server: ServerId,
    outcome: Outcome,
    latency: Micros,
    closed: bool,
}

#[derive(Clone, Default)]
struct ClassState {
    latency: Percentiles,
    /// The lowest P50 seen lately.
    base: f64,
    /// Answers in a row that show a service far faster or slower than it was, and the last one's server.
    shifted: (i32, ServerId),
    /// Mean of the hinted work.
    work: f64,
    offered: f64,
    served: f64,
    held: VecDeque<RequestId>,
}

/// A balancer's part of a zone's servers; all parts of a server add up to one. Those of its own zone weigh as
/// many times as there are zones, but where balancers are fewer than zones. Hurts where most are in one zone.
fn part(settings: &Settings, zone: ZoneId, servers: u32) -> f64 {
    let (zones, balancers) = (settings.zones as f64, settings.balancers as f64);
    let weight = match (balancers < zones, zone == settings.zone) {
        (true, _) => 1.0,
        (_, true) => zones / (2.0 - 1.0 / zones),
        _ => 1.0 / (2.0 - 1.0 / zones),
    };
    servers as f64 * weight / balancers
}

/// The window that a balancer is due, with an allowance for each tier behind: a place is held while those
/// work too, but not all calls wait at once. With a whole window for each, servers turned slow.
fn due(settings: &Settings, zone: ZoneId, servers: u32, behind: f64) -> f64 {
    let allowance = 1.0 + behind * (settings.tiers - settings.tier - 1) as f64;
    FIRST_WINDOW * part(settings, zone, servers) * allowance
}

/// The decisions of one balancer.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    /// By zone, then around the ring.
    servers: Vec<Server>,
    /// Where each stands among them.
    places: HashMap<ServerId, usize>,
    pools: BTreeMap<ZoneId, Pool>,
    /// No server of any zone is warm.
    all_cold: bool,
    requests: BTreeMap<RequestId, Request>,
    classes: Vec<ClassState>,
    all: Percentiles,
    /// Retries that wait for their backoff or are bound to a group.
    retries: Vec<RequestId>,
    /// Those that are not put aside, and how many are.
    retry_budget: f64,
    assured: u32,
    failing: f64,
    /// The longest deadline: samples fade by half over it, so a shift shows within seconds.
    half_life: f64,
    /// Share of calls that failed on connections idle for so many doublings of `FLOOR`; that broke at once.
    stale: [[f64; 64]; 2],
    /// The class that may pass a full window.
    express: Option<ClassId>,
    /// Span between two looks at the held requests.
    look: Micros,
    sweeping: bool,
    started: bool,
    housekept: Micros,
    /// The span over which answers are counted, faded as they are: a young balancer knows its rate as well.
    watched: f64,
}

impl Balancer {
    /// A balancer with nothing known; fails if the settings make no sense.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let longest = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(1);
        Ok(Balancer {
            classes: settings.classes.iter().map(|_| ClassState::default()).collect(),
            rng: fastrand::Rng::with_seed(seed),
            servers: Vec::new(),
            places: HashMap::new(),
            pools: BTreeMap::new(),
            all_cold: false,
            requests: BTreeMap::new(),
            all: Percentiles::default(),
            retries: Vec::new(),
            retry_budget: RETRY_SAVINGS,
            assured: 0,
            failing: 0.01,
            half_life: longest as f64,
            stale: [[0.0; 64]; 2],
            express: None,
            look: (settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(1) / SWEEPS)
                .max(settings.tick),
            sweeping: false,
            started: false,
            housekept: 0,
            watched: 0.0,
            settings,
        })
    }

    /// Goes on under other settings, with all that was learned. Class `i` begins with what class `learned[i]`
    /// learned; one with open requests must keep its effect. Fails, changing nothing, if they make no sense.
    pub fn reconfigure(
        &mut self,
        settings: Settings,
        learned: &[Option<ClassId>],
    ) -> Result<(), SettingsError> {
        settings.check()?;
        let from = |i: usize| learned.get(i).copied().flatten();
        let mut old: Vec<ClassState> = std::mem::take(&mut self.classes);
        let held: Vec<_> = old.iter_mut().map(|c| std::mem::take(&mut c.held)).collect();
        let copied = |i: usize| from(i).and_then(|j| old.get(j)).cloned().unwrap_or_default();
        self.classes = (0..settings.classes.len()).map(copied).collect();
        self.classes.iter_mut().zip(held).for_each(|(class, held)| class.held = held);
        for server in &mut self.servers {
            let old = std::mem::take(&mut server.breakers);
            let copied = |i: usize| from(i).and_then(|j| old.get(j + 1)).cloned().unwrap_or_default();
            server.breakers = vec![old.first().cloned().unwrap_or_default()];
            server.breakers.extend((0..settings.classes.len()).map(copied));
        }
        self.half_life = settings.classes.iter().map(|c| c.deadline).max().unwrap_or(1) as f64;
        let aim = settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(1);
        self.look = (aim / SWEEPS).max(settings.tick);
        self.settings = settings;
        self.count_pools(self.housekept);
        Ok(())
    }

    /// What was learned of classes and zones, for a balancer of the same build that takes over.
    pub fn learned(&self) -> LearnedState {
        let class =
            |c: &ClassState| [&[c.base, c.work, c.offered, c.served], &c.latency.figures()[..]].concat();
        let classes = self.classes.iter().map(class).collect();
        let zones =
            self.pools.iter().map(|(&zone, p)| (zone, vec![p.window, p.lingering, p.taken])).collect();
        LearnedState { classes, overall: self.all.figures(), zones }
    }

    /// Goes on with what another has learned; after its list, before any request. What is missing stays.
    pub fn restore(&mut self, now: Micros, learned: &LearnedState) {
        let good = |figures: &[f64]| figures.iter().all(|f| f.is_finite() && *f >= 0.0);
        for (class, figures) in self.classes.iter_mut().zip(&learned.classes).filter(|(_, f)| good(f)) {
            let [base, work, offered, served, latency @ ..] = &figures[..] else { continue };
            (class.base, class.work, class.offered, class.served) = (*base, *work, *offered, *served);
            class.latency.resume(now, latency);
        }
        if good(&learned.overall) {
            self.all.resume(now, &learned.overall);
        }
        for (zone, figures) in learned.zones.iter().filter(|(_, f)| good(f)) {
            if let ([window, lingering, sent], Some(pool)) = (&figures[..], self.pools.get_mut(zone)) {
                (pool.window, pool.lingering, pool.taken) = (window.max(LEAST_WINDOW), *lingering, *sent);
                self.watched = self.half_life * std::f64::consts::LOG2_E;
            }
        }
    }

    /// Attempts that are out, by zone.
    pub fn in_flight(&self) -> Vec<(ZoneId, f64)> {
        self.pools.iter().map(|(&zone, p)| (zone, f64::from(p.in_flight))).collect()
    }

    /// What another process of this balancer has out, from now on; nothing for a zone not named.
    pub fn set_peer_in_flight(&mut self, others: &[(ZoneId, f64)]) {
        for (zone, pool) in &mut self.pools {
            let told = others.iter().find(|(z, n)| z == zone && n.is_finite());
            pool.beside = told.map_or(0.0, |(_, n)| n.max(0.0));
        }
    }

    /// Takes one event and appends what is to be done. `now` never goes back.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.started = true;
            self.housekept = now;
            self.housekeep(now, actions);
            if self.settings.discovery == DiscoveryMode::Pull {
                let spread = ASK_SPREAD.min(ASK_EACH * self.settings.balancers as f64);
                self.ask_within(self.settings.rules.discovery_interval as f64 * spread, actions);
            }
        }
        match event {
            Event::Servers { kind, entries } => self.list(now, kind, entries, actions),
            Event::Request { id, class, time_left, work, .. } => {
                self.take(now, id, class, time_left, work, actions);
            }
            Event::Outcome { request, server, outcome, latency, closed, .. } => {
                self.outcome(now, request, &Ended { server, outcome, latency, closed }, actions);
            }
            // A stream that has begun is the client's: no limit, no retry; its outcome frees the place.
            Event::FirstByte { request, .. } => {
                let _ = self.forget(request).map(|r| self.classes[r.class].served += 1.0);
            }
            Event::ClientGone { request } => self.gone(request),
            Event::Timer { token: SWEEP } => self.sweep(now, actions),
            Event::Timer { token: HOUSEKEEP } => self.housekeep(now, actions),
            Event::Timer { token: ASK } => actions.push(Action::Watch),
            Event::Timer { .. } | Event::Probed { .. } => {}
        }
        self.dispatch(now, actions);
        if !self.sweeping && (!self.retries.is_empty() || self.classes.iter().any(|c| !c.held.is_empty())) {
            self.sweeping = true;
            actions.push(Action::Timer { delay: self.look, token: SWEEP });
        }
    }

    /// Prevents slow servers from passing for quick ones where the clients of the slowest calls leave.
    fn gone(&mut self, id: RequestId) {
        let Some(attempt) = self.forget(id).and_then(|r| r.out) else { return };
        let Some(pool) = self.pools.get_mut(&attempt.zone) else { return };
        pool.window = (pool.window - WINDOW_GAIN * pool.window.min(1.0)).max(LEAST_WINDOW);
    }

    /// What was put aside for it is free again.
    fn forget(&mut self, id: RequestId) -> Option<Request> {
        let request = self.requests.remove(&id)?;
        self.assured -= u32::from(request.assured);
        self.retry_budget += f64::from(u8::from(request.assured));
        Some(request)
    }

    // Intake.

    fn take(
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
        let mut aim = (c.latency_target + stretch).min(c.deadline);
        if !self.settings.propagates_deadline {
            aim = aim.min(self.split(c.deadline));
        }
        let useful =
            if c.late_value_ratio > 0.0 { left } else { left.min(aim.saturating_sub(self.settings.tick)) };
        let state = &mut self.classes[class];
        state.offered += 1.0;
        state.held.push_back(id);
        let work = work.map_or(0.0, |w| w as f64);
        state.work += (work - state.work) / state.offered.clamp(1.0, MEAN_OVER);
        let scale = if work > 0.0 { 1.0 + HINT_TRUST * (work / state.work - 1.0) } else { 1.0 };
        let (useful, deadline) = (now + useful, now + left);
        let request =
            Request { class, arrived: now, not_before: now, useful, deadline, scale, ..Request::default() };
        self.requests.insert(id, request);
        self.bound_held(now, actions);
    }

    /// The part of a class's span that is for this tier and those below it.
    fn split(&self, span: Micros) -> Micros {
        let (tier, tiers) = (self.settings.tier as u64, self.settings.tiers as u64);
        span * (tiers - tier) / tiers
    }

    /// Prevents a backlog of requests that have no hope from filling the memory: the least worth go first.
    fn bound_held(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let window: f64 = self.pools.values().map(|p| p.window).sum();
        let soon = (self.look * SWEEPS) as f64 * HELD_FOR_AIM / self.all.p50;
        let rounds = if self.all.p50 > 0.0 { soon.max(HELD_FOR_WINDOW) } else { HELD_FOR_WINDOW };
        let most = ((window * rounds) as usize).max(HELD_ALWAYS);
        if self.classes.iter().map(|c| c.held.len()).sum::<usize>() > most {
            let order = self.class_order();
            let id = order.iter().rev().find_map(|&c| self.classes[c].held.pop_front());
            if let Some(id) = id {
                self.give_up(now, id, actions);
            }
        }
    }

    /// Final answer without service: refused where the rules let it be and its client may still gain.
    fn give_up(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.forget(id) else { return };
        let class = &self.settings.classes[request.class];
        let repeatable = matches!(class.effect, Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. });
        let may_refuse = request.ran.is_none() || repeatable;
        let gains = now as f64 + self.classes[request.class].latency.p50 < request.useful as f64;
        actions.push(if may_refuse && gains {
            Action::Refuse { request: id, retry_after: 0 }
        } else {
            Action::Fail { request: id }
        });
    }

    /// What the class's learned percentiles are, or the pooled ones, or nothing.
    fn percentiles(&self, class: ClassId) -> Option<&Percentiles> {
        [&self.classes[class].latency, &self.all].into_iter().find(|p| p.total >= MIN_SAMPLES)
    }

    /// Too little time is left for an attempt to finish.
    fn hopeless(&self, now: Micros, request: &Request) -> bool {
        let left = request.useful.saturating_sub(now) as f64;
        let aim = self.split(self.settings.classes[request.class].latency_target) as f64;
        let p50 = self.percentiles(request.class).map_or(0.0, |p| p.p50);
        // Prevents a final answer that comes too late, where looks are further apart than the grace for it.
        let last_look = now + self.look >= request.deadline;
        last_look || left <= 0.0 || left < p50.min(aim * ALWAYS_SENT) * request.scale
    }

    /// Classes by what their requests are worth for their work, most first, and by the goal.
    fn class_order(&mut self) -> Vec<ClassId> {
        let ratio = |c: &ClassState| if c.offered > 0.0 { c.served / c.offered } else { 1.0 };
        let worth = |i: usize| self.settings.classes[i].value;
        let total: f64 = self.classes.iter().enumerate().map(|(i, c)| worth(i) * c.offered).sum();
        let worst = self.classes.iter().map(ratio).fold(1.0, f64::min);
        let goal = &self.settings.goal;
        let value = |i: usize| {
            let c = &self.classes[i];
            let own = worth(i) * c.offered;
            let bonus = if ratio(c) <= worst && own > 0.0 { goal.worst_class * total / own } else { 0.0 };
            let alike = self.settings.value_per_work || c.latency.total < MIN_SAMPLES;
            let work = if alike { 1.0 } else { c.latency.p50 };
            worth(i) * (goal.overall + goal.worst_window + bonus) / work
        };
        let mut order: Vec<ClassId> = (0..self.classes.len()).collect();
        order.sort_by(|&a, &b| value(b).total_cmp(&value(a)));
        self.express = match order[..] {
            [first, second, ..] if value(first) > FAR_AHEAD * value(second) => Some(first),
            _ => None,
        };
        order
    }

    // Pick.

    /// Sends what is held as far as servers are ready.
    fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let retries = std::mem::take(&mut self.retries);
        for id in retries {
            let Some(request) = self.requests.get(&id) else { continue };
            if self.hopeless(now, request) || self.out_of_window(now, request) {
                self.give_up(now, id, actions);
            } else if request.not_before > now {
                self.retries.push(id);
            } else if let Some(at) = self.pick(now, id) {
                self.send(now, id, at, actions);
            } else {
                self.retries.push(id);
            }
        }
        if self.classes.iter().all(|c| c.held.is_empty()) {
            return;
        }
        let order = self.class_order();
        while order.iter().any(|&class| self.dispatch_one(now, class, actions)) {}
    }

    /// Sends or drops one held request of the class: the newest that may go, since it has the most time left.
    fn dispatch_one(&mut self, now: Micros, class: ClassId, actions: &mut Vec<Action>) -> bool {
        let held = &self.classes[class].held;
        let away = |id: &RequestId| self.requests.get(id).is_none_or(|r| self.may_cross(now, r));
        for end in [held.len(), held.partition_point(away)] {
            let Some(&id) = end.checked_sub(1).and_then(|at| self.classes[class].held.get(at)) else {
                continue;
            };
            let hopeless = self.requests.get(&id).is_none_or(|r| self.hopeless(now, r));
            let picked = if hopeless { None } else { self.pick(now, id) };
            if !hopeless && picked.is_none() {
                continue;
            }
            self.classes[class].held.remove(end - 1);
            match picked {
                Some(at) => self.send(now, id, at, actions),
                None => self.give_up(now, id, actions),
            }
            return true;
        }
        false
    }

    /// A crossing is worth the wait for a place at home in the proportion of its price.
    fn may_cross(&self, now: Micros, request: &Request) -> bool {
        let p50 = self.percentiles(request.class).map_or(1.0, |p| p.p50);
        (now - request.arrived) as f64 >= self.settings.prices.cross_zone * p50
    }

    /// Prevents a repeat after the group has forgotten the request.
    fn out_of_window(&self, now: Micros, request: &Request) -> bool {
        match (self.settings.classes[request.class].effect, request.ran) {
            (_, None) | (Effect::Safe, _) => false,
            (Effect::Unsafe, Some(_)) => true,
            (Effect::Keyed { window, .. }, Some((at, ..))) => now + self.settings.tick >= at + window,
        }
    }

    fn in_group(effect: Effect, request: &Request, entry: &ServerEntry) -> bool {
        match (effect, request.ran) {
            (Effect::Keyed { group: DedupGroup::Zone, .. }, Some((_, zone, _))) => entry.zone == zone,
            (Effect::Keyed { group: DedupGroup::Cell, .. }, Some((_, _, cell))) => entry.cell == cell,
            _ => true,
        }
    }

    /// The ready server with fewest own calls in flight for its size; own zone first.
    fn pick(&mut self, now: Micros, id: RequestId) -> Option<usize> {
        let may_cross = self.may_cross(now, &self.requests[&id]);
        let Balancer { requests, settings, servers, pools, rng, express, all_cold, .. } = self;
        let request = &requests[&id];
        let effect = settings.classes[request.class].effect;
        let room = if *express == Some(request.class) && !*all_cold { EXPRESS } else { 1.0 };
        let mut best: Option<(f64, usize)> = None;
        for away in [false, true] {
            if away && (best.is_some() || !may_cross) {
                break;
            }
            for pool in pools.iter().filter(|(zone, _)| away == (**zone != settings.zone)).map(|(_, p)| p) {
                let given_up = if settings.tier == 0 { pool.lingering } else { 0.0 };
                let held = pool.in_flight as f64 + pool.beside + given_up;
                let most = (pool.places() * room).max(1.0);
                // Prevents many balancers from rounding up, each, its part of servers that are all cold.
                let full = if *all_cold { held.floor() + 1.0 > most } else { held >= most };
                if full || (now < pool.resume && room == 1.0) {
                    continue;
                }
                let (few, all) = (pool.few, pool.servers as usize);
                let from = if few > RANKED { rng.usize(..few) } else { 0 };
                let mut ranked = 0;
                for turn in 0..all {
                    // Prevents a ranking of the whole fleet for each call: the others seem to have one more.
                    let good = turn >= few && best.is_some_and(|(score, _)| score < OUTSIDE);
                    if good || ranked == RANKED {
                        break;
                    }
                    let turn = if turn < few { (from + turn) % few } else { turn };
                    let at = pool.from + (pool.first + turn) % all;
                    let server = &mut servers[at];
                    if now < server.not_before {
                        server.spared += u64::from(server.since.is_some());
                        continue;
                    }
                    let entry = &server.entry;
                    let fits = entry.state == ServerState::Ready && Self::in_group(effect, request, entry);
                    let passes = if fits { server.passes(request.class, now) } else { None };
                    let Some(trial) = passes else { continue };
                    ranked += 1;
                    let size = entry.weight * server.share(now, &settings.rules);
                    let again = if request.last == Some(entry.id) { 2.0 } else { 1.0 };
                    let spread = rng.f64() + if turn < few { 0.0 } else { OUTSIDE };
                    let score = (server.in_flight as f64 + spread) * again / size;
                    let score = if trial { -1.0 } else { score };
                    if best.is_none_or(|(s, _)| score < s) {
                        best = Some((score, at));
                    }
                }
            }
        }
        best.map(|(_, at)| at)
    }

    // Send.

    fn send(&mut self, now: Micros, id: RequestId, at: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.sent == 0 {
            let windows: f64 = self.pools.values().map(|p| p.window).sum();
            let most = (windows.max(RETRY_SAVINGS) - f64::from(self.assured)).max(0.0);
            self.retry_budget = (self.retry_budget + RETRY_SHARE).min(most);
        }
        let repeats = !request.retried && self.settings.classes[request.class].effect != Effect::Unsafe;
        if repeats && !request.assured && self.retry_budget >= 1.0 {
            self.retry_budget -= 1.0;
            self.assured += 1;
            request.assured = true;
        }
        let (limit, class) = (self.limit(now, &self.requests[&id]), self.requests[&id].class);
        // Prevents silent servers from hiding behind attempts bound by time left alone.
        let patience = self
            .percentiles(class)
            .map_or(limit, |p| (p.p50 * self.requests[&id].scale * PATIENCE) as Micros);
        self.spare(now, at, false);
        let server = &mut self.servers[at];
        let pool = self.pools.entry(server.entry.zone).or_default();
        pool.in_flight += 1;
        server.in_flight += 1;
        for breaker in [0, class + 1] {
            let state = &mut server.breakers[breaker].state;
            *state = if *state == State::Closed { State::Closed } else { State::HalfOpen };
        }
        let gap = server.idle.pop().map_or(0, |since| now - since) / FLOOR as Micros;
        let mut idle = gap.checked_ilog2().unwrap_or(0) as usize;
        // Prevents calls on connections that something between dropped unseen.
        let risky =
            self.settings.classes[class].effect == Effect::Unsafe && self.stale[1][idle] > MOST_BROKEN;
        if self.stale[0][idle] > MOST_STALE || risky {
            actions.push(Action::CloseIdle { server: server.entry.id });
            server.idle.clear();
            idle = 0;
        }
        let ServerEntry { id: server, zone, cell, .. } = server.entry;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.sent += 1;
        request.last = Some(server);
        let own_limit = now + limit.min(patience) < request.deadline;
        request.out = Some(Attempt { at: now, zone, cell, own_limit, idle });
        actions.push(Action::Send { request: id, server, limit });
    }

    /// P99 for a first attempt, with room for a retry where one may follow; P50 for the retry.
    fn limit(&self, now: Micros, request: &Request) -> Micros {
        let left = (request.useful - now) as f64;
        // Its own: what other classes take would cut off the first of a slower one.
        let p = &self.classes[request.class].latency;
        if p.total < MIN_SAMPLES {
            return left as Micros;
        }
        let limit = if request.retried {
            p.p50 * request.scale
        } else if self.settings.classes[request.class].effect == Effect::Unsafe {
            p.p99 * request.scale * UNREPEATED
        } else {
            let reserve = p.p50 * request.scale * (1.0 + BACKOFF);
            let room =
                if left - reserve > p.p50 * request.scale * RETRY_ROOM { left - reserve } else { left };
            (p.p99 * request.scale).min(room)
        };
        // Prevents a failure with time left: what is cut short must have a retry to follow.
        let limit = if !request.assured { limit.max(left * LAST_SHARE) } else { limit };
        limit.min(left).max(1.0) as Micros
    }

    // Outcome.

    fn outcome(&mut self, now: Micros, id: RequestId, ended: &Ended, actions: &mut Vec<Action>) {
        let request = self.requests.get_mut(&id);
        let (class, attempt) = request.map_or((None, None), |r| (Some((r.class, r.scale)), r.out.take()));
        let own = attempt.as_ref().is_some_and(|a| a.own_limit);
        let late = class.and_then(|(c, scale)| self.learn(c, scale, ended));
        if let Some(idle) = attempt.as_ref().map(|a| a.idle).filter(|idle| *idle > 0) {
            // Prevents spoilt answers from passing for dead connections.
            let at_once = ended.latency as f64 <= AT_ONCE * self.all.p50;
            let broken = ended.outcome == Outcome::Reset && at_once;
            for (stale, failed) in
                self.stale.iter_mut().zip([broken || ended.outcome == Outcome::TimedOut, broken])
            {
                // What fails after a gap fails after longer ones, what works works after shorter ones. The
                // longer ones no more often than this one: a stray failure says nothing of them.
                if failed {
                    stale[idle] += STALE_GAIN * (1.0 - stale[idle]);
                    let share = stale[idle];
                    stale[idle..].iter_mut().for_each(|s| *s = s.max(share));
                } else {
                    stale[..=idle].iter_mut().for_each(|s| *s -= STALE_GAIN * *s);
                }
            }
        }
        self.judge(now, class.map(|(c, _)| c), ended, own, late);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if ended.closed {
            self.classes[request.class].served += f64::from(u8::from(ended.outcome == Outcome::Ok));
            self.forget(id);
            return;
        }
        if let Some(a) = attempt.filter(|_| !ended.outcome.never_ran()) {
            request.ran = request.ran.or(Some((a.at, a.zone, a.cell)));
        }
        self.again(now, id, ended.outcome, actions);
    }

    /// One retry after a time-out, error or broken connection, within the budget; what never ran, as it may.
    fn again(&mut self, now: Micros, id: RequestId, outcome: Outcome, actions: &mut Vec<Action>) {
        let p50 = self.percentiles(self.requests[&id].class).map_or(0.0, |p| p.p50);
        let wait = (p50 * BACKOFF * (0.5 + self.rng.f64())) as Micros;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let unused = request.sent < self.settings.limits.max_attempts;
        let may = if outcome.never_ran() {
            unused
        } else {
            let effect = self.settings.classes[request.class].effect;
            let paid = request.assured || self.retry_budget >= 1.0;
            let may = unused && !request.retried && effect != Effect::Unsafe && paid;
            if may {
                self.assured -= u32::from(request.assured);
                self.retry_budget -= f64::from(u8::from(!request.assured));
                (request.retried, request.assured) = (true, false);
            }
            may
        };
        if may {
            let wait = wait.max(self.settings.tick);
            request.not_before = now + wait;
            self.retries.push(id);
            // Prevents a retry from waiting for the next look where nothing else happens.
            actions.push(Action::Timer { delay: wait, token: RETRY });
        } else {
            self.give_up(now, id, actions);
        }
    }

    /// A service that has become far faster or slower is learned anew. First windows' queues make calls
    /// longer by about their depth: what is far longer there is none. Several have to show it.
    fn notice_shift(&mut self, class: ClassId, scale: f64, ended: &Ended) -> bool {
        let first = |(z, p): (&ZoneId, &Pool)| due(&self.settings, *z, p.servers, BEHIND).max(2.0);
        let modest = self.pools.iter().all(|zp| zp.1.window <= MODEST * first(zp));
        let state = &mut self.classes[class];
        let (latency, far) = (ended.latency as f64 / scale, SLOWER * FIRST_WINDOW);
        let known = state.base > 0.0 && ended.outcome == Outcome::Ok;
        let slower = known && modest && latency > far * state.base;
        let faster = known && latency < state.latency.p50 / far;
        let (run, last) = state.shifted;
        state.shifted = match (slower, faster) {
            (false, false) if ended.outcome != Outcome::Ok => (run, last),
            _ if run != 0 && last == ended.server && self.servers.len() > 1 => (run, last),
            (true, _) => (run.max(0) + 1, ended.server),
            (_, true) => (run.min(0) - 1, ended.server),
            _ => (0, last),
        };
        if f64::from(state.shifted.0.abs()) >= KEPT_SAMPLES {
            (state.shifted.0, state.base) = (0, latency);
            state.latency = Percentiles { faded: state.latency.faded, ..Percentiles::default() };
        }
        slower
    }

    /// Records what an attempt tells of latencies; tells how far it was later than the queueing target.
    fn learn(&mut self, class: ClassId, scale: f64, ended: &Ended) -> Option<f64> {
        let outcome = ended.outcome;
        let slower = self.notice_shift(class, scale, ended);
        let base = self.classes[class].base;
        // Only what comes on top of the lowest P50 is waiting: a call with tiers behind is long without any.
        let aim = self.split(self.settings.classes[class].latency_target) as f64;
        let crowded = if base > 0.0 { CROWDED * base * scale } else { f64::INFINITY };
        let crowded = if slower { f64::INFINITY } else { crowded.max(CROWDED_FROM * aim) };
        let unqueued = (base * scale).min(aim);
        let target = unqueued + QUEUE_TARGET * (aim - unqueued);
        let latency = ended.latency as f64;
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let timed_out = outcome == Outcome::TimedOut;
            self.classes[class].latency.record(latency / scale, timed_out);
            self.all.record(latency / scale, timed_out);
        }
        match outcome {
            // Prevents a spiral: an attempt cut short because it was held long says nothing of the queues.
            Outcome::TimedOut | Outcome::Error if latency <= target.min(crowded) => None,
            Outcome::Full => Some(1.0),
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > target => Some(1.0),
            Outcome::Ok | Outcome::TimedOut | Outcome::Error if latency > crowded => Some(2.0 * LATE_SHARE),
            Outcome::Ok if latency < ROOMY * aim => Some(-1.0),
            Outcome::Ok => Some(0.0),
            _ => None,
        }
    }

    /// Keeps the server's counts, breakers and memory, and its pool's window.
    fn judge(&mut self, now: Micros, class: Option<ClassId>, ended: &Ended, own: bool, late: Option<f64>) {
        let outcome = ended.outcome;
        let Some(&place) = self.places.get(&ended.server) else { return };
        let usual = self.usual();
        let server = &mut self.servers[place];
        let pool = self.pools.entry(server.entry.zone).or_default();
        let used = pool.in_flight as f64 + pool.beside >= 0.7 * pool.window;
        if server.in_flight > 0 {
            server.in_flight -= 1;
            pool.in_flight = pool.in_flight.saturating_sub(1);
        }
        let was = std::mem::replace(&mut server.unreached, outcome == Outcome::ConnectFailed);
        pool.unreached = (pool.unreached + u32::from(server.unreached)).saturating_sub(u32::from(was));
        if let Some(late) = late {
            // Prevents some from keeping all places: a window far under its balancer's part grows more.
            let due = due(&self.settings, server.entry.zone, pool.servers, BEHIND);
            let pull = (due / pool.window).clamp(1.0 / MOST_PULL, MOST_PULL);
            let step = if late > 0.0 || used { LATE_SHARE * pull - late } else { 0.0 };
            // Prevents many balancers from swamping a server: a part of a place is one with pauses.
            let gain = WINDOW_GAIN * pool.window.min(1.0);
            pool.window = (pool.window + gain * step).max(LEAST_WINDOW);
        }
        let places = pool.places();
        if places < 1.0 && (late.is_some() || server.unreached) {
            let span = if server.unreached { usual } else { ended.latency as f64 };
            let pause = span * (1.0 / places - 1.0);
            pool.resume = now.saturating_add((pause * (0.5 + self.rng.f64())) as Micros);
        }
        if outcome == Outcome::Full {
            // Prevents one that turns all away at once from looking free; a cold one is spared for longer.
            let rest = now + (self.all.p50 * REST * (0.5 + self.rng.f64())) as Micros;
            server.not_before = server.not_before.max(rest);
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error) {
            server.idle.push(now);
            pool.taken += f64::from(u8::from(server.share(now, &self.settings.rules) >= 1.0));
        } else if matches!(outcome, Outcome::TimedOut | Outcome::Cancelled) {
            pool.lingering += 1.0;
        }
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => true,
            // What its request's wait cut short tells no more of the server than of the queues.
            Outcome::TimedOut if own && late.is_some() => true,
            _ => {
                for breaker in server.breakers.iter_mut().filter(|b| b.state == State::HalfOpen) {
                    breaker.state = State::Open { until: now };
                }
                return;
            }
        };
        self.failing += 0.02 * (f64::from(u8::from(failed)) - self.failing);
        // Prevents a lost zone from taking every call in turn, and all that is held once it is back. It fails
        // whatever other servers do, and may be most of the fleet.
        let unreached = outcome == Outcome::ConnectFailed;
        let (most, chance) = if unreached { (MOST_UNREACHED, CHANCE) } else { (MOST_EJECTED, self.failing) };
        let needed = (CHANCE.ln() / chance.clamp(0.01, 0.5).ln()).max(2.0);
        let concerned = [Some(0), class.map(|c| c + 1)].into_iter().flatten();
        let close = |at: usize| failed && server.breakers[at].failures as f64 + 1.0 >= needed;
        let may_eject = server.ejected()
            || concerned.clone().any(close) && {
                let ejected = self.servers.iter().filter(|s| s.ejected()).count();
                (ejected as f64) < most * self.servers.len() as f64
            };
        let server = &mut self.servers[place];
        for at in concerned {
            let breaker = &mut server.breakers[at];
            if !failed {
                *breaker = Breaker::default();
                continue;
            }
            breaker.failures += 1;
            if breaker.state == State::HalfOpen || (breaker.failures as f64 >= needed && may_eject) {
                let until = now + (self.half_life * OPEN_FOR * (0.75 + 0.5 * self.rng.f64())) as Micros;
                breaker.state = State::Open { until };
                // The server fails all it gets: a class's own breaker opens only where others are served.
                break;
            }
        }
    }

    // Discovery.

    fn ask_within(&mut self, span: f64, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { delay: (span * self.rng.f64()) as Micros, token: ASK });
    }

    fn list(&mut self, now: Micros, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        if kind == ListKind::Failed {
            self.ask_within(self.settings.rules.discovery_interval as f64 * ASK_AGAIN, actions);
            return;
        }
        let gone = entries.iter().filter(|e| e.state == ServerState::Gone).map(|e| e.id);
        let (gone, listed): (HashSet<_>, HashSet<_>) =
            (gone.collect(), entries.iter().map(|e| e.id).collect());
        let stays = |id: &ServerId| !gone.contains(id) && (kind == ListKind::Changes || listed.contains(id));
        let mut moved = kind != ListKind::Changes || gone.iter().any(|id| self.places.contains_key(id));
        for entry in entries.into_iter().filter(|e| e.state != ServerState::Gone) {
            moved |= self.place(now, entry);
        }
        if moved {
            self.servers.retain(|s| stays(&s.entry.id));
            self.count_pools(now);
        } else {
            self.count_warm(now);
        }
    }

    /// Takes an entry over; tells whether servers have come or moved.
    fn place(&mut self, now: Micros, mut entry: ServerEntry) -> bool {
        entry.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        let known = self.places.get(&entry.id).copied();
        if let Some(server) =
            known.map(|at| &mut self.servers[at]).filter(|s| s.entry.started_at == entry.started_at)
        {
            let moved = (server.entry.zone, server.entry.ring_hash) != (entry.zone, entry.ring_hash);
            server.entry = entry;
            return moved;
        }
        // Guards against wrong clocks: none starts after the news, or is warm that was another lately.
        let before = known.map_or(0, |at| self.servers[at].told);
        let warm = |at: Micros| at < before && now - at >= self.settings.rules.warm_up_time;
        let since = entry.started_at.map(|at| if warm(at) { now } else { at.min(now) });
        let breakers = vec![Breaker::default(); self.classes.len() + 1];
        let mut server = Server { entry, breakers, told: now, since, ..Server::default() };
        let at = known.unwrap_or(self.servers.len());
        match known {
            // It has started again; what is out there is still counted.
            Some(at) => {
                server.in_flight = self.servers[at].in_flight;
                self.servers[at] = server;
            }
            None => {
                self.places.insert(server.entry.id, self.servers.len());
                self.servers.push(server);
            }
        }
        self.spare(now, at, true);
        true
    }

    fn count_pools(&mut self, now: Micros) {
        self.pools.values_mut().for_each(|p| (p.servers, p.in_flight, p.unreached) = (0, 0, 0));
        for s in &self.servers {
            let pool = self.pools.entry(s.entry.zone).or_default();
            pool.servers += 1;
            pool.unreached += u32::from(s.unreached);
            pool.in_flight += s.in_flight;
        }
        self.pools.retain(|_, p| p.servers > 0);
        self.prefer();
        self.count_warm(now);
        for (&zone, pool) in &mut self.pools {
            // Prevents what was learned of many from going to the few that a list still names. Each that
            // comes brings its first part.
            let stay = f64::from(pool.servers) / f64::from(pool.sized.max(1));
            let come = due(&self.settings, zone, pool.servers.saturating_sub(pool.sized), FIRST_BEHIND);
            pool.window = (pool.window * stay.min(1.0) + come).max(LEAST_WINDOW);
            pool.sized = pool.servers;
        }
    }

    /// The span between two of its calls to a warm server of the zone; all balancers' parts add up to what
    /// one takes: as the zone's own do, or those of all zones, and at the least one call at a time.
    fn pace(&self, zone: ZoneId) -> f64 {
        let warm = || self.pools.iter().filter(|(_, p)| p.warm > 0);
        let span = self.watched.max(self.settings.rules.overload_time as f64);
        let each = |sent: f64, servers: u32| sent / span / f64::from(servers.max(1));
        let (sent, servers) = warm().fold((0.0, 0), |(sent, n), (_, p)| (sent + p.taken, n + p.warm));
        let here = warm().find(|(z, _)| **z == zone).map_or(0.0, |(_, p)| each(p.taken, p.warm));
        let own = part(&self.settings, zone, 1);
        let everywhere = each(sent, servers) * own * self.settings.balancers as f64;
        1.0 / here.max(everywhere).max(own / self.usual())
    }

    /// How long a call usually takes, or is taken to.
    fn usual(&self) -> f64 {
        let shortest = self.settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(0);
        let known = self.all.total >= MIN_SAMPLES;
        if known { self.all.p50 } else { ROOMY * self.split(shortest).max(self.settings.tick) as f64 }
    }

    /// Keeps a cold server from calls for about a span between two, first for the own part of it. Parts
    /// lie evenly apart: prevents calls of all from meeting by chance.
    fn spare(&mut self, now: Micros, at: usize, first: bool) {
        let Server { entry, since, .. } = &self.servers[at];
        let share = self.servers[at].share(now, &self.settings.rules);
        if share < 1.0 && !self.all_cold {
            let warm = since.unwrap_or(0).saturating_add(self.settings.rules.warm_up_time);
            let turn =
                f64::from(self.settings.balancer_index) * APART + entry.ring_hash as f64 / u64::MAX as f64;
            let spans = if first { turn.fract() } else { 0.9 + 0.2 * self.rng.f64() };
            let wait = self.pace(entry.zone) / share * spans;
            self.servers[at].not_before = now.saturating_add(wait as Micros).min(warm);
        }
    }

    /// The servers that are cold, the share of its capacity that each has, how often picks passed it over.
    pub fn cold_servers(&self, now: Micros) -> Vec<(ServerId, f64, u64)> {
        let of = |s: &Server| (s.entry.id, s.share(now, &self.settings.rules), s.spared);
        self.servers.iter().map(of).filter(|(_, share, _)| *share < 1.0).collect()
    }

    /// Why a cold server gets a call: share, pace, its zone's warm servers and window, if none is warm.
    pub fn cold_admission_factors(&self, now: Micros, id: ServerId) -> Option<(f64, f64, u32, f64, bool)> {
        let server = &self.servers[*self.places.get(&id)?];
        let (share, pool) = (server.share(now, &self.settings.rules), self.pools.get(&server.entry.zone)?);
        Some((share, self.pace(server.entry.zone), pool.warm, pool.window.min(pool.most), self.all_cold))
    }

    /// Beside warm servers cold ones are spared by the pace of these. Where no zone has any, first windows at
    /// the cold share guard them; each balancer begins its part of a pool, a new one too, at its own time.
    fn count_warm(&mut self, now: Micros) {
        let Settings { rules, .. } = &self.settings;
        let mut shares: BTreeMap<ZoneId, f64> = BTreeMap::new();
        self.pools.values_mut().for_each(|p| p.warm = 0);
        for s in self.servers.iter().filter(|s| s.entry.state == ServerState::Ready) {
            let share = s.share(now, rules);
            *shares.entry(s.entry.zone).or_default() += share;
            self.pools.entry(s.entry.zone).or_default().warm += u32::from(share >= 1.0);
        }
        let cold = !self.servers.is_empty() && self.pools.values().all(|p| p.warm == 0);
        let turned = std::mem::replace(&mut self.all_cold, cold) != cold;
        let usual = self.usual();
        for (&zone, pool) in &mut self.pools {
            let due = |servers, behind| due(&self.settings, zone, servers, behind);
            let share = shares.get(&zone).map_or(1.0, |sum| sum / f64::from(pool.servers.max(1)));
            let most = due(pool.servers, FIRST_BEHIND) * (rules.overload_factor * share).min(1.0);
            pool.most = if cold { most } else { f64::INFINITY };
            if turned || cold && pool.window == 0.0 {
                let widest = if cold { due(pool.servers, BEHIND).max(2.0) } else { f64::INFINITY };
                pool.window = pool.window.min(widest);
                let span = usual / share * (1.0 / pool.most - 1.0).max(0.0);
                pool.resume = now + (span * self.rng.f64()).min(rules.warm_up_time as f64) as Micros;
            }
        }
        for at in (0..self.servers.len()).filter(|_| turned) {
            self.servers[at].not_before *= Micros::from(!cold);
            self.spare(now, at, true);
        }
    }

    /// Chooses the preferred servers of each zone: a stretch of the ring, neighbours' beside each other.
    fn prefer(&mut self) {
        self.servers.sort_by_key(|s| (s.entry.zone, s.entry.ring_hash, s.entry.id));
        self.places = self.servers.iter().enumerate().map(|(at, s)| (s.entry.id, at)).collect();
        let (me, balancers) = (self.settings.balancer_index as usize, self.settings.balancers as usize);
        let mut from = 0;
        for (&zone, pool) in &mut self.pools {
            let n = pool.servers as usize;
            let near = if zone == self.settings.zone { self.settings.zones as f64 } else { 1.0 };
            let few = (SHARED_BY * n as f64 * near / balancers as f64).ceil() as usize;
            (pool.from, pool.first, pool.few) = (from, me * n / balancers, few.min(n));
            from += n;
        }
    }

    // Timers.

    /// Drops what cannot finish any more; `dispatch` follows.
    fn sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.sweeping = false;
        for class in 0..self.classes.len() {
            let held = std::mem::take(&mut self.classes[class].held);
            let (drop, keep): (VecDeque<_>, VecDeque<_>) =
                held.into_iter().partition(|id| self.requests.get(id).is_none_or(|r| self.hopeless(now, r)));
            self.classes[class].held = keep;
            for id in drop {
                self.give_up(now, id, actions);
            }
        }
    }

    fn housekeep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let span = (now - self.housekept) as f64;
        self.housekept = now;
        let keep = 0.5_f64.powf(span / self.half_life);
        for c in &mut self.classes {
            c.latency.fade(now, self.half_life);
            c.base *= BASE_RISE.powf(span / self.half_life);
            if c.latency.total >= KEPT_SAMPLES && (c.base == 0.0 || c.latency.p50 < c.base) {
                c.base = c.latency.p50;
            }
            c.offered *= keep;
            c.served *= keep;
        }
        self.all.fade(now, self.half_life);
        self.stale.iter_mut().flatten().for_each(|s| *s *= keep);
        let gone = if self.all.p50 > 0.0 { 0.5_f64.powf(span / (LINGER * self.all.p50)) } else { keep };
        self.pools.values_mut().for_each(|p| (p.lingering, p.taken) = (p.lingering * gone, p.taken * keep));
        self.watched = self.watched * keep + self.half_life * std::f64::consts::LOG2_E * (1.0 - keep);
        self.count_warm(now);
        let delay = (self.half_life as Micros / HOUSEKEEPING).max(1);
        actions.push(Action::Timer { delay, token: HOUSEKEEP });
    }
}
