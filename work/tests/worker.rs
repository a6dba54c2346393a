//! Tests of [`Worker`] on tokio's paused clock.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use sloeline_work::budget::Budget;
use sloeline_work::schedule::{Job, Priority, Rejection, Schedule};
use sloeline_work::worker::Worker;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{advance, timeout};

/// Time slice of the worker under test.
const SLICE: Duration = Duration::from_millis(2);

/// Runs `test` with a worker that uses `budget` and has `capacity` places, on a paused clock with a time limit of 600 s.
fn with_worker(budget: Budget, capacity: usize, test: impl AsyncFnOnce(Rc<Worker>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("the runtime starts"), async {
        let worker = Worker::new(Schedule::new(capacity, vec![budget], 1), SLICE);
        spawn_local(worker.clone().run());
        timeout(Duration::from_secs(600), test(worker)).await.expect("the test finishes within 600 s");
    });
}

/// A budget that never delays the tests' jobs.
fn unlimited() -> Budget {
    Budget::new(1e9, 1e9)
}

#[test]
fn flows_alternate_and_other_tasks_run_between_turns() {
    with_worker(unlimited(), 100, async |worker| {
        let (order, passes) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(0)));
        let others = spawn_local({
            let passes = passes.clone();
            async move {
                loop {
                    passes.set(passes.get() + 1);
                    yield_now().await;
                }
            }
        });
        let tasks: Vec<_> = (0..2)
            .map(|flow| {
                let (worker, order, passes) = (worker.clone(), order.clone(), passes.clone());
                spawn_local(async move {
                    let mut turn = worker
                        .acquire_turn(Job::new("part", flow, Priority::Normal))
                        .await
                        .expect("the schedule has a free place");
                    for _ in 0..10 {
                        order.borrow_mut().push((flow, passes.get()));
                        // Works for 1.5 slices, less than the 2 that count as an overrun.
                        advance(SLICE * 3 / 2).await;
                        turn.yield_if_over().await;
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await.expect("the task finishes");
        }
        others.abort();
        let order = order.borrow();
        let changes = order.windows(2).filter(|w| w[0].0 != w[1].0).count();
        assert!(changes >= 15, "{order:?}");
        assert!(
            order.windows(2).all(|w| w[0].1 < w[1].1),
            "the other tasks did not run between two turns: {order:?}"
        );
        assert_eq!((worker.slice_overruns().0, worker.with_schedule(|s, _| s.len())), (0, 0));
    });
}

#[test]
fn panicking_overrunning_or_aborted_task_does_not_block_others() {
    with_worker(unlimited(), 100, async |worker| {
        let bad = worker.clone();
        let panicked = spawn_local(async move {
            let _turn = bad
                .acquire_turn(Job::new("bad", 0, Priority::Normal))
                .await
                .expect("the schedule has a free place");
            panic!("deliberate panic of the test");
        });
        assert!(panicked.await.is_err());
        let turn = worker
            .acquire_turn(Job::new("long", 0, Priority::Normal))
            .await
            .expect("the schedule has a free place");
        // Another task waits for a turn and is aborted.
        let waiting = spawn_local({
            let worker = worker.clone();
            async move { drop(worker.acquire_turn(Job::new("gone", 1, Priority::Critical)).await) }
        });
        yield_now().await;
        assert_eq!(worker.with_schedule(|s, _| s.len()), 2);
        waiting.abort();
        let _ = waiting.await;
        assert_eq!(worker.with_schedule(|s, _| s.len()), 1);
        advance(Duration::from_secs(1)).await;
        drop(turn);
        worker
            .acquire_turn(Job::new("next", 0, Priority::Background))
            .await
            .expect("the schedule has a free place")
            .failed();
        assert_eq!(worker.slice_overruns(), (1, Duration::from_secs(1)));
        let failed = |kind: &str| worker.with_schedule(|s, _| s.kinds()[kind].failed);
        assert_eq!((failed("bad"), failed("long"), failed("next")), (1, 0, 1));
    });
}

#[test]
fn budget_limits_work_over_time_and_places_are_bounded() {
    // 20 % of the processor time.
    with_worker(Budget::new(200_000.0, 2_000.0), 8, async |worker| {
        let start = worker.now();
        let mut turn = worker
            .acquire_turn(Job::new("part", 0, Priority::Background))
            .await
            .expect("the schedule has a free place");
        for _ in 0..100 {
            advance(SLICE).await;
            turn.yield_if_over().await;
        }
        drop(turn);
        let took = worker.now() - start;
        assert!((950_000..1_100_000).contains(&took), "{took} us for 200 ms of work");
        let mut tasks = Vec::new();
        for n in 0..9 {
            let worker = worker.clone();
            tasks.push(spawn_local(async move {
                worker.acquire_turn(Job::new("many", n, Priority::Normal)).await.err()
            }));
        }
        let mut refused = 0;
        for task in tasks {
            refused +=
                usize::from(task.await.expect("the task finishes") == Some(Rejection::Full { most: 7 }));
        }
        assert_eq!((refused, worker.with_schedule(|s, _| s.len())), (2, 0));
    });
}

/// Guards against a turn that is granted to a task that is gone before it runs again: no other task got a turn after that.
#[test]
fn a_turn_granted_to_a_task_that_is_gone_goes_to_the_next_one() {
    with_worker(unlimited(), 100, async |worker| {
        let mut gone = Box::pin(worker.acquire_turn(Job::new("gone", 0, Priority::Normal)));
        assert!(poll_once(gone.as_mut()).is_pending());
        // The worker grants the turn; its task doesn't run.
        for _ in 0..4 {
            yield_now().await;
        }
        drop(gone);
        assert_eq!(worker.with_schedule(|schedule, _| schedule.len()), 0);
        let next = worker.acquire_turn(Job::new("next", 0, Priority::Normal));
        timeout(Duration::from_secs(1), next)
            .await
            .expect("a turn within a second")
            .expect("the schedule has a free place");
    });
}

/// Polls once without a waker.
fn poll_once<T>(future: Pin<&mut impl Future<Output = T>>) -> Poll<T> {
    future.poll(&mut Context::from_waker(Waker::noop()))
}
