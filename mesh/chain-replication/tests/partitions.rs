//! While a voter is being replaced, the network is partitioned: the head and the new machine on one side, the
//! other two machines on the other side. The test repeats this for many moments of the replacement. Only one
//! side may continue, whatever has been accepted by then.

#[allow(dead_code)]
mod simulation;

use simulation::{Defect, Simulation};

/// When the voter is killed and the new machine starts, in milliseconds.
const REPLACED_AT_MS: u64 = 1_500;
/// How long the replaced voter stays down before it returns, in milliseconds.
const REPLACED_VOTER_DOWNTIME_MS: u64 = 3_000;
/// How long the partition lasts, in milliseconds.
const PARTITION_DURATION_MS: u64 = 5_000;

/// Runs the simulation until the given time or the first failure, with random updates and reads.
fn run_until(simulation: &mut Simulation, until: u64) {
    while simulation.now < until && simulation.failure.is_none() {
        if simulation.rng.u8(..) < 32 {
            let machine = simulation.rng.usize(..simulation.machines.len());
            let read = simulation.rng.bool();
            if simulation.machines[machine].node.is_some() {
                simulation.submit(machine, read);
            }
        }
        simulation.step();
    }
}

/// Runs one partition during a replacement and returns the failure, if any.
fn run_partition(defect: Defect, partitioned_at: u64, seed: u64) -> Option<String> {
    let mut simulation = Simulation::new(3, seed, defect);
    simulation.connections_break = false;
    run_until(&mut simulation, REPLACED_AT_MS);
    simulation.kill(2, true, REPLACED_VOTER_DOWNTIME_MS);
    simulation.add_learner(REPLACED_AT_MS);
    run_until(&mut simulation, partitioned_at);
    simulation.partition(&[0, 3], PARTITION_DURATION_MS);
    run_until(&mut simulation, partitioned_at + PARTITION_DURATION_MS);
    simulation.recover();
    simulation.outcome().failure
}

/// Partition times from before the voter set change until well after its view is established.
fn partition_times() -> impl Iterator<Item = u64> {
    (REPLACED_AT_MS + 400..REPLACED_AT_MS + 3_500).step_by(6)
}

#[test]
fn only_one_side_continues_when_partitioned_during_a_replacement() {
    let mut histories = 0;
    for partitioned_at in partition_times() {
        for seed in 0..4 {
            let failure = run_partition(Defect::None, partitioned_at, seed);
            assert!(
                failure.is_none(),
                "partitioned at {partitioned_at}, seed {seed}: {}",
                failure.unwrap_or_default()
            );
            histories += 1;
        }
    }
    println!("{histories} histories");
}

#[test]
fn missing_outgoing_majority_and_replaced_proposer_are_detected() {
    for defect in [Defect::OutgoingMajorityIgnored, Defect::ReplacedReplicaProposes] {
        let detected = partition_times()
            .flat_map(|partitioned_at| (0..4).map(move |seed| (partitioned_at, seed)))
            .find_map(|(partitioned_at, seed)| {
                let failure = run_partition(defect, partitioned_at, seed)?;
                failure
                    .contains("is missing")
                    .then(|| format!("partitioned at {partitioned_at}, seed {seed}: {failure}"))
            });
        println!("{defect:?}: {}", detected.unwrap_or_else(|| panic!("{defect:?} was not detected")));
    }
}
