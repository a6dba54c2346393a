//! Operators' orders: they outlive the process, end by themselves, and do what they say to requests.

mod commanded;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpListener;
use std::os::unix::fs::OpenOptionsExt;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use commanded::{Daemon, LONG, TEXT};
use serde_json::{Value, json};
use sloeline_operations::signed_call::{Secret, SignedCall, hex};

fn kept() -> String {
    TEXT.replace("socket = \"control\"", "socket = \"control\"\norders = \"orders\"")
}

fn unix() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.expect("a clock").as_micros() as u64
}

fn standing(daemon: &Daemon) -> Vec<(Value, Value, Value)> {
    let orders = daemon.json(&["orders"]);
    let rows = orders["standing"].as_array().cloned().unwrap_or_default();
    rows.into_iter().map(|row| (row["what"].clone(), row["node"].clone(), row["why"].clone())).collect()
}

#[test]
fn orders_outlive_a_crash_and_end_by_themselves_also_while_nothing_runs() {
    let mut daemon = Daemon::with("outlive", &kept());
    let taking = |daemon: &Daemon| -> Vec<u64> {
        let pools = daemon.json(&["pools"]);
        let rows = pools.as_array().expect("rows");
        rows.iter().map(|row| row["taking_requests"].as_u64().expect("a number")).collect()
    };
    let out = daemon.json(&["--who", "anna", "out", "n", "--why", "sick"]);
    assert_eq!(
        (&out["kept"], &out["pools"], &out["revision"]),
        (&json!(true), &json!(["p", "q"]), &json!(1))
    );
    daemon.json(&["out", "m", "--for", "200ms"]);
    daemon.logged("came to its end");
    assert_eq!(taking(&daemon), [1, 0]);
    let until = daemon.json(&["out", "m", "--for", "300ms"])["until"].as_u64().expect("an end");
    let _ = daemon.child.kill();
    let _ = daemon.child.wait();
    // Until its end has passed by the clock.
    while unix() <= until {
        std::thread::sleep(Duration::from_micros(until - unix().min(until) + 1));
    }
    let lines = daemon.again();
    assert!(lines.iter().any(|l| l.contains("came to its end while nothing ran")), "{lines:?}");
    assert_eq!(taking(&daemon), [1, 0], "m is back");
    assert!(lines.iter().any(|l| l.contains("order 0 of anna (uid")), "{lines:?}");
    assert_eq!(standing(&daemon), [(json!("out"), json!("n"), json!("sick"))]);
    // What is taken back is so for the next process too.
    assert_eq!(daemon.json(&["back", "n", "--why", "well"])["ended"], json!([0]));
    daemon.again();
    assert_eq!((taking(&daemon), standing(&daemon).len()), (vec![2, 1], 0));
    let past = daemon.json(&["orders"])["past"].clone();
    assert!(past.as_array().is_some_and(|past| past.iter().any(|p| p["why"] == "sick")), "{past}");
    // A revision that others have gone on from.
    let why = daemon.refused(&["standby", "--revision", "1"]);
    assert!(why.contains("found revision 1, expected"), "{why}");
    // A file that nobody can read, and nothing before it: it doesn't start as if nothing were ordered.
    let _ = daemon.child.kill();
    let _ = daemon.child.wait();
    for name in ["orders", "orders.before"] {
        std::fs::write(daemon.folder.join(name), "spoilt").expect("a file");
    }
    let (mut child, log) = commanded::start(&daemon.folder);
    let line = log.recv_timeout(LONG).expect("a line");
    assert!(line.contains("orders: ") && line.contains("move it away"), "{line}");
    assert_eq!(child.wait().expect("it ends").code(), Some(1));
}

#[test]
fn a_second_process_obeys_the_orders_and_does_not_write_them() {
    let daemon = Daemon::with("second", &kept());
    daemon.json(&["out", "n"]);
    let text = kept().replace("socket = \"control\"", "socket = \"other\"");
    std::fs::write(daemon.folder.join("other.toml"), text).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    command.env_remove("EDGE_CONFIG").args(["run", "--config"]).arg(daemon.folder.join("other.toml"));
    let mut other = command.stderr(Stdio::piped()).spawn().expect("it starts");
    let lines = BufReader::new(other.stderr.take().expect("a pipe")).lines();
    let (sender, log) = channel();
    std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(sender.send(l))));
    let mut said = String::new();
    while !said.contains("operators' calls on") {
        said += &log.recv_timeout(LONG).expect("a line");
    }
    assert!(said.contains("another process has it") && said.contains("order 0 of"), "{said}");
    let mut ctl = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    let socket = daemon.folder.join("other");
    let told =
        ctl.args(["ctl", "--json", "--socket"]).arg(socket).args(["out", "m"]).output().expect("it runs");
    let told = String::from_utf8(told.stdout).expect("text");
    assert!(told.contains("no: another process keeps this file"), "{told}");
    let _ = other.kill();
    let _ = other.wait();
    assert_eq!(standing(&daemon).len(), 1);
}

#[test]
fn limits_and_standby_are_felt_by_callers_and_end() {
    let daemon = Daemon::with("limits", &kept());
    let status = |answer: &str| answer.get(9..12).unwrap_or("").to_owned();
    let header = |answer: &str| -> Option<u64> {
        let line = answer.lines().find(|l| l.to_ascii_lowercase().starts_with("retry-after:"))?.to_owned();
        line.split(':').nth(1)?.trim().parse().ok()
    };
    // Nothing listens at its nodes.
    assert_ne!(status(&daemon.get("/a")), "200");
    daemon.json(&["limit", "p", "--rate", "0", "--why", "broken"]);
    let answer = daemon.get("/a");
    assert!(answer.contains("limited by an operator") && status(&answer) == "503", "{answer}");
    assert_eq!(header(&answer), Some(1));
    assert!(!daemon.get("/other").contains("limited"), "it is of another pool");
    // One in ten seconds: whoever comes second is told to wait for it, whoever comes third for the next.
    // Another limit in its place would go on with what is left in the bucket: nothing.
    daemon.json(&["unlimit", "p"]);
    daemon.json(&["limit", "p", "--rate", "0.1"]);
    assert!(!daemon.get("/a").contains("limited"));
    let waits: Vec<u64> = (0..2).filter_map(|_| header(&daemon.get("/a"))).collect();
    assert!(waits[0] > 5 && waits[1] >= waits[0] + 9, "{waits:?}");
    let row = &daemon.json(&["budgets"])["pools"][0];
    assert_eq!((&row["limit_rate"], &row["refused_by_limit"]), (&json!(0.1), &json!(3)));
    // It stays through a reload, and ends by itself.
    assert!(daemon.hangup().contains("read again"));
    assert!(daemon.get("/a").contains("limited"));
    daemon.json(&["limit", "p", "--open", "0", "--for", "50ms"]);
    daemon.logged("came to its end");
    assert!(!daemon.get("/a").contains("limited"));
    daemon.json(&["limit", "p", "--open", "0"]);
    assert!(daemon.get("/a").contains("limited"));
    assert_eq!(daemon.json(&["unlimit", "p"])["pools"], json!(["p"]));
    assert!(!daemon.get("/a").contains("limited"));
    let refused = [
        (&["limit", "p"][..], "expected a number of open requests"),
        (&["limit", "x", "--open", "1"][..], "found pool \"x\""),
        (&["limit", "p", "--rate=-1"][..], "rate: found -1"),
    ];
    for (call, why) in refused {
        let told = daemon.refused(call);
        assert!(told.contains(why), "{call:?}: {told}");
    }

    let ready = |daemon: &Daemon| status(&daemon.get("/health/ready"));
    assert_eq!(ready(&daemon), "200");
    daemon.json(&["standby", "--why", "kernel"]);
    assert_eq!((ready(&daemon), daemon.json(&["status"])["orders"].clone()), ("503".to_owned(), json!(1)));
    // A listener that comes meanwhile is in standby too.
    let second = "[listener.second]\naddress = \"127.0.0.1:0\"\n[class.look]";
    daemon.change(&kept().replace("[class.look]", second));
    assert!(daemon.hangup().contains("read again"));
    assert_eq!(ready(&daemon), "503");
    daemon.json(&["active"]);
    assert_eq!((ready(&daemon), standing(&daemon).len()), ("200".to_owned(), 0));
}

#[test]
fn a_drain_goes_on_until_the_node_carries_nothing() {
    let upstream = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = upstream.local_addr().expect("an address");
    let (arrived, arrival) = channel();
    let (answer, answers) = channel::<()>();
    std::thread::spawn(move || {
        let (mut stream, _) = upstream.accept().expect("a connection");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request");
            head.push(byte[0]);
        }
        arrived.send(()).expect("the test");
        let _ = answers.recv();
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        let _ = stream.read(&mut [0]);
    });
    let text = TEXT
        .replace("{ name = \"m\", address = \"127.0.0.1:9\" }", "")
        .replace("127.0.0.1:9", &at.to_string());
    let text = text.replace("aim = \"1s\"\ndeadline = \"2s\"", "aim = \"30s\"\ndeadline = \"40s\"");
    let daemon = Daemon::with("drain", &text);
    let caller = std::thread::spawn({
        let public = daemon.public();
        move || {
            let mut stream = std::net::TcpStream::connect(public).expect("it listens");
            write!(stream, "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").expect("it reads");
            let mut told = String::new();
            stream.read_to_string(&mut told).expect("an answer");
            told
        }
    });
    arrival.recv_timeout(LONG).expect("a request");
    let requests = daemon.json(&["requests"]);
    let oldest = &requests["p"]["oldest"][0];
    assert_eq!((&requests["p"]["stages"]["out"], &oldest["class"]), (&json!(1), &json!("look")));
    assert!(oldest["at"].as_str().is_some_and(|at| at.starts_with("n ")), "{oldest}");
    let mut drain = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    drain
        .args(["ctl", "--json", "--socket"])
        .arg(daemon.socket())
        .args(["drain", "n"])
        .stdout(Stdio::piped());
    let mut drain = drain.spawn().expect("it runs");
    let mut lines = BufReader::new(drain.stdout.take().expect("a pipe")).lines();
    let mut next =
        || -> Value { serde_json::from_str(&lines.next().expect("a line").expect("text")).expect("JSON") };
    assert_eq!(next(), json!({"pool": "p", "carries": 1}));
    // Nothing new goes there, and the daemon answers others meanwhile.
    assert!(daemon.get("/b").contains("no upstream"));
    assert!(drain.try_wait().expect("a child").is_none(), "it waits for what is open");
    answer.send(()).expect("the upstream");
    assert_eq!(next(), json!({"pool": "p", "carries": 0}));
    assert!(drain.wait().expect("it ends").success());
    assert!(caller.join().expect("the caller").starts_with("HTTP/1.1 200"));
}

#[test]
fn signed_calls_are_heard_once_and_forged_ones_never() {
    let folder = std::env::temp_dir().join(format!("sloeline-ctl-{}-signed", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let made = |name: &str| {
        let path = folder.join(name);
        let made =
            Command::new(env!("CARGO_BIN_EXE_sloeline")).arg("key").arg(&path).output().expect("it runs");
        assert!(made.status.success(), "{}", String::from_utf8_lossy(&made.stderr));
        path
    };
    let (night, day) = (made("night.key"), made("day.key"));
    let text = TEXT.replace(
        "[listener.public]",
        "address = \"127.0.0.1:0\"\n[control.key.night]\nfile = \"night.key\"\nmay = \"order\"\n\
         [control.key.day]\nfile = \"day.key\"\n[listener.public]",
    );
    let daemon = Daemon::with("signed", &text);
    let line = daemon.logged("signed operators' calls on").pop().expect("a line");
    let address = line.rsplit(' ').next().expect("an address").to_owned();
    let ctl = |key: &str, file: &std::path::Path, call: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sloeline"));
        command.args(["ctl", "--json", "--address", &address, "--key", key, "--key-file"]).arg(file);
        let output = command.args(call).output().expect("it runs");
        match output.status.success() {
            true => Ok(serde_json::from_slice::<Value>(&output.stdout).expect("JSON")),
            false => Err(String::from_utf8_lossy(&output.stderr).into_owned()),
        }
    };
    assert_eq!(ctl("day", &day, &["status"]).expect("it may ask")["pools"], json!(2));
    assert_eq!(ctl("night", &night, &["out", "n"]).expect("it may order")["pools"], json!(["p", "q"]));
    assert!(
        daemon.json(&["orders"])["standing"][0]["who"]
            .as_str()
            .is_some_and(|who| who.contains("(key night)") || who == "key night")
    );
    for (key, file, why) in [
        ("day", &day, "may only ask"),
        ("night", &day, "found no signature by a key that is known"),
        ("nobody", &night, "found no signature by a key that is known"),
    ] {
        let told = ctl(key, file, &["back", "n"]).expect_err(why);
        assert!(told.contains(why), "{told}");
    }
    assert_eq!(daemon.json(&["orders"])["standing"].as_array().map(Vec::len), Some(1));

    // By hand: a good call, the same again, and all kinds of others.
    let secret = Secret::read(&std::fs::read_to_string(&night).expect("a key")).expect("a key");
    let now = unix() / 1000;
    let body = b"{\"version\":1,\"verb\":\"status\"}\n";
    let send = |body: &[u8], head: &str| {
        let mut stream = std::net::TcpStream::connect(&address).expect("it listens");
        stream.set_read_timeout(Some(LONG)).expect("a socket");
        let length = body.len();
        // It may have answered before all was sent.
        let _ = write!(stream, "POST /v1/call HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n{head}\r\n");
        let _ = stream.write_all(body);
        let mut told = String::new();
        let _ = stream.read_to_string(&mut told);
        told
    };
    let head = |time: u64, nonce: [u8; 16], body: &[u8]| {
        let call = SignedCall { method: "POST", path: "/v1/call", body, time, nonce };
        let (nonce, signature) = (hex(&nonce), hex(&call.sign(&secret)));
        format!(
            "Sloeline-Key: night\r\nSloeline-Time: {time}\r\nSloeline-Nonce: {nonce}\r\nSloeline-Signature: {signature}\r\n"
        )
    };
    let good = head(now, [1; 16], body);
    assert!(send(body, &good).starts_with("HTTP/1.1 200"));
    let cases = [
        (send(body, &good), "heard already"),
        (send(b"{\"version\":1,\"verb\":\"active\"}\n", &head(now, [2; 16], body)), "no signature"),
        (send(body, &head(now - 100_000, [3; 16], body)), "before this side's"),
        (send(body, &head(now + 100_000, [4; 16], body)), "after this side's"),
        (send(body, &good.replace("Time: ", "Time: 0")), "no signature"),
        (send(body, &(good.clone() + "Sloeline-Key: day\r\n")), "no signature"),
        (send(body, "Sloeline-Key: night\r\n"), "no signature"),
        (send(body, ""), "no signature"),
    ];
    for (told, why) in &cases {
        assert!(told.starts_with("HTTP/1.1 401") && told.contains(why), "{why}: {told}");
    }
    let long = vec![b' '; 70_000];
    assert!(send(&long, &head(now, [5; 16], &long)).starts_with("HTTP/1.1 400"));
    let garbage = b"garbage\n";
    assert!(send(garbage, &head(now, [6; 16], garbage)).contains("found no call"));

    // A key takes another's place: both are alive for a while.
    let next = folder.join("next.key");
    assert!(
        Command::new(env!("CARGO_BIN_EXE_sloeline"))
            .arg("key")
            .arg(&next)
            .status()
            .expect("it runs")
            .success()
    );
    assert!(ctl("next", &next, &["status"]).is_err(), "it isn't known yet");
    let both =
        text.replace("[control.key.day]\nfile = \"day.key\"", "[control.key.next]\nfile = \"next.key\"");
    daemon.change(&both);
    assert!(daemon.hangup().contains("read again"));
    // Keys are read after the configuration: the first call may be too early.
    let begun = Instant::now();
    while ctl("next", &next, &["status"]).is_err() {
        assert!(begun.elapsed() < LONG);
    }
    assert!(ctl("night", &night, &["status"]).is_ok() && ctl("day", &day, &["status"]).is_err());
    // One that others may read is not taken, and those that are in force stay.
    let open = folder.join("open.key");
    std::fs::File::options().write(true).create_new(true).mode(0o644).open(&open).expect("a file");
    daemon.change(&both.replace("next.key", "open.key"));
    assert!(daemon.hangup().contains("read again"));
    daemon.logged("found one that others may read or write");
    assert!(ctl("next", &next, &["status"]).is_ok());
}

#[test]
fn a_snapshot_is_kept_shown_and_compared_and_a_watch_goes_on_until_its_caller_leaves() {
    let daemon = Daemon::with("snapshot", &kept());
    let (before, after) = (daemon.folder.join("before"), daemon.folder.join("after"));
    let path = |path: &std::path::Path| path.to_str().expect("text").to_owned();
    assert!(daemon.ctl(&["snapshot", &path(&before)]).status.success());
    assert!(daemon.refused(&["snapshot", &path(&before)]).contains("File exists"));
    daemon.json(&["out", "n", "--why", "sick"]);
    assert!(daemon.ctl(&["snapshot", &path(&after)]).status.success());
    let run = |arguments: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_sloeline")).args(arguments).output().expect("it runs");
        (
            output.status.success(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    let (good, diff) = run(&["snapshot", "diff", &path(&before), &path(&after)]);
    assert!(good && diff.contains("pools.p.taking_requests: 2 -> 1 (-1)"), "{diff}");
    assert!(diff.contains("orders.standing.0: come,"), "{diff}");
    let (good, shown) = run(&["snapshot", "show", &path(&after), "orders.standing", "--json"]);
    assert!(good && shown.contains("\"why\": \"sick\""), "{shown}");
    assert!(run(&["snapshot", "show", &path(&after), "nowhere"]).1.contains("found no \"nowhere\""));
    let bytes = std::fs::read(&after).expect("a file");
    std::fs::write(&after, &bytes[..bytes.len() - 1]).expect("a file");
    assert!(run(&["snapshot", "show", &path(&after)]).1.contains("expected"));

    let mut watch = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    watch.args(["ctl", "--json", "--socket"]).arg(daemon.socket()).args(["watch", "--every", "100ms"]);
    let mut watch = watch.stdout(Stdio::piped()).spawn().expect("it runs");
    let lines = BufReader::new(watch.stdout.take().expect("a pipe")).lines().map_while(Result::ok);
    let told: Vec<Value> = lines.take(3).map(|line| serde_json::from_str(&line).expect("JSON")).collect();
    assert!(told.iter().all(|status| status["pools"] == 2), "{told:?}");
    let _ = watch.kill();
    let _ = watch.wait();
    assert!(daemon.refused(&["watch", "--every", "1ms"]).contains("every_ms: found 1, expected 100"));
    assert_eq!(daemon.json(&["routes"]).as_array().map(Vec::len), Some(2));
}

#[test]
fn events_are_followed_by_filter_and_written_as_the_configuration_says() {
    let daemon = Daemon::with("tail", &kept());
    daemon.json(&["--who", "anna", "out", "n", "--why", "sick"]);
    let mut tail = Command::new(env!("CARGO_BIN_EXE_sloeline"));
    tail.args(["ctl", "--json", "--socket"]).arg(daemon.socket()).args(["tail", "--event", "order."]);
    let mut tail = tail.stdout(Stdio::piped()).spawn().expect("it runs");
    let mut lines = BufReader::new(tail.stdout.take().expect("a pipe")).lines();
    let mut next =
        || -> Value { serde_json::from_str(&lines.next().expect("a line").expect("text")).expect("JSON") };
    let first = next();
    assert_eq!(
        (&first["event"], &first["area"], &first["thing"]),
        (&json!("order.given"), &json!("orders"), &json!("n out in p, q"))
    );
    // It follows from here on: what comes after the backlog is not lost.
    daemon.json(&["back", "n"]);
    assert_eq!(next()["event"], "order.taken-back");
    let _ = tail.kill();
    let _ = tail.wait();
    assert!(daemon.refused(&["tail", "--level", "loud"]).contains("level: found \"loud\""));
    // Other settings with the next reload.
    let json = kept() + "[log]\nform = \"json\"\n[log.levels]\norders = \"warn\"\n";
    daemon.change(&json);
    let line: Value = serde_json::from_str(&daemon.hangup()).expect("JSON");
    assert_eq!((&line["event"], &line["level"]), (&json!("config.read"), &json!("info")));
    daemon.json(&["out", "n"]);
    daemon.change(&json.replace("\"json\"", "\"yaml\""));
    daemon.signal();
    let lines = daemon.logged("config.kept");
    assert!(
        lines.iter().any(|l| l.contains("expected \\\"text\\\" or"))
            && !lines.iter().any(|l| l.contains("order.given")),
        "{lines:?}"
    );
}
