//! The view: what is wrong with it, a new one, and how a replica enters it.

use super::{AfterSync, Node, Output};
use crate::StateMachine;
use crate::identity::{Peer, Position, Replica, View, ViewNumber, VoterSet};
use crate::membership::{Voter, next_voters};
use crate::message::{Heartbeat, Message};
use crate::proposal::{Promise, Proposal};

/// For how long the others wait for a replica that fetches the beginning of a view, in milliseconds.
const MOST_ENTERING: u64 = 10_000;

/// A view that is to be entered.
pub(super) struct Entering {
    pub(super) view: View,
    /// What is to be held; a snapshot that goes further takes its place.
    pub(super) base: Position,
    /// The first update that is made in the view.
    first: u64,
    pub(super) source: Peer,
    /// Not before a lease that this machine has granted is over.
    not_before: u64,
}

impl<T: StateMachine> Node<T> {
    /// Another asks for a promise.
    pub(super) fn prepare(&mut self, from: Peer, number: ViewNumber, proposer: Replica, voters: u64) {
        let held = self.durable.view.as_ref().filter(|_| self.durable.established);
        // Who is behind, or was replaced, is refused.
        let fenced = held.is_some_and(|view| {
            voters < view.voters.number || voters == view.voters.number && !view.voters.contains(&proposer)
        });
        let promised = self.durable.promised;
        let stale = number < promised || (number == promised && number.proposer != from);
        if fenced || stale || proposer.peer != from {
            let voters = held.map_or(0, |view| view.voters.number);
            self.send(from, Message::Refused { promised, voters });
            return;
        }
        self.quiet_until = self.now + self.settings.retry_interval_ms * 3;
        self.make_promise(from, number);
    }

    fn make_promise(&mut self, to: Peer, number: ViewNumber) {
        self.durable.promised = number;
        self.active = false;
        self.entering = None;
        self.outgoing.clear();
        self.results.clear();
        self.dirty = true;
        self.after_sync.push(AfterSync::Promise(to, number));
    }

    /// The promise is on disk.
    pub(super) fn give_promise(&mut self, to: Peer, number: ViewNumber) {
        if self.durable.promised != number {
            return;
        }
        let promise = Promise {
            replica: self.replica(),
            accepted: self.durable.view.clone(),
            established: self.durable.established,
            position: self.durable.position,
            caught_up: self.is_caught_up(),
            leaving: self.leaving,
        };
        if to == self.settings.me {
            self.promise_came(number, promise);
            return;
        }
        let Promise { replica, accepted, established, position, caught_up, leaving } = promise;
        let message =
            Message::Promise { view: number, replica, accepted, established, position, caught_up, leaving };
        self.send(to, message);
    }

    pub(super) fn promise_came(&mut self, number: ViewNumber, promise: Promise) {
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.number == number && !p.chosen) else {
            return;
        };
        proposal.promise(promise);
        self.choose(false);
    }

    /// Chooses the chain once all that were asked have promised, or enough have and the others are late.
    fn choose(&mut self, late: bool) {
        let copies = self.settings.min_copies;
        let Some(proposal) = self.proposal.as_mut().filter(|p| !p.chosen) else { return };
        if !proposal.complete() && !late {
            return;
        }
        let Some(chosen) = proposal.choose(copies) else { return };
        proposal.chosen = true;
        for replica in &chosen.view.chain {
            if replica.peer != self.settings.me {
                let (view, base, source) = (chosen.view.clone(), chosen.base, chosen.source);
                let message = Message::Install { view, base, source };
                self.outputs.push(Output::Send { to: replica.peer, message });
            }
        }
        self.install(chosen.view, chosen.base, chosen.source);
    }

    /// A view was chosen.
    pub(super) fn install(&mut self, view: View, base: Position, source: Peer) {
        let entered = self.view_number().is_some_and(|number| number >= view.number);
        let entering = self.entering.as_ref().is_some_and(|entering| entering.view.number == view.number);
        if view.number < self.durable.promised || entered || entering || !view.chain.contains(&self.replica())
        {
            return;
        }
        if self.durable.promised != view.number {
            self.durable.promised = view.number;
            self.active = false;
            self.outgoing.clear();
            self.results.clear();
            self.dirty = true;
        }
        self.quiet_until = self.now + self.settings.retry_interval_ms * 3;
        let not_before = self.lease_ends_for(&view);
        let number = view.number;
        self.entering = Some(Entering { view, base, first: base.sequence + 1, source, not_before });
        if self.durable.position != base {
            self.ask_for_rest(source, Some(number));
        }
        self.enter_when_ready();
    }

    /// When no replica that the new view leaves out can hold a lease of this machine's any more.
    fn lease_ends_for(&self, view: &View) -> u64 {
        // Whoever has accepted the same view and is not at work in it never is again: it is at work only in a later one.
        let mine = self.view_number();
        let gave_up = |peer: Peer| {
            let heartbeat = self.peers.heartbeat(self.now, peer);
            heartbeat.is_some_and(|h| h.leaving || !h.active && h.view >= mine)
        };
        let left_out = |replica: &&Replica| !view.chain.contains(replica) && !gave_up(replica.peer);
        let ends =
            self.chain().iter().filter(left_out).map(|replica| self.leases.granted_until(replica.peer));
        ends.max().unwrap_or(0)
    }

    /// Works in the view that is to be entered, once this machine holds its beginning.
    pub(super) fn enter_when_ready(&mut self) {
        let (now, position) = (self.now, self.durable.position);
        let ready = |entering: &mut Entering| entering.base == position && now >= entering.not_before;
        if let Some(entering) = self.entering.take_if(ready) {
            self.begin(entering.view, entering.first);
        }
    }

    /// Asks again for what has not come.
    pub(super) fn tend_entering(&mut self) {
        self.enter_when_ready();
        let Some(entering) = &self.entering else { return };
        let (number, source) = (entering.view.number, entering.source);
        let lacks = entering.base != self.durable.position;
        let due = self
            .catch_up
            .asked_at
            .is_none_or(|at| self.now.saturating_sub(at) >= self.settings.retry_interval_ms);
        if !lacks || !due {
            return;
        }
        let source = self.other_source(number, source).unwrap_or(source);
        if let Some(entering) = &mut self.entering {
            entering.source = source;
        }
        self.ask_for_rest(source, Some(number));
    }

    /// Whoever works in the view already holds what it began with: asked when the first source does not answer.
    fn other_source(&self, number: ViewNumber, silent: Peer) -> Option<Peer> {
        let works = |h: &&Heartbeat| h.active && h.view == Some(number) && h.replica.peer != silent;
        self.peers.all(self.now).find(works).map(|h| h.replica.peer)
    }

    /// Works in a view from now on.
    fn begin(&mut self, view: View, first: u64) {
        self.known_view = Some(view.clone());
        self.durable.view = Some(view);
        self.durable.established = false;
        self.dirty = true;
        self.active = true;
        self.active_since = self.now;
        self.met.clear();
        self.first_of_view = first;
        self.proposal = None;
        self.wrong_since = None;
        self.joinable_since = None;
        self.catch_up = Default::default();
        self.progress = self.now;
        self.synced_told = 0;
        self.committed = self.committed.min(self.durable.position.sequence);
        self.results.clear();
        self.in_chain.clear();
        // What it begins with must be on disk as well, before this replica counts it.
        self.sync_anew();
        self.synced_before = if self.is_head() { u64::MAX } else { 0 };
        if self.is_head() {
            // Once this one is kept, so is all that the view began with.
            self.enter(self.settings.me, 0, bytes::Bytes::new());
        } else {
            // What the replica before has sent meanwhile was not taken.
            self.ask_previous();
        }
        self.submitted.values_mut().for_each(|submitted| (submitted.sent, submitted.times) = (None, 0));
        self.submit_due();
        self.send_heartbeats();
        self.heartbeat_at = self.now + self.settings.heartbeat_interval_ms;
    }

    /// Sees to the view.
    pub(super) fn watch(&mut self) {
        let now = self.now;
        if let Some(proposal) = &self.proposal {
            let age = now.saturating_sub(proposal.since);
            if age >= self.settings.retry_interval_ms * 4 {
                self.proposal = None;
            } else if age >= self.settings.retry_interval_ms {
                self.choose(true);
            }
            return;
        }
        // Whoever was replaced, as far as it knows, leaves it to the others.
        let me = self.replica();
        let knows = |view: &View| view.knows(&me);
        let votes =
            self.durable.view.as_ref().is_some_and(knows) && self.known_view.as_ref().is_none_or(knows);
        if !votes || !self.healthy || self.entering.as_ref().is_some_and(|e| now < e.not_before) {
            return;
        }
        // A view without somebody can't begin before what an earlier life granted is over: the others may come by then.
        if now < self.leases.former_until() && !self.all_voters_are_fit() {
            return;
        }
        let wrong = self.is_wrong();
        self.wrong_since = if wrong { Some(self.wrong_since.unwrap_or(now)) } else { None };
        let change = if wrong { None } else { self.due_change() };
        let joins = change.is_some() || !wrong && self.is_head() && !self.leaving && self.can_join();
        self.joinable_since = if joins { Some(self.joinable_since.unwrap_or(now)) } else { None };
        let since = |since: Option<u64>, wait: u64| since.is_some_and(|at| now.saturating_sub(at) >= wait);
        let due = since(self.wrong_since, self.rank() * self.settings.retry_interval_ms)
            || since(self.joinable_since, self.settings.retry_interval_ms);
        if due && now >= self.quiet_until && self.reaches_quorum() {
            self.propose(change);
        }
    }

    /// A proposal was refused: another is under way. Two that refuse each other do not try again at the same time.
    pub(super) fn refused(&mut self) {
        self.proposal = None;
        let me = self.settings.me;
        let before = self.peers.addresses().into_iter().filter(|peer| *peer < me).count() as u64;
        self.quiet_until = self.now + self.settings.retry_interval_ms * (2 + before);
    }

    fn all_voters_are_fit(&self) -> bool {
        let me = self.settings.me;
        let fit = |replica: &Replica| replica.peer == me || self.peers.fit(self.now, replica.peer);
        self.durable.view.as_ref().is_some_and(|view| view.voters.replicas.iter().all(fit))
    }

    /// A quorum can be reached.
    fn reaches_quorum(&self) -> bool {
        let me = self.replica();
        let reached = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(self.now, replica.peer);
            let same = heartbeat.is_some_and(|h| h.replica == *replica);
            *replica == me || same && self.peers.fit(self.now, replica.peer)
        };
        let view = self.durable.view.as_ref();
        view.is_some_and(|view| view.is_quorum(self.durable.established, reached))
    }

    /// How many that can be reached go before this machine in proposing.
    fn rank(&self) -> u64 {
        let place = |replica: &Replica, leaving: bool| {
            let at = self.chain().iter().position(|other| other == replica);
            (leaving, at.unwrap_or(usize::MAX), *replica)
        };
        let mine = place(&self.replica(), self.leaving);
        let votes = |replica: &Replica| self.durable.view.as_ref().is_some_and(|view| view.knows(replica));
        let before = |h: &&Heartbeat| {
            votes(&h.replica)
                && self.peers.fit(self.now, h.replica.peer)
                && place(&h.replica, h.leaving) < mine
        };
        self.peers.all(self.now).filter(before).count() as u64
    }

    fn is_wrong(&self) -> bool {
        let now = self.now;
        let newest = self.peers.all(now).filter_map(|h| h.view).chain(self.view_number()).max();
        let works = |h: &Heartbeat| h.active && h.view == newest;
        if !(self.active && self.view_number() == newest) {
            // Whoever works in the newest view sees to it.
            return !self.peers.all(now).any(works);
        }
        let settled = now.saturating_sub(self.active_since) >= self.settings.silence_timeout_ms;
        let patient = now.saturating_sub(self.active_since) < MOST_ENTERING;
        let lost = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(now, replica.peer).filter(|h| h.replica == *replica);
            let in_view = heartbeat
                .is_some_and(|h| works(h) || !settled || patient && h.entering == self.view_number());
            !(in_view && self.peers.fit(now, replica.peer))
        };
        let me = self.replica();
        self.wrong_since.is_some() && self.chain().len() > 1 && self.is_stuck()
            || self.chain().iter().any(|replica| *replica != me && lost(replica))
            || self.can_do_without()
    }

    /// Nothing has been committed for long though something waits.
    fn is_stuck(&self) -> bool {
        self.committed < self.durable.position.sequence
            && self.now.saturating_sub(self.active_since) >= self.settings.silence_timeout_ms * 2
    }

    /// A replica of the chain leaves, or votes no more, and the rest are enough without it.
    fn can_do_without(&self) -> bool {
        let Some(view) = self.durable.view.as_ref().filter(|_| self.durable.established) else {
            return false;
        };
        let leaves = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(self.now, replica.peer);
            let leaving = *replica == self.replica() && self.leaving;
            leaving || heartbeat.is_some_and(|h| h.leaving) || !view.voters.contains(replica)
        };
        let stays = |replica: &Replica| view.chain.contains(replica) && !leaves(replica);
        let copies = view.voters.replicas.iter().filter(|replica| stays(replica)).count();
        let least = self.settings.min_copies.min(view.voters.replicas.len());
        view.chain.iter().any(leaves) && copies >= least && view.voters.is_majority(stays)
    }

    /// Healthy, staying, with all that is committed, and heard by all of the chain.
    fn is_ready(&self, heartbeat: &Heartbeat) -> bool {
        let chain = self.chain();
        let replica = &heartbeat.replica;
        let me = self.settings.me;
        let hears =
            |heartbeat: &Heartbeat, peer: Peer| heartbeat.heard.iter().any(|heard| heard.peer == peer);
        let reaches = |other: &Replica| other.peer == replica.peer || hears(heartbeat, other.peer);
        let is_heard_by = |other: &Replica| {
            let theirs = self.peers.heartbeat(self.now, other.peer);
            other.peer == me || theirs.is_some_and(|h| hears(h, replica.peer))
        };
        heartbeat.caught_up
            && !heartbeat.leaving
            && self.peers.fit(self.now, replica.peer)
            && !chain.contains(replica)
            && chain.iter().all(reaches)
            && chain.iter().all(is_heard_by)
    }

    /// A voter outside of the chain has caught up.
    fn can_join(&self) -> bool {
        let Some(view) = self.durable.view.as_ref() else { return false };
        self.peers.all(self.now).any(|h| view.voters.contains(&h.replica) && self.is_ready(h))
    }

    /// At the head: the set of voters that is due.
    fn due_change(&self) -> Option<VoterSet> {
        let view = self.durable.view.as_ref().filter(|_| self.durable.established)?;
        if !self.is_head()
            || self.leaving
            || self.now.saturating_sub(self.active_since) < self.settings.retry_interval_ms
        {
            return None;
        }
        let me = self.replica();
        let voter = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(self.now, replica.peer);
            Voter {
                replica: *replica,
                silent_for: if *replica == me { 0 } else { self.peers.silent_for(self.now, replica.peer) },
                disk_lost: heartbeat.is_some_and(|h| h.replica != *replica),
                leaving: heartbeat.is_some_and(|h| h.replica == *replica && h.leaving),
            }
        };
        let voters: Vec<Voter> = view.voters.replicas.iter().map(voter).collect();
        let learner = |h: &&Heartbeat| !view.voters.contains(&h.replica) && self.is_ready(h);
        let learners: Vec<Replica> = self.peers.all(self.now).filter(learner).map(|h| h.replica).collect();
        next_voters(&view.voters, &voters, &learners, self.settings.target_voters)
    }

    fn propose(&mut self, change: Option<VoterSet>) {
        let Some(view) = self.durable.view.as_ref() else { return };
        let mine = self.durable.promised;
        let highest = self.peers.highest_promise().map_or(mine, |promised| promised.max(mine));
        let number = ViewNumber { round: highest.round + 1, proposer: self.settings.me };
        let mut asked: Vec<Replica> = view.replicas();
        asked.extend(change.iter().flat_map(|voters| &voters.replicas));
        asked.extend(self.known_view.iter().flat_map(|view| view.replicas()));
        asked.sort_unstable();
        asked.dedup();
        let me = self.settings.me;
        let is_there = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(self.now, replica.peer);
            replica.peer != me && heartbeat.is_some_and(|h| h.replica == *replica)
        };
        asked.retain(|replica| is_there(replica) && self.peers.fit(self.now, replica.peer));
        let voters = view.voters.number;
        let replica = self.replica();
        self.proposal = Some(Proposal::new(number, self.now, change, asked.len() + 1));
        for other in asked {
            self.send(other.peer, Message::Prepare { view: number, replica, voters });
        }
        self.make_promise(me, number);
    }
}
