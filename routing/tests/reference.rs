//! Compares the route table with a naive reference that checks all routes one by one and picks the greatest by
//! pairwise comparison. Randomized; `SLOELINE_SEED` sets the seed.

use std::cmp::Ordering;

use fastrand::Rng;
use sloeline_routing::analysis::{Finding, analyze};
use sloeline_routing::pattern::{
    Condition, ConditionSource, FieldValue, HostPattern, PathPattern, Predicate, Request, Route,
};
use sloeline_routing::table::{NoRoute, Table, Verdict};
use sloeline_routing::target::Target;

/// Literal segments of random paths.
const SEGMENTS: [&str; 4] = ["checks", "files", "a", "b"];
/// Methods of random routes and requests.
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];
/// Host patterns of random routes.
const HOST_PATTERNS: [&str; 5] = ["*", "*.example", "*.api.example", "api.example", "x.api.example"];
/// Hosts of random requests.
const REQUEST_HOSTS: [Option<&str>; 5] =
    [None, Some("api.example"), Some("X.api.example."), Some("y.api.example"), Some("other")];

/// The seed from the environment, or a random one; printed to repeat a failed run.
fn seed() -> u64 {
    let seed =
        std::env::var("SLOELINE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("seed {seed}");
    seed
}

/// A random route; `number` makes its name unique.
fn route(rng: &mut Rng, number: usize) -> Route {
    let depth = rng.usize(0..4);
    let mut path: String = (0..depth)
        .map(|i| {
            if rng.usize(0..3) == 0 {
                format!("/{{p{i}}}")
            } else {
                format!("/{}", rng.choice(SEGMENTS).unwrap())
            }
        })
        .collect();
    if path.is_empty() || rng.usize(0..6) == 0 {
        path.push('/');
    }
    let subset = |rng: &mut Rng, from: &[&str], max: usize| -> Vec<String> {
        (0..rng.usize(0..=max)).map(|_| (*rng.choice(from).unwrap()).to_owned()).collect()
    };
    let mut hosts = subset(rng, &HOST_PATTERNS, 2);
    if hosts.is_empty() {
        hosts.push("*".to_owned());
    }
    let conditions = (0..rng.usize(0..3)).map(|_| {
        let name = (rng.choice(["h", "i"]).unwrap()).to_owned();
        let source = if rng.bool() { ConditionSource::Header(name) } else { ConditionSource::Query(name) };
        let predicate = match rng.usize(0..4) {
            0 => Predicate::Present,
            1 => Predicate::Absent,
            n => Predicate::Equals(n.to_string()),
        };
        Condition { source, predicate }
    });
    Route {
        name: format!("r{number:05}"),
        hosts: hosts.iter().map(|h| HostPattern::parse(h).expect("a host")).collect(),
        conditions: conditions.collect(),
        methods: subset(rng, &METHODS, 2),
        path: PathPattern::parse(&path, rng.bool()).expect("a pattern"),
    }
}

/// Random routes without overlaps or contradictions; of two overlapping routes the later one is removed.
fn routes(rng: &mut Rng, count: usize) -> Vec<Route> {
    let mut routes: Vec<Route> = (0..count).map(|n| route(rng, n)).collect();
    loop {
        let conflict = analyze(&routes).into_iter().find_map(|f| match f {
            Finding::Overlap(_, b) | Finding::Contradiction(b, ..) => Some(b),
            Finding::Shadowed(..) => None,
        });
        match conflict {
            Some(at) => drop(routes.remove(at)),
            None => return routes,
        }
    }
}

/// Compares two routes by the documented precedence rules; the greater one takes precedence for the host.
fn compare_precedence(a: &Route, b: &Route, host: Option<&str>) -> Ordering {
    let host = |r: &Route| r.hosts.iter().filter(|h| h.matches(host)).map(HostPattern::rank).max();
    host(a)
        .cmp(&host(b))
        .then_with(|| a.path.compare_specificity(&b.path))
        .then_with(|| a.specificity().cmp(&b.specificity()))
}

/// The matching route with the highest precedence. `None` if any condition is ambiguous, in which case the table may
/// return an error.
fn reference(routes: &[Route], request: &Request<'_>) -> Option<Option<usize>> {
    let mut best: Option<usize> = None;
    for (at, route) in routes.iter().enumerate() {
        let matches = route.hosts.iter().any(|h| h.matches(request.host()))
            && route.path.matches(&request.target.path)
            && route.allows_method(request.method);
        if !matches {
            continue;
        }
        let holds: Option<Vec<bool>> = route.conditions.iter().map(|c| c.matches(request)).collect();
        if holds?.iter().all(|h| *h)
            && best.is_none_or(|b| compare_precedence(route, &routes[b], request.host()).is_gt())
        {
            best = Some(at);
        }
    }
    Some(best)
}

#[test]
fn the_table_agrees_with_the_reference() {
    let mut rng = Rng::with_seed(seed());
    let (mut found, mut missed, mut ambiguous) = (0, 0, 0);
    for round in 0..200 {
        let routes = routes(&mut rng, 1 + round % 40);
        let table = Table::new(routes.clone());
        let mut shuffled: Vec<Route> = routes.clone();
        rng.shuffle(&mut shuffled);
        let other = Table::new(shuffled.clone());
        for _ in 0..100 {
            let path: String = (0..rng.usize(0..5))
                .map(|_| format!("/{}", rng.choice(["checks", "files", "a", "c"]).unwrap()))
                .collect();
            let query = rng.choice(["", "?h=2", "?h=3&i=2", "?i=1", "?h=2&h=3"]).unwrap();
            let path = if path.is_empty() { "/" } else { &path };
            let target = Target::parse(&format!("{path}{query}"), rng.choice(REQUEST_HOSTS).unwrap())
                .expect("a target");
            let value = match rng.usize(0..4) {
                0 => FieldValue::Missing,
                1 => FieldValue::Ambiguous,
                n => FieldValue::Single(n.to_string()),
            };
            let header = |name: &str| if name == "h" { value.clone() } else { FieldValue::Missing };
            let method = rng.choice(METHODS).unwrap();
            let request = Request { method, target: &target, header: &header };
            let got = table.find(&request);
            let name = |list: &[Route], at: Result<usize, NoRoute>| at.map(|at| list[at].name.clone());
            assert_eq!(
                name(&routes, got.clone()),
                name(&shuffled, other.find(&request)),
                "the result depends on the order of the routes"
            );
            match reference(&routes, &request) {
                Some(expected) => {
                    assert_eq!(got.clone().ok(), expected, "{routes:#?} {method} {path}{query} {value:?}");
                    let verdicts = table.explain(&request);
                    assert_eq!(verdicts.iter().position(|v| *v == Verdict::Chosen), expected);
                    if expected.is_some() { found += 1 } else { missed += 1 }
                }
                // The table may return a route that takes precedence over every route with an ambiguous condition.
                None => {
                    if let Ok(at) = got {
                        assert!(reference(&routes[at..=at], &request) == Some(Some(0)));
                    }
                    ambiguous += 1;
                }
            }
        }
    }
    assert!(
        found > 1000 && missed > 1000 && ambiguous > 100,
        "{found} found, {missed} missed, {ambiguous} ambiguous: too few of a kind"
    );
}

#[test]
fn analysis_reports_an_overlap_exactly_if_a_request_matches_both_routes_equally() {
    let mut rng = Rng::with_seed(seed());
    let mut overlaps = 0;
    for round in 0..150 {
        let mut pair = vec![route(&mut rng, 0), route(&mut rng, 1)];
        // Independent random routes rarely overlap, so most pairs share host and path.
        if round % 4 != 0 {
            pair[1].path = pair[0].path.clone();
            pair[1].hosts = pair[0].hosts.clone();
        }
        if round % 4 > 1 {
            pair[1].conditions.truncate(1);
            pair[0].conditions.truncate(1);
        }
        // These pairs overlap whatever the seed.
        if round % 4 == 3 {
            pair[1].methods = pair[0].methods.clone();
            pair.iter_mut().for_each(|route| route.conditions.clear());
        }
        let reported = analyze(&pair).iter().any(|f| matches!(f, Finding::Overlap(..)));
        let contradictory = analyze(&pair).iter().any(|f| matches!(f, Finding::Contradiction(..)));
        // Every request that these routes can distinguish.
        let mut overlap = false;
        let paths =
            ["/", "/checks", "/files", "/a", "/b", "/c", "/a/b", "/checks/a", "/c/c", "/a/b/checks/files/c"];
        let pattern_paths: Vec<String> =
            pair.iter().map(|r| r.path.to_string().replace("{p0}", "c")).collect();
        let pattern_paths: Vec<String> = pattern_paths
            .iter()
            .map(|d| d.replace("{p1}", "c").replace("{p2}", "c").replace("/**", "/c"))
            .collect();
        for path in paths.into_iter().chain(pattern_paths.iter().map(String::as_str)) {
            for host in REQUEST_HOSTS {
                for (h, i) in (0..16).map(|n| (n / 4, n % 4)) {
                    for (qh, qi) in (0..16).map(|n| (n / 4, n % 4)) {
                        let query =
                            |name: &str, n| if n == 0 { String::new() } else { format!("&{name}={n}") };
                        let text = format!("{path}?{}{}", query("h", qh), query("i", qi));
                        let target = Target::parse(&text, host).expect("a target");
                        let header = |name: &str| match if name == "h" { h } else { i } {
                            0 => FieldValue::Missing,
                            n => FieldValue::Single(n.to_string()),
                        };
                        for method in METHODS {
                            let request = Request { method, target: &target, header: &header };
                            let both = pair
                                .iter()
                                .all(|r| reference(std::slice::from_ref(r), &request) == Some(Some(0)));
                            overlap |= both && compare_precedence(&pair[0], &pair[1], request.host()).is_eq();
                        }
                    }
                }
            }
        }
        if overlap || !contradictory {
            assert_eq!(reported, overlap, "round {round}: {pair:#?}");
        }
        overlaps += u32::from(overlap);
    }
    assert!(overlaps > 30, "{overlaps}: too few overlapping pairs");
}
