//! A balancer that sends at once: open requests, deadlines and repeats around a [`Pick`].

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use finchshift as fs;
use finchshift::{Effect, ListKind, Micros, Outcome, RequestId, ServerState};
use rand::{RngExt, SeedableRng};
use sloeline_emulator::host::{Deed, Host, News, Verdict};
use sloeline_engine::core::Arrival;

use crate::guard::{Budget, Ejection};
use crate::pick::{Known, Pick, Rng, Wanted};

/// A caller has its answer this long before its time.
const MARGIN: Micros = 10_000;
/// Wait before a repeat, doubled each time.
const PAUSE: Micros = 10_000;

/// A defect that is planted on purpose, to show that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Goes on sending to nodes that drain.
    Drain,
    /// Repeats unsafe requests that may have run.
    Unsafe,
    /// Loses one final answer in a thousand.
    Lost,
    /// Prefers nodes that have just started.
    Cold,
}

impl Defect {
    /// By its name.
    pub fn parse(name: &str) -> Result<Defect, String> {
        let known = [
            ("drain", Defect::Drain),
            ("unsafe", Defect::Unsafe),
            ("lost", Defect::Lost),
            ("cold", Defect::Cold),
        ];
        let found = known.iter().find(|(n, _)| *n == name).map(|(_, defect)| *defect);
        found.ok_or_else(|| format!("defect: found {name:?}, expected drain, unsafe, lost or cold"))
    }
}

struct Open {
    class: usize,
    key: u64,
    deadline: Micros,
    sent: u32,
    /// The attempt that is out: its place among the nodes by number, and when it went.
    out: Option<(u32, Micros)>,
    /// The first attempt that may have run: when, zone and cell.
    ran: Option<(Micros, u32, u32)>,
    waits: bool,
    last: Option<u32>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Deadline,
    Again,
}

/// A balancer with a policy.
pub struct Plain {
    settings: fs::Settings,
    pick: Box<dyn Pick>,
    budget: Option<Budget>,
    ejection: Option<Ejection>,
    defect: Option<Defect>,
    rng: Rng,
    nodes: Vec<Known>,
    places: BTreeMap<u32, usize>,
    starts: BTreeMap<u32, Micros>,
    open: BTreeMap<RequestId, Open>,
    next: RequestId,
    timers: BinaryHeap<Reverse<(Micros, RequestId, Due)>>,
    deeds: VecDeque<Deed>,
}

impl Plain {
    /// One that knows no nodes.
    pub fn new(
        settings: fs::Settings,
        seed: u64,
        pick: Box<dyn Pick>,
        budget: Option<Budget>,
        ejection: Option<Ejection>,
        defect: Option<Defect>,
    ) -> Plain {
        Plain {
            settings,
            pick,
            budget,
            ejection,
            defect,
            rng: Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            places: BTreeMap::new(),
            starts: BTreeMap::new(),
            open: BTreeMap::new(),
            next: 0,
            timers: BinaryHeap::new(),
            deeds: VecDeque::new(),
        }
    }

    /// Sends a request, or answers that it cannot be.
    fn send(&mut self, now: Micros, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|o| o.waits && o.out.is_none()) else { return };
        let effect = self.settings.classes[open.class].effect;
        let left = open.deadline.saturating_sub(now);
        let wanted = Wanted { key: open.key, left };
        let (ran, last) = (open.ran, open.last);
        let group = |k: &Known| match (effect, ran) {
            (Effect::Keyed { group: fs::DedupGroup::Zone, .. }, Some((_, zone, _))) => k.zone == zone,
            (Effect::Keyed { group: fs::DedupGroup::Cell, .. }, Some((_, _, cell))) => k.cell == cell,
            _ => true,
        };
        let fits = |k: &Known| k.ready && now >= k.ejected && group(k);
        // Another one than last time, where there is one; and ejected ones rather than none.
        let other = |k: &Known| fits(k) && Some(k.node) != last;
        let unejected = |k: &Known| k.ready && group(k);
        let mut found = None;
        if self.defect == Some(Defect::Cold) {
            let young = |k: &Known| {
                self.starts.get(&k.node).is_some_and(|s| now < s + self.settings.rules.warm_up_time)
            };
            found = (0..self.nodes.len()).find(|at| fits(&self.nodes[*at]) && young(&self.nodes[*at]));
        }
        let choices: [&dyn Fn(&Known) -> bool; 3] = [&other, &fits, &unejected];
        for fits in choices {
            found = found.or_else(|| self.pick.pick(now, wanted, &self.nodes, fits, &mut self.rng));
        }
        match found {
            Some(at) if left > 0 => {
                let known = &mut self.nodes[at];
                known.out += 1;
                let node = known.node;
                open.out = Some((node, now));
                open.last = Some(node);
                self.deeds.push_back(Deed::Send { request: id, attempt: open.sent, node });
                open.sent += 1;
            }
            _ => self.give_up(id),
        }
    }

    fn give_up(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = open.ran.is_none() || self.settings.classes[open.class].effect == Effect::Safe;
        self.answer(id, if harmless { Verdict::Refused(0) } else { Verdict::Failed });
    }

    fn answer(&mut self, id: RequestId, verdict: Verdict) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if std::mem::replace(&mut open.waits, false) {
            let lost = self.defect == Some(Defect::Lost) && self.rng.random_range(0..1000) == 0;
            if !lost {
                self.deeds.push_back(Deed::Answer { request: id, verdict });
            }
        }
        self.settle(id);
    }

    fn settle(&mut self, id: RequestId) {
        if self.open.get(&id).is_some_and(|o| !o.waits && o.out.is_none()) {
            self.open.remove(&id);
            self.deeds.push_back(Deed::Settled { request: id });
        }
    }

    /// After an attempt: served, again, or given up.
    fn after(&mut self, now: Micros, id: RequestId, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some((node, at)) = open.out.take() else { return };
        let latency = now.saturating_sub(at);
        self.pick.ended(now, node, latency, outcome);
        let place = self.places.get(&node).copied();
        let (zone, cell) = place.map_or((0, 0), |p| (self.nodes[p].zone, self.nodes[p].cell));
        if let Some(place) = place {
            self.nodes[place].out = self.nodes[place].out.saturating_sub(1);
            if let Some(ejection) = &mut self.ejection {
                let ejected = self.nodes.iter().filter(|k| k.ejected > now).count();
                if let Some(until) = ejection.ended(now, node, outcome, ejected, self.nodes.len()) {
                    self.nodes[place].ejected = until;
                }
            }
        }
        if outcome == Outcome::Ok {
            return self.answer(id, Verdict::Served);
        }
        if !outcome.never_ran() {
            open.ran = open.ran.or(Some((at, zone, cell)));
        }
        let window = match (self.settings.classes[open.class].effect, open.ran) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Keyed { window, .. }, Some((since, ..))) => now + PAUSE < since + window,
            (Effect::Unsafe, Some(_)) => self.defect == Some(Defect::Unsafe),
        };
        let may =
            open.waits && window && open.sent < self.settings.limits.max_attempts && now < open.deadline;
        if may && self.budget.as_mut().is_none_or(Budget::take) {
            let pause = PAUSE << (open.sent - 1).min(6);
            let at = now + (pause as f64 * (0.5 + self.rng.random::<f64>())) as Micros;
            self.timers.push(Reverse((at, id, Due::Again)));
        } else {
            self.give_up(id);
        }
        self.settle(id);
    }
}

impl Host for Plain {
    fn ask(&mut self, now: Micros, arrival: Arrival, key: u64) -> RequestId {
        let id = self.next;
        self.next += 1;
        let deadline = now + arrival.time_left.saturating_sub(MARGIN);
        let open = Open {
            class: arrival.class,
            key,
            deadline,
            sent: 0,
            out: None,
            ran: None,
            waits: true,
            last: None,
        };
        self.open.insert(id, open);
        self.timers.push(Reverse((deadline, id, Due::Deadline)));
        if let Some(budget) = &mut self.budget {
            budget.pay_in();
        }
        self.send(now, id);
        id
    }

    fn gone(&mut self, _: Micros, request: RequestId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        open.waits = false;
        if open.out.is_some() {
            let attempt = open.sent - 1;
            self.deeds.push_back(Deed::Abort { request, attempt, why: Outcome::Cancelled });
        }
        self.settle(request);
    }

    fn ended(&mut self, now: Micros, request: RequestId, _: u32, outcome: Outcome) {
        self.after(now, request, outcome);
    }

    fn aborted(&mut self, now: Micros, request: RequestId, _: u32, why: Outcome, may_have_run: bool) {
        let outcome = if may_have_run { why } else { Outcome::ConnectFailed };
        self.after(now, request, outcome);
    }

    fn list(&mut self, _: Micros, kind: ListKind, news: &[News]) {
        if kind == ListKind::Complete {
            let listed: Vec<u32> = news.iter().map(|n| n.node).collect();
            self.nodes
                .iter_mut()
                .filter(|k| listed.binary_search(&k.node).is_err())
                .for_each(|k| k.ready = false);
        }
        for n in news {
            let ready = n.state == ServerState::Ready || self.defect == Some(Defect::Drain);
            if let Some(started) = n.started {
                self.starts.insert(n.node, started);
            }
            match self.places.get(&n.node) {
                Some(at) => self.nodes[*at].ready = ready,
                None => {
                    self.places.insert(n.node, self.nodes.len());
                    let known = Known { node: n.node, zone: n.zone, cell: n.cell, ready, ..Known::default() };
                    self.nodes.push(known);
                }
            }
        }
        self.pick.changed(&self.nodes);
    }

    fn due(&self) -> Option<Micros> {
        self.timers.peek().map(|Reverse((at, ..))| *at)
    }

    fn ring(&mut self, now: Micros) {
        while self.due().is_some_and(|at| at <= now) {
            let Some(Reverse((_, id, due))) = self.timers.pop() else { return };
            match due {
                Due::Again => self.send(now, id),
                Due::Deadline => {
                    let Some(open) = self.open.get_mut(&id).filter(|o| o.waits) else { continue };
                    match open.out {
                        Some(_) => {
                            let attempt = open.sent - 1;
                            open.deadline = now;
                            // Its caller hears at once; nothing may follow.
                            let harmless = self.settings.classes[open.class].effect == Effect::Safe;
                            self.answer(id, if harmless { Verdict::Refused(0) } else { Verdict::Failed });
                            self.deeds.push_back(Deed::Abort {
                                request: id,
                                attempt,
                                why: Outcome::TimedOut,
                            });
                        }
                        None => self.give_up(id),
                    }
                }
            }
        }
    }

    fn deed(&mut self) -> Option<Deed> {
        self.deeds.pop_front()
    }
}
