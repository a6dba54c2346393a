//! What the control socket is answered: the daemon as it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::time::Duration;

use serde_json::{Value, json};
use sloeline_config::model::{Config, Control, ControlKey, Log, RouteConfig};
use sloeline_events::emit;
use sloeline_events::filter::{EventFilter, Levels, parse_level};
use sloeline_events::hub::{LineFormat, Settings, hub};
use sloeline_events::limit::Rate;
use sloeline_limits::Share;
use sloeline_operations::command::{Command, PendingCall, ReplySender};
use sloeline_operations::order_book::{Order, OrderTarget};
use sloeline_operations::signed_call::{Key, Permission, Secret};
use sloeline_operations::signed_http::SignedListener;
use sloeline_operations::socket::Socket;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::pools::Running;
use super::{Daemon, unix};
use crate::explain::explain;

/// Longest file of a key, in bytes.
const MOST_KEY: u64 = 4096;
/// Open requests of each pool that a snapshot holds.
const SNAPSHOT_REQUESTS: usize = 64;

/// Where a route leads, in a row.
fn route(route: &RouteConfig) -> Value {
    let pools: Vec<String> = route.split.iter().map(|(pool, weight)| format!("{pool}:{weight}")).collect();
    json!({
        "route": route.route.name,
        "listeners": route.listeners.join(" "),
        "pools": pools.join(" "),
        "classes": route.classes.join(" "),
        "operation": route.operation.as_ref().map(|o| o.name.clone()),
    })
}

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

/// Where operators call.
#[derive(Default)]
pub struct Doors {
    socket: Option<Socket>,
    /// With what the configuration says of it.
    address: Option<(SocketAddr, SignedListener)>,
}

/// What stands in a file that only its owner may read.
pub(super) fn secret_text(path: &Path) -> Result<String, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    let found = std::fs::metadata(path).map_err(|e| named(e.to_string()))?;
    if found.permissions().mode() & 0o077 != 0 {
        return Err(named("found one that others may read or write, expected mode 0600".to_owned()));
    }
    if found.len() > MOST_KEY {
        return Err(named(format!("found {} bytes, expected at most {MOST_KEY}", found.len())));
    }
    std::fs::read_to_string(path).map_err(|e| named(e.to_string()))
}

/// Reads the keys that a configuration names.
fn keys(control: &Control, folder: &Path) -> Result<BTreeMap<String, Key>, String> {
    let read = |(name, key): (&String, &ControlKey)| {
        let named = |why: String| format!("control.key.{name}: {why}");
        let text = secret_text(&folder.join(&key.file)).map_err(named)?;
        let permission = if key.allows_orders { Permission::Order } else { Permission::Read };
        Ok((name.clone(), Key { secret: Secret::read(&text).map_err(named)?, permission }))
    };
    control.keys.iter().map(read).collect()
}

/// Watches between two of which there is at least and at most this, in milliseconds.
const EVERY: std::ops::RangeInclusive<u64> = 100..=3_600_000;

/// Someone who is told again and again how it stands.
pub(super) struct Watcher {
    to: ReplySender,
    every: Duration,
    next: Instant,
}

/// Tells events as they come, after the latest of them.
fn tail(wanted: EventFilter, backlog: usize, to: ReplySender) {
    let Some(hub) = hub() else { return to.end(Err("this process keeps no events".to_owned())) };
    if let Err(why) = wanted.validate() {
        return to.end(Err(why));
    }
    let mut follows = hub.subscribe(wanted.clone());
    for record in hub.recent(&wanted, backlog) {
        to.more(record.json());
    }
    spawn_local(async move {
        loop {
            let next = tokio::select! {
                next = follows.recv() => next,
                () = to.left() => return,
            };
            // Others who follow have taken this one's place, or it takes nothing.
            if !next.is_some_and(|record| to.more(record.json())) {
                return;
            }
        }
    });
}

/// What a configuration says of logs.
pub(super) fn logs(log: &Log) -> Settings {
    let word = |word: &String| parse_level(word).unwrap_or(Levels::default().default_level);
    let areas = log.levels.iter().map(|(area, level)| (area.clone(), word(level))).collect();
    Settings {
        format: if log.json { LineFormat::Json } else { LineFormat::Text },
        levels: Levels { default_level: word(&log.level), areas },
        rate: Rate { burst: log.burst, per_second: log.rate },
    }
}

impl Daemon {
    /// Answers a call that asks how things stand, at once.
    fn asked(&self, verb: &Command) -> Result<Value, String> {
        let each = |pool: Option<&str>, of: &dyn Fn(&Running) -> Value| {
            self.only(pool).map(|pools| {
                let told = |name: &&String| (name.to_string(), of(&self.pools[*name]));
                Value::Object(pools.iter().map(told).collect())
            })
        };
        match verb {
            Command::Pools => Ok(self.pools.iter().map(|(name, running)| running.told(name)).collect()),
            Command::Members { pool } => each(pool.as_deref(), &Running::members),
            Command::Requests { pool, most } => each(pool.as_deref(), &|running| running.requests(*most)),
            Command::Budgets => Ok(self.budgets()),
            Command::Routes => Ok(self.config.routes.iter().map(route).collect()),
            Command::Work => Ok(self.work_told()),
            Command::Operations => Ok(json!(self.operations.summary())),
            Command::Orders => Ok(self.orders.borrow().told()),
            Command::Fleet => self.fleet_told(),
            Command::Snapshot => Ok(self.snapshot()),
            _ => Ok(self.status()),
        }
    }

    /// Answers a call, or sees to it that it is answered.
    pub fn answer_to(&self, file: &Path, asked: PendingCall) {
        let PendingCall { verb, who, to } = asked;
        match verb {
            Command::Out { node, pool, because } => {
                self.ordered(self.give(Order::Out { node, pool }, who, because), to);
            }
            Command::Drain { node, pool, because } => {
                let order = Order::Out { node: node.clone(), pool };
                self.drain(node, self.give(order, who, because), to);
            }
            Command::Back { node, pool, because } => {
                self.ordered(self.revoke(&OrderTarget::Node(node, pool), who, because), to);
            }
            Command::Standby { because } => self.ordered(self.give(Order::Standby, who, because), to),
            Command::Active { because } => {
                self.ordered(self.revoke(&OrderTarget::Instance, who, because), to)
            }
            Command::Limit { pool, open, rate, because } => {
                self.ordered(self.give(Order::Limit { pool, open, rate }, who, because), to);
            }
            Command::Unlimit { pool, because } => {
                self.ordered(self.revoke(&OrderTarget::Pool(pool), who, because), to);
            }
            Command::Tail { wanted, backlog } => tail(wanted, backlog, to),
            Command::Watch { every_ms } if EVERY.contains(&every_ms) => {
                let every = Duration::from_millis(every_ms);
                self.watchers.borrow_mut().push(Watcher { to, every, next: Instant::now() });
            }
            Command::Watch { every_ms } => {
                let (least, most) = (EVERY.start(), EVERY.end());
                to.end(Err(format!("every_ms: found {every_ms}, expected {least} to {most}")));
            }
            // Both take long: a table of all routes, a whole configuration.
            Command::Explain { method, url, headers } => {
                let config = self.config.clone();
                tokio::task::spawn_blocking(move || {
                    to.end(explain(&config, &method, &url, &headers).map(Value::String));
                });
            }
            Command::Changes => {
                let (config, file) = (self.config.clone(), file.to_owned());
                tokio::task::spawn_blocking(move || to.end(compare(&config, &file)));
            }
            asks => to.end(self.asked(&asks)),
        }
    }

    /// When something of the operators' is to be done by itself.
    pub fn due(&self) -> Option<Instant> {
        let watchers = self.watchers.borrow().iter().map(|w| w.next).min();
        self.orders.borrow().due().into_iter().chain(watchers).chain(self.kept_out_until()).min()
    }

    /// Does it.
    pub fn ring(&self) {
        if let Some(hub) = hub() {
            hub.flush_dropped();
        }
        self.pass();
        self.share();
        let now = Instant::now();
        let mut watchers = self.watchers.take();
        // Whoever has left, or takes nothing, is told no more.
        watchers.retain_mut(|watcher| {
            if watcher.next > now {
                return true;
            }
            watcher.next = now + watcher.every;
            watcher.to.more(self.status())
        });
        *self.watchers.borrow_mut() = watchers;
    }

    /// Opens what the configuration names and is not open; closes what it names no more.
    pub async fn open_doors(&self, doors: &mut Doors, asks: &mpsc::Sender<PendingCall>) {
        let control = &self.config.control;
        let wanted = control.socket.as_ref().map(|path| self.folder.join(path));
        if doors.socket.as_ref().map(Socket::path) != wanted.as_deref() {
            doors.socket = None;
            match wanted.map(|path| Socket::open(&path, asks.clone())) {
                Some(Ok(open)) => {
                    let at = open.path().display();
                    emit!(CONTROL_LISTENING, at = %at; "sloeline: operators' calls on {at}");
                    doors.socket = Some(open);
                }
                Some(Err(why)) => {
                    emit!(CONTROL_UNAVAILABLE, why = %why; "sloeline: no operators' calls: {why}")
                }
                None => {}
            }
        }
        if doors.address.as_ref().map(|(wanted, _)| *wanted) != control.address {
            doors.address = None;
        }
        let Some(wanted) = control.address else { return };
        let (control, folder) = (control.clone(), self.folder.clone());
        let read = tokio::task::spawn_blocking(move || keys(&control, &folder)).await;
        let keys = match read.unwrap_or_else(|e| Err(e.to_string())) {
            Ok(keys) => keys,
            // A key that can't be read must not end what the others are for.
            Err(why) => {
                return emit!(CONTROL_UNAVAILABLE, why = %why; "sloeline: no other keys for operators' calls: {why}");
            }
        };
        match &doors.address {
            Some((_, open)) => open.set_keys(keys),
            None => {
                let open = crate::platform::listen(wanted, false)
                    .and_then(|at| SignedListener::open(at, keys, asks.clone()).map_err(|e| e.to_string()));
                match open {
                    Ok(open) => {
                        let at = open.at();
                        emit!(CONTROL_LISTENING, at = %at; "sloeline: signed operators' calls on {at}");
                        doors.address = Some((wanted, open));
                    }
                    Err(why) => {
                        emit!(CONTROL_UNAVAILABLE, why = %why; "sloeline: no signed operators' calls: {why}")
                    }
                }
            }
        }
    }

    /// All that can be told, for later.
    fn snapshot(&self) -> Value {
        let asked = |verb: Command| self.asked(&verb).unwrap_or_default();
        json!({
            "at": unix(),
            "status": self.status(),
            "pools": asked(Command::Pools),
            "members": asked(Command::Members { pool: None }),
            "requests": asked(Command::Requests { pool: None, most: SNAPSHOT_REQUESTS }),
            "budgets": self.budgets(),
            "routes": asked(Command::Routes),
            "work": self.work_told(),
            "operations": asked(Command::Operations),
            "orders": asked(Command::Orders),
            "fleet": asked(Command::Fleet),
        })
    }

    /// What each pool may take up, and what it does.
    fn budgets(&self) -> Value {
        let share = |share: &Share| json!([share.used(), share.guaranteed(), share.borrowed()]);
        let pools: Vec<Value> = self
            .pools
            .iter()
            .map(|(name, running)| {
                let pool = &running.pool;
                let (open, rate) = pool.operator_limit.limits();
                json!({
                    "pool": name,
                    "open_used_own_borrowed": share(&pool.open_requests),
                    "connections_used_own_borrowed": share(running.connections()),
                    "bytes_used_own_borrowed": share(&pool.body_memory),
                    "limit_open": open,
                    "limit_rate": rate,
                    "refused_by_limit": pool.operator_limit.refused(),
                })
            })
            .collect();
        json!({
            "pools": pools,
            "reserves_free": {
                "open": self.reserves.open.free(),
                "connections": self.reserves.upstreams.free(),
                "bytes": self.reserves.bodies.free(),
            },
        })
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
            "ready": engines().all(|engine| engine.has_list()),
            "orders": self.orders.borrow().standing(),
            "open_requests": engines().map(|engine| engine.open_requests()).sum::<usize>(),
        })
    }

    fn work_told(&self) -> Value {
        let (overran, longest) = self.work.slice_overruns();
        self.work.with_schedule(|schedule, _| {
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
                "oldest_ms": schedule.oldest_ready().map(|(waited, _)| waited / 1000),
                "processor_left_us": schedule.budgets().first().map(|b| b.available().round()),
                "gives_way_to": schedule.pressure.budget_share(),
                "lag_us": schedule.pressure.current_lag().round(),
                "longest_turn_us": longest.as_micros() as u64,
                "overran": overran,
                "kinds": kinds,
            })
        })
    }

    /// One pool by its name, or all.
    pub(super) fn only(&self, pool: Option<&str>) -> Result<Vec<&String>, String> {
        let named: Vec<&String> = self.pools.keys().filter(|name| pool.is_none_or(|p| p == *name)).collect();
        if named.is_empty() {
            let pools: Vec<&str> = self.pools.keys().map(String::as_str).collect();
            return Err(format!("found pool {:?}, expected one of {}", pool.unwrap_or(""), pools.join(", ")));
        }
        Ok(named)
    }
}
