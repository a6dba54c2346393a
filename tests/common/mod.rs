//! A simulation of servers and clients around one balancer. It checks every action of the balancer against the
//! rules of the API.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use finchshift::{
    Action, Balancer, Class, DedupGroup, Effect, Event, ListKind, Micros, Outcome, RequestId, ServerEntry,
    ServerId, ServerState, Settings,
};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A class with a latency target of 500 ms, a deadline of 2 s and a value of 1.
pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        max_runs: u32::MAX,
        latency_target: 500 * MS,
        target_per_work: 0.0,
        deadline: 2 * SECOND,
        value: 1.0,
        late_value_ratio: 0.0,
        stream: false,
    }
}

/// Settings of one of two balancers, with a class for each effect; servers warm up from 20% in 20 s.
pub fn settings(effects: &[Effect]) -> Settings {
    let mut s = Settings::new(effects.iter().map(|&e| class(e)).collect());
    (s.balancers, s.limits.cancel, s.limits.probes) = (2, true, true);
    (s.rules.initial_capacity_share, s.rules.warm_up_time) = (0.2, 20 * SECOND);
    s
}

/// A keyed effect whose servers deduplicate within a cell, for one second.
pub const KEYED_CELL: Effect = Effect::Keyed { group: DedupGroup::Cell, window: SECOND };

/// An attempt in flight.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub number: u32,
    pub server: ServerId,
    pub sent_at: Micros,
    pub limit: Micros,
}

/// A request without a final answer.
struct OpenRequest {
    class: usize,
    deadline: Micros,
    attempts: u32,
    /// Time and server of the earliest attempt that may have run.
    first_ran: Option<(Micros, ServerId)>,
}

/// Runs a balancer against simulated servers; panics if an action breaks a rule.
pub struct Simulation {
    pub now: Micros,
    pub balancer: Balancer,
    pub settings: Settings,
    pub in_flight: Vec<Attempt>,
    pub timers: BTreeSet<(Micros, u64, u64)>,
    /// Number of attempts sent, by server.
    pub attempts: BTreeMap<ServerId, u32>,
    pub refused: Vec<RequestId>,
    pub failed: Vec<RequestId>,
    pub discovery_requests: u32,
    /// All actions with their times.
    pub trace: Vec<(Micros, Action)>,
    open: BTreeMap<RequestId, OpenRequest>,
    servers: BTreeMap<ServerId, ServerEntry>,
    /// Servers that are draining or gone according to the lists so far.
    unavailable: BTreeSet<ServerId>,
    next_id: u64,
}

/// A simulation of `servers` servers that started long ago.
pub fn simulation(effects: &[Effect], servers: u32) -> Simulation {
    Simulation::new(settings(effects), (0..servers).map(ServerEntry::new).collect(), 7)
}

/// Serves `n` requests of the class one after another, each with a latency of `latency`.
pub fn serve_sequentially(sim: &mut Simulation, class: usize, n: usize, latency: u64) {
    for _ in 0..n {
        sim.request(class);
        let until = sim.now + latency + MS;
        sim.run(until, |_| Some((latency, Outcome::Ok)));
    }
}

impl Simulation {
    pub fn new(settings: Settings, servers: Vec<ServerEntry>, seed: u64) -> Simulation {
        let balancer = Balancer::new(settings.clone(), seed).expect("valid settings");
        let mut sim = Simulation {
            now: 1_000 * SECOND,
            balancer,
            settings,
            in_flight: Vec::new(),
            timers: BTreeSet::new(),
            attempts: BTreeMap::new(),
            refused: Vec::new(),
            failed: Vec::new(),
            discovery_requests: 0,
            trace: Vec::new(),
            open: BTreeMap::new(),
            servers: BTreeMap::new(),
            unavailable: BTreeSet::new(),
            next_id: 0,
        };
        sim.update_servers(ListKind::Stale, servers);
        sim
    }

    /// Delivers an event to the balancer, and checks and records its actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for &action in &actions {
            self.trace.push((self.now, action));
            self.check(action);
        }
        actions
    }

    /// Delivers a list of servers.
    pub fn update_servers(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            self.unavailable.extend(self.servers.keys());
        }
        for e in &entries {
            self.servers.insert(e.id, e.clone());
            if e.state == ServerState::Ready {
                self.unavailable.remove(&e.id);
            } else {
                self.unavailable.insert(e.id);
            }
        }
        self.handle(Event::Servers { kind, entries })
    }

    /// Sends a request of the class with its full deadline.
    pub fn request(&mut self, class: usize) -> RequestId {
        let left = self.settings.classes[class].deadline;
        self.request_with_time_left(class, left)
    }

    pub fn request_with_time_left(&mut self, class: usize, time_left: Micros) -> RequestId {
        self.request_with_work(class, time_left, None)
    }

    pub fn request_with_work(&mut self, class: usize, time_left: Micros, work: Option<Micros>) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.open
            .insert(id, OpenRequest { class, deadline: self.now + time_left, attempts: 0, first_ran: None });
        self.handle(Event::Request { id, class, time_left, tenant: None, work, retry: false });
        id
    }

    /// Ends an attempt in flight.
    pub fn end_attempt(&mut self, attempt: &Attempt, outcome: Outcome) -> Vec<Action> {
        self.in_flight.retain(|o| (o.request, o.number) != (attempt.request, attempt.number));
        let mut closed = outcome == Outcome::Ok;
        match self.open.get_mut(&attempt.request) {
            None => closed = true,
            Some(_) if closed => {
                self.open.remove(&attempt.request);
            }
            Some(open) if !outcome.never_ran() => {
                open.first_ran = open.first_ran.or(Some((attempt.sent_at, attempt.server)))
            }
            Some(_) => {}
        }
        let latency = self.now - attempt.sent_at;
        let (request, attempt, server) = (attempt.request, attempt.number, attempt.server);
        self.handle(Event::Outcome { request, attempt, server, outcome, latency, closed, load: None })
    }

    /// Starts a streamed answer; the request needs no further answer.
    pub fn first_byte(&mut self, attempt: &Attempt) {
        self.open.remove(&attempt.request);
        self.handle(Event::FirstByte { request: attempt.request, attempt: attempt.number });
    }

    /// Disconnects the client of a request.
    pub fn client_gone(&mut self, request: RequestId) {
        self.open.remove(&request);
        self.handle(Event::ClientGone { request });
    }

    pub fn is_open(&self, request: RequestId) -> bool {
        self.open.contains_key(&request)
    }

    pub fn open_requests(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Advances to `until`, firing timers and ending attempts. `served` returns the time after which a server ends an
    /// attempt, and how; `None` if it never does. An attempt times attempt at its limit.
    pub fn run(&mut self, until: Micros, mut served: impl FnMut(&Attempt) -> Option<(Micros, Outcome)>) {
        loop {
            let timer = self.timers.first().map(|t| t.0);
            let ends = |o: &Attempt, served: &mut dyn FnMut(&Attempt) -> Option<(Micros, Outcome)>| {
                match served(o) {
                    Some((after, outcome)) if after <= o.limit => (o.sent_at + after, outcome),
                    _ => (o.sent_at + o.limit, Outcome::TimedOut),
                }
            };
            let end =
                self.in_flight.iter().map(|o| (ends(o, &mut served), o.clone())).min_by_key(|(e, _)| e.0);
            match (timer, end) {
                (Some(t), e) if t <= until && e.as_ref().is_none_or(|((at, _), _)| t <= *at) => {
                    self.now = self.now.max(t);
                    let (_, _, token) = self.timers.pop_first().expect("timer is set");
                    self.handle(Event::Timer { token });
                }
                (_, Some(((at, outcome), attempt))) if at <= until => {
                    self.now = self.now.max(at);
                    self.end_attempt(&attempt, outcome);
                }
                _ => break,
            }
        }
        self.now = until;
        let overdue: Vec<_> = self.open.iter().filter(|(_, o)| o.deadline + 20 * MS < until).collect();
        assert!(overdue.is_empty(), "{} requests without a final answer", overdue.len());
    }

    fn check(&mut self, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.check_send(request, server, limit),
            Action::Refuse { request, .. } => {
                let open = self.open.remove(&request).expect("refused a request that is not open");
                let repeatable = matches!(
                    self.settings.classes[open.class].effect,
                    Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. }
                );
                let in_flight = self.in_flight.iter().any(|o| o.request == request);
                assert!(
                    repeatable || (open.first_ran.is_none() && !in_flight),
                    "refused a request that may have run"
                );
                self.refused.push(request);
            }
            Action::Fail { request } => {
                self.open.remove(&request).expect("failed a request that is not open");
                self.failed.push(request);
            }
            Action::Timer { delay, token } => {
                self.next_id += 1;
                self.timers.insert((self.now + delay.max(1), self.next_id, token));
            }
            Action::Watch | Action::Fetch => self.discovery_requests += 1,
            Action::CloseIdle { server } => {
                assert!(self.servers.contains_key(&server), "closed idle connections to an unknown server")
            }
            Action::Probe { .. } => assert!(self.settings.limits.probes, "sent a probe without permission"),
            Action::Cancel { .. } => {
                assert!(self.settings.limits.cancel, "cancelled an attempt without permission")
            }
        }
    }

    fn check_send(&mut self, request: RequestId, server: ServerId, limit: Micros) {
        let now = self.now;
        assert!(!self.unavailable.contains(&server), "sent to a server that is draining or gone");
        let to = &self.servers[&server];
        let in_flight = self.in_flight.iter().filter(|o| o.request == request).count();
        let open = self.open.get_mut(&request).expect("sent for a request that is not open");
        assert!(self.settings.limits.concurrent_attempts || in_flight == 0, "two attempts in flight at once");
        assert!(open.attempts < self.settings.limits.max_attempts, "too many attempts");
        assert!(now + limit <= open.deadline, "the limit of an attempt is after the deadline of its request");
        if let Some((at, first)) = open.first_ran {
            let from = &self.servers[&first];
            match self.settings.classes[open.class].effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("an unsafe request that may have run was sent again"),
                Effect::Keyed { group, window } => {
                    assert!(now < at + window, "sent again after the deduplication window");
                    assert!(
                        match group {
                            DedupGroup::All => true,
                            DedupGroup::Zone => from.zone == to.zone,
                            DedupGroup::Cell => from.cell == to.cell,
                        },
                        "sent again outside the deduplication group"
                    );
                }
            }
        }
        let attempt = open.attempts;
        open.attempts += 1;
        *self.attempts.entry(server).or_default() += 1;
        self.in_flight.push(Attempt { request, number: attempt, server, sent_at: now, limit });
    }
}
