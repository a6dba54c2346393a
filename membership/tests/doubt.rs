//! The rules for doubt, each by what happens with it; without the rule its test fails.

use finchshift::ServerState;
use sloeline_membership::doubt::{Belief, Reason, Refused, Rules};
use sloeline_membership::merge::Members;
use sloeline_membership::view::{Body, Change, Loss, Member, News, Node, Revision, Standing};

const SECOND: u64 = 1_000_000;
use Standing::{Draining, Maintenance, Serving, Unhealthy};

fn member(n: usize, standing: Standing, written: u64) -> Member {
    let node = Node {
        identity: format!("n{n}"),
        address: ([10, 0, 0, 1], 1000 + (n % 60_000) as u16).into(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        started: Some(5),
    };
    Member { node, standing, written }
}

fn whole(epoch: u64, number: u64, members: Vec<Member>) -> News {
    News { revision: Revision { epoch, number }, body: Body::Whole(members) }
}

fn serving(range: std::ops::Range<usize>) -> Vec<Member> {
    range.map(|n| member(n, Serving, 1)).collect()
}

fn changes(number: u64, changes: Vec<Change>) -> News {
    News { revision: Revision { epoch: 0, number }, body: Body::Changes(changes) }
}

fn gone(range: std::ops::Range<usize>, loss: Loss) -> Vec<Change> {
    range.map(|n| Change::Gone(format!("n{n}"), loss)).collect()
}

fn ready(belief: &Belief) -> usize {
    belief.identities().filter(|id| belief.get(id).is_some_and(|(_, s, _)| s == ServerState::Ready)).count()
}

fn with(n: usize) -> Belief {
    let mut belief = Belief::new(Rules::default());
    belief.take(0, whole(0, 10, serving(0..n))).expect("the first view");
    belief
}

#[test]
fn what_a_loss_leaves_serving() {
    let ill = |range: std::ops::Range<usize>| -> Vec<Change> {
        range.map(|n| Change::Put(member(n, Unhealthy, 11))).collect()
    };
    // Of ten: what happens, how many serve then, how many of those are held, and how many serve when the hold is over.
    type Case = (&'static str, News, (usize, usize, usize));
    let cases: Vec<Case> = vec![
        ("half is believed", whole(0, 11, serving(5..10)), (5, 0, 5)),
        ("more than half is held, for a time", whole(0, 11, serving(6..10)), (10, 6, 4)),
        ("an empty list empties nothing", whole(0, 11, Vec::new()), (10, 10, 10)),
        ("leases that run out together", changes(11, gone(0..7, Loss::Expired)), (10, 7, 3)),
        ("what is ordered goes at once", changes(11, gone(0..9, Loss::Ordered)), (1, 0, 1)),
        ("but for the last of all", changes(11, gone(0..10, Loss::Ordered)), (1, 1, 1)),
        ("checks that fail together", changes(11, ill(0..8)), (10, 8, 2)),
        ("checks that fail, a few", changes(11, ill(0..3)), (7, 0, 7)),
        ("checks that fail, all", changes(11, ill(0..10)), (10, 10, 10)),
        (
            "drains are not losses",
            changes(11, (0..9).map(|n| Change::Put(member(n, Draining, 11))).collect()),
            (1, 0, 1),
        ),
        (
            "maintenance neither",
            changes(11, (0..10).map(|n| Change::Put(member(n, Maintenance, 11))).collect()),
            (0, 0, 0),
        ),
    ];
    for (what, news, (now, held, later)) in cases {
        let mut belief = with(10);
        belief.take(SECOND, news).expect("newer");
        assert_eq!((ready(&belief), belief.held()), (now, held), "{what}");
        // Up to the very last moment, and by its own alarm where there is one.
        belief.tick(SECOND + 300 * SECOND - 1);
        assert_eq!(ready(&belief), now, "{what}, before its time");
        assert_eq!(belief.due(), (held > 0 && later < now).then_some(301 * SECOND), "{what}");
        belief.tick(301 * SECOND);
        assert_eq!(ready(&belief), later, "{what}, after the hold");
    }
}

#[test]
fn losses_one_by_one_count_together_and_an_operator_overrides() {
    let mut belief = with(10);
    for n in 0..8 {
        belief.take(SECOND, changes(11 + n, gone(n as usize..n as usize + 1, Loss::Missing))).expect("newer");
    }
    assert_eq!((ready(&belief), belief.held()), (2 + 3, 3));
    // What is told to drain goes at once, held or not; what comes back is no longer held.
    belief.take(SECOND, changes(30, vec![Change::Put(member(5, Draining, 30))])).expect("newer");
    belief.take(SECOND, changes(31, vec![Change::Put(member(6, Serving, 31))])).expect("newer");
    assert_eq!((ready(&belief), belief.held()), (4, 1));
    // What looked like a lease that ran out was an order.
    belief.take(SECOND, changes(31, vec![Change::Ordered("n7".to_owned())])).expect("as new");
    assert_eq!((ready(&belief), belief.held()), (3, 0));
    // Beyond the window the count begins anew.
    belief.take(20 * SECOND, changes(40, gone(8..9, Loss::Missing))).expect("newer");
    assert_eq!((ready(&belief), belief.held()), (2, 0));

    let mut belief = with(10);
    belief.take(SECOND, whole(0, 11, Vec::new())).expect("newer");
    assert_eq!(ready(&belief), 10);
    belief.set(2 * SECOND, Rules { accept: true, ..Rules::default() });
    assert_eq!(ready(&belief), 0, "an operator says that the list is right");
}

#[test]
fn older_views_partial_ones_and_too_long_ones_are_refused() {
    let mut belief = with(3);
    let older = belief.take(1, whole(0, 9, Vec::new()));
    assert!(matches!(older, Err(Refused::Older { .. })), "{older:?}");
    let partial =
        belief.take(1, News { revision: Revision { epoch: 1, number: 50 }, body: Body::Changes(vec![]) });
    assert_eq!(partial, Err(Refused::Partial));
    let long = belief.take(1, whole(0, 11, serving(0..100_001)));
    assert_eq!(long, Err(Refused::TooMany(100_001)));
    assert_eq!((ready(&belief), belief.revision().map(|r| r.number)), (3, Some(10)), "nothing has changed");
    belief.take(1, whole(1, 4, serving(0..3))).expect("another epoch");
    let before = belief.take(1, whole(0, 99, serving(0..3)));
    assert!(matches!(before, Err(Refused::Older { .. })), "an epoch that has ended: {before:?}");
}

#[test]
fn orders_outlive_a_registry_that_is_restored() {
    let mut belief = with(4);
    let news = vec![
        Change::Put(member(0, Draining, 11)),
        Change::Put(member(1, Draining, 11)),
        Change::Gone("n2".to_owned(), Loss::Ordered),
    ];
    belief.take(1, changes(11, news)).expect("newer");
    // The backup knows nothing of it.
    belief.take(2, whole(1, 8, serving(0..4))).expect("another epoch");
    let out = |belief: &Belief, n: usize| {
        belief
            .get(&format!("n{n}"))
            .is_some_and(|(_, s, r)| s == ServerState::Draining && r == Reason::Sealed)
    };
    assert!(out(&belief, 0) && out(&belief, 1) && out(&belief, 2) && !out(&belief, 3));
    // Told again as it was: still out. Written anew, or started anew: back.
    belief.take(3, whole(1, 9, serving(0..4))).expect("newer");
    assert!(out(&belief, 0) && out(&belief, 1) && out(&belief, 2));
    let mut again = member(1, Serving, 1);
    again.node.started = Some(77);
    let news = vec![Change::Put(member(0, Serving, 9)), Change::Put(again)];
    belief
        .take(4, News { revision: Revision { epoch: 1, number: 10 }, body: Body::Changes(news) })
        .expect("newer");
    assert!(!out(&belief, 0) && !out(&belief, 1) && out(&belief, 2));
    // One restored twice: the seal is as new as the registry.
    belief.take(5, whole(2, 20, vec![member(2, Serving, 15)])).expect("another epoch");
    assert!(out(&belief, 2));
}

#[test]
fn an_order_of_any_source_holds_until_that_source_takes_it_back() {
    let names = ["first".to_owned(), "second".to_owned()];
    let state =
        |members: &Members, n: usize| members.verdict(&format!("n{n}")).map(|v| (v.listed.state, v.by));
    let rules = Rules { accept: true, ..Rules::default() };
    let mut members = Members::new(&names, &rules);
    members.take(0, 0, whole(0, 1, serving(0..3))).expect("first");
    // One source has told: the pool waits for the other, but not for ever.
    assert_eq!((members.changes(SECOND), members.due()), (None, Some(2 * SECOND)));
    assert_eq!(members.changes(2 * SECOND).map(|(_, l)| l.len()), Some(3));

    let mut n1 = member(1, Draining, 1);
    n1.node.address = ([9, 9, 9, 9], 9).into();
    members.take(0, 1, whole(0, 1, vec![n1, member(2, Unhealthy, 1)])).expect("second");
    let by = Some("second".to_owned());
    assert_eq!(state(&members, 1), Some((ServerState::Draining, by.clone())));
    assert_eq!(members.verdict("n1").map(|v| v.listed.address), Some(([10, 0, 0, 1], 1001).into()));
    assert_eq!(
        state(&members, 2),
        Some((ServerState::Ready, None)),
        "what a later source observes is no order"
    );
    // A drain is told at once.
    assert_eq!(members.changes(2 * SECOND).map(|(_, l)| l.len()), Some(1));
    // The second source loses the entry: nothing is taken back, until the node starts again.
    members.take(3 * SECOND, 1, whole(0, 2, Vec::new())).expect("newer");
    assert_eq!(state(&members, 1), Some((ServerState::Draining, by)));
    // An order on a node whose start nobody told holds all the more.
    let mut silent = member(2, Draining, 3);
    silent.node.started = None;
    members.take(3 * SECOND, 1, whole(0, 3, vec![silent])).expect("newer");
    members.take(3 * SECOND, 1, whole(0, 4, Vec::new())).expect("newer");
    assert_eq!(state(&members, 2).map(|s| s.0), Some(ServerState::Draining));
    members.take(3 * SECOND, 1, whole(0, 5, vec![member(2, Serving, 5)])).expect("newer");
    members.changes(3 * SECOND);
    let mut again = member(1, Serving, 2);
    again.node.started = Some(99);
    members.take(3 * SECOND, 0, changes(2, vec![Change::Put(again)])).expect("newer");
    assert_eq!(state(&members, 1), Some((ServerState::Ready, None)));
    // What only adds waits to be told together with what comes right after.
    assert_eq!(members.changes(3 * SECOND), None);
    assert_eq!(members.due(), Some(3 * SECOND + 50_000));
    assert_eq!(members.changes(3 * SECOND + 50_000).map(|(_, l)| l[0].started), Some(Some(99)));
    // Told again by the second, then taken back by it; gone when nobody lists it.
    members.take(4 * SECOND, 1, whole(0, 6, vec![member(1, Draining, 6)])).expect("newer");
    assert_eq!(state(&members, 1).map(|s| s.0), Some(ServerState::Draining));
    members.take(5 * SECOND, 1, whole(0, 7, vec![member(1, Serving, 7)])).expect("newer");
    assert_eq!(state(&members, 1), Some((ServerState::Ready, None)));
    members.take(6 * SECOND, 0, changes(3, gone(1..2, Loss::Ordered))).expect("newer");
    assert_eq!(members.verdict("n1").map(|v| v.source), Some("second".to_owned()));
    members.take(7 * SECOND, 1, whole(0, 8, Vec::new())).expect("newer");
    assert_eq!(members.verdict("n1"), None);
    let told =
        members.changes(7 * SECOND).map(|(_, l)| l.into_iter().map(|l| (l.instance, l.state)).collect());
    assert_eq!(told, Some(vec![("n1".to_owned(), ServerState::Gone)]));
}
