//! The daemon: listeners, routes and pools from one configuration, replaced as a whole on SIGHUP.

mod pools;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use finchshift as fs;
use finchshift::Micros;
use hyper::header::HeaderName;
use sloeline_config::check::{Division, division};
use sloeline_config::model::{Announce, Config, Listener, RouteTo, Source as ToldBy};
use sloeline_config::problem::Problem;
use sloeline_http::callers::{Callers, Phase, Room};
use sloeline_http::gate::Pace;
use sloeline_http::routed::{ClassOf, Described, Routed, Routes, Service, Side, Source};
use sloeline_limits::Reserve;
use sloeline_membership::announce::Wanted;
use sloeline_membership::announce::line::Announcement;
use sloeline_routing::split::Split;
use sloeline_routing::table::Table;
use sloeline_settings::setup::Names;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::net::Net;
use crate::observed::{Beside, Operations};
use crate::origins;
use crate::platform::listen;
use pools::{Parts, Plan, Reserves, Running, Seen};

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
fn load_logged(file: &Path) -> Result<Config, String> {
    let (config, problems) = load(file)?;
    for problem in &problems {
        eprintln!("{}:{problem}", file.display());
    }
    config.ok_or_else(|| format!("{}: errors", file.display()))
}

/// A listener under way.
struct Heard {
    name: String,
    address: SocketAddr,
    callers: Rc<Callers<Routed<Net>>>,
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
    closing: Vec<oneshot::Receiver<()>>,
    reserves: Reserves,
    zones: Names,
    operations: Operations,
    /// Since when the configuration is in force, its descriptions with it.
    since: Instant,
    rng: fastrand::Rng,
    /// Where this instance is announced, and by what words.
    announced: Option<(Announce, Announcement)>,
    /// When this instance started, in Unix time.
    started: Micros,
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

fn room(config: &Config, listener: &Listener, places: usize) -> Room {
    let longest = config.longest_deadline() + STOP_MARGIN;
    let leave_within = time(config.limits.stop_within.unwrap_or(longest));
    Room {
        places,
        pace: Pace {
            idle: time(listener.idle_timeout),
            head: time(listener.head_timeout),
            body: time(listener.body_timeout),
            rate: 0,
            silence: time(listener.body_timeout),
            stall: time(listener.idle_timeout),
            stuck: time(listener.idle_timeout),
        },
        ready_path: listener.ready_path.clone(),
        leave_within,
        still_taken: STILL_TAKEN.min(leave_within / 2),
    }
}

fn told_by(source: &ToldBy) -> Result<Source, String> {
    Ok(match source {
        ToldBy::Header(name) => Source::Header(header(name)?),
        ToldBy::Query(name) => Source::Query(name.clone()),
        ToldBy::Segment(at) => Source::Segment(*at),
        ToldBy::Fixed(value) => Source::Fixed(value.clone()),
    })
}

fn header(name: &str) -> Result<HeaderName, String> {
    HeaderName::try_from(name).map_err(|e| format!("{name:?}: {e}"))
}

type Numbers = BTreeMap<String, HashMap<String, fs::ClassId>>;

/// What a route leads to, but for the pools, which may not run yet.
struct Leads {
    split: Option<(Split, Option<Source>)>,
    pools: Vec<String>,
    classes: Vec<ClassOf>,
    class_header: Option<HeaderName>,
    tenant: Option<Source>,
    key: Option<Source>,
    most_body: usize,
    described: Option<Described>,
}

fn leads(config: &Config, route: &RouteTo, operations: &Operations) -> Result<Leads, String> {
    let class = |name: &String| {
        let class = &config.classes.get(name).ok_or_else(|| format!("no class {name:?}"))?.class;
        let deadline = route.deadline.map_or(class.deadline, |d| d.min(class.deadline));
        Ok::<_, String>(ClassOf { name: name.clone(), effect: class.effect, deadline })
    };
    let source = |s: &Option<ToldBy>| s.as_ref().map(told_by).transpose();
    let sides = route.split.iter().map(|(pool, weight)| (pool.as_str(), *weight));
    let narrow = route.operation.as_ref().map(|o| &o.narrow);
    let described = route.operation.as_ref().and_then(|o| {
        let operation = operations.get(&o.name)?;
        Some(Described { operation, narrow: route.classes.len() })
    });
    Ok(Leads {
        split: (route.split.len() > 1)
            .then(|| Ok::<_, String>((Split::new(sides), source(&route.sticky)?)))
            .transpose()?,
        pools: route.split.iter().map(|(pool, _)| pool.clone()).collect(),
        classes: route.classes.iter().chain(narrow).map(class).collect::<Result<_, _>>()?,
        class_header: route.class_header.as_deref().map(header).transpose()?,
        tenant: source(&route.tenant)?,
        key: source(&route.key)?,
        most_body: route.body_limit,
        described,
    })
}

/// What a listener is to be.
struct ListenerPlan {
    name: String,
    wanted: Listener,
    room: Room,
    /// Taken where the listener is new.
    socket: Option<TcpListener>,
    table: Table,
    leads: Vec<Leads>,
    deadline_header: Option<HeaderName>,
}

impl Daemon {
    /// Starts everything; paths in the configuration are seen from the folder.
    pub async fn start(config: Config, folder: &Path, seed: u64) -> Result<Daemon, String> {
        let reserve = || Reserve::new(0);
        let mut daemon = Daemon {
            folder: folder.to_owned(),
            config: config.clone(),
            pools: BTreeMap::new(),
            listeners: BTreeMap::new(),
            closing: Vec::new(),
            reserves: Reserves { upstreams: reserve(), open: reserve(), bodies: reserve() },
            zones: Names::default(),
            operations: Operations::default(),
            since: Instant::now(),
            rng: fastrand::Rng::with_seed(seed),
            announced: None,
            started: unix(),
        };
        daemon.take(config, None).await?;
        Ok(daemon)
    }

    /// Goes on under another configuration, or under the old one if there is an error: then nothing has changed.
    pub async fn reload(&mut self, config: Config) -> Result<(), String> {
        if config.instance.zone != self.config.instance.zone {
            let (found, expected) = (&config.instance.zone, &self.config.instance.zone);
            return Err(format!(
                "instance.zone: found {found:?}, expected {expected:?}: it changes with a restart"
            ));
        }
        self.take(config, Some(unix())).await
    }

    /// All that can fail comes first and changes nothing; what comes after cannot fail and does not wait, so that
    /// no request sees one half of each. Nodes that are new count as started at `now`, if it is told.
    async fn take(&mut self, config: Config, now: Option<Micros>) -> Result<(), String> {
        for free in self.closing.drain(..) {
            let _ = free.await;
        }
        let division = division(&config)?;
        let mut zones = Names::default();
        let plan = |name: &String| {
            Plan::new(name, &config, &self.folder, &mut zones, self.pools.get(name))
                .map(|p| (name.clone(), p))
        };
        let plans: Vec<(String, Plan)> = config.pools.keys().map(plan).collect::<Result<_, _>>()?;
        let numbers: Numbers = plans.iter().map(|(name, plan)| (name.clone(), plan.numbers())).collect();
        let operations = self.operations.plan(&config, self.rng.u64(..));
        let heard = config.listeners.iter().zip(&division.listeners);
        let listeners: Vec<ListenerPlan> = heard
            .map(|((name, l), places)| self.plan_listener(&config, &operations, name, l, *places))
            .collect::<Result<_, _>>()?;
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
                upstreams: division.upstreams.0[at],
                open: division.open.0[at],
                bodies: division.bodies.0[at],
            };
            if self.pools.contains_key(&name) {
                changes.push((name, plan, parts));
            } else {
                let seed = self.rng.u64(..);
                fresh.push((
                    name.clone(),
                    Running::start(&name, plan, &self.reserves, parts, &self.zones, since, seed)?,
                ));
            }
        }
        for (name, plan, parts) in changes {
            let seed = self.rng.u64(..);
            if let Some(running) = self.pools.get_mut(&name) {
                running.change(plan, parts, since, seed);
            }
        }
        self.pools.extend(fresh);
        self.hear(listeners, &numbers);
        // Last: by now no route leads there.
        let gone: Vec<String> =
            self.pools.keys().filter(|n| !config.pools.contains_key(*n)).cloned().collect();
        for running in gone.iter().filter_map(|name| self.pools.remove(name)) {
            spawn_local(running.retire());
        }
        self.config = config;
        self.operations = operations;
        self.since = Instant::now();
        self.announce();
        Ok(())
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
                before.want(Wanted::Gone);
                let _ = timeout(WITHDRAWN_WITHIN, before.stands()).await;
            });
        }
        let Some(words) = wanted.cloned() else { return };
        let settings = origins::announce(&self.config, &words, self.started);
        match Announcement::start(settings, &words.endpoints, self.rng.u64(..)) {
            Ok(announcement) => {
                let pools: Vec<_> = self.pools.values().map(Running::listed).collect();
                let ready = async move {
                    for listed in pools {
                        listed.await;
                    }
                };
                announcement.want_after(ready, Wanted::Serving);
                self.announced = Some((words, announcement));
            }
            Err(why) => eprintln!("announce: {why}"),
        }
    }

    fn resize(&self, division: &Division) {
        self.reserves.upstreams.resize(division.upstreams.1);
        self.reserves.open.resize(division.open.1);
        self.reserves.bodies.resize(division.bodies.1);
    }

    fn plan_listener(
        &self,
        config: &Config,
        operations: &Operations,
        name: &str,
        wanted: &Listener,
        places: usize,
    ) -> Result<ListenerPlan, String> {
        let on: Vec<&RouteTo> =
            config.routes.iter().filter(|r| r.listeners.iter().any(|l| l == name)).collect();
        let table = Table::new(on.iter().map(|r| r.route.clone()).collect());
        let named = |why: String| format!("listener.{name}: {why}");
        let leads =
            on.iter().map(|r| leads(config, r, operations)).collect::<Result<_, _>>().map_err(named)?;
        let deadline_header = wanted.deadline_header.as_deref().map(header).transpose().map_err(named)?;
        let known = self.listeners.contains_key(&identity(name, wanted.address));
        let socket = if known { None } else { Some(listen(wanted.address, false).map_err(named)?) };
        let room = room(config, wanted, places);
        Ok(ListenerPlan {
            name: name.to_owned(),
            wanted: wanted.clone(),
            room,
            socket,
            table,
            leads,
            deadline_header,
        })
    }

    fn routes(
        &self,
        table: Table,
        leads: Vec<Leads>,
        deadline: Option<HeaderName>,
        numbers: &Numbers,
    ) -> Routes<Net> {
        let side = |pool: &String, classes: &[ClassOf]| {
            let number = |class: &ClassOf| numbers.get(pool).and_then(|n| n.get(&class.name)).copied();
            Side { pool: self.pools[pool].pool.clone(), classes: classes.iter().map(number).collect() }
        };
        let service = |leads: Leads| Service {
            sides: leads.pools.iter().map(|pool| side(pool, &leads.classes)).collect(),
            split: leads.split,
            classes: leads.classes,
            class_header: leads.class_header,
            tenant: leads.tenant,
            key: leads.key,
            most_body: leads.most_body,
            described: leads.described,
        };
        let services: Vec<Rc<Service<Net>>> = leads.into_iter().map(service).map(Rc::new).collect();
        let pools = services.iter().flat_map(|s| &s.sides).map(|s| (s.pool.name.clone(), s.pool.clone()));
        let pools: BTreeMap<_, _> = pools.collect();
        let pools = pools.into_values().collect();
        let strangers = self.operations.strangers.clone();
        Routes { table, services, pools, deadline_header: deadline, strangers }
    }

    /// Changes the listeners that stay, starts those that are new, and closes those that are gone.
    fn hear(&mut self, plans: Vec<ListenerPlan>, numbers: &Numbers) {
        let mut gone = std::mem::take(&mut self.listeners);
        for plan in plans {
            let ListenerPlan { name, wanted, room, socket, table, leads, deadline_header } = plan;
            let identity = identity(&name, wanted.address);
            let routes = self.routes(table, leads, deadline_header, numbers);
            if let Some(mut heard) = gone.remove(&identity) {
                heard.callers.front().replace(routes);
                heard.callers.resize(room);
                heard.name = name;
                self.listeners.insert(identity, heard);
            } else if let Some(socket) = socket {
                let address = socket.local_addr().unwrap_or(wanted.address);
                eprintln!("sloeline {}: {name} listens on {address}", self.config.instance.name);
                let (phases, phase) = watch::channel(Phase::Running);
                let callers = Callers::new(Routed::new(routes), room, phase);
                let (freed, free) = oneshot::channel();
                let task = spawn_local({
                    let (callers, phases) = (callers.clone(), phases.clone());
                    async move {
                        callers.accept(socket, &phases).await;
                        let _ = freed.send(());
                        callers.closed().await;
                    }
                });
                self.listeners.insert(identity, Heard { name, address, callers, phases, task, free });
            }
        }
        for heard in gone.into_values() {
            eprintln!("sloeline: {} no longer listens on {}", heard.name, heard.address);
            let _ = heard.phases.send(Phase::Closing);
            self.closing.push(heard.free);
        }
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
        let within = time(self.config.limits.stop_within.unwrap_or(longest)) + LEFT_OPEN;
        // Readers of the registry send their callers elsewhere while this instance still takes them.
        if let Some((_, announcement)) = &self.announced {
            announcement.want(Wanted::Draining);
            let _ = timeout(WITHDRAWN_WITHIN, announcement.stands()).await;
        }
        for heard in self.listeners.values() {
            let _ = heard.phases.send(Phase::Stopping);
        }
        let deadline = Instant::now() + within;
        for heard in self.listeners.into_values() {
            let left = deadline.saturating_duration_since(Instant::now());
            if timeout(left, heard.task).await.is_err() {
                eprintln!("sloeline: {} has connections that do not end; they are left", heard.name);
            }
        }
        if let Some((_, announcement)) = &self.announced {
            announcement.want(Wanted::Gone);
            let _ = timeout(WITHDRAWN_WITHIN, announcement.stands()).await;
        }
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
    loop {
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => {
                let start = Instant::now();
                // Beside the requests: descriptions may be large.
                let file = file.clone();
                let loaded = tokio::task::spawn_blocking(move || load_logged(&file)).await;
                let (age, summary) = daemon.standing();
                summary.iter().for_each(|line| eprintln!("{line}"));
                let reloaded = match loaded {
                    Ok(Ok(config)) => daemon.reload(config).await,
                    Ok(Err(why)) => Err(why),
                    Err(why) => Err(why.to_string()),
                };
                match reloaded {
                    Ok(()) => eprintln!("sloeline: configuration read again in {} ms", start.elapsed().as_millis()),
                    Err(why) => {
                        eprintln!("sloeline: the running configuration is kept: {why}");
                        eprintln!("sloeline: it has been in force for {} s", age.as_secs());
                    }
                }
            }
        }
    }
    eprintln!("sloeline: told to stop");
    daemon.standing().1.iter().for_each(|line| eprintln!("{line}"));
    let stopped = daemon.stop();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return Ok(()),
            _ = hangup.recv() => eprintln!("sloeline: the running configuration is kept: it is stopping"),
        }
    }
}
