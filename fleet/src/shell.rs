//! A fleet on UDP: one socket, one task, one timer.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use finchshift::Micros;
use sloeline_events::emit;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until};

use crate::channel::{Channel, Heard};
use crate::grants::{self, Grants, Said};
use crate::message::{Fact, Keys, Kind, MOST_DATAGRAM, Message, Name, State};
use crate::swim::{Change, Output, Settings, Swim};

/// Whom to be, and whom to ask first.
pub struct Start {
    /// This instance's name; no other may have it.
    pub name: Name,
    /// Its zone.
    pub zone: Name,
    /// Where it listens.
    pub bind: SocketAddr,
    /// Where others reach it, if not there.
    pub announced: Option<SocketAddr>,
    /// Some that are there, if any.
    pub seeds: Vec<SocketAddr>,
    /// The keys.
    pub keys: Keys,
    /// How it is done.
    pub settings: Settings,
    /// Limits that all share, by name.
    pub budgets: BTreeMap<Name, grants::Settings>,
}

struct Inner {
    channel: Channel,
    swim: Swim,
    budgets: BTreeMap<Name, Grants>,
    /// What this instance wants of each.
    wants: BTreeMap<Name, u64>,
    /// When votes and grants are looked at next.
    next: Micros,
}

/// An instance's part in its fleet, until it leaves.
pub struct Fleet {
    inner: RefCell<Inner>,
    socket: UdpSocket,
    at: SocketAddr,
    start: Instant,
    wake: Notify,
    changed: Notify,
    /// Between two looks at votes and grants.
    pause: Micros,
    task: Cell<Option<AbortHandle>>,
    unsent: Cell<u64>,
}

/// One instance, as this one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Its name.
    pub name: Name,
    /// Where it is.
    pub address: SocketAddr,
    /// In which zone.
    pub zone: Name,
    /// How it is.
    pub state: State,
    /// Since when it is so.
    pub since: Duration,
}

impl Fleet {
    /// Joins.
    pub async fn start(start: Start) -> io::Result<Rc<Fleet>> {
        let socket = UdpSocket::bind(start.bind).await?;
        let at = socket.local_addr()?;
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|e| io::Error::other(e.to_string()))?;
        let mut channel = Channel::new(start.keys, secret);
        let who = (start.name.clone(), start.announced.unwrap_or(at), start.zone);
        // Only a guess: whoever comes back learns what its life before had come to.
        let incarnation =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let incarnation = incarnation.as_micros() as u64;
        let swim = Swim::new(0, who, incarnation, start.seeds, start.settings, channel.draw());
        let life = channel.draw();
        let pause = start.budgets.values().map(|b| b.grant / 4).min().unwrap_or(start.settings.period);
        let budgets = start.budgets.into_iter();
        let budgets = budgets.map(|(name, s)| (name, Grants::new(0, start.name.clone(), life, s))).collect();
        let inner = Inner { channel, swim, budgets, wants: BTreeMap::new(), next: 0 };
        let fleet = Rc::new(Fleet {
            inner: RefCell::new(inner),
            socket,
            at,
            start: Instant::now(),
            wake: Notify::new(),
            changed: Notify::new(),
            pause: pause.max(1_000),
            task: Cell::default(),
            unsent: Cell::default(),
        });
        let this = fleet.clone();
        let task = spawn_local(async move {
            loop {
                this.turn().await;
            }
        });
        fleet.task.set(Some(task.abort_handle()));
        Ok(fleet)
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Where it listens.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Waits until somebody has answered, for as long at the most; whether somebody has.
    pub async fn joined(&self, within: Duration) -> bool {
        let joined = async {
            while !self.inner.borrow().swim.joined() {
                self.changed().await;
            }
        };
        tokio::time::timeout(within, joined).await.is_ok()
    }

    /// Waits until who is there, or what is granted, may be different.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// All, this one first.
    pub fn rows(&self) -> Vec<Row> {
        let (inner, now) = (self.inner.borrow(), self.now());
        let me = inner.swim.me();
        let first = Row {
            name: me.name.clone(),
            address: me.address,
            zone: me.zone.clone(),
            state: me.state,
            since: self.start.elapsed(),
        };
        let others = inner.swim.members().map(|m| Row {
            name: m.update.name.clone(),
            address: m.update.address,
            zone: m.update.zone.clone(),
            state: m.update.state,
            since: Duration::from_micros(now.saturating_sub(m.since)),
        });
        std::iter::once(first).chain(others).collect()
    }

    /// How many there are, this one among them: that answer, and that may be sending to upstreams.
    pub fn count(&self) -> (usize, usize) {
        let inner = self.inner.borrow();
        (inner.swim.alive(), inner.swim.sending())
    }

    /// This one's place among those that may be sending, from 0.
    pub fn place(&self) -> usize {
        self.inner.borrow().swim.place()
    }

    /// Datagrams that were not heard, and those that were not sent: for want of bytes, or because the socket would not.
    pub fn lost(&self) -> (u64, u64) {
        let inner = self.inner.borrow();
        (inner.channel.refused, inner.swim.held_back + self.unsent.get())
    }

    /// What this instance may use of a limit that all share; none for one that is not known.
    pub fn may(&self, budget: &str) -> Option<u64> {
        self.inner.borrow().budgets.get(budget).map(|grants| grants.may(self.now()))
    }

    /// Whether this instance hands a limit out.
    pub fn keeps(&self, budget: &str) -> bool {
        self.inner.borrow().budgets.get(budget).is_some_and(|grants| grants.keeps(self.now()))
    }

    /// What it would use of it, if it might.
    pub fn wants(&self, budget: &Name, amount: u64) {
        self.inner.borrow_mut().wants.insert(budget.clone(), amount);
    }

    /// Something that this instance has seen and all should know.
    pub fn see(&self, fact: Fact) {
        let now = self.now();
        self.inner.borrow_mut().swim.see(now, fact);
        self.carry_out(now);
    }

    /// The nodes of a pool that drain by the word of others, for a source that has come to a revision.
    pub fn draining(&self, pool: &Name, revision: u64) -> Vec<Name> {
        self.inner.borrow().swim.known().draining(pool, revision)
    }

    /// Other keys from now on.
    pub fn set_keys(&self, keys: Keys) {
        self.inner.borrow_mut().channel.set_keys(keys);
    }

    /// Says that it leaves; from then on it is silent.
    pub fn leave(&self) {
        let now = self.now();
        self.inner.borrow_mut().swim.leave(now);
        self.carry_out(now);
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    async fn turn(&self) {
        let due = {
            let inner = self.inner.borrow();
            let grants = if inner.budgets.is_empty() { Micros::MAX } else { inner.next };
            inner.swim.due().min(grants)
        };
        let at = self.start + Duration::from_micros(due.min(self.now() + 3_600_000_000));
        let mut bytes = [0; MOST_DATAGRAM + 1];
        tokio::select! {
            // An error is what a peer that is not there any more sends back (ICMP); there is nothing to be done.
            received = self.socket.recv_from(&mut bytes) => if let Ok((length, from)) = received {
                self.heard(from, &bytes[..length]);
            },
            () = sleep_until(at) => {}
            () = self.wake.notified() => {}
        }
        let now = self.now();
        if self.inner.borrow().swim.due() <= now {
            self.inner.borrow_mut().swim.ring(now);
        }
        self.share(now);
        self.carry_out(now);
    }

    fn send(&self, to: SocketAddr, datagram: Option<Vec<u8>>) {
        // As with any datagram that is lost: it is said again.
        let sent = datagram.is_some_and(|bytes| self.socket.try_send_to(&bytes, to).is_ok());
        self.unsent.set(self.unsent.get() + u64::from(!sent));
    }

    fn heard(&self, from: SocketAddr, bytes: &[u8]) {
        let now = self.now();
        let heard = self.inner.borrow_mut().channel.open(now, from, bytes);
        match heard {
            Heard::Message(message) => {
                if let Kind::Grants(budget, said) = &message.kind {
                    self.grants(now, from, &message.from, budget, *said);
                }
                self.inner.borrow_mut().swim.heard(now, from, message);
            }
            Heard::Reply(bytes) => self.send(from, Some(bytes)),
            Heard::Bad(why) => {
                emit!(FLEET_DATAGRAM_REFUSED, from = %from, why = %why; "fleet: {from}: {why}");
            }
            Heard::Nothing => {}
        }
    }

    fn grants(&self, now: Micros, from: SocketAddr, by: &Name, budget: &Name, said: Said) {
        let answer = {
            let mut inner = self.inner.borrow_mut();
            inner.budgets.get_mut(budget).and_then(|grants| grants.heard(now, by, said))
        };
        if let Some(answer) = answer {
            self.say(now, from, budget, answer);
        }
        if matches!(said, Said::Grant(..)) {
            self.changed.notify_one();
        }
    }

    fn say(&self, now: Micros, to: SocketAddr, budget: &Name, said: Said) {
        let datagram = {
            let mut inner = self.inner.borrow_mut();
            let (from, kind) = (inner.swim.me().name.clone(), Kind::Grants(budget.clone(), said));
            inner.channel.seal(now, to, Message { from, kind, updates: Vec::new(), facts: Vec::new() })
        };
        self.send(to, datagram);
    }

    /// Asks for grants, and for votes where this is the first by name of those that answer.
    fn share(&self, now: Micros) {
        if now < self.inner.borrow().next || self.inner.borrow().swim.silent() {
            return;
        }
        let mut say = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            let inner = &mut *inner;
            inner.next = now + self.pause;
            let me = inner.swim.me().name.clone();
            let alive: Vec<(&Name, SocketAddr)> = inner
                .swim
                .members()
                .filter(|m| m.update.state == State::Alive)
                .map(|m| (&m.update.name, m.update.address))
                .collect();
            let first = alive.first().filter(|(name, _)| **name < me);
            for (budget, grants) in &mut inner.budgets {
                let wants = inner.wants.get(budget).copied().unwrap_or(0);
                match first {
                    Some((_, keeper)) => say.push((*keeper, budget.clone(), grants.ask(now, wants))),
                    None => {
                        if grants.should_canvass(now) {
                            let vote = grants.canvass(now);
                            say.extend(alive.iter().map(|(_, to)| (*to, budget.clone(), vote)));
                        }
                        let ask = grants.ask(now, wants);
                        if let Some(grant) = grants.heard(now, &me, ask) {
                            grants.heard(now, &me, grant);
                        }
                    }
                }
            }
        }
        for (to, budget, said) in say {
            self.say(now, to, &budget, said);
        }
        self.changed.notify_one();
    }

    fn carry_out(&self, now: Micros) {
        loop {
            let Some(output) = self.inner.borrow_mut().swim.output() else { return };
            match output {
                Output::Send(to, message) => {
                    let datagram = self.inner.borrow_mut().channel.seal(now, to, message);
                    self.send(to, datagram);
                }
                Output::Told(change) => {
                    said(&change);
                    self.changed.notify_one();
                }
            }
        }
    }
}

fn said(change: &Change) {
    match change {
        Change::Came(name) => emit!(FLEET_INSTANCE_JOINED, instance = %name; "fleet: {name} is there"),
        Change::Suspected(name) => {
            emit!(FLEET_INSTANCE_SUSPECTED, instance = %name; "fleet: {name} does not answer")
        }
        Change::Died(name) => emit!(FLEET_INSTANCE_DEAD, instance = %name; "fleet: {name} is held for dead"),
        Change::Left(name) => emit!(FLEET_INSTANCE_LEFT, instance = %name; "fleet: {name} has left"),
        Change::Twin(at, silent) => {
            let what = if *silent { "this one falls silent" } else { "this one goes on" };
            emit!(FLEET_DUPLICATE_NAME, at = %at; "fleet: {at} has this instance's name; {what}");
        }
        Change::Fact(_) => {}
    }
}
