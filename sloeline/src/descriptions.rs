//! `sloeline operations FILE`: what a description of an interface says of repeats, and what contradicts itself in it.

use std::fmt::Write;
use std::path::Path;

use finchshift::Micros;
use serde::Serialize;
use serde_json::json;
use sloeline_descriptions::check::{Promises, check};
use sloeline_descriptions::diff::{Weight, diff};
use sloeline_descriptions::effect::{Effect, EffectSource, KeyLocation};
use sloeline_descriptions::findings::{Code, Finding, Severity};
use sloeline_descriptions::folder::Folder;
use sloeline_descriptions::openapi::Operation;
use sloeline_descriptions::refs::Documents;

/// A finding for tools.
#[derive(Serialize)]
struct Told<'a> {
    code: &'static str,
    severity: &'static str,
    file: &'a str,
    line: usize,
    pointer: &'a str,
    message: &'a str,
    mend: &'static str,
    accepted: Option<&'a str>,
}

/// How findings are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Form {
    /// What each operation is, then the findings, a line each.
    Text,
    /// The findings as a list of objects.
    Json,
    /// The findings as SARIF 2.1.0 (OASIS), for code hosts and editors.
    Sarif,
}

/// A span such as `250ms`; the error is for the command line.
pub fn span(text: &str) -> Result<Micros, String> {
    let expected = || format!("found {text:?}, expected a span such as \"250ms\", \"4s\" or \"2min\"");
    let at = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(expected)?;
    let (number, unit) = text.split_at(at);
    let factor = match unit {
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 60e6,
        _ => return Err(expected()),
    };
    let number: f64 = number.parse().map_err(|_| expected())?;
    let span = number * factor;
    if span > 0.0 && span < 1e15 { Ok(span as Micros) } else { Err(expected()) }
}

fn row(operation: &Operation) -> String {
    let (effect, why) = match (&operation.effect, operation.effect_source) {
        (Effect::Safe, EffectSource::Method) => ("safe", "by its method".to_owned()),
        (Effect::Safe, _) => ("safe", "by extension".to_owned()),
        (Effect::Keyed { key, window }, _) => {
            let key = match key {
                KeyLocation::Header(name) => format!("header:{name}"),
                KeyLocation::Query(name) => format!("query:{name}"),
                KeyLocation::Path(name) => format!("path:{name}"),
            };
            ("keyed", format!("{key} for {} ms, by extension", window / 1000))
        }
        (Effect::Unsafe, EffectSource::Extension) => ("unsafe", "by extension".to_owned()),
        (Effect::Unsafe, _) => ("unsafe", "nothing says otherwise".to_owned()),
    };
    let mut rows = String::new();
    for path in &operation.paths {
        let _ = writeln!(rows, "{:<7} {path:<28} {effect:<7} {why}", operation.method);
    }
    rows
}

fn as_json(findings: &[Finding]) -> Result<String, String> {
    fn told(f: &Finding) -> Told<'_> {
        Told {
            code: f.code.number(),
            severity: f.severity(),
            file: &f.file,
            line: f.line,
            pointer: &f.pointer,
            message: &f.what,
            mend: f.code.remedy(),
            accepted: f.accepted.as_deref(),
        }
    }
    let all: Vec<Told<'_>> = findings.iter().map(told).collect();
    serde_json::to_string_pretty(&all).map(|text| text + "\n").map_err(|e| e.to_string())
}

/// SARIF 2.1.0: sections 3.19 (driver), 3.27 (result), 3.35 (suppression).
fn sarif(findings: &[Finding]) -> Result<String, String> {
    let rule = |code: &Code| json!({"id": code.number(), "help": {"text": code.remedy()}});
    let result = |f: &Finding| {
        let level = if f.code.severity() == Severity::Error { "error" } else { "warning" };
        let mut result = json!({
            "ruleId": f.code.number(),
            "level": level,
            "message": {"text": f.what},
            "locations": [{
                "physicalLocation": {
                    "artifactLocation": {"uri": f.file},
                    "region": {"startLine": f.line},
                },
                "logicalLocations": [{"fullyQualifiedName": f.pointer}],
            }],
        });
        if let Some(reason) = &f.accepted {
            result["suppressions"] = json!([{"kind": "inSource", "justification": reason}]);
        }
        result
    };
    let driver = json!({
        "name": "sloeline",
        "version": env!("CARGO_PKG_VERSION"),
        "rules": Code::ALL.iter().map(rule).collect::<Vec<_>>(),
    });
    let all = json!({
        "version": "2.1.0",
        "$schema": "https://json.schemastore.org/sarif-2.1.0.json",
        "runs": [{"tool": {"driver": driver}, "results": findings.iter().map(result).collect::<Vec<_>>()}],
    });
    serde_json::to_string_pretty(&all).map(|text| text + "\n").map_err(|e| e.to_string())
}

fn read(file: &Path, promises: Promises) -> Result<(Vec<Operation>, Vec<Finding>), String> {
    let folder = file.parent().filter(|f| !f.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let name = file.file_name().and_then(|n| n.to_str());
    let name = name.ok_or_else(|| format!("{}: expected the name of a file", file.display()))?;
    Ok(check(&Documents::new(&Folder::new(folder)?), name, promises))
}

/// What changes between two versions of a description, and how many of the changes are dangerous. A version with errors is
/// not compared: what it says is not what it means.
pub fn changes(old: &Path, new: &Path) -> Result<(String, usize), String> {
    let mut versions = Vec::new();
    for file in [old, new] {
        let (operations, findings) = read(file, Promises::default())?;
        if let Some(finding) = findings.iter().find(|f| f.is_blocking()) {
            return Err(format!("{finding}"));
        }
        versions.push(operations);
    }
    let changes = diff(&versions[0], &versions[1]);
    let text = changes.iter().map(|change| format!("{change}\n")).collect();
    Ok((text, changes.iter().filter(|c| c.weight == Weight::Dangerous).count()))
}

/// What a description says, for people or for tools, and how many findings keep it from being used.
pub fn operations(file: &Path, promises: Promises, form: Form) -> Result<(String, usize), String> {
    let (operations, findings) = read(file, promises)?;
    let stops = findings.iter().filter(|f| f.is_blocking()).count();
    match form {
        Form::Json => return Ok((as_json(&findings)?, stops)),
        Form::Sarif => return Ok((sarif(&findings)?, stops)),
        Form::Text => {}
    }
    let mut text: String = operations.iter().map(row).collect();
    findings.iter().for_each(|finding| {
        let _ = writeln!(text, "{finding}");
    });
    Ok((text, stops))
}
