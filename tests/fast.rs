//! Services far faster than their callers wait: a bound that saves nothing must cost no request.

mod common;

use common::{KEYED_CELL, MS, World, settings};
use finchshift::{Effect, Micros, Outcome, ServerEntry};

fn world(effect: Effect, servers: u32) -> World {
    World::new(settings(&[effect]), (0..servers).map(ServerEntry::new).collect(), 7)
}

/// Serves requests one after another, each in `took`.
fn serve(world: &mut World, n: usize, took: Micros) {
    for _ in 0..n {
        world.request(0);
        world.run(world.now + 3 * took, |_| Some((took, Outcome::Ok)));
    }
}

#[test]
fn a_service_that_always_takes_the_same_is_never_cut_off() {
    for effect in [Effect::Safe, KEYED_CELL, Effect::Unsafe] {
        // Every place within a bucket of the histogram, from its lower to its upper edge.
        for step in 0..16 {
            let took = (20.0 * MS as f64 * 2_f64.powf(f64::from(step) / 64.0)) as Micros;
            let mut world = world(effect, 3);
            serve(&mut world, 300, took);
            assert!(world.failed.is_empty() && world.refused.is_empty(), "{effect:?} {took}");
            let sent: u32 = world.sends.values().sum();
            assert_eq!(sent, 300, "{effect:?} {took}: {} attempts for nothing", sent - 300);
        }
    }
}

#[test]
fn an_attempt_that_nothing_follows_has_its_part_of_the_time_left() {
    for effect in [Effect::Safe, KEYED_CELL] {
        let mut world = world(effect, 3);
        serve(&mut world, 200, MS);
        // The first attempt is cut at the learned P99; the second takes twenty times the P50.
        let id = world.request(0);
        world.run(world.now + 100 * MS, |out| match out.attempt {
            0 => None,
            _ => Some((20 * MS, Outcome::Ok)),
        });
        assert!(!world.failed.contains(&id) && !world.refused.contains(&id), "{effect:?}");
        assert_eq!(world.sends.values().sum::<u32>(), 202, "{effect:?}: not sent again");
    }
    let mut world = world(Effect::Unsafe, 3);
    serve(&mut world, 200, MS);
    let id = world.request(0);
    world.run(world.now + 100 * MS, |_| Some((20 * MS, Outcome::Ok)));
    assert!(!world.failed.contains(&id));
}

#[test]
fn first_attempts_are_cut_as_before_where_another_may_follow() {
    let mut world = world(Effect::Safe, 3);
    serve(&mut world, 200, MS);
    world.request(0);
    let limit = world.out[0].limit;
    assert!((MS..2 * MS).contains(&limit), "{limit}");
}
