//! A proposed view: collects promises, then chooses the chain of the view and its initial state.

use crate::identity::{Peer, Position, Replica, View, ViewNumber, VoterSet};

/// A replica's promise to accept no view with a number lower than the proposed one.
#[derive(Clone, Debug)]
pub struct Promise {
    /// The replica that made the promise.
    pub replica: Replica,
    /// The view that the replica accepted last.
    pub accepted: Option<View>,
    /// Whether the replica knows that every replica of that view's chain has accepted it.
    pub established: bool,
    /// The end of the replica's state.
    pub position: Position,
    /// Whether the replica is outside the chain but almost caught up with it.
    pub caught_up: bool,
    /// Whether the replica is about to shut down.
    pub leaving: bool,
}

/// A view that this machine has proposed and that is not installed yet.
pub struct Proposal {
    /// The number of the proposed view.
    pub number: ViewNumber,
    /// Local time at which the proposal was started, in milliseconds.
    pub started_at: u64,
    /// Whether the chain has been chosen and the view sent to its replicas.
    pub chosen: bool,
    /// The new voter set that the view introduces, if it changes the set.
    change: Option<VoterSet>,
    /// Number of replicas that were asked for a promise, including this machine.
    expected: usize,
    /// The promises received so far, at most one for each machine.
    promises: Vec<Promise>,
}

/// The outcome of a proposal.
#[derive(Debug, PartialEq)]
pub struct ChosenView {
    /// The new view.
    pub view: View,
    /// Position of the state with which the view starts.
    pub base: Position,
    /// A machine that has that initial state.
    pub source: Peer,
}

impl Proposal {
    /// Starts a proposal for which `expected` replicas are asked for a promise.
    pub fn new(number: ViewNumber, started_at: u64, change: Option<VoterSet>, expected: usize) -> Proposal {
        Proposal { number, started_at, chosen: false, change, expected, promises: Vec::new() }
    }

    /// Adds a promise, replacing an earlier one from the same machine.
    pub fn add_promise(&mut self, promise: Promise) {
        self.promises.retain(|existing| existing.replica.peer != promise.replica.peer);
        self.promises.push(promise);
    }

    /// Whether every replica that was asked has promised.
    pub fn all_promised(&self) -> bool {
        self.promises.len() >= self.expected
    }

    /// The new view, once enough replicas have promised; the crate documentation explains why this is safe.
    /// If `copies` voters or more have promised, the chain contains at least `copies` voters, even if some of
    /// them are far behind.
    pub fn choose(&self, copies: usize) -> Option<ChosenView> {
        let promised = |replica: &Replica| self.promises.iter().any(|p| p.replica == *replica);
        // Only voters can have accepted a view that counts.
        let accepted = |p: &Promise| p.accepted.as_ref().map(|view| view.number);
        let newest = self.promises.iter().max_by_key(|p| (accepted(p), p.position))?;
        let previous = newest.accepted.as_ref()?;
        let established = self.promises.iter().any(|p| p.established && accepted(p) == Some(previous.number));
        if !previous.is_quorum(established, promised) {
            return None;
        }
        let (voters, outgoing) = self.next_voters(previous, established);
        let mut view = View { number: self.number, chain: Vec::new(), voters, outgoing };
        view.chain = self.chain(&view, previous, copies)?;
        let base = newest.position;
        // A replica that stays is preferred because one that leaves may already be gone.
        let holds_base = |p: &&Promise| p.position == base && view.chain.contains(&p.replica) && !p.leaving;
        let source = self.promises.iter().find(holds_base).unwrap_or(newest).replica.peer;
        Some(ChosenView { view, base, source })
    }

    /// The voter set and the outgoing set of the new view. A change of the voter set starts only from a view
    /// that is known to be established; otherwise both sets of the previous view are taken over unchanged.
    fn next_voters(&self, previous: &View, established: bool) -> (VoterSet, Option<VoterSet>) {
        match &self.change {
            _ if !established => (previous.voters.clone(), previous.outgoing.clone()),
            Some(change) if change.number == previous.voters.number + 1 => {
                (change.clone(), Some(previous.voters.clone()))
            }
            _ => (previous.voters.clone(), None),
        }
    }

    /// The chain of the new view: voters that stay and are almost caught up. Other replicas are added only if
    /// there is no majority or fewer than `copies` voters without them.
    fn chain(&self, view: &View, previous: &View, copies: usize) -> Option<Vec<Replica>> {
        let is_caught_up = |p: &&Promise| {
            p.caught_up
                || previous.chain.contains(&p.replica)
                    && p.accepted.as_ref().is_some_and(|accepted| accepted.number == previous.number)
        };
        // Replicas with lower values are preferred for the chain.
        let penalty = |p: &Promise| (!view.voters.contains(&p.replica), !is_caught_up(&p), p.leaving);
        let mut candidates: Vec<&Promise> =
            self.promises.iter().filter(|p| view.is_voter(&p.replica)).collect();
        candidates.sort_by_key(|p| {
            let chain_index = previous.chain.iter().position(|replica| *replica == p.replica);
            (penalty(p), chain_index.unwrap_or(usize::MAX), p.replica)
        });
        let copies = copies.min(view.voters.replicas.len());
        let mut chain: Vec<&Promise> = Vec::new();
        for candidate in candidates {
            if penalty(candidate) != (false, false, false) && is_sufficient(&chain, view, copies) {
                break;
            }
            chain.push(candidate);
        }
        if !is_sufficient(&chain, view, 0) {
            return None;
        }
        // Replicas of the previous chain keep their order; leaving replicas go last.
        chain.sort_by_key(|p| {
            let chain_index = previous.chain.iter().position(|replica| *replica == p.replica);
            (p.leaving, chain_index.unwrap_or(usize::MAX), p.replica)
        });
        Some(chain.into_iter().map(|p| p.replica).collect())
    }
}

/// Whether a chain contains at least `copies` voters and a quorum of the view.
fn is_sufficient(chain: &[&Promise], view: &View, copies: usize) -> bool {
    let contains = |replica: &Replica| chain.iter().any(|p| p.replica == *replica);
    let voters = view.voters.replicas.iter().filter(|replica| contains(replica)).count();
    voters >= copies && view.is_quorum(false, contains)
}
