//! Upstreams of configured pools that begin with a request before they have read its body.

mod rig;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rig::{HEAD, public, route, start, with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// A body that is longer than what the sockets between a balancer and its upstream hold.
const LONG_BODY_BYTES: usize = 16 << 20;
/// How long an upstream works before its connection is reset.
const WORK_TIME: Duration = Duration::from_millis(30);

/// An upstream that begins with each request when it has the head, and resets the connection instead of an answer.
async fn losing_upstream(begun: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let begun = begun.clone();
            spawn_local(async move {
                let mut head = Vec::new();
                while !head.ends_with(b"\r\n\r\n") {
                    let Ok(byte) = stream.read_u8().await else { return };
                    head.push(byte);
                }
                begun.set(begun.get() + 1);
                // Dropping the stream with unread input resets the connection.
                sleep(WORK_TIME).await;
            });
        }
    });
    address
}

/// An upstream that begins with each request when it has the head, works for long and reads the body meanwhile.
async fn reading_upstream(begun: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            begun.set(begun.get() + 1);
            spawn_local(async move {
                let mut chunk = vec![0; 64 << 10];
                while stream.read(&mut chunk).await.is_ok_and(|read| read > 0) {}
            });
        }
    });
    address
}

/// Guards against a 408, which promises that a request has not run, for one that an upstream began with before its client
/// stopped sending the body.
#[test]
fn a_request_whose_client_stops_within_the_body_is_not_said_to_have_not_run() {
    /// More than the daemon has memory for, so that it sends the body on as it comes.
    const ANNOUNCED_BYTES: usize = 15 << 20;
    const SENT_BYTES: usize = 13 << 20;
    with(async |_| {
        let begun = Rc::new(Cell::new(0));
        let upstream = reading_upstream(begun.clone()).await;
        let limits = HEAD
            .replace("512", "512\nmemory = \"54MiB\"")
            .replace("[class.look]", "body_timeout = \"1s\"\n[class.look]");
        let pool = format!("[pool.p]\nnodes = [{{ name = \"a\", address = \"{upstream}\" }}]\n");
        let keys =
            "method = \"POST\"\nprefix = \"/checks\"\nclass = \"pay\"\npool = \"p\"\nbody_limit = \"16MiB\"";
        let daemon = start(&(limits + &pool + &route("pay", keys))).await;
        let mut client = TcpStream::connect(public(&daemon)).await.expect("it listens");
        let head = format!("POST /checks/1 HTTP/1.1\r\nHost: h\r\nContent-Length: {ANNOUNCED_BYTES}\r\n\r\n");
        client.write_all(head.as_bytes()).await.expect("it reads");
        client.write_all(&vec![b'b'; SENT_BYTES]).await.expect("it reads");
        let mut answer = [0; 12];
        client.read_exact(&mut answer).await.expect("an answer");
        assert_eq!(begun.get(), 1, "{}", String::from_utf8_lossy(&answer));
        assert_eq!(String::from_utf8_lossy(&answer), "HTTP/1.1 504");
        daemon.stop().await;
    });
}

/// Guards against an unsafe request that two upstreams of a configured pool begin with, after the first one broke off
/// within a long body.
#[test]
fn a_long_unsafe_request_that_breaks_off_within_its_body_is_not_sent_again() {
    with(async |_| {
        let begun = Rc::new(Cell::new(0));
        let (first, second) = (losing_upstream(begun.clone()).await, losing_upstream(begun.clone()).await);
        let pool = format!(
            "[pool.p]\nnodes = [{{ name = \"a\", address = \"{first}\" }}, {{ name = \"b\", address = \"{second}\" }}]\n"
        );
        let pay = route(
            "pay",
            "method = \"POST\"\nprefix = \"/checks\"\nclass = \"pay\"\npool = \"p\"\nbody_limit = \"16MiB\"",
        );
        let daemon = start(&(HEAD.to_owned() + &pool + &pay)).await;
        let mut client = TcpStream::connect(public(&daemon)).await.expect("it listens");
        let head = format!("POST /checks/1 HTTP/1.1\r\nHost: h\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
        client.write_all(head.as_bytes()).await.expect("it reads");
        // The answer may come before the whole body is taken.
        let _ = client.write_all(&vec![b'b'; LONG_BODY_BYTES]).await;
        let mut answer = [0; 12];
        let answered = client.read_exact(&mut answer).await;
        assert_eq!(begun.get(), 1, "{}", String::from_utf8_lossy(&answer));
        if answered.is_ok() {
            assert_eq!(&answer, b"HTTP/1.1 502");
        }
        daemon.stop().await;
    });
}
