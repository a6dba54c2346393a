//! Compares two versions of a description and lists what changes for clients and repeats.
//!
//! Clients that were built for the old version keep repeating requests that were safe then, and keep sending the key in its old
//! place. A change is dangerous if such a repeat may now have a second effect.

use std::collections::BTreeMap;
use std::fmt;

use crate::effect::Effect;
use crate::openapi::Operation;

/// Severity of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// No action is needed.
    Note,
    /// Clients of the old version may fail.
    Breaking,
    /// A repeat may have a second effect.
    Dangerous,
}

/// Kind of a change. A code never changes its meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// C001: repeats were harmless and are no longer.
    Narrowed,
    /// C002: requests carry the key in another place.
    KeyMoved,
    /// C003: keys are remembered for a shorter time.
    WindowShorter,
    /// C004: repeats were not harmless and are declared to be now.
    Widened,
    /// C005: the operation takes longer.
    Slower,
    /// C006: the maximum body size is smaller.
    BodyLess,
    /// C007: a parameter is required that was not.
    Required,
    /// C008: the response statuses differ.
    Statuses,
    /// C010: an operation was removed.
    Removed,
    /// C011: an operation was removed, and another one matches its requests.
    Caught,
    /// C012: a new operation matches requests that went to another one.
    Taken,
    /// C013: an operation was added.
    Added,
}

impl Kind {
    /// The code as it is shown, such as `C001`.
    pub fn number(self) -> &'static str {
        match self {
            Kind::Narrowed => "C001",
            Kind::KeyMoved => "C002",
            Kind::WindowShorter => "C003",
            Kind::Widened => "C004",
            Kind::Slower => "C005",
            Kind::BodyLess => "C006",
            Kind::Required => "C007",
            Kind::Statuses => "C008",
            Kind::Removed => "C010",
            Kind::Caught => "C011",
            Kind::Taken => "C012",
            Kind::Added => "C013",
        }
    }
}

/// A change of one operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Kind of the change.
    pub kind: Kind,
    /// Severity of the change.
    pub weight: Weight,
    /// Method and path of the operation, such as `GET /checks/{}`.
    pub operation: String,
    /// Description of the change, in one line.
    pub what: String,
    /// Line of the operation in the new version; in the old one if the operation was removed.
    pub line: usize,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let weight = match self.weight {
            Weight::Note => "note",
            Weight::Breaking => "breaking",
            Weight::Dangerous => "dangerous",
        };
        write!(f, "{weight} {}: {}: {} (line {})", self.kind.number(), self.operation, self.what, self.line)
    }
}

/// Rank of an effect: the higher, the safer repeats are.
fn repeat_trust(effect: &Effect) -> u8 {
    match effect {
        Effect::Unsafe => 0,
        Effect::Keyed { .. } => 1,
        Effect::Safe => 2,
    }
}

/// Name of an effect in messages.
fn effect_name(effect: &Effect) -> &'static str {
    match effect {
        Effect::Unsafe => "unsafe",
        Effect::Keyed { .. } => "keyed",
        Effect::Safe => "safe",
    }
}

/// Path template without the names of its parameters.
fn without_names(path: &str) -> String {
    let segment = |s: &str| if s.starts_with('{') { "{}".to_owned() } else { s.to_owned() };
    path.split('/').map(segment).collect::<Vec<_>>().join("/")
}

/// Whether some path matches both templates.
fn may_overlap(a: &str, b: &str) -> bool {
    let (a, b): (Vec<&str>, Vec<&str>) = (a.split('/').collect(), b.split('/').collect());
    a.len() == b.len() && a.iter().zip(&b).all(|(x, y)| x == y || *x == "{}" || *y == "{}")
}

/// Whether template `a` takes precedence over `b`: it is more specific wherever the two differ.
fn takes_precedence(a: &str, b: &str) -> bool {
    a.split('/').zip(b.split('/')).any(|(x, y)| x != "{}" && y == "{}")
        && !a.split('/').zip(b.split('/')).any(|(x, y)| x == "{}" && y != "{}")
}

/// Operations by method and normalized path template.
type Routes<'a> = BTreeMap<(String, String), &'a Operation>;

/// Indexes operations by their routes.
fn operations_by_route(operations: &[Operation]) -> Routes<'_> {
    let each =
        |o: &'_ Operation| o.paths.iter().map(|p| (o.method.clone(), without_names(p))).collect::<Vec<_>>();
    operations.iter().flat_map(|o| each(o).into_iter().map(move |key| (key, o))).collect()
}

/// The operation that matches the requests of a template once the template's own operation is gone: the most specific of those
/// that take precedence over it.
fn find_taker<'a>(routes: &Routes<'a>, method: &str, path: &str) -> Option<(String, &'a Operation)> {
    let mut best: Option<(&str, &'a Operation)> = None;
    for ((m, other), operation) in routes {
        let better = best.is_none_or(|(before, _)| takes_precedence(other, before));
        if m == method && other != path && takes_precedence(path, other) && may_overlap(path, other) && better
        {
            best = Some((other, operation));
        }
    }
    best.map(|(path, operation)| (path.to_owned(), operation))
}

/// All changes, dangerous ones first.
pub fn diff(old: &[Operation], new: &[Operation]) -> Vec<Change> {
    let (old, new) = (operations_by_route(old), operations_by_route(new));
    let mut changes = Vec::new();
    for ((method, path), was) in &old {
        let named = format!("{method} {path}");
        let mut add = |kind, weight, what: String, of: &Operation| {
            let (operation, line) = (named.clone(), of.place.node.line);
            changes.push(Change { kind, weight, operation, what, line });
        };
        match new.get(&(method.clone(), path.clone())) {
            Some(is) => compare_operations(was, is, &mut |kind, weight, what| add(kind, weight, what, is)),
            None => match find_taker(&new, method, path) {
                // Clients of the removed operation now run another one.
                Some((by, is)) => {
                    let weight = if repeat_trust(&is.effect) < repeat_trust(&was.effect) || method != "GET" {
                        Weight::Dangerous
                    } else {
                        Weight::Breaking
                    };
                    let what = format!(
                        "is no more, and its requests go to {method} {by}, which is {}",
                        effect_name(&is.effect)
                    );
                    add(Kind::Caught, weight, what, was);
                }
                None => add(Kind::Removed, Weight::Breaking, "is no more".to_owned(), was),
            },
        }
    }
    for ((method, path), is) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        let (operation, line) = (format!("{method} {path}"), is.place.node.line);
        let (kind, weight, what) = match find_taker(&old, method, path) {
            Some((from, was)) => {
                let narrower = repeat_trust(&is.effect) < repeat_trust(&was.effect);
                let weight = if narrower { Weight::Dangerous } else { Weight::Breaking };
                let what = format!(
                    "is {} and takes requests that went to {method} {from}, which was {}",
                    effect_name(&is.effect),
                    effect_name(&was.effect)
                );
                (Kind::Taken, weight, what)
            }
            None => (Kind::Added, Weight::Note, "is new".to_owned()),
        };
        changes.push(Change { kind, weight, operation, what, line });
    }
    changes.sort_by(|a, b| (b.weight, a.kind, &a.operation).cmp(&(a.weight, b.kind, &b.operation)));
    changes
}

/// Compares two versions of an operation.
fn compare_operations(was: &Operation, is: &Operation, add: &mut impl FnMut(Kind, Weight, String)) {
    let (before, after) = (effect_name(&was.effect), effect_name(&is.effect));
    match (&was.effect, &is.effect) {
        (Effect::Keyed { key: old, window: long }, Effect::Keyed { key: new, window: short }) => {
            if old != new {
                let what =
                    format!("its key was {old:?} and is {new:?}: repeats of old clients are not known");
                add(Kind::KeyMoved, Weight::Dangerous, what);
            }
            if short < long {
                let what =
                    format!("keys were remembered for {} ms and are for {} ms", long / 1000, short / 1000);
                add(Kind::WindowShorter, Weight::Dangerous, what);
            }
        }
        (old, new) if repeat_trust(new) < repeat_trust(old) => {
            let what = format!("was {before} and is {after}, while clients still repeat it");
            add(Kind::Narrowed, Weight::Dangerous, what);
        }
        (old, new) if repeat_trust(new) > repeat_trust(old) => {
            // Nothing proves that the new declaration is right, so it is reported as dangerous.
            let what = format!("was {before} and is {after}: from now on it is sent again");
            add(Kind::Widened, Weight::Dangerous, what);
        }
        _ => {}
    }
    if let (Some(fast), Some(slow)) = (was.time, is.time)
        && slow > fast
    {
        add(Kind::Slower, Weight::Note, format!("took {} ms and takes {} ms", fast / 1000, slow / 1000));
    }
    let less = match (was.body_limit, is.body_limit) {
        (Some(much), Some(little)) => little < much,
        (None, Some(_)) => true,
        _ => false,
    };
    if less {
        let what = format!("bodies may have {} bytes, less than before", is.body_limit.unwrap_or(0));
        add(Kind::BodyLess, Weight::Breaking, what);
    }
    for parameter in is.parameters.iter().filter(|p| p.required && p.within != "path") {
        let before = was.parameters.iter().find(|p| p.name == parameter.name && p.within == parameter.within);
        if before.is_none_or(|p| !p.required) {
            let what = format!("needs {:?} in {}, which was not needed", parameter.name, parameter.within);
            add(Kind::Required, Weight::Breaking, what);
        }
    }
    let statuses = |o: &Operation| o.responses.iter().map(|r| r.status.clone()).collect::<Vec<_>>();
    let (before, after) = (statuses(was), statuses(is));
    let gone: Vec<&String> = before.iter().filter(|s| !after.contains(s)).collect();
    let come: Vec<&String> = after.iter().filter(|s| !before.contains(s)).collect();
    if !gone.is_empty() || !come.is_empty() {
        let what = format!("answers: no more {gone:?}, new {come:?}");
        add(Kind::Statuses, Weight::Note, what);
    }
}
