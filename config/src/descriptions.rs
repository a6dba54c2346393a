//! Reads `[description.NAME]` and generates routes from interface descriptions, or checks handwritten routes against
//! them.

use std::collections::{BTreeMap, BTreeSet};

use finchshift::{Class, Effect};
use sloeline_descriptions::behaviour::Declared;
use sloeline_descriptions::check::{Promises, check};
use sloeline_descriptions::effect::{Effect as DeclaredEffect, KeyLocation};
use sloeline_descriptions::openapi::Operation;
use sloeline_descriptions::refs::{Documents, Files};
use sloeline_routing::pattern::{HostPattern, PathPattern, Route, Segment};

use crate::model::{ClassConfig, Config, Description, RouteConfig, RouteOperation, ValueSource};
use crate::problem::Problems;
use crate::read::{ByteSize, Section, TimeSpan};
use crate::routes::{self, KnownNames};

/// Maximum number of classes generated for the operations of one description, beside the classes that it names. Pools
/// keep statistics for every class at every upstream, so each class costs memory.
const MAX_GENERATED_CLASSES: usize = 32;
/// Default of `compared`: share of responses that are compared with the description.
const DEFAULT_COMPARED_SHARE: f64 = 1.0 / 16.0;

/// Loads interface descriptions and the files that they refer to.
pub trait DescriptionLoader {
    /// Opens the folder of the description at `path`. Returns the folder's files and the description's name among them,
    /// or an error of one line.
    fn open(&self, path: &str) -> Result<(Box<dyn Files>, String), String>;
}

/// A loader that fails for every description, for configurations that are read without them.
pub struct NoDescriptions;

impl DescriptionLoader for NoDescriptions {
    fn open(&self, path: &str) -> Result<(Box<dyn Files>, String), String> {
        Err(format!("{path}: descriptions cannot be loaded here"))
    }
}

/// Reads a `[description.NAME]` section. Returns `None` if a required key is missing or invalid.
pub fn read_description(name: &str, section: Section<'_>, names: &KnownNames) -> Option<Description> {
    let file = section.required::<String>(
        "file",
        "the file of the description, relative to the folder of the configuration",
    );
    let hosts = routes::read_hosts(&section);
    let listeners = routes::read_listeners(&section, names);
    let split = routes::read_split(&section, names);
    let class = |key: &'static str| {
        let at = section.get::<String>(key)?;
        routes::check_known(&section, &at, key, &names.classes, "class");
        Some(at.value)
    };
    let (safe, keyed, unsafe_) = (class("safe"), class("keyed"), class("unsafe"));
    if unsafe_.is_none() {
        let expected = "the class of operations without a declared effect and of restricted operations";
        section.report(&section.span, "unsafe", "nothing", expected);
    }
    let tenant = section.get::<String>("tenant").and_then(|at| {
        let source = routes::parse_value_source(&at.value, None)
            .ok()
            .filter(|s| !matches!(s, ValueSource::Segment(_)));
        if source.is_none() {
            let expected = "\"header:NAME\", \"query:NAME\" or \"=TEXT\"";
            section.report(&at.span, "tenant", format!("{:?}", at.value), expected);
        }
        source
    });
    let deadline = section.get::<TimeSpan>("deadline").map(|t| t.value.0).filter(|d| *d > 0);
    let body_limit = section.get_or("body_limit", ByteSize(64 << 10)).0;
    let compared = section.get::<f64>("compared");
    if let Some(wrong) = compared.as_ref().filter(|c| c.value > 1.0) {
        section.report(
            &wrong.span,
            "compared",
            wrong.value.to_string(),
            "a share of the answers, from 0 to 1",
        );
    }
    let by_hand = section.get_or("by_hand", false);
    let span = section.span.clone();
    section.finish();
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
        compared_share: compared.map_or(DEFAULT_COMPARED_SHARE, |c| c.value.min(1.0)),
        check_only: by_hand,
        span,
    })
}

/// Loads all descriptions of the configuration. Adds their routes and the classes that these need, or checks the
/// handwritten routes against them.
pub fn expand(config: &mut Config, open: &dyn DescriptionLoader, problems: &Problems<'_>) {
    let descriptions: Vec<Description> = config.descriptions.values().cloned().collect();
    for description in &descriptions {
        let operations = read_operations(config, description, open, problems);
        if description.check_only {
            check_handwritten_routes(config, description, &operations, problems);
        } else {
            add_routes(config, description, &operations, problems);
        }
    }
}

/// Loads a description, reports its findings and returns its operations; none if a finding is an error.
fn read_operations(
    config: &Config,
    description: &Description,
    open: &dyn DescriptionLoader,
    problems: &Problems<'_>,
) -> Vec<Operation> {
    let key = format!("description.{}", description.name);
    let (files, name) = match open.open(&description.file) {
        Ok(opened) => opened,
        Err(why) => {
            problems.error(&description.span, &format!("{key}.file"), why, "a description");
            return Vec::new();
        }
    };
    let class = |name: &Option<String>| name.as_ref().and_then(|n| config.classes.get(n)).map(|c| &c.class);
    let key_window = class(&description.keyed_class).and_then(|class| match class.effect {
        Effect::Keyed { window, .. } => Some(window),
        _ => None,
    });
    let all = [
        class(&description.safe_class),
        class(&description.keyed_class),
        class(&Some(description.unsafe_class.clone())),
    ];
    // The longest time that callers of any operation wait. Each operation is checked against its own class later.
    let longest_wait = all.into_iter().flatten().map(|c| c.deadline).max();
    let longest_wait = longest_wait.map(|w| description.deadline.map_or(w, |d| d.min(w)));
    let (operations, findings) = check(
        &Documents::new(files.as_ref()),
        &name,
        Promises { key_memory: key_window, caller_timeout: longest_wait },
    );
    for finding in findings.iter().filter(|f| f.accepted.is_none()) {
        let found = format!("{}:{}: {}: {}", finding.file, finding.line, finding.code.number(), finding.what);
        if finding.is_blocking() {
            problems.error(&description.span, &key, found, finding.code.remedy());
        } else {
            problems.warning(&description.span, &key, found, finding.code.remedy());
        }
    }
    // A description with errors may declare the wrong operations.
    if findings.iter().any(|f| f.is_blocking()) { Vec::new() } else { operations }
}

/// Converts a path template of OpenAPI to a route pattern. Parameters get generated names, because a route allows fewer
/// parameter names than OpenAPI.
fn path_pattern(template: &str) -> Result<PathPattern, String> {
    let mut index = 0;
    let segments: Vec<String> = template
        .split('/')
        .map(|segment| {
            index += 1;
            if segment.starts_with('{') { format!("{{p{index}}}") } else { segment.to_owned() }
        })
        .collect();
    PathPattern::parse(&segments.join("/"), false).map_err(|why| why.to_string())
}

/// Where a request contains its idempotency key, as declared for a path of this template.
fn key_source(at: &KeyLocation, template: &str) -> Option<ValueSource> {
    match at {
        KeyLocation::Header(name) => Some(ValueSource::Header(name.clone())),
        KeyLocation::Query(name) => Some(ValueSource::Query(name.clone())),
        KeyLocation::Path(name) => {
            let wanted = format!("{{{name}}}");
            template.split('/').skip(1).position(|segment| segment == wanted).map(ValueSource::Segment)
        }
    }
}

/// Returns the class of an operation with its name: the class that the description names for the effect, or a variant
/// of that class with the window, time and worth that the operation declares.
fn class_for(
    config: &Config,
    description: &Description,
    operation: &Operation,
) -> Result<(String, Class), String> {
    let (name, effect) = match operation.effect {
        DeclaredEffect::Safe => (description.safe_class.as_ref(), "safe"),
        DeclaredEffect::Keyed { .. } => (description.keyed_class.as_ref(), "keyed"),
        DeclaredEffect::Unsafe => (Some(&description.unsafe_class), "unsafe"),
    };
    let name = name.ok_or_else(|| format!("no class for operations that are {effect}"))?;
    let base = &config.classes.get(name).ok_or_else(|| format!("no class {name:?}"))?.class;
    let mut class = base.clone();
    let mut class_name = name.clone();
    match (&operation.effect, base.effect) {
        (DeclaredEffect::Safe, Effect::Safe) | (DeclaredEffect::Unsafe, Effect::Unsafe) => {}
        (DeclaredEffect::Keyed { window, .. }, Effect::Keyed { group, window: most }) if *window <= most => {
            if *window < most {
                class.effect = Effect::Keyed { group, window: *window };
                class_name += &format!(":window={}us", window);
            }
        }
        _ => return Err(format!("the class {name:?}, which is not {effect}")),
    }
    // A declared time only raises the latency target of the class, since callers do not want a faster operation sooner.
    if let Some(time) = operation.time.filter(|time| *time > class.latency_target) {
        if time > class.deadline {
            let (time, deadline) = (time / 1000, class.deadline / 1000);
            return Err(format!("{time} ms in the class {name:?}, whose callers wait {deadline} ms"));
        }
        class.latency_target = time;
        class_name += &format!(":aim={time}us");
    }
    if let Some(worth) = operation.worth.filter(|worth| *worth != class.value) {
        class.value = worth;
        class_name += &format!(":worth={worth}");
    }
    Ok((class_name, class))
}

/// Adds a route for each path of each operation, and the classes that the operations need.
fn add_routes(
    config: &mut Config,
    description: &Description,
    operations: &[Operation],
    problems: &Problems<'_>,
) {
    let table = format!("description.{}", description.name);
    let mut generated: BTreeMap<String, Class> = BTreeMap::new();
    for operation in operations {
        let at = format!("{}:{}", operation.place.file, operation.place.node.line);
        let wrong = |found: String, expected: &str| {
            problems.error(&description.span, &table, format!("{at}: {found}"), expected);
        };
        if operation.method == "TRACE" {
            wrong("TRACE".to_owned(), "a supported method");
            continue;
        }
        let (class, definition) = match class_for(config, description, operation) {
            Ok(found) => found,
            Err(why) => {
                wrong(why, "classes of each effect whose operations are described");
                continue;
            }
        };
        for template in &operation.paths {
            let path = match path_pattern(template) {
                Ok(path) => path,
                Err(why) => {
                    wrong(format!("{template:?}: {why}"), "a path that a route can have");
                    continue;
                }
            };
            let key = match &operation.effect {
                DeclaredEffect::Keyed { key: at, .. } => key_source(at, template),
                _ => None,
            };
            let tenant =
                operation.tenant.clone().map(ValueSource::Fixed).or_else(|| description.tenant.clone());
            // The checks of the description replace the assertion by the operator.
            let asserted = operation.effect == DeclaredEffect::Safe
                && !SAFE_METHODS.contains(&operation.method.as_str());
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
            generated.insert(class, definition);
        }
    }
    if generated.len() > MAX_GENERATED_CLASSES {
        let found = format!("{} classes for windows, times and worths of operations", generated.len());
        problems.error(&description.span, &table, found, format!("at most {MAX_GENERATED_CLASSES}"));
        return;
    }
    let generated_class =
        |class| ClassConfig { class, assertions: Vec::new(), span: description.span.clone() };
    config.classes.extend(generated.into_iter().map(|(name, class)| (name, generated_class(class))));
}

/// Methods that change nothing by their definition (RFC 9110 section 9.2.1).
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Whether every path that matches `inner` also matches `outer`.
fn is_covered_by(inner: &PathPattern, outer: &PathPattern) -> bool {
    let segment = |(inner, outer): (&Segment, &Segment)| match (inner, outer) {
        (_, Segment::Parameter(_)) => true,
        (Segment::Literal(a), Segment::Literal(b)) => a == b,
        _ => false,
    };
    let length = inner.segments.len() == outer.segments.len()
        || outer.prefix && inner.segments.len() > outer.segments.len();
    length && inner.segments.iter().zip(&outer.segments).all(segment)
}

/// Whether some path matches both patterns. `exact` is not a prefix pattern.
fn overlaps(exact: &PathPattern, route: &PathPattern) -> bool {
    let segment = |(a, b): (&Segment, &Segment)| match (a, b) {
        (Segment::Literal(a), Segment::Literal(b)) => a == b,
        _ => true,
    };
    let length = exact.segments.len() == route.segments.len()
        || route.prefix && exact.segments.len() > route.segments.len();
    length && exact.segments.iter().zip(&route.segments).all(segment)
}

/// Describes how a route's class allows more retries than the operation's declared effect; `None` if it does not.
fn excess_permission(
    class: &Class,
    key: Option<&ValueSource>,
    operation: &Operation,
    template: &str,
) -> Option<String> {
    match (class.effect, &operation.effect) {
        (Effect::Unsafe, _) | (Effect::Safe, DeclaredEffect::Safe) => None,
        (Effect::Safe, _) => Some("a class that may be repeated at will".to_owned()),
        (Effect::Keyed { .. }, DeclaredEffect::Safe) => None,
        (Effect::Keyed { .. }, DeclaredEffect::Unsafe) => Some("a keyed class".to_owned()),
        (Effect::Keyed { window, .. }, DeclaredEffect::Keyed { key: at, window: described }) => {
            if key_source(at, template).as_ref() != key {
                Some("a key that stands elsewhere".to_owned())
            } else if window > *described {
                Some(format!("a window of {} ms, longer than described", window / 1000))
            } else {
                None
            }
        }
    }
}

/// Checks handwritten routes against the description: each operation needs a route, each route an operation, and no
/// class may allow more retries than declared.
fn check_handwritten_routes(
    config: &Config,
    description: &Description,
    operations: &[Operation],
    problems: &Problems<'_>,
) {
    if operations.is_empty() {
        return;
    }
    let pools: BTreeSet<&String> = description.split.iter().map(|(pool, _)| pool).collect();
    let host = |route: &RouteConfig| {
        let any = |h: &HostPattern| *h == HostPattern::Any;
        route.route.hosts.iter().any(|h| any(h) || description.hosts.iter().any(|d| any(d) || d == h))
    };
    let candidates: Vec<&RouteConfig> = config
        .routes
        .iter()
        .filter(|r| r.split.iter().any(|(pool, _)| pools.contains(pool)) && host(r))
        .filter(|r| r.listeners.iter().any(|l| description.listeners.contains(l)))
        .collect();
    let table = format!("description.{}", description.name);
    let mut matched: BTreeSet<&str> = BTreeSet::new();
    for operation in operations {
        for template in &operation.paths {
            let at = format!(
                "{}:{}: {} {template}",
                operation.place.file, operation.place.node.line, operation.method
            );
            let Ok(path) = path_pattern(template) else { continue };
            let matching: Vec<&&RouteConfig> = candidates
                .iter()
                .filter(|r| r.route.allows_method(&operation.method) && overlaps(&path, &r.route.path))
                .collect();
            matched.extend(matching.iter().map(|r| r.route.name.as_str()));
            let covers_all =
                |r: &&&RouteConfig| r.route.conditions.is_empty() && is_covered_by(&path, &r.route.path);
            if !matching.iter().any(covers_all) {
                let found = format!("D050: {at}, which no route takes whatever its headers");
                problems.error(
                    &description.span,
                    &table,
                    found,
                    "a route for the operation, or the operation removed",
                );
            }
            for route in matching {
                let classes = route.classes.iter().filter_map(|name| Some((name, config.classes.get(name)?)));
                for (name, class) in classes {
                    if let Some(what) =
                        excess_permission(&class.class, route.key.as_ref(), operation, template)
                    {
                        let found = format!("D052: {what}, {name:?}, for {at}");
                        let key = format!("route {:?}", route.route.name);
                        problems.error(
                            &route.span,
                            &key,
                            found,
                            "a class that allows no more retries than described",
                        );
                    }
                }
            }
        }
    }
    for route in candidates.iter().filter(|r| !matched.contains(r.route.name.as_str())) {
        let found = format!("D051: no operation of {}", description.file);
        let key = format!("route {:?}", route.route.name);
        problems.warning(&route.span, &key, found, "an operation for the route, or the route removed");
    }
}
