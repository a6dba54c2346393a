//! Random legal event sequences under settings of all kinds: every request gets one final answer in time and
//! no action breaks a rule. The checks themselves are in `common`.

mod common;

use common::{MS, SECOND, World, class, settings};
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
                (tiers, tier, balancers, passes, by_work, ask),
                (cancel, probes, copies, most),
                report,
            )| {
                let mut s = settings(&[]);
                s.classes = classes
                    .into_iter()
                    .map(|(effect, aim, stretch, stream, late)| {
                        let mut c = class(effect);
                        (c.latency_target, c.deadline) = (aim * MS, aim * stretch * MS);
                        (c.stream, c.late_value_ratio) = (stream, if late > 0.7 { late } else { 0.0 });
                        c.value = 1.0 + 10.0 * late;
                        c
                    })
                    .collect();
                (s.tiers, s.tier, s.zones, s.balancers) = (tiers, tier.min(tiers - 1), 3, balancers);
                s.balancer_index = balancers / 2;
                (s.propagates_deadline, s.value_per_work, s.report) = (passes, by_work, report);
                s.discovery = if ask { DiscoveryMode::Pull } else { DiscoveryMode::Push };
                (s.limits.cancel, s.limits.probes, s.limits.concurrent_attempts) = (cancel, probes, copies);
                s.limits.max_attempts = most;
                s
            },
        )
}

/// Plays a random day of a few seconds.
fn play(settings: Settings, servers: u32, seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let entry = |id: u32, rng: &mut fastrand::Rng| {
        let mut e = ServerEntry::new(id);
        (e.zone, e.cell, e.weight) = (id % 3, id % 5, 0.5 + rng.f64());
        e
    };
    let entries = (0..servers).map(|id| entry(id, &mut rng)).collect();
    let (passes, classes) = (settings.propagates_deadline, settings.classes.len());
    let mut world = World::new(settings, entries, seed);
    let start = world.now;
    let (ill, slow) = (rng.u32(..4), 10 + rng.u64(..200));
    for step in 0..400 {
        for _ in 0..rng.u32(..4) {
            let class = rng.usize(..classes);
            let whole = world.settings.classes[class].deadline;
            let left = if passes { rng.u64(..=whole) } else { whole };
            let work = (rng.u32(..2) == 0).then(|| rng.u64(..300) * MS);
            world.request_hinted(class, left, work);
        }
        if rng.u32(..20) == 0 {
            let mut e = entry(rng.u32(..servers + 3), &mut rng);
            e.state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][rng.usize(..3)];
            e.started_at = (rng.u32(..2) == 0).then_some(world.now);
            world.list(ListKind::Changes, vec![e]);
        }
        if rng.u32(..60) == 0 {
            let ids: Vec<u32> = (0..servers).filter(|_| rng.u32(..4) > 0).collect();
            let all = ids.into_iter().map(|id| entry(id, &mut rng)).collect();
            world.list(ListKind::Complete, all);
        }
        if rng.u32(..40) == 0 {
            world.list(ListKind::Failed, Vec::new());
        }
        if rng.u32(..15) == 0
            && let Some(&id) = world.open_requests().first()
        {
            world.gone(id);
        }
        if rng.u32(..10) == 0 {
            world.handle(Event::Timer { token: rng.u64(..) });
            world.handle(Event::ClientGone { request: u64::MAX });
            world.handle(Event::Probed {
                server: rng.u32(..500),
                outcome: Outcome::Ok,
                latency: MS,
                load: None,
            });
        }
        if let Some(out) = world.out.first().cloned()
            && world.settings.classes.iter().all(|c| c.stream)
            && world.is_open(out.request)
        {
            world.first_byte(&out);
        }
        let luck = rng.u64(..);
        let until = start + step * 10 * MS;
        world.run(until, |out| {
            let mut own = fastrand::Rng::with_seed(luck ^ out.request ^ u64::from(out.attempt) << 32);
            if out.server % 4 == ill && own.u32(..3) > 0 {
                let bad = [Outcome::Error, Outcome::Full, Outcome::ConnectFailed, Outcome::Reset];
                return (own.u32(..2) == 0).then(|| (own.u64(1..50) * MS, bad[own.usize(..4)]));
            }
            Some((own.u64(1..=slow) * MS, Outcome::Ok))
        });
    }
    let end = world.now + 10 * SECOND;
    world.run(end, |_| None);
    assert!(world.open_requests().is_empty(), "requests stay open after all deadlines have passed");
}

#[test]
fn random_days_break_no_rule() {
    let config = Config { cases: 160, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let servers = prop_oneof![4 => 0_u32..12, 2 => 12_u32..80, 1 => Just(1_500_u32)];
    TestRunner::new_with_rng(config, rng)
        .run(&(any_settings(), servers, any::<u64>()), |(settings, servers, seed)| {
            play(settings, servers, seed);
            Ok(())
        })
        .expect("no rule is broken");
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut world =
            World::new(settings(&[Effect::Safe, Effect::Unsafe]), (0..9).map(ServerEntry::new).collect(), 3);
        for i in 0..300_u64 {
            world.request((i % 2) as usize);
            let until = world.now + 5 * MS;
            world.run(until, |o| (o.server != 4).then_some((40 * MS, Outcome::Ok)));
        }
        world.trace
    };
    assert_eq!(run(), run());
}
