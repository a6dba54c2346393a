//! What stands between the world and the decisions of one balancer: [`Host`]. Ours is the engine's core, the same that
//! the daemon runs; others are written for comparison.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use finchshift as fs;
use finchshift::{ListKind, Micros, Outcome, RequestId, ServerState};
use sloeline_engine::core::{Arrival, Core, Output};
use sloeline_engine::types::{Answer, DiscoveryEntry};
use sloeline_settings::setup::NameTable;

/// The final answer as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A node's answer.
    Served,
    /// Trying again is harmless; after this wait, 0 for no wish.
    Refused(Micros),
    /// No promise.
    Failed,
}

/// What a balancer wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    /// Send an attempt.
    Send {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Where to.
        node: u32,
    },
    /// Close an attempt's connection; told by [`Host::aborted`].
    Abort {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Why.
        why: Outcome,
    },
    /// Give the final answer.
    Answer {
        /// The request.
        request: RequestId,
        /// The answer.
        verdict: Verdict,
    },
    /// Nothing is kept of the request.
    Settled {
        /// The request.
        request: RequestId,
    },
    /// Close the idle connections to a node.
    CloseIdle {
        /// The node.
        node: u32,
    },
}

/// What the registry says of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct News {
    /// The node.
    pub node: u32,
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// When it started; `None` for long ago.
    pub started: Option<Micros>,
}

/// The decisions of one balancer. All times are its own clock's.
pub trait Host {
    /// Takes a request; `key` is what it asks for.
    fn ask(&mut self, now: Micros, arrival: Arrival, key: u64) -> RequestId;
    /// The caller has left.
    fn gone(&mut self, now: Micros, request: RequestId);
    /// An attempt ended.
    fn ended(&mut self, now: Micros, request: RequestId, attempt: u32, outcome: Outcome);
    /// An attempt was ended as [`Deed::Abort`] asked.
    fn aborted(&mut self, now: Micros, request: RequestId, attempt: u32, why: Outcome, may_have_run: bool);
    /// News of nodes.
    fn list(&mut self, now: Micros, kind: ListKind, news: &[News]);
    /// When [`ring`](Host::ring) is due.
    fn due(&self) -> Option<Micros>;
    /// Rings what is due.
    fn ring(&mut self, now: Micros);
    /// The next thing to do.
    fn deed(&mut self) -> Option<Deed>;
}

/// The daemon's own decisions.
pub struct Ours {
    core: Core<()>,
}

impl Ours {
    /// One with these settings.
    pub fn new(settings: fs::Settings, seed: u64) -> Result<Ours, String> {
        let mut zones = NameTable::default();
        (0..settings.zones).for_each(|zone| _ = zones.id_of(&format!("z{zone}")));
        // It begins with its first list, at that time: begun at 0 it would count as one that has long been running.
        Ok(Ours { core: Core::new(settings, &zones, seed)? })
    }
}

/// A node's address tells its number.
fn address(node: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 | node)), 80)
}

fn number(address: SocketAddr) -> u32 {
    match address.ip() {
        IpAddr::V4(ip) => u32::from(ip) & 0x00ff_ffff,
        IpAddr::V6(_) => 0,
    }
}

impl Host for Ours {
    fn ask(&mut self, now: Micros, arrival: Arrival, _key: u64) -> RequestId {
        self.core.submit(now, arrival)
    }

    fn gone(&mut self, now: Micros, request: RequestId) {
        self.core.caller_gone(now, request);
    }

    fn ended(&mut self, now: Micros, request: RequestId, attempt: u32, outcome: Outcome) {
        let mut ended = sloeline_engine::core::AttemptEnd::from(outcome);
        ended.reply = (outcome == Outcome::Ok).then_some(());
        self.core.attempt_ended(now, request, attempt, ended);
    }

    fn aborted(&mut self, now: Micros, request: RequestId, attempt: u32, why: Outcome, may_have_run: bool) {
        self.core.attempt_aborted(now, request, attempt, why, may_have_run);
    }

    fn list(&mut self, now: Micros, kind: ListKind, news: &[News]) {
        let listed = |n: &News| DiscoveryEntry {
            instance: format!("n-{}", n.node),
            address: address(n.node),
            zone: format!("z{}", n.zone),
            kind: String::new(),
            cell: n.cell,
            state: n.state,
            weight: 1.0,
            started: n.started,
        };
        let listed: Vec<DiscoveryEntry> = news.iter().map(listed).collect();
        self.core.update_list(now, kind, &listed);
    }

    fn due(&self) -> Option<Micros> {
        self.core.next_timer()
    }

    fn ring(&mut self, now: Micros) {
        while self.core.fire_timer(now) {}
    }

    fn deed(&mut self) -> Option<Deed> {
        loop {
            return Some(match self.core.next_output()? {
                Output::Send { request, attempt, to, .. } => {
                    Deed::Send { request, attempt, node: number(to.address) }
                }
                Output::Abort { request, attempt, outcome } => Deed::Abort { request, attempt, why: outcome },
                Output::Answer { request, answer } => {
                    let verdict = match answer {
                        Answer::Served(()) => Verdict::Served,
                        Answer::Refused { retry_after } => Verdict::Refused(retry_after),
                        Answer::Failed(_) => Verdict::Failed,
                    };
                    Deed::Answer { request, verdict }
                }
                Output::Settled { request } => Deed::Settled { request },
                // A node that is gone has no connections any more; lists come by themselves here, and nothing is probed.
                Output::CloseIdle { server } => match self.core.address(server) {
                    Some(address) => Deed::CloseIdle { node: number(address) },
                    None => continue,
                },
                Output::Probe { .. } | Output::Watch | Output::Fetch => continue,
            });
        }
    }
}
