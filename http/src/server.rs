//! Callers: their connections, their requests and the final answers.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use finchshift as fs;
use finchshift::{Effect, Micros};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Method, Request, Response, StatusCode, body::Body, body::Incoming, server::conn::http1};
use sloeline_engine::engine::{Engine, Wire};
use sloeline_engine::types::{Answer, Asked, Failure};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{AcquireError, OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::MOST_BODY;
use crate::gate::{Crowd, Fault, Gate, Progress, Stage};
use crate::upstream::{Call, Reply};

/// From the order to stop to the kill there is the longest deadline, or this where that is longer ...
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// ... and so much more, less a margin.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Part of that time in which connections and requests are still taken: the front needs it to find others.
const STILL_TAKEN: f64 = 0.37;
/// What comes so soon after the order may take its own time.
const UNHURRIED: Duration = Duration::from_millis(600);
/// How long a connection that has carried nothing is still kept when no more come.
const NOTHING_YET: Duration = Duration::from_millis(200);
/// Pause after a connection could not be taken for want of descriptors.
const NO_SOCKET_PAUSE: Duration = Duration::from_millis(20);
/// Part of the connections from which on answers close theirs: room for callers that have none.
const CROWDED: f64 = 0.75;
/// How long what a caller still sends after its error is read and dropped.
const LINGER: Duration = Duration::from_millis(500);
/// How much of it at the most.
const MOST_LINGER: usize = 1 << 20;

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// How far the balancer is with its life.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Phase {
    /// Takes what comes.
    Running,
    /// Told to stop: unready, but connections still come.
    Stopping,
    /// None come any more.
    Closing,
}

/// What callers may take up.
pub struct Room {
    /// Connections.
    pub places: usize,
    /// Bytes of the bodies of open requests and of their answers.
    pub bodies: usize,
}

/// What the answering of requests needs.
pub struct Server<W: Wire<Call = Call, Reply = Reply>> {
    engine: Rc<Engine<W>>,
    classes: HashMap<String, (fs::ClassId, fs::Class)>,
    tenants: HashMap<String, fs::TenantId>,
    places: Arc<Semaphore>,
    most: usize,
    crowd: Rc<Crowd>,
    /// Bytes that bodies and answers may still take.
    bodies: Cell<usize>,
    /// The ids of the requests that are open.
    ids: RefCell<HashSet<HeaderValue>>,
    /// When the order to stop came.
    ordered: Cell<Option<Instant>>,
    /// How long after it the last answer is given.
    leave_within: Duration,
    phase: watch::Receiver<Phase>,
}

impl<W: Wire<Call = Call, Reply = Reply>> Server<W> {
    /// A server for the named classes and tenants.
    pub fn new(
        engine: Rc<Engine<W>>,
        classes: Vec<(String, fs::Class)>,
        tenants: Vec<String>,
        room: Room,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Self> {
        let longest = classes.iter().map(|(_, class)| class.deadline).max().unwrap_or(0);
        let leave_within = Duration::from_micros(longest).min(LONGEST_WAIT) + KILL_MARGIN;
        let classes = classes.into_iter().enumerate().map(|(i, (name, class))| (name, (i, class))).collect();
        let tenants = tenants.into_iter().enumerate().map(|(i, name)| (name, i)).collect();
        let (places, most) = (Arc::new(Semaphore::new(room.places)), room.places);
        let (crowd, bodies, ids) = (Rc::default(), Cell::new(room.bodies), RefCell::default());
        let ordered = Cell::default();
        Rc::new(Server {
            engine,
            classes,
            tenants,
            places,
            most,
            crowd,
            bodies,
            ids,
            ordered,
            leave_within,
            phase,
        })
    }

    /// Takes connections until the order to stop and a little longer; returns when all are closed.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, phases: watch::Sender<Phase>) {
        let mut phase = self.phase.clone();
        let mut stop_at = None;
        loop {
            let end = async {
                match stop_at {
                    Some(at) => sleep_until(at).await,
                    None => {
                        let _ = phase.wait_for(|p| *p != Phase::Running).await;
                    }
                }
            };
            let accept = async {
                let accepted = listener.accept().await;
                (self.place().await, accepted)
            };
            tokio::select! {
                biased;
                (place, accepted) = accept => match (place, accepted) {
                    (Ok(place), Ok((stream, _))) => {
                        let progress = Progress::new(self.crowd.clone());
                        let task = spawn_local(self.clone().connection(stream, place, progress.clone()));
                        progress.of(task.abort_handle());
                    }
                    // Guards against a spin while no descriptor is free: the connection stays in the queue.
                    _ => sleep(NO_SOCKET_PAUSE).await,
                },
                () = end => match stop_at {
                    Some(_) => break,
                    None => {
                        eprintln!("sloeline: told to stop");
                        let now = Instant::now();
                        self.ordered.set(Some(now));
                        stop_at = Some(now + self.leave_within.mul_f64(STILL_TAKEN));
                    }
                },
            }
        }
        drop(listener);
        let _ = phases.send(Phase::Closing);
        let _ = self.places.acquire_many(self.most as u32).await;
    }

    /// A place for a new connection. Guards against those that say nothing and leave none: the one that has
    /// been idle longest makes room.
    async fn place(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
        while self.places.available_permits() == 0 {
            match self.crowd.close_oldest() {
                Ok(()) | Err(None) => break,
                Err(Some(ripe)) => tokio::select! {
                    place = self.places.clone().acquire_owned() => return place,
                    () = sleep_until(ripe) => {}
                },
            }
        }
        self.places.clone().acquire_owned().await
    }

    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        place: OwnedSemaphorePermit,
        progress: Rc<Progress>,
    ) {
        let _place = place;
        let _ = stream.set_nodelay(true);
        let used = Rc::new(Cell::new(false));
        let service = hyper::service::service_fn({
            let (server, used, progress) = (self.clone(), used.clone(), progress.clone());
            move |request| {
                used.set(true);
                let (server, progress) = (server.clone(), progress.clone());
                Box::pin(async move { Ok::<_, Infallible>(server.respond(request, &progress).await) })
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MOST_BODY);
        let mut connection = builder.serve_connection(Gate::new(stream, progress.clone()), service);
        let mut phase = self.phase.clone();
        let mut late = Box::pin(sleep(Duration::ZERO));
        loop {
            let now = *phase.borrow_and_update();
            // Not before: callers that find their connections closed may have no other balancer yet.
            if now == Phase::Closing {
                Pin::new(&mut connection).graceful_shutdown();
            }
            // The connection until it ends, or until it has been at one thing for too long.
            let served = poll_fn(|cx| {
                if connection.poll_without_shutdown(cx).is_ready() {
                    return Poll::Ready(false);
                }
                let Some(due) = progress.due() else { return Poll::Pending };
                if late.deadline() != due {
                    late.as_mut().reset(due);
                }
                late.as_mut().poll(cx).map(|()| true)
            });
            let too_late = tokio::select! {
                too_late = served => too_late,
                // Guards the stop against a caller that never ends its first request.
                () = sleep(NOTHING_YET), if now == Phase::Closing && !used.get() => {
                    if used.get() { continue } else { return }
                }
                changed = phase.changed() => if changed.is_err() { return } else { continue },
            };
            let error = match (progress.fault(), too_late, progress.stage()) {
                (Some(Fault::Bad), ..) => Some("400 Bad Request"),
                (Some(Fault::TooLarge), ..) => Some("431 Request Header Fields Too Large"),
                (None, true, Stage::Head | Stage::Body) => Some("408 Request Timeout"),
                _ => None,
            };
            // What hyper held goes first, the open request with it.
            let stream = connection.into_parts().io.into_stream();
            let error = error.filter(|_| !progress.stuck());
            if error.is_some() || progress.unread() {
                let _ = timeout(LINGER, leave(stream, error)).await;
            }
            return;
        }
    }

    async fn respond(&self, request: Request<Incoming>, progress: &Progress) -> Response<Full<Bytes>> {
        let mut response = match request.uri().path() {
            "/health/ready" => self.ready(),
            "/api" => self.api(request, progress).await,
            _ => plain(StatusCode::NOT_FOUND, "no such path"),
        };
        // What comes after a request that was not read, or whose end only hyper knows, is no request.
        let last = progress.unread() || progress.chunked();
        if !last {
            progress.answered();
        }
        let crowded = (self.places.available_permits() as f64) < (1.0 - CROWDED) * self.most as f64;
        if last || crowded || *self.phase.borrow() == Phase::Closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    fn ready(&self) -> Response<Full<Bytes>> {
        if *self.phase.borrow() == Phase::Running && self.engine.listed() {
            plain(StatusCode::OK, "ready")
        } else {
            plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    async fn api(&self, request: Request<Incoming>, progress: &Progress) -> Response<Full<Bytes>> {
        // The longest that it can get, and its answer beside. Guards the memory: past the bound nothing is read.
        let body = request.body().size_hint().exact().unwrap_or(u64::MAX).min(MOST_BODY as u64);
        let Some(_bytes) = Share::take(&self.bodies, body as usize + MOST_BODY) else {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "no room");
        };
        let asked = match self.read(request).await {
            Ok(asked) => asked,
            Err((status, why)) => return plain(status, why),
        };
        progress.taken();
        // Guards against a second request under an id that is open: upstreams could not tell them apart.
        let Some(_id) = asked.call.headers.get(REQ_ID).and_then(|id| Id::take(&self.ids, id)) else {
            return plain(StatusCode::BAD_REQUEST, "this Req-Id is open");
        };
        match self.engine.ask(asked).answer().await {
            Answer::Served(reply) => {
                let mut response = Response::new(Full::new(reply.body));
                *response.headers_mut() = end_to_end(&reply.headers);
                response
            }
            Answer::Refused { retry_after } => {
                let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
                let seconds = format!("{:.3}", retry_after as f64 / 1e6);
                if let (true, Ok(seconds)) = (retry_after > 0, HeaderValue::from_str(&seconds)) {
                    response.headers_mut().insert(RETRY_AFTER, seconds);
                }
                response
            }
            Answer::Failed(Failure::Time) => plain(StatusCode::GATEWAY_TIMEOUT, "out of time"),
            Answer::Failed(Failure::Upstream) => plain(StatusCode::BAD_GATEWAY, "upstream failed"),
        }
    }

    /// Reads a request whole; its clock starts when this is done.
    async fn read(&self, request: Request<Incoming>) -> Result<Asked<Call>, (StatusCode, &'static str)> {
        let bad = |why| (StatusCode::BAD_REQUEST, why);
        let (head, body) = request.into_parts();
        // Guards against peers that read the first of two and others that read the last.
        let doubled = |name: &HeaderName| head.headers.get_all(name).iter().nth(1).is_some();
        let counted = |name: &&HeaderName| name.as_str().starts_with("req-") || **name == KEY;
        if head.headers.keys().filter(counted).any(doubled) {
            return Err(bad("a header that may stand once stands twice"));
        }
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let kind = text("req-kind").ok_or(bad("no Req-Kind"))?;
        let (id, class) = self.classes.get(kind).ok_or(bad("unknown Req-Kind"))?;
        if head.headers.get(REQ_ID).is_none_or(HeaderValue::is_empty) {
            return Err(bad("no Req-Id"));
        }
        if head.method != Method::GET && head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        // Method and key say what may be repeated; the class says the same, or one of the two is wrong.
        let key = head.headers.get(KEY).map(|key| !key.is_empty());
        let fits = match class.effect {
            Effect::Safe => head.method == Method::GET && key.is_none(),
            Effect::Keyed { .. } => head.method == Method::POST && key == Some(true),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err(bad("method or Idempotency-Key do not fit the class"));
        }
        let number =
            |text: &str| text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse::<u64>().ok())?;
        let time_left = match head.headers.get("req-deadline-ms") {
            None => class.deadline,
            Some(_) => {
                let deadline = text("req-deadline-ms").and_then(number);
                deadline.ok_or(bad("Req-Deadline-Ms is no number"))?.saturating_mul(1000)
            }
        };
        let safe = class.effect == Effect::Safe;
        // Guards against the kill: what is taken late is answered before it can come.
        let until_kill =
            self.ordered.get().filter(|at| at.elapsed() > UNHURRIED).map_or(Micros::MAX, |at| {
                self.leave_within.saturating_sub(at.elapsed()).as_micros() as Micros
            });
        let (class, time_left) = (*id, time_left.min(class.deadline).min(until_kill));
        let tenant = text("req-owner").and_then(|t| self.tenants.get(t).copied());
        let (work, retry): (Option<Micros>, _) =
            (text("req-cost").and_then(number), text("req-retry") == Some("1"));
        let headers = end_to_end(&head.headers);
        let too_large = (StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB");
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Err(too_large);
        }
        let body = match Limited::new(body, MOST_BODY).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => return Err(too_large),
            Err(_) => return Err(bad("broken body")),
        };
        if safe && !body.is_empty() {
            return Err(bad("a body that does not fit the class"));
        }
        // A request that names the whole address is for this path all the same.
        let path = head.uri.path_and_query().cloned().ok_or(bad("no path"))?;
        let call = Call { method: head.method, uri: path.into(), headers, body };
        Ok(Asked { class, time_left, tenant, work, retry, call })
    }
}

/// Says why, if there is a word left to say, and reads on for a while. Guards the answer: a socket that is closed
/// with something unread in it is reset, and the caller may lose what it was told.
async fn leave(mut stream: TcpStream, error: Option<&str>) -> io::Result<()> {
    if let Some(error) = error {
        let text = format!("HTTP/1.1 {error}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
    }
    stream.shutdown().await?;
    let (mut read, mut chunk) = (0, [0; 4096]);
    while read < MOST_LINGER {
        match stream.read(&mut chunk).await? {
            0 => break,
            n => read += n,
        }
    }
    Ok(())
}

/// A share of the bytes that bodies may take.
struct Share<'a> {
    left: &'a Cell<usize>,
    bytes: usize,
}

impl Share<'_> {
    fn take(left: &Cell<usize>, bytes: usize) -> Option<Share<'_>> {
        left.set(left.get().checked_sub(bytes)?);
        Some(Share { left, bytes })
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.bytes);
    }
}

/// The id of a request that is open.
struct Id<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl Id<'_> {
    fn take<'a>(ids: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Id<'a>> {
        ids.borrow_mut().insert(id.clone()).then(|| Id { ids, id: id.clone() })
    }
}

impl Drop for Id<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}

/// The headers that are not about the connection or the framing.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<&str> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .collect();
    let hop = |name: &HeaderName| {
        [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE].contains(name)
            || ["keep-alive", "proxy-connection", "srv-load", "srv-declined"].contains(&name.as_str())
            || named.iter().any(|n| n.trim().eq_ignore_ascii_case(name.as_str()))
    };
    headers.iter().filter(|(name, _)| !hop(name)).map(|(n, v)| (n.clone(), v.clone())).collect()
}

fn plain(status: StatusCode, why: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response
}
