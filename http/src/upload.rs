//! Request bodies. A buffered body can be sent again with each attempt. A body that does not fit in memory is
//! streamed from the client to one upstream and can be sent only once.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use sloeline_limits::Permit;

use crate::payload::{BodyEnd, StreamingBody};

/// The body of a request as attempts send it.
#[derive(Clone)]
pub enum RequestBody {
    /// The whole body is in memory.
    Buffered(Bytes),
    /// The body is still being received from the client.
    Streaming(Rc<StreamingUpload>),
}

impl RequestBody {
    /// Returns the minimum length of the body in bytes, as far as it is known.
    pub fn min_length(&self) -> u64 {
        match self {
            RequestBody::Buffered(bytes) => bytes.len() as u64,
            RequestBody::Streaming(upload) => upload.body.borrow().size_hint().lower(),
        }
    }

    /// Returns the length of the body in bytes, if it is known in advance.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.len() as u64),
            RequestBody::Streaming(upload) => upload.length,
        }
    }

    /// Returns whether the last byte of the body was received from the client.
    pub fn is_received(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => true,
            RequestBody::Streaming(upload) => upload.end.get() == Some(BodyEnd::Complete),
        }
    }

    /// Returns whether a part of the body was already sent. Then no other attempt can send it.
    pub fn is_consumed(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => false,
            RequestBody::Streaming(upload) => upload.frames_sent.get() > 0,
        }
    }

    /// Returns the body for one attempt.
    pub fn outgoing(&self) -> OutgoingBody {
        match self {
            RequestBody::Buffered(bytes) => OutgoingBody::Buffered(Full::new(bytes.clone())),
            RequestBody::Streaming(upload) => {
                OutgoingBody::Streaming { upload: upload.clone(), started: false }
            }
        }
    }
}

/// A streamed request body. Data is read from the client only as fast as the upstream accepts it.
pub struct StreamingUpload {
    body: RefCell<StreamingBody>,
    length: Option<u64>,
    frames_sent: Cell<u64>,
    end: Cell<Option<BodyEnd>>,
    /// Permits for the memory of the part that was read before the budget was exhausted.
    memory: RefCell<Vec<Permit>>,
    received_callbacks: RefCell<Vec<Box<dyn FnOnce()>>>,
}

impl StreamingUpload {
    /// Creates a streamed body. `first` is the part that was already read, `memory` the permits for its memory, and
    /// `rest` may have at most `max_rest` bytes.
    pub fn new(first: Bytes, memory: Vec<Permit>, rest: Incoming, max_rest: u64) -> Rc<StreamingUpload> {
        let first_length = first.len() as u64;
        let length = rest.size_hint().exact().and_then(|rest| rest.checked_add(first_length));
        Rc::new_cyclic(|this: &std::rc::Weak<StreamingUpload>| {
            let mut body = StreamingBody::new(first, rest, max_rest);
            let this = this.clone();
            body.on_end(move |end| {
                let Some(upload) = this.upgrade() else { return };
                upload.end.set(Some(end));
                if end == BodyEnd::Complete {
                    upload.received_callbacks.take().into_iter().for_each(|callback| callback());
                }
            });
            let (body, memory) = (RefCell::new(body), RefCell::new(memory));
            StreamingUpload {
                body,
                length,
                frames_sent: Cell::new(0),
                end: Cell::new(None),
                memory,
                received_callbacks: RefCell::default(),
            }
        })
    }

    /// Calls `callback` when the last byte was received. It is never called if the body fails.
    pub fn on_received(&self, callback: impl FnOnce() + 'static) {
        self.received_callbacks.borrow_mut().push(Box::new(callback));
    }

    /// Reads and drops what has not been sent of the body, until it ends. An answer that is sent while input is unread can be
    /// lost, because closing such a socket resets the connection.
    pub async fn discard(&self) {
        self.memory.borrow_mut().clear();
        loop {
            let frame = poll_fn(|cx| Pin::new(&mut *self.body.borrow_mut()).poll_frame(cx)).await;
            if !matches!(frame, Some(Ok(_))) {
                return;
            }
        }
    }

    /// Returns whether the sender broke off or the body exceeded the size limit.
    pub fn is_failed(&self) -> bool {
        self.end.get() == Some(BodyEnd::Failed)
    }
}

/// A request body as it is sent to an upstream.
pub enum OutgoingBody {
    /// A body that is in memory.
    Buffered(Full<Bytes>),
    /// A body that is streamed from the client.
    Streaming {
        /// The body, shared with the request.
        upload: Rc<StreamingUpload>,
        /// Whether this attempt has already taken a part of the body.
        started: bool,
    },
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            OutgoingBody::Buffered(buffered) => {
                Pin::new(buffered).poll_frame(cx).map_err(|never| match never {})
            }
            OutgoingBody::Streaming { upload, started } => {
                // A second attempt must not send what the first one left of the body.
                if upload.frames_sent.get() > 0 && !*started {
                    return Poll::Ready(Some(Err(io::Error::other(
                        "another attempt has already sent a part of the body",
                    ))));
                }
                let frame = ready!(Pin::new(&mut *upload.body.borrow_mut()).poll_frame(cx));
                *started = true;
                // When the second frame is requested, most of the first one was written. Only the first frame was
                // buffered, so its memory is released.
                if upload.frames_sent.replace(upload.frames_sent.get() + 1) == 1 {
                    upload.memory.borrow_mut().clear();
                }
                Poll::Ready(frame)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Buffered(buffered) => buffered.size_hint(),
            OutgoingBody::Streaming { upload, .. } => upload.body.borrow().size_hint(),
        }
    }
}
