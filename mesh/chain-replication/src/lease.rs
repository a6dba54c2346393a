//! Leases: how long a replica may assume, without asking, that no newer view excludes it.
//!
//! A replica that is active in a view grants a lease to each peer of the same view by echoing the peer's
//! heartbeat in its own. For [`GRANT_DURATION_MS`] after the last heartbeat it received from a peer, it
//! enters no view that excludes this peer. A peer holds a lease while a quorum, including itself, has echoed
//! heartbeats that the peer *sent* less than [`HOLD_DURATION_MS`] ago; each was received later than it was
//! sent. Every new view needs a quorum to enter it, and any two quorums intersect: while the lease is held
//! there is no newer view without its holder. The two durations are measured by the monotonic clocks of two
//! machines. The clock rates may differ by the ratio of [`HOLD_DURATION_MS`] to [`GRANT_DURATION_MS`], a
//! tenth. The wall clock is never used because it can be set.

use std::collections::HashMap;

use crate::identity::{Peer, Replica, View, ViewNumber};
use crate::message::Heartbeat;

/// How long a granting replica honors a lease after it received the holder's heartbeat, in milliseconds.
pub const GRANT_DURATION_MS: u64 = 500;
/// How long a holder relies on a lease after it sent the echoed heartbeat, in milliseconds.
pub const HOLD_DURATION_MS: u64 = 450;

/// The leases that this machine has granted to its peers and received from them.
#[derive(Default)]
pub struct Leases {
    /// End of all leases that a previous run of this process may have granted, in milliseconds of the local
    /// clock.
    previous_grants_until: u64,
    /// For each peer, the local time at which its last heartbeat arrived.
    last_heartbeat_at: HashMap<Peer, u64>,
    /// For each peer, the view of its last echo and the local time at which this machine sent the echoed
    /// heartbeat.
    echoes: HashMap<Peer, (ViewNumber, u64)>,
}

impl Leases {
    /// State after a process start. If this machine was a member of a chain (`was_member`), leases granted by
    /// the previous run may still be in use for [`GRANT_DURATION_MS`].
    pub fn after_start(now: u64, was_member: bool) -> Leases {
        Leases {
            previous_grants_until: if was_member { now + GRANT_DURATION_MS } else { 0 },
            ..Leases::default()
        }
    }

    /// The time until which leases granted by a previous run of this process may be in use.
    pub fn previous_grants_until(&self) -> u64 {
        self.previous_grants_until
    }

    /// The time until which this machine must not enter a view that excludes `peer`.
    pub fn granted_until(&self, peer: Peer) -> u64 {
        let granted = self.last_heartbeat_at.get(&peer).map_or(0, |at| at + GRANT_DURATION_MS);
        granted.max(self.previous_grants_until)
    }

    /// Drops the state of all peers that are not in `known`.
    pub fn retain(&mut self, known: &[Peer]) {
        self.last_heartbeat_at.retain(|peer, _| known.contains(peer));
        self.echoes.retain(|peer, _| known.contains(peer));
    }

    /// Records a heartbeat that arrived from a peer, which extends the lease granted to that peer.
    pub fn record_heartbeat(&mut self, now: u64, me: Peer, heartbeat: &Heartbeat) {
        self.last_heartbeat_at.insert(heartbeat.replica.peer, now);
        self.record_echo(me, heartbeat);
    }

    /// If the heartbeat echoes one that this machine sent, records the echo as a lease granted by the sender.
    fn record_echo(&mut self, me: Peer, heartbeat: &Heartbeat) {
        let Some(view) = heartbeat.view.filter(|_| heartbeat.active) else { return };
        let Some(received) = heartbeat.echoes.iter().find(|echo| echo.peer == me) else { return };
        let echo = self.echoes.entry(heartbeat.replica.peer).or_insert((view, received.sent_at));
        if (view, received.sent_at) > *echo {
            *echo = (view, received.sent_at);
        }
    }

    /// Whether this machine holds a lease in a view, that is, a quorum of the view has echoed recent
    /// heartbeats.
    pub fn holds(&self, now: u64, me: &Replica, view: &View, established: bool) -> bool {
        let grants = |replica: &Replica| {
            let echo = self.echoes.get(&replica.peer);
            echo.is_some_and(|(number, sent_at)| {
                *number == view.number && now.saturating_sub(*sent_at) < HOLD_DURATION_MS
            })
        };
        view.is_quorum(established, |replica| replica == me || grants(replica))
    }
}
