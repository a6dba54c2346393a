//! Tests of the estimated age of a request: later tries are distinguished from first tries.

use hyper::header::HeaderValue;
use quickcheck::quickcheck;
use sloeline_data_plane::request_age::{RequestAgeEstimator, RequestAgeEstimators};

/// Number of first tries from which an estimator learns.
const TRIES: u64 = 40;

/// An estimator that has learned a total client timeout from first tries.
fn learned(client_timeout: u64) -> RequestAgeEstimator {
    let mut estimator = RequestAgeEstimator::default();
    for n in 0..TRIES {
        assert_eq!(estimator.record(n, client_timeout), 0, "a first try");
    }
    estimator
}

#[test]
fn the_age_of_a_later_try_is_its_difference_to_the_time_of_first_tries() {
    let mut estimator = learned(2500);
    assert_eq!(estimator.record(100, 2100), 400);
    assert_eq!(estimator.record(101, 2500), 0);
    // The age of a try with more time than the learned timeout is not known.
    assert_eq!(estimator.record(102, 60_000), 0);
    assert_eq!(estimator.record(103, 2100), 400);
}

#[test]
fn first_tries_are_recognized_among_three_times_as_many_later_ones() {
    let mut estimator = RequestAgeEstimator::default();
    let mut later_ages = Vec::new();
    for n in 0..TRIES {
        estimator.record(n, 2500);
        for try_number in 1..4 {
            later_ages.push(estimator.record(n, 2500 - 300 * try_number - 7 * n));
        }
    }
    let last = later_ages[later_ages.len() - 3..].to_vec();
    assert_eq!(last, [300, 600, 900].map(|age| age + 7 * (TRIES - 1)));
}

#[test]
fn the_estimate_follows_a_change_of_the_client_timeout() {
    let mut estimator = learned(2500);
    for n in 0..2 * TRIES {
        estimator.record(10_000 + 400 * n, 1000);
    }
    assert_eq!(estimator.record(60_000, 900), 100);
}

#[test]
fn kinds_have_separate_estimates_and_can_be_removed() {
    let (one, two) = (HeaderValue::from_static("one"), HeaderValue::from_static("two"));
    let mut estimators = RequestAgeEstimators::default();
    for n in 0..TRIES {
        estimators.record(&one, n, 2500);
        estimators.record(&two, n, 1000);
    }
    assert_eq!((estimators.record(&one, 50, 900), estimators.record(&two, 50, 900)), (1600, 100));
    estimators.retain([&one].into_iter());
    assert_eq!((estimators.record(&one, 51, 900), estimators.record(&two, 51, 900)), (1600, 0));
}

quickcheck! {
    /// All clients have different timeouts. No age exceeds the possible range, and after the first 50 tries none counts as a
    /// later one.
    fn clients_with_different_timeouts_get_no_estimate(seed: u64) -> bool {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut estimator = RequestAgeEstimator::default();
        let times_left: Vec<u64> = (0..400).map(|_| random.u64(500..30_000)).collect();
        let ages: Vec<u64> = times_left.iter().enumerate().map(|(n, left)| estimator.record(n as u64, *left)).collect();
        let later_tries = ages.iter().skip(50).filter(|age| **age > 0).count();
        ages.iter().zip(&times_left).all(|(age, left)| age + left <= 30_000) && later_tries == 0
    }
}
