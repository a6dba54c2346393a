//! Tracks the state of this machine's upstream from its heartbeats, without I/O.

use std::collections::VecDeque;
use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use sloeline_discovery::{Condition, Upstream};
use sloeline_process_settings::span::Span;

/// Number of instances that are remembered of each kind: those that have ended, those whose end the core has stored, and those
/// that another instance has replaced.
const MAX_REMEMBERED_IDS: usize = 64;
/// Number of heartbeats in a row, without one of the present instance between them, that bring back an instance that another
/// one had replaced. A single late heartbeat must not do so.
const RETURN_HEARTBEATS: u32 = 2;
/// Maximum length of an upstream's identifier in bytes.
const MAX_ID_BYTES: usize = 255;
/// Maximum number of slots that an upstream may report.
const MAX_SLOTS: u32 = 65_536;

/// Whether an upstream may have this identifier. It is sent in a header, so it must be one that arrives as it was sent: 1 to
/// 255 bytes without control characters, spaces and tabs.
pub fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_BYTES).contains(&id.len()) && id.bytes().all(|byte| byte > b' ' && byte != 0x7f)
}

/// A heartbeat message of an upstream, as it is sent in JSON.
#[derive(Clone, Debug, Deserialize)]
pub struct Heartbeat {
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Fixed properties of the upstream.
    #[serde(rename = "notice")]
    pub info: UpstreamInfo,
    /// Present status of the upstream.
    #[serde(rename = "tracking")]
    pub status: UpstreamStatus,
}

/// Fixed properties of an upstream instance.
#[derive(Clone, Debug, Deserialize)]
pub struct UpstreamInfo {
    /// Name of the service that the upstream belongs to.
    #[serde(rename = "line")]
    pub service: String,
    /// Version of the upstream's software; empty if the upstream does not report it.
    #[serde(default, rename = "edition")]
    pub software_version: String,
    /// Number of requests that the upstream processes concurrently.
    #[serde(rename = "berths")]
    pub slots: u32,
}

/// Status of an upstream at the time of a heartbeat.
#[derive(Clone, Debug, Deserialize)]
pub struct UpstreamStatus {
    /// Whether the upstream accepts requests or is shutting down.
    pub condition: ReportedCondition,
    /// Increases with every heartbeat of an upstream instance.
    pub sequence: u64,
    /// Remaining warm-up time; zero once the upstream is warm.
    #[serde(default)]
    pub cold_left: Span,
}

/// Condition of an upstream, as the upstream itself reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ReportedCondition {
    /// The upstream accepts requests.
    Accepting,
    /// The upstream is shutting down.
    Closing,
}

impl Heartbeat {
    /// Parses a heartbeat from JSON and checks its values.
    pub fn parse(body: &[u8]) -> Result<Heartbeat> {
        let heartbeat: Heartbeat = serde_json::from_slice(body).context("parse the heartbeat")?;
        let slots = heartbeat.info.slots;
        if slots == 0 || slots > MAX_SLOTS {
            bail!("notice.berths: found {slots}, expected 1 to {MAX_SLOTS}");
        }
        if heartbeat.info.service.is_empty() || heartbeat.info.service.len() > 255 {
            bail!("notice.line: found {} bytes, expected 1 to 255", heartbeat.info.service.len());
        }
        Ok(heartbeat)
    }
}

/// The upstream of this machine, as far as it is known from its heartbeats.
#[derive(Debug, Default)]
pub struct UpstreamTracker {
    /// The present upstream instance, its address and the sequence number of its last heartbeat.
    current: Option<(Upstream, SocketAddr, u64)>,
    /// Identifiers of instances that have reported their end, oldest first.
    ended_ids: VecDeque<String>,
    /// Identifiers of instances whose end the core has stored, oldest first.
    stored_end_ids: VecDeque<String>,
    /// Instances that another one has replaced without having reported their end, oldest first.
    replaced: VecDeque<ReplacedInstance>,
}

/// An instance that another one has replaced. The replacement may have been a late heartbeat of an earlier instance.
#[derive(Debug)]
struct ReplacedInstance {
    /// Identifier of the instance.
    id: String,
    /// Sequence number of its last heartbeat.
    sequence: u64,
    /// Its heartbeats since the last one of the present instance.
    heartbeats: u32,
}

impl UpstreamTracker {
    /// The upstream, once it has sent a heartbeat.
    pub fn upstream(&self) -> Option<&Upstream> {
        self.current.as_ref().map(|(u, ..)| u)
    }

    /// Address at which the upstream accepts requests.
    pub fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|(_, address, _)| *address)
    }

    /// Processes a heartbeat that arrives at the time `now`, in Unix microseconds. Returns whether the known state changed.
    pub fn record_heartbeat(&mut self, now: u64, id: &str, heartbeat: &Heartbeat) -> bool {
        if self.ended_ids.iter().any(|ended| ended == id) || !self.may_be_present(id, heartbeat) {
            return false;
        }
        let condition = match heartbeat.status.condition {
            ReportedCondition::Accepting => Condition::Accepting,
            ReportedCondition::Closing => Condition::Closing,
        };
        let (known, sequence) = match &self.current {
            Some((upstream, _, sequence)) if upstream.id == id => (Some(upstream), *sequence),
            _ => (None, 0),
        };
        if known.is_some() && heartbeat.status.sequence <= sequence {
            return false;
        }
        // An instance that ends before it was known takes nobody's place.
        if known.is_none() && self.current.is_some() && condition == Condition::Closing {
            remember_id(&mut self.ended_ids, id);
            return false;
        }
        // An upstream that has started to close does not accept requests again.
        let condition = match known.map(|u| u.condition) {
            Some(Condition::Closing) => Condition::Closing,
            _ => condition,
        };
        // The first heartbeat determines the end of the warm-up; later ones would shift it by their transmission times.
        let cold_until_micros = match known {
            Some(upstream) => upstream.cold_until_micros,
            None => Some(now + heartbeat.status.cold_left.0).filter(|_| heartbeat.status.cold_left.0 > 0),
        };
        let upstream = Upstream {
            id: id.to_owned(),
            service: heartbeat.info.service.clone(),
            software_version: heartbeat.info.software_version.clone(),
            slots: heartbeat.info.slots,
            condition,
            cold_until_micros,
        };
        let changed = known != Some(&upstream);
        if known.is_none() {
            self.replace_current(id);
        }
        self.replaced.iter_mut().for_each(|replaced| replaced.heartbeats = 0);
        self.current = Some((upstream, heartbeat.address, heartbeat.status.sequence));
        changed
    }

    /// Records that an upstream instance gets no new requests any more, also if it is not known yet. Returns whether the known
    /// state changed.
    pub fn record_leave(&mut self, id: &str) -> bool {
        match &mut self.current {
            Some((upstream, ..)) if upstream.id == id => {
                let changed = upstream.condition != Condition::Down;
                upstream.condition = Condition::Down;
                remember_id(&mut self.ended_ids, id);
                changed
            }
            _ => {
                remember_id(&mut self.ended_ids, id);
                false
            }
        }
    }

    /// Whether anything is known of an instance.
    pub fn knows(&self, id: &str) -> bool {
        self.upstream().is_some_and(|upstream| upstream.id == id)
            || self.ended_ids.iter().any(|ended| ended == id)
            || self.replaced.iter().any(|replaced| replaced.id == id)
    }

    /// Whether the core has stored the end of an instance.
    pub fn is_end_stored(&self, id: &str) -> bool {
        self.stored_end_ids.iter().any(|stored| stored == id)
    }

    /// Records that the core has stored the end of an instance.
    pub fn record_end_stored(&mut self, id: &str) {
        remember_id(&mut self.stored_end_ids, id);
    }

    /// Records that the upstream cannot be reached. Returns whether the known state changed. The next heartbeat makes the
    /// upstream available again.
    pub fn mark_unreachable(&mut self, id: &str) -> bool {
        match &mut self.current {
            Some((upstream, ..)) if upstream.id == id && upstream.condition == Condition::Accepting => {
                upstream.condition = Condition::Down;
                true
            }
            _ => false,
        }
    }

    /// Counts a heartbeat of an instance that another one has replaced. Returns whether the instance may be present: always,
    /// unless it was replaced and has not sent enough heartbeats since.
    fn may_be_present(&mut self, id: &str, heartbeat: &Heartbeat) -> bool {
        let Some(replaced) = self.replaced.iter_mut().find(|replaced| replaced.id == id) else { return true };
        if heartbeat.status.sequence > replaced.sequence {
            replaced.sequence = heartbeat.status.sequence;
            replaced.heartbeats += 1;
        }
        replaced.heartbeats >= RETURN_HEARTBEATS
    }

    /// Makes room for another instance: the present one is remembered as replaced, unless it has ended.
    fn replace_current(&mut self, id: &str) {
        self.replaced.retain(|replaced| replaced.id != id);
        let Some((previous, _, sequence)) = self.current.take() else { return };
        match previous.condition {
            Condition::Closing => remember_id(&mut self.ended_ids, &previous.id),
            _ if self.ended_ids.contains(&previous.id) => {}
            _ => {
                let replaced = ReplacedInstance { id: previous.id, sequence, heartbeats: 0 };
                self.replaced.push_back(replaced);
                if self.replaced.len() > MAX_REMEMBERED_IDS {
                    self.replaced.pop_front();
                }
            }
        }
    }
}

/// Adds an identifier to those that are remembered. The oldest one gives way if there are too many.
fn remember_id(ids: &mut VecDeque<String>, id: &str) {
    if ids.iter().any(|known| known == id) {
        return;
    }
    ids.push_back(id.to_owned());
    if ids.len() > MAX_REMEMBERED_IDS {
        ids.pop_front();
    }
}
