//! How a limited number of things (descriptors, open requests, bytes) is divided among those who want them.
//!
//! Each share owns a part that nobody else can take, and may borrow from a common reserve. What one share may have
//! borrowed is at most what the reserve still has free after that, so that one which takes all it can get leaves
//! half of the reserve, two leave a third, and so on: dynamic thresholds with a factor of one (A. Choudhury, E.
//! Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998).

pub mod admission;

use std::cell::Cell;
use std::rc::Rc;

/// Part of the whole that goes to the shares as their own; the rest is the common reserve.
const OWN: f64 = 0.5;

/// What is left over for whoever needs more than its own.
#[derive(Debug, Default)]
pub struct Reserve {
    size: Cell<usize>,
    lent: Cell<usize>,
}

impl Reserve {
    /// A reserve of this size.
    pub fn new(size: usize) -> Rc<Reserve> {
        Rc::new(Reserve { size: Cell::new(size), lent: Cell::new(0) })
    }

    /// Changes its size; what is lent stays lent.
    pub fn resize(&self, size: usize) {
        self.size.set(size);
    }

    /// What is not lent.
    pub fn free(&self) -> usize {
        self.size.get().saturating_sub(self.lent.get())
    }
}

/// What one user may take.
#[derive(Debug)]
pub struct Share {
    own: Cell<usize>,
    used: Cell<usize>,
    reserve: Rc<Reserve>,
}

impl Share {
    /// A share with so much of its own beside a reserve.
    pub fn new(own: usize, reserve: &Rc<Reserve>) -> Rc<Share> {
        Rc::new(Share { own: Cell::new(own), used: Cell::new(0), reserve: reserve.clone() })
    }

    /// A share that has nobody beside it.
    pub fn standalone(own: usize) -> Rc<Share> {
        Share::new(own, &Reserve::new(0))
    }

    /// What nobody else can take.
    pub fn guaranteed(&self) -> usize {
        self.own.get()
    }

    /// What is taken.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// What it could still take if nobody else took any.
    pub fn available(&self) -> usize {
        self.own.get().saturating_sub(self.used.get()) + self.reserve.free()
    }

    /// What is taken beyond its own.
    pub fn borrowed(&self) -> usize {
        self.used.get().saturating_sub(self.own.get())
    }

    /// It has borrowed all that it may, and others find too little: what is not needed should be given back. So much
    /// is on its way back already, though still counted.
    pub fn should_release(&self, leaving: usize) -> bool {
        let borrowed = self.borrowed().saturating_sub(leaving);
        // One more would leave less free than it had borrowed.
        borrowed > 0 && borrowed + 1 >= self.reserve.free() + leaving
    }

    /// Changes its own part; what is taken stays taken.
    pub fn resize(&self, own: usize) {
        self.account(|| self.own.set(own));
    }

    /// Takes so much, given back when what is returned is dropped; nothing where there is too little.
    pub fn acquire(self: &Rc<Self>, amount: usize) -> Option<Permit> {
        let used = self.used.get().checked_add(amount)?;
        let borrowed = used.saturating_sub(self.own.get());
        let more = borrowed - self.borrowed();
        if more > 0 && self.reserve.free().checked_sub(more).is_none_or(|free| borrowed > free) {
            return None;
        }
        self.account(|| self.used.set(used));
        Some(Permit { share: self.clone(), amount })
    }

    fn account(&self, change: impl FnOnce()) {
        let before = self.borrowed();
        change();
        self.reserve.lent.set(self.reserve.lent.get() - before + self.borrowed());
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.account(|| self.used.set(0));
    }
}

/// What was taken of a share.
#[derive(Debug)]
pub struct Permit {
    share: Rc<Share>,
    amount: usize,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.share.account(|| self.share.used.set(self.share.used.get() - self.amount));
    }
}

/// Divides a whole by weights: what each share owns, and the reserve. Each owns `least` at the least; fails with
/// what would be needed where there is not that much.
pub fn divide(whole: usize, weights: &[f64], least: usize) -> Result<(Vec<usize>, usize), usize> {
    let needed = least.saturating_mul(weights.len());
    if needed > whole {
        return Err(needed);
    }
    let sum: f64 = weights.iter().sum();
    // The least first, so that rounding can't overdraw.
    let rest = (whole - needed) as f64 * OWN;
    let own: Vec<usize> =
        weights.iter().map(|w| least + (rest * w / sum.max(f64::MIN_POSITIVE)) as usize).collect();
    let reserve = whole - own.iter().sum::<usize>();
    Ok((own, reserve))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_that_takes_all_it_gets_leaves_the_others_their_own_and_half_of_the_reserve() {
        let reserve = Reserve::new(100);
        let (greedy, modest) = (Share::new(10, &reserve), Share::new(10, &reserve));
        let held: Vec<Permit> = std::iter::from_fn(|| greedy.acquire(1)).collect();
        assert_eq!((held.len(), greedy.borrowed(), reserve.free()), (60, 50, 50));
        assert!(greedy.should_release(0) && !greedy.should_release(1) && !modest.should_release(0));
        let other: Vec<Permit> = std::iter::from_fn(|| modest.acquire(1)).collect();
        assert_eq!(other.len(), 10 + 25);
        drop(held);
        assert_eq!((greedy.used(), reserve.free()), (0, 75));
        drop(other);
        assert_eq!(reserve.free(), 100);
    }

    #[test]
    fn a_share_alone_is_a_plain_limit() {
        let share = Share::standalone(3);
        let held: Vec<_> = std::iter::from_fn(|| share.acquire(1)).collect();
        assert_eq!((held.len(), share.borrowed()), (3, 0));
        assert!(share.acquire(0).is_some() && share.acquire(usize::MAX).is_none());
    }

    #[test]
    fn sizes_change_under_what_is_taken() {
        let reserve = Reserve::new(10);
        let share = Share::new(4, &reserve);
        let held = share.acquire(4);
        share.resize(1);
        assert_eq!((share.borrowed(), reserve.free()), (3, 7));
        reserve.resize(2);
        assert_eq!((reserve.free(), share.acquire(1).is_none()), (0, true));
        share.resize(9);
        assert_eq!((share.borrowed(), reserve.free()), (0, 2));
        drop(held);
        assert_eq!((share.used(), reserve.free()), (0, 2));
    }

    #[test]
    fn a_whole_is_divided_without_rest_or_overdraft() {
        assert_eq!(divide(100, &[1.0, 3.0], 0), Ok((vec![12, 37], 51)));
        assert_eq!(divide(3, &[1.0; 3], 1), Ok((vec![1; 3], 0)));
        assert_eq!(divide(2, &[1.0; 3], 1), Err(3));
        assert_eq!(divide(100, &[0.0], 1), Ok((vec![1], 99)));
    }

    #[test]
    fn the_accounts_agree_whatever_happens() {
        let seed = fastrand::u64(..);
        println!("seed {seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..200 {
            let reserve = Reserve::new(rng.usize(0..50));
            let shares: Vec<_> = (0..4).map(|_| Share::new(rng.usize(0..20), &reserve)).collect();
            let mut held = Vec::new();
            for _ in 0..200 {
                let at = rng.usize(0..4);
                match rng.usize(0..8) {
                    0 => shares[at].resize(rng.usize(0..20)),
                    1 => reserve.resize(rng.usize(0..50)),
                    2 | 3 if !held.is_empty() => drop(held.swap_remove(rng.usize(0..held.len()))),
                    _ => held.extend(shares[at].acquire(rng.usize(0..5)).map(|t| (at, t))),
                }
                for (at, share) in shares.iter().enumerate() {
                    assert_eq!(
                        share.used(),
                        held.iter().filter(|(a, _)| *a == at).map(|(_, t)| t.amount).sum()
                    );
                }
                assert_eq!(reserve.lent.get(), shares.iter().map(|s| s.borrowed()).sum());
            }
            drop((held, shares));
            assert_eq!(reserve.lent.get(), 0);
        }
    }
}
