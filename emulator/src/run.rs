//! One run of a world: its state, its events and the loop over them. What happens to requests on their way to nodes is
//! in `way`, what the script does in `play`.

use std::collections::HashMap;
use std::hash::BuildHasherDefault;

use finchshift::{ListKind, Micros, Outcome, RequestId, ServerState};
use rand::RngExt;
use sloeline_engine::core::Arrival;
use slotmap::{Key, SlotMap, new_key_type};

use crate::check::{Breach, Checker, Rule, Step};
use crate::host::{Deed, Host, News, Verdict};
use crate::measure::{End, Measures, Row};
use crate::node::Node;
use crate::play::Playing;
use crate::queue::Queue;
use crate::streams::{Stream, Streams, factor, gap};
use crate::truth::Truth;
use crate::world::{Effect, World};

new_key_type! {
    /// A caller's try.
    pub struct CallKey;
    /// An attempt on a node.
    pub struct AttemptKey;
}

/// Where balancers' clocks stand when a run begins: lists tell times before it.
pub const EPOCH: Micros = 3_600_000_000;
/// How often a try that finds no balancer goes to another one before it fails.
const TURNS: u8 = 3;
/// How soon callers whose rate is 0 are looked at again.
const IDLE: Micros = 20_000;
/// No row has a node.
const NOBODY: u32 = u32::MAX;

/// Numbers of requests hash as they are.
#[derive(Default)]
pub struct Plain(u64);

impl std::hash::Hasher for Plain {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u64(u64::from(*b)));
    }
    fn write_u64(&mut self, n: u64) {
        // Fibonacci hashing: the table takes the highest bits as well as the lowest.
        self.0 = (self.0 ^ n).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(26);
    }
    fn write_u32(&mut self, n: u32) {
        self.write_u64(u64::from(n));
    }
}

/// A table by numbers.
pub type Table<K, V> = HashMap<K, V, BuildHasherDefault<Plain>>;

/// What is to happen.
#[derive(Clone, Copy, Debug)]
pub enum Ev {
    /// The next of a group of callers asks.
    Arrive(u16),
    /// A session of a group asks.
    Think(u16),
    /// A try reaches its balancer.
    Reach(CallKey),
    /// A caller tries again.
    Again(CallKey),
    /// The time of a caller is over.
    Patience(CallKey),
    /// The final answer is at the caller.
    Answered(CallKey),
    /// An attempt reaches its node.
    AtNode(AttemptKey),
    /// A node has done its work for an attempt.
    Done(AttemptKey),
    /// What became of an attempt reaches its balancer.
    Back(AttemptKey),
    /// A node hears that an attempt's connection is closed.
    Closed(AttemptKey),
    /// A balancer's timer is due.
    Ring(u32, u32),
    /// News reach a balancer.
    News(u32, u32),
    /// A balancer gets the whole list.
    List(u32, u32),
    /// A line of the script.
    Play(u32),
    /// ... is undone.
    Undo(u32),
    /// A step of something that the script has begun.
    Step(u32),
}

/// How far a try is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    /// On its way to a balancer.
    Way,
    /// At the balancer, unanswered.
    Balancer,
    /// Its answer is on its way.
    Answer,
    /// Its caller has an answer and is to try again.
    Rests,
    /// Its caller has left or has its answer.
    Over,
}

/// A caller's try.
pub struct Call {
    /// Its number among all, from 0: later tries of one request have others.
    pub number: u64,
    pub(crate) group: u16,
    pub(crate) class: u16,
    pub(crate) at: At,
    turns: u8,
    pub(crate) balancer: u32,
    life: u32,
    first_balancer: u32,
    pub(crate) request: RequestId,
    /// When its caller first tried.
    pub(crate) asked: Micros,
    /// When it tried this time.
    arrived: Micros,
    pub(crate) work: f64,
    pub(crate) key: u64,
    tries: u32,
    /// Attempts of earlier tries.
    before: u32,
    /// Attempts of this one.
    pub(crate) sent: u32,
    /// The attempt that is out, as far as the balancer knows.
    pub(crate) out: Option<AttemptKey>,
    /// Attempts that the world still knows.
    pub(crate) alive: u32,
    pub(crate) last_node: u32,
    /// Times that it took effect, and where and when it did first.
    pub(crate) effects: u32,
    pub(crate) first_effect: (u32, Micros),
    verdict: Option<Verdict>,
    /// The answer has nothing in it.
    pub(crate) empty: bool,
    settled: bool,
}

/// Idle connections of a balancer to a node.
#[derive(Clone, Copy, Default)]
pub(crate) struct Idle {
    pub count: u32,
    /// When one was used last.
    pub used: Micros,
    /// The life of the node in which they were made: with it they are gone.
    pub life: u32,
}

/// A balancer's place in the world.
pub(crate) struct Balancer {
    pub host: Box<dyn Host>,
    pub zone: u32,
    skew: Micros,
    pub up: bool,
    /// How often it has died.
    pub life: u32,
    armed: Micros,
    /// Its processor has work until then.
    busy: Micros,
    calls: Table<RequestId, CallKey>,
    /// Idle connections to each node.
    pub idle: Table<u32, Idle>,
    pub stream: Stream,
    /// Nodes that it may send nothing new to, and since when it knows.
    pub barred: Table<u32, Micros>,
    /// The latest start of each node that it has been told.
    pub starts: Table<u32, Micros>,
    /// News reach it in their order.
    pub told: Micros,
    /// It has been told a list.
    pub listed: bool,
}

struct Group {
    class: u16,
    rate: f64,
    by: f64,
    swing: f64,
    period: f64,
    think: f64,
    /// Further tries that are paid for.
    purse: f64,
    /// Cumulated shares of keys.
    keys: Vec<f64>,
    stream: Stream,
}

/// Makes the decisions of a balancer: its number, a seed, and the true state for those who may see it.
pub type Maker<'a> = dyn Fn(u32, u64, &Truth) -> Result<Box<dyn Host>, String> + 'a;

/// What a run was.
pub struct Outcomes {
    /// Its figures.
    pub measures: Measures,
    /// How often each rule was broken.
    pub counts: [u64; 4],
    /// The first breach of each.
    pub breaches: Vec<Breach>,
    /// BLAKE3 of all rows, in the order in which they ended.
    pub digest: String,
    /// Events that were handled.
    pub events: u64,
    /// Most events that waited at once.
    pub waiting: usize,
    /// When the last request ended.
    pub ended: Micros,
}

/// A run under way.
pub struct Run<'a> {
    pub(crate) world: &'a World,
    pub(crate) queue: Queue<Ev>,
    pub(crate) calls: SlotMap<CallKey, Call>,
    pub(crate) attempts: SlotMap<AttemptKey, crate::way::Attempt>,
    pub(crate) nodes: Vec<Node>,
    pub(crate) balancers: Vec<Balancer>,
    groups: Vec<Group>,
    pub(crate) checker: Checker,
    pub(crate) truth: Truth,
    pub(crate) playing: Playing,
    pub(crate) ways: crate::way::Ways,
    pub(crate) streams: Streams,
    maker: &'a Maker<'a>,
    measures: Measures,
    rows: &'a mut dyn FnMut(&Row),
    digest: blake3::Hasher,
    next_call: u64,
    /// Tries that are not over.
    waiting_calls: u64,
    ended: Micros,
}

impl<'a> Run<'a> {
    /// A world at its beginning. Every row goes to `rows` when its request has ended.
    pub fn new(
        world: &'a World,
        seed: u64,
        maker: &'a Maker<'a>,
        rows: &'a mut dyn FnMut(&Row),
    ) -> Result<Run<'a>, String> {
        world.check()?;
        let streams = Streams::new(seed);
        let n = &world.nodes;
        let node = |i: u32| {
            let speed = factor(n.spread, &mut streams.of("speed", u64::from(i)));
            let cell =
                if n.cell == 0 { 0 } else { i / (n.cell * world.zones) * world.zones + i % world.zones };
            Node::new(i % world.zones, cell, speed)
        };
        let nodes: Vec<Node> = (0..n.count).map(node).collect();
        let truth = Truth::new(nodes.len());
        let groups = world.callers.iter().enumerate().map(|(i, c)| {
            let mut sum = 0.0;
            let share = |k: u32| f64::from(k + 1).powf(-c.skew);
            let keys = (0..c.keys).map(|k| {
                sum += share(k);
                sum
            });
            Group {
                class: world.class(&c.class).unwrap_or(0) as u16,
                rate: c.rate,
                by: 1.0,
                swing: c.swing,
                period: c.period.seconds(),
                think: c.think.seconds(),
                purse: 0.0,
                keys: keys.collect(),
                stream: streams.of("callers", i as u64),
            }
        });
        let balancers = world.balancers.count as usize;
        let measures = Measures::new(world.classes.len(), balancers, nodes.len(), world.warm_up.0);
        let mut run = Run {
            world,
            queue: Queue::default(),
            calls: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            nodes,
            balancers: Vec::with_capacity(balancers),
            groups: groups.collect(),
            checker: Checker::default(),
            truth,
            playing: Playing::new(world),
            ways: crate::way::Ways::new(world),
            streams,
            maker,
            measures,
            rows,
            digest: blake3::Hasher::new(),
            next_call: 0,
            waiting_calls: 0,
            ended: 0,
        };
        run.see_all();
        for i in 0..world.balancers.count {
            let mut stream = streams.of("balancer", u64::from(i));
            let skew =
                if world.balancers.skew.0 > 0 { stream.random_range(0..=world.balancers.skew.0) } else { 0 };
            let host = maker(i, streams.number("host", u64::from(i)), &run.truth)?;
            run.balancers.push(Balancer {
                host,
                zone: i % world.zones,
                skew,
                up: true,
                life: 0,
                armed: Micros::MAX,
                busy: 0,
                calls: Table::default(),
                idle: Table::default(),
                stream,
                barred: Table::default(),
                starts: Table::default(),
                told: 0,
                listed: false,
            });
            run.queue.push(0, Ev::List(i, 0));
        }
        for (i, c) in world.callers.iter().enumerate() {
            if c.rate > 0.0 {
                let first = gap(c.rate, &mut run.groups[i].stream);
                run.queue.push(first, Ev::Arrive(i as u16));
            }
            for _ in 0..c.sessions {
                let first = run.groups[i].thinks();
                run.queue.push(first, Ev::Think(i as u16));
            }
        }
        for (i, happening) in world.events.iter().enumerate() {
            run.queue.push(happening.at.0, Ev::Play(i as u32));
        }
        Ok(run)
    }

    /// Plays it to its end.
    pub fn play(mut self) -> Outcomes {
        let (mut events, mut waiting) = (0, 0);
        while let Some((now, event)) = self.queue.pop() {
            if now > self.world.length.0 && self.waiting_calls == 0 {
                break;
            }
            events += 1;
            waiting = waiting.max(self.queue.len());
            self.handle(now, event);
        }
        let nodes: Vec<u64> = self.nodes.iter().map(|n| n.served).collect();
        self.measures.nodes = nodes;
        self.measures.finish();
        Outcomes {
            measures: self.measures,
            counts: self.checker.counts(),
            breaches: self.checker.first().to_vec(),
            digest: self.digest.finalize().to_hex().to_string(),
            events,
            waiting,
            ended: self.ended,
        }
    }

    fn handle(&mut self, now: Micros, event: Ev) {
        match event {
            Ev::Arrive(group) => self.arrive(now, group),
            Ev::Think(group) => {
                if now <= self.world.length.0 {
                    self.asks(now, group);
                }
            }
            Ev::Reach(call) => self.reach(now, call),
            Ev::Again(call) => self.again(now, call),
            Ev::Patience(call) => self.patience(now, call),
            Ev::Answered(call) => self.answered(now, call),
            Ev::AtNode(attempt) => self.at_node(now, attempt),
            Ev::Done(attempt) => self.done(now, attempt),
            Ev::Back(attempt) => self.back(now, attempt),
            Ev::Closed(attempt) => self.closed(now, attempt),
            Ev::Ring(b, life) => {
                let balancer = &mut self.balancers[b as usize];
                if balancer.up && balancer.life == life && balancer.armed <= now {
                    balancer.armed = Micros::MAX;
                    let local = balancer.local(now);
                    balancer.host.ring(local);
                    self.drive(now, b);
                }
            }
            Ev::News(b, item) => self.news(now, b, item),
            Ev::List(b, life) => self.list(now, b, life),
            Ev::Play(line) => self.happens(now, line),
            Ev::Undo(line) => self.undone(now, line),
            Ev::Step(step) => self.step(now, step),
        }
    }

    // Callers.

    fn arrive(&mut self, now: Micros, g: u16) {
        if now > self.world.length.0 {
            return;
        }
        let group = &mut self.groups[g as usize];
        let rate = group.rate_at(now);
        if rate <= 0.0 {
            return self.queue.push(now + IDLE, Ev::Arrive(g));
        }
        let next = now + gap(rate, &mut group.stream);
        self.queue.push(next, Ev::Arrive(g));
        self.asks(now, g);
    }

    /// A caller of a group makes a new request.
    fn asks(&mut self, now: Micros, g: u16) {
        let group = &mut self.groups[g as usize];
        let class = group.class;
        let of = &self.world.classes[class as usize];
        let work = of.work.0 as f64 * of.spread.draw(&mut group.stream);
        let key = group.key(self.next_call);
        group.purse = (group.purse + self.world.callers[g as usize].again.budget).min(100.0);
        self.try_one(
            now,
            Call {
                number: 0,
                group: g,
                class,
                at: At::Way,
                turns: 0,
                balancer: NOBODY,
                life: 0,
                first_balancer: NOBODY,
                request: 0,
                asked: now,
                arrived: now,
                work: work.max(1.0),
                key,
                tries: 1,
                before: 0,
                sent: 0,
                out: None,
                alive: 0,
                last_node: NOBODY,
                effects: 0,
                first_effect: (NOBODY, 0),
                verdict: None,
                empty: false,
                settled: false,
            },
        );
    }

    fn try_one(&mut self, now: Micros, mut call: Call) {
        call.number = self.next_call;
        self.next_call += 1;
        self.waiting_calls += 1;
        let deadline = now + self.world.classes[call.class as usize].deadline.0;
        let key = self.calls.insert(call);
        self.queue.push(deadline, Ev::Patience(key));
        self.goes_to_a_balancer(now, key);
    }

    /// The front deals tries out evenly among the balancers that run.
    fn goes_to_a_balancer(&mut self, now: Micros, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else { return };
        let stream = &mut self.groups[call.group as usize].stream;
        let n = self.balancers.len();
        let from = stream.random_range(0..n);
        let up = (0..n).map(|i| (from + i) % n).find(|i| self.balancers[*i].up);
        call.turns += 1;
        let Some(b) = up.filter(|_| call.turns <= TURNS) else {
            call.verdict = Some(Verdict::Failed);
            call.settled = true;
            return self.queue.push(now, Ev::Answered(key));
        };
        (call.balancer, call.life) = (b as u32, self.balancers[b].life);
        if call.first_balancer == NOBODY {
            call.first_balancer = b as u32;
        }
        self.queue.push(now + self.world.network.callers.0, Ev::Reach(key));
    }

    fn reach(&mut self, now: Micros, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else { return };
        if call.at != At::Way {
            return;
        }
        let b = call.balancer;
        let balancer = &mut self.balancers[b as usize];
        if !balancer.up || balancer.life != call.life {
            return self.goes_to_a_balancer(now, key);
        }
        let deadline = call.arrived + self.world.classes[call.class as usize].deadline.0;
        let arrival = Arrival {
            class: call.class as usize,
            time_left: deadline.saturating_sub(now + self.world.network.callers.0),
            tenant: None,
            work: None,
            retry: call.tries > 1,
            body_pending: false,
            operation: None,
        };
        call.at = At::Balancer;
        let (key_asked, local) = (call.key, balancer.local(now));
        call.request = balancer.host.ask(local, arrival, key_asked);
        balancer.calls.insert(call.request, key);
        let step = Step { at: now, what: "asked", call: call.number, balancer: b, node: NOBODY };
        self.checker.step(step);
        self.drive(now, b);
    }

    /// The caller's time is over: it leaves, unless it has its answer.
    fn patience(&mut self, now: Micros, key: CallKey) {
        let Some(call) = self.calls.get(key) else { return };
        match call.at {
            At::Over | At::Rests => {}
            At::Balancer => {
                let (b, request, number) = (call.balancer, call.request, call.number);
                let step = Step { at: now, what: "left", call: number, balancer: b, node: NOBODY };
                self.checker.step(step);
                // It is accepted by one that lives, and has no answer.
                self.checker
                    .breach(Rule::Lost, step, || "no final answer within the caller's time".to_owned());
                let balancer = &mut self.balancers[b as usize];
                let local = balancer.local(now);
                balancer.host.gone(local, request);
                self.over(now, key, End::Left);
                self.drive(now, b);
            }
            At::Way | At::Answer => self.over(now, key, End::Left),
        }
    }

    /// The final answer is at the caller.
    fn answered(&mut self, now: Micros, key: CallKey) {
        let Some(call) = self.calls.get(key).filter(|c| c.at == At::Answer || c.at == At::Way) else {
            return;
        };
        let Some(verdict) = call.verdict else { return };
        let effect = self.world.classes[call.class as usize].effect;
        let again = &self.world.callers[call.group as usize].again;
        let may = match verdict {
            Verdict::Served => false,
            Verdict::Refused(_) => true,
            Verdict::Failed => again.reckless || effect != Effect::Unsafe,
        };
        let purse = &mut self.groups[call.group as usize].purse;
        let paid = again.budget == 0.0 || *purse >= 1.0;
        if may && paid && call.tries < again.tries {
            *purse -= if again.budget > 0.0 { 1.0 } else { 0.0 };
            let told = match verdict {
                Verdict::Refused(wait) => wait,
                _ => 0,
            };
            let mean = again.wait.0 as f64 * f64::from(1_u32 << (call.tries - 1).min(10));
            let stream = &mut self.groups[call.group as usize].stream;
            let wait = told + (mean * (0.5 + stream.random::<f64>())) as Micros;
            if let Some(call) = self.calls.get_mut(key) {
                call.at = At::Rests;
            }
            // Kept until then: what it asks for is asked for again.
            return self.queue.push(now + wait, Ev::Again(key));
        }
        let end = match verdict {
            Verdict::Served if call.empty => End::Empty,
            Verdict::Served => End::Served,
            Verdict::Refused(_) => End::Refused,
            Verdict::Failed => End::Failed,
        };
        self.over(now, key, end);
    }

    fn again(&mut self, now: Micros, key: CallKey) {
        let Some(call) = self.calls.get_mut(key) else { return };
        call.at = At::Over;
        let next = Call {
            number: 0,
            at: At::Way,
            turns: 0,
            balancer: NOBODY,
            life: 0,
            request: 0,
            arrived: now,
            tries: call.tries + 1,
            before: call.before + call.sent,
            sent: 0,
            out: None,
            alive: 0,
            effects: 0,
            first_effect: (NOBODY, 0),
            verdict: None,
            empty: false,
            settled: false,
            group: call.group,
            class: call.class,
            first_balancer: call.first_balancer,
            asked: call.asked,
            work: call.work,
            key: call.key,
            last_node: call.last_node,
        };
        self.waiting_calls -= 1;
        self.free(key);
        self.try_one(now, next);
    }

    /// A request has ended for its caller.
    fn over(&mut self, now: Micros, key: CallKey, end: End) {
        let Some(call) = self.calls.get_mut(key) else { return };
        // No balancer has it.
        call.settled |= call.at == At::Way;
        call.at = At::Over;
        let row = Row {
            asked: call.asked,
            class: u32::from(call.class),
            balancer: call.balancer,
            node: call.last_node,
            end,
            latency: now - call.asked,
            attempts: call.before + call.sent,
            tries: call.tries,
        };
        let (group, first) = (call.group, call.first_balancer.min(self.balancers.len() as u32 - 1));
        let class = &self.world.classes[call.class as usize];
        self.waiting_calls -= 1;
        self.ended = now;
        self.digest.update(&row.bytes());
        self.measures.ended(&row, first, class.worth, class.aim.0);
        (self.rows)(&row);
        if self.world.callers[group as usize].sessions > 0 {
            let next = now + self.groups[group as usize].thinks();
            self.queue.push(next, Ev::Think(group));
        }
        self.free(key);
    }

    /// Forgets a try when nothing of it is left anywhere.
    pub(crate) fn free(&mut self, key: CallKey) {
        let done = |c: &Call| c.at == At::Over && c.alive == 0 && c.settled;
        if self.calls.get(key).is_some_and(done) {
            self.calls.remove(key);
        }
    }

    // Balancers.

    /// Does what a balancer wants done, and sets its timer.
    pub(crate) fn drive(&mut self, now: Micros, b: u32) {
        let at = b as usize;
        // What it handles takes its processor some time, and it does one thing at a time.
        let cost = self.world.balancers.processor.0;
        let start = self.balancers[at].busy.max(now);
        self.balancers[at].busy = start + cost;
        let delay = start + cost - now;
        while let Some(deed) = self.balancers[at].host.deed() {
            match deed {
                Deed::Send { request, attempt, node } => self.send(now, delay, b, request, attempt, node),
                Deed::Abort { request, attempt, why } => self.abort(now, b, request, attempt, why),
                Deed::Answer { request, verdict } => self.answer(now, delay, b, request, verdict),
                Deed::Settled { request } => {
                    if let Some(key) = self.balancers[at].calls.remove(&request) {
                        if let Some(call) = self.calls.get_mut(key) {
                            call.settled = true;
                        }
                        self.free(key);
                    }
                }
                Deed::CloseIdle { node } => {
                    if let Some(idle) = self.balancers[at].idle.remove(&node) {
                        self.nodes[node as usize].closes(idle);
                    }
                }
            }
        }
        let balancer = &mut self.balancers[at];
        if let Some(due) = balancer.host.due() {
            let due = balancer.world(due).max(now);
            if due < balancer.armed {
                balancer.armed = due;
                self.queue.push(due, Ev::Ring(b, balancer.life));
            }
        }
    }

    /// The try that a balancer means.
    pub(crate) fn call_of(&self, b: u32, request: RequestId) -> Option<CallKey> {
        self.balancers[b as usize].calls.get(&request).copied()
    }

    fn answer(&mut self, now: Micros, delay: Micros, b: u32, request: RequestId, verdict: Verdict) {
        let Some(key) = self.call_of(b, request) else { return };
        let Some(call) = self.calls.get_mut(key) else { return };
        let step = Step { at: now, what: "answered", call: call.number, balancer: b, node: NOBODY };
        self.checker.step(step);
        match call.at {
            At::Balancer => {}
            // Its caller has left in this moment.
            At::Over => return,
            At::Way | At::Answer | At::Rests => {
                return self.checker.breach(Rule::Lost, step, || "a second final answer".to_owned());
            }
        }
        call.at = At::Answer;
        call.verdict = Some(verdict);
        let effect = self.world.classes[call.class as usize].effect;
        if matches!(verdict, Verdict::Refused(_)) && effect == Effect::Unsafe && call.effects > 0 {
            self.checker.breach(Rule::Twice, step, || "refused, though it took effect".to_owned());
        }
        self.queue.push(now + delay + self.world.network.callers.0, Ev::Answered(key));
    }

    /// Tells a balancer of an attempt that ended.
    pub(crate) fn tell(&mut self, now: Micros, b: u32, request: RequestId, attempt: u32, outcome: Outcome) {
        let balancer = &mut self.balancers[b as usize];
        let local = balancer.local(now);
        balancer.host.ended(local, request, attempt, outcome);
        self.drive(now, b);
    }

    /// The whole list, as the registry has it now.
    fn list(&mut self, now: Micros, b: u32, life: u32) {
        if self.balancers[b as usize].life != life || !self.balancers[b as usize].up {
            return;
        }
        let news: Vec<News> = (0..self.nodes.len() as u32).map(|n| self.news_of(n)).collect();
        let balancer = &mut self.balancers[b as usize];
        balancer.told = balancer.told.max(now);
        balancer.listed = true;
        balancer.barred =
            news.iter().filter(|n| n.state != ServerState::Ready).map(|n| (n.node, now)).collect();
        balancer.starts = news.iter().filter_map(|n| Some((n.node, n.started?))).collect();
        let local = balancer.local(now);
        let news: Vec<News> = news.into_iter().filter(|n| n.state != ServerState::Gone).collect();
        balancer.host.list(local, ListKind::Complete, &news);
        self.drive(now, b);
    }

    /// What the registry knows of a node.
    pub(crate) fn news_of(&self, node: u32) -> News {
        let n = &self.nodes[node as usize];
        let state = match (n.up, n.draining) {
            (false, _) => ServerState::Gone,
            (true, true) => ServerState::Draining,
            (true, false) => ServerState::Ready,
        };
        News { node, zone: n.zone, cell: n.cell, state, started: n.started.map(|at| at + EPOCH) }
    }

    pub(crate) fn hears(&mut self, now: Micros, b: u32, news: News) {
        let balancer = &mut self.balancers[b as usize];
        if news.state == ServerState::Ready {
            balancer.barred.remove(&news.node);
        } else {
            balancer.barred.entry(news.node).or_insert(now);
        }
        balancer.starts.extend(news.started.map(|started| (news.node, started)));
        let local = balancer.local(now);
        balancer.host.list(local, ListKind::Changes, &[news]);
        self.drive(now, b);
    }

    /// A balancer dies with all that it holds: callers' connections break.
    pub(crate) fn balancer_dies(&mut self, now: Micros, b: u32) {
        let balancer = &mut self.balancers[b as usize];
        balancer.up = false;
        balancer.life += 1;
        balancer.armed = Micros::MAX;
        let (calls, idle) = (std::mem::take(&mut balancer.calls), std::mem::take(&mut balancer.idle));
        for (node, idle) in idle {
            self.nodes[node as usize].closes(idle);
        }
        let mut keys: Vec<CallKey> = calls.into_values().collect();
        // In an order of their own: that of the table is none.
        keys.sort_by_key(|key| key.data());
        for key in keys {
            let Some(call) = self.calls.get_mut(key) else { continue };
            call.settled = true;
            if call.at == At::Balancer {
                call.at = At::Answer;
                call.verdict = Some(Verdict::Failed);
                self.queue.push(now + self.world.network.callers.0, Ev::Answered(key));
            }
            self.free(key);
        }
    }

    /// It starts again with nothing known, and asks for the list.
    pub(crate) fn balancer_starts(&mut self, now: Micros, b: u32) {
        let life = self.balancers[b as usize].life;
        let seed = self.streams.number("host", u64::from(b) | u64::from(life) << 32);
        let Ok(host) = (self.maker)(b, seed, &self.truth) else { return };
        let spread = self.world.registry.lag.0;
        let balancer = &mut self.balancers[b as usize];
        (balancer.host, balancer.up, balancer.listed) = (host, true, false);
        (balancer.busy, balancer.told) = (now, now);
        let ask = now + balancer.stream.random_range(0..=spread);
        self.queue.push(ask, Ev::List(b, life));
    }

    /// Whom the script may change: a group's rate.
    pub(crate) fn load(&mut self, callers: &str, by: f64) {
        for (group, of) in self.groups.iter_mut().zip(&self.world.callers) {
            if callers.is_empty() || of.title() == callers {
                group.by = by;
            }
        }
    }

    /// Shows the true state of all nodes to those who may see it.
    fn see_all(&mut self) {
        (0..self.nodes.len() as u32).for_each(|n| self.see(0, n));
    }

    /// Shows that of one.
    pub(crate) fn see(&mut self, now: Micros, node: u32) {
        let n = &self.nodes[node as usize];
        let of = &self.world.nodes;
        let well = n.up && !n.draining && n.mood == crate::node::Mood::Well;
        let room = n.held() < of.cores + of.queue;
        let rate = if well && room { n.pace(now, of) } else { 0.0 };
        self.truth.set(node, rate, n.busy, n.queue.len() as u32);
    }
}

impl Call {
    /// Its final answer said that it never ran and never will.
    pub(crate) fn refused(&self) -> bool {
        matches!(self.verdict, Some(Verdict::Refused(_)))
    }
}

impl Balancer {
    /// The time by its own clock.
    pub fn local(&self, now: Micros) -> Micros {
        now + EPOCH + self.skew
    }

    fn world(&self, local: Micros) -> Micros {
        local.saturating_sub(EPOCH + self.skew)
    }
}

impl Group {
    fn rate_at(&self, now: Micros) -> f64 {
        let swing = match self.swing {
            0.0 => 1.0,
            part => 1.0 + part * (std::f64::consts::TAU * now as f64 / 1e6 / self.period).sin(),
        };
        self.rate * self.by * swing
    }

    fn thinks(&mut self) -> Micros {
        if self.think > 0.0 { gap(1.0 / self.think, &mut self.stream) } else { 0 }
    }

    /// What is asked for: a key of the first ones more often, or one that nobody else asks for.
    fn key(&mut self, number: u64) -> u64 {
        let Some(sum) = self.keys.last() else { return number };
        let at = self.stream.random::<f64>() * sum;
        self.keys.partition_point(|k| *k < at) as u64
    }
}
