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

use crate::payload::{End, Passing};

/// The body of a request as attempts send it.
#[derive(Clone)]
pub enum Sent {
    /// It is here.
    Whole(Bytes),
    /// It is on its way.
    Passing(Rc<Upload>),
}

impl Sent {
    /// Bytes that it has at the least.
    pub fn least(&self) -> u64 {
        match self {
            Sent::Whole(bytes) => bytes.len() as u64,
            Sent::Passing(upload) => upload.passing.borrow().size_hint().lower(),
        }
    }

    /// How many bytes it has, where that is known before its end.
    pub fn length(&self) -> Option<u64> {
        match self {
            Sent::Whole(bytes) => Some(bytes.len() as u64),
            Sent::Passing(upload) => upload.length,
        }
    }

    /// Its last byte has come from the caller.
    pub fn has_come(&self) -> bool {
        match self {
            Sent::Whole(_) => true,
            Sent::Passing(upload) => upload.ended.get() == Some(End::Whole),
        }
    }

    /// A part of it is used up: no other attempt can have it.
    pub fn spent(&self) -> bool {
        match self {
            Sent::Whole(_) => false,
            Sent::Passing(upload) => upload.frames.get() > 0,
        }
    }

    /// As one attempt sends it.
    pub fn outgoing(&self) -> Outgoing {
        match self {
            Sent::Whole(bytes) => Outgoing::Whole(Full::new(bytes.clone())),
            Sent::Passing(upload) => Outgoing::Passing { upload: upload.clone(), begun: false },
        }
    }
}

/// A body that passes: what the upstream does not take is not read.
pub struct Upload {
    passing: RefCell<Passing>,
    length: Option<u64>,
    frames: Cell<u64>,
    ended: Cell<Option<End>>,
    /// The memory of what was read before it was clear that there is not enough.
    room: RefCell<Vec<Permit>>,
    when_come: RefCell<Vec<Box<dyn FnOnce()>>>,
}

impl Upload {
    /// What has come of a body and the memory that it has; its rest, which may have so many bytes.
    pub fn new(first: Bytes, room: Vec<Permit>, rest: Incoming, most: u64) -> Rc<Upload> {
        let here = first.len() as u64;
        let length = rest.size_hint().exact().and_then(|rest| rest.checked_add(here));
        Rc::new_cyclic(|this: &std::rc::Weak<Upload>| {
            let mut passing = Passing::new(first, rest, most);
            let this = this.clone();
            passing.at_end(move |end| {
                let Some(upload) = this.upgrade() else { return };
                upload.ended.set(Some(end));
                if end == End::Whole {
                    upload.when_come.take().into_iter().for_each(|tell| tell());
                }
            });
            let (passing, room) = (RefCell::new(passing), RefCell::new(room));
            Upload {
                passing,
                length,
                frames: Cell::new(0),
                ended: Cell::new(None),
                room,
                when_come: RefCell::default(),
            }
        })
    }

    /// Tells when its last byte has come; never where it breaks off.
    pub fn when_come(&self, tell: impl FnOnce() + 'static) {
        self.when_come.borrow_mut().push(Box::new(tell));
    }

    /// It broke off, or is longer than it may be.
    pub fn broken(&self) -> bool {
        self.ended.get() == Some(End::Broken)
    }
}

/// A body on its way to an upstream.
pub enum Outgoing {
    /// A whole one.
    Whole(Full<Bytes>),
    /// One that passes.
    Passing {
        /// Where it comes from.
        upload: Rc<Upload>,
        /// This attempt has begun to take of it.
        begun: bool,
    },
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Outgoing::Whole(whole) => Pin::new(whole).poll_frame(cx).map_err(|never| match never {}),
            Outgoing::Passing { upload, begun } => {
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
            Outgoing::Whole(whole) => whole.size_hint(),
            Outgoing::Passing { upload, .. } => upload.passing.borrow().size_hint(),
        }
    }
}
