//! Route lookup time by the number of routes. Run manually: `cargo bench -p sloeline-routing`.

use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use sloeline_routing::pattern::{FieldValue, HostPattern, PathPattern, Request, Route};
use sloeline_routing::table::Table;
use sloeline_routing::target::Target;

/// The `n`th route of the table.
fn route(n: usize) -> Route {
    // Each service has ten operations under one path template; every tenth route has its own host.
    let path = format!("/v1/service-{}/{{id}}/operation-{}", n / 10, n % 10);
    let host = if n.is_multiple_of(10) { format!("h{n}.example") } else { "*".to_owned() };
    Route {
        name: format!("r{n}"),
        hosts: vec![HostPattern::parse(&host).expect("a host")],
        methods: vec!["GET".to_owned()],
        path: PathPattern::parse(&path, false).expect("a pattern"),
        conditions: Vec::new(),
    }
}

/// Measures lookups in tables of 10 to 10,000 routes.
fn lookup(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lookup");
    for count in [10, 100, 1_000, 10_000] {
        let table = Table::new((0..count).map(route).collect());
        let paths: Vec<String> = (0..count)
            .filter(|n| !n.is_multiple_of(10))
            .map(|n| format!("/v1/service-{}/77/operation-{}", n / 10, n % 10))
            .collect();
        let mut at = 0;
        group.bench_function(BenchmarkId::from_parameter(count), |b| {
            b.iter(|| {
                at = (at + 7919) % paths.len();
                let target = Target::parse(&paths[at], Some("api.example")).expect("a target");
                let request = Request { method: "GET", target: &target, header: &|_| FieldValue::Missing };
                black_box(table.find(&request)).expect("a route")
            });
        });
    }
    group.finish();
}

criterion_group!(benches, lookup);
criterion_main!(benches);
