//! Follows a prefix of etcd v3: a range, then a watch from the following revision. No I/O, time as an argument.
//!
//! Below the prefix, `nodes/ID` holds an [`entry`], and `drains/ID`, whatever its value, orders the node out of service;
//! the order remains until the key is deleted, also if the node's entry is deleted.
//!
//! Failures that the protocol handles:
//! - *a broken connection*: the watch starts again at the revision after the last one that was applied completely; fragments
//!   of a response count only when the last of them has arrived;
//! - *compaction past that revision*: everything is read again, at one revision, as a snapshot;
//! - *a watch that stalls*: at every [`Settings::check_interval`] a linearizable read at another endpoint returns the
//!   revision of the cluster, and a progress notification of the watch is requested; a watch that has not reached that revision
//!   within [`Settings::max_watch_lag`] is cancelled;
//! - *an older view or another cluster*: rejected while the known cluster has responded within [`Settings::acceptance_delay`];
//!   after that it begins another epoch, and [`plausibility`](crate::plausibility) decides what remains of the old one.

pub mod messages;
pub mod transport;

use std::collections::{BTreeMap, HashMap};

use finchshift::Micros;

use crate::backoff::Backoff;
use crate::entry;
use crate::plausibility::PlausibilityRules;
use crate::source::{Outbox, SourceProtocol};
use crate::view::{Change, Loss, Member, MemberStatus, Revision, UpdateContent};

/// Number of keys in a page of a range.
const PAGE_ENTRIES: i64 = 2000;
/// Maximum number of buffered events of a fragmented response.
const MAX_BUFFERED_EVENTS: usize = 400_000;
/// Maximum number of running lease queries. Limits the load on the registry when thousands of entries are deleted together.
/// Leases that are not queried count as expired.
const MAX_LEASE_QUERIES: usize = 16;

/// After this many stalled watches in a row everything is read again.
const MAX_STALLED_WATCHES: u32 = 2;

/// Settings of an etcd source.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Prefix of all keys; ends with a slash.
    pub prefix: String,
    /// Number of etcd endpoints.
    pub endpoints: usize,
    /// Number of balancers that query the same registry.
    pub instances: u32,
    /// Calls per second that all balancers together may make after a failure.
    pub fleet_call_rate: f64,
    /// Interval between checks of a watch without events.
    pub check_interval: Micros,
    /// How long a watch may lag behind the revision that a check found.
    pub max_watch_lag: Micros,
    /// Time limit for a page of a range.
    pub response_timeout: Micros,
    /// How long the known cluster must not have responded before an older view or another cluster is accepted.
    pub acceptance_delay: Micros,
}

/// The header of every response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Header {
    /// Identifier of the cluster.
    pub cluster: u64,
    /// Revision at which the member responded.
    pub revision: i64,
}

/// A key and its value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub written: i64,
    /// Revision at which the key was created.
    pub made: i64,
    /// Lease of the key; 0 for none.
    pub lease: i64,
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Whether the key was deleted.
    pub deleted: bool,
    /// The key after the change; if it was deleted, its name and the revision of the deletion.
    pub now: KeyValue,
    /// The key before the change.
    pub before: Option<KeyValue>,
}

/// A command to the transport. Calls are identified by their numbers.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Command {
    /// Reads a page of a range at `revision`; 0 for the newest one.
    Range {
        call: u64,
        endpoint: usize,
        from: Vec<u8>,
        end: Vec<u8>,
        revision: i64,
        limit: i64,
        count_only: bool,
    },
    /// Watches from a revision on, with fragments, progress notifications and previous values.
    Watch { call: u64, endpoint: usize, from: Vec<u8>, end: Vec<u8>, start: i64 },
    /// Requests a progress notification of a watch.
    Progress { call: u64 },
    /// Queries the remaining duration of a lease.
    Lease { call: u64, endpoint: usize, lease: i64 },
    /// Cancels a call.
    Leave { call: u64 },
}

/// A reply from the transport.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Reply {
    /// A page of a range.
    Range { call: u64, header: Header, kvs: Vec<KeyValue>, more: bool },
    /// A response of a watch. `compacted` is not 0 if the watch requested revisions that were compacted.
    Watch { call: u64, header: Header, canceled: bool, compacted: i64, fragment: bool, events: Vec<Event> },
    /// The remaining duration of a lease in seconds; -1 if it has ended.
    Lease { call: u64, ttl: i64 },
    /// The call failed. `compacted` if the requested revision was compacted.
    Failed { call: u64, why: String, compacted: bool },
}

#[derive(Debug)]
enum Phase {
    /// Waits until a time.
    Pause { until: Micros },
    /// Reads everything.
    Range { call: u64, at: i64, pages: Vec<KeyValue>, until: Micros },
    /// Follows changes.
    Watch { call: u64, parts: Vec<Event>, check: Check },
}

/// State of the check of a watch.
#[derive(Debug)]
enum Check {
    /// The next check is due at this time.
    Due(Micros),
    /// The revision of the cluster is queried at one endpoint after the other, until one responds.
    Head { call: u64, endpoint: usize, left: usize, until: Micros },
    /// The watch must reach a revision within a time.
    Reach { revision: i64, until: Micros },
}

/// The two keys of a node.
#[derive(Clone, Debug, Default)]
struct NodeKeys {
    member: Option<Member>,
    lease: i64,
    made: i64,
    /// Revision at which the order to drain was written, if there is one.
    drain: Option<i64>,
}

impl NodeKeys {
    fn member(&self) -> Option<Member> {
        let member = self.member.clone()?;
        Some(match self.drain {
            Some(written) if member.status == MemberStatus::Serving => {
                Member { status: MemberStatus::Draining, written: written.max(0) as u64, ..member }
            }
            _ => member,
        })
    }
}

/// An etcd source.
#[derive(Debug)]
pub struct Etcd {
    settings: Settings,
    phase: Phase,
    endpoint: usize,
    /// The endpoint at which the last check began.
    checker: usize,
    outbox: Outbox<Command>,
    /// Maximum number of members that are read.
    max_members: usize,
    backoff: Backoff,
    rng: fastrand::Rng,
    cluster: Option<u64>,
    epoch: u64,
    /// Revision up to which all changes are applied; `None` if everything must be read first.
    last: Option<i64>,
    /// Highest revision in a response of the known cluster.
    highest: i64,
    /// When the known cluster last responded with a revision that was not older.
    last_confirmed: Option<Micros>,
    /// Number of calls since then that failed or whose response was older.
    failures: usize,
    keys: BTreeMap<String, NodeKeys>,
    /// Running lease queries, with the members that were deleted with each lease.
    leases: HashMap<u64, Vec<String>>,
    /// Number of watches in a row that were cancelled because they stalled.
    stalled_watches: u32,
    /// Number of deleted names since they were last dropped.
    deleted_names: usize,
}

impl Etcd {
    /// Creates a source whose first call is due at `now`.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Etcd {
        let mut rng = fastrand::Rng::with_seed(seed);
        let backoff = Backoff::new(settings.instances, settings.fleet_call_rate);
        Etcd {
            endpoint: rng.usize(..settings.endpoints.max(1)),
            phase: Phase::Pause { until: now },
            checker: 0,
            outbox: Outbox::default(),
            max_members: PlausibilityRules::default().max_members,
            backoff,
            rng,
            cluster: None,
            epoch: 0,
            last: None,
            highest: 0,
            last_confirmed: None,
            failures: 0,
            keys: BTreeMap::new(),
            leases: HashMap::new(),
            stalled_watches: 0,
            deleted_names: 0,
            settings,
        }
    }

    /// Revision up to which all changes were passed on.
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

    fn key_range(&self) -> (Vec<u8>, Vec<u8>) {
        let from = self.settings.prefix.as_bytes().to_vec();
        let mut end = from.clone();
        // The prefix ends with a slash, so the incremented byte ends the range of keys with this prefix.
        if let Some(last) = end.last_mut() {
            *last += 1;
        }
        (from, end)
    }

    fn next_endpoint(&self) -> usize {
        (self.endpoint + 1) % self.settings.endpoints.max(1)
    }

    fn tick(&mut self, now: Micros) {
        if now < self.due() {
            return;
        }
        match &self.phase {
            Phase::Pause { .. } => self.start_reading(now),
            Phase::Range { .. } => self.fail(now, "no answer to a range in time".to_owned()),
            Phase::Watch { check: Check::Due(_), .. } => {
                // A different endpoint each time, because one that is behind does not detect a watch that is behind.
                self.checker = (self.checker + 1) % self.settings.endpoints.max(1);
                if self.checker == self.endpoint {
                    self.checker = self.next_endpoint();
                }
                self.query_revision(now, self.checker, self.settings.endpoints.max(1));
            }
            Phase::Watch { check: Check::Head { call, .. }, .. } => {
                self.outbox.push_command(Command::Leave { call: *call });
                self.handle_failed_check(now, "a check was not answered".to_owned());
            }
            Phase::Watch { check: Check::Reach { revision, .. }, .. } => {
                let why = format!("the watch did not reach revision {revision} in time");
                self.stalled_watches += 1;
                // The next watch may stall too, so everything is read again.
                if self.stalled_watches >= MAX_STALLED_WATCHES {
                    (self.stalled_watches, self.last) = (0, None);
                }
                self.fail(now, why);
            }
        }
    }

    fn set_check(&mut self, next: Check) {
        if let Phase::Watch { check, .. } = &mut self.phase {
            *check = next;
        }
    }

    fn query_revision(&mut self, now: Micros, endpoint: usize, left: usize) {
        let (from, end) = self.key_range();
        let call = self.outbox.call();
        self.outbox.push_command(Command::Range {
            call,
            endpoint,
            from,
            end,
            revision: 0,
            limit: 1,
            count_only: true,
        });
        self.set_check(Check::Head {
            call,
            endpoint,
            left: left - 1,
            until: now + self.settings.max_watch_lag,
        });
    }

    /// Handles an endpoint that did not return the revision of the cluster, or is behind. This proves nothing about the watch,
    /// so the next endpoint is queried at once: the watch and the checking endpoint may both be behind.
    fn handle_failed_check(&mut self, now: Micros, why: String) {
        self.outbox.health.trouble = Some(why);
        self.failures += 1;
        let Phase::Watch { check: Check::Head { endpoint, left, .. }, .. } = &self.phase else { return };
        let (endpoint, left) = ((endpoint + 1) % self.settings.endpoints.max(1), *left);
        if left > 0 { self.query_revision(now, endpoint, left) } else { self.check_later(now) }
    }

    fn check_later(&mut self, now: Micros) {
        let spread = self.settings.check_interval / 4;
        let at = now + self.settings.check_interval - spread / 2 + self.rng.u64(..=spread);
        self.set_check(Check::Due(at));
    }

    /// Reads everything, or watches from the known revision on.
    fn start_reading(&mut self, now: Micros) {
        let (from, end) = self.key_range();
        let (call, endpoint) = (self.outbox.call(), self.endpoint);
        match self.last {
            None => {
                let until = now + self.settings.response_timeout;
                self.phase = Phase::Range { call, at: 0, pages: Vec::new(), until };
                self.outbox.push_command(Command::Range {
                    call,
                    endpoint,
                    from,
                    end,
                    revision: 0,
                    limit: PAGE_ENTRIES,
                    count_only: false,
                });
            }
            Some(last) => {
                self.phase = Phase::Watch { call, parts: Vec::new(), check: Check::Due(now) };
                self.check_later(now);
                self.outbox.push_command(Command::Watch { call, endpoint, from, end, start: last + 1 });
            }
        }
    }

    /// Cancels the running calls and pauses. The next call goes to another endpoint.
    fn fail(&mut self, now: Micros, why: String) {
        self.failures += 1;
        self.outbox.health.trouble = Some(why);
        let calls = match &self.phase {
            Phase::Pause { .. } => return,
            Phase::Range { call, .. } => vec![*call],
            Phase::Watch { call, check: Check::Head { call: head, .. }, .. } => vec![*call, *head],
            Phase::Watch { call, .. } => vec![*call],
        };
        calls.into_iter().for_each(|call| self.outbox.push_command(Command::Leave { call }));
        self.endpoint = self.next_endpoint();
        self.phase = Phase::Pause { until: now + self.backoff.pause(&mut self.rng) };
    }

    /// Returns whether a response is from the known cluster and not older than its previous ones, and counts the others.
    fn accept_header(&mut self, now: Micros, header: Header) -> bool {
        let same = self.cluster.is_none_or(|known| known == header.cluster);
        if same && header.revision >= self.highest {
            self.cluster = Some(header.cluster);
            self.highest = header.revision;
            (self.last_confirmed, self.failures) = (Some(now), 0);
            return true;
        }
        self.outbox.health.refused += 1;
        false
    }

    /// Returns whether another cluster is accepted: all endpoints have failed, and the known cluster has not responded for
    /// [`Settings::acceptance_delay`].
    fn is_known_cluster_lost(&self, now: Micros) -> bool {
        let all = self.failures >= self.settings.endpoints;
        all && self
            .last_confirmed
            .is_none_or(|last_confirmed| last_confirmed + self.settings.acceptance_delay <= now)
    }

    fn reject(&mut self, now: Micros, header: Header) {
        if self.is_known_cluster_lost(now) {
            // The next view is that of another registry, so everything must be read.
            self.epoch += 1;
            (self.cluster, self.highest, self.last, self.last_confirmed) = (None, 0, None, None);
            self.failures = 0;
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

    /// Handles a reply. Replies to calls that are not running are ignored.
    fn handle_reply(&mut self, now: Micros, reply: Reply) {
        match reply {
            Reply::Range { call, header, kvs, more } => match &self.phase {
                Phase::Range { call: running_call, .. } if *running_call == call => {
                    self.handle_page(now, header, kvs, more)
                }
                Phase::Watch { check: Check::Head { call: running_call, .. }, .. }
                    if *running_call == call =>
                {
                    self.handle_check(now, header);
                }
                _ => {}
            },
            Reply::Watch { call, header, canceled, compacted, fragment, events } => {
                if !matches!(&self.phase, Phase::Watch { call: running_call, .. } if *running_call == call) {
                    return;
                }
                self.handle_watch(now, header, canceled, compacted, fragment, events);
            }
            Reply::Lease { call, ttl } => {
                let went = self.leases.remove(&call).unwrap_or_default();
                // The lease is still valid, so an operator has deleted the entry.
                let gone = |id: &String| self.keys.get(id).is_none_or(|k| k.member.is_none());
                if ttl >= 0
                    && let Some(last) = self.last
                {
                    let ordered: Vec<Change> = went.into_iter().filter(gone).map(Change::Ordered).collect();
                    if !ordered.is_empty() {
                        self.push_update(last, UpdateContent::Changes(ordered));
                    }
                }
            }
            Reply::Failed { call, why, compacted } => {
                if self.leases.remove(&call).is_some() {
                    return;
                }
                match &self.phase {
                    Phase::Range { call: running_call, .. } if *running_call == call => self.fail(now, why),
                    Phase::Watch { call: running_call, .. } if *running_call == call => {
                        if compacted {
                            self.last = None;
                        }
                        self.fail(now, why);
                    }
                    Phase::Watch { check: Check::Head { call: running_call, .. }, .. }
                        if *running_call == call =>
                    {
                        self.handle_failed_check(now, why);
                    }
                    _ => {}
                }
            }
        }
    }

    fn push_update(&mut self, number: i64, content: UpdateContent) {
        let revision = Revision { epoch: self.epoch, number: number.max(0) as u64 };
        self.outbox.push_update(revision, content);
    }

    /// Handles the revision of the cluster that a check has found.
    fn handle_check(&mut self, now: Micros, header: Header) {
        if !self.accept_header(now, header) {
            // Only this endpoint may be behind or belong to another cluster, so the watch continues unless no other endpoint
            // responds.
            if self.is_known_cluster_lost(now) {
                return self.reject(now, header);
            }
            let why =
                format!("a check found revision {}, expected {} or more", header.revision, self.highest);
            return self.handle_failed_check(now, why);
        }
        let Phase::Watch { call, .. } = &self.phase else { return };
        let call = *call;
        self.outbox.push_command(Command::Progress { call });
        let until = now + self.settings.max_watch_lag;
        self.set_check(Check::Reach { revision: header.revision, until });
    }

    fn handle_page(&mut self, now: Micros, header: Header, mut kvs: Vec<KeyValue>, more: bool) {
        // The header of a page has the present revision, not that of the page.
        if !self.accept_header(now, header) {
            return self.reject(now, header);
        }
        let Phase::Range { at, pages, .. } = &mut self.phase else { return };
        if *at == 0 {
            *at = header.revision;
        }
        let at = *at;
        pages.append(&mut kvs);
        let next = pages.last().map(|kv| [kv.key.as_slice(), &[0]].concat());
        // A node has at most two keys.
        if pages.len() > 2 * self.max_members {
            let why = format!(
                "found more than {} keys, expected at most two for each of {}",
                pages.len(),
                self.max_members
            );
            return self.fail(now, why);
        }
        if more && let Some(from) = next {
            let (call, endpoint, end) = (self.outbox.call(), self.endpoint, self.key_range().1);
            if let Phase::Range { call: running_call, until, .. } = &mut self.phase {
                (*running_call, *until) = (call, now + self.settings.response_timeout);
            }
            self.outbox.push_command(Command::Range {
                call,
                endpoint,
                from,
                end,
                revision: at,
                limit: PAGE_ENTRIES,
                count_only: false,
            });
            return;
        }
        let pages = std::mem::take(pages);
        self.handle_snapshot(now, at, pages);
    }

    /// Handles the complete range, read at one revision.
    fn handle_snapshot(&mut self, now: Micros, at: i64, pages: Vec<KeyValue>) {
        let before = std::mem::take(&mut self.keys);
        for kv in pages {
            let Some((name, drain)) = self.parse_key(&kv.key) else { continue };
            let mut keys = self.keys.remove(&name).unwrap_or_default();
            if drain {
                keys.drain = Some(kv.written);
            } else {
                let known = before.get(&name);
                self.read_entry(now, &name, kv, known, &mut keys);
            }
            self.keys.insert(name, keys);
        }
        let members = self.keys.values().filter_map(NodeKeys::member).collect();
        self.last = Some(at);
        self.backoff.reset();
        self.outbox.confirmed(now);
        self.push_update(at, UpdateContent::Snapshot(members));
        self.start_reading(now);
    }

    /// Returns the node that a key belongs to, and whether the key is an order to drain.
    fn parse_key(&self, key: &[u8]) -> Option<(String, bool)> {
        let key = std::str::from_utf8(key).ok()?.strip_prefix(self.settings.prefix.as_str())?;
        let (kind, name) = key.split_once('/')?;
        match kind {
            "nodes" => Some((name.to_owned(), false)),
            "drains" => Some((name.to_owned(), true)),
            _ => None,
        }
    }

    /// Reads the entry of a node. An unreadable entry is ignored, because it is neither an order nor a removal.
    fn read_entry(
        &mut self,
        now: Micros,
        name: &str,
        kv: KeyValue,
        known: Option<&NodeKeys>,
        keys: &mut NodeKeys,
    ) {
        match entry::read(name, &kv.value, kv.written.max(0) as u64) {
            Ok(mut member) => {
                // A node whose key was deleted and created again counts as restarted.
                let again = known.is_some_and(|k| k.made != 0 && k.made != kv.made);
                if member.node.started.is_none() {
                    let before = known.and_then(|k| k.member.as_ref()).and_then(|m| m.node.started);
                    member.node.started = if again { Some(now) } else { before };
                }
                (keys.member, keys.lease, keys.made) = (Some(member), kv.lease, kv.made);
            }
            Err(why) => {
                self.outbox.unreadable(format!("{}nodes/{name}: {why}", self.settings.prefix));
                if let Some(known) = known {
                    (keys.member, keys.lease, keys.made) = (known.member.clone(), known.lease, known.made);
                }
            }
        }
    }

    fn handle_watch(
        &mut self,
        now: Micros,
        header: Header,
        canceled: bool,
        compacted: i64,
        fragment: bool,
        events: Vec<Event>,
    ) {
        if compacted > 0 {
            // The registry is reachable. The pause only spreads the reads of the fleet.
            self.last = None;
            self.backoff.reset();
            return self.fail(now, format!("compacted up to {compacted}: everything is read again"));
        }
        if self.cluster.is_some_and(|known| known != header.cluster) {
            self.outbox.health.refused += 1;
            return self.reject(now, header);
        }
        if canceled {
            return self.fail(now, "the watch was canceled".to_owned());
        }
        let Phase::Watch { parts, .. } = &mut self.phase else { return };
        parts.extend(events);
        if parts.len() > MAX_BUFFERED_EVENTS {
            return self.fail(
                now,
                format!("found more than {MAX_BUFFERED_EVENTS} events in fragments, expected fewer"),
            );
        }
        if fragment {
            return;
        }
        let events = std::mem::take(parts);
        let has_events = !events.is_empty();
        let newest = events.iter().map(|e| e.now.written).max().unwrap_or(header.revision);
        self.apply(now, events);
        self.highest = self.highest.max(newest);
        // A response of a member that is behind does not confirm the view.
        let reached = if has_events { newest } else { header.revision };
        if reached >= self.highest {
            (self.last_confirmed, self.failures) = (Some(now), 0);
        }
        if let Phase::Watch { check: Check::Reach { revision, .. }, .. } = &self.phase
            && reached >= *revision
        {
            self.stalled_watches = 0;
            self.backoff.reset();
            self.outbox.confirmed(now);
            self.check_later(now);
        }
    }

    /// Applies events in the order of their revisions. Events that were applied before are ignored.
    fn apply(&mut self, now: Micros, events: Vec<Event>) {
        let Some(last) = self.last else { return };
        let (mut changes, mut newest, mut leases) = (BTreeMap::new(), last, BTreeMap::new());
        for event in events {
            if event.now.written <= last || event.now.written < newest {
                continue;
            }
            newest = event.now.written;
            let Some((name, drain)) = self.parse_key(&event.now.key) else { continue };
            let mut keys = self.keys.get(&name).cloned().unwrap_or_default();
            let had = keys.member();
            match (drain, event.deleted) {
                (true, deleted) => {
                    keys.drain = (!deleted).then_some(newest);
                    // The order and the deletion may be in one transaction, in any order.
                    if let (false, Some(Change::Gone(_, loss))) = (deleted, changes.get_mut(&name)) {
                        *loss = Loss::Ordered;
                        leases.remove(&name);
                    }
                }
                (false, true) => {
                    let lease = event.before.as_ref().map_or(keys.lease, |kv| kv.lease);
                    // The creation revision remains, to detect that the key is created again.
                    keys = NodeKeys { member: None, lease: 0, ..keys };
                    self.deleted_names += 1;
                    let out = had.as_ref().is_some_and(|m| m.status.ordered());
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
                    self.read_entry(now, &name, event.now, Some(&known), &mut keys);
                }
            }
            if let Some(member) = keys.member() {
                // The deletion of an order counts as a write of the entry, because it revokes the drain.
                let member = Member { written: newest.max(0) as u64, ..member };
                changes.insert(name.clone(), Change::Put(member));
            }
            self.keys.insert(name, keys);
        }
        self.last = Some(newest);
        if newest > last {
            self.push_update(newest, UpdateContent::Changes(changes.into_values().collect()));
        }
        self.forget();
        let mut by_lease: BTreeMap<i64, Vec<String>> = BTreeMap::new();
        leases.into_iter().for_each(|(name, lease)| by_lease.entry(lease).or_default().push(name));
        for (lease, names) in by_lease {
            if self.leases.len() >= MAX_LEASE_QUERIES {
                break;
            }
            let (call, endpoint) = (self.outbox.call(), self.endpoint);
            self.leases.insert(call, names);
            self.outbox.push_command(Command::Lease { call, endpoint, lease });
        }
    }

    /// Limits the memory for deleted names.
    fn forget(&mut self) {
        if self.deleted_names > 64 && self.deleted_names > self.keys.len() / 2 {
            self.deleted_names = 0;
            self.keys.retain(|_, k| k.member.is_some() || k.drain.is_some());
        }
    }
}

impl SourceProtocol for Etcd {
    type Command = Command;
    type Reply = Reply;

    fn outbox(&mut self) -> &mut Outbox<Command> {
        &mut self.outbox
    }

    fn set_max_members(&mut self, max_members: usize) {
        self.max_members = max_members;
    }

    fn due(&self) -> Micros {
        Etcd::due(self)
    }

    fn tick(&mut self, now: Micros) {
        Etcd::tick(self, now);
    }

    fn handle_reply(&mut self, now: Micros, reply: Reply) {
        Etcd::handle_reply(self, now, reply);
    }
}
