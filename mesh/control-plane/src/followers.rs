//! The balancers that pull from this machine, and the configuration version of each. Only shown in the status for operators;
//! no decision depends on it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use sloeline_discovery::Pull;
use tokio::time::Instant;

/// Maximum number of balancers in the list.
const MAX_FOLLOWERS: usize = 4096;
/// A balancer whose last pull is older than this follows another machine or has stopped.
const FOLLOWER_TIMEOUT: Duration = Duration::from_secs(15);

/// A balancer that has pulled from this machine.
struct Follower {
    /// Version of the balancer's configuration; `None` if it has none.
    edition: Option<u32>,
    /// Time of the last pull.
    pulled_at: Instant,
}

/// The balancers that have pulled from this machine recently, by name.
#[derive(Default)]
pub struct Followers {
    /// The balancers by name, including some whose last pull is not recent.
    by_name: RefCell<BTreeMap<String, Follower>>,
}

impl Followers {
    /// Records a pull. If the list is full, a new balancer is added only once another has timed out.
    pub fn record_pull(&self, pull: &Pull) {
        let mut by_name = self.by_name.borrow_mut();
        if by_name.len() >= MAX_FOLLOWERS {
            by_name.retain(|_, follower| follower.pulled_at.elapsed() < FOLLOWER_TIMEOUT);
        }
        if by_name.len() < MAX_FOLLOWERS || by_name.contains_key(&pull.source) {
            let follower = Follower { edition: pull.config_version, pulled_at: Instant::now() };
            by_name.insert(pull.source.clone(), follower);
        }
    }

    /// Returns the names of the balancers that have pulled recently, with the version of their configurations.
    pub fn recent(&self) -> Vec<(String, Option<u32>)> {
        let by_name = self.by_name.borrow();
        let recent = by_name.iter().filter(|(_, follower)| follower.pulled_at.elapsed() < FOLLOWER_TIMEOUT);
        recent.map(|(name, follower)| (name.clone(), follower.edition)).collect()
    }
}
