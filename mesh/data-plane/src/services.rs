//! The services that this balancer sends to: for each one engine with the module, as the configuration and the list of
//! upstreams have it.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::{Result, anyhow};
use finchshift as fs;
use finchshift::{Effect, ListKind, Micros, ServerId, ServerState};
use hyper::StatusCode;
use hyper::header::HeaderValue;
use sloeline_discovery::{Condition, Record};
use sloeline_engine::clock::Clock;
use sloeline_engine::engine::{AttemptReport, Engine, Transport};
use sloeline_engine::slots::{ClassSlot, assign};
use sloeline_engine::types::{DiscoveryEntry, Target};
use sloeline_http::frontend::{Admitted, parse_digits};
use sloeline_http::upstream::{Attempt, Call, Reply, UpstreamProtocol, Upstreams};
use sloeline_limits::Share;
use sloeline_route_config::model::{Route, RouteKind};
use sloeline_route_config::table::Table;
use sloeline_settings::setup::NameTable;
use tokio::task::{AbortHandle, spawn_local};

use crate::header_names;

/// A connection between balancers that does not come up in this time has failed.
const CONNECT: Micros = 300_000;
/// Idle connections between balancers are kept about so long.
const IDLE: Micros = 30_000_000;
/// Answers up to here are held, larger ones pass through.
const HELD: usize = 256 << 10;
/// Most bytes of an answer.
const MOST_ANSWER: usize = 1 << 30;
/// Most engines of a service; classes beyond share one.
const MOST_APART: usize = 32;
/// The group of those.
const TOGETHER: &str = "together";
/// Gates that may turn a request away beyond its tries.
const GATES: u32 = 2;
/// Share of its capacity that a cold upstream has.
const COLD_FROM: f64 = 0.4;
/// An upstream counts as warm after this.
const WARM_AFTER: Micros = 3_000_000;

/// The way to other balancers.
pub struct Rails {
    upstreams: Upstreams,
    clock: Rc<Clock>,
    /// Which upstream is behind each balancer.
    behind: RefCell<HashMap<SocketAddr, HeaderValue>>,
}

impl Transport for Rails {
    type Call = Call;
    type Reply = Reply;
    type Attempt = Attempt;

    fn send(&self, to: Target, call: Rc<Call>, limit: Micros, report: AttemptReport<Self>) -> Attempt {
        let mut headers = call.headers.clone();
        if let Some(id) = self.behind.borrow().get(&to.address) {
            headers.insert(header_names::ADDRESSEE, id.clone());
        }
        // Moments as the other has them: its clock is not this one's. An upstream is told all of the client's time, and the
        // attempt ends from this side: whoever is told to stop may then leave it the rest.
        for name in [header_names::AIM, header_names::TIME_LEFT, header_names::HOLD] {
            let at = headers.get(&name).and_then(|v| v.to_str().ok()).and_then(parse_digits);
            if let Some(at) = at {
                headers.insert(name, HeaderValue::from(at.saturating_sub(self.clock.now()) / 1000));
            }
        }
        let call =
            Call { method: call.method.clone(), uri: call.uri.clone(), headers, body: call.body.clone() };
        self.upstreams.send(to, Rc::new(call), limit, report)
    }

    fn body_pending(&self, call: &Call) -> bool {
        !call.body.is_received()
    }

    fn body_consumed(&self, call: &Call) -> bool {
        call.body.is_consumed()
    }

    fn abort(&self, out: Attempt) -> bool {
        out.abort()
    }

    // Nothing is probed: the balancer beside an upstream knows how it is.
    fn probe(&self, _engine: &Rc<Engine<Self>>, _to: Target) {}

    fn close_idle(&self, server: ServerId) {
        self.upstreams.close_idle(server);
    }

    fn watch(&self, _engine: &Rc<Engine<Self>>) {}

    fn fetch(&self, _engine: &Rc<Engine<Self>>) {}
}

/// A service that is sent to, for requests of one class.
pub struct Service {
    /// Its name.
    pub name: String,
    /// Its engine.
    pub engine: Rc<Engine<Rails>>,
    /// Requests between head and answer, by class.
    pub admitted: Rc<Admitted>,
    slots: RefCell<Vec<ClassSlot>>,
    listed: RefCell<Vec<DiscoveryEntry>>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Service {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// A class as routes need it: the same for all routes of a service that say the same.
fn slot(route: &Route) -> ClassSlot {
    let effect = match route.route_kind {
        RouteKind::Safe | RouteKind::Download => Effect::Safe,
        // Keyed ones too: the balancer beside the upstream keeps the key, but a further arrival costs the budget.
        RouteKind::Unsafe | RouteKind::Tracked => Effect::Unsafe,
    };
    let worth = match route.precedence {
        0 => 4.0,
        1 => 2.0,
        _ => 1.0,
    };
    let (aim, deadline) = (route.target.0.max(1_000), route.dispatch.timeout.0);
    let class = fs::Class {
        effect,
        latency_target: aim,
        target_per_work: 0.0,
        deadline,
        value: worth,
        late_value_ratio: 0.15,
        stream: false,
    };
    let kind = route.route_kind;
    ClassSlot { name: format!("{kind:?}/{}/{aim}/{deadline}", route.precedence), class }
}

fn dialect() -> UpstreamProtocol {
    let statuses = [503, 429, 421, 408, 400].into_iter().filter_map(|s| StatusCode::from_u16(s).ok());
    UpstreamProtocol {
        deadline_header: Some(header_names::LIMIT),
        only_200: false,
        declined_mark: Some((header_names::NOT_RUN, HeaderValue::from_static("1"), statuses.collect())),
        max_response_bytes: MOST_ANSWER,
        max_buffered_bytes: HELD,
        forwards_any_status: false,
        forwards_errors: true,
        echo_header: Some(header_names::ATTEMPT),
    }
}

/// What all services share.
pub struct Ground {
    /// This balancer's zone.
    pub zone: String,
    /// How many zones there are.
    pub zones: u32,
    /// The time that aims are told by.
    pub clock: Rc<Clock>,
    /// Connections to other balancers.
    pub connections: Rc<Share>,
}

/// A service, and what the classes of one engine have in common.
type Group = (String, String);

/// All services, as of one configuration and one list.
#[derive(Default)]
pub struct Services {
    by_group: BTreeMap<Group, Rc<Service>>,
    /// Attempts are not cut short now.
    keeps: bool,
}

/// Where a route leads.
pub struct Lead {
    /// What its requests have in common with others that take as long.
    pub kind: HeaderValue,
    /// The services, the class of the route in each, and their weights.
    pub sides: Vec<(Rc<Service>, fs::ClassId, u32)>,
}

impl Services {
    /// Goes by a table from now on; what each of its routes leads to.
    pub fn plan(&mut self, table: &Table, ground: &Ground) -> Result<Vec<Lead>> {
        // Each class of a service has an engine of its own: what one is turned away for says nothing of another, and least of
        // all may requests wait that others wait for.
        let mut wanted: BTreeMap<(&str, String), Vec<ClassSlot>> = BTreeMap::new();
        for route in table.routes() {
            let slot = slot(route);
            for (line, _) in route.dispatch.weighted_services() {
                let apart =
                    wanted.range((line, String::new())..).take_while(|((l, _), _)| *l == line).count();
                let known = wanted.contains_key(&(line, slot.name.clone()));
                let group = if known || apart < MOST_APART { slot.name.clone() } else { TOGETHER.to_owned() };
                let slots = wanted.entry((line, group)).or_default();
                if !slots.contains(&slot) {
                    slots.push(slot.clone());
                }
            }
        }
        let tries = table.routes().iter().map(|r| r.dispatch.tries).max().unwrap_or(1);
        let mut numbers: HashMap<(String, String), (Group, fs::ClassId)> = HashMap::new();
        for ((line, group), slots) in &wanted {
            let group: Group = ((*line).to_owned(), group.clone());
            let service = self.by_group.get(&group);
            let old = service.map(|s| s.slots.borrow().clone()).unwrap_or_default();
            let uses = |at| service.is_some_and(|s| s.admitted.any_open(at) || s.engine.class_in_use(at));
            let assigned = assign(&old, slots, uses);
            for (slot, number) in slots.iter().zip(&assigned.class_ids) {
                numbers.insert(((*line).to_owned(), slot.name.clone()), (group.clone(), *number));
            }
            let classes = assigned.slots.iter().map(|s| s.class.clone()).collect();
            let mut zones = NameTable::default();
            let settings = settings(ground, &mut zones, classes, tries);
            match service {
                Some(service) => {
                    let done = service.engine.reconfigure(settings, &assigned.inherited);
                    done.map_err(|e| anyhow!("{line}: {e}"))?;
                    *service.slots.borrow_mut() = assigned.slots;
                }
                None => {
                    let service = start(line, settings, &zones, ground, assigned.slots)?;
                    service.engine.set_cancellation(!self.keeps);
                    self.by_group.insert(group, Rc::new(service));
                }
            }
        }
        // Requests that are open keep theirs.
        self.by_group.retain(|(line, group), _| wanted.contains_key(&(line.as_str(), group.clone())));
        let lead = |route: &Route| {
            let name = slot(route).name;
            let side = |(line, share): (&str, u32)| {
                let (group, number) = numbers.get(&(line.to_owned(), name.clone()))?;
                Some((self.by_group.get(group)?.clone(), *number, share))
            };
            let kind = HeaderValue::from_str(&name).unwrap_or_else(|_| HeaderValue::from_static("other"));
            Lead { kind, sides: route.dispatch.weighted_services().into_iter().filter_map(side).collect() }
        };
        Ok(table.routes().iter().map(lead).collect())
    }

    /// Tells each service its upstreams.
    pub fn list(&self, records: &BTreeMap<String, Rc<Record>>) {
        let mut lists: BTreeMap<&str, Vec<DiscoveryEntry>> = BTreeMap::new();
        let mut behind = HashMap::new();
        for record in records.values() {
            let (Some(upstream), Some(incoming)) = (&record.upstream, record.incoming_address) else {
                continue;
            };
            if upstream.condition == Condition::Down {
                continue;
            }
            let leaves = record.leaving || upstream.condition == Condition::Closing;
            if let Ok(id) = HeaderValue::from_str(&upstream.id) {
                behind.insert(incoming, id);
            }
            lists.entry(upstream.service.as_str()).or_default().push(DiscoveryEntry {
                instance: upstream.id.clone(),
                address: incoming,
                zone: record.zone.clone(),
                kind: String::new(),
                cell: 0,
                state: if leaves { ServerState::Draining } else { ServerState::Ready },
                weight: 1.0,
                started: upstream.cold_until_micros.map(|until| until.saturating_sub(WARM_AFTER)),
            });
        }
        for ((line, _), service) in &self.by_group {
            let list = lists.get(line.as_str()).cloned().unwrap_or_default();
            service.engine.transport().behind.borrow_mut().clone_from(&behind);
            if *service.listed.borrow() != list || !service.engine.has_list() {
                service.listed.borrow_mut().clone_from(&list);
                service.engine.update_list(ListKind::Complete, list);
            }
        }
    }

    /// Whether attempts are cut short whose upstreams may be at work. Not while this balancer is to finish what it has: after
    /// it was told to stop, and for as long after its start as clients may still count on its former life.
    pub fn set_cutting(&mut self, cuts: bool) {
        self.keeps = !cuts;
        self.by_group.values().for_each(|service| service.engine.set_cancellation(cuts));
    }

    /// Each has an upstream.
    pub fn listed(&self) -> bool {
        self.by_group.values().any(|s| s.engine.ready_upstreams() > 0)
    }
}

fn settings(ground: &Ground, zones: &mut NameTable, classes: Vec<fs::Class>, tries: u32) -> fs::Settings {
    let base = fs::Settings::new(classes);
    fs::Settings {
        // What the others send is known where it arrives: the gate there admits, and a window that divides an upstream
        // among balancers beforehand would only hold back what it has room for.
        balancer_index: 0,
        balancers: 1,
        zone: zones.id_of(&ground.zone),
        zones: ground.zones.max(1),
        limits: fs::Limits {
            cancel: true,
            retry_after: true,
            // What a gate turns away has not been sent to its upstream.
            max_attempts: tries.max(1) + GATES,
            max_retry_after: 1_000_000,
            connect_timeout: CONNECT,
            idle_close: IDLE,
            ..base.limits
        },
        rules: fs::Rules { initial_capacity_share: COLD_FROM, warm_up_time: WARM_AFTER, ..base.rules },
        goal: fs::Goal { overall: 0.5, worst_window: 0.3, worst_class: 0.2, ..base.goal },
        ..base
    }
}

fn start(
    name: &str,
    settings: fs::Settings,
    zones: &NameTable,
    ground: &Ground,
    slots: Vec<ClassSlot>,
) -> Result<Service> {
    let upstreams = Upstreams::new(&settings.limits, ground.connections.clone(), dialect());
    let tend = upstreams.close_expired();
    let rails = Rails { upstreams, clock: ground.clock.clone(), behind: RefCell::default() };
    let engine =
        Engine::new(settings, zones, fastrand::u64(..), rails).map_err(|e| anyhow!("{name}: {e}"))?;
    let tasks = vec![spawn_local(tend).abort_handle(), spawn_local(engine.clone().run()).abort_handle()];
    engine.refuse_unsent();
    engine.cancel_on_disconnect();
    engine.start();
    Ok(Service {
        name: name.to_owned(),
        engine,
        admitted: Rc::default(),
        slots: RefCell::new(slots),
        listed: RefCell::default(),
        tasks,
    })
}
