//! What tells a client's later try from its first.

use hyper::header::HeaderValue;
use quickcheck::quickcheck;
use sloeline_data_plane::patience::{Patience, Patiences};

const TRIES: u64 = 40;

/// One that has seen first tries of clients that wait for so long.
fn learned(in_all: u64) -> Patience {
    let mut patience = Patience::default();
    for n in 0..TRIES {
        assert_eq!(patience.age(n, in_all), 0, "a first try");
    }
    patience
}

#[test]
fn a_later_try_is_as_old_as_it_has_less_time_than_first_ones() {
    let mut patience = learned(2500);
    assert_eq!(patience.age(100, 2100), 400);
    assert_eq!(patience.age(101, 2500), 0);
    // Of one that waits for longer nothing is known.
    assert_eq!(patience.age(102, 60_000), 0);
    assert_eq!(patience.age(103, 2100), 400);
}

#[test]
fn first_tries_are_found_among_three_times_as_many_later_ones() {
    let mut patience = Patience::default();
    let mut told = Vec::new();
    for n in 0..TRIES {
        patience.age(n, 2500);
        for try_number in 1..4 {
            told.push(patience.age(n, 2500 - 300 * try_number - 7 * n));
        }
    }
    let last = told[told.len() - 3..].to_vec();
    assert_eq!(last, [300, 600, 900].map(|age| age + 7 * (TRIES - 1)));
}

#[test]
fn what_clients_wait_for_changes_with_them() {
    let mut patience = learned(2500);
    for n in 0..2 * TRIES {
        patience.age(10_000 + 400 * n, 1000);
    }
    assert_eq!(patience.age(60_000, 900), 100);
}

#[test]
fn kinds_are_told_apart_and_forgotten() {
    let (one, two) = (HeaderValue::from_static("one"), HeaderValue::from_static("two"));
    let mut patiences = Patiences::default();
    for n in 0..TRIES {
        patiences.age(&one, n, 2500);
        patiences.age(&two, n, 1000);
    }
    assert_eq!((patiences.age(&one, 50, 900), patiences.age(&two, 50, 900)), (1600, 100));
    patiences.keep([&one].into_iter());
    assert_eq!((patiences.age(&one, 51, 900), patiences.age(&two, 51, 900)), (1600, 0));
}

quickcheck! {
    /// Clients that all wait for different times: nobody is taken for older than it can be, and few for old at all.
    fn clients_that_differ_are_not_told_apart(seed: u64) -> bool {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut patience = Patience::default();
        let lefts: Vec<u64> = (0..400).map(|_| random.u64(500..30_000)).collect();
        let ages: Vec<u64> = lefts.iter().enumerate().map(|(n, left)| patience.age(n as u64, *left)).collect();
        let old = ages.iter().skip(50).filter(|age| **age > 0).count();
        ages.iter().zip(&lefts).all(|(age, left)| age + left <= 30_000) && old == 0
    }
}
