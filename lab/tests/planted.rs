//! Defects that are planted on purpose are found, each by its own checker, and the world that shows them can be made small.

use sloeline_emulator::check::Rule;
use sloeline_lab::experiment::{Experiment, Variant, world};
use sloeline_lab::play::play;
use sloeline_lab::shrink::shrink;

/// A small world in which nodes fail, drain and come back cold.
const WORLD: &str = r#"
name = "planted"
seeds = 1
[world]
length = "8s"
zones = 2
balancers = { count = 4 }
nodes = { count = 10, cores = 2, queue = 8, cold = 0.1, warm = "6s", drain = "3s" }
network = { broken = 0.01 }
[[world.class]]
name = "look"
effect = "safe"
aim = "300ms"
deadline = "1s"
work = "20ms"
[[world.class]]
name = "pull"
effect = "keyed"
group = "cell"
window = "5s"
aim = "300ms"
deadline = "1s"
work = "20ms"
[[world.class]]
name = "pay"
effect = "unsafe"
aim = "300ms"
deadline = "1s"
work = "20ms"
[[world.callers]]
class = "look"
rate = 200.0
[[world.callers]]
class = "pull"
rate = 100.0
[[world.callers]]
class = "pay"
rate = 100.0
[[world.event]]
at = "2s"
what = "roll"
nodes = "40%"
over = "1s"
[[world.event]]
at = "3s"
for = "2s"
what = "fail"
nodes = "2"
part = 0.2
"#;

#[test]
fn each_planted_defect_is_caught_by_its_checker_and_sound_policies_by_none() {
    let experiment = Experiment::parse(WORLD).expect("an experiment");
    let world = world(&experiment.written).expect("a world");
    for (policy, rule) in [
        ("two-choices!drain", Rule::Drain),
        ("two-choices!unsafe", Rule::Twice),
        ("two-choices!lost", Rule::Lost),
        ("two-choices!cold", Rule::Cold),
    ] {
        let variant = Variant::policy(policy);
        let caught = (1..=100).find(|seed| {
            let run = play(&variant, &world, *seed, &mut |_| {}).expect("it plays");
            run.counts[rule as usize] > 0
                && run.breaches.iter().any(|b| b.rule == rule && !b.around.is_empty())
        });
        println!("{policy}: caught with seed {caught:?}");
        assert!(caught.is_some(), "{policy} was not caught");
    }
    // What is sound is not accused; cold nodes are no business of plain policies.
    for policy in
        ["sloeline", "two-choices", "round-robin", "ewma+guards", "hash", "least", "oracle", "random"]
    {
        for seed in 1..=5 {
            let run = play(&Variant::policy(policy), &world, seed, &mut |_| {}).expect("it plays");
            let told = run.breaches.iter().filter(|b| b.rule != Rule::Cold || policy == "sloeline");
            let told: Vec<String> = told.map(ToString::to_string).collect();
            assert!(told.is_empty(), "{policy}, seed {seed}: {}", told.concat());
        }
    }
}

#[test]
fn a_world_that_breaks_a_rule_is_made_smaller_and_still_breaks_it() {
    let experiment = Experiment::parse(WORLD).expect("an experiment");
    let variant = Variant::policy("two-choices!drain");
    let broken = shrink(&experiment.written, &variant, 1, Rule::Drain, 200).expect("it breaks");
    let small = world(&broken.written).expect("a world");
    let whole = world(&experiment.written).expect("a world");
    assert!(small.nodes.count < whole.nodes.count && small.callers.len() < whole.callers.len());
    assert!(small.events.len() == 1 && small.balancers.count < whole.balancers.count);
    let again = play(&variant, &small, broken.seed, &mut |_| {}).expect("it plays");
    let told = again.breaches.iter().find(|b| b.rule == Rule::Drain).map(ToString::to_string);
    assert_eq!(told, Some(broken.breach));
    assert!(shrink(&experiment.written, &Variant::policy("two-choices"), 1, Rule::Drain, 200).is_none());
}
