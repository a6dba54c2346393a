//! Checks the order of turns against a reference model that scans all jobs for every turn, and single rules of the schedule
//! on fixed scenarios.

use std::collections::BTreeMap;

use sloeline_work::budget::Budget;
use sloeline_work::schedule::{
    Job, JobId, MissedRuns, NORMAL_TURNS_PER_BACKGROUND, Period, Priority, Rejection, RetryPolicy, Schedule,
    TurnOutcome,
};

/// Microseconds in a millisecond.
const MS: u64 = 1_000;
/// Microseconds in a second.
const SECOND: u64 = 1_000_000;

/// Seed of the random test: the environment variable `SEED`, or a random number. Prints it for reproduction.
fn seed() -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={seed}");
    seed
}

/// A job that has not ended, in the reference model.
#[derive(Clone, Debug)]
struct ModelJob {
    /// The job as submitted, with the priority raised by dependent jobs and the deadline of merged submissions.
    job: Job,
    /// Earliest start as far as the model knows it; the schedule draws the delay before a retry.
    due: u64,
    /// Unfinished jobs that this job depends on.
    dependencies: Vec<JobId>,
    /// Consecutive failed attempts.
    failures: u32,
    /// Whether the job waits for a retry at a time that the schedule has drawn.
    retry_pending: bool,
}

/// Gives a job, and all jobs that it depends on, at least this priority. The priority stays when the dependent job is
/// cancelled.
fn raise_priority(model: &mut BTreeMap<JobId, ModelJob>, id: JobId, priority: Priority) {
    let Some(k) = model.get_mut(&id).filter(|k| k.job.priority < priority) else { return };
    k.job.priority = priority;
    k.dependencies.clone().into_iter().for_each(|id| raise_priority(model, id, priority));
}

#[test]
fn random_histories_match_reference_model() {
    let seed = seed();
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut turns, mut refused, mut coalesced, mut idle) = (0, 0, 0, 0);
    for history in 0..400 {
        let budgets = vec![
            Budget::new(200_000.0, 20_000.0),
            Budget::new(if rng.bool() { 0.0 } else { 50_000.0 }, if rng.bool() { 0.0 } else { 5_000.0 }),
        ];
        let capacity = rng.usize(16..64);
        let mut schedule = Schedule::new(capacity, budgets, rng.u64(..));
        let mut model: BTreeMap<JobId, ModelJob> = BTreeMap::new();
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
                job.not_before = now + rng.u64(..2) * rng.u64(..50 * MS);
                job.deadline = rng.bool().then(|| job.not_before + rng.u64(..100 * MS));
                job.budget = rng.usize(..2);
                job.retry = rng.bool().then_some(RetryPolicy { max_retries: 2, base_delay: 5 * MS });
                if job.key.is_none() {
                    job.dependencies = model.keys().copied().filter(|_| rng.u8(..8) == 0).collect();
                }
                let existing = job.key.and_then(|key| {
                    model
                        .iter()
                        .find(|(_, k)| k.job.kind == job.kind && k.job.key == Some(key))
                        .map(|(id, _)| *id)
                });
                match (schedule.submit(now, job.clone()), existing) {
                    (Ok(id), Some(existing_id)) => {
                        coalesced += 1;
                        assert_eq!(id, existing_id, "history {history}");
                        let k = model.get_mut(&id).expect("the model knows the job");
                        k.due = k.due.min(job.not_before.max(now));
                        k.job.deadline = match (k.job.deadline, job.deadline) {
                            (Some(a), Some(b)) => Some(a.min(b)),
                            (a, b) => a.or(b),
                        };
                        raise_priority(&mut model, id, job.priority);
                    }
                    (Ok(id), None) => {
                        let (due, dependencies) = (job.not_before.max(now), job.dependencies.clone());
                        dependencies
                            .iter()
                            .for_each(|other| raise_priority(&mut model, *other, job.priority));
                        model.insert(
                            id,
                            ModelJob { job, due, dependencies, failures: 0, retry_pending: false },
                        );
                    }
                    (Err(why), _) => {
                        refused += 1;
                        let places = if job.priority == Priority::Critical {
                            capacity
                        } else {
                            capacity - capacity / 8
                        };
                        assert_eq!(why, Rejection::Full { most: places });
                        assert!(
                            model.len() >= places && existing.is_none(),
                            "history {history}: {} unfinished jobs",
                            model.len()
                        );
                    }
                }
            }
            if rng.u8(..10) == 0
                && let Some(id) = model.keys().copied().nth(rng.usize(..model.len().max(1)))
            {
                assert!(schedule.cancel(id));
                model.remove(&id);
                model.values_mut().for_each(|k| k.dependencies.retain(|a| *a != id));
            }
            for _ in 0..rng.usize(..4) {
                let open: Vec<bool> = {
                    // Submitting to a budget that does not exist is rejected, but advances the schedule's clock to `now`.
                    let _ = schedule.submit(now, Job { budget: 9, ..Job::new("x", 0, Priority::Normal) });
                    schedule.budgets().iter().map(Budget::is_open).collect()
                };
                let ready = |k: &ModelJob| !k.retry_pending && k.due <= now && k.dependencies.is_empty();
                let budget_allows = |k: &ModelJob| k.job.priority == Priority::Critical || open[k.job.budget];
                let mut next = schedule.next_turn(now);
                while next.is_none() && schedule.next_due().is_some_and(|due| due <= now) {
                    next = schedule.next_turn(now);
                }
                let Some(turn) = next else {
                    idle += 1;
                    let left = model.iter().find(|(_, k)| ready(k) && budget_allows(k));
                    assert!(left.is_none(), "history {history}: {left:?} is ready, but no turn was started");
                    break;
                };
                turns += 1;
                let k = model[&turn.job].clone();
                assert!(k.retry_pending || ready(&k), "history {history}: {k:?} at {now}");
                let priority = k.job.priority;
                assert!(priority == Priority::Critical || open[k.job.budget], "history {history}: budget");
                let place = |id: JobId, k: &ModelJob| (k.job.deadline.unwrap_or(u64::MAX), id);
                for (id, other) in model.iter().filter(|(id, o)| **id != turn.job && ready(o)) {
                    let other_priority = other.job.priority;
                    // Critical jobs go first. Among critical jobs, and within a flow, the earliest deadline goes first.
                    assert!(
                        other_priority != Priority::Critical || priority == Priority::Critical,
                        "history {history}"
                    );
                    let same_queue = other_priority == priority
                        && (priority == Priority::Critical
                            || (other.job.flow, other.job.budget) == (k.job.flow, k.job.budget));
                    assert!(
                        !same_queue || place(turn.job, &k) < place(*id, other),
                        "history {history}: {k:?} before {other:?}"
                    );
                }
                let ended =
                    [TurnOutcome::Done, TurnOutcome::Done, TurnOutcome::Unfinished, TurnOutcome::Failed]
                        [rng.usize(..4)];
                schedule.end_turn(now, turn.job, ended, rng.f64() * 3_000.0);
                let k = model.get_mut(&turn.job).expect("the model knows the job");
                match (ended, k.job.retry) {
                    (TurnOutcome::Unfinished, _) => (k.due, k.retry_pending) = (now, false),
                    (TurnOutcome::Failed, Some(retry)) if k.failures < retry.max_retries => {
                        (k.failures, k.retry_pending) = (k.failures + 1, true);
                    }
                    _ => {
                        model.remove(&turn.job);
                        model.values_mut().for_each(|k| k.dependencies.retain(|a| *a != turn.job));
                    }
                }
            }
            assert_eq!(schedule.len(), model.len(), "history {history}");
            assert!(schedule.len() <= capacity);
        }
    }
    println!(
        "{turns} turns, {coalesced} merged submissions, {refused} rejected submissions, {idle} times no turn"
    );
    assert!(turns > 10_000 && refused > 100 && coalesced > 1_000 && idle > 1_000);
}

/// Runs all submitted jobs until `until`, each in one turn that uses `used` microseconds. Returns the kind and the start time
/// of each turn.
fn drain(schedule: &mut Schedule, now: &mut u64, used: f64, until: u64) -> Vec<(&'static str, u64)> {
    let mut turns = Vec::new();
    while *now < until {
        match schedule.next_turn(*now) {
            Some(turn) => {
                turns.push((turn.kind, *now));
                *now += used as u64;
                schedule.end_turn(*now, turn.job, TurnOutcome::Done, used);
            }
            None => match schedule.next_due() {
                Some(due) => *now = due.max(*now + 1),
                None => break,
            },
        }
    }
    turns
}

#[test]
fn flows_share_by_weight_regardless_of_job_count() {
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e9, 1e9)], 1);
    schedule.set_weight(2, 3.0);
    let mut now = SECOND;
    // Flow 0 has 100 times as many jobs as flow 1, whose jobs cost 10 times as much.
    for (kind, flow, n) in [("many", 0, 100_000), ("expensive", 1, 1_000), ("heavy", 2, 10_000)] {
        for _ in 0..n {
            schedule
                .submit(now, Job::new(kind, flow, Priority::Normal))
                .expect("the schedule has a free place");
        }
    }
    let mut used: BTreeMap<&str, f64> = BTreeMap::new();
    for _ in 0..6_000 {
        let turn = schedule.next_turn(now).expect("a turn starts");
        let cost = if turn.kind == "expensive" { 1_000.0 } else { 100.0 };
        *used.entry(turn.kind).or_default() += cost;
        now += cost as u64;
        schedule.end_turn(now, turn.job, TurnOutcome::Done, cost);
    }
    let share = |kind: &str| used[kind] / used.values().sum::<f64>();
    assert!((share("many") - 0.2).abs() < 0.02 && (share("expensive") - 0.2).abs() < 0.02, "{used:?}");
    assert!((share("heavy") - 0.6).abs() < 0.02, "{used:?}");
}

/// Each step makes a bounded number of due jobs ready; a critical job is among them wherever it is in the queue.
#[test]
fn critical_job_runs_before_100000_jobs_due_at_same_time() {
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e9, 1e9)], 1);
    for n in 0..100_000 {
        let job = Job { not_before: 2 * SECOND, ..Job::new("many", n % 100, Priority::Normal) };
        schedule.submit(SECOND, job).expect("the schedule has a free place");
    }
    let guard = Job { not_before: 2 * SECOND, ..Job::new("critical", 0, Priority::Critical) };
    schedule.submit(SECOND, guard).expect("the schedule has a free place");
    assert_eq!(schedule.next_turn(2 * SECOND).map(|turn| turn.kind), Some("critical"));
    let mut now = 2 * SECOND;
    assert_eq!(drain(&mut schedule, &mut now, 10.0, 100 * SECOND).len(), 100_000);
}

#[test]
fn background_job_runs_within_starvation_bound() {
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e9, 1e9)], 1);
    let now = SECOND;
    for flow in 0..10 {
        for _ in 0..1_000 {
            schedule
                .submit(now, Job::new("normal", flow, Priority::Normal))
                .expect("the schedule has a free place");
        }
    }
    for _ in 0..100 {
        schedule
            .submit(now, Job::new("background", 99, Priority::Background))
            .expect("the schedule has a free place");
    }
    let mut since = 0;
    for _ in 0..400 {
        let turn = schedule.next_turn(now).expect("a turn starts");
        schedule.end_turn(now, turn.job, TurnOutcome::Done, 100.0);
        since = if turn.kind == "background" { 0 } else { since + 1 };
        assert!(since <= NORMAL_TURNS_PER_BACKGROUND, "{since} turns without a background job");
    }
}

#[test]
fn critical_job_waits_for_no_budget_and_raises_its_dependencies() {
    let mut schedule = Schedule::new(100, vec![Budget::new(0.0, 0.0), Budget::new(1e6, 1e6)], 1);
    let mut now = SECOND;
    for flow in 0..5 {
        schedule
            .submit(now, Job { budget: 1, ..Job::new("normal", flow, Priority::Normal) })
            .expect("the schedule has a free place");
    }
    let first = schedule
        .submit(now, Job::new("first", 9, Priority::Background))
        .expect("the schedule has a free place");
    let second = schedule
        .submit(now, Job { dependencies: vec![first], ..Job::new("second", 9, Priority::Background) })
        .expect("the schedule has a free place");
    // Jobs on a budget with rate 0 never run by themselves.
    let guard = Job { dependencies: vec![second], ..Job::new("critical", 0, Priority::Critical) };
    let turns = drain(&mut schedule, &mut now, 10.0, 2 * SECOND);
    assert!(turns.iter().all(|(kind, _)| *kind == "normal") && turns.len() == 5, "{turns:?}");
    assert_eq!((schedule.next_turn(now), schedule.next_due(), schedule.len()), (None, None, 2));
    // They run when a critical job depends on them.
    schedule.submit(now, guard).expect("the schedule has a free place");
    let kinds: Vec<&str> =
        drain(&mut schedule, &mut now, 10.0, 3 * SECOND).into_iter().map(|(kind, _)| kind).collect();
    assert_eq!(kinds, ["first", "second", "critical"]);
}

#[test]
fn missed_runs_are_skipped_or_made_up_for() {
    for (missed_runs, expected, skipped) in [
        (MissedRuns::Skip, vec![1_000, 12_000], 10),
        (MissedRuns::RunOnce, vec![1_000, 11_500, 12_000], 9),
        (MissedRuns::CatchUp(3), vec![1_000, 11_500, 11_500, 11_500, 12_000], 7),
    ] {
        let mut schedule = Schedule::new(10, vec![Budget::new(1e9, 1e9)], 1);
        let period = Some(Period { interval: SECOND, jitter: 0.0, missed_runs });
        let mut now = SECOND;
        schedule
            .submit(now, Job { period, ..Job::new("tick", 0, Priority::Normal) })
            .expect("the schedule has a free place");
        let turn = schedule.next_turn(now).expect("the first run starts");
        let mut runs_ms = vec![now / MS];
        schedule.end_turn(now, turn.job, TurnOutcome::Done, 0.0);
        // The clock jumps forwards.
        now = 11_500 * MS;
        while now <= 12 * SECOND {
            match schedule.next_turn(now) {
                Some(turn) => {
                    runs_ms.push(now / MS);
                    schedule.end_turn(now, turn.job, TurnOutcome::Done, 0.0);
                }
                None => now = schedule.next_due().expect("the periodic job is due again"),
            }
        }
        assert_eq!((runs_ms, schedule.kinds()["tick"].skipped), (expected, skipped), "{missed_runs:?}");
    }
    // The clock jumps backwards: no run starts before its scheduled time, and none starts twice.
    let mut schedule = Schedule::new(10, vec![Budget::new(1e9, 1e9)], 1);
    let period = Some(Period { interval: SECOND, jitter: 0.5, missed_runs: MissedRuns::RunOnce });
    schedule
        .submit(100 * SECOND, Job { period, ..Job::new("tick", 0, Priority::Normal) })
        .expect("the schedule has a free place");
    let turn = schedule.next_turn(100 * SECOND).expect("the first run starts");
    schedule.end_turn(100 * SECOND, turn.job, TurnOutcome::Done, 0.0);
    assert!((0..100).all(|s| schedule.next_turn(s * SECOND).is_none()));
    assert!(schedule.next_turn(102 * SECOND).is_some());
}

/// During 10 minutes of pressure, critical jobs run in time and other jobs are delayed or skipped, which the counters show.
/// There is no burst when the pressure ends.
#[test]
fn work_yields_under_pressure_without_burst_afterwards() {
    let mut schedule = Schedule::new(10_000, vec![Budget::new(200_000.0, 20_000.0)], 1);
    let tick = |kind, priority, missed_runs| Job {
        period: Some(Period { interval: 10 * MS, jitter: 0.2, missed_runs }),
        deadline: Some(SECOND + 5 * MS),
        ..Job::new(kind, 0, priority)
    };
    schedule
        .submit(SECOND, tick("critical", Priority::Critical, MissedRuns::RunOnce))
        .expect("the schedule has a free place");
    schedule
        .submit(SECOND, tick("rest", Priority::Normal, MissedRuns::CatchUp(1_000)))
        .expect("the schedule has a free place");
    let (mut now, mut max_late) = (SECOND, 0);
    let mut used = [[0.0; 2]; 3];
    let phases = [60 * SECOND, 660 * SECOND, 720 * SECOND];
    let mut max_window_use_after = 0.0_f64;
    let mut window = (0, 0.0);
    while now < phases[2] {
        let phase = phases.iter().position(|end| now < *end).unwrap_or(2);
        schedule.pressure.record_lag(now, if phase == 1 { 50_000 } else { 40 });
        match schedule.next_turn(now) {
            Some(turn) => {
                if turn.kind == "critical" {
                    max_late = max_late.max(turn.late_by);
                }
                used[phase][usize::from(turn.kind == "rest")] += 1_000.0;
                now += MS;
                schedule.end_turn(now, turn.job, TurnOutcome::Done, 1_000.0);
                if phase == 2 {
                    if now / (100 * MS) != window.0 {
                        window = (now / (100 * MS), 0.0);
                    }
                    window.1 += 1_000.0;
                    max_window_use_after = max_window_use_after.max(window.1);
                }
            }
            None => {
                now = schedule
                    .next_due()
                    .expect("the periodic job is due again")
                    .clamp(now + 100, now + 10 * MS)
            }
        }
    }
    let rest = used.map(|u| u[1]);
    println!(
        "rest used {rest:?} us before, during and after the pressure; critical turns were late by at most {max_late} us; {max_window_use_after} us in the busiest 100 ms afterwards"
    );
    assert!(max_late <= 2 * MS, "{max_late}");
    // Under pressure the budget drops to 1/32 of its rate, less the critical jobs' use; the phase is 10 times as long.
    assert!(rest[1] / 10.0 < rest[0] / 5.0, "{rest:?}");
    // 100 ms at the rate of 20 % of a core, plus the capacity of the budget, plus one turn.
    assert!(max_window_use_after <= 20_000.0 + 20_000.0 + 1_000.0, "{max_window_use_after}");
    let skipped = schedule.kinds()["rest"].skipped;
    assert!(skipped > 0, "skipped runs are counted");
}

#[test]
fn job_submitted_again_during_its_turn_runs_once_more_behind_others() {
    let mut schedule = Schedule::new(100, vec![Budget::new(1e9, 1e9)], 1);
    let now = SECOND;
    let own = Job { key: Some(7), ..Job::new("own", 0, Priority::Normal) };
    let id = schedule.submit(now, own.clone()).expect("the schedule has a free place");
    for _ in 0..3 {
        schedule.submit(now, Job::new("other", 1, Priority::Normal)).expect("the schedule has a free place");
    }
    let mut kinds = Vec::new();
    let mut own_runs = 0;
    while let Some(turn) = schedule.next_turn(now) {
        kinds.push(turn.kind);
        if turn.kind == "own" {
            own_runs += 1;
            // The job submits itself again, 10 times.
            if own_runs < 3 {
                (0..10).for_each(|_| assert_eq!(schedule.submit(now, own.clone()), Ok(id)));
            }
        }
        schedule.end_turn(now, turn.job, TurnOutcome::Done, 100.0);
    }
    assert_eq!((own_runs, schedule.len()), (3, 0));
    assert!(kinds[..4].contains(&"other"), "{kinds:?}");
    // A job cancelled during its turn ends with the turn and does not run again.
    let id = schedule.submit(now, own.clone()).expect("the schedule has a free place");
    schedule.next_turn(now).expect("a turn starts");
    schedule.submit(now, own).expect("the job is merged with the running one");
    assert!(schedule.cancel(id) && schedule.is_cancelled(id));
    schedule.end_turn(now, id, TurnOutcome::Unfinished, 1.0);
    assert_eq!((schedule.next_turn(now), schedule.len()), (None, 0));
}
