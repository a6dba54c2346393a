//! The list of upstreams: discovery's form, the watch and the whole list.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use finchshift::{ListKind, ServerState};
use finchshift_wirehost::setup::{micros, one};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header::HOST};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::engine::Listed;

/// How long a watch may wait for news.
const WAIT: Duration = Duration::from_secs(20);
/// A call without a wait that takes longer counts as failed.
const PATIENCE: Duration = Duration::from_secs(6);
/// The same for a watch, after its wait: what discovery had to tell counts as told from then on.
const WATCH_PATIENCE: Duration = Duration::from_secs(2);
/// Most of a list's text.
const MOST_LIST: usize = 8 << 20;

/// A list as discovery sends it.
#[derive(Deserialize)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// It is the whole list, not only what changed.
    #[serde(default)]
    pub reset: bool,
    /// Its entries.
    pub instances: Vec<Instance>,
}

/// An entry as discovery sends it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    instance_id: String,
    host_port: String,
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u32,
    lifecycle: Lifecycle,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

impl List {
    /// The entries for the engine; one whose address cannot be read is logged and passed over.
    pub fn entries(self) -> Vec<Listed> {
        let entry = |i: Instance| {
            let Ok(address) = i.host_port.parse() else {
                eprintln!("discovery: {} has no readable address: {:?}", i.instance_id, i.host_port);
                return None;
            };
            Some(Listed {
                address,
                instance: i.instance_id,
                zone: i.zone,
                kind: i.machine_type,
                cell: i.cell,
                state: match i.lifecycle {
                    Lifecycle::Serving => ServerState::Ready,
                    Lifecycle::Draining => ServerState::Draining,
                    Lifecycle::Deleted => ServerState::Gone,
                },
                weight: i.weight,
                started: (i.started_at_ms > 0.0).then(|| micros(i.started_at_ms)),
            })
        };
        self.instances.into_iter().filter_map(entry).collect()
    }
}

/// A connection to discovery, kept between calls.
struct Line {
    sender: SendRequest<Empty<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Discovery, as far as this balancer has asked it.
pub struct Discovery {
    address: SocketAddr,
    generation: Cell<u64>,
    watch: RefCell<Option<AbortHandle>>,
}

impl Discovery {
    /// Nothing asked yet; `generation` is that of the known list.
    pub fn new(address: SocketAddr, generation: u64) -> Rc<Discovery> {
        Rc::new(Discovery { address, generation: Cell::new(generation), watch: RefCell::default() })
    }

    /// Watches from now on and tells each list; a failure is told and ends the watch. A watch under way ends.
    pub fn watch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<Listed>) + 'static) {
        let this = self.clone();
        let task = spawn_local(async move {
            let mut line = None;
            loop {
                let path =
                    format!("/registry/instances?index={}&wait={}", this.generation.get(), WAIT.as_millis());
                match this.call(&mut line, &path, WAIT + WATCH_PATIENCE).await {
                    Ok(list) => {
                        this.generation.set(list.generation);
                        let kind = if list.reset { ListKind::Complete } else { ListKind::Changes };
                        tell(kind, list.entries());
                    }
                    Err(why) => {
                        eprintln!("discovery: the watch ended: {why}");
                        return tell(ListKind::Failed, Vec::new());
                    }
                }
            }
        });
        if let Some(before) = self.watch.replace(Some(task.abort_handle())) {
            before.abort();
        }
    }

    /// Asks once for the whole list and tells it.
    pub fn fetch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<Listed>) + 'static) {
        let this = self.clone();
        spawn_local(async move {
            let before = this.generation.get();
            match this.call(&mut None, "/registry/instances", PATIENCE).await {
                // A watch told something newer in the meantime.
                Ok(list) if before != this.generation.get() && list.generation < this.generation.get() => {}
                Ok(list) => {
                    this.generation.set(list.generation);
                    tell(ListKind::Complete, list.entries());
                }
                Err(why) => {
                    eprintln!("discovery: the list did not come: {why}");
                    tell(ListKind::Failed, Vec::new());
                }
            }
        });
    }

    async fn call(&self, line: &mut Option<Line>, path: &str, patience: Duration) -> Result<List, String> {
        let called = timeout(patience, self.ask(line, path)).await.unwrap_or_else(|_| Err("silence".into()));
        if called.is_err() {
            *line = None;
        }
        called
    }

    async fn ask(&self, line: &mut Option<Line>, path: &str) -> Result<List, String> {
        let ready = match line {
            Some(line) => line.sender.ready().await.is_ok(),
            None => false,
        };
        if !ready {
            *line = None;
            let stream = TcpStream::connect(self.address).await.map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            let shaken = http1::handshake(TokioIo::new(stream)).await;
            let (sender, connection) = shaken.map_err(|e| e.to_string())?;
            let driver = spawn_local(async move {
                let _ = connection.await;
            });
            *line = Some(Line { sender, driver: driver.abort_handle() });
        }
        let Some(line) = line else { return Err("no connection".into()) };
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let response = line.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let body = Limited::new(response.into_body(), MOST_LIST).collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }
}
