//! What core machines say to each other, and the words of it.

use std::net::SocketAddr;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A core machine, by the address at which the others reach it.
pub type Peer = SocketAddr;

/// The number of a view. Whoever proposes one takes a number above all that it knows; the proposer tells two apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ballot {
    /// Counts up.
    pub number: u64,
    /// Whose it is.
    pub proposer: Peer,
}

/// A machine with the disk that it has now. A disk that was lost comes back as another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The machine.
    pub peer: Peer,
    /// Drawn when the disk was first written.
    pub disk: u64,
}

/// The members of a chain, head first. At least a majority of the founders is among them whose disks have promised this
/// ballot; a member whose disk is not the one named here takes no part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Its number.
    pub ballot: Ballot,
    /// The chain, head first.
    pub members: Vec<Member>,
}

/// How far a machine's state goes: its last update, and by which view that was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The view of the last update.
    pub ballot: Ballot,
    /// Its number; 0 where there is none.
    pub sequence: u64,
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
    /// How that machine calls it.
    pub number: u64,
    /// What it does; empty for nothing.
    pub update: Bytes,
}

/// What a machine tells of itself all the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Machine and disk.
    pub member: Member,
    /// It remembers what it has promised: its disk was not lost, or it has been taken in since.
    pub remembers: bool,
    /// Its disk takes writes.
    pub healthy: bool,
    /// The view that it has accepted last.
    pub view: Option<Ballot>,
    /// It works in that view.
    pub active: bool,
    /// The highest ballot that it has promised.
    pub promised: Ballot,
    /// Those it has heard from lately.
    pub hears: Vec<Peer>,
    /// How far its state goes.
    pub held: Position,
    /// Up to here everything is kept by all, as far as it knows; the tail's word holds.
    pub committed: u64,
}

/// What a machine that lacks something is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lacked {
    /// The updates after its own position.
    Entries(Vec<Entry>),
    /// Everything, as of a position.
    Whole {
        /// As of there.
        position: Position,
        /// The stamp of its last update.
        stamp: u64,
        /// All rows.
        rows: Vec<(Bytes, Bytes)>,
    },
}

/// A message from one core machine to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Told all the time.
    Standing(Standing),
    /// Asks for a promise to take nothing more of views under this ballot.
    Seal {
        /// The ballot.
        ballot: Ballot,
    },
    /// That promise, on disk.
    Sealed {
        /// The ballot.
        ballot: Ballot,
        /// Machine and disk.
        member: Member,
        /// See [`Standing::remembers`].
        remembers: bool,
        /// The view that it has accepted last.
        view: Option<View>,
        /// How far its state goes.
        held: Position,
    },
    /// Another ballot was promised.
    Declined {
        /// That one.
        promised: Ballot,
    },
    /// A view, and what its members must hold to begin.
    Install {
        /// The view.
        view: View,
        /// What they must hold.
        base: Position,
        /// Who holds it.
        source: Peer,
    },
    /// Asks for what is lacking to begin a view.
    Fetch {
        /// The view.
        ballot: Ballot,
        /// What is there.
        held: Position,
    },
    /// That.
    State {
        /// The view.
        ballot: Ballot,
        /// What was lacking.
        lacked: Lacked,
    },
    /// Updates, from each member to the next.
    Updates {
        /// In this view.
        ballot: Ballot,
        /// In order.
        entries: Vec<Entry>,
        /// Up to here all members before the receiver have them on disk.
        synced: u64,
    },
    /// Tells the member before what is there: what comes after it is to be sent.
    Behind {
        /// In this view.
        ballot: Ballot,
        /// The last one held.
        sequence: u64,
    },
    /// From the tail: up to here everything is kept.
    Committed {
        /// In this view.
        ballot: Ballot,
        /// The last one.
        sequence: u64,
    },
    /// An update for the head.
    Submit {
        /// How the sender calls it.
        number: u64,
        /// What it does.
        update: Bytes,
    },
    /// From the tail to whoever asked.
    Result {
        /// How that machine calls it.
        number: u64,
        /// What came of it.
        result: Bytes,
    },
}
