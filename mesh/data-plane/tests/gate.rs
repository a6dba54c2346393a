//! The gate as a machine without I/O: who goes, who waits, who is turned away, and that the upstream is never given more
//! than it may have.

use quickcheck::{Arbitrary, Gen, quickcheck};
use sloeline_data_plane::admission::{AdmissionQueue, Arrival, State, Verdict};

const MS: u64 = 1_000;

fn arrival(kind: u64, aim: u64, left: u64) -> Arrival {
    Arrival {
        kind,
        priority: 2,
        time_to_target: aim * MS,
        time_left: left * MS,
        max_wait: left * MS * 45 / 100,
        link_wait: 0,
        link_time: 0,
    }
}

/// A gate of two slots that has learned how long two kinds take: 100 ms and 10 ms.
fn learned() -> AdmissionQueue {
    let mut gate = AdmissionQueue::default();
    gate.set_upstream(State::Open, 2);
    for kind in [1, 2] {
        assert_eq!(gate.arrive(0, arrival(kind, 300, 2000)), Verdict::Go);
        let took = if kind == 1 { 100 * MS } else { 10 * MS };
        assert!(gate.complete(0, kind, Some(took)).is_empty());
    }
    gate
}

/// The same with its upstream full.
fn full() -> AdmissionQueue {
    let mut gate = learned();
    for _ in 0..2 {
        assert_eq!(gate.arrive(0, arrival(1, 300, 2000)), Verdict::Go);
    }
    gate
}

fn waits(gate: &mut AdmissionQueue, now: u64, arrival: Arrival) -> u64 {
    match gate.arrive(now, arrival) {
        Verdict::Wait(number) => number,
        other => panic!("{arrival:?} got {other:?}"),
    }
}

#[test]
fn those_in_time_for_their_aim_go_before_those_that_are_late() {
    let mut gate = full();
    let late = waits(&mut gate, 0, arrival(1, 40, 2000));
    let relaxed = waits(&mut gate, 0, arrival(1, 900, 2000));
    let pressed = waits(&mut gate, 0, arrival(1, 400, 2000));
    let short = waits(&mut gate, 0, arrival(2, 60, 250));
    let mut order = Vec::new();
    while order.len() < 4 {
        order.extend(gate.complete(MS, 1, None));
    }
    assert_eq!(order, [short, pressed, relaxed, late]);
}

#[test]
fn what_is_more_urgent_goes_first_among_those_in_time_and_among_those_late() {
    let mut gate = full();
    let ranked = |priority: u8, aim: u64| Arrival { priority, ..arrival(1, aim, 2000) };
    let late = waits(&mut gate, 0, ranked(2, 40));
    let late_urgent = waits(&mut gate, 0, ranked(0, 40));
    let pressed = waits(&mut gate, 0, ranked(2, 500));
    let urgent = waits(&mut gate, 0, ranked(0, 900));
    let mut order = Vec::new();
    while order.len() < 4 {
        order.extend(gate.complete(MS, 1, None));
    }
    assert_eq!(order, [urgent, pressed, late_urgent, late]);
}

#[test]
fn an_urgent_request_is_not_turned_away_for_those_that_it_goes_before() {
    let mut gate = full();
    while matches!(gate.arrive(0, arrival(1, 300, 2000)), Verdict::Wait(_)) {}
    let urgent = Arrival { priority: 0, ..arrival(1, 1000, 1000) };
    let number = waits(&mut gate, 0, urgent);
    assert_eq!(gate.complete(MS, 1, None), [number]);
}

#[test]
fn what_is_short_beside_the_others_is_never_put_behind_them() {
    let mut gate = full();
    let long = waits(&mut gate, 0, arrival(1, 900, 2000));
    // Its own aim is past, and whoever waits for it holds a place elsewhere.
    let short = waits(&mut gate, 0, arrival(2, 0, 250));
    assert_eq!(gate.complete(MS, 1, None), [short]);
    assert_eq!(gate.complete(MS, 1, None), [long]);
}

/// Two slots, all of whose places go to requests in time: late ones wait in vain, and are told so at once after a while.
#[test]
fn late_requests_are_turned_away_at_once_while_those_in_time_take_all_places() {
    let mut gate = full();
    let late = |now: u64| (now, arrival(1, 0, 1000));
    let (mut waited, mut refused) = (0, 0);
    for round in 1..100 {
        let now = round * 50 * MS;
        waits(&mut gate, now, arrival(1, 400, 2000));
        let (at, request) = late(now);
        match gate.arrive(at, request) {
            Verdict::Wait(_) => waited += 1,
            Verdict::Full(_) => refused += 1,
            other => panic!("{other:?}"),
        }
        gate.expire(now);
        assert_eq!(gate.complete(now, 1, None).len(), 1, "the one in time");
    }
    assert!(refused > 2 * waited, "{waited} late ones waited, {refused} were told at once");
    // There is room again: whoever waits to see that goes, and others after it.
    let mut now = 6_000 * MS;
    for _ in 0..20 {
        gate.expire(now);
        let (at, request) = late(now);
        if let Verdict::Wait(number) = gate.arrive(at, request) {
            assert_eq!(gate.complete(now, 1, None), [number]);
        }
        now += 50 * MS;
    }
    let numbers = [late(now), late(now)].map(|(at, request)| waits(&mut gate, at, request));
    assert_eq!(numbers.len(), 2);
}

/// The link's backlog is added to all else, on purpose: reckoned as if it shrank meanwhile it was given more than it carries.
#[test]
fn a_long_answer_is_only_begun_where_the_link_can_carry_it_in_time() {
    let long = |link_wait: u64, aim: u64| Arrival {
        link_wait: link_wait * MS,
        link_time: 50 * MS,
        ..arrival(1, aim, 2000)
    };
    // 100 ms with the upstream, then what waits for the link, then 50 ms on it.
    let told = |arrival| learned().arrive(0, arrival);
    assert_eq!(told(long(0, 200)), Verdict::Go);
    assert_eq!(told(long(300, 450)), Verdict::Go);
    assert_eq!(told(long(300, 440)), Verdict::Full(300 * MS));
    // Late whatever happens: only where nothing else waits for the link.
    assert_eq!(told(long(20, 0)), Verdict::Go);
    assert_eq!(told(long(60, 0)), Verdict::Full(60 * MS));
    assert_eq!(told(long(1990, 5000)), Verdict::Full(1990 * MS), "its sender waits for less");
}

/// Whoever waits for a short one holds a place elsewhere for as long.
#[test]
fn what_is_short_goes_before_longer_ones_however_pressed_they_are() {
    let mut gate = full();
    let mut pressed = Vec::new();
    while let Verdict::Wait(number) = gate.arrive(0, arrival(1, 320, 2000)) {
        pressed.push(number);
        if pressed.len() == 4 {
            break;
        }
    }
    // Their aims leave them 220 ms to begin, this one's 90 ms from now.
    let short = waits(&mut gate, 200 * MS, arrival(2, 100, 250));
    assert_eq!(gate.complete(201 * MS, 1, None), [short]);
    assert_eq!(gate.complete(202 * MS, 2, None), pressed[..1]);
}

#[test]
fn whoever_would_wait_too_long_is_told_at_once_when_there_may_be_room() {
    let mut gate = full();
    let (mut waiting, mut told) = (0, None);
    while told.is_none() {
        match gate.arrive(0, arrival(1, 300, 2000)) {
            Verdict::Wait(_) => waiting += 1,
            Verdict::Full(wait) => told = Some(wait),
            other => panic!("{other:?}"),
        }
    }
    // 0.45 of 2000 ms, at two of 100 ms at a time: about 17 of them.
    assert!((10..=20).contains(&waiting), "{waiting} wait");
    assert!(told.is_some_and(|wait| wait >= 800 * MS), "{told:?}");
    // One that may wait for longer still gets in.
    assert!(matches!(gate.arrive(0, arrival(1, 300, 20_000)), Verdict::Wait(_)));
}

#[test]
fn a_request_that_waits_is_turned_away_before_its_sender_stops_waiting() {
    let mut gate = full();
    let number = waits(&mut gate, 0, arrival(2, 100, 200));
    let due = gate.due().expect("one waits");
    assert!(due <= 90 * MS, "held to {due}");
    assert!(gate.expire(due - 1).is_empty());
    assert_eq!(gate.expire(due), [number]);
    assert_eq!(gate.queued(), 0);
}

#[test]
fn an_upstream_that_closes_takes_nothing_new_and_finishes_what_waits() {
    let mut gate = full();
    let number = waits(&mut gate, 0, arrival(1, 900, 2000));
    gate.set_upstream(State::Closing, 2);
    assert_eq!(gate.arrive(0, arrival(1, 900, 2000)), Verdict::Closed);
    assert_eq!(gate.complete(MS, 1, None), [number]);
    // But not for long: what waits far longer than an upstream may still be sent something is turned away.
    let mut gate = full();
    let number = waits(&mut gate, 0, arrival(1, 20_000, 60_000));
    gate.close_by(1000 * MS);
    gate.set_upstream(State::Closing, 2);
    assert_eq!(gate.due(), Some(1000 * MS));
    assert!(gate.expire(999 * MS).is_empty());
    assert_eq!(gate.expire(1000 * MS), [number]);
    let mut gate = full();
    let number = waits(&mut gate, 0, arrival(1, 900, 2000));
    gate.set_upstream(State::Absent, 2);
    assert!(gate.complete(MS, 1, None).is_empty());
    assert_eq!(gate.expire(MS), [number]);
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { kind: u64, aim: u64, left: u64 },
    Leave { took: u64 },
    Pass { ms: u64 },
    Forget { which: usize },
    Set { open: bool, slots: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let n = u64::arbitrary(g);
        match u8::arbitrary(g) % 10 {
            0..=4 => Step::Arrive { kind: n % 3, aim: n / 3 % 900, left: n / 2700 % 3000 },
            5 | 6 => Step::Leave { took: n % 400 },
            7 => Step::Pass { ms: n % 300 },
            8 => Step::Forget { which: n as usize },
            _ => Step::Set { open: n % 3 > 0, slots: n as usize % 5 + 1 },
        }
    }
}

quickcheck! {
    fn everybody_is_told_once_and_the_upstream_never_has_more_than_it_may(steps: Vec<Step>) -> bool {
        let mut gate = AdmissionQueue::default();
        let (mut now, mut most, mut working) = (0, 2, 0_usize);
        let mut waiting: Vec<u64> = Vec::new();
        gate.set_upstream(State::Open, 2);
        for step in steps {
            let go = match step {
                Step::Arrive { kind, aim, left } => match gate.arrive(now, arrival(kind, aim, left)) {
                    Verdict::Go => {
                        working += 1;
                        Vec::new()
                    }
                    Verdict::Wait(number) => {
                        waiting.push(number);
                        Vec::new()
                    }
                    _ => Vec::new(),
                },
                Step::Leave { took } if working > 0 => {
                    working -= 1;
                    gate.complete(now, took % 3, Some(took * MS))
                }
                Step::Leave { .. } => Vec::new(),
                Step::Pass { ms } => {
                    now += ms * MS;
                    let late = gate.expire(now);
                    let known = late.iter().all(|n| waiting.contains(n));
                    waiting.retain(|n| !late.contains(n));
                    if !known {
                        return false;
                    }
                    gate.fill(now)
                }
                Step::Forget { which } => {
                    if !waiting.is_empty() {
                        gate.forget(waiting.swap_remove(which % waiting.len()));
                    }
                    Vec::new()
                }
                Step::Set { open, slots } => {
                    gate.set_upstream(if open { State::Open } else { State::Closing }, slots);
                    most = most.max(slots);
                    gate.fill(now)
                }
            };
            // Each of them waited, and waits no more.
            if !go.iter().all(|n| waiting.contains(n)) {
                return false;
            }
            waiting.retain(|n| !go.contains(n));
            working += go.len();
            if working != gate.in_flight() || waiting.len() != gate.queued() || working > most {
                return false;
            }
        }
        true
    }
}
