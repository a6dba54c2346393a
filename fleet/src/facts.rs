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

use crate::message::{Fact, Name, Seen, size};

/// Most facts. Guards the memory against a source that names nodes without end.
pub const MOST: usize = 16_384;

/// All that is known. To copy it costs nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    seen: HashMap<(Name, Name), Seen>,
}

impl Known {
    /// Takes a word; whether anything is different now.
    pub fn merge(&mut self, fact: &Fact) -> bool {
        let key = (fact.pool.clone(), fact.node.clone());
        let after = match self.seen.get(&key) {
            Some(before) => later(*before, fact.seen),
            None if self.seen.len() >= MOST => return false,
            None => fact.seen,
        };
        self.seen.insert(key, after) != Some(after)
    }

    /// Takes all of another's.
    pub fn merge_all(&mut self, other: &Known) {
        for ((pool, node), seen) in &other.seen {
            self.merge(&Fact { pool: pool.clone(), node: node.clone(), seen: *seen });
        }
    }

    /// Whether a node must get nothing new, though this instance's source, which has come to a revision, says nothing of it.
    pub fn drains(&self, pool: &Name, node: &Name, revision: u64) -> bool {
        match self.seen.get(&(pool.clone(), node.clone())) {
            Some(Seen::Drain { revision: told, drains }) => *drains && *told > revision,
            None => false,
        }
    }

    /// The nodes of a pool that must get nothing new, for a source that has come to a revision.
    pub fn draining(&self, pool: &Name, revision: u64) -> Vec<Name> {
        let of = |((of, node), _): (&(Name, Name), &Seen)| (of == pool).then(|| node.clone());
        self.seen.iter().filter_map(of).filter(|node| self.drains(pool, node, revision)).collect()
    }

    /// As much of it as goes into so many bytes, beginning at random.
    pub fn some(&self, rng: &mut fastrand::Rng, mut bytes: usize) -> Vec<Fact> {
        let start = if self.seen.is_empty() { 0 } else { rng.usize(..self.seen.len()) };
        let all = self.seen.iter().skip(start).chain(self.seen.iter().take(start));
        let mut some = Vec::new();
        for ((pool, node), seen) in all {
            let fact = Fact { pool: pool.clone(), node: node.clone(), seen: *seen };
            let Some(left) = bytes.checked_sub(size(&fact)) else { break };
            bytes = left;
            some.push(fact);
        }
        some
    }

    /// Forgets what a source has come past so far that nobody can be behind it any more.
    pub fn settle(&mut self, pool: &Name, revision: u64) {
        self.seen.retain(|(of, _), Seen::Drain { revision: told, .. }| of != pool || *told > revision);
    }

    /// How much is known.
    pub fn len(&self) -> usize {
        self.seen.len()
    }

    /// Nothing is known.
    pub fn is_empty(&self) -> bool {
        self.seen.is_empty()
    }
}

fn later(a: Seen, b: Seen) -> Seen {
    let Seen::Drain { revision: x, drains: of_x } = a;
    let Seen::Drain { revision: y, drains: of_y } = b;
    match x.cmp(&y) {
        std::cmp::Ordering::Less => b,
        std::cmp::Ordering::Greater => a,
        // One source can't say both; where it seems to, the node is left alone.
        std::cmp::Ordering::Equal => Seen::Drain { revision: x, drains: of_x || of_y },
    }
}

/// News that go out beside messages, each so many times.
#[derive(Clone, Debug)]
pub struct News<T> {
    queue: VecDeque<(T, u32)>,
}

impl<T> Default for News<T> {
    fn default() -> News<T> {
        News { queue: VecDeque::new() }
    }
}

impl<T: Clone + serde::Serialize> News<T> {
    /// Says something so many times; what it makes old is said no more.
    pub fn say(&mut self, news: T, times: u32, makes_old: impl Fn(&T) -> bool) {
        self.queue.retain(|(before, _)| !makes_old(before));
        self.queue.push_front((news, times));
    }

    /// What goes out now, in so many bytes: what has been said least first.
    pub fn take(&mut self, mut bytes: usize) -> Vec<T> {
        let mut taken = Vec::new();
        for _ in 0..self.queue.len() {
            let Some((news, left)) = self.queue.pop_front() else { break };
            let needs = size(&news);
            if needs > bytes {
                self.queue.push_front((news, left));
                break;
            }
            bytes -= needs;
            taken.push(news.clone());
            if left > 1 {
                self.queue.push_back((news, left - 1));
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
    fn words_in_any_order_and_again_come_to_the_same() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..500 {
            let words: Vec<Fact> = (0..rng.usize(1..12))
                .map(|_| Fact {
                    pool: ["p", "q"][rng.usize(0..2)].into(),
                    node: ["a", "b"][rng.usize(0..2)].into(),
                    seen: Seen::Drain { revision: rng.u64(0..4), drains: rng.bool() },
                })
                .collect();
            let all = |words: &[Fact]| {
                let mut known = Known::default();
                words.iter().for_each(|word| _ = known.merge(word));
                known
            };
            let expected = all(&words);
            let mut other = words.clone();
            rng.shuffle(&mut other);
            other.extend(words.iter().take(3).cloned());
            assert_eq!(all(&other), expected, "in another order, some again");
            // In two halves, each merged into the other.
            let (a, b) = words.split_at(rng.usize(0..=words.len()));
            let (mut one, mut two) = (all(a), all(b));
            let copy = one.clone();
            one.merge_all(&two);
            two.merge_all(&copy);
            assert!(one == expected && two == expected);
            assert!(words.iter().all(|word| !one.merge(word)), "nothing is new any more");
        }
    }

    #[test]
    fn a_drain_holds_where_the_own_source_is_behind_and_nowhere_else() {
        let (pool, node): (Name, Name) = ("p".into(), "n".into());
        let word = |revision, drains| Fact {
            pool: pool.clone(),
            node: node.clone(),
            seen: Seen::Drain { revision, drains },
        };
        let mut known = Known::default();
        assert!(known.merge(&word(7, true)));
        // Drained at 7, by the word of others: nothing here has come so far but the last.
        assert_eq!([5, 6, 7, 8].map(|own| known.drains(&pool, &node, own)), [true, true, false, false]);
        // Back at 8, out again at 9, all within one period of a list; the words come in the wrong order.
        for (revision, drains) in [(9, true), (8, false), (7, true)] {
            known.merge(&word(revision, drains));
        }
        assert_eq!([6, 8, 9].map(|own| known.drains(&pool, &node, own)), [true, true, false]);
        assert_eq!(known.draining(&pool, 8), std::slice::from_ref(&node));
        known.merge(&word(10, false));
        assert!(!known.drains(&pool, &node, 0) && known.draining(&pool, 0).is_empty());
        known.settle(&pool, 10);
        assert!(known.is_empty());
        // Names without end.
        for n in 0..2 * MOST {
            known.merge(&Fact { node: n.to_string().into(), ..word(1, true) });
        }
        assert_eq!(known.len(), MOST);
    }

    #[test]
    fn news_go_out_as_often_as_they_are_to_and_the_newest_first() {
        let mut news: News<u64> = News::default();
        for n in 0..5 {
            news.say(n, 3, |_| false);
        }
        news.say(4, 2, |old| *old == 4);
        let mut said = [0; 5];
        assert_eq!(news.take(2), [4, 3]);
        said[4] += 1;
        said[3] += 1;
        while !news.is_empty() {
            news.take(2).into_iter().for_each(|n| said[n as usize] += 1);
        }
        assert_eq!(said, [3, 3, 3, 3, 2]);
    }
}
