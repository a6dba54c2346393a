//! Both sides of a handover in one process.

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;

use sloeline_operations::handover::{Handover, HandoverSocket, PeerMessage, request_handover, socket_path};
use sloeline_operations::orders::{Order, Orders};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixListener;
use tokio::task::LocalSet;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("sloeline-link-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn block_on(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test());
}

#[test]
fn listener_orders_and_list_are_handed_over_and_messages_flow_until_one_side_ends() {
    block_on(async || {
        let folder = Folder::new("pass");
        let place = socket_path(&folder.0, "n3").expect("a path");
        assert!(request_handover::<u32>(&place).await.expect("nobody is no error").is_none());
        let old = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = old.local_addr().expect("an address");
        // The socket file of a process that was killed is replaced.
        drop(HandoverSocket::bind(&place).expect("a seat"));
        assert!(request_handover::<u32>(&place).await.expect("nobody listens").is_none());
        let seat = HandoverSocket::bind(&place).expect("a seat");
        let mut orders = Orders::default();
        orders.apply(&Order::EnterMaintenance("s-1".to_owned())).expect("one");
        let handover = Handover { orders: orders.clone(), list: Some(41_u32) };
        let (found, line) = tokio::join!(request_handover::<u32>(&place), async {
            seat.next().await.expect("a guest").hand_over(&old, &handover).await.expect("it reads")
        });
        let mut found = found.expect("an answer").expect("somebody");
        assert_eq!(found.handover, handover);
        // Both listeners share one queue: the successor accepts what the other has left there.
        drop(old);
        let _client = TcpStream::connect(address).expect("it listens");
        assert_eq!(found.listener.local_addr().expect("an address"), address);
        found.listener.accept().expect("the client");

        let mut old_line = line;
        found.line.sender().send(PeerMessage::Serving);
        assert_eq!(old_line.next().await, Some(PeerMessage::Serving));
        orders.standby = true;
        old_line.sender().send(PeerMessage::Orders(orders.clone()));
        assert_eq!(found.line.next().await, Some(PeerMessage::Orders(orders)));
        drop(old_line);
        assert_eq!(found.line.next().await, None);
    });
}

#[test]
fn a_process_that_sends_garbage_or_disconnects_is_an_error_and_does_not_block() {
    block_on(async || {
        let folder = Folder::new("nonsense");
        let place = socket_path(&folder.0, "n3").expect("a path");
        let socket = UnixListener::bind(&place).expect("a socket");
        for text in [&b""[..], b"L", b"L{}\n", b"L{\"orders\""] {
            let (found, ()) = tokio::join!(request_handover::<u32>(&place), async {
                let (mut stream, _) = socket.accept().await.expect("a guest");
                stream.write_all(text).await.expect("it reads");
            });
            assert!(found.is_err(), "{text:?}");
        }
        // A silent process does not prevent the successor from starting.
        let (found, _held) = tokio::join!(request_handover::<u32>(&place), async { socket.accept().await });
        assert_eq!(found.err().as_deref(), Some("it is silent"));
    });
}

#[test]
fn parts_in_the_form_of_another_build_are_ignored_and_the_others_are_used() {
    block_on(async || {
        let folder = Folder::new("builds");
        let place = socket_path(&folder.0, "n3").expect("a path");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        for (list, known) in [("41", Some(41)), (r#"{"of":"another","build":[]}"#, None), ("null", None)] {
            let seat = HandoverSocket::bind(&place).expect("a seat");
            let orders = r#"{"out":["s-1"],"standby":true,"paused":[]}"#;
            let handover = format!(r#"{{"orders":{orders},"list":{list},"more":1}}"#);
            let handover: serde_json::Value = serde_json::from_str(&handover).expect("JSON");
            let (found, _line) = tokio::join!(request_handover::<u32>(&place), async {
                seat.next().await.expect("a guest").hand_over(&listener, &handover).await.expect("it reads")
            });
            let found = found.expect("an answer").expect("somebody").handover;
            assert_eq!(
                (found.list, found.orders.standby, found.orders.in_maintenance.len()),
                (known, true, 1)
            );
        }
        // Unknown messages do not end the connection.
        let seat = HandoverSocket::bind(&place).expect("a seat");
        let handover = Handover { orders: Orders::default(), list: None::<u32> };
        let guest = async {
            let mut stream = tokio::net::UnixStream::connect(&place).await.expect("a seat");
            let notes = b"{\"rehearse\":3}\n\"later\"\n[1]\n{\"in_flight\":{}}\n\"serving\"\n";
            stream.write_all(notes).await.expect("it reads");
            stream
        };
        let welcome = async {
            seat.next().await.expect("a guest").hand_over(&listener, &handover).await.expect("it reads")
        };
        let (_stream, mut line) = tokio::join!(guest, welcome);
        assert_eq!(line.next().await, Some(PeerMessage::Serving));
    });
}

#[test]
fn a_successor_that_sends_invalid_lines_ends_the_connection() {
    block_on(async || {
        let folder = Folder::new("guest");
        let place = socket_path(&folder.0, "n3").expect("a path");
        let seat = HandoverSocket::bind(&place).expect("a seat");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let handover = Handover { orders: Orders::default(), list: None::<u32> };
        let guest = async {
            let mut stream = tokio::net::UnixStream::connect(&place).await.expect("a seat");
            stream.write_all(b"\xff\xff no note\n").await.expect("it reads");
            let mut all = Vec::new();
            let _ = stream.read_to_end(&mut all).await;
        };
        let welcome = async {
            let mut line =
                seat.next().await.expect("a guest").hand_over(&listener, &handover).await.expect("it reads");
            assert_eq!(line.next().await, None);
        };
        tokio::join!(guest, welcome);
    });
}

#[test]
fn a_path_too_long_for_a_socket_is_an_error_that_names_it() {
    let folder = PathBuf::from("x".repeat(120));
    let why = socket_path(&folder, "n3").expect_err("too long");
    assert!(why.contains("107"), "{why}");
}
