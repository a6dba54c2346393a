//! Long bodies and slow peers: what passes through, what is held, and what one of them may cost the others.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::Duration;

use common::*;

const LENGTH: usize = 32 << 20;

/// A body in which each place has another value than its neighbours.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

/// Most memory that the process has had, in MB.
fn peak(balancer: &Balancer) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", balancer.child.id())).expect("a status");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("a peak");
    let kilobytes: usize = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).expect("a number");
    kilobytes / 1024
}

/// Reads an answer's head alone.
fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("text")
}

#[test]
fn long_answers_pass_many_at_once_in_little_memory_and_their_connections_go_on() {
    let upstream = Peer::new();
    let balancer = Setup { memory: 32, ..Setup::knowing(&[upstream.address]) }.start();
    let body = pattern(LENGTH);
    let _requests = upstream.serve(move |message, stream| {
        if message.header("req-id").is_some_and(|id| id.ends_with("short")) {
            return ok(stream);
        }
        answer(stream, "200 OK", "", &body);
    });
    let expected = pattern(LENGTH);
    std::thread::scope(|scope| {
        for n in 0..12 {
            let (mut client, expected) = (balancer.connect(), &expected);
            scope.spawn(move || {
                let served = exchange(&mut client, &request("look", &format!("r-{n}"), ""));
                assert_eq!(served.status(), 200);
                assert!(served.body == *expected, "the body is another");
                let short = exchange(&mut client, &request("pay", &format!("r-{n}-short"), ""));
                assert_eq!((short.status(), short.body.as_slice()), (200, &b"done"[..]));
            });
        }
    });
    assert!(peak(&balancer) < 28, "{} MB", peak(&balancer));
}

#[test]
fn a_chunked_answer_without_a_told_length_passes_too() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let body = pattern(1 << 20);
    let _requests = upstream.serve(move |_, stream| {
        let mut text = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        for piece in body.chunks(10_000) {
            text.extend(format!("{:x}\r\n", piece.len()).bytes());
            text.extend(piece);
            text.extend(b"\r\n");
        }
        text.extend(b"0\r\n\r\n");
        let _ = stream.write_all(&text);
    });
    for n in 0..2 {
        let mut client = balancer.connect();
        client.write_all(request("look", &format!("r-{n}"), "").as_bytes()).expect("it reads");
        assert!(head(&mut client).to_lowercase().contains("transfer-encoding: chunked"));
        let mut length = 0;
        loop {
            let line = line(&mut client);
            let size = usize::from_str_radix(line.trim(), 16).expect("a size");
            let mut piece = vec![0; size + 2];
            client.read_exact(&mut piece).expect("a piece");
            if size == 0 {
                break;
            }
            assert!((0..size).all(|at| piece[at] == ((length + at) % 251) as u8));
            length += size;
        }
        assert_eq!(length, 1 << 20);
    }
}

fn line(stream: &mut TcpStream) -> String {
    let mut line = Vec::new();
    while !line.ends_with(b"\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a line");
        line.push(byte[0]);
    }
    String::from_utf8(line).expect("text")
}

#[test]
fn an_answer_that_breaks_off_is_seen_to_be_broken_and_nothing_is_sent_again() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let mut client = balancer.connect();
    client.write_all(request("look", "r-1", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n").expect("it reads");
    stream.write_all(&pattern(100_000)).expect("it reads");
    assert!(head(&mut client).contains(" 200 "));
    let mut begun = vec![0; 50_000];
    client.read_exact(&mut begun).expect("the answer has begun");
    drop(stream);
    let mut rest = Vec::new();
    let _ = client.read_to_end(&mut rest);
    assert!(rest.len() + begun.len() < 1_000_000, "it looks whole");
    assert!(closed(&mut client));
    // The next request is served, and is the next that the upstream sees: nothing was repeated.
    let mut other = balancer.connect();
    other.write_all(request("look", "r-2", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    assert_eq!(read(&mut stream).expect("an attempt").header("req-id"), Some("r-2"));
    ok(&mut stream);
    assert_eq!(read(&mut other).expect("an answer").status(), 200);
}

#[test]
fn a_client_that_leaves_in_the_middle_ends_the_attempt() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let (sender, broken) = channel();
    let _requests = upstream.serve(move |message, stream| {
        if message.header("req-id") == Some("r-2") {
            return ok(stream);
        }
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n");
        // As much as goes; the balancer must not take it all for a client that has left.
        let _ = sender.send(stream.write_all(&pattern(LENGTH)).is_err());
    });
    let mut client = balancer.connect();
    client.write_all(request("look", "r-1", "").as_bytes()).expect("it reads");
    head(&mut client);
    drop(client);
    assert!(broken.recv_timeout(LONG).expect("an end"), "all was read for nobody");
    assert_eq!(balancer.ask(&request("pay", "r-2", "")).status(), 200);
}

#[test]
fn an_answer_longer_than_may_be_is_none() {
    let upstream = Peer::new();
    let balancer = Setup::knowing(&[upstream.address]).start();
    let _requests = upstream.serve(|_, stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n");
        let _ = stream.write_all(&pattern(100_000));
    });
    assert_eq!(balancer.ask(&request("pay", "r-1", "")).status(), 502);
}

fn upload(id: &str, length: usize) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: b\r\nReq-Id: {id}\r\nReq-Kind: pay\r\nContent-Length: {length}\r\n\r\n"
    )
}

#[test]
fn a_long_body_goes_on_whole_and_one_that_has_no_room_is_refused_beside_others_that_have() {
    let upstream = Peer::new();
    let balancer = Setup { memory: 32, ..Setup::knowing(&[upstream.address]) }.start();
    let requests = upstream.serve(|_, stream| ok(stream));
    let send = |id: &str, length: usize| {
        let mut client = balancer.connect();
        let _ = client.write_all(upload(id, length).as_bytes());
        let _ = client.write_all(&pattern(length));
        read(&mut client).map(|m| m.status())
    };
    let length = 6 << 20;
    assert_eq!(send("r-1", length), Some(200));
    let first = requests.recv_timeout(LONG).expect("an attempt");
    assert!(first.body == pattern(length), "the body is another");

    // Many that stop half-way, each with more than a connection's part: some find no room, small ones all do.
    let mut stopped = Vec::new();
    for n in 0..16 {
        let mut client = balancer.connect();
        let _ = client.set_write_timeout(Some(Duration::from_secs(5)));
        client.write_all(upload(&format!("s-{n}"), 4 << 20).as_bytes()).expect("it reads");
        let _ = client.write_all(&pattern(2 << 20));
        stopped.push(client);
        assert_eq!(send(&format!("small-{n}"), 1000), Some(200), "beside {} that stopped", n + 1);
    }
    let ended: Vec<u16> = stopped.iter_mut().filter_map(|c| read(c).map(|m| m.status())).collect();
    assert!(ended.contains(&503) && ended.iter().all(|s| [408, 503].contains(s)), "{ended:?}");
    assert!(peak(&balancer) < 32, "{} MB", peak(&balancer));
    assert_eq!(send("r-2", length), Some(200), "what they held is free again");
    // Longer than any may be: told at the head.
    let mut client = balancer.connect();
    client.write_all(upload("r-3", LENGTH + 1).as_bytes()).expect("it reads");
    assert_eq!(read(&mut client).expect("an answer").status(), 413);
}
