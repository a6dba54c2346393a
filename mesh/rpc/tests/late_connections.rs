//! Tests connections that take long to open, as over a congested link: they are kept once they are open.

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

/// Number of connections opened to fill the accept queue of a listener.
const FILLER_COUNT: usize = 8;
/// A loopback connection that is not open after this time is waiting for a place in the accept queue.
const HANG_TIME: Duration = Duration::from_millis(100);

/// Returns a listener whose accept queue is full, its address, and the tasks that hold the queued connections. The kernel
/// drops further SYN packets until a connection is accepted.
async fn full_listener() -> (TcpListener, SocketAddr, Vec<tokio::task::JoinHandle<()>>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("an address");
    socket.listen(0).expect("a listening socket");
    socket.set_nonblocking(true).expect("a nonblocking socket");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let address = listener.local_addr().expect("its address");
    let fillers = (0..FILLER_COUNT)
        .map(|_| {
            spawn_local(async move {
                let _open = TcpStream::connect(address).await;
                std::future::pending::<()>().await;
            })
        })
        .collect();
    // The queue is full once a further connection does not open in time.
    while timeout(HANG_TIME, TcpStream::connect(address)).await.is_ok() {}
    (listener, address, fillers)
}

#[test]
fn a_connection_that_opens_late_is_not_closed_because_of_an_earlier_timed_out_call() {
    let calls = Rc::new(Cell::new(0));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (listener, address, fillers) = full_listener().await;
        let link = Link::new(address);
        let request = RpcRequest::CompareDigest { digest: 1 };
        assert!(
            link.call(&request, Duration::from_millis(300)).await.is_err(),
            "no connection is accepted yet"
        );
        fillers.iter().for_each(|filler| filler.abort());
        let served_calls = calls.clone();
        spawn_local(serve(listener, move |_| {
            served_calls.set(served_calls.get() + 1);
            async { Some(RpcResponse::Done) }
        }));
        let response = link.call(&request, Duration::from_secs(5)).await;
        assert!(matches!(response, Ok(RpcResponse::Done)), "{response:?}");
        assert!(link.connected_since().is_some());
        assert_eq!(calls.get(), 1, "a timed-out call is not sent later");
    });
}
