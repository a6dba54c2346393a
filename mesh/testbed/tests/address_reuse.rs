//! Addresses that an upstream of another service, or another upstream of the same one, has by now, while the record of the one
//! before is still known: a machine that crashes cannot take its record back.

#[allow(dead_code)]
mod mesh;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mesh::{Mesh, WITHIN, play, status, until};
use sloeline_discovery::{Condition, Record, Upstream, Version};
use sloeline_rpc::RpcRequest;
use sloeline_rpc::link::Link;
use sloeline_testbed::client::{Answer, ask};

/// The machine with the upstream of service `one`, whose record is that of `m-2`.
const MACHINE: u8 = 2;

/// A configuration with a safe and a keyed route to each of the services `one` and `two`.
fn config(edition: u32) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","route_kind":"{kind}","target":"300ms","precedence":2,"sort_by":{{"lane_prefix":"/{name}/"}},"dispatch":{{"line":"{service}","timeout":"2s","tries":2}}}}"#
        )
    };
    let routes = [
        route("safe", "safe", "one"),
        route("key", "tracked", "one"),
        route("other", "safe", "two"),
        route("other-key", "tracked", "two"),
    ];
    format!(
        r#"{{"edition":"{edition:08x}","gateways":[{{"station":"h.example","regulations":[{}]}}],"depots":[{{"name":"one"}},{{"name":"two"}}]}}"#,
        routes.join(",")
    )
}

/// The record of a machine that had the address of `m-2` and crashed.
fn stale_record(mesh: &Mesh, source: &str, service: &str) -> Record {
    Record {
        source: source.to_owned(),
        version: Version { incarnation: 1, revision: 1 },
        mesh_address: mesh.plan.balancer_mesh(MACHINE),
        zone: "a".to_owned(),
        is_core: false,
        leaving: false,
        incoming_address: Some(mesh.plan.incoming(MACHINE)),
        upstream: Some(Upstream {
            id: format!("i-stale-{source}"),
            service: service.to_owned(),
            software_version: "v1".to_owned(),
            slots: 2,
            condition: Condition::Accepting,
            cold_until_micros: None,
        }),
    }
}

/// A mesh with both services' routes, whose processes know the stale record of another machine at the address of `m-2`.
async fn mesh_with_stale_record(net: u8, source: &str, service: &str) -> Mesh {
    let mesh = Mesh::start(net, 1).await;
    assert_eq!(status(&mesh.put(0, &config(2)).await), 200);
    let routed = until(|| mesh.request("/other/a", "routed", None), |a| status(a) == 503).await;
    assert_eq!(status(&routed), 503, "{routed:?}");
    let record = stale_record(&mesh, source, service);
    let link = Link::new(mesh.plan.core_mesh(0));
    link.call(&RpcRequest::PushRecords(vec![record]), Duration::from_secs(1))
        .await
        .expect("the core takes it");
    mesh
}

/// Guards against requests that carry the id of whichever upstream is last known at their address: another service ran them.
#[test]
fn an_upstream_runs_no_request_for_the_service_that_had_its_address() {
    play(async || {
        // Whichever of the two records comes first in the order of names.
        for (net, source) in [(71, "a-1"), (72, "z-1")] {
            let mesh = mesh_with_stale_record(net, source, "two").await;
            let start = Instant::now();
            let mut number = 0;
            while start.elapsed() < Duration::from_secs(3) {
                number += 1;
                let id = format!("other-{number}");
                for (path, key) in [("/other/a", None), ("/other-key/a", Some(id.as_str()))] {
                    let answer = mesh.request(path, &id, key).await;
                    assert_ne!(status(&answer), 200, "{source}: {path} is run by the other service");
                }
                let id = format!("own-{number}");
                for (path, key) in [("/safe/a", None), ("/key/a", Some(id.as_str()))] {
                    let answer = mesh.request(path, &id, key).await;
                    assert_eq!(status(&answer), 200, "{source}: {path} {answer:?}");
                }
            }
            let other = mesh.standin.book().runs.keys().filter(|id| id.starts_with("other")).count();
            assert_eq!(other, 0, "{source}: requests for service two that the upstream of service one ran");
        }
    });
}

/// Guards against an upstream that gets no requests because they name the one that had its address.
#[test]
fn an_upstream_gets_its_requests_at_the_address_of_one_of_its_own_service() {
    play(async || {
        for (net, source) in [(73, "a-1"), (74, "z-1")] {
            let mesh = mesh_with_stale_record(net, source, "one").await;
            let start = Instant::now();
            let mut number = 0;
            while start.elapsed() < Duration::from_secs(2) {
                number += 1;
                let id = format!("own-{number}");
                for (path, key) in [("/safe/a", None), ("/key/a", Some(id.as_str()))] {
                    let answer = mesh.request(path, &id, key).await;
                    assert_eq!(status(&answer), 200, "{source}: {path} {answer:?}");
                }
            }
        }
    });
}

/// A request as another balancer sends it, with these headers.
async fn send(incoming: SocketAddr, id: &str, headers: &[(&str, &str)]) -> Answer {
    let headers = [&[("X-Try-Id", id), ("X-Time-Left", "1000")], headers].concat();
    ask(incoming, "GET", "/safe/a", &headers, b"", WITHIN).await.expect("an answer")
}

/// Guards against requests that nothing is compared for: without a name, or with the name of another upstream or service.
#[test]
fn a_balancer_passes_on_only_what_names_its_upstream() {
    play(async || {
        let mesh = Mesh::start(75, 1).await;
        let incoming = mesh.plan.incoming(MACHINE);
        let own_id = mesh.plan.upstream(MACHINE, "one", 2).id;
        let unnamed = send(incoming, "unnamed", &[]).await;
        let other = send(incoming, "other", &[("X-Addressee", "i-other")]).await;
        let service = [("X-Addressee", own_id.as_str()), ("X-Mesh-Service", "two")];
        let other_service = send(incoming, "other-service", &service).await;
        for answer in [&unnamed, &other, &other_service] {
            assert_eq!((answer.status, answer.header("x-not-run")), (421, Some("1")), "{answer:?}");
        }
        // The sender learns that the one it named is gone only where it named another one.
        let instances = [&unnamed, &other, &other_service].map(|answer| answer.header("x-mesh-instance"));
        assert_eq!(instances, [None, Some(own_id.as_str()), None]);
        assert_eq!(mesh.standin.ran(), 0);
        // A balancer of a build that doesn't name the service yet.
        let named = send(incoming, "named", &[("X-Addressee", own_id.as_str())]).await;
        assert_eq!((named.status, mesh.standin.ran()), (200, 1), "{named:?}");
    });
}
