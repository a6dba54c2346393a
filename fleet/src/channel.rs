//! Replay protection for datagrams, without synchronized clocks.
//!
//! **Freshness.** Each run of an instance draws a random *session*. A receiver that gets a message without a valid
//! *cookie* answers with a cookie and stores nothing. The cookie is a keyed hash of the session, the sender's address
//! and a secret of the receiver's process that changes every ten minutes. Only messages with a valid cookie are
//! accepted. A datagram that was recorded before this process started, or before the previous secret, carries a cookie
//! that is no longer valid.
//!
//! **At most once.** Within a session each message number is accepted once, by a sliding window over the last
//! [`REPLAY_WINDOW`] numbers. A session is forgotten after it has been silent for longer than any cookie is valid.
//!
//! **Rate limit.** At most [`MAX_MESSAGES_PER_SECOND`] messages are accepted from a session; the rest are dropped, so
//! that a misbehaving instance costs the others little.

use std::collections::HashMap;
use std::net::SocketAddr;

use finchshift::Micros;

use crate::message::{DatagramError, Keys, Message, Packet};

/// Time for which a secret is used to create cookies. Its cookies stay valid for the same time afterwards.
const SECRET_ROTATION_US: Micros = 600_000_000;
/// Time within which a hello must answer the latest datagram. Far shorter than the validity of cookies, so an expired
/// cookie alone never causes an old message to be sent again.
const HELLO_TIMEOUT_US: Micros = 5_000_000;
/// Width of the replay window: message numbers this far behind the highest are rejected.
pub const REPLAY_WINDOW: u64 = 128;
/// Maximum number of sessions tracked at once. Bounds the memory.
const MAX_SESSIONS: usize = 16_384;
/// Messages accepted from one session per second, and the burst allowance.
pub const MAX_MESSAGES_PER_SECOND: f64 = 200.0;
/// Maximum number of peers whose cookies are stored. When it is reached the store is cleared, and the next message to
/// each peer repeats the hello exchange.
const MAX_PEERS: usize = 16_384;

/// Replay window and rate limit of one session of a sender.
#[derive(Debug)]
struct Session {
    /// Highest message number accepted.
    highest_number: u64,
    /// Bit n is set if the number n below the highest has been accepted.
    received_bits: u128,
    /// When the last message of the session arrived.
    last_received_at: Micros,
    /// Tokens of the rate limit: messages that may be accepted now.
    tokens: f64,
}

/// State for sending to one address.
#[derive(Debug, Default)]
struct Peer {
    /// Cookie that the peer issued; 0 if none is known.
    cookie: u64,
    /// The last datagram sent and not yet answered by a hello: its number, its message in case the cookie was invalid,
    /// and the time.
    last_sent: Option<(u64, Message, Micros)>,
}

/// Result of processing a received datagram.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// An accepted message.
    Message(Message),
    /// A datagram to send back to the sender.
    Reply(Vec<u8>),
    /// Dropped: a replay, a stale hello, or over a limit.
    Ignored,
    /// Not a valid signed datagram.
    Invalid(DatagramError),
}

/// An instance's endpoint for exchanging datagrams with all peers.
#[derive(Debug)]
pub struct Channel {
    /// Keys that sign and verify datagrams.
    keys: Keys,
    /// Random session ID of this run.
    session: u64,
    /// Number of the last datagram sent to any peer.
    last_number: u64,
    /// The current cookie secret and the previous one.
    secrets: [[u8; 32]; 2],
    /// When the secrets were last rotated.
    rotated_at: Micros,
    /// Sessions of senders, by address and session ID.
    sessions: HashMap<(SocketAddr, u64), Session>,
    /// State for sending, by peer address.
    peers: HashMap<SocketAddr, Peer>,
    rng: fastrand::Rng,
    /// Number of received datagrams that were invalid or dropped.
    pub rejected: u64,
}

impl Channel {
    /// Creates the channel of a new run. `secret` must come from a cryptographically secure random source.
    pub fn new(keys: Keys, secret: [u8; 32]) -> Channel {
        let mut seed = [0; 8];
        seed.copy_from_slice(&blake3::derive_key("sloeline-fleet session", &secret)[..8]);
        let mut rng = fastrand::Rng::with_seed(u64::from_le_bytes(seed));
        let previous = blake3::derive_key("sloeline-fleet before", &secret);
        Channel {
            keys,
            session: rng.u64(..),
            last_number: 0,
            secrets: [secret, previous],
            rotated_at: 0,
            sessions: HashMap::new(),
            peers: HashMap::new(),
            rng,
            rejected: 0,
        }
    }

    /// Replaces the signing keys; sessions stay valid.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Computes the cookie for a sender's address and session.
    fn cookie(secret: &[u8; 32], from: SocketAddr, session: u64) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(secret);
        hasher.update(from.to_string().as_bytes());
        hasher.update(&session.to_le_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        // Senders without a cookie send 0.
        u64::from_le_bytes(bytes).max(1)
    }

    /// Rotates the cookie secrets when they are due and forgets silent sessions.
    fn rotate_secrets(&mut self, now: Micros) {
        if now < self.rotated_at + SECRET_ROTATION_US {
            return;
        }
        // After a long pause both old secrets are replaced.
        let next = |secret: &[u8; 32]| blake3::derive_key("sloeline-fleet next", secret);
        let steps = ((now - self.rotated_at) / SECRET_ROTATION_US).min(2);
        for _ in 0..steps {
            self.secrets = [next(&self.secrets[0]), self.secrets[0]];
        }
        self.rotated_at = now;
        self.sessions.retain(|_, session| now < session.last_received_at + 3 * SECRET_ROTATION_US);
    }

    /// Wraps a message into a signed datagram for the peer; `None` if it is too long.
    pub fn seal(&mut self, now: Micros, to: SocketAddr, message: Message) -> Option<Vec<u8>> {
        self.last_number += 1;
        if self.peers.len() >= MAX_PEERS && !self.peers.contains_key(&to) {
            self.peers.clear();
        }
        let peer = self.peers.entry(to).or_default();
        peer.last_sent = Some((self.last_number, message.clone(), now));
        let packet =
            Packet::Message { cookie: peer.cookie, session: self.session, number: self.last_number, message };
        self.keys.seal(&packet)
    }

    /// Processes a received datagram.
    pub fn open(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Received {
        self.rotate_secrets(now);
        let received = self.receive(now, from, bytes);
        self.rejected += u64::from(matches!(received, Received::Ignored | Received::Invalid(_)));
        received
    }

    /// Verifies a datagram and answers it with a hello, or accepts its message.
    fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Received {
        match self.keys.open(bytes) {
            Err(error) => Received::Invalid(error),
            Ok(Packet::Hello { cookie, echo }) => {
                let Some(peer) = self.peers.get_mut(&from) else { return Received::Ignored };
                // Only a hello that answers the last datagram counts; an old one, or one for another receiver, has no
                // effect.
                let answers = |(number, _, at): &mut (u64, Message, Micros)| {
                    *number == echo && now < *at + HELLO_TIMEOUT_US
                };
                let Some((_, message, _)) = peer.last_sent.take_if(answers) else {
                    return Received::Ignored;
                };
                peer.cookie = cookie;
                self.seal(now, from, message).map_or(Received::Ignored, Received::Reply)
            }
            Ok(Packet::Message { cookie, session, number, message }) => {
                let fresh =
                    self.secrets.iter().any(|secret| Channel::cookie(secret, from, session) == cookie);
                if !fresh {
                    let cookie = Channel::cookie(&self.secrets[0], from, session);
                    // The hello is no longer than the datagram it answers, so it cannot be used for an amplification
                    // attack.
                    let hello = self.keys.seal(&Packet::Hello { cookie, echo: number });
                    return hello
                        .filter(|hello| hello.len() <= bytes.len())
                        .map_or(Received::Ignored, Received::Reply);
                }
                if self.accept_once(now, (from, session), number) {
                    Received::Message(message)
                } else {
                    Received::Ignored
                }
            }
        }
    }

    /// Returns whether the message number is new in its session and within the rate limit, and records it.
    fn accept_once(&mut self, now: Micros, session: (SocketAddr, u64), number: u64) -> bool {
        if !self.sessions.contains_key(&session) && self.sessions.len() >= MAX_SESSIONS {
            return false;
        }
        let state = self.sessions.entry(session).or_insert(Session {
            highest_number: number,
            received_bits: 0,
            last_received_at: now,
            tokens: MAX_MESSAGES_PER_SECOND,
        });
        let elapsed = now.saturating_sub(state.last_received_at) as f64 / 1e6;
        state.tokens = (state.tokens + elapsed * MAX_MESSAGES_PER_SECOND).min(MAX_MESSAGES_PER_SECOND);
        state.last_received_at = state.last_received_at.max(now);
        if state.tokens < 1.0 {
            return false;
        }
        if number > state.highest_number {
            let ahead = number - state.highest_number;
            state.received_bits = if ahead < REPLAY_WINDOW { state.received_bits << ahead } else { 0 };
            state.highest_number = number;
        }
        let behind = state.highest_number - number;
        if behind >= REPLAY_WINDOW || state.received_bits >> behind & 1 == 1 {
            return false;
        }
        state.received_bits |= 1 << behind;
        state.tokens -= 1.0;
        true
    }

    /// Returns a random number.
    pub fn random_u64(&mut self) -> u64 {
        self.rng.u64(..)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::message::Kind;
    use std::collections::HashSet;

    fn keys() -> Keys {
        Keys::new([("k", vec![1; 32])]).expect("a key")
    }

    fn message(number: u32) -> Message {
        Message { from: "a".into(), kind: Kind::Ping(number), updates: Vec::new(), facts: Vec::new() }
    }

    fn at(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Performs the hello exchange for a message and returns the datagram with a valid cookie.
    fn handshake(a: &mut Channel, b: &mut Channel, now: Micros, number: u32) -> Vec<u8> {
        let sealed = a.seal(now, at(2), message(number)).expect("the message fits");
        match b.open(now, at(1), &sealed) {
            Received::Reply(hello) => match a.open(now, at(2), &hello) {
                Received::Reply(resent) => resent,
                other => panic!("{other:?}"),
            },
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_message_is_accepted_once_and_not_by_a_restarted_receiver() {
        let (mut a, mut b) = (Channel::new(keys(), [1; 32]), Channel::new(keys(), [2; 32]));
        let first = handshake(&mut a, &mut b, 0, 7);
        assert_eq!(b.open(0, at(1), &first), Received::Message(message(7)));
        assert_eq!(b.open(0, at(1), &first), Received::Ignored);
        // From another address the datagram is not accepted and is answered by a hello only.
        assert!(matches!(b.open(0, at(3), &first), Received::Reply(hello) if hello.len() <= first.len()));
        // Later messages need no hello. Out of order, each is accepted once.
        let sealed: Vec<Vec<u8>> =
            (0..20).map(|n| a.seal(1, at(2), message(n)).expect("the message fits")).collect();
        for (n, sealed) in sealed.iter().enumerate().rev() {
            assert_eq!(b.open(1, at(1), sealed), Received::Message(message(n as u32)));
        }
        assert!(sealed.iter().all(|sealed| b.open(1, at(1), sealed) == Received::Ignored));
        // A restarted receiver accepts nothing that was sent to its previous run.
        let mut next = Channel::new(keys(), [3; 32]);
        for sealed in sealed.iter().chain([&first]) {
            assert!(matches!(next.open(0, at(1), sealed), Received::Reply(_)));
        }
        // A stale hello has no effect.
        let hello = keys().seal(&Packet::Hello { cookie: 9, echo: 1 }).expect("the message fits");
        assert_eq!(a.open(0, at(2), &hello), Received::Ignored);
        // The exchange continues across secret rotations; datagrams older than twenty minutes are not accepted.
        let mut recorded = Vec::new();
        for step in 1..=12 {
            let now = step * 200_000_000;
            let sealed = a.seal(now, at(2), message(step as u32)).expect("the message fits");
            recorded.push(sealed.clone());
            let accepted = match b.open(now, at(1), &sealed) {
                Received::Reply(hello) => match a.open(now, at(2), &hello) {
                    Received::Reply(resent) => b.open(now, at(1), &resent),
                    other => other,
                },
                other => other,
            };
            assert_eq!(accepted, Received::Message(message(step as u32)), "at {now}");
        }
        let late = 40 * SECRET_ROTATION_US;
        for sealed in &recorded {
            assert!(!matches!(b.open(late, at(1), sealed), Received::Message(_)));
        }
    }

    #[test]
    fn replayed_datagrams_are_accepted_at_most_once() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut accepted_total = 0;
        for _ in 0..20 {
            let (mut a, mut b) =
                (Channel::new(keys(), rng_bytes(&mut rng)), Channel::new(keys(), rng_bytes(&mut rng)));
            let (mut recorded, mut accepted, mut now) = (Vec::new(), HashSet::new(), 0);
            for number in 0..400 {
                now += if rng.u32(0..50) == 0 {
                    rng.u64(0..2 * SECRET_ROTATION_US)
                } else {
                    rng.u64(0..1_000_000)
                };
                if rng.u32(0..100) == 0 {
                    b = Channel::new(keys(), rng_bytes(&mut rng));
                    // A restarted receiver may receive the last message again.
                    accepted_total += accepted.len();
                    accepted.clear();
                }
                recorded.push(a.seal(now, at(2), message(number)).expect("the message fits"));
                for _ in 0..rng.usize(0..4) {
                    let sealed =
                        recorded[rng.usize(recorded.len().saturating_sub(300)..recorded.len())].clone();
                    let mut next = Some(sealed);
                    while let Some(sealed) = next.take() {
                        match b.open(now, at(1), &sealed) {
                            Received::Message(message) => {
                                let Kind::Ping(number) = message.kind else { unreachable!() };
                                assert!(accepted.insert(number), "{number} was accepted twice at {now}");
                            }
                            Received::Reply(hello) => {
                                if let Received::Reply(resent) = a.open(now, at(2), &hello) {
                                    recorded.push(resent.clone());
                                    next = Some(resent);
                                }
                            }
                            _ => {}
                        }
                    }
                }
            }
            accepted_total += accepted.len();
        }
        assert!(
            accepted_total > 1_000,
            "{accepted_total}: too few messages accepted for the test to mean anything"
        );
    }

    fn rng_bytes(rng: &mut fastrand::Rng) -> [u8; 32] {
        std::array::from_fn(|_| rng.u8(..))
    }

    #[test]
    fn messages_per_session_and_sessions_are_limited() {
        let (mut a, mut b) = (Channel::new(keys(), [1; 32]), Channel::new(keys(), [2; 32]));
        let first = handshake(&mut a, &mut b, 0, 0);
        b.open(0, at(1), &first);
        let accepted = (0..20_000_u64)
            .filter(|n| {
                let sealed = a.seal(n * 100, at(2), message(1)).expect("the message fits");
                matches!(b.open(n * 100, at(1), &sealed), Received::Message(_))
            })
            .count();
        // Two seconds of messages plus the burst allowance.
        assert!(accepted as f64 <= 3.0 * MAX_MESSAGES_PER_SECOND, "{accepted}");
        let senders = (0..2 * MAX_SESSIONS).filter(|n| {
            let mut sender = Channel::new(keys(), blake3::derive_key("x", &n.to_le_bytes()));
            let resent = handshake(&mut sender, &mut b, 3_000_000, 1);
            matches!(b.open(3_000_000, at(1), &resent), Received::Message(_))
        });
        assert!(senders.count() < MAX_SESSIONS);
    }
}
