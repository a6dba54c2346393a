//! Sends attempts and health probes to upstreams.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use finchshift as fs;
use finchshift::{Load, Micros, Outcome, ServerId};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri, body::Body, body::Incoming};
use sloeline_engine::engine::{AttemptReport, Transport};
use sloeline_engine::types::Target;
use sloeline_limits::Share;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::payload::{BodyEnd, Payload, StreamingBody};
use crate::pool::{Conn, DEFAULT_CONNECT_TIMEOUT, Pool, RequestIdHash};
use crate::upload::{OutgoingBody, RequestBody};
use crate::{MAX_BUFFERED_BYTES, PLATFORM_MAX_BODY_BYTES};

/// How long a connection may take after a response until it is ready for the next request.
const REUSE_READY_TIMEOUT: Duration = Duration::from_millis(500);

/// When an upstream may begin to process a request. This decides what a broken connection proves: a request that the
/// upstream cannot have begun has not run and may be sent elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessingStart {
    /// Once the last byte of the request has arrived, and never before.
    LastByte,
    /// At any time after the first byte of the request was written. Responses may also precede the end of the body.
    FirstByte,
}

/// How to talk to the upstreams of a pool: the headers they get and the meaning of their responses.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamProtocol {
    /// When an upstream may begin to process a request.
    pub processing_start: ProcessingStart,
    /// The header that carries the remaining time of the request, in whole milliseconds.
    pub deadline_header: Option<HeaderName>,
    /// If set, only status 200 counts as served. Otherwise every final status below 500 except 429 does.
    pub only_200: bool,
    /// A header, its value and the statuses with which an upstream proves that it did not run the request.
    pub declined_mark: Option<(HeaderName, HeaderValue, Vec<StatusCode>)>,
    /// Maximum size of a response body in bytes.
    pub max_response_bytes: usize,
    /// Size in bytes up to which a response is buffered whole before it is forwarded. Larger responses are streamed.
    pub max_buffered_bytes: usize,
    /// If set, a response is forwarded unchanged whatever its status. For a proxy that only relays.
    pub forwards_any_status: bool,
    /// If set, the error response of a failed upstream is forwarded when no attempt succeeds.
    pub forwards_errors: bool,
    /// A header with the number of the attempt, which the response must echo. A response with another number belongs
    /// to another attempt.
    pub echo_header: Option<HeaderName>,
    /// A header in which a response that declines a request names the instance at the upstream's address. Another name
    /// than that of the attempt's target shows that the target is gone.
    pub instance_header: Option<HeaderName>,
    /// A header that names a request in its responses, and that stays the same when the request is sent again. Such a
    /// request takes a connection that has not carried it before.
    pub request_id_header: Option<HeaderName>,
}

impl UpstreamProtocol {
    /// Returns the protocol of the platform's upstreams.
    pub fn platform() -> UpstreamProtocol {
        let statuses = vec![StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
        let mark = (HeaderName::from_static("srv-declined"), HeaderValue::from_static("1"), statuses);
        UpstreamProtocol {
            processing_start: ProcessingStart::LastByte,
            deadline_header: Some(HeaderName::from_static("req-deadline-ms")),
            only_200: true,
            declined_mark: Some(mark),
            max_response_bytes: PLATFORM_MAX_BODY_BYTES,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
            forwards_any_status: false,
            forwards_errors: false,
            echo_header: None,
            instance_header: None,
            request_id_header: None,
        }
    }

    /// Returns the hash of the id of a request, if the protocol has one.
    fn request_id(&self, call: &Call) -> Option<RequestIdHash> {
        let id = call.headers.get(self.request_id_header.as_ref()?)?;
        let mut hasher = DefaultHasher::new();
        id.as_bytes().hash(&mut hasher);
        Some(hasher.finish())
    }

    /// Returns whether a response that declines a request shows that another instance is at the target's address.
    fn shows_replaced(&self, to: &Target, headers: &HeaderMap) -> bool {
        let present = self.instance_header.as_ref().and_then(|name| headers.get(name));
        present.is_some_and(|present| present.as_bytes() != to.instance.as_bytes())
    }

    /// Returns whether a response with this status counts as served.
    fn is_served(&self, status: StatusCode) -> bool {
        // 429 tells a client that its request did not run. Forwarded from an upstream, it would promise that
        // wrongly.
        let is_service_response = status.as_u16() < 500 && status != StatusCode::TOO_MANY_REQUESTS;
        if self.forwards_any_status {
            return !status.is_informational();
        }
        if self.only_200 {
            status == StatusCode::OK
        } else {
            is_service_response && !status.is_informational()
        }
    }

    /// Returns whether the response proves that the upstream did not run the request.
    fn is_declined(&self, status: StatusCode, headers: &HeaderMap) -> bool {
        if self.forwards_any_status {
            return false;
        }
        let Some((name, value, statuses)) = &self.declined_mark else { return false };
        statuses.contains(&status) && headers.get(name) == Some(value)
    }
}

/// A request to be sent to upstreams. It is the same in every attempt.
pub struct Call {
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub uri: Uri,
    /// End-to-end headers of the request.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: RequestBody,
}

impl Call {
    /// Builds the HTTP request for one attempt. `limit` is the remaining time in microseconds.
    fn request(
        &self,
        address: SocketAddr,
        limit: Option<Micros>,
        protocol: &UpstreamProtocol,
        attempt_number: u64,
    ) -> Request<OutgoingBody> {
        let mut request = Request::new(self.body.outgoing());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        if !headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::from_str(&address.to_string())
        {
            headers.insert(HOST, host);
        }
        if let (Some(limit), Some(name)) = (limit, &protocol.deadline_header) {
            headers.insert(name.clone(), HeaderValue::from(limit.div_ceil(1000)));
        }
        if let Some(name) = &protocol.echo_header {
            headers.insert(name.clone(), HeaderValue::from(attempt_number));
        }
        // RFC 9110 section 8.6: methods that define a meaning for a body send Content-Length even if the body is
        // empty.
        if let Some(length) = self.body.length()
            && (length > 0 || [Method::POST, Method::PUT, Method::PATCH].contains(&self.method))
        {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        request
    }
}

/// A response from an upstream.
#[derive(Debug)]
pub struct Reply {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Body of the response.
    pub body: Payload,
}

/// Tracks how much of an attempt's request was written. When the engine aborts an attempt, this shows whether the
/// request may have run.
struct WriteProgress {
    started: RefCell<Option<WriteStart>>,
    processing_start: ProcessingStart,
    /// Minimum size of the whole request in bytes.
    min_bytes: u64,
    body: RequestBody,
}

/// The connection on which a request is sent, and its write counter at that moment.
struct WriteStart {
    driver: AbortHandle,
    written: Rc<Cell<u64>>,
    written_before: u64,
}

impl WriteProgress {
    fn new(call: &Call, protocol: &UpstreamProtocol) -> Rc<WriteProgress> {
        let (min_bytes, body) = (call.body.min_length() + 1, call.body.clone());
        let processing_start = protocol.processing_start;
        Rc::new(WriteProgress { started: RefCell::new(None), processing_start, min_bytes, body })
    }

    fn start(&self, conn: &Conn) {
        let (driver, written) = (conn.driver.clone(), conn.written.clone());
        let written_before = written.get();
        *self.started.borrow_mut() = Some(WriteStart { driver, written, written_before });
    }

    /// Returns false only if the upstream certainly did not begin to process the request.
    fn may_have_run(&self) -> bool {
        let written = |start: &WriteStart| start.written.get() - start.written_before;
        let written = self.started.borrow().as_ref().map_or(0, written);
        match self.processing_start {
            ProcessingStart::FirstByte => written > 0,
            ProcessingStart::LastByte => self.body.is_received() && written >= self.min_bytes,
        }
    }
}

/// The outcome of a relayed request.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The upstream did not receive enough of the request to begin with it, so it did not run.
    NotSent,
    /// The request may have run, but there is no response that can be forwarded.
    Broken(Outcome),
    /// The response of the upstream.
    Answered(Reply),
}

/// A running attempt.
pub struct Attempt {
    task: AbortHandle,
    write_progress: Rc<WriteProgress>,
}

impl Attempt {
    /// Closes the attempt's connection at once. Returns whether the request may have run.
    pub fn abort(self) -> bool {
        // Stops the connection first, so that nothing is written after the check.
        if let Some(started) = &*self.write_progress.started.borrow() {
            started.driver.abort();
        }
        self.task.abort();
        self.write_progress.may_have_run()
    }
}

/// The result of sending one request and reading its response.
struct ExchangeResult {
    outcome: Outcome,
    load: Option<Load>,
    /// The response, if there is one. Its body is still arriving if `streaming_conn` holds the connection.
    reply: Option<Reply>,
    conn: Option<Conn>,
    /// The connection on which the rest of a streamed response arrives.
    streaming_conn: Option<Conn>,
    /// Whether the response shows that another instance is at the target's address.
    replaced: bool,
}

impl From<Outcome> for ExchangeResult {
    fn from(outcome: Outcome) -> ExchangeResult {
        ExchangeResult { outcome, load: None, reply: None, conn: None, streaming_conn: None, replaced: false }
    }
}

/// Called with the target of an attempt when its response shows that another instance is at the target's address.
type ReplacedObserver = Rc<dyn Fn(&Target)>;

/// The connections to the upstreams of a pool.
pub struct Upstreams {
    pool: Rc<Pool>,
    protocol: RefCell<Rc<UpstreamProtocol>>,
    replaced_observer: RefCell<Option<ReplacedObserver>>,
}

impl Upstreams {
    /// Creates a client without connections. `connection_budget` limits the number of connections.
    pub fn new(limits: &fs::Limits, connection_budget: Rc<Share>, protocol: UpstreamProtocol) -> Upstreams {
        Upstreams {
            pool: Rc::new(Pool::new(limits, connection_budget)),
            protocol: RefCell::new(Rc::new(protocol)),
            replaced_observer: RefCell::default(),
        }
    }

    /// Calls `observer` with the target of each attempt whose response shows that another instance is at the target's
    /// address, see [`UpstreamProtocol::instance_header`].
    pub fn on_replaced(&self, observer: impl Fn(&Target) + 'static) {
        *self.replaced_observer.borrow_mut() = Some(Rc::new(observer));
    }

    /// Changes the limits and the protocol for new attempts. Running attempts keep the previous one.
    pub fn set_config(&self, limits: &fs::Limits, protocol: UpstreamProtocol) {
        self.pool.set_limits(limits);
        *self.protocol.borrow_mut() = Rc::new(protocol);
    }

    /// Closes connections that have been idle too long. This future never completes.
    pub fn close_expired(&self) -> impl Future<Output = ()> + use<> {
        self.pool.clone().close_expired()
    }

    /// Starts an attempt and reports its outcome to the engine.
    pub fn send<W: Transport<Reply = Reply>>(
        &self,
        to: Target,
        call: Rc<Call>,
        limit: Micros,
        report: AttemptReport<W>,
    ) -> Attempt {
        let (pool, protocol) = (self.pool.clone(), self.protocol.borrow().clone());
        let write_progress = WriteProgress::new(&call, &protocol);
        let shared = write_progress.clone();
        let replaced_observer = self.replaced_observer.borrow().clone();
        if let RequestBody::Streaming(upload) = &call.body {
            let receipt = report.body_receipt();
            upload.on_received(move || receipt.complete());
        }
        let task = spawn_local(async move {
            let result = exchange(&pool, &to, &call, Some(limit), &protocol, &shared).await;
            if let Some(observer) = replaced_observer.filter(|_| result.replaced) {
                observer(&to);
            }
            let reply = match (result.streaming_conn, result.reply) {
                (Some(conn), Some(reply)) => {
                    return stream_response(pool, to.server, conn, reply, result.load, report);
                }
                (_, reply) => reply,
            };
            let mut conn = result.conn;
            // Returns the connection to the pool before the outcome is reported, so that requests that the engine
            // sends in response can use it.
            let not_ready = match conn.as_mut().map(|c| c.sender.is_ready()) {
                Some(true) => conn.take().and_then(|c| {
                    pool.put(to.server, c);
                    None
                }),
                _ => conn,
            };
            report.end(result.outcome, result.load, reply);
            if let Some(conn) = not_ready {
                return_when_ready(&pool, to.server, conn).await;
            }
        });
        Attempt { task: task.abort_handle(), write_progress }
    }

    /// Forwards a request once, without retries, for a proxy that only relays. `is_expected` checks the head of the
    /// response. If it returns false, the response belongs to another request and the connection is closed. Dropping
    /// this future aborts the exchange and closes its connection.
    pub async fn relay(
        &self,
        to: &Target,
        call: &Call,
        limit: Micros,
        is_expected: impl FnOnce(StatusCode, &HeaderMap) -> bool,
    ) -> RelayOutcome {
        let protocol = self.protocol.borrow().clone();
        let write_progress = WriteProgress::new(call, &protocol);
        let exchanging = exchange(&self.pool, to, call, Some(limit), &protocol, &write_progress);
        let result = match timeout(Duration::from_micros(limit), exchanging).await {
            Ok(result) => result,
            // The connection is closed by now, so nothing more can be written.
            Err(_) if write_progress.may_have_run() => return RelayOutcome::Broken(Outcome::TimedOut),
            Err(_) => return RelayOutcome::NotSent,
        };
        let Some(mut reply) = result.reply else {
            return if result.outcome.never_ran() {
                RelayOutcome::NotSent
            } else {
                RelayOutcome::Broken(result.outcome)
            };
        };
        if !is_expected(reply.status, &reply.headers) {
            return RelayOutcome::Broken(Outcome::Error);
        }
        let (pool, server) = (self.pool.clone(), to.server);
        if let Payload::Streaming(streaming) = &mut reply.body {
            let conn = result.streaming_conn;
            streaming.on_end(move |end| {
                if let (BodyEnd::Complete, Some(conn)) = (end, conn) {
                    spawn_local(async move { return_when_ready(&pool, server, conn).await });
                }
            });
        } else if let Some(conn) = result.conn {
            spawn_local(async move { return_when_ready(&pool, server, conn).await });
        }
        RelayOutcome::Answered(reply)
    }

    /// Probes the health of an upstream and reports its id, the elapsed time, the outcome and the load report.
    pub fn probe(
        &self,
        to: Target,
        report: impl FnOnce(ServerId, Duration, Outcome, Option<Load>) + 'static,
    ) {
        let (pool, protocol) = (self.pool.clone(), self.protocol.borrow().clone());
        let uri = Uri::from_static("/health/live");
        let call = Call {
            method: Method::GET,
            uri,
            headers: HeaderMap::new(),
            body: RequestBody::Buffered(Bytes::new()),
        };
        spawn_local(async move {
            let (write_progress, start) = (WriteProgress::new(&call, &protocol), Instant::now());
            let result = timeout(
                DEFAULT_CONNECT_TIMEOUT,
                exchange(&pool, &to, &call, None, &protocol, &write_progress),
            )
            .await;
            let result = result.unwrap_or_else(|_| Outcome::TimedOut.into());
            report(to.server, start.elapsed(), result.outcome, result.load);
            if let Some(conn) = result.conn {
                return_when_ready(&pool, to.server, conn).await;
            }
        });
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }
}

/// Returns a connection to the pool once it can take another request. Drops the connection if that takes too long.
async fn return_when_ready(pool: &Pool, server: ServerId, mut conn: Conn) {
    if let Ok(Ok(())) = timeout(REUSE_READY_TIMEOUT, conn.sender.ready()).await {
        pool.put(server, conn);
    }
}

/// Sends one request and reads its response. If a pooled connection is found dead before any byte was written, the
/// next connection is tried. No byte of a request is ever written twice.
async fn exchange(
    pool: &Pool,
    to: &Target,
    call: &Call,
    limit: Option<Micros>,
    protocol: &UpstreamProtocol,
    write_progress: &WriteProgress,
) -> ExchangeResult {
    let start = Instant::now();
    let request_id = protocol.request_id(call);
    loop {
        let (mut conn, reused) = match pool.take(to, request_id) {
            Some(conn) => (conn, true),
            None => match pool.connect(to.address).await {
                Ok(conn) => (conn, false),
                Err(outcome) => return outcome.into(),
            },
        };
        write_progress.start(&conn);
        if let Some(id) = request_id {
            conn.record_request(id);
        }
        let time_left = limit.map(|l| l.saturating_sub(start.elapsed().as_micros() as Micros));
        let attempt_number = pool.next_attempt();
        match conn
            .sender
            .try_send_request(call.request(to.address, time_left, protocol, attempt_number))
            .await
        {
            Ok(response) => return read_response(response, conn, to, protocol, attempt_number).await,
            Err(mut e) => {
                let is_unsent = e.take_message().is_some();
                if is_unsent && reused {
                    continue;
                }
                let may_have_run = !is_unsent && write_progress.may_have_run();
                return if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed }.into();
            }
        }
    }
}

/// Forwards the head of a streamed response. The attempt ends when the body ends.
fn stream_response<W: Transport<Reply = Reply>>(
    pool: Rc<Pool>,
    server: ServerId,
    conn: Conn,
    mut reply: Reply,
    load: Option<Load>,
    report: AttemptReport<W>,
) {
    let response_start = report.response_start();
    if let Payload::Streaming(streaming) = &mut reply.body {
        streaming.on_end(move |end| match end {
            BodyEnd::Complete => {
                report.end(Outcome::Ok, load, None);
                spawn_local(async move { return_when_ready(&pool, server, conn).await });
            }
            // Dropping the closure also closes the connection, because no more of the response is expected on it.
            BodyEnd::Failed => report.end(Outcome::Reset, load, None),
            BodyEnd::Abandoned => report.end(Outcome::Cancelled, load, None),
        });
    }
    response_start.begin(reply);
}

/// Reads a response up to the buffer limit and determines its outcome. The connection is reusable only if the whole
/// response was read.
async fn read_response(
    response: Response<Incoming>,
    conn: Conn,
    to: &Target,
    protocol: &UpstreamProtocol,
    attempt_number: u64,
) -> ExchangeResult {
    let (mut head, mut body) = response.into_parts();
    // The response belongs to another attempt and says nothing about this one. Its connection is closed.
    if let Some(name) = &protocol.echo_header
        && head.headers.remove(name) != Some(HeaderValue::from(attempt_number))
    {
        return Outcome::Reset.into();
    }
    let declined = protocol.is_declined(head.status, &head.headers);
    let load = head.headers.get("srv-load").and_then(|v| v.to_str().ok()).map(parse_load_report);
    let served = !declined && protocol.is_served(head.status);
    let (exact, max_bytes) = (body.size_hint().exact(), protocol.max_response_bytes as u64);
    let long = exact.is_some_and(|length| length > protocol.max_buffered_bytes as u64);
    // The outcome of an incomplete or oversized response. Such a response proves nothing, and its decline mark does
    // not count either.
    let invalid = ExchangeResult { load, ..Outcome::Reset.into() };
    if exact.is_some_and(|length| length > max_bytes) || (long && !served) {
        return invalid;
    }
    let mut buffered: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return invalid };
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        buffered.push(data);
        if length > protocol.max_buffered_bytes || long {
            if !served || length as u64 > max_bytes {
                return invalid;
            }
            let streaming = StreamingBody::new(concat_chunks(buffered), body, max_bytes - length as u64);
            let (status, headers, body) =
                (head.status, head.headers, Payload::Streaming(Box::new(streaming)));
            let reply = Some(Reply { status, headers, body });
            return ExchangeResult { load, reply, streaming_conn: Some(conn), ..Outcome::Ok.into() };
        }
    }
    let replaced = declined && protocol.shows_replaced(to, &head.headers);
    let (outcome, reply) = match head.status {
        _ if declined => (Outcome::Full, None),
        status if served => {
            let body = concat_chunks(buffered).into();
            (Outcome::Ok, Some(Reply { status, headers: head.headers, body }))
        }
        status if protocol.forwards_errors && status.is_server_error() => {
            let body = concat_chunks(buffered).into();
            (Outcome::Error, Some(Reply { status, headers: head.headers, body }))
        }
        _ => (Outcome::Error, None),
    };
    ExchangeResult { outcome, load, reply, conn: Some(conn), streaming_conn: None, replaced }
}

/// Concatenates the chunks of a body. A single chunk, the usual case, is not copied.
fn concat_chunks(mut parts: Vec<Bytes>) -> Bytes {
    match parts.len() {
        0 | 1 => parts.pop().unwrap_or_default(),
        _ => parts.concat().into(),
    }
}

/// Parses a load report of the form `name=value,name=value`. Unknown names and invalid values are skipped.
fn parse_load_report(text: &str) -> Load {
    let mut load = Load::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        // A `NaN` or infinite value would stay in the balancer's sums forever.
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0) else {
            continue;
        };
        match name.trim() {
            "inflight" => load.in_flight = Some(value),
            "queue" => load.queue = Some(value),
            "util" => load.utilization = Some(value),
            "qps" => load.throughput = Some(value),
            "latency_ms" => load.latency = Some((value * 1000.0) as Micros),
            "eps" => load.errors = Some(value),
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::LocalSet;

    /// Reads the head of a request and sends a response to it.
    async fn respond_ok(stream: &mut TcpStream) {
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\n") {
            received.push(stream.read_u8().await.expect("a request"));
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.expect("the client reads");
    }

    /// Runs a test with a client that may open `max_connections` connections, and a listener as its upstream.
    fn with_upstreams(max_connections: usize, test: impl AsyncFnOnce(Upstreams, TcpListener, Target)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let settings = fs::Settings::new(Vec::new());
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let address = listener.local_addr().expect("an address");
            let to = Target { server: 0, instance: "s-0".into(), address };
            let upstreams = Upstreams::new(
                &settings.limits,
                Share::standalone(max_connections),
                UpstreamProtocol::platform(),
            );
            test(upstreams, listener, to).await;
        });
    }

    fn call() -> Call {
        let (uri, body) = (Uri::from_static("/api"), RequestBody::Buffered(Bytes::new()));
        Call { method: Method::GET, uri, headers: HeaderMap::new(), body }
    }

    /// Runs one exchange on a new connection. Returns the upstream's end of the connection and the outcome.
    async fn exchange_once(
        upstreams: &Upstreams,
        listener: &TcpListener,
        to: Target,
    ) -> (TcpStream, Outcome) {
        let (call, pool) = (call(), &upstreams.pool);
        let protocol = UpstreamProtocol::platform();
        let write_progress = WriteProgress::new(&call, &protocol);
        let peer = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            respond_ok(&mut stream).await;
            stream
        };
        let (stream, result) =
            tokio::join!(peer, exchange(pool, &to, &call, None, &protocol, &write_progress));
        if let Some(conn) = result.conn {
            return_when_ready(pool, to.server, conn).await;
        }
        (stream, result.outcome)
    }

    #[test]
    fn idle_connections_are_closed_on_request() {
        with_upstreams(9, async |upstreams, listener, to| {
            let (mut stream, outcome) = exchange_once(&upstreams, &listener, to.clone()).await;
            assert_eq!((outcome, upstreams.pool.open_connections()), (Outcome::Ok, 1));
            upstreams.close_idle(to.server);
            assert_eq!(stream.read(&mut [0]).await.expect("end of stream"), 0);
            assert_eq!(upstreams.pool.open_connections(), 0);
        });
    }

    #[test]
    fn a_full_pool_replaces_idle_connections_and_otherwise_sends_nothing() {
        with_upstreams(1, async |upstreams, listener, to| {
            let (mut first, _) = exchange_once(&upstreams, &listener, to.clone()).await;
            // The same listener under another server id counts as another upstream.
            let (_second, outcome) =
                exchange_once(&upstreams, &listener, Target { server: 1, ..to.clone() }).await;
            assert_eq!((outcome, upstreams.pool.open_connections()), (Outcome::Ok, 1));
            assert_eq!(first.read(&mut [0]).await.expect("end of stream"), 0);
            let taken =
                upstreams.pool.take(&Target { server: 1, ..to.clone() }, None).expect("an idle connection");
            assert_eq!(upstreams.pool.connect(to.address).await.err(), Some(Outcome::NotSent));
            drop(taken);
        });
    }

    #[test]
    fn a_closed_connection_is_not_reused_before_the_runtime_polls_it() {
        with_upstreams(9, async |upstreams, listener, to| {
            let (stream, _) = exchange_once(&upstreams, &listener, to.clone()).await;
            drop(stream);
            // The runtime was not polled since, so only the socket itself shows that it is closed.
            assert!(upstreams.pool.take(&to, None).is_none());
        });
    }

    /// Guards against a late copy of a refusal that is taken for the answer to the same request sent again.
    #[test]
    fn a_request_that_is_sent_again_takes_a_connection_that_has_not_carried_it() {
        with_upstreams(9, async |upstreams, listener, to| {
            let name = HeaderName::from_static("x-id");
            let protocol =
                UpstreamProtocol { request_id_header: Some(name.clone()), ..UpstreamProtocol::platform() };
            upstreams.set_config(&fs::Settings::new(Vec::new()).limits, protocol);
            let send = async |id: &'static str| {
                let mut call = call();
                call.headers.insert(name.clone(), HeaderValue::from_static(id));
                upstreams.relay(&to, &call, 1_000_000, |_, _| true).await
            };
            // The upstream answers each request on the connection that it comes on.
            let connections = Rc::new(Cell::new(0));
            let counted = connections.clone();
            spawn_local(async move {
                while let Ok((mut stream, _)) = listener.accept().await {
                    counted.set(counted.get() + 1);
                    spawn_local(async move {
                        loop {
                            respond_ok(&mut stream).await;
                        }
                    });
                }
            });
            for (id, expected) in [("one", 1), ("two", 1), ("one", 2), ("two", 2), ("one", 3), ("three", 3)] {
                assert!(matches!(send(id).await, RelayOutcome::Answered(_)), "{id}");
                tokio::task::yield_now().await;
                tokio::time::sleep(Duration::from_millis(5)).await;
                assert_eq!(connections.get(), expected, "connections after {id}");
            }
        });
    }

    #[test]
    fn a_request_without_a_connection_has_not_run() {
        with_upstreams(9, async |upstreams, listener, to| {
            drop(listener);
            let call = call();
            for protocol in [UpstreamProtocol::platform(), begins_early()] {
                let write_progress = WriteProgress::new(&call, &protocol);
                let result = exchange(&upstreams.pool, &to, &call, None, &protocol, &write_progress).await;
                assert_eq!(result.outcome, Outcome::ConnectFailed);
                assert!(!write_progress.may_have_run());
            }
        });
    }

    /// The protocol of upstreams that begin with a request before they have read all of it.
    fn begins_early() -> UpstreamProtocol {
        UpstreamProtocol { processing_start: ProcessingStart::FirstByte, ..UpstreamProtocol::platform() }
    }

    /// Outcome of a request whose upstream reads its first byte and resets the connection.
    async fn partly_written(upstreams: &Upstreams, listener: &TcpListener, to: &Target) -> Outcome {
        // The body is larger than the socket buffers of a peer that does not read.
        let body = RequestBody::Buffered(vec![0; 32 << 20].into());
        let call = Call { method: Method::POST, body, ..call() };
        let protocol = upstreams.protocol.borrow().clone();
        let write_progress = WriteProgress::new(&call, &protocol);
        let peer = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.read_u8().await.expect("a first byte");
        };
        let ((), result) =
            tokio::join!(peer, exchange(&upstreams.pool, to, &call, None, &protocol, &write_progress));
        result.outcome
    }

    #[test]
    fn a_partly_written_request_has_not_run_if_upstreams_begin_with_its_last_byte() {
        with_upstreams(9, async |upstreams, listener, to| {
            assert_eq!(partly_written(&upstreams, &listener, &to).await, Outcome::ConnectFailed);
        });
    }

    /// Guards against a request that runs twice because its upstream began before it had read the body.
    #[test]
    fn a_partly_written_request_may_have_run_if_upstreams_begin_early() {
        with_upstreams(9, async |upstreams, listener, to| {
            upstreams.set_config(&fs::Settings::new(Vec::new()).limits, begins_early());
            assert_eq!(partly_written(&upstreams, &listener, &to).await, Outcome::Reset);
        });
    }

    /// Guards against the same at the end of the time limit, and against a connection that never came up and counts as
    /// a run.
    #[test]
    fn a_relayed_request_has_not_run_only_if_nothing_of_it_was_written() {
        with_upstreams(9, async |upstreams, listener, to| {
            upstreams.set_config(&fs::Settings::new(Vec::new()).limits, begins_early());
            let body = RequestBody::Buffered(vec![0; 32 << 20].into());
            let call = Call { method: Method::POST, body, ..call() };
            let limit = 100_000;
            let hanging = upstreams.relay(&to, &call, limit, |_, _| true).await;
            assert!(matches!(hanging, RelayOutcome::Broken(Outcome::TimedOut)), "{hanging:?}");
            drop(listener);
            let refused = upstreams.relay(&to, &call, limit, |_, _| true).await;
            assert!(matches!(refused, RelayOutcome::NotSent), "{refused:?}");
        });
    }

    #[test]
    fn unknown_and_invalid_load_values_are_skipped() {
        let load = parse_load_report(
            "inflight=7,queue=2,util=0.61,latency_ms=1.5,x9=1,eps=?,qps=NaN,eps=-1,util=inf,=,",
        );
        let expected = Load {
            in_flight: Some(7.0),
            queue: Some(2.0),
            utilization: Some(0.61),
            latency: Some(1500),
            ..Load::default()
        };
        assert_eq!(load, expected);
    }
}
