//! Rare failures of a registry with watches.

mod common;

use common::*;
use finchshift::ServerState;
use sloeline_membership::entry;
use sloeline_membership::plausibility::{PlausibilityRules, Reason};
use sloeline_membership::source::SourceProtocol;
use sloeline_membership::view::{MemberStatus, Node};
use sloeline_standin::keys::Write;

const SERVING: MemberStatus = MemberStatus::Serving;

/// Creates a registry with these nodes, which the source knows; `lease` gives each a lease.
fn with(names: &[&str], lease: bool) -> World {
    let mut world = World::with(seed(), settings(), PlausibilityRules::default());
    for name in names {
        let lease = if lease { world.store.grant() } else { 0 };
        world.store.put(&key(name), value(name, SERVING), lease);
    }
    pass(&mut world, 100 * MS);
    assert_eq!(world.serving(), names);
    world
}

fn pass(world: &mut World, span: u64) {
    let at = world.now + span;
    world.push();
    world.until(at, |_| ());
}

fn all(world: &mut World, fault: Fault) {
    (0..3).for_each(|e| world.fault(e, fault));
}

fn down() -> Fault {
    Fault { down: true, ..Fault::default() }
}

/// Within this time a stalled watch is detected, the next one too, and everything is read again.
const DEAF: u64 = 2 * (6 + 1 + 4) * SECOND;

#[test]
fn a_drain_and_a_return_within_a_gap_that_was_compacted_away() {
    let mut world = with(&["a", "b"], false);
    all(&mut world, down());
    world.store.put(&drain("a"), "", 0);
    world.store.put(&drain("b"), "", 0);
    world.store.delete(&drain("a"));
    let again = Node { started: Some(900 * SECOND), ..node("a", 80) };
    world.store.put(&key("a"), entry::write(&again, SERVING), 0);
    world.store.compact(world.store.revision);
    pass(&mut world, 20 * SECOND);
    assert_eq!(world.serving(), ["a", "b"], "the last view holds");
    let ranges = world.calls[0];
    all(&mut world, Fault::default());
    pass(&mut world, 10 * SECOND);
    assert_eq!(world.serving(), ["a"]);
    let started = world.members.resolve("a").and_then(|v| v.listed.started);
    assert_eq!(started, Some(900 * SECOND), "it has started again: it is cold");
    assert_eq!(world.calls[0], ranges + 1, "one range, of everything");
}

#[test]
fn a_drain_between_the_range_and_the_watch() {
    let mut world = World::with(seed(), settings(), PlausibilityRules::default());
    for name in ["a", "b"] {
        world.store.put(&key(name), value(name, SERVING), 0);
    }
    world.step();
    assert_eq!(
        (world.calls[0], world.calls[1], world.etcd.applied()),
        (1, 0, None),
        "the answer is on its way"
    );
    world.store.put(&drain("a"), "", 0);
    pass(&mut world, 20 * MS);
    assert_eq!((world.serving(), world.calls[0]), (vec!["b"], 1));
}

#[test]
fn stalled_watches_at_all_endpoints() {
    let mut world = with(&["a", "b"], false);
    all(&mut world, Fault { deaf: true, ..Fault::default() });
    world.store.put(&drain("a"), "", 0);
    pass(&mut world, DEAF);
    assert_eq!(world.serving(), ["b"]);
    // A member without faults sends later events.
    all(&mut world, Fault::default());
    pass(&mut world, DEAF);
    let ranges = world.calls[0];
    world.store.put(&drain("b"), "", 0);
    pass(&mut world, 10 * MS);
    assert_eq!((world.serving().len(), world.calls[0]), (0, ranges));
}

#[test]
fn one_of_several_endpoints_is_behind() {
    let mut world = with(&["a", "b"], false);
    let behind = Some(world.store.revision);
    world.fault(0, Fault { behind, ..Fault::default() });
    world.store.put(&drain("a"), "", 0);
    pass(&mut world, DEAF);
    assert_eq!(world.serving(), ["b"]);
    let before = world.members.sources().next().and_then(|s| s.2);
    // Reconnections to the member that is behind do not revoke the drain.
    for endpoint in [1, 2, 1, 2] {
        world.fault(endpoint, down());
        pass(&mut world, 3 * SECOND);
        assert_eq!(world.serving(), ["b"]);
        world.fault(endpoint, Fault::default());
        pass(&mut world, 3 * SECOND);
    }
    let after = world.members.sources().next().and_then(|s| s.2);
    assert_eq!((world.serving(), before), (vec!["b"], after));
}

#[test]
fn a_watch_and_its_check_that_are_both_behind() {
    for well in (0..3).cycle().take(24) {
        let mut world = with(&["a", "b"], false);
        let behind = Some(world.store.revision);
        (0..3).filter(|e| *e != well).for_each(|e| world.fault(e, Fault { behind, ..Fault::default() }));
        world.store.put(&drain("a"), "", 0);
        pass(&mut world, DEAF + 7 * SECOND);
        assert_eq!(world.serving(), ["b"], "only member {well} knows of it");
    }
}

#[test]
fn repeated_events_change_nothing() {
    let mut world = with(&["a", "b"], false);
    world.store.put(&drain("a"), "", 0);
    pass(&mut world, 10 * MS);
    world.store.delete(&drain("a"));
    pass(&mut world, 100 * MS);
    let revision = world.members.sources().next().and_then(|s| s.2);
    // A server that sends past events again, as some did after a failure.
    world.repeat(2);
    pass(&mut world, 100 * MS);
    assert_eq!(
        (world.serving(), world.members.sources().next().and_then(|s| s.2)),
        (vec!["a", "b"], revision)
    );
    assert_eq!(world.tellings, 3, "the first list, the drain, its end");
    // A server that sends past events again, but only up to the drain.
    let behind = Some(world.store.revision - 1);
    all(&mut world, Fault { behind, ..Fault::default() });
    world.repeat(2);
    pass(&mut world, 100 * MS);
    assert_eq!(world.etcd.applied(), Some(world.store.revision), "nothing goes back");
    all(&mut world, Fault::default());
    world.store.put(&key("c"), value("c", SERVING), 0);
    pass(&mut world, 100 * MS);
    assert_eq!(world.serving(), ["a", "b", "c"]);
}

#[test]
fn a_registry_restored_from_a_backup_revokes_no_drain() {
    for same_cluster in [false, true] {
        let mut world = with(&["a", "b", "c"], false);
        let backup = world.store.clone();
        world.store.put(&drain("a"), "", 0);
        world.store.put("/q/x", "", 0);
        world.store.delete(&key("c"));
        pass(&mut world, 10 * SECOND);
        assert_eq!(world.serving(), ["b"]);
        all(&mut world, down());
        world.store = backup;
        world.store.cluster += u64::from(!same_cluster);
        pass(&mut world, SECOND);
        all(&mut world, Fault::default());
        // The older view is rejected at first, and then begins another epoch.
        pass(&mut world, 5 * SECOND);
        assert_eq!(world.members.sources().next().and_then(|s| s.2).map(|r| r.epoch), Some(0));
        pass(&mut world, 60 * SECOND);
        assert_eq!(world.members.sources().next().and_then(|s| s.2).map(|r| r.epoch), Some(1));
        assert_eq!(world.serving(), ["b"], "same cluster: {same_cluster}");
        assert_eq!(world.members.resolve("a").map(|v| v.reason), Some(Reason::CarriedOver));
        // The entry is written again.
        world.store.put(&key("a"), value("a", SERVING), 0);
        pass(&mut world, 100 * MS);
        assert_eq!(world.serving(), ["a", "b"]);
    }
}

#[test]
fn nodes_that_exchange_their_addresses_or_identities() {
    let mut world = with(&["a"], false);
    let moved = entry::write(&node("a", 81), SERVING);
    world.store.put(&key("a"), moved, 0);
    pass(&mut world, 10 * MS);
    assert_eq!(world.members.resolve("a").map(|v| v.listed.address.port()), Some(81));
    // Two nodes are exchanged in one transaction: never both and never none of them serve.
    let other = entry::write(&node("b", 81), SERVING);
    world.store.write(vec![Write::Put(key("b"), other, 0), Write::Delete(key("a"))]);
    pass(&mut world, 10 * MS);
    assert_eq!(world.serving(), ["b"]);
    // A node that is deleted and created again without a start counts as restarted.
    let silent = entry::write(&Node { started: None, ..node("b", 81) }, SERVING);
    world.store.put(&key("c"), value("c", SERVING), 0);
    world.store.put(&key("b"), silent.clone(), 0);
    pass(&mut world, 100 * MS);
    let first = world.members.resolve("b").and_then(|v| v.listed.started);
    world.store.delete(&key("b"));
    world.store.put(&key("b"), silent, 0);
    pass(&mut world, 100 * MS);
    let then = world.members.resolve("b").and_then(|v| v.listed.started);
    assert!(then > first && then.is_some(), "{first:?} {then:?}");
}

#[test]
fn deleted_entries_are_distinguished_from_expired_leases() {
    let names = ["a", "b", "c", "d", "e"];
    let four = |f: fn(&str) -> Write| -> Vec<Write> { names[..4].iter().map(|n| f(n)).collect() };
    // Entries that are deleted while their leases are valid: an order, once the leases were queried.
    let mut world = with(&names, true);
    world.store.write(four(|n| Write::Delete(key(n))));
    pass(&mut world, 100 * MS);
    assert_eq!((world.serving(), world.calls[3]), (vec!["e"], 4));
    // Drained and deleted in one transaction: an order at once, without a lease query.
    let mut world = with(&names, true);
    let mut both = four(|n| Write::Delete(key(n)));
    both.extend(four(|n| Write::Put(drain(n), Vec::new(), 0)));
    world.store.write(both);
    pass(&mut world, 10 * MS);
    assert_eq!((world.serving(), world.calls[3]), (vec!["e"], 0));
    // Leases that expire together: the members are retained for a limited time.
    let mut world = with(&names, true);
    (1..5).for_each(|lease| world.store.end(lease));
    pass(&mut world, SECOND);
    assert_eq!((world.serving().len(), world.calls[3]), (5, 4), "more than half: not believed yet");
    pass(&mut world, 301 * SECOND);
    assert_eq!(world.serving(), ["e"]);
}

#[test]
fn registries_that_respond_slowly_or_not_at_all() {
    let mut world = World::with(seed(), settings(), PlausibilityRules::default());
    world.store.put(&key("a"), value("a", SERVING), 0);
    // The first call gets no reply, and the second one half of a response.
    all(&mut world, Fault { silent: true, ..Fault::default() });
    pass(&mut world, 4 * SECOND);
    assert!(world.calls[0] >= 1 && world.told.is_empty());
    all(&mut world, Fault::default());
    pass(&mut world, 8 * SECOND);
    assert_eq!(world.serving(), ["a"]);

    let slow = sloeline_membership::etcd::Settings { response_timeout: 15 * SECOND, ..settings() };
    let mut world = World::with(seed(), slow, PlausibilityRules::default());
    world.slow = 10 * SECOND;
    world.store.put(&key("a"), value("a", SERVING), 0);
    pass(&mut world, 21 * SECOND);
    assert_eq!(
        (world.serving(), world.calls[0]),
        (vec!["a"], 1),
        "no call is made again while one is under way"
    );
}

#[test]
fn a_registry_with_very_many_events() {
    let mut world = World::with(seed(), settings(), PlausibilityRules::default());
    for n in 0..100_000 {
        let name = format!("n{n:06}");
        world.store.put(&key(&name), value(&name, SERVING), 0);
    }
    pass(&mut world, SECOND);
    assert_eq!((world.serving().len(), world.calls[0]), (100_000, 50));
    // One entry changes ten thousand times per second: the changes are passed on in batches.
    let before = world.tellings;
    for n in 0..10_000_u32 {
        let weight = Node { weight: 1.0 + f64::from(n % 2), ..node("n000000", 80) };
        world.store.put(&key("n000000"), entry::write(&weight, SERVING), 0);
        pass(&mut world, 100);
    }
    assert!(world.tellings - before <= 25, "{}", world.tellings - before);
    // A drain among them is passed on at once.
    world.store.put(&drain("n000001"), "", 0);
    pass(&mut world, 5 * MS);
    assert_eq!(world.told.get("n000001"), Some(&ServerState::Draining));
}

/// The maximum number of members is configurable, and applies to the pages of a range before there is a view.
#[test]
fn a_registry_with_more_members_than_the_configurable_maximum() {
    let mut world = World::with(
        seed(),
        settings(),
        PlausibilityRules { max_members: 2_500, ..PlausibilityRules::default() },
    );
    world.etcd.set_max_members(2_500);
    (0..6_000).for_each(|n| world.store.put(&key(&format!("n{n:04}")), value("n", SERVING), 0));
    pass(&mut world, SECOND);
    let trouble = world.etcd.health().trouble.clone().expect("a reason");
    assert!(trouble.contains("expected at most two for each of 2500"), "{trouble}");
    assert_eq!(world.serving(), Vec::<&str>::new());
    let rules = PlausibilityRules { max_members: 6_000, ..PlausibilityRules::default() };
    world.members.set(world.now, &rules);
    world.etcd.set_max_members(world.members.rules().max_members);
    pass(&mut world, 60 * SECOND);
    assert_eq!((world.serving().len(), world.etcd.health().trouble.clone()), (6_000, None));
}

#[test]
fn an_unreadable_entry_is_neither_a_removal_nor_an_order() {
    let mut world = with(&["a", "b"], false);
    for text in ["", "{", "null", "[]", "{\"address\":7}", "{\"address\":\"nowhere\"}", "\u{0}\u{ff}"] {
        world.store.put(&key("a"), text, 0);
        world.store.put(&key("new"), text, 0);
        world.store.put(&format!("{PREFIX}other/a"), text, 0);
        pass(&mut world, 10 * MS);
        assert_eq!(world.serving(), ["a", "b"], "{text:?}");
    }
    assert_eq!(world.etcd.health().unreadable, 14);
    // An order on the node still counts, and so does its end.
    world.store.put(&drain("a"), "\u{0}", 0);
    pass(&mut world, 10 * MS);
    assert_eq!(world.serving(), ["b"]);
    world.store.put(&key("a"), "x".repeat(5000), 0);
    world.store.delete(&drain("a"));
    pass(&mut world, 100 * MS);
    assert_eq!(world.serving(), ["a", "b"]);
    world.store.delete(&key("a"));
    pass(&mut world, 10 * MS);
    assert_eq!(world.serving(), ["b"]);
}
