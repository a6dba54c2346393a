//! Cold servers: spared beside warm ones, but never at the price of an outage.

mod common;

use common::{MS, SECOND, World, settings, warm_up, world};
use finchshift::{Balancer, Effect, ListKind, Outcome, ServerEntry, ServerState, Settings};

fn cold(id: u32, world: &World) -> ServerEntry {
    ServerEntry { started_at: Some(world.now), ..ServerEntry::new(id) }
}

#[test]
fn a_pool_of_nothing_but_cold_servers_serves_at_once() {
    let started = Some(1_000 * SECOND);
    let servers = (0..2).map(|id| ServerEntry { started_at: started, ..ServerEntry::new(id) }).collect();
    let mut world = World::new(settings(&[Effect::Unsafe]), servers, 7);
    warm_up(&mut world, 0, 50, 5 * MS);
    assert!(world.refused.is_empty() && world.failed.is_empty(), "{:?}", world.refused);
    assert!(world.sends.len() == 2, "{:?}", world.sends);
}

#[test]
fn where_the_last_warm_server_drains_the_cold_ones_take_over_in_first_windows() {
    let mut world = world(&[Effect::Unsafe], 4);
    // A window far wider than the first one.
    for _ in 0..200 {
        (0..12).for_each(|_| _ = world.request(0));
        let until = world.now + 10 * MS;
        world.run(until, |_| Some((5 * MS, Outcome::Ok)));
    }
    let drained = |id| ServerEntry { state: ServerState::Draining, ..ServerEntry::new(id) };
    let mut list = vec![cold(8, &world), cold(9, &world)];
    list.extend((0..4).map(drained));
    world.list(ListKind::Changes, list);
    let (refused, failed) = (world.refused.len(), world.failed.len());
    warm_up(&mut world, 0, 50, 5 * MS);
    assert_eq!((world.refused.len(), world.failed.len()), (refused, failed));
    assert!(world.sends[&8] > 10 && world.sends[&9] > 10, "{:?}", world.sends);
    // Half of four for each server, of which there are six: the other balancer has the rest.
    (0..60).for_each(|_| _ = world.request(0));
    assert!(world.out.len() <= 2 * 6 + 5, "{} at once", world.out.len());
}

#[test]
fn a_server_that_is_warm_is_spared_no_longer_however_little_comes() {
    let mut world = world(&[Effect::Safe], 1);
    warm_up(&mut world, 0, 20, 5 * MS);
    // With no traffic known the pace alone would spare them for minutes.
    let until = world.now + 100 * SECOND;
    world.run(until, |_| None);
    let entries = (6..10).map(|id| cold(id, &world)).collect();
    world.list(ListKind::Changes, entries);
    let until = world.now + world.settings.rules.warm_up_time;
    world.run(until, |_| None);
    warm_up(&mut world, 0, 100, 5 * MS);
    assert!((6..10).all(|id| world.sends.get(&id).is_some_and(|n| *n >= 8)), "{:?}", world.sends);
}

/// Starts by wrong clocks: one in the future, and one that would pass for warm though its last life was told since.
#[test]
fn a_wrong_clock_keeps_no_server_out_for_good_and_takes_none_for_warm_before_its_time() {
    let warm_after = settings(&[Effect::Safe]).rules.warm_up_time;
    for (known, ahead, behind) in
        [(false, 3_600 * SECOND, 0), (false, u64::MAX / 2, 0), (true, 0, 500 * SECOND)]
    {
        let mut world = world(&[Effect::Safe], 4);
        warm_up(&mut world, 0, 20, 5 * MS);
        let until = world.now + 100 * SECOND;
        world.run(until, |_| None);
        let id = if known { 0 } else { 9 };
        let started = Some(world.now + ahead - if behind > 0 { world.now - behind } else { 0 });
        world.list(ListKind::Changes, vec![ServerEntry { started_at: started, ..ServerEntry::new(id) }]);
        let cold = world.balancer.cold_servers(world.now);
        let share = world.settings.rules.initial_capacity_share;
        assert!(
            cold.len() == 1 && cold[0].0 == id && (cold[0].1 - share).abs() < 1e-9,
            "{started:?}: {cold:?}"
        );
        // Told the same again it goes on warming up.
        let until = world.now + warm_after / 2;
        world.run(until, |_| None);
        world.list(ListKind::Changes, vec![ServerEntry { started_at: started, ..ServerEntry::new(id) }]);
        assert!(world.balancer.cold_servers(world.now)[0].1 > share, "{started:?}");
        let until = world.now + warm_after / 2;
        world.run(until, |_| None);
        assert!(world.balancer.cold_servers(world.now).is_empty(), "{started:?}");
        warm_up(&mut world, 0, 100, 5 * MS);
        assert!(world.sends.get(&id).is_some_and(|n| *n >= 5), "{started:?}: {:?}", world.sends);
    }
}

/// What is left of an attempt that was given up fades and never ends: it must not keep a pool of cold servers shut.
#[test]
fn a_time_out_does_not_shut_a_pool_where_all_are_cold() {
    let started = Some(1_000 * SECOND);
    let mut set = settings(&[Effect::Safe]);
    // A part of one place: it must not be rounded down to none.
    set.balancers = 8;
    set.rules.warm_up_time = 200 * SECOND;
    let servers = (0..2).map(|id| ServerEntry { started_at: started, ..ServerEntry::new(id) }).collect();
    let mut world = World::new(set, servers, 7);
    let until = world.now + SECOND;
    world.run(until, |_| None);
    // Eight are answered, so that it is known what a call takes, and one runs out.
    for turn in 0..9 {
        let request = world.request(0);
        let until = world.now + 3 * SECOND;
        world.run(until, |_| (turn < 8).then_some((100 * MS, Outcome::Ok)));
        assert!(!world.is_open(request), "turn {turn} has an answer");
    }
    let before: u32 = world.sends.values().sum();
    // Its part of a place has come round again by far.
    let until = world.now + 2 * SECOND;
    world.run(until, |_| None);
    world.request(0);
    let until = world.now + SECOND;
    world.run(until, |_| Some((100 * MS, Outcome::Ok)));
    assert!(world.balancer.cold_servers(world.now).len() == 2, "both are cold still");
    assert_eq!(world.sends.values().sum::<u32>(), before + 1, "{:?}", world.failed);
}

/// A mistake, by name.
type Change = (&'static str, fn(&mut Settings));

/// What settings and lists may say by mistake: refused with a reason, or no harm beyond the warm-up.
#[test]
fn absurd_counts_shares_and_starts_are_refused_or_hold_nobody_for_longer_than_a_warm_up() {
    let wrong: [Change; 7] = [
        ("no balancers", |s| s.balancers = 0),
        ("no zones", |s| s.zones = 0),
        ("share of nothing", |s| s.rules.initial_capacity_share = 0.0),
        ("share under nothing", |s| s.rules.initial_capacity_share = -0.1),
        ("share over all", |s| s.rules.initial_capacity_share = 1.5),
        ("share that is no number", |s| s.rules.initial_capacity_share = f64::NAN),
        ("factor without end", |s| s.rules.overload_factor = f64::INFINITY),
    ];
    for (what, change) in wrong {
        let mut settings = settings(&[Effect::Safe]);
        change(&mut settings);
        assert!(Balancer::new(settings, 1).is_err(), "{what}");
    }
    let odd: [Change; 6] = [
        ("as many balancers as can be written", |s| s.balancers = u32::MAX),
        ("a number beyond the count", |s| s.balancer_index = u32::MAX),
        ("more zones than servers", |s| s.zones = u32::MAX),
        ("no warm-up", |s| s.rules.warm_up_time = 0),
        ("no window of the rule", |s| s.rules.overload_time = 0),
        ("a factor of nothing", |s| s.rules.overload_factor = 0.0),
    ];
    let starts = [None, Some(0), Some(1), Some(1_000 * SECOND), Some(u64::MAX)];
    for (what, change) in odd {
        for started in starts {
            let mut settings = settings(&[Effect::Safe]);
            change(&mut settings);
            let warm_after = settings.rules.warm_up_time;
            let server = |id| ServerEntry { zone: id % 2, ring_hash: u64::MAX, ..ServerEntry::new(id) };
            let mut world = World::new(settings, (0..2).map(server).collect(), 5);
            warm_up(&mut world, 0, 20, 5 * MS);
            world.list(ListKind::Changes, vec![ServerEntry { started_at: started, ..server(2) }]);
            let until = world.now + warm_after + SECOND;
            world.run(until, |_| None);
            (0..40).for_each(|_| warm_up(&mut world, 0, 5, 5 * MS));
            assert!(world.sends.contains_key(&2), "{what}, started {started:?}: never sent to");
        }
    }
}
