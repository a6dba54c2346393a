//! Runs turns of background work on a single-threaded tokio runtime. A task acquires a turn, does a part of its work, and
//! yields when the time slice is used up. Between two turns every other ready task runs once; the time that this takes is
//! the event-loop lag, to which [`crate::pressure`] adapts the budget.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use finchshift::Micros;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::schedule::{Job, JobId, Rejection, Schedule, TurnOutcome};

/// Grants turns to tasks, one at a time, in the order that the [`Schedule`] decides.
pub struct Worker {
    /// Jobs of the tasks, and the rules by which they get turns.
    schedule: RefCell<Schedule>,
    /// Senders that pass turns to the tasks whose jobs wait for one.
    waiting: RefCell<HashMap<JobId, oneshot::Sender<GrantedTurn>>>,
    /// Origin of the times that the schedule uses.
    start: Instant,
    /// Time after which a turn should yield.
    slice: Cell<Duration>,
    /// Notified when the schedule may have changed.
    schedule_changed: Notify,
    /// Notified when a turn ends.
    turn_ended: Notify,
    /// Number of turns that took more than two slices.
    overruns: Cell<u64>,
    /// Duration of the longest turn.
    longest_turn: Cell<Duration>,
}

/// A task's hold on the turn of its job. Dropping it ends the job; [`yield_if_over`](Turn::yield_if_over) releases the turn
/// and acquires another.
pub struct Turn {
    /// Worker that granted the turn.
    worker: Rc<Worker>,
    /// The job in the schedule that the turn belongs to.
    job: JobId,
    /// The current turn, while the task holds one rather than waiting for it.
    granted: Option<GrantedTurn>,
    /// Whether the job is reported as failed when the turn is dropped.
    failed: bool,
}

/// A turn that the worker has granted. Dropping it ends the turn, also if the task is gone before it has taken the turn.
struct GrantedTurn {
    /// Worker that granted the turn.
    worker: Rc<Worker>,
    /// The job in the schedule that the turn belongs to.
    job: JobId,
    /// When the task began with the turn; `None` until it has taken it.
    started: Option<Instant>,
    /// Outcome that is reported to the schedule at the end.
    outcome: TurnOutcome,
}

impl GrantedTurn {
    /// How long the task has held the turn.
    fn elapsed(&self) -> Duration {
        self.started.map_or(Duration::ZERO, |started| started.elapsed())
    }
}

impl Drop for GrantedTurn {
    fn drop(&mut self) {
        let (worker, used) = (&self.worker, self.elapsed());
        if used > 2 * worker.slice.get() {
            worker.overruns.set(worker.overruns.get() + 1);
        }
        worker.longest_turn.set(worker.longest_turn.get().max(used));
        worker.with_schedule(|schedule, now| {
            schedule.end_turn(now, self.job, self.outcome, used.as_secs_f64() * 1e6)
        });
        worker.turn_ended.notify_one();
    }
}

impl Worker {
    /// Creates a worker for `schedule` whose turns should each take no longer than `slice`.
    pub fn new(schedule: Schedule, slice: Duration) -> Rc<Worker> {
        Rc::new(Worker {
            schedule: RefCell::new(schedule),
            waiting: RefCell::default(),
            start: Instant::now(),
            slice: Cell::new(slice),
            schedule_changed: Notify::new(),
            turn_ended: Notify::new(),
            overruns: Cell::new(0),
            longest_turn: Cell::new(Duration::ZERO),
        })
    }

    /// The current time on the schedule's clock: microseconds since the worker was created.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Calls `access` with the schedule and the current time, then lets the worker check for changes.
    pub fn with_schedule<T>(&self, access: impl FnOnce(&mut Schedule, Micros) -> T) -> T {
        let result = access(&mut self.schedule.borrow_mut(), self.now());
        self.schedule_changed.notify_one();
        result
    }

    /// The number of turns that took more than two slices, and the duration of the longest turn.
    pub fn slice_overruns(&self) -> (u64, Duration) {
        (self.overruns.get(), self.longest_turn.get())
    }

    /// Submits a job and waits for its first turn. The job is cancelled if the future is dropped before that.
    pub async fn acquire_turn(self: &Rc<Self>, job: Job) -> Result<Turn, Rejection> {
        // Two jobs with the same key would be merged, and only one of the two tasks would get a turn.
        let job = Job { key: None, ..job };
        let id = self.with_schedule(|schedule, now| schedule.submit(now, job))?;
        let mut turn = Turn { worker: self.clone(), job: id, granted: None, failed: false };
        turn.wait_for_turn().await;
        Ok(turn)
    }

    /// Grants turns as the schedule allows; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let pass_start = Instant::now();
            tokio::task::yield_now().await;
            let lag = pass_start.elapsed().as_micros() as Micros;
            let now = self.now();
            let (next, due) = {
                // Not through `with_schedule`, which would wake this loop again.
                let mut schedule = self.schedule.borrow_mut();
                schedule.pressure.record_lag(now, lag);
                (schedule.next_turn(now), schedule.next_due())
            };
            match (next, due) {
                (Some(turn), _) => {
                    let waiter = self.waiting.borrow_mut().remove(&turn.job);
                    let turn_ended = self.turn_ended.notified();
                    let granted = GrantedTurn {
                        worker: self.clone(),
                        job: turn.job,
                        started: None,
                        outcome: TurnOutcome::Done,
                    };
                    // A turn that nobody waits for any more ends at once.
                    match waiter {
                        Some(waiter) => drop(waiter.send(granted)),
                        None => drop(granted),
                    }
                    turn_ended.await;
                }
                (None, due) => {
                    // At least one microsecond ahead, so that a budget that is due to open now has opened by the next iteration.
                    let at = due.map(|at| self.start + Duration::from_micros(at.max(self.now() + 1)));
                    tokio::select! {
                        () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {}
                        () = self.schedule_changed.notified() => {}
                    }
                }
            }
        }
    }
}

impl Turn {
    /// Waits until the worker grants the job's next turn.
    async fn wait_for_turn(&mut self) {
        let (sender, granted) = oneshot::channel();
        self.worker.waiting.borrow_mut().insert(self.job, sender);
        self.worker.schedule_changed.notify_one();
        // The sender is dropped only together with the worker, when no turn will be granted.
        self.granted = granted.await.ok();
        if let Some(granted) = &mut self.granted {
            granted.started = Some(Instant::now());
        }
    }

    /// Whether the turn has used up its time slice.
    pub fn is_over(&self) -> bool {
        self.granted.as_ref().is_some_and(|granted| granted.elapsed() >= self.worker.slice.get())
    }

    /// If the time slice is used up, releases the turn and waits for the next one.
    pub async fn yield_if_over(&mut self) {
        if self.is_over() {
            self.release(TurnOutcome::Unfinished);
            self.wait_for_turn().await;
        }
    }

    /// Ends the turn and reports the job as failed.
    pub fn failed(mut self) {
        self.failed = true;
    }

    /// Ends the current turn with `outcome`, charges its duration to the budget, and wakes the worker. Does nothing if the task
    /// does not hold a turn.
    fn release(&mut self, outcome: TurnOutcome) {
        if let Some(mut granted) = self.granted.take() {
            granted.outcome = outcome;
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.granted.is_some() {
            let failed = self.failed || std::thread::panicking();
            self.release(if failed { TurnOutcome::Failed } else { TurnOutcome::Done });
        } else {
            self.worker.waiting.borrow_mut().remove(&self.job);
            self.worker.with_schedule(|schedule, _| schedule.cancel(self.job));
        }
    }
}
