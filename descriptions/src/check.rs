//! Contradictions in a description, before any request runs.

use std::collections::BTreeMap;

use crate::behaviour::ODDITIES;
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
        neighbours(operation, &operations, &mut own);
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
    calls(&operations, &mut findings);
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
    if let Some(status) =
        operation.responses.iter().map(|r| &r.status).find(|s| ["201", "202"].contains(&s.as_str()))
    {
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

/// A POST beside things that are asked for one by one makes such things: `POST /checks` beside `GET /checks/{id}`.
fn neighbours(operation: &Operation, all: &[Operation], findings: &mut Vec<Finding>) {
    if operation.effect != Effect::Safe || operation.method != "POST" {
        return;
    }
    let below = |path: &str, other: &str| {
        let rest = other.strip_prefix(path.trim_end_matches('/')).and_then(|rest| rest.strip_prefix('/'));
        rest.is_some_and(|rest| rest.starts_with('{') && !rest.contains('/'))
    };
    let neighbour = all.iter().find(|other| {
        ["GET", "PUT", "PATCH", "DELETE"].contains(&other.method.as_str())
            && operation.paths.iter().any(|path| other.paths.iter().any(|other| below(path, other)))
    });
    if let Some(neighbour) = neighbour {
        let what = format!("found {} beside {}, said to be safe", named(operation), named(neighbour));
        findings.push(Finding::at(Code::SafeByName, &operation.place, what));
    }
}

/// What an operation calls, one after the other, fits into its own time.
fn calls(operations: &[Operation], findings: &mut Vec<Finding>) {
    let by_id: BTreeMap<&str, &Operation> =
        operations.iter().filter_map(|o| Some((o.id.as_deref()?, o))).collect();
    for operation in operations.iter().filter(|o| !o.calls.is_empty()) {
        let mut sum = 0_u64;
        for (id, place) in &operation.calls {
            match by_id.get(id.as_str()) {
                Some(called) => sum = sum.saturating_add(called.time.unwrap_or(0)),
                None => {
                    let what = format!(
                        "found {id:?} in x-sloeline-calls, expected an operationId of this description"
                    );
                    findings.push(Finding::at(Code::Extension, place, what));
                }
            }
        }
        if let Some(time) = operation.time.filter(|time| sum > *time) {
            let what = format!(
                "found {} ms for what it calls, expected at most its own {} ms",
                sum / 1000,
                time / 1000
            );
            findings.push(Finding::at(Code::CallsLonger, &operation.place, what));
        }
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
        operation.responses.iter().any(|r| r.status == **status || r.status == range || r.status == "default")
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
        // What behaviour may show can be accepted before it does.
        if !found && !ODDITIES.iter().any(|oddity| oddity.number() == code) {
            let what =
                format!("found {code:?} accepted, expected the code of a finding here that can be accepted");
            findings.push(Finding::at(Code::Accepted, place, what));
        }
    }
}

/// Templates of one method, segment by segment.
#[derive(Default)]
struct Node<'a> {
    literals: BTreeMap<&'a str, Node<'a>>,
    parameter: Option<Box<Node<'a>>>,
    end: Option<&'a str>,
}

impl<'a> Node<'a> {
    fn put(&mut self, path: &'a str) {
        let mut node = self;
        for segment in path.split('/') {
            node = if segment.starts_with('{') {
                node.parameter.get_or_insert_default()
            } else {
                node.literals.entry(segment).or_default()
            };
        }
        node.end.get_or_insert(path);
    }

    /// One that some path matches beside a template, where neither goes first: each is more concrete somewhere, or none
    /// is anywhere. `ahead` tells where the template has been more concrete, and where the other one has.
    fn unclear(&self, segments: &[&str], ahead: (bool, bool)) -> Option<&'a str> {
        let Some((segment, rest)) = segments.split_first() else {
            return self.end.filter(|_| ahead.0 == ahead.1);
        };
        let parameter = self.parameter.as_deref();
        if segment.starts_with('{') {
            let same = parameter.and_then(|node| node.unclear(rest, ahead));
            return same
                .or_else(|| self.literals.values().find_map(|node| node.unclear(rest, (ahead.0, true))));
        }
        let same = self.literals.get(segment).and_then(|node| node.unclear(rest, ahead));
        same.or_else(|| parameter.and_then(|node| node.unclear(rest, (true, ahead.1))))
    }
}

fn overlaps(operations: &[Operation], findings: &mut Vec<Finding>) {
    let mut methods: BTreeMap<&str, Node<'_>> = BTreeMap::new();
    for operation in operations {
        for path in &operation.paths {
            let known = methods.entry(&operation.method).or_default();
            let segments: Vec<&str> = path.split('/').collect();
            // One finding for each operation is enough to be told.
            if let Some(other) = known.unclear(&segments, (false, false)) {
                let what = format!(
                    "found {} {path:?} beside {other:?}: some request matches both",
                    operation.method
                );
                findings.push(Finding::at(Code::Overlap, &operation.place, what));
            }
            known.put(path);
        }
    }
}
