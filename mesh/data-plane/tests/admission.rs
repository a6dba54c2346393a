//! Tests of admission control without I/O: which requests are admitted, queued and rejected, and that the upstream never has
//! more requests than slots.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sloeline_data_plane::admission::{AdmissionQueue, Arrival, State, Verdict};

/// Microseconds per millisecond.
const MS: u64 = 1_000;

/// A request with these times, in milliseconds, and a short response.
fn arrival(kind: u64, time_to_target: u64, time_left: u64) -> Arrival {
    Arrival {
        kind,
        priority: 2,
        time_to_target: time_to_target * MS,
        time_left: time_left * MS,
        max_wait: time_left * MS * 45 / 100,
        link_wait: 0,
        link_time: 0,
    }
}

/// An admission queue for two slots that has learned the processing times of two kinds: 100 ms for kind 1 and 10 ms for
/// kind 2.
fn with_learned_means() -> AdmissionQueue {
    let mut admission = AdmissionQueue::default();
    admission.set_upstream(State::Open, 2);
    for kind in [1, 2] {
        assert_eq!(admission.arrive(0, arrival(kind, 300, 2000)), Verdict::Admit);
        let took = if kind == 1 { 100 * MS } else { 10 * MS };
        assert!(admission.complete(0, kind, Some(took)).is_empty());
    }
    admission
}

/// As [`with_learned_means`], with both slots of the upstream in use.
fn full() -> AdmissionQueue {
    let mut admission = with_learned_means();
    for _ in 0..2 {
        assert_eq!(admission.arrive(0, arrival(1, 300, 2000)), Verdict::Admit);
    }
    admission
}

/// Expects that a request is queued; returns its number.
fn expect_queued(admission: &mut AdmissionQueue, now: u64, arrival: Arrival) -> u64 {
    match admission.arrive(now, arrival) {
        Verdict::Queue(number) => number,
        other => panic!("{arrival:?} was not queued but got {other:?}"),
    }
}

#[test]
fn requests_that_can_meet_their_targets_are_admitted_before_late_ones() {
    let mut admission = full();
    let late = expect_queued(&mut admission, 0, arrival(1, 40, 2000));
    let distant_target = expect_queued(&mut admission, 0, arrival(1, 900, 2000));
    let near_target = expect_queued(&mut admission, 0, arrival(1, 400, 2000));
    let short = expect_queued(&mut admission, 0, arrival(2, 60, 250));
    let mut order = Vec::new();
    while order.len() < 4 {
        order.extend(admission.complete(MS, 1, None));
    }
    assert_eq!(order, [short, near_target, distant_target, late]);
}

#[test]
fn higher_priority_goes_first_among_requests_in_time_and_among_late_ones() {
    let mut admission = full();
    let with_priority =
        |priority: u8, time_to_target: u64| Arrival { priority, ..arrival(1, time_to_target, 2000) };
    let late = expect_queued(&mut admission, 0, with_priority(2, 40));
    let late_high_priority = expect_queued(&mut admission, 0, with_priority(0, 40));
    let near_target = expect_queued(&mut admission, 0, with_priority(2, 500));
    let high_priority = expect_queued(&mut admission, 0, with_priority(0, 900));
    let mut order = Vec::new();
    while order.len() < 4 {
        order.extend(admission.complete(MS, 1, None));
    }
    assert_eq!(order, [high_priority, near_target, late_high_priority, late]);
}

#[test]
fn a_high_priority_request_is_not_rejected_because_of_lower_priorities() {
    let mut admission = full();
    while matches!(admission.arrive(0, arrival(1, 300, 2000)), Verdict::Queue(_)) {}
    let high_priority = Arrival { priority: 0, ..arrival(1, 1000, 1000) };
    let number = expect_queued(&mut admission, 0, high_priority);
    assert_eq!(admission.complete(MS, 1, None), [number]);
}

#[test]
fn short_requests_are_never_put_behind_long_ones() {
    let mut admission = full();
    let long = expect_queued(&mut admission, 0, arrival(1, 900, 2000));
    // Its latency target is in the past, but its sender holds a slot elsewhere while it waits.
    let short = expect_queued(&mut admission, 0, arrival(2, 0, 250));
    assert_eq!(admission.complete(MS, 1, None), [short]);
    assert_eq!(admission.complete(MS, 1, None), [long]);
}

/// Requests that are in time use both slots. Late requests would only wait until they expire, so after a while they are
/// rejected on arrival.
#[test]
fn late_requests_are_rejected_on_arrival_while_requests_in_time_use_all_slots() {
    let mut admission = full();
    let late = |now: u64| (now, arrival(1, 0, 1000));
    let (mut queued, mut rejected) = (0, 0);
    for round in 1..100 {
        let now = round * 50 * MS;
        expect_queued(&mut admission, now, arrival(1, 400, 2000));
        let (at, request) = late(now);
        match admission.arrive(at, request) {
            Verdict::Queue(_) => queued += 1,
            Verdict::Reject(_) => rejected += 1,
            other => panic!("{other:?}"),
        }
        admission.expire(now);
        assert_eq!(admission.complete(now, 1, None).len(), 1, "the request in time is admitted");
    }
    assert!(rejected > 2 * queued, "{queued} late requests were queued, {rejected} were rejected on arrival");
    // There is room again: the queued late request is admitted, and then others after it.
    let mut now = 6_000 * MS;
    for _ in 0..20 {
        admission.expire(now);
        let (at, request) = late(now);
        if let Verdict::Queue(number) = admission.arrive(at, request) {
            assert_eq!(admission.complete(now, 1, None), [number]);
        }
        now += 50 * MS;
    }
    let numbers = [late(now), late(now)].map(|(at, request)| expect_queued(&mut admission, at, request));
    assert_eq!(numbers.len(), 2);
}

/// The wait for the link is deliberately added to the processing time. If the backlog were assumed to shrink during
/// processing, the link would get more than it carries.
#[test]
fn a_request_with_a_long_response_is_only_admitted_if_the_link_can_carry_it_in_time() {
    let long = |link_wait: u64, time_to_target: u64| Arrival {
        link_wait: link_wait * MS,
        link_time: 50 * MS,
        ..arrival(1, time_to_target, 2000)
    };
    // 100 ms of processing, then the wait for the link, then 50 ms of transmission.
    let decide = |arrival| with_learned_means().arrive(0, arrival);
    assert_eq!(decide(long(0, 200)), Verdict::Admit);
    assert_eq!(decide(long(300, 450)), Verdict::Admit);
    assert_eq!(decide(long(300, 440)), Verdict::Reject(300 * MS));
    // A request that misses its target anyway is only admitted if hardly anything waits for the link.
    assert_eq!(decide(long(20, 0)), Verdict::Admit);
    assert_eq!(decide(long(60, 0)), Verdict::Reject(60 * MS));
    assert_eq!(decide(long(1990, 5000)), Verdict::Reject(1990 * MS), "its sender stops waiting earlier");
}

/// The sender of a short request holds a slot elsewhere while it waits.
#[test]
fn short_requests_go_before_long_ones_with_nearer_targets() {
    let mut admission = full();
    let mut near_target = Vec::new();
    while let Verdict::Queue(number) = admission.arrive(0, arrival(1, 320, 2000)) {
        near_target.push(number);
        if near_target.len() == 4 {
            break;
        }
    }
    // The long requests must be admitted by 220 ms to meet their targets, the short one within 90 ms from now.
    let short = expect_queued(&mut admission, 200 * MS, arrival(2, 100, 250));
    assert_eq!(admission.complete(201 * MS, 1, None), [short]);
    assert_eq!(admission.complete(202 * MS, 2, None), near_target[..1]);
}

#[test]
fn a_request_that_would_wait_too_long_is_rejected_with_the_expected_wait() {
    let mut admission = full();
    let (mut queued, mut rejection) = (0, None);
    while rejection.is_none() {
        match admission.arrive(0, arrival(1, 300, 2000)) {
            Verdict::Queue(_) => queued += 1,
            Verdict::Reject(wait) => rejection = Some(wait),
            other => panic!("{other:?}"),
        }
    }
    // The maximum wait is 0.45 of 2000 ms. With two requests of 100 ms at a time, about 17 requests fit.
    assert!((10..=20).contains(&queued), "{queued} are queued");
    assert!(rejection.is_some_and(|wait| wait >= 800 * MS), "{rejection:?}");
    // A request that may wait longer is still queued.
    assert!(matches!(admission.arrive(0, arrival(1, 300, 20_000)), Verdict::Queue(_)));
}

#[test]
fn a_queued_request_expires_before_its_sender_stops_waiting() {
    let mut admission = full();
    let number = expect_queued(&mut admission, 0, arrival(2, 100, 200));
    let expiry = admission.next_expiry().expect("a request is queued");
    assert!(expiry <= 90 * MS, "queued until {expiry}");
    assert!(admission.expire(expiry - 1).is_empty());
    assert_eq!(admission.expire(expiry), [number]);
    assert_eq!(admission.queued(), 0);
}

#[test]
fn a_closing_upstream_accepts_no_new_requests_and_finishes_queued_ones() {
    let mut admission = full();
    let number = expect_queued(&mut admission, 0, arrival(1, 900, 2000));
    admission.set_upstream(State::Closing, 2);
    assert_eq!(admission.arrive(0, arrival(1, 900, 2000)), Verdict::Closed);
    assert_eq!(admission.complete(MS, 1, None), [number]);
    // A request that would stay queued longer than the upstream is still sent requests expires earlier.
    let mut admission = full();
    let number = expect_queued(&mut admission, 0, arrival(1, 20_000, 60_000));
    admission.limit_expiry(1000 * MS);
    admission.set_upstream(State::Closing, 2);
    assert_eq!(admission.next_expiry(), Some(1000 * MS));
    assert!(admission.expire(999 * MS).is_empty());
    assert_eq!(admission.expire(1000 * MS), [number]);
    let mut admission = full();
    let number = expect_queued(&mut admission, 0, arrival(1, 900, 2000));
    admission.set_upstream(State::Absent, 2);
    assert!(admission.complete(MS, 1, None).is_empty());
    assert_eq!(admission.expire(MS), [number]);
}

/// One event in the life of an admission queue.
#[derive(Clone, Debug)]
enum Step {
    /// A request arrives; the times are in milliseconds.
    Arrive { kind: u64, time_to_target: u64, time_left: u64 },
    /// An admitted request ends after this time in milliseconds.
    Complete { took: u64 },
    /// Time passes.
    Pass { ms: u64 },
    /// The sender of a queued request disconnects.
    Cancel { which: usize },
    /// The upstream reports its state and its number of slots.
    SetUpstream { open: bool, slots: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u64::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=4 => Step::Arrive { kind: n % 3, time_to_target: n / 3 % 900, time_left: n / 2700 % 3000 },
            5 | 6 => Step::Complete { took: n % 400 },
            7 => Step::Pass { ms: n % 300 },
            8 => Step::Cancel { which: n as usize },
            _ => Step::SetUpstream { open: n % 3 > 0, slots: n as usize % 5 + 1 },
        }
    }
}

quickcheck! {
    fn every_queued_request_is_decided_once_and_slots_are_never_exceeded(steps: Vec<Step>) -> bool {
        let mut admission = AdmissionQueue::default();
        let (mut now, mut max_slots, mut in_flight) = (0, 2, 0_usize);
        let mut waiting: Vec<u64> = Vec::new();
        admission.set_upstream(State::Open, 2);
        for step in steps {
            let admitted = match step {
                Step::Arrive { kind, time_to_target, time_left } => match admission.arrive(now, arrival(kind, time_to_target, time_left)) {
                    Verdict::Admit => {
                        in_flight += 1;
                        Vec::new()
                    }
                    Verdict::Queue(number) => {
                        waiting.push(number);
                        Vec::new()
                    }
                    _ => Vec::new(),
                },
                Step::Complete { took } if in_flight > 0 => {
                    in_flight -= 1;
                    admission.complete(now, took % 3, Some(took * MS))
                }
                Step::Complete { .. } => Vec::new(),
                Step::Pass { ms } => {
                    now += ms * MS;
                    let expired = admission.expire(now);
                    let known = expired.iter().all(|n| waiting.contains(n));
                    waiting.retain(|n| !expired.contains(n));
                    if !known {
                        return false;
                    }
                    admission.admit_queued(now)
                }
                Step::Cancel { which } => {
                    if !waiting.is_empty() {
                        admission.remove(waiting.swap_remove(which % waiting.len()));
                    }
                    Vec::new()
                }
                Step::SetUpstream { open, slots } => {
                    admission.set_upstream(if open { State::Open } else { State::Closing }, slots);
                    max_slots = max_slots.max(slots);
                    admission.admit_queued(now)
                }
            };
            // Every admitted request was queued, and is not queued any more.
            if !admitted.iter().all(|n| waiting.contains(n)) {
                return false;
            }
            waiting.retain(|n| !admitted.contains(n));
            in_flight += admitted.len();
            if in_flight != admission.in_flight() || waiting.len() != admission.queued() || in_flight > max_slots {
                return false;
            }
        }
        true
    }
}
