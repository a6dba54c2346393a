//! A node: what it holds, how fast it is, and what ails it.

use std::collections::VecDeque;

use finchshift::Micros;

use crate::run::{AttemptKey, Idle};
use crate::world::Nodes;

/// A cold node is pushed over by balancers that knew if so much of what it was sent came from them.
const TOLD: f64 = 2.0 / 3.0;

/// What ails a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mood {
    /// Nothing.
    Well,
    /// It stands still.
    Paused,
    /// It answers this part of its requests with an error at once.
    Failing(f64),
    /// It takes requests and never answers.
    Hanging,
    /// It answers at once, with nothing.
    Empty,
}

/// A node.
pub struct Node {
    /// Its zone.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// Its speed beside the others'.
    pub speed: f64,
    /// It takes so many times as long.
    pub slow: f64,
    /// It runs.
    pub up: bool,
    /// The registry says, or will say, that it drains.
    pub draining: bool,
    /// When it started; `None` for long ago.
    pub started: Option<Micros>,
    /// How often it has died: what was there before is no more.
    pub life: u32,
    /// What ails it.
    pub mood: Mood,
    /// Requests in work.
    pub busy: u32,
    /// Those that wait, first in first out.
    pub queue: VecDeque<AttemptKey>,
    /// What came, or was ready, while it stood still; or hangs.
    pub stuck: Vec<AttemptKey>,
    /// Connections to it.
    pub connections: u32,
    /// Attempts it has been sent.
    pub taken: u64,
    /// Requests it has served.
    pub served: u64,
    /// Work sent to it lately, while it is cold, and whether by a balancer that had been told of its start: for the rule.
    pub lately: VecDeque<(Micros, f64, bool)>,
    /// The sum of that, in microseconds of work, and of what came from those.
    pub load: f64,
    /// ... from balancers that had been told.
    pub knowing: f64,
    /// It was pushed over since it started.
    pub tipped: bool,
}

impl Node {
    /// One that has been running for long.
    pub fn new(zone: u32, cell: u32, speed: f64) -> Node {
        Node {
            zone,
            cell,
            speed,
            slow: 1.0,
            up: true,
            draining: false,
            started: None,
            life: 0,
            mood: Mood::Well,
            busy: 0,
            queue: VecDeque::new(),
            stuck: Vec::new(),
            connections: 0,
            taken: 0,
            served: 0,
            lately: VecDeque::new(),
            load: 0.0,
            knowing: 0.0,
            tipped: false,
        }
    }

    /// What it holds.
    pub fn held(&self) -> u32 {
        self.busy + self.queue.len() as u32
    }

    /// How much of its speed it has while it warms up.
    pub fn warmth(&self, now: Micros, of: &Nodes) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / of.warm.0.max(1) as f64;
        (of.cold + (1.0 - of.cold) * age).min(1.0)
    }

    /// Work that one of its cores does in a microsecond, in microseconds of work.
    pub fn pace(&self, now: Micros, of: &Nodes) -> f64 {
        let held = f64::from(self.held()) / f64::from(of.cores);
        let eased =
            if of.crowded > 0.0 && held > of.crowded { (of.crowded / held).max(of.collapsed) } else { 1.0 };
        self.speed * self.warmth(now, of) * eased / self.slow
    }

    /// Counts work sent to it while it is cold; tells whether that has pushed it over, once for each start. What balancers
    /// sent that had not been told of its start they could not know better: it counts as theirs from two thirds on.
    pub fn pushed(
        &mut self,
        now: Micros,
        (work, told): (f64, bool),
        of: &Nodes,
        span: Micros,
        factor: f64,
        slack: f64,
    ) -> bool {
        let warmth = self.warmth(now, of);
        if warmth >= 1.0 {
            self.lately.clear();
            (self.load, self.knowing) = (0.0, 0.0);
            return false;
        }
        self.lately.push_back((now, work, told));
        self.load += work;
        self.knowing += if told { work } else { 0.0 };
        while let Some((at, old, told)) = self.lately.front().copied().filter(|(at, ..)| at + span < now) {
            debug_assert!(at <= now);
            self.load -= old;
            self.knowing -= if told { old } else { 0.0 };
            self.lately.pop_front();
        }
        let capacity = f64::from(of.cores) * self.speed * warmth * span as f64;
        let over = self.load > factor * capacity + slack && self.knowing >= TOLD * self.load;
        over && !std::mem::replace(&mut self.tipped, true)
    }

    /// Idle connections to it are closed, if they were made in this life.
    pub(crate) fn closes(&mut self, idle: Idle) {
        if idle.life == self.life {
            self.connections = self.connections.saturating_sub(idle.count);
        }
    }

    /// It dies: all that it holds is lost. Returns what was there.
    pub fn die(&mut self) -> Vec<AttemptKey> {
        self.up = false;
        self.life += 1;
        self.busy = 0;
        self.connections = 0;
        let mut lost: Vec<AttemptKey> = self.queue.drain(..).collect();
        lost.append(&mut self.stuck);
        lost
    }

    /// It starts, cold.
    pub fn start(&mut self, now: Micros) {
        self.up = true;
        self.draining = false;
        self.started = Some(now);
        self.mood = Mood::Well;
        self.tipped = false;
        self.lately.clear();
        (self.load, self.knowing) = (0.0, 0.0);
    }
}
