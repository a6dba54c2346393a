//! Following a prefix of etcd v3: a range, then a watch from the revision after it. No I/O, time as an argument.
//!
//! Below the prefix, `nodes/ID` holds an [`entry`] and `drains/ID`, whatever its value, orders the node out;
//! the order outlives the node's entry and holds until the key is deleted.
//!
//! What the machine guards against, and how:
//! - *a break*: the watch begins again at the revision after the last one applied in full; fragments of an answer count
//!   only when the last of them is there;
//! - *compaction past that revision*: everything is ranged again, at one revision, and taken as a whole view;
//! - *a watch that is open and deaf*: every [`Settings::check`] a linearizable read at another endpoint tells the
//!   cluster's revision, and the watch is asked for its progress; one that has not reached that revision within
//!   [`Settings::patience`] is left;
//! - *an older view or another cluster*: not taken while the known one has answered within [`Settings::believe_after`];
//!   then it is another epoch, and [`doubt`](crate::doubt) says what of the old one still holds.

pub mod line;
pub mod messages;

use std::collections::{BTreeMap, HashMap};

use finchshift::Micros;

use crate::backoff::Backoff;
use crate::doubt::Rules;
use crate::entry;
use crate::source::{Machine, Outbox};
use crate::view::{Body, Change, Loss, Member, Revision, Standing};

/// Entries in a page of a range.
const PAGE: i64 = 2000;
/// Most events of an answer in fragments.
const MOST_EVENTS: usize = 400_000;
/// Most leases that are asked about at once. Guards the registry where thousands of entries go together: what is not
/// asked about counts as run out.
const MOST_LEASES: usize = 16;

/// After so many watches that are deaf everything is read again.
const MOST_DEAF: u32 = 2;

/// What a source at etcd is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Ends with a slash.
    pub prefix: String,
    /// How many endpoints there are.
    pub endpoints: usize,
    /// How many balancers ask the same registry.
    pub instances: u32,
    /// Calls a second that they may make together after a failure.
    pub rate: f64,
    /// How often a quiet watch is checked.
    pub check: Micros,
    /// How long a watch may lag behind what a check found.
    pub patience: Micros,
    /// How long a page of a range may take.
    pub answer: Micros,
    /// How long the known cluster must have been silent before an older view or another cluster is believed.
    pub believe_after: Micros,
}

/// The head of every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Header {
    /// The cluster's identity.
    pub cluster: u64,
    /// The revision at which the member answered.
    pub revision: i64,
}

/// A key and its value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of its last change.
    pub written: i64,
    /// The revision at which it was made.
    pub made: i64,
    /// The lease it hangs on; 0 for none.
    pub lease: i64,
}

/// A change to a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// It is no more; `before` is what it was.
    pub deleted: bool,
    /// The key as it is; where it was deleted, its name and the deletion's revision.
    pub now: KeyValue,
    /// The key as it was.
    pub before: Option<KeyValue>,
}

/// A call to make. Each is known by its number.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Ask {
    /// A page of a range; all of it at `revision`, 0 for the newest.
    Range {
        call: u64,
        endpoint: usize,
        from: Vec<u8>,
        end: Vec<u8>,
        revision: i64,
        limit: i64,
        count_only: bool,
    },
    /// A watch from a revision on, with fragments, progress and values as they were.
    Watch { call: u64, endpoint: usize, from: Vec<u8>, end: Vec<u8>, start: i64 },
    /// Asks a watch how far it is.
    Progress { call: u64 },
    /// Asks how long a lease lives.
    Lease { call: u64, endpoint: usize, lease: i64 },
    /// Nothing of this call is wanted any more.
    Leave { call: u64 },
}

/// What came back.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Told {
    /// A page.
    Range { call: u64, header: Header, kvs: Vec<KeyValue>, more: bool },
    /// An answer on a watch. `compacted` is not 0 where the watch asked for revisions that are no more.
    Watch { call: u64, header: Header, canceled: bool, compacted: i64, fragment: bool, events: Vec<Event> },
    /// A lease lives so many seconds more; -1 where it is no more.
    Lease { call: u64, ttl: i64 },
    /// The call failed; `compacted` if the revision it asked for is no more.
    Failed { call: u64, why: String, compacted: bool },
}

#[derive(Debug)]
enum Phase {
    /// Nothing until then.
    Pause { until: Micros },
    /// Everything is read.
    Range { call: u64, at: i64, pages: Vec<KeyValue>, until: Micros },
    /// Changes are followed.
    Watch { call: u64, parts: Vec<Event>, check: Check },
}

/// The check of a watch.
#[derive(Debug)]
enum Check {
    /// The next one is due then.
    Due(Micros),
    /// The cluster's revision is asked for, at one endpoint after the other until one knows it.
    Head { call: u64, endpoint: usize, left: usize, until: Micros },
    /// The watch must come this far by then.
    Reach { revision: i64, until: Micros },
}

/// The two keys of a member.
#[derive(Clone, Debug, Default)]
struct Keys {
    member: Option<Member>,
    lease: i64,
    made: i64,
    /// An order to drain is there, written at this revision.
    drain: Option<i64>,
}

impl Keys {
    fn member(&self) -> Option<Member> {
        let member = self.member.clone()?;
        Some(match self.drain {
            Some(written) if member.standing == Standing::Serving => {
                Member { standing: Standing::Draining, written: written.max(0) as u64, ..member }
            }
            _ => member,
        })
    }
}

/// A source at etcd.
#[derive(Debug)]
pub struct Etcd {
    settings: Settings,
    phase: Phase,
    endpoint: usize,
    /// The endpoint that the last check asked first.
    checker: usize,
    out: Outbox<Ask>,
    /// More members than this are not read.
    most: usize,
    backoff: Backoff,
    rng: fastrand::Rng,
    cluster: Option<u64>,
    epoch: u64,
    /// All changes up to here are applied; nothing yet where everything must be read first.
    last: Option<i64>,
    /// The highest revision that the known cluster has shown.
    highest: i64,
    /// When the known cluster last answered as itself.
    good: Option<Micros>,
    /// Calls since then that failed or were answered by a member that is behind.
    missed: usize,
    keys: BTreeMap<String, Keys>,
    /// Leases that are asked about: the members that went with each.
    leases: HashMap<u64, Vec<String>>,
    /// Watches in a row that were left because they were deaf.
    deaf: u32,
    /// Names that have gone since those were last forgotten.
    gone: usize,
}

impl Etcd {
    /// Begins at `now`, somewhere within its first pause.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Etcd {
        let mut rng = fastrand::Rng::with_seed(seed);
        let backoff = Backoff::new(settings.instances, settings.rate);
        Etcd {
            endpoint: rng.usize(..settings.endpoints.max(1)),
            phase: Phase::Pause { until: now },
            checker: 0,
            out: Outbox::default(),
            most: Rules::default().most_members,
            backoff,
            rng,
            cluster: None,
            epoch: 0,
            last: None,
            highest: 0,
            good: None,
            missed: 0,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            deaf: 0,
            gone: 0,
            settings,
        }
    }

    /// All changes up to here are told.
    pub fn applied(&self) -> Option<i64> {
        self.last
    }

    fn due(&self) -> Micros {
        match &self.phase {
            Phase::Pause { until } | Phase::Range { until, .. } => *until,
            Phase::Watch { check, .. } => match check {
                Check::Due(at) => *at,
                Check::Head { until, .. } | Check::Reach { until, .. } => *until,
            },
        }
    }

    fn span(&self) -> (Vec<u8>, Vec<u8>) {
        let from = self.settings.prefix.as_bytes().to_vec();
        let mut end = from.clone();
        // The prefix ends with a slash: the byte after it is no slash and no end of range.
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        (from, end)
    }

    fn other(&self) -> usize {
        (self.endpoint + 1) % self.settings.endpoints.max(1)
    }

    fn tick(&mut self, now: Micros) {
        if now < self.due() {
            return;
        }
        match &self.phase {
            Phase::Pause { .. } => self.go_on(now),
            Phase::Range { .. } => self.fail(now, "no answer to a range in time".to_owned()),
            Phase::Watch { check: Check::Due(_), .. } => {
                // Another one each time: one that is behind itself finds nothing wrong with a watch that is.
                self.checker = (self.checker + 1) % self.settings.endpoints.max(1);
                if self.checker == self.endpoint {
                    self.checker = self.other();
                }
                self.ask_head(now, self.checker, self.settings.endpoints.max(1));
            }
            Phase::Watch { check: Check::Head { call, .. }, .. } => {
                self.out.ask(Ask::Leave { call: *call });
                self.no_head(now, "a check was not answered".to_owned());
            }
            Phase::Watch { check: Check::Reach { revision, .. }, .. } => {
                let why = format!("the watch did not reach revision {revision} in time");
                self.deaf += 1;
                // The next one may be as deaf: what it would not tell is read.
                if self.deaf >= MOST_DEAF {
                    (self.deaf, self.last) = (0, None);
                }
                self.fail(now, why);
            }
        }
    }

    fn check(&mut self, next: Check) {
        if let Phase::Watch { check, .. } = &mut self.phase {
            *check = next;
        }
    }

    fn ask_head(&mut self, now: Micros, endpoint: usize, left: usize) {
        let (from, end) = self.span();
        let call = self.out.call();
        self.out.ask(Ask::Range { call, endpoint, from, end, revision: 0, limit: 1, count_only: true });
        self.check(Check::Head { call, endpoint, left: left - 1, until: now + self.settings.patience });
    }

    /// An endpoint did not say how far the cluster is, or is behind itself: that proves nothing about the watch, and the
    /// next one is asked at once. Guards against a watch and its check that are both behind, beside a member that is not.
    fn no_head(&mut self, now: Micros, why: String) {
        self.out.health.trouble = Some(why);
        self.missed += 1;
        let Phase::Watch { check: Check::Head { endpoint, left, .. }, .. } = &self.phase else { return };
        let (endpoint, left) = ((endpoint + 1) % self.settings.endpoints.max(1), *left);
        if left > 0 { self.ask_head(now, endpoint, left) } else { self.check_later(now) }
    }

    fn check_later(&mut self, now: Micros) {
        let spread = self.settings.check / 4;
        let at = now + self.settings.check - spread / 2 + self.rng.u64(..=spread);
        self.check(Check::Due(at));
    }

    /// Reads everything, or watches where that goes on from what is known.
    fn go_on(&mut self, now: Micros) {
        let (from, end) = self.span();
        let (call, endpoint) = (self.out.call(), self.endpoint);
        match self.last {
            None => {
                let until = now + self.settings.answer;
                self.phase = Phase::Range { call, at: 0, pages: Vec::new(), until };
                self.out.ask(Ask::Range {
                    call,
                    endpoint,
                    from,
                    end,
                    revision: 0,
                    limit: PAGE,
                    count_only: false,
                });
            }
            Some(last) => {
                self.phase = Phase::Watch { call, parts: Vec::new(), check: Check::Due(now) };
                self.check_later(now);
                self.out.ask(Ask::Watch { call, endpoint, from, end, start: last + 1 });
            }
        }
    }

    /// Leaves what is under way and pauses; the next call goes to another endpoint.
    fn fail(&mut self, now: Micros, why: String) {
        self.missed += 1;
        self.out.health.trouble = Some(why);
        let calls = match &self.phase {
            Phase::Pause { .. } => return,
            Phase::Range { call, .. } => vec![*call],
            Phase::Watch { call, check: Check::Head { call: head, .. }, .. } => vec![*call, *head],
            Phase::Watch { call, .. } => vec![*call],
        };
        calls.into_iter().for_each(|call| self.out.ask(Ask::Leave { call }));
        self.endpoint = self.other();
        self.phase = Phase::Pause { until: now + self.backoff.pause(&mut self.rng) };
    }

    /// Whether an answer is of the known cluster and not older than what it has shown. One that is not is counted, and
    /// taken as another epoch only if the known cluster has been silent for long.
    fn known(&mut self, now: Micros, header: Header) -> bool {
        let same = self.cluster.is_none_or(|known| known == header.cluster);
        if same && header.revision >= self.highest {
            self.cluster = Some(header.cluster);
            self.highest = header.revision;
            (self.good, self.missed) = (Some(now), 0);
            return true;
        }
        self.out.health.refused += 1;
        false
    }

    /// The known cluster has been silent so long that another one is believed: every endpoint was asked, and long enough
    /// ago.
    fn given_up(&self, now: Micros) -> bool {
        let all = self.missed >= self.settings.endpoints;
        all && self.good.is_none_or(|good| good + self.settings.believe_after <= now)
    }

    fn refuse(&mut self, now: Micros, header: Header) {
        if self.given_up(now) {
            // The next view is another registry's, and everything must be read.
            self.epoch += 1;
            (self.cluster, self.highest, self.last, self.good) = (None, 0, None, None);
            self.missed = 0;
        }
        let (cluster, highest) = (self.cluster.unwrap_or(0), self.highest);
        self.fail(
            now,
            format!(
                "found revision {} of cluster {:x}, expected {highest} or more of {cluster:x}",
                header.revision, header.cluster
            ),
        );
    }

    /// What belongs to no call under way is passed over.
    fn told(&mut self, now: Micros, told: Told) {
        match told {
            Told::Range { call, header, kvs, more } => match &self.phase {
                Phase::Range { call: under_way, .. } if *under_way == call => {
                    self.page(now, header, kvs, more)
                }
                Phase::Watch { check: Check::Head { call: under_way, .. }, .. } if *under_way == call => {
                    self.head(now, header);
                }
                _ => {}
            },
            Told::Watch { call, header, canceled, compacted, fragment, events } => {
                if !matches!(&self.phase, Phase::Watch { call: under_way, .. } if *under_way == call) {
                    return;
                }
                self.watched(now, header, canceled, compacted, fragment, events);
            }
            Told::Lease { call, ttl } => {
                let went = self.leases.remove(&call).unwrap_or_default();
                // A lease that lives: its entry was deleted by somebody.
                let gone = |id: &String| self.keys.get(id).is_none_or(|k| k.member.is_none());
                if ttl >= 0
                    && let Some(last) = self.last
                {
                    let ordered: Vec<Change> = went.into_iter().filter(gone).map(Change::Ordered).collect();
                    if !ordered.is_empty() {
                        self.tell(last, Body::Changes(ordered));
                    }
                }
            }
            Told::Failed { call, why, compacted } => {
                if self.leases.remove(&call).is_some() {
                    return;
                }
                match &self.phase {
                    Phase::Range { call: under_way, .. } if *under_way == call => self.fail(now, why),
                    Phase::Watch { call: under_way, .. } if *under_way == call => {
                        if compacted {
                            self.last = None;
                        }
                        self.fail(now, why);
                    }
                    Phase::Watch { check: Check::Head { call: under_way, .. }, .. } if *under_way == call => {
                        self.no_head(now, why);
                    }
                    _ => {}
                }
            }
        }
    }

    fn tell(&mut self, number: i64, body: Body) {
        let revision = Revision { epoch: self.epoch, number: number.max(0) as u64 };
        self.out.tell(revision, body);
    }

    /// A check has found how far the cluster is.
    fn head(&mut self, now: Micros, header: Header) {
        if !self.known(now, header) {
            // Only that endpoint may be behind or another's: the watch is left only where nothing else answers.
            if self.given_up(now) {
                return self.refuse(now, header);
            }
            let why =
                format!("a check found revision {}, expected {} or more", header.revision, self.highest);
            return self.no_head(now, why);
        }
        let Phase::Watch { call, .. } = &self.phase else { return };
        let call = *call;
        self.out.ask(Ask::Progress { call });
        let until = now + self.settings.patience;
        self.check(Check::Reach { revision: header.revision, until });
    }

    fn page(&mut self, now: Micros, header: Header, mut kvs: Vec<KeyValue>, more: bool) {
        // A page at a revision comes with the head of the moment.
        if !self.known(now, header) {
            return self.refuse(now, header);
        }
        let Phase::Range { at, pages, .. } = &mut self.phase else { return };
        if *at == 0 {
            *at = header.revision;
        }
        let at = *at;
        pages.append(&mut kvs);
        let next = pages.last().map(|kv| [kv.key.as_slice(), &[0]].concat());
        // A member has two keys at most.
        if pages.len() > 2 * self.most {
            let why = format!(
                "found more than {} keys, expected at most two for each of {}",
                pages.len(),
                self.most
            );
            return self.fail(now, why);
        }
        if more && let Some(from) = next {
            let (call, endpoint, end) = (self.out.call(), self.endpoint, self.span().1);
            if let Phase::Range { call: under_way, until, .. } = &mut self.phase {
                (*under_way, *until) = (call, now + self.settings.answer);
            }
            self.out.ask(Ask::Range {
                call,
                endpoint,
                from,
                end,
                revision: at,
                limit: PAGE,
                count_only: false,
            });
            return;
        }
        let pages = std::mem::take(pages);
        self.whole(now, at, pages);
    }

    /// Everything is there, at one revision.
    fn whole(&mut self, now: Micros, at: i64, pages: Vec<KeyValue>) {
        let before = std::mem::take(&mut self.keys);
        for kv in pages {
            let Some((name, drain)) = self.name(&kv.key) else { continue };
            let mut keys = self.keys.remove(&name).unwrap_or_default();
            if drain {
                keys.drain = Some(kv.written);
            } else {
                let known = before.get(&name);
                self.read(now, &name, kv, known, &mut keys);
            }
            self.keys.insert(name, keys);
        }
        let members = self.keys.values().filter_map(Keys::member).collect();
        self.last = Some(at);
        self.backoff.reset();
        self.out.confirmed(now);
        self.tell(at, Body::Whole(members));
        self.go_on(now);
    }

    /// The identity of a key, and whether it is an order to drain.
    fn name(&self, key: &[u8]) -> Option<(String, bool)> {
        let key = std::str::from_utf8(key).ok()?.strip_prefix(self.settings.prefix.as_str())?;
        let (kind, name) = key.split_once('/')?;
        match kind {
            "nodes" => Some((name.to_owned(), false)),
            "drains" => Some((name.to_owned(), true)),
            _ => None,
        }
    }

    /// Reads a node's entry. What cannot be read leaves what was known: garbage is no order and no loss.
    fn read(&mut self, now: Micros, name: &str, kv: KeyValue, known: Option<&Keys>, keys: &mut Keys) {
        match entry::read(name, &kv.value, kv.written.max(0) as u64) {
            Ok(mut member) => {
                // One that was deleted and made again has started again, as far as can be told: it counts as cold.
                let again = known.is_some_and(|k| k.made != 0 && k.made != kv.made);
                if member.node.started.is_none() {
                    let before = known.and_then(|k| k.member.as_ref()).and_then(|m| m.node.started);
                    member.node.started = if again { Some(now) } else { before };
                }
                (keys.member, keys.lease, keys.made) = (Some(member), kv.lease, kv.made);
            }
            Err(why) => {
                self.out.unreadable(format!("{}nodes/{name}: {why}", self.settings.prefix));
                if let Some(known) = known {
                    (keys.member, keys.lease, keys.made) = (known.member.clone(), known.lease, known.made);
                }
            }
        }
    }

    fn watched(
        &mut self,
        now: Micros,
        header: Header,
        canceled: bool,
        compacted: i64,
        fragment: bool,
        events: Vec<Event>,
    ) {
        if compacted > 0 {
            // The registry is there: only the reading of everything is to be spread over the fleet.
            self.last = None;
            self.backoff.reset();
            return self.fail(now, format!("compacted up to {compacted}: everything is read again"));
        }
        if self.cluster.is_some_and(|known| known != header.cluster) {
            self.out.health.refused += 1;
            return self.refuse(now, header);
        }
        if canceled {
            return self.fail(now, "the watch was canceled".to_owned());
        }
        let Phase::Watch { parts, .. } = &mut self.phase else { return };
        parts.extend(events);
        if parts.len() > MOST_EVENTS {
            return self
                .fail(now, format!("found more than {MOST_EVENTS} events in fragments, expected fewer"));
        }
        if fragment {
            return;
        }
        let events = std::mem::take(parts);
        let told = !events.is_empty();
        let newest = events.iter().map(|e| e.now.written).max().unwrap_or(header.revision);
        self.apply(now, events);
        self.highest = self.highest.max(newest);
        // A member that is behind is nobody's proof.
        let reached = if told { newest } else { header.revision };
        if reached >= self.highest {
            (self.good, self.missed) = (Some(now), 0);
        }
        if let Phase::Watch { check: Check::Reach { revision, .. }, .. } = &self.phase
            && reached >= *revision
        {
            self.deaf = 0;
            self.backoff.reset();
            self.out.confirmed(now);
            self.check_later(now);
        }
    }

    /// Applies events in the order of their revisions; those that are known already are passed over.
    fn apply(&mut self, now: Micros, events: Vec<Event>) {
        let Some(last) = self.last else { return };
        let (mut changes, mut newest, mut leases) = (BTreeMap::new(), last, BTreeMap::new());
        for event in events {
            if event.now.written <= last || event.now.written < newest {
                continue;
            }
            newest = event.now.written;
            let Some((name, drain)) = self.name(&event.now.key) else { continue };
            let mut keys = self.keys.get(&name).cloned().unwrap_or_default();
            let had = keys.member();
            match (drain, event.deleted) {
                (true, deleted) => {
                    keys.drain = (!deleted).then_some(newest);
                    // Ordered out and deleted in one transaction, in whichever order the events stand.
                    if let (false, Some(Change::Gone(_, loss))) = (deleted, changes.get_mut(&name)) {
                        *loss = Loss::Ordered;
                        leases.remove(&name);
                    }
                }
                (false, true) => {
                    let lease = event.before.as_ref().map_or(keys.lease, |kv| kv.lease);
                    // The number stays: one that is made again under it is another process.
                    keys = Keys { member: None, lease: 0, ..keys };
                    self.gone += 1;
                    let out = had.as_ref().is_some_and(|m| m.standing.ordered());
                    if !out && lease != 0 {
                        leases.insert(name.clone(), lease);
                        changes.insert(name.clone(), Change::Gone(name.clone(), Loss::Expired));
                    } else {
                        changes.insert(name.clone(), Change::Gone(name.clone(), Loss::Ordered));
                    }
                }
                (false, false) => {
                    leases.remove(&name);
                    let known = keys.clone();
                    self.read(now, &name, event.now, Some(&known), &mut keys);
                }
            }
            if let Some(member) = keys.member() {
                // A key that only lost its order is written now too: its drain is taken back here.
                let member = Member { written: newest.max(0) as u64, ..member };
                changes.insert(name.clone(), Change::Put(member));
            }
            self.keys.insert(name, keys);
        }
        self.last = Some(newest);
        if newest > last {
            self.tell(newest, Body::Changes(changes.into_values().collect()));
        }
        self.forget();
        let mut by_lease: BTreeMap<i64, Vec<String>> = BTreeMap::new();
        leases.into_iter().for_each(|(name, lease)| by_lease.entry(lease).or_default().push(name));
        for (lease, names) in by_lease {
            if self.leases.len() >= MOST_LEASES {
                break;
            }
            let (call, endpoint) = (self.out.call(), self.endpoint);
            self.leases.insert(call, names);
            self.out.ask(Ask::Lease { call, endpoint, lease });
        }
    }

    /// Bounds the memory of names that are no more.
    fn forget(&mut self) {
        if self.gone > 64 && self.gone > self.keys.len() / 2 {
            self.gone = 0;
            self.keys.retain(|_, k| k.member.is_some() || k.drain.is_some());
        }
    }
}

impl Machine for Etcd {
    type Ask = Ask;
    type Told = Told;

    fn outbox(&mut self) -> &mut Outbox<Ask> {
        &mut self.out
    }

    fn bound(&mut self, most: usize) {
        self.most = most;
    }

    fn due(&self) -> Micros {
        Etcd::due(self)
    }

    fn tick(&mut self, now: Micros) {
        Etcd::tick(self, now);
    }

    fn told(&mut self, now: Micros, told: Told) {
        Etcd::told(self, now, told);
    }
}
