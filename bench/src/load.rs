//! Generators of load: closed (each connection asks again when it is answered) and open (arrivals do not wait, and
//! times count from when a request was due, so that no delay is hidden).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use hdrhistogram::Histogram;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

use crate::upstream::message;

/// What became of the requests.
pub struct Outcome {
    /// By status; 0 for no answer.
    pub statuses: BTreeMap<u16, u64>,
    /// From when a request was due to its answer, served ones only, in microseconds.
    pub latency: Histogram<u64>,
    /// From when a request was sent to its refusal, in microseconds.
    pub refusals: Histogram<u64>,
    /// How long it took in all.
    pub span: Duration,
}

impl Outcome {
    fn new() -> Outcome {
        let histogram = || Histogram::new_with_bounds(1, 60_000_000, 3).expect("good bounds");
        Outcome {
            statuses: BTreeMap::new(),
            latency: histogram(),
            refusals: histogram(),
            span: Duration::ZERO,
        }
    }

    fn count(&mut self, status: u16, due: Instant, sent: Instant) {
        *self.statuses.entry(status).or_default() += 1;
        match status {
            200 => self.latency.saturating_record(due.elapsed().as_micros() as u64),
            503 => self.refusals.saturating_record(sent.elapsed().as_micros() as u64),
            _ => {}
        }
    }

    /// How many were answered so.
    pub fn answered(&self, status: u16) -> u64 {
        self.statuses.get(&status).copied().unwrap_or(0)
    }

    /// Answered 200.
    pub fn served(&self) -> u64 {
        self.answered(200)
    }

    /// All.
    pub fn asked(&self) -> u64 {
        self.statuses.values().sum()
    }

    /// A percentile, in milliseconds.
    pub fn ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }
}

/// How requests come.
#[derive(Clone, Copy, Debug)]
pub enum Arrivals {
    /// Each connection asks again at once.
    Closed,
    /// So many a second, at random.
    Open(f64),
}

/// What a generator does.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Connections, each with one request at a time.
    pub connections: usize,
    /// How requests come.
    pub arrivals: Arrivals,
    /// How long clients wait.
    pub patience: Duration,
}

struct Line {
    to: SocketAddr,
    /// How long its client waits.
    patience: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Line {
    async fn ask(&mut self, id: u64) -> u16 {
        let asked = timeout(self.patience + Duration::from_secs(1), self.exchange(id)).await;
        let status = asked.ok().flatten().unwrap_or(0);
        if status == 0 {
            self.stream = None;
        }
        status
    }

    async fn exchange(&mut self, id: u64) -> Option<u16> {
        let request = format!(
            "PUT /files/{id} HTTP/1.1\r\nHost: bench.local\r\nIdempotency-Key: {id}\r\nRequest-Timeout-Ms: {}\r\nContent-Length: 4\r\n\r\nbody",
            self.patience.as_millis()
        );
        // A kept connection may be closed while the request is on its way: once more, on a new one.
        let kept = self.stream.is_some();
        for last in [!kept, true] {
            if self.stream.is_none() {
                let stream = TcpStream::connect(self.to).await.ok()?;
                let _ = stream.set_nodelay(true);
                self.stream = Some(BufReader::new(stream));
            }
            let stream = self.stream.as_mut()?;
            if stream.get_mut().write_all(request.as_bytes()).await.is_ok()
                && let Some(status) = message(stream).await
            {
                return Some(status);
            }
            self.stream = None;
            if last {
                break;
            }
        }
        None
    }
}

/// Plays load from a thread of its own.
pub fn play(to: SocketAddr, load: Load, span: Duration, seed: u64) -> Outcome {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        LocalSet::new().block_on(&runtime, run(to, load, span, seed))
    })
    .join()
    .expect("the generator")
}

struct Shared {
    outcome: RefCell<Outcome>,
    due: RefCell<VecDeque<Instant>>,
    more: Notify,
    ended: Cell<bool>,
    next: Cell<u64>,
}

async fn run(to: SocketAddr, load: Load, span: Duration, seed: u64) -> Outcome {
    let Load { connections, arrivals, patience } = load;
    let shared = Rc::new(Shared {
        outcome: RefCell::new(Outcome::new()),
        due: RefCell::default(),
        more: Notify::new(),
        ended: Cell::new(false),
        next: Cell::new(0),
    });
    let start = Instant::now();
    let workers: Vec<_> = (0..connections)
        .map(|_| {
            let shared = shared.clone();
            spawn_local(async move {
                let mut line = Line { to, patience, stream: None };
                loop {
                    let due = match arrivals {
                        Arrivals::Closed if start.elapsed() >= span => return,
                        Arrivals::Closed => Instant::now(),
                        Arrivals::Open(_) => {
                            let due = shared.due.borrow_mut().pop_front();
                            match due {
                                Some(due) => due,
                                None if shared.ended.get() => return,
                                None => {
                                    shared.more.notified().await;
                                    continue;
                                }
                            }
                        }
                    };
                    let id = shared.next.get();
                    shared.next.set(id + 1);
                    let sent = Instant::now();
                    let status = line.ask(id).await;
                    shared.outcome.borrow_mut().count(status, due, sent);
                }
            })
        })
        .collect();
    if let Arrivals::Open(rate) = arrivals {
        let mut rng = Rng::with_seed(seed);
        let mut due = start;
        loop {
            due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / rate);
            if due - start >= span {
                break;
            }
            if due > Instant::now() {
                sleep_until(due).await;
            }
            shared.due.borrow_mut().push_back(due);
            shared.more.notify_one();
        }
        shared.ended.set(true);
        // One by one: a worker that ends wakes none.
        (0..connections).for_each(|_| shared.more.notify_one());
        shared.more.notify_waiters();
    }
    for worker in workers {
        shared.more.notify_waiters();
        let _ = worker.await;
    }
    let mut outcome = shared.outcome.replace(Outcome::new());
    outcome.span = start.elapsed();
    outcome
}
