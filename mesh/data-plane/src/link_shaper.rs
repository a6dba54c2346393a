//! Shares the machine's outgoing link between long responses and all other traffic. Long responses are sent one after the
//! other and no faster than the link carries them, so that the queue of the link itself stays short and short responses
//! are not delayed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};

use crate::metrics;

/// A duration or a point in time, in microseconds.
pub type Micros = u64;

/// Maximum number of bytes of a long response that are sent in one turn.
pub const CHUNK_BYTES: usize = 8 << 10;
/// Share of the link's capacity for responses to other balancers. The rest is for responses to this machine's own clients,
/// control traffic and packet headers.
const RESPONSE_LINK_SHARE: f64 = 0.82;
/// Link time that may be sent ahead after an idle phase, to compensate for timers that fire late.
const BURST_MICROS: Micros = 10_000;

/// Computes when the link is free, and how long the pending long responses take, without I/O.
#[derive(Debug)]
pub struct Schedule {
    /// Rate for responses to other balancers.
    bytes_per_second: f64,
    /// When the link has transmitted everything that was sent.
    free_at: Micros,
    /// Bytes of long responses that are not sent yet, including those of responses that the upstream is expected to give.
    backlog_bytes: u64,
}

impl Schedule {
    /// Creates a schedule for an idle link with a capacity in megabits per second.
    pub fn new(link_mbps: f64) -> Schedule {
        Schedule {
            bytes_per_second: link_mbps * 1e6 / 8.0 * RESPONSE_LINK_SHARE,
            free_at: 0,
            backlog_bytes: 0,
        }
    }

    /// Transmission time of a number of bytes.
    pub fn transmit_time(&self, bytes: u64) -> Micros {
        (bytes as f64 / self.bytes_per_second * 1e6) as Micros
    }

    /// Records that a number of bytes is sent now.
    pub fn record_sent(&mut self, now: Micros, bytes: usize) {
        self.free_at = self.free_at.max(now.saturating_sub(BURST_MICROS)) + self.transmit_time(bytes as u64);
    }

    /// When the link is free for the next turn.
    pub fn free_at(&self) -> Micros {
        self.free_at
    }

    /// Adds a number of bytes to the backlog of long responses.
    pub fn add_backlog(&mut self, bytes: u64) {
        self.backlog_bytes += bytes;
        metrics::LINK_BACKLOG.set(self.backlog_bytes);
    }

    /// Removes a number of bytes from the backlog, either because they are sent or because they no longer have to be.
    pub fn remove_backlog(&mut self, bytes: u64) {
        self.backlog_bytes = self.backlog_bytes.saturating_sub(bytes);
        metrics::LINK_BACKLOG.set(self.backlog_bytes);
    }

    /// Transmission time of the backlog.
    pub fn backlog_time(&self) -> Micros {
        self.transmit_time(self.backlog_bytes)
    }
}

/// Controls when the responses of this process are sent on the outgoing link.
#[derive(Debug)]
pub struct LinkShaper {
    /// When the link is free, and the backlog of long responses.
    schedule: RefCell<Schedule>,
    /// Wakers of the long responses that have bytes to send, by position, in the order in which the responses began.
    waiting: RefCell<BTreeMap<u64, Waker>>,
    /// Position of the long response that began last.
    last_position: RefCell<u64>,
    /// Wakes [`LinkShaper::run`] after a change of the waiting responses.
    waiting_changed: Notify,
    /// Zero of the times in the schedule.
    start: Instant,
}

impl LinkShaper {
    /// Creates a shaper for an idle link with a capacity in megabits per second.
    pub fn new(link_mbps: f64) -> Rc<LinkShaper> {
        Rc::new(LinkShaper {
            schedule: RefCell::new(Schedule::new(link_mbps)),
            waiting: RefCell::default(),
            last_position: RefCell::default(),
            waiting_changed: Notify::new(),
            start: Instant::now(),
        })
    }

    /// Time since the start, shifted by the burst allowance.
    fn now(&self) -> Micros {
        // The schedule subtracts the burst allowance; the result must not be before the start.
        self.start.elapsed().as_micros() as Micros + BURST_MICROS
    }

    /// Adds an expected long response to the backlog. The returned value removes its bytes again as they are sent, and the
    /// rest when it is dropped.
    pub fn expect_response(self: &Rc<Self>, bytes: u64) -> ExpectedResponse {
        self.schedule.borrow_mut().add_backlog(bytes);
        ExpectedResponse { link: self.clone(), bytes }
    }

    /// Expected wait for the link, and transmission time, of a long response of this size.
    pub fn estimate(&self, bytes: u64) -> (Micros, Micros) {
        let schedule = self.schedule.borrow();
        (schedule.backlog_time(), schedule.transmit_time(bytes))
    }

    /// Whether no long response of known length is being sent or expected.
    pub fn is_idle(&self) -> bool {
        self.schedule.borrow().backlog_bytes == 0
    }

    /// Records that a part of a short response is sent now; short responses do not wait for a turn.
    pub fn record_sent(&self, bytes: usize) {
        let now = self.now();
        self.schedule.borrow_mut().record_sent(now, bytes);
    }

    /// Assigns the next position to a long response that begins now.
    pub fn next_position(&self) -> u64 {
        let mut last_position = self.last_position.borrow_mut();
        *last_position += 1;
        *last_position
    }

    /// Ready when the long response at this position may send a number of bytes, which are then recorded as sent.
    pub fn poll_turn(&self, position: u64, bytes: usize, context: &mut Context<'_>) -> Poll<()> {
        let now = self.now();
        let mut waiting = self.waiting.borrow_mut();
        waiting.insert(position, context.waker().clone());
        let first = waiting.first_key_value().is_some_and(|(first, _)| *first == position);
        self.waiting_changed.notify_one();
        if !first || self.schedule.borrow().free_at() > now {
            return Poll::Pending;
        }
        waiting.remove(&position);
        self.schedule.borrow_mut().record_sent(now, bytes);
        Poll::Ready(())
    }

    /// Removes the long response at this position, which has ended or was cancelled.
    pub fn remove(&self, position: u64) {
        self.waiting.borrow_mut().remove(&position);
        self.waiting_changed.notify_one();
    }

    /// Wakes the long response whose turn it is whenever the link is free; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let any_waiting = !self.waiting.borrow().is_empty();
            if !any_waiting {
                self.waiting_changed.notified().await;
                continue;
            }
            let free_at = self.schedule.borrow().free_at().saturating_sub(BURST_MICROS);
            sleep_until(self.start + Duration::from_micros(free_at)).await;
            let first = self.waiting.borrow().first_key_value().map(|(_, waker)| waker.clone());
            if let Some(waker) = first {
                waker.wake();
            }
            self.waiting_changed.notified().await;
        }
    }
}

/// The part of a long response that is not sent yet and counts towards the backlog.
#[derive(Debug)]
pub struct ExpectedResponse {
    link: Rc<LinkShaper>,
    /// Bytes of the response that are not sent yet.
    bytes: u64,
}

impl ExpectedResponse {
    /// Removes a number of sent bytes from the backlog.
    pub fn record_sent(&mut self, bytes: usize) {
        let sent = self.bytes.min(bytes as u64);
        self.link.schedule.borrow_mut().remove_backlog(sent);
        self.bytes -= sent;
    }
}

impl Drop for ExpectedResponse {
    fn drop(&mut self) {
        self.link.schedule.borrow_mut().remove_backlog(self.bytes);
    }
}
