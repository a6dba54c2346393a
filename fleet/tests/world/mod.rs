//! A simulated fleet: delays, loss, partitions in one or both directions, instances that die and restart. Events are
//! processed in time order, so one seed gives one history.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use sloeline_fleet::message::{Message, Name, State, encoded_size};
use sloeline_fleet::swim::{Change, Output, Settings, Swim};

pub const SECOND: u64 = 1_000_000;
/// Estimated overhead of a message on the wire, in bytes.
const PACKET_OVERHEAD_BYTES: u64 = 80;

/// A future event of the simulation.
enum Event {
    /// The timer of an instance, in its nth run, is due.
    Timer(usize, u32),
    /// A message arrives at an instance from an address.
    Delivery(usize, SocketAddr, Box<Message>),
}

/// A simulated instance.
pub struct Instance {
    /// The membership state; `None` while the instance is dead.
    pub swim: Option<Swim>,
    /// Number of starts so far. Timers of earlier runs are ignored.
    run: u32,
    /// When the earliest scheduled timer is due.
    timer_at: u64,
    /// Bytes sent so far.
    pub sent_bytes: u64,
    /// Most bytes sent in any one second.
    pub peak_bytes: u64,
    /// The second of the last send, and the bytes sent in it.
    current_second: (u64, u64),
}

/// The simulated network and all its instances.
pub struct World {
    /// Simulated time, in microseconds.
    pub now: u64,
    pub instances: Vec<Instance>,
    /// Times and IDs of future events, earliest first.
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Future events by ID.
    pending: BTreeMap<u64, Event>,
    /// ID of the next event.
    next_event: u64,
    pub rng: fastrand::Rng,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Returns whether the network drops all messages from the first instance to the second.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Reported changes: time, reporting instance, change.
    pub changes: Vec<(u64, usize, Change)>,
    settings: Settings,
}

/// Returns the name of the instance with this index.
pub fn name(index: usize) -> Name {
    format!("n{index:04}").into()
}

/// Returns the address of the instance with this index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 7946))
}

/// Returns the index of the instance with this address.
fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { unreachable!() };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl World {
    /// Starts `size` instances within one period; each has the first three as seeds.
    pub fn new(size: usize, settings: Settings, seed: u64) -> World {
        let mut world = World {
            now: 0,
            instances: Vec::new(),
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            cut: Box::new(|_, _| false),
            changes: Vec::new(),
            settings,
        };
        for index in 0..size {
            world.instances.push(Instance {
                swim: None,
                run: 0,
                timer_at: 0,
                sent_bytes: 0,
                peak_bytes: 0,
                current_second: (0, 0),
            });
            world.start(index, name(index), 1);
        }
        world
    }

    /// Starts the instance with this index under a name.
    pub fn start(&mut self, index: usize, name: Name, incarnation: u64) {
        let seeds = (0..3).map(address).collect();
        let seed = self.rng.u64(..);
        let identity = (name, address(index), ["z0", "z1", "z2"][index % 3].into());
        self.instances[index].run += 1;
        self.instances[index].timer_at = u64::MAX;
        self.instances[index].swim =
            Some(Swim::new(self.now, identity, incarnation, seeds, self.settings, seed));
        self.process_outputs(index);
    }

    /// Kills an instance without a leave message.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].swim = None;
    }

    /// Schedules an event.
    fn schedule(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    /// Carries out the pending outputs of an instance and schedules its next timer.
    pub fn process_outputs(&mut self, index: usize) {
        while let Some(output) = self.instances[index].swim.as_mut().and_then(Swim::next_output) {
            match output {
                Output::Changed(change) => self.changes.push((self.now, index, change)),
                Output::Send(to, message) => {
                    let (bytes, second) =
                        (encoded_size(&message) as u64 + PACKET_OVERHEAD_BYTES, self.now / SECOND);
                    let instance = &mut self.instances[index];
                    instance.sent_bytes += bytes;
                    instance.current_second = if instance.current_second.0 == second {
                        (second, instance.current_second.1 + bytes)
                    } else {
                        (second, bytes)
                    };
                    instance.peak_bytes = instance.peak_bytes.max(instance.current_second.1);
                    let lost = self.rng.f64() < self.loss || (self.cut)(index, index_of(to));
                    if !lost && index_of(to) < self.instances.len() {
                        let delay = self.rng.u64(500..5_000);
                        let delivery = Event::Delivery(index_of(to), address(index), Box::new(message));
                        self.schedule(self.now + delay, delivery);
                    }
                }
            }
        }
        let instance = &self.instances[index];
        let Some(due) = instance.swim.as_ref().map(Swim::next_deadline) else { return };
        let due = due.max(self.now);
        if due < instance.timer_at {
            let run = instance.run;
            self.instances[index].timer_at = due;
            self.schedule(due, Event::Timer(index, run));
        }
    }

    /// Processes all events up to the time `end`.
    pub fn advance_to(&mut self, end: u64) {
        while let Some(Reverse((at, number))) =
            self.events.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.events.pop();
            self.now = at;
            let Some(event) = self.pending.remove(&number) else { continue };
            let index = match event {
                Event::Timer(index, run) if self.instances[index].run != run => continue,
                Event::Timer(index, _) => {
                    self.instances[index].timer_at = u64::MAX;
                    if let Some(swim) = &mut self.instances[index].swim {
                        swim.on_timer(at);
                    }
                    index
                }
                Event::Delivery(index, from, message) => {
                    if let Some(swim) = &mut self.instances[index].swim {
                        swim.handle_message(at, from, *message);
                    }
                    index
                }
            };
            self.process_outputs(index);
        }
        self.now = end;
    }

    /// Returns the membership state of a running instance.
    pub fn swim(&self, index: usize) -> &Swim {
        self.instances[index].swim.as_ref().expect("instance is running")
    }

    /// Returns the number of running instances that have the named member in `state`.
    pub fn count_in_state(&self, target: &Name, state: State) -> usize {
        let running = self.instances.iter().filter_map(|instance| instance.swim.as_ref());
        running
            .filter(|swim| swim.members().any(|m| m.update.name == *target && m.update.state == state))
            .count()
    }

    /// Returns whether all running instances see exactly the running instances as alive.
    pub fn converged(&self) -> bool {
        let running = self.instances.iter().filter(|instance| instance.swim.is_some()).count();
        self.instances
            .iter()
            .filter_map(|instance| instance.swim.as_ref())
            .all(|swim| 1 + swim.members().filter(|m| m.update.state == State::Alive).count() == running)
    }

    /// Advances the time until the condition holds. Returns how long that took, or `None` if it does not hold within
    /// `span`.
    pub fn run_until(&mut self, span: u64, condition: impl Fn(&World) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + span {
            if condition(self) {
                return Some(self.now - start);
            }
            self.advance_to(self.now + SECOND / 10);
        }
        None
    }

    /// Returns the number of deaths reported since a time.
    pub fn deaths_since(&self, since: u64) -> usize {
        self.changes
            .iter()
            .filter(|(at, _, change)| *at >= since && matches!(change, Change::Died(_)))
            .count()
    }
}
