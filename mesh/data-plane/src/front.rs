//! Requests from this machine's clients and its upstream: selects the route and the service, and prepares the headers for the
//! upstream's local balancer.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use finchshift::Micros;
use hyper::StatusCode;
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use sloeline_discovery::rendezvous::weight;
use sloeline_engine::clock::Clock;
use sloeline_http::frontend::{
    Admission, ClientResponse, Frontend, end_to_end_headers, parse_digits, text_response,
};
use sloeline_http::upstream::ProcessingStart;
use sloeline_idempotency::MAX_KEY_BYTES;
use sloeline_limits::Share;
use sloeline_route_config::model::RouteKind;
use sloeline_route_config::table::Table;

use crate::header_names;
use crate::request_age::RequestAgeEstimators;
use crate::services::{MeshTransport, RouteTarget};

/// `Retry-After` value for rejected requests if no better estimate is known, in seconds.
const DEFAULT_RETRY_AFTER: &str = "0.25";
/// Share of a request's remaining time that it may wait before it reaches an upstream. After that it is rejected, early
/// enough for the client to retry.
const MAX_WAIT_SHARE: f64 = 0.45;
/// Responses up to this size are buffered whole.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 64 << 10;

/// The routes of one configuration with their targets.
pub struct Routes {
    /// Finds the route of a request.
    pub table: Table,
    /// Target of each route, in the order of the table.
    pub targets: Vec<RouteTarget>,
}

/// Handles the requests that arrive at the `outgoing` address.
pub struct Outgoing {
    /// The routes in use, once there is a configuration.
    routes: RefCell<Option<Rc<Routes>>>,
    /// Service of this machine, sent in the `x-sender` header.
    sender: HeaderValue,
    /// Limits the memory for request bodies.
    bodies: Rc<Share>,
    /// The clock that deadlines and latency targets refer to.
    clock: Rc<Clock>,
    /// Whether this balancer reports itself as ready for requests.
    ready: Cell<bool>,
    /// When this balancer answers all requests that are still open, while it shuts down.
    requests_end: Cell<Option<Micros>>,
    /// Estimates how long ago the first try of a request began, by request kind.
    request_ages: RefCell<RequestAgeEstimators>,
}

impl Outgoing {
    /// Creates a front without routes. `sender` is the service of this machine, and `bodies` limits the memory for request
    /// bodies.
    pub fn new(sender: HeaderValue, bodies: Rc<Share>, clock: Rc<Clock>) -> Outgoing {
        let (routes, ready, request_ages) = (RefCell::default(), Cell::new(false), RefCell::default());
        Outgoing { routes, sender, bodies, clock, ready, requests_end: Cell::default(), request_ages }
    }

    /// Replaces the routes for all further requests.
    pub fn set_routes(&self, routes: Routes) {
        self.request_ages.borrow_mut().retain(routes.targets.iter().map(|target| &target.kind));
        *self.routes.borrow_mut() = Some(Rc::new(routes));
    }

    /// Sets whether this balancer reports itself as ready for requests.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// From now on, requests wait for an upstream only as long as this balancer can still serve them: it answers all open
    /// requests after this time.
    pub fn limit_waits(&self, requests_end: Duration) {
        self.requests_end.set(Some(self.clock.now().saturating_add(requests_end.as_micros() as Micros)));
    }

    /// Whether this balancer reports itself as ready for requests.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }
}

/// The value of a header that may occur at most once; an error response if it is repeated.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &hyper::header::HeaderName,
) -> Result<Option<&'a HeaderValue>, ClientResponse> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (found, None) => Ok(found),
        _ => Err(text_response(StatusCode::BAD_REQUEST, format!("{name} stands twice"))),
    }
}

/// The response to a request that is rejected before it is sent to an upstream.
fn rejected(reason: &'static str) -> ClientResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(DEFAULT_RETRY_AFTER));
    response
}

impl Frontend for Outgoing {
    type EngineTransport = MeshTransport;

    fn admit(&self, head: &Parts, _peer: SocketAddr) -> Result<Admission<MeshTransport>, ClientResponse> {
        let Some(routes) = self.routes.borrow().clone() else { return Err(rejected("no configuration yet")) };
        let bad_request = |reason: &'static str| text_response(StatusCode::BAD_REQUEST, reason);
        let host = single_header(&head.headers, &HOST)?
            .and_then(|h| h.to_str().ok())
            .ok_or_else(|| bad_request("no Host"))?;
        let path = head.uri.path_and_query().cloned().ok_or_else(|| bad_request("no path"))?;
        let found = routes.table.find(host, path.path());
        let Some((route, target)) =
            found.and_then(|at| Some((&routes.table.routes()[at], routes.targets.get(at)?)))
        else {
            return Err(text_response(StatusCode::NOT_FOUND, "no such route"));
        };
        let try_id = single_header(&head.headers, &header_names::TRY_ID)?;
        let keyed = route.route_kind == RouteKind::Tracked;
        if keyed {
            let key = single_header(&head.headers, &header_names::OPERATION_KEY)?.filter(|k| !k.is_empty());
            let key = key.ok_or_else(|| bad_request("a tracked route wants X-Operation-Key"))?;
            if key.len() > MAX_KEY_BYTES {
                return Err(bad_request("X-Operation-Key is too long"));
            }
        }
        let client_timeout = match single_header(&head.headers, &header_names::TIME_LEFT)? {
            None => Micros::MAX,
            Some(value) => {
                let millis = value.to_str().ok().and_then(parse_digits);
                millis.ok_or_else(|| bad_request("X-Time-Left is no number"))?.saturating_mul(1000)
            }
        };
        let total: u64 = target.splits.iter().map(|(.., share)| u64::from(*share)).sum();
        let mut point = match (target.splits.len(), try_id) {
            (1, _) => 0,
            (_, Some(try_id)) => weight("split", try_id.to_str().unwrap_or_default()) % total.max(1),
            (_, None) => fastrand::u64(..total.max(1)),
        };
        let split = target.splits.iter().find(|(.., share)| {
            let selected = target.splits.len() == 1 || point < u64::from(*share);
            point = point.saturating_sub(u64::from(*share));
            selected
        });
        let Some((service, class, _)) = split else { return Err(rejected("no service")) };
        if service.engine.ready_upstreams() == 0 {
            return Err(rejected("no upstream"));
        }
        let mut headers = end_to_end_headers(&head.headers);
        for internal in [
            header_names::ADDRESSEE,
            header_names::SENDER,
            header_names::KEYED,
            header_names::KIND,
            header_names::RANK,
            header_names::ONCE,
            header_names::NOT_RUN,
            header_names::ROOM_IN,
            header_names::AIM,
            header_names::LIMIT,
            header_names::HOLD,
            header_names::ATTEMPT,
            header_names::SERVICE,
            header_names::INSTANCE,
        ] {
            headers.remove(internal);
        }
        headers.insert(header_names::SENDER, self.sender.clone());
        headers.insert(header_names::KIND, target.kind.clone());
        headers.insert(header_names::RANK, HeaderValue::from(route.precedence));
        let (now, time_left) = (self.clock.now(), client_timeout.min(route.dispatch.timeout.0));
        // The latency target counts from the client's first try.
        let age = match client_timeout {
            Micros::MAX => 0,
            _ => {
                self.request_ages.borrow_mut().record(&target.kind, now / 1000, client_timeout / 1000) * 1000
            }
        };
        let target_at = now.saturating_add(route.target.0).saturating_sub(age);
        headers.insert(header_names::AIM, HeaderValue::from(target_at));
        let served_for = self.requests_end.get().map_or(Micros::MAX, |end| end.saturating_sub(now));
        let max_wait = (time_left.min(served_for) as f64 * MAX_WAIT_SHARE) as Micros;
        headers.insert(header_names::HOLD, HeaderValue::from(now.saturating_add(max_wait)));
        headers.insert(header_names::TIME_LEFT, HeaderValue::from(now.saturating_add(time_left)));
        if route.route_kind == RouteKind::Unsafe {
            headers.insert(header_names::ONCE, HeaderValue::from_static("1"));
        }
        if keyed {
            headers.insert(header_names::KEYED, HeaderValue::from_static("1"));
        }
        Ok(Admission {
            engine: service.engine.clone(),
            class: *class,
            time_left,
            tenant: None,
            work: None,
            is_retry: false,
            method: head.method.clone(),
            uri: path.into(),
            headers,
            max_body_bytes: routes.table.limits().body_bytes.min(usize::MAX as u64) as usize,
            response_reservation_bytes: MAX_BUFFERED_RESPONSE_BYTES,
            forbids_body: false,
            request_id: None,
            body_memory: self.bodies.clone(),
            observer: None,
            guard: Some(Box::new(service.admitted.count(*class))),
        })
    }

    fn ready(&self) -> bool {
        self.ready.get()
    }

    fn retry_after(&self, wanted: Micros) -> Option<HeaderValue> {
        let wanted = if wanted == 0 { 250_000 } else { wanted };
        HeaderValue::from_str(&format!("{:.3}", wanted as f64 / 1e6)).ok()
    }

    fn processing_start(&self) -> ProcessingStart {
        ProcessingStart::FirstByte
    }
}
