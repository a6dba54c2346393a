//! Callers: bad input, readiness, and that one caller's trouble is no other's.

mod common;

use std::io::Write;
use std::net::Shutdown;

use common::*;

#[test]
fn bad_input_is_answered_and_disturbs_no_other_request() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let mut waiting = balancer.connect();
    waiting.write_all(request("pay", "r-0", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");

    let large = "Host: b\r\nReq-Id: r\r\nReq-Kind: pay\r\nContent-Length: 65537\r\n\r\n";
    let chunked = format!(
        "Host: b\r\nReq-Id: r\r\nReq-Kind: pay\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n{}\r\n0\r\n\r\n",
        "x".repeat(65_537)
    );
    for (status, text) in [
        (400, "no HTTP at all\r\n\r\n".to_owned()),
        (400, "GET /api HTTP/1.1\r\nbad header\r\n\r\n".to_owned()),
        (400, request("never-heard-of", "r-1", "")),
        (400, "GET /api HTTP/1.1\r\nHost: b\r\nReq-Id: r\r\n\r\n".to_owned()),
        (400, "GET /api HTTP/1.1\r\nHost: b\r\nReq-Kind: look\r\n\r\n".to_owned()),
        (400, "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: r\r\nReq-Kind: pull\r\n\r\n".to_owned()),
        (400, "GET /api HTTP/1.1\r\nHost: b\r\nReq-Id: r\r\nReq-Kind: \u{fe}\u{ff}\r\n\r\n".to_owned()),
        (404, request("look", "r-2", "").replace("/api", "/elsewhere")),
        (405, "DELETE /api HTTP/1.1\r\nHost: b\r\nReq-Id: r\r\nReq-Kind: look\r\n\r\n".to_owned()),
        (413, format!("POST /api HTTP/1.1\r\n{large}")),
        (413, format!("POST /api HTTP/1.1\r\n{chunked}")),
    ] {
        let answered = balancer.ask(&text);
        assert_eq!(answered.status(), status, "{:?}", text.lines().next());
    }
    // One that ends in the middle of its body is nobody's.
    let mut half = balancer.connect();
    half.write_all(&request("pay", "r-3", "").as_bytes()[..60]).expect("it reads");
    half.shutdown(Shutdown::Both).expect("it closes");

    ok(&mut stream);
    assert_eq!(read(&mut waiting).expect("an answer").status(), 200);
    assert!(upstream.quiet(), "bad input went on");
}

#[test]
fn a_deadline_that_is_absent_or_unreadable_is_that_of_the_class() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let requests = upstream.serve(|_, stream| ok(stream));
    for deadline in
        ["", "Req-Deadline-Ms: soon\r\n", "Req-Deadline-Ms: -5\r\n", "Req-Deadline-Ms: 99999999\r\n"]
    {
        assert_eq!(balancer.ask(&request("pay", "r-1", deadline)).status(), 200, "{deadline:?}");
        let told = requests.recv_timeout(LONG).expect("an attempt");
        let left: u64 = told.header("req-deadline-ms").and_then(|v| v.parse().ok()).expect("a number");
        assert!((10_000..=20_000).contains(&left), "{deadline:?}: {left}");
    }
    // No time at all is no reason for silence.
    assert!(balancer.ask(&request("pay", "r-2", "Req-Deadline-Ms: 0\r\n")).status() >= 429);
}

#[test]
fn a_request_that_names_the_whole_address_goes_on_as_a_path() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let requests = upstream.serve(|_, stream| ok(stream));
    let whole = request("look", "r-1", "").replace("GET /api", "GET http://backend.local/api");
    assert_eq!(balancer.ask(&whole).status(), 200);
    let got = requests.recv_timeout(LONG).expect("an attempt");
    assert_eq!(got.first_line(), "GET /api?key=7f3a HTTP/1.1");
}

#[test]
fn requests_follow_each_other_on_a_connection() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let _requests = upstream.serve(|_, stream| ok(stream));
    let mut client = balancer.connect();
    for id in ["r-1", "r-2", "r-3"] {
        assert_eq!(exchange(&mut client, &request("look", id, "")).body, b"done");
        assert_eq!(exchange(&mut client, READY).status(), 200);
    }
}

#[test]
fn connections_beyond_the_limit_wait_and_are_served() {
    // 46 descriptors leave 3 for callers.
    let upstream = Peer::new();
    let balancer = Setup { sockets: 46, ..Setup::knowing(&[upstream.address]) }.start();
    let _requests = upstream.serve(|_, stream| ok(stream));
    let idle: Vec<_> = (0..3).map(|_| balancer.connect()).collect();
    let mut waiting: Vec<_> = (0..8).map(|_| balancer.connect()).collect();
    for (i, client) in waiting.iter_mut().enumerate() {
        client.write_all(request("pay", &format!("r-{i}"), "").as_bytes()).expect("it reads");
    }
    drop(idle);
    for mut client in waiting {
        assert_eq!(read(&mut client).expect("an answer").status(), 200);
    }
}

#[test]
fn running_out_of_descriptors_is_survived() {
    let upstream = Peer::new();
    let setup = Setup::knowing(&[upstream.address]);
    let balancer = Setup { descriptors: Some(24), ..setup }.start();
    let _requests = upstream.serve(|_, stream| ok(stream));
    let idle: Vec<_> = (0..40).map(|_| balancer.connect()).collect();
    let mut waiting = balancer.connect();
    waiting.write_all(request("look", "r-1", "").as_bytes()).expect("it reads");
    drop(idle);
    assert_eq!(read(&mut waiting).expect("an answer").status(), 200);
    assert_eq!(balancer.ask(READY).status(), 200);
}
