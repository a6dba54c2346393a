//! The pool of connections to upstreams.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::binary_heap::PeekMut;
use std::collections::{BinaryHeap, HashMap, VecDeque};
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

use crate::MAX_READ_AHEAD_BYTES;
use crate::upload::OutgoingBody;

/// Idle connections are closed after this share of the upstreams' own idle timeout, so that a request does not meet
/// a connection that the upstream is closing.
const IDLE_TIMEOUT_SHARE: f64 = 0.7;
/// Idle timeout of a connection if the settings have none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a connection attempt if the settings have none, and of a whole health probe.
pub const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of requests for which a connection remembers that it carried them. A surplus response stands before those to
/// later requests, so one that has not shown up after this many is not to be expected any more.
const REMEMBERED_REQUESTS: usize = 32;

/// Hash of the id that responses repeat to show which request they belong to.
pub type RequestIdHash = u64;

/// The socket below hyper. The pool can inspect it while hyper uses it, and it counts the bytes written.
struct Socket {
    stream: Rc<RefCell<TokioIo<TcpStream>>>,
    written: Rc<Cell<u64>>,
    _permit: Permit,
    _release_guard: ReleaseGuard,
}

/// Decrements the number of released connections when the socket of a released connection is closed.
struct ReleaseGuard {
    released: Rc<Cell<bool>>,
    closing_count: Rc<Cell<usize>>,
}

impl Drop for ReleaseGuard {
    fn drop(&mut self) {
        if self.released.replace(false) {
            self.closing_count.set(self.closing_count.get() - 1);
        }
    }
}

impl Socket {
    fn count_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
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
        self.count_written(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.count_written(written)
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

/// A connection to an upstream. Dropping it closes the connection.
pub struct Conn {
    /// Sends the next request on the connection.
    pub sender: SendRequest<OutgoingBody>,
    /// The task that drives the connection. Aborting it closes the connection.
    pub driver: AbortHandle,
    stream: Weak<RefCell<TokioIo<TcpStream>>>,
    /// Bytes written to the connection so far.
    pub written: Rc<Cell<u64>>,
    released: Rc<Cell<bool>>,
    address: SocketAddr,
    /// Hashes of the ids of the requests that the connection carried last, oldest first.
    carried: VecDeque<RequestIdHash>,
}

impl Conn {
    /// Records that the connection carries a request with this id.
    pub fn record_request(&mut self, id: RequestIdHash) {
        if self.carried.len() == REMEMBERED_REQUESTS {
            self.carried.pop_front();
        }
        self.carried.push_back(id);
    }

    /// Returns whether the connection carried a request with this id.
    fn has_carried(&self, id: Option<RequestIdHash>) -> bool {
        id.is_some_and(|id| self.carried.contains(&id))
    }

    /// Returns whether the connection is open and has no unexpected input. This asks the kernel, because the runtime
    /// may not have polled the socket since the upstream closed it, and a request on a closed connection would end
    /// in a reset.
    fn is_reusable(&self) -> bool {
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

/// A connection in the pool and when it became idle.
struct IdleConn {
    conn: Conn,
    since: Instant,
}

/// The idle connections by upstream, in the order in which they became idle.
#[derive(Default)]
struct IdleByUpstream {
    by_upstream: HashMap<ServerId, Vec<IdleConn>>,
    /// One entry for each upstream in `by_upstream`: a time at or before which its oldest connection became idle.
    /// With thousands of upstreams, this avoids scanning all of them for each expired connection.
    oldest: BinaryHeap<Reverse<(Instant, ServerId)>>,
}

impl IdleByUpstream {
    fn put(&mut self, server: ServerId, idle: IdleConn) {
        let list = self.by_upstream.entry(server).or_insert_with(|| {
            self.oldest.push(Reverse((idle.since, server)));
            Vec::new()
        });
        list.push(idle);
    }

    /// Returns when the connection that has been idle longest became idle, and its upstream. Connections that were
    /// closed by their upstream are dropped.
    fn oldest(&mut self) -> Option<(Instant, ServerId)> {
        loop {
            let mut first = self.oldest.peek_mut()?;
            let Reverse((since, server)) = *first;
            let Some(list) = self.by_upstream.get_mut(&server) else {
                PeekMut::pop(first);
                continue;
            };
            list.retain(|i| !i.conn.sender.is_closed());
            match list.first().map(|i| i.since) {
                Some(actual) if actual == since => return Some((since, server)),
                Some(actual) => *first = Reverse((actual, server)),
                None => {
                    PeekMut::pop(first);
                    self.by_upstream.remove(&server);
                }
            }
        }
    }

    /// Closes the connection that has been idle longest. Returns whether there was an idle connection.
    fn close_oldest(&mut self) -> bool {
        let Some((_, server)) = self.oldest() else { return false };
        if let Some(list) = self.by_upstream.get_mut(&server) {
            list.remove(0);
        }
        true
    }
}

/// The idle connections, and the limit on all connections.
pub struct Pool {
    idle: RefCell<IdleByUpstream>,
    connection_budget: Rc<Share>,
    /// Number of released connections whose sockets the runtime has not closed yet.
    closing_count: Rc<Cell<usize>>,
    idle_timeout: Cell<Duration>,
    connect_timeout: Cell<Duration>,
    became_nonempty: Notify,
    timeout_changed: Notify,
    /// The number of the last attempt. It starts at a random value in each process.
    attempts: Cell<u64>,
}

impl Pool {
    /// Creates an empty pool. `connection_budget` limits the number of connections.
    pub fn new(limits: &fs::Limits, connection_budget: Rc<Share>) -> Pool {
        let pool = Pool {
            idle: RefCell::default(),
            connection_budget,
            closing_count: Rc::default(),
            idle_timeout: Cell::default(),
            connect_timeout: Cell::default(),
            became_nonempty: Notify::new(),
            timeout_changed: Notify::new(),
            attempts: Cell::new(fastrand::u64(..)),
        };
        pool.set_limits(limits);
        pool
    }

    /// Changes the idle timeout and the connect timeout.
    pub fn set_limits(&self, limits: &fs::Limits) {
        let duration_or = |micros, default| if micros == 0 { default } else { Duration::from_micros(micros) };
        self.idle_timeout.set(duration_or(
            (limits.idle_close as f64 * IDLE_TIMEOUT_SHARE) as Micros,
            DEFAULT_IDLE_TIMEOUT,
        ));
        self.connect_timeout.set(duration_or(limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT));
        self.timeout_changed.notify_one();
    }

    /// Returns the number for the next attempt.
    pub fn next_attempt(&self) -> u64 {
        let number = self.attempts.get().wrapping_add(1);
        self.attempts.set(number);
        number
    }

    /// Returns the number of open connections.
    #[cfg(test)]
    pub fn open_connections(&self) -> usize {
        self.connection_budget.used()
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, server: ServerId) {
        if let Some(list) = self.idle.borrow_mut().by_upstream.get_mut(&server) {
            list.clear();
        }
    }

    /// Takes the most recently used idle connection that can be reused. A request with an id is not sent on a connection
    /// that carried one with the same id: a surplus response to the earlier one could not be told from its own.
    pub fn take(&self, to: &Target, request_id: Option<RequestIdHash>) -> Option<Conn> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.by_upstream.get_mut(&to.server)?;
        let mut index = list.len();
        while index > 0 {
            index -= 1;
            if list[index].conn.has_carried(request_id) {
                continue;
            }
            let IdleConn { conn, since } = list.remove(index);
            if conn.address == to.address && since.elapsed() < self.idle_timeout.get() && conn.is_reusable() {
                return Some(conn);
            }
        }
        None
    }

    /// Puts a connection back for the next request to this upstream.
    pub fn put(&self, server: ServerId, conn: Conn) {
        // While the shared reserve is scarce, borrowed connections are closed so that other pools can use them.
        if self.connection_budget.should_release(self.closing_count.get()) {
            // Counts the connection as released only while its socket exists, because dropping the socket ends the
            // count.
            if conn.stream.upgrade().is_some() && !conn.released.replace(true) {
                self.closing_count.set(self.closing_count.get() + 1);
            }
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let was_empty = idle.oldest.is_empty();
        idle.put(server, IdleConn { conn, since: Instant::now() });
        if was_empty {
            self.became_nonempty.notify_one();
        }
    }

    fn close_oldest(&self) -> bool {
        self.idle.borrow_mut().close_oldest()
    }

    /// Opens a new connection. The error is the outcome of the attempt.
    pub async fn connect(&self, address: SocketAddr) -> Result<Conn, Outcome> {
        // Keeps the limit on file descriptors: an idle connection is closed to make room, or else the attempt is not
        // sent.
        let permit = loop {
            if let Some(permit) = self.connection_budget.acquire(1) {
                break permit;
            }
            if !self.close_oldest() {
                return Err(Outcome::NotSent);
            }
            // The socket is closed only once the task of its connection has been dropped.
            tokio::task::yield_now().await;
        };
        let stream = match timeout(self.connect_timeout.get(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if is_local_exhaustion(&e) => {
                self.close_oldest();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        let stream = Rc::new(RefCell::new(TokioIo::new(stream)));
        let written = Rc::new(Cell::new(0));
        let released = Rc::new(Cell::new(false));
        let release_guard =
            ReleaseGuard { released: released.clone(), closing_count: self.closing_count.clone() };
        let socket = Socket {
            stream: stream.clone(),
            written: written.clone(),
            _permit: permit,
            _release_guard: release_guard,
        };
        let stream = Rc::downgrade(&stream);
        let (sender, connection) = http1::Builder::new()
            // A longer response head is rejected.
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .handshake(socket)
            .await
            .map_err(|_| Outcome::ConnectFailed)?;
        let driver = spawn_local(async move {
            let _ = connection.await;
        });
        Ok(Conn {
            sender,
            driver: driver.abort_handle(),
            stream,
            written,
            released,
            address,
            carried: VecDeque::new(),
        })
    }

    /// Closes connections that have been idle too long. A single timer serves all connections.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            let oldest = {
                let mut idle = self.idle.borrow_mut();
                loop {
                    match idle.oldest() {
                        Some((since, _)) if since.elapsed() >= self.idle_timeout.get() => {
                            _ = idle.close_oldest()
                        }
                        oldest => break oldest.map(|(since, _)| since),
                    }
                }
            };
            match oldest {
                Some(since) => tokio::select! {
                    () = sleep_until(since + self.idle_timeout.get()) => {}
                    // The idle timeout may have changed.
                    () = self.timeout_changed.notified() => {}
                },
                None => self.became_nonempty.notified().await,
            }
        }
    }
}

/// Returns whether a connect error means that this process or machine lacks file descriptors, ports or buffers. The
/// upstream is not at fault then.
fn is_local_exhaustion(e: &io::Error) -> bool {
    // EMFILE, ENFILE, ENOBUFS, EADDRNOTAVAIL.
    matches!(e.raw_os_error(), Some(24 | 23 | 105 | 99))
}
