//! Runs the chain protocol of a core machine. Messages, disk events and time are passed to the [`Node`], which does no I/O;
//! its outputs are executed in one batch after all pending events have been passed.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use log::{info, warn};
use sloeline_chain_replication::{DurableState, Message, Node, Output, Rows, Settings};
use sloeline_discovery::{Config, CoreList};
use sloeline_rpc::exchange::Exchange;
use tokio::sync::{Notify, mpsc::UnboundedReceiver, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::disk::{DiskEvent, DiskWrite};
use crate::followers::Followers;
use crate::links::Links;
use crate::metrics;
use crate::tables::{Change, ChangeResult, State};

/// Interval at which the current time is passed to the node.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The disk counts as hanging when a write takes longer than this.
const DISK_HANG_TIME: Duration = Duration::from_millis(1000);
/// Interval between the heartbeats of a core machine.
const HEARTBEAT_INTERVAL_MS: u64 = 100;
/// A core machine counts as failed after this time without a heartbeat.
const SILENCE_TIMEOUT_MS: u64 = 700;
/// Interval at which unanswered messages of the chain protocol are repeated.
const RETRY_INTERVAL_MS: u64 = 200;

/// Returns the chain settings of the machine at address `me`. `seeds` are possible addresses of core machines, and
/// `machine_loss` is the number of machines that may fail at the same time.
pub fn chain_settings(me: SocketAddr, seeds: Vec<SocketAddr>, machine_loss: usize) -> Settings {
    let (min_copies, target_voters) = (machine_loss + 1, 2 * machine_loss + 1);
    Settings {
        me,
        seeds,
        min_copies,
        target_voters,
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        silence_timeout_ms: SILENCE_TIMEOUT_MS,
        retry_interval_ms: RETRY_INTERVAL_MS,
    }
}

/// The part of the chain state that is logged when it changes.
#[derive(Clone, Copy, PartialEq, Eq)]
struct LoggedState {
    /// Round number of the view.
    round: u64,
    /// Number of the voter set.
    voters: u64,
    /// Whether this machine is active in the chain.
    active: bool,
    /// Whether this machine is in contact with a majority.
    in_contact: bool,
}

/// A running core machine: the chain node with its disk, its connections and the changes submitted to it.
pub struct Core {
    /// The balancers that pull from this machine, shown in the status.
    pub followers: Followers,
    /// The chain protocol with the replicated state, without I/O.
    node: RefCell<Node<State>>,
    /// Settings of the chain; the seeds change with the settings file.
    settings: RefCell<Settings>,
    /// How long keys of operations are remembered, in milliseconds.
    key_window_ms: u64,
    /// Sends writes to the disk thread.
    disk: Sender<DiskWrite>,
    /// Connections to the other core machines.
    links: Links,
    /// The submitted changes without a result yet, by request number.
    pending_changes: RefCell<HashMap<u64, oneshot::Sender<Bytes>>>,
    /// Number of the last submitted change.
    last_request: Cell<u64>,
    /// Notified when the node may have outputs to execute.
    outputs_pending: Notify,
    /// How often the store was reopened; see [`DiskWrite::generation`].
    disk_generation: Cell<u64>,
    /// Whether writes to the disk fail.
    disk_failed: Cell<bool>,
    /// Whether this machine is shutting down.
    leaving: Cell<bool>,
    /// When this process started; the node's clock counts from here.
    start: Instant,
    /// The writes that are not synced yet, oldest first: token and time of submission.
    unsynced: RefCell<VecDeque<(u64, Instant)>>,
    /// Publishes configurations and the core list to the balancers.
    exchange: Rc<Exchange>,
    /// Version of the newest configuration while it is not committed, and the sequence number at which it will be.
    uncommitted_config: Cell<Option<(u32, u64)>>,
    /// The state that was logged last.
    last_logged: Cell<Option<LoggedState>>,
    /// Whether this machine was in contact with a majority at the last tick.
    contact: watch::Sender<bool>,
}

impl Core {
    /// Creates a core machine from the state that was read from its disk.
    pub fn new(
        settings: Settings,
        durable: DurableState,
        rows: Rows,
        key_window_ms: u64,
        disk: Sender<DiskWrite>,
        exchange: Rc<Exchange>,
    ) -> Rc<Core> {
        let mut random = [0; 8];
        let _ = getrandom::fill(&mut random);
        // Request numbers start at a random value, so that the results of requests from before a restart are not mistaken for
        // results of this run.
        let last_request = u64::from_le_bytes(random) >> 1;
        let node = Node::new(settings.clone(), durable, rows, State::new(key_window_ms), 0);
        Rc::new(Core {
            followers: Followers::default(),
            node: RefCell::new(node),
            links: Links::new(settings.me),
            settings: RefCell::new(settings),
            key_window_ms,
            disk,
            pending_changes: RefCell::default(),
            last_request: Cell::new(last_request),
            outputs_pending: Notify::new(),
            disk_generation: Cell::new(0),
            disk_failed: Cell::new(false),
            leaving: Cell::new(false),
            start: Instant::now(),
            unsynced: RefCell::default(),
            exchange,
            uncommitted_config: Cell::new(None),
            last_logged: Cell::new(None),
            contact: watch::Sender::new(false),
        })
    }

    /// Current time of the node's clock in milliseconds.
    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Runs a step of the node and schedules the execution of its outputs.
    fn step<T>(&self, step: impl FnOnce(&mut Node<State>, u64) -> T) -> T {
        let result = step(&mut self.node.borrow_mut(), self.now());
        self.outputs_pending.notify_one();
        result
    }

    /// Reads the state of the node. The second argument of `read` is the time of the node's clock.
    pub fn inspect<T>(&self, read: impl FnOnce(&Node<State>, u64) -> T) -> T {
        read(&self.node.borrow(), self.now())
    }

    /// Whether this machine is in contact with a majority now: it holds a lease.
    pub fn in_contact(&self) -> bool {
        self.inspect(|node, now| node.holds_lease(now))
    }

    /// Waits until this machine has lost contact with a majority.
    pub async fn contact_lost(&self) {
        let mut contact = self.contact.subscribe();
        while *contact.borrow_and_update() {
            if contact.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits up to `within` for contact with a majority, and returns whether there is contact.
    pub async fn wait_for_contact(&self, within: Duration) -> bool {
        if self.in_contact() {
            return true;
        }
        let mut contact = self.contact.subscribe();
        let _ = timeout(within, contact.wait_for(|in_contact| *in_contact)).await;
        self.in_contact()
    }

    /// Returns the number of changes submitted on this machine that have no result yet.
    pub fn pending_change_count(&self) -> usize {
        self.pending_changes.borrow().len()
    }

    /// Returns the address of another core machine that is in contact with a majority, if one is known.
    pub fn peer_in_contact(&self) -> Option<SocketAddr> {
        self.inspect(|node, now| node.peer_with_lease(now))
    }

    /// Sets the possible addresses of core machines, after a change of the settings.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.settings.borrow_mut().seeds = seeds.clone();
        self.step(|node, _| node.set_seeds(&seeds));
    }

    /// Leaves the chain before a shutdown: this machine stops serving, and the others form a chain without it. Waits up to
    /// `within` until they have done so.
    pub async fn leave(&self, within: Duration) {
        self.leaving.set(true);
        self.step(|node, now| node.set_leaving(now));
        let deadline = Instant::now() + within;
        while self.is_needed() && Instant::now() < deadline {
            tokio::time::sleep(TICK_INTERVAL).await;
        }
    }

    /// Whether this machine is in the newest chain and other voters could replace it.
    fn is_needed(&self) -> bool {
        self.inspect(|node, _| {
            let alone = node.known_view().is_none_or(|view| view.voters.replicas.len() < 2);
            !alone && node.is_in_newest_chain()
        })
    }

    /// Handles a chain message of another core machine.
    pub fn receive(&self, from: SocketAddr, message: Message) {
        metrics::CHAIN_MESSAGES.increment();
        self.links.record_heard(from);
        self.step(|node, now| node.receive(now, from, message));
    }

    /// Submits a change to the chain and returns its result once all members of the chain have stored it. After an error the
    /// change may or may not have been made. Loss of contact does not abort the wait, because contact is lost for a moment with
    /// each change of view.
    pub async fn change(&self, change: &Change, within: Duration) -> Result<ChangeResult> {
        metrics::CHANGES.increment();
        let _open = metrics::CHANGES_OPEN.count_while_held();
        let request = self.last_request.get() + 1;
        self.last_request.set(request);
        let (sender, result) = oneshot::channel();
        self.pending_changes.borrow_mut().insert(request, sender);
        let update = change.encoded();
        self.step(|node, now| node.submit(now, request, update));
        let result = timeout(within, result).await;
        self.pending_changes.borrow_mut().remove(&request);
        self.node.borrow_mut().stop_retrying(request);
        let result = result.map_err(|_| anyhow!("chain: no result within {} ms", within.as_millis()))?;
        let result = result.context("chain: the result was dropped")?;
        rmp_serde::from_slice(&result).context("chain: read the result")
    }

    /// Runs the machine. Returns only if the disk thread has ended.
    pub async fn run(self: Rc<Self>, mut events: UnboundedReceiver<DiskEvent>) -> Result<()> {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                event = events.recv() => self.handle_disk_event(event.context("disk: its thread is gone")?),
                _ = ticks.tick() => self.tick(),
                () = self.outputs_pending.notified() => self.execute_outputs(),
            }
        }
    }

    /// Passes the time to the node, maintains the connections and updates metrics.
    fn tick(&self) {
        self.check_disk();
        self.step(|node, now| node.tick(now));
        let known = self.inspect(|node, _| node.known_peers());
        self.links.maintain(&known);
        let in_contact = self.in_contact();
        metrics::IN_CONTACT.set(in_contact.into());
        self.inspect(|node, _| {
            metrics::VIEW_ROUND.set(node.view().map_or(0, |view| view.number.round));
            metrics::POSITION.set(node.position().sequence);
            metrics::COMMITTED.set(node.committed());
        });
        self.contact.send_if_modified(|before| std::mem::replace(before, in_contact) != in_contact);
    }

    /// Handles an event of the disk thread.
    fn handle_disk_event(&self, event: DiskEvent) {
        match event {
            DiskEvent::Synced(token) => {
                self.unsynced.borrow_mut().retain(|(unsynced, _)| *unsynced > token);
                self.step(|node, now| node.write_synced(now, token));
            }
            DiskEvent::Failed(reason) => {
                warn!(target: "disk", "The disk accepts no writes: {reason}.");
                self.disk_failed.set(true);
                self.unsynced.borrow_mut().clear();
                self.step(|node, _| node.set_healthy(false));
            }
            DiskEvent::Reopened(durable, rows) => self.handle_reopened(*durable, rows),
        }
    }

    /// Replaces the node with a new one that starts from the state read from the reopened disk.
    fn handle_reopened(&self, durable: DurableState, rows: Rows) {
        info!(target: "disk", "The disk accepts writes again.");
        self.disk_failed.set(false);
        self.unsynced.borrow_mut().clear();
        let settings = self.settings.borrow().clone();
        *self.node.borrow_mut() =
            Node::new(settings, durable, rows, State::new(self.key_window_ms), self.now());
        if self.leaving.get() {
            self.step(|node, now| node.set_leaving(now));
        }
        self.uncommitted_config.set(None);
        self.disk_generation.set(self.disk_generation.get() + 1);
        // All pending changes fail; their callers submit them again.
        self.pending_changes.borrow_mut().clear();
        self.outputs_pending.notify_one();
    }

    /// Marks this machine as unhealthy while its disk hangs or fails, so that the others form a chain without it.
    fn check_disk(&self) {
        let oldest = self.unsynced.borrow().front().map(|(_, at)| at.elapsed());
        let is_hanging = oldest.is_some_and(|age| age > DISK_HANG_TIME);
        let healthy = !is_hanging && !self.disk_failed.get();
        self.step(|node, _| node.set_healthy(healthy));
    }

    /// Executes the outputs of the node, and logs and publishes changes of its state.
    fn execute_outputs(&self) {
        let outputs = self.node.borrow_mut().take_outputs();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.links.send(to, message),
                Output::Write(write) => {
                    self.unsynced.borrow_mut().push_back((write.token, Instant::now()));
                    let _ = self.disk.send(DiskWrite { generation: self.disk_generation.get(), write });
                }
                Output::Result { request, result } => {
                    if let Some(caller) = self.pending_changes.borrow_mut().remove(&request) {
                        let _ = caller.send(result);
                    }
                }
            }
        }
        self.log_state_change();
        self.publish_core_list();
        self.publish_committed_config();
    }

    /// Logs the state of the chain if it has changed since the last call.
    fn log_state_change(&self) {
        let state = self.inspect(|node, now| LoggedState {
            round: node.view().map_or(0, |view| view.number.round),
            voters: node.view().map_or(0, |view| view.voters.number),
            active: node.active(),
            in_contact: node.holds_lease(now),
        });
        if self.last_logged.replace(Some(state)) != Some(state) {
            let LoggedState { round, voters, active, in_contact } = state;
            let activity = if active { "active" } else { "not active" };
            let contact = if in_contact { "in contact with a majority" } else { "out of contact" };
            info!(target: "chain", "View {round} of voter set {voters}: {activity}, {contact}.");
        }
    }

    /// Publishes the list of active core machines to the balancers after a change of view.
    fn publish_core_list(&self) {
        let published = self.exchange.view().core_list().map(|core| core.round);
        let list = self.inspect(|node, _| {
            let view = node.view().filter(|_| node.active() && node.established())?;
            let newer = published.is_none_or(|published| published < view.number.round);
            let machines = || view.chain.iter().map(|replica| replica.peer).collect();
            newer.then(|| CoreList { round: view.number.round, machines: machines() })
        });
        if let Some(list) = list {
            self.exchange.apply_core_list(list);
        }
    }

    /// Publishes the newest configuration to the balancers once it is committed. A configuration that is not committed may
    /// still be lost.
    fn publish_committed_config(&self) {
        let published = self.exchange.view().config().map(|config| config.edition);
        let (config, position, committed, active) = self.inspect(|node, _| {
            let config = node.state_machine().config().map(|config| config.edition);
            (config, node.position().sequence, node.committed(), node.active())
        });
        if config <= published {
            return;
        }
        match self.uncommitted_config.get() {
            Some((edition, sequence)) if Some(edition) == config => {
                if active && committed >= sequence {
                    self.uncommitted_config.set(None);
                    self.publish_config();
                }
            }
            _ => {
                self.uncommitted_config.set(config.map(|edition| (edition, position)));
                self.outputs_pending.notify_one();
            }
        }
    }

    /// Publishes the newest configuration to the balancers.
    fn publish_config(&self) {
        let config: Option<Config> = self.node.borrow().state_machine().config().cloned();
        if let Some(config) = config {
            info!(target: "chain", "Configuration {:08x} is in force.", config.edition);
            self.exchange.apply_config(config);
        }
    }
}
