//! Which job goes next. No I/O, time as an argument.
//!
//! A *job* is one piece of work that may take several *turns*; whoever runs it says after each what it used and whether more
//! is to do. The order is:
//!
//! 1. jobs that guard a rule, those due first; budgets do not hold them, but are charged;
//! 2. of the others, [`Priority::Normal`] has [`SOON`] turns for each of [`Priority::Background`], while both have some;
//! 3. within a priority flows (pools, tenants) share by deficit round robin (Shreedhar and Varghese, 1996): each by its
//!    weight in what its jobs use, whatever their number;
//! 4. within a flow the earliest deadline, then the order of filing.
//!
//! **The bound on starvation.** A job of `Later` at the head of its flow, whose budget is open, begins after at most
//! (`SOON` + 1) turns for each turn of its own priority before it, and of these each other flow has at most one quantum and
//! one turn beyond it in a round.
//!
//! A job that another one waits for has the higher priority of the two, so no rule waits behind what can wait.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use finchshift::Micros;

use crate::budget::Budget;
use crate::pressure::Pressure;

/// Turns of `Soon` for each of `Later`.
pub const SOON: u32 = 4;
/// Part of the places that only jobs that guard a rule may take.
const KEPT: usize = 8;
/// Jobs that are looked at in one step as their time comes. Guards the loop against thousands that are due at one instant.
const WOKEN: usize = 256;
/// How fast the use of a kind is learned, a turn.
const LEARNED: f64 = 0.1;
/// Longest pause between two tries, in pauses of the first.
const MOST_PAUSE: u64 = 64;

/// A job's number.
pub type JobId = u64;
/// A flow's number: a pool, a tenant, or the instance itself.
pub type FlowId = u32;

/// What goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// When nothing else is to do.
    Background,
    /// Before long.
    Normal,
    /// A rule would be broken without it.
    Critical,
}

/// What becomes of runs of a periodic job whose time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// They are left out: the next one is at the next time.
    Skip,
    /// One is made up for.
    Once,
    /// So many are made up for at the most.
    CatchUp(u32),
}

/// A job that comes again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Period {
    /// From one to the next.
    pub every: Micros,
    /// Each is this part of the period earlier or later at the most, so that many do not stay together.
    pub jitter: f64,
    /// What of those that were missed.
    pub late: Late,
}

/// Tries after a failure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Retries {
    /// So many after the first.
    pub most: u32,
    /// The first pause; each is up to twice the one before, drawn at random.
    pub pause: Micros,
}

/// A job as it is filed.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// What kind of work, for what is learned and told of it.
    pub kind: &'static str,
    /// Another one under the same kind and key, while this one waits, is this one. None is like no other.
    pub key: Option<u64>,
    /// Whose it is.
    pub flow: FlowId,
    /// What goes first.
    pub priority: Priority,
    /// Not before.
    pub earliest: Micros,
    /// By then; later it is late, and told.
    pub deadline: Option<Micros>,
    /// The budget that it draws on, by number.
    pub budget: usize,
    /// It comes again.
    pub period: Option<Period>,
    /// What after a failure.
    pub retries: Option<Retries>,
    /// It begins when these have ended, whichever way.
    pub after: Vec<JobId>,
}

impl Job {
    /// One that may begin now, draws on the first budget and waits for nobody.
    pub fn new(kind: &'static str, flow: FlowId, priority: Priority) -> Job {
        Job {
            kind,
            key: None,
            flow,
            priority,
            earliest: 0,
            deadline: None,
            budget: 0,
            period: None,
            retries: None,
            after: Vec::new(),
        }
    }
}

/// Why a job was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// All places are taken.
    Full {
        /// How many there are.
        most: usize,
    },
    /// No such budget.
    Budget,
}

/// How a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// All is done.
    Done,
    /// More is to do, in another turn.
    More,
    /// It failed, or panicked.
    Failed,
}

/// A turn that begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// The job.
    pub job: JobId,
    /// Its kind.
    pub kind: &'static str,
    /// How far behind its deadline it begins; 0 for in time.
    pub late: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Until its time, or until those that it waits for have ended.
    Waits,
    Ready,
    Runs,
}

#[derive(Debug)]
struct Held {
    job: Job,
    state: State,
    /// Not lower than that of those that wait for it.
    priority: Priority,
    /// How many it still waits for.
    before: usize,
    /// Those that wait for it.
    dependents: Vec<JobId>,
    /// Not before.
    due: Micros,
    /// The time of its present run by its period, without jitter.
    slot: Micros,
    /// From a run's time to its deadline.
    allowance: Option<Micros>,
    failures: u32,
    cancelled: bool,
    /// Filed again while it ran.
    again: bool,
}

/// A flow's jobs on one budget: one that is used up holds none of the flow's others.
type Queue = (FlowId, usize);

/// Flows of one priority in turn.
#[derive(Debug, Default)]
struct Ring {
    ready: HashMap<Queue, BTreeSet<(Micros, JobId)>>,
    /// Those with something ready, each once.
    round: VecDeque<Queue>,
    /// What each may still use in this round; debts outlive the jobs that made them.
    deficits: HashMap<Queue, f64>,
    /// How many are ready on each budget.
    on: Vec<usize>,
}

/// Of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindStats {
    /// What a turn uses, learned.
    pub cost: f64,
    /// Turns.
    pub turns: u64,
    /// Jobs that ended.
    pub done: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Turns that began after their deadline.
    pub late: u64,
    /// Periodic runs that were left out.
    pub skipped: u64,
    /// Filed while one like it waited.
    pub coalesced: u64,
    /// Not taken for want of a place.
    pub refused: u64,
}

/// All jobs.
pub struct Schedule {
    most: usize,
    jobs: HashMap<JobId, Held>,
    keys: HashMap<(&'static str, u64), JobId>,
    next: JobId,
    /// Of jobs that wait; those that guard a rule have their own, so that thousands of others that are due at one instant
    /// do not stand before them.
    timers: [BinaryHeap<Reverse<(Micros, JobId)>>; 2],
    guards: BTreeSet<(Micros, JobId)>,
    rings: [Ring; 2],
    /// Turns of `Soon` since the last of `Later`.
    soon: u32,
    weights: HashMap<FlowId, f64>,
    budgets: Vec<Budget>,
    kinds: BTreeMap<&'static str, KindStats>,
    /// How work gives way to requests.
    pub pressure: Pressure,
    now: Micros,
    rng: fastrand::Rng,
}

impl Schedule {
    /// With so many places and these budgets; jobs name them by their numbers. The first is processor time, in
    /// microseconds, and the only one that gives way to requests.
    pub fn new(most: usize, budgets: Vec<Budget>, seed: u64) -> Schedule {
        Schedule {
            most,
            jobs: HashMap::new(),
            keys: HashMap::new(),
            next: 0,
            timers: Default::default(),
            guards: BTreeSet::new(),
            rings: [0, 1].map(|_| Ring { on: vec![0; budgets.len()], ..Ring::default() }),
            soon: 0,
            weights: HashMap::new(),
            budgets,
            kinds: BTreeMap::new(),
            pressure: Pressure::default(),
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// A flow's weight beside others, 1 where none is set.
    pub fn weigh(&mut self, flow: FlowId, weight: f64) {
        if weight > 0.0 && weight != 1.0 {
            self.weights.insert(flow, weight);
        } else {
            self.weights.remove(&flow);
        }
    }

    /// Another rate for a budget.
    pub fn set_budget(&mut self, budget: usize, rate: f64, most: f64) {
        if let Some(budget) = self.budgets.get_mut(budget) {
            budget.set(rate, most);
        }
    }

    /// The budgets.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// What is known of each kind.
    pub fn kinds(&self) -> &BTreeMap<&'static str, KindStats> {
        &self.kinds
    }

    /// Jobs that wait, are ready, or run.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// There are none.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// How long the job that has been ready longest has waited, and its kind.
    pub fn oldest_ready(&self) -> Option<(Micros, &'static str)> {
        let ready = self.jobs.values().filter(|held| held.state == State::Ready);
        ready.map(|held| (self.now.saturating_sub(held.due), held.job.kind)).max()
    }

    /// Time never goes back here, whatever the clock does.
    fn pass(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now);
        let part = self.pressure.budget_share();
        for (at, budget) in self.budgets.iter_mut().enumerate() {
            budget.pass(self.now, if at == 0 { part } else { 1.0 });
        }
        self.now
    }

    /// Takes a job; its number, or that of the one that it is. A job that runs is run once more.
    pub fn file(&mut self, now: Micros, job: Job) -> Result<JobId, Refused> {
        let now = self.pass(now);
        if job.budget >= self.budgets.len() {
            return Err(Refused::Budget);
        }
        let kind = self.kinds.entry(job.kind).or_default();
        let known = job.key.and_then(|key| self.keys.get(&(job.kind, key))).copied();
        if let Some(id) = known {
            kind.coalesced += 1;
            self.sooner(id, &job);
            return Ok(id);
        }
        let places =
            if job.priority == Priority::Critical { self.most } else { self.most - self.most / KEPT };
        if self.jobs.len() >= places {
            kind.refused += 1;
            return Err(Refused::Full { most: places });
        }
        let id = self.next;
        self.next += 1;
        if let Some(key) = job.key {
            self.keys.insert((job.kind, key), id);
        }
        let before: Vec<JobId> = job.after.iter().copied().filter(|id| self.jobs.contains_key(id)).collect();
        for other in &before {
            if let Some(held) = self.jobs.get_mut(other) {
                held.dependents.push(id);
            }
        }
        let (priority, due) = (job.priority, job.earliest.max(now));
        let held = Held {
            priority,
            state: State::Waits,
            before: before.len(),
            dependents: Vec::new(),
            due,
            slot: due,
            allowance: job.deadline.map(|deadline| deadline.saturating_sub(due)),
            failures: 0,
            cancelled: false,
            again: false,
            job,
        };
        self.jobs.insert(id, held);
        before.into_iter().for_each(|other| self.raise(other, priority));
        self.wait(id, due);
        Ok(id)
    }

    /// What is filed again is due as the sooner of both says, and as important as the more important.
    fn sooner(&mut self, id: JobId, job: &Job) {
        self.raise(id, job.priority);
        let Some(held) = self.jobs.get_mut(&id) else { return };
        match held.state {
            State::Runs => held.again = true,
            State::Waits if job.earliest.max(self.now) < held.due => {
                held.due = job.earliest.max(self.now);
                let due = held.due;
                self.wait(id, due);
            }
            _ => {}
        }
        let deadline = match (self.jobs.get(&id).and_then(|h| h.job.deadline), job.deadline) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self.reorder(id, |held| held.job.deadline = deadline);
    }

    /// Gives a job, and all that it waits for, at least this priority.
    fn raise(&mut self, id: JobId, priority: Priority) {
        let mut pending = vec![id];
        while let Some(id) = pending.pop() {
            let Some(held) = self.jobs.get(&id).filter(|held| held.priority < priority) else { continue };
            pending.extend(held.job.after.iter().copied());
            self.reorder(id, |held| held.priority = priority);
            if let Some(held) = self.jobs.get(&id).filter(|held| held.state == State::Waits) {
                let due = held.due;
                self.wait(id, due);
            }
        }
    }

    /// Changes what a job is ordered by.
    fn reorder(&mut self, id: JobId, change: impl FnOnce(&mut Held)) {
        let ready = self.jobs.get(&id).is_some_and(|held| held.state == State::Ready);
        if ready {
            self.unready(id);
        }
        if let Some(held) = self.jobs.get_mut(&id) {
            change(held);
        }
        if ready {
            self.ready(id);
        }
    }

    fn wait(&mut self, id: JobId, due: Micros) {
        let Some(held) = self.jobs.get(&id) else { return };
        if held.before == 0 && due <= self.now {
            self.ready(id);
        } else {
            self.timers[usize::from(held.priority == Priority::Critical)].push(Reverse((due, id)));
        }
    }

    fn ready(&mut self, id: JobId) {
        let Some(held) = self.jobs.get_mut(&id) else { return };
        held.state = State::Ready;
        let place = (held.job.deadline.unwrap_or(Micros::MAX), id);
        let queue = (held.job.flow, held.job.budget);
        match held.priority {
            Priority::Critical => _ = self.guards.insert(place),
            other => self.rings[usize::from(other == Priority::Normal)].put(queue, place),
        }
    }

    fn unready(&mut self, id: JobId) {
        let Some(held) = self.jobs.get(&id) else { return };
        let place = (held.job.deadline.unwrap_or(Micros::MAX), id);
        let queue = (held.job.flow, held.job.budget);
        match held.priority {
            Priority::Critical => _ = self.guards.remove(&place),
            other => self.rings[usize::from(other == Priority::Normal)].remove(queue, place),
        }
    }

    /// Jobs whose time has come: all that guard a rule, and [`WOKEN`] others.
    fn wake(&mut self) {
        let mut left = WOKEN;
        for guard in [true, false] {
            while (guard || left > 0)
                && let Some(Reverse((at, id))) = self.timers[usize::from(guard)].peek().copied()
                && at <= self.now
            {
                self.timers[usize::from(guard)].pop();
                left -= usize::from(!guard);
                self.woken(id);
            }
        }
    }

    fn woken(&mut self, id: JobId) {
        // One that was filed again sooner has two timers, and the later one finds it gone on.
        let due = |held: &&Held| held.state == State::Waits && held.before == 0 && held.due <= self.now;
        let Some(held) = self.jobs.get(&id).filter(due) else { return };
        // Woken long after its time, as when the clock jumps.
        if let Some(period) = held.job.period.filter(|p| held.slot + p.every.max(1) <= self.now) {
            self.align(id, self.now, period);
        }
        let due = self.jobs.get(&id).map_or(0, |held| held.due);
        self.wait(id, due);
    }

    /// The next turn, if one may begin now. None while [`due`](Schedule::due) is now: some were looked at, and more are to
    /// be, in another step.
    pub fn next(&mut self, now: Micros) -> Option<Turn> {
        let now = self.pass(now);
        self.wake();
        let id = match self.guards.pop_first() {
            Some((_, id)) => id,
            None => self.other()?,
        };
        let held = self.jobs.get_mut(&id)?;
        held.state = State::Runs;
        let late = held.job.deadline.map_or(0, |deadline| now.saturating_sub(deadline));
        let kind = self.kinds.entry(held.job.kind).or_default();
        kind.turns += 1;
        kind.late += u64::from(late > 0);
        Some(Turn { job: id, kind: held.job.kind, late })
    }

    /// The next of those that guard no rule.
    fn other(&mut self) -> Option<JobId> {
        // `Later` has its turn, or `Soon` has none.
        let first = usize::from(self.soon < SOON);
        let open: Vec<bool> = self.budgets.iter().map(Budget::open).collect();
        // Each round lets each flow begin a turn of any kind.
        let quantum = self.kinds.values().map(|kind| kind.cost).fold(1.0, f64::max);
        for at in [first, 1 - first] {
            if let Some(id) = self.rings[at].next(&open, quantum, &self.weights) {
                self.soon = if at == 1 { self.soon + 1 } else { 0 };
                return Some(id);
            }
        }
        None
    }

    /// A turn has ended, and has used so much of its budget.
    pub fn ended(&mut self, now: Micros, id: JobId, ended: Ended, used: f64) {
        let now = self.pass(now);
        let Some(held) = self.jobs.get_mut(&id).filter(|held| held.state == State::Runs) else { return };
        self.budgets[held.job.budget].take(used);
        let kind = self.kinds.entry(held.job.kind).or_default();
        kind.cost = if kind.turns <= 1 { used } else { kind.cost + LEARNED * (used - kind.cost) };
        if held.priority != Priority::Critical {
            // The flow pays for what was used, not for what was expected.
            self.rings[usize::from(held.priority == Priority::Normal)]
                .charge((held.job.flow, held.job.budget), used);
        }
        held.state = State::Waits;
        if held.cancelled {
            return self.forget(id);
        }
        match (ended, held.job.retries) {
            (Ended::More, _) => {
                held.due = now;
                self.ready(id);
            }
            (Ended::Failed, Some(retries)) if held.failures < retries.most => {
                kind.failed += 1;
                let longest = retries.pause.saturating_mul((1_u64 << held.failures.min(32)).min(MOST_PAUSE));
                held.failures += 1;
                held.due = now + longest / 2 + self.rng.u64(..=longest / 2);
                let due = held.due;
                self.wait(id, due);
            }
            (ended, _) => {
                kind.failed += u64::from(ended == Ended::Failed);
                kind.done += 1;
                held.failures = 0;
                match held.job.period {
                    Some(period) => self.again(id, now, period),
                    // Filed again meanwhile: behind all that its flow has ready.
                    None if std::mem::take(&mut held.again) => {
                        held.due = now;
                        self.release(id);
                        self.ready(id);
                    }
                    None => self.forget(id),
                }
            }
        }
    }

    /// When a periodic job is due next.
    fn again(&mut self, id: JobId, now: Micros, period: Period) {
        self.release(id);
        let Some(held) = self.jobs.get_mut(&id) else { return };
        held.slot += period.every.max(1);
        held.again = false;
        self.align(id, now, period);
        if let Some(due) = self.jobs.get(&id).map(|held| held.due) {
            self.wait(id, due);
        }
    }

    /// Puts a periodic job at the first of its times that is to be run: those that have passed are left out or made up for.
    fn align(&mut self, id: JobId, now: Micros, period: Period) {
        let Some(held) = self.jobs.get_mut(&id) else { return };
        let every = period.every.max(1);
        let passed = if held.slot > now { 0 } else { (now - held.slot) / every + 1 };
        let made_up = match period.late {
            // Less than a period late is not left out.
            Late::Skip => u64::from(passed == 1),
            Late::Once => passed.min(1),
            Late::CatchUp(most) => passed.min(u64::from(most)),
        };
        self.kinds.entry(held.job.kind).or_default().skipped += passed - made_up;
        held.slot += (passed - made_up) * every;
        held.due = if held.slot <= now {
            now
        } else {
            let spread = (every as f64 * period.jitter.clamp(0.0, 1.0)) as Micros;
            (held.slot - spread / 2 + self.rng.u64(..=spread)).max(now)
        };
        held.job.deadline = held.allowance.map(|allowance| held.slot + allowance);
    }

    /// Those that waited for a job wait no longer.
    fn release(&mut self, id: JobId) {
        let dependents = self.jobs.get_mut(&id).map(|held| std::mem::take(&mut held.dependents));
        for other in dependents.unwrap_or_default() {
            let Some(held) = self.jobs.get_mut(&other) else { continue };
            held.before = held.before.saturating_sub(1);
            let (due, free) = (held.due, held.before == 0 && held.state == State::Waits);
            if free {
                self.wait(other, due);
            }
        }
    }

    fn forget(&mut self, id: JobId) {
        self.release(id);
        if let Some(held) = self.jobs.remove(&id)
            && let Some(key) = held.job.key
        {
            self.keys.remove(&(held.job.kind, key));
        }
    }

    /// Takes a job back. One that runs ends with its turn; false if there is no such job.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(held) = self.jobs.get_mut(&id) else { return false };
        match held.state {
            State::Runs => held.cancelled = true,
            State::Ready => {
                self.unready(id);
                self.forget(id);
            }
            State::Waits => self.forget(id),
        }
        true
    }

    /// Whether a job that runs was taken back.
    pub fn cancelled(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_none_or(|held| held.cancelled)
    }

    /// When [`next`](Schedule::next) may have a turn; now, if one may begin.
    pub fn due(&self) -> Option<Micros> {
        if !self.guards.is_empty() {
            return Some(self.now);
        }
        let first =
            |t: &BinaryHeap<Reverse<(Micros, JobId)>>| t.peek().map(|Reverse((at, _))| (*at).max(self.now));
        let timer = self.timers.iter().filter_map(first).min();
        let part = self.pressure.budget_share();
        let wanted = (0..self.budgets.len()).filter(|b| self.rings.iter().any(|ring| ring.on[*b] > 0));
        let opens = wanted.filter_map(|b| self.budgets[b].opens(if b == 0 { part } else { 1.0 }));
        opens.chain(timer).min()
    }
}

/// Deepest debt of a flow, in quanta: guards against rounds without end.
const MOST_DEBT: f64 = 62.0;

impl Ring {
    fn put(&mut self, queue: Queue, place: (Micros, JobId)) {
        let jobs = self.ready.entry(queue).or_default();
        if jobs.is_empty() {
            self.round.push_back(queue);
        }
        self.on[queue.1] += usize::from(jobs.insert(place));
    }

    fn remove(&mut self, queue: Queue, place: (Micros, JobId)) {
        let Some(jobs) = self.ready.get_mut(&queue) else { return };
        self.on[queue.1] -= usize::from(jobs.remove(&place));
        if jobs.is_empty() {
            self.ready.remove(&queue);
            if self.round.front() == Some(&queue) {
                self.round.pop_front();
            } else {
                self.round.retain(|q| *q != queue);
            }
            // It gathers nothing while it has no jobs. What it owes stays until it has paid.
            if self.deficits.get(&queue).is_some_and(|left| *left >= 0.0) {
                self.deficits.remove(&queue);
            }
        }
    }

    fn charge(&mut self, queue: Queue, used: f64) {
        *self.deficits.entry(queue).or_default() -= used;
    }

    /// The next job of the flow whose turn it is, among those whose budget is open.
    fn next(&mut self, open: &[bool], quantum: f64, weights: &HashMap<FlowId, f64>) -> Option<JobId> {
        if self.on.iter().zip(open).all(|(ready, open)| *ready == 0 || !open) {
            return None;
        }
        // Whoever owes nothing has something left after a round, whoever owes most after all of them.
        let least = weights.values().copied().fold(1.0, f64::min);
        let rounds = ((MOST_DEBT + 2.0) / least).min(1e6) as usize;
        for _ in 0..rounds * self.round.len() {
            let queue = *self.round.front()?;
            if open[queue.1] {
                let left = self.deficits.entry(queue).or_default();
                *left = left.max(-quantum * MOST_DEBT);
                if *left > 0.0 {
                    let first = self.ready.get(&queue).and_then(|jobs| jobs.first().copied())?;
                    self.remove(queue, first);
                    return Some(first.1);
                }
                *left += quantum * weights.get(&queue.0).copied().unwrap_or(1.0);
            }
            // Its turn is over until the next round.
            self.round.rotate_left(1);
        }
        None
    }
}
