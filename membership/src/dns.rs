//! Follows a DNS name: A and AAAA (RFC 1035, RFC 3596) or SRV (RFC 2782) records, queried again when their time to live ends.
//! No I/O, time as an argument.
//!
//! The DNS has no orders and no revisions, and some responses are incomplete: a member is removed only when two responses in a
//! row lack it. A name that does not exist or has no records is an empty view, which empties no pool
//! ([`plausibility`](crate::plausibility)). If servers fail or do not respond, the last view remains.

pub mod transport;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

use finchshift::Micros;

use crate::backoff::Backoff;
use crate::source::{Outbox, SourceProtocol};
use crate::view::{Member, MemberStatus, Node, Revision, UpdateContent};

/// Number of responses in a row that must lack a member until it is removed.
const MISSES_BEFORE_REMOVAL: u32 = 2;

/// The queried name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Name {
    /// A name with addresses. All members listen on this port.
    Addresses(String, u16),
    /// A name with SRV records: targets, ports, priorities and weights.
    Services(String),
}

/// Settings of a DNS source.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The queried name.
    pub name: Name,
    /// Zone of the members.
    pub zone: String,
    /// Number of balancers that query the same servers.
    pub instances: u32,
    /// Queries per second that all balancers together may send after a failure.
    pub fleet_call_rate: f64,
    /// Lower limit of the time to live.
    pub min_ttl: Micros,
    /// Upper limit of the time to live.
    pub max_ttl: Micros,
    /// Time limit of a query.
    pub response_timeout: Micros,
}

/// A command to the transport.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Number of the call.
    pub call: u64,
    /// The name to query; `None` to cancel the call.
    pub name: Option<Name>,
}

/// A record with the address of its target.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Name of the target; `None` for an address record.
    pub target: Option<String>,
    /// Address of the target.
    pub address: SocketAddr,
    /// Only the records with the lowest priority are used.
    pub priority: u16,
    /// Weight among the records of the same priority.
    pub weight: u16,
}

/// A reply from the transport.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Reply {
    /// The records, none if the name does not exist, and their time to live.
    Answer { call: u64, records: Vec<Record>, ttl: Micros },
    /// The query failed.
    Failed { call: u64, why: String },
}

enum Phase {
    Pause { until: Micros },
    Waiting { call: u64, until: Micros },
}

/// A DNS source.
pub struct Dns {
    settings: Settings,
    phase: Phase,
    out: Outbox<Command>,
    backoff: Backoff,
    rng: fastrand::Rng,
    answers: u64,
    /// Members, and the number of responses in a row that lack each.
    known: BTreeMap<String, (Member, u32)>,
}

impl Dns {
    /// Creates a source whose first query is due at `now`.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Dns {
        Dns {
            backoff: Backoff::new(settings.instances, settings.fleet_call_rate),
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
            // A target whose address changes remains the same member. A target with several addresses is several members.
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
                // A weight of 0 means a small probability, not none (RFC 2782).
                weight: if record.target.is_none() { 1.0 } else { f64::from(record.weight.max(1)) },
                started: None,
            };
            members.insert(identity, Member { node, status: MemberStatus::Serving, written: 0 });
        }
        members
    }

    fn answer(&mut self, now: Micros, records: Vec<Record>, ttl: Micros) {
        let members = self.members(records);
        let mut known = BTreeMap::new();
        for (identity, (member, missed)) in std::mem::take(&mut self.known) {
            if !members.contains_key(&identity) && missed + 1 < MISSES_BEFORE_REMOVAL {
                known.insert(identity, (member, missed + 1));
            }
        }
        known.extend(members.into_iter().map(|(identity, member)| (identity, (member, 0))));
        self.known = known;
        self.answers += 1;
        self.backoff.reset();
        self.out.confirmed(now);
        let body = UpdateContent::Snapshot(self.known.values().map(|(member, _)| member.clone()).collect());
        self.out.push_update(Revision { epoch: 0, number: self.answers }, body);
        let ttl = ttl.clamp(self.settings.min_ttl, self.settings.max_ttl.max(self.settings.min_ttl));
        // A random delay, so that balancers that started together do not query at the same time forever.
        self.phase = Phase::Pause { until: now + ttl + self.rng.u64(..=ttl / 10) };
    }

    fn fail(&mut self, now: Micros, why: String) {
        self.out.health.trouble = Some(why);
        let pause = self.backoff.pause(&mut self.rng).max(self.settings.min_ttl / 2);
        self.phase = Phase::Pause { until: now + pause };
    }
}

impl SourceProtocol for Dns {
    type Command = Command;
    type Reply = Reply;

    fn outbox(&mut self) -> &mut Outbox<Command> {
        &mut self.out
    }

    fn due(&self) -> Micros {
        match self.phase {
            Phase::Pause { until } | Phase::Waiting { until, .. } => until,
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < self.due() {
            return;
        }
        match self.phase {
            Phase::Pause { .. } => {
                let call = self.out.call();
                self.phase = Phase::Waiting { call, until: now + self.settings.response_timeout };
                self.out.push_command(Command { call, name: Some(self.settings.name.clone()) });
            }
            Phase::Waiting { call, .. } => {
                self.out.push_command(Command { call, name: None });
                self.fail(now, "no answer in time".to_owned());
            }
        }
    }

    fn handle_reply(&mut self, now: Micros, reply: Reply) {
        let Phase::Waiting { call: under_way, .. } = self.phase else { return };
        match reply {
            Reply::Answer { call, records, ttl } if call == under_way => self.answer(now, records, ttl),
            Reply::Failed { call, why } if call == under_way => self.fail(now, why),
            _ => {}
        }
    }
}
