//! A view that is being agreed on: promises are gathered, and the members and their common beginning are chosen.

use crate::message::{Ballot, Member, Peer, Position, View};

/// A promise.
#[derive(Clone, Debug)]
pub struct Promise {
    /// Machine and disk.
    pub member: Member,
    /// Its promise counts.
    pub remembers: bool,
    /// The view that it accepted last.
    pub view: Option<View>,
    /// How far its state goes.
    pub held: Position,
}

/// A view on its way.
pub struct Proposal {
    /// Its number.
    pub ballot: Ballot,
    /// When it was begun.
    pub since: u64,
    /// The members are chosen.
    pub chosen: bool,
    promises: Vec<Promise>,
}

/// What was chosen.
#[derive(Debug, PartialEq)]
pub struct Chosen {
    /// The view.
    pub view: View,
    /// What its members begin with.
    pub base: Position,
    /// Who holds that.
    pub source: Peer,
}

impl Proposal {
    /// Begins one.
    pub fn new(ballot: Ballot, since: u64) -> Proposal {
        Proposal { ballot, since, chosen: false, promises: Vec::new() }
    }

    /// Takes a promise.
    pub fn promise(&mut self, promise: Promise) {
        self.promises.retain(|p| p.member.peer != promise.member.peer);
        self.promises.push(promise);
    }

    /// How many promises there are, of whatever kind.
    pub fn count(&self) -> usize {
        self.promises.len()
    }

    /// The view, once a majority of `founders` has promised. Machines that do not remember come in at the end and count
    /// for nothing.
    pub fn choose(&self, founders: usize) -> Option<Chosen> {
        let voters = || self.promises.iter().filter(|p| p.remembers);
        if voters().count() * 2 <= founders {
            return None;
        }
        // The newest state among them: of the last view that any of them accepted, the longest.
        let newest = voters().max_by_key(|p| (p.view.as_ref().map(|v| v.ballot), p.held))?;
        let before = newest.view.as_ref().map(|v| v.members.as_slice()).unwrap_or_default();
        // Those that were in it keep their order; the others follow, those that do not remember last.
        let place = |p: &Promise| {
            let at = before.iter().position(|m| *m == p.member).unwrap_or(usize::MAX);
            (!p.remembers, at, p.member.peer)
        };
        let mut promises: Vec<&Promise> = self.promises.iter().collect();
        promises.sort_by_key(|p| place(p));
        let members = promises.iter().map(|p| p.member).collect();
        let view = View { ballot: self.ballot, members };
        Some(Chosen { view, base: newest.held, source: newest.member.peer })
    }
}
