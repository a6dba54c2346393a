//! View changes: detecting that a new view is needed, proposing it and entering it.

use super::{AfterSync, Node, Output};
use crate::StateMachine;
use crate::identity::{Peer, Position, Replica, View, ViewNumber, VoterSet};
use crate::membership::{VoterStatus, next_voters};
use crate::message::{Heartbeat, Message};
use crate::proposal::{Promise, Proposal};

/// How long other replicas wait for a replica that is fetching the initial state of a view, in milliseconds.
const MAX_VIEW_ENTRY_MS: u64 = 10_000;

/// A view that this machine is about to enter.
pub(super) struct EnteringView {
    /// The view to enter.
    pub(super) view: View,
    /// Position of the initial state. If a received snapshot ends later, this is the end of the snapshot.
    pub(super) base: Position,
    /// Sequence number of the first update created in the view.
    first_sequence: u64,
    /// The machine from which the initial state is fetched.
    pub(super) source: Peer,
    /// Local time before which a replica that the view excludes may hold a lease granted by this machine.
    not_before: u64,
}

impl<T: StateMachine> Node<T> {
    /// Handles a request for a promise.
    pub(super) fn on_prepare(&mut self, from: Peer, number: ViewNumber, proposer: Replica, voters: u64) {
        let established_view = self.durable.view.as_ref().filter(|_| self.durable.established);
        // Rejects proposers that are behind or were replaced as voters.
        let outdated = established_view.is_some_and(|view| {
            voters < view.voters.number || voters == view.voters.number && !view.voters.contains(&proposer)
        });
        let promised = self.durable.promised;
        let stale = number < promised || (number == promised && number.proposer != from);
        if outdated || stale || proposer.peer != from {
            let voters = established_view.map_or(0, |view| view.voters.number);
            self.send(from, Message::Refused { promised, voters });
            return;
        }
        self.no_proposal_before = self.now + self.settings.retry_interval_ms * 3;
        self.record_promise(from, number);
    }

    /// Records a promise, stops work in the current view and schedules the reply for when the promise is on
    /// disk.
    fn record_promise(&mut self, to: Peer, number: ViewNumber) {
        self.durable.promised = number;
        self.active = false;
        self.entering = None;
        self.forward_queue.clear();
        self.pending_results.clear();
        self.dirty = true;
        self.after_sync.push(AfterSync::Promise(to, number));
    }

    /// Sends a promise to its proposer, after it has been synced.
    pub(super) fn send_promise(&mut self, to: Peer, number: ViewNumber) {
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
            self.on_promise(number, promise);
            return;
        }
        let Promise { replica, accepted, established, position, caught_up, leaving } = promise;
        let message =
            Message::Promise { view: number, replica, accepted, established, position, caught_up, leaving };
        self.send(to, message);
    }

    /// Handles a promise for this machine's own proposal.
    pub(super) fn on_promise(&mut self, number: ViewNumber, promise: Promise) {
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.number == number && !p.chosen) else {
            return;
        };
        proposal.add_promise(promise);
        self.choose_view(false);
    }

    /// Chooses the chain once all replicas that were asked have promised, or a quorum has and the others are
    /// `late`.
    fn choose_view(&mut self, late: bool) {
        let copies = self.settings.min_copies;
        let Some(proposal) = self.proposal.as_mut().filter(|p| !p.chosen) else { return };
        if !proposal.all_promised() && !late {
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

    /// Prepares to enter a chosen view if this machine is in its chain and has promised no higher number.
    pub(super) fn install(&mut self, view: View, base: Position, source: Peer) {
        let already_active = self.view_number().is_some_and(|number| number >= view.number);
        let already_entering =
            self.entering.as_ref().is_some_and(|entering| entering.view.number == view.number);
        if view.number < self.durable.promised
            || already_active
            || already_entering
            || !view.chain.contains(&self.replica())
        {
            return;
        }
        if self.durable.promised != view.number {
            self.durable.promised = view.number;
            self.active = false;
            self.forward_queue.clear();
            self.pending_results.clear();
            self.dirty = true;
        }
        self.no_proposal_before = self.now + self.settings.retry_interval_ms * 3;
        let not_before = self.excluded_leases_end(&view);
        let number = view.number;
        self.entering =
            Some(EnteringView { view, base, first_sequence: base.sequence + 1, source, not_before });
        if self.durable.position != base {
            self.send_fetch(source, Some(number));
        }
        self.enter_when_ready();
    }

    /// The time after which no replica excluded by the new view can hold a lease granted by this machine.
    fn excluded_leases_end(&self, view: &View) -> u64 {
        // A replica that has accepted this machine's view or a newer one, but is inactive, can become active
        // only in a later view, so it no longer uses a lease of this view.
        let mine = self.view_number();
        let released = |peer: Peer| {
            let heartbeat = self.peers.heartbeat(self.now, peer);
            heartbeat.is_some_and(|h| h.leaving || !h.active && h.view >= mine)
        };
        let excluded = |replica: &&Replica| !view.chain.contains(replica) && !released(replica.peer);
        let ends =
            self.chain().iter().filter(excluded).map(|replica| self.leases.granted_until(replica.peer));
        ends.max().unwrap_or(0)
    }

    /// Activates the view to be entered, once its initial state is here and the leases of excluded replicas
    /// have expired.
    pub(super) fn enter_when_ready(&mut self) {
        let (now, position) = (self.now, self.durable.position);
        let ready = |entering: &mut EnteringView| entering.base == position && now >= entering.not_before;
        if let Some(entering) = self.entering.take_if(ready) {
            self.activate_view(entering.view, entering.first_sequence);
        }
    }

    /// Requests the initial state of the view again if the reply is overdue.
    pub(super) fn continue_entering(&mut self) {
        self.enter_when_ready();
        let Some(entering) = &self.entering else { return };
        let (number, source) = (entering.view.number, entering.source);
        let incomplete = entering.base != self.durable.position;
        let due = self
            .catch_up
            .requested_at
            .is_none_or(|at| self.now.saturating_sub(at) >= self.settings.retry_interval_ms);
        if !incomplete || !due {
            return;
        }
        let source = self.alternative_source(number, source).unwrap_or(source);
        if let Some(entering) = &mut self.entering {
            entering.source = source;
        }
        self.send_fetch(source, Some(number));
    }

    /// A replica that is active in the view, and therefore has its initial state; used if the first source
    /// does not reply.
    fn alternative_source(&self, number: ViewNumber, unresponsive: Peer) -> Option<Peer> {
        let is_active = |h: &&Heartbeat| h.active && h.view == Some(number) && h.replica.peer != unresponsive;
        self.peers.live_heartbeats(self.now).find(is_active).map(|h| h.replica.peer)
    }

    /// Makes this machine active in a view.
    fn activate_view(&mut self, view: View, first_sequence: u64) {
        self.known_view = Some(view.clone());
        self.durable.view = Some(view);
        self.durable.established = false;
        self.dirty = true;
        self.active = true;
        self.active_since = self.now;
        self.active_peers_seen.clear();
        self.first_sequence_of_view = first_sequence;
        self.proposal = None;
        self.repair_due_since = None;
        self.change_due_since = None;
        self.catch_up = Default::default();
        self.last_progress_at = self.now;
        self.synced_reported = 0;
        self.committed = self.committed.min(self.durable.position.sequence);
        self.pending_results.clear();
        self.in_flight.clear();
        // The initial state must be on disk before this replica counts it as synced.
        self.reset_synced();
        self.synced_by_predecessors = if self.is_head() { u64::MAX } else { 0 };
        if self.is_head() {
            // Committing this no-op also commits everything that the view started with.
            self.sequence_update(self.settings.me, 0, bytes::Bytes::new());
        } else {
            // Updates that the predecessor sent before this machine was active were dropped.
            self.request_resend();
        }
        self.submitted.values_mut().for_each(|submitted| (submitted.sent_at, submitted.attempts) = (None, 0));
        self.resubmit_overdue();
        self.send_heartbeats();
        self.next_heartbeat_at = self.now + self.settings.heartbeat_interval_ms;
    }

    /// Checks whether a new view is needed and proposes it when it is this machine's turn.
    pub(super) fn check_view(&mut self) {
        let now = self.now;
        if let Some(proposal) = &self.proposal {
            let age = now.saturating_sub(proposal.started_at);
            if age >= self.settings.retry_interval_ms * 4 {
                self.proposal = None;
            } else if age >= self.settings.retry_interval_ms {
                self.choose_view(true);
            }
            return;
        }
        // A machine that knows it was replaced as a voter proposes nothing.
        let me = self.replica();
        let is_voter = |view: &View| view.is_voter(&me);
        let is_current_voter =
            self.durable.view.as_ref().is_some_and(is_voter) && self.known_view.as_ref().is_none_or(is_voter);
        if !is_current_voter || !self.healthy || self.entering.as_ref().is_some_and(|e| now < e.not_before) {
            return;
        }
        // A view that excludes a voter cannot start until leases granted before the restart have expired. By
        // then all voters may be reachable, so wait.
        if now < self.leases.previous_grants_until() && !self.all_voters_usable() {
            return;
        }
        let repair = self.needs_repair();
        self.repair_due_since = if repair { Some(self.repair_due_since.unwrap_or(now)) } else { None };
        let change = if repair { None } else { self.due_voter_change() };
        let change_due =
            change.is_some() || !repair && self.is_head() && !self.leaving && self.voter_can_join();
        self.change_due_since = if change_due { Some(self.change_due_since.unwrap_or(now)) } else { None };
        let elapsed = |since: Option<u64>, wait: u64| since.is_some_and(|at| now.saturating_sub(at) >= wait);
        let due = elapsed(self.repair_due_since, self.proposer_rank() * self.settings.retry_interval_ms)
            || elapsed(self.change_due_since, self.settings.retry_interval_ms);
        if due && now >= self.no_proposal_before && self.reaches_quorum() {
            self.propose(change);
        }
    }

    /// Handles a rejected promise request, which means that another proposal is in progress. The delay
    /// depends on the address, so that two proposers that reject each other do not retry at the same time.
    pub(super) fn on_refused(&mut self) {
        self.proposal = None;
        let me = self.settings.me;
        let lower_addresses = self.peers.addresses().into_iter().filter(|peer| *peer < me).count() as u64;
        self.no_proposal_before = self.now + self.settings.retry_interval_ms * (2 + lower_addresses);
    }

    /// Whether every voter of the view is usable.
    fn all_voters_usable(&self) -> bool {
        let me = self.settings.me;
        let is_usable =
            |replica: &Replica| replica.peer == me || self.peers.is_usable(self.now, replica.peer);
        self.durable.view.as_ref().is_some_and(|view| view.voters.replicas.iter().all(is_usable))
    }

    /// Whether this machine can reach a quorum of its view.
    fn reaches_quorum(&self) -> bool {
        let me = self.replica();
        let reached = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(self.now, replica.peer);
            let same_disk = heartbeat.is_some_and(|h| h.replica == *replica);
            *replica == me || same_disk && self.peers.is_usable(self.now, replica.peer)
        };
        let view = self.durable.view.as_ref();
        view.is_some_and(|view| view.is_quorum(self.durable.established, reached))
    }

    /// Number of reachable replicas that should propose before this machine.
    fn proposer_rank(&self) -> u64 {
        let priority = |replica: &Replica, leaving: bool| {
            let at = self.chain().iter().position(|other| other == replica);
            (leaving, at.unwrap_or(usize::MAX), *replica)
        };
        let mine = priority(&self.replica(), self.leaving);
        let is_voter =
            |replica: &Replica| self.durable.view.as_ref().is_some_and(|view| view.is_voter(replica));
        let has_priority = |h: &&Heartbeat| {
            is_voter(&h.replica)
                && self.peers.is_usable(self.now, h.replica.peer)
                && priority(&h.replica, h.leaving) < mine
        };
        self.peers.live_heartbeats(self.now).filter(has_priority).count() as u64
    }

    /// Whether a new view is needed because a replica of the chain is lost, leaving or cannot catch up, or
    /// because no live machine is active in the newest view.
    fn needs_repair(&self) -> bool {
        let now = self.now;
        let newest = self.peers.live_heartbeats(now).filter_map(|h| h.view).chain(self.view_number()).max();
        let is_active = |h: &Heartbeat| h.active && h.view == newest;
        if !(self.active && self.view_number() == newest) {
            // The replicas that are active in the newest view are responsible for repairing it.
            return !self.peers.live_heartbeats(now).any(is_active);
        }
        let settled = now.saturating_sub(self.active_since) >= self.settings.silence_timeout_ms;
        let may_be_entering = now.saturating_sub(self.active_since) < MAX_VIEW_ENTRY_MS;
        let is_lost = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(now, replica.peer).filter(|h| h.replica == *replica);
            let in_view = heartbeat.is_some_and(|h| {
                is_active(h) || !settled || may_be_entering && h.entering == self.view_number()
            });
            !(in_view && self.peers.is_usable(now, replica.peer))
        };
        let me = self.replica();
        self.repair_due_since.is_some() && self.chain().len() > 1 && self.is_stuck()
            || self.chain().iter().any(|replica| *replica != me && is_lost(replica))
            || self.can_drop_replica()
    }

    /// Whether updates remain uncommitted although the view started long ago.
    fn is_stuck(&self) -> bool {
        self.committed < self.durable.position.sequence
            && self.now.saturating_sub(self.active_since) >= self.settings.silence_timeout_ms * 2
    }

    /// Whether a replica of the chain is leaving or no longer a voter, and the remaining ones suffice without
    /// it.
    fn can_drop_replica(&self) -> bool {
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
        let min_copies = self.settings.min_copies.min(view.voters.replicas.len());
        view.chain.iter().any(leaves) && copies >= min_copies && view.voters.is_majority(stays)
    }

    /// Whether a machine can join the chain: it is usable, caught up and not leaving, and it exchanges
    /// heartbeats with every replica of the chain.
    fn is_ready(&self, heartbeat: &Heartbeat) -> bool {
        let chain = self.chain();
        let replica = &heartbeat.replica;
        let me = self.settings.me;
        let receives_from =
            |heartbeat: &Heartbeat, peer: Peer| heartbeat.echoes.iter().any(|echo| echo.peer == peer);
        let reaches = |other: &Replica| other.peer == replica.peer || receives_from(heartbeat, other.peer);
        let is_received_by = |other: &Replica| {
            let other_heartbeat = self.peers.heartbeat(self.now, other.peer);
            other.peer == me || other_heartbeat.is_some_and(|h| receives_from(h, replica.peer))
        };
        heartbeat.caught_up
            && !heartbeat.leaving
            && self.peers.is_usable(self.now, replica.peer)
            && !chain.contains(replica)
            && chain.iter().all(reaches)
            && chain.iter().all(is_received_by)
    }

    /// Whether a voter outside the chain can join it.
    fn voter_can_join(&self) -> bool {
        let Some(view) = self.durable.view.as_ref() else { return false };
        self.peers.live_heartbeats(self.now).any(|h| view.voters.contains(&h.replica) && self.is_ready(h))
    }

    /// At the head: the next voter set, if a change is due.
    fn due_voter_change(&self) -> Option<VoterSet> {
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
            VoterStatus {
                replica: *replica,
                silent_for_ms: if *replica == me {
                    0
                } else {
                    self.peers.silent_for_ms(self.now, replica.peer)
                },
                disk_lost: heartbeat.is_some_and(|h| h.replica != *replica),
                leaving: heartbeat.is_some_and(|h| h.replica == *replica && h.leaving),
            }
        };
        let voters: Vec<VoterStatus> = view.voters.replicas.iter().map(voter).collect();
        let learner = |h: &&Heartbeat| !view.voters.contains(&h.replica) && self.is_ready(h);
        let learners: Vec<Replica> =
            self.peers.live_heartbeats(self.now).filter(learner).map(|h| h.replica).collect();
        next_voters(&view.voters, &voters, &learners, self.settings.target_voters)
    }

    /// Proposes a new view, optionally with a changed voter set, and asks all reachable replicas for
    /// promises.
    fn propose(&mut self, change: Option<VoterSet>) {
        let Some(view) = self.durable.view.as_ref() else { return };
        let own_promise = self.durable.promised;
        let highest = self.peers.highest_promise().map_or(own_promise, |promised| promised.max(own_promise));
        let number = ViewNumber { round: highest.round + 1, proposer: self.settings.me };
        let mut asked: Vec<Replica> = view.replicas();
        asked.extend(change.iter().flat_map(|voters| &voters.replicas));
        asked.extend(self.known_view.iter().flat_map(|view| view.replicas()));
        asked.sort_unstable();
        asked.dedup();
        let me = self.settings.me;
        let is_live = |replica: &Replica| {
            let heartbeat = self.peers.heartbeat(self.now, replica.peer);
            replica.peer != me && heartbeat.is_some_and(|h| h.replica == *replica)
        };
        asked.retain(|replica| is_live(replica) && self.peers.is_usable(self.now, replica.peer));
        let voters = view.voters.number;
        let replica = self.replica();
        self.proposal = Some(Proposal::new(number, self.now, change, asked.len() + 1));
        for other in asked {
            self.send(other.peer, Message::Prepare { view: number, replica, voters });
        }
        self.record_promise(me, number);
    }
}
