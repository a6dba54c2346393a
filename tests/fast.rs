//! Services that answer far faster than their deadline: limits and windows must not fail requests that have time.

mod common;

use std::collections::BTreeSet;

use common::{Attempt, KEYED_CELL, MS, SECOND, Simulation, settings};
use finchshift::{
    Action, DedupGroup, DiscoveryMode, Effect, ListKind, Micros, Outcome, ServerEntry, ServerState,
};

fn simulation(effect: Effect, servers: u32) -> Simulation {
    Simulation::new(settings(&[effect]), (0..servers).map(ServerEntry::new).collect(), 7)
}

/// Serves requests one after another, each with a latency of `latency`.
fn serve(sim: &mut Simulation, n: usize, latency: Micros) {
    for _ in 0..n {
        sim.request(0);
        sim.run(sim.now + 3 * latency, |_| Some((latency, Outcome::Ok)));
    }
}

#[test]
fn constant_latency_is_never_cut_off() {
    for effect in [Effect::Safe, KEYED_CELL, Effect::Unsafe] {
        // Latencies throughout a histogram bucket, from its lower to its upper edge.
        for step in 0..16 {
            let latency = (20.0 * MS as f64 * 2_f64.powf(f64::from(step) / 64.0)) as Micros;
            let mut sim = simulation(effect, 3);
            serve(&mut sim, 300, latency);
            assert!(sim.failed.is_empty() && sim.refused.is_empty(), "{effect:?} {latency}");
            let sent: u32 = sim.attempts.values().sum();
            assert_eq!(sent, 300, "{effect:?} {latency}: {} unnecessary attempts", sent - 300);
        }
    }
}

#[test]
fn last_attempt_gets_its_share_of_the_remaining_time() {
    for effect in [Effect::Safe, KEYED_CELL] {
        let mut sim = simulation(effect, 3);
        serve(&mut sim, 200, MS);
        // The first attempt times out at the learned P99; the second takes twenty times P50.
        let id = sim.request(0);
        sim.run(sim.now + 100 * MS, |out| match out.number {
            0 => None,
            _ => Some((20 * MS, Outcome::Ok)),
        });
        assert!(!sim.failed.contains(&id) && !sim.refused.contains(&id), "{effect:?}");
        assert_eq!(sim.attempts.values().sum::<u32>(), 202, "{effect:?}: not retried");
    }
    let mut sim = simulation(Effect::Unsafe, 3);
    serve(&mut sim, 200, MS);
    let id = sim.request(0);
    sim.run(sim.now + 100 * MS, |_| Some((20 * MS, Outcome::Ok)));
    assert!(!sim.failed.contains(&id));
}

#[test]
fn first_attempt_with_a_possible_retry_is_limited_by_p99() {
    let mut sim = simulation(Effect::Safe, 3);
    serve(&mut sim, 200, MS);
    sim.request(0);
    let limit = sim.in_flight[0].limit;
    assert!((MS..2 * MS).contains(&limit), "{limit}");
}

/// Keyed classes with the given latency targets, which are also their deadlines.
fn keyed_classes(servers: u32, targets: &[Micros]) -> Simulation {
    let keyed = Effect::Keyed { group: DedupGroup::All, window: 20 * SECOND };
    let mut s = settings(&vec![keyed; targets.len()]);
    s.balancers = 1;
    for (class, target) in s.classes.iter_mut().zip(targets) {
        (class.latency_target, class.deadline) = (*target, *target);
    }
    Simulation::new(s, (0..servers).map(entry).collect(), 7)
}

/// An entry with a pseudo-random position on the hash ring, as hashed names have.
fn entry(id: u32) -> ServerEntry {
    ServerEntry { ring_hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15), ..ServerEntry::new(id) }
}

/// Sends requests of a class at a fixed interval until a given time; `served` returns the end of each attempt.
fn send_steadily(
    sim: &mut Simulation,
    class: usize,
    interval: Micros,
    until: Micros,
    mut served: impl FnMut(&Attempt) -> Option<(Micros, Outcome)>,
) {
    while sim.now < until {
        sim.request(class);
        let next = sim.now + interval;
        sim.run(next, &mut served);
    }
}

/// Numbers of refused and failed requests.
fn unserved(sim: &Simulation) -> (usize, usize) {
    (sim.refused.len(), sim.failed.len())
}

#[test]
fn stall_of_all_attempts_in_flight_fails_no_request() {
    let mut sim = keyed_classes(20, &[6 * SECOND]);
    let start = sim.now;
    send_steadily(&mut sim, 0, MS / 10, start + SECOND, |_| Some((MS, Outcome::Ok)));
    for _ in 0..3 {
        let hiccup = sim.now;
        (0..60).for_each(|_| _ = sim.request(0));
        // Attempts sent within 50 ms are answered only after that time.
        let latency = |out: &Attempt| MS.max((hiccup + 50 * MS).saturating_sub(out.sent_at));
        let until = hiccup + SECOND;
        send_steadily(&mut sim, 0, MS / 2, until, |out| Some((latency(out), Outcome::Ok)));
    }
    assert_eq!(unserved(&sim), (0, 0));
}

#[test]
fn burst_served_within_a_fraction_of_the_target_is_not_refused() {
    let mut sim = keyed_classes(10, &[6 * SECOND]);
    let start = sim.now;
    send_steadily(&mut sim, 0, MS, start + SECOND, |_| Some((MS, Outcome::Ok)));
    (0..1000).for_each(|_| _ = sim.request(0));
    let until = sim.now + SECOND;
    sim.run(until, |_| Some((MS, Outcome::Ok)));
    assert_eq!((unserved(&sim), sim.open_requests().len()), ((0, 0), 0));
}

#[test]
fn queued_request_is_sent_when_an_answer_frees_the_window() {
    let mut sim = keyed_classes(1, &[6 * SECOND]);
    (0..12).for_each(|_| _ = sim.request(0));
    let held = 12 - sim.in_flight.len();
    assert!(held > 0);
    let out = sim.in_flight[0].clone();
    sim.now += MS;
    let actions = sim.end_attempt(&out, Outcome::Ok);
    assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })), "{actions:?}");
}

#[test]
fn balancer_adapts_to_2000_times_slower_service_and_back() {
    let mut sim = keyed_classes(10, &[6 * SECOND]);
    let start = sim.now;
    let slow = start + 3 * SECOND..start + 30 * SECOND;
    let latency = |out: &Attempt| if slow.contains(&out.sent_at) { 400 * MS } else { MS / 5 };
    send_steadily(&mut sim, 0, 5 * MS, slow.end, |out| Some((latency(out), Outcome::Ok)));
    let (refused, failed) = unserved(&sim);
    // 200 requests per second for 27 seconds.
    assert!(refused + failed <= 5, "{refused} refused, {failed} failed of 5,400");
    // In a steady state the attempts in flight match the request rate, and no request is queued.
    let waiting = sim.open_requests().len() - sim.in_flight.len();
    assert!(
        (70..95).contains(&sim.in_flight.len()) && waiting < 5,
        "{} in flight, {waiting} queued",
        sim.in_flight.len()
    );
    send_steadily(&mut sim, 0, 5 * MS, slow.end + 10 * SECOND, |out| Some((latency(out), Outcome::Ok)));
    assert_eq!(unserved(&sim), (refused, failed));
    // Limits are back to milliseconds, so that an unresponsive server is noticed soon.
    sim.request(0);
    assert!(sim.in_flight.last().is_some_and(|o| o.limit < 20 * MS), "{:?}", sim.in_flight.last());
}

#[test]
fn fast_failing_server_among_a_thousand_gets_few_calls() {
    let mut sim = keyed_classes(1000, &[6 * SECOND]);
    let start = sim.now;
    let ends = |out: &Attempt| match out.server {
        7 => Some((10, Outcome::Error)),
        _ => Some((10 * MS, Outcome::Ok)),
    };
    send_steadily(&mut sim, 0, MS / 5, start + 20 * SECOND, ends);
    assert_eq!(unserved(&sim), (0, 0));
    let sent = sim.attempts.get(&7).copied().unwrap_or(0);
    // Its even share of 100,000 requests would be 100.
    assert!(sent < 100, "{sent}");
}

#[test]
fn classes_of_one_millisecond_and_two_seconds_share_a_pool() {
    let mut sim = keyed_classes(10, &[200 * MS, 6 * SECOND]);
    let start = sim.now;
    let mut slow = BTreeSet::new();
    for n in 0..10_000 {
        if n % 100 == 0 {
            slow.insert(sim.request(1));
        } else {
            sim.request(0);
        }
        let until = start + (n + 1) * 2 * MS;
        sim.run(until, |out| Some((if slow.contains(&out.request) { 2 * SECOND } else { MS }, Outcome::Ok)));
    }
    assert_eq!(unserved(&sim), (0, 0));
    // Few unnecessary attempts.
    let sent: u32 = sim.attempts.values().sum();
    assert!(sent < 10_300, "{sent}");
}

#[test]
fn rules_hold_for_ten_thousand_servers_at_one_request_per_second() {
    let mut sim = keyed_classes(10_000, &[6 * SECOND]);
    let start = sim.now;
    send_steadily(&mut sim, 0, SECOND, start + 300 * SECOND, |_| Some((MS, Outcome::Ok)));
    // Servers that drain before their first call get none: the simulation would panic.
    let drained = (0..5_000).map(|id| ServerEntry { state: ServerState::Draining, ..entry(id) }).collect();
    sim.update_servers(ListKind::Changes, drained);
    // All but two of the others are cold from now on.
    let cold = (5_000..9_998).map(|id| ServerEntry { started_at: Some(sim.now), ..entry(id) }).collect();
    sim.update_servers(ListKind::Changes, cold);
    let before = sim.attempts.clone();
    // Server 9,998 fails every call: once ejected, it gets only a few trial calls.
    let until = sim.now + 300 * SECOND;
    send_steadily(&mut sim, 0, SECOND, until, |out| match out.server {
        9_998 => Some((MS, Outcome::Error)),
        _ => Some((MS, Outcome::Ok)),
    });
    assert_eq!(unserved(&sim), (0, 0));
    let since = |id: u32| sim.attempts.get(&id).copied().unwrap_or(0) - before.get(&id).copied().unwrap_or(0);
    let spread = (5_000..9_998).filter(|id| since(*id) > 0).count();
    assert!(
        since(9_998) < 60 && spread > 200,
        "{} to the failing server, {spread} other servers used",
        since(9_998)
    );
}

#[test]
fn single_balancer_requests_its_list_within_250_ms() {
    let first = |balancers: u32, seed: u64| {
        let mut s = settings(&[Effect::Safe]);
        (s.discovery, s.balancers) = (DiscoveryMode::Pull, balancers);
        s.rules.discovery_interval = 10 * SECOND;
        let mut sim = Simulation::new(s, Vec::new(), seed);
        let start = sim.now;
        while sim.discovery_requests == 0 {
            let next = sim.timers.first().map_or(u64::MAX, |t| t.0);
            sim.run(next, |_| None);
        }
        sim.now - start
    };
    for seed in 0..50 {
        assert!(first(1, seed) <= 250 * MS && first(8, seed) <= 250 * MS, "seed {seed}");
        assert!(first(400, seed) <= 10 * SECOND);
    }
    // Hundreds of balancers spread over the interval.
    let late = (0..50).filter(|seed| first(400, *seed) > 3 * SECOND).count();
    assert!(late > 20, "{late} of 50");
}

#[test]
fn occasional_timeouts_close_no_idle_connections() {
    let mut sim = keyed_classes(4, &[6 * SECOND]);
    let start = sim.now;
    // One first attempt in fifty times out; a server's idle times have all lengths.
    send_steadily(&mut sim, 0, 7 * MS, start + 20 * SECOND, |out| match (out.request % 50, out.number) {
        (0, 0) => Some((SECOND, Outcome::Ok)),
        _ => Some((MS, Outcome::Ok)),
    });
    let closed = sim.trace.iter().filter(|(_, a)| matches!(a, Action::CloseIdle { .. })).count();
    let sent: u32 = sim.attempts.values().sum();
    assert!(closed * 100 < sent as usize, "{closed} of {sent}");
    assert_eq!(unserved(&sim), (0, 0));
}

#[test]
fn retry_is_sent_after_its_backoff_without_other_events() {
    let mut sim = keyed_classes(3, &[6 * SECOND]);
    let start = sim.now;
    send_steadily(&mut sim, 0, 10 * MS, start + 3 * SECOND, |_| Some((MS, Outcome::Ok)));
    let requested_at = sim.now;
    sim.request(0);
    sim.run(requested_at + SECOND, |out| {
        Some((MS, if out.number == 0 { Outcome::Error } else { Outcome::Ok }))
    });
    let sent: Vec<_> =
        sim.trace.iter().filter(|(at, a)| *at >= requested_at && matches!(a, Action::Send { .. })).collect();
    assert!(sent.len() == 2 && sent[1].0 <= requested_at + 5 * MS, "{sent:?}");
}
