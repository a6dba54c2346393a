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

use finchshift::Micros;
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, server::conn::http1};
use sloeline_engine::types::{Answer, Failure, NewRequest};
use sloeline_operations::client_policy::ClientPolicy;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{AcquireError, Notify, OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::client_io::{
    ClientIo, ConnectionCounts, ConnectionState, IdleConnections, RequestError, Stage, StageTimeouts,
};
use crate::frontend::{Admission, ClientResponse, Frontend, end_to_end_headers, text_response};
use crate::payload::{BodyEnd, Payload};
use crate::received_body::{BodyError, BodyLimits, ReceivedBody, read_body};
use crate::upload::RequestBody;
use crate::upstream::{Call, ProcessingStart};
use crate::whole_body::buffer_whole;
use crate::{DEFAULT_MAX_HEAD_BYTES, MAX_HEAD_BUFFER_BYTES, MAX_HEAD_BYTES};

/// Upper bound of the drain time on the platform, before [`PLATFORM_DRAIN_EXTENSION`] is added. Below this bound,
/// the longest deadline is the drain time.
const PLATFORM_MAX_DRAIN: Duration = Duration::from_secs(3);
/// Added to the drain time on the platform. The platform kills the process a short margin after the extended time.
const PLATFORM_DRAIN_EXTENSION: Duration = Duration::from_millis(500);
/// Share of the drain time during which connections and requests are still accepted on the platform. The load
/// balancer in front needs this time to switch to other instances.
const PLATFORM_ACCEPT_SHARE: f64 = 0.37;
/// How long a removed listener still accepts connections. Connections in the accept queue are already established
/// for their clients.
const REMOVED_LISTENER_ACCEPT_TIME: Duration = Duration::from_millis(20);
/// A request that arrives within this time after the order to stop keeps its own deadline.
const FULL_DEADLINE_PERIOD: Duration = Duration::from_millis(600);
/// How long a connection without any request is kept open once no more connections are accepted.
const UNUSED_CONNECTION_GRACE: Duration = Duration::from_millis(200);
/// Pause after a connection could not be accepted because no file descriptor was free.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);
/// Share of the connection slots in use above which responses close their connection. This leaves slots for clients
/// that have no connection.
const CLOSE_AFTER_RESPONSE_SHARE: f64 = 0.75;
/// How long input from a client is read and discarded after an error response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of bytes that are read and discarded after an error response.
const MAX_LINGER_BYTES: usize = 1 << 20;

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
    /// Maximum size of a request head in bytes, at most [`MAX_HEAD_BYTES`].
    pub max_head_bytes: usize,
    /// The path of the readiness check.
    pub ready_path: String,
    /// Time from the order to stop until requests that are still open are answered. The process must run on for a while, so
    /// that their clients get these responses.
    pub drain_timeout: Duration,
    /// Time from the order to stop during which connections and requests are still accepted.
    pub accept_after_stop: Duration,
}

impl ServerLimits {
    /// Returns the limits on the platform for this number of connections. `longest` is the longest deadline in
    /// microseconds.
    pub fn platform(max_connections: usize, longest: Micros) -> ServerLimits {
        let drain_timeout = Duration::from_micros(longest).min(PLATFORM_MAX_DRAIN) + PLATFORM_DRAIN_EXTENSION;
        let (timeouts, ready_path) = (StageTimeouts::default(), "/health/ready".to_owned());
        ServerLimits {
            max_connections,
            timeouts,
            max_head_bytes: DEFAULT_MAX_HEAD_BYTES,
            ready_path,
            drain_timeout,
            accept_after_stop: drain_timeout.mul_f64(PLATFORM_ACCEPT_SHARE),
        }
    }
}

/// Serves the clients of one listener.
pub struct HttpServer<F: Frontend> {
    frontend: F,
    connection_slots: Arc<Semaphore>,
    limits: RefCell<ServerLimits>,
    idle_connections: Rc<IdleConnections>,
    /// The ids of the open requests, which must be unique.
    open_request_ids: RefCell<HashSet<HeaderValue>>,
    /// When the order to stop came.
    stop_ordered_at: Cell<Option<Instant>>,
    /// Notified when the drain timeout after the order to stop expires.
    drain_expired: Notify,
    phase: watch::Receiver<Phase>,
    /// How the server treats clients, as set by operators' orders and by a successor process.
    client_policy: watch::Sender<ClientPolicy>,
}

impl<F: Frontend> HttpServer<F> {
    /// Creates a server that handles requests as the frontend decides.
    pub fn new(frontend: F, limits: ServerLimits, phase: watch::Receiver<Phase>) -> Rc<Self> {
        let (slots, idle_connections) = (
            Arc::new(Semaphore::new(limits.max_connections)),
            IdleConnections::new(limits.timeouts, limits.max_head_bytes.min(MAX_HEAD_BYTES)),
        );
        let (limits, open_request_ids) = (RefCell::new(limits), RefCell::default());
        let (stop_ordered_at, drain_expired) = (Cell::default(), Notify::new());
        let (client_policy, _) = watch::channel(ClientPolicy::default());
        Rc::new(HttpServer {
            frontend,
            connection_slots: slots,
            limits,
            idle_connections,
            open_request_ids,
            stop_ordered_at,
            drain_expired,
            phase,
            client_policy,
        })
    }

    /// Changes how clients are treated from now on.
    pub fn set_client_policy(&self, client_policy: ClientPolicy) {
        self.client_policy
            .send_if_modified(|current| std::mem::replace(current, client_policy) != client_policy);
    }

    /// Returns the frontend that decides how requests are handled.
    pub fn frontend(&self) -> &F {
        &self.frontend
    }

    /// Changes the limits. Existing connections stay open.
    pub fn set_limits(&self, limits: ServerLimits) {
        let before = std::mem::replace(&mut *self.limits.borrow_mut(), limits.clone());
        self.idle_connections.set_limits(limits.timeouts, limits.max_head_bytes.min(MAX_HEAD_BYTES));
        match limits.max_connections.checked_sub(before.max_connections) {
            Some(added) => self.connection_slots.add_permits(added),
            None => {
                let (slots, excess) =
                    (self.connection_slots.clone(), before.max_connections - limits.max_connections);
                spawn_local(async move {
                    // Acquiring all permits at once would withhold each freed slot from waiting connections until
                    // enough slots are free.
                    for _ in 0..excess {
                        if let Ok(slot) = slots.acquire().await {
                            slot.forget();
                        }
                    }
                });
            }
        }
    }

    fn drain_timeout(&self) -> Duration {
        self.limits.borrow().drain_timeout
    }

    fn max_connections(&self) -> usize {
        self.limits.borrow().max_connections
    }

    /// Accepts connections until the listener is removed or until some time after the order to stop.
    pub async fn accept(self: &Rc<Self>, listener: TcpListener, phases: &watch::Sender<Phase>) {
        let mut phase = self.phase.clone();
        let mut client_policy = self.client_policy.subscribe();
        let mut stop_at = None;
        // An accepted connection that waits for a slot. It must not get lost when another event comes first.
        let mut waiting = None;
        loop {
            let accepts = client_policy.borrow_and_update().accepts || waiting.is_some();
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
                self.acquire_slot().await.map_err(io::Error::other)
            };
            tokio::select! {
                biased;
                slot = accept, if accepts => match (slot, waiting.take()) {
                    (Ok(slot), Some((stream, peer))) => self.spawn_connection(stream, peer, slot),
                    // Avoids a busy loop while no file descriptor is free. The connection stays in the accept queue.
                    _ => sleep(ACCEPT_ERROR_PAUSE).await,
                },
                // This cannot fail: the server itself holds the sender.
                _ = client_policy.changed() => {}
                () = end => match stop_at {
                    Some(_) => break,
                    None => {
                        let now = Instant::now();
                        let removed = *self.phase.borrow() == Phase::Closing;
                        let accept_time = if removed {
                            REMOVED_LISTENER_ACCEPT_TIME
                        } else {
                            self.limits.borrow().accept_after_stop
                        };
                        stop_at = Some(now + accept_time);
                        // The requests of a removed listener keep their own deadlines.
                        if !removed {
                            self.stop_ordered_at.set(Some(now));
                            let this = self.clone();
                            spawn_local(async move {
                                sleep_until(now + this.drain_timeout()).await;
                                this.drain_expired.notify_waiters();
                            });
                        }
                    }
                },
            }
        }
        // Accepts what the queue still holds, because closing the listener would reset these connections. A
        // successor process accepts them itself.
        while client_policy.borrow().accepts
            && let Some((stream, peer)) = match waiting.take() {
                Some(waiting) => Some(waiting),
                None => timeout(Duration::ZERO, listener.accept()).await.ok().and_then(Result::ok),
            }
            && let Ok(slot) = self.connection_slots.clone().try_acquire_owned()
        {
            self.spawn_connection(stream, peer, slot);
        }
        drop(listener);
        let _ = phases.send(Phase::Closing);
    }

    /// Starts a task that serves an accepted connection.
    fn spawn_connection(self: &Rc<Self>, stream: TcpStream, peer: SocketAddr, slot: OwnedSemaphorePermit) {
        let state = ConnectionState::new(self.idle_connections.clone());
        let task = spawn_local(self.clone().serve_connection(stream, peer, slot, state.clone()));
        state.attach_task(task.abort_handle());
    }

    /// Number of client connections by what they wait for.
    pub fn connection_counts(&self) -> ConnectionCounts {
        self.idle_connections.counts()
    }

    /// Waits until all connections are closed.
    pub async fn wait_closed(&self) {
        let _ = self.connection_slots.acquire_many(self.max_connections() as u32).await;
    }

    /// Waits for a free connection slot. If there is none, the connection that has been idle longest is closed, so
    /// that silent clients cannot occupy all slots.
    async fn acquire_slot(&self) -> Result<OwnedSemaphorePermit, AcquireError> {
        while self.connection_slots.available_permits() == 0 {
            match self.idle_connections.close_oldest() {
                Ok(()) | Err(None) => break,
                Err(Some(closable_at)) => tokio::select! {
                    slot = self.connection_slots.clone().acquire_owned() => return slot,
                    () = sleep_until(closable_at) => {}
                },
            }
        }
        self.connection_slots.clone().acquire_owned().await
    }

    /// Serves the requests of a connection until it ends, times out or is closed for a shutdown.
    async fn serve_connection(
        self: Rc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        slot: OwnedSemaphorePermit,
        state: Rc<ConnectionState>,
    ) {
        let _slot = slot;
        let _ = stream.set_nodelay(true);
        let used = Rc::new(Cell::new(false));
        let service = hyper::service::service_fn({
            let (server, used, state) = (self.clone(), used.clone(), state.clone());
            move |request| {
                used.set(true);
                let (server, state) = (server.clone(), state.clone());
                Box::pin(async move { Ok::<_, Infallible>(server.respond(request, peer, &state).await) })
            }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BUFFER_BYTES);
        let mut connection = builder.serve_connection(ClientIo::new(stream, state.clone()), service);
        let mut phase = self.phase.clone();
        let mut client_policy = self.client_policy.subscribe();
        let mut stage_timer = Box::pin(sleep(Duration::ZERO));
        loop {
            let idle_close = client_policy.borrow_and_update().idle_close;
            let closing = idle_close || *phase.borrow_and_update() == Phase::Closing;
            // Connections are not closed earlier, because their clients may not have another balancer yet. An unused
            // connection may have a request in transit, which hyper would not wait for. The response to that request
            // closes the connection.
            if closing && used.get() {
                Pin::new(&mut connection).graceful_shutdown();
            }
            // Resolves to false when the connection ends and to true when its stage times out.
            let finished = poll_fn(|cx| {
                if connection.poll_without_shutdown(cx).is_ready() {
                    return Poll::Ready(false);
                }
                let Some(deadline) = state.stage_deadline() else { return Poll::Pending };
                if stage_timer.deadline() != deadline {
                    stage_timer.as_mut().reset(deadline);
                }
                stage_timer.as_mut().poll(cx).map(|()| true)
            });
            let timed_out = tokio::select! {
                timed_out = finished => timed_out,
                // Bounds the shutdown if a client never completes its first request.
                () = sleep(UNUSED_CONNECTION_GRACE), if closing && !used.get() => {
                    if used.get() { continue } else { return }
                }
                _ = client_policy.changed() => continue,
                changed = phase.changed() => if changed.is_err() { return } else { continue },
            };
            let error = match (state.error(), timed_out, state.stage()) {
                (Some(RequestError::Malformed), ..) => Some("400 Bad Request"),
                (Some(RequestError::HeadTooLarge), ..) => Some("431 Request Header Fields Too Large"),
                (None, true, Stage::Body) if state.is_upstream_blocked() => Some("504 Gateway Timeout"),
                // An upstream may have begun, and 408 promises that the request has not run.
                (None, true, Stage::Body) if self.may_have_begun(&state) => Some("504 Gateway Timeout"),
                (None, true, Stage::Head | Stage::Body) => Some("408 Request Timeout"),
                _ => None,
            };
            // Drops hyper's state first, and the open request with it.
            let stream = connection.into_parts().io.into_stream();
            let error = error.filter(|_| !state.is_write_blocked());
            if error.is_some() || state.has_unread_input() {
                let _ = timeout(LINGER_TIMEOUT, send_error_and_linger(stream, error)).await;
            }
            return;
        }
    }

    /// Returns whether an upstream may have begun with a request that is still being received.
    fn may_have_begun(&self, state: &ConnectionState) -> bool {
        self.frontend.processing_start() == ProcessingStart::FirstByte && state.is_forwarded_early()
    }

    /// Answers one request and decides whether the connection is closed after the response.
    async fn respond(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        state: &Rc<ConnectionState>,
    ) -> ClientResponse {
        let mut response = if request.uri().path() == self.limits.borrow().ready_path {
            self.ready()
        } else {
            self.forward_request(request, peer, state).await
        };
        // Bytes after a request that was not read, or whose end only hyper knows, must not be parsed as another
        // request.
        let closes_connection = state.has_unread_input() || state.is_chunked();
        match response.body_mut() {
            Payload::Streaming(streaming) => {
                // The next request is not parsed until this response has ended.
                state.response_started();
                let state = state.clone();
                streaming.on_end(move |end| {
                    if !closes_connection && end == BodyEnd::Complete {
                        state.response_finished();
                    }
                });
            }
            Payload::Buffered(_) if !closes_connection => state.response_finished(),
            Payload::Buffered(_) => {}
        }
        let max_connections = self.max_connections();
        let few_slots_left = (self.connection_slots.available_permits() as f64)
            < (1.0 - CLOSE_AFTER_RESPONSE_SHARE) * max_connections as f64;
        if closes_connection
            || few_slots_left
            || self.client_policy.borrow().answers_close
            || *self.phase.borrow() == Phase::Closing
        {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Answers the readiness check.
    fn ready(&self) -> ClientResponse {
        // While stopping, the server is ready only if another process serves at its address.
        let client_policy = *self.client_policy.borrow();
        let running = *self.phase.borrow() == Phase::Running || !client_policy.accepts;
        if running && client_policy.ready && self.frontend.ready() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Admits a request, reads its body, submits it to the engine and returns the final response.
    async fn forward_request(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
        state: &Rc<ConnectionState>,
    ) -> ClientResponse {
        let (head, body) = request.into_parts();
        let admission = match self.frontend.admit(&head, peer) {
            Ok(admission) => admission,
            Err(response) => return response,
        };
        // Body memory of the request: a reservation for its response, and its own body as far as it was received.
        let Some(response_memory) = admission.body_memory.acquire(admission.response_reservation_bytes)
        else {
            return self.refused(0, "no room");
        };
        let mut upload = None;
        state.set_time_left(Duration::from_micros(admission.time_left));
        let limits = BodyLimits {
            max_bytes: admission.max_body_bytes as u64,
            forbidden: admission.forbids_body,
            memory: &admission.body_memory,
        };
        let (body, memory) = match read_body(body, &limits).await {
            Ok(ReceivedBody::Buffered(body, body_memory)) => {
                state.request_received();
                (RequestBody::Buffered(body), (response_memory, body_memory))
            }
            Ok(ReceivedBody::Streaming(body)) => {
                state.set_forwarded_early();
                let state = state.clone();
                body.on_received(move || state.request_received());
                upload = Some(body.clone());
                (RequestBody::Streaming(body), (response_memory, Vec::new()))
            }
            Err(BodyError::TooLarge) => {
                return text_response(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large");
            }
            Err(BodyError::Broken) => return text_response(StatusCode::BAD_REQUEST, "broken body"),
            Err(BodyError::Forbidden) => {
                return text_response(StatusCode::BAD_REQUEST, "a body that does not fit the class");
            }
        };
        let Admission {
            engine,
            class,
            tenant,
            work,
            is_retry,
            method,
            uri,
            headers,
            request_id,
            guard,
            observer,
            body_memory,
            ..
        } = admission;
        // Rejects a second request with an id that is still open, because upstreams could not distinguish the two.
        let _id = match request_id.map(|id| OpenRequestId::register(&self.open_request_ids, &id)) {
            Some(None) => return text_response(StatusCode::BAD_REQUEST, "this Req-Id is open"),
            taken => taken,
        };
        let _guard = guard;
        // A request that arrives late in a shutdown must be answered before the process is killed.
        let drain_time_left = self
            .stop_ordered_at
            .get()
            .filter(|at| at.elapsed() > FULL_DEADLINE_PERIOD)
            .map_or(Micros::MAX, |at| {
                self.drain_timeout().saturating_sub(at.elapsed()).as_micros() as Micros
            });
        let time_left = admission.time_left.min(drain_time_left);
        let is_head = method == Method::HEAD;
        let call = Call { method, uri, headers, body };
        let operation = observer.as_ref().map(|observer| observer.operation());
        let submitted_at = Instant::now();
        let pending =
            engine.submit(NewRequest { class, time_left, tenant, work, retry: is_retry, operation, call });
        // A request that is still open when the drain timeout expires is answered, so that its client gets a response
        // before the process ends.
        let answer = pending.answer_until(self.drain_expired.notified()).await;
        match answer {
            Answer::Served(mut reply) => {
                if let Some(observer) = observer {
                    observer.on_response(
                        reply.status,
                        &reply.headers,
                        submitted_at.elapsed().as_micros() as Micros,
                    );
                }
                // Once a part of a response is sent, nothing but the rest of it can follow.
                if self.stop_ordered_at.get().is_some() {
                    let whole = buffer_whole(reply.body, &body_memory, self.drain_expired.notified()).await;
                    match whole {
                        Ok(body) => reply.body = body,
                        Err(failure) => return failed(failure),
                    }
                }
                // The memory of the request body is released with the attempt, which ends with the response.
                if let Payload::Streaming(streaming) = &mut reply.body {
                    streaming.on_end(move |_| drop(memory));
                }
                let length = reply.headers.get(CONTENT_LENGTH).filter(|_| is_head).cloned();
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
            Answer::Failed(failure) => failed(failure),
        }
    }

    /// Builds a 503 response for a request that was not sent, so that a retry is safe. `proposed_delay` is the retry
    /// delay that the engine proposes, in microseconds.
    fn refused(&self, proposed_delay: Micros, reason: &'static str) -> ClientResponse {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
        if let Some(seconds) = self.frontend.retry_after(proposed_delay) {
            response.headers_mut().insert(RETRY_AFTER, seconds);
        }
        response
    }
}

/// The response to a request that failed after it was sent to an upstream.
fn failed(failure: Failure) -> ClientResponse {
    match failure {
        Failure::DeadlineExceeded => text_response(StatusCode::GATEWAY_TIMEOUT, "out of time"),
        Failure::Upstream => text_response(StatusCode::BAD_GATEWAY, "upstream failed"),
    }
}

/// Sends an error response if there is one, then reads and discards input for a while. Closing a socket with unread
/// input resets the connection, and the client could lose the response.
async fn send_error_and_linger(mut stream: TcpStream, error: Option<&str>) -> io::Result<()> {
    if let Some(error) = error {
        let text = format!("HTTP/1.1 {error}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
    }
    stream.shutdown().await?;
    let (mut read, mut chunk) = (0, [0; 4096]);
    while read < MAX_LINGER_BYTES {
        match stream.read(&mut chunk).await? {
            0 => break,
            n => read += n,
        }
    }
    Ok(())
}

/// Registers the id of an open request until it is dropped.
struct OpenRequestId<'a> {
    open_ids: &'a RefCell<HashSet<HeaderValue>>,
    id: HeaderValue,
}

impl OpenRequestId<'_> {
    /// Registers the id. Returns `None` if another open request has the same id.
    fn register<'a>(
        open_ids: &'a RefCell<HashSet<HeaderValue>>,
        id: &HeaderValue,
    ) -> Option<OpenRequestId<'a>> {
        open_ids.borrow_mut().insert(id.clone()).then(|| OpenRequestId { open_ids, id: id.clone() })
    }
}

impl Drop for OpenRequestId<'_> {
    fn drop(&mut self) {
        self.open_ids.borrow_mut().remove(&self.id);
    }
}
