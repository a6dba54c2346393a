//! Replicas, sets of voters, views and positions: what every message is numbered by.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A core machine, by the address at which the others reach it.
pub type Peer = SocketAddr;

/// The disk of a replica that was there when the system started for the first time.
pub const FOUNDER_DISK_ID: u64 = 0;

/// The number of a view. Whoever proposes one takes a round above all that it knows; the proposer tells two apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewNumber {
    /// Counts up.
    pub round: u64,
    /// Who proposed it.
    pub proposer: Peer,
}

impl ViewNumber {
    /// Before all others.
    pub const ZERO: ViewNumber = ViewNumber {
        round: 0,
        proposer: SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0)),
    };
}

/// A machine with the disk that it has now. A machine whose disk was lost comes back as another replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// The machine.
    pub peer: Peer,
    /// Drawn when the disk was first written; [`FOUNDER_DISK_ID`] at the first start of the system.
    pub disk: u64,
}

/// The replicas whose promises count.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// Counts up with every change of the set.
    pub number: u64,
    /// In the order of their addresses.
    pub replicas: Vec<Replica>,
}

impl VoterSet {
    /// The set of the first start.
    pub fn founders(peers: &[Peer]) -> VoterSet {
        let mut replicas: Vec<Replica> =
            peers.iter().map(|peer| Replica { peer: *peer, disk: FOUNDER_DISK_ID }).collect();
        replicas.sort_unstable();
        replicas.dedup();
        VoterSet { number: 0, replicas }
    }

    /// Whether a replica votes.
    pub fn contains(&self, replica: &Replica) -> bool {
        self.replicas.contains(replica)
    }

    /// Whether the replicas for which `counts` holds are more than half of the set.
    pub fn is_majority(&self, counts: impl Fn(&Replica) -> bool) -> bool {
        self.replicas.iter().filter(|replica| counts(replica)).count() * 2 > self.replicas.len()
    }

    /// The next set: one replica goes, one comes, or both.
    pub fn changed(&self, remove: Option<Replica>, add: Option<Replica>) -> VoterSet {
        let mut replicas: Vec<Replica> =
            self.replicas.iter().copied().filter(|replica| Some(*replica) != remove).chain(add).collect();
        replicas.sort_unstable();
        replicas.dedup();
        VoterSet { number: self.number + 1, replicas }
    }
}

/// An agreed configuration of the chain. Its chain holds a majority of `voters` and, while the set changes, one of
/// `outgoing` too.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number.
    pub number: ViewNumber,
    /// The chain, head first.
    pub chain: Vec<Replica>,
    /// Who votes from now on.
    pub voters: VoterSet,
    /// Who voted before, until this view is established.
    pub outgoing: Option<VoterSet>,
}

impl View {
    /// The view with which a system starts. All founders hold it; nobody works in it.
    pub fn first(voters: VoterSet) -> View {
        View { number: ViewNumber::ZERO, chain: voters.replicas.clone(), voters, outgoing: None }
    }

    /// Whether a replica votes now, or did until this view is established.
    pub fn knows(&self, replica: &Replica) -> bool {
        self.voters.contains(replica) || self.outgoing.as_ref().is_some_and(|o| o.contains(replica))
    }

    /// All replicas that the view names.
    pub fn replicas(&self) -> Vec<Replica> {
        let outgoing = self.outgoing.iter().flat_map(|o| &o.replicas);
        let mut all: Vec<Replica> =
            self.chain.iter().chain(&self.voters.replicas).chain(outgoing).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Whether those for which `counts` holds are majorities of all sets that matter.
    pub fn is_quorum(&self, established: bool, counts: impl Fn(&Replica) -> bool) -> bool {
        let outgoing = self.outgoing.as_ref().filter(|_| !established);
        self.voters.is_majority(&counts) && outgoing.is_none_or(|o| o.is_majority(&counts))
    }
}

/// How far a replica's state goes: its last update, and by which view that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The view of the last update.
    pub view: ViewNumber,
    /// Its number; 0 where there is none.
    pub sequence: u64,
}

impl Position {
    /// Before the first update.
    pub const START: Position = Position { view: ViewNumber::ZERO, sequence: 0 };
}

/// An update in its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Where it stands.
    pub position: Position,
    /// Milliseconds that never go back.
    pub stamp: u64,
    /// Who asked for it.
    pub origin: Peer,
    /// How that machine calls it; 0 where nobody waits.
    pub request: u64,
    /// What it does; empty for nothing.
    pub update: Bytes,
}
