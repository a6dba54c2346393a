//! Histories of core machines with lost messages, cuts, kills, losses of power and disks, replacements, learners and planned
//! leaves, against a plain specification: what was acknowledged is there for good, in one order; a read sees all that was
//! acknowledged before it began; and whoever takes itself for current is.
//!
//! `HISTORIES=1000000 cargo test --release -p sloeline-chain-replication --test histories` plays more of them.

#[allow(dead_code)]
mod world;

use world::{Doctored, World};

fn histories(default: u64) -> u64 {
    std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Plays histories on all cores; tells how many updates, views, sets of voters and leases there were.
fn play(machines: usize, count: u64) -> [u64; 4] {
    let workers = std::thread::available_parallelism().map_or(2, usize::from) as u64;
    std::thread::scope(|scope| {
        let work = |worker: u64| {
            let mut sums = [0; 4];
            for seed in (worker..count).step_by(workers as usize) {
                let told = World::new(machines, seed, Doctored::No).play();
                if let Some(wrong) = told.wrong {
                    panic!("{machines} machines, seed {seed}: {wrong}");
                }
                for (sum, more) in
                    sums.iter_mut().zip([told.acknowledged, told.views, told.sets, told.leases])
                {
                    *sum += more;
                }
            }
            sums
        };
        let threads: Vec<_> = (0..workers).map(|worker| scope.spawn(move || work(worker))).collect();
        let mut sums = [0; 4];
        for thread in threads {
            let more = thread.join().expect("a history went wrong");
            sums.iter_mut().zip(more).for_each(|(sum, more)| *sum += more);
        }
        println!("{count} histories of {machines} machines: {sums:?} updates, views, sets, leases");
        sums
    })
}

#[test]
fn what_was_acknowledged_is_kept_and_read_whatever_is_lost() {
    let count = histories(3000);
    let [acknowledged, views, sets, leases] = play(3, count);
    // They are no empty plays: most updates get through, views and sets of voters change, leases are relied on.
    assert!(acknowledged > 10 * count && views > 2 * count && sets > count && leases > 10 * count);
}

#[test]
fn one_to_seven_machines_do_as_well() {
    for machines in [1, 2, 4, 5, 6, 7] {
        play(machines, histories(3000) / 10);
    }
}

/// The first history in which a doctored machine breaks what is promised. A learner that counts early breaks nothing: the
/// chain stands still with it, since updates have no gaps. All others must do more than stand still.
fn first_caught(doctored: Doctored) -> Option<(u64, String)> {
    let stands_still = doctored == Doctored::LearnerCountsEarly;
    (0..8_000).find_map(|seed| {
        let wrong = World::new(3, seed, doctored).play().wrong?;
        (stands_still || wrong.contains("lacks")).then_some((seed, wrong))
    })
}

#[test]
fn doctored_machines_are_caught() {
    let all = [
        Doctored::NoSync,
        Doctored::WipedVotes,
        Doctored::TornSnapshot,
        Doctored::LearnerCountsEarly,
        Doctored::SettableClock,
    ];
    std::thread::scope(|scope| {
        let threads = all.map(|doctored| (doctored, scope.spawn(move || first_caught(doctored))));
        for (doctored, thread) in threads {
            let caught = thread.join().expect("histories");
            let (after, wrong) = caught.unwrap_or_else(|| panic!("{doctored:?} was not caught"));
            println!("{doctored:?}: caught after {after} histories, {wrong}");
        }
    });
}

/// One history, told step by step: `REPLAY=machines:seed cargo test ... replay -- --nocapture`.
#[test]
fn replay() {
    let Ok(wanted) = std::env::var("REPLAY") else { return };
    let (machines, seed) = wanted.split_once(':').expect("machines:seed");
    let mut world =
        World::new(machines.parse().expect("machines"), seed.parse().expect("a seed"), Doctored::No);
    world.trace = true;
    let told = world.play();
    println!("{:?}", told.wrong);
}
