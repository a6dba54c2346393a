//! The parts of the core without a whole one around them: the rule for voters, the choice of a view, leases, snapshots.

use std::net::SocketAddr;

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_chain_replication::lease::{GRANTED, HELD, Leases};
use sloeline_chain_replication::membership::{REPLACE_AFTER, Voter, next_voters};
use sloeline_chain_replication::message::{Heard, Heartbeat};
use sloeline_chain_replication::proposal::{Promise, Proposal};
use sloeline_chain_replication::snapshot::{Assembled, Assembly, OpenSnapshots, Rows, SnapshotId};
use sloeline_chain_replication::{Position, Replica, View, ViewNumber, VoterSet};

fn peer(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 1))
}

fn replica(at: u8) -> Replica {
    Replica { peer: peer(at), disk: 0 }
}

fn number(round: u64) -> ViewNumber {
    ViewNumber { round, proposer: peer(1) }
}

fn founders() -> VoterSet {
    VoterSet::founders(&[peer(1), peer(2), peer(3)])
}

fn voter(at: u8, silent_for: u64) -> Voter {
    Voter { replica: replica(at), silent_for, disk_lost: false, leaving: false }
}

#[test]
fn a_silent_voter_gives_its_place_only_to_a_learner_that_is_ready() {
    let voters = [voter(1, 0), voter(2, 100), voter(3, REPLACE_AFTER)];
    assert_eq!(next_voters(&founders(), &voters, &[], 3), None);
    let next = next_voters(&founders(), &voters, &[replica(4)], 3).expect("a change");
    assert_eq!(next, VoterSet { number: 1, replicas: vec![replica(1), replica(2), replica(4)] });
    // One that was silent for less, or nobody: the learner stands by.
    let voters = [voter(1, 0), voter(2, 100), voter(3, REPLACE_AFTER - 1)];
    assert_eq!(next_voters(&founders(), &voters, &[replica(4)], 3), None);
}

#[test]
fn a_machine_with_another_disk_takes_its_own_former_place_first() {
    let mut voters = [voter(1, 0), voter(2, 0), voter(3, 5_000)];
    voters[1].disk_lost = true;
    let returned = Replica { peer: peer(2), disk: 77 };
    let next = next_voters(&founders(), &voters, &[replica(4), returned], 3).expect("a change");
    assert_eq!(next.replicas, [replica(1), returned, replica(3)]);
}

#[test]
fn a_leaving_voter_is_replaced_and_a_set_that_is_too_small_grows() {
    let mut voters = [voter(1, 0), voter(2, 0), voter(3, 0)];
    voters[0].leaving = true;
    let next = next_voters(&founders(), &voters, &[replica(4)], 3).expect("a change");
    assert_eq!(next.replicas, [replica(2), replica(3), replica(4)]);
    let next = next_voters(&founders(), &voters, &[replica(4)], 5).expect("a change");
    assert_eq!(next.replicas.len(), 4);
}

fn promise(at: u8, accepted: &View, established: bool, sequence: u64) -> Promise {
    Promise {
        replica: replica(at),
        accepted: Some(accepted.clone()),
        established,
        position: Position { view: accepted.number, sequence },
        caught_up: false,
        leaving: false,
    }
}

#[test]
fn a_change_that_is_not_known_as_established_needs_both_majorities() {
    let replaced = founders().changed(Some(replica(3)), Some(replica(4)));
    let chain = vec![replica(1), replica(2), replica(4)];
    let view = View { number: number(5), chain, voters: replaced, outgoing: Some(founders()) };
    let propose = |promises: &[Promise]| {
        let mut proposal = Proposal::new(number(6), 0, None, 3);
        promises.iter().cloned().for_each(|promise| proposal.promise(promise));
        proposal.choose(2)
    };
    // Voters 1 and 4 are a majority of the new set, and not of the old one.
    assert_eq!(propose(&[promise(1, &view, false, 9), promise(4, &view, false, 9)]), None);
    let chosen = propose(&[promise(1, &view, true, 9), promise(4, &view, false, 9)]).expect("a view");
    assert_eq!((chosen.view.outgoing, chosen.view.chain), (None, vec![replica(1), replica(4)]));
    let chosen = propose(&[promise(1, &view, false, 9), promise(2, &view, false, 9)]).expect("a view");
    assert_eq!(chosen.view.outgoing, Some(founders()));
}

#[test]
fn a_new_change_waits_until_the_last_one_is_established() {
    let view = View::first(founders());
    let change = founders().changed(Some(replica(3)), Some(replica(4)));
    for established in [false, true] {
        let mut proposal = Proposal::new(number(6), 0, Some(change.clone()), 3);
        proposal.promise(promise(1, &view, established, 9));
        proposal.promise(promise(2, &view, false, 7));
        let mut learner = promise(4, &view, false, 9);
        (learner.accepted, learner.caught_up) = (None, true);
        proposal.promise(learner);
        let chosen = proposal.choose(2).expect("a view");
        assert_eq!(chosen.view.voters.number, u64::from(established));
        // The longest state of the newest view is what it begins with.
        assert_eq!((chosen.base.sequence, chosen.source), (9, peer(1)));
    }
}

fn heartbeat(at: u8, echo: u64) -> Heartbeat {
    Heartbeat {
        replica: replica(at),
        sent_at: 0,
        healthy: true,
        leaving: false,
        view: Some(number(5)),
        established: true,
        active: true,
        entering: None,
        promised: number(5),
        heard: vec![Heard { peer: peer(1), sent_at: echo }],
        position: Position::START,
        caught_up: false,
        committed: 0,
        holds_lease: false,
        details: None,
    }
}

#[test]
fn a_lease_ends_before_its_grant_does_and_counts_from_the_sending() {
    let view = View { number: number(5), ..View::first(founders()) };
    let mut leases = Leases::default();
    assert!(!leases.holds(1_000, &replica(1), &view, true), "one of three is no majority");
    // Sent at 1,000, echoed, and heard only at 1,300: the lease counts from 1,000.
    leases.heard(1_300, peer(1), &heartbeat(2, 1_000));
    assert!(leases.holds(1_000 + HELD - 1, &replica(1), &view, true));
    assert!(!leases.holds(1_000 + HELD, &replica(1), &view, true));
    assert_eq!(leases.granted_until(peer(2)), 1_300 + GRANTED);
    // A late echo of an earlier one changes nothing; one of another view is none.
    leases.heard(1_400, peer(1), &heartbeat(2, 500));
    assert!(leases.holds(1_000 + HELD - 1, &replica(1), &view, true));
    let newer = View { number: number(6), ..view.clone() };
    assert!(!leases.holds(1_100, &replica(1), &newer, true));
    // Whoever has started anew may have granted before.
    assert_eq!(Leases::after_start(7_000, true).granted_until(peer(2)), 7_000 + GRANTED);
}

fn rows(count: u32) -> Rows {
    let row = |n: u32| (Bytes::copy_from_slice(&n.to_be_bytes()), Bytes::from(vec![n as u8; 100]));
    (0..count).map(row).collect()
}

fn id(rows: &Rows) -> SnapshotId {
    SnapshotId { position: Position { view: number(1), sequence: 9 }, stamp: 7, digest: rows.digest() }
}

#[test]
fn a_snapshot_comes_in_bounded_pieces_and_goes_on_after_a_break() {
    let all = rows(10_000);
    let (mut open, id) = (OpenSnapshots::default(), id(&all));
    let mut piece = open.begin(0, id, &all);
    let (mut assembly, mut pieces) = (Assembly::new(id), 0);
    loop {
        pieces += 1;
        let bytes: usize = piece.rows.iter().map(|(key, value)| key.len() + value.len()).sum();
        assert!(bytes <= 128 << 10, "{bytes}");
        // Each piece comes twice: the answer to the first request was thought lost.
        let again = piece.rows.clone();
        let next = match assembly.take(piece.rows, false) {
            Assembled::Partial(next) => next,
            _ => panic!("not all is here"),
        };
        match next.take(again, piece.last) {
            Assembled::Partial(next) => assembly = next,
            Assembled::Whole(whole, rows) => {
                assert_eq!((whole, rows.len(), rows.digest()), (id, 10_000, all.digest()));
                break;
            }
            Assembled::Corrupt => panic!("the digest agrees"),
        }
        piece = open.resume(1, &id, assembly.after().expect("some rows")).expect("it is open");
    }
    assert_eq!(pieces, 8);
    open.expire(20_000);
    assert!(open.resume(20_000, &id, &Bytes::new()).is_none(), "nobody asked for long");
}

#[test]
fn a_snapshot_without_its_last_row_is_noticed() {
    let all = rows(50);
    let mut piece = OpenSnapshots::default().begin(0, id(&all), &all);
    piece.rows.pop();
    assert!(matches!(Assembly::new(id(&all)).take(piece.rows, true), Assembled::Corrupt));
}

quickcheck! {
    fn a_digest_knows_rows_and_not_the_way_to_them(changes: Vec<(u8, Option<u8>)>) -> bool {
        let (mut rows, mut plain) = (Rows::default(), std::collections::BTreeMap::new());
        for (key, value) in changes {
            let (key, value) = (Bytes::from(vec![key]), value.map(|value| Bytes::from(vec![value])));
            rows.set(&key, value.as_ref());
            match value {
                Some(value) => plain.insert(key, value),
                None => plain.remove(&key),
            };
        }
        let anew: Rows = plain.clone().into_iter().collect();
        let same = rows.digest() == anew.digest();
        let mut other = anew.clone();
        other.set(&Bytes::from_static(b"one more"), Some(&Bytes::new()));
        same && other.digest() != anew.digest() && rows.len() == plain.len()
    }
}
