//! An announcement against a registry in memory, in emulated time.

mod common;

use common::*;
use finchshift::Micros;
use sloeline_membership::announce::{Announce, Ask, Settings, Told, Wanted};
use sloeline_membership::entry;
use sloeline_membership::view::Standing;
use sloeline_standin::keys::Store;

const LEASE: Micros = 10 * SECOND;

struct Host {
    now: Micros,
    store: Store,
    /// Leases and when each runs out.
    leases: Vec<(i64, Micros)>,
    up: bool,
    /// Calls arrive and are done, but nothing comes back.
    mute: bool,
    announce: Announce,
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
            rate: 100.0,
            answer: 2 * SECOND,
        };
        let (now, store) = (1_000 * SECOND, Store::new(7));
        let announce = Announce::new(now, settings, seed());
        Host { now, store, leases: Vec::new(), up: true, mute: false, announce, calls: 0 }
    }

    fn serve(&mut self) {
        while let Some(ask) = self.announce.ask() {
            self.calls += 1;
            let alive = |host: &Host, lease: i64| host.store.lives(lease);
            let told = match ask {
                Ask::Leave { .. } => continue,
                Ask::Grant { call, .. }
                | Ask::Put { call, .. }
                | Ask::KeepAlive { call, .. }
                | Ask::Revoke { call, .. }
                    if !self.up =>
                {
                    Told::Failed { call, why: "unavailable".into() }
                }
                Ask::Grant { call, seconds, .. } => {
                    let lease = self.store.grant();
                    self.leases.push((lease, self.now + seconds as u64 * SECOND));
                    Told::Granted { call, lease }
                }
                Ask::Put { call, lease, .. } if !alive(self, lease) => {
                    Told::Failed { call, why: "etcdserver: requested lease not found".into() }
                }
                Ask::Put { call, key, value, lease, .. } => {
                    self.store.put(&String::from_utf8_lossy(&key), value, lease);
                    Told::Done { call }
                }
                Ask::KeepAlive { call, lease, .. } if !alive(self, lease) => Told::Alive { call, seconds: 0 },
                Ask::KeepAlive { call, lease, .. } => {
                    let (now, of) = (self.now, |l: &&mut (i64, Micros)| l.0 == lease);
                    self.leases.iter_mut().find(of).expect("it lives").1 = now + LEASE;
                    Told::Alive { call, seconds: 10 }
                }
                Ask::Revoke { call, lease, .. } => {
                    self.store.end(lease);
                    Told::Done { call }
                }
            };
            if !self.mute {
                self.announce.told(self.now, told);
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

    fn standing(&self) -> Option<Standing> {
        let all = self.store.range(b"/p/nodes/", b"/p/nodes0", 0).unwrap_or_default();
        let (_, pair) = all.first()?;
        let member = entry::read("me", &pair.value, 0).expect("an entry");
        assert_eq!(
            (&member.node, pair.lease != 0),
            (&node("me", 80), true),
            "on a lease, with its own start"
        );
        Some(member.standing)
    }
}

#[test]
fn announced_kept_and_taken_back() {
    let mut host = Host::new();
    host.pass(5 * SECOND);
    assert_eq!((host.standing(), host.calls), (None, 0), "nothing before it is ready");
    host.announce.want(host.now, Wanted::Serving);
    host.pass(SECOND);
    assert!(host.announce.stands());
    let revision = host.store.revision;
    host.pass(600 * SECOND);
    assert_eq!(
        (host.standing(), host.store.revision),
        (Some(Standing::Serving), revision),
        "kept, and not written again"
    );
    assert!(host.calls < 190, "a third of the lease between calls: {}", host.calls);
    host.announce.want(host.now, Wanted::Draining);
    host.pass(10 * MS);
    assert_eq!((host.standing(), host.announce.stands()), (Some(Standing::Draining), true));
    host.announce.want(host.now, Wanted::Gone);
    host.pass(10 * MS);
    assert_eq!((host.standing(), host.announce.due()), (None, None));
    host.announce.want(host.now, Wanted::Serving);
    host.pass(60 * SECOND);
    assert_eq!(host.standing(), None, "what has gone does not come back");
}

#[test]
fn a_registry_that_flaps_makes_no_entry_flap() {
    let mut host = Host::new();
    host.announce.want(host.now, Wanted::Serving);
    host.pass(SECOND);
    let revision = host.store.revision;
    // Away for less than the lease, again and again.
    for _ in 0..50 {
        host.up = false;
        host.pass(5 * SECOND);
        host.up = true;
        host.pass(5 * SECOND);
        assert_eq!((host.standing(), host.store.revision), (Some(Standing::Serving), revision));
    }
    // Away for longer: the lease has run out there, and the entry stands again with the same start.
    host.up = false;
    host.pass(60 * SECOND);
    assert_eq!(host.standing(), None);
    host.up = true;
    host.pass(5 * SECOND);
    assert_eq!((host.standing(), host.store.revision), (Some(Standing::Serving), revision + 2));
    // Calls that are done and whose answers are lost: still one entry, under one lease that lives.
    host.mute = true;
    host.pass(6 * SECOND);
    host.mute = false;
    host.pass(10 * SECOND);
    assert_eq!((host.standing(), host.announce.stands()), (Some(Standing::Serving), true));
}

#[test]
fn an_order_to_drain_waits_for_nothing() {
    // While the entry is still on its way, while the registry is away, before there is one.
    let mut host = Host::new();
    host.announce.want(host.now, Wanted::Serving);
    host.mute = true;
    host.serve();
    host.announce.want(host.now, Wanted::Draining);
    host.mute = false;
    host.pass(5 * SECOND);
    assert_eq!(host.standing(), None, "it drains and was never there");

    let mut host = Host::new();
    host.announce.want(host.now, Wanted::Serving);
    host.pass(SECOND);
    host.up = false;
    host.pass(4 * SECOND);
    host.announce.want(host.now, Wanted::Draining);
    host.pass(SECOND);
    assert!(!host.announce.stands());
    host.up = true;
    host.pass(5 * SECOND);
    assert_eq!((host.standing(), host.announce.stands()), (Some(Standing::Draining), true));
    // One that can't be revoked runs out by itself.
    host.up = false;
    host.announce.want(host.now, Wanted::Gone);
    host.pass(11 * SECOND);
    assert_eq!((host.standing(), host.announce.due()), (None, None));
}
