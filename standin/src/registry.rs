//! A registry that speaks the platform's protocol: the whole list, or a watch on what is newer than a version.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

/// An entry as it is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where it is.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// It finishes what it has.
    pub draining: bool,
}

struct Shared {
    entries: RefCell<BTreeMap<String, (u64, Option<Entry>)>>,
    generation: watch::Sender<u64>,
    asked: Cell<u64>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// A registry; dropped, it goes down.
pub struct Registry {
    /// Where it is.
    pub address: SocketAddr,
    shared: Rc<Shared>,
}

impl Drop for Registry {
    fn drop(&mut self) {
        self.down();
    }
}

impl Registry {
    /// Starts with nothing listed, on any port.
    pub fn start() -> Registry {
        Registry::start_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Starts with nothing listed; its versions begin anew.
    pub fn start_at(address: SocketAddr) -> Registry {
        let socket = TcpSocket::new_v4().and_then(|s| {
            s.set_reuseaddr(true)?;
            s.bind(address)?;
            s.listen(64)
        });
        let listener = socket.expect("a port on loopback");
        let address = listener.local_addr().expect("an address");
        let shared = Rc::new(Shared {
            entries: RefCell::default(),
            generation: watch::Sender::new(0),
            asked: Cell::default(),
            tasks: RefCell::default(),
        });
        let task = spawn_local(accept(listener, shared.clone()));
        shared.tasks.borrow_mut().push(task.abort_handle());
        Registry { address, shared }
    }

    /// Lists an entry, or tells of a change.
    pub fn set(&self, name: &str, entry: Option<Entry>) {
        let next = *self.shared.generation.borrow() + 1;
        self.shared.entries.borrow_mut().insert(name.to_owned(), (next, entry));
        self.shared.generation.send_replace(next);
    }

    /// How many calls came.
    pub fn asked(&self) -> u64 {
        self.shared.asked.get()
    }

    /// Resets its connections; new ones are refused.
    pub fn down(&self) {
        self.shared.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let on = shared.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let shared = on.clone();
            async move { Ok::<_, Infallible>(answer(&shared, request.uri().query().unwrap_or("")).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let task = spawn_local(async move {
            let _ = connection.await;
        });
        shared.tasks.borrow_mut().push(task.abort_handle());
    }
}

async fn answer(shared: &Shared, query: &str) -> Response<Full<Bytes>> {
    shared.asked.set(shared.asked.get() + 1);
    let number = |name: &str| {
        let pair = query.split('&').filter_map(|p| p.split_once('=')).find(|(n, _)| *n == name);
        pair.and_then(|(_, v)| v.parse::<u64>().ok())
    };
    let since = number("index");
    if let (Some(since), Some(wait)) = (since, number("wait")) {
        let newer = async {
            let _ = shared.generation.subscribe().wait_for(|g| *g > since).await;
        };
        let _ = timeout(Duration::from_millis(wait), newer).await;
    }
    let generation = *shared.generation.borrow();
    // A version that this registry has not come to yet is another one's: the whole list.
    let since = since.filter(|s| *s <= generation);
    let entries = shared.entries.borrow();
    let told = entries.iter().filter(|(_, (at, entry))| match since {
        Some(since) => *at > since,
        None => entry.is_some(),
    });
    let told: Vec<String> = told
        .map(|(name, (_, entry))| {
            let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
            let (address, zone, lifecycle) = match entry {
                Some(e) => (e.address, e.zone.as_str(), if e.draining { "DRAINING" } else { "SERVING" }),
                None => (nowhere, "", "DELETED"),
            };
            format!(
                r#"{{"instanceId":"{name}","hostPort":"{address}","zone":"{zone}","lifecycle":"{lifecycle}"}}"#
            )
        })
        .collect();
    let text = format!(
        r#"{{"generation":{generation},"reset":{},"instances":[{}]}}"#,
        since.is_none(),
        told.join(",")
    );
    Response::new(Full::new(Bytes::from(text)))
}
