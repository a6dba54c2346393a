//! Changes of the settings of a running balancer: learned state is kept, and open requests keep their class.

mod common;

use common::{MS, SECOND, Simulation, class, serve_sequentially, settings, simulation};
use finchshift::{Effect, Outcome};

/// Applies new settings to the balancer and to the simulation's checks.
fn reconfigure(sim: &mut Simulation, settings: finchshift::Settings, map: &[Option<usize>]) {
    sim.balancer.reconfigure(settings.clone(), map).expect("valid settings");
    sim.settings = settings;
}

#[test]
fn added_class_inherits_learned_state() {
    let mut sim = simulation(&[Effect::Safe], 3);
    serve_sequentially(&mut sim, 0, 160, 10 * MS);
    let mut new = settings(&[Effect::Safe, Effect::Safe, Effect::Safe]);
    // The third class has a shorter latency target and inherits nothing.
    new.classes[2].latency_target = 100 * MS;
    reconfigure(&mut sim, new, &[Some(0), Some(0), None]);
    let mut limit = |class| {
        sim.request(class);
        sim.in_flight.last().expect("attempt in flight").limit
    };
    let (kept, copied) = (limit(0), limit(1));
    assert!((9 * MS..13 * MS).contains(&kept) && copied == kept, "{kept} {copied}");
}

#[test]
fn attempt_in_flight_stays_unsafe_when_its_class_becomes_safe() {
    let mut sim = simulation(&[Effect::Unsafe], 3);
    let id = sim.request(0);
    let out = sim.in_flight[0].clone();
    // The class of that name becomes safe, so it gets a new index.
    reconfigure(&mut sim, settings(&[Effect::Unsafe, Effect::Safe]), &[Some(0), Some(0)]);
    sim.now += 50 * MS;
    sim.end_attempt(&out, Outcome::Reset);
    sim.run(sim.now + 3 * SECOND, |_| Some((10 * MS, Outcome::Ok)));
    assert!(sim.failed.contains(&id) && sim.attempts.values().sum::<u32>() == 1, "retried or refused");
}

#[test]
fn open_breakers_and_queued_requests_are_kept() {
    let mut sim = simulation(&[Effect::Safe], 4);
    serve_sequentially(&mut sim, 0, 40, 10 * MS);
    // Server 0 resets every connection until it is ejected.
    let served =
        |o: &common::Attempt| Some(if o.server == 0 { (MS, Outcome::Reset) } else { (10 * MS, Outcome::Ok) });
    for _ in 0..200 {
        sim.request(0);
        sim.run(sim.now + 30 * MS, served);
    }
    sim.attempts.clear();
    // More requests than the window allows: some are queued.
    let ids: Vec<_> = (0..200).map(|_| sim.request(0)).collect();
    let queued = ids.len() - sim.in_flight.len() - sim.refused.len() - sim.failed.len();
    assert!(queued > 0, "no request is queued");
    let unserved = sim.refused.len() + sim.failed.len();
    let mut new = settings(&[Effect::Safe]);
    new.classes[0].value = 2.0;
    reconfigure(&mut sim, new, &[Some(0)]);
    sim.run(sim.now + 400 * MS, served);
    let sent: u32 = sim.attempts.values().sum();
    assert!(sent as usize > 0 && !sim.attempts.contains_key(&0), "{:?}", sim.attempts);
    assert!(ids.iter().all(|id| !sim.is_open(*id)), "{unserved} unserved before the change");
}

#[test]
fn invalid_settings_change_nothing() {
    let mut sim = simulation(&[Effect::Safe], 3);
    serve_sequentially(&mut sim, 0, 160, 10 * MS);
    let mut invalid = settings(&[Effect::Safe]);
    invalid.classes[0] = finchshift::Class { latency_target: 0, ..class(Effect::Safe) };
    assert!(sim.balancer.reconfigure(invalid, &[Some(0)]).is_err());
    sim.request(0);
    assert!(sim.in_flight[0].limit < 13 * MS, "{}", sim.in_flight[0].limit);
}
