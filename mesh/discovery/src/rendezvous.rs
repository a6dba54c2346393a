//! Rendezvous hashing: selects the same few candidates for a given chooser in every process.

use std::hash::Hasher;

/// FNV-1a hasher with a final mixing step; gives the same hashes in every build.
pub(crate) struct FnvHasher(u64);

impl Default for FnvHasher {
    fn default() -> FnvHasher {
        FnvHasher(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for FnvHasher {
    fn finish(&self) -> u64 {
        // Without this mixing step, names that differ only in their last character would get similar hashes.
        let mut x = self.0;
        x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        x ^ (x >> 33)
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Weight of a candidate for a chooser, uniform over all `u64` values.
pub fn weight(chooser: &str, candidate: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    hasher.write(chooser.as_bytes());
    hasher.write_u8(0);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}

/// The `count` candidates with the greatest weight for the chooser, greatest first, without the chooser itself. When a
/// candidate is added or removed, few choosers select other candidates.
pub fn top_candidates<'a>(
    chooser: &str,
    candidates: impl Iterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> =
        candidates.filter(|c| *c != chooser).map(|c| (weight(chooser, c), c)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.dedup();
    weighted.into_iter().take(count).map(|(_, c)| c).collect()
}
