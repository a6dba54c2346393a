//! The claim table: grants each operation key to the first run that claims it.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A change requested of the claim table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimUpdate {
    /// Claims a key for a run; granted unless another run holds the key.
    Claim {
        /// The operation key to claim.
        key: Bytes,
        /// Identifier of the run that claims the key; never used for another run.
        run: u64,
        /// Name of the machine that executes the run if the claim is granted.
        holder: String,
    },
    /// Releases the claim of a run that never started and never will.
    Release {
        /// The operation key to release.
        key: Bytes,
        /// Identifier of the run that gives up its claim; the claim of any other run stays.
        run: u64,
    },
}

/// Result of applying a [`ClaimUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The run that asked holds the key and may start, or its claim is released.
    Granted,
    /// Another run holds the key, or the run that asked has released it before and must not start.
    Held {
        /// Identifier of the run that holds the key.
        run: u64,
        /// Name of the machine that executes the run that holds the key.
        holder: String,
    },
}

/// The claim stored for an operation key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// When the claim was granted, in milliseconds on the clock of [`Claims::apply`].
    #[serde(rename = "stamp")]
    pub claimed_at_ms: u64,
    /// Identifier of the run that holds the claim.
    pub run: u64,
    /// Name of the machine that executes the run.
    pub holder: String,
}

/// A run that has released its key. A claim of it that arrives later, by way of a slow machine, holds nothing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReleasedRun {
    /// The operation key.
    pub key: Bytes,
    /// Identifier of the run.
    pub run: u64,
}

/// All claims and releases that are younger than the claim window.
#[derive(Debug, Default)]
pub struct Claims {
    /// Claims by operation key.
    claims: HashMap<Bytes, Claim>,
    /// Grant time, run and key of each claim, oldest first. Released claims stay listed until they expire.
    expiry_order: VecDeque<(u64, u64, Bytes)>,
    /// Time of each release, in milliseconds.
    releases: HashMap<ReleasedRun, u64>,
    /// The same releases, oldest first.
    release_expiry_order: VecDeque<(u64, ReleasedRun)>,
    /// Age in milliseconds at which a claim or a release expires.
    window_ms: u64,
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClaimChanges {
    /// Each changed key with its new claim, or `None` if the key is no longer claimed.
    pub claims: Vec<(Bytes, Option<Claim>)>,
    /// Each changed release with its time in milliseconds, or `None` if it is not remembered any more.
    pub releases: Vec<(ReleasedRun, Option<u64>)>,
}

impl Claims {
    /// Creates an empty table whose claims expire after `window_ms` milliseconds.
    pub fn new(window_ms: u64) -> Claims {
        Claims { window_ms, ..Claims::default() }
    }

    /// Number of stored claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// The claim stored for an operation key.
    pub fn get(&self, key: &Bytes) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Iterates over all operation keys and their claims, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Bytes, &Claim)> {
        self.claims.iter()
    }

    /// Iterates over all remembered releases and their times in milliseconds, in no particular order.
    pub fn releases(&self) -> impl Iterator<Item = (&ReleasedRun, u64)> {
        self.releases.iter().map(|(released, at)| (released, *at))
    }

    /// Replaces all stored claims and releases by the given ones.
    pub fn replace_all(
        &mut self,
        claims: impl Iterator<Item = (Bytes, Claim)>,
        releases: impl Iterator<Item = (ReleasedRun, u64)>,
    ) {
        self.releases = releases.collect();
        let mut release_order: Vec<_> = self.releases.iter().map(|(r, at)| (*at, r.clone())).collect();
        release_order.sort_unstable();
        self.release_expiry_order = release_order.into();
        self.claims = claims.collect();
        let mut order: Vec<_> =
            self.claims.iter().map(|(k, c)| (c.claimed_at_ms, c.run, k.clone())).collect();
        order.sort_unstable();
        self.expiry_order = order.into();
    }

    /// Applies an update at the time `now_ms`, which never decreases from one call to the next. Returns the outcome and
    /// all claims and releases that changed, including those that expired.
    pub fn apply(&mut self, now_ms: u64, update: &ClaimUpdate) -> (ClaimOutcome, ClaimChanges) {
        let mut changed = self.expire(now_ms);
        let outcome = match update {
            ClaimUpdate::Claim { key, run, holder } => match self.claims.get(key) {
                Some(claim) if claim.run != *run => {
                    ClaimOutcome::Held { run: claim.run, holder: claim.holder.clone() }
                }
                Some(_) => ClaimOutcome::Granted,
                None if self.releases.contains_key(&ReleasedRun { key: key.clone(), run: *run }) => {
                    ClaimOutcome::Held { run: *run, holder: holder.clone() }
                }
                None => {
                    let claim = Claim { claimed_at_ms: now_ms, run: *run, holder: holder.clone() };
                    self.expiry_order.push_back((now_ms, *run, key.clone()));
                    changed.claims.push((key.clone(), Some(claim.clone())));
                    self.claims.insert(key.clone(), claim);
                    ClaimOutcome::Granted
                }
            },
            ClaimUpdate::Release { key, run } => {
                if self.claims.get(key).is_some_and(|c| c.run == *run) {
                    self.claims.remove(key);
                    changed.claims.push((key.clone(), None));
                }
                let released = ReleasedRun { key: key.clone(), run: *run };
                if !self.releases.contains_key(&released) {
                    self.releases.insert(released.clone(), now_ms);
                    self.release_expiry_order.push_back((now_ms, released.clone()));
                    changed.releases.push((released, Some(now_ms)));
                }
                ClaimOutcome::Granted
            }
        };
        (outcome, changed)
    }

    /// Removes all claims and releases that are older than the window.
    fn expire(&mut self, now_ms: u64) -> ClaimChanges {
        let mut changed = ClaimChanges::default();
        while self.expiry_order.front().is_some_and(|(at, ..)| at.saturating_add(self.window_ms) < now_ms) {
            let Some((at, run, key)) = self.expiry_order.pop_front() else { break };
            // The claim may have been released and its key claimed again since.
            if self.claims.get(&key).is_some_and(|c| c.run == run && c.claimed_at_ms == at) {
                self.claims.remove(&key);
                changed.claims.push((key, None));
            }
        }
        while self
            .release_expiry_order
            .front()
            .is_some_and(|(at, _)| at.saturating_add(self.window_ms) < now_ms)
        {
            let Some((_, released)) = self.release_expiry_order.pop_front() else { break };
            self.releases.remove(&released);
            changed.releases.push((released, None));
        }
        changed
    }
}
