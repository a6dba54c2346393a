//! Connections to the other core machines, made as they become known.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sloeline_chain_replication::Message;
use sloeline_rpc::RpcRequest;
use sloeline_rpc::link::Link;
use tokio::time::Instant;

/// A machine that has not been heard for so long gets a new connection: a cut may have swallowed what the old one waits for.
const RECONNECT: Duration = Duration::from_millis(1000);

struct Connection {
    link: Rc<Link>,
    heard: Instant,
}

/// All of them.
pub struct Links {
    me: SocketAddr,
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl Links {
    /// None yet; `me` is the address that messages are sent from.
    pub fn new(me: SocketAddr) -> Links {
        Links { me, connections: RefCell::default() }
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let mut connections = self.connections.borrow_mut();
        let connection = connections
            .entry(to)
            .or_insert_with(|| Connection { link: Link::new(to), heard: Instant::now() });
        connection.link.notify(&RpcRequest::Chain { from: self.me, message: Box::new(message) });
    }

    /// Something came from a machine.
    pub fn heard(&self, from: SocketAddr) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(&from) {
            connection.heard = Instant::now();
            connection.link.peer_reachable();
        }
    }

    /// Resets connections to machines that have been silent, and drops those that `known` does not name.
    pub fn tend(&self, known: &[SocketAddr]) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|address, _| known.contains(address));
        for connection in connections.values() {
            let old = |up: Instant| up.elapsed() > RECONNECT;
            if connection.heard.elapsed() > RECONNECT && connection.link.connected_since().is_some_and(old) {
                connection.link.reset();
            }
        }
    }
}
