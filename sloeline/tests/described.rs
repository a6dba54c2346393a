//! Routes from descriptions: what they say before any request runs, and what behaviour makes of it afterwards.

mod rig;

use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

use hyper::StatusCode;
use rig::*;
use sloeline::daemon::Daemon;
use sloeline::describe::describe;
use sloeline_config::descriptions::DescriptionLoader;
use sloeline_config::model::Config;
use sloeline_descriptions::check::{Promises, check};
use sloeline_descriptions::effect::Effect;
use sloeline_descriptions::refs::{Documents, Files};
use sloeline_standin::client::{Client, Wording};
use sloeline_standin::node::{Does, Node};
use sloeline_standin::record::{Kind, Record, Told};
use tokio::task::spawn_local;

#[derive(Clone, Default)]
struct Memory(HashMap<String, String>);

impl Files for Memory {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or_else(|| format!("{path}: no such file"))
    }
}

impl DescriptionLoader for Memory {
    fn open(&self, path: &str) -> Result<(Box<dyn Files>, String), String> {
        Ok((Box::new(self.clone()), path.to_owned()))
    }
}

/// The configuration, or its problems, with the description `api.yaml`.
fn read(text: &str, api: &str) -> Result<Config, Vec<String>> {
    let files = Memory(HashMap::from([("api.yaml".to_owned(), api.to_owned())]));
    match sloeline_config::load_with(text, 512, &files) {
        Ok((config, _)) => Ok(config),
        Err(problems) => Err(problems.iter().map(ToString::to_string).collect()),
    }
}

fn good(text: &str, api: &str) -> Config {
    read(text, api).unwrap_or_else(|problems| panic!("{problems:#?}\n{api}"))
}

/// The section of a description that leads to the pool `p`.
fn section(more: &str) -> String {
    format!(
        "[description.api]\nfile = \"api.yaml\"\npool = \"p\"\nsafe = \"look\"\nkeyed = \"pull\"\nunsafe = \"pay\"\n{more}\n"
    )
}

/// A description with these paths.
fn api(paths: &str) -> String {
    format!("openapi: 3.1.0\ninfo: {{title: t, version: '1'}}\npaths:\n{paths}")
}

const ANY: &str = "responses: {default: {}}";
const ID: &str = "{name: id, in: path, required: true}";
const KEY: &str = "{name: Idempotency-Key, in: header, required: true}";

/// Files that are looked at and written under a key, and checks that are paid for.
fn files() -> String {
    api(&format!(
        "  /files/{{id}}:
    get: {{parameters: [{ID}], {ANY}}}
    put: {{parameters: [{ID}, {KEY}], x-sloeline-window: 5s, requestBody: {{}}, {ANY}}}
  /checks:
    post: {{requestBody: {{}}, {ANY}}}
"
    ))
}

fn post(path: &str, kind: Kind) -> Wording {
    Wording { kind, ..pay(path) }
}

async fn begin(text: &str, api: &str) -> Daemon {
    Daemon::start(good(text, api), Path::new(""), 7).await.expect("it starts")
}

/// Asks in a task of its own.
fn ask(
    daemon: &Daemon,
    record: &Record,
    wording: Wording,
) -> tokio::task::JoinHandle<(Told, Option<StatusCode>)> {
    let (to, record) = (public(daemon), record.clone());
    spawn_local(async move { Client::new(to, &record).ask(&wording).await })
}

#[test]
fn operations_are_routes_with_the_effects_that_are_described() {
    with(async |record| {
        let nodes = [Node::start("n", "g", &record), Node::start("m", "g", &record)];
        let text = HEAD.to_owned() + &pool("p", &[&nodes[0], &nodes[1]]) + &section("");
        let daemon = begin(&text, &files()).await;
        let mut client = Client::new(public(&daemon), &record);
        let mut ask = async |wording: &Wording| client.ask(wording).await;
        assert_eq!(ask(&look("/files/7")).await.0, Told::Served);
        assert_eq!(ask(&pull("/files/7")).await.0, Told::Served);
        assert_eq!(ask(&pay("/checks")).await.0, Told::Served);
        assert_eq!(ask(&look("/checks")).await.1, Some(StatusCode::METHOD_NOT_ALLOWED));
        assert_eq!(ask(&look("/files/7/more")).await.1, Some(StatusCode::NOT_FOUND));
        assert_eq!(ask(&look("/files/7/")).await.0, Told::Served);
        // Two servers may take it for different operations.
        assert_eq!(ask(&look("/files/7%2Fmore")).await.1, Some(StatusCode::BAD_REQUEST));
        assert_eq!(ask(&post("/files/7", Kind::Unsafe)).await.1, Some(StatusCode::METHOD_NOT_ALLOWED));
        let keyless = Wording { kind: Kind::Unsafe, ..pull("/files/7") };
        assert_eq!(ask(&keyless).await.1, Some(StatusCode::BAD_REQUEST));
        assert!(
            daemon.standing().1.iter().any(|line| line.contains("3 requests were of none")),
            "{:?}",
            daemon.standing()
        );
        // What breaks off goes out again where that is described as harmless, and nowhere else.
        nodes.iter().for_each(|node| node.now(Does::Break));
        let sends = || record.sends("n") + record.sends("m");
        for (wording, again) in [(look("/files/7"), true), (pull("/files/7"), true), (pay("/checks"), false)]
        {
            let before = sends();
            let told = ask(&wording).await.0;
            // Whoever may repeat at will may be told to.
            assert!(
                told == Told::Failed || wording.kind != Kind::Unsafe && told == Told::Refused,
                "{told:?}"
            );
            assert_eq!(sends() - before > 1, again, "{wording:?}");
        }
        daemon.stop().await;
    });
}

#[test]
fn wrong_descriptions_are_told_before_any_request_runs() {
    let get = |more: &str| api(&format!("  /a:\n    get: {{{more}}}"));
    let route = |more: &str| route("by-hand", &format!("{more}\npool = \"p\""));
    let hand = section("by_hand = true");
    let whole = route("prefix = \"/\"\nclass = \"pay\"");
    // What follows the classes and the pool, the description, and what is said.
    let rows: &[(String, String, &str)] = &[
        (section(""), "openapi: [".to_owned(), "api.yaml:2: D001"),
        (section(""), get(&format!("operationId: payNow, {ANY}")), "api.yaml:5: D012"),
        (section(""), get(&format!("x-sloeline-time: 5s, {ANY}")), "D016"),
        (section("deadline = \"3s\""), get(&format!("x-sloeline-time: 3500ms, {ANY}")), "D016"),
        (section("").replace("api.yaml", "other.yaml"), get(ANY), "other.yaml: no such file"),
        (section("").replace("safe = \"look\"\n", ""), files(), "found api.yaml:5: no class for operations that are safe"),
        (section("").replace("safe = \"look\"", "safe = \"pay\""), files(), "the class \"pay\", which is not safe"),
        (section("").replace("unsafe = \"pay\"\n", ""), files(), "description.api.unsafe"),
        (section("").replace("\"pay\"", "\"play\""), files(), "the name of a class"),
        (section(""), api(&format!("  /a:\n    put: {{parameters: [{KEY}], x-sloeline-window: 11s, {ANY}}}")), "D015"),
        (section(""), api(&format!("  /a/%zz:\n    get: {{{ANY}}}")), "expected a path that a route can have"),
        (section(""), api(&format!("  /a:\n    get: {{{ANY}}}\n  /a/:\n    get: {{{ANY}}}")), "neither goes first"),
        (
            section("") + &section("").replace(".api]", ".other]"),
            files(),
            "requests that fit \"api GET /files/{id}\"",
        ),
        (section("") + &route("path = \"/checks\"\nmethod = \"POST\"\nclass = \"pay\""), files(), "neither goes first"),
        (hand.clone() + &route("path = \"/checks\"\nclass = \"pay\""), files(), "D050: api.yaml:5: GET /files/{id}"),
        (
            hand.clone() + &route("prefix = \"/\"\nclass = \"look\"\nassert = \"write-method-is-safe\""),
            files(),
            "D052: a class that may be repeated at will, \"look\", for api.yaml:8: POST /checks",
        ),
        (
            hand.clone() + &whole + &route("path = \"/files/{x}\"\nmethod = \"PUT\"\nclass = \"pull\"\nkey = \"path:x\"").replace("by-hand", "put"),
            files(),
            "D052: a key that stands elsewhere",
        ),
        (
            hand.clone() + &whole + &route("path = \"/files/{x}\"\nmethod = \"PUT\"\nclass = \"pull\"\nkey = \"header:Idempotency-Key\"").replace("by-hand", "put"),
            files(),
            "D052: a window of 10000 ms, longer than described",
        ),
    ];
    for (text, api, told) in rows {
        let text = format!("{HEAD}[pool.p]\nnodes = [{{ name = \"n\", address = \"127.0.0.1:9\" }}]\n{text}");
        let problems = read(&text, api).expect_err(told);
        assert!(
            problems.iter().any(|p| p.contains(told)),
            "expected {told:?}, found {problems:#?}\n{text}\n{api}"
        );
    }
    // And what is right by hand, or wrong only where it does not matter.
    let text =
        format!("{HEAD}[pool.p]\nnodes = [{{ name = \"n\", address = \"127.0.0.1:9\" }}]\n{hand}{whole}");
    let stray = route("path = \"/stray\"\nclass = \"pay\"").replace("by-hand", "stray");
    let files = Memory(HashMap::from([("api.yaml".to_owned(), files())]));
    let (config, warnings) = sloeline_config::load_with(&(text + &stray), 512, &files).expect("no errors");
    assert_eq!(config.routes.len(), 2);
    assert!(warnings.iter().any(|w| w.to_string().contains("route \"stray\": found D051")), "{warnings:?}");
}

#[test]
fn a_safe_operation_that_makes_things_is_narrowed_by_its_first_such_answer() {
    with(async |record| {
        let nodes: Vec<Node> = (0..4).map(|n| Node::start(&format!("n{n}"), "g", &record)).collect();
        let text = HEAD.to_owned() + &pool("p", &nodes.iter().collect::<Vec<_>>()) + &section("");
        let mut daemon = begin(&text, &files()).await;
        let sends = || (0..4).map(|n| record.sends(&format!("n{n}"))).sum::<u64>();
        // Eight are out and may have run when one is answered 201.
        nodes.iter().for_each(|node| node.now(Does::Hang));
        // As the record has it, each of them makes something.
        let made = |n: usize| Wording { kind: Kind::Unsafe, ..look(&format!("/files/{n}")) };
        let mut open: Vec<_> = (0..8).map(|n| ask(&daemon, &record, made(n))).collect();
        while sends() < 8 {
            tokio::task::yield_now().await;
        }
        // What hangs there is broken off and goes out again; the others hang on.
        nodes[0].now(Does::Make);
        while !daemon.standing().1.iter().any(|line| line.contains("narrowed to unsafe")) {
            open.push(ask(&daemon, &record, made(open.len())));
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let (before, asked) = (record.account(), open.len());
        // Those that were answered before then had what is right for a safe request.
        let open: Vec<_> = open.into_iter().filter(|asked| !asked.is_finished()).collect();
        assert!(open.len() >= 3, "{} are still open", open.len());
        nodes.iter().for_each(|node| node.now(Does::Break));
        for asked in open {
            assert_eq!(asked.await.expect("a client").0, Told::Failed);
        }
        // What had been sent once was not sent again after that, and what had run was not refused.
        let after = record.account();
        println!(
            "of {asked} requests {} had run twice when it was narrowed, {} in the end",
            before.run_twice, after.run_twice
        );
        assert_eq!((after.run_twice, after.refused_but_ran), (before.run_twice, before.refused_but_ran));
        let mut client = Client::new(public(&daemon), &record);
        // And what comes now is sent once, whatever becomes of it; by another description that says the same, too.
        let same = files().replace("title: t", "title: u");
        for text_of_api in [files(), same] {
            daemon.reload(good(&text, &text_of_api)).await.expect("a good configuration");
            let before = sends();
            assert_eq!(client.ask(&look("/files/7")).await.0, Told::Failed);
            assert_eq!(sends(), before + 1);
        }
        // The other operations are as they were.
        let before = sends();
        assert_ne!(client.ask(&pull("/files/7")).await.0, Told::Served);
        assert!(sends() > before + 1);
        // One that is said to be keyed after all is another operation, of which nothing is known.
        let changed = files().replace(
            "get: {parameters: [",
            &format!("get: {{x-sloeline-window: 3s, x-sloeline-effect: keyed, parameters: [{KEY}, "),
        );
        daemon.reload(good(&text, &changed)).await.expect("a good configuration");
        let before = sends();
        let keyed = Wording { kind: Kind::Keyed, ..look("/files/7") };
        assert_ne!(client.ask(&keyed).await.0, Told::Served);
        assert!(sends() > before + 1);
        daemon.stop().await;
    });
}

#[test]
fn a_keyed_operation_whose_repeats_make_other_things_is_narrowed() {
    with(async |record| {
        let node = Node::start("n", "g", &record);
        let text = HEAD.to_owned() + &pool("p", &[&node]) + &section("");
        let daemon = begin(&text, &files()).await;
        let narrowed = || daemon.standing().1.iter().any(|line| line.contains("B011 1 times, narrowed"));
        node.now(Does::Make);
        let keyed = |key: &str| {
            // As the caller repeats it: another request under the same key.
            format!("PUT /files/7 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: {key}\r\nContent-Length: 0\r\n\r\n")
        };
        for key in ["a", "b", "c"] {
            assert_eq!(raw(public(&daemon), &keyed(key)).await.status, 201);
        }
        assert!(!narrowed());
        assert_eq!(raw(public(&daemon), &keyed("b")).await.status, 201);
        assert!(narrowed(), "{:?}", daemon.standing());
        // From now on it goes out once.
        node.now(Does::Break);
        let before = record.sends("n");
        assert_eq!(raw(public(&daemon), &keyed("d")).await.status, 502);
        assert_eq!(record.sends("n"), before + 1);
        daemon.stop().await;
    });
}

#[test]
fn a_hundred_descriptions_under_load_lose_nothing_and_run_nothing_twice() {
    with(async |record| {
        let nodes: Vec<Node> = (0..3).map(|n| Node::start(&format!("n{n}"), "g", &record)).collect();
        let text = HEAD.to_owned() + &pool("p", &nodes.iter().collect::<Vec<_>>()) + &section("");
        let mut daemon = begin(&text, &files()).await;
        let to = public(&daemon);
        let on = std::rc::Rc::new(std::cell::Cell::new(true));
        let clients: Vec<_> = (0..6)
            .map(|n| {
                let (record, on) = (record.clone(), on.clone());
                spawn_local(async move {
                    let mut client = Client::new(to, &record);
                    let mut answers = 0;
                    while on.get() {
                        let wording = [look("/files/1"), pull("/files/2"), pay("/checks")][n % 3].clone();
                        client.ask(&wording).await;
                        answers += 1;
                    }
                    answers
                })
            })
            .collect();
        let versions = [
            files(),
            files().replace("window: 5s", "window: 3s, x-sloeline-worth: 2"),
            files().replace("x-sloeline-window: 5s, ", ""),
            files() + &format!("  /more/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}\n"),
        ];
        let (mut kept, mut taken) = (0, 0);
        for round in 0..100 {
            // One breaks all it has now and then: keyed repeats are out.
            nodes[round % 3].now(if round % 2 == 0 {
                Does::Break
            } else {
                Does::Serve(Duration::from_millis(1))
            });
            let before = record.sends("n0") + record.sends("n1") + record.sends("n2");
            match read(&text, &versions[round % 4]) {
                Ok(config) if round % 10 != 9 => {
                    daemon.reload(config).await.expect("a good configuration");
                    taken += 1;
                }
                // A broken one in between leaves the one before in force.
                _ => {
                    assert!(read(&text, &versions[round % 4][..90]).is_err());
                    kept += 1;
                }
            }
            while record.sends("n0") + record.sends("n1") + record.sends("n2") < before + 20 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        }
        on.set(false);
        let mut answers = 0;
        for client in clients {
            answers += client.await.expect("a client");
        }
        println!("{taken} taken, {kept} broken, {answers} answers");
        assert_eq!((taken, kept), (90, 10));
        assert!(record.account().closes(), "{:?}", record.violations());
        assert_eq!(record.violations(), Vec::<String>::new());
        daemon.stop().await;
    });
}

#[test]
fn what_is_described_from_routes_says_the_same_when_it_is_read() {
    let text = format!("{HEAD}[pool.p]\nnodes = [{{ name = \"n\", address = \"127.0.0.1:9\" }}]\n")
        + &routes("p")
        + &route("any", "prefix = \"/any/{x}\"\nclass = \"pay\"\npool = \"p\"")
        + &route(
            "one",
            "path = \"/by/{x}\"\nmethod = \"PUT\"\nclass = \"pull\"\nkey = \"path:x\"\npool = \"p\"",
        )
        + &route(
            "two",
            "path = \"/two\"\nmethod = \"GET\"\nclass = \"look\"\npool = \"p\"\nheader = { \"X-A\" = \"1\" }",
        )
        + &route("three", "path = \"/two\"\nmethod = \"GET\"\nclass = \"pay\"\npool = \"p\"")
        + &route(
            "named",
            "path = \"/named\"\nmethod = \"GET\"\nclasses = [\"look\", \"pull\"]\nclass_header = \"X-Class\"\nkey = \"header:X-Key\"\npool = \"p\"",
        )
        + &route(
            "search",
            "path = \"/search\"\nmethod = \"POST\"\nclass = \"look\"\nassert = \"write-method-is-safe\"\npool = \"p\"",
        );
    let described = describe(&good(&text, ""), Some("public")).expect("a listener");
    let files = Memory(HashMap::from([("api.json".to_owned(), described.clone())]));
    let (operations, findings) = check(&Documents::new(&files), "api.json", Promises::default());
    let open: Vec<String> =
        findings.iter().filter(|f| f.accepted.is_none()).map(ToString::to_string).collect();
    assert_eq!(open, Vec::<String>::new(), "{described}");
    let effect = |method: &str, path: &str| {
        let found = operations.iter().find(|o| o.method == method && o.paths == [path]);
        found.map(|o| match &o.effect {
            Effect::Safe => "safe",
            Effect::Keyed { .. } => "keyed",
            Effect::Unsafe => "unsafe",
        })
    };
    for (method, path, expected) in [
        ("GET", "/files/{id}", "safe"),
        ("PUT", "/files/{id}", "keyed"),
        ("POST", "/checks/{rest}", "unsafe"),
        ("DELETE", "/any/{x}/{rest}", "unsafe"),
        ("PUT", "/by/{x}", "keyed"),
        ("GET", "/two", "unsafe"),
        ("GET", "/named", "keyed"),
        ("POST", "/search", "safe"),
    ] {
        assert_eq!(effect(method, path), Some(expected), "{method} {path}\n{described}");
    }
    assert!(
        describe(&good(&text, ""), Some("other")).is_err_and(|why| why.contains("expected one of public"))
    );
}
