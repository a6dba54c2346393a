//! Reads `[[route]]`.

use sloeline_routing::pattern::{Condition, ConditionSource, HostPattern, PathPattern, Predicate, Route};
use toml::de::DeValue;

use crate::model::{ASSERTIONS, RouteConfig, ValueSource};
use crate::read::{At, Section, Size, Time};
use crate::sections::{good_header, header};

/// What routes may name.
pub struct Names {
    pub classes: Vec<String>,
    pub listeners: Vec<String>,
    pub pools: Vec<String>,
}

/// Notes a name that stands for nothing.
pub fn known(section: &Section<'_>, at: &At<String>, key: &str, names: &[String], what: &str) {
    if !names.contains(&at.value) {
        let expected = match names {
            [] => format!("the name of a {what}; there is none"),
            _ => format!("the name of a {what}: {}", names.join(", ")),
        };
        section.wrong(&at.span, key, format!("{:?}", at.value), expected);
    }
}

/// A text or a list of texts.
fn texts(section: &Section<'_>, key: &'static str) -> Option<Vec<At<String>>> {
    struct Texts(Vec<String>);
    impl crate::read::Value for Texts {
        fn read(value: &DeValue<'_>) -> Result<Texts, String> {
            let one = |v: &DeValue<'_>| v.as_str().filter(|t| !t.is_empty()).map(str::to_owned);
            let list = match value {
                DeValue::Array(list) => list.iter().map(|v| one(v.get_ref())).collect(),
                other => one(other).map(|t| vec![t]),
            };
            list.map(Texts).ok_or_else(|| "a text or a list of texts".to_owned())
        }
    }
    let found = section.get::<Texts>(key)?;
    if found.value.0.is_empty() {
        section.wrong(&found.span, key, "an empty list", "at least one, or no such key");
    }
    Some(found.value.0.into_iter().map(|value| At { value, span: found.span.clone() }).collect())
}

/// The hosts of a section; all where it names none.
pub fn hosts(section: &Section<'_>) -> Vec<HostPattern> {
    match texts(section, "host") {
        None => vec![HostPattern::Any],
        Some(list) => list
            .into_iter()
            .filter_map(|at| {
                let host = HostPattern::parse(&at.value).ok();
                if host.is_none() {
                    let expected = "a host without a port, \"*.example\" or \"*\"";
                    section.wrong(&at.span, "host", format!("{:?}", at.value), expected);
                }
                host
            })
            .collect(),
    }
}

/// The listeners of a section; all where it names none.
pub fn listeners(section: &Section<'_>, names: &Names) -> Vec<String> {
    match texts(section, "listener") {
        None => names.listeners.clone(),
        Some(list) => {
            list.iter().for_each(|at| known(section, at, "listener", &names.listeners, "listener"));
            list.into_iter().map(|at| at.value).collect()
        }
    }
}

pub fn route(section: Section<'_>, names: &Names) -> Option<RouteConfig> {
    let (path, prefix) = (section.get::<String>("path"), section.get::<String>("prefix"));
    let pattern = match (&path, &prefix) {
        (Some(at), None) => Some(("path", at, false)),
        (None, Some(at)) => Some(("prefix", at, true)),
        _ => {
            let found = if path.is_some() { "both path and prefix" } else { "neither path nor prefix" };
            section.wrong(&section.span, "path", found, "one of path and prefix");
            None
        }
    };
    let path = pattern.and_then(|(key, at, prefix)| match PathPattern::parse(&at.value, prefix) {
        Ok(pattern) => Some(pattern),
        Err(why) => {
            section.wrong(&at.span, key, format!("{:?}", at.value), format!("another path: {why}"));
            None
        }
    });
    let name = section.need::<String>("name", "a name, for logs and messages").map(|n| n.value);
    let hosts = hosts(&section);
    let methods = texts(&section, "method").unwrap_or_default();
    for at in &methods {
        let upper = at.value.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
        if !upper || ["CONNECT", "TRACE"].contains(&at.value.as_str()) {
            let expected = "a method in capitals; CONNECT and TRACE are not served";
            section.wrong(&at.span, "method", format!("{:?}", at.value), expected);
        }
    }
    let mut conditions = conditions(section.section("header"), true);
    conditions.extend(self::conditions(section.section("query"), false));
    let listeners = listeners(&section, names);
    let split = split(&section, names);
    let (class, classes) = (section.get::<String>("class"), texts(&section, "classes"));
    let class_header = header(&section, "class_header");
    let classes: Vec<At<String>> = match (class, classes, &class_header) {
        (Some(class), None, None) => vec![class],
        (None, Some(classes), Some(_)) => classes,
        _ => {
            let expected = "class, or classes together with class_header";
            section.wrong(&section.span, "class", "another choice of class", expected);
            Vec::new()
        }
    };
    classes.iter().for_each(|at| known(&section, at, "class", &names.classes, "class"));
    let source = |key: &'static str| {
        let at = section.get::<String>(key)?;
        let source = source(&at.value, path.as_ref());
        if let Err(expected) = &source {
            section.wrong(&at.span, key, format!("{:?}", at.value), expected);
        }
        source.ok()
    };
    let (tenant, key, sticky) = (source("tenant"), source("key"), source("sticky"));
    let deadline = section.get::<Time>("deadline").map(|t| t.value.0);
    if deadline == Some(0) {
        section.wrong(&section.span, "deadline", "0", "a span that is longer than nothing");
    }
    let body_limit = section.or("body_limit", Size(64 << 10)).0;
    let assert: Vec<At<String>> = texts(&section, "assert").unwrap_or_default();
    for at in &assert {
        if !ASSERTIONS.iter().any(|(name, _)| *name == at.value) {
            let names: Vec<&str> = ASSERTIONS.iter().map(|(name, _)| *name).collect();
            section.wrong(
                &at.span,
                "assert",
                format!("{:?}", at.value),
                format!("one of {}", names.join(", ")),
            );
        }
    }
    let span = section.span.clone();
    section.end();
    let values = |list: Vec<At<String>>| list.into_iter().map(|at| at.value).collect::<Vec<_>>();
    let route = Route { name: name?, hosts, methods: values(methods), path: path?, conditions };
    let (classes, assert) = (values(classes), values(assert));
    let split = split?;
    Some(RouteConfig {
        route,
        listeners,
        split,
        sticky,
        classes,
        class_header,
        tenant,
        key,
        deadline,
        body_limit,
        assertions: assert,
        operation: None,
        span,
    })
}

/// `{ "X-Mode" = "a", "X-Beta" = true, "X-Old" = false }`: this value, any, none.
fn conditions(section: Option<Section<'_>>, header: bool) -> Vec<Condition> {
    let Some(section) = section else { return Vec::new() };
    let mut list = Vec::new();
    for (name, value) in section.pairs() {
        let test = match value {
            DeValue::String(text) => Predicate::Equals(text.to_string()),
            DeValue::Boolean(true) => Predicate::Present,
            DeValue::Boolean(false) => Predicate::Absent,
            _ => {
                let expected = "a text, true (present) or false (absent)";
                section.wrong(&name.span, &name.value, "something else", expected);
                continue;
            }
        };
        if header && !good_header(&name.value) {
            section.wrong(&name.span, &name.value, format!("{:?}", name.value), "the name of a header");
            continue;
        }
        let place = if header {
            ConditionSource::Header(name.value.to_ascii_lowercase())
        } else {
            ConditionSource::Query(name.value)
        };
        list.push(Condition { source: place, predicate: test });
    }
    list
}

pub fn split(section: &Section<'_>, names: &Names) -> Option<Vec<(String, u32)>> {
    let (pool, sides) = (section.get::<String>("pool"), section.list("split"));
    match (pool, sides.is_empty()) {
        (Some(pool), true) => {
            known(section, &pool, "pool", &names.pools, "pool");
            Some(vec![(pool.value, sloeline_routing::split::TOTAL_WEIGHT)])
        }
        (None, false) => {
            let mut split: Vec<(String, u32)> = Vec::new();
            for side in sides {
                let pool = side.need::<String>("pool", "the name of a pool");
                let weight = side.need::<u64>("weight", "a whole number");
                if let (Some(pool), Some(weight)) = (pool, weight) {
                    known(&side, &pool, "pool", &names.pools, "pool");
                    if split.iter().any(|(name, _)| *name == pool.value) {
                        side.wrong(&pool.span, "pool", format!("{:?} twice", pool.value), "each pool once");
                    }
                    split.push((pool.value, weight.value as u32));
                }
                side.end();
            }
            Some(split)
        }
        (pool, _) => {
            let found = if pool.is_some() { "both pool and split" } else { "neither pool nor split" };
            section.wrong(&section.span, "pool", found, "one of pool and split");
            None
        }
    }
}

pub fn source(text: &str, path: Option<&PathPattern>) -> Result<ValueSource, String> {
    let expected = "\"header:NAME\", \"query:NAME\", \"path:PARAMETER\" or \"=TEXT\"";
    match text.split_once(':') {
        Some(("header", name)) if good_header(name) => Ok(ValueSource::Header(name.to_ascii_lowercase())),
        Some(("query", name)) if !name.is_empty() => Ok(ValueSource::Query(name.to_owned())),
        Some(("path", name)) => match path {
            Some(path) => path
                .parameter_index(name)
                .map(ValueSource::Segment)
                .ok_or_else(|| format!("a parameter of {path}; {name:?} is none")),
            // Its own error was noted.
            None => Ok(ValueSource::Segment(0)),
        },
        _ => match text.strip_prefix('=') {
            Some(fixed) if !fixed.is_empty() => Ok(ValueSource::Fixed(fixed.to_owned())),
            _ => Err(expected.to_owned()),
        },
    }
}
