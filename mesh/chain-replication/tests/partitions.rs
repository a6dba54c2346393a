//! A voter is replaced, and the core is cut in two at every moment of it: the head and the newcomer on one side, the other
//! two on the other. Only one side may go on, whatever has been accepted by then.

#[allow(dead_code)]
mod world;

use world::{Doctored, World};

/// When the voter goes and the newcomer starts, in milliseconds.
const REPLACED_AT: u64 = 1_500;
/// The replaced voter comes back after so long.
const AWAY: u64 = 3_000;
/// How long the core is cut in two.
const CUT: u64 = 5_000;

fn run_until(world: &mut World, until: u64) {
    while world.now < until && world.wrong.is_none() {
        if world.rng.u8(..) < 32 {
            let machine = world.rng.usize(..world.machines.len());
            let read = world.rng.bool();
            if world.machines[machine].node.is_some() {
                world.ask(machine, read);
            }
        }
        world.step();
    }
}

fn play(doctored: Doctored, cut_at: u64, seed: u64) -> Option<String> {
    let mut world = World::new(3, seed, doctored);
    world.breaks = false;
    run_until(&mut world, REPLACED_AT);
    world.kill(2, true, AWAY);
    world.add_learner(REPLACED_AT);
    run_until(&mut world, cut_at);
    world.cut_apart(&[0, 3], CUT);
    run_until(&mut world, cut_at + CUT);
    world.calm();
    world.told().wrong
}

/// From before the change of voters until well after it is established.
fn moments() -> impl Iterator<Item = u64> {
    (REPLACED_AT + 400..REPLACED_AT + 3_500).step_by(6)
}

#[test]
fn a_core_that_is_cut_in_two_during_a_replacement_goes_on_on_one_side_only() {
    let mut histories = 0;
    for cut_at in moments() {
        for seed in 0..4 {
            let wrong = play(Doctored::No, cut_at, seed);
            assert!(wrong.is_none(), "cut at {cut_at}, seed {seed}: {}", wrong.unwrap_or_default());
            histories += 1;
        }
    }
    println!("{histories} histories");
}

#[test]
fn a_change_without_the_old_majority_and_a_replaced_voter_are_caught() {
    for doctored in [Doctored::OldMajorityIgnored, Doctored::ReplacedVotes] {
        let caught =
            moments().flat_map(|cut_at| (0..4).map(move |seed| (cut_at, seed))).find_map(|(cut_at, seed)| {
                let wrong = play(doctored, cut_at, seed)?;
                wrong.contains("lacks").then(|| format!("cut at {cut_at}, seed {seed}: {wrong}"))
            });
        println!("{doctored:?}: {}", caught.unwrap_or_else(|| panic!("{doctored:?} was not caught")));
    }
}
