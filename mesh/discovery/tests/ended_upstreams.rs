//! Ends of upstream instances as the core remembers them.

use std::collections::HashMap;

use quickcheck::quickcheck;
use sloeline_discovery::ended_upstreams::{
    ENDED_RETENTION_MS, EndedUpstreams, MAX_ENDED_UPSTREAMS, UpstreamOutcome, UpstreamUpdate,
};

/// The end of an instance.
fn end(id: &str) -> UpstreamUpdate {
    UpstreamUpdate::End { id: id.to_owned() }
}

/// A question about an instance.
fn query(id: &str) -> UpstreamUpdate {
    UpstreamUpdate::Query { id: id.to_owned() }
}

#[test]
fn an_end_is_remembered_from_its_first_report_for_the_retention() {
    let mut ended = EndedUpstreams::default();
    assert_eq!(ended.apply(0, &query("i-1")), (UpstreamOutcome::NotEnded, Vec::new()));
    assert_eq!(ended.apply(5, &end("i-1")), (UpstreamOutcome::Ended, vec![("i-1".to_owned(), Some(5))]));
    // A repeated report, after a lost answer.
    assert_eq!(ended.apply(9, &end("i-1")), (UpstreamOutcome::Ended, Vec::new()));
    assert_eq!(ended.apply(ENDED_RETENTION_MS, &query("i-1")).0, UpstreamOutcome::Ended);
    let (_, changed) = ended.apply(ENDED_RETENTION_MS + 6, &end("i-2"));
    assert_eq!(changed, [("i-1".to_owned(), None), ("i-2".to_owned(), Some(ENDED_RETENTION_MS + 6))]);
    assert_eq!(ended.apply(ENDED_RETENTION_MS + 6, &query("i-1")).0, UpstreamOutcome::NotEnded);
}

#[test]
fn the_oldest_ends_give_way_when_there_are_too_many() {
    let mut ended = EndedUpstreams::default();
    for number in 0..=MAX_ENDED_UPSTREAMS as u64 {
        ended.apply(number / 1000, &end(&format!("i-{number}")));
    }
    assert_eq!(ended.len(), MAX_ENDED_UPSTREAMS);
    assert_eq!(ended.apply(100, &query("i-0")).0, UpstreamOutcome::NotEnded);
    assert_eq!(ended.apply(100, &query("i-1")).0, UpstreamOutcome::Ended);
}

quickcheck! {
    fn a_table_restored_from_its_changes_behaves_like_the_original(steps: Vec<(u8, u16, bool)>, cut: usize) -> bool {
        let cut = cut % (steps.len() + 1);
        let update = |id: u8, ends: bool| match ends {
            true => end(&format!("i-{}", id % 8)),
            false => query(&format!("i-{}", id % 8)),
        };
        let (mut original, mut rows, mut now) = (EndedUpstreams::default(), HashMap::new(), 0);
        for (id, pause, ends) in &steps[..cut] {
            now += u64::from(*pause) * 10;
            for (id, at) in original.apply(now, &update(*id, *ends)).1 {
                match at {
                    Some(at) => rows.insert(id, at),
                    None => rows.remove(&id),
                };
            }
        }
        let mut restored = EndedUpstreams::default();
        restored.replace_all(rows.into_iter());
        steps[cut..].iter().all(|(id, pause, ends)| {
            now += u64::from(*pause) * 10;
            original.apply(now, &update(*id, *ends)).0 == restored.apply(now, &update(*id, *ends)).0
        }) && original.len() == restored.len()
    }
}
