//! What core machines say to each other. Every message carries the view or the set of voters under which it holds; whoever
//! is behind is refused.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::identity::{Entry, Peer, Position, Replica, View, ViewNumber};
use crate::snapshot::SnapshotId;

/// A peer that was heard lately, and when, by that peer's own clock, the last heartbeat heard of it was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// The peer.
    pub peer: Peer,
    /// When it sent that heartbeat, in milliseconds of its steady clock.
    pub sent_at: u64,
}

/// Sent to all known core machines all the time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Machine and disk.
    pub replica: Replica,
    /// When it was sent, in milliseconds of the sender's steady clock.
    pub sent_at: u64,
    /// The sender's disk takes writes.
    pub healthy: bool,
    /// The sender is about to end: it serves no longer and gives up its lease.
    pub leaving: bool,
    /// The number of the view that the sender accepted last.
    pub view: Option<ViewNumber>,
    /// The sender knows that all of the chain have accepted that view.
    pub established: bool,
    /// The sender works in that view.
    pub active: bool,
    /// The view that the sender is fetching the beginning of.
    pub entering: Option<ViewNumber>,
    /// The highest view number promised.
    pub promised: ViewNumber,
    /// Who was heard lately. From an active sender to a peer of the same view this is a grant of a lease.
    pub heard: Vec<Heard>,
    /// How far the sender's state goes.
    pub position: Position,
    /// The sender is outside of the chain, but lacks next to nothing of it.
    pub caught_up: bool,
    /// Up to here everything is kept by all of the chain, as far as the sender knows.
    pub committed: u64,
    /// The sender holds a lease: it has heard a majority lately.
    #[serde(rename = "in_contact")]
    pub holds_lease: bool,
    /// The whole view, for receivers that have another one.
    pub details: Option<View>,
}

/// Where in a snapshot a receiver is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// Which snapshot.
    pub id: SnapshotId,
    /// The last key that was received.
    pub after: Bytes,
}

/// What a replica that lacks something is given.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchPayload {
    /// The updates after its own position, as many as fit one message.
    Entries {
        /// In order.
        entries: Vec<Entry>,
        /// There are more of them now.
        more: bool,
    },
    /// A piece of a snapshot.
    #[serde(rename = "Piece")]
    SnapshotChunk {
        /// Which snapshot.
        id: SnapshotId,
        /// Rows in the order of their keys.
        rows: Vec<(Bytes, Bytes)>,
        /// No row follows.
        last: bool,
    },
    /// Nothing now: ask again.
    #[serde(rename = "Wait")]
    RetryLater,
}

/// A message from one core machine to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Told all the time.
    Heartbeat(Heartbeat),
    /// Asks for a promise to take nothing more of views under this number.
    Prepare {
        /// The number of the view that is proposed.
        view: ViewNumber,
        /// The proposer.
        replica: Replica,
        /// The number of the proposer's set of voters.
        voters: u64,
    },
    /// That promise, on disk.
    Promise {
        /// The number that was prepared.
        view: ViewNumber,
        /// Who promises.
        replica: Replica,
        /// The view that it has accepted last.
        accepted: Option<View>,
        /// It knows that all of the chain have accepted that view.
        established: bool,
        /// How far its state goes.
        position: Position,
        /// It lacks next to nothing though it is outside of the chain.
        caught_up: bool,
        /// It is about to end.
        leaving: bool,
    },
    /// A promise was refused.
    Refused {
        /// The number that was promised to another.
        promised: ViewNumber,
        /// The number of the set of voters that holds here.
        voters: u64,
    },
    /// A view, and what its chain must hold to begin.
    Install {
        /// The view.
        view: View,
        /// What they must hold.
        base: Position,
        /// Who holds it.
        source: Peer,
    },
    /// Asks for what is lacking: to enter a view, or to follow the chain from outside.
    Fetch {
        /// The view to enter; nothing from outside of the chain, where only what is committed is handed out.
        entering: Option<ViewNumber>,
        /// The last update with which that view begins.
        through: u64,
        /// What is there.
        position: Position,
        /// Goes on with a snapshot.
        cursor: Option<SnapshotCursor>,
    },
    /// The answer to that.
    #[serde(rename = "Supplied")]
    FetchReply {
        /// The view in which the sender works, or that it has promised.
        view: ViewNumber,
        /// The view that was to be entered.
        entering: Option<ViewNumber>,
        /// The position that was asked with.
        position: Position,
        /// What was lacking.
        #[serde(rename = "supply")]
        payload: FetchPayload,
    },
    /// Updates, from each replica of the chain to the next.
    Updates {
        /// In this view.
        view: ViewNumber,
        /// In order.
        entries: Vec<Entry>,
        /// Up to here all replicas before the receiver have them on disk.
        synced: u64,
    },
    /// Tells the replica before what is there: what comes after it is to be sent.
    Behind {
        /// In this view.
        view: ViewNumber,
        /// The last one held.
        sequence: u64,
    },
    /// From the tail: up to here everything is kept.
    Committed {
        /// In this view.
        view: ViewNumber,
        /// The last one.
        sequence: u64,
    },
    /// An update for the head.
    Submit {
        /// The view whose head is meant.
        view: ViewNumber,
        /// How the sender calls it.
        request: u64,
        /// What it does.
        update: Bytes,
    },
    /// From the tail to whoever asked.
    Result {
        /// The view that committed it.
        view: ViewNumber,
        /// How that machine calls it.
        request: u64,
        /// What came of it.
        result: Bytes,
    },
}
