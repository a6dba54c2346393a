//! Decides which updates of a source are accepted.
//!
//! | rule | protects | cost |
//! | --- | --- | --- |
//! | a view older than the present one is rejected | drains: an older view says that a drained node serves | updates from a registry member that is behind arrive later |
//! | a drain remains across a change of epoch until the entry is written again or its node has restarted | drains: a registry restored from a backup does not know them | a node taken back just before the backup stays out until its entry is written |
//! | if more than a share of the serving nodes is lost within a window, they are retained for a time and continue to serve unless they are ordered to drain | capacity, cold upstreams: a wrong list would overload the remaining nodes | attempts on nodes that have really ended, until breakers open or the time is over |
//! | an empty list never empties a pool by itself | capacity | the same, until there are nodes or an operator accepts the losses |
//! | what an operator has removed is removed at once | drains | none |

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use finchshift::{Micros, ServerState};

use crate::view::{Change, Loss, Member, MemberStatus, Revision, Update, UpdateContent};

/// When a loss of members is not accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct PlausibilityRules {
    /// Share of the serving members that may be lost within the window.
    pub max_lost_share: f64,
    /// The window, in microseconds.
    pub window: Micros,
    /// How long members that were lost implausibly are retained, in microseconds.
    pub hold_time: Micros,
    /// Whether an operator accepts all losses.
    pub accept_losses: bool,
    /// Maximum number of members of a view.
    pub max_members: usize,
}

impl Default for PlausibilityRules {
    fn default() -> PlausibilityRules {
        PlausibilityRules {
            max_lost_share: 0.5,
            window: 10_000_000,
            hold_time: 300_000_000,
            accept_losses: false,
            max_members: 100_000,
        }
    }
}

/// Why a member accepts requests or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its source reports this status.
    Reported(MemberStatus),
    /// Its source has lost it, and the loss is not accepted yet.
    Retained {
        /// When it was lost.
        since: Micros,
        /// How it was lost.
        loss: Loss,
    },
    /// It was ordered out in an earlier epoch of its registry, and its entry was not written since.
    CarriedOver,
}

/// Why an update was rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// It is older than the present view.
    Older {
        /// Revision of the update.
        found: Revision,
        /// Revision of the present view.
        held: Revision,
    },
    /// It begins an epoch, but is no snapshot.
    Partial,
    /// The view would have this many members, more than allowed.
    TooMany(usize),
}

impl std::fmt::Display for Rejection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Rejection::Older { found, held } => {
                write!(f, "found revision {}, expected {} or newer", found.number, held.number)
            }
            Rejection::Partial => write!(f, "found changes, expected a whole view of a new registry"),
            Rejection::TooMany(n) => write!(f, "found {n} members, more than are taken"),
        }
    }
}

/// A member of the accepted view.
struct AcceptedMember {
    member: Member,
    /// When and how it was lost, if it is retained.
    lost: Option<(Micros, Loss)>,
    /// Whether its source does not list it any more.
    absent: bool,
    /// Whether it is counted in [`AcceptedView::serving`].
    counted: bool,
}

impl AcceptedMember {
    fn new(member: Member, lost: Option<(Micros, Loss)>) -> AcceptedMember {
        AcceptedMember { member, lost, absent: false, counted: false }
    }
}

/// Maximum number of removed members that are remembered in case their registry is restored from a backup.
const MAX_REMEMBERED_REMOVALS: usize = 1 << 16;

/// An order from an earlier epoch.
#[derive(Clone, Copy)]
struct CarriedOrder {
    /// Entries up to this revision existed when the present epoch began.
    known_revision: u64,
    /// Start of the node that was ordered out.
    started: Option<Micros>,
}

/// The accepted view of one source.
pub struct AcceptedView {
    rules: PlausibilityRules,
    members: BTreeMap<String, AcceptedMember>,
    revision: Option<Revision>,
    /// Times and numbers of the losses that were accepted within the window.
    losses: VecDeque<(Micros, usize)>,
    carried_orders: HashMap<String, CarriedOrder>,
    /// Members whose entries may have changed.
    touched: BTreeSet<String>,
    /// Number of members that serve according to their source.
    serving: usize,
    /// Members that are retained although they were lost.
    held: BTreeSet<String>,
    /// A time at or before which the first of them was lost.
    earliest: Option<Micros>,
    /// Starts of removed members, and the order in which they were removed.
    removed: HashMap<String, Option<Micros>>,
    removal_order: VecDeque<String>,
}

impl AcceptedView {
    /// Creates an empty view.
    pub fn new(rules: PlausibilityRules) -> AcceptedView {
        AcceptedView {
            rules,
            members: BTreeMap::new(),
            revision: None,
            losses: VecDeque::new(),
            carried_orders: HashMap::new(),
            touched: BTreeSet::new(),
            serving: 0,
            held: BTreeSet::new(),
            earliest: None,
            removed: HashMap::new(),
            removal_order: VecDeque::new(),
        }
    }

    /// Revision of the view, once there is one.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Number of members that are retained although the source has lost them.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Changes the plausibility rules.
    pub fn set(&mut self, now: Micros, rules: PlausibilityRules) {
        self.rules = rules;
        self.tick(now);
    }

    /// A member with its state and the reason for it.
    pub fn get(&self, identity: &str) -> Option<(&Member, ServerState, Reason)> {
        let held = self.members.get(identity)?;
        let (state, reason) = match held.lost {
            Some((since, loss)) => (ServerState::Ready, Reason::Retained { since, loss }),
            None if self.carried_orders.contains_key(identity) => {
                (ServerState::Draining, Reason::CarriedOver)
            }
            None if held.member.status == MemberStatus::Serving => {
                (ServerState::Ready, Reason::Reported(MemberStatus::Serving))
            }
            None => (ServerState::Draining, Reason::Reported(held.member.status)),
        };
        Some((&held.member, state, reason))
    }

    /// Identities of all members.
    pub fn identities(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Removes and returns the members whose entries may have changed since the last call.
    pub fn take_touched(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.touched)
    }

    /// Applies an update. A rejected update changes nothing.
    pub fn apply(&mut self, now: Micros, update: Update) -> Result<(), Rejection> {
        let found = update.revision;
        let begins = match self.revision {
            Some(held) if held.epoch == found.epoch => {
                if found.number < held.number {
                    return Err(Rejection::Older { found, held });
                }
                false
            }
            Some(held) if found.epoch < held.epoch => return Err(Rejection::Older { found, held }),
            _ => true,
        };
        if begins && matches!(update.content, UpdateContent::Changes(_)) {
            return Err(Rejection::Partial);
        }
        let more = match &update.content {
            UpdateContent::Snapshot(members) => members.len(),
            UpdateContent::Changes(changes) => {
                let new =
                    |c: &&Change| matches!(c, Change::Put(m) if !self.members.contains_key(&m.node.identity));
                self.members.len() + changes.iter().filter(new).count()
            }
        };
        if more > self.rules.max_members {
            return Err(Rejection::TooMany(more));
        }
        if begins && self.revision.is_some() {
            self.carry_orders_over(found.number);
        }
        self.revision = Some(found);
        let mut lost = Vec::new();
        match update.content {
            UpdateContent::Snapshot(members) => {
                let listed: BTreeSet<&str> = members.iter().map(|m| m.node.identity.as_str()).collect();
                let absent = self.members.keys().filter(|id| !listed.contains(id.as_str()));
                lost.extend(absent.map(|id| (id.clone(), Loss::Missing)));
                drop(listed);
                members.into_iter().for_each(|m| self.put(m, &mut lost));
            }
            UpdateContent::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(member) => self.put(member, &mut lost),
                        Change::Gone(id, loss) => lost.push((id, loss)),
                        Change::Ordered(id) => {
                            // If the member was added again since, the order has ended.
                            if self.members.get(&id).is_some_and(|h| h.absent) {
                                lost.push((id, Loss::Ordered));
                            }
                        }
                    }
                }
            }
        }
        self.handle_losses(now, lost);
        self.tick(now);
        Ok(())
    }

    /// Carries the orders and removals of the ending epoch over to the next one, until their entries are written again.
    fn carry_orders_over(&mut self, known_revision: u64) {
        // Revisions of earlier epochs have no meaning in the next one.
        self.carried_orders.values_mut().for_each(|carried| carried.known_revision = known_revision);
        let ordered = self.members.iter().filter(|(_, h)| h.member.status.ordered());
        let ordered = ordered.map(|(id, h)| (id.clone(), h.member.node.started));
        let all: Vec<(String, Option<Micros>)> = ordered.chain(self.removed.drain()).collect();
        self.removal_order.clear();
        for (id, started) in all {
            if let Some(held) = self.members.get_mut(&id) {
                self.serving -= usize::from(std::mem::take(&mut held.counted));
            }
            self.touched.insert(id.clone());
            self.carried_orders.insert(id, CarriedOrder { known_revision, started });
        }
    }

    fn put(&mut self, member: Member, lost: &mut Vec<(String, Loss)>) {
        let id = member.node.identity.clone();
        if let Some(carried) = self.carried_orders.get(&id) {
            // Without a start, a new process cannot be distinguished from the old one.
            let restarted = member.node.started > carried.started && carried.started.is_some();
            if member.written > carried.known_revision || restarted || member.status.ordered() {
                self.carried_orders.remove(&id);
            }
        }
        self.touched.insert(id.clone());
        self.removed.remove(&id);
        let was = self.take_out(&id);
        // Failing health checks are treated like a loss: many at once are implausible.
        let unhealthy = member.status == MemberStatus::Unhealthy;
        let held = match was {
            Some(AcceptedMember { lost: Some((since, _)), .. }) if unhealthy => {
                AcceptedMember::new(member, Some((since, Loss::Unhealthy)))
            }
            Some(was) if unhealthy && was.member.status == MemberStatus::Serving => {
                lost.push((id.clone(), Loss::Unhealthy));
                // Until the losses of this update are judged together.
                AcceptedMember::new(Member { status: MemberStatus::Serving, ..member }, None)
            }
            _ => AcceptedMember::new(member, None),
        };
        self.insert(id, held);
    }

    fn take_out(&mut self, id: &str) -> Option<AcceptedMember> {
        let held = self.members.remove(id)?;
        self.serving -= usize::from(held.counted);
        self.held.remove(id);
        Some(held)
    }

    fn insert(&mut self, id: String, mut held: AcceptedMember) {
        let serves = held.lost.is_none() && held.member.status == MemberStatus::Serving;
        held.counted = serves && !self.carried_orders.contains_key(&id);
        self.serving += usize::from(held.counted);
        if let Some((since, _)) = held.lost {
            self.held.insert(id.clone());
            self.earliest = Some(self.earliest.map_or(since, |e| e.min(since)));
        }
        self.members.insert(id, held);
    }

    /// Judges all losses of one update together.
    fn handle_losses(&mut self, now: Micros, lost: Vec<(String, Loss)>) {
        while self.losses.front().is_some_and(|(at, _)| at + self.rules.window <= now) {
            self.losses.pop_front();
        }
        let (mut suspects, mut ordered) = (Vec::new(), Vec::new());
        for (id, loss) in lost {
            let Some(held) = self.members.get(&id) else { continue };
            let serves = held.lost.is_some() || held.member.status == MemberStatus::Serving;
            match loss {
                _ if !serves || self.carried_orders.contains_key(&id) => self.remove(&id, loss),
                Loss::Ordered => ordered.push(id),
                _ if held.lost.is_some() => self.retain(&id, now, loss),
                _ => suspects.push((id, loss)),
            }
        }
        let recent: usize = self.losses.iter().map(|(_, n)| n).sum();
        let (serving, held) = (self.serving, self.held.len());
        let part = (recent + suspects.len()) as f64 > self.rules.max_lost_share * (serving + recent) as f64;
        let all = !suspects.is_empty() && suspects.len() + ordered.len() >= serving + held;
        if (part || all) && !self.rules.accept_losses {
            suspects.iter().for_each(|(id, loss)| self.retain(id, now, *loss));
        } else {
            if !suspects.is_empty() {
                self.losses.push_back((now, suspects.len()));
            }
            suspects.iter().for_each(|(id, loss)| self.remove(id, *loss));
        }
        for id in ordered {
            // An order removes its member, except for the last one: a list alone never empties a pool.
            let last = self.serving + self.held.len() == 1;
            if last && !self.rules.accept_losses {
                self.retain(&id, now, Loss::Ordered);
            } else {
                self.remove(&id, Loss::Ordered);
            }
        }
    }

    fn retain(&mut self, id: &str, now: Micros, loss: Loss) {
        let Some(mut held) = self.take_out(id) else { return };
        let since = held.lost.map_or(now, |(since, _)| since);
        held.lost = Some((since, loss));
        held.absent = loss != Loss::Unhealthy;
        self.touched.insert(id.to_owned());
        self.insert(id.to_owned(), held);
    }

    /// Accepts a loss.
    fn remove(&mut self, id: &str, loss: Loss) {
        let Some(held) = self.take_out(id) else { return };
        self.touched.insert(id.to_owned());
        if loss == Loss::Unhealthy {
            let member = Member { status: MemberStatus::Unhealthy, ..held.member };
            return self.insert(id.to_owned(), AcceptedMember::new(member, None));
        }
        if self.removed.insert(id.to_owned(), held.member.node.started).is_none() {
            self.removal_order.push_back(id.to_owned());
        }
        while self.removal_order.len() > MAX_REMEMBERED_REMOVALS {
            let Some(oldest) = self.removal_order.pop_front() else { return };
            self.removed.remove(&oldest);
        }
    }

    /// Removes members that were retained long enough, but never the last ones that serve.
    pub fn tick(&mut self, now: Micros) {
        let accept = self.rules.accept_losses;
        let over = |since: Micros| accept || since + self.rules.hold_time <= now;
        if !self.earliest.is_some_and(over) {
            return;
        }
        let mut due = Vec::new();
        let mut left: Option<Micros> = None;
        for id in &self.held {
            let Some((since, loss)) = self.members.get(id).and_then(|h| h.lost) else { continue };
            if over(since) {
                due.push((id.clone(), loss));
            }
            left = Some(left.map_or(since, |e: Micros| e.min(since)));
        }
        if accept || self.serving > 0 || due.len() < self.held.len() {
            due.iter().for_each(|(id, loss)| self.remove(id, *loss));
            let lost = |id: &String| self.members.get(id).and_then(|h| h.lost).map(|(since, _)| since);
            left = self.held.iter().filter_map(lost).min();
        }
        self.earliest = left;
    }

    /// When the next retained member is removed.
    pub fn due(&self) -> Option<Micros> {
        let earliest = self.earliest.filter(|_| self.serving > 0 && !self.held.is_empty());
        earliest.map(|since| since + self.rules.hold_time)
    }
}
