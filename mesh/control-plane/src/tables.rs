//! The state that the chain replicates: the newest configuration and the claims of keyed operations.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sloeline_chain_replication::{Applied, Row, Rows, StateMachine};
use sloeline_discovery::Config;
use sloeline_idempotency::{Claim, ClaimOutcome, ClaimUpdate, Claims};

/// Time in milliseconds for which a key is kept beyond its window. The client sent the first try before the key was claimed,
/// and the clock of the chain's head may differ from the clients' clocks.
const KEY_WINDOW_MARGIN_MS: u64 = 10_000;
/// Key of the row that holds the configuration.
const CONFIG_ROW: &[u8] = b"c";
/// First byte of the keys of rows that hold claims; the key of the operation follows.
const CLAIM_ROW_PREFIX: u8 = b'k';

/// A change of the replicated state, or a read ordered with the changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Replaces the configuration with a valid one, unless the current one has a higher version.
    Config(Config),
    /// Claims or releases the key of an operation.
    Key(ClaimUpdate),
    /// Reads the configuration and changes nothing.
    Read,
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
    /// The change could not be decoded and had no effect.
    #[serde(rename = "Unknown")]
    Undecodable,
}

/// The replicated state: the newest configuration and the claims of keyed operations.
pub struct State {
    /// The newest configuration, if there is one.
    config: Option<Config>,
    /// The claims of keyed operations.
    keys: Claims,
}

impl State {
    /// Creates an empty state. Keys are remembered for `key_window_ms` milliseconds and a margin.
    pub fn new(key_window_ms: u64) -> State {
        State { config: None, keys: Claims::new(key_window_ms + KEY_WINDOW_MARGIN_MS) }
    }

    /// Returns the newest configuration. Other members of the chain may not have stored it yet.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Builds all rows from the state, to verify the rows that were written incrementally.
    pub fn rows(&self) -> Rows {
        let config = self.config.iter().map(|config| (Bytes::from_static(CONFIG_ROW), encode(config)));
        config.chain(self.keys.iter().map(|(key, claim)| (claim_row(key), encode(claim)))).collect()
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
    let mut row = BytesMut::with_capacity(1 + key.len());
    row.put_u8(CLAIM_ROW_PREFIX);
    row.put_slice(key);
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
                rows.extend(changed.into_iter().map(row));
                ChangeResult::Key(outcome)
            }
            Change::Read => ChangeResult::Config(self.config.clone()),
        };
        Applied { result: encode(&result), rows }
    }

    fn load(&mut self, rows: &Rows) {
        self.config = None;
        let mut claims = Vec::new();
        for (key, value) in rows.iter() {
            if key.as_ref() == CONFIG_ROW {
                self.config = rmp_serde::from_slice(value).ok();
            } else if key.first() == Some(&CLAIM_ROW_PREFIX)
                && let Ok(claim) = rmp_serde::from_slice(value)
            {
                claims.push((key.slice(1..), claim));
            }
        }
        self.keys.replace_all(claims.into_iter());
    }
}
