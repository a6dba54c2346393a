//! Response bodies, buffered or streamed. Streamed request bodies use the same type.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// How a streamed body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyEnd {
    /// The whole body was read.
    Complete,
    /// The sender broke off, or the body exceeded the size limit.
    Failed,
    /// The reader dropped the body before its end.
    Abandoned,
}

/// The body of a response.
#[derive(Debug)]
pub enum Payload {
    /// The whole body is in memory.
    Buffered(Full<Bytes>),
    /// The body is still being received.
    Streaming(Box<StreamingBody>),
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Payload {
        Payload::Buffered(Full::new(bytes))
    }
}

/// A streamed body in either direction. Data is read from the sender only as fast as the receiver accepts it, so the
/// body uses no more memory than a buffer on each side.
pub struct StreamingBody {
    first: Option<Bytes>,
    rest: Incoming,
    /// Maximum number of bytes that the rest may still have.
    max_rest: u64,
    end_callbacks: Vec<Box<dyn FnOnce(BodyEnd)>>,
}

impl fmt::Debug for StreamingBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamingBody").field("max_rest", &self.max_rest).finish_non_exhaustive()
    }
}

impl StreamingBody {
    /// Creates a streamed body. `first` is the part that was already read, and `rest` may have at most `max_rest`
    /// bytes.
    pub fn new(first: Bytes, rest: Incoming, max_rest: u64) -> StreamingBody {
        StreamingBody {
            first: Some(first).filter(|f| !f.is_empty()),
            rest,
            max_rest,
            end_callbacks: Vec::new(),
        }
    }

    /// Calls `callback` once when the body ends, also if it is dropped before.
    pub fn on_end(&mut self, callback: impl FnOnce(BodyEnd) + 'static) {
        self.end_callbacks.push(Box::new(callback));
    }

    /// Ends the body if its last frame was read. The receiver does not poll a body of known length again.
    fn end_if_last(&mut self) {
        if self.rest.is_end_stream() {
            self.finish(BodyEnd::Complete);
        }
    }

    fn finish(&mut self, end: BodyEnd) {
        for callback in self.end_callbacks.drain(..) {
            callback(end);
        }
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.finish(BodyEnd::Abandoned);
    }
}

impl Body for StreamingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if let Some(first) = this.first.take() {
            this.end_if_last();
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        // The receiver of a body without a known length must notice that it is incomplete. An error aborts its
        // connection.
        let failed = match ready!(Pin::new(&mut this.rest).poll_frame(cx)) {
            None => {
                this.finish(BodyEnd::Complete);
                return Poll::Ready(None);
            }
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                match this.max_rest.checked_sub(length) {
                    Some(max_rest) => {
                        this.max_rest = max_rest;
                        this.end_if_last();
                        return Poll::Ready(Some(Ok(frame)));
                    }
                    None => io::Error::other("the body exceeds the size limit"),
                }
            }
            Some(Err(e)) => io::Error::other(e),
        };
        this.finish(BodyEnd::Failed);
        Poll::Ready(Some(Err(failed)))
    }

    fn is_end_stream(&self) -> bool {
        // The end is reported only when the receiver polls for it.
        false
    }

    fn size_hint(&self) -> SizeHint {
        let first_length = self.first.as_ref().map_or(0, |first| first.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower().saturating_add(first_length));
        if let Some(upper) = rest.upper().and_then(|upper| upper.checked_add(first_length)) {
            hint.set_upper(upper);
        }
        hint
    }
}

impl Body for Payload {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Payload::Buffered(buffered) => Pin::new(buffered).poll_frame(cx).map_err(|never| match never {}),
            Payload::Streaming(streaming) => Pin::new(&mut **streaming).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Buffered(buffered) => buffered.is_end_stream(),
            Payload::Streaming(streaming) => streaming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Buffered(buffered) => buffered.size_hint(),
            Payload::Streaming(streaming) => streaming.size_hint(),
        }
    }
}
