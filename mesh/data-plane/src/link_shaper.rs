//! The machine's outgoing link, shared between long answers and all else: long ones leave one after the other and no faster
//! than the link carries them, so that little waits in the link's own queue and what is short passes by.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::metrics;

/// Microseconds.
pub type Micros = u64;

/// Bytes that a long answer sends at a turn.
pub const CHUNK: usize = 8 << 10;
/// Part of the link that answers to other balancers may fill; answers to this machine's own clients, control and the heads of
/// packets have the rest.
const USED: f64 = 0.82;
/// A link that was idle has so much to spare: timers fire late.
const BURST: Micros = 10_000;

/// Who sends next and when, without I/O.
#[derive(Debug)]
pub struct Schedule {
    bytes_per_second: f64,
    /// When all that was sent has left.
    free_at: Micros,
    /// Bytes of long answers that are still to be sent or expected.
    backlog: u64,
}

impl Schedule {
    /// A link of so many megabits a second.
    pub fn new(link_mbps: f64) -> Schedule {
        Schedule { bytes_per_second: link_mbps * 1e6 / 8.0 * USED, free_at: 0, backlog: 0 }
    }

    /// How long so many bytes take.
    pub fn time_of(&self, bytes: u64) -> Micros {
        (bytes as f64 / self.bytes_per_second * 1e6) as Micros
    }

    /// So many bytes are sent now.
    pub fn sent(&mut self, now: Micros, bytes: usize) {
        self.free_at = self.free_at.max(now.saturating_sub(BURST)) + self.time_of(bytes as u64);
    }

    /// When the next turn is.
    pub fn free_at(&self) -> Micros {
        self.free_at
    }

    /// So many bytes more are to be sent.
    pub fn expect(&mut self, bytes: u64) {
        self.backlog += bytes;
        metrics::LINK_BACKLOG.set(self.backlog);
    }

    /// So many of them are sent, or not to be sent after all.
    pub fn settle(&mut self, bytes: u64) {
        self.backlog = self.backlog.saturating_sub(bytes);
        metrics::LINK_BACKLOG.set(self.backlog);
    }

    /// How long what is to be sent takes.
    pub fn backlog(&self) -> Micros {
        self.time_of(self.backlog)
    }
}

/// The link as the answers of this process use it.
#[derive(Debug)]
pub struct LinkShaper {
    schedule: RefCell<Schedule>,
    /// Long answers that have bytes to send, in the order in which they began.
    waiting: RefCell<BTreeMap<u64, Waker>>,
    next: RefCell<u64>,
    changed: Notify,
    start: Instant,
}

impl LinkShaper {
    /// An idle link of so many megabits a second.
    pub fn new(link_mbps: f64) -> Rc<LinkShaper> {
        Rc::new(LinkShaper {
            schedule: RefCell::new(Schedule::new(link_mbps)),
            waiting: RefCell::default(),
            next: RefCell::default(),
            changed: Notify::new(),
            start: Instant::now(),
        })
    }

    fn now(&self) -> Micros {
        // A moment that lies a burst back must not lie before the start.
        self.start.elapsed().as_micros() as Micros + BURST
    }

    /// A long answer of so many bytes is to be expected until what is returned is dropped or has been sent.
    pub fn expect(self: &Rc<Self>, bytes: u64) -> Expected {
        self.schedule.borrow_mut().expect(bytes);
        Expected { link: self.clone(), bytes }
    }

    /// How long a long answer of so many bytes waits for the link, and how long it takes itself.
    pub fn outlook(&self, bytes: u64) -> (Micros, Micros) {
        let schedule = self.schedule.borrow();
        (schedule.backlog(), schedule.time_of(bytes))
    }

    /// No long answer of a known length is to be sent or expected.
    pub fn is_idle(&self) -> bool {
        self.schedule.borrow().backlog == 0
    }

    /// A short answer goes out at once.
    pub fn sent(&self, bytes: usize) {
        let now = self.now();
        self.schedule.borrow_mut().sent(now, bytes);
    }

    /// The place of a long answer that begins now.
    pub fn begin(&self) -> u64 {
        let mut next = self.next.borrow_mut();
        *next += 1;
        *next
    }

    /// Ready when the long answer with this place may send so many bytes, which then count as sent.
    pub fn poll_turn(&self, place: u64, bytes: usize, context: &mut Context<'_>) -> Poll<()> {
        let now = self.now();
        let mut waiting = self.waiting.borrow_mut();
        waiting.insert(place, context.waker().clone());
        let first = waiting.first_key_value().is_some_and(|(first, _)| *first == place);
        self.changed.notify_one();
        if !first || self.schedule.borrow().free_at() > now {
            return Poll::Pending;
        }
        waiting.remove(&place);
        self.schedule.borrow_mut().sent(now, bytes);
        Poll::Ready(())
    }

    /// The answer with this place does not wait any more.
    pub fn leave(&self, place: u64) {
        self.waiting.borrow_mut().remove(&place);
        self.changed.notify_one();
    }

    /// Wakes whoever has its turn; never returns.
    pub async fn tend(self: Rc<Self>) {
        loop {
            let anybody = !self.waiting.borrow().is_empty();
            if !anybody {
                self.changed.notified().await;
                continue;
            }
            let free_at = self.schedule.borrow().free_at().saturating_sub(BURST);
            sleep_until(self.start + Duration::from_micros(free_at)).await;
            let first = self.waiting.borrow().first_key_value().map(|(_, waker)| waker.clone());
            if let Some(waker) = first {
                waker.wake();
            }
            self.changed.notified().await;
        }
    }
}

/// Bytes of a long answer that are still to be sent.
#[derive(Debug)]
pub struct Expected {
    link: Rc<LinkShaper>,
    bytes: u64,
}

impl Expected {
    /// So many of them are sent.
    pub fn sent(&mut self, bytes: usize) {
        let sent = self.bytes.min(bytes as u64);
        self.link.schedule.borrow_mut().settle(sent);
        self.bytes -= sent;
    }
}

impl Drop for Expected {
    fn drop(&mut self) {
        self.link.schedule.borrow_mut().settle(self.bytes);
    }
}
