//! Bodies of answers: whole ones, and long ones that pass through as they come. Those of requests that pass use the same.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};

/// How a long body ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyEnd {
    /// All of it has passed.
    Complete,
    /// Its sender broke off, or it is longer than it may be.
    Failed,
    /// Nobody wants the rest.
    Abandoned,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Payload {
    /// It is here.
    Buffered(Full<Bytes>),
    /// It is on its way.
    Streaming(Box<StreamingBody>),
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Payload {
        Payload::Buffered(Full::new(bytes))
    }
}

/// A body that goes on as its sender gives it, in either direction: what is not taken on is not read, so that it takes no
/// more memory than a buffer on each side.
pub struct StreamingBody {
    first: Option<Bytes>,
    rest: Incoming,
    /// Bytes that the rest may still have.
    most: u64,
    ends: Vec<Box<dyn FnOnce(BodyEnd)>>,
}

impl fmt::Debug for StreamingBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StreamingBody").field("most", &self.most).finish_non_exhaustive()
    }
}

impl StreamingBody {
    /// What has come of a body, and its rest, which may have so many bytes.
    pub fn new(first: Bytes, rest: Incoming, most: u64) -> StreamingBody {
        StreamingBody { first: Some(first).filter(|f| !f.is_empty()), rest, most, ends: Vec::new() }
    }

    /// Tells its end once, also when it is dropped.
    pub fn on_end(&mut self, tell: impl FnOnce(BodyEnd) + 'static) {
        self.ends.push(Box::new(tell));
    }

    /// Of a body whose length was told nobody asks for more than that.
    fn end_if_last(&mut self) {
        if self.rest.is_end_stream() {
            self.end(BodyEnd::Complete);
        }
    }

    fn end(&mut self, how: BodyEnd) {
        for tell in self.ends.drain(..) {
            tell(how);
        }
    }
}

impl Drop for StreamingBody {
    fn drop(&mut self) {
        self.end(BodyEnd::Abandoned);
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
        // With what has no end its reader must see that it is not whole: an error breaks its connection.
        let failed = match ready!(Pin::new(&mut this.rest).poll_frame(cx)) {
            None => {
                this.end(BodyEnd::Complete);
                return Poll::Ready(None);
            }
            Some(Ok(frame)) => {
                let length = frame.data_ref().map_or(0, |data| data.len() as u64);
                match this.most.checked_sub(length) {
                    Some(most) => {
                        this.most = most;
                        this.end_if_last();
                        return Poll::Ready(Some(Ok(frame)));
                    }
                    None => io::Error::other("it is longer than it may be"),
                }
            }
            Some(Err(e)) => io::Error::other(e),
        };
        this.end(BodyEnd::Failed);
        Poll::Ready(Some(Err(failed)))
    }

    fn is_end_stream(&self) -> bool {
        // Its end is told when it is asked for.
        false
    }

    fn size_hint(&self) -> SizeHint {
        let here = self.first.as_ref().map_or(0, |first| first.len() as u64);
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower().saturating_add(here));
        if let Some(upper) = rest.upper().and_then(|upper| upper.checked_add(here)) {
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
            Payload::Buffered(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Payload::Streaming(passing) => Pin::new(&mut **passing).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Payload::Buffered(whole) => whole.is_end_stream(),
            Payload::Streaming(passing) => passing.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Payload::Buffered(whole) => whole.size_hint(),
            Payload::Streaming(passing) => passing.size_hint(),
        }
    }
}
