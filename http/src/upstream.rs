//! Sends attempts and health probes to upstreams.

use std::cell::{Cell, RefCell};
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
use crate::pool::{CONNECT_UNTOLD, Conn, Pool};
use crate::upload::{OutgoingBody, RequestBody};
use crate::{MAX_BUFFERED_BYTES, PLATFORM_MAX_BODY_BYTES};

/// How long a connection may take after a response until it is ready for the next request.
const TURN_ROUND: Duration = Duration::from_millis(500);

/// How to talk to the upstreams of a pool: the headers they get and the meaning of their responses.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamProtocol {
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
}

impl UpstreamProtocol {
    /// Returns the protocol of the platform's upstreams.
    pub fn platform() -> UpstreamProtocol {
        let statuses = vec![StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
        let mark = (HeaderName::from_static("srv-declined"), HeaderValue::from_static("1"), statuses);
        UpstreamProtocol {
            deadline_header: Some(HeaderName::from_static("req-deadline-ms")),
            only_200: true,
            declined_mark: Some(mark),
            max_response_bytes: PLATFORM_MAX_BODY_BYTES,
            max_buffered_bytes: MAX_BUFFERED_BYTES,
            forwards_any_status: false,
            forwards_errors: false,
            echo_header: None,
        }
    }

    /// Returns whether a response with this status counts as served.
    fn served(&self, status: StatusCode) -> bool {
        // 429 tells a client that its request did not run. Forwarded from an upstream, it would promise that
        // wrongly.
        let own = status.as_u16() < 500 && status != StatusCode::TOO_MANY_REQUESTS;
        if self.forwards_any_status {
            return !status.is_informational();
        }
        if self.only_200 { status == StatusCode::OK } else { own && !status.is_informational() }
    }

    /// Returns whether the response proves that the upstream did not run the request.
    fn declines(&self, status: StatusCode, headers: &HeaderMap) -> bool {
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
        dialect: &UpstreamProtocol,
        number: u64,
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
        if let (Some(limit), Some(name)) = (limit, &dialect.deadline_header) {
            headers.insert(name.clone(), HeaderValue::from(limit.div_ceil(1000)));
        }
        if let Some(name) = &dialect.echo_header {
            headers.insert(name.clone(), HeaderValue::from(number));
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
struct Flight {
    begun: RefCell<Option<Begun>>,
    /// Minimum size of the whole request in bytes.
    least: u64,
    body: RequestBody,
}

/// The connection on which a request is sent, and its write counter at that moment.
struct Begun {
    driver: AbortHandle,
    written: Rc<Cell<u64>>,
    before: u64,
}

impl Flight {
    fn new(call: &Call) -> Rc<Flight> {
        let (least, body) = (call.body.min_length() + 1, call.body.clone());
        Rc::new(Flight { begun: RefCell::new(None), least, body })
    }

    fn begin(&self, conn: &Conn) {
        let (driver, written) = (conn.driver.clone(), conn.written.clone());
        let before = written.get();
        *self.begun.borrow_mut() = Some(Begun { driver, written, before });
    }

    /// Returns false only if the last byte of the request was certainly not written.
    fn may_have_run(&self) -> bool {
        let written = |b: &Begun| b.written.get() - b.before >= self.least;
        self.body.is_received() && self.begun.borrow().as_ref().is_some_and(written)
    }
}

/// The outcome of a relayed request.
#[derive(Debug)]
pub enum RelayOutcome {
    /// The upstream did not receive the whole request, so it did not run.
    NotSent,
    /// The request may have run, but there is no response that can be forwarded.
    Broken(Outcome),
    /// The response of the upstream.
    Answered(Reply),
}

/// A running attempt.
pub struct Attempt {
    task: AbortHandle,
    flight: Rc<Flight>,
}

impl Attempt {
    /// Closes the attempt's connection at once. Returns whether the request may have run.
    pub fn abort(self) -> bool {
        // Stops the connection first, so that nothing is written after the check.
        if let Some(begun) = &*self.flight.begun.borrow() {
            begun.driver.abort();
        }
        self.task.abort();
        self.flight.may_have_run()
    }
}

/// The result of sending one request and reading its response.
struct Exchanged {
    outcome: Outcome,
    load: Option<Load>,
    /// The response, if there is one. Its body is still arriving if `passing` holds the connection.
    reply: Option<Reply>,
    conn: Option<Conn>,
    /// The connection on which the rest of a streamed response arrives.
    passing: Option<Conn>,
}

impl From<Outcome> for Exchanged {
    fn from(outcome: Outcome) -> Exchanged {
        Exchanged { outcome, load: None, reply: None, conn: None, passing: None }
    }
}

/// The connections to the upstreams of a pool.
pub struct Upstreams {
    pool: Rc<Pool>,
    dialect: RefCell<Rc<UpstreamProtocol>>,
}

impl Upstreams {
    /// Creates a client without connections. `places` limits the number of connections.
    pub fn new(limits: &fs::Limits, places: Rc<Share>, dialect: UpstreamProtocol) -> Upstreams {
        Upstreams { pool: Rc::new(Pool::new(limits, places)), dialect: RefCell::new(Rc::new(dialect)) }
    }

    /// Changes the configuration. Running attempts keep the previous one.
    pub fn set_config(&self, limits: &fs::Limits, dialect: UpstreamProtocol) {
        self.pool.set(limits);
        *self.dialect.borrow_mut() = Rc::new(dialect);
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
        let (pool, flight, dialect) = (self.pool.clone(), Flight::new(&call), self.dialect.borrow().clone());
        let shared = flight.clone();
        if let RequestBody::Streaming(upload) = &call.body {
            let come = report.body_receipt();
            upload.on_received(move || come.complete());
        }
        let task = spawn_local(async move {
            let ended = exchange(&pool, to, &call, Some(limit), &dialect, &shared).await;
            let whole = match (ended.passing, ended.reply) {
                (Some(conn), Some(reply)) => return pass(pool, to.server, conn, reply, ended.load, report),
                (_, whole) => whole,
            };
            let mut conn = ended.conn;
            // Returns the connection to the pool before the outcome is reported, so that requests that the engine
            // sends in response can use it.
            let waiting = match conn.as_mut().map(|c| c.sender.is_ready()) {
                Some(true) => conn.take().and_then(|c| {
                    pool.put(to.server, c);
                    None
                }),
                _ => conn,
            };
            report.end(ended.outcome, ended.load, whole);
            if let Some(conn) = waiting {
                put_when_ready(&pool, to.server, conn).await;
            }
        });
        Attempt { task: task.abort_handle(), flight }
    }

    /// Forwards a request once, without retries, for a proxy that only relays. `right` checks the head of the
    /// response. If it returns false, the response belongs to another request and the connection is closed. Dropping
    /// this future aborts the exchange and closes its connection.
    pub async fn relay(
        &self,
        to: Target,
        call: &Call,
        limit: Micros,
        right: impl FnOnce(StatusCode, &HeaderMap) -> bool,
    ) -> RelayOutcome {
        let (flight, dialect) = (Flight::new(call), self.dialect.borrow().clone());
        let exchanging = exchange(&self.pool, to, call, Some(limit), &dialect, &flight);
        let ended = match timeout(Duration::from_micros(limit), exchanging).await {
            Ok(ended) => ended,
            // The connection is closed by now, so nothing more can be written.
            Err(_) if flight.may_have_run() => return RelayOutcome::Broken(Outcome::TimedOut),
            Err(_) => return RelayOutcome::NotSent,
        };
        let Some(mut reply) = ended.reply else {
            return if ended.outcome.never_ran() {
                RelayOutcome::NotSent
            } else {
                RelayOutcome::Broken(ended.outcome)
            };
        };
        if !right(reply.status, &reply.headers) {
            return RelayOutcome::Broken(Outcome::Error);
        }
        let pool = self.pool.clone();
        if let Payload::Streaming(passing) = &mut reply.body {
            let conn = ended.passing;
            passing.on_end(move |end| {
                if let (BodyEnd::Complete, Some(conn)) = (end, conn) {
                    spawn_local(async move { put_when_ready(&pool, to.server, conn).await });
                }
            });
        } else if let Some(conn) = ended.conn {
            spawn_local(async move { put_when_ready(&pool, to.server, conn).await });
        }
        RelayOutcome::Answered(reply)
    }

    /// Probes the health of an upstream and reports the elapsed time, the outcome and the load report.
    pub fn probe(&self, to: Target, told: impl FnOnce(Duration, Outcome, Option<Load>) + 'static) {
        let (pool, dialect) = (self.pool.clone(), self.dialect.borrow().clone());
        let uri = Uri::from_static("/health/live");
        let call = Call {
            method: Method::GET,
            uri,
            headers: HeaderMap::new(),
            body: RequestBody::Buffered(Bytes::new()),
        };
        spawn_local(async move {
            let (flight, start) = (Flight::new(&call), Instant::now());
            let ended = timeout(CONNECT_UNTOLD, exchange(&pool, to, &call, None, &dialect, &flight)).await;
            let ended = ended.unwrap_or_else(|_| Outcome::TimedOut.into());
            told(start.elapsed(), ended.outcome, ended.load);
            if let Some(conn) = ended.conn {
                put_when_ready(&pool, to.server, conn).await;
            }
        });
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        self.pool.close_idle(server);
    }
}

/// Returns a connection to the pool once it can take another request. Drops the connection if that takes too long.
async fn put_when_ready(pool: &Pool, server: ServerId, mut conn: Conn) {
    if let Ok(Ok(())) = timeout(TURN_ROUND, conn.sender.ready()).await {
        pool.put(server, conn);
    }
}

/// Sends one request and reads its response. If a pooled connection is found dead before any byte was written, the
/// next connection is tried. No byte of a request is ever written twice.
async fn exchange(
    pool: &Pool,
    to: Target,
    call: &Call,
    limit: Option<Micros>,
    dialect: &UpstreamProtocol,
    flight: &Flight,
) -> Exchanged {
    let start = Instant::now();
    loop {
        let (mut conn, reused) = match pool.take(to) {
            Some(conn) => (conn, true),
            None => match pool.connect(to.address).await {
                Ok(conn) => (conn, false),
                Err(outcome) => return outcome.into(),
            },
        };
        flight.begin(&conn);
        let left = limit.map(|l| l.saturating_sub(start.elapsed().as_micros() as Micros));
        let number = pool.next_attempt();
        match conn.sender.try_send_request(call.request(to.address, left, dialect, number)).await {
            Ok(response) => return read(response, conn, dialect, number).await,
            Err(mut e) => {
                let untouched = e.take_message().is_some();
                if untouched && reused {
                    continue;
                }
                let ran = !untouched && flight.may_have_run();
                return if ran { Outcome::Reset } else { Outcome::ConnectFailed }.into();
            }
        }
    }
}

/// Forwards the head of a streamed response. The attempt ends when the body ends.
fn pass<W: Transport<Reply = Reply>>(
    pool: Rc<Pool>,
    server: ServerId,
    conn: Conn,
    mut reply: Reply,
    load: Option<Load>,
    report: AttemptReport<W>,
) {
    let opening = report.response_start();
    if let Payload::Streaming(passing) = &mut reply.body {
        passing.on_end(move |end| match end {
            BodyEnd::Complete => {
                report.end(Outcome::Ok, load, None);
                spawn_local(async move { put_when_ready(&pool, server, conn).await });
            }
            // The connection is dropped here too, because its state is unknown.
            BodyEnd::Failed => report.end(Outcome::Reset, load, None),
            BodyEnd::Abandoned => report.end(Outcome::Cancelled, load, None),
        });
    }
    opening.begin(reply);
}

/// Reads a response up to the buffer limit and determines its outcome. The connection is reusable only if the whole
/// response was read.
async fn read(
    response: Response<Incoming>,
    conn: Conn,
    dialect: &UpstreamProtocol,
    number: u64,
) -> Exchanged {
    let (mut head, mut body) = response.into_parts();
    // The response belongs to another attempt and says nothing about this one. Its connection is closed.
    if let Some(name) = &dialect.echo_header
        && head.headers.remove(name) != Some(HeaderValue::from(number))
    {
        return Outcome::Reset.into();
    }
    let declined = dialect.declines(head.status, &head.headers);
    let load = head.headers.get("srv-load").and_then(|v| v.to_str().ok()).map(load);
    let served = !declined && dialect.served(head.status);
    let (exact, most) = (body.size_hint().exact(), dialect.max_response_bytes as u64);
    let long = exact.is_some_and(|length| length > dialect.max_buffered_bytes as u64);
    // The outcome of an incomplete or oversized response. Such a response proves nothing, and its decline mark does
    // not count either.
    let spoilt = Exchanged { load, ..Outcome::Reset.into() };
    if exact.is_some_and(|length| length > most) || (long && !served) {
        return spoilt;
    }
    let mut held: Vec<Bytes> = Vec::new();
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return spoilt };
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        held.push(data);
        if length > dialect.max_buffered_bytes || long {
            if !served || length as u64 > most {
                return spoilt;
            }
            let passing = StreamingBody::new(joined(held), body, most - length as u64);
            let (status, headers, body) = (head.status, head.headers, Payload::Streaming(Box::new(passing)));
            let reply = Some(Reply { status, headers, body });
            return Exchanged { load, reply, passing: Some(conn), ..Outcome::Ok.into() };
        }
    }
    let (outcome, reply) = match head.status {
        _ if declined => (Outcome::Full, None),
        status if served => {
            let body = joined(held).into();
            (Outcome::Ok, Some(Reply { status, headers: head.headers, body }))
        }
        status if dialect.forwards_errors && status.is_server_error() => {
            let body = joined(held).into();
            (Outcome::Error, Some(Reply { status, headers: head.headers, body }))
        }
        _ => (Outcome::Error, None),
    };
    Exchanged { outcome, load, reply, conn: Some(conn), passing: None }
}

/// Concatenates the chunks of a body. A single chunk, the usual case, is not copied.
fn joined(mut parts: Vec<Bytes>) -> Bytes {
    match parts.len() {
        0 | 1 => parts.pop().unwrap_or_default(),
        _ => parts.concat().into(),
    }
}

/// Parses a load report of the form `name=value,name=value`. Unknown names and invalid values are skipped.
fn load(text: &str) -> Load {
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
    async fn serve(stream: &mut TcpStream) {
        let mut seen = Vec::new();
        while !seen.ends_with(b"\r\n\r\n") {
            seen.push(stream.read_u8().await.expect("a request"));
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").await.expect("it reads");
    }

    /// Runs a test with a client that may open `most` connections, and a listener as its upstream.
    fn with(most: usize, test: impl AsyncFnOnce(Upstreams, TcpListener, Target)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, async {
            let settings = fs::Settings::new(Vec::new());
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            let to = Target { server: 0, address: listener.local_addr().expect("an address") };
            let upstreams =
                Upstreams::new(&settings.limits, Share::standalone(most), UpstreamProtocol::platform());
            test(upstreams, listener, to).await;
        });
    }

    fn call() -> Call {
        let (uri, body) = (Uri::from_static("/api"), RequestBody::Buffered(Bytes::new()));
        Call { method: Method::GET, uri, headers: HeaderMap::new(), body }
    }

    /// Runs one exchange on a new connection. Returns the upstream's end of the connection and the outcome.
    async fn once(upstreams: &Upstreams, listener: &TcpListener, to: Target) -> (TcpStream, Outcome) {
        let (call, pool) = (call(), &upstreams.pool);
        let (flight, dialect) = (Flight::new(&call), UpstreamProtocol::platform());
        let peer = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            serve(&mut stream).await;
            stream
        };
        let (stream, ended) = tokio::join!(peer, exchange(pool, to, &call, None, &dialect, &flight));
        if let Some(conn) = ended.conn {
            put_when_ready(pool, to.server, conn).await;
        }
        (stream, ended.outcome)
    }

    #[test]
    fn idle_connections_are_closed_on_request() {
        with(9, async |upstreams, listener, to| {
            let (mut stream, outcome) = once(&upstreams, &listener, to).await;
            assert_eq!((outcome, upstreams.pool.open()), (Outcome::Ok, 1));
            upstreams.close_idle(to.server);
            assert_eq!(stream.read(&mut [0]).await.expect("an end"), 0);
            assert_eq!(upstreams.pool.open(), 0);
        });
    }

    #[test]
    fn a_full_pool_turns_idle_connections_into_new_ones_and_else_sends_nothing() {
        with(1, async |upstreams, listener, to| {
            let (mut first, _) = once(&upstreams, &listener, to).await;
            // The same listener under another server id counts as another upstream.
            let (_second, outcome) = once(&upstreams, &listener, Target { server: 1, ..to }).await;
            assert_eq!((outcome, upstreams.pool.open()), (Outcome::Ok, 1));
            assert_eq!(first.read(&mut [0]).await.expect("an end"), 0);
            let held = upstreams.pool.take(Target { server: 1, ..to }).expect("the idle one");
            assert_eq!(upstreams.pool.connect(to.address).await.err(), Some(Outcome::NotSent));
            drop(held);
        });
    }

    #[test]
    fn a_connection_closed_a_moment_ago_is_seen_before_the_runtime_sees_it() {
        with(9, async |upstreams, listener, to| {
            let (stream, _) = once(&upstreams, &listener, to).await;
            drop(stream);
            // The runtime was not polled since, so only the socket itself shows that it is closed.
            assert!(upstreams.pool.take(to).is_none());
        });
    }

    #[test]
    fn a_connection_that_never_comes_up_has_not_run() {
        with(9, async |upstreams, listener, to| {
            drop(listener);
            let call = call();
            let flight = Flight::new(&call);
            let ended =
                exchange(&upstreams.pool, to, &call, None, &UpstreamProtocol::platform(), &flight).await;
            assert_eq!(ended.outcome, Outcome::ConnectFailed);
            assert!(!flight.may_have_run());
        });
    }

    #[test]
    fn a_request_that_is_not_written_to_its_end_has_not_run() {
        with(9, async |upstreams, listener, to| {
            // The body is larger than the socket buffers of a peer that does not read.
            let call = Call {
                method: Method::POST,
                body: RequestBody::Buffered(vec![0; 32 << 20].into()),
                ..call()
            };
            let (flight, dialect) = (Flight::new(&call), UpstreamProtocol::platform());
            let peer = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                stream.read_u8().await.expect("a beginning");
            };
            let ((), ended) =
                tokio::join!(peer, exchange(&upstreams.pool, to, &call, None, &dialect, &flight));
            assert_eq!(ended.outcome, Outcome::ConnectFailed);
        });
    }

    #[test]
    fn a_load_report_is_read_as_far_as_it_is_known() {
        let read = load("inflight=7,queue=2,util=0.61,latency_ms=1.5,x9=1,eps=?,qps=NaN,eps=-1,util=inf,=,");
        let expected = Load {
            in_flight: Some(7.0),
            queue: Some(2.0),
            utilization: Some(0.61),
            latency: Some(1500),
            ..Load::default()
        };
        assert_eq!(read, expected);
    }
}
