//! Tests of the engine with a transport that the tests control, on a paused clock.

use super::*;
use crate::core::MIN_PRUNE_THRESHOLD;
use std::net::SocketAddr;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

/// A transport that stores the reports of sent attempts. The tests end the attempts and set what the other methods
/// return.
#[derive(Clone, Default)]
struct FakeTransport {
    /// Reports of the attempts that have been sent and not yet taken by the test.
    sent: Rc<RefCell<Vec<AttemptReport<FakeTransport>>>>,
    /// Number of aborted attempts.
    aborted: Rc<Cell<u32>>,
    /// Whether an aborted attempt may have run.
    may_have_run: Rc<Cell<bool>>,
    /// Whether the bodies of calls are still being received.
    body_pending: Rc<Cell<bool>>,
    /// Whether the bodies of calls have been consumed.
    body_consumed: Rc<Cell<bool>>,
}

impl Transport for FakeTransport {
    type Call = ();
    type Reply = u32;
    type Attempt = ();
    fn send(&self, _: Target, _: Rc<()>, _: Micros, report: AttemptReport<Self>) {
        self.sent.borrow_mut().push(report);
    }
    fn abort(&self, _: ()) -> bool {
        self.aborted.set(self.aborted.get() + 1);
        self.may_have_run.get()
    }
    fn body_pending(&self, _: &()) -> bool {
        self.body_pending.get()
    }
    fn body_consumed(&self, _: &()) -> bool {
        self.body_consumed.get()
    }
    fn probe(&self, _: &Rc<Engine<Self>>, _: Target) {}
    fn close_idle(&self, _: ServerId) {}
    fn watch(&self, _: &Rc<Engine<Self>>) {}
    fn fetch(&self, _: &Rc<Engine<Self>>) {}
}

impl FakeTransport {
    /// Takes the report of the attempt that was sent last.
    fn take(&self) -> AttemptReport<FakeTransport> {
        self.sent.borrow_mut().pop().expect("an attempt")
    }
}

/// An engine with one class of the given effect and one ready upstream.
fn engine_with_upstream(transport: &FakeTransport, effect: fs::Effect) -> Rc<Engine<FakeTransport>> {
    let second = 1_000_000;
    let class = fs::Class {
        effect,
        max_runs: u32::MAX,
        latency_target: 4 * second,
        target_per_work: 0.0,
        deadline: 4 * second,
        value: 1.0,
        late_value_ratio: 0.0,
        stream: false,
    };
    let mut settings = fs::Settings::new(vec![class]);
    settings.limits.cancel = true;
    let engine = Engine::new(settings, &NameTable::default(), 1, transport.clone()).expect("valid settings");
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

/// A request of the only class.
fn request(time_left: Micros) -> NewRequest<()> {
    NewRequest { class: 0, time_left, tenant: None, work: None, retry: false, operation: None, call: () }
}

/// Runs a test with an unsafe class on a paused clock, with the timers running.
fn run_test(test: impl AsyncFnOnce(FakeTransport, Rc<Engine<FakeTransport>>)) {
    run_test_with_effect(fs::Effect::Unsafe, test);
}

/// Runs a test with a class of the given effect on a paused clock, with the timers running.
fn run_test_with_effect(
    effect: fs::Effect,
    test: impl AsyncFnOnce(FakeTransport, Rc<Engine<FakeTransport>>),
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let transport = FakeTransport::default();
        let engine = engine_with_upstream(&transport, effect);
        spawn_local(engine.clone().run());
        let ended = tokio::time::timeout(Duration::from_secs(60), test(transport, engine)).await;
        assert!(ended.is_ok(), "the test timed out");
    });
}

#[test]
fn a_timed_out_attempt_is_aborted_once_and_its_late_report_ignored() {
    run_test(async |transport, engine| {
        transport.may_have_run.set(true);
        let pending = engine.submit(request(1_000_000));
        let late = transport.take();
        let start = Instant::now();
        assert_eq!(pending.answer().await, Answer::Failed(Failure::DeadlineExceeded));
        assert!(start.elapsed() < Duration::from_secs(1), "answered after the client's deadline");
        assert_eq!(transport.aborted.get(), 1);
        late.end(Outcome::Ok, None, Some(7));
        assert!(engine.open_requests() == 0 && transport.sent.borrow().is_empty());
    });
}

#[test]
fn a_started_response_does_not_time_out_and_its_end_is_reported() {
    run_test(async |transport, engine| {
        let pending = engine.submit(request(1_000_000));
        let report = transport.take();
        report.response_start().begin(7);
        assert_eq!(pending.answer().await, Answer::Served(7));
        // Long after the client's deadline the attempt is neither aborted nor removed.
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert_eq!((transport.aborted.get(), engine.open_requests()), (0, 1));
        report.end(Outcome::Ok, None, None);
        assert_eq!(engine.open_requests(), 0);
        // Its capacity is free again: the next request is sent.
        let again = engine.submit(request(1_000_000));
        transport.take().end(Outcome::Ok, None, Some(8));
        assert_eq!(again.answer().await, Answer::Served(8));
    });
}

#[test]
fn a_response_that_starts_after_the_client_disconnected_is_dropped() {
    run_test(async |transport, engine| {
        let pending = engine.submit(request(1_000_000));
        let report = transport.take();
        drop(pending);
        report.response_start().begin(7);
        report.end(Outcome::Cancelled, None, None);
        assert_eq!((engine.open_requests(), transport.sent.borrow().len()), (0, 0));
    });
}

#[test]
fn an_unsafe_request_is_retried_after_an_attempt_that_was_never_written() {
    run_test(async |transport, engine| {
        let pending = engine.submit(request(1_000_000));
        let id = pending.request;
        let _first = transport.take();
        tokio::time::sleep(Duration::from_millis(100)).await;
        engine.with_core(|core, _| core.abort_attempt(id, 0, Outcome::Cancelled));
        tokio::time::sleep(Duration::from_millis(300)).await;
        transport.take().end(Outcome::Ok, None, Some(5));
        assert_eq!(pending.answer().await, Answer::Served(5));
    });
}

#[test]
fn an_attempt_whose_report_is_dropped_counts_as_reset() {
    run_test(async |transport, engine| {
        let pending = engine.submit(request(1_000_000));
        drop(transport.take());
        assert_eq!(pending.answer().await, Answer::Failed(Failure::Upstream));
        assert!(engine.open_requests() == 0 && transport.sent.borrow().is_empty());
    });
}

#[test]
fn the_fallback_timer_answers_when_the_decision_module_does_not() {
    run_test(async |transport, engine| {
        engine.update_list(ListKind::Complete, Vec::new());
        let pending = engine.submit(request(1_000_000));
        // Without its timers the decision module never reconsiders queued requests.
        engine.core.borrow_mut().drop_module_timers();
        let start = Instant::now();
        assert_eq!(pending.answer().await, Answer::Failed(Failure::DeadlineExceeded));
        assert!(start.elapsed() < Duration::from_secs(1), "answered after the client's deadline");
        assert!(engine.open_requests() == 0 && transport.sent.borrow().is_empty());
    });
}

#[test]
fn no_concurrent_attempt_and_none_after_the_answer() {
    run_test(async |transport, engine| {
        let pending = engine.submit(request(1_000_000));
        let id = pending.request;
        engine.with_core(|core, now| core.send_attempt(now, id, 0, 0));
        assert_eq!(transport.sent.borrow().len(), 1);
        transport.take().end(Outcome::Ok, None, Some(5));
        engine.with_core(|core, now| core.send_attempt(now, id, 0, 0));
        assert_eq!(pending.answer().await, Answer::Served(5));
        assert!(transport.sent.borrow().is_empty() && engine.open_requests() == 0);
    });
}

#[test]
fn timers_of_answered_requests_are_pruned() {
    run_test(async |transport, engine| {
        for _ in 0..10 * MIN_PRUNE_THRESHOLD {
            let pending = engine.submit(request(4_000_000));
            transport.take().end(Outcome::Ok, None, Some(5));
            assert_eq!(pending.answer().await, Answer::Served(5));
        }
        assert!(engine.core.borrow().timer_count() <= MIN_PRUNE_THRESHOLD);
    });
}

#[test]
fn an_abandoned_request_is_removed_when_its_attempt_ends() {
    run_test(async |transport, engine| {
        drop(engine.submit(request(1_000_000)));
        assert_eq!(engine.open_requests(), 1);
        transport.take().end(Outcome::Reset, None, None);
        assert!(engine.open_requests() == 0 && transport.sent.borrow().is_empty());
    });
}

#[test]
fn the_time_limit_of_a_streamed_body_starts_with_its_last_byte() {
    run_test(async |transport, engine| {
        transport.body_pending.set(true);
        let pending = engine.submit(request(4_000_000));
        let report = transport.take();
        let receipt = report.body_receipt();
        let start = Instant::now();
        let answer = spawn_local(pending.answer());
        // Far longer than the deadline, but nothing ends the request while its body is being received.
        tokio::time::sleep(Duration::from_secs(20)).await;
        assert!(!answer.is_finished() && engine.open_requests() == 1 && transport.aborted.get() == 0);
        transport.may_have_run.set(true);
        receipt.complete();
        assert_eq!(answer.await.expect("the task ends"), Answer::Failed(Failure::DeadlineExceeded));
        let took = start.elapsed() - Duration::from_secs(20);
        assert!(took > Duration::from_secs(3) && took <= Duration::from_secs(4), "{took:?}");
        assert_eq!(transport.aborted.get(), 1);
        drop(report);
    });
}

#[test]
fn a_call_with_a_consumed_body_is_not_retried() {
    for (outcome, expected) in [
        (Outcome::Full, Answer::Refused { retry_after: 0 }),
        (Outcome::ConnectFailed, Answer::Refused { retry_after: 0 }),
        (Outcome::Reset, Answer::Failed(Failure::Upstream)),
        (Outcome::Error, Answer::Failed(Failure::Upstream)),
    ] {
        run_test(async |transport, engine| {
            transport.body_pending.set(true);
            let pending = engine.submit(request(4_000_000));
            transport.body_consumed.set(true);
            transport.take().end(outcome, None, None);
            assert_eq!(pending.answer().await, expected, "{outcome:?}");
            assert!(transport.sent.borrow().is_empty() && engine.open_requests() == 0);
        });
    }
    // A call whose body has not been consumed is retried.
    run_test(async |transport, engine| {
        transport.body_pending.set(true);
        let pending = engine.submit(request(4_000_000));
        transport.take().end(Outcome::ConnectFailed, None, None);
        while transport.sent.borrow().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        transport.take().end(Outcome::Ok, None, Some(7));
        assert_eq!(pending.answer().await, Answer::Served(7));
    });
}

/// Requests of a safe class. Each row has the time at which retries of the operation are forbidden, the outcomes of
/// the attempts and the expected answer.
#[test]
fn forbidding_retries_prevents_attempts_after_one_that_may_have_run() {
    use Outcome::{ConnectFailed, Ok, Reset};
    /// When retries of the operation are forbidden.
    #[derive(Debug, PartialEq)]
    enum Forbidden {
        Never,
        AttemptInFlight,
        BetweenAttempts,
        /// Retries of another operation are forbidden.
        OtherOperation,
    }
    let rows = [
        (Forbidden::Never, &[Reset, Ok][..], Answer::Served(7)),
        (Forbidden::OtherOperation, &[Reset, Ok], Answer::Served(7)),
        (Forbidden::AttemptInFlight, &[Reset], Answer::Failed(Failure::Upstream)),
        (Forbidden::AttemptInFlight, &[ConnectFailed, Ok], Answer::Served(7)),
        (Forbidden::AttemptInFlight, &[ConnectFailed, Reset], Answer::Failed(Failure::Upstream)),
        (Forbidden::BetweenAttempts, &[Reset], Answer::Failed(Failure::Upstream)),
    ];
    for (forbidden, outcomes, answer) in rows {
        run_test(async |transport, _| {
            let engine = engine_with_upstream(&transport, fs::Effect::Safe);
            spawn_local(engine.clone().run());
            let pending = engine.submit(NewRequest { operation: Some(3), ..request(4_000_000) });
            match forbidden {
                Forbidden::AttemptInFlight => engine.forbid_retry(3),
                Forbidden::OtherOperation => engine.forbid_retry(4),
                _ => {}
            }
            for outcome in outcomes {
                while transport.sent.borrow().is_empty() {
                    // The decision module pauses before the next attempt.
                    tokio::time::sleep(Duration::from_millis(1)).await;
                }
                transport.take().end(*outcome, None, (*outcome == Ok).then_some(7));
                if forbidden == Forbidden::BetweenAttempts {
                    assert!(transport.sent.borrow().is_empty(), "the retry was sent without a pause");
                    engine.forbid_retry(3);
                }
            }
            assert_eq!(pending.answer().await, answer, "{forbidden:?}, {outcomes:?}");
            tokio::time::sleep(Duration::from_secs(10)).await;
            assert_eq!(
                (transport.sent.borrow().len(), engine.open_requests()),
                (0, 0),
                "{forbidden:?}, {outcomes:?}"
            );
        });
    }
}

#[test]
fn disconnecting_during_the_body_aborts_the_attempt() {
    run_test(async |transport, engine| {
        transport.body_pending.set(true);
        let pending = engine.submit(request(4_000_000));
        let _report = transport.take();
        drop(pending);
        assert_eq!((transport.aborted.get(), engine.open_requests()), (1, 0));
    });
}

/// Answers many requests within a millisecond each, so that the decision module limits the next attempt to far less
/// than the time left.
async fn train_latency(transport: &FakeTransport, engine: &Rc<Engine<FakeTransport>>) {
    for _ in 0..200 {
        let pending = engine.submit(request(4_000_000));
        tokio::time::advance(Duration::from_millis(1)).await;
        transport.take().end(Outcome::Ok, None, Some(1));
        assert_eq!(pending.answer().await, Answer::Served(1));
    }
}

#[test]
fn with_cancellation_disabled_attempts_that_may_be_running_are_kept() {
    for disabled in [false, true] {
        run_test(async move |transport, engine| {
            transport.may_have_run.set(true);
            train_latency(&transport, &engine).await;
            let pending = engine.submit(request(4_000_000));
            let report = transport.take();
            if disabled {
                engine.set_cancellation(false);
            }
            tokio::time::sleep(Duration::from_millis(3900)).await;
            // With cancellation enabled the attempt has timed out by now, after a small multiple of the usual
            // millisecond.
            assert_eq!(transport.aborted.get(), u32::from(!disabled));
            report.end(Outcome::Ok, None, Some(9));
            let expected =
                if disabled { Answer::Served(9) } else { Answer::Failed(Failure::DeadlineExceeded) };
            assert_eq!(pending.answer().await, expected);
        });
    }
}

#[test]
fn cancellation_works_after_it_is_enabled_again() {
    run_test(async move |transport, engine| {
        transport.may_have_run.set(true);
        train_latency(&transport, &engine).await;
        // No attempt runs while cancellation is disabled: a long one would make the decision module allow longer
        // timeouts.
        engine.set_cancellation(false);
        engine.set_cancellation(true);
        let pending = engine.submit(request(4_000_000));
        let _report = transport.take();
        tokio::time::sleep(Duration::from_millis(3900)).await;
        assert_eq!(transport.aborted.get(), 1);
        assert_eq!(pending.answer().await, Answer::Failed(Failure::DeadlineExceeded));
    });
}

#[test]
fn disconnecting_aborts_attempts_even_with_cancellation_disabled() {
    for (effect, cancellation) in [
        (fs::Effect::Safe, true),
        (fs::Effect::Safe, false),
        (fs::Effect::Unsafe, true),
        (fs::Effect::Unsafe, false),
    ] {
        run_test_with_effect(effect, async move |transport, engine| {
            engine.cancel_on_disconnect();
            train_latency(&transport, &engine).await;
            engine.set_cancellation(cancellation);
            let pending = engine.submit(request(4_000_000));
            let _report = transport.take();
            drop(pending);
            tokio::time::sleep(Duration::from_millis(10)).await;
            assert_eq!(transport.aborted.get(), 1, "{effect:?}, cancellation: {cancellation}");
        });
    }
}

#[test]
fn requests_that_never_ran_are_refused_if_enabled() {
    for (outcome, enabled, refused) in [
        (Outcome::Full, true, true),
        (Outcome::ConnectFailed, true, true),
        (Outcome::Reset, true, false),
        (Outcome::Full, false, false),
    ] {
        run_test(async move |transport, engine| {
            if enabled {
                engine.refuse_unsent();
            }
            train_latency(&transport, &engine).await;
            // Keeps the attempt in flight until too little time is left for another attempt or a retry by the client.
            engine.set_cancellation(false);
            let pending = engine.submit(request(300_000));
            tokio::time::sleep(Duration::from_micros(289_700)).await;
            transport.take().end(outcome, None, None);
            let answer = pending.answer().await;
            assert_eq!(matches!(answer, Answer::Refused { .. }), refused, "{outcome:?} {answer:?}");
        });
    }
}

#[test]
fn an_error_reply_is_delivered_if_no_later_attempt_succeeds() {
    for (outcome, reply, expected) in [
        (Outcome::Error, Some(500), Answer::Served(500)),
        (Outcome::Error, None, Answer::Failed(Failure::Upstream)),
        // A reset attempt has no valid reply, even if one was reported.
        (Outcome::Reset, Some(500), Answer::Failed(Failure::Upstream)),
    ] {
        run_test(async move |transport, engine| {
            let pending = engine.submit(request(1_000_000));
            transport.take().end(outcome, None, reply);
            assert_eq!(pending.answer().await, expected);
        });
    }
}
