//! Turns on tokio, on one thread: whoever has work to do waits for a turn, does a part of it, and rests when its slice is
//! over. Between two turns everything else that is ready runs once, and how long that takes is the lag that work gives way
//! to.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use finchshift::Micros;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::schedule::{Ended, Job, JobId, Refused, Schedule};

/// Gives turns.
pub struct Worker {
    schedule: RefCell<Schedule>,
    /// Those that wait for a turn.
    waiting: RefCell<HashMap<JobId, oneshot::Sender<()>>>,
    start: Instant,
    slice: Cell<Duration>,
    changed: Notify,
    ended: Notify,
    overran: Cell<u64>,
    longest: Cell<Duration>,
}

/// A turn that lasts, until it is dropped or given back.
pub struct Turn {
    worker: Rc<Worker>,
    job: JobId,
    began: Instant,
    /// It has the turn now.
    has: bool,
    failed: bool,
}

impl Worker {
    /// Nothing to do yet; a turn should last no longer than `slice`.
    pub fn new(schedule: Schedule, slice: Duration) -> Rc<Worker> {
        Rc::new(Worker {
            schedule: RefCell::new(schedule),
            waiting: RefCell::default(),
            start: Instant::now(),
            slice: Cell::new(slice),
            changed: Notify::new(),
            ended: Notify::new(),
            overran: Cell::new(0),
            longest: Cell::new(Duration::ZERO),
        })
    }

    /// The present time, as jobs are filed by.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Looks at the schedule, or changes it.
    pub fn with_schedule<T>(&self, access: impl FnOnce(&mut Schedule, Micros) -> T) -> T {
        let result = access(&mut self.schedule.borrow_mut(), self.now());
        self.changed.notify_one();
        result
    }

    /// Turns that lasted longer than their slice, and the longest of all.
    pub fn slice_overruns(&self) -> (u64, Duration) {
        (self.overran.get(), self.longest.get())
    }

    /// Files a job and waits for its first turn. Dropped before, the job is taken back.
    pub async fn acquire_turn(self: &Rc<Self>, job: Job) -> Result<Turn, Refused> {
        // One that is like another would have its turn, and the other none.
        let job = Job { key: None, ..job };
        let id = self.with_schedule(|schedule, now| schedule.file(now, job))?;
        let mut turn =
            Turn { worker: self.clone(), job: id, began: Instant::now(), has: false, failed: false };
        turn.wait().await;
        Ok(turn)
    }

    /// Gives turns; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let lap = Instant::now();
            tokio::task::yield_now().await;
            let lag = lap.elapsed().as_micros() as Micros;
            let now = self.now();
            let (next, due) = {
                // Not by `with`, which would wake this loop again.
                let mut schedule = self.schedule.borrow_mut();
                schedule.pressure.lap(now, lag);
                (schedule.next(now), schedule.due())
            };
            match (next, due) {
                (Some(turn), _) => {
                    let waits = self.waiting.borrow_mut().remove(&turn.job);
                    let ended = self.ended.notified();
                    match waits.map(|waits| waits.send(())) {
                        Some(Ok(())) => ended.await,
                        // Nobody wants it any more.
                        _ => self
                            .with_schedule(|schedule, now| schedule.ended(now, turn.job, Ended::Done, 0.0)),
                    }
                }
                (None, due) => {
                    // A budget that opens at once has opened by the next look.
                    let at = due.map(|at| self.start + Duration::from_micros(at.max(self.now() + 1)));
                    tokio::select! {
                        () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {}
                        () = self.changed.notified() => {}
                    }
                }
            }
        }
    }
}

impl Turn {
    async fn wait(&mut self) {
        let (sender, given) = oneshot::channel();
        self.worker.waiting.borrow_mut().insert(self.job, sender);
        self.worker.changed.notify_one();
        // Gone only with the worker: then there is nobody to wait for.
        let _ = given.await;
        (self.has, self.began) = (true, Instant::now());
    }

    /// The slice is used up.
    pub fn over(&self) -> bool {
        self.began.elapsed() >= self.worker.slice.get()
    }

    /// Gives the turn back where its slice is used up, and waits for the next.
    pub async fn yield_if_over(&mut self) {
        if self.over() {
            self.give(Ended::More);
            self.wait().await;
        }
    }

    /// What it was for has failed.
    pub fn failed(mut self) {
        self.failed = true;
    }

    fn give(&mut self, ended: Ended) {
        if !std::mem::take(&mut self.has) {
            return;
        }
        let (worker, used) = (&self.worker, self.began.elapsed());
        if used > 2 * worker.slice.get() {
            worker.overran.set(worker.overran.get() + 1);
        }
        worker.longest.set(worker.longest.get().max(used));
        worker.with_schedule(|schedule, now| schedule.ended(now, self.job, ended, used.as_secs_f64() * 1e6));
        worker.ended.notify_one();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if self.has {
            let failed = self.failed || std::thread::panicking();
            self.give(if failed { Ended::Failed } else { Ended::Done });
        } else {
            self.worker.waiting.borrow_mut().remove(&self.job);
            self.worker.with_schedule(|schedule, _| schedule.cancel(self.job));
        }
    }
}
