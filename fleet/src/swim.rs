//! Failure detection and membership by the SWIM protocol.
//!
//! Each instance probes one other instance per period, in an order that it shuffles anew for each round. A target that
//! does not acknowledge is probed indirectly through other instances, then suspected, then declared dead. Membership
//! updates are piggybacked on all messages, so the bytes that an instance sends and receives do not grow with the size
//! of the fleet.
//!
//! - **False alarms.** A suspected instance receives the suspicion and refutes it. An instance whose own probes fail
//!   waits longer before it suspects others, because its own receive path may be at fault. A suspicion that several
//!   instances report expires sooner than one that a single instance reports.
//! - **Restarts.** A restarted instance receives the updates about its previous run and announces a higher incarnation
//!   than theirs. Its wall clock is not needed for that.
//! - **Partitions.** Dead members are probed occasionally until they are forgotten, and the membership list is
//!   occasionally exchanged with one random member. Both sides of a healed partition find each other that way.
//! - **Name conflicts.** Two instances with the same name refute each other. After [`NAME_CONFLICT_THRESHOLD`]
//!   messages under its own name each of them reports the conflict, and the one with the higher address stops sending.
//!
//! No I/O; times are microseconds of the instance's own clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use finchshift::Micros;

use crate::facts::{FactStore, GossipQueue};
use crate::message::{Fact, Kind, MAX_PACKET_BYTES, Message, Name, State, Update, encoded_size};

/// Messages under its own name from another address after which an instance reports a name conflict.
pub const NAME_CONFLICT_THRESHOLD: u32 = 3;
/// Maximum number of members that an instance tracks at once, including dead ones.
pub const MAX_MEMBERS: usize = 8_192;
/// Maximum local health score. The acknowledgement timeout is multiplied by one plus this score, which rises while the
/// instance's own probes fail. The timeout is capped at three quarters of the probe period.
const MAX_LOCAL_HEALTH_SCORE: u32 = 8;
/// Maximum bytes of membership updates piggybacked on a message. Keeps the message size independent of the fleet size.
const MAX_PIGGYBACK_BYTES: usize = 420;
/// Estimated overhead of a message in bytes: packet header and tag, UDP and IP headers.
const PACKET_OVERHEAD_BYTES: usize = 80;
/// Probe rounds between two membership exchanges with a random member, and between two probes of a dead member.
const SYNC_INTERVAL_ROUNDS: u32 = 16;
/// Maximum pause between two join attempts, in probe periods.
const MAX_JOIN_PAUSE_PERIODS: u32 = 32;

/// Timing and bandwidth parameters of the SWIM protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time between two probes.
    pub period: Micros,
    /// Time to wait for an acknowledgement before indirect probes are sent. Shorter than `period`.
    pub ack_timeout: Micros,
    /// Number of members that are asked to probe an unresponsive target.
    pub indirect_probes: usize,
    /// Shortest duration of a suspicion, in periods per factor of ten of the fleet size. Applies when enough other
    /// members confirm it.
    pub suspicion_periods: f64,
    /// Factor by which a suspicion that no other member confirms lasts longer than the shortest duration.
    pub unconfirmed_factor: f64,
    /// Number of times an update is sent, per factor of two of the fleet size.
    pub gossip_factor: u32,
    /// Maximum bytes that the instance sends per second.
    pub bytes_per_second: f64,
    /// Time for which dead members and members that left are remembered.
    pub dead_retention: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: 1_000_000,
            ack_timeout: 300_000,
            indirect_probes: 3,
            suspicion_periods: 4.0,
            unconfirmed_factor: 4.0,
            gossip_factor: 3,
            bytes_per_second: 20_000.0,
            dead_retention: 3_600_000_000,
        }
    }
}

/// An action that the caller has to carry out for the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send the message to the address.
    Send(SocketAddr, Message),
    /// Report a change of membership or facts.
    Changed(Change),
}

/// A change of membership or facts that the instance reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// The instance is alive: newly discovered, or back after it died or left.
    Joined(Name),
    /// The instance does not acknowledge probes and is suspected.
    Suspected(Name),
    /// The suspicion expired without refutation; the instance is considered dead.
    Died(Name),
    /// The instance announced that it leaves the fleet.
    Left(Name),
    /// A new fact about an upstream node was received.
    Fact(Fact),
    /// Another instance at the given address uses this instance's name. The flag tells whether this instance has
    /// stopped sending.
    NameConflict(SocketAddr, bool),
}

/// What this instance knows about another member.
#[derive(Clone, Debug)]
pub struct Member {
    /// The latest accepted membership update about the member.
    pub update: Update,
    /// Time of the last change of the member's state or incarnation.
    pub since: Micros,
    /// When the suspicion of this member expires, or when the dead member is forgotten; 0 while it is alive.
    expires_at: Micros,
    /// Members that reported the current suspicion.
    confirmed_by: BTreeSet<Name>,
}

/// A probe of this instance that awaits an acknowledgement.
#[derive(Debug)]
struct Probe {
    /// Sequence number of the ping, repeated in its acknowledgement.
    sequence: u32,
    /// Name of the probed member.
    target: Name,
    /// When indirect probes are sent; `None` once they have been.
    indirect_at: Option<Micros>,
    /// Whether an acknowledgement has arrived, directly or through a relay.
    acked: bool,
}

/// An indirect probe that this instance sends on behalf of another instance.
#[derive(Debug)]
struct RelayedProbe {
    sequence: u32,
    /// Address of the instance that requested the probe.
    requester: SocketAddr,
    /// Sequence number under which the requester expects the acknowledgement.
    requester_sequence: u32,
    expires_at: Micros,
}

/// SWIM state machine: one instance's view of the fleet.
#[derive(Debug)]
pub struct Swim {
    /// Parameters of the protocol.
    settings: Settings,
    /// Membership entry of this instance.
    local: Update,
    /// Known members except this instance, by name.
    members: BTreeMap<Name, Member>,
    /// Members in the order in which the current round probes them.
    probe_order: Vec<Name>,
    /// Position in `probe_order` of the next member to probe.
    probe_index: usize,
    /// The probe of the current period.
    probe: Option<Probe>,
    /// Indirect probes under way for other instances, oldest first.
    relayed_probes: VecDeque<RelayedProbe>,
    /// Sequence number of the last ping sent.
    last_sequence: u32,
    /// Number of probe periods so far.
    probe_rounds: u32,
    /// When the current probe ends and the next one starts.
    next_probe_at: Micros,
    /// When suspicions expire and dead members are forgotten, by time and member name.
    deadlines: BTreeSet<(Micros, Name)>,
    /// Membership updates to piggyback on messages.
    update_queue: GossipQueue<Update>,
    /// Facts to piggyback on messages.
    fact_queue: GossipQueue<Fact>,
    /// Facts about upstream nodes known to this instance.
    facts: FactStore,
    /// Score that rises by one with each failed probe, up to [`MAX_LOCAL_HEALTH_SCORE`], and falls by one with each
    /// acknowledged probe.
    local_health_score: u32,
    /// Addresses through which to join the fleet.
    seeds: Vec<SocketAddr>,
    /// Time of the next join attempt and the pause after it, in periods. `None` once an instance has answered.
    next_join: Option<(Micros, u32)>,
    /// Number of messages received under this instance's own name from another address.
    name_conflicts: u32,
    /// Whether this instance has stopped sending.
    silent: bool,
    /// Bytes that may be sent now; refilled at `bytes_per_second`.
    send_allowance: f64,
    /// When `send_allowance` was last refilled.
    refilled_at: Micros,
    /// Number of messages that were not sent because the byte allowance was used up.
    pub throttled_sends: u64,
    rng: fastrand::Rng,
    /// Actions that the caller has not taken yet.
    outputs: VecDeque<Output>,
}

impl Swim {
    /// Creates an instance that knows only the seed addresses, which may include its own. `incarnation` should be
    /// higher than that of the previous run under this name; if it is not, the instance learns that from the others
    /// and raises it.
    pub fn new(
        now: Micros,
        (name, address, zone): (Name, SocketAddr, Name),
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        seed: u64,
    ) -> Swim {
        let mut rng = fastrand::Rng::with_seed(seed);
        // A random first deadline keeps thousands of instances that start together from sending at once.
        let first = now + (rng.f64() * settings.period as f64) as Micros;
        let local = Update { name, address, zone, incarnation, state: State::Alive };
        let seeds = seeds.into_iter().filter(|seed| *seed != address).collect();
        Swim {
            settings,
            local,
            members: BTreeMap::new(),
            probe_order: Vec::new(),
            probe_index: 0,
            probe: None,
            relayed_probes: VecDeque::new(),
            last_sequence: 0,
            probe_rounds: 0,
            next_probe_at: first,
            deadlines: BTreeSet::new(),
            update_queue: GossipQueue::default(),
            fact_queue: GossipQueue::default(),
            facts: FactStore::default(),
            local_health_score: 0,
            seeds,
            next_join: Some((first, 1)),
            name_conflicts: 0,
            silent: false,
            send_allowance: settings.bytes_per_second,
            refilled_at: now,
            throttled_sends: 0,
            rng,
            outputs: VecDeque::new(),
        }
    }

    /// Returns the next action to carry out, if any.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Returns the time at which [`on_timer`](Swim::on_timer) is due.
    pub fn next_deadline(&self) -> Micros {
        let indirect = self.probe.as_ref().filter(|probe| !probe.acked).and_then(|probe| probe.indirect_at);
        let deadline = self.deadlines.first().map(|(at, _)| *at);
        let join = self.next_join.map(|(at, _)| at);
        [indirect, deadline, join].into_iter().flatten().fold(self.next_probe_at, Micros::min)
    }

    /// Returns all known members except this instance.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the facts about upstream nodes.
    pub fn facts(&self) -> &FactStore {
        &self.facts
    }

    /// Returns this instance's own membership entry.
    pub fn local(&self) -> &Update {
        &self.local
    }

    /// Returns the number of instances that are alive or only suspected, including this one.
    pub fn alive_count(&self) -> usize {
        let is_active = |member: &&Member| matches!(member.update.state, State::Alive | State::Suspect);
        1 + self.members.values().filter(is_active).count()
    }

    /// Returns the number of instances that may be sending to the same upstreams, including this one.
    ///
    /// An instance that died without leaving may be merely unreachable and still sending, so it counts until it is
    /// forgotten. This upholds rule 4 during partitions. The cost is that the shares of dead instances stay unused
    /// until then.
    pub fn sending_count(&self) -> usize {
        1 + self.members.values().filter(|member| member.update.state != State::Left).count()
    }

    /// Returns the rank of this instance by name, from 0, among those that have not left. Instances with the same
    /// membership view get distinct ranks.
    pub fn rank(&self) -> usize {
        let before =
            |member: &&Member| member.update.state != State::Left && member.update.name < self.local.name;
        self.members.values().filter(before).count()
    }

    /// Returns whether an instance has answered the join request, or there are no seeds to ask.
    pub fn is_joined(&self) -> bool {
        self.next_join.is_none() || self.seeds.is_empty()
    }

    /// Returns whether this instance has stopped sending, because it left or lost a name conflict.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Records a fact that this instance observed and spreads it to the fleet.
    pub fn record_fact(&mut self, now: Micros, fact: Fact) {
        if self.facts.merge(&fact) {
            self.queue_fact(fact);
            self.push_facts(now);
        }
    }

    /// Sends queued facts to some random members without waiting for the next probe. Each member forwards a new fact
    /// once, so it reaches the fleet within a few message delays.
    fn push_facts(&mut self, now: Micros) {
        let receivers =
            self.random_members(self.settings.indirect_probes, |member| member.update.state == State::Alive);
        receivers.into_iter().for_each(|(_, to)| self.send(now, to, Kind::News));
    }

    /// Queues a fact for gossip.
    fn queue_fact(&mut self, fact: Fact) {
        let (transmissions, key) = (self.transmissions(), (fact.pool.clone(), fact.node.clone()));
        self.fact_queue.push(fact, transmissions, |old| (&old.pool, &old.node) == (&key.0, &key.1));
    }

    /// Announces to some random members that this instance leaves, and stops sending.
    pub fn leave(&mut self, now: Micros) {
        self.local.state = State::Left;
        self.local.incarnation += 1;
        let receivers = self.random_members(self.settings.indirect_probes.max(3), |_| true);
        receivers.into_iter().for_each(|(_, to)| self.send(now, to, Kind::Members));
        self.silent = true;
    }

    /// Handles all deadlines that are due: expired suspicions, join attempts and probes.
    pub fn on_timer(&mut self, now: Micros) {
        while let Some((at, name)) = self.deadlines.first().cloned().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, name.clone()));
            self.on_deadline(now, &name);
        }
        if self.silent {
            // The pending probe is dropped too: its indirect probes are never sent, so its deadline would stay due.
            (self.next_probe_at, self.next_join, self.probe) = (now + self.settings.period, None, None);
            return;
        }
        if let Some((at, pause)) = self.next_join.filter(|(at, _)| *at <= now) {
            let _ = at;
            self.rng.shuffle(&mut self.seeds);
            let seeds: Vec<SocketAddr> = self.seeds.iter().take(2).copied().collect();
            seeds.into_iter().for_each(|to| self.send(now, to, Kind::Join));
            let jitter = 0.5 + self.rng.f64();
            let retry_at = now + (f64::from(pause) * jitter * self.settings.period as f64) as Micros;
            self.next_join =
                (!self.seeds.is_empty()).then_some((retry_at, (2 * pause).min(MAX_JOIN_PAUSE_PERIODS)));
        }
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| !probe.acked && probe.indirect_at.is_some_and(|at| at <= now))
        {
            self.probe_indirectly(now);
        }
        if now >= self.next_probe_at {
            self.finish_probe(now);
            self.next_probe_at = now + self.settings.period;
            self.probe_next(now);
        }
    }

    /// Declares a suspected member dead when its suspicion expires, and forgets a dead member when its retention ends.
    fn on_deadline(&mut self, now: Micros, name: &Name) {
        let Some(member) = self.members.get(name) else { return };
        match member.update.state {
            State::Suspect => {
                let update = Update { state: State::Dead, ..member.update.clone() };
                self.apply_update(now, update, None);
            }
            State::Dead | State::Left => _ = self.members.remove(name),
            State::Alive => {}
        }
    }

    /// Ends the current probe. If the target did not acknowledge it, the target becomes suspected.
    fn finish_probe(&mut self, now: Micros) {
        let Some(probe) = self.probe.take() else { return };
        if probe.acked {
            self.local_health_score = self.local_health_score.saturating_sub(1);
            return;
        }
        self.local_health_score = (self.local_health_score + 1).min(MAX_LOCAL_HEALTH_SCORE);
        let alive = self.members.get(&probe.target).filter(|member| member.update.state == State::Alive);
        if let Some(update) = alive.map(|member| Update { state: State::Suspect, ..member.update.clone() }) {
            let reporter = self.local.name.clone();
            self.apply_update(now, update, Some(reporter));
        }
    }

    /// Starts the probe of the next member, and from time to time probes a dead member or exchanges membership lists.
    fn probe_next(&mut self, now: Micros) {
        self.probe_rounds = self.probe_rounds.wrapping_add(1);
        if self.probe_rounds.is_multiple_of(SYNC_INTERVAL_ROUNDS) {
            // Any member, dead ones included: that lets the two sides of a partition find each other.
            if let Some((_, to)) = self.random_members(1, |_| true).pop() {
                self.send(now, to, Kind::Join);
            }
        }
        if self.probe_rounds % SYNC_INTERVAL_ROUNDS == SYNC_INTERVAL_ROUNDS / 2
            && let Some((name, to)) =
                self.random_members(1, |member| member.update.state == State::Dead).pop()
        {
            self.last_sequence = self.last_sequence.wrapping_add(1);
            let piggybacked = self.members.get(&name).map(|member| member.update.clone());
            self.send_with(now, to, Kind::Ping(self.last_sequence), piggybacked);
        }
        // One round probes each active member once, in random order.
        let target = loop {
            if self.probe_index >= self.probe_order.len() {
                let is_active =
                    |member: &&Member| matches!(member.update.state, State::Alive | State::Suspect);
                self.probe_order = self
                    .members
                    .values()
                    .filter(is_active)
                    .map(|member| member.update.name.clone())
                    .collect();
                self.rng.shuffle(&mut self.probe_order);
                self.probe_index = 0;
                if self.probe_order.is_empty() {
                    return;
                }
            }
            let name = self.probe_order[self.probe_index].clone();
            self.probe_index += 1;
            let is_active = |member: &&Member| matches!(member.update.state, State::Alive | State::Suspect);
            if let Some(member) = self.members.get(&name).filter(is_active) {
                break member.update.clone();
            }
        };
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let timeout = self.settings.ack_timeout * u64::from(1 + self.local_health_score);
        let indirect_at = Some(now + timeout.min(self.settings.period * 3 / 4));
        self.probe = Some(Probe {
            sequence: self.last_sequence,
            target: target.name.clone(),
            indirect_at,
            acked: false,
        });
        // A suspected target receives the suspicion with the probe, so that it can refute it.
        let piggybacked = (target.state != State::Alive).then(|| target.clone());
        self.send_with(now, target.address, Kind::Ping(self.last_sequence), piggybacked);
    }

    /// Asks some other members to probe the target of the current probe.
    fn probe_indirectly(&mut self, now: Micros) {
        let Some(probe) = self.probe.as_mut() else { return };
        probe.indirect_at = None;
        let (sequence, target) = (probe.sequence, probe.target.clone());
        let Some(address) = self.members.get(&target).map(|member| member.update.address) else { return };
        let relays = self.random_members(self.settings.indirect_probes, |member| {
            member.update.state == State::Alive && member.update.name != target
        });
        for (_, relay) in relays {
            self.send(now, relay, Kind::PingFor(sequence, address));
        }
    }

    /// Returns up to `limit` random members that match the predicate, with their addresses.
    fn random_members(&mut self, limit: usize, matches: impl Fn(&Member) -> bool) -> Vec<(Name, SocketAddr)> {
        let all: Vec<&Member> = self.members.values().filter(|member| matches(member)).collect();
        let chosen = self.rng.choose_multiple(all, limit);
        chosen.into_iter().map(|member| (member.update.name.clone(), member.update.address)).collect()
    }

    /// Returns how many times an update is sent, which grows with the logarithm of the fleet size.
    fn transmissions(&self) -> u32 {
        let size = self.members.len() as u32 + 2;
        self.settings.gossip_factor * size.next_power_of_two().ilog2()
    }

    /// Returns how long a suspicion lasts that `confirmations` other members confirm.
    fn suspicion_timeout(&self, confirmations: usize) -> Micros {
        let size = (self.alive_count() as f64).max(2.0);
        let shortest = self.settings.suspicion_periods * size.log10().max(1.0) * self.settings.period as f64;
        let longest = shortest * self.settings.unconfirmed_factor.max(1.0);
        // With `indirect_probes` confirmations the suspicion has its shortest duration.
        let fraction =
            (confirmations as f64).ln_1p() / (self.settings.indirect_probes as f64).ln_1p().max(0.1);
        (longest - (longest - shortest) * fraction.min(1.0)) as Micros
    }

    /// Sends a message with piggybacked gossip.
    fn send(&mut self, now: Micros, to: SocketAddr, kind: Kind) {
        self.send_with(now, to, kind, None);
    }

    /// Adds the bytes accrued since the last refill to the send allowance, up to one second's worth.
    fn refill_allowance(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.send_allowance = (self.send_allowance + elapsed * self.settings.bytes_per_second)
            .min(self.settings.bytes_per_second);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Sends a message with piggybacked gossip and optionally one extra update, unless the byte allowance is used up.
    fn send_with(&mut self, now: Micros, to: SocketAddr, kind: Kind, extra: Option<Update>) {
        self.refill_allowance(now);
        if self.send_allowance <= 0.0 {
            self.throttled_sends += 1;
            return;
        }
        let mut updates = vec![self.local.clone()];
        updates.extend(extra);
        updates.extend(self.update_queue.take(MAX_PIGGYBACK_BYTES));
        let facts = self.fact_queue.take(MAX_PIGGYBACK_BYTES / 2);
        let message = Message { from: self.local.name.clone(), kind, updates, facts };
        self.send_allowance -= (encoded_size(&message) + PACKET_OVERHEAD_BYTES) as f64;
        self.outputs.push_back(Output::Send(to, message));
    }

    /// Sends a random selection of the membership list, as many entries as fit into one packet.
    fn send_members(&mut self, now: Micros, to: SocketAddr) {
        self.refill_allowance(now);
        if self.send_allowance <= 0.0 {
            self.throttled_sends += 1;
            return;
        }
        let mut all: Vec<Update> = self.members.values().map(|member| member.update.clone()).collect();
        self.rng.shuffle(&mut all);
        let mut updates = vec![self.local.clone()];
        // A joining instance has missed the earlier gossip of facts.
        let facts = self.facts.sample(&mut self.rng, MAX_PIGGYBACK_BYTES);
        let mut bytes = MAX_PACKET_BYTES - 200 - facts.iter().map(encoded_size).sum::<usize>();
        for update in all {
            let Some(left) = bytes.checked_sub(encoded_size(&update)) else { break };
            bytes = left;
            updates.push(update);
        }
        let message = Message { from: self.local.name.clone(), kind: Kind::Members, updates, facts };
        self.send_allowance -= (encoded_size(&message) + PACKET_OVERHEAD_BYTES) as f64;
        self.outputs.push_back(Output::Send(to, message));
    }

    /// Handles a message from another instance.
    pub fn handle_message(&mut self, now: Micros, from: SocketAddr, message: Message) {
        if message.from == self.local.name {
            return self.handle_name_conflict(from);
        }
        let (received, known_before) = (message.updates.len(), self.members.len());
        for update in message.updates {
            let reporter = message.from.clone();
            self.apply_update(now, update, Some(reporter));
        }
        let added = self.members.len() - known_before.min(self.members.len());
        let mut learned = false;
        for fact in message.facts {
            if self.facts.merge(&fact) {
                learned = true;
                self.queue_fact(fact.clone());
                self.outputs.push_back(Output::Changed(Change::Fact(fact)));
            }
        }
        if learned && !self.silent {
            self.push_facts(now);
        }
        if self.silent {
            return;
        }
        match message.kind {
            Kind::Ping(number) => self.send(now, from, Kind::Ack(number)),
            Kind::Ack(number) => self.handle_ack(now, number),
            Kind::PingFor(requester_sequence, target) => {
                // The bound protects against an instance that requests indirect probes without end.
                if self.relayed_probes.len() < 64 {
                    self.last_sequence = self.last_sequence.wrapping_add(1);
                    let expires_at = now + self.settings.period;
                    let relayed = RelayedProbe {
                        sequence: self.last_sequence,
                        requester: from,
                        requester_sequence,
                        expires_at,
                    };
                    self.relayed_probes.push_back(relayed);
                    self.send(now, target, Kind::Ping(self.last_sequence));
                }
                while self.relayed_probes.front().is_some_and(|relayed| relayed.expires_at <= now) {
                    self.relayed_probes.pop_front();
                }
            }
            Kind::Join => self.send_members(now, from),
            Kind::Members => {
                self.next_join = None;
                // While a reply still brings many unknown members, request another one.
                if added * 8 > received {
                    self.send(now, from, Kind::Join);
                }
            }
            Kind::Grants(..) | Kind::News => {}
        }
    }

    /// Completes the current probe, or forwards the acknowledgement of a relayed probe to its requester.
    fn handle_ack(&mut self, now: Micros, number: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.sequence == number) {
            probe.acked = true;
            return;
        }
        let at = self
            .relayed_probes
            .iter()
            .position(|relayed| relayed.sequence == number && now < relayed.expires_at);
        if let Some(relayed) = at.and_then(|at| self.relayed_probes.remove(at)) {
            self.send(now, relayed.requester, Kind::Ack(relayed.requester_sequence));
        }
    }

    /// Counts a message from another address under this instance's own name. At the threshold the conflict is
    /// reported, and the instance with the higher address stops sending.
    fn handle_name_conflict(&mut self, other: SocketAddr) {
        if other == self.local.address || self.silent {
            return;
        }
        self.name_conflicts += 1;
        if self.name_conflicts == NAME_CONFLICT_THRESHOLD {
            self.silent = self.local.address > other;
            self.outputs.push_back(Output::Changed(Change::NameConflict(other, self.silent)));
        }
    }

    /// Applies a membership update if it supersedes what is known. `reporter` is the instance that sent it.
    fn apply_update(&mut self, now: Micros, update: Update, reporter: Option<Name>) {
        if update.name == self.local.name {
            return self.refute(update);
        }
        let Some(member) = self.members.get_mut(&update.name) else {
            // Unknown members are added only if they are alive or suspected.
            if matches!(update.state, State::Alive | State::Suspect) && self.members.len() < MAX_MEMBERS {
                let name = update.name.clone();
                let member = Member {
                    update: update.clone(),
                    since: now,
                    expires_at: 0,
                    confirmed_by: BTreeSet::new(),
                };
                self.members.insert(name.clone(), member);
                // A random position in the rest of the current round: the new member is probed soon, and by each
                // instance at a different time.
                let at =
                    self.rng.usize(self.probe_index.min(self.probe_order.len())..=self.probe_order.len());
                self.probe_order.insert(at, name.clone());
                self.outputs.push_back(Output::Changed(Change::Joined(name)));
                self.schedule_and_gossip(now, &update, reporter);
            }
            return;
        };
        let (current, reported) =
            ((member.update.incarnation, member.update.state), (update.incarnation, update.state));
        if reported == current && update.state == State::Suspect {
            // Another member confirms the suspicion, so it expires sooner.
            if reporter.is_some_and(|reporter| {
                member.confirmed_by.len() < 16 && member.confirmed_by.insert(reporter)
            }) {
                let (since, expires_at, confirmations) =
                    (member.since, member.expires_at, member.confirmed_by.len());
                let earlier = expires_at.min(since + self.suspicion_timeout(confirmations.saturating_sub(1)));
                self.deadlines.remove(&(expires_at, update.name.clone()));
                self.deadlines.insert((earlier, update.name.clone()));
                if let Some(member) = self.members.get_mut(&update.name) {
                    member.expires_at = earlier;
                }
                let transmissions = self.transmissions();
                self.update_queue.push(update.clone(), transmissions, |old| old.name == update.name);
            }
            return;
        }
        if reported <= current {
            return;
        }
        let previous = member.update.state;
        self.deadlines.remove(&(member.expires_at, update.name.clone()));
        (member.update, member.since) = (update.clone(), now);
        member.confirmed_by.clear();
        let is_active = |state| matches!(state, State::Alive | State::Suspect);
        let change = match (previous, update.state) {
            (State::Dead | State::Left, State::Alive) => Some(Change::Joined(update.name.clone())),
            (previous, State::Suspect) if previous != State::Suspect => {
                Some(Change::Suspected(update.name.clone()))
            }
            (previous, State::Dead) if is_active(previous) => Some(Change::Died(update.name.clone())),
            (previous, State::Left) if previous != State::Left => Some(Change::Left(update.name.clone())),
            _ => None,
        };
        self.outputs.extend(change.map(Output::Changed));
        self.schedule_and_gossip(now, &update, reporter);
    }

    /// Queues an update for gossip and sets the member's next deadline.
    fn schedule_and_gossip(&mut self, now: Micros, update: &Update, reporter: Option<Name>) {
        let expires_at = match update.state {
            State::Alive => None,
            State::Suspect => Some(now + self.suspicion_timeout(0)),
            State::Dead | State::Left => Some(now + self.settings.dead_retention),
        };
        if let Some(member) = self.members.get_mut(&update.name) {
            member.expires_at = expires_at.unwrap_or(0);
            member.confirmed_by.extend(reporter.filter(|_| update.state == State::Suspect));
        }
        self.deadlines.extend(expires_at.map(|at| (at, update.name.clone())));
        let transmissions = self.transmissions();
        self.update_queue.push(update.clone(), transmissions, |old| old.name == update.name);
    }

    /// Refutes an update about this instance that is wrong or comes from a previous run, by raising the incarnation.
    fn refute(&mut self, reported: Update) {
        let unchanged = reported.address == self.local.address && reported.state == self.local.state;
        if reported.incarnation < self.local.incarnation
            || unchanged && reported.incarnation == self.local.incarnation
            || self.silent
        {
            return;
        }
        // The update comes from a previous run, or from members that cannot reach this instance.
        self.local.incarnation = reported.incarnation.saturating_add(1);
        let (local, transmissions) = (self.local.clone(), self.transmissions());
        self.update_queue.push(local.clone(), transmissions, |old| old.name == local.name);
    }
}
