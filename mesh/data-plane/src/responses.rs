//! Responses of an upstream's local balancer: its own, those of the upstream, and those stored for repeats.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use sloeline_http::frontend::{ClientResponse, end_to_end_headers, text_response};
use sloeline_http::payload::Payload;
use sloeline_http::upstream::Reply;
use sloeline_idempotency::StoredResponse;

use crate::admission::Micros;
use crate::header_names;

/// Maximum body size of a response to a keyed request that is stored for repeats.
const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// The response to a request that never ran and never will, so that the sending balancer may retry it elsewhere at once.
/// `room_in` is the expected time until there is room, if known.
pub(crate) fn not_run(status: StatusCode, reason: &'static str, room_in: Option<Micros>) -> ClientResponse {
    let mut response = text_response(status, reason);
    let headers = response.headers_mut();
    headers.insert(header_names::NOT_RUN, HeaderValue::from_static("1"));
    if let Some(room_in) = room_in {
        headers.insert(header_names::ROOM_IN, HeaderValue::from(room_in.div_ceil(1000)));
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", room_in as f64 / 1e6)) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    response
}

/// The response to pass back for a reply of the upstream, without its hop-by-hop headers.
pub(crate) fn forwarded(reply: Reply) -> ClientResponse {
    let mut response = ClientResponse::new(reply.body);
    *response.status_mut() = reply.status;
    *response.headers_mut() = end_to_end_headers(&reply.headers);
    response
}

/// Reads a reply of the upstream to its end. Returns the response to pass back, and the response to store for repeats if it
/// is small enough.
pub(crate) async fn collect(
    reply: Reply,
) -> Result<(ClientResponse, Option<StoredResponse>), ClientResponse> {
    let (status, headers) = (reply.status, end_to_end_headers(&reply.headers));
    let Ok(body) = reply.body.collect().await else {
        return Err(text_response(StatusCode::BAD_GATEWAY, "the upstream broke off"));
    };
    let body = body.to_bytes();
    let to_owned = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    let stored = (body.len() <= MAX_STORED_BODY_BYTES).then(|| StoredResponse {
        status: status.as_u16(),
        headers: headers.iter().map(to_owned).collect(),
        body: body.clone(),
    });
    let mut response = ClientResponse::new(Payload::Buffered(Full::new(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok((response, stored))
}

/// The response to a repeat: the stored first response, with the identifier of the repeated try.
pub(crate) fn replay(stored: StoredResponse, try_id: Option<HeaderValue>) -> ClientResponse {
    let mut response = ClientResponse::new(Payload::Buffered(Full::new(stored.body)));
    *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    for (name, value) in stored.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    if let Some(try_id) = try_id {
        headers.insert(header_names::TRY_ID, try_id);
    }
    response
}
