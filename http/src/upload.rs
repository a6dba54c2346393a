//! Bodies of requests: whole ones, which go out again with each attempt, and those for which there is no memory. Such a
//! one passes on as its caller gives it, to one upstream, and can be sent only once.

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
    /// It is here.
    Buffered(Bytes),
    /// It is on its way.
    Streaming(Rc<StreamingUpload>),
}

impl RequestBody {
    /// Bytes that it has at the least.
    pub fn min_length(&self) -> u64 {
        match self {
            RequestBody::Buffered(bytes) => bytes.len() as u64,
            RequestBody::Streaming(upload) => upload.passing.borrow().size_hint().lower(),
        }
    }

    /// How many bytes it has, where that is known before its end.
    pub fn length(&self) -> Option<u64> {
        match self {
            RequestBody::Buffered(bytes) => Some(bytes.len() as u64),
            RequestBody::Streaming(upload) => upload.length,
        }
    }

    /// Its last byte has come from the caller.
    pub fn is_received(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => true,
            RequestBody::Streaming(upload) => upload.ended.get() == Some(BodyEnd::Complete),
        }
    }

    /// A part of it is used up: no other attempt can have it.
    pub fn is_consumed(&self) -> bool {
        match self {
            RequestBody::Buffered(_) => false,
            RequestBody::Streaming(upload) => upload.frames.get() > 0,
        }
    }

    /// As one attempt sends it.
    pub fn outgoing(&self) -> OutgoingBody {
        match self {
            RequestBody::Buffered(bytes) => OutgoingBody::Buffered(Full::new(bytes.clone())),
            RequestBody::Streaming(upload) => {
                OutgoingBody::Streaming { upload: upload.clone(), begun: false }
            }
        }
    }
}

/// A body that passes: what the upstream does not take is not read.
pub struct StreamingUpload {
    passing: RefCell<StreamingBody>,
    length: Option<u64>,
    frames: Cell<u64>,
    ended: Cell<Option<BodyEnd>>,
    /// The memory of what was read before it was clear that there is not enough.
    room: RefCell<Vec<Permit>>,
    on_received: RefCell<Vec<Box<dyn FnOnce()>>>,
}

impl StreamingUpload {
    /// What has come of a body and the memory that it has; its rest, which may have so many bytes.
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

    /// Tells when its last byte has come; never where it breaks off.
    pub fn on_received(&self, tell: impl FnOnce() + 'static) {
        self.on_received.borrow_mut().push(Box::new(tell));
    }

    /// It broke off, or is longer than it may be.
    pub fn is_failed(&self) -> bool {
        self.ended.get() == Some(BodyEnd::Failed)
    }
}

/// A body on its way to an upstream.
pub enum OutgoingBody {
    /// A whole one.
    Buffered(Full<Bytes>),
    /// One that passes.
    Streaming {
        /// Where it comes from.
        upload: Rc<StreamingUpload>,
        /// This attempt has begun to take of it.
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
                // Guards against a second attempt with what the first has left of it.
                if upload.frames.get() > 0 && !*begun {
                    return Poll::Ready(Some(Err(io::Error::other("the body is used up"))));
                }
                let frame = ready!(Pin::new(&mut *upload.passing.borrow_mut()).poll_frame(cx));
                *begun = true;
                // Whoever asks for the second has written most of the first, which alone was held.
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
