//! A request from another balancer: whom it is for, what its headers say, and the request to send to the upstream.

use bytes::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::http::request::Parts;
use hyper::{StatusCode, Uri};
use sloeline_discovery::Upstream;
use sloeline_engine::types::Target;
use sloeline_http::frontend::{ClientResponse, end_to_end_headers, parse_digits};
use sloeline_http::upload::RequestBody;
use sloeline_http::upstream::Call;
use sloeline_limits::Permit as MemoryPermit;
use sloeline_settings::setup::ring_hash;

use crate::admission::{Arrival, Micros};
use crate::header_names;
use crate::responses::not_run;

/// Upper bound for the remaining time in the headers of a request: one day.
const MAX_TIME_LEFT: Micros = 86_400_000_000;
/// Headers between balancers that the upstream does not get.
const INTERNAL_HEADERS: [HeaderName; 9] = [
    header_names::KEYED,
    header_names::KIND,
    header_names::RANK,
    header_names::ONCE,
    header_names::AIM,
    header_names::LIMIT,
    header_names::HOLD,
    header_names::ATTEMPT,
    header_names::SERVICE,
];

/// Identifies requests of similar processing time: a hash of the class name that the sending balancer gave.
fn kind(headers: &HeaderMap) -> u64 {
    headers.get(header_names::KIND).map_or(0, |v| ring_hash(v.to_str().unwrap_or_default()))
}

/// Checks that a request is for this upstream. A request that names no upstream is for none. The service is compared where
/// the sending balancer names it.
pub(super) fn check_addressee(headers: &HeaderMap, upstream: &Upstream) -> Result<(), ClientResponse> {
    let declined = |reason| not_run(StatusCode::MISDIRECTED_REQUEST, reason, None);
    let Some(addressee) = headers.get(header_names::ADDRESSEE) else {
        return Err(declined("the request names no upstream"));
    };
    if addressee.as_bytes() != upstream.id.as_bytes() {
        let mut response = declined("another upstream is here");
        if let Ok(id) = HeaderValue::from_bytes(upstream.id.as_bytes()) {
            response.headers_mut().insert(header_names::INSTANCE, id);
        }
        return Err(response);
    }
    let service = headers.get(header_names::SERVICE);
    if service.is_some_and(|service| service.as_bytes() != upstream.service.as_bytes()) {
        return Err(declined("the upstream is of another service"));
    }
    Ok(())
}

/// The operation key of a request, if its route requires one.
pub(super) fn operation_key(headers: &HeaderMap) -> Option<Bytes> {
    headers.get(header_names::KEYED)?;
    let key = headers.get(header_names::OPERATION_KEY)?;
    Some(Bytes::copy_from_slice(key.as_bytes()))
}

/// A request to forward to the upstream.
pub(super) struct ForwardRequest {
    /// The request to send to the upstream.
    pub call: Call,
    /// Permits for the memory of a buffered body.
    _body_memory: Vec<MemoryPermit>,
    /// Identifier of the client's try, which the response must repeat.
    pub try_id: Option<HeaderValue>,
    /// The upstream that the request is for.
    pub target: Target,
    /// When the request arrived at this balancer.
    pub arrived_at: Micros,
    /// When the client stops waiting for the response.
    pub deadline: Micros,
    /// What admission control needs to know about the request.
    pub arrival: Arrival,
}

impl ForwardRequest {
    /// The request to send to the upstream for one that arrived at `arrived_at`. `None` if no header can carry the upstream's
    /// identifier.
    pub fn new(
        head: &Parts,
        body: RequestBody,
        body_memory: Vec<MemoryPermit>,
        target: Target,
        arrived_at: Micros,
    ) -> Option<ForwardRequest> {
        let addressee = HeaderValue::from_bytes(target.instance.as_bytes()).ok()?;
        let mut headers = end_to_end_headers(&head.headers);
        for internal in INTERNAL_HEADERS {
            headers.remove(internal);
        }
        headers.insert(header_names::ADDRESSEE, addressee);
        debug_assert!(headers.contains_key(HOST));
        let uri: Uri = head.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
        let time_left = millis(&head.headers, &header_names::TIME_LEFT).unwrap_or(MAX_TIME_LEFT);
        Some(ForwardRequest {
            call: Call { method: head.method.clone(), uri, headers, body },
            _body_memory: body_memory,
            try_id: head.headers.get(header_names::TRY_ID).cloned(),
            target,
            arrived_at,
            deadline: arrived_at + time_left.min(MAX_TIME_LEFT),
            arrival: arrival(&head.headers, time_left),
        })
    }
}

/// A time in a header, in microseconds. Headers have milliseconds.
fn millis(headers: &HeaderMap, name: &HeaderName) -> Option<Micros> {
    let millis = headers.get(name).and_then(|value| value.to_str().ok()).and_then(parse_digits)?;
    Some(millis.saturating_mul(1000))
}

/// What the headers of a request tell admission control, for a client that waits for `time_left` microseconds.
fn arrival(headers: &HeaderMap, time_left: Micros) -> Arrival {
    let limit = millis(headers, &header_names::LIMIT).map_or(time_left, |limit| limit.min(time_left));
    let rank = headers.get(header_names::RANK).and_then(|value| value.to_str().ok());
    Arrival {
        kind: kind(headers),
        priority: rank.and_then(|rank| rank.parse().ok()).unwrap_or(u8::MAX),
        time_to_target: millis(headers, &header_names::AIM).unwrap_or(time_left),
        time_left: limit.min(MAX_TIME_LEFT),
        max_wait: millis(headers, &header_names::HOLD).unwrap_or(limit),
        link_wait: 0,
        link_time: 0,
    }
}
