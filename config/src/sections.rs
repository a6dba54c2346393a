//! Reads all sections but the routes.

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
use crate::read::{At, Section, Size, Time};
use crate::{descriptions, routes, sources};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Reads everything; nothing where the outermost parts are missing. Problems are noted on the way.
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
    // What is named but wrong is known by name all the same: it would be noted twice.
    let (mut named, mut classes) = (Vec::new(), BTreeMap::new());
    for (name, section) in root.named("class") {
        named.push(name.value.clone());
        if let Some(class) = class(section) {
            classes.insert(name.value, class);
        }
    }
    let class_names = std::mem::take(&mut named);
    let mut listeners = BTreeMap::new();
    for (name, section) in root.named("listener") {
        named.push(name.value.clone());
        if let Some(listener) = listener(section) {
            listeners.insert(name.value, listener);
        }
    }
    let listener_names = std::mem::take(&mut named);
    let mut pools = BTreeMap::new();
    for (name, section) in root.named("pool") {
        named.push(name.value.clone());
        if let Some(pool) = pool(section, &instance, fleet.as_ref().map(|f| f.max_instances)) {
            pools.insert(name.value, pool);
        }
    }
    let tenants =
        root.named("tenant").into_iter().map(|(name, section)| (name.value, tenant(section))).collect();
    let names = routes::Names { classes: class_names, listeners: listener_names, pools: named };
    let routes =
        root.list("route").into_iter().filter_map(|section| routes::route(section, &names)).collect();
    let described = |(name, section): (At<String>, Section<'a>)| {
        descriptions::section(&name.value, section, &names).map(|d| (name.value, d))
    };
    let descriptions = root.named("description").into_iter().filter_map(described).collect();
    for (list, what) in [(&names.listeners, "listener"), (&names.pools, "pool"), (&names.classes, "class")] {
        if list.is_empty() {
            problems.add(&(0..0), what, "nothing", format!("at least one [{what}.NAME]"));
        }
    }
    root.end();
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

fn fleet(section: Section<'_>) -> Option<Fleet> {
    let address = section.need::<SocketAddr>("address", "the address on which it hears the others, on UDP");
    let most = section.need::<u64>("most", "as many instances as there may be");
    if let Some(most) = most.as_ref().filter(|most| !(1..=4096).contains(&most.value)) {
        section.wrong(&most.span, "most", most.value.to_string(), "1 to 4096");
    }
    let mut keys = BTreeMap::new();
    for (name, key) in section.named("key") {
        if let Some(file) = key.need::<String>("file", "the path of a file with its hex digits") {
            keys.insert(name.value, file.value);
        }
        key.end();
    }
    let key = section.need::<String>("key_used", "the name of the key that is signed with");
    if let Some(key) = key.as_ref().filter(|key| !keys.contains_key(&key.value)) {
        let known: Vec<&str> = keys.keys().map(String::as_str).collect();
        let expected = format!("the name of a [fleet.key.NAME], one of {}", known.join(", "));
        section.wrong(&key.span, "key_used", format!("{:?}", key.value), expected);
    }
    let fleet = Fleet {
        address: address?.value,
        announced_address: section.get::<SocketAddr>("announced").map(|at| at.value),
        seeds: section.or("seeds", Vec::new()),
        max_instances: most?.value as u32,
        probe_period: positive(&section, "period", SECOND),
        bytes_per_second: section.or("bytes", Size(20_000)).0,
        signing_key: key?.value,
        keys,
    };
    section.end();
    Some(fleet)
}

/// What is told.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

fn log(section: Section<'_>) -> Log {
    let mut log = Log::default();
    let expected = || format!("one of {}", LEVELS.join(", "));
    if let Some(form) = section.get::<String>("form") {
        log.json = form.value == "json";
        if !["text", "json"].contains(&form.value.as_str()) {
            section.wrong(&form.span, "form", format!("{:?}", form.value), "\"text\" or \"json\"");
        }
    }
    if let Some(level) = section.get::<String>("level") {
        if !LEVELS.contains(&level.value.as_str()) {
            section.wrong(&level.span, "level", format!("{:?}", level.value), expected());
        }
        log.level = level.value;
    }
    if let Some(levels) = section.section("levels") {
        for (area, level) in levels.pairs() {
            match level.as_str().filter(|word| LEVELS.contains(word)) {
                Some(word) => _ = log.levels.insert(area.value, word.to_owned()),
                None => levels.wrong(&area.span, &area.value, "another value", expected()),
            }
        }
    }
    if let Some(burst) = section.get::<f64>("burst") {
        if burst.value < 1.0 {
            section.wrong(&burst.span, "burst", burst.value.to_string(), "1 or more");
        }
        log.burst = burst.value;
    }
    log.rate = section.or("rate", log.rate);
    section.end();
    log
}

fn control(section: Section<'_>) -> Control {
    let path = |key| section.get::<String>(key).map(|at| at.value);
    let (socket, orders) = (path("socket"), path("orders"));
    let address = section.get::<SocketAddr>("address");
    let mut keys = BTreeMap::new();
    for (name, key) in section.named("key") {
        let file = key.need::<String>("file", "the path of a file with its hex digits");
        let may = key.get::<String>("may");
        if let Some(may) = may.as_ref().filter(|may| !["ask", "order"].contains(&may.value.as_str())) {
            key.wrong(&may.span, "may", format!("{:?}", may.value), "\"ask\" or \"order\"");
        }
        let orders = may.is_some_and(|may| may.value == "order");
        key.end();
        if let Some(file) = file {
            keys.insert(name.value, ControlKey { file: file.value, allows_orders: orders });
        }
    }
    match &address {
        Some(at) if keys.is_empty() => {
            section.wrong(
                &at.span,
                "address",
                "no key",
                "at least one [control.key.NAME]: calls there are signed",
            );
        }
        None if socket.is_none() => {
            let expected = "the path of the operators' socket, or an address";
            section.wrong(&section.span, "socket", "nothing", expected);
        }
        _ => {}
    }
    let address = address.map(|at| at.value);
    section.end();
    Control { socket, orders_file: orders, address, keys }
}

fn instance(section: Option<Section<'_>>) -> Instance {
    let mut instance =
        Instance { name: "sloeline".to_owned(), zone: "default".to_owned(), number: 0, count: 1 };
    let Some(section) = section else { return instance };
    instance.name = section.or("name", instance.name);
    instance.zone = section.or("zone", instance.zone);
    let (number, count) = (section.get::<u64>("number"), section.get::<u64>("count"));
    instance.count = count.as_ref().map_or(1, |c| c.value as u32);
    instance.number = number.as_ref().map_or(0, |n| n.value as u32);
    if let Some(count) = count.filter(|c| c.value == 0) {
        section.wrong(&count.span, "count", "0", "at least 1");
    } else if instance.number >= instance.count {
        let span = number.map_or(section.span.clone(), |n| n.span);
        let expected = format!("less than instance.count, {}: numbers begin with 0", instance.count);
        section.wrong(&span, "number", instance.number.to_string(), expected);
    }
    section.end();
    instance
}

fn limits(section: Option<Section<'_>>, descriptors: usize) -> Limits {
    let mut limits = Limits { descriptors, memory: 256 << 20, stop_timeout: None, span: 0..0 };
    let Some(section) = section else { return limits };
    if let Some(given) = section.get::<u64>("descriptors") {
        let most = given.value as usize;
        if most > descriptors {
            let expected = format!("at most {descriptors}, what this process may hold (ulimit -n)");
            section.wrong(&given.span, "descriptors", most.to_string(), expected);
        }
        limits.descriptors = most;
    }
    limits.memory = section.or("memory", Size(limits.memory)).0;
    limits.stop_timeout = section.get::<Time>("stop_within").map(|t| t.value.0);
    limits.span = section.span.clone();
    section.end();
    limits
}

/// A span that must not be zero.
pub fn positive(section: &Section<'_>, key: &'static str, otherwise: Micros) -> Micros {
    match section.get::<Time>(key) {
        Some(At { value: Time(0), span }) => {
            section.wrong(&span, key, "0", "a span that is longer than nothing");
            otherwise
        }
        Some(at) => at.value.0,
        None => otherwise,
    }
}

/// The name of a header, in lower case.
pub fn header(section: &Section<'_>, key: &'static str) -> Option<String> {
    let name = section.get::<String>(key)?;
    if !good_header(&name.value) {
        section.wrong(&name.span, key, format!("{:?}", name.value), "the name of a header");
        return None;
    }
    Some(name.value.to_ascii_lowercase())
}

/// A token (RFC 9110 section 5.6.2).
pub fn good_header(name: &str) -> bool {
    !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b))
}

fn listener(section: Section<'_>) -> Option<Listener> {
    let address = section.need("address", "where callers connect, such as \"127.0.0.1:8080\"");
    let connections = section.get::<u64>("connections");
    if let Some(none) = connections.as_ref().filter(|c| c.value == 0) {
        section.wrong(&none.span, "connections", "0", "at least 1");
    }
    let ready = section.get::<String>("ready_path");
    if let Some(path) = ready.as_ref().filter(|p| !p.value.starts_with('/')) {
        section.wrong(&path.span, "ready_path", format!("{:?}", path.value), "a path that begins with /");
    }
    let listener = Listener {
        address: address.as_ref().map_or(([0, 0, 0, 0], 0).into(), |a| a.value),
        max_connections: connections.map(|c| c.value as usize),
        deadline_header: header(&section, "deadline_header"),
        ready_path: ready.map_or("/health/ready".to_owned(), |p| p.value),
        idle_timeout: positive(&section, "idle_timeout", 60 * SECOND),
        head_timeout: positive(&section, "head_timeout", 5 * SECOND),
        body_timeout: positive(&section, "body_timeout", 30 * SECOND),
        span: section.span.clone(),
    };
    section.end();
    address.map(|_| listener)
}

fn class(section: Section<'_>) -> Option<ClassConfig> {
    let group = section.get::<String>("group");
    let window = section.get::<Time>("window");
    let effect = section.need::<String>("effect", "\"safe\", \"keyed\" or \"unsafe\"");
    let effect = effect.and_then(|effect| match effect.value.as_str() {
        "safe" | "unsafe" => {
            if let Some((span, key)) = group.map(|g| (g.span, "group")).or(window.map(|w| (w.span, "window")))
            {
                section.wrong(&span, key, format!("{key} of a class that is not keyed"), "none");
            }
            Some(if effect.value == "safe" { Effect::Safe } else { Effect::Unsafe })
        }
        "keyed" => {
            let (known, expected) =
                (group.is_some(), "\"all\", \"zone\" or \"cell\": which upstreams drop a repeat");
            let group = group.and_then(|g| match g.value.as_str() {
                "all" => Some(DedupGroup::All),
                "zone" => Some(DedupGroup::Zone),
                "cell" => Some(DedupGroup::Cell),
                other => {
                    section.wrong(&g.span, "group", format!("{other:?}"), expected);
                    None
                }
            });
            if !known {
                section.wrong(&section.span, "group", "nothing", expected);
            }
            let window = match window {
                Some(At { value: Time(0), span }) => {
                    section.wrong(&span, "window", "0", "how long upstreams remember a key");
                    None
                }
                Some(window) => Some(window.value.0),
                None => {
                    section.wrong(&section.span, "window", "nothing", "how long upstreams remember a key");
                    None
                }
            };
            group.zip(window).map(|(group, window)| Effect::Keyed { group, window })
        }
        other => {
            let expected = "\"safe\", \"keyed\" or \"unsafe\"";
            section.wrong(&effect.span, "effect", format!("{other:?}"), expected);
            None
        }
    });
    let aim = section.need::<Time>("aim", "the span in which an answer is wanted").map(|t| t.value.0);
    let deadline = section.need::<Time>("deadline", "how long callers wait").map(|t| t.value.0);
    for (value, key) in [(aim, "aim"), (deadline, "deadline")] {
        if value == Some(0) {
            section.wrong(&section.span, key, "0", "a span that is longer than nothing");
        }
    }
    let late = section.get::<f64>("late_worth");
    if let Some(late) = late.as_ref().filter(|l| l.value > 1.0) {
        section.wrong(&late.span, "late_worth", late.value.to_string(), "a part of the worth, from 0 to 1");
    }
    let worth = section.or("worth", 1.0);
    let assert = section.or("assert", Vec::new());
    let span = section.span.clone();
    section.end();
    let class = Class {
        effect: effect?,
        latency_target: aim.filter(|a| *a > 0)?,
        target_per_work: 0.0,
        deadline: deadline.filter(|d| *d > 0)?,
        value: worth,
        late_value_ratio: late.map_or(0.0, |l| l.value),
        stream: false,
    };
    Some(ClassConfig { class, assertions: assert, span })
}

fn work(section: Option<Section<'_>>) -> Work {
    let mut work = Work { cpu_share: 0.2, time_slice: 2_000 };
    let Some(section) = section else { return work };
    if let Some(processor) = section.get::<f64>("processor") {
        if processor.value > 0.0 && processor.value <= 1.0 {
            work.cpu_share = processor.value;
        } else {
            let expected = "a part of a core, more than 0 and up to 1";
            section.wrong(&processor.span, "processor", processor.value.to_string(), expected);
        }
    }
    work.time_slice = positive(&section, "slice", work.time_slice);
    section.end();
    work
}

fn tenant(section: Section<'_>) -> Tenant {
    let tenant = Tenant { share: section.or("share", 0.0), quota: section.or("quota", 0.0) };
    section.end();
    tenant
}

fn pool(section: Section<'_>, instance: &Instance, most: Option<u32>) -> Option<Pool> {
    let nodes = nodes(&section, instance);
    let weight = section.get::<f64>("weight");
    if let Some(none) = weight.as_ref().filter(|w| w.value == 0.0) {
        section.wrong(&none.span, "weight", "0", "more than 0");
    }
    let attempts = section.get::<u64>("attempts");
    if let Some(wrong) = attempts.as_ref().filter(|a| !(1..=4).contains(&a.value)) {
        section.wrong(&wrong.span, "attempts", wrong.value.to_string(), "1 to 4");
    }
    let cold = section.get::<f64>("cold_from");
    if let Some(wrong) = cold.as_ref().filter(|c| c.value == 0.0 || c.value > 1.0) {
        section.wrong(
            &wrong.span,
            "cold_from",
            wrong.value.to_string(),
            "a part of a warm upstream, up to 1",
        );
    }
    let overload = section.get::<f64>("overload_factor");
    if let Some(wrong) = overload.as_ref().filter(|o| o.value < 1.0) {
        section.wrong(&wrong.span, "overload_factor", wrong.value.to_string(), "1 or more");
    }
    let zones = section.get::<u64>("zones");
    if let Some(none) = zones.as_ref().filter(|z| z.value == 0) {
        section.wrong(&none.span, "zones", "0", "at least 1");
    }
    let fleet_rate = section.get::<u64>("fleet_rate");
    if let Some(rate) = &fleet_rate {
        match most {
            None => section.wrong(&rate.span, "fleet_rate", "no fleet", "a [fleet] that shares it"),
            // Half of it is everybody's: an instance that is cut off must have something.
            Some(most) if rate.value < 2 * u64::from(most) => {
                let expected = format!("at least {}, twice fleet.most", 2 * u64::from(most));
                section.wrong(&rate.span, "fleet_rate", rate.value.to_string(), expected);
            }
            Some(_) => {}
        }
    }
    let pool = Pool {
        fleet_rate: fleet_rate.map(|rate| rate.value),
        weight: weight.map_or(1.0, |w| w.value),
        zone_count: zones.map_or(1, |z| z.value as u32),
        max_attempts: attempts.map_or(4, |a| a.value as u32),
        drain_grace: section.or("drain_grace", Time(2 * SECOND)).0,
        initial_capacity_share: cold.map_or(0.13, |c| c.value),
        warm_up_time: section.or("warm_after", Time(24 * SECOND)).0,
        overload_factor: overload.map_or(3.0, |o| o.value),
        overload_time: section.or("tip_after", Time(1500 * MILLISECOND)).0,
        connect_timeout: positive(&section, "connect_timeout", SECOND),
        idle_timeout: positive(&section, "idle_timeout", 4 * SECOND),
        deadline_header: header(&section, "deadline_header"),
        declined: section.section("declined").and_then(declined),
        response_limit: section.or("answer_limit", Size(64 << 10)).0,
        span: section.span.clone(),
        // Read above; put last so that a pool without any is read to its end.
        nodes: nodes.clone().unwrap_or(Nodes::Static(Vec::new())),
    };
    section.end();
    nodes.map(|_| pool)
}

fn declined(section: Section<'_>) -> Option<DeclineRule> {
    let name = section.need::<String>("header", "the name of a header").filter(|h| {
        let good = good_header(&h.value);
        if !good {
            section.wrong(&h.span, "header", format!("{:?}", h.value), "the name of a header");
        }
        good
    });
    let value = section.need::<String>("value", "the value of that header");
    let statuses = section.need::<Vec<u64>>("status", "a list of statuses, such as [503, 504]");
    if let Some(wrong) = statuses.as_ref().filter(|s| s.value.iter().any(|s| !(400..=599).contains(s))) {
        section.wrong(&wrong.span, "status", format!("{:?}", wrong.value), "statuses from 400 to 599");
    }
    section.end();
    let statuses = statuses?.value.iter().map(|s| *s as u16).collect();
    Some(DeclineRule { header: name?.value.to_ascii_lowercase(), value: value?.value, statuses })
}

fn nodes(section: &Section<'_>, instance: &Instance) -> Option<Nodes> {
    let list = section.list("nodes");
    let file = section.get::<String>("nodes_file");
    let registry = section.get("registry");
    let origins = section.list("source");
    let doubt = section.section("doubt").map(|doubt| (doubt.span.clone(), sources::doubt(doubt)));
    let given = [!list.is_empty(), file.is_some(), registry.is_some(), !origins.is_empty()];
    if let (Some((span, _)), true) = (&doubt, origins.is_empty()) {
        section.wrong(span, "doubt", "rules of doubt for lists that are not weighed", "source");
    }
    if given.iter().filter(|given| **given).count() != 1 {
        let given = given.iter().filter(|given| **given).count();
        let expected =
            "exactly one of nodes (a list of tables), nodes_file, registry and source (a list of tables)";
        section.wrong(&section.span, "nodes", format!("{given} sources of upstreams"), expected);
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
        let origins = sources::origins(section, origins, instance)?;
        return Some(Nodes::Sources(origins, doubt.map(|(_, doubt)| doubt).unwrap_or_default()));
    }
    let mut nodes: Vec<Node> = Vec::new();
    for entry in list {
        let span = entry.span.clone();
        let Some(node) = node(entry, instance) else { continue };
        if nodes.iter().any(|n| n.name == node.name) {
            section.wrong(&span, "nodes", format!("{:?} twice", node.name), "names that stand once");
        }
        nodes.push(node);
    }
    Some(Nodes::Static(nodes))
}

fn node(section: Section<'_>, instance: &Instance) -> Option<Node> {
    let address: Option<At<std::net::SocketAddr>> =
        section.need("address", "where it is, such as \"127.0.0.1:9001\"");
    let weight = section.get::<f64>("weight");
    if let Some(none) = weight.as_ref().filter(|w| w.value == 0.0) {
        section.wrong(&none.span, "weight", "0", "more than 0");
    }
    let name = section.get::<String>("name").map(|n| n.value);
    let (zone, cell) = (section.or("zone", instance.zone.clone()), section.or("cell", 0_u64) as u32);
    let draining = section.or("draining", false);
    section.end();
    let address = address?.value;
    let name = name.unwrap_or_else(|| address.to_string());
    Some(Node { name, address, zone, cell, weight: weight.map_or(1.0, |w| w.value), draining })
}
