//! What a job costs the scheduler, from filing to its end, with 10 and with 100,000 in the queue.
//! `cargo bench -p sloeline-work`.

use std::time::Instant;

use sloeline_work::budget::Budget;
use sloeline_work::schedule::{Ended, Job, Priority, Schedule};

fn main() {
    for (queued, flows) in [(10, 4), (1_000, 100), (100_000, 4), (100_000, 10_000)] {
        let mut schedule = Schedule::new(2 * queued + 100, vec![Budget::new(1e12, 1e12)], 1);
        let file = |schedule: &mut Schedule, n: usize| {
            let priority = [Priority::Background, Priority::Normal, Priority::Critical]
                [usize::from(n % 16 < 8) + usize::from(n.is_multiple_of(64))];
            let mut job = Job::new("job", (n % flows) as u32, priority);
            (job.key, job.deadline) =
                ((n.is_multiple_of(2)).then_some(n as u64), (n.is_multiple_of(3)).then_some(n as u64));
            schedule.file(1_000_000, job).expect("a place");
        };
        (0..queued).for_each(|n| file(&mut schedule, n));
        let jobs = 500_000;
        let start = Instant::now();
        for n in 0..jobs {
            file(&mut schedule, queued + n);
            let turn = schedule.next(1_000_000).expect("a turn");
            schedule.ended(1_000_000, turn.job, Ended::Done, 10.0);
        }
        println!(
            "{queued} queued in {flows} flows: {:.0} ns a job",
            start.elapsed().as_nanos() as f64 / jobs as f64
        );
    }
    let mut schedule = Schedule::new(200_000, vec![Budget::new(1e12, 1e12)], 1);
    for n in 0..100_000 {
        let job = Job { earliest: 2_000_000, ..Job::new("job", n % 100, Priority::Normal) };
        schedule.file(1_000_000, job).expect("a place");
    }
    let start = Instant::now();
    let first = schedule.next(2_000_000).expect("a turn");
    println!(
        "100,000 due at one instant: {:.1} ms until the first begins",
        start.elapsed().as_secs_f64() * 1e3
    );
    schedule.ended(2_000_000, first.job, Ended::Done, 10.0);
}
