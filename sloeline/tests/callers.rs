//! Callers: bad input, readiness, and that one caller's trouble is no other's.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use common::*;

#[test]
fn bad_input_is_answered_and_disturbs_no_other_request() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let mut waiting = balancer.connect();
    waiting.write_all(request("pay", "r-0", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");

    let large = "Host: b\r\nReq-Id: r\r\nReq-Kind: pay\r\nContent-Length: 33554433\r\n\r\n";
    let chunked = format!(
        "Host: b\r\nReq-Id: r\r\nReq-Kind: pay\r\nTransfer-Encoding: chunked\r\n\r\n2000001\r\n{}\r\n0\r\n\r\n",
        "x".repeat((32 << 20) + 1)
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
fn an_absent_deadline_is_that_of_the_class_and_a_longer_one_too() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let requests = upstream.serve(|_, stream| ok(stream));
    for deadline in ["", "Req-Deadline-Ms: 99999999\r\n"] {
        assert_eq!(balancer.ask(&request("pay", "r-1", deadline)).status(), 200, "{deadline:?}");
        let told = requests.recv_timeout(LONG).expect("an attempt");
        let left: u64 = told.header("req-deadline-ms").and_then(|v| v.parse().ok()).expect("a number");
        assert!((10_000..=20_000).contains(&left), "{deadline:?}: {left}");
    }
    // No time at all is no reason for silence.
    assert!(balancer.ask(&request("pay", "r-2", "Req-Deadline-Ms: 0\r\n")).status() >= 429);
}

#[test]
fn fields_that_do_not_fit_are_answered_400_and_nothing_goes_on() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let twice = "Req-Deadline-Ms: 5\r\nreq-deadline-ms: 5\r\n";
    for (class, headers) in [
        ("pay", "Req-Deadline-Ms: soon\r\n"),
        ("pay", "Req-Deadline-Ms: -5\r\n"),
        ("pay", "Req-Deadline-Ms:\r\n"),
        ("pay", "Req-Deadline-Ms: 99999999999999999999999\r\n"),
        ("pay", twice),
        ("pay", "Req-Kind: look\r\n"),
        ("pay", "Req-Id: r-2\r\n"),
        ("pull", "Idempotency-Key: other\r\n"),
        ("pay", "Idempotency-Key: k\r\n"),
        ("look", "Idempotency-Key: k\r\n"),
        ("look", "Content-Length: 3\r\n"),
        ("pull", "Connection: idempotency-key\r\n"),
        ("look", "Connection: close, Req-Id\r\n"),
    ] {
        let mut text = request(class, "r-1", headers);
        if headers.starts_with("Content-Length") {
            text += "abc";
        }
        assert_eq!(balancer.ask(&text).status(), 400, "{class} {headers:?}");
    }
    for (class, right, wrong) in [("look", "GET", "POST"), ("pay", "POST", "GET"), ("pull", "POST", "GET")] {
        let text = request(class, "r-1", "").replacen(right, wrong, 1);
        assert_eq!(balancer.ask(&text).status(), 400, "{wrong} {class}");
    }
    assert!(upstream.quiet(), "one went on");
}

#[test]
fn an_id_that_is_open_is_not_taken_twice() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let mut first = balancer.connect();
    first.write_all(request("pay", "r-1", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");
    assert_eq!(balancer.ask(&request("look", "r-1", "")).status(), 400);
    ok(&mut stream);
    assert_eq!(read(&mut first).expect("an answer").status(), 200);
    // It is free again.
    first.write_all(request("pay", "r-1", "").as_bytes()).expect("it reads");
    read(&mut stream).expect("an attempt");
    ok(&mut stream);
    assert_eq!(read(&mut first).expect("an answer").status(), 200);
}

#[test]
fn a_body_that_could_hide_a_request_is_refused_and_the_connection_closed() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let hidden = request("pay", "r-2", "");
    let (length, chunked) = (format!("Content-Length: {}", 5 + hidden.len()), "Transfer-Encoding: chunked");
    for framing in [
        format!("{length}\r\n{chunked}"),
        format!("{chunked}\r\n{length}"),
        format!("{}\r\n{}", length.to_lowercase(), chunked.to_uppercase()),
        format!("{length}\r\nContent-Length: 5"),
        "Content-Length: -4".to_owned(),
        "Content-Length: ten".to_owned(),
    ] {
        let mut client = balancer.connect();
        let head = "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: r-1\r\nReq-Kind: pay\r\n";
        let text = format!("{head}{framing}\r\n\r\n0\r\n\r\n{hidden}");
        assert_eq!(exchange(&mut client, &text).status(), 400, "{framing}");
        assert!(closed(&mut client), "{framing}: the connection stays");
    }
    assert!(upstream.quiet(), "one went on");
}

#[test]
fn what_follows_a_request_is_the_next_one() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let requests = upstream.serve(|_, stream| ok(stream));
    let mut client = balancer.connect();
    let both = request("pay", "r-1", "") + &request("look", "r-2", "") + &request("pull", "r-3", "");
    client.write_all(both.as_bytes()).expect("it reads");
    for id in ["r-1", "r-2", "r-3"] {
        assert_eq!(read(&mut client).expect("an answer").status(), 200);
        assert_eq!(requests.recv_timeout(LONG).expect("an attempt").header("req-id"), Some(id));
    }
    // After chunks the connection is closed: where they end is told by the sender alone.
    let chunked = "Host: b\r\nReq-Id: r-4\r\nReq-Kind: pay\r\nTransfer-Encoding: chunked";
    let text = format!("POST /api HTTP/1.1\r\n{chunked}\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    let served = exchange(&mut client, &text);
    assert_eq!((served.status(), served.header("connection")), (200, Some("close")));
    assert!(closed(&mut client));
    assert_eq!(requests.recv_timeout(LONG).expect("an attempt").body, b"ab");
}

#[test]
fn half_requests_and_silence_end_within_seconds() {
    let balancer = Setup::knowing(&[nowhere()]).start();
    let start = Instant::now();
    let begin = |text: &str| {
        let mut client = balancer.connect();
        client.write_all(text.as_bytes()).expect("it reads");
        client
    };
    let whole = request("pay", "r-1", "");
    let mut late: Vec<_> = [&whole[..3], &whole[..40], &whole[..whole.len() - 2]].map(begin).into();
    let mut silent = [balancer.connect(), balancer.connect()];
    assert_eq!(exchange(&mut silent[1], READY).status(), 200);
    for client in &mut late {
        assert_eq!(read(client).expect("an answer").status(), 408);
    }
    for client in &mut silent {
        assert!(closed(client), "it stays");
    }
    // 3 s are asked for; a busy machine has ten times as much.
    assert!(start.elapsed() < LONG);
    let mut endless = begin("GET /api HTTP/1.1\r\n");
    let line = format!("X-Pad: {}\r\n", "p".repeat(500));
    while endless.write_all(line.as_bytes()).is_ok() {}
    assert!(start.elapsed() < LONG, "a head without end is read on");
}

#[test]
fn a_caller_that_sends_far_too_much_gets_a_word_or_an_end() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let mut client = balancer.connect();
    let head =
        "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: r\r\nReq-Kind: pay\r\nContent-Length: 60000000\r\n\r\n";
    client.write_all(head.as_bytes()).expect("it reads");
    let (mut sent, chunk) = (0, [7; 65_536]);
    while sent < 60_000_000 && client.write_all(&chunk).is_ok() {
        sent += chunk.len();
    }
    let answer = read(&mut client);
    assert!(answer.is_none_or(|a| a.status() == 413));
    assert!(upstream.quiet());
    assert_eq!(balancer.ask(READY).status(), 200);
}

#[test]
fn bodies_that_would_fill_the_memory_are_refused_until_there_is_room() {
    // Of 1 MB bodies and answers may take half: four with 64 KiB each way.
    let upstream = Peer::new();
    let balancer = Setup { memory: 1, ..Setup::knowing(&[upstream.address]) }.start();
    let large = |id: &str| {
        let body = "x".repeat(65_536);
        request("pay", id, "").replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 65536\r\n\r\n")
            + &body
    };
    let mut held = Vec::new();
    for id in ["r-1", "r-2", "r-3", "r-0"] {
        let mut client = balancer.connect();
        client.write_all(large(id).as_bytes()).expect("it reads");
        let mut stream = upstream.accept();
        read(&mut stream).expect("an attempt");
        held.push((client, stream));
    }
    assert_eq!(balancer.ask(&large("r-4")).status(), 503);
    assert!(upstream.quiet());
    let (client, stream) = &mut held[0];
    ok(stream);
    assert_eq!(read(client).expect("an answer").status(), 200);
    client.write_all(large("r-5").as_bytes()).expect("it reads");
    read(stream).expect("an attempt");
    ok(stream);
    assert_eq!(read(client).expect("an answer").status(), 200);
}

#[test]
fn hundreds_that_say_nothing_leave_room_for_those_that_ask() {
    // 60 descriptors leave 11 for callers.
    let upstream = Peer::new();
    let balancer = Setup { sockets: 60, ..Setup::knowing(&[upstream.address]) }.start();
    let _requests = upstream.serve(|_, stream| ok(stream));
    let mut silent: Vec<_> = (0..300).map(|_| balancer.connect()).collect();
    let start = Instant::now();
    assert_eq!(balancer.ask(&request("pay", "r-1", "")).status(), 200);
    // Fewer than places: only those that were idle for long are gone by then.
    assert!(start.elapsed() < Duration::from_secs(10), "it waits for the silent ones");
    assert!(closed(&mut silent[0]), "the one that was idle longest stays");
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
    let ask = |i: usize| {
        let mut client = balancer.connect();
        client.write_all(request("pay", &format!("r-{i}"), "").as_bytes()).ok()?;
        Some(client)
    };
    let waiting: Vec<_> = (0..8).map(ask).collect();
    drop(idle);
    for (i, client) in waiting.into_iter().enumerate() {
        // One that was slow to speak may have made room for another; it asks again, as callers do.
        let mut answers = std::iter::once(client).chain((0..5).map(|_| ask(i))).map(|c| read(&mut c?));
        assert_eq!(answers.find_map(|a| a).expect("an answer").status(), 200);
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
