//! A Consul source with a simulated registry and emulated time.

use std::collections::BTreeMap;

use finchshift::{Micros, ServerState};
use sloeline_membership::consul::{Command, Consul, Entry, Mode, Reply, Settings};
use sloeline_membership::merge::Members;
use sloeline_membership::plausibility::{PlausibilityRules, Reason};
use sloeline_membership::source::SourceProtocol;
use sloeline_membership::view::MemberStatus;

const SECOND: Micros = 1_000_000;

fn settings() -> Settings {
    Settings {
        service: "checks".to_owned(),
        endpoints: 3,
        instances: 1,
        fleet_call_rate: 100.0,
        poll_wait: 10 * SECOND,
        response_timeout: 2 * SECOND,
        min_poll_interval: SECOND / 10,
        max_staleness: 5 * SECOND,
        allow_stale: false,
    }
}

/// An instance in the format of Consul's API.
fn instance(name: &str, made: u64, changed: u64, checks: &str) -> Entry {
    let text = format!(
        r#"{{"Node":{{"Node":"host","Address":"10.0.0.1","Meta":{{"zone":"far","cell":"3"}}}},
            "Service":{{"ID":"{name}","Service":"checks","Address":"","Port":8080,"Meta":{{"zone":"near"}},
              "Weights":{{"Passing":4,"Warning":1}},"CreateIndex":{made},"ModifyIndex":{changed},"Tags":null}},
            "Checks":[{checks}]}}"#
    );
    serde_json::from_str(&text).expect("Consul's own form")
}

fn check(id: &str, status: &str) -> String {
    format!(r#"{{"CheckID":"{id}","Status":"{status}","ModifyIndex":2}}"#)
}

/// State of a server of the registry.
#[derive(Clone, Copy, PartialEq)]
enum Server {
    Well,
    Down,
    /// It responds from an outdated copy and has no contact to a leader.
    Lost,
    /// It responds from an outdated copy as if that were the newest.
    Behind,
}

struct World {
    now: Micros,
    index: u64,
    entries: BTreeMap<String, Entry>,
    old: (u64, BTreeMap<String, Entry>),
    servers: [Server; 3],
    consul: Consul,
    members: Members,
    /// The held query: its call, server, index, end and mode.
    asked: Option<(u64, usize, u64, Micros, Mode)>,
    calls: u64,
}

impl World {
    fn new(seed: u64, settings: Settings) -> World {
        let now = 1_000 * SECOND;
        let rules = PlausibilityRules { accept_losses: true, ..PlausibilityRules::default() };
        World {
            now,
            index: 5,
            entries: BTreeMap::new(),
            old: (5, BTreeMap::new()),
            servers: [Server::Well; 3],
            consul: Consul::new(now, settings, seed),
            members: Members::new(&["consul".to_owned()], &rules),
            asked: None,
            calls: 0,
        }
    }

    fn set(&mut self, name: &str, entry: Option<Entry>) {
        self.index += 1;
        match entry {
            Some(entry) => self.entries.insert(name.to_owned(), entry),
            None => self.entries.remove(name),
        };
    }

    fn answer(&mut self) {
        let Some((call, server, asked, until, mode)) = self.asked else { return };
        let state = self.servers[server];
        // A consistent read needs a quorum.
        let told = match state {
            Server::Down => Reply::Failed { call, why: "down".into() },
            Server::Lost | Server::Behind if mode == Mode::Consistent => {
                Reply::Failed { call, why: "no leader".into() }
            }
            _ => {
                let old = state != Server::Well;
                let (index, entries) =
                    if old { (self.old.0, &self.old.1) } else { (self.index, &self.entries) };
                if asked != 0 && index == asked && self.now < until {
                    return;
                }
                let (leader, last_contact) =
                    (state != Server::Lost, if state == Server::Lost { 60 * SECOND } else { 0 });
                Reply::Answer {
                    call,
                    index,
                    leader,
                    last_contact,
                    entries: entries.values().cloned().collect(),
                }
            }
        };
        self.asked = None;
        self.consul.handle_reply(self.now, told);
    }

    fn until(&mut self, at: Micros) {
        loop {
            while let Some(command) = self.consul.next_command() {
                match command {
                    Command::Query { call, endpoint, index, wait, mode } => {
                        self.calls += 1;
                        self.asked = Some((call, endpoint, index, self.now + wait, mode));
                    }
                    Command::Leave { .. } => self.asked = None,
                }
            }
            while let Some(update) = self.consul.next_update() {
                assert_eq!(
                    self.members.apply(self.now, 0, update),
                    Ok(()),
                    "the machine itself never goes back"
                );
            }
            let waits = self.asked.map_or(u64::MAX, |(_, server, index, until, _)| {
                let quiet = self.servers[server] == Server::Well && index == self.index;
                let old =
                    matches!(self.servers[server], Server::Lost | Server::Behind) && index == self.old.0;
                if quiet || old { until } else { self.now }
            });
            let next = self.consul.due().min(waits).max(self.now);
            if next > at {
                self.now = at;
                return;
            }
            self.now = next;
            if waits <= self.now {
                self.now += 1000;
                self.answer();
            }
            self.consul.tick(self.now);
        }
    }

    fn pass(&mut self, span: Micros) {
        let at = self.now + span;
        self.until(at);
    }

    fn serving(&self) -> Vec<String> {
        let all = self.members.all();
        let ready = all.into_iter().filter(|v| v.listed.state == ServerState::Ready);
        ready.map(|v| v.listed.instance.trim_start_matches("host/").to_owned()).collect()
    }
}

#[test]
fn an_instance_becomes_a_member() {
    let cases = [
        ("", MemberStatus::Serving, 4.0),
        (r#"{"CheckID":"a","Status":"passing"}"#, MemberStatus::Serving, 4.0),
        (r#"{"CheckID":"a","Status":"warning"}"#, MemberStatus::Serving, 1.0),
        (r#"{"CheckID":"a","Status":"critical"}"#, MemberStatus::Unhealthy, 4.0),
        (r#"{"CheckID":"_node_maintenance","Status":"critical"}"#, MemberStatus::Maintenance, 4.0),
        (
            r#"{"CheckID":"a","Status":"critical"},{"CheckID":"_service_maintenance:a","Status":"critical"}"#,
            MemberStatus::Maintenance,
            4.0,
        ),
    ];
    for (checks, status, weight) in cases {
        let mut world = World::new(1, settings());
        world.set("a", Some(instance("a", 6, 6, checks)));
        world.pass(SECOND);
        let verdict = world.members.resolve("host/a").expect("listed");
        assert_eq!((verdict.reason, verdict.listed.weight), (Reason::Reported(status), weight), "{checks}");
        let (zone, cell) = (verdict.listed.zone.as_str(), verdict.listed.cell);
        assert_eq!((zone, cell), ("near", 3), "the instance's own word before its machine's");
    }
}

#[test]
fn the_rules_of_blocking_queries() {
    let mut world = World::new(1, settings());
    world.set("a", Some(instance("a", 6, 6, "")));
    world.set("b", Some(instance("b", 7, 7, "")));
    world.pass(SECOND);
    assert_eq!(world.serving(), ["a", "b"]);
    // Without changes there is one query per hold. A change is known at once.
    let before = world.calls;
    world.pass(100 * SECOND);
    assert!((9..=11).contains(&(world.calls - before)), "{}", world.calls - before);
    world.set("a", Some(instance("a", 6, 8, &check("_service_maintenance:a", "critical"))));
    world.pass(SECOND / 5);
    assert_eq!(world.serving(), ["b"]);
    // With ten thousand changes per second there are ten queries.
    let before = world.calls;
    for _ in 0..10_000 {
        world.set("b", Some(instance("b", 7, 9, "")));
        world.pass(100);
    }
    assert!(world.calls - before <= 12, "{}", world.calls - before);
    // An instance that is registered again without a start counts as restarted.
    assert_eq!(world.members.resolve("host/b").and_then(|v| v.listed.started), None);
    world.set("b", Some(instance("b", 90_000, 90_000, "")));
    world.pass(SECOND);
    assert!(world.members.resolve("host/b").and_then(|v| v.listed.started).is_some());
    // An unreadable entry leaves the known member; an unreadable new entry is ignored.
    for name in ["b", "c"] {
        let mut garbage = instance(name, 1, 1, "");
        garbage.node.address = "nowhere".into();
        world.set(name, Some(garbage));
    }
    world.pass(SECOND);
    assert_eq!((world.serving(), world.consul.health().unreadable), (vec!["b".to_owned()], 2));
}

#[test]
fn responses_of_a_server_without_a_leader_are_rejected_also_without_a_view() {
    let mut world = World::new(1, settings());
    world.old = (20, BTreeMap::from([("a".to_owned(), instance("a", 6, 6, ""))]));
    world.set("a", Some(instance("a", 6, 60, r#"{"CheckID":"_node_maintenance","Status":"critical"}"#)));
    world.index = 60;
    world.servers = [Server::Lost; 3];
    world.pass(60 * SECOND);
    assert_eq!((world.members.all().len(), world.calls > 5), (0, true));
    world.servers[1] = Server::Well;
    world.pass(20 * SECOND);
    assert_eq!((world.members.all().len(), world.serving().len()), (1, 0));
}

#[test]
fn an_index_that_decreases_or_is_zero() {
    let mut world = World::new(1, settings());
    world.index = 0;
    world.pass(25 * SECOND);
    assert_eq!(world.consul.taken(), 1, "0 counts as 1");
    assert!(
        world.calls <= 251,
        "one that never blocks is asked no more than ten times a second: {}",
        world.calls
    );
    for n in 0..50 {
        world.set("a", Some(instance("a", 6, 6 + n, "")));
    }
    world.set("a", Some(instance("a", 6, 60, r#"{"CheckID":"_node_maintenance","Status":"critical"}"#)));
    world.pass(SECOND);
    assert_eq!(world.serving(), [""; 0]);
    // Two of three servers are behind, with a state before the maintenance: they do not revoke it.
    world.old = (20, BTreeMap::from([("a".to_owned(), instance("a", 6, 6, ""))]));
    for server in [Server::Behind, Server::Lost] {
        world.servers = [Server::Well, server, server];
        for _ in 0..20 {
            world.pass(7 * SECOND);
            assert_eq!(world.serving(), [""; 0]);
            // Another server is queried first in each round.
            world.servers.rotate_left(1);
        }
        world.pass(30 * SECOND);
    }
    assert!(world.consul.health().refused > 0);
    let epoch = |w: &World| w.members.sources().next().and_then(|s| s.2).map(|r| r.epoch);
    assert_eq!(epoch(&world), Some(0));
    // Restored from a backup, as the leader with its quorum confirms: another epoch, in which orders remain.
    world.servers = [Server::Well; 3];
    (world.index, world.entries) = world.old.clone();
    world.pass(30 * SECOND);
    assert_eq!((epoch(&world), world.serving()), (Some(1), vec![]));
    world.set("a", Some(instance("a", 6, 21, "")));
    world.pass(SECOND);
    assert_eq!(world.serving(), ["a"], "written anew");
}

/// Guards against views that differ from the registry's two holds after all faults have ended.
#[test]
fn random_histories_end_with_the_view_of_the_registry() {
    let first = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={first}");
    for n in 0..1000 {
        let seed = u64::wrapping_add(first, n);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut world = World::new(seed, Settings { allow_stale: rng.bool(), ..settings() });
        for _ in 0..40 {
            let name = ["a", "b", "c"][rng.usize(..3)];
            match rng.u8(..8) {
                0..2 => world.set(name, Some(instance(name, 6, world.index, ""))),
                2 => world.set(name, Some(instance(name, 6, world.index, &check("x", "critical")))),
                3 => world
                    .set(name, Some(instance(name, 6, world.index, &check("_node_maintenance", "critical")))),
                4 => world.set(name, None),
                5 => world.old = (world.index, world.entries.clone()),
                _ => {
                    let server = [Server::Well, Server::Down, Server::Lost, Server::Behind][rng.usize(..4)];
                    world.servers[rng.usize(..3)] = server;
                }
            }
            let most = if rng.bool() { SECOND / 5 } else { 8 * SECOND };
            let span = rng.u64(..most);
            world.pass(span);
        }
        world.servers = [Server::Well; 3];
        world.pass(2 * (10 + 1 + 2 + 4) * SECOND);
        let truth: Vec<String> = world
            .entries
            .iter()
            .filter(|(_, e)| e.checks.iter().all(|c| c.status != "critical"))
            .map(|(name, _)| name.clone())
            .collect();
        assert_eq!((world.serving(), world.consul.taken()), (truth, world.index), "SEED={seed}");
        let epoch = world.members.sources().next().and_then(|s| s.2).map(|r| r.epoch);
        assert_eq!(epoch, Some(0), "SEED={seed}: nobody with a quorum ever went back");
    }
}
