//! What a replica lacks: asked for in pieces, handed out beside the running chain.

use bytes::Bytes;

use super::Node;
use crate::StateMachine;
use crate::identity::{Peer, Position, ViewNumber};
use crate::message::{FetchPayload, Heartbeat, Message, SnapshotCursor};
use crate::snapshot::{Assembled, Assembly, Piece, Rows, SnapshotId};

/// How often a replica outside of the chain asks for what is new, in milliseconds.
const FOLLOW: u64 = 100;
/// A replica that lacks at most so many updates has caught up.
const NEAR: u64 = 256;

/// How far a replica that lacks something is.
#[derive(Default)]
pub(super) struct CatchUp {
    assembly: Option<Assembly>,
    /// Whom it follows from outside of the chain.
    source: Option<Peer>,
    pub(super) asked_at: Option<u64>,
    /// An answer is awaited.
    waiting: bool,
    /// When it last had all that is committed.
    complete_at: Option<u64>,
}

impl<T: StateMachine> Node<T> {
    /// Outside of the chain, but lacking next to nothing.
    pub(super) fn is_caught_up(&self) -> bool {
        let lately = |at: u64| self.now.saturating_sub(at) <= self.settings.silence_timeout_ms;
        !self.active && self.catch_up.complete_at.is_some_and(lately)
    }

    fn cursor(&self) -> Option<SnapshotCursor> {
        let assembly = self.catch_up.assembly.as_ref()?;
        Some(SnapshotCursor { id: *assembly.id(), after: assembly.after()?.clone() })
    }

    pub(super) fn ask_for_rest(&mut self, source: Peer, entering: Option<ViewNumber>) {
        let (position, cursor) = (self.durable.position, self.cursor());
        self.catch_up.asked_at = Some(self.now);
        self.catch_up.waiting = true;
        let through = self.entering.as_ref().map_or(0, |entering| entering.base.sequence);
        self.send(source, Message::Fetch { entering, through, position, cursor });
    }

    /// Outside of the chain: follows it.
    pub(super) fn tend_catch_up(&mut self) {
        if self.active || self.entering.is_some() || !self.healthy || self.leaving {
            return;
        }
        let pause = if self.catch_up.waiting { self.settings.retry_interval_ms } else { FOLLOW };
        if self.catch_up.asked_at.is_some_and(|at| self.now.saturating_sub(at) < pause) {
            return;
        }
        // One that does not answer is not asked twice in a row.
        let silent = self.catch_up.source.filter(|_| self.catch_up.waiting);
        let Some(source) = self.choose_source(silent) else { return };
        self.catch_up.source = Some(source);
        self.ask_for_rest(source, None);
    }

    /// Whoever works in the newest view: the one that was asked before, or the last of the chain, which has least to do.
    fn choose_source(&self, silent: Option<Peer>) -> Option<Peer> {
        let newest = self.peers.all(self.now).filter(|h| h.active).filter_map(|h| h.view).max()?;
        if self.view_number().is_some_and(|mine| mine >= newest) {
            return None;
        }
        let good = |h: &&Heartbeat| {
            let peer = h.replica.peer;
            h.active && h.view == Some(newest) && self.peers.fit(self.now, peer)
        };
        let mut sources: Vec<Peer> = self.peers.all(self.now).filter(good).map(|h| h.replica.peer).collect();
        if sources.len() > 1 {
            sources.retain(|source| Some(*source) != silent);
        }
        let place = |peer: &Peer| {
            let chain = self.known_view.iter().flat_map(|view| &view.chain);
            chain.enumerate().find(|(_, replica)| replica.peer == *peer).map(|(at, _)| at)
        };
        let kept = self.catch_up.source.filter(|source| sources.contains(source));
        kept.or_else(|| sources.into_iter().max_by_key(place))
    }

    /// Hands out what another lacks.
    pub(super) fn fetch(
        &mut self,
        from: Peer,
        entering: Option<ViewNumber>,
        through: u64,
        position: Position,
        cursor: Option<SnapshotCursor>,
    ) {
        let (view, payload) = match entering {
            // Promised to that number, nothing of an older view can come in any more. A snapshot may go further than the
            // beginning; whoever takes it begins there.
            Some(number) if self.durable.promised == number => {
                (number, self.supply(position, cursor, through, self.durable.position.sequence))
            }
            Some(_) => return,
            None => {
                let Some(view) = self.view_number().filter(|_| self.has_committed_in_view()) else { return };
                (view, self.supply(position, cursor, self.committed, self.committed))
            }
        };
        self.send(from, Message::FetchReply { view, entering, position, payload });
    }

    /// What this machine knows as committed holds all that was acknowledged in older views.
    fn has_committed_in_view(&self) -> bool {
        self.active && self.durable.established && self.committed >= self.first_of_view
    }

    /// Updates up to `last`, or a snapshot of what goes no further than `most`.
    fn supply(
        &mut self,
        position: Position,
        cursor: Option<SnapshotCursor>,
        last: u64,
        most: u64,
    ) -> FetchPayload {
        if let Some(cursor) = cursor
            && let Some(piece) = self.snapshots.resume(self.now, &cursor.id, &cursor.after)
        {
            return supply_piece(piece, most);
        }
        if position == self.durable.position {
            return FetchPayload::Entries { entries: Vec::new(), more: false };
        }
        let known = self.log.contains(position);
        if known && position.sequence >= last {
            return FetchPayload::Entries { entries: Vec::new(), more: false };
        }
        if let Some(entries) = self.log.after(position.sequence, last).filter(|_| known) {
            let more = entries.last().is_some_and(|entry| entry.position.sequence < last);
            return FetchPayload::Entries { entries, more };
        }
        let (stamp, digest) = (self.durable.stamp, self.rows.digest());
        let id = SnapshotId { position: self.durable.position, stamp, digest };
        let piece = self.snapshots.begin(self.now, id, &self.rows);
        supply_piece(piece, most)
    }

    /// What was lacking has come.
    pub(super) fn supplied(
        &mut self,
        from: Peer,
        view: ViewNumber,
        entering: Option<ViewNumber>,
        position: Position,
        payload: FetchPayload,
    ) {
        let expected = match &self.entering {
            Some(current) => entering == Some(current.view.number) && current.source == from,
            // What this machine has accepted is never given up for something older.
            None => {
                let newer = self.view_number().is_none_or(|mine| mine < view);
                entering.is_none() && newer && !self.active && self.catch_up.source == Some(from)
            }
        };
        if !expected || position != self.durable.position {
            return;
        }
        self.catch_up.waiting = false;
        let more = match payload {
            FetchPayload::Entries { entries, more } => self.take_entries(entries, more),
            FetchPayload::SnapshotChunk { id, rows, last } => self.take_piece(id, rows, last),
            FetchPayload::RetryLater => false,
        };
        if more {
            self.ask_for_rest(from, entering);
        }
        self.enter_when_ready();
    }

    /// Tells whether more is to be asked for at once.
    fn take_entries(&mut self, entries: Vec<crate::Entry>, more: bool) -> bool {
        self.catch_up.assembly = None;
        let few = (entries.len() as u64) < NEAR;
        for entry in entries {
            if entry.position.sequence != self.durable.position.sequence + 1 {
                return false;
            }
            self.take(entry);
        }
        if !more && few {
            self.catch_up.complete_at = Some(self.now);
        }
        more
    }

    fn take_piece(&mut self, id: SnapshotId, rows: Vec<(Bytes, Bytes)>, last: bool) -> bool {
        let assembly = self.catch_up.assembly.take().filter(|assembly| *assembly.id() == id);
        match assembly.unwrap_or_else(|| Assembly::new(id)).take(rows, last) {
            Assembled::Partial(assembly) => self.catch_up.assembly = Some(assembly),
            Assembled::Whole(id, rows) => self.load_snapshot(id, rows),
            // Asked for again from its beginning.
            Assembled::Corrupt => {}
        }
        true
    }

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
        self.stamped = (id.stamp, self.now);
        self.log.restart(id.position);
        self.sync_anew();
        self.dirty = true;
    }
}

/// The last piece goes out only once all that the snapshot holds may be handed out.
fn supply_piece(piece: Piece, most: u64) -> FetchPayload {
    match piece.last && piece.id.position.sequence > most {
        true => FetchPayload::RetryLater,
        false => FetchPayload::SnapshotChunk { id: piece.id, rows: piece.rows, last: piece.last },
    }
}
