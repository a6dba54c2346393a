//! Messages between instances and their wire format. `docs/protocol-fleet.md` is the specification.
//!
//! A datagram has at most [`MAX_DATAGRAM_BYTES`] bytes, so that it is not fragmented:
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

/// Protocol version of the datagrams.
pub const VERSION: u8 = 1;
/// Maximum size of a datagram, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Length of the HMAC tag, in bytes.
const TAG_BYTES: usize = 16;
/// Length of the header (version and key ID), in bytes.
const HEADER_BYTES: usize = 5;
/// Maximum size of an encoded packet, in bytes.
pub const MAX_PACKET_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER_BYTES - TAG_BYTES;

/// Shared name string of an instance, zone, pool, node or limit.
pub type Name = Arc<str>;

/// Membership state of an instance. Of two updates with the same incarnation the later variant wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// The instance is alive.
    Alive,
    /// The instance did not acknowledge a probe and is suspected.
    Suspect,
    /// The suspicion expired; the instance is considered dead.
    Dead,
    /// The instance announced that it leaves.
    Left,
}

/// A membership update about one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Name of the instance.
    pub name: Name,
    /// UDP address of the instance.
    pub address: SocketAddr,
    /// Zone of the instance.
    pub zone: Name,
    /// Version of this information: higher incarnations supersede lower ones. Only the instance itself raises its
    /// incarnation.
    pub incarnation: u64,
    /// Reported membership state of the instance.
    pub state: State,
}

/// An observation of an upstream node that is spread to the fleet; see [`crate::facts`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fact {
    /// Pool of the node.
    pub pool: Name,
    /// Name of the node.
    pub node: Name,
    /// The observation.
    pub seen: Observation,
}

/// An observation of an upstream node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Observation {
    /// A discovery source started or ended a drain of the node.
    Drain {
        /// Revision of the source at which it did so.
        revision: u64,
        /// Whether the drain started (`true`) or ended.
        drains: bool,
    },
}

/// Type of a message, with its specific content.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Kind {
    /// Probe with a sequence number; the receiver answers with [`Kind::Ack`].
    Ping(u32),
    /// Acknowledges the probe with this sequence number.
    Ack(u32),
    /// Requests an indirect probe of the address; an acknowledgement is returned under the given sequence number.
    PingFor(u32, SocketAddr),
    /// Requests a part of the receiver's membership list.
    Join,
    /// Part of the sender's membership list, in answer to [`Kind::Join`], or the announcement that the sender leaves.
    Members,
    /// A vote or grant message for the named limit; see [`crate::grants`].
    Grants(Name, crate::grants::GrantMessage),
    /// Carries only piggybacked updates and facts that are not to wait for the next probe.
    News,
}

/// A message from one instance to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Name of the sender.
    pub from: Name,
    /// Type of the message, with its specific content.
    pub kind: Kind,
    /// Piggybacked membership updates.
    pub updates: Vec<Update>,
    /// Piggybacked facts about upstream nodes.
    pub facts: Vec<Fact>,
}

/// Content of a datagram; see [`crate::channel`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Packet {
    /// Answer to a message without a valid cookie: the sender is to send its message again with this cookie.
    Hello {
        /// Cookie to include in further messages to this receiver.
        cookie: u64,
        /// Number of the datagram that this hello answers.
        echo: u64,
    },
    /// A message between instances.
    Message {
        /// Cookie that the receiver issued; 0 if the sender has none.
        cookie: u64,
        /// Random session ID of the sender's run.
        session: u64,
        /// Number of the datagram; the sender increments it for each datagram to any receiver.
        number: u64,
        /// The message itself.
        message: Message,
    },
}

/// Why a datagram is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DatagramError {
    /// The length is out of bounds or the packet cannot be decoded.
    Malformed,
    /// The datagram has this other protocol version.
    UnsupportedVersion(u8),
    /// The datagram names a key that this instance does not have.
    UnknownKey,
    /// The tag does not match the named key.
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

/// The accepted HMAC keys. Datagrams signed with any of them are accepted; one of them signs outgoing datagrams.
#[derive(Clone)]
pub struct Keys {
    /// ID of the key that signs outgoing datagrams.
    signing_key: [u8; 4],
    /// Secrets of all accepted keys, by key ID.
    secrets: BTreeMap<[u8; 4], Vec<u8>>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys", self.secrets.len())
    }
}

impl Keys {
    /// Creates the key set from names and secrets; the first key signs. Returns `None` without any key.
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

    /// Starts an HMAC-SHA256 over `bytes`.
    fn mac(secret: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac: Hmac<Sha256> =
            Hmac::new_from_slice(secret).unwrap_or_else(|_| unreachable!("a key of any length"));
        mac.update(bytes);
        mac
    }

    /// Encodes and signs a packet. Returns `None` if it does not fit into a datagram.
    pub fn seal(&self, packet: &Packet) -> Option<Vec<u8>> {
        let mut bytes = vec![VERSION];
        bytes.extend(self.signing_key);
        let mut bytes = postcard::to_extend(packet, bytes).ok()?;
        let tag = Keys::mac(&self.secrets[&self.signing_key], &bytes).finalize().into_bytes();
        bytes.extend(&tag[..TAG_BYTES]);
        (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
    }

    /// Verifies and decodes a datagram.
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
        // The tag is verified before anything is decoded, so a sender without a key cannot reach the decoder.
        Keys::mac(secret, signed).verify_truncated_left(tag).map_err(|_| DatagramError::BadTag)?;
        match postcard::take_from_bytes(&signed[HEADER_BYTES..]) {
            Ok((packet, rest)) if rest.is_empty() && names_fit(&packet) => Ok(packet),
            _ => Err(DatagramError::Malformed),
        }
    }
}

/// Returns whether all names have a valid length. The number of items is bounded by the datagram size.
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

/// Returns the encoded size of a value in a packet, in bytes.
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
        let sealed = both.seal(&packet()).expect("the packet fits");
        assert_eq!(both.open(&sealed), Ok(packet()));
        for at in 0..sealed.len() {
            assert!(both.open(&sealed[..at]).is_err(), "cut at {at}");
            let mut altered = sealed.clone();
            altered[at] ^= 1 << (at % 8);
            assert!(both.open(&altered).is_err(), "altered at {at}");
        }
        // While both keys are configured, datagrams signed with either are accepted.
        let (old, new) = (keys(&[("old", 1)]), keys(&[("new", 2)]));
        assert_eq!(both.open(&old.seal(&packet()).expect("the packet fits")), Ok(packet()));
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
        let sealed = keys.seal(&packet()).expect("the packet fits");
        let signed = |mut bytes: Vec<u8>| {
            let tag = Keys::mac(&keys.secrets[&keys.signing_key], &bytes).finalize().into_bytes();
            bytes.extend(&tag[..TAG_BYTES]);
            bytes
        };
        for _ in 0..50_000 {
            let mut bytes = sealed[..sealed.len() - TAG_BYTES].to_vec();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(HEADER_BYTES..bytes.len());
                bytes[at] = rng.u8(..);
            }
            bytes.truncate(rng.usize(HEADER_BYTES..=bytes.len()));
            // Decoding terminates, and a decoded packet has valid name lengths.
            if let Ok(packet) = keys.open(&signed(bytes)) {
                assert!(names_fit(&packet));
            }
        }
        let Packet::Message { cookie, session, number, mut message } = packet() else { unreachable!() };
        message.from = "x".repeat(MAX_NAME_BYTES + 1).into();
        let long = Packet::Message { cookie, session, number, message };
        assert_eq!(keys.open(&keys.seal(&long).expect("the packet fits")), Err(DatagramError::Malformed));
    }
}
