//! `sloeline members FILE`: each pool's members as its sources tell them now, and why a node is out.

use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

use finchshift::{Micros, ServerState};
use serde_json::{Value, json};
use sloeline_config::model::{Config, Instance, Nodes};
use sloeline_engine::types::DiscoveryEntry;
use sloeline_membership::follow::SourceFollower;
use sloeline_membership::merge::Members;
use sloeline_membership::plausibility::{PlausibilityRules, Reason};
use sloeline_membership::view::MemberStatus;
use tokio::time::timeout;

use crate::origins;

fn state(state: ServerState) -> &'static str {
    match state {
        ServerState::Ready => "in",
        ServerState::Draining | ServerState::Gone => "out",
    }
}

fn span(micros: Micros) -> String {
    match micros / 1_000_000 {
        0 => format!("{} ms", micros / 1_000),
        s @ 1..120 => format!("{s} s"),
        s => format!("{} min", s / 60),
    }
}

fn reason(now: Micros, reason: Reason) -> String {
    match reason {
        Reason::Reported(MemberStatus::Serving) => "serves".to_owned(),
        Reason::Reported(MemberStatus::Draining) => "drains by order".to_owned(),
        Reason::Reported(MemberStatus::Maintenance) => "is in maintenance".to_owned(),
        Reason::Reported(MemberStatus::Unhealthy) => "its checks fail".to_owned(),
        Reason::CarriedOver => "was ordered out before its registry became another one".to_owned(),
        Reason::Retained { since, loss } => {
            format!("lost ({loss:?}) {} ago, and held", span(now.saturating_sub(since))).to_lowercase()
        }
    }
}

fn row(text: &mut String, listed: &DiscoveryEntry, source: &str, why: &str) {
    let (name, address, zone, state) =
        (&listed.instance, listed.address.to_string(), &listed.zone, state(listed.state));
    let _ = writeln!(text, "  {name:<24} {address:<22} {zone:<12} {state:<4} {source:<10} {why}");
}

fn show(text: &mut String, now: Micros, members: &Members) {
    for (name, health, revision, held) in members.sources() {
        let revision = revision.map_or("no view yet".to_owned(), |r| match r.epoch {
            0 => format!("revision {}", r.number),
            epoch => format!("revision {} of epoch {epoch}", r.number),
        });
        let age = health.confirmed.map_or("never confirmed".to_owned(), |at| {
            format!("confirmed {} ago", span(now.saturating_sub(at)))
        });
        let _ = write!(text, "  source {name}: {revision}, {age}");
        for (count, what) in [
            (held as u64, "held in doubt"),
            (health.refused, "answers refused"),
            (health.unreadable, "unreadable"),
        ] {
            let _ = if count > 0 { write!(text, ", {count} {what}") } else { Ok(()) };
        }
        let _ = writeln!(text, "{}", health.trouble.as_ref().map_or(String::new(), |why| format!("; {why}")));
    }
    for verdict in members.all() {
        let why = reason(now, verdict.reason);
        let by = verdict.by.as_ref().map_or(String::new(), |by| format!(", says {by}"));
        row(text, &verdict.listed, &verdict.source, &(why + &by));
    }
}

/// A pool's members, why each is in or out, and how its sources stand, for tools.
pub fn told(now: Micros, members: &Members) -> Value {
    let sources: Vec<Value> = members
        .sources()
        .map(|(name, health, revision, held)| {
            json!({
                "source": name,
                "revision": revision.map(|r| json!({"epoch": r.epoch, "number": r.number})),
                "confirmed_ms_ago": health.confirmed.map(|at| now.saturating_sub(at) / 1000),
                "held": held,
                "refused": health.refused,
                "unreadable": health.unreadable,
                "trouble": health.trouble,
            })
        })
        .collect();
    let of = |verdict: &sloeline_membership::merge::ResolvedMember| {
        let why = reason(now, verdict.reason);
        member(&verdict.listed, &verdict.source, &why, verdict.by.as_deref())
    };
    json!({"sources": sources, "members": members.all().iter().map(of).collect::<Vec<_>>()})
}

/// One member, for tools.
pub fn member(listed: &DiscoveryEntry, source: &str, why: &str, by: Option<&str>) -> Value {
    json!({
        "node": listed.instance,
        "address": listed.address.to_string(),
        "zone": listed.zone,
        "state": state(listed.state),
        "source": source,
        "why": why,
        "by": by,
    })
}

/// Asks every source once and says what came; the error is one line where a source told nothing in time.
pub async fn members(
    config: &Config,
    folder: &Path,
    only: Option<&str>,
    wait: Duration,
) -> Result<String, String> {
    let alone = Instance { count: 1, number: 0, ..config.instance.clone() };
    let (mut text, mut silent) = (String::new(), Vec::new());
    if let Some(name) = only.filter(|name| !config.pools.contains_key(*name)) {
        let pools: Vec<&str> = config.pools.keys().map(String::as_str).collect();
        return Err(format!("found pool {name:?}, expected one of {}", pools.join(", ")));
    }
    for (name, pool) in config.pools.iter().filter(|(name, _)| only.is_none_or(|only| only == *name)) {
        let _ = writeln!(text, "pool {name}");
        if let Nodes::Static(nodes) = &pool.nodes {
            for node in nodes {
                let listed = DiscoveryEntry {
                    instance: node.name.clone(),
                    address: node.address,
                    zone: node.zone.clone(),
                    kind: String::new(),
                    cell: node.cell,
                    state: if node.draining { ServerState::Draining } else { ServerState::Ready },
                    weight: node.weight,
                    started: None,
                };
                let why = if node.draining { "drains by order" } else { "serves" };
                row(&mut text, &listed, "nodes", why);
            }
            continue;
        }
        let rules = match &pool.nodes {
            Nodes::Sources(_, doubt) => origins::rules(doubt),
            _ => PlausibilityRules::default(),
        };
        // The instance asks alone: nothing that the fleet has in common failed here.
        let origins = origins::all(pool, &alone, folder);
        let following = SourceFollower::start(name, &origins, &rules, fastrand::u64(..), |_, _| {});
        let _ = timeout(wait, following.all_views_received()).await;
        following.inspect(|now, members| {
            show(&mut text, now, members);
            let quiet = members.sources().filter(|s| s.2.is_none());
            silent.extend(quiet.map(|s| format!("{name}/{}", s.0)));
        });
    }
    if silent.is_empty() {
        return Ok(text);
    }
    print!("{text}");
    Err(format!("no view within {} ms from {}", wait.as_millis(), silent.join(", ")))
}
