//! Checks descriptions for contradictions.

use std::collections::BTreeMap;

use crate::behaviour::DEVIATIONS;
use crate::effect::{Effect, KeyLocation, leading_action, trailing_action};
use crate::findings::{Code, Finding};
use crate::openapi::{self, Operation};
use crate::refs::Documents;

/// Limits that the operations of a description must fit into, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Promises {
    /// How long the nodes of the pool remember a key.
    pub key_memory: Option<u64>,
    /// How long callers wait for a response.
    pub caller_timeout: Option<u64>,
}

/// Statuses of responses that the balancer itself may give.
const BALANCER_STATUSES: [&str; 4] = ["429", "502", "503", "504"];

/// Reads and checks a description. The findings are sorted by file and line.
pub fn check(documents: &Documents<'_>, file: &str, promises: Promises) -> (Vec<Operation>, Vec<Finding>) {
    let (operations, mut findings) = openapi::read(documents, file);
    for operation in &operations {
        let mut own = Vec::new();
        check_safe(operation, &mut own);
        check_neighbours(operation, &operations, &mut own);
        check_keyed(operation, promises, &mut own);
        check_parameters(operation, &mut own);
        check_responses(operation, &mut own);
        if let (Some(time), Some(waits)) = (operation.time, promises.caller_timeout)
            && time > waits
        {
            let what =
                format!("found {} ms, expected at most {} ms, which callers wait", time / 1000, waits / 1000);
            own.push(Finding::at(Code::TooSlow, &operation.place, what));
        }
        apply_accepted(operation, &mut own, &mut findings);
        findings.append(&mut own);
    }
    check_calls(&operations, &mut findings);
    check_overlaps(&operations, &mut findings);
    findings.sort_by(|a, b| (&a.file, a.line, a.code).cmp(&(&b.file, b.line, b.code)));
    (operations, findings)
}

/// Name of an operation in messages: its method and first path.
fn operation_name(operation: &Operation) -> String {
    let path = operation.paths.first().map_or("", String::as_str);
    format!("{} {path}", operation.method)
}

/// Checks that an operation declared safe does not look as if it had an effect.
fn check_safe(operation: &Operation, findings: &mut Vec<Finding>) {
    if operation.effect != Effect::Safe {
        return;
    }
    let place = &operation.place;
    let writes = !["GET", "HEAD", "OPTIONS", "TRACE"].contains(&operation.method.as_str());
    if writes && operation.has_body {
        let what = format!("found {} with a body, said to be safe", operation_name(operation));
        findings.push(Finding::at(Code::SafeWithBody, place, what));
    }
    if let Some(status) =
        operation.responses.iter().map(|r| &r.status).find(|s| ["201", "202"].contains(&s.as_str()))
    {
        let what = format!("found a response {status} of {}, said to be safe", operation_name(operation));
        findings.push(Finding::at(Code::SafeCreates, place, what));
    }
    let by_id = operation.id.as_deref().and_then(leading_action);
    let by_path = operation.paths.iter().find_map(|path| trailing_action(path));
    if let Some(word) = by_id.or(by_path) {
        let what = format!("found {word:?} in the name of {}, said to be safe", operation_name(operation));
        findings.push(Finding::at(Code::SafeByName, place, what));
    }
}

/// Checks that a POST declared safe is not the operation that creates the items of a collection, as `POST /checks` is if there is
/// a `GET /checks/{id}`.
fn check_neighbours(operation: &Operation, all: &[Operation], findings: &mut Vec<Finding>) {
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
        let what = format!(
            "found {} beside {}, said to be safe",
            operation_name(operation),
            operation_name(neighbour)
        );
        findings.push(Finding::at(Code::SafeByName, &operation.place, what));
    }
}

/// Checks that the operations that an operation calls one after the other fit into its own time.
fn check_calls(operations: &[Operation], findings: &mut Vec<Finding>) {
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

/// Checks that every request of a keyed operation has a key, and that keys are remembered long enough.
fn check_keyed(operation: &Operation, promises: Promises, findings: &mut Vec<Finding>) {
    let Effect::Keyed { key, window } = &operation.effect else { return };
    let (within, name) = match key {
        KeyLocation::Header(name) => ("header", name),
        KeyLocation::Query(name) => ("query", name),
        KeyLocation::Path(name) => ("path", name),
    };
    let declared = operation.parameters.iter().find(|p| p.within == within && p.name == *name);
    match declared {
        None => {
            let what =
                format!("found no parameter {name:?} in {within}, the key of {}", operation_name(operation));
            findings.push(Finding::at(Code::KeyOptional, &operation.place, what));
        }
        Some(parameter) if !parameter.required => {
            let what =
                format!("found {name:?}, the key of {}, that may be left out", operation_name(operation));
            findings.push(Finding::at(Code::KeyOptional, &parameter.place, what));
        }
        Some(_) => {}
    }
    if let Some(remembers) = promises.key_memory.filter(|remembers| window > remembers) {
        let what = format!(
            "found {} ms, expected at most {} ms, which nodes remember",
            window / 1000,
            remembers / 1000
        );
        findings.push(Finding::at(Code::WindowTooLong, &operation.place, what));
    }
}

/// Names of the parameters of a path template.
fn template_parameters(path: &str) -> Vec<&str> {
    path.split('{').skip(1).filter_map(|rest| rest.split_once('}').map(|(name, _)| name)).collect()
}

/// Checks that the parameters of a path and the declared path parameters match.
fn check_parameters(operation: &Operation, findings: &mut Vec<Finding>) {
    let Some(path) = operation.paths.first() else { return };
    let whole = |segment: &str| {
        !segment.contains(['{', '}'])
            || segment.starts_with('{') && segment.ends_with('}') && segment.matches(['{', '}']).count() == 2
    };
    if let Some(segment) = path.split('/').find(|segment| !whole(segment)) {
        let what = format!("found segment {segment:?}, expected a text or one parameter");
        return findings.push(Finding::at(Code::Path, &operation.place, what));
    }
    let names = template_parameters(path);
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

/// Checks that the responses of the balancer itself are described.
fn check_responses(operation: &Operation, findings: &mut Vec<Finding>) {
    let described = |status: &&&str| {
        let range = format!("{}XX", &status[..1]);
        operation.responses.iter().any(|r| r.status == **status || r.status == range || r.status == "default")
    };
    let missing: Vec<&str> = BALANCER_STATUSES.iter().filter(|status| !described(status)).copied().collect();
    if !missing.is_empty() {
        let what = format!("found no response {} of {}", missing.join(", "), operation_name(operation));
        findings.push(Finding::at(Code::Undescribed, &operation.place, what));
    }
}

/// Marks the accepted findings of an operation. A reason without a finding that can be accepted is a finding itself.
fn apply_accepted(operation: &Operation, own: &mut [Finding], findings: &mut Vec<Finding>) {
    for (code, reason, place) in &operation.accepted {
        let mut found = false;
        for finding in own.iter_mut().filter(|f| f.code.number() == code && f.code.acceptable()) {
            finding.accepted = Some(reason.clone());
            found = true;
        }
        // Deviations found at run time can be accepted in advance.
        if !found && !DEVIATIONS.iter().any(|deviation| deviation.number() == code) {
            let what =
                format!("found {code:?} accepted, expected the code of a finding here that can be accepted");
            findings.push(Finding::at(Code::Accepted, place, what));
        }
    }
}

/// Trie of the path templates of one method.
#[derive(Default)]
struct TemplateNode<'a> {
    /// Children by literal segment.
    literals: BTreeMap<&'a str, TemplateNode<'a>>,
    /// Child for a parameter segment.
    parameter: Option<Box<TemplateNode<'a>>>,
    /// The template that ends here.
    end: Option<&'a str>,
}

impl<'a> TemplateNode<'a> {
    /// Adds a path template.
    fn insert(&mut self, path: &'a str) {
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

    /// A template in the trie that matches some path of the given template without precedence between the two: each of them is
    /// more specific in some segment, or neither is in any. `more_specific` tells whether the given template, and the one in
    /// the trie, was more specific in a segment so far.
    fn find_ambiguous(&self, segments: &[&str], more_specific: (bool, bool)) -> Option<&'a str> {
        let Some((segment, rest)) = segments.split_first() else {
            return self.end.filter(|_| more_specific.0 == more_specific.1);
        };
        let parameter = self.parameter.as_deref();
        if segment.starts_with('{') {
            let same = parameter.and_then(|node| node.find_ambiguous(rest, more_specific));
            return same.or_else(|| {
                self.literals.values().find_map(|node| node.find_ambiguous(rest, (more_specific.0, true)))
            });
        }
        let same = self.literals.get(segment).and_then(|node| node.find_ambiguous(rest, more_specific));
        same.or_else(|| parameter.and_then(|node| node.find_ambiguous(rest, (true, more_specific.1))))
    }
}

/// Checks that no request matches two operations without precedence between them.
fn check_overlaps(operations: &[Operation], findings: &mut Vec<Finding>) {
    let mut methods: BTreeMap<&str, TemplateNode<'_>> = BTreeMap::new();
    for operation in operations {
        for path in &operation.paths {
            let known = methods.entry(&operation.method).or_default();
            let segments: Vec<&str> = path.split('/').collect();
            // One finding per path is enough.
            if let Some(other) = known.find_ambiguous(&segments, (false, false)) {
                let what = format!(
                    "found {} {path:?} beside {other:?}: some request matches both",
                    operation.method
                );
                findings.push(Finding::at(Code::Overlap, &operation.place, what));
            }
            known.insert(path);
        }
    }
}
