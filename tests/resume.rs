//! A balancer that goes on with what another has learned.

mod common;

use common::{MS, settings, warm_up, world};
use finchshift::{Effect, LearnedState};

#[test]
fn the_first_attempt_of_a_successor_is_bounded_by_what_the_other_learned() {
    let mut old = world(&[Effect::Safe, Effect::Keyed { group: finchshift::DedupGroup::All, window: 1 }], 3);
    warm_up(&mut old, 0, 160, 10 * MS);
    let learned = old.balancer.learned();
    let limit = |learned: Option<&LearnedState>| {
        let mut new =
            world(&[Effect::Safe, Effect::Keyed { group: finchshift::DedupGroup::All, window: 1 }], 3);
        if let Some(learned) = learned {
            new.balancer.restore(new.now, learned);
        }
        new.request(0);
        new.out.last().expect("an attempt").limit
    };
    let (bounded, unbounded) = (limit(Some(&learned)), limit(None));
    assert!((9 * MS..13 * MS).contains(&bounded) && unbounded > 100 * MS, "{bounded} {unbounded}");
}

#[test]
fn the_window_of_a_successor_is_that_of_the_other_and_not_the_first() {
    let mut old = world(&[Effect::Safe], 3);
    old.balancer.reconfigure(settings(&[Effect::Safe]), &[Some(0)]).expect("the same");
    let mut learned = old.balancer.learned();
    let out = |learned: &LearnedState| {
        let mut new = world(&[Effect::Safe], 3);
        new.balancer.restore(new.now, learned);
        (0..200).for_each(|_| _ = new.request(0));
        new.out.len()
    };
    let first = out(&learned);
    for (_, figures) in &mut learned.zones {
        figures[0] = 2.0;
    }
    assert!(first > 2 && out(&learned) == 2, "{first}");
}

#[test]
fn what_is_no_figure_or_of_another_build_changes_nothing() {
    let mut old = world(&[Effect::Safe], 3);
    warm_up(&mut old, 0, 160, 10 * MS);
    let good = old.balancer.learned();
    let spoilt = |change: &dyn Fn(&mut LearnedState)| {
        let mut learned = good.clone();
        change(&mut learned);
        let mut new = world(&[Effect::Safe], 3);
        let before = new.balancer.learned();
        new.balancer.restore(new.now, &learned);
        (before, new.balancer.learned())
    };
    let nothing = |l: &mut LearnedState| {
        *l = LearnedState {
            classes: vec![Vec::new(); 4],
            overall: vec![1.0; 7],
            zones: vec![(99, vec![1.0; 3])],
        };
    };
    let wrong = |value: f64| {
        move |l: &mut LearnedState| {
            l.classes[0][2] = value;
            l.overall[5] = value;
            l.zones.iter_mut().for_each(|(_, f)| f[0] = value);
        }
    };
    for change in
        [&nothing as &dyn Fn(&mut LearnedState), &wrong(f64::NAN), &wrong(f64::INFINITY), &wrong(-1.0)]
    {
        let (before, after) = spoilt(change);
        assert_eq!(before, after);
    }
}

#[test]
fn two_processes_share_one_window() {
    let mut one = world(&[Effect::Safe], 3);
    (0..200).for_each(|_| _ = one.request(0));
    let window = one.out.len();
    let in_flight = one.balancer.in_flight();
    assert_eq!(in_flight.iter().map(|(_, n)| n).sum::<f64>(), window as f64);
    // Beside one that has filled it nothing goes out; where that one has let go of two, two do.
    let mut other = world(&[Effect::Safe], 3);
    other.balancer.set_peer_in_flight(&in_flight);
    (0..200).for_each(|_| _ = other.request(0));
    assert_eq!(other.out.len(), 0);
    let fewer: Vec<_> = in_flight.iter().map(|(zone, n)| (*zone, n - 2.0)).collect();
    other.balancer.set_peer_in_flight(&fewer);
    other.request(0);
    assert_eq!(other.out.len(), 2 * in_flight.len());
    // It has gone.
    other.balancer.set_peer_in_flight(&[]);
    other.request(0);
    assert_eq!(other.out.len(), window);
    // What is no number is nothing.
    let mut third = world(&[Effect::Safe], 3);
    third
        .balancer
        .set_peer_in_flight(&in_flight.iter().map(|(zone, _)| (*zone, f64::NAN)).collect::<Vec<_>>());
    (0..200).for_each(|_| _ = third.request(0));
    assert_eq!(third.out.len(), window);
}
