//! Dangerous settings are errors unless they are asserted by name, and all errors are reported with their line.

use sloeline_config::load;
use sloeline_config::problem::Severity;

/// A valid configuration with the given keys of class `pull` and route `pulls`, followed by `more`.
fn config(class: &str, route: &str, more: &str) -> String {
    format!(
        r#"[listener.public]
address = "127.0.0.1:0"

[class.look]
effect = "safe"
aim = "1s"
deadline = "4s"
[class.pay]
effect = "unsafe"
aim = "1s"
deadline = "4s"
[class.pull]
{class}

[pool.loket]
nodes = [{{ address = "127.0.0.1:9001" }}]

[[route]]
name = "looks"
method = "GET"
prefix = "/"
class = "look"
pool = "loket"

[[route]]
name = "pays"
method = "POST"
path = "/checks/{{id}}"
class = "pay"
pool = "loket"

[[route]]
name = "pulls"
{route}
{more}"#
    )
}

/// Valid keys of a keyed class.
const CLASS: &str = "effect = \"keyed\"\ngroup = \"cell\"\nwindow = \"10s\"\naim = \"1s\"\ndeadline = \"4s\"";
/// Valid keys of a route for the keyed class.
const ROUTE: &str = r#"method = "PUT"
path = "/files/{id}"
class = "pull"
key = "header:Idempotency-Key"
pool = "loket""#;

/// Loads a configuration and returns its problems as text; none if it is valid.
fn problems(text: &str) -> Vec<String> {
    match load(text, 1024) {
        Ok((_, warnings)) => {
            assert!(warnings.iter().all(|w| w.severity == Severity::Warning));
            Vec::new()
        }
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

/// Asserts that a configuration has exactly the wanted problems, each given by a part of its text.
#[track_caller]
fn assert_problems(text: &str, wanted: &[&str]) {
    let problems = problems(text);
    assert_eq!(problems.len(), wanted.len(), "{problems:#?}");
    for (problem, wanted) in problems.iter().zip(wanted) {
        assert!(problem.contains(wanted), "{problem:?} does not contain {wanted:?}");
    }
}

/// Asserts that a configuration has one error, that the error names its assertion, and that `asserted` has none.
#[track_caller]
fn assert_assertable(text: &str, wanted: &str, asserted: &str) {
    assert_problems(text, &[wanted]);
    assert!(problems(text)[0].contains("assert = ["), "the error does not name its assertion");
    assert_problems(asserted, &[]);
}

#[test]
fn a_valid_configuration_has_no_problems() {
    assert_problems(&config(CLASS, ROUTE, ""), &[]);
}

#[test]
fn a_write_method_in_a_safe_class_needs_an_assertion() {
    let route = "method = [\"GET\", \"POST\"]\npath = \"/search\"\nclass = \"look\"\npool = \"loket\"\n";
    let asserted = format!("{route}assert = [\"write-method-is-safe\"]");
    let (text, asserted) = (config(CLASS, ROUTE, ""), (route, asserted));
    let with = |route: &str| text.clone() + "\n[[route]]\nname = \"search\"\n" + route;
    assert_assertable(&with(asserted.0), "POST in the class \"look\"", &with(&asserted.1));
    // A route without a method matches write methods too.
    let any = "path = \"/any\"\nclass = \"look\"\npool = \"loket\"\n";
    assert_problems(&with(any), &["all methods in the class \"look\""]);
}

#[test]
fn a_keyed_class_requires_group_window_and_key() {
    let aim = "effect = \"keyed\"\naim = \"1s\"\ndeadline = \"4s\"\n";
    assert_problems(
        &config(&format!("{aim}window = \"10s\""), ROUTE, ""),
        &["class.pull.group: found nothing"],
    );
    assert_problems(
        &config(&format!("{aim}group = \"all\""), ROUTE, ""),
        &["class.pull.window: found nothing"],
    );
    assert_problems(&config(aim, ROUTE, ""), &["class.pull.group", "class.pull.window"]);
    let zero = CLASS.replace("10s", "0s");
    assert_problems(&config(&zero, ROUTE, ""), &["class.pull.window: found 0"]);
    let keyless = ROUTE.replace("key = \"header:Idempotency-Key\"\n", "");
    assert_problems(&config(CLASS, &keyless, ""), &["no key for the keyed class \"pull\""]);
    let fixed = ROUTE.replace("header:Idempotency-Key", "=always");
    assert_problems(&config(CLASS, &fixed, ""), &["the same key \"always\" for all requests"]);
}

#[test]
fn overlapping_routes_without_precedence_need_an_assertion() {
    let route = "method = [\"POST\", \"PUT\"]\npath = \"/files/{name}\"\nclass = \"pay\"\npool = \"loket\"\n";
    let assert = "assert = [\"overlap\"]\n";
    let with = |first: &str, second: &str| {
        config(CLASS, &format!("{ROUTE}\n{first}"), &format!("[[route]]\nname = \"more\"\n{route}{second}"))
    };
    assert_assertable(&with("", ""), "requests that fit \"pulls\" (line 36) as well", &with(assert, assert));
    // The assertion is needed on both routes.
    assert_problems(&with(assert, ""), &["requests that fit \"pulls\""]);
}

#[test]
fn an_unreachable_route_needs_an_assertion() {
    let contradictory = format!("{ROUTE}\nheader = {{ \"X-A\" = \"1\", \"x-a\" = false }}\n");
    let asserted = format!("{contradictory}assert = [\"unreachable\"]");
    assert_assertable(
        &config(CLASS, &contradictory, ""),
        "header x-a = \"1\" together with header x-a absent",
        &config(CLASS, &asserted, ""),
    );
    let route = |name: &str, present: bool| {
        format!(
            "[[route]]\nname = \"{name}\"\nmethod = \"PUT\"\npath = \"/files/{{x}}\"\nclass = \"pay\"\npool = \"loket\"\nheader = {{ \"X-A\" = {present} }}\n"
        )
    };
    let both = route("with", true) + &route("without", false);
    let asserted = format!("{ROUTE}\nassert = \"unreachable\"");
    assert_assertable(
        &config(CLASS, ROUTE, &both),
        "all its requests go to",
        &config(CLASS, &asserted, &both),
    );
    let ready = ROUTE.replace("/files/{id}", "/health/ready");
    assert_problems(&config(CLASS, &ready, ""), &["/health/ready, which listener \"public\" answers itself"]);
}

#[test]
fn a_deadline_below_the_latency_target_needs_an_assertion() {
    let class = CLASS.replace("4s", "900ms");
    assert_assertable(
        &config(&class, ROUTE, ""),
        "class.pull.deadline: found 900ms, expected at least the aim, 1000ms",
        &config(&format!("{class}\nassert = [\"deadline-under-aim\"]"), ROUTE, ""),
    );
    let route = format!("{ROUTE}\ndeadline = \"500ms\"\n");
    assert_assertable(
        &config(CLASS, &route, ""),
        "deadline: found 500ms",
        &config(CLASS, &format!("{route}assert = [\"deadline-under-aim\"]"), ""),
    );
}

#[test]
fn split_weights_that_do_not_sum_to_100_need_an_assertion() {
    let pool = "[pool.other]\nregistry = \"127.0.0.1:8500\"\n";
    let split = |a: u32, b: u32| {
        ROUTE.replace(
            "pool = \"loket\"",
            &format!("split = [{{ pool = \"loket\", weight = {a} }}, {{ pool = \"other\", weight = {b} }}]"),
        )
    };
    assert_problems(&config(CLASS, &split(90, 10), pool), &[]);
    assert_assertable(
        &config(CLASS, &split(90, 5), pool),
        "weights that add up to 95",
        &config(CLASS, &format!("{}\nassert = [\"split-sum\"]", split(90, 5)), pool),
    );
    assert_problems(&config(CLASS, &split(0, 0), pool), &["weights that are all 0"]);
}

#[test]
fn all_errors_are_reported_with_line_key_found_and_expected() {
    let text = r#"[instance]
number = 3
colour = "red"
[listener.public]
address = "localhost:80"
[class.pay]
efect = "unsafe"
aim = 5
deadline = "4s"
[pool.loket]
attempts = 9
[[route]]
name = "a"
path = "/a/%2e%2e/{x"
class = "play"
pool = "lokett"
[[route]]
name = "b"
method = "post"
prefix = "/b"
key = "cookie:x"
class = "pay"
pool = "loket"
assert = ["trust-me"]
"#;
    let all = problems(text);
    for wanted in [
        "2: error: instance.number: found 3, expected less than instance.count, 1",
        "3: error: instance.colour: found an unknown key, expected one of",
        "5: error: listener.public.address: found \"localhost:80\", expected an address with a port",
        "7: error: class.pay.efect: found an unknown key, expected \"effect\"",
        "class.pay.effect: found nothing, expected \"safe\", \"keyed\" or \"unsafe\"",
        "10: error: pool.loket.nodes: found 0 sources of upstreams",
        "11: error: pool.loket.attempts: found 9, expected 1 to 4",
        "14: error: route[1].path: found \"/a/%2e%2e/{x\"",
        "15: error: route[1].class: found \"play\", expected the name of a class: pay",
        "16: error: route[1].pool: found \"lokett\", expected the name of a pool: loket",
        "19: error: route[2].method: found \"post\", expected a method in capitals",
        "21: error: route[2].key: found \"cookie:x\"",
        "24: error: route[2].assert: found \"trust-me\"",
    ] {
        assert!(all.iter().any(|p| p.contains(wanted)), "no {wanted:?} in {all:#?}");
    }
}

#[test]
fn syntax_errors_are_reported_with_their_line() {
    assert_problems("[listener.public]\naddress = \n", &["2: error"]);
    assert_problems("", &["listener", "pool", "class"].map(|_| "found nothing"));
}

#[test]
fn limits_must_suffice_for_the_configuration() {
    let too_few = "[limits]\ndescriptors = 42\n".to_owned() + &config(CLASS, ROUTE, "");
    assert_problems(&too_few, &["limits: found"]);
    let too_many = "[limits]\ndescriptors = 9999\n".to_owned() + &config(CLASS, ROUTE, "");
    assert_problems(&too_many, &["limits.descriptors: found 9999, expected at most 1024"]);
    let body = format!("{ROUTE}\nbody_limit = \"1GiB\"");
    assert_problems(&config(CLASS, &body, ""), &["body_limit: found"]);
}

#[test]
fn randomly_damaged_configurations_do_not_panic() {
    let seed =
        std::env::var("SLOELINE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let good = config(CLASS, ROUTE, "");
    let fragments = [
        "\"",
        "[",
        "]",
        "{",
        "}",
        "=",
        "\n",
        "-1",
        "nan",
        "0",
        "'''",
        "%",
        "/",
        "\u{e9}",
        "[[route]]\n",
        ".",
        "#",
    ];
    let mut refused = 0;
    for _ in 0..3000 {
        let mut text: Vec<char> = good.chars().collect();
        for _ in 0..rng.usize(1..4) {
            let at = rng.usize(0..text.len());
            match rng.usize(0..3) {
                0 => drop(text.drain(at..(at + rng.usize(1..30)).min(text.len()))),
                1 => {
                    drop(text.splice(at..at, rng.choice(fragments).unwrap_or("").chars().collect::<Vec<_>>()))
                }
                _ => text.swap(at, 0),
            }
        }
        let text: String = text.into_iter().collect();
        refused += usize::from(load(&text, 1024).is_err());
    }
    assert!(refused > 1000, "{refused}");
}

#[test]
fn invalid_membership_sources_are_reported() {
    let with =
        |pool: &str| config(CLASS, ROUTE, "").replace("nodes = [{ address = \"127.0.0.1:9001\" }]", pool);
    let etcd = "etcd = [\"127.0.0.1:2379\"]";
    let good = format!(
        "source = [{{ {etcd}, prefix = \"/a/\", check = \"1s\" }}, {{ name = \"b\", {etcd}, prefix = \"/b/\" }}, \
         {{ consul = [\"127.0.0.1:1\"], service = \"s\" }}, {{ dns = \"a.b\", port = 80 }}, {{ srv = \"_a._tcp.b\" }}, \
         {{ xds = [\"127.0.0.1:1\"], cluster = \"c\", delta = true }}, {{ file = \"f\" }}, {{ registry = \"127.0.0.1:1\" }}]\ndoubt = {{ most_lost = 0.3, accept = true }}"
    );
    assert_eq!(problems(&with(&good)), [""; 0]);
    let cases = [
        ("nodes_file = \"a\"\nsource = [{ file = \"b\" }]".to_owned(), "found 2 sources of upstreams"),
        (
            "nodes_file = \"a\"\ndoubt = {}".to_owned(),
            "found doubt without a source, expected at least one source",
        ),
        ("source = [{}]".to_owned(), "found 0 kinds of source, expected exactly one of etcd, consul"),
        ("source = [{ file = \"a\", srv = \"b\" }]".to_owned(), "found 2 kinds of source"),
        (format!("source = [{{ {etcd} }}]"), "prefix: found nothing"),
        (format!("source = [{{ {etcd}, prefix = \"/a\" }}]"), "that ends with a slash"),
        (
            "source = [{ etcd = [], prefix = \"/a/\" }]".to_owned(),
            "found an empty list, expected at least one address",
        ),
        (
            format!("source = [{{ {etcd}, prefix = \"/a/\", service = \"s\" }}]"),
            "service: found an unknown key",
        ),
        ("source = [{ consul = [\"127.0.0.1:1\"] }]".to_owned(), "service: found nothing"),
        ("source = [{ xds = [\"127.0.0.1:1\"] }]".to_owned(), "cluster: found nothing"),
        ("source = [{ dns = \"a\" }]".to_owned(), "port: found nothing"),
        ("source = [{ dns = \"a..b\", port = 1 }]".to_owned(), "a name of the DNS"),
        ("source = [{ srv = \"a\", port = 1 }]".to_owned(), "no port: SRV records contain it"),
        ("source = [{ file = \"a\" }, { file = \"b\" }]".to_owned(), "found \"file\" twice"),
        ("source = [{ srv = \"a\", fleet_calls = 0 }]".to_owned(), "1 or more calls a second"),
        ("source = [{ file = \"a\" }]\ndoubt = { most_lost = 2 }".to_owned(), "a share, from 0 to 1"),
    ];
    for (pool, expected) in cases {
        let found = problems(&with(&pool));
        assert!(found.iter().any(|p| p.contains(expected)), "{pool}: {found:#?}");
    }
    let announce = |more: &str| problems(&(config(CLASS, ROUTE, "") + "\n[announce]\n" + more));
    let whole = format!("{etcd}\nprefix = \"/f/\"\naddress = \"10.0.0.1:80\"");
    assert_eq!(announce(&whole), [""; 0]);
    assert!(announce(etcd).iter().any(|p| p.contains("announce.address: found nothing")));
    assert!(announce(&(whole + "\nlease = \"1s\"")).iter().any(|p| p.contains("expected 2 s to 1 h")));
}

#[test]
fn control_requires_a_socket_or_an_address_with_keys() {
    let with = |control: &str| config(CLASS, ROUTE, &format!("[control]\n{control}"));
    let key = "[control.key.night]\nfile = \"night.key\"\n";
    assert_problems(&with("socket = \"control\"\norders = \"orders\""), &[]);
    assert_problems(&with(&format!("address = \"127.0.0.1:0\"\n{key}may = \"order\"")), &[]);
    let neither = "control.socket: found nothing, expected the path of the operators' socket, or an address";
    assert_problems(&with(""), &[neither]);
    assert_problems(&with("socket = \"a\"\nmode = 7"), &["control.mode: found an unknown key"]);
    assert_problems(
        &with("address = \"127.0.0.1:0\""),
        &["control.address: found no key, expected at least one [control.key.NAME]"],
    );
    assert_problems(
        &with(&format!("address = \"127.0.0.1:0\"\n{key}may = \"all\"")),
        &["control.key.night.may: found \"all\", expected \"ask\" or \"order\""],
    );
    assert_problems(
        &with("address = \"127.0.0.1:0\"\n[control.key.night]"),
        &["control.address: found no key", "control.key.night.file: found nothing"],
    );
}

#[test]
fn background_work_has_a_valid_cpu_share_and_slice() {
    let with = |work: &str| config(CLASS, ROUTE, &format!("[work]\n{work}"));
    assert_problems(&with("processor = 0.5\nslice = \"5ms\""), &[]);
    for (work, wanted) in [
        ("processor = 0", "found 0, expected a share of a core, more than 0 and up to 1"),
        ("processor = 1.5", "found 1.5, expected a share of a core"),
        ("slice = \"0ms\"", "work.slice"),
        ("slices = \"1ms\"", "found an unknown key, expected \"slice\""),
    ] {
        assert_problems(&with(work), &[wanted]);
    }
}

#[test]
fn a_fleet_rate_requires_a_fleet_and_a_share_for_each_instance() {
    let fleet =
        "[fleet]\naddress = \"127.0.0.1:0\"\nmost = 40\nkey_used = \"k\"\n[fleet.key.k]\nfile = \"k\"\n";
    let with = |rate: u32, fleet: &str| {
        config(CLASS, ROUTE, fleet).replacen("[pool.loket]", &format!("[pool.loket]\nfleet_rate = {rate}"), 1)
    };
    assert!(with(80, fleet).contains("fleet_rate"));
    assert_problems(&with(80, fleet), &[]);
    assert_problems(
        &with(79, fleet),
        &["pool.loket.fleet_rate: found 79, expected at least 80, twice fleet.most"],
    );
    assert_problems(
        &with(80, ""),
        &["pool.loket.fleet_rate: found no fleet, expected a [fleet] that shares it"],
    );
    assert_problems(
        &config(CLASS, ROUTE, &fleet.replace("\"k\"\n[", "\"x\"\n[")),
        &["fleet.key_used: found \"x\", expected the name of a [fleet.key.NAME], one of k"],
    );
    assert_problems(
        &config(CLASS, ROUTE, &fleet.replace("40", "0")),
        &["fleet.most: found 0, expected 1 to 4096"],
    );
}
