//! Connections that take long to come up, as over a link that is full: they are kept once they are there.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sloeline_rpc::link::Link;
use sloeline_rpc::serve::serve;
use sloeline_rpc::{RpcRequest, RpcResponse};
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

/// Connections that are begun to fill the queue of a listener.
const FILLERS: usize = 8;
/// A connection on loopback that takes so long waits for room.
const HANGS: Duration = Duration::from_millis(100);

/// A listener whose queue is full: opening packets are dropped until somebody accepts.
async fn full_listener() -> (TcpListener, SocketAddr, Vec<tokio::task::JoinHandle<()>>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("an address");
    socket.listen(0).expect("it listens");
    socket.set_nonblocking(true).expect("as the runtime wants it");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let fillers = (0..FILLERS)
        .map(|_| {
            spawn_local(async move {
                let _kept = TcpStream::connect(address).await;
                std::future::pending::<()>().await;
            })
        })
        .collect();
    // Full once a further attempt hangs for as long as no connection on loopback takes.
    while timeout(HANGS, TcpStream::connect(address)).await.is_ok() {}
    (listener, address, fillers)
}

#[test]
fn a_connection_that_comes_up_late_is_not_closed_for_a_call_that_ended_before() {
    let calls = Rc::new(Cell::new(0));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (listener, address, fillers) = full_listener().await;
        let link = Link::new(address);
        let ask = RpcRequest::CompareDigest { digest: 1 };
        assert!(link.call(&ask, Duration::from_millis(300)).await.is_err(), "nobody accepts yet");
        fillers.iter().for_each(|filler| filler.abort());
        let served = calls.clone();
        spawn_local(serve(listener, move |_| {
            served.set(served.get() + 1);
            async { Some(RpcResponse::Done) }
        }));
        let answer = link.call(&ask, Duration::from_secs(5)).await;
        assert!(matches!(answer, Ok(RpcResponse::Done)), "{answer:?}");
        assert!(link.up().is_some());
        assert_eq!(calls.get(), 1, "a call that has ended is not made later");
    });
}
