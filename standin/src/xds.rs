//! An xDS v3 server on loopback: endpoint discovery of one cluster, state of the world and incremental.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prost::Message;
use sloeline_membership::xds::messages::*;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

use crate::grpc::{Local, Messages, Sender, responding, send};

/// A server that listens; dropped, it is gone with all its connections.
pub struct Xds {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Rc<Shared>,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
}

struct Shared {
    /// The version and the assignment, as a resource.
    state: watch::Sender<(u64, Any)>,
    /// What callers refused, and how many responses they took.
    refused: RefCell<Vec<String>>,
    taken: Cell<u64>,
}

impl Drop for Xds {
    fn drop(&mut self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
    }
}

impl Xds {
    /// Listens on any port; it has the cluster with nothing in it.
    pub fn start(cluster: &str) -> std::io::Result<Xds> {
        let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let (address, listener) = (listener.local_addr()?, TcpListener::from_std(listener)?);
        let empty = ClusterLoadAssignment { cluster_name: cluster.to_owned(), endpoints: Vec::new() };
        let any = Any { type_url: TYPE.to_owned(), value: empty.encode_to_vec() };
        let (refused, taken) = (RefCell::default(), Cell::new(0));
        let shared = Rc::new(Shared { state: watch::Sender::new((1, any)), refused, taken });
        let tasks = Rc::new(RefCell::new(Vec::new()));
        let task = spawn_local(accept(listener, shared.clone(), tasks.clone(), cluster.to_owned()));
        tasks.borrow_mut().push(task.abort_handle());
        Ok(Xds { address, shared, tasks })
    }

    /// Another assignment, told at once.
    pub fn set(&self, assignment: &ClusterLoadAssignment) {
        self.set_raw(assignment.encode_to_vec());
    }

    /// Bytes in an assignment's place.
    pub fn set_raw(&self, value: Vec<u8>) {
        self.shared.state.send_modify(|(version, any)| {
            *version += 1;
            any.value = value;
        });
    }

    /// Reasons for which callers refused responses.
    pub fn refused(&self) -> Vec<String> {
        self.shared.refused.borrow().clone()
    }

    /// How many responses were taken.
    pub fn taken(&self) -> u64 {
        self.shared.taken.get()
    }
}

async fn accept(
    listener: TcpListener,
    shared: Rc<Shared>,
    tasks: Rc<RefCell<Vec<AbortHandle>>>,
    cluster: String,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let (shared, cluster) = (shared.clone(), cluster.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (sender, response) = responding(&Rc::default());
            let delta = request.uri().path() == DELTA;
            let messages = Messages::new(request.into_body());
            spawn_local(stream_to(shared.clone(), cluster.clone(), delta, messages, sender));
            async move { Ok::<_, Infallible>(response) }
        });
        let connection =
            hyper::server::conn::http2::Builder::new(Local).serve_connection(TokioIo::new(stream), service);
        let task = spawn_local(async move {
            let _ = connection.await;
        });
        tasks.borrow_mut().push(task.abort_handle());
    }
}

impl Shared {
    fn answered(&self, nonce: &str, error: Option<Status>) {
        match error {
            Some(status) => self.refused.borrow_mut().push(status.message),
            None if !nonce.is_empty() => self.taken.set(self.taken.get() + 1),
            None => {}
        }
    }
}

async fn stream_to(shared: Rc<Shared>, cluster: String, delta: bool, mut messages: Messages, sender: Sender) {
    let mut state = shared.state.subscribe();
    let mut subscribed = false;
    state.mark_changed();
    loop {
        tokio::select! {
            changed = state.changed(), if subscribed => {
                if changed.is_err() {
                    return;
                }
                let (version, any) = state.borrow_and_update().clone();
                let (version, nonce, type_url) = (version.to_string(), version.to_string(), TYPE.to_owned());
                let sent = if delta {
                    let resource = Resource { version: version.clone(), resource: Some(any), name: cluster.clone() };
                    let (system_version_info, removed_resources) = (version, Vec::new());
                    let resources = vec![resource];
                    send(&sender, &DeltaDiscoveryResponse { system_version_info, resources, type_url, nonce, removed_resources })
                } else {
                    send(&sender, &DiscoveryResponse { version_info: version, resources: vec![any], type_url, nonce })
                };
                if !sent {
                    return;
                }
            }
            () = async {
                if delta {
                    match messages.next::<DeltaDiscoveryRequest>().await {
                        Some(m) => {
                            subscribed |= m.resource_names_subscribe.contains(&cluster);
                            shared.answered(&m.response_nonce, m.error_detail);
                        }
                        None => std::future::pending().await,
                    }
                } else {
                    match messages.next::<DiscoveryRequest>().await {
                        Some(m) => {
                            subscribed |= m.resource_names.contains(&cluster);
                            shared.answered(&m.response_nonce, m.error_detail);
                        }
                        None => std::future::pending().await,
                    }
                }
            } => {}
        }
    }
}
