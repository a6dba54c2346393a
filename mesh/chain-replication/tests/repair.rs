//! Small cases, exhaustively: three machines and a successor, two updates, one replacement, planned leave or lost disk, and
//! one more loss of each kind and of each machine at every step of the repair. What was acknowledged stays; once the
//! successor has had its time, the other loss may be for good and updates go on.
//!
//! `STEP_MS=5 cargo test --release -p sloeline-chain-replication --test repair -- --nocapture` goes in finer steps.

#[allow(dead_code)]
mod world;

use world::{Doctored, SYNC_TIME, World};

/// When the first machine goes, in milliseconds.
const FIRST_LOSS: u64 = 1_500;
/// A successor starts so long after its predecessor is gone.
const SUCCESSOR_AFTER: u64 = 1_000;
/// An update must be acknowledged so soon after a loss that may be borne.
const GOES_ON_WITHIN: u64 = 3_500;

#[derive(Clone, Copy, Debug, PartialEq)]
enum First {
    /// Gone for good; an empty machine comes at another address.
    Replaced,
    /// A successor comes first; then it is told to end, and is gone for good.
    PlannedLeave,
    /// It comes back with an empty disk.
    DiskLost,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Second {
    Kill,
    PowerLoss,
    GoneForGood,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    first: First,
    first_machine: usize,
    second: Second,
    second_machine: usize,
    /// After the first loss, in milliseconds.
    second_at: u64,
}

fn step_ms() -> u64 {
    std::env::var("STEP_MS").ok().and_then(|n| n.parse().ok()).unwrap_or(60)
}

/// When the machine that takes the place of the first has had its time, after the first loss.
fn counts_after(first: First) -> u64 {
    match first {
        First::Replaced | First::DiskLost => SUCCESSOR_AFTER + SYNC_TIME,
        First::PlannedLeave => SYNC_TIME,
    }
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for first in [First::Replaced, First::PlannedLeave, First::DiskLost] {
        for second in [Second::Kill, Second::PowerLoss, Second::GoneForGood] {
            let from = if second == Second::GoneForGood { counts_after(first) } else { 0 };
            let to = counts_after(first) + 600;
            for first_machine in 0..3 {
                let newcomer = if first == First::DiskLost { first_machine } else { 3 };
                for second_machine in (0..3).filter(|at| *at != first_machine).chain([newcomer]) {
                    for second_at in (from..to).step_by(step_ms() as usize) {
                        cases.push(Case { first, first_machine, second, second_machine, second_at });
                    }
                }
            }
        }
    }
    cases
}

fn run_until(world: &mut World, until: u64) -> u64 {
    let mut steps = 0;
    while world.now < until && world.wrong.is_none() {
        world.step();
        steps += 1;
    }
    steps
}

fn first_loss(world: &mut World, case: &Case) {
    match case.first {
        First::Replaced => world.replace(case.first_machine, 0),
        First::PlannedLeave => {
            world.add_learner(world.now);
            world.leave_for_good(case.first_machine);
        }
        First::DiskLost => world.lose_disk(case.first_machine, SUCCESSOR_AFTER),
    }
}

/// What went wrong, and how many steps there were.
fn play(case: &Case) -> (Option<String>, u64) {
    let mut world = World::new(3, case.second_at, Doctored::No);
    world.breaks = false;
    let mut steps = run_until(&mut world, FIRST_LOSS - 300);
    let first_update = world.ask(0, false);
    steps += run_until(&mut world, FIRST_LOSS);
    assert!(world.acknowledged.contains(&first_update), "the first update is acknowledged while all is well");
    first_loss(&mut world, case);
    steps += run_until(&mut world, FIRST_LOSS + case.second_at);
    match case.second {
        Second::Kill => world.kill(case.second_machine, false, 400),
        Second::PowerLoss => world.kill(case.second_machine, true, 400),
        Second::GoneForGood => world.lose_for_good(case.second_machine),
    }
    let left = (0..3).find(|at| *at != case.first_machine && *at != case.second_machine).unwrap_or(3);
    let deadline = world.now + GOES_ON_WITHIN;
    let mut asked = Vec::new();
    while world.now < deadline && world.wrong.is_none() {
        if !asked.iter().any(|id| world.acknowledged.contains(id)) && asked.len() < 20 {
            asked.push(world.ask(left, false));
        }
        let until = world.now + 200;
        steps += run_until(&mut world, until);
    }
    let acknowledged = asked.iter().any(|id| world.acknowledged.contains(id));
    if !acknowledged {
        world.fail(format!("nothing was acknowledged within {GOES_ON_WITHIN} ms after the second loss"));
    }
    if world.copies(first_update) < 2 {
        world.fail("fewer than two disks hold the first update".to_owned());
    }
    world.calm_for(4_000);
    (world.told().wrong, steps)
}

#[test]
fn one_more_loss_at_every_step_of_a_repair_loses_nothing() {
    let cases = cases();
    let workers = std::thread::available_parallelism().map_or(2, usize::from);
    let steps: u64 = std::thread::scope(|scope| {
        let work = |worker: usize| {
            let mut steps = 0;
            for case in cases.iter().skip(worker).step_by(workers) {
                let (wrong, more) = play(case);
                steps += more;
                assert!(wrong.is_none(), "{case:?}: {}", wrong.unwrap_or_default());
            }
            steps
        };
        let threads: Vec<_> = (0..workers).map(|worker| scope.spawn(move || work(worker))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a case went wrong")).sum()
    });
    println!("{} cases, {steps} states", cases.len());
}
