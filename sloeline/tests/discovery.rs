//! The watch on discovery and what its news do.

mod common;

use std::io::Write;

use common::*;

fn asking(discovery: &Peer, upstream: &Peer) -> Balancer {
    let setup = Setup::knowing(&[upstream.address]);
    // Idle connections are kept longer than any test waits: what closes them is the news.
    let limits = r#","IdleCloseMs":90000.0"#;
    Setup { discovery: Some(discovery.address), limits, ..setup }.start()
}

#[test]
fn a_watch_goes_on_from_the_version_told() {
    let (discovery, upstream) = (Peer::new(), Peer::new());
    let _balancer = asking(&discovery, &upstream);
    let mut line = discovery.accept();
    for generation in [41, 43, 44] {
        let call = read(&mut line).expect("a call");
        let start = format!("GET /registry/instances?index={generation}&wait=");
        assert!(call.first_line().starts_with(&start), "{}", call.first_line());
        let next = if generation == 41 { 43 } else { generation + 1 };
        answer(&mut line, "200 OK", "", list(next, false, &[]).as_bytes());
    }
}

#[test]
fn any_failure_of_the_watch_is_followed_by_another_call() {
    let (discovery, upstream) = (Peer::new(), Peer::new());
    let balancer = asking(&discovery, &upstream);
    for failure in ["HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "", "what?\r\n\r\n"] {
        let mut line = discovery.accept();
        read(&mut line).expect("a call");
        let _ = line.write_all(failure.as_bytes());
    }
    let mut line = discovery.accept();
    read(&mut line).expect("a call");
    answer(&mut line, "200 OK", "", b"{\"generation\":\"none\"}");
    let mut line = discovery.accept();
    let call = read(&mut line).expect("a call");
    assert!(call.first_line().contains("index=41&"), "{}", call.first_line());
    // The list held before is good all the while.
    assert_eq!(balancer.ask(READY).status(), 200);
}

#[test]
fn what_drains_or_is_gone_gets_nothing_new_and_what_moved_is_found() {
    let (discovery, old, new) = (Peer::new(), Peer::new(), Peer::new());
    let balancer = asking(&discovery, &old);
    let mut line = discovery.accept();
    read(&mut line).expect("a call");
    let mut client = balancer.connect();
    let mut serve = |peer: &Peer, id: &str| {
        client.write_all(request("pay", id, "").as_bytes()).expect("it reads");
        let mut stream = peer.accept();
        assert_eq!(read(&mut stream).expect("an attempt").header("req-id"), Some(id));
        ok(&mut stream);
        assert_eq!(read(&mut client).expect("an answer").status(), 200);
        stream
    };
    let mut tell = |generation, reset, entries: &[String]| {
        answer(&mut line, "200 OK", "", list(generation, reset, entries).as_bytes());
        read(&mut line).expect("the next call: the list was taken");
    };
    let mut before = serve(&old, "r-1");
    tell(42, false, &[entry("s-0", new.address, "SERVING")]);
    assert!(closed(&mut before), "a connection to where it was");
    let _moved = serve(&new, "r-2");
    tell(43, false, &[entry("s-0", new.address, "DRAINING"), entry("s-1", old.address, "SERVING")]);
    let mut other = serve(&old, "r-3");
    tell(44, false, &[entry("s-1", old.address, "DELETED"), entry("s-2", new.address, "SERVING")]);
    assert!(closed(&mut other), "a connection to what is gone");
    let mut last = serve(&new, "r-4");
    // A whole list without it: gone as well.
    tell(45, true, &[entry("s-3", old.address, "SERVING")]);
    assert!(closed(&mut last), "a connection to what is not listed");
    let _served = serve(&old, "r-5");
}
