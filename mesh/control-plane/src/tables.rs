//! The state that the chain keeps: the newest configuration and the keyed operations.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use sloeline_chain_replication::{Applied, Row, Tables};
use sloeline_discovery::Config;
use sloeline_idempotency::{Claim, Claims, Outcome, Update};

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
    Key(Update),
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
pub enum Came {
    /// The configuration is taken, or a higher one holds.
    Taken {
        /// The version that holds.
        holds: u32,
    },
    /// Of a keyed operation.
    Key(Outcome),
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

impl Tables for State {
    fn apply(&mut self, stamp: u64, update: &Bytes) -> Applied {
        let Ok(change) = rmp_serde::from_slice::<Change>(update) else {
            return Applied { result: encoded(&Came::Unknown), rows: Vec::new() };
        };
        let mut rows: Vec<Row> = Vec::new();
        let came = match change {
            Change::Config(config) => {
                if self.config.as_ref().is_none_or(|c| c.edition < config.edition) {
                    rows.push((Bytes::from_static(CONFIG), Some(encoded(&config))));
                    self.config = Some(config);
                }
                Came::Taken { holds: self.config.as_ref().map_or(0, |c| c.edition) }
            }
            Change::Key(update) => {
                let (outcome, changed) = self.keys.apply(stamp, &update);
                let row =
                    |(key, record): (Bytes, Option<Claim>)| (key_row(&key), record.map(|r| encoded(&r)));
                rows.extend(changed.into_iter().map(row));
                Came::Key(outcome)
            }
            Change::Read => Came::Config(self.config.clone()),
        };
        Applied { result: encoded(&came), rows }
    }

    fn dump(&self) -> Vec<(Bytes, Bytes)> {
        let config = self.config.iter().map(|c| (Bytes::from_static(CONFIG), encoded(c)));
        config.chain(self.keys.all().map(|(key, claim)| (key_row(key), encoded(claim)))).collect()
    }

    fn load(&mut self, rows: Vec<(Bytes, Bytes)>) {
        self.config = None;
        let mut claims = Vec::new();
        for (key, value) in rows {
            if key.as_ref() == CONFIG {
                self.config = rmp_serde::from_slice(&value).ok();
            } else if key.first() == Some(&KEY)
                && let Ok(claim) = rmp_serde::from_slice(&value)
            {
                claims.push((key.slice(1..), claim));
            }
        }
        self.keys.load(claims.into_iter());
    }
}
