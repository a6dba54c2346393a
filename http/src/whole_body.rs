//! Reads a streamed response whole while the process shuts down, so that its client gets either all of it or an error.

use std::future::Future;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use sloeline_engine::types::Failure;
use sloeline_limits::{Permit, Share};

use crate::payload::{Payload, StreamingBody};

/// Returns the body with all of its data in memory. A body of unknown length, or one that memory has no room for, is
/// returned as it is. Fails if the sender breaks off, or if `expiry` completes first.
pub async fn buffer_whole(
    body: Payload,
    memory: &Rc<Share>,
    expiry: impl Future<Output = ()>,
) -> Result<Payload, Failure> {
    let Payload::Streaming(streaming) = body else { return Ok(body) };
    let Some(_permit) = reserve(&streaming, memory) else { return Ok(Payload::Streaming(streaming)) };
    tokio::select! {
        biased;
        read = read_all(*streaming) => read.map(Payload::from),
        () = expiry => Err(Failure::DeadlineExceeded),
    }
}

/// Reserves memory for a whole body. Leaves as much memory free for other requests as the body uses.
fn reserve(body: &StreamingBody, memory: &Rc<Share>) -> Option<Permit> {
    let length = usize::try_from(body.size_hint().exact()?).ok()?;
    if memory.available() < length.checked_mul(2)? {
        return None;
    }
    memory.acquire(length)
}

async fn read_all(mut body: StreamingBody) -> Result<Bytes, Failure> {
    let mut data = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Failure::Upstream)?;
        if let Ok(part) = frame.into_data() {
            data.extend_from_slice(&part);
        }
    }
    Ok(data.freeze())
}
