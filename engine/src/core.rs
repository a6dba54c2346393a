//! The bookkeeping of one balancer between its callers and its upstreams: open requests, attempts, timers, the list of
//! upstreams and the decision module. No I/O and no clock: what happens comes in as calls with the time, what is to be
//! done comes out as [`Output`]s, in order. The daemon drives it from sockets, the emulator from its event queue.
//!
//! `R` is what an upstream answers; the core only passes it on.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};

use finchshift as fs;
use finchshift::{Action, Event, ListKind, Micros, Outcome, RequestId, ServerId};
use sloeline_events::{emit, emit_if_subscribed, event_enabled};
use sloeline_settings::setup::NameTable;

use crate::registry::Registry;
use crate::types::{Answer, DiscoveryEntry, Failure, Target};

/// The module is told this much less than the client's time: the answer's way back and the timers' grain.
const MARGIN: Micros = 10_000;
/// A request that the module has left unanswered fails this long before the client's time.
const LAST_RESORT: Micros = 5_000;

/// So many timers are always kept.
pub(crate) const LEAST_TIMERS: usize = 512;

/// What the core wants done. All of it concerns the outside; nothing needs to be told back but what each says.
#[derive(Debug, PartialEq)]
pub enum Output<R> {
    /// Start an attempt. Its end is told by [`Core::attempt_ended`], once.
    Send {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// Where to.
        to: Target,
        /// How long it may take; the core ends it by itself.
        limit: Micros,
    },
    /// End an attempt by closing its connection; told by [`Core::attempt_aborted`].
    Abort {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Why.
        outcome: Outcome,
    },
    /// The final answer, once for each request whose caller has not left.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer<R>,
    },
    /// Nothing is kept of the request any more.
    Settled {
        /// The request.
        request: RequestId,
    },
    /// Ask an upstream how it is; told by [`Core::probe_ended`].
    Probe {
        /// Where to.
        to: Target,
    },
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// The upstream.
        server: ServerId,
    },
    /// Watch discovery from now on.
    Watch,
    /// Ask discovery once for the whole list.
    Fetch,
}

/// What a timer is for.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(u64),
    Limit(RequestId, u32),
    LastResort(RequestId),
}

struct Out {
    attempt: u32,
    server: ServerId,
    at: Micros,
    /// Its end is asked for already.
    aborting: bool,
    /// Its answer has begun to go to the caller: no limit holds any more.
    begun: bool,
}

/// A request that is not answered or has attempts out.
struct Open<R> {
    class: fs::ClassId,
    operation: Option<u64>,
    /// An attempt may have run.
    doubt: bool,
    /// Its caller waits for the final answer.
    waits: bool,
    /// Its body still comes from the caller: its time counts from the last byte.
    coming: bool,
    deadline: Micros,
    time_left: Micros,
    sent: u32,
    out: Vec<Out>,
    /// Limits of attempts that began before the body's last byte.
    limits: Vec<(u32, Micros)>,
    failure: Failure,
    /// The answer of an upstream that failed, where the wire hands it on and no attempt came after it.
    error: Option<R>,
}

/// A request as the core takes it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its class.
    pub class: fs::ClassId,
    /// How long its client waits, from now or from its last byte.
    pub time_left: Micros,
    /// Whose it is.
    pub tenant: Option<fs::TenantId>,
    /// A guess at its work.
    pub work: Option<Micros>,
    /// Its client marks it as a repeat.
    pub retry: bool,
    /// Its body still comes; [`Core::body_received`] tells its last byte.
    pub body_pending: bool,
    /// The operation that it runs, where that is known.
    pub operation: Option<u64>,
}

/// An open request, as operators see it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestStatus {
    /// Its number, in the order of arrival.
    pub request: RequestId,
    /// Its class.
    pub class: fs::ClassId,
    /// How far it is.
    pub stage: Stage,
    /// Since it came, or since its last byte did.
    pub age: Micros,
    /// What is left of its client's time.
    pub time_left: Micros,
    /// Attempts so far.
    pub attempts: u32,
    /// An attempt may have run.
    pub may_have_run: bool,
    /// Where it is out, and for how long.
    pub in_flight: Vec<(String, Micros)>,
}

/// How far an open request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing is out for it.
    Queued,
    /// An attempt is out.
    InFlight,
    /// An attempt is out, and the body still comes from the client.
    ReceivingBody,
    /// Its client has its answer, or has left; an attempt is still to end.
    Answered,
}

/// How an attempt ended, as its connection tells.
#[derive(Debug)]
pub struct AttemptEnd<R> {
    /// How.
    pub outcome: Outcome,
    /// What the upstream told of its load.
    pub load: Option<fs::Load>,
    /// Its answer, for the caller; nothing where [`Core::response_started`] passed it on.
    pub reply: Option<R>,
    /// A part of a body that passes on is used up: the request cannot be sent again.
    pub body_consumed: bool,
}

impl<R> From<Outcome> for AttemptEnd<R> {
    fn from(outcome: Outcome) -> AttemptEnd<R> {
        AttemptEnd { outcome, load: None, reply: None, body_consumed: false }
    }
}

/// One balancer's state.
pub struct Core<R> {
    balancer: fs::Balancer,
    limits: fs::Limits,
    open: HashMap<RequestId, Open<R>>,
    next: RequestId,
    timers: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    timer_number: u64,
    /// From as many timers on, those of requests that are answered are dropped.
    most_timers: usize,
    registry: Registry,
    listed: bool,
    /// Operations that are not as harmless to repeat as their class says.
    narrowed: HashSet<u64>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    outputs: VecDeque<Output<R>>,
    /// What the module was told last.
    cause: &'static str,
    warm_after: Micros,
    /// See [`Core::refuse_unsent`].
    refuses_unsent: bool,
    /// See [`Core::cancel_on_disconnect`].
    ends_for_gone: bool,
    /// See [`Core::set_cancellation`].
    keeps: bool,
    /// Upstreams that are cold.
    cold: HashMap<ServerId, Cold>,
    cold_looked: Micros,
}

/// Names that an event lists; the others are a count.
const MOST_NAMED: usize = 8;
/// How often it is looked who is still cold: what operators read need be no more exact.
const COLD_LOOK: Micros = 1_000_000;

/// An upstream that was told as cold.
struct Cold {
    /// The start that was told.
    started: Option<Micros>,
    /// How often picks had passed it over when it was looked last.
    passed: u64,
}

fn told_cold(names: &[&str]) {
    if !names.is_empty() {
        let (count, some) = (names.len(), some(names));
        emit_if_subscribed!(COLD_STARTED, upstreams = %some, count = %count; "cold: just started: {some}");
    }
}

/// The first few of some names.
fn some(names: &[&str]) -> String {
    let first = names.iter().take(MOST_NAMED).copied().collect::<Vec<_>>().join(" ");
    match names.len().saturating_sub(MOST_NAMED) {
        0 => first,
        more => format!("{first} and {more} more"),
    }
}

/// What an event is called where it is the cause of something.
fn cause(event: &Event) -> &'static str {
    match event {
        Event::Servers { .. } => "list",
        Event::Request { .. } => "request",
        Event::Outcome { .. } => "outcome",
        Event::Timer { .. } => "timer",
        _ => "other",
    }
}

impl<R> Core<R> {
    /// A balancer with the given settings; `zones` holds the numbers that the settings use.
    pub fn new(settings: fs::Settings, zones: &NameTable, seed: u64) -> Result<Core<R>, String> {
        let (limits, warm_after) = (settings.limits.clone(), settings.rules.warm_up_time);
        let balancer = fs::Balancer::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Core {
            balancer,
            limits,
            open: HashMap::new(),
            next: 0,
            timers: BinaryHeap::new(),
            timer_number: 0,
            most_timers: LEAST_TIMERS,
            registry: Registry::new(zones),
            listed: false,
            narrowed: HashSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            outputs: VecDeque::new(),
            cause: "",
            warm_after,
            refuses_unsent: false,
            ends_for_gone: false,
            keeps: false,
            cold: HashMap::new(),
            cold_looked: 0,
        })
    }

    /// The next thing to do. Taken after each call, until there is none.
    pub fn next_output(&mut self) -> Option<Output<R>> {
        self.outputs.pop_front()
    }

    /// When [`fire_timer`](Core::fire_timer) is due next.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    // What can be seen.

    /// A list of upstreams has come, be it the known one.
    pub fn has_list(&self) -> bool {
        self.listed
    }

    /// How many upstreams are listed that take requests.
    pub fn ready_upstreams(&self) -> usize {
        self.registry.ready()
    }

    /// How many requests are open: not answered, or with an attempt out.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Whether a request of the class is open.
    pub fn class_in_use(&self, class: fs::ClassId) -> bool {
        self.open.values().any(|o| o.class == class)
    }

    /// The list as it was told last; nothing before the first.
    pub fn current_list(&self) -> Option<Vec<DiscoveryEntry>> {
        self.listed.then(|| self.registry.listed())
    }

    /// How many open requests are at each stage, and the oldest of them.
    pub fn requests(&self, now: Micros, most: usize) -> (BTreeMap<Stage, usize>, Vec<RequestStatus>) {
        let stage = |open: &Open<R>| match (open.waits, open.out.is_empty(), open.coming) {
            (false, ..) => Stage::Answered,
            (true, true, _) => Stage::Queued,
            (true, false, true) => Stage::ReceivingBody,
            (true, false, false) => Stage::InFlight,
        };
        let mut stages = BTreeMap::new();
        self.open.values().for_each(|open| *stages.entry(stage(open)).or_default() += 1);
        let mut oldest: Vec<RequestId> = self.open.keys().copied().collect();
        if oldest.len() > most {
            oldest.select_nth_unstable(most);
            oldest.truncate(most);
        }
        oldest.sort_unstable();
        let name = |server| self.registry.name(server).unwrap_or_default().to_owned();
        let told = |id: RequestId| {
            let open = self.open.get(&id)?;
            Some(RequestStatus {
                request: id,
                class: open.class,
                stage: stage(open),
                age: (now + open.time_left).saturating_sub(open.deadline),
                time_left: open.deadline.saturating_sub(now),
                attempts: open.sent,
                may_have_run: open.doubt,
                in_flight: open.out.iter().map(|o| (name(o.server), now.saturating_sub(o.at))).collect(),
            })
        };
        (stages, oldest.into_iter().filter_map(told).collect())
    }

    /// Whether an upstream is or was listed.
    pub fn ever_listed(&self, instance: &str) -> bool {
        self.registry.has_met(instance)
    }

    /// The number of an upstream that is listed. It outlives the list's next word.
    pub fn server_id(&self, instance: &str) -> Option<ServerId> {
        self.registry.known(instance)
    }

    /// Attempts that are out to an upstream.
    pub fn attempts_to(&self, server: ServerId) -> usize {
        self.open.values().flat_map(|open| &open.out).filter(|out| out.server == server).count()
    }

    /// Goes on under other settings, with what was learned: see [`fs::Balancer::reconfigure`]. The zone keeps its
    /// number, and a class that [`class_in_use`](Core::class_in_use) must keep number and effect.
    pub fn reconfigure(
        &mut self,
        settings: fs::Settings,
        learned: &[Option<fs::ClassId>],
    ) -> Result<(), String> {
        let (limits, warm_after) = (settings.limits.clone(), settings.rules.warm_up_time);
        self.balancer.reconfigure(settings, learned).map_err(|e| e.to_string())?;
        (self.limits, self.warm_after) = (limits, warm_after);
        Ok(())
    }

    /// A request that failed though surely no attempt ran is answered as refused: its client hears that it may come again.
    pub fn refuse_unsent(&mut self) {
        self.refuses_unsent = true;
    }

    /// Attempts end with the caller that leaves, also while attempts are kept: nobody waits for them, and one that still queues
    /// somewhere must not reach its upstream.
    pub fn cancel_on_disconnect(&mut self) {
        self.ends_for_gone = true;
    }

    /// Whether attempts are cut short from now on. One that is not, and whose upstream is at work, has what is left of its
    /// client's time.
    pub fn set_cancellation(&mut self, cuts: bool) {
        self.keeps = !cuts;
    }

    // Requests.

    /// Takes a request; its number. Its one final answer comes as an [`Output::Answer`].
    pub fn submit(&mut self, now: Micros, arrival: Arrival) -> RequestId {
        let Arrival { class, time_left, tenant, work, retry, body_pending: coming, operation } = arrival;
        let (id, deadline) = (self.next, now + time_left);
        self.next += 1;
        let (out, limits, failure) = (Vec::new(), Vec::new(), Failure::DeadlineExceeded);
        let open = Open {
            class,
            operation,
            doubt: false,
            waits: true,
            coming,
            deadline,
            time_left,
            sent: 0,
            out,
            limits,
            failure,
            error: None,
        };
        self.open.insert(id, open);
        self.set_timer(deadline.saturating_sub(LAST_RESORT), Due::LastResort(id));
        let time_left = time_left.saturating_sub(MARGIN);
        self.feed(now, Event::Request { id, class, time_left, tenant, work, retry });
        id
    }

    /// From now on no request of an operation gets a further attempt once one of its own may have run, whatever its class
    /// says. Those that are between two attempts have no other answer than that they failed; an attempt that is out is the
    /// request's last.
    pub fn forbid_retry(&mut self, now: Micros, operation: u64) {
        self.narrowed.insert(operation);
        let between = |o: &Open<R>| o.operation == Some(operation) && o.doubt && o.waits && o.out.is_empty();
        let mut given_up: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| between(o)).map(|(id, _)| *id).collect();
        // In the same order whatever the map's: runs can be repeated.
        given_up.sort_unstable();
        for id in given_up {
            self.answer(id, Answer::Failed);
            self.feed(now, Event::ClientGone { request: id });
        }
    }

    fn no_repeat(&self, open: &Open<R>) -> bool {
        open.doubt && open.operation.is_some_and(|operation| self.narrowed.contains(&operation))
    }

    /// The client left, or has its answer.
    pub fn caller_gone(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let left = std::mem::replace(&mut open.waits, false);
        // Its body can never come whole, and no limit would end it.
        let ends = open.coming || left && self.ends_for_gone;
        let cut: Vec<u32> = open.out.iter().filter(|_| ends).map(|out| out.attempt).collect();
        if left {
            self.feed(now, Event::ClientGone { request: id });
        }
        for attempt in cut {
            self.call_off(id, attempt, Outcome::Cancelled);
        }
        self.settle(id);
    }

    /// The last byte of a body that passes on has come: the time of the request and of its attempt begins.
    pub fn body_received(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|o| o.coming) else { return };
        open.coming = false;
        open.deadline = now + open.time_left;
        open.out.iter_mut().for_each(|out| out.at = now);
        let last = open.deadline.saturating_sub(LAST_RESORT);
        for (attempt, limit) in std::mem::take(&mut open.limits) {
            self.set_timer(now + limit, Due::Limit(id, attempt));
        }
        self.set_timer(last, Due::LastResort(id));
    }

    /// The beginning of an answer that goes on has come: the caller gets it now. Its end is told as ever. Where the
    /// caller has left the reply comes back: to drop it may end the attempt, which is not for in here.
    #[must_use]
    pub fn response_started(&mut self, now: Micros, id: RequestId, attempt: u32, reply: R) -> Option<R> {
        let Some(open) = self.open.get_mut(&id) else { return Some(reply) };
        let Some(out) = open.out.iter_mut().find(|o| o.attempt == attempt) else { return Some(reply) };
        out.begun = true;
        if !std::mem::replace(&mut open.waits, false) {
            return Some(reply);
        }
        self.outputs.push_back(Output::Answer { request: id, answer: Answer::Served(reply) });
        self.feed(now, Event::FirstByte { request: id, attempt });
        None
    }

    /// The one outcome of an attempt; later ones find it no longer out.
    pub fn attempt_ended(&mut self, now: Micros, id: RequestId, attempt: u32, ended: AttemptEnd<R>) {
        let AttemptEnd { outcome, load, reply, body_consumed: spent } = ended;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(at) = open.out.iter().position(|o| o.attempt == attempt) else { return };
        let out = open.out.swap_remove(at);
        open.limits.retain(|(a, _)| *a != attempt);
        open.doubt |= outcome != Outcome::Ok && !outcome.never_ran();
        let timed_out = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        open.failure = if timed_out { Failure::DeadlineExceeded } else { Failure::Upstream };
        let no_repeat = open.doubt && open.operation.is_some_and(|o| self.narrowed.contains(&o));
        let (reply, error) = if outcome == Outcome::Error { (None, reply) } else { (reply, None) };
        open.error = error;
        let answer = match (outcome, reply) {
            (Outcome::Ok, Some(reply)) => Some(Answer::Served(reply)),
            (outcome, _) if outcome != Outcome::Ok && no_repeat => Some(Answer::Failed(open.failure)),
            // What is left of its body is no request: no other attempt can follow. Each before it never ran, or it would
            // have been the last.
            (outcome, _) if spent && outcome != Outcome::Ok => Some(match outcome.never_ran() {
                true => Answer::Refused { retry_after: 0 },
                false => Answer::Failed(open.failure),
            }),
            _ => None,
        };
        if let Some(answer) = answer.filter(|_| std::mem::replace(&mut open.waits, false)) {
            self.outputs.push_back(Output::Answer { request: id, answer });
        }
        let closed = !self.open.get(&id).is_some_and(|o| o.waits);
        let latency = now.saturating_sub(out.at);
        let server = out.server;
        if event_enabled!(ATTEMPT_ENDED) {
            let (name, millis) = (self.registry.name(server).unwrap_or_default(), latency / 1000);
            emit_if_subscribed!(ATTEMPT_ENDED, upstream = %name, request = %id, attempt = %attempt,
                outcome = %format_args!("{outcome:?}"), latency = %millis;
                "attempt: ended at {name}, request {id}, attempt {attempt}, {outcome:?} after {millis} ms");
        }
        self.feed(now, Event::Outcome { request: id, attempt, server, outcome, latency, closed, load });
        self.settle(id);
    }

    /// An attempt was ended from this side, as [`Output::Abort`] asked. One whose request was not written never ran.
    pub fn attempt_aborted(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: u32,
        why: Outcome,
        may_have_run: bool,
    ) {
        let outcome = match why {
            Outcome::TimedOut if !may_have_run => Outcome::ConnectFailed,
            Outcome::Cancelled if !may_have_run => Outcome::NotSent,
            other => other,
        };
        self.attempt_ended(now, id, attempt, outcome.into());
    }

    /// Something that the module left is answered just before its client's time. Guards against a defect in it.
    fn last_resort(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        // A body is still coming, or its last byte came so late that the request has time left.
        let early = (open.coming && !open.out.is_empty()) || now + LAST_RESORT < open.deadline;
        if early || !std::mem::replace(&mut open.waits, false) {
            return;
        }
        // An attempt that is out may go on until now: the module has left nothing.
        if open.out.is_empty() {
            emit!(DEFECT, what = %"unanswered"; "defect: the module left request {id} unanswered; failed just before its time");
        }
        self.outputs
            .push_back(Output::Answer { request: id, answer: Answer::Failed(Failure::DeadlineExceeded) });
        self.feed(now, Event::ClientGone { request: id });
        self.settle(id);
    }

    /// Forgets a request that is answered and has nothing out.
    fn settle(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| !o.waits && o.out.is_empty()) {
            self.open.remove(&id);
            self.outputs.push_back(Output::Settled { request: id });
        }
    }

    pub(crate) fn call_off(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let out = self.open.get_mut(&id).and_then(|o| o.out.iter_mut().find(|o| o.attempt == attempt));
        let out = out.filter(|o| !(o.aborting || o.begun && outcome == Outcome::TimedOut));
        if let Some(out) = out {
            out.aborting = true;
            self.outputs.push_back(Output::Abort { request: id, attempt, outcome });
        }
    }

    // The list of upstreams.

    /// Starts the module with no list known. Guards against a module that waits for its first event while nothing but
    /// that event would make it ask discovery.
    pub fn start(&mut self, now: Micros) {
        self.feed(now, Event::Servers { kind: ListKind::Stale, entries: Vec::new() });
    }

    /// News of the list of upstreams; those that moved or are gone lose their idle connections.
    pub fn update_list(&mut self, now: Micros, kind: ListKind, listed: &[DiscoveryEntry]) {
        let (entries, stale) = self.registry.take(kind, listed);
        self.outputs.extend(stale.into_iter().map(|server| Output::CloseIdle { server }));
        self.listed |= kind != ListKind::Failed;
        self.tell_cold(now, &entries);
        self.feed(now, Event::Servers { kind, entries });
    }

    /// Sends nothing new to an upstream, whatever lists say, until it is put back; false for one that was never listed.
    pub fn enter_maintenance(&mut self, now: Micros, instance: &str) -> bool {
        let entries = self.registry.take_out(instance);
        self.ordered(now, entries)
    }

    /// The same by the word of another process, which has met it.
    pub fn replicate_maintenance(&mut self, now: Micros, instance: &str) {
        let entries = self.registry.order_out(instance);
        self.ordered(now, Some(entries));
    }

    /// Ends that; false for one that was never listed.
    pub fn exit_maintenance(&mut self, now: Micros, instance: &str) -> bool {
        let entries = self.registry.put_back(instance, now);
        self.ordered(now, entries)
    }

    /// Those put back whose start the list has not told; see [`import_unconfirmed_restarts`](Core::import_unconfirmed_restarts).
    pub fn unconfirmed_restarts(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.registry.returned()
    }

    /// Takes over what another process tells of those, before its list.
    pub fn import_unconfirmed_restarts(&mut self, returned: Vec<(String, Option<Micros>, Micros)>) {
        self.registry.take_returned(returned);
    }

    /// Upstreams that are cold, the share of its capacity that each has, and how often picks passed it over.
    pub fn cold_upstreams(&self, now: Micros) -> Vec<(String, f64, u64)> {
        let named = |(id, share, passed): (ServerId, f64, u64)| {
            Some((self.registry.name(id)?.to_owned(), share, passed))
        };
        self.balancer.cold_servers(now).into_iter().filter_map(named).collect()
    }

    /// Tells of those that a list newly names as cold; before the module hears of them, which may send at once.
    fn tell_cold(&mut self, now: Micros, entries: &[fs::ServerEntry]) {
        let mut names = Vec::new();
        for e in entries.iter().filter(|e| e.state == fs::ServerState::Ready) {
            let Some(age) =
                e.started_at.map(|at| now.saturating_sub(at)).filter(|age| *age < self.warm_after)
            else {
                continue;
            };
            let name = self.registry.name(e.id).unwrap_or_default();
            emit_if_subscribed!(COLD_LISTED, upstream = %name, age = %age / 1000; "cold: listed {name}, {} ms old", age / 1000);
            let began = Cold { started: e.started_at, passed: 0 };
            if self.cold.insert(e.id, began).is_none_or(|before| before.started != e.started_at) {
                names.push(name);
            }
        }
        told_cold(&names);
    }

    /// Looks who is cold in the module's eyes, now and then: tells of those that were and are no more, and of those whose
    /// start the list gave wrongly, so that it alone holds them for cold.
    fn look_cold(&mut self, now: Micros) {
        if now < self.cold_looked.saturating_add(COLD_LOOK) {
            return;
        }
        self.cold_looked = now;
        let (registry, mut new, mut over, mut passed) = (&self.registry, Vec::new(), Vec::new(), 0);
        let name = |id| registry.name(id).unwrap_or("one that is gone");
        let mut still = HashMap::new();
        for (id, _, passed) in self.balancer.cold_servers(now) {
            let before = self.cold.remove(&id);
            if before.is_none() {
                new.push(name(id));
            }
            still.insert(id, Cold { started: before.and_then(|cold| cold.started), passed });
        }
        for (id, cold) in std::mem::replace(&mut self.cold, still) {
            over.push(name(id));
            passed += cold.passed;
        }
        told_cold(&new);
        if !over.is_empty() {
            over.sort_unstable();
            let (count, some) = (over.len(), some(&over));
            emit_if_subscribed!(COLD_ENDED, upstreams = %some, count = %count, passed_over = %passed;
                "cold: warm or gone, passed over {passed} times: {some}");
        }
    }

    fn ordered(&mut self, now: Micros, entries: Option<Vec<fs::ServerEntry>>) -> bool {
        let Some(entries) = entries else { return false };
        if !entries.is_empty() {
            let out = entries.iter().filter(|e| e.state != fs::ServerState::Ready);
            self.outputs.extend(out.map(|e| Output::CloseIdle { server: e.id }));
            self.tell_cold(now, &entries);
            self.feed(now, Event::Servers { kind: ListKind::Changes, entries });
        }
        true
    }

    /// Where an upstream is, if it is listed.
    pub fn address(&self, server: ServerId) -> Option<std::net::SocketAddr> {
        self.registry.target(server).map(|to| to.address)
    }

    // What was learned.

    /// What the module has learned, for another process: its figures, and those of each zone by name.
    pub fn learned(&self) -> (fs::LearnedState, Vec<(String, Vec<f64>)>) {
        let mut learned = self.balancer.learned();
        let zones = std::mem::take(&mut learned.zones);
        (learned, self.named(zones))
    }

    /// Goes on with what another process has learned; after its list.
    pub fn import_learned(
        &mut self,
        now: Micros,
        mut learned: fs::LearnedState,
        zones: Vec<(String, Vec<f64>)>,
    ) {
        let numbered = |(name, figures): (String, _)| Some((self.registry.zone_number(&name)?, figures));
        learned.zones = zones.into_iter().filter_map(numbered).collect();
        self.balancer.restore(now, &learned);
    }

    /// Attempts that are out, by zone.
    pub fn in_flight(&self) -> Vec<(String, f64)> {
        self.named(self.balancer.in_flight())
    }

    /// What another process of this balancer has out from now on; both share each zone's window.
    pub fn set_sibling_in_flight(&mut self, now: Micros, others: &[(String, f64)]) {
        let numbered = |(name, n): &(String, f64)| Some((self.registry.zone_number(name)?, *n));
        let others: Vec<_> = others.iter().filter_map(numbered).collect();
        self.balancer.set_peer_in_flight(&others);
        // Places may be free: requests that are held are looked at.
        self.feed(now, Event::Timer { token: 0 });
    }

    fn named<T>(&self, zones: Vec<(fs::ZoneId, T)>) -> Vec<(String, T)> {
        let named = |(zone, of)| Some((self.registry.zone_name(zone)?.to_owned(), of));
        zones.into_iter().filter_map(named).collect()
    }

    // Time.

    /// A probe was answered or not.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        latency: Micros,
        outcome: Outcome,
        load: Option<fs::Load>,
    ) {
        self.feed(now, Event::Probed { server, outcome, latency, load });
    }

    /// Rings one timer that is due; false if none is.
    pub fn fire_timer(&mut self, now: Micros) -> bool {
        if self.next_timer().is_none_or(|at| at > now) {
            return false;
        }
        match self.timers.pop() {
            Some(Reverse((.., Due::Token(token)))) => {
                self.feed(now, Event::Timer { token });
                self.look_cold(now);
            }
            Some(Reverse((.., Due::Limit(..)))) if self.keeps => {}
            Some(Reverse((.., Due::Limit(id, attempt)))) => self.call_off(id, attempt, Outcome::TimedOut),
            Some(Reverse((.., Due::LastResort(id)))) => self.last_resort(now, id),
            None => return false,
        }
        true
    }

    fn set_timer(&mut self, at: Micros, due: Due) {
        // Guards the memory: a request is answered long before its last resort is due.
        if self.timers.len() >= self.most_timers {
            let open = &self.open;
            self.timers.retain(|Reverse((.., due))| match due {
                Due::Token(_) => true,
                Due::Limit(id, _) | Due::LastResort(id) => open.contains_key(id),
            });
            self.most_timers = (2 * self.timers.len()).max(LEAST_TIMERS);
        }
        let number = self.timer_number;
        self.timer_number += 1;
        self.timers.push(Reverse((at, number, due)));
    }

    /// The module's own timers never ring.
    #[cfg(test)]
    pub(crate) fn silence(&mut self) {
        self.timers.retain(|Reverse((.., due))| !matches!(due, Due::Token(_)));
    }

    /// How many timers wait.
    #[cfg(test)]
    pub(crate) fn timers(&self) -> usize {
        self.timers.len()
    }

    // The module.

    /// Hands events to the module in their order and does what it wants done.
    fn feed(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.cause = cause(&event);
            let balancer = &mut self.balancer;
            let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
            // Guards the other requests: the last resort answers those that a broken module leaves.
            if handled.is_err() {
                emit!(DEFECT, what = %"panicked"; "defect: the module panicked");
            }
            for action in actions.drain(..) {
                self.act(now, action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.send(now, request, server, limit),
            Action::Refuse { request, retry_after } => {
                let retry_after = if self.limits.retry_after { retry_after } else { 0 };
                // Whoever is refused repeats.
                let no_repeat = self.open.get(&request).is_some_and(|open| self.no_repeat(open));
                self.answer(request, |failure| match no_repeat {
                    true => Answer::Failed(failure),
                    false => Answer::Refused { retry_after },
                });
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { .. } if self.keeps => {}
            Action::Cancel { request, attempt } => self.call_off(request, attempt, Outcome::Cancelled),
            Action::Probe { server } => {
                self.outputs.extend(self.registry.target(server).map(|to| Output::Probe { to }));
            }
            Action::CloseIdle { server } => self.outputs.push_back(Output::CloseIdle { server }),
            Action::Timer { delay, token } => self.set_timer(now + delay, Due::Token(token)),
            Action::Watch => self.outputs.push_back(Output::Watch),
            Action::Fetch => self.outputs.push_back(Output::Fetch),
        }
    }

    fn answer(&mut self, id: RequestId, answer: impl FnOnce(Failure) -> Answer<R>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if std::mem::replace(&mut open.waits, false) {
            let unsent = self.refuses_unsent && !open.doubt && open.out.is_empty();
            let answer = match answer(open.failure) {
                Answer::Failed(_) if unsent => Answer::Refused { retry_after: 0 },
                Answer::Failed(failure) => open.error.take().map_or(Answer::Failed(failure), Answer::Served),
                other => other,
            };
            self.outputs.push_back(Output::Answer { request: id, answer });
        }
        self.settle(id);
    }

    /// Starts an attempt. What the rules forbid whatever the module says is not sent, and told so.
    pub(crate) fn send(&mut self, now: Micros, id: RequestId, server: ServerId, limit: Micros) {
        let to = self.registry.target(server);
        if let Some(cold) = self.cold.get(&server).filter(|_| event_enabled!(COLD_SENT)) {
            let age = cold.started.map_or(0, |at| now.saturating_sub(at)) / 1000;
            let name = self.registry.name(server).unwrap_or_default();
            let attempt = self.open.get(&id).map_or(0, |open| open.sent);
            let cause = self.cause;
            let class = self.open.get(&id).map_or(0, |open| open.class);
            // What the module went by, read after its own bookkeeping of this attempt.
            let (share, pace, warm, window, all_cold) =
                self.balancer.cold_admission_factors(now, server).unwrap_or((1.0, 0.0, 0, 0.0, false));
            let pace = pace / 1000.0;
            emit_if_subscribed!(COLD_SENT, upstream = %name, age = %age, request = %id, attempt = %attempt, cause = %cause,
                class = %class, share = %share, pace = %pace, warm = %warm, window = %window, all_cold = %all_cold;
                "cold: sent to {name}, {age} ms old, request {id}, attempt {attempt}, on {cause}, class {class}, \
                 share {share:.3}, pace {pace:.0} ms, warm {warm}, window {window:.2}, all cold {all_cold}");
        }
        if let Some(open) = self.open.get(&id).filter(|_| event_enabled!(ATTEMPT_SENT)) {
            let name = self.registry.name(server).unwrap_or_default();
            let (attempt, class) = (open.sent, open.class);
            emit_if_subscribed!(ATTEMPT_SENT, upstream = %name, request = %id, attempt = %attempt, class = %class;
                "attempt: sent to {name}, request {id}, attempt {attempt}, class {class}");
        }
        let not_sent = |attempt, closed| Event::Outcome {
            request: id,
            attempt,
            server,
            outcome: Outcome::NotSent,
            latency: 0,
            closed,
            load: None,
        };
        let Some(open) = self.open.get_mut(&id) else {
            return self.events.push_back(not_sent(0, true));
        };
        let attempt = open.sent;
        open.sent += 1;
        let left = open.deadline.saturating_sub(now + LAST_RESORT);
        // The time of a body that still comes has not begun.
        let left = if open.coming { open.time_left.saturating_sub(LAST_RESORT) } else { left };
        let limit = if limit == 0 || self.keeps { left } else { limit.min(left) };
        let copies = open.out.is_empty() || self.limits.concurrent_attempts;
        let may = open.waits && copies && attempt < self.limits.max_attempts && limit > 0;
        let Some(to) = to.filter(|_| may) else {
            open.failure = Failure::Upstream;
            let closed = !open.waits;
            self.events.push_back(not_sent(attempt, closed));
            return self.settle(id);
        };
        open.out.push(Out { attempt, server, at: now, aborting: false, begun: false });
        let coming = open.coming;
        if coming {
            open.limits.push((attempt, limit));
        }
        self.outputs.push_back(Output::Send { request: id, attempt, to, limit });
        if !coming {
            self.set_timer(now + limit, Due::Limit(id, attempt));
        }
    }
}
