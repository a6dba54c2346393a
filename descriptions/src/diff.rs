//! What changes for clients, and for repeats, between two versions of a description.
//!
//! Clients that were built for the old one go on as they did: they still repeat what was safe, and still put the key where it
//! was. What is dangerous is what makes such a repeat an effect of its own.

use std::collections::BTreeMap;
use std::fmt;

use crate::effect::Effect;
use crate::openapi::Operation;

/// What a change means.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Weight {
    /// Nobody needs to do anything.
    Note,
    /// Clients of the old version may fail.
    Breaking,
    /// A repeat may have an effect of its own.
    Dangerous,
}

/// A change. The codes never change their meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// C001: a repeat that was harmless is not any more.
    Narrowed,
    /// C002: the key stands elsewhere.
    KeyMoved,
    /// C003: keys are remembered for less long.
    WindowShorter,
    /// C004: a repeat that was not harmless is said to be.
    Widened,
    /// C005: it takes longer.
    Slower,
    /// C006: less of a body is taken.
    BodyLess,
    /// C007: a parameter must be there that was not needed.
    Required,
    /// C008: answers of another status.
    Statuses,
    /// C010: an operation is no more.
    Removed,
    /// C011: an operation is no more, and another one takes its requests.
    Caught,
    /// C012: a new operation takes requests of another one.
    Taken,
    /// C013: a new operation.
    Added,
}

impl Kind {
    /// Its number.
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

/// A change, with what was and what is.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// What it is.
    pub kind: Kind,
    /// What it means.
    pub weight: Weight,
    /// The operation, `GET /checks/{}`.
    pub operation: String,
    /// In one line.
    pub what: String,
    /// The line of the operation in the new text, or in the old one where it is no more.
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

/// How much a repeat may be trusted.
fn rank(effect: &Effect) -> u8 {
    match effect {
        Effect::Unsafe => 0,
        Effect::Keyed { .. } => 1,
        Effect::Safe => 2,
    }
}

fn word(effect: &Effect) -> &'static str {
    match effect {
        Effect::Unsafe => "unsafe",
        Effect::Keyed { .. } => "keyed",
        Effect::Safe => "safe",
    }
}

/// A template whose parameters have lost their names.
fn bare(path: &str) -> String {
    let segment = |s: &str| if s.starts_with('{') { "{}".to_owned() } else { s.to_owned() };
    path.split('/').map(segment).collect::<Vec<_>>().join("/")
}

/// Whether some path matches both templates.
fn meet(a: &str, b: &str) -> bool {
    let (a, b): (Vec<&str>, Vec<&str>) = (a.split('/').collect(), b.split('/').collect());
    a.len() == b.len() && a.iter().zip(&b).all(|(x, y)| x == y || *x == "{}" || *y == "{}")
}

/// Whether one template is more concrete where the two differ: it goes first.
fn first(a: &str, b: &str) -> bool {
    a.split('/').zip(b.split('/')).any(|(x, y)| x != "{}" && y == "{}")
        && !a.split('/').zip(b.split('/')).any(|(x, y)| x == "{}" && y != "{}")
}

type Routes<'a> = BTreeMap<(String, String), &'a Operation>;

fn routes(operations: &[Operation]) -> Routes<'_> {
    let each = |o: &'_ Operation| o.paths.iter().map(|p| (o.method.clone(), bare(p))).collect::<Vec<_>>();
    operations.iter().flat_map(|o| each(o).into_iter().map(move |key| (key, o))).collect()
}

/// The operation that would take requests of a template: the most concrete of those that meet it.
fn taker<'a>(routes: &Routes<'a>, method: &str, path: &str) -> Option<(String, &'a Operation)> {
    let mut best: Option<(&str, &'a Operation)> = None;
    for ((m, other), operation) in routes {
        let better = best.is_none_or(|(before, _)| first(other, before));
        if m == method && other != path && first(path, other) && meet(path, other) && better {
            best = Some((other, operation));
        }
    }
    best.map(|(path, operation)| (path.to_owned(), operation))
}

/// All changes, the dangerous ones first.
pub fn diff(old: &[Operation], new: &[Operation]) -> Vec<Change> {
    let (old, new) = (routes(old), routes(new));
    let mut changes = Vec::new();
    for ((method, path), was) in &old {
        let named = format!("{method} {path}");
        let mut add = |kind, weight, what: String, of: &Operation| {
            let (operation, line) = (named.clone(), of.place.node.line);
            changes.push(Change { kind, weight, operation, what, line });
        };
        match new.get(&(method.clone(), path.clone())) {
            Some(is) => same(was, is, &mut |kind, weight, what| add(kind, weight, what, is)),
            None => match taker(&new, method, path) {
                // Whatever it was, its clients now run another operation.
                Some((by, is)) => {
                    let weight = if rank(&is.effect) < rank(&was.effect) || method != "GET" {
                        Weight::Dangerous
                    } else {
                        Weight::Breaking
                    };
                    let what = format!(
                        "is no more, and its requests go to {method} {by}, which is {}",
                        word(&is.effect)
                    );
                    add(Kind::Caught, weight, what, was);
                }
                None => add(Kind::Removed, Weight::Breaking, "is no more".to_owned(), was),
            },
        }
    }
    for ((method, path), is) in new.iter().filter(|(key, _)| !old.contains_key(*key)) {
        let (operation, line) = (format!("{method} {path}"), is.place.node.line);
        let (kind, weight, what) = match taker(&old, method, path) {
            Some((from, was)) => {
                let narrower = rank(&is.effect) < rank(&was.effect);
                let weight = if narrower { Weight::Dangerous } else { Weight::Breaking };
                let what = format!(
                    "is {} and takes requests that went to {method} {from}, which was {}",
                    word(&is.effect),
                    word(&was.effect)
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

/// What changes in one operation.
fn same(was: &Operation, is: &Operation, add: &mut impl FnMut(Kind, Weight, String)) {
    let (before, after) = (word(&was.effect), word(&is.effect));
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
        (old, new) if rank(new) < rank(old) => {
            let what = format!("was {before} and is {after}, while clients still repeat it");
            add(Kind::Narrowed, Weight::Dangerous, what);
        }
        (old, new) if rank(new) > rank(old) => {
            // Nothing here proves it: whoever says so answers for it.
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
