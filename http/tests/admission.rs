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
struct Deaf;

impl Transport for Deaf {
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
fn pool(name: &str, open: usize) -> Rc<Pool<Deaf>> {
    let settings = fs::Settings::new(vec![class(Effect::Safe), class(KEYED)]);
    let engine = Engine::new(settings, &NameTable::default(), 1, Deaf).expect("good settings");
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

fn service(pools: &[&Rc<Pool<Deaf>>]) -> Service<Deaf> {
    let of = |name: &str, effect| RouteClass { name: name.to_owned(), effect, deadline: 4 * SECOND };
    let side = |pool: &&Rc<Pool<Deaf>>| RoutePool { pool: (*pool).clone(), classes: vec![Some(0), Some(1)] };
    Service {
        route_pools: pools.iter().map(side).collect(),
        split: None,
        classes: vec![of("look", Effect::Safe), of("pull", KEYED)],
        class_header: Some("x-class".parse().expect("a name")),
        tenant: Some(Source::Header("x-tenant".parse().expect("a name"))),
        key: Some(Source::Header("idempotency-key".parse().expect("a name"))),
        max_body_bytes: 2048,
        described: None,
    }
}

fn front(services: Vec<(Route, Service<Deaf>)>) -> RoutedFrontend<Deaf> {
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
    front: &RoutedFrontend<Deaf>,
    path: &str,
    headers: &[(&str, &str)],
) -> Result<Admission<Deaf>, StatusCode> {
    let peer = SocketAddr::from(([127, 0, 0, 9], 9));
    front.admit(&head(path, headers), peer).map_err(|answer| answer.status())
}

#[test]
fn a_tenant_is_told_to_the_engine_by_its_number() {
    let p = pool("p", 8);
    let front = front(vec![(route("/a"), service(&[&p]))]);
    let of = |tenant: &str| {
        admit(&front, "/a", &[("x-class", "look"), ("x-tenant", tenant)]).expect("it is taken").tenant
    };
    assert_eq!((of("gold"), of("tin")), (Some(0), Some(1)));
    // An unknown tenant and a missing one both count as no tenant.
    assert_eq!(of("lead"), None);
    let silent = admit(&front, "/a", &[("x-class", "look")]).expect("it is taken");
    assert_eq!(silent.tenant, None);
    // A repeated tenant header is ambiguous.
    let twice = admit(&front, "/a", &[("x-class", "look"), ("x-tenant", "gold"), ("x-tenant", "tin")]);
    assert_eq!(twice.err(), Some(StatusCode::BAD_REQUEST));
    // A reload can assign other tenant ids.
    p.tenants.borrow_mut().clone_from(&HashMap::from([("tin".to_owned(), 0)]));
    assert_eq!((of("gold"), of("tin")), (None, Some(0)));
}

#[test]
fn class_deadline_and_limits_are_the_route_s_own() {
    let p = pool("p", 8);
    let mut short = service(&[&p]);
    short.classes[0].deadline = SECOND;
    short.max_body_bytes = 10;
    let front = front(vec![(route("/a"), service(&[&p])), (route("/short"), short)]);
    let look = |path: &str, wait: Option<&str>| {
        let mut headers = vec![("x-class", "look")];
        headers.extend(wait.map(|w| ("x-wait", w)));
        admit(&front, path, &headers).expect("it is taken")
    };
    assert_eq!(look("/a", None).time_left, 4 * SECOND);
    // A client may shorten the deadline but not extend it.
    assert_eq!(look("/a", Some("250")).time_left, 250_000);
    assert_eq!(look("/a", Some("9000")).time_left, 4 * SECOND);
    assert_eq!(look("/short", Some("9000")).time_left, SECOND);
    assert_eq!(look("/a", Some("18446744073709551615")).time_left, 4 * SECOND);
    assert_eq!((look("/a", None).max_body_bytes, look("/short", None).max_body_bytes), (2048, 10));
    assert_eq!(look("/a", None).response_reservation_bytes, 4096);
    for wrong in ["", "-1", "1.5", "1e3", " 1", "18446744073709551616"] {
        let answer = admit(&front, "/a", &[("x-class", "look"), ("x-wait", wrong)]);
        // An empty header counts as missing.
        assert_eq!(answer.err(), (!wrong.is_empty()).then_some(StatusCode::BAD_REQUEST), "{wrong:?}");
    }
    let pull = admit(&front, "/a", &[("x-class", "pull"), ("idempotency-key", "k")]).expect("it is taken");
    assert_eq!(pull.class, 1);
    for (headers, why) in [
        (vec![("x-class", "pull")], "a keyed one without a key"),
        (vec![("x-class", "pay")], "a class that the route does not give"),
        (vec![], "no class"),
    ] {
        assert_eq!(admit(&front, "/a", &headers).err(), Some(StatusCode::BAD_REQUEST), "{why}");
    }
}

#[test]
fn a_split_keeps_a_tenant_on_its_side_and_counts_it_there() {
    let (p, q) = (pool("p", 100), pool("q", 100));
    let mut service = service(&[&p, &q]);
    let by = Source::Header("x-tenant".parse().expect("a name"));
    service.split = Some((Split::new([("p", 50), ("q", 50)]), Some(by)));
    let front = front(vec![(route("/a"), service)]);
    let mut sides = [0, 0];
    let mut held = Vec::new();
    for n in 0..40 {
        let name = format!("tenant-{n}");
        let ask = || admit(&front, "/a", &[("x-class", "look"), ("x-tenant", &name)]).expect("it is taken");
        let (once, again) = (ask(), ask());
        assert!(Rc::ptr_eq(&once.engine, &again.engine), "{name} changed sides");
        sides[usize::from(Rc::ptr_eq(&once.engine, &q.engine))] += 1;
        held.extend([once, again]);
    }
    assert!(sides.iter().all(|n| *n > 5), "{sides:?}");
    assert_eq!((p.open_requests.used(), q.open_requests.used()), (2 * sides[0], 2 * sides[1]));
    assert!(p.uses_class(0) && !p.uses_class(1));
    drop(held);
    assert_eq!((p.open_requests.used(), q.open_requests.used(), p.uses_class(0)), (0, 0, false));
}

#[test]
fn a_full_pool_refuses_and_leaves_the_other_alone() {
    let (p, q) = (pool("p", 2), pool("q", 2));
    let front = front(vec![(route("/p"), service(&[&p])), (route("/q"), service(&[&q]))]);
    let ask = |path: &str| admit(&front, path, &[("x-class", "look")]);
    let held = [ask("/p"), ask("/p")];
    assert_eq!(ask("/p").err(), Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(ask("/q").is_ok());
    drop(held);
    assert!(ask("/p").is_ok());
}
