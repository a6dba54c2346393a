//! The values that a route determines reach the engine: pool, class, tenant, key, deadline and limits.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use finchshift as fs;
use finchshift::{DedupGroup, Effect, ListKind, Micros, ServerId, ServerState};
use hyper::http::request::Parts;
use hyper::{Request, StatusCode};
use sloeline_engine::engine::{AttemptReport, Engine, Transport};
use sloeline_engine::types::{DiscoveryEntry, Target};
use sloeline_http::frontend::{Admission, Frontend};
use sloeline_http::routed::{Pool, RouteClass, RoutePool, RoutedFrontend, Routes, Service, Source};
use sloeline_http::upstream::{Call, Reply};
use sloeline_limits::Share;
use sloeline_routing::pattern::{HostPattern, PathPattern, Route};
use sloeline_routing::split::Split;
use sloeline_routing::table::Table;
use sloeline_settings::setup::NameTable;
use tokio::sync::oneshot;

/// A transport that sends nothing.
struct NullTransport;

impl Transport for NullTransport {
    type Call = Call;
    type Reply = Reply;
    type Attempt = ();
    fn send(&self, _: Target, _: Rc<Call>, _: Micros, _: AttemptReport<Self>) {}
    fn abort(&self, (): ()) -> bool {
        true
    }
    fn probe(&self, _: &Rc<Engine<Self>>, _: Target) {}
    fn close_idle(&self, _: ServerId) {}
    fn watch(&self, _: &Rc<Engine<Self>>) {}
    fn fetch(&self, _: &Rc<Engine<Self>>) {}
}

/// Microseconds in a second.
const SECOND: Micros = 1_000_000;

fn class(effect: Effect) -> fs::Class {
    fs::Class {
        effect,
        max_runs: u32::MAX,
        latency_target: SECOND,
        target_per_work: 0.0,
        deadline: 4 * SECOND,
        value: 1.0,
        late_value_ratio: 0.0,
        stream: false,
    }
}

/// A keyed class that upstreams deduplicate for 10 s.
const KEYED: Effect = Effect::Keyed { group: DedupGroup::All, window: 10 * SECOND };

/// Builds a pool with one upstream, a safe and a keyed class, and two tenants.
fn pool(name: &str, open: usize) -> Rc<Pool<NullTransport>> {
    let settings = fs::Settings::new(vec![class(Effect::Safe), class(KEYED)]);
    let engine = Engine::new(settings, &NameTable::default(), 1, NullTransport).expect("good settings");
    let node = DiscoveryEntry {
        instance: "n".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "a".to_owned(),
        kind: String::new(),
        cell: 0,
        state: ServerState::Ready,
        weight: 1.0,
        started: None,
    };
    engine.update_list(ListKind::Complete, vec![node]);
    Rc::new(Pool {
        name: name.to_owned(),
        engine,
        tenants: RefCell::new(HashMap::from([("gold".to_owned(), 0), ("tin".to_owned(), 1)])),
        open_requests: Share::standalone(open),
        operator_limit: Default::default(),
        fleet_limit: Default::default(),
        body_memory: Share::standalone(1 << 20),
        response_reservation_bytes: Cell::new(4096),
        admitted: Rc::default(),
        dropped_signal: oneshot::channel().0,
    })
}

fn route(path: &str) -> Route {
    Route {
        name: path.to_owned(),
        hosts: vec![HostPattern::parse("*").expect("a host")],
        methods: Vec::new(),
        path: PathPattern::parse(path, false).expect("a path"),
        conditions: Vec::new(),
    }
}

fn service(pools: &[&Rc<Pool<NullTransport>>]) -> Service<NullTransport> {
    let route_class = |name: &str, effect| RouteClass { name: name.to_owned(), effect, deadline: 4 * SECOND };
    let route_pool = |pool: &&Rc<Pool<NullTransport>>| RoutePool {
        pool: (*pool).clone(),
        classes: vec![Some(0), Some(1)],
    };
    Service {
        route_pools: pools.iter().map(route_pool).collect(),
        split: None,
        classes: vec![route_class("look", Effect::Safe), route_class("pull", KEYED)],
        class_header: Some("x-class".parse().expect("a name")),
        tenant: Some(Source::Header("x-tenant".parse().expect("a name"))),
        key: Some(Source::Header("idempotency-key".parse().expect("a name"))),
        max_body_bytes: 2048,
        described: None,
    }
}

fn frontend(services: Vec<(Route, Service<NullTransport>)>) -> RoutedFrontend<NullTransport> {
    let (routes, services): (Vec<_>, Vec<_>) = services.into_iter().map(|(r, s)| (r, Rc::new(s))).unzip();
    RoutedFrontend::new(Routes {
        table: Table::new(routes),
        services,
        pools: Vec::new(),
        deadline_header: Some("x-wait".parse().expect("a name")),
        unrouted_requests: Rc::default(),
    })
}

fn head(path: &str, headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::get(path).header("host", "a");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("a request").into_parts().0
}

fn admit(
    frontend: &RoutedFrontend<NullTransport>,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Admission<NullTransport>, StatusCode> {
    let peer = SocketAddr::from(([127, 0, 0, 9], 9));
    frontend.admit(&head(path, headers), peer).map_err(|response| response.status())
}

#[test]
fn the_engine_gets_the_id_of_the_tenant() {
    let p = pool("p", 8);
    let frontend = frontend(vec![(route("/a"), service(&[&p]))]);
    let tenant_id = |tenant: &str| {
        admit(&frontend, "/a", &[("x-class", "look"), ("x-tenant", tenant)])
            .expect("the request is admitted")
            .tenant
    };
    assert_eq!((tenant_id("gold"), tenant_id("tin")), (Some(0), Some(1)));
    // An unknown tenant and a missing one both count as no tenant.
    assert_eq!(tenant_id("lead"), None);
    let without_tenant = admit(&frontend, "/a", &[("x-class", "look")]).expect("the request is admitted");
    assert_eq!(without_tenant.tenant, None);
    // A repeated tenant header is ambiguous.
    let repeated = admit(&frontend, "/a", &[("x-class", "look"), ("x-tenant", "gold"), ("x-tenant", "tin")]);
    assert_eq!(repeated.err(), Some(StatusCode::BAD_REQUEST));
    // A reload can assign other tenant ids.
    p.tenants.borrow_mut().clone_from(&HashMap::from([("tin".to_owned(), 0)]));
    assert_eq!((tenant_id("gold"), tenant_id("tin")), (None, Some(0)));
}

#[test]
fn class_deadline_and_limits_come_from_the_route() {
    let p = pool("p", 8);
    let mut strict = service(&[&p]);
    strict.classes[0].deadline = SECOND;
    strict.max_body_bytes = 10;
    let frontend = frontend(vec![(route("/a"), service(&[&p])), (route("/short"), strict)]);
    let admit_look = |path: &str, wait: Option<&str>| {
        let mut headers = vec![("x-class", "look")];
        headers.extend(wait.map(|w| ("x-wait", w)));
        admit(&frontend, path, &headers).expect("the request is admitted")
    };
    assert_eq!(admit_look("/a", None).time_left, 4 * SECOND);
    // A client may shorten the deadline but not extend it.
    assert_eq!(admit_look("/a", Some("250")).time_left, 250_000);
    assert_eq!(admit_look("/a", Some("9000")).time_left, 4 * SECOND);
    assert_eq!(admit_look("/short", Some("9000")).time_left, SECOND);
    assert_eq!(admit_look("/a", Some("18446744073709551615")).time_left, 4 * SECOND);
    assert_eq!(
        (admit_look("/a", None).max_body_bytes, admit_look("/short", None).max_body_bytes),
        (2048, 10)
    );
    assert_eq!(admit_look("/a", None).response_reservation_bytes, 4096);
    for value in ["", "-1", "1.5", "1e3", " 1", "18446744073709551616"] {
        let response = admit(&frontend, "/a", &[("x-class", "look"), ("x-wait", value)]);
        // An empty header counts as missing.
        assert_eq!(response.err(), (!value.is_empty()).then_some(StatusCode::BAD_REQUEST), "{value:?}");
    }
    let keyed = admit(&frontend, "/a", &[("x-class", "pull"), ("idempotency-key", "k")])
        .expect("the request is admitted");
    assert_eq!(keyed.class, 1);
    for (headers, reason) in [
        (vec![("x-class", "pull")], "a keyed request without a key"),
        (vec![("x-class", "pay")], "a class that the route does not have"),
        (vec![], "no class"),
    ] {
        assert_eq!(admit(&frontend, "/a", &headers).err(), Some(StatusCode::BAD_REQUEST), "{reason}");
    }
}

#[test]
fn a_split_keeps_each_tenant_on_one_pool_and_counts_its_requests_there() {
    let (p, q) = (pool("p", 100), pool("q", 100));
    let mut service = service(&[&p, &q]);
    let sticky = Source::Header("x-tenant".parse().expect("a name"));
    service.split = Some((Split::new([("p", 50), ("q", 50)]), Some(sticky)));
    let frontend = frontend(vec![(route("/a"), service)]);
    let mut tenants_by_pool = [0, 0];
    let mut admissions = Vec::new();
    for n in 0..40 {
        let name = format!("tenant-{n}");
        let admit_request = || {
            admit(&frontend, "/a", &[("x-class", "look"), ("x-tenant", &name)])
                .expect("the request is admitted")
        };
        let (first, second) = (admit_request(), admit_request());
        assert!(Rc::ptr_eq(&first.engine, &second.engine), "{name} changed pools");
        tenants_by_pool[usize::from(Rc::ptr_eq(&first.engine, &q.engine))] += 1;
        admissions.extend([first, second]);
    }
    assert!(tenants_by_pool.iter().all(|n| *n > 5), "{tenants_by_pool:?}");
    assert_eq!(
        (p.open_requests.used(), q.open_requests.used()),
        (2 * tenants_by_pool[0], 2 * tenants_by_pool[1])
    );
    assert!(p.uses_class(0) && !p.uses_class(1));
    drop(admissions);
    assert_eq!((p.open_requests.used(), q.open_requests.used(), p.uses_class(0)), (0, 0, false));
}

#[test]
fn a_full_pool_refuses_requests_without_affecting_other_pools() {
    let (p, q) = (pool("p", 2), pool("q", 2));
    let frontend = frontend(vec![(route("/p"), service(&[&p])), (route("/q"), service(&[&q]))]);
    let admit_request = |path: &str| admit(&frontend, path, &[("x-class", "look")]);
    let admissions = [admit_request("/p"), admit_request("/p")];
    assert_eq!(admit_request("/p").err(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(admit_request("/q").is_ok());
    drop(admissions);
    assert!(admit_request("/p").is_ok());
}
