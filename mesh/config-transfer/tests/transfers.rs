//! Holder and asker together: whatever is lost, whoever is asked, the asker ends with the newest configuration, keeps what has
//! arrived, and a small change costs little.

use std::rc::Rc;

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_config_transfer::encoding::{pack, unpack};
use sloeline_config_transfer::metrics::{FAITHFUL, PROGRESS};
use sloeline_config_transfer::{Config, Fetch, PieceAnswer, Progress, Source};

/// A body of so many routes, of which one is changed.
fn body(routes: u32, changed: u32) -> Bytes {
    let route = |number: u32| {
        let name = number.wrapping_mul(2_654_435_761) ^ 0x5bd1_e995;
        let timeout = if number == changed { 900 } else { 2500 };
        format!(r#"{{"name":"r-{name:08x}","lane_prefix":"/{name:x}/","timeout":"{timeout}ms"}}"#)
    };
    Bytes::from((0..routes).map(route).collect::<Vec<_>>().join(","))
}

fn config(edition: u32, routes: u32) -> Rc<Config> {
    Rc::new(Config { edition, body: body(routes, edition % routes.max(1)) })
}

/// One step: asks `source`, and the answer is lost or not. What came of it, and the bytes that were carried.
fn step(fetch: &mut Fetch, source: &mut Source, lost: bool) -> (Option<Progress>, u64) {
    let answer = source.answer(&fetch.request());
    let bytes = match &answer {
        PieceAnswer::Piece(piece) => piece.bytes.len() as u64,
        PieceAnswer::NothingNewer => 0,
    };
    if lost {
        fetch.lost();
        return (None, bytes);
    }
    let progress = fetch.answered(answer).expect("an honest holder");
    if let Progress::Complete(config) = &progress {
        fetch.held(Rc::new(config.clone()));
    }
    (Some(progress), bytes)
}

/// Asks until nothing is newer; the last configuration that came, and the bytes.
fn run(fetch: &mut Fetch, source: &mut Source) -> (Option<Config>, u64) {
    let (mut last, mut carried) = (None, 0);
    for _ in 0..10_000 {
        let (progress, bytes) = step(fetch, source, false);
        carried += bytes;
        match progress {
            Some(Progress::Complete(config)) => last = Some(config),
            Some(Progress::NothingNewer) => return (last, carried),
            _ => {}
        }
    }
    panic!("it does not end");
}

quickcheck! {
    fn what_is_packed_is_unpacked(base: Vec<u8>, body: Vec<u8>) -> bool {
        let packed = pack(&base, &body).expect("packed");
        unpack(&base, &packed, body.len()).expect("unpacked") == body
    }

    fn no_more_is_unpacked_than_was_announced(body: Vec<u8>, more: u8) -> bool {
        let length = body.len();
        let packed = pack(&[], &[body, vec![0; usize::from(more) + 1]].concat()).expect("packed");
        unpack(&[], &packed, length).is_err()
    }

    fn whatever_is_unpacked_is_a_body_or_an_error(base: Vec<u8>, packed: Vec<u8>, length: u16) -> bool {
        unpack(&base, &packed, usize::from(length)).map_or(true, |body| body.len() == usize::from(length))
    }

    /// Two holders, of which one may be behind or restarted, answers that are lost, versions that come meanwhile.
    fn the_newest_arrives_whatever_is_lost(steps: Vec<(u8, bool, bool)>) -> bool {
        let mut sources = [Source::default(), Source::default()];
        let (mut fetch, mut edition) = (Fetch::default(), 1);
        let mut highest = 0;
        sources.iter_mut().for_each(|source| source.hold(config(edition, 40 + edition)));
        for (what, lost, second) in steps {
            match what % 16 {
                0 => {
                    edition += 1;
                    // The other holder hears of it later.
                    sources[0].hold(config(edition, 40 + edition));
                }
                1 => {
                    sources[1] = Source::default();
                    sources[1].hold(config(edition, 40 + edition));
                }
                _ => {}
            }
            if let (Some(Progress::Complete(config)), _) = step(&mut fetch, &mut sources[usize::from(second)], lost) {
                // Never an older one than before.
                if config.edition <= highest {
                    return false;
                }
                highest = config.edition;
            }
        }
        let wanted = config(edition, 40 + edition);
        let (last, _) = run(&mut fetch, &mut sources[0]);
        last.is_none_or(|last| last == *wanted) && fetch.request().base == Some(wanted.base())
            && PROGRESS.violations() == 0 && FAITHFUL.violations() == 0
    }
}

#[test]
fn a_small_change_of_a_large_body_is_a_small_difference() {
    let (mut source, mut fetch) = (Source::default(), Fetch::default());
    source.hold(config(1, 10_000));
    let (_, whole) = run(&mut fetch, &mut source);
    source.hold(config(2, 10_000));
    let (second, difference) = run(&mut fetch, &mut source);
    assert_eq!(second, Some((*config(2, 10_000)).clone()));
    let length = config(1, 10_000).body.len() as u64;
    assert!(whole < length * 2 / 3, "{whole} bytes of {length}");
    assert!(difference < 1024, "{difference} bytes");
}

#[test]
fn pieces_that_are_lost_cost_no_more_than_themselves() {
    let (mut source, mut fetch) = (Source::default(), Fetch::default());
    source.hold(config(1, 10_000));
    let mut received = 0;
    for turn in 0..200 {
        let lost = turn % 2 == 0;
        let (progress, bytes) = step(&mut fetch, &mut source, lost);
        received += if lost { 0 } else { bytes };
        if let Some(Progress::Complete(_)) = progress {
            let (_, whole) = run(&mut Fetch::default(), &mut source);
            assert_eq!(received, whole, "each byte is received once");
            return;
        }
    }
    panic!("not here after 100 pieces");
}

#[test]
fn a_transfer_goes_on_while_newer_versions_come() {
    let (mut source, mut fetch) = (Source::default(), Fetch::default());
    source.hold(config(1, 10_000));
    let mut completed = Vec::new();
    for edition in 2..20 {
        // Each version stands for as long as two pieces take.
        for _ in 0..2 {
            if let (Some(Progress::Complete(config)), _) = step(&mut fetch, &mut source, false) {
                completed.push(config.edition);
            }
        }
        source.hold(config(edition, 10_000));
    }
    assert_eq!(completed.first(), Some(&1), "{completed:?}");
    assert!(completed.last() >= Some(&18), "{completed:?}");
}

#[test]
fn a_holder_without_the_base_sends_the_whole() {
    let (mut first, mut second, mut fetch) = (Source::default(), Source::default(), Fetch::default());
    first.hold(config(1, 100));
    run(&mut fetch, &mut first);
    // It has been restarted and knows only the newest; or another content stands under the number of the base.
    second.hold(config(2, 100));
    assert_eq!(run(&mut fetch, &mut second).0, Some((*config(2, 100)).clone()));
}

#[test]
fn a_damaged_transfer_is_given_up_and_begun_again() {
    let (mut source, mut fetch) = (Source::default(), Fetch::default());
    source.hold(config(1, 100));
    let PieceAnswer::Piece(mut piece) = source.answer(&fetch.request()) else { panic!("a piece") };
    piece.transfer.body_length += 1;
    assert!(fetch.answered(PieceAnswer::Piece(piece)).is_err());
    assert_eq!(run(&mut fetch, &mut source).0, Some((*config(1, 100)).clone()));
}
