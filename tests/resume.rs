//! A balancer that restores the learned state of its predecessor.

mod common;

use common::{MS, serve_sequentially, settings, simulation};
use finchshift::{Effect, LearnedState};

#[test]
fn restored_percentiles_limit_the_first_attempt() {
    let mut old =
        simulation(&[Effect::Safe, Effect::Keyed { group: finchshift::DedupGroup::All, window: 1 }], 3);
    serve_sequentially(&mut old, 0, 160, 10 * MS);
    let learned = old.balancer.learned();
    let limit = |learned: Option<&LearnedState>| {
        let mut new =
            simulation(&[Effect::Safe, Effect::Keyed { group: finchshift::DedupGroup::All, window: 1 }], 3);
        if let Some(learned) = learned {
            new.balancer.restore(new.now, learned);
        }
        new.request(0);
        new.in_flight.last().expect("attempt in flight").limit
    };
    let (restored, fresh) = (limit(Some(&learned)), limit(None));
    assert!((9 * MS..13 * MS).contains(&restored) && fresh > 100 * MS, "{restored} {fresh}");
}

#[test]
fn restored_window_replaces_the_initial_one() {
    let mut old = simulation(&[Effect::Safe], 3);
    old.balancer.reconfigure(settings(&[Effect::Safe]), &[Some(0)]).expect("valid settings");
    let mut learned = old.balancer.learned();
    let in_flight = |learned: &LearnedState| {
        let mut new = simulation(&[Effect::Safe], 3);
        new.balancer.restore(new.now, learned);
        (0..200).for_each(|_| _ = new.request(0));
        new.in_flight.len()
    };
    let initial = in_flight(&learned);
    for (_, values) in &mut learned.zones {
        values[0] = 2.0;
    }
    assert!(initial > 2 && in_flight(&learned) == 2, "{initial}");
}

#[test]
fn invalid_learned_state_changes_nothing() {
    let mut old = simulation(&[Effect::Safe], 3);
    serve_sequentially(&mut old, 0, 160, 10 * MS);
    let good = old.balancer.learned();
    let restore = |change: &dyn Fn(&mut LearnedState)| {
        let mut learned = good.clone();
        change(&mut learned);
        let mut new = simulation(&[Effect::Safe], 3);
        let before = new.balancer.learned();
        new.balancer.restore(new.now, &learned);
        (before, new.balancer.learned())
    };
    let wrong_layout = |l: &mut LearnedState| {
        *l = LearnedState {
            classes: vec![Vec::new(); 4],
            overall: vec![1.0; 7],
            zones: vec![(99, vec![1.0; 3])],
        };
    };
    let invalid_number = |value: f64| {
        move |l: &mut LearnedState| {
            l.classes[0][2] = value;
            l.overall[5] = value;
            l.zones.iter_mut().for_each(|(_, f)| f[0] = value);
        }
    };
    for change in [
        &wrong_layout as &dyn Fn(&mut LearnedState),
        &invalid_number(f64::NAN),
        &invalid_number(f64::INFINITY),
        &invalid_number(-1.0),
    ] {
        let (before, after) = restore(change);
        assert_eq!(before, after);
    }
}

#[test]
fn two_processes_share_one_window() {
    let mut one = simulation(&[Effect::Safe], 3);
    (0..200).for_each(|_| _ = one.request(0));
    let window = one.in_flight.len();
    let in_flight = one.balancer.in_flight();
    assert_eq!(in_flight.iter().map(|(_, n)| n).sum::<f64>(), window as f64);
    // The first process fills the window, so the second sends nothing. When two attempts of the first have ended, the
    // second sends two per zone.
    let mut other = simulation(&[Effect::Safe], 3);
    other.balancer.set_peer_in_flight(&in_flight);
    (0..200).for_each(|_| _ = other.request(0));
    assert_eq!(other.in_flight.len(), 0);
    let fewer: Vec<_> = in_flight.iter().map(|(zone, n)| (*zone, n - 2.0)).collect();
    other.balancer.set_peer_in_flight(&fewer);
    other.request(0);
    assert_eq!(other.in_flight.len(), 2 * in_flight.len());
    // The first process has stopped.
    other.balancer.set_peer_in_flight(&[]);
    other.request(0);
    assert_eq!(other.in_flight.len(), window);
    // A value that is not a number counts as zero.
    let mut third = simulation(&[Effect::Safe], 3);
    third
        .balancer
        .set_peer_in_flight(&in_flight.iter().map(|(zone, _)| (*zone, f64::NAN)).collect::<Vec<_>>());
    (0..200).for_each(|_| _ = third.request(0));
    assert_eq!(third.in_flight.len(), window);
}
