//! The core between tokio's clock and a [`Wire`]; the only caller of [`Core`] in the daemon. What calls and replies are
//! made of is the business of the wire.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use finchshift as fs;
use finchshift::{ListKind, Micros, Outcome, RequestId, ServerId};
use sloeline_events::tell;
use sloeline_settings::setup::NameTable;
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;
use crate::core::{Arrival, Core, Ended, Output, Stage, Standing};
use crate::types::{Answer, Asked, Failure, Listed, Target};

/// The sockets, as the engine sees them. No method calls the engine back before it returns.
pub trait Wire: Sized + 'static {
    /// What a caller asks.
    type Call;
    /// What an upstream answers.
    type Reply;
    /// An attempt under way.
    type Out;
    /// Starts an attempt; its end is told to the report.
    fn send(&self, to: Target, call: Rc<Self::Call>, limit: Micros, report: Report<Self>) -> Self::Out;
    /// Ends an attempt by closing its connection; tells whether it may have run.
    fn abort(&self, out: Self::Out) -> bool;
    /// The call's body still comes from its caller: its time counts from the last byte.
    fn coming(&self, _call: &Self::Call) -> bool {
        false
    }
    /// A part of such a body is used up: the call cannot be sent again.
    fn spent(&self, _call: &Self::Call) -> bool {
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
struct Held<W: Wire> {
    call: Rc<W::Call>,
    answer: Option<oneshot::Sender<Answer<W::Reply>>>,
    out: Vec<(u32, W::Out)>,
}

/// The balancer between its sockets.
pub struct Engine<W: Wire> {
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
pub struct Report<W: Wire> {
    engine: Rc<Engine<W>>,
    request: RequestId,
    attempt: u32,
    told: bool,
}

impl<W: Wire> Report<W> {
    /// The attempt ended.
    pub fn end(mut self, outcome: Outcome, load: Option<fs::Load>, reply: Option<W::Reply>) {
        self.told = true;
        self.engine.ended(self.request, self.attempt, outcome, load, reply);
    }

    /// For a body that passes on while it comes.
    pub fn come(&self) -> Come<W> {
        Come { engine: self.engine.clone(), request: self.request }
    }

    /// For an answer that begins before the attempt ends.
    pub fn opening(&self) -> Opening<W> {
        Opening { engine: self.engine.clone(), request: self.request, attempt: self.attempt }
    }
}

impl<W: Wire> Drop for Report<W> {
    fn drop(&mut self) {
        if !self.told {
            self.engine.ended(self.request, self.attempt, Outcome::Reset, None, None);
        }
    }
}

/// Where the beginning of an answer that goes on is told.
pub struct Opening<W: Wire> {
    engine: Rc<Engine<W>>,
    request: RequestId,
    attempt: u32,
}

impl<W: Wire> Opening<W> {
    /// The caller gets this reply now; its rest is the wire's business, which reports the attempt's end as ever. Where
    /// the caller has left the reply is dropped.
    pub fn begin(self, reply: W::Reply) {
        let Opening { engine, request, attempt } = self;
        let unwanted = engine.with(|core, now| core.began(now, request, attempt, reply));
        // What is dropped may come back with its end, so nothing is borrowed then.
        drop(unwanted);
    }
}

/// Where it is told that the last byte of a body has come which an attempt passes on.
pub struct Come<W: Wire> {
    engine: Rc<Engine<W>>,
    request: RequestId,
}

impl<W: Wire> Come<W> {
    /// Now: the time of the request and of its attempt counts from here.
    pub fn tell(self) {
        self.engine.with(|core, now| core.has_come(now, self.request));
    }
}

/// A caller's hold on its request: dropped before the answer, the client is gone.
pub struct Asking<W: Wire> {
    engine: Rc<Engine<W>>,
    request: RequestId,
    answer: oneshot::Receiver<Answer<W::Reply>>,
}

impl<W: Wire> Asking<W> {
    /// The final answer.
    pub async fn answer(mut self) -> Answer<W::Reply> {
        (&mut self.answer).await.unwrap_or_else(|_| {
            let request = self.request;
            tell!(DEFECT, what = %"dropped"; "defect: request {request} was dropped without an answer");
            Answer::Failed(Failure::Upstream)
        })
    }
}

impl<W: Wire> Drop for Asking<W> {
    fn drop(&mut self) {
        self.engine.with(|core, now| core.gone(now, self.request));
    }
}

impl<W: Wire> Engine<W> {
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
            let output = self.core.borrow_mut().output();
            let Some(output) = output else { break };
            self.carry_out(output);
        }
        self.acting.set(false);
        if self.core.borrow().due().is_some_and(|at| at < self.armed.get()) {
            self.earlier.notify_one();
        }
    }

    fn carry_out(self: &Rc<Self>, output: Output<W::Reply>) {
        match output {
            Output::Send { request, attempt, to, limit } => {
                let Some(call) = self.held.borrow().get(&request).map(|h| h.call.clone()) else { return };
                let report = Report { engine: self.clone(), request, attempt, told: false };
                let out = self.wire.send(to, call, limit, report);
                if let Some(held) = self.held.borrow_mut().get_mut(&request) {
                    held.out.push((attempt, out));
                }
            }
            Output::Abort { request, attempt, outcome } => {
                if let Some(out) = self.take_out_of(request, attempt) {
                    let may_have_run = self.wire.abort(out);
                    self.with(|core, now| core.aborted(now, request, attempt, outcome, may_have_run));
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
                if self.open() == 0 {
                    self.settled.notify_waiters();
                }
            }
            Output::Probe { to } => self.wire.probe(self, to),
            Output::CloseIdle { server } => self.wire.close_idle(server),
            Output::Watch => self.wire.watch(self),
            Output::Fetch => self.wire.fetch(self),
        }
    }

    fn take_out_of(&self, request: RequestId, attempt: u32) -> Option<W::Out> {
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
        let spent = self.held.borrow().get(&request).is_some_and(|h| self.wire.spent(&h.call));
        let ended = Ended { outcome, load, reply, spent };
        self.with(|core, now| core.ended(now, request, attempt, ended));
    }

    /// Takes a request; the answer comes through what is returned.
    pub fn ask(self: &Rc<Self>, asked: Asked<W::Call>) -> Asking<W> {
        let Asked { class, time_left, tenant, work, retry, operation, call } = asked;
        let (sender, answer) = oneshot::channel();
        let coming = self.wire.coming(&call);
        let arrival = Arrival { class, time_left, tenant, work, retry, coming, operation };
        let request = self.core.borrow_mut().ask(self.clock.now(), arrival);
        let held = Held { call: Rc::new(call), answer: Some(sender), out: Vec::new() };
        self.held.borrow_mut().insert(request, held);
        self.act();
        Asking { engine: self.clone(), request, answer }
    }

    /// Waits until no request is open.
    pub async fn drained(&self) {
        loop {
            let settled = self.settled.notified();
            if self.open() == 0 {
                return;
            }
            settled.await;
        }
    }

    /// Rings the timers; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let earlier = self.earlier.notified();
            let next = self.core.borrow().due();
            match next {
                Some(at) if at > self.clock.now() => {
                    self.armed.set(at);
                    tokio::select! {
                        () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                        () = earlier => {}
                    }
                }
                Some(_) => _ = self.with(|core, now| core.ring(now)),
                None => {
                    self.armed.set(Micros::MAX);
                    earlier.await;
                }
            }
        }
    }

    /// The sockets.
    pub fn wire(&self) -> &W {
        &self.wire
    }

    /// See [`Core::listed`].
    pub fn listed(&self) -> bool {
        self.core.borrow().listed()
    }

    /// See [`Core::upstreams`].
    pub fn upstreams(&self) -> usize {
        self.core.borrow().upstreams()
    }

    /// See [`Core::open`].
    pub fn open(&self) -> usize {
        self.core.borrow().open()
    }

    /// The present time, as it counts.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// See [`Core::met`].
    pub fn met(&self, instance: &str) -> bool {
        self.core.borrow().met(instance)
    }

    /// See [`Core::requests`].
    pub fn requests(&self, most: usize) -> (BTreeMap<Stage, usize>, Vec<Standing>) {
        self.core.borrow().requests(self.clock.now(), most)
    }

    /// Waits until an upstream carries nothing, for one that is listed; tells how much it carries, first and whenever that
    /// is another number.
    pub async fn carried(self: Rc<Self>, instance: &str, mut tell: impl FnMut(usize)) {
        let Some(server) = self.core.borrow().number(instance) else { return };
        let mut last = None;
        loop {
            let ended = self.ended.notified();
            let carries = self.core.borrow().carries(server);
            if last.replace(carries) != Some(carries) {
                tell(carries);
            }
            if carries == 0 {
                return;
            }
            ended.await;
        }
    }

    /// See [`Core::uses`].
    pub fn uses(&self, class: fs::ClassId) -> bool {
        self.core.borrow().uses(class)
    }

    /// See [`Core::cold`].
    pub fn cold(&self) -> Vec<(String, f64, u64)> {
        self.core.borrow().cold(self.clock.now())
    }

    /// See [`Core::list_held`].
    pub fn list_held(&self) -> Option<Vec<Listed>> {
        self.core.borrow().list_held()
    }

    /// See [`Core::reconfigure`].
    pub fn reconfigure(&self, settings: fs::Settings, learned: &[Option<fs::ClassId>]) -> Result<(), String> {
        self.core.borrow_mut().reconfigure(settings, learned)
    }

    /// See [`Core::end_for_gone`].
    pub fn end_for_gone(&self) {
        self.core.borrow_mut().end_for_gone();
    }

    /// See [`Core::refuse_unsent`].
    pub fn refuse_unsent(&self) {
        self.core.borrow_mut().refuse_unsent();
    }

    /// See [`Core::set_cutting`].
    pub fn set_cutting(&self, cuts: bool) {
        self.core.borrow_mut().set_cutting(cuts);
    }

    /// See [`Core::begin`].
    pub fn begin(self: &Rc<Self>) {
        self.with(Core::begin);
    }

    /// See [`Core::list`].
    pub fn list(self: &Rc<Self>, kind: ListKind, listed: Vec<Listed>) {
        self.with(|core, now| core.list(now, kind, &listed));
    }

    /// See [`Core::take_out`].
    pub fn take_out(self: &Rc<Self>, instance: &str) -> bool {
        self.with(|core, now| core.take_out(now, instance))
    }

    /// See [`Core::order_out`].
    pub fn order_out(self: &Rc<Self>, instance: &str) {
        self.with(|core, now| core.order_out(now, instance));
    }

    /// See [`Core::put_back`].
    pub fn put_back(self: &Rc<Self>, instance: &str) -> bool {
        self.with(|core, now| core.put_back(now, instance))
    }

    /// See [`Core::returned`].
    pub fn returned(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.core.borrow().returned()
    }

    /// See [`Core::take_returned`].
    pub fn take_returned(&self, returned: Vec<(String, Option<Micros>, Micros)>) {
        self.core.borrow_mut().take_returned(returned);
    }

    /// See [`Core::narrow`].
    pub fn narrow(self: &Rc<Self>, operation: u64) {
        self.with(|core, now| core.narrow(now, operation));
    }

    /// See [`Core::learned`].
    pub fn learned(&self) -> (fs::LearnedState, Vec<(String, Vec<f64>)>) {
        self.core.borrow().learned()
    }

    /// See [`Core::resume`].
    pub fn resume(self: &Rc<Self>, learned: fs::LearnedState, zones: Vec<(String, Vec<f64>)>) {
        self.with(|core, now| core.resume(now, learned, zones));
    }

    /// See [`Core::in_flight`].
    pub fn in_flight(&self) -> Vec<(String, f64)> {
        self.core.borrow().in_flight()
    }

    /// See [`Core::beside`].
    pub fn beside(self: &Rc<Self>, others: &[(String, f64)]) {
        self.with(|core, now| core.beside(now, others));
    }

    /// A probe was answered or not.
    pub fn probed(
        self: &Rc<Self>,
        server: ServerId,
        took: Duration,
        outcome: Outcome,
        load: Option<fs::Load>,
    ) {
        self.with(|core, now| core.probed(now, server, took.as_micros() as Micros, outcome, load));
    }
}

#[cfg(test)]
mod tests;
