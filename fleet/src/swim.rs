//! Who is alive. Each instance asks one other after the other, in an order drawn anew for each round, whether it is there; one
//! that does not answer is asked through others, then suspected, then held for dead. What is said of instances goes beside
//! all messages, so that an instance sends and hears the same number of bytes at any size of the fleet.
//!
//! - **False alarms.** Whoever is suspected hears of it and says that it lives. Whose own questions fail is slower to suspect
//!   others (it may be the one that can't hear), and a suspicion that others share ends sooner than a lonely one.
//! - **The same again.** An instance that comes back hears what was said of its former life and says a higher incarnation
//!   than that; its clock is not asked.
//! - **Partitions.** Those held for dead are asked now and then for as long as they are known, and all that is known is
//!   compared with one other now and then: both sides find each other again.
//! - **Twins.** Two that are known by one name refute each other; after [`QUARRELS`] times each says so, and the one with
//!   the higher address falls silent.
//!
//! No I/O; times are microseconds of the instance's own clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use finchshift::Micros;

use crate::facts::{FactStore, GossipQueue};
use crate::message::{Fact, Kind, MAX_PACKET_BYTES, Message, Name, State, Update, encoded_size};

/// Times that an instance hears its own name from elsewhere before it believes that there is another of that name.
pub const NAME_CONFLICT_THRESHOLD: u32 = 3;
/// Most that are known at once, dead ones among them.
pub const MAX_MEMBERS: usize = 8_192;
/// Steps of patience beyond the usual, where one's own questions fail.
const MAX_LOCAL_HEALTH: u32 = 8;
/// Bytes of news beside a message. Guards the wire: a message is as long in any fleet.
const MAX_PIGGYBACK_BYTES: usize = 420;
/// Bytes around a message that are not its own (headers of the packet, of UDP and IP).
const PACKET_OVERHEAD_BYTES: usize = 80;
/// Rounds between two comparisons with another, and between two questions to one that is held for dead.
const SYNC_INTERVAL_ROUNDS: u32 = 16;
/// Longest pause between two tries to join, in periods.
const MAX_JOIN_PAUSE_PERIODS: u32 = 32;

/// How it is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// From one question to the next.
    pub period: Micros,
    /// How long an answer may take before others are asked to help; a part of the period.
    pub ack_timeout: Micros,
    /// How many are asked to help.
    pub indirect_probes: usize,
    /// Suspicion lasts so many periods for each factor of ten of the fleet's size, if others share it.
    pub suspicion_periods: f64,
    /// A lonely one lasts so many times as long.
    pub unconfirmed_factor: f64,
    /// News are said so many times for each factor of two of the fleet's size.
    pub gossip_factor: u32,
    /// Bytes that may be sent each second.
    pub bytes_per_second: f64,
    /// How long the dead are known.
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

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Something has changed.
    Changed(Change),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An instance is there, for the first time or again.
    Joined(Name),
    /// It doesn't answer.
    Suspected(Name),
    /// It is held for dead.
    Died(Name),
    /// It has said that it leaves.
    Left(Name),
    /// Something new was heard of a node.
    Fact(Fact),
    /// Another has this one's name, there. This one has fallen silent, or not.
    NameConflict(SocketAddr, bool),
}

/// What is known of another.
#[derive(Clone, Debug)]
pub struct Member {
    /// What was said last.
    pub update: Update,
    /// Since when it is as it is.
    pub since: Micros,
    /// When a suspicion ends, and who shares it.
    expires_at: Micros,
    confirmed_by: BTreeSet<Name>,
}

/// A question under way.
#[derive(Debug)]
struct Probe {
    sequence: u32,
    target: Name,
    /// When others are asked, until they have been.
    indirect_at: Option<Micros>,
    acked: bool,
}

/// A question that another has asked to be asked.
#[derive(Debug)]
struct RelayedProbe {
    sequence: u32,
    requester: SocketAddr,
    requester_sequence: u32,
    expires_at: Micros,
}

/// One instance's view of all.
#[derive(Debug)]
pub struct Swim {
    settings: Settings,
    local: Update,
    members: BTreeMap<Name, Member>,
    /// The round's order, and how far it is.
    probe_order: Vec<Name>,
    probe_index: usize,
    probe: Option<Probe>,
    relayed_probes: VecDeque<RelayedProbe>,
    last_sequence: u32,
    probe_rounds: u32,
    next_probe_at: Micros,
    /// Ends of suspicions, and when the dead are forgotten.
    deadlines: BTreeSet<(Micros, Name)>,
    update_queue: GossipQueue<Update>,
    fact_queue: GossipQueue<Fact>,
    facts: FactStore,
    local_health: u32,
    seeds: Vec<SocketAddr>,
    /// When to join again, and the pause after that; none once somebody has answered.
    next_join: Option<(Micros, u32)>,
    name_conflicts: u32,
    silent: bool,
    send_allowance: f64,
    refilled_at: Micros,
    /// Messages that were not sent for want of bytes.
    pub throttled_sends: u64,
    rng: fastrand::Rng,
    outputs: VecDeque<Output>,
}

impl Swim {
    /// An instance that has just come; it knows nobody but seeds, which may name itself. Its incarnation only has to be
    /// likely to be higher than that of its life before; where it isn't it learns so.
    pub fn new(
        now: Micros,
        (name, address, zone): (Name, SocketAddr, Name),
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        settings: Settings,
        seed: u64,
    ) -> Swim {
        let mut rng = fastrand::Rng::with_seed(seed);
        // Thousands that start at once do not ask at once.
        let first = now + (rng.f64() * settings.period as f64) as Micros;
        let me = Update { name, address, zone, incarnation, state: State::Alive };
        let seeds = seeds.into_iter().filter(|seed| *seed != address).collect();
        Swim {
            settings,
            local: me,
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
            local_health: 0,
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

    /// The next thing to do.
    pub fn next_output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`ring`](Swim::ring) is due.
    pub fn next_deadline(&self) -> Micros {
        let indirect = self.probe.as_ref().filter(|probe| !probe.acked).and_then(|probe| probe.indirect_at);
        let ends = self.deadlines.first().map(|(at, _)| *at);
        let join = self.next_join.map(|(at, _)| at);
        [indirect, ends, join].into_iter().flatten().fold(self.next_probe_at, Micros::min)
    }

    /// All that are known besides this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// What is known of nodes.
    pub fn facts(&self) -> &FactStore {
        &self.facts
    }

    /// What is said of this one.
    pub fn local(&self) -> &Update {
        &self.local
    }

    /// How many are there, this one among them: those that answer, and those that are only suspected.
    pub fn alive_count(&self) -> usize {
        let is_active = |member: &&Member| matches!(member.update.state, State::Alive | State::Suspect);
        1 + self.members.values().filter(is_active).count()
    }

    /// How many may be sending to the same upstreams, this one among them. One that was never heard to leave may only be
    /// out of reach, and goes on: it counts for as long as it is known. Guards rule 4 through partitions; what it costs is
    /// that the parts of those who died are used by nobody until they are forgotten.
    pub fn sending_count(&self) -> usize {
        1 + self.members.values().filter(|member| member.update.state != State::Left).count()
    }

    /// This one's place among them, by name from 0: each that knows the same others has another.
    pub fn rank(&self) -> usize {
        let before =
            |member: &&Member| member.update.state != State::Left && member.update.name < self.local.name;
        self.members.values().filter(before).count()
    }

    /// Whether somebody has answered, or there is nobody to ask.
    pub fn is_joined(&self) -> bool {
        self.next_join.is_none() || self.seeds.is_empty()
    }

    /// Whether another has this one's name and this one has given way.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Something that this instance has seen and all should know.
    pub fn record_fact(&mut self, now: Micros, fact: Fact) {
        if self.facts.merge(&fact) {
            self.queue_fact(fact);
            self.push_facts(now);
        }
    }

    /// Says at once to some others what can't wait for the next question. Each that hears it does the same once, so all
    /// know within a few times a message's way.
    fn push_facts(&mut self, now: Micros) {
        let some =
            self.random_members(self.settings.indirect_probes, |member| member.update.state == State::Alive);
        some.into_iter().for_each(|(_, to)| self.send(now, to, Kind::News));
    }

    fn queue_fact(&mut self, fact: Fact) {
        let (repeats, key) = (self.transmissions(), (fact.pool.clone(), fact.node.clone()));
        self.fact_queue.push(fact, repeats, |old| (&old.pool, &old.node) == (&key.0, &key.1));
    }

    /// Says to some of the others that this one leaves.
    pub fn leave(&mut self, now: Micros) {
        self.local.state = State::Left;
        self.local.incarnation += 1;
        let some = self.random_members(self.settings.indirect_probes.max(3), |_| true);
        some.into_iter().for_each(|(_, to)| self.send(now, to, Kind::Members));
        self.silent = true;
    }

    /// What time brings.
    pub fn on_timer(&mut self, now: Micros) {
        while let Some((at, name)) = self.deadlines.first().cloned().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, name.clone()));
            self.on_deadline(now, &name);
        }
        if self.silent {
            // Its last question too: nobody will be asked to help with it, so it would be due for ever.
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

    /// What becomes of one whose suspicion, or whose time to be known, has ended.
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

    /// The last question was answered, or whom it was put to is suspected.
    fn finish_probe(&mut self, now: Micros) {
        let Some(probe) = self.probe.take() else { return };
        if probe.acked {
            self.local_health = self.local_health.saturating_sub(1);
            return;
        }
        self.local_health = (self.local_health + 1).min(MAX_LOCAL_HEALTH);
        let alive = self.members.get(&probe.target).filter(|member| member.update.state == State::Alive);
        if let Some(update) = alive.map(|member| Update { state: State::Suspect, ..member.update.clone() }) {
            let reporter = self.local.name.clone();
            self.apply_update(now, update, Some(reporter));
        }
    }

    fn probe_next(&mut self, now: Micros) {
        self.probe_rounds = self.probe_rounds.wrapping_add(1);
        if self.probe_rounds.is_multiple_of(SYNC_INTERVAL_ROUNDS) {
            // With any, held for dead or not: that is how the sides of a partition find each other.
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
        // One round asks each once, in an order of its own.
        let of = loop {
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
        let timeout = self.settings.ack_timeout * u64::from(1 + self.local_health);
        let indirect_at = Some(now + timeout.min(self.settings.period * 3 / 4));
        self.probe =
            Some(Probe { sequence: self.last_sequence, target: of.name.clone(), indirect_at, acked: false });
        // Whoever is suspected is told so first of all.
        let piggybacked = (of.state != State::Alive).then(|| of.clone());
        self.send_with(now, of.address, Kind::Ping(self.last_sequence), piggybacked);
    }

    fn probe_indirectly(&mut self, now: Micros) {
        let Some(probe) = self.probe.as_mut() else { return };
        probe.indirect_at = None;
        let (number, of) = (probe.sequence, probe.target.clone());
        let Some(address) = self.members.get(&of).map(|member| member.update.address) else { return };
        let helpers = self.random_members(self.settings.indirect_probes, |member| {
            member.update.state == State::Alive && member.update.name != of
        });
        for (_, helper) in helpers {
            self.send(now, helper, Kind::PingFor(number, address));
        }
    }

    /// So many at random of those that are so.
    fn random_members(&mut self, limit: usize, matches: impl Fn(&Member) -> bool) -> Vec<(Name, SocketAddr)> {
        let all: Vec<&Member> = self.members.values().filter(|member| matches(member)).collect();
        let chosen = self.rng.choose_multiple(all, limit);
        chosen.into_iter().map(|member| (member.update.name.clone(), member.update.address)).collect()
    }

    fn transmissions(&self) -> u32 {
        let size = self.members.len() as u32 + 2;
        self.settings.gossip_factor * size.next_power_of_two().ilog2()
    }

    /// How long a suspicion lasts that so many share.
    fn suspicion_timeout(&self, confirmations: usize) -> Micros {
        let size = (self.alive_count() as f64).max(2.0);
        let shortest = self.settings.suspicion_periods * size.log10().max(1.0) * self.settings.period as f64;
        let longest = shortest * self.settings.unconfirmed_factor.max(1.0);
        // With as many as are asked to help it is as short as it gets.
        let fraction =
            (confirmations as f64).ln_1p() / (self.settings.indirect_probes as f64).ln_1p().max(0.1);
        (longest - (longest - shortest) * fraction.min(1.0)) as Micros
    }

    fn send(&mut self, now: Micros, to: SocketAddr, kind: Kind) {
        self.send_with(now, to, kind, None);
    }

    fn refill_allowance(&mut self, now: Micros) {
        let span = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.send_allowance =
            (self.send_allowance + span * self.settings.bytes_per_second).min(self.settings.bytes_per_second);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn send_with(&mut self, now: Micros, to: SocketAddr, kind: Kind, first: Option<Update>) {
        self.refill_allowance(now);
        if self.send_allowance <= 0.0 {
            self.throttled_sends += 1;
            return;
        }
        let mut updates = vec![self.local.clone()];
        updates.extend(first);
        updates.extend(self.update_queue.take(MAX_PIGGYBACK_BYTES));
        let facts = self.fact_queue.take(MAX_PIGGYBACK_BYTES / 2);
        let message = Message { from: self.local.name.clone(), kind, updates, facts };
        self.send_allowance -= (encoded_size(&message) + PACKET_OVERHEAD_BYTES) as f64;
        self.outputs.push_back(Output::Send(to, message));
    }

    /// Some of those that are known, as many as fit.
    fn send_members(&mut self, now: Micros, to: SocketAddr) {
        self.refill_allowance(now);
        if self.send_allowance <= 0.0 {
            self.throttled_sends += 1;
            return;
        }
        let mut all: Vec<Update> = self.members.values().map(|member| member.update.clone()).collect();
        self.rng.shuffle(&mut all);
        let mut updates = vec![self.local.clone()];
        // Whoever has just come has missed what was said of nodes.
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

    /// A message has come.
    pub fn handle_message(&mut self, now: Micros, from: SocketAddr, message: Message) {
        if message.from == self.local.name {
            return self.handle_name_conflict(from);
        }
        let (received, known_before) = (message.updates.len(), self.members.len());
        for update in message.updates {
            let reporter = message.from.clone();
            self.apply_update(now, update, Some(reporter));
        }
        let new = self.members.len() - known_before.min(self.members.len());
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
            Kind::PingFor(asked, of) => {
                // No more than a period's worth of help at once: guards against one that asks without end.
                if self.relayed_probes.len() < 64 {
                    self.last_sequence = self.last_sequence.wrapping_add(1);
                    let until = now + self.settings.period;
                    let relayed = RelayedProbe {
                        sequence: self.last_sequence,
                        requester: from,
                        requester_sequence: asked,
                        expires_at: until,
                    };
                    self.relayed_probes.push_back(relayed);
                    self.send(now, of, Kind::Ping(self.last_sequence));
                }
                while self.relayed_probes.front().is_some_and(|relayed| relayed.expires_at <= now) {
                    self.relayed_probes.pop_front();
                }
            }
            Kind::Join => self.send_members(now, from),
            Kind::Members => {
                self.next_join = None;
                // Whoever knows few asks on while it learns much.
                if new * 8 > received {
                    self.send(now, from, Kind::Join);
                }
            }
            Kind::Grants(..) | Kind::News => {}
        }
    }

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

    /// Another has this one's name.
    fn handle_name_conflict(&mut self, with: SocketAddr) {
        if with == self.local.address || self.silent {
            return;
        }
        self.name_conflicts += 1;
        if self.name_conflicts == NAME_CONFLICT_THRESHOLD {
            self.silent = self.local.address > with;
            self.outputs.push_back(Output::Changed(Change::NameConflict(with, self.silent)));
        }
    }

    /// Believes what is said of an instance, if it is later than what is known; by whom it is said.
    fn apply_update(&mut self, now: Micros, update: Update, reporter: Option<Name>) {
        if update.name == self.local.name {
            return self.refute(update);
        }
        let Some(member) = self.members.get_mut(&update.name) else {
            // Who is dead and not known need not become known.
            if matches!(update.state, State::Alive | State::Suspect) && self.members.len() < MAX_MEMBERS {
                let name = update.name.clone();
                let member = Member {
                    update: update.clone(),
                    since: now,
                    expires_at: 0,
                    confirmed_by: BTreeSet::new(),
                };
                self.members.insert(name.clone(), member);
                // Somewhere in the round that goes on, so that it is asked soon and by all at different times.
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
            // Shared by one more: it ends sooner.
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
                let repeats = self.transmissions();
                self.update_queue.push(update.clone(), repeats, |old| old.name == update.name);
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

    /// Passes on what is new of an instance, and sees to when that ends.
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
        let repeats = self.transmissions();
        self.update_queue.push(update.clone(), repeats, |old| old.name == update.name);
    }

    /// Something is said of this one.
    fn refute(&mut self, reported: Update) {
        let unchanged = reported.address == self.local.address && reported.state == self.local.state;
        if reported.incarnation < self.local.incarnation
            || unchanged && reported.incarnation == self.local.incarnation
            || self.silent
        {
            return;
        }
        // Its life before, or what others believe while they can't hear it.
        self.local.incarnation = reported.incarnation.saturating_add(1);
        let (me, repeats) = (self.local.clone(), self.transmissions());
        self.update_queue.push(me.clone(), repeats, |old| old.name == me.name);
    }
}
