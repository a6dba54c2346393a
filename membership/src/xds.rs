//! Follows a cluster through the endpoint discovery of xDS v3 (EDS): state of the world or incremental. No I/O, time as an argument.
//!
//! In both variants a response contains the whole assignment of the cluster. A valid response is acknowledged with its version
//! and nonce. An invalid one is rejected with the last accepted version, the nonce and the reason, and the view remains.
//!
//! Versions are opaque and have no order, but the responses on one stream do. If the first response on a *new* stream has a
//! version that was replaced by a later one before, the server is behind: the response is rejected while the newest version is
//! younger than [`Settings::acceptance_delay`]. A stream without responses may have stalled, so it is replaced by a new one
//! every [`Settings::stream_lifetime`]; the first response on a new stream contains the present state.

pub mod messages;
pub mod transport;

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use finchshift::Micros;

use self::messages::{ClusterLoadAssignment, LbEndpoint, Locality};
use crate::backoff::Backoff;
use crate::source::{Outbox, SourceProtocol};
use crate::view::{Member, MemberStatus, Node, Revision, UpdateContent};

/// Number of accepted versions that are remembered.
const MAX_REMEMBERED_VERSIONS: usize = 64;

/// Settings of an xDS source.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the cluster, which is the name of the resource.
    pub cluster: String,
    /// Whether the incremental variant of the protocol is used.
    pub incremental: bool,
    /// Identifier of this instance (`Node.id`).
    pub node: String,
    /// Number of xDS servers.
    pub endpoints: usize,
    /// Number of balancers that use the same servers.
    pub instances: u32,
    /// Calls per second that all balancers together may make after a failure.
    pub fleet_call_rate: f64,
    /// Time limit for the first response on a stream.
    pub response_timeout: Micros,
    /// Time after which a stream is replaced by a new one.
    pub stream_lifetime: Micros,
    /// How long a replaced version is rejected on a new stream.
    pub acceptance_delay: Micros,
}

/// A command to the transport.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Command {
    /// Opens a stream that subscribes to the cluster. It announces no known version, because a server with the same version
    /// would not respond, and the view would not be confirmed.
    Open { call: u64, endpoint: usize },
    /// Acknowledges a response, or rejects it with a reason.
    Answer { call: u64, version: String, nonce: String, refused: Option<String> },
    /// Cancels a call.
    Leave { call: u64 },
}

/// A reply from the transport.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Reply {
    /// A response: the assignment, `None` if it was removed, or why it is invalid. Responses without the cluster are ignored
    /// by the transport.
    Response {
        call: u64,
        version: String,
        nonce: String,
        assignment: Result<Option<ClusterLoadAssignment>, String>,
    },
    /// The call failed.
    Failed { call: u64, why: String },
}

#[derive(Debug)]
enum Phase {
    Pause {
        until: Micros,
    },
    /// `first` until the first response has arrived.
    Stream {
        call: u64,
        first: bool,
        until: Micros,
    },
}

/// An xDS source.
pub struct Xds {
    settings: Settings,
    phase: Phase,
    endpoint: usize,
    outbox: Outbox<Command>,
    backoff: Backoff,
    rng: fastrand::Rng,
    epoch: u64,
    number: u64,
    /// Accepted versions, the newest last.
    versions: VecDeque<String>,
    /// When the newest version was last received.
    last_confirmed: Option<Micros>,
}

impl Xds {
    /// Creates a source whose first stream is opened at `now`.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Xds {
        let mut rng = fastrand::Rng::with_seed(seed);
        Xds {
            endpoint: rng.usize(..settings.endpoints.max(1)),
            backoff: Backoff::new(settings.instances, settings.fleet_call_rate),
            phase: Phase::Pause { until: now },
            outbox: Outbox::default(),
            rng,
            epoch: 0,
            number: 0,
            versions: VecDeque::new(),
            last_confirmed: None,
            settings,
        }
    }

    fn version(&self) -> String {
        self.versions.back().cloned().unwrap_or_default()
    }

    fn open(&mut self, now: Micros) {
        let (call, endpoint) = (self.outbox.call(), self.endpoint);
        self.outbox.push_command(Command::Open { call, endpoint });
        self.phase = Phase::Stream { call, first: true, until: now + self.settings.response_timeout };
    }

    fn fail(&mut self, now: Micros, why: String) {
        self.outbox.health.trouble = Some(why);
        self.endpoint = (self.endpoint + 1) % self.settings.endpoints.max(1);
        self.phase = Phase::Pause { until: now + self.backoff.pause(&mut self.rng) };
    }

    fn response(
        &mut self,
        now: Micros,
        (call, first): (u64, bool),
        (version, nonce): (String, String),
        assignment: Result<Option<ClusterLoadAssignment>, String>,
    ) {
        let read = assignment.and_then(|a| a.map_or(Ok(Vec::new()), |a| members(&self.settings.cluster, a)));
        let members = match read {
            Ok(members) => members,
            Err(why) => {
                self.outbox.unreadable(format!("{}: version {version:?}: {why}", self.settings.cluster));
                let version = self.version();
                self.outbox.push_command(Command::Answer { call, version, nonce, refused: Some(why) });
                return;
            }
        };
        let known = self.versions.iter().position(|v| *v == version);
        let newest = known.is_some_and(|at| at + 1 == self.versions.len());
        if first && known.is_some() && !newest {
            self.outbox.health.refused += 1;
            if self
                .last_confirmed
                .is_some_and(|last_confirmed| now < last_confirmed + self.settings.acceptance_delay)
            {
                self.outbox.push_command(Command::Leave { call });
                let found = format!("found version {version:?}, which {:?} has replaced", self.version());
                return self.fail(now, found);
            }
            // The newest version was not received for long, so it was revoked, or the servers have lost it.
            self.epoch += 1;
        }
        if !newest {
            known.and_then(|at| self.versions.remove(at));
            self.versions.push_back(version.clone());
            while self.versions.len() > MAX_REMEMBERED_VERSIONS {
                self.versions.pop_front();
            }
        }
        self.outbox.push_command(Command::Answer { call, version, nonce, refused: None });
        self.backoff.reset();
        self.last_confirmed = Some(now);
        self.outbox.confirmed(now);
        if let Phase::Stream { first, until, .. } = &mut self.phase
            && std::mem::take(first)
        {
            let spread = self.settings.stream_lifetime / 4;
            *until = now + self.settings.stream_lifetime - spread / 2 + self.rng.u64(..=spread);
        }
        self.number += 1;
        let revision = Revision { epoch: self.epoch, number: self.number };
        self.outbox.push_update(revision, UpdateContent::Snapshot(members));
    }
}

/// Returns the members of an assignment. One invalid endpoint makes the whole assignment invalid, and it is rejected.
fn members(cluster: &str, assignment: ClusterLoadAssignment) -> Result<Vec<Member>, String> {
    if assignment.cluster_name != cluster {
        return Err(format!("found cluster {:?}, expected {cluster:?}", assignment.cluster_name));
    }
    // Localities with a higher priority number are used only if there are no endpoints with a lower one.
    let first = assignment.endpoints.iter().filter(|l| !l.lb_endpoints.is_empty()).map(|l| l.priority).min();
    let mut members = BTreeMap::new();
    for group in assignment.endpoints.into_iter().filter(|l| Some(l.priority) == first) {
        let zone = group.locality.unwrap_or_default();
        for endpoint in group.lb_endpoints {
            let member = member(&zone, endpoint)?;
            let identity = member.node.identity.clone();
            if members.insert(identity.clone(), member).is_some() {
                return Err(format!("found endpoint {identity} twice, expected once"));
            }
        }
    }
    Ok(members.into_values().collect())
}

fn member(locality: &Locality, of: LbEndpoint) -> Result<Member, String> {
    let address = of.endpoint.and_then(|e| e.address).and_then(|a| a.socket_address);
    let address = address.ok_or("found an endpoint without a socket address, expected one")?;
    let found =
        |what: &str| format!("found endpoint {}:{}, expected {what}", address.address, address.port_value);
    let ip: IpAddr = address.address.parse().map_err(|_| found("an IP address"))?;
    let port = u16::try_from(address.port_value).ok().filter(|p| *p != 0);
    let address = SocketAddr::new(ip, port.ok_or_else(|| found("a port from 1 to 65535"))?);
    let weight = of.load_balancing_weight.map_or(1, |w| w.value);
    if weight == 0 {
        return Err(format!("found weight 0 of {address}, expected 1 or more"));
    }
    let node = Node {
        identity: address.to_string(),
        address,
        zone: locality.zone.clone(),
        kind: String::new(),
        cell: 0,
        weight: f64::from(weight),
        started: None,
    };
    let status = match of.health_status {
        2 | 4 => MemberStatus::Unhealthy,
        3 => MemberStatus::Draining,
        _ => MemberStatus::Serving,
    };
    Ok(Member { node, status, written: 0 })
}

impl SourceProtocol for Xds {
    type Command = Command;
    type Reply = Reply;

    fn outbox(&mut self) -> &mut Outbox<Command> {
        &mut self.outbox
    }

    fn due(&self) -> Micros {
        match self.phase {
            Phase::Pause { until } | Phase::Stream { until, .. } => until,
        }
    }

    fn tick(&mut self, now: Micros) {
        if now < self.due() {
            return;
        }
        match self.phase {
            Phase::Pause { .. } => self.open(now),
            Phase::Stream { call, first: true, .. } => {
                self.outbox.push_command(Command::Leave { call });
                self.fail(now, "no response in time".to_owned());
            }
            Phase::Stream { call, .. } => {
                // The stream may have stalled. The next one goes to another server at once, because nothing has failed.
                self.outbox.push_command(Command::Leave { call });
                self.endpoint = (self.endpoint + 1) % self.settings.endpoints.max(1);
                self.open(now);
            }
        }
    }

    fn handle_reply(&mut self, now: Micros, reply: Reply) {
        let Phase::Stream { call: running_call, first, .. } = self.phase else { return };
        match reply {
            Reply::Response { call, version, nonce, assignment } if call == running_call => {
                self.response(now, (call, first), (version, nonce), assignment);
            }
            Reply::Failed { call, why } if call == running_call => self.fail(now, why),
            _ => {}
        }
    }
}
