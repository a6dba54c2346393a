//! Chain replication of the control state. Updates enter at the head, pass through every replica, and the
//! tail answers them once every replica of the chain has them on disk. A view names the chain. Majorities of
//! a numbered voter set agree on each view; a new view repairs the chain or changes the voter set. The crate
//! does no I/O and reads no clock: messages, completed writes and the current time are inputs, [`Output`]s
//! are its results.
//!
//! # Why an acknowledged update is never lost
//!
//! A view has a number, a chain, a voter set and, while that set changes, the outgoing voter set. It is
//! *established* once every replica of its chain has accepted it on disk. The rules:
//!
//! 1. A replica accepts no view whose number is below the highest number it has promised
//!    ([`Proposal`](proposal::Proposal)).
//! 2. A proposer builds on W, the newest view that any replica that promised has accepted. The proposer needs
//!    promises from a majority of W's voters and, unless one of those replicas knows that W is established,
//!    also from a majority of W's outgoing set.
//! 3. If W is known to be established, the next view may name a voter set that differs by one replica; W's
//!    voter set is then the outgoing set. Otherwise the next view takes over both sets of W unchanged.
//! 4. The chain of a view contains a majority of its voters and a majority of its outgoing set.
//! 5. A view starts with the state of the promising replica with the newest accepted view; among several,
//!    with the longest state.
//!
//! For a view X let E(X) be the newest established view below X. *Invariant*: the voters of E(X) are X's
//! voters or X's outgoing set. By induction over the view numbers: let W be the view that X's proposer built
//! on. W is not older than E(X) (see below). If W is E(X), X has W's voters as one of its sets by rule 3. If
//! W is newer, W is never established, so X took over both sets of W, and E(W) is E(X).
//!
//! *W is not older than E(X).* Suppose it is, and let F be the oldest established view above W, so E(F) is
//! not above W. By the invariant, F's chain contains a majority of the voters of E(F) (rule 4). If W is
//! established, E(F) is W, and by rule 2 some promising replica is in F's chain. If W is not established,
//! E(F) is E(W), whose voters are W's voters or W's outgoing set, and rule 2 requires majorities of both:
//! again some promising replica is in F's chain. That replica accepted F before it promised X (rule 1), so
//! the proposer saw F, which is newer than W.
//!
//! An update is acknowledged when every replica of the chain of some view V has it on disk, and then V is
//! established. Every later view starts with a state that contains the update. Its proposer's W is V or
//! newer. If W is V, some replica of V's chain is among the promising replicas, and the longest state of V
//! contains what all of the chain hold. If W is newer, W itself started with the update.
//!
//! A machine whose disk was lost returns as a different [`Replica`], whose promises do not count until a view
//! names it as a voter. A replaced replica belongs to none of the sets that count, and its copy is no longer
//! read: rule 5 selects by accepted views, and it has accepted none of the newer ones.
//!
//! # Learners
//!
//! A replica outside the chain follows it with [`Message::Fetch`]: first a snapshot in chunks, then committed
//! updates. The chain continues to take updates meanwhile. The head adds a voter that has caught up to the
//! chain, and makes a learner a voter according to the rule in [`membership`].

pub mod identity;
pub mod lease;
pub mod log;
pub mod membership;
pub mod message;
pub mod node;
pub mod peers;
pub mod proposal;
pub mod snapshot;

pub use identity::{Entry, FOUNDER_DISK_ID, Peer, Position, Replica, View, ViewNumber, VoterSet};
pub use message::{Heartbeat, Message};
pub use node::{DurableState, Node, Output, Settings, Write};
pub use snapshot::{Digest, Rows};

use bytes::Bytes;

/// One changed row of the state: its key and its new value, or `None` if the row was deleted.
pub type Row = (Bytes, Option<Bytes>);

/// The effect of applying one update to the state machine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// The reply to the client that submitted the update.
    pub result: Bytes,
    /// The rows that the update changed, to be written to disk.
    pub rows: Vec<Row>,
}

/// The replicated state machine. Applying the same updates with the same timestamps gives the same state on
/// every replica.
pub trait StateMachine {
    /// Applies an update. `stamp` is a timestamp in milliseconds that never decreases from one update to the
    /// next.
    fn apply(&mut self, stamp: u64, update: &Bytes) -> Applied;
    /// Replaces the whole state with these rows.
    fn load(&mut self, rows: &Rows);
}
