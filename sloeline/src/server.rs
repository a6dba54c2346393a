//! Callers: their connections, their requests and the final answers.

use std::cell::Cell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
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
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::engine::{Answer, Asked, Engine, Failure, Wire};
use crate::upstream::{Call, MOST_BODY, Reply};

/// How long new connections are still taken after the order to stop.
const STILL_COMING: Duration = Duration::from_millis(500);
/// A connection without a request, or with a part of one, is kept this long.
const HEAD_TIME: Duration = Duration::from_secs(60);
/// The rest of a request may take this long.
const BODY_TIME: Duration = Duration::from_secs(10);
/// How long a connection that has carried nothing is still kept when no more come.
const NOTHING_YET: Duration = Duration::from_secs(1);
/// Pause after a connection could not be taken for want of descriptors.
const NO_SOCKET_PAUSE: Duration = Duration::from_millis(20);
/// Part of the connections from which on answers close theirs: room for callers that have none.
const CROWDED: f64 = 0.75;

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

/// What the answering of requests needs.
pub struct Server<W: Wire<Call = Call, Reply = Reply>> {
    engine: Rc<Engine<W>>,
    classes: HashMap<String, (fs::ClassId, fs::Class)>,
    tenants: HashMap<String, fs::TenantId>,
    places: Arc<Semaphore>,
    most: usize,
    phase: watch::Receiver<Phase>,
}

impl<W: Wire<Call = Call, Reply = Reply>> Server<W> {
    /// A server for the named classes and tenants, with room for `most` connections.
    pub fn new(
        engine: Rc<Engine<W>>,
        classes: Vec<(String, fs::Class)>,
        tenants: Vec<String>,
        most: usize,
        phase: watch::Receiver<Phase>,
    ) -> Rc<Self> {
        let classes = classes.into_iter().enumerate().map(|(i, (name, class))| (name, (i, class))).collect();
        let tenants = tenants.into_iter().enumerate().map(|(i, name)| (name, i)).collect();
        Rc::new(Server { engine, classes, tenants, places: Arc::new(Semaphore::new(most)), most, phase })
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
            // The place first: what is accepted is served, the others wait in the kernel's queue.
            let accept = async {
                let place = self.places.clone().acquire_owned().await;
                (place, listener.accept().await)
            };
            tokio::select! {
                biased;
                (place, accepted) = accept => match (place, accepted) {
                    (Ok(place), Ok((stream, _))) => {
                        spawn_local(self.clone().connection(stream, place));
                    }
                    // Guards against a spin while no descriptor is free: the connection stays in the queue.
                    _ => sleep(NO_SOCKET_PAUSE).await,
                },
                () = end => match stop_at {
                    Some(_) => break,
                    None => stop_at = Some(Instant::now() + STILL_COMING),
                },
            }
        }
        drop(listener);
        let _ = phases.send(Phase::Closing);
        let _ = self.places.acquire_many(self.most as u32).await;
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, place: OwnedSemaphorePermit) {
        let _place = place;
        let _ = stream.set_nodelay(true);
        let used = Rc::new(Cell::new(false));
        let service = hyper::service::service_fn({
            let (server, used) = (self.clone(), used.clone());
            move |request| {
                used.set(true);
                let server = server.clone();
                async move { Ok::<_, Infallible>(server.respond(request).await) }
            }
        });
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIME).max_buf_size(MOST_BODY);
        let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
        let mut phase = self.phase.clone();
        loop {
            let now = *phase.borrow_and_update();
            // One that has carried nothing yet may be about to: it is left until no more come.
            if now == Phase::Closing || (now == Phase::Stopping && used.get()) {
                connection.as_mut().graceful_shutdown();
            }
            tokio::select! {
                _ = connection.as_mut() => return,
                // Guards the stop against a caller that never ends its first request.
                () = sleep(NOTHING_YET), if now == Phase::Closing && !used.get() => {
                    if !used.get() {
                        return;
                    }
                }
                changed = phase.changed() => if changed.is_err() {
                    let _ = connection.as_mut().await;
                    return;
                },
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = match request.uri().path() {
            "/health/ready" => self.ready(),
            "/api" => self.api(request).await,
            _ => plain(StatusCode::NOT_FOUND, "no such path"),
        };
        let crowded = (self.places.available_permits() as f64) < (1.0 - CROWDED) * self.most as f64;
        if crowded || *self.phase.borrow() != Phase::Running {
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

    async fn api(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let asked = match self.read(request).await {
            Ok(asked) => asked,
            Err((status, why)) => return plain(status, why),
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
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let kind = text("req-kind").ok_or(bad("no Req-Kind"))?;
        let (id, class) = self.classes.get(kind).ok_or(bad("unknown Req-Kind"))?;
        if text("req-id").is_none_or(str::is_empty) {
            return Err(bad("no Req-Id"));
        }
        if head.method != Method::GET && head.method != Method::POST {
            return Err((StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        // Without its key a repeat could not be told from a new request.
        if matches!(class.effect, Effect::Keyed { .. }) && text("idempotency-key").is_none() {
            return Err(bad("no Idempotency-Key"));
        }
        let number = |name: &str| text(name).and_then(|v| v.trim().parse::<u64>().ok());
        let time_left = number("req-deadline-ms").map_or(class.deadline, |ms| ms.saturating_mul(1000));
        let (class, time_left) = (*id, time_left.min(class.deadline));
        let tenant = text("req-owner").and_then(|t| self.tenants.get(t).copied());
        let (work, retry): (Option<Micros>, _) = (number("req-cost"), text("req-retry") == Some("1"));
        let headers = end_to_end(&head.headers);
        let too_large = (StatusCode::PAYLOAD_TOO_LARGE, "over 64 KiB");
        if body.size_hint().lower() > MOST_BODY as u64 {
            return Err(too_large);
        }
        let body = timeout(BODY_TIME, Limited::new(body, MOST_BODY).collect()).await;
        let body = match body {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) if e.is::<LengthLimitError>() => return Err(too_large),
            Ok(Err(_)) => return Err(bad("broken body")),
            Err(_) => return Err((StatusCode::REQUEST_TIMEOUT, "the body did not come")),
        };
        // A request that names the whole address is for this path all the same.
        let path = head.uri.path_and_query().cloned().ok_or(bad("no path"))?;
        let call = Call { method: head.method, uri: path.into(), headers, body };
        Ok(Asked { class, time_left, tenant, work, retry, call })
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
