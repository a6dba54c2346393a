//! Mesh processes on loopback behind links of limited bandwidth. The clock is paused: it advances when all tasks are idle, so
//! a slow link does not slow down the test.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sloeline_discovery::{Config, Record, Version};
use sloeline_rpc::exchange::Exchange;
use sloeline_rpc::serve::serve;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

/// Maximum number of bytes that a link carries at a time.
const PACKET_BYTES: usize = 4 << 10;

/// Runs a test on a runtime whose clock is paused.
pub fn run_paused(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test());
}

/// The bandwidth of one machine, shared by all connections to it, and a count of the bytes carried.
pub struct Bandwidth {
    bytes_per_second: u64,
    /// When the link has carried all bytes accepted so far.
    free_at: Cell<Instant>,
    carried: Cell<u64>,
}

impl Bandwidth {
    /// Creates an idle link that carries `bytes_per_second`.
    pub fn new(bytes_per_second: u64) -> Rc<Bandwidth> {
        Rc::new(Bandwidth { bytes_per_second, free_at: Cell::new(Instant::now()), carried: Cell::new(0) })
    }

    /// Total number of bytes carried so far.
    pub fn carried(&self) -> u64 {
        self.carried.get()
    }

    /// Waits until the link has carried `bytes` more bytes.
    async fn carry(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let until = self.free_at.get().max(Instant::now()) + time;
        self.free_at.set(until);
        self.carried.set(self.carried.get() + bytes as u64);
        sleep_until(until).await;
    }
}

/// Starts a relay to a process and returns its address. Bytes from the process take up the bandwidth.
pub async fn relay(to: SocketAddr, bandwidth: Rc<Bandwidth>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    spawn_local(async move {
        while let Ok((client, _)) = listener.accept().await {
            let bandwidth = bandwidth.clone();
            spawn_local(async move {
                if let Ok(server) = TcpStream::connect(to).await {
                    relay_connection(client, server, &bandwidth).await;
                }
            });
        }
    });
    address
}

/// Copies bytes in both directions until one side closes; bytes from `server` to `client` take up the bandwidth.
async fn relay_connection(client: TcpStream, server: TcpStream, bandwidth: &Bandwidth) {
    let (mut client_in, mut client_out) = client.into_split();
    let (mut server_in, mut server_out) = server.into_split();
    let up = async { tokio::io::copy(&mut client_in, &mut server_out).await.map(|_| ()) };
    let down = async {
        let mut packet = vec![0; PACKET_BYTES];
        loop {
            let bytes = server_in.read(&mut packet).await?;
            if bytes == 0 {
                return Ok::<(), std::io::Error>(());
            }
            bandwidth.carry(bytes).await;
            client_out.write_all(&packet[..bytes]).await?;
        }
    };
    tokio::select! {
        _ = up => {}
        _ = down => {}
    }
}

/// Creates a process whose view contains only its own record.
pub fn process(name: &str) -> Rc<Exchange> {
    Exchange::new(Record {
        source: name.to_owned(),
        version: Version { incarnation: 1, revision: 1 },
        mesh_address: ([127, 0, 0, 1], 1).into(),
        zone: "a".to_owned(),
        is_core: false,
        leaving: false,
        incoming_address: None,
        upstream: None,
    })
}

/// Starts a server that answers requests to a process, and returns its address.
pub async fn listen(exchange: &Rc<Exchange>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let exchange = exchange.clone();
    spawn_local(serve(listener, move |request| super::answer(exchange.clone(), request)));
    address
}

/// Returns a configuration with `routes` routes. `first_timeout` is the timeout of the first route in milliseconds.
pub fn configuration(edition: u32, routes: u32, first_timeout: u32) -> Config {
    let route = |number: u32| {
        // Pseudo-random names compress as badly as the names of a real configuration.
        let name = number.wrapping_mul(2_654_435_761) ^ 0x5bd1_e995;
        let timeout = if number == 0 { first_timeout } else { 2500 };
        format!(
            r#"{{"name":"r-{name:08x}","route_kind":"safe","target":"600ms","precedence":2,"sort_by":{{"lane_prefix":"/{name:x}/"}},"dispatch":{{"line":"huvo11a","timeout":"{timeout}ms","tries":2}}}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    let body = format!(
        r#"{{"edition":"{edition:08x}","gateways":[{{"station":"h.example","regulations":[{}]}}]}}"#,
        routes.join(",")
    );
    Config { edition, body: Bytes::from(body) }
}

/// Waits until the view of a process has the given configuration. Returns whether that happened within `within`.
pub async fn has_config(exchange: &Exchange, wanted: &Config, within: Duration) -> bool {
    let mut changes = exchange.subscribe();
    let arrived = async {
        loop {
            if exchange.view().config().is_some_and(|config| *config == *wanted) {
                return;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    timeout(within, arrived).await.is_ok()
}
