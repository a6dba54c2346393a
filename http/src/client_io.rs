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

use crate::framing::{Framing, parse_request_head};

/// A connection that has been idle for less than this time is not closed to make room for others.
const MIN_IDLE_BEFORE_EVICTION: Duration = Duration::from_millis(100);
/// Minimum rate of a request body on the platform, in bytes per second. This is half the rate of the platform's
/// slowest clients.
const PLATFORM_MIN_BODY_RATE: u64 = 32 * 1000;
/// Upper bound for the time that a client waits for a response.
const MAX_TIME_LEFT: Duration = Duration::from_secs(24 * 3600);
/// Maximum number of bytes per read from the socket.
const READ_CHUNK_BYTES: usize = 16 * 1024;

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
    /// Whether a body may take as long as the client waits for its response, if that is longer than the limits above.
    pub body_within_time_left: bool,
    /// Maximum time without data from the upstream while a response is streamed. A response is never ended for this before
    /// the deadline of its request.
    pub upstream_stall: Duration,
    /// Maximum time in which a client reads nothing of its response. It is far longer than the other limits, because
    /// the kernel reports a writable socket only when a third of its buffer is free. For a slow client that can be
    /// megabytes.
    pub client_stall: Duration,
}

impl Default for StageTimeouts {
    fn default() -> StageTimeouts {
        let [idle, head, body, body_silence] = [2000, 2600, 1200, 2000].map(Duration::from_millis);
        let [upstream_stall, client_stall] = [6000, 30_000].map(Duration::from_millis);
        StageTimeouts {
            idle,
            head,
            body,
            body_min_rate: PLATFORM_MIN_BODY_RATE,
            body_silence,
            body_within_time_left: false,
            upstream_stall,
            client_stall,
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
    AwaitingResponse,
    /// The response is being streamed.
    Responding,
}

/// Why a request was rejected. The connection cannot be used any more.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestError {
    /// The request is malformed, or its end is not certain.
    Malformed,
    /// The head exceeds the size limit.
    HeadTooLarge,
}

/// Number of client connections by what they wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionCounts {
    /// Without an open request.
    pub idle: usize,
    /// A part of a request was received.
    pub receiving: usize,
    /// The whole request was received and has no response yet.
    pub awaiting_response: usize,
    /// The response is being streamed.
    pub responding: usize,
    /// The client does not read what is written to it. These connections are counted by their stage as well.
    pub write_blocked: usize,
}

impl ConnectionCounts {
    /// Number of connections with an open request.
    pub fn open_requests(&self) -> usize {
        self.receiving + self.awaiting_response + self.responding
    }

    fn of_stage(&mut self, stage: Stage) -> &mut usize {
        match stage {
            Stage::Idle => &mut self.idle,
            Stage::Head | Stage::Body => &mut self.receiving,
            Stage::AwaitingResponse => &mut self.awaiting_response,
            Stage::Responding => &mut self.responding,
        }
    }
}

/// The idle client connections, ordered from the one that has been idle longest, and the counts of all connections.
pub struct IdleConnections {
    timeouts: Cell<StageTimeouts>,
    /// Maximum size of a request head in bytes.
    max_head_bytes: Cell<usize>,
    counts: Cell<ConnectionCounts>,
    idle: RefCell<BTreeMap<u64, (Instant, AbortHandle)>>,
    next_key: Cell<u64>,
}

impl IdleConnections {
    /// Creates an empty set of idle connections. All connections of the listener use these time limits, and this maximum
    /// size of a request head in bytes.
    pub fn new(timeouts: StageTimeouts, max_head_bytes: usize) -> Rc<IdleConnections> {
        Rc::new(IdleConnections {
            timeouts: Cell::new(timeouts),
            max_head_bytes: Cell::new(max_head_bytes),
            counts: Cell::default(),
            idle: RefCell::default(),
            next_key: Cell::default(),
        })
    }

    /// Changes the time limits of all connections, and the maximum size of the request heads that arrive from now on.
    pub fn set_limits(&self, timeouts: StageTimeouts, max_head_bytes: usize) {
        self.timeouts.set(timeouts);
        self.max_head_bytes.set(max_head_bytes);
    }

    /// Number of connections by what they wait for.
    pub fn counts(&self) -> ConnectionCounts {
        self.counts.get()
    }

    fn update_counts(&self, update: impl FnOnce(&mut ConnectionCounts)) {
        let mut counts = self.counts.get();
        update(&mut counts);
        self.counts.set(counts);
    }

    /// Closes the connection that has been idle longest. The error is the time at which it may be closed, or `None`
    /// if no connection is idle. A new connection is not closed at once because its first request may be in transit.
    pub fn close_oldest(&self) -> Result<(), Option<Instant>> {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.first_entry().ok_or(None)?;
        let closable_at = oldest.get().0 + MIN_IDLE_BEFORE_EVICTION;
        if closable_at > Instant::now() {
            return Err(Some(closable_at));
        }
        oldest.remove().1.abort();
        Ok(())
    }
}

/// The state of a client connection, shared by the I/O layer below hyper and the server above it.
pub struct ConnectionState {
    idle_connections: Rc<IdleConnections>,
    task: RefCell<Option<AbortHandle>>,
    stage: Cell<Stage>,
    stage_since: Cell<Instant>,
    first_byte_at: Cell<Instant>,
    /// Bytes of the request passed to hyper since its head began.
    received_bytes: Cell<u64>,
    /// When the last byte was received, or when reading resumed.
    last_received_at: Cell<Instant>,
    /// Since when hyper has not asked for more input, because the upstream of a streamed body does not accept data.
    blocked_since: Cell<Option<Instant>>,
    /// Total time since the head began during which the upstream accepted no data.
    blocked_total: Cell<Duration>,
    /// How long the client waits for a response once its request is complete.
    time_left: Cell<Duration>,
    /// When the client stops waiting for the response; set once its request is complete.
    request_deadline: Cell<Option<Instant>>,
    idle_key: Cell<Option<u64>>,
    error: Cell<Option<RequestError>>,
    chunked: Cell<bool>,
    /// Whether a part of the request may be sent on before all of it is received.
    forwarded_early: Cell<bool>,
    unread_input: Cell<bool>,
    write_blocked: Cell<bool>,
    /// When bytes were last written to the client.
    last_write_at: Cell<Instant>,
}

impl ConnectionState {
    /// Creates the state of a new connection.
    pub fn new(idle_connections: Rc<IdleConnections>) -> Rc<ConnectionState> {
        let now = Instant::now();
        idle_connections.update_counts(|counts| *counts.of_stage(Stage::Idle) += 1);
        Rc::new(ConnectionState {
            idle_connections,
            task: RefCell::default(),
            stage: Cell::new(Stage::Idle),
            stage_since: Cell::new(now),
            first_byte_at: Cell::new(now),
            received_bytes: Cell::default(),
            last_received_at: Cell::new(now),
            blocked_since: Cell::default(),
            blocked_total: Cell::default(),
            time_left: Cell::default(),
            request_deadline: Cell::default(),
            idle_key: Cell::default(),
            error: Cell::default(),
            chunked: Cell::default(),
            forwarded_early: Cell::default(),
            unread_input: Cell::default(),
            write_blocked: Cell::default(),
            last_write_at: Cell::new(now),
        })
    }

    /// Sets the connection's task, which is aborted if the idle connection is evicted, and enters the idle stage.
    pub fn attach_task(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
        self.enter(Stage::Idle);
    }

    /// Returns the current stage of the connection.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Enters a stage and resets the times that belong to it.
    fn enter(&self, stage: Stage) {
        let now = Instant::now();
        if stage == Stage::Head {
            self.first_byte_at.set(now);
            self.received_bytes.set(0);
            self.blocked_total.set(Duration::ZERO);
            self.time_left.set(Duration::ZERO);
            self.request_deadline.set(None);
            self.forwarded_early.set(false);
        }
        self.blocked_since.set(None);
        let previous = self.stage.replace(stage);
        self.idle_connections.update_counts(|counts| {
            *counts.of_stage(previous) -= 1;
            *counts.of_stage(stage) += 1;
        });
        self.stage_since.set(now);
        self.leave_idle();
        if let (Stage::Idle, Some(task)) = (stage, &*self.task.borrow()) {
            let key = self.idle_connections.next_key.get();
            self.idle_connections.next_key.set(key + 1);
            self.idle_connections.idle.borrow_mut().insert(key, (now, task.clone()));
            self.idle_key.set(Some(key));
        }
    }

    /// Removes the connection from the idle connections.
    fn leave_idle(&self) {
        if let Some(key) = self.idle_key.take() {
            self.idle_connections.idle.borrow_mut().remove(&key);
        }
    }

    /// Records that bytes of the request were received and passed to hyper.
    fn record_received(&self, bytes: u64) {
        self.received_bytes.set(self.received_bytes.get().saturating_add(bytes));
        let now = Instant::now();
        self.last_received_at.set(now);
        self.blocked_since.set(Some(now));
    }

    /// Records that hyper asks for more input. From here on, a delay is caused by the client.
    fn record_read(&self) {
        if let Some(since) = self.blocked_since.take() {
            let now = Instant::now();
            self.blocked_total.set(self.blocked_total.get() + (now - since));
            self.last_received_at.set(now);
        }
    }

    /// Sets how long the client waits for a response once its request is complete.
    pub fn set_time_left(&self, time_left: Duration) {
        self.time_left.set(time_left.min(MAX_TIME_LEFT));
    }

    /// Returns whether the body waits for an upstream that accepts no data.
    pub fn is_upstream_blocked(&self) -> bool {
        self.stage.get() == Stage::Body && self.blocked_since.get().is_some()
    }

    /// Records that the request is sent on while it is being received.
    pub fn set_forwarded_early(&self) {
        self.forwarded_early.set(true);
    }

    /// Returns whether a part of the request may have been sent on before all of it was received.
    pub fn is_forwarded_early(&self) -> bool {
        self.forwarded_early.get()
    }

    /// Records that the whole request was received.
    pub fn request_received(&self) {
        self.unread_input.set(false);
        self.request_deadline.set(Some(Instant::now() + self.time_left.get()));
        self.enter(Stage::AwaitingResponse);
    }

    /// Records that the response has begun.
    pub fn response_started(&self) {
        self.enter(Stage::Responding);
    }

    /// Records that the response has ended. The next request may be parsed.
    pub fn response_finished(&self) {
        self.enter(Stage::Idle);
    }

    /// Returns whether the body is chunked. Only hyper knows where such a request ends, so no request may follow it
    /// on this connection.
    pub fn is_chunked(&self) -> bool {
        self.chunked.get()
    }

    /// Returns when the current stage times out. A request that waits for its response has its own deadline and no
    /// stage timeout.
    pub fn stage_deadline(&self) -> Option<Instant> {
        let timeouts = self.idle_connections.timeouts.get();
        match self.stage.get() {
            Stage::Idle | Stage::Responding if self.write_blocked.get() => {
                Some(self.last_write_at.get() + timeouts.client_stall)
            }
            // A client that is still reading its last response is not idle yet.
            Stage::Idle => Some(self.stage_since.get().max(self.last_write_at.get()) + timeouts.idle),
            Stage::Head => Some(self.first_byte_at.get() + timeouts.head),
            // This delay is caused by the upstream.
            Stage::Body if self.is_upstream_blocked() => self
                .blocked_since
                .get()
                .map(|since| since + timeouts.upstream_stall.max(self.time_left.get())),
            Stage::Body => {
                let rate_allowance = match timeouts.body_min_rate {
                    0 => Duration::ZERO,
                    rate => Duration::from_secs_f64(self.received_bytes.get() as f64 / rate as f64),
                };
                // A whole request has at least the time limit of a head.
                let minimum = self.first_byte_at.get() + timeouts.head;
                let rate_deadline = (self.stage_since.get() + timeouts.body).max(minimum)
                    + rate_allowance
                    + self.blocked_total.get();
                let silence_deadline = (self.last_received_at.get() + timeouts.body_silence).max(minimum);
                let deadline = rate_deadline.min(silence_deadline);
                let time_left =
                    if timeouts.body_within_time_left { self.time_left.get() } else { Duration::ZERO };
                Some(deadline.max(self.stage_since.get() + time_left))
            }
            Stage::AwaitingResponse => None,
            Stage::Responding => {
                let stalled = self.stage_since.get().max(self.last_write_at.get()) + timeouts.upstream_stall;
                Some(self.request_deadline.get().map_or(stalled, |deadline| deadline.max(stalled)))
            }
        }
    }

    /// Returns why a request was rejected, if one was.
    pub fn error(&self) -> Option<RequestError> {
        self.error.get()
    }

    /// Returns whether the client may still be sending the request.
    pub fn has_unread_input(&self) -> bool {
        self.unread_input.get()
    }

    fn set_write_blocked(&self, blocked: bool) {
        let was_blocked = self.write_blocked.replace(blocked);
        self.idle_connections.update_counts(|counts| match (was_blocked, blocked) {
            (false, true) => counts.write_blocked += 1,
            (true, false) => counts.write_blocked -= 1,
            _ => {}
        });
    }

    /// Returns whether an earlier response is not fully written. No error response can follow it.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        self.leave_idle();
        self.set_write_blocked(false);
        self.idle_connections.update_counts(|counts| *counts.of_stage(self.stage.get()) -= 1);
    }
}

/// What the next input bytes are.
enum Expected {
    /// A request head, which must be validated first.
    Head,
    /// This number of bytes is passed to hyper without inspection.
    Bytes(u64),
    /// All further bytes are passed to hyper without inspection.
    Rest,
}

/// The connection between a client's socket and hyper.
pub struct ClientIo {
    stream: TcpStream,
    state: Rc<ConnectionState>,
    /// Input that was read from the socket and not yet passed to hyper.
    buffer: Vec<u8>,
    expected: Expected,
}

impl ClientIo {
    /// Wraps a socket from which nothing was read yet.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> ClientIo {
        ClientIo { stream, state, buffer: Vec::new(), expected: Expected::Head }
    }

    /// Returns the socket once hyper has released the connection.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Returns the maximum size of a request head in bytes.
    fn max_head_bytes(&self) -> usize {
        self.state.idle_connections.max_head_bytes.get()
    }

    /// Returns how many more bytes of a request head may be buffered.
    fn head_space(&self) -> usize {
        self.max_head_bytes().saturating_sub(self.buffer.len())
    }

    /// Reads up to `max_bytes` bytes into the buffer. Returns the number of bytes read.
    fn fill(&mut self, cx: &mut Context<'_>, max_bytes: usize) -> Poll<io::Result<usize>> {
        let mut chunk = [MaybeUninit::uninit(); READ_CHUNK_BYTES];
        let mut read = ReadBuf::uninit(&mut chunk[..max_bytes.min(READ_CHUNK_BYTES)]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.buffer.extend_from_slice(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Passes buffered input to hyper, up to `max_bytes` bytes. Returns the number of bytes passed.
    fn pass_to_hyper(&mut self, buf: &mut ReadBufCursor<'_>, max_bytes: u64) -> u64 {
        let n = self.buffer.len().min(buf.remaining()).min(usize::try_from(max_bytes).unwrap_or(usize::MAX));
        buf.put_slice(&self.buffer[..n]);
        self.buffer.drain(..n);
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
        n as u64
    }

    /// Rejects the input. No more input is passed to hyper.
    fn reject(&mut self, error: RequestError) -> Poll<io::Result<()>> {
        self.state.error.set(Some(error));
        self.state.unread_input.set(true);
        self.buffer = Vec::new();
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
        if this.state.error().is_some() {
            return Poll::Ready(Ok(()));
        }
        loop {
            match this.expected {
                Expected::Head
                    if matches!(
                        this.state.stage(),
                        Stage::Body | Stage::AwaitingResponse | Stage::Responding
                    ) =>
                {
                    // Reads on to notice whether the client disconnects. Input that arrives before the response has
                    // ended is buffered.
                    let space = this.head_space();
                    if space == 0 {
                        return Poll::Pending;
                    }
                    if ready!(this.fill(cx, space))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                }
                Expected::Head => {
                    if !this.buffer.is_empty() && this.state.stage() == Stage::Idle {
                        this.state.enter(Stage::Head);
                    }
                    match parse_request_head(&this.buffer) {
                        Err(()) => return this.reject(RequestError::Malformed),
                        Ok(Some((head, _))) if head > this.max_head_bytes() => {
                            return this.reject(RequestError::HeadTooLarge);
                        }
                        Ok(Some((head, framing))) => {
                            let head = head as u64;
                            this.state.chunked.set(framing == Framing::Chunked);
                            this.state.unread_input.set(framing != Framing::Length(0));
                            this.state.enter(Stage::Body);
                            this.expected = match framing {
                                Framing::Length(n) => Expected::Bytes(head.saturating_add(n)),
                                Framing::Chunked => Expected::Rest,
                            };
                        }
                        Ok(None) if this.head_space() == 0 => {
                            return this.reject(RequestError::HeadTooLarge);
                        }
                        Ok(None) => {
                            if ready!(this.fill(cx, this.head_space()))? == 0 {
                                return Poll::Ready(Ok(()));
                            }
                        }
                    }
                }
                Expected::Bytes(0) => this.expected = Expected::Head,
                Expected::Bytes(n) => {
                    this.state.record_read();
                    if this.buffer.is_empty() && ready!(this.fill(cx, READ_CHUNK_BYTES))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    let count = this.pass_to_hyper(&mut buf, n);
                    this.state.record_received(count);
                    this.expected = Expected::Bytes(n - count);
                    return Poll::Ready(Ok(()));
                }
                Expected::Rest => {
                    this.state.record_read();
                    if this.buffer.is_empty() && ready!(this.fill(cx, READ_CHUNK_BYTES))? == 0 {
                        return Poll::Ready(Ok(()));
                    }
                    let count = this.pass_to_hyper(&mut buf, u64::MAX);
                    this.state.record_received(count);
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl ClientIo {
    /// Records whether a write succeeded or is blocked.
    fn record_write<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        self.state.set_write_blocked(written.is_pending());
        if matches!(written, Poll::Ready(Ok(_))) {
            self.state.last_write_at.set(Instant::now());
        }
        written
    }
}

impl Write for ClientIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
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
    fn with_paused_clock(test: impl AsyncFnOnce(Rc<ConnectionState>)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        // The state is created inside the runtime, where the clock is paused.
        let test = async {
            test(ConnectionState::new(IdleConnections::new(StageTimeouts::default(), 16 << 10))).await
        };
        runtime.expect("a runtime").block_on(test);
    }

    const HALF_SECOND: Duration = Duration::from_millis(500);

    #[test]
    fn slow_bodies_are_tolerated_and_stalled_bodies_time_out() {
        with_paused_clock(async |state| {
            let start = Instant::now();
            state.enter(Stage::Head);
            state.enter(Stage::Body);
            // 64 kB per second for 20 s.
            for _ in 0..40 {
                tokio::time::advance(HALF_SECOND).await;
                state.record_received(32_000);
                state.record_read();
                assert!(state.stage_deadline().expect("a deadline") > Instant::now() + HALF_SECOND);
            }
            // A client that sends only a head must get an error within 3 s of connecting.
            state.response_finished();
            let begun = Instant::now();
            state.enter(Stage::Head);
            state.enter(Stage::Body);
            assert!(state.stage_deadline().expect("a deadline") < begun + Duration::from_secs(3));
            // The silence limit also applies after a large amount of data was received.
            let burst_at = Instant::now();
            state.record_received(2_000_000);
            state.record_read();
            assert!(state.stage_deadline().expect("a deadline") < burst_at + Duration::from_secs(3));
            assert!(begun > start);
            // While an upstream blocks the body, the stall limit applies. Afterwards the client has its whole
            // silence limit again.
            let timeouts = StageTimeouts::default();
            state.record_received(1000);
            assert!(state.is_upstream_blocked());
            assert_eq!(state.stage_deadline(), Some(Instant::now() + timeouts.upstream_stall));
            tokio::time::advance(10 * HALF_SECOND).await;
            state.record_read();
            assert!(!state.is_upstream_blocked());
            assert_eq!(state.stage_deadline(), Some(Instant::now() + timeouts.body_silence));
        });
    }

    #[test]
    fn slow_readers_are_not_idle_and_stalled_upstreams_time_out() {
        with_paused_clock(async |state| {
            state.request_received();
            assert_eq!(state.stage_deadline(), None);
            state.response_started();
            let timeouts = StageTimeouts::default();
            assert_eq!(state.stage_deadline(), Some(Instant::now() + timeouts.upstream_stall));
            tokio::time::advance(HALF_SECOND).await;
            // A part of the response was written, then the client stopped reading.
            state.last_write_at.set(Instant::now());
            state.write_blocked.set(true);
            assert_eq!(state.stage_deadline(), Some(Instant::now() + timeouts.client_stall));
            state.response_finished();
            assert_eq!(state.stage_deadline(), Some(Instant::now() + timeouts.client_stall));
            state.write_blocked.set(false);
            assert_eq!(state.stage_deadline(), Some(Instant::now() + timeouts.idle));
        });
    }

    /// Guards against responses that are ended for their upstream's silence before the deadline of the request.
    #[test]
    fn a_stalled_response_is_not_ended_before_the_deadline_of_its_request() {
        with_paused_clock(async |state| {
            let timeouts = StageTimeouts::default();
            for (time_left, expected) in [
                (2 * timeouts.upstream_stall, 2 * timeouts.upstream_stall),
                (HALF_SECOND, timeouts.upstream_stall),
                (Duration::MAX, MAX_TIME_LEFT),
            ] {
                state.enter(Stage::Head);
                state.enter(Stage::Body);
                state.set_time_left(time_left);
                state.request_received();
                let received_at = Instant::now();
                state.response_started();
                assert_eq!(state.stage_deadline(), Some(received_at + expected));
                state.response_finished();
            }
        });
    }

    #[test]
    fn a_body_may_take_the_time_that_its_client_waits_where_the_listener_allows_it() {
        with_paused_clock(async |state| {
            let timeouts = StageTimeouts { body_within_time_left: true, ..StageTimeouts::default() };
            state.idle_connections.set_limits(timeouts, 16 << 10);
            state.enter(Stage::Head);
            state.enter(Stage::Body);
            let head_at = Instant::now();
            state.set_time_left(10 * HALF_SECOND);
            assert_eq!(state.stage_deadline(), Some(head_at + 10 * HALF_SECOND));
        });
    }
}
