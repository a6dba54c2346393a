//! Who is heard of, and what each tells of itself.

use std::collections::HashMap;

use crate::message::{Ballot, Peer, Standing};

/// A machine as it is known.
struct Known {
    heard: u64,
    standing: Option<Standing>,
}

/// The other founders.
pub struct Others {
    known: HashMap<Peer, Known>,
    silence: u64,
}

impl Others {
    /// Nothing is known of these; after `silence` milliseconds one counts as lost.
    pub fn new(peers: impl Iterator<Item = Peer>, silence: u64) -> Others {
        let known = peers.map(|peer| (peer, Known { heard: 0, standing: None })).collect();
        Others { known, silence }
    }

    /// Something came from one.
    pub fn heard(&mut self, now: u64, peer: Peer, standing: Option<&Standing>) {
        if let Some(known) = self.known.get_mut(&peer) {
            known.heard = now;
            if let Some(standing) = standing {
                known.standing = Some(standing.clone());
            }
        }
    }

    /// Those that were heard lately.
    pub fn hears(&self, now: u64) -> Vec<Peer> {
        let mut peers: Vec<Peer> =
            self.known.iter().filter(|(_, k)| self.lately(now, k)).map(|(p, _)| *p).collect();
        peers.sort_unstable();
        peers
    }

    fn lately(&self, now: u64, known: &Known) -> bool {
        known.standing.is_some() && now.saturating_sub(known.heard) <= self.silence
    }

    /// What one that is heard tells of itself.
    pub fn standing(&self, now: u64, peer: Peer) -> Option<&Standing> {
        let known = self.known.get(&peer).filter(|k| self.lately(now, k))?;
        known.standing.as_ref()
    }

    /// Heard, hearing this machine too, and with a disk that takes writes.
    pub fn fit(&self, now: u64, me: Peer, peer: Peer) -> bool {
        self.standing(now, peer).is_some_and(|s| s.healthy && s.hears.contains(&me))
    }

    /// The highest ballot that anybody has told of.
    pub fn highest(&self) -> Option<Ballot> {
        self.known.values().filter_map(|k| k.standing.as_ref()).map(|s| s.promised).max()
    }

    /// All that are heard.
    pub fn all(&self, now: u64) -> impl Iterator<Item = &Standing> {
        self.known.values().filter(move |k| self.lately(now, k)).filter_map(|k| k.standing.as_ref())
    }
}
