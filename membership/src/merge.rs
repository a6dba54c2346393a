//! Merges the members of all sources of a pool.
//!
//! Sources have an order of precedence. The properties of a member (address, zone, kind, cell, weight, start) are those of the
//! first source that lists it. A member serves only if that source says so and no other source has ordered it out. An order
//! remains until the source that gave it revokes it: a source that merely loses the entry does not revoke the order while
//! another source lists the node and the node has not restarted. A member is removed when no source lists it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use finchshift::{ListKind, Micros, ServerState};
use sloeline_engine::types::DiscoveryEntry;

use crate::plausibility::{AcceptedView, PlausibilityRules, Reason, Rejection};
use crate::view::{Health, MemberStatus, Update};

/// Delay in microseconds after which changes are passed on together, unless one of them takes a member out of service. Limits
/// the load if a registry changes an entry very often.
const BATCH_DELAY: Micros = 50_000;
/// How long the pool waits for the first views of its other sources after it got the first one, in microseconds.
const FIRST_VIEWS_TIMEOUT: Micros = 2_000_000;

/// A source of the pool.
struct Source {
    name: String,
    view: AcceptedView,
    health: Health,
    /// Nodes that this source has ordered out, and the start of each node at that time. An order remains if the entry is lost.
    orders: HashMap<String, Option<Micros>>,
}

/// A member as merged from all sources, and which source decides whether it serves.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedMember {
    /// The entry for the engine.
    pub listed: DiscoveryEntry,
    /// The source of its properties.
    pub source: String,
    /// The source that has ordered it out, if that is another one.
    pub by: Option<String>,
    /// Why it serves or does not.
    pub reason: Reason,
}

/// The members of a pool.
pub struct Members {
    rules: PlausibilityRules,
    sources: Vec<Source>,
    /// The entries that were last passed to the engine.
    passed_on: BTreeMap<String, DiscoveryEntry>,
    started: bool,
    /// When the first view arrived.
    first: Option<Micros>,
    /// Members whose entries may differ from those passed to the engine.
    dirty: BTreeSet<String>,
    /// Since when changes wait to be passed on, and whether they are urgent.
    waiting: Option<(Micros, bool)>,
}

impl Members {
    /// Creates a pool without members, with these sources in the order of their precedence.
    pub fn new(names: &[String], rules: &PlausibilityRules) -> Members {
        let source = |name: &String| Source {
            name: name.clone(),
            view: AcceptedView::new(rules.clone()),
            health: Health::default(),
            orders: HashMap::new(),
        };
        Members {
            rules: rules.clone(),
            sources: names.iter().map(source).collect(),
            passed_on: BTreeMap::new(),
            started: false,
            first: None,
            dirty: BTreeSet::new(),
            waiting: None,
        }
    }

    /// The plausibility rules.
    pub fn rules(&self) -> &PlausibilityRules {
        &self.rules
    }

    /// Changes the plausibility rules.
    pub fn set(&mut self, now: Micros, rules: &PlausibilityRules) {
        self.rules = rules.clone();
        self.sources.iter_mut().for_each(|s| s.view.set(now, rules.clone()));
        self.collect_changes(now);
    }

    /// Applies an update of a source. A rejected update changes nothing.
    pub fn apply(&mut self, now: Micros, source: usize, update: Update) -> Result<(), Rejection> {
        let Some(from) = self.sources.get_mut(source) else { return Ok(()) };
        let taken = from.view.apply(now, update);
        if taken.is_ok() {
            self.first.get_or_insert(now);
            self.collect_changes(now);
        }
        taken
    }

    /// Sets the state of a source's connection to its registry.
    pub fn health(&mut self, source: usize, health: Health) {
        if let Some(from) = self.sources.get_mut(source) {
            from.health = health;
        }
    }

    /// Collects the members that the sources have changed.
    fn collect_changes(&mut self, now: Micros) {
        let mut fresh = BTreeSet::new();
        for at in 0..self.sources.len() {
            for id in self.sources[at].view.take_touched() {
                self.update_order(at, &id);
                fresh.insert(id);
            }
        }
        let mut urgent = false;
        for id in &fresh {
            let (was, is) = (self.passed_on.get(id), self.resolve(id));
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

    /// Updates the orders of a source after a change of a member.
    fn update_order(&mut self, at: usize, id: &str) {
        // An order ends when no source lists the node any more.
        if self.sources.iter().all(|s| s.view.get(id).is_none()) {
            self.sources.iter_mut().for_each(|s| {
                s.orders.remove(id);
            });
            return;
        }
        let Source { view, orders, .. } = &mut self.sources[at];
        match view.get(id) {
            Some((
                member,
                _,
                Reason::Reported(MemberStatus::Draining | MemberStatus::Maintenance) | Reason::CarriedOver,
            )) => {
                orders.insert(id.to_owned(), member.node.started);
            }
            Some(_) => {
                orders.remove(id);
            }
            None => {}
        }
    }

    /// Merges the entries of one member.
    pub fn resolve(&self, id: &str) -> Option<ResolvedMember> {
        let (first, (member, state, reason)) =
            self.sources.iter().find_map(|s| s.view.get(id).map(|found| (s, found)))?;
        let mut verdict = ResolvedMember {
            listed: member.node.discovery_entry(state),
            source: first.name.clone(),
            by: None,
            reason,
        };
        for source in self.sources.iter().filter(|s| s.name != first.name) {
            let Some(started) = source.orders.get(id) else { continue };
            let reason = source.view.get(id).map(|(_, _, reason)| reason);
            // A node that has restarted since is another process, which the source that lost the entry does not know.
            let has_restarted = reason.is_none() && started.is_some() && member.node.started > *started;
            if !has_restarted {
                verdict.listed.state = ServerState::Draining;
                verdict.by = Some(source.name.clone());
                verdict.reason = reason.unwrap_or(Reason::Reported(MemberStatus::Draining));
                break;
            }
        }
        Some(verdict)
    }

    /// All members, by identity.
    pub fn all(&self) -> Vec<ResolvedMember> {
        let ids: BTreeSet<&str> = self.sources.iter().flat_map(|s| s.view.identities()).collect();
        ids.into_iter().filter_map(|id| self.resolve(id)).collect()
    }

    /// Each source: its name, the state of its connection, its newest revision, and the number of members that are retained
    /// although the source has lost them.
    pub fn sources(&self) -> impl Iterator<Item = (&str, &Health, Option<crate::view::Revision>, usize)> {
        self.sources.iter().map(|s| (s.name.as_str(), &s.health, s.view.revision(), s.view.held()))
    }

    /// The nodes that a source has ordered out of service.
    pub fn ordered_by(&self, source: &str) -> BTreeSet<String> {
        let ordered = |view: &AcceptedView, id: &str| {
            matches!(
                view.get(id),
                Some((_, _, Reason::Reported(MemberStatus::Draining | MemberStatus::Maintenance)))
            )
        };
        let of = self.sources.iter().filter(|s| s.name == source);
        of.flat_map(|s| s.view.identities().filter(|id| ordered(&s.view, id))).map(str::to_owned).collect()
    }

    /// Executes what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        let due = |s: &Source| s.view.due().is_some_and(|at| at <= now);
        if self.sources.iter().any(due) {
            self.sources.iter_mut().for_each(|s| s.view.tick(now));
            self.collect_changes(now);
        }
    }

    /// When [`tick`](Members::tick) or [`changes`](Members::changes) has something to do next.
    pub fn due(&self) -> Option<Micros> {
        let telling = match self.waiting {
            _ if !self.started => self.starts_at(),
            Some((since, urgent)) => Some(if urgent { since } else { since + BATCH_DELAY }),
            None => None,
        };
        let held = self.sources.iter().filter_map(|s| s.view.due()).min();
        [telling, held].into_iter().flatten().min()
    }

    fn starts_at(&self) -> Option<Micros> {
        let all = self.sources.iter().all(|s| s.view.revision().is_some());
        self.first.map(|first| if all { first } else { first + FIRST_VIEWS_TIMEOUT })
    }

    /// Returns the changes that are due for the engine. The first result is the whole list.
    pub fn changes(&mut self, now: Micros) -> Option<(ListKind, Vec<DiscoveryEntry>)> {
        if self.starts_at().is_none_or(|at| at > now) {
            return None;
        }
        if !self.started {
            self.started = true;
            self.waiting = None;
            self.dirty.clear();
            let all: Vec<DiscoveryEntry> = self.all().into_iter().map(|v| v.listed).collect();
            self.passed_on = all.iter().map(|l| (l.instance.clone(), l.clone())).collect();
            return Some((ListKind::Complete, all));
        }
        let (since, urgent) = self.waiting?;
        if !urgent && since + BATCH_DELAY > now {
            return None;
        }
        self.waiting = None;
        let mut changes = Vec::new();
        for id in std::mem::take(&mut self.dirty) {
            match (self.resolve(&id).map(|v| v.listed), self.passed_on.get(&id)) {
                (Some(is), Some(was)) if is == *was => {}
                (Some(is), _) => {
                    self.passed_on.insert(id, is.clone());
                    changes.push(is);
                }
                (None, Some(_)) => {
                    let was = self.passed_on.remove(&id);
                    changes.extend(was.map(|l| DiscoveryEntry { state: ServerState::Gone, ..l }));
                }
                (None, None) => {}
            }
        }
        (!changes.is_empty()).then_some((ListKind::Changes, changes))
    }
}
