//! The daemon's configuration: TOML, read and checked as a whole, without I/O.
//!
//! [`load`] finds every error at once, each with its line, its key, what was found and what was expected. Unknown
//! keys are errors. What is dangerous is an error unless it is asserted by name, see [`model::ASSERTIONS`].

pub mod check;
pub mod descriptions;
pub mod model;
pub mod problem;
mod read;
mod routes;
mod sections;
mod sources;

use descriptions::{DescriptionLoader, NoDescriptions};
use model::Config;
use problem::{Problem, Problems, Severity};

/// Reads and checks a configuration; `descriptors` is what the process may hold where the text does not say.
/// With it come warnings; the error holds all problems, warnings among them, in the order of their lines.
pub fn load(text: &str, descriptors: usize) -> Result<(Config, Vec<Problem>), Vec<Problem>> {
    load_with(text, descriptors, &NoDescriptions)
}

/// The same, with the descriptions that it names.
pub fn load_with(
    text: &str,
    descriptors: usize,
    open: &dyn DescriptionLoader,
) -> Result<(Config, Vec<Problem>), Vec<Problem>> {
    let problems = Problems::new(text);
    let (table, errors) = toml::de::DeTable::parse_recoverable(text);
    for error in &errors {
        problems.syntax(error.span(), error.message());
    }
    // What can't be parsed is left out of the table: what its absence leads to would mislead.
    if !errors.is_empty() {
        return Err(problems.into_sorted());
    }
    let mut config = sections::config(&table, &problems, descriptors);
    if let Some(config) = &mut config {
        descriptions::expand(config, open, &problems);
        check::check(config, &problems);
    }
    let problems = problems.into_sorted();
    match config {
        Some(config) if problems.iter().all(|p| p.severity == Severity::Warning) => Ok((config, problems)),
        _ => Err(problems),
    }
}
