//! The daemon: listeners, routes and pools from one configuration, replaced as a whole on SIGHUP.

mod control;
mod fleet;
mod orders;
mod pools;
mod routes;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use finchshift::Micros;
use hyper::header::HeaderName;
use sloeline_config::check::{ResourceDivision, divide_resources};
use sloeline_config::model::{Announce, Config, Listener};
use sloeline_config::problem::Problem;
use sloeline_events::emit;
use sloeline_events::hub::hub;
use sloeline_fleet::shell::Fleet;
use sloeline_http::client_io::StageTimeouts;
use sloeline_http::routed::RoutedFrontend;
use sloeline_http::server::{HttpServer, Phase, ServerLimits};
use sloeline_limits::Reserve;
use sloeline_membership::announce::DesiredState;
use sloeline_membership::announce::transport::AnnouncerTask;
use sloeline_routing::table::Table;
use sloeline_settings::setup::NameTable;
use sloeline_work::budget::Budget;
use sloeline_work::schedule::{Job, Priority, Schedule};
use sloeline_work::worker::Worker;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::net::Net;
use crate::observed::{Beside, Operations};
use crate::origins;
use crate::platform::listen;
pub use control::Doors;
use control::Watcher;
use orders::Orders;
use pools::{Parts, Plan, Reserves, Running, Seen};
use routes::{BATCH, Led, Numbers, header, leads};

/// Operators' calls that wait for an answer.
const MOST_ASKED: usize = 16;
/// Most bytes of a configuration.
const MOST_TEXT: u64 = 64 << 20;
/// From the last deadline to the last answer.
const STOP_MARGIN: Micros = 500_000;
/// How long connections and requests are still taken after the order to stop.
const STILL_TAKEN: Duration = Duration::from_millis(500);
/// How long a registry has to take note that this instance leaves.
const WITHDRAWN_WITHIN: Duration = Duration::from_secs(1);
/// What is still open so long after the last answer was due is left: a caller that does not read.
const LEFT_OPEN: Duration = Duration::from_secs(1);

/// Reads a configuration file. Nothing is loaded where there are errors among the problems; the error is one line
/// on a file that cannot be read.
pub fn load(file: &Path) -> Result<(Option<Config>, Vec<Problem>), String> {
    let named = |why: String| format!("{}: {why}", file.display());
    let size = std::fs::metadata(file).map_err(|e| named(e.to_string()))?.len();
    if size > MOST_TEXT {
        return Err(named(format!("found {size} bytes, expected at most {MOST_TEXT}")));
    }
    let text = std::fs::read_to_string(file).map_err(|e| named(e.to_string()))?;
    let folder = file.parent().unwrap_or(Path::new("")).to_owned();
    Ok(match sloeline_config::load_with(&text, descriptors(), &Beside(folder)) {
        Ok((config, warnings)) => (Some(config), warnings),
        Err(problems) => (None, problems),
    })
}

/// How many descriptors this process may hold.
fn descriptors() -> usize {
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    // No limit is one that is never met.
    limit.map_or(1 << 20, |n| usize::try_from(n).unwrap_or(1 << 20)).min(1 << 20)
}

/// Reads a file for a daemon that runs: every problem is logged.
fn load_logged(file: &Path) -> Result<Loaded, String> {
    let (config, problems) = load(file)?;
    for problem in &problems {
        emit!(CONFIG_PROBLEM, file = %file.display(); "{}:{problem}", file.display());
    }
    config.map(Loaded::from).ok_or_else(|| format!("{}: errors", file.display()))
}

/// A configuration and what can be made of it beside the requests, on another thread.
pub struct Loaded {
    config: Config,
    /// The routes of each listener, ready for look-ups.
    tables: BTreeMap<String, Table>,
}

impl From<Config> for Loaded {
    fn from(config: Config) -> Loaded {
        let table = |name: &String| {
            let on = config.routes.iter().filter(|r| r.listeners.iter().any(|l| l == name));
            (name.clone(), Table::new(on.map(|r| r.route.clone()).collect()))
        };
        let tables = config.listeners.keys().map(table).collect();
        Loaded { config, tables }
    }
}

/// A configuration that is ready to be taken.
pub struct Prepared {
    config: Config,
    division: ResourceDivision,
    zones: NameTable,
    plans: Vec<(String, Plan)>,
    numbers: Numbers,
    operations: Operations,
    listeners: Vec<ListenerPlan>,
}

/// A listener under way.
struct Heard {
    name: String,
    address: SocketAddr,
    callers: Rc<HttpServer<RoutedFrontend<Net>>>,
    phases: watch::Sender<Phase>,
    task: JoinHandle<()>,
    /// Resolves when its address is free again.
    free: oneshot::Receiver<()>,
}

/// All that runs under one configuration.
pub struct Daemon {
    folder: PathBuf,
    config: Config,
    pools: BTreeMap<String, Running>,
    /// By their addresses, those without a port by their names.
    listeners: BTreeMap<String, Heard>,
    /// Listeners that are removed, until their addresses are free.
    closing: RefCell<Vec<oneshot::Receiver<()>>>,
    reserves: Reserves,
    zones: NameTable,
    operations: Operations,
    /// Since when the configuration is in force, its descriptions with it.
    since: Instant,
    rng: RefCell<fastrand::Rng>,
    /// Where this instance is announced, and by what words.
    announced: Option<(Announce, AnnouncerTask)>,
    /// When this instance started, in Unix time.
    started: Micros,
    work: Rc<Worker>,
    orders: orders::Shared,
    watchers: RefCell<Vec<Watcher>>,
    /// Its part in a fleet, if there is one.
    part: RefCell<Option<fleet::Part>>,
}

/// What a listener is known by from one configuration to the next.
fn identity(name: &str, address: SocketAddr) -> String {
    if address.port() == 0 { format!("{address}/{name}") } else { address.to_string() }
}

/// The present time, in Unix time.
fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

fn time(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}

fn room(config: &Config, listener: &Listener, places: usize) -> ServerLimits {
    let longest = config.longest_deadline() + STOP_MARGIN;
    let leave_within = time(config.limits.stop_timeout.unwrap_or(longest));
    ServerLimits {
        max_head_bytes: sloeline_http::DEFAULT_MAX_HEAD_BYTES,
        max_connections: places,
        timeouts: StageTimeouts {
            idle: time(listener.idle_timeout),
            head: time(listener.head_timeout),
            body: time(listener.body_timeout),
            body_min_rate: 0,
            body_silence: time(listener.body_timeout),
            body_within_time_left: false,
            upstream_stall: time(listener.idle_timeout),
            client_stall: time(listener.idle_timeout),
        },
        ready_path: listener.ready_path.clone(),
        drain_timeout: leave_within,
        accept_after_stop: STILL_TAKEN.min(leave_within / 2),
    }
}

/// What a listener is to be.
struct ListenerPlan {
    name: String,
    wanted: Listener,
    room: ServerLimits,
    /// Taken where the listener is new.
    socket: Option<TcpListener>,
    table: Table,
    led: Vec<Led>,
    deadline_header: Option<HeaderName>,
}

/// Most jobs of background work at once.
const MOST_WORK: usize = 10_000;
/// The budget of a configuration's background work: microseconds a second, and as many as gather in a quarter of one.
fn budget(config: &Config) -> (f64, f64) {
    let rate = config.work.cpu_share * 1e6;
    (rate, rate / 4.0)
}

impl Daemon {
    /// Starts everything; paths in the configuration are seen from the folder.
    pub async fn start(config: impl Into<Loaded>, folder: &Path, seed: u64) -> Result<Daemon, String> {
        let loaded = config.into();
        let config = &loaded.config;
        let (rate, most) = budget(config);
        let schedule = Schedule::new(MOST_WORK, vec![Budget::new(rate, most)], seed);
        let work = Worker::new(schedule, time(config.work.time_slice));
        spawn_local(work.clone().run());
        let reserve = || Reserve::new(0);
        let ledger = config.control.orders_file.as_ref().map(|path| folder.join(path));
        let mut daemon = Daemon {
            folder: folder.to_owned(),
            config: config.clone(),
            pools: BTreeMap::new(),
            listeners: BTreeMap::new(),
            closing: RefCell::default(),
            reserves: Reserves {
                upstreams: reserve(),
                open: reserve(),
                bodies: reserve(),
                lists: Rc::default(),
            },
            zones: NameTable::default(),
            operations: Operations::default(),
            since: Instant::now(),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            announced: None,
            started: unix(),
            work,
            orders: Rc::new(RefCell::new(Orders::open(ledger.as_deref())?)),
            watchers: RefCell::default(),
            part: RefCell::default(),
        };
        daemon.join().await?;
        let prepared = daemon.prepare(loaded).await?;
        daemon.commit(prepared, None)?;
        daemon.share();
        Ok(daemon)
    }

    /// Goes on under another configuration, or under the old one if there is an error: then nothing has changed.
    ///
    /// It is made ready in turns beside the requests and then taken at once, which took as long as is told. Dropped
    /// meanwhile, nothing has changed.
    pub async fn reload(&mut self, config: impl Into<Loaded>) -> Result<Duration, String> {
        let prepared = self.prepare(config).await?;
        self.commit(prepared, Some(unix()))
    }

    /// Makes ready all that can fail or takes long; changes nothing.
    pub async fn prepare(&self, config: impl Into<Loaded>) -> Result<Prepared, String> {
        let Loaded { config, mut tables } = config.into();
        let only_at_start = [
            ("instance.zone", Some(&config.instance.zone), Some(&self.config.instance.zone)),
            ("control.orders", config.control.orders_file.as_ref(), self.config.control.orders_file.as_ref()),
        ];
        for (key, found, expected) in only_at_start {
            if found != expected {
                let word = |text: Option<&String>| text.map_or("nothing".to_owned(), |t| format!("{t:?}"));
                let (found, expected) = (word(found), word(expected));
                return Err(format!("{key}: found {found}, expected {expected}: it changes with a restart"));
            }
        }
        fleet::same(&config, &self.config)?;
        let closing = self.closing.take();
        for free in closing {
            let _ = free.await;
        }
        let division = divide_resources(&config)?;
        let mut zones = NameTable::default();
        let mut turn = self.work.acquire_turn(Job::new("reload", 0, Priority::Normal)).await;
        let turn = turn.as_mut().map_err(|why| format!("no turn to make it ready in: {why:?}"))?;
        let classes = config.classes_by_pool();
        let mut plans: Vec<(String, Plan)> = Vec::new();
        for name in config.pools.keys() {
            let (classes, before) = (classes.get(name.as_str()), self.pools.get(name));
            let plan =
                Plan::new(name, &config, classes, &self.folder, &mut zones, before, self.seat(&config))?;
            plans.push((name.clone(), plan));
            turn.yield_if_over().await;
        }
        let numbers: Numbers = plans.iter().map(|(name, plan)| (name.clone(), plan.numbers())).collect();
        let operations = self.operations.plan(&config, self.rng.borrow_mut().u64(..));
        let heard = config.listeners.iter().zip(&division.caller_connections);
        let mut listeners: Vec<ListenerPlan> = Vec::new();
        for ((name, l), places) in heard {
            let table = tables.remove(name).unwrap_or_else(|| Table::new(Vec::new()));
            listeners.push(self.plan_listener(&config, name, l, *places, table)?);
            turn.yield_if_over().await;
        }
        for listener in &mut listeners {
            let on = config.routes.iter().filter(|r| r.listeners.contains(&listener.name));
            for (at, route) in on.enumerate() {
                let leads = leads(&config, route, &operations);
                let leads = leads.map_err(|why| format!("listener.{}: {why}", listener.name))?;
                listener.led.push(self.led(leads, &numbers));
                if at % BATCH == 0 {
                    turn.yield_if_over().await;
                }
            }
        }
        Ok(Prepared { config, division, zones, plans, numbers, operations, listeners })
    }

    /// Takes at once what was made ready: nothing here waits, and but for a defect nothing fails, so that no request sees
    /// one half of each. Nodes that are new count as started at `now`, if it is told.
    pub fn commit(&mut self, prepared: Prepared, now: Option<Micros>) -> Result<Duration, String> {
        let Prepared { config, division, mut zones, mut plans, mut numbers, operations, mut listeners } =
            prepared;
        let at_once = Instant::now();
        // Requests that came meanwhile may have numbers that were given away.
        let mut classes = None;
        for (name, plan) in &mut plans {
            if let Some(running) = self.pools.get(name).filter(|running| !plan.holds(running)) {
                let classes = classes.get_or_insert_with(|| config.classes_by_pool());
                *plan = Plan::new(
                    name,
                    &config,
                    classes.get(name.as_str()),
                    &self.folder,
                    &mut zones,
                    Some(running),
                    self.seat(&config),
                )?;
                let given = plan.numbers();
                if numbers.insert(name.clone(), given.clone()) != Some(given) {
                    self.unmake(&config, &operations, name, &mut listeners)?;
                }
            }
        }
        drop(classes);
        self.zones = zones;
        let mut known = Seen::new();
        for (node, since) in self.pools.values().flat_map(Running::seen) {
            let earliest = known.entry(node.clone()).or_insert(*since);
            // One that was there at the start before all others.
            *earliest = (*earliest).min(*since);
        }
        let since = (&known, now);
        let mut fresh = Vec::new();
        let mut changes = Vec::new();
        self.resize(&division);
        for (at, (name, plan)) in plans.into_iter().enumerate() {
            let parts = Parts {
                upstreams: division.upstream_connections.0[at],
                open: division.open_requests.0[at],
                bodies: division.body_bytes.0[at],
            };
            if self.pools.contains_key(&name) {
                changes.push((name, plan, parts));
            } else {
                let seed = self.rng.borrow_mut().u64(..);
                fresh.push((
                    name.clone(),
                    Running::start(&name, plan, &self.reserves, parts, &self.zones, since, seed)?,
                ));
            }
        }
        for (name, plan, parts) in changes {
            let seed = self.rng.borrow_mut().u64(..);
            if let Some(running) = self.pools.get_mut(&name) {
                running.change(plan, parts, since, seed);
            }
        }
        let gone: Vec<String> =
            self.pools.keys().filter(|n| !config.pools.contains_key(*n)).cloned().collect();
        let mut orders = self.orders.borrow_mut();
        fresh.iter().map(|(name, _)| name).chain(&gone).for_each(|name| orders.forget(name));
        drop(orders);
        self.pools.extend(fresh);
        self.hear(listeners, &numbers);
        // Last: by now no route leads there.
        for running in gone.iter().filter_map(|name| self.pools.remove(name)) {
            spawn_local(running.retire());
        }
        let (rate, most) = budget(&config);
        self.work.with_schedule(|schedule, _| schedule.set_budget(0, rate, most));
        let before = std::mem::replace(&mut self.config, config);
        tokio::task::spawn_blocking(move || drop(before));
        self.operations = operations;
        self.since = Instant::now();
        if let Some(hub) = hub() {
            hub.apply_settings(control::logs(&self.config.log));
        }
        self.fleet_keys();
        self.announce();
        self.hear_drains();
        self.carry_out();
        self.let_return();
        Ok(at_once.elapsed())
    }

    /// Announces this instance as the configuration says, once every pool has a list. An announcement that goes on in the
    /// same words is not touched: its readers see no change.
    fn announce(&mut self) {
        let wanted = self.config.announce.as_ref();
        if self.announced.as_ref().map(|(words, _)| words) == wanted {
            return;
        }
        if let Some((_, before)) = self.announced.take() {
            // It must not stand beside the next one, nor be kept alive for nothing.
            spawn_local(async move {
                before.set_desired(DesiredState::Gone);
                let _ = timeout(WITHDRAWN_WITHIN, before.is_current()).await;
            });
        }
        let Some(words) = wanted.cloned() else { return };
        let settings = origins::announce(&self.config, &words, self.started);
        match AnnouncerTask::start(settings, &words.endpoints, self.rng.borrow_mut().u64(..)) {
            Ok(announcement) => {
                let pools: Vec<_> = self.pools.values().map(Running::listed).collect();
                let ready = async move {
                    for listed in pools {
                        listed.await;
                    }
                };
                announcement.set_desired_after(ready, DesiredState::Serving);
                self.announced = Some((words, announcement));
            }
            Err(why) => emit!(ANNOUNCE_FAILED, why = %why; "announce: {why}"),
        }
    }

    fn resize(&self, division: &ResourceDivision) {
        self.reserves.upstreams.resize(division.upstream_connections.1);
        self.reserves.open.resize(division.open_requests.1);
        self.reserves.bodies.resize(division.body_bytes.1);
    }

    fn plan_listener(
        &self,
        config: &Config,
        name: &str,
        wanted: &Listener,
        places: usize,
        table: Table,
    ) -> Result<ListenerPlan, String> {
        let named = |why: String| format!("listener.{name}: {why}");
        let deadline_header = wanted.deadline_header.as_deref().map(header).transpose().map_err(named)?;
        let known = self.listeners.contains_key(&identity(name, wanted.address));
        let socket = if known { None } else { Some(listen(wanted.address, false).map_err(named)?) };
        let room = room(config, wanted, places);
        let (name, wanted, led) = (name.to_owned(), wanted.clone(), Vec::new());
        Ok(ListenerPlan { name, wanted, room, socket, table, led, deadline_header })
    }

    /// Changes the listeners that stay, starts those that are new, and closes those that are gone.
    fn hear(&mut self, plans: Vec<ListenerPlan>, numbers: &Numbers) {
        let mut gone = std::mem::take(&mut self.listeners);
        for plan in plans {
            let ListenerPlan { name, wanted, room, socket, table, led, deadline_header } = plan;
            let identity = identity(&name, wanted.address);
            let routes = self.routes(table, led, deadline_header, numbers);
            if let Some(mut heard) = gone.remove(&identity) {
                if let Some(before) = heard.callers.frontend().replace_routes(routes) {
                    self.take_apart(before);
                }
                heard.callers.set_limits(room);
                heard.name = name;
                self.listeners.insert(identity, heard);
            } else if let Some(socket) = socket {
                let address = socket.local_addr().unwrap_or(wanted.address);
                let instance = &self.config.instance.name;
                emit!(LISTENER_STARTED, listener = %name, address = %address; "sloeline {instance}: {name} listens on {address}");
                let (phases, phase) = watch::channel(Phase::Running);
                let callers = HttpServer::new(RoutedFrontend::new(routes), room, phase);
                let (freed, free) = oneshot::channel();
                let task = spawn_local({
                    let (callers, phases) = (callers.clone(), phases.clone());
                    async move {
                        callers.accept(socket, &phases).await;
                        let _ = freed.send(());
                        callers.wait_closed().await;
                    }
                });
                self.listeners.insert(identity, Heard { name, address, callers, phases, task, free });
            }
        }
        for heard in gone.into_values() {
            let (name, address) = (&heard.name, heard.address);
            emit!(LISTENER_STOPPED, listener = %name, address = %address; "sloeline: {name} no longer listens on {address}");
            let _ = heard.phases.send(Phase::Closing);
            self.closing.borrow_mut().push(heard.free);
        }
    }

    /// What gives turns to its background work.
    pub fn work(&self) -> Rc<Worker> {
        self.work.clone()
    }

    /// For how long the configuration has been in force, and what its operations were found to do.
    pub fn standing(&self) -> (Duration, Vec<String>) {
        (self.since.elapsed(), self.operations.summary())
    }

    /// Where a listener is.
    pub fn address(&self, listener: &str) -> Option<SocketAddr> {
        self.listeners.values().find(|h| h.name == listener).map(|h| h.address)
    }

    /// Stops as planned: unready at once, then no new connections, then every answer.
    pub async fn stop(self) {
        let longest = self.config.longest_deadline() + STOP_MARGIN;
        let within = time(self.config.limits.stop_timeout.unwrap_or(longest)) + LEFT_OPEN;
        // Readers of the registry send their callers elsewhere while this instance still takes them.
        if let Some((_, announcement)) = &self.announced {
            announcement.set_desired(DesiredState::Draining);
            let _ = timeout(WITHDRAWN_WITHIN, announcement.is_current()).await;
        }
        for heard in self.listeners.values() {
            let _ = heard.phases.send(Phase::Stopping);
        }
        let deadline = Instant::now() + within;
        for heard in self.listeners.into_values() {
            let left = deadline.saturating_duration_since(Instant::now());
            if timeout(left, heard.task).await.is_err() {
                let name = &heard.name;
                emit!(CONNECTIONS_UNFINISHED, listener = %name; "sloeline: {name} has connections that do not end; they are left");
            }
        }
        if let Some(part) = self.part.into_inner() {
            part.leave();
        }
        if let Some((_, announcement)) = &self.announced {
            announcement.set_desired(DesiredState::Gone);
            let _ = timeout(WITHDRAWN_WITHIN, announcement.is_current()).await;
        }
    }
}

/// Resolves when something of the fleet is different; never without one.
async fn shared(fleet: Option<Rc<Fleet>>, lists: Rc<Notify>) {
    match fleet {
        Some(fleet) => tokio::select! {
            () = fleet.changed() => {}
            () = lists.notified() => {}
        },
        None => std::future::pending().await,
    }
}

/// Resolves at a time; never without one.
async fn at(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

/// Runs until the order to stop; the error is one plain line.
pub async fn run(file: PathBuf) -> Result<(), String> {
    // The signals before all else: until it is handled, SIGHUP ends the process.
    let order = |kind| signal(kind).map_err(|e| e.to_string());
    let mut hangup = order(SignalKind::hangup())?;
    let mut terminate = order(SignalKind::terminate())?;
    let mut interrupt = order(SignalKind::interrupt())?;
    let config = load_logged(&file)?;
    let folder = file.parent().unwrap_or(Path::new("")).to_owned();
    let mut daemon = Daemon::start(config, &folder, fastrand::u64(..)).await?;
    let (asks, mut asked) = mpsc::channel(MOST_ASKED);
    let mut doors = Doors::default();
    daemon.open_doors(&mut doors, &asks).await;
    'serving: loop {
        let reloads = tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            Some(call) = asked.recv() => {
                daemon.answer_to(&file, call);
                false
            }
            () = at(daemon.due()) => {
                daemon.ring();
                false
            }
            () = shared(daemon.fleet(), daemon.lists()) => {
                daemon.share();
                false
            }
            _ = hangup.recv() => true,
        };
        if !reloads {
            continue;
        }
        let start = Instant::now();
        let (age, summary) = daemon.standing();
        summary.iter().for_each(|line| emit!(OPERATION_SUMMARY; "{line}"));
        // Beside the requests: descriptions may be large.
        let from = file.clone();
        let prepared = {
            let preparing = async {
                let loaded = tokio::task::spawn_blocking(move || load_logged(&from)).await;
                daemon.prepare(loaded.map_err(|e| e.to_string())??).await
            };
            tokio::pin!(preparing);
            loop {
                tokio::select! {
                    biased;
                    // Nothing has changed where it is left for an order to stop.
                    _ = terminate.recv() => break 'serving,
                    _ = interrupt.recv() => break 'serving,
                    Some(call) = asked.recv() => daemon.answer_to(&file, call),
                    () = at(daemon.due()) => daemon.ring(),
                    () = shared(daemon.fleet(), daemon.lists()) => daemon.share(),
                    prepared = &mut preparing => break prepared,
                }
            }
        };
        match prepared.and_then(|prepared| daemon.commit(prepared, Some(unix()))) {
            Ok(at_once) => emit!(
                CONFIG_RELOADED;
                "sloeline: configuration read again in {} ms, {:.1} ms of them at once",
                start.elapsed().as_millis(),
                at_once.as_secs_f64() * 1e3
            ),
            Err(why) => {
                emit!(CONFIG_RELOAD_REJECTED, why = %why; "sloeline: the running configuration is kept: {why}");
                emit!(CONFIG_RELOAD_REJECTED, why = %why; "sloeline: it has been in force for {} s", age.as_secs());
            }
        }
        daemon.open_doors(&mut doors, &asks).await;
    }
    emit!(STOPPING; "sloeline: told to stop");
    drop(doors);
    daemon.standing().1.iter().for_each(|line| emit!(OPERATION_SUMMARY; "{line}"));
    let stopped = daemon.stop();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return Ok(()),
            _ = hangup.recv() => {
                emit!(CONFIG_RELOAD_REJECTED, why = %"stopping"; "sloeline: the running configuration is kept: it is stopping");
            }
        }
    }
}
