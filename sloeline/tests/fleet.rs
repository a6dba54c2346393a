//! Daemons that know each other: real processes on loopback, that die, leave, come back, and share a limit.

mod commanded;

use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use commanded::{Daemon, LONG, TEXT, load, start, upstream};
use sloeline_membership::view::{MemberStatus, Node as Entry};
use sloeline_standin::etcd::Etcd;
use sloeline_standin::keys::Store;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

const SIZE: usize = 8;
const RATE: usize = 400;

fn text(of: usize, seeds: &str, upstream: SocketAddr) -> String {
    let fleet = format!(
        "[instance]\nname = \"edge-{of}\"\n[fleet]\naddress = \"127.0.0.1:0\"\nseeds = [{seeds}]\nmost = {SIZE}\n\
         period = \"100ms\"\nkey_used = \"k\"\n[fleet.key.k]\nfile = \"fleet.key\"\n"
    );
    let pools = TEXT
        .replace("127.0.0.1:9", &upstream.to_string())
        .replace("[pool.p]", &format!("[pool.p]\nfleet_rate = {RATE}"));
    fleet + &pools
}

fn daemon(of: usize, seeds: &str, upstream: SocketAddr, key: &str) -> Daemon {
    with_key(of, &text(of, seeds, upstream), key)
}

fn with_key(of: usize, text: &str, key: &str) -> Daemon {
    use std::os::unix::fs::OpenOptionsExt;
    let name = format!("fleet-{of}");
    let folder = std::env::temp_dir().join(format!("sloeline-ctl-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = std::fs::File::options()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(folder.join("fleet.key"));
    file.and_then(|mut file| file.write_all(key.repeat(32).as_bytes())).expect("a key");
    Daemon::with(&name, text)
}

/// Waits until a daemon has logged a line for each of these.
fn told(daemon: &Daemon, of: &[usize], what: &str) {
    let mut left: BTreeSet<String> = of.iter().map(|of| format!("fleet: edge-{of} {what}")).collect();
    left.retain(|wanted| !daemon.begun.iter().any(|line| line.contains(wanted)));
    while !left.is_empty() {
        let line = daemon.log.recv_timeout(LONG).unwrap_or_else(|_| panic!("{left:?} were never told"));
        assert!(!line.contains("defect:"), "{line}");
        left.retain(|wanted| !line.contains(wanted));
    }
}

/// A change to one of two registries.
type Change = (usize, fn(&mut Store));

/// Two registries in a thread of their own, each changed by what it is sent.
fn registries() -> (Vec<SocketAddr>, UnboundedSender<Change>) {
    let (changes, mut wanted) = unbounded_channel::<Change>();
    let (told, at) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async move {
            let etcd: Vec<Etcd> = (0..2).map(|_| Etcd::start(Store::new(7)).expect("a registry")).collect();
            told.send(etcd.iter().map(|e| e.address).collect()).expect("the test");
            while let Some((of, change)) = wanted.recv().await {
                etcd[of].change(change);
            }
        });
    });
    (at.recv().expect("addresses"), changes)
}

fn node(store: &mut Store, name: &str) {
    let entry = Entry {
        identity: name.to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        zone: "default".to_owned(),
        kind: String::new(),
        cell: 0,
        weight: 1.0,
        started: Some(1_000_000),
    };
    let text = sloeline_membership::entry::write(&entry, MemberStatus::Serving);
    store.put(&format!("/p/nodes/{name}"), text, 0);
}

/// Forty of them: one whose registry is ahead, and the others.
const FORTY: usize = 40;

#[test]
fn a_drain_that_one_of_forty_has_heard_of_is_obeyed_by_those_whose_registry_is_behind() {
    let (at, change) = registries();
    let both = |what: fn(&mut Store)| (0..2).for_each(|of| change.send((of, what)).expect("it runs"));
    both(|store| node(store, "a"));
    both(|store| node(store, "b"));
    let daemon = |of: usize, seeds: &str| {
        let source =
            format!("source = [{{ etcd = [\"{}\"], prefix = \"/p/\", check = \"200ms\" }}]\n", at[of.min(1)]);
        let nodes = "nodes = [{ name = \"n\", address = \"127.0.0.1:9\" }, { name = \"m\", address = \"127.0.0.1:9\" }]\n";
        let text = text(20 + of, seeds, "127.0.0.1:9".parse().expect("an address"));
        let text =
            text.replacen(nodes, &source, 1).replace(&format!("most = {SIZE}"), &format!("most = {FORTY}"));
        assert!(text.contains("source") && text.contains("most = 40"));
        with_key(20 + of, &text, "ab")
    };
    let ahead = daemon(0, "");
    let seed = ahead.json(&["fleet"])["address"].as_str().expect("an address").to_owned();
    let mut behind: Vec<Daemon> = (1..FORTY).map(|of| daemon(of, &format!("\"{seed}\""))).collect();
    let everybody: Vec<usize> = (21..20 + FORTY).collect();
    told(&ahead, &everybody, "is there");
    let taking = |daemon: &Daemon| daemon.call("pools")[0]["taking_requests"].as_u64().expect("a number");
    let until = |daemon: &Daemon, expected: u64| {
        let begun = Instant::now();
        while taking(daemon) != expected {
            assert!(begun.elapsed() < LONG, "{} take requests, expected {expected}", taking(daemon));
        }
    };
    let all_until = |daemons: &[Daemon], expected| daemons.iter().for_each(|d| until(d, expected));
    until(&ahead, 2);
    all_until(&behind, 2);
    // One registry has the order, the other does not yet.
    let begun = Instant::now();
    change.send((0, |store| store.put("/p/drains/b", "", 0))).expect("it runs");
    until(&ahead, 1);
    all_until(&behind, 1);
    println!("obeyed by {FORTY} after {:?}, by all but one against their own registry", begun.elapsed());
    assert_eq!(behind[0].call("fleet")["kept_out"], serde_json::json!(["b in p"]));
    assert_eq!(ahead.call("fleet")["kept_out"], serde_json::json!([]));
    // A third is killed at once and comes back, as cold to this as on the first day: told by the others all the same.
    for daemon in behind.iter_mut().step_by(3) {
        let _ = daemon.child.kill();
        let _ = daemon.child.wait();
    }
    for daemon in behind.iter_mut().step_by(3) {
        let folder = daemon.folder.clone();
        (daemon.child, daemon.log) = start(&folder);
    }
    for daemon in behind.iter().step_by(3) {
        daemon.logged("operators' calls on");
        until(daemon, 1);
    }
    // It comes there too, and is taken back there last: each goes by its own from then on.
    change.send((1, |store| store.put("/p/drains/b", "", 0))).expect("it runs");
    for daemon in &behind {
        let begun = Instant::now();
        while daemon.call("fleet")["kept_out"] != serde_json::json!([]) {
            assert!(begun.elapsed() < LONG, "its own registry has come as far");
        }
        assert_eq!(taking(daemon), 1);
    }
    change.send((0, |store| store.delete("/p/drains/b"))).expect("it runs");
    until(&ahead, 2);
    assert_eq!(taking(&behind[0]), 1, "nothing is put in by the word of others");
    change.send((1, |store| store.delete("/p/drains/b"))).expect("it runs");
    all_until(&behind, 2);
}

#[test]
fn daemons_know_who_is_there_and_share_a_limit() {
    let upstream = upstream();
    let mut all = vec![daemon(0, "", upstream, "ab")];
    let seed = all[0].json(&["fleet"])["address"].as_str().expect("an address").to_owned();
    all.extend((1..SIZE).map(|of| daemon(of, &format!("\"{seed}\""), upstream, "ab")));
    for (of, daemon) in all.iter().enumerate() {
        let others: Vec<usize> = (0..SIZE).filter(|other| *other != of).collect();
        told(daemon, &others, "is there");
        let fleet = daemon.json(&["fleet"]);
        assert_eq!((&fleet["alive"], &fleet["counted"]), (&SIZE.into(), &SIZE.into()), "edge-{of}");
    }

    // Calls to cold upstreams come in turns by number, so each has another, though none was given one.
    let number = |of: usize| all[of].json(&["pools"])[0]["number"].as_u64();
    let numbers: Vec<Option<u64>> = (0..SIZE).map(number).collect();
    assert_eq!(numbers, (0..SIZE as u64).map(Some).collect::<Vec<_>>(), "by their names");

    // What all may take together, by two that are asked for more than that.
    let on = Arc::new(AtomicBool::new(true));
    let loads = |all: &[Daemon]| -> Vec<_> {
        all[..2].iter().flat_map(|d| (0..2).map(|_| load(d.public(), on.clone()))).collect()
    };
    let threads = loads(&all);
    // Until they have learned what they want, and the keeper has handed it out.
    let begun = Instant::now();
    let may = |daemon: &Daemon| daemon.json(&["fleet"])["limits"][0]["may"].as_u64().expect("a number");
    while may(&all[0]) + may(&all[1]) < RATE as u64 / 2 {
        assert!(begun.elapsed() < LONG, "nothing is granted");
    }
    on.store(false, Ordering::Relaxed);
    threads.into_iter().for_each(|t| _ = t.join().expect("a load"));
    on.store(true, Ordering::Relaxed);
    let begun = Instant::now();
    let threads = loads(&all);
    std::thread::sleep(Duration::from_secs(3));
    on.store(false, Ordering::Relaxed);
    let served: usize = threads.into_iter().map(|t| t.join().expect("a load")).sum();
    let span = begun.elapsed().as_secs_f64();
    println!("{served} served in {span:.2} s, by two of {SIZE} that share {RATE} a second");
    // And what gathers in a bucket of each.
    assert!((served as f64) <= RATE as f64 * (span + 0.2), "{served} in {span}");
    // Without grants each has a sixteenth.
    assert!(served as f64 > RATE as f64 * span / 3.0, "{served} in {span}");

    // One dies, one leaves: told apart, and only the second makes room.
    let _ = all[7].child.kill();
    let _ = all[7].child.wait();
    let id = rustix::process::Pid::from_child(&all[6].child);
    rustix::process::kill_process(id, rustix::process::Signal::TERM).expect("it runs");
    let _ = all[6].child.wait();
    for (of, daemon) in all[..6].iter().enumerate() {
        // In either order.
        let mut left = BTreeSet::from(["edge-7 is held for dead", "edge-6 has left"]);
        while !left.is_empty() {
            let line =
                all[of].log.recv_timeout(LONG).unwrap_or_else(|_| panic!("{left:?} was never told to {of}"));
            left.retain(|wanted| !line.contains(wanted));
        }
        let fleet = daemon.json(&["fleet"]);
        assert_eq!((&fleet["alive"], &fleet["may_be_sending"]), (&6.into(), &7.into()), "edge-{of}");
    }
    let folder = all[7].folder.clone();
    (all[7].child, all[7].log) = start(&folder);
    all[0].logged("fleet: edge-7 is there");

    // What nobody of the fleet has signed is not heard.
    let stranger = UdpSocket::bind("127.0.0.1:0").expect("a port");
    for bytes in [&b""[..], b"\x01", &[1; 200], &[0; 1400]] {
        stranger.send_to(bytes, &seed).expect("it is sent");
    }
    all[0].logged("found a key that is not known");
    let other = daemon(9, &format!("\"{seed}\""), upstream, "cd");
    all[0].logged("found a signature by another key");
    assert_eq!(other.json(&["fleet"])["alive"], 1);
    assert_eq!(all[0].json(&["fleet"])["alive"], 7);
}
