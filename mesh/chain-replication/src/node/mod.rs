//! One core machine: its place in the chain, its promises, and what it owes to others.

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
use view_change::Entering;

/// A machine that nothing names is forgotten after so many milliseconds of silence.
const FORGET_STRANGERS: u64 = 30_000;

/// How far numbers go up when a core is restored from one disk: above all that the lost ones may have known.
const RESTORE_STEP: u64 = 1 << 32;

/// What a machine is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This machine.
    pub me: Peer,
    /// Machines that may be of the core; the first to be asked.
    pub seeds: Vec<Peer>,
    /// Least number of copies of what was acknowledged, where there are as many voters.
    pub min_copies: usize,
    /// Up to how many voters the set grows.
    pub target_voters: usize,
    /// Milliseconds between two heartbeats.
    pub heartbeat_interval_ms: u64,
    /// Milliseconds without a word after which a machine counts as lost.
    pub silence_timeout_ms: u64,
    /// Milliseconds after which what was not answered is sent again.
    pub retry_interval_ms: u64,
}

/// What a machine must not forget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    /// This disk's number.
    pub disk: u64,
    /// The highest view number promised.
    pub promised: ViewNumber,
    /// The view accepted last; nothing on a machine that has never been of a chain.
    pub view: Option<View>,
    /// All of its chain are known to have accepted it.
    pub established: bool,
    /// How far the state goes.
    pub position: Position,
    /// The stamp of its last update.
    pub stamp: u64,
    /// The digest over its rows.
    pub digest: Digest,
}

impl DurableState {
    /// What a disk holds at the first start of the system.
    pub fn founder(voters: VoterSet) -> DurableState {
        DurableState {
            disk: crate::FOUNDER_DISK_ID,
            view: Some(View::first(voters)),
            established: true,
            ..DurableState::learner(crate::FOUNDER_DISK_ID)
        }
    }

    /// What a new disk holds in a system that is there already.
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

    /// What this disk is to hold so that its machine alone is the whole core, under a new identity: for a core of which a
    /// majority of disks is gone for good. What only those disks held is lost. Nothing of the former voters may be alive
    /// that could still acknowledge anything.
    pub fn restored(&self, peer: Peer, disk: u64) -> DurableState {
        let former = self.view.as_ref();
        let round = former.map_or(0, |view| view.number.round).max(self.promised.round) + RESTORE_STEP;
        let number = ViewNumber { round, proposer: peer };
        let replica = Replica { peer, disk };
        let voters = VoterSet {
            number: former.map_or(0, |view| view.voters.number) + RESTORE_STEP,
            replicas: vec![replica],
        };
        let view = View { number, chain: vec![replica], voters, outgoing: None };
        DurableState { disk, promised: number, view: Some(view), established: true, ..self.clone() }
    }
}

/// What is to be written, in one piece and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Told back by [`Node::write_synced`] when this and all before it is synced.
    pub token: u64,
    /// Replaces the durable state.
    pub durable: DurableState,
    /// Rows that change.
    pub rows: Vec<Row>,
    /// All other rows go.
    pub replace_all: bool,
}

/// What a machine wants done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// To whom.
        to: Peer,
        /// What.
        message: Message,
    },
    /// Write to disk.
    Write(Write),
    /// An update that was submitted here is kept by all of the chain.
    Result {
        /// How it was submitted.
        request: u64,
        /// What came of it.
        result: Bytes,
    },
}

/// What follows once something is on disk.
enum AfterSync {
    /// The state up to here is.
    Synced(u64),
    /// A promise to this proposer may be given.
    Promise(Peer, ViewNumber),
}

/// An update that is to get into the chain.
struct Submitted {
    update: Bytes,
    sent: Option<u64>,
    /// How often it was sent in this view: each time it waits for longer.
    times: u32,
}

/// A core machine.
pub struct Node<T> {
    settings: Settings,
    durable: DurableState,
    state_machine: T,
    rows: Rows,
    peers: Peers,
    leases: Leases,
    now: u64,
    /// This machine works in its view: it has held what the view began with since this start of its process.
    active: bool,
    /// When the view was accepted.
    active_since: u64,
    /// The first update that was made in the view.
    first_of_view: u64,
    healthy: bool,
    leaving: bool,
    log: RecentLog,
    /// Up to here this machine's disk holds everything.
    synced: u64,
    /// Up to here all replicas before have it on disk.
    synced_before: u64,
    /// What the replica after was told last of that.
    synced_told: u64,
    committed: u64,
    progress: u64,
    /// At the head: updates in the chain that are not known to be kept by all, by whoever asked.
    in_chain: HashSet<(Peer, u64)>,
    /// At the tail: results that wait for the commit.
    results: BTreeMap<u64, (Peer, u64, Bytes)>,
    submitted: HashMap<u64, Submitted>,
    outgoing: Vec<Entry>,
    changed_rows: Vec<Row>,
    replace_rows: bool,
    dirty: bool,
    after_sync: Vec<AfterSync>,
    unsynced: VecDeque<(u64, Vec<AfterSync>)>,
    token: u64,
    outputs: Vec<Output>,
    heartbeat_at: u64,
    proposal: Option<Proposal>,
    /// Those that were heard at work in this machine's view.
    met: Vec<Replica>,
    /// The view that this machine is to enter once it holds its beginning.
    entering: Option<Entering>,
    catch_up: CatchUp,
    snapshots: OpenSnapshots,
    /// The newest view that is known, be it this machine's or not.
    known_view: Option<View>,
    /// Since when something is wrong with the view.
    wrong_since: Option<u64>,
    /// Since when a machine could be taken in.
    joinable_since: Option<u64>,
    quiet_until: u64,
    /// The last stamp, and when it was seen.
    stamped: (u64, u64),
}

impl<T: StateMachine> Node<T> {
    /// A machine as it starts, with what its disk holds.
    pub fn new(
        settings: Settings,
        durable: DurableState,
        rows: Rows,
        mut state_machine: T,
        now: u64,
    ) -> Node<T> {
        state_machine.load(&rows);
        let mut peers = Peers::new(settings.me, settings.silence_timeout_ms);
        peers.introduce(&settings.seeds);
        let leases =
            Leases::after_start(now, durable.view.as_ref().is_some_and(|v| v.number != ViewNumber::ZERO));
        let (synced, stamped) = (durable.position.sequence, (durable.stamp, now));
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
            first_of_view: 0,
            healthy: true,
            leaving: false,
            synced,
            synced_before: 0,
            synced_told: 0,
            committed: 0,
            progress: now,
            in_chain: HashSet::new(),
            results: BTreeMap::new(),
            submitted: HashMap::new(),
            outgoing: Vec::new(),
            changed_rows: Vec::new(),
            replace_rows: false,
            dirty: true,
            after_sync: Vec::new(),
            unsynced: VecDeque::new(),
            token: 0,
            outputs: Vec::new(),
            heartbeat_at: now,
            proposal: None,
            met: Vec::new(),
            entering: None,
            catch_up: CatchUp::default(),
            snapshots: OpenSnapshots::default(),
            wrong_since: None,
            joinable_since: None,
            quiet_until: 0,
            stamped,
        }
    }

    /// The state, as far as this machine has it.
    pub fn state_machine(&self) -> &T {
        &self.state_machine
    }

    /// The rows of the state.
    pub fn rows(&self) -> &Rows {
        &self.rows
    }

    /// How far the state goes.
    pub fn position(&self) -> Position {
        self.durable.position
    }

    /// Up to here every replica of the chain has it on disk, as far as this machine knows.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// This machine works in its view.
    pub fn active(&self) -> bool {
        self.active
    }

    /// The view that was accepted last.
    pub fn view(&self) -> Option<&View> {
        self.durable.view.as_ref()
    }

    /// The newest view that this machine has heard of; it may have no place in it.
    pub fn known_view(&self) -> Option<&View> {
        self.known_view.as_ref()
    }

    /// All of the chain are known to have accepted the view.
    pub fn established(&self) -> bool {
        self.durable.established
    }

    /// What must not be forgotten.
    pub fn durable(&self) -> &DurableState {
        &self.durable
    }

    /// The other core machines that are heard, and what they say.
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        self.peers.all(self.now).cloned().collect()
    }

    /// The other core machines that are known, be they heard or not.
    pub fn known_peers(&self) -> Vec<Peer> {
        self.peers.addresses()
    }

    /// This machine has heard a quorum lately: there is no newer view without it.
    pub fn holds_lease(&self, now: u64) -> bool {
        let me = self.replica();
        let view = self.durable.view.as_ref().filter(|_| self.active && !self.leaving);
        view.is_some_and(|view| self.leases.holds(now, &me, view, self.durable.established))
    }

    /// Another machine that is in contact with a quorum, where one is heard.
    pub fn peer_with_lease(&self, now: u64) -> Option<Peer> {
        // Two heartbeats may be late, not more: a caller is sent there.
        let lately = |h: &Heartbeat| {
            self.peers.silent_for(now, h.replica.peer) <= 3 * self.settings.heartbeat_interval_ms
        };
        let good = |h: &&Heartbeat| h.holds_lease && h.healthy && !h.leaving && lately(h);
        let newest = self.peers.all(now).filter(good).max_by_key(|h| (h.view, h.replica.peer));
        newest.map(|h| h.replica.peer)
    }

    /// This machine has a place in the newest view that it knows.
    pub fn is_in_newest_chain(&self) -> bool {
        let me = self.replica();
        self.known_view.as_ref().is_some_and(|view| view.chain.contains(&me))
    }

    /// This machine: its address and its disk.
    pub fn replica(&self) -> Replica {
        Replica { peer: self.settings.me, disk: self.durable.disk }
    }

    /// Replaces the machines that may be of the core, as the settings name them.
    pub fn set_seeds(&mut self, seeds: &[Peer]) {
        self.settings.seeds = seeds.to_vec();
        self.peers.introduce(seeds);
    }

    /// This machine is about to end: it gives up its lease at once, and the others go on without it.
    pub fn set_leaving(&mut self, now: u64) {
        self.now = now;
        self.leaving = true;
        self.heartbeat_at = now;
    }

    /// The disk takes no writes, or takes them again. One that has failed starts anew from its disk.
    pub fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
        if !healthy {
            self.active = false;
        }
    }

    /// Nothing counts as synced until the state as it is now is on disk.
    fn sync_anew(&mut self) {
        let other = |step: &AfterSync| !matches!(step, AfterSync::Synced(_));
        self.after_sync.retain(other);
        self.unsynced.iter_mut().for_each(|(_, steps)| steps.retain(other));
        self.synced = 0;
        self.after_sync.push(AfterSync::Synced(self.durable.position.sequence));
        self.dirty = true;
    }

    fn view_number(&self) -> Option<ViewNumber> {
        self.durable.view.as_ref().map(|view| view.number)
    }

    fn chain(&self) -> &[Replica] {
        self.durable.view.as_ref().map(|view| view.chain.as_slice()).unwrap_or_default()
    }

    fn place(&self) -> Option<usize> {
        let me = self.replica();
        self.chain().iter().position(|replica| *replica == me).filter(|_| self.active)
    }

    fn is_head(&self) -> bool {
        self.place() == Some(0)
    }

    fn is_tail(&self) -> bool {
        self.place().is_some() && self.next().is_none()
    }

    fn next(&self) -> Option<Peer> {
        Some(self.chain().get(self.place()? + 1)?.peer)
    }

    fn previous(&self) -> Option<Peer> {
        Some(self.chain().get(self.place()?.checked_sub(1)?)?.peer)
    }

    fn send(&mut self, to: Peer, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    /// What is to be done; what was gathered since goes out together.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        if !self.outgoing.is_empty() {
            let entries = std::mem::take(&mut self.outgoing);
            self.pass_on(entries);
        }
        if self.dirty || !self.changed_rows.is_empty() || self.replace_rows {
            self.token += 1;
            self.durable.digest = self.rows.digest();
            let write = Write {
                token: self.token,
                durable: self.durable.clone(),
                rows: std::mem::take(&mut self.changed_rows),
                replace_all: std::mem::take(&mut self.replace_rows),
            };
            self.dirty = false;
            self.unsynced.push_back((self.token, std::mem::take(&mut self.after_sync)));
            self.outputs.push(Output::Write(write));
        }
        std::mem::take(&mut self.outputs)
    }

    /// Everything up to this write is on disk.
    pub fn write_synced(&mut self, now: u64, token: u64) {
        self.now = now;
        while self.unsynced.front().is_some_and(|(unsynced, _)| *unsynced <= token) {
            let Some((_, after_sync)) = self.unsynced.pop_front() else { break };
            for step in after_sync {
                match step {
                    AfterSync::Synced(sequence) => {
                        self.synced = self.synced.max(sequence);
                        self.advance();
                    }
                    AfterSync::Promise(to, number) => self.give_promise(to, number),
                }
            }
        }
    }

    /// A message came.
    pub fn receive(&mut self, now: u64, from: Peer, message: Message) {
        self.now = now;
        let heartbeat = if let Message::Heartbeat(heartbeat) = &message { Some(heartbeat) } else { None };
        self.peers.heard(now, from, heartbeat.filter(|h| h.replica.peer == from));
        match message {
            Message::Heartbeat(heartbeat) if heartbeat.replica.peer == from => self.heartbeat_came(heartbeat),
            Message::Heartbeat(_) => {}
            Message::Prepare { view, replica, voters } => self.prepare(from, view, replica, voters),
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
                    self.promise_came(view, promise);
                }
            }
            Message::Refused { .. } => self.refused(),
            Message::Install { view, base, source } => self.install(view, base, source),
            Message::Fetch { entering, through, position, cursor } => {
                self.fetch(from, entering, through, position, cursor);
            }
            Message::FetchReply { view, entering, position, payload } => {
                self.supplied(from, view, entering, position, payload)
            }
            Message::Updates { view, entries, synced } => self.updates(from, view, entries, synced),
            Message::Behind { view, sequence } => {
                if self.active && self.view_number() == Some(view) && self.next() == Some(from) {
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
                    self.enter(from, request, update);
                }
            }
            Message::Result { request, result, .. } => {
                if self.submitted.remove(&request).is_some() {
                    self.outputs.push(Output::Result { request, result });
                }
            }
        }
    }

    fn heartbeat_came(&mut self, heartbeat: Heartbeat) {
        self.leases.heard(self.now, self.settings.me, &heartbeat);
        if self.active
            && heartbeat.active
            && heartbeat.view == self.view_number()
            && !self.met.contains(&heartbeat.replica)
        {
            // The first one of it in this view: it has its lease the sooner.
            self.met.push(heartbeat.replica);
            self.send_heartbeats();
        }
        if let Some(view) = &heartbeat.details
            && self.known_view.as_ref().is_none_or(|known| known.number < view.number)
        {
            self.known_view = Some(view.clone());
            let named: Vec<Peer> = view.replicas().into_iter().map(|replica| replica.peer).collect();
            let seeds: Vec<Peer> = self.settings.seeds.iter().copied().chain(named).collect();
            self.peers.introduce(&seeds);
        }
        if heartbeat.view.is_some() && heartbeat.view == self.view_number() {
            if heartbeat.established {
                self.set_established();
            }
            // Again and again: the word of a commit may have been lost.
            if heartbeat.active && self.chain().last() == Some(&heartbeat.replica) {
                self.set_committed(heartbeat.committed);
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) {
        self.now = now;
        if now >= self.heartbeat_at {
            self.heartbeat_at = now + self.settings.heartbeat_interval_ms;
            self.send_heartbeats();
            self.peers.forget_strangers(now, self.known_view.as_ref(), FORGET_STRANGERS);
            self.leases.retain(&self.peers.addresses());
            self.snapshots.expire(now);
        }
        self.stop_if_replaced();
        self.submit_due();
        self.resend_late();
        self.tend_entering();
        self.tend_catch_up();
        self.watch();
    }

    /// Others work in a newer view without this machine: it follows from outside.
    fn stop_if_replaced(&mut self) {
        let Some(newest) = self.peers.all(self.now).filter(|h| h.active).filter_map(|h| h.view).max() else {
            return;
        };
        if self.entering.as_ref().is_some_and(|entering| entering.view.number < newest) {
            self.entering = None;
        }
        if self.active && self.view_number().is_some_and(|mine| mine < newest) {
            self.active = false;
            self.outgoing.clear();
            self.results.clear();
        }
    }

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
            heard: self.peers.heard_lately(self.now),
            position: self.durable.position,
            caught_up: self.is_caught_up(),
            committed: self.committed,
            holds_lease: self.holds_lease(self.now),
            details: None,
        };
        for to in self.peers.addresses() {
            let theirs = self.peers.heartbeat(self.now, to).and_then(|h| h.view);
            let newer =
                self.known_view.as_ref().filter(|view| theirs.is_none_or(|theirs| theirs < view.number));
            let heartbeat = Heartbeat { details: newer.cloned(), ..heartbeat.clone() };
            self.send(to, Message::Heartbeat(heartbeat));
        }
    }
}
