//! One limit for all instances, divided into grants that expire.
//!
//! A part of the limit is everybody's: the same for each of as many instances as there may be at the most, cut off or not.
//! The rest is handed out by a *keeper*, one instance at a time, to those who ask, for a short while each.
//!
//! **One keeper.** An instance is the keeper for as long as more than half of all that there may be have lent it their vote.
//! A vote is lent for a *term* by the voter's clock, from when it is given; the keeper counts the term from when it asked, so
//! it stops first. Meanwhile the voter lends it to no other *life*: a keeper that has been restarted is another one. A voter
//! that has been restarted may have lent its vote and forgotten it, and lends none for a term.
//!
//! **No more than the limit.** A grant ends with the keeper's term at the latest. Who asked counts it from when it asked, the
//! keeper from when it answered, so the keeper counts it longer. An answer may be lost and the one before it still be in use:
//! the keeper counts the highest of all that it has answered and that may still last.
//!
//! So at no time is more in use than the limit, whatever is lost, late, out of order or dead; only clocks that run at
//! different speeds could break it, and [`DRIFT`] allows for those. That is shown by trying all histories of three instances
//! (`tests/grants.rs`), not by argument alone. An instance that is cut off falls back to its own part within a grant's time.
//!
//! No I/O; times are microseconds of the instance's own clock.

use std::collections::BTreeMap;

use finchshift::Micros;
use serde::{Deserialize, Serialize};

use crate::message::Name;

/// How much slower one clock may run than another, as a part of a term: one in so many.
pub const DRIFT: u64 = 64;
/// Instances whose grants are counted. Guards the memory.
const MOST: usize = 8_192;

/// What is divided, in whole units (requests a second, say).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Together.
    pub limit: u64,
    /// The part of it that is everybody's, in units. At most the limit.
    pub shared: u64,
    /// As many instances as there may be.
    pub most: u32,
    /// How long a vote is lent.
    pub term: Micros,
    /// How long a grant lasts.
    pub grant: Micros,
}

impl Settings {
    /// What each instance has whatever happens.
    pub fn own(&self) -> u64 {
        self.shared.min(self.limit) / u64::from(self.most.max(1))
    }

    /// What the keeper hands out.
    pub fn handed_out(&self) -> u64 {
        self.limit - self.own() * u64::from(self.most.max(1))
    }
}

/// What is said of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Said {
    /// Lend me your vote; the life that asks, and the number of the question.
    Vote(u64, u64),
    /// It is lent.
    Lent(u64),
    /// Grant me as much; the number of the question.
    Ask(u64, u64),
    /// So much is granted, for so long from the question.
    Grant(u64, u64, Micros),
}

/// A question for votes under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Canvass {
    number: u64,
    at: Micros,
    lent: Vec<Name>,
}

/// One instance's part in one limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grants {
    me: Name,
    life: u64,
    settings: Settings,
    started: Micros,
    /// To whom the vote is lent, and until when.
    lent: Option<(u64, Micros)>,
    canvass: Option<Canvass>,
    keeps_until: Micros,
    /// What was granted and may last: how much and until when. By whom it was asked.
    granted: BTreeMap<Name, Vec<(u64, Micros)>>,
    /// What each wants, as it last asked.
    wanted: BTreeMap<Name, u64>,
    /// The last question: its number and when.
    asked: (u64, Micros),
    /// What is granted to this one: by which question, how much, until when.
    held: Option<(u64, u64, Micros)>,
    number: u64,
}

impl Grants {
    /// An instance that has just started; its life is drawn at random.
    pub fn new(now: Micros, me: Name, life: u64, settings: Settings) -> Grants {
        Grants {
            me,
            life,
            settings,
            started: now,
            lent: None,
            canvass: None,
            keeps_until: 0,
            granted: BTreeMap::new(),
            wanted: BTreeMap::new(),
            asked: (0, 0),
            held: None,
            // Questions of a former life, whose answers may still come, have other numbers.
            number: life,
        }
    }

    /// What this instance may use now.
    pub fn may(&self, now: Micros) -> u64 {
        self.settings.own() + self.held(now)
    }

    /// What is granted to it, beyond its own.
    pub fn held(&self, now: Micros) -> u64 {
        self.held.filter(|(_, _, until)| now < *until).map_or(0, |(_, amount, _)| amount)
    }

    /// Whether this instance is the keeper.
    pub fn keeps(&self, now: Micros) -> bool {
        now < self.keeps_until
    }

    fn drift(span: Micros) -> Micros {
        span - span / DRIFT
    }

    /// Whether it is time to ask for votes, again or for the first time.
    pub fn should_canvass(&self, now: Micros) -> bool {
        let pause = self.settings.term / 4;
        self.canvass.as_ref().is_none_or(|canvass| now >= canvass.at + pause)
    }

    /// Asks for votes, to be keeper or to stay it: what is to be said to all others.
    pub fn canvass(&mut self, now: Micros) -> Said {
        self.number = self.number.wrapping_add(1);
        self.canvass = Some(Canvass { number: self.number, at: now, lent: Vec::new() });
        if self.lend(now, self.life) {
            self.won(self.me.clone(), self.number);
        }
        Said::Vote(self.life, self.number)
    }

    /// Lends the vote, if it may be.
    fn lend(&mut self, now: Micros, to: u64) -> bool {
        // What was lent before this life began is over by then.
        if now < self.started + self.settings.term {
            return false;
        }
        if self.lent.is_some_and(|(life, until)| life != to && now < until) {
            return false;
        }
        self.lent = Some((to, now + self.settings.term));
        true
    }

    fn won(&mut self, by: Name, number: u64) {
        let Some(canvass) = self.canvass.as_mut().filter(|canvass| canvass.number == number) else { return };
        if !canvass.lent.contains(&by) && canvass.lent.len() < MOST {
            canvass.lent.push(by);
        }
        if 2 * canvass.lent.len() as u64 > u64::from(self.settings.most) {
            self.keeps_until = self.keeps_until.max(canvass.at + Grants::drift(self.settings.term));
        }
    }

    /// Asks for a grant: what is to be said to the keeper.
    pub fn ask(&mut self, now: Micros, wants: u64) -> Said {
        self.number = self.number.wrapping_add(1);
        self.asked = (self.number, now);
        Said::Ask(self.number, wants)
    }

    /// Hears what another says; what is to be answered.
    pub fn heard(&mut self, now: Micros, from: &Name, said: Said) -> Option<Said> {
        match said {
            Said::Vote(life, number) => self.lend(now, life).then_some(Said::Lent(number)),
            Said::Lent(number) => {
                self.won(from.clone(), number);
                None
            }
            Said::Ask(number, wants) => self.grant(now, from, number, wants),
            Said::Grant(number, amount, lasts) => {
                // Only the answer to the last question: that is when its time began.
                let (asked, at) = self.asked;
                if number == asked {
                    self.held = Some((number, amount, at + lasts));
                }
                None
            }
        }
    }

    fn grant(&mut self, now: Micros, to: &Name, number: u64, wants: u64) -> Option<Said> {
        if !self.keeps(now) || (!self.wanted.contains_key(to) && self.wanted.len() >= MOST) {
            return None;
        }
        self.granted.values_mut().for_each(|given| given.retain(|(_, until)| now < *until));
        // Those who have asked for nothing since their grants were over are no more.
        let granted = &self.granted;
        self.wanted.retain(|name, _| granted.get(name).is_some_and(|given| !given.is_empty()));
        self.granted.retain(|_, given| !given.is_empty());
        self.wanted.insert(to.clone(), wants);
        let lasts = self.settings.grant.min(self.keeps_until - now);
        let amount = self.fair(to).min(self.free(to));
        let given = self.granted.entry(to.clone()).or_default();
        // One that lasts no longer and is no higher need not be counted beside this.
        given.retain(|(before, until)| *before > amount || *until > now + lasts);
        given.push((amount, now + lasts));
        Some(Said::Grant(number, amount, Grants::drift(lasts)))
    }

    /// What no other may be using.
    fn free(&self, to: &Name) -> u64 {
        let most = |given: &Vec<(u64, Micros)>| given.iter().map(|(amount, _)| *amount).max().unwrap_or(0);
        let others: u64 = self.granted.iter().filter(|(name, _)| *name != to).map(|(_, g)| most(g)).sum();
        self.settings.handed_out().saturating_sub(others)
    }

    /// A fair part: those who want little have that, the others share the rest evenly (max-min fairness).
    fn fair(&self, to: &Name) -> u64 {
        let mut wants: Vec<u64> = self.wanted.values().copied().collect();
        wants.sort_unstable();
        let (mut left, mut sharers) = (self.settings.handed_out(), wants.len() as u64);
        let own = self.wanted.get(to).copied().unwrap_or(0);
        for wants in wants {
            let even = left / sharers.max(1);
            if wants > even {
                return own.min(even);
            }
            left -= wants;
            sharers -= 1;
        }
        own
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const SETTINGS: Settings =
        Settings { limit: 1000, shared: 400, most: 4, term: 10 * SECOND, grant: 2 * SECOND };

    fn fleet() -> Vec<Grants> {
        (0..4).map(|n| Grants::new(0, format!("n{n}").into(), n, SETTINGS)).collect()
    }

    /// All vote for the first.
    fn elect(fleet: &mut [Grants], now: Micros) {
        let said = fleet[0].canvass(now);
        for n in 1..fleet.len() {
            if let Some(lent) = fleet[n].heard(now, &"n0".into(), said) {
                let name = fleet[n].me.clone();
                fleet[0].heard(now, &name, lent);
            }
        }
    }

    fn ask(fleet: &mut [Grants], now: Micros, of: usize, wants: u64) {
        let (said, name) = (fleet[of].ask(now, wants), fleet[of].me.clone());
        if let Some(grant) = fleet[0].heard(now, &name, said) {
            fleet[of].heard(now, &"n0".into(), grant);
        }
    }

    /// When votes may be lent.
    const T: Micros = 20 * SECOND;

    #[test]
    fn those_who_want_little_have_it_and_the_others_share_the_rest() {
        let mut fleet = fleet();
        assert_eq!((SETTINGS.own(), SETTINGS.handed_out()), (100, 600));
        elect(&mut fleet, T);
        assert!(fleet[0].keeps(T) && fleet[1..].iter().all(|f| !f.keeps(T)));
        // Alone it has all; as others come it gives way when it asks again.
        ask(&mut fleet, T, 1, 5_000);
        assert_eq!(fleet[1].may(T), 700);
        for round in 0..4 {
            let now = T + round * SECOND / 2;
            [(1, 5_000), (2, 5_000), (3, 50)]
                .into_iter()
                .for_each(|(of, wants)| ask(&mut fleet, now, of, wants));
        }
        let now = T + 3 * SECOND / 2;
        // What the first was granted at first is counted until it is over, though it asked for less since.
        assert!(fleet[1..].iter().map(|f| f.held(now)).sum::<u64>() <= 600);
        for round in 4..9 {
            let now = T + round * SECOND / 2;
            [(1, 5_000), (2, 5_000), (3, 50)]
                .into_iter()
                .for_each(|(of, wants)| ask(&mut fleet, now, of, wants));
        }
        let now = T + 8 * SECOND / 2;
        assert_eq!(fleet[1..].iter().map(|f| f.held(now)).collect::<Vec<_>>(), [275, 275, 50]);
        // Cut off, each falls back to its own part, and the keeper is none any more.
        let later = now + 11 * SECOND;
        assert!(fleet.iter().all(|f| f.may(later) == 100 && !f.keeps(later)));
    }

    #[test]
    fn a_vote_is_lent_to_one_life_at_a_time_and_not_by_one_that_may_have_forgotten() {
        let mut fleet = fleet();
        elect(&mut fleet, T);
        let mut other = Grants::new(0, "n9".into(), 9, SETTINGS);
        let said = other.canvass(T + SECOND);
        assert!(fleet.iter_mut().all(|f| f.heard(T + SECOND, &"n9".into(), said).is_none()));
        // The keeper's next life has other votes to win, and a voter's next life none to lend yet.
        let mut again = Grants::new(T + SECOND, "n0".into(), 10, SETTINGS);
        let said = again.canvass(T + 2 * SECOND);
        assert!(fleet[1..].iter_mut().all(|f| f.heard(T + 2 * SECOND, &"n0".into(), said).is_none()));
        let mut voter = Grants::new(T + SECOND, "n1".into(), 11, SETTINGS);
        assert!(voter.heard(T + 2 * SECOND, &"n0".into(), said).is_none());
        assert!(voter.heard(T + 11 * SECOND, &"n0".into(), said).is_some());
        assert!(fleet[1..].iter_mut().all(|f| f.heard(T + 11 * SECOND, &"n0".into(), said).is_some()));
    }
}
