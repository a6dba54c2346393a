//! Reads request bodies into memory as far as a budget allows. What has no room there is streamed.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use sloeline_limits::{Permit, Share};

use crate::MAX_BUFFERED_BYTES;
use crate::upload::StreamingUpload;

/// What a request body may be, and the memory for it.
pub struct BodyLimits<'a> {
    /// Maximum size of the body in bytes.
    pub max_bytes: u64,
    /// Whether only an empty body is allowed.
    pub forbidden: bool,
    /// The memory budget that all request bodies share, in bytes.
    pub memory: &'a Rc<Share>,
}

/// Why a request body was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than allowed.
    TooLarge,
    /// The sender broke off.
    Broken,
    /// There is a body where none is allowed.
    Forbidden,
}

/// A request body as far as it was read.
pub enum ReceivedBody {
    /// The whole body with the permits for its memory.
    Buffered(Bytes, Vec<Permit>),
    /// A body that does not fit in memory and is streamed to the upstream.
    Streaming(Rc<StreamingUpload>),
}

/// Reads a request body whole if there is memory for it. Memory is acquired as data arrives, so that a false
/// Content-Length reserves nothing. The request's deadline starts when this function returns.
pub async fn read_body(mut body: Incoming, limits: &BodyLimits<'_>) -> Result<ReceivedBody, BodyError> {
    if body.size_hint().lower() > limits.max_bytes {
        return Err(BodyError::TooLarge);
    }
    let announced = body.size_hint().exact().unwrap_or(0) as usize;
    let (mut buffer, mut memory, mut reserved) = (BytesMut::new(), Vec::new(), 0);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        if limits.forbidden && !data.is_empty() {
            return Err(BodyError::Forbidden);
        }
        let length = buffer.len() + data.len();
        if length as u64 > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if length > reserved {
            // Doubles the reservation as the buffer grows, up to the announced length.
            let wanted =
                if announced > 0 { announced.min(2 * length) } else { 2 * length }.max(length) - reserved;
            // Leaves memory for other requests: beyond the default buffer size, a body must leave as much memory
            // free as it uses itself.
            let leaves_enough =
                reserved + wanted <= MAX_BUFFERED_BYTES || limits.memory.available() >= reserved + 2 * wanted;
            let Some(permit) = limits.memory.acquire(wanted).filter(|_| leaves_enough) else {
                buffer.extend_from_slice(&data);
                let max_rest = limits.max_bytes - length as u64;
                let streaming = StreamingUpload::new(buffer.freeze(), memory, body, max_rest);
                return Ok(ReceivedBody::Streaming(streaming));
            };
            memory.push(permit);
            reserved += wanted;
            buffer.reserve(reserved - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(ReceivedBody::Buffered(buffer.freeze(), memory))
}
