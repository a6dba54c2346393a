//! A daemon that runs is asked, and ordered, over its control socket.

mod commanded;

use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use commanded::{Daemon, LONG, TEXT, load, start, upstream};
use serde_json::Value;

#[test]
fn every_verb_is_answered_by_a_daemon_that_runs() {
    let daemon = Daemon::new("verbs");
    let status = daemon.json(&["status"]);
    assert_eq!((&status["pools"], &status["routes"], &status["ready"]), (&2.into(), &2.into(), &true.into()));
    let pools = daemon.json(&["pools"]);
    assert_eq!((&pools[0]["pool"], &pools[0]["taking_requests"]), (&"p".into(), &2.into()));
    let members = daemon.json(&["members", "--pool", "p"]);
    assert_eq!(members["p"]["members"].as_array().map(Vec::len), Some(2));
    assert!(members.get("q").is_none());
    assert!(daemon.refused(&["members", "--pool", "x"]).contains("found pool \"x\", expected one of p, q"));
    assert!(daemon.json(&["work"])["kinds"]["reload"]["done"].is_u64());
    assert_eq!(daemon.json(&["operations"]), Value::Array(Vec::new()));
    let explained = daemon.json(&["explain", "GET", "/other"]);
    assert!(explained.as_str().is_some_and(|text| text.contains("others")), "{explained}");
    assert!(daemon.refused(&["explain", "GET", "/a", "-H", "no colon"]).contains("is no \"Name: value\""));

    let taking = |pool: usize| daemon.json(&["pools"])[pool]["taking_requests"].clone();
    assert_eq!(daemon.json(&["out", "n", "--pool", "p"])["pools"], serde_json::json!(["p"]));
    daemon.logged("n out in p (no reason given)");
    assert_eq!((taking(0), taking(1)), (1.into(), 1.into()));
    assert_eq!(daemon.json(&["out", "n"])["pools"], serde_json::json!(["p", "q"]));
    assert_eq!((taking(0), taking(1)), (1.into(), 0.into()));
    assert_eq!(daemon.json(&["back", "n"])["pools"], serde_json::json!(["p", "q"]));
    assert_eq!((taking(0), taking(1)), (2.into(), 1.into()));
    // Put back it counts as just started, in both pools.
    daemon.logged("cold: just started: n");
    for pool in [0, 1] {
        let cold = daemon.json(&["pools"])[pool]["cold"].clone();
        let told =
            cold.as_str().is_some_and(|cold| cold.starts_with("n at 1") && cold.contains("passed over"));
        assert!(told, "{cold}");
    }
    assert!(daemon.refused(&["out", "x"]).contains("found node \"x\""));

    let none = daemon.json(&["changes"]);
    let nothing = serde_json::json!({"new": [], "gone": [], "changed": []});
    assert!(["listeners", "classes", "pools", "routes"].iter().all(|of| none[of] == nothing), "{none}");
    let file = daemon.folder.join("sloeline.toml");
    let changed = TEXT
        .replace("aim = \"1s\"", "aim = \"500ms\"")
        .replace("[pool.q]", "\n\n[pool.r]")
        .replace("pool = \"q\"", "pool = \"r\"");
    std::fs::write(&file, changed).expect("a file");
    let changes = daemon.json(&["changes"]);
    assert_eq!(changes["pools"], serde_json::json!({"new": ["r"], "gone": ["q"], "changed": []}));
    assert_eq!(
        (&changes["classes"]["changed"], &changes["routes"]["changed"]),
        (&serde_json::json!(["look"]), &serde_json::json!(["others"]))
    );
    std::fs::write(&file, &TEXT[..TEXT.len() - 10]).expect("a file");
    assert!(daemon.refused(&["changes"]).contains("sloeline.toml:"));
    // Nothing of that is in force.
    assert_eq!(daemon.json(&["pools"])[1]["pool"], "q");
    // As many as are told to share each upstream, also with a reload.
    let shared = |daemon: &Daemon| daemon.json(&["pools"])[0]["shared_by"].clone();
    assert_eq!(shared(&daemon), 1);
    daemon.change(&format!("[instance]\ncount = 3\n{TEXT}"));
    assert!(daemon.hangup().contains("read again"));
    assert_eq!(shared(&daemon), 3);
    let table = daemon.ctl(&["pools"]);
    let table = String::from_utf8(table.stdout).expect("text");
    assert!(table.lines().count() == 3 && table.contains("taking_requests"), "{table}");
}

#[test]
fn the_socket_is_its_owners_and_silent_or_broken_callers_hold_up_nobody() {
    let mut daemon = Daemon::new("socket");
    let mode = std::fs::metadata(daemon.socket()).expect("a socket").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    let mut silent: Vec<UnixStream> = (0..40)
        .map(|n| {
            let mut stream = UnixStream::connect(daemon.socket()).expect("it listens");
            let text: &[u8] = [&b""[..], b"{\"version\":1,", b"\x00\xff\n", b"{\"version\":9}\n"][n % 4];
            // Those that came first may have made room already.
            let _ = stream.write_all(text);
            stream
        })
        .collect();
    let begun = Instant::now();
    for _ in 0..5 {
        daemon.json(&["status"]);
    }
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?} for five calls", begun.elapsed());
    let mut answer = String::new();
    let last = silent.last_mut().expect("one");
    last.read_to_string(&mut answer).expect("an answer");
    assert!(answer.contains("found a call of version 9, expected 1"), "{answer}");
    // Another daemon at the same socket runs without, and takes nothing away.
    let (mut other, log) = start(&daemon.folder);
    while !log.recv_timeout(LONG).expect("a line").contains("no operators' calls") {}
    let _ = other.kill();
    let _ = other.wait();
    daemon.json(&["status"]);
    // One that was killed leaves its file, and the next takes its place.
    let _ = daemon.child.kill();
    let _ = daemon.child.wait();
    assert!(daemon.socket().exists());
    (daemon.child, daemon.log) = start(&daemon.folder);
    daemon.logged("operators' calls on");
    daemon.json(&["status"]);
    // A file that is no socket is left alone.
    let own = daemon.folder.join("sloeline.toml");
    std::fs::write(&own, TEXT.replace("\"control\"", "\"sloeline.toml\"")).expect("a file");
    let _ = daemon.child.kill();
    let _ = daemon.child.wait();
    (daemon.child, daemon.log) = start(&daemon.folder);
    daemon.logged("found something else than a socket");
    assert!(own.is_file());
}

#[test]
fn calls_are_answered_within_a_second_at_full_load_and_beside_silent_callers() {
    let text = TEXT.replace("127.0.0.1:9", &upstream().to_string());
    let daemon = Daemon::with("load", &text);
    let on = Arc::new(AtomicBool::new(true));
    let threads: Vec<_> = (0..8).map(|_| load(daemon.public(), on.clone())).collect();
    let silent: Vec<UnixStream> =
        (0..15).map(|_| UnixStream::connect(daemon.socket()).expect("it listens")).collect();
    let mut longest = Duration::ZERO;
    for _ in 0..200 {
        for verb in ["status", "pools", "budgets", "orders", "snapshot"] {
            let begun = Instant::now();
            assert!(!daemon.call(verb).is_null());
            longest = longest.max(begun.elapsed());
        }
    }
    on.store(false, Ordering::Relaxed);
    let served: usize = threads.into_iter().map(|t| t.join().expect("a load")).sum();
    println!("1,000 calls beside {served} requests and 15 who say nothing: the longest took {longest:?}");
    assert!(longest < Duration::from_secs(1) && served > 100, "{longest:?} beside {served} requests");
    drop(silent);
}

/// An upstream that is put back counts as just started, is passed over while another is warm, and is told as warm in the end.
#[test]
fn what_has_just_started_is_told_and_told_again_when_it_is_warm() {
    let text = TEXT
        .replace("[pool.p]", "[pool.p]\nwarm_after = \"2s\"")
        .replace("127.0.0.1:9", &upstream().to_string());
    let daemon = Daemon::with("cold", &text);
    daemon.json(&["out", "n", "--pool", "p"]);
    daemon.json(&["back", "n", "--pool", "p"]);
    daemon.logged("cold: just started: n");
    (0..20).for_each(|_| assert!(daemon.get("/").contains(" 200 ")));
    let lines = daemon.logged("cold: warm or gone, passed over ");
    let passed = lines.last().and_then(|line| line.split(' ').find_map(|word| word.parse::<u32>().ok()));
    assert!(passed.is_some_and(|passed| passed > 0), "{lines:?}");
    assert_eq!(daemon.json(&["pools"])[0]["cold"], "");
}
