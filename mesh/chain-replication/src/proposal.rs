//! A view that is being agreed on: promises are gathered, and the chain and its common beginning are chosen.

use crate::identity::{Peer, Position, Replica, View, ViewNumber, VoterSet};

/// A promise.
#[derive(Clone, Debug)]
pub struct Promise {
    /// Who promises.
    pub replica: Replica,
    /// The view that it accepted last.
    pub accepted: Option<View>,
    /// It knows that all of the chain have accepted that view.
    pub established: bool,
    /// How far its state goes.
    pub position: Position,
    /// It lacks next to nothing though it is outside of the chain.
    pub caught_up: bool,
    /// It is about to end.
    pub leaving: bool,
}

/// A view on its way.
pub struct Proposal {
    /// Its number.
    pub number: ViewNumber,
    /// When it was begun.
    pub since: u64,
    /// The chain is chosen.
    pub chosen: bool,
    /// The set of voters that it is to bring, where that changes.
    change: Option<VoterSet>,
    /// How many were asked, this machine included.
    expected: usize,
    promises: Vec<Promise>,
}

/// What was chosen.
#[derive(Debug, PartialEq)]
pub struct Chosen {
    /// The view.
    pub view: View,
    /// What its chain begins with.
    pub base: Position,
    /// Who holds that.
    pub source: Peer,
}

impl Proposal {
    /// Begins one; `expected` machines are asked.
    pub fn new(number: ViewNumber, since: u64, change: Option<VoterSet>, expected: usize) -> Proposal {
        Proposal { number, since, chosen: false, change, expected, promises: Vec::new() }
    }

    /// Takes a promise.
    pub fn promise(&mut self, promise: Promise) {
        self.promises.retain(|known| known.replica.peer != promise.replica.peer);
        self.promises.push(promise);
    }

    /// All that were asked have promised.
    pub fn complete(&self) -> bool {
        self.promises.len() >= self.expected
    }

    /// The view, once enough have promised; see the crate's documentation for why this is safe. `copies` voters are taken
    /// into the chain where as many have promised, be they far behind.
    pub fn choose(&self, copies: usize) -> Option<Chosen> {
        let promised = |replica: &Replica| self.promises.iter().any(|p| p.replica == *replica);
        // Only voters can have accepted a view that counts.
        let accepted = |p: &Promise| p.accepted.as_ref().map(|view| view.number);
        let newest = self.promises.iter().max_by_key(|p| (accepted(p), p.position))?;
        let before = newest.accepted.as_ref()?;
        let established = self.promises.iter().any(|p| p.established && accepted(p) == Some(before.number));
        if !before.is_quorum(established, promised) {
            return None;
        }
        let (voters, outgoing) = self.next_voters(before, established);
        let mut view = View { number: self.number, chain: Vec::new(), voters, outgoing };
        view.chain = self.chain(&view, before, copies)?;
        let base = newest.position;
        // One that stays is a better source than one that may be gone by now.
        let same = |p: &&Promise| p.position == base && view.chain.contains(&p.replica) && !p.leaving;
        let source = self.promises.iter().find(same).unwrap_or(newest).replica.peer;
        Some(Chosen { view, base, source })
    }

    /// A change begins only from a view that is known to be established; any other is taken over as it stands.
    fn next_voters(&self, before: &View, established: bool) -> (VoterSet, Option<VoterSet>) {
        match &self.change {
            _ if !established => (before.voters.clone(), before.outgoing.clone()),
            Some(change) if change.number == before.voters.number + 1 => {
                (change.clone(), Some(before.voters.clone()))
            }
            _ => (before.voters.clone(), None),
        }
    }

    /// Who is in the chain: those that stay and lack little; others only where no majority is possible without them.
    fn chain(&self, view: &View, before: &View, copies: usize) -> Option<Vec<Replica>> {
        let near = |p: &&Promise| {
            p.caught_up
                || before.chain.contains(&p.replica)
                    && p.accepted.as_ref().is_some_and(|accepted| accepted.number == before.number)
        };
        // Lower is better.
        let reluctance = |p: &Promise| (!view.voters.contains(&p.replica), !near(&p), p.leaving);
        let mut candidates: Vec<&Promise> = self.promises.iter().filter(|p| view.knows(&p.replica)).collect();
        candidates.sort_by_key(|p| {
            let place = before.chain.iter().position(|replica| *replica == p.replica);
            (reluctance(p), place.unwrap_or(usize::MAX), p.replica)
        });
        let copies = copies.min(view.voters.replicas.len());
        let mut chain: Vec<&Promise> = Vec::new();
        for candidate in candidates {
            if reluctance(candidate) != (false, false, false) && is_enough(&chain, view, copies) {
                break;
            }
            chain.push(candidate);
        }
        if !is_enough(&chain, view, 0) {
            return None;
        }
        // Those of the chain before keep their order.
        chain.sort_by_key(|p| {
            let place = before.chain.iter().position(|replica| *replica == p.replica);
            (p.leaving, place.unwrap_or(usize::MAX), p.replica)
        });
        Some(chain.into_iter().map(|p| p.replica).collect())
    }
}

fn is_enough(chain: &[&Promise], view: &View, copies: usize) -> bool {
    let contains = |replica: &Replica| chain.iter().any(|p| p.replica == *replica);
    let voters = view.voters.replicas.iter().filter(|replica| contains(replica)).count();
    voters >= copies && view.is_quorum(false, contains)
}
