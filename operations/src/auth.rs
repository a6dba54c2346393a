//! Who may call over a network: calls signed with a key that both sides have. No I/O; the time is an argument, in
//! milliseconds of Unix time.
//!
//! The signature is HMAC-SHA256 (RFC 2104, FIPS 198-1) over these lines, each ended by a line feed:
//!
//! ```text
//! sloeline-call-1
//! METHOD
//! PATH
//! TIME            milliseconds of Unix time
//! NONCE           32 hex digits, drawn for this call alone
//! BODY            its BLAKE3 hash, 64 hex digits
//! ```
//!
//! Several keys may be alive, so that one can take another's place: the daemon is told the new key, then the callers use it,
//! then the daemon is told to forget the old one.
//!
//! **Replays.** A call counts once. Its nonce is kept until its time lies outside the window, and from then on its time
//! refuses it. The window's lower edge never goes back, whatever the clock does; a clock that was far ahead for a moment
//! refuses calls until it comes there again, or until a restart. Calls signed before this process started are refused, since
//! it can't know which of them the one before has heard.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// What a signature begins with; another form of calls would have another.
const FORM: &str = "sloeline-call-1";
/// What the lines of an answer are signed with before all else.
const ANSWER: &str = "sloeline-answer-1";
/// How far a caller's clock may be off, either way, in milliseconds.
pub const WINDOW: u64 = 30_000;
/// Bytes of a secret, at the least.
pub const LEAST_SECRET: usize = 32;
/// Nonces that are kept at once. Guards the memory; who is beyond it is told to come again.
pub const MOST_NONCES: usize = 65_536;

/// What is drawn for a call alone.
pub type Nonce = [u8; 16];
/// A signature.
pub type Signature = [u8; 32];

/// What a key's holder may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum May {
    /// Ask how things stand.
    Ask,
    /// Change them too.
    Order,
}

/// A secret that both sides have.
#[derive(Clone, PartialEq)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

impl Secret {
    /// Reads one as it stands in a file: hex digits.
    pub fn read(text: &str) -> Result<Secret, String> {
        let expected = format!("at least {} hex digits", 2 * LEAST_SECRET);
        let bytes = unhex(text.trim()).ok_or_else(|| format!("found no hex digits, expected {expected}"))?;
        if bytes.len() < LEAST_SECRET {
            return Err(format!("found {} hex digits, expected {expected}", 2 * bytes.len()));
        }
        Ok(Secret(bytes))
    }

    /// Its bytes, for whoever signs with it elsewhere.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    fn mac(&self) -> Hmac<Sha256> {
        // HMAC takes keys of any length.
        Hmac::new_from_slice(&self.0).unwrap_or_else(|_| unreachable!("a key of any length"))
    }
}

/// A key, by its name.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// What is known to both sides.
    pub secret: Secret,
    /// What it is for.
    pub may: May,
}

/// A call, as it is signed.
#[derive(Clone, Copy, Debug)]
pub struct Signed<'a> {
    /// `POST`
    pub method: &'a str,
    /// As it stands in the request.
    pub path: &'a str,
    /// All of it.
    pub body: &'a [u8],
    /// When it was signed.
    pub time: u64,
    /// Drawn for it alone.
    pub nonce: Nonce,
}

impl Signed<'_> {
    fn mac(&self, secret: &Secret) -> Hmac<Sha256> {
        let mut mac = secret.mac();
        let (nonce, body) = (hex(&self.nonce), blake3::hash(self.body).to_hex());
        let time = self.time.to_string();
        for line in [FORM, self.method, self.path, &time, &nonce, body.as_str()] {
            mac.update(line.as_bytes());
            mac.update(b"\n");
        }
        mac
    }

    /// Its signature.
    pub fn sign(&self, secret: &Secret) -> Signature {
        self.mac(secret).finalize().into_bytes().into()
    }
}

/// The signature of a line of an answer: the call's nonce and the line's number are in it, so that no line can be left out,
/// moved, or taken from another call's answer.
pub fn sign_line(secret: &Secret, nonce: Nonce, number: u64, line: &[u8]) -> Signature {
    line_mac(secret, nonce, number, line).finalize().into_bytes().into()
}

/// Whether that is a line's signature.
pub fn is_line(secret: &Secret, nonce: Nonce, number: u64, line: &[u8], signature: &[u8]) -> bool {
    line_mac(secret, nonce, number, line).verify_slice(signature).is_ok()
}

fn line_mac(secret: &Secret, nonce: Nonce, number: u64, line: &[u8]) -> Hmac<Sha256> {
    let mut mac = secret.mac();
    mac.update(ANSWER.as_bytes());
    mac.update(&nonce);
    mac.update(&number.to_be_bytes());
    mac.update(line);
    mac
}

/// Why a call is not heard. Nothing was done.
#[derive(Clone, Debug, PartialEq)]
pub enum Denied {
    /// No such key, or not signed with it: which of the two is nobody's business.
    Signature,
    /// Signed too long ago or ahead of time, in milliseconds from this side's time.
    Time(i64),
    /// This side's clock has been ahead by so much that it can't tell what it has heard.
    Ahead,
    /// Signed before this process began.
    Before,
    /// Heard already.
    Replayed,
    /// Too many calls within the window.
    Busy,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Denied::Signature => write!(f, "found no signature by a key that is known"),
            Denied::Time(off) => write!(
                f,
                "found a time {} ms {} this side's, expected at most {WINDOW}: look at both clocks",
                off.unsigned_abs(),
                if *off < 0 { "before" } else { "after" }
            ),
            Denied::Ahead => {
                write!(f, "this side's clock was ahead and went back: use its socket until it has caught up")
            }
            Denied::Before => write!(f, "found a call signed before this process began: sign it again"),
            Denied::Replayed => write!(f, "found a call that was heard already"),
            Denied::Busy => write!(f, "found {MOST_NONCES} calls within {} ms: come again", 2 * WINDOW),
        }
    }
}

/// Hears calls.
#[derive(Debug)]
pub struct Guard {
    keys: BTreeMap<String, Key>,
    /// Calls from before are refused; never goes back.
    floor: u64,
    began: u64,
    seen: HashSet<Nonce>,
    /// Nonces by the time of their calls.
    by_time: BTreeMap<u64, Vec<Nonce>>,
    /// How many calls were denied, by why.
    denied: HashMap<&'static str, u64>,
}

impl Guard {
    /// One that began at a time.
    pub fn new(now: u64, keys: BTreeMap<String, Key>) -> Guard {
        let (seen, by_time, denied) = Default::default();
        Guard { keys, floor: now.saturating_sub(WINDOW), began: now, seen, by_time, denied }
    }

    /// Other keys from now on. What was heard stays heard.
    pub fn set_keys(&mut self, keys: BTreeMap<String, Key>) {
        self.keys = keys;
    }

    /// The keys.
    pub fn keys(&self) -> &BTreeMap<String, Key> {
        &self.keys
    }

    /// How many calls were denied, by why.
    pub fn denied(&self) -> &HashMap<&'static str, u64> {
        &self.denied
    }

    /// Nonces that are kept.
    pub fn kept(&self) -> usize {
        self.seen.len()
    }

    /// Hears a call; the key that it is signed with.
    pub fn hear(&mut self, now: u64, name: &str, call: &Signed<'_>, signature: &[u8]) -> Result<Key, Denied> {
        let heard = self.check(now, name, call, signature);
        if let Err(why) = &heard {
            let why = match why {
                Denied::Signature => "signature",
                Denied::Time(_) => "time",
                Denied::Ahead => "ahead",
                Denied::Before => "before",
                Denied::Replayed => "replayed",
                Denied::Busy => "busy",
            };
            *self.denied.entry(why).or_default() += 1;
        }
        heard
    }

    fn check(&mut self, now: u64, name: &str, call: &Signed<'_>, signature: &[u8]) -> Result<Key, Denied> {
        self.forget(now);
        // First of all: whoever has no key learns nothing and takes up nothing.
        let key = self.keys.get(name).ok_or(Denied::Signature)?;
        call.mac(&key.secret).verify_slice(signature).map_err(|_| Denied::Signature)?;
        let off = i64::try_from(call.time).unwrap_or(i64::MAX).saturating_sub_unsigned(now);
        if off.unsigned_abs() > WINDOW {
            return Err(Denied::Time(off));
        }
        if call.time < self.floor {
            return Err(Denied::Ahead);
        }
        if call.time < self.began {
            return Err(Denied::Before);
        }
        if self.seen.contains(&call.nonce) {
            return Err(Denied::Replayed);
        }
        if self.seen.len() >= MOST_NONCES {
            return Err(Denied::Busy);
        }
        let key = key.clone();
        self.seen.insert(call.nonce);
        self.by_time.entry(call.time).or_default().push(call.nonce);
        Ok(key)
    }

    /// Nonces of calls whose time refuses them from now on need not be kept.
    fn forget(&mut self, now: u64) {
        self.floor = self.floor.max(now.saturating_sub(WINDOW));
        let kept = self.by_time.split_off(&self.floor);
        for nonce in std::mem::replace(&mut self.by_time, kept).into_values().flatten() {
            self.seen.remove(&nonce);
        }
    }
}

/// Bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().flat_map(|b| [b >> 4, b & 15]).filter_map(|d| char::from_digit(d.into(), 16)).collect()
}

/// Bytes of hex digits; none for anything else.
pub fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let digit = |b: u8| char::from(b).to_digit(16).map(|d| d as u8);
    text.as_bytes().chunks(2).map(|pair| Some(digit(pair[0])? << 4 | digit(pair[1])?)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn key(byte: u8, may: May) -> Key {
        Key { secret: Secret(vec![byte; LEAST_SECRET]), may }
    }

    fn keys(list: &[(&str, Key)]) -> BTreeMap<String, Key> {
        list.iter().map(|(name, key)| ((*name).to_owned(), key.clone())).collect()
    }

    fn call(time: u64, nonce: u64) -> Signed<'static> {
        let mut bytes = Nonce::default();
        bytes[..8].copy_from_slice(&nonce.to_be_bytes());
        Signed { method: "POST", path: "/v1/call", body: b"{}", time, nonce: bytes }
    }

    const NOW: u64 = 1_000_000_000;

    #[test]
    fn a_call_counts_once_and_only_as_it_was_signed() {
        let night = key(1, May::Order);
        let mut guard = Guard::new(NOW, keys(&[("night", night.clone()), ("other", key(2, May::Order))]));
        let good = call(NOW + 5, 1);
        let signature = good.sign(&night.secret);
        let mut hear = |name: &str, call: &Signed<'_>, signature: &[u8]| {
            guard.hear(NOW + 10, name, call, signature).map(|_| ())
        };
        let mut nonce = good.nonce;
        nonce[15] ^= 1;
        let forged = [
            Signed { method: "PUT", ..good },
            Signed { path: "/v1/calls", ..good },
            Signed { body: b"{ }", ..good },
            Signed { time: good.time + 1, ..good },
            Signed { nonce, ..good },
        ];
        for forged in &forged {
            assert_eq!(hear("night", forged, &signature), Err(Denied::Signature), "{forged:?}");
        }
        for at in 0..signature.len() {
            let mut other = signature;
            other[at] ^= 1 << (at % 8);
            assert_eq!(hear("night", &good, &other), Err(Denied::Signature));
            assert_eq!(hear("night", &good, &signature[..at]), Err(Denied::Signature));
        }
        for name in ["other", "nobody", ""] {
            assert_eq!(hear(name, &good, &signature), Err(Denied::Signature), "{name}");
        }
        // None of these has used it up.
        assert_eq!(hear("night", &good, &signature), Ok(()));
        assert_eq!(hear("night", &good, &signature), Err(Denied::Replayed));
        assert_eq!((guard.kept(), guard.denied()["replayed"]), (1, 1));
    }

    #[test]
    fn no_replay_passes_whatever_the_clock_does() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let night = key(1, May::Order);
        let mut heard_ever = 0;
        for _ in 0..50 {
            let mut now = NOW;
            let mut guard = Guard::new(now, keys(&[("night", night.clone())]));
            let (mut heard, mut sent): (HashSet<Nonce>, Vec<Signed<'_>>) = Default::default();
            for number in 0..400 {
                now = match rng.u32(0..40) {
                    0 => now.saturating_sub(rng.u64(0..100_000)),
                    1 | 2 => now + rng.u64(0..100_000),
                    _ => now + rng.u64(0..2_000),
                };
                let fresh = call((now + rng.u64(0..80_000)).saturating_sub(40_000), number);
                let again = rng.choice(sent.iter().copied()).filter(|_| rng.bool());
                let call = again.unwrap_or(fresh);
                sent.push(call);
                let signature = call.sign(&night.secret);
                match guard.hear(now, "night", &call, &signature) {
                    Ok(_) => assert!(heard.insert(call.nonce), "{call:?} was heard twice at {now}"),
                    Err(Denied::Time(_) | Denied::Ahead | Denied::Before | Denied::Replayed) => {}
                    Err(why) => panic!("{why}"),
                }
            }
            heard_ever += heard.len();
        }
        assert!(heard_ever > 2_000, "{heard_ever}: it hears too few to show anything");
    }

    #[test]
    fn times_keys_and_memory_have_their_bounds() {
        let (old, new) = (key(1, May::Order), key(2, May::Order));
        let mut guard = Guard::new(NOW, keys(&[("old", old.clone())]));
        let later = NOW + 100_000;
        let mut nonce = 0;
        let mut hear = |guard: &mut Guard, now: u64, time: u64, name: &str, key: &Key| {
            nonce += 1;
            let call = call(time, nonce);
            guard.hear(now, name, &call, &call.sign(&key.secret)).map(|_| ())
        };
        let cases = [
            (later - WINDOW, "old", &old, Ok(())),
            (later + WINDOW, "old", &old, Ok(())),
            (later - WINDOW - 1, "old", &old, Err(Denied::Time(-30_001))),
            (later + WINDOW + 1, "old", &old, Err(Denied::Time(30_001))),
            (u64::MAX, "old", &old, Err(Denied::Time(i64::MAX - later as i64))),
            // The callers have a key before the daemon has.
            (later, "new", &new, Err(Denied::Signature)),
        ];
        for (time, name, key, expected) in cases {
            assert_eq!(hear(&mut guard, later, time, name, key), expected, "{time} {name}");
        }
        guard.set_keys(keys(&[("old", old.clone()), ("new", new.clone())]));
        for (name, key) in [("old", &old), ("new", &new)] {
            assert_eq!(hear(&mut guard, later, later, name, key), Ok(()), "{name}");
        }
        guard.set_keys(keys(&[("new", new.clone())]));
        assert_eq!(hear(&mut guard, later, later, "old", &old), Err(Denied::Signature));
        // Its clock was an hour ahead for a moment.
        guard.forget(later + 3_600_000);
        assert_eq!(hear(&mut guard, later, later, "new", &new), Err(Denied::Ahead));
        // A process that has just begun hears nothing from before.
        let mut fresh = Guard::new(NOW, keys(&[("new", new.clone())]));
        assert_eq!(hear(&mut fresh, NOW, NOW - 1, "new", &new), Err(Denied::Before));
        for _ in 0..MOST_NONCES {
            assert_eq!(hear(&mut fresh, NOW, NOW, "new", &new), Ok(()));
        }
        assert_eq!(hear(&mut fresh, NOW, NOW, "new", &new), Err(Denied::Busy));
        let after = NOW + WINDOW + 1;
        assert_eq!(hear(&mut fresh, after, after, "new", &new), Ok(()));
        assert_eq!(fresh.kept(), 1);
    }

    #[test]
    fn secrets_and_lines_of_answers_are_what_they_are() {
        let text = "0a".repeat(LEAST_SECRET);
        assert_eq!(Secret::read(&format!(" {text}\n")), Ok(Secret(vec![10; LEAST_SECRET])));
        for (bad, why) in [
            (&text[2..], "found 62 hex digits, expected at least 64"),
            (&text[1..], "found no hex digits"),
            ("zz", "found no hex digits"),
            ("ää", "found no hex digits"),
            ("", "found 0 hex digits"),
        ] {
            assert!(Secret::read(bad).is_err_and(|e| e.contains(why)), "{bad:?}");
        }
        assert!(!format!("{:?}", Secret(vec![77; 32])).contains("77"));
        let (secret, nonce) = (Secret(vec![1; 32]), [7; 16]);
        let signature = sign_line(&secret, nonce, 3, b"{}");
        assert!(is_line(&secret, nonce, 3, b"{}", &signature));
        assert!(
            !is_line(&secret, nonce, 4, b"{}", &signature)
                && !is_line(&secret, [8; 16], 3, b"{}", &signature)
        );
        assert!(
            !is_line(&secret, nonce, 3, b"{ }", &signature)
                && !is_line(&Secret(vec![2; 32]), nonce, 3, b"{}", &signature)
        );
    }
}
