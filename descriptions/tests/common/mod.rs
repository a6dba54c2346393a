//! Reading descriptions that stand in a test.
#![allow(dead_code, reason = "each test file uses its part")]

use std::collections::HashMap;

use sloeline_descriptions::check::{Promises, check};
use sloeline_descriptions::effect::{Effect, KeyAt};
use sloeline_descriptions::findings::{Finding, Severity};
use sloeline_descriptions::openapi::Operation;
use sloeline_descriptions::refs::{Documents, Files};

pub struct Memory(pub HashMap<String, String>);

impl Files for Memory {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or_else(|| format!("{path}: no such file"))
    }
}

/// Operations, and the findings that are not accepted, each by code and line.
pub fn found(files: &[(&str, &str)]) -> (Vec<Operation>, Vec<String>) {
    let memory = Memory(files.iter().map(|(n, t)| ((*n).to_owned(), (*t).to_owned())).collect());
    let promises = Promises { remembers: Some(60_000_000), waits: Some(4_000_000) };
    let (operations, findings) = check(&Documents::new(&memory), "api.yaml", promises);
    for finding in &findings {
        assert!(finding.line > 0 && finding.to_string().contains(finding.code.number()), "{finding}");
    }
    let told = |f: &&Finding| f.stops() || f.code.severity() == Severity::Warning;
    let told = findings.iter().filter(told).filter(|f| f.accepted.is_none());
    (operations, told.map(|f| format!("{}:{}", f.code.number(), f.line)).collect())
}

/// `GET /checks safe`, a line for each path.
pub fn shown(operation: &Operation) -> Vec<String> {
    let effect = match &operation.effect {
        Effect::Safe => "safe".to_owned(),
        Effect::Unsafe => "unsafe".to_owned(),
        Effect::Keyed { key, window } => {
            let at = match key {
                KeyAt::Header(name) => format!("header:{name}"),
                KeyAt::Query(name) => format!("query:{name}"),
                KeyAt::Path(name) => format!("path:{name}"),
            };
            format!("keyed {at} {}", window / 1000)
        }
    };
    operation.paths.iter().map(|path| format!("{} {path} {effect}", operation.method)).collect()
}
