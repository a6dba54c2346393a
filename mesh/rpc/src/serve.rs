//! The called end: takes connections of other processes and answers what they ask.

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
use crate::link::tune;
use crate::metrics;
use crate::{RpcRequest, RpcResponse};

/// Answers that wait for a peer that does not read; beyond, its connection is closed.
const MOST_ANSWERS: usize = 1024;
const PAUSE: Duration = Duration::from_millis(20);

/// Takes connections for good. `answer` gives nothing for what has no answer.
pub async fn serve<A, F>(listener: TcpListener, answer: A)
where
    A: Fn(RpcRequest) -> F + 'static,
    F: Future<Output = Option<RpcResponse>> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tune(&stream);
                spawn_local(connection(stream, answer.clone()));
            }
            Err(_) => sleep(PAUSE).await,
        }
    }
}

async fn connection<A, F>(stream: TcpStream, answer: Rc<A>)
where
    A: Fn(RpcRequest) -> F + 'static,
    F: Future<Output = Option<RpcResponse>> + 'static,
{
    let (mut from, mut to) = stream.into_split();
    let (sender, mut answers) = mpsc::channel::<Bytes>(MOST_ANSWERS);
    let write = async move {
        let mut some = Vec::new();
        while answers.recv_many(&mut some, 64).await > 0 {
            metrics::SERVED_BYTES.add(some.iter().map(|answer| answer.len() as u64).sum());
            if to.write_all(&some.concat()).await.is_err() {
                return;
            }
            some.clear();
        }
    };
    let read = async move {
        let mut come = BytesMut::new();
        loop {
            loop {
                match frame::next(&mut come) {
                    Ok(Some(frame)) => {
                        let Ok(ask) = frame::decode::<RpcRequest>(&frame.body) else { return };
                        let (answering, sender) = (answer(ask), sender.clone());
                        metrics::SERVED_CALLS.increment();
                        spawn_local(async move {
                            let _open = metrics::SERVED_CALLS_OPEN.hold();
                            let Some(told) = answering.await.filter(|_| frame.kind == FrameKind::Request)
                            else {
                                return;
                            };
                            if let Ok(bytes) = frame::encode(FrameKind::Response, frame.number, &told)
                                && sender.try_send(bytes).is_err()
                            {
                                metrics::DROPPED_FRAMES.increment();
                            }
                        });
                    }
                    Ok(None) => break,
                    // What is no frame, or of another version, ends the connection.
                    Err(_) => return,
                }
            }
            match from.read_buf(&mut come).await {
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
