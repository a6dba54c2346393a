//! The core between tokio's clock and a [`Transport`]; the only caller of [`Core`] in the daemon. What calls and replies are
//! made of is the business of the wire.

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

/// The sockets, as the engine sees them. No method calls the engine back before it returns.
pub trait Transport: Sized + 'static {
    /// What a caller asks.
    type Call;
    /// What an upstream answers.
    type Reply;
    /// An attempt under way.
    type Attempt;
    /// Starts an attempt; its end is told to the report.
    fn send(
        &self,
        to: Target,
        call: Rc<Self::Call>,
        limit: Micros,
        report: AttemptReport<Self>,
    ) -> Self::Attempt;
    /// Ends an attempt by closing its connection; tells whether it may have run.
    fn abort(&self, out: Self::Attempt) -> bool;
    /// The call's body still comes from its caller: its time counts from the last byte.
    fn body_pending(&self, _call: &Self::Call) -> bool {
        false
    }
    /// A part of such a body is used up: the call cannot be sent again.
    fn body_consumed(&self, _call: &Self::Call) -> bool {
        false
    }
    /// Asks an upstream how it is.
    fn probe(&self, engine: &Rc<Engine<Self>>, to: Target);
    /// Closes the idle connections to an upstream.
    fn close_idle(&self, server: ServerId);
    /// Watches discovery from now on.
    fn watch(&self, engine: &Rc<Engine<Self>>);
    /// Asks discovery once for the whole list.
    fn fetch(&self, engine: &Rc<Engine<Self>>);
}

/// What the core does not hold of an open request.
struct Held<W: Transport> {
    call: Rc<W::Call>,
    answer: Option<oneshot::Sender<Answer<W::Reply>>>,
    out: Vec<(u32, W::Attempt)>,
}

/// The balancer between its sockets.
pub struct Engine<W: Transport> {
    wire: W,
    clock: Clock,
    core: RefCell<Core<W::Reply>>,
    held: RefCell<HashMap<RequestId, Held<W>>>,
    /// Outputs are being carried out: what they cause is added at their end.
    acting: Cell<bool>,
    /// When the timers are looked at next.
    armed: Cell<Micros>,
    earlier: Notify,
    settled: Notify,
    /// An attempt has ended.
    ended: Notify,
}

/// Where an attempt's end is told, once. Dropped untold, as when its task died, it counts as a reset.
pub struct AttemptReport<W: Transport> {
    engine: Rc<Engine<W>>,
    request: RequestId,
    attempt: u32,
    told: bool,
}

impl<W: Transport> AttemptReport<W> {
    /// The attempt ended.
    pub fn end(mut self, outcome: Outcome, load: Option<fs::Load>, reply: Option<W::Reply>) {
        self.told = true;
        self.engine.ended(self.request, self.attempt, outcome, load, reply);
    }

    /// For a body that passes on while it comes.
    pub fn body_receipt(&self) -> BodyReceipt<W> {
        BodyReceipt { engine: self.engine.clone(), request: self.request }
    }

    /// For an answer that begins before the attempt ends.
    pub fn response_start(&self) -> ResponseStart<W> {
        ResponseStart { engine: self.engine.clone(), request: self.request, attempt: self.attempt }
    }
}

impl<W: Transport> Drop for AttemptReport<W> {
    fn drop(&mut self) {
        if !self.told {
            self.engine.ended(self.request, self.attempt, Outcome::Reset, None, None);
        }
    }
}

/// Where the beginning of an answer that goes on is told.
pub struct ResponseStart<W: Transport> {
    engine: Rc<Engine<W>>,
    request: RequestId,
    attempt: u32,
}

impl<W: Transport> ResponseStart<W> {
    /// The caller gets this reply now; its rest is the wire's business, which reports the attempt's end as ever. Where
    /// the caller has left the reply is dropped.
    pub fn begin(self, reply: W::Reply) {
        let ResponseStart { engine, request, attempt } = self;
        let unwanted = engine.with(|core, now| core.response_started(now, request, attempt, reply));
        // What is dropped may come back with its end, so nothing is borrowed then.
        drop(unwanted);
    }
}

/// Where it is told that the last byte of a body has come which an attempt passes on.
pub struct BodyReceipt<W: Transport> {
    engine: Rc<Engine<W>>,
    request: RequestId,
}

impl<W: Transport> BodyReceipt<W> {
    /// Now: the time of the request and of its attempt counts from here.
    pub fn complete(self) {
        self.engine.with(|core, now| core.body_received(now, self.request));
    }
}

/// A caller's hold on its request: dropped before the answer, the client is gone.
pub struct PendingRequest<W: Transport> {
    engine: Rc<Engine<W>>,
    request: RequestId,
    answer: oneshot::Receiver<Answer<W::Reply>>,
}

impl<W: Transport> PendingRequest<W> {
    /// The final answer.
    pub async fn answer(mut self) -> Answer<W::Reply> {
        (&mut self.answer).await.unwrap_or_else(|_| {
            let request = self.request;
            emit!(DEFECT, what = %"dropped"; "defect: request {request} was dropped without an answer");
            Answer::Failed(Failure::Upstream)
        })
    }
}

impl<W: Transport> Drop for PendingRequest<W> {
    fn drop(&mut self) {
        self.engine.with(|core, now| core.caller_gone(now, self.request));
    }
}

impl<W: Transport> Engine<W> {
    /// A balancer with the given settings; `zones` holds the numbers that the settings use.
    pub fn new(settings: fs::Settings, zones: &NameTable, seed: u64, wire: W) -> Result<Rc<Self>, String> {
        Ok(Rc::new(Engine {
            wire,
            clock: Clock::new(),
            core: RefCell::new(Core::new(settings, zones, seed)?),
            held: RefCell::default(),
            acting: Cell::new(false),
            armed: Cell::new(Micros::MAX),
            earlier: Notify::new(),
            settled: Notify::new(),
            ended: Notify::new(),
        }))
    }

    /// One step of the core, and what comes of it.
    fn with<T>(self: &Rc<Self>, step: impl FnOnce(&mut Core<W::Reply>, Micros) -> T) -> T {
        let done = step(&mut self.core.borrow_mut(), self.clock.now());
        self.act();
        done
    }

    /// Carries out what the core wants, in its order. Guards against an event that comes of one output while others are
    /// still to be carried out.
    fn act(self: &Rc<Self>) {
        if self.acting.replace(true) {
            return;
        }
        loop {
            let output = self.core.borrow_mut().next_output();
            let Some(output) = output else { break };
            self.carry_out(output);
        }
        self.acting.set(false);
        if self.core.borrow().next_timer().is_some_and(|at| at < self.armed.get()) {
            self.earlier.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output<W::Reply>) {
        match output {
            Output::Send { request, attempt, to, limit } => {
                let Some(call) = self.held.borrow().get(&request).map(|h| h.call.clone()) else { return };
                let report = AttemptReport { engine: self.clone(), request, attempt, told: false };
                let out = self.wire.send(to, call, limit, report);
                if let Some(held) = self.held.borrow_mut().get_mut(&request) {
                    held.out.push((attempt, out));
                }
            }
            Output::Abort { request, attempt, outcome } => {
                if let Some(out) = self.take_out_of(request, attempt) {
                    let may_have_run = self.wire.abort(out);
                    self.with(|core, now| core.attempt_aborted(now, request, attempt, outcome, may_have_run));
                }
            }
            Output::Answer { request, answer } => {
                let sender = self.held.borrow_mut().get_mut(&request).and_then(|h| h.answer.take());
                // What nobody takes is dropped here, with nothing borrowed.
                let _ = sender.map(|sender| sender.send(answer));
            }
            Output::Settled { request } => {
                let held = self.held.borrow_mut().remove(&request);
                drop(held);
                if self.open_requests() == 0 {
                    self.settled.notify_waiters();
                }
            }
            Output::Probe { to } => self.wire.probe(self, to),
            Output::CloseIdle { server } => self.wire.close_idle(server),
            Output::Watch => self.wire.watch(self),
            Output::Fetch => self.wire.fetch(self),
        }
    }

    fn take_out_of(&self, request: RequestId, attempt: u32) -> Option<W::Attempt> {
        let mut held = self.held.borrow_mut();
        let out = &mut held.get_mut(&request)?.out;
        let at = out.iter().position(|(a, _)| *a == attempt)?;
        // Whoever waits looks when this step is over.
        self.ended.notify_waiters();
        Some(out.swap_remove(at).1)
    }

    fn ended(
        self: &Rc<Self>,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        load: Option<fs::Load>,
        reply: Option<W::Reply>,
    ) {
        drop(self.take_out_of(request, attempt));
        let spent = self.held.borrow().get(&request).is_some_and(|h| self.wire.body_consumed(&h.call));
        let ended = AttemptEnd { outcome, load, reply, body_consumed: spent };
        self.with(|core, now| core.attempt_ended(now, request, attempt, ended));
    }

    /// Takes a request; the answer comes through what is returned.
    pub fn submit(self: &Rc<Self>, asked: NewRequest<W::Call>) -> PendingRequest<W> {
        let NewRequest { class, time_left, tenant, work, retry, operation, call } = asked;
        let (sender, answer) = oneshot::channel();
        let coming = self.wire.body_pending(&call);
        let arrival = Arrival { class, time_left, tenant, work, retry, body_pending: coming, operation };
        let request = self.core.borrow_mut().submit(self.clock.now(), arrival);
        let held = Held { call: Rc::new(call), answer: Some(sender), out: Vec::new() };
        self.held.borrow_mut().insert(request, held);
        self.act();
        PendingRequest { engine: self.clone(), request, answer }
    }

    /// Waits until no request is open.
    pub async fn drained(&self) {
        loop {
            let settled = self.settled.notified();
            if self.open_requests() == 0 {
                return;
            }
            settled.await;
        }
    }

    /// Rings the timers; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let earlier = self.earlier.notified();
            let next = self.core.borrow().next_timer();
            match next {
                Some(at) if at > self.clock.now() => {
                    self.armed.set(at);
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = earlier => {}
                    }
                }
                Some(_) => _ = self.with(|core, now| core.fire_timer(now)),
                None => {
                    self.armed.set(Micros::MAX);
                    earlier.await;
                }
            }
        }
    }

    /// The sockets.
    pub fn transport(&self) -> &W {
        &self.wire
    }

    /// See [`Core::has_list`].
    pub fn has_list(&self) -> bool {
        self.core.borrow().has_list()
    }

    /// See [`Core::ready_upstreams`].
    pub fn ready_upstreams(&self) -> usize {
        self.core.borrow().ready_upstreams()
    }

    /// See [`Core::open_requests`].
    pub fn open_requests(&self) -> usize {
        self.core.borrow().open_requests()
    }

    /// The present time, as it counts.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// See [`Core::ever_listed`].
    pub fn ever_listed(&self, instance: &str) -> bool {
        self.core.borrow().ever_listed(instance)
    }

    /// See [`Core::requests`].
    pub fn requests(&self, most: usize) -> (BTreeMap<Stage, usize>, Vec<RequestStatus>) {
        self.core.borrow().requests(self.clock.now(), most)
    }

    /// Waits until an upstream carries nothing, for one that is listed; tells how much it carries, first and whenever that
    /// is another number.
    pub async fn watch_in_flight(self: Rc<Self>, instance: &str, mut tell: impl FnMut(usize)) {
        let Some(server) = self.core.borrow().server_id(instance) else { return };
        let mut last = None;
        loop {
            let ended = self.ended.notified();
            let carries = self.core.borrow().attempts_to(server);
            if last.replace(carries) != Some(carries) {
                tell(carries);
            }
            if carries == 0 {
                return;
            }
            ended.await;
        }
    }

    /// See [`Core::class_in_use`].
    pub fn class_in_use(&self, class: fs::ClassId) -> bool {
        self.core.borrow().class_in_use(class)
    }

    /// See [`Core::cold_upstreams`].
    pub fn cold_upstreams(&self) -> Vec<(String, f64, u64)> {
        self.core.borrow().cold_upstreams(self.clock.now())
    }

    /// See [`Core::current_list`].
    pub fn current_list(&self) -> Option<Vec<DiscoveryEntry>> {
        self.core.borrow().current_list()
    }

    /// See [`Core::reconfigure`].
    pub fn reconfigure(&self, settings: fs::Settings, learned: &[Option<fs::ClassId>]) -> Result<(), String> {
        self.core.borrow_mut().reconfigure(settings, learned)
    }

    /// See [`Core::cancel_on_disconnect`].
    pub fn cancel_on_disconnect(&self) {
        self.core.borrow_mut().cancel_on_disconnect();
    }

    /// See [`Core::refuse_unsent`].
    pub fn refuse_unsent(&self) {
        self.core.borrow_mut().refuse_unsent();
    }

    /// See [`Core::set_cancellation`].
    pub fn set_cancellation(&self, cuts: bool) {
        self.core.borrow_mut().set_cancellation(cuts);
    }

    /// See [`Core::start`].
    pub fn start(self: &Rc<Self>) {
        self.with(Core::start);
    }

    /// See [`Core::update_list`].
    pub fn update_list(self: &Rc<Self>, kind: ListKind, listed: Vec<DiscoveryEntry>) {
        self.with(|core, now| core.update_list(now, kind, &listed));
    }

    /// See [`Core::enter_maintenance`].
    pub fn enter_maintenance(self: &Rc<Self>, instance: &str) -> bool {
        self.with(|core, now| core.enter_maintenance(now, instance))
    }

    /// See [`Core::replicate_maintenance`].
    pub fn replicate_maintenance(self: &Rc<Self>, instance: &str) {
        self.with(|core, now| core.replicate_maintenance(now, instance));
    }

    /// See [`Core::exit_maintenance`].
    pub fn exit_maintenance(self: &Rc<Self>, instance: &str) -> bool {
        self.with(|core, now| core.exit_maintenance(now, instance))
    }

    /// See [`Core::unconfirmed_restarts`].
    pub fn unconfirmed_restarts(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.core.borrow().unconfirmed_restarts()
    }

    /// See [`Core::import_unconfirmed_restarts`].
    pub fn import_unconfirmed_restarts(&self, returned: Vec<(String, Option<Micros>, Micros)>) {
        self.core.borrow_mut().import_unconfirmed_restarts(returned);
    }

    /// See [`Core::forbid_retry`].
    pub fn forbid_retry(self: &Rc<Self>, operation: u64) {
        self.with(|core, now| core.forbid_retry(now, operation));
    }

    /// See [`Core::learned`].
    pub fn learned(&self) -> (fs::LearnedState, Vec<(String, Vec<f64>)>) {
        self.core.borrow().learned()
    }

    /// See [`Core::import_learned`].
    pub fn import_learned(self: &Rc<Self>, learned: fs::LearnedState, zones: Vec<(String, Vec<f64>)>) {
        self.with(|core, now| core.import_learned(now, learned, zones));
    }

    /// See [`Core::in_flight`].
    pub fn in_flight(&self) -> Vec<(String, f64)> {
        self.core.borrow().in_flight()
    }

    /// See [`Core::set_sibling_in_flight`].
    pub fn set_sibling_in_flight(self: &Rc<Self>, others: &[(String, f64)]) {
        self.with(|core, now| core.set_sibling_in_flight(now, others));
    }

    /// A probe was answered or not.
    pub fn probe_ended(
        self: &Rc<Self>,
        server: ServerId,
        took: Duration,
        outcome: Outcome,
        load: Option<fs::Load>,
    ) {
        self.with(|core, now| core.probe_ended(now, server, took.as_micros() as Micros, outcome, load));
    }
}

#[cfg(test)]
mod tests;
