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

use crate::facts::{Known, News};
use crate::message::{Fact, Kind, MOST_PACKET, Message, Name, State, Update, size};

/// Times that an instance hears its own name from elsewhere before it believes that there is another of that name.
pub const QUARRELS: u32 = 3;
/// Most that are known at once, dead ones among them.
pub const MOST_MEMBERS: usize = 8_192;
/// Steps of patience beyond the usual, where one's own questions fail.
const MOST_DOUBT: u32 = 8;
/// Bytes of news beside a message. Guards the wire: a message is as long in any fleet.
const BESIDE: usize = 420;
/// Bytes around a message that are not its own (headers of the packet, of UDP and IP).
const AROUND: usize = 80;
/// Rounds between two comparisons with another, and between two questions to one that is held for dead.
const COMPARE: u32 = 16;
/// Longest pause between two tries to join, in periods.
const MOST_PAUSE: u32 = 32;

/// How it is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// From one question to the next.
    pub period: Micros,
    /// How long an answer may take before others are asked to help; a part of the period.
    pub patience: Micros,
    /// How many are asked to help.
    pub helpers: usize,
    /// Suspicion lasts so many periods for each factor of ten of the fleet's size, if others share it.
    pub suspicion: f64,
    /// A lonely one lasts so many times as long.
    pub lonely: f64,
    /// News are said so many times for each factor of two of the fleet's size.
    pub repeats: u32,
    /// Bytes that may be sent each second.
    pub bytes: f64,
    /// How long the dead are known.
    pub forget: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            period: 1_000_000,
            patience: 300_000,
            helpers: 3,
            suspicion: 4.0,
            lonely: 4.0,
            repeats: 3,
            bytes: 20_000.0,
            forget: 3_600_000_000,
        }
    }
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message.
    Send(SocketAddr, Message),
    /// Something has changed.
    Told(Change),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// An instance is there, for the first time or again.
    Came(Name),
    /// It doesn't answer.
    Suspected(Name),
    /// It is held for dead.
    Died(Name),
    /// It has said that it leaves.
    Left(Name),
    /// Something new was heard of a node.
    Fact(Fact),
    /// Another has this one's name, there. This one has fallen silent, or not.
    Twin(SocketAddr, bool),
}

/// What is known of another.
#[derive(Clone, Debug)]
pub struct Member {
    /// What was said last.
    pub update: Update,
    /// Since when it is as it is.
    pub since: Micros,
    /// When a suspicion ends, and who shares it.
    ends: Micros,
    shared_by: BTreeSet<Name>,
}

/// A question under way.
#[derive(Debug)]
struct Question {
    number: u32,
    of: Name,
    /// When others are asked, until they have been.
    help_at: Option<Micros>,
    answered: bool,
}

/// A question that another has asked to be asked.
#[derive(Debug)]
struct Helped {
    number: u32,
    asker: SocketAddr,
    askers: u32,
    until: Micros,
}

/// One instance's view of all.
#[derive(Debug)]
pub struct Swim {
    settings: Settings,
    me: Update,
    members: BTreeMap<Name, Member>,
    /// The round's order, and how far it is.
    round: Vec<Name>,
    at: usize,
    question: Option<Question>,
    helped: VecDeque<Helped>,
    number: u32,
    rounds: u32,
    next: Micros,
    /// Ends of suspicions, and when the dead are forgotten.
    ends: BTreeSet<(Micros, Name)>,
    news: News<Update>,
    said: News<Fact>,
    known: Known,
    doubt: u32,
    seeds: Vec<SocketAddr>,
    /// When to join again, and the pause after that; none once somebody has answered.
    join: Option<(Micros, u32)>,
    quarrels: u32,
    silent: bool,
    left: f64,
    filled: Micros,
    /// Messages that were not sent for want of bytes.
    pub held_back: u64,
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
            me,
            members: BTreeMap::new(),
            round: Vec::new(),
            at: 0,
            question: None,
            helped: VecDeque::new(),
            number: 0,
            rounds: 0,
            next: first,
            ends: BTreeSet::new(),
            news: News::default(),
            said: News::default(),
            known: Known::default(),
            doubt: 0,
            seeds,
            join: Some((first, 1)),
            quarrels: 0,
            silent: false,
            left: settings.bytes,
            filled: now,
            held_back: 0,
            rng,
            outputs: VecDeque::new(),
        }
    }

    /// The next thing to do.
    pub fn output(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// When [`ring`](Swim::ring) is due.
    pub fn due(&self) -> Micros {
        let help = self.question.as_ref().filter(|q| !q.answered).and_then(|q| q.help_at);
        let ends = self.ends.first().map(|(at, _)| *at);
        let join = self.join.map(|(at, _)| at);
        [help, ends, join].into_iter().flatten().fold(self.next, Micros::min)
    }

    /// All that are known besides this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// What is known of nodes.
    pub fn known(&self) -> &Known {
        &self.known
    }

    /// What is said of this one.
    pub fn me(&self) -> &Update {
        &self.me
    }

    /// How many are there, this one among them: those that answer, and those that are only suspected.
    pub fn alive(&self) -> usize {
        let there = |m: &&Member| matches!(m.update.state, State::Alive | State::Suspect);
        1 + self.members.values().filter(there).count()
    }

    /// How many may be sending to the same upstreams, this one among them. One that was never heard to leave may only be
    /// out of reach, and goes on: it counts for as long as it is known. Guards rule 4 through partitions; what it costs is
    /// that the parts of those who died are used by nobody until they are forgotten.
    pub fn sending(&self) -> usize {
        1 + self.members.values().filter(|m| m.update.state != State::Left).count()
    }

    /// This one's place among them, by name from 0: each that knows the same others has another.
    pub fn place(&self) -> usize {
        let before = |m: &&Member| m.update.state != State::Left && m.update.name < self.me.name;
        self.members.values().filter(before).count()
    }

    /// Whether somebody has answered, or there is nobody to ask.
    pub fn joined(&self) -> bool {
        self.join.is_none() || self.seeds.is_empty()
    }

    /// Whether another has this one's name and this one has given way.
    pub fn silent(&self) -> bool {
        self.silent
    }

    /// Something that this instance has seen and all should know.
    pub fn see(&mut self, now: Micros, fact: Fact) {
        if self.known.merge(&fact) {
            self.say(fact);
            self.push(now);
        }
    }

    /// Says at once to some others what can't wait for the next question. Each that hears it does the same once, so all
    /// know within a few times a message's way.
    fn push(&mut self, now: Micros) {
        let some = self.some(self.settings.helpers, |m| m.update.state == State::Alive);
        some.into_iter().for_each(|(_, to)| self.send(now, to, Kind::News));
    }

    fn say(&mut self, fact: Fact) {
        let (repeats, key) = (self.repeats(), (fact.pool.clone(), fact.node.clone()));
        self.said.say(fact, repeats, |old| (&old.pool, &old.node) == (&key.0, &key.1));
    }

    /// Says to some of the others that this one leaves.
    pub fn leave(&mut self, now: Micros) {
        self.me.state = State::Left;
        self.me.incarnation += 1;
        let some = self.some(self.settings.helpers.max(3), |_| true);
        some.into_iter().for_each(|(_, to)| self.send(now, to, Kind::Members));
        self.silent = true;
    }

    /// What time brings.
    pub fn ring(&mut self, now: Micros) {
        while let Some((at, name)) = self.ends.first().cloned().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, name.clone()));
            self.ended(now, &name);
        }
        if self.silent {
            // Its last question too: nobody will be asked to help with it, so it would be due for ever.
            (self.next, self.join, self.question) = (now + self.settings.period, None, None);
            return;
        }
        if let Some((at, pause)) = self.join.filter(|(at, _)| *at <= now) {
            let _ = at;
            self.rng.shuffle(&mut self.seeds);
            let seeds: Vec<SocketAddr> = self.seeds.iter().take(2).copied().collect();
            seeds.into_iter().for_each(|to| self.send(now, to, Kind::Join));
            let drawn = 0.5 + self.rng.f64();
            let again = now + (f64::from(pause) * drawn * self.settings.period as f64) as Micros;
            self.join = (!self.seeds.is_empty()).then_some((again, (2 * pause).min(MOST_PAUSE)));
        }
        if self.question.as_ref().is_some_and(|q| !q.answered && q.help_at.is_some_and(|at| at <= now)) {
            self.ask_for_help(now);
        }
        if now >= self.next {
            self.conclude(now);
            self.next = now + self.settings.period;
            self.ask_next(now);
        }
    }

    /// What becomes of one whose suspicion, or whose time to be known, has ended.
    fn ended(&mut self, now: Micros, name: &Name) {
        let Some(member) = self.members.get(name) else { return };
        match member.update.state {
            State::Suspect => {
                let update = Update { state: State::Dead, ..member.update.clone() };
                self.take(now, update, None);
            }
            State::Dead | State::Left => _ = self.members.remove(name),
            State::Alive => {}
        }
    }

    /// The last question was answered, or whom it was put to is suspected.
    fn conclude(&mut self, now: Micros) {
        let Some(question) = self.question.take() else { return };
        if question.answered {
            self.doubt = self.doubt.saturating_sub(1);
            return;
        }
        self.doubt = (self.doubt + 1).min(MOST_DOUBT);
        let alive = self.members.get(&question.of).filter(|m| m.update.state == State::Alive);
        if let Some(update) = alive.map(|m| Update { state: State::Suspect, ..m.update.clone() }) {
            let by = self.me.name.clone();
            self.take(now, update, Some(by));
        }
    }

    fn ask_next(&mut self, now: Micros) {
        self.rounds = self.rounds.wrapping_add(1);
        if self.rounds.is_multiple_of(COMPARE) {
            // With any, held for dead or not: that is how the sides of a partition find each other.
            if let Some((_, to)) = self.some(1, |_| true).pop() {
                self.send(now, to, Kind::Join);
            }
        }
        if self.rounds % COMPARE == COMPARE / 2
            && let Some((name, to)) = self.some(1, |m| m.update.state == State::Dead).pop()
        {
            self.number = self.number.wrapping_add(1);
            let said = self.members.get(&name).map(|m| m.update.clone());
            self.send_with(now, to, Kind::Ping(self.number), said);
        }
        // One round asks each once, in an order of its own.
        let of = loop {
            if self.at >= self.round.len() {
                let there = |m: &&Member| matches!(m.update.state, State::Alive | State::Suspect);
                self.round = self.members.values().filter(there).map(|m| m.update.name.clone()).collect();
                self.rng.shuffle(&mut self.round);
                self.at = 0;
                if self.round.is_empty() {
                    return;
                }
            }
            let name = self.round[self.at].clone();
            self.at += 1;
            let there = |m: &&Member| matches!(m.update.state, State::Alive | State::Suspect);
            if let Some(member) = self.members.get(&name).filter(there) {
                break member.update.clone();
            }
        };
        self.number = self.number.wrapping_add(1);
        let wait = self.settings.patience * u64::from(1 + self.doubt);
        let help_at = Some(now + wait.min(self.settings.period * 3 / 4));
        self.question = Some(Question { number: self.number, of: of.name.clone(), help_at, answered: false });
        // Whoever is suspected is told so first of all.
        let said = (of.state != State::Alive).then(|| of.clone());
        self.send_with(now, of.address, Kind::Ping(self.number), said);
    }

    fn ask_for_help(&mut self, now: Micros) {
        let Some(question) = self.question.as_mut() else { return };
        question.help_at = None;
        let (number, of) = (question.number, question.of.clone());
        let Some(address) = self.members.get(&of).map(|m| m.update.address) else { return };
        let helpers =
            self.some(self.settings.helpers, |m| m.update.state == State::Alive && m.update.name != of);
        for (_, helper) in helpers {
            self.send(now, helper, Kind::PingFor(number, address));
        }
    }

    /// So many at random of those that are so.
    fn some(&mut self, most: usize, so: impl Fn(&Member) -> bool) -> Vec<(Name, SocketAddr)> {
        let all: Vec<&Member> = self.members.values().filter(|m| so(m)).collect();
        let chosen = self.rng.choose_multiple(all, most);
        chosen.into_iter().map(|m| (m.update.name.clone(), m.update.address)).collect()
    }

    fn repeats(&self) -> u32 {
        let size = self.members.len() as u32 + 2;
        self.settings.repeats * size.next_power_of_two().ilog2()
    }

    /// How long a suspicion lasts that so many share.
    fn suspicion(&self, shared_by: usize) -> Micros {
        let size = (self.alive() as f64).max(2.0);
        let least = self.settings.suspicion * size.log10().max(1.0) * self.settings.period as f64;
        let most = least * self.settings.lonely.max(1.0);
        // With as many as are asked to help it is as short as it gets.
        let part = (shared_by as f64).ln_1p() / (self.settings.helpers as f64).ln_1p().max(0.1);
        (most - (most - least) * part.min(1.0)) as Micros
    }

    fn send(&mut self, now: Micros, to: SocketAddr, kind: Kind) {
        self.send_with(now, to, kind, None);
    }

    fn fill(&mut self, now: Micros) {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        self.left = (self.left + span * self.settings.bytes).min(self.settings.bytes);
        self.filled = self.filled.max(now);
    }

    fn send_with(&mut self, now: Micros, to: SocketAddr, kind: Kind, first: Option<Update>) {
        self.fill(now);
        if self.left <= 0.0 {
            self.held_back += 1;
            return;
        }
        let mut updates = vec![self.me.clone()];
        updates.extend(first);
        updates.extend(self.news.take(BESIDE));
        let facts = self.said.take(BESIDE / 2);
        let message = Message { from: self.me.name.clone(), kind, updates, facts };
        self.left -= (size(&message) + AROUND) as f64;
        self.outputs.push_back(Output::Send(to, message));
    }

    /// Some of those that are known, as many as fit.
    fn page(&mut self, now: Micros, to: SocketAddr) {
        self.fill(now);
        if self.left <= 0.0 {
            self.held_back += 1;
            return;
        }
        let mut all: Vec<Update> = self.members.values().map(|m| m.update.clone()).collect();
        self.rng.shuffle(&mut all);
        let mut updates = vec![self.me.clone()];
        // Whoever has just come has missed what was said of nodes.
        let facts = self.known.some(&mut self.rng, BESIDE);
        let mut bytes = MOST_PACKET - 200 - facts.iter().map(size).sum::<usize>();
        for update in all {
            let Some(left) = bytes.checked_sub(size(&update)) else { break };
            bytes = left;
            updates.push(update);
        }
        let message = Message { from: self.me.name.clone(), kind: Kind::Members, updates, facts };
        self.left -= (size(&message) + AROUND) as f64;
        self.outputs.push_back(Output::Send(to, message));
    }

    /// A message has come.
    pub fn heard(&mut self, now: Micros, from: SocketAddr, message: Message) {
        if message.from == self.me.name {
            return self.quarrel(from);
        }
        let (told, known) = (message.updates.len(), self.members.len());
        for update in message.updates {
            let by = message.from.clone();
            self.take(now, update, Some(by));
        }
        let new = self.members.len() - known.min(self.members.len());
        let mut news = false;
        for fact in message.facts {
            if self.known.merge(&fact) {
                news = true;
                self.say(fact.clone());
                self.outputs.push_back(Output::Told(Change::Fact(fact)));
            }
        }
        if news && !self.silent {
            self.push(now);
        }
        if self.silent {
            return;
        }
        match message.kind {
            Kind::Ping(number) => self.send(now, from, Kind::Ack(number)),
            Kind::Ack(number) => self.answered(now, number),
            Kind::PingFor(asked, of) => {
                // No more than a period's worth of help at once: guards against one that asks without end.
                if self.helped.len() < 64 {
                    self.number = self.number.wrapping_add(1);
                    let until = now + self.settings.period;
                    let helped = Helped { number: self.number, asker: from, askers: asked, until };
                    self.helped.push_back(helped);
                    self.send(now, of, Kind::Ping(self.number));
                }
                while self.helped.front().is_some_and(|helped| helped.until <= now) {
                    self.helped.pop_front();
                }
            }
            Kind::Join => self.page(now, from),
            Kind::Members => {
                self.join = None;
                // Whoever knows few asks on while it learns much.
                if new * 8 > told {
                    self.send(now, from, Kind::Join);
                }
            }
            Kind::Grants(..) | Kind::News => {}
        }
    }

    fn answered(&mut self, now: Micros, number: u32) {
        if let Some(question) = self.question.as_mut().filter(|q| q.number == number) {
            question.answered = true;
            return;
        }
        let at = self.helped.iter().position(|helped| helped.number == number && now < helped.until);
        if let Some(helped) = at.and_then(|at| self.helped.remove(at)) {
            self.send(now, helped.asker, Kind::Ack(helped.askers));
        }
    }

    /// Another has this one's name.
    fn quarrel(&mut self, with: SocketAddr) {
        if with == self.me.address || self.silent {
            return;
        }
        self.quarrels += 1;
        if self.quarrels == QUARRELS {
            self.silent = self.me.address > with;
            self.outputs.push_back(Output::Told(Change::Twin(with, self.silent)));
        }
    }

    /// Believes what is said of an instance, if it is later than what is known; by whom it is said.
    fn take(&mut self, now: Micros, update: Update, by: Option<Name>) {
        if update.name == self.me.name {
            return self.refute(update);
        }
        let Some(member) = self.members.get_mut(&update.name) else {
            // Who is dead and not known need not become known.
            if matches!(update.state, State::Alive | State::Suspect) && self.members.len() < MOST_MEMBERS {
                let name = update.name.clone();
                let member =
                    Member { update: update.clone(), since: now, ends: 0, shared_by: BTreeSet::new() };
                self.members.insert(name.clone(), member);
                // Somewhere in the round that goes on, so that it is asked soon and by all at different times.
                let at = self.rng.usize(self.at.min(self.round.len())..=self.round.len());
                self.round.insert(at, name.clone());
                self.outputs.push_back(Output::Told(Change::Came(name)));
                self.changed(now, &update, by);
            }
            return;
        };
        let (before, after) =
            ((member.update.incarnation, member.update.state), (update.incarnation, update.state));
        if after == before && update.state == State::Suspect {
            // Shared by one more: it ends sooner.
            if by.is_some_and(|by| member.shared_by.len() < 16 && member.shared_by.insert(by)) {
                let (since, ends, shared) = (member.since, member.ends, member.shared_by.len());
                let sooner = ends.min(since + self.suspicion(shared.saturating_sub(1)));
                self.ends.remove(&(ends, update.name.clone()));
                self.ends.insert((sooner, update.name.clone()));
                if let Some(member) = self.members.get_mut(&update.name) {
                    member.ends = sooner;
                }
                let repeats = self.repeats();
                self.news.say(update.clone(), repeats, |old| old.name == update.name);
            }
            return;
        }
        if after <= before {
            return;
        }
        let was = member.update.state;
        self.ends.remove(&(member.ends, update.name.clone()));
        (member.update, member.since) = (update.clone(), now);
        member.shared_by.clear();
        let there = |state| matches!(state, State::Alive | State::Suspect);
        let change = match (was, update.state) {
            (State::Dead | State::Left, State::Alive) => Some(Change::Came(update.name.clone())),
            (was, State::Suspect) if was != State::Suspect => Some(Change::Suspected(update.name.clone())),
            (was, State::Dead) if there(was) => Some(Change::Died(update.name.clone())),
            (was, State::Left) if was != State::Left => Some(Change::Left(update.name.clone())),
            _ => None,
        };
        self.outputs.extend(change.map(Output::Told));
        self.changed(now, &update, by);
    }

    /// Passes on what is new of an instance, and sees to when that ends.
    fn changed(&mut self, now: Micros, update: &Update, by: Option<Name>) {
        let ends = match update.state {
            State::Alive => None,
            State::Suspect => Some(now + self.suspicion(0)),
            State::Dead | State::Left => Some(now + self.settings.forget),
        };
        if let Some(member) = self.members.get_mut(&update.name) {
            member.ends = ends.unwrap_or(0);
            member.shared_by.extend(by.filter(|_| update.state == State::Suspect));
        }
        self.ends.extend(ends.map(|at| (at, update.name.clone())));
        let repeats = self.repeats();
        self.news.say(update.clone(), repeats, |old| old.name == update.name);
    }

    /// Something is said of this one.
    fn refute(&mut self, said: Update) {
        let same = said.address == self.me.address && said.state == self.me.state;
        if said.incarnation < self.me.incarnation
            || same && said.incarnation == self.me.incarnation
            || self.silent
        {
            return;
        }
        // Its life before, or what others believe while they can't hear it.
        self.me.incarnation = said.incarnation.saturating_add(1);
        let (me, repeats) = (self.me.clone(), self.repeats());
        self.news.say(me.clone(), repeats, |old| old.name == me.name);
    }
}
