//! Decides which change of the voter set is due, as a pure function of what the head of the chain observes.

use crate::identity::{Replica, VoterSet};

/// How long a voter must be silent before a ready learner replaces it, in milliseconds.
pub const REPLACE_AFTER_SILENCE_MS: u64 = 1500;

/// The status of a voter as observed by the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VoterStatus {
    /// The voter.
    pub replica: Replica,
    /// Time since the last message from the voter's machine, in milliseconds.
    pub silent_for_ms: u64,
    /// The machine now has a different disk, so this replica will never return.
    pub disk_lost: bool,
    /// The voter is about to shut down.
    pub leaving: bool,
}

/// The next voter set, if a change is due. `learners` are ready to vote: they are almost caught up, every
/// replica of the chain receives their heartbeats, and they are not leaving. `target` is the size up to which
/// the voter set grows.
pub fn next_voters(
    current: &VoterSet,
    voters: &[VoterStatus],
    learners: &[Replica],
    target: usize,
) -> Option<VoterSet> {
    let learner = *learners.iter().min()?;
    // A machine whose disk was lost replaces its own former replica first.
    let returned = learners.iter().copied().find_map(|learner| {
        let former = voters.iter().find(|voter| voter.disk_lost && voter.replica.peer == learner.peer)?;
        Some((former.replica, learner))
    });
    if let Some((former, learner)) = returned {
        return Some(current.with_change(Some(former), Some(learner)));
    }
    if current.replicas.len() < target {
        return Some(current.with_change(None, Some(learner)));
    }
    let unavailable =
        voters.iter().filter(|voter| voter.disk_lost || voter.silent_for_ms >= REPLACE_AFTER_SILENCE_MS);
    let unavailable = unavailable.max_by_key(|voter| (voter.disk_lost, voter.silent_for_ms));
    let removed = unavailable.or_else(|| voters.iter().find(|voter| voter.leaving))?;
    Some(current.with_change(Some(removed.replica), Some(learner)))
}
