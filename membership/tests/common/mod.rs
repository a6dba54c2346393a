//! Simulates an etcd source and a registry with three members that lag, fail, compact, fragment responses and fail over, with a
//! seeded random generator and emulated time. The view of the source is compared with the history of the registry.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;

use finchshift::{Micros, ServerState};
use sloeline_membership::entry;
use sloeline_membership::etcd::{Command, Etcd, Event, Header, KeyValue, Reply, Settings};
use sloeline_membership::merge::Members;
use sloeline_membership::plausibility::PlausibilityRules;
use sloeline_membership::source::SourceProtocol;
use sloeline_membership::view::{MemberStatus, Node};
use sloeline_standin::keys::{Changed, Pair, Store};

pub const PREFIX: &str = "/p/";
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// Returns a seed from the environment or a random one, and prints it.
pub fn seed() -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={seed}");
    seed
}

pub fn settings() -> Settings {
    Settings {
        prefix: PREFIX.to_owned(),
        endpoints: 3,
        instances: 1,
        fleet_call_rate: 100.0,
        check_interval: 5 * SECOND,
        max_watch_lag: SECOND,
        response_timeout: 3 * SECOND,
        acceptance_delay: 30 * SECOND,
    }
}

pub fn node(name: &str, port: u16) -> Node {
    Node {
        identity: name.to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "z".to_owned(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        started: Some(SECOND),
    }
}

pub fn key(name: &str) -> String {
    format!("{PREFIX}nodes/{name}")
}

pub fn drain(name: &str) -> String {
    format!("{PREFIX}drains/{name}")
}

pub fn value(name: &str, status: MemberStatus) -> Vec<u8> {
    entry::write(&node(name, 80), status)
}

fn pair(key: &[u8], p: &Pair) -> KeyValue {
    KeyValue { key: key.to_vec(), value: p.value.clone(), written: p.written, made: p.made, lease: p.lease }
}

fn event(c: &Changed) -> Event {
    let gone = KeyValue { key: c.key.clone(), written: c.revision, ..KeyValue::default() };
    Event {
        deleted: c.now.is_none(),
        now: c.now.as_ref().map_or(gone, |p| pair(&c.key, p)),
        before: c.before.as_ref().map(|p| pair(&c.key, p)),
    }
}

/// Faults of a member of the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// It fails all calls, and its watches break.
    pub down: bool,
    /// It accepts calls and never responds.
    pub silent: bool,
    /// Its watches stay open without events or progress notifications.
    pub deaf: bool,
    /// It knows no later revision than this one, but responds as if it were the newest.
    pub behind: Option<i64>,
}

struct Watch {
    endpoint: usize,
    next: i64,
    from: Vec<u8>,
    end: Vec<u8>,
}

/// The simulated source and registry.
pub struct World {
    pub now: Micros,
    pub store: Store,
    pub faults: [Fault; 3],
    pub etcd: Etcd,
    pub members: Members,
    /// The state of each member as it was passed to the engine.
    pub told: BTreeMap<String, ServerState>,
    /// Replies in transit, by the time of their arrival.
    answers: BTreeMap<(Micros, u64), Reply>,
    sent: u64,
    watches: BTreeMap<u64, Watch>,
    pub rng: fastrand::Rng,
    /// Number of calls by kind: ranges, watches, checks, leases.
    pub calls: [u64; 4],
    /// How often changes were passed to the engine.
    pub tellings: u64,
    /// Additional delay of replies.
    pub slow: Micros,
    /// Probability that a response is fragmented; half of it is the probability that it breaks off between fragments.
    pub fragments: f64,
}

impl World {
    pub fn with(seed: u64, settings: Settings, rules: PlausibilityRules) -> World {
        let now = 1_000 * SECOND;
        World {
            now,
            store: Store::new(7),
            faults: [Fault::default(); 3],
            etcd: Etcd::new(now, settings, seed),
            members: Members::new(&["etcd".to_owned()], &rules),
            told: BTreeMap::new(),
            answers: BTreeMap::new(),
            sent: 0,
            watches: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed ^ 0x5eed),
            calls: [0; 4],
            tellings: 0,
            slow: 0,
            fragments: 0.0,
        }
    }

    fn send(&mut self, told: Reply) {
        self.sent += 1;
        // Replies arrive in the order in which they were sent.
        let delay = self.slow + 200 + self.rng.u64(..2 * MS);
        let last = self.answers.keys().next_back().map_or(0, |(at, _)| *at);
        self.answers.insert(((self.now + delay).max(last), self.sent), told);
    }

    fn seen(&self, endpoint: usize) -> i64 {
        self.faults[endpoint].behind.map_or(self.store.revision, |b| b.min(self.store.revision))
    }

    fn header(&self, endpoint: usize) -> Header {
        Header { cluster: self.store.cluster, revision: self.seen(endpoint) }
    }

    /// Sends the pending events to all watches.
    pub fn push(&mut self) {
        let mut out = Vec::new();
        for (call, watch) in &mut self.watches {
            let fault = self.faults[watch.endpoint];
            let upto = fault.behind.map_or(self.store.revision, |b| b.min(self.store.revision));
            if fault.down || fault.deaf || watch.next > upto {
                continue;
            }
            let header = Header { cluster: self.store.cluster, revision: upto };
            let events: Vec<Event> = self
                .store
                .since(&watch.from, &watch.end, watch.next)
                .filter(|c| c.revision <= upto)
                .map(event)
                .collect();
            watch.next = upto + 1;
            if events.is_empty() {
                continue;
            }
            let mut parts: Vec<Vec<Event>> = vec![events];
            if self.rng.f64() < self.fragments {
                let whole = parts.remove(0);
                parts = whole.chunks(1 + self.rng.usize(..2)).map(<[Event]>::to_vec).collect();
            }
            let last = parts.len() - 1;
            for (n, events) in parts.into_iter().enumerate() {
                if n > 0 && self.rng.f64() < self.fragments / 2.0 {
                    out.push((
                        *call,
                        Reply::Failed { call: *call, why: "broken off".into(), compacted: false },
                    ));
                    break;
                }
                let fragment = n < last;
                let told =
                    Reply::Watch { call: *call, header, canceled: false, compacted: 0, fragment, events };
                out.push((*call, told));
            }
        }
        for (call, told) in out {
            if matches!(told, Reply::Failed { .. }) {
                self.watches.remove(&call);
            }
            self.send(told);
        }
    }

    /// Sends all events since a revision to every watch again.
    pub fn repeat(&mut self, from: i64) {
        self.watches.values_mut().for_each(|watch| watch.next = from);
        self.push();
    }

    /// Sets the faults of a member. The watches of a member that goes down break.
    pub fn fault(&mut self, endpoint: usize, fault: Fault) {
        self.faults[endpoint] = fault;
        if fault.down {
            let broken: Vec<u64> =
                self.watches.iter().filter(|(_, w)| w.endpoint == endpoint).map(|(c, _)| *c).collect();
            for call in broken {
                self.watches.remove(&call);
                self.send(Reply::Failed { call, why: "down".into(), compacted: false });
            }
        }
        self.push();
    }

    fn answer(&mut self, command: Command) {
        if let Command::Range { endpoint, count_only: false, .. } = &command
            && self.faults[*endpoint].silent
        {
            self.calls[0] += 1;
            return;
        }
        let failed = |call, compacted| Reply::Failed { call, why: "failed".into(), compacted };
        match command {
            Command::Range { call, endpoint, from, end, revision, limit, count_only } => {
                self.calls[if count_only { 2 } else { 0 }] += 1;
                if self.faults[endpoint].down {
                    return self.send(failed(call, false));
                }
                let upto = self.seen(endpoint);
                let at = if revision == 0 { upto } else { revision };
                let header = self.header(endpoint);
                match self.store.range(&from, &end, at) {
                    None => self.send(failed(call, true)),
                    Some(all) => {
                        let more = all.len() > limit as usize;
                        let kvs = all.iter().take(limit as usize).map(|(k, p)| pair(k, p));
                        let kvs = if count_only { Vec::new() } else { kvs.collect() };
                        self.send(Reply::Range { call, header, kvs, more });
                    }
                }
            }
            Command::Watch { call, endpoint, from, end, start } => {
                self.calls[1] += 1;
                if self.faults[endpoint].down {
                    return self.send(failed(call, false));
                }
                let header = self.header(endpoint);
                let compacted = if start <= self.store.compacted { self.store.compacted } else { 0 };
                let (canceled, events, fragment) = (compacted > 0, Vec::new(), false);
                self.send(Reply::Watch { call, header, canceled, compacted, fragment, events });
                if !canceled {
                    self.watches.insert(call, Watch { endpoint, next: start, from, end });
                    self.push();
                }
            }
            Command::Progress { call } => {
                let Some(watch) = self.watches.get(&call) else { return };
                if self.faults[watch.endpoint].deaf {
                    return;
                }
                let header = self.header(watch.endpoint);
                let told = Reply::Watch {
                    call,
                    header,
                    canceled: false,
                    compacted: 0,
                    fragment: false,
                    events: Vec::new(),
                };
                self.send(told);
            }
            Command::Lease { call, endpoint, lease } => {
                self.calls[3] += 1;
                let ttl = if self.store.lives(lease) { 9 } else { -1 };
                let down = self.faults[endpoint].down;
                self.send(if down { failed(call, false) } else { Reply::Lease { call, ttl } });
            }
            Command::Leave { call } => {
                self.watches.remove(&call);
            }
        }
    }

    /// Executes the commands of the source, and passes its updates on.
    pub fn settle(&mut self) {
        while let Some(command) = self.etcd.next_command() {
            self.answer(command);
        }
        while let Some(update) = self.etcd.next_update() {
            let taken = self.members.apply(self.now, 0, update);
            assert_eq!(taken, Ok(()), "the machine itself never goes back");
        }
        self.members.health(0, self.etcd.health().clone());
        self.members.tick(self.now);
        if let Some((kind, list)) = self.members.changes(self.now) {
            self.tellings += 1;
            if kind == finchshift::ListKind::Complete {
                self.told.clear();
            }
            for l in list {
                if l.state == ServerState::Gone {
                    self.told.remove(&l.instance);
                } else {
                    self.told.insert(l.instance, l.state);
                }
            }
        }
    }

    /// Time of the next event.
    pub fn due(&self) -> Micros {
        let answer = self.answers.keys().next().map(|(at, _)| *at);
        let due = [Some(self.etcd.due()), answer, self.members.due()];
        due.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// Executes the next event.
    pub fn step(&mut self) {
        self.now = self.due().max(self.now);
        if let Some(entry) = self.answers.first_entry().filter(|e| e.key().0 <= self.now) {
            let told = entry.remove();
            self.etcd.handle_reply(self.now, told);
        }
        self.etcd.tick(self.now);
        self.settle();
    }

    /// Executes all events until a time, and calls `each` after every one.
    pub fn until(&mut self, at: Micros, mut each: impl FnMut(&World)) {
        while self.due() <= at {
            self.step();
            each(self);
        }
        self.now = self.now.max(at);
        self.settle();
    }

    pub fn serving(&self) -> Vec<&str> {
        let ready = self.told.iter().filter(|(_, state)| **state == ServerState::Ready);
        ready.map(|(name, _)| name.as_str()).collect()
    }

    /// The nodes in the registry at a revision, and whether each was to serve.
    pub fn truth(&self, revision: i64) -> BTreeMap<String, bool> {
        let mut past = self.store.clone();
        past.compacted = 0;
        let (from, end) = (PREFIX.as_bytes(), b"/p0");
        let all = past.range(from, end, revision).unwrap_or_default();
        let name = |k: &[u8], kind: &str| {
            let text = String::from_utf8_lossy(k).into_owned();
            text.strip_prefix(&format!("{PREFIX}{kind}/")).map(str::to_owned)
        };
        let drained: Vec<String> = all.iter().filter_map(|(k, _)| name(k, "drains")).collect();
        let mut truth = BTreeMap::new();
        for (k, p) in &all {
            if let Some(id) = name(k, "nodes")
                && let Ok(member) = entry::read(&id, &p.value, 0)
            {
                let serves = member.status == MemberStatus::Serving && !drained.contains(&id);
                truth.insert(id, serves);
            }
        }
        truth
    }
}

/// Invariants that are checked after every event.
pub struct Watcher {
    pub seed: u64,
    highest: i64,
    pub epoch: u64,
    /// Since when no member of the registry was free of faults for long enough to be reached by the source.
    unwell: Option<Micros>,
    well: Option<Micros>,
}

impl Watcher {
    pub fn new(seed: u64) -> Watcher {
        Watcher { seed, highest: 0, epoch: 0, unwell: None, well: None }
    }

    /// Checks that the view equals the registry at the applied revision: no drain is missed, and no removed node returns. The
    /// view may go back only in another epoch, after the registry was unreachable for long. Then nodes that were drained before
    /// may stay out, but no node serves that does not serve in the registry.
    pub fn holds(&mut self, world: &World) {
        let seed = self.seed;
        if world.faults.contains(&Fault::default()) {
            let since = *self.well.get_or_insert(world.now);
            self.unwell = self.unwell.filter(|_| world.now < since + 30 * SECOND);
        } else {
            self.well = None;
            self.unwell.get_or_insert(world.now);
        }
        let Some(applied) = world.etcd.applied() else { return };
        let epoch = world.members.sources().next().and_then(|s| s.2).map_or(0, |r| r.epoch);
        if epoch > self.epoch {
            // The last confirmed response may have arrived just before.
            let away = self.unwell.map_or(0, |since| world.now - since) + 10 * SECOND;
            assert!(away >= settings().acceptance_delay, "SEED={seed}: another epoch after {away} us");
            (self.epoch, self.highest) = (epoch, 0);
        }
        assert!(
            applied >= self.highest,
            "SEED={seed}: the view went back from {} to {applied}",
            self.highest
        );
        self.highest = applied;
        let truth = world.truth(applied);
        let ready = |state: ServerState| state == ServerState::Ready;
        if epoch == 0 {
            let all = world.members.all();
            let view: BTreeMap<String, bool> =
                all.into_iter().map(|v| (v.listed.instance, ready(v.listed.state))).collect();
            assert_eq!(view, truth, "SEED={seed}: at revision {applied}");
        }
        for (name, state) in &world.told {
            assert!(
                !ready(*state) || truth.get(name) == Some(&true),
                "SEED={seed}: {name} takes requests at {applied}"
            );
        }
    }
}
