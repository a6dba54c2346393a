//! The updates of a source of membership, independent of its protocol.

use finchshift::{Micros, ServerState};
use sloeline_engine::types::DiscoveryEntry;

/// The revision of a view. Numbers are comparable only within an epoch. A source begins another epoch when its registry was
/// replaced by another cluster or restored from a backup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// Number of the epoch, counted by the source from 0.
    pub epoch: u64,
    /// The registry's revision number.
    pub number: u64,
}

/// Status of a member according to its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberStatus {
    /// It accepts requests.
    Serving,
    /// An operator has ordered it to finish its open requests.
    Draining,
    /// An operator has taken it out of service.
    Maintenance,
    /// Its health checks fail.
    Unhealthy,
}

impl MemberStatus {
    /// Returns whether an operator has ordered the status, as opposed to an observation.
    pub fn ordered(self) -> bool {
        matches!(self, MemberStatus::Draining | MemberStatus::Maintenance)
    }
}

/// A member according to its source.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Properties of the member.
    pub node: Node,
    /// Status of the member.
    pub status: MemberStatus,
    /// The registry's revision number of the last change to the member; 0 if the registry has none.
    pub written: u64,
}

/// Properties of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Identifier, which is the same at every balancer.
    pub identity: String,
    /// Address at which the member accepts requests.
    pub address: std::net::SocketAddr,
    /// Name of its zone.
    pub zone: String,
    /// Name of its machine kind.
    pub kind: String,
    /// Number of its cell.
    pub cell: u32,
    /// Capacity relative to other members.
    pub weight: f64,
    /// When it last started, in microseconds since the Unix epoch.
    pub started: Option<Micros>,
}

impl Node {
    /// Returns the entry for the engine, with this state.
    pub fn discovery_entry(&self, state: ServerState) -> DiscoveryEntry {
        DiscoveryEntry {
            instance: self.identity.clone(),
            address: self.address,
            zone: self.zone.clone(),
            kind: self.kind.clone(),
            cell: self.cell,
            state,
            weight: self.weight,
            started: self.started,
        }
    }

    /// Returns the properties in an entry of the engine.
    pub fn from_entry(listed: &DiscoveryEntry) -> Node {
        Node {
            identity: listed.instance.clone(),
            address: listed.address,
            zone: listed.zone.clone(),
            kind: listed.kind.clone(),
            cell: listed.cell,
            weight: listed.weight,
            started: listed.started,
        }
    }
}

/// Why a member is not listed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// An operator has removed it.
    Ordered,
    /// Its lease has expired, as far as is known.
    Expired,
    /// It is missing in a snapshot, for an unknown reason.
    Missing,
    /// Its health checks fail.
    Unhealthy,
}

/// A change of a view.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The member was added or changed.
    Put(Member),
    /// The member was removed.
    Gone(String, Loss),
    /// An earlier removal for another reason turned out to be an order.
    Ordered(String),
}

/// The content of an update.
#[derive(Clone, Debug, PartialEq)]
pub enum UpdateContent {
    /// All members of the source.
    Snapshot(Vec<Member>),
    /// The changes since the previous revision.
    Changes(Vec<Change>),
}

/// An update of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct Update {
    /// Revision of the view after the update.
    pub revision: Revision,
    /// The content.
    pub content: UpdateContent,
}

impl Update {
    /// Returns the update for a list of the platform, whose revisions are not comparable: every list counts as newer.
    pub fn from_list(whole: bool, number: u64, listed: &[DiscoveryEntry]) -> Update {
        let member = |l: &DiscoveryEntry| {
            let status =
                if l.state == ServerState::Ready { MemberStatus::Serving } else { MemberStatus::Draining };
            Member { node: Node::from_entry(l), status, written: 0 }
        };
        let revision = Revision { epoch: 0, number };
        if whole {
            let there = listed.iter().filter(|l| l.state != ServerState::Gone);
            return Update { revision, content: UpdateContent::Snapshot(there.map(member).collect()) };
        }
        let change = |l: &DiscoveryEntry| match l.state {
            ServerState::Gone => Change::Gone(l.instance.clone(), Loss::Ordered),
            _ => Change::Put(member(l)),
        };
        Update { revision, content: UpdateContent::Changes(listed.iter().map(change).collect()) }
    }
}

/// State of a source's connection to its registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    /// When the registry last confirmed that the view is its newest.
    pub confirmed: Option<Micros>,
    /// The present failure, in one line.
    pub trouble: Option<String>,
    /// Number of replies that were rejected because they were older than the view or from another cluster.
    pub refused: u64,
    /// Number of entries that could not be read.
    pub unreadable: u64,
    /// Number of calls.
    pub calls: u64,
}
