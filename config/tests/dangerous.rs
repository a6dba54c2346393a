//! What a configuration must not say without being told so, and how it is told.

use sloeline_config::load;
use sloeline_config::problem::Severity;

/// A good configuration whose parts can be exchanged.
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

const CLASS: &str = "effect = \"keyed\"\ngroup = \"cell\"\nwindow = \"10s\"\naim = \"1s\"\ndeadline = \"4s\"";
const ROUTE: &str = r#"method = "PUT"
path = "/files/{id}"
class = "pull"
key = "header:Idempotency-Key"
pool = "loket""#;

fn problems(text: &str) -> Vec<String> {
    match load(text, 1024) {
        Ok((_, warnings)) => {
            assert!(warnings.iter().all(|w| w.severity == Severity::Warning));
            Vec::new()
        }
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

#[track_caller]
fn found(text: &str, wanted: &[&str]) {
    let problems = problems(text);
    assert_eq!(problems.len(), wanted.len(), "{problems:#?}");
    for (problem, wanted) in problems.iter().zip(wanted) {
        assert!(problem.contains(wanted), "{problem:?} does not hold {wanted:?}");
    }
}

/// It is an error, and none once it is asserted by name.
#[track_caller]
fn dangerous(text: &str, wanted: &str, asserted: &str) {
    found(text, &[wanted]);
    assert!(problems(text)[0].contains("assert = ["), "no word on how to assert it");
    found(asserted, &[]);
}

#[test]
fn the_good_one_is_good() {
    found(&config(CLASS, ROUTE, ""), &[]);
}

#[test]
fn a_post_that_is_safe_must_be_asserted() {
    let route = "method = [\"GET\", \"POST\"]\npath = \"/search\"\nclass = \"look\"\npool = \"loket\"\n";
    let asserted = format!("{route}assert = [\"write-method-is-safe\"]");
    let (text, asserted) = (config(CLASS, ROUTE, ""), (route, asserted));
    let with = |route: &str| text.clone() + "\n[[route]]\nname = \"search\"\n" + route;
    dangerous(&with(asserted.0), "POST in the class \"look\"", &with(&asserted.1));
    // All methods are more than the safe ones.
    let any = "path = \"/any\"\nclass = \"look\"\npool = \"loket\"\n";
    found(&with(any), &["all methods in the class \"look\""]);
}

#[test]
fn a_keyed_class_needs_group_window_and_key() {
    let aim = "effect = \"keyed\"\naim = \"1s\"\ndeadline = \"4s\"\n";
    found(&config(&format!("{aim}window = \"10s\""), ROUTE, ""), &["class.pull.group: found nothing"]);
    found(&config(&format!("{aim}group = \"all\""), ROUTE, ""), &["class.pull.window: found nothing"]);
    found(&config(aim, ROUTE, ""), &["class.pull.group", "class.pull.window"]);
    let zero = CLASS.replace("10s", "0s");
    found(&config(&zero, ROUTE, ""), &["class.pull.window: found 0"]);
    let keyless = ROUTE.replace("key = \"header:Idempotency-Key\"\n", "");
    found(&config(CLASS, &keyless, ""), &["no key for the keyed class \"pull\""]);
    let fixed = ROUTE.replace("header:Idempotency-Key", "=always");
    found(&config(CLASS, &fixed, ""), &["the same key \"always\" for all requests"]);
}

#[test]
fn routes_of_equal_rank_must_not_overlap() {
    let route = "method = [\"POST\", \"PUT\"]\npath = \"/files/{name}\"\nclass = \"pay\"\npool = \"loket\"\n";
    let assert = "assert = [\"overlap\"]\n";
    let with = |first: &str, second: &str| {
        config(CLASS, &format!("{ROUTE}\n{first}"), &format!("[[route]]\nname = \"more\"\n{route}{second}"))
    };
    dangerous(&with("", ""), "requests that fit \"pulls\" (line 36) as well", &with(assert, assert));
    // One of the two alone does not know of the other.
    found(&with(assert, ""), &["requests that fit \"pulls\""]);
}

#[test]
fn a_route_that_no_request_reaches_must_be_asserted() {
    let torn = format!("{ROUTE}\nheader = {{ \"X-A\" = \"1\", \"x-a\" = false }}\n");
    let asserted = format!("{torn}assert = [\"unreachable\"]");
    dangerous(
        &config(CLASS, &torn, ""),
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
    dangerous(&config(CLASS, ROUTE, &both), "all its requests go to", &config(CLASS, &asserted, &both));
    let ready = ROUTE.replace("/files/{id}", "/health/ready");
    found(&config(CLASS, &ready, ""), &["/health/ready, which listener \"public\" answers itself"]);
}

#[test]
fn a_deadline_under_the_aim_must_be_asserted() {
    let class = CLASS.replace("4s", "900ms");
    dangerous(
        &config(&class, ROUTE, ""),
        "class.pull.deadline: found 900ms, expected at least the aim, 1000ms",
        &config(&format!("{class}\nassert = [\"deadline-under-aim\"]"), ROUTE, ""),
    );
    let route = format!("{ROUTE}\ndeadline = \"500ms\"\n");
    dangerous(
        &config(CLASS, &route, ""),
        "deadline: found 500ms",
        &config(CLASS, &format!("{route}assert = [\"deadline-under-aim\"]"), ""),
    );
}

#[test]
fn a_split_must_add_up() {
    let pool = "[pool.other]\nregistry = \"127.0.0.1:8500\"\n";
    let split = |a: u32, b: u32| {
        ROUTE.replace(
            "pool = \"loket\"",
            &format!("split = [{{ pool = \"loket\", weight = {a} }}, {{ pool = \"other\", weight = {b} }}]"),
        )
    };
    found(&config(CLASS, &split(90, 10), pool), &[]);
    dangerous(
        &config(CLASS, &split(90, 5), pool),
        "weights that add up to 95",
        &config(CLASS, &format!("{}\nassert = [\"split-sum\"]", split(90, 5)), pool),
    );
    found(&config(CLASS, &split(0, 0), pool), &["weights that are all 0"]);
}

#[test]
fn all_errors_come_at_once_with_line_key_found_and_expected() {
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
fn what_is_no_toml_is_said_with_its_line() {
    found("[listener.public]\naddress = \n", &["2: error"]);
    found("", &["listener", "pool", "class"].map(|_| "found nothing"));
}

#[test]
fn limits_must_do_for_what_is_configured() {
    let little = "[limits]\ndescriptors = 42\n".to_owned() + &config(CLASS, ROUTE, "");
    found(&little, &["limits: found"]);
    let more = "[limits]\ndescriptors = 9999\n".to_owned() + &config(CLASS, ROUTE, "");
    found(&more, &["limits.descriptors: found 9999, expected at most 1024"]);
    let body = format!("{ROUTE}\nbody_limit = \"1GiB\"");
    found(&config(CLASS, &body, ""), &["body_limit: found"]);
}

#[test]
fn nothing_that_is_read_makes_it_fall_over() {
    let seed =
        std::env::var("SLOELINE_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("seed {seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    let good = config(CLASS, ROUTE, "");
    let bits = [
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
                1 => drop(text.splice(at..at, rng.choice(bits).unwrap_or("").chars().collect::<Vec<_>>())),
                _ => text.swap(at, 0),
            }
        }
        let text: String = text.into_iter().collect();
        refused += usize::from(load(&text, 1024).is_err());
    }
    assert!(refused > 1000, "{refused}");
}

#[test]
fn sources_are_checked_key_by_key() {
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
        ("nodes_file = \"a\"\ndoubt = {}".to_owned(), "rules of doubt for lists that are not weighed"),
        ("source = [{}]".to_owned(), "found 0 of them, expected exactly one of etcd, consul"),
        ("source = [{ file = \"a\", srv = \"b\" }]".to_owned(), "found 2 of them"),
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
        ("source = [{ srv = \"a\", port = 1 }]".to_owned(), "none: SRV records tell it"),
        ("source = [{ file = \"a\" }, { file = \"b\" }]".to_owned(), "found \"file\" twice"),
        ("source = [{ srv = \"a\", fleet_calls = 0 }]".to_owned(), "1 or more calls a second"),
        ("source = [{ file = \"a\" }]\ndoubt = { most_lost = 2 }".to_owned(), "a part, from 0 to 1"),
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
fn the_control_socket_needs_its_path() {
    let with = |control: &str| config(CLASS, ROUTE, &format!("[control]\n{control}"));
    let key = "[control.key.night]\nfile = \"night.key\"\n";
    found(&with("socket = \"control\"\norders = \"orders\""), &[]);
    found(&with(&format!("address = \"127.0.0.1:0\"\n{key}may = \"order\"")), &[]);
    let neither = "control.socket: found nothing, expected the path of the operators' socket, or an address";
    found(&with(""), &[neither]);
    found(&with("socket = \"a\"\nmode = 7"), &["control.mode: found an unknown key"]);
    found(
        &with("address = \"127.0.0.1:0\""),
        &["control.address: found no key, expected at least one [control.key.NAME]"],
    );
    found(
        &with(&format!("address = \"127.0.0.1:0\"\n{key}may = \"all\"")),
        &["control.key.night.may: found \"all\", expected \"ask\" or \"order\""],
    );
    found(
        &with("address = \"127.0.0.1:0\"\n[control.key.night]"),
        &["control.address: found no key", "control.key.night.file: found nothing"],
    );
}

#[test]
fn background_work_has_a_part_of_a_core_and_slices() {
    let with = |work: &str| config(CLASS, ROUTE, &format!("[work]\n{work}"));
    found(&with("processor = 0.5\nslice = \"5ms\""), &[]);
    for (work, wanted) in [
        ("processor = 0", "found 0, expected a part of a core, more than 0 and up to 1"),
        ("processor = 1.5", "found 1.5, expected a part of a core"),
        ("slice = \"0ms\"", "work.slice"),
        ("slices = \"1ms\"", "found an unknown key, expected \"slice\""),
    ] {
        found(&with(work), &[wanted]);
    }
}

#[test]
fn a_limit_for_all_needs_a_fleet_and_something_for_each() {
    let fleet =
        "[fleet]\naddress = \"127.0.0.1:0\"\nmost = 40\nkey_used = \"k\"\n[fleet.key.k]\nfile = \"k\"\n";
    let with = |rate: u32, fleet: &str| {
        config(CLASS, ROUTE, fleet).replacen("[pool.loket]", &format!("[pool.loket]\nfleet_rate = {rate}"), 1)
    };
    assert!(with(80, fleet).contains("fleet_rate"));
    found(&with(80, fleet), &[]);
    found(&with(79, fleet), &["pool.loket.fleet_rate: found 79, expected at least 80, twice fleet.most"]);
    found(&with(80, ""), &["pool.loket.fleet_rate: found no fleet, expected a [fleet] that shares it"]);
    found(
        &config(CLASS, ROUTE, &fleet.replace("\"k\"\n[", "\"x\"\n[")),
        &["fleet.key_used: found \"x\", expected the name of a [fleet.key.NAME], one of k"],
    );
    found(&config(CLASS, ROUTE, &fleet.replace("40", "0")), &["fleet.most: found 0, expected 1 to 4096"]);
}
