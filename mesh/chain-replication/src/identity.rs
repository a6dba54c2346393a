//! Identities and numbers that messages refer to: replicas, voter sets, views and positions.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A control-plane machine, identified by the address at which the other machines reach it.
pub type Peer = SocketAddr;

/// The disk id of every founder, that is, of every replica present when the system first started.
pub const FOUNDER_DISK_ID: u64 = 0;

/// The number of a view. A proposer picks a round above every round it knows; the proposer's address makes
/// numbers with equal rounds distinct.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewNumber {
    /// Round of the proposal; higher rounds are newer.
    pub round: u64,
    /// The machine that proposed the view.
    pub proposer: Peer,
}

impl ViewNumber {
    /// The number of the initial view, lower than the number of any proposed view.
    pub const ZERO: ViewNumber = ViewNumber {
        round: 0,
        proposer: SocketAddr::V4(std::net::SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0)),
    };
}

/// A machine together with its current disk. A machine whose disk was lost returns as a different replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Replica {
    /// Address of the machine.
    pub peer: Peer,
    /// Random id drawn when the disk was first written; [`FOUNDER_DISK_ID`] if the machine is a founder.
    pub disk: u64,
}

/// The replicas whose promises count towards a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// Version of the voter set; increases by one with every change.
    pub number: u64,
    /// The voters, sorted by address and disk id.
    pub replicas: Vec<Replica>,
}

impl VoterSet {
    /// The voter set with which the system starts for the first time: all founders.
    pub fn founders(peers: &[Peer]) -> VoterSet {
        let mut replicas: Vec<Replica> =
            peers.iter().map(|peer| Replica { peer: *peer, disk: FOUNDER_DISK_ID }).collect();
        replicas.sort_unstable();
        replicas.dedup();
        VoterSet { number: 0, replicas }
    }

    /// Whether a replica is a voter of this set.
    pub fn contains(&self, replica: &Replica) -> bool {
        self.replicas.contains(replica)
    }

    /// Whether the replicas for which `counts` is true are more than half of the voter set.
    pub fn is_majority(&self, counts: impl Fn(&Replica) -> bool) -> bool {
        self.replicas.iter().filter(|replica| counts(replica)).count() * 2 > self.replicas.len()
    }

    /// The next voter set, with one replica removed, one added, or both.
    pub fn with_change(&self, remove: Option<Replica>, add: Option<Replica>) -> VoterSet {
        let mut replicas: Vec<Replica> =
            self.replicas.iter().copied().filter(|replica| Some(*replica) != remove).chain(add).collect();
        replicas.sort_unstable();
        replicas.dedup();
        VoterSet { number: self.number + 1, replicas }
    }
}

/// An agreed configuration of the chain. The chain contains a majority of `voters` and, while the voter set
/// changes, also a majority of `outgoing`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Number of the view; a view with a higher number supersedes this one.
    pub number: ViewNumber,
    /// The replicas of the chain, from head to tail.
    pub chain: Vec<Replica>,
    /// The voter set of this view.
    pub voters: VoterSet,
    /// The previous voter set, if this view changes the set. Its majority is required until the view is
    /// established.
    pub outgoing: Option<VoterSet>,
}

impl View {
    /// The initial view of a system. All founders hold it, but no replica is active in it.
    pub fn initial(voters: VoterSet) -> View {
        View { number: ViewNumber::ZERO, chain: voters.replicas.clone(), voters, outgoing: None }
    }

    /// Whether a replica is in the voter set or in the outgoing voter set of this view.
    pub fn is_voter(&self, replica: &Replica) -> bool {
        self.voters.contains(replica) || self.outgoing.as_ref().is_some_and(|o| o.contains(replica))
    }

    /// All replicas that the view names, in its chain or in its voter sets, sorted and without duplicates.
    pub fn replicas(&self) -> Vec<Replica> {
        let outgoing = self.outgoing.iter().flat_map(|o| &o.replicas);
        let mut all: Vec<Replica> =
            self.chain.iter().chain(&self.voters.replicas).chain(outgoing).copied().collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Whether the replicas for which `counts` is true are a majority of the voters and, unless the view is
    /// `established`, also of the outgoing voter set.
    pub fn is_quorum(&self, established: bool, counts: impl Fn(&Replica) -> bool) -> bool {
        let outgoing = self.outgoing.as_ref().filter(|_| !established);
        self.voters.is_majority(&counts) && outgoing.is_none_or(|o| o.is_majority(&counts))
    }
}

/// The end of a replica's state: its last update and the view in which that update was created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The view in which the last update was created.
    pub view: ViewNumber,
    /// Sequence number of the last update; 0 before the first update.
    pub sequence: u64,
}

impl Position {
    /// The position of an empty state, before the first update.
    pub const START: Position = Position { view: ViewNumber::ZERO, sequence: 0 };
}

/// An update with its position in the chain's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position of the state after this update.
    pub position: Position,
    /// Timestamp in milliseconds assigned by the head; it never decreases from one entry to the next.
    pub stamp: u64,
    /// The machine at which the update was submitted and to which the result is sent.
    pub origin: Peer,
    /// Request id chosen by `origin`; 0 if no client waits for the result.
    pub request: u64,
    /// Encoded update for the state machine; empty for a no-op.
    pub update: Bytes,
}
