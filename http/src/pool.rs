//! The pool of connections to upstreams.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::binary_heap::PeekMut;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::Duration;

use finchshift as fs;
use finchshift::{Micros, Outcome, ServerId};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use sloeline_engine::types::Target;
use sloeline_limits::{Permit, Share};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

use crate::MOST_HEAD;
use crate::upload::OutgoingBody;

/// Part of the upstreams' idle time after which a connection is closed here: far from crossing theirs.
const KEEP: f64 = 0.7;
/// How long an idle connection is kept where the settings name no time.
const KEEP_UNTOLD: Duration = Duration::from_secs(3);
/// A connection attempt's limit where the settings name none, and a probe's in all.
pub const CONNECT_UNTOLD: Duration = Duration::from_secs(1);
/// The socket as hyper's connection holds it: it can be looked at from outside and counts what is written.
struct Socket {
    stream: Rc<RefCell<TokioIo<TcpStream>>>,
    written: Rc<Cell<u64>>,
    _place: Permit,
    _leaves: Leaves,
}

/// Tells the pool when a connection that it gave up is closed.
struct Leaves {
    given_up: Rc<Cell<bool>>,
    leaving: Rc<Cell<usize>>,
}

impl Drop for Leaves {
    fn drop(&mut self) {
        if self.given_up.replace(false) {
            self.leaving.set(self.leaving.get() - 1);
        }
    }
}

impl Socket {
    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = written {
            self.written.set(self.written.get() + n as u64);
        }
        written
    }
}

impl Read for Socket {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: ReadBufCursor<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf)
    }
}

impl Write for Socket {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        self.count(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
    }
}

/// A connection; dropped, it is closed.
pub struct Conn {
    /// Takes the next request.
    pub sender: SendRequest<OutgoingBody>,
    /// What moves its bytes; ended, the connection is closed.
    pub driver: AbortHandle,
    stream: Weak<RefCell<TokioIo<TcpStream>>>,
    /// Bytes written so far.
    pub written: Rc<Cell<u64>>,
    given_up: Rc<Cell<bool>>,
    address: SocketAddr,
}

impl Conn {
    /// Nothing has come and the peer has not closed. Asks the kernel: the runtime may not have looked since,
    /// and a request on a closed connection would end as a reset.
    fn fresh(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else { return false };
        let mut byte = [MaybeUninit::uninit()];
        let stream = stream.borrow();
        let peeked = SockRef::from(stream.inner()).peek(&mut byte);
        !self.sender.is_closed() && peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

struct Idle {
    conn: Conn,
    since: Instant,
}

/// The idle connections, each upstream's in the order in which they came.
#[derive(Default)]
struct Idles {
    of: HashMap<ServerId, Vec<Idle>>,
    /// For each upstream in `of`, one entry: its oldest connection has been idle since then, or only later. Guards the
    /// processor: with thousands of upstreams nothing may look at all of them for each connection that grows old.
    oldest: BinaryHeap<Reverse<(Instant, ServerId)>>,
}

impl Idles {
    fn put(&mut self, server: ServerId, idle: Idle) {
        let list = self.of.entry(server).or_insert_with(|| {
            self.oldest.push(Reverse((idle.since, server)));
            Vec::new()
        });
        list.push(idle);
    }

    /// Since when the oldest of all has been idle, and whose it is. Those whose upstream has closed them are dropped.
    fn oldest(&mut self) -> Option<(Instant, ServerId)> {
        loop {
            let mut first = self.oldest.peek_mut()?;
            let Reverse((since, server)) = *first;
            let Some(list) = self.of.get_mut(&server) else {
                PeekMut::pop(first);
                continue;
            };
            list.retain(|i| !i.conn.sender.is_closed());
            match list.first().map(|i| i.since) {
                Some(now) if now == since => return Some((since, server)),
                Some(now) => *first = Reverse((now, server)),
                None => {
                    PeekMut::pop(first);
                    self.of.remove(&server);
                }
            }
        }
    }

    /// Closes the one that has been idle longest; tells whether there was one.
    fn close_oldest(&mut self) -> bool {
        let Some((_, server)) = self.oldest() else { return false };
        if let Some(list) = self.of.get_mut(&server) {
            list.remove(0);
        }
        true
    }
}

/// The connections that are idle, and how many there are in all.
pub struct Pool {
    idle: RefCell<Idles>,
    places: Rc<Share>,
    /// Connections given up whose sockets the runtime has not closed yet.
    leaving: Rc<Cell<usize>>,
    keep: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    filled: Notify,
    changed: Notify,
    /// Numbers attempts, from a start that is drawn anew in each life of the process.
    attempts: Cell<u64>,
}

impl Pool {
    /// None yet, and never more than the share allows.
    pub fn new(limits: &fs::Limits, places: Rc<Share>) -> Pool {
        let pool = Pool {
            idle: RefCell::default(),
            places,
            leaving: Rc::default(),
            keep: Cell::default(),
            connect_timeout: Cell::default(),
            filled: Notify::new(),
            changed: Notify::new(),
            attempts: Cell::new(fastrand::u64(..)),
        };
        pool.set(limits);
        pool
    }

    /// Changes how long connections are kept and may take to come up.
    pub fn set(&self, limits: &fs::Limits) {
        let span = |micros, untold| if micros == 0 { untold } else { Duration::from_micros(micros) };
        self.keep.set(span((limits.idle_close as f64 * KEEP) as Micros, KEEP_UNTOLD));
        self.connect_timeout.set(span(limits.connect_timeout, CONNECT_UNTOLD));
        self.changed.notify_one();
    }

    /// The number of the next attempt.
    pub fn next_attempt(&self) -> u64 {
        let number = self.attempts.get().wrapping_add(1);
        self.attempts.set(number);
        number
    }

    /// Connections that are open.
    #[cfg(test)]
    pub fn open(&self) -> usize {
        self.places.used()
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(list) = self.idle.borrow_mut().of.get_mut(&server) {
            list.clear();
        }
    }

    /// The idle connection used last that is still good.
    pub fn take(&self, to: Target) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.of.get_mut(&to.server)?;
        while let Some(Idle { conn, since }) = list.pop() {
            if conn.address == to.address && since.elapsed() < self.keep.get() && conn.fresh() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection for the next request to this upstream.
    pub fn put(&self, server: ServerId, conn: Conn) {
        // Guards other pools: what was borrowed of the common reserve goes back while it is scarce.
        if self.places.should_release(self.leaving.get()) {
            // While its socket is there, which tells when it is not.
            if conn.stream.upgrade().is_some() && !conn.given_up.replace(true) {
                self.leaving.set(self.leaving.get() + 1);
            }
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let first = idle.oldest.is_empty();
        idle.put(server, Idle { conn, since: Instant::now() });
        if first {
            self.filled.notify_one();
        }
    }

    fn close_oldest(&self) -> bool {
        self.idle.borrow_mut().close_oldest()
    }

    /// A new connection, or why there is none.
    pub async fn connect(&self, address: SocketAddr) -> Result<Conn, Outcome> {
        // Guards the limit on descriptors: a connection is turned into another, or the attempt is not sent.
        let place = loop {
            if let Some(place) = self.places.acquire(1) {
                break place;
            }
            if !self.close_oldest() {
                return Err(Outcome::NotSent);
            }
            // The socket is closed once its task has been dropped.
            tokio::task::yield_now().await;
        };
        let stream = match timeout(self.connect_timeout.get(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_sockets(&e) => {
                self.close_oldest();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(RefCell::new(TokioIo::new(stream)));
        let written = Rc::new(Cell::new(0));
        let given_up = Rc::new(Cell::new(false));
        let leaves = Leaves { given_up: given_up.clone(), leaving: self.leaving.clone() };
        let socket =
            Socket { stream: stream.clone(), written: written.clone(), _place: place, _leaves: leaves };
        let stream = Rc::downgrade(&stream);
        let (sender, connection) = http1::Builder::new()
            // A head that does not end is given up there.
            .max_buf_size(MOST_HEAD)
            .handshake(socket)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let driver = spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Conn { sender, driver: driver.abort_handle(), stream, written, given_up, address })
    }

    /// Closes connections that have been idle too long; one sleep for all of them.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            let oldest = {
                let mut idle = self.idle.borrow_mut();
                loop {
                    match idle.oldest() {
                        Some((since, _)) if since.elapsed() >= self.keep.get() => _ = idle.close_oldest(),
                        other => break other.map(|(since, _)| since),
                    }
                }
            };
            match oldest {
                Some(since) => tokio::select! {
                    () = sleep_until(since + self.keep.get()) => {}
                    // Another time may hold from now on.
                    () = self.changed.notified() => {}
                },
                None => self.filled.notified().await,
            }
        }
    }
}

/// The process or the machine has no descriptor, port or buffer left: nothing of the upstream's.
fn out_of_sockets(e: &io::Error) -> bool {
    // EMFILE, ENFILE, ENOBUFS, EADDRNOTAVAIL.
    matches!(e.raw_os_error(), Some(24 | 23 | 105 | 99))
}
