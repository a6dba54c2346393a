//! One limit for the whole fleet, divided into grants that expire.
//!
//! A part of the limit is guaranteed: it is divided evenly among the maximum number of instances, whether they are
//! reachable or not. A *coordinator* grants the rest to the instances that request it, for a short time each. One
//! instance at a time is the coordinator.
//!
//! **One coordinator.** An instance is the coordinator while more than half of the maximum number of instances have
//! lent it their vote. A vote is lent for a *term*. The voter measures the term from when it sends the vote, the
//! coordinator from when it requested it, so the coordinator stops first. Until the term ends the voter lends its vote
//! to no other *run*; a restarted coordinator is a new run. A restarted voter may have lent its vote before and no
//! longer know it, so it lends none for one term.
//!
//! **Never more than the limit.** A grant ends with the coordinator's term at the latest. The requester measures a
//! grant from when it requested it, the coordinator from when it answered, so the coordinator counts it for longer. An
//! answer may be lost while the grant before it is still in use, so the coordinator counts the highest grant of each
//! instance that may still be valid.
//!
//! So the amount in use never exceeds the limit, whatever messages are lost, late or reordered and whichever instances
//! fail. Only clocks that run at different speeds could break this, and [`CLOCK_DRIFT_DIVISOR`] allows for those.
//! `tests/grants.rs` checks it over all histories of three instances up to a given depth. An instance that is cut off
//! falls back to its guaranteed share when its grant expires.
//!
//! No I/O; times are microseconds of the instance's own clock.

use std::collections::BTreeMap;

use finchshift::Micros;
use serde::{Deserialize, Serialize};

use crate::message::Name;

/// Tolerated difference in clock speed: terms and grants are shortened by one part in this number on the side that
/// must stop first.
pub const CLOCK_DRIFT_DIVISOR: u64 = 64;
/// Maximum number of instances whose grants and votes are tracked. Bounds the memory.
const MAX_TRACKED_INSTANCES: usize = 8_192;

/// How one limit is divided, in whole units (requests per second, for example).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Settings {
    /// Limit for the whole fleet, in units.
    pub limit: u64,
    /// Part of the limit, in units, that is divided evenly among `max_instances` without grants. At most `limit`.
    pub guaranteed: u64,
    /// Maximum number of instances in the fleet.
    pub max_instances: u32,
    /// Time for which a vote is lent.
    pub vote_term: Micros,
    /// Time for which a grant is valid.
    pub grant_duration: Micros,
}

impl Settings {
    /// Returns the units that each instance may use without a grant.
    pub fn guaranteed_share(&self) -> u64 {
        self.guaranteed.min(self.limit) / u64::from(self.max_instances.max(1))
    }

    /// Returns the units that the coordinator distributes by grants.
    pub fn grantable(&self) -> u64 {
        self.limit - self.guaranteed_share() * u64::from(self.max_instances.max(1))
    }
}

/// A message about votes or grants for one limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GrantMessage {
    /// Requests a vote: the candidate's run ID and the request number.
    Vote(u64, u64),
    /// The vote is lent, in answer to this request number.
    Lent(u64),
    /// Requests a grant: the request number and the demanded units.
    Ask(u64, u64),
    /// Grants units: the request number, the units and the duration in microseconds, measured from when the request
    /// was sent.
    Grant(u64, u64, Micros),
}

/// A request for votes and the instances that have lent theirs in answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Election {
    /// Number of the vote request.
    request: u64,
    /// When the votes were requested.
    requested_at: Micros,
    /// Instances that have lent their vote in answer to this request.
    voters: Vec<Name>,
}

/// State of one instance for one shared limit: voter, candidate or coordinator, and holder of a grant.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Grants {
    /// Name of this instance.
    name: Name,
    /// Random ID of this run of the instance.
    run_id: u64,
    /// How the limit is divided.
    settings: Settings,
    /// When this run started.
    started: Micros,
    /// The run ID that this instance's vote is lent to, and until when.
    vote: Option<(u64, Micros)>,
    /// The latest request for votes.
    election: Option<Election>,
    /// This instance is the coordinator until this time.
    coordinator_until: Micros,
    /// Grants issued as the coordinator that may still be valid, by instance name: units and expiry time.
    outstanding: BTreeMap<Name, Vec<(u64, Micros)>>,
    /// The demand in each instance's latest request, by instance name.
    demands: BTreeMap<Name, u64>,
    /// Number of the latest grant request and the time at which it was sent.
    pending_request: (u64, Micros),
    /// The grant that this instance holds: request number, units, expiry time.
    current_grant: Option<(u64, u64, Micros)>,
    /// Number of the last vote or grant request.
    last_request: u64,
}

impl Grants {
    /// Creates the state of an instance that has just started. `run_id` is drawn at random for each run.
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
            // Late answers to requests of a previous run carry other numbers.
            last_request: run_id,
        }
    }

    /// Returns the units that this instance may use now: guaranteed share plus grant.
    pub fn allowance(&self, now: Micros) -> u64 {
        self.settings.guaranteed_share() + self.granted(now)
    }

    /// Returns the units granted to this instance beyond its guaranteed share.
    pub fn granted(&self, now: Micros) -> u64 {
        self.current_grant.filter(|(_, _, until)| now < *until).map_or(0, |(_, amount, _)| amount)
    }

    /// Returns whether this instance is the coordinator.
    pub fn is_coordinator(&self, now: Micros) -> bool {
        now < self.coordinator_until
    }

    /// Shortens a span so that it ends first even on a clock that runs slow.
    fn shorten_for_drift(span: Micros) -> Micros {
        span - span / CLOCK_DRIFT_DIVISOR
    }

    /// Returns whether votes should be requested, for the first time or to renew the term.
    pub fn should_request_votes(&self, now: Micros) -> bool {
        let interval = self.settings.vote_term / 4;
        self.election.as_ref().is_none_or(|election| now >= election.requested_at + interval)
    }

    /// Requests votes to become or stay the coordinator. Returns the message to send to all other instances.
    pub fn request_votes(&mut self, now: Micros) -> GrantMessage {
        self.last_request = self.last_request.wrapping_add(1);
        self.election = Some(Election { request: self.last_request, requested_at: now, voters: Vec::new() });
        if self.lend_vote(now, self.run_id) {
            self.record_vote(self.name.clone(), self.last_request);
        }
        GrantMessage::Vote(self.run_id, self.last_request)
    }

    /// Lends this instance's vote to the run `candidate`, unless it is lent to another run or this instance started
    /// less than a term ago.
    fn lend_vote(&mut self, now: Micros, candidate: u64) -> bool {
        // Any vote that a previous run lent has expired by then.
        if now < self.started + self.settings.vote_term {
            return false;
        }
        if self.vote.is_some_and(|(run_id, until)| run_id != candidate && now < until) {
            return false;
        }
        self.vote = Some((candidate, now + self.settings.vote_term));
        true
    }

    /// Counts a vote for the current request. A majority makes this instance the coordinator for a term.
    fn record_vote(&mut self, voter: Name, number: u64) {
        let Some(election) = self.election.as_mut().filter(|election| election.request == number) else {
            return;
        };
        if !election.voters.contains(&voter) && election.voters.len() < MAX_TRACKED_INSTANCES {
            election.voters.push(voter);
        }
        if 2 * election.voters.len() as u64 > u64::from(self.settings.max_instances) {
            self.coordinator_until = self
                .coordinator_until
                .max(election.requested_at + Grants::shorten_for_drift(self.settings.vote_term));
        }
    }

    /// Requests a grant of `demand` units. Returns the message to send to the coordinator.
    pub fn request_grant(&mut self, now: Micros, demand: u64) -> GrantMessage {
        self.last_request = self.last_request.wrapping_add(1);
        self.pending_request = (self.last_request, now);
        GrantMessage::Ask(self.last_request, demand)
    }

    /// Handles a message from another instance and returns the answer to send, if any.
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
                // Only the latest request counts: the grant is measured from when that request was sent.
                let (pending, requested_at) = self.pending_request;
                if number == pending {
                    self.current_grant = Some((number, amount, requested_at + duration));
                }
                None
            }
        }
    }

    /// Answers a grant request if this instance is the coordinator.
    fn issue_grant(&mut self, now: Micros, to: &Name, number: u64, demand: u64) -> Option<GrantMessage> {
        if !self.is_coordinator(now)
            || (!self.demands.contains_key(to) && self.demands.len() >= MAX_TRACKED_INSTANCES)
        {
            return None;
        }
        self.outstanding.values_mut().for_each(|grants| grants.retain(|(_, until)| now < *until));
        // Instances whose grants have all expired without a new request are dropped.
        let outstanding = &self.outstanding;
        self.demands.retain(|name, _| outstanding.get(name).is_some_and(|grants| !grants.is_empty()));
        self.outstanding.retain(|_, grants| !grants.is_empty());
        self.demands.insert(to.clone(), demand);
        let duration = self.settings.grant_duration.min(self.coordinator_until - now);
        let amount = self.fair_share(to).min(self.available_for(to));
        let grants = self.outstanding.entry(to.clone()).or_default();
        // An earlier grant that is not higher and expires no later is covered by the new one.
        grants.retain(|(before, until)| *before > amount || *until > now + duration);
        grants.push((amount, now + duration));
        Some(GrantMessage::Grant(number, amount, Grants::shorten_for_drift(duration)))
    }

    /// Returns the grantable units that no other instance may be using.
    fn available_for(&self, to: &Name) -> u64 {
        let highest =
            |grants: &Vec<(u64, Micros)>| grants.iter().map(|(amount, _)| *amount).max().unwrap_or(0);
        let others: u64 =
            self.outstanding.iter().filter(|(name, _)| *name != to).map(|(_, grants)| highest(grants)).sum();
        self.settings.grantable().saturating_sub(others)
    }

    /// Returns the max-min fair share of `to`: small demands are met in full, the others share the rest evenly.
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

    /// Four instances that have just started.
    fn fleet() -> Vec<Grants> {
        (0..4).map(|n| Grants::new(0, format!("n{n}").into(), n, SETTINGS)).collect()
    }

    /// Makes the first instance the coordinator by the votes of all.
    fn elect(fleet: &mut [Grants], now: Micros) {
        let message = fleet[0].request_votes(now);
        for n in 1..fleet.len() {
            if let Some(reply) = fleet[n].handle_message(now, &"n0".into(), message) {
                let name = fleet[n].name.clone();
                fleet[0].handle_message(now, &name, reply);
            }
        }
    }

    /// Requests a grant from the first instance and delivers the answer.
    fn request_grant(fleet: &mut [Grants], now: Micros, requester: usize, demand: u64) {
        let (message, name) = (fleet[requester].request_grant(now, demand), fleet[requester].name.clone());
        if let Some(grant) = fleet[0].handle_message(now, &name, message) {
            fleet[requester].handle_message(now, &"n0".into(), grant);
        }
    }

    /// A time at which votes can be lent: later than one term after the start.
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
        // A single requester gets everything; its share shrinks at its next request once others request grants.
        request_grant(&mut fleet, FIRST_VOTE_AT, 1, 5_000);
        assert_eq!(fleet[1].allowance(FIRST_VOTE_AT), 700);
        for round in 0..4 {
            let now = FIRST_VOTE_AT + round * SECOND / 2;
            [(1, 5_000), (2, 5_000), (3, 50)]
                .into_iter()
                .for_each(|(requester, demand)| request_grant(&mut fleet, now, requester, demand));
        }
        let now = FIRST_VOTE_AT + 3 * SECOND / 2;
        // The first instance's initial grant counts until it expires, although it has requested less since.
        assert!(fleet[1..].iter().map(|f| f.granted(now)).sum::<u64>() <= 600);
        for round in 4..9 {
            let now = FIRST_VOTE_AT + round * SECOND / 2;
            [(1, 5_000), (2, 5_000), (3, 50)]
                .into_iter()
                .for_each(|(requester, demand)| request_grant(&mut fleet, now, requester, demand));
        }
        let now = FIRST_VOTE_AT + 8 * SECOND / 2;
        assert_eq!(fleet[1..].iter().map(|f| f.granted(now)).collect::<Vec<_>>(), [275, 275, 50]);
        // Without contact each instance falls back to its guaranteed share, and the coordinator's term ends.
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
        // The restarted coordinator needs new votes, and a restarted voter lends none for one term.
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
