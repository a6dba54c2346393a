//! An experiment: a world, the variants that are tried in it, and the seeds. Read from TOML.

use std::sync::OnceLock;

use serde::Deserialize;
use sloeline_baselines::POLICIES;
use sloeline_emulator::world::World;
use toml::{Table, Value};

/// Most seeds of one experiment.
const MOST_SEEDS: u32 = 10_000;

/// An experiment as it is written.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
struct Written {
    name: String,
    #[serde(default)]
    about: String,
    #[serde(default = "five")]
    seeds: u32,
    #[serde(default = "one")]
    first_seed: u64,
    world: Table,
    #[serde(default, rename = "variant")]
    variants: Vec<Variant>,
}

fn five() -> u32 {
    5
}

fn one() -> u64 {
    1
}

/// What differs from the world, and who decides.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// The policy of all balancers; or ...
    #[serde(default)]
    pub policy: String,
    /// ... a fleet that mixes them: the policies, dealt to the balancers in turn.
    #[serde(default)]
    pub mixed: Vec<String>,
    /// Values of the world that are others here, by their path: `"nodes.count" = 100`, `"callers.0.rate" = 50`.
    #[serde(default)]
    pub change: Table,
}

impl Variant {
    /// One of the known policies in the world as it is.
    pub fn policy(name: &str) -> Variant {
        Variant { name: name.to_owned(), policy: name.to_owned(), mixed: Vec::new(), change: Table::new() }
    }

    /// Who decides in a balancer.
    pub fn decides(&self, balancer: u32) -> &str {
        match self.mixed.len() {
            0 => &self.policy,
            n => &self.mixed[balancer as usize % n],
        }
    }
}

/// An experiment that can be played.
#[derive(Clone, Debug)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it asks.
    pub about: String,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// The variants; each with its world.
    pub variants: Vec<(Variant, World)>,
    /// The world as it is written.
    pub written: Table,
}

/// Sets a value by its path; numbers are places in a list. The path must lead somewhere but for its last name.
pub fn set(table: &mut Table, path: &str, value: Value) -> Result<(), String> {
    let names: Vec<&str> = path.split('.').collect();
    let Some((last, before)) = names.split_last() else { return Err("an empty path".to_owned()) };
    let Some((first, before)) = before.split_first() else {
        table.insert((*last).to_owned(), value);
        return Ok(());
    };
    let missing = |name: &str| format!("{path}: there is no {name:?}");
    // What is left out has its default: a table that is named comes to be.
    let mut at = table.entry((*first).to_owned()).or_insert_with(|| Value::Table(Table::new()));
    for name in before {
        at = match at {
            Value::Array(list) => {
                let place = name.parse::<usize>().ok();
                place.and_then(|i| list.get_mut(i)).ok_or_else(|| missing(name))?
            }
            Value::Table(table) => {
                table.entry((*name).to_owned()).or_insert_with(|| Value::Table(Table::new()))
            }
            _ => return Err(missing(name)),
        };
    }
    match at {
        Value::Table(table) => _ = table.insert((*last).to_owned(), value),
        Value::Array(list) => {
            let place = last.parse::<usize>().ok().and_then(|i| list.get_mut(i));
            *place.ok_or_else(|| missing(last))? = value;
        }
        _ => return Err(missing(last)),
    }
    Ok(())
}

/// What tells this build from others: a digest of the program itself. Guards against results of decisions that have
/// changed since.
fn build() -> &'static str {
    static BUILD: OnceLock<String> = OnceLock::new();
    BUILD.get_or_init(|| {
        let own = std::env::current_exe().and_then(std::fs::read);
        own.map_or_else(
            |_| env!("CARGO_PKG_VERSION").to_owned(),
            |bytes| blake3::hash(&bytes).to_hex().to_string(),
        )
    })
}

/// The world of a table, checked.
pub fn world(written: &Table) -> Result<World, String> {
    let world: World = written.clone().try_into().map_err(|e| format!("world: {}", e.to_string().trim()))?;
    world.check().map_err(|why| format!("world: {why}"))?;
    Ok(world)
}

impl Experiment {
    /// Reads one. Without variants all known policies are tried.
    pub fn parse(text: &str) -> Result<Experiment, String> {
        let written: Written = toml::from_str(text).map_err(|e| e.to_string())?;
        if written.seeds == 0 || written.seeds > MOST_SEEDS {
            return Err(format!("seeds: found {}, expected 1 to {MOST_SEEDS}", written.seeds));
        }
        let variants = match written.variants.len() {
            0 => POLICIES.iter().map(|(name, _)| Variant::policy(name)).collect(),
            _ => written.variants,
        };
        let mut experiment = Experiment {
            name: written.name,
            about: written.about,
            seeds: (written.first_seed..).take(written.seeds as usize).collect(),
            variants: Vec::new(),
            written: written.world,
        };
        for variant in variants {
            experiment.add(variant)?;
        }
        Ok(experiment)
    }

    /// Adds a variant; the error names it.
    pub fn add(&mut self, variant: Variant) -> Result<(), String> {
        let told = |why: String| format!("variant {:?}: {why}", variant.name);
        if self.variants.iter().any(|(v, _)| v.name == variant.name) {
            return Err(told("found it twice".to_owned()));
        }
        if variant.policy.is_empty() == variant.mixed.is_empty() {
            return Err(told("found policy and mixed both or neither, expected one of them".to_owned()));
        }
        for policy in variant.mixed.iter().chain(Some(&variant.policy).filter(|p| !p.is_empty())) {
            let name = policy.split('!').next().unwrap_or_default();
            if !POLICIES.iter().any(|(known, _)| *known == name) {
                return Err(told(format!("policy: found {policy:?}, which is none")));
            }
        }
        let mut written = self.written.clone();
        for (path, value) in &variant.change {
            set(&mut written, path, value.clone()).map_err(told)?;
        }
        let world = world(&written).map_err(told)?;
        self.variants.push((variant, world));
        Ok(())
    }

    /// A digest of all that results depend on, for one variant: another experiment or another build has another.
    pub fn digest(&self, variant: usize) -> String {
        let (variant, world) = &self.variants[variant];
        let text = format!("{}\n{world:?}\n{variant:?}", build());
        blake3::hash(text.as_bytes()).to_hex()[..16].to_owned()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SMALL: &str = r#"
        name = "small"
        [world]
        length = "5s"
        balancers = { count = 2 }
        nodes = { count = 4 }
        [[world.class]]
        name = "look"
        effect = "safe"
        aim = "1s"
        deadline = "2s"
        work = "5ms"
        [[world.callers]]
        class = "look"
        rate = 100.0
    "#;

    #[test]
    fn variants_change_the_world_by_paths() {
        let text = format!(
            "{SMALL}\n[[variant]]\nname = 'a'\npolicy = 'least'\nchange = {{ 'nodes.count' = 9, 'callers.0.rate' = 7.0, 'network.loss' = 0.1 }}\n[[variant]]\nname = 'b'\nmixed = ['sloeline', 'least']"
        );
        let experiment = Experiment::parse(&text).expect("an experiment");
        let [(a, world), (b, plain)] = &experiment.variants[..] else { panic!("two variants") };
        assert_eq!((world.nodes.count, world.callers[0].rate, world.network.loss), (9, 7.0, 0.1));
        assert_eq!(
            (plain.nodes.count, a.decides(1), b.decides(0), b.decides(3)),
            (4, "least", "sloeline", "least")
        );
        assert_ne!(experiment.digest(0), experiment.digest(1));
        assert_eq!(Experiment::parse(SMALL).expect("an experiment").variants.len(), POLICIES.len());
    }

    #[test]
    fn what_is_wrong_is_told_by_its_place() {
        for (more, why) in [
            ("[[variant]]\nname = 'a'\npolicy = 'worst'", "variant \"a\": policy: found \"worst\""),
            ("[[variant]]\nname = 'a'", "policy and mixed both or neither"),
            (
                "[[variant]]\nname = 'a'\npolicy = 'least'\nchange = { 'callers.7.rate' = 1.0 }",
                "there is no \"7\"",
            ),
            (
                "[[variant]]\nname = 'a'\npolicy = 'least'\nchange = { 'nodes.cout' = 1 }",
                "unknown field `cout`",
            ),
            (
                "[[variant]]\nname = 'a'\npolicy = 'least'\nchange = { 'nodes.count' = 0 }",
                "nodes.count: found 0",
            ),
            (
                "[[world.event]]\nat = '1s'\nwhat = 'slow'\nnodes = '50'\nby = 2.0",
                "event at 1s: 50: there are 4",
            ),
            ("[[world.event]]\nat = '1s'\nwhat = 'slow'\nnodes = 'all'\nby = 2.0\nfr = '1s'", "fr"),
            ("[[world.event]]\nat = '1s'\nwhat = 'melt'", "melt"),
            ("[[world.event]]\nat = '1 day'\nwhat = 'silent'", "expected a number and one of us"),
            ("seeds = 0", "unknown field"),
        ] {
            let found = Experiment::parse(&format!("{SMALL}\n{more}")).expect_err(more);
            assert!(found.contains(why), "{more}: {found}");
        }
    }
}
