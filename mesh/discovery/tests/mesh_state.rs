//! Mesh states that pull from each other, with updates reordered, lost, duplicated and outdated; and the candidates that
//! rendezvous hashing selects.

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_discovery::rendezvous::top_candidates;
use sloeline_discovery::{Config, MeshState, Pull, Record, Version};

/// A record of process `source` with this version.
fn record(source: u8, incarnation: u64, revision: u64) -> Record {
    Record {
        source: format!("m-{source}"),
        version: Version { incarnation, revision },
        mesh_address: ([10, 0, 0, source], 1).into(),
        zone: "a".to_owned(),
        is_core: false,
        leaving: false,
        incoming_address: None,
        upstream: None,
    }
}

/// The pull that a process with this state sends.
fn pull(state: &MeshState, source: &str) -> Pull {
    let config_version = state.config().map(|c| c.edition);
    Pull {
        source: source.to_owned(),
        vector: state.vector(),
        config_version,
        offered_version: None,
        core_round: None,
        pushed_records: Vec::new(),
        max_hold_ms: 0,
    }
}

quickcheck! {
    fn states_that_pull_converge_to_the_newest_record_of_each_source(updates: Vec<(u8, u8, u8, u8)>, pulls: Vec<(u8, u8)>) -> bool {
        let mut states: Vec<MeshState> = (0..4).map(|_| MeshState::default()).collect();
        for (state, source, incarnation, revision) in &updates {
            states[usize::from(state % 4)]
                .merge(vec![record(source % 5, u64::from(incarnation % 3), u64::from(revision % 3))]);
        }
        let mut config = 0;
        for (at, (state, ..)) in updates.iter().enumerate() {
            config = at as u32;
            states[usize::from(state % 4)].update_config(Config { edition: config, body: Bytes::new() });
        }
        let ring = (0..4).flat_map(|_| (0..4).map(|i| (i, (i + 1) % 4)));
        for (to, from) in pulls.into_iter().map(|(a, b)| (usize::from(a % 4), usize::from(b % 4))).chain(ring) {
            let request = pull(&states[to], "requester");
            let response = states[from].response_to(&request);
            // A response contains nothing that the requester has.
            if response.records.iter().any(|r| request.vector.get(&r.source) >= Some(&r.version)) {
                return false;
            }
            // The response arrives twice, as after a lost reply, so that an outdated one follows a newer one.
            for response in [response.clone(), response] {
                states[to].merge(response.records);
                // The content of an offered configuration is transferred separately.
                let config = states[from].config().filter(|config| response.offered_version == Some(config.edition));
                config.into_iter().for_each(|config| _ = states[to].update_config((*config).clone()));
            }
        }
        let newest = |source: &str| updates.iter().filter(|(_, s, ..)| format!("m-{}", s % 5) == source)
            .map(|(_, _, i, r)| Version { incarnation: u64::from(i % 3), revision: u64::from(r % 3) }).max();
        states.iter().all(|state| {
            let newest_records = state.records().iter().all(|(s, r)| Some(r.version) == newest(s));
            newest_records && state.vector() == states[0].vector()
                && (updates.is_empty() || state.config().map(|c| c.edition) == Some(config))
        })
    }

    fn equal_states_have_equal_digests(updates: Vec<(u8, u8, u8)>, edition: Option<u32>) -> bool {
        let (mut first, mut second) = (MeshState::default(), MeshState::default());
        let records = || updates.iter().map(|(s, i, r)| record(s % 5, u64::from(*i), u64::from(*r)));
        first.merge(records().collect());
        // The same records in reverse order, one at a time.
        for record in records().collect::<Vec<_>>().into_iter().rev() {
            second.merge(vec![record]);
        }
        let equal = first.digest() == second.digest();
        if let Some(edition) = edition {
            first.update_config(Config { edition, body: Bytes::new() });
        }
        let before = second.digest();
        second.merge(vec![record(7, 1, 1)]);
        equal && before != second.digest() && (edition.is_none() || first.digest() != before)
    }

    fn candidates_stay_selected_when_another_one_is_removed(names: Vec<u8>, removed: u8) -> bool {
        let names: Vec<String> = names.iter().map(|n| format!("c-{n}")).collect();
        let removed = format!("c-{removed}");
        let before = top_candidates("me", names.iter().map(String::as_str), 3);
        let after = top_candidates("me", names.iter().map(String::as_str).filter(|n| *n != removed), 3);
        let stay = before.iter().filter(|n| **n != removed).all(|n| after.contains(n));
        stay && after.len() <= 3 && !after.contains(&removed.as_str())
    }
}

#[test]
fn candidates_are_selected_evenly() {
    let names: Vec<String> = (0..40).map(|n| format!("branch-{n}")).collect();
    let mut counts = vec![0; names.len()];
    for chooser in 0..400 {
        for selected in top_candidates(&format!("asker-{chooser}"), names.iter().map(String::as_str), 2) {
            counts[names.iter().position(|n| n == selected).expect("a candidate")] += 1;
        }
    }
    // 20 each on average.
    assert!(counts.iter().all(|c| (6..=40).contains(c)), "{counts:?}");
}

#[test]
fn a_snapshot_does_not_change() {
    let mut state = MeshState::default();
    state.merge(vec![record(1, 1, 1)]);
    let before = state.records();
    state.merge(vec![record(1, 1, 2), record(2, 1, 1)]);
    assert_eq!((before.len(), state.records().len()), (1, 2));
    assert_eq!(before["m-1"].version.revision, 1);
}
