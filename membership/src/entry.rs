//! A member's entry in a key-value registry: a JSON object, the same that the announcer writes.
//!
//! `{"address":"10.0.0.7:8080","zone":"a","kind":"m2","cell":3,"weight":1.0,"state":"serving","startedAtMs":1767225600000}`;
//! only `address` must be there. `state` is `serving`, `draining` or `maintenance`. Unknown members are passed over, so
//! that newer writers and older readers get on.

use std::net::SocketAddr;

use finchshift::Micros;
use serde::{Deserialize, Serialize};
use sloeline_settings::setup::{default_one, micros_to_ms, ms_to_micros};

use crate::view::{Member, Node, Standing};

/// Most bytes of an entry.
pub const MOST_ENTRY: usize = 4096;
/// Most bytes of an identity.
pub const MOST_IDENTITY: usize = 256;

#[derive(Deserialize, Serialize)]
#[serde(rename_all = "camelCase")]
struct Text {
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    #[serde(default = "default_one")]
    weight: f64,
    #[serde(default)]
    state: State,
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Clone, Copy, Default, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
enum State {
    #[default]
    Serving,
    Draining,
    Maintenance,
}

/// Reads an entry; the error says in one line what was found and what was expected.
pub fn read(identity: &str, text: &[u8], written: u64) -> Result<Member, String> {
    if identity.is_empty() || identity.len() > MOST_IDENTITY {
        return Err(format!("found an identity of {} bytes, expected 1 to {MOST_IDENTITY}", identity.len()));
    }
    if text.len() > MOST_ENTRY {
        return Err(format!("found {} bytes, expected at most {MOST_ENTRY}", text.len()));
    }
    let text: Text = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let address: SocketAddr = text
        .address
        .parse()
        .map_err(|_| format!("found address {:?}, expected one with a port", text.address))?;
    if !(text.weight.is_finite() && text.weight > 0.0) {
        return Err(format!("found weight {}, expected more than 0", text.weight));
    }
    let started: Option<Micros> = (text.started_at_ms.is_finite() && text.started_at_ms > 0.0)
        .then(|| ms_to_micros(text.started_at_ms));
    let standing = match text.state {
        State::Serving => Standing::Serving,
        State::Draining => Standing::Draining,
        State::Maintenance => Standing::Maintenance,
    };
    let node = Node {
        identity: identity.to_owned(),
        address,
        zone: text.zone,
        kind: text.kind,
        cell: text.cell,
        weight: text.weight,
        started,
    };
    Ok(Member { node, standing, written })
}

/// Writes an entry.
pub fn write(node: &Node, standing: Standing) -> Vec<u8> {
    let state = match standing {
        Standing::Serving => State::Serving,
        Standing::Draining => State::Draining,
        Standing::Maintenance | Standing::Unhealthy => State::Maintenance,
    };
    let text = Text {
        address: node.address.to_string(),
        zone: node.zone.clone(),
        kind: node.kind.clone(),
        cell: node.cell,
        weight: node.weight,
        state,
        started_at_ms: node.started.map_or(0.0, micros_to_ms),
    };
    serde_json::to_vec(&text).unwrap_or_default()
}
