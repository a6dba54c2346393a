//! The announcer with a registry in memory and emulated time.

mod common;

use common::*;
use finchshift::Micros;
use sloeline_membership::announce::{Announcer, Command, DesiredState, Reply, Settings};
use sloeline_membership::entry;
use sloeline_membership::view::MemberStatus;
use sloeline_standin::keys::Store;

const LEASE: Micros = 10 * SECOND;

struct Host {
    now: Micros,
    store: Store,
    /// Leases and when each expires.
    leases: Vec<(i64, Micros)>,
    up: bool,
    /// Whether calls are executed but their replies are lost.
    mute: bool,
    announce: Announcer,
    calls: u64,
}

impl Host {
    fn new() -> Host {
        let settings = Settings {
            prefix: PREFIX.to_owned(),
            node: node("me", 80),
            lease: LEASE,
            endpoints: 2,
            instances: 1,
            fleet_call_rate: 100.0,
            response_timeout: 2 * SECOND,
        };
        let (now, store) = (1_000 * SECOND, Store::new(7));
        let announce = Announcer::new(now, settings, seed());
        Host { now, store, leases: Vec::new(), up: true, mute: false, announce, calls: 0 }
    }

    fn serve(&mut self) {
        while let Some(command) = self.announce.next_command() {
            self.calls += 1;
            let alive = |host: &Host, lease: i64| host.store.lives(lease);
            let told = match command {
                Command::Leave { .. } => continue,
                Command::Grant { call, .. }
                | Command::Put { call, .. }
                | Command::KeepAlive { call, .. }
                | Command::Revoke { call, .. }
                    if !self.up =>
                {
                    Reply::Failed { call, why: "unavailable".into() }
                }
                Command::Grant { call, seconds, .. } => {
                    let lease = self.store.grant();
                    self.leases.push((lease, self.now + seconds as u64 * SECOND));
                    Reply::Granted { call, lease }
                }
                Command::Put { call, lease, .. } if !alive(self, lease) => {
                    Reply::Failed { call, why: "etcdserver: requested lease not found".into() }
                }
                Command::Put { call, key, value, lease, .. } => {
                    self.store.put(&String::from_utf8_lossy(&key), value, lease);
                    Reply::Done { call }
                }
                Command::KeepAlive { call, lease, .. } if !alive(self, lease) => {
                    Reply::Alive { call, seconds: 0 }
                }
                Command::KeepAlive { call, lease, .. } => {
                    let (now, of) = (self.now, |l: &&mut (i64, Micros)| l.0 == lease);
                    self.leases.iter_mut().find(of).expect("it lives").1 = now + LEASE;
                    Reply::Alive { call, seconds: 10 }
                }
                Command::Revoke { call, lease, .. } => {
                    self.store.end(lease);
                    Reply::Done { call }
                }
            };
            if !self.mute {
                self.announce.handle_reply(self.now, told);
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            self.serve();
            let due = self.announce.due().unwrap_or(u64::MAX);
            let over = self.leases.iter().filter(|(l, _)| self.store.lives(*l)).map(|(_, at)| *at).min();
            let next = due.min(over.unwrap_or(u64::MAX)).max(self.now);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            let over: Vec<i64> = self.leases.iter().filter(|(_, at)| *at <= next).map(|(l, _)| *l).collect();
            over.iter().filter(|l| self.store.lives(**l)).copied().collect::<Vec<_>>().into_iter().for_each(
                |l| {
                    self.store.end(l);
                },
            );
            self.announce.tick(self.now);
        }
    }

    fn status(&self) -> Option<MemberStatus> {
        let all = self.store.range(b"/p/nodes/", b"/p/nodes0", 0).unwrap_or_default();
        let (_, pair) = all.first()?;
        let member = entry::read("me", &pair.value, 0).expect("an entry");
        assert_eq!(
            (&member.node, pair.lease != 0),
            (&node("me", 80), true),
            "on a lease, with its own start"
        );
        Some(member.status)
    }
}

#[test]
fn an_entry_is_written_renewed_and_revoked() {
    let mut host = Host::new();
    host.pass(5 * SECOND);
    assert_eq!((host.status(), host.calls), (None, 0), "nothing before it is ready");
    host.announce.set_desired(host.now, DesiredState::Serving);
    host.pass(SECOND);
    assert!(host.announce.is_current());
    let revision = host.store.revision;
    host.pass(600 * SECOND);
    assert_eq!(
        (host.status(), host.store.revision),
        (Some(MemberStatus::Serving), revision),
        "kept, and not written again"
    );
    assert!(host.calls < 190, "a third of the lease between calls: {}", host.calls);
    host.announce.set_desired(host.now, DesiredState::Draining);
    host.pass(10 * MS);
    assert_eq!((host.status(), host.announce.is_current()), (Some(MemberStatus::Draining), true));
    host.announce.set_desired(host.now, DesiredState::Gone);
    host.pass(10 * MS);
    assert_eq!((host.status(), host.announce.due()), (None, None));
    host.announce.set_desired(host.now, DesiredState::Serving);
    host.pass(60 * SECOND);
    assert_eq!(host.status(), None, "what has gone does not come back");
}

#[test]
fn an_entry_does_not_change_while_its_registry_is_unreachable_now_and_then() {
    let mut host = Host::new();
    host.announce.set_desired(host.now, DesiredState::Serving);
    host.pass(SECOND);
    let revision = host.store.revision;
    // The registry is repeatedly unreachable for less than the duration of the lease.
    for _ in 0..50 {
        host.up = false;
        host.pass(5 * SECOND);
        host.up = true;
        host.pass(5 * SECOND);
        assert_eq!((host.status(), host.store.revision), (Some(MemberStatus::Serving), revision));
    }
    // Unreachable for longer: the lease has expired, and the entry is written again with the same start.
    host.up = false;
    host.pass(60 * SECOND);
    assert_eq!(host.status(), None);
    host.up = true;
    host.pass(5 * SECOND);
    assert_eq!((host.status(), host.store.revision), (Some(MemberStatus::Serving), revision + 2));
    // Calls are executed but their replies are lost: there is still one entry with one valid lease.
    host.mute = true;
    host.pass(6 * SECOND);
    host.mute = false;
    host.pass(10 * SECOND);
    assert_eq!((host.status(), host.announce.is_current()), (Some(MemberStatus::Serving), true));
}

#[test]
fn a_drain_is_written_at_once() {
    // A drain before the entry is written, and while the registry is unreachable.
    let mut host = Host::new();
    host.announce.set_desired(host.now, DesiredState::Serving);
    host.mute = true;
    host.serve();
    host.announce.set_desired(host.now, DesiredState::Draining);
    host.mute = false;
    host.pass(5 * SECOND);
    assert_eq!(host.status(), None, "it drains and was never there");

    let mut host = Host::new();
    host.announce.set_desired(host.now, DesiredState::Serving);
    host.pass(SECOND);
    host.up = false;
    host.pass(4 * SECOND);
    host.announce.set_desired(host.now, DesiredState::Draining);
    host.pass(SECOND);
    assert!(!host.announce.is_current());
    host.up = true;
    host.pass(5 * SECOND);
    assert_eq!((host.status(), host.announce.is_current()), (Some(MemberStatus::Draining), true));
    // A lease that cannot be revoked expires.
    host.up = false;
    host.announce.set_desired(host.now, DesiredState::Gone);
    host.pass(11 * SECOND);
    assert_eq!((host.status(), host.announce.due()), (None, None));
}
