//! Request bodies. A buffered body can be sent again with each attempt. A body that does not fit in memory is
//! streamed from the client to one upstream and can be sent only once.

use std::cell::{Cell, RefCell};
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
            RequestBody::Streaming(upload) => upload.passing.borrow().size_hint().lower(),
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
            RequestBody::Streaming(upload) => upload.ended.get() == Some(BodyEnd::Complete),
        }
    }

    /// Returns whether a part of the body was already sent. Then no other attempt can send it.
    pub fn is_consumed(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => false,
            RequestBody::Streaming(upload) => upload.frames.get() > 0,
        }
    }

    /// Returns the body for one attempt.
    pub fn outgoing(&self) -> OutgoingBody {
        match self {
            RequestBody::Buffered(bytes) => OutgoingBody::Buffered(Full::new(bytes.clone())),
            RequestBody::Streaming(upload) => {
                OutgoingBody::Streaming { upload: upload.clone(), begun: false }
            }
        }
    }
}

/// A streamed request body. Data is read from the client only as fast as the upstream accepts it.
pub struct StreamingUpload {
    passing: RefCell<StreamingBody>,
    length: Option<u64>,
    frames: Cell<u64>,
    ended: Cell<Option<BodyEnd>>,
    /// Permits for the memory of the part that was read before the budget was exhausted.
    room: RefCell<Vec<Permit>>,
    on_received: RefCell<Vec<Box<dyn FnOnce()>>>,
}

impl StreamingUpload {
    /// Creates a streamed body. `first` is the part that was already read, `room` the permits for its memory, and
    /// `rest` may have at most `most` bytes.
    pub fn new(first: Bytes, room: Vec<Permit>, rest: Incoming, most: u64) -> Rc<StreamingUpload> {
        let here = first.len() as u64;
        let length = rest.size_hint().exact().and_then(|rest| rest.checked_add(here));
        Rc::new_cyclic(|this: &std::rc::Weak<StreamingUpload>| {
            let mut passing = StreamingBody::new(first, rest, most);
            let this = this.clone();
            passing.on_end(move |end| {
                let Some(upload) = this.upgrade() else { return };
                upload.ended.set(Some(end));
                if end == BodyEnd::Complete {
                    upload.on_received.take().into_iter().for_each(|tell| tell());
                }
            });
            let (passing, room) = (RefCell::new(passing), RefCell::new(room));
            StreamingUpload {
                passing,
                length,
                frames: Cell::new(0),
                ended: Cell::new(None),
                room,
                on_received: RefCell::default(),
            }
        })
    }

    /// Calls `tell` when the last byte was received. It is never called if the body fails.
    pub fn on_received(&self, tell: impl FnOnce() + 'static) {
        self.on_received.borrow_mut().push(Box::new(tell));
    }

    /// Returns whether the sender broke off or the body exceeded the size limit.
    pub fn is_failed(&self) -> bool {
        self.ended.get() == Some(BodyEnd::Failed)
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
        begun: bool,
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
            OutgoingBody::Buffered(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            OutgoingBody::Streaming { upload, begun } => {
                // A second attempt must not send what the first one left of the body.
                if upload.frames.get() > 0 && !*begun {
                    return Poll::Ready(Some(Err(io::Error::other("the body is used up"))));
                }
                let frame = ready!(Pin::new(&mut *upload.passing.borrow_mut()).poll_frame(cx));
                *begun = true;
                // When the second frame is requested, most of the first one was written. Only the first frame was
                // buffered, so its memory is released.
                if upload.frames.replace(upload.frames.get() + 1) == 1 {
                    upload.room.borrow_mut().clear();
                }
                Poll::Ready(frame)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Buffered(whole) => whole.size_hint(),
            OutgoingBody::Streaming { upload, .. } => upload.passing.borrow().size_hint(),
        }
    }
}
