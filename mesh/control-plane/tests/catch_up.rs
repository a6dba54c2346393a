//! Tests that a machine that was away during many changes catches up. It receives the state in pieces of limited size while
//! the chain keeps running, also if it restarts after every piece. Until it has caught up, it does not serve its old state.
//!
//! `CHANGES=10000 CLAIMS=60000 cargo test --release -p sloeline-control-plane --test catch_up -- --nocapture` prints the
//! measurements listed in docs/CAPACITY.md.

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

/// How long keys are remembered.
const KEY_WINDOW_MS: u64 = 600_000;
/// Number of routes in each configuration.
const ROUTES: usize = 400;
/// Approximate size of a route in bytes.
const ROUTE_BYTES: usize = 200;

/// A simulated disk that syncs every write at once.
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

/// Three simulated core machines. Messages sent in one millisecond arrive in the next.
struct SimulatedCore {
    peers: Vec<SocketAddr>,
    nodes: Vec<Option<Node<State>>>,
    disks: Vec<Disk>,
    /// Messages under way: index of the sender, address of the receiver, and content.
    sent: VecDeque<(usize, SocketAddr, Message)>,
    /// Simulated time in milliseconds.
    now: u64,
    /// Number of results of submitted changes.
    results: usize,
    /// Bytes of state sent to the last machine in snapshot chunks or updates, and the number of chunks.
    supplied: (usize, usize),
    /// Longest time that one of the first two machines took for a step.
    longest_step: Duration,
}

/// Reads a number from an environment variable.
fn number_from_env(name: &str, default: usize) -> usize {
    std::env::var(name).ok().and_then(|n| n.parse().ok()).unwrap_or(default)
}

/// Returns the approximate number of bytes in a payload.
fn payload_bytes(payload: &FetchPayload) -> usize {
    match payload {
        FetchPayload::Entries { entries, .. } => entries.iter().map(|entry| entry.update.len() + 64).sum(),
        FetchPayload::SnapshotChunk { rows, .. } => {
            rows.iter().map(|(key, value)| key.len() + value.len()).sum()
        }
        FetchPayload::RetryLater => 0,
    }
}

impl SimulatedCore {
    /// Starts three machines and waits until all are active.
    fn start() -> SimulatedCore {
        let peers: Vec<SocketAddr> = (1..=3).map(|at| SocketAddr::from(([10, 0, 0, at], 1))).collect();
        let disk =
            || Disk { durable: DurableState::founder(VoterSet::founders(&peers)), rows: BTreeMap::new() };
        let disks = (0..3).map(|_| disk()).collect();
        let mut core = SimulatedCore {
            nodes: vec![None, None, None],
            disks,
            sent: VecDeque::new(),
            now: 0,
            results: 0,
            supplied: (0, 0),
            longest_step: Duration::ZERO,
            peers,
        };
        (0..3).for_each(|at| core.boot(at));
        core.run_until(5_000, |core| core.nodes.iter().flatten().all(Node::active));
        core
    }

    /// Starts or restarts a machine with the state on its disk.
    fn boot(&mut self, at: usize) {
        let settings = chain_settings(self.peers[at], self.peers.clone(), 1);
        let rows: Rows = self.disks[at].rows.clone().into_iter().collect();
        let durable = self.disks[at].durable.clone();
        assert_eq!(durable.digest, rows.digest(), "the rows on disk must match their digest at any time");
        self.nodes[at] = Some(Node::new(settings, durable, rows, State::new(KEY_WINDOW_MS), self.now));
    }

    /// Advances the time by a millisecond and delivers the messages under way.
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

    /// Runs a step of a node, and reports its writes as synced until it makes no more.
    fn act(&mut self, at: usize, step: impl FnOnce(&mut Node<State>, u64)) {
        let mut written = self.act_once(at, step);
        while let Some(token) = written {
            written = self.act_once(at, |node, now| node.write_synced(now, token));
        }
    }

    /// Runs a step of a node, executes its outputs and returns the token of its last write.
    fn act_once(&mut self, at: usize, step: impl FnOnce(&mut Node<State>, u64)) -> Option<u64> {
        let mut written = None;
        let node = self.nodes[at].as_mut()?;
        let started = Instant::now();
        step(node, self.now);
        let outputs = node.take_outputs();
        if at != 2 {
            self.longest_step = self.longest_step.max(started.elapsed());
        }
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    if let Message::FetchReply { payload, .. } = &message
                        && to == self.peers[2]
                    {
                        self.supplied.0 += payload_bytes(payload);
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

    /// Advances the time until `done` returns true, for less than `within` milliseconds. Returns the elapsed time.
    fn run_until(&mut self, within: u64, done: impl Fn(&SimulatedCore) -> bool) -> u64 {
        let start = self.now;
        while !done(self) {
            assert!(self.now - start < within, "not within {within} ms");
            self.step();
        }
        self.now - start
    }

    /// Submits changes to the first machine one by one, and waits for the result of each.
    fn change(&mut self, changes: impl Iterator<Item = Change>) {
        for (request, change) in ((self.now << 32) + 1..).zip(changes) {
            let before = self.results;
            self.act(0, |node, now| node.submit(now, request, change.encoded()));
            self.run_until(5_000, |core| core.results > before);
        }
    }

    /// Returns the sequence number of the last update of a machine.
    fn position(&self, at: usize) -> u64 {
        self.nodes[at].as_ref().map_or(0, |node| node.position().sequence)
    }

    /// Whether the last machine is active and has caught up with the head.
    fn has_caught_up(&self) -> bool {
        self.nodes[2].as_ref().is_some_and(|node| node.active() && node.position() == self.position_of_head())
    }

    /// Returns the position of the head of the chain.
    fn position_of_head(&self) -> sloeline_chain_replication::Position {
        self.nodes[0]
            .as_ref()
            .map(|node| node.position())
            .unwrap_or(sloeline_chain_replication::Position::START)
    }
}

/// Returns a change that replaces the configuration.
fn config(edition: u32) -> Change {
    let body = Bytes::from(vec![b'a' + (edition % 26) as u8; ROUTES * ROUTE_BYTES]);
    Change::Config(Config { edition, body })
}

/// Returns a change that claims a key.
fn claim(number: u64) -> Change {
    let key = Bytes::from(format!("key-{number:020}"));
    Change::Key(ClaimUpdate::Claim { key, run: number, holder: "branch-zone-1-1".to_owned() })
}

/// Starts a core, stops the last machine, and makes changes on the other two.
fn core_with_one_away(changes: u32, claims: u64) -> SimulatedCore {
    let mut core = SimulatedCore::start();
    core.nodes[2] = None;
    core.run_until(5_000, |core| {
        core.nodes[0].as_ref().is_some_and(|node| node.view().is_some_and(|view| view.chain.len() == 2))
    });
    core.change((1..=claims).map(claim));
    core.change((1..=changes).map(config));
    core.longest_step = Duration::ZERO;
    core
}

#[test]
fn a_machine_that_was_away_catches_up_while_the_chain_runs() {
    let claims = number_from_env("CLAIMS", 6_000) as u64;
    let counts = match std::env::var("CHANGES") {
        Ok(_) => vec![100, 1_000, number_from_env("CHANGES", 10_000)],
        Err(_) => vec![100, 300],
    };
    println!("changes   claims   catch-up time ms   bytes   chunks   longest step of the others, ms");
    for changes in counts {
        let mut core = core_with_one_away(changes as u32, claims);
        let target = core.position(0);
        core.boot(2);
        let edition = changes as u32;
        // Meanwhile the chain makes one change every 20 ms.
        let (started, mut made, mut slowest_ms) = (core.now, 0, 0);
        while !core.has_caught_up() {
            assert!(core.now - started < 4_000, "sync_time");
            let node = core.nodes[2].as_ref().expect("a running machine");
            assert!(
                node.position().sequence >= target || !node.holds_lease(core.now),
                "a machine with old state must not hold a lease"
            );
            let submitted = core.now;
            made += 1;
            core.change(std::iter::once(config(edition + made)));
            slowest_ms = slowest_ms.max(core.now - submitted);
            core.run_until(5_000, |core| core.now >= submitted + 20);
        }
        let (bytes, chunks) = core.supplied;
        println!(
            "{changes:7}   {claims:6}   {:16}   {bytes}   {chunks}   {:.1} (slowest change {slowest_ms} ms)",
            core.now - started,
            core.longest_step.as_secs_f64() * 1e3
        );
        // The bytes are limited by the size of the state, not by the number of changes: one configuration, the claims, and a
        // log of 8 MiB.
        assert!(bytes < (claims as usize) * 150 + (20 << 20), "{bytes}");
        let digest = |at: usize| core.nodes[at].as_ref().expect("a running machine").rows().digest();
        assert_eq!(digest(2), digest(0));
    }
}

#[test]
fn a_machine_that_restarts_after_every_chunk_still_catches_up() {
    let mut core = core_with_one_away(5, 12_000);
    // The changes exceed the log, so the machine needs a snapshot.
    core.boot(2);
    let mut starts = 0;
    for chunks in 1..=40 {
        core.supplied = (0, 0);
        core.boot(2);
        let started = core.now;
        while core.supplied.1 < chunks && !core.has_caught_up() {
            core.step();
            assert!(core.now - started < 4_000, "sync_time");
            let digest = core.disks[2].durable.digest;
            let rows: Rows = core.disks[2].rows.clone().into_iter().collect();
            assert_eq!(digest, rows.digest(), "the disk holds a part of a snapshot");
        }
        starts += 1;
        if core.has_caught_up() {
            break;
        }
    }
    assert!(starts > 3, "the snapshot had only {starts} chunks");
    core.run_until(4_000, SimulatedCore::has_caught_up);
}
