//! What of a source's news is believed.
//!
//! | rule | guards | costs |
//! | --- | --- | --- |
//! | a view older than the one held is not taken | drains: an older view says that a drained node serves | news from a member that is behind comes later |
//! | a drain outlives a change of epoch until the entry is written anew, or its node has started again | drains: a registry restored from a backup does not know of them | a node taken back just before the backup stays out until somebody writes it |
//! | more than a part of the serving nodes lost in a window is held as suspect for a time, and they go on serving unless told to drain | nothing lost, cold upstreams: what is left would be pushed over by a list that is wrong | attempts on nodes that are really gone, until breakers see them or the time is over |
//! | an empty list never empties a pool by itself | nothing lost | the same, until nodes come or an operator says so |
//! | what went by order goes at once | drains | none |

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use finchshift::{Micros, ServerState};

use crate::view::{Body, Change, Loss, Member, News, Revision, Standing};

/// When a loss is not believed.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Losing more than this part of the serving members within the window is suspect.
    pub most_lost: f64,
    /// The window.
    pub window: Micros,
    /// How long what is suspect is held.
    pub hold: Micros,
    /// An operator says that the list is right, whatever it has lost.
    pub accept: bool,
    /// More members are not taken.
    pub most_members: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { most_lost: 0.5, window: 10_000_000, hold: 300_000_000, accept: false, most_members: 100_000 }
    }
}

/// Why a member takes requests or does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Its source says so.
    Told(Standing),
    /// Lost, and not believed yet.
    Held {
        /// Since when.
        since: Micros,
        /// How it went.
        loss: Loss,
    },
    /// It was ordered out before its registry became another one, and nobody has written it since.
    Sealed,
}

/// Why news was not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    /// It is older than what is held.
    Older {
        /// Its revision.
        found: Revision,
        /// The newest one held.
        held: Revision,
    },
    /// It begins an epoch with changes only.
    Partial,
    /// It has too many members.
    TooMany(usize),
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::Older { found, held } => {
                write!(f, "found revision {}, expected {} or newer", found.number, held.number)
            }
            Refused::Partial => write!(f, "found changes, expected a whole view of a new registry"),
            Refused::TooMany(n) => write!(f, "found {n} members, more than are taken"),
        }
    }
}

struct Held {
    member: Member,
    /// It was lost and is kept all the same.
    lost: Option<(Micros, Loss)>,
    /// It is in no view any more; it is kept as lost, or not at all.
    absent: bool,
    /// It is among those that serve by their source's word.
    counted: bool,
}

impl Held {
    fn new(member: Member, lost: Option<(Micros, Loss)>) -> Held {
        Held { member, lost, absent: false, counted: false }
    }
}

/// Most of those that have gone that are remembered, for the case that their registry is restored from a backup.
const MOST_GONE: usize = 1 << 16;

/// An order from an earlier epoch.
#[derive(Clone, Copy)]
struct Seal {
    /// Entries written up to here are what the new registry was born with.
    upto: u64,
    /// The start of the node that was ordered out.
    started: Option<Micros>,
}

/// What is believed of one source.
pub struct Belief {
    rules: Rules,
    members: BTreeMap<String, Held>,
    revision: Option<Revision>,
    /// Losses that were believed within the window.
    losses: VecDeque<(Micros, usize)>,
    seals: HashMap<String, Seal>,
    /// Members whose entry may have changed.
    touched: BTreeSet<String>,
    /// Members that serve by their source's word.
    serving: usize,
    /// Members that are held.
    held: BTreeSet<String>,
    /// None of these is held longer than since then.
    earliest: Option<Micros>,
    /// The starts of those that have gone, and the order in which they went.
    gone: HashMap<String, Option<Micros>>,
    went: VecDeque<String>,
}

impl Belief {
    /// Nothing known yet.
    pub fn new(rules: Rules) -> Belief {
        Belief {
            rules,
            members: BTreeMap::new(),
            revision: None,
            losses: VecDeque::new(),
            seals: HashMap::new(),
            touched: BTreeSet::new(),
            serving: 0,
            held: BTreeSet::new(),
            earliest: None,
            gone: HashMap::new(),
            went: VecDeque::new(),
        }
    }

    /// The newest revision taken.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// How many members are held though the source has lost them.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Goes on under other rules.
    pub fn set(&mut self, now: Micros, rules: Rules) {
        self.rules = rules;
        self.tick(now);
    }

    /// What is believed of a member, and why.
    pub fn get(&self, identity: &str) -> Option<(&Member, ServerState, Reason)> {
        let held = self.members.get(identity)?;
        let (state, reason) = match held.lost {
            Some((since, loss)) => (ServerState::Ready, Reason::Held { since, loss }),
            None if self.seals.contains_key(identity) => (ServerState::Draining, Reason::Sealed),
            None if held.member.standing == Standing::Serving => {
                (ServerState::Ready, Reason::Told(Standing::Serving))
            }
            None => (ServerState::Draining, Reason::Told(held.member.standing)),
        };
        Some((&held.member, state, reason))
    }

    /// All members.
    pub fn identities(&self) -> impl Iterator<Item = &str> {
        self.members.keys().map(String::as_str)
    }

    /// Those whose entries may have changed since the last call.
    pub fn touched(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.touched)
    }

    /// Takes news, or refuses it and has changed nothing.
    pub fn take(&mut self, now: Micros, news: News) -> Result<(), Refused> {
        let found = news.revision;
        let begins = match self.revision {
            Some(held) if held.epoch == found.epoch => {
                if found.number < held.number {
                    return Err(Refused::Older { found, held });
                }
                false
            }
            Some(held) if found.epoch < held.epoch => return Err(Refused::Older { found, held }),
            _ => true,
        };
        if begins && matches!(news.body, Body::Changes(_)) {
            return Err(Refused::Partial);
        }
        let more = match &news.body {
            Body::Whole(members) => members.len(),
            Body::Changes(changes) => {
                let new =
                    |c: &&Change| matches!(c, Change::Put(m) if !self.members.contains_key(&m.node.identity));
                self.members.len() + changes.iter().filter(new).count()
            }
        };
        if more > self.rules.most_members {
            return Err(Refused::TooMany(more));
        }
        if begins && self.revision.is_some() {
            self.seal(found.number);
        }
        self.revision = Some(found);
        let mut lost = Vec::new();
        match news.body {
            Body::Whole(members) => {
                let listed: BTreeSet<&str> = members.iter().map(|m| m.node.identity.as_str()).collect();
                let absent = self.members.keys().filter(|id| !listed.contains(id.as_str()));
                lost.extend(absent.map(|id| (id.clone(), Loss::Missing)));
                drop(listed);
                members.into_iter().for_each(|m| self.put(m, &mut lost));
            }
            Body::Changes(changes) => {
                for change in changes {
                    match change {
                        Change::Put(member) => self.put(member, &mut lost),
                        Change::Gone(id, loss) => lost.push((id, loss)),
                        Change::Ordered(id) => {
                            // It may be back by now: then it was not an order that still holds.
                            if self.members.get(&id).is_some_and(|h| h.absent) {
                                lost.push((id, Loss::Ordered));
                            }
                        }
                    }
                }
            }
        }
        self.lose(now, lost);
        self.tick(now);
        Ok(())
    }

    /// Orders of the epoch that ends hold until they are taken back in the one that begins; so does it that a node has
    /// gone.
    fn seal(&mut self, upto: u64) {
        // Entries of an epoch still before say nothing in this one.
        self.seals.values_mut().for_each(|seal| seal.upto = upto);
        let ordered = self.members.iter().filter(|(_, h)| h.member.standing.ordered());
        let ordered = ordered.map(|(id, h)| (id.clone(), h.member.node.started));
        let all: Vec<(String, Option<Micros>)> = ordered.chain(self.gone.drain()).collect();
        self.went.clear();
        for (id, started) in all {
            if let Some(held) = self.members.get_mut(&id) {
                self.serving -= usize::from(std::mem::take(&mut held.counted));
            }
            self.touched.insert(id.clone());
            self.seals.insert(id, Seal { upto, started });
        }
    }

    fn put(&mut self, member: Member, lost: &mut Vec<(String, Loss)>) {
        let id = member.node.identity.clone();
        if let Some(seal) = self.seals.get(&id) {
            // With no start told there is no telling a new process from the old one.
            let anew = member.node.started > seal.started && seal.started.is_some();
            if member.written > seal.upto || anew || member.standing.ordered() {
                self.seals.remove(&id);
            }
        }
        self.touched.insert(id.clone());
        self.gone.remove(&id);
        let was = self.forget(&id);
        // Whose checks fail goes the way of one that is lost: many at once are suspect.
        let ill = member.standing == Standing::Unhealthy;
        let held = match was {
            Some(Held { lost: Some((since, _)), .. }) if ill => {
                Held::new(member, Some((since, Loss::Unhealthy)))
            }
            Some(was) if ill && was.member.standing == Standing::Serving => {
                lost.push((id.clone(), Loss::Unhealthy));
                // Until the losses of this news are weighed together.
                Held::new(Member { standing: Standing::Serving, ..member }, None)
            }
            _ => Held::new(member, None),
        };
        self.remember(id, held);
    }

    fn forget(&mut self, id: &str) -> Option<Held> {
        let held = self.members.remove(id)?;
        self.serving -= usize::from(held.counted);
        self.held.remove(id);
        Some(held)
    }

    fn remember(&mut self, id: String, mut held: Held) {
        let serves = held.lost.is_none() && held.member.standing == Standing::Serving;
        held.counted = serves && !self.seals.contains_key(&id);
        self.serving += usize::from(held.counted);
        if let Some((since, _)) = held.lost {
            self.held.insert(id.clone());
            self.earliest = Some(self.earliest.map_or(since, |e| e.min(since)));
        }
        self.members.insert(id, held);
    }

    /// Weighs what one piece of news has lost, all together.
    fn lose(&mut self, now: Micros, lost: Vec<(String, Loss)>) {
        while self.losses.front().is_some_and(|(at, _)| at + self.rules.window <= now) {
            self.losses.pop_front();
        }
        let (mut suspects, mut ordered) = (Vec::new(), Vec::new());
        for (id, loss) in lost {
            let Some(held) = self.members.get(&id) else { continue };
            let serves = held.lost.is_some() || held.member.standing == Standing::Serving;
            match loss {
                _ if !serves || self.seals.contains_key(&id) => self.let_go(&id, loss),
                Loss::Ordered => ordered.push(id),
                _ if held.lost.is_some() => self.hold(&id, now, loss),
                _ => suspects.push((id, loss)),
            }
        }
        let recent: usize = self.losses.iter().map(|(_, n)| n).sum();
        let (serving, held) = (self.serving, self.held.len());
        let part = (recent + suspects.len()) as f64 > self.rules.most_lost * (serving + recent) as f64;
        let all = !suspects.is_empty() && suspects.len() + ordered.len() >= serving + held;
        if (part || all) && !self.rules.accept {
            suspects.iter().for_each(|(id, loss)| self.hold(id, now, *loss));
        } else {
            if !suspects.is_empty() {
                self.losses.push_back((now, suspects.len()));
            }
            suspects.iter().for_each(|(id, loss)| self.let_go(id, *loss));
        }
        for id in ordered {
            // Orders take out what they name, but for the last one: a pool is never emptied by a list that says no more.
            let last = self.serving + self.held.len() == 1;
            if last && !self.rules.accept {
                self.hold(&id, now, Loss::Ordered);
            } else {
                self.let_go(&id, Loss::Ordered);
            }
        }
    }

    fn hold(&mut self, id: &str, now: Micros, loss: Loss) {
        let Some(mut held) = self.forget(id) else { return };
        let since = held.lost.map_or(now, |(since, _)| since);
        held.lost = Some((since, loss));
        held.absent = loss != Loss::Unhealthy;
        self.touched.insert(id.to_owned());
        self.remember(id.to_owned(), held);
    }

    /// Believes a loss.
    fn let_go(&mut self, id: &str, loss: Loss) {
        let Some(held) = self.forget(id) else { return };
        self.touched.insert(id.to_owned());
        if loss == Loss::Unhealthy {
            let member = Member { standing: Standing::Unhealthy, ..held.member };
            return self.remember(id.to_owned(), Held::new(member, None));
        }
        if self.gone.insert(id.to_owned(), held.member.node.started).is_none() {
            self.went.push_back(id.to_owned());
        }
        while self.went.len() > MOST_GONE {
            let Some(oldest) = self.went.pop_front() else { return };
            self.gone.remove(&oldest);
        }
    }

    /// Lets go of what was held long enough, but never of the last that serve.
    pub fn tick(&mut self, now: Micros) {
        let accept = self.rules.accept;
        let over = |since: Micros| accept || since + self.rules.hold <= now;
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
            due.iter().for_each(|(id, loss)| self.let_go(id, *loss));
            let lost = |id: &String| self.members.get(id).and_then(|h| h.lost).map(|(since, _)| since);
            left = self.held.iter().filter_map(lost).min();
        }
        self.earliest = left;
    }

    /// When something that is held is next let go.
    pub fn due(&self) -> Option<Micros> {
        let earliest = self.earliest.filter(|_| self.serving > 0 && !self.held.is_empty());
        earliest.map(|since| since + self.rules.hold)
    }
}
