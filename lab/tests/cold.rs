//! A zone that comes back cold, before 1 to 90 balancers whose lists differ: no node is pushed over, service goes on, and the
//! same without pacing is caught. The table over 1 to 1,000 balancers is made by hand (docs/design-cold-servers.md).

use sloeline_emulator::check::Rule;
use sloeline_emulator::world::World;
use sloeline_lab::experiment::{Experiment, Variant, set, world};
use sloeline_lab::play::play;
use sloeline_lab::scenarios::SCENARIOS;
use toml::Value;

/// The scenario made shorter, for so many balancers that hear within a span. Work does not spread: one call of many times the
/// usual work pushes a cold node over by itself, whoever sends it.
fn returning(balancers: i64, spread: &str) -> World {
    let (_, text) = SCENARIOS.iter().find(|(name, _)| *name == "zone-returns-cold").expect("a scenario");
    let experiment = Experiment::parse(text).expect("an experiment");
    let mut written = experiment.written.clone();
    let text = |text: &str| Value::String(text.to_owned());
    let changes = [
        ("balancers.count", Value::Integer(balancers)),
        ("registry.spread", text(spread)),
        ("length", text("32s")),
        ("event.0.at", text("8s")),
        ("event.0.for", text("4s")),
        ("class.0.spread", text("fixed")),
        ("class.1.spread", text("fixed")),
    ];
    for (path, value) in changes {
        set(&mut written, path, value).expect("a place");
    }
    world(&written).expect("a world")
}

#[test]
fn a_zone_that_comes_back_cold_is_not_pushed_over_by_any_number_of_balancers() {
    for (balancers, spread) in [(1, "100ms"), (6, "9s"), (6, "100ms"), (40, "100ms"), (40, "9s"), (90, "3s")]
    {
        let world = returning(balancers, spread);
        for seed in 1..=2 {
            let run = play(&Variant::policy("sloeline"), &world, seed, &mut |_| {}).expect("it plays");
            let goodput = run.measures.total().goodput();
            println!("{balancers} balancers, {spread}, seed {seed}: {:?}, goodput {goodput:.3}", run.counts);
            let told: Vec<String> = run.breaches.iter().map(ToString::to_string).collect();
            assert!(told.is_empty(), "{balancers} balancers, {spread}, seed {seed}: {}", told.concat());
            assert!(goodput > 0.9, "{balancers} balancers, {spread}, seed {seed}: goodput {goodput:.3}");
        }
    }
}

#[test]
fn without_pacing_it_is_pushed_over_and_that_is_caught() {
    for balancers in [40, 90] {
        let world = returning(balancers, "100ms");
        let run = play(&Variant::policy("sloeline!cold"), &world, 1, &mut |_| {}).expect("it plays");
        let around = run.breaches.iter().find(|b| b.rule == Rule::Cold).map_or(0, |b| b.around.len());
        println!("{balancers} balancers: {} nodes pushed over", run.counts[Rule::Cold as usize]);
        assert!(run.counts[Rule::Cold as usize] > 0 && around > 0, "{balancers}: {:?}", run.counts);
    }
}
