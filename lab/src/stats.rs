//! Telling a change from chance: differences paired by seed, with a bootstrap interval.

use rand::RngExt;
use sloeline_emulator::streams::Streams;

/// Resamples of an interval.
const RESAMPLES: usize = 10_000;
/// Part of resamples on either side of an interval: it covers 95%.
const OUTSIDE: f64 = 0.025;

/// A mean with its interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// The interval's ends; both the mean where there is one value only.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
}

impl Estimate {
    /// The mean of values with a 95% percentile interval (B. Efron, "Bootstrap Methods", 1979). The resamples are drawn from
    /// a stream of their own: the same values have the same interval.
    pub fn of(values: &[f64]) -> Estimate {
        let n = values.len();
        let mean = values.iter().sum::<f64>() / n.max(1) as f64;
        if n < 2 {
            return Estimate { mean, low: mean, high: mean };
        }
        let mut stream = Streams::new(0).of("bootstrap", n as u64);
        let mut resample = || (0..n).map(|_| values[stream.random_range(0..n)]).sum::<f64>() / n as f64;
        let mut means: Vec<f64> = (0..RESAMPLES).map(|_| resample()).collect();
        means.sort_by(f64::total_cmp);
        let at = |part: f64| means[((RESAMPLES - 1) as f64 * part).round() as usize];
        Estimate { mean, low: at(OUTSIDE), high: at(1.0 - OUTSIDE) }
    }

    /// The difference of pairs.
    pub fn of_pairs(a: &[f64], b: &[f64]) -> Estimate {
        let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| a - b).collect();
        Estimate::of(&differences)
    }

    /// Chance alone does not explain it.
    pub fn is_more_than_chance(&self) -> bool {
        self.low > 0.0 || self.high < 0.0
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_interval_covers_the_mean_about_as_often_as_it_says() {
        let mut stream = Streams::new(11).of("test", 0);
        let mut covered = 0;
        let rounds = 60;
        for _ in 0..rounds {
            let values: Vec<f64> = (0..30).map(|_| stream.random::<f64>()).collect();
            let estimate = Estimate::of(&values);
            covered += u32::from(estimate.low <= 0.5 && 0.5 <= estimate.high);
        }
        assert!((50..=60).contains(&covered), "{covered} of {rounds}");
        assert_eq!(Estimate::of(&[0.5]), Estimate { mean: 0.5, low: 0.5, high: 0.5 });
    }

    #[test]
    fn pairs_show_a_change_that_lies_below_the_spread() {
        let mut stream = Streams::new(5).of("test", 1);
        let a: Vec<f64> = (0..10).map(|_| stream.random::<f64>()).collect();
        let b: Vec<f64> = a.iter().map(|a| a - 0.01 + 0.002 * stream.random::<f64>()).collect();
        let change = Estimate::of_pairs(&a, &b);
        assert!(change.is_more_than_chance() && (change.mean - 0.009).abs() < 0.001, "{change:?}");
        assert!(!Estimate::of_pairs(&a, &a).is_more_than_chance());
    }
}
