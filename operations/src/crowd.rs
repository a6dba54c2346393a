//! Callers of operators' calls: so many connections at once, and the one that came first makes room. Guards the
//! descriptors against callers that say nothing, and those who have something to say against them.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::task::{AbortHandle, spawn_local};

/// Pause after a connection could not be taken.
pub const PAUSE: Duration = Duration::from_millis(20);

/// The connections of a listener.
#[derive(Debug)]
pub struct Crowd {
    most: usize,
    open: RefCell<VecDeque<AbortHandle>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.open.borrow().iter().for_each(AbortHandle::abort);
    }
}

impl Crowd {
    /// None yet, and so many at the most.
    pub fn new(most: usize) -> Crowd {
        Crowd { most, open: RefCell::default() }
    }

    /// Serves one more, in a task of its own.
    pub fn take(&self, connection: impl Future<Output = ()> + 'static) {
        let mut open = self.open.borrow_mut();
        open.retain(|task| !task.is_finished());
        if open.len() >= self.most
            && let Some(first) = open.pop_front()
        {
            first.abort();
        }
        open.push_back(spawn_local(connection).abort_handle());
    }
}
