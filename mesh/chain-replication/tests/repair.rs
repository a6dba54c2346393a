//! Exhaustive small cases: three machines, a new machine and two updates. The first fault is a replacement, a
//! planned shutdown or a lost disk; a second fault of each kind hits each machine at every step of the
//! repair. Acknowledged updates must be kept. Once the replacement has had time to synchronize, the second
//! machine may be lost for good, and updates must still go through.
//!
//! Run with smaller time steps:
//! `STEP_MS=5 cargo test --release -p sloeline-chain-replication --test repair -- --nocapture`

#[allow(dead_code)]
mod simulation;

use simulation::{CATCH_UP_TIME_MS, Defect, Simulation};

/// When the first machine fails, in milliseconds.
const FIRST_FAULT_AT_MS: u64 = 1_500;
/// A replacement machine starts this long after the old machine is gone, in milliseconds.
const REPLACEMENT_DELAY_MS: u64 = 1_000;
/// An update must be acknowledged within this time after a tolerable fault, in milliseconds.
const MAX_RECOVERY_MS: u64 = 3_500;

/// The fault that starts a repair.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FirstFault {
    /// The machine is lost for good, and an empty machine starts at another address.
    Replaced,
    /// A replacement machine starts first; then the machine shuts down and never returns.
    PlannedLeave,
    /// The machine returns with an empty disk.
    DiskLost,
}

/// The fault that occurs during the repair.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SecondFault {
    /// The process is killed and restarts; its disk keeps all writes.
    Kill,
    /// The machine loses power and restarts; writes that were not synced may be lost.
    PowerLoss,
    /// The machine never returns.
    GoneForGood,
}

/// Two faults, the machines that they hit and the time between them.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// The fault that starts the repair.
    first: FirstFault,
    /// The machine hit by the first fault.
    first_machine: usize,
    /// The fault during the repair.
    second: SecondFault,
    /// The machine hit by the second fault.
    second_machine: usize,
    /// Time of the second fault after the first one, in milliseconds.
    second_at: u64,
}

/// Interval between the tested fault times: `STEP_MS` from the environment, or 60 milliseconds.
fn step_ms() -> u64 {
    std::env::var("STEP_MS").ok().and_then(|n| n.parse().ok()).unwrap_or(60)
}

/// Time after the first fault by which its replacement must be a full member, in milliseconds.
fn replacement_ready_after(first: FirstFault) -> u64 {
    match first {
        FirstFault::Replaced | FirstFault::DiskLost => REPLACEMENT_DELAY_MS + CATCH_UP_TIME_MS,
        FirstFault::PlannedLeave => CATCH_UP_TIME_MS,
    }
}

/// All combinations of faults, machines and times.
fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for first in [FirstFault::Replaced, FirstFault::PlannedLeave, FirstFault::DiskLost] {
        for second in [SecondFault::Kill, SecondFault::PowerLoss, SecondFault::GoneForGood] {
            let from = if second == SecondFault::GoneForGood { replacement_ready_after(first) } else { 0 };
            let to = replacement_ready_after(first) + 600;
            for first_machine in 0..3 {
                let replacement = if first == FirstFault::DiskLost { first_machine } else { 3 };
                for second_machine in (0..3).filter(|at| *at != first_machine).chain([replacement]) {
                    for second_at in (from..to).step_by(step_ms() as usize) {
                        cases.push(Case { first, first_machine, second, second_machine, second_at });
                    }
                }
            }
        }
    }
    cases
}

/// Runs the simulation until the given time or the first failure. Returns the number of steps.
fn run_until(simulation: &mut Simulation, until: u64) -> u64 {
    let mut steps = 0;
    while simulation.now < until && simulation.failure.is_none() {
        simulation.step();
        steps += 1;
    }
    steps
}

/// Causes the first fault of a case.
fn inject_first_fault(simulation: &mut Simulation, case: &Case) {
    match case.first {
        FirstFault::Replaced => simulation.replace(case.first_machine, 0),
        FirstFault::PlannedLeave => {
            simulation.add_learner(simulation.now);
            simulation.leave_for_good(case.first_machine);
        }
        FirstFault::DiskLost => simulation.lose_disk(case.first_machine, REPLACEMENT_DELAY_MS),
    }
}

/// Runs one case. Returns the failure, if any, and the number of simulation steps.
fn run_case(case: &Case) -> (Option<String>, u64) {
    let mut simulation = Simulation::new(3, case.second_at, Defect::None);
    simulation.connections_break = false;
    let mut steps = run_until(&mut simulation, FIRST_FAULT_AT_MS - 300);
    let first_update = simulation.submit(0, false);
    steps += run_until(&mut simulation, FIRST_FAULT_AT_MS);
    assert!(
        simulation.acknowledged.contains(&first_update),
        "the first update is acknowledged before any fault"
    );
    inject_first_fault(&mut simulation, case);
    steps += run_until(&mut simulation, FIRST_FAULT_AT_MS + case.second_at);
    match case.second {
        SecondFault::Kill => simulation.kill(case.second_machine, false, 400),
        SecondFault::PowerLoss => simulation.kill(case.second_machine, true, 400),
        SecondFault::GoneForGood => simulation.lose_for_good(case.second_machine),
    }
    let survivor = (0..3).find(|at| *at != case.first_machine && *at != case.second_machine).unwrap_or(3);
    let deadline = simulation.now + MAX_RECOVERY_MS;
    let mut submitted = Vec::new();
    while simulation.now < deadline && simulation.failure.is_none() {
        if !submitted.iter().any(|id| simulation.acknowledged.contains(id)) && submitted.len() < 20 {
            submitted.push(simulation.submit(survivor, false));
        }
        let until = simulation.now + 200;
        steps += run_until(&mut simulation, until);
    }
    let acknowledged = submitted.iter().any(|id| simulation.acknowledged.contains(id));
    if !acknowledged {
        simulation
            .fail(format!("nothing was acknowledged within {MAX_RECOVERY_MS} ms after the second fault"));
    }
    if simulation.copies(first_update) < 2 {
        simulation.fail("fewer than two disks hold the first update".to_owned());
    }
    simulation.recover_within(4_000);
    (simulation.outcome().failure, steps)
}

#[test]
fn second_fault_at_any_step_of_a_repair_loses_nothing() {
    let cases = cases();
    let workers = std::thread::available_parallelism().map_or(2, usize::from);
    let steps: u64 = std::thread::scope(|scope| {
        let work = |worker: usize| {
            let mut steps = 0;
            for case in cases.iter().skip(worker).step_by(workers) {
                let (failure, more) = run_case(case);
                steps += more;
                assert!(failure.is_none(), "{case:?}: {}", failure.unwrap_or_default());
            }
            steps
        };
        let threads: Vec<_> = (0..workers).map(|worker| scope.spawn(move || work(worker))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a worker thread failed")).sum()
    });
    println!("{} cases, {steps} steps", cases.len());
}
