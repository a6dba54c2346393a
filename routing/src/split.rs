//! Deals requests out between pools by weight, the same way at every instance.
//!
//! Weighted rendezvous hashing: each pool draws a score from the key and its own name, and the highest wins. Two
//! instances with the same configuration agree on every key, and a change of weights moves only the keys that the
//! grown share gains (C. Schindelhauer, G. Schomaker, "Weighted Distributed Hash Tables", 2005, logarithmic
//! method).

/// What the weights of a split add up to.
pub const TOTAL_WEIGHT: u32 = 100;

/// A weighted choice between numbered sides.
#[derive(Clone, Debug, PartialEq)]
pub struct Split {
    sides: Vec<(u64, f64)>,
}

impl Split {
    /// A split between the named sides; sides of weight 0 get nothing. There must be one with more.
    pub fn new<'a>(sides: impl IntoIterator<Item = (&'a str, u32)>) -> Split {
        Split {
            sides: sides
                .into_iter()
                .map(|(name, weight)| (hash(name.as_bytes()), f64::from(weight)))
                .collect(),
        }
    }

    /// The side of a key, by its place in the list.
    pub fn choose(&self, key: u64) -> usize {
        let score = |&(side, weight): &(u64, f64)| {
            if weight <= 0.0 {
                return f64::NEG_INFINITY;
            }
            // Within 0 to 1, both ends apart.
            let drawn = ((mix(key ^ side) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            weight / -drawn.ln()
        };
        let best = self.sides.iter().map(score).enumerate().max_by(|a, b| a.1.total_cmp(&b.1));
        best.map_or(0, |(at, _)| at)
    }
}

/// FNV-1a, then a finaliser: the same at every instance and in every version.
pub fn hash(bytes: &[u8]) -> u64 {
    mix(bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)))
}

/// The finaliser of splitmix64: near keys draw unlike numbers.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

#[cfg(test)]
mod tests {
    use super::*;

    const KEYS: u64 = 20_000;

    fn sides(split: &Split) -> Vec<usize> {
        (0..KEYS).map(|k| split.choose(hash(format!("client-{k}").as_bytes()))).collect()
    }

    #[test]
    fn each_side_gets_its_part_and_a_side_of_nothing_gets_nothing() {
        let dealt = sides(&Split::new([("a", 90), ("b", 10), ("c", 0)]));
        let part = |side| dealt.iter().filter(|&&s| s == side).count() as f64 / KEYS as f64;
        assert!((part(0) - 0.9).abs() < 0.01 && (part(1) - 0.1).abs() < 0.01, "{} {}", part(0), part(1));
        assert_eq!(part(2), 0.0);
    }

    #[test]
    fn a_new_weight_moves_keys_to_the_side_that_grew_and_no_others() {
        let before = sides(&Split::new([("a", 90), ("b", 10)]));
        let after = sides(&Split::new([("a", 80), ("b", 20)]));
        let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count() as f64 / KEYS as f64;
        assert!(before.iter().zip(&after).all(|(b, a)| b == a || *a == 1));
        assert!((moved - 0.1).abs() < 0.01, "{moved}");
        // Nor does the order of the sides count.
        let turned = sides(&Split::new([("b", 10), ("a", 90)]));
        assert!(before.iter().zip(&turned).all(|(b, t)| *b == 1 - *t));
    }
}
