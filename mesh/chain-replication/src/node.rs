//! One core machine: its place in the chain, its promises, and what it owes to others.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::message::{Ballot, Entry, Lacked, Member, Message, Peer, Position, Standing, View};
use crate::proposal::{Promise, Proposal};
use crate::standing::Others;
use crate::{Row, Tables};

/// Most updates that are kept for those that lack a few.
const MOST_RECENT: usize = 4096;
/// Most bytes of them.
const MOST_RECENT_BYTES: usize = 8 << 20;
/// Most entries of one message, and about their most bytes.
const MOST_SENT: usize = 512;
const MOST_SENT_BYTES: usize = 1 << 20;

/// How far ballots go up when a machine without memory is to be taken in.
const NEW_DISK_STEP: u64 = 1 << 20;

/// What a machine is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This machine.
    pub me: Peer,
    /// All machines that vote, this one among them.
    pub founders: Vec<Peer>,
    /// Milliseconds between two words to each of the others.
    pub beat: u64,
    /// Milliseconds without a word after which a machine counts as lost.
    pub silence: u64,
    /// Milliseconds after which what was not answered is sent again.
    pub again: u64,
}

/// What a machine must not forget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The machines that vote.
    pub founders: Vec<Peer>,
    /// This disk's number.
    pub disk: u64,
    /// Promises of this machine count.
    pub remembers: bool,
    /// The highest ballot promised.
    pub promised: Ballot,
    /// The view accepted last.
    pub view: Option<View>,
    /// How far the state goes.
    pub held: Position,
    /// The stamp of its last update.
    pub stamp: u64,
}

impl Kept {
    /// What a new disk holds. It remembers from the beginning only where the whole system begins.
    pub fn new(founders: Vec<Peer>, disk: u64, first: bool) -> Kept {
        let none = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let ballot = Ballot { number: 0, proposer: none };
        let held = Position { ballot, sequence: 0 };
        Kept { founders, disk, remembers: first, promised: ballot, view: None, held, stamp: 0 }
    }
}

/// What is to be written, in one piece and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Told back by [`Node::written`] when this and all before it is synced.
    pub token: u64,
    /// Replaces what was kept.
    pub kept: Kept,
    /// Rows that change.
    pub rows: Vec<Row>,
    /// All other rows go.
    pub replace: bool,
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
    /// An update that was submitted here is kept by all.
    Result {
        /// Its number.
        number: u64,
        /// What came of it.
        result: Bytes,
    },
}

/// What follows once something is on disk.
enum Then {
    Synced(u64),
    Promise(Peer, Ballot),
}

/// An update that is to get into the chain.
struct Submitted {
    update: Bytes,
    sent: Option<u64>,
}

/// A core machine.
pub struct Node<T> {
    settings: Settings,
    kept: Kept,
    tables: T,
    others: Others,
    now: u64,
    /// This machine works in its view: it has held what the view began with since this start of its process.
    active: bool,
    /// When the view was accepted.
    active_since: u64,
    healthy: bool,
    recent: VecDeque<Entry>,
    recent_bytes: usize,
    /// Up to here this machine's disk holds everything.
    synced: u64,
    /// Up to here all members before have it on disk.
    before_synced: u64,
    /// What the member after was told last of that.
    told: u64,
    committed: u64,
    progress: u64,
    /// At the head: updates in the chain that are not known to be kept by all, by whoever asked.
    entered: HashSet<(Peer, u64)>,
    /// At the tail: results that wait for the commit.
    results: BTreeMap<u64, (Peer, u64, Bytes)>,
    submitted: HashMap<u64, Submitted>,
    outgoing: Vec<Entry>,
    rows: Vec<Row>,
    replace: bool,
    dirty: bool,
    then: Vec<Then>,
    waits: VecDeque<(u64, Vec<Then>)>,
    token: u64,
    outputs: Vec<Output>,
    beat_at: u64,
    proposal: Option<Proposal>,
    /// The view that this machine is to enter once it holds its beginning.
    entering: Option<(View, Position, Peer, u64)>,
    /// Since when something is wrong with the view.
    wrong: Option<u64>,
    /// Since when a machine could be taken in.
    joining: Option<u64>,
    quiet_until: u64,
    /// The last stamp, and when it was seen.
    stamped: (u64, u64),
}

impl<T: Tables> Node<T> {
    /// A machine as it starts, with what its disk holds; `tables` is loaded.
    pub fn new(settings: Settings, kept: Kept, tables: T, now: u64) -> Node<T> {
        let me = settings.me;
        let others = settings.founders.iter().copied().filter(|p| *p != me);
        let others = Others::new(others, settings.silence);
        let (synced, stamped) = (kept.held.sequence, (kept.stamp, now));
        Node {
            settings,
            kept,
            tables,
            others,
            now,
            active: false,
            active_since: 0,
            healthy: true,
            recent: VecDeque::new(),
            recent_bytes: 0,
            synced,
            before_synced: 0,
            told: 0,
            committed: 0,
            progress: now,
            entered: HashSet::new(),
            results: BTreeMap::new(),
            submitted: HashMap::new(),
            outgoing: Vec::new(),
            rows: Vec::new(),
            replace: false,
            dirty: true,
            then: Vec::new(),
            waits: VecDeque::new(),
            token: 0,
            outputs: Vec::new(),
            beat_at: now,
            proposal: None,
            entering: None,
            wrong: None,
            joining: None,
            quiet_until: 0,
            stamped,
        }
    }

    /// The state, as far as this machine has it.
    pub fn tables(&self) -> &T {
        &self.tables
    }

    /// How far the state goes.
    pub fn held(&self) -> Position {
        self.kept.held
    }

    /// Up to here every member has it on disk, as far as this machine knows.
    pub fn committed(&self) -> u64 {
        self.committed
    }

    /// This machine works in its view.
    pub fn active(&self) -> bool {
        self.active
    }

    /// The view that was accepted last.
    pub fn view(&self) -> Option<&View> {
        self.kept.view.as_ref()
    }

    /// What must not be forgotten.
    pub fn kept(&self) -> &Kept {
        &self.kept
    }

    /// The founders that are heard, and what they tell.
    pub fn standings(&self) -> Vec<Standing> {
        self.others.all(self.now).cloned().collect()
    }

    fn me(&self) -> Member {
        Member { peer: self.settings.me, disk: self.kept.disk }
    }

    fn place(&self) -> Option<usize> {
        let me = self.me();
        self.kept.view.as_ref().filter(|_| self.active)?.members.iter().position(|m| *m == me)
    }

    fn ballot(&self) -> Option<Ballot> {
        self.kept.view.as_ref().map(|v| v.ballot)
    }

    fn head(&self) -> Option<Peer> {
        Some(self.kept.view.as_ref()?.members.first()?.peer)
    }

    fn neighbour(&self, after: bool) -> Option<Peer> {
        let place = self.place()?;
        let at = if after { place + 1 } else { place.checked_sub(1)? };
        Some(self.kept.view.as_ref()?.members.get(at)?.peer)
    }

    fn is_tail(&self) -> bool {
        self.place().is_some() && self.neighbour(true).is_none()
    }

    fn send(&mut self, to: Peer, message: Message) {
        self.outputs.push(Output::Send { to, message });
    }

    fn spread(&mut self, message: &Message) {
        let me = self.settings.me;
        let peers: Vec<Peer> = self.settings.founders.iter().copied().filter(|p| *p != me).collect();
        peers.into_iter().for_each(|to| self.send(to, message.clone()));
    }

    /// What is to be done; what was gathered since goes out together.
    pub fn outputs(&mut self) -> Vec<Output> {
        if !self.outgoing.is_empty() {
            let entries = std::mem::take(&mut self.outgoing);
            self.pass_on(entries);
        }
        if self.dirty || !self.rows.is_empty() || self.replace {
            self.token += 1;
            let write = Write {
                token: self.token,
                kept: self.kept.clone(),
                rows: std::mem::take(&mut self.rows),
                replace: std::mem::take(&mut self.replace),
            };
            self.dirty = false;
            self.waits.push_back((self.token, std::mem::take(&mut self.then)));
            self.outputs.push(Output::Write(write));
        }
        std::mem::take(&mut self.outputs)
    }

    fn pass_on(&mut self, entries: Vec<Entry>) {
        let (Some(ballot), Some(next)) = (self.ballot(), self.neighbour(true)) else { return };
        let synced = self.synced.min(self.before_synced);
        self.told = synced;
        self.send(next, Message::Updates { ballot, entries, synced });
    }

    /// Everything up to this write is on disk.
    pub fn written(&mut self, now: u64, token: u64) {
        self.now = now;
        while self.waits.front().is_some_and(|(t, _)| *t <= token) {
            let Some((_, then)) = self.waits.pop_front() else { break };
            for then in then {
                match then {
                    Then::Synced(sequence) => {
                        self.synced = self.synced.max(sequence);
                        self.advance();
                    }
                    Then::Promise(to, ballot) => self.promise(to, ballot),
                }
            }
        }
    }

    /// The disk takes no writes, or takes them again. One that has failed starts anew from its disk.
    pub fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
        if !healthy {
            self.active = false;
        }
    }

    fn promise(&mut self, to: Peer, ballot: Ballot) {
        if self.kept.promised != ballot {
            return;
        }
        let member = self.me();
        let (remembers, view, held) = (self.kept.remembers, self.kept.view.clone(), self.kept.held);
        if to == self.settings.me {
            let promise = Promise { member, remembers, view, held };
            self.promised(ballot, promise);
        } else {
            self.send(to, Message::Sealed { ballot, member, remembers, view, held });
        }
    }

    /// Submits an update under a number of the caller's. It is sent again until [`forget`](Node::forget) or its result.
    pub fn submit(&mut self, now: u64, number: u64, update: Bytes) {
        self.now = now;
        self.submitted.insert(number, Submitted { update, sent: None });
        self.press(number);
    }

    /// Nobody waits for it any more. It may have happened.
    pub fn forget(&mut self, number: u64) {
        self.submitted.remove(&number);
    }

    fn press(&mut self, number: u64) {
        let (Some(head), now) = (self.head(), self.now) else { return };
        let mine = head == self.settings.me;
        if mine && !self.active {
            return;
        }
        let Some(submitted) = self.submitted.get_mut(&number) else { return };
        submitted.sent = Some(now);
        let update = submitted.update.clone();
        if mine {
            self.enter(self.settings.me, number, update);
        } else {
            self.send(head, Message::Submit { number, update });
        }
    }

    /// At the head: an update gets its place.
    fn enter(&mut self, origin: Peer, number: u64, update: Bytes) {
        if self.place() != Some(0) {
            return;
        }
        let Some(ballot) = self.ballot() else { return };
        // Guards a slow chain against those that ask again while it is at it.
        if number != 0 && !self.entered.insert((origin, number)) {
            return;
        }
        let stamp = self.stamped.0 + self.now.saturating_sub(self.stamped.1);
        let position = Position { ballot, sequence: self.kept.held.sequence + 1 };
        self.take(Entry { position, stamp, origin, number, update });
    }

    /// The next update in the chain.
    fn take(&mut self, entry: Entry) {
        if self.committed == self.kept.held.sequence {
            self.progress = self.now;
        }
        let applied = if entry.update.is_empty() {
            crate::Applied::default()
        } else {
            self.tables.apply(entry.stamp, &entry.update)
        };
        self.kept.held = entry.position;
        self.kept.stamp = entry.stamp;
        self.stamped = (entry.stamp, self.now);
        self.rows.extend(applied.rows);
        self.dirty = true;
        let sequence = entry.position.sequence;
        match self.then.last_mut() {
            Some(Then::Synced(last)) => *last = sequence,
            _ => self.then.push(Then::Synced(sequence)),
        }
        if self.is_tail() {
            self.results.insert(sequence, (entry.origin, entry.number, applied.result));
        } else if self.active {
            self.outgoing.push(entry.clone());
        }
        self.remember(entry);
    }

    fn remember(&mut self, entry: Entry) {
        self.recent_bytes += entry.update.len();
        self.recent.push_back(entry);
        while self.recent.len() > MOST_RECENT
            || (self.recent_bytes > MOST_RECENT_BYTES && self.recent.len() > 1)
        {
            let Some(first) = self.recent.pop_front() else { break };
            self.recent_bytes -= first.update.len();
        }
    }

    /// Updates after a number, if they are still here; a few at a time.
    fn after(&self, sequence: u64) -> Option<Vec<Entry>> {
        if sequence == self.kept.held.sequence {
            return Some(Vec::new());
        }
        let first = self.recent.front()?.position.sequence;
        let skip = (sequence + 1).checked_sub(first)? as usize;
        let mut bytes = 0;
        let few = |e: &&Entry| {
            bytes += e.update.len();
            bytes <= MOST_SENT_BYTES || bytes == e.update.len()
        };
        Some(self.recent.iter().skip(skip).take(MOST_SENT).take_while(few).cloned().collect())
    }

    /// What is on disk here, and before, has grown.
    fn advance(&mut self) {
        if self.place().is_none() {
            return;
        }
        let through = self.synced.min(self.before_synced).min(self.kept.held.sequence);
        if !self.is_tail() {
            if through > self.told && self.outgoing.is_empty() {
                self.pass_on(Vec::new());
            }
            return;
        }
        if through <= self.committed {
            return;
        }
        let before = std::mem::replace(&mut self.committed, through);
        self.progress = self.now;
        self.kept_by_all(before);
        let Some(ballot) = self.ballot() else { return };
        let peers: Vec<Peer> = self.kept.view.iter().flat_map(|v| &v.members).map(|m| m.peer).collect();
        let me = self.settings.me;
        for to in peers.into_iter().filter(|p| *p != me) {
            self.send(to, Message::Committed { ballot, sequence: through });
        }
        let rest = self.results.split_off(&(through + 1));
        for (_, (origin, number, result)) in std::mem::replace(&mut self.results, rest) {
            if number != 0 {
                self.tell(origin, number, result);
            }
        }
    }

    /// All members of the view have accepted it: from now on the promises of this disk count. Guards against promises
    /// that a lost disk of this machine has made: whoever gathered them promised higher itself, and would not be here.
    fn kept_by_all(&mut self, before: u64) {
        if !self.entered.is_empty() {
            let new = |e: &&Entry| e.position.sequence > before;
            let done = self.recent.iter().rev().skip_while(|e| e.position.sequence > self.committed);
            done.take_while(new).for_each(|e| _ = self.entered.remove(&(e.origin, e.number)));
        }
        if !self.kept.remembers {
            self.kept.remembers = true;
            self.dirty = true;
        }
    }

    fn tell(&mut self, origin: Peer, number: u64, result: Bytes) {
        if origin != self.settings.me {
            self.send(origin, Message::Result { number, result });
        } else if self.submitted.remove(&number).is_some() {
            self.outputs.push(Output::Result { number, result });
        }
    }

    /// A message came.
    pub fn receive(&mut self, now: u64, from: Peer, message: Message) {
        self.now = now;
        self.others.heard(now, from, if let Message::Standing(s) = &message { Some(s) } else { None });
        match message {
            // Again and again: the word of a commit may have been lost.
            Message::Standing(standing) => {
                let tail = self.kept.view.as_ref().and_then(|v| v.members.last()).copied();
                if standing.active && Some(standing.member) == tail && standing.member.peer == from {
                    self.told_committed(standing.view, standing.committed);
                }
            }
            Message::Seal { ballot } => self.sealed_by(from, ballot),
            Message::Sealed { ballot, member, remembers, view, held } => {
                if member.peer == from {
                    self.promised(ballot, Promise { member, remembers, view, held });
                }
            }
            Message::Declined { .. } => {
                self.proposal = None;
                self.quiet_until = now + self.settings.again * 2;
            }
            Message::Install { view, base, source } => self.install(view, base, source),
            Message::Fetch { ballot, held } => self.fetched(from, ballot, held),
            Message::State { ballot, lacked } => self.filled(ballot, lacked),
            Message::Updates { ballot, entries, synced } => self.updates(from, ballot, entries, synced),
            Message::Behind { ballot, sequence } => {
                if self.active && self.ballot() == Some(ballot) && self.neighbour(true) == Some(from) {
                    self.resend(sequence);
                }
            }
            Message::Committed { ballot, sequence } => self.told_committed(Some(ballot), sequence),
            Message::Submit { number, update } => self.enter(from, number, update),
            Message::Result { number, result } => {
                if self.submitted.remove(&number).is_some() {
                    self.outputs.push(Output::Result { number, result });
                }
            }
        }
    }

    fn told_committed(&mut self, ballot: Option<Ballot>, sequence: u64) {
        let here = self.active && self.ballot() == ballot && sequence <= self.kept.held.sequence;
        if here && sequence > self.committed {
            let before = std::mem::replace(&mut self.committed, sequence);
            self.progress = self.now;
            self.kept_by_all(before);
        }
    }

    fn updates(&mut self, from: Peer, ballot: Ballot, entries: Vec<Entry>, synced: u64) {
        if !self.active || self.ballot() != Some(ballot) || self.neighbour(false) != Some(from) {
            return;
        }
        for entry in entries {
            let next = self.kept.held.sequence + 1;
            match entry.position.sequence {
                sequence if sequence == next => self.take(entry),
                sequence if sequence > next => {
                    let sequence = self.kept.held.sequence;
                    self.send(from, Message::Behind { ballot, sequence });
                    return;
                }
                _ => {}
            }
        }
        self.before_synced = self.before_synced.max(synced.min(self.kept.held.sequence));
        self.advance();
    }

    fn resend(&mut self, sequence: u64) {
        // What was gathered goes out with it.
        self.outgoing.clear();
        match self.after(sequence) {
            Some(entries) => self.pass_on(entries),
            // Too far behind: only a new view brings it the whole state.
            None => self.wrong = Some(self.wrong.unwrap_or(self.now)),
        }
    }

    fn sealed_by(&mut self, from: Peer, ballot: Ballot) {
        if ballot < self.kept.promised || (ballot == self.kept.promised && ballot.proposer != from) {
            let promised = self.kept.promised;
            self.send(from, Message::Declined { promised });
            return;
        }
        self.quiet_until = self.now + self.settings.again * 3;
        self.seal(from, ballot);
    }

    fn seal(&mut self, to: Peer, ballot: Ballot) {
        self.kept.promised = ballot;
        self.active = false;
        self.entering = None;
        self.outgoing.clear();
        self.results.clear();
        self.dirty = true;
        self.then.push(Then::Promise(to, ballot));
    }

    fn promised(&mut self, ballot: Ballot, promise: Promise) {
        let Some(proposal) = self.proposal.as_mut().filter(|p| p.ballot == ballot && !p.chosen) else {
            return;
        };
        proposal.promise(promise);
        self.choose(false);
    }

    /// Chooses the members once all that can be expected have promised, or a majority has and the others are late.
    fn choose(&mut self, late: bool) {
        let founders = self.settings.founders.len();
        let fit = 1 + self.fit().count();
        let Some(proposal) = self.proposal.as_mut().filter(|p| !p.chosen) else { return };
        if proposal.count() < fit && !late {
            return;
        }
        let Some(chosen) = proposal.choose(founders) else { return };
        proposal.chosen = true;
        for member in &chosen.view.members {
            if member.peer != self.settings.me {
                let (view, base, source) = (chosen.view.clone(), chosen.base, chosen.source);
                self.outputs
                    .push(Output::Send { to: member.peer, message: Message::Install { view, base, source } });
            }
        }
        self.install(chosen.view, chosen.base, chosen.source);
    }

    fn install(&mut self, view: View, base: Position, source: Peer) {
        let known = self.ballot() == Some(view.ballot) && self.active;
        if view.ballot < self.kept.promised || known || !view.members.contains(&self.me()) {
            return;
        }
        if self.kept.promised != view.ballot {
            self.kept.promised = view.ballot;
            self.active = false;
            self.outgoing.clear();
            self.results.clear();
            self.dirty = true;
        }
        self.quiet_until = self.now + self.settings.again * 3;
        if self.kept.held == base {
            self.begin(view);
            return;
        }
        let (ballot, held) = (view.ballot, self.kept.held);
        self.entering = Some((view, base, source, self.now));
        self.send(source, Message::Fetch { ballot, held });
    }

    /// Works in a view from now on.
    fn begin(&mut self, view: View) {
        self.kept.view = Some(view);
        self.dirty = true;
        self.active = true;
        self.active_since = self.now;
        self.entering = None;
        self.proposal = None;
        self.wrong = None;
        self.joining = None;
        self.progress = self.now;
        self.told = 0;
        self.committed = self.committed.min(self.kept.held.sequence);
        self.results.clear();
        self.entered.clear();
        // What it begins with must be on disk as well, before this member counts it.
        self.synced = 0;
        self.then.push(Then::Synced(self.kept.held.sequence));
        self.before_synced = if self.place() == Some(0) { u64::MAX } else { 0 };
        if self.place() == Some(0) {
            // Once this one is kept, so is all that the view began with.
            self.enter(self.settings.me, 0, Bytes::new());
        }
        self.submitted.values_mut().for_each(|s| s.sent = None);
        self.press_all();
    }

    fn press_all(&mut self) {
        let due = |s: &Submitted| s.sent.is_none_or(|at| self.now.saturating_sub(at) >= self.settings.again);
        let mut numbers: Vec<u64> = self.submitted.iter().filter(|(_, s)| due(s)).map(|(n, _)| *n).collect();
        numbers.sort_unstable();
        numbers.into_iter().for_each(|number| self.press(number));
    }

    fn fetched(&mut self, from: Peer, ballot: Ballot, held: Position) {
        // Promised to this ballot, nothing of an older view can come in any more.
        if self.kept.promised != ballot {
            return;
        }
        let known = |e: &Entry| e.position == held;
        let lacked = match self.recent.iter().any(known).then(|| self.after(held.sequence)).flatten() {
            Some(entries) if entries.last().is_some_and(|e| e.position == self.kept.held) => {
                Lacked::Entries(entries)
            }
            _ => Lacked::Whole { position: self.kept.held, stamp: self.kept.stamp, rows: self.tables.dump() },
        };
        self.send(from, Message::State { ballot, lacked });
    }

    fn filled(&mut self, ballot: Ballot, lacked: Lacked) {
        let Some((view, base, ..)) = self.entering.take_if(|(view, ..)| view.ballot == ballot) else {
            return;
        };
        match lacked {
            Lacked::Entries(entries) => {
                for entry in entries {
                    if entry.position.sequence != self.kept.held.sequence + 1 {
                        return;
                    }
                    self.take(entry);
                }
            }
            Lacked::Whole { position, stamp, rows } => {
                self.rows = rows.iter().map(|(key, value)| (key.clone(), Some(value.clone()))).collect();
                self.replace = true;
                self.tables.load(rows);
                (self.kept.held, self.kept.stamp) = (position, stamp);
                self.stamped = (stamp, self.now);
                self.recent.clear();
                self.recent_bytes = 0;
                self.dirty = true;
            }
        }
        if self.kept.held >= base {
            self.begin(view);
        }
    }

    fn fit(&self) -> impl Iterator<Item = Peer> + '_ {
        let me = self.settings.me;
        self.settings.founders.iter().copied().filter(move |p| *p != me && self.others.fit(self.now, me, *p))
    }

    /// Time has passed.
    pub fn tick(&mut self, now: u64) {
        self.now = now;
        if now >= self.beat_at {
            self.beat_at = now + self.settings.beat;
            let standing = Standing {
                member: self.me(),
                remembers: self.kept.remembers,
                healthy: self.healthy,
                view: self.ballot(),
                active: self.active,
                promised: self.kept.promised,
                hears: self.others.hears(now),
                held: self.kept.held,
                committed: self.committed,
            };
            self.spread(&Message::Standing(standing));
        }
        self.press_all();
        let late = now.saturating_sub(self.progress) >= self.settings.again;
        if self.active && late && self.committed < self.kept.held.sequence {
            self.progress = now;
            if !self.is_tail() {
                self.resend(self.committed);
            } else if let (Some(before), Some(ballot)) = (self.neighbour(false), self.ballot()) {
                let sequence = self.kept.held.sequence;
                self.send(before, Message::Behind { ballot, sequence });
            }
        }
        let again = self.settings.again;
        if let Some((view, _, source, since)) = &mut self.entering
            && now.saturating_sub(*since) >= again
        {
            *since = now;
            let (ballot, source, held) = (view.ballot, *source, self.kept.held);
            self.send(source, Message::Fetch { ballot, held });
        }
        self.watch();
    }

    /// Sees to the view.
    fn watch(&mut self) {
        let now = self.now;
        if let Some(proposal) = &self.proposal {
            let age = now.saturating_sub(proposal.since);
            if age >= self.settings.again * 4 {
                self.proposal = None;
            } else if age >= self.settings.again {
                self.choose(true);
            }
            return;
        }
        if !self.kept.remembers || !self.healthy {
            return;
        }
        let wrong = self.is_wrong();
        self.wrong = if wrong { Some(self.wrong.unwrap_or(now)) } else { None };
        let joins = !wrong && self.place() == Some(0) && self.can_join();
        self.joining = if joins { Some(self.joining.unwrap_or(now)) } else { None };
        let rank = self.rank();
        let due = self.wrong.is_some_and(|since| now.saturating_sub(since) >= rank * self.settings.again)
            || self.joining.is_some_and(|since| now.saturating_sub(since) >= self.settings.again);
        if due && now >= self.quiet_until && self.majority() {
            self.propose();
        }
    }

    /// A majority of founders that remember can be reached.
    fn majority(&self) -> bool {
        let remembers = |p: &Peer| self.others.standing(self.now, *p).is_some_and(|s| s.remembers);
        let count = 1 + self.fit().filter(remembers).count();
        count * 2 > self.settings.founders.len()
    }

    /// How many that can be reached go before this machine in proposing.
    fn rank(&self) -> u64 {
        let members = self.kept.view.as_ref().map(|v| v.members.as_slice()).unwrap_or_default();
        let place = |peer: Peer| (members.iter().position(|m| m.peer == peer).unwrap_or(usize::MAX), peer);
        let mine = place(self.settings.me);
        self.fit().filter(|p| place(*p) < mine).count() as u64
    }

    fn is_wrong(&self) -> bool {
        let newest = self.others.all(self.now).filter_map(|s| s.view).chain(self.ballot()).max();
        let works = |s: &Standing| s.active && s.view == newest;
        let (me, now) = (self.settings.me, self.now);
        if !(self.active && self.ballot() == newest) {
            // Whoever works in the newest view sees to it.
            return !self.others.all(now).any(works);
        }
        let settled = now.saturating_sub(self.active_since) >= self.settings.silence;
        let lost = |m: &Member| {
            let standing = self.others.standing(now, m.peer).filter(|s| s.member == *m);
            let in_view = standing.is_some_and(|s| works(s) || !settled);
            !(in_view && self.others.fit(now, me, m.peer))
        };
        let members = self.kept.view.as_ref().map(|v| v.members.as_slice()).unwrap_or_default();
        self.wrong.is_some() && members.len() > 1 && self.stuck()
            || members.iter().any(|m| m.peer != me && lost(m))
    }

    /// Nothing has been committed for long though something waits.
    fn stuck(&self) -> bool {
        self.committed < self.kept.held.sequence
            && self.now.saturating_sub(self.active_since) >= self.settings.silence * 2
    }

    /// A founder outside the chain reaches all its members.
    fn can_join(&self) -> bool {
        let members = self.kept.view.as_ref().map(|v| v.members.as_slice()).unwrap_or_default();
        let me = self.settings.me;
        let reaches =
            |s: &Standing| members.iter().all(|m| m.peer == s.member.peer || s.hears.contains(&m.peer));
        let heard_by_all = |peer: Peer| {
            members
                .iter()
                .filter(|m| m.peer != me)
                .all(|m| self.others.standing(self.now, m.peer).is_some_and(|s| s.hears.contains(&peer)))
        };
        self.fit()
            .filter_map(|p| self.others.standing(self.now, p))
            .any(|s| !members.contains(&s.member) && reaches(s) && heard_by_all(s.member.peer))
    }

    fn propose(&mut self) {
        let highest = self.others.highest().map_or(self.kept.promised, |b| b.max(self.kept.promised));
        // Guards against ballots that a lost disk has promised and nobody here knows of: far above any of them.
        let forgets = |p: Peer| self.others.standing(self.now, p).is_some_and(|s| !s.remembers);
        let step = if self.fit().any(forgets) { NEW_DISK_STEP } else { 1 };
        let ballot = Ballot { number: highest.number + step, proposer: self.settings.me };
        self.proposal = Some(Proposal::new(ballot, self.now));
        let peers: Vec<Peer> = self.fit().collect();
        peers.into_iter().for_each(|to| self.send(to, Message::Seal { ballot }));
        self.seal(self.settings.me, ballot);
    }
}
