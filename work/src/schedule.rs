//! Decides which background job runs next. No I/O; the time is passed as an argument.
//!
//! A *job* is a piece of work that may take several *turns*. After each turn its runner reports how much of the budget the
//! turn used and whether the job is finished. Jobs run in this order:
//!
//! 1. [`Priority::Critical`] jobs, earliest deadline first; budgets do not delay them, but are charged;
//! 2. of the others, [`Priority::Normal`] gets [`NORMAL_TURNS_PER_BACKGROUND`] turns for each turn of
//!    [`Priority::Background`] while both have ready jobs;
//! 3. within a priority, flows (pools, tenants) share by deficit round robin (Shreedhar and Varghese, 1996): each gets a
//!    share of the budget in proportion to its weight, however many jobs it has;
//! 4. within a flow, the earliest deadline first, then the order of submission.
//!
//! **Starvation bound.** A `Background` job at the head of its flow whose budget is open starts after at most
//! (`NORMAL_TURNS_PER_BACKGROUND` + 1) turns for each turn of its own priority ahead of it. In each round, each other flow
//! gets at most one quantum and one turn beyond it.
//!
//! A job on which another job depends gets the higher of the two priorities, so that a critical job never waits behind less
//! important jobs (priority inheritance).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};

use finchshift::Micros;

use crate::budget::Budget;
use crate::pressure::Pressure;

/// Turns of [`Priority::Normal`] for each turn of [`Priority::Background`] while both have ready jobs.
pub const NORMAL_TURNS_PER_BACKGROUND: u32 = 4;
/// One in this many places is reserved for critical jobs.
const CRITICAL_RESERVE_DIVISOR: usize = 8;
/// Maximum number of non-critical jobs that one call of [`Schedule::next_turn`] makes ready, so that thousands of jobs due
/// at the same time do not block the event loop.
const MAX_WOKEN_PER_STEP: usize = 256;
/// Weight of the latest turn in the moving average of a kind's cost per turn.
const COST_EMA_WEIGHT: f64 = 0.1;
/// Maximum delay between two attempts, as a multiple of [`RetryPolicy::base_delay`].
const MAX_BACKOFF_FACTOR: u64 = 64;

/// Identifier of a job in a schedule.
pub type JobId = u64;
/// Identifier of a flow: the pool, tenant or instance on whose behalf a job runs.
pub type FlowId = u32;

/// Priority of a job, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Runs when no other work is ready, and for a small share of turns otherwise.
    Background,
    /// Runs soon, but may wait for its budget.
    Normal,
    /// Runs first and does not wait for its budget, because a delay would violate a guarantee.
    Critical,
}

/// What happens to runs of a periodic job whose scheduled time has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MissedRuns {
    /// Missed runs are skipped, except that a run less than one interval late still runs.
    Skip,
    /// One run makes up for all missed runs.
    RunOnce,
    /// At most this many missed runs are made up for, one after the other.
    CatchUp(u32),
}

/// Schedule of a periodic job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Period {
    /// Interval between the scheduled times of two runs.
    pub interval: Micros,
    /// Width, as a fraction of the interval, of the window around the scheduled time from which the actual time of a run is
    /// drawn, so that periodic jobs do not stay synchronized.
    pub jitter: f64,
    /// What happens to missed runs.
    pub missed_runs: MissedRuns,
}

/// How often and after which delays a failed job is retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryPolicy {
    /// Maximum number of retries after the first attempt.
    pub max_retries: u32,
    /// Upper bound of the delay before the first retry. The bound doubles with each retry, up to a limit; the delay is drawn at
    /// random between half the bound and the bound.
    pub base_delay: Micros,
}

/// A job as submitted to a schedule.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Kind of work, under which costs and counters are recorded.
    pub kind: &'static str,
    /// A job submitted with the same kind and key as an unfinished job is merged with that job. None: never merged.
    pub key: Option<u64>,
    /// Flow that the job belongs to.
    pub flow: FlowId,
    /// Priority of the job; jobs that depend on this one can raise its effective priority.
    pub priority: Priority,
    /// Earliest time at which the job may start.
    pub not_before: Micros,
    /// Time by which the job should start; later turns are counted as late.
    pub deadline: Option<Micros>,
    /// Index of the budget that the job uses.
    pub budget: usize,
    /// Schedule of a periodic job; none for a job that runs once.
    pub period: Option<Period>,
    /// How the job is retried after a failure; none for a job that is not retried.
    pub retry: Option<RetryPolicy>,
    /// Jobs that must end, in success or failure, before this job starts.
    pub dependencies: Vec<JobId>,
}

impl Job {
    /// Creates a job that may start now, uses the first budget and depends on no other job.
    pub fn new(kind: &'static str, flow: FlowId, priority: Priority) -> Job {
        Job {
            kind,
            key: None,
            flow,
            priority,
            not_before: 0,
            deadline: None,
            budget: 0,
            period: None,
            retry: None,
            dependencies: Vec::new(),
        }
    }
}

/// Why a job was not accepted. Variant and field names are stable, because error messages print them with `{:?}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// All places available to the job's priority are taken.
    Full {
        /// Number of places available to the job's priority.
        most: usize,
    },
    /// The job names a budget that does not exist.
    Budget,
}

/// How a turn of a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOutcome {
    /// The job is finished.
    Done,
    /// The job needs another turn.
    Unfinished,
    /// The job failed or panicked.
    Failed,
}

/// A turn that starts now, with the job to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Job that gets the turn.
    pub job: JobId,
    /// Kind of the job.
    pub kind: &'static str,
    /// Time from the job's deadline to the start of the turn; 0 if the turn starts in time.
    pub late_by: Micros,
}

/// Where a job stands between submission and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waits for its time or for the jobs that it depends on.
    Waiting,
    /// May start as soon as a turn and its budget allow.
    Ready,
    /// Has a turn now.
    Running,
}

/// A submitted job and its scheduling state.
#[derive(Debug)]
struct Entry {
    /// The job as submitted; merged submissions and periodic runs change its deadline.
    job: Job,
    /// Current state of the job.
    state: State,
    /// Effective priority: at least that of each job that depends on this one.
    priority: Priority,
    /// Number of unfinished jobs that this job depends on.
    pending_dependencies: usize,
    /// Jobs that depend on this one.
    dependents: Vec<JobId>,
    /// Time at which the job becomes ready, once its dependencies have ended.
    due: Micros,
    /// Scheduled time of the current run of a periodic job, without jitter.
    scheduled_at: Micros,
    /// Time from the scheduled time of a run to its deadline.
    deadline_offset: Option<Micros>,
    /// Consecutive failed attempts of the current run.
    failures: u32,
    /// Whether the job was cancelled during its turn; it ends with the turn.
    cancelled: bool,
    /// Whether the job was submitted again during its turn and must run once more.
    rerun: bool,
}

/// Identifies a flow's queue of jobs for one budget. Separate queues let a flow continue on its other budgets when one is
/// used up.
type QueueKey = (FlowId, usize);

/// Ready jobs of one priority, with the deficit round-robin state of their flows.
#[derive(Debug, Default)]
struct RoundRobin {
    /// Ready jobs of each queue, by deadline and identifier.
    ready: HashMap<QueueKey, BTreeSet<(Micros, JobId)>>,
    /// Queues with ready jobs, each once, in round-robin order.
    rotation: VecDeque<QueueKey>,
    /// Budget units that each queue may still use in this round. A negative deficit outlives the jobs that caused it.
    deficits: HashMap<QueueKey, f64>,
    /// Number of ready jobs for each budget.
    ready_per_budget: Vec<usize>,
}

/// Counters and average cost of one kind of job.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindStats {
    /// Moving average of the budget units that a turn uses.
    pub cost: f64,
    /// Turns started.
    pub turns: u64,
    /// Runs that ended, in success or failure.
    pub done: u64,
    /// Failed attempts, including those that were retried.
    pub failed: u64,
    /// Turns that started after the job's deadline.
    pub late: u64,
    /// Runs of periodic jobs that were skipped.
    pub skipped: u64,
    /// Submissions merged with an unfinished job of the same key.
    pub coalesced: u64,
    /// Submissions rejected because all places were taken.
    pub refused: u64,
}

/// Queues of background jobs, and the rules by which they get turns.
pub struct Schedule {
    /// Maximum number of unfinished jobs.
    capacity: usize,
    /// All unfinished jobs.
    jobs: HashMap<JobId, Entry>,
    /// Unfinished jobs that have a key, by kind and key.
    keys: HashMap<(&'static str, u64), JobId>,
    /// Identifier for the next submitted job.
    next_id: JobId,
    /// Wake-up times of waiting jobs: non-critical jobs, then critical jobs. Critical jobs have their own queue, so that
    /// thousands of others due at the same time do not delay them.
    timers: [BinaryHeap<Reverse<(Micros, JobId)>>; 2],
    /// Ready critical jobs, by deadline and identifier.
    critical: BTreeSet<(Micros, JobId)>,
    /// Ready jobs of the priorities `Background` and `Normal`, in this order.
    round_robins: [RoundRobin; 2],
    /// Turns of `Normal` since the last turn of `Background`.
    normal_streak: u32,
    /// Weights of flows whose weight is not 1.
    weights: HashMap<FlowId, f64>,
    /// Budgets, by the index that jobs name.
    budgets: Vec<Budget>,
    /// Counters and costs of each kind of job.
    kinds: BTreeMap<&'static str, KindStats>,
    /// Reduces the processor budget when requests need the processor.
    pub pressure: Pressure,
    /// Latest time that a caller has passed.
    now: Micros,
    /// Source of jitter and retry delays.
    rng: fastrand::Rng,
}

impl Schedule {
    /// Creates a schedule for at most `capacity` unfinished jobs. Jobs name the budgets by index. The first budget is processor
    /// time in microseconds, and the only one that is reduced when requests need the processor.
    pub fn new(capacity: usize, budgets: Vec<Budget>, seed: u64) -> Schedule {
        Schedule {
            capacity,
            jobs: HashMap::new(),
            keys: HashMap::new(),
            next_id: 0,
            timers: Default::default(),
            critical: BTreeSet::new(),
            round_robins: [0, 1]
                .map(|_| RoundRobin { ready_per_budget: vec![0; budgets.len()], ..RoundRobin::default() }),
            normal_streak: 0,
            weights: HashMap::new(),
            budgets,
            kinds: BTreeMap::new(),
            pressure: Pressure::default(),
            now: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Sets a flow's weight relative to other flows; the default is 1.
    pub fn set_weight(&mut self, flow: FlowId, weight: f64) {
        if weight > 0.0 && weight != 1.0 {
            self.weights.insert(flow, weight);
        } else {
            self.weights.remove(&flow);
        }
    }

    /// Changes the rate, in units per second, and the capacity of a budget.
    pub fn set_budget(&mut self, budget: usize, rate: f64, capacity: f64) {
        if let Some(budget) = self.budgets.get_mut(budget) {
            budget.set_rate(rate, capacity);
        }
    }

    /// The budgets, by the index that jobs name.
    pub fn budgets(&self) -> &[Budget] {
        &self.budgets
    }

    /// Counters and average cost of each kind of job.
    pub fn kinds(&self) -> &BTreeMap<&'static str, KindStats> {
        &self.kinds
    }

    /// Number of jobs that are waiting, ready or running.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is waiting, ready or running.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// How long the job that has been ready longest has waited, in microseconds, and its kind.
    pub fn oldest_ready(&self) -> Option<(Micros, &'static str)> {
        let ready = self.jobs.values().filter(|entry| entry.state == State::Ready);
        ready.map(|entry| (self.now.saturating_sub(entry.due), entry.job.kind)).max()
    }

    /// Advances the schedule's clock and refills the budgets. The clock never goes backwards, even if `now` does.
    fn advance(&mut self, now: Micros) -> Micros {
        self.now = self.now.max(now);
        let share = self.pressure.budget_share();
        for (at, budget) in self.budgets.iter_mut().enumerate() {
            budget.refill(self.now, if at == 0 { share } else { 1.0 });
        }
        self.now
    }

    /// Accepts a job and returns its identifier. A job with the kind and key of an unfinished job is merged with it and gets its
    /// identifier; if that job is running, it runs once more.
    pub fn submit(&mut self, now: Micros, job: Job) -> Result<JobId, Rejection> {
        let now = self.advance(now);
        if job.budget >= self.budgets.len() {
            return Err(Rejection::Budget);
        }
        let kind = self.kinds.entry(job.kind).or_default();
        let existing = job.key.and_then(|key| self.keys.get(&(job.kind, key))).copied();
        if let Some(id) = existing {
            kind.coalesced += 1;
            self.merge(id, &job);
            return Ok(id);
        }
        let places = if job.priority == Priority::Critical {
            self.capacity
        } else {
            self.capacity - self.capacity / CRITICAL_RESERVE_DIVISOR
        };
        if self.jobs.len() >= places {
            kind.refused += 1;
            return Err(Rejection::Full { most: places });
        }
        let id = self.next_id;
        self.next_id += 1;
        if let Some(key) = job.key {
            self.keys.insert((job.kind, key), id);
        }
        let dependencies: Vec<JobId> =
            job.dependencies.iter().copied().filter(|id| self.jobs.contains_key(id)).collect();
        for other in &dependencies {
            if let Some(entry) = self.jobs.get_mut(other) {
                entry.dependents.push(id);
            }
        }
        let (priority, due) = (job.priority, job.not_before.max(now));
        let entry = Entry {
            priority,
            state: State::Waiting,
            pending_dependencies: dependencies.len(),
            dependents: Vec::new(),
            due,
            scheduled_at: due,
            deadline_offset: job.deadline.map(|deadline| deadline.saturating_sub(due)),
            failures: 0,
            cancelled: false,
            rerun: false,
            job,
        };
        self.jobs.insert(id, entry);
        dependencies.into_iter().for_each(|other| self.raise_priority(other, priority));
        self.ready_or_wait(id, due);
        Ok(id)
    }

    /// Merges a newly submitted job into an unfinished one: the earlier time and deadline and the higher priority apply.
    fn merge(&mut self, id: JobId, job: &Job) {
        self.raise_priority(id, job.priority);
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        match entry.state {
            State::Running => entry.rerun = true,
            State::Waiting if job.not_before.max(self.now) < entry.due => {
                entry.due = job.not_before.max(self.now);
                let due = entry.due;
                self.ready_or_wait(id, due);
            }
            _ => {}
        }
        let deadline = match (self.jobs.get(&id).and_then(|h| h.job.deadline), job.deadline) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        self.reorder(id, |entry| entry.job.deadline = deadline);
    }

    /// Gives a job, and all jobs that it depends on, at least this priority.
    fn raise_priority(&mut self, id: JobId, priority: Priority) {
        let mut pending = vec![id];
        while let Some(id) = pending.pop() {
            let Some(entry) = self.jobs.get(&id).filter(|entry| entry.priority < priority) else { continue };
            pending.extend(entry.job.dependencies.iter().copied());
            self.reorder(id, |entry| entry.priority = priority);
            if let Some(entry) = self.jobs.get(&id).filter(|entry| entry.state == State::Waiting) {
                let due = entry.due;
                self.ready_or_wait(id, due);
            }
        }
    }

    /// Changes fields that determine a job's position, and moves the job to its new position if it is ready.
    fn reorder(&mut self, id: JobId, change: impl FnOnce(&mut Entry)) {
        let ready = self.jobs.get(&id).is_some_and(|entry| entry.state == State::Ready);
        if ready {
            self.remove_ready(id);
        }
        if let Some(entry) = self.jobs.get_mut(&id) {
            change(entry);
        }
        if ready {
            self.make_ready(id);
        }
    }

    /// Makes a job ready if it is due and has no unfinished dependencies; otherwise sets a timer for `due`.
    fn ready_or_wait(&mut self, id: JobId, due: Micros) {
        let Some(entry) = self.jobs.get(&id) else { return };
        if entry.pending_dependencies == 0 && due <= self.now {
            self.make_ready(id);
        } else {
            self.timers[usize::from(entry.priority == Priority::Critical)].push(Reverse((due, id)));
        }
    }

    /// Marks a job as ready and adds it to the queue of its priority.
    fn make_ready(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.state = State::Ready;
        let place = (entry.job.deadline.unwrap_or(Micros::MAX), id);
        let queue = (entry.job.flow, entry.job.budget);
        match entry.priority {
            Priority::Critical => _ = self.critical.insert(place),
            other => self.round_robins[usize::from(other == Priority::Normal)].insert(queue, place),
        }
    }

    /// Removes a ready job from the queue of its priority.
    fn remove_ready(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let place = (entry.job.deadline.unwrap_or(Micros::MAX), id);
        let queue = (entry.job.flow, entry.job.budget);
        match entry.priority {
            Priority::Critical => _ = self.critical.remove(&place),
            other => self.round_robins[usize::from(other == Priority::Normal)].remove(queue, place),
        }
    }

    /// Makes due jobs ready: all critical jobs, and at most [`MAX_WOKEN_PER_STEP`] others.
    fn wake_due(&mut self) {
        let mut remaining = MAX_WOKEN_PER_STEP;
        for critical in [true, false] {
            while (critical || remaining > 0)
                && let Some(Reverse((at, id))) = self.timers[usize::from(critical)].peek().copied()
                && at <= self.now
            {
                self.timers[usize::from(critical)].pop();
                remaining -= usize::from(!critical);
                self.wake_job(id);
            }
        }
    }

    /// Handles the expiry of a job's timer.
    fn wake_job(&mut self, id: JobId) {
        // A job that a merged submission moved to an earlier time has two timers; the later timer finds it no longer waiting.
        let due = |entry: &&Entry| {
            entry.state == State::Waiting && entry.pending_dependencies == 0 && entry.due <= self.now
        };
        let Some(entry) = self.jobs.get(&id).filter(due) else { return };
        // The timer expired at least one interval late, for example because the clock jumped.
        if let Some(period) = entry.job.period.filter(|p| entry.scheduled_at + p.interval.max(1) <= self.now)
        {
            self.align_to_period(id, self.now, period);
        }
        let due = self.jobs.get(&id).map_or(0, |entry| entry.due);
        self.ready_or_wait(id, due);
    }

    /// Starts the next turn, if a job may run now. None while [`next_due`](Schedule::next_due) is now means that the limit of
    /// jobs made ready in one step was reached: call again.
    pub fn next_turn(&mut self, now: Micros) -> Option<Turn> {
        let now = self.advance(now);
        self.wake_due();
        let id = match self.critical.pop_first() {
            Some((_, id)) => id,
            None => self.next_non_critical()?,
        };
        let entry = self.jobs.get_mut(&id)?;
        entry.state = State::Running;
        let late_by = entry.job.deadline.map_or(0, |deadline| now.saturating_sub(deadline));
        let kind = self.kinds.entry(entry.job.kind).or_default();
        kind.turns += 1;
        kind.late += u64::from(late_by > 0);
        Some(Turn { job: id, kind: entry.job.kind, late_by })
    }

    /// Takes the next job of the priorities `Normal` and `Background` from its queue.
    fn next_non_critical(&mut self) -> Option<JobId> {
        // Index of the priority that goes first: 1 for `Normal`, 0 for `Background` after its share of `Normal` turns.
        let first = usize::from(self.normal_streak < NORMAL_TURNS_PER_BACKGROUND);
        let open: Vec<bool> = self.budgets.iter().map(Budget::is_open).collect();
        // The quantum covers the most expensive kind, so that each flow can start a turn of any kind in each round.
        let quantum = self.kinds.values().map(|kind| kind.cost).fold(1.0, f64::max);
        for at in [first, 1 - first] {
            if let Some(id) = self.round_robins[at].next_job(&open, quantum, &self.weights) {
                self.normal_streak = if at == 1 { self.normal_streak + 1 } else { 0 };
                return Some(id);
            }
        }
        None
    }

    /// Records that a job's turn has ended and has used `used` units of its budget.
    pub fn end_turn(&mut self, now: Micros, id: JobId, outcome: TurnOutcome, used: f64) {
        let now = self.advance(now);
        let Some(entry) = self.jobs.get_mut(&id).filter(|entry| entry.state == State::Running) else {
            return;
        };
        self.budgets[entry.job.budget].charge(used);
        let kind = self.kinds.entry(entry.job.kind).or_default();
        kind.cost = if kind.turns <= 1 { used } else { kind.cost + COST_EMA_WEIGHT * (used - kind.cost) };
        if entry.priority != Priority::Critical {
            // The flow is charged the measured use, not the expected use.
            self.round_robins[usize::from(entry.priority == Priority::Normal)]
                .charge((entry.job.flow, entry.job.budget), used);
        }
        entry.state = State::Waiting;
        if entry.cancelled {
            return self.remove_job(id);
        }
        match (outcome, entry.job.retry) {
            (TurnOutcome::Unfinished, _) => {
                entry.due = now;
                self.make_ready(id);
            }
            (TurnOutcome::Failed, Some(retry)) if entry.failures < retry.max_retries => {
                kind.failed += 1;
                let max_delay = retry
                    .base_delay
                    .saturating_mul((1_u64 << entry.failures.min(32)).min(MAX_BACKOFF_FACTOR));
                entry.failures += 1;
                entry.due = now + max_delay / 2 + self.rng.u64(..=max_delay / 2);
                let due = entry.due;
                self.ready_or_wait(id, due);
            }
            (outcome, _) => {
                kind.failed += u64::from(outcome == TurnOutcome::Failed);
                kind.done += 1;
                entry.failures = 0;
                match entry.job.period {
                    Some(period) => self.schedule_next_run(id, now, period),
                    // Submitted again during its turn: runs once more, behind the ready jobs of its flow.
                    None if std::mem::take(&mut entry.rerun) => {
                        entry.due = now;
                        self.release_dependents(id);
                        self.make_ready(id);
                    }
                    None => self.remove_job(id),
                }
            }
        }
    }

    /// Sets a periodic job's next scheduled time after a run has ended.
    fn schedule_next_run(&mut self, id: JobId, now: Micros, period: Period) {
        self.release_dependents(id);
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        entry.scheduled_at += period.interval.max(1);
        entry.rerun = false;
        self.align_to_period(id, now, period);
        if let Some(due) = self.jobs.get(&id).map(|entry| entry.due) {
            self.ready_or_wait(id, due);
        }
    }

    /// Moves a periodic job to the first scheduled time that must run; missed runs are skipped or made up for as its
    /// [`MissedRuns`] says.
    fn align_to_period(&mut self, id: JobId, now: Micros, period: Period) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        let interval = period.interval.max(1);
        let missed = if entry.scheduled_at > now { 0 } else { (now - entry.scheduled_at) / interval + 1 };
        let made_up = match period.missed_runs {
            // A run less than one interval late is not skipped.
            MissedRuns::Skip => u64::from(missed == 1),
            MissedRuns::RunOnce => missed.min(1),
            MissedRuns::CatchUp(max_runs) => missed.min(u64::from(max_runs)),
        };
        self.kinds.entry(entry.job.kind).or_default().skipped += missed - made_up;
        entry.scheduled_at += (missed - made_up) * interval;
        entry.due = if entry.scheduled_at <= now {
            now
        } else {
            let jitter = (interval as f64 * period.jitter.clamp(0.0, 1.0)) as Micros;
            (entry.scheduled_at - jitter / 2 + self.rng.u64(..=jitter)).max(now)
        };
        entry.job.deadline = entry.deadline_offset.map(|offset| entry.scheduled_at + offset);
    }

    /// Releases the jobs that depend on an ended job.
    fn release_dependents(&mut self, id: JobId) {
        let dependents = self.jobs.get_mut(&id).map(|entry| std::mem::take(&mut entry.dependents));
        for other in dependents.unwrap_or_default() {
            let Some(entry) = self.jobs.get_mut(&other) else { continue };
            entry.pending_dependencies = entry.pending_dependencies.saturating_sub(1);
            let (due, runnable) =
                (entry.due, entry.pending_dependencies == 0 && entry.state == State::Waiting);
            if runnable {
                self.ready_or_wait(other, due);
            }
        }
    }

    /// Removes a job from the schedule and releases its dependents.
    fn remove_job(&mut self, id: JobId) {
        self.release_dependents(id);
        if let Some(entry) = self.jobs.remove(&id)
            && let Some(key) = entry.job.key
        {
            self.keys.remove(&(entry.job.kind, key));
        }
    }

    /// Cancels a job; a running job ends with its turn. Returns false if the job does not exist.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(entry) = self.jobs.get_mut(&id) else { return false };
        match entry.state {
            State::Running => entry.cancelled = true,
            State::Ready => {
                self.remove_ready(id);
                self.remove_job(id);
            }
            State::Waiting => self.remove_job(id),
        }
        true
    }

    /// Whether a running job was cancelled or no longer exists.
    pub fn is_cancelled(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_none_or(|entry| entry.cancelled)
    }

    /// The time at which [`next_turn`](Schedule::next_turn) may start a turn: the present if a job can start now, none if no
    /// job is waiting for a time or an open budget.
    pub fn next_due(&self) -> Option<Micros> {
        if !self.critical.is_empty() {
            return Some(self.now);
        }
        let earliest =
            |t: &BinaryHeap<Reverse<(Micros, JobId)>>| t.peek().map(|Reverse((at, _))| (*at).max(self.now));
        let timer = self.timers.iter().filter_map(earliest).min();
        let share = self.pressure.budget_share();
        let needed = (0..self.budgets.len())
            .filter(|b| self.round_robins.iter().any(|round_robin| round_robin.ready_per_budget[*b] > 0));
        let opens = needed.filter_map(|b| self.budgets[b].opens_at(if b == 0 { share } else { 1.0 }));
        opens.chain(timer).min()
    }
}

/// Maximum debt of a flow's queue, in quanta. Bounds the number of rounds until a queue may run again.
const MAX_DEBT_QUANTA: f64 = 62.0;

impl RoundRobin {
    /// Adds a ready job to its queue.
    fn insert(&mut self, queue: QueueKey, place: (Micros, JobId)) {
        let jobs = self.ready.entry(queue).or_default();
        if jobs.is_empty() {
            self.rotation.push_back(queue);
        }
        self.ready_per_budget[queue.1] += usize::from(jobs.insert(place));
    }

    /// Removes a ready job from its queue.
    fn remove(&mut self, queue: QueueKey, place: (Micros, JobId)) {
        let Some(jobs) = self.ready.get_mut(&queue) else { return };
        self.ready_per_budget[queue.1] -= usize::from(jobs.remove(&place));
        if jobs.is_empty() {
            self.ready.remove(&queue);
            if self.rotation.front() == Some(&queue) {
                self.rotation.pop_front();
            } else {
                self.rotation.retain(|q| *q != queue);
            }
            // A queue without jobs keeps no credit. A debt stays until it is paid off.
            if self.deficits.get(&queue).is_some_and(|left| *left >= 0.0) {
                self.deficits.remove(&queue);
            }
        }
    }

    /// Subtracts the budget units that a turn used from its queue's deficit.
    fn charge(&mut self, queue: QueueKey, used: f64) {
        *self.deficits.entry(queue).or_default() -= used;
    }

    /// Removes and returns the next job by deficit round robin, among the queues whose budget is open.
    fn next_job(&mut self, open: &[bool], quantum: f64, weights: &HashMap<FlowId, f64>) -> Option<JobId> {
        if self.ready_per_budget.iter().zip(open).all(|(ready, open)| *ready == 0 || !open) {
            return None;
        }
        // A queue without debt has a positive deficit after one round; a queue with maximum debt, after this many rounds.
        let min_weight = weights.values().copied().fold(1.0, f64::min);
        let rounds = ((MAX_DEBT_QUANTA + 2.0) / min_weight).min(1e6) as usize;
        for _ in 0..rounds * self.rotation.len() {
            let queue = *self.rotation.front()?;
            if open[queue.1] {
                let left = self.deficits.entry(queue).or_default();
                *left = left.max(-quantum * MAX_DEBT_QUANTA);
                if *left > 0.0 {
                    let first = self.ready.get(&queue).and_then(|jobs| jobs.first().copied())?;
                    self.remove(queue, first);
                    return Some(first.1);
                }
                *left += quantum * weights.get(&queue.0).copied().unwrap_or(1.0);
            }
            // The queue has used its quantum and waits for the next round.
            self.rotation.rotate_left(1);
        }
        None
    }
}
