//! The interface between the HTTP server and a routing policy. A frontend chooses the engine and the class of a
//! request and the form in which it is forwarded.

use std::any::Any;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use finchshift as fs;
use finchshift::Micros;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderMap, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode, Uri};
use sloeline_engine::engine::{Engine, Transport};
use sloeline_limits::Share;

use crate::payload::Payload;
use crate::upstream::{Call, ProcessingStart, Reply};

/// The final response to a client.
pub type ClientResponse = Response<Payload>;

/// Decides from the head of a request how the request is handled. Each listener has one frontend.
pub trait Frontend: 'static {
    /// The transport over which the frontend's engines send requests to upstreams.
    type EngineTransport: Transport<Call = Call, Reply = Reply>;

    /// Admits or rejects a request by its head. The error is the final response to the client; in that case nothing
    /// was sent to an upstream.
    fn admit(
        &self,
        head: &Parts,
        peer: SocketAddr,
    ) -> Result<Admission<Self::EngineTransport>, ClientResponse>;

    /// Returns whether requests can be served now.
    fn ready(&self) -> bool;

    /// Returns the `Retry-After` value for a refused request. `proposed_delay` is the delay that the engine
    /// proposes, or 0 if it proposes none.
    fn retry_after(&self, proposed_delay: Micros) -> Option<HeaderValue>;

    /// When an upstream may begin to process a request. If it may begin early, an incomplete request of which a part
    /// was sent on is not answered as one that has not run.
    fn processing_start(&self) -> ProcessingStart;
}

/// Inspects the response to a request of a described operation.
pub trait ResponseObserver {
    /// Returns the id of the operation.
    fn operation(&self) -> u64;

    /// Called when the response of an upstream begins. `elapsed` is the time since the request was submitted to the
    /// engine.
    fn on_response(self: Box<Self>, status: StatusCode, headers: &HeaderMap, elapsed: Micros);
}

/// How to handle an admitted request once its body arrives.
pub struct Admission<W: Transport> {
    /// The engine that schedules the request.
    pub engine: Rc<Engine<W>>,
    /// The request's class in that engine.
    pub class: fs::ClassId,
    /// Remaining time until the client's deadline, counted from the last byte of the request, in microseconds.
    pub time_left: Micros,
    /// The tenant that the request is accounted to.
    pub tenant: Option<fs::TenantId>,
    /// Estimated work of the request, in the engine's units.
    pub work: Option<Micros>,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// Method of the forwarded request.
    pub method: Method,
    /// Path and query of the forwarded request.
    pub uri: Uri,
    /// End-to-end headers of the forwarded request.
    pub headers: HeaderMap,
    /// Maximum size of the request body in bytes.
    pub max_body_bytes: usize,
    /// Bytes of body memory reserved for buffering the response.
    pub response_reservation_bytes: usize,
    /// Whether a non-empty request body is rejected.
    pub forbids_body: bool,
    /// A request id that must be unique among the open requests of the listener.
    pub request_id: Option<HeaderValue>,
    /// The memory budget for the bodies of requests and responses of this pool.
    pub body_memory: Rc<Share>,
    /// Observes the response if the request belongs to a described operation.
    pub observer: Option<Box<dyn ResponseObserver>>,
    /// Resources that the request holds until it is answered. They are released when this value is dropped.
    pub guard: Option<Box<dyn Any>>,
}

/// Counts the open requests of each class, from their heads to their responses. The count prevents a class id from
/// being reassigned while a request body of that class is still being received.
#[derive(Debug, Default)]
pub struct Admitted {
    counts: RefCell<Vec<usize>>,
}

impl Admitted {
    /// Counts a request of the class until the returned guard is dropped.
    pub fn count(self: &Rc<Self>, class: fs::ClassId) -> AdmittedGuard {
        let mut counts = self.counts.borrow_mut();
        if counts.len() <= class {
            counts.resize(class + 1, 0);
        }
        counts[class] += 1;
        AdmittedGuard { admitted: self.clone(), class }
    }

    /// Returns whether no request is counted.
    pub fn is_empty(&self) -> bool {
        self.counts.borrow().iter().all(|count| *count == 0)
    }

    /// Returns whether any request of the class is counted.
    pub fn any_open(&self, class: fs::ClassId) -> bool {
        self.counts.borrow().get(class).is_some_and(|n| *n > 0)
    }
}

/// Keeps one request counted in [`Admitted`] until it is dropped.
#[derive(Debug)]
pub struct AdmittedGuard {
    admitted: Rc<Admitted>,
    class: fs::ClassId,
}

impl Drop for AdmittedGuard {
    fn drop(&mut self) {
        if let Some(count) = self.admitted.counts.borrow_mut().get_mut(self.class) {
            *count -= 1;
        }
    }
}

/// Returns the headers without those that concern only the connection or the message framing.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<&str> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .collect();
    let is_hop_by_hop = |name: &HeaderName| {
        [CONNECTION, CONTENT_LENGTH, EXPECT, TE, TRAILER, TRANSFER_ENCODING, UPGRADE].contains(name)
            || ["keep-alive", "proxy-connection", "srv-load", "srv-declined"].contains(&name.as_str())
            || connection_options.iter().any(|n| n.trim().eq_ignore_ascii_case(name.as_str()))
    };
    headers.iter().filter(|(name, _)| !is_hop_by_hop(name)).map(|(n, v)| (n.clone(), v.clone())).collect()
}

/// Builds a response that the balancer itself generates, with a text body.
pub fn text_response(status: StatusCode, reason: impl Into<Bytes>) -> ClientResponse {
    let mut response = Response::new(reason.into().into());
    *response.status_mut() = status;
    response
}

/// Parses a decimal number. Returns `None` for anything but ASCII digits, including signs and spaces, and on
/// overflow.
pub fn parse_digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}
