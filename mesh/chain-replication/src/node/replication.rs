//! Replication of updates along the chain, from submission to the result.

use bytes::Bytes;

use super::{AfterSync, Node, Output, Submission};
use crate::identity::{Entry, Peer, Position, ViewNumber};
use crate::message::Message;
use crate::{Applied, StateMachine};

/// Maximum number of times the retry interval is doubled before an update is submitted again.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

impl<T: StateMachine> Node<T> {
    /// Submits an update under a request id chosen by the caller. The update is sent again until its result
    /// arrives or [`stop_retrying`](Node::stop_retrying) is called.
    pub fn submit(&mut self, now: u64, request: u64, update: Bytes) {
        self.now = now;
        self.submitted.insert(request, Submission { update, sent_at: None, attempts: 0 });
        self.send_to_head(request);
    }

    /// Stops retrying a submitted update. The update may already have been applied.
    pub fn stop_retrying(&mut self, request: u64) {
        self.submitted.remove(&request);
    }

    /// Sends a submitted update to the head of the newest known view, or sequences it if this machine is the
    /// head.
    fn send_to_head(&mut self, request: u64) {
        let Some(view) = self.known_view.as_ref() else { return };
        let Some(head) = view.chain.first().map(|head| head.peer) else { return };
        let number = view.number;
        let is_own = head == self.settings.me;
        if is_own && !self.active {
            return;
        }
        let Some(submitted) = self.submitted.get_mut(&request) else { return };
        submitted.sent_at = Some(self.now);
        submitted.attempts += 1;
        let update = submitted.update.clone();
        if is_own {
            self.sequence_update(self.settings.me, request, update);
        } else {
            self.send(head, Message::Submit { view: number, request, update });
        }
    }

    /// Resubmits the updates that were not answered in time.
    pub(super) fn resubmit_overdue(&mut self) {
        let (now, retry) = (self.now, self.settings.retry_interval_ms);
        // Exponential backoff, so that retries do not overload a slow chain.
        let backoff = |attempts: u32| retry << attempts.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let due = |submitted: &Submission| {
            submitted.sent_at.is_none_or(|at| now.saturating_sub(at) >= backoff(submitted.attempts))
        };
        let mut requests: Vec<u64> =
            self.submitted.iter().filter(|(_, s)| due(s)).map(|(request, _)| *request).collect();
        requests.sort_unstable();
        requests.into_iter().for_each(|request| self.send_to_head(request));
    }

    /// At the head: assigns the next sequence number to an update and applies it.
    pub(super) fn sequence_update(&mut self, origin: Peer, request: u64, update: Bytes) {
        if !self.is_head() {
            return;
        }
        let Some(view) = self.view_number() else { return };
        // Updates are accepted only if the chain has the required number of copies.
        if request != 0 && !self.has_enough_copies() {
            return;
        }
        // Ignores retries of a request that is still in the chain, so that they do not add load to a slow
        // chain.
        if request != 0 && !self.in_flight.insert((origin, request)) {
            return;
        }
        let stamp = self.last_stamp.0 + self.now.saturating_sub(self.last_stamp.1);
        let position = Position { view, sequence: self.durable.position.sequence + 1 };
        self.apply_entry(Entry { position, stamp, origin, request, update });
    }

    /// Whether the chain contains as many voters as the settings require.
    fn has_enough_copies(&self) -> bool {
        let Some(view) = &self.durable.view else { return false };
        let copies = view.chain.iter().filter(|replica| view.voters.contains(replica)).count();
        copies >= self.settings.min_copies.min(view.voters.replicas.len())
    }

    /// Applies the next update and queues it for disk and for the successor.
    pub(super) fn apply_entry(&mut self, entry: Entry) {
        if self.committed == self.durable.position.sequence {
            self.last_progress_at = self.now;
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
        self.last_stamp = (entry.stamp, self.now);
        self.dirty = true;
        let sequence = entry.position.sequence;
        match self.after_sync.last_mut() {
            Some(AfterSync::Synced(last)) => *last = sequence,
            _ => self.after_sync.push(AfterSync::Synced(sequence)),
        }
        if self.is_tail() {
            self.pending_results.insert(sequence, (entry.origin, entry.request, applied.result));
        } else if self.active {
            self.forward_queue.push(entry.clone());
        }
        self.log.push(entry);
    }

    /// Sends entries and the synced position to the successor.
    pub(super) fn forward(&mut self, entries: Vec<Entry>) {
        let (Some(view), Some(next)) = (self.view_number(), self.successor()) else { return };
        let synced = self.synced.min(self.synced_by_predecessors);
        self.synced_reported = synced;
        self.send(next, Message::Updates { view, entries, synced });
    }

    /// Handles progress of the synced position: the tail commits, other replicas report it to their
    /// successor.
    pub(super) fn on_synced_progress(&mut self) {
        if self.chain_index().is_none() {
            return;
        }
        let through = self.synced.min(self.synced_by_predecessors).min(self.durable.position.sequence);
        if !self.is_tail() {
            if through > self.synced_reported && self.forward_queue.is_empty() {
                self.forward(Vec::new());
            }
            return;
        }
        if through > self.committed {
            // The predecessors report a synced position only after they have accepted this view on disk.
            self.set_established();
            self.set_committed(through);
            self.broadcast_committed(through);
            self.deliver_results(through);
        }
    }

    /// Sends the commit position to all other replicas of the chain.
    fn broadcast_committed(&mut self, sequence: u64) {
        let Some(view) = self.view_number() else { return };
        let me = self.settings.me;
        let peers: Vec<Peer> = self.chain().iter().map(|replica| replica.peer).filter(|p| *p != me).collect();
        for to in peers {
            self.send(to, Message::Committed { view, sequence });
        }
    }

    /// At the tail: sends the results of all updates up to `sequence` to their origins.
    fn deliver_results(&mut self, sequence: u64) {
        let Some(view) = self.view_number() else { return };
        let uncommitted = self.pending_results.split_off(&(sequence + 1));
        for (_, (origin, request, result)) in std::mem::replace(&mut self.pending_results, uncommitted) {
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

    /// Records that every replica of the chain has accepted the view.
    pub(super) fn set_established(&mut self) {
        if !self.durable.established {
            self.durable.established = true;
            self.dirty = true;
        }
    }

    /// Records that every replica of the chain has all updates up to `sequence` on disk.
    pub(super) fn set_committed(&mut self, sequence: u64) {
        if !self.active || sequence > self.durable.position.sequence || sequence <= self.committed {
            return;
        }
        let previous = std::mem::replace(&mut self.committed, sequence);
        self.last_progress_at = self.now;
        if !self.in_flight.is_empty() {
            let committed =
                self.log.newest_first(previous).filter(|entry| entry.position.sequence <= sequence);
            committed.for_each(|entry| _ = self.in_flight.remove(&(entry.origin, entry.request)));
        }
    }

    /// Handles updates from the predecessor; requests a resend if updates are missing in between.
    pub(super) fn on_updates(&mut self, from: Peer, view: ViewNumber, entries: Vec<Entry>, synced: u64) {
        if !self.active || self.view_number() != Some(view) || self.predecessor() != Some(from) {
            return;
        }
        for entry in entries {
            let expected = self.durable.position.sequence + 1;
            match entry.position.sequence {
                sequence if sequence == expected => self.apply_entry(entry),
                sequence if sequence > expected => {
                    let sequence = self.durable.position.sequence;
                    self.send(from, Message::ResendRequest { view, sequence });
                    return;
                }
                _ => {}
            }
        }
        self.synced_by_predecessors =
            self.synced_by_predecessors.max(synced.min(self.durable.position.sequence));
        self.on_synced_progress();
    }

    /// Sends the successor all updates that follow `sequence`.
    pub(super) fn resend(&mut self, sequence: u64) {
        // The queued updates are included in the resent ones.
        self.forward_queue.clear();
        let last = self.durable.position.sequence;
        if sequence == last {
            self.forward(Vec::new());
            return;
        }
        match self.log.after(sequence, last) {
            Some(entries) => self.forward(entries),
            // The successor is too far behind for the log; it can catch up only by entering a new view.
            None => self.repair_due_since = Some(self.repair_due_since.unwrap_or(self.now)),
        }
    }

    /// Resends updates that were not committed within the retry interval.
    pub(super) fn resend_overdue(&mut self) {
        let overdue = self.now.saturating_sub(self.last_progress_at) >= self.settings.retry_interval_ms;
        if !self.active || !overdue || self.committed >= self.durable.position.sequence {
            return;
        }
        self.last_progress_at = self.now;
        if !self.is_tail() {
            // Every replica of the chain has the updates with which the view started.
            self.resend(self.committed.max(self.first_sequence_of_view - 1));
        } else {
            self.request_resend();
        }
    }

    /// Asks the predecessor to resend the updates that follow this machine's position.
    pub(super) fn request_resend(&mut self) {
        if let (Some(predecessor), Some(view)) = (self.predecessor(), self.view_number()) {
            let sequence = self.durable.position.sequence;
            self.send(predecessor, Message::ResendRequest { view, sequence });
        }
    }
}
