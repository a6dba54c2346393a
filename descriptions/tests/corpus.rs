//! Correct and faulty descriptions with the expected findings.

mod common;

use common::found;
use proptest::prelude::*;
use sloeline_descriptions::effect::{Effect, KeyLocation};
use sloeline_descriptions::extensions::EXTENSIONS;
use sloeline_descriptions::refs::Files;
use sloeline_descriptions::tree;

/// An OpenAPI description with these paths.
fn api(paths: &str) -> String {
    format!("openapi: 3.0.3\ninfo: {{title: t, version: '1'}}\npaths:\n{paths}")
}

const ANY: &str = "responses: {default: {description: d}}";
const ID: &str = "{name: id, in: path, required: true}";
const KEY: &str = "{name: Idempotency-Key, in: header, required: true}";

#[test]
fn right_ones_have_no_findings_and_silence_means_unsafe() {
    let key = || Effect::Keyed { key: KeyLocation::Header("idempotency-key".to_owned()), window: 30_000_000 };
    let cases: Vec<(String, Effect)> = vec![
        (format!("  /checks:\n    get: {{{ANY}}}"), Effect::Safe),
        (format!("  /checks:\n    head: {{{ANY}}}"), Effect::Safe),
        (format!("  /checks:\n    get: {{operationId: listPayments, {ANY}}}"), Effect::Safe),
        (format!("  /payments:\n    get: {{operationId: createdPayments, {ANY}}}"), Effect::Safe),
        (
            format!("  /orders/{{id}}:\n    get: {{operationId: orderStatus, parameters: [{ID}], {ANY}}}"),
            Effect::Safe,
        ),
        (format!("  /checks:\n    get: {{requestBody: {{content: {{}}}}, {ANY}}}"), Effect::Unsafe),
        (format!("  /checks:\n    post: {{{ANY}}}"), Effect::Unsafe),
        (format!("  /checks:\n    put: {{{ANY}}}"), Effect::Unsafe),
        (format!("  /checks:\n    delete: {{{ANY}}}"), Effect::Unsafe),
        (format!("  /checks:\n    trace: {{{ANY}}}"), Effect::Unsafe),
        (format!("  /checks:\n    post: {{parameters: [{KEY}], {ANY}}}"), Effect::Unsafe),
        (format!("  /checks:\n    get: {{x-sloeline-effect: unsafe, {ANY}}}"), Effect::Unsafe),
        (format!("  /search:\n    post: {{x-sloeline-effect: safe, {ANY}}}"), Effect::Safe),
        (format!("  /checks:\n    post: {{parameters: [{KEY}], x-sloeline-window: 30s, {ANY}}}"), key()),
        (
            format!(
                "  /checks:\n    post: {{parameters: [{KEY}], x-sloeline-effect: keyed, x-sloeline-window: 30s, {ANY}}}"
            ),
            key(),
        ),
        (
            format!(
                "  /files/{{id}}:\n    put: {{parameters: [{ID}], x-sloeline-key: 'path:id', x-sloeline-window: 1min, {ANY}}}"
            ),
            Effect::Keyed { key: KeyLocation::Path("id".to_owned()), window: 60_000_000 },
        ),
        (
            format!(
                "  /search:\n    post: {{requestBody: {{content: {{}}}}, x-sloeline-effect: safe, x-sloeline-accept: [{{code: D010, reason: reads only}}], {ANY}}}"
            ),
            Effect::Safe,
        ),
        (
            format!("  /a/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}\n  /a/latest:\n    get: {{{ANY}}}"),
            Effect::Safe,
        ),
        (
            format!("  /a/{{id}}:\n    parameters: [{ID}]\n    get: {{{ANY}}}\n    put: {{{ANY}}}"),
            Effect::Safe,
        ),
        ("  /a:\n    get: {responses: {'200': {}, 4XX: {}, 5xx: {}}}".to_owned(), Effect::Safe),
        (
            format!(
                "  /a:\n    get: {{x-sloeline-time: 250ms, x-sloeline-worth: 12, x-sloeline-body-limit: 64KiB, x-sloeline-tenant: t, {ANY}}}"
            ),
            Effect::Safe,
        ),
        (format!("  x-note: any\n  /a:\n    summary: s\n    get: {{x-other: 1, {ANY}}}"), Effect::Safe),
        (format!("  /a: &item\n    get: {{{ANY}}}\n  /b: *item"), Effect::Safe),
        (format!("  /a:\n    options: {{{ANY}}}"), Effect::Safe),
        // Fields besides a $ref take precedence.
        (
            format!(
                "  /a: {{$ref: '#/x-b', get: {{x-sloeline-effect: unsafe, {ANY}}}}}\nx-b: {{get: {{{ANY}}}}}"
            ),
            Effect::Unsafe,
        ),
        (
            format!("  /a/{{id}}: {{$ref: '#/x-b', parameters: [{ID}]}}\nx-b: {{get: {{{ANY}}}}}"),
            Effect::Safe,
        ),
        (format!("  /a:\n    patch: {{{ANY}}}"), Effect::Unsafe),
        (format!("  /payments:\n    get: {{operationId: paymentList, {ANY}}}"), Effect::Safe),
        (format!("  /cancellations/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}"), Effect::Safe),
        (format!("  /a/cancel:\n    get: {{{ANY}}}"), Effect::Safe),
        (format!("  /a/{{id}}/cancel:\n    post: {{parameters: [{ID}], {ANY}}}"), Effect::Unsafe),
        (format!("  /a:\n    post: {{operationId: chargeCard, {ANY}}}"), Effect::Unsafe),
        ("  /a:\n    post: {responses: {'201': {}, default: {}}}".to_owned(), Effect::Unsafe),
        (
            "  /a:\n    get: {responses: {'200': {}, '429': {}, '502': {}, '503': {}, '504': {}}}".to_owned(),
            Effect::Safe,
        ),
        (format!("  /a:\n    get: {{x-sloeline-time: 4s, {ANY}}}"), Effect::Safe),
        (
            format!("  /a:\n    post: {{parameters: [{KEY}], x-sloeline-window: 60s, {ANY}}}"),
            Effect::Keyed { key: KeyLocation::Header("idempotency-key".to_owned()), window: 60_000_000 },
        ),
        (
            format!(
                "  /a:\n    post: {{parameters: [{{name: k, in: query, required: true}}], x-sloeline-key: 'query:k', x-sloeline-window: 1s, {ANY}}}"
            ),
            Effect::Keyed { key: KeyLocation::Query("k".to_owned()), window: 1_000_000 },
        ),
        (
            format!(
                "  /a/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}\n  /a/{{id}}/b:\n    get: {{parameters: [{ID}], {ANY}}}"
            ),
            Effect::Safe,
        ),
        (
            format!(
                "  /a/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}\n    delete: {{parameters: [{ID}], {ANY}}}"
            ),
            Effect::Safe,
        ),
        (
            format!(
                "  /search:\n    post: {{x-sloeline-effect: safe, {ANY}}}\n  /search/help:\n    get: {{{ANY}}}"
            ),
            Effect::Safe,
        ),
        (
            format!(
                "  /a:\n    get: {{operationId: o, x-sloeline-time: 2s, x-sloeline-calls: [i, i], {ANY}}}\n  /b:\n    get: {{operationId: i, x-sloeline-time: 1s, {ANY}}}"
            ),
            Effect::Safe,
        ),
        (
            format!(
                "  /a:\n    get: {{callbacks: {{done: {{'{{$request.body#/url}}': {{post: {{{ANY}}}}}}}}}, {ANY}}}"
            ),
            Effect::Safe,
        ),
        (format!("  /a:\n    get: {{x-sloeline-prefix: true, {ANY}}}"), Effect::Safe),
    ];
    for (paths, effect) in &cases {
        let (operations, findings) = found(&[("api.yaml", &api(paths))]);
        assert_eq!((findings, operations.first().map(|o| &o.effect)), (vec![], Some(effect)), "{paths}");
    }
    println!("{} right ones", cases.len());
}

#[test]
fn wrong_ones_are_found_each_by_its_code_and_line() {
    let get = |more: &str| format!("  /a:\n    get: {{{more}}}");
    let cases: Vec<(String, &[&str])> = vec![
        ("a: [".to_owned(), &["D001:2"]),
        ("".to_owned(), &["D001:1"]),
        ("openapi: 3.0.0\nopenapi: 3.0.1".to_owned(), &["D001:2"]),
        ("openapi: 3.0.0\n---\nopenapi: 3.0.0".to_owned(), &["D001:2"]),
        ("openapi: &a [*a]".to_owned(), &["D001:1"]),
        ("openapi: 3.0.0\npaths:\n  <<: 7".to_owned(), &["D001:3"]),
        // Entries of merged tables are checked too.
        (
            "openapi: 3.0.0\nx-a: &a {responses: {'201': {}, default: {}}}\nx-b: &b {operationId: b}\npaths:\n  /a:\n    get: {<<: [*b, *a], operationId: o}".to_owned(),
            &["D011:6"],
        ),
        ("swagger: '2.0'\npaths: {}".to_owned(), &["D002:1"]),
        ("openapi: 3.2.0\npaths: {}".to_owned(), &["D002:1"]),
        ("openapi: 3.0\npaths: {}".to_owned(), &["D002:1"]),
        ("[]".to_owned(), &["D002:1"]),
        ("openapi: 3.0.0".to_owned(), &["D004:1"]),
        (api(&format!("  a:\n    get: {{{ANY}}}")), &["D004:5"]),
        (api("  /a:\n    get: 7"), &["D004:5"]),
        (api(&get(&format!("parameters: [{{name: a}}], {ANY}"))), &["D004:5"]),
        (api(&get(&format!("parameters: [{{name: a, in: body}}], {ANY}"))), &["D004:5"]),
        (api("  /a: {$ref: '#/nowhere'}"), &["D003:4"]),
        (api("  /a: {$ref: '#/paths/~1a'}"), &["D003:4"]),
        (api("  /a: {$ref: 'other.yaml#/a'}"), &["D003:4"]),
        (api("  /a: {$ref: '../out.yaml'}"), &["D003:4"]),
        (api("  /a: {$ref: '/etc/passwd'}"), &["D003:4"]),
        (api("  /a: {$ref: 'https://a.example/b.yaml'}"), &["D003:4"]),
        (api("  /a: {$ref: '#name'}"), &["D003:4"]),
        (api("  /a: {$ref: 'a%zz.yaml'}"), &["D003:4"]),
        (api("  /a: {$ref: 7}"), &["D003:4"]),
        (api(&get(&format!("parameters: [{{$ref: '#/x'}}], {ANY}"))), &["D003:5"]),
        (
            api(&format!(
                "  /a:\n    post: {{x-sloeline-effect: safe, {ANY}}}\n  /a/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}"
            )),
            &["D012:5"],
        ),
        (
            api(&format!(
                "  /a:\n    get: {{operationId: o, x-sloeline-time: 1s, x-sloeline-calls: [i, i], {ANY}}}\n  /b:\n    get: {{operationId: i, x-sloeline-time: 501ms, {ANY}}}"
            )),
            &["D017:5"],
        ),
        (api(&get(&format!("x-sloeline-calls: [i], {ANY}"))), &["D040:5"]),
        (api(&get(&format!("x-sloeline-calls: [7], {ANY}"))), &["D040:5"]),
        (api("  /a:\n    get: {responses: {default: {$ref: '#/x'}}}"), &["D003:5", "D030:5"]),
        (
            api(&format!(
                "  /a:\n    post: {{x-sloeline-effect: safe, requestBody: {{content: {{}}}}, {ANY}}}"
            )),
            &["D010:5"],
        ),
        (api("  /a:\n    post: {x-sloeline-effect: safe, responses: {'201': {}, default: {}}}"), &["D011:5"]),
        (api("  /a:\n    get: {responses: {'202': {}, default: {}}}"), &["D011:5"]),
        (
            api(&format!("  /a:\n    post: {{operationId: chargeCard, x-sloeline-effect: safe, {ANY}}}")),
            &["D012:5"],
        ),
        (api(&get(&format!("operationId: cancel_check, {ANY}"))), &["D012:5"]),
        (api(&format!("  /a/{{id}}/cancel:\n    get: {{parameters: [{ID}], {ANY}}}")), &["D012:5"]),
        (api(&get(&format!("x-sloeline-effect: keyed, x-sloeline-window: 1s, {ANY}"))), &["D013:5"]),
        (
            api(&format!(
                "  /a:\n    post: {{parameters: [{{name: Idempotency-Key, in: header}}], x-sloeline-window: 1s, {ANY}}}"
            )),
            &["D013:5"],
        ),
        (
            api(&format!("  /a:\n    post: {{x-sloeline-key: 'query:k', x-sloeline-window: 1s, {ANY}}}")),
            &["D013:5"],
        ),
        (
            api(&format!("  /a:\n    post: {{parameters: [{KEY}], x-sloeline-effect: keyed, {ANY}}}")),
            &["D014:5"],
        ),
        (
            api(&format!("  /a:\n    post: {{parameters: [{KEY}], x-sloeline-window: 61s, {ANY}}}")),
            &["D015:5"],
        ),
        (api(&get(&format!("x-sloeline-time: 5s, {ANY}"))), &["D016:5"]),
        (
            api(&format!(
                "  /a/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}\n  /a/{{no}}:\n    get: {{parameters: [{{name: no, in: path, required: true}}], {ANY}}}"
            )),
            &["D020:7"],
        ),
        (
            api(&format!(
                "  /a/{{id}}/c:\n    get: {{parameters: [{ID}], {ANY}}}\n  /a/b/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}"
            )),
            &["D020:7"],
        ),
        (api(&format!("  /a/{{id}}:\n    get: {{{ANY}}}")), &["D021:5"]),
        (
            api(&format!("  /a/{{id}}:\n    get: {{parameters: [{{name: id, in: path}}], {ANY}}}")),
            &["D021:5"],
        ),
        (api(&get(&format!("parameters: [{ID}], {ANY}"))), &["D021:5"]),
        (api(&format!("  /a/{{id}}/{{id}}:\n    get: {{parameters: [{ID}], {ANY}}}")), &["D021:5"]),
        (api(&get(&format!("parameters: [{KEY}, {KEY}], {ANY}"))), &["D021:5"]),
        (api(&format!("  /a/{{id}}.json:\n    get: {{parameters: [{ID}], {ANY}}}")), &["D022:5"]),
        (
            format!(
                "openapi: 3.1.0\nservers: [{{url: 'https://a/{{v}}'}}]\npaths: {{/a: {{get: {{{ANY}}}}}}}"
            ),
            &["D022:2"],
        ),
        (api("  /a:\n    get: {responses: {'200': {}}}"), &["D030:5"]),
        (api(&get(&format!("x-sloeline-effect: idempotent, {ANY}"))), &["D040:5"]),
        (api(&get(&format!("x-sloeline-time: 5, {ANY}"))), &["D040:5"]),
        (api(&get(&format!("x-sloeline-body-limit: 5KB, {ANY}"))), &["D040:5"]),
        (api(&get(&format!("x-sloeline-worth: much, {ANY}"))), &["D040:5"]),
        (api(&get(&format!("x-sloeline-key: id, {ANY}"))), &["D040:5"]),
        (api(&get(&format!("x-sloeline-efect: safe, {ANY}"))), &["D040:5"]),
        (api(&get(&format!("x-sloeline-accept: [{{code: D012, reason: no}}], {ANY}"))), &["D041:5"]),
        (
            api(&get(&format!("operationId: payNow, x-sloeline-accept: [{{code: D012}}], {ANY}"))),
            &["D012:5", "D041:5"],
        ),
    ];
    let mut wrong = Vec::new();
    for (text, codes) in &cases {
        let reported = found(&[("api.yaml", text)]).1;
        if reported != *codes {
            wrong.push(format!("found {reported:?}, expected {codes:?}:\n{text}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    println!("{} wrong ones", cases.len());
}

#[test]
fn references_to_other_files_and_servers_give_the_routes() {
    let text = "openapi: 3.1.0
servers:
  - {url: 'https://a.example/v1/'}
  - {url: '/{stage}/v2', variables: {stage: {default: live}}}
paths:
  /checks/{id}: {$ref: 'more/paths.yaml#/check'}
  /own:
    servers: [{url: 'http://b.example'}]
    get: {responses: {default: {}}}
";
    let more = "check:
  parameters: [{$ref: '../shared.json#/parameters/a~1b'}]
  get: {responses: {default: {$ref: 'paths.yaml#/answer'}}}
answer: {description: d}
";
    let shared = r##"{"parameters": {"a/b": {"$ref": "#/id"}}, "id": {"name": "id", "in": "path", "required": true}}"##;
    let (operations, findings) =
        found(&[("api.yaml", text), ("more/paths.yaml", more), ("shared.json", shared)]);
    assert_eq!(findings, [""; 0]);
    let paths: Vec<&[String]> = operations.iter().map(|o| o.paths.as_slice()).collect();
    assert_eq!(
        paths,
        [&["/live/v2/checks/{id}".to_owned(), "/v1/checks/{id}".to_owned()][..], &["/own".to_owned()]]
    );
    assert_eq!(&*operations[0].place.file, "more/paths.yaml");
}

#[test]
fn scalars_are_what_yaml_says_and_bombs_stay_small() {
    let value = |text: &str| tree::read(text).expect("a value").describe();
    for (text, expected) in [
        ("no", "\"no\""),
        ("0777", "777"),
        ("0o17", "15"),
        ("0x1f", "31"),
        ("12:30", "\"12:30\""),
        ("1.0.3", "\"1.0.3\""),
        ("~", "nothing"),
        ("1e3", "1000"),
        ("'1'", "\"1\""),
        (".5", "0.5"),
        ("TRUE", "true"),
    ] {
        assert_eq!(value(text), expected, "{text}");
    }
    // 2^100 values in a hundred lines.
    let mut bomb = "a0: &a0 [x, x]\n".to_owned();
    for n in 1..100 {
        bomb += &format!("a{n}: &a{n} [*a{}, *a{}]\n", n - 1, n - 1);
    }
    assert_eq!(tree::read(&bomb).expect("a table").entries().len(), 100);
    bomb += &(100..200).map(|n| format!("a{n}: &a{n} [*a{}]\n", n - 1)).collect::<String>();
    assert!(tree::read(&bomb).expect_err("too deep").message.contains("deep"));
    for deep in ["[".repeat(100_000), "{a: ".repeat(100_000), "- ".repeat(100_000)] {
        assert!(tree::read(&deep).is_err());
    }
}

#[test]
fn a_link_out_of_the_folder_is_not_followed() {
    use sloeline_descriptions::folder::Folder;
    let base = std::env::temp_dir().join(format!("sloeline-descriptions-{}", std::process::id()));
    std::fs::create_dir_all(base.join("in")).expect("a folder");
    std::fs::write(base.join("out.yaml"), "a: 1").expect("a file");
    std::fs::write(base.join("in/own.yaml"), "a: 1").expect("a file");
    std::os::unix::fs::symlink(base.join("out.yaml"), base.join("in/link.yaml")).expect("a link");
    let folder = Folder::new(&base.join("in")).expect("a folder");
    assert!(folder.read("own.yaml").is_ok());
    for out in ["link.yaml", "../out.yaml", ".", "none.yaml"] {
        assert!(folder.read(out).is_err(), "{out}");
    }
    let _ = std::fs::remove_dir_all(base);
}

/// The JSON schema for editors has the same extensions as the reader.
#[test]
fn the_schema_of_the_extensions_is_theirs() {
    let text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/x-sloeline.schema.json"));
    let schema = tree::read(&text.expect("a schema")).expect("JSON");
    let mut said: Vec<&str> =
        schema.get("properties").expect("properties").entries().iter().map(|(k, _)| k.as_str()).collect();
    let mut known = EXTENSIONS.to_vec();
    said.sort_unstable();
    known.sort_unstable();
    assert_eq!(said, known);
}

/// A file that is replaced while it is read is read in one of its versions.
#[test]
fn a_file_that_is_replaced_is_read_as_one_of_its_versions() {
    use sloeline_descriptions::folder::Folder;
    let base = std::env::temp_dir().join(format!("sloeline-replaced-{}", std::process::id()));
    std::fs::create_dir_all(&base).expect("a folder");
    let versions: Vec<String> = (1..3).map(|n| format!("a: {n}\n").repeat(20_000 * n)).collect();
    let put = |version: &String| {
        std::fs::write(base.join("next"), version).expect("a file");
        std::fs::rename(base.join("next"), base.join("api.yaml")).expect("a place");
    };
    put(&versions[0]);
    let folder = Folder::new(&base).expect("a folder");
    std::thread::scope(|scope| {
        let reader =
            scope.spawn(|| (0..300).map(|_| folder.read("api.yaml").expect("a text")).collect::<Vec<_>>());
        let mut round = 0;
        while !reader.is_finished() {
            round += 1;
            put(&versions[round % 2]);
        }
        for text in reader.join().expect("it ends") {
            assert!(versions.contains(&text), "{} bytes", text.len());
        }
    });
    let _ = std::fs::remove_dir_all(base);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
    /// Reading ends for any text, and every finding has a line.
    #[test]
    fn nothing_that_is_read_makes_it_fall_over(text in "([a-z\\$/{}:\\[\\]&*'\"#, \\n-]|openapi: 3.0.0\\n|paths:\\n|  /a:\\n|    get: ){0,60}") {
        found(&[("api.yaml", &text)]);
    }
}
