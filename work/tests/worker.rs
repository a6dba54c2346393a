//! Turns on tokio's paused clock.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sloeline_work::budget::Budget;
use sloeline_work::schedule::{Job, Priority, Refused, Schedule};
use sloeline_work::worker::Worker;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{advance, timeout};

const SLICE: Duration = Duration::from_millis(2);

fn with(budget: Budget, most: usize, test: impl AsyncFnOnce(Rc<Worker>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let worker = Worker::new(Schedule::new(most, vec![budget], 1), SLICE);
        spawn_local(worker.clone().run());
        timeout(Duration::from_secs(600), test(worker)).await.expect("it waits for what never comes");
    });
}

fn plenty() -> Budget {
    Budget::new(1e9, 1e9)
}

#[test]
fn two_flows_take_turns_and_others_run_in_between() {
    with(plenty(), 100, async |worker| {
        let (order, laps) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(0)));
        let others = spawn_local({
            let laps = laps.clone();
            async move {
                loop {
                    laps.set(laps.get() + 1);
                    yield_now().await;
                }
            }
        });
        let tasks: Vec<_> = (0..2)
            .map(|flow| {
                let (worker, order, laps) = (worker.clone(), order.clone(), laps.clone());
                spawn_local(async move {
                    let mut turn =
                        worker.acquire_turn(Job::new("part", flow, Priority::Normal)).await.expect("a place");
                    for _ in 0..10 {
                        order.borrow_mut().push((flow, laps.get()));
                        // A slice and a half.
                        advance(SLICE * 3 / 2).await;
                        turn.yield_if_over().await;
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await.expect("it ends");
        }
        others.abort();
        let order = order.borrow();
        let changes = order.windows(2).filter(|w| w[0].0 != w[1].0).count();
        assert!(changes >= 15, "{order:?}");
        assert!(order.windows(2).all(|w| w[0].1 < w[1].1), "somebody waited for two turns: {order:?}");
        assert_eq!((worker.slice_overruns().0, worker.with_schedule(|s, _| s.len())), (0, 0));
    });
}

#[test]
fn one_that_panics_never_rests_or_is_dropped_holds_up_no_other() {
    with(plenty(), 100, async |worker| {
        let bad = worker.clone();
        let panicked = spawn_local(async move {
            let _turn = bad.acquire_turn(Job::new("bad", 0, Priority::Normal)).await.expect("a place");
            panic!("on purpose");
        });
        assert!(panicked.await.is_err());
        let turn = worker.acquire_turn(Job::new("long", 0, Priority::Normal)).await.expect("a place");
        // Another waits, and its task is ended.
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
        worker.acquire_turn(Job::new("next", 0, Priority::Background)).await.expect("a place").failed();
        assert_eq!(worker.slice_overruns(), (1, Duration::from_secs(1)));
        let failed = |kind: &str| worker.with_schedule(|s, _| s.kinds()[kind].failed);
        assert_eq!((failed("bad"), failed("long"), failed("next")), (1, 0, 1));
    });
}

#[test]
fn a_budget_is_kept_over_time_and_places_are_bounded() {
    // A fifth of the time.
    with(Budget::new(200_000.0, 2_000.0), 8, async |worker| {
        let start = worker.now();
        let mut turn = worker.acquire_turn(Job::new("part", 0, Priority::Background)).await.expect("a place");
        for _ in 0..100 {
            advance(SLICE).await;
            turn.yield_if_over().await;
        }
        drop(turn);
        let took = worker.now() - start;
        assert!((950_000..1_100_000).contains(&took), "{took} us for 200 ms of work");
        let mut held = Vec::new();
        for n in 0..9 {
            let worker = worker.clone();
            held.push(spawn_local(async move {
                worker.acquire_turn(Job::new("many", n, Priority::Normal)).await.err()
            }));
        }
        let mut refused = 0;
        for task in held {
            refused += usize::from(task.await.expect("it ends") == Some(Refused::Full { most: 7 }));
        }
        assert_eq!((refused, worker.with_schedule(|s, _| s.len())), (2, 0));
    });
}
