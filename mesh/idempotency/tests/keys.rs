//! Claims and ledgers against a plain specification: within its window a key is granted to one run at most, unless that
//! run has taken its claim back.

use std::collections::HashMap;

use bytes::Bytes;
use quickcheck::{Arbitrary, Gen, quickcheck};
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate, Claims, Entry, Ledger, StoredResponse};

const WINDOW: u64 = 50;

#[derive(Clone, Debug)]
struct Step {
    pause: u64,
    key: u8,
    run: u64,
    release: bool,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let pause = *g.choose(&[0, 1, 5, 30, 60]).unwrap_or(&0);
        Step {
            pause,
            key: u8::arbitrary(g) % 4,
            run: u64::arbitrary(g) % 6 + 1,
            release: u8::arbitrary(g) % 4 == 0,
        }
    }
}

fn key(step: &Step) -> Bytes {
    Bytes::from(vec![step.key])
}

fn update(step: &Step) -> ClaimUpdate {
    match step.release {
        true => ClaimUpdate::Release { key: key(step), run: step.run },
        false => ClaimUpdate::Claim { key: key(step), run: step.run, holder: format!("m-{}", step.run) },
    }
}

quickcheck! {
    fn a_key_has_one_run_within_its_window(steps: Vec<Step>) -> bool {
        let mut claims = Claims::new(WINDOW);
        let mut held: HashMap<u8, (u64, u64)> = HashMap::new();
        let mut now = 0;
        steps.iter().all(|step| {
            now += step.pause;
            held.retain(|_, (at, _)| *at + WINDOW >= now);
            let (outcome, _) = claims.apply(now, &update(step));
            let holder = held.get(&step.key).map(|(_, run)| *run);
            if step.release {
                if holder == Some(step.run) {
                    held.remove(&step.key);
                }
                return outcome == ClaimOutcome::Granted;
            }
            match holder {
                Some(run) if run != step.run => outcome == ClaimOutcome::Held { run, holder: format!("m-{run}") },
                Some(_) => outcome == ClaimOutcome::Granted,
                None => {
                    held.insert(step.key, (now, step.run));
                    outcome == ClaimOutcome::Granted
                }
            }
        })
    }

    fn a_table_that_was_written_row_by_row_and_loaded_goes_on_alike(steps: Vec<Step>, cut: usize) -> bool {
        let cut = cut % (steps.len() + 1);
        let (mut one, mut rows, mut now) = (Claims::new(WINDOW), HashMap::new(), 0);
        for step in &steps[..cut] {
            now += step.pause;
            for (key, claim) in one.apply(now, &update(step)).1 {
                match claim {
                    Some(claim) => rows.insert(key, claim),
                    None => rows.remove(&key),
                };
            }
        }
        let mut other = Claims::new(WINDOW);
        other.replace_all(rows.into_iter());
        steps[cut..].iter().all(|step| {
            now += step.pause;
            one.apply(now, &update(step)).0 == other.apply(now, &update(step)).0
        }) && one.len() == other.len()
    }

    fn a_ledger_keeps_within_its_bytes_and_counts_them(sizes: Vec<(u8, u16, bool)>) -> bool {
        let most = 20_000;
        let mut ledger = Ledger::new(WINDOW, most);
        for (at, (key, size, ends)) in sizes.into_iter().enumerate() {
            let (now, run, key) = (at as u64 * 3, at as u64, Bytes::from(vec![key % 16]));
            ledger.begin(now, &key, run);
            let body = Bytes::from(vec![0; usize::from(size % 4096)]);
            match ends {
                true => ledger.end(&key, run),
                false => ledger.ran(&key, run, Some(StoredResponse { status: 200, headers: Vec::new(), body })),
            }
            if ledger.bytes() > most || ledger.len() > 18 {
                return false;
            }
        }
        let keys: Vec<Bytes> = (0..16).map(|k| Bytes::from(vec![k])).collect();
        let kept = keys.iter().filter_map(|k| match ledger.get(k) {
            Some((_, Entry::Ran(Some(answer)))) => Some(answer.size() + k.len()),
            _ => None,
        });
        kept.sum::<usize>() == ledger.bytes()
    }
}

#[test]
fn a_late_word_of_an_earlier_run_changes_nothing() {
    let (key, now) = (Bytes::from_static(b"k"), 0);
    let mut claims = Claims::new(WINDOW);
    let claim = |run| ClaimUpdate::Claim { key: key.clone(), run, holder: "m".to_owned() };
    claims.apply(now, &claim(1));
    claims.apply(now, &ClaimUpdate::Release { key: key.clone(), run: 1 });
    claims.apply(now, &claim(2));
    // The first run's word again, as after a connection that broke.
    claims.apply(now, &ClaimUpdate::Release { key: key.clone(), run: 1 });
    assert_eq!(claims.get(&key).map(|c| c.run), Some(2));
    let mut ledger = Ledger::new(WINDOW, 1 << 20);
    ledger.begin(now, &key, 2);
    ledger.ran(&key, 1, None);
    ledger.end(&key, 1);
    assert_eq!(ledger.get(&key), Some(&(2, Entry::Running)));
}

#[test]
fn an_answer_kept_for_another_holder_never_replaces_what_is_known() {
    let key = Bytes::from_static(b"k");
    let answer = |status| StoredResponse { status, headers: Vec::new(), body: Bytes::new() };
    let mut ledger = Ledger::new(WINDOW, 1 << 20);
    ledger.begin(0, &key, 7);
    ledger.keep(0, &key, 8, answer(200));
    assert_eq!(ledger.get(&key), Some(&(7, Entry::Running)));
    ledger.end(&key, 7);
    ledger.keep(0, &key, 8, answer(200));
    assert_eq!(ledger.get(&key), Some(&(8, Entry::Ran(Some(answer(200))))));
}
