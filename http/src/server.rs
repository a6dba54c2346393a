//! The HTTP server side: client connections, their requests and the final responses. A [`Frontend`] decides how a
//! request is handled.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use finchshift::Micros;
use http_body_util::BodyExt;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, body::Body, body::Incoming, server::conn::http1};
use sloeline_engine::engine::Transport;
use sloeline_engine::types::{Answer, Failure, NewRequest};
use sloeline_limits::Permit;
use sloeline_operations::presence::Posture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{AcquireError, Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::client_io::{ClientIo, Fault, IdleConnections, Progress, Stage, StageTimeouts};
use crate::frontend::{Admission, ClientResponse, Frontend, end_to_end_headers, text_response};
use crate::payload::{BodyEnd, Payload};
use crate::upload::{RequestBody, StreamingUpload};
use crate::upstream::Call;
use crate::{MAX_BUFFERED_BYTES, MOST_HEAD};

/// Upper bound of the drain time on the platform before the margin. The process is killed some time after the order
/// to stop, which depends on the longest deadline up to this bound.
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// Added to the drain time on the platform. It is shorter than the grace period after the longest deadline, so that
/// the last response precedes the kill.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Share of the drain time during which connections and requests are still accepted on the platform. The load
/// balancer in front needs this time to switch to other instances.
const STILL_TAKEN: f64 = 0.37;
/// How long a removed listener still accepts connections. Connections in the accept queue are already established
/// for their clients.
const IN_QUEUE: Duration = Duration::from_millis(20);
/// A request that arrives within this time after the order to stop keeps its own deadline.
const UNHURRIED: Duration = Duration::from_millis(600);
/// How long a connection without any request is kept open once no more connections are accepted.
const NOTHING_YET: Duration = Duration::from_millis(200);
/// Pause after a connection could not be accepted because no file descriptor was free.
const NO_SOCKET_PAUSE: Duration = Duration::from_millis(20);
/// Share of the connection slots in use above which responses close their connection. This leaves slots for clients
/// that have no connection.
const CROWDED: f64 = 0.75;
/// How long input from a client is read and discarded after an error response.
const LINGER: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded after an error response.
const MOST_LINGER: usize = 1 << 20;

/// The lifecycle phase of the balancer.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub enum Phase {
    /// Accepts connections and requests.
    Running,
    /// The order to stop has come: the readiness check fails, but connections are still accepted.
    Stopping,
    /// No more connections are accepted.
    Closing,
}

/// Limits for the clients of a listener.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLimits {
    /// Maximum number of client connections.
    pub max_connections: usize,
    /// Time limits for the stages of a connection.
    pub timeouts: StageTimeouts,
    /// The path of the readiness check.
    pub ready_path: String,
    /// Time from the order to stop until the last response is sent.
    pub drain_timeout: Duration,
    /// Time from the order to stop during which connections and requests are still accepted.
    pub accept_after_stop: Duration,
}

impl ServerLimits {
    /// Returns the limits on the platform for this number of connections. `longest` is the longest deadline in
    /// microseconds.
    pub fn platform(max_connections: usize, longest: Micros) -> ServerLimits {
        let drain_timeout = Duration::from_micros(longest).min(LONGEST_WAIT) + KILL_MARGIN;
        let (pace, ready_path) = (StageTimeouts::default(), "/health/ready".to_owned());
        ServerLimits {
            max_connections,
            timeouts: pace,
            ready_path,
            drain_timeout,
            accept_after_stop: drain_timeout.mul_f64(STILL_TAKEN),
        }
    }
}

/// Serves the clients of one listener.
pub struct HttpServer<F: Frontend> {
    front: F,
    connection_slots: Arc<Semaphore>,
    room: RefCell<ServerLimits>,
    crowd: Rc<IdleConnections>,
    /// The ids of the open requests, which must be unique.
    ids: RefCell<HashSet<HeaderValue>>,
    /// When the order to stop came.
    ordered: Cell<Option<Instant>>,
    /// Notified when the drain timeout after the order to stop expires.
    leave: Notify,
    phase: watch::Receiver<Phase>,
    /// How the server treats clients, as set by operators' orders and by a successor process.
    posture: watch::Sender<Posture>,
}

impl<F: Frontend> HttpServer<F> {
    /// Creates a server that handles requests as the frontend decides.
    pub fn new(front: F, room: ServerLimits, phase: watch::Receiver<Phase>) -> Rc<Self> {
        let (places, crowd) =
            (Arc::new(Semaphore::new(room.max_connections)), IdleConnections::new(room.timeouts));
        let (room, ids) = (RefCell::new(room), RefCell::default());
        let (ordered, leave) = (Cell::default(), Notify::new());
        let (posture, _) = watch::channel(Posture::default());
        Rc::new(HttpServer {
            front,
            connection_slots: places,
            room,
            crowd,
            ids,
            ordered,
            leave,
            phase,
            posture,
        })
    }

    /// Changes how clients are treated from now on.
    pub fn set_posture(&self, posture: Posture) {
        self.posture.send_if_modified(|now| std::mem::replace(now, posture) != posture);
    }

    /// Returns the frontend.
    pub fn frontend(&self) -> &F {
        &self.front
    }

    /// Changes the limits. Existing connections stay open.
    pub fn set_limits(&self, room: ServerLimits) {
        let before = std::mem::replace(&mut *self.room.borrow_mut(), room.clone());
        self.crowd.set_pace(room.timeouts);
        match room.max_connections.checked_sub(before.max_connections) {
            Some(more) => self.connection_slots.add_permits(more),
            None => {
                let (places, fewer) =
                    (self.connection_slots.clone(), before.max_connections - room.max_connections);
                spawn_local(async move {
                    // Acquiring all permits at once would withhold each freed slot from waiting connections until
                    // enough slots are free.
                    for _ in 0..fewer {
                        if let Ok(place) = places.acquire().await {
                            place.forget();
                        }
                    }
                });
            }
        }
    }

    fn drain_timeout(&self) -> Duration {
        self.room.borrow().drain_timeout
    }

    fn most(&self) -> usize {
        self.room.borrow().max_connections
    }

    /// Accepts connections until the listener is removed or until some time after the order to stop.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener, phases: &watch::Sender<Phase>) {
        let mut phase = self.phase.clone();
        let mut posture = self.posture.subscribe();
        let mut stop_at = None;
        // An accepted connection that waits for a slot. It must not get lost when another event comes first.
        let mut waiting = None;
        loop {
            let accepts = posture.borrow_and_update().accepts || waiting.is_some();
            let end = async {
                match stop_at {
                    Some(at) => sleep_until(at).await,
                    None => {
                        let _ = phase.wait_for(|p| *p != Phase::Running).await;
                    }
                }
            };
            let accept = async {
                if waiting.is_none() {
                    waiting = Some(listener.accept().await?);
                }
                self.place().await.map_err(io::Error::other)
            };
            tokio::select! {
                biased;
                place = accept, if accepts => match (place, waiting.take()) {
                    (Ok(place), Some((stream, peer))) => self.take(stream, peer, place),
                    // Avoids a busy loop while no file descriptor is free. The connection stays in the accept queue.
                    _ => sleep(NO_SOCKET_PAUSE).await,
                },
                // This cannot fail: the server itself holds the sender.
                _ = posture.changed() => {}
                () = end => match stop_at {
                    Some(_) => break,
                    None => {
                        let now = Instant::now();
                        let removed = *self.phase.borrow() == Phase::Closing;
                        let still = if removed { IN_QUEUE } else { self.room.borrow().accept_after_stop };
                        stop_at = Some(now + still);
                        // The requests of a removed listener keep their own deadlines.
                        if !removed {
                            self.ordered.set(Some(now));
                            let this = self.clone();
                            spawn_local(async move {
                                sleep_until(now + this.drain_timeout()).await;
                                this.leave.notify_waiters();
                            });
                        }
                    }
                },
            }
        }
        // Accepts what the queue still holds, because closing the listener would reset these connections. A
        // successor process accepts them itself.
        while posture.borrow().accepts
            && let Some((stream, peer)) = match waiting.take() {
                Some(waiting) => Some(waiting),
                None => timeout(Duration::ZERO, listener.accept()).await.ok().and_then(Result::ok),
            }
            && let Ok(place) = self.connection_slots.clone().try_acquire_owned()
        {
            self.take(stream, peer, place);
        }
        drop(listener);
        let _ = phases.send(Phase::Closing);
    }

    /// Starts a task that serves an accepted connection.
    fn take(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr, place: OwnedSemaphorePermit) {
        let progress = Progress::new(self.crowd.clone());
        let task = spawn_local(self.clone().connection(stream, peer, place, progress.clone()));
        progress.of(task.abort_handle());
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        let _ = self.connection_slots.acquire_many(self.most() as u32).await;
    }

    /// Waits for a free connection slot. If there is none, the connection that has been idle longest is closed, so
    /// that silent clients cannot occupy all slots.
    async fn place(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
        while self.connection_slots.available_permits() == 0 {
            match self.crowd.close_oldest() {
                Ok(()) | Err(None) => break,
                Err(Some(ripe)) => tokio::select! {
                    place = self.connection_slots.clone().acquire_owned() => return place,
                    () = sleep_until(ripe) => {}
                },
            }
        }
        self.connection_slots.clone().acquire_owned().await
    }

    /// Serves the requests of a connection until it ends, times out or is closed for a shutdown.
    async fn connection(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
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
                Box::pin(async move { Ok::<_, Infallible>(server.respond(request, peer, &progress).await) })
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MOST_HEAD);
        let mut connection = builder.serve_connection(ClientIo::new(stream, progress.clone()), service);
        let mut phase = self.phase.clone();
        let mut posture = self.posture.subscribe();
        let mut late = Box::pin(sleep(Duration::ZERO));
        loop {
            let idle_close = posture.borrow_and_update().idle_close;
            let closing = idle_close || *phase.borrow_and_update() == Phase::Closing;
            // Connections are not closed earlier, because their clients may not have another balancer yet. An unused
            // connection may have a request in transit, which hyper would not wait for. The response to that request
            // closes the connection.
            if closing && used.get() {
                Pin::new(&mut connection).graceful_shutdown();
            }
            // Resolves to false when the connection ends and to true when its stage times out.
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
                // Bounds the shutdown if a client never completes its first request.
                () = sleep(NOTHING_YET), if closing && !used.get() => {
                    if used.get() { continue } else { return }
                }
                _ = posture.changed() => continue,
                changed = phase.changed() => if changed.is_err() { return } else { continue },
            };
            let error = match (progress.fault(), too_late, progress.stage()) {
                (Some(Fault::Bad), ..) => Some("400 Bad Request"),
                (Some(Fault::TooLarge), ..) => Some("431 Request Header Fields Too Large"),
                (None, true, Stage::Body) if progress.held_up() => Some("504 Gateway Timeout"),
                (None, true, Stage::Head | Stage::Body) => Some("408 Request Timeout"),
                _ => None,
            };
            // Drops hyper's state first, and the open request with it.
            let stream = connection.into_parts().io.into_stream();
            let error = error.filter(|_| !progress.stuck());
            if error.is_some() || progress.unread() {
                let _ = timeout(LINGER, leave(stream, error)).await;
            }
            return;
        }
    }

    /// Answers one request and decides whether the connection is closed after the response.
    async fn respond(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        progress: &Rc<Progress>,
    ) -> ClientResponse {
        let mut response = if request.uri().path() == self.room.borrow().ready_path {
            self.ready()
        } else {
            self.serve_one(request, peer, progress).await
        };
        // Bytes after a request that was not read, or whose end only hyper knows, must not be parsed as another
        // request.
        let last = progress.unread() || progress.chunked();
        match response.body_mut() {
            Payload::Streaming(passing) => {
                // The next request is not parsed until this response has ended.
                progress.answering();
                let progress = progress.clone();
                passing.on_end(move |end| {
                    if !last && end == BodyEnd::Complete {
                        progress.answered();
                    }
                });
            }
            Payload::Buffered(_) if !last => progress.answered(),
            Payload::Buffered(_) => {}
        }
        let most = self.most();
        let crowded = (self.connection_slots.available_permits() as f64) < (1.0 - CROWDED) * most as f64;
        if last || crowded || self.posture.borrow().answers_close || *self.phase.borrow() == Phase::Closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers the readiness check.
    fn ready(&self) -> ClientResponse {
        // While stopping, the server is ready only if another process serves at its address.
        let posture = *self.posture.borrow();
        let running = *self.phase.borrow() == Phase::Running || !posture.accepts;
        if running && posture.ready && self.front.ready() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Admits a request, reads its body, submits it to the engine and returns the final response.
    async fn serve_one(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        progress: &Rc<Progress>,
    ) -> ClientResponse {
        let (head, body) = request.into_parts();
        let admission = match self.front.admit(&head, peer) {
            Ok(admission) => admission,
            Err(answer) => return answer,
        };
        // Body memory of the request: a reservation for its response, and its own body as far as it was received.
        let Some(room) = admission.body_memory.acquire(admission.response_reservation_bytes) else {
            return self.refused(0, "no room");
        };
        let mut upload = None;
        let (body, room) = match read(body, &admission).await {
            Ok(Come::Whole(body, own)) => {
                progress.taken();
                (RequestBody::Buffered(body), (room, own))
            }
            Ok(Come::Passing(body)) => {
                let progress = progress.clone();
                progress.passes(Duration::from_micros(admission.time_left));
                body.on_received(move || progress.taken());
                upload = Some(body.clone());
                (RequestBody::Streaming(body), (room, Vec::new()))
            }
            Err((status, why)) => return text_response(status, why),
        };
        let Admission {
            engine,
            class,
            tenant,
            work,
            is_retry: retry,
            method,
            uri,
            headers,
            request_id: id,
            guard: held,
            observer: witness,
            ..
        } = admission;
        // Rejects a second request with an id that is still open, because upstreams could not distinguish the two.
        let _id = match id.map(|id| Id::take(&self.ids, &id)) {
            Some(None) => return text_response(StatusCode::BAD_REQUEST, "this Req-Id is open"),
            taken => taken,
        };
        let _held = held;
        // A request that arrives late in a shutdown must be answered before the process is killed.
        let until_kill = self.ordered.get().filter(|at| at.elapsed() > UNHURRIED).map_or(Micros::MAX, |at| {
            self.drain_timeout().saturating_sub(at.elapsed()).as_micros() as Micros
        });
        let time_left = admission.time_left.min(until_kill);
        let head_only = method == Method::HEAD;
        let call = Call { method, uri, headers, body };
        let operation = witness.as_ref().map(|witness| witness.operation());
        let asked = Instant::now();
        let asking = engine.submit(NewRequest { class, time_left, tenant, work, retry, operation, call });
        // A request that is still open when the drain timeout expires fails, so that its client gets a response
        // before the process is killed.
        let answer = tokio::select! {
            biased;
            answer = asking.answer() => answer,
            () = self.leave.notified() => Answer::Failed(Failure::DeadlineExceeded),
        };
        match answer {
            Answer::Served(mut reply) => {
                if let Some(witness) = witness {
                    witness.on_response(reply.status, &reply.headers, asked.elapsed().as_micros() as Micros);
                }
                // The memory of the request body is released with the attempt, which ends with the response.
                if let Payload::Streaming(passing) = &mut reply.body {
                    passing.on_end(move |_| drop(room));
                }
                let length = reply.headers.get(CONTENT_LENGTH).filter(|_| head_only).cloned();
                let mut response = Response::new(reply.body);
                *response.status_mut() = reply.status;
                *response.headers_mut() = end_to_end_headers(&reply.headers);
                // The length of the body that a response to HEAD omits (RFC 9110 section 9.3.2).
                if let Some(length) = length {
                    response.headers_mut().insert(CONTENT_LENGTH, length);
                }
                response
            }
            // The request was never sent, and its body is incomplete.
            Answer::Refused { .. } if upload.is_some_and(|u| u.is_failed()) => {
                text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large or broke off")
            }
            Answer::Refused { retry_after } => self.refused(retry_after, "refused"),
            Answer::Failed(Failure::DeadlineExceeded) => {
                text_response(StatusCode::GATEWAY_TIMEOUT, "out of time")
            }
            Answer::Failed(Failure::Upstream) => text_response(StatusCode::BAD_GATEWAY, "upstream failed"),
        }
    }

    /// Builds a 503 response for a request that was not sent, so that a retry is safe. `wish` is the retry delay
    /// that the engine proposes, in microseconds.
    fn refused(&self, wish: Micros, why: &'static str) -> ClientResponse {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, why);
        if let Some(seconds) = self.front.retry_after(wish) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}

/// A request body as far as it was read.
enum Come {
    /// The whole body with the permits for its memory.
    Whole(Bytes, Vec<Permit>),
    /// A body that does not fit in memory and is streamed to the upstream.
    Passing(Rc<StreamingUpload>),
}

/// Reads a request body whole if there is memory for it. Memory is acquired as data arrives, so that a false
/// Content-Length reserves nothing. The request's deadline starts when this function returns. The error is the
/// status and the text for the client.
async fn read<W: Transport>(
    mut body: Incoming,
    admission: &Admission<W>,
) -> Result<Come, (StatusCode, &'static str)> {
    let too_large = (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
    let most = admission.max_body_bytes as u64;
    if body.size_hint().lower() > most {
        return Err(too_large);
    }
    let exact = body.size_hint().exact().unwrap_or(0) as usize;
    let (mut whole, mut room, mut reserved) = (BytesMut::new(), Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| (StatusCode::BAD_REQUEST, "broken body"))?;
        let Ok(data) = frame.into_data() else { continue };
        if admission.forbids_body && !data.is_empty() {
            return Err((StatusCode::BAD_REQUEST, "a body that does not fit the class"));
        }
        let length = whole.len() + data.len();
        if length as u64 > most {
            return Err(too_large);
        }
        if length > reserved {
            // Doubles the reservation as the buffer grows, up to the announced length.
            let more = if exact > 0 { exact.min(2 * length) } else { 2 * length }.max(length) - reserved;
            // Leaves memory for other requests: beyond the default buffer size, a body must leave as much memory
            // free as it uses itself.
            let modest = reserved + more <= MAX_BUFFERED_BYTES
                || admission.body_memory.available() >= reserved + 2 * more;
            let Some(taken) = admission.body_memory.acquire(more).filter(|_| modest) else {
                whole.extend_from_slice(&data);
                return Ok(Come::Passing(StreamingUpload::new(
                    whole.freeze(),
                    room,
                    body,
                    most - length as u64,
                )));
            };
            room.push(taken);
            reserved += more;
            whole.reserve(reserved - whole.len());
        }
        whole.extend_from_slice(&data);
    }
    Ok(Come::Whole(whole.freeze(), room))
}

/// Sends an error response if there is one, then reads and discards input for a while. Closing a socket with unread
/// input resets the connection, and the client could lose the response.
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

/// Registers the id of an open request until it is dropped.
struct Id<'a> {
    ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl Id<'_> {
    /// Registers the id. Returns `None` if another open request has the same id.
    fn take<'a>(ids: &'a RefCell<HashSet<HeaderValue>>, id: &HeaderValue) -> Option<Id<'a>> {
        ids.borrow_mut().insert(id.clone()).then(|| Id { ids, id: id.clone() })
    }
}

impl Drop for Id<'_> {
    fn drop(&mut self) {
        self.ids.borrow_mut().remove(&self.id);
    }
}
