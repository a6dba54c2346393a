//! The state that the chain keeps: the same updates make the same state, row by row or as a whole.

use std::collections::BTreeMap;

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_chain_replication::StateMachine;
use sloeline_control_plane::tables::{Change, ChangeResult, State};
use sloeline_discovery::Config;
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate};

fn change(kind: u8, key: u8, run: u64) -> Change {
    let name = Bytes::from(vec![key % 5]);
    match kind % 4 {
        0 => Change::Config(Config { edition: u32::from(key), body: Bytes::from(vec![run as u8; 3]) }),
        1 => Change::Key(ClaimUpdate::Release { key: name, run: run % 7 }),
        2 => Change::Key(ClaimUpdate::Claim { key: name, run: run % 7, holder: "m".to_owned() }),
        _ => Change::Read,
    }
}

fn by_key(state: &State) -> BTreeMap<Bytes, Bytes> {
    state.rows().iter().map(|(key, value)| (key.clone(), value.clone())).collect()
}

quickcheck! {
    fn rows_written_one_by_one_make_the_state_that_is_dumped(changes: Vec<(u8, u8, u64, u8)>) -> bool {
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
        let dumped = by_key(&state);
        let mut loaded = State::new(100);
        loaded.load(&disk.clone().into_iter().collect());
        dumped == disk && by_key(&loaded) == disk
    }

    fn bytes_that_are_no_change_change_nothing(bytes: Vec<u8>) -> bool {
        let mut state = State::new(100);
        let before = by_key(&state);
        let applied = state.apply(1, &Bytes::from(bytes.clone()));
        rmp_serde::from_slice::<Change>(&bytes).is_ok() || (applied.rows.is_empty() && by_key(&state) == before)
    }
}

fn came(state: &mut State, stamp: u64, change: &Change) -> ChangeResult {
    rmp_serde::from_slice(&state.apply(stamp, &change.encoded()).result).expect("a result")
}

#[test]
fn the_highest_configuration_holds_and_under_one_version_there_is_one_content() {
    let mut state = State::new(100);
    let put =
        |edition, body: &'static [u8]| Change::Config(Config { edition, body: Bytes::from_static(body) });
    assert_eq!(came(&mut state, 1, &Change::Read), ChangeResult::Config(None));
    assert_eq!(came(&mut state, 1, &put(5, b"five")), ChangeResult::Taken { holds: 5 });
    // An older one, and the same again after a lost answer, are acknowledged and change nothing.
    for (edition, body) in [(4, &b"four"[..]), (5, b"five")] {
        assert_eq!(came(&mut state, 1, &put(edition, body)), ChangeResult::Taken { holds: 5 });
    }
    // Of two operators with different content under one version, one is told that the other was first.
    assert_eq!(came(&mut state, 1, &put(5, b"another five")), ChangeResult::Conflict { holds: 5 });
    assert_eq!(state.config().map(|c| c.body.as_ref()), Some(&b"five"[..]));
    assert_eq!(came(&mut state, 1, &put(9, b"nine")), ChangeResult::Taken { holds: 9 });
}

#[test]
fn a_key_is_kept_for_its_window_and_a_margin() {
    let mut state = State::new(60_000);
    let claim =
        |run| Change::Key(ClaimUpdate::Claim { key: Bytes::from_static(b"k"), run, holder: "m".to_owned() });
    assert_eq!(came(&mut state, 0, &claim(1)), ChangeResult::Key(ClaimOutcome::Granted));
    let held = ChangeResult::Key(ClaimOutcome::Held { run: 1, holder: "m".to_owned() });
    assert_eq!(came(&mut state, 69_000, &claim(2)), held);
    assert_eq!(came(&mut state, 71_000, &claim(2)), ChangeResult::Key(ClaimOutcome::Granted));
}
