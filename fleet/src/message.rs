//! What instances say to each other. `docs/protocol-fleet.md` is the specification.
//!
//! A datagram has at most [`MOST_DATAGRAM`] bytes, so that none is taken apart on its way:
//!
//! ```text
//! version  1 byte   1
//! key      4 bytes  the beginning of BLAKE3 of the key's name
//! packet            postcard
//! tag      16 bytes the beginning of HMAC-SHA256 over all before it
//! ```

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// The version that is spoken.
pub const VERSION: u8 = 1;
/// Most bytes of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a tag.
const TAG_BYTES: usize = 16;
/// Bytes before the packet.
const HEADER_BYTES: usize = 5;
/// Bytes that a packet may have.
pub const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;

/// An instance's name.
pub type Name = Arc<str>;

/// Whether an instance is there, as is believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It is.
    Alive,
    /// It has not answered for a while.
    Suspect,
    /// It has not answered for too long.
    Dead,
    /// It has said that it leaves.
    Left,
}

/// What is said of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Who.
    pub name: Name,
    /// Where.
    pub address: SocketAddr,
    /// In which zone.
    pub zone: Name,
    /// Higher than what was said of it before, if it is later. Only the instance itself makes it higher.
    pub incarnation: u64,
    /// How it is.
    pub state: State,
}

/// What one has seen and all should know; see [`crate::facts`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// Of which pool.
    pub pool: Name,
    /// Of which node.
    pub node: Name,
    /// What.
    pub seen: Observation,
}

/// What can be seen of a node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Observation {
    /// Its source told a drain at this revision, or took it back at it.
    Drain {
        /// Of the source.
        revision: u64,
        /// It drains.
        drains: bool,
    },
}

/// What a message is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Are you there?
    Ping(u32),
    /// I am.
    Ack(u32),
    /// Ask this one for me.
    PingFor(u32, SocketAddr),
    /// I have just come: tell me who is there.
    Join,
    /// Some of those who are there.
    Members,
    /// Something of grants; see [`crate::grants`].
    Grants(Name, crate::grants::GrantMessage),
    /// Nothing but what is said beside, which can't wait.
    News,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who says it.
    pub from: Name,
    /// What for.
    pub kind: Kind,
    /// What is said of instances beside.
    pub updates: Vec<Update>,
    /// What is said of nodes beside.
    pub facts: Vec<Fact>,
}

/// What a datagram carries; see [`crate::channel`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// The receiver does not know the sender yet: it is to say the cookie, and then its message again.
    Hello {
        /// To be said from now on.
        cookie: u64,
        /// The number of the datagram that this answers.
        echo: u64,
    },
    /// A message.
    Message {
        /// What the receiver has asked to be told.
        cookie: u64,
        /// The sender's life, at random.
        session: u64,
        /// One more with each datagram to anybody.
        number: u64,
        /// What is said.
        message: Message,
    },
}

/// Why a datagram is not heard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// It is too short, too long, or not what it says.
    Malformed,
    /// Of another version.
    UnsupportedVersion(u8),
    /// No such key.
    UnknownKey,
    /// Not signed with its key.
    BadTag,
}

impl fmt::Display for DatagramError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DatagramError::Malformed => write!(f, "found no message"),
            DatagramError::UnsupportedVersion(found) => {
                write!(f, "found version {found}, expected {VERSION}")
            }
            DatagramError::UnknownKey => write!(f, "found a key that is not known"),
            DatagramError::BadTag => write!(f, "found a signature by another key"),
        }
    }
}

/// The keys that are alive: all are heard, the first is signed with.
#[derive(Clone)]
pub struct Keys {
    signing_key: [u8; 4],
    secrets: BTreeMap<[u8; 4], Vec<u8>>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys", self.secrets.len())
    }
}

impl Keys {
    /// These, by name; the first is signed with. None where there is none.
    pub fn new<'a>(keys: impl IntoIterator<Item = (&'a str, Vec<u8>)>) -> Option<Keys> {
        let id = |name: &str| {
            let mut id = [0; 4];
            id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..4]);
            id
        };
        let mut first = None;
        let mut secrets = BTreeMap::new();
        for (name, secret) in keys {
            first.get_or_insert(id(name));
            secrets.insert(id(name), secret);
        }
        Some(Keys { signing_key: first?, secrets })
    }

    fn mac(secret: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac: Hmac<Sha256> =
            Hmac::new_from_slice(secret).unwrap_or_else(|_| unreachable!("a key of any length"));
        mac.update(bytes);
        mac
    }

    /// A datagram; none for a packet that is too long for one.
    pub fn seal(&self, packet: &Packet) -> Option<Vec<u8>> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.signing_key);
        let mut bytes = postcard::to_extend(packet, bytes).ok()?;
        let tag = Keys::mac(&self.secrets[&self.signing_key], &bytes).finalize().into_bytes();
        bytes.extend(&tag[..TAG_BYTES]);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// What a datagram carries.
    pub fn open(&self, bytes: &[u8]) -> Result<Packet, DatagramError> {
        if bytes.len() < HEADER_BYTES + TAG_BYTES || bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Malformed);
        }
        if bytes[0] != VERSION {
            return Err(DatagramError::UnsupportedVersion(bytes[0]));
        }
        let (signed, tag) = bytes.split_at(bytes.len() - TAG_BYTES);
        let mut key = [0; 4];
        key.copy_from_slice(&signed[1..HEADER_BYTES]);
        let secret = self.secrets.get(&key).ok_or(DatagramError::UnknownKey)?;
        // Before anything is read: whoever has no key can do nothing with what it sends.
        Keys::mac(secret, signed).verify_truncated_left(tag).map_err(|_| DatagramError::BadTag)?;
        match postcard::take_from_bytes(&signed[HEADER_BYTES..]) {
            Ok((packet, rest)) if rest.is_empty() && names_fit(&packet) => Ok(packet),
            _ => Err(DatagramError::Malformed),
        }
    }
}

/// Whether names are no longer than they may be; numbers of things are bounded by the datagram.
fn names_fit(packet: &Packet) -> bool {
    let Packet::Message { message, .. } = packet else { return true };
    let fits = |name: &Name| (1..=MAX_NAME_BYTES).contains(&name.len());
    let fact_names = message.facts.iter().flat_map(|fact| [&fact.pool, &fact.node]);
    let budget = match &message.kind {
        Kind::Grants(budget, _) => Some(budget),
        _ => None,
    };
    fits(&message.from)
        && message.updates.iter().all(|update| fits(&update.name) && update.zone.len() <= MAX_NAME_BYTES)
        && fact_names.chain(budget).all(fits)
}

/// How many bytes something takes in a packet.
pub fn encoded_size(value: &impl Serialize) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(MAX_DATAGRAM_BYTES)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn keys(list: &[(&str, u8)]) -> Keys {
        Keys::new(list.iter().map(|(name, byte)| (*name, vec![*byte; 32]))).expect("a key")
    }

    fn packet() -> Packet {
        let name = Name::from("edge-7");
        let update = Update {
            name: name.clone(),
            address: "10.0.0.7:7946".parse().expect("an address"),
            zone: "jakarta-1".into(),
            incarnation: 3,
            state: State::Suspect,
        };
        let fact = Fact {
            pool: "p".into(),
            node: "n".into(),
            seen: Observation::Drain { revision: 9, drains: true },
        };
        let message =
            Message { from: name, kind: Kind::Ping(77), updates: vec![update; 8], facts: vec![fact; 3] };
        Packet::Message { cookie: 1, session: 2, number: 3, message }
    }

    #[test]
    fn sealed_packets_open_and_altered_ones_do_not() {
        let both = keys(&[("new", 2), ("old", 1)]);
        let sealed = both.seal(&packet()).expect("it is short");
        assert_eq!(both.open(&sealed), Ok(packet()));
        for at in 0..sealed.len() {
            assert!(both.open(&sealed[..at]).is_err(), "cut at {at}");
            let mut altered = sealed.clone();
            altered[at] ^= 1 << (at % 8);
            assert!(both.open(&altered).is_err(), "altered at {at}");
        }
        // Either key is heard while both are alive; each other's only then.
        let (old, new) = (keys(&[("old", 1)]), keys(&[("new", 2)]));
        assert_eq!(both.open(&old.seal(&packet()).expect("short")), Ok(packet()));
        assert_eq!(old.open(&sealed), Err(DatagramError::UnknownKey));
        assert_eq!(new.open(&sealed), Ok(packet()));
        assert_eq!(keys(&[("new", 3)]).open(&sealed), Err(DatagramError::BadTag));
        let mut later = sealed.clone();
        later[0] = 2;
        assert_eq!(both.open(&later), Err(DatagramError::UnsupportedVersion(2)));
    }

    #[test]
    fn signed_garbage_is_rejected_or_decodes_within_bounds() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let keys = keys(&[("k", 1)]);
        let good = keys.seal(&packet()).expect("it is short");
        let signed = |mut bytes: Vec<u8>| {
            let tag = Keys::mac(&keys.secrets[&keys.signing_key], &bytes).finalize().into_bytes();
            bytes.extend(&tag[..TAG_BYTES]);
            bytes
        };
        for _ in 0..50_000 {
            let mut bytes = good[..good.len() - TAG_BYTES].to_vec();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(HEADER_BYTES..bytes.len());
                bytes[at] = rng.u8(..);
            }
            bytes.truncate(rng.usize(HEADER_BYTES..=bytes.len()));
            // It ends, with a bounded packet or none.
            if let Ok(packet) = keys.open(&signed(bytes)) {
                assert!(names_fit(&packet));
            }
        }
        let Packet::Message { cookie, session, number, mut message } = packet() else { unreachable!() };
        message.from = "x".repeat(MAX_NAME_BYTES + 1).into();
        let long = Packet::Message { cookie, session, number, message };
        assert_eq!(keys.open(&keys.seal(&long).expect("it fits")), Err(DatagramError::Malformed));
    }
}
