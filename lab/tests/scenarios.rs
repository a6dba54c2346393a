//! The scenarios that ship, made a tenth as large: no rule is broken, nothing collapses, and the same seed gives the same
//! bytes on any number of threads and after a break.

use std::path::PathBuf;

use sloeline_lab::experiment::{Experiment, Variant, set};
use sloeline_lab::play::{Cell, Results};
use sloeline_lab::report::page;
use sloeline_lab::scenarios::SCENARIOS;
use toml::Value;

/// A scenario with a tenth of the nodes and callers, for one policy.
fn small(name: &str, policies: &[&str], seeds: u64) -> Experiment {
    let (_, text) = SCENARIOS.iter().find(|(n, _)| *n == name).expect("a scenario");
    let mut experiment = Experiment::parse(text).expect("an experiment");
    let mut world = experiment.written.clone();
    let nodes = world["nodes"]["count"].as_integer().expect("a number");
    let balancers = world["balancers"]["count"].as_integer().expect("a number");
    if nodes >= 100 {
        set(&mut world, "nodes.count", Value::Integer(nodes / 10)).expect("a place");
        set(&mut world, "balancers.count", Value::Integer(balancers / 10)).expect("a place");
        for at in 0..3 {
            let rate = world["callers"][at]["rate"].as_float().expect("a rate");
            set(&mut world, &format!("callers.{at}.rate"), Value::Float(rate / 10.0)).expect("a place");
        }
    } else {
        set(&mut world, "length", Value::String("26m".to_owned())).expect("a place");
    }
    experiment.written = world;
    experiment.variants.clear();
    policies.iter().for_each(|p| experiment.add(Variant::policy(p)).expect("a variant"));
    experiment.seeds = (1..=seeds).collect();
    experiment
}

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        Folder(std::env::temp_dir().join(format!("sloeline-lab-{name}-{}", std::process::id())))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn played(experiment: &Experiment, folder: &Folder, threads: usize) -> Vec<Cell> {
    let pool = rayon::ThreadPoolBuilder::new().num_threads(threads).build().expect("threads");
    let results = Results::new(&folder.0, true).expect("a folder");
    pool.install(|| results.play(experiment, &|_, _| {})).expect("it plays")
}

/// Scenario and the least goodput that it must have a tenth as large; a floor, not an aim.
const FLOORS: [(&str, f64); 12] = [
    ("calm", 0.95),
    ("flash-crowd", 0.75),
    ("zone-lost", 0.70),
    ("rolling-deploy", 0.60),
    ("one-slow", 0.90),
    ("registry-silent", 0.70),
    ("registry-behind", 0.70),
    ("forty-restarted", 0.85),
    ("gray-failure", 0.85),
    ("half-dead", 0.80),
    ("lossy", 0.85),
    ("quiet-hour", 0.90),
];

#[test]
fn scenarios_keep_the_rules_and_their_floors() {
    let folder = Folder::new("floors");
    let mut low = Vec::new();
    for (name, floor) in FLOORS {
        let cells = played(&small(name, &["sloeline"], 2), &folder, 2);
        for cell in &cells {
            assert!(cell.breaches.is_empty(), "{name}, seed {}: {:?}", cell.seed, cell.breaches);
            let goodput = cell.figure("goodput").expect("a figure");
            println!("{name}, seed {}: goodput {goodput:.3}", cell.seed);
            if goodput < floor {
                low.push(format!("{name}, seed {}: {goodput:.3} under {floor}", cell.seed));
            }
        }
    }
    assert!(low.is_empty(), "{low:?}");
}

#[test]
fn the_same_seed_gives_the_same_bytes_on_any_threads_and_after_a_break() {
    let experiment = small("flash-crowd", &["sloeline", "two-choices", "oracle"], 2);
    let (one, four) = (Folder::new("one"), Folder::new("four"));
    let alone = played(&experiment, &one, 1);
    let together = played(&experiment, &four, 4);
    let rows = |cells: &[Cell]| cells.iter().map(|c| (c.seed, c.rows.clone())).collect::<Vec<_>>();
    assert_eq!(rows(&alone), rows(&together));
    let distinct: std::collections::BTreeSet<String> = alone.iter().map(|c| c.rows.clone()).collect();
    assert_eq!(distinct.len(), alone.len(), "another seed or policy gives another run");
    // A break: one cell is gone, another is cut off, the rest is not played again.
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(four.0.join("cells")).expect("cells").map(|f| f.expect("a file").path()).collect();
    files.retain(|f| f.extension().is_some_and(|e| e == "json"));
    files.sort();
    std::fs::remove_file(&files[0]).expect("it goes");
    let text = std::fs::read(&files[1]).expect("a cell");
    std::fs::write(&files[1], &text[..text.len() / 2]).expect("it is cut off");
    let replayed = std::sync::atomic::AtomicUsize::new(0);
    let results = Results::new(&four.0, true).expect("a folder");
    let again = results.play(&experiment, &|_, kept| {
        replayed.fetch_add(usize::from(!kept), std::sync::atomic::Ordering::Relaxed);
    });
    assert_eq!(rows(&again.expect("it plays")), rows(&alone));
    assert_eq!(replayed.into_inner(), 2);
    // Its page has a line for each variant and the event drawn in.
    let page = page(&experiment, &alone).expect("a page");
    assert!(page.contains("<svg") && page.contains("load x2.5") && page.matches("two-choices").count() > 6);
    assert!(!page.contains("http://") || page.contains("xmlns"), "no outside parts");
}

#[test]
fn all_scenarios_can_be_read_and_have_a_line_about_them() {
    for (name, text) in SCENARIOS {
        let experiment = Experiment::parse(text).unwrap_or_else(|why| panic!("{name}: {why}"));
        assert!(experiment.name == name && !experiment.about.is_empty());
    }
}
