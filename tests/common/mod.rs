//! A small world for the balancer: settings, servers, and a checker that holds every action against the rules.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use finchshift::{
    Action, Balancer, Class, DedupGroup, Effect, Event, ListKind, Micros, Outcome, RequestId, ServerEntry,
    ServerId, ServerState, Settings,
};

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        latency_target: 500 * MS,
        target_per_work: 0.0,
        deadline: 2 * SECOND,
        value: 1.0,
        late_value_ratio: 0.0,
        stream: false,
    }
}

pub fn settings(effects: &[Effect]) -> Settings {
    let mut s = Settings::new(effects.iter().map(|&e| class(e)).collect());
    (s.balancers, s.limits.cancel, s.limits.probes) = (2, true, true);
    (s.rules.initial_capacity_share, s.rules.warm_up_time) = (0.2, 20 * SECOND);
    s
}

pub const KEYED_CELL: Effect = Effect::Keyed { group: DedupGroup::Cell, window: SECOND };

/// An attempt that is out.
#[derive(Clone, Debug)]
pub struct Out {
    pub request: RequestId,
    pub attempt: u32,
    pub server: ServerId,
    pub sent: Micros,
    pub limit: Micros,
}

struct Open {
    class: usize,
    deadline: Micros,
    attempts: u32,
    /// Earliest attempt that may have run: when and where.
    ran: Option<(Micros, ServerId)>,
}

/// Runs a balancer and panics as soon as an action breaks a rule.
pub struct World {
    pub now: Micros,
    pub balancer: Balancer,
    pub settings: Settings,
    pub out: Vec<Out>,
    pub timers: BTreeSet<(Micros, u64, u64)>,
    pub sends: BTreeMap<ServerId, u32>,
    pub refused: Vec<RequestId>,
    pub failed: Vec<RequestId>,
    pub asked: u32,
    pub trace: Vec<(Micros, Action)>,
    open: BTreeMap<RequestId, Open>,
    servers: BTreeMap<ServerId, ServerEntry>,
    told_off: BTreeSet<ServerId>,
    next: u64,
}

/// A world of so many servers that started long ago.
pub fn world(effects: &[Effect], servers: u32) -> World {
    World::new(settings(effects), (0..servers).map(ServerEntry::new).collect(), 7)
}

/// Serves `n` requests of the class one after another, each in `took`.
pub fn warm_up(world: &mut World, class: usize, n: usize, took: u64) {
    for _ in 0..n {
        world.request(class);
        let until = world.now + took + MS;
        world.run(until, |_| Some((took, Outcome::Ok)));
    }
}

impl World {
    pub fn new(settings: Settings, servers: Vec<ServerEntry>, seed: u64) -> World {
        let balancer = Balancer::new(settings.clone(), seed).expect("the settings make sense");
        let mut world = World {
            now: 1_000 * SECOND,
            balancer,
            settings,
            out: Vec::new(),
            timers: BTreeSet::new(),
            sends: BTreeMap::new(),
            refused: Vec::new(),
            failed: Vec::new(),
            asked: 0,
            trace: Vec::new(),
            open: BTreeMap::new(),
            servers: BTreeMap::new(),
            told_off: BTreeSet::new(),
            next: 0,
        };
        world.list(ListKind::Stale, servers);
        world
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for &action in &actions {
            self.trace.push((self.now, action));
            self.check(action);
        }
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<ServerEntry>) -> Vec<Action> {
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            self.told_off.extend(self.servers.keys());
        }
        for e in &entries {
            self.servers.insert(e.id, e.clone());
            if e.state == ServerState::Ready {
                self.told_off.remove(&e.id);
            } else {
                self.told_off.insert(e.id);
            }
        }
        self.handle(Event::Servers { kind, entries })
    }

    pub fn request(&mut self, class: usize) -> RequestId {
        let left = self.settings.classes[class].deadline;
        self.request_with(class, left)
    }

    pub fn request_with(&mut self, class: usize, time_left: Micros) -> RequestId {
        self.request_hinted(class, time_left, None)
    }

    pub fn request_hinted(&mut self, class: usize, time_left: Micros, work: Option<Micros>) -> RequestId {
        let id = self.next;
        self.next += 1;
        self.open.insert(id, Open { class, deadline: self.now + time_left, attempts: 0, ran: None });
        self.handle(Event::Request { id, class, time_left, tenant: None, work, retry: false });
        id
    }

    /// Ends an attempt that is out.
    pub fn end(&mut self, out: &Out, outcome: Outcome) -> Vec<Action> {
        self.out.retain(|o| (o.request, o.attempt) != (out.request, out.attempt));
        let mut closed = outcome == Outcome::Ok;
        match self.open.get_mut(&out.request) {
            None => closed = true,
            Some(_) if closed => {
                self.open.remove(&out.request);
            }
            Some(open) if !outcome.never_ran() => open.ran = open.ran.or(Some((out.sent, out.server))),
            Some(_) => {}
        }
        let latency = self.now - out.sent;
        let (request, attempt, server) = (out.request, out.attempt, out.server);
        self.handle(Event::Outcome { request, attempt, server, outcome, latency, closed, load: None })
    }

    /// A streamed answer begins: the attempt is the client's.
    pub fn first_byte(&mut self, out: &Out) {
        self.open.remove(&out.request);
        self.handle(Event::FirstByte { request: out.request, attempt: out.attempt });
    }

    pub fn gone(&mut self, request: RequestId) {
        self.open.remove(&request);
        self.handle(Event::ClientGone { request });
    }

    pub fn is_open(&self, request: RequestId) -> bool {
        self.open.contains_key(&request)
    }

    pub fn open_requests(&self) -> Vec<RequestId> {
        self.open.keys().copied().collect()
    }

    /// Advances to `until`, ringing timers and letting attempts run out; `served` tells how an attempt that has
    /// run for its server's time ends.
    pub fn run(&mut self, until: Micros, mut served: impl FnMut(&Out) -> Option<(Micros, Outcome)>) {
        loop {
            let timer = self.timers.first().map(|t| t.0);
            let ends = |o: &Out, served: &mut dyn FnMut(&Out) -> Option<(Micros, Outcome)>| match served(o) {
                Some((after, outcome)) if after <= o.limit => (o.sent + after, outcome),
                _ => (o.sent + o.limit, Outcome::TimedOut),
            };
            let end = self.out.iter().map(|o| (ends(o, &mut served), o.clone())).min_by_key(|(e, _)| e.0);
            match (timer, end) {
                (Some(t), e) if t <= until && e.as_ref().is_none_or(|((at, _), _)| t <= *at) => {
                    self.now = self.now.max(t);
                    let (_, _, token) = self.timers.pop_first().expect("there is a timer");
                    self.handle(Event::Timer { token });
                }
                (_, Some(((at, outcome), out))) if at <= until => {
                    self.now = self.now.max(at);
                    self.end(&out, outcome);
                }
                _ => break,
            }
        }
        self.now = until;
        let overdue: Vec<_> = self.open.iter().filter(|(_, o)| o.deadline + 20 * MS < until).collect();
        assert!(overdue.is_empty(), "requests without a final answer: {:?}", overdue.len());
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
                let out = self.out.iter().any(|o| o.request == request);
                assert!(repeatable || (open.ran.is_none() && !out), "refused what may have run");
                self.refused.push(request);
            }
            Action::Fail { request } => {
                self.open.remove(&request).expect("failed a request that is not open");
                self.failed.push(request);
            }
            Action::Timer { delay, token } => {
                self.next += 1;
                self.timers.insert((self.now + delay.max(1), self.next, token));
            }
            Action::Watch | Action::Fetch => self.asked += 1,
            Action::CloseIdle { server } => assert!(self.servers.contains_key(&server), "an unknown server"),
            Action::Probe { .. } => assert!(self.settings.limits.probes, "probed where it may not"),
            Action::Cancel { .. } => assert!(self.settings.limits.cancel, "cancelled where it may not"),
        }
    }

    fn check_send(&mut self, request: RequestId, server: ServerId, limit: Micros) {
        let now = self.now;
        assert!(!self.told_off.contains(&server), "sent to a server that drains or is gone");
        let to = &self.servers[&server];
        let out = self.out.iter().filter(|o| o.request == request).count();
        let open = self.open.get_mut(&request).expect("sent for a request that is not open");
        assert!(self.settings.limits.concurrent_attempts || out == 0, "two attempts out at once");
        assert!(open.attempts < self.settings.limits.max_attempts, "too many attempts");
        assert!(now + limit <= open.deadline, "an attempt outlives its request");
        if let Some((at, first)) = open.ran {
            let from = &self.servers[&first];
            match self.settings.classes[open.class].effect {
                Effect::Safe => {}
                Effect::Unsafe => panic!("an unsafe request was sent again"),
                Effect::Keyed { group, window } => {
                    assert!(now < at + window, "sent again after the group has forgotten it");
                    assert!(
                        match group {
                            DedupGroup::All => true,
                            DedupGroup::Zone => from.zone == to.zone,
                            DedupGroup::Cell => from.cell == to.cell,
                        },
                        "sent again outside the group"
                    );
                }
            }
        }
        let attempt = open.attempts;
        open.attempts += 1;
        *self.sends.entry(server).or_default() += 1;
        self.out.push(Out { request, attempt, server, sent: now, limit });
    }
}
