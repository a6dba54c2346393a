//! Reads descriptions given as texts in tests.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::HashMap;

use sloeline_descriptions::check::{Promises, check};
use sloeline_descriptions::effect::{Effect, KeyLocation};
use sloeline_descriptions::findings::{Finding, Severity};
use sloeline_descriptions::openapi::Operation;
use sloeline_descriptions::refs::{Documents, Files};

pub struct Memory(pub HashMap<String, String>);

impl Files for Memory {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or_else(|| format!("{path}: no such file"))
    }
}

/// The operations of `api.yaml`, and code and line of each finding that is not accepted.
pub fn found(files: &[(&str, &str)]) -> (Vec<Operation>, Vec<String>) {
    let memory = Memory(files.iter().map(|(n, t)| ((*n).to_owned(), (*t).to_owned())).collect());
    let promises = Promises { key_memory: Some(60_000_000), caller_timeout: Some(4_000_000) };
    let (operations, findings) = check(&Documents::new(&memory), "api.yaml", promises);
    for finding in &findings {
        assert!(finding.line > 0 && finding.to_string().contains(finding.code.number()), "{finding}");
    }
    let reported = |f: &&Finding| f.is_blocking() || f.code.severity() == Severity::Warning;
    let reported = findings.iter().filter(reported).filter(|f| f.accepted.is_none());
    (operations, reported.map(|f| format!("{}:{}", f.code.number(), f.line)).collect())
}

/// Summaries of an operation such as `GET /checks safe`, one for each path.
pub fn summaries(operation: &Operation) -> Vec<String> {
    let effect = match &operation.effect {
        Effect::Safe => "safe".to_owned(),
        Effect::Unsafe => "unsafe".to_owned(),
        Effect::Keyed { key, window } => {
            let at = match key {
                KeyLocation::Header(name) => format!("header:{name}"),
                KeyLocation::Query(name) => format!("query:{name}"),
                KeyLocation::Path(name) => format!("path:{name}"),
            };
            format!("keyed {at} {}", window / 1000)
        }
    };
    operation.paths.iter().map(|path| format!("{} {path} {effect}", operation.method)).collect()
}
