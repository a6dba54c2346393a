//! Rendezvous hashing: everybody picks the same few of many, by who asks.

use std::hash::Hasher;

/// FNV-1a, the same in every build.
pub(crate) struct Fnv(u64);

impl Default for Fnv {
    fn default() -> Fnv {
        Fnv(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv {
    fn finish(&self) -> u64 {
        // Mixed once more: names that differ in their last letter only would stay near each other.
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

/// The weight of a candidate for one that picks.
pub fn weight(me: &str, candidate: &str) -> u64 {
    let mut hasher = Fnv::default();
    hasher.write(me.as_bytes());
    hasher.write_u8(0);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}

/// The `count` candidates of most weight, heaviest first. Few picks change when a candidate comes or goes.
pub fn top_candidates<'a>(me: &str, candidates: impl Iterator<Item = &'a str>, count: usize) -> Vec<&'a str> {
    let mut weighed: Vec<(u64, &str)> = candidates.filter(|c| *c != me).map(|c| (weight(me, c), c)).collect();
    weighed.sort_unstable_by(|a, b| b.cmp(a));
    weighed.dedup();
    weighed.into_iter().take(count).map(|(_, c)| c).collect()
}
