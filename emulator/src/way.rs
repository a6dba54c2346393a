//! Attempts on their way: connections, messages that are late or lost, and what nodes do with what reaches them.

use finchshift::{Micros, Outcome, RequestId};
use rand::RngExt;

use crate::check::{Rule, Step};
use crate::node::Mood;
use crate::run::{At, AttemptKey, Call, CallKey, Ev, Idle, Run};
use crate::streams::{Stream, factor};
use crate::world::{Effect, Group, World};

/// A node that answers without working takes this long.
const AT_ONCE: Micros = 50;
/// A repeat that its group drops takes this part of the work.
const DROPPED: f64 = 0.05;

/// An attempt on a node.
pub struct Attempt {
    pub(crate) call: CallKey,
    balancer: u32,
    /// Which life of the balancer and of the node it belongs to.
    lives: (u32, u32),
    node: u32,
    request: RequestId,
    number: u32,
    /// When its request is written.
    written: Micros,
    /// Its connection was there before.
    reused: bool,
    /// Its connection breaks when it is answered.
    breaks: bool,
    /// The balancer has closed its connection.
    closed: bool,
    /// No event of it is to come.
    adrift: bool,
    serving: bool,
    /// The node has answered, or its kernel has.
    responded: bool,
    outcome: Outcome,
    empty: bool,
}

/// How messages go.
pub struct Ways {
    /// Times as long as ever.
    pub by: f64,
    /// Part that is lost.
    pub loss: f64,
    /// Pairs of zones between which nothing passes, from the first to the second.
    pub cut: Vec<(u32, u32)>,
}

impl Ways {
    /// As the world has it.
    pub fn new(world: &World) -> Ways {
        Ways { by: 1.0, loss: world.network.loss, cut: Vec::new() }
    }

    /// The time of one message; nothing where it never arrives.
    fn time(&self, world: &World, from: u32, to: u32, stream: &mut Stream) -> Option<Micros> {
        if self.cut.contains(&(from, to)) {
            return None;
        }
        let network = &world.network;
        let mean = if from == to { network.near } else { network.far };
        let mut time = mean.0 as f64 * self.by * factor(network.jitter, stream);
        let mut resend = network.resend.0 as f64;
        while self.loss > 0.0 && stream.random::<f64>() < self.loss {
            time += resend;
            resend *= 2.0;
        }
        Some(time as Micros)
    }
}

impl Run<'_> {
    /// Starts an attempt.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        delay: Micros,
        b: u32,
        request: RequestId,
        number: u32,
        node: u32,
    ) {
        let key = self.call_of(b, request);
        let world = self.world;
        let step = Step {
            at: now,
            what: "sent",
            call: key.and_then(|k| self.calls.get(k)).map_or(u64::MAX, |c| c.number),
            balancer: b,
            node,
        };
        self.checker.step(step);
        let balancer = &mut self.balancers[b as usize];
        let grace = world.rules.drain_grace.0;
        if let Some(since) = balancer.barred.get(&node).copied().filter(|since| now > since + grace) {
            let late = (now - since) as f64 / 1e6;
            self.checker.breach(Rule::Drain, step, || {
                format!("sent {late:.3} s after the news that it is not ready")
            });
        }
        let Some((key, call)) = key.and_then(|k| Some((k, self.calls.get_mut(k)?))) else {
            return self
                .checker
                .breach(Rule::Lost, step, || "sent for a request that is forgotten".to_owned());
        };
        if call.at != At::Balancer {
            self.checker.breach(Rule::Lost, step, || "sent after the final answer".to_owned());
        }
        if call.out.is_some() {
            self.checker.breach(Rule::Twice, step, || "sent while another attempt is out".to_owned());
        }
        call.sent += 1;
        if call.sent > world.balancers.attempts {
            let most = world.balancers.attempts;
            self.checker.breach(Rule::Twice, step, || format!("more than {most} attempts"));
        }
        call.last_node = node;
        let work = call.work;
        let (from, to) = (balancer.zone, self.nodes[node as usize].zone);
        let stream = &mut balancer.stream;
        // A connection that is idle, or a new one: its handshake is a way there and one back.
        let life = self.nodes[node as usize].life;
        let good =
            |idle: &Idle| idle.count > 0 && idle.life == life && now < idle.used + world.network.idle.0;
        let kept = balancer.idle.get(&node).copied().filter(good);
        if kept.is_none()
            && let Some(idle) = balancer.idle.remove(&node)
        {
            self.nodes[node as usize].closes(idle);
        }
        let mut start = now + delay;
        let mut refused = false;
        if let Some(idle) = kept {
            balancer.idle.insert(node, Idle { count: idle.count - 1, ..idle });
        } else {
            let there = self.ways.time(world, from, to, stream);
            let back = self.ways.time(world, to, from, stream);
            let n = &mut self.nodes[node as usize];
            let limit = world.nodes.connections;
            match (there, back) {
                (Some(there), Some(back)) => {
                    start += there + back;
                    refused = !n.up || limit > 0 && n.connections >= limit;
                    n.connections += u32::from(!refused);
                }
                // Nothing comes of it; the limit ends it.
                _ => start = Micros::MAX,
            }
        }
        let breaks = world.network.broken > 0.0 && stream.random::<f64>() < world.network.broken;
        let arrives = match start {
            Micros::MAX => None,
            start => self.ways.time(world, from, to, stream).map(|way| start + way),
        };
        let n = &mut self.nodes[node as usize];
        let attempt = Attempt {
            call: key,
            balancer: b,
            lives: (balancer.life, n.life),
            node,
            request,
            number,
            written: start,
            reused: kept.is_some(),
            breaks,
            closed: false,
            adrift: arrives.is_none() && !refused,
            serving: false,
            responded: false,
            outcome: Outcome::ConnectFailed,
            empty: false,
        };
        if !refused && arrives.is_some() {
            let slack = world.nodes.cores as f64 * work.max(world.classes[call.class as usize].work.0 as f64);
            let (span, factor) = (world.rules.cold_span.0, world.rules.cold_factor);
            let told = n
                .started
                .is_none_or(|started| balancer.starts.get(&node) == Some(&(started + crate::run::EPOCH)));
            if n.pushed(now, (work, told), &world.nodes, span, factor, slack) {
                self.checker
                    .breach(Rule::Cold, step, || "a cold node was sent more than it can take".to_owned());
            }
        }
        call.alive += 1;
        let out = self.attempts.insert(attempt);
        call.out = Some(out);
        match arrives {
            _ if refused => self.queue.push(start, Ev::Back(out)),
            Some(at) => self.queue.push(at, Ev::AtNode(out)),
            None => {}
        }
    }

    /// A balancer closes the connection of an attempt.
    pub(crate) fn abort(&mut self, now: Micros, b: u32, request: RequestId, number: u32, why: Outcome) {
        let key = self.call_of(b, request).and_then(|k| self.calls.get_mut(k)).and_then(|c| c.out.take());
        let Some((key, out)) = key.and_then(|k| Some((k, self.attempts.get_mut(k)?))) else {
            return;
        };
        out.closed = true;
        let may_have_run = now >= out.written;
        let (node, adrift) = (out.node, out.adrift);
        if out.written != Micros::MAX {
            let n = &mut self.nodes[node as usize];
            n.connections = n.connections.saturating_sub(1);
        }
        if adrift {
            self.forget(key);
        } else if self.world.nodes.stops {
            let balancer = &mut self.balancers[b as usize];
            let (from, to) = (balancer.zone, self.nodes[node as usize].zone);
            if let Some(way) = self.ways.time(self.world, from, to, &mut balancer.stream) {
                self.queue.push(now + way, Ev::Closed(key));
            }
        }
        let balancer = &mut self.balancers[b as usize];
        let local = balancer.local(now);
        // What comes of this is done by the loop that asked for it.
        balancer.host.aborted(local, request, number, why, may_have_run);
    }

    /// An attempt is nowhere any more.
    fn forget(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        if let Some(call) = self.calls.get_mut(attempt.call) {
            call.alive -= 1;
            if call.out == Some(key) {
                call.out = None;
            }
        }
        self.free(attempt.call);
    }

    /// A node answers: the message goes back, if a connection is there for it.
    fn respond(&mut self, at: Micros, key: AttemptKey, outcome: Outcome) {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| !a.responded) else { return };
        attempt.responded = true;
        attempt.outcome = if attempt.breaks { Outcome::Reset } else { outcome };
        let (b, node, closed) = (attempt.balancer as usize, attempt.node as usize, attempt.closed);
        let balancer = &mut self.balancers[b];
        if closed || !balancer.up || balancer.life != attempt.lives.0 {
            return self.forget(key);
        }
        let (from, to) = (self.nodes[node].zone, balancer.zone);
        match self.ways.time(self.world, from, to, &mut balancer.stream) {
            Some(way) => self.queue.push(at + way, Ev::Back(key)),
            None => attempt.adrift = true,
        }
    }

    pub(crate) fn at_node(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let node = attempt.node as usize;
        let n = &mut self.nodes[node];
        if !n.up || n.life != attempt.lives.1 {
            // The process has gone: its kernel resets what was open, and refuses what is new.
            let outcome = if attempt.reused { Outcome::Reset } else { Outcome::ConnectFailed };
            return self.respond(now, key, outcome);
        }
        n.taken += 1;
        let closed = attempt.closed && self.world.nodes.stops;
        match n.mood {
            Mood::Paused => n.stuck.push(key),
            _ if closed => self.forget(key),
            Mood::Failing(part)
                if self.balancers[attempt.balancer as usize].stream.random::<f64>() < part =>
            {
                // Whether it ran cannot be known: it counts as if it had.
                self.takes_effect(now, key);
                self.respond(now + AT_ONCE, key, Outcome::Error);
            }
            Mood::Hanging => {
                n.stuck.push(key);
                self.takes_effect(now, key);
            }
            Mood::Empty => {
                attempt.empty = true;
                n.served += 1;
                self.respond(now + AT_ONCE, key, Outcome::Ok);
            }
            _ if n.busy < self.world.nodes.cores => self.start(now, key),
            _ if (n.queue.len() as u32) < self.world.nodes.queue => {
                n.queue.push_back(key);
                self.see(now, node as u32);
            }
            _ => self.respond(now + AT_ONCE, key, Outcome::Full),
        }
    }

    /// A core begins to work on an attempt.
    fn start(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        attempt.serving = true;
        let (node, call) = (attempt.node, attempt.call);
        self.nodes[node as usize].busy += 1;
        let part = self.takes_effect(now, key);
        let work = self.calls.get(call).map_or(1.0, |c| c.work) * part;
        let pace = self.nodes[node as usize].pace(now, &self.world.nodes).max(1e-6);
        let time = (work / pace).min(1e12) as Micros;
        self.queue.push(now + time.max(1), Ev::Done(key));
        self.see(now, node);
    }

    /// A request runs; tells which part of its work that takes. A repeat in its group and window has no second effect.
    fn takes_effect(&mut self, now: Micros, key: AttemptKey) -> f64 {
        let Some(attempt) = self.attempts.get(key) else { return 1.0 };
        let node = attempt.node;
        let step = Step { at: now, what: "ran", call: u64::MAX, balancer: attempt.balancer, node };
        let class_of = |call: &Call| &self.world.classes[call.class as usize];
        let Some(call) = self.calls.get_mut(attempt.call) else { return 1.0 };
        let step = Step { call: call.number, ..step };
        let class = class_of(call);
        let effect = class.effect;
        let group = |node: u32| {
            let n = &self.nodes[node as usize];
            match class.group {
                Group::All => 0,
                Group::Zone => n.zone,
                Group::Cell => n.cell,
            }
        };
        let (first, since) = call.first_effect;
        let dropped = call.effects > 0
            && effect == Effect::Keyed
            && group(first) == group(node)
            && now <= since + class.window.0;
        let again = call.effects > 0 && !dropped;
        if call.effects == 0 {
            call.first_effect = (node, now);
        }
        call.effects += u32::from(!dropped);
        let refused = call.refused();
        self.checker.step(step);
        if again && effect != Effect::Safe {
            self.checker.breach(Rule::Twice, step, || "it takes effect a second time".to_owned());
        } else if refused && effect == Effect::Unsafe {
            self.checker.breach(Rule::Twice, step, || "it takes effect after it was refused".to_owned());
        }
        if dropped { DROPPED } else { 1.0 }
    }

    /// A core has done its work.
    pub(crate) fn done(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.serving) else { return };
        let node = attempt.node as usize;
        let n = &mut self.nodes[node];
        if n.mood == Mood::Paused {
            return n.stuck.push(key);
        }
        attempt.serving = false;
        n.busy -= 1;
        n.served += 1;
        self.respond(now, key, Outcome::Ok);
        self.next_in_queue(now, node as u32);
    }

    /// A core that is free takes the next; what nobody waits for any more is passed over where that is seen.
    fn next_in_queue(&mut self, now: Micros, node: u32) {
        while let Some(next) = self.nodes[node as usize].queue.pop_front() {
            let closed = self.attempts.get(next).is_none_or(|a| a.closed);
            if closed && self.world.nodes.stops {
                self.forget(next);
                continue;
            }
            self.start(now, next);
            return;
        }
        self.see(now, node);
    }

    /// A node sees that a connection is closed: where that stops work, its core is free.
    pub(crate) fn closed(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key).filter(|a| a.serving) else { return };
        let (node, life) = (attempt.node, attempt.lives.1);
        let n = &mut self.nodes[node as usize];
        if n.life != life || n.mood == Mood::Paused {
            return;
        }
        n.busy -= 1;
        self.forget(key);
        self.next_in_queue(now, node);
    }

    /// What became of an attempt reaches its balancer.
    pub(crate) fn back(&mut self, now: Micros, key: AttemptKey) {
        let Some(attempt) = self.attempts.get(key) else { return };
        let (b, request, number, node) = (attempt.balancer, attempt.request, attempt.number, attempt.node);
        let (outcome, call, empty) = (attempt.outcome, attempt.call, attempt.empty);
        let balancer = &mut self.balancers[b as usize];
        let here = balancer.up && balancer.life == attempt.lives.0 && !attempt.closed;
        let kept = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        let same = self.nodes[node as usize].life == attempt.lives.1;
        if here && kept && same {
            let idle = balancer.idle.entry(node).or_default();
            let count = if idle.life == attempt.lives.1 { idle.count + 1 } else { 1 };
            *idle = Idle { count, used: now, life: attempt.lives.1 };
        } else if here && same && outcome != Outcome::ConnectFailed {
            let n = &mut self.nodes[node as usize];
            n.connections = n.connections.saturating_sub(1);
        }
        if here && let Some(call) = self.calls.get_mut(call) {
            call.empty = empty && outcome == Outcome::Ok;
            call.out = None;
        }
        self.forget(key);
        if here {
            self.tell(now, b, request, number, outcome);
        }
    }

    /// What a node works on when it dies is lost with it.
    pub(crate) fn work_is_lost(&mut self, now: Micros, node: u32) {
        let at_work = self.attempts.iter_mut().filter(|(_, a)| a.node == node && a.serving);
        let lost: Vec<AttemptKey> = at_work
            .map(|(key, attempt)| {
                attempt.serving = false;
                key
            })
            .collect();
        self.stuck_go_on(now, lost, true);
    }

    /// What a node held when it died, or stood still until now.
    pub(crate) fn stuck_go_on(&mut self, now: Micros, keys: Vec<AttemptKey>, dead: bool) {
        for key in keys {
            match self.attempts.get(key) {
                None => {}
                Some(_) if dead => self.respond(now, key, Outcome::Reset),
                Some(attempt) if attempt.serving => self.done(now, key),
                Some(_) => self.at_node(now, key),
            }
        }
    }
}
