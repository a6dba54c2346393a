//! The orders of a daemon's operators, with their authors, reasons, times and expiries: which of them are in force, and what
//! they amount to in each pool. Without I/O; the time is an argument, in microseconds of Unix time.
//!
//! - An order is in force until it is revoked, expires, or is replaced by another order for the same target.
//! - Concurrent operators: an order that names the revision it is based on is refused if the book has changed since, with the
//!   last change and its author. Without a revision, the later order wins.
//! - A node may be out in one pool and in all pools. It gets requests in a pool again once no order says otherwise. An order for
//!   all pools cannot be revoked for a single pool.
//! - Within a process, time never goes back. If the clock has gone back across a restart, no order lasts longer from then on than
//!   the duration it was given for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use finchshift::Micros;
use serde::{Deserialize, Serialize};

/// Maximum number of orders in force. Bounds the memory and the file size against a runaway script.
pub const MAX_ACTIVE_ORDERS: usize = 4096;
/// Maximum number of ended orders that are remembered.
pub const MAX_ENDED_ORDERS: usize = 256;
/// Maximum length of the name of a node, a pool or a person, in bytes.
pub const MAX_NAME_BYTES: usize = 256;
/// Maximum length of a reason in bytes.
pub const MAX_REASON_BYTES: usize = 1024;

/// An order of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "lowercase", deny_unknown_fields)]
pub enum Order {
    /// Sends no new requests to a node, whatever discovery reports.
    Out {
        /// Name of the node.
        node: String,
        /// The pool; `None` for all pools, including future ones.
        pool: Option<String>,
    },
    /// Sends clients away.
    Standby,
    /// Limits a pool.
    Limit {
        /// Name of the pool.
        pool: String,
        /// Maximum number of open requests.
        open: Option<u64>,
        /// Maximum rate in requests per second.
        rate: Option<f64>,
    },
}

/// The target of an order. At most one order is in force for each target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderTarget {
    /// A node, in one pool or in all pools.
    Node(String, Option<String>),
    /// This instance.
    Instance,
    /// A pool.
    Pool(String),
}

impl Order {
    /// The target of the order.
    pub fn target(&self) -> OrderTarget {
        match self {
            Order::Out { node, pool } => OrderTarget::Node(node.clone(), pool.clone()),
            Order::Standby => OrderTarget::Instance,
            Order::Limit { pool, .. } => OrderTarget::Pool(pool.clone()),
        }
    }

    /// Validates the order.
    fn check(&self) -> Result<(), OrderError> {
        let named = |field: &'static str, text: &str| match text.len() {
            1..=MAX_NAME_BYTES => Ok(()),
            found => Err(OrderError::InvalidField {
                field,
                found: format!("{found} bytes"),
                expected: "1 to 256 bytes",
            }),
        };
        match self {
            Order::Out { node, pool } => {
                named("node", node)?;
                pool.as_deref().map_or(Ok(()), |pool| named("pool", pool))
            }
            Order::Standby => Ok(()),
            Order::Limit { pool, open: None, rate: None } => Err(OrderError::InvalidField {
                field: "limit",
                found: format!("none for {pool}"),
                expected: "a number of open requests, a rate, or both",
            }),
            Order::Limit { pool, rate, .. } => {
                named("pool", pool)?;
                match rate {
                    Some(rate) if !rate.is_finite() || *rate < 0.0 => Err(OrderError::InvalidField {
                        field: "rate",
                        found: rate.to_string(),
                        expected: "requests a second, 0 or more",
                    }),
                    _ => Ok(()),
                }
            }
        }
    }
}

/// Author, reason, expiry and precondition of an order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderDetails {
    /// The author.
    pub who: String,
    /// The reason, for other operators.
    pub why: Option<String>,
    /// When the order expires; `None` if it stays in force until it is revoked.
    pub until: Option<Micros>,
    /// The revision that the order is based on. The order is refused if the book has changed since.
    pub revision: Option<u64>,
}

/// An order in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActiveOrder {
    /// Number of the order, never reused.
    pub id: u64,
    /// The order.
    #[serde(flatten)]
    pub order: Order,
    /// The author.
    pub who: String,
    /// The reason.
    pub why: Option<String>,
    /// When the order was given.
    pub since: Micros,
    /// When the order expires.
    pub until: Option<Micros>,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndReason {
    /// The order has expired.
    #[serde(rename = "over")]
    Expired,
    /// Revoked by this author.
    #[serde(rename = "back")]
    Revoked(String),
    /// Replaced by the order with this number.
    Replaced(u64),
}

/// An order that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndedOrder {
    /// The order.
    #[serde(flatten)]
    pub stood: ActiveOrder,
    /// When the order ended.
    pub at: Micros,
    /// How the order ended.
    pub end: EndReason,
}

/// Why a change was refused. The book is unchanged.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderError {
    /// A field is invalid.
    InvalidField {
        /// Name of the field.
        field: &'static str,
        /// The value found.
        found: String,
        /// What was expected.
        expected: &'static str,
    },
    /// The book has changed since the revision that the order is based on.
    Conflict {
        /// The revision that the caller named.
        found: u64,
        /// The present one.
        expected: u64,
        /// Describes the last change and its author.
        last: String,
    },
    /// Too many orders are in force.
    TooManyOrders,
    /// The node is out in all pools, by this order.
    OutInAllPools(Box<ActiveOrder>),
}

impl fmt::Display for OrderError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderError::InvalidField { field, found, expected } => {
                write!(f, "{field}: found {found}, expected {expected}")
            }
            OrderError::Conflict { found, expected, last } => {
                write!(f, "found revision {found}, expected {expected}: since then {last}")
            }
            OrderError::TooManyOrders => {
                write!(f, "{MAX_ACTIVE_ORDERS} orders stand, expected fewer: take some back")
            }
            OrderError::OutInAllPools(order) => write!(
                f,
                "the node is out in all pools by order {} of {}: take it back in all of them",
                order.id, order.who
            ),
        }
    }
}

/// Limits of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLimit {
    /// Maximum number of open requests.
    pub open: Option<u64>,
    /// Maximum rate in requests per second.
    pub rate: Option<f64>,
}

/// The combined effect of all orders in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EffectiveOrders {
    /// Pools and nodes that get no new requests.
    pub out: BTreeSet<(String, String)>,
    /// Whether clients are sent away.
    pub standby: bool,
    /// Limits by pool.
    pub bounds: BTreeMap<String, PoolLimit>,
}

/// A difference between two effects.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderChange {
    /// The node (second) gets no new requests in the pool (first).
    Out(String, String),
    /// The node gets requests in the pool again, like one that has just started.
    Back(String, String),
    /// Whether clients are sent away.
    Standby(bool),
    /// The new limits of a pool; `None` for no limits.
    Limit(String, Option<PoolLimit>),
}

impl EffectiveOrders {
    /// Returns the changes that lead to `to`, with restrictions before their removal.
    pub fn changes_to(&self, to: &EffectiveOrders) -> Vec<OrderChange> {
        let out =
            to.out.difference(&self.out).map(|(pool, node)| OrderChange::Out(pool.clone(), node.clone()));
        let back =
            self.out.difference(&to.out).map(|(pool, node)| OrderChange::Back(pool.clone(), node.clone()));
        let pools: BTreeSet<&String> = self.bounds.keys().chain(to.bounds.keys()).collect();
        let bounds = pools.into_iter().filter(|pool| self.bounds.get(*pool) != to.bounds.get(*pool));
        let bounds = bounds.map(|pool| OrderChange::Limit(pool.clone(), to.bounds.get(pool).copied()));
        let standby = (self.standby != to.standby).then_some(OrderChange::Standby(to.standby));
        out.chain(bounds).chain(standby).chain(back).collect()
    }
}

/// All orders, in force and ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrderBook {
    /// Number of changes so far.
    revision: u64,
    next: u64,
    standing: BTreeMap<OrderTarget, ActiveOrder>,
    past: VecDeque<EndedOrder>,
    /// The latest known time.
    now: Micros,
}

/// The stored form of an [`OrderBook`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StoredOrders {
    /// Number of changes so far.
    pub revision: u64,
    /// Number of the next order.
    pub next: u64,
    /// Orders in force.
    pub standing: Vec<ActiveOrder>,
    /// Ended orders, latest last.
    pub past: Vec<EndedOrder>,
}

impl OrderBook {
    /// Restores the book of an earlier process. Returns the orders that have expired meanwhile as well.
    pub fn restore(stored: StoredOrders, now: Micros) -> (OrderBook, Vec<ActiveOrder>) {
        let mut book =
            OrderBook { revision: stored.revision, next: stored.next, now, ..OrderBook::default() };
        for mut order in stored.standing.into_iter().take(MAX_ACTIVE_ORDERS) {
            // The clock has gone back: the order lasts no longer from now than its original duration.
            if let Some(until) = order.until.filter(|_| order.since > now) {
                order.until = Some(now.saturating_add(until.saturating_sub(order.since)));
            }
            book.next = book.next.max(order.id + 1);
            book.standing.insert(order.order.target(), order);
        }
        book.past = stored.past.into_iter().rev().take(MAX_ENDED_ORDERS).rev().collect();
        let over = book.expire(now);
        (book, over)
    }

    /// Returns the stored form, for a later process.
    pub fn to_stored(&self) -> StoredOrders {
        StoredOrders {
            revision: self.revision,
            next: self.next,
            standing: self.standing.values().cloned().collect(),
            past: self.past.iter().cloned().collect(),
        }
    }

    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Orders in force, sorted by target.
    pub fn standing(&self) -> impl Iterator<Item = &ActiveOrder> {
        self.standing.values()
    }

    /// Ended orders, latest last.
    pub fn past(&self) -> impl Iterator<Item = &EndedOrder> {
        self.past.iter()
    }

    /// When the next order expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.standing.values().filter_map(|order| order.until).min()
    }

    /// Ends and returns the orders that have expired at the time `now`.
    pub fn expire(&mut self, now: Micros) -> Vec<ActiveOrder> {
        self.now = self.now.max(now);
        let over = |order: &&ActiveOrder| order.until.is_some_and(|until| until <= self.now);
        let over: Vec<ActiveOrder> = self.standing.values().filter(over).cloned().collect();
        for order in &over {
            self.standing.remove(&order.order.target());
            self.record_end(order.clone(), EndReason::Expired);
        }
        over
    }

    fn record_end(&mut self, stood: ActiveOrder, end: EndReason) {
        self.revision += 1;
        if self.past.len() == MAX_ENDED_ORDERS {
            self.past.pop_front();
        }
        self.past.push_back(EndedOrder { stood, at: self.now, end });
    }

    fn check(&self, given: &OrderDetails) -> Result<(), OrderError> {
        let bounded = |field, text: &str, most: usize, expected| match text.len() > most {
            true => Err(OrderError::InvalidField { field, found: format!("{} bytes", text.len()), expected }),
            false => Ok(()),
        };
        bounded("who", &given.who, MAX_NAME_BYTES, "at most 256 bytes")?;
        bounded("why", given.why.as_deref().unwrap_or(""), MAX_REASON_BYTES, "at most 1024 bytes")?;
        if given.until.is_some_and(|until| until <= self.now) {
            let found = "a time that has passed".to_owned();
            return Err(OrderError::InvalidField { field: "until", found, expected: "a later time" });
        }
        match given.revision {
            Some(found) if found != self.revision => Err(OrderError::Conflict {
                found,
                expected: self.revision,
                last: self.describe_last_change(),
            }),
            _ => Ok(()),
        }
    }

    /// Describes the last change.
    fn describe_last_change(&self) -> String {
        let given = self.standing.values().max_by_key(|order| (order.since, order.id));
        let ended = self.past.back();
        match (given, ended) {
            (Some(given), Some(ended)) if ended.at > given.since => describe_end(ended),
            (Some(given), _) => format!("order {} was given by {}", given.id, given.who),
            (None, Some(ended)) => describe_end(ended),
            (None, None) => "nothing is known".to_owned(),
        }
    }

    /// Adds an order. Returns its number and the order that it replaces.
    pub fn add(
        &mut self,
        now: Micros,
        order: Order,
        given: &OrderDetails,
    ) -> Result<(u64, Option<ActiveOrder>), OrderError> {
        self.expire(now);
        order.check()?;
        self.check(given)?;
        let on = order.target();
        let before = self.standing.get(&on).cloned();
        if before.is_none() && self.standing.len() >= MAX_ACTIVE_ORDERS {
            return Err(OrderError::TooManyOrders);
        }
        let id = self.next;
        self.next += 1;
        if let Some(before) = before.clone() {
            self.record_end(before, EndReason::Replaced(id));
        } else {
            self.revision += 1;
        }
        let OrderDetails { who, why, until, .. } = given.clone();
        self.standing.insert(on, ActiveOrder { id, order, who, why, since: self.now, until });
        Ok((id, before))
    }

    /// Revokes the order for a target. For a node without a pool, revokes its orders in all pools. Returns the revoked orders.
    pub fn revoke(
        &mut self,
        now: Micros,
        on: &OrderTarget,
        given: &OrderDetails,
    ) -> Result<Vec<ActiveOrder>, OrderError> {
        self.expire(now);
        self.check(&OrderDetails { until: None, ..given.clone() })?;
        let ended: Vec<OrderTarget> = match on {
            OrderTarget::Node(node, None) => {
                let of = |on: &&OrderTarget| matches!(on, OrderTarget::Node(name, _) if name == node);
                self.standing.keys().filter(of).cloned().collect()
            }
            OrderTarget::Node(node, Some(_)) => {
                if let Some(wider) = self.standing.get(&OrderTarget::Node(node.clone(), None)) {
                    return Err(OrderError::OutInAllPools(Box::new(wider.clone())));
                }
                vec![on.clone()]
            }
            _ => vec![on.clone()],
        };
        let ended: Vec<ActiveOrder> = ended.iter().filter_map(|on| self.standing.remove(on)).collect();
        for order in &ended {
            self.record_end(order.clone(), EndReason::Revoked(given.who.clone()));
        }
        Ok(ended)
    }

    /// Returns the combined effect of all orders in force on these pools.
    pub fn effective<'a>(&self, pools: impl Iterator<Item = &'a str>) -> EffectiveOrders {
        let pools: BTreeSet<&str> = pools.collect();
        let mut effect = EffectiveOrders::default();
        for standing in self.standing.values() {
            match &standing.order {
                Order::Standby => effect.standby = true,
                Order::Limit { pool, open, rate } if pools.contains(pool.as_str()) => {
                    effect.bounds.insert(pool.clone(), PoolLimit { open: *open, rate: *rate });
                }
                Order::Limit { .. } => {}
                Order::Out { node, pool } => {
                    let within = pools.iter().filter(|p| pool.as_deref().is_none_or(|only| only == **p));
                    effect.out.extend(within.map(|p| ((*p).to_owned(), node.clone())));
                }
            }
        }
        effect
    }
}

fn describe_end(past: &EndedOrder) -> String {
    match &past.end {
        EndReason::Expired => format!("order {} of {} came to its end", past.stood.id, past.stood.who),
        EndReason::Revoked(who) => {
            format!("order {} of {} was taken back by {who}", past.stood.id, past.stood.who)
        }
        EndReason::Replaced(by) => {
            format!("order {} of {} gave way to order {by}", past.stood.id, past.stood.who)
        }
    }
}

#[cfg(test)]
mod tests;
