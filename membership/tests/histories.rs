//! An etcd source in thousands of random histories, in emulated time.

mod common;

use common::*;
use finchshift::Micros;
use sloeline_membership::plausibility::PlausibilityRules;
use sloeline_membership::view::MemberStatus;
use sloeline_standin::keys::Write;

/// Rules that accept all losses, so that the view can be compared with the registry.
fn plain() -> PlausibilityRules {
    PlausibilityRules { accept_losses: true, ..PlausibilityRules::default() }
}

/// Executes a random change of the registry or of its faults.
fn happen(world: &mut World) {
    let name = format!("n{}", world.rng.u8(..5));
    match world.rng.u8(..20) {
        0..4 => {
            let status = if world.rng.bool() { MemberStatus::Serving } else { MemberStatus::Draining };
            let lease = if world.rng.bool() { world.store.grant() } else { 0 };
            world.store.put(&key(&name), value(&name, status), lease);
        }
        4..7 => world.store.put(&drain(&name), "", 0),
        7..9 => world.store.delete(&drain(&name)),
        9 => world.store.delete(&key(&name)),
        10 => {
            let all = vec![Write::Put(drain(&name), Vec::new(), 0), Write::Delete(key(&name))];
            world.store.write(all);
        }
        11 => {
            let range = world.store.range(b"/p/nodes/", b"/p/nodes0", 0).unwrap_or_default();
            if let Some((_, pair)) = range.iter().find(|(_, p)| p.lease != 0) {
                world.store.end(pair.lease);
            }
        }
        12 => {
            let upto = world.store.revision - world.rng.i64(..3);
            world.store.compact(upto);
        }
        // Another prefix: revisions without events for the source.
        13 => world.store.put("/q/x", "", 0),
        _ => {
            let endpoint = world.rng.usize(..3);
            let fault = match world.rng.u8(..6) {
                0 => Fault { down: true, ..Fault::default() },
                1 => Fault { deaf: true, ..Fault::default() },
                2 => Fault { behind: Some(world.store.revision), ..Fault::default() },
                _ => Fault::default(),
            };
            world.fault(endpoint, fault);
        }
    }
    world.push();
    world.settle();
}

/// Time from the end of all faults until everything is known: a pause, a range, a watch or the check of a stalled watch, and the
/// same again for a connection that breaks meanwhile.
const ALL_WELL: Micros = 2 * (4 + 6 + 1 + 3) * SECOND;

fn history(seed: u64, events: usize) -> ([u64; 4], u64) {
    let mut world = World::with(seed, settings(), plain());
    world.fragments = if seed.is_multiple_of(2) { 0.5 } else { 0.0 };
    let mut watcher = Watcher::new(seed);
    for _ in 0..events {
        let pause = if world.rng.u8(..4) == 0 { 8 * SECOND } else { 20 * MS };
        let at = world.now + world.rng.u64(..pause);
        world.until(at, |w| watcher.holds(w));
        happen(&mut world);
        watcher.holds(&world);
    }
    for endpoint in 0..3 {
        world.fault(endpoint, Fault::default());
    }
    let at = world.now + ALL_WELL;
    world.until(at, |w| watcher.holds(w));
    // The last change under the prefix is known.
    let last = world.store.since(b"/p/", b"/p0", 0).last().map_or(0, |c| c.revision);
    let applied = world.etcd.applied().unwrap_or(0);
    assert!(applied >= last, "SEED={seed}: {applied} of {last}, {:?}", world.etcd);
    let truth = world.truth(world.store.revision);
    let serving: Vec<&str> = truth.iter().filter(|(_, s)| **s).map(|(n, _)| n.as_str()).collect();
    if watcher.epoch == 0 {
        assert_eq!(world.serving(), serving, "SEED={seed}");
    }
    (world.calls, watcher.epoch)
}

#[test]
fn thousands_of_random_histories() {
    let first = seed();
    let (mut calls, mut epochs) = ([0; 4], 0);
    // Twice as many as needed on average, so that the check below does not fail by chance.
    for n in 0..6000 {
        let (each, epoch) = history(first.wrapping_add(n), 40);
        (0..4).for_each(|i| calls[i] += each[i]);
        epochs += u64::from(epoch > 0);
    }
    println!(
        "ranges, watches, checks, leases: {calls:?}; {epochs} histories in which another epoch was believed"
    );
    assert!(epochs < 300, "{epochs}");
    // Compactions, failures, checks and lease queries all occurred.
    assert!(calls.iter().all(|n| *n > 1000), "{calls:?}");
}
