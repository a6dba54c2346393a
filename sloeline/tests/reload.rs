//! New configurations while it runs.

mod common;

use std::net::SocketAddr;

use common::*;

/// The configuration with discovery elsewhere.
fn at(discovery: SocketAddr) -> String {
    Setup { discovery: Some(discovery), ..Setup::knowing(&[nowhere()]) }.config()
}

#[test]
fn a_new_discovery_is_asked_for_the_whole_list_at_once_and_then_watched() {
    let (old, new, upstream) = (Peer::new(), Peer::new(), Peer::new());
    let setup = Setup { discovery: Some(old.address), ..Setup::knowing(&[nowhere()]) };
    let balancer = setup.start();
    let mut watch = old.accept();
    read(&mut watch).expect("a call");
    // Its versions are far ahead of the new one's.
    answer(&mut watch, "200 OK", "", list(900, false, &[]).as_bytes());
    read(&mut watch).expect("the watch");

    balancer.reload(&at(new.address));
    let mut line = new.accept();
    assert_eq!(read(&mut line).expect("a call").first_line(), "GET /registry/instances HTTP/1.1");
    assert!(closed(&mut watch), "the old line stays");
    answer(&mut line, "200 OK", "", list(7, true, &[entry("s-9", upstream.address, "SERVING")]).as_bytes());
    let call = read(&mut line).expect("the watch");
    assert!(call.first_line().contains("index=7&wait="), "{}", call.first_line());
    let _requests = upstream.serve(|_, stream| ok(stream));
    assert_eq!(balancer.ask(&request("pay", "r-1", "")).status(), 200);
    assert!(old.quiet(), "the old one is asked again");
}

#[test]
fn a_discovery_that_is_not_up_yet_is_asked_again() {
    let (old, new) = (Peer::new(), Peer::new());
    let setup = Setup { discovery: Some(old.address), ..Setup::knowing(&[nowhere()]) };
    let balancer = setup.start();
    balancer.reload(&at(new.address));
    drop(read(&mut new.accept()));
    let mut line = new.accept();
    assert_eq!(read(&mut line).expect("a call").first_line(), "GET /registry/instances HTTP/1.1");
}

#[test]
fn several_orders_in_a_row_lead_to_the_last_and_a_bad_file_changes_nothing() {
    let peers: Vec<Peer> = (0..3).map(|_| Peer::new()).collect();
    let upstream = Peer::new();
    let setup = Setup { discovery: Some(peers[0].address), ..Setup::knowing(&[upstream.address]) };
    let mut balancer = setup.start();
    // Kept open: a watch that ended would be begun anew, at the address that holds by then.
    let mut first = peers[0].accept();
    read(&mut first).expect("a call");
    for bad in ["", "{", &at(peers[1].address).replace("127.0.0.1", "localhost")] {
        balancer.reload(bad);
        balancer.logged("the running configuration is kept");
    }
    std::fs::remove_file(&balancer.file).expect("a file");
    let mut lines = Vec::new();
    for peer in [&peers[1], &peers[2]] {
        balancer.reload(&at(peer.address));
        let mut line = peer.accept();
        read(&mut line).expect("a call");
        lines.push(line);
    }
    assert!(closed(&mut lines[0]), "the line in between stays");
    // Too late: it was left.
    answer(&mut lines[0], "200 OK", "", list(99, true, &[]).as_bytes());
    answer(
        &mut lines[1],
        "200 OK",
        "",
        list(3, true, &[entry("s-0", upstream.address, "SERVING")]).as_bytes(),
    );
    read(&mut lines[1]).expect("the watch");

    let mut held = balancer.connect();
    std::io::Write::write_all(&mut held, request("pay", "r-1", "").as_bytes()).expect("it reads");
    let mut stream = upstream.accept();
    read(&mut stream).expect("an attempt");
    balancer.terminate();
    balancer.reload(&at(peers[1].address));
    balancer.logged("configuration read again");
    ok(&mut stream);
    assert_eq!(read(&mut held).expect("an answer").status(), 200);
    assert!(balancer.child.wait().expect("it ends").success());
}
