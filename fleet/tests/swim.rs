//! Simulation tests of the SWIM membership: deaths, restarts, loss, partitions, name conflicts. `SEED` sets the seed.

mod world;

use sloeline_fleet::message::{Fact, Observation, State};
use sloeline_fleet::swim::{Change, Settings};
use world::{SECOND, World, name};

const SIZE: usize = 40;

fn seed() -> u64 {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={seed}");
    seed
}

/// Returns a fleet in which all instances know each other.
fn joined_fleet(size: usize) -> World {
    let mut world = World::new(size, Settings::default(), seed());
    let took = world.run_until(60 * SECOND, World::converged).expect("the fleet converges");
    println!("{size} instances converged in {} ms", took / 1000);
    world
}

#[test]
fn a_death_reaches_all_instances_without_false_alarms() {
    let mut world = joined_fleet(SIZE);
    world.loss = 0.01;
    let stable_since = world.now;
    world.advance_to(stable_since + 120 * SECOND);
    assert_eq!(world.deaths_since(stable_since), 0, "false alarms at 1% loss");
    world.kill(17);
    let took = world.run_until(60 * SECOND, |w| w.count_in_state(&name(17), State::Dead) == SIZE - 1);
    println!("known by all after {} ms", took.expect("every instance learns it") / 1000);
    assert!((0..SIZE).filter(|index| *index != 17).all(|index| world.swim(index).alive_count() == SIZE - 1));
    // The dead instance may be merely unreachable, so shares are not divided among fewer instances.
    assert!((0..SIZE).filter(|index| *index != 17).all(|index| world.swim(index).sending_count() == SIZE));
    // Restart under the same name, with a lower incarnation, as after a clock was set back.
    world.start(17, name(17), 0);
    world.run_until(60 * SECOND, World::converged).expect("the restarted instance rejoins");
    // An instance that leaves is recorded as left, not as dead, by all others.
    if let Some(swim) = &mut world.instances[5].swim {
        swim.leave(world.now);
    }
    world.process_outputs(5);
    world.kill(5);
    world
        .run_until(20 * SECOND, |w| w.count_in_state(&name(5), State::Left) == SIZE - 1)
        .expect("every instance records the leave");
    assert!((0..SIZE).filter(|index| *index != 5).all(|index| world.swim(index).sending_count() == SIZE - 1));
}

#[test]
fn sent_bytes_stay_bounded_at_any_fleet_size() {
    for size in [10, 200] {
        let mut world = joined_fleet(size);
        let (start, before): (u64, u64) =
            (world.now, world.instances.iter().map(|instance| instance.sent_bytes).sum());
        world.advance_to(start + 60 * SECOND);
        let sent: u64 = world.instances.iter().map(|instance| instance.sent_bytes).sum::<u64>() - before;
        let mean = sent / 60 / size as u64;
        println!("{size}: {mean} bytes a second and instance");
        assert!(mean < 2_000, "{mean}");
        let peak = world.instances.iter().map(|instance| instance.peak_bytes).max().unwrap_or(0);
        // One second of allowance, an equal burst, and one message that may overdraw the allowance.
        assert!((peak as f64) < 2.0 * Settings::default().bytes_per_second + 1_500.0, "{peak} in one second");
    }
}

#[test]
fn a_partitioned_fleet_keeps_running_and_merges_again() {
    let mut world = joined_fleet(SIZE);
    world.cut = Box::new(|from, to| (from < 13) != (to < 13));
    let sides =
        |w: &World| (0..SIZE).all(|index| w.swim(index).alive_count() == if index < 13 { 13 } else { 27 });
    let took = world.run_until(120 * SECOND, sides).expect("each side sees only itself");
    println!("partition detected after {} ms", took / 1000);
    // Neither side claims the other side's share of a cold node's traffic.
    assert!((0..SIZE).all(|index| world.swim(index).sending_count() == SIZE));
    world.advance_to(world.now + 60 * SECOND);
    world.cut = Box::new(|_, _| false);
    let took = world.run_until(120 * SECOND, World::converged).expect("the sides merge");
    println!("partition healed after {} ms", took / 1000);

    // One-way failure: instance 7 receives everything, and nobody receives its messages.
    world.cut = Box::new(|from, _| from == 7);
    world
        .run_until(120 * SECOND, |w| w.count_in_state(&name(7), State::Dead) == SIZE - 1)
        .expect("instance 7 is declared dead");
    // Its local health score rises, so it does not declare all the others dead.
    let dead = world.swim(7).members().filter(|m| m.update.state == State::Dead).count();
    assert!(dead < SIZE / 2, "{dead} instances declared dead by an instance that cannot be heard");
    world.cut = Box::new(|_, _| false);
    world.run_until(120 * SECOND, World::converged).expect("instance 7 rejoins");
}

#[test]
fn simultaneous_death_of_a_third_is_detected_and_all_rejoin() {
    let mut world = joined_fleet(SIZE);
    (0..SIZE).filter(|index| index % 3 == 0).for_each(|index| world.kill(index));
    let left = SIZE - SIZE.div_ceil(3);
    let known = |w: &World| {
        w.instances
            .iter()
            .filter_map(|instance| instance.swim.as_ref())
            .all(|swim| swim.alive_count() == left)
    };
    let took = world.run_until(120 * SECOND, known).expect("every instance learns it");
    println!("a third known to be dead after {} ms", took / 1000);
    // All killed instances restart at once.
    let now = world.now;
    (0..SIZE).filter(|index| index % 3 == 0).for_each(|index| world.start(index, name(index), 2));
    world.run_until(120 * SECOND, World::converged).expect("all restarted instances rejoin");
    println!("all rejoined after {} ms", (world.now - now) / 1000);
}

/// After an instance leaves, its next deadline must lie in the future whatever probe was pending; a deadline that
/// stays due would make the caller loop without end.
#[test]
fn leaving_with_a_pending_probe_leaves_no_overdue_deadline() {
    let mut world = joined_fleet(10);
    // Leave at different points of a period, with some probes unanswered and some due for indirect probing.
    for (index, part) in (0..10).zip(0..) {
        world.cut = Box::new(move |_, to| to != index && part % 2 == 0);
        world.advance_to(world.now + SECOND + part * SECOND / 10);
        let now = world.now;
        let Some(swim) = &mut world.instances[index].swim else { unreachable!() };
        swim.leave(now);
        for after in 1..=20 {
            let at = now + after * SECOND / 10;
            swim.on_timer(at);
            assert!(swim.next_deadline() > at, "{index} is due at {} after {at}", swim.next_deadline());
        }
        world.kill(index);
    }
}

#[test]
fn of_two_instances_with_one_name_the_higher_address_falls_silent() {
    let mut world = joined_fleet(10);
    world.kill(9);
    world.start(9, name(8), 50);
    world.advance_to(world.now + 90 * SECOND);
    let conflicts: Vec<_> = world
        .changes
        .iter()
        .filter_map(|(_, by, c)| matches!(c, Change::NameConflict(..)).then_some(*by))
        .collect();
    assert!(conflicts.contains(&8) || conflicts.contains(&9), "{conflicts:?}");
    assert!(!world.swim(8).is_silent(), "the lower address keeps running");
    if conflicts.contains(&9) {
        assert!(world.swim(9).is_silent());
    }
}

#[test]
fn a_drain_fact_reaches_all_instances_within_two_seconds() {
    let mut world = joined_fleet(SIZE);
    world.loss = 0.05;
    let fact =
        Fact { pool: "p".into(), node: "x".into(), seen: Observation::Drain { revision: 9, drains: true } };
    if let Some(swim) = &mut world.instances[3].swim {
        swim.record_fact(world.now, fact);
    }
    world.process_outputs(3);
    let knows = |w: &World, index| w.swim(index).facts().is_draining(&"p".into(), &"x".into(), 8);
    let all = world.run_until(60 * SECOND, |w| (0..SIZE).all(|index| knows(w, index)));
    let all = all.expect("every instance learns it");
    println!("a drain known by all after {} ms", all / 1000);
    assert!(all < 2 * SECOND, "{all}: later than two seconds");
    // An instance that restarts long after learns the fact when it joins.
    world.advance_to(world.now + 60 * SECOND);
    world.kill(30);
    world.start(30, name(30), 2);
    world.run_until(10 * SECOND, |w| knows(w, 30)).expect("the restarted instance learns it");
}
