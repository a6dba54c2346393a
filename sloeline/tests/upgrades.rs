//! What else goes on while one process follows another, and what does not hold it up.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use common::*;
use sloeline_operations::handover::{HandoverSocket, PeerMessage, socket_path};
use tokio::task::LocalSet;

#[test]
fn settings_change_in_both_processes_with_one_upstream_out_and_one_cold() {
    let (folder, a, b, c) = (Folder::new(), Peer::new(), Peer::new(), Peer::new());
    let known = [a.address, b.address, c.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let first = setup("127.0.0.31:0".to_owned());
    let config = first.config();
    let mut old = first.start();
    let (from_a, from_b, from_c) = (naming(a, "a"), naming(b, "b"), naming(c, "c"));
    let clients = Clients::start(old.address, 6);
    clients.go_on(50);
    assert_eq!(old.call("PUT", "/maintenance/enter/s-0"), 200);
    let a_out = clients.mark();
    assert_eq!(old.call("PUT", "/maintenance/enter/s-1"), 200);
    let new = setup(old.address.to_string()).start();
    old.logged("another process has come");
    // Back, and cold for both: the one that was not asked too.
    assert_eq!(new.call("PUT", "/maintenance/exit/s-1"), 200);
    old.logged("taken over from the other process: PutBack");
    for calls in [&from_b, &from_c] {
        calls.try_iter().for_each(drop);
    }
    from_b.recv_timeout(LONG).expect("it is back");
    clients.go_on(300);
    let (cold, warm) = (from_b.try_iter().count(), from_c.try_iter().count());
    assert!(2 * cold < warm, "{cold} to the cold one, {warm} to the warm one");

    // `look` goes and `see` comes: first in one process, with a broken file for the other, then in both.
    let changed = config.replace(r#"{"Name":"look""#, r#"{"Name":"see""#);
    old.reload(&changed);
    old.logged("configuration read again");
    new.reload(&changed[..changed.len() / 2]);
    new.logged("the running configuration is kept");
    clients.go_on(50);
    new.reload(&changed.replace("127.0.0.31:0", &old.address.to_string()));
    new.logged("configuration read again");
    let see = |n: usize| request("look", &format!("s-{n}"), "").replace("Req-Kind: look", "Req-Kind: see");
    // Whichever of the two accepts it.
    for n in 0..30 {
        assert_eq!(old.ask(&see(n)).status(), 200);
        assert_eq!(old.ask(&request("look", &format!("l-{n}"), "")).status(), 400);
    }
    old.terminate();
    assert!(old.child.wait().expect("it ends").success());
    clients.go_on(50);
    assert_eq!(clients.end(), Vec::<String>::new());
    assert_eq!(begun_after(&from_a, &a_out), Vec::<String>::new());
}

#[test]
fn a_process_of_another_build_hands_over_what_can_be_read() {
    let (folder, a, b, c) = (Folder::new(), Peer::new(), Peer::new(), Peer::new());
    let listener = TcpListener::bind("127.0.0.32:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (at_b, at_c) = (b.address, c.address);
    let known = [a.address];
    let (from_a, from_b, _from_c) = (naming(a, "a"), naming(b, "b"), naming(c, "c"));
    let place = socket_path(&folder.0, "n3").expect("a path");
    // The one before: what was learned has another form, what was put back is not told, and it says more later on.
    let entries = [entry("s-8", at_b, "SERVING"), entry("s-9", at_c, "SERVING")];
    let hello = format!(
        r#"{{"orders":{{"out":["s-8"],"standby":false}},"list":{{"discovery":"{}","list":{},"learned":[1,2]}}}}"#,
        nowhere(),
        list(77, true, &entries)
    );
    let (ready, started) = channel();
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let before = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let seat = HandoverSocket::bind(&place).expect("a seat");
            ready.send(()).expect("the test waits");
            let hello: serde_json::Value = serde_json::from_str(&hello).expect("JSON");
            let guest = seat.next().await.expect("a guest");
            let mut line = guest.hand_over(&listener, &hello).await.expect("it reads");
            // From now on the queue is the new one's.
            while line.next().await.expect("it stays") != PeerMessage::Serving {}
            drop(listener);
            let _ = stopped.await;
        });
    });
    started.recv().expect("a seat");
    let folder = Some(folder.0.clone());
    let new = operated(Setup { listen: address.to_string(), folder, ..Setup::knowing(&known) }).start();
    assert_eq!(new.address, address);
    for n in 0..20 {
        // The list that was handed over, not the one of its own file, and the order that holds.
        assert_eq!(served_by(&new, &format!("r-{n}")), "c");
    }
    assert!(from_a.try_recv().is_err() && from_b.try_recv().is_err());
    stop.send(()).expect("it is there");
    before.join().expect("it ends");
    new.logged("the process before has gone");
    assert_eq!(served_by(&new, "after"), "c");
}

#[test]
fn calls_are_answered_in_time_under_full_load_beside_silent_callers() {
    let upstream = Peer::new();
    let address = upstream.address;
    let balancer = operated(Setup::knowing(&[address])).start();
    let _requests = naming(upstream, "a");
    let clients = Clients::start(balancer.address, 16);
    clients.go_on(50);
    let silent: Vec<_> = (0..12)
        .map(|n| {
            let mut stream =
                std::net::TcpStream::connect(balancer.control.expect("operated")).expect("it listens");
            let text: &[u8] = if n % 2 == 0 { b"" } else { b"PUT /standby HTTP/1.1\r\nHo" };
            stream.write_all(text).expect("it reads");
            stream
        })
        .collect();
    let mut slowest = Duration::ZERO;
    for _ in 0..25 {
        let start = Instant::now();
        assert_eq!(balancer.call("GET", "/status"), 200);
        assert_eq!(balancer.call("PUT", "/maintenance/exit/s-0"), 200);
        slowest = slowest.max(start.elapsed());
        clients.go_on(10);
    }
    println!("two calls one after the other, the slowest: {slowest:?}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    drop(silent);
    assert_eq!(clients.end(), Vec::<String>::new());
}

#[test]
fn a_client_that_reads_a_long_answer_slowly_gets_all_of_it_and_holds_up_nobody() {
    const LENGTH: usize = 24 << 20;
    let upstream = Peer::new();
    let balancer = Setup { memory: 32, ..Setup::knowing(&[upstream.address]) }.start();
    let body: Vec<u8> = (0..LENGTH).map(|at| (at % 251) as u8).collect();
    let _requests = upstream.serve(move |message, stream| match message.header("req-id") {
        Some("long") => answer(stream, "200 OK", "", &body),
        _ => ok(stream),
    });
    let mut slow = balancer.connect();
    slow.write_all(request("look", "long", "").as_bytes()).expect("it reads");
    let (mut taken, mut piece, mut head) = (0, vec![0; 64 * 1024], 0);
    while taken < LENGTH + head {
        // Others are served between any two of its reads, and the kernel's buffers are full all the while.
        if taken % 8 == 0 {
            assert_eq!(balancer.ask(&request("pay", &format!("r-{taken}"), "")).status(), 200);
        }
        let read = slow.read(&mut piece).expect("the rest of the answer");
        assert!(read > 0, "cut off after {taken} bytes");
        if head == 0 {
            head = piece.windows(4).position(|w| w == b"\r\n\r\n").expect("a head") + 4;
        }
        let own = head.saturating_sub(taken).min(read);
        let from = (taken + own) - head;
        assert!(
            piece[own..read].iter().enumerate().all(|(at, byte)| usize::from(*byte) == (from + at) % 251)
        );
        taken += read;
    }
    assert_eq!(taken, LENGTH + head);
}

#[test]
fn without_a_folder_to_meet_in_orders_hold_and_are_told_to_be_lost_with_the_process() {
    let (a, b) = (Peer::new(), Peer::new());
    let known = [a.address, b.address];
    let folder = Some(std::path::PathBuf::from("/nowhere/at/all"));
    let balancer = operated(Setup { folder, ..Setup::knowing(&known) }).start();
    let (from_a, _from_b) = (naming(a, "a"), naming(b, "b"));
    assert_eq!(balancer.call("PUT", "/maintenance/enter/s-0"), 200);
    balancer.logged("orders would be lost with this process");
    for n in 0..10 {
        assert_eq!(served_by(&balancer, &format!("r-{n}")), "b");
    }
    assert!(from_a.try_recv().is_err());
}

/// The process before dies at each step of the hand-over: the new one serves all the same.
#[test]
fn a_process_that_dies_at_any_step_of_its_hand_over_keeps_no_new_one_from_serving() {
    let (a, b) = (Peer::new(), Peer::new());
    let (known, at_b) = ([a.address], b.address);
    let (_from_a, _from_b) = (naming(a, "a"), naming(b, "b"));
    let hello = format!(
        r#"{{"orders":{{"out":[],"standby":false}},"list":{{"discovery":"{}","list":{}}}}}"#,
        nowhere(),
        list(77, true, &[entry("s-8", at_b, "SERVING")])
    );
    // How many bytes of the hello it still writes; nothing, not even its listener.
    for (step, written) in [None, Some(0), Some(hello.len() / 2), Some(hello.len()), Some(hello.len() + 1)]
        .into_iter()
        .enumerate()
    {
        let folder = Folder::new();
        let place = socket_path(&folder.0, "n3").expect("a path");
        let socket = std::os::unix::net::UnixListener::bind(&place).expect("a place");
        let listener = shareable(format!("127.0.0.{}:0", 41 + step).parse().expect("an address"));
        let address = listener.local_addr().expect("an address");
        let text = format!("{hello}\n");
        let before = std::thread::spawn(move || {
            let (stream, _) = socket.accept().expect("a guest");
            if let Some(written) = written {
                give(&stream, &listener);
                let _ = (&stream).write_all(&text.as_bytes()[..written]);
            }
            // The address is free again where it was not given away: no program that is being started holds it either.
            forked(|| drop(listener));
            drop(stream);
        });
        let folder = Some(folder.0.clone());
        let new = operated(Setup { listen: address.to_string(), folder, ..Setup::knowing(&known) }).start();
        before.join().expect("it ends");
        assert_eq!((new.address, new.call("GET", "/status")), (address, 200), "step {step}");
        // With the whole hello it has the list that was handed over, else that of its own file.
        let expected = if written == Some(hello.len() + 1) { "b" } else { "a" };
        assert_eq!(served_by(&new, "r-1"), expected, "step {step}");
    }
}

/// A listener beside which another may bind, as the program's are.
fn shareable(address: std::net::SocketAddr) -> TcpListener {
    use rustix::net::{AddressFamily, SocketFlags, SocketType, bind, listen, socket_with, sockopt};
    let socket =
        socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC, None).expect("a socket");
    sockopt::set_socket_reuseport(&socket, true).expect("an option");
    bind(&socket, &address).expect("a port");
    listen(&socket, 16).expect("it listens");
    TcpListener::from(socket)
}

/// Sends a listener as the older process does.
fn give(stream: &std::os::unix::net::UnixStream, listener: &TcpListener) {
    use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
    use std::os::fd::AsFd;
    let descriptors = [listener.as_fd()];
    let mut space = [std::mem::MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    assert!(ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)));
    sendmsg(stream, &[std::io::IoSlice::new(b"L")], &mut ancillary, SendFlags::empty()).expect("it takes it");
}

/// The process that is to follow dies at each step: the old one serves on, and the next can follow.
#[test]
fn a_guest_that_dies_at_any_step_leaves_the_old_process_serving() {
    let (folder, a) = (Folder::new(), Peer::new());
    let known = [a.address];
    let setup =
        |listen: String| operated(Setup { listen, folder: Some(folder.0.clone()), ..Setup::knowing(&known) });
    let mut old = setup("127.0.0.46:0".to_owned()).start();
    let _requests = naming(a, "a");
    let place = socket_path(&folder.0, "n3").expect("a path");
    let clients = Clients::start(old.address, 4);
    for step in 0..4 {
        let mut stream = loop {
            // It takes its seat again in a moment.
            match std::os::unix::net::UnixStream::connect(&place) {
                Ok(stream) => break stream,
                Err(_) => std::thread::yield_now(),
            }
        };
        if step > 0 {
            // The byte, whose descriptor is dropped unseen, and the hello.
            let mut hello = vec![0; 1];
            stream.read_exact(&mut hello).expect("a byte");
            while step > 1 && hello.last() != Some(&b'\n') {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a hello");
                hello.push(byte[0]);
            }
        }
        if step == 3 {
            // What it says is no note.
            let _ = stream.write_all(b"\"serving\"\n{\"crowd\":4000000000}\nnonsense\n");
        }
        drop(stream);
        clients.go_on(50);
    }
    let new = setup(old.address.to_string()).start();
    // It follows by the link, not beside it: it hears of the end of the one before.
    assert_eq!((new.address, new.call("GET", "/status")), (old.address, 200));
    old.terminate();
    assert!(old.child.wait().expect("it ends").success());
    new.logged("the process before has gone");
    clients.go_on(50);
    assert_eq!(clients.end(), Vec::<String>::new());
}
