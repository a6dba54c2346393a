//! etcd's v3 interface on loopback, over the [`Store`]: ranges, puts, watches with fragments and
//! progress, leases. What it does not have: authentication, transactions of callers, filters.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sloeline_membership::etcd::messages::*;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

use crate::grpc::{Frames, Local, Messages, Sender, end, responding, send};
use crate::keys::{Changed, Pair, Store};

/// Events in a piece of an answer.
const PIECE: usize = 2;

/// A registry that listens; dropped, it is gone with all its connections.
pub struct Etcd {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Rc<Shared>,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

struct Shared {
    store: RefCell<Store>,
    /// The newest revision, and how often watches were broken.
    news: watch::Sender<(i64, u64)>,
    calls: Cell<u64>,
    sent: Rc<Cell<u64>>,
}

impl Drop for Etcd {
    fn drop(&mut self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
    }
}

impl Etcd {
    /// Listens on any port.
    pub fn start(store: Store) -> std::io::Result<Etcd> {
        Etcd::start_at(([127, 0, 0, 1], 0).into(), store)
    }

    /// Listens there, also right after another one did.
    pub fn start_at(address: SocketAddr, store: Store) -> std::io::Result<Etcd> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(64)?;
        let (address, news) = (listener.local_addr()?, watch::Sender::new((store.revision, 0)));
        let shared =
            Rc::new(Shared { store: RefCell::new(store), news, calls: Cell::new(0), sent: Rc::default() });
        let tasks = Rc::new(RefCell::new(Vec::new()));
        let task = spawn_local(accept(listener, shared.clone(), tasks.clone()));
        tasks.borrow_mut().push(task.abort_handle());
        Ok(Etcd { address, shared, tasks })
    }

    /// Changes what is in it; watches are told.
    pub fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let changed = change(&mut self.shared.store.borrow_mut());
        let revision = self.shared.store.borrow().revision;
        self.shared.news.send_modify(|news| news.0 = revision);
        changed
    }

    /// Breaks every watch.
    pub fn break_watches(&self) {
        self.shared.news.send_modify(|news| news.1 += 1);
    }

    /// A copy of what is in it.
    pub fn store(&self) -> Store {
        self.shared.store.borrow().clone()
    }

    /// Bytes of messages that it sent.
    pub fn bytes(&self) -> u64 {
        self.shared.sent.get()
    }

    /// How many calls came.
    pub fn calls(&self) -> u64 {
        self.shared.calls.get()
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>, tasks: Rc<RefCell<Vec<AbortHandle>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let shared = shared.clone();
        let service = service_fn(move |request| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(answer(shared, request).await) }
        });
        let connection =
            hyper::server::conn::http2::Builder::new(Local).serve_connection(TokioIo::new(stream), service);
        let task = spawn_local(async move {
            let _ = connection.await;
        });
        tasks.borrow_mut().push(task.abort_handle());
    }
}

fn pair(key: &[u8], pair: &Pair) -> KeyValue {
    KeyValue {
        key: key.to_vec(),
        create_revision: pair.made,
        mod_revision: pair.written,
        version: 0,
        value: pair.value.clone(),
        lease: pair.lease,
    }
}

fn event(change: &Changed) -> Event {
    let gone = KeyValue { key: change.key.clone(), mod_revision: change.revision, ..KeyValue::default() };
    Event {
        kind: i32::from(change.now.is_none()),
        kv: Some(change.now.as_ref().map_or(gone, |p| pair(&change.key, p))),
        prev_kv: change.before.as_ref().map(|p| pair(&change.key, p)),
    }
}

impl Shared {
    fn header(&self) -> Option<ResponseHeader> {
        let store = self.store.borrow();
        Some(ResponseHeader { cluster_id: store.cluster, member_id: 1, revision: store.revision })
    }

    fn write(&self, change: impl FnOnce(&mut Store)) {
        change(&mut self.store.borrow_mut());
        let revision = self.store.borrow().revision;
        self.news.send_modify(|news| news.0 = revision);
    }
}

async fn answer(shared: Rc<Shared>, request: Request<Incoming>) -> Response<Frames> {
    shared.calls.set(shared.calls.get() + 1);
    let (sender, response) = responding(&shared.sent);
    let path = request.uri().path().to_owned();
    let mut messages = Messages::new(request.into_body());
    if path == path::WATCH {
        spawn_local(watched(shared, messages, sender));
    } else if path == path::KEEP_ALIVE {
        spawn_local(async move {
            while let Some(LeaseRequest { id }) = messages.next().await {
                let ttl = if shared.store.borrow().lives(id) { 10 } else { 0 };
                send(&sender, &LeaseResponse { header: shared.header(), id, ttl });
            }
            end(&sender, 0, "");
        });
    } else {
        let done = unary(&shared, &path, &mut messages, &sender).await;
        match done {
            Some(Ok(())) => end(&sender, 0, ""),
            Some(Err((status, why))) => end(&sender, status, why),
            None => end(&sender, 3, "a message that is none"),
        }
    }
    response
}

/// A call with one answer; none where the request can't be read.
async fn unary(
    shared: &Shared,
    path: &str,
    messages: &mut Messages,
    sender: &Sender,
) -> Option<Result<(), (u16, &'static str)>> {
    match path {
        path::RANGE => {
            let asked: RangeRequest = messages.next().await?;
            let found = shared.store.borrow().range(&asked.key, &asked.range_end, asked.revision);
            let Some(found) = found else {
                return Some(Err((11, "etcdserver: mvcc: required revision has been compacted")));
            };
            let limit = if asked.limit > 0 { asked.limit as usize } else { usize::MAX };
            let more = found.len() > limit;
            let kvs = found.iter().take(limit).filter(|_| !asked.count_only).map(|(k, p)| pair(k, p));
            send(sender, &RangeResponse { header: shared.header(), kvs: kvs.collect(), more });
        }
        path::PUT => {
            let asked: PutRequest = messages.next().await?;
            if asked.lease != 0 && !shared.store.borrow().lives(asked.lease) {
                return Some(Err((5, "etcdserver: requested lease not found")));
            }
            let key = String::from_utf8_lossy(&asked.key).into_owned();
            shared.write(|store| store.put(&key, asked.value, asked.lease));
            send(sender, &HeaderOnly { header: shared.header() });
        }
        path::GRANT => {
            let asked: LeaseGrantRequest = messages.next().await?;
            let id = shared.store.borrow_mut().grant();
            send(sender, &LeaseResponse { header: shared.header(), id, ttl: asked.ttl });
        }
        path::REVOKE => {
            let LeaseRequest { id } = messages.next().await?;
            shared.write(|store| store.end(id));
            send(sender, &HeaderOnly { header: shared.header() });
        }
        path::TIME_TO_LIVE => {
            let LeaseRequest { id } = messages.next().await?;
            let ttl = if shared.store.borrow().lives(id) { 9 } else { -1 };
            send(sender, &LeaseResponse { header: shared.header(), id, ttl });
        }
        _ => return Some(Err((12, "unknown method"))),
    }
    Some(Ok(()))
}

async fn watched(shared: Rc<Shared>, mut messages: Messages, sender: Sender) {
    let Some(WatchRequest { create_request: Some(create), .. }) = messages.next().await else {
        return end(&sender, 3, "no create request");
    };
    let mut news = shared.news.subscribe();
    let breaks = news.borrow_and_update().1;
    let answer = || WatchResponse { header: shared.header(), ..WatchResponse::default() };
    let compacted = shared.store.borrow().compacted;
    if create.start_revision > 0 && create.start_revision <= compacted {
        send(&sender, &WatchResponse { created: true, ..answer() });
        send(&sender, &WatchResponse { canceled: true, compact_revision: compacted, ..answer() });
        return end(&sender, 0, "");
    }
    send(&sender, &WatchResponse { created: true, ..answer() });
    let mut next = create.start_revision;
    loop {
        let events: Vec<Event> = {
            let store = shared.store.borrow();
            let events = store.since(&create.key, &create.range_end, next).map(event).collect();
            next = next.max(store.revision + 1);
            events
        };
        let pieces = events.chunks(if create.fragment { PIECE } else { usize::MAX });
        let last = pieces.len();
        for (n, events) in pieces.enumerate() {
            let fragment = n + 1 < last;
            if !send(&sender, &WatchResponse { fragment, events: events.to_vec(), ..answer() }) {
                return;
            }
        }
        tokio::select! {
            message = messages.next::<WatchRequest>() => match message {
                Some(WatchRequest { progress_request: Some(_), .. }) => {
                    send(&sender, &WatchResponse { watch_id: -1, ..answer() });
                }
                Some(_) => {}
                None => return,
            },
            changed = news.changed() => {
                // The stream ends with no word of why.
                if changed.is_err() || news.borrow().1 != breaks {
                    return;
                }
            }
        }
    }
}
