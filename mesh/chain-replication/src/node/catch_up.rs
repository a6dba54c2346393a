//! Catch-up: fetching missing updates and snapshots, and serving them to other machines while the chain runs.

use bytes::Bytes;

use super::Node;
use crate::StateMachine;
use crate::identity::{Peer, Position, ViewNumber};
use crate::message::{FetchPayload, Heartbeat, Message, SnapshotCursor};
use crate::snapshot::{AssemblyResult, Rows, SnapshotAssembly, SnapshotChunk, SnapshotId};

/// Interval at which a replica outside the chain fetches new updates, in milliseconds.
const FOLLOW_INTERVAL_MS: u64 = 100;
/// A replica whose last fetch returned fewer updates than this and reached the end counts as caught up.
const CAUGHT_UP_MAX_LAG: u64 = 256;

/// Progress of fetching missing updates or a snapshot.
#[derive(Default)]
pub(super) struct CatchUp {
    /// The snapshot being received, if any.
    assembly: Option<SnapshotAssembly>,
    /// The machine that this replica follows from outside the chain.
    source: Option<Peer>,
    /// Local time of the last request, in milliseconds.
    pub(super) requested_at: Option<u64>,
    /// Whether a reply is outstanding.
    awaiting_reply: bool,
    /// Local time at which this replica last had all committed updates, in milliseconds.
    caught_up_at: Option<u64>,
}

impl<T: StateMachine> Node<T> {
    /// Whether this machine is outside the chain but almost caught up with it.
    pub(super) fn is_caught_up(&self) -> bool {
        let recent = |at: u64| self.now.saturating_sub(at) <= self.settings.silence_timeout_ms;
        !self.active && self.catch_up.caught_up_at.is_some_and(recent)
    }

    /// The position within the snapshot being received, if a part of it has arrived.
    fn cursor(&self) -> Option<SnapshotCursor> {
        let assembly = self.catch_up.assembly.as_ref()?;
        Some(SnapshotCursor { id: *assembly.id(), after: assembly.after()?.clone() })
    }

    /// Requests the updates that this machine is missing from `source`.
    pub(super) fn send_fetch(&mut self, source: Peer, entering: Option<ViewNumber>) {
        let (position, cursor) = (self.durable.position, self.cursor());
        self.catch_up.requested_at = Some(self.now);
        self.catch_up.awaiting_reply = true;
        let through = self.entering.as_ref().map_or(0, |entering| entering.base.sequence);
        self.send(source, Message::Fetch { entering, through, position, cursor });
    }

    /// Follows the chain while this machine is outside it.
    pub(super) fn follow_chain(&mut self) {
        if self.active || self.entering.is_some() || !self.healthy || self.leaving {
            return;
        }
        let interval =
            if self.catch_up.awaiting_reply { self.settings.retry_interval_ms } else { FOLLOW_INTERVAL_MS };
        if self.catch_up.requested_at.is_some_and(|at| self.now.saturating_sub(at) < interval) {
            return;
        }
        // A source that did not reply is skipped in the next attempt if there is another one.
        let unresponsive = self.catch_up.source.filter(|_| self.catch_up.awaiting_reply);
        let Some(source) = self.choose_source(unresponsive) else { return };
        self.catch_up.source = Some(source);
        self.send_fetch(source, None);
    }

    /// The source to follow: a machine active in the newest view. The current source is kept if possible;
    /// otherwise the replica closest to the tail is chosen, because it has the least work.
    fn choose_source(&self, unresponsive: Option<Peer>) -> Option<Peer> {
        let newest =
            self.peers.live_heartbeats(self.now).filter(|h| h.active).filter_map(|h| h.view).max()?;
        if self.view_number().is_some_and(|mine| mine >= newest) {
            return None;
        }
        let eligible = |h: &&Heartbeat| {
            let peer = h.replica.peer;
            h.active && h.view == Some(newest) && self.peers.is_usable(self.now, peer)
        };
        let mut sources: Vec<Peer> =
            self.peers.live_heartbeats(self.now).filter(eligible).map(|h| h.replica.peer).collect();
        if sources.len() > 1 {
            sources.retain(|source| Some(*source) != unresponsive);
        }
        let chain_index = |peer: &Peer| {
            let chain = self.known_view.iter().flat_map(|view| &view.chain);
            chain.enumerate().find(|(_, replica)| replica.peer == *peer).map(|(at, _)| at)
        };
        let current = self.catch_up.source.filter(|source| sources.contains(source));
        current.or_else(|| sources.into_iter().max_by_key(chain_index))
    }

    /// Handles a request for missing updates or a snapshot.
    pub(super) fn on_fetch(
        &mut self,
        from: Peer,
        entering: Option<ViewNumber>,
        through: u64,
        position: Position,
        cursor: Option<SnapshotCursor>,
    ) {
        let (view, payload) = match entering {
            // After the promise of this number, no update of an older view can be added. A snapshot may end
            // after the requested position; the receiver then starts the view from the end of the snapshot.
            Some(number) if self.durable.promised == number => {
                (number, self.fetch_payload(position, cursor, through, self.durable.position.sequence))
            }
            Some(_) => return,
            None => {
                let Some(view) = self.view_number().filter(|_| self.has_committed_in_view()) else { return };
                (view, self.fetch_payload(position, cursor, self.committed, self.committed))
            }
        };
        self.send(from, Message::FetchReply { view, entering, position, payload });
    }

    /// Whether all updates acknowledged in older views are known to be committed.
    fn has_committed_in_view(&self) -> bool {
        self.active && self.durable.established && self.committed >= self.first_sequence_of_view
    }

    /// Updates after `position` up to `last`, or a chunk of a snapshot. The last chunk of a snapshot is sent
    /// only if the snapshot ends at `max_sequence` or before.
    fn fetch_payload(
        &mut self,
        position: Position,
        cursor: Option<SnapshotCursor>,
        last: u64,
        max_sequence: u64,
    ) -> FetchPayload {
        if let Some(cursor) = cursor
            && let Some(chunk) = self.snapshots.next_chunk(self.now, &cursor.id, &cursor.after)
        {
            return chunk_payload(chunk, max_sequence);
        }
        if position == self.durable.position {
            return FetchPayload::Entries { entries: Vec::new(), more: false };
        }
        let shares_history = self.log.contains(position);
        if shares_history && position.sequence >= last {
            return FetchPayload::Entries { entries: Vec::new(), more: false };
        }
        if let Some(entries) = self.log.after(position.sequence, last).filter(|_| shares_history) {
            let more = entries.last().is_some_and(|entry| entry.position.sequence < last);
            return FetchPayload::Entries { entries, more };
        }
        let (stamp, digest) = (self.durable.stamp, self.rows.digest());
        let id = SnapshotId { position: self.durable.position, stamp, digest };
        let chunk = self.snapshots.open(self.now, id, &self.rows);
        chunk_payload(chunk, max_sequence)
    }

    /// Handles a reply to a fetch request.
    pub(super) fn on_fetch_reply(
        &mut self,
        from: Peer,
        view: ViewNumber,
        entering: Option<ViewNumber>,
        position: Position,
        payload: FetchPayload,
    ) {
        let expected = match &self.entering {
            Some(current) => entering == Some(current.view.number) && current.source == from,
            // A machine that has accepted a view does not replace its state with that of an older view.
            None => {
                let newer = self.view_number().is_none_or(|mine| mine < view);
                entering.is_none() && newer && !self.active && self.catch_up.source == Some(from)
            }
        };
        if !expected || position != self.durable.position {
            return;
        }
        self.catch_up.awaiting_reply = false;
        let more = match payload {
            FetchPayload::Entries { entries, more } => self.apply_fetched_entries(entries, more),
            FetchPayload::SnapshotChunk { id, rows, last } => self.receive_chunk(id, rows, last),
            FetchPayload::RetryLater => false,
        };
        if more {
            self.send_fetch(from, entering);
        }
        self.enter_when_ready();
    }

    /// Applies fetched updates. Returns whether to request more at once.
    fn apply_fetched_entries(&mut self, entries: Vec<crate::Entry>, more: bool) -> bool {
        self.catch_up.assembly = None;
        let is_near = (entries.len() as u64) < CAUGHT_UP_MAX_LAG;
        for entry in entries {
            if entry.position.sequence != self.durable.position.sequence + 1 {
                return false;
            }
            self.apply_entry(entry);
        }
        if !more && is_near {
            self.catch_up.caught_up_at = Some(self.now);
        }
        more
    }

    /// Adds a chunk to the snapshot being received, and loads the snapshot once it is complete. Returns
    /// whether to request more at once.
    fn receive_chunk(&mut self, id: SnapshotId, rows: Vec<(Bytes, Bytes)>, last: bool) -> bool {
        let assembly = self.catch_up.assembly.take().filter(|assembly| *assembly.id() == id);
        match assembly.unwrap_or_else(|| SnapshotAssembly::new(id)).add_chunk(rows, last) {
            AssemblyResult::Partial(assembly) => self.catch_up.assembly = Some(assembly),
            AssemblyResult::Complete(id, rows) => self.load_snapshot(id, rows),
            // Further requests start from the beginning of the snapshot.
            AssemblyResult::Corrupt => {}
        }
        true
    }

    /// Replaces the state with a received snapshot.
    fn load_snapshot(&mut self, id: SnapshotId, rows: Rows) {
        if let Some(entering) = &mut self.entering {
            entering.base = id.position;
        }
        self.state_machine.load(&rows);
        self.changed_rows = rows.iter().map(|(key, value)| (key.clone(), Some(value.clone()))).collect();
        self.replace_rows = true;
        self.rows = rows;
        self.durable.position = id.position;
        self.durable.stamp = id.stamp;
        self.last_stamp = (id.stamp, self.now);
        self.log.restart(id.position);
        self.reset_synced();
        self.dirty = true;
    }
}

/// The payload for a chunk. The last chunk is held back until everything in the snapshot may be handed out.
fn chunk_payload(chunk: SnapshotChunk, max_sequence: u64) -> FetchPayload {
    match chunk.last && chunk.id.position.sequence > max_sequence {
        true => FetchPayload::RetryLater,
        false => FetchPayload::SnapshotChunk { id: chunk.id, rows: chunk.rows, last: chunk.last },
    }
}
