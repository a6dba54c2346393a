//! Two processes' ends of the link, in one.

use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;

use sloeline_operations::link::{Hello, Note, Seat, find, meeting_place};
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
fn listener_orders_and_list_pass_and_each_hears_the_other_until_it_goes() {
    block_on(async || {
        let folder = Folder::new("pass");
        let place = meeting_place(&folder.0, "n3").expect("a path");
        assert!(find::<u32>(&place).await.expect("nobody is no error").is_none());
        let old = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = old.local_addr().expect("an address");
        // One that was left behind by a process that was killed is no obstacle.
        drop(Seat::take(&place).expect("a seat"));
        assert!(find::<u32>(&place).await.expect("nobody listens").is_none());
        let seat = Seat::take(&place).expect("a seat");
        let mut orders = Orders::default();
        orders.take(&Order::TakeOut("s-1".to_owned())).expect("one");
        let hello = Hello { orders: orders.clone(), list: Some(41_u32) };
        let (found, line) = tokio::join!(find::<u32>(&place), async {
            seat.next().await.expect("a guest").welcome(&old, &hello).await.expect("it reads")
        });
        let mut found = found.expect("an answer").expect("somebody");
        assert_eq!(found.hello, hello);
        // One queue: what the old end leaves there, the new one finds.
        drop(old);
        let _client = TcpStream::connect(address).expect("it listens");
        assert_eq!(found.listener.local_addr().expect("an address"), address);
        found.listener.accept().expect("the client");

        let mut old_line = line;
        found.line.mouth().say(Note::Serving);
        assert_eq!(old_line.next().await, Some(Note::Serving));
        orders.standby = true;
        old_line.mouth().say(Note::Orders(orders.clone()));
        assert_eq!(found.line.next().await, Some(Note::Orders(orders)));
        drop(old_line);
        assert_eq!(found.line.next().await, None);
    });
}

#[test]
fn a_process_that_talks_nonsense_or_leaves_is_an_error_and_holds_up_nobody() {
    block_on(async || {
        let folder = Folder::new("nonsense");
        let place = meeting_place(&folder.0, "n3").expect("a path");
        let socket = UnixListener::bind(&place).expect("a socket");
        for text in [&b""[..], b"L", b"L{}\n", b"L{\"orders\""] {
            let (found, ()) = tokio::join!(find::<u32>(&place), async {
                let (mut stream, _) = socket.accept().await.expect("a guest");
                stream.write_all(text).await.expect("it reads");
            });
            assert!(found.is_err(), "{text:?}");
        }
        // Neither a word nor an end: the newer process starts all the same.
        let (found, _held) = tokio::join!(find::<u32>(&place), async { socket.accept().await });
        assert_eq!(found.err().as_deref(), Some("it is silent"));
    });
}

#[test]
fn what_another_build_words_otherwise_is_passed_over_and_the_rest_holds() {
    block_on(async || {
        let folder = Folder::new("builds");
        let place = meeting_place(&folder.0, "n3").expect("a path");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        for (list, known) in [("41", Some(41)), (r#"{"of":"another","build":[]}"#, None), ("null", None)] {
            let seat = Seat::take(&place).expect("a seat");
            let orders = r#"{"out":["s-1"],"standby":true,"paused":[]}"#;
            let hello = format!(r#"{{"orders":{orders},"list":{list},"more":1}}"#);
            let hello: serde_json::Value = serde_json::from_str(&hello).expect("JSON");
            let (found, _line) = tokio::join!(find::<u32>(&place), async {
                seat.next().await.expect("a guest").welcome(&listener, &hello).await.expect("it reads")
            });
            let found = found.expect("an answer").expect("somebody").hello;
            assert_eq!((found.list, found.orders.standby, found.orders.out.len()), (known, true, 1));
        }
        // Notes that this build does not know do not end the line.
        let seat = Seat::take(&place).expect("a seat");
        let hello = Hello { orders: Orders::default(), list: None::<u32> };
        let guest = async {
            let mut stream = tokio::net::UnixStream::connect(&place).await.expect("a seat");
            let notes = b"{\"rehearse\":3}\n\"later\"\n[1]\n{\"in_flight\":{}}\n\"serving\"\n";
            stream.write_all(notes).await.expect("it reads");
            stream
        };
        let welcome =
            async { seat.next().await.expect("a guest").welcome(&listener, &hello).await.expect("it reads") };
        let (_stream, mut line) = tokio::join!(guest, welcome);
        assert_eq!(line.next().await, Some(Note::Serving));
    });
}

#[test]
fn a_guest_that_sends_no_notes_ends_the_line() {
    block_on(async || {
        let folder = Folder::new("guest");
        let place = meeting_place(&folder.0, "n3").expect("a path");
        let seat = Seat::take(&place).expect("a seat");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let hello = Hello { orders: Orders::default(), list: None::<u32> };
        let guest = async {
            let mut stream = tokio::net::UnixStream::connect(&place).await.expect("a seat");
            stream.write_all(b"\xff\xff no note\n").await.expect("it reads");
            let mut all = Vec::new();
            let _ = stream.read_to_end(&mut all).await;
        };
        let welcome = async {
            let mut line =
                seat.next().await.expect("a guest").welcome(&listener, &hello).await.expect("it reads");
            assert_eq!(line.next().await, None);
        };
        tokio::join!(guest, welcome);
    });
}

#[test]
fn a_path_that_no_socket_can_have_is_named() {
    let folder = PathBuf::from("x".repeat(120));
    let why = meeting_place(&folder, "n3").expect_err("too long");
    assert!(why.contains("107"), "{why}");
}
