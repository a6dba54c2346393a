//! The body of an answer as it leaves for another balancer, by turns on the link where it is long.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sloeline_http::payload::Payload;

use crate::link_shaper::{CHUNK, Expected, LinkShaper};

/// Bytes beyond which an answer is long.
pub const LONG: u64 = CHUNK as u64;

/// A body on its way out.
pub struct ShapedBody {
    inner: Payload,
    /// What the inner body has given and is not sent yet.
    pending: Bytes,
    link: Rc<LinkShaper>,
    /// A long answer's place on the link.
    place: Option<u64>,
    expected: Option<Expected>,
}

impl ShapedBody {
    /// Sends this body over the link.
    pub fn new(inner: Payload, link: Rc<LinkShaper>) -> ShapedBody {
        let length = inner.size_hint().exact();
        let long = length.is_none_or(|length| length > LONG);
        let place = long.then(|| link.begin());
        let expected = length.filter(|_| long).map(|length| link.expect(length));
        ShapedBody { inner, pending: Bytes::new(), link, place, expected }
    }
}

impl Drop for ShapedBody {
    fn drop(&mut self) {
        if let Some(place) = self.place {
            self.link.leave(place);
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
        let bytes = this.pending.len().min(if this.place.is_some() { CHUNK } else { usize::MAX });
        match this.place {
            Some(place) => ready!(this.link.poll_turn(place, bytes, cx)),
            None => this.link.sent(bytes),
        }
        if let Some(expected) = &mut this.expected {
            expected.sent(bytes);
        }
        Poll::Ready(Some(Ok(Frame::data(this.pending.split_to(bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.pending.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let here = self.pending.len() as u64;
        let rest = self.inner.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower().saturating_add(here));
        if let Some(upper) = rest.upper().and_then(|upper| upper.checked_add(here)) {
            hint.set_upper(upper);
        }
        hint
    }
}
