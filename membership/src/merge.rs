//! The members of a pool from all its sources.
//!
//! Sources stand in an order. What a member is (address, zone, kind, cell, weight, start) is taken from the first source
//! that lists it; it serves only if that source says so and no other has ordered it out. An order holds until the source
//! that gave it takes it back: a source that merely loses the entry has taken nothing back, as long as another one still
//! lists the node and it has not started again. A member is gone when no source lists it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use finchshift::{ListKind, Micros, ServerState};
use sloeline_engine::types::DiscoveryEntry;

use crate::doubt::{Belief, Reason, Refused, Rules};
use crate::view::{Health, News, Standing};

/// Changes that only add are told together, so late at the most. Guards against a registry that writes one entry ten
/// thousand times a second: what takes a member out is told at once, the rest at most this often.
const TOGETHER: Micros = 50_000;
/// Once one source has told its first view, the pool waits so long for the others before it begins without them.
const FIRST_WAIT: Micros = 2_000_000;

/// A source of the pool.
struct Source {
    name: String,
    belief: Belief,
    health: Health,
    /// Orders of this source whose entries it has lost, and the start of the node then.
    orders: HashMap<String, Option<Micros>>,
}

/// Why a member takes requests or does not, and who says so.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// As the engine is told.
    pub listed: DiscoveryEntry,
    /// The source that says what it is.
    pub source: String,
    /// Whose word decides that it is in or out, if another's.
    pub by: Option<String>,
    /// The reason.
    pub reason: Reason,
}

/// The members of a pool.
pub struct Members {
    rules: Rules,
    sources: Vec<Source>,
    /// What the engine was told last.
    told: BTreeMap<String, DiscoveryEntry>,
    begun: bool,
    /// When the first view came.
    first: Option<Micros>,
    /// What may differ from what was told.
    dirty: BTreeSet<String>,
    /// Since when something is to be told, and whether at once.
    waiting: Option<(Micros, bool)>,
}

impl Members {
    /// None yet, from these sources in the order of their precedence.
    pub fn new(names: &[String], rules: &Rules) -> Members {
        let source = |name: &String| Source {
            name: name.clone(),
            belief: Belief::new(rules.clone()),
            health: Health::default(),
            orders: HashMap::new(),
        };
        Members {
            rules: rules.clone(),
            sources: names.iter().map(source).collect(),
            told: BTreeMap::new(),
            begun: false,
            first: None,
            dirty: BTreeSet::new(),
            waiting: None,
        }
    }

    /// The rules it goes by.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Goes on under other rules.
    pub fn set(&mut self, now: Micros, rules: &Rules) {
        self.rules = rules.clone();
        self.sources.iter_mut().for_each(|s| s.belief.set(now, rules.clone()));
        self.gather(now);
    }

    /// Takes news of a source; refused news changes nothing.
    pub fn take(&mut self, now: Micros, source: usize, news: News) -> Result<(), Refused> {
        let Some(from) = self.sources.get_mut(source) else { return Ok(()) };
        let taken = from.belief.take(now, news);
        if taken.is_ok() {
            self.first.get_or_insert(now);
            self.gather(now);
        }
        taken
    }

    /// How a source stands.
    pub fn health(&mut self, source: usize, health: Health) {
        if let Some(from) = self.sources.get_mut(source) {
            from.health = health;
        }
    }

    /// Notes what the sources changed.
    fn gather(&mut self, now: Micros) {
        let mut fresh = BTreeSet::new();
        for at in 0..self.sources.len() {
            for id in self.sources[at].belief.touched() {
                self.order(at, &id);
                fresh.insert(id);
            }
        }
        let mut urgent = false;
        for id in &fresh {
            let (was, is) = (self.told.get(id), self.verdict(id));
            urgent |= match (was, &is) {
                (Some(was), Some(is)) => {
                    was.state == ServerState::Ready
                        && (is.listed.state != ServerState::Ready || is.listed.address != was.address)
                }
                (Some(_), None) => true,
                (None, _) => false,
            };
        }
        if !fresh.is_empty() {
            self.dirty.extend(fresh);
            let (since, before) = self.waiting.unwrap_or((now, false));
            self.waiting = Some((since, before || urgent));
        }
    }

    /// Keeps account of the orders of a source.
    fn order(&mut self, at: usize, id: &str) {
        // Lost with its order: that holds as long as somebody lists the node.
        if self.sources.iter().all(|s| s.belief.get(id).is_none()) {
            self.sources.iter_mut().for_each(|s| {
                s.orders.remove(id);
            });
            return;
        }
        let Source { belief, orders, .. } = &mut self.sources[at];
        match belief.get(id) {
            Some((member, _, Reason::Told(Standing::Draining | Standing::Maintenance) | Reason::Sealed)) => {
                orders.insert(id.to_owned(), member.node.started);
            }
            Some(_) => {
                orders.remove(id);
            }
            None => {}
        }
    }

    /// What is thought of a member.
    pub fn verdict(&self, id: &str) -> Option<Verdict> {
        let (first, (member, state, reason)) =
            self.sources.iter().find_map(|s| s.belief.get(id).map(|found| (s, found)))?;
        let mut verdict =
            Verdict { listed: member.node.listed(state), source: first.name.clone(), by: None, reason };
        for source in self.sources.iter().filter(|s| s.name != first.name) {
            let Some(started) = source.orders.get(id) else { continue };
            let reason = source.belief.get(id).map(|(_, _, reason)| reason);
            // One that started again since is another process, and the source that lost it knows nothing of it.
            let anew = reason.is_none() && started.is_some() && member.node.started > *started;
            if !anew {
                verdict.listed.state = ServerState::Draining;
                verdict.by = Some(source.name.clone());
                verdict.reason = reason.unwrap_or(Reason::Told(Standing::Draining));
                break;
            }
        }
        Some(verdict)
    }

    /// All members, by identity.
    pub fn all(&self) -> Vec<Verdict> {
        let ids: BTreeSet<&str> = self.sources.iter().flat_map(|s| s.belief.identities()).collect();
        ids.into_iter().filter_map(|id| self.verdict(id)).collect()
    }

    /// Each source: its name, how it stands, its newest revision, how many members it holds in doubt.
    pub fn sources(&self) -> impl Iterator<Item = (&str, &Health, Option<crate::view::Revision>, usize)> {
        self.sources.iter().map(|s| (s.name.as_str(), &s.health, s.belief.revision(), s.belief.held()))
    }

    /// The nodes that a source has ordered out.
    pub fn ordered_by(&self, source: &str) -> BTreeSet<String> {
        let ordered = |belief: &Belief, id: &str| {
            matches!(belief.get(id), Some((_, _, Reason::Told(Standing::Draining | Standing::Maintenance))))
        };
        let of = self.sources.iter().filter(|s| s.name == source);
        of.flat_map(|s| s.belief.identities().filter(|id| ordered(&s.belief, id)))
            .map(str::to_owned)
            .collect()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) {
        let due = |s: &Source| s.belief.due().is_some_and(|at| at <= now);
        if self.sources.iter().any(due) {
            self.sources.iter_mut().for_each(|s| s.belief.tick(now));
            self.gather(now);
        }
    }

    /// When [`tick`](Members::tick) or [`changes`](Members::changes) has something to do next.
    pub fn due(&self) -> Option<Micros> {
        let telling = match self.waiting {
            _ if !self.begun => self.begins_at(),
            Some((since, urgent)) => Some(if urgent { since } else { since + TOGETHER }),
            None => None,
        };
        let held = self.sources.iter().filter_map(|s| s.belief.due()).min();
        [telling, held].into_iter().flatten().min()
    }

    fn begins_at(&self) -> Option<Micros> {
        let all = self.sources.iter().all(|s| s.belief.revision().is_some());
        self.first.map(|first| if all { first } else { first + FIRST_WAIT })
    }

    /// What the engine is to be told now. The first time it is everything.
    pub fn changes(&mut self, now: Micros) -> Option<(ListKind, Vec<DiscoveryEntry>)> {
        if self.begins_at().is_none_or(|at| at > now) {
            return None;
        }
        if !self.begun {
            self.begun = true;
            self.waiting = None;
            self.dirty.clear();
            let all: Vec<DiscoveryEntry> = self.all().into_iter().map(|v| v.listed).collect();
            self.told = all.iter().map(|l| (l.instance.clone(), l.clone())).collect();
            return Some((ListKind::Complete, all));
        }
        let (since, urgent) = self.waiting?;
        if !urgent && since + TOGETHER > now {
            return None;
        }
        self.waiting = None;
        let mut news = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            match (self.verdict(&id).map(|v| v.listed), self.told.get(&id)) {
                (Some(is), Some(was)) if is == *was => {}
                (Some(is), _) => {
                    self.told.insert(id, is.clone());
                    news.push(is);
                }
                (None, Some(_)) => {
                    let was = self.told.remove(&id);
                    news.extend(was.map(|l| DiscoveryEntry { state: ServerState::Gone, ..l }));
                }
                (None, None) => {}
            }
        }
        (!news.is_empty()).then_some((ListKind::Changes, news))
    }
}
