//! Response body for another balancer. A long body waits for its turns on the outgoing link.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sloeline_http::payload::Payload;

use crate::link_shaper::{CHUNK_BYTES, ExpectedResponse, LinkShaper};

/// A response whose body is larger than this is long and waits for turns on the link.
pub const LONG_RESPONSE_BYTES: u64 = CHUNK_BYTES as u64;

/// A response body that is sent at the rate of the link if it is long.
pub struct ShapedBody {
    /// The body to send.
    inner: Payload,
    /// Data read from the inner body and not sent yet.
    pending: Bytes,
    /// The outgoing link.
    link: Rc<LinkShaper>,
    /// Position of a long response in the order of the link; `None` for a short response.
    position: Option<u64>,
    /// The part of a long response of known length that is not sent yet.
    expected: Option<ExpectedResponse>,
}

impl ShapedBody {
    /// Wraps a body so that it is sent over the link.
    pub fn new(inner: Payload, link: Rc<LinkShaper>) -> ShapedBody {
        let length = inner.size_hint().exact();
        let long = length.is_none_or(|length| length > LONG_RESPONSE_BYTES);
        let position = long.then(|| link.next_position());
        let expected = length.filter(|_| long).map(|length| link.expect_response(length));
        ShapedBody { inner, pending: Bytes::new(), link, position, expected }
    }
}

impl Drop for ShapedBody {
    fn drop(&mut self) {
        if let Some(position) = self.position {
            self.link.remove(position);
        }
    }
}

impl Body for ShapedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if this.pending.is_empty() {
            match ready!(Pin::new(&mut this.inner).poll_frame(cx)) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => this.pending = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                end => return Poll::Ready(end),
            }
        }
        let bytes = this.pending.len().min(if this.position.is_some() { CHUNK_BYTES } else { usize::MAX });
        match this.position {
            Some(position) => ready!(this.link.poll_turn(position, bytes, cx)),
            None => this.link.record_sent(bytes),
        }
        if let Some(expected) = &mut this.expected {
            expected.record_sent(bytes);
        }
        Poll::Ready(Some(Ok(Frame::data(this.pending.split_to(bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.pending.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let pending = self.pending.len() as u64;
        let rest = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower().saturating_add(pending));
        if let Some(upper) = rest.upper().and_then(|upper| upper.checked_add(pending)) {
            hint.set_upper(upper);
        }
        hint
    }
}
