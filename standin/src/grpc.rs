//! gRPC as servers speak it, for stand-ins: messages in frames of HTTP/2, a status in the trailers.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use prost::Message;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Runs what a connection spawns on the local set.
#[derive(Clone)]
pub struct Local;

impl<F: Future + 'static> hyper::rt::Executor<F> for Local {
    fn execute(&self, future: F) {
        spawn_local(async move {
            future.await;
        });
    }
}

/// A body that is sent as it is made.
pub struct Frames(mpsc::UnboundedReceiver<Frame<Bytes>>);

impl Body for Frames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_recv(context).map(|frame| frame.map(Ok))
    }
}

/// Sends messages of an answer, and counts their bytes.
#[derive(Clone)]
pub struct Sender {
    frames: mpsc::UnboundedSender<Frame<Bytes>>,
    sent: Rc<Cell<u64>>,
}

/// An answer that is sent as it is made.
pub fn responding(sent: &Rc<Cell<u64>>) -> (Sender, Response<Frames>) {
    let (frames, body) = mpsc::unbounded_channel();
    let mut response = Response::new(Frames(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/grpc"));
    (Sender { frames, sent: sent.clone() }, response)
}

/// Sends a message; false where nobody takes it any more.
pub fn send<M: Message>(sender: &Sender, message: &M) -> bool {
    let mut frame = BytesMut::with_capacity(5 + message.encoded_len());
    frame.put_u8(0);
    frame.put_u32(message.encoded_len() as u32);
    sender.sent.set(sender.sent.get() + 5 + message.encoded_len() as u64);
    message.encode(&mut frame).is_ok() && sender.frames.send(Frame::data(frame.freeze())).is_ok()
}

/// Ends an answer with a status.
pub fn end(sender: &Sender, status: u16, why: &'static str) {
    let mut trailers = HeaderMap::new();
    trailers.insert("grpc-status", HeaderValue::from(status));
    trailers.insert("grpc-message", HeaderValue::from_static(why));
    let _ = sender.frames.send(Frame::trailers(trailers));
}

/// The messages of a request.
pub struct Messages {
    body: Incoming,
    buffer: BytesMut,
}

impl Messages {
    /// Of this body.
    pub fn new(body: Incoming) -> Messages {
        Messages { body, buffer: BytesMut::new() }
    }

    /// The next one; none at the end, or where it can't be read.
    pub async fn next<M: Message + Default>(&mut self) -> Option<M> {
        loop {
            if self.buffer.len() >= 5 {
                let length = (&self.buffer[1..5]).get_u32() as usize;
                if self.buffer.len() >= 5 + length {
                    self.buffer.advance(5);
                    return M::decode(self.buffer.split_to(length).freeze()).ok();
                }
            }
            let frame = self.body.frame().await?.ok()?;
            self.buffer.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
    }
}
