//! Updates on their way down the chain.

use bytes::Bytes;

use super::{AfterSync, Node, Output, Submitted};
use crate::identity::{Entry, Peer, Position, ViewNumber};
use crate::message::Message;
use crate::{Applied, StateMachine};

/// How often the time is doubled after which an update is submitted again.
const MOST_DOUBLINGS: u32 = 3;

impl<T: StateMachine> Node<T> {
    /// Submits an update under a number of the caller's. It is sent again until [`stop_retrying`](Node::stop_retrying) or its result.
    pub fn submit(&mut self, now: u64, request: u64, update: Bytes) {
        self.now = now;
        self.submitted.insert(request, Submitted { update, sent: None, times: 0 });
        self.send_to_head(request);
    }

    /// Nobody waits for it any more. It may have happened.
    pub fn stop_retrying(&mut self, request: u64) {
        self.submitted.remove(&request);
    }

    fn send_to_head(&mut self, request: u64) {
        let Some(view) = self.known_view.as_ref() else { return };
        let Some(head) = view.chain.first().map(|head| head.peer) else { return };
        let number = view.number;
        let mine = head == self.settings.me;
        if mine && !self.active {
            return;
        }
        let Some(submitted) = self.submitted.get_mut(&request) else { return };
        submitted.sent = Some(self.now);
        submitted.times += 1;
        let update = submitted.update.clone();
        if mine {
            self.enter(self.settings.me, request, update);
        } else {
            self.send(head, Message::Submit { view: number, request, update });
        }
    }

    /// Submits what was not answered in time again.
    pub(super) fn submit_due(&mut self) {
        let (now, retry) = (self.now, self.settings.retry_interval_ms);
        // Twice as long each time: a chain that is slow is not to be given the same work again and again.
        let wait = |times: u32| retry << times.saturating_sub(1).min(MOST_DOUBLINGS);
        let due = |submitted: &Submitted| {
            submitted.sent.is_none_or(|at| now.saturating_sub(at) >= wait(submitted.times))
        };
        let mut requests: Vec<u64> =
            self.submitted.iter().filter(|(_, s)| due(s)).map(|(request, _)| *request).collect();
        requests.sort_unstable();
        requests.into_iter().for_each(|request| self.send_to_head(request));
    }

    /// At the head: an update gets its place.
    pub(super) fn enter(&mut self, origin: Peer, request: u64, update: Bytes) {
        if !self.is_head() {
            return;
        }
        let Some(view) = self.view_number() else { return };
        // Nothing is acknowledged with fewer copies than there must be.
        if request != 0 && !self.has_enough_copies() {
            return;
        }
        // Guards a slow chain against those that ask again while it is at it.
        if request != 0 && !self.in_chain.insert((origin, request)) {
            return;
        }
        let stamp = self.stamped.0 + self.now.saturating_sub(self.stamped.1);
        let position = Position { view, sequence: self.durable.position.sequence + 1 };
        self.take(Entry { position, stamp, origin, request, update });
    }

    fn has_enough_copies(&self) -> bool {
        let Some(view) = &self.durable.view else { return false };
        let voters = view.chain.iter().filter(|replica| view.voters.contains(replica)).count();
        voters >= self.settings.min_copies.min(view.voters.replicas.len())
    }

    /// The next update.
    pub(super) fn take(&mut self, entry: Entry) {
        if self.committed == self.durable.position.sequence {
            self.progress = self.now;
        }
        let applied = match entry.update.is_empty() {
            true => Applied::default(),
            false => self.state_machine.apply(entry.stamp, &entry.update),
        };
        for (key, value) in &applied.rows {
            self.rows.set(key, value.as_ref());
        }
        self.changed_rows.extend(applied.rows);
        self.durable.position = entry.position;
        self.durable.stamp = entry.stamp;
        self.stamped = (entry.stamp, self.now);
        self.dirty = true;
        let sequence = entry.position.sequence;
        match self.after_sync.last_mut() {
            Some(AfterSync::Synced(last)) => *last = sequence,
            _ => self.after_sync.push(AfterSync::Synced(sequence)),
        }
        if self.is_tail() {
            self.results.insert(sequence, (entry.origin, entry.request, applied.result));
        } else if self.active {
            self.outgoing.push(entry.clone());
        }
        self.log.push(entry);
    }

    pub(super) fn pass_on(&mut self, entries: Vec<Entry>) {
        let (Some(view), Some(next)) = (self.view_number(), self.next()) else { return };
        let synced = self.synced.min(self.synced_before);
        self.synced_told = synced;
        self.send(next, Message::Updates { view, entries, synced });
    }

    /// What is on disk here, and before, has grown.
    pub(super) fn advance(&mut self) {
        if self.place().is_none() {
            return;
        }
        let through = self.synced.min(self.synced_before).min(self.durable.position.sequence);
        if !self.is_tail() {
            if through > self.synced_told && self.outgoing.is_empty() {
                self.pass_on(Vec::new());
            }
            return;
        }
        if through > self.committed {
            // All before have begun this view on disk, or they would have told of nothing.
            self.set_established();
            self.set_committed(through);
            self.tell_committed(through);
            self.tell_results(through);
        }
    }

    fn tell_committed(&mut self, sequence: u64) {
        let Some(view) = self.view_number() else { return };
        let me = self.settings.me;
        let peers: Vec<Peer> = self.chain().iter().map(|replica| replica.peer).filter(|p| *p != me).collect();
        for to in peers {
            self.send(to, Message::Committed { view, sequence });
        }
    }

    fn tell_results(&mut self, sequence: u64) {
        let Some(view) = self.view_number() else { return };
        let rest = self.results.split_off(&(sequence + 1));
        for (_, (origin, request, result)) in std::mem::replace(&mut self.results, rest) {
            if request == 0 {
                continue;
            }
            if origin != self.settings.me {
                self.send(origin, Message::Result { view, request, result });
            } else if self.submitted.remove(&request).is_some() {
                self.outputs.push(Output::Result { request, result });
            }
        }
    }

    /// All of the chain have accepted the view.
    pub(super) fn set_established(&mut self) {
        if !self.durable.established {
            self.durable.established = true;
            self.dirty = true;
        }
    }

    /// Everything up to `sequence` is kept by all of the chain.
    pub(super) fn set_committed(&mut self, sequence: u64) {
        if !self.active || sequence > self.durable.position.sequence || sequence <= self.committed {
            return;
        }
        let before = std::mem::replace(&mut self.committed, sequence);
        self.progress = self.now;
        if !self.in_chain.is_empty() {
            let done = self.log.newest_first(before).filter(|entry| entry.position.sequence <= sequence);
            done.for_each(|entry| _ = self.in_chain.remove(&(entry.origin, entry.request)));
        }
    }

    pub(super) fn updates(&mut self, from: Peer, view: ViewNumber, entries: Vec<Entry>, synced: u64) {
        if !self.active || self.view_number() != Some(view) || self.previous() != Some(from) {
            return;
        }
        for entry in entries {
            let expected = self.durable.position.sequence + 1;
            match entry.position.sequence {
                sequence if sequence == expected => self.take(entry),
                sequence if sequence > expected => {
                    let sequence = self.durable.position.sequence;
                    self.send(from, Message::Behind { view, sequence });
                    return;
                }
                _ => {}
            }
        }
        self.synced_before = self.synced_before.max(synced.min(self.durable.position.sequence));
        self.advance();
    }

    pub(super) fn resend(&mut self, sequence: u64) {
        // What was gathered goes out with it.
        self.outgoing.clear();
        let last = self.durable.position.sequence;
        if sequence == last {
            self.pass_on(Vec::new());
            return;
        }
        match self.log.after(sequence, last) {
            Some(entries) => self.pass_on(entries),
            // Too far behind: only a new view brings it what it lacks.
            None => self.wrong_since = Some(self.wrong_since.unwrap_or(self.now)),
        }
    }

    /// Sends again what should have been committed by now.
    pub(super) fn resend_late(&mut self) {
        let late = self.now.saturating_sub(self.progress) >= self.settings.retry_interval_ms;
        if !self.active || !late || self.committed >= self.durable.position.sequence {
            return;
        }
        self.progress = self.now;
        if !self.is_tail() {
            // All of the chain hold what the view began with.
            self.resend(self.committed.max(self.first_of_view - 1));
        } else {
            self.ask_previous();
        }
    }

    /// Asks the replica before for what comes after the own position.
    pub(super) fn ask_previous(&mut self) {
        if let (Some(before), Some(view)) = (self.previous(), self.view_number()) {
            let sequence = self.durable.position.sequence;
            self.send(before, Message::Behind { view, sequence });
        }
    }
}
