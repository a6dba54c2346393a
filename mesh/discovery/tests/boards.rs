//! Boards that pull from each other: news in any order, lost, doubled, old; who is picked to pull from.

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_discovery::rendezvous::top_candidates;
use sloeline_discovery::{Config, MeshState, Pull, Record, Version};

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

fn pull(board: &MeshState, source: &str) -> Pull {
    let config_version = board.config().map(|c| c.edition);
    Pull {
        source: source.to_owned(),
        vector: board.vector(),
        config_version,
        offered_version: None,
        core_round: None,
        pushed_records: Vec::new(),
        max_hold_ms: 0,
    }
}

quickcheck! {
    fn boards_that_pull_end_with_the_newest_of_each_source(news: Vec<(u8, u8, u8, u8)>, pulls: Vec<(u8, u8)>) -> bool {
        let mut boards: Vec<MeshState> = (0..4).map(|_| MeshState::default()).collect();
        for (board, source, life, change) in &news {
            boards[usize::from(board % 4)]
                .merge(vec![record(source % 5, u64::from(life % 3), u64::from(change % 3))]);
        }
        let mut config = 0;
        for (at, (board, ..)) in news.iter().enumerate() {
            config = at as u32;
            boards[usize::from(board % 4)].update_config(Config { edition: config, body: Bytes::new() });
        }
        let ring = (0..4).flat_map(|_| (0..4).map(|i| (i, (i + 1) % 4)));
        for (to, from) in pulls.into_iter().map(|(a, b)| (usize::from(a % 4), usize::from(b % 4))).chain(ring) {
            let wanted = pull(&boards[to], "asker");
            let told = boards[from].response_to(&wanted);
            // Nothing is told that is known.
            if told.records.iter().any(|r| wanted.vector.get(&r.source) >= Some(&r.version)) {
                return false;
            }
            // Twice the same, as after a lost answer, and an old one after a new one.
            for told in [told.clone(), told] {
                boards[to].merge(told.records);
                // The content of what is offered comes by a transfer.
                let config = boards[from].config().filter(|config| told.offered_version == Some(config.edition));
                config.into_iter().for_each(|config| _ = boards[to].update_config((*config).clone()));
            }
        }
        let newest = |source: &str| news.iter().filter(|(_, s, ..)| format!("m-{}", s % 5) == source)
            .map(|(_, _, l, c)| Version { incarnation: u64::from(l % 3), revision: u64::from(c % 3) }).max();
        boards.iter().all(|board| {
            let whole = board.records().iter().all(|(s, r)| Some(r.version) == newest(s));
            whole && board.vector() == boards[0].vector()
                && (news.is_empty() || board.config().map(|c| c.edition) == Some(config))
        })
    }

    fn boards_have_one_digest_if_they_have_the_same(news: Vec<(u8, u8, u8)>, edition: Option<u32>) -> bool {
        let (mut one, mut other) = (MeshState::default(), MeshState::default());
        let records = || news.iter().map(|(s, l, c)| record(s % 5, u64::from(*l), u64::from(*c)));
        one.merge(records().collect());
        // In another order, one by one.
        for record in records().collect::<Vec<_>>().into_iter().rev() {
            other.merge(vec![record]);
        }
        let alike = one.digest() == other.digest();
        if let Some(edition) = edition {
            one.update_config(Config { edition, body: Bytes::new() });
        }
        let before = other.digest();
        other.merge(vec![record(7, 1, 1)]);
        alike && before != other.digest() && (edition.is_none() || one.digest() != before)
    }

    fn few_picks_change_when_a_candidate_goes(names: Vec<u8>, gone: u8) -> bool {
        let names: Vec<String> = names.iter().map(|n| format!("c-{n}")).collect();
        let gone = format!("c-{gone}");
        let before = top_candidates("me", names.iter().map(String::as_str), 3);
        let after = top_candidates("me", names.iter().map(String::as_str).filter(|n| *n != gone), 3);
        let kept = before.iter().filter(|n| **n != gone).all(|n| after.contains(n));
        kept && after.len() <= 3 && !after.contains(&gone.as_str())
    }
}

#[test]
fn picks_are_even() {
    let names: Vec<String> = (0..40).map(|n| format!("branch-{n}")).collect();
    let mut counts = vec![0; names.len()];
    for me in 0..400 {
        for pick in top_candidates(&format!("asker-{me}"), names.iter().map(String::as_str), 2) {
            counts[names.iter().position(|n| n == pick).expect("a candidate")] += 1;
        }
    }
    // 20 each on average.
    assert!(counts.iter().all(|c| (6..=40).contains(c)), "{counts:?}");
}

#[test]
fn a_snapshot_stays_as_it_was_taken() {
    let mut board = MeshState::default();
    board.merge(vec![record(1, 1, 1)]);
    let before = board.records();
    board.merge(vec![record(1, 1, 2), record(2, 1, 1)]);
    assert_eq!((before.len(), board.records().len()), (1, 2));
    assert_eq!(before["m-1"].version.revision, 1);
}
