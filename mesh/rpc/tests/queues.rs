//! Tests that the send queue of a connection is limited in bytes, not only in messages.

use std::time::Duration;

use bytes::Bytes;
use sloeline_idempotency::ClaimUpdate;
use sloeline_metrics::Metric;
use sloeline_rpc::RpcRequest;
use sloeline_rpc::link::Link;
use sloeline_rpc::metrics::DROPPED_FRAMES;
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Returns a message of 256 KiB.
fn large() -> RpcRequest {
    RpcRequest::Operation(ClaimUpdate::Release { key: Bytes::from(vec![7; 256 << 10]), run: 1 })
}

#[test]
fn the_send_queue_to_a_peer_that_does_not_read_is_limited_in_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let link = Link::new(listener.local_addr().expect("its address"));
        // 256 MiB without a limit.
        for _ in 0..1024 {
            link.notify(&large());
        }
        assert!(DROPPED_FRAMES.value() > 900, "{} of 1024 were dropped", DROPPED_FRAMES.value());
        let result = timeout(Duration::from_secs(1), link.call(&large(), Duration::from_secs(1))).await;
        assert!(matches!(result, Ok(Err(_))), "the call fails at once");
    });
}
