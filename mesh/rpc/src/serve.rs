//! The server side: accepts connections of other processes and answers their requests.

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::frame::{self, FrameKind};
use crate::link::set_tcp_options;
use crate::metrics;
use crate::{RpcRequest, RpcResponse};

/// Maximum number of responses queued for a peer that does not read them; further responses are dropped.
const MAX_QUEUED_RESPONSES: usize = 1024;
/// Pause after a connection could not be accepted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections forever and passes their messages to `handler`, which returns `None` for messages without a response.
pub async fn serve<A, F>(listener: TcpListener, handler: A)
where
    A: Fn(RpcRequest) -> F + 'static,
    F: Future<Output = Option<RpcResponse>> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_tcp_options(&stream);
                spawn_local(serve_connection(stream, handler.clone()));
            }
            Err(_) => sleep(ACCEPT_ERROR_PAUSE).await,
        }
    }
}

/// Reads requests from a connection, handles them concurrently and writes their responses, until the connection breaks or
/// carries something that is not a valid message.
async fn serve_connection<A, F>(stream: TcpStream, handler: Rc<A>)
where
    A: Fn(RpcRequest) -> F + 'static,
    F: Future<Output = Option<RpcResponse>> + 'static,
{
    let (mut from, mut to) = stream.into_split();
    let (sender, mut responses) = mpsc::channel::<Bytes>(MAX_QUEUED_RESPONSES);
    let write = async move {
        let mut batch = Vec::new();
        while responses.recv_many(&mut batch, 64).await > 0 {
            metrics::SERVED_BYTES.add(batch.iter().map(|response| response.len() as u64).sum());
            if to.write_all(&batch.concat()).await.is_err() {
                return;
            }
            batch.clear();
        }
    };
    let read = async move {
        let mut received = BytesMut::new();
        loop {
            loop {
                match frame::take_frame(&mut received) {
                    Ok(Some(frame)) => {
                        let Ok(request) = frame::decode::<RpcRequest>(&frame.body) else { return };
                        let (handling, sender) = (handler(request), sender.clone());
                        metrics::SERVED_CALLS.increment();
                        spawn_local(async move {
                            let _open = metrics::SERVED_CALLS_OPEN.count_while_held();
                            let Some(response) = handling.await.filter(|_| frame.kind == FrameKind::Request)
                            else {
                                return;
                            };
                            if let Ok(bytes) =
                                frame::encode(FrameKind::Response, frame.call_number, &response)
                                && sender.try_send(bytes).is_err()
                            {
                                metrics::DROPPED_FRAMES.increment();
                            }
                        });
                    }
                    Ok(None) => break,
                    // Bytes that are no frame, or a frame of another protocol version, end the connection.
                    Err(_) => return,
                }
            }
            match from.read_buf(&mut received).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
}
