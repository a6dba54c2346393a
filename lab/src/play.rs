//! Plays the cells of an experiment, one for each variant and seed, on all cores; a cell that was played is not played
//! again.

use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Instant;

use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use sloeline_baselines::host;
use sloeline_emulator::check::RULES;
use sloeline_emulator::measure::{Row, Tally};
use sloeline_emulator::run::{Outcomes, Run};
use sloeline_emulator::world::World;

use crate::experiment::{Experiment, Variant};

/// How records are compressed: fast, and a third of the size.
const LEVEL: i32 = 3;

/// What is kept of a cell.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Cell {
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// What its result depends on.
    pub digest: String,
    /// BLAKE3 of its rows.
    pub rows: String,
    /// Its figures, by name, in the order of [`MEASURES`].
    pub figures: Vec<f64>,
    /// By the second: asked, goodput, refused, failed and left, attempts, median and P99 in microseconds.
    pub seconds: Vec<[f64; 7]>,
    /// Requests that each node served.
    pub nodes: Vec<u64>,
    /// Goodput of each balancer.
    pub balancers: Vec<f64>,
    /// The first breach of each rule.
    pub breaches: Vec<String>,
    /// Events handled, and the seconds that took.
    pub events: u64,
    /// Time it took, in seconds.
    pub took: f64,
}

/// The figures of a cell: name, what it is, and whether more is better.
pub const MEASURES: [(&str, &str, bool); 18] = [
    ("goodput", "worth answered within the aim, of the worth asked for", true),
    ("worst", "the same in the worst 5 s", true),
    ("balancer", "the same at the worst balancer", true),
    ("good", "requests answered within the aim, of all", true),
    ("late", "answered later", false),
    ("refused", "refused in the end", false),
    ("failed", "failed in the end", false),
    ("left", "without an answer when their callers left", false),
    ("empty", "answered with nothing in it", false),
    ("p50", "median latency of what was answered, ms", false),
    ("p99", "99th percentile, ms", false),
    ("p999", "99.9th percentile, ms", false),
    ("attempts", "attempts for each request", false),
    ("again", "tries of callers beyond the first, for each request", false),
    ("lost", "breaches: no answer, two, or something sent afterwards", false),
    ("twice", "breaches: a second effect", false),
    ("drain", "breaches: sent to a node that is not ready", false),
    ("cold", "breaches: cold nodes pushed over", false),
];

impl Cell {
    /// A figure by its name.
    pub fn figure(&self, name: &str) -> Option<f64> {
        MEASURES.iter().position(|(n, ..)| *n == name).and_then(|at| self.figures.get(at)).copied()
    }

    fn new(variant: &Variant, seed: u64, digest: String, run: &Outcomes, took: f64) -> Cell {
        let total = run.measures.total();
        let part = |n: u64| if total.asked > 0 { n as f64 / total.asked as f64 } else { 0.0 };
        let latency = run.measures.latency();
        let at = |q: f64| if latency.is_empty() { 0.0 } else { latency.value_at_quantile(q) as f64 / 1000.0 };
        let mut figures = vec![
            total.goodput(),
            run.measures.worst_window(),
            run.measures.worst_balancer(),
            part(total.good),
            part(total.late),
            part(total.refused),
            part(total.failed),
            part(total.left),
            part(total.empty),
            at(0.5),
            at(0.99),
            at(0.999),
            part(total.attempts),
            part(total.again),
        ];
        figures.extend(RULES.iter().map(|rule| run.counts[*rule as usize] as f64));
        let second = |(t, (p50, p99)): (&Tally, &(u64, u64))| {
            let lost = (t.failed + t.left + t.empty) as f64;
            let asked = t.asked as f64;
            [asked, t.goodput(), t.refused as f64, lost, t.attempts as f64, *p50 as f64, *p99 as f64]
        };
        Cell {
            variant: variant.name.clone(),
            seed,
            digest,
            rows: run.digest.clone(),
            figures,
            seconds: run.measures.seconds.iter().zip(&run.measures.percentiles).map(second).collect(),
            nodes: run.measures.nodes.clone(),
            balancers: run.measures.balancers.iter().map(Tally::goodput).collect(),
            breaches: run.breaches.iter().map(ToString::to_string).collect(),
            events: run.events,
            took,
        }
    }
}

/// Plays one cell; its rows go to `rows`.
pub fn play(
    variant: &Variant,
    world: &World,
    seed: u64,
    rows: &mut dyn FnMut(&Row),
) -> Result<Outcomes, String> {
    let maker = |me: u32, seed: u64, truth: &sloeline_emulator::truth::Truth| {
        host(variant.decides(me), world.settings(me), seed, truth)
    };
    Ok(Run::new(world, seed, &maker, rows)?.play())
}

/// Where the results of experiments are.
pub struct Results {
    folder: PathBuf,
    records: bool,
}

impl Results {
    /// In a folder, which comes to be; with the record of every request if `records`.
    pub fn new(folder: &Path, records: bool) -> Result<Results, String> {
        fs::create_dir_all(folder.join("cells")).map_err(|e| format!("{}: {e}", folder.display()))?;
        Ok(Results { folder: folder.to_owned(), records })
    }

    fn path(&self, digest: &str, seed: u64, ending: &str) -> PathBuf {
        self.folder.join("cells").join(format!("{digest}-{seed}.{ending}"))
    }

    /// A cell that was played already. One that cannot be read is as if it had not been.
    fn kept(&self, digest: &str, seed: u64) -> Option<Cell> {
        let text = fs::read(self.path(digest, seed, "json")).ok()?;
        let cell: Cell = serde_json::from_slice(&text).ok()?;
        (cell.digest == digest && cell.seed == seed && cell.figures.len() == MEASURES.len()).then_some(cell)
    }

    /// Writes a file whole, beside its place first.
    fn write(path: &Path, bytes: &[u8]) -> Result<(), String> {
        let beside = path.with_extension("part");
        let write = || {
            fs::write(&beside, bytes)?;
            fs::rename(&beside, path)
        };
        write().map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Plays what is not there yet; `done` hears of each cell. The cells in the order of variants and seeds.
    pub fn play(
        &self,
        experiment: &Experiment,
        done: &(dyn Fn(&Cell, bool) + Sync),
    ) -> Result<Vec<Cell>, String> {
        let wanted: Vec<(usize, u64)> = (0..experiment.variants.len())
            .flat_map(|v| experiment.seeds.iter().map(move |seed| (v, *seed)))
            .collect();
        let digests: Vec<String> = (0..experiment.variants.len()).map(|v| experiment.digest(v)).collect();
        let cells: Result<Vec<Cell>, String> = wanted
            .par_iter()
            .with_max_len(1)
            .map(|(v, seed)| {
                let (variant, world) = &experiment.variants[*v];
                if let Some(cell) = self.kept(&digests[*v], *seed) {
                    // The same cell may stand under another name.
                    let cell = Cell { variant: variant.name.clone(), ..cell };
                    done(&cell, true);
                    return Ok(cell);
                }
                let start = Instant::now();
                let mut packed = self
                    .records
                    .then(|| zstd::Encoder::new(Vec::new(), LEVEL).map_err(|e| e.to_string()))
                    .transpose()?;
                let mut failed = None;
                let mut rows = |row: &Row| {
                    if let Some(packed) = &mut packed
                        && let Err(e) = packed.write_all(&row.bytes())
                    {
                        failed = Some(e.to_string());
                    }
                };
                let run = play(variant, world, *seed, &mut rows)?;
                if let Some(why) = failed {
                    return Err(why);
                }
                let cell =
                    Cell::new(variant, *seed, digests[*v].clone(), &run, start.elapsed().as_secs_f64());
                if let Some(packed) = packed {
                    let bytes = packed.finish().map_err(|e| e.to_string())?;
                    Results::write(&self.path(&digests[*v], *seed, "rows.zst"), &bytes)?;
                }
                let text = serde_json::to_vec(&cell).map_err(|e| e.to_string())?;
                // Last: a cell that is there is whole.
                Results::write(&self.path(&digests[*v], *seed, "json"), &text)?;
                done(&cell, false);
                Ok(cell)
            })
            .collect();
        let cells = cells?;
        Results::write(&self.folder.join(format!("{}.tsv", experiment.name)), table(&cells).as_bytes())?;
        Ok(cells)
    }
}

/// The figures of cells as columns with tabs between them.
pub fn table(cells: &[Cell]) -> String {
    let names: Vec<&str> = MEASURES.iter().map(|(name, ..)| *name).collect();
    let mut text = format!("variant\tseed\t{}\trows\n", names.join("\t"));
    for cell in cells {
        let figures: Vec<String> = cell.figures.iter().map(|f| format!("{f:.6}")).collect();
        text += &format!("{}\t{}\t{}\t{}\n", cell.variant, cell.seed, figures.join("\t"), cell.rows);
    }
    text
}
