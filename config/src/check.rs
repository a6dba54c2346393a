//! Checks that need several sections of the configuration at once, and the division of resources.

use std::collections::{BTreeMap, BTreeSet};

use finchshift::Effect;
use sloeline_limits::divide;
use sloeline_routing::analysis::{Finding, analyze};
use sloeline_routing::pattern::Route;
use sloeline_routing::split::TOTAL_WEIGHT;
use sloeline_routing::target::Path;

use crate::model::{Config, RouteConfig};
use crate::problem::Problems;

/// Methods that change nothing by their definition (RFC 9110 section 9.2.1).
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];
/// File descriptors reserved for the runtime, signals, standard streams and files.
const RESERVED_DESCRIPTORS: usize = 40;
/// Share of the unreserved file descriptors for callers' connections; connections to upstreams have the rest.
const CALLER_CONNECTION_SHARE: f64 = 0.55;
/// Share of the memory budget for the bodies of open requests and their responses.
const BODY_MEMORY_SHARE: f64 = 0.4;

/// How connections, open requests and memory are divided among listeners and pools.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceDivision {
    /// Maximum number of connections of callers for each listener, in the order of the names of the listeners.
    pub caller_connections: Vec<usize>,
    /// Connections to upstreams: the guaranteed number of each pool, in the order of the pools' names, and the shared
    /// reserve.
    pub upstream_connections: (Vec<usize>, usize),
    /// Open requests: the guaranteed number of each pool, in the order of the pools' names, and the shared reserve.
    pub open_requests: (Vec<usize>, usize),
    /// Bytes for request and response bodies: the guaranteed number of each pool, in the order of the pools' names, and
    /// the shared reserve.
    pub body_bytes: (Vec<usize>, usize),
}

/// Divides connections, open requests and memory among listeners and pools. The error names the resource that is too
/// small.
pub fn divide_resources(config: &Config) -> Result<ResourceDivision, String> {
    let limits = &config.limits;
    // Each registry or watched file uses a few descriptors.
    let reserved =
        RESERVED_DESCRIPTORS + config.listeners.len() + 2 * config.pools.len().min(limits.descriptors / 8);
    let free = limits.descriptors.saturating_sub(reserved);
    let caller_total = (free as f64 * CALLER_CONNECTION_SHARE) as usize;
    let configured: usize = config.listeners.values().filter_map(|l| l.max_connections).sum();
    let unlimited_count = config.listeners.values().filter(|l| l.max_connections.is_none()).count();
    let equal_share = caller_total.saturating_sub(configured).checked_div(unlimited_count).unwrap_or(0);
    if configured > caller_total || unlimited_count > 0 && equal_share == 0 {
        return Err(format!(
            "{caller_total} connections of callers for {} listeners that request {configured} explicitly",
            config.listeners.len()
        ));
    }
    let listeners: Vec<usize> =
        config.listeners.values().map(|l| l.max_connections.unwrap_or(equal_share)).collect();
    let weights: Vec<f64> = config.pools.values().map(|p| p.weight).collect();
    let share = |total: usize, resource: &str, min_share: usize| {
        divide(total, &weights, min_share)
            .map_err(|needed| format!("{total} {resource} for pools that need {needed}"))
    };
    let connection_total = listeners.iter().sum();
    Ok(ResourceDivision {
        upstream_connections: share(free - caller_total, "connections to upstreams", 1)?,
        open_requests: share(connection_total, "open requests", 1)?,
        body_bytes: share((limits.memory as f64 * BODY_MEMORY_SHARE) as usize, "bytes for bodies", 0)?,
        caller_connections: listeners,
    })
}

/// Reports contradictions between sections of the configuration.
pub fn check(config: &Config, problems: &Problems<'_>) {
    check_listener_addresses(config, problems);
    for (name, class) in &config.classes {
        let asserted = class.assertions.iter().any(|a| a == "deadline-under-aim");
        if class.class.deadline < class.class.latency_target && !asserted {
            let (found, expected) =
                (format_duration(class.class.deadline), format_duration(class.class.latency_target));
            let expected = format!("at least the aim, {expected}");
            problems.assertable_error(
                &class.span,
                &format!("class.{name}.deadline"),
                found,
                expected,
                "deadline-under-aim",
            );
        }
        let uses_class = |r: &RouteConfig| {
            r.classes.contains(name) || r.operation.as_ref().is_some_and(|o| o.restricted_class == *name)
        };
        if !config.routes.iter().any(uses_class) {
            problems.warning(&class.span, &format!("class.{name}"), "no route that uses it", "at least one");
        }
    }
    for (name, pool) in &config.pools {
        if !config.routes.iter().any(|r| r.split.iter().any(|(p, _)| p == name)) {
            problems.warning(&pool.span, &format!("pool.{name}"), "no route that uses it", "at least one");
        }
    }
    let mut names: BTreeMap<&str, &RouteConfig> = BTreeMap::new();
    for route in &config.routes {
        check_route(config, route, problems);
        if let Some(before) = names.insert(&route.route.name, route) {
            let found = format!("the name {:?} of line {}", route.route.name, problems.line(&before.span));
            problems.error(&route.span, "route.name", found, "a unique name");
        }
    }
    for (name, listener) in &config.listeners {
        let routes_here: Vec<&RouteConfig> =
            config.routes.iter().filter(|r| r.listeners.contains(name)).collect();
        if routes_here.is_empty() {
            problems.error(&listener.span, &format!("listener.{name}"), "no route", "at least one");
        }
        check_route_conflicts(&routes_here, problems);
        check_ready_path(name, &listener.ready_path, &routes_here, problems);
    }
    match divide_resources(config) {
        Err(found) => {
            let expected = "larger limits, or fewer listeners and pools";
            problems.error(&config.limits.span, "limits", found, expected);
        }
        Ok(division) => check_body_limits(config, &division, problems),
    }
}

/// Formats a duration in milliseconds.
fn format_duration(micros: u64) -> String {
    format!("{}ms", micros as f64 / 1000.0)
}

/// Reports listeners that share an address.
fn check_listener_addresses(config: &Config, problems: &Problems<'_>) {
    let mut seen = BTreeMap::new();
    for (name, listener) in &config.listeners {
        // Port 0 is a different port each time.
        if listener.address.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(listener.address, name) {
            let found = format!("{}, the address of {other:?}", listener.address);
            let key = format!("listener.{name}.address");
            problems.error(&listener.span, &key, found, "an address that no other listener uses");
        }
    }
}

/// Reports contradictions within one route and between the route and its classes.
fn check_route(config: &Config, route: &RouteConfig, problems: &Problems<'_>) {
    let name = &route.route.name;
    let key = |key: &str| format!("route {name:?}: {key}");
    let asserted = |what: &str| route.assertions.iter().any(|a| a == what);
    for class_name in &route.classes {
        let Some(named) = config.classes.get(class_name) else { continue };
        let class = &named.class;
        let writes: Vec<&str> =
            route.route.methods.iter().map(String::as_str).filter(|m| !SAFE_METHODS.contains(m)).collect();
        let any = route.route.methods.is_empty();
        if class.effect == Effect::Safe && (any || !writes.is_empty()) && !asserted("write-method-is-safe") {
            let methods = if any { "all methods".to_owned() } else { writes.join(", ") };
            let found =
                format!("{methods} in the class {class_name:?}, whose requests may be retried without limit");
            let expected = "method = [\"GET\", \"HEAD\"] or a class that is not safe";
            problems.assertable_error(&route.span, &key("method"), found, expected, "write-method-is-safe");
        }
        match (class.effect, &route.key) {
            (Effect::Keyed { .. }, None) => {
                let found = format!("no key for the keyed class {class_name:?}");
                let expected = "where a request contains its key, such as \"header:Idempotency-Key\"";
                problems.error(&route.span, &key("key"), found, expected);
            }
            (Effect::Keyed { .. }, Some(crate::model::ValueSource::Fixed(value))) => {
                let found = format!("the same key {value:?} for all requests");
                problems.error(&route.span, &key("key"), found, "a key that differs from request to request");
            }
            _ => {}
        }
        if route.deadline.is_some_and(|d| d < class.latency_target) && !asserted("deadline-under-aim") {
            let found = format_duration(route.deadline.unwrap_or(0));
            let expected =
                format!("at least the aim of {class_name:?}, {}", format_duration(class.latency_target));
            problems.assertable_error(&route.span, &key("deadline"), found, expected, "deadline-under-aim");
        }
    }
    let sum: u64 = route.split.iter().map(|(_, w)| u64::from(*w)).sum();
    if sum == 0 {
        problems.error(&route.span, &key("split"), "weights that are all 0", "at least one weight above 0");
    } else if sum != u64::from(TOTAL_WEIGHT) && !asserted("split-sum") {
        let found = format!("weights that add up to {sum}");
        problems.assertable_error(
            &route.span,
            &key("split"),
            found,
            format!("{TOTAL_WEIGHT} in all"),
            "split-sum",
        );
    }
    if route.sticky.is_some() && route.split.len() < 2 {
        problems.warning(&route.span, &key("sticky"), "one pool", "a split, or no sticky");
    }
}

/// Reports overlapping, contradictory and unreachable routes among the routes of one listener.
fn check_route_conflicts(routes_here: &[&RouteConfig], problems: &Problems<'_>) {
    let routes: Vec<Route> = routes_here.iter().map(|r| r.route.clone()).collect();
    let name = |at: usize| {
        format!("{:?} (line {})", routes_here[at].route.name, problems.line(&routes_here[at].span))
    };
    let asserts = |at: usize, what: &str| routes_here[at].assertions.iter().any(|a| a == what);
    for finding in analyze(&routes) {
        match finding {
            Finding::Overlap(a, b) if !(asserts(a, "overlap") && asserts(b, "overlap")) => {
                let found = format!("requests that fit {} as well, and neither goes first", name(a));
                let expected = "another method, path or condition, or an additional condition on one route";
                let key = format!("route {:?}", routes_here[b].route.name);
                problems.assertable_error(&routes_here[b].span, &key, found, expected, "overlap");
            }
            Finding::Contradiction(at, i, j) if !asserts(at, "unreachable") => {
                let conditions = &routes_here[at].route.conditions;
                let found = format!("{} together with {}", conditions[i], conditions[j]);
                let key = format!("route {:?}", routes_here[at].route.name);
                let expected = "conditions that one request can meet";
                problems.assertable_error(&routes_here[at].span, &key, found, expected, "unreachable");
            }
            Finding::Shadowed(at, by) if !asserts(at, "unreachable") => {
                let by: BTreeSet<String> = by.into_iter().map(name).collect();
                let by = by.into_iter().collect::<Vec<_>>().join(", ");
                let found = format!("all its requests go to {by}");
                let key = format!("route {:?}", routes_here[at].route.name);
                problems.assertable_error(
                    &routes_here[at].span,
                    &key,
                    found,
                    "requests that no other route takes first",
                    "unreachable",
                );
            }
            _ => {}
        }
    }
}

/// Reports routes for the readiness path, which the listener answers itself.
fn check_ready_path(listener: &str, ready: &str, routes_here: &[&RouteConfig], problems: &Problems<'_>) {
    let Ok(ready_path) = Path::parse(ready) else { return };
    for route in routes_here {
        let path = &route.route.path;
        let literal = path.parameter_count() == 0 && !path.prefix;
        if literal && path.matches(&ready_path) && !route.assertions.iter().any(|a| a == "unreachable") {
            let found = format!("{ready}, which listener {listener:?} answers itself");
            let key = format!("route {:?}: path", route.route.name);
            problems.assertable_error(&route.span, &key, found, "another path or ready_path", "unreachable");
        }
    }
}

/// Reports pools whose memory is too small for the largest body of a route and its buffered response.
fn check_body_limits(config: &Config, division: &ResourceDivision, problems: &Problems<'_>) {
    let (own, reserve) = &division.body_bytes;
    for (at, (name, pool)) in config.pools.iter().enumerate() {
        // The most a pool can use while other pools are idle: its guaranteed part and half of the reserve.
        let max_bytes = own[at] + reserve / 2;
        let largest = config.routes.iter().filter(|r| r.split.iter().any(|(p, _)| p == name));
        let Some(largest) = largest.max_by_key(|r| r.body_limit) else { continue };
        let needed = largest.body_limit.saturating_add(pool.max_buffered_response());
        if needed > max_bytes {
            let found = format!("{needed} bytes for one body and its answer in pool {name:?}");
            let expected = format!("at most {max_bytes}, the part of limits.memory for this pool");
            problems.error(
                &largest.span,
                &format!("route {:?}: body_limit", largest.route.name),
                found,
                expected,
            );
        }
    }
}
