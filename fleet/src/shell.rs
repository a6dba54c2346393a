//! Runs the fleet protocol over UDP: one socket, one task and one timer.

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

use crate::channel::{Channel, Received};
use crate::grants::{self, GrantMessage, Grants};
use crate::message::{Fact, Keys, Kind, MAX_DATAGRAM_BYTES, Message, Name, State};
use crate::swim::{Change, Output, Settings, Swim};

/// Configuration of an instance that joins a fleet.
pub struct FleetConfig {
    /// Name of this instance, unique in the fleet.
    pub name: Name,
    /// Zone of this instance.
    pub zone: Name,
    /// Address to listen on.
    pub bind: SocketAddr,
    /// Address that other instances send to, if it differs from the bound one.
    pub advertised: Option<SocketAddr>,
    /// Addresses of instances to join through; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// Keys that sign and verify datagrams.
    pub keys: Keys,
    /// Parameters of the membership protocol.
    pub settings: Settings,
    /// Limits that the whole fleet shares, by name.
    pub budgets: BTreeMap<Name, grants::Settings>,
}

/// Protocol state machines of the instance, behind one cell.
struct Inner {
    /// Signs outgoing datagrams and verifies received ones.
    channel: Channel,
    /// Membership state.
    swim: Swim,
    /// Grant state of each shared limit, by name of the limit.
    budgets: BTreeMap<Name, Grants>,
    /// Units that this instance demands of each shared limit, by name of the limit.
    demands: BTreeMap<Name, u64>,
    /// When votes and grants are requested next.
    next_grants_at: Micros,
}

/// An instance's membership in its fleet, from joining until it leaves.
pub struct Fleet {
    inner: RefCell<Inner>,
    /// Socket for all datagrams.
    socket: UdpSocket,
    /// Address of the bound socket.
    local_addr: SocketAddr,
    /// Origin of this instance's clock.
    started_at: Instant,
    /// Wakes the task before its next deadline.
    wake: Notify,
    /// Signals that membership, facts or grants may have changed.
    changed: Notify,
    /// Interval between two requests for votes and grants.
    grant_interval: Micros,
    /// Handle to stop the task.
    task: Cell<Option<AbortHandle>>,
    /// Number of datagrams that could not be sent.
    unsent: Cell<u64>,
}

/// Status of one instance, as seen by this one.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// Name of the instance.
    pub name: Name,
    /// UDP address of the instance.
    pub address: SocketAddr,
    /// Zone of the instance.
    pub zone: Name,
    /// Membership state of the instance.
    pub state: State,
    /// Time since the instance entered this state.
    pub since: Duration,
}

impl Fleet {
    /// Binds the socket and starts the task that joins the fleet.
    pub async fn start(config: FleetConfig) -> io::Result<Rc<Fleet>> {
        let socket = UdpSocket::bind(config.bind).await?;
        let local_addr = socket.local_addr()?;
        let mut secret = [0; 32];
        getrandom::fill(&mut secret).map_err(|e| io::Error::other(e.to_string()))?;
        let mut channel = Channel::new(config.keys, secret);
        let identity = (config.name.clone(), config.advertised.unwrap_or(local_addr), config.zone);
        // The wall clock is only an initial guess: a restarted instance learns its previous incarnation from the
        // others.
        let incarnation =
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let incarnation = incarnation.as_micros() as u64;
        let swim = Swim::new(0, identity, incarnation, config.seeds, config.settings, channel.random_u64());
        let run_id = channel.random_u64();
        let grant_interval =
            config.budgets.values().map(|b| b.grant_duration / 4).min().unwrap_or(config.settings.period);
        let budgets = config.budgets.into_iter();
        let budgets =
            budgets.map(|(name, s)| (name, Grants::new(0, config.name.clone(), run_id, s))).collect();
        let inner = Inner { channel, swim, budgets, demands: BTreeMap::new(), next_grants_at: 0 };
        let fleet = Rc::new(Fleet {
            inner: RefCell::new(inner),
            socket,
            local_addr,
            started_at: Instant::now(),
            wake: Notify::new(),
            changed: Notify::new(),
            grant_interval: grant_interval.max(1_000),
            task: Cell::default(),
            unsent: Cell::default(),
        });
        let this = fleet.clone();
        let task = spawn_local(async move {
            loop {
                this.run_once().await;
            }
        });
        fleet.task.set(Some(task.abort_handle()));
        Ok(fleet)
    }

    /// Returns the microseconds since the start.
    fn now(&self) -> Micros {
        self.started_at.elapsed().as_micros() as Micros
    }

    /// Returns the address of the bound socket.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Waits until an instance has answered the join request, for at most `timeout`. Returns whether one has.
    pub async fn wait_joined(&self, timeout: Duration) -> bool {
        let joined = async {
            while !self.inner.borrow().swim.is_joined() {
                self.changed().await;
            }
        };
        tokio::time::timeout(timeout, joined).await.is_ok()
    }

    /// Waits until the membership, the facts or a grant may have changed.
    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the status of all known instances, this one first.
    pub fn members(&self) -> Vec<MemberStatus> {
        let (inner, now) = (self.inner.borrow(), self.now());
        let me = inner.swim.local();
        let first = MemberStatus {
            name: me.name.clone(),
            address: me.address,
            zone: me.zone.clone(),
            state: me.state,
            since: self.started_at.elapsed(),
        };
        let others = inner.swim.members().map(|m| MemberStatus {
            name: m.update.name.clone(),
            address: m.update.address,
            zone: m.update.zone.clone(),
            state: m.update.state,
            since: Duration::from_micros(now.saturating_sub(m.since)),
        });
        std::iter::once(first).chain(others).collect()
    }

    /// Returns the number of instances that are alive, and the number that may be sending to upstreams. Both include
    /// this one.
    pub fn instance_counts(&self) -> (usize, usize) {
        let inner = self.inner.borrow();
        (inner.swim.alive_count(), inner.swim.sending_count())
    }

    /// Returns the rank of this instance, from 0, among those that may be sending.
    pub fn rank(&self) -> usize {
        self.inner.borrow().swim.rank()
    }

    /// Returns the number of received datagrams that were rejected, and of outgoing ones that were not sent because of
    /// the byte limit or a socket error.
    pub fn datagram_losses(&self) -> (u64, u64) {
        let inner = self.inner.borrow();
        (inner.channel.rejected, inner.swim.throttled_sends + self.unsent.get())
    }

    /// Returns the units that this instance may use of a shared limit; `None` if there is no limit of that name.
    pub fn allowance(&self, budget: &str) -> Option<u64> {
        self.inner.borrow().budgets.get(budget).map(|grants| grants.allowance(self.now()))
    }

    /// Returns whether this instance is the coordinator of a shared limit.
    pub fn is_coordinator(&self, budget: &str) -> bool {
        self.inner.borrow().budgets.get(budget).is_some_and(|grants| grants.is_coordinator(self.now()))
    }

    /// Sets the units that this instance would use of a shared limit if they were granted.
    pub fn set_demand(&self, budget: &Name, demand: u64) {
        self.inner.borrow_mut().demands.insert(budget.clone(), demand);
    }

    /// Records a fact that this instance observed and spreads it to the fleet.
    pub fn record_fact(&self, fact: Fact) {
        let now = self.now();
        self.inner.borrow_mut().swim.record_fact(now, fact);
        self.process_outputs(now);
    }

    /// Returns the nodes of a pool that drain according to other instances, where the own source has reached
    /// `revision`.
    pub fn draining_nodes(&self, pool: &Name, revision: u64) -> Vec<Name> {
        self.inner.borrow().swim.facts().draining_nodes(pool, revision)
    }

    /// Replaces the keys.
    pub fn set_keys(&self, keys: Keys) {
        self.inner.borrow_mut().channel.set_keys(keys);
    }

    /// Announces that this instance leaves and stops its task.
    pub fn leave(&self) {
        let now = self.now();
        self.inner.borrow_mut().swim.leave(now);
        self.process_outputs(now);
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    /// Waits for a datagram, a deadline or a wake-up, and handles it.
    async fn run_once(&self) {
        let due = {
            let inner = self.inner.borrow();
            let grants = if inner.budgets.is_empty() { Micros::MAX } else { inner.next_grants_at };
            inner.swim.next_deadline().min(grants)
        };
        let wake_at = self.started_at + Duration::from_micros(due.min(self.now() + 3_600_000_000));
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        tokio::select! {
            // A receive error reports a peer that is gone (ICMP port unreachable); nothing needs to be done.
            received = self.socket.recv_from(&mut bytes) => if let Ok((length, from)) = received {
                self.handle_datagram(from, &bytes[..length]);
            },
            () = sleep_until(wake_at) => {}
            () = self.wake.notified() => {}
        }
        let now = self.now();
        if self.inner.borrow().swim.next_deadline() <= now {
            self.inner.borrow_mut().swim.on_timer(now);
        }
        self.renew_grants(now);
        self.process_outputs(now);
    }

    /// Sends a datagram, and counts it as unsent if there is none or the socket refuses it.
    fn send(&self, to: SocketAddr, datagram: Option<Vec<u8>>) {
        // A failed send counts as a lost datagram; the protocol repeats messages.
        let sent = datagram.is_some_and(|bytes| self.socket.try_send_to(&bytes, to).is_ok());
        self.unsent.set(self.unsent.get() + u64::from(!sent));
    }

    /// Handles a received datagram.
    fn handle_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        let now = self.now();
        let received = self.inner.borrow_mut().channel.open(now, from, bytes);
        match received {
            Received::Message(message) => {
                if let Kind::Grants(budget, grant) = &message.kind {
                    self.handle_grant_message(now, from, &message.from, budget, *grant);
                }
                self.inner.borrow_mut().swim.handle_message(now, from, message);
            }
            Received::Reply(bytes) => self.send(from, Some(bytes)),
            Received::Invalid(why) => {
                emit!(FLEET_DATAGRAM_REFUSED, from = %from, why = %why; "fleet: {from}: {why}");
            }
            Received::Ignored => {}
        }
    }

    /// Passes a grant message to its shared limit and sends the answer.
    fn handle_grant_message(
        &self,
        now: Micros,
        from: SocketAddr,
        sender: &Name,
        budget: &Name,
        message: GrantMessage,
    ) {
        let answer = {
            let mut inner = self.inner.borrow_mut();
            inner.budgets.get_mut(budget).and_then(|grants| grants.handle_message(now, sender, message))
        };
        if let Some(answer) = answer {
            self.send_grant_message(now, from, budget, answer);
        }
        if matches!(message, GrantMessage::Grant(..)) {
            self.changed.notify_one();
        }
    }

    /// Sends a grant message for a shared limit.
    fn send_grant_message(&self, now: Micros, to: SocketAddr, budget: &Name, message: GrantMessage) {
        let datagram = {
            let mut inner = self.inner.borrow_mut();
            let (from, kind) = (inner.swim.local().name.clone(), Kind::Grants(budget.clone(), message));
            inner.channel.seal(now, to, Message { from, kind, updates: Vec::new(), facts: Vec::new() })
        };
        self.send(to, datagram);
    }

    /// Requests grants. Requests votes if this instance is the first by name among those that are alive.
    fn renew_grants(&self, now: Micros) {
        if now < self.inner.borrow().next_grants_at || self.inner.borrow().swim.is_silent() {
            return;
        }
        let mut outgoing = Vec::new();
        {
            let mut inner = self.inner.borrow_mut();
            let inner = &mut *inner;
            inner.next_grants_at = now + self.grant_interval;
            let me = inner.swim.local().name.clone();
            let alive: Vec<(&Name, SocketAddr)> = inner
                .swim
                .members()
                .filter(|m| m.update.state == State::Alive)
                .map(|m| (&m.update.name, m.update.address))
                .collect();
            let first = alive.first().filter(|(name, _)| **name < me);
            for (budget, grants) in &mut inner.budgets {
                let demand = inner.demands.get(budget).copied().unwrap_or(0);
                match first {
                    Some((_, coordinator)) => {
                        outgoing.push((*coordinator, budget.clone(), grants.request_grant(now, demand)))
                    }
                    None => {
                        if grants.should_request_votes(now) {
                            let vote = grants.request_votes(now);
                            outgoing.extend(alive.iter().map(|(_, to)| (*to, budget.clone(), vote)));
                        }
                        let request = grants.request_grant(now, demand);
                        if let Some(grant) = grants.handle_message(now, &me, request) {
                            grants.handle_message(now, &me, grant);
                        }
                    }
                }
            }
        }
        for (to, budget, message) in outgoing {
            self.send_grant_message(now, to, &budget, message);
        }
        self.changed.notify_one();
    }

    /// Carries out the pending actions of the membership state machine.
    fn process_outputs(&self, now: Micros) {
        loop {
            let Some(output) = self.inner.borrow_mut().swim.next_output() else { return };
            match output {
                Output::Send(to, message) => {
                    let datagram = self.inner.borrow_mut().channel.seal(now, to, message);
                    self.send(to, datagram);
                }
                Output::Changed(change) => {
                    log_change(&change);
                    self.changed.notify_one();
                }
            }
        }
    }
}

/// Logs a change of membership.
fn log_change(change: &Change) {
    match change {
        Change::Joined(name) => emit!(FLEET_INSTANCE_JOINED, instance = %name; "fleet: {name} is there"),
        Change::Suspected(name) => {
            emit!(FLEET_INSTANCE_SUSPECTED, instance = %name; "fleet: {name} does not answer")
        }
        Change::Died(name) => emit!(FLEET_INSTANCE_DEAD, instance = %name; "fleet: {name} is held for dead"),
        Change::Left(name) => emit!(FLEET_INSTANCE_LEFT, instance = %name; "fleet: {name} has left"),
        Change::NameConflict(at, silent) => {
            let outcome = if *silent { "this one falls silent" } else { "this one goes on" };
            emit!(FLEET_DUPLICATE_NAME, at = %at; "fleet: {at} has this instance's name; {outcome}");
        }
        Change::Fact(_) => {}
    }
}
