//! Consul's health interface on loopback: blocking queries over entries that a test sets.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

/// A registry that listens; dropped, it is gone with all its connections.
pub struct Consul {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Rc<Shared>,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

struct Shared {
    entries: RefCell<BTreeMap<String, String>>,
    index: watch::Sender<u64>,
    calls: Cell<u64>,
}

impl Drop for Consul {
    fn drop(&mut self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
    }
}

impl Consul {
    /// Listens on any port, with nothing in it.
    pub fn start() -> std::io::Result<Consul> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let (address, listener) = (listener.local_addr()?, TcpListener::from_std(listener)?);
        let shared = Rc::new(Shared {
            entries: RefCell::default(),
            index: watch::Sender::new(1),
            calls: Cell::new(0),
        });
        let tasks = Rc::new(RefCell::new(Vec::new()));
        let task = spawn_local(accept(listener, shared.clone(), tasks.clone()));
        tasks.borrow_mut().push(task.abort_handle());
        Ok(Consul { address, shared, tasks })
    }

    /// An instance with the status of its one check, `critical` under its maintenance where that is asked for; none takes
    /// it out of the registry.
    pub fn set(&self, name: &str, entry: Option<(SocketAddr, &str, bool)>) {
        let index = *self.shared.index.borrow() + 1;
        let mut entries = self.shared.entries.borrow_mut();
        match entry {
            None => entries.remove(name),
            Some((address, status, maintenance)) => {
                let check = if maintenance { "_service_maintenance:it" } else { "alive" };
                let text = format!(
                    r#"{{"Node":{{"Node":"host","Address":"127.0.0.1"}},"Service":{{"ID":"{name}","Address":"{}","Port":{},"Meta":{{"zone":"default"}},"CreateIndex":1,"ModifyIndex":{index}}},"Checks":[{{"CheckID":"{check}","Status":"{status}","ModifyIndex":{index}}}]}}"#,
                    address.ip(),
                    address.port()
                );
                entries.insert(name.to_owned(), text)
            }
        };
        self.shared.index.send_replace(index);
    }

    /// How many questions came.
    pub fn calls(&self) -> u64 {
        self.shared.calls.get()
    }
}

async fn accept(listener: TcpListener, shared: Rc<Shared>, tasks: Rc<RefCell<Vec<AbortHandle>>>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        let service = service_fn(move |request: Request<hyper::body::Incoming>| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(answer(&shared, request.uri().query().unwrap_or("")).await) }
        });
        let connection =
            hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        let task = spawn_local(async move {
            let _ = connection.await;
        });
        tasks.borrow_mut().push(task.abort_handle());
    }
}

async fn answer(shared: &Shared, query: &str) -> Response<Full<Bytes>> {
    shared.calls.set(shared.calls.get() + 1);
    let value = |key: &str| query.split('&').find_map(|p| p.strip_prefix(key)?.strip_prefix('='));
    let index: u64 = value("index").and_then(|v| v.parse().ok()).unwrap_or(0);
    let wait = value("wait").and_then(|v| v.strip_suffix("ms")?.parse().ok()).unwrap_or(0);
    if index > 0 {
        let mut news = shared.index.subscribe();
        let newer = news.wait_for(|now| *now > index);
        let _ = timeout(Duration::from_millis(wait), newer).await;
    }
    let index = *shared.index.borrow();
    let entries: Vec<String> = shared.entries.borrow().values().cloned().collect();
    let mut response = Response::new(Full::from(format!("[{}]", entries.join(","))));
    let headers = response.headers_mut();
    headers.insert("x-consul-index", index.into());
    headers.insert("x-consul-knownleader", hyper::header::HeaderValue::from_static("true"));
    headers.insert("x-consul-lastcontact", 0.into());
    response
}
