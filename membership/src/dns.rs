//! Following a name in the DNS: A and AAAA (RFC 1035, RFC 3596) or SRV (RFC 2782), asked again as its records' time to
//! live runs out. No I/O, time as an argument.
//!
//! The DNS tells no order, no revision and sometimes only a part of what there is: a member that is missing in an answer
//! is out only when the next answer misses it too. No such name and no records are an empty view, which empties no pool
//! ([`doubt`](crate::doubt)); servers that fail or say nothing leave the last view standing.

pub mod line;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use finchshift::Micros;

use crate::backoff::Backoff;
use crate::source::{Machine, Outbox};
use crate::view::{Body, Member, Node, Revision, Standing};

/// An answer that misses a member must be followed by one more that does.
const MISSED: u32 = 2;

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Name {
    /// Addresses; all members listen on this port.
    Addresses(String, u16),
    /// Services with their targets, ports, priorities and weights.
    Services(String),
}

/// What a source at the DNS is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// What is asked for.
    pub name: Name,
    /// The zone its members are in.
    pub zone: String,
    /// How many balancers ask the same servers.
    pub instances: u32,
    /// Questions a second that they may ask together after a failure.
    pub rate: f64,
    /// Records live no shorter than this, whatever they say.
    pub least: Micros,
    /// And no longer.
    pub most: Micros,
    /// How long an answer may take.
    pub answer: Micros,
}

/// A question.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its number.
    pub call: u64,
    /// What is asked for; nothing where the call is only to be left.
    pub name: Option<Name>,
}

/// A record, with its target's address.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The target's name; none for an address record.
    pub target: Option<String>,
    /// Its address.
    pub address: SocketAddr,
    /// The lowest are used first.
    pub priority: u16,
    /// Its part among those of its priority.
    pub weight: u16,
}

/// What came back.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Told {
    /// Records, none where there is no such name, and how long they live.
    Answer { call: u64, records: Vec<Record>, ttl: Micros },
    /// The servers failed.
    Failed { call: u64, why: String },
}

enum Phase {
    Pause { until: Micros },
    Asked { call: u64, until: Micros },
}

/// A source at the DNS.
pub struct Dns {
    settings: Settings,
    phase: Phase,
    out: Outbox<Ask>,
    backoff: Backoff,
    rng: fastrand::Rng,
    answers: u64,
    /// Members, and how many answers have missed each in a row.
    known: BTreeMap<String, (Member, u32)>,
}

impl Dns {
    /// Begins at `now`.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Dns {
        Dns {
            backoff: Backoff::new(settings.instances, settings.rate),
            phase: Phase::Pause { until: now },
            out: Outbox::default(),
            rng: fastrand::Rng::with_seed(seed),
            answers: 0,
            known: BTreeMap::new(),
            settings,
        }
    }

    fn members(&self, records: Vec<Record>) -> BTreeMap<String, Member> {
        let first = records.iter().map(|r| r.priority).min().unwrap_or(0);
        let mut members = BTreeMap::new();
        let several = |target: &str, port: u16, ip: IpAddr| {
            records.iter().any(|r| {
                r.target.as_deref() == Some(target) && r.address.port() == port && r.address.ip() != ip
            })
        };
        for record in records.iter().filter(|r| r.priority == first) {
            let (ip, port) = (record.address.ip(), record.address.port());
            // A target that moves is the same member at another address; one with several addresses is several.
            let identity = match &record.target {
                Some(target) if several(target, port, ip) => format!("{target}:{port}/{ip}"),
                Some(target) => format!("{target}:{port}"),
                None => record.address.to_string(),
            };
            let node = Node {
                identity: identity.clone(),
                address: record.address,
                zone: self.settings.zone.clone(),
                kind: String::new(),
                cell: 0,
                // A weight of 0 is a small chance, not none (RFC 2782).
                weight: if record.target.is_none() { 1.0 } else { f64::from(record.weight.max(1)) },
                started: None,
            };
            members.insert(identity, Member { node, standing: Standing::Serving, written: 0 });
        }
        members
    }

    fn answer(&mut self, now: Micros, records: Vec<Record>, ttl: Micros) {
        let members = self.members(records);
        let mut known = BTreeMap::new();
        for (identity, (member, missed)) in std::mem::take(&mut self.known) {
            if !members.contains_key(&identity) && missed + 1 < MISSED {
                known.insert(identity, (member, missed + 1));
            }
        }
        known.extend(members.into_iter().map(|(identity, member)| (identity, (member, 0))));
        self.known = known;
        self.answers += 1;
        self.backoff.reset();
        self.out.confirmed(now);
        let body = Body::Whole(self.known.values().map(|(member, _)| member.clone()).collect());
        self.out.tell(Revision { epoch: 0, number: self.answers }, body);
        let ttl = ttl.clamp(self.settings.least, self.settings.most.max(self.settings.least));
        // A little later, never sooner, so that balancers that began together do not stay together.
        self.phase = Phase::Pause { until: now + ttl + self.rng.u64(..=ttl / 10) };
    }

    fn fail(&mut self, now: Micros, why: String) {
        self.out.health.trouble = Some(why);
        let pause = self.backoff.pause(&mut self.rng).max(self.settings.least / 2);
        self.phase = Phase::Pause { until: now + pause };
    }
}

impl Machine for Dns {
    type Ask = Ask;
    type Told = Told;

    fn outbox(&mut self) -> &mut Outbox<Ask> {
        &mut self.out
    }

    fn due(&self) -> Micros {
        match self.phase {
            Phase::Pause { until } | Phase::Asked { until, .. } => until,
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < self.due() {
            return;
        }
        match self.phase {
            Phase::Pause { .. } => {
                let call = self.out.call();
                self.phase = Phase::Asked { call, until: now + self.settings.answer };
                self.out.ask(Ask { call, name: Some(self.settings.name.clone()) });
            }
            Phase::Asked { call, .. } => {
                self.out.ask(Ask { call, name: None });
                self.fail(now, "no answer in time".to_owned());
            }
        }
    }

    fn told(&mut self, now: Micros, told: Told) {
        let Phase::Asked { call: under_way, .. } = self.phase else { return };
        match told {
            Told::Answer { call, records, ttl } if call == under_way => self.answer(now, records, ttl),
            Told::Failed { call, why } if call == under_way => self.fail(now, why),
            _ => {}
        }
    }
}
