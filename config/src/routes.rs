//! Reads `[[route]]`, and the keys that routes share with descriptions.

use sloeline_routing::pattern::{Condition, ConditionSource, HostPattern, PathPattern, Predicate, Route};
use toml::de::DeValue;

use crate::model::{ASSERTIONS, RouteConfig, ValueSource};
use crate::read::{ByteSize, Located, Section, TimeSpan};
use crate::sections::{header_name, is_header_name};

/// Names that routes and descriptions may refer to.
pub struct KnownNames {
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Names of the listeners.
    pub listeners: Vec<String>,
    /// Names of the pools.
    pub pools: Vec<String>,
}

/// Reports a reference to a class, listener or pool that does not exist.
pub fn check_known(section: &Section<'_>, at: &Located<String>, key: &str, names: &[String], what: &str) {
    if !names.contains(&at.value) {
        let expected = match names {
            [] => format!("the name of a {what}; none is configured"),
            _ => format!("the name of a {what}: {}", names.join(", ")),
        };
        section.report(&at.span, key, format!("{:?}", at.value), expected);
    }
}

/// Reads a string or a list of strings; an empty list is reported.
fn string_list(section: &Section<'_>, key: &'static str) -> Option<Vec<Located<String>>> {
    struct StringList(Vec<String>);
    impl crate::read::Value for StringList {
        fn read(value: &DeValue<'_>) -> Result<StringList, String> {
            let text = |v: &DeValue<'_>| v.as_str().filter(|t| !t.is_empty()).map(str::to_owned);
            let list = match value {
                DeValue::Array(list) => list.iter().map(|v| text(v.get_ref())).collect(),
                other => text(other).map(|t| vec![t]),
            };
            list.map(StringList).ok_or_else(|| "a string or a list of strings".to_owned())
        }
    }
    let found = section.get::<StringList>(key)?;
    if found.value.0.is_empty() {
        section.report(&found.span, key, "an empty list", "at least one entry, or the key left out");
    }
    Some(found.value.0.into_iter().map(|value| Located { value, span: found.span.clone() }).collect())
}

/// Reads the hosts of a section; any host if it names none.
pub fn read_hosts(section: &Section<'_>) -> Vec<HostPattern> {
    match string_list(section, "host") {
        None => vec![HostPattern::Any],
        Some(list) => list
            .into_iter()
            .filter_map(|at| {
                let host = HostPattern::parse(&at.value).ok();
                if host.is_none() {
                    let expected = "a host without a port, \"*.example\" or \"*\"";
                    section.report(&at.span, "host", format!("{:?}", at.value), expected);
                }
                host
            })
            .collect(),
    }
}

/// Reads the listeners of a section; all listeners if it names none.
pub fn read_listeners(section: &Section<'_>, names: &KnownNames) -> Vec<String> {
    match string_list(section, "listener") {
        None => names.listeners.clone(),
        Some(list) => {
            list.iter().for_each(|at| check_known(section, at, "listener", &names.listeners, "listener"));
            list.into_iter().map(|at| at.value).collect()
        }
    }
}

/// Reads a `[[route]]` section. Returns `None` if its name, path or split is missing or invalid.
pub fn read_route(section: Section<'_>, names: &KnownNames) -> Option<RouteConfig> {
    let (path, prefix) = (section.get::<String>("path"), section.get::<String>("prefix"));
    let pattern = match (&path, &prefix) {
        (Some(at), None) => Some(("path", at, false)),
        (None, Some(at)) => Some(("prefix", at, true)),
        _ => {
            let found = if path.is_some() { "both path and prefix" } else { "neither path nor prefix" };
            section.report(&section.span, "path", found, "one of path and prefix");
            None
        }
    };
    let path = pattern.and_then(|(key, at, prefix)| match PathPattern::parse(&at.value, prefix) {
        Ok(pattern) => Some(pattern),
        Err(why) => {
            section.report(&at.span, key, format!("{:?}", at.value), format!("another path: {why}"));
            None
        }
    });
    let name = section.required::<String>("name", "a name, for logs and messages").map(|n| n.value);
    let hosts = read_hosts(&section);
    let methods = string_list(&section, "method").unwrap_or_default();
    for at in &methods {
        let upper = at.value.bytes().all(|b| b.is_ascii_uppercase() || b == b'-');
        if !upper || ["CONNECT", "TRACE"].contains(&at.value.as_str()) {
            let expected = "a method in capitals; CONNECT and TRACE are not supported";
            section.report(&at.span, "method", format!("{:?}", at.value), expected);
        }
    }
    let mut conditions = conditions(section.section("header"), true);
    conditions.extend(self::conditions(section.section("query"), false));
    let listeners = read_listeners(&section, names);
    let split = read_split(&section, names);
    let (class, classes) = (section.get::<String>("class"), string_list(&section, "classes"));
    let class_header = header_name(&section, "class_header");
    let classes: Vec<Located<String>> = match (class, classes, &class_header) {
        (Some(class), None, None) => vec![class],
        (None, Some(classes), Some(_)) => classes,
        _ => {
            let expected = "class, or classes together with class_header";
            section.report(&section.span, "class", "neither of the two forms of class", expected);
            Vec::new()
        }
    };
    classes.iter().for_each(|at| check_known(&section, at, "class", &names.classes, "class"));
    let source = |key: &'static str| {
        let at = section.get::<String>(key)?;
        let source = parse_value_source(&at.value, path.as_ref());
        if let Err(expected) = &source {
            section.report(&at.span, key, format!("{:?}", at.value), expected);
        }
        source.ok()
    };
    let (tenant, key, sticky) = (source("tenant"), source("key"), source("sticky"));
    let deadline = section.get::<TimeSpan>("deadline").map(|t| t.value.0);
    if deadline == Some(0) {
        section.report(&section.span, "deadline", "0", "a duration greater than 0");
    }
    let body_limit = section.get_or("body_limit", ByteSize(64 << 10)).0;
    let assert: Vec<Located<String>> = string_list(&section, "assert").unwrap_or_default();
    for at in &assert {
        if !ASSERTIONS.iter().any(|(name, _)| *name == at.value) {
            let names: Vec<&str> = ASSERTIONS.iter().map(|(name, _)| *name).collect();
            section.report(
                &at.span,
                "assert",
                format!("{:?}", at.value),
                format!("one of {}", names.join(", ")),
            );
        }
    }
    let span = section.span.clone();
    section.finish();
    let values = |list: Vec<Located<String>>| list.into_iter().map(|at| at.value).collect::<Vec<_>>();
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

/// Reads match conditions on headers or query parameters, such as
/// `{ "X-Mode" = "a", "X-Beta" = true, "X-Old" = false }`: equal to a value, present, absent.
fn conditions(section: Option<Section<'_>>, header: bool) -> Vec<Condition> {
    let Some(section) = section else { return Vec::new() };
    let mut list = Vec::new();
    for (name, value) in section.pairs() {
        let predicate = match value {
            DeValue::String(text) => Predicate::Equals(text.to_string()),
            DeValue::Boolean(true) => Predicate::Present,
            DeValue::Boolean(false) => Predicate::Absent,
            _ => {
                let expected = "a string, true (present) or false (absent)";
                section.report(&name.span, &name.value, "another type of value", expected);
                continue;
            }
        };
        if header && !is_header_name(&name.value) {
            section.report(&name.span, &name.value, format!("{:?}", name.value), "the name of a header");
            continue;
        }
        let source = if header {
            ConditionSource::Header(name.value.to_ascii_lowercase())
        } else {
            ConditionSource::Query(name.value)
        };
        list.push(Condition { source, predicate });
    }
    list
}

/// Reads the pools of a section with their weights: `split`, or `pool` with the total weight.
pub fn read_split(section: &Section<'_>, names: &KnownNames) -> Option<Vec<(String, u32)>> {
    let (pool, parts) = (section.get::<String>("pool"), section.section_list("split"));
    match (pool, parts.is_empty()) {
        (Some(pool), true) => {
            check_known(section, &pool, "pool", &names.pools, "pool");
            Some(vec![(pool.value, sloeline_routing::split::TOTAL_WEIGHT)])
        }
        (None, false) => {
            let mut split: Vec<(String, u32)> = Vec::new();
            for part in parts {
                let pool = part.required::<String>("pool", "the name of a pool");
                let weight = part.required::<u64>("weight", "a whole number");
                if let (Some(pool), Some(weight)) = (pool, weight) {
                    check_known(&part, &pool, "pool", &names.pools, "pool");
                    if split.iter().any(|(name, _)| *name == pool.value) {
                        part.report(&pool.span, "pool", format!("{:?} twice", pool.value), "each pool once");
                    }
                    split.push((pool.value, weight.value as u32));
                }
                part.finish();
            }
            Some(split)
        }
        (pool, _) => {
            let found = if pool.is_some() { "both pool and split" } else { "neither pool nor split" };
            section.report(&section.span, "pool", found, "one of pool and split");
            None
        }
    }
}

/// Parses a value source such as `header:NAME`. `path` is the route's pattern, if it is valid. The error describes the
/// expected text.
pub fn parse_value_source(text: &str, path: Option<&PathPattern>) -> Result<ValueSource, String> {
    let expected = "\"header:NAME\", \"query:NAME\", \"path:PARAMETER\" or \"=TEXT\"";
    match text.split_once(':') {
        Some(("header", name)) if is_header_name(name) => Ok(ValueSource::Header(name.to_ascii_lowercase())),
        Some(("query", name)) if !name.is_empty() => Ok(ValueSource::Query(name.to_owned())),
        Some(("path", name)) => match path {
            Some(path) => path
                .parameter_index(name)
                .map(ValueSource::Segment)
                .ok_or_else(|| format!("a parameter of {path}, which has no {name:?}")),
            // The error in the path itself was already reported.
            None => Ok(ValueSource::Segment(0)),
        },
        _ => match text.strip_prefix('=') {
            Some(fixed) if !fixed.is_empty() => Ok(ValueSource::Fixed(fixed.to_owned())),
            _ => Err(expected.to_owned()),
        },
    }
}
