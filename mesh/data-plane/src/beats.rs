//! What this machine's upstream tells of itself, without I/O.

use std::collections::VecDeque;
use std::net::SocketAddr;

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use sloeline_discovery::{Condition, Upstream};
use sloeline_process_settings::span::Span;

/// Earlier lives that are remembered: what still comes of them says nothing any more.
const MOST_PAST: usize = 64;
/// Most slots that are believed.
const MOST_SLOTS: u32 = 65_536;

/// A beat.
#[derive(Clone, Debug, Deserialize)]
pub struct Beat {
    /// Where the upstream serves.
    pub address: SocketAddr,
    /// What it is.
    pub notice: Notice,
    /// How it is.
    pub tracking: Tracking,
}

/// What an upstream is.
#[derive(Clone, Debug, Deserialize)]
pub struct Notice {
    /// Its service.
    pub line: String,
    /// The version of its software.
    #[serde(default)]
    pub edition: String,
    /// Requests that it works on at once.
    pub berths: u32,
}

/// How an upstream is.
#[derive(Clone, Debug, Deserialize)]
pub struct Tracking {
    /// `accepting` or `closing`.
    pub condition: Said,
    /// Goes up with every beat.
    pub sequence: u64,
    /// How much longer it is slow.
    #[serde(default)]
    pub cold_left: Span,
}

/// What an upstream says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Said {
    /// It takes requests.
    Accepting,
    /// It is about to end.
    Closing,
}

impl Beat {
    /// Reads a beat.
    pub fn parse(body: &[u8]) -> Result<Beat> {
        let beat: Beat = serde_json::from_slice(body).context("read the beat")?;
        let berths = beat.notice.berths;
        if berths == 0 || berths > MOST_SLOTS {
            bail!("notice.berths: found {berths}, expected 1 to {MOST_SLOTS}");
        }
        if beat.notice.line.is_empty() || beat.notice.line.len() > 255 {
            bail!("notice.line: found {} bytes, expected 1 to 255", beat.notice.line.len());
        }
        Ok(beat)
    }
}

/// The upstream of this machine, as far as it has told.
#[derive(Debug, Default)]
pub struct Beats {
    current: Option<(Upstream, SocketAddr, u64)>,
    past: VecDeque<String>,
}

impl Beats {
    /// The upstream.
    pub fn upstream(&self) -> Option<&Upstream> {
        self.current.as_ref().map(|(u, ..)| u)
    }

    /// Where it serves.
    pub fn address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|(_, address, _)| *address)
    }

    /// Takes a beat, at a time in Unix microseconds; tells whether it says something new.
    pub fn beat(&mut self, now: u64, id: &str, beat: &Beat) -> bool {
        if self.past.iter().any(|past| past == id) {
            return false;
        }
        let condition = match beat.tracking.condition {
            Said::Accepting => Condition::Accepting,
            Said::Closing => Condition::Closing,
        };
        let (known, sequence) = match &self.current {
            Some((upstream, _, sequence)) if upstream.id == id => (Some(upstream), *sequence),
            _ => (None, 0),
        };
        if known.is_some() && beat.tracking.sequence <= sequence {
            return false;
        }
        // Whoever is closing stays so.
        let condition = match known.map(|u| u.condition) {
            Some(Condition::Closing) => Condition::Closing,
            _ => condition,
        };
        // The first word of it holds: later ones differ by what the way took.
        let cold_until_micros = match known {
            Some(upstream) => upstream.cold_until_micros,
            None => Some(now + beat.tracking.cold_left.0).filter(|_| beat.tracking.cold_left.0 > 0),
        };
        let upstream = Upstream {
            id: id.to_owned(),
            service: beat.notice.line.clone(),
            software_version: beat.notice.edition.clone(),
            slots: beat.notice.berths,
            condition,
            cold_until_micros,
        };
        let new = known != Some(&upstream);
        if known.is_none()
            && let Some((before, ..)) = self.current.take()
        {
            self.end(before.id);
        }
        self.current = Some((upstream, beat.address, beat.tracking.sequence));
        new
    }

    /// It has left; tells whether that is new.
    pub fn leave(&mut self, id: &str) -> bool {
        match &mut self.current {
            Some((upstream, ..)) if upstream.id == id => {
                let new = upstream.condition != Condition::Down;
                upstream.condition = Condition::Down;
                self.end(id.to_owned());
                new
            }
            _ => false,
        }
    }

    /// It can't be reached; tells whether that is new. Its next beat says that it can.
    pub fn unreachable(&mut self, id: &str) -> bool {
        match &mut self.current {
            Some((upstream, ..)) if upstream.id == id && upstream.condition == Condition::Accepting => {
                upstream.condition = Condition::Down;
                true
            }
            _ => false,
        }
    }

    fn end(&mut self, id: String) {
        self.past.push_back(id);
        if self.past.len() > MOST_PAST {
            self.past.pop_front();
        }
    }
}
