//! Runs a requester against holders: whichever answers are lost and whichever holder is asked, the requester ends with the
//! newest configuration, keeps the bytes it has received, and a small change takes few bytes.

use std::rc::Rc;

use bytes::Bytes;
use quickcheck::quickcheck;
use sloeline_config_transfer::encoding::{pack, unpack};
use sloeline_config_transfer::metrics::{DIGEST_MATCHES, PIECES_CONTIGUOUS};
use sloeline_config_transfer::{Config, Fetcher, PieceAnswer, Progress, Source};

/// Returns a body with `routes` routes, of which route number `changed` has another timeout than the rest.
fn body(routes: u32, changed: u32) -> Bytes {
    let route = |number: u32| {
        let name = number.wrapping_mul(2_654_435_761) ^ 0x5bd1_e995;
        let timeout = if number == changed { 900 } else { 2500 };
        format!(r#"{{"name":"r-{name:08x}","lane_prefix":"/{name:x}/","timeout":"{timeout}ms"}}"#)
    };
    Bytes::from((0..routes).map(route).collect::<Vec<_>>().join(","))
}

/// Returns version `edition` of a configuration with `routes` routes; each version changes one route.
fn config(edition: u32, routes: u32) -> Rc<Config> {
    Rc::new(Config { edition, body: body(routes, edition % routes.max(1)) })
}

/// Sends one request to `source` and handles its answer, or drops the answer if `lost`. Returns the progress and the number
/// of bytes in the answer.
fn step(fetcher: &mut Fetcher, source: &mut Source, lost: bool) -> (Option<Progress>, u64) {
    let answer = source.answer(&fetcher.next_request());
    let bytes = match &answer {
        PieceAnswer::Piece(piece) => piece.bytes.len() as u64,
        PieceAnswer::NothingNewer => 0,
    };
    if lost {
        fetcher.handle_loss();
        return (None, bytes);
    }
    let progress = fetcher.handle_answer(answer).expect("a valid answer");
    if let Progress::Complete(config) = &progress {
        fetcher.set_held(Rc::new(config.clone()));
    }
    (Some(progress), bytes)
}

/// Sends requests until the holder has nothing newer. Returns the last configuration received and the total bytes sent.
fn fetch_all(fetcher: &mut Fetcher, source: &mut Source) -> (Option<Config>, u64) {
    let (mut last, mut sent) = (None, 0);
    for _ in 0..10_000 {
        let (progress, bytes) = step(fetcher, source, false);
        sent += bytes;
        match progress {
            Some(Progress::Complete(config)) => last = Some(config),
            Some(Progress::NothingNewer) => return (last, sent),
            _ => {}
        }
    }
    panic!("the fetch does not end");
}

quickcheck! {
    fn unpack_restores_the_packed_body(base: Vec<u8>, body: Vec<u8>) -> bool {
        let packed = pack(&base, &body).expect("packed");
        unpack(&base, &packed, body.len()).expect("unpacked") == body
    }

    fn unpack_fails_on_a_body_longer_than_announced(body: Vec<u8>, more: u8) -> bool {
        let length = body.len();
        let packed = pack(&[], &[body, vec![0; usize::from(more) + 1]].concat()).expect("packed");
        unpack(&[], &packed, length).is_err()
    }

    fn unpack_of_arbitrary_bytes_has_the_announced_length_or_fails(base: Vec<u8>, packed: Vec<u8>, length: u16) -> bool {
        unpack(&base, &packed, usize::from(length)).map_or(true, |body| body.len() == usize::from(length))
    }

    /// Fetches from two holders while answers are lost, new versions appear, and one holder lags behind or restarts.
    fn newest_configuration_arrives_despite_losses_and_restarts(steps: Vec<(u8, bool, bool)>) -> bool {
        let mut sources = [Source::default(), Source::default()];
        let (mut fetcher, mut edition) = (Fetcher::default(), 1);
        let mut highest = 0;
        sources.iter_mut().for_each(|source| source.add(config(edition, 40 + edition)));
        for (action, lost, second) in steps {
            match action % 16 {
                0 => {
                    edition += 1;
                    // The second holder gets this version only when it restarts.
                    sources[0].add(config(edition, 40 + edition));
                }
                1 => {
                    sources[1] = Source::default();
                    sources[1].add(config(edition, 40 + edition));
                }
                _ => {}
            }
            if let (Some(Progress::Complete(config)), _) = step(&mut fetcher, &mut sources[usize::from(second)], lost) {
                // Versions only increase.
                if config.edition <= highest {
                    return false;
                }
                highest = config.edition;
            }
        }
        let wanted = config(edition, 40 + edition);
        let (last, _) = fetch_all(&mut fetcher, &mut sources[0]);
        last.is_none_or(|last| last == *wanted) && fetcher.next_request().base == Some(wanted.id())
            && PIECES_CONTIGUOUS.violations() == 0 && DIGEST_MATCHES.violations() == 0
    }
}

#[test]
fn a_small_change_to_a_large_body_is_sent_as_a_small_difference() {
    let (mut source, mut fetcher) = (Source::default(), Fetcher::default());
    source.add(config(1, 10_000));
    let (_, whole) = fetch_all(&mut fetcher, &mut source);
    source.add(config(2, 10_000));
    let (second, difference) = fetch_all(&mut fetcher, &mut source);
    assert_eq!(second, Some((*config(2, 10_000)).clone()));
    let length = config(1, 10_000).body.len() as u64;
    assert!(whole < length * 2 / 3, "{whole} bytes of {length}");
    assert!(difference < 1024, "{difference} bytes");
}

#[test]
fn a_lost_piece_does_not_cause_other_bytes_to_be_sent_again() {
    let (mut source, mut fetcher) = (Source::default(), Fetcher::default());
    source.add(config(1, 10_000));
    let mut received = 0;
    for turn in 0..200 {
        let lost = turn % 2 == 0;
        let (progress, bytes) = step(&mut fetcher, &mut source, lost);
        received += if lost { 0 } else { bytes };
        if let Some(Progress::Complete(_)) = progress {
            let (_, whole) = fetch_all(&mut Fetcher::default(), &mut source);
            assert_eq!(received, whole, "each byte is received once");
            return;
        }
    }
    panic!("the configuration has not arrived after 100 pieces");
}

#[test]
fn a_transfer_completes_while_newer_versions_appear() {
    let (mut source, mut fetcher) = (Source::default(), Fetcher::default());
    source.add(config(1, 10_000));
    let mut completed = Vec::new();
    for edition in 2..20 {
        // A new version appears after every two pieces.
        for _ in 0..2 {
            if let (Some(Progress::Complete(config)), _) = step(&mut fetcher, &mut source, false) {
                completed.push(config.edition);
            }
        }
        source.add(config(edition, 10_000));
    }
    assert_eq!(completed.first(), Some(&1), "{completed:?}");
    assert!(completed.last() >= Some(&18), "{completed:?}");
}

#[test]
fn a_holder_without_the_base_sends_the_whole_configuration() {
    let (mut first, mut second, mut fetcher) = (Source::default(), Source::default(), Fetcher::default());
    first.add(config(1, 100));
    fetch_all(&mut fetcher, &mut first);
    // A restarted holder has only the newest version. A holder whose base version has other content behaves the same.
    second.add(config(2, 100));
    assert_eq!(fetch_all(&mut fetcher, &mut second).0, Some((*config(2, 100)).clone()));
}

#[test]
fn a_damaged_transfer_is_abandoned_and_started_again() {
    let (mut source, mut fetcher) = (Source::default(), Fetcher::default());
    source.add(config(1, 100));
    let PieceAnswer::Piece(mut piece) = source.answer(&fetcher.next_request()) else { panic!("a piece") };
    piece.transfer.body_length += 1;
    assert!(fetcher.handle_answer(PieceAnswer::Piece(piece)).is_err());
    assert_eq!(fetch_all(&mut fetcher, &mut source).0, Some((*config(1, 100)).clone()));
}
