//! Stand-in upstreams of any number behind a few listeners on loopback, in a thread of their own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use fastrand::Rng;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

/// Listeners; the daemon knows upstreams by their names, so that many may stand behind one address.
const LISTENERS: usize = 16;

/// How long an upstream takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Takes {
    /// Always the same.
    Constant(Duration),
    /// An exponential span of this mean.
    Exponential(Duration),
    /// One in a hundred fifty times as long.
    SlowTail(Duration),
}

impl Takes {
    fn draw(self, rng: &mut Rng) -> Duration {
        match self {
            Takes::Constant(span) => span,
            Takes::Exponential(mean) => mean.mul_f64(-(1.0 - rng.f64()).ln()),
            Takes::SlowTail(span) if rng.u32(..100) == 0 => span * 50,
            Takes::SlowTail(span) => span,
        }
    }
}

/// What they counted.
#[derive(Default)]
pub struct Counts {
    /// Requests that arrived whole.
    pub attempts: AtomicU64,
    /// Connections that were taken.
    pub connections: AtomicU64,
}

/// Upstreams that run until the process ends.
pub struct Upstreams {
    /// Where they are.
    pub addresses: Vec<SocketAddr>,
    /// What they counted.
    pub counts: Arc<Counts>,
}

impl Upstreams {
    /// Starts so many. With `places`, what stands behind a listener works on so many requests at once; others wait.
    pub fn start(count: usize, takes: Takes, places: Option<usize>, seed: u64) -> Upstreams {
        let counts = Arc::new(Counts::default());
        let listeners: Vec<std::net::TcpListener> = (0..LISTENERS.min(count))
            .map(|_| std::net::TcpListener::bind("127.0.0.1:0").expect("a port on loopback"))
            .collect();
        let own: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().expect("an address")).collect();
        let addresses = (0..count).map(|n| own[n % own.len()]).collect();
        let shared = counts.clone();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            LocalSet::new().block_on(&runtime, async move {
                for (n, listener) in listeners.into_iter().enumerate() {
                    listener.set_nonblocking(true).expect("a socket");
                    let listener = TcpListener::from_std(listener).expect("a socket");
                    let places = places.map(|n| Rc::new(Semaphore::new(n)));
                    let rng = Rng::with_seed(seed ^ n as u64);
                    spawn_local(accept(listener, takes, places, shared.clone(), rng));
                }
                std::future::pending::<()>().await;
            });
        });
        Upstreams { addresses, counts }
    }
}

type Places = Option<Rc<Semaphore>>;

async fn accept(listener: TcpListener, takes: Takes, places: Places, counts: Arc<Counts>, mut rng: Rng) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        counts.connections.fetch_add(1, Ordering::Relaxed);
        let (counts, rng) = (counts.clone(), Rng::with_seed(rng.u64(..)));
        spawn_local(serve(stream, takes, places.clone(), counts, rng));
    }
}

async fn serve(stream: TcpStream, takes: Takes, places: Places, counts: Arc<Counts>, mut rng: Rng) {
    let mut stream = BufReader::new(stream);
    while message(&mut stream).await.is_some() {
        counts.attempts.fetch_add(1, Ordering::Relaxed);
        let span = takes.draw(&mut rng);
        let _place = match &places {
            Some(places) => places.acquire().await.ok(),
            None => None,
        };
        if !span.is_zero() {
            sleep(span).await;
        }
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
        if stream.get_mut().write_all(answer).await.is_err() {
            return;
        }
    }
}

/// Reads one message with a body by its length or none; its status, or 0 for a request.
pub async fn message(stream: &mut BufReader<TcpStream>) -> Option<u16> {
    let (mut line, mut status, mut length, mut first) = (String::new(), 0, 0, true);
    loop {
        line.clear();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        if std::mem::take(&mut first) {
            status = line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0);
        }
        if let Some((name, value)) = line.split_once(':')
            && name.eq_ignore_ascii_case("content-length")
        {
            length = value.trim().parse().ok()?;
        }
        if line == "\r\n" {
            break;
        }
    }
    if length > 0 {
        let mut body = vec![0; length];
        stream.read_exact(&mut body).await.ok()?;
    }
    Some(status)
}
