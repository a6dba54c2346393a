//! Which balancers pull from this machine, and which configuration each has: for operators. It decides nothing.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use sloeline_discovery::Pull;
use tokio::time::Instant;

/// Most balancers that are remembered.
const MOST: usize = 4096;
/// One that has not pulled for so long follows another machine, or is gone.
const LATELY: Duration = Duration::from_secs(15);

struct Follower {
    edition: Option<u32>,
    pulled_at: Instant,
}

/// Those that have pulled lately.
#[derive(Default)]
pub struct Followers {
    by_name: RefCell<BTreeMap<String, Follower>>,
}

impl Followers {
    /// A pull came.
    pub fn pulled(&self, pull: &Pull) {
        let mut by_name = self.by_name.borrow_mut();
        if by_name.len() >= MOST {
            by_name.retain(|_, follower| follower.pulled_at.elapsed() < LATELY);
        }
        if by_name.len() < MOST || by_name.contains_key(&pull.source) {
            let follower = Follower { edition: pull.config_version, pulled_at: Instant::now() };
            by_name.insert(pull.source.clone(), follower);
        }
    }

    /// Their names, with the version of the configuration that each has.
    pub fn lately(&self) -> Vec<(String, Option<u32>)> {
        let by_name = self.by_name.borrow();
        let lately = by_name.iter().filter(|(_, follower)| follower.pulled_at.elapsed() < LATELY);
        lately.map(|(name, follower)| (name.clone(), follower.edition)).collect()
    }
}
