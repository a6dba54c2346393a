//! What a run is measured by. Caller's tries of one request count as one: asked once, answered once.

use finchshift::Micros;
use hdrhistogram::Histogram;

/// Longest latency that is told apart, in microseconds: ten minutes.
const LONGEST: u64 = 600_000_000;
/// Worst windows have so many seconds.
pub const WINDOW: usize = 5;

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Asked.
    pub asked: u64,
    /// Answered well within the aim.
    pub good: u64,
    /// Answered well, but later.
    pub late: u64,
    /// Refused, at last.
    pub refused: u64,
    /// Failed, at last; or cut off with their balancer.
    pub failed: u64,
    /// Left without an answer.
    pub left: u64,
    /// Answered well with nothing in it; among the good and late to the balancer, and worth nothing.
    pub empty: u64,
    /// Worth asked for.
    pub worth: f64,
    /// Worth of the good.
    pub earned: f64,
    /// Attempts on nodes.
    pub attempts: u64,
    /// Tries of callers beyond the first.
    pub again: u64,
}

impl Tally {
    /// Worth earned for the worth asked for; 1 where none was.
    pub fn goodput(&self) -> f64 {
        if self.worth > 0.0 { self.earned / self.worth } else { 1.0 }
    }

    /// Adds another.
    pub fn add(&mut self, other: &Tally) {
        self.asked += other.asked;
        self.good += other.good;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.left += other.left;
        self.empty += other.empty;
        self.worth += other.worth;
        self.earned += other.earned;
        self.attempts += other.attempts;
        self.again += other.again;
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered well.
    Served,
    /// Answered well, with nothing in it.
    Empty,
    /// Refused.
    Refused,
    /// Failed.
    Failed,
    /// It left.
    Left,
}

/// A request that has ended, as records keep it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Row {
    /// When it was first asked.
    pub asked: Micros,
    /// Its class.
    pub class: u32,
    /// The balancer of its last try.
    pub balancer: u32,
    /// The node of its last attempt, or `u32::MAX`.
    pub node: u32,
    /// How it ended.
    pub end: End,
    /// From its first try to the end.
    pub latency: Micros,
    /// Attempts on nodes.
    pub attempts: u32,
    /// Tries of its caller.
    pub tries: u32,
}

impl Row {
    /// Its fields as they go into a digest or a file: little endian, in the order of their declaration.
    pub fn bytes(&self) -> [u8; 37] {
        let mut bytes = [0; 37];
        bytes[..8].copy_from_slice(&self.asked.to_le_bytes());
        bytes[8..12].copy_from_slice(&self.class.to_le_bytes());
        bytes[12..16].copy_from_slice(&self.balancer.to_le_bytes());
        bytes[16..20].copy_from_slice(&self.node.to_le_bytes());
        bytes[20] = self.end as u8;
        bytes[21..29].copy_from_slice(&self.latency.to_le_bytes());
        bytes[29..33].copy_from_slice(&self.attempts.to_le_bytes());
        bytes[33..37].copy_from_slice(&self.tries.to_le_bytes());
        bytes
    }
}

/// One class.
#[derive(Clone, Debug)]
pub struct OfClass {
    /// What became of its requests.
    pub tally: Tally,
    /// Latencies of those that were answered well, in microseconds.
    pub latency: Histogram<u64>,
}

/// The figures of a run.
#[derive(Clone, Debug)]
pub struct Measures {
    /// By class.
    pub classes: Vec<OfClass>,
    /// By the second in which they were asked.
    pub seconds: Vec<Tally>,
    /// Median and 99th percentile of what was answered well, by the second in which it was asked; filled at the end.
    pub percentiles: Vec<(Micros, Micros)>,
    latencies: Vec<Vec<u32>>,
    /// By the balancer that they were first asked of.
    pub balancers: Vec<Tally>,
    /// Requests that each node served.
    pub nodes: Vec<u64>,
    from: Micros,
}

impl Measures {
    /// Nothing yet; what is asked before `from` does not count.
    pub fn new(classes: usize, balancers: usize, nodes: usize, from: Micros) -> Measures {
        let class = || OfClass {
            tally: Tally::default(),
            latency: Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds that make a histogram"),
        };
        Measures {
            classes: (0..classes).map(|_| class()).collect(),
            seconds: Vec::new(),
            percentiles: Vec::new(),
            latencies: Vec::new(),
            balancers: vec![Tally::default(); balancers],
            nodes: vec![0; nodes],
            from,
        }
    }

    /// A request has ended; `first` is the balancer it was first asked of.
    pub fn ended(&mut self, row: &Row, first: u32, worth: f64, aim: Micros) {
        if row.asked < self.from {
            return;
        }
        let mut one = Tally { asked: 1, worth, ..Tally::default() };
        match row.end {
            End::Served if row.latency <= aim => (one.good, one.earned) = (1, worth),
            End::Served => one.late = 1,
            End::Empty => one.empty = 1,
            End::Refused => one.refused = 1,
            End::Failed => one.failed = 1,
            End::Left => one.left = 1,
        }
        one.attempts = u64::from(row.attempts);
        one.again = u64::from(row.tries.saturating_sub(1));
        let second = (row.asked / 1_000_000) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Tally::default());
            self.latencies.resize(second + 1, Vec::new());
        }
        self.seconds[second].add(&one);
        self.classes[row.class as usize].tally.add(&one);
        self.balancers[first as usize].add(&one);
        if row.end == End::Served {
            self.classes[row.class as usize].latency.saturating_record(row.latency.max(1));
            self.latencies[second].push(u32::try_from(row.latency).unwrap_or(u32::MAX));
        }
    }

    /// Works out what needs all of it.
    pub fn finish(&mut self) {
        for latencies in std::mem::take(&mut self.latencies) {
            let mut latencies = latencies;
            let mut at = |part: f64| match latencies.len() {
                0 => 0,
                n => *latencies.select_nth_unstable((n as f64 * part) as usize).1,
            };
            let pair = (Micros::from(at(0.5)), Micros::from(at(0.99)));
            self.percentiles.push(pair);
        }
    }

    /// All classes together.
    pub fn total(&self) -> Tally {
        let mut total = Tally::default();
        self.classes.iter().for_each(|c| total.add(&c.tally));
        total
    }

    /// Goodput of the worst [`WINDOW`] seconds in a row.
    pub fn worst_window(&self) -> f64 {
        let from = (self.from / 1_000_000) as usize;
        let counted = self.seconds.get(from..).unwrap_or_default();
        let window = |seconds: &[Tally]| {
            let mut sum = Tally::default();
            seconds.iter().for_each(|s| sum.add(s));
            sum.goodput()
        };
        let worst = counted.windows(WINDOW).map(window).fold(f64::INFINITY, f64::min);
        if worst.is_finite() { worst } else { window(counted) }
    }

    /// Goodput of the worst balancer among those that were asked enough to tell.
    pub fn worst_balancer(&self) -> f64 {
        self.balancers.iter().filter(|b| b.asked >= 20).map(Tally::goodput).fold(1.0, f64::min)
    }

    /// All latencies of what was answered well.
    pub fn latency(&self) -> Histogram<u64> {
        let mut all = Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds that make a histogram");
        for class in &self.classes {
            all.add(&class.latency).expect("the same bounds");
        }
        all
    }
}
