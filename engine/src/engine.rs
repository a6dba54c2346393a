//! Owns the decision module, the open requests and the timers; the only caller of `Balancer::handle`. What
//! calls and replies are made of is the business of a [`Wire`].

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

use finchshift as fs;
use finchshift::{Action, Event, ListKind, Micros, Outcome, RequestId, ServerId};
use sloeline_settings::setup::Names;
use tokio::sync::{Notify, oneshot};

use crate::clock::Clock;
use crate::registry::Registry;
use crate::types::{Answer, Asked, Failure, Listed, Target};

/// The module is told this much less than the client's time: the answer's way back and the timers' grain.
const MARGIN: Micros = 10_000;
/// A request that the module has left unanswered fails this long before the client's time.
const LAST_RESORT: Micros = 5_000;

/// So many timers are always kept.
const LEAST_TIMERS: usize = 512;

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

/// What a timer is for.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Token(u64),
    Limit(RequestId, u32),
    LastResort(RequestId),
}

struct Out<O> {
    attempt: u32,
    server: ServerId,
    at: Micros,
    handle: Option<O>,
    /// Its answer has begun to go to the caller: no limit holds any more.
    begun: bool,
    /// The limit, where it counts only from the body's last byte, which has not come.
    coming: Option<Micros>,
}

/// A request that is not answered or has attempts out.
struct Open<W: Wire> {
    call: Rc<W::Call>,
    class: fs::ClassId,
    /// Where the final answer goes; nothing once it went or the client left.
    answer: Option<oneshot::Sender<Answer<W::Reply>>>,
    deadline: Micros,
    time_left: Micros,
    sent: u32,
    out: Vec<Out<W::Out>>,
    failure: Failure,
}

impl<W: Wire> Open<W> {
    /// A body is still coming, or its last byte came so late that the request has time left.
    fn early(&self, now: Micros) -> bool {
        let coming = self.out.iter().any(|o| o.coming.is_some());
        coming || now + LAST_RESORT < self.deadline
    }
}

struct Tables<W: Wire> {
    open: HashMap<RequestId, Open<W>>,
    next: RequestId,
    timers: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    timer_number: u64,
    /// From as many timers on, those of requests that are answered are dropped.
    most_timers: usize,
    registry: Registry,
}

/// The balancer between its sockets.
pub struct Engine<W: Wire> {
    wire: W,
    clock: Clock,
    limits: RefCell<fs::Limits>,
    balancer: RefCell<fs::Balancer>,
    tables: RefCell<Tables<W>>,
    events: RefCell<VecDeque<Event>>,
    handling: Cell<bool>,
    listed: Cell<bool>,
    earlier: Notify,
    settled: Notify,
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
        self.engine.began(self.request, self.attempt, reply);
    }
}

/// Where it is told that the last byte of a body has come which the attempt passes on.
pub struct Come<W: Wire> {
    engine: Rc<Engine<W>>,
    request: RequestId,
    attempt: u32,
}

impl<W: Wire> Come<W> {
    /// Now: the time of the request and of its attempt counts from here.
    pub fn tell(self) {
        self.engine.has_come(self.request, self.attempt);
    }
}

impl<W: Wire> Report<W> {
    /// For a body that passes on while it comes.
    pub fn come(&self) -> Come<W> {
        Come { engine: self.engine.clone(), request: self.request, attempt: self.attempt }
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
            eprintln!("defect: request {} was dropped without an answer", self.request);
            Answer::Failed(Failure::Upstream)
        })
    }
}

impl<W: Wire> Drop for Asking<W> {
    fn drop(&mut self) {
        self.engine.gone(self.request);
    }
}

impl<W: Wire> Engine<W> {
    /// A balancer with the given settings; `zones` holds the numbers that the settings use.
    pub fn new(settings: fs::Settings, zones: &Names, seed: u64, wire: W) -> Result<Rc<Self>, String> {
        let limits = RefCell::new(settings.limits.clone());
        let balancer = fs::Balancer::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Rc::new(Engine {
            wire,
            clock: Clock::new(),
            limits,
            balancer: RefCell::new(balancer),
            tables: RefCell::new(Tables {
                open: HashMap::new(),
                next: 0,
                timers: BinaryHeap::new(),
                timer_number: 0,
                most_timers: LEAST_TIMERS,
                registry: Registry::new(zones),
            }),
            events: RefCell::new(VecDeque::new()),
            handling: Cell::new(false),
            listed: Cell::new(false),
            earlier: Notify::new(),
            settled: Notify::new(),
        }))
    }

    /// A list of upstreams has come, be it the known one.
    pub fn listed(&self) -> bool {
        self.listed.get()
    }

    /// How many upstreams are listed that take requests.
    pub fn upstreams(&self) -> usize {
        self.tables.borrow().registry.ready()
    }

    /// How many requests are open: not answered, or with an attempt out.
    pub fn open(&self) -> usize {
        self.tables.borrow().open.len()
    }

    /// Whether a request of the class is open.
    pub fn uses(&self, class: fs::ClassId) -> bool {
        self.tables.borrow().open.values().any(|o| o.class == class)
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

    /// Goes on under other settings, with what was learned: see [`fs::Balancer::reconfigure`]. The zone keeps its
    /// number, and a class that [`uses`](Engine::uses) must keep number and effect.
    pub fn reconfigure(&self, settings: fs::Settings, learned: &[Option<fs::ClassId>]) -> Result<(), String> {
        let limits = settings.limits.clone();
        self.balancer.borrow_mut().reconfigure(settings, learned).map_err(|e| e.to_string())?;
        *self.limits.borrow_mut() = limits;
        Ok(())
    }

    /// The sockets.
    pub fn wire(&self) -> &W {
        &self.wire
    }

    /// Takes a request; the answer comes through what is returned.
    pub fn ask(self: &Rc<Self>, asked: Asked<W::Call>) -> Asking<W> {
        let (sender, answer) = oneshot::channel();
        let now = self.clock.now();
        let deadline = now + asked.time_left;
        let id = {
            let mut tables = self.tables.borrow_mut();
            let id = tables.next;
            tables.next += 1;
            let call = Rc::new(asked.call);
            let failure = Failure::Time;
            let (answer, class, out, time_left) = (Some(sender), asked.class, Vec::new(), asked.time_left);
            let open = Open { call, class, answer, deadline, time_left, sent: 0, out, failure };
            tables.open.insert(id, open);
            id
        };
        self.set_timer(deadline.saturating_sub(LAST_RESORT), Due::LastResort(id));
        let time_left = asked.time_left.saturating_sub(MARGIN);
        let Asked { class, tenant, work, retry, .. } = asked;
        self.feed(Event::Request { id, class, time_left, tenant, work, retry });
        Asking { engine: self.clone(), request: id, answer }
    }

    /// News of the list of upstreams; those that moved or are gone lose their idle connections.
    pub fn list(self: &Rc<Self>, kind: ListKind, listed: Vec<Listed>) {
        let (entries, stale) = self.tables.borrow_mut().registry.take(kind, &listed);
        for server in stale {
            self.wire.close_idle(server);
        }
        if kind != ListKind::Failed {
            self.listed.set(true);
        }
        self.feed(Event::Servers { kind, entries });
    }

    /// The list as it was told last; nothing before the first.
    pub fn list_held(&self) -> Option<Vec<Listed>> {
        self.listed().then(|| self.tables.borrow().registry.listed())
    }

    /// Sends nothing new to an upstream, whatever lists say, until it is put back; false for one that was never listed.
    pub fn take_out(self: &Rc<Self>, instance: &str) -> bool {
        let entries = self.tables.borrow_mut().registry.take_out(instance);
        self.ordered(entries)
    }

    /// The same by the word of another process, which has met it.
    pub fn order_out(self: &Rc<Self>, instance: &str) {
        let entries = self.tables.borrow_mut().registry.order_out(instance);
        self.ordered(Some(entries));
    }

    /// Ends that; false for one that was never listed.
    pub fn put_back(self: &Rc<Self>, instance: &str) -> bool {
        let entries = self.tables.borrow_mut().registry.put_back(instance, self.clock.now());
        self.ordered(entries)
    }

    /// What the module has learned, for another process: its figures, and those of each zone by name.
    pub fn learned(&self) -> (fs::Learned, Vec<(String, Vec<f64>)>) {
        let mut learned = self.balancer.borrow().learned();
        let tables = self.tables.borrow();
        let zones = std::mem::take(&mut learned.zones);
        let named = |(zone, figures)| Some((tables.registry.zone_name(zone)?.to_owned(), figures));
        (learned, zones.into_iter().filter_map(named).collect())
    }

    /// Attempts that are out, by zone.
    pub fn in_flight(&self) -> Vec<(String, f64)> {
        let tables = self.tables.borrow();
        let zones = self.balancer.borrow().in_flight();
        let named = |(zone, n)| Some((tables.registry.zone_name(zone)?.to_owned(), n));
        zones.into_iter().filter_map(named).collect()
    }

    /// What another process of this balancer has out from now on; both share each zone's window.
    pub fn beside(self: &Rc<Self>, others: &[(String, f64)]) {
        let others: Vec<_> = {
            let tables = self.tables.borrow();
            let numbered = |(name, n): &(String, f64)| Some((tables.registry.zone_number(name)?, *n));
            others.iter().filter_map(numbered).collect()
        };
        self.balancer.borrow_mut().beside(&others);
        // Places may be free: requests that are held are looked at.
        self.feed(Event::Timer { token: 0 });
    }

    /// Goes on with what another process has learned; after its list.
    pub fn resume(&self, mut learned: fs::Learned, zones: Vec<(String, Vec<f64>)>) {
        let tables = self.tables.borrow();
        let numbered = |(name, figures): (String, _)| Some((tables.registry.zone_number(&name)?, figures));
        learned.zones = zones.into_iter().filter_map(numbered).collect();
        self.balancer.borrow_mut().resume(self.clock.now(), &learned);
    }

    /// Those put back whose start the list has not told; see [`take_returned`](Engine::take_returned).
    pub fn returned(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.tables.borrow().registry.returned()
    }

    /// Takes over what another process tells of those, before its list.
    pub fn take_returned(&self, returned: Vec<(String, Option<Micros>, Micros)>) {
        self.tables.borrow_mut().registry.take_returned(returned);
    }

    fn ordered(self: &Rc<Self>, entries: Option<Vec<fs::ServerEntry>>) -> bool {
        let Some(entries) = entries else { return false };
        if !entries.is_empty() {
            for entry in entries.iter().filter(|e| e.state != fs::ServerState::Ready) {
                self.wire.close_idle(entry.id);
            }
            self.feed(Event::Servers { kind: ListKind::Changes, entries });
        }
        true
    }

    /// Starts the module with no list known. Guards against a module that waits for its first event while
    /// nothing but that event would make it ask discovery.
    pub fn begin(self: &Rc<Self>) {
        self.feed(Event::Servers { kind: ListKind::Stale, entries: Vec::new() });
    }

    /// A probe was answered or not.
    pub fn probed(
        self: &Rc<Self>,
        server: ServerId,
        took: Duration,
        outcome: Outcome,
        load: Option<fs::Load>,
    ) {
        self.feed(Event::Probed { server, outcome, latency: took.as_micros() as Micros, load });
    }

    /// Rings the timers; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let next = self.tables.borrow().timers.peek().map(|Reverse((at, ..))| *at);
            let earlier = self.earlier.notified();
            match next {
                Some(at) if at > self.clock.now() => tokio::select! {
                    () = tokio::time::sleep_until(self.clock.instant(at)) => {}
                    () = earlier => {}
                },
                Some(_) => {
                    let due = self.tables.borrow_mut().timers.pop();
                    if let Some(Reverse((.., due))) = due {
                        self.ring(due);
                    }
                }
                None => earlier.await,
            }
        }
    }

    fn ring(self: &Rc<Self>, due: Due) {
        match due {
            Due::Token(token) => self.feed(Event::Timer { token }),
            Due::Limit(id, attempt) => self.call_off(id, attempt, Outcome::TimedOut),
            Due::LastResort(id) => {
                let mut tables = self.tables.borrow_mut();
                let open = tables.open.get_mut(&id);
                // Its time has not begun, or has begun later than this timer.
                let Some(open) = open.filter(|o| !o.early(self.clock.now())) else { return };
                let Some(answer) = open.answer.take() else { return };
                eprintln!("defect: the module left request {id} unanswered; failed just before its time");
                let _ = answer.send(Answer::Failed(Failure::Time));
                drop(tables);
                self.feed(Event::Gone { request: id });
                self.settle(id);
            }
        }
    }

    fn set_timer(&self, at: Micros, due: Due) {
        let mut tables = self.tables.borrow_mut();
        let tables = &mut *tables;
        // Guards the memory: a request is answered long before its last resort is due.
        if tables.timers.len() >= tables.most_timers {
            let open = &tables.open;
            tables.timers.retain(|Reverse((.., due))| match due {
                Due::Token(_) => true,
                Due::Limit(id, _) | Due::LastResort(id) => open.contains_key(id),
            });
            tables.most_timers = (2 * tables.timers.len()).max(LEAST_TIMERS);
        }
        let first = tables.timers.peek().is_none_or(|Reverse((next, ..))| at < *next);
        let number = tables.timer_number;
        tables.timer_number += 1;
        tables.timers.push(Reverse((at, number, due)));
        if first {
            self.earlier.notify_one();
        }
    }

    /// The client left, or has its answer.
    fn gone(self: &Rc<Self>, id: RequestId) {
        let (left, cut) = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            let cut = open.out.iter().find(|o| o.coming.is_some()).map(|o| o.attempt);
            (open.answer.take().is_some(), cut)
        };
        if left {
            self.feed(Event::Gone { request: id });
        }
        // Its body can never come whole, and no limit would end it.
        if let Some(attempt) = cut {
            self.call_off(id, attempt, Outcome::Cancelled);
        }
        self.settle(id);
    }

    /// The last byte of a body that passes on has come: the time of the request and of its attempt begins.
    fn has_come(&self, id: RequestId, attempt: u32) {
        let now = self.clock.now();
        let limit = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            let Some(out) = open.out.iter_mut().find(|o| o.attempt == attempt) else { return };
            let Some(limit) = out.coming.take() else { return };
            out.at = now;
            open.deadline = now + open.time_left;
            limit
        };
        self.set_timer(now + limit, Due::Limit(id, attempt));
        let last = self.tables.borrow().open.get(&id).map(|o| o.deadline.saturating_sub(LAST_RESORT));
        if let Some(last) = last {
            self.set_timer(last, Due::LastResort(id));
        }
    }

    /// Forgets a request that is answered and has nothing out.
    fn settle(&self, id: RequestId) {
        let mut tables = self.tables.borrow_mut();
        if tables.open.get(&id).is_some_and(|o| o.answer.is_none() && o.out.is_empty()) {
            tables.open.remove(&id);
            if tables.open.is_empty() {
                self.settled.notify_waiters();
            }
        }
    }

    /// Ends an attempt from this side. One whose request was not written never ran.
    fn call_off(self: &Rc<Self>, id: RequestId, attempt: u32, outcome: Outcome) {
        let handle = {
            let mut tables = self.tables.borrow_mut();
            let out = tables.open.get_mut(&id).and_then(|o| o.out.iter_mut().find(|o| o.attempt == attempt));
            let out = out.filter(|o| !(o.begun && outcome == Outcome::TimedOut));
            out.and_then(|o| o.handle.take())
        };
        let Some(handle) = handle else { return };
        let may_have_run = self.wire.abort(handle);
        let outcome = match outcome {
            Outcome::TimedOut if !may_have_run => Outcome::ConnectFailed,
            Outcome::Cancelled if !may_have_run => Outcome::NotSent,
            other => other,
        };
        self.ended(id, attempt, outcome, None, None);
    }

    /// An attempt's answer has begun. What is dropped may come back with its end, so nothing is borrowed then.
    fn began(self: &Rc<Self>, id: RequestId, attempt: u32, reply: W::Reply) {
        let answer = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            let Some(out) = open.out.iter_mut().find(|o| o.attempt == attempt) else { return };
            out.begun = true;
            open.answer.take()
        };
        let Some(answer) = answer else { return };
        self.feed(Event::FirstByte { request: id, attempt });
        let _ = answer.send(Answer::Served(reply));
    }

    /// The one outcome of an attempt; later ones find it no longer out.
    fn ended(
        self: &Rc<Self>,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
        load: Option<fs::Load>,
        reply: Option<W::Reply>,
    ) {
        let now = self.clock.now();
        let event = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            let Some(at) = open.out.iter().position(|o| o.attempt == attempt) else { return };
            let out = open.out.swap_remove(at);
            let timed_out = matches!(outcome, Outcome::TimedOut | Outcome::Cancelled);
            open.failure = if timed_out { Failure::Time } else { Failure::Upstream };
            let again = outcome == Outcome::Ok || !self.wire.spent(&open.call);
            if let (Outcome::Ok, Some(reply)) = (outcome, reply)
                && let Some(answer) = open.answer.take()
            {
                let _ = answer.send(Answer::Served(reply));
            }
            // What is left of its body is no request: no other attempt can follow. Each before it never ran, or it
            // would have been the last.
            if let Some(answer) = open.answer.take_if(|_| !again) {
                let refused = Answer::Refused { retry_after: 0 };
                let _ = answer.send(if outcome.never_ran() { refused } else { Answer::Failed(open.failure) });
            }
            let closed = open.answer.is_none();
            let latency = now.saturating_sub(out.at);
            Event::Outcome { request: id, attempt, server: out.server, outcome, latency, closed, load }
        };
        self.feed(event);
        self.settle(id);
    }

    /// Hands events to the module in their order and does what it wants done.
    fn feed(self: &Rc<Self>, event: Event) {
        self.events.borrow_mut().push_back(event);
        // Guards against an event that comes of an action while the others of its list are still to be done.
        if self.handling.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let now = self.clock.now();
            let handled = catch_unwind(AssertUnwindSafe(|| {
                self.balancer.borrow_mut().handle(now, event, &mut actions)
            }));
            // Guards the other requests: the last resort answers those that a broken module leaves.
            if handled.is_err() {
                eprintln!("defect: the module panicked");
            }
            for action in actions.drain(..) {
                self.act(now, action);
            }
        }
        self.handling.set(false);
    }

    fn act(self: &Rc<Self>, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, limit } => self.send(now, request, server, limit),
            Action::Refuse { request, retry_after } => {
                let retry_after = if self.limits.borrow().retry_after { retry_after } else { 0 };
                self.answer(request, |_| Answer::Refused { retry_after });
            }
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::Cancel { request, attempt } => self.call_off(request, attempt, Outcome::Cancelled),
            Action::Probe { server } => {
                if let Some(to) = self.target(server) {
                    self.wire.probe(self, to);
                }
            }
            Action::CloseIdle { server } => self.wire.close_idle(server),
            Action::Timer { delay, token } => self.set_timer(now + delay, Due::Token(token)),
            Action::Watch => self.wire.watch(self),
            Action::Fetch => self.wire.fetch(self),
        }
    }

    fn answer(&self, id: RequestId, answer: impl FnOnce(Failure) -> Answer<W::Reply>) {
        {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else { return };
            if let Some(sender) = open.answer.take() {
                let _ = sender.send(answer(open.failure));
            }
        }
        self.settle(id);
    }

    fn target(&self, server: ServerId) -> Option<Target> {
        self.tables.borrow().registry.target(server)
    }

    /// Starts an attempt. What the rules forbid whatever the module says is not sent, and told so.
    fn send(self: &Rc<Self>, now: Micros, id: RequestId, server: ServerId, limit: Micros) {
        let target = self.target(server);
        let (call, attempt, limit) = {
            let mut tables = self.tables.borrow_mut();
            let Some(open) = tables.open.get_mut(&id) else {
                drop(tables);
                let (outcome, latency) = (Outcome::NotSent, 0);
                let (attempt, closed, load) = (0, true, None);
                let event = Event::Outcome { request: id, attempt, server, outcome, latency, closed, load };
                return self.events.borrow_mut().push_back(event);
            };
            let attempt = open.sent;
            open.sent += 1;
            let left = open.deadline.saturating_sub(now + LAST_RESORT);
            let limit = if limit == 0 { left } else { limit.min(left) };
            let limits = self.limits.borrow();
            let copies = open.out.is_empty() || limits.second_copies;
            let may = open.answer.is_some() && copies && attempt < limits.max_attempts && limit > 0;
            let coming = self.wire.coming(&open.call).then_some(limit);
            open.out.push(Out { attempt, server, at: now, handle: None, begun: false, coming });
            (may.then(|| open.call.clone()), attempt, limit)
        };
        let (Some(call), Some(target)) = (call, target) else {
            return self.ended(id, attempt, Outcome::NotSent, None, None);
        };
        let report = Report { engine: self.clone(), request: id, attempt, told: false };
        let handle = self.wire.send(target, call, limit, report);
        let mut counts = true;
        if let Some(open) = self.tables.borrow_mut().open.get_mut(&id)
            && let Some(out) = open.out.iter_mut().find(|o| o.attempt == attempt)
        {
            out.handle = Some(handle);
            counts = out.coming.is_none();
        }
        if counts {
            self.set_timer(now + limit, Due::Limit(id, attempt));
        }
    }
}

#[cfg(test)]
mod tests;
