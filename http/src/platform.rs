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
use crate::upstream::{Call, ProcessingStart, Reply};
use crate::{MAX_BUFFERED_BYTES, PLATFORM_MAX_BODY_BYTES};

const REQ_ID: HeaderName = HeaderName::from_static("req-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// A frontend with one engine, whose requests name their class and tenant.
pub struct PlatformFrontend<W: Transport> {
    engine: Rc<Engine<W>>,
    names: RefCell<PlatformNames>,
    admitted: Rc<Admitted>,
    body_memory: Rc<Share>,
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
    /// Creates a frontend for these names. `body_memory` is the memory budget for request and response bodies.
    pub fn new(engine: Rc<Engine<W>>, names: PlatformNames, body_memory: Rc<Share>) -> PlatformFrontend<W> {
        PlatformFrontend { engine, names: RefCell::new(names), admitted: Rc::default(), body_memory }
    }

    /// Changes the names for subsequent requests. Requests that are already admitted keep their class.
    pub fn set_names(&self, names: PlatformNames) {
        *self.names.borrow_mut() = names;
    }

    /// Returns whether a request of the class is admitted or open. While it is, the class id must not be reassigned.
    pub fn uses_class(&self, class: fs::ClassId) -> bool {
        self.admitted.any_open(class) || self.engine.class_in_use(class)
    }
}

impl<W: Transport<Call = Call, Reply = Reply>> Frontend for PlatformFrontend<W> {
    type EngineTransport = W;

    fn admit(&self, head: &Parts, _peer: SocketAddr) -> Result<Admission<W>, ClientResponse> {
        let bad_request = |reason: &'static str| text_response(StatusCode::BAD_REQUEST, reason);
        if head.uri.path() != "/api" {
            return Err(text_response(StatusCode::NOT_FOUND, "no such path"));
        }
        // Other software may use either the first or the last value of a repeated header.
        let is_repeated = |name: &HeaderName| head.headers.get_all(name).iter().nth(1).is_some();
        let must_be_single =
            |name: &&HeaderName| name.as_str().starts_with("req-") || **name == IDEMPOTENCY_KEY;
        if head.headers.keys().filter(must_be_single).any(is_repeated) {
            return Err(bad_request("a header that may stand once stands twice"));
        }
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let class_name = text("req-kind").ok_or_else(|| bad_request("no Req-Kind"))?;
        let names = self.names.borrow();
        let (id, class) = names.classes.get(class_name).ok_or_else(|| bad_request("unknown Req-Kind"))?;
        let request_id = head.headers.get(REQ_ID).filter(|id| !HeaderValue::is_empty(id));
        let request_id = request_id.ok_or_else(|| bad_request("no Req-Id"))?;
        if head.method != Method::GET && head.method != Method::POST {
            return Err(text_response(StatusCode::METHOD_NOT_ALLOWED, "GET or POST"));
        }
        // The method and the idempotency key determine whether a retry is safe. They must agree with the class.
        let key = head.headers.get(IDEMPOTENCY_KEY).map(|key| !key.is_empty());
        let matches_class = match class.effect {
            Effect::Safe => head.method == Method::GET && key.is_none(),
            Effect::Keyed { .. } => head.method == Method::POST && key == Some(true),
            Effect::Unsafe => head.method == Method::POST && key.is_none(),
        };
        if !matches_class {
            return Err(bad_request("method or Idempotency-Key do not fit the class"));
        }
        let time_left = match head.headers.get("req-deadline-ms") {
            None => class.deadline,
            Some(_) => {
                let deadline = text("req-deadline-ms").and_then(parse_digits);
                deadline.ok_or_else(|| bad_request("Req-Deadline-Ms is no number"))?.saturating_mul(1000)
            }
        };
        let headers = end_to_end_headers(&head.headers);
        // A client could list these headers in its Connection header, and they would not be forwarded.
        if [REQ_ID, IDEMPOTENCY_KEY]
            .iter()
            .any(|name| head.headers.contains_key(name) && !headers.contains_key(name))
        {
            return Err(bad_request("Connection names Req-Id or Idempotency-Key"));
        }
        // A target in absolute form is reduced to its path and query.
        let path = head.uri.path_and_query().cloned().ok_or_else(|| bad_request("no path"))?;
        Ok(Admission {
            engine: self.engine.clone(),
            class: *id,
            time_left: time_left.min(class.deadline),
            tenant: text("req-owner").and_then(|t| names.tenants.get(t).copied()),
            work: text("req-cost").and_then(parse_digits),
            is_retry: text("req-retry") == Some("1"),
            method: head.method.clone(),
            uri: path.into(),
            headers,
            max_body_bytes: PLATFORM_MAX_BODY_BYTES,
            response_reservation_bytes: MAX_BUFFERED_BYTES,
            forbids_body: class.effect == Effect::Safe,
            request_id: Some(request_id.clone()),
            body_memory: self.body_memory.clone(),
            observer: None,
            guard: Some(Box::new(self.admitted.count(*id))),
        })
    }

    fn ready(&self) -> bool {
        self.engine.has_list()
    }

    fn retry_after(&self, proposed_delay: Micros) -> Option<HeaderValue> {
        let seconds = HeaderValue::from_str(&format!("{:.3}", proposed_delay as f64 / 1e6));
        (proposed_delay > 0).then_some(seconds.ok()).flatten()
    }

    fn processing_start(&self) -> ProcessingStart {
        ProcessingStart::LastByte
    }
}
