//! The calling end: one connection to one process, made when it is needed and made anew when it breaks.

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

/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(4000);
/// So long after an attempt another one is begun beside it: the first may have met a machine without power, or its opening
/// packet may wait in a full link, where a new one would wait behind it. The first that stands is used.
const CONNECT_BESIDE: Duration = Duration::from_millis(400);
/// Most attempts beside each other.
const MOST_ATTEMPTS: usize = 4;
/// A connection to a peer that is there comes up sooner.
const CONNECTS_AT_ONCE: Duration = Duration::from_millis(50);
/// Pause after one that did not.
const PAUSE: Duration = Duration::from_millis(100);
/// How long sent bytes may stay without an acknowledgement.
pub(crate) const UNACKNOWLEDGED: Duration = Duration::from_millis(4000);
/// Most frames that wait for the connection; those beyond are dropped.
const MOST_WAITING: usize = 4096;

/// Bytes of frames that wait for the connection; a frame beyond is dropped, but for one that finds the queue empty.
const MOST_WAITING_BYTES: usize = 8 << 20;

type Waiting = RefCell<HashMap<u64, oneshot::Sender<Bytes>>>;

/// A frame that waits for the connection.
struct Queued {
    /// The call that it asks for; nothing for what has no answer.
    call: Option<u64>,
    bytes: Bytes,
}

/// A connection to one process.
pub struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Queued>,
    queued_bytes: Rc<Cell<usize>>,
    waiting: Rc<Waiting>,
    number: Cell<u64>,
    reset: Rc<Notify>,
    up: Rc<Cell<Option<Instant>>>,
    /// When something came from the peer.
    heard: Rc<Cell<Option<Instant>>>,
    /// Since when a connection has been coming up.
    connecting: Rc<Cell<Option<Instant>>>,
    connect_again: Rc<Notify>,
}

/// What a socket of the mesh is set to.
pub(crate) fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}

impl Link {
    /// No connection yet.
    pub fn new(address: SocketAddr) -> Rc<Link> {
        let (queue, frames) = mpsc::channel(MOST_WAITING);
        let link = Rc::new(Link {
            address,
            queue,
            queued_bytes: Rc::default(),
            waiting: Rc::default(),
            number: Cell::new(0),
            reset: Rc::new(Notify::new()),
            up: Rc::default(),
            heard: Rc::default(),
            connecting: Rc::default(),
            connect_again: Rc::new(Notify::new()),
        });
        spawn_local(drive(Rc::downgrade(&link), frames));
        link
    }

    /// Where it goes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the connection: what was asked on it fails, and the next frame makes a new one.
    pub fn reset(&self) {
        self.reset.notify_one();
    }

    /// The peer is known to be there: an attempt to connect that began before it was is given up for another. Its first
    /// packet may have met a machine without power, and would be sent again only after a second.
    pub fn peer_is_there(&self) {
        if self.connecting.get().is_some_and(|since| since.elapsed() > CONNECTS_AT_ONCE) {
            self.connecting.set(None);
            self.connect_again.notify_one();
        }
    }

    /// Since when the connection stands.
    pub fn up(&self) -> Option<Instant> {
        self.up.get()
    }

    /// Sends something that has no answer; it may be lost.
    pub fn notify(&self, message: &RpcRequest) {
        if let Ok(bytes) = frame::encode(FrameKind::Notification, 0, message) {
            let _ = self.enqueue(Queued { call: None, bytes });
        }
    }

    fn enqueue(&self, frame: Queued) -> Result<()> {
        let (queued, length) = (self.queued_bytes.get(), frame.bytes.len());
        let fits = queued == 0 || queued + length <= MOST_WAITING_BYTES;
        if !fits || self.queue.try_send(frame).is_err() {
            metrics::DROPPED_FRAMES.increment();
            bail!("ask {}: too much waits", self.address);
        }
        self.queued_bytes.set(queued + length);
        Ok(())
    }

    /// Asks, and waits so long for the answer. The connection is closed where nothing at all has come on it meanwhile; a peer
    /// that answers others is slow, and the calls of others are not to fail with this one. An answer that comes late
    /// belongs to no call.
    pub async fn call(&self, message: &RpcRequest, within: Duration) -> Result<RpcResponse> {
        let asked = Instant::now();
        let number = self.number.get() + 1;
        self.number.set(number);
        let bytes = frame::encode(FrameKind::Request, number, message)?;
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, sender);
        let forget = Forget { waiting: &self.waiting, number };
        self.enqueue(Queued { call: Some(number), bytes })?;
        let answered = timeout(within, answer).await;
        drop(forget);
        let body = match answered {
            Ok(body) => body.map_err(|_| anyhow!("ask {}: the connection broke", self.address))?,
            Err(_) => {
                metrics::TIMED_OUT.increment();
                // One that came up since is another than this call was meant for.
                let stood = self.up.get().is_some_and(|up| up <= asked);
                if stood && self.heard.get().is_none_or(|heard| heard < asked) {
                    self.reset();
                }
                bail!("ask {}: no answer within {} ms", self.address, within.as_millis());
            }
        };
        frame::decode(&body).with_context(|| format!("ask {}", self.address))
    }
}

struct Forget<'a> {
    waiting: &'a Waiting,
    number: u64,
}

impl Drop for Forget<'_> {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.number);
    }
}

async fn drive(link: Weak<Link>, mut frames: mpsc::Receiver<Queued>) {
    while let Some(first) = frames.recv().await {
        let Some(strong) = link.upgrade() else { return };
        let (address, waiting, reset, up) =
            (strong.address, strong.waiting.clone(), strong.reset.clone(), strong.up.clone());
        let (connecting, again) = (strong.connecting.clone(), strong.connect_again.clone());
        let (heard, queued) = (strong.heard.clone(), strong.queued_bytes.clone());
        drop(strong);
        match connect(address, &connecting, &again).await {
            Some(stream) => {
                tune(&stream);
                up.set(Some(Instant::now()));
                // What was meant for the connection before.
                forget_notice(&reset).await;
                tokio::select! {
                    _ = carry(stream, first, &mut frames, &waiting, &heard, &queued) => {}
                    () = reset.notified() => {}
                }
                up.set(None);
            }
            _ => sleep(PAUSE).await,
        }
        // What waited for it is old; whoever asked is told at once.
        while frames.try_recv().is_ok() {}
        queued.set(0);
        waiting.borrow_mut().clear();
    }
}

/// Forgets a notice that nobody has waited for.
async fn forget_notice(notify: &Notify) {
    tokio::select! {
        biased;
        () = notify.notified() => {}
        () = std::future::ready(()) => {}
    }
}

/// A connection, if one comes up in time. Attempts are begun beside each other, and one more when the peer is known to be
/// there.
async fn connect(
    address: SocketAddr,
    connecting: &Cell<Option<Instant>>,
    again: &Notify,
) -> Option<TcpStream> {
    let until = Instant::now() + CONNECT;
    let mut attempts = JoinSet::new();
    let connected = loop {
        if attempts.len() < MOST_ATTEMPTS {
            attempts.spawn_local(TcpStream::connect(address));
        }
        connecting.set(Some(Instant::now()));
        let next = (Instant::now() + CONNECT_BESIDE).min(until);
        tokio::select! {
            Some(connected) = attempts.join_next() => break connected.ok().and_then(Result::ok),
            // What was sent before the peer was there is sent again only after a second.
            () = again.notified() => attempts = JoinSet::new(),
            () = sleep_until(next) => if next == until { break None },
        }
    };
    connecting.set(None);
    connected
}

async fn carry(
    stream: TcpStream,
    first: Queued,
    frames: &mut mpsc::Receiver<Queued>,
    waiting: &Waiting,
    heard: &Cell<Option<Instant>>,
    queued: &Cell<usize>,
) -> Result<()> {
    let (mut from, mut to) = stream.into_split();
    let write = async {
        let mut some = vec![first];
        loop {
            let taken: usize = some.iter().map(|frame| frame.bytes.len()).sum();
            // A call that nobody waits for any more must not be made: what it asks for may have been taken back since.
            some.retain(|frame| frame.call.is_none_or(|call| waiting.borrow().contains_key(&call)));
            let parts: Vec<Bytes> = some.drain(..).map(|frame| frame.bytes).collect();
            metrics::SENT_BYTES.add(parts.iter().map(|part| part.len() as u64).sum());
            match parts.as_slice() {
                [one] => to.write_all(one).await?,
                many => to.write_all(&many.concat()).await?,
            }
            queued.set(queued.get().saturating_sub(taken));
            if frames.recv_many(&mut some, 64).await == 0 {
                break;
            }
        }
        Ok::<_, anyhow::Error>(())
    };
    let read = async {
        let mut come = BytesMut::new();
        loop {
            while let Some(frame) = frame::next(&mut come)? {
                let waits = waiting.borrow_mut().remove(&frame.number);
                if let Some(waits) = waits.filter(|_| frame.kind == FrameKind::Response) {
                    let _ = waits.send(frame.body);
                }
            }
            let bytes = from.read_buf(&mut come).await?;
            if bytes == 0 {
                bail!("closed");
            }
            heard.set(Some(Instant::now()));
            metrics::RECEIVED_BYTES.add(bytes as u64);
        }
    };
    tokio::select! {
        done = write => done,
        done = read => done,
    }
}
