//! The client side: one connection to one process, opened when it is needed and reopened after it breaks.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use anyhow::{Context, Result, anyhow, bail};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::frame::{self, FrameKind};
use crate::metrics;
use crate::{RpcRequest, RpcResponse};

/// Maximum time for opening a connection, over all parallel attempts.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(4000);
/// Interval between parallel connection attempts. The first SYN packet may have been sent to a machine that was powered off,
/// or it may wait in a congested link, where a new SYN would be queued behind it. The first connection that opens is used.
const CONNECT_ATTEMPT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of parallel connection attempts.
const MAX_CONNECT_ATTEMPTS: usize = 4;
/// Time within which a connection to a reachable peer normally opens. An older attempt is restarted once the peer is known
/// to be reachable.
const PROMPT_CONNECT: Duration = Duration::from_millis(50);
/// Pause after a connection could not be opened.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long sent bytes may stay unacknowledged before the kernel closes the connection.
pub(crate) const TCP_USER_TIMEOUT: Duration = Duration::from_millis(4000);
/// Maximum number of frames queued for the connection; further frames are dropped.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Maximum number of bytes queued for the connection. A frame beyond it is dropped, unless the queue is empty.
const MAX_QUEUED_BYTES: usize = 8 << 20;

/// The calls without a response yet, by call number.
type PendingCalls = RefCell<HashMap<u64, oneshot::Sender<Bytes>>>;

/// A frame queued for the connection.
struct QueuedFrame {
    /// Number of the call if the frame is a request, `None` if it is a notification.
    call_number: Option<u64>,
    /// The encoded frame.
    bytes: Bytes,
}

/// A connection to one process.
pub struct Link {
    /// Address of the peer.
    address: SocketAddr,
    /// Queue of frames to send.
    queue: mpsc::Sender<QueuedFrame>,
    /// Total bytes of the queued frames.
    queued_bytes: Rc<Cell<usize>>,
    pending_calls: Rc<PendingCalls>,
    /// Number of the last call.
    last_call_number: Cell<u64>,
    /// Notified to close the connection.
    reset: Rc<Notify>,
    /// When the connection was opened; `None` while there is none.
    connected_since: Rc<Cell<Option<Instant>>>,
    /// When bytes were last received from the peer.
    last_received: Rc<Cell<Option<Instant>>>,
    /// When the latest connection attempt was started; `None` while none is running.
    connecting_since: Rc<Cell<Option<Instant>>>,
    /// Notified to abandon all running connection attempts and start a new one.
    restart_connect: Rc<Notify>,
}

/// Sets the TCP options of a connection between processes.
pub(crate) fn set_tcp_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
}

impl Link {
    /// Creates a link to `address`. The connection is opened with the first frame.
    pub fn new(address: SocketAddr) -> Rc<Link> {
        let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link = Rc::new(Link {
            address,
            queue,
            queued_bytes: Rc::default(),
            pending_calls: Rc::default(),
            last_call_number: Cell::new(0),
            reset: Rc::new(Notify::new()),
            connected_since: Rc::default(),
            last_received: Rc::default(),
            connecting_since: Rc::default(),
            restart_connect: Rc::new(Notify::new()),
        });
        spawn_local(run_link(Rc::downgrade(&link), frames));
        link
    }

    /// Address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection. All pending calls fail, and the next frame opens a new connection.
    pub fn reset(&self) {
        self.reset.notify_one();
    }

    /// Reports that the peer is known to be reachable, and restarts a connection attempt that has been running for longer
    /// than usual. Its SYN packet may have been sent before the peer was up, and the kernel would resend it only after a
    /// second.
    pub fn peer_reachable(&self) {
        if self.connecting_since.get().is_some_and(|since| since.elapsed() > PROMPT_CONNECT) {
            self.connecting_since.set(None);
            self.restart_connect.notify_one();
        }
    }

    /// Time at which the connection was opened; `None` while there is none.
    pub fn connected_since(&self) -> Option<Instant> {
        self.connected_since.get()
    }

    /// Sends a one-way message, which may be lost.
    pub fn notify(&self, message: &RpcRequest) {
        if let Ok(bytes) = frame::encode(FrameKind::Notification, 0, message) {
            let _ = self.enqueue(QueuedFrame { call_number: None, bytes });
        }
    }

    /// Queues a frame for the connection. Fails if the queue is full.
    fn enqueue(&self, frame: QueuedFrame) -> Result<()> {
        let (queued, length) = (self.queued_bytes.get(), frame.bytes.len());
        let fits = queued == 0 || queued + length <= MAX_QUEUED_BYTES;
        if !fits || self.queue.try_send(frame).is_err() {
            metrics::DROPPED_FRAMES.increment();
            bail!("call {}: the send queue is full", self.address);
        }
        self.queued_bytes.set(queued + length);
        Ok(())
    }

    /// Sends a request and waits up to `timeout_after` for its response. A response that arrives later is ignored.
    ///
    /// On a timeout the connection is closed only if nothing at all was received on it during the call. A peer that answers
    /// other calls is merely slow, and closing the connection would make those calls fail too.
    pub async fn call(&self, message: &RpcRequest, timeout_after: Duration) -> Result<RpcResponse> {
        let started = Instant::now();
        let call_number = self.last_call_number.get() + 1;
        self.last_call_number.set(call_number);
        let bytes = frame::encode(FrameKind::Request, call_number, message)?;
        let (sender, response) = oneshot::channel();
        self.pending_calls.borrow_mut().insert(call_number, sender);
        let guard = PendingCallGuard { pending_calls: &self.pending_calls, call_number };
        self.enqueue(QueuedFrame { call_number: Some(call_number), bytes })?;
        let result = timeout(timeout_after, response).await;
        drop(guard);
        let body = match result {
            Ok(body) => body.map_err(|_| anyhow!("call {}: the connection was closed", self.address))?,
            Err(_) => {
                metrics::TIMED_OUT_CALLS.increment();
                // A connection opened after the start of this call has not carried its request for the whole time.
                let connected = self.connected_since.get().is_some_and(|since| since <= started);
                if connected && self.last_received.get().is_none_or(|received| received < started) {
                    self.reset();
                }
                bail!("call {}: no response within {} ms", self.address, timeout_after.as_millis());
            }
        };
        frame::decode(&body).with_context(|| format!("call {}", self.address))
    }
}

/// Removes a call from the pending calls when dropped.
struct PendingCallGuard<'a> {
    pending_calls: &'a PendingCalls,
    call_number: u64,
}

impl Drop for PendingCallGuard<'_> {
    fn drop(&mut self) {
        self.pending_calls.borrow_mut().remove(&self.call_number);
    }
}

/// Opens a connection whenever a frame is queued and carries frames until it breaks. Returns once the link is dropped.
async fn run_link(link: Weak<Link>, mut frames: mpsc::Receiver<QueuedFrame>) {
    while let Some(first) = frames.recv().await {
        let Some(strong) = link.upgrade() else { return };
        let (address, pending_calls, reset, connected_since) = (
            strong.address,
            strong.pending_calls.clone(),
            strong.reset.clone(),
            strong.connected_since.clone(),
        );
        let (connecting_since, restart) = (strong.connecting_since.clone(), strong.restart_connect.clone());
        let (last_received, queued_bytes) = (strong.last_received.clone(), strong.queued_bytes.clone());
        drop(strong);
        match connect(address, &connecting_since, &restart).await {
            Some(stream) => {
                set_tcp_options(&stream);
                connected_since.set(Some(Instant::now()));
                // A reset that was requested earlier was meant for the previous connection.
                discard_notification(&reset).await;
                tokio::select! {
                    _ = run_connection(stream, first, &mut frames, &pending_calls, &last_received, &queued_bytes) => {}
                    () = reset.notified() => {}
                }
                connected_since.set(None);
            }
            _ => sleep(RECONNECT_PAUSE).await,
        }
        // Frames queued for the broken connection are outdated. Dropping the senders makes all pending calls fail at once.
        while frames.try_recv().is_ok() {}
        queued_bytes.set(0);
        pending_calls.borrow_mut().clear();
    }
}

/// Consumes a stored notification, if there is one, without waiting.
async fn discard_notification(notify: &Notify) {
    tokio::select! {
        biased;
        () = notify.notified() => {}
        () = std::future::ready(()) => {}
    }
}

/// Opens a connection within [`CONNECT_TIMEOUT`]. Attempts run in parallel, each started some time after the one before; a
/// notification of `restart` replaces them all with a new attempt.
async fn connect(
    address: SocketAddr,
    connecting_since: &Cell<Option<Instant>>,
    restart: &Notify,
) -> Option<TcpStream> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let mut attempts = JoinSet::new();
    let connected = loop {
        if attempts.len() < MAX_CONNECT_ATTEMPTS {
            attempts.spawn_local(TcpStream::connect(address));
        }
        connecting_since.set(Some(Instant::now()));
        let next = (Instant::now() + CONNECT_ATTEMPT_INTERVAL).min(deadline);
        tokio::select! {
            Some(connected) = attempts.join_next() => break connected.ok().and_then(Result::ok),
            // The kernel would resend a SYN packet that was sent before the peer was up only after a second.
            () = restart.notified() => attempts = JoinSet::new(),
            () = sleep_until(next) => if next == deadline { break None },
        }
    };
    connecting_since.set(None);
    connected
}

/// Writes queued frames to a connection and passes responses to their calls, until the connection breaks.
async fn run_connection(
    stream: TcpStream,
    first: QueuedFrame,
    frames: &mut mpsc::Receiver<QueuedFrame>,
    pending_calls: &PendingCalls,
    last_received: &Cell<Option<Instant>>,
    queued_bytes: &Cell<usize>,
) -> Result<()> {
    let (mut from, mut to) = stream.into_split();
    let write = async {
        let mut batch = vec![first];
        loop {
            let batch_bytes: usize = batch.iter().map(|frame| frame.bytes.len()).sum();
            // A call that has timed out must not be sent: the caller may have undone its effect since.
            batch.retain(|frame| {
                frame.call_number.is_none_or(|number| pending_calls.borrow().contains_key(&number))
            });
            let parts: Vec<Bytes> = batch.drain(..).map(|frame| frame.bytes).collect();
            metrics::SENT_BYTES.add(parts.iter().map(|part| part.len() as u64).sum());
            match parts.as_slice() {
                [one] => to.write_all(one).await?,
                many => to.write_all(&many.concat()).await?,
            }
            queued_bytes.set(queued_bytes.get().saturating_sub(batch_bytes));
            if frames.recv_many(&mut batch, 64).await == 0 {
                break;
            }
        }
        Ok::<_, anyhow::Error>(())
    };
    let read = async {
        let mut received = BytesMut::new();
        loop {
            while let Some(frame) = frame::take_frame(&mut received)? {
                let caller = pending_calls.borrow_mut().remove(&frame.call_number);
                if let Some(caller) = caller.filter(|_| frame.kind == FrameKind::Response) {
                    let _ = caller.send(frame.body);
                }
            }
            let bytes = from.read_buf(&mut received).await?;
            if bytes == 0 {
                bail!("closed");
            }
            last_received.set(Some(Instant::now()));
            metrics::RECEIVED_BYTES.add(bytes as u64);
        }
    };
    tokio::select! {
        done = write => done,
        done = read => done,
    }
}
