//! Histories of core machines with lost messages, cuts, kills, losses of power and disks, against a plain specification:
//! what was acknowledged is there for good, in one order, and a read sees all that was acknowledged before it began.
//!
//! `HISTORIES=1000000 cargo test --release -p sloeline-chain-replication histories` plays more of them.

mod world;

use world::{Doctored, World};

fn histories(untold: u64) -> u64 {
    std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok()).unwrap_or(untold)
}

#[test]
fn what_was_acknowledged_is_kept_and_read_whatever_is_lost() {
    let (mut acknowledged, mut views) = (0, 0);
    for seed in 0..histories(1000) {
        let mut world = World::new(3, seed, Doctored::No);
        let told = world.play();
        assert!(told.wrong.is_none(), "seed {seed}: {}", told.wrong.unwrap_or_default());
        acknowledged += told.acknowledged;
        views += told.views;
    }
    // They are no empty plays: most updates get through, and the view changes in most histories.
    assert!(acknowledged > 10 * histories(1000) && views > 2 * histories(1000), "{acknowledged} {views}");
}

#[test]
fn one_machine_and_five_machines_do_as_well() {
    for seed in 0..histories(100) {
        for machines in [1, 5] {
            let told = World::new(machines, seed, Doctored::No).play();
            assert!(
                told.wrong.is_none(),
                "{machines} machines, seed {seed}: {}",
                told.wrong.unwrap_or_default()
            );
        }
    }
}

#[test]
fn doctored_machines_are_caught() {
    for doctored in [Doctored::NoSync, Doctored::WipedVotes, Doctored::TornState] {
        let caught = (0..4000).position(|seed| World::new(3, seed, doctored).play().wrong.is_some());
        let after = caught.unwrap_or_else(|| panic!("{doctored:?} was not caught in 4000 histories"));
        println!("{doctored:?}: caught after {after} histories");
    }
}
