//! All sequences, up to a length, of events at two nodes and a registry that is reachable, behind or unreachable.

mod common;

use common::*;
use sloeline_membership::plausibility::PlausibilityRules;
use sloeline_membership::view::MemberStatus;

/// Number of different events: changes of the first node, states of the registry, and pauses.
const ACTIONS: usize = 10;
const DEPTH: u32 = 4;

fn act(world: &mut World, action: usize, watcher: &mut Watcher) {
    match action {
        0 => world.store.put(&drain("a"), "", 0),
        1 => world.store.delete(&drain("a")),
        2 => world.store.delete(&key("a")),
        3 => world.store.put(&key("a"), value("a", MemberStatus::Serving), 0),
        4 => world.store.compact(world.store.revision),
        5 => (0..3).for_each(|e| world.fault(e, Fault { down: true, ..Fault::default() })),
        6 => {
            let behind = Some(world.store.revision);
            (1..3).for_each(|e| world.fault(e, Fault { behind, ..Fault::default() }));
        }
        7 => (0..3).for_each(|e| world.fault(e, Fault::default())),
        // Long enough for one exchange, or for a check of the watch and its consequences.
        8 => {
            let at = world.now + 5 * MS;
            world.until(at, |w| watcher.holds(w));
        }
        _ => {
            let at = world.now + 7 * SECOND;
            world.until(at, |w| watcher.holds(w));
        }
    }
    world.push();
    world.settle();
    watcher.holds(world);
}

#[test]
fn no_drain_is_missed_and_no_removed_node_returns_in_any_order_of_events() {
    let all = ACTIONS.pow(DEPTH);
    for history in 0..all {
        let seed = history as u64;
        let mut world = World::with(
            seed,
            settings(),
            PlausibilityRules { accept_losses: true, ..PlausibilityRules::default() },
        );
        let mut watcher = Watcher::new(seed);
        world.store.put(&key("a"), value("a", MemberStatus::Serving), 0);
        world.store.put(&key("b"), value("b", MemberStatus::Serving), 0);
        let at = world.now + 50 * MS;
        world.until(at, |w| watcher.holds(w));
        let mut rest = history;
        for _ in 0..DEPTH {
            act(&mut world, rest % ACTIONS, &mut watcher);
            rest /= ACTIONS;
        }
        act(&mut world, 7, &mut watcher);
        let at = world.now + 28 * SECOND;
        world.until(at, |w| watcher.holds(w));
        let truth = world.truth(world.store.revision);
        let serving: Vec<&str> = truth.iter().filter(|(_, s)| **s).map(|(n, _)| n.as_str()).collect();
        assert_eq!((world.serving(), watcher.epoch), (serving, 0), "history {history}");
    }
    println!("{all} histories");
}
