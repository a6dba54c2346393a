//! The other control-plane machines: when each was last heard from and its last heartbeat.

use std::collections::BTreeMap;

use crate::identity::{Peer, View, ViewNumber};
use crate::message::{Heartbeat, HeartbeatEcho};

/// Maximum number of other machines known at once. Bounds memory if unknown machines send heartbeats.
const MAX_PEERS: usize = 64;

/// What is known about one machine.
#[derive(Default)]
struct PeerState {
    /// Local time of the last message from the machine, in milliseconds.
    last_message_at: u64,
    /// The last heartbeat received from the machine.
    heartbeat: Option<Heartbeat>,
    /// Whether the settings or a view name this machine. Heartbeats are sent to a listed machine even before it
    /// has sent any.
    listed: bool,
}

/// All other control-plane machines known to this one.
pub struct Peers {
    /// The known machines by address.
    peers: BTreeMap<Peer, PeerState>,
    /// Address of this machine, which is never listed in `peers`.
    me: Peer,
    /// Time without a message after which a machine counts as lost, in milliseconds.
    silence_timeout_ms: u64,
}

impl Peers {
    /// Creates an empty table. A machine counts as lost after `silence_timeout_ms` without a message.
    pub fn new(me: Peer, silence_timeout_ms: u64) -> Peers {
        Peers { peers: BTreeMap::new(), me, silence_timeout_ms }
    }

    /// Sets the machines named by the settings or by a view, in place of the previously named ones.
    pub fn set_listed(&mut self, peers: &[Peer]) {
        self.peers.values_mut().for_each(|state| state.listed = false);
        let me = self.me;
        for peer in peers.iter().copied().filter(|peer| *peer != me) {
            if let Some(state) = self.entry(peer) {
                state.listed = true;
            }
        }
    }

    /// The state of a machine, created if needed; `None` if the table is full.
    fn entry(&mut self, peer: Peer) -> Option<&mut PeerState> {
        if !self.peers.contains_key(&peer) && self.peers.len() >= MAX_PEERS {
            return None;
        }
        Some(self.peers.entry(peer).or_default())
    }

    /// Records a message from a machine, with the heartbeat if the message is one.
    pub fn record_message(&mut self, now: u64, peer: Peer, heartbeat: Option<&Heartbeat>) {
        // Only a heartbeat adds a machine to the table.
        let state = match heartbeat {
            Some(_) => self.entry(peer),
            None => self.peers.get_mut(&peer),
        };
        if let Some(state) = state {
            state.last_message_at = now;
            if let Some(heartbeat) = heartbeat {
                state.heartbeat = Some(heartbeat.clone());
            }
        }
    }

    /// Removes machines that neither `view` nor the settings name and that have been silent for `after`
    /// milliseconds.
    pub fn remove_unlisted(&mut self, now: u64, view: Option<&View>, after: u64) {
        let named: Vec<Peer> = view.iter().flat_map(|v| v.replicas()).map(|r| r.peer).collect();
        self.peers.retain(|peer, state| {
            state.listed || named.contains(peer) || now.saturating_sub(state.last_message_at) < after
        });
    }

    /// The addresses of all known machines; heartbeats are sent to each of them.
    pub fn addresses(&self) -> Vec<Peer> {
        self.peers.keys().copied().collect()
    }

    /// Echoes of the last heartbeat of every live machine.
    pub fn heartbeat_echoes(&self, now: u64) -> Vec<HeartbeatEcho> {
        let echo = |(peer, state): (&Peer, &PeerState)| {
            let heartbeat = state.heartbeat.as_ref().filter(|_| self.is_live(now, state))?;
            Some(HeartbeatEcho { peer: *peer, sent_at: heartbeat.sent_at })
        };
        self.peers.iter().filter_map(echo).collect()
    }

    /// Whether a machine has sent a heartbeat and has not been silent for longer than the timeout.
    fn is_live(&self, now: u64, state: &PeerState) -> bool {
        state.heartbeat.is_some() && now.saturating_sub(state.last_message_at) <= self.silence_timeout_ms
    }

    /// Time since the last message from a machine, in milliseconds.
    pub fn silent_for_ms(&self, now: u64, peer: Peer) -> u64 {
        self.peers.get(&peer).map_or(now, |state| now.saturating_sub(state.last_message_at))
    }

    /// The last heartbeat of a machine, if the machine is live.
    pub fn heartbeat(&self, now: u64, peer: Peer) -> Option<&Heartbeat> {
        let state = self.peers.get(&peer).filter(|state| self.is_live(now, state))?;
        state.heartbeat.as_ref()
    }

    /// Whether a machine is live, receives this machine's heartbeats and has a disk that accepts writes.
    pub fn is_usable(&self, now: u64, peer: Peer) -> bool {
        self.heartbeat(now, peer)
            .is_some_and(|h| h.healthy && h.echoes.iter().any(|echo| echo.peer == self.me))
    }

    /// The highest view number that any known machine has promised.
    pub fn highest_promise(&self) -> Option<ViewNumber> {
        self.peers.values().filter_map(|state| state.heartbeat.as_ref()).map(|h| h.promised).max()
    }

    /// The last heartbeats of all live machines.
    pub fn live_heartbeats(&self, now: u64) -> impl Iterator<Item = &Heartbeat> {
        self.peers
            .values()
            .filter(move |state| self.is_live(now, state))
            .filter_map(|state| state.heartbeat.as_ref())
    }
}
