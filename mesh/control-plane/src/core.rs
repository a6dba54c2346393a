//! The chain between its sockets and its disk. Everything that happens is told to the [`Node`]; what it wants done is
//! carried out together once all that has come is told.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use log::{info, warn};
use sloeline_chain_replication::{Kept, Message, Node, Output, Settings, Tables};
use sloeline_discovery::Config;
use sloeline_rpc::Ask;
use sloeline_rpc::exchange::Exchange;
use sloeline_rpc::link::Link;
use tokio::sync::{Notify, mpsc::UnboundedReceiver, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use crate::disk::{Order, Told};
use crate::tables::{Came, Change, State};

/// How often the time is told.
const TICK: Duration = Duration::from_millis(50);
/// A write that takes so long shows a disk that hangs.
const HANGS: Duration = Duration::from_millis(1000);
/// A machine of the chain that has not been heard for so long gets a new connection.
const RECONNECT: u64 = 1000;

/// The chain's timing, in milliseconds.
pub fn settings(me: SocketAddr, founders: Vec<SocketAddr>) -> Settings {
    Settings { me, founders, beat: 100, silence: 700, again: 200 }
}

/// A core machine at work.
pub struct Core {
    node: RefCell<Node<State>>,
    key_window: u64,
    disk: Sender<Order>,
    links: HashMap<SocketAddr, Rc<Link>>,
    heard: RefCell<HashMap<SocketAddr, Instant>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Bytes>>>,
    number: Cell<u64>,
    kick: Notify,
    /// How often the store was opened anew.
    opened: Cell<u64>,
    /// It takes no writes.
    failed: Cell<bool>,
    start: Instant,
    /// Writes that are not synced: since when the oldest waits.
    unsynced: RefCell<std::collections::VecDeque<(u64, Instant)>>,
    exchange: Rc<Exchange>,
    /// The version of a configuration that is not kept by all yet, and its place.
    coming: Cell<Option<(u32, u64)>>,
    view: Cell<(u64, bool)>,
}

impl Core {
    /// A machine with what its disk holds.
    pub fn new(
        me: SocketAddr,
        kept: Kept,
        rows: sloeline_storage::Rows,
        key_window: u64,
        disk: Sender<Order>,
        exchange: Rc<Exchange>,
    ) -> Rc<Core> {
        let founders = kept.founders.clone();
        let links = founders.iter().filter(|p| **p != me).map(|p| (*p, Link::new(*p))).collect();
        let mut state = State::new(key_window);
        state.load(rows);
        let mut drawn = [0; 8];
        let _ = getrandom::fill(&mut drawn);
        // Numbers of an earlier life must not be taken for this one's.
        let number = u64::from_le_bytes(drawn) >> 1;
        let node = Node::new(settings(me, founders), kept, state, 0);
        Rc::new(Core {
            node: RefCell::new(node),
            key_window,
            disk,
            links,
            heard: RefCell::default(),
            waiting: RefCell::default(),
            number: Cell::new(number),
            kick: Notify::new(),
            opened: Cell::new(0),
            failed: Cell::new(false),
            start: Instant::now(),
            unsynced: RefCell::default(),
            exchange,
            coming: Cell::new(None),
            view: Cell::new((0, false)),
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

    /// Looks at the machine.
    pub fn look<T>(&self, look: impl FnOnce(&Node<State>) -> T) -> T {
        look(&self.node.borrow())
    }

    /// A message of another core machine.
    pub fn receive(&self, from: SocketAddr, message: Message) {
        if self.links.contains_key(&from) {
            self.heard.borrow_mut().insert(from, Instant::now());
            self.with(|node, now| node.receive(now, from, message));
        }
    }

    /// Has a change made, kept by all, and tells what came of it. With an error it may have been made.
    pub async fn change(&self, change: &Change, within: Duration) -> Result<Came> {
        let number = self.number.get() + 1;
        self.number.set(number);
        let (sender, result) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let update = change.encoded();
        self.with(|node, now| node.submit(now, number, update));
        let result = timeout(within, result).await;
        self.waiting.borrow_mut().remove(&number);
        self.node.borrow_mut().forget(number);
        let result = result.map_err(|_| anyhow!("chain: no result within {} ms", within.as_millis()))?;
        let result = result.context("chain: the result was dropped")?;
        rmp_serde::from_slice(&result).context("chain: read the result")
    }

    /// Drives the machine for good.
    pub async fn run(self: Rc<Self>, mut told: UnboundedReceiver<Told>) -> Result<()> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                told = told.recv() => self.disk_told(told.context("disk: its thread is gone")?),
                _ = ticks.tick() => {
                    self.watch_disk();
                    self.reconnect();
                    self.with(|node, now| node.tick(now));
                }
                () = self.kick.notified() => self.carry_out(),
            }
        }
    }

    fn disk_told(&self, told: Told) {
        match told {
            Told::Written(token) => {
                self.unsynced.borrow_mut().retain(|(t, _)| *t > token);
                self.with(|node, now| node.written(now, token));
            }
            Told::Failed(why) => {
                warn!(target: "disk", "Takes no writes: {why}.");
                self.failed.set(true);
                self.unsynced.borrow_mut().clear();
                self.with(|node, _| node.set_healthy(false));
            }
            Told::Reopened(kept, rows) => {
                info!(target: "disk", "Takes writes again.");
                self.failed.set(false);
                self.unsynced.borrow_mut().clear();
                let mut state = State::new(self.key_window);
                state.load(rows);
                let me = settings(self.exchange.own().mesh, kept.founders.clone());
                *self.node.borrow_mut() = Node::new(me, *kept, state, self.now());
                self.coming.set(None);
                self.opened.set(self.opened.get() + 1);
                // What was asked of the machine before is asked again by whoever waits for it.
                self.waiting.borrow_mut().clear();
                self.kick.notify_one();
            }
        }
    }

    /// Guards the chain against a disk that hangs: the others go on without it.
    fn watch_disk(&self) {
        let oldest = self.unsynced.borrow().front().map(|(_, at)| at.elapsed());
        let hangs = oldest.is_some_and(|age| age > HANGS);
        let healthy = !hangs && !self.failed.get();
        self.with(|node, _| node.set_healthy(healthy));
    }

    /// Guards against connections that wait for what a cut has swallowed.
    fn reconnect(&self) {
        let mut heard = self.heard.borrow_mut();
        for (peer, link) in &self.links {
            let last = heard.entry(*peer).or_insert(self.start);
            if last.elapsed() > Duration::from_millis(RECONNECT)
                && link.up().is_some_and(|up| up.elapsed() > Duration::from_millis(RECONNECT))
            {
                link.reset();
            }
        }
    }

    fn carry_out(&self) {
        let (outputs, held, committed, config, view, active) = {
            let mut node = self.node.borrow_mut();
            let outputs = node.outputs();
            let config = node.tables().config().map(|c| c.edition);
            let view = node.view().map_or(0, |v| v.ballot.number);
            (outputs, node.held().sequence, node.committed(), config, view, node.active())
        };
        let me = self.exchange.own().mesh;
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    if let Some(link) = self.links.get(&to) {
                        link.tell(&Ask::Chain { from: me, message });
                    }
                }
                Output::Write(write) => {
                    self.unsynced.borrow_mut().push_back((write.token, Instant::now()));
                    let _ = self.disk.send(Order { opened: self.opened.get(), write });
                }
                Output::Result { number, result } => {
                    if let Some(waits) = self.waiting.borrow_mut().remove(&number) {
                        let _ = waits.send(result);
                    }
                }
            }
        }
        if self.view.replace((view, active)) != (view, active) {
            info!(target: "chain", "View {view}, {}.", if active { "at work" } else { "not at work" });
        }
        // Balancers hear of a configuration once it is kept by all: what was never acknowledged by the chain may go.
        let shown = self.exchange.board().config().map(|c| c.edition);
        if config > shown {
            match self.coming.get() {
                Some((edition, place)) if Some(edition) == config => {
                    if active && committed >= place {
                        self.coming.set(None);
                        self.show();
                    }
                }
                _ => {
                    self.coming.set(config.map(|c| (c, held)));
                    self.kick.notify_one();
                }
            }
        }
    }

    fn show(&self) {
        let config: Option<Config> = self.node.borrow().tables().config().cloned();
        if let Some(config) = config {
            info!(target: "chain", "Configuration {:08x} is in force.", config.edition);
            self.exchange.take_config(config);
        }
    }
}
