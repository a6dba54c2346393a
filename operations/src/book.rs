//! The orders of a daemon's operators, each with who gave it, why, when and until when: which of them hold at a time, and
//! what they come to in each pool. No I/O; the time is an argument, in microseconds of Unix time.
//!
//! - An order stands until it is taken back, until its end, or until another one on the same thing takes its place.
//! - Two operators at once: whoever comes second is told what was changed by whom, if they name the revision that they
//!   acted on; without one the later order counts.
//! - A node may be out in one pool and out in all. It takes requests in a pool again when no order stands that says
//!   otherwise; an order for all pools isn't undone for one of them in passing.
//! - The clock: within a process time never goes back. After a restart with a clock that has, no order lasts longer from
//!   then on than it was given for.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use finchshift::Micros;
use serde::{Deserialize, Serialize};

/// Most orders that stand at once. Guards the memory and the file against a script that runs away.
pub const MOST_STANDING: usize = 4096;
/// Orders that have ended and are still known.
pub const MOST_PAST: usize = 256;
/// Longest name of a node, a pool or a person, in bytes.
pub const MOST_NAME: usize = 256;
/// Longest reason, in bytes.
pub const MOST_WHY: usize = 1024;

/// What operators want from now on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "lowercase", deny_unknown_fields)]
pub enum Order {
    /// Nothing new to a node, whatever lists say.
    Out {
        /// Its name.
        node: String,
        /// In this pool; in all without one, those to come among them.
        pool: Option<String>,
    },
    /// Clients are sent away.
    Standby,
    /// A pool takes no more than this.
    Limit {
        /// The pool.
        pool: String,
        /// Requests open at once.
        open: Option<u64>,
        /// Requests a second.
        rate: Option<f64>,
    },
}

/// What an order is on; one stands on each thing.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum On {
    /// A node, in one pool or in all.
    Node(String, Option<String>),
    /// This instance.
    Instance,
    /// A pool.
    Pool(String),
}

impl Order {
    /// What it is on.
    pub fn on(&self) -> On {
        match self {
            Order::Out { node, pool } => On::Node(node.clone(), pool.clone()),
            Order::Standby => On::Instance,
            Order::Limit { pool, .. } => On::Pool(pool.clone()),
        }
    }

    /// What is wrong with it, if anything.
    fn check(&self) -> Result<(), Refused> {
        let named = |field: &'static str, text: &str| match text.len() {
            1..=MOST_NAME => Ok(()),
            found => {
                Err(Refused::Field { field, found: format!("{found} bytes"), expected: "1 to 256 bytes" })
            }
        };
        match self {
            Order::Out { node, pool } => {
                named("node", node)?;
                pool.as_deref().map_or(Ok(()), |pool| named("pool", pool))
            }
            Order::Standby => Ok(()),
            Order::Limit { pool, open: None, rate: None } => Err(Refused::Field {
                field: "limit",
                found: format!("none for {pool}"),
                expected: "a number of open requests, a rate, or both",
            }),
            Order::Limit { pool, rate, .. } => {
                named("pool", pool)?;
                match rate {
                    Some(rate) if !rate.is_finite() || *rate < 0.0 => Err(Refused::Field {
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

/// Who wants it, and until when.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Given {
    /// Whoever gave the order.
    pub who: String,
    /// For whoever reads it at night.
    pub why: Option<String>,
    /// Its end; none for until it is taken back.
    pub until: Option<Micros>,
    /// The revision that it was decided on; refused where the book has gone on since.
    pub revision: Option<u64>,
}

/// An order that stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Its number, never given twice.
    pub id: u64,
    /// What.
    #[serde(flatten)]
    pub order: Order,
    /// By whom.
    pub who: String,
    /// Why.
    pub why: Option<String>,
    /// Since when.
    pub since: Micros,
    /// Until when.
    pub until: Option<Micros>,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum End {
    /// Its time was over.
    Over,
    /// Taken back by somebody.
    Back(String),
    /// Another one took its place, by its number.
    Replaced(u64),
}

/// An order that has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Past {
    /// What stood.
    #[serde(flatten)]
    pub stood: Standing,
    /// When it ended.
    pub at: Micros,
    /// How.
    pub end: End,
}

/// Why something was not done. Nothing has changed then.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    /// Something in it makes no sense.
    Field {
        /// Which part.
        field: &'static str,
        /// What it was.
        found: String,
        /// What it should be.
        expected: &'static str,
    },
    /// Somebody was faster.
    Moved {
        /// The revision that the caller named.
        found: u64,
        /// The present one.
        expected: u64,
        /// The order, standing or past, that changed last, and by whom.
        last: String,
    },
    /// Too many stand.
    Full,
    /// The node is out in all pools, by this order.
    Wider(Box<Standing>),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Field { field, found, expected } => {
                write!(f, "{field}: found {found}, expected {expected}")
            }
            Refused::Moved { found, expected, last } => {
                write!(f, "found revision {found}, expected {expected}: since then {last}")
            }
            Refused::Full => write!(f, "{MOST_STANDING} orders stand, expected fewer: take some back"),
            Refused::Wider(order) => write!(
                f,
                "the node is out in all pools by order {} of {}: take it back in all of them",
                order.id, order.who
            ),
        }
    }
}

/// Bounds on a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bound {
    /// Requests open at once.
    pub open: Option<u64>,
    /// Requests a second.
    pub rate: Option<f64>,
}

/// What all orders together come to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Effect {
    /// Nodes that get nothing new, by pool.
    pub out: BTreeSet<(String, String)>,
    /// Clients are sent away.
    pub standby: bool,
    /// Bounds, by pool.
    pub bounds: BTreeMap<String, Bound>,
}

/// A step from one effect to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// A node gets nothing new in a pool from here on.
    Out(String, String),
    /// It does again, as one that has just started.
    Back(String, String),
    /// Clients are sent away, or not.
    Standby(bool),
    /// A pool's bounds are others; none for no bounds.
    Bound(String, Option<Bound>),
}

impl Effect {
    /// What leads from here to there; what takes something from upstreams comes before what gives it back.
    pub fn towards(&self, to: &Effect) -> Vec<Step> {
        let out = to.out.difference(&self.out).map(|(pool, node)| Step::Out(pool.clone(), node.clone()));
        let back = self.out.difference(&to.out).map(|(pool, node)| Step::Back(pool.clone(), node.clone()));
        let pools: BTreeSet<&String> = self.bounds.keys().chain(to.bounds.keys()).collect();
        let bounds = pools.into_iter().filter(|pool| self.bounds.get(*pool) != to.bounds.get(*pool));
        let bounds = bounds.map(|pool| Step::Bound(pool.clone(), to.bounds.get(pool).copied()));
        let standby = (self.standby != to.standby).then_some(Step::Standby(to.standby));
        out.chain(bounds).chain(standby).chain(back).collect()
    }
}

/// All orders.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Book {
    /// Changes so far; one more with each.
    revision: u64,
    next: u64,
    standing: BTreeMap<On, Standing>,
    past: VecDeque<Past>,
    /// The latest time that was told.
    now: Micros,
}

/// A book as it is written down.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Written {
    /// Changes so far.
    pub revision: u64,
    /// The next order's number.
    pub next: u64,
    /// Those that stand.
    pub standing: Vec<Standing>,
    /// Those that have ended, the latest last.
    pub past: Vec<Past>,
}

impl Book {
    /// As it was written by a process before. Orders whose time has passed since have ended; which, is told.
    pub fn read(written: Written, now: Micros) -> (Book, Vec<Standing>) {
        let mut book = Book { revision: written.revision, next: written.next, now, ..Book::default() };
        for mut order in written.standing.into_iter().take(MOST_STANDING) {
            // The clock has gone back: from now it lasts no longer than it was given for.
            if let Some(until) = order.until.filter(|_| order.since > now) {
                order.until = Some(now.saturating_add(until.saturating_sub(order.since)));
            }
            book.next = book.next.max(order.id + 1);
            book.standing.insert(order.order.on(), order);
        }
        book.past = written.past.into_iter().rev().take(MOST_PAST).rev().collect();
        let over = book.pass(now);
        (book, over)
    }

    /// For a process to come.
    pub fn written(&self) -> Written {
        Written {
            revision: self.revision,
            next: self.next,
            standing: self.standing.values().cloned().collect(),
            past: self.past.iter().cloned().collect(),
        }
    }

    /// How many changes there were.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Those that stand, by what they are on.
    pub fn standing(&self) -> impl Iterator<Item = &Standing> {
        self.standing.values()
    }

    /// Those that have ended, the latest last.
    pub fn past(&self) -> impl Iterator<Item = &Past> {
        self.past.iter()
    }

    /// When the next one ends by itself.
    pub fn due(&self) -> Option<Micros> {
        self.standing.values().filter_map(|order| order.until).min()
    }

    /// Ends those whose time is over.
    pub fn pass(&mut self, now: Micros) -> Vec<Standing> {
        self.now = self.now.max(now);
        let over = |order: &&Standing| order.until.is_some_and(|until| until <= self.now);
        let over: Vec<Standing> = self.standing.values().filter(over).cloned().collect();
        for order in &over {
            self.standing.remove(&order.order.on());
            self.ended(order.clone(), End::Over);
        }
        over
    }

    fn ended(&mut self, stood: Standing, end: End) {
        self.revision += 1;
        if self.past.len() == MOST_PAST {
            self.past.pop_front();
        }
        self.past.push_back(Past { stood, at: self.now, end });
    }

    fn check(&self, given: &Given) -> Result<(), Refused> {
        let bounded = |field, text: &str, most: usize, expected| match text.len() > most {
            true => Err(Refused::Field { field, found: format!("{} bytes", text.len()), expected }),
            false => Ok(()),
        };
        bounded("who", &given.who, MOST_NAME, "at most 256 bytes")?;
        bounded("why", given.why.as_deref().unwrap_or(""), MOST_WHY, "at most 1024 bytes")?;
        if given.until.is_some_and(|until| until <= self.now) {
            let found = "a time that has passed".to_owned();
            return Err(Refused::Field { field: "until", found, expected: "a later time" });
        }
        match given.revision {
            Some(found) if found != self.revision => {
                Err(Refused::Moved { found, expected: self.revision, last: self.last() })
            }
            _ => Ok(()),
        }
    }

    /// What changed last, in words.
    fn last(&self) -> String {
        let given = self.standing.values().max_by_key(|order| (order.since, order.id));
        let ended = self.past.back();
        match (given, ended) {
            (Some(given), Some(ended)) if ended.at > given.since => said_of(ended),
            (Some(given), _) => format!("order {} was given by {}", given.id, given.who),
            (None, Some(ended)) => said_of(ended),
            (None, None) => "nothing is known".to_owned(),
        }
    }

    /// Takes an order; its number, and the one whose place it takes.
    pub fn give(
        &mut self,
        now: Micros,
        order: Order,
        given: &Given,
    ) -> Result<(u64, Option<Standing>), Refused> {
        self.pass(now);
        order.check()?;
        self.check(given)?;
        let on = order.on();
        let before = self.standing.get(&on).cloned();
        if before.is_none() && self.standing.len() >= MOST_STANDING {
            return Err(Refused::Full);
        }
        let id = self.next;
        self.next += 1;
        if let Some(before) = before.clone() {
            self.ended(before, End::Replaced(id));
        } else {
            self.revision += 1;
        }
        let Given { who, why, until, .. } = given.clone();
        self.standing.insert(on, Standing { id, order, who, why, since: self.now, until });
        Ok((id, before))
    }

    /// Takes back what stands on something: for a node without a pool, in all of them. None where nothing stood.
    pub fn take_back(&mut self, now: Micros, on: &On, given: &Given) -> Result<Vec<Standing>, Refused> {
        self.pass(now);
        self.check(&Given { until: None, ..given.clone() })?;
        let ended: Vec<On> = match on {
            On::Node(node, None) => {
                let of = |on: &&On| matches!(on, On::Node(name, _) if name == node);
                self.standing.keys().filter(of).cloned().collect()
            }
            On::Node(node, Some(_)) => {
                if let Some(wider) = self.standing.get(&On::Node(node.clone(), None)) {
                    return Err(Refused::Wider(Box::new(wider.clone())));
                }
                vec![on.clone()]
            }
            _ => vec![on.clone()],
        };
        let ended: Vec<Standing> = ended.iter().filter_map(|on| self.standing.remove(on)).collect();
        for order in &ended {
            self.ended(order.clone(), End::Back(given.who.clone()));
        }
        Ok(ended)
    }

    /// What all of them come to in these pools.
    pub fn effect<'a>(&self, pools: impl Iterator<Item = &'a str>) -> Effect {
        let pools: BTreeSet<&str> = pools.collect();
        let mut effect = Effect::default();
        for standing in self.standing.values() {
            match &standing.order {
                Order::Standby => effect.standby = true,
                Order::Limit { pool, open, rate } if pools.contains(pool.as_str()) => {
                    effect.bounds.insert(pool.clone(), Bound { open: *open, rate: *rate });
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

fn said_of(past: &Past) -> String {
    match &past.end {
        End::Over => format!("order {} of {} came to its end", past.stood.id, past.stood.who),
        End::Back(who) => format!("order {} of {} was taken back by {who}", past.stood.id, past.stood.who),
        End::Replaced(by) => format!("order {} of {} gave way to order {by}", past.stood.id, past.stood.who),
    }
}

#[cfg(test)]
mod tests;
