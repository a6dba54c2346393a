//! The entry of a member in a key-value registry: a JSON object, as the announcer writes it.
//!
//! `{"address":"10.0.0.7:8080","zone":"a","kind":"m2","cell":3,"weight":1.0,"state":"serving","startedAtMs":1767225600000}`;
//! only `address` is required. `state` is `serving`, `draining` or `maintenance`. Unknown fields are ignored, so
//! that older readers accept the entries of newer writers.

use std::net::SocketAddr;

use finchshift::Micros;
use serde::{Deserialize, Serialize};
use sloeline_settings::setup::{default_one, micros_to_ms, ms_to_micros};

use crate::view::{Member, MemberStatus, Node};

/// Maximum size of an entry in bytes.
pub const MAX_ENTRY_BYTES: usize = 4096;
/// Maximum length of an identity in bytes.
pub const MAX_IDENTITY_BYTES: usize = 256;

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

/// Parses an entry. The error says in one line what was found and what was expected.
pub fn read(identity: &str, text: &[u8], written: u64) -> Result<Member, String> {
    if identity.is_empty() || identity.len() > MAX_IDENTITY_BYTES {
        return Err(format!(
            "found an identity of {} bytes, expected 1 to {MAX_IDENTITY_BYTES}",
            identity.len()
        ));
    }
    if text.len() > MAX_ENTRY_BYTES {
        return Err(format!("found {} bytes, expected at most {MAX_ENTRY_BYTES}", text.len()));
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
    let status = match text.state {
        State::Serving => MemberStatus::Serving,
        State::Draining => MemberStatus::Draining,
        State::Maintenance => MemberStatus::Maintenance,
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
    Ok(Member { node, status, written })
}

/// Serializes an entry.
pub fn write(node: &Node, status: MemberStatus) -> Vec<u8> {
    let state = match status {
        MemberStatus::Serving => State::Serving,
        MemberStatus::Draining => State::Draining,
        MemberStatus::Maintenance | MemberStatus::Unhealthy => State::Maintenance,
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
