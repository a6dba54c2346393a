//! Callers: their connections, their requests and the final answers. What a request is, a [`Front`] says.

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

/// From the order to stop to the kill there is the longest deadline, or this where that is longer ...
const LONGEST_WAIT: Duration = Duration::from_secs(3);
/// ... and so much more, less a margin.
const KILL_MARGIN: Duration = Duration::from_millis(500);
/// Part of that time in which connections and requests are still taken: the front needs it to find others.
const STILL_TAKEN: f64 = 0.37;
/// A listener that is removed takes what its queue holds for so long: the connections are up for their callers.
const IN_QUEUE: Duration = Duration::from_millis(20);
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

/// What the callers of a listener may take up.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLimits {
    /// Connections.
    pub max_connections: usize,
    /// How long each stage of a connection may take.
    pub timeouts: StageTimeouts,
    /// The path that tells whether requests can be served.
    pub ready_path: String,
    /// How long after the order to stop the last answer is given.
    pub drain_timeout: Duration,
    /// How long after it connections and requests are still taken.
    pub accept_after_stop: Duration,
}

impl ServerLimits {
    /// So many places, and all else as the platform has it; `longest` is the longest deadline.
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

/// The callers of one listener.
pub struct HttpServer<F: Frontend> {
    front: F,
    connection_slots: Arc<Semaphore>,
    room: RefCell<ServerLimits>,
    crowd: Rc<IdleConnections>,
    /// The ids of the requests that are open.
    ids: RefCell<HashSet<HeaderValue>>,
    /// When the order to stop came.
    ordered: Cell<Option<Instant>>,
    /// Rings when the last answer is due after that order.
    leave: Notify,
    phase: watch::Receiver<Phase>,
    /// What operators' orders and a successor make of it.
    posture: watch::Sender<Posture>,
}

impl<F: Frontend> HttpServer<F> {
    /// The callers that a front serves.
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

    /// Meets clients in this way from now on.
    pub fn set_posture(&self, posture: Posture) {
        self.posture.send_if_modified(|now| std::mem::replace(now, posture) != posture);
    }

    /// The front.
    pub fn frontend(&self) -> &F {
        &self.front
    }

    /// Changes what may be taken up; connections that are there stay.
    pub fn set_limits(&self, room: ServerLimits) {
        let before = std::mem::replace(&mut *self.room.borrow_mut(), room.clone());
        self.crowd.set_pace(room.timeouts);
        match room.max_connections.checked_sub(before.max_connections) {
            Some(more) => self.connection_slots.add_permits(more),
            None => {
                let (places, fewer) =
                    (self.connection_slots.clone(), before.max_connections - room.max_connections);
                spawn_local(async move {
                    // One by one: all at once would keep every place that frees from those who wait.
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

    /// Takes connections until the order to stop and a little longer, or until none are to come any more.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener, phases: &watch::Sender<Phase>) {
        let mut phase = self.phase.clone();
        let mut posture = self.posture.subscribe();
        let mut stop_at = None;
        // One that waits for a place. Guards it against what happens meanwhile: it has been accepted.
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
                    // Guards against a spin while no descriptor is free: the connection stays in the queue.
                    _ => sleep(NO_SOCKET_PAUSE).await,
                },
                // The front itself holds the other end.
                _ = posture.changed() => {}
                () = end => match stop_at {
                    Some(_) => break,
                    None => {
                        let now = Instant::now();
                        let removed = *self.phase.borrow() == Phase::Closing;
                        let still = if removed { IN_QUEUE } else { self.room.borrow().accept_after_stop };
                        stop_at = Some(now + still);
                        // A listener that is removed leaves its requests their own time.
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
        // What the queue still holds would be reset; with a successor it is the successor's.
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

    fn take(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr, place: OwnedSemaphorePermit) {
        let progress = Progress::new(self.crowd.clone());
        let task = spawn_local(self.clone().connection(stream, peer, place, progress.clone()));
        progress.of(task.abort_handle());
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        let _ = self.connection_slots.acquire_many(self.most() as u32).await;
    }

    /// A place for a new connection. Guards against those that say nothing and leave none: the one that has
    /// been idle longest makes room.
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
            // Not before: callers that find their connections closed may have no other balancer yet. One that has just
            // come may have a request on its way, which hyper would not wait for; its answer closes it.
            if closing && used.get() {
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
            // What hyper held goes first, the open request with it.
            let stream = connection.into_parts().io.into_stream();
            let error = error.filter(|_| !progress.stuck());
            if error.is_some() || progress.unread() {
                let _ = timeout(LINGER, leave(stream, error)).await;
            }
            return;
        }
    }

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
        // What comes after a request that was not read, or whose end only hyper knows, is no request.
        let last = progress.unread() || progress.chunked();
        match response.body_mut() {
            Payload::Streaming(passing) => {
                // The next request waits for the end of this one's answer.
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

    fn ready(&self) -> ClientResponse {
        // Stopping, it is ready only where another process serves at its address.
        let posture = *self.posture.borrow();
        let running = *self.phase.borrow() == Phase::Running || !posture.accepts;
        if running && posture.ready && self.front.ready() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

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
        // What it holds of the memory for bodies: a place for its answer, and its own body as far as it has come.
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
        // Guards against a second request under an id that is open: upstreams could not tell them apart.
        let _id = match id.map(|id| Id::take(&self.ids, &id)) {
            Some(None) => return text_response(StatusCode::BAD_REQUEST, "this Req-Id is open"),
            taken => taken,
        };
        let _held = held;
        // Guards against the kill: what is taken late is answered before it can come.
        let until_kill = self.ordered.get().filter(|at| at.elapsed() > UNHURRIED).map_or(Micros::MAX, |at| {
            self.drain_timeout().saturating_sub(at.elapsed()).as_micros() as Micros
        });
        let time_left = admission.time_left.min(until_kill);
        let head_only = method == Method::HEAD;
        let call = Call { method, uri, headers, body };
        let operation = witness.as_ref().map(|witness| witness.operation());
        let asked = Instant::now();
        let asking = engine.submit(NewRequest { class, time_left, tenant, work, retry, operation, call });
        // Guards against the kill too: what is still open by then fails, and its caller hears so.
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
                // The request's body is kept as long as its attempt, which ends with the answer.
                if let Payload::Streaming(passing) = &mut reply.body {
                    passing.on_end(move |_| drop(room));
                }
                let length = reply.headers.get(CONTENT_LENGTH).filter(|_| head_only).cloned();
                let mut response = Response::new(reply.body);
                *response.status_mut() = reply.status;
                *response.headers_mut() = end_to_end_headers(&reply.headers);
                // Of the body that is not there (RFC 9110 section 9.3.2).
                if let Some(length) = length {
                    response.headers_mut().insert(CONTENT_LENGTH, length);
                }
                response
            }
            // It never ran, and it never will.
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

    /// Trying again is harmless.
    fn refused(&self, wish: Micros, why: &'static str) -> ClientResponse {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, why);
        if let Some(seconds) = self.front.retry_after(wish) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}

/// A body as far as it was read.
enum Come {
    /// All of it, and its memory.
    Whole(Bytes, Vec<Permit>),
    /// There is no memory for the rest: it passes on.
    Passing(Rc<StreamingUpload>),
}

/// Reads a body whole, if there is memory for it; the request's clock starts when this is done. Memory is taken as it
/// comes, so that a length that is only claimed costs nothing. The error is for the caller.
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
            // Twice as much each time, as the buffer grows, and no more than is told.
            let more = if exact > 0 { exact.min(2 * length) } else { 2 * length }.max(length) - reserved;
            // Guards the others: as with shares of a reserve, one body leaves free as much as it has itself.
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
