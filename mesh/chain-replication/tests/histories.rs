//! Random histories with message loss, network partitions, process kills, power and disk loss, replacements,
//! learners and planned shutdowns, checked against a simple specification: acknowledged updates are kept for
//! good and in one order, a read sees everything acknowledged before it began, and a machine that holds a
//! lease is up to date.
//!
//! Run more histories with:
//! `HISTORIES=1000000 cargo test --release -p sloeline-chain-replication --test histories`

#[allow(dead_code)]
mod simulation;

use simulation::{Defect, Simulation};

/// The number of histories to run: `HISTORIES` from the environment, or the default.
fn histories(default: u64) -> u64 {
    std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Runs histories in parallel. Returns the total number of updates, views, voter sets and lease checks.
fn run_histories(machines: usize, count: u64) -> [u64; 4] {
    let workers = std::thread::available_parallelism().map_or(2, usize::from) as u64;
    std::thread::scope(|scope| {
        let work = |worker: u64| {
            let mut sums = [0; 4];
            for seed in (worker..count).step_by(workers as usize) {
                let outcome = Simulation::new(machines, seed, Defect::None).run_history();
                if let Some(failure) = outcome.failure {
                    panic!("{machines} machines, seed {seed}: {failure}");
                }
                for (sum, more) in
                    sums.iter_mut().zip([outcome.acknowledged, outcome.views, outcome.sets, outcome.leases])
                {
                    *sum += more;
                }
            }
            sums
        };
        let threads: Vec<_> = (0..workers).map(|worker| scope.spawn(move || work(worker))).collect();
        let mut sums = [0; 4];
        for thread in threads {
            let more = thread.join().expect("a worker thread failed");
            sums.iter_mut().zip(more).for_each(|(sum, more)| *sum += more);
        }
        println!("{count} histories of {machines} machines: {sums:?} updates, views, voter sets, leases");
        sums
    })
}

#[test]
fn acknowledged_updates_survive_faults_and_are_read() {
    let count = histories(3000);
    let [acknowledged, views, sets, leases] = run_histories(3, count);
    // Guards against histories in which nothing happens: updates must be acknowledged, views and voter sets
    // must change, and leases must be used.
    assert!(acknowledged > 10 * count && views > 2 * count && sets > count && leases > 10 * count);
}

#[test]
fn acknowledged_updates_survive_with_one_to_seven_machines() {
    for machines in [1, 2, 4, 5, 6, 7] {
        run_histories(machines, histories(3000) / 10);
    }
}

/// The first history in which a defect is detected. Most defects must cause data loss. A learner that is
/// active too early loses nothing, but it stalls the chain because updates must have no gaps.
fn first_detection(defect: Defect) -> Option<(u64, String)> {
    let only_stalls = defect == Defect::LearnerActiveTooEarly;
    (0..8_000).find_map(|seed| {
        let failure = Simulation::new(3, seed, defect).run_history().failure?;
        (only_stalls || failure.contains("is missing")).then_some((seed, failure))
    })
}

#[test]
fn histories_detect_defects() {
    let all = [
        Defect::UnsyncedWritesReported,
        Defect::LostDiskKeepsIdentity,
        Defect::TruncatedSnapshot,
        Defect::LearnerActiveTooEarly,
        Defect::ClockSetBack,
    ];
    std::thread::scope(|scope| {
        let threads = all.map(|defect| (defect, scope.spawn(move || first_detection(defect))));
        for (defect, thread) in threads {
            let detected = thread.join().expect("a worker thread failed");
            let (after, failure) = detected.unwrap_or_else(|| panic!("{defect:?} was not detected"));
            println!("{defect:?}: detected after {after} histories, {failure}");
        }
    });
}

/// Runs one history and prints every step: `REPLAY=machines:seed cargo test ... replay -- --nocapture`.
#[test]
fn replay() {
    let Ok(selected) = std::env::var("REPLAY") else { return };
    let (machines, seed) = selected.split_once(':').expect("machines:seed");
    let mut simulation = Simulation::new(
        machines.parse().expect("a number of machines"),
        seed.parse().expect("a numeric seed"),
        Defect::None,
    );
    simulation.trace = true;
    let outcome = simulation.run_history();
    println!("{:?}", outcome.failure);
}
