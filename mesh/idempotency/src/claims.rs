//! Who may run an operation: the first to claim its key.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// What is asked of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimUpdate {
    /// May this run go?
    Claim {
        /// The key.
        key: Bytes,
        /// The run, never used for another.
        run: u64,
        /// The machine that would run it.
        holder: String,
    },
    /// It did not run and never will.
    Release {
        /// The key.
        key: Bytes,
        /// The run.
        run: u64,
    },
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The run may go, or its claim is taken back.
    Granted,
    /// Another run has the key.
    Held {
        /// That run.
        run: u64,
        /// On this machine.
        holder: String,
    },
}

/// What is kept of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// When it was claimed.
    pub stamp: u64,
    /// By which run.
    pub run: u64,
    /// On which machine.
    pub holder: String,
}

/// All keys within their window.
#[derive(Debug, Default)]
pub struct Claims {
    claims: HashMap<Bytes, Claim>,
    /// In the order of their claims.
    order: VecDeque<(u64, u64, Bytes)>,
    window: u64,
}

/// Claims that changed: the key, and what is kept now.
pub type Changed = Vec<(Bytes, Option<Claim>)>;

impl Claims {
    /// None; keys are kept for `window` milliseconds.
    pub fn new(window: u64) -> Claims {
        Claims { window, ..Claims::default() }
    }

    /// How many keys are kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// What is kept of a key.
    pub fn get(&self, key: &Bytes) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// All of it.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Claim)> {
        self.claims.iter()
    }

    /// Takes these claims in place of all others.
    pub fn replace_all(&mut self, claims: impl Iterator<Item = (Bytes, Claim)>) {
        self.claims = claims.collect();
        let mut order: Vec<_> = self.claims.iter().map(|(k, c)| (c.stamp, c.run, k.clone())).collect();
        order.sort_unstable();
        self.order = order.into();
    }

    /// Applies an update. Stamps never go back.
    pub fn apply(&mut self, stamp: u64, update: &ClaimUpdate) -> (ClaimOutcome, Changed) {
        let mut changed = self.expire(stamp);
        let outcome = match update {
            ClaimUpdate::Claim { key, run, holder } => match self.claims.get(key) {
                Some(claim) if claim.run != *run => {
                    ClaimOutcome::Held { run: claim.run, holder: claim.holder.clone() }
                }
                Some(_) => ClaimOutcome::Granted,
                None => {
                    let claim = Claim { stamp, run: *run, holder: holder.clone() };
                    self.order.push_back((stamp, *run, key.clone()));
                    changed.push((key.clone(), Some(claim.clone())));
                    self.claims.insert(key.clone(), claim);
                    ClaimOutcome::Granted
                }
            },
            ClaimUpdate::Release { key, run } => {
                if self.claims.get(key).is_some_and(|c| c.run == *run) {
                    self.claims.remove(key);
                    changed.push((key.clone(), None));
                }
                ClaimOutcome::Granted
            }
        };
        (outcome, changed)
    }

    /// Forgets what is older than the window.
    fn expire(&mut self, stamp: u64) -> Changed {
        let mut changed = Changed::new();
        while self.order.front().is_some_and(|(at, ..)| at.saturating_add(self.window) < stamp) {
            let Some((at, run, key)) = self.order.pop_front() else { break };
            // It may have been taken back, and claimed anew since.
            if self.claims.get(&key).is_some_and(|c| c.run == run && c.stamp == at) {
                self.claims.remove(&key);
                changed.push((key, None));
            }
        }
        changed
    }
}
