//! Randomized tests of target normalization: an accepted path has exactly one form and keeps its meaning however
//! often it is decoded. `SLOELINE_SEED` sets the seed.

use sloeline_routing::target::{Host, Path, Target};

/// Decodes every valid percent-encoding once and leaves other bytes unchanged.
fn decoded(bytes: &[u8]) -> Vec<u8> {
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|d| std::str::from_utf8(d).ok());
        match (bytes[at], digits.and_then(|d| u8::from_str_radix(d, 16).ok())) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    out
}

#[test]
fn decoding_an_accepted_path_does_not_change_its_meaning() {
    let seed =
        std::env::var("SLOELINE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let fragments = [
        "/", "/", "a", "B7", ".", "..", "%2e", "%2E", "%2f", "%25", "%252e", "%", "%4", "%41", ";", "%3b",
        "\\", "%5c", "~", "%7e", "%c3%a9", "\u{e9}", " ", "%20", "%00", "?", "%3f", "#", "%23", ":", "@",
        "=", "&", "+", "*",
    ];
    let (mut accepted, mut rejected) = (0, 0);
    for _ in 0..200_000 {
        let raw: String = std::iter::once("/")
            .chain((0..rng.usize(0..8)).map(|_| fragments[rng.usize(..fragments.len())]))
            .collect();
        let Ok(path) = Path::parse(&raw) else {
            rejected += 1;
            continue;
        };
        accepted += 1;
        assert_eq!(
            Path::parse(path.as_str()).as_ref(),
            Ok(&path),
            "{raw}: normalizing twice changed the path"
        );
        let once = decoded(path.as_str().as_bytes());
        // Implementations that decode once or twice see the same segment boundaries and no dot segments.
        for text in [path.as_str().as_bytes().to_vec(), once.clone(), decoded(&once)] {
            let parts: Vec<&[u8]> = text.split(|b| *b == b'/').skip(1).filter(|p| !p.is_empty()).collect();
            assert_eq!(parts.len(), path.len(), "{raw}: different segment boundaries");
            assert!(!parts.iter().any(|p| [&b"."[..], b".."].contains(p)), "{raw}: a dot segment");
            assert!(!text.iter().any(|b| b"\\;?#\0".contains(b)), "{raw}: a delimiter");
        }
        // Decoded once, the normalized path has the same bytes as the path received.
        assert_eq!(once, decoded(raw.as_bytes()), "{raw}: a different path");
    }
    assert!(accepted > 1000 && rejected > 1000, "{accepted} {rejected}");
}

#[test]
fn arbitrary_input_does_not_panic() {
    let seed =
        std::env::var("SLOELINE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    for _ in 0..100_000 {
        let text: String = (0..rng.usize(0..24)).map(|_| rng.char('\0'..'\u{250}')).collect();
        let _ = Host::parse(&text);
        for target in [text.clone(), format!("http://{text}"), format!("/{text}")] {
            if let Ok(target) = Target::parse(&target, Some("a")) {
                target.query_pairs();
                assert!(target.path_and_query().starts_with('/'));
            }
        }
    }
}
