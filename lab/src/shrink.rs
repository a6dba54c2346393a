//! Finds a smaller world that still breaks a rule: one thing at a time is taken away or halved, as long as the rule still
//! breaks, until nothing smaller does.

use sloeline_emulator::check::Rule;
use toml::{Table, Value};

use crate::experiment::{Variant, set, world};
use crate::play::play;

/// A world that breaks a rule.
#[derive(Clone, Debug)]
pub struct Broken {
    /// The world as it is written.
    pub written: Table,
    /// The seed with which it does.
    pub seed: u64,
    /// The first breach.
    pub breach: String,
    /// Worlds that were tried.
    pub tried: u32,
}

/// Seeds tried with each smaller world: it has another luck.
const SEEDS: u64 = 3;

/// The breach of a rule in a world with a seed, if there is one.
fn breaks(written: &Table, variant: &Variant, seed: u64, rule: Rule) -> Option<String> {
    let world = world(written).ok()?;
    let run = play(variant, &world, seed, &mut |_| {}).ok()?;
    run.breaches.iter().find(|b| b.rule == rule).map(ToString::to_string)
}

fn number(written: &Table, path: &str) -> Option<f64> {
    let mut at = written.get(path.split('.').next()?)?;
    for name in path.split('.').skip(1) {
        at = match at {
            Value::Table(table) => table.get(name)?,
            Value::Array(list) => list.get(name.parse::<usize>().ok()?)?,
            _ => return None,
        };
    }
    at.as_float().or(at.as_integer().map(|n| n as f64))
}

/// Each world that is one step smaller, with what the step was.
fn smaller(written: &Table) -> Vec<Table> {
    let mut all = Vec::new();
    let mut with = |change: &dyn Fn(&mut Table) -> Option<()>| {
        let mut table = written.clone();
        if change(&mut table).is_some() {
            all.push(table);
        }
    };
    let list = |table: &Table, name: &str| table.get(name).and_then(Value::as_array).map_or(0, Vec::len);
    for name in ["event", "callers", "class"] {
        for at in 0..list(written, name) {
            with(&|table| {
                table.get_mut(name)?.as_array_mut()?.remove(at);
                Some(())
            });
        }
    }
    for path in ["balancers.count", "nodes.count", "nodes.cores", "nodes.queue"] {
        let Some(found) = number(written, path).filter(|n| *n > 1.0) else { continue };
        with(&|table| set(table, path, Value::Integer((found / 2.0).floor() as i64)).ok());
    }
    for at in 0..list(written, "callers") {
        for (name, least) in [("rate", 1.0), ("sessions", 1.0)] {
            let path = format!("callers.{at}.{name}");
            let Some(found) = number(written, &path).filter(|n| *n > least) else { continue };
            let half =
                if name == "rate" { Value::Float(found / 2.0) } else { Value::Integer((found / 2.0) as i64) };
            with(&|table| set(table, &path, half.clone()).ok());
        }
    }
    // The parts that only make a world less plain.
    for name in ["network", "registry"] {
        if written.contains_key(name) {
            with(&|table| table.remove(name).map(|_| ()));
        }
    }
    with(&|table| {
        let length = table.get("length")?.as_str()?;
        let half = sloeline_emulator::span::Span::parse(length).ok()?.0 / 2;
        (half > 500_000).then(|| table.insert("length".to_owned(), Value::String(format!("{half}us"))))?;
        Some(())
    });
    all
}

/// Makes a world that breaks a rule as small as it can within so many tries; nothing if it breaks none with the seed.
pub fn shrink(written: &Table, variant: &Variant, seed: u64, rule: Rule, most: u32) -> Option<Broken> {
    let breach = breaks(written, variant, seed, rule)?;
    let mut broken = Broken { written: written.clone(), seed, breach, tried: 0 };
    'smaller: loop {
        for written in smaller(&broken.written) {
            for seed in broken.seed..broken.seed + SEEDS {
                if broken.tried >= most {
                    return Some(broken);
                }
                broken.tried += 1;
                if let Some(breach) = breaks(&written, variant, seed, rule) {
                    broken = Broken { written, seed, breach, tried: broken.tried };
                    continue 'smaller;
                }
            }
        }
        return Some(broken);
    }
}
