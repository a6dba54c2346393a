//! Contradictions in a description, before any request runs.

use std::collections::BTreeMap;

use crate::effect::{Effect, KeyAt, ending, verb};
use crate::findings::{Code, Finding};
use crate::openapi::{self, Operation};
use crate::refs::Documents;

/// What the other side promises, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Promises {
    /// How long nodes remember a key.
    pub remembers: Option<u64>,
    /// How long callers wait.
    pub waits: Option<u64>,
}

/// Answers that the balancer itself may give.
const OWN: [&str; 4] = ["429", "502", "503", "504"];

/// Reads a description and checks it; findings come in the order of their lines.
pub fn check(documents: &Documents<'_>, file: &str, promises: Promises) -> (Vec<Operation>, Vec<Finding>) {
    let (operations, mut findings) = openapi::read(documents, file);
    for operation in &operations {
        let mut own = Vec::new();
        safe(operation, &mut own);
        keyed(operation, promises, &mut own);
        parameters(operation, &mut own);
        answers(operation, &mut own);
        if let (Some(time), Some(waits)) = (operation.time, promises.waits)
            && time > waits
        {
            let what =
                format!("found {} ms, expected at most {} ms, which callers wait", time / 1000, waits / 1000);
            own.push(Finding::at(Code::TooSlow, &operation.place, what));
        }
        accept(operation, &mut own, &mut findings);
        findings.append(&mut own);
    }
    overlaps(&operations, &mut findings);
    findings.sort_by(|a, b| (&a.file, a.line, a.code).cmp(&(&b.file, b.line, b.code)));
    (operations, findings)
}

fn named(operation: &Operation) -> String {
    let path = operation.paths.first().map_or("", String::as_str);
    format!("{} {path}", operation.method)
}

/// What is said to be safe must not look as if it did something.
fn safe(operation: &Operation, findings: &mut Vec<Finding>) {
    if operation.effect != Effect::Safe {
        return;
    }
    let place = &operation.place;
    let writes = !["GET", "HEAD", "OPTIONS", "TRACE"].contains(&operation.method.as_str());
    if writes && operation.has_body {
        let what = format!("found {} with a body, said to be safe", named(operation));
        findings.push(Finding::at(Code::SafeWithBody, place, what));
    }
    if let Some(status) = operation.statuses.iter().find(|s| ["201", "202"].contains(&s.as_str())) {
        let what = format!("found a response {status} of {}, said to be safe", named(operation));
        findings.push(Finding::at(Code::SafeCreates, place, what));
    }
    let by_id = operation.id.as_deref().and_then(verb);
    let by_path = operation.paths.iter().find_map(|path| ending(path));
    if let Some(word) = by_id.or(by_path) {
        let what = format!("found {word:?} in the name of {}, said to be safe", named(operation));
        findings.push(Finding::at(Code::SafeByName, place, what));
    }
}

/// A key must be there in every request, and be remembered for as long as it is relied on.
fn keyed(operation: &Operation, promises: Promises, findings: &mut Vec<Finding>) {
    let Effect::Keyed { key, window } = &operation.effect else { return };
    let (within, name) = match key {
        KeyAt::Header(name) => ("header", name),
        KeyAt::Query(name) => ("query", name),
        KeyAt::Path(name) => ("path", name),
    };
    let declared = operation.parameters.iter().find(|p| p.within == within && p.name == *name);
    match declared {
        None => {
            let what = format!("found no parameter {name:?} in {within}, the key of {}", named(operation));
            findings.push(Finding::at(Code::KeyOptional, &operation.place, what));
        }
        Some(parameter) if !parameter.required => {
            let what = format!("found {name:?}, the key of {}, that may be left out", named(operation));
            findings.push(Finding::at(Code::KeyOptional, &parameter.place, what));
        }
        Some(_) => {}
    }
    if let Some(remembers) = promises.remembers.filter(|remembers| window > remembers) {
        let what = format!(
            "found {} ms, expected at most {} ms, which nodes remember",
            window / 1000,
            remembers / 1000
        );
        findings.push(Finding::at(Code::WindowTooLong, &operation.place, what));
    }
}

/// The names between braces of a path.
fn templates(path: &str) -> Vec<&str> {
    path.split('{').skip(1).filter_map(|rest| rest.split_once('}').map(|(name, _)| name)).collect()
}

fn parameters(operation: &Operation, findings: &mut Vec<Finding>) {
    let Some(path) = operation.paths.first() else { return };
    let whole = |segment: &str| {
        !segment.contains(['{', '}'])
            || segment.starts_with('{') && segment.ends_with('}') && segment.matches(['{', '}']).count() == 2
    };
    if let Some(segment) = path.split('/').find(|segment| !whole(segment)) {
        let what = format!("found segment {segment:?}, expected a text or one parameter");
        return findings.push(Finding::at(Code::Path, &operation.place, what));
    }
    let names = templates(path);
    for (at, name) in names.iter().enumerate() {
        let declared = operation.parameters.iter().find(|p| p.within == "path" && p.name == *name);
        let wrong = match declared {
            _ if names[..at].contains(name) => Some("stands twice"),
            None => Some("is not declared"),
            Some(p) if !p.required => Some("is not required: true"),
            Some(_) => None,
        };
        if let Some(wrong) = wrong {
            let what = format!("found {{{name}}} in {path:?}, which {wrong}");
            findings.push(Finding::at(Code::Parameters, &operation.place, what));
        }
    }
    for parameter in
        operation.parameters.iter().filter(|p| p.within == "path" && !names.contains(&p.name.as_str()))
    {
        let what = format!("found parameter {:?} in path, which {path:?} has not", parameter.name);
        findings.push(Finding::at(Code::Parameters, &parameter.place, what));
    }
}

fn answers(operation: &Operation, findings: &mut Vec<Finding>) {
    let described = |status: &&&str| {
        let range = format!("{}XX", &status[..1]);
        operation.statuses.iter().any(|s| s == **status || *s == range || s == "default")
    };
    let missing: Vec<&str> = OWN.iter().filter(|status| !described(status)).copied().collect();
    if !missing.is_empty() {
        let what = format!("found no response {} of {}", missing.join(", "), named(operation));
        findings.push(Finding::at(Code::Undescribed, &operation.place, what));
    }
}

/// Puts reasons to findings; a reason for nothing, or for what can't be accepted, is a finding itself.
fn accept(operation: &Operation, own: &mut [Finding], findings: &mut Vec<Finding>) {
    for (code, reason, place) in &operation.accepted {
        let mut found = false;
        for finding in own.iter_mut().filter(|f| f.code.number() == code && f.code.acceptable()) {
            finding.accepted = Some(reason.clone());
            found = true;
        }
        if !found {
            let what =
                format!("found {code:?} accepted, expected the code of a finding here that can be accepted");
            findings.push(Finding::at(Code::Accepted, place, what));
        }
    }
}

/// How two templates stand to each other.
#[derive(PartialEq)]
enum Stand {
    /// No path matches both.
    Apart,
    /// One is as concrete in every segment, and more in one: it goes first.
    Ordered,
    /// Some path matches both, and neither goes first.
    Unclear,
}

fn stand(a: &str, b: &str) -> Stand {
    let (a, b): (Vec<&str>, Vec<&str>) = (a.split('/').collect(), b.split('/').collect());
    if a.len() != b.len() {
        return Stand::Apart;
    }
    let (mut first, mut second) = (false, false);
    for (x, y) in a.iter().zip(&b) {
        match (x.starts_with('{'), y.starts_with('{')) {
            (false, false) if x != y => return Stand::Apart,
            (false, true) => first = true,
            (true, false) => second = true,
            _ => {}
        }
    }
    if first != second { Stand::Ordered } else { Stand::Unclear }
}

fn overlaps(operations: &[Operation], findings: &mut Vec<Finding>) {
    // Only templates of one method and length can meet.
    let mut groups: BTreeMap<(&str, usize), Vec<(&str, &Operation)>> = BTreeMap::new();
    for operation in operations {
        for path in &operation.paths {
            let key = (operation.method.as_str(), path.split('/').count());
            groups.entry(key).or_default().push((path, operation));
        }
    }
    for group in groups.values() {
        for (at, (path, operation)) in group.iter().enumerate() {
            // One finding for each operation is enough to be told.
            let meets = group[..at].iter().find(|(other, _)| stand(path, other) == Stand::Unclear);
            if let Some((other, _)) = meets {
                let what = format!(
                    "found {} {path:?} beside {other:?}: some request matches both",
                    operation.method
                );
                findings.push(Finding::at(Code::Overlap, &operation.place, what));
            }
        }
    }
}
