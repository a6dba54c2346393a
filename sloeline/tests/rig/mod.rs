//! The daemon in this process, between stand-ins. Every wait is for an event, within wide bounds.
#![allow(dead_code)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use sloeline::daemon::Daemon;
use sloeline_config::model::Config;
use sloeline_standin::client::{Client, Wording};
use sloeline_standin::node::Node;
use sloeline_standin::record::{Kind, Record, Told};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

/// Nothing takes this long.
pub const LONG: Duration = Duration::from_secs(60);

/// Classes of each effect and a listener.
pub const HEAD: &str = r#"[limits]
descriptors = 512
[listener.public]
address = "127.0.0.1:0"
deadline_header = "Request-Timeout-Ms"
[class.look]
effect = "safe"
aim = "3s"
deadline = "4s"
[class.pull]
effect = "keyed"
group = "all"
window = "10s"
aim = "3s"
deadline = "4s"
[class.pay]
effect = "unsafe"
aim = "3s"
deadline = "4s"
"#;

/// A pool of these nodes.
pub fn pool(name: &str, nodes: &[&Node]) -> String {
    let entry = |n: &&Node| format!("{{ name = \"{}\", address = \"{}\" }}", n.name, n.address);
    let nodes: Vec<String> = nodes.iter().map(entry).collect();
    let declined = r#"declined = { header = "Srv-Declined", value = "1", status = [503] }"#;
    format!("[pool.{name}]\n{declined}\nnodes = [{}]\n", nodes.join(", "))
}

/// A route; `more` holds its other keys.
pub fn route(name: &str, more: &str) -> String {
    format!("[[route]]\nname = \"{name}\"\n{more}\n")
}

/// Looks, pulls and pays under `/files` and `/checks`, all in one pool.
pub fn routes(pool: &str) -> String {
    let file = "path = \"/files/{id}\"";
    let pool = format!("pool = \"{pool}\"");
    route("look", &format!("method = [\"GET\", \"HEAD\"]\n{file}\nclass = \"look\"\n{pool}"))
        + &route(
            "pull",
            &format!("method = \"PUT\"\n{file}\nclass = \"pull\"\nkey = \"header:Idempotency-Key\"\n{pool}"),
        )
        + &route("pay", &format!("method = \"POST\"\nprefix = \"/checks\"\nclass = \"pay\"\n{pool}"))
}

pub fn load(text: &str) -> Config {
    match sloeline_config::load(text, 512) {
        Ok((config, _)) => config,
        Err(problems) => panic!("{problems:#?}\n{text}"),
    }
}

pub async fn start(text: &str) -> Daemon {
    Daemon::start(load(text), Path::new(""), 7).await.expect("it starts")
}

pub fn public(daemon: &Daemon) -> SocketAddr {
    daemon.address("public").expect("a listener")
}

/// Runs a test on a runtime of its own.
pub fn with(test: impl AsyncFnOnce(Record)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        timeout(LONG, test(Record::default())).await.expect("it waits for what never comes");
    });
}

/// Two requests in words.
pub fn look(path: &str) -> Wording {
    let (method, path, body) = ("GET", path.to_owned(), Bytes::new());
    Wording { method, path, kind: Kind::Safe, patience: Duration::from_secs(4), body, headers: Vec::new() }
}

pub fn pull(path: &str) -> Wording {
    Wording { method: "PUT", kind: Kind::Keyed, body: Bytes::from_static(b"file"), ..look(path) }
}

pub fn pay(path: &str) -> Wording {
    Wording { method: "POST", kind: Kind::Unsafe, body: Bytes::from_static(b"check"), ..look(path) }
}

/// An answer as it stood on the socket.
pub struct Raw {
    pub status: u16,
    pub head: String,
}

thread_local! {
    static OPEN: RefCell<Vec<TcpStream>> = const { RefCell::new(Vec::new()) };
}

/// Sends bytes on a connection of their own and reads the head of the answer.
pub async fn raw(to: SocketAddr, bytes: &str) -> Raw {
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    stream.write_all(bytes.as_bytes()).await.expect("it reads");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap_or_else(|e| panic!("{bytes:?}: {e}")));
    }
    let head = String::from_utf8(head).expect("text").to_ascii_lowercase();
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
    // Closed late: a client that left would be another case.
    OPEN.with_borrow_mut(|open| open.push(stream));
    Raw { status, head }
}

/// Asks until a request has come to the node, within the test's time.
pub async fn until_used(client: &mut Client, record: &Record, node: &str) {
    let before = record.sends(node);
    while record.sends(node) == before {
        client.ask(&look("/files/a")).await;
        // Lets the lists come.
        sleep(Duration::from_millis(1)).await;
    }
}

/// Asks until no request comes to the node any more, though others are served.
pub async fn until_unused(client: &mut Client, record: &Record, node: &str) {
    let mut quiet = 0;
    while quiet < 50 {
        let before = record.sends(node);
        let told = client.ask(&look("/files/a")).await.0;
        let unused = record.sends(node) == before && told == Told::Served;
        quiet = if unused { quiet + 1 } else { 0 };
        sleep(Duration::from_millis(1)).await;
    }
}
