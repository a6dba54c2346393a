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
            let line = line(&mut client).expect("a line");
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
fn long_bodies_go_on_whole_and_those_without_room_pass_beside_others_that_are_kept() {
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

    // Many that stop half-way: some find no room and pass on, small ones all find it.
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
    assert!(ended.iter().all(|s| *s == 408), "{ended:?}");
    // What was passed on of them was no request.
    assert!(requests.try_iter().all(|r| r.header("req-id").is_some_and(|id| id.starts_with("small-"))));
    assert!(peak(&balancer) < 32, "{} MB", peak(&balancer));
    assert_eq!(send("r-2", length), Some(200), "what they held is free again");
    // Longer than any may be: told at the head.
    let mut client = balancer.connect();
    client.write_all(upload("r-3", LENGTH + 1).as_bytes()).expect("it reads");
    assert_eq!(read(&mut client).expect("an answer").status(), 413);
}

/// The head of a keyed request with a body that the balancer of these tests has no memory for, told or in chunks.
fn keyed(id: &str, chunked: bool) -> String {
    let framing =
        if chunked { "Transfer-Encoding: chunked".to_owned() } else { format!("Content-Length: {LENGTH}") };
    let named = format!("Req-Id: {id}\r\nReq-Kind: pull\r\nIdempotency-Key: k-{id}");
    format!("POST /api HTTP/1.1\r\nHost: b\r\n{named}\r\n{framing}\r\n\r\n")
}

fn piece(client: &mut TcpStream, chunked: bool, data: &[u8]) {
    let (before, after) =
        if chunked { (format!("{:x}\r\n", data.len()), "\r\n") } else { (String::new(), "") };
    for part in [before.as_bytes(), data, after.as_bytes()] {
        client.write_all(part).expect("it reads");
    }
}

#[test]
fn a_body_without_room_passes_whole_while_forty_ask_for_little() {
    let (upstream, other) = (Peer::new(), Peer::new());
    let known = [upstream.address, other.address];
    let balancer = Setup { memory: 32, ..Setup::knowing(&known) }.start();
    let at_each = [upstream, other].map(|peer| peer.serve(|_, stream| ok(stream)));
    let mut small: Vec<TcpStream> = (0..40).map(|_| balancer.connect()).collect();
    let body = pattern(LENGTH);
    for (id, chunked) in [("told", false), ("in-chunks", true)] {
        let mut client = balancer.connect();
        client.write_all(keyed(id, chunked).as_bytes()).expect("it reads");
        let (most, rest) = body.split_at(LENGTH - 64 * 1000);
        most.chunks(1 << 20).for_each(|data| piece(&mut client, chunked, data));
        // The end of it comes a kilobyte at a time, each beside one of the others.
        for (turn, data) in rest.chunks(1000).enumerate() {
            piece(&mut client, chunked, data);
            let text = request("pay", &format!("s-{id}-{turn}"), "");
            assert_eq!(exchange(&mut small[turn % 40], &text).status(), 200, "beside the long one");
        }
        if chunked {
            piece(&mut client, true, b"");
        }
        assert_eq!(read(&mut client).expect("an answer").status(), 200);
        let came: Vec<Message> = at_each.iter().flat_map(|peer| peer.try_iter()).collect();
        let long: Vec<&Message> = came.iter().filter(|m| m.header("req-id") == Some(id)).collect();
        assert!(long.len() == 1 && long[0].body == body, "{} attempts", long.len());
    }
    assert!(peak(&balancer) < 32, "{} MB", peak(&balancer));
}

/// What becomes of a body that passes when its upstream does not serve it: its key allows a repeat, but there is none.
#[test]
fn what_has_passed_is_not_sent_again() {
    for (answered, status) in [
        ("HTTP/1.1 503 Full\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", 503),
        ("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n", 502),
        ("", 502),
    ] {
        let (upstream, other) = (Peer::new(), Peer::new());
        // Nobody listens at the third: where nothing of the body has gone, it goes elsewhere.
        let known = [upstream.address, other.address, nowhere()];
        let balancer = Setup { memory: 32, ..Setup::knowing(&known) }.start();
        let answer = move |message: &Message, stream: &mut TcpStream| match message.header("req-id") {
            Some("after") => ok(stream),
            _ if answered.is_empty() => _ = stream.shutdown(std::net::Shutdown::Both),
            _ => _ = stream.write_all(answered.as_bytes()),
        };
        let at_each = [upstream, other].map(|peer| peer.serve(answer));
        for n in 0..4 {
            let mut client = balancer.connect();
            client.write_all(keyed(&format!("r-{n}"), false).as_bytes()).expect("it reads");
            client.write_all(&pattern(LENGTH)).expect("it reads");
            assert_eq!(read(&mut client).expect("an answer").status(), status, "{answered:?}");
        }
        assert_eq!(balancer.ask(&request("look", "after", "")).status(), 200);
        let came: Vec<Message> = at_each.iter().flat_map(|peer| peer.try_iter()).collect();
        let of = |id: String| came.iter().filter(|m| m.header("req-id") == Some(&id)).count();
        assert!((0..4).all(|n| of(format!("r-{n}")) == 1), "{answered:?}");
    }
}

#[test]
fn a_client_that_leaves_within_its_body_frees_the_upstream_and_too_long_a_body_is_told() {
    for leaves in [true, false] {
        let upstream = Peer::new();
        let balancer = Setup { memory: 32, ..Setup::knowing(&[upstream.address]) }.start();
        let mut client = balancer.connect();
        client.write_all(keyed("r-1", true).as_bytes()).expect("it reads");
        let data = pattern(1 << 20);
        std::thread::scope(|scope| {
            // It takes what comes until that breaks off.
            let taken = scope.spawn(move || std::io::copy(&mut upstream.accept(), &mut std::io::sink()));
            (0..31).for_each(|_| piece(&mut client, true, &data));
            if leaves {
                drop(client);
            } else {
                let _ = client.write_all(format!("{:x}\r\n", data.len() + 1).as_bytes());
                let _ = client.write_all(&data);
                let _ = client.write_all(b"x");
                assert_eq!(read(&mut client).expect("an answer").status(), 413);
            }
            let _ = taken.join().expect("it ends");
        });
    }
}
