//! What a front decides of a request: by which engine and class it goes, and in which form it is forwarded.

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
use crate::upstream::{Call, Reply};

/// A final answer.
pub type ClientResponse = Response<Payload>;

/// Looks at heads. One for each listener.
pub trait Frontend: 'static {
    /// What its engines send over.
    type EngineTransport: Transport<Call = Call, Reply = Reply>;

    /// Decides on a request by its head; the error is its final answer, and nothing of it was sent.
    fn admit(
        &self,
        head: &Parts,
        peer: SocketAddr,
    ) -> Result<Admission<Self::EngineTransport>, ClientResponse>;

    /// Requests can be served.
    fn ready(&self) -> bool;

    /// What the caller of a refused request is told, `0` for no wish of the module's.
    fn retry_after(&self, wish: Micros) -> Option<HeaderValue>;
}

/// Looks at the answer to a request of an operation that is described.
pub trait ResponseObserver {
    /// The operation's number.
    fn operation(&self) -> u64;

    /// An upstream's answer has begun, so long after the request was taken.
    fn on_response(self: Box<Self>, status: StatusCode, headers: &HeaderMap, took: Micros);
}

/// A request that is taken if its body comes.
pub struct Admission<W: Transport> {
    /// The engine that it goes to.
    pub engine: Rc<Engine<W>>,
    /// Its class there.
    pub class: fs::ClassId,
    /// How long its caller waits, from its last byte.
    pub time_left: Micros,
    /// Whose it is.
    pub tenant: Option<fs::TenantId>,
    /// A guess at its work.
    pub work: Option<Micros>,
    /// Its caller marks it as a repeat.
    pub is_retry: bool,
    /// The method that is forwarded.
    pub method: Method,
    /// Path and query that are forwarded.
    pub uri: Uri,
    /// The end-to-end headers that are forwarded.
    pub headers: HeaderMap,
    /// Most bytes of its body.
    pub max_body_bytes: usize,
    /// Most bytes of its answer that are held at once.
    pub response_reservation_bytes: usize,
    /// Its class has no body.
    pub forbids_body: bool,
    /// No other open request of this listener may have it.
    pub request_id: Option<HeaderValue>,
    /// The bytes that bodies of its pool may take.
    pub body_memory: Rc<Share>,
    /// The operation that it runs, and who looks at its answer.
    pub observer: Option<Box<dyn ResponseObserver>>,
    /// What it holds until it is answered.
    pub guard: Option<Box<dyn Any>>,
}

/// How many requests have each class, from their heads to their answers. Guards a body that is on its way while the
/// classes change.
#[derive(Debug, Default)]
pub struct Admitted {
    counts: RefCell<Vec<usize>>,
}

impl Admitted {
    /// Counts one until what is returned is dropped.
    pub fn count(self: &Rc<Self>, class: fs::ClassId) -> AdmittedGuard {
        let mut counts = self.counts.borrow_mut();
        if counts.len() <= class {
            counts.resize(class + 1, 0);
        }
        counts[class] += 1;
        AdmittedGuard { admitted: self.clone(), class }
    }

    /// Whether there is any of this class.
    pub fn any_open(&self, class: fs::ClassId) -> bool {
        self.counts.borrow().get(class).is_some_and(|n| *n > 0)
    }
}

/// A request that is counted.
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

/// The headers that are not about the connection or the framing.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
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

/// An answer of the balancer's own.
pub fn text_response(status: StatusCode, why: impl Into<Bytes>) -> ClientResponse {
    let mut response = Response::new(why.into().into());
    *response.status_mut() = status;
    response
}

/// Digits and nothing else.
pub fn parse_digits(text: &str) -> Option<u64> {
    (!text.is_empty() && text.bytes().all(|b| b.is_ascii_digit())).then(|| text.parse().ok())?
}
