//! What the control socket is answered: the daemon as it runs.

use std::collections::BTreeMap;
use std::path::Path;

use serde_json::{Value, json};
use sloeline_config::model::Config;
use sloeline_operations::socket::{Answer, Asked, Socket, Verb};
use tokio::sync::{mpsc, oneshot};

use super::Daemon;
use crate::explain::explain;

/// Names in the one that are missing in the other, and those that are in both but differ.
fn differ<T: PartialEq>(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> Value {
    let gone: Vec<&String> = old.keys().filter(|name| !new.contains_key(*name)).collect();
    let come: Vec<&String> = new.keys().filter(|name| !old.contains_key(*name)).collect();
    let changed: Vec<&String> = old
        .iter()
        .filter(|(name, was)| new.get(*name).is_some_and(|is| is != *was))
        .map(|(name, _)| name)
        .collect();
    json!({"new": come, "gone": gone, "changed": changed})
}

/// Without places in the text, which differ where nothing does.
fn bare(config: &Config) -> Config {
    let mut config = config.clone();
    let none = 0..0;
    config.limits.span = none.clone();
    config.listeners.values_mut().for_each(|l| l.span = none.clone());
    config.classes.values_mut().for_each(|c| c.span = none.clone());
    config.pools.values_mut().for_each(|p| p.span = none.clone());
    config.descriptions.values_mut().for_each(|d| d.span = none.clone());
    config.routes.iter_mut().for_each(|r| r.span = none.clone());
    config
}

fn changes(old: &Config, new: &Config) -> Value {
    let (old, new) = (bare(old), bare(new));
    let routes = |config: &'_ Config| {
        config.routes.iter().map(|r| (r.route.name.clone(), r.clone())).collect::<BTreeMap<_, _>>()
    };
    let (was, is) = (routes(&old), routes(&new));
    json!({
        "listeners": differ(&old.listeners, &new.listeners),
        "classes": differ(&old.classes, &new.classes),
        "pools": differ(&old.pools, &new.pools),
        "routes": differ(&was, &is),
        "limits": old.limits != new.limits,
        "instance": old.instance != new.instance,
    })
}

/// What reading a file would change.
fn compare(old: &Config, file: &Path) -> Result<Value, String> {
    let (config, problems) = super::load(file)?;
    let told = || problems.iter().map(|p| format!("{}:{p}", file.display())).collect::<Vec<_>>().join("\n");
    config.map(|config| changes(old, &config)).ok_or_else(told)
}

impl Daemon {
    /// Answers a call at once; none for those that take long.
    fn answer(&self, verb: Verb) -> Option<Answer> {
        let answer = match verb {
            Verb::Status => Ok(self.status()),
            Verb::Pools => Ok(self.pools.iter().map(|(name, running)| running.told(name)).collect()),
            Verb::Members { pool } => self.only(pool.as_deref()).map(|pools| {
                let told = |name: &&String| (name.to_string(), self.pools[*name].members());
                Value::Object(pools.iter().map(told).collect())
            }),
            Verb::Work => Ok(self.work_told()),
            Verb::Operations => Ok(json!(self.operations.summary())),
            Verb::Out { node, pool } => self.order(&node, pool.as_deref(), true),
            Verb::Back { node, pool } => self.order(&node, pool.as_deref(), false),
            Verb::Changes | Verb::Explain { .. } => return None,
        };
        Some(answer.map_or_else(Answer::Refused, Answer::Done))
    }

    /// Answers a call; what takes long is done beside the requests.
    pub fn answer_to(&self, file: &Path, verb: Verb, to: oneshot::Sender<Answer>) {
        if let Some(answer) = self.answer(verb.clone()) {
            // Whoever asked may have left.
            let _ = to.send(answer);
            return;
        }
        let (config, file) = (self.config.clone(), file.to_owned());
        tokio::task::spawn_blocking(move || {
            let answer = match verb {
                // Makes a table of all routes.
                Verb::Explain { method, url, headers } => {
                    explain(&config, &method, &url, &headers).map(Value::String)
                }
                _ => compare(&config, &file),
            };
            let _ = to.send(answer.map_or_else(Answer::Refused, Answer::Done));
        });
    }

    /// Opens the socket that the configuration names, where it is not open; closes the one before.
    pub fn control(&self, socket: &mut Option<Socket>, asks: &mpsc::Sender<Asked>) {
        let wanted = self.config.control.as_ref().map(|path| self.folder.join(path));
        if socket.as_ref().map(Socket::path) == wanted.as_deref() {
            return;
        }
        *socket = None;
        let Some(path) = wanted else { return };
        match Socket::open(&path, asks.clone()) {
            Ok(open) => {
                eprintln!("sloeline: operators' calls on {}", path.display());
                *socket = Some(open);
            }
            Err(why) => eprintln!("sloeline: no operators' calls: {why}"),
        }
    }

    fn status(&self) -> Value {
        let listeners: Vec<Value> = self
            .listeners
            .values()
            .map(|heard| json!({"name": heard.name, "address": heard.address.to_string()}))
            .collect();
        let engines = || self.pools.values().map(|running| &running.pool.engine);
        json!({
            "instance": self.config.instance.name,
            "zone": self.config.instance.zone,
            "version": env!("CARGO_PKG_VERSION"),
            "configuration_age_s": self.since.elapsed().as_secs(),
            "listeners": listeners,
            "pools": self.pools.len(),
            "routes": self.config.routes.len(),
            "ready": engines().all(|engine| engine.listed()),
            "open_requests": engines().map(|engine| engine.open()).sum::<usize>(),
        })
    }

    fn work_told(&self) -> Value {
        let (overran, longest) = self.work.overran();
        self.work.with(|schedule, _| {
            let kinds: serde_json::Map<String, Value> = schedule
                .kinds()
                .iter()
                .map(|(name, kind)| {
                    let told = json!({
                        "turns": kind.turns, "done": kind.done, "failed": kind.failed, "late": kind.late,
                        "skipped": kind.skipped, "coalesced": kind.coalesced, "refused": kind.refused,
                        "cost_us": kind.cost.round(),
                    });
                    ((*name).to_owned(), told)
                })
                .collect();
            json!({
                "jobs": schedule.len(),
                "oldest_ms": schedule.oldest().map(|(waited, _)| waited / 1000),
                "processor_left_us": schedule.budgets().first().map(|b| b.left().round()),
                "gives_way_to": schedule.pressure.part(),
                "lag_us": schedule.pressure.lag().round(),
                "longest_turn_us": longest.as_micros() as u64,
                "overran": overran,
                "kinds": kinds,
            })
        })
    }

    /// One pool by its name, or all.
    fn only(&self, pool: Option<&str>) -> Result<Vec<&String>, String> {
        let named: Vec<&String> = self.pools.keys().filter(|name| pool.is_none_or(|p| p == *name)).collect();
        if named.is_empty() {
            let pools: Vec<&str> = self.pools.keys().map(String::as_str).collect();
            return Err(format!("found pool {:?}, expected one of {}", pool.unwrap_or(""), pools.join(", ")));
        }
        Ok(named)
    }

    /// Takes a node out, or puts it back, in one pool or wherever it is listed.
    fn order(&self, node: &str, pool: Option<&str>, out: bool) -> Result<Value, String> {
        let mut in_pools = Vec::new();
        for name in self.only(pool)? {
            let engine = &self.pools[name].pool.engine;
            if if out { engine.take_out(node) } else { engine.put_back(node) } {
                in_pools.push(name.as_str());
            }
        }
        if in_pools.is_empty() {
            return Err(format!("found node {node:?}, expected the name of one that is listed"));
        }
        eprintln!(
            "sloeline: ordered: {node} {} in {}",
            if out { "out" } else { "back" },
            in_pools.join(", ")
        );
        Ok(json!({"node": node, "pools": in_pools}))
    }
}
