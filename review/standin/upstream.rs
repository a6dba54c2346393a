//! Stand-in upstreams as the operators' pages describe them: they beat, work on `berths` requests at once, queue a few more,
//! turn others away, answer 421 to a request for another upstream, and drop a request whose connection closes.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::mesh::{Place, Record};
use crate::net::{Message, Wire, ask, head_of, request};

/// How an upstream works.
#[derive(Clone, Debug)]
pub struct Manner {
    pub work: Duration,
    pub berths: usize,
    pub queue: usize,
    /// Turns away this share of the requests as when its queue is full (503 with `X-Not-Run`).
    pub turns_away: f64,
    /// Sends this share of its answers a second time, late: in the place of the next answer on that connection.
    pub surplus: f64,
    /// Bytes of the body of an answer; after how many of them it pauses, and for how long.
    pub bytes: usize,
    pub silence: Option<(usize, Duration)>,
}

impl Default for Manner {
    fn default() -> Manner {
        Manner {
            work: Duration::from_millis(40),
            berths: 6,
            queue: 24,
            turns_away: 0.0,
            surplus: 0.0,
            bytes: 400,
            silence: None,
        }
    }
}

/// A run: which upstream, when, and what was asked for.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub upstream: String,
    pub try_id: String,
    pub key: String,
    pub host: String,
    pub path: String,
}

#[derive(Default)]
struct Load {
    working: usize,
    waiting: usize,
}

pub struct Upstream {
    pub id: String,
    pub service: String,
    pub manner: Mutex<Manner>,
    pub arrivals: AtomicU64,
    pub turned_away: AtomicU64,
    /// Says `closing` in its beats.
    pub closing: AtomicBool,
    place: Place,
    record: Arc<Record>,
    runs: Arc<Mutex<Vec<Run>>>,
    load: Mutex<Load>,
    freed: Condvar,
    chance: AtomicU64,
    ended: AtomicBool,
}

/// All runs of all upstreams.
pub type Runs = Arc<Mutex<Vec<Run>>>;

fn head(status: &str, id: &str, stamp: Option<&str>, length: usize, upstream: &str) -> String {
    let stamp = stamp.map_or_else(String::new, |stamp| format!("X-Postmark: {stamp}\r\n"));
    format!(
        "HTTP/1.1 {status}\r\nX-Try-Id: {id}\r\n{stamp}X-Answered-By: {upstream}\r\nContent-Length: {length}\r\n"
    )
}

impl Upstream {
    /// Starts a new life of an upstream beside the balancer at `place`.
    pub fn start(
        id: &str,
        service: &str,
        place: Place,
        manner: Manner,
        record: &Arc<Record>,
        runs: &Runs,
    ) -> Result<Arc<Upstream>, String> {
        let listener = TcpListener::bind(place.app).map_err(|e| format!("{}: {e}", place.app))?;
        let upstream = Arc::new(Upstream {
            id: id.to_owned(),
            service: service.to_owned(),
            manner: Mutex::new(manner),
            arrivals: AtomicU64::new(0),
            turned_away: AtomicU64::new(0),
            closing: AtomicBool::new(false),
            place,
            record: record.clone(),
            runs: runs.clone(),
            load: Mutex::default(),
            freed: Condvar::new(),
            chance: AtomicU64::new(0x2545_f491_4f6c_dd1d),
            ended: AtomicBool::new(false),
        });
        record.note(format!("upstream {id} of {service} starts at {}", place.app));
        let accepting = upstream.clone();
        thread::spawn(move || {
            let _ = listener.set_nonblocking(true);
            while !accepting.ended.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let upstream = accepting.clone();
                        thread::spawn(move || upstream.serve(Wire::new(stream)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || beating.beat());
        Ok(upstream)
    }

    /// Ends as a crash does: nothing is said, the address is free.
    pub fn crash(&self) {
        self.record.note(format!("upstream {} crashes", self.id));
        self.ended.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(60));
    }

    fn beat(&self) {
        let mut sequence = 0;
        while !self.ended.load(Ordering::Relaxed) {
            sequence += 1;
            let condition = if self.closing.load(Ordering::Relaxed) { "closing" } else { "accepting" };
            let (berths, service, app) = (self.manner.lock().unwrap().berths, &self.service, self.place.app);
            let body = format!(
                "{{\"address\":\"{app}\",\"notice\":{{\"line\":\"{service}\",\"edition\":\"v1\",\"zone_name\":\"sby-a\",\
                 \"berths\":{berths}}},\"tracking\":{{\"condition\":\"{condition}\",\"sequence\":{sequence},\
                 \"cold_left\":\"0ms\"}}}}"
            );
            let target = format!("/-/rpc?call=upstreams.beat&of={}", self.id);
            let headers = [("Host", "dock"), ("Content-Type", "application/json"), ("Connection", "close")];
            let bytes = request("POST", &target, &headers, body.as_bytes());
            let taken =
                ask(self.place.control, &bytes, Duration::from_secs(1)).is_ok_and(|a| a.status() / 100 == 2);
            let pause = if taken { 1500 } else { 300 };
            for _ in 0..pause / 20 {
                if self.ended.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn serve(&self, mut wire: Wire) {
        // An answer that this connection still owes as a surplus.
        let mut owed: Option<String> = None;
        loop {
            let request = loop {
                if self.ended.load(Ordering::Relaxed) {
                    return;
                }
                match wire.read(Instant::now() + Duration::from_millis(100)) {
                    Ok(Some(request)) => break request,
                    Ok(None) => return,
                    Err(e) if e.kind() == std::io::ErrorKind::TimedOut => {}
                    Err(_) => return,
                }
            };
            if !self.answer(&mut wire, &request, &mut owed) {
                return;
            }
        }
    }

    /// Answers one request; false if the connection is to be closed.
    fn answer(&self, wire: &mut Wire, request: &Message, owed: &mut Option<String>) -> bool {
        let arrived = Instant::now();
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let (id, manner) = (request.header("x-try-id").to_owned(), self.manner.lock().unwrap().clone());
        if let Some(surplus) = owed.take() {
            self.record.note(format!("{} sends a surplus answer before that to {id}", self.id));
            if wire.write(surplus.as_bytes()).is_err() {
                return false;
            }
        }
        let addressee = request.header("x-addressee");
        if !addressee.is_empty() && addressee != self.id {
            self.record.note(format!("{} answers 421 to {id}, which is for {addressee}", self.id));
            let text = head("421 Misdirected Request", &id, None, 0, &self.id) + "X-Not-Run: 1\r\n\r\n";
            return wire.write(text.as_bytes()).is_ok();
        }
        let planned = self.draws(manner.turns_away);
        if planned || !self.enter(&manner, wire, arrived, request) {
            self.turned_away.fetch_add(1, Ordering::Relaxed);
            self.record.note(format!("{} turns {id} away: 503 with X-Not-Run", self.id));
            let text = head("503 Service Unavailable", &id, None, 0, &self.id) + "X-Not-Run: 1\r\n\r\n";
            if self.draws(manner.surplus) {
                *owed = Some(text.clone());
            }
            return wire.write(text.as_bytes()).is_ok();
        }
        let (_, path) = request.target();
        let run = Run {
            at: self.record.now(),
            upstream: self.id.clone(),
            try_id: id.clone(),
            key: request.header("x-operation-key").to_owned(),
            host: request.header("host").to_owned(),
            path: path.to_owned(),
        };
        self.record
            .note(format!("{} of {} runs {id} {} {}{}", self.id, self.service, run.key, run.host, run.path));
        self.runs.lock().unwrap().push(run);
        let whole = self.work(&manner, wire);
        self.leave();
        if !whole {
            self.record.note(format!("{} drops {id}: its connection has closed", self.id));
            return false;
        }
        let mut body = format!("{} {}", self.service, id).into_bytes();
        body.resize(manner.bytes.max(body.len()), b'.');
        let stamp = format!("{}.{}", self.id, id);
        let text = head("200 OK", &id, Some(&stamp), body.len(), &self.id) + "\r\n";
        if wire.write(text.as_bytes()).is_err() {
            return false;
        }
        if let Some((after, silence)) = manner.silence {
            let after = after.min(body.len());
            if wire.write(&body[..after]).is_err() {
                return false;
            }
            thread::sleep(silence);
            return wire.write(&body[after..]).is_ok();
        }
        if self.draws(manner.surplus) {
            *owed = Some(text + &String::from_utf8_lossy(&body));
        }
        wire.write(&body).is_ok()
    }

    /// True for this share of the calls, drawn from a fixed row of numbers.
    fn draws(&self, share: f64) -> bool {
        let next = |x: u64| {
            let x = x ^ (x << 13);
            let x = x ^ (x >> 7);
            x ^ (x << 17)
        };
        let drawn =
            self.chance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |x| Some(next(x))).unwrap_or(0);
        ((drawn >> 11) as f64) < share * (1u64 << 53) as f64
    }

    /// Takes a berth, or waits for one in the queue.
    fn enter(&self, manner: &Manner, wire: &Wire, arrived: Instant, request: &Message) -> bool {
        let left = request.header("x-time-left").parse().unwrap_or(60_000);
        let deadline = arrived + Duration::from_millis(left);
        let mut load = self.load.lock().unwrap();
        if load.working >= manner.berths && load.waiting >= manner.queue {
            return false;
        }
        load.waiting += 1;
        while load.working >= manner.berths {
            load = self.freed.wait_timeout(load, Duration::from_millis(10)).unwrap().0;
            if Instant::now() > deadline || wire.is_closed() {
                load.waiting -= 1;
                return false;
            }
        }
        load.waiting -= 1;
        load.working += 1;
        true
    }

    fn leave(&self) {
        self.load.lock().unwrap().working -= 1;
        self.freed.notify_one();
    }

    /// Works; false if the connection closed meanwhile.
    fn work(&self, manner: &Manner, wire: &Wire) -> bool {
        let end = Instant::now() + manner.work;
        while Instant::now() < end {
            thread::sleep((end - Instant::now()).min(Duration::from_millis(5)));
            if wire.is_closed() {
                return false;
            }
        }
        true
    }

    /// Requests at work now.
    pub fn working(&self) -> usize {
        self.load.lock().unwrap().working
    }
}

/// Where a client's request went and what came back.
#[derive(Clone, Debug)]
pub struct Seen {
    pub sent: Duration,
    pub answered: Duration,
    pub try_id: String,
    pub key: String,
    pub path: String,
    /// 0 if the connection ended without a whole answer.
    pub status: u16,
    pub stamp: String,
    pub body: String,
    /// What `Retry-After` asks for, up to a third of the time.
    pub retry_after: Duration,
    pub error: String,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Order {
    pub method: &'static str,
    pub host: &'static str,
    pub path: String,
    pub key: String,
    pub time_left: Duration,
}

/// Sends one request, each try with an id of its own, on a new connection, and waits for its answer.
pub fn send(record: &Record, to: SocketAddr, order: &Order) -> Seen {
    send_long(record, to, order, if order.method == "POST" { 1200 } else { 0 })
}

/// The same with a body of so many bytes.
pub fn send_long(record: &Record, to: SocketAddr, order: &Order, bytes: usize) -> Seen {
    let try_id = format!("{:016x}", crate::mesh::unique());
    let left = order.time_left.as_millis().to_string();
    let length = bytes.to_string();
    let mut headers = vec![("Host", order.host), ("X-Try-Id", &try_id), ("X-Time-Left", &left)];
    if !order.key.is_empty() {
        headers.push(("X-Operation-Key", &order.key));
    }
    headers.push(("Connection", "close"));
    if bytes > 0 {
        headers.push(("Content-Length", &length));
    }
    let head = head_of(order.method, &order.path, &headers);
    let mut seen = Seen {
        sent: record.now(),
        answered: Duration::ZERO,
        try_id: try_id.clone(),
        key: order.key.clone(),
        path: order.path.clone(),
        status: 0,
        stamp: String::new(),
        body: String::new(),
        retry_after: Duration::ZERO,
        error: String::new(),
    };
    record.note(format!("a client sends {try_id} {} {} {} to {to}", order.method, order.path, order.key));
    let exchange = || -> std::io::Result<Option<Message>> {
        let mut wire = Wire::connect(to, Duration::from_secs(1))?;
        wire.write(&head)?;
        let part = vec![b'x'; bytes.min(1 << 20)];
        let mut left = bytes;
        while left > 0 {
            let now = left.min(part.len());
            wire.write(&part[..now])?;
            left -= now;
        }
        // The time counts from the last byte of the request.
        wire.read(Instant::now() + order.time_left + Duration::from_millis(500))
    };
    match exchange() {
        Ok(Some(answer)) => {
            let wait = answer.header("retry-after").parse().unwrap_or(0.0_f64).clamp(0.0, 60.0);
            seen.retry_after = Duration::from_secs_f64(wait).min(order.time_left / 3);
            seen.status = answer.status();
            seen.stamp = answer.header("x-postmark").to_owned();
            seen.body = String::from_utf8_lossy(&answer.body).trim_end_matches('.').to_owned();
        }
        Ok(None) => seen.error = "closed without an answer".to_owned(),
        Err(error) => seen.error = error.to_string(),
    }
    seen.answered = record.now();
    record.note(format!("{try_id} is answered {} {:?} {}", seen.status, seen.stamp, seen.error));
    seen
}
