//! The engine over a wire that does nothing by itself, on a paused clock.

use super::*;
use crate::core::LEAST_TIMERS;
use std::net::SocketAddr;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// Keeps what is sent; an abort says whether the attempt may have run as the test wants.
#[derive(Clone, Default)]
struct Fake {
    sent: Rc<RefCell<Vec<AttemptReport<Fake>>>>,
    aborted: Rc<Cell<u32>>,
    ran: Rc<Cell<bool>>,
    coming: Rc<Cell<bool>>,
    spent: Rc<Cell<bool>>,
}

impl Transport for Fake {
    type Call = ();
    type Reply = u32;
    type Attempt = ();
    fn send(&self, _: Target, _: Rc<()>, _: Micros, report: AttemptReport<Self>) {
        self.sent.borrow_mut().push(report);
    }
    fn abort(&self, _: ()) -> bool {
        self.aborted.set(self.aborted.get() + 1);
        self.ran.get()
    }
    fn body_pending(&self, _: &()) -> bool {
        self.coming.get()
    }
    fn body_consumed(&self, _: &()) -> bool {
        self.spent.get()
    }
    fn probe(&self, _: &Rc<Engine<Self>>, _: Target) {}
    fn close_idle(&self, _: ServerId) {}
    fn watch(&self, _: &Rc<Engine<Self>>) {}
    fn fetch(&self, _: &Rc<Engine<Self>>) {}
}

impl Fake {
    fn take(&self) -> AttemptReport<Fake> {
        self.sent.borrow_mut().pop().expect("an attempt")
    }
}

fn engine_of(fake: &Fake, effect: fs::Effect) -> Rc<Engine<Fake>> {
    let second = 1_000_000;
    let class = fs::Class {
        effect,
        latency_target: 4 * second,
        target_per_work: 0.0,
        deadline: 4 * second,
        value: 1.0,
        late_value_ratio: 0.0,
        stream: false,
    };
    let mut settings = fs::Settings::new(vec![class]);
    settings.limits.cancel = true;
    let engine = Engine::new(settings, &NameTable::default(), 1, fake.clone()).expect("good settings");
    let listed = DiscoveryEntry {
        instance: "s-1".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".to_owned(),
        kind: "k".to_owned(),
        cell: 0,
        state: fs::ServerState::Ready,
        weight: 1.0,
        started: None,
    };
    engine.update_list(ListKind::Complete, vec![listed]);
    engine
}

fn asked(time_left: Micros) -> NewRequest<()> {
    NewRequest { class: 0, time_left, tenant: None, work: None, retry: false, operation: None, call: () }
}

/// On a paused clock, with the timers running.
fn with(test: impl AsyncFnOnce(Fake, Rc<Engine<Fake>>)) {
    with_effect(fs::Effect::Unsafe, test);
}

fn with_effect(effect: fs::Effect, test: impl AsyncFnOnce(Fake, Rc<Engine<Fake>>)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let fake = Fake::default();
        let engine = engine_of(&fake, effect);
        spawn_local(engine.clone().run());
        let ended = tokio::time::timeout(Duration::from_secs(60), test(fake, engine)).await;
        assert!(ended.is_ok(), "it waits for what never comes");
    });
}

#[test]
fn an_attempt_out_of_time_is_ended_once_and_its_late_end_is_no_news() {
    with(async |fake, engine| {
        fake.ran.set(true);
        let asking = engine.submit(asked(1_000_000));
        let late = fake.take();
        let start = Instant::now();
        assert_eq!(asking.answer().await, Answer::Failed(Failure::DeadlineExceeded));
        assert!(start.elapsed() < Duration::from_secs(1), "after the client's time");
        assert_eq!(fake.aborted.get(), 1);
        late.end(Outcome::Ok, None, Some(7));
        assert!(engine.open_requests() == 0 && fake.sent.borrow().is_empty());
    });
}

#[test]
fn an_answer_that_has_begun_has_no_limit_and_its_end_is_told() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        let report = fake.take();
        report.response_start().begin(7);
        assert_eq!(asking.answer().await, Answer::Served(7));
        // Long after its client's time it is neither aborted nor forgotten.
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert_eq!((fake.aborted.get(), engine.open_requests()), (0, 1));
        report.end(Outcome::Ok, None, None);
        assert_eq!(engine.open_requests(), 0);
        // Its place is free: as many as before go out.
        let again = engine.submit(asked(1_000_000));
        fake.take().end(Outcome::Ok, None, Some(8));
        assert_eq!(again.answer().await, Answer::Served(8));
    });
}

#[test]
fn an_answer_that_begins_when_its_client_has_left_goes_nowhere() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        let report = fake.take();
        drop(asking);
        report.response_start().begin(7);
        report.end(Outcome::Cancelled, None, None);
        assert_eq!((engine.open_requests(), fake.sent.borrow().len()), (0, 0));
    });
}

#[test]
fn an_attempt_that_was_never_written_lets_an_unsafe_request_go_out_again() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        let id = asking.request;
        let _first = fake.take();
        tokio::time::sleep(Duration::from_millis(100)).await;
        engine.with(|core, _| core.call_off(id, 0, Outcome::Cancelled));
        tokio::time::sleep(Duration::from_millis(300)).await;
        fake.take().end(Outcome::Ok, None, Some(5));
        assert_eq!(asking.answer().await, Answer::Served(5));
    });
}

#[test]
fn an_attempt_whose_task_died_is_a_reset() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        drop(fake.take());
        assert_eq!(asking.answer().await, Answer::Failed(Failure::Upstream));
        assert!(engine.open_requests() == 0 && fake.sent.borrow().is_empty());
    });
}

#[test]
fn a_silent_module_does_not_keep_a_client_waiting() {
    with(async |fake, engine| {
        engine.update_list(ListKind::Complete, Vec::new());
        let asking = engine.submit(asked(1_000_000));
        // Without its timers the module never looks at what it holds.
        engine.core.borrow_mut().silence();
        let start = Instant::now();
        assert_eq!(asking.answer().await, Answer::Failed(Failure::DeadlineExceeded));
        assert!(start.elapsed() < Duration::from_secs(1), "after the client's time");
        assert!(engine.open_requests() == 0 && fake.sent.borrow().is_empty());
    });
}

#[test]
fn no_second_attempt_beside_one_that_is_out_and_none_after_the_answer() {
    with(async |fake, engine| {
        let asking = engine.submit(asked(1_000_000));
        let id = asking.request;
        engine.with(|core, now| core.send(now, id, 0, 0));
        assert_eq!(fake.sent.borrow().len(), 1);
        fake.take().end(Outcome::Ok, None, Some(5));
        engine.with(|core, now| core.send(now, id, 0, 0));
        assert_eq!(asking.answer().await, Answer::Served(5));
        assert!(fake.sent.borrow().is_empty() && engine.open_requests() == 0);
    });
}

#[test]
fn timers_of_answered_requests_do_not_pile_up() {
    with(async |fake, engine| {
        for _ in 0..10 * LEAST_TIMERS {
            let asking = engine.submit(asked(4_000_000));
            fake.take().end(Outcome::Ok, None, Some(5));
            assert_eq!(asking.answer().await, Answer::Served(5));
        }
        assert!(engine.core.borrow().timers() <= LEAST_TIMERS);
    });
}

#[test]
fn a_client_that_left_is_forgotten_when_its_attempt_ends() {
    with(async |fake, engine| {
        drop(engine.submit(asked(1_000_000)));
        assert_eq!(engine.open_requests(), 1);
        fake.take().end(Outcome::Reset, None, None);
        assert!(engine.open_requests() == 0 && fake.sent.borrow().is_empty());
    });
}

/// A body that passes on: the request's time counts from its last byte, and what is used up is not sent again.
#[test]
fn the_time_of_a_body_that_passes_counts_from_its_last_byte() {
    with(async |fake, engine| {
        fake.coming.set(true);
        let asking = engine.submit(asked(4_000_000));
        let report = fake.take();
        let come = report.body_receipt();
        let start = Instant::now();
        let answer = spawn_local(asking.answer());
        // Far longer than the deadline; nothing ends it.
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert!(!answer.is_finished() && engine.open_requests() == 1 && fake.aborted.get() == 0);
        fake.ran.set(true);
        come.complete();
        assert_eq!(answer.await.expect("it ends"), Answer::Failed(Failure::DeadlineExceeded));
        let took = start.elapsed() - Duration::from_secs(20);
        assert!(took > Duration::from_secs(3) && took <= Duration::from_secs(4), "{took:?}");
        assert_eq!(fake.aborted.get(), 1);
        drop(report);
    });
}

#[test]
fn a_call_that_is_used_up_ends_with_its_attempt() {
    for (outcome, expected) in [
        (Outcome::Full, Answer::Refused { retry_after: 0 }),
        (Outcome::ConnectFailed, Answer::Refused { retry_after: 0 }),
        (Outcome::Reset, Answer::Failed(Failure::Upstream)),
        (Outcome::Error, Answer::Failed(Failure::Upstream)),
    ] {
        with(async |fake, engine| {
            fake.coming.set(true);
            let asking = engine.submit(asked(4_000_000));
            fake.spent.set(true);
            fake.take().end(outcome, None, None);
            assert_eq!(asking.answer().await, expected, "{outcome:?}");
            assert!(fake.sent.borrow().is_empty() && engine.open_requests() == 0);
        });
    }
    // Untouched it goes out again.
    with(async |fake, engine| {
        fake.coming.set(true);
        let asking = engine.submit(asked(4_000_000));
        fake.take().end(Outcome::ConnectFailed, None, None);
        while fake.sent.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        fake.take().end(Outcome::Ok, None, Some(7));
        assert_eq!(asking.answer().await, Answer::Served(7));
    });
}

/// Safe, by its class: each row is when its operation is narrowed, how its attempts end, and what becomes of it.
#[test]
fn an_operation_that_is_narrowed_gets_no_attempt_after_one_that_may_have_run() {
    use Outcome::{ConnectFailed, Ok, Reset};
    #[derive(Debug, PartialEq)]
    enum Narrowed {
        Never,
        Out,
        Between,
        Another,
    }
    let rows = [
        (Narrowed::Never, &[Reset, Ok][..], Answer::Served(7)),
        (Narrowed::Another, &[Reset, Ok], Answer::Served(7)),
        (Narrowed::Out, &[Reset], Answer::Failed(Failure::Upstream)),
        (Narrowed::Out, &[ConnectFailed, Ok], Answer::Served(7)),
        (Narrowed::Out, &[ConnectFailed, Reset], Answer::Failed(Failure::Upstream)),
        (Narrowed::Between, &[Reset], Answer::Failed(Failure::Upstream)),
    ];
    for (narrowed, outcomes, answer) in rows {
        with(async |fake, _| {
            let engine = engine_of(&fake, fs::Effect::Safe);
            spawn_local(engine.clone().run());
            let asking = engine.submit(NewRequest { operation: Some(3), ..asked(4_000_000) });
            match narrowed {
                Narrowed::Out => engine.forbid_retry(3),
                Narrowed::Another => engine.forbid_retry(4),
                _ => {}
            }
            for outcome in outcomes {
                while fake.sent.borrow().is_empty() {
                    // A pause before the next attempt.
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                fake.take().end(*outcome, None, (*outcome == Ok).then_some(7));
                if narrowed == Narrowed::Between {
                    assert!(fake.sent.borrow().is_empty(), "it is out again at once");
                    engine.forbid_retry(3);
                }
            }
            assert_eq!(asking.answer().await, answer, "{narrowed:?}, {outcomes:?}");
            tokio::time::sleep(Duration::from_secs(10)).await;
            assert_eq!(
                (fake.sent.borrow().len(), engine.open_requests()),
                (0, 0),
                "{narrowed:?}, {outcomes:?}"
            );
        });
    }
}

#[test]
fn a_caller_that_leaves_within_its_body_ends_the_attempt() {
    with(async |fake, engine| {
        fake.coming.set(true);
        let asking = engine.submit(asked(4_000_000));
        let _report = fake.take();
        drop(asking);
        assert_eq!((fake.aborted.get(), engine.open_requests()), (1, 0));
    });
}

/// Answers many requests within a millisecond, so that the module bounds the next attempt by far less than its time left.
async fn teach(fake: &Fake, engine: &Rc<Engine<Fake>>) {
    for _ in 0..200 {
        let asking = engine.submit(asked(4_000_000));
        tokio::time::advance(Duration::from_millis(1)).await;
        fake.take().end(Outcome::Ok, None, Some(1));
        assert_eq!(asking.answer().await, Answer::Served(1));
    }
}

#[test]
fn told_to_stop_it_ends_no_attempt_whose_upstream_may_be_at_work() {
    for stops in [false, true] {
        with(async move |fake, engine| {
            fake.ran.set(true);
            teach(&fake, &engine).await;
            let asking = engine.submit(asked(4_000_000));
            let out = fake.take();
            if stops {
                engine.set_cancellation(false);
            }
            tokio::time::sleep(Duration::from_millis(3900)).await;
            // Without the order the attempt is over by now: its limit was a few of the usual milliseconds.
            assert_eq!(fake.aborted.get(), u32::from(!stops));
            out.end(Outcome::Ok, None, Some(9));
            let expected = if stops { Answer::Served(9) } else { Answer::Failed(Failure::DeadlineExceeded) };
            assert_eq!(asking.answer().await, expected);
        });
    }
}

#[test]
fn a_process_that_has_just_started_cuts_again_once_it_may() {
    with(async move |fake, engine| {
        fake.ran.set(true);
        teach(&fake, &engine).await;
        // An attempt that was kept for long would teach the module longer limits: only the switch is looked at here.
        engine.set_cancellation(false);
        engine.set_cancellation(true);
        let cut = engine.submit(asked(4_000_000));
        let _out = fake.take();
        tokio::time::sleep(Duration::from_millis(3900)).await;
        assert_eq!(fake.aborted.get(), 1);
        assert_eq!(cut.answer().await, Answer::Failed(Failure::DeadlineExceeded));
    });
}

#[test]
fn nothing_goes_on_for_a_caller_that_has_left_though_attempts_are_kept() {
    for (effect, cuts) in [
        (fs::Effect::Safe, true),
        (fs::Effect::Safe, false),
        (fs::Effect::Unsafe, true),
        (fs::Effect::Unsafe, false),
    ] {
        with_effect(effect, async move |fake, engine| {
            engine.cancel_on_disconnect();
            teach(&fake, &engine).await;
            engine.set_cancellation(cuts);
            let left = engine.submit(asked(4_000_000));
            let _out = fake.take();
            drop(left);
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert_eq!(fake.aborted.get(), 1, "{effect:?}, cuts: {cuts}");
        });
    }
}

#[test]
fn what_surely_never_ran_is_refused_where_that_is_asked_for() {
    for (outcome, refuses, refused) in [
        (Outcome::Full, true, true),
        (Outcome::ConnectFailed, true, true),
        (Outcome::Reset, true, false),
        (Outcome::Full, false, false),
    ] {
        with(async move |fake, engine| {
            if refuses {
                engine.refuse_unsent();
            }
            teach(&fake, &engine).await;
            // So that the attempt is still out when too little time is left for another, or for a new try of the client's.
            engine.set_cancellation(false);
            let asking = engine.submit(asked(300_000));
            tokio::time::sleep(Duration::from_micros(289_700)).await;
            fake.take().end(outcome, None, None);
            let answer = asking.answer().await;
            assert_eq!(matches!(answer, Answer::Refused { .. }), refused, "{outcome:?} {answer:?}");
        });
    }
}

#[test]
fn the_answer_of_an_upstream_that_failed_goes_to_the_caller_where_nothing_better_comes() {
    for (outcome, reply, expected) in [
        (Outcome::Error, Some(500), Answer::Served(500)),
        (Outcome::Error, None, Answer::Failed(Failure::Upstream)),
        // What broke off is no answer, whatever came with it.
        (Outcome::Reset, Some(500), Answer::Failed(Failure::Upstream)),
    ] {
        with(async move |fake, engine| {
            let asking = engine.submit(asked(1_000_000));
            fake.take().end(outcome, None, reply);
            assert_eq!(asking.answer().await, expected);
        });
    }
}
