//! Facts about upstream nodes that instances observe and share. Merging is commutative and idempotent: of two facts
//! about one node the one with the later revision wins, and at the same revision the safer one.
//!
//! **Drains.** Instances receive the updates of a discovery source at different times. A drain that one instance
//! received is obeyed by every instance that learns of it, until that instance's own source has reached the same
//! revision; from then on its own source decides. A late or repeated fact can therefore keep a node out only where the
//! node's current state is not known yet; no fact ever puts a node back *in*. This upholds rule 3. The cost is that a
//! node stays out for as long as an instance's source is behind.
//!
//! Revisions come from one source that all instances share (a registry). A pool with a static node list has no
//! revisions, and no facts are shared about it.

use std::collections::VecDeque;

use imbl::HashMap;

use crate::message::{Fact, Name, Observation, encoded_size};

/// Maximum number of stored facts. Bounds the memory if a source produces node names without end.
pub const MAX_FACTS: usize = 16_384;

/// The facts that an instance knows, by pool and node. Cloning is cheap because the map is shared.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FactStore {
    /// Latest observation by pool and node name.
    observations: HashMap<(Name, Name), Observation>,
}

impl FactStore {
    /// Merges a fact and returns whether that changed the store.
    pub fn merge(&mut self, fact: &Fact) -> bool {
        let key = (fact.pool.clone(), fact.node.clone());
        let merged = match self.observations.get(&key) {
            Some(before) => merge_observations(*before, fact.seen),
            None if self.observations.len() >= MAX_FACTS => return false,
            None => fact.seen,
        };
        self.observations.insert(key, merged) != Some(merged)
    }

    /// Merges all facts of another store.
    pub fn merge_all(&mut self, other: &FactStore) {
        for ((pool, node), seen) in &other.observations {
            self.merge(&Fact { pool: pool.clone(), node: node.clone(), seen: *seen });
        }
    }

    /// Returns whether a node must get no new requests because another instance observed its drain at a later revision
    /// than `revision`, which this instance's own source has reached.
    pub fn is_draining(&self, pool: &Name, node: &Name, revision: u64) -> bool {
        match self.observations.get(&(pool.clone(), node.clone())) {
            Some(Observation::Drain { revision: observed, drains }) => *drains && *observed > revision,
            None => false,
        }
    }

    /// Returns the nodes of a pool for which [`is_draining`](FactStore::is_draining) holds at `revision`.
    pub fn draining_nodes(&self, pool: &Name, revision: u64) -> Vec<Name> {
        let node_in_pool =
            |((node_pool, node), _): (&(Name, Name), &Observation)| (node_pool == pool).then(|| node.clone());
        self.observations
            .iter()
            .filter_map(node_in_pool)
            .filter(|node| self.is_draining(pool, node, revision))
            .collect()
    }

    /// Returns as many facts as fit into `bytes`, from a random starting position.
    pub fn sample(&self, rng: &mut fastrand::Rng, mut bytes: usize) -> Vec<Fact> {
        let start = if self.observations.is_empty() { 0 } else { rng.usize(..self.observations.len()) };
        let all = self.observations.iter().skip(start).chain(self.observations.iter().take(start));
        let mut sample = Vec::new();
        for ((pool, node), seen) in all {
            let fact = Fact { pool: pool.clone(), node: node.clone(), seen: *seen };
            let Some(left) = bytes.checked_sub(encoded_size(&fact)) else { break };
            bytes = left;
            sample.push(fact);
        }
        sample
    }

    /// Forgets the facts of a pool up to `revision`. Call it only when no instance's source can still be behind that
    /// revision.
    pub fn forget_through(&mut self, pool: &Name, revision: u64) {
        self.observations.retain(|(node_pool, _), Observation::Drain { revision: observed, .. }| {
            node_pool != pool || *observed > revision
        });
    }

    /// Returns the number of stored facts.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Returns whether no fact is stored.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}

/// Merges two observations of one node: the later revision wins, and a drain wins at equal revisions.
fn merge_observations(a: Observation, b: Observation) -> Observation {
    let Observation::Drain { revision: revision_a, drains: drains_a } = a;
    let Observation::Drain { revision: revision_b, drains: drains_b } = b;
    match revision_a.cmp(&revision_b) {
        std::cmp::Ordering::Less => b,
        std::cmp::Ordering::Greater => a,
        // One source cannot report both at one revision. If it appears to, draining is the safer choice.
        std::cmp::Ordering::Equal => {
            Observation::Drain { revision: revision_a, drains: drains_a || drains_b }
        }
    }
}

/// Queue of items to piggyback on messages, each for a limited number of transmissions.
#[derive(Clone, Debug)]
pub struct GossipQueue<T> {
    /// Items with the number of transmissions left, next one first.
    queue: VecDeque<(T, u32)>,
}

impl<T> Default for GossipQueue<T> {
    fn default() -> GossipQueue<T> {
        GossipQueue { queue: VecDeque::new() }
    }
}

impl<T: Clone + serde::Serialize> GossipQueue<T> {
    /// Queues an item for `times` transmissions and drops the queued items that it supersedes.
    pub fn push(&mut self, item: T, times: u32, supersedes: impl Fn(&T) -> bool) {
        self.queue.retain(|(before, _)| !supersedes(before));
        self.queue.push_front((item, times));
    }

    /// Takes items for one message, up to `bytes` in total, beginning with the least transmitted.
    pub fn take(&mut self, mut bytes: usize) -> Vec<T> {
        let mut taken = Vec::new();
        for _ in 0..self.queue.len() {
            let Some((item, remaining)) = self.queue.pop_front() else { break };
            let needed = encoded_size(&item);
            if needed > bytes {
                self.queue.push_front((item, remaining));
                break;
            }
            bytes -= needed;
            taken.push(item.clone());
            if remaining > 1 {
                self.queue.push_back((item, remaining - 1));
            }
        }
        taken
    }

    /// Returns the number of items still to be sent.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no item is left to send.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn merging_is_commutative_and_idempotent() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..500 {
            let facts: Vec<Fact> = (0..rng.usize(1..12))
                .map(|_| Fact {
                    pool: ["p", "q"][rng.usize(0..2)].into(),
                    node: ["a", "b"][rng.usize(0..2)].into(),
                    seen: Observation::Drain { revision: rng.u64(0..4), drains: rng.bool() },
                })
                .collect();
            let all = |facts: &[Fact]| {
                let mut known = FactStore::default();
                facts.iter().for_each(|fact| _ = known.merge(fact));
                known
            };
            let expected = all(&facts);
            let mut other = facts.clone();
            rng.shuffle(&mut other);
            other.extend(facts.iter().take(3).cloned());
            assert_eq!(all(&other), expected, "in another order, with repeats");
            // The facts are split into two stores, and each is merged into the other.
            let (a, b) = facts.split_at(rng.usize(0..=facts.len()));
            let (mut one, mut two) = (all(a), all(b));
            let copy = one.clone();
            one.merge_all(&two);
            two.merge_all(&copy);
            assert!(one == expected && two == expected);
            assert!(facts.iter().all(|fact| !one.merge(fact)), "merging again changes nothing");
        }
    }

    #[test]
    fn a_drain_applies_only_while_the_own_source_is_older() {
        let (pool, node): (Name, Name) = ("p".into(), "n".into());
        let drain_fact = |revision, drains| Fact {
            pool: pool.clone(),
            node: node.clone(),
            seen: Observation::Drain { revision, drains },
        };
        let mut known = FactStore::default();
        assert!(known.merge(&drain_fact(7, true)));
        // Another instance observed a drain at revision 7; it applies where the own source has not reached 7.
        assert_eq!([5, 6, 7, 8].map(|own| known.is_draining(&pool, &node, own)), [true, true, false, false]);
        // The drain ends at 8 and starts again at 9; the facts arrive in the wrong order.
        for (revision, drains) in [(9, true), (8, false), (7, true)] {
            known.merge(&drain_fact(revision, drains));
        }
        assert_eq!([6, 8, 9].map(|own| known.is_draining(&pool, &node, own)), [true, true, false]);
        assert_eq!(known.draining_nodes(&pool, 8), std::slice::from_ref(&node));
        known.merge(&drain_fact(10, false));
        assert!(!known.is_draining(&pool, &node, 0) && known.draining_nodes(&pool, 0).is_empty());
        known.forget_through(&pool, 10);
        assert!(known.is_empty());
        // The store stops growing at its maximum when node names never repeat.
        for n in 0..2 * MAX_FACTS {
            known.merge(&Fact { node: n.to_string().into(), ..drain_fact(1, true) });
        }
        assert_eq!(known.len(), MAX_FACTS);
    }

    #[test]
    fn the_gossip_queue_sends_the_newest_first_and_each_item_the_given_times() {
        let mut queue: GossipQueue<u64> = GossipQueue::default();
        for n in 0..5 {
            queue.push(n, 3, |_| false);
        }
        queue.push(4, 2, |old| *old == 4);
        let mut sent = [0; 5];
        assert_eq!(queue.take(2), [4, 3]);
        sent[4] += 1;
        sent[3] += 1;
        while !queue.is_empty() {
            queue.take(2).into_iter().for_each(|n| sent[n as usize] += 1);
        }
        assert_eq!(sent, [3, 3, 3, 3, 2]);
    }
}
