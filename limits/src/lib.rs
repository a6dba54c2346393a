//! Divides a limited resource (file descriptors, open requests, bytes of memory) among several users.
//!
//! Each share has a guaranteed part that no other share can use, and may borrow from a common reserve. A share may
//! borrow at most as much as the reserve has free afterwards. A single greedy share therefore leaves half of the
//! reserve free, two leave a third, and so on. This is the dynamic threshold scheme with a factor of one (A.
//! Choudhury, E. Hahne, "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches", 1998).

pub mod admission;

use std::cell::Cell;
use std::rc::Rc;

/// Fraction of the total that is guaranteed to the shares; the rest is the common reserve.
const GUARANTEED_FRACTION: f64 = 0.5;

/// The common reserve from which shares borrow beyond their guaranteed part.
#[derive(Debug, Default)]
pub struct Reserve {
    /// Units in the reserve, lent or free.
    size: Cell<usize>,
    /// Units that shares have borrowed.
    lent: Cell<usize>,
}

impl Reserve {
    /// Creates a reserve of `size` units.
    pub fn new(size: usize) -> Rc<Reserve> {
        Rc::new(Reserve { size: Cell::new(size), lent: Cell::new(0) })
    }

    /// Changes the size of the reserve. Units already lent stay lent, even if they exceed the new size.
    pub fn resize(&self, size: usize) {
        self.size.set(size);
    }

    /// Units of the reserve that are not lent.
    pub fn free(&self) -> usize {
        self.size.get().saturating_sub(self.lent.get())
    }
}

/// The part of a resource that one user may allocate: a guaranteed part, and what it borrows from the reserve.
#[derive(Debug)]
pub struct Share {
    /// Units that no other share can use.
    guaranteed: Cell<usize>,
    /// Units allocated now.
    used: Cell<usize>,
    /// The reserve that this share borrows from.
    reserve: Rc<Reserve>,
}

impl Share {
    /// Creates a share with `guaranteed` units that may borrow from `reserve`.
    pub fn new(guaranteed: usize, reserve: &Rc<Reserve>) -> Rc<Share> {
        Rc::new(Share { guaranteed: Cell::new(guaranteed), used: Cell::new(0), reserve: reserve.clone() })
    }

    /// Creates a share without a reserve: a plain limit of `guaranteed` units.
    pub fn standalone(guaranteed: usize) -> Rc<Share> {
        Share::new(guaranteed, &Reserve::new(0))
    }

    /// Units that no other share can use.
    pub fn guaranteed(&self) -> usize {
        self.guaranteed.get()
    }

    /// Units allocated now, guaranteed and borrowed.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Units that are unused in the guaranteed part and free in the reserve. The borrowing rule may allow fewer.
    pub fn available(&self) -> usize {
        self.guaranteed.get().saturating_sub(self.used.get()) + self.reserve.free()
    }

    /// Units borrowed from the reserve: what is used beyond the guaranteed part.
    pub fn borrowed(&self) -> usize {
        self.used.get().saturating_sub(self.guaranteed.get())
    }

    /// Whether the share has borrowed as much as it may, so that its user should release idle units to leave room for
    /// other shares. `releasing` units are being released already but still count as used.
    pub fn should_release(&self, releasing: usize) -> bool {
        let borrowed = self.borrowed().saturating_sub(releasing);
        // Borrowing one more unit would leave less free than this share has borrowed.
        borrowed > 0 && borrowed + 1 >= self.reserve.free() + releasing
    }

    /// Changes the guaranteed part. Units in use stay in use; those beyond the new part count as borrowed.
    pub fn resize(&self, guaranteed: usize) {
        self.account(|| self.guaranteed.set(guaranteed));
    }

    /// Allocates `amount` units, which are released when the permit is dropped. Returns `None` if the share may not
    /// have that many more.
    pub fn acquire(self: &Rc<Self>, amount: usize) -> Option<Permit> {
        let used = self.used.get().checked_add(amount)?;
        let borrowed = used.saturating_sub(self.guaranteed.get());
        let more = borrowed - self.borrowed();
        if more > 0 && self.reserve.free().checked_sub(more).is_none_or(|free| borrowed > free) {
            return None;
        }
        self.account(|| self.used.set(used));
        Some(Permit { share: self.clone(), amount })
    }

    /// Applies a change to the share and updates the number of units lent by the reserve.
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

/// Units allocated from a share, released on drop.
#[derive(Debug)]
pub struct Permit {
    /// The share that the units belong to.
    share: Rc<Share>,
    /// Number of units.
    amount: usize,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.share.account(|| self.share.used.set(self.share.used.get() - self.amount));
    }
}

/// Divides `total` units by weights. Returns the guaranteed part of each share, at least `min` units each, and the
/// size of the reserve. If `total` is too small for the minimum parts, the error is the number of units they need.
pub fn divide(total: usize, weights: &[f64], min: usize) -> Result<(Vec<usize>, usize), usize> {
    let needed = min.saturating_mul(weights.len());
    if needed > total {
        return Err(needed);
    }
    let sum: f64 = weights.iter().sum();
    // The minimum parts are subtracted first, so that rounding cannot exceed the total.
    let rest = (total - needed) as f64 * GUARANTEED_FRACTION;
    let guaranteed: Vec<usize> =
        weights.iter().map(|w| min + (rest * w / sum.max(f64::MIN_POSITIVE)) as usize).collect();
    let reserve = total - guaranteed.iter().sum::<usize>();
    Ok((guaranteed, reserve))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_greedy_share_leaves_half_of_the_reserve_and_the_guaranteed_parts() {
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
    fn a_standalone_share_is_a_plain_limit() {
        let share = Share::standalone(3);
        let held: Vec<_> = std::iter::from_fn(|| share.acquire(1)).collect();
        assert_eq!((held.len(), share.borrowed()), (3, 0));
        assert!(share.acquire(0).is_some() && share.acquire(usize::MAX).is_none());
    }

    #[test]
    fn resizing_keeps_units_in_use_allocated() {
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
    fn division_uses_the_whole_total_and_never_exceeds_it() {
        assert_eq!(divide(100, &[1.0, 3.0], 0), Ok((vec![12, 37], 51)));
        assert_eq!(divide(3, &[1.0; 3], 1), Ok((vec![1; 3], 0)));
        assert_eq!(divide(2, &[1.0; 3], 1), Err(3));
        assert_eq!(divide(100, &[0.0], 1), Ok((vec![1], 99)));
    }

    #[test]
    fn counts_stay_consistent_over_random_operations() {
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
