//! Measures the scheduler's cost per job, from submission to the end of its turn, with 10 to 100,000 jobs queued, and the
//! delay of the first turn when 100,000 jobs become due at the same time. Run with `cargo bench -p sloeline-work`.

use std::time::Instant;

use sloeline_work::budget::Budget;
use sloeline_work::schedule::{Job, Priority, Schedule, TurnOutcome};

fn main() {
    for (queued, flows) in [(10, 4), (1_000, 100), (100_000, 4), (100_000, 10_000)] {
        let mut schedule = Schedule::new(2 * queued + 100, vec![Budget::new(1e12, 1e12)], 1);
        let submit = |schedule: &mut Schedule, n: usize| {
            let priority = [Priority::Background, Priority::Normal, Priority::Critical]
                [usize::from(n % 16 < 8) + usize::from(n.is_multiple_of(64))];
            let mut job = Job::new("job", (n % flows) as u32, priority);
            (job.key, job.deadline) =
                ((n.is_multiple_of(2)).then_some(n as u64), (n.is_multiple_of(3)).then_some(n as u64));
            schedule.submit(1_000_000, job).expect("the schedule has a free place");
        };
        (0..queued).for_each(|n| submit(&mut schedule, n));
        let jobs = 500_000;
        let start = Instant::now();
        for n in 0..jobs {
            submit(&mut schedule, queued + n);
            let turn = schedule.next_turn(1_000_000).expect("a turn starts");
            schedule.end_turn(1_000_000, turn.job, TurnOutcome::Done, 10.0);
        }
        println!(
            "{queued} queued in {flows} flows: {:.0} ns per job",
            start.elapsed().as_nanos() as f64 / jobs as f64
        );
    }
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e12, 1e12)], 1);
    for n in 0..100_000 {
        let job = Job { not_before: 2_000_000, ..Job::new("job", n % 100, Priority::Normal) };
        schedule.submit(1_000_000, job).expect("the schedule has a free place");
    }
    let start = Instant::now();
    let first = schedule.next_turn(2_000_000).expect("a turn starts");
    println!(
        "100,000 jobs due at the same time: {:.1} ms until the first turn starts",
        start.elapsed().as_secs_f64() * 1e3
    );
    schedule.end_turn(2_000_000, first.job, TurnOutcome::Done, 10.0);
}
