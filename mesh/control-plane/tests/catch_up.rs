//! A machine that was away comes back after many changes: it is brought up to date in bounded pieces beside the running
//! chain, also when it starts anew at every piece, and neither votes with nor hands out old state meanwhile.
//!
//! `CHANGES=10000 CLAIMS=60000 cargo test --release -p sloeline-control-plane --test catch_up -- --nocapture` prints the
//! figures of docs/CAPACITY.md.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sloeline_chain_replication::message::FetchPayload;
use sloeline_chain_replication::{DurableState, Message, Node, Output, Rows, VoterSet, Write};
use sloeline_control_plane::core::chain_settings;
use sloeline_control_plane::tables::{Change, State};
use sloeline_discovery::Config;
use sloeline_idempotency::ClaimUpdate;

const KEY_WINDOW: u64 = 600_000;
/// Routes of each configuration, and about the bytes of one.
const ROUTES: usize = 400;
const ROUTE_BYTES: usize = 200;

/// A disk that syncs at once.
struct Disk {
    durable: DurableState,
    rows: BTreeMap<Bytes, Bytes>,
}

impl Disk {
    fn apply(&mut self, write: &Write) {
        if write.replace_all {
            self.rows.clear();
        }
        for (key, value) in &write.rows {
            match value {
                Some(value) => self.rows.insert(key.clone(), value.clone()),
                None => self.rows.remove(key),
            };
        }
        self.durable = write.durable.clone();
    }
}

/// Three machines; each millisecond all that was sent in the one before arrives.
struct Core {
    peers: Vec<SocketAddr>,
    nodes: Vec<Option<Node<State>>>,
    disks: Vec<Disk>,
    sent: VecDeque<(usize, SocketAddr, Message)>,
    now: u64,
    results: usize,
    /// Bytes of state that were sent to the last machine, in pieces or as updates, and how many pieces.
    supplied: (usize, usize),
    /// The longest single step of a machine that works.
    longest: Duration,
}

fn number_from(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

fn supplied_bytes(payload: &FetchPayload) -> usize {
    match payload {
        FetchPayload::Entries { entries, .. } => entries.iter().map(|entry| entry.update.len() + 64).sum(),
        FetchPayload::SnapshotChunk { rows, .. } => {
            rows.iter().map(|(key, value)| key.len() + value.len()).sum()
        }
        FetchPayload::RetryLater => 0,
    }
}

impl Core {
    fn start() -> Core {
        let peers: Vec<SocketAddr> = (1..=3).map(|at| SocketAddr::from(([10, 0, 0, at], 1))).collect();
        let disk =
            || Disk { durable: DurableState::founder(VoterSet::founders(&peers)), rows: BTreeMap::new() };
        let disks = (0..3).map(|_| disk()).collect();
        let mut core = Core {
            nodes: vec![None, None, None],
            disks,
            sent: VecDeque::new(),
            now: 0,
            results: 0,
            supplied: (0, 0),
            longest: Duration::ZERO,
            peers,
        };
        (0..3).for_each(|at| core.boot(at));
        core.run_until(5_000, |core| core.nodes.iter().flatten().all(Node::active));
        core
    }

    fn boot(&mut self, at: usize) {
        let settings = chain_settings(self.peers[at], self.peers.clone(), 1);
        let rows: Rows = self.disks[at].rows.clone().into_iter().collect();
        let durable = self.disks[at].durable.clone();
        assert_eq!(durable.digest, rows.digest(), "what is on disk is whole at any time");
        self.nodes[at] = Some(Node::new(settings, durable, rows, State::new(KEY_WINDOW), self.now));
    }

    fn step(&mut self) {
        self.now += 1;
        let arriving = std::mem::take(&mut self.sent);
        for (from, to, message) in arriving {
            let Some(to) = self.peers.iter().position(|peer| *peer == to) else { continue };
            let from = self.peers[from];
            self.act(to, |node, now| node.receive(now, from, message));
        }
        for at in 0..3 {
            if self.now.is_multiple_of(50) {
                self.act(at, |node, now| node.tick(now));
            }
        }
    }

    fn act(&mut self, at: usize, step: impl FnOnce(&mut Node<State>, u64)) {
        let mut written = self.act_once(at, step);
        while let Some(token) = written {
            written = self.act_once(at, |node, now| node.write_synced(now, token));
        }
    }

    /// Does a step, and tells which write it made.
    fn act_once(&mut self, at: usize, step: impl FnOnce(&mut Node<State>, u64)) -> Option<u64> {
        let mut written = None;
        let node = self.nodes[at].as_mut()?;
        let started = Instant::now();
        step(node, self.now);
        let outputs = node.take_outputs();
        if at != 2 {
            self.longest = self.longest.max(started.elapsed());
        }
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    if let Message::FetchReply { payload, .. } = &message
                        && to == self.peers[2]
                    {
                        self.supplied.0 += supplied_bytes(payload);
                        self.supplied.1 += usize::from(matches!(payload, FetchPayload::SnapshotChunk { .. }));
                    }
                    self.sent.push_back((at, to, message));
                }
                Output::Write(write) => {
                    self.disks[at].apply(&write);
                    written = Some(write.token);
                }
                Output::Result { .. } => self.results += 1,
            }
        }
        written
    }

    fn run_until(&mut self, within: u64, done: impl Fn(&Core) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < within, "not within {within} ms");
            self.step();
        }
        self.now - start
    }

    /// Makes changes at the first machine, a few at a time.
    fn change(&mut self, changes: impl Iterator<Item = Change>) {
        for (request, change) in ((self.now << 32) + 1..).zip(changes) {
            let before = self.results;
            self.act(0, |node, now| node.submit(now, request, change.encoded()));
            self.run_until(5_000, |core| core.results > before);
        }
    }

    fn position(&self, at: usize) -> u64 {
        self.nodes[at].as_ref().map_or(0, |node| node.position().sequence)
    }

    fn is_back(&self) -> bool {
        self.nodes[2].as_ref().is_some_and(|node| node.active() && node.position() == self.position_of_head())
    }

    fn position_of_head(&self) -> sloeline_chain_replication::Position {
        self.nodes[0]
            .as_ref()
            .map(|node| node.position())
            .unwrap_or(sloeline_chain_replication::Position::START)
    }
}

fn config(edition: u32) -> Change {
    let body = Bytes::from(vec![b'a' + (edition % 26) as u8; ROUTES * ROUTE_BYTES]);
    Change::Config(Config { edition, body })
}

fn claim(number: u64) -> Change {
    let key = Bytes::from(format!("key-{number:020}"));
    Change::Key(ClaimUpdate::Claim { key, run: number, holder: "branch-zone-1-1".to_owned() })
}

/// Two of three go on without the third, and change much.
fn with_one_away(changes: u32, claims: u64) -> Core {
    let mut core = Core::start();
    core.nodes[2] = None;
    core.run_until(5_000, |core| {
        core.nodes[0].as_ref().is_some_and(|node| node.view().is_some_and(|view| view.chain.len() == 2))
    });
    core.change((1..=claims).map(claim));
    core.change((1..=changes).map(config));
    core.longest = Duration::ZERO;
    core
}

#[test]
fn a_machine_that_was_away_catches_up_beside_the_running_chain() {
    let claims = number_from("CLAIMS", 6_000) as u64;
    let counts = match std::env::var("CHANGES") {
        Ok(_) => vec![100, 1_000, number_from("CHANGES", 10_000)],
        Err(_) => vec![100, 300],
    };
    println!("changes   claims   to come back, ms   bytes   pieces   longest step of the others, ms");
    for changes in counts {
        let mut core = with_one_away(changes as u32, claims);
        let behind = core.position(0);
        core.boot(2);
        let edition = changes as u32;
        // The chain does not stand still for it: one change each 20 ms meanwhile.
        let (started, mut made, mut slowest) = (core.now, 0, 0);
        while !core.is_back() {
            assert!(core.now - started < 4_000, "sync_time");
            let old = core.nodes[2].as_ref().expect("it runs");
            assert!(
                old.position().sequence >= behind || !old.holds_lease(core.now),
                "old state serves nobody"
            );
            let asked = core.now;
            made += 1;
            core.change(std::iter::once(config(edition + made)));
            slowest = slowest.max(core.now - asked);
            core.run_until(5_000, |core| core.now >= asked + 20);
        }
        let (bytes, pieces) = core.supplied;
        println!(
            "{changes:7}   {claims:6}   {:16}   {bytes}   {pieces}   {:.1} (slowest change {slowest} ms)",
            core.now - started,
            core.longest.as_secs_f64() * 1e3
        );
        // Bounded by what is held, not by what was changed: one configuration, the claims, and a log of 8 MiB.
        assert!(bytes < (claims as usize) * 150 + (20 << 20), "{bytes}");
        let digest = |at: usize| core.nodes[at].as_ref().expect("it runs").rows().digest();
        assert_eq!(digest(2), digest(0));
    }
}

#[test]
fn a_machine_that_starts_anew_at_every_piece_comes_back_all_the_same() {
    let mut core = with_one_away(5, 12_000);
    // More than the log holds: it must be a snapshot.
    core.boot(2);
    let mut starts = 0;
    for pieces in 1..=40 {
        core.supplied = (0, 0);
        core.boot(2);
        let started = core.now;
        while core.supplied.1 < pieces && !core.is_back() {
            core.step();
            assert!(core.now - started < 4_000, "sync_time");
            let digest = core.disks[2].durable.digest;
            let rows: Rows = core.disks[2].rows.clone().into_iter().collect();
            assert_eq!(digest, rows.digest(), "a part of a snapshot is on disk");
        }
        starts += 1;
        if core.is_back() {
            break;
        }
    }
    assert!(starts > 3, "the snapshot had {starts} pieces only");
    core.run_until(4_000, Core::is_back);
}
