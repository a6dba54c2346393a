//! Random valid event sequences with random settings: every request gets one final answer in time, and no action
//! breaks a rule. The simulation in `common` makes the checks.

mod common;

use common::{MS, SECOND, Simulation, class, settings};
use finchshift::{
    DedupGroup, DiscoveryMode, Effect, Event, ListKind, Outcome, ReportMode, ServerEntry, ServerState,
    Settings,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn effects() -> impl Strategy<Value = Effect> {
    let window = (50 * MS)..(3 * SECOND);
    let group = prop_oneof![Just(DedupGroup::All), Just(DedupGroup::Zone), Just(DedupGroup::Cell)];
    prop_oneof![
        Just(Effect::Safe),
        Just(Effect::Unsafe),
        (group, window).prop_map(|(group, window)| Effect::Keyed { group, window }),
    ]
}

fn any_settings() -> impl Strategy<Value = Settings> {
    (
        prop::collection::vec((effects(), 50_u64..1_000, 1_u64..4, any::<bool>(), 0.0..1.0_f64), 1..4),
        (1_u32..4, 0_u32..3, 1_u32..400, any::<bool>(), any::<bool>(), any::<bool>()),
        (any::<bool>(), any::<bool>(), any::<bool>(), 1_u32..6),
        prop_oneof![Just(ReportMode::None), Just(ReportMode::Probe), Just(ReportMode::Answers)],
    )
        .prop_map(
            |(
                classes,
                (tiers, tier, balancers, propagates, per_work, pull),
                (cancel, probes, concurrent, max_attempts),
                report,
            )| {
                let mut s = settings(&[]);
                s.classes = classes
                    .into_iter()
                    .map(|(effect, target, stretch, stream, late)| {
                        let mut c = class(effect);
                        (c.latency_target, c.deadline) = (target * MS, target * stretch * MS);
                        (c.stream, c.late_value_ratio) = (stream, if late > 0.7 { late } else { 0.0 });
                        c.value = 1.0 + 10.0 * late;
                        c
                    })
                    .collect();
                (s.tiers, s.tier, s.zones, s.balancers) = (tiers, tier.min(tiers - 1), 3, balancers);
                s.balancer_index = balancers / 2;
                (s.propagates_deadline, s.value_per_work, s.report) = (propagates, per_work, report);
                s.discovery = if pull { DiscoveryMode::Pull } else { DiscoveryMode::Push };
                (s.limits.cancel, s.limits.probes, s.limits.concurrent_attempts) =
                    (cancel, probes, concurrent);
                s.limits.max_attempts = max_attempts;
                s
            },
        )
}

/// Runs a random scenario of a few seconds.
fn run_scenario(settings: Settings, servers: u32, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let entry = |id: u32, rng: &mut fastrand::Rng| {
        let mut e = ServerEntry::new(id);
        (e.zone, e.cell, e.weight) = (id % 3, id % 5, 0.5 + rng.f64());
        e
    };
    let entries = (0..servers).map(|id| entry(id, &mut rng)).collect();
    let (propagates, classes) = (settings.propagates_deadline, settings.classes.len());
    let mut sim = Simulation::new(settings, entries, seed);
    let start = sim.now;
    let (failing, max_latency_ms) = (rng.u32(..4), 10 + rng.u64(..200));
    for step in 0..400 {
        for _ in 0..rng.u32(..4) {
            let class = rng.usize(..classes);
            let deadline = sim.settings.classes[class].deadline;
            let left = if propagates { rng.u64(..=deadline) } else { deadline };
            let work = (rng.u32(..2) == 0).then(|| rng.u64(..300) * MS);
            sim.request_with_work(class, left, work);
        }
        if rng.u32(..20) == 0 {
            let mut e = entry(rng.u32(..servers + 3), &mut rng);
            e.state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][rng.usize(..3)];
            e.started_at = (rng.u32(..2) == 0).then_some(sim.now);
            sim.update_servers(ListKind::Changes, vec![e]);
        }
        if rng.u32(..60) == 0 {
            let ids: Vec<u32> = (0..servers).filter(|_| rng.u32(..4) > 0).collect();
            let all = ids.into_iter().map(|id| entry(id, &mut rng)).collect();
            sim.update_servers(ListKind::Complete, all);
        }
        if rng.u32(..40) == 0 {
            sim.update_servers(ListKind::Failed, Vec::new());
        }
        if rng.u32(..15) == 0
            && let Some(&id) = sim.open_requests().first()
        {
            sim.client_gone(id);
        }
        if rng.u32(..10) == 0 {
            sim.handle(Event::Timer { token: rng.u64(..) });
            sim.handle(Event::ClientGone { request: u64::MAX });
            sim.handle(Event::Probed {
                server: rng.u32(..500),
                outcome: Outcome::Ok,
                latency: MS,
                load: None,
            });
        }
        if let Some(out) = sim.in_flight.first().cloned()
            && sim.settings.classes.iter().all(|c| c.stream)
            && sim.is_open(out.request)
        {
            sim.first_byte(&out);
        }
        let attempt_seed = rng.u64(..);
        let until = start + step * 10 * MS;
        sim.run(until, |out| {
            let mut own = fastrand::Rng::with_seed(attempt_seed ^ out.request ^ u64::from(out.number) << 32);
            if out.server % 4 == failing && own.u32(..3) > 0 {
                let bad = [Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset];
                return (own.u32(..2) == 0).then(|| (own.u64(1..50) * MS, bad[own.usize(..4)]));
            }
            Some((own.u64(1..=max_latency_ms) * MS, Outcome::Ok))
        });
    }
    let end = sim.now + 10 * SECOND;
    sim.run(end, |_| None);
    assert!(sim.open_requests().is_empty(), "requests stay open after all deadlines have passed");
}

#[test]
fn random_scenarios_break_no_rule() {
    let config = Config { cases: 160, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let servers = prop_oneof![4 => 0_u32..12, 2 => 12_u32..80, 1 => Just(1_500_u32)];
    TestRunner::new_with_rng(config, rng)
        .run(&(any_settings(), servers, any::<u64>()), |(settings, servers, seed)| {
            run_scenario(settings, servers, seed);
            Ok(())
        })
        .expect("all scenarios pass");
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut sim = Simulation::new(
            settings(&[Effect::Safe, Effect::Unsafe]),
            (0..9).map(ServerEntry::new).collect(),
            3,
        );
        for i in 0..300_u64 {
            sim.request((i % 2) as usize);
            let until = sim.now + 5 * MS;
            sim.run(until, |o| (o.server != 4).then_some((40 * MS, Outcome::Ok)));
        }
        sim.trace
    };
    assert_eq!(run(), run());
}
