//! A world in which an etcd source meets a registry of three members that lags, breaks, compacts, fragments and fails over,
//! all by a seed and in emulated time; what the source says is held against the registry's own past at every event.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::BTreeMap;

use finchshift::{Micros, ServerState};
use sloeline_membership::doubt::Rules;
use sloeline_membership::entry;
use sloeline_membership::etcd::{Ask, Etcd, Event, Header, KeyValue, Settings, Told};
use sloeline_membership::merge::Members;
use sloeline_membership::source::Machine;
use sloeline_membership::view::{Node, Standing};
use sloeline_standin::keys::{Changed, Pair, Store};

pub const PREFIX: &str = "/p/";
pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

/// A seed from the environment, or drawn; printed.
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
        rate: 100.0,
        check: 5 * SECOND,
        patience: SECOND,
        answer: 3 * SECOND,
        believe_after: 30 * SECOND,
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

pub fn value(name: &str, standing: Standing) -> Vec<u8> {
    entry::write(&node(name, 80), standing)
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

/// How a member of the registry behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// It answers nothing, and its watches break.
    pub down: bool,
    /// It takes calls and answers none.
    pub silent: bool,
    /// Its watches stay open and say nothing, not even how far they are.
    pub deaf: bool,
    /// It knows nothing past this revision, and answers all the same as if it were the newest.
    pub behind: Option<i64>,
}

struct Watch {
    endpoint: usize,
    next: i64,
    from: Vec<u8>,
    end: Vec<u8>,
}

/// The world.
pub struct World {
    pub now: Micros,
    pub store: Store,
    pub faults: [Fault; 3],
    pub etcd: Etcd,
    pub members: Members,
    /// What the engine was told.
    pub told: BTreeMap<String, ServerState>,
    /// Answers on their way, by the time at which they arrive.
    answers: BTreeMap<(Micros, u64), Told>,
    sent: u64,
    watches: BTreeMap<u64, Watch>,
    pub rng: fastrand::Rng,
    /// Calls of each kind: ranges of everything, watches, checks, leases.
    pub calls: [u64; 4],
    /// How often the engine was told something.
    pub tellings: u64,
    /// Answers take this much longer.
    pub slow: Micros,
    /// Answers come in pieces, and are broken off in between, with this chance.
    pub fragments: f64,
}

impl World {
    pub fn with(seed: u64, settings: Settings, rules: Rules) -> World {
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

    fn send(&mut self, told: Told) {
        self.sent += 1;
        // In order for each call: later ones are never sooner.
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

    /// The registry's members tell their watches what has happened.
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
                        Told::Failed { call: *call, why: "broken off".into(), compacted: false },
                    ));
                    break;
                }
                let fragment = n < last;
                let told =
                    Told::Watch { call: *call, header, canceled: false, compacted: 0, fragment, events };
                out.push((*call, told));
            }
        }
        for (call, told) in out {
            if matches!(told, Told::Failed { .. }) {
                self.watches.remove(&call);
            }
            self.send(told);
        }
    }

    /// Every watch is told everything again from a revision on.
    pub fn repeat(&mut self, from: i64) {
        self.watches.values_mut().for_each(|watch| watch.next = from);
        self.push();
    }

    /// A member's faults change; one that goes down breaks its watches.
    pub fn fault(&mut self, endpoint: usize, fault: Fault) {
        self.faults[endpoint] = fault;
        if fault.down {
            let broken: Vec<u64> =
                self.watches.iter().filter(|(_, w)| w.endpoint == endpoint).map(|(c, _)| *c).collect();
            for call in broken {
                self.watches.remove(&call);
                self.send(Told::Failed { call, why: "down".into(), compacted: false });
            }
        }
        self.push();
    }

    fn answer(&mut self, ask: Ask) {
        if let Ask::Range { endpoint, count_only: false, .. } = &ask
            && self.faults[*endpoint].silent
        {
            self.calls[0] += 1;
            return;
        }
        let failed = |call, compacted| Told::Failed { call, why: "failed".into(), compacted };
        match ask {
            Ask::Range { call, endpoint, from, end, revision, limit, count_only } => {
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
                        self.send(Told::Range { call, header, kvs, more });
                    }
                }
            }
            Ask::Watch { call, endpoint, from, end, start } => {
                self.calls[1] += 1;
                if self.faults[endpoint].down {
                    return self.send(failed(call, false));
                }
                let header = self.header(endpoint);
                let compacted = if start <= self.store.compacted { self.store.compacted } else { 0 };
                let (canceled, events, fragment) = (compacted > 0, Vec::new(), false);
                self.send(Told::Watch { call, header, canceled, compacted, fragment, events });
                if !canceled {
                    self.watches.insert(call, Watch { endpoint, next: start, from, end });
                    self.push();
                }
            }
            Ask::Progress { call } => {
                let Some(watch) = self.watches.get(&call) else { return };
                if self.faults[watch.endpoint].deaf {
                    return;
                }
                let header = self.header(watch.endpoint);
                let told = Told::Watch {
                    call,
                    header,
                    canceled: false,
                    compacted: 0,
                    fragment: false,
                    events: Vec::new(),
                };
                self.send(told);
            }
            Ask::Lease { call, endpoint, lease } => {
                self.calls[3] += 1;
                let ttl = if self.store.lives(lease) { 9 } else { -1 };
                let down = self.faults[endpoint].down;
                self.send(if down { failed(call, false) } else { Told::Lease { call, ttl } });
            }
            Ask::Leave { call } => {
                self.watches.remove(&call);
            }
        }
    }

    /// Takes what the source says and hands it on to the engine's picture.
    pub fn settle(&mut self) {
        while let Some(ask) = self.etcd.ask() {
            self.answer(ask);
        }
        while let Some(news) = self.etcd.news() {
            let taken = self.members.take(self.now, 0, news);
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

    /// The next moment at which something happens by itself.
    pub fn due(&self) -> Micros {
        let answer = self.answers.keys().next().map(|(at, _)| *at);
        let due = [Some(self.etcd.due()), answer, self.members.due()];
        due.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// One step of what happens by itself.
    pub fn step(&mut self) {
        self.now = self.due().max(self.now);
        if let Some(entry) = self.answers.first_entry().filter(|e| e.key().0 <= self.now) {
            let told = entry.remove();
            self.etcd.told(self.now, told);
        }
        self.etcd.tick(self.now);
        self.settle();
    }

    /// Goes on until then; `each` looks after every step.
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

    /// What the registry had at a revision: each node, and whether it was to serve.
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
                let serves = member.standing == Standing::Serving && !drained.contains(&id);
                truth.insert(id, serves);
            }
        }
        truth
    }
}

/// What is looked at after every step.
pub struct Watcher {
    pub seed: u64,
    highest: i64,
    pub epoch: u64,
    /// Since when no member of the registry was as it should be for so long that the source could go round all of them.
    unwell: Option<Micros>,
    well: Option<Micros>,
}

impl Watcher {
    pub fn new(seed: u64) -> Watcher {
        Watcher { seed, highest: 0, epoch: 0, unwell: None, well: None }
    }

    /// The view is the registry's as it was at the revision that the source has applied: no drain is missed, nothing that
    /// was told rises again. It goes back only to another epoch, after the registry was away for long; from then on what
    /// was drained before may stay out, but nothing more than the registry says takes requests.
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
            // The last good answer may have come just before.
            let away = self.unwell.map_or(0, |since| world.now - since) + 10 * SECOND;
            assert!(away >= settings().believe_after, "SEED={seed}: another epoch after {away} us");
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
