//! A fleet that knows who is alive: deaths, lives that follow, loss, partitions, twins. `SEED` sets the seed.

mod world;

use sloeline_fleet::message::{Fact, Seen, State};
use sloeline_fleet::swim::{Change, Settings};
use world::{SECOND, World, name};

const SIZE: usize = 40;

fn seed() -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={seed}");
    seed
}

/// A fleet that has met.
fn met(size: usize) -> World {
    let mut world = World::new(size, Settings::default(), seed());
    let took = world.until_so(60 * SECOND, World::agreed).expect("they meet");
    println!("{size} met in {} ms", took / 1000);
    world
}

#[test]
fn a_death_is_known_by_all_and_nobody_else_is_held_for_dead() {
    let mut world = met(SIZE);
    world.loss = 0.01;
    let quiet = world.now;
    world.until(quiet + 120 * SECOND);
    assert_eq!(world.deaths(quiet), 0, "false alarms at 1% loss");
    world.kill(17);
    let took = world.until_so(60 * SECOND, |w| w.believe(&name(17), State::Dead) == SIZE - 1);
    println!("known by all after {} ms", took.expect("it is known") / 1000);
    assert!((0..SIZE).filter(|of| *of != 17).all(|of| world.swim(of).alive() == SIZE - 1));
    // It may only be out of reach: what all share is not divided among fewer.
    assert!((0..SIZE).filter(|of| *of != 17).all(|of| world.swim(of).sending() == SIZE));
    // Back under the same name, with a clock that is a year behind its life before.
    world.start(17, name(17), 0);
    world.until_so(60 * SECOND, World::agreed).expect("it is back");
    // One that leaves is told apart, at once and by all.
    if let Some(swim) = &mut world.all[5].swim {
        swim.leave(world.now);
    }
    world.after(5);
    world.kill(5);
    world.until_so(20 * SECOND, |w| w.believe(&name(5), State::Left) == SIZE - 1).expect("it has left");
    assert!((0..SIZE).filter(|of| *of != 5).all(|of| world.swim(of).sending() == SIZE - 1));
}

#[test]
fn no_instance_sends_more_than_it_may_in_any_fleet() {
    for size in [10, 200] {
        let mut world = met(size);
        let (start, before): (u64, u64) = (world.now, world.all.iter().map(|one| one.bytes).sum());
        world.until(start + 60 * SECOND);
        let sent: u64 = world.all.iter().map(|one| one.bytes).sum::<u64>() - before;
        let mean = sent / 60 / size as u64;
        println!("{size}: {mean} bytes a second and instance");
        assert!(mean < 2_000, "{mean}");
        let most = world.all.iter().map(|one| one.most).max().unwrap_or(0);
        // What had gathered, and one message that was begun with something left.
        assert!((most as f64) < 2.0 * Settings::default().bytes + 1_500.0, "{most} in one second");
    }
}

#[test]
fn both_sides_of_a_partition_go_on_and_find_each_other_again() {
    let mut world = met(SIZE);
    world.cut = Box::new(|from, to| (from < 13) != (to < 13));
    let sides = |w: &World| (0..SIZE).all(|of| w.swim(of).alive() == if of < 13 { 13 } else { 27 });
    let took = world.until_so(120 * SECOND, sides).expect("each side is alone");
    println!("two sides after {} ms", took / 1000);
    // Neither takes the other's part of what a cold node may get.
    assert!((0..SIZE).all(|of| world.swim(of).sending() == SIZE));
    world.until(world.now + 60 * SECOND);
    world.cut = Box::new(|_, _| false);
    let took = world.until_so(120 * SECOND, World::agreed).expect("they find each other");
    println!("one again after {} ms", took / 1000);

    // In one direction only: 7 hears everybody and nobody hears it.
    world.cut = Box::new(|from, _| from == 7);
    world
        .until_so(120 * SECOND, |w| w.believe(&name(7), State::Dead) == SIZE - 1)
        .expect("it is held for dead");
    // It doubts itself, and not all the others.
    let dead = world.swim(7).members().filter(|m| m.update.state == State::Dead).count();
    assert!(dead < SIZE / 2, "{dead} are held for dead by one that can't be heard");
    world.cut = Box::new(|_, _| false);
    world.until_so(120 * SECOND, World::agreed).expect("it is heard again");
}

#[test]
fn a_third_that_dies_at_once_is_known_and_the_rest_know_each_other() {
    let mut world = met(SIZE);
    (0..SIZE).filter(|of| of % 3 == 0).for_each(|of| world.kill(of));
    let left = SIZE - SIZE.div_ceil(3);
    let known = |w: &World| w.all.iter().filter_map(|one| one.swim.as_ref()).all(|swim| swim.alive() == left);
    let took = world.until_so(120 * SECOND, known).expect("it is known");
    println!("a third known to be dead after {} ms", took / 1000);
    // All come back within a second.
    let now = world.now;
    (0..SIZE).filter(|of| of % 3 == 0).for_each(|of| world.start(of, name(of), 2));
    world.until_so(120 * SECOND, World::agreed).expect("all are back");
    println!("all back after {} ms", (world.now - now) / 1000);
}

/// Time has to pass for one that has fallen silent, whatever it had asked when it did: what is always due is a loop without end.
#[test]
fn one_that_leaves_with_a_question_out_is_not_due_for_ever() {
    let mut world = met(10);
    // At every part of a period, so that some questions are unanswered and some due for help.
    for (of, part) in (0..10).zip(0..) {
        world.cut = Box::new(move |_, to| to != of && part % 2 == 0);
        world.until(world.now + SECOND + part * SECOND / 10);
        let now = world.now;
        let Some(swim) = &mut world.all[of].swim else { unreachable!() };
        swim.leave(now);
        for after in 1..=20 {
            let at = now + after * SECOND / 10;
            swim.ring(at);
            assert!(swim.due() > at, "{of} is due at {} after {at}", swim.due());
        }
        world.kill(of);
    }
}

#[test]
fn of_two_with_one_name_one_falls_silent_and_both_say_so() {
    let mut world = met(10);
    world.kill(9);
    world.start(9, name(8), 50);
    world.until(world.now + 90 * SECOND);
    let twins: Vec<_> =
        world.told.iter().filter_map(|(_, by, c)| matches!(c, Change::Twin(..)).then_some(*by)).collect();
    assert!(twins.contains(&8) || twins.contains(&9), "{twins:?}");
    assert!(!world.swim(8).silent(), "the lower address stays");
    if twins.contains(&9) {
        assert!(world.swim(9).silent());
    }
}

#[test]
fn a_drain_that_one_has_heard_of_is_known_by_all_within_the_grace() {
    let mut world = met(SIZE);
    world.loss = 0.05;
    let fact = Fact { pool: "p".into(), node: "x".into(), seen: Seen::Drain { revision: 9, drains: true } };
    if let Some(swim) = &mut world.all[3].swim {
        swim.see(world.now, fact);
    }
    world.after(3);
    let knows = |w: &World, of| w.swim(of).known().drains(&"p".into(), &"x".into(), 8);
    let all = world.until_so(60 * SECOND, |w| (0..SIZE).all(|of| knows(w, of)));
    let all = all.expect("it is known");
    println!("a drain known by all after {} ms", all / 1000);
    assert!(all < 2 * SECOND, "{all}: later than the grace");
    // One that comes long after learns it as it joins.
    world.until(world.now + 60 * SECOND);
    world.kill(30);
    world.start(30, name(30), 2);
    world.until_so(10 * SECOND, |w| knows(w, 30)).expect("it is told");
}
