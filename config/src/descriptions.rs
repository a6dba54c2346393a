//! `[description.NAME]`: routes from what a team describes, or routes by hand held against it.

use std::collections::{BTreeMap, BTreeSet};

use finchshift::{Class, Effect};
use sloeline_descriptions::behaviour::Declared;
use sloeline_descriptions::check::{Promises, check};
use sloeline_descriptions::effect::{Effect as Said, KeyAt};
use sloeline_descriptions::openapi::Operation;
use sloeline_descriptions::refs::{Documents, Files};
use sloeline_routing::pattern::{HostPattern, PathPattern, Route, Segment};

use crate::model::{ClassConfig, Config, Description, RouteConfig, RouteOperation, ValueSource};
use crate::problem::Problems;
use crate::read::{Section, Size, Time};
use crate::routes::{self, Names};

/// Classes that the operations of one description may need beyond those that it names. Guards the pools: each keeps
/// figures for every class at every upstream.
const MOST_CLASSES: usize = 32;
/// Share of answers that are compared with the description.
const COMPARED: f64 = 1.0 / 16.0;

/// Opens the folder that a description lies in.
pub trait DescriptionLoader {
    /// The files beside a description, and its own name among them; the error is one line.
    fn open(&self, path: &str) -> Result<(Box<dyn Files>, String), String>;
}

/// There are none.
pub struct NoDescriptions;

impl DescriptionLoader for NoDescriptions {
    fn open(&self, path: &str) -> Result<(Box<dyn Files>, String), String> {
        Err(format!("{path}: descriptions are not read here"))
    }
}

/// Reads a section.
pub fn section(name: &str, section: Section<'_>, names: &Names) -> Option<Description> {
    let file = section.need::<String>("file", "the file of the description, from this one's folder");
    let hosts = routes::hosts(&section);
    let listeners = routes::listeners(&section, names);
    let split = routes::split(&section, names);
    let class = |key: &'static str| {
        let at = section.get::<String>(key)?;
        routes::known(&section, &at, key, &names.classes, "class");
        Some(at.value)
    };
    let (safe, keyed, unsafe_) = (class("safe"), class("keyed"), class("unsafe"));
    if unsafe_.is_none() {
        let expected = "the class of operations that nothing is said of, and of those that are narrowed";
        section.wrong(&section.span, "unsafe", "nothing", expected);
    }
    let tenant = section.get::<String>("tenant").and_then(|at| {
        let source = routes::source(&at.value, None).ok().filter(|s| !matches!(s, ValueSource::Segment(_)));
        if source.is_none() {
            let expected = "\"header:NAME\", \"query:NAME\" or \"=TEXT\"";
            section.wrong(&at.span, "tenant", format!("{:?}", at.value), expected);
        }
        source
    });
    let deadline = section.get::<Time>("deadline").map(|t| t.value.0).filter(|d| *d > 0);
    let body_limit = section.or("body_limit", Size(64 << 10)).0;
    let compared = section.get::<f64>("compared");
    if let Some(wrong) = compared.as_ref().filter(|c| c.value > 1.0) {
        section.wrong(
            &wrong.span,
            "compared",
            wrong.value.to_string(),
            "a share of the answers, from 0 to 1",
        );
    }
    let by_hand = section.or("by_hand", false);
    let span = section.span.clone();
    section.end();
    Some(Description {
        name: name.to_owned(),
        file: file?.value,
        hosts,
        listeners,
        split: split?,
        safe_class: safe,
        keyed_class: keyed,
        unsafe_class: unsafe_?,
        tenant,
        deadline,
        body_limit,
        compared_share: compared.map_or(COMPARED, |c| c.value.min(1.0)),
        check_only: by_hand,
        span,
    })
}

/// Reads all descriptions, and adds their routes and the classes that these need.
pub fn expand(config: &mut Config, open: &dyn DescriptionLoader, problems: &Problems<'_>) {
    let descriptions: Vec<Description> = config.descriptions.values().cloned().collect();
    for description in &descriptions {
        let operations = operations(config, description, open, problems);
        if description.check_only {
            by_hand(config, description, &operations, problems);
        } else {
            routes_of(config, description, &operations, problems);
        }
    }
}

fn operations(
    config: &Config,
    description: &Description,
    open: &dyn DescriptionLoader,
    problems: &Problems<'_>,
) -> Vec<Operation> {
    let key = format!("description.{}", description.name);
    let (files, name) = match open.open(&description.file) {
        Ok(opened) => opened,
        Err(why) => {
            problems.add(&description.span, &format!("{key}.file"), why, "a description");
            return Vec::new();
        }
    };
    let class = |name: &Option<String>| name.as_ref().and_then(|n| config.classes.get(n)).map(|c| &c.class);
    let remembers = class(&description.keyed_class).and_then(|class| match class.effect {
        Effect::Keyed { window, .. } => Some(window),
        _ => None,
    });
    let all = [
        class(&description.safe_class),
        class(&description.keyed_class),
        class(&Some(description.unsafe_class.clone())),
    ];
    // What the slowest of its callers waits; each operation is held against its own class below.
    let waits = all.into_iter().flatten().map(|c| c.deadline).max();
    let waits = waits.map(|w| description.deadline.map_or(w, |d| d.min(w)));
    let (operations, findings) = check(&Documents::new(files.as_ref()), &name, Promises { remembers, waits });
    for finding in findings.iter().filter(|f| f.accepted.is_none()) {
        let found = format!("{}:{}: {}: {}", finding.file, finding.line, finding.code.number(), finding.what);
        if finding.stops() {
            problems.add(&description.span, &key, found, finding.code.mend());
        } else {
            problems.warn(&description.span, &key, found, finding.code.mend());
        }
    }
    // What is said in error is not what is meant.
    if findings.iter().any(|f| f.stops()) { Vec::new() } else { operations }
}

/// A template as a pattern: its parameters have names of their own here, for a route allows fewer than OpenAPI.
fn pattern(template: &str) -> Result<PathPattern, String> {
    let mut at = 0;
    let bare: Vec<String> = template
        .split('/')
        .map(|segment| {
            at += 1;
            if segment.starts_with('{') { format!("{{p{at}}}") } else { segment.to_owned() }
        })
        .collect();
    PathPattern::parse(&bare.join("/"), false).map_err(|why| why.to_string())
}

/// Where the key stands, in a path of this template.
fn key(at: &KeyAt, template: &str) -> Option<ValueSource> {
    match at {
        KeyAt::Header(name) => Some(ValueSource::Header(name.clone())),
        KeyAt::Query(name) => Some(ValueSource::Query(name.clone())),
        KeyAt::Path(name) => {
            let wanted = format!("{{{name}}}");
            template.split('/').skip(1).position(|segment| segment == wanted).map(ValueSource::Segment)
        }
    }
}

/// The class of an operation: the one that its description names for its effect, or one made from it for its window, time
/// and worth.
fn class_of(
    config: &Config,
    description: &Description,
    operation: &Operation,
) -> Result<(String, Class), String> {
    let (name, word) = match operation.effect {
        Said::Safe => (description.safe_class.as_ref(), "safe"),
        Said::Keyed { .. } => (description.keyed_class.as_ref(), "keyed"),
        Said::Unsafe => (Some(&description.unsafe_class), "unsafe"),
    };
    let name = name.ok_or_else(|| format!("no class for operations that are {word}"))?;
    let base = &config.classes.get(name).ok_or_else(|| format!("no class {name:?}"))?.class;
    let mut class = base.clone();
    let mut named = name.clone();
    match (&operation.effect, base.effect) {
        (Said::Safe, Effect::Safe) | (Said::Unsafe, Effect::Unsafe) => {}
        (Said::Keyed { window, .. }, Effect::Keyed { group, window: most }) if *window <= most => {
            if *window < most {
                class.effect = Effect::Keyed { group, window: *window };
                named += &format!(":window={}us", window);
            }
        }
        _ => return Err(format!("the class {name:?}, which is not {word}")),
    }
    // An aim is what callers want: an operation that takes less is not wanted sooner.
    if let Some(time) = operation.time.filter(|time| *time > class.latency_target) {
        if time > class.deadline {
            let (time, deadline) = (time / 1000, class.deadline / 1000);
            return Err(format!("{time} ms in the class {name:?}, whose callers wait {deadline} ms"));
        }
        class.latency_target = time;
        named += &format!(":aim={time}us");
    }
    if let Some(worth) = operation.worth.filter(|worth| *worth != class.value) {
        class.value = worth;
        named += &format!(":worth={worth}");
    }
    Ok((named, class))
}

fn routes_of(
    config: &mut Config,
    description: &Description,
    operations: &[Operation],
    problems: &Problems<'_>,
) {
    let table = format!("description.{}", description.name);
    let mut made: BTreeMap<String, Class> = BTreeMap::new();
    for operation in operations {
        let at = format!("{}:{}", operation.place.file, operation.place.node.line);
        let wrong = |found: String, expected: &str| {
            problems.add(&description.span, &table, format!("{at}: {found}"), expected);
        };
        if operation.method == "TRACE" {
            wrong("TRACE".to_owned(), "a method that is served");
            continue;
        }
        let (class, definition) = match class_of(config, description, operation) {
            Ok(found) => found,
            Err(why) => {
                wrong(why, "classes of each effect whose operations are described");
                continue;
            }
        };
        for template in &operation.paths {
            let path = match pattern(template) {
                Ok(path) => path,
                Err(why) => {
                    wrong(format!("{template:?}: {why}"), "a path that a route can have");
                    continue;
                }
            };
            let key = match &operation.effect {
                Said::Keyed { key: at, .. } => key(at, template),
                _ => None,
            };
            let tenant =
                operation.tenant.clone().map(ValueSource::Fixed).or_else(|| description.tenant.clone());
            // The description's own checks stand for the assertion.
            let asserted = operation.effect == Said::Safe && !SAFE.contains(&operation.method.as_str());
            let name = format!("{} {} {template}", description.name, operation.method);
            let body_limit = operation.body_limit.and_then(|l| usize::try_from(l).ok());
            config.routes.push(RouteConfig {
                route: Route {
                    name: name.clone(),
                    hosts: description.hosts.clone(),
                    methods: vec![operation.method.clone()],
                    path,
                    conditions: Vec::new(),
                },
                listeners: description.listeners.clone(),
                split: description.split.clone(),
                sticky: None,
                classes: vec![class.clone()],
                class_header: None,
                tenant,
                key,
                deadline: description.deadline,
                body_limit: body_limit.unwrap_or(description.body_limit),
                assertions: if asserted { vec!["write-method-is-safe".to_owned()] } else { Vec::new() },
                operation: Some(RouteOperation {
                    name,
                    declared: Declared::of(operation, description.compared_share),
                    restricted_class: description.unsafe_class.clone(),
                }),
                span: description.span.clone(),
            });
        }
        if !config.classes.contains_key(&class) {
            made.insert(class, definition);
        }
    }
    if made.len() > MOST_CLASSES {
        let found = format!("{} classes for windows, times and worths of operations", made.len());
        problems.add(&description.span, &table, found, format!("at most {MOST_CLASSES}"));
        return;
    }
    let named = |class| ClassConfig { class, assertions: Vec::new(), span: description.span.clone() };
    config.classes.extend(made.into_iter().map(|(name, class)| (name, named(class))));
}

const SAFE: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Whether every path of one pattern is one of the other.
fn within(inner: &PathPattern, outer: &PathPattern) -> bool {
    let segment = |(inner, outer): (&Segment, &Segment)| match (inner, outer) {
        (_, Segment::Parameter(_)) => true,
        (Segment::Literal(a), Segment::Literal(b)) => a == b,
        _ => false,
    };
    let length = inner.segments.len() == outer.segments.len()
        || outer.prefix && inner.segments.len() > outer.segments.len();
    length && inner.segments.iter().zip(&outer.segments).all(segment)
}

/// Whether some path is of both patterns, one of which is no prefix.
fn meet(exact: &PathPattern, route: &PathPattern) -> bool {
    let segment = |(a, b): (&Segment, &Segment)| match (a, b) {
        (Segment::Literal(a), Segment::Literal(b)) => a == b,
        _ => true,
    };
    let length = exact.segments.len() == route.segments.len()
        || route.prefix && exact.segments.len() > route.segments.len();
    length && exact.segments.iter().zip(&route.segments).all(segment)
}

/// How far a repeat may go: no further than a description says.
fn wider(class: &Class, key: Option<&ValueSource>, operation: &Operation, template: &str) -> Option<String> {
    match (class.effect, &operation.effect) {
        (Effect::Unsafe, _) | (Effect::Safe, Said::Safe) => None,
        (Effect::Safe, _) => Some("a class that may be repeated at will".to_owned()),
        (Effect::Keyed { .. }, Said::Safe) => None,
        (Effect::Keyed { .. }, Said::Unsafe) => Some("a keyed class".to_owned()),
        (Effect::Keyed { window, .. }, Said::Keyed { key: at, window: described }) => {
            if self::key(at, template).as_ref() != key {
                Some("a key that stands elsewhere".to_owned())
            } else if window > *described {
                Some(format!("a window of {} ms, longer than described", window / 1000))
            } else {
                None
            }
        }
    }
}

/// Routes that were written by hand, held against the description of what they lead to.
fn by_hand(config: &Config, description: &Description, operations: &[Operation], problems: &Problems<'_>) {
    if operations.is_empty() {
        return;
    }
    let pools: BTreeSet<&String> = description.split.iter().map(|(pool, _)| pool).collect();
    let host = |route: &RouteConfig| {
        let any = |h: &HostPattern| *h == HostPattern::Any;
        route.route.hosts.iter().any(|h| any(h) || description.hosts.iter().any(|d| any(d) || d == h))
    };
    let mine: Vec<&RouteConfig> = config
        .routes
        .iter()
        .filter(|r| r.split.iter().any(|(pool, _)| pools.contains(pool)) && host(r))
        .filter(|r| r.listeners.iter().any(|l| description.listeners.contains(l)))
        .collect();
    let table = format!("description.{}", description.name);
    let mut met: BTreeSet<&str> = BTreeSet::new();
    for operation in operations {
        for template in &operation.paths {
            let at = format!(
                "{}:{}: {} {template}",
                operation.place.file, operation.place.node.line, operation.method
            );
            let Ok(path) = pattern(template) else { continue };
            let fits: Vec<&&RouteConfig> = mine
                .iter()
                .filter(|r| r.route.allows_method(&operation.method) && meet(&path, &r.route.path))
                .collect();
            met.extend(fits.iter().map(|r| r.route.name.as_str()));
            let whole = |r: &&&RouteConfig| r.route.conditions.is_empty() && within(&path, &r.route.path);
            if !fits.iter().any(whole) {
                let found = format!("D050: {at}, which no route takes whatever its headers");
                problems.add(&description.span, &table, found, "a route, or one operation less");
            }
            for route in fits {
                let classes = route.classes.iter().filter_map(|name| Some((name, config.classes.get(name)?)));
                for (name, class) in classes {
                    if let Some(what) = wider(&class.class, route.key.as_ref(), operation, template) {
                        let found = format!("D052: {what}, {name:?}, for {at}");
                        let key = format!("route {:?}", route.route.name);
                        problems.add(&route.span, &key, found, "a class no wider than described");
                    }
                }
            }
        }
    }
    for route in mine.iter().filter(|r| !met.contains(r.route.name.as_str())) {
        let found = format!("D051: no operation of {}", description.file);
        let key = format!("route {:?}", route.route.name);
        problems.warn(&route.span, &key, found, "an operation, or one route less");
    }
}
