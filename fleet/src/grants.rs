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
pub const CLOCK_DRIFT_DIVISOR: u64 = 64;
/// Instances whose grants are counted. Guards the memory.
const MAX_TRACKED_INSTANCES: usize = 8_192;

/// What is divided, in whole units (requests a second, say).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Together.
    pub limit: u64,
    /// The part of it that is everybody's, in units. At most the limit.
    pub guaranteed: u64,
    /// As many instances as there may be.
    pub max_instances: u32,
    /// How long a vote is lent.
    pub vote_term: Micros,
    /// How long a grant lasts.
    pub grant_duration: Micros,
}

impl Settings {
    /// What each instance has whatever happens.
    pub fn guaranteed_share(&self) -> u64 {
        self.guaranteed.min(self.limit) / u64::from(self.max_instances.max(1))
    }

    /// What the keeper hands out.
    pub fn grantable(&self) -> u64 {
        self.limit - self.guaranteed_share() * u64::from(self.max_instances.max(1))
    }
}

/// What is said of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GrantMessage {
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
struct Election {
    request: u64,
    requested_at: Micros,
    voters: Vec<Name>,
}

/// One instance's part in one limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grants {
    name: Name,
    run_id: u64,
    settings: Settings,
    started: Micros,
    /// To whom the vote is lent, and until when.
    vote: Option<(u64, Micros)>,
    election: Option<Election>,
    coordinator_until: Micros,
    /// What was granted and may last: how much and until when. By whom it was asked.
    outstanding: BTreeMap<Name, Vec<(u64, Micros)>>,
    /// What each wants, as it last asked.
    demands: BTreeMap<Name, u64>,
    /// The last question: its number and when.
    pending_request: (u64, Micros),
    /// What is granted to this one: by which question, how much, until when.
    current_grant: Option<(u64, u64, Micros)>,
    last_request: u64,
}

impl Grants {
    /// An instance that has just started; its life is drawn at random.
    pub fn new(now: Micros, name: Name, run_id: u64, settings: Settings) -> Grants {
        Grants {
            name,
            run_id,
            settings,
            started: now,
            vote: None,
            election: None,
            coordinator_until: 0,
            outstanding: BTreeMap::new(),
            demands: BTreeMap::new(),
            pending_request: (0, 0),
            current_grant: None,
            // Questions of a former life, whose answers may still come, have other numbers.
            last_request: run_id,
        }
    }

    /// What this instance may use now.
    pub fn allowance(&self, now: Micros) -> u64 {
        self.settings.guaranteed_share() + self.granted(now)
    }

    /// What is granted to it, beyond its own.
    pub fn granted(&self, now: Micros) -> u64 {
        self.current_grant.filter(|(_, _, until)| now < *until).map_or(0, |(_, amount, _)| amount)
    }

    /// Whether this instance is the keeper.
    pub fn is_coordinator(&self, now: Micros) -> bool {
        now < self.coordinator_until
    }

    fn shorten_for_drift(span: Micros) -> Micros {
        span - span / CLOCK_DRIFT_DIVISOR
    }

    /// Whether it is time to ask for votes, again or for the first time.
    pub fn should_request_votes(&self, now: Micros) -> bool {
        let pause = self.settings.vote_term / 4;
        self.election.as_ref().is_none_or(|election| now >= election.requested_at + pause)
    }

    /// Asks for votes, to be keeper or to stay it: what is to be said to all others.
    pub fn request_votes(&mut self, now: Micros) -> GrantMessage {
        self.last_request = self.last_request.wrapping_add(1);
        self.election = Some(Election { request: self.last_request, requested_at: now, voters: Vec::new() });
        if self.lend_vote(now, self.run_id) {
            self.record_vote(self.name.clone(), self.last_request);
        }
        GrantMessage::Vote(self.run_id, self.last_request)
    }

    /// Lends the vote, if it may be.
    fn lend_vote(&mut self, now: Micros, to: u64) -> bool {
        // What was lent before this life began is over by then.
        if now < self.started + self.settings.vote_term {
            return false;
        }
        if self.vote.is_some_and(|(run_id, until)| run_id != to && now < until) {
            return false;
        }
        self.vote = Some((to, now + self.settings.vote_term));
        true
    }

    fn record_vote(&mut self, by: Name, number: u64) {
        let Some(election) = self.election.as_mut().filter(|election| election.request == number) else {
            return;
        };
        if !election.voters.contains(&by) && election.voters.len() < MAX_TRACKED_INSTANCES {
            election.voters.push(by);
        }
        if 2 * election.voters.len() as u64 > u64::from(self.settings.max_instances) {
            self.coordinator_until = self
                .coordinator_until
                .max(election.requested_at + Grants::shorten_for_drift(self.settings.vote_term));
        }
    }

    /// Asks for a grant: what is to be said to the keeper.
    pub fn request_grant(&mut self, now: Micros, demand: u64) -> GrantMessage {
        self.last_request = self.last_request.wrapping_add(1);
        self.pending_request = (self.last_request, now);
        GrantMessage::Ask(self.last_request, demand)
    }

    /// Hears what another says; what is to be answered.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: &Name,
        message: GrantMessage,
    ) -> Option<GrantMessage> {
        match message {
            GrantMessage::Vote(run_id, number) => {
                self.lend_vote(now, run_id).then_some(GrantMessage::Lent(number))
            }
            GrantMessage::Lent(number) => {
                self.record_vote(from.clone(), number);
                None
            }
            GrantMessage::Ask(number, demand) => self.issue_grant(now, from, number, demand),
            GrantMessage::Grant(number, amount, duration) => {
                // Only the answer to the last question: that is when its time began.
                let (pending, requested_at) = self.pending_request;
                if number == pending {
                    self.current_grant = Some((number, amount, requested_at + duration));
                }
                None
            }
        }
    }

    fn issue_grant(&mut self, now: Micros, to: &Name, number: u64, demand: u64) -> Option<GrantMessage> {
        if !self.is_coordinator(now)
            || (!self.demands.contains_key(to) && self.demands.len() >= MAX_TRACKED_INSTANCES)
        {
            return None;
        }
        self.outstanding.values_mut().for_each(|grants| grants.retain(|(_, until)| now < *until));
        // Those who have asked for nothing since their grants were over are no more.
        let outstanding = &self.outstanding;
        self.demands.retain(|name, _| outstanding.get(name).is_some_and(|grants| !grants.is_empty()));
        self.outstanding.retain(|_, grants| !grants.is_empty());
        self.demands.insert(to.clone(), demand);
        let duration = self.settings.grant_duration.min(self.coordinator_until - now);
        let amount = self.fair_share(to).min(self.available_for(to));
        let grants = self.outstanding.entry(to.clone()).or_default();
        // One that lasts no longer and is no higher need not be counted beside this.
        grants.retain(|(before, until)| *before > amount || *until > now + duration);
        grants.push((amount, now + duration));
        Some(GrantMessage::Grant(number, amount, Grants::shorten_for_drift(duration)))
    }

    /// What no other may be using.
    fn available_for(&self, to: &Name) -> u64 {
        let highest =
            |grants: &Vec<(u64, Micros)>| grants.iter().map(|(amount, _)| *amount).max().unwrap_or(0);
        let others: u64 =
            self.outstanding.iter().filter(|(name, _)| *name != to).map(|(_, grants)| highest(grants)).sum();
        self.settings.grantable().saturating_sub(others)
    }

    /// A fair part: those who want little have that, the others share the rest evenly (max-min fairness).
    fn fair_share(&self, to: &Name) -> u64 {
        let mut demands: Vec<u64> = self.demands.values().copied().collect();
        demands.sort_unstable();
        let (mut remaining, mut sharers) = (self.settings.grantable(), demands.len() as u64);
        let requested = self.demands.get(to).copied().unwrap_or(0);
        for demand in demands {
            let even_share = remaining / sharers.max(1);
            if demand > even_share {
                return requested.min(even_share);
            }
            remaining -= demand;
            sharers -= 1;
        }
        requested
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SECOND: Micros = 1_000_000;
    const SETTINGS: Settings = Settings {
        limit: 1000,
        guaranteed: 400,
        max_instances: 4,
        vote_term: 10 * SECOND,
        grant_duration: 2 * SECOND,
    };

    fn fleet() -> Vec<Grants> {
        (0..4).map(|n| Grants::new(0, format!("n{n}").into(), n, SETTINGS)).collect()
    }

    /// All vote for the first.
    fn elect(fleet: &mut [Grants], now: Micros) {
        let message = fleet[0].request_votes(now);
        for n in 1..fleet.len() {
            if let Some(reply) = fleet[n].handle_message(now, &"n0".into(), message) {
                let name = fleet[n].name.clone();
                fleet[0].handle_message(now, &name, reply);
            }
        }
    }

    fn request_grant(fleet: &mut [Grants], now: Micros, of: usize, demand: u64) {
        let (message, name) = (fleet[of].request_grant(now, demand), fleet[of].name.clone());
        if let Some(grant) = fleet[0].handle_message(now, &name, message) {
            fleet[of].handle_message(now, &"n0".into(), grant);
        }
    }

    /// When votes may be lent.
    const FIRST_VOTE_AT: Micros = 20 * SECOND;

    #[test]
    fn small_demands_are_met_and_the_rest_is_shared_evenly() {
        let mut fleet = fleet();
        assert_eq!((SETTINGS.guaranteed_share(), SETTINGS.grantable()), (100, 600));
        elect(&mut fleet, FIRST_VOTE_AT);
        assert!(
            fleet[0].is_coordinator(FIRST_VOTE_AT)
                && fleet[1..].iter().all(|f| !f.is_coordinator(FIRST_VOTE_AT))
        );
        // Alone it has all; as others come it gives way when it asks again.
        request_grant(&mut fleet, FIRST_VOTE_AT, 1, 5_000);
        assert_eq!(fleet[1].allowance(FIRST_VOTE_AT), 700);
        for round in 0..4 {
            let now = FIRST_VOTE_AT + round * SECOND / 2;
            [(1, 5_000), (2, 5_000), (3, 50)]
                .into_iter()
                .for_each(|(of, demand)| request_grant(&mut fleet, now, of, demand));
        }
        let now = FIRST_VOTE_AT + 3 * SECOND / 2;
        // What the first was granted at first is counted until it is over, though it asked for less since.
        assert!(fleet[1..].iter().map(|f| f.granted(now)).sum::<u64>() <= 600);
        for round in 4..9 {
            let now = FIRST_VOTE_AT + round * SECOND / 2;
            [(1, 5_000), (2, 5_000), (3, 50)]
                .into_iter()
                .for_each(|(of, demand)| request_grant(&mut fleet, now, of, demand));
        }
        let now = FIRST_VOTE_AT + 8 * SECOND / 2;
        assert_eq!(fleet[1..].iter().map(|f| f.granted(now)).collect::<Vec<_>>(), [275, 275, 50]);
        // Cut off, each falls back to its own part, and the keeper is none any more.
        let later = now + 11 * SECOND;
        assert!(fleet.iter().all(|f| f.allowance(later) == 100 && !f.is_coordinator(later)));
    }

    #[test]
    fn a_vote_goes_to_one_run_per_term_and_a_restarted_voter_waits_a_term() {
        let mut fleet = fleet();
        elect(&mut fleet, FIRST_VOTE_AT);
        let mut rival = Grants::new(0, "n9".into(), 9, SETTINGS);
        let message = rival.request_votes(FIRST_VOTE_AT + SECOND);
        assert!(
            fleet
                .iter_mut()
                .all(|f| f.handle_message(FIRST_VOTE_AT + SECOND, &"n9".into(), message).is_none())
        );
        // The keeper's next life has other votes to win, and a voter's next life none to lend yet.
        let mut restarted = Grants::new(FIRST_VOTE_AT + SECOND, "n0".into(), 10, SETTINGS);
        let message = restarted.request_votes(FIRST_VOTE_AT + 2 * SECOND);
        assert!(
            fleet[1..]
                .iter_mut()
                .all(|f| f.handle_message(FIRST_VOTE_AT + 2 * SECOND, &"n0".into(), message).is_none())
        );
        let mut voter = Grants::new(FIRST_VOTE_AT + SECOND, "n1".into(), 11, SETTINGS);
        assert!(voter.handle_message(FIRST_VOTE_AT + 2 * SECOND, &"n0".into(), message).is_none());
        assert!(voter.handle_message(FIRST_VOTE_AT + 11 * SECOND, &"n0".into(), message).is_some());
        assert!(
            fleet[1..]
                .iter_mut()
                .all(|f| f.handle_message(FIRST_VOTE_AT + 11 * SECOND, &"n0".into(), message).is_some())
        );
    }
}
