//! Random numbers: one independent stream for each entity, so that an entity more changes no other's luck.

use finchshift::Micros;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Pareto, StandardNormal};
use serde::Deserialize;

/// The generator of every stream: xoshiro256++ (D. Blackman, S. Vigna, 2019).
pub type Stream = rand_xoshiro::Xoshiro256PlusPlus;

/// The streams of a run.
#[derive(Clone, Copy, Debug)]
pub struct Streams {
    seed: u64,
}

impl Streams {
    /// Those of a seed.
    pub fn new(seed: u64) -> Streams {
        Streams { seed }
    }

    /// The stream of the entity of a kind with this number: a BLAKE3 digest of all three is its state.
    pub fn of(&self, kind: &str, number: u64) -> Stream {
        let mut hasher = blake3::Hasher::new_derive_key("sloeline emulator stream v1");
        hasher.update(&self.seed.to_le_bytes());
        hasher.update(&number.to_le_bytes());
        hasher.update(kind.as_bytes());
        Stream::from_seed(*hasher.finalize().as_bytes())
    }

    /// A number for something that makes a stream of its own.
    pub fn number(&self, kind: &str, number: u64) -> u64 {
        self.of(kind, number).random()
    }
}

/// How a positive quantity spreads about its mean.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Spread {
    /// Not at all.
    Fixed,
    /// Exponentially: many short, a few long.
    #[default]
    Exponential,
    /// Log-normally, with this sigma of the logarithm.
    LogNormal(f64),
    /// By a Pareto law with this exponent, over 1: a heavy tail.
    Pareto(f64),
}

impl Spread {
    /// Why it cannot be drawn from.
    pub fn check(&self) -> Result<(), String> {
        match *self {
            Spread::LogNormal(sigma) if !(0.0..=4.0).contains(&sigma) => {
                Err(format!("log-normal: found {sigma}, expected a sigma from 0 to 4"))
            }
            Spread::Pareto(alpha) if !(alpha > 1.0 && alpha <= 100.0) => {
                Err(format!("pareto: found {alpha}, expected an exponent over 1 and up to 100"))
            }
            _ => Ok(()),
        }
    }

    /// One draw, with the mean 1.
    pub fn draw(&self, stream: &mut Stream) -> f64 {
        match *self {
            Spread::Fixed => 1.0,
            Spread::Exponential => Exp1.sample(stream),
            Spread::LogNormal(sigma) => {
                LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(stream))
            }
            Spread::Pareto(alpha) => {
                Pareto::new((alpha - 1.0) / alpha, alpha).map_or(1.0, |d| d.sample(stream))
            }
        }
    }
}

/// The time to the next of events that come independently, `rate` a second.
pub fn gap(rate: f64, stream: &mut Stream) -> Micros {
    let unit: f64 = Exp1.sample(stream);
    (unit * 1e6 / rate.max(1e-9)).min(1e15) as Micros
}

/// A factor about 1 whose logarithm has this sigma; its median is 1.
pub fn factor(sigma: f64, stream: &mut Stream) -> f64 {
    let unit: f64 = StandardNormal.sample(stream);
    (sigma * unit).exp()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn streams_are_the_same_for_the_same_entity_and_others_for_any_other() {
        let draw = |seed, kind, number| Streams::new(seed).number(kind, number);
        let all = [draw(1, "node", 1), draw(1, "node", 2), draw(1, "caller", 1), draw(2, "node", 1)];
        assert_eq!(all[0], draw(1, "node", 1));
        assert!((0..4).all(|a| (0..a).all(|b| all[a] != all[b])), "{all:?}");
    }

    #[test]
    fn draws_have_the_mean_they_should() {
        let mut stream = Streams::new(7).of("test", 0);
        for spread in [Spread::Fixed, Spread::Exponential, Spread::LogNormal(0.8), Spread::Pareto(3.0)] {
            let n = 200_000;
            let mean = (0..n).map(|_| spread.draw(&mut stream)).sum::<f64>() / f64::from(n);
            assert!((mean - 1.0).abs() < 0.03, "{spread:?}: {mean}");
        }
        let mean = (0..100_000).map(|_| gap(1000.0, &mut stream)).sum::<Micros>() as f64 / 1e5;
        assert!((mean - 1000.0).abs() < 30.0, "{mean}");
        assert!(Spread::Pareto(1.0).check().is_err() && Spread::LogNormal(f64::NAN).check().is_err());
    }
}
