//! The slots of an upstream under any order of arrivals, cancellations, completions and polls of the waiting requests.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use sloeline_data_plane::admission::{Arrival, State};
use sloeline_data_plane::upstream_slots::{Slot, SlotRefusal, UpstreamSlots};

/// Slots of the upstream.
const SLOTS: usize = 2;
/// Histories that each property is checked on.
const HISTORIES: u64 = 3_000;

/// One step of a history. Numbers select one of those that are there.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A request arrives.
    Arrive { kind: u64 },
    /// The task of a waiting request runs.
    Poll(usize),
    /// A waiting request is dropped, as when its connection ends.
    Cancel(usize),
    /// A request that holds a slot ends.
    Complete(usize),
    /// The background task runs.
    PollBackground,
    /// Time passes.
    Pass { millis: u64 },
    /// The upstream is gone, or is there again.
    Upstream(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let which = usize::arbitrary(g);
        match u8::arbitrary(g) % 16 {
            0..=4 => Step::Arrive { kind: which as u64 % 3 },
            5..=6 => Step::Poll(which),
            7..=9 => Step::Cancel(which),
            10..=12 => Step::Complete(which),
            13 => Step::PollBackground,
            14 => Step::Pass { millis: which as u64 % 400 },
            _ => Step::Upstream(which.is_multiple_of(4)),
        }
    }
}

type Waiting = Pin<Box<dyn Future<Output = Result<Slot, SlotRefusal>>>>;

/// Polls once without a waker.
fn poll_once<T>(future: &mut Pin<Box<dyn Future<Output = T>>>) -> Poll<T> {
    future.as_mut().poll(&mut Context::from_waker(Waker::noop()))
}

/// A history as far as it has been played.
struct History {
    slots: Rc<UpstreamSlots>,
    background: Pin<Box<dyn Future<Output = ()>>>,
    waiting: Vec<Waiting>,
    held: Vec<Slot>,
}

impl History {
    fn new() -> History {
        let slots = UpstreamSlots::new(50_000);
        slots.set_upstream(State::Open, SLOTS);
        let background = Box::pin(slots.clone().run());
        History { slots, background, waiting: Vec::new(), held: Vec::new() }
    }

    /// Polls a waiting request; it stays in the list while it waits.
    fn poll(&mut self, mut request: Waiting) {
        match poll_once(&mut request) {
            Poll::Ready(Ok(slot)) => self.held.push(slot),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.waiting.push(request),
        }
    }

    async fn play(&mut self, step: Step) {
        match step {
            Step::Arrive { kind } => {
                let arrival = Arrival {
                    kind,
                    priority: 1,
                    time_to_target: 300_000,
                    time_left: 2_000_000,
                    max_wait: 900_000,
                    link_wait: 0,
                    link_time: 0,
                };
                let slots = self.slots.clone();
                self.poll(Box::pin(async move { slots.acquire(arrival).await }));
            }
            Step::Poll(which) if !self.waiting.is_empty() => {
                let request = self.waiting.swap_remove(which % self.waiting.len());
                self.poll(request);
            }
            Step::Cancel(which) if !self.waiting.is_empty() => {
                drop(self.waiting.swap_remove(which % self.waiting.len()));
            }
            Step::Complete(which) if !self.held.is_empty() => {
                let mut slot = self.held.swap_remove(which % self.held.len());
                if which % 2 == 0 {
                    slot.set_responded();
                }
                drop(slot);
            }
            Step::PollBackground => _ = poll_once(&mut self.background),
            Step::Pass { millis } => tokio::time::advance(Duration::from_millis(millis)).await,
            Step::Upstream(gone) => {
                self.slots.set_upstream(if gone { State::Absent } else { State::Open }, SLOTS);
            }
            Step::Poll(_) | Step::Cancel(_) | Step::Complete(_) => {}
        }
    }
}

/// Plays a history, ends all of its requests, and returns whether no slot is in use and there is room for new requests.
fn leaves_no_slot_in_use(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    runtime.block_on(async {
        let mut history = History::new();
        for step in steps {
            history.play(step).await;
            assert!(history.held.len() <= history.slots.in_use(), "a slot is held that does not count");
            assert!(history.slots.in_use() <= SLOTS, "more slots are in use than there are");
        }
        history.waiting.clear();
        history.held.clear();
        let idle = history.slots.is_idle() && history.slots.in_use() == 0;
        history.play(Step::Upstream(false)).await;
        for kind in 0..SLOTS as u64 {
            history.play(Step::Arrive { kind }).await;
        }
        idle && history.held.len() == SLOTS
    })
}

/// Guards against slots that are lost for good when a request is dropped between its admission and its next poll.
#[test]
fn no_slot_stays_in_use_whatever_the_order_of_events() {
    QuickCheck::new().tests(HISTORIES).quickcheck(leaves_no_slot_in_use as fn(Vec<Step>) -> bool);
}

/// The history of the review's case: the holder of a slot and the one that waits for it end in the same turn.
#[test]
fn a_slot_is_freed_if_the_request_that_it_is_passed_to_has_just_ended() {
    let arrive = Step::Arrive { kind: 1 };
    let steps = vec![arrive, arrive, arrive, Step::Complete(0), Step::Cancel(0)];
    assert!(leaves_no_slot_in_use(steps));
}
