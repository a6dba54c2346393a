//! The I/O layer between a client's socket and hyper. It passes only valid request heads to hyper, and never more
//! than one request at a time. It also tracks the stage of each connection, its timeouts and the idle connections.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::framing::{Framing, request};

/// A connection that has been idle for less than this time is not closed to make room for others.
const SPARED: Duration = Duration::from_millis(100);
/// Maximum size of a request head in bytes.
const MOST_HEAD: usize = 16 * 1024;
/// Minimum rate of a request body on the platform, in bytes per second. This is half the rate of the platform's
/// slowest clients.
const SLOWEST: u64 = 32 * 1000;
/// Maximum number of bytes per read from the socket.
const CHUNK: usize = 16 * 1024;

/// Time limits for the stages of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageTimeouts {
    /// How long a connection without an open request is kept.
    pub idle: Duration,
    /// Maximum time for a request head, from its first byte.
    pub head: Duration,
    /// Maximum time for a request body, from the end of the head. `body_min_rate` extends this time.
    pub body: Duration,
    /// Rate in bytes per second that extends the time for a body: each received byte adds the time that it takes at
    /// this rate. This tolerates slow senders. 0 adds nothing.
    pub body_min_rate: u64,
    /// Maximum time without any byte of a body, whatever `body_min_rate` allows.
    pub body_silence: Duration,
    /// Maximum time without data from the upstream while a response is streamed.
    pub upstream_stall: Duration,
    /// Maximum time in which a client reads nothing of its response. It is far longer than the other limits, because
    /// the kernel reports a writable socket only when a third of its buffer is free. For a slow client that can be
    /// megabytes.
    pub client_stall: Duration,
}

impl Default for StageTimeouts {
    fn default() -> StageTimeouts {
        let [idle, head, body, silence] = [2000, 2600, 1200, 2000].map(Duration::from_millis);
        let [stall, stuck] = [6000, 30_000].map(Duration::from_millis);
        StageTimeouts {
            idle,
            head,
            body,
            body_min_rate: SLOWEST,
            body_silence: silence,
            upstream_stall: stall,
            client_stall: stuck,
        }
    }
}

/// The stage of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// No byte of the next request was received.
    Idle,
    /// A part of a request head was received.
    Head,
    /// The head was received and the body is being received.
    Body,
    /// The whole request was received and has no response yet.
    Open,
    /// The response is being streamed.
    Answering,
}

/// Why a request was rejected. The connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The request is malformed, or its end is not certain.
    Bad,
    /// The head exceeds the size limit.
    TooLarge,
}

/// The idle client connections, ordered from the one that has been idle longest.
pub struct IdleConnections {
    pace: Cell<StageTimeouts>,
    idle: RefCell<BTreeMap<u64, (Instant, AbortHandle)>>,
    next: Cell<u64>,
}

impl IdleConnections {
    /// Creates an empty set.
    pub fn new(pace: StageTimeouts) -> Rc<IdleConnections> {
        Rc::new(IdleConnections { pace: Cell::new(pace), idle: RefCell::default(), next: Cell::default() })
    }

    /// Changes the time limits of all connections.
    pub fn set_pace(&self, pace: StageTimeouts) {
        self.pace.set(pace);
    }

    /// Closes the connection that has been idle longest. The error is the time at which it may be closed, or `None`
    /// if no connection is idle. A new connection is not closed at once because its first request may be in transit.
    pub fn close_oldest(&self) -> Result<(), Option<Instant>> {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.first_entry().ok_or(None)?;
        let ripe = oldest.get().0 + SPARED;
        if ripe > Instant::now() {
            return Err(Some(ripe));
        }
        oldest.remove().1.abort();
        Ok(())
    }
}

/// The state of a client connection, shared by the I/O layer below hyper and the server above it.
pub struct Progress {
    crowd: Rc<IdleConnections>,
    task: RefCell<Option<AbortHandle>>,
    stage: Cell<Stage>,
    since: Cell<Instant>,
    first_byte: Cell<Instant>,
    /// Bytes of the request passed to hyper since its head began.
    passed: Cell<u64>,
    /// When the last byte was received, or when reading resumed.
    came: Cell<Instant>,
    /// Since when hyper has not asked for more input, because the upstream of a streamed body does not accept data.
    held_up: Cell<Option<Instant>>,
    /// Total time since the head began during which the upstream accepted no data.
    held: Cell<Duration>,
    /// How long a streamed request may wait in the queue before it is sent.
    waits: Cell<Duration>,
    place: Cell<Option<u64>>,
    fault: Cell<Option<Fault>>,
    chunked: Cell<bool>,
    unread: Cell<bool>,
    stuck: Cell<bool>,
    /// When bytes were last written to the client.
    written: Cell<Instant>,
}

impl Progress {
    /// Creates the state of a new connection.
    pub fn new(crowd: Rc<IdleConnections>) -> Rc<Progress> {
        let now = Instant::now();
        Rc::new(Progress {
            crowd,
            task: RefCell::default(),
            stage: Cell::new(Stage::Open),
            since: Cell::new(now),
            first_byte: Cell::new(now),
            passed: Cell::default(),
            came: Cell::new(now),
            held_up: Cell::default(),
            held: Cell::default(),
            waits: Cell::default(),
            place: Cell::default(),
            fault: Cell::default(),
            chunked: Cell::default(),
            unread: Cell::default(),
            stuck: Cell::default(),
            written: Cell::new(now),
        })
    }

    /// Sets the connection's task, which is aborted if the idle connection is evicted, and enters the idle stage.
    pub fn of(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
        self.enter(Stage::Idle);
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Enters a stage and resets the times that belong to it.
    fn enter(&self, stage: Stage) {
        let now = Instant::now();
        if stage == Stage::Head {
            self.first_byte.set(now);
            self.passed.set(0);
            self.held.set(Duration::ZERO);
            self.waits.set(Duration::ZERO);
        }
        self.held_up.set(None);
        self.stage.set(stage);
        self.since.set(now);
        self.leave_crowd();
        if let (Stage::Idle, Some(task)) = (stage, &*self.task.borrow()) {
            let place = self.crowd.next.get();
            self.crowd.next.set(place + 1);
            self.crowd.idle.borrow_mut().insert(place, (now, task.clone()));
            self.place.set(Some(place));
        }
    }

    /// Removes the connection from the idle connections.
    fn leave_crowd(&self) {
        if let Some(place) = self.place.take() {
            self.crowd.idle.borrow_mut().remove(&place);
        }
    }

    /// Records that bytes of the request were received and passed to hyper.
    fn came(&self, bytes: u64) {
        self.passed.set(self.passed.get().saturating_add(bytes));
        let now = Instant::now();
        self.came.set(now);
        self.held_up.set(Some(now));
    }

    /// Records that hyper asks for more input. From here on, a delay is caused by the client.
    fn asked(&self) {
        if let Some(since) = self.held_up.take() {
            let now = Instant::now();
            self.held.set(self.held.get() + (now - since));
            self.came.set(now);
        }
    }

    /// Records that the body is streamed. `waits` is how long the request may wait in the queue before it is sent.
    pub fn passes(&self, waits: Duration) {
        self.waits.set(waits);
    }

    /// Returns whether the body waits for an upstream that accepts no data.
    pub fn held_up(&self) -> bool {
        self.stage.get() == Stage::Body && self.held_up.get().is_some()
    }

    /// Records that the whole request was received.
    pub fn taken(&self) {
        self.unread.set(false);
        self.enter(Stage::Open);
    }

    /// Records that the response has begun.
    pub fn answering(&self) {
        self.enter(Stage::Answering);
    }

    /// Records that the response has ended. The next request may be parsed.
    pub fn answered(&self) {
        self.enter(Stage::Idle);
    }

    /// Returns whether the body is chunked. Only hyper knows where such a request ends, so no request may follow it
    /// on this connection.
    pub fn chunked(&self) -> bool {
        self.chunked.get()
    }

    /// Returns when the current stage times out. A request that waits for its response has its own deadline and no
    /// stage timeout.
    pub fn due(&self) -> Option<Instant> {
        let pace = self.crowd.pace.get();
        match self.stage.get() {
            Stage::Idle | Stage::Answering if self.stuck.get() => {
                Some(self.written.get() + pace.client_stall)
            }
            // A client that is still reading its last response is not idle yet.
            Stage::Idle => Some(self.since.get().max(self.written.get()) + pace.idle),
            Stage::Head => Some(self.first_byte.get() + pace.head),
            // This delay is caused by the upstream.
            Stage::Body if self.held_up() => {
                self.held_up.get().map(|since| since + pace.upstream_stall.max(self.waits.get()))
            }
            Stage::Body => {
                let earned = match pace.body_min_rate {
                    0 => Duration::ZERO,
                    rate => Duration::from_secs_f64(self.passed.get() as f64 / rate as f64),
                };
                // A whole request has at least the time limit of a head.
                let least = self.first_byte.get() + pace.head;
                let slow = (self.since.get() + pace.body).max(least) + earned + self.held.get();
                Some(slow.min((self.came.get() + pace.body_silence).max(least)))
            }
            Stage::Open => None,
            Stage::Answering => Some(self.since.get().max(self.written.get()) + pace.upstream_stall),
        }
    }

    /// Returns why a request was rejected, if one was.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// Returns whether the client may still be sending the request.
    pub fn unread(&self) -> bool {
        self.unread.get()
    }

    /// Returns whether an earlier response is not fully written. No error response can follow it.
    pub fn stuck(&self) -> bool {
        self.stuck.get()
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.leave_crowd();
    }
}

/// What the next input bytes are.
enum Next {
    /// A request head, which must be validated first.
    Head,
    /// This number of bytes is passed to hyper without inspection.
    Pass(u64),
    /// All further bytes are passed to hyper without inspection.
    All,
}

/// The connection between a client's socket and hyper.
pub struct ClientIo {
    stream: TcpStream,
    progress: Rc<Progress>,
    /// Input that was read from the socket and not yet passed to hyper.
    held: Vec<u8>,
    next: Next,
}

impl ClientIo {
    /// Wraps a socket from which nothing was read yet.
    pub fn new(stream: TcpStream, progress: Rc<Progress>) -> ClientIo {
        ClientIo { stream, progress, held: Vec::new(), next: Next::Head }
    }

    /// Returns the socket once hyper has released the connection.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Reads up to `most` bytes into the buffer. Returns the number of bytes read.
    fn fill(&mut self, cx: &mut Context<'_>, most: usize) -> Poll<io::Result<usize>> {
        let mut chunk = [MaybeUninit::uninit(); CHUNK];
        let mut read = ReadBuf::uninit(&mut chunk[..most.min(CHUNK)]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.held.extend_from_slice(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Passes buffered input to hyper, up to `most` bytes. Returns the number of bytes passed.
    fn pass(&mut self, buf: &mut ReadBufCursor<'_>, most: u64) -> u64 {
        let n = self.held.len().min(buf.remaining()).min(usize::try_from(most).unwrap_or(usize::MAX));
        buf.put_slice(&self.held[..n]);
        self.held.drain(..n);
        if self.held.is_empty() {
            self.held = Vec::new();
        }
        n as u64
    }

    /// Rejects the input. No more input is passed to hyper.
    fn refuse(&mut self, fault: Fault) -> Poll<io::Result<()>> {
        self.progress.fault.set(Some(fault));
        self.progress.unread.set(true);
        self.held = Vec::new();
        // Hyper sees the end of the input. The error response is sent after hyper has released the connection.
        Poll::Ready(Ok(()))
    }
}

impl Read for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.progress.fault().is_some() {
            return Poll::Ready(Ok(()));
        }
        loop {
            match this.next {
                Next::Head
                    if matches!(this.progress.stage(), Stage::Body | Stage::Open | Stage::Answering) =>
                {
                    // Reads on to notice whether the client disconnects. Input that arrives before the response has
                    // ended is buffered.
                    let room = MOST_HEAD - this.held.len().min(MOST_HEAD);
                    if room == 0 {
                        return Poll::Pending;
                    }
                    if ready!(this.fill(cx, room))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                Next::Head => {
                    if !this.held.is_empty() && this.progress.stage() == Stage::Idle {
                        this.progress.enter(Stage::Head);
                    }
                    match request(&this.held) {
                        Err(()) => return this.refuse(Fault::Bad),
                        Ok(Some((head, framing))) => {
                            let head = head as u64;
                            this.progress.chunked.set(framing == Framing::Chunked);
                            this.progress.unread.set(framing != Framing::Length(0));
                            this.progress.enter(Stage::Body);
                            this.next = match framing {
                                Framing::Length(n) => Next::Pass(head.saturating_add(n)),
                                Framing::Chunked => Next::All,
                            };
                        }
                        Ok(None) if this.held.len() >= MOST_HEAD => return this.refuse(Fault::TooLarge),
                        Ok(None) => {
                            if ready!(this.fill(cx, MOST_HEAD - this.held.len()))? == 0 {
                                return Poll::Ready(Ok(()));
                            }
                        }
                    }
                }
                Next::Pass(0) => this.next = Next::Head,
                Next::Pass(n) => {
                    this.progress.asked();
                    if this.held.is_empty() && ready!(this.fill(cx, CHUNK))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    let passed = this.pass(&mut buf, n);
                    this.progress.came(passed);
                    this.next = Next::Pass(n - passed);
                    return Poll::Ready(Ok(()));
                }
                Next::All => {
                    this.progress.asked();
                    if this.held.is_empty() && ready!(this.fill(cx, CHUNK))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    let passed = this.pass(&mut buf, u64::MAX);
                    this.progress.came(passed);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl ClientIo {
    /// Records whether a write succeeded or is blocked.
    fn note<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.progress.stuck.set(written.is_pending());
        if matches!(written, Poll::Ready(Ok(_))) {
            self.progress.written.set(Instant::now());
        }
        written
    }
}

impl Write for ClientIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Runs a test with the clock paused.
    fn paused(test: impl AsyncFnOnce(Rc<Progress>)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        // The state is created inside the runtime, where the clock is paused.
        let test = async { test(Progress::new(IdleConnections::new(StageTimeouts::default()))).await };
        runtime.expect("a runtime").block_on(test);
    }

    const HALF: Duration = Duration::from_millis(500);

    #[test]
    fn a_body_that_comes_slowly_has_its_time_and_one_that_stops_has_not() {
        paused(async |progress| {
            let start = Instant::now();
            progress.enter(Stage::Head);
            progress.enter(Stage::Body);
            // 64 kB per second for 20 s.
            for _ in 0..40 {
                tokio::time::advance(HALF).await;
                progress.came(32_000);
                progress.asked();
                assert!(progress.due().expect("a time") > Instant::now() + HALF);
            }
            // A client that sends only a head must get an error within 3 s of connecting.
            progress.answered();
            let begun = Instant::now();
            progress.enter(Stage::Head);
            progress.enter(Stage::Body);
            assert!(progress.due().expect("a time") < begun + Duration::from_secs(3));
            // The silence limit also applies after a large amount of data was received.
            let much = Instant::now();
            progress.came(2_000_000);
            progress.asked();
            assert!(progress.due().expect("a time") < much + Duration::from_secs(3));
            assert!(begun > start);
            // While an upstream blocks the body, the stall limit applies. Afterwards the client has its whole
            // silence limit again.
            let pace = StageTimeouts::default();
            progress.came(1000);
            assert!(progress.held_up());
            assert_eq!(progress.due(), Some(Instant::now() + pace.upstream_stall));
            tokio::time::advance(10 * HALF).await;
            progress.asked();
            assert!(!progress.held_up());
            assert_eq!(progress.due(), Some(Instant::now() + pace.body_silence));
        });
    }

    #[test]
    fn one_that_takes_its_answer_slowly_is_not_idle_and_an_upstream_that_stops_is_not_waited_for() {
        paused(async |progress| {
            progress.taken();
            assert_eq!(progress.due(), None);
            progress.answering();
            let pace = StageTimeouts::default();
            assert_eq!(progress.due(), Some(Instant::now() + pace.upstream_stall));
            tokio::time::advance(HALF).await;
            // A part of the response was written, then the client stopped reading.
            progress.written.set(Instant::now());
            progress.stuck.set(true);
            assert_eq!(progress.due(), Some(Instant::now() + pace.client_stall));
            progress.answered();
            assert_eq!(progress.due(), Some(Instant::now() + pace.client_stall));
            progress.stuck.set(false);
            assert_eq!(progress.due(), Some(Instant::now() + pace.idle));
        });
    }
}
