//! `sloeline describe FILE`: what this balancer serves, as an OpenAPI 3.1 description, its own answers included.

use std::collections::BTreeMap;

use finchshift::Effect;
use serde_json::{Map, Value, json};
use sloeline_config::model::{Config, RouteConfig, ValueSource};
use sloeline_routing::pattern::{ConditionSource, HostPattern, Predicate, Segment};

/// Methods of a path item; CONNECT and others have no place in a description.
const METHODS: [&str; 7] = ["GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"];

/// Answers of the balancer's own (RFC 9110 section 15).
const OWN: [(&str, &str); 9] = [
    ("400", "the request has no clear meaning, or lacks its key; nothing of it was sent"),
    ("405", "no route takes this method; Allow names those that do"),
    ("408", "the request did not come in time"),
    ("413", "the body is longer than the route takes"),
    ("431", "the head is too long"),
    ("502", "an upstream failed; the request may have run"),
    ("503", "refused, and it never ran; Retry-After says when to come again"),
    ("504", "out of time; the request may have run"),
    ("default", "an upstream's answer"),
];

fn span(micros: u64) -> String {
    if micros.is_multiple_of(1000) {
        format!("{}ms", micros / 1000)
    } else {
        format!("{}ms", micros as f64 / 1e3)
    }
}

/// The template of a route, and its parameters; what follows a prefix is one more.
fn template(route: &RouteConfig) -> (String, Vec<String>) {
    let (mut path, mut names) = (String::new(), Vec::new());
    for segment in &route.route.path.segments {
        path.push('/');
        match segment {
            Segment::Literal(text) => path.push_str(text),
            Segment::Parameter(name) => {
                path += &format!("{{{name}}}");
                names.push(name.clone());
            }
        }
    }
    if route.route.path.prefix {
        path += "/{rest}";
        names.push("rest".to_owned());
    }
    if path.is_empty() {
        path.push('/');
    }
    (path, names)
}

fn parameter(name: &str, within: &str, required: bool, schema: Value) -> Value {
    json!({"name": name, "in": within, "required": required, "schema": schema})
}

/// The key's parameter, and where it stands as the extension has it; none for a key in the path, which is there anyway.
fn key(source: &ValueSource, names: &[String], route: &RouteConfig) -> Option<(String, Option<Value>)> {
    let text = || json!({"type": "string"});
    match source {
        ValueSource::Header(name) => {
            Some((format!("header:{name}"), Some(parameter(name, "header", true, text()))))
        }
        ValueSource::Query(name) => {
            Some((format!("query:{name}"), Some(parameter(name, "query", true, text()))))
        }
        ValueSource::Segment(at) => match route.route.path.segments.get(*at) {
            Some(Segment::Parameter(name)) if names.contains(name) => Some((format!("path:{name}"), None)),
            _ => None,
        },
        ValueSource::Fixed(_) => None,
    }
}

fn operation(config: &Config, route: &RouteConfig, method: &str) -> Value {
    let (_, names) = template(route);
    let mut parameters: Vec<Value> =
        names.iter().map(|name| parameter(name, "path", true, json!({"type": "string"}))).collect();
    for condition in &route.route.conditions {
        let (name, within) = match &condition.source {
            ConditionSource::Header(name) => (name, "header"),
            ConditionSource::Query(name) => (name, "query"),
        };
        match &condition.predicate {
            Predicate::Equals(value) => {
                parameters.push(parameter(name, within, true, json!({"const": value})))
            }
            Predicate::Present => parameters.push(parameter(name, within, true, json!({"type": "string"}))),
            Predicate::Absent => {}
        }
    }
    if let Some(header) = &route.class_header {
        parameters.push(parameter(header, "header", true, json!({"enum": route.classes})));
    }
    let classes: Vec<_> = route.classes.iter().filter_map(|name| config.classes.get(name)).collect();
    let mut said = Map::new();
    let mut put = |key: &str, value: Value| said.insert(key.to_owned(), value);
    // With several classes the least of them is promised.
    let keyed = route.key.as_ref().and_then(|source| key(source, &names, route));
    let window = classes.iter().filter_map(|c| match c.class.effect {
        Effect::Keyed { window, .. } => Some(window),
        _ => None,
    });
    let is_unsafe = classes.iter().any(|c| c.class.effect == Effect::Unsafe);
    match (is_unsafe, window.min(), keyed) {
        (false, None, _) => _ = put("x-sloeline-effect", json!("safe")),
        (false, Some(window), Some((at, declared))) => {
            put("x-sloeline-effect", json!("keyed"));
            put("x-sloeline-key", json!(at));
            put("x-sloeline-window", json!(span(window)));
            parameters.extend(declared);
        }
        _ => _ = put("x-sloeline-effect", json!("unsafe")),
    }
    put("x-sloeline-body-limit", json!(format!("{}B", route.body_limit)));
    if let Some(ValueSource::Fixed(tenant)) = &route.tenant {
        put("x-sloeline-tenant", json!(tenant));
    }
    if let [only] = classes.as_slice() {
        put("x-sloeline-worth", json!(only.class.value));
    }
    let deadline = classes.iter().map(|c| c.class.deadline).max().unwrap_or(0);
    let deadline = route.deadline.map_or(deadline, |d| d.min(deadline));
    let name = &route.route.name;
    put(
        "description",
        json!(format!("Route {name:?}. Answered within {}, whatever becomes of it.", span(deadline))),
    );
    if route.route.path.prefix {
        put("x-sloeline-prefix", json!(true));
    }
    if !["GET", "HEAD", "OPTIONS"].contains(&method) {
        put("requestBody", json!({"required": false, "content": {"*/*": {}}}));
    }
    // Said by whoever wrote the route or its description.
    let safe = said.get("x-sloeline-effect") == Some(&json!("safe"));
    if safe && !["GET", "HEAD", "OPTIONS"].contains(&method) {
        let accept = |code: &str| json!({"code": code, "reason": "the route's class is safe"});
        said.insert("x-sloeline-accept".to_owned(), json!([accept("D010")]));
    }
    let responses: Map<String, Value> = OWN
        .iter()
        .map(|(status, what)| {
            let mut response = json!({"description": what});
            if *status == "503" {
                response["headers"] = json!({"Retry-After": {"schema": {"type": "integer", "minimum": 1}}});
            }
            ((*status).to_owned(), response)
        })
        .collect();
    said.insert("parameters".to_owned(), Value::Array(parameters));
    said.insert("responses".to_owned(), Value::Object(responses));
    Value::Object(said)
}

/// The description of what one listener serves, as JSON. Where several routes have one path and method, as by their
/// conditions or hosts, the first by name is described and the others are named in it.
pub fn describe(config: &Config, listener: Option<&str>) -> Result<String, String> {
    let names: Vec<&String> = config.listeners.keys().collect();
    let listener = match (listener, names.as_slice()) {
        (Some(name), _) if config.listeners.contains_key(name) => name,
        (None, [only]) => only.as_str(),
        (found, _) => {
            let names: Vec<&str> = names.iter().map(|n| n.as_str()).collect();
            let found = found.map_or("no listener's name".to_owned(), |f| format!("listener {f:?}"));
            return Err(format!("found {found}, expected one of {}", names.join(", ")));
        }
    };
    let mut routes: Vec<&RouteConfig> =
        config.routes.iter().filter(|r| r.listeners.iter().any(|l| l == listener)).collect();
    routes.sort_by(|a, b| a.route.name.cmp(&b.route.name));
    // Under one template, whatever its parameters are called: a description may not have both.
    let mut paths: BTreeMap<String, (String, Map<String, Value>)> = BTreeMap::new();
    let mut hosts: Vec<String> = Vec::new();
    for route in routes {
        for host in &route.route.hosts {
            if let HostPattern::Exact(name) = host
                && !hosts.contains(name)
            {
                hosts.push(name.clone());
            }
        }
        let (path, _) = template(route);
        let bare =
            path.split('/').map(|s| if s.starts_with('{') { "{}" } else { s }).collect::<Vec<_>>().join("/");
        let (_, item) = paths.entry(bare).or_insert_with(|| (path, Map::new()));
        let methods: Vec<&str> = match route.route.methods.as_slice() {
            [] => METHODS.to_vec(),
            some => some.iter().map(String::as_str).filter(|m| METHODS.contains(m)).collect(),
        };
        for method in methods {
            match item.get_mut(&method.to_ascii_lowercase()) {
                None => _ = item.insert(method.to_ascii_lowercase(), operation(config, route, method)),
                Some(before) => {
                    let text = before["description"].as_str().unwrap_or_default();
                    before["description"] = json!(format!("{text} Also by route {:?}.", route.route.name));
                    // What either may not repeat is not described as what may be.
                    before["x-sloeline-effect"] = json!("unsafe");
                }
            }
        }
    }
    let mut description = json!({
        "openapi": "3.1.0",
        "info": {"title": format!("What {} serves on {listener}", config.instance.name), "version": "1"},
        "paths": paths.into_values().collect::<BTreeMap<String, Map<String, Value>>>(),
    });
    if !hosts.is_empty() {
        let servers: Vec<Value> = hosts.iter().map(|host| json!({"url": format!("http://{host}")})).collect();
        description["servers"] = Value::Array(servers);
    }
    serde_json::to_string_pretty(&description).map(|text| text + "\n").map_err(|e| e.to_string())
}
