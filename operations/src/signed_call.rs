//! Authentication of operators' calls over a network, which are signed with a shared key. Without I/O; the time is an
//! argument, in milliseconds of Unix time.
//!
//! The signature is HMAC-SHA256 (RFC 2104, FIPS 198-1) over these lines, each ended by a line feed:
//!
//! ```text
//! sloeline-call-1
//! METHOD
//! PATH
//! TIME            milliseconds of Unix time
//! NONCE           32 hex digits, random for each call
//! BODY            BLAKE3 hash of the body, 64 hex digits
//! ```
//!
//! Several keys may be valid at a time, which allows rotation: first the daemon gets the new key, then the callers use it, then
//! the old key is removed from the daemon.
//!
//! **Replays.** A call is accepted once. Its nonce is stored while its time is within the window; after that, its time is
//! rejected. The lower end of the window never moves back, whatever the clock does: after the clock was far ahead, calls are
//! rejected until it reaches that time again, or until a restart. Calls signed before this process started are rejected,
//! because the process does not know which of them its predecessor has accepted.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// First line of the signed text of a call; identifies its format.
const CALL_FORMAT: &str = "sloeline-call-1";
/// Prefix of the signed text of an answer's lines; identifies their format.
const ANSWER_FORMAT: &str = "sloeline-answer-1";
/// Maximum difference between the clocks of caller and daemon, in milliseconds.
pub const WINDOW_MS: u64 = 30_000;
/// Minimum length of a secret in bytes.
pub const MIN_SECRET_BYTES: usize = 32;
/// Maximum number of stored nonces, which bounds the memory. Further calls are rejected for the time being.
pub const MAX_NONCES: usize = 65_536;

/// A random number that is used for one call only.
pub type Nonce = [u8; 16];
/// An HMAC-SHA256 signature.
pub type Signature = [u8; 32];

/// What the holder of a key may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Permission {
    /// Read the state.
    Read,
    /// Read the state and give orders.
    Order,
}

/// A secret that caller and daemon share.
#[derive(Clone, PartialEq)]
pub struct Secret(Vec<u8>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes", self.0.len())
    }
}

impl Secret {
    /// Parses a secret in the form of a key file: hex digits.
    pub fn read(text: &str) -> Result<Secret, String> {
        let expected = format!("at least {} hex digits", 2 * MIN_SECRET_BYTES);
        let bytes = unhex(text.trim()).ok_or_else(|| format!("found no hex digits, expected {expected}"))?;
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(format!("found {} hex digits, expected {expected}", 2 * bytes.len()));
        }
        Ok(Secret(bytes))
    }

    /// Returns the bytes, for other uses of the secret.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }

    fn mac(&self) -> Hmac<Sha256> {
        // HMAC takes keys of any length.
        Hmac::new_from_slice(&self.0).unwrap_or_else(|_| unreachable!("a key of any length"))
    }
}

/// A key for signing calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Key {
    /// The shared secret.
    pub secret: Secret,
    /// What the key permits.
    pub permission: Permission,
}

/// The signed parts of a call.
#[derive(Clone, Copy, Debug)]
pub struct SignedCall<'a> {
    /// Method of the request, `POST`.
    pub method: &'a str,
    /// Path of the request.
    pub path: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
    /// When the call was signed.
    pub time: u64,
    /// The nonce of the call.
    pub nonce: Nonce,
}

impl SignedCall<'_> {
    fn mac(&self, secret: &Secret) -> Hmac<Sha256> {
        let mut mac = secret.mac();
        let (nonce, body) = (hex(&self.nonce), blake3::hash(self.body).to_hex());
        let time = self.time.to_string();
        for line in [CALL_FORMAT, self.method, self.path, &time, &nonce, body.as_str()] {
            mac.update(line.as_bytes());
            mac.update(b"\n");
        }
        mac
    }

    /// Returns the signature of the call.
    pub fn sign(&self, secret: &Secret) -> Signature {
        self.mac(secret).finalize().into_bytes().into()
    }
}

/// Signs a line of an answer. The signature covers the nonce of the call and the number of the line, so that no line can be
/// omitted, moved, or taken from the answer to another call.
pub fn sign_line(secret: &Secret, nonce: Nonce, number: u64, line: &[u8]) -> Signature {
    line_mac(secret, nonce, number, line).finalize().into_bytes().into()
}

/// Returns whether this is the signature of a line.
pub fn verify_line(secret: &Secret, nonce: Nonce, number: u64, line: &[u8], signature: &[u8]) -> bool {
    line_mac(secret, nonce, number, line).verify_slice(signature).is_ok()
}

fn line_mac(secret: &Secret, nonce: Nonce, number: u64, line: &[u8]) -> Hmac<Sha256> {
    let mut mac = secret.mac();
    mac.update(ANSWER_FORMAT.as_bytes());
    mac.update(&nonce);
    mac.update(&number.to_be_bytes());
    mac.update(line);
    mac
}

/// Why a call is rejected. It has no effect then.
#[derive(Clone, Debug, PartialEq)]
pub enum Denied {
    /// The key is unknown or the signature does not match. Callers cannot tell which.
    Signature,
    /// The call's time is outside the window. The value is the difference to the daemon's time in milliseconds.
    Time(i64),
    /// The daemon's clock was ahead and went back, so replays cannot be detected.
    ClockWentBack,
    /// The call was signed before this process started.
    BeforeStart,
    /// The call was accepted before.
    Replayed,
    /// Too many calls were accepted within the window.
    TooManyCalls,
}

impl fmt::Display for Denied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Denied::Signature => write!(f, "found no signature by a key that is known"),
            Denied::Time(offset) => write!(
                f,
                "found a time {} ms {} this side's, expected at most {WINDOW_MS}: look at both clocks",
                offset.unsigned_abs(),
                if *offset < 0 { "before" } else { "after" }
            ),
            Denied::ClockWentBack => {
                write!(f, "this side's clock was ahead and went back: use its socket until it has caught up")
            }
            Denied::BeforeStart => write!(f, "found a call signed before this process began: sign it again"),
            Denied::Replayed => write!(f, "found a call that was heard already"),
            Denied::TooManyCalls => {
                write!(f, "found {MAX_NONCES} calls within {} ms: come again", 2 * WINDOW_MS)
            }
        }
    }
}

/// Authenticates calls.
#[derive(Debug)]
pub struct Authenticator {
    keys: BTreeMap<String, Key>,
    /// Calls signed earlier are rejected; never decreases.
    earliest_time: u64,
    started_at: u64,
    nonces: HashSet<Nonce>,
    /// The same nonces by the time of their calls.
    by_time: BTreeMap<u64, Vec<Nonce>>,
    /// Number of rejected calls by reason.
    denied: HashMap<&'static str, u64>,
}

impl Authenticator {
    /// Creates an authenticator for a process that starts at the time `now`.
    pub fn new(now: u64, keys: BTreeMap<String, Key>) -> Authenticator {
        let (nonces, by_time, denied) = Default::default();
        Authenticator {
            keys,
            earliest_time: now.saturating_sub(WINDOW_MS),
            started_at: now,
            nonces,
            by_time,
            denied,
        }
    }

    /// Replaces the keys. Accepted calls remain known.
    pub fn set_keys(&mut self, keys: BTreeMap<String, Key>) {
        self.keys = keys;
    }

    /// The valid keys.
    pub fn keys(&self) -> &BTreeMap<String, Key> {
        &self.keys
    }

    /// Number of rejected calls by reason.
    pub fn denied(&self) -> &HashMap<&'static str, u64> {
        &self.denied
    }

    /// Number of stored nonces.
    pub fn nonce_count(&self) -> usize {
        self.nonces.len()
    }

    /// Authenticates a call. Returns the key that it is signed with.
    pub fn authenticate(
        &mut self,
        now: u64,
        name: &str,
        call: &SignedCall<'_>,
        signature: &[u8],
    ) -> Result<Key, Denied> {
        let result = self.check(now, name, call, signature);
        if let Err(why) = &result {
            let why = match why {
                Denied::Signature => "signature",
                Denied::Time(_) => "time",
                Denied::ClockWentBack => "ahead",
                Denied::BeforeStart => "before",
                Denied::Replayed => "replayed",
                Denied::TooManyCalls => "busy",
            };
            *self.denied.entry(why).or_default() += 1;
        }
        result
    }

    fn check(
        &mut self,
        now: u64,
        name: &str,
        call: &SignedCall<'_>,
        signature: &[u8],
    ) -> Result<Key, Denied> {
        self.expire_nonces(now);
        // The signature is checked first: a caller without a key learns nothing and uses no memory.
        let key = self.keys.get(name).ok_or(Denied::Signature)?;
        call.mac(&key.secret).verify_slice(signature).map_err(|_| Denied::Signature)?;
        let offset = i64::try_from(call.time).unwrap_or(i64::MAX).saturating_sub_unsigned(now);
        if offset.unsigned_abs() > WINDOW_MS {
            return Err(Denied::Time(offset));
        }
        if call.time < self.earliest_time {
            return Err(Denied::ClockWentBack);
        }
        if call.time < self.started_at {
            return Err(Denied::BeforeStart);
        }
        if self.nonces.contains(&call.nonce) {
            return Err(Denied::Replayed);
        }
        if self.nonces.len() >= MAX_NONCES {
            return Err(Denied::TooManyCalls);
        }
        let key = key.clone();
        self.nonces.insert(call.nonce);
        self.by_time.entry(call.time).or_default().push(call.nonce);
        Ok(key)
    }

    /// Drops the nonces of calls that are rejected by their time from now on.
    fn expire_nonces(&mut self, now: u64) {
        self.earliest_time = self.earliest_time.max(now.saturating_sub(WINDOW_MS));
        let kept = self.by_time.split_off(&self.earliest_time);
        for nonce in std::mem::replace(&mut self.by_time, kept).into_values().flatten() {
            self.nonces.remove(&nonce);
        }
    }
}

/// Encodes bytes as hex digits.
pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().flat_map(|b| [b >> 4, b & 15]).filter_map(|d| char::from_digit(d.into(), 16)).collect()
}

/// Decodes hex digits; `None` for anything else.
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

    fn key(byte: u8, permission: Permission) -> Key {
        Key { secret: Secret(vec![byte; MIN_SECRET_BYTES]), permission }
    }

    fn keys(list: &[(&str, Key)]) -> BTreeMap<String, Key> {
        list.iter().map(|(name, key)| ((*name).to_owned(), key.clone())).collect()
    }

    fn call(time: u64, nonce: u64) -> SignedCall<'static> {
        let mut bytes = Nonce::default();
        bytes[..8].copy_from_slice(&nonce.to_be_bytes());
        SignedCall { method: "POST", path: "/v1/call", body: b"{}", time, nonce: bytes }
    }

    const NOW: u64 = 1_000_000_000;

    #[test]
    fn a_call_is_accepted_once_and_only_as_it_was_signed() {
        let night = key(1, Permission::Order);
        let mut authenticator =
            Authenticator::new(NOW, keys(&[("night", night.clone()), ("other", key(2, Permission::Order))]));
        let good = call(NOW + 5, 1);
        let signature = good.sign(&night.secret);
        let mut hear = |name: &str, call: &SignedCall<'_>, signature: &[u8]| {
            authenticator.authenticate(NOW + 10, name, call, signature).map(|_| ())
        };
        let mut nonce = good.nonce;
        nonce[15] ^= 1;
        let forged = [
            SignedCall { method: "PUT", ..good },
            SignedCall { path: "/v1/calls", ..good },
            SignedCall { body: b"{ }", ..good },
            SignedCall { time: good.time + 1, ..good },
            SignedCall { nonce, ..good },
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
        // None of the forgeries has used up the nonce.
        assert_eq!(hear("night", &good, &signature), Ok(()));
        assert_eq!(hear("night", &good, &signature), Err(Denied::Replayed));
        assert_eq!((authenticator.nonce_count(), authenticator.denied()["replayed"]), (1, 1));
    }

    #[test]
    fn replays_are_rejected_whatever_the_clock_does() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let night = key(1, Permission::Order);
        let mut heard_ever = 0;
        for _ in 0..50 {
            let mut now = NOW;
            let mut authenticator = Authenticator::new(now, keys(&[("night", night.clone())]));
            let (mut result, mut sent): (HashSet<Nonce>, Vec<SignedCall<'_>>) = Default::default();
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
                match authenticator.authenticate(now, "night", &call, &signature) {
                    Ok(_) => assert!(result.insert(call.nonce), "{call:?} was accepted twice at {now}"),
                    Err(Denied::Time(_) | Denied::ClockWentBack | Denied::BeforeStart | Denied::Replayed) => {
                    }
                    Err(why) => panic!("{why}"),
                }
            }
            heard_ever += result.len();
        }
        assert!(heard_ever > 2_000, "{heard_ever}: it hears too few to show anything");
    }

    #[test]
    fn times_keys_and_memory_are_bounded() {
        let (old, new) = (key(1, Permission::Order), key(2, Permission::Order));
        let mut authenticator = Authenticator::new(NOW, keys(&[("old", old.clone())]));
        let later = NOW + 100_000;
        let mut nonce = 0;
        let mut hear = |authenticator: &mut Authenticator, now: u64, time: u64, name: &str, key: &Key| {
            nonce += 1;
            let call = call(time, nonce);
            authenticator.authenticate(now, name, &call, &call.sign(&key.secret)).map(|_| ())
        };
        let cases = [
            (later - WINDOW_MS, "old", &old, Ok(())),
            (later + WINDOW_MS, "old", &old, Ok(())),
            (later - WINDOW_MS - 1, "old", &old, Err(Denied::Time(-30_001))),
            (later + WINDOW_MS + 1, "old", &old, Err(Denied::Time(30_001))),
            (u64::MAX, "old", &old, Err(Denied::Time(i64::MAX - later as i64))),
            // A caller uses the new key before the daemon has it.
            (later, "new", &new, Err(Denied::Signature)),
        ];
        for (time, name, key, expected) in cases {
            assert_eq!(hear(&mut authenticator, later, time, name, key), expected, "{time} {name}");
        }
        authenticator.set_keys(keys(&[("old", old.clone()), ("new", new.clone())]));
        for (name, key) in [("old", &old), ("new", &new)] {
            assert_eq!(hear(&mut authenticator, later, later, name, key), Ok(()), "{name}");
        }
        authenticator.set_keys(keys(&[("new", new.clone())]));
        assert_eq!(hear(&mut authenticator, later, later, "old", &old), Err(Denied::Signature));
        // The daemon's clock was an hour ahead for a moment.
        authenticator.expire_nonces(later + 3_600_000);
        assert_eq!(hear(&mut authenticator, later, later, "new", &new), Err(Denied::ClockWentBack));
        // A new process rejects calls signed before its start.
        let mut fresh = Authenticator::new(NOW, keys(&[("new", new.clone())]));
        assert_eq!(hear(&mut fresh, NOW, NOW - 1, "new", &new), Err(Denied::BeforeStart));
        for _ in 0..MAX_NONCES {
            assert_eq!(hear(&mut fresh, NOW, NOW, "new", &new), Ok(()));
        }
        assert_eq!(hear(&mut fresh, NOW, NOW, "new", &new), Err(Denied::TooManyCalls));
        let after = NOW + WINDOW_MS + 1;
        assert_eq!(hear(&mut fresh, after, after, "new", &new), Ok(()));
        assert_eq!(fresh.nonce_count(), 1);
    }

    #[test]
    fn secrets_and_line_signatures_are_validated() {
        let text = "0a".repeat(MIN_SECRET_BYTES);
        assert_eq!(Secret::read(&format!(" {text}\n")), Ok(Secret(vec![10; MIN_SECRET_BYTES])));
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
        assert!(verify_line(&secret, nonce, 3, b"{}", &signature));
        assert!(
            !verify_line(&secret, nonce, 4, b"{}", &signature)
                && !verify_line(&secret, [8; 16], 3, b"{}", &signature)
        );
        assert!(
            !verify_line(&secret, nonce, 3, b"{ }", &signature)
                && !verify_line(&Secret(vec![2; 32]), nonce, 3, b"{}", &signature)
        );
    }
}
