//! What a soak has seen, and what must hold of it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

/// A configuration that was sent.
#[derive(Clone, Debug)]
struct Order {
    body: String,
    acknowledged: Option<Instant>,
}

/// What a balancer has shown.
#[derive(Clone, Copy, Debug)]
struct Shown {
    /// In which of its lives.
    life: u64,
    edition: u32,
    at: Instant,
}

/// Orders, their acknowledgements, and all that was wrong.
#[derive(Default)]
pub struct Account {
    orders: BTreeMap<u32, Order>,
    /// What was wrong, in the order in which it was seen.
    pub violations: Vec<String>,
    /// The newest version that each balancer has shown, and in which of its lives.
    shown: BTreeMap<u8, Shown>,
    /// When the last probes of balancers began and ended, oldest first.
    probes: VecDeque<(u8, Instant, Instant)>,
    /// How often something was done or seen.
    counts: BTreeMap<&'static str, u64>,
}

/// Number of probes that are remembered.
const REMEMBERED_PROBES: usize = 2_000;

impl Account {
    /// An order goes out.
    pub fn sent(&mut self, edition: u32, body: String) {
        self.orders.insert(edition, Order { body, acknowledged: None });
    }

    /// It was acknowledged.
    pub fn acknowledged(&mut self, edition: u32) {
        self.count("acknowledged");
        if let Some(order) = self.orders.get_mut(&edition) {
            order.acknowledged.get_or_insert_with(Instant::now);
        }
    }

    /// The newest version that was acknowledged before a moment.
    pub fn acknowledged_before(&self, moment: Instant) -> Option<u32> {
        let before = |order: &Order| order.acknowledged.is_some_and(|at| at < moment);
        self.orders.iter().rev().find(|(_, order)| before(order)).map(|(edition, _)| *edition)
    }

    /// The newest version that was acknowledged.
    pub fn newest_acknowledged(&self) -> Option<u32> {
        self.acknowledged_before(Instant::now())
    }

    /// Versions that may be in force: those that were sent.
    pub fn editions(&self) -> Vec<u32> {
        self.orders.keys().copied().collect()
    }

    /// A read of the configuration that was sent at a moment gave this.
    pub fn read_back(&mut self, sent_at: Instant, edition: u32, body: &str) {
        self.count("reads");
        let newest = self.acknowledged_before(sent_at);
        if Some(edition) < newest {
            self.violate(format!("read back {edition} after {newest:?} was acknowledged"));
        }
        match self.orders.get(&edition) {
            Some(order) if order.body == body => {}
            Some(_) => self.violate(format!("read back {edition} with other content than was sent")),
            None => self.violate(format!("read back {edition}, which was never sent")),
        }
    }

    /// A look at a balancer that began at a moment has shown a version in force. Within one life it never goes back.
    pub fn shows(&mut self, balancer: u8, life: u64, edition: u32, began: Instant) {
        self.count("probes");
        let known = self.shown.get(&balancer).copied();
        // Two looks at once may end in any order.
        if known.is_some_and(|known| known.at >= began) {
            return;
        }
        if let Some(known) = known
            && known.life == life
            && known.edition > edition
        {
            self.violate(format!("balancer {balancer} went back from {} to {edition}", known.edition));
        }
        self.shown.insert(balancer, Shown { life, edition, at: Instant::now() });
    }

    /// The newest version that a balancer has shown in this life.
    pub fn shown_by(&self, balancer: u8, life: u64) -> Option<u32> {
        self.shown.get(&balancer).filter(|shown| shown.life == life).map(|shown| shown.edition)
    }

    /// A probe of a balancer that began at a moment has ended.
    pub fn probe_took(&mut self, balancer: u8, began: Instant) {
        if self.probes.len() == REMEMBERED_PROBES {
            self.probes.pop_front();
        }
        self.probes.push_back((balancer, began, Instant::now()));
    }

    /// The slowest probe of a balancer that ended after a moment.
    pub fn slowest_probe_since(&self, balancer: u8, moment: Instant) -> Option<Duration> {
        let probes = self.probes.iter().filter(|(of, _, ended)| *of == balancer && *ended >= moment);
        probes.map(|(_, began, ended)| *ended - *began).max()
    }

    /// Something was wrong.
    pub fn violate(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Something was done or seen once more.
    pub fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// How often, by what.
    pub fn counts(&self) -> &BTreeMap<&'static str, u64> {
        &self.counts
    }
}
