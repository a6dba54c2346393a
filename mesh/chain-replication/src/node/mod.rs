//! A replica of the chain as a state machine without I/O: replication, view changes, leases and catch-up.

mod catch_up;
mod replication;
mod view_change;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::identity::{Entry, Peer, Position, Replica, View, ViewNumber, VoterSet};
use crate::lease::Leases;
use crate::log::RecentLog;
use crate::message::{Heartbeat, Message};
use crate::peers::Peers;
use crate::proposal::Proposal;
use crate::snapshot::{Digest, OpenSnapshots, Rows};
use crate::{Row, StateMachine};
use catch_up::CatchUp;
use view_change::EnteringView;

/// Machines that neither the settings nor a view name are forgotten after this time of silence, in
/// milliseconds.
const UNLISTED_PEER_EXPIRY_MS: u64 = 30_000;

/// Added to view rounds and voter set versions when the control plane is restored from one disk, so that the
/// new numbers exceed every number the lost disks may have known.
const RESTORE_NUMBER_STEP: u64 = 1 << 32;

/// Configuration of a [`Node`].
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address of this machine.
    pub me: Peer,
    /// Addresses of machines that may belong to the control plane; they are contacted first.
    pub seeds: Vec<Peer>,
    /// Minimum number of voters in the chain for an update to be accepted, limited by the size of the voter
    /// set.
    pub min_copies: usize,
    /// The voter set grows up to this number of voters.
    pub target_voters: usize,
    /// Interval between heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Time without a message after which a machine counts as lost, in milliseconds.
    pub silence_timeout_ms: u64,
    /// Time after which an unanswered message is sent again, in milliseconds.
    pub retry_interval_ms: u64,
}

/// The state that a machine must keep across restarts, apart from the rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// Id of the disk, as in [`Replica::disk`].
    pub disk: u64,
    /// The highest view number that this machine has promised.
    pub promised: ViewNumber,
    /// The view accepted last; `None` on a machine that was never part of a chain.
    pub view: Option<View>,
    /// Whether every replica of the chain is known to have accepted `view`.
    pub established: bool,
    /// The end of this machine's state.
    pub position: Position,
    /// Timestamp of the last update in the state.
    pub stamp: u64,
    /// Digest of the rows of the state.
    pub digest: Digest,
}

impl DurableState {
    /// The initial state of a founder's disk, at the first start of the system.
    pub fn founder(voters: VoterSet) -> DurableState {
        DurableState {
            disk: crate::FOUNDER_DISK_ID,
            view: Some(View::initial(voters)),
            established: true,
            ..DurableState::learner(crate::FOUNDER_DISK_ID)
        }
    }

    /// The initial state of a new disk in a system that already exists.
    pub fn learner(disk: u64) -> DurableState {
        DurableState {
            disk,
            promised: ViewNumber::ZERO,
            view: None,
            established: false,
            position: Position::START,
            stamp: 0,
            digest: Digest::default(),
        }
    }

    /// The state that turns this disk into a complete control plane of one machine, under a new identity. It
    /// is meant for the case that a majority of disks is lost for good. Updates that only the lost disks held
    /// are lost. No former voter that could still acknowledge updates may be running.
    pub fn restored(&self, peer: Peer, disk: u64) -> DurableState {
        let former = self.view.as_ref();
        let round = former.map_or(0, |view| view.number.round).max(self.promised.round) + RESTORE_NUMBER_STEP;
        let number = ViewNumber { round, proposer: peer };
        let replica = Replica { peer, disk };
        let voters = VoterSet {
            number: former.map_or(0, |view| view.voters.number) + RESTORE_NUMBER_STEP,
            replicas: vec![replica],
        };
        let view = View { number, chain: vec![replica], voters, outgoing: None };
        DurableState { disk, promised: number, view: Some(view), established: true, ..self.clone() }
    }
}

/// A write to disk. Writes must be applied in order and each one atomically.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Passed to [`Node::write_synced`] once this write and all earlier ones are synced; increases with every
    /// write.
    pub token: u64,
    /// Replaces the durable state on disk.
    pub durable: DurableState,
    /// Rows to insert, replace or delete.
    pub rows: Vec<Row>,
    /// Whether to delete all existing rows before `rows` are applied.
    pub replace_all: bool,
}

/// An action that a [`Node`] requests. Actions must be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Sends a message to another machine.
    Send {
        /// The receiver.
        to: Peer,
        /// The message.
        message: Message,
    },
    /// Writes to disk.
    Write(Write),
    /// An update that was submitted on this machine is committed.
    Result {
        /// Request id passed to [`Node::submit`].
        request: u64,
        /// The state machine's reply.
        result: Bytes,
    },
}

/// An action that is taken once a write has been synced.
enum AfterSync {
    /// The state up to this sequence number is on disk.
    Synced(u64),
    /// The promise of this view number is on disk and can be sent to the proposer.
    Promise(Peer, ViewNumber),
}

/// An update submitted on this machine that has no result yet.
struct Submission {
    /// Encoded update for the state machine.
    update: Bytes,
    /// Local time of the last attempt in the current view; `None` before the first.
    sent_at: Option<u64>,
    /// Number of attempts in the current view; the retry interval grows with it.
    attempts: u32,
}

/// A control-plane machine: its replica of the state and its part in the replication protocol. The caller
/// passes in messages, completed writes and the time, and carries out the [`Output`]s.
pub struct Node<T> {
    /// Configuration of this machine.
    settings: Settings,
    /// The state that is written to disk.
    durable: DurableState,
    /// The replicated state machine with all updates up to `durable.position`.
    state_machine: T,
    /// The rows of the state, as they are on disk once all writes are synced.
    rows: Rows,
    /// The other machines and their last heartbeats.
    peers: Peers,
    /// Leases granted to peers and received from them.
    leases: Leases,
    /// The current time in milliseconds of the monotonic clock, as last passed in by the caller.
    now: u64,
    /// Whether this machine takes part in the chain of its view. It has held the view's initial state since
    /// the process started.
    active: bool,
    /// Local time at which this machine became active in its view, in milliseconds.
    active_since: u64,
    /// Sequence number of the first update created in the view.
    first_sequence_of_view: u64,
    /// Whether the disk accepts writes.
    healthy: bool,
    /// Whether this machine is about to shut down.
    leaving: bool,
    /// The most recent updates, for replicas that are a few updates behind.
    log: RecentLog,
    /// Sequence number up to which all updates are on this machine's disk.
    synced: u64,
    /// Sequence number up to which all updates are on the disks of all predecessors; unlimited at the head.
    synced_by_predecessors: u64,
    /// The synced sequence number last sent to the successor.
    synced_reported: u64,
    /// Sequence number up to which every replica of the chain has all updates on disk, as far as this machine
    /// knows.
    committed: u64,
    /// Local time of the last progress: when a commit was learned, or the first uncommitted update arrived.
    last_progress_at: u64,
    /// At the head: updates in the chain that are not known to be committed, by origin and request id.
    in_flight: HashSet<(Peer, u64)>,
    /// At the tail: results of updates that are not committed yet, by sequence number, with origin and
    /// request id.
    pending_results: BTreeMap<u64, (Peer, u64, Bytes)>,
    /// Updates submitted on this machine that have no result yet, by request id.
    submitted: HashMap<u64, Submission>,
    /// Updates to forward to the successor with the next outputs.
    forward_queue: Vec<Entry>,
    /// Rows changed since the last write was issued.
    changed_rows: Vec<Row>,
    /// Whether the next write replaces all rows.
    replace_rows: bool,
    /// Whether the durable state has changed since the last write was issued.
    dirty: bool,
    /// Actions to take once the next write is synced.
    after_sync: Vec<AfterSync>,
    /// Writes that were issued but are not synced yet: their tokens and the actions that follow.
    unsynced: VecDeque<(u64, Vec<AfterSync>)>,
    /// Token of the last write that was issued.
    last_token: u64,
    /// Actions for the caller that have not been returned yet.
    outputs: Vec<Output>,
    /// Local time at which the next heartbeats are due.
    next_heartbeat_at: u64,
    /// The view that this machine is currently proposing.
    proposal: Option<Proposal>,
    /// Replicas from which a heartbeat was received while both were active in this machine's view.
    active_peers_seen: Vec<Replica>,
    /// The view to enter once this machine has the view's initial state.
    entering: Option<EnteringView>,
    /// Progress of fetching missing updates.
    catch_up: CatchUp,
    /// Snapshots that other machines are fetching from this one.
    snapshots: OpenSnapshots,
    /// The newest view known; this machine may not belong to it.
    known_view: Option<View>,
    /// Local time since which the view has needed a repair.
    repair_due_since: Option<u64>,
    /// Local time since which a replica could join the chain or a voter set change has been due.
    change_due_since: Option<u64>,
    /// Local time before which this machine starts no proposal.
    no_proposal_before: u64,
    /// Timestamp of the last update and the local time at which this machine applied it.
    last_stamp: (u64, u64),
}

impl<T: StateMachine> Node<T> {
    /// Creates a node from the state that its disk holds.
    pub fn new(
        settings: Settings,
        durable: DurableState,
        rows: Rows,
        mut state_machine: T,
        now: u64,
    ) -> Node<T> {
        state_machine.load(&rows);
        let mut peers = Peers::new(settings.me, settings.silence_timeout_ms);
        peers.set_listed(&settings.seeds);
        let leases =
            Leases::after_start(now, durable.view.as_ref().is_some_and(|v| v.number != ViewNumber::ZERO));
        let (synced, last_stamp) = (durable.position.sequence, (durable.stamp, now));
        Node {
            known_view: durable.view.clone(),
            log: RecentLog::new(durable.position),
            settings,
            durable,
            state_machine,
            rows,
            peers,
            leases,
            now,
            active: false,
            active_since: 0,
            first_sequence_of_view: 0,
            healthy: true,
            leaving: false,
            synced,
            synced_by_predecessors: 0,
            synced_reported: 0,
            committed: 0,
            last_progress_at: now,
            in_flight: HashSet::new(),
            pending_results: BTreeMap::new(),
            submitted: HashMap::new(),
            forward_queue: Vec::new(),
            changed_rows: Vec::new(),
            replace_rows: false,
            dirty: true,
            after_sync: Vec::new(),
            unsynced: VecDeque::new(),
            last_token: 0,
            outputs: Vec::new(),
            next_heartbeat_at: now,
            proposal: None,
            active_peers_seen: Vec::new(),
            entering: None,
            catch_up: CatchUp::default(),
            snapshots: OpenSnapshots::default(),
            repair_due_since: None,
            change_due_since: None,
            no_proposal_before: 0,
            last_stamp,
        }
    }

    /// The replicated state machine with all updates this machine has.
    pub fn state_machine(&self) -> &T {
        &self.state_machine
    }

    /// The rows of the state.
    pub fn rows(&self) -> &Rows {
        &self.rows
    }

    /// The end of this machine's state.
    pub fn position(&self) -> Position {
        self.durable.position
    }

    /// Sequence number up to which, as far as this machine knows, every replica of the chain has all updates
    /// on disk.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// Whether this machine takes part in the chain of its view.
    pub fn active(&self) -> bool {
        self.active
    }

    /// The view that this machine accepted last.
    pub fn view(&self) -> Option<&View> {
        self.durable.view.as_ref()
    }

    /// The newest view that this machine knows; the machine may not belong to it.
    pub fn known_view(&self) -> Option<&View> {
        self.known_view.as_ref()
    }

    /// Whether every replica of the chain is known to have accepted the view.
    pub fn established(&self) -> bool {
        self.durable.established
    }

    /// The state that is written to disk, apart from the rows.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The last heartbeats of all live machines, without this one.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.peers.live_heartbeats(self.now).cloned().collect()
    }

    /// The addresses of all other known machines, whether live or not.
    pub fn known_peers(&self) -> Vec<Peer> {
        self.peers.addresses()
    }

    /// Whether this machine holds a lease: a quorum has echoed its recent heartbeats, so no newer view
    /// excludes it.
    pub fn holds_lease(&self, now: u64) -> bool {
        let me = self.replica();
        let view = self.durable.view.as_ref().filter(|_| self.active && !self.leaving);
        view.is_some_and(|view| self.leases.holds(now, &me, view, self.durable.established))
    }

    /// Another live machine that holds a lease, preferring the newest view.
    pub fn peer_with_lease(&self, now: u64) -> Option<Peer> {
        // Clients are redirected to this machine, so at most two of its heartbeats may be late.
        let recent = |h: &Heartbeat| {
            self.peers.silent_for_ms(now, h.replica.peer) <= 3 * self.settings.heartbeat_interval_ms
        };
        let eligible = |h: &&Heartbeat| h.holds_lease && h.healthy && !h.leaving && recent(h);
        let newest =
            self.peers.live_heartbeats(now).filter(eligible).max_by_key(|h| (h.view, h.replica.peer));
        newest.map(|h| h.replica.peer)
    }

    /// Whether the chain of the newest view that this machine knows contains this machine.
    pub fn is_in_newest_chain(&self) -> bool {
        let me = self.replica();
        self.known_view.as_ref().is_some_and(|view| view.chain.contains(&me))
    }

    /// The replica that this machine is: its address and its disk id.
    pub fn replica(&self) -> Replica {
        Replica { peer: self.settings.me, disk: self.durable.disk }
    }

    /// Replaces the configured addresses of machines that may belong to the control plane.
    pub fn set_seeds(&mut self, seeds: &[Peer]) {
        self.settings.seeds = seeds.to_vec();
        self.peers.set_listed(seeds);
    }

    /// Announces the shutdown of this machine: it gives up its lease at once, and the others form a chain
    /// without it.
    pub fn set_leaving(&mut self, now: u64) {
        self.now = now;
        self.leaving = true;
        self.next_heartbeat_at = now;
    }

    /// Reports whether the disk accepts writes. After a failure, the state must be reloaded from disk with
    /// [`Node::new`].
    pub fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
        if !healthy {
            self.active = false;
        }
    }

    /// Discards all knowledge of what is synced until the current state has been written to disk.
    fn reset_synced(&mut self) {
        let unrelated = |step: &AfterSync| !matches!(step, AfterSync::Synced(_));
        self.after_sync.retain(unrelated);
        self.unsynced.iter_mut().for_each(|(_, steps)| steps.retain(unrelated));
        self.synced = 0;
        self.after_sync.push(AfterSync::Synced(self.durable.position.sequence));
        self.dirty = true;
    }

    /// Number of the view that this machine accepted last.
    fn view_number(&self) -> Option<ViewNumber> {
        self.durable.view.as_ref().map(|view| view.number)
    }

    /// The chain of the view that this machine accepted last, from head to tail; empty if there is no view.
    fn chain(&self) -> &[Replica] {
        self.durable.view.as_ref().map(|view| view.chain.as_slice()).unwrap_or_default()
    }

    /// Index of this machine in the chain, if it is active.
    fn chain_index(&self) -> Option<usize> {
        let me = self.replica();
        self.chain().iter().position(|replica| *replica == me).filter(|_| self.active)
    }

    /// Whether this machine is the active head of the chain.
    fn is_head(&self) -> bool {
        self.chain_index() == Some(0)
    }

    /// Whether this machine is the active tail of the chain.
    fn is_tail(&self) -> bool {
        self.chain_index().is_some() && self.successor().is_none()
    }

    /// The next replica of the chain, towards the tail.
    fn successor(&self) -> Option<Peer> {
        Some(self.chain().get(self.chain_index()? + 1)?.peer)
    }

    /// The previous replica of the chain, towards the head.
    fn predecessor(&self) -> Option<Peer> {
        Some(self.chain().get(self.chain_index()?.checked_sub(1)?)?.peer)
    }

    /// Queues a message to another machine.
    fn send(&mut self, to: Peer, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    /// Takes the actions that are due. Updates and row changes collected since the last call go out together.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        if !self.forward_queue.is_empty() {
            let entries = std::mem::take(&mut self.forward_queue);
            self.forward(entries);
        }
        if self.dirty || !self.changed_rows.is_empty() || self.replace_rows {
            self.last_token += 1;
            self.durable.digest = self.rows.digest();
            let write = Write {
                token: self.last_token,
                durable: self.durable.clone(),
                rows: std::mem::take(&mut self.changed_rows),
                replace_all: std::mem::take(&mut self.replace_rows),
            };
            self.dirty = false;
            self.unsynced.push_back((self.last_token, std::mem::take(&mut self.after_sync)));
            self.outputs.push(Output::Write(write));
        }
        std::mem::take(&mut self.outputs)
    }

    /// Reports that the write with this token and all earlier writes are on disk.
    pub fn write_synced(&mut self, now: u64, token: u64) {
        self.now = now;
        while self.unsynced.front().is_some_and(|(unsynced, _)| *unsynced <= token) {
            let Some((_, after_sync)) = self.unsynced.pop_front() else { break };
            for step in after_sync {
                match step {
                    AfterSync::Synced(sequence) => {
                        self.synced = self.synced.max(sequence);
                        self.on_synced_progress();
                    }
                    AfterSync::Promise(to, number) => self.send_promise(to, number),
                }
            }
        }
    }

    /// Handles a message from another machine.
    pub fn receive(&mut self, now: u64, from: Peer, message: Message) {
        self.now = now;
        let heartbeat = if let Message::Heartbeat(heartbeat) = &message { Some(heartbeat) } else { None };
        self.peers.record_message(now, from, heartbeat.filter(|h| h.replica.peer == from));
        match message {
            Message::Heartbeat(heartbeat) if heartbeat.replica.peer == from => self.on_heartbeat(heartbeat),
            Message::Heartbeat(_) => {}
            Message::Prepare { view, replica, voters } => self.on_prepare(from, view, replica, voters),
            Message::Promise { view, replica, accepted, established, position, caught_up, leaving } => {
                if replica.peer == from {
                    let promise = crate::proposal::Promise {
                        replica,
                        accepted,
                        established,
                        position,
                        caught_up,
                        leaving,
                    };
                    self.on_promise(view, promise);
                }
            }
            Message::Refused { .. } => self.on_refused(),
            Message::Install { view, base, source } => self.install(view, base, source),
            Message::Fetch { entering, through, position, cursor } => {
                self.on_fetch(from, entering, through, position, cursor);
            }
            Message::FetchReply { view, entering, position, payload } => {
                self.on_fetch_reply(from, view, entering, position, payload)
            }
            Message::Updates { view, entries, synced } => self.on_updates(from, view, entries, synced),
            Message::ResendRequest { view, sequence } => {
                if self.active && self.view_number() == Some(view) && self.successor() == Some(from) {
                    self.resend(sequence);
                }
            }
            Message::Committed { view, sequence } => {
                if self.view_number() == Some(view) {
                    self.set_established();
                    self.set_committed(sequence);
                }
            }
            Message::Submit { view, request, update } => {
                if self.view_number() == Some(view) {
                    self.sequence_update(from, request, update);
                }
            }
            Message::Result { request, result, .. } => {
                if self.submitted.remove(&request).is_some() {
                    self.outputs.push(Output::Result { request, result });
                }
            }
        }
    }

    /// Handles a heartbeat: updates leases, the known view and the commit position.
    fn on_heartbeat(&mut self, heartbeat: Heartbeat) {
        self.leases.record_heartbeat(self.now, self.settings.me, &heartbeat);
        if self.active
            && heartbeat.active
            && heartbeat.view == self.view_number()
            && !self.active_peers_seen.contains(&heartbeat.replica)
        {
            // Answers the first heartbeat of this replica in the view at once, so that it obtains its lease
            // sooner.
            self.active_peers_seen.push(heartbeat.replica);
            self.send_heartbeats();
        }
        if let Some(view) = &heartbeat.details
            && self.known_view.as_ref().is_none_or(|known| known.number < view.number)
        {
            self.known_view = Some(view.clone());
            let named: Vec<Peer> = view.replicas().into_iter().map(|replica| replica.peer).collect();
            let seeds: Vec<Peer> = self.settings.seeds.iter().copied().chain(named).collect();
            self.peers.set_listed(&seeds);
        }
        if heartbeat.view.is_some() && heartbeat.view == self.view_number() {
            if heartbeat.established {
                self.set_established();
            }
            // Heartbeats repeat the commit position because a `Committed` message may have been lost.
            if heartbeat.active && self.chain().last() == Some(&heartbeat.replica) {
                self.set_committed(heartbeat.committed);
            }
        }
    }

    /// Advances the time: sends heartbeats, repeats unanswered messages and checks the view.
    pub fn tick(&mut self, now: u64) {
        self.now = now;
        if now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + self.settings.heartbeat_interval_ms;
            self.send_heartbeats();
            self.peers.remove_unlisted(now, self.known_view.as_ref(), UNLISTED_PEER_EXPIRY_MS);
            self.leases.retain(&self.peers.addresses());
            self.snapshots.expire(now);
        }
        self.stop_if_replaced();
        self.resubmit_overdue();
        self.resend_overdue();
        self.continue_entering();
        self.follow_chain();
        self.check_view();
    }

    /// Deactivates this machine if others are active in a newer view; it then follows the chain from outside.
    fn stop_if_replaced(&mut self) {
        let Some(newest) =
            self.peers.live_heartbeats(self.now).filter(|h| h.active).filter_map(|h| h.view).max()
        else {
            return;
        };
        if self.entering.as_ref().is_some_and(|entering| entering.view.number < newest) {
            self.entering = None;
        }
        if self.active && self.view_number().is_some_and(|mine| mine < newest) {
            self.active = false;
            self.forward_queue.clear();
            self.pending_results.clear();
        }
    }

    /// Sends a heartbeat to every known machine.
    fn send_heartbeats(&mut self) {
        let heartbeat = Heartbeat {
            replica: self.replica(),
            sent_at: self.now,
            healthy: self.healthy,
            leaving: self.leaving,
            view: self.view_number(),
            established: self.durable.established,
            active: self.active,
            entering: self.entering.as_ref().map(|entering| entering.view.number),
            promised: self.durable.promised,
            echoes: self.peers.heartbeat_echoes(self.now),
            position: self.durable.position,
            caught_up: self.is_caught_up(),
            committed: self.committed,
            holds_lease: self.holds_lease(self.now),
            details: None,
        };
        for to in self.peers.addresses() {
            let peer_view = self.peers.heartbeat(self.now, to).and_then(|h| h.view);
            let newer =
                self.known_view.as_ref().filter(|view| peer_view.is_none_or(|number| number < view.number));
            let heartbeat = Heartbeat { details: newer.cloned(), ..heartbeat.clone() };
            self.send(to, Message::Heartbeat(heartbeat));
        }
    }
}
