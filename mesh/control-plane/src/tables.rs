//! The state that the chain replicates: the newest configuration, the claims of keyed operations, and the upstream
//! instances that have ended.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sloeline_chain_replication::{Applied, Row, Rows, StateMachine};
use sloeline_discovery::ended_upstreams::EndedUpstreams;
use sloeline_discovery::{Config, UpstreamOutcome, UpstreamUpdate};
use sloeline_idempotency::{Claim, ClaimOutcome, ClaimUpdate, Claims, ReleasedRun};

/// Time in milliseconds for which a key is kept beyond its window. The client sent the first try before the key was claimed,
/// and the clock of the chain's head may differ from the clients' clocks.
const KEY_WINDOW_MARGIN_MS: u64 = 10_000;
/// Key of the row that holds the configuration.
const CONFIG_ROW: &[u8] = b"c";
/// Length of a run's number in a row key.
const RUN_BYTES: usize = 8;
/// First byte of the keys of rows that hold claims; the key of the operation follows.
const CLAIM_ROW_PREFIX: u8 = b'k';
/// First byte of the keys of rows that hold released runs; the run's number as 8 bytes, big-endian, and the key of the
/// operation follow.
const RELEASE_ROW_PREFIX: u8 = b'r';
/// First byte of the keys of rows that hold ends of upstream instances; the instance's identifier follows.
const ENDED_ROW_PREFIX: u8 = b'u';

/// A change of the replicated state, or a read ordered with the changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the configuration with a valid one, unless the current one has a higher version.
    Config(Config),
    /// Claims or releases the key of an operation.
    Key(ClaimUpdate),
    /// Reads the configuration and changes nothing.
    Read,
    /// Reports or asks for the end of an upstream instance.
    Upstream(UpstreamUpdate),
}

impl Change {
    /// Returns the change encoded as MessagePack, as an update of the chain.
    pub fn encoded(&self) -> Bytes {
        // Encoding cannot fail, because a change contains only integers, strings and bytes.
        rmp_serde::to_vec(self).unwrap_or_default().into()
    }
}

/// The result of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// The configuration was accepted, or one with a higher version is in force.
    #[serde(rename = "Taken")]
    Accepted {
        /// Version of the configuration in force.
        #[serde(rename = "holds")]
        version: u32,
    },
    /// The configuration was refused, because one with the same version and other content is in force.
    Conflict {
        /// Version of the configuration in force.
        #[serde(rename = "holds")]
        version: u32,
    },
    /// The result of claiming or releasing a key.
    Key(ClaimOutcome),
    /// The configuration in force, if there is one.
    Config(Option<Config>),
    /// The result of a report or a question about an upstream instance.
    Upstream(UpstreamOutcome),
    /// The change could not be decoded and had no effect.
    #[serde(rename = "Unknown")]
    Undecodable,
}

/// The replicated state: the newest configuration, the claims of keyed operations, and the upstream instances that have
/// ended.
pub struct State {
    /// The newest configuration, if there is one.
    config: Option<Config>,
    /// The claims of keyed operations.
    keys: Claims,
    /// The upstream instances that have ended.
    ended_upstreams: EndedUpstreams,
}

impl State {
    /// Creates an empty state. Keys are remembered for `key_window_ms` milliseconds and a margin.
    pub fn new(key_window_ms: u64) -> State {
        let keys = Claims::new(key_window_ms + KEY_WINDOW_MARGIN_MS);
        State { config: None, keys, ended_upstreams: EndedUpstreams::default() }
    }

    /// Returns the newest configuration. Other members of the chain may not have stored it yet.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Builds all rows from the state, to verify the rows that were written incrementally.
    pub fn rows(&self) -> Rows {
        let config = self.config.iter().map(|config| (Bytes::from_static(CONFIG_ROW), encode(config)));
        let claims = self.keys.iter().map(|(key, claim)| (claim_row(key), encode(claim)));
        let ends = self.ended_upstreams.iter().map(|(id, at)| (ended_row(id), encode(&at)));
        let releases = self.keys.releases().map(|(released, at)| (release_row(released), encode(&at)));
        config.chain(claims).chain(releases).chain(ends).collect()
    }

    /// Replaces the configuration unless its version is lower than or equal to the current one. An equal version with other
    /// content is a conflict.
    fn replace(&mut self, config: Config, rows: &mut Vec<Row>) -> ChangeResult {
        if let Some(held) = self.config.as_ref().filter(|held| held.edition >= config.edition) {
            let conflict = held.edition == config.edition && held.body != config.body;
            let version = held.edition;
            return if conflict {
                ChangeResult::Conflict { version }
            } else {
                ChangeResult::Accepted { version }
            };
        }
        let version = config.edition;
        rows.push((Bytes::from_static(CONFIG_ROW), Some(encode(&config))));
        self.config = Some(config);
        ChangeResult::Accepted { version }
    }

    /// Returns the claims of keyed operations.
    pub fn keys(&self) -> &Claims {
        &self.keys
    }
}

/// Encodes a value as MessagePack.
fn encode<T: Serialize>(value: &T) -> Bytes {
    rmp_serde::to_vec(value).unwrap_or_default().into()
}

/// Returns the row key for the claim of an operation's key.
fn claim_row(key: &Bytes) -> Bytes {
    prefixed_row(CLAIM_ROW_PREFIX, key)
}

/// Returns the row key for a released run.
fn release_row(released: &ReleasedRun) -> Bytes {
    let mut name = BytesMut::with_capacity(RUN_BYTES + released.key.len());
    name.put_u64(released.run);
    name.put_slice(&released.key);
    prefixed_row(RELEASE_ROW_PREFIX, &name)
}

/// Reads the row key of a released run without its prefix.
fn parse_release_row(mut name: Bytes) -> Option<ReleasedRun> {
    let run = name.try_get_u64().ok()?;
    Some(ReleasedRun { key: name, run })
}

/// Returns the row key for the end of an upstream instance.
fn ended_row(id: &str) -> Bytes {
    prefixed_row(ENDED_ROW_PREFIX, id.as_bytes())
}

/// Returns the row key that consists of a prefix and a name.
fn prefixed_row(prefix: u8, name: &[u8]) -> Bytes {
    let mut row = BytesMut::with_capacity(1 + name.len());
    row.put_u8(prefix);
    row.put_slice(name);
    row.freeze()
}

impl StateMachine for State {
    fn apply(&mut self, stamp: u64, update: &Bytes) -> Applied {
        let Ok(change) = rmp_serde::from_slice::<Change>(update) else {
            return Applied { result: encode(&ChangeResult::Undecodable), rows: Vec::new() };
        };
        let mut rows: Vec<Row> = Vec::new();
        let result = match change {
            Change::Config(config) => self.replace(config, &mut rows),
            Change::Key(update) => {
                let (outcome, changed) = self.keys.apply(stamp, &update);
                let row = |(key, claim): (Bytes, Option<Claim>)| {
                    (claim_row(&key), claim.map(|claim| encode(&claim)))
                };
                rows.extend(changed.claims.into_iter().map(row));
                let row = |(released, at): (ReleasedRun, Option<u64>)| {
                    (release_row(&released), at.map(|at| encode(&at)))
                };
                rows.extend(changed.releases.into_iter().map(row));
                ChangeResult::Key(outcome)
            }
            Change::Read => ChangeResult::Config(self.config.clone()),
            Change::Upstream(update) => {
                let (outcome, changed) = self.ended_upstreams.apply(stamp, &update);
                rows.extend(changed.into_iter().map(|(id, at)| (ended_row(&id), at.map(|at| encode(&at)))));
                ChangeResult::Upstream(outcome)
            }
        };
        Applied { result: encode(&result), rows }
    }

    fn load(&mut self, rows: &Rows) {
        self.config = None;
        let (mut claims, mut releases, mut ends) = (Vec::new(), Vec::new(), Vec::new());
        for (key, value) in rows.iter() {
            if key.as_ref() == CONFIG_ROW {
                self.config = rmp_serde::from_slice(value).ok();
            } else if key.first() == Some(&CLAIM_ROW_PREFIX)
                && let Ok(claim) = rmp_serde::from_slice(value)
            {
                claims.push((key.slice(1..), claim));
            } else if key.first() == Some(&RELEASE_ROW_PREFIX)
                && let (Some(released), Ok(at)) =
                    (parse_release_row(key.slice(1..)), rmp_serde::from_slice(value))
            {
                releases.push((released, at));
            } else if key.first() == Some(&ENDED_ROW_PREFIX)
                && let (Ok(id), Ok(at)) = (std::str::from_utf8(&key[1..]), rmp_serde::from_slice(value))
            {
                ends.push((id.to_owned(), at));
            }
        }
        self.ended_upstreams.replace_all(ends.into_iter());
        self.keys.replace_all(claims.into_iter(), releases.into_iter());
    }
}
