//! The list of upstreams: discovery's form, the watch and the whole list.

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

/// How long a watch may wait for news. One that has fallen silent is noticed this and [`WATCH_PATIENCE`] later; until then
/// a release goes unheard, and calls go to upstreams that have left.
const WAIT: Duration = Duration::from_secs(8);
/// A call without a wait that takes longer counts as failed.
const PATIENCE: Duration = Duration::from_secs(6);
/// The same for a watch, after its wait: what discovery had to tell counts as told from then on.
const WATCH_PATIENCE: Duration = Duration::from_secs(2);
/// Pause before the first call at a new address is made again; it doubles each time.
const AGAIN: Duration = Duration::from_millis(100);
/// Longest pause of one that follows.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// How often the first call at a new address is made again before the module is told.
const TIMES_AGAIN: u32 = 4;
/// Most of a list's text.
const MOST_LIST: usize = 8 << 20;

/// A list as discovery sends it.
#[derive(Debug, Deserialize, Serialize)]
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
    /// A whole list in discovery's form.
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

    /// The entries for the engine; one whose address cannot be read is logged and passed over.
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
    address: Cell<SocketAddr>,
    /// How often it has moved: what an earlier address still answers is no news.
    moves: Cell<u64>,
    /// The version of the list held; none where the whole list is to be asked for first.
    generation: Cell<Option<u64>>,
    watch: RefCell<Option<AbortHandle>>,
}

impl Discovery {
    /// Nothing asked yet; `generation` is that of the known list.
    pub fn new(address: SocketAddr, generation: u64) -> Rc<Discovery> {
        let (address, generation) = (Cell::new(address), Cell::new(Some(generation)));
        Rc::new(Discovery { address, moves: Cell::new(0), generation, watch: RefCell::default() })
    }

    /// The version of the list held; 0 where there is none.
    pub fn generation(&self) -> u64 {
        self.generation.get().unwrap_or(0)
    }

    /// Leaves the present address, its watch and its line: the new one is asked for the whole list at once and
    /// then watched. Guards against versions of another discovery, which say nothing there.
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
        self.start(TIMES_AGAIN, None, tell);
    }

    /// Watches from now on and tells each list; a failure is told and ends the watch. A watch under way ends.
    pub fn watch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static) {
        self.start(0, None, tell);
    }

    /// Asks for the whole list at once, watches, and begins anew after each failure, which is told to nobody. The
    /// pauses double up to a bound and are drawn at random, so that instances do not ask in step. Ends the watch
    /// under way.
    pub fn follow(self: &Rc<Self>, seed: u64, tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static) {
        self.generation.set(None);
        self.start(0, Some(fastrand::Rng::with_seed(seed)), tell);
    }

    /// Leaves: nothing is asked and nothing told any more.
    pub fn leave(&self) {
        self.moves.set(self.moves.get() + 1);
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
    }

    /// A watch whose first call is made again up to `again` times.
    fn start(
        self: &Rc<Self>,
        mut again: u32,
        mut follow: Option<fastrand::Rng>,
        tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static,
    ) {
        let this = self.clone();
        let task = spawn_local(async move {
            let (mut line, mut pause) = (None, AGAIN);
            loop {
                let (path, patience) = match this.generation.get() {
                    None => ("/registry/instances".to_owned(), PATIENCE),
                    Some(g) => (
                        format!("/registry/instances?index={g}&wait={}", WAIT.as_millis()),
                        WAIT + WATCH_PATIENCE,
                    ),
                };
                match this.call(&mut line, &path, patience).await {
                    Ok(list) => {
                        let whole = list.reset || this.generation.get().is_none();
                        this.generation.set(Some(list.generation));
                        (again, pause) = (0, AGAIN);
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
                        // What came in between may be told nowhere else.
                        this.generation.set(None);
                        pause = (pause * 2).min(LONGEST_PAUSE);
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

    /// Asks once for the whole list and tells it.
    pub fn fetch(self: &Rc<Self>, tell: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static) {
        let this = self.clone();
        spawn_local(async move {
            let (before, moves) = (this.generation.get(), this.moves.get());
            let called = this.call(&mut None, "/registry/instances", PATIENCE).await;
            // Guards against the list of an address that was left in the meantime.
            if this.moves.get() != moves {
                return;
            }
            match called {
                // A watch told something newer in the meantime.
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
            let stream = TcpStream::connect(self.address.get()).await.map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            let shaken = http1::handshake(TokioIo::new(stream)).await;
            let (sender, connection) = shaken.map_err(|e| e.to_string())?;
            let driver = spawn_local(async move {
                let _ = connection.await;
            });
            *line = Some(Line { sender, driver: driver.abort_handle() });
        }
        let Some(line) = line else { return Err("no connection".into()) };
        let request = Request::get(path).header(HOST, self.address.get().to_string()).body(Empty::new());
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
