//! The slots of this machine's upstream: requests wait here until the [`AdmissionQueue`] admits them, and hold a [`Slot`] while
//! they are at the upstream.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::admission::{AdmissionQueue, Arrival, Micros, State, Verdict};
use crate::metrics;

/// Minimum pause between two checks for expired requests, in microseconds.
const MIN_EXPIRY_PAUSE: Micros = 1_000;

/// Why a request gets no slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotRefusal {
    /// The upstream accepts no new requests.
    Closed,
    /// No slot will be free in time; there may be one after `wait` microseconds.
    Full {
        /// Expected time until there is a free slot.
        wait: Micros,
    },
    /// No slot became free while the request was queued.
    Expired,
}

/// The slots of the upstream, and the requests that wait for one.
pub struct UpstreamSlots {
    /// Decides which requests go to the upstream.
    queue: RefCell<AdmissionQueue>,
    /// The queued requests by their numbers.
    waiting: RefCell<HashMap<u64, WaitingRequest>>,
    /// How long queued requests are still admitted after the upstream has reported that it is closing.
    drain: Micros,
    /// Zero of the points in time.
    start: Instant,
    /// Wakes the task that admits and expires queued requests.
    changed: Notify,
}

/// A queued request.
struct WaitingRequest {
    /// Kind of the request, for its processing time.
    kind: u64,
    /// When the request arrived.
    arrived_at: Micros,
    /// Passes the slot to the request once it is admitted. Dropped unused when the request expires.
    slot_sender: oneshot::Sender<Slot>,
}

/// A slot that one request holds. Dropping it frees the slot.
pub struct Slot {
    /// The slots that this one belongs to.
    slots: Rc<UpstreamSlots>,
    /// Kind of the request, for its processing time.
    kind: u64,
    /// When the request was admitted.
    since: Micros,
    /// Whether the upstream has responded, which makes the elapsed time a sample of the processing time.
    responded: bool,
}

impl Slot {
    /// Records that the upstream has responded.
    pub fn set_responded(&mut self) {
        self.responded = true;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.slots.now();
        let held = now.saturating_sub(self.since);
        metrics::GATE_HELD.add(held);
        let took = self.responded.then_some(held);
        let admitted = self.slots.queue.borrow_mut().complete(now, self.kind, took);
        self.slots.pass_slots(admitted);
        self.slots.changed.notify_one();
    }
}

/// A queued request. Dropping it removes the request from the queue if it has been neither admitted nor expired.
struct QueueGuard<'a> {
    /// The slots that the request waits for.
    slots: &'a UpstreamSlots,
    /// Number of the request in the admission queue.
    number: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        if self.slots.waiting.borrow_mut().remove(&self.number).is_some() {
            self.slots.queue.borrow_mut().remove(self.number);
        }
    }
}

impl UpstreamSlots {
    /// Creates the slots of an upstream that has not reported itself yet. Requests that are queued when it begins to close are
    /// admitted for another `drain` microseconds.
    pub fn new(drain: Micros) -> Rc<UpstreamSlots> {
        Rc::new(UpstreamSlots {
            queue: RefCell::default(),
            waiting: RefCell::default(),
            drain,
            start: Instant::now(),
            changed: Notify::new(),
        })
    }

    /// Microseconds since these slots were created.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Sets the state of the upstream and the number of requests that it processes concurrently.
    pub fn set_upstream(&self, state: State, slots: usize) {
        {
            let mut queue = self.queue.borrow_mut();
            if state == State::Closing && queue.state() == State::Open {
                queue.limit_expiry(self.now() + self.drain);
            }
            queue.set_upstream(state, slots);
        }
        self.changed.notify_one();
    }

    /// Number of slots that requests hold now.
    pub fn in_use(&self) -> usize {
        self.queue.borrow().in_flight()
    }

    /// Whether no request holds a slot or waits for one.
    pub fn is_idle(&self) -> bool {
        self.queue.borrow().is_idle()
    }

    /// Waits for a slot. `arrival` says how long from now the request can wait.
    pub async fn acquire(self: &Rc<Self>, arrival: Arrival) -> Result<Slot, SlotRefusal> {
        let now = self.now();
        let verdict = self.queue.borrow_mut().arrive(now, arrival);
        match verdict {
            Verdict::Admit => Ok(self.slot(arrival.kind, now)),
            Verdict::Reject(wait) => {
                metrics::GATE_REFUSED.increment();
                Err(SlotRefusal::Full { wait })
            }
            Verdict::Closed => Err(SlotRefusal::Closed),
            Verdict::Queue(number) => self.wait(number, arrival.kind, now).await,
        }
    }

    /// The slot of a request that was admitted now and has waited since `arrived_at`.
    fn slot(self: &Rc<Self>, kind: u64, arrived_at: Micros) -> Slot {
        let since = self.now();
        metrics::GATE_ADMITTED.increment();
        metrics::GATE_WAIT.add(since.saturating_sub(arrived_at));
        Slot { slots: self.clone(), kind, since, responded: false }
    }

    /// Waits until a queued request is admitted or expires.
    async fn wait(self: &Rc<Self>, number: u64, kind: u64, arrived_at: Micros) -> Result<Slot, SlotRefusal> {
        let (slot_sender, slot) = oneshot::channel();
        self.waiting.borrow_mut().insert(number, WaitingRequest { kind, arrived_at, slot_sender });
        self.changed.notify_one();
        let guard = QueueGuard { slots: self, number };
        let slot = slot.await;
        drop(guard);
        slot.map_err(|_| {
            metrics::GATE_EXPIRED.increment();
            metrics::GATE_EXPIRED_WAIT.add(self.now().saturating_sub(arrived_at));
            SlotRefusal::Expired
        })
    }

    /// Passes slots to queued requests that were admitted. The slot exists from here on: if its request has been dropped, or
    /// is dropped before it takes the slot, the slot is dropped too and frees itself.
    fn pass_slots(self: &Rc<Self>, admitted: Vec<u64>) {
        for number in admitted {
            let request = self.waiting.borrow_mut().remove(&number);
            let (kind, arrived_at) =
                request.as_ref().map_or((0, self.now()), |request| (request.kind, request.arrived_at));
            let slot = self.slot(kind, arrived_at);
            if let Some(request) = request {
                let _ = request.slot_sender.send(slot);
            }
        }
    }

    /// Tells queued requests that they have expired.
    fn end_waits(&self, expired: Vec<u64>) {
        for number in expired {
            let request = self.waiting.borrow_mut().remove(&number);
            drop(request);
        }
    }

    /// Admits and expires queued requests when it is time; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = self.now();
            let (expired, admitted, next_expiry) = {
                let mut queue = self.queue.borrow_mut();
                (queue.expire(now), queue.admit_queued(now), queue.next_expiry())
            };
            self.end_waits(expired);
            self.pass_slots(admitted);
            match next_expiry {
                Some(expiry) => {
                    let at = Duration::from_micros(expiry.max(now + MIN_EXPIRY_PAUSE));
                    tokio::select! {
                        () = sleep_until(self.start + at) => {}
                        () = self.changed.notified() => {}
                    }
                }
                None => self.changed.notified().await,
            }
        }
    }
}
