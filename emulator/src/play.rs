//! The script: what happens to nodes, ways, registry and balancers, and how it is undone.

use finchshift::Micros;
use rand::RngExt;
use rand::seq::SliceRandom;

use crate::host::News;
use crate::node::Mood;
use crate::run::{Ev, Run};
use crate::script::{What, Whom};
use crate::world::World;

/// Something that goes on in steps.
#[derive(Clone, Copy, Debug)]
enum Later {
    /// A node drains, on its way to a new start.
    Drains(u32),
    /// It dies ...
    Dies(u32),
    /// ... and starts again.
    Starts(u32),
    /// It dies for good.
    Goes(u32),
    /// A balancer dies, and is away for so long.
    Falls(u32, Micros),
    /// It starts again.
    Rises(u32),
}

/// What the script has begun.
pub(crate) struct Playing {
    /// For each line: how often it has happened, and whom it took last.
    lines: Vec<(u32, Vec<u32>)>,
    steps: Vec<Later>,
    /// News on their way; each is told to all balancers, to each at its own time.
    items: Vec<News>,
    /// The registry tells nothing.
    silent: u32,
    /// It tells everything so much later.
    behind: Micros,
    /// What it could not tell: balancer and item.
    missed: Vec<(u32, u32)>,
}

impl Playing {
    pub fn new(world: &World) -> Playing {
        Playing {
            lines: vec![(0, Vec::new()); world.events.len()],
            steps: Vec::new(),
            items: Vec::new(),
            silent: 0,
            behind: 0,
            missed: Vec::new(),
        }
    }
}

impl Run<'_> {
    fn chosen(&mut self, line: u32, whom: Whom, count: usize) -> Vec<u32> {
        let all = 0..count as u32;
        let drawn = |run: &Run<'_>, n: usize| {
            let round = run.playing.lines[line as usize].0;
            let mut stream = run.streams.of("script", u64::from(line) | u64::from(round) << 32);
            let mut some: Vec<u32> = (0..count as u32).collect();
            let (some, _) = some.partial_shuffle(&mut stream, n.min(count));
            let mut some = some.to_vec();
            some.sort_unstable();
            some
        };
        match whom {
            Whom::All => all.collect(),
            Whom::Number(n) => vec![n],
            Whom::Zone(zone) => all.filter(|n| n % self.world.zones == zone).collect(),
            Whom::Some(n) => drawn(self, n as usize),
            Whom::Part(part) => drawn(self, ((count as f64 * part).round() as usize).max(1)),
        }
    }

    /// A line of the script happens.
    pub(crate) fn happens(&mut self, now: Micros, line: u32) {
        let happening = &self.world.events[line as usize];
        let (nodes, balancers) = (self.nodes.len(), self.balancers.len());
        let whom = match &happening.what {
            What::Restart { balancers: w, .. } => self.chosen(line, *w, balancers),
            what => what.nodes().map(|w| self.chosen(line, w, nodes)).unwrap_or_default(),
        };
        match &happening.what {
            What::Load { by, callers } => self.load(callers, *by),
            What::Slow { by, .. } => whom.iter().for_each(|n| self.nodes[*n as usize].slow = *by),
            What::Down { .. } => whom.iter().for_each(|n| self.node_dies(now, *n)),
            What::Roll { over, .. } => self.one_after_another(now, &whom, over.0, Later::Drains),
            What::Drain { .. } => {
                for n in &whom {
                    self.node_drains(now, *n);
                    self.later(now + self.world.nodes.drain.0, Later::Goes(*n));
                }
            }
            What::Pause { .. } => self.mood(now, &whom, Mood::Paused),
            What::Fail { part, .. } => self.mood(now, &whom, Mood::Failing(*part)),
            What::Hang { .. } => self.mood(now, &whom, Mood::Hanging),
            What::Empty { .. } => self.mood(now, &whom, Mood::Empty),
            What::Cut { from, to, both } => {
                self.ways.cut.push((*from, *to));
                if *both {
                    self.ways.cut.push((*to, *from));
                }
            }
            What::Far { by } => self.ways.by = *by,
            What::Loss { part } => self.ways.loss = *part,
            What::Silent => self.playing.silent += 1,
            What::Behind { by } => self.playing.behind = by.0,
            What::Restart { away, over, .. } => {
                let away = away.0;
                self.one_after_another(now, &whom, over.0, |b| Later::Falls(b, away));
            }
        }
        whom.iter().filter(|n| (**n as usize) < nodes).for_each(|n| self.see(now, *n));
        let state = &mut self.playing.lines[line as usize];
        state.0 += 1;
        state.1 = whom;
        if happening.lasts.0 > 0 {
            self.queue.push(now + happening.lasts.0, Ev::Undo(line));
        }
        if happening.every.0 > 0 && state.0 < happening.times {
            self.queue.push(now + happening.every.0, Ev::Play(line));
        }
    }

    /// ... and is undone.
    pub(crate) fn undone(&mut self, now: Micros, line: u32) {
        let happening = &self.world.events[line as usize];
        let whom = std::mem::take(&mut self.playing.lines[line as usize].1);
        match &happening.what {
            What::Load { callers, .. } => self.load(callers, 1.0),
            What::Slow { .. } => whom.iter().for_each(|n| self.nodes[*n as usize].slow = 1.0),
            What::Down { .. } | What::Drain { .. } => whom.iter().for_each(|n| self.node_starts(now, *n)),
            What::Pause { .. } | What::Fail { .. } | What::Hang { .. } | What::Empty { .. } => {
                self.mood(now, &whom, Mood::Well);
            }
            What::Cut { from, to, both } => {
                let gone = |cut: &(u32, u32)| *cut == (*from, *to) || *both && *cut == (*to, *from);
                self.ways.cut.retain(|cut| !gone(cut));
            }
            What::Far { .. } => self.ways.by = 1.0,
            What::Loss { .. } => self.ways.loss = self.world.network.loss,
            What::Silent => {
                self.playing.silent = self.playing.silent.saturating_sub(1);
                if self.playing.silent == 0 {
                    for (b, item) in std::mem::take(&mut self.playing.missed) {
                        self.news_goes(now, b, item);
                    }
                }
            }
            What::Behind { .. } => self.playing.behind = 0,
            // They go on by themselves.
            What::Roll { .. } | What::Restart { .. } => {}
        }
        let nodes = self.nodes.len();
        whom.iter().filter(|n| (**n as usize) < nodes).for_each(|n| self.see(now, *n));
    }

    fn one_after_another(&mut self, now: Micros, whom: &[u32], over: Micros, step: impl Fn(u32) -> Later) {
        for (at, n) in whom.iter().enumerate() {
            let offset = over * at as Micros / whom.len().max(1) as Micros;
            self.later(now + offset, step(*n));
        }
    }

    fn later(&mut self, at: Micros, step: Later) {
        self.playing.steps.push(step);
        self.queue.push(at, Ev::Step(self.playing.steps.len() as u32 - 1));
    }

    pub(crate) fn step(&mut self, now: Micros, step: u32) {
        let drain = self.world.nodes.drain.0;
        match self.playing.steps[step as usize] {
            Later::Drains(n) => {
                self.node_drains(now, n);
                self.later(now + drain, Later::Dies(n));
            }
            Later::Dies(n) => {
                self.node_dies(now, n);
                self.later(now + drain / 2, Later::Starts(n));
            }
            Later::Starts(n) => self.node_starts(now, n),
            Later::Goes(n) => self.node_dies(now, n),
            Later::Falls(b, away) => {
                self.balancer_dies(now, b);
                self.later(now + away, Later::Rises(b));
            }
            Later::Rises(b) => self.balancer_starts(now, b),
        }
    }

    fn mood(&mut self, now: Micros, whom: &[u32], mood: Mood) {
        for n in whom {
            let node = &mut self.nodes[*n as usize];
            let before = std::mem::replace(&mut node.mood, mood);
            let stuck = std::mem::take(&mut node.stuck);
            // What hung is broken off, what stood still goes on.
            self.stuck_go_on(now, stuck, before == Mood::Hanging);
        }
    }

    fn node_drains(&mut self, now: Micros, n: u32) {
        if std::mem::replace(&mut self.nodes[n as usize].draining, true) {
            return;
        }
        self.see(now, n);
        self.told_to_all(now, n);
    }

    fn node_dies(&mut self, now: Micros, n: u32) {
        if !self.nodes[n as usize].up {
            return;
        }
        let lost = self.nodes[n as usize].die();
        self.work_is_lost(now, n);
        self.stuck_go_on(now, lost, true);
        self.see(now, n);
        self.told_to_all(now, n);
    }

    fn node_starts(&mut self, now: Micros, n: u32) {
        if self.nodes[n as usize].up {
            return;
        }
        self.nodes[n as usize].start(now);
        self.see(now, n);
        self.told_to_all(now, n);
    }

    /// The registry tells every balancer of a node, each at a time of its own.
    fn told_to_all(&mut self, now: Micros, n: u32) {
        let news = self.news_of(n);
        self.playing.items.push(news);
        let item = self.playing.items.len() as u32 - 1;
        for b in 0..self.balancers.len() as u32 {
            self.news_goes(now, b, item);
        }
    }

    fn news_goes(&mut self, now: Micros, b: u32, item: u32) {
        let registry = &self.world.registry;
        let balancer = &mut self.balancers[b as usize];
        let spread =
            if registry.spread.0 > 0 { balancer.stream.random_range(0..=registry.spread.0) } else { 0 };
        let at = (now + registry.lag.0 + spread + self.playing.behind).max(balancer.told);
        balancer.told = at;
        self.queue.push(at, Ev::News(b, item));
    }

    pub(crate) fn news(&mut self, now: Micros, b: u32, item: u32) {
        if self.playing.silent > 0 {
            return self.playing.missed.push((b, item));
        }
        let balancer = &self.balancers[b as usize];
        // One that has just started hears of everything with its first list.
        if balancer.up && balancer.listed {
            let news = self.playing.items[item as usize];
            self.hears(now, b, news);
        }
    }
}
