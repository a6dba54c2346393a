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

use crate::message::{Bad, Keys, Message, Packet};

/// How long a secret makes cookies; it takes them for as long again.
const SECRET: Micros = 600_000_000;
/// How long a hello may take. Far shorter than cookies last: nothing is said again because its cookie has become old.
const HELLO: Micros = 5_000_000;
/// Numbers behind the highest that may still come.
pub const WINDOW: u64 = 128;
/// Sessions that are known at once. Guards the memory.
const MOST_SESSIONS: usize = 16_384;
/// Messages of a session that are heard each second.
pub const EACH_SECOND: f64 = 200.0;
/// Peers whose cookies are known. Those that are left out say hello again.
const MOST_PEERS: usize = 16_384;

/// What is known of another's life.
#[derive(Debug)]
struct Session {
    highest: u64,
    /// Bit n: the number n below the highest has been heard.
    heard: u128,
    at: Micros,
    /// Messages that may be heard now.
    left: f64,
}

/// What is known of whom to speak to.
#[derive(Debug, Default)]
struct Peer {
    cookie: u64,
    /// The last datagram: its number, its message in case the cookie was wrong, and when.
    last: Option<(u64, Message, Micros)>,
}

/// What came of a datagram.
#[derive(Debug, PartialEq)]
pub enum Heard {
    /// A message.
    Message(Message),
    /// Something to send back at once.
    Reply(Vec<u8>),
    /// Nothing: it was heard already, or too many came.
    Nothing,
    /// It is none.
    Bad(Bad),
}

/// One end of all conversations.
#[derive(Debug)]
pub struct Channel {
    keys: Keys,
    session: u64,
    number: u64,
    /// The present secret and the one before.
    secrets: [[u8; 32]; 2],
    since: Micros,
    sessions: HashMap<(SocketAddr, u64), Session>,
    peers: HashMap<SocketAddr, Peer>,
    rng: fastrand::Rng,
    /// Datagrams that were no messages, or were not heard.
    pub refused: u64,
}

impl Channel {
    /// A new life; `secret` is drawn by whoever has a good source of it.
    pub fn new(keys: Keys, secret: [u8; 32]) -> Channel {
        let mut seed = [0; 8];
        seed.copy_from_slice(&blake3::derive_key("sloeline-fleet session", &secret)[..8]);
        let mut rng = fastrand::Rng::with_seed(u64::from_le_bytes(seed));
        let before = blake3::derive_key("sloeline-fleet before", &secret);
        Channel {
            keys,
            session: rng.u64(..),
            number: 0,
            secrets: [secret, before],
            since: 0,
            sessions: HashMap::new(),
            peers: HashMap::new(),
            rng,
            refused: 0,
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

    fn pass(&mut self, now: Micros) {
        if now < self.since + SECRET {
            return;
        }
        // After a long pause nothing of before is fresh.
        let next = |secret: &[u8; 32]| blake3::derive_key("sloeline-fleet next", secret);
        let steps = ((now - self.since) / SECRET).min(2);
        for _ in 0..steps {
            self.secrets = [next(&self.secrets[0]), self.secrets[0]];
        }
        self.since = now;
        self.sessions.retain(|_, session| now < session.at + 3 * SECRET);
    }

    /// A datagram with a message.
    pub fn seal(&mut self, now: Micros, to: SocketAddr, message: Message) -> Option<Vec<u8>> {
        self.number += 1;
        if self.peers.len() >= MOST_PEERS && !self.peers.contains_key(&to) {
            self.peers.clear();
        }
        let peer = self.peers.entry(to).or_default();
        peer.last = Some((self.number, message.clone(), now));
        let packet =
            Packet::Message { cookie: peer.cookie, session: self.session, number: self.number, message };
        self.keys.seal(&packet)
    }

    /// What a datagram says.
    pub fn open(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Heard {
        self.pass(now);
        let heard = self.take(now, from, bytes);
        self.refused += u64::from(matches!(heard, Heard::Nothing | Heard::Bad(_)));
        heard
    }

    fn take(&mut self, now: Micros, from: SocketAddr, bytes: &[u8]) -> Heard {
        match self.keys.open(bytes) {
            Err(why) => Heard::Bad(why),
            Ok(Packet::Hello { cookie, echo }) => {
                let Some(peer) = self.peers.get_mut(&from) else { return Heard::Nothing };
                // Only what answers the last datagram: an old one, or one that was meant for others, changes nothing.
                let answers =
                    |(number, _, at): &mut (u64, Message, Micros)| *number == echo && now < *at + HELLO;
                let Some((_, message, _)) = peer.last.take_if(answers) else {
                    return Heard::Nothing;
                };
                peer.cookie = cookie;
                self.seal(now, from, message).map_or(Heard::Nothing, Heard::Reply)
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
                        .map_or(Heard::Nothing, Heard::Reply);
                }
                if self.once(now, (from, session), number) { Heard::Message(message) } else { Heard::Nothing }
            }
        }
    }

    fn once(&mut self, now: Micros, session: (SocketAddr, u64), number: u64) -> bool {
        if !self.sessions.contains_key(&session) && self.sessions.len() >= MOST_SESSIONS {
            return false;
        }
        let known = self.sessions.entry(session).or_insert(Session {
            highest: number,
            heard: 0,
            at: now,
            left: EACH_SECOND,
        });
        let span = now.saturating_sub(known.at) as f64 / 1e6;
        known.left = (known.left + span * EACH_SECOND).min(EACH_SECOND);
        known.at = known.at.max(now);
        if known.left < 1.0 {
            return false;
        }
        if number > known.highest {
            let ahead = number - known.highest;
            known.heard = if ahead < WINDOW { known.heard << ahead } else { 0 };
            known.highest = number;
        }
        let behind = known.highest - number;
        if behind >= WINDOW || known.heard >> behind & 1 == 1 {
            return false;
        }
        known.heard |= 1 << behind;
        known.left -= 1.0;
        true
    }

    /// A number at random.
    pub fn draw(&mut self) -> u64 {
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
    fn meet(a: &mut Channel, b: &mut Channel, now: Micros, number: u32) -> Vec<u8> {
        let sealed = a.seal(now, at(2), message(number)).expect("short");
        match b.open(now, at(1), &sealed) {
            Heard::Reply(hello) => match a.open(now, at(2), &hello) {
                Heard::Reply(again) => again,
                other => panic!("{other:?}"),
            },
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn a_message_is_heard_once_and_nothing_of_another_life_is() {
        let (mut a, mut b) = (Channel::new(keys(), [1; 32]), Channel::new(keys(), [2; 32]));
        let first = meet(&mut a, &mut b, 0, 7);
        assert_eq!(b.open(0, at(1), &first), Heard::Message(message(7)));
        assert_eq!(b.open(0, at(1), &first), Heard::Nothing);
        // From elsewhere it is a stranger's, and gets no more than a hello.
        assert!(matches!(b.open(0, at(3), &first), Heard::Reply(hello) if hello.len() <= first.len()));
        // The next ones need no hello; out of order they are heard, once each.
        let sealed: Vec<Vec<u8>> = (0..20).map(|n| a.seal(1, at(2), message(n)).expect("short")).collect();
        for (n, sealed) in sealed.iter().enumerate().rev() {
            assert_eq!(b.open(1, at(1), sealed), Heard::Message(message(n as u32)));
        }
        assert!(sealed.iter().all(|sealed| b.open(1, at(1), sealed) == Heard::Nothing));
        // The receiver's next life takes nothing that was said to the one before.
        let mut next = Channel::new(keys(), [3; 32]);
        for sealed in sealed.iter().chain([&first]) {
            assert!(matches!(next.open(0, at(1), sealed), Heard::Reply(_)));
        }
        // An old hello changes nothing.
        let hello = keys().seal(&Packet::Hello { cookie: 9, echo: 1 }).expect("short");
        assert_eq!(a.open(0, at(2), &hello), Heard::Nothing);
        // Secrets change, and who is spoken to meanwhile goes on; what is twenty minutes old is not fresh.
        let mut kept = Vec::new();
        for step in 1..=12 {
            let now = step * 200_000_000;
            let sealed = a.seal(now, at(2), message(step as u32)).expect("short");
            kept.push(sealed.clone());
            let heard = match b.open(now, at(1), &sealed) {
                Heard::Reply(hello) => match a.open(now, at(2), &hello) {
                    Heard::Reply(again) => b.open(now, at(1), &again),
                    other => other,
                },
                other => other,
            };
            assert_eq!(heard, Heard::Message(message(step as u32)), "at {now}");
        }
        let late = 40 * SECRET;
        for sealed in &kept {
            assert!(!matches!(b.open(late, at(1), sealed), Heard::Message(_)));
        }
    }

    #[test]
    fn whatever_is_recorded_and_said_again_is_heard_once() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut heard_ever = 0;
        for _ in 0..20 {
            let (mut a, mut b) =
                (Channel::new(keys(), rng_bytes(&mut rng)), Channel::new(keys(), rng_bytes(&mut rng)));
            let (mut recorded, mut heard, mut now) = (Vec::new(), HashSet::new(), 0);
            for number in 0..400 {
                now += if rng.u32(0..50) == 0 { rng.u64(0..2 * SECRET) } else { rng.u64(0..1_000_000) };
                if rng.u32(0..100) == 0 {
                    b = Channel::new(keys(), rng_bytes(&mut rng));
                    // Another life may be told the last message again.
                    heard_ever += heard.len();
                    heard.clear();
                }
                recorded.push(a.seal(now, at(2), message(number)).expect("short"));
                for _ in 0..rng.usize(0..4) {
                    let sealed =
                        recorded[rng.usize(recorded.len().saturating_sub(300)..recorded.len())].clone();
                    let mut next = Some(sealed);
                    while let Some(sealed) = next.take() {
                        match b.open(now, at(1), &sealed) {
                            Heard::Message(message) => {
                                let Kind::Ping(number) = message.kind else { unreachable!() };
                                assert!(heard.insert(number), "{number} was heard twice at {now}");
                            }
                            Heard::Reply(hello) => {
                                if let Heard::Reply(again) = a.open(now, at(2), &hello) {
                                    recorded.push(again.clone());
                                    next = Some(again);
                                }
                            }
                            _ => {}
                        }
                    }
                }
            }
            heard_ever += heard.len();
        }
        assert!(heard_ever > 1_000, "{heard_ever}: too little is heard to show anything");
    }

    fn rng_bytes(rng: &mut fastrand::Rng) -> [u8; 32] {
        std::array::from_fn(|_| rng.u8(..))
    }

    #[test]
    fn one_that_runs_wild_is_heard_no_more_than_it_may_be() {
        let (mut a, mut b) = (Channel::new(keys(), [1; 32]), Channel::new(keys(), [2; 32]));
        let first = meet(&mut a, &mut b, 0, 0);
        b.open(0, at(1), &first);
        let heard = (0..20_000_u64)
            .filter(|n| {
                let sealed = a.seal(n * 100, at(2), message(1)).expect("short");
                matches!(b.open(n * 100, at(1), &sealed), Heard::Message(_))
            })
            .count();
        // Two seconds, and what had gathered.
        assert!(heard as f64 <= 3.0 * EACH_SECOND, "{heard}");
        let strangers = (0..2 * MOST_SESSIONS).filter(|n| {
            let mut stranger = Channel::new(keys(), blake3::derive_key("x", &n.to_le_bytes()));
            let again = meet(&mut stranger, &mut b, 3_000_000, 1);
            matches!(b.open(3_000_000, at(1), &again), Heard::Message(_))
        });
        assert!(strangers.count() < MOST_SESSIONS);
    }
}
