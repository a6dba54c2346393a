//! Connections to the other core machines, created with the first message to each.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sloeline_chain_replication::Message;
use sloeline_rpc::RpcRequest;
use sloeline_rpc::link::Link;
use tokio::time::Instant;

/// A connection to a machine that has been silent for this long is reset. After a network failure the old connection may wait
/// for the retransmission of lost packets, which takes longer than a new connection.
const MAX_SILENCE: Duration = Duration::from_millis(1000);

/// A connection to a core machine.
struct Connection {
    /// Carries the messages.
    link: Rc<Link>,
    /// When the machine last sent a message, on whichever connection.
    last_heard: Instant,
}

/// The connections to the other core machines, by address.
pub struct Links {
    /// Address of this machine, sent along with each message.
    me: SocketAddr,
    /// The connection to each machine, by its mesh address.
    connections: RefCell<HashMap<SocketAddr, Connection>>,
}

impl Links {
    /// Creates an empty set of connections. Messages name `me` as the address of their sender.
    pub fn new(me: SocketAddr) -> Links {
        Links { me, connections: RefCell::default() }
    }

    /// Sends a message to another core machine. The message may be lost.
    pub fn send(&self, to: SocketAddr, message: Message) {
        let mut connections = self.connections.borrow_mut();
        let connection = connections
            .entry(to)
            .or_insert_with(|| Connection { link: Link::new(to), last_heard: Instant::now() });
        connection.link.notify(&RpcRequest::Chain { from: self.me, message: Box::new(message) });
    }

    /// Records that a message of another core machine has arrived.
    pub fn record_heard(&self, from: SocketAddr) {
        if let Some(connection) = self.connections.borrow_mut().get_mut(&from) {
            connection.last_heard = Instant::now();
            connection.link.peer_reachable();
        }
    }

    /// Resets the connections to silent machines, and drops the connections to machines that are not in `known`.
    pub fn maintain(&self, known: &[SocketAddr]) {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|address, _| known.contains(address));
        for connection in connections.values() {
            let is_old = |connected: Instant| connected.elapsed() > MAX_SILENCE;
            if connection.last_heard.elapsed() > MAX_SILENCE
                && connection.link.connected_since().is_some_and(is_old)
            {
                connection.link.reset();
            }
        }
    }
}
