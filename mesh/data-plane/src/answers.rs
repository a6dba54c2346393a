//! Answers of the far balancer: its own, the upstream's as they are passed back, and those that are kept for repeats.

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

/// Keyed answers up to here are kept for repeats.
const MOST_KEPT: usize = 64 << 10;

/// It never ran and never will: the near balancer may go elsewhere at once.
pub(crate) fn not_run(status: StatusCode, why: &'static str, room_in: Option<Micros>) -> ClientResponse {
    let mut answer = text_response(status, why);
    let headers = answer.headers_mut();
    headers.insert(header_names::NOT_RUN, HeaderValue::from_static("1"));
    if let Some(room_in) = room_in {
        headers.insert(header_names::ROOM_IN, HeaderValue::from(room_in.div_ceil(1000)));
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", room_in as f64 / 1e6)) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    answer
}

/// An answer as it is passed back.
pub(crate) fn passed(reply: Reply) -> ClientResponse {
    let mut answer = ClientResponse::new(reply.body);
    *answer.status_mut() = reply.status;
    *answer.headers_mut() = end_to_end_headers(&reply.headers);
    answer
}

/// Reads an answer to its end: what is passed back, and what is kept for repeats where it is small enough.
pub(crate) async fn whole(reply: Reply) -> Result<(ClientResponse, Option<StoredResponse>), ClientResponse> {
    let (status, headers) = (reply.status, end_to_end_headers(&reply.headers));
    let Ok(body) = reply.body.collect().await else {
        return Err(text_response(StatusCode::BAD_GATEWAY, "the upstream broke off"));
    };
    let body = body.to_bytes();
    let named = |(name, value): (&HeaderName, &HeaderValue)| {
        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
    };
    let kept = (body.len() <= MOST_KEPT).then(|| StoredResponse {
        status: status.as_u16(),
        headers: headers.iter().map(named).collect(),
        body: body.clone(),
    });
    let mut answer = ClientResponse::new(Payload::Buffered(Full::new(body)));
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    Ok((answer, kept))
}

/// The first answer, for a repeat.
pub(crate) fn again(kept: StoredResponse, id: Option<HeaderValue>) -> ClientResponse {
    let mut answer = ClientResponse::new(Payload::Buffered(Full::new(kept.body)));
    *answer.status_mut() = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = answer.headers_mut();
    for (name, value) in kept.headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::from_bytes(&value)) {
            headers.append(name, value);
        }
    }
    if let Some(id) = id {
        headers.insert(header_names::TRY_ID, id);
    }
    answer
}
