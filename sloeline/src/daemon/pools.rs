//! A pool that runs: its engine, its connections, its tasks and where its list comes from.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use finchshift as fs;
use finchshift::{ListKind, Micros, ServerState};
use hyper::StatusCode;
use hyper::header::{HeaderName, HeaderValue};
use serde_json::{Value, json};
use sloeline_config::model::{
    Config, Instance, InstancePosition, MembershipSource, Nodes, Pool as Wanted, SourceKind,
};
use sloeline_engine::core::{RequestStatus, Stage};
use sloeline_engine::engine::Engine;
use sloeline_engine::types::DiscoveryEntry;
use sloeline_events::emit;
use sloeline_http::routed::Pool;
use sloeline_http::upstream::{ProcessingStart, UpstreamProtocol, Upstreams};
use sloeline_limits::admission::AdmissionLimit;
use sloeline_limits::{Reserve, Share};
use sloeline_membership::file::{self, FileWatch};
use sloeline_membership::follow::SourceFollower;
use sloeline_membership::platform::Discovery;
use sloeline_settings::setup::NameTable;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};

use crate::members;
use crate::net::Net;
use crate::origins;
use sloeline_engine::slots::{Assignment, ClassSlot, assign};

/// What all pools share beyond their own parts.
pub struct Reserves {
    /// Connections to upstreams.
    pub upstreams: Rc<Reserve>,
    /// Open requests.
    pub open: Rc<Reserve>,
    /// Bytes of bodies and answers.
    pub bodies: Rc<Reserve>,
    /// A list came.
    pub lists: Rc<Notify>,
}

/// A pool's own parts.
#[derive(Clone, Copy)]
pub struct Parts {
    /// Connections to upstreams.
    pub upstreams: usize,
    /// Open requests.
    pub open: usize,
    /// Bytes of bodies and answers.
    pub bodies: usize,
}

/// Where the list comes from, as long as it does.
enum Source {
    Static,
    File { _watched: Option<FileWatch> },
    Registry(Rc<Discovery>),
    Sources(SourceFollower),
}

/// When each node of a static list was first seen, by name and address; nothing for those that were there when the
/// process started. Of all pools together: a node that moves from one to another has not started again.
pub type Seen = HashMap<(String, SocketAddr), Option<Micros>>;

/// A pool under way.
pub struct Running {
    /// As routes see it.
    pub pool: Rc<Pool<Net>>,
    /// The numbers of its classes.
    pub slots: Vec<ClassSlot>,
    config: Wanted,
    connections: Rc<Share>,
    source: Source,
    /// A list came.
    heard: Rc<Notify>,
    lists: Rc<Notify>,
    seen: Seen,
    settings: RefCell<fs::Settings>,
    tasks: Vec<AbortHandle>,
    /// Resolves when neither routes nor requests hold the pool any more.
    let_go: oneshot::Receiver<()>,
}

/// What a pool needs to be made or changed, found out before anything is.
pub struct Plan {
    wanted: Vec<ClassSlot>,
    assigned: Assignment,
    settings: fs::Settings,
    dialect: UpstreamProtocol,
    tenants: HashMap<String, fs::TenantId>,
    config: Wanted,
    /// The list of a file, where it was not read before.
    list: Option<Vec<DiscoveryEntry>>,
    file: Option<PathBuf>,
    folder: PathBuf,
    instance: Instance,
}

fn dialect(pool: &Wanted) -> Result<UpstreamProtocol, String> {
    let header = |name: &str| HeaderName::try_from(name).map_err(|e| format!("{name:?}: {e}"));
    let declined = pool.declined.as_ref().map(|d| {
        let statuses = d.statuses.iter().filter_map(|s| StatusCode::from_u16(*s).ok()).collect();
        let value = HeaderValue::try_from(&d.value).map_err(|e| format!("{:?}: {e}", d.value));
        Ok::<_, String>((header(&d.header)?, value?, statuses))
    });
    Ok(UpstreamProtocol {
        processing_start: ProcessingStart::FirstByte,
        deadline_header: pool.deadline_header.as_deref().map(header).transpose()?,
        only_200: false,
        declined_mark: declined.transpose()?,
        max_response_bytes: pool.response_limit,
        max_buffered_bytes: pool.max_buffered_response(),
        forwards_any_status: false,
        forwards_errors: false,
        echo_header: None,
        instance_header: None,
        request_id_header: None,
    })
}

fn settings(config: &Config, pool: &Wanted, classes: Vec<fs::Class>, zones: &mut NameTable) -> fs::Settings {
    let base = fs::Settings::new(classes);
    fs::Settings {
        balancer_index: config.instance.number,
        balancers: config.instance.count,
        zone: zones.id_of(&config.instance.zone),
        zones: pool.zone_count,
        tenants: config.tenants.values().copied().collect(),
        limits: fs::Limits {
            cancel: true,
            retry_after: true,
            max_attempts: pool.max_attempts,
            connect_timeout: pool.connect_timeout,
            idle_close: pool.idle_timeout,
            ..base.limits
        },
        rules: fs::Rules {
            initial_capacity_share: pool.initial_capacity_share,
            warm_up_time: pool.warm_up_time,
            overload_factor: pool.overload_factor,
            overload_time: pool.overload_time,
            drain_grace: pool.drain_grace,
            ..base.rules
        },
        ..base
    }
}

impl Plan {
    /// What a pool is to be; fails, and changes nothing, if that makes no sense.
    pub fn new(
        name: &str,
        config: &Config,
        classes: Option<&BTreeSet<&str>>,
        folder: &Path,
        zones: &mut NameTable,
        before: Option<&Running>,
        InstancePosition { count, number }: InstancePosition,
    ) -> Result<Plan, String> {
        let named = |why: String| format!("pool.{name}: {why}");
        let pool = config.pools.get(name).ok_or_else(|| named("not configured".to_owned()))?;
        let slot = |n: &&str| {
            config.classes.get(*n).map(|c| ClassSlot { name: (*n).to_owned(), class: c.class.clone() })
        };
        let mut wanted: Vec<ClassSlot> = classes.into_iter().flatten().filter_map(slot).collect();
        if wanted.is_empty() {
            // No route leads here yet; the module wants a class all the same.
            let class = fs::Class {
                effect: fs::Effect::Unsafe,
                max_runs: u32::MAX,
                latency_target: 1_000_000,
                target_per_work: 0.0,
                deadline: 1_000_000,
                value: 0.0,
                late_value_ratio: 0.0,
                stream: false,
            };
            wanted.push(ClassSlot { name: String::new(), class });
        }
        let assigned = match before {
            Some(running) => assign(&running.slots, &wanted, |at| running.pool.uses_class(at)),
            None => assign(&[], &wanted, |_| false),
        };
        let settings =
            settings(config, pool, assigned.slots.iter().map(|s| s.class.clone()).collect(), zones);
        let settings = fs::Settings { balancers: count, balancer_index: number, ..settings };
        settings.check().map_err(|e| named(e.to_string()))?;
        let same_source = before.is_some_and(|running| running.config.nodes == pool.nodes);
        let file = match &pool.nodes {
            Nodes::File(path) => Some(folder.join(path)),
            _ => None,
        };
        let list = match &file {
            Some(path) if !same_source => Some(file::read(path).map_err(named)?),
            _ => None,
        };
        let tenants = config.tenants.keys().cloned().zip(0..).collect();
        let dialect = dialect(pool).map_err(named)?;
        Ok(Plan {
            wanted,
            assigned,
            settings,
            dialect,
            tenants,
            config: pool.clone(),
            list,
            file,
            folder: folder.to_owned(),
            instance: config.instance.clone(),
        })
    }

    /// Whether the classes still have the numbers that were given: requests may have taken some since.
    pub fn holds(&self, running: &Running) -> bool {
        assign(&running.slots, &self.wanted, |at| running.pool.uses_class(at)) == self.assigned
    }

    /// The numbers of the pool's classes, by name.
    pub fn numbers(&self) -> HashMap<String, fs::ClassId> {
        self.assigned.class_ids.iter().map(|&at| (self.assigned.slots[at].name.clone(), at)).collect()
    }
}

impl Running {
    /// Makes a pool and starts it. Nodes of a static list that are not in `known` count as started at `now`.
    pub fn start(
        name: &str,
        plan: Plan,
        reserves: &Reserves,
        parts: Parts,
        zones: &NameTable,
        (known, now): (&Seen, Option<Micros>),
        seed: u64,
    ) -> Result<Running, String> {
        let connections = Share::new(parts.upstreams, &reserves.upstreams);
        let upstreams = Upstreams::new(&plan.settings.limits, connections.clone(), plan.dialect.clone());
        let tend = upstreams.close_expired();
        let net = Net { upstreams, discovery: None };
        let engine = Engine::new(plan.settings.clone(), zones, seed, net)?;
        let (held, let_go) = oneshot::channel();
        let pool = Pool {
            name: name.to_owned(),
            engine: engine.clone(),
            tenants: RefCell::new(plan.tenants.clone()),
            open_requests: Share::new(parts.open, &reserves.open),
            operator_limit: AdmissionLimit::default(),
            fleet_limit: AdmissionLimit::default(),
            body_memory: Share::new(parts.bodies, &reserves.bodies),
            response_reservation_bytes: Cell::new(plan.config.max_buffered_response()),
            admitted: Rc::default(),
            dropped_signal: held,
        };
        let tasks = vec![spawn_local(tend).abort_handle(), spawn_local(engine.clone().run()).abort_handle()];
        engine.start();
        let mut running = Running {
            pool: Rc::new(pool),
            slots: plan.assigned.slots.clone(),
            config: plan.config.clone(),
            connections,
            source: Source::Static,
            heard: Rc::default(),
            lists: reserves.lists.clone(),
            seen: HashMap::new(),
            settings: RefCell::new(plan.settings.clone()),
            tasks,
            let_go,
        };
        running.follow(&plan, known, now, seed);
        Ok(running)
    }

    /// Goes on under another plan, with what was learned and the connections that are up.
    pub fn change(&mut self, plan: Plan, parts: Parts, (known, now): (&Seen, Option<Micros>), seed: u64) {
        self.connections.resize(parts.upstreams);
        self.pool.open_requests.resize(parts.open);
        self.pool.body_memory.resize(parts.bodies);
        let engine = &self.pool.engine;
        let upstreams = &engine.transport().upstreams;
        upstreams.set_config(&plan.settings.limits, plan.dialect.clone());
        if let Err(why) = engine.reconfigure(plan.settings.clone(), &plan.assigned.inherited) {
            // The plan was checked by the same rules before anything was changed.
            let name = &self.pool.name;
            emit!(DEFECT, what = %why; "defect: pool {name}: {why}");
            return;
        }
        self.slots.clone_from(&plan.assigned.slots);
        self.settings.borrow_mut().clone_from(&plan.settings);
        self.pool.tenants.borrow_mut().clone_from(&plan.tenants);
        self.pool.response_reservation_bytes.set(plan.config.max_buffered_response());
        let before = std::mem::replace(&mut self.config, plan.config.clone());
        match (&before.nodes, &plan.config.nodes, &self.source) {
            (was, is, _) if was == is => {}
            // Only the rules of doubt are others: what is followed goes on, and what was held is weighed by them.
            (Nodes::Sources(was, _), Nodes::Sources(is, doubt), Source::Sources(following)) if was == is => {
                following.set(&origins::rules(doubt));
            }
            _ => self.follow(&plan, known, now, seed),
        }
    }

    /// As many instances share its upstreams from now on, and this is its number among them.
    pub fn reseat(&self, InstancePosition { count, number }: InstancePosition) {
        let settings =
            fs::Settings { balancers: count, balancer_index: number, ..self.settings.borrow().clone() };
        let learned: Vec<Option<fs::ClassId>> = (0..settings.classes.len()).map(Some).collect();
        match self.pool.engine.reconfigure(settings.clone(), &learned) {
            Ok(()) => *self.settings.borrow_mut() = settings,
            Err(why) => {
                let name = &self.pool.name;
                emit!(DEFECT, what = %why; "defect: pool {name}: {why}");
            }
        }
    }

    /// Resolves when its first list is there.
    pub fn listed(&self) -> impl Future<Output = ()> + 'static {
        let (engine, heard) = (self.pool.engine.clone(), self.heard.clone());
        async move {
            loop {
                let came = heard.notified();
                if engine.has_list() {
                    return;
                }
                came.await;
            }
        }
    }

    /// The nodes of its static list.
    pub fn seen(&self) -> &Seen {
        &self.seen
    }

    /// Takes the list from where the plan says. A node of a static list that was not there at the start counts as
    /// started when it is first seen: guards cold upstreams, of which a file tells no more.
    fn follow(&mut self, plan: &Plan, known: &Seen, now: Option<Micros>, seed: u64) {
        if let Source::Registry(discovery) = &self.source {
            discovery.leave();
        }
        let engine = self.pool.engine.clone();
        let tell = {
            let (engine, heard, lists) = (engine.clone(), self.heard.clone(), self.lists.clone());
            move |kind, list| {
                engine.update_list(kind, list);
                heard.notify_waiters();
                lists.notify_one();
            }
        };
        self.source = match &plan.config.nodes {
            Nodes::Static(nodes) => {
                let mut seen = HashMap::new();
                let list = nodes.iter().map(|node| {
                    let key = (node.name.clone(), node.address);
                    let started = known.get(&key).copied().unwrap_or(now);
                    seen.insert(key, started);
                    DiscoveryEntry {
                        instance: node.name.clone(),
                        address: node.address,
                        zone: node.zone.clone(),
                        kind: String::new(),
                        cell: node.cell,
                        state: if node.draining { ServerState::Draining } else { ServerState::Ready },
                        weight: node.weight,
                        started,
                    }
                });
                let list = list.collect();
                self.seen = seen;
                engine.update_list(ListKind::Complete, list);
                Source::Static
            }
            Nodes::File(_) => {
                self.seen.clear();
                if let Some(list) = &plan.list {
                    engine.update_list(ListKind::Complete, list.clone());
                }
                let watched = plan.file.as_deref().map(|path| file::watch(path, tell));
                let watched = watched.and_then(|watched| match watched {
                    Ok(watched) => Some(watched),
                    Err(why) => {
                        emit!(
                            NODE_FILE_UNREADABLE, why = %why;
                            "membership: pool {} follows its file on SIGHUP only: {why}",
                            self.pool.name
                        );
                        None
                    }
                });
                Source::File { _watched: watched }
            }
            Nodes::Registry(address) => {
                self.seen.clear();
                let discovery = Discovery::new(*address, 0);
                discovery.follow(seed, tell);
                Source::Registry(discovery)
            }
            Nodes::Sources(list, doubt) => {
                self.seen.clear();
                let origins = origins::origins(list, &plan.instance, &plan.folder);
                let rules = origins::rules(doubt);
                Source::Sources(SourceFollower::start(&self.pool.name, &origins, &rules, seed, tell))
            }
        };
    }

    /// How it stands, for operators.
    pub fn told(&self, name: &str) -> Value {
        let engine = &self.pool.engine;
        let source = match &self.source {
            Source::Static => "nodes",
            Source::File { .. } => "file",
            Source::Registry(_) => "registry",
            Source::Sources(_) => "sources",
        };
        let classes: Vec<&str> = self.slots.iter().map(|slot| slot.name.as_str()).collect();
        // Those that have just started: each with the share of its capacity that it has.
        let cold = engine.cold_upstreams().into_iter().map(|(node, share, passed)| {
            format!("{node} at {:.0}% (passed over {passed} times)", 100.0 * share)
        });
        json!({
            "cold": cold.collect::<Vec<_>>().join(", "),
            "pool": name,
            "source": source,
            "listed": engine.has_list(),
            "taking_requests": engine.ready_upstreams(),
            "open_requests": engine.open_requests(),
            "shared_by": self.settings.borrow().balancers,
            "number": self.settings.borrow().balancer_index,
            "classes": classes.join(" "),
        })
    }

    /// The names of its sources whose revisions are the same to all that read them.
    pub fn registries(&self) -> impl Iterator<Item = &str> {
        let list = match &self.config.nodes {
            Nodes::Sources(list, _) => &list[..],
            _ => &[],
        };
        let registry = |origin: &&MembershipSource| {
            matches!(origin.kind, SourceKind::Etcd { .. } | SourceKind::Consul { .. })
        };
        list.iter().filter(registry).map(|origin| origin.name.as_str())
    }

    /// What its sources say of drains, for those whose revisions are the same to all that read them and that have come
    /// past the one that is known: the source, its revision, and the nodes that it has ordered out.
    pub fn drains(&self, known: impl Fn(&str) -> Option<u64>) -> Vec<(String, u64, BTreeSet<String>)> {
        let Source::Sources(following) = &self.source else { return Vec::new() };
        let registry = |name: &str| self.registries().any(|registry| registry == name);
        following.inspect(|_, members| {
            let news = members.sources().filter_map(|(name, _, revision, _)| {
                // Another epoch is another registry, or one that was put back: its numbers say nothing to others.
                let revision = revision.filter(|r| r.epoch == 0 && r.number > 0)?.number;
                (registry(name) && known(name) != Some(revision)).then(|| (name.to_owned(), revision))
            });
            news.map(|(name, revision)| (name.clone(), revision, members.ordered_by(&name))).collect()
        })
    }

    /// Its part of the connections to upstreams.
    pub fn connections(&self) -> &Share {
        &self.connections
    }

    /// Its open requests: how many at each stage, and the oldest.
    pub fn requests(&self, most: usize) -> Value {
        let (stages, oldest) = self.pool.engine.requests(most);
        let name = |stage| match stage {
            Stage::Queued => "held",
            Stage::InFlight => "out",
            Stage::ReceivingBody => "coming",
            Stage::Answered => "answered",
        };
        let stages: serde_json::Map<String, Value> =
            stages.into_iter().map(|(stage, n)| (name(stage).to_owned(), n.into())).collect();
        let row = |request: RequestStatus| {
            let class = self.slots.get(request.class).map(|slot| slot.name.as_str());
            let at: Vec<String> =
                request.in_flight.iter().map(|(node, span)| format!("{node} {} ms", span / 1000)).collect();
            json!({
                "request": request.request,
                "class": class,
                "stage": name(request.stage),
                "age_ms": request.age / 1000,
                "left_ms": request.time_left / 1000,
                "attempts": request.attempts,
                "may_have_run": request.may_have_run,
                "at": at.join(", "),
            })
        };
        json!({"stages": stages, "oldest": oldest.into_iter().map(row).collect::<Vec<_>>()})
    }

    /// Its members, and why each is in or out.
    pub fn members(&self) -> Value {
        if let Source::Sources(following) = &self.source {
            return following.inspect(members::told);
        }
        let source = if matches!(self.source, Source::Static) { "nodes" } else { "list" };
        let listed = self.pool.engine.current_list().unwrap_or_default();
        let why =
            |l: &DiscoveryEntry| if l.state == fs::ServerState::Ready { "serves" } else { "drains by order" };
        let rows: Vec<Value> = listed.iter().map(|l| members::member(l, source, why(l), None)).collect();
        json!({"sources": [], "members": rows})
    }

    /// Ends when no request needs it any more; nothing new comes, since no route leads to it.
    pub fn retire(self) -> impl Future<Output = ()> {
        let Running { pool, source, tasks, let_go, .. } = self;
        let (name, engine) = (pool.name.clone(), pool.engine.clone());
        drop(pool);
        async move {
            // Requests whose bodies are on their way hold the pool; those that are open are in the engine.
            let _ = let_go.await;
            engine.drained().await;
            if let Source::Registry(discovery) = &source {
                discovery.leave();
            }
            tasks.iter().for_each(AbortHandle::abort);
            // The tasks hold the engine, and the engine the connections.
            tokio::task::yield_now().await;
            emit!(POOL_DRAINED, pool = %name; "sloeline: pool {name} has ended");
        }
    }
}
