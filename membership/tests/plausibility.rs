//! The plausibility rules, each by its effect. Without the rule its test fails.

use finchshift::ServerState;
use sloeline_membership::merge::Members;
use sloeline_membership::plausibility::{AcceptedView, PlausibilityRules, Reason, Rejection};
use sloeline_membership::view::{Change, Loss, Member, MemberStatus, Node, Revision, Update, UpdateContent};

const SECOND: u64 = 1_000_000;
use MemberStatus::{Draining, Maintenance, Serving, Unhealthy};

fn member(n: usize, status: MemberStatus, written: u64) -> Member {
    let node = Node {
        identity: format!("n{n}"),
        address: ([10, 0, 0, 1], 1000 + (n % 60_000) as u16).into(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        started: Some(5),
    };
    Member { node, status, written }
}

fn whole(epoch: u64, number: u64, members: Vec<Member>) -> Update {
    Update { revision: Revision { epoch, number }, content: UpdateContent::Snapshot(members) }
}

fn serving(range: std::ops::Range<usize>) -> Vec<Member> {
    range.map(|n| member(n, Serving, 1)).collect()
}

fn changes(number: u64, changes: Vec<Change>) -> Update {
    Update { revision: Revision { epoch: 0, number }, content: UpdateContent::Changes(changes) }
}

fn gone(range: std::ops::Range<usize>, loss: Loss) -> Vec<Change> {
    range.map(|n| Change::Gone(format!("n{n}"), loss)).collect()
}

fn ready(view: &AcceptedView) -> usize {
    view.identities().filter(|id| view.get(id).is_some_and(|(_, s, _)| s == ServerState::Ready)).count()
}

fn with(n: usize) -> AcceptedView {
    let mut view = AcceptedView::new(PlausibilityRules::default());
    view.apply(0, whole(0, 10, serving(0..n))).expect("the first view");
    view
}

#[test]
fn members_that_serve_after_a_loss() {
    let unhealthy = |range: std::ops::Range<usize>| -> Vec<Change> {
        range.map(|n| Change::Put(member(n, Unhealthy, 11))).collect()
    };
    // Of ten members: the update, how many serve after it, how many of those are retained, and how many serve after the hold
    // time.
    type Case = (&'static str, Update, (usize, usize, usize));
    let cases: Vec<Case> = vec![
        ("half is believed", whole(0, 11, serving(5..10)), (5, 0, 5)),
        ("more than half is held, for a time", whole(0, 11, serving(6..10)), (10, 6, 4)),
        ("an empty list empties nothing", whole(0, 11, Vec::new()), (10, 10, 10)),
        ("leases that run out together", changes(11, gone(0..7, Loss::Expired)), (10, 7, 3)),
        ("what is ordered goes at once", changes(11, gone(0..9, Loss::Ordered)), (1, 0, 1)),
        ("but for the last of all", changes(11, gone(0..10, Loss::Ordered)), (1, 1, 1)),
        ("checks that fail together", changes(11, unhealthy(0..8)), (10, 8, 2)),
        ("checks that fail, a few", changes(11, unhealthy(0..3)), (7, 0, 7)),
        ("checks that fail, all", changes(11, unhealthy(0..10)), (10, 10, 10)),
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
    for (what, update, (now, held, later)) in cases {
        let mut view = with(10);
        view.apply(SECOND, update).expect("newer");
        assert_eq!((ready(&view), view.held()), (now, held), "{what}");
        // Nothing changes until the hold time is over, and the view reports when that is.
        view.tick(SECOND + 300 * SECOND - 1);
        assert_eq!(ready(&view), now, "{what}, before its time");
        assert_eq!(view.due(), (held > 0 && later < now).then_some(301 * SECOND), "{what}");
        view.tick(301 * SECOND);
        assert_eq!(ready(&view), later, "{what}, after the hold");
    }
}

#[test]
fn single_losses_add_up_within_the_window_and_an_operator_can_accept_all() {
    let mut view = with(10);
    for n in 0..8 {
        view.apply(SECOND, changes(11 + n, gone(n as usize..n as usize + 1, Loss::Missing))).expect("newer");
    }
    assert_eq!((ready(&view), view.held()), (2 + 3, 3));
    // A drained member stops at once, also if it is retained. A member that is listed again is no longer retained.
    view.apply(SECOND, changes(30, vec![Change::Put(member(5, Draining, 30))])).expect("newer");
    view.apply(SECOND, changes(31, vec![Change::Put(member(6, Serving, 31))])).expect("newer");
    assert_eq!((ready(&view), view.held()), (4, 1));
    // An apparently expired lease turns out to be an order.
    view.apply(SECOND, changes(31, vec![Change::Ordered("n7".to_owned())])).expect("as new");
    assert_eq!((ready(&view), view.held()), (3, 0));
    // After the window the count starts again.
    view.apply(20 * SECOND, changes(40, gone(8..9, Loss::Missing))).expect("newer");
    assert_eq!((ready(&view), view.held()), (2, 0));

    let mut view = with(10);
    view.apply(SECOND, whole(0, 11, Vec::new())).expect("newer");
    assert_eq!(ready(&view), 10);
    view.set(2 * SECOND, PlausibilityRules { accept_losses: true, ..PlausibilityRules::default() });
    assert_eq!(ready(&view), 0, "an operator says that the list is right");
}

#[test]
fn older_partial_and_too_long_updates_are_rejected() {
    let mut view = with(3);
    let older = view.apply(1, whole(0, 9, Vec::new()));
    assert!(matches!(older, Err(Rejection::Older { .. })), "{older:?}");
    let partial = view.apply(
        1,
        Update { revision: Revision { epoch: 1, number: 50 }, content: UpdateContent::Changes(vec![]) },
    );
    assert_eq!(partial, Err(Rejection::Partial));
    let long = view.apply(1, whole(0, 11, serving(0..100_001)));
    assert_eq!(long, Err(Rejection::TooMany(100_001)));
    assert_eq!((ready(&view), view.revision().map(|r| r.number)), (3, Some(10)), "nothing has changed");
    view.apply(1, whole(1, 4, serving(0..3))).expect("another epoch");
    let before = view.apply(1, whole(0, 99, serving(0..3)));
    assert!(matches!(before, Err(Rejection::Older { .. })), "an epoch that has ended: {before:?}");
}

#[test]
fn orders_remain_after_a_registry_is_restored_from_a_backup() {
    let mut view = with(4);
    let update = vec![
        Change::Put(member(0, Draining, 11)),
        Change::Put(member(1, Draining, 11)),
        Change::Gone("n2".to_owned(), Loss::Ordered),
    ];
    view.apply(1, changes(11, update)).expect("newer");
    // The backup does not contain the orders.
    view.apply(2, whole(1, 8, serving(0..4))).expect("another epoch");
    let out = |view: &AcceptedView, n: usize| {
        view.get(&format!("n{n}"))
            .is_some_and(|(_, s, r)| s == ServerState::Draining && r == Reason::CarriedOver)
    };
    assert!(out(&view, 0) && out(&view, 1) && out(&view, 2) && !out(&view, 3));
    // An unchanged entry stays out. An entry that was written again and a node that has restarted are back.
    view.apply(3, whole(1, 9, serving(0..4))).expect("newer");
    assert!(out(&view, 0) && out(&view, 1) && out(&view, 2));
    let mut again = member(1, Serving, 1);
    again.node.started = Some(77);
    let update = vec![Change::Put(member(0, Serving, 9)), Change::Put(again)];
    view.apply(
        4,
        Update { revision: Revision { epoch: 1, number: 10 }, content: UpdateContent::Changes(update) },
    )
    .expect("newer");
    assert!(!out(&view, 0) && !out(&view, 1) && out(&view, 2));
    // After a second restore, only writes since then revoke an order.
    view.apply(5, whole(2, 20, vec![member(2, Serving, 15)])).expect("another epoch");
    assert!(out(&view, 2));
}

#[test]
fn an_order_of_a_source_remains_until_that_source_revokes_it() {
    let names = ["first".to_owned(), "second".to_owned()];
    let state =
        |members: &Members, n: usize| members.resolve(&format!("n{n}")).map(|v| (v.listed.state, v.by));
    let rules = PlausibilityRules { accept_losses: true, ..PlausibilityRules::default() };
    let mut members = Members::new(&names, &rules);
    members.apply(0, 0, whole(0, 1, serving(0..3))).expect("first");
    // With the view of one source, the pool waits for the other one for a limited time.
    assert_eq!((members.changes(SECOND), members.due()), (None, Some(2 * SECOND)));
    assert_eq!(members.changes(2 * SECOND).map(|(_, l)| l.len()), Some(3));

    let mut n1 = member(1, Draining, 1);
    n1.node.address = ([9, 9, 9, 9], 9).into();
    members.apply(0, 1, whole(0, 1, vec![n1, member(2, Unhealthy, 1)])).expect("second");
    let by = Some("second".to_owned());
    assert_eq!(state(&members, 1), Some((ServerState::Draining, by.clone())));
    assert_eq!(members.resolve("n1").map(|v| v.listed.address), Some(([10, 0, 0, 1], 1001).into()));
    assert_eq!(
        state(&members, 2),
        Some((ServerState::Ready, None)),
        "what a later source observes is no order"
    );
    // A drain is passed on at once.
    assert_eq!(members.changes(2 * SECOND).map(|(_, l)| l.len()), Some(1));
    // The second source loses the entry: the order remains until the node restarts.
    members.apply(3 * SECOND, 1, whole(0, 2, Vec::new())).expect("newer");
    assert_eq!(state(&members, 1), Some((ServerState::Draining, by)));
    // An order on a node with an unknown start remains too.
    let mut silent = member(2, Draining, 3);
    silent.node.started = None;
    members.apply(3 * SECOND, 1, whole(0, 3, vec![silent])).expect("newer");
    members.apply(3 * SECOND, 1, whole(0, 4, Vec::new())).expect("newer");
    assert_eq!(state(&members, 2).map(|s| s.0), Some(ServerState::Draining));
    members.apply(3 * SECOND, 1, whole(0, 5, vec![member(2, Serving, 5)])).expect("newer");
    members.changes(3 * SECOND);
    let mut again = member(1, Serving, 2);
    again.node.started = Some(99);
    members.apply(3 * SECOND, 0, changes(2, vec![Change::Put(again)])).expect("newer");
    assert_eq!(state(&members, 1), Some((ServerState::Ready, None)));
    // Additions wait for further changes and are passed on together.
    assert_eq!(members.changes(3 * SECOND), None);
    assert_eq!(members.due(), Some(3 * SECOND + 50_000));
    assert_eq!(members.changes(3 * SECOND + 50_000).map(|(_, l)| l[0].started), Some(Some(99)));
    // The second source orders it out again, then revokes the order. The member is removed when no source lists it.
    members.apply(4 * SECOND, 1, whole(0, 6, vec![member(1, Draining, 6)])).expect("newer");
    assert_eq!(state(&members, 1).map(|s| s.0), Some(ServerState::Draining));
    members.apply(5 * SECOND, 1, whole(0, 7, vec![member(1, Serving, 7)])).expect("newer");
    assert_eq!(state(&members, 1), Some((ServerState::Ready, None)));
    members.apply(6 * SECOND, 0, changes(3, gone(1..2, Loss::Ordered))).expect("newer");
    assert_eq!(members.resolve("n1").map(|v| v.source), Some("second".to_owned()));
    members.apply(7 * SECOND, 1, whole(0, 8, Vec::new())).expect("newer");
    assert_eq!(members.resolve("n1"), None);
    let told =
        members.changes(7 * SECOND).map(|(_, l)| l.into_iter().map(|l| (l.instance, l.state)).collect());
    assert_eq!(told, Some(vec![("n1".to_owned(), ServerState::Gone)]));
}
