//! Random histories, each choice held against what the rules allow, by a model that looks at everything each time.

use std::collections::BTreeMap;

use sloeline_work::budget::Budget;
use sloeline_work::schedule::{Ended, Job, JobId, Late, Period, Priority, Refused, Retries, SOON, Schedule};

const MS: u64 = 1_000;
const SECOND: u64 = 1_000_000;

fn seed() -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={seed}");
    seed
}

/// What the model knows of a job that has not ended.
#[derive(Clone, Debug)]
struct Known {
    job: Job,
    /// Not before, as far as is known: after a failure it is the schedule's choice.
    due: u64,
    after: Vec<JobId>,
    failures: u32,
    pausing: bool,
}

/// A job, and all that it waits for, has at least this priority; it keeps it when whoever wanted it is taken back.
fn raise(known: &mut BTreeMap<JobId, Known>, id: JobId, priority: Priority) {
    let Some(k) = known.get_mut(&id).filter(|k| k.job.priority < priority) else { return };
    k.job.priority = priority;
    k.after.clone().into_iter().for_each(|id| raise(known, id, priority));
}

#[test]
fn every_choice_in_random_histories_is_one_that_the_rules_allow() {
    let seed = seed();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut turns, mut refused, mut coalesced, mut idle) = (0, 0, 0, 0);
    for history in 0..400 {
        let budgets = vec![
            Budget::new(200_000.0, 20_000.0),
            Budget::new(if rng.bool() { 0.0 } else { 50_000.0 }, if rng.bool() { 0.0 } else { 5_000.0 }),
        ];
        let most = rng.usize(16..64);
        let mut schedule = Schedule::new(most, budgets, rng.u64(..));
        let mut known: BTreeMap<JobId, Known> = BTreeMap::new();
        let mut now = SECOND;
        for _ in 0..200 {
            now += rng.u64(..20 * MS);
            for _ in 0..rng.usize(..4) {
                let mut job = Job::new(
                    ["a", "b"][rng.usize(..2)],
                    rng.u32(..4),
                    [Priority::Background, Priority::Normal, Priority::Critical][rng.usize(..3)],
                );
                job.key = rng.bool().then(|| rng.u64(..4));
                job.earliest = now + rng.u64(..2) * rng.u64(..50 * MS);
                job.deadline = rng.bool().then(|| job.earliest + rng.u64(..100 * MS));
                job.budget = rng.usize(..2);
                job.retries = rng.bool().then_some(Retries { most: 2, pause: 5 * MS });
                if job.key.is_none() {
                    job.after = known.keys().copied().filter(|_| rng.u8(..8) == 0).collect();
                }
                let alike = job.key.and_then(|key| {
                    known
                        .iter()
                        .find(|(_, k)| k.job.kind == job.kind && k.job.key == Some(key))
                        .map(|(id, _)| *id)
                });
                match (schedule.file(now, job.clone()), alike) {
                    (Ok(id), Some(known_as)) => {
                        coalesced += 1;
                        assert_eq!(id, known_as, "history {history}");
                        let k = known.get_mut(&id).expect("it is known");
                        k.due = k.due.min(job.earliest.max(now));
                        k.job.deadline = match (k.job.deadline, job.deadline) {
                            (Some(a), Some(b)) => Some(a.min(b)),
                            (a, b) => a.or(b),
                        };
                        raise(&mut known, id, job.priority);
                    }
                    (Ok(id), None) => {
                        let (due, after) = (job.earliest.max(now), job.after.clone());
                        after.iter().for_each(|other| raise(&mut known, *other, job.priority));
                        known.insert(id, Known { job, due, after, failures: 0, pausing: false });
                    }
                    (Err(why), _) => {
                        refused += 1;
                        let places = if job.priority == Priority::Critical { most } else { most - most / 8 };
                        assert_eq!(why, Refused::Full { most: places });
                        assert!(
                            known.len() >= places && alike.is_none(),
                            "history {history}: {} known",
                            known.len()
                        );
                    }
                }
            }
            if rng.u8(..10) == 0
                && let Some(id) = known.keys().copied().nth(rng.usize(..known.len().max(1)))
            {
                assert!(schedule.cancel(id));
                known.remove(&id);
                known.values_mut().for_each(|k| k.after.retain(|a| *a != id));
            }
            for _ in 0..rng.usize(..4) {
                let open: Vec<bool> = {
                    // As of now: the schedule lets time pass when it is asked.
                    let _ = schedule.file(now, Job { budget: 9, ..Job::new("x", 0, Priority::Normal) });
                    schedule.budgets().iter().map(Budget::open).collect()
                };
                let ready = |k: &Known| !k.pausing && k.due <= now && k.after.is_empty();
                let may = |k: &Known| k.job.priority == Priority::Critical || open[k.job.budget];
                let mut next = schedule.next(now);
                while next.is_none() && schedule.due().is_some_and(|due| due <= now) {
                    next = schedule.next(now);
                }
                let Some(turn) = next else {
                    idle += 1;
                    let left = known.iter().find(|(_, k)| ready(k) && may(k));
                    assert!(left.is_none(), "history {history}: {left:?} is ready, and nothing runs");
                    break;
                };
                turns += 1;
                let k = known[&turn.job].clone();
                assert!(k.pausing || ready(&k), "history {history}: {k:?} at {now}");
                let priority = k.job.priority;
                assert!(priority == Priority::Critical || open[k.job.budget], "history {history}: budget");
                let place = |id: JobId, k: &Known| (k.job.deadline.unwrap_or(u64::MAX), id);
                for (id, other) in known.iter().filter(|(id, o)| **id != turn.job && ready(o)) {
                    let theirs = other.job.priority;
                    // What guards a rule goes first; among those, and within a flow, the earliest deadline.
                    assert!(
                        theirs != Priority::Critical || priority == Priority::Critical,
                        "history {history}"
                    );
                    let same = theirs == priority
                        && (priority == Priority::Critical
                            || (other.job.flow, other.job.budget) == (k.job.flow, k.job.budget));
                    assert!(
                        !same || place(turn.job, &k) < place(*id, other),
                        "history {history}: {k:?} before {other:?}"
                    );
                }
                let ended = [Ended::Done, Ended::Done, Ended::More, Ended::Failed][rng.usize(..4)];
                schedule.ended(now, turn.job, ended, rng.f64() * 3_000.0);
                let k = known.get_mut(&turn.job).expect("it is known");
                match (ended, k.job.retries) {
                    (Ended::More, _) => (k.due, k.pausing) = (now, false),
                    (Ended::Failed, Some(retries)) if k.failures < retries.most => {
                        (k.failures, k.pausing) = (k.failures + 1, true);
                    }
                    _ => {
                        known.remove(&turn.job);
                        known.values_mut().for_each(|k| k.after.retain(|a| *a != turn.job));
                    }
                }
            }
            assert_eq!(schedule.len(), known.len(), "history {history}");
            assert!(schedule.len() <= most);
        }
    }
    println!("{turns} turns, {coalesced} filed as another, {refused} refused, {idle} times nothing to do");
    assert!(turns > 10_000 && refused > 100 && coalesced > 1_000 && idle > 1_000);
}

/// All that is filed is run to its end, one turn after the other; what is told is the kind, and when.
fn drain(schedule: &mut Schedule, now: &mut u64, used: f64, until: u64) -> Vec<(&'static str, u64)> {
    let mut told = Vec::new();
    while *now < until {
        match schedule.next(*now) {
            Some(turn) => {
                told.push((turn.kind, *now));
                *now += used as u64;
                schedule.ended(*now, turn.job, Ended::Done, used);
            }
            None => match schedule.due() {
                Some(due) => *now = due.max(*now + 1),
                None => break,
            },
        }
    }
    told
}

#[test]
fn flows_share_by_weight_whatever_their_numbers() {
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e9, 1e9)], 1);
    schedule.weigh(2, 3.0);
    let mut now = SECOND;
    // A thousand times as many of one, and ten times as dear of another.
    for (kind, flow, n) in [("many", 0, 100_000), ("dear", 1, 1_000), ("heavy", 2, 10_000)] {
        for _ in 0..n {
            schedule.file(now, Job::new(kind, flow, Priority::Normal)).expect("a place");
        }
    }
    let mut used: BTreeMap<&str, f64> = BTreeMap::new();
    for _ in 0..6_000 {
        let turn = schedule.next(now).expect("a turn");
        let cost = if turn.kind == "dear" { 1_000.0 } else { 100.0 };
        *used.entry(turn.kind).or_default() += cost;
        now += cost as u64;
        schedule.ended(now, turn.job, Ended::Done, cost);
    }
    let part = |kind: &str| used[kind] / used.values().sum::<f64>();
    assert!((part("many") - 0.2).abs() < 0.02 && (part("dear") - 0.2).abs() < 0.02, "{used:?}");
    assert!((part("heavy") - 0.6).abs() < 0.02, "{used:?}");
}

/// Each step looks at a bounded number of them, and what guards a rule is among the first whatever its place.
#[test]
fn a_hundred_thousand_that_are_due_at_one_instant_do_not_stand_before_a_rule() {
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e9, 1e9)], 1);
    for n in 0..100_000 {
        let job = Job { earliest: 2 * SECOND, ..Job::new("many", n % 100, Priority::Normal) };
        schedule.file(SECOND, job).expect("a place");
    }
    let guard = Job { earliest: 2 * SECOND, ..Job::new("guard", 0, Priority::Critical) };
    schedule.file(SECOND, guard).expect("a place");
    assert_eq!(schedule.next(2 * SECOND).map(|turn| turn.kind), Some("guard"));
    let mut now = 2 * SECOND;
    assert_eq!(drain(&mut schedule, &mut now, 10.0, 100 * SECOND).len(), 100_000);
}

#[test]
fn nothing_starves() {
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e9, 1e9)], 1);
    let now = SECOND;
    for flow in 0..10 {
        for _ in 0..1_000 {
            schedule.file(now, Job::new("soon", flow, Priority::Normal)).expect("a place");
        }
    }
    for _ in 0..100 {
        schedule.file(now, Job::new("later", 99, Priority::Background)).expect("a place");
    }
    let mut since = 0;
    for _ in 0..400 {
        let turn = schedule.next(now).expect("a turn");
        schedule.ended(now, turn.job, Ended::Done, 100.0);
        since = if turn.kind == "later" { 0 } else { since + 1 };
        assert!(since <= SOON, "{since} turns without one");
    }
}

#[test]
fn a_rule_waits_for_nothing_that_can_wait_and_for_no_budget() {
    let mut schedule = Schedule::new(100, vec![Budget::new(0.0, 0.0), Budget::new(1e6, 1e6)], 1);
    let mut now = SECOND;
    for flow in 0..5 {
        schedule.file(now, Job { budget: 1, ..Job::new("soon", flow, Priority::Normal) }).expect("a place");
    }
    let first = schedule.file(now, Job::new("first", 9, Priority::Background)).expect("a place");
    let second = schedule
        .file(now, Job { after: vec![first], ..Job::new("second", 9, Priority::Background) })
        .expect("a place");
    // Nothing can run on a budget of nothing ...
    let guard = Job { after: vec![second], ..Job::new("guard", 0, Priority::Critical) };
    let told = drain(&mut schedule, &mut now, 10.0, 2 * SECOND);
    assert!(told.iter().all(|(kind, _)| *kind == "soon") && told.len() == 5, "{told:?}");
    assert_eq!((schedule.next(now), schedule.due(), schedule.len()), (None, None, 2));
    // ... but what a rule waits for.
    schedule.file(now, guard).expect("a place");
    let told: Vec<&str> =
        drain(&mut schedule, &mut now, 10.0, 3 * SECOND).into_iter().map(|(kind, _)| kind).collect();
    assert_eq!(told, ["first", "second", "guard"]);
}

#[test]
fn what_is_late_is_left_out_made_up_for_or_caught_up_with() {
    for (late, expected, skipped) in [
        (Late::Skip, vec![1_000, 12_000], 10),
        (Late::Once, vec![1_000, 11_500, 12_000], 9),
        (Late::CatchUp(3), vec![1_000, 11_500, 11_500, 11_500, 12_000], 7),
    ] {
        let mut schedule = Schedule::new(10, vec![Budget::new(1e9, 1e9)], 1);
        let period = Some(Period { every: SECOND, jitter: 0.0, late });
        let mut now = SECOND;
        schedule.file(now, Job { period, ..Job::new("tick", 0, Priority::Normal) }).expect("a place");
        let turn = schedule.next(now).expect("the first");
        let mut at = vec![now / MS];
        schedule.ended(now, turn.job, Ended::Done, 0.0);
        // The clock jumps.
        now = 11_500 * MS;
        while now <= 12 * SECOND {
            match schedule.next(now) {
                Some(turn) => {
                    at.push(now / MS);
                    schedule.ended(now, turn.job, Ended::Done, 0.0);
                }
                None => now = schedule.due().expect("it comes again"),
            }
        }
        assert_eq!((at, schedule.kinds()["tick"].skipped), (expected, skipped), "{late:?}");
    }
    // Back: nothing runs before its time, and nothing twice.
    let mut schedule = Schedule::new(10, vec![Budget::new(1e9, 1e9)], 1);
    let period = Some(Period { every: SECOND, jitter: 0.5, late: Late::Once });
    schedule.file(100 * SECOND, Job { period, ..Job::new("tick", 0, Priority::Normal) }).expect("a place");
    let turn = schedule.next(100 * SECOND).expect("the first");
    schedule.ended(100 * SECOND, turn.job, Ended::Done, 0.0);
    assert!((0..100).all(|s| schedule.next(s * SECOND).is_none()));
    assert!(schedule.next(102 * SECOND).is_some());
}

/// Ten minutes of it: rules are kept in time, the rest waits and is told, and there is no burst when it ends.
#[test]
fn under_pressure_work_gives_way_and_does_not_burst_afterwards() {
    let mut schedule = Schedule::new(10_000, vec![Budget::new(200_000.0, 20_000.0)], 1);
    let tick = |kind, priority, late| Job {
        period: Some(Period { every: 10 * MS, jitter: 0.2, late }),
        deadline: Some(SECOND + 5 * MS),
        ..Job::new(kind, 0, priority)
    };
    schedule.file(SECOND, tick("guard", Priority::Critical, Late::Once)).expect("a place");
    schedule.file(SECOND, tick("rest", Priority::Normal, Late::CatchUp(1_000))).expect("a place");
    let (mut now, mut worst) = (SECOND, 0);
    let mut used = [[0.0; 2]; 3];
    let phases = [60 * SECOND, 660 * SECOND, 720 * SECOND];
    let mut most_after = 0.0_f64;
    let mut window = (0, 0.0);
    while now < phases[2] {
        let phase = phases.iter().position(|end| now < *end).unwrap_or(2);
        schedule.pressure.lap(now, if phase == 1 { 50_000 } else { 40 });
        match schedule.next(now) {
            Some(turn) => {
                if turn.kind == "guard" {
                    worst = worst.max(turn.late);
                }
                used[phase][usize::from(turn.kind == "rest")] += 1_000.0;
                now += MS;
                schedule.ended(now, turn.job, Ended::Done, 1_000.0);
                if phase == 2 {
                    if now / (100 * MS) != window.0 {
                        window = (now / (100 * MS), 0.0);
                    }
                    window.1 += 1_000.0;
                    most_after = most_after.max(window.1);
                }
            }
            None => now = schedule.due().expect("it comes again").clamp(now + 100, now + 10 * MS),
        }
    }
    let rest = used.map(|u| u[1]);
    println!(
        "rest used {rest:?} us before, under and after; a rule was late by {worst} us at the most; {most_after} us in the worst 100 ms after"
    );
    assert!(worst <= 2 * MS, "{worst}");
    // A thirty-second part of the budget, less what the rules use of it, in ten times the time.
    assert!(rest[1] / 10.0 < rest[0] / 5.0, "{rest:?}");
    // A fifth of a core and what may gather.
    assert!(most_after <= 20_000.0 + 20_000.0 + 1_000.0, "{most_after}");
    let skipped = schedule.kinds()["rest"].skipped;
    assert!(skipped > 0, "what was left out is told");
}

#[test]
fn a_job_that_is_filed_again_while_it_runs_runs_once_more_behind_the_others() {
    let mut schedule = Schedule::new(100, vec![Budget::new(1e9, 1e9)], 1);
    let now = SECOND;
    let own = Job { key: Some(7), ..Job::new("own", 0, Priority::Normal) };
    let id = schedule.file(now, own.clone()).expect("a place");
    for _ in 0..3 {
        schedule.file(now, Job::new("other", 1, Priority::Normal)).expect("a place");
    }
    let mut kinds = Vec::new();
    let mut own_runs = 0;
    while let Some(turn) = schedule.next(now) {
        kinds.push(turn.kind);
        if turn.kind == "own" {
            own_runs += 1;
            // It files itself, ten times over.
            if own_runs < 3 {
                (0..10).for_each(|_| assert_eq!(schedule.file(now, own.clone()), Ok(id)));
            }
        }
        schedule.ended(now, turn.job, Ended::Done, 100.0);
    }
    assert_eq!((own_runs, schedule.len()), (3, 0));
    assert!(kinds[..4].contains(&"other"), "{kinds:?}");
    // Taken back while it runs: it ends with its turn, and is not run again.
    let id = schedule.file(now, own.clone()).expect("a place");
    schedule.next(now).expect("a turn");
    schedule.file(now, own).expect("the same");
    assert!(schedule.cancel(id) && schedule.cancelled(id));
    schedule.ended(now, id, Ended::More, 1.0);
    assert_eq!((schedule.next(now), schedule.len()), (None, 0));
}
