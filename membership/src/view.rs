//! What a source of membership tells, whichever protocol it speaks.

use finchshift::{Micros, ServerState};
use sloeline_engine::types::DiscoveryEntry;

/// How new a view is. Numbers are compared within one epoch only; a source begins another epoch when its registry is
/// no longer the one it knew (another cluster, or one that was restored from a backup).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Revision {
    /// Counted by the source, from 0.
    pub epoch: u64,
    /// The registry's own number.
    pub number: u64,
}

/// What a source says of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It takes requests.
    Serving,
    /// It was ordered to finish what it has.
    Draining,
    /// An operator works on it.
    Maintenance,
    /// Its checks fail.
    Unhealthy,
}

impl Standing {
    /// Somebody wants it out, as against something that was observed.
    pub fn ordered(self) -> bool {
        matches!(self, Standing::Draining | Standing::Maintenance)
    }
}

/// A member as its source has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// What the engine is told. Its state is not read: it follows from the standing.
    pub node: Node,
    /// What the source says of it.
    pub standing: Standing,
    /// The registry's number of the last change to it; 0 where there is none.
    pub written: u64,
}

/// A member without its state.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The same at every balancer.
    pub identity: String,
    /// Where it is.
    pub address: std::net::SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// Its size.
    pub weight: f64,
    /// When it last started, in Unix time.
    pub started: Option<Micros>,
}

impl Node {
    /// For the engine.
    pub fn listed(&self, state: ServerState) -> DiscoveryEntry {
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

    /// From a list in the platform's form.
    pub fn of(listed: &DiscoveryEntry) -> Node {
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

/// How a member went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Somebody took it out.
    Ordered,
    /// Its lease ran out, as far as is known.
    Expired,
    /// It is not in a whole view; nothing says why.
    Missing,
    /// Its checks fail.
    Unhealthy,
}

/// A change to a view.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// It is there, or is there in another way.
    Put(Member),
    /// It has gone.
    Gone(String, Loss),
    /// What was told as a loss for another cause was an order.
    Ordered(String),
}

/// What a view or a piece of news holds.
#[derive(Clone, Debug, PartialEq)]
pub enum Body {
    /// Everything that the source has.
    Whole(Vec<Member>),
    /// What has changed since the revision before, all at once.
    Changes(Vec<Change>),
}

/// News from a source.
#[derive(Clone, Debug, PartialEq)]
pub struct News {
    /// The view's revision with this in it.
    pub revision: Revision,
    /// What is new.
    pub body: Body,
}

impl News {
    /// A list in the platform's form, which tells no revision that could be compared: every list counts as newer.
    pub fn of_list(whole: bool, number: u64, listed: &[DiscoveryEntry]) -> News {
        let member = |l: &DiscoveryEntry| {
            let standing = if l.state == ServerState::Ready { Standing::Serving } else { Standing::Draining };
            Member { node: Node::of(l), standing, written: 0 }
        };
        let revision = Revision { epoch: 0, number };
        if whole {
            let there = listed.iter().filter(|l| l.state != ServerState::Gone);
            return News { revision, body: Body::Whole(there.map(member).collect()) };
        }
        let change = |l: &DiscoveryEntry| match l.state {
            ServerState::Gone => Change::Gone(l.instance.clone(), Loss::Ordered),
            _ => Change::Put(member(l)),
        };
        News { revision, body: Body::Changes(listed.iter().map(change).collect()) }
    }
}

/// How a source stands with its registry.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Health {
    /// When the registry last proved that the view is its newest.
    pub confirmed: Option<Micros>,
    /// What is wrong, in one line.
    pub trouble: Option<String>,
    /// Answers that were older than what is known, or from another cluster, and were not taken.
    pub refused: u64,
    /// Entries that could not be read.
    pub unreadable: u64,
    /// Calls that were made.
    pub calls: u64,
}
