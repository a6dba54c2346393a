//! Datagrams that are heard once and only while they are fresh, without a clock that anybody else would have to share.
//!
//! **Fresh.** Whoever is spoken to by a life (a *session*, drawn at random) that it does not know answers with a *cookie* and
//! keeps nothing; the cookie is made of the session, the sender's address and a secret of this process and of the last ten
//! minutes. Only a message that says the cookie is heard. What was recorded before this process began, or is older than the
//! secret before the present one, says a cookie that nobody takes any more.
//!
//! **Once.** Within a session numbers are heard once, by a window of the last [`WINDOW`]. A session is forgotten when it
//! has been silent for longer than any cookie lasts.
//!
//! **Not too often.** A session is heard [`EACH_SECOND`] times a second; more are passed over, so that one that runs wild
//! costs the others little.

use std::collections::HashMap;
use std::net::SocketAddr;

use finchshift::Micros;

use crate::message::{DatagramError, Keys, Message, Packet};

/// How long a secret makes cookies; it takes them for as long again.
const SECRET_ROTATION_US: Micros = 600_000_000;
/// How long a hello may take. Far shorter than cookies last: nothing is said again because its cookie has become old.
const HELLO_TIMEOUT_US: Micros = 5_000_000;
/// Numbers behind the highest that may still come.
pub const REPLAY_WINDOW: u64 = 128;
/// Sessions that are known at once. Guards the memory.
const MAX_SESSIONS: usize = 16_384;
/// Messages of a session that are heard each second.
pub const MAX_MESSAGES_PER_SECOND: f64 = 200.0;
/// Peers whose cookies are known. Those that are left out say hello again.
const MAX_PEERS: usize = 16_384;

/// What is known of another's life.
#[derive(Debug)]
struct Session {
    highest_number: u64,
    /// Bit n: the number n below the highest has been heard.
    received_bits: u128,
    last_received_at: Micros,
    /// Messages that may be heard now.
    tokens: f64,
}

/// What is known of whom to speak to.
#[derive(Debug, Default)]
struct Peer {
    cookie: u64,
    /// The last datagram: its number, its message in case the cookie was wrong, and when.
    last_sent: Option<(u64, Message, Micros)>,
}

/// What came of a datagram.
#[derive(Debug, PartialEq)]
pub enum Received {
    /// A message.
    Message(Message),
    /// Something to send back at once.
    Reply(Vec<u8>),
    /// Nothing: it was heard already, or too many came.
    Ignored,
    /// It is none.
    Invalid(DatagramError),
}

/// One end of all conversations.
#[derive(Debug)]
pub struct Channel {
    keys: Keys,
    session: u64,
    last_number: u64,
    /// The present secret and the one before.
    secrets: [[u8; 32]; 2],
    rotated_at: Micros,
    sessions: HashMap<(SocketAddr, u64), Session>,
    peers: HashMap<SocketAddr, Peer>,
    rng: fastrand::Rng,
    /// Datagrams that were no messages, or were not heard.
    pub rejected: u64,
}

impl Channel {
    /// A new life; `secret` is drawn by whoever has a good source of it.
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

    /// Other keys from now on; sessions go on.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    fn cookie(secret: &[u8; 32], from: SocketAddr, session: u64) -> u64 {
        let mut hasher = blake3::Hasher::new_keyed(secret);
        hasher.update(from.to_string().as_bytes());
        hasher.update(&session.to_le_bytes());
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        // 0 is what those say who know none.
        u64::from_le_bytes(bytes).max(1)
    }

    fn rotate_secrets(&mut self, now: Micros) {
        if now < self.rotated_at + SECRET_ROTATION_US {
            return;
        }
        // After a long pause nothing of before is fresh.
        let next = |secret: &[u8; 32]| blake3::derive_key("sloeline-fleet next", secret);
        let steps = ((now - self.rotated_at) / SECRET_ROTATION_US).min(2);
        for _ in 0..steps {
            self.secrets = [next(&self.secrets[0]), self.secrets[0]];
        }
        self.rotated_at = now;
        self.sessions.retain(|_, session| now < session.last_received_at + 3 * SECRET_ROTATION_US);
    }

    /// A datagram with a message.
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

    /// What a datagram says.
    pub fn open(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Received {
        self.rotate_secrets(now);
        let received = self.receive(now, from, bytes);
        self.rejected += u64::from(matches!(received, Received::Ignored | Received::Invalid(_)));
        received
    }

    fn receive(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Received {
        match self.keys.open(bytes) {
            Err(error) => Received::Invalid(error),
            Ok(Packet::Hello { cookie, echo }) => {
                let Some(peer) = self.peers.get_mut(&from) else { return Received::Ignored };
                // Only what answers the last datagram: an old one, or one that was meant for others, changes nothing.
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
                    // Shorter than what it answers: of no use to whoever would have others flooded.
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

    /// A number at random.
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

    /// Lets a message through the first hello.
    fn handshake(a: &mut Channel, b: &mut Channel, now: Micros, number: u32) -> Vec<u8> {
        let sealed = a.seal(now, at(2), message(number)).expect("short");
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
        // From elsewhere it is a stranger's, and gets no more than a hello.
        assert!(matches!(b.open(0, at(3), &first), Received::Reply(hello) if hello.len() <= first.len()));
        // The next ones need no hello; out of order they are heard, once each.
        let sealed: Vec<Vec<u8>> = (0..20).map(|n| a.seal(1, at(2), message(n)).expect("short")).collect();
        for (n, sealed) in sealed.iter().enumerate().rev() {
            assert_eq!(b.open(1, at(1), sealed), Received::Message(message(n as u32)));
        }
        assert!(sealed.iter().all(|sealed| b.open(1, at(1), sealed) == Received::Ignored));
        // The receiver's next life takes nothing that was said to the one before.
        let mut next = Channel::new(keys(), [3; 32]);
        for sealed in sealed.iter().chain([&first]) {
            assert!(matches!(next.open(0, at(1), sealed), Received::Reply(_)));
        }
        // An old hello changes nothing.
        let hello = keys().seal(&Packet::Hello { cookie: 9, echo: 1 }).expect("short");
        assert_eq!(a.open(0, at(2), &hello), Received::Ignored);
        // Secrets change, and who is spoken to meanwhile goes on; what is twenty minutes old is not fresh.
        let mut recorded = Vec::new();
        for step in 1..=12 {
            let now = step * 200_000_000;
            let sealed = a.seal(now, at(2), message(step as u32)).expect("short");
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
                    // Another life may be told the last message again.
                    accepted_total += accepted.len();
                    accepted.clear();
                }
                recorded.push(a.seal(now, at(2), message(number)).expect("short"));
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
                let sealed = a.seal(n * 100, at(2), message(1)).expect("short");
                matches!(b.open(n * 100, at(1), &sealed), Received::Message(_))
            })
            .count();
        // Two seconds, and what had gathered.
        assert!(accepted as f64 <= 3.0 * MAX_MESSAGES_PER_SECOND, "{accepted}");
        let senders = (0..2 * MAX_SESSIONS).filter(|n| {
            let mut sender = Channel::new(keys(), blake3::derive_key("x", &n.to_le_bytes()));
            let resent = handshake(&mut sender, &mut b, 3_000_000, 1);
            matches!(b.open(3_000_000, at(1), &resent), Received::Message(_))
        });
        assert!(senders.count() < MAX_SESSIONS);
    }
}
