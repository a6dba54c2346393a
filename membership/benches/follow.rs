//! Cost of following a registry: a simulated etcd and a source in one process, over loopback. The results are in
//! docs/design-membership.md. `cargo bench -p sloeline-membership`.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use finchshift::{ListKind, ServerState};
use sloeline_membership::entry;
use sloeline_membership::etcd::Settings;
use sloeline_membership::follow::{SourceConfig, SourceFollower};
use sloeline_membership::plausibility::PlausibilityRules;
use sloeline_membership::view::{MemberStatus, Node};
use sloeline_standin::etcd::Etcd;
use sloeline_standin::keys::{Store, Write};
use tokio::sync::Notify;
use tokio::task::LocalSet;

fn key(n: usize) -> String {
    format!("/p/nodes/node-{n:05}")
}

fn value(n: usize, started: u64) -> Vec<u8> {
    let node = Node {
        identity: format!("node-{n:05}"),
        address: ([10, 0, (n >> 8) as u8, n as u8], 8080).into(),
        zone: format!("zone-{}", n % 3),
        kind: "m2".to_owned(),
        cell: (n % 16) as u32,
        weight: 1.0,
        started: Some(started * 1_000_000),
    };
    entry::write(&node, MemberStatus::Serving)
}

/// Resident memory, in bytes.
fn memory() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0) * 4096
}

/// Processor time of this process, in seconds.
fn processor() -> f64 {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = after.split(' ').skip(12).take(2).filter_map(|n| n.parse::<u64>().ok()).sum();
    ticks as f64 / 100.0
}

#[derive(Default)]
struct Observed {
    out: RefCell<HashSet<String>>,
    listed: RefCell<HashSet<String>>,
    changed: Notify,
}

async fn until(observed: &Observed, test: impl Fn(&Observed) -> bool) {
    loop {
        let changed = observed.changed.notified();
        if test(observed) {
            return;
        }
        changed.await;
    }
}

async fn measure(nodes: usize) {
    let mut store = Store::new(7);
    store.write((0..nodes).map(|n| Write::Put(key(n), value(n, 1), 0)).collect());
    let etcd = Etcd::start(store).expect("a registry");
    let address = etcd.address;
    let settings = Settings {
        prefix: "/p/".to_owned(),
        endpoints: 1,
        instances: 1,
        fleet_call_rate: 200.0,
        check_interval: 5_000_000,
        max_watch_lag: 1_000_000,
        response_timeout: 15_000_000,
        acceptance_delay: 30_000_000,
    };
    let observed = Rc::new(Observed::default());
    let (before, begin) = (memory(), Instant::now());
    let callback_view = observed.clone();
    let origins = [("etcd".to_owned(), SourceConfig::Etcd(settings, vec![address]))];
    let following =
        SourceFollower::start("p", &origins, &PlausibilityRules::default(), 1, move |kind, list| {
            let (mut out, mut listed) = (callback_view.out.borrow_mut(), callback_view.listed.borrow_mut());
            if kind == ListKind::Complete {
                out.clear();
                listed.clear();
            }
            for l in list {
                match l.state {
                    ServerState::Draining => out.insert(l.instance.clone()),
                    _ => out.remove(&l.instance),
                };
                match l.state {
                    ServerState::Gone => listed.remove(&l.instance),
                    _ => listed.insert(l.instance),
                };
            }
            callback_view.changed.notify_waiters();
        });
    until(&observed, |t| t.listed.borrow().len() == nodes).await;
    let (first, first_bytes) = (begin.elapsed(), etcd.bytes());
    let grown = memory().saturating_sub(before);

    // Time from the write of a drain until it is passed to the engine.
    let mut delays = Vec::new();
    for n in 0..200 {
        let name = format!("node-{:05}", n * 7919 % nodes);
        let begin = Instant::now();
        etcd.change(|store| store.put(&format!("/p/drains/{name}"), "", 0));
        until(&observed, |t| t.out.borrow().contains(&name)).await;
        delays.push(begin.elapsed());
        etcd.change(|store| store.delete(&format!("/p/drains/{name}")));
        until(&observed, |t| !t.out.borrow().contains(&name)).await;
    }
    delays.sort_unstable();

    // Changes without pauses: each node is drained, deleted, created again and taken back.
    let (bytes, used, begin) = (etcd.bytes(), processor(), Instant::now());
    for n in 0..nodes {
        let drain = format!("/p/drains/node-{n:05}");
        etcd.change(|store| store.put(&drain, "", 0));
        etcd.change(|store| store.delete(&key(n)));
        etcd.change(|store| store.put(&key(n), value(n, 2), 0));
        etcd.change(|store| store.delete(&drain));
        tokio::task::yield_now().await;
    }
    etcd.change(|store| store.put("/p/drains/node-00000", "", 0));
    until(&observed, |t| t.out.borrow().len() == 1 && t.listed.borrow().len() == nodes).await;
    let churn = (etcd.bytes() - bytes, processor() - used, begin.elapsed());

    // The registry is unreachable, and its past is compacted.
    let mut store = etcd.store();
    drop(etcd);
    tokio::time::sleep(Duration::from_secs(1)).await;
    store.put("/p/drains/node-00001", "", 0);
    store.compact(store.revision);
    let begin = Instant::now();
    let etcd = Etcd::start_at(address, store).expect("the registry again");
    until(&observed, |t| t.out.borrow().len() == 2).await;
    let (resumed, calls) = (begin.elapsed(), etcd.calls());
    println!(
        "{nodes} nodes: first list {first:.1?}, {first_bytes} B, {} KiB of memory; drain to effect {:.2?} median, {:.2?} at 99%; \
         {} events in {} B, {:.2} s of processor (both ends), {:.1?}; resumed past compaction after {resumed:.1?}, {calls} calls",
        grown >> 10,
        delays[100],
        delays[197],
        4 * nodes,
        churn.0,
        churn.1,
        churn.2,
    );
    drop(following);
}

fn main() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let only: Option<usize> = std::env::var("NODES").ok().and_then(|n| n.parse().ok());
    for nodes in [100, 1_000, 10_000].into_iter().filter(|n| only.is_none_or(|only| only == *n)) {
        LocalSet::new().block_on(&runtime, measure(nodes));
    }
}
