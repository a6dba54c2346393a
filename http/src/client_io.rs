//! A caller's connection as hyper sees it: only heads that are good pass, and never more than one request. Also
//! how long such a connection has been at what, and which of them are idle.

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

/// One that has not been idle for so long is not closed for others.
const SPARED: Duration = Duration::from_millis(100);
/// Most of a head.
const MOST_HEAD: usize = 16 * 1024;
/// Slowest that a body may come on the platform, in bytes a second: half of what its slowest clients send.
const SLOWEST: u64 = 32 * 1000;
/// Read at once.
const CHUNK: usize = 16 * 1024;

/// How long each stage of a connection may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageTimeouts {
    /// A connection on which no request is open is kept this long.
    pub idle: Duration,
    /// A head may take this long from its first byte.
    pub head: Duration,
    /// A body may take this long from the end of its head ...
    pub body: Duration,
    /// ... and so much longer as what has come of it takes at this rate, in bytes a second; 0 for no longer. Spares a
    /// slow sender ...
    pub body_min_rate: u64,
    /// ... but not one of which nothing has come for so long.
    pub body_silence: Duration,
    /// Longest silence of an upstream within an answer that passes through.
    pub upstream_stall: Duration,
    /// Longest time in which a caller takes nothing of its answer. Far longer than the others: the kernel tells of room
    /// only when a third of its buffer is free, some megabytes to a caller that takes little.
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

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage {
    /// No byte of a request has come.
    Idle,
    /// A part of a head has come.
    Head,
    /// The head has come.
    Body,
    /// The request has come whole and is not answered.
    Open,
    /// Its answer passes through.
    Answering,
}

/// What cannot be let through; the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It cannot be read, or where it ends cannot be told.
    Bad,
    /// The head does not end.
    TooLarge,
}

/// The connections that are idle, longest first.
pub struct IdleConnections {
    pace: Cell<StageTimeouts>,
    idle: RefCell<BTreeMap<u64, (Instant, AbortHandle)>>,
    next: Cell<u64>,
}

impl IdleConnections {
    /// None yet.
    pub fn new(pace: StageTimeouts) -> Rc<IdleConnections> {
        Rc::new(IdleConnections { pace: Cell::new(pace), idle: RefCell::default(), next: Cell::default() })
    }

    /// Changes how long stages may take from now on.
    pub fn set_pace(&self, pace: StageTimeouts) {
        self.pace.set(pace);
    }

    /// Closes the connection that has been idle longest; else, when it may be. Guards those that have just come,
    /// whose request is on its way.
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

/// How far a connection is, seen from both sides of hyper.
pub struct Progress {
    crowd: Rc<IdleConnections>,
    task: RefCell<Option<AbortHandle>>,
    stage: Cell<Stage>,
    since: Cell<Instant>,
    first_byte: Cell<Instant>,
    /// Bytes that have come since the head began.
    passed: Cell<u64>,
    /// When the last of them came.
    came: Cell<Instant>,
    /// Since when nobody asks for more: what comes goes on to an upstream that takes none now.
    held_up: Cell<Option<Instant>>,
    /// How long it was so since the head began.
    held: Cell<Duration>,
    /// How long it may be so where the request waits to be sent.
    waits: Cell<Duration>,
    place: Cell<Option<u64>>,
    fault: Cell<Option<Fault>>,
    chunked: Cell<bool>,
    unread: Cell<bool>,
    stuck: Cell<bool>,
    /// When bytes last went to the caller.
    written: Cell<Instant>,
}

impl Progress {
    /// A connection that has just come.
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

    /// Its task, to be ended when room is needed while it is idle.
    pub fn of(&self, task: AbortHandle) {
        *self.task.borrow_mut() = Some(task);
        self.enter(Stage::Idle);
    }

    /// What it is at.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

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

    fn leave_crowd(&self) {
        if let Some(place) = self.place.take() {
            self.crowd.idle.borrow_mut().remove(&place);
        }
    }

    fn came(&self, bytes: u64) {
        self.passed.set(self.passed.get().saturating_add(bytes));
        let now = Instant::now();
        self.came.set(now);
        self.held_up.set(Some(now));
    }

    /// More is asked for: what comes late from here on is the caller's doing.
    fn asked(&self) {
        if let Some(since) = self.held_up.take() {
            let now = Instant::now();
            self.held.set(self.held.get() + (now - since));
            self.came.set(now);
        }
    }

    /// The body passes on; its request may wait so long to be sent, as any other.
    pub fn passes(&self, waits: Duration) {
        self.waits.set(waits);
    }

    /// The body waits for an upstream that does not take it.
    pub fn held_up(&self) -> bool {
        self.stage.get() == Stage::Body && self.held_up.get().is_some()
    }

    /// The request has come whole.
    pub fn taken(&self) {
        self.unread.set(false);
        self.enter(Stage::Open);
    }

    /// Its answer has begun.
    pub fn answering(&self) {
        self.enter(Stage::Answering);
    }

    /// It has its answer: the next one may pass.
    pub fn answered(&self) {
        self.enter(Stage::Idle);
    }

    /// Where the request ends is known to hyper alone: nothing may follow it.
    pub fn chunked(&self) -> bool {
        self.chunked.get()
    }

    /// When it has been at this for too long; a request that is open has a clock of its own.
    pub fn due(&self) -> Option<Instant> {
        let pace = self.crowd.pace.get();
        match self.stage.get() {
            Stage::Idle | Stage::Answering if self.stuck.get() => {
                Some(self.written.get() + pace.client_stall)
            }
            // One that still takes its last answer is not idle yet.
            Stage::Idle => Some(self.since.get().max(self.written.get()) + pace.idle),
            Stage::Head => Some(self.first_byte.get() + pace.head),
            // The upstream's doing.
            Stage::Body if self.held_up() => {
                self.held_up.get().map(|since| since + pace.upstream_stall.max(self.waits.get()))
            }
            Stage::Body => {
                let earned = match pace.body_min_rate {
                    0 => Duration::ZERO,
                    rate => Duration::from_secs_f64(self.passed.get() as f64 / rate as f64),
                };
                // A whole request has at least as long as a head.
                let least = self.first_byte.get() + pace.head;
                let slow = (self.since.get() + pace.body).max(least) + earned + self.held.get();
                Some(slow.min((self.came.get() + pace.body_silence).max(least)))
            }
            Stage::Open => None,
            Stage::Answering => Some(self.since.get().max(self.written.get()) + pace.upstream_stall),
        }
    }

    /// What was not let through.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get()
    }

    /// The caller may still be sending.
    pub fn unread(&self) -> bool {
        self.unread.get()
    }

    /// An earlier answer is not written to its end: nothing can be said after it.
    pub fn stuck(&self) -> bool {
        self.stuck.get()
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.leave_crowd();
    }
}

/// What the next bytes are.
enum Next {
    /// A head, to be looked at first.
    Head,
    /// So many bytes that pass.
    Pass(u64),
    /// All pass.
    All,
}

/// The connection between the socket and hyper.
pub struct ClientIo {
    stream: TcpStream,
    progress: Rc<Progress>,
    /// What has been read and not passed on.
    held: Vec<u8>,
    next: Next,
}

impl ClientIo {
    /// Nothing read yet.
    pub fn new(stream: TcpStream, progress: Rc<Progress>) -> ClientIo {
        ClientIo { stream, progress, held: Vec::new(), next: Next::Head }
    }

    /// The socket, when hyper is done with it.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Reads more into what is held; tells how much it was.
    fn fill(&mut self, cx: &mut Context<'_>, most: usize) -> Poll<io::Result<usize>> {
        let mut chunk = [MaybeUninit::uninit(); CHUNK];
        let mut read = ReadBuf::uninit(&mut chunk[..most.min(CHUNK)]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut read))?;
        self.held.extend_from_slice(read.filled());
        Poll::Ready(Ok(read.filled().len()))
    }

    /// Passes on what is held, up to `most`.
    fn pass(&mut self, buf: &mut ReadBufCursor<'_>, most: u64) -> u64 {
        let n = self.held.len().min(buf.remaining()).min(usize::try_from(most).unwrap_or(usize::MAX));
        buf.put_slice(&self.held[..n]);
        self.held.drain(..n);
        if self.held.is_empty() {
            self.held = Vec::new();
        }
        n as u64
    }

    fn refuse(&mut self, fault: Fault) -> Poll<io::Result<()>> {
        self.progress.fault.set(Some(fault));
        self.progress.unread.set(true);
        self.held = Vec::new();
        // An end, as hyper sees it; the answer is given when hyper has left.
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
                    // Whether the caller has left, and what it sends too early: held until the answer went.
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

    fn paused(test: impl AsyncFnOnce(Rc<Progress>)) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
        // Within, where the clock stands.
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
            // 64 kB a second for 20 s.
            for _ in 0..40 {
                tokio::time::advance(HALF).await;
                progress.came(32_000);
                progress.asked();
                assert!(progress.due().expect("a time") > Instant::now() + HALF);
            }
            // A head and then nothing: an error is owed within 3 s of connecting.
            progress.answered();
            let begun = Instant::now();
            progress.enter(Stage::Head);
            progress.enter(Stage::Body);
            assert!(progress.due().expect("a time") < begun + Duration::from_secs(3));
            // Nor with much that came at once.
            let much = Instant::now();
            progress.came(2_000_000);
            progress.asked();
            assert!(progress.due().expect("a time") < much + Duration::from_secs(3));
            assert!(begun > start);
            // Held up by an upstream it is waited for, and the caller has its own time afterwards.
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
            // Something went out, then the caller takes nothing.
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
