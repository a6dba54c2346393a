//! Services far faster than their callers wait: a bound that saves nothing must cost no request.

mod common;

use std::collections::BTreeSet;

use common::{KEYED_CELL, MS, Out, SECOND, World, settings};
use finchshift::{
    Action, DedupGroup, DiscoveryMode, Effect, ListKind, Micros, Outcome, ServerEntry, ServerState,
};

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

/// A keyed class of so long an aim on so many servers.
fn patient(servers: u32, aims: &[Micros]) -> World {
    let keyed = Effect::Keyed { group: DedupGroup::All, window: 20 * SECOND };
    let mut s = settings(&vec![keyed; aims.len()]);
    s.balancers = 1;
    for (class, aim) in s.classes.iter_mut().zip(aims) {
        (class.latency_target, class.deadline) = (*aim, *aim);
    }
    World::new(s, (0..servers).map(entry).collect(), 7)
}

/// Around the ring as names would be.
fn entry(id: u32) -> ServerEntry {
    ServerEntry { ring_hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15), ..ServerEntry::new(id) }
}

/// Requests of a class every so often until then, each attempt ending as `served` says.
fn steady(
    world: &mut World,
    class: usize,
    every: Micros,
    until: Micros,
    mut served: impl FnMut(&Out) -> Option<(Micros, Outcome)>,
) {
    while world.now < until {
        world.request(class);
        let next = world.now + every;
        world.run(next, &mut served);
    }
}

fn given_up(world: &World) -> (usize, usize) {
    (world.refused.len(), world.failed.len())
}

#[test]
fn a_hiccup_of_everything_that_is_out_costs_no_request() {
    let mut world = patient(20, &[6 * SECOND]);
    let start = world.now;
    steady(&mut world, 0, MS / 10, start + SECOND, |_| Some((MS, Outcome::Ok)));
    for _ in 0..3 {
        let hiccup = world.now;
        (0..60).for_each(|_| _ = world.request(0));
        // What is sent within 50 ms is answered after them.
        let took = |out: &Out| MS.max((hiccup + 50 * MS).saturating_sub(out.sent));
        let until = hiccup + SECOND;
        steady(&mut world, 0, MS / 2, until, |out| Some((took(out), Outcome::Ok)));
    }
    assert_eq!(given_up(&world), (0, 0));
}

#[test]
fn a_burst_that_is_served_within_a_fraction_of_its_aim_is_not_refused() {
    let mut world = patient(10, &[6 * SECOND]);
    let start = world.now;
    steady(&mut world, 0, MS, start + SECOND, |_| Some((MS, Outcome::Ok)));
    (0..1000).for_each(|_| _ = world.request(0));
    let until = world.now + SECOND;
    world.run(until, |_| Some((MS, Outcome::Ok)));
    assert_eq!((given_up(&world), world.open_requests().len()), ((0, 0), 0));
}

#[test]
fn what_is_held_goes_out_with_the_answer_that_frees_its_place() {
    let mut world = patient(1, &[6 * SECOND]);
    (0..12).for_each(|_| _ = world.request(0));
    let held = 12 - world.out.len();
    assert!(held > 0);
    let out = world.out[0].clone();
    world.now += MS;
    let actions = world.end(&out, Outcome::Ok);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })), "{actions:?}");
}

#[test]
fn a_service_that_turns_two_thousand_times_slower_and_back_is_followed_both_ways() {
    let mut world = patient(10, &[6 * SECOND]);
    let start = world.now;
    let slow = start + 3 * SECOND..start + 30 * SECOND;
    let took = |out: &Out| if slow.contains(&out.sent) { 400 * MS } else { MS / 5 };
    steady(&mut world, 0, 5 * MS, slow.end, |out| Some((took(out), Outcome::Ok)));
    let (refused, failed) = given_up(&world);
    // Two hundred a second for twenty-seven seconds.
    assert!(refused + failed <= 5, "{refused} refused, {failed} failed of 5,400");
    // Settled, as many are out as the rate asks for; nothing waits for a place.
    let waiting = world.open_requests().len() - world.out.len();
    assert!((70..95).contains(&world.out.len()) && waiting < 5, "{} out, {waiting} held", world.out.len());
    steady(&mut world, 0, 5 * MS, slow.end + 10 * SECOND, |out| Some((took(out), Outcome::Ok)));
    assert_eq!(given_up(&world), (refused, failed));
    // A silent server is noticed in milliseconds again.
    world.request(0);
    assert!(world.out.last().is_some_and(|o| o.limit < 20 * MS), "{:?}", world.out.last());
}

#[test]
fn one_of_a_thousand_that_fails_at_once_draws_little_and_costs_nothing() {
    let mut world = patient(1000, &[6 * SECOND]);
    let start = world.now;
    let ends = |out: &Out| match out.server {
        7 => Some((10, Outcome::Error)),
        _ => Some((10 * MS, Outcome::Ok)),
    };
    steady(&mut world, 0, MS / 5, start + 20 * SECOND, ends);
    assert_eq!(given_up(&world), (0, 0));
    let drawn = world.sends.get(&7).copied().unwrap_or(0);
    // A hundred thousand requests; a hundred would be its part.
    assert!(drawn < 100, "{drawn}");
}

#[test]
fn a_class_of_a_millisecond_and_one_of_two_seconds_share_a_pool() {
    let mut world = patient(10, &[200 * MS, 6 * SECOND]);
    let start = world.now;
    let mut slow = BTreeSet::new();
    for n in 0..10_000 {
        if n % 100 == 0 {
            slow.insert(world.request(1));
        } else {
            world.request(0);
        }
        let until = start + (n + 1) * 2 * MS;
        world
            .run(until, |out| Some((if slow.contains(&out.request) { 2 * SECOND } else { MS }, Outcome::Ok)));
    }
    assert_eq!(given_up(&world), (0, 0));
    // Hardly an attempt for nothing.
    let sent: u32 = world.sends.values().sum();
    assert!(sent < 10_300, "{sent}");
}

#[test]
fn ten_thousand_servers_for_a_request_a_second_keep_their_rules() {
    let mut world = patient(10_000, &[6 * SECOND]);
    let start = world.now;
    steady(&mut world, 0, SECOND, start + 300 * SECOND, |_| Some((MS, Outcome::Ok)));
    // One that drains before it was ever met gets nothing: the world panics if it does.
    let drained = (0..5_000).map(|id| ServerEntry { state: ServerState::Draining, ..entry(id) }).collect();
    world.list(ListKind::Changes, drained);
    // Of the others all but two are cold from now on.
    let cold = (5_000..9_998).map(|id| ServerEntry { started_at: Some(world.now), ..entry(id) }).collect();
    world.list(ListKind::Changes, cold);
    let before = world.sends.clone();
    // Two that fail: opened, each is met by few trials only.
    let until = world.now + 300 * SECOND;
    steady(&mut world, 0, SECOND, until, |out| match out.server {
        9_998 => Some((MS, Outcome::Error)),
        _ => Some((MS, Outcome::Ok)),
    });
    assert_eq!(given_up(&world), (0, 0));
    let since = |id: u32| world.sends.get(&id).copied().unwrap_or(0) - before.get(&id).copied().unwrap_or(0);
    let spread = (5_000..9_998).filter(|id| since(*id) > 0).count();
    assert!(since(9_998) < 60 && spread > 200, "{} to the one that fails, {spread} met", since(9_998));
}

#[test]
fn a_lone_balancer_asks_for_its_list_within_a_quarter_of_a_second() {
    let first = |balancers: u32, seed: u64| {
        let mut s = settings(&[Effect::Safe]);
        (s.discovery, s.balancers) = (DiscoveryMode::Pull, balancers);
        s.rules.discovery_interval = 10 * SECOND;
        let mut world = World::new(s, Vec::new(), seed);
        let start = world.now;
        while world.asked == 0 {
            let next = world.timers.first().map_or(u64::MAX, |t| t.0);
            world.run(next, |_| None);
        }
        world.now - start
    };
    for seed in 0..50 {
        assert!(first(1, seed) <= 250 * MS && first(8, seed) <= 250 * MS, "seed {seed}");
        assert!(first(400, seed) <= 10 * SECOND);
    }
    // Hundreds still spread over the span.
    let late = (0..50).filter(|seed| first(400, *seed) > 3 * SECOND).count();
    assert!(late > 20, "{late} of 50");
}

#[test]
fn stray_time_outs_close_no_idle_connections() {
    let mut world = patient(4, &[6 * SECOND]);
    let start = world.now;
    // One in fifty is cut; the gaps between the calls of a server are of all lengths.
    steady(&mut world, 0, 7 * MS, start + 20 * SECOND, |out| match (out.request % 50, out.attempt) {
        (0, 0) => Some((SECOND, Outcome::Ok)),
        _ => Some((MS, Outcome::Ok)),
    });
    let closed = world.trace.iter().filter(|(_, a)| matches!(a, Action::CloseIdle { .. })).count();
    let sent: u32 = world.sends.values().sum();
    assert!(closed * 100 < sent as usize, "{closed} of {sent}");
    assert_eq!(given_up(&world), (0, 0));
}

#[test]
fn a_retry_goes_out_after_its_backoff_where_nothing_else_happens() {
    let mut world = patient(3, &[6 * SECOND]);
    let start = world.now;
    steady(&mut world, 0, 10 * MS, start + 3 * SECOND, |_| Some((MS, Outcome::Ok)));
    let asked = world.now;
    world.request(0);
    world.run(asked + SECOND, |out| Some((MS, if out.attempt == 0 { Outcome::Error } else { Outcome::Ok })));
    let sent: Vec<_> =
        world.trace.iter().filter(|(at, a)| *at >= asked && matches!(a, Action::Send { .. })).collect();
    assert!(sent.len() == 2 && sent[1].0 <= asked + 5 * MS, "{sent:?}");
}
