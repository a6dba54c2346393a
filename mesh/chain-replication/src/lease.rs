//! Leases: for how long a replica may take itself for current without asking.
//!
//! A replica that works in a view grants a lease to each peer of the same view whose heartbeat it echoes in its own. For
//! [`GRANTED`] milliseconds after the last heartbeat that it has heard of a peer, it enters no view that leaves this peer
//! out. A peer holds a lease while a quorum, itself included, has echoed heartbeats that it *sent* less than [`HELD`]
//! milliseconds ago; they were heard later than they were sent. Every new view needs a quorum to enter it, and two quorums
//! meet: as long as the lease is held there is no newer view without its holder. Both spans are measured by steady clocks
//! of two machines; their rates may differ by [`HELD`] to [`GRANTED`], a tenth. The clock that can be set is never used.

use std::collections::HashMap;

use crate::identity::{Peer, Replica, View, ViewNumber};
use crate::message::Heartbeat;

/// How long the granting side keeps to a lease, in milliseconds.
pub const GRANTED: u64 = 500;
/// How long the holding side relies on it, in milliseconds.
pub const HELD: u64 = 450;

/// Leases that were given and taken.
#[derive(Default)]
pub struct Leases {
    /// What an earlier life of this process granted is over by then.
    former_until: u64,
    /// By peer: when its last heartbeat came.
    heard: HashMap<Peer, u64>,
    /// By peer: the view, and when this machine sent the heartbeat that the peer has echoed.
    echoed: HashMap<Peer, (ViewNumber, u64)>,
}

impl Leases {
    /// After a start: what was granted by an earlier life of the process may still be relied upon.
    pub fn after_start(now: u64, was_member: bool) -> Leases {
        Leases { former_until: if was_member { now + GRANTED } else { 0 }, ..Leases::default() }
    }

    /// Until when an earlier life of this process may have granted something.
    pub fn former_until(&self) -> u64 {
        self.former_until
    }

    /// Until when no view may be entered that leaves a peer out.
    pub fn granted_until(&self, peer: Peer) -> u64 {
        let heard = self.heard.get(&peer).map_or(0, |at| at + GRANTED);
        heard.max(self.former_until)
    }

    /// Forgets peers that are no longer known.
    pub fn retain(&mut self, known: &[Peer]) {
        self.heard.retain(|peer, _| known.contains(peer));
        self.echoed.retain(|peer, _| known.contains(peer));
    }

    /// A heartbeat came.
    pub fn heard(&mut self, now: u64, me: Peer, heartbeat: &Heartbeat) {
        self.heard.insert(heartbeat.replica.peer, now);
        self.take_echo(me, heartbeat);
    }

    /// It may echo one of this machine's.
    fn take_echo(&mut self, me: Peer, heartbeat: &Heartbeat) {
        let Some(view) = heartbeat.view.filter(|_| heartbeat.active) else { return };
        let Some(heard) = heartbeat.heard.iter().find(|heard| heard.peer == me) else { return };
        let echo = self.echoed.entry(heartbeat.replica.peer).or_insert((view, heard.sent_at));
        if (view, heard.sent_at) > *echo {
            *echo = (view, heard.sent_at);
        }
    }

    /// Whether this machine holds a lease in a view.
    pub fn holds(&self, now: u64, me: &Replica, view: &View, established: bool) -> bool {
        let grants = |replica: &Replica| {
            let echo = self.echoed.get(&replica.peer);
            echo.is_some_and(|(number, sent_at)| {
                *number == view.number && now.saturating_sub(*sent_at) < HELD
            })
        };
        view.is_quorum(established, |replica| replica == me || grants(replica))
    }
}
