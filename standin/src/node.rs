//! An upstream that does what it is told, on a port of its own.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, watch};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

use crate::record::{ID, Record};

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Does {
    /// Runs it and answers after a while.
    Serve(Duration),
    /// Takes it and says nothing.
    Hang,
    /// Runs it and breaks the connection.
    Break,
    /// Runs it and answers 500.
    Error,
    /// Turns it away unseen, with the mark.
    Decline,
    /// Runs it and answers with this status and no body.
    Say(StatusCode),
    /// Runs it and answers 201, each time with another place.
    Make,
}

struct Shared {
    name: Rc<str>,
    group: Rc<str>,
    record: Record,
    does: Cell<Does>,
    tasks: RefCell<Vec<AbortHandle>>,
    hang_ends: Notify,
    arrivals: watch::Sender<u64>,
    connections: Cell<u64>,
    last: RefCell<Option<Parts>>,
}

/// A node; dropped, it dies.
pub struct Node {
    /// Its name.
    pub name: Rc<str>,
    /// Where it is.
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.die();
    }
}

impl Node {
    /// Starts a node that serves at once; nodes of a group drop each other's repeats.
    pub fn start(name: &str, group: &str, record: &Record) -> Node {
        let socket = TcpSocket::new_v4().and_then(|s| {
            s.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
            s.listen(1024)
        });
        let listener = socket.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let shared = Rc::new(Shared {
            name: name.into(),
            group: group.into(),
            record: record.clone(),
            does: Cell::new(Does::Serve(Duration::ZERO)),
            tasks: RefCell::default(),
            hang_ends: Notify::new(),
            arrivals: watch::Sender::new(0),
            connections: Cell::default(),
            last: RefCell::default(),
        });
        let task = spawn_local(accept(listener, shared.clone()));
        shared.tasks.borrow_mut().push(task.abort_handle());
        Node { name: shared.name.clone(), address, shared }
    }

    /// Does this from now on. Requests that hang are broken off.
    pub fn now(&self, does: Does) {
        self.shared.does.set(does);
        self.shared.hang_ends.notify_waiters();
    }

    /// How many connections it has taken.
    pub fn connections(&self) -> u64 {
        self.shared.connections.get()
    }

    /// How many of them are open.
    pub fn open(&self) -> usize {
        let mut tasks = self.shared.tasks.borrow_mut();
        tasks.retain(|t| !t.is_finished());
        // One listens.
        tasks.len().saturating_sub(1)
    }

    /// The head of the request that came last.
    pub fn last(&self) -> Option<Parts> {
        self.shared.last.borrow().clone()
    }

    /// Waits until so many requests have come in all.
    pub async fn arrivals(&self, count: u64) {
        // The sender lives as long as the node.
        let _ = self.shared.arrivals.subscribe().wait_for(|came| *came >= count).await;
    }

    /// Resets its connections; new ones are refused.
    pub fn die(&self) {
        self.shared.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        shared.connections.set(shared.connections.get() + 1);
        let on = shared.clone();
        let service = service_fn(move |request| {
            let shared = on.clone();
            async move { serve(&shared, request).await }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let task = spawn_local(async move {
            let _ = connection.await;
        });
        let mut tasks = shared.tasks.borrow_mut();
        tasks.retain(|t| !t.is_finished());
        tasks.push(task.abort_handle());
    }
}

/// Ends a connection without an answer.
#[derive(Debug)]
struct Broken;

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("broken on purpose")
    }
}

impl std::error::Error for Broken {}

impl From<Infallible> for Broken {
    fn from(_: Infallible) -> Broken {
        Broken
    }
}

async fn serve(shared: &Shared, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Broken> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Broken)?.to_bytes();
    let id = head.headers.get(ID).and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    shared.record.arrived(&shared.name, id);
    *shared.last.borrow_mut() = Some(head);
    shared.arrivals.send_modify(|came| *came += 1);
    let answer = |status, text: String| {
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response
    };
    let ran = || id.into_iter().for_each(|id| shared.record.ran(&shared.group, id));
    let made_for = id.map_or("nobody".to_owned(), |id: u64| id.to_string());
    match shared.does.get() {
        Does::Serve(delay) => {
            ran();
            if !delay.is_zero() {
                sleep(delay).await;
            }
            let mut response = answer(StatusCode::OK, format!("{made_for} {}", body.len()));
            if let Ok(id) = made_for.parse() {
                response.headers_mut().insert(ID, id);
            }
            Ok(response)
        }
        Does::Hang => {
            ran();
            shared.hang_ends.notified().await;
            Err(Broken)
        }
        Does::Break => {
            ran();
            Err(Broken)
        }
        Does::Error => {
            ran();
            Ok(answer(StatusCode::INTERNAL_SERVER_ERROR, "an error".to_owned()))
        }
        Does::Say(status) => {
            ran();
            let mut response = answer(status, String::new());
            response.headers_mut().insert("location", hyper::header::HeaderValue::from_static("/elsewhere"));
            Ok(response)
        }
        Does::Make => {
            ran();
            let mut response = answer(StatusCode::CREATED, String::new());
            let place = format!("/made/{}", *shared.arrivals.borrow());
            if let Ok(place) = place.parse() {
                response.headers_mut().insert("location", place);
            }
            Ok(response)
        }
        Does::Decline => {
            let mut response = answer(StatusCode::SERVICE_UNAVAILABLE, "full".to_owned());
            response.headers_mut().insert("srv-declined", hyper::header::HeaderValue::from_static("1"));
            Ok(response)
        }
    }
}
