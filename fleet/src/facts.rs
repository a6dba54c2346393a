//! What instances have seen and all should know. Merged in any order, any number of times, it comes to the same: of two
//! words on one node the one of the later revision counts, and of one revision the one that is safer to believe.
//!
//! **Drains.** Sources are heard late, by some later than by others. A drain that one instance's source has told is obeyed
//! by all that hear of it, for as long as their own source has not come as far; from then on their own source's word counts,
//! whatever it is. So a word that is late, or comes again, keeps a node out only where that node's present state isn't known;
//! nothing that is said here ever puts a node *in*. Guards rule 3; what it costs is a node that is out for as long as an
//! instance's source is behind.
//!
//! Revisions are those of one source for all instances (a registry's); a pool whose list is written by hand has none, and
//! nothing is said of it.

use std::collections::VecDeque;

use imbl::HashMap;

use crate::message::{Fact, Name, Observation, encoded_size};

/// Most facts. Guards the memory against a source that names nodes without end.
pub const MAX_FACTS: usize = 16_384;

/// All that is known. To copy it costs nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FactStore {
    observations: HashMap<(Name, Name), Observation>,
}

impl FactStore {
    /// Takes a word; whether anything is different now.
    pub fn merge(&mut self, fact: &Fact) -> bool {
        let key = (fact.pool.clone(), fact.node.clone());
        let after = match self.observations.get(&key) {
            Some(before) => merge_observations(*before, fact.seen),
            None if self.observations.len() >= MAX_FACTS => return false,
            None => fact.seen,
        };
        self.observations.insert(key, after) != Some(after)
    }

    /// Takes all of another's.
    pub fn merge_all(&mut self, other: &FactStore) {
        for ((pool, node), seen) in &other.observations {
            self.merge(&Fact { pool: pool.clone(), node: node.clone(), seen: *seen });
        }
    }

    /// Whether a node must get nothing new, though this instance's source, which has come to a revision, says nothing of it.
    pub fn is_draining(&self, pool: &Name, node: &Name, revision: u64) -> bool {
        match self.observations.get(&(pool.clone(), node.clone())) {
            Some(Observation::Drain { revision: observed, drains }) => *drains && *observed > revision,
            None => false,
        }
    }

    /// The nodes of a pool that must get nothing new, for a source that has come to a revision.
    pub fn draining_nodes(&self, pool: &Name, revision: u64) -> Vec<Name> {
        let node_in_pool =
            |((of, node), _): (&(Name, Name), &Observation)| (of == pool).then(|| node.clone());
        self.observations
            .iter()
            .filter_map(node_in_pool)
            .filter(|node| self.is_draining(pool, node, revision))
            .collect()
    }

    /// As much of it as goes into so many bytes, beginning at random.
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

    /// Forgets what a source has come past so far that nobody can be behind it any more.
    pub fn forget_through(&mut self, pool: &Name, revision: u64) {
        self.observations.retain(|(of, _), Observation::Drain { revision: observed, .. }| {
            of != pool || *observed > revision
        });
    }

    /// How much is known.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Nothing is known.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}

fn merge_observations(a: Observation, b: Observation) -> Observation {
    let Observation::Drain { revision: revision_a, drains: drains_a } = a;
    let Observation::Drain { revision: revision_b, drains: drains_b } = b;
    match revision_a.cmp(&revision_b) {
        std::cmp::Ordering::Less => b,
        std::cmp::Ordering::Greater => a,
        // One source can't say both; where it seems to, the node is left alone.
        std::cmp::Ordering::Equal => {
            Observation::Drain { revision: revision_a, drains: drains_a || drains_b }
        }
    }
}

/// News that go out beside messages, each so many times.
#[derive(Clone, Debug)]
pub struct GossipQueue<T> {
    queue: VecDeque<(T, u32)>,
}

impl<T> Default for GossipQueue<T> {
    fn default() -> GossipQueue<T> {
        GossipQueue { queue: VecDeque::new() }
    }
}

impl<T: Clone + serde::Serialize> GossipQueue<T> {
    /// Says something so many times; what it makes old is said no more.
    pub fn push(&mut self, item: T, times: u32, supersedes: impl Fn(&T) -> bool) {
        self.queue.retain(|(before, _)| !supersedes(before));
        self.queue.push_front((item, times));
    }

    /// What goes out now, in so many bytes: what has been said least first.
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

    /// How much is still to be said.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Nothing is.
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
            assert_eq!(all(&other), expected, "in another order, some again");
            // In two halves, each merged into the other.
            let (a, b) = facts.split_at(rng.usize(0..=facts.len()));
            let (mut one, mut two) = (all(a), all(b));
            let copy = one.clone();
            one.merge_all(&two);
            two.merge_all(&copy);
            assert!(one == expected && two == expected);
            assert!(facts.iter().all(|fact| !one.merge(fact)), "nothing is new any more");
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
        // Drained at 7, by the word of others: nothing here has come so far but the last.
        assert_eq!([5, 6, 7, 8].map(|own| known.is_draining(&pool, &node, own)), [true, true, false, false]);
        // Back at 8, out again at 9, all within one period of a list; the words come in the wrong order.
        for (revision, drains) in [(9, true), (8, false), (7, true)] {
            known.merge(&drain_fact(revision, drains));
        }
        assert_eq!([6, 8, 9].map(|own| known.is_draining(&pool, &node, own)), [true, true, false]);
        assert_eq!(known.draining_nodes(&pool, 8), std::slice::from_ref(&node));
        known.merge(&drain_fact(10, false));
        assert!(!known.is_draining(&pool, &node, 0) && known.draining_nodes(&pool, 0).is_empty());
        known.forget_through(&pool, 10);
        assert!(known.is_empty());
        // Names without end.
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
