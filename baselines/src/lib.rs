//! Policies written from their published descriptions, each by the rules on repeats that ours keeps too, so that figures of
//! ours stand beside theirs on the same arrivals. [`Oracle`] sees the true state of all nodes: no real one can.
//!
//! A policy is a [`Pick`] within a [`Plain`] balancer, which sends at once, repeats what may be
//! repeated, and may have a retry budget and eject outliers.

pub mod guard;
pub mod pick;
pub mod plain;

use finchshift as fs;
use sloeline_emulator::host::{Host, Ours};
use sloeline_emulator::truth::Truth;

use crate::guard::{Budget, Ejection};
use crate::pick::{Bounded, Ewma, Least, Oracle, Pick, Random, RoundRobin, TwoChoices};
use crate::plain::{Defect, Plain};

/// The policies by name, with a line on each.
pub const POLICIES: [(&str, &str); 10] = [
    ("sloeline", "this project's own"),
    ("round-robin", "each node in turn"),
    ("random", "any node"),
    ("least", "the node with fewest own requests in flight"),
    ("two-choices", "the one with fewer own requests in flight of two drawn at random"),
    (
        "ewma",
        "of two drawn at random, the one with the lower peak-sensitive latency times requests in flight",
    ),
    ("hash", "consistent hashing with bounded loads, by what is asked for"),
    ("two-choices+guards", "two-choices with a retry budget and outlier ejection"),
    ("ewma+guards", "ewma with a retry budget and outlier ejection"),
    ("oracle", "sees the true state of all nodes and refuses what cannot be in time"),
];

/// The decisions of one balancer by a policy's name, with a defect planted by `name!defect`.
pub fn host(name: &str, settings: fs::Settings, seed: u64, truth: &Truth) -> Result<Box<dyn Host>, String> {
    let (name, defect) = match name.split_once('!') {
        Some((name, defect)) => (name, Some(Defect::parse(defect)?)),
        None => (name, None),
    };
    if name == "sloeline" {
        return match defect {
            None => Ok(Box::new(Ours::new(settings, seed)?)),
            // It takes those that have just started for warm ones: nothing is paced.
            Some(Defect::Cold) => {
                let mut settings = settings;
                (settings.rules.initial_capacity_share, settings.rules.warm_up_time) = (1.0, 1);
                Ok(Box::new(Ours::new(settings, seed)?))
            }
            Some(_) => Err("other defects are planted in baselines alone".to_owned()),
        };
    }
    let (base, guards) = match name.strip_suffix("+guards") {
        Some(base) => (base, true),
        None => (name, false),
    };
    let pick: Box<dyn Pick> = match base {
        "round-robin" => Box::new(RoundRobin::default()),
        "random" => Box::new(Random),
        "least" => Box::new(Least),
        "two-choices" => Box::new(TwoChoices),
        "ewma" => Box::new(Ewma::default()),
        "hash" => Box::new(Bounded::default()),
        "oracle" => Box::new(Oracle::new(truth.clone())),
        _ => {
            let known: Vec<&str> = POLICIES.iter().map(|(name, _)| *name).collect();
            return Err(format!("policy: found {name:?}, expected one of {}", known.join(", ")));
        }
    };
    let (budget, ejection) = match guards {
        true => (Some(Budget::default()), Some(Ejection::default())),
        false => (None, None),
    };
    Ok(Box::new(Plain::new(settings, seed, pick, budget, ejection, defect)))
}
