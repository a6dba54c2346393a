//! A fleet in a network of its own: delays, loss, cuts in one direction or both, instances that die and come back. Events
//! come in the order of their times, one seed gives one history.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use sloeline_fleet::message::{Message, Name, State, size};
use sloeline_fleet::swim::{Change, Output, Settings, Swim};

pub const SECOND: u64 = 1_000_000;
/// Bytes around a message on the wire.
const AROUND: u64 = 80;

enum Event {
    Ring(usize, u32),
    Arrives(usize, SocketAddr, Box<Message>),
}

pub struct One {
    pub swim: Option<Swim>,
    /// Lives so far: what was meant for one before rings nobody.
    life: u32,
    rings_at: u64,
    pub bytes: u64,
    /// Most bytes in any second, and in the present one.
    pub most: u64,
    second: (u64, u64),
}

pub struct World {
    pub now: u64,
    pub all: Vec<One>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    held: BTreeMap<u64, Event>,
    next: u64,
    pub rng: fastrand::Rng,
    pub loss: f64,
    /// Whether a message from one reaches another.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    /// What was told, when and by whom.
    pub told: Vec<(u64, usize, Change)>,
    settings: Settings,
}

pub fn name(of: usize) -> Name {
    format!("n{of:04}").into()
}

pub fn address(of: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (of >> 8) as u8, of as u8], 7946))
}

fn at(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { unreachable!() };
    let [_, _, high, low] = v4.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

impl World {
    /// So many that start within a second and know three of them.
    pub fn new(size: usize, settings: Settings, seed: u64) -> World {
        let mut world = World {
            now: 0,
            all: Vec::new(),
            events: BinaryHeap::new(),
            held: BTreeMap::new(),
            next: 0,
            rng: fastrand::Rng::with_seed(seed),
            loss: 0.0,
            cut: Box::new(|_, _| false),
            told: Vec::new(),
            settings,
        };
        for of in 0..size {
            world.all.push(One { swim: None, life: 0, rings_at: 0, bytes: 0, most: 0, second: (0, 0) });
            world.start(of, name(of), 1);
        }
        world
    }

    pub fn start(&mut self, of: usize, name: Name, incarnation: u64) {
        let seeds = (0..3).map(address).collect();
        let seed = self.rng.u64(..);
        let who = (name, address(of), ["z0", "z1", "z2"][of % 3].into());
        self.all[of].life += 1;
        self.all[of].rings_at = u64::MAX;
        self.all[of].swim = Some(Swim::new(self.now, who, incarnation, seeds, self.settings, seed));
        self.after(of);
    }

    pub fn kill(&mut self, of: usize) {
        self.all[of].swim = None;
    }

    fn file(&mut self, at: u64, event: Event) {
        self.events.push(Reverse((at, self.next)));
        self.held.insert(self.next, event);
        self.next += 1;
    }

    /// Carries out what an instance wants.
    pub fn after(&mut self, of: usize) {
        while let Some(output) = self.all[of].swim.as_mut().and_then(Swim::output) {
            match output {
                Output::Told(change) => self.told.push((self.now, of, change)),
                Output::Send(to, message) => {
                    let (bytes, second) = (size(&message) as u64 + AROUND, self.now / SECOND);
                    let one = &mut self.all[of];
                    one.bytes += bytes;
                    one.second =
                        if one.second.0 == second { (second, one.second.1 + bytes) } else { (second, bytes) };
                    one.most = one.most.max(one.second.1);
                    let lost = self.rng.f64() < self.loss || (self.cut)(of, at(to));
                    if !lost && at(to) < self.all.len() {
                        let delay = self.rng.u64(500..5_000);
                        let arrives = Event::Arrives(at(to), address(of), Box::new(message));
                        self.file(self.now + delay, arrives);
                    }
                }
            }
        }
        let one = &self.all[of];
        let Some(due) = one.swim.as_ref().map(Swim::due) else { return };
        let due = due.max(self.now);
        if due < one.rings_at {
            let life = one.life;
            self.all[of].rings_at = due;
            self.file(due, Event::Ring(of, life));
        }
    }

    /// Lets time pass until then.
    pub fn until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) =
            self.events.peek().copied().filter(|Reverse((at, _))| *at <= end)
        {
            self.events.pop();
            self.now = at;
            let Some(event) = self.held.remove(&number) else { continue };
            let of = match event {
                Event::Ring(of, life) if self.all[of].life != life => continue,
                Event::Ring(of, _) => {
                    self.all[of].rings_at = u64::MAX;
                    if let Some(swim) = &mut self.all[of].swim {
                        swim.ring(at);
                    }
                    of
                }
                Event::Arrives(of, from, message) => {
                    if let Some(swim) = &mut self.all[of].swim {
                        swim.heard(at, from, *message);
                    }
                    of
                }
            };
            self.after(of);
        }
        self.now = end;
    }

    pub fn swim(&self, of: usize) -> &Swim {
        self.all[of].swim.as_ref().expect("it lives")
    }

    /// How many of those that live hold one for that.
    pub fn believe(&self, of: &Name, state: State) -> usize {
        let lives = self.all.iter().filter_map(|one| one.swim.as_ref());
        lives.filter(|swim| swim.members().any(|m| m.update.name == *of && m.update.state == state)).count()
    }

    /// Whether all that live know all that live as alive.
    pub fn agreed(&self) -> bool {
        let lives = self.all.iter().filter(|one| one.swim.is_some()).count();
        self.all
            .iter()
            .filter_map(|one| one.swim.as_ref())
            .all(|swim| 1 + swim.members().filter(|m| m.update.state == State::Alive).count() == lives)
    }

    /// Lets time pass until that is so; how long it took, or nothing within the span.
    pub fn until_so(&mut self, span: u64, so: impl Fn(&World) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + span {
            if so(self) {
                return Some(self.now - start);
            }
            self.until(self.now + SECOND / 10);
        }
        None
    }

    /// Deaths that were told of those that lived.
    pub fn deaths(&self, since: u64) -> usize {
        self.told.iter().filter(|(at, _, change)| *at >= since && matches!(change, Change::Died(_))).count()
    }
}
