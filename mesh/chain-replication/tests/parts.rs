//! Unit tests of single components: the voter set rule, the choice of a view, leases and snapshots.

use std::net::SocketAddr;

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_chain_replication::lease::{GRANT_DURATION_MS, HOLD_DURATION_MS, Leases};
use sloeline_chain_replication::membership::{REPLACE_AFTER_SILENCE_MS, VoterStatus, next_voters};
use sloeline_chain_replication::message::{Heartbeat, HeartbeatEcho};
use sloeline_chain_replication::proposal::{Promise, Proposal};
use sloeline_chain_replication::snapshot::{
    AssemblyResult, OpenSnapshots, Rows, SnapshotAssembly, SnapshotId,
};
use sloeline_chain_replication::{Position, Replica, View, ViewNumber, VoterSet};

/// Address of a machine, derived from its number.
fn peer(at: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, at], 1))
}

/// The founder replica on a machine.
fn replica(at: u8) -> Replica {
    Replica { peer: peer(at), disk: 0 }
}

/// A view number proposed by machine 1.
fn number(round: u64) -> ViewNumber {
    ViewNumber { round, proposer: peer(1) }
}

/// A voter set of three founders.
fn founders() -> VoterSet {
    VoterSet::founders(&[peer(1), peer(2), peer(3)])
}

/// A voter that is neither leaving nor has lost its disk.
fn voter(at: u8, silent_for_ms: u64) -> VoterStatus {
    VoterStatus { replica: replica(at), silent_for_ms, disk_lost: false, leaving: false }
}

#[test]
fn silent_voter_is_replaced_only_by_a_ready_learner() {
    let voters = [voter(1, 0), voter(2, 100), voter(3, REPLACE_AFTER_SILENCE_MS)];
    assert_eq!(next_voters(&founders(), &voters, &[], 3), None);
    let next = next_voters(&founders(), &voters, &[replica(4)], 3).expect("a change is due");
    assert_eq!(next, VoterSet { number: 1, replicas: vec![replica(1), replica(2), replica(4)] });
    // If the voter was silent for less time, the learner is not used.
    let voters = [voter(1, 0), voter(2, 100), voter(3, REPLACE_AFTER_SILENCE_MS - 1)];
    assert_eq!(next_voters(&founders(), &voters, &[replica(4)], 3), None);
}

#[test]
fn machine_with_a_new_disk_replaces_its_own_former_replica_first() {
    let mut voters = [voter(1, 0), voter(2, 0), voter(3, 5_000)];
    voters[1].disk_lost = true;
    let returned = Replica { peer: peer(2), disk: 77 };
    let next = next_voters(&founders(), &voters, &[replica(4), returned], 3).expect("a change is due");
    assert_eq!(next.replicas, [replica(1), returned, replica(3)]);
}

#[test]
fn leaving_voter_is_replaced_and_small_voter_set_grows() {
    let mut voters = [voter(1, 0), voter(2, 0), voter(3, 0)];
    voters[0].leaving = true;
    let next = next_voters(&founders(), &voters, &[replica(4)], 3).expect("a change is due");
    assert_eq!(next.replicas, [replica(2), replica(3), replica(4)]);
    let next = next_voters(&founders(), &voters, &[replica(4)], 5).expect("a change is due");
    assert_eq!(next.replicas.len(), 4);
}

/// A promise of a replica that is neither leaving nor a learner.
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
fn voter_set_change_not_known_as_established_needs_both_majorities() {
    let replaced = founders().with_change(Some(replica(3)), Some(replica(4)));
    let chain = vec![replica(1), replica(2), replica(4)];
    let view = View { number: number(5), chain, voters: replaced, outgoing: Some(founders()) };
    let propose = |promises: &[Promise]| {
        let mut proposal = Proposal::new(number(6), 0, None, 3);
        promises.iter().cloned().for_each(|promise| proposal.add_promise(promise));
        proposal.choose(2)
    };
    // Replicas 1 and 4 are a majority of the new set but not of the outgoing one.
    assert_eq!(propose(&[promise(1, &view, false, 9), promise(4, &view, false, 9)]), None);
    let chosen =
        propose(&[promise(1, &view, true, 9), promise(4, &view, false, 9)]).expect("a view is chosen");
    assert_eq!((chosen.view.outgoing, chosen.view.chain), (None, vec![replica(1), replica(4)]));
    let chosen =
        propose(&[promise(1, &view, false, 9), promise(2, &view, false, 9)]).expect("a view is chosen");
    assert_eq!(chosen.view.outgoing, Some(founders()));
}

#[test]
fn voter_set_change_waits_until_the_previous_view_is_established() {
    let view = View::initial(founders());
    let change = founders().with_change(Some(replica(3)), Some(replica(4)));
    for established in [false, true] {
        let mut proposal = Proposal::new(number(6), 0, Some(change.clone()), 3);
        proposal.add_promise(promise(1, &view, established, 9));
        proposal.add_promise(promise(2, &view, false, 7));
        let mut learner = promise(4, &view, false, 9);
        (learner.accepted, learner.caught_up) = (None, true);
        proposal.add_promise(learner);
        let chosen = proposal.choose(2).expect("a view is chosen");
        assert_eq!(chosen.view.voters.number, u64::from(established));
        // The view starts with the longest state of the newest accepted view.
        assert_eq!((chosen.base.sequence, chosen.source), (9, peer(1)));
    }
}

/// A heartbeat of an active replica that echoes a heartbeat of machine 1.
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
        echoes: vec![HeartbeatEcho { peer: peer(1), sent_at: echo }],
        position: Position::START,
        caught_up: false,
        committed: 0,
        holds_lease: false,
        details: None,
    }
}

#[test]
fn held_lease_ends_before_its_grant_and_counts_from_the_send_time() {
    let view = View { number: number(5), ..View::initial(founders()) };
    let mut leases = Leases::default();
    assert!(!leases.holds(1_000, &replica(1), &view, true), "one of three is not a majority");
    // The heartbeat was sent at 1,000 and its echo received only at 1,300: the lease counts from 1,000.
    leases.record_heartbeat(1_300, peer(1), &heartbeat(2, 1_000));
    assert!(leases.holds(1_000 + HOLD_DURATION_MS - 1, &replica(1), &view, true));
    assert!(!leases.holds(1_000 + HOLD_DURATION_MS, &replica(1), &view, true));
    assert_eq!(leases.granted_until(peer(2)), 1_300 + GRANT_DURATION_MS);
    // A late echo of an earlier heartbeat changes nothing, and an echo from another view does not count.
    leases.record_heartbeat(1_400, peer(1), &heartbeat(2, 500));
    assert!(leases.holds(1_000 + HOLD_DURATION_MS - 1, &replica(1), &view, true));
    let newer = View { number: number(6), ..view.clone() };
    assert!(!leases.holds(1_100, &replica(1), &newer, true));
    // After a restart, leases granted by the previous run may still be in use.
    assert_eq!(Leases::after_start(7_000, true).granted_until(peer(2)), 7_000 + GRANT_DURATION_MS);
}

/// This many rows of 100 bytes with distinct keys.
fn rows(count: u32) -> Rows {
    let row = |n: u32| (Bytes::copy_from_slice(&n.to_be_bytes()), Bytes::from(vec![n as u8; 100]));
    (0..count).map(row).collect()
}

/// A snapshot id for these rows.
fn id(rows: &Rows) -> SnapshotId {
    SnapshotId { position: Position { view: number(1), sequence: 9 }, stamp: 7, digest: rows.digest() }
}

#[test]
fn snapshot_arrives_in_bounded_chunks_and_resumes_after_an_interruption() {
    let all = rows(10_000);
    let (mut open, id) = (OpenSnapshots::default(), id(&all));
    let mut chunk = open.open(0, id, &all);
    let (mut assembly, mut chunks) = (SnapshotAssembly::new(id), 0);
    loop {
        chunks += 1;
        let bytes: usize = chunk.rows.iter().map(|(key, value)| key.len() + value.len()).sum();
        assert!(bytes <= 128 << 10, "{bytes}");
        // Each chunk arrives twice, as it does when a receiver repeats a request whose reply is only late.
        let again = chunk.rows.clone();
        let next = match assembly.add_chunk(chunk.rows, false) {
            AssemblyResult::Partial(next) => next,
            _ => panic!("the snapshot is not complete yet"),
        };
        match next.add_chunk(again, chunk.last) {
            AssemblyResult::Partial(next) => assembly = next,
            AssemblyResult::Complete(whole, rows) => {
                assert_eq!((whole, rows.len(), rows.digest()), (id, 10_000, all.digest()));
                break;
            }
            AssemblyResult::Corrupt => panic!("the digest must match"),
        }
        chunk = open
            .next_chunk(1, &id, assembly.after().expect("rows were received"))
            .expect("the snapshot is open");
    }
    assert_eq!(chunks, 8);
    open.expire(20_000);
    assert!(open.next_chunk(20_000, &id, &Bytes::new()).is_none(), "idle snapshots are closed");
}

#[test]
fn snapshot_without_its_last_row_is_detected() {
    let all = rows(50);
    let mut chunk = OpenSnapshots::default().open(0, id(&all), &all);
    chunk.rows.pop();
    assert!(matches!(SnapshotAssembly::new(id(&all)).add_chunk(chunk.rows, true), AssemblyResult::Corrupt));
}

quickcheck! {
    fn digest_depends_on_rows_and_not_on_the_order_of_changes(changes: Vec<(u8, Option<u8>)>) -> bool {
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
