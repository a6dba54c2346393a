//! Control state in a chain: updates enter at the head, pass each replica, and are answered by the tail once every replica
//! of the chain has them on disk. A small view, agreed on by majorities of a numbered set of voters, names the chain and
//! mends it, and changes the set of voters. Neither I/O nor a clock: messages, finished writes and the time come in,
//! [`Output`]s come out.
//!
//! # Why an acknowledged update is never lost
//!
//! A view has a number, a chain, a set of voters and, while that set changes, the outgoing set. It is *established* when
//! all replicas of its chain have accepted it on disk. The rules:
//!
//! 1. A replica accepts no view below the number that it has promised last ([`Proposal`](proposal::Proposal)).
//! 2. A proposer goes by the newest view W that any of its promisers has accepted. It needs promises of a majority of W's
//!    voters and, unless a promiser knows W as established, of a majority of W's outgoing set.
//! 3. If W is known as established, the next view may name a set of voters that differs by one replica; W's set is the
//!    outgoing one then. If it is not, both sets are taken over as they are.
//! 4. The chain of a view holds majorities of its voters and of its outgoing set.
//! 5. A view begins with the state of the promiser with the newest accepted view and, among those, the longest state.
//!
//! For a view X let E(X) be the newest established view below X. *Invariant*: the voters of E(X) are X's voters or X's
//! outgoing set. By induction over the numbers: let W be the view that X's proposer went by. W is not older than E(X) (see
//! below). If W is E(X), X has W's voters as one of its sets by rule 3. If W is newer, it is never established, so X took
//! over both sets of W, and E(W) is E(X).
//!
//! *W is not older than E(X).* Suppose it is, and let F be the oldest established view above W, so E(F) is not above W.
//! By the invariant F's chain holds a majority of the voters of E(F) (rule 4). If W is established, E(F) is W, and by rule
//! 2 a promiser is in F's chain. If not, E(F) is E(W), whose voters are W's voters or W's outgoing set, and rule 2 asks for
//! majorities of both: again a promiser is in F's chain. It accepted F before it promised X (rule 1), so the proposer
//! saw F, which is newer than W.
//!
//! An update is acknowledged when all of the chain of a view V have it on disk, and then V is established. Every later view
//! begins with a state that contains it: its proposer's W is V or newer; if it is V, some replica of V's chain is among
//! the promisers, and the longest state of V holds what all of the chain hold; if it is newer, W itself began with it.
//!
//! A disk that is lost comes back as another [`Replica`], whose promises count for nothing until a view names it as a voter.
//! A replica that was replaced is in no set that matters, and its copy is no longer read: rule 5 goes by accepted views,
//! and it has accepted none of the newer ones.
//!
//! # Learners
//!
//! Whoever is outside of the chain follows it by [`Message::Fetch`]: a snapshot in pieces, then updates that are committed.
//! The chain goes on meanwhile. The head takes a voter that has caught up into the chain, and makes a learner a voter by
//! the rule in [`membership`].

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

/// A row of the state: its key, and its value or nothing where it is gone.
pub type Row = (Bytes, Option<Bytes>);

/// What an update did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// For whoever asked.
    pub result: Bytes,
    /// What changes on disk.
    pub rows: Vec<Row>,
}

/// The state that the chain keeps. The same updates with the same stamps make the same state everywhere.
pub trait StateMachine {
    /// Applies an update. Stamps are milliseconds that never go back.
    fn apply(&mut self, stamp: u64, update: &Bytes) -> Applied;
    /// Takes these rows in place of all others.
    fn load(&mut self, rows: &Rows);
}
