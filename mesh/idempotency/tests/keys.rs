//! Checks claims and ledgers against a simple model: within the window a key is granted to at most one run, unless that
//! run releases its claim, and never to a run that has released it.

use std::collections::{HashMap, HashSet};

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, quickcheck};
use sloeline_idempotency::{
    ClaimOutcome, ClaimUpdate, Claims, Ledger, ReleasedRun, RunState, StoredResponse,
};

/// Window of the claim tables and ledgers under test.
const WINDOW_MS: u64 = 50;

/// One update of the claim table, applied after a pause.
#[derive(Clone, Debug)]
struct Step {
    /// Time since the previous update, in milliseconds.
    pause_ms: u64,
    /// The operation key, one of four.
    key: u8,
    /// Identifier of the run that claims or releases the key.
    run: u64,
    /// Whether the key is released instead of claimed.
    release: bool,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let pause_ms = *g.choose(&[0, 1, 5, 30, 60]).unwrap_or(&0);
        Step {
            pause_ms,
            key: u8::arbitrary(g) % 4,
            run: u64::arbitrary(g) % 6 + 1,
            release: u8::arbitrary(g) % 4 == 0,
        }
    }
}

/// The operation key of a step.
fn key(step: &Step) -> Bytes {
    Bytes::from(vec![step.key])
}

/// The claim update of a step; each run has a holder of its own.
fn update(step: &Step) -> ClaimUpdate {
    match step.release {
        true => ClaimUpdate::Release { key: key(step), run: step.run },
        false => ClaimUpdate::Claim { key: key(step), run: step.run, holder: format!("m-{}", step.run) },
    }
}

quickcheck! {
    fn a_key_is_granted_to_one_run_within_its_window(steps: Vec<Step>) -> bool {
        let mut claims = Claims::new(WINDOW_MS);
        let mut held: HashMap<u8, (u64, u64)> = HashMap::new();
        let mut released: HashMap<(u8, u64), u64> = HashMap::new();
        let mut now = 0;
        steps.iter().all(|step| {
            now += step.pause_ms;
            held.retain(|_, (at, _)| *at + WINDOW_MS >= now);
            released.retain(|_, at| *at + WINDOW_MS >= now);
            let (outcome, _) = claims.apply(now, &update(step));
            let holder = held.get(&step.key).map(|(_, run)| *run);
            if step.release {
                if holder == Some(step.run) {
                    held.remove(&step.key);
                }
                released.entry((step.key, step.run)).or_insert(now);
                return outcome == ClaimOutcome::Granted;
            }
            match holder {
                Some(run) if run != step.run => outcome == ClaimOutcome::Held { run, holder: format!("m-{run}") },
                Some(_) => outcome == ClaimOutcome::Granted,
                None if released.contains_key(&(step.key, step.run)) => outcome != ClaimOutcome::Granted,
                None => {
                    held.insert(step.key, (now, step.run));
                    outcome == ClaimOutcome::Granted
                }
            }
        })
    }

    fn a_table_restored_from_its_changes_behaves_like_the_original(steps: Vec<Step>, cut: usize) -> bool {
        let cut = cut % (steps.len() + 1);
        let (mut original, mut rows, mut now) = (Claims::new(WINDOW_MS), HashMap::new(), 0);
        let mut releases: HashMap<ReleasedRun, u64> = HashMap::new();
        for step in &steps[..cut] {
            now += step.pause_ms;
            let changed = original.apply(now, &update(step)).1;
            for (key, claim) in changed.claims {
                match claim {
                    Some(claim) => rows.insert(key, claim),
                    None => rows.remove(&key),
                };
            }
            for (released, at) in changed.releases {
                match at {
                    Some(at) => releases.insert(released, at),
                    None => releases.remove(&released),
                };
            }
        }
        let mut restored = Claims::new(WINDOW_MS);
        restored.replace_all(rows.into_iter(), releases.into_iter());
        steps[cut..].iter().all(|step| {
            now += step.pause_ms;
            original.apply(now, &update(step)).0 == restored.apply(now, &update(step)).0
        }) && original.len() == restored.len()
            && original.releases().collect::<HashSet<_>>() == restored.releases().collect::<HashSet<_>>()
    }

    fn a_ledger_stays_within_its_byte_limit_and_counts_stored_bytes(sizes: Vec<(u8, u16, bool)>) -> bool {
        let max_bytes = 20_000;
        let mut ledger = Ledger::new(WINDOW_MS, max_bytes);
        for (at, (key, size, removed)) in sizes.into_iter().enumerate() {
            let (now, run, key) = (at as u64 * 3, at as u64, Bytes::from(vec![key % 16]));
            ledger.start(now, &key, run);
            let body = Bytes::from(vec![0; usize::from(size % 4096)]);
            match removed {
                true => ledger.remove_run(&key, run),
                false => ledger.finish(&key, run, Some(StoredResponse { status: 200, headers: Vec::new(), body })),
            }
            if ledger.stored_bytes() > max_bytes || ledger.len() > 18 {
                return false;
            }
        }
        let keys: Vec<Bytes> = (0..16).map(|k| Bytes::from(vec![k])).collect();
        let stored = keys.iter().filter_map(|k| match ledger.get(k) {
            Some((_, RunState::Finished(Some(response)))) => Some(response.size() + k.len()),
            _ => None,
        });
        stored.sum::<usize>() == ledger.stored_bytes()
    }
}

#[test]
fn a_late_release_by_an_earlier_run_changes_nothing() {
    let (key, now) = (Bytes::from_static(b"k"), 0);
    let mut claims = Claims::new(WINDOW_MS);
    let claim = |run| ClaimUpdate::Claim { key: key.clone(), run, holder: "m".to_owned() };
    claims.apply(now, &claim(1));
    claims.apply(now, &ClaimUpdate::Release { key: key.clone(), run: 1 });
    claims.apply(now, &claim(2));
    // The first run's release arrives a second time, as after a broken connection.
    claims.apply(now, &ClaimUpdate::Release { key: key.clone(), run: 1 });
    assert_eq!(claims.get(&key).map(|c| c.run), Some(2));
    let mut ledger = Ledger::new(WINDOW_MS, 1 << 20);
    ledger.start(now, &key, 2);
    ledger.finish(&key, 1, None);
    ledger.remove_run(&key, 1);
    assert_eq!(ledger.get(&key), Some(&(2, RunState::Running)));
}

#[test]
fn a_replica_never_replaces_a_known_run() {
    let key = Bytes::from_static(b"k");
    let response = |status| StoredResponse { status, headers: Vec::new(), body: Bytes::new() };
    let mut ledger = Ledger::new(WINDOW_MS, 1 << 20);
    ledger.start(0, &key, 7);
    ledger.store_replica(0, &key, 8, response(200));
    assert_eq!(ledger.get(&key), Some(&(7, RunState::Running)));
    ledger.remove_run(&key, 7);
    ledger.store_replica(0, &key, 8, response(200));
    assert_eq!(ledger.get(&key), Some(&(8, RunState::Finished(Some(response(200))))));
}

/// A claim that a slow core machine takes up only after its run was given up, and its release stored by another machine.
#[test]
fn a_claim_that_arrives_after_its_release_holds_no_key() {
    let mut claims = Claims::new(WINDOW_MS);
    let key = Bytes::from_static(b"k");
    let claim = |run| ClaimUpdate::Claim { key: key.clone(), run, holder: "m-1".to_owned() };
    claims.apply(0, &ClaimUpdate::Release { key: key.clone(), run: 1 });
    claims.apply(1, &claim(1));
    assert_eq!(
        claims.apply(2, &claim(2)).0,
        ClaimOutcome::Granted,
        "run 1 was given up before it was claimed"
    );
}
