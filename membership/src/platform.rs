//! The list of upstreams of the platform's discovery service: its format, the watch, and requests for the whole list.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use finchshift::{ListKind, ServerState};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header::HOST};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use sloeline_engine::types::DiscoveryEntry;
use sloeline_events::emit;
use sloeline_settings::setup::{default_one, micros_to_ms, ms_to_micros};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// How long discovery may hold a watch until there is a change. A stalled watch is detected after this time and
/// [`WATCH_MARGIN`]; until then requests go to upstreams that have left.
const WATCH_HOLD: Duration = Duration::from_secs(8);
/// Time limit of a call that discovery does not hold.
const CALL_TIMEOUT: Duration = Duration::from_secs(6);
/// Time limit of a watch after its hold. Discovery assumes that changes are known after this time.
const WATCH_MARGIN: Duration = Duration::from_secs(2);
/// First pause before the first call to a new address is repeated; doubles each time.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between calls of [`Discovery::follow`].
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);
/// How often the first call to a new address is repeated before the failure is reported.
const FIRST_CALL_RETRIES: u32 = 4;
/// Maximum size of a list in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// A list as discovery sends it.
#[derive(Debug, Deserialize, Serialize)]
pub struct List {
    /// Version of the list.
    pub generation: u64,
    /// Whether this is the whole list, not only changes.
    #[serde(default)]
    pub reset: bool,
    /// Entries of the list.
    pub instances: Vec<Instance>,
}

/// An entry as discovery sends it.
#[derive(Debug, Deserialize, Serialize)]
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
    #[serde(default = "default_one")]
    weight: f64,
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "UPPERCASE")]
enum Lifecycle {
    Serving,
    Draining,
    Deleted,
}

impl List {
    /// Creates a whole list in the format of discovery.
    pub fn whole(generation: u64, listed: Vec<DiscoveryEntry>) -> List {
        let instance = |l: DiscoveryEntry| Instance {
            instance_id: l.instance,
            host_port: l.address.to_string(),
            zone: l.zone,
            machine_type: l.kind,
            cell: l.cell,
            lifecycle: match l.state {
                ServerState::Ready => Lifecycle::Serving,
                ServerState::Draining => Lifecycle::Draining,
                ServerState::Gone => Lifecycle::Deleted,
            },
            weight: l.weight,
            started_at_ms: l.started.map_or(0.0, micros_to_ms),
        };
        List { generation, reset: true, instances: listed.into_iter().map(instance).collect() }
    }

    /// Returns the entries for the engine. An entry with an invalid address is logged and skipped.
    pub fn entries(self) -> Vec<DiscoveryEntry> {
        let entry = |i: Instance| {
            let Ok(address) = i.host_port.parse() else {
                let (node, found) = (&i.instance_id, &i.host_port);
                emit!(DISCOVERY_ADDRESS_INVALID, node = %node; "discovery: {node} has no readable address: {found:?}");
                return None;
            };
            Some(DiscoveryEntry {
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
                started: (i.started_at_ms > 0.0 && i.started_at_ms.is_finite())
                    .then(|| ms_to_micros(i.started_at_ms)),
            })
        };
        self.instances.into_iter().filter_map(entry).collect()
    }
}

/// A connection to discovery that is kept between calls.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A client of the discovery service.
pub struct Discovery {
    address: Cell<SocketAddr>,
    /// Number of changes of the address. Responses from an earlier address are ignored.
    moves: Cell<u64>,
    /// Version of the present list; `None` if the whole list must be requested first.
    generation: Cell<Option<u64>>,
    watch: RefCell<Option<AbortHandle>>,
}

impl Discovery {
    /// Creates a client. `generation` is the version of the known list.
    pub fn new(address: SocketAddr, generation: u64) -> Rc<Discovery> {
        let (address, generation) = (Cell::new(address), Cell::new(Some(generation)));
        Rc::new(Discovery { address, moves: Cell::new(0), generation, watch: RefCell::default() })
    }

    /// Version of the present list; 0 if there is none.
    pub fn generation(&self) -> u64 {
        self.generation.get().unwrap_or(0)
    }

    /// Changes the address: ends the watch, requests the whole list at the new address, because versions of another discovery
    /// service have no meaning there, and then watches it.
    pub fn move_to(
        self: &Rc<Self>,
        address: SocketAddr,
        tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static,
    ) {
        if self.address.replace(address) == address {
            return;
        }
        self.moves.set(self.moves.get() + 1);
        self.generation.set(None);
        self.start(FIRST_CALL_RETRIES, None, tell);
    }

    /// Starts a watch that passes each list to `tell`. A failure is passed on too and ends the watch. A running watch ends.
    pub fn watch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static) {
        self.start(0, None, tell);
    }

    /// Requests the whole list, watches, and starts again after each failure, without reporting it. The pauses double up to
    /// a maximum and are random, so that instances do not call at the same time. A running watch ends.
    pub fn follow(self: &Rc<Self>, seed: u64, tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static) {
        self.generation.set(None);
        self.start(0, Some(fastrand::Rng::with_seed(seed)), tell);
    }

    /// Ends the watch. Nothing is requested or passed on any more.
    pub fn leave(&self) {
        self.moves.set(self.moves.get() + 1);
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }

    /// Starts a watch whose first call is repeated up to `again` times.
    fn start(
        self: &Rc<Self>,
        mut again: u32,
        mut follow: Option<fastrand::Rng>,
        tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static,
    ) {
        let this = self.clone();
        let task = spawn_local(async move {
            let (mut connection, mut pause) = (None, FIRST_RETRY_PAUSE);
            loop {
                let (path, patience) = match this.generation.get() {
                    None => ("/registry/instances".to_owned(), CALL_TIMEOUT),
                    Some(g) => (
                        format!("/registry/instances?index={g}&wait={}", WATCH_HOLD.as_millis()),
                        WATCH_HOLD + WATCH_MARGIN,
                    ),
                };
                match this.call(&mut connection, &path, patience).await {
                    Ok(list) => {
                        let whole = list.reset || this.generation.get().is_none();
                        this.generation.set(Some(list.generation));
                        (again, pause) = (0, FIRST_RETRY_PAUSE);
                        tell(if whole { ListKind::Complete } else { ListKind::Changes }, list.entries());
                    }
                    Err(why) if again > 0 => {
                        let address = this.address.get();
                        emit!(DISCOVERY_FAILED, address = %address; "discovery: {address} does not answer yet: {why}");
                        again -= 1;
                        sleep(pause).await;
                        pause *= 2;
                    }
                    Err(why) if follow.is_some() => {
                        let address = this.address.get();
                        emit!(DISCOVERY_FAILED, address = %address; "discovery: {address}: {why}; asked again");
                        let drawn = follow.as_mut().map_or(1.0, fastrand::Rng::f64);
                        sleep(pause.mul_f64(0.5 + drawn)).await;
                        // Changes may have been missed, so the whole list is requested.
                        this.generation.set(None);
                        pause = (pause * 2).min(MAX_RETRY_PAUSE);
                    }
                    Err(why) => {
                        emit!(DISCOVERY_FAILED, address = %this.address.get(); "discovery: the watch ended: {why}");
                        return tell(ListKind::Failed, Vec::new());
                    }
                }
            }
        });
        if let Some(before) = self.watch.replace(Some(task.abort_handle())) {
            before.abort();
        }
    }

    /// Requests the whole list once and passes it to `tell`.
    pub fn fetch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static) {
        let this = self.clone();
        spawn_local(async move {
            let (before, moves) = (this.generation.get(), this.moves.get());
            let called = this.call(&mut None, "/registry/instances", CALL_TIMEOUT).await;
            // The address may have changed meanwhile.
            if this.moves.get() != moves {
                return;
            }
            match called {
                // A watch has received a newer list meanwhile.
                Ok(list)
                    if before != this.generation.get()
                        && this.generation.get().is_some_and(|g| list.generation < g) => {}
                Ok(list) => {
                    this.generation.set(Some(list.generation));
                    tell(ListKind::Complete, list.entries());
                }
                Err(why) => {
                    emit!(DISCOVERY_FAILED, address = %this.address.get(); "discovery: the list did not come: {why}");
                    tell(ListKind::Failed, Vec::new());
                }
            }
        });
    }

    async fn call(
        &self,
        connection: &mut Option<Connection>,
        path: &str,
        patience: Duration,
    ) -> Result<List, String> {
        let called =
            timeout(patience, self.request(connection, path)).await.unwrap_or_else(|_| Err("silence".into()));
        if called.is_err() {
            *connection = None;
        }
        called
    }

    async fn request(&self, connection: &mut Option<Connection>, path: &str) -> Result<List, String> {
        let ready = match connection {
            Some(connection) => connection.sender.ready().await.is_ok(),
            None => false,
        };
        if !ready {
            *connection = None;
            let stream = TcpStream::connect(self.address.get()).await.map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            let shaken = http1::handshake(TokioIo::new(stream)).await;
            let (sender, driving) = shaken.map_err(|e| e.to_string())?;
            let driver = spawn_local(async move {
                let _ = driving.await;
            });
            *connection = Some(Connection { sender, driver: driver.abort_handle() });
        }
        let Some(connection) = connection else { return Err("no connection".into()) };
        let request = Request::get(path).header(HOST, self.address.get().to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let response = connection.sender.send_request(request).await.map_err(|e| e.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| e.to_string())
    }
}
