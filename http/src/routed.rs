//! The daemon's frontend. Its routing table gives each route a class, a pool or a split between pools, and limits.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use finchshift as fs;
use finchshift::{Effect, Micros};
use hyper::header::{ALLOW, HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode, Uri, Version};
use sloeline_engine::engine::{Engine, Transport};
use sloeline_limits::admission::AdmissionLimit;
use sloeline_limits::{Permit, Share};
use sloeline_routing::pattern::{self, ConditionSource, Request};
use sloeline_routing::split::{Split, hash};
use sloeline_routing::table::{NoRoute, Table};
use sloeline_routing::target::{Target, TargetError, percent_decode};
use tokio::sync::oneshot;

use crate::frontend::{
    Admission, Admitted, AdmittedGuard, ClientResponse, Frontend, ResponseObserver, end_to_end_headers,
    parse_digits, text_response,
};
use crate::upstream::{Call, ProcessingStart, Reply};

/// Header to which the address of the client is appended.
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// Headers by which some servers override the method of the request. The route is matched by the method in the
/// request line.
const METHOD_OVERRIDE_HEADERS: [HeaderName; 3] = [
    HeaderName::from_static("x-http-method-override"),
    HeaderName::from_static("x-http-method"),
    HeaderName::from_static("x-method-override"),
];

/// Where a value is taken from in a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// A constant, the same for every request.
    Fixed(String),
    /// The value of a request header.
    Header(HeaderName),
    /// The value of a query parameter.
    Query(String),
    /// The path segment with this index.
    Segment(usize),
}

/// A pool of upstreams as used by routes.
pub struct Pool<W: Transport> {
    /// Name of the pool.
    pub name: String,
    /// The engine that schedules requests to the pool.
    pub engine: Rc<Engine<W>>,
    /// Tenant ids by tenant name.
    pub tenants: RefCell<HashMap<String, fs::TenantId>>,
    /// Limits the number of open requests.
    pub open_requests: Rc<Share>,
    /// A temporary limit set by operators.
    pub operator_limit: AdmissionLimit,
    /// This instance's share of the limit for the whole fleet.
    pub fleet_limit: AdmissionLimit,
    /// Memory budget for request and response bodies, in bytes.
    pub body_memory: Rc<Share>,
    /// Bytes of body memory reserved for buffering each response.
    pub response_reservation_bytes: Cell<usize>,
    /// Counts the admitted requests, including those whose bodies are still being received.
    pub admitted: Rc<Admitted>,
    /// Closes when the pool is dropped, that is, when no route and no request uses it any more.
    pub dropped_signal: oneshot::Sender<()>,
}

impl<W: Transport> Pool<W> {
    /// Returns whether a request of the class is admitted or open. While it is, the class id must not be reassigned.
    pub fn uses_class(&self, class: fs::ClassId) -> bool {
        self.admitted.any_open(class) || self.engine.class_in_use(class)
    }
}

/// Resources that a request holds in a pool, from its head to its response.
struct RequestGuard<W: Transport> {
    _pool: Rc<Pool<W>>,
    _class: AdmittedGuard,
    _open_request: Permit,
}

impl<W: Transport> RequestGuard<W> {
    fn new(pool: &Rc<Pool<W>>, class: fs::ClassId, permit: Permit) -> RequestGuard<W> {
        RequestGuard { _pool: pool.clone(), _class: pool.admitted.count(class), _open_request: permit }
    }
}

/// A class that a route can assign to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteClass {
    /// Name of the class.
    pub name: String,
    /// Whether requests of the class are safe, keyed or unsafe to repeat.
    pub effect: Effect,
    /// Maximum time that a client waits for a response, in microseconds.
    pub deadline: Micros,
}

/// A pool that a route sends requests to: its only pool, or one of the pools of its split.
pub struct RoutePool<W: Transport> {
    /// The pool.
    pub pool: Rc<Pool<W>>,
    /// The id in this pool of each of the route's classes, or `None` if the pool lacks the class.
    pub classes: Vec<Option<fs::ClassId>>,
}

/// A response as an operation observes it.
pub struct ObservedResponse<'a> {
    /// Idempotency key of the request.
    pub key: Option<&'a str>,
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: &'a HeaderMap,
    /// Time from the submission of the request to the start of the response, in microseconds.
    pub elapsed: Micros,
}

/// A described operation. It observes responses, and its class can be narrowed when they show that a retry is less
/// safe than described.
pub trait Operation {
    /// Returns the id of the operation. It stays the same as long as the operation's requests stay the same.
    fn id(&self) -> u64;
    /// Returns whether responses have shown that a retry is less safe than described.
    fn is_narrowed(&self) -> bool;
    /// Inspects a response. Returns true if this response narrows the operation.
    fn observe(&self, response: &ObservedResponse<'_>) -> bool;
}

/// The described operation of a route.
pub struct DescribedOperation {
    /// The operation that observes the responses.
    pub operation: Rc<dyn Operation>,
    /// Index of the class that the route's requests get once the operation is narrowed.
    pub narrowed_class: usize,
}

/// Passes the response to one request to its operation.
struct OperationObserver<W: Transport> {
    service: Rc<Service<W>>,
    operation: Rc<dyn Operation>,
    key: Option<String>,
}

impl<W: Transport> ResponseObserver for OperationObserver<W> {
    fn operation(&self) -> u64 {
        self.operation.id()
    }

    fn on_response(self: Box<Self>, status: StatusCode, headers: &HeaderMap, elapsed: Micros) {
        let response = ObservedResponse { key: self.key.as_deref(), status, headers, elapsed };
        if self.operation.observe(&response) {
            // Requests of the operation that are open in any of the route's pools must not be retried any more.
            self.service
                .route_pools
                .iter()
                .for_each(|route_pool| route_pool.pool.engine.forbid_retry(self.operation.id()));
        }
    }
}

/// How the requests of a route are handled.
pub struct Service<W: Transport> {
    /// The pools that the route sends requests to.
    pub route_pools: Vec<RoutePool<W>>,
    /// How requests are split between several pools, and the value by which a client always gets the same pool.
    pub split: Option<(Split, Option<Source>)>,
    /// The classes of the route. Without a class header, the first one applies.
    pub classes: Vec<RouteClass>,
    /// The header that names the class of a request.
    pub class_header: Option<HeaderName>,
    /// Where the tenant of a request is taken from.
    pub tenant: Option<Source>,
    /// Where the idempotency key of a request is taken from.
    pub key: Option<Source>,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// The described operation, if the route has one.
    pub described: Option<DescribedOperation>,
}

/// The routes of a listener under one configuration.
pub struct Routes<W: Transport> {
    /// Finds the route of a request.
    pub table: Table,
    /// The service of each route, by the route's index in the table.
    pub services: Vec<Rc<Service<W>>>,
    /// All pools that the routes use. Requests can be served once each of them has a list of upstreams.
    pub pools: Vec<Rc<Pool<W>>>,
    /// The header in which clients set their deadline, in milliseconds.
    pub deadline_header: Option<HeaderName>,
    /// Number of requests that matched no route.
    pub unrouted_requests: Rc<Cell<u64>>,
}

/// A frontend whose routes can be replaced. Requests that are already admitted keep the routes by which they were
/// admitted.
pub struct RoutedFrontend<W: Transport> {
    current: RefCell<Rc<Routes<W>>>,
}

impl<W: Transport> RoutedFrontend<W> {
    /// Creates a frontend with these routes.
    pub fn new(routes: Routes<W>) -> RoutedFrontend<W> {
        RoutedFrontend { current: RefCell::new(Rc::new(routes)) }
    }

    /// Replaces the routes for subsequent requests. Returns the previous routes unless a request is being admitted
    /// by them, so that the caller can choose when to drop them, which is costly.
    #[must_use]
    pub fn replace_routes(&self, routes: Routes<W>) -> Option<Routes<W>> {
        Rc::into_inner(self.current.replace(Rc::new(routes)))
    }
}

/// Looks up a header that must have at most one value. Several values or a value that is not text are ambiguous.
pub fn single_header(headers: &HeaderMap, name: &str) -> pattern::FieldValue {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => pattern::FieldValue::Missing,
        (Some(value), None) => value
            .to_str()
            .map_or(pattern::FieldValue::Ambiguous, |v| pattern::FieldValue::Single(v.to_owned())),
        (Some(_), Some(_)) => pattern::FieldValue::Ambiguous,
    }
}

/// Parses the target of a request into its normal form.
pub fn parse_target(head: &Parts) -> Result<Target, TargetError> {
    let host = match single_header(&head.headers, HOST.as_str()) {
        pattern::FieldValue::Single(host) => Some(host),
        // RFC 9112 section 3.2: only HTTP/1.0 requests may omit the Host header.
        pattern::FieldValue::Missing if head.version == Version::HTTP_10 => None,
        _ => return Err(TargetError::InvalidHost),
    };
    let path = head.uri.path_and_query().map_or("", |p| p.as_str());
    match (head.uri.scheme_str(), head.uri.authority()) {
        (Some(scheme), Some(authority)) => {
            Target::parse(&format!("{scheme}://{authority}{path}"), host.as_deref())
        }
        (None, None) => Target::parse(path, host.as_deref()),
        _ => Err(TargetError::UnsupportedForm),
    }
}

/// Returns the path and query in normal form. A target that is already in that form, as most are, is not parsed
/// again.
fn forwarded_uri(target: &Target, received: &Uri) -> Option<Uri> {
    match received.path_and_query() {
        Some(path) if path.path() == target.path.as_str() => Some(path.clone().into()),
        _ => target.path_and_query().parse().ok(),
    }
}

/// Builds a 400 response with this reason.
fn bad_request(reason: impl Into<String>) -> ClientResponse {
    text_response(StatusCode::BAD_REQUEST, reason.into())
}

/// Extracts a value from a request, or `None` if the request does not contain the value.
fn extract(
    source: &Source,
    request: &Request<'_>,
    headers: &HeaderMap,
) -> Result<Option<String>, ClientResponse> {
    let ambiguous = |what: &str| bad_request(format!("{what} stands twice or is no text"));
    let field = match source {
        Source::Fixed(value) => return Ok(Some(value.clone())),
        Source::Header(name) => (single_header(headers, name.as_str()), name.to_string()),
        Source::Query(name) => (request.field_value(&ConditionSource::Query(name.clone())), name.clone()),
        Source::Segment(index) => {
            let segment = request.target.path.segment(*index).map(percent_decode).transpose();
            return segment.map_err(|reason| bad_request(reason.to_string()));
        }
    };
    match field {
        (pattern::FieldValue::Missing, _) => Ok(None),
        (pattern::FieldValue::Single(value), _) => Ok(Some(value).filter(|v| !v.is_empty())),
        (pattern::FieldValue::Ambiguous, what) => Err(ambiguous(&what)),
    }
}

impl<W: Transport<Call = Call, Reply = Reply>> Frontend for RoutedFrontend<W> {
    type EngineTransport = W;

    fn admit(&self, head: &Parts, peer: SocketAddr) -> Result<Admission<W>, ClientResponse> {
        let routes = self.current.borrow().clone();
        let target = parse_target(head).map_err(|reason| bad_request(reason.to_string()))?;
        let header = |name: &str| single_header(&head.headers, name);
        let request = Request { method: head.method.as_str(), target: &target, header: &header };
        let (route, service) = match routes.table.find(&request) {
            Ok(at) => {
                let found = routes.table.routes().get(at).zip(routes.services.get(at));
                found.ok_or_else(|| text_response(StatusCode::NOT_FOUND, "no such route"))?
            }
            Err(NoRoute::NotFound) => {
                routes.unrouted_requests.set(routes.unrouted_requests.get() + 1);
                return Err(text_response(StatusCode::NOT_FOUND, "no such route"));
            }
            Err(NoRoute::Ambiguous(place)) => {
                return Err(bad_request(format!("{place} stands twice or is no text")));
            }
            Err(NoRoute::MethodNotAllowed(methods)) => {
                routes.unrouted_requests.set(routes.unrouted_requests.get() + 1);
                let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "no route for this method");
                if let Ok(methods) = HeaderValue::from_str(&methods.join(", ")) {
                    response.headers_mut().insert(ALLOW, methods);
                }
                return Err(response);
            }
        };
        let class_index = match (&service.class_header, &service.described) {
            // Evidence from responses takes precedence over the description.
            (_, Some(described)) if described.operation.is_narrowed() => described.narrowed_class,
            (None, _) => 0,
            (Some(name), _) => {
                let class_name = extract(&Source::Header(name.clone()), &request, &head.headers)?;
                let at = class_name.and_then(|n| service.classes.iter().position(|c| c.name == n));
                at.ok_or_else(|| bad_request(format!("{name} names no class of this route")))?
            }
        };
        let Some(class) = service.classes.get(class_index) else {
            return Err(text_response(StatusCode::NOT_FOUND, "a route without a class"));
        };
        // The upstream could run another operation than the one that the class was chosen for.
        if class.effect != Effect::Unsafe
            && METHOD_OVERRIDE_HEADERS.iter().any(|name| head.headers.contains_key(name))
        {
            return Err(bad_request("a method override on a route that may be repeated"));
        }
        let key = service.key.as_ref().map(|s| extract(s, &request, &head.headers)).transpose()?.flatten();
        if matches!(class.effect, Effect::Keyed { .. }) && key.is_none() {
            return Err(bad_request("a keyed request without its key"));
        }
        let tenant =
            service.tenant.as_ref().map(|s| extract(s, &request, &head.headers)).transpose()?.flatten();
        let client_wait = routes
            .deadline_header
            .as_ref()
            .map(|n| extract(&Source::Header(n.clone()), &request, &head.headers));
        let client_wait = match client_wait.transpose()?.flatten() {
            None => Micros::MAX,
            Some(text) => parse_digits(&text)
                .ok_or_else(|| bad_request("the deadline is no number"))?
                .saturating_mul(1000),
        };
        let pool_index = match &service.split {
            None => 0,
            Some((split, sticky)) => {
                let value =
                    sticky.as_ref().map(|s| extract(s, &request, &head.headers)).transpose()?.flatten();
                // A client without an identifying value is identified by its connection.
                split.choose(value.map_or_else(|| hash(peer.to_string().as_bytes()), |v| hash(v.as_bytes())))
            }
        };
        let Some(route_pool) = service.route_pools.get(pool_index) else {
            return Err(text_response(StatusCode::NOT_FOUND, "a route without a pool"));
        };
        let pool = &route_pool.pool;
        // No upstream is ready, so the request is refused at once and was not sent.
        if pool.engine.ready_upstreams() == 0 {
            return Err(self.refused("no upstream"));
        }
        if let Err(wait) = pool.operator_limit.admit(pool.engine.now(), pool.open_requests.used()) {
            return Err(self.refused_for("limited by an operator", wait));
        }
        if let Err(wait) = pool.fleet_limit.admit(pool.engine.now(), 0) {
            return Err(self.refused_for("the fleet's limit", wait));
        }
        // A pool whose upstreams hang must not take up the open requests of other pools.
        let permit = pool.open_requests.acquire(1).ok_or_else(|| self.refused("the pool is full"))?;
        let deadline = class.deadline;
        let class = route_pool.classes.get(class_index).copied().flatten();
        let class = class.ok_or_else(|| text_response(StatusCode::NOT_FOUND, "a route without a class"))?;
        let mut headers = end_to_end_headers(&head.headers);
        // A client could list the key or a header that the route was matched by in its Connection header. The header
        // would then be removed, and the upstream would get another request than the one that was matched.
        let is_stripped = |name: &str| head.headers.contains_key(name) && !headers.contains_key(name);
        let route_headers = route.conditions.iter().filter_map(|c| match &c.source {
            ConditionSource::Header(name) => Some(name.as_str()),
            ConditionSource::Query(_) => None,
        });
        let value_headers = [&service.key, &service.tenant].into_iter().filter_map(|s| match s {
            Some(Source::Header(name)) => Some(name.as_str()),
            _ => None,
        });
        let class_header = service.class_header.as_ref().map(HeaderName::as_str);
        if route_headers.chain(value_headers).chain(class_header).chain([HOST.as_str()]).any(is_stripped) {
            return Err(bad_request("Connection names a header that this route goes by"));
        }
        if let Some(host) = target.host.as_ref().map(ToString::to_string)
            && headers.get(HOST).is_none_or(|received| received.as_bytes() != host.as_bytes())
            && let Ok(host) = HeaderValue::from_str(&host)
        {
            headers.insert(HOST, host);
        }
        if let Ok(peer) = HeaderValue::from_str(&peer.ip().to_string()) {
            headers.append(FORWARDED_FOR, peer);
        }
        let observer = service.described.as_ref().map(|described| {
            let (service, operation) = (service.clone(), described.operation.clone());
            Box::new(OperationObserver { service, operation, key }) as Box<dyn ResponseObserver>
        });
        Ok(Admission {
            engine: pool.engine.clone(),
            class,
            time_left: client_wait.min(deadline),
            tenant: tenant.and_then(|t| pool.tenants.borrow().get(&t).copied()),
            work: None,
            is_retry: false,
            method: head.method.clone(),
            uri: forwarded_uri(&target, &head.uri)
                .ok_or_else(|| bad_request("the target cannot be forwarded"))?,
            headers,
            max_body_bytes: service.max_body_bytes,
            response_reservation_bytes: pool.response_reservation_bytes.get(),
            forbids_body: [Method::GET, Method::HEAD].contains(&head.method),
            request_id: None,
            body_memory: pool.body_memory.clone(),
            observer,
            guard: Some(Box::new(RequestGuard::new(pool, class, permit))),
        })
    }

    fn ready(&self) -> bool {
        self.current.borrow().pools.iter().all(|p| p.engine.has_list())
    }

    /// Returns whole seconds (RFC 9110 section 10.2.3), at least 1, also if the engine proposes no delay.
    fn retry_after(&self, proposed_delay: Micros) -> Option<HeaderValue> {
        Some(HeaderValue::from(proposed_delay.div_ceil(1_000_000).max(1)))
    }

    fn processing_start(&self) -> ProcessingStart {
        ProcessingStart::FirstByte
    }
}

impl<W: Transport<Call = Call, Reply = Reply>> RoutedFrontend<W> {
    /// Builds a 503 response with the shortest `Retry-After`.
    fn refused(&self, reason: &'static str) -> ClientResponse {
        self.refused_for(reason, 0)
    }

    /// Builds a 503 response with a `Retry-After` of `wait` microseconds, rounded up to seconds.
    fn refused_for(&self, reason: &'static str, wait: Micros) -> ClientResponse {
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, reason);
        if let Some(seconds) = self.retry_after(wait) {
            response.headers_mut().insert(hyper::header::RETRY_AFTER, seconds);
        }
        response
    }
}
