//! New settings under way: what was learned stays, and what is open keeps its class.

mod common;

use common::{MS, SECOND, World, class, settings, warm_up, world};
use finchshift::{Effect, Outcome};

/// Takes over new settings, in the checker too.
fn take(world: &mut World, settings: finchshift::Settings, learned: &[Option<usize>]) {
    world.balancer.reconfigure(settings.clone(), learned).expect("the settings make sense");
    world.settings = settings;
}

#[test]
fn a_class_that_is_added_begins_with_what_another_learned() {
    let mut world = world(&[Effect::Safe], 3);
    warm_up(&mut world, 0, 160, 10 * MS);
    let mut new = settings(&[Effect::Safe, Effect::Safe, Effect::Safe]);
    // One of them is slower than the aim allows for: unlearned, only its time bounds it.
    new.classes[2].latency_target = 100 * MS;
    take(&mut world, new, &[Some(0), Some(0), None]);
    let mut limit = |class| {
        world.request(class);
        world.out.last().expect("an attempt").limit
    };
    let (kept, copied) = (limit(0), limit(1));
    assert!((9 * MS..13 * MS).contains(&kept) && copied == kept, "{kept} {copied}");
}

#[test]
fn an_unsafe_class_keeps_what_is_out_when_the_settings_change() {
    let mut world = world(&[Effect::Unsafe], 3);
    let id = world.request(0);
    let out = world.out[0].clone();
    // The class of that name is safe from now on: it has another number.
    take(&mut world, settings(&[Effect::Unsafe, Effect::Safe]), &[Some(0), Some(0)]);
    world.now += 50 * MS;
    world.end(&out, Outcome::Reset);
    world.run(world.now + 3 * SECOND, |_| Some((10 * MS, Outcome::Ok)));
    assert!(world.failed.contains(&id) && world.sends.values().sum::<u32>() == 1, "sent again or refused");
}

#[test]
fn breakers_stay_open_and_held_requests_stay_held() {
    let mut world = world(&[Effect::Safe], 4);
    warm_up(&mut world, 0, 40, 10 * MS);
    // One server breaks every connection until it is ejected.
    let bad =
        |o: &common::Out| Some(if o.server == 0 { (MS, Outcome::Reset) } else { (10 * MS, Outcome::Ok) });
    for _ in 0..200 {
        world.request(0);
        world.run(world.now + 30 * MS, bad);
    }
    world.sends.clear();
    // Held where no server is ready.
    let ids: Vec<_> = (0..200).map(|_| world.request(0)).collect();
    let held = ids.len() - world.out.len() - world.refused.len() - world.failed.len();
    assert!(held > 0, "nothing is held");
    let given_up = world.refused.len() + world.failed.len();
    let mut new = settings(&[Effect::Safe]);
    new.classes[0].value = 2.0;
    take(&mut world, new, &[Some(0)]);
    world.run(world.now + 400 * MS, bad);
    let sent: u32 = world.sends.values().sum();
    assert!(sent as usize > 0 && !world.sends.contains_key(&0), "{:?}", world.sends);
    assert!(ids.iter().all(|id| !world.is_open(*id)), "{given_up} given up before");
}

#[test]
fn settings_that_make_no_sense_change_nothing() {
    let mut world = world(&[Effect::Safe], 3);
    warm_up(&mut world, 0, 160, 10 * MS);
    let mut wrong = settings(&[Effect::Safe]);
    wrong.classes[0] = finchshift::Class { latency_target: 0, ..class(Effect::Safe) };
    assert!(world.balancer.reconfigure(wrong, &[Some(0)]).is_err());
    world.request(0);
    assert!(world.out[0].limit < 13 * MS, "{}", world.out[0].limit);
}
