//! The services that this balancer sends requests to. Each class of requests of a service has a load-balancing engine,
//! which follows the routing configuration and the list of known upstreams.

use std::cell::RefCell;
use std::collections::BTreeMap;
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
use sloeline_http::upstream::{Attempt, Call, ProcessingStart, Reply, UpstreamProtocol, Upstreams};
use sloeline_limits::Share;
use sloeline_route_config::model::{Route, RouteKind};
use sloeline_route_config::table::Table;
use sloeline_settings::setup::NameTable;
use tokio::task::{AbortHandle, spawn_local};

use crate::header_names;
use crate::heartbeats::is_valid_id;
use crate::metrics;
use crate::replaced_upstreams::ReplacedUpstreams;

/// Time limit for connecting to another balancer.
const CONNECT_TIMEOUT_MICROS: Micros = 300_000;
/// How long idle connections to other balancers are kept, approximately.
const IDLE_CLOSE_MICROS: Micros = 30_000_000;
/// Responses up to this size are buffered whole; larger ones are streamed.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 1 << 30;
/// Maximum number of engines with a class of their own per service; all further classes share one engine.
const MAX_ENGINES_PER_SERVICE: usize = 32;
/// Group name of the engine that the classes beyond [`MAX_ENGINES_PER_SERVICE`] share.
const SHARED_GROUP: &str = "together";
/// Attempts allowed in addition to a route's configured tries, because an attempt that is rejected by the admission control
/// of another balancer has not reached an upstream.
const EXTRA_ATTEMPTS: u32 = 2;
/// Share of its full capacity that an upstream has when it starts.
const COLD_CAPACITY_SHARE: f64 = 0.4;
/// Time after which a started upstream counts as warm.
const WARM_AFTER_MICROS: Micros = 3_000_000;

/// Sends requests to upstreams through their local balancers.
pub struct MeshTransport {
    /// Connections to other balancers.
    upstreams: Upstreams,
    /// The clock that deadlines and latency targets refer to.
    clock: Rc<Clock>,
    /// Name of the service, as the value of a header. A name that cannot be one is not sent.
    service: Option<HeaderValue>,
}

impl Transport for MeshTransport {
    type Call = Call;
    type Reply = Reply;
    type Attempt = Attempt;

    fn send(&self, to: Target, call: Rc<Call>, limit: Micros, report: AttemptReport<Self>) -> Attempt {
        metrics::ATTEMPTS.increment();
        if report.follows_run() {
            metrics::ATTEMPTS_REPEATED.increment();
        }
        let mut headers = call.headers.clone();
        // The upstream is named by the entry that was selected. A second record may list another upstream at its address.
        headers.insert(header_names::ADDRESSEE, addressee(&to.instance));
        if let Some(service) = &self.service {
            headers.insert(header_names::SERVICE, service.clone());
        }
        // Points in time are sent as remaining milliseconds, because the receiver has another clock. The upstream gets all of
        // the client's remaining time, and this side ends the attempt: a balancer that is shutting down can then still let
        // the upstream use the rest.
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

    // Upstreams are not probed: the local balancer of an upstream publishes its condition.
    fn probe(&self, _engine: &Rc<Engine<Self>>, _to: Target) {}

    fn close_idle(&self, server: ServerId) {
        self.upstreams.close_idle(server);
    }

    fn watch(&self, _engine: &Rc<Engine<Self>>) {}

    fn fetch(&self, _engine: &Rc<Engine<Self>>) {}
}

/// The header value that names an upstream. The empty value, which names none, stands for an identifier that no header can
/// carry; such an upstream is not listed in the first place.
fn addressee(id: &str) -> HeaderValue {
    HeaderValue::from_bytes(id.as_bytes()).unwrap_or_else(|_| HeaderValue::from_static(""))
}

/// A service as the target of one group of request classes.
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// The engine that distributes requests over the service's upstreams.
    pub engine: Rc<Engine<MeshTransport>>,
    /// Counts the requests whose header has arrived and whose response has not, by class.
    pub admitted: Rc<Admitted>,
    /// The classes of the engine.
    slots: RefCell<Vec<ClassSlot>>,
    /// The upstreams last passed to the engine.
    upstreams: RefCell<Vec<DiscoveryEntry>>,
    /// Background tasks, aborted when the service is dropped.
    tasks: Vec<AbortHandle>,
}

impl Service {
    /// Whether a request is open here, be it that its header has just arrived or that an attempt has not ended.
    fn has_requests(&self) -> bool {
        !self.admitted.is_empty() || self.engine.open_requests() > 0
    }

    /// Passes the present upstreams to the engine, if they have changed.
    fn update_upstreams(&self, upstreams: &[DiscoveryEntry]) {
        if *self.upstreams.borrow() != upstreams || !self.engine.has_list() {
            *self.upstreams.borrow_mut() = upstreams.to_vec();
            self.engine.update_list(ListKind::Complete, upstreams.to_vec());
        }
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

/// Name shared by the routes whose requests have similar processing times. It has no part that operators change while
/// requests are open, as a timeout: what is learned of a kind must outlast such a change.
fn kind_name(route: &Route) -> String {
    format!("{:?}/{}/{}", route.route_kind, route.precedence, latency_target(route))
}

/// Latency target of a route's requests, in microseconds.
fn latency_target(route: &Route) -> Micros {
    route.target.0.max(1_000)
}

/// The request class of a route. Routes with equal settings have equal classes.
fn slot(route: &Route) -> ClassSlot {
    let effect = match route.route_kind {
        RouteKind::Safe | RouteKind::Download => Effect::Safe,
        // Tracked routes as well: the local balancer of the upstream checks the operation key, but a repeated attempt uses up
        // retry budget.
        RouteKind::Unsafe | RouteKind::Tracked => Effect::Unsafe,
    };
    let class_value = match route.precedence {
        0 => 4.0,
        1 => 2.0,
        _ => 1.0,
    };
    let class = fs::Class {
        effect,
        max_runs: route.dispatch.tries,
        latency_target: latency_target(route),
        target_per_work: 0.0,
        deadline: route.dispatch.timeout.0,
        value: class_value,
        late_value_ratio: 0.15,
        stream: false,
    };
    ClassSlot { name: kind_name(route), class }
}

/// The HTTP conventions between balancers, for the sending side.
fn dialect() -> UpstreamProtocol {
    let statuses = [503, 429, 421, 408, 400].into_iter().filter_map(|s| StatusCode::from_u16(s).ok());
    UpstreamProtocol {
        processing_start: ProcessingStart::FirstByte,
        deadline_header: Some(header_names::LIMIT),
        only_200: false,
        declined_mark: Some((header_names::NOT_RUN, HeaderValue::from_static("1"), statuses.collect())),
        max_response_bytes: MAX_RESPONSE_BYTES,
        max_buffered_bytes: MAX_BUFFERED_RESPONSE_BYTES,
        forwards_any_status: false,
        forwards_errors: true,
        echo_header: Some(header_names::ATTEMPT),
        instance_header: Some(header_names::INSTANCE),
        request_id_header: None,
    }
}

/// Context that all services share.
pub struct ServiceContext {
    /// This balancer's zone.
    pub zone: String,
    /// Number of zones.
    pub zones: u32,
    /// The clock that latency targets refer to.
    pub clock: Rc<Clock>,
    /// Limits the number of connections to other balancers.
    pub connections: Rc<Share>,
    /// Upstreams at whose addresses others have answered; the services add to them.
    pub replaced_upstreams: Rc<ReplacedUpstreams>,
}

/// Key of an engine: the name of the service, and the name of the class group that uses the engine.
type Group = (String, String);

/// All services of the present configuration, with the present list of upstreams.
#[derive(Default)]
pub struct Services {
    /// Services by name and class group.
    by_group: BTreeMap<Group, Rc<Service>>,
    /// Services that no route leads to any more, while requests are open there. A later configuration may take them back.
    retired: BTreeMap<Group, Rc<Service>>,
    /// Whether attempts that an upstream may be processing are left to finish.
    cancellation_disabled: bool,
}

/// The services that a route sends its requests to.
pub struct RouteTarget {
    /// Name shared by all requests of similar processing time, sent in the `x-mesh-kind` header.
    pub kind: HeaderValue,
    /// The services with the route's class in each, and the weights by which requests are split among them.
    pub splits: Vec<(Rc<Service>, fs::ClassId, u32)>,
}

impl Services {
    /// Applies a route table. Returns the target of each route, in the order of the table.
    pub fn configure(&mut self, table: &Table, context: &ServiceContext) -> Result<Vec<RouteTarget>> {
        // Each class of a service has an engine of its own: the rejection of one class says nothing about another class, and
        // above all a request on which other requests depend must not wait because of them.
        let mut wanted: BTreeMap<(&str, String), Vec<ClassSlot>> = BTreeMap::new();
        for route in table.routes() {
            let (slot, kind) = (slot(route), kind_name(route));
            for (service_name, _) in route.dispatch.weighted_services() {
                let engines = wanted
                    .range((service_name, String::new())..)
                    .take_while(|((l, _), _)| *l == service_name)
                    .count();
                let group_exists = wanted.contains_key(&(service_name, kind.clone()));
                let group = if group_exists || engines < MAX_ENGINES_PER_SERVICE {
                    kind.clone()
                } else {
                    SHARED_GROUP.to_owned()
                };
                let slots = wanted.entry((service_name, group)).or_default();
                if !slots.contains(&slot) {
                    slots.push(slot.clone());
                }
            }
        }
        let tries = table.routes().iter().map(|r| r.dispatch.tries).max().unwrap_or(1);
        let mut class_ids: BTreeMap<Group, Vec<(ClassSlot, fs::ClassId)>> = BTreeMap::new();
        for ((service_name, group), slots) in &wanted {
            let group: Group = ((*service_name).to_owned(), group.clone());
            if let Some(service) = self.retired.remove(&group) {
                self.by_group.insert(group.clone(), service);
            }
            let service = self.by_group.get(&group);
            let old = service.map(|s| s.slots.borrow().clone()).unwrap_or_default();
            let uses = |at| service.is_some_and(|s| s.admitted.any_open(at) || s.engine.class_in_use(at));
            let assigned = assign(&old, slots, uses);
            let numbered = slots.iter().cloned().zip(assigned.class_ids.iter().copied());
            class_ids.insert(group.clone(), numbered.collect());
            let classes = assigned.slots.iter().map(|s| s.class.clone()).collect();
            let mut zones = NameTable::default();
            let settings = settings(context, &mut zones, classes, tries);
            match service {
                Some(service) => {
                    let done = service.engine.reconfigure(settings, &assigned.inherited);
                    done.map_err(|e| anyhow!("{service_name}: {e}"))?;
                    *service.slots.borrow_mut() = assigned.slots;
                }
                None => {
                    let service = start(service_name, settings, &zones, context, assigned.slots)?;
                    service.engine.set_cancellation(!self.cancellation_disabled);
                    self.by_group.insert(group, Rc::new(service));
                }
            }
        }
        let is_wanted = |(service_name, group): &Group, _: &mut Rc<Service>| {
            wanted.contains_key(&(service_name.as_str(), group.clone()))
        };
        let unwanted = self.by_group.extract_if(.., |group, service| !is_wanted(group, service));
        self.retired.extend(unwanted);
        let target_of = |route: &Route| {
            let (slot, kind) = (slot(route), kind_name(route));
            let split = |(service_name, share): (&str, u32)| {
                let own_group = (service_name.to_owned(), kind.clone());
                let shared_group = (service_name.to_owned(), SHARED_GROUP.to_owned());
                let group = if class_ids.contains_key(&own_group) { own_group } else { shared_group };
                let (_, class_id) = class_ids.get(&group)?.iter().find(|(known, _)| *known == slot)?;
                Some((self.by_group.get(&group)?.clone(), *class_id, share))
            };
            let kind = HeaderValue::from_str(&kind).unwrap_or_else(|_| HeaderValue::from_static("other"));
            RouteTarget {
                kind,
                splits: route.dispatch.weighted_services().into_iter().filter_map(split).collect(),
            }
        };
        Ok(table.routes().iter().map(target_of).collect())
    }

    /// Ends the services that no route leads to and where no request is open any more.
    pub fn end_retired(&mut self) {
        self.retired.retain(|_, service| service.has_requests());
    }

    /// All services, those that still have requests of an earlier configuration among them.
    fn all(&self) -> impl Iterator<Item = (&Group, &Rc<Service>)> {
        self.by_group.iter().chain(&self.retired)
    }

    /// Passes the upstreams in these records, except for the replaced ones, to the services that they belong to.
    pub fn update_upstreams(&self, records: &BTreeMap<String, Rc<Record>>, replaced: &ReplacedUpstreams) {
        replaced.retain_listed(records);
        let mut lists: BTreeMap<&str, Vec<DiscoveryEntry>> = BTreeMap::new();
        for record in records.values() {
            let (Some(upstream), Some(incoming)) = (&record.upstream, record.incoming_address) else {
                continue;
            };
            if upstream.condition == Condition::Down
                || !is_valid_id(&upstream.id)
                || replaced.contains(&upstream.id, incoming)
            {
                continue;
            }
            let draining = record.leaving || upstream.condition == Condition::Closing;
            lists.entry(upstream.service.as_str()).or_default().push(DiscoveryEntry {
                instance: upstream.id.clone(),
                address: incoming,
                zone: record.zone.clone(),
                kind: String::new(),
                cell: 0,
                state: if draining { ServerState::Draining } else { ServerState::Ready },
                weight: 1.0,
                started: upstream.cold_until_micros.map(|until| until.saturating_sub(WARM_AFTER_MICROS)),
            });
        }
        for ((service_name, _), service) in self.all() {
            let list = lists.get(service_name.as_str()).map_or(&[][..], Vec::as_slice);
            service.update_upstreams(list);
        }
    }

    /// Sets whether attempts may be cancelled while their upstreams may be processing them. Must be disabled while this
    /// balancer has to finish its requests: after shutdown has begun, and after its start as long as clients may still rely
    /// on the previous process.
    pub fn set_cancellation(&mut self, enabled: bool) {
        self.cancellation_disabled = !enabled;
        self.all().for_each(|(_, service)| service.engine.set_cancellation(enabled));
    }

    /// Whether any service has an upstream.
    pub fn any_upstream(&self) -> bool {
        self.by_group.values().any(|s| s.engine.ready_upstreams() > 0)
    }
}

/// Engine settings for a service with these classes. Registers the names of zones in `zones`.
fn settings(
    context: &ServiceContext,
    zones: &mut NameTable,
    classes: Vec<fs::Class>,
    tries: u32,
) -> fs::Settings {
    let base = fs::Settings::new(classes);
    fs::Settings {
        // The local balancer of an upstream sees the requests of all other balancers and controls their admission. A window
        // that divides an upstream among balancers beforehand would only delay requests that it has room for.
        balancer_index: 0,
        balancers: 1,
        zone: zones.id_of(&context.zone),
        zones: context.zones.max(1),
        limits: fs::Limits {
            cancel: true,
            retry_after: true,
            // A request that is rejected by admission control has not been sent to the upstream.
            max_attempts: tries.max(1) + EXTRA_ATTEMPTS,
            max_retry_after: 1_000_000,
            connect_timeout: CONNECT_TIMEOUT_MICROS,
            idle_close: IDLE_CLOSE_MICROS,
            ..base.limits
        },
        rules: fs::Rules {
            initial_capacity_share: COLD_CAPACITY_SHARE,
            warm_up_time: WARM_AFTER_MICROS,
            ..base.rules
        },
        goal: fs::Goal { overall: 0.5, worst_window: 0.3, worst_class: 0.2, ..base.goal },
        ..base
    }
}

/// Starts the engine of a service and its background tasks.
fn start(
    name: &str,
    settings: fs::Settings,
    zones: &NameTable,
    context: &ServiceContext,
    slots: Vec<ClassSlot>,
) -> Result<Service> {
    let upstreams = Upstreams::new(&settings.limits, context.connections.clone(), dialect());
    let replaced_upstreams = context.replaced_upstreams.clone();
    upstreams.on_replaced(move |target| replaced_upstreams.add(target));
    let tend = upstreams.close_expired();
    let service = HeaderValue::from_bytes(name.as_bytes()).ok();
    let transport = MeshTransport { upstreams, clock: context.clock.clone(), service };
    let engine =
        Engine::new(settings, zones, fastrand::u64(..), transport).map_err(|e| anyhow!("{name}: {e}"))?;
    let tasks = vec![spawn_local(tend).abort_handle(), spawn_local(engine.clone().run()).abort_handle()];
    engine.refuse_unsent();
    engine.cancel_on_disconnect();
    engine.start();
    Ok(Service {
        name: name.to_owned(),
        engine,
        admitted: Rc::default(),
        slots: RefCell::new(slots),
        upstreams: RefCell::default(),
        tasks,
    })
}
