//! The state machine of one balancer between its callers and its upstreams: open requests, attempts, timers, the list
//! of upstreams and the decision module [`finchshift`]. It does no I/O and has no clock. Inputs are method calls that
//! pass the current time; outputs are [`Output`]s, to be carried out in order. The daemon drives it from sockets, the
//! emulator from its event queue.
//!
//! `R` is the type of an upstream's reply; the core passes replies through without looking into them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};

use finchshift as fs;
use finchshift::{Action, Event, ListKind, Micros, Outcome, RequestId, ServerId};
use sloeline_events::{emit, emit_if_subscribed, event_enabled};
use sloeline_settings::setup::NameTable;

use crate::registry::Registry;
use crate::types::{Answer, DiscoveryEntry, Failure, Target};

/// Subtracted from the client's time before it is passed to the decision module, in microseconds. Covers sending the
/// answer to the client and the granularity of timers.
const ANSWER_MARGIN_US: Micros = 10_000;
/// A request that the decision module has not answered fails this long before the client's deadline, in microseconds.
const FALLBACK_MARGIN_US: Micros = 5_000;

/// Timers of answered requests are pruned only when at least this many timers are pending.
pub(crate) const MIN_PRUNE_THRESHOLD: usize = 512;

/// An instruction from the core to its driver. Variants that need a response name the method that takes it.
#[derive(Debug, PartialEq)]
pub enum Output<R> {
    /// Start an attempt. The driver reports its end once, through [`Core::attempt_ended`].
    Send {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request, from 0.
        attempt: u32,
        /// The upstream to send to.
        to: Target,
        /// Timeout of the attempt. The core enforces it with an [`Output::Abort`].
        limit: Micros,
    },
    /// End an attempt by closing its connection. The driver confirms through [`Core::attempt_aborted`].
    Abort {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within the request.
        attempt: u32,
        /// The reason, to be passed back to [`Core::attempt_aborted`].
        outcome: Outcome,
    },
    /// Deliver the final answer. Issued once for each request, unless its caller disconnects first.
    Answer {
        /// The request that is answered.
        request: RequestId,
        /// The final answer.
        answer: Answer<R>,
    },
    /// The request is answered or abandoned, has no attempt in flight, and has been removed from the core.
    Settled {
        /// The request that was removed.
        request: RequestId,
    },
    /// Send a health probe. The driver reports the result through [`Core::probe_ended`].
    Probe {
        /// The upstream to probe.
        to: Target,
    },
    /// Close the idle connections to an upstream.
    CloseIdle {
        /// The upstream whose connections are closed.
        server: ServerId,
    },
    /// Start watching discovery for changes of the upstream list.
    Watch,
    /// Fetch the whole upstream list from discovery once.
    Fetch,
}

/// The purpose of a timer.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// A timer of the decision module, with the token that the module chose.
    Module(u64),
    /// The timeout of an attempt of a request.
    Attempt(RequestId, u32),
    /// The last chance to answer a request before its client's deadline.
    Fallback(RequestId),
}

/// An attempt that has been sent and has not ended.
struct InFlight {
    /// Number of the attempt within its request.
    attempt: u32,
    /// The upstream that it was sent to.
    server: ServerId,
    /// When it was sent, or when the last byte of a streamed request body arrived.
    started_at: Micros,
    /// Whether an [`Output::Abort`] has been issued for it.
    aborting: bool,
    /// Whether its response is being forwarded to the caller. No timeout applies from then on.
    response_started: bool,
}

/// A request that is unanswered or has attempts in flight.
struct OpenRequest<R> {
    /// The class of the request.
    class: fs::ClassId,
    /// The operation that the request runs, if known.
    operation: Option<u64>,
    /// Whether an upstream may have executed an attempt that did not succeed.
    may_have_run: bool,
    /// Whether the caller still waits for the final answer.
    awaiting_answer: bool,
    /// Whether the body is still being received from the caller. The time limit starts with its last byte.
    body_pending: bool,
    /// When the client stops waiting.
    deadline: Micros,
    /// The time that the client waits, from arrival or from the last byte of the body.
    time_left: Micros,
    /// Number of attempts made so far.
    attempts: u32,
    /// Attempts that have not ended.
    in_flight: Vec<InFlight>,
    /// Attempt numbers and timeouts of attempts that started before the last byte of the body. Their timers are set
    /// when the body is complete.
    deferred_timeouts: Vec<(u32, Micros)>,
    /// The reason to report if the request fails now.
    failure: Failure,
    /// The error reply of the latest attempt that ended, if the transport provided one. It is the final answer if the
    /// request fails.
    error_reply: Option<R>,
}

/// The parameters of a new request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// The class of the request.
    pub class: fs::ClassId,
    /// How long the client waits, from now or from the last byte of a streamed body.
    pub time_left: Micros,
    /// The tenant that the request belongs to, if any.
    pub tenant: Option<fs::TenantId>,
    /// Estimated processing time at an upstream, if known.
    pub work: Option<Micros>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// Whether the body is still being received; [`Core::body_received`] reports its last byte.
    pub body_pending: bool,
    /// The operation that the request runs, if known.
    pub operation: Option<u64>,
}

/// The status of an open request, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestStatus {
    /// The id of the request; ids increase in the order of arrival.
    pub request: RequestId,
    /// The class of the request.
    pub class: fs::ClassId,
    /// The processing stage.
    pub stage: Stage,
    /// Time since the request arrived, or since the last byte of a streamed body.
    pub age: Micros,
    /// Time until the client's deadline.
    pub time_left: Micros,
    /// Number of attempts made so far.
    pub attempts: u32,
    /// Whether an upstream may have executed an attempt that did not succeed.
    pub may_have_run: bool,
    /// The upstream of each attempt in flight, and the time since the attempt was sent.
    pub in_flight: Vec<(String, Micros)>,
}

/// The processing stage of an open request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// No attempt is in flight.
    Queued,
    /// An attempt is in flight.
    InFlight,
    /// An attempt is in flight while the body is still being received from the client.
    ReceivingBody,
    /// The client has its answer or has disconnected; an attempt has not ended yet.
    Answered,
}

/// The end of an attempt, as reported by the driver.
#[derive(Debug)]
pub struct AttemptEnd<R> {
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// The load that the upstream reported, if any.
    pub load: Option<fs::Load>,
    /// The reply for the caller; `None` if [`Core::response_started`] has forwarded it already.
    pub reply: Option<R>,
    /// Whether a part of a streamed request body has been consumed, so that the request cannot be sent again.
    pub body_consumed: bool,
}

impl<R> From<Outcome> for AttemptEnd<R> {
    fn from(outcome: Outcome) -> AttemptEnd<R> {
        AttemptEnd { outcome, load: None, reply: None, body_consumed: false }
    }
}

/// The state of one balancer.
pub struct Core<R> {
    /// The decision module.
    balancer: fs::Balancer,
    /// Limits on what the decision module may do, from the settings.
    limits: fs::Limits,
    /// Requests that are unanswered or have attempts in flight.
    open: HashMap<RequestId, OpenRequest<R>>,
    /// The id of the next request.
    next_id: RequestId,
    /// Pending timers: due time, sequence number and purpose, the earliest first.
    timers: BinaryHeap<Reverse<(Micros, u64, Timer)>>,
    /// The sequence number of the next timer. Timers that are due at the same time fire in this order.
    next_timer_number: u64,
    /// When this many timers are pending, those of removed requests are dropped.
    prune_threshold: usize,
    /// The listed upstreams.
    registry: Registry,
    /// Whether an upstream list has arrived.
    has_list: bool,
    /// Operations whose requests must not be retried after an attempt may have run, whatever their class allows.
    retry_forbidden: HashSet<u64>,
    /// Events to be passed to the decision module.
    events: VecDeque<Event>,
    /// Buffer for the actions that the decision module returns.
    actions: Vec<Action>,
    /// Outputs that the driver has not taken yet.
    outputs: VecDeque<Output<R>>,
    /// Name of the event that the decision module is handling, for log events.
    cause: &'static str,
    /// Time after which a started upstream counts as warm.
    warm_up_time: Micros,
    /// Whether requests that failed without any attempt having run are refused, see [`Core::refuse_unsent`].
    refuse_unsent: bool,
    /// Whether attempts end when their caller disconnects, see [`Core::cancel_on_disconnect`].
    cancel_on_disconnect: bool,
    /// Whether attempts run until the client's deadline, see [`Core::set_cancellation`].
    cancellation_disabled: bool,
    /// Upstreams that have been logged as cold.
    cold: HashMap<ServerId, ColdUpstream>,
    /// When `cold` was last compared with the decision module.
    cold_checked_at: Micros,
}

/// Maximum number of upstream names in a log event; the others are only counted.
const MAX_LOGGED_NAMES: usize = 8;
/// Minimum interval between checks for upstreams that have become warm, whose result is only logged.
const COLD_CHECK_INTERVAL_US: Micros = 1_000_000;

/// A cold upstream that has been logged: one that started too recently to get its full share of requests.
struct ColdUpstream {
    /// The start time in the list; `None` if only the decision module treats the upstream as cold.
    started: Option<Micros>,
    /// How often the decision module had passed the upstream over at the last check.
    passed_over: u64,
}

/// Logs that upstreams are newly cold.
fn log_cold(names: &[&str]) {
    if !names.is_empty() {
        let (count, some) = (names.len(), abbreviate(names));
        emit_if_subscribed!(COLD_STARTED, upstreams = %some, count = %count; "cold: just started: {some}");
    }
}

/// Joins names for a log event: the first [`MAX_LOGGED_NAMES`] and the number of the others.
fn abbreviate(names: &[&str]) -> String {
    let first = names.iter().take(MAX_LOGGED_NAMES).copied().collect::<Vec<_>>().join(" ");
    match names.len().saturating_sub(MAX_LOGGED_NAMES) {
        0 => first,
        more => format!("{first} and {more} more"),
    }
}

/// The name of an event in the `cause` field of log events.
fn cause_name(event: &Event) -> &'static str {
    match event {
        Event::Servers { .. } => "list",
        Event::Request { .. } => "request",
        Event::Outcome { .. } => "outcome",
        Event::Timer { .. } => "timer",
        _ => "other",
    }
}

impl<R> Core<R> {
    /// Creates a balancer. `zones` maps the zone names to the numbers that `settings` use; `seed` makes runs
    /// repeatable.
    pub fn new(settings: fs::Settings, zones: &NameTable, seed: u64) -> Result<Core<R>, String> {
        let (limits, warm_up_time) = (settings.limits.clone(), settings.rules.warm_up_time);
        let balancer = fs::Balancer::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Core {
            balancer,
            limits,
            open: HashMap::new(),
            next_id: 0,
            timers: BinaryHeap::new(),
            next_timer_number: 0,
            prune_threshold: MIN_PRUNE_THRESHOLD,
            registry: Registry::new(zones),
            has_list: false,
            retry_forbidden: HashSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            outputs: VecDeque::new(),
            cause: "",
            warm_up_time,
            refuse_unsent: false,
            cancel_on_disconnect: false,
            cancellation_disabled: false,
            cold: HashMap::new(),
            cold_checked_at: 0,
        })
    }

    /// Returns the next output. The driver calls this after every input until it returns `None`.
    pub fn next_output(&mut self) -> Option<Output<R>> {
        self.outputs.pop_front()
    }

    /// When the earliest timer is due; the driver then calls [`fire_timer`](Core::fire_timer).
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    // State queries.

    /// Whether a list of upstreams has arrived, be it a stored one from an earlier run.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Number of listed upstreams that accept requests.
    pub fn ready_upstreams(&self) -> usize {
        self.registry.ready()
    }

    /// Number of open requests: unanswered, or with an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// Whether a request of the class is open, so that the class must not be redefined.
    pub fn class_in_use(&self, class: fs::ClassId) -> bool {
        self.open.values().any(|o| o.class == class)
    }

    /// Whether an upstream may have executed an attempt of the request that did not succeed.
    pub fn may_have_run(&self, id: RequestId) -> bool {
        self.open.get(&id).is_some_and(|open| open.may_have_run)
    }

    /// The list of upstreams as last received, or `None` before the first list.
    pub fn current_list(&self) -> Option<Vec<DiscoveryEntry>> {
        self.has_list.then(|| self.registry.listed())
    }

    /// The number of open requests at each stage, and the status of the `max` oldest requests.
    pub fn requests(&self, now: Micros, max: usize) -> (BTreeMap<Stage, usize>, Vec<RequestStatus>) {
        let stage = |open: &OpenRequest<R>| match (
            open.awaiting_answer,
            open.in_flight.is_empty(),
            open.body_pending,
        ) {
            (false, ..) => Stage::Answered,
            (true, true, _) => Stage::Queued,
            (true, false, true) => Stage::ReceivingBody,
            (true, false, false) => Stage::InFlight,
        };
        let mut stages = BTreeMap::new();
        self.open.values().for_each(|open| *stages.entry(stage(open)).or_default() += 1);
        let mut oldest: Vec<RequestId> = self.open.keys().copied().collect();
        if oldest.len() > max {
            oldest.select_nth_unstable(max);
            oldest.truncate(max);
        }
        oldest.sort_unstable();
        let name = |server| self.registry.name(server).unwrap_or_default().to_owned();
        let status = |id: RequestId| {
            let open = self.open.get(&id)?;
            Some(RequestStatus {
                request: id,
                class: open.class,
                stage: stage(open),
                age: (now + open.time_left).saturating_sub(open.deadline),
                time_left: open.deadline.saturating_sub(now),
                attempts: open.attempts,
                may_have_run: open.may_have_run,
                in_flight: open
                    .in_flight
                    .iter()
                    .map(|o| (name(o.server), now.saturating_sub(o.started_at)))
                    .collect(),
            })
        };
        (stages, oldest.into_iter().filter_map(status).collect())
    }

    /// Whether an upstream is listed, was listed before, or is in maintenance.
    pub fn ever_listed(&self, instance: &str) -> bool {
        self.registry.ever_listed(instance)
    }

    /// The id of a listed upstream. An id is never reused for another upstream, even after the upstream has left the
    /// list.
    pub fn server_id(&self, instance: &str) -> Option<ServerId> {
        self.registry.server_id(instance)
    }

    /// Number of attempts in flight to an upstream.
    pub fn attempts_to(&self, server: ServerId) -> usize {
        self.open.values().flat_map(|open| &open.in_flight).filter(|sent| sent.server == server).count()
    }

    /// Replaces the settings and keeps the learned state, see [`fs::Balancer::reconfigure`]. The balancer's zone must
    /// keep its number, and a class that is in use, see [`class_in_use`](Core::class_in_use), must keep its number
    /// and effect.
    pub fn reconfigure(
        &mut self,
        settings: fs::Settings,
        learned: &[Option<fs::ClassId>],
    ) -> Result<(), String> {
        let (limits, warm_up_time) = (settings.limits.clone(), settings.rules.warm_up_time);
        self.balancer.reconfigure(settings, learned).map_err(|e| e.to_string())?;
        (self.limits, self.warm_up_time) = (limits, warm_up_time);
        Ok(())
    }

    /// From now on, a request that fails although certainly no attempt ran is answered as refused, which tells the
    /// client that a retry is safe.
    pub fn refuse_unsent(&mut self) {
        self.refuse_unsent = true;
    }

    /// From now on, attempts are aborted when their caller disconnects, even while cancellation is disabled: nobody
    /// waits for the result, and an attempt that is still queued on the way must not reach its upstream.
    pub fn cancel_on_disconnect(&mut self) {
        self.cancel_on_disconnect = true;
    }

    /// Enables or disables the cancellation of attempts before the client's deadline, by timeout or by the decision
    /// module. While it is disabled, an upstream that is processing an attempt has until the client's deadline.
    pub fn set_cancellation(&mut self, enabled: bool) {
        self.cancellation_disabled = !enabled;
    }

    // Requests.

    /// Accepts a request and returns its id. The final answer follows as an [`Output::Answer`], exactly once.
    pub fn submit(&mut self, now: Micros, arrival: Arrival) -> RequestId {
        let Arrival { class, time_left, tenant, work, retry, body_pending, operation } = arrival;
        let (id, deadline) = (self.next_id, now + time_left);
        self.next_id += 1;
        let (in_flight, deferred_timeouts, failure) = (Vec::new(), Vec::new(), Failure::DeadlineExceeded);
        let open = OpenRequest {
            class,
            operation,
            may_have_run: false,
            awaiting_answer: true,
            body_pending,
            deadline,
            time_left,
            attempts: 0,
            in_flight,
            deferred_timeouts,
            failure,
            error_reply: None,
        };
        self.open.insert(id, open);
        self.set_timer(deadline.saturating_sub(FALLBACK_MARGIN_US), Timer::Fallback(id));
        let time_left = time_left.saturating_sub(ANSWER_MARGIN_US);
        self.handle_event(now, Event::Request { id, class, time_left, tenant, work, retry });
        id
    }

    /// From now on, no request of an operation is retried once one of its attempts may have run, whatever its class
    /// allows. Requests of the operation that are waiting between two such attempts fail at once. An attempt in
    /// flight is the last one of its request, unless it certainly never ran.
    pub fn forbid_retry(&mut self, now: Micros, operation: u64) {
        self.retry_forbidden.insert(operation);
        let between = |o: &OpenRequest<R>| {
            o.operation == Some(operation) && o.may_have_run && o.awaiting_answer && o.in_flight.is_empty()
        };
        let mut failing: Vec<RequestId> =
            self.open.iter().filter(|(_, o)| between(o)).map(|(id, _)| *id).collect();
        // Sorted, so that runs are repeatable: the iteration order of the map is not.
        failing.sort_unstable();
        for id in failing {
            self.answer(id, Answer::Failed);
            self.handle_event(now, Event::ClientGone { request: id });
        }
    }

    /// Whether the request must not be retried: an attempt may have run and [`Core::forbid_retry`] names its
    /// operation.
    fn must_not_retry(&self, open: &OpenRequest<R>) -> bool {
        open.may_have_run && open.operation.is_some_and(|operation| self.retry_forbidden.contains(&operation))
    }

    /// The caller has disconnected or has received its answer.
    pub fn caller_gone(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let disconnected = std::mem::replace(&mut open.awaiting_answer, false);
        // An incomplete body can never be completed, and no timeout would end its attempt.
        let abort = open.body_pending || disconnected && self.cancel_on_disconnect;
        let aborted: Vec<u32> = open.in_flight.iter().filter(|_| abort).map(|sent| sent.attempt).collect();
        if disconnected {
            self.handle_event(now, Event::ClientGone { request: id });
        }
        for attempt in aborted {
            self.abort_attempt(id, attempt, Outcome::Cancelled);
        }
        self.remove_if_settled(id);
    }

    /// The last byte of a streamed request body has arrived. The time limits of the request and its attempts start
    /// now.
    pub fn body_received(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|o| o.body_pending) else { return };
        open.body_pending = false;
        open.deadline = now + open.time_left;
        open.in_flight.iter_mut().for_each(|sent| sent.started_at = now);
        let fallback_at = open.deadline.saturating_sub(FALLBACK_MARGIN_US);
        for (attempt, timeout) in std::mem::take(&mut open.deferred_timeouts) {
            self.set_timer(now + timeout, Timer::Attempt(id, attempt));
        }
        self.set_timer(fallback_at, Timer::Fallback(id));
    }

    /// The start of a streamed response has arrived and is delivered to the caller now. The end of the attempt is
    /// reported as usual. If the caller has disconnected, the reply is returned: dropping it may end the attempt, and
    /// the end must not be reported while the core is borrowed.
    #[must_use]
    pub fn response_started(&mut self, now: Micros, id: RequestId, attempt: u32, reply: R) -> Option<R> {
        let Some(open) = self.open.get_mut(&id) else { return Some(reply) };
        let Some(sent) = open.in_flight.iter_mut().find(|o| o.attempt == attempt) else { return Some(reply) };
        sent.response_started = true;
        if !std::mem::replace(&mut open.awaiting_answer, false) {
            return Some(reply);
        }
        self.outputs.push_back(Output::Answer { request: id, answer: Answer::Served(reply) });
        self.handle_event(now, Event::FirstByte { request: id, attempt });
        None
    }

    /// An attempt has ended. Only the first report for an attempt has an effect.
    pub fn attempt_ended(&mut self, now: Micros, id: RequestId, attempt: u32, end: AttemptEnd<R>) {
        let AttemptEnd { outcome, load, reply, body_consumed } = end;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(at) = open.in_flight.iter().position(|o| o.attempt == attempt) else { return };
        let sent = open.in_flight.swap_remove(at);
        open.deferred_timeouts.retain(|(a, _)| *a != attempt);
        open.may_have_run |= outcome != Outcome::Ok && !outcome.never_ran();
        let timed_out = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
        open.failure = if timed_out { Failure::DeadlineExceeded } else { Failure::Upstream };
        let must_not_retry =
            open.may_have_run && open.operation.is_some_and(|o| self.retry_forbidden.contains(&o));
        let (reply, error_reply) = if outcome == Outcome::Error { (None, reply) } else { (reply, None) };
        open.error_reply = error_reply;
        let answer = match (outcome, reply) {
            (Outcome::Ok, Some(reply)) => Some(Answer::Served(reply)),
            (outcome, _) if outcome != Outcome::Ok && must_not_retry => Some(Answer::Failed(open.failure)),
            // The consumed body cannot be sent again, so no other attempt can follow. Earlier attempts cannot have
            // run: any that may have run would have been the last one.
            (outcome, _) if body_consumed && outcome != Outcome::Ok => Some(match outcome.never_ran() {
                true => Answer::Refused { retry_after: 0 },
                false => Answer::Failed(open.failure),
            }),
            _ => None,
        };
        if let Some(answer) = answer.filter(|_| std::mem::replace(&mut open.awaiting_answer, false)) {
            self.outputs.push_back(Output::Answer { request: id, answer });
        }
        let closed = !self.open.get(&id).is_some_and(|o| o.awaiting_answer);
        let latency = now.saturating_sub(sent.started_at);
        let server = sent.server;
        if event_enabled!(ATTEMPT_ENDED) {
            let (name, millis) = (self.registry.name(server).unwrap_or_default(), latency / 1000);
            emit_if_subscribed!(ATTEMPT_ENDED, upstream = %name, request = %id, attempt = %attempt,
                outcome = %format_args!("{outcome:?}"), latency = %millis;
                "attempt: ended at {name}, request {id}, attempt {attempt}, {outcome:?} after {millis} ms");
        }
        self.handle_event(
            now,
            Event::Outcome { request: id, attempt, server, outcome, latency, closed, load },
        );
        self.remove_if_settled(id);
    }

    /// An attempt was aborted as [`Output::Abort`] requested. If its request was never written, it cannot have run,
    /// and the outcome says so.
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

    /// Answers a request that is still unanswered as if its time were over.
    pub fn expire(&mut self, now: Micros, id: RequestId) {
        self.answer(id, Answer::Failed);
        self.handle_event(now, Event::ClientGone { request: id });
    }

    /// Fails a request that is still unanswered just before its client's deadline. Guards against a defect in the
    /// decision module.
    fn answer_fallback(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        // The body is still being received, or its last byte arrived so late that the request has time left.
        let early =
            (open.body_pending && !open.in_flight.is_empty()) || now + FALLBACK_MARGIN_US < open.deadline;
        if early || !std::mem::replace(&mut open.awaiting_answer, false) {
            return;
        }
        // An attempt in flight may legitimately last until now; only a request without one is a defect of the module.
        if open.in_flight.is_empty() {
            emit!(DEFECT, what = %"unanswered"; "defect: the decision module left request {id} unanswered; failed it just before its deadline");
        }
        self.outputs
            .push_back(Output::Answer { request: id, answer: Answer::Failed(Failure::DeadlineExceeded) });
        self.handle_event(now, Event::ClientGone { request: id });
        self.remove_if_settled(id);
    }

    /// Removes a request that is answered or abandoned and has no attempt in flight.
    fn remove_if_settled(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| !o.awaiting_answer && o.in_flight.is_empty()) {
            self.open.remove(&id);
            self.outputs.push_back(Output::Settled { request: id });
        }
    }

    /// Issues an abort for an attempt in flight, unless one was issued before. An attempt whose response has started
    /// does not time out.
    pub(crate) fn abort_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let found =
            self.open.get_mut(&id).and_then(|o| o.in_flight.iter_mut().find(|o| o.attempt == attempt));
        let found = found.filter(|o| !(o.aborting || o.response_started && outcome == Outcome::TimedOut));
        if let Some(sent) = found {
            sent.aborting = true;
            self.outputs.push_back(Output::Abort { request: id, attempt, outcome });
        }
    }

    // The list of upstreams.

    /// Starts the decision module without a stored list. The module requests a list from discovery only when it
    /// handles an event, so it needs this first one.
    pub fn start(&mut self, now: Micros) {
        self.handle_event(now, Event::Servers { kind: ListKind::Stale, entries: Vec::new() });
    }

    /// Applies a list of upstreams or changes to it. Idle connections to upstreams that moved or were removed are
    /// closed.
    pub fn update_list(&mut self, now: Micros, kind: ListKind, listed: &[DiscoveryEntry]) {
        let (entries, moved) = self.registry.apply_list(kind, listed);
        self.outputs.extend(moved.into_iter().map(|server| Output::CloseIdle { server }));
        self.has_list |= kind != ListKind::Failed;
        self.log_newly_cold(now, &entries);
        self.handle_event(now, Event::Servers { kind, entries });
    }

    /// Puts an upstream into maintenance: it gets no new requests, whatever lists say, until
    /// [`exit_maintenance`](Core::exit_maintenance). Returns false for an upstream that was never listed.
    pub fn enter_maintenance(&mut self, now: Micros, instance: &str) -> bool {
        let entries = self.registry.enter_maintenance(instance);
        self.apply_maintenance(now, entries)
    }

    /// Puts an upstream into maintenance on behalf of another process, which knows the upstream, even if it was never
    /// listed here.
    pub fn replicate_maintenance(&mut self, now: Micros, instance: &str) {
        let entries = self.registry.replicate_maintenance(instance);
        self.apply_maintenance(now, Some(entries));
    }

    /// Takes an upstream out of maintenance. Unless the list has a new start time for the upstream, it counts as
    /// started now. Returns false for an upstream that was never listed.
    pub fn exit_maintenance(&mut self, now: Micros, instance: &str) -> bool {
        let entries = self.registry.exit_maintenance(instance, now);
        self.apply_maintenance(now, entries)
    }

    /// Upstreams that left maintenance and whose restart the list has not confirmed: the instance, the start time in
    /// the list, and the time from which the upstream counts as started. For
    /// [`import_unconfirmed_restarts`](Core::import_unconfirmed_restarts) of another process.
    pub fn unconfirmed_restarts(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.registry.unconfirmed_restarts()
    }

    /// Adds the [`unconfirmed_restarts`](Core::unconfirmed_restarts) of another process. Call this before applying
    /// the list of that process.
    pub fn import_unconfirmed_restarts(&mut self, restarts: Vec<(String, Option<Micros>, Micros)>) {
        self.registry.import_unconfirmed_restarts(restarts);
    }

    /// Cold upstreams: the instance, the current share of its capacity, and how often the decision module passed it
    /// over.
    pub fn cold_upstreams(&self, now: Micros) -> Vec<(String, f64, u64)> {
        let named = |(id, share, passed_over): (ServerId, f64, u64)| {
            Some((self.registry.name(id)?.to_owned(), share, passed_over))
        };
        self.balancer.cold_servers(now).into_iter().filter_map(named).collect()
    }

    /// Logs upstreams that a list newly reports as cold. Called before the decision module gets the list, as it may
    /// send requests to them at once.
    fn log_newly_cold(&mut self, now: Micros, entries: &[fs::ServerEntry]) {
        let mut names = Vec::new();
        for e in entries.iter().filter(|e| e.state == fs::ServerState::Ready) {
            let Some(age) =
                e.started_at.map(|at| now.saturating_sub(at)).filter(|age| *age < self.warm_up_time)
            else {
                continue;
            };
            let name = self.registry.name(e.id).unwrap_or_default();
            emit_if_subscribed!(COLD_LISTED, upstream = %name, age = %age / 1000; "cold: listed {name}, {} ms old", age / 1000);
            let cold = ColdUpstream { started: e.started_at, passed_over: 0 };
            if self.cold.insert(e.id, cold).is_none_or(|before| before.started != e.started_at) {
                names.push(name);
            }
        }
        log_cold(&names);
    }

    /// Compares the cold upstreams with the decision module, at most once per [`COLD_CHECK_INTERVAL_US`]. Logs those
    /// that are warm or gone now, and those that the module treats as cold although the list did not say so.
    fn refresh_cold(&mut self, now: Micros) {
        if now < self.cold_checked_at.saturating_add(COLD_CHECK_INTERVAL_US) {
            return;
        }
        self.cold_checked_at = now;
        let (registry, mut new, mut ended, mut passed_over) = (&self.registry, Vec::new(), Vec::new(), 0);
        let name = |id| registry.name(id).unwrap_or("a removed upstream");
        let mut still = HashMap::new();
        for (id, _, passed_over) in self.balancer.cold_servers(now) {
            let before = self.cold.remove(&id);
            if before.is_none() {
                new.push(name(id));
            }
            still.insert(id, ColdUpstream { started: before.and_then(|cold| cold.started), passed_over });
        }
        for (id, cold) in std::mem::replace(&mut self.cold, still) {
            ended.push(name(id));
            passed_over += cold.passed_over;
        }
        log_cold(&new);
        if !ended.is_empty() {
            ended.sort_unstable();
            let (count, some) = (ended.len(), abbreviate(&ended));
            emit_if_subscribed!(COLD_ENDED, upstreams = %some, count = %count, passed_over = %passed_over;
                "cold: warm or gone, passed over {passed_over} times: {some}");
        }
    }

    /// Passes entries that a maintenance change produced to the decision module, and closes idle connections to
    /// upstreams that accept no requests. Returns false for `None`, which stands for an upstream that was never
    /// listed.
    fn apply_maintenance(&mut self, now: Micros, entries: Option<Vec<fs::ServerEntry>>) -> bool {
        let Some(entries) = entries else { return false };
        if !entries.is_empty() {
            let unavailable = entries.iter().filter(|e| e.state != fs::ServerState::Ready);
            self.outputs.extend(unavailable.map(|e| Output::CloseIdle { server: e.id }));
            self.log_newly_cold(now, &entries);
            self.handle_event(now, Event::Servers { kind: ListKind::Changes, entries });
        }
        true
    }

    /// The address of an upstream, if it is listed.
    pub fn address(&self, server: ServerId) -> Option<std::net::SocketAddr> {
        self.registry.target(server).map(|to| to.address)
    }

    // Learned state.

    /// The learned state of the decision module, to be imported by another process. The values of each zone are
    /// returned separately, by zone name, as zone numbers differ between processes.
    pub fn learned(&self) -> (fs::LearnedState, Vec<(String, Vec<f64>)>) {
        let mut learned = self.balancer.learned();
        let zones = std::mem::take(&mut learned.zones);
        (learned, self.by_zone_name(zones))
    }

    /// Imports the [`learned`](Core::learned) state of another process. Call this after applying the list of that
    /// process.
    pub fn import_learned(
        &mut self,
        now: Micros,
        mut learned: fs::LearnedState,
        zones: Vec<(String, Vec<f64>)>,
    ) {
        let numbered = |(name, values): (String, _)| Some((self.registry.zone_number(&name)?, values));
        learned.zones = zones.into_iter().filter_map(numbered).collect();
        self.balancer.restore(now, &learned);
    }

    /// Attempts in flight, by zone name.
    pub fn in_flight(&self) -> Vec<(String, f64)> {
        self.by_zone_name(self.balancer.in_flight())
    }

    /// Sets the number of attempts that another process of this balancer has in flight in each zone. Both processes
    /// share the concurrency window of a zone.
    pub fn set_sibling_in_flight(&mut self, now: Micros, others: &[(String, f64)]) {
        let numbered = |(name, n): &(String, f64)| Some((self.registry.zone_number(name)?, *n));
        let others: Vec<_> = others.iter().filter_map(numbered).collect();
        self.balancer.set_peer_in_flight(&others);
        // Capacity may have become free: lets the decision module send queued requests.
        self.handle_event(now, Event::Timer { token: 0 });
    }

    /// Replaces zone numbers by zone names; zones without a name are left out.
    fn by_zone_name<T>(&self, zones: Vec<(fs::ZoneId, T)>) -> Vec<(String, T)> {
        let named = |(zone, value)| Some((self.registry.zone_name(zone)?.to_owned(), value));
        zones.into_iter().filter_map(named).collect()
    }

    // Probes and timers.

    /// A health probe has ended, successfully or not.
    pub fn probe_ended(
        &mut self,
        now: Micros,
        server: ServerId,
        latency: Micros,
        outcome: Outcome,
        load: Option<fs::Load>,
    ) {
        self.handle_event(now, Event::Probed { server, outcome, latency, load });
    }

    /// Fires one timer that is due. Returns false if none is due.
    pub fn fire_timer(&mut self, now: Micros) -> bool {
        if self.next_timer().is_none_or(|at| at > now) {
            return false;
        }
        match self.timers.pop() {
            Some(Reverse((.., Timer::Module(token)))) => {
                self.handle_event(now, Event::Timer { token });
                self.refresh_cold(now);
            }
            Some(Reverse((.., Timer::Attempt(..)))) if self.cancellation_disabled => {}
            Some(Reverse((.., Timer::Attempt(id, attempt)))) => {
                self.abort_attempt(id, attempt, Outcome::TimedOut)
            }
            Some(Reverse((.., Timer::Fallback(id)))) => self.answer_fallback(now, id),
            None => return false,
        }
        true
    }

    /// Adds a timer that is due at `at`.
    fn set_timer(&mut self, at: Micros, timer: Timer) {
        // Bounds the memory: most requests are answered long before their fallback timer is due.
        if self.timers.len() >= self.prune_threshold {
            let open = &self.open;
            self.timers.retain(|Reverse((.., timer))| match timer {
                Timer::Module(_) => true,
                Timer::Attempt(id, _) | Timer::Fallback(id) => open.contains_key(id),
            });
            self.prune_threshold = (2 * self.timers.len()).max(MIN_PRUNE_THRESHOLD);
        }
        let number = self.next_timer_number;
        self.next_timer_number += 1;
        self.timers.push(Reverse((at, number, timer)));
    }

    /// Drops the pending timers of the decision module.
    #[cfg(test)]
    pub(crate) fn drop_module_timers(&mut self) {
        self.timers.retain(|Reverse((.., timer))| !matches!(timer, Timer::Module(_)));
    }

    /// Number of pending timers.
    #[cfg(test)]
    pub(crate) fn timer_count(&self) -> usize {
        self.timers.len()
    }

    // The decision module.

    /// Passes queued events to the decision module in order and carries out the actions that it returns.
    fn handle_event(&mut self, now: Micros, event: Event) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.cause = cause_name(&event);
            let balancer = &mut self.balancer;
            let handled = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, &mut actions)));
            // A defect in the module must not take down the process: the fallback timer answers affected requests.
            if handled.is_err() {
                emit!(DEFECT, what = %"panicked"; "defect: the decision module panicked");
            }
            for action in actions.drain(..) {
                self.apply_action(now, action);
            }
            self.actions = actions;
        }
    }

    /// Carries out an action of the decision module.
    fn apply_action(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.send_attempt(now, request, server, limit),
            Action::Refuse { request, retry_after } => {
                let retry_after = if self.limits.retry_after { retry_after } else { 0 };
                // A refusal invites the client to retry, which must not happen here.
                let must_not_retry = self.open.get(&request).is_some_and(|open| self.must_not_retry(open));
                self.answer(request, |failure| match must_not_retry {
                    true => Answer::Failed(failure),
                    false => Answer::Refused { retry_after },
                });
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { .. } if self.cancellation_disabled => {}
            Action::Cancel { request, attempt } => self.abort_attempt(request, attempt, Outcome::Cancelled),
            Action::Probe { server } => {
                self.outputs.extend(self.registry.target(server).map(|to| Output::Probe { to }));
            }
            Action::CloseIdle { server } => self.outputs.push_back(Output::CloseIdle { server }),
            Action::Timer { delay, token } => self.set_timer(now + delay, Timer::Module(token)),
            Action::Watch => self.outputs.push_back(Output::Watch),
            Action::Fetch => self.outputs.push_back(Output::Fetch),
        }
    }

    /// Answers a request that is still unanswered; `answer` gets the reason to report if the request failed.
    fn answer(&mut self, id: RequestId, answer: impl FnOnce(Failure) -> Answer<R>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if std::mem::replace(&mut open.awaiting_answer, false) {
            let unsent = self.refuse_unsent && !open.may_have_run && open.in_flight.is_empty();
            let answer = match answer(open.failure) {
                Answer::Failed(_) if unsent => Answer::Refused { retry_after: 0 },
                Answer::Failed(failure) => {
                    open.error_reply.take().map_or(Answer::Failed(failure), Answer::Served)
                }
                other => other,
            };
            self.outputs.push_back(Output::Answer { request: id, answer });
        }
        self.remove_if_settled(id);
    }

    /// Starts an attempt. An attempt that violates the limits of the settings is not sent; the decision module gets
    /// the outcome [`Outcome::NotSent`].
    pub(crate) fn send_attempt(&mut self, now: Micros, id: RequestId, server: ServerId, limit: Micros) {
        let to = self.registry.target(server);
        if let Some(cold) = self.cold.get(&server).filter(|_| event_enabled!(COLD_SENT)) {
            let age = cold.started.map_or(0, |at| now.saturating_sub(at)) / 1000;
            let name = self.registry.name(server).unwrap_or_default();
            let attempt = self.open.get(&id).map_or(0, |open| open.attempts);
            let cause = self.cause;
            let class = self.open.get(&id).map_or(0, |open| open.class);
            // The inputs of the module's decision, read after the module has counted this attempt.
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
            let (attempt, class) = (open.attempts, open.class);
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
        let attempt = open.attempts;
        open.attempts += 1;
        let left = open.deadline.saturating_sub(now + FALLBACK_MARGIN_US);
        // The time limit of a request starts when its body is complete.
        let left = if open.body_pending { open.time_left.saturating_sub(FALLBACK_MARGIN_US) } else { left };
        let limit = if limit == 0 || self.cancellation_disabled { left } else { limit.min(left) };
        let concurrency_ok = open.in_flight.is_empty() || self.limits.concurrent_attempts;
        let allowed =
            open.awaiting_answer && concurrency_ok && attempt < self.limits.max_attempts && limit > 0;
        let Some(to) = to.filter(|_| allowed) else {
            open.failure = Failure::Upstream;
            let closed = !open.awaiting_answer;
            self.events.push_back(not_sent(attempt, closed));
            return self.remove_if_settled(id);
        };
        open.in_flight.push(InFlight {
            attempt,
            server,
            started_at: now,
            aborting: false,
            response_started: false,
        });
        let body_pending = open.body_pending;
        if body_pending {
            open.deferred_timeouts.push((attempt, limit));
        }
        self.outputs.push_back(Output::Send { request: id, attempt, to, limit });
        if !body_pending {
            self.set_timer(now + limit, Timer::Attempt(id, attempt));
        }
    }
}
