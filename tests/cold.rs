//! Cold servers get fewer calls than warm ones, but are used where no warm server is available.

mod common;

use common::{MS, SECOND, Simulation, serve_sequentially, settings, simulation};
use finchshift::{Balancer, Effect, ListKind, Outcome, ServerEntry, ServerState, Settings};

/// An entry of a server that starts now.
fn cold(id: u32, sim: &Simulation) -> ServerEntry {
    ServerEntry { started_at: Some(sim.now), ..ServerEntry::new(id) }
}

#[test]
fn pool_with_only_cold_servers_serves_immediately() {
    let started_at = Some(1_000 * SECOND);
    let servers = (0..2).map(|id| ServerEntry { started_at, ..ServerEntry::new(id) }).collect();
    let mut sim = Simulation::new(settings(&[Effect::Unsafe]), servers, 7);
    serve_sequentially(&mut sim, 0, 50, 5 * MS);
    assert!(sim.refused.is_empty() && sim.failed.is_empty(), "{:?}", sim.refused);
    assert!(sim.attempts.len() == 2, "{:?}", sim.attempts);
}

#[test]
fn cold_servers_take_over_with_initial_windows_when_the_last_warm_server_drains() {
    let mut sim = simulation(&[Effect::Unsafe], 4);
    // Grow the window far beyond the initial one.
    for _ in 0..200 {
        (0..12).for_each(|_| _ = sim.request(0));
        let until = sim.now + 10 * MS;
        sim.run(until, |_| Some((5 * MS, Outcome::Ok)));
    }
    let drained = |id| ServerEntry { state: ServerState::Draining, ..ServerEntry::new(id) };
    let mut list = vec![cold(8, &sim), cold(9, &sim)];
    list.extend((0..4).map(drained));
    sim.update_servers(ListKind::Changes, list);
    let (refused, failed) = (sim.refused.len(), sim.failed.len());
    serve_sequentially(&mut sim, 0, 50, 5 * MS);
    assert_eq!((sim.refused.len(), sim.failed.len()), (refused, failed));
    assert!(sim.attempts[&8] > 10 && sim.attempts[&9] > 10, "{:?}", sim.attempts);
    // Two for each of six servers: this balancer's half of an initial window of four.
    (0..60).for_each(|_| _ = sim.request(0));
    assert!(sim.in_flight.len() <= 2 * 6 + 5, "{} in flight", sim.in_flight.len());
}

#[test]
fn warm_server_gets_full_share_even_with_little_traffic() {
    let mut sim = simulation(&[Effect::Safe], 1);
    serve_sequentially(&mut sim, 0, 20, 5 * MS);
    // Without known traffic the interval between calls alone would keep them idle for minutes.
    let until = sim.now + 100 * SECOND;
    sim.run(until, |_| None);
    let entries = (6..10).map(|id| cold(id, &sim)).collect();
    sim.update_servers(ListKind::Changes, entries);
    let until = sim.now + sim.settings.rules.warm_up_time;
    sim.run(until, |_| None);
    serve_sequentially(&mut sim, 0, 100, 5 * MS);
    assert!((6..10).all(|id| sim.attempts.get(&id).is_some_and(|n| *n >= 8)), "{:?}", sim.attempts);
}

/// Start times from wrong clocks: in the future, or so old that the server would count as warm although its previous
/// process was listed since then.
#[test]
fn wrong_start_times_neither_block_a_server_nor_skip_its_warm_up() {
    let warm_after = settings(&[Effect::Safe]).rules.warm_up_time;
    for (known, ahead, behind) in
        [(false, 3_600 * SECOND, 0), (false, u64::MAX / 2, 0), (true, 0, 500 * SECOND)]
    {
        let mut sim = simulation(&[Effect::Safe], 4);
        serve_sequentially(&mut sim, 0, 20, 5 * MS);
        let until = sim.now + 100 * SECOND;
        sim.run(until, |_| None);
        let id = if known { 0 } else { 9 };
        let started_at = Some(sim.now + ahead - if behind > 0 { sim.now - behind } else { 0 });
        sim.update_servers(ListKind::Changes, vec![ServerEntry { started_at, ..ServerEntry::new(id) }]);
        let cold = sim.balancer.cold_servers(sim.now);
        let share = sim.settings.rules.initial_capacity_share;
        assert!(
            cold.len() == 1 && cold[0].0 == id && (cold[0].1 - share).abs() < 1e-9,
            "{started_at:?}: {cold:?}"
        );
        // The same entry again does not restart the warm-up.
        let until = sim.now + warm_after / 2;
        sim.run(until, |_| None);
        sim.update_servers(ListKind::Changes, vec![ServerEntry { started_at, ..ServerEntry::new(id) }]);
        assert!(sim.balancer.cold_servers(sim.now)[0].1 > share, "{started_at:?}");
        let until = sim.now + warm_after / 2;
        sim.run(until, |_| None);
        assert!(sim.balancer.cold_servers(sim.now).is_empty(), "{started_at:?}");
        serve_sequentially(&mut sim, 0, 100, 5 * MS);
        assert!(sim.attempts.get(&id).is_some_and(|n| *n >= 5), "{started_at:?}: {:?}", sim.attempts);
    }
}

/// The count of abandoned attempts decays and never reaches zero: it must not block a pool of cold servers for good.
#[test]
fn timeout_does_not_block_an_all_cold_pool() {
    let started_at = Some(1_000 * SECOND);
    let mut set = settings(&[Effect::Safe]);
    // The window is a fraction of one attempt, which must not be rounded down to zero.
    set.balancers = 8;
    set.rules.warm_up_time = 200 * SECOND;
    let servers = (0..2).map(|id| ServerEntry { started_at, ..ServerEntry::new(id) }).collect();
    let mut sim = Simulation::new(set, servers, 7);
    let until = sim.now + SECOND;
    sim.run(until, |_| None);
    // Eight answers make the latency of a call known; one attempt times out.
    for turn in 0..9 {
        let request = sim.request(0);
        let until = sim.now + 3 * SECOND;
        sim.run(until, |_| (turn < 8).then_some((100 * MS, Outcome::Ok)));
        assert!(!sim.is_open(request), "request {turn} has a final answer");
    }
    let before: u32 = sim.attempts.values().sum();
    // More time passes than the pause between two attempts.
    let until = sim.now + 2 * SECOND;
    sim.run(until, |_| None);
    sim.request(0);
    let until = sim.now + SECOND;
    sim.run(until, |_| Some((100 * MS, Outcome::Ok)));
    assert!(sim.balancer.cold_servers(sim.now).len() == 2, "both servers are still cold");
    assert_eq!(sim.attempts.values().sum::<u32>(), before + 1, "{:?}", sim.failed);
}

/// A description and a change of the settings.
type Change = (&'static str, fn(&mut Settings));

/// Extreme values in settings and lists are rejected, or delay a server by no more than a warm-up.
#[test]
fn extreme_settings_are_rejected_or_delay_servers_by_at_most_the_warm_up() {
    let invalid: [Change; 7] = [
        ("no balancers", |s| s.balancers = 0),
        ("no zones", |s| s.zones = 0),
        ("share of zero", |s| s.rules.initial_capacity_share = 0.0),
        ("negative share", |s| s.rules.initial_capacity_share = -0.1),
        ("share above one", |s| s.rules.initial_capacity_share = 1.5),
        ("share that is not a number", |s| s.rules.initial_capacity_share = f64::NAN),
        ("infinite factor", |s| s.rules.overload_factor = f64::INFINITY),
    ];
    for (what, change) in invalid {
        let mut settings = settings(&[Effect::Safe]);
        change(&mut settings);
        assert!(Balancer::new(settings, 1).is_err(), "{what}");
    }
    let extreme: [Change; 6] = [
        ("maximum number of balancers", |s| s.balancers = u32::MAX),
        ("an index beyond the number of balancers", |s| s.balancer_index = u32::MAX),
        ("more zones than servers", |s| s.zones = u32::MAX),
        ("zero warm-up time", |s| s.rules.warm_up_time = 0),
        ("zero overload time", |s| s.rules.overload_time = 0),
        ("zero overload factor", |s| s.rules.overload_factor = 0.0),
    ];
    let starts = [None, Some(0), Some(1), Some(1_000 * SECOND), Some(u64::MAX)];
    for (what, change) in extreme {
        for started_at in starts {
            let mut settings = settings(&[Effect::Safe]);
            change(&mut settings);
            let warm_after = settings.rules.warm_up_time;
            let server = |id| ServerEntry { zone: id % 2, ring_hash: u64::MAX, ..ServerEntry::new(id) };
            let mut sim = Simulation::new(settings, (0..2).map(server).collect(), 5);
            serve_sequentially(&mut sim, 0, 20, 5 * MS);
            sim.update_servers(ListKind::Changes, vec![ServerEntry { started_at, ..server(2) }]);
            let until = sim.now + warm_after + SECOND;
            sim.run(until, |_| None);
            (0..40).for_each(|_| serve_sequentially(&mut sim, 0, 5, 5 * MS));
            assert!(sim.attempts.contains_key(&2), "{what}, started {started_at:?}: got no attempt");
        }
    }
}
