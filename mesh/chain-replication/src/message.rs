//! Messages between control-plane machines. Messages name the view or the voter set that they apply to, so
//! that receivers can reject a sender that is behind.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::identity::{Entry, Peer, Position, Replica, View, ViewNumber};
use crate::snapshot::SnapshotId;

/// Acknowledgement of a peer's heartbeat, carried in the heartbeats of the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatEcho {
    /// The peer whose heartbeat is echoed.
    pub peer: Peer,
    /// Send time of the echoed heartbeat, in milliseconds of the peer's monotonic clock.
    pub sent_at: u64,
}

/// Periodic status message that each machine sends to all machines it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender: its address and its disk id.
    pub replica: Replica,
    /// Send time in milliseconds of the sender's monotonic clock.
    pub sent_at: u64,
    /// Whether the sender's disk accepts writes.
    pub healthy: bool,
    /// Whether the sender is about to shut down: it no longer serves and gives up its lease.
    pub leaving: bool,
    /// Number of the view that the sender accepted last.
    pub view: Option<ViewNumber>,
    /// Whether the sender knows that every replica of the chain has accepted `view`.
    pub established: bool,
    /// Whether the sender is active in `view`, that is, takes part in its chain.
    pub active: bool,
    /// Number of the view that the sender is about to enter; it may still be fetching the view's initial
    /// state.
    pub entering: Option<ViewNumber>,
    /// The highest view number that the sender has promised.
    pub promised: ViewNumber,
    /// Peers whose heartbeats the sender received recently. An echo from an active sender grants a lease to a
    /// peer of the same view.
    #[serde(rename = "heard")]
    pub echoes: Vec<HeartbeatEcho>,
    /// The end of the sender's state.
    pub position: Position,
    /// Whether the sender is outside the chain but almost caught up with it.
    pub caught_up: bool,
    /// Sequence number up to which, as far as the sender knows, every replica of the chain has all updates on
    /// disk.
    pub committed: u64,
    /// Whether the sender holds a lease, that is, a quorum has echoed its recent heartbeats.
    #[serde(rename = "in_contact")]
    pub holds_lease: bool,
    /// The newest view that the sender knows, for receivers that have accepted only an older one.
    pub details: Option<View>,
}

/// The progress of a receiver within a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotCursor {
    /// The snapshot being received.
    pub id: SnapshotId,
    /// The last key received; the next chunk starts after it.
    pub after: Bytes,
}

/// The data in a reply to [`Message::Fetch`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchPayload {
    /// Updates that follow the receiver's position, as many as fit in one message.
    Entries {
        /// The updates, in order of their sequence numbers.
        entries: Vec<Entry>,
        /// Whether further updates are available now.
        more: bool,
    },
    /// A chunk of a snapshot.
    #[serde(rename = "Piece")]
    SnapshotChunk {
        /// The snapshot to which the chunk belongs.
        id: SnapshotId,
        /// Rows in the order of their keys.
        rows: Vec<(Bytes, Bytes)>,
        /// Whether this is the last chunk of the snapshot.
        last: bool,
    },
    /// No data can be sent now; the receiver fetches again later.
    #[serde(rename = "Wait")]
    RetryLater,
}

/// A message from one control-plane machine to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's periodic status.
    Heartbeat(Heartbeat),
    /// Asks the receiver to promise not to accept any view with a lower number.
    Prepare {
        /// The number of the proposed view.
        view: ViewNumber,
        /// The replica that proposes the view.
        replica: Replica,
        /// Version of the voter set that the proposer has accepted.
        voters: u64,
    },
    /// The reply to [`Message::Prepare`], sent once the promise is on disk.
    Promise {
        /// The number of the proposed view, from the `Prepare` message.
        view: ViewNumber,
        /// The replica that makes the promise.
        replica: Replica,
        /// The view that the replica accepted last.
        accepted: Option<View>,
        /// Whether the replica knows that every replica of the chain has accepted that view.
        established: bool,
        /// The end of the replica's state.
        position: Position,
        /// Whether the replica is outside the chain but almost caught up with it.
        caught_up: bool,
        /// Whether the replica is about to shut down.
        leaving: bool,
    },
    /// Rejects a [`Message::Prepare`] because its number is too low or its proposer is no longer a voter.
    Refused {
        /// The highest view number that the sender has promised.
        promised: ViewNumber,
        /// Version of the sender's voter set; 0 if the sender knows no established view.
        voters: u64,
    },
    /// Asks a replica of the new chain to enter a view once it has the view's initial state.
    Install {
        /// The new view.
        view: View,
        /// Position of the state with which the view starts.
        base: Position,
        /// A machine that has that initial state.
        source: Peer,
    },
    /// Requests missing updates or a snapshot, either to enter a view or to follow the chain from outside.
    Fetch {
        /// The view to enter; `None` when following from outside the chain, in which case only committed
        /// updates are sent.
        entering: Option<ViewNumber>,
        /// Sequence number of the last update in the initial state of that view; 0 when following the chain.
        through: u64,
        /// The end of the sender's state.
        position: Position,
        /// Continues a partly received snapshot.
        cursor: Option<SnapshotCursor>,
    },
    /// The reply to [`Message::Fetch`].
    #[serde(rename = "Supplied")]
    FetchReply {
        /// The view in which the sender is active or which it has promised.
        view: ViewNumber,
        /// The `entering` view of the request.
        entering: Option<ViewNumber>,
        /// The `position` of the request; the receiver ignores the reply if its state has moved on.
        position: Position,
        /// Updates or a snapshot chunk.
        #[serde(rename = "supply")]
        payload: FetchPayload,
    },
    /// Forwards updates from a replica of the chain to its successor.
    Updates {
        /// The view of the chain.
        view: ViewNumber,
        /// The updates, in order of their sequence numbers.
        entries: Vec<Entry>,
        /// Sequence number up to which the sender and all its predecessors have every update on disk.
        synced: u64,
    },
    /// Asks the predecessor in the chain to resend the updates that follow `sequence`.
    #[serde(rename = "Behind")]
    ResendRequest {
        /// The view of the chain.
        view: ViewNumber,
        /// Sequence number of the last update that the sender has.
        sequence: u64,
    },
    /// Sent by the tail: every replica of the chain has all updates up to `sequence` on disk.
    Committed {
        /// The view of the chain.
        view: ViewNumber,
        /// Sequence number of the last committed update.
        sequence: u64,
    },
    /// Submits an update to the head of the chain.
    Submit {
        /// The view whose head is addressed.
        view: ViewNumber,
        /// Request id chosen by the sender.
        request: u64,
        /// Encoded update for the state machine.
        update: Bytes,
    },
    /// Sent by the tail to the machine that submitted an update: the update is committed.
    Result {
        /// The view that committed the update.
        view: ViewNumber,
        /// Request id from the `Submit` message.
        request: u64,
        /// The state machine's reply.
        result: Bytes,
    },
}
