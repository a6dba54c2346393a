//! The daemon's front: a table of routes, each with a class, a pool or a split between pools, and limits.

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
use crate::upstream::{Call, Reply};

const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
/// With these some servers take another method than the one that the route was found by.
const OVERRIDES: [HeaderName; 3] = [
    HeaderName::from_static("x-http-method-override"),
    HeaderName::from_static("x-http-method"),
    HeaderName::from_static("x-method-override"),
];

/// Where something about a request is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Source {
    /// Always the same.
    Fixed(String),
    /// In a header.
    Header(HeaderName),
    /// In a parameter of the query.
    Query(String),
    /// In the path's segment with this number.
    Segment(usize),
}

/// A pool, as routes see it.
pub struct Pool<W: Transport> {
    /// Its name.
    pub name: String,
    /// Its engine.
    pub engine: Rc<Engine<W>>,
    /// The numbers of the tenants.
    pub tenants: RefCell<HashMap<String, fs::TenantId>>,
    /// How many requests it may have open.
    pub open_requests: Rc<Share>,
    /// What operators let it take for a time.
    pub operator_limit: AdmissionLimit,
    /// What the fleet lets this instance take of what all may.
    pub fleet_limit: AdmissionLimit,
    /// Bytes that bodies and answers may take.
    pub body_memory: Rc<Share>,
    /// Most bytes of an answer.
    pub response_reservation_bytes: Cell<usize>,
    /// The requests that are admitted, their bodies still on their way or not.
    pub admitted: Rc<Admitted>,
    /// Dropped with the pool, when neither routes nor requests hold it any more.
    pub dropped_signal: oneshot::Sender<()>,
}

impl<W: Transport> Pool<W> {
    /// Whether a request of the class is admitted or open: its number must keep its meaning.
    pub fn uses_class(&self, class: fs::ClassId) -> bool {
        self.admitted.any_open(class) || self.engine.class_in_use(class)
    }
}

/// A request in a pool, from its head to its answer.
struct InHand<W: Transport> {
    _pool: Rc<Pool<W>>,
    _class: AdmittedGuard,
    _place: Permit,
}

impl<W: Transport> InHand<W> {
    fn new(pool: &Rc<Pool<W>>, class: fs::ClassId, place: Permit) -> InHand<W> {
        InHand { _pool: pool.clone(), _class: pool.admitted.count(class), _place: place }
    }
}

/// A class that a route may give.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteClass {
    /// Its name.
    pub name: String,
    /// What may be repeated.
    pub effect: Effect,
    /// How long its callers wait at the longest.
    pub deadline: Micros,
}

/// One side of a route's split, or its only pool.
pub struct RoutePool<W: Transport> {
    /// The pool.
    pub pool: Rc<Pool<W>>,
    /// The number there of each of the route's classes.
    pub classes: Vec<Option<fs::ClassId>>,
}

/// An answer, as an operation looks at it.
pub struct ObservedResponse<'a> {
    /// The key of the request.
    pub key: Option<&'a str>,
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// How long it took, in microseconds.
    pub elapsed: Micros,
}

/// An operation that is described: its answers are looked at, and it may turn out less harmless than its class says.
pub trait Operation {
    /// The same for as long as its requests are the same.
    fn id(&self) -> u64;
    /// It is not as harmless to repeat as described.
    fn is_narrowed(&self) -> bool;
    /// Looks at an answer; true where it is narrowed by this one.
    fn observe(&self, seen: &ObservedResponse<'_>) -> bool;
}

/// A route's operation.
pub struct DescribedOperation {
    /// The operation.
    pub operation: Rc<dyn Operation>,
    /// The class by which its requests go once it is narrowed.
    pub narrowed_class: usize,
}

/// Looks at the answer to one request.
struct OperationObserver<W: Transport> {
    service: Rc<Service<W>>,
    operation: Rc<dyn Operation>,
    key: Option<String>,
}

impl<W: Transport> ResponseObserver for OperationObserver<W> {
    fn operation(&self) -> u64 {
        self.operation.id()
    }

    fn on_response(self: Box<Self>, status: StatusCode, headers: &HeaderMap, took: Micros) {
        let seen = ObservedResponse { key: self.key.as_deref(), status, headers, elapsed: took };
        if self.operation.observe(&seen) {
            // Those that are open in any of its pools, before their next attempt.
            self.service
                .route_pools
                .iter()
                .for_each(|side| side.pool.engine.forbid_retry(self.operation.id()));
        }
    }
}

/// What becomes of the requests of a route.
pub struct Service<W: Transport> {
    /// The pools.
    pub route_pools: Vec<RoutePool<W>>,
    /// Which of them, where there are several, and by what a caller is kept on its side.
    pub split: Option<(Split, Option<Source>)>,
    /// The classes; the first where no header chooses.
    pub classes: Vec<RouteClass>,
    /// The header that names the class.
    pub class_header: Option<HeaderName>,
    /// Whose requests they are.
    pub tenant: Option<Source>,
    /// What a keyed request is known by.
    pub key: Option<Source>,
    /// Most bytes of a body.
    pub max_body_bytes: usize,
    /// The operation, where it is described.
    pub described: Option<DescribedOperation>,
}

/// The routes of a listener as of one configuration.
pub struct Routes<W: Transport> {
    /// Finds the route.
    pub table: Table,
    /// What each of the table's routes leads to.
    pub services: Vec<Rc<Service<W>>>,
    /// All pools: requests can be served when each has a list.
    pub pools: Vec<Rc<Pool<W>>>,
    /// The header in which callers say how long they wait, in milliseconds.
    pub deadline_header: Option<HeaderName>,
    /// Requests that no route was found for.
    pub unrouted_requests: Rc<Cell<u64>>,
}

/// A front whose routes can be replaced; requests that were admitted keep theirs.
pub struct RoutedFrontend<W: Transport> {
    now: RefCell<Rc<Routes<W>>>,
}

impl<W: Transport> RoutedFrontend<W> {
    /// A front with these routes.
    pub fn new(routes: Routes<W>) -> RoutedFrontend<W> {
        RoutedFrontend { now: RefCell::new(Rc::new(routes)) }
    }

    /// Takes the next request by other routes; those before come back, where no request is being admitted by them: to
    /// take them apart is work.
    #[must_use]
    pub fn replace_routes(&self, routes: Routes<W>) -> Option<Routes<W>> {
        Rc::into_inner(self.now.replace(Rc::new(routes)))
    }
}

/// What stands in a header.
pub fn seen(headers: &HeaderMap, name: &str) -> pattern::FieldValue {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => pattern::FieldValue::Missing,
        (Some(value), None) => value
            .to_str()
            .map_or(pattern::FieldValue::Ambiguous, |v| pattern::FieldValue::Single(v.to_owned())),
        (Some(_), Some(_)) => pattern::FieldValue::Ambiguous,
    }
}

/// The target of a request in normal form.
pub fn target(head: &Parts) -> Result<Target, TargetError> {
    let host = match seen(&head.headers, HOST.as_str()) {
        pattern::FieldValue::Single(host) => Some(host),
        // RFC 9112 section 3.2: whoever is newer than HTTP/1.0 names one.
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

/// Path and query in normal form; most come in it and need no second reading.
fn forwarded(target: &Target, came: &Uri) -> Option<Uri> {
    match came.path_and_query() {
        Some(path) if path.path() == target.path.as_str() => Some(path.clone().into()),
        _ => target.path_and_query().parse().ok(),
    }
}

fn bad(why: impl Into<String>) -> ClientResponse {
    text_response(StatusCode::BAD_REQUEST, why.into())
}

/// What a request says at a place; nothing where it says nothing there.
fn told(
    source: &Source,
    request: &Request<'_>,
    headers: &HeaderMap,
) -> Result<Option<String>, ClientResponse> {
    let twice = |what: &str| bad(format!("{what} stands twice or is no text"));
    let seen = match source {
        Source::Fixed(value) => return Ok(Some(value.clone())),
        Source::Header(name) => (seen(headers, name.as_str()), name.to_string()),
        Source::Query(name) => (request.field_value(&ConditionSource::Query(name.clone())), name.clone()),
        Source::Segment(at) => {
            let segment = request.target.path.segment(*at).map(percent_decode).transpose();
            return segment.map_err(|why| bad(why.to_string()));
        }
    };
    match seen {
        (pattern::FieldValue::Missing, _) => Ok(None),
        (pattern::FieldValue::Single(value), _) => Ok(Some(value).filter(|v| !v.is_empty())),
        (pattern::FieldValue::Ambiguous, what) => Err(twice(&what)),
    }
}

impl<W: Transport<Call = Call, Reply = Reply>> Frontend for RoutedFrontend<W> {
    type EngineTransport = W;

    fn admit(&self, head: &Parts, peer: SocketAddr) -> Result<Admission<W>, ClientResponse> {
        let routes = self.now.borrow().clone();
        let target = target(head).map_err(|why| bad(why.to_string()))?;
        let header = |name: &str| seen(&head.headers, name);
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
            Err(NoRoute::Ambiguous(place)) => return Err(bad(format!("{place} stands twice or is no text"))),
            Err(NoRoute::MethodNotAllowed(methods)) => {
                routes.unrouted_requests.set(routes.unrouted_requests.get() + 1);
                let mut answer = text_response(StatusCode::METHOD_NOT_ALLOWED, "no route for this method");
                if let Ok(methods) = HeaderValue::from_str(&methods.join(", ")) {
                    answer.headers_mut().insert(ALLOW, methods);
                }
                return Err(answer);
            }
        };
        let number_of_class = match (&service.class_header, &service.described) {
            // As evidence has it, not as it was described.
            (_, Some(described)) if described.operation.is_narrowed() => described.narrowed_class,
            (None, _) => 0,
            (Some(name), _) => {
                let named = told(&Source::Header(name.clone()), &request, &head.headers)?;
                let at = named.and_then(|n| service.classes.iter().position(|c| c.name == n));
                at.ok_or_else(|| bad(format!("{name} names no class of this route")))?
            }
        };
        let Some(class) = service.classes.get(number_of_class) else {
            return Err(text_response(StatusCode::NOT_FOUND, "a route without a class"));
        };
        // Guards against an upstream that runs another operation than the one whose class this is.
        if class.effect != Effect::Unsafe && OVERRIDES.iter().any(|name| head.headers.contains_key(name)) {
            return Err(bad("a method override on a route that may be repeated"));
        }
        let key = service.key.as_ref().map(|s| told(s, &request, &head.headers)).transpose()?.flatten();
        if matches!(class.effect, Effect::Keyed { .. }) && key.is_none() {
            return Err(bad("a keyed request without its key"));
        }
        let tenant = service.tenant.as_ref().map(|s| told(s, &request, &head.headers)).transpose()?.flatten();
        let waits = routes
            .deadline_header
            .as_ref()
            .map(|n| told(&Source::Header(n.clone()), &request, &head.headers));
        let waits = match waits.transpose()?.flatten() {
            None => Micros::MAX,
            Some(text) => {
                parse_digits(&text).ok_or_else(|| bad("the deadline is no number"))?.saturating_mul(1000)
            }
        };
        let side = match &service.split {
            None => 0,
            Some((split, stick)) => {
                let value = stick.as_ref().map(|s| told(s, &request, &head.headers)).transpose()?.flatten();
                // Who cannot be known again is known by its connection.
                split.choose(value.map_or_else(|| hash(peer.to_string().as_bytes()), |v| hash(v.as_bytes())))
            }
        };
        let Some(side) = service.route_pools.get(side) else {
            return Err(text_response(StatusCode::NOT_FOUND, "a route without a pool"));
        };
        let pool = &side.pool;
        // Nothing can be sent, and nothing was: the caller need not wait to hear so.
        if pool.engine.ready_upstreams() == 0 {
            return Err(self.refused("no upstream"));
        }
        if let Err(wait) = pool.operator_limit.admit(pool.engine.now(), pool.open_requests.used()) {
            return Err(self.refused_for("limited by an operator", wait));
        }
        if let Err(wait) = pool.fleet_limit.admit(pool.engine.now(), 0) {
            return Err(self.refused_for("the fleet's limit", wait));
        }
        // Guards the other pools: one whose upstreams hang holds no more than its part.
        let place = pool.open_requests.acquire(1).ok_or_else(|| self.refused("the pool is full"))?;
        let deadline = class.deadline;
        let class = side.classes.get(number_of_class).copied().flatten();
        let class = class.ok_or_else(|| text_response(StatusCode::NOT_FOUND, "a route without a class"))?;
        let mut headers = end_to_end_headers(&head.headers);
        // Guards against a caller that names the key, or what the route was found by, as its connection's own: the
        // upstream would get another request than the one that was matched.
        let taken_off = |name: &str| head.headers.contains_key(name) && !headers.contains_key(name);
        let by_route = route.conditions.iter().filter_map(|c| match &c.source {
            ConditionSource::Header(name) => Some(name.as_str()),
            ConditionSource::Query(_) => None,
        });
        let by_source = [&service.key, &service.tenant].into_iter().filter_map(|s| match s {
            Some(Source::Header(name)) => Some(name.as_str()),
            _ => None,
        });
        let by_class = service.class_header.as_ref().map(HeaderName::as_str);
        if by_route.chain(by_source).chain(by_class).chain([HOST.as_str()]).any(taken_off) {
            return Err(bad("Connection names a header that this route goes by"));
        }
        if let Some(host) = target.host.as_ref().map(ToString::to_string)
            && headers.get(HOST).is_none_or(|came| came.as_bytes() != host.as_bytes())
            && let Ok(host) = HeaderValue::from_str(&host)
        {
            headers.insert(HOST, host);
        }
        if let Ok(peer) = HeaderValue::from_str(&peer.ip().to_string()) {
            headers.append(FORWARDED_FOR, peer);
        }
        let witness = service.described.as_ref().map(|described| {
            let (service, operation) = (service.clone(), described.operation.clone());
            Box::new(OperationObserver { service, operation, key }) as Box<dyn ResponseObserver>
        });
        Ok(Admission {
            engine: pool.engine.clone(),
            class,
            time_left: waits.min(deadline),
            tenant: tenant.and_then(|t| pool.tenants.borrow().get(&t).copied()),
            work: None,
            is_retry: false,
            method: head.method.clone(),
            uri: forwarded(&target, &head.uri).ok_or_else(|| bad("the target cannot be forwarded"))?,
            headers,
            max_body_bytes: service.max_body_bytes,
            response_reservation_bytes: pool.response_reservation_bytes.get(),
            forbids_body: [Method::GET, Method::HEAD].contains(&head.method),
            request_id: None,
            body_memory: pool.body_memory.clone(),
            observer: witness,
            guard: Some(Box::new(InHand::new(pool, class, place))),
        })
    }

    fn ready(&self) -> bool {
        self.now.borrow().pools.iter().all(|p| p.engine.has_list())
    }

    /// Whole seconds (RFC 9110 section 10.2.3), one where the module has no wish.
    fn retry_after(&self, wish: Micros) -> Option<HeaderValue> {
        Some(HeaderValue::from(wish.div_ceil(1_000_000).max(1)))
    }
}

impl<W: Transport<Call = Call, Reply = Reply>> RoutedFrontend<W> {
    fn refused(&self, why: &'static str) -> ClientResponse {
        self.refused_for(why, 0)
    }

    fn refused_for(&self, why: &'static str, wait: Micros) -> ClientResponse {
        let mut answer = text_response(StatusCode::SERVICE_UNAVAILABLE, why);
        if let Some(seconds) = self.retry_after(wait) {
            answer.headers_mut().insert(hyper::header::RETRY_AFTER, seconds);
        }
        answer
    }
}
