//! Which change of the set of voters is due: a pure rule over what the head of the chain hears.

use crate::identity::{Replica, VoterSet};

/// A voter that has been silent for so many milliseconds gives its place to a learner that is ready.
pub const REPLACE_AFTER: u64 = 1500;

/// A voter as the head hears it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Voter {
    /// Who.
    pub replica: Replica,
    /// For how long nothing has come from its machine, in milliseconds.
    pub silent_for: u64,
    /// Its machine has another disk now: this replica is gone for good.
    pub disk_lost: bool,
    /// It is about to end.
    pub leaving: bool,
}

/// The next set of voters, where one is due. `learners` are ready to vote: they lack next to nothing, are heard by all of
/// the chain, and stay. `target` is the size up to which the set grows.
pub fn next_voters(
    current: &VoterSet,
    voters: &[Voter],
    learners: &[Replica],
    target: usize,
) -> Option<VoterSet> {
    let learner = *learners.iter().min()?;
    // A machine whose disk was lost takes the place of its former self.
    let returned = learners.iter().copied().find_map(|learner| {
        let former = voters.iter().find(|voter| voter.disk_lost && voter.replica.peer == learner.peer)?;
        Some((former.replica, learner))
    });
    if let Some((former, learner)) = returned {
        return Some(current.changed(Some(former), Some(learner)));
    }
    if current.replicas.len() < target {
        return Some(current.changed(None, Some(learner)));
    }
    let gone = voters.iter().filter(|voter| voter.disk_lost || voter.silent_for >= REPLACE_AFTER);
    let gone = gone.max_by_key(|voter| (voter.disk_lost, voter.silent_for));
    let out = gone.or_else(|| voters.iter().find(|voter| voter.leaving))?;
    Some(current.changed(Some(out.replica), Some(learner)))
}
