//! Says in words which route a request takes.

use std::fmt::Write;

use sloeline_config::model::{Config, RouteConfig, ValueSource};
use sloeline_routing::pattern::{FieldValue, Request};
use sloeline_routing::table::{NoRoute, Table, Verdict};
use sloeline_routing::target::Target;

/// What becomes of a request at each listener; the error is one line on what cannot be asked so.
pub fn explain(config: &Config, method: &str, url: &str, headers: &[String]) -> Result<String, String> {
    let mut lines = Vec::new();
    for header in headers {
        let (name, value) =
            header.split_once(':').ok_or_else(|| format!("{header:?} is no \"Name: value\""))?;
        lines.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let header = |name: &str| {
        let mut found = lines.iter().filter(|(n, _)| n == name);
        match (found.next(), found.next()) {
            (None, _) => FieldValue::Missing,
            (Some((_, value)), None) => FieldValue::Single(value.clone()),
            _ => FieldValue::Ambiguous,
        }
    };
    let host = match header("host") {
        FieldValue::Single(host) => Some(host),
        FieldValue::Missing => None,
        FieldValue::Ambiguous => return Ok("400: Host stands twice\n".to_owned()),
    };
    let mut text = String::new();
    let target = match Target::parse(url, host.as_deref()) {
        Ok(target) => target,
        Err(why) => return Ok(format!("400: {why}\n")),
    };
    let shown = target.host.as_ref().map_or("(none)".to_owned(), ToString::to_string);
    let _ = writeln!(text, "host {shown}, forwarded as {method} {}", target.path_and_query());
    let request = Request { method, target: &target, header: &header };
    for (name, listener) in &config.listeners {
        let routes: Vec<&RouteConfig> = config.routes.iter().filter(|r| r.listeners.contains(name)).collect();
        let table = Table::new(routes.iter().map(|r| r.route.clone()).collect());
        let _ = writeln!(text, "listener {name} ({})", listener.address);
        if target.path.as_str() == listener.ready_path {
            let _ = writeln!(text, "  answered here: whether requests can be served");
            continue;
        }
        match table.find(&request) {
            Ok(at) => chosen(config, routes[at], &target, &mut text),
            Err(NoRoute::NotFound) => text.push_str("  404: no route\n"),
            Err(NoRoute::MethodNotAllowed(methods)) => {
                let _ = writeln!(text, "  405: routes for this path take {}", methods.join(", "));
            }
            Err(NoRoute::Ambiguous(place)) => {
                let _ = writeln!(text, "  400: {place} stands twice or is no text");
            }
        }
        for (route, verdict) in routes.iter().zip(table.explain(&request)) {
            let why = match verdict {
                Verdict::Chosen => continue,
                Verdict::Outranked => "it would match, but the chosen one goes first".to_owned(),
                Verdict::HostMismatch => {
                    let hosts: Vec<String> = route.route.hosts.iter().map(ToString::to_string).collect();
                    format!("its host is {}", hosts.join(" or "))
                }
                Verdict::PathMismatch => format!("its path is {}", route.route.path),
                Verdict::MethodMismatch => format!("its method is {}", route.route.methods.join(" or ")),
                Verdict::ConditionFailed(at) => format!("it asks for {}", route.route.conditions[at]),
                Verdict::ConditionAmbiguous(at) => format!("cannot tell: {}", route.route.conditions[at]),
            };
            let _ = writeln!(text, "  not {:?}: {why}", route.route.name);
        }
    }
    Ok(text)
}

fn source(source: &ValueSource) -> String {
    match source {
        ValueSource::Header(name) => format!("header {name}"),
        ValueSource::Query(name) => format!("query parameter {name}"),
        ValueSource::Segment(at) => format!("path segment {}", at + 1),
        ValueSource::Fixed(value) => format!("always {value:?}"),
    }
}

fn chosen(config: &Config, route: &RouteConfig, target: &Target, text: &mut String) {
    let _ = writeln!(text, "  route {:?} ({})", route.route.name, route.route.path);
    match &route.split[..] {
        [(pool, _)] => {
            let _ = writeln!(text, "  pool {pool}");
        }
        sides => {
            let sides: Vec<String> = sides.iter().map(|(pool, weight)| format!("{pool} {weight}")).collect();
            let by = route.sticky.as_ref().map_or("the caller's connection".to_owned(), source);
            let _ = writeln!(text, "  split {} by {by}", sides.join(", "));
        }
    }
    if let Some(header) = &route.class_header {
        let _ = writeln!(text, "  class named by header {header}, one of:");
    }
    for name in &route.classes {
        let Some(class) = config.classes.get(name).map(|c| &c.class) else { continue };
        let deadline = route.deadline.map_or(class.deadline, |d| d.min(class.deadline));
        let ms = |micros: u64| micros as f64 / 1000.0;
        let _ = writeln!(
            text,
            "  class {name}: {:?}, aim {} ms, deadline {} ms, worth {}",
            class.effect,
            ms(class.latency_target),
            ms(deadline),
            class.value
        );
    }
    let _ = writeln!(text, "  body up to {} bytes", route.body_limit);
    for (what, from) in [("key", &route.key), ("tenant", &route.tenant)] {
        if let Some(from) = from {
            let _ = writeln!(text, "  {what}: {}", source(from));
        }
    }
    for (name, at) in route.route.path.segments.iter().enumerate().filter_map(|(at, segment)| match segment {
        sloeline_routing::pattern::Segment::Parameter(name) => Some((name, at)),
        sloeline_routing::pattern::Segment::Literal(_) => None,
    }) {
        let _ = writeln!(text, "  {{{name}}} = {:?}", target.path.segment(at).unwrap_or(""));
    }
}
