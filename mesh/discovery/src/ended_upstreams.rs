//! The upstream instances that have reported their end, as the core remembers them. A balancer acknowledges such a report
//! only once the core has stored it, and asks the core about each instance that it does not know, so that an end outlasts
//! the process that acknowledged it.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

/// How long an end is remembered, in milliseconds. Much longer than an instance serves on after its report and a heartbeat
/// is on its way.
pub const ENDED_RETENTION_MS: u64 = 600_000;
/// Maximum number of ends that are remembered; beyond it the oldest are dropped.
pub const MAX_ENDED_UPSTREAMS: usize = 1 << 16;

/// A report or a question about an upstream instance. Both are ordered with all other changes of the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamUpdate {
    /// The instance accepts no new requests from now on.
    End {
        /// Identifier of the instance.
        id: String,
    },
    /// Asks whether the instance has ended, and changes nothing.
    Query {
        /// Identifier of the instance.
        id: String,
    },
}

/// The result of an [`UpstreamUpdate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamOutcome {
    /// The instance has ended and must not get new requests.
    Ended,
    /// No end of the instance is known.
    NotEnded,
}

/// Changed ends: each identifier with the time of its end, or `None` if the end is not remembered any more.
pub type EndChanges = Vec<(String, Option<u64>)>;

/// The ends that are remembered. A state machine without I/O; the caller passes the time.
#[derive(Debug, Default)]
pub struct EndedUpstreams {
    /// Time of each end in milliseconds, by identifier of the instance.
    ended_at: HashMap<String, u64>,
    /// The same ends, oldest first.
    expiry_order: VecDeque<(u64, String)>,
}

impl EndedUpstreams {
    /// Number of remembered ends.
    pub fn len(&self) -> usize {
        self.ended_at.len()
    }

    /// Whether no end is remembered.
    pub fn is_empty(&self) -> bool {
        self.ended_at.is_empty()
    }

    /// Iterates over all identifiers and the times of their ends in milliseconds, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&String, u64)> {
        self.ended_at.iter().map(|(id, at)| (id, *at))
    }

    /// Replaces all remembered ends by the given ones.
    pub fn replace_all(&mut self, ends: impl Iterator<Item = (String, u64)>) {
        self.ended_at = ends.collect();
        let mut order: Vec<_> = self.ended_at.iter().map(|(id, at)| (*at, id.clone())).collect();
        order.sort_unstable();
        self.expiry_order = order.into();
    }

    /// Applies an update at the time `now_ms`, which never decreases from one call to the next. Returns the outcome and all
    /// ends that changed, including those that are not remembered any more.
    pub fn apply(&mut self, now_ms: u64, update: &UpstreamUpdate) -> (UpstreamOutcome, EndChanges) {
        match update {
            UpstreamUpdate::Query { id } => match self.ended_at.contains_key(id) {
                true => (UpstreamOutcome::Ended, EndChanges::new()),
                false => (UpstreamOutcome::NotEnded, EndChanges::new()),
            },
            UpstreamUpdate::End { id } => (UpstreamOutcome::Ended, self.add(now_ms, id)),
        }
    }

    /// Remembers an end, and drops the ends that are too old or too many.
    fn add(&mut self, now_ms: u64, id: &str) -> EndChanges {
        let mut changed = self.expire(now_ms);
        if !self.ended_at.contains_key(id) {
            self.ended_at.insert(id.to_owned(), now_ms);
            self.expiry_order.push_back((now_ms, id.to_owned()));
            changed.push((id.to_owned(), Some(now_ms)));
        }
        changed
    }

    /// Drops the ends that are older than [`ENDED_RETENTION_MS`], and the oldest while there is no room for another one.
    fn expire(&mut self, now_ms: u64) -> EndChanges {
        let mut changed = EndChanges::new();
        while let Some((at, _)) = self.expiry_order.front() {
            let is_old = at.saturating_add(ENDED_RETENTION_MS) < now_ms;
            if !is_old && self.ended_at.len() < MAX_ENDED_UPSTREAMS {
                break;
            }
            let Some((_, id)) = self.expiry_order.pop_front() else { break };
            self.ended_at.remove(&id);
            changed.push((id, None));
        }
        changed
    }
}
