//! What becomes of the services when the routing configuration changes.

use std::rc::Rc;

use sloeline_data_plane::services::{RouteTarget, ServiceContext, Services};
use sloeline_engine::clock::Clock;
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let context = ServiceContext {
            zone: "a".to_owned(),
            zones: 1,
            clock: Rc::new(Clock::new()),
            connections: Share::standalone(10),
        };
        let mut services = Services::default();
        test(&mut |routes| services.configure(&table(routes), &context).expect("valid services"));
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
