//! Processes of the mesh on loopback behind links of a given bandwidth. Time is paused: it moves on whenever nothing else is
//! left to do, so a slow link costs the test no time.

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

/// Bytes that a link carries at once; what follows waits for its turn.
const PACKET: usize = 4 << 10;

/// Runs a test with paused time.
pub fn play(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test());
}

/// The bandwidth of one machine, shared by all connections to it, and what it has carried.
pub struct Bandwidth {
    bytes_per_second: u64,
    free_at: Cell<Instant>,
    carried: Cell<u64>,
}

impl Bandwidth {
    pub fn new(bytes_per_second: u64) -> Rc<Bandwidth> {
        Rc::new(Bandwidth { bytes_per_second, free_at: Cell::new(Instant::now()), carried: Cell::new(0) })
    }

    pub fn carried(&self) -> u64 {
        self.carried.get()
    }

    async fn carry(&self, bytes: usize) {
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_second as f64);
        let until = self.free_at.get().max(Instant::now()) + time;
        self.free_at.set(until);
        self.carried.set(self.carried.get() + bytes as u64);
        sleep_until(until).await;
    }
}

/// A relay to a process; what comes back from it takes up the bandwidth.
pub async fn relay(to: SocketAddr, bandwidth: Rc<Bandwidth>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            let bandwidth = bandwidth.clone();
            spawn_local(async move {
                if let Ok(far) = TcpStream::connect(to).await {
                    carry(near, far, &bandwidth).await;
                }
            });
        }
    });
    address
}

async fn carry(near: TcpStream, far: TcpStream, bandwidth: &Bandwidth) {
    let (mut near_in, mut near_out) = near.into_split();
    let (mut far_in, mut far_out) = far.into_split();
    let up = async { tokio::io::copy(&mut near_in, &mut far_out).await.map(|_| ()) };
    let down = async {
        let mut packet = vec![0; PACKET];
        loop {
            let bytes = far_in.read(&mut packet).await?;
            if bytes == 0 {
                return Ok::<(), std::io::Error>(());
            }
            bandwidth.carry(bytes).await;
            near_out.write_all(&packet[..bytes]).await?;
        }
    };
    tokio::select! {
        _ = up => {}
        _ = down => {}
    }
}

/// A process that knows of nothing but itself.
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

/// Serves what others ask of a process; its address.
pub async fn listen(exchange: &Rc<Exchange>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("its address");
    let exchange = exchange.clone();
    spawn_local(serve(listener, move |ask| super::answer(exchange.clone(), ask)));
    address
}

/// A configuration of many routes. `changed` is the time-out of the first.
pub fn configuration(edition: u32, routes: u32, changed: u32) -> Config {
    let route = |number: u32| {
        // As random as an operator's names are.
        let name = number.wrapping_mul(2_654_435_761) ^ 0x5bd1_e995;
        let timeout = if number == 0 { changed } else { 2500 };
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

/// Waits until a process has this configuration; tells whether it did within `within`.
pub async fn has(exchange: &Exchange, wanted: &Config, within: Duration) -> bool {
    let mut changes = exchange.subscribe();
    let came = async {
        loop {
            if exchange.view().config().is_some_and(|config| *config == *wanted) {
                return;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    timeout(within, came).await.is_ok()
}
