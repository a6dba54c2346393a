//! Tests that the replicated state gives the same rows whether it is built from changes, written row by row, or loaded from a
//! snapshot.

use std::collections::BTreeMap;

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_chain_replication::StateMachine;
use sloeline_control_plane::tables::{Change, ChangeResult, State};
use sloeline_discovery::{Config, UpstreamUpdate};
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate};

/// Builds one of a few changes from arbitrary numbers.
fn change(kind: u8, key: u8, run: u64) -> Change {
    let name = Bytes::from(vec![key % 5]);
    let id = format!("i-{}", key % 5);
    match kind % 6 {
        0 => Change::Config(Config { edition: u32::from(key), body: Bytes::from(vec![run as u8; 3]) }),
        1 => Change::Key(ClaimUpdate::Release { key: name, run: run % 7 }),
        2 => Change::Key(ClaimUpdate::Claim { key: name, run: run % 7, holder: "m".to_owned() }),
        3 => Change::Upstream(UpstreamUpdate::End { id }),
        4 => Change::Upstream(UpstreamUpdate::Query { id }),
        _ => Change::Read,
    }
}

/// Returns all rows of a state.
fn rows_by_key(state: &State) -> BTreeMap<Bytes, Bytes> {
    state.rows().iter().map(|(key, value)| (key.clone(), value.clone())).collect()
}

quickcheck! {
    fn rows_written_incrementally_equal_the_rows_of_the_whole_state(changes: Vec<(u8, u8, u64, u8)>) -> bool {
        let (mut state, mut disk, mut stamp) = (State::new(100), BTreeMap::new(), 0);
        for (kind, key, run, pause) in changes {
            stamp += u64::from(pause) * 40;
            for (key, value) in state.apply(stamp, &change(kind, key, run).encoded()).rows {
                match value {
                    Some(value) => disk.insert(key, value),
                    None => disk.remove(&key),
                };
            }
        }
        let all_rows = rows_by_key(&state);
        let mut loaded = State::new(100);
        loaded.load(&disk.clone().into_iter().collect());
        all_rows == disk && rows_by_key(&loaded) == disk
    }

    fn bytes_that_do_not_decode_to_a_change_have_no_effect(bytes: Vec<u8>) -> bool {
        let mut state = State::new(100);
        let before = rows_by_key(&state);
        let applied = state.apply(1, &Bytes::from(bytes.clone()));
        rmp_serde::from_slice::<Change>(&bytes).is_ok() || (applied.rows.is_empty() && rows_by_key(&state) == before)
    }
}

/// Applies a change and returns its result.
fn apply(state: &mut State, stamp: u64, change: &Change) -> ChangeResult {
    rmp_serde::from_slice(&state.apply(stamp, &change.encoded()).result).expect("a result")
}

#[test]
fn the_highest_version_is_in_force_and_a_version_has_one_content() {
    let mut state = State::new(100);
    let replace =
        |edition, body: &'static [u8]| Change::Config(Config { edition, body: Bytes::from_static(body) });
    assert_eq!(apply(&mut state, 1, &Change::Read), ChangeResult::Config(None));
    assert_eq!(apply(&mut state, 1, &replace(5, b"five")), ChangeResult::Accepted { version: 5 });
    // An older version, and a repetition of the same one after a lost response, are acknowledged and change nothing.
    for (edition, body) in [(4, &b"four"[..]), (5, b"five")] {
        assert_eq!(apply(&mut state, 1, &replace(edition, body)), ChangeResult::Accepted { version: 5 });
    }
    // The second of two operators who submit different contents with the same version gets an error.
    assert_eq!(apply(&mut state, 1, &replace(5, b"another five")), ChangeResult::Conflict { version: 5 });
    assert_eq!(state.config().map(|c| c.body.as_ref()), Some(&b"five"[..]));
    assert_eq!(apply(&mut state, 1, &replace(9, b"nine")), ChangeResult::Accepted { version: 9 });
}

#[test]
fn a_key_is_remembered_for_its_window_and_a_margin() {
    let mut state = State::new(60_000);
    let claim =
        |run| Change::Key(ClaimUpdate::Claim { key: Bytes::from_static(b"k"), run, holder: "m".to_owned() });
    assert_eq!(apply(&mut state, 0, &claim(1)), ChangeResult::Key(ClaimOutcome::Granted));
    let held = ChangeResult::Key(ClaimOutcome::Held { run: 1, holder: "m".to_owned() });
    assert_eq!(apply(&mut state, 69_000, &claim(2)), held);
    assert_eq!(apply(&mut state, 71_000, &claim(2)), ChangeResult::Key(ClaimOutcome::Granted));
}
