//! Reads all sections except routes, descriptions and membership sources.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use finchshift::{Class, DedupGroup, Effect, Micros, Tenant};
use toml::Spanned;
use toml::de::DeTable;

use crate::model::{
    ClassConfig, Config, Control, ControlKey, DeclineRule, Fleet, Instance, Limits, Listener, Log, Node,
    Nodes, Pool, Work,
};
use crate::problem::Problems;
use crate::read::{ByteSize, Located, Section, TimeSpan};
use crate::{descriptions, routes, sources};

/// One millisecond in microseconds.
const MILLISECOND: Micros = 1_000;
/// One second in microseconds.
const SECOND: Micros = 1_000_000;

/// Reads the whole configuration and adds its problems to `problems`. `descriptors` is the number of file descriptors
/// that the process may open.
pub fn config<'a>(
    table: &'a Spanned<DeTable<'a>>,
    problems: &'a Problems<'a>,
    descriptors: usize,
) -> Option<Config> {
    let root = Section::new(table, "", problems);
    let instance = instance(root.section("instance"));
    let limits = limits(root.section("limits"), descriptors);
    let work = work(root.section("work"));
    let control = root.section("control").map(control).unwrap_or_default();
    let log = root.section("log").map(log).unwrap_or_default();
    let fleet = root.section("fleet").and_then(fleet);
    let announce = root.section("announce").and_then(|section| sources::announce(section, &instance));
    // Names of invalid sections count as known, so that references to them are not reported as a second error.
    let (mut named, mut classes) = (Vec::new(), BTreeMap::new());
    for (name, section) in root.named_sections("class") {
        named.push(name.value.clone());
        if let Some(class) = class(section) {
            classes.insert(name.value, class);
        }
    }
    let class_names = std::mem::take(&mut named);
    let mut listeners = BTreeMap::new();
    for (name, section) in root.named_sections("listener") {
        named.push(name.value.clone());
        if let Some(listener) = listener(section) {
            listeners.insert(name.value, listener);
        }
    }
    let listener_names = std::mem::take(&mut named);
    let mut pools = BTreeMap::new();
    for (name, section) in root.named_sections("pool") {
        named.push(name.value.clone());
        if let Some(pool) = pool(section, &instance, fleet.as_ref().map(|f| f.max_instances)) {
            pools.insert(name.value, pool);
        }
    }
    let tenants = root
        .named_sections("tenant")
        .into_iter()
        .map(|(name, section)| (name.value, tenant(section)))
        .collect();
    let names = routes::KnownNames { classes: class_names, listeners: listener_names, pools: named };
    let routes = root
        .section_list("route")
        .into_iter()
        .filter_map(|section| routes::read_route(section, &names))
        .collect();
    let described = |(name, section): (Located<String>, Section<'a>)| {
        descriptions::read_description(&name.value, section, &names).map(|d| (name.value, d))
    };
    let descriptions = root.named_sections("description").into_iter().filter_map(described).collect();
    for (list, what) in [(&names.listeners, "listener"), (&names.pools, "pool"), (&names.classes, "class")] {
        if list.is_empty() {
            problems.error(&(0..0), what, "nothing", format!("at least one [{what}.NAME]"));
        }
    }
    root.finish();
    Some(Config {
        instance,
        limits,
        work,
        control,
        log,
        fleet,
        announce,
        listeners,
        classes,
        tenants,
        pools,
        descriptions,
        routes,
    })
}

/// Reads `[fleet]`.
fn fleet(section: Section<'_>) -> Option<Fleet> {
    let address = section
        .required::<SocketAddr>("address", "the UDP address on which this instance listens for the others");
    let most = section.required::<u64>("most", "the maximum number of instances");
    if let Some(most) = most.as_ref().filter(|most| !(1..=4096).contains(&most.value)) {
        section.report(&most.span, "most", most.value.to_string(), "1 to 4096");
    }
    let mut keys = BTreeMap::new();
    for (name, key) in section.named_sections("key") {
        if let Some(file) = key.required::<String>("file", "the path of a file with the key in hex digits") {
            keys.insert(name.value, file.value);
        }
        key.finish();
    }
    let key = section.required::<String>("key_used", "the name of the key that signs outgoing messages");
    if let Some(key) = key.as_ref().filter(|key| !keys.contains_key(&key.value)) {
        let known: Vec<&str> = keys.keys().map(String::as_str).collect();
        let expected = format!("the name of a [fleet.key.NAME], one of {}", known.join(", "));
        section.report(&key.span, "key_used", format!("{:?}", key.value), expected);
    }
    let fleet = Fleet {
        address: address?.value,
        announced_address: section.get::<SocketAddr>("announced").map(|at| at.value),
        seeds: section.get_or("seeds", Vec::new()),
        max_instances: most?.value as u32,
        probe_period: positive(&section, "period", SECOND),
        bytes_per_second: section.get_or("bytes", ByteSize(20_000)).0,
        signing_key: key?.value,
        keys,
    };
    section.finish();
    Some(fleet)
}

/// Log levels, from the most to the least severe.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Reads `[log]`.
fn log(section: Section<'_>) -> Log {
    let mut log = Log::default();
    let expected = || format!("one of {}", LOG_LEVELS.join(", "));
    if let Some(form) = section.get::<String>("form") {
        log.json = form.value == "json";
        if !["text", "json"].contains(&form.value.as_str()) {
            section.report(&form.span, "form", format!("{:?}", form.value), "\"text\" or \"json\"");
        }
    }
    if let Some(level) = section.get::<String>("level") {
        if !LOG_LEVELS.contains(&level.value.as_str()) {
            section.report(&level.span, "level", format!("{:?}", level.value), expected());
        }
        log.level = level.value;
    }
    if let Some(levels) = section.section("levels") {
        for (area, level) in levels.pairs() {
            match level.as_str().filter(|level| LOG_LEVELS.contains(level)) {
                Some(level) => _ = log.levels.insert(area.value, level.to_owned()),
                None => levels.report(&area.span, &area.value, "another value", expected()),
            }
        }
    }
    if let Some(burst) = section.get::<f64>("burst") {
        if burst.value < 1.0 {
            section.report(&burst.span, "burst", burst.value.to_string(), "1 or more");
        }
        log.burst = burst.value;
    }
    log.rate = section.get_or("rate", log.rate);
    section.finish();
    log
}

/// Reads `[control]`.
fn control(section: Section<'_>) -> Control {
    let path = |key| section.get::<String>(key).map(|at| at.value);
    let (socket, orders) = (path("socket"), path("orders"));
    let address = section.get::<SocketAddr>("address");
    let mut keys = BTreeMap::new();
    for (name, key) in section.named_sections("key") {
        let file = key.required::<String>("file", "the path of a file with the key in hex digits");
        let may = key.get::<String>("may");
        if let Some(may) = may.as_ref().filter(|may| !["ask", "order"].contains(&may.value.as_str())) {
            key.report(&may.span, "may", format!("{:?}", may.value), "\"ask\" or \"order\"");
        }
        let orders = may.is_some_and(|may| may.value == "order");
        key.finish();
        if let Some(file) = file {
            keys.insert(name.value, ControlKey { file: file.value, allows_orders: orders });
        }
    }
    match &address {
        Some(at) if keys.is_empty() => {
            section.report(
                &at.span,
                "address",
                "no key",
                "at least one [control.key.NAME]: calls there are signed",
            );
        }
        None if socket.is_none() => {
            let expected = "the path of the operators' socket, or an address";
            section.report(&section.span, "socket", "nothing", expected);
        }
        _ => {}
    }
    let address = address.map(|at| at.value);
    section.finish();
    Control { socket, orders_file: orders, address, keys }
}

/// Reads `[instance]`; without it, a single instance with default names.
fn instance(section: Option<Section<'_>>) -> Instance {
    let mut instance =
        Instance { name: "sloeline".to_owned(), zone: "default".to_owned(), number: 0, count: 1 };
    let Some(section) = section else { return instance };
    instance.name = section.get_or("name", instance.name);
    instance.zone = section.get_or("zone", instance.zone);
    let (number, count) = (section.get::<u64>("number"), section.get::<u64>("count"));
    instance.count = count.as_ref().map_or(1, |c| c.value as u32);
    instance.number = number.as_ref().map_or(0, |n| n.value as u32);
    if let Some(count) = count.filter(|c| c.value == 0) {
        section.report(&count.span, "count", "0", "at least 1");
    } else if instance.number >= instance.count {
        let span = number.map_or(section.span.clone(), |n| n.span);
        let expected = format!("less than instance.count, {}: numbers start at 0", instance.count);
        section.report(&span, "number", instance.number.to_string(), expected);
    }
    section.finish();
    instance
}

/// Reads `[limits]`. `descriptors` is the default and the upper bound of `limits.descriptors`.
fn limits(section: Option<Section<'_>>, descriptors: usize) -> Limits {
    let mut limits = Limits { descriptors, memory: 256 << 20, stop_timeout: None, span: 0..0 };
    let Some(section) = section else { return limits };
    if let Some(given) = section.get::<u64>("descriptors") {
        let most = given.value as usize;
        if most > descriptors {
            let expected = format!("at most {descriptors}, the limit of this process (ulimit -n)");
            section.report(&given.span, "descriptors", most.to_string(), expected);
        }
        limits.descriptors = most;
    }
    limits.memory = section.get_or("memory", ByteSize(limits.memory)).0;
    limits.stop_timeout = section.get::<TimeSpan>("stop_within").map(|t| t.value.0);
    limits.span = section.span.clone();
    section.finish();
    limits
}

/// Reads an optional duration that must be greater than 0, with a default.
pub fn positive(section: &Section<'_>, key: &'static str, default: Micros) -> Micros {
    match section.get::<TimeSpan>(key) {
        Some(Located { value: TimeSpan(0), span }) => {
            section.report(&span, key, "0", "a duration greater than 0");
            default
        }
        Some(at) => at.value.0,
        None => default,
    }
}

/// Reads an optional header name and converts it to lower case.
pub fn header_name(section: &Section<'_>, key: &'static str) -> Option<String> {
    let name = section.get::<String>(key)?;
    if !is_header_name(&name.value) {
        section.report(&name.span, key, format!("{:?}", name.value), "the name of a header");
        return None;
    }
    Some(name.value.to_ascii_lowercase())
}

/// Whether a string is a valid header name: a token (RFC 9110 section 5.6.2).
pub fn is_header_name(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

/// Reads `[listener.NAME]`.
fn listener(section: Section<'_>) -> Option<Listener> {
    let address =
        section.required("address", "the address that callers connect to, such as \"127.0.0.1:8080\"");
    let connections = section.get::<u64>("connections");
    if let Some(none) = connections.as_ref().filter(|c| c.value == 0) {
        section.report(&none.span, "connections", "0", "at least 1");
    }
    let ready = section.get::<String>("ready_path");
    if let Some(path) = ready.as_ref().filter(|p| !p.value.starts_with('/')) {
        section.report(&path.span, "ready_path", format!("{:?}", path.value), "a path that begins with /");
    }
    let listener = Listener {
        address: address.as_ref().map_or(([0, 0, 0, 0], 0).into(), |a| a.value),
        max_connections: connections.map(|c| c.value as usize),
        deadline_header: header_name(&section, "deadline_header"),
        ready_path: ready.map_or("/health/ready".to_owned(), |p| p.value),
        idle_timeout: positive(&section, "idle_timeout", 60 * SECOND),
        head_timeout: positive(&section, "head_timeout", 5 * SECOND),
        body_timeout: positive(&section, "body_timeout", 30 * SECOND),
        span: section.span.clone(),
    };
    section.finish();
    address.map(|_| listener)
}

/// Reads `[class.NAME]`.
fn class(section: Section<'_>) -> Option<ClassConfig> {
    let group = section.get::<String>("group");
    let window = section.get::<TimeSpan>("window");
    let effect = section.required::<String>("effect", "\"safe\", \"keyed\" or \"unsafe\"");
    let effect = effect.and_then(|effect| match effect.value.as_str() {
        "safe" | "unsafe" => {
            if let Some((span, key)) = group.map(|g| (g.span, "group")).or(window.map(|w| (w.span, "window")))
            {
                section.report(&span, key, format!("{key} of a class that is not keyed"), "none");
            }
            Some(if effect.value == "safe" { Effect::Safe } else { Effect::Unsafe })
        }
        "keyed" => {
            let (known, expected) =
                (group.is_some(), "\"all\", \"zone\" or \"cell\": which upstreams drop a duplicate of a key");
            let group = group.and_then(|g| match g.value.as_str() {
                "all" => Some(DedupGroup::All),
                "zone" => Some(DedupGroup::Zone),
                "cell" => Some(DedupGroup::Cell),
                other => {
                    section.report(&g.span, "group", format!("{other:?}"), expected);
                    None
                }
            });
            if !known {
                section.report(&section.span, "group", "nothing", expected);
            }
            let window = match window {
                Some(Located { value: TimeSpan(0), span }) => {
                    section.report(&span, "window", "0", "how long upstreams remember a key");
                    None
                }
                Some(window) => Some(window.value.0),
                None => {
                    section.report(&section.span, "window", "nothing", "how long upstreams remember a key");
                    None
                }
            };
            group.zip(window).map(|(group, window)| Effect::Keyed { group, window })
        }
        other => {
            let expected = "\"safe\", \"keyed\" or \"unsafe\"";
            section.report(&effect.span, "effect", format!("{other:?}"), expected);
            None
        }
    });
    let aim = section.required::<TimeSpan>("aim", "the latency target of a response").map(|t| t.value.0);
    let deadline = section.required::<TimeSpan>("deadline", "how long callers wait").map(|t| t.value.0);
    for (value, key) in [(aim, "aim"), (deadline, "deadline")] {
        if value == Some(0) {
            section.report(&section.span, key, "0", "a duration greater than 0");
        }
    }
    let late = section.get::<f64>("late_worth");
    if let Some(late) = late.as_ref().filter(|l| l.value > 1.0) {
        section.report(&late.span, "late_worth", late.value.to_string(), "a share of the worth, from 0 to 1");
    }
    let worth = section.get_or("worth", 1.0);
    let assert = section.get_or("assert", Vec::new());
    let span = section.span.clone();
    section.finish();
    let class = Class {
        effect: effect?,
        max_runs: u32::MAX,
        latency_target: aim.filter(|a| *a > 0)?,
        target_per_work: 0.0,
        deadline: deadline.filter(|d| *d > 0)?,
        value: worth,
        late_value_ratio: late.map_or(0.0, |l| l.value),
        stream: false,
    };
    Some(ClassConfig { class, assertions: assert, span })
}

/// Reads `[work]`.
fn work(section: Option<Section<'_>>) -> Work {
    let mut work = Work { cpu_share: 0.2, time_slice: 2_000 };
    let Some(section) = section else { return work };
    if let Some(processor) = section.get::<f64>("processor") {
        if processor.value > 0.0 && processor.value <= 1.0 {
            work.cpu_share = processor.value;
        } else {
            let expected = "a share of a core, more than 0 and up to 1";
            section.report(&processor.span, "processor", processor.value.to_string(), expected);
        }
    }
    work.time_slice = positive(&section, "slice", work.time_slice);
    section.finish();
    work
}

/// Reads `[tenant.NAME]`.
fn tenant(section: Section<'_>) -> Tenant {
    let tenant = Tenant { share: section.get_or("share", 0.0), quota: section.get_or("quota", 0.0) };
    section.finish();
    tenant
}

/// Reads `[pool.NAME]`. `max_instances` is the size limit of the fleet, `None` without a fleet.
fn pool(section: Section<'_>, instance: &Instance, max_instances: Option<u32>) -> Option<Pool> {
    let nodes = nodes(&section, instance);
    let weight = section.get::<f64>("weight");
    if let Some(none) = weight.as_ref().filter(|w| w.value == 0.0) {
        section.report(&none.span, "weight", "0", "more than 0");
    }
    let attempts = section.get::<u64>("attempts");
    if let Some(wrong) = attempts.as_ref().filter(|a| !(1..=4).contains(&a.value)) {
        section.report(&wrong.span, "attempts", wrong.value.to_string(), "1 to 4");
    }
    let cold = section.get::<f64>("cold_from");
    if let Some(wrong) = cold.as_ref().filter(|c| c.value == 0.0 || c.value > 1.0) {
        section.report(
            &wrong.span,
            "cold_from",
            wrong.value.to_string(),
            "a share of the full capacity, more than 0 and up to 1",
        );
    }
    let overload = section.get::<f64>("overload_factor");
    if let Some(wrong) = overload.as_ref().filter(|o| o.value < 1.0) {
        section.report(&wrong.span, "overload_factor", wrong.value.to_string(), "1 or more");
    }
    let zones = section.get::<u64>("zones");
    if let Some(none) = zones.as_ref().filter(|z| z.value == 0) {
        section.report(&none.span, "zones", "0", "at least 1");
    }
    let fleet_rate = section.get::<u64>("fleet_rate");
    if let Some(rate) = &fleet_rate {
        match max_instances {
            None => section.report(&rate.span, "fleet_rate", "no fleet", "a [fleet] that shares it"),
            // Half of the rate is divided evenly among all instances; an instance that is cut off from the fleet must
            // have a share above 0.
            Some(most) if rate.value < 2 * u64::from(most) => {
                let expected = format!("at least {}, twice fleet.most", 2 * u64::from(most));
                section.report(&rate.span, "fleet_rate", rate.value.to_string(), expected);
            }
            Some(_) => {}
        }
    }
    let pool = Pool {
        fleet_rate: fleet_rate.map(|rate| rate.value),
        weight: weight.map_or(1.0, |w| w.value),
        zone_count: zones.map_or(1, |z| z.value as u32),
        max_attempts: attempts.map_or(4, |a| a.value as u32),
        drain_grace: section.get_or("drain_grace", TimeSpan(2 * SECOND)).0,
        initial_capacity_share: cold.map_or(0.13, |c| c.value),
        warm_up_time: section.get_or("warm_after", TimeSpan(24 * SECOND)).0,
        overload_factor: overload.map_or(3.0, |o| o.value),
        overload_time: section.get_or("tip_after", TimeSpan(1500 * MILLISECOND)).0,
        connect_timeout: positive(&section, "connect_timeout", SECOND),
        idle_timeout: positive(&section, "idle_timeout", 4 * SECOND),
        deadline_header: header_name(&section, "deadline_header"),
        declined: section.section("declined").and_then(declined),
        response_limit: section.get_or("answer_limit", ByteSize(64 << 10)).0,
        span: section.span.clone(),
        // Read above. A pool without valid upstreams is still read to the end, to report its other problems.
        nodes: nodes.clone().unwrap_or(Nodes::Static(Vec::new())),
    };
    section.finish();
    nodes.map(|_| pool)
}

/// Reads `[pool.NAME.declined]`.
fn declined(section: Section<'_>) -> Option<DeclineRule> {
    let name = section.required::<String>("header", "the name of a header").filter(|h| {
        let good = is_header_name(&h.value);
        if !good {
            section.report(&h.span, "header", format!("{:?}", h.value), "the name of a header");
        }
        good
    });
    let value = section.required::<String>("value", "the value of that header");
    let statuses = section.required::<Vec<u64>>("status", "a list of statuses, such as [503, 504]");
    if let Some(wrong) = statuses.as_ref().filter(|s| s.value.iter().any(|s| !(400..=599).contains(s))) {
        section.report(&wrong.span, "status", format!("{:?}", wrong.value), "statuses from 400 to 599");
    }
    section.finish();
    let statuses = statuses?.value.iter().map(|s| *s as u16).collect();
    Some(DeclineRule { header: name?.value.to_ascii_lowercase(), value: value?.value, statuses })
}

/// Reads where a pool's upstreams are listed: a static list, a file, a registry or sources.
fn nodes(section: &Section<'_>, instance: &Instance) -> Option<Nodes> {
    let list = section.section_list("nodes");
    let file = section.get::<String>("nodes_file");
    let registry = section.get("registry");
    let origins = section.section_list("source");
    let doubt = section.section("doubt").map(|doubt| (doubt.span.clone(), sources::membership_guard(doubt)));
    let given = [!list.is_empty(), file.is_some(), registry.is_some(), !origins.is_empty()];
    if let (Some((span, _)), true) = (&doubt, origins.is_empty()) {
        section.report(span, "doubt", "doubt without a source", "at least one source");
    }
    if given.iter().filter(|given| **given).count() != 1 {
        let given = given.iter().filter(|given| **given).count();
        let expected =
            "exactly one of nodes (a list of tables), nodes_file, registry and source (a list of tables)";
        section.report(&section.span, "nodes", format!("{given} sources of upstreams"), expected);
        list.into_iter().for_each(|entry| drop(node(entry, instance)));
        return None;
    }
    if let Some(file) = file {
        return Some(Nodes::File(file.value));
    }
    if let Some(registry) = registry {
        return Some(Nodes::Registry(registry.value));
    }
    if !origins.is_empty() {
        let origins = sources::membership_sources(section, origins, instance)?;
        return Some(Nodes::Sources(origins, doubt.map(|(_, doubt)| doubt).unwrap_or_default()));
    }
    let mut nodes: Vec<Node> = Vec::new();
    for entry in list {
        let span = entry.span.clone();
        let Some(node) = node(entry, instance) else { continue };
        if nodes.iter().any(|n| n.name == node.name) {
            section.report(&span, "nodes", format!("{:?} twice", node.name), "a unique name");
        }
        nodes.push(node);
    }
    Some(Nodes::Static(nodes))
}

/// Reads an entry of a static list of upstreams.
fn node(section: Section<'_>, instance: &Instance) -> Option<Node> {
    let address: Option<Located<std::net::SocketAddr>> =
        section.required("address", "the address of the upstream, such as \"127.0.0.1:9001\"");
    let weight = section.get::<f64>("weight");
    if let Some(none) = weight.as_ref().filter(|w| w.value == 0.0) {
        section.report(&none.span, "weight", "0", "more than 0");
    }
    let name = section.get::<String>("name").map(|n| n.value);
    let (zone, cell) = (section.get_or("zone", instance.zone.clone()), section.get_or("cell", 0_u64) as u32);
    let draining = section.get_or("draining", false);
    section.finish();
    let address = address?.value;
    let name = name.unwrap_or_else(|| address.to_string());
    Some(Node { name, address, zone, cell, weight: weight.map_or(1.0, |w| w.value), draining })
}
