//! What only shows when all sections are seen together.

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
/// Descriptors for the runtime, signals, standard streams and files.
const RESERVED: usize = 40;
/// Part of the other descriptors that callers may hold; upstreams have the rest.
const CALLERS: f64 = 0.55;
/// Part of the memory that the bodies of open requests and their answers may fill.
const BODIES: f64 = 0.4;

/// How descriptors and memory are divided.
#[derive(Clone, Debug, PartialEq)]
pub struct ResourceDivision {
    /// Connections of callers, for each listener.
    pub caller_connections: Vec<usize>,
    /// Connections to upstreams: each pool's own, and the common reserve.
    pub upstream_connections: (Vec<usize>, usize),
    /// Open requests, the same.
    pub open_requests: (Vec<usize>, usize),
    /// Bytes of bodies and answers, the same.
    pub body_bytes: (Vec<usize>, usize),
}

/// Divides what the process may take up; the error says what is short.
pub fn divide_resources(config: &Config) -> Result<ResourceDivision, String> {
    let limits = &config.limits;
    // Registries and watched files have a few each.
    let reserved = RESERVED + config.listeners.len() + 2 * config.pools.len().min(limits.descriptors / 8);
    let free = limits.descriptors.saturating_sub(reserved);
    let callers = (free as f64 * CALLERS) as usize;
    let fixed: usize = config.listeners.values().filter_map(|l| l.max_connections).sum();
    let open_ended = config.listeners.values().filter(|l| l.max_connections.is_none()).count();
    let each = callers.saturating_sub(fixed).checked_div(open_ended).unwrap_or(0);
    if fixed > callers || open_ended > 0 && each == 0 {
        return Err(format!(
            "{callers} connections of callers for {} listeners, of which {fixed} are asked for by name",
            config.listeners.len()
        ));
    }
    let listeners: Vec<usize> =
        config.listeners.values().map(|l| l.max_connections.unwrap_or(each)).collect();
    let weights: Vec<f64> = config.pools.values().map(|p| p.weight).collect();
    let share = |whole: usize, what: &str, least: usize| {
        divide(whole, &weights, least)
            .map_err(|needed| format!("{whole} {what} for pools that need {needed}"))
    };
    let taken = listeners.iter().sum();
    Ok(ResourceDivision {
        upstream_connections: share(free - callers, "connections to upstreams", 1)?,
        open_requests: share(taken, "open requests", 1)?,
        body_bytes: share((limits.memory as f64 * BODIES) as usize, "bytes for bodies", 0)?,
        caller_connections: listeners,
    })
}

/// Notes all that contradicts itself.
pub fn check(config: &Config, problems: &Problems<'_>) {
    addresses(config, problems);
    for (name, class) in &config.classes {
        let asserted = class.assertions.iter().any(|a| a == "deadline-under-aim");
        if class.class.deadline < class.class.latency_target && !asserted {
            let (found, expected) = (span(class.class.deadline), span(class.class.latency_target));
            let expected = format!("at least the aim, {expected}");
            problems.dangerous(
                &class.span,
                &format!("class.{name}.deadline"),
                found,
                expected,
                "deadline-under-aim",
            );
        }
        let given = |r: &RouteConfig| {
            r.classes.contains(name) || r.operation.as_ref().is_some_and(|o| o.restricted_class == *name)
        };
        if !config.routes.iter().any(given) {
            problems.warn(&class.span, &format!("class.{name}"), "no route that gives it", "one");
        }
    }
    for (name, pool) in &config.pools {
        if !config.routes.iter().any(|r| r.split.iter().any(|(p, _)| p == name)) {
            problems.warn(&pool.span, &format!("pool.{name}"), "no route that leads to it", "one");
        }
    }
    let mut names: BTreeMap<&str, &RouteConfig> = BTreeMap::new();
    for route in &config.routes {
        one_route(config, route, problems);
        if let Some(before) = names.insert(&route.route.name, route) {
            let found = format!("the name {:?} of line {}", route.route.name, problems.line(&before.span));
            problems.add(&route.span, "route.name", found, "names that stand once");
        }
    }
    for (name, listener) in &config.listeners {
        let on: Vec<&RouteConfig> = config.routes.iter().filter(|r| r.listeners.contains(name)).collect();
        if on.is_empty() {
            problems.add(&listener.span, &format!("listener.{name}"), "no route", "at least one");
        }
        contradictions(&on, problems);
        reserved(name, &listener.ready_path, &on, problems);
    }
    match divide_resources(config) {
        Err(found) => {
            let expected = "larger limits, or fewer listeners and pools";
            problems.add(&config.limits.span, "limits", found, expected);
        }
        Ok(division) => bodies(config, &division, problems),
    }
}

fn span(micros: u64) -> String {
    format!("{}ms", micros as f64 / 1000.0)
}

fn addresses(config: &Config, problems: &Problems<'_>) {
    let mut seen = BTreeMap::new();
    for (name, listener) in &config.listeners {
        // Port 0 is another port each time.
        if listener.address.port() == 0 {
            continue;
        }
        if let Some(other) = seen.insert(listener.address, name) {
            let found = format!("{}, the address of {other:?}", listener.address);
            let key = format!("listener.{name}.address");
            problems.add(&listener.span, &key, found, "an address of its own");
        }
    }
}

fn one_route(config: &Config, route: &RouteConfig, problems: &Problems<'_>) {
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
            let found = format!("{methods} in the class {class_name:?}, which may be repeated at will");
            let expected = "method = [\"GET\", \"HEAD\"] or a class that is not safe";
            problems.dangerous(&route.span, &key("method"), found, expected, "write-method-is-safe");
        }
        match (class.effect, &route.key) {
            (Effect::Keyed { .. }, None) => {
                let found = format!("no key for the keyed class {class_name:?}");
                let expected = "where the key stands, such as \"header:Idempotency-Key\"";
                problems.add(&route.span, &key("key"), found, expected);
            }
            (Effect::Keyed { .. }, Some(crate::model::ValueSource::Fixed(value))) => {
                let found = format!("the same key {value:?} for all requests");
                problems.add(&route.span, &key("key"), found, "a key that differs from request to request");
            }
            _ => {}
        }
        if route.deadline.is_some_and(|d| d < class.latency_target) && !asserted("deadline-under-aim") {
            let found = span(route.deadline.unwrap_or(0));
            let expected = format!("at least the aim of {class_name:?}, {}", span(class.latency_target));
            problems.dangerous(&route.span, &key("deadline"), found, expected, "deadline-under-aim");
        }
    }
    let sum: u64 = route.split.iter().map(|(_, w)| u64::from(*w)).sum();
    if sum == 0 {
        problems.add(&route.span, &key("split"), "weights that are all 0", "one that is more");
    } else if sum != u64::from(TOTAL_WEIGHT) && !asserted("split-sum") {
        let found = format!("weights that add up to {sum}");
        problems.dangerous(&route.span, &key("split"), found, format!("{TOTAL_WEIGHT} in all"), "split-sum");
    }
    if route.sticky.is_some() && route.split.len() < 2 {
        problems.warn(&route.span, &key("sticky"), "one pool", "a split, or no sticky");
    }
}

/// What routes of one listener say against each other.
fn contradictions(on: &[&RouteConfig], problems: &Problems<'_>) {
    let routes: Vec<Route> = on.iter().map(|r| r.route.clone()).collect();
    let name = |at: usize| format!("{:?} (line {})", on[at].route.name, problems.line(&on[at].span));
    let asserts = |at: usize, what: &str| on[at].assertions.iter().any(|a| a == what);
    for finding in analyze(&routes) {
        match finding {
            Finding::Overlap(a, b) if !(asserts(a, "overlap") && asserts(b, "overlap")) => {
                let found = format!("requests that fit {} as well, and neither goes first", name(a));
                let expected = "another method, path or condition, or one condition more on one of the two";
                let key = format!("route {:?}", on[b].route.name);
                problems.dangerous(&on[b].span, &key, found, expected, "overlap");
            }
            Finding::Contradiction(at, i, j) if !asserts(at, "unreachable") => {
                let conditions = &on[at].route.conditions;
                let found = format!("{} together with {}", conditions[i], conditions[j]);
                let key = format!("route {:?}", on[at].route.name);
                let expected = "conditions that one request can meet";
                problems.dangerous(&on[at].span, &key, found, expected, "unreachable");
            }
            Finding::Shadowed(at, by) if !asserts(at, "unreachable") => {
                let by: BTreeSet<String> = by.into_iter().map(name).collect();
                let by = by.into_iter().collect::<Vec<_>>().join(", ");
                let found = format!("that all its requests go to {by}");
                let key = format!("route {:?}", on[at].route.name);
                problems.dangerous(&on[at].span, &key, found, "requests of its own", "unreachable");
            }
            _ => {}
        }
    }
}

/// Routes for the path that the listener itself answers.
fn reserved(listener: &str, ready: &str, on: &[&RouteConfig], problems: &Problems<'_>) {
    let Ok(ready_path) = Path::parse(ready) else { return };
    for route in on {
        let path = &route.route.path;
        let literal = path.parameter_count() == 0 && !path.prefix;
        if literal && path.matches(&ready_path) && !route.assertions.iter().any(|a| a == "unreachable") {
            let found = format!("{ready}, which listener {listener:?} answers itself");
            let key = format!("route {:?}: path", route.route.name);
            problems.dangerous(&route.span, &key, found, "another path or ready_path", "unreachable");
        }
    }
}

fn bodies(config: &Config, division: &ResourceDivision, problems: &Problems<'_>) {
    let (own, reserve) = &division.body_bytes;
    for (at, (name, pool)) in config.pools.iter().enumerate() {
        // What a pool can have when it is alone: its own, and half of the reserve.
        let most = own[at] + reserve / 2;
        let largest = config.routes.iter().filter(|r| r.split.iter().any(|(p, _)| p == name));
        let Some(largest) = largest.max_by_key(|r| r.body_limit) else { continue };
        let needed = largest.body_limit.saturating_add(pool.max_buffered_response());
        if needed > most {
            let found = format!("{needed} bytes for one body and its answer in pool {name:?}");
            let expected = format!("at most {most}, its part of limits.memory");
            problems.add(
                &largest.span,
                &format!("route {:?}: body_limit", largest.route.name),
                found,
                expected,
            );
        }
    }
}
