//! Stand-in upstreams: they beat, work, count what they ran, and break off as they are told.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, body::Incoming};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::client;

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Manner {
    /// It answers.
    #[default]
    Well,
    /// It closes the connection before it works.
    CutBefore,
    /// It works and closes the connection without an answer.
    CutDuring,
    /// It works and breaks off within its answer.
    CutAfter,
    /// It turns every request away unseen.
    Sheds,
    /// It works and answers 500.
    Fails,
    /// It answers as if for another request.
    Mixes,
}

/// What an upstream has done and is to do.
#[derive(Debug, Default)]
pub struct Book {
    /// Its manner.
    pub manner: Manner,
    /// How long it works.
    pub works: Duration,
    /// How long it works on requests whose path holds `slow`.
    pub works_on_slow: Duration,
    /// Bytes of its answers to requests whose path holds `large`.
    pub large: usize,
    /// It begins with a request when it has its head, and reads the body only after its answer.
    pub begins_early: bool,
    /// It says that it is closing.
    pub closing: bool,
    /// It sends no heartbeats by itself.
    pub silent: bool,
    /// Counts its starts; each has an id of its own.
    pub life: u64,
    /// How often it ran each try.
    pub runs: BTreeMap<String, u32>,
    /// How often it ran each key.
    pub keys: BTreeMap<String, u32>,
    /// `X-Sender` of what it ran.
    pub senders: BTreeMap<String, u32>,
    /// Requests that are at work, and the most there were.
    pub working: (u32, u32),
}

/// An upstream as its owner sees it.
#[derive(Clone, Debug, Default)]
pub struct Standin(Arc<Mutex<Book>>);

impl Standin {
    /// Its book.
    pub fn book(&self) -> MutexGuard<'_, Book> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many runs there were.
    pub fn ran(&self) -> u32 {
        self.book().runs.values().sum()
    }
}

/// Where an upstream is and what it is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    /// Where it beats.
    pub dock: SocketAddr,
    /// Requests that it works on at once.
    pub slots: u32,
}

/// How long an upstream waits for the answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

impl Place {
    /// The same place in one of the upstream's lives.
    pub fn in_life(&self, life: u64) -> Place {
        let id = if life == 0 { self.id.clone() } else { format!("{}-{life}", self.id) };
        Place { id, ..self.clone() }
    }

    /// Sends a heartbeat of the upstream that is here.
    pub async fn beat(&self, condition: &str, sequence: u64) -> Result<client::Answer> {
        let body = serde_json::json!({
            "address": self.address.to_string(),
            "notice": {"line": self.service, "edition": "v1", "zone_name": "a", "berths": self.slots},
            "tracking": {"condition": condition, "sequence": sequence, "cold_left": "0ms"},
        });
        self.call("upstreams.beat", &body.to_string()).await
    }

    /// Reports that the upstream that is here leaves.
    pub async fn leave(&self) -> Result<client::Answer> {
        self.call("upstreams.leave", "").await
    }

    /// Calls the balancer beside the upstream.
    async fn call(&self, name: &str, body: &str) -> Result<client::Answer> {
        let target = format!("/-/rpc?call={name}&of={}", self.id);
        client::ask(self.dock, "POST", &target, &[], body.as_bytes(), CALL_TIMEOUT).await
    }
}

/// How long a request's body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes that a connection to an upstream holds unread.
const RECEIVE_BUFFER_BYTES: u32 = 256 << 10;
/// Connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// A listener whose connections hold few unread bytes, so that writers wait for a body that is not read.
fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves and beats for good.
pub async fn run(standin: Standin, place: Place) -> Result<()> {
    let listener = listen(place.address).with_context(|| format!("listen at {}", place.address))?;
    spawn_local(beats(standin.clone(), place.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        spawn_local(connection(standin.clone(), stream));
    }
}

async fn beats(standin: Standin, place: Place) {
    for sequence in 1_u64.. {
        let (closing, silent, life) = {
            let book = standin.book();
            (book.closing, book.silent, book.life)
        };
        if !silent {
            let condition = if closing { "closing" } else { "accepting" };
            let _ = place.in_life(life).beat(condition, sequence).await;
        }
        sleep(Duration::from_millis(200)).await;
    }
}

async fn connection(standin: Standin, stream: TcpStream) {
    // Told by the service when the connection is to be cut.
    let (cut, cuts) = tokio::sync::oneshot::channel::<()>();
    let cut = std::cell::RefCell::new(Some(cut));
    let service = service_fn(|request| {
        let standin = standin.clone();
        let cut = &cut;
        async move {
            match respond(standin, request).await {
                Some(response) => Ok::<_, Infallible>(response),
                None => {
                    if let Some(cut) = cut.borrow_mut().take() {
                        let _ = cut.send(());
                    }
                    std::future::pending().await
                }
            }
        }
    });
    let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = serving => {}
        _ = cuts => {}
    }
}

/// The body of an answer.
struct Said {
    text: Option<Bytes>,
    /// After its text the connection is closed, whatever was promised.
    breaks: bool,
}

impl Body for Said {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let broken = || std::io::Error::other("cut as told");
        Poll::Ready(match self.text.take() {
            Some(text) => Some(Ok(Frame::data(text))),
            None => self.breaks.then(|| Err(broken())),
        })
    }

    fn is_end_stream(&self) -> bool {
        !self.breaks && self.text.as_ref().is_none_or(Bytes::is_empty)
    }

    fn size_hint(&self) -> SizeHint {
        let length = self.text.as_ref().map_or(0, |text| text.len() as u64);
        if self.breaks { SizeHint::default() } else { SizeHint::with_exact(length) }
    }
}

/// Counts a request that is at work until it is dropped.
struct Working(Standin);

impl Working {
    fn begin(standin: &Standin) -> Working {
        let mut book = standin.book();
        book.working.0 += 1;
        book.working.1 = book.working.1.max(book.working.0);
        Working(standin.clone())
    }
}

impl Drop for Working {
    fn drop(&mut self) {
        self.0.book().working.0 -= 1;
    }
}

/// The answer, or nothing where the connection is to be cut.
async fn respond(standin: Standin, request: Request<Incoming>) -> Option<Response<Said>> {
    let (head, body) = request.into_parts();
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
    let (id, key, sender) = (text("x-try-id"), text("x-operation-key"), text("x-sender"));
    let (manner, works, large, begins_early) = {
        let book = standin.book();
        let works = if head.uri.path().contains("slow") { book.works_on_slow } else { book.works };
        (book.manner, works, book.large, book.begins_early)
    };
    let (body, unread) = match begins_early {
        true => (Bytes::new(), Some(body)),
        false => (timeout(BODY_TIMEOUT, body.collect()).await.ok()?.ok()?.to_bytes(), None),
    };
    // The body is read after the answer was handed over, or is dropped unread with a connection that is cut.
    let read_on = |unread: Option<Incoming>| {
        spawn_local(async move {
            if let Some(body) = unread {
                let _ = timeout(BODY_TIMEOUT, body.collect()).await;
            }
        });
    };
    match manner {
        Manner::CutBefore => return None,
        Manner::Sheds => {
            let mut response = Response::new(Said { text: Some(Bytes::new()), breaks: false });
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert("x-not-run", hyper::header::HeaderValue::from_static("1"));
            response.headers_mut().insert("x-try-id", id.parse().ok()?);
            read_on(unread);
            return Some(response);
        }
        _ => {}
    }
    let working = Working::begin(&standin);
    {
        let mut book = standin.book();
        *book.runs.entry(id.clone()).or_default() += 1;
        *book.senders.entry(sender).or_default() += 1;
        if !key.is_empty() {
            *book.keys.entry(key).or_default() += 1;
        }
    }
    sleep(works).await;
    drop(working);
    let stamp = format!("{id}.{}", standin.ran());
    let answer = |length: Option<&str>| {
        let id = if manner == Manner::Mixes { "another" } else { id.as_str() };
        let said = match head.uri.path().contains("large") {
            true => "l".repeat(large),
            false => format!("{} {} ran {}", head.method, head.uri, String::from_utf8_lossy(&body)),
        };
        let status = if manner == Manner::Fails { 500 } else { 200 };
        let builder = Response::builder().status(status).header("x-try-id", id).header("x-postmark", &stamp);
        let builder = length.into_iter().fold(builder, |b, l| b.header("content-length", l));
        builder.body(Said { text: Some(said.into()), breaks: manner == Manner::CutAfter }).ok()
    };
    if manner == Manner::CutDuring {
        return None;
    }
    read_on(unread);
    match manner {
        // Less than was promised: the connection ends within it.
        Manner::CutAfter => answer(Some("100000")),
        _ => answer(None),
    }
}
