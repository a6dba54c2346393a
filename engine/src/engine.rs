//! Drives a [`Core`] with tokio's clock and a [`Transport`]. The transport defines what calls and replies are.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use finchshift as fs;
use finchshift::{ListKind, Micros, Outcome, RequestId, ServerId};
use sloeline_events::emit;
use sloeline_settings::setup::NameTable;
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;
use crate::core::{Arrival, AttemptEnd, Core, Output, RequestStatus, Stage};
use crate::types::{Answer, DiscoveryEntry, Failure, NewRequest, Target};

/// The protocol and connections that the engine sends through. A method must not call the engine before it returns.
pub trait Transport: Sized + 'static {
    /// The call of a request, as passed in by the caller.
    type Call;
    /// The reply of an upstream.
    type Reply;
    /// The handle of an attempt in flight.
    type Attempt;
    /// Starts an attempt, which has `limit` to complete; the engine enforces it. The end is reported through
    /// `report`.
    fn send(
        &self,
        to: Target,
        call: Rc<Self::Call>,
        limit: Micros,
        report: AttemptReport<Self>,
    ) -> Self::Attempt;
    /// Ends an attempt by closing its connection. Returns whether the upstream may have executed it.
    fn abort(&self, attempt: Self::Attempt) -> bool;
    /// Whether the body of a call is still being received from the caller. Its time limit then starts with the last
    /// byte.
    fn body_pending(&self, _call: &Self::Call) -> bool {
        false
    }
    /// Whether a part of a streamed body has been consumed, so that the call cannot be sent again.
    fn body_consumed(&self, _call: &Self::Call) -> bool {
        false
    }
    /// Sends a health probe to an upstream. The result is reported through [`Engine::probe_ended`].
    fn probe(&self, engine: &Rc<Engine<Self>>, to: Target);
    /// Closes the idle connections to an upstream.
    fn close_idle(&self, server: ServerId);
    /// Starts watching discovery. Lists and changes are reported through [`Engine::update_list`].
    fn watch(&self, engine: &Rc<Engine<Self>>);
    /// Fetches the whole list from discovery once, to be reported through [`Engine::update_list`].
    fn fetch(&self, engine: &Rc<Engine<Self>>);
}

/// The parts of an open request that the core does not store.
struct RequestHandles<W: Transport> {
    /// The call, sent with each attempt.
    call: Rc<W::Call>,
    /// Delivers the final answer to the caller; taken when it is sent.
    answer: Option<oneshot::Sender<Answer<W::Reply>>>,
    /// Numbers and handles of the attempts in flight.
    attempts: Vec<(u32, W::Attempt)>,
}

/// A balancer that processes requests: the [`Core`], its clock and its transport.
pub struct Engine<W: Transport> {
    /// Sends attempts and probes.
    transport: W,
    /// The clock that the core's times refer to.
    clock: Clock,
    /// The state machine.
    core: RefCell<Core<W::Reply>>,
    /// The call, caller and attempts of each open request.
    requests: RefCell<HashMap<RequestId, RequestHandles<W>>>,
    /// Whether outputs are being processed. Further outputs that this causes are processed by the same loop.
    processing_outputs: Cell<bool>,
    /// When the timer task wakes up next.
    next_wakeup: Cell<Micros>,
    /// Wakes the timer task for a timer that is due before `next_wakeup`.
    earlier_timer: Notify,
    /// Notified when no request is open any more.
    all_settled: Notify,
    /// Notified when an attempt has ended.
    attempt_ended: Notify,
}

/// Reports the end of one attempt, exactly once. If the report is dropped unused, as when the task of the attempt
/// panicked, the attempt counts as reset.
pub struct AttemptReport<W: Transport> {
    /// The engine to report to.
    engine: Rc<Engine<W>>,
    /// The request that the attempt belongs to.
    request: RequestId,
    /// Number of the attempt within the request.
    attempt: u32,
    /// Whether an upstream may have executed an earlier attempt of the request.
    follows_run: bool,
    /// Whether the end has been reported.
    reported: bool,
}

impl<W: Transport> AttemptReport<W> {
    /// Reports that the attempt has ended.
    pub fn end(mut self, outcome: Outcome, load: Option<fs::Load>, reply: Option<W::Reply>) {
        self.reported = true;
        self.engine.report_end(self.request, self.attempt, outcome, load, reply);
    }

    /// Whether an upstream may have executed an earlier attempt of the request.
    pub fn follows_run(&self) -> bool {
        self.follows_run
    }

    /// Returns a handle to report the last byte of a streamed request body.
    pub fn body_receipt(&self) -> BodyReceipt<W> {
        BodyReceipt { engine: self.engine.clone(), request: self.request }
    }

    /// Returns a handle to deliver a response that starts before the attempt ends.
    pub fn response_start(&self) -> ResponseStart<W> {
        ResponseStart { engine: self.engine.clone(), request: self.request, attempt: self.attempt }
    }
}

impl<W: Transport> Drop for AttemptReport<W> {
    fn drop(&mut self) {
        if !self.reported {
            self.engine.report_end(self.request, self.attempt, Outcome::Reset, None, None);
        }
    }
}

/// Reports the start of a streamed response.
pub struct ResponseStart<W: Transport> {
    /// The engine to report to.
    engine: Rc<Engine<W>>,
    /// The request that the attempt belongs to.
    request: RequestId,
    /// Number of the attempt within the request.
    attempt: u32,
}

impl<W: Transport> ResponseStart<W> {
    /// Delivers the reply to the caller now. The transport streams the rest and reports the end of the attempt as
    /// usual. If the caller has disconnected, the reply is dropped.
    pub fn begin(self, reply: W::Reply) {
        let ResponseStart { engine, request, attempt } = self;
        let undelivered = engine.with_core(|core, now| core.response_started(now, request, attempt, reply));
        // Dropping the reply may report the end of the attempt, so the core must not be borrowed here.
        drop(undelivered);
    }
}

/// Reports the last byte of a streamed request body.
pub struct BodyReceipt<W: Transport> {
    /// The engine to report to.
    engine: Rc<Engine<W>>,
    /// The request that the body belongs to.
    request: RequestId,
}

impl<W: Transport> BodyReceipt<W> {
    /// Reports that the body is complete. The time limits of the request and its attempts start now.
    pub fn complete(self) {
        self.engine.with_core(|core, now| core.body_received(now, self.request));
    }
}

/// A submitted request. Dropping it before the answer reports that the client has disconnected.
pub struct PendingRequest<W: Transport> {
    /// The engine that processes the request.
    engine: Rc<Engine<W>>,
    /// The id of the request.
    request: RequestId,
    /// Receives the final answer.
    answer: oneshot::Receiver<Answer<W::Reply>>,
}

impl<W: Transport> PendingRequest<W> {
    /// Waits for the final answer.
    pub async fn answer(self) -> Answer<W::Reply> {
        self.answer_until(std::future::pending()).await
    }

    /// Waits for the final answer. If `expiry` completes first, the request is answered as if its time were over.
    pub async fn answer_until(mut self, expiry: impl Future<Output = ()>) -> Answer<W::Reply> {
        let answer = tokio::select! {
            biased;
            answer = &mut self.answer => answer,
            () = expiry => {
                self.engine.with_core(|core, now| core.expire(now, self.request));
                (&mut self.answer).await
            }
        };
        answer.unwrap_or_else(|_| {
            let request = self.request;
            emit!(DEFECT, what = %"dropped"; "defect: request {request} was dropped without an answer");
            Answer::Failed(Failure::Upstream)
        })
    }
}

impl<W: Transport> Drop for PendingRequest<W> {
    fn drop(&mut self) {
        self.engine.with_core(|core, now| core.caller_gone(now, self.request));
    }
}

impl<W: Transport> Engine<W> {
    /// Creates a balancer that sends through `transport`. `zones` maps the zone names to the numbers that `settings` use;
    /// `seed` makes runs repeatable. Timers fire only while [`run`](Engine::run) is polled.
    pub fn new(
        settings: fs::Settings,
        zones: &NameTable,
        seed: u64,
        transport: W,
    ) -> Result<Rc<Self>, String> {
        Ok(Rc::new(Engine {
            transport,
            clock: Clock::new(),
            core: RefCell::new(Core::new(settings, zones, seed)?),
            requests: RefCell::default(),
            processing_outputs: Cell::new(false),
            next_wakeup: Cell::new(Micros::MAX),
            earlier_timer: Notify::new(),
            all_settled: Notify::new(),
            attempt_ended: Notify::new(),
        }))
    }

    /// Calls the core with the current time, then processes the outputs.
    fn with_core<T>(self: &Rc<Self>, step: impl FnOnce(&mut Core<W::Reply>, Micros) -> T) -> T {
        let result = step(&mut self.core.borrow_mut(), self.clock.now());
        self.process_outputs();
        result
    }

    /// Executes the outputs of the core in order. Does nothing when called while an output is executed, so that an
    /// output caused by another one is executed after those that are already queued.
    fn process_outputs(self: &Rc<Self>) {
        if self.processing_outputs.replace(true) {
            return;
        }
        loop {
            let output = self.core.borrow_mut().next_output();
            let Some(output) = output else { break };
            self.execute(output);
        }
        self.processing_outputs.set(false);
        if self.core.borrow().next_timer().is_some_and(|at| at < self.next_wakeup.get()) {
            self.earlier_timer.notify_one();
        }
    }

    /// Executes one output of the core.
    fn execute(self: &Rc<Self>, output: Output<W::Reply>) {
        match output {
            Output::Send { request, attempt, to, limit } => {
                let Some(call) = self.requests.borrow().get(&request).map(|handles| handles.call.clone())
                else {
                    return;
                };
                let follows_run = self.core.borrow().may_have_run(request);
                let report =
                    AttemptReport { engine: self.clone(), request, attempt, follows_run, reported: false };
                let handle = self.transport.send(to, call, limit, report);
                if let Some(handles) = self.requests.borrow_mut().get_mut(&request) {
                    handles.attempts.push((attempt, handle));
                }
            }
            Output::Abort { request, attempt, outcome } => {
                if let Some(handle) = self.take_attempt(request, attempt) {
                    let may_have_run = self.transport.abort(handle);
                    self.with_core(|core, now| {
                        core.attempt_aborted(now, request, attempt, outcome, may_have_run)
                    });
                }
            }
            Output::Answer { request, answer } => {
                let sender =
                    self.requests.borrow_mut().get_mut(&request).and_then(|handles| handles.answer.take());
                // If the caller is gone, the answer is dropped here, while nothing is borrowed.
                let _ = sender.map(|sender| sender.send(answer));
            }
            Output::Settled { request } => {
                let removed = self.requests.borrow_mut().remove(&request);
                drop(removed);
                if self.open_requests() == 0 {
                    self.all_settled.notify_waiters();
                }
            }
            Output::Probe { to } => self.transport.probe(self, to),
            Output::CloseIdle { server } => self.transport.close_idle(server),
            Output::Watch => self.transport.watch(self),
            Output::Fetch => self.transport.fetch(self),
        }
    }

    /// Removes and returns the handle of an attempt in flight, and wakes the tasks that wait for an attempt to end.
    fn take_attempt(&self, request: RequestId, attempt: u32) -> Option<W::Attempt> {
        let mut requests = self.requests.borrow_mut();
        let attempts = &mut requests.get_mut(&request)?.attempts;
        let at = attempts.iter().position(|(a, _)| *a == attempt)?;
        // Tasks that wait for this run after the current step, when the core has been updated.
        self.attempt_ended.notify_waiters();
        Some(attempts.swap_remove(at).1)
    }

    /// Passes the end of an attempt to the core.
    fn report_end(
        self: &Rc<Self>,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        load: Option<fs::Load>,
        reply: Option<W::Reply>,
    ) {
        drop(self.take_attempt(request, attempt));
        let body_consumed = self
            .requests
            .borrow()
            .get(&request)
            .is_some_and(|handles| self.transport.body_consumed(&handles.call));
        let end = AttemptEnd { outcome, load, reply, body_consumed };
        self.with_core(|core, now| core.attempt_ended(now, request, attempt, end));
    }

    /// Submits a request. The final answer is received through the returned handle.
    pub fn submit(self: &Rc<Self>, request: NewRequest<W::Call>) -> PendingRequest<W> {
        let NewRequest { class, time_left, tenant, work, retry, operation, call } = request;
        let (sender, answer) = oneshot::channel();
        let body_pending = self.transport.body_pending(&call);
        let arrival = Arrival { class, time_left, tenant, work, retry, body_pending, operation };
        let request = self.core.borrow_mut().submit(self.clock.now(), arrival);
        let handles = RequestHandles { call: Rc::new(call), answer: Some(sender), attempts: Vec::new() };
        self.requests.borrow_mut().insert(request, handles);
        self.process_outputs();
        PendingRequest { engine: self.clone(), request, answer }
    }

    /// Waits until no request is open.
    pub async fn drained(&self) {
        loop {
            let settled = self.all_settled.notified();
            if self.open_requests() == 0 {
                return;
            }
            settled.await;
        }
    }

    /// Fires the timers; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let earlier_timer = self.earlier_timer.notified();
            let next = self.core.borrow().next_timer();
            match next {
                Some(at) if at > self.clock.now() => {
                    self.next_wakeup.set(at);
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = earlier_timer => {}
                    }
                }
                Some(_) => _ = self.with_core(|core, now| core.fire_timer(now)),
                None => {
                    self.next_wakeup.set(Micros::MAX);
                    earlier_timer.await;
                }
            }
        }
    }

    /// The transport that the engine sends through.
    pub fn transport(&self) -> &W {
        &self.transport
    }

    /// Whether a list of upstreams has arrived, be it a stored one from an earlier run.
    pub fn has_list(&self) -> bool {
        self.core.borrow().has_list()
    }

    /// Number of listed upstreams that accept requests.
    pub fn ready_upstreams(&self) -> usize {
        self.core.borrow().ready_upstreams()
    }

    /// Number of open requests: unanswered, or with an attempt in flight.
    pub fn open_requests(&self) -> usize {
        self.core.borrow().open_requests()
    }

    /// The current time on the clock of the engine, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Whether an upstream is listed, was listed before, or is in maintenance.
    pub fn ever_listed(&self, instance: &str) -> bool {
        self.core.borrow().ever_listed(instance)
    }

    /// The number of open requests at each stage, and the status of the `max` oldest requests.
    pub fn requests(&self, max: usize) -> (BTreeMap<Stage, usize>, Vec<RequestStatus>) {
        self.core.borrow().requests(self.clock.now(), max)
    }

    /// Waits until no attempt is in flight to an upstream. Passes the number of attempts in flight to `notify` at
    /// first and whenever it changes. Returns at once for an upstream that is not listed.
    pub async fn watch_in_flight(self: Rc<Self>, instance: &str, mut notify: impl FnMut(usize)) {
        let Some(server) = self.core.borrow().server_id(instance) else { return };
        let mut last = None;
        loop {
            let ended = self.attempt_ended.notified();
            let in_flight = self.core.borrow().attempts_to(server);
            if last.replace(in_flight) != Some(in_flight) {
                notify(in_flight);
            }
            if in_flight == 0 {
                return;
            }
            ended.await;
        }
    }

    /// Whether a request of the class is open, so that the class must not be redefined.
    pub fn class_in_use(&self, class: fs::ClassId) -> bool {
        self.core.borrow().class_in_use(class)
    }

    /// Cold upstreams: the instance, the current share of its capacity, and how often the decision module passed it
    /// over.
    pub fn cold_upstreams(&self) -> Vec<(String, f64, u64)> {
        self.core.borrow().cold_upstreams(self.clock.now())
    }

    /// The list of upstreams as last received, or `None` before the first list.
    pub fn current_list(&self) -> Option<Vec<DiscoveryEntry>> {
        self.core.borrow().current_list()
    }

    /// Replaces the settings and keeps the learned state, see [`fs::Balancer::reconfigure`]. The balancer's zone must
    /// keep its number, and a class that is in use, see [`class_in_use`](Engine::class_in_use), must keep its number
    /// and effect.
    pub fn reconfigure(&self, settings: fs::Settings, learned: &[Option<fs::ClassId>]) -> Result<(), String> {
        self.core.borrow_mut().reconfigure(settings, learned)
    }

    /// From now on, attempts are aborted when their caller disconnects, even while cancellation is disabled: nobody
    /// waits for the result, and an attempt that is still queued on the way must not reach its upstream.
    pub fn cancel_on_disconnect(&self) {
        self.core.borrow_mut().cancel_on_disconnect();
    }

    /// From now on, a request that fails although certainly no attempt ran is answered as refused, which tells the
    /// client that a retry is safe.
    pub fn refuse_unsent(&self) {
        self.core.borrow_mut().refuse_unsent();
    }

    /// Enables or disables the cancellation of attempts before the client's deadline, by timeout or by the decision
    /// module. While it is disabled, an upstream that is processing an attempt has until the client's deadline.
    pub fn set_cancellation(&self, enabled: bool) {
        self.core.borrow_mut().set_cancellation(enabled);
    }

    /// Starts the decision module without a stored list. The module requests a list from discovery only when it
    /// handles an event, so it needs this first one.
    pub fn start(self: &Rc<Self>) {
        self.with_core(Core::start);
    }

    /// Applies a list of upstreams or changes to it. Idle connections to upstreams that moved or were removed are
    /// closed.
    pub fn update_list(self: &Rc<Self>, kind: ListKind, listed: Vec<DiscoveryEntry>) {
        self.with_core(|core, now| core.update_list(now, kind, &listed));
    }

    /// Puts an upstream into maintenance: it gets no new requests, whatever lists say, until
    /// [`exit_maintenance`](Engine::exit_maintenance). Returns false for an upstream that was never listed.
    pub fn enter_maintenance(self: &Rc<Self>, instance: &str) -> bool {
        self.with_core(|core, now| core.enter_maintenance(now, instance))
    }

    /// Puts an upstream into maintenance on behalf of another process, which knows the upstream, even if it was never
    /// listed here.
    pub fn replicate_maintenance(self: &Rc<Self>, instance: &str) {
        self.with_core(|core, now| core.replicate_maintenance(now, instance));
    }

    /// Takes an upstream out of maintenance. Unless the list has a new start time for the upstream, it counts as
    /// started now. Returns false for an upstream that was never listed.
    pub fn exit_maintenance(self: &Rc<Self>, instance: &str) -> bool {
        self.with_core(|core, now| core.exit_maintenance(now, instance))
    }

    /// Upstreams that left maintenance and whose restart the list has not confirmed: the instance, the start time in
    /// the list, and the time from which the upstream counts as started. For
    /// [`import_unconfirmed_restarts`](Engine::import_unconfirmed_restarts) of another process.
    pub fn unconfirmed_restarts(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.core.borrow().unconfirmed_restarts()
    }

    /// Adds the [`unconfirmed_restarts`](Engine::unconfirmed_restarts) of another process. Call this before applying
    /// the list of that process.
    pub fn import_unconfirmed_restarts(&self, restarts: Vec<(String, Option<Micros>, Micros)>) {
        self.core.borrow_mut().import_unconfirmed_restarts(restarts);
    }

    /// From now on, no request of an operation is retried once one of its attempts may have run, whatever its class
    /// allows. Requests of the operation that are waiting between two such attempts fail at once. An attempt in
    /// flight is the last one of its request, unless it certainly never ran.
    pub fn forbid_retry(self: &Rc<Self>, operation: u64) {
        self.with_core(|core, now| core.forbid_retry(now, operation));
    }

    /// The learned state of the decision module, to be imported by another process. The values of each zone are
    /// returned separately, by zone name, as zone numbers differ between processes.
    pub fn learned(&self) -> (fs::LearnedState, Vec<(String, Vec<f64>)>) {
        self.core.borrow().learned()
    }

    /// Imports the [`learned`](Engine::learned) state of another process. Call this after applying the list of that
    /// process.
    pub fn import_learned(self: &Rc<Self>, learned: fs::LearnedState, zones: Vec<(String, Vec<f64>)>) {
        self.with_core(|core, now| core.import_learned(now, learned, zones));
    }

    /// Attempts in flight, by zone name.
    pub fn in_flight(&self) -> Vec<(String, f64)> {
        self.core.borrow().in_flight()
    }

    /// Sets the number of attempts that another process of this balancer has in flight in each zone. Both processes
    /// share the concurrency window of a zone.
    pub fn set_sibling_in_flight(self: &Rc<Self>, others: &[(String, f64)]) {
        self.with_core(|core, now| core.set_sibling_in_flight(now, others));
    }

    /// Reports the end of a health probe, successful or not, with the time it took.
    pub fn probe_ended(
        self: &Rc<Self>,
        server: ServerId,
        took: Duration,
        outcome: Outcome,
        load: Option<fs::Load>,
    ) {
        self.with_core(|core, now| core.probe_ended(now, server, took.as_micros() as Micros, outcome, load));
    }
}

#[cfg(test)]
mod tests;
