//! A watch without a response, as when a middlebox drops the connection.

use std::time::Duration;

use finchshift::ListKind;
use sloeline_membership::platform::Discovery;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Emulated time advances to the next timer when no task can run.
#[test]
fn a_watch_without_a_response_fails_within_ten_seconds() {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(true).build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let discovery = Discovery::new(listener.local_addr().expect("an address"), 41);
        let (tell, mut told) = unbounded_channel();
        let start = Instant::now();
        discovery.watch(move |kind, entries| tell.send((kind, entries.len())).expect("the test waits"));
        let (mut stream, _) = listener.accept().await.expect("a call");
        let mut call = Vec::new();
        while !call.ends_with(b"\r\n\r\n") {
            call.push(stream.read_u8().await.expect("a byte"));
        }
        let call = String::from_utf8(call).expect("text");
        assert!(call.starts_with("GET /registry/instances?index=41&wait="), "{call}");
        assert_eq!(told.recv().await, Some((ListKind::Failed, 0)));
        // Requests may go to a replaced upstream for this long.
        assert!(start.elapsed() <= Duration::from_secs(10), "{:?}", start.elapsed());
    });
}
