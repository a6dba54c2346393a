//! The other core machines: who is heard of, and what each says of itself.

use std::collections::BTreeMap;

use crate::identity::{Peer, View, ViewNumber};
use crate::message::{Heard, Heartbeat};

/// Most core machines that are known at once. Guards the memory against strangers.
const MOST_PEERS: usize = 64;

/// A machine as it is known.
#[derive(Default)]
struct Known {
    heard_at: u64,
    heartbeat: Option<Heartbeat>,
    /// It was named by the settings or by others; it is spoken to though it has said nothing yet.
    introduced: bool,
}

/// The other core machines.
pub struct Peers {
    known: BTreeMap<Peer, Known>,
    me: Peer,
    silence: u64,
}

impl Peers {
    /// Nobody is known; after `silence` milliseconds without a heartbeat a machine counts as lost.
    pub fn new(me: Peer, silence: u64) -> Peers {
        Peers { known: BTreeMap::new(), me, silence }
    }

    /// Names machines that may be there, in place of those that were introduced before.
    pub fn introduce(&mut self, peers: &[Peer]) {
        self.known.values_mut().for_each(|known| known.introduced = false);
        let me = self.me;
        for peer in peers.iter().copied().filter(|peer| *peer != me) {
            if let Some(known) = self.entry(peer) {
                known.introduced = true;
            }
        }
    }

    fn entry(&mut self, peer: Peer) -> Option<&mut Known> {
        if !self.known.contains_key(&peer) && self.known.len() >= MOST_PEERS {
            return None;
        }
        Some(self.known.entry(peer).or_default())
    }

    /// Something came from one.
    pub fn heard(&mut self, now: u64, peer: Peer, heartbeat: Option<&Heartbeat>) {
        // Only a heartbeat makes a machine known.
        let known = match heartbeat {
            Some(_) => self.entry(peer),
            None => self.known.get_mut(&peer),
        };
        if let Some(known) = known {
            known.heard_at = now;
            if let Some(heartbeat) = heartbeat {
                known.heartbeat = Some(heartbeat.clone());
            }
        }
    }

    /// Forgets machines that neither `view` nor the settings name and that have been silent for long.
    pub fn forget_strangers(&mut self, now: u64, view: Option<&View>, after: u64) {
        let named: Vec<Peer> = view.iter().flat_map(|v| v.replicas()).map(|r| r.peer).collect();
        self.known.retain(|peer, known| {
            known.introduced || named.contains(peer) || now.saturating_sub(known.heard_at) < after
        });
    }

    /// Those that are spoken to.
    pub fn addresses(&self) -> Vec<Peer> {
        self.known.keys().copied().collect()
    }

    /// Those that were heard lately, with the time at which they sent their last heartbeat.
    pub fn heard_lately(&self, now: u64) -> Vec<Heard> {
        let heard = |(peer, known): (&Peer, &Known)| {
            let heartbeat = known.heartbeat.as_ref().filter(|_| self.lately(now, known))?;
            Some(Heard { peer: *peer, sent_at: heartbeat.sent_at })
        };
        self.known.iter().filter_map(heard).collect()
    }

    fn lately(&self, now: u64, known: &Known) -> bool {
        known.heartbeat.is_some() && now.saturating_sub(known.heard_at) <= self.silence
    }

    /// For how long nothing has come from a machine.
    pub fn silent_for(&self, now: u64, peer: Peer) -> u64 {
        self.known.get(&peer).map_or(now, |known| now.saturating_sub(known.heard_at))
    }

    /// The last heartbeat of a machine that is heard.
    pub fn heartbeat(&self, now: u64, peer: Peer) -> Option<&Heartbeat> {
        let known = self.known.get(&peer).filter(|known| self.lately(now, known))?;
        known.heartbeat.as_ref()
    }

    /// Heard, hearing this machine too, and with a disk that takes writes.
    pub fn fit(&self, now: u64, peer: Peer) -> bool {
        self.heartbeat(now, peer)
            .is_some_and(|h| h.healthy && h.heard.iter().any(|heard| heard.peer == self.me))
    }

    /// The highest view number that anybody has promised.
    pub fn highest_promise(&self) -> Option<ViewNumber> {
        self.known.values().filter_map(|known| known.heartbeat.as_ref()).map(|h| h.promised).max()
    }

    /// The heartbeats of all that are heard.
    pub fn all(&self, now: u64) -> impl Iterator<Item = &Heartbeat> {
        self.known
            .values()
            .filter(move |known| self.lately(now, known))
            .filter_map(|known| known.heartbeat.as_ref())
    }
}
