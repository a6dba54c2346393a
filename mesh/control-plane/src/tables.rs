//! The state that the chain keeps: the newest configuration and the keyed operations.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sloeline_chain_replication::{Applied, Row, Rows, StateMachine};
use sloeline_discovery::Config;
use sloeline_idempotency::{Claim, ClaimOutcome, ClaimUpdate, Claims};

/// A key is kept so much longer than its window, in milliseconds: its first try was sent before it was claimed, and the
/// head's time is not the clients'.
const KEPT_LONGER: u64 = 10_000;
const CONFIG: &[u8] = b"c";
const KEY: u8 = b'k';

/// An update of the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A configuration that is valid. The highest version holds.
    Config(Config),
    /// Of a keyed operation.
    Key(ClaimUpdate),
    /// Nothing: its result is the configuration that holds.
    Read,
}

impl Change {
    /// As the chain carries it.
    pub fn encoded(&self) -> Bytes {
        // It is made of plain values only, which are never refused.
        rmp_serde::to_vec(self).unwrap_or_default().into()
    }
}

/// What came of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ChangeResult {
    /// The configuration is taken, or a higher one holds.
    Taken {
        /// The version that holds.
        holds: u32,
    },
    /// Another content holds under this version.
    Conflict {
        /// The version.
        holds: u32,
    },
    /// Of a keyed operation.
    Key(ClaimOutcome),
    /// The configuration that holds.
    Config(Option<Config>),
    /// It could not be read.
    Unknown,
}

/// All of it.
pub struct State {
    config: Option<Config>,
    keys: Claims,
}

impl State {
    /// Nothing yet; keys are remembered for this window, in milliseconds.
    pub fn new(key_window: u64) -> State {
        State { config: None, keys: Claims::new(key_window + KEPT_LONGER) }
    }

    /// The newest configuration, be it kept by all or not yet.
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// All rows, made anew from the state: for checks against those that were written one by one.
    pub fn rows(&self) -> Rows {
        let config = self.config.iter().map(|config| (Bytes::from_static(CONFIG), encoded(config)));
        config.chain(self.keys.iter().map(|(key, claim)| (key_row(key), encoded(claim)))).collect()
    }

    /// The highest version holds; under one version there is one content.
    fn replace(&mut self, config: Config, rows: &mut Vec<Row>) -> ChangeResult {
        if let Some(held) = self.config.as_ref().filter(|held| held.edition >= config.edition) {
            let conflict = held.edition == config.edition && held.body != config.body;
            let holds = held.edition;
            return if conflict { ChangeResult::Conflict { holds } } else { ChangeResult::Taken { holds } };
        }
        let holds = config.edition;
        rows.push((Bytes::from_static(CONFIG), Some(encoded(&config))));
        self.config = Some(config);
        ChangeResult::Taken { holds }
    }

    /// The keyed operations.
    pub fn keys(&self) -> &Claims {
        &self.keys
    }
}

fn encoded<T: Serialize>(value: &T) -> Bytes {
    rmp_serde::to_vec(value).unwrap_or_default().into()
}

fn key_row(key: &Bytes) -> Bytes {
    let mut row = BytesMut::with_capacity(1 + key.len());
    row.put_u8(KEY);
    row.put_slice(key);
    row.freeze()
}

impl StateMachine for State {
    fn apply(&mut self, stamp: u64, update: &Bytes) -> Applied {
        let Ok(change) = rmp_serde::from_slice::<Change>(update) else {
            return Applied { result: encoded(&ChangeResult::Unknown), rows: Vec::new() };
        };
        let mut rows: Vec<Row> = Vec::new();
        let result = match change {
            Change::Config(config) => self.replace(config, &mut rows),
            Change::Key(update) => {
                let (outcome, changed) = self.keys.apply(stamp, &update);
                let row =
                    |(key, record): (Bytes, Option<Claim>)| (key_row(&key), record.map(|r| encoded(&r)));
                rows.extend(changed.into_iter().map(row));
                ChangeResult::Key(outcome)
            }
            Change::Read => ChangeResult::Config(self.config.clone()),
        };
        Applied { result: encoded(&result), rows }
    }

    fn load(&mut self, rows: &Rows) {
        self.config = None;
        let mut claims = Vec::new();
        for (key, value) in rows.iter() {
            if key.as_ref() == CONFIG {
                self.config = rmp_serde::from_slice(value).ok();
            } else if key.first() == Some(&KEY)
                && let Ok(claim) = rmp_serde::from_slice(value)
            {
                claims.push((key.slice(1..), claim));
            }
        }
        self.keys.replace_all(claims.into_iter());
    }
}
