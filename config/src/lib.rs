//! The daemon's configuration: TOML, read and checked as a whole, without I/O.
//!
//! [`load`] reports every error in one pass, each with its line, its key, what was found and what was expected. Unknown
//! keys are errors. A dangerous setting is an error unless the operator asserts it by name, see [`model::ASSERTIONS`].

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

/// Reads and checks a configuration without interface descriptions. `descriptors` is the number of file descriptors
/// that the process may open; it is the default of `limits.descriptors` and its upper bound.
///
/// Returns the configuration with its warnings, or, if there is an error, all errors and warnings sorted by line.
pub fn load(text: &str, descriptors: usize) -> Result<(Config, Vec<Problem>), Vec<Problem>> {
    load_with(text, descriptors, &NoDescriptions)
}

/// Reads and checks a configuration like [`load`], and loads the interface descriptions that it names from `open`.
pub fn load_with(
    text: &str,
    descriptors: usize,
    open: &dyn DescriptionLoader,
) -> Result<(Config, Vec<Problem>), Vec<Problem>> {
    let problems = Problems::new(text);
    let (table, errors) = toml::de::DeTable::parse_recoverable(text);
    for error in &errors {
        problems.syntax_error(error.span(), error.message());
    }
    // The table lacks the parts that cannot be parsed, so checking it would report misleading follow-up errors.
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
