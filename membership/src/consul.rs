//! Following a service in Consul through blocking queries of `/v1/health/service/NAME`. No I/O, time as an argument.
//!
//! The rules of Consul's own documentation for blocking queries: the index of an answer is asked with next; one of 0
//! counts as 1; one that goes back is reset to 0; answers that come too fast are slowed down. Beyond those:
//! - an answer whose index goes back is not taken; the next question is a consistent read, which only a leader that still
//!   has its quorum answers, and what that says is another epoch ([`doubt`](crate::doubt));
//! - an answer of a server that knows no leader, or has not heard of it for long, is not taken and asked again as a
//!   consistent read;
//! - a service whose registration was made again counts as started again where it does not say when.

pub mod line;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use finchshift::Micros;
use serde::Deserialize;
use sloeline_settings::setup::ms_to_micros;

use crate::backoff::Backoff;
use crate::entry::MOST_IDENTITY;
use crate::source::{Machine, Outbox};
use crate::view::{Body, Member, Node, Revision, Standing};

/// What a source at Consul is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The service's name.
    pub service: String,
    /// How many endpoints there are.
    pub endpoints: usize,
    /// How many balancers ask the same registry.
    pub instances: u32,
    /// Calls a second that they may make together after a failure.
    pub rate: f64,
    /// How long a question waits for news.
    pub wait: Micros,
    /// How long an answer may take beyond that.
    pub answer: Micros,
    /// Questions are no closer than this.
    pub apart: Micros,
    /// A server that has not heard of its leader for so long is not believed.
    pub most_stale: Micros,
    /// Any server may answer, not only the leader.
    pub stale: bool,
}

/// Who may answer (Consul, consistency modes).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The leader, by its own word.
    Default,
    /// Any server.
    Stale,
    /// The leader, once its quorum has confirmed it.
    Consistent,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Ask {
    /// A question; it waits for an index beyond `index`, unless that is 0.
    Query { call: u64, endpoint: usize, index: u64, wait: Micros, mode: Mode },
    /// Nothing of this call is wanted any more.
    Leave { call: u64 },
}

/// What came back.
#[derive(Clone, Debug)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Told {
    /// An answer.
    Answer {
        /// Of this call.
        call: u64,
        /// `X-Consul-Index`
        index: u64,
        /// `X-Consul-KnownLeader`
        leader: bool,
        /// `X-Consul-LastContact`
        last_contact: Micros,
        /// The service's instances.
        entries: Vec<Entry>,
    },
    /// The call failed.
    Failed {
        /// This one.
        call: u64,
        /// In one line.
        why: String,
    },
}

/// An instance of a service, as `/v1/health/service` has it. What is not read is left out.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Entry {
    /// The machine.
    pub node: Machines,
    /// The instance on it.
    pub service: Service,
    /// Checks of both.
    pub checks: Vec<CheckOf>,
}

/// `Node`
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Machines {
    /// Its name.
    pub node: String,
    /// Its address.
    pub address: String,
    /// What it says of itself.
    pub meta: Option<HashMap<String, String>>,
}

/// `Service`
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Service {
    /// The instance's name on its machine.
    #[serde(rename = "ID")]
    pub id: String,
    /// Where it is, if not at the machine's address.
    pub address: String,
    /// Its port.
    pub port: u16,
    /// What it says of itself: `zone`, `kind`, `cell`, `state`, `started_at_ms`.
    pub meta: Option<HashMap<String, String>>,
    /// Its size.
    pub weights: Weights,
    /// When its registration was made.
    pub create_index: u64,
    /// When it was last changed.
    pub modify_index: u64,
}

/// `Weights`
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Weights {
    /// While all checks pass.
    pub passing: f64,
    /// While one warns.
    pub warning: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { passing: 1.0, warning: 1.0 }
    }
}

/// A check.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct CheckOf {
    /// Its name.
    #[serde(rename = "CheckID")]
    pub check_id: String,
    /// `passing`, `warning` or `critical`.
    pub status: String,
    /// When it last changed.
    pub modify_index: u64,
}

impl Entry {
    /// The same at every balancer.
    fn identity(&self) -> String {
        format!("{}/{}", self.node.node, self.service.id)
    }

    fn standing(&self) -> Standing {
        let critical = |c: &&CheckOf| c.status == "critical";
        let maintenance = |c: &CheckOf| {
            c.check_id == "_node_maintenance" || c.check_id.starts_with("_service_maintenance:")
        };
        if self.checks.iter().filter(critical).any(maintenance) {
            return Standing::Maintenance;
        }
        match self.meta("state") {
            Some("draining") => Standing::Draining,
            Some("maintenance") => Standing::Maintenance,
            _ if self.checks.iter().any(|c| critical(&c)) => Standing::Unhealthy,
            _ => Standing::Serving,
        }
    }

    fn meta(&self, key: &str) -> Option<&str> {
        // The instance's own word before its machine's.
        let own = self.service.meta.as_ref().and_then(|m| m.get(key));
        own.or_else(|| self.node.meta.as_ref().and_then(|m| m.get(key))).map(String::as_str)
    }

    /// As a member; the error is one line.
    fn member(&self) -> Result<Member, String> {
        let identity = self.identity();
        if self.service.id.is_empty() || identity.len() > MOST_IDENTITY {
            return Err(format!(
                "found an identity of {} bytes, expected 1 to {MOST_IDENTITY}",
                identity.len()
            ));
        }
        let host = if self.service.address.is_empty() { &self.node.address } else { &self.service.address };
        let ip: IpAddr = host
            .parse()
            .map_err(|_| format!("{identity}: found address {host:?}, expected an IP address"))?;
        if self.service.port == 0 {
            return Err(format!("{identity}: found port 0, expected 1 to 65535"));
        }
        let warns = self.checks.iter().any(|c| c.status == "warning");
        let weight = if warns { self.service.weights.warning } else { self.service.weights.passing };
        let started = self.meta("started_at_ms").and_then(|t| t.parse::<f64>().ok());
        let node = Node {
            address: SocketAddr::new(ip, self.service.port),
            zone: self.meta("zone").unwrap_or_default().to_owned(),
            kind: self.meta("kind").unwrap_or_default().to_owned(),
            cell: self.meta("cell").and_then(|c| c.parse().ok()).unwrap_or(0),
            weight: if weight.is_finite() && weight > 0.0 { weight } else { 1.0 },
            started: started.filter(|s| s.is_finite() && *s > 0.0).map(ms_to_micros),
            identity,
        };
        let written = self.checks.iter().map(|c| c.modify_index).max().unwrap_or(0);
        Ok(Member { node, standing: self.standing(), written: written.max(self.service.modify_index) })
    }
}

enum Phase {
    Pause { until: Micros },
    Query { call: u64, since: Micros, until: Micros, mode: Mode },
}

/// A source at Consul.
pub struct Consul {
    settings: Settings,
    phase: Phase,
    endpoint: usize,
    out: Outbox<Ask>,
    backoff: Backoff,
    rng: fastrand::Rng,
    epoch: u64,
    /// The index of the view held; 0 where the next question does not wait.
    index: u64,
    /// The index that must not go back.
    highest: u64,
    /// The next question is a consistent read.
    consistent: bool,
    /// What is known of each: its member, and when its registration was made.
    known: HashMap<String, (Member, u64)>,
}

impl Consul {
    /// Begins at `now`.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Consul {
        let mut rng = fastrand::Rng::with_seed(seed);
        Consul {
            endpoint: rng.usize(..settings.endpoints.max(1)),
            backoff: Backoff::new(settings.instances, settings.rate),
            phase: Phase::Pause { until: now },
            out: Outbox::default(),
            rng,
            epoch: 0,
            index: 0,
            highest: 0,
            consistent: false,
            known: HashMap::new(),
            settings,
        }
    }

    /// The index of the newest view taken.
    pub fn taken(&self) -> u64 {
        self.highest
    }

    fn query(&mut self, now: Micros) {
        let (call, endpoint, index) = (self.out.call(), self.endpoint, self.index);
        let mode = match (self.consistent, self.settings.stale) {
            (true, _) => Mode::Consistent,
            (false, true) => Mode::Stale,
            (false, false) => Mode::Default,
        };
        let wait = if index == 0 { 0 } else { self.settings.wait };
        // Servers add up to a sixteenth to the wait.
        let until = now + wait + wait / 16 + self.settings.answer;
        self.phase = Phase::Query { call, since: now, until, mode };
        self.out.ask(Ask::Query { call, endpoint, index, wait, mode });
    }

    fn fail(&mut self, now: Micros, why: String) {
        self.out.health.trouble = Some(why);
        self.endpoint = (self.endpoint + 1) % self.settings.endpoints.max(1);
        self.phase = Phase::Pause { until: now + self.backoff.pause(&mut self.rng) };
    }

    fn answer(&mut self, now: Micros, since: Micros, mode: Mode, told: (u64, bool, Micros, Vec<Entry>)) {
        let (index, leader, last_contact, entries) = told;
        let index = index.max(1);
        if mode != Mode::Consistent && (!leader || last_contact > self.settings.most_stale) {
            self.out.health.refused += 1;
            self.consistent = true;
            self.index = 0;
            return self.fail(
                now,
                format!("a server that knows of no leader, or not for {} ms", last_contact / 1000),
            );
        }
        if index < self.highest {
            if mode != Mode::Consistent {
                self.out.health.refused += 1;
                (self.consistent, self.index) = (true, 0);
                return self.fail(now, format!("found index {index}, expected {} or more", self.highest));
            }
            // The leader and its quorum say so: the registry is another one than it was.
            self.epoch += 1;
        }
        let unchanged = index == self.index;
        (self.index, self.highest, self.consistent) = (index, index, false);
        self.backoff.reset();
        self.out.confirmed(now);
        if !unchanged {
            self.take(now, index, &entries);
        }
        self.phase = Phase::Pause { until: now.max(since + self.settings.apart) };
    }

    fn take(&mut self, now: Micros, index: u64, entries: &[Entry]) {
        let mut known = HashMap::with_capacity(entries.len());
        for entry in entries {
            let identity = entry.identity();
            let before = self.known.get(&identity);
            match entry.member() {
                Ok(mut member) => {
                    let made = entry.service.create_index;
                    if member.node.started.is_none() {
                        member.node.started = match before {
                            Some((_, was)) if *was != made => Some(now),
                            Some((was, _)) => was.node.started,
                            None => None,
                        };
                    }
                    known.insert(identity, (member, made));
                }
                Err(why) => {
                    // Garbage is no loss.
                    self.out.unreadable(format!("{}: {why}", self.settings.service));
                    if let Some(before) = before {
                        known.insert(identity, before.clone());
                    }
                }
            }
        }
        self.known = known;
        let members = self.known.values().map(|(member, _)| member.clone()).collect();
        let revision = Revision { epoch: self.epoch, number: index };
        self.out.tell(revision, Body::Whole(members));
    }
}

impl Machine for Consul {
    type Ask = Ask;
    type Told = Told;

    fn outbox(&mut self) -> &mut Outbox<Ask> {
        &mut self.out
    }

    fn due(&self) -> Micros {
        match self.phase {
            Phase::Pause { until } | Phase::Query { until, .. } => until,
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < self.due() {
            return;
        }
        match self.phase {
            Phase::Pause { .. } => self.query(now),
            Phase::Query { call, .. } => {
                self.out.ask(Ask::Leave { call });
                self.fail(now, "no answer in time".to_owned());
            }
        }
    }

    fn told(&mut self, now: Micros, told: Told) {
        let Phase::Query { call: under_way, since, mode, .. } = self.phase else { return };
        match told {
            Told::Answer { call, index, leader, last_contact, entries } if call == under_way => {
                self.answer(now, since, mode, (index, leader, last_contact, entries));
            }
            Told::Failed { call, why } if call == under_way => self.fail(now, why),
            _ => {}
        }
    }
}
