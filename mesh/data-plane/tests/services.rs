//! What becomes of the services when the routing configuration changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use sloeline_data_plane::replaced_upstreams::ReplacedUpstreams;
use sloeline_data_plane::services::{RouteTarget, ServiceContext, Services};
use sloeline_discovery::{Condition, Record, Upstream, Version};
use sloeline_engine::clock::Clock;
use sloeline_engine::types::Target;
use sloeline_limits::Share;
use sloeline_route_config::model::Config;
use sloeline_route_config::table::Table;
use tokio::task::LocalSet;

/// A safe route to service `one` for each pair of a timeout in milliseconds and a number of tries.
fn table(routes: &[(u32, u32)]) -> Table {
    let route = |(number, (timeout_ms, tries)): (usize, &(u32, u32))| {
        format!(
            r#"{{"name":"r{number}","route_kind":"safe","target":"300ms","precedence":1,"sort_by":{{"lane_prefix":"/{number}/"}},"dispatch":{{"line":"one","timeout":"{timeout_ms}ms","tries":{tries}}}}}"#
        )
    };
    let rules: Vec<String> = routes.iter().enumerate().map(route).collect();
    let rules = rules.join(",");
    let text = format!(
        r#"{{"edition":"00000001","gateways":[{{"station":"h.example","regulations":[{rules}]}}],"depots":[{{"name":"one"}}]}}"#
    );
    Table::new(&Config::parse(text.as_bytes()).expect("a valid configuration"))
}

fn with_services(test: impl FnOnce(&mut dyn FnMut(&[(u32, u32)]) -> Vec<RouteTarget>)) {
    with_context(|services, context| {
        test(&mut |routes| services.configure(&table(routes), context).expect("valid services"));
    });
}

fn with_context(test: impl FnOnce(&mut Services, &ServiceContext)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let context = ServiceContext {
            zone: "a".to_owned(),
            zones: 1,
            clock: Rc::new(Clock::new()),
            connections: Share::standalone(10),
            replaced_upstreams: Rc::default(),
        };
        let mut services = Services::default();
        test(&mut services, &context);
    });
}

/// The address of all balancers in these tests.
const INCOMING: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 1);

/// The record of a machine whose upstream of service `one` accepts requests.
fn record(source: &str, upstream_id: &str) -> Record {
    Record {
        source: source.to_owned(),
        version: Version { incarnation: 1, revision: 1 },
        mesh_address: INCOMING,
        zone: "a".to_owned(),
        is_core: false,
        leaving: false,
        incoming_address: Some(INCOMING),
        upstream: Some(Upstream {
            id: upstream_id.to_owned(),
            service: "one".to_owned(),
            software_version: String::new(),
            slots: 1,
            condition: Condition::Accepting,
            cold_until_micros: None,
        }),
    }
}

/// Guards against upstreams of crashed machines that stay selectable although others have their addresses.
#[test]
fn a_replaced_upstream_is_not_listed_and_the_one_that_replaced_it_is() {
    with_context(|services, context| {
        let targets = services.configure(&table(&[(2000, 2)]), context).expect("valid services");
        let engine = &targets[0].splits[0].0.engine;
        let replaced = ReplacedUpstreams::default();
        let mut records: BTreeMap<String, Rc<Record>> = BTreeMap::new();
        let listed = |records: &BTreeMap<String, Rc<Record>>| {
            services.update_upstreams(records, &replaced);
            let mut names: Vec<String> =
                engine.current_list().unwrap_or_default().into_iter().map(|entry| entry.instance).collect();
            names.sort();
            names
        };
        records.insert("m-1".to_owned(), Rc::new(record("m-1", "i-old")));
        records.insert("m-2".to_owned(), Rc::new(record("m-2", "i-new")));
        assert_eq!(listed(&records), ["i-new", "i-old"], "nothing tells yet which of the two is there");
        let target = Target { server: 0, instance: "i-old".into(), address: INCOMING };
        replaced.add(&target);
        assert_eq!(listed(&records), ["i-new"]);
        assert!(replaced.contains("i-old", INCOMING));
        // Once no record lists it, nothing has to be remembered.
        records.remove("m-1");
        assert_eq!(listed(&records), ["i-new"]);
        assert!(!replaced.contains("i-old", INCOMING));
    });
}

#[test]
fn an_upstream_whose_id_no_header_can_carry_is_not_listed() {
    with_context(|services, context| {
        let targets = services.configure(&table(&[(2000, 2)]), context).expect("valid services");
        for id in ["", "i\n1", " i-1", "i-1\t", "i 1"] {
            let records = BTreeMap::from([("m-1".to_owned(), Rc::new(record("m-1", id)))]);
            services.update_upstreams(&records, &ReplacedUpstreams::default());
            assert_eq!(targets[0].splits[0].0.engine.ready_upstreams(), 0, "{id:?}");
        }
        let records = BTreeMap::from([("m-1".to_owned(), Rc::new(record("m-1", "i-ü")))]);
        services.update_upstreams(&records, &ReplacedUpstreams::default());
        assert_eq!(targets[0].splits[0].0.engine.ready_upstreams(), 1);
    });
}

#[test]
fn a_change_of_a_timeout_keeps_the_engine_and_what_it_has_learned() {
    with_services(|configure| {
        let before = configure(&[(2000, 2)]);
        let after = configure(&[(3000, 2)]);
        assert!(Rc::ptr_eq(&before[0].splits[0].0, &after[0].splits[0].0));
        assert_eq!(before[0].kind, after[0].kind, "other balancers know the kind by its name");
    });
}

#[test]
fn routes_that_differ_in_timeout_or_tries_have_classes_of_their_own() {
    with_services(|configure| {
        let targets = configure(&[(2000, 1), (2000, 3), (3000, 3), (2000, 1)]);
        let class_ids: Vec<usize> = targets.iter().map(|target| target.splits[0].1).collect();
        assert_eq!(class_ids, [0, 1, 2, 0]);
    });
}
