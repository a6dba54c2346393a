//! The platform's frontend: one engine, and requests that name their class, tenant and deadline in `Req-` headers.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use finchshift as fs;
use finchshift::{Effect, Micros};
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use sloeline_engine::engine::{Engine, Transport};
use sloeline_limits::Share;

use crate::frontend::{
    Admission, Admitted, ClientResponse, Frontend, end_to_end_headers, parse_digits, text_response,
};
use crate::upstream::{Call, Reply};
use crate::{MAX_BUFFERED_BYTES, PLATFORM_MAX_BODY_BYTES};

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A frontend with one engine, whose requests name their class and tenant.
pub struct PlatformFrontend<W: Transport> {
    engine: Rc<Engine<W>>,
    named: RefCell<PlatformNames>,
    admitted: Rc<Admitted>,
    bodies: Rc<Share>,
}

/// The names that requests may use.
#[derive(Default)]
pub struct PlatformNames {
    /// Class ids and definitions by class name.
    pub classes: HashMap<String, (fs::ClassId, fs::Class)>,
    /// Tenant ids by tenant name.
    pub tenants: HashMap<String, fs::TenantId>,
}

impl<W: Transport> PlatformFrontend<W> {
    /// Creates a frontend for these names. `bodies` is the memory budget for request and response bodies.
    pub fn new(engine: Rc<Engine<W>>, named: PlatformNames, bodies: Rc<Share>) -> PlatformFrontend<W> {
        PlatformFrontend { engine, named: RefCell::new(named), admitted: Rc::default(), bodies }
    }

    /// Changes the names for subsequent requests. Requests that are already admitted keep their class.
    pub fn set_names(&self, named: PlatformNames) {
        *self.named.borrow_mut() = named;
    }

    /// Returns whether a request of the class is admitted or open. While it is, the class id must not be reassigned.
    pub fn uses_class(&self, class: fs::ClassId) -> bool {
        self.admitted.any_open(class) || self.engine.class_in_use(class)
    }
}

impl<W: Transport<Call = Call, Reply = Reply>> Frontend for PlatformFrontend<W> {
    type EngineTransport = W;

    fn admit(&self, head: &Parts, _peer: SocketAddr) -> Result<Admission<W>, ClientResponse> {
        let bad = |why: &'static str| text_response(StatusCode::BAD_REQUEST, why);
        if head.uri.path() != "/api" {
            return Err(text_response(StatusCode::NOT_FOUND, "no such path"));
        }
        // Other software may use either the first or the last value of a repeated header.
        let doubled = |name: &HeaderName| head.headers.get_all(name).iter().nth(1).is_some();
        let counted = |name: &&HeaderName| name.as_str().starts_with("req-") || **name == KEY;
        if head.headers.keys().filter(counted).any(doubled) {
            return Err(bad("a header that may stand once stands twice"));
        }
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let kind = text("req-kind").ok_or_else(|| bad("no Req-Kind"))?;
        let named = self.named.borrow();
        let (id, class) = named.classes.get(kind).ok_or_else(|| bad("unknown Req-Kind"))?;
        let request_id = head.headers.get(REQ_ID).filter(|id| !HeaderValue::is_empty(id));
        let request_id = request_id.ok_or_else(|| bad("no Req-Id"))?;
        if head.method != Method::GET && head.method != Method::POST {
            return Err(text_response(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        // The method and the idempotency key determine whether a retry is safe. They must agree with the class.
        let key = head.headers.get(KEY).map(|key| !key.is_empty());
        let fits = match class.effect {
            Effect::Safe => head.method == Method::GET && key.is_none(),
            Effect::Keyed { .. } => head.method == Method::POST && key == Some(true),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        };
        if !fits {
            return Err(bad("method or Idempotency-Key do not fit the class"));
        }
        let time_left = match head.headers.get("req-deadline-ms") {
            None => class.deadline,
            Some(_) => {
                let deadline = text("req-deadline-ms").and_then(parse_digits);
                deadline.ok_or_else(|| bad("Req-Deadline-Ms is no number"))?.saturating_mul(1000)
            }
        };
        let headers = end_to_end_headers(&head.headers);
        // A client could list these headers in its Connection header, and they would not be forwarded.
        if [REQ_ID, KEY].iter().any(|name| head.headers.contains_key(name) && !headers.contains_key(name)) {
            return Err(bad("Connection names Req-Id or Idempotency-Key"));
        }
        // A target in absolute form is reduced to its path and query.
        let path = head.uri.path_and_query().cloned().ok_or_else(|| bad("no path"))?;
        Ok(Admission {
            engine: self.engine.clone(),
            class: *id,
            time_left: time_left.min(class.deadline),
            tenant: text("req-owner").and_then(|t| named.tenants.get(t).copied()),
            work: text("req-cost").and_then(parse_digits),
            is_retry: text("req-retry") == Some("1"),
            method: head.method.clone(),
            uri: path.into(),
            headers,
            max_body_bytes: PLATFORM_MAX_BODY_BYTES,
            response_reservation_bytes: MAX_BUFFERED_BYTES,
            forbids_body: class.effect == Effect::Safe,
            request_id: Some(request_id.clone()),
            body_memory: self.bodies.clone(),
            observer: None,
            guard: Some(Box::new(self.admitted.count(*id))),
        })
    }

    fn ready(&self) -> bool {
        self.engine.has_list()
    }

    fn retry_after(&self, wish: Micros) -> Option<HeaderValue> {
        let seconds = HeaderValue::from_str(&format!("{:.3}", wish as f64 / 1e6));
        (wish > 0).then_some(seconds.ok()).flatten()
    }
}
