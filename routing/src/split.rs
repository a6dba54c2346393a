//! Distributes requests between pools by weight, identically at every instance.
//!
//! Weighted rendezvous hashing: each pool gets a score computed from the key and the pool's name, and the highest
//! score wins. Two instances with the same configuration agree on every key, and raising a pool's weight only moves
//! keys to that pool (C. Schindelhauer, G. Schomaker, "Weighted Distributed Hash Tables", 2005, logarithmic method).

/// The required sum of the weights of a split, in percent.
pub const TOTAL_WEIGHT: u32 = 100;

/// A weighted choice between pools or other named targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    /// Hash of the name and weight of each target, in the order in which the targets were given.
    targets: Vec<(u64, f64)>,
}

impl Split {
    /// Creates a split between named targets. A target of weight 0 is never chosen; at least one weight must be
    /// positive.
    pub fn new<'a>(targets: impl IntoIterator<Item = (&'a str, u32)>) -> Split {
        Split {
            targets: targets
                .into_iter()
                .map(|(name, weight)| (hash(name.as_bytes()), f64::from(weight)))
                .collect(),
        }
    }

    /// Chooses the target for a key. Returns its index in the list given to [`new`](Split::new).
    pub fn choose(&self, key: u64) -> usize {
        let score = |&(target, weight): &(u64, f64)| {
            if weight <= 0.0 {
                return f64::NEG_INFINITY;
            }
            // Uniform in the open interval (0, 1): the logarithm is finite and not zero.
            let uniform = ((mix(key ^ target) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            weight / -uniform.ln()
        };
        let best = self.targets.iter().map(score).enumerate().max_by(|a, b| a.1.total_cmp(&b.1));
        best.map_or(0, |(at, _)| at)
    }
}

/// Hashes bytes with FNV-1a and the splitmix64 finalizer. The result must stay the same across instances and
/// versions, or instances would disagree on the target of a key.
pub fn hash(bytes: &[u8]) -> u64 {
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

/// The finalizer of splitmix64, which gives similar keys unrelated hashes.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Number of keys that the tests distribute.
    const KEYS: u64 = 20_000;

    /// The chosen target of each key.
    fn choices(split: &Split) -> Vec<usize> {
        (0..KEYS).map(|k| split.choose(hash(format!("client-{k}").as_bytes()))).collect()
    }

    #[test]
    fn targets_get_keys_in_proportion_to_their_weights() {
        let chosen = choices(&Split::new([("a", 90), ("b", 10), ("c", 0)]));
        let part = |target| chosen.iter().filter(|&&c| c == target).count() as f64 / KEYS as f64;
        assert!((part(0) - 0.9).abs() < 0.01 && (part(1) - 0.1).abs() < 0.01, "{} {}", part(0), part(1));
        assert_eq!(part(2), 0.0);
    }

    #[test]
    fn raising_a_weight_moves_keys_only_to_that_target() {
        let before = choices(&Split::new([("a", 90), ("b", 10)]));
        let after = choices(&Split::new([("a", 80), ("b", 20)]));
        let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count() as f64 / KEYS as f64;
        assert!(before.iter().zip(&after).all(|(b, a)| b == a || *a == 1));
        assert!((moved - 0.1).abs() < 0.01, "{moved}");
        // The order in which the targets are given does not matter.
        let reordered = choices(&Split::new([("b", 10), ("a", 90)]));
        assert!(before.iter().zip(&reordered).all(|(b, r)| *b == 1 - *r));
    }
}
