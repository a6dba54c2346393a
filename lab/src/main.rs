//! `sloeline-lab`: experiments on the emulated fleet.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use sloeline_baselines::POLICIES;
use sloeline_emulator::check::RULES;
use sloeline_lab::experiment::{Experiment, Variant};
use sloeline_lab::play::{Cell, MEASURES, Results};
use sloeline_lab::report::{Recovery, figures, losses, page, recovery};
use sloeline_lab::scenarios::SCENARIOS;
use sloeline_lab::shrink::shrink;
use sloeline_lab::stats::Estimate;

/// Experiments on an emulated fleet: the daemon's own decisions among emulated callers, network and nodes.
#[derive(Parser)]
#[command(name = "sloeline-lab", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct Playing {
    /// A file, or the name of a scenario that ships.
    experiment: String,
    /// Where results are kept; cells that are there are not played again.
    #[arg(long, default_value = "lab-results")]
    out: PathBuf,
    /// So many seeds instead of those of the experiment.
    #[arg(long)]
    seeds: Option<u32>,
    /// Only these variants, by name.
    #[arg(long, value_delimiter = ',')]
    only: Vec<String>,
    /// Keep a record of every request, compressed.
    #[arg(long)]
    records: bool,
    /// Threads; as many as cores where it is not said.
    #[arg(long)]
    threads: Option<usize>,
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment and print its table.
    Run {
        #[command(flatten)]
        playing: Playing,
        /// Write the report there.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Play an experiment with each of several values of one setting, for one policy.
    Sweep {
        #[command(flatten)]
        playing: Playing,
        /// The path in the world, such as `callers.0.rate`.
        #[arg(long)]
        set: String,
        /// The values, with commas between them.
        #[arg(long, value_delimiter = ',', required = true)]
        values: Vec<String>,
        /// Who decides.
        #[arg(long, default_value = "sloeline")]
        policy: String,
    },
    /// Compare two variants of an experiment, paired by seed.
    Compare {
        #[command(flatten)]
        playing: Playing,
        /// The one.
        a: String,
        /// The other.
        b: String,
    },
    /// Write the report of an experiment, playing what is not there yet.
    Report {
        #[command(flatten)]
        playing: Playing,
        /// Where to.
        #[arg(long, default_value = "report.html")]
        to: PathBuf,
    },
    /// Find a smaller world in which a variant still breaks a rule.
    Shrink {
        #[command(flatten)]
        playing: Playing,
        /// The variant.
        #[arg(long)]
        variant: String,
        /// lost, twice, drain or cold.
        #[arg(long)]
        rule: String,
        /// Most worlds that are tried.
        #[arg(long, default_value_t = 400)]
        most: u32,
    },
    /// Name the scenarios that ship, the policies and the figures.
    List,
    /// Print a scenario that ships.
    Show {
        /// Its name.
        name: String,
    },
}

fn read(name: &str) -> Result<String, String> {
    if let Some((_, text)) = SCENARIOS.iter().find(|(known, _)| *known == name) {
        return Ok((*text).to_owned());
    }
    std::fs::read_to_string(name)
        .map_err(|e| format!("{name}: {e} (`sloeline-lab list` names the scenarios that ship)"))
}

impl Playing {
    fn experiment(&self) -> Result<Experiment, String> {
        let mut experiment = Experiment::parse(&read(&self.experiment)?)
            .map_err(|why| format!("{}: {why}", self.experiment))?;
        if let Some(seeds) = self.seeds {
            let first = experiment.seeds[0];
            experiment.seeds = (first..).take(seeds.max(1) as usize).collect();
        }
        if !self.only.is_empty() {
            let known = |name: &String| experiment.variants.iter().any(|(v, _)| v.name == *name);
            if let Some(name) = self.only.iter().find(|name| !known(name)) {
                return Err(format!("{}: there is no variant {name:?}", self.experiment));
            }
            experiment.variants.retain(|(v, _)| self.only.contains(&v.name));
        }
        Ok(experiment)
    }

    fn play(&self, experiment: &Experiment) -> Result<Vec<Cell>, String> {
        let results = Results::new(&self.out, self.records)?;
        let cells = experiment.variants.len() * experiment.seeds.len();
        let bar = ProgressBar::new(cells as u64);
        let style = ProgressStyle::with_template("{bar:30} {pos}/{len} cells, {eta} left, {msg}");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        let done = |cell: &Cell, kept: bool| {
            bar.inc(1);
            let how = if kept { "kept" } else { "played" };
            bar.set_message(format!("{how} {} {}", cell.variant, cell.seed));
        };
        let played = match self.threads {
            None => results.play(experiment, &done),
            Some(n) => {
                let pool =
                    rayon::ThreadPoolBuilder::new().num_threads(n).build().map_err(|e| e.to_string())?;
                pool.install(|| results.play(experiment, &done))
            }
        };
        bar.finish_and_clear();
        played
    }
}

fn print(experiment: &Experiment, cells: &[Cell]) {
    println!("{}: {}", experiment.name, experiment.about);
    println!(
        "{:24} {:>8} {:>16} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>6} {:>8}  comes back",
        "variant",
        "goodput",
        "interval",
        "worst",
        "refuse",
        "fail",
        "late",
        "p50 ms",
        "p99 ms",
        "tries",
        "breaches"
    );
    for (variant, world) in &experiment.variants {
        let estimate = |name: &str| Estimate::of(&figures(cells, &variant.name, name));
        let good = estimate("goodput");
        let breaches: Vec<String> = RULES
            .iter()
            .map(|rule| (rule.name(), estimate(rule.name()).mean))
            .filter(|(_, n)| *n > 0.0)
            .map(|(name, n)| format!("{name} {n:.1}"))
            .collect();
        let back = match recovery(world, cells, &variant.name) {
            Recovery::Nothing => String::new(),
            Recovery::After(seconds) => format!("{seconds:.0} s"),
            Recovery::Never { before, end } => format!("no: {before:.2} before, {end:.2} at the end"),
        };
        let failed = estimate("failed").mean + estimate("left").mean + estimate("empty").mean;
        println!(
            "{:24} {:8.3} {:>16} {:7.3} {:7.3} {:7.3} {:7.3} {:8.1} {:8.1} {:6.2} {:>8}  {back}",
            variant.name,
            good.mean,
            format!("{:.3} to {:.3}", good.low, good.high),
            estimate("worst").mean,
            estimate("refused").mean,
            failed,
            estimate("late").mean,
            estimate("p50").mean,
            estimate("p99").mean,
            estimate("attempts").mean,
            if breaches.is_empty() { "none".to_owned() } else { breaches.join(", ") },
        );
    }
    for (name, lead) in losses(experiment, cells) {
        println!("loses {:.3} ({:.3} to {:.3}) to {name}", lead.mean, lead.low, lead.high);
    }
    let (events, took) = cells.iter().fold((0, 0.0), |(e, t), c| (e + c.events, t + c.took));
    println!(
        "{events} events in {took:.1} s of one core: {:.0} a second",
        events as f64 / f64::max(took, 1e-9)
    );
}

fn write_report(experiment: &Experiment, cells: &[Cell], to: &Path) -> Result<(), String> {
    std::fs::write(to, page(experiment, cells)?).map_err(|e| format!("{}: {e}", to.display()))?;
    println!("report: {}", to.display());
    Ok(())
}

/// A value as an experiment would write it: a number, or else a text.
fn value(text: &str) -> toml::Value {
    text.parse::<i64>()
        .map(toml::Value::Integer)
        .or_else(|_| text.parse::<f64>().map(toml::Value::Float))
        .unwrap_or_else(|_| toml::Value::String(text.to_owned()))
}

fn run(arguments: Arguments) -> Result<(), String> {
    match arguments.command {
        Command::Run { playing, report } => {
            let experiment = playing.experiment()?;
            let cells = playing.play(&experiment)?;
            print(&experiment, &cells);
            match report {
                Some(to) => write_report(&experiment, &cells, &to),
                None => Ok(()),
            }
        }
        Command::Sweep { playing, set, values, policy } => {
            let mut experiment = playing.experiment()?;
            experiment.variants.clear();
            for text in &values {
                let mut variant = Variant::policy(&policy);
                variant.name = format!("{set}={text}");
                variant.change.insert(set.clone(), value(text));
                experiment.add(variant)?;
            }
            let cells = playing.play(&experiment)?;
            print(&experiment, &cells);
            Ok(())
        }
        Command::Compare { playing, a, b } => {
            let mut experiment = playing.experiment()?;
            for name in [&a, &b] {
                if !experiment.variants.iter().any(|(v, _)| v.name == *name) {
                    experiment.add(Variant::policy(name))?;
                }
            }
            experiment.variants.retain(|(v, _)| v.name == a || v.name == b);
            let cells = playing.play(&experiment)?;
            println!("{a} beside {b}, {} seeds", experiment.seeds.len());
            for (name, what, more) in MEASURES {
                let change = Estimate::of_pairs(&figures(&cells, &a, name), &figures(&cells, &b, name));
                let verdict = match (change.is_more_than_chance(), (change.mean > 0.0) == more) {
                    (false, _) => "chance",
                    (true, true) => "better",
                    (true, false) => "worse",
                };
                println!(
                    "{name:10} {:+10.4} ({:+.4} to {:+.4}) {verdict:7} {what}",
                    change.mean, change.low, change.high
                );
            }
            Ok(())
        }
        Command::Report { playing, to } => {
            let experiment = playing.experiment()?;
            let cells = playing.play(&experiment)?;
            write_report(&experiment, &cells, &to)
        }
        Command::Shrink { playing, variant, rule, most } => {
            let rule = RULES
                .into_iter()
                .find(|r| r.name() == rule)
                .ok_or("rule: expected lost, twice, drain or cold")?;
            let mut experiment = playing.experiment()?;
            if !experiment.variants.iter().any(|(v, _)| v.name == variant) {
                experiment.add(Variant::policy(&variant))?;
            }
            let found = experiment.variants.iter().find(|(v, _)| v.name == variant).map(|(v, _)| v.clone());
            let variant = found.ok_or("no such variant")?;
            let mut written = experiment.written.clone();
            for (path, value) in &variant.change {
                sloeline_lab::experiment::set(&mut written, path, value.clone())?;
            }
            let broken =
                experiment.seeds.iter().find_map(|seed| shrink(&written, &variant, *seed, rule, most));
            let broken = broken.ok_or("no seed of the experiment breaks that rule")?;
            println!("# seed {}, {} worlds tried", broken.seed, broken.tried);
            println!("{}", broken.breach.lines().map(|l| format!("# {l}\n")).collect::<String>());
            println!("name = {:?}\nfirst-seed = {}\nseeds = 1\n", experiment.name, broken.seed);
            let mut whole = toml::Table::new();
            whole.insert("world".to_owned(), toml::Value::Table(broken.written));
            println!("{}", toml::to_string(&whole).map_err(|e| e.to_string())?);
            Ok(())
        }
        Command::List => {
            println!("scenarios:");
            for (name, text) in SCENARIOS {
                let about = Experiment::parse(text).map(|e| e.about).unwrap_or_default();
                println!("  {name:22} {about}");
            }
            println!("policies:");
            POLICIES.iter().for_each(|(name, about)| println!("  {name:22} {about}"));
            println!("figures:");
            MEASURES.iter().for_each(|(name, about, _)| println!("  {name:22} {about}"));
            Ok(())
        }
        Command::Show { name } => {
            let (_, text) =
                SCENARIOS.iter().find(|(known, _)| *known == name).ok_or("no such scenario; see list")?;
            print!("{text}");
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    match run(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("sloeline-lab: {why}");
            ExitCode::from(2)
        }
    }
}
