//! The chain between its sockets and its disk. Everything that happens is told to the [`Node`]; what it wants done is
//! carried out together once all that has come is told.

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

use crate::disk::{DiskEvent, Order};
use crate::followers::Followers;
use crate::links::Links;
use crate::metrics;
use crate::tables::{Change, ChangeResult, State};

/// How often the time is told.
const TICK: Duration = Duration::from_millis(50);
/// A write that takes so long shows a disk that hangs.
const HANGS: Duration = Duration::from_millis(1000);
/// The chain's timing, in milliseconds.
const HEARTBEAT: u64 = 100;
const SILENCE: u64 = 700;
const RETRY: u64 = 200;

/// The chain's settings on a machine: its address, where others may be, and how many machines may be lost at once.
pub fn chain_settings(me: SocketAddr, seeds: Vec<SocketAddr>, machine_loss: usize) -> Settings {
    let (copies, target_voters) = (machine_loss + 1, 2 * machine_loss + 1);
    Settings {
        me,
        seeds,
        min_copies: copies,
        target_voters,
        heartbeat_interval_ms: HEARTBEAT,
        silence_timeout_ms: SILENCE,
        retry_interval_ms: RETRY,
    }
}

/// How a core machine stands, as it was logged last.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Standing {
    round: u64,
    voters: u64,
    active: bool,
    in_contact: bool,
}

/// A core machine at work.
pub struct Core {
    /// The balancers that pull here, for the status.
    pub followers: Followers,
    node: RefCell<Node<State>>,
    settings: RefCell<Settings>,
    key_window: u64,
    disk: Sender<Order>,
    links: Links,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Bytes>>>,
    request: Cell<u64>,
    kick: Notify,
    /// How often the store was opened anew.
    opened: Cell<u64>,
    /// It takes no writes.
    failed: Cell<bool>,
    /// This machine is about to end.
    leaving: Cell<bool>,
    start: Instant,
    /// Writes that are not synced: since when the oldest waits.
    unsynced: RefCell<VecDeque<(u64, Instant)>>,
    exchange: Rc<Exchange>,
    /// The version of a configuration that is not kept by all yet, and its place.
    coming: Cell<Option<(u32, u64)>>,
    logged: Cell<Option<Standing>>,
    /// Whether a majority has been heard lately.
    contact: watch::Sender<bool>,
}

impl Core {
    /// A machine with what its disk holds.
    pub fn new(
        settings: Settings,
        durable: DurableState,
        rows: Rows,
        key_window: u64,
        disk: Sender<Order>,
        exchange: Rc<Exchange>,
    ) -> Rc<Core> {
        let mut drawn = [0; 8];
        let _ = getrandom::fill(&mut drawn);
        // Numbers of an earlier life must not be taken for this one's.
        let request = u64::from_le_bytes(drawn) >> 1;
        let node = Node::new(settings.clone(), durable, rows, State::new(key_window), 0);
        Rc::new(Core {
            followers: Followers::default(),
            node: RefCell::new(node),
            links: Links::new(settings.me),
            settings: RefCell::new(settings),
            key_window,
            disk,
            waiting: RefCell::default(),
            request: Cell::new(request),
            kick: Notify::new(),
            opened: Cell::new(0),
            failed: Cell::new(false),
            leaving: Cell::new(false),
            start: Instant::now(),
            unsynced: RefCell::default(),
            exchange,
            coming: Cell::new(None),
            logged: Cell::new(None),
            contact: watch::Sender::new(false),
        })
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn with<T>(&self, step: impl FnOnce(&mut Node<State>, u64) -> T) -> T {
        let done = step(&mut self.node.borrow_mut(), self.now());
        self.kick.notify_one();
        done
    }

    /// Looks at the machine, with the time by its clock.
    pub fn look<T>(&self, look: impl FnOnce(&Node<State>, u64) -> T) -> T {
        look(&self.node.borrow(), self.now())
    }

    /// Whether this machine has heard a majority lately, as of this moment.
    pub fn in_contact(&self) -> bool {
        self.look(|node, now| node.holds_lease(now))
    }

    /// Waits until this machine is out of contact with a majority.
    pub async fn contact_lost(&self) {
        let mut contact = self.contact.subscribe();
        while *contact.borrow_and_update() {
            if contact.changed().await.is_err() {
                return;
            }
        }
    }

    /// Waits a moment for contact with a majority; tells whether it is there.
    pub async fn wait_for_contact(&self, within: Duration) -> bool {
        if self.in_contact() {
            return true;
        }
        let mut contact = self.contact.subscribe();
        let _ = timeout(within, contact.wait_for(|in_contact| *in_contact)).await;
        self.in_contact()
    }

    /// Changes that were submitted here and have no result yet.
    pub fn open_changes(&self) -> usize {
        self.waiting.borrow().len()
    }

    /// Another core machine that is in contact, where one is heard.
    pub fn peer_in_contact(&self) -> Option<SocketAddr> {
        self.look(|node, now| node.peer_with_lease(now))
    }

    /// The settings name other core machines.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.settings.borrow_mut().seeds = seeds.clone();
        self.with(|node, _| node.set_seeds(&seeds));
    }

    /// This machine is about to end: it serves no longer, and the others go on without it. Waits until they do, or until
    /// `within` is over.
    pub async fn leave(&self, within: Duration) {
        self.leaving.set(true);
        self.with(|node, now| node.set_leaving(now));
        let until = Instant::now() + within;
        while self.is_needed() && Instant::now() < until {
            tokio::time::sleep(TICK).await;
        }
    }

    /// The chain counts on this machine, and others may take its place.
    fn is_needed(&self) -> bool {
        self.look(|node, _| {
            let alone = node.known_view().is_none_or(|view| view.voters.replicas.len() < 2);
            !alone && node.is_in_newest_chain()
        })
    }

    /// A message of another core machine.
    pub fn receive(&self, from: SocketAddr, message: Message) {
        metrics::CHAIN_MESSAGES.increment();
        self.links.heard(from);
        self.with(|node, now| node.receive(now, from, message));
    }

    /// Has a change made, kept by all of the chain, and tells what came of it within `within`. With an error it may have been
    /// made. A change of view on the way does not end it: contact comes and goes with each.
    pub async fn change(&self, change: &Change, within: Duration) -> Result<ChangeResult> {
        metrics::CHANGES.increment();
        let _open = metrics::CHANGES_OPEN.count_while_held();
        let request = self.request.get() + 1;
        self.request.set(request);
        let (sender, result) = oneshot::channel();
        self.waiting.borrow_mut().insert(request, sender);
        let update = change.encoded();
        self.with(|node, now| node.submit(now, request, update));
        let result = timeout(within, result).await;
        self.waiting.borrow_mut().remove(&request);
        self.node.borrow_mut().stop_retrying(request);
        let result = result.map_err(|_| anyhow!("chain: no result within {} ms", within.as_millis()))?;
        let result = result.context("chain: the result was dropped")?;
        rmp_serde::from_slice(&result).context("chain: read the result")
    }

    /// Drives the machine for good.
    pub async fn run(self: Rc<Self>, mut events: UnboundedReceiver<DiskEvent>) -> Result<()> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                event = events.recv() => self.disk_event(event.context("disk: its thread is gone")?),
                _ = ticks.tick() => self.tick(),
                () = self.kick.notified() => self.carry_out(),
            }
        }
    }

    fn tick(&self) {
        self.watch_disk();
        self.with(|node, now| node.tick(now));
        let known = self.look(|node, _| node.known_peers());
        self.links.tend(&known);
        let in_contact = self.in_contact();
        metrics::IN_CONTACT.set(in_contact.into());
        self.look(|node, _| {
            metrics::VIEW_ROUND.set(node.view().map_or(0, |view| view.number.round));
            metrics::POSITION.set(node.position().sequence);
            metrics::COMMITTED.set(node.committed());
        });
        self.contact.send_if_modified(|before| std::mem::replace(before, in_contact) != in_contact);
    }

    fn disk_event(&self, event: DiskEvent) {
        match event {
            DiskEvent::Written(token) => {
                self.unsynced.borrow_mut().retain(|(unsynced, _)| *unsynced > token);
                self.with(|node, now| node.write_synced(now, token));
            }
            DiskEvent::Failed(why) => {
                warn!(target: "disk", "Takes no writes: {why}.");
                self.failed.set(true);
                self.unsynced.borrow_mut().clear();
                self.with(|node, _| node.set_healthy(false));
            }
            DiskEvent::Reopened(durable, rows) => self.reopened(*durable, rows),
        }
    }

    fn reopened(&self, durable: DurableState, rows: Rows) {
        info!(target: "disk", "Takes writes again.");
        self.failed.set(false);
        self.unsynced.borrow_mut().clear();
        let settings = self.settings.borrow().clone();
        *self.node.borrow_mut() = Node::new(settings, durable, rows, State::new(self.key_window), self.now());
        if self.leaving.get() {
            self.with(|node, now| node.set_leaving(now));
        }
        self.coming.set(None);
        self.opened.set(self.opened.get() + 1);
        // What was asked of the machine before is asked again by whoever waits for it.
        self.waiting.borrow_mut().clear();
        self.kick.notify_one();
    }

    /// Guards the chain against a disk that hangs: the others go on without it.
    fn watch_disk(&self) {
        let oldest = self.unsynced.borrow().front().map(|(_, at)| at.elapsed());
        let hangs = oldest.is_some_and(|age| age > HANGS);
        let healthy = !hangs && !self.failed.get();
        self.with(|node, _| node.set_healthy(healthy));
    }

    fn carry_out(&self) {
        let outputs = self.node.borrow_mut().take_outputs();
        for output in outputs {
            match output {
                Output::Send { to, message } => self.links.send(to, message),
                Output::Write(write) => {
                    self.unsynced.borrow_mut().push_back((write.token, Instant::now()));
                    let _ = self.disk.send(Order { opened: self.opened.get(), write });
                }
                Output::Result { request, result } => {
                    if let Some(waits) = self.waiting.borrow_mut().remove(&request) {
                        let _ = waits.send(result);
                    }
                }
            }
        }
        self.log_standing();
        self.show_core();
        self.show_config();
    }

    fn log_standing(&self) {
        let standing = self.look(|node, now| Standing {
            round: node.view().map_or(0, |view| view.number.round),
            voters: node.view().map_or(0, |view| view.voters.number),
            active: node.active(),
            in_contact: node.holds_lease(now),
        });
        if self.logged.replace(Some(standing)) != Some(standing) {
            let Standing { round, voters, active, in_contact } = standing;
            let work = if active { "at work" } else { "not at work" };
            let contact = if in_contact { "in contact with a majority" } else { "out of contact" };
            info!(target: "chain", "View {round} of voter set {voters}: {work}, {contact}.");
        }
    }

    /// Balancers hear who serves.
    fn show_core(&self) {
        let shown = self.exchange.view().core_list().map(|core| core.round);
        let list = self.look(|node, _| {
            let view = node.view().filter(|_| node.active() && node.established())?;
            let newer = shown.is_none_or(|shown| shown < view.number.round);
            let machines = || view.chain.iter().map(|replica| replica.peer).collect();
            newer.then(|| CoreList { round: view.number.round, machines: machines() })
        });
        if let Some(list) = list {
            self.exchange.apply_core_list(list);
        }
    }

    /// Balancers hear of a configuration once it is kept by all: what was never acknowledged by the chain may go.
    fn show_config(&self) {
        let shown = self.exchange.view().config().map(|config| config.edition);
        let (config, position, committed, active) = self.look(|node, _| {
            let config = node.state_machine().config().map(|config| config.edition);
            (config, node.position().sequence, node.committed(), node.active())
        });
        if config <= shown {
            return;
        }
        match self.coming.get() {
            Some((edition, place)) if Some(edition) == config => {
                if active && committed >= place {
                    self.coming.set(None);
                    self.show();
                }
            }
            _ => {
                self.coming.set(config.map(|edition| (edition, position)));
                self.kick.notify_one();
            }
        }
    }

    fn show(&self) {
        let config: Option<Config> = self.node.borrow().state_machine().config().cloned();
        if let Some(config) = config {
            info!(target: "chain", "Configuration {:08x} is in force.", config.edition);
            self.exchange.apply_config(config);
        }
    }
}
