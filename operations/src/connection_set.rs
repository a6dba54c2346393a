//! Limits the open connections of a listener for operators: a new connection replaces the oldest one. Silent callers can
//! therefore neither use up the file descriptors nor lock out other callers.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::task::{AbortHandle, spawn_local};

/// Pause after a connection could not be accepted.
pub const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The open connections of a listener, oldest first.
#[derive(Debug)]
pub struct ConnectionSet {
    max_connections: usize,
    open: RefCell<VecDeque<AbortHandle>>,
}

impl Drop for ConnectionSet {
    fn drop(&mut self) {
        self.open.borrow().iter().for_each(AbortHandle::abort);
    }
}

impl ConnectionSet {
    /// Creates an empty set for at most `max_connections` connections.
    pub fn new(max_connections: usize) -> ConnectionSet {
        ConnectionSet { max_connections, open: RefCell::default() }
    }

    /// Serves a connection in a task of its own. Closes the oldest connection if the set is full.
    pub fn spawn(&self, connection: impl Future<Output = ()> + 'static) {
        let mut open = self.open.borrow_mut();
        open.retain(|task| !task.is_finished());
        if open.len() >= self.max_connections
            && let Some(first) = open.pop_front()
        {
            first.abort();
        }
        open.push_back(spawn_local(connection).abort_handle());
    }
}
