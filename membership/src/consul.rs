//! Follows a service in Consul through blocking queries of `/v1/health/service/NAME`. No I/O, time as an argument.
//!
//! The rules of Consul's documentation for blocking queries: a query carries the index of the previous response; an index of 0
//! counts as 1; an index that decreases is reset to 0; queries are rate limited. In addition:
//! - a response whose index decreases is rejected; the next query is a consistent read, which only a leader with a quorum
//!   answers, and its response begins another epoch ([`plausibility`](crate::plausibility));
//! - a response of a server that knows no leader, or has had no contact with it for long, is rejected, and the next query is a
//!   consistent read;
//! - an instance that was registered again counts as restarted if it does not report its start.

pub mod transport;

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};

use finchshift::Micros;
use serde::Deserialize;
use sloeline_settings::setup::ms_to_micros;

use crate::backoff::Backoff;
use crate::entry::MAX_IDENTITY_BYTES;
use crate::source::{Outbox, SourceProtocol};
use crate::view::{Member, MemberStatus, Node, Revision, UpdateContent};

/// Settings of a Consul source.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the service.
    pub service: String,
    /// Number of Consul endpoints.
    pub endpoints: usize,
    /// Number of balancers that query the same registry.
    pub instances: u32,
    /// Calls per second that all balancers together may make after a failure.
    pub fleet_call_rate: f64,
    /// How long a server holds a query until there is a change.
    pub poll_wait: Micros,
    /// Time limit of a query in addition to that.
    pub response_timeout: Micros,
    /// Minimum time between two queries.
    pub min_poll_interval: Micros,
    /// Responses of servers without contact to their leader for longer than this are rejected.
    pub max_staleness: Micros,
    /// Whether any server may answer, not only the leader.
    pub allow_stale: bool,
}

/// Consistency mode of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answered by the leader.
    Default,
    /// Answered by any server.
    Stale,
    /// Answered by the leader after its quorum has confirmed it.
    Consistent,
}

/// A command to the transport.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Command {
    /// A query. The server holds it until its index exceeds `index`, unless that is 0.
    Query { call: u64, endpoint: usize, index: u64, wait: Micros, mode: Mode },
    /// Cancels a call.
    Leave { call: u64 },
}

/// A reply from the transport.
#[derive(Clone, Debug)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Reply {
    /// The response to a query.
    Answer {
        /// Number of the call.
        call: u64,
        /// `X-Consul-Index`
        index: u64,
        /// `X-Consul-KnownLeader`
        leader: bool,
        /// `X-Consul-LastContact`
        last_contact: Micros,
        /// Instances of the service.
        entries: Vec<Entry>,
    },
    /// The call failed.
    Failed {
        /// Number of the call.
        call: u64,
        /// Reason in one line.
        why: String,
    },
}

/// An instance of a service, as `/v1/health/service` returns it. Unused fields are omitted.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Entry {
    /// The machine that the instance runs on.
    pub node: ConsulNode,
    /// The instance.
    pub service: Service,
    /// Health checks of the machine and of the instance.
    pub checks: Vec<ConsulCheck>,
}

/// The machine of an instance: `Node`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ConsulNode {
    /// Name of the machine.
    pub node: String,
    /// Address of the machine.
    pub address: String,
    /// Metadata of the machine.
    pub meta: Option<HashMap<String, String>>,
}

/// An instance of a service: `Service`.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Service {
    /// Identifier of the instance on its machine.
    #[serde(rename = "ID")]
    pub id: String,
    /// Address of the instance; empty if it is that of the machine.
    pub address: String,
    /// Port of the instance.
    pub port: u16,
    /// Metadata of the instance: `zone`, `kind`, `cell`, `state`, `started_at_ms`.
    pub meta: Option<HashMap<String, String>>,
    /// Weights of the instance.
    pub weights: Weights,
    /// Index at which the instance was registered.
    pub create_index: u64,
    /// Index of the last change.
    pub modify_index: u64,
}

/// The weights of an instance: `Weights`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Weights {
    /// Weight while all checks pass.
    pub passing: f64,
    /// Weight while a check warns.
    pub warning: f64,
}

impl Default for Weights {
    fn default() -> Weights {
        Weights { passing: 1.0, warning: 1.0 }
    }
}

/// A health check.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ConsulCheck {
    /// Identifier of the check.
    #[serde(rename = "CheckID")]
    pub check_id: String,
    /// `passing`, `warning` or `critical`.
    pub status: String,
    /// Index of the last change.
    pub modify_index: u64,
}

impl Entry {
    /// Identifier of the member, which is the same at every balancer.
    fn identity(&self) -> String {
        format!("{}/{}", self.node.node, self.service.id)
    }

    fn status(&self) -> MemberStatus {
        let critical = |c: &&ConsulCheck| c.status == "critical";
        let maintenance = |c: &ConsulCheck| {
            c.check_id == "_node_maintenance" || c.check_id.starts_with("_service_maintenance:")
        };
        if self.checks.iter().filter(critical).any(maintenance) {
            return MemberStatus::Maintenance;
        }
        match self.meta("state") {
            Some("draining") => MemberStatus::Draining,
            Some("maintenance") => MemberStatus::Maintenance,
            _ if self.checks.iter().any(|c| critical(&c)) => MemberStatus::Unhealthy,
            _ => MemberStatus::Serving,
        }
    }

    fn meta(&self, key: &str) -> Option<&str> {
        // The metadata of the instance takes precedence over that of its machine.
        let own = self.service.meta.as_ref().and_then(|m| m.get(key));
        own.or_else(|| self.node.meta.as_ref().and_then(|m| m.get(key))).map(String::as_str)
    }

    /// Converts the instance to a member. The error is one line.
    fn member(&self) -> Result<Member, String> {
        let identity = self.identity();
        if self.service.id.is_empty() || identity.len() > MAX_IDENTITY_BYTES {
            return Err(format!(
                "found an identity of {} bytes, expected 1 to {MAX_IDENTITY_BYTES}",
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
        Ok(Member { node, status: self.status(), written: written.max(self.service.modify_index) })
    }
}

enum Phase {
    Pause { until: Micros },
    Query { call: u64, since: Micros, until: Micros, mode: Mode },
}

/// A Consul source.
pub struct Consul {
    settings: Settings,
    phase: Phase,
    endpoint: usize,
    out: Outbox<Command>,
    backoff: Backoff,
    rng: fastrand::Rng,
    epoch: u64,
    /// Index of the present view; 0 if the next query is not to be held.
    index: u64,
    /// Highest index of an accepted response.
    highest: u64,
    /// Whether the next query is a consistent read.
    consistent: bool,
    /// Each known member, and the index at which it was registered.
    known: HashMap<String, (Member, u64)>,
}

impl Consul {
    /// Creates a source whose first query is due at `now`.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Consul {
        let mut rng = fastrand::Rng::with_seed(seed);
        Consul {
            endpoint: rng.usize(..settings.endpoints.max(1)),
            backoff: Backoff::new(settings.instances, settings.fleet_call_rate),
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

    /// Highest index of an accepted response.
    pub fn taken(&self) -> u64 {
        self.highest
    }

    fn query(&mut self, now: Micros) {
        let (call, endpoint, index) = (self.out.call(), self.endpoint, self.index);
        let mode = match (self.consistent, self.settings.allow_stale) {
            (true, _) => Mode::Consistent,
            (false, true) => Mode::Stale,
            (false, false) => Mode::Default,
        };
        let wait = if index == 0 { 0 } else { self.settings.poll_wait };
        // Servers extend the hold by up to a sixteenth.
        let until = now + wait + wait / 16 + self.settings.response_timeout;
        self.phase = Phase::Query { call, since: now, until, mode };
        self.out.push_command(Command::Query { call, endpoint, index, wait, mode });
    }

    fn fail(&mut self, now: Micros, why: String) {
        self.out.health.trouble = Some(why);
        self.endpoint = (self.endpoint + 1) % self.settings.endpoints.max(1);
        self.phase = Phase::Pause { until: now + self.backoff.pause(&mut self.rng) };
    }

    fn answer(&mut self, now: Micros, since: Micros, mode: Mode, response: (u64, bool, Micros, Vec<Entry>)) {
        let (index, leader, last_contact, entries) = response;
        let index = index.max(1);
        if mode != Mode::Consistent && (!leader || last_contact > self.settings.max_staleness) {
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
            // The leader and its quorum confirm the lower index, so the registry was replaced or restored.
            self.epoch += 1;
        }
        let unchanged = index == self.index;
        (self.index, self.highest, self.consistent) = (index, index, false);
        self.backoff.reset();
        self.out.confirmed(now);
        if !unchanged {
            self.take(now, index, &entries);
        }
        self.phase = Phase::Pause { until: now.max(since + self.settings.min_poll_interval) };
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
                    // An unreadable entry is not a removal.
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
        self.out.push_update(revision, UpdateContent::Snapshot(members));
    }
}

impl SourceProtocol for Consul {
    type Command = Command;
    type Reply = Reply;

    fn outbox(&mut self) -> &mut Outbox<Command> {
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
                self.out.push_command(Command::Leave { call });
                self.fail(now, "no answer in time".to_owned());
            }
        }
    }

    fn handle_reply(&mut self, now: Micros, reply: Reply) {
        let Phase::Query { call: under_way, since, mode, .. } = self.phase else { return };
        match reply {
            Reply::Answer { call, index, leader, last_contact, entries } if call == under_way => {
                self.answer(now, since, mode, (index, leader, last_contact, entries));
            }
            Reply::Failed { call, why } if call == under_way => self.fail(now, why),
            _ => {}
        }
    }
}
