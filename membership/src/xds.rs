//! Following a cluster through xDS v3, endpoint discovery (EDS): state of the world or delta. No I/O, time as an argument.
//!
//! Either way a response carries the cluster's whole assignment. One that can be read is acknowledged with its version and
//! nonce, one that can't is refused with the last version that was taken, the nonce and the reason, and what was known holds.
//!
//! Versions are opaque: there is no older and newer among them. What the protocol does give is the order on one stream. So
//! the first response on a *new* stream whose version was seen before and has been replaced since is a view of a server that
//! is behind: it is not taken while the newest one is younger than [`Settings::believe_after`]. And nothing proves that a
//! silent stream is not deaf: it is opened anew every [`Settings::renew`], which tells the present state.

pub mod line;
pub mod messages;

use std::collections::{BTreeMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use finchshift::Micros;

use self::messages::{ClusterLoadAssignment, LbEndpoint, Locality};
use crate::backoff::Backoff;
use crate::source::{Machine, Outbox};
use crate::view::{Body, Member, Node, Revision, Standing};

/// Versions that are remembered.
const VERSIONS: usize = 64;

/// What a source at an xDS server is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The cluster's name, which is the resource's.
    pub cluster: String,
    /// Incremental, not state of the world.
    pub delta: bool,
    /// Who asks (`Node.id`).
    pub node: String,
    /// How many endpoints there are.
    pub endpoints: usize,
    /// How many balancers ask the same servers.
    pub instances: u32,
    /// Calls a second that they may make together after a failure.
    pub rate: f64,
    /// How long the first response on a stream may take.
    pub answer: Micros,
    /// A stream is opened anew after this.
    pub renew: Micros,
    /// How long a version that was seen before is not believed on a new stream.
    pub believe_after: Micros,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Ask {
    /// A stream, subscribed to the cluster. It claims to know no version: a server that has the same one would say nothing,
    /// and what is held would not be confirmed.
    Open { call: u64, endpoint: usize },
    /// A response was taken, or refused for a reason.
    Answer { call: u64, version: String, nonce: String, refused: Option<String> },
    /// Nothing of this call is wanted any more.
    Leave { call: u64 },
}

/// What came back.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Told {
    /// A response: the assignment, none where it is no more, or why it can't be read. One that says nothing of the cluster
    /// is not told.
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
    /// `first` until the first response is there.
    Stream {
        call: u64,
        first: bool,
        until: Micros,
    },
}

/// A source at an xDS server.
pub struct Xds {
    settings: Settings,
    phase: Phase,
    endpoint: usize,
    out: Outbox<Ask>,
    backoff: Backoff,
    rng: fastrand::Rng,
    epoch: u64,
    number: u64,
    /// Versions that were taken, the newest last.
    versions: VecDeque<String>,
    /// When the newest version last was told as such.
    good: Option<Micros>,
}

impl Xds {
    /// Begins at `now`.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Xds {
        let mut rng = fastrand::Rng::with_seed(seed);
        Xds {
            endpoint: rng.usize(..settings.endpoints.max(1)),
            backoff: Backoff::new(settings.instances, settings.rate),
            phase: Phase::Pause { until: now },
            out: Outbox::default(),
            rng,
            epoch: 0,
            number: 0,
            versions: VecDeque::new(),
            good: None,
            settings,
        }
    }

    fn version(&self) -> String {
        self.versions.back().cloned().unwrap_or_default()
    }

    fn open(&mut self, now: Micros) {
        let (call, endpoint) = (self.out.call(), self.endpoint);
        self.out.ask(Ask::Open { call, endpoint });
        self.phase = Phase::Stream { call, first: true, until: now + self.settings.answer };
    }

    fn fail(&mut self, now: Micros, why: String) {
        self.out.health.trouble = Some(why);
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
                self.out.unreadable(format!("{}: version {version:?}: {why}", self.settings.cluster));
                let version = self.version();
                self.out.ask(Ask::Answer { call, version, nonce, refused: Some(why) });
                return;
            }
        };
        let known = self.versions.iter().position(|v| *v == version);
        let newest = known.is_some_and(|at| at + 1 == self.versions.len());
        if first && known.is_some() && !newest {
            self.out.health.refused += 1;
            if self.good.is_some_and(|good| now < good + self.settings.believe_after) {
                self.out.ask(Ask::Leave { call });
                let found = format!("found version {version:?}, which {:?} has replaced", self.version());
                return self.fail(now, found);
            }
            // The newest one has not been seen for long: it was taken back, or the servers have lost it.
            self.epoch += 1;
        }
        if !newest {
            known.and_then(|at| self.versions.remove(at));
            self.versions.push_back(version.clone());
            while self.versions.len() > VERSIONS {
                self.versions.pop_front();
            }
        }
        self.out.ask(Ask::Answer { call, version, nonce, refused: None });
        self.backoff.reset();
        self.good = Some(now);
        self.out.confirmed(now);
        if let Phase::Stream { first, until, .. } = &mut self.phase
            && std::mem::take(first)
        {
            let spread = self.settings.renew / 4;
            *until = now + self.settings.renew - spread / 2 + self.rng.u64(..=spread);
        }
        self.number += 1;
        let revision = Revision { epoch: self.epoch, number: self.number };
        self.out.tell(revision, Body::Whole(members));
    }
}

/// The members of an assignment; one endpoint that can't be read spoils it, for the server is told so.
fn members(cluster: &str, assignment: ClusterLoadAssignment) -> Result<Vec<Member>, String> {
    if assignment.cluster_name != cluster {
        return Err(format!("found cluster {:?}, expected {cluster:?}", assignment.cluster_name));
    }
    // Localities of a higher priority number are used when those before have nothing; they are not listed beside them.
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
    let standing = match of.health_status {
        2 | 4 => Standing::Unhealthy,
        3 => Standing::Draining,
        _ => Standing::Serving,
    };
    Ok(Member { node, standing, written: 0 })
}

impl Machine for Xds {
    type Ask = Ask;
    type Told = Told;

    fn outbox(&mut self) -> &mut Outbox<Ask> {
        &mut self.out
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
                self.out.ask(Ask::Leave { call });
                self.fail(now, "no response in time".to_owned());
            }
            Phase::Stream { call, .. } => {
                // It may be deaf: another server's word, at once, for nothing has failed.
                self.out.ask(Ask::Leave { call });
                self.endpoint = (self.endpoint + 1) % self.settings.endpoints.max(1);
                self.open(now);
            }
        }
    }

    fn told(&mut self, now: Micros, told: Told) {
        let Phase::Stream { call: under_way, first, .. } = self.phase else { return };
        match told {
            Told::Response { call, version, nonce, assignment } if call == under_way => {
                self.response(now, (call, first), (version, nonce), assignment);
            }
            Told::Failed { call, why } if call == under_way => self.fail(now, why),
            _ => {}
        }
    }
}
