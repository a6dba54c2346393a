//! Which node: each policy from its published description.

use finchshift::{Micros, Outcome};
use rand::RngExt;
use rand_xoshiro::Xoshiro256PlusPlus;
use sloeline_emulator::truth::Truth;

/// Generator of the choices.
pub type Rng = Xoshiro256PlusPlus;

/// A node as a balancer sees it.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Its number.
    pub node: u32,
    /// Its zone and cell.
    pub zone: u32,
    /// Its cell.
    pub cell: u32,
    /// It may be sent something new.
    pub ready: bool,
    /// Own requests in flight.
    pub out: u32,
    /// Not before this: it is ejected.
    pub ejected: Micros,
}

/// What a request is, as far as picks ask.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// What it asks for.
    pub key: u64,
    /// How long its caller still waits.
    pub left: Micros,
}

/// Chooses a node.
pub trait Pick {
    /// One of the nodes that `fits`; by their places among all.
    fn pick(
        &mut self,
        now: Micros,
        wanted: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        rng: &mut Rng,
    ) -> Option<usize>;
    /// Nodes have come or gone.
    fn changed(&mut self, _nodes: &[Known]) {}
    /// An attempt on a node has ended.
    fn ended(&mut self, _now: Micros, _node: u32, _latency: Micros, _outcome: Outcome) {}
    /// It would rather refuse than send in vain.
    fn refuses(&self, _now: Micros, _wanted: Wanted) -> bool {
        false
    }
}

/// One that fits, drawn evenly: some draws, and then a walk from a random place.
fn any(nodes: &[Known], fits: &dyn Fn(&Known) -> bool, rng: &mut Rng) -> Option<usize> {
    let n = nodes.len();
    if n == 0 {
        return None;
    }
    for _ in 0..4 {
        let at = rng.random_range(0..n);
        if fits(&nodes[at]) {
            return Some(at);
        }
    }
    let from = rng.random_range(0..n);
    (0..n).map(|i| (from + i) % n).find(|at| fits(&nodes[*at]))
}

/// Two that fit, or one twice where there are no others.
fn two(nodes: &[Known], fits: &dyn Fn(&Known) -> bool, rng: &mut Rng) -> Option<(usize, usize)> {
    let first = any(nodes, fits, rng)?;
    let other = any(nodes, &|k| fits(k) && k.node != nodes[first].node, rng);
    Some((first, other.unwrap_or(first)))
}

/// Each in turn.
#[derive(Default)]
pub struct RoundRobin {
    next: Option<usize>,
}

impl Pick for RoundRobin {
    fn pick(
        &mut self,
        _: Micros,
        _: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        rng: &mut Rng,
    ) -> Option<usize> {
        let n = nodes.len();
        // From a place of its own: balancers that begin together would go in step.
        let from = self.next.unwrap_or_else(|| rng.random_range(0..n.max(1)));
        let at = (0..n).map(|i| (from + i) % n).find(|at| fits(&nodes[*at]))?;
        self.next = Some(at + 1);
        Some(at)
    }
}

/// Any.
pub struct Random;

impl Pick for Random {
    fn pick(
        &mut self,
        _: Micros,
        _: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        rng: &mut Rng,
    ) -> Option<usize> {
        any(nodes, fits, rng)
    }
}

/// Fewest own requests in flight; ties by a draw.
pub struct Least;

impl Pick for Least {
    fn pick(
        &mut self,
        _: Micros,
        _: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        rng: &mut Rng,
    ) -> Option<usize> {
        let n = nodes.len();
        let from = if n > 0 { rng.random_range(0..n) } else { 0 };
        let places = (0..n).map(|i| (from + i) % n);
        places.filter(|at| fits(&nodes[*at])).min_by_key(|at| nodes[*at].out)
    }
}

/// M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing" (2001): the less loaded of two.
pub struct TwoChoices;

impl Pick for TwoChoices {
    fn pick(
        &mut self,
        _: Micros,
        _: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        rng: &mut Rng,
    ) -> Option<usize> {
        let (a, b) = two(nodes, fits, rng)?;
        Some(if nodes[b].out < nodes[a].out { b } else { a })
    }
}

/// How fast a latency that went down is believed.
const DECAY: f64 = 10e6;

#[derive(Clone, Copy, Default)]
struct Cost {
    latency: f64,
    at: Micros,
}

/// Peak-sensitive moving average of latencies, times requests in flight, the lower of two: as Finagle describes its "Peak
/// EWMA". A latency over the average is believed at once, one under it slowly.
#[derive(Default)]
pub struct Ewma {
    costs: Vec<Cost>,
}

impl Ewma {
    fn cost(&self, now: Micros, known: &Known) -> f64 {
        let cost = self.costs.get(known.node as usize).copied().unwrap_or_default();
        let faded = cost.latency * (-(now.saturating_sub(cost.at) as f64) / DECAY).exp();
        // One of which nothing is known is tried, but not by all at once.
        match faded {
            0.0 if known.out > 0 => f64::MAX / 2.0,
            faded => faded * f64::from(known.out + 1),
        }
    }
}

impl Pick for Ewma {
    fn pick(
        &mut self,
        now: Micros,
        _: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        rng: &mut Rng,
    ) -> Option<usize> {
        let (a, b) = two(nodes, fits, rng)?;
        Some(if self.cost(now, &nodes[b]) < self.cost(now, &nodes[a]) { b } else { a })
    }

    fn ended(&mut self, now: Micros, node: u32, latency: Micros, outcome: Outcome) {
        let at = node as usize;
        if self.costs.len() <= at {
            self.costs.resize(at + 1, Cost::default());
        }
        if matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Error) {
            let cost = &mut self.costs[at];
            let keep = (-(now.saturating_sub(cost.at) as f64) / DECAY).exp();
            let latency = latency as f64;
            let peak = latency > cost.latency;
            cost.latency = if peak { latency } else { cost.latency * keep + latency * (1.0 - keep) };
            cost.at = now;
        }
    }
}

/// Points of each node on the ring.
const POINTS: u32 = 64;
/// A node takes no more than this many times the mean.
const BOUND: f64 = 1.25;

/// V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded Loads" (2016), over own requests in flight.
#[derive(Default)]
pub struct Bounded {
    ring: Vec<(u64, usize)>,
}

/// SplitMix64's finish: every bit of the number counts.
fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let n = (n ^ (n >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    n ^ (n >> 31)
}

impl Pick for Bounded {
    fn changed(&mut self, nodes: &[Known]) {
        let point = |node: u32, i: u32| mix(u64::from(node) << 16 | u64::from(i) | 1 << 60);
        let all = nodes.iter().enumerate();
        self.ring = all.flat_map(|(at, k)| (0..POINTS).map(move |i| (point(k.node, i), at))).collect();
        self.ring.sort_unstable();
    }

    fn pick(
        &mut self,
        _: Micros,
        wanted: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        _: &mut Rng,
    ) -> Option<usize> {
        let (out, ready) = nodes.iter().filter(|k| k.ready).fold((1, 0), |(o, r), k| (o + k.out, r + 1));
        let most = (BOUND * f64::from(out) / f64::from(ready.max(1))).ceil();
        let from = self.ring.partition_point(|(point, _)| *point < mix(wanted.key));
        let walk = (0..self.ring.len()).map(|i| self.ring[(from + i) % self.ring.len()].1);
        let mut first = None;
        for at in walk {
            if fits(&nodes[at]) {
                first = first.or(Some(at));
                if f64::from(nodes[at].out) < most {
                    return Some(at);
                }
            }
        }
        first
    }
}

/// Sees the true state: the node that would be done first; and refuses what none could do in time.
pub struct Oracle {
    truth: Truth,
}

/// Nodes that it looks at for one request: with all of them, every request would cost as much as the fleet is large.
const SEEN: usize = 64;

impl Oracle {
    /// One that sees this.
    pub fn new(truth: Truth) -> Oracle {
        Oracle { truth }
    }

    /// When a node could be done with one more, in units of its work.
    fn wait(&self, node: u32) -> f64 {
        let rate = self.truth.rate(node);
        let (busy, queued) = self.truth.held(node);
        if rate > 0.0 { f64::from(busy + queued * 2 + 1) / rate } else { f64::INFINITY }
    }
}

impl Pick for Oracle {
    fn pick(
        &mut self,
        _: Micros,
        _: Wanted,
        nodes: &[Known],
        fits: &dyn Fn(&Known) -> bool,
        rng: &mut Rng,
    ) -> Option<usize> {
        let n = nodes.len();
        let from = if n > 0 { rng.random_range(0..n) } else { 0 };
        let places = (0..n).map(|i| (from + i) % n).filter(|at| fits(&nodes[*at]));
        let waits = places.map(|at| (self.wait(nodes[at].node), at)).filter(|(wait, _)| wait.is_finite());
        waits.take(SEEN).min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, at)| at)
    }
}
