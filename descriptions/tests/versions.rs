//! Changes between two versions of a description.

use std::collections::HashMap;

use sloeline_descriptions::diff::{Weight, diff};
use sloeline_descriptions::openapi::{self, Operation};
use sloeline_descriptions::refs::{Documents, Files};

struct Memory(HashMap<String, String>);

impl Files for Memory {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or_else(|| format!("{path}: no such file"))
    }
}

fn operations(paths: &str) -> Vec<Operation> {
    let text = format!("openapi: 3.0.3\npaths:\n{paths}\n");
    let memory = Memory(HashMap::from([("api.yaml".to_owned(), text)]));
    let (operations, findings) = openapi::read(&Documents::new(&memory), "api.yaml");
    assert_eq!(findings, [], "{paths}");
    operations
}

const KEY: &str = "parameters: [{name: Idempotency-Key, in: header, required: true}]";

#[test]
fn each_change_by_its_code_and_weight() {
    let post = |more: &str| format!("  /a:\n    post: {{{more}}}");
    let keyed = |window: &str| post(&format!("{KEY}, x-sloeline-window: {window}"));
    let id = |more: &str| format!("  /a/{{id}}:\n    get: {{{more}}}");
    let latest = |more: &str| format!("  /a/latest:\n    get: {{{more}}}");
    let unsafe_ = "x-sloeline-effect: unsafe";
    let cases: Vec<(String, String, &[&str])> = vec![
        (post(""), post(""), &[]),
        // The name of a path parameter does not matter to clients.
        (id(""), "  /a/{no}:\n    get: {}".to_owned(), &[]),
        (post("x-sloeline-effect: safe"), post(""), &["dangerous C001"]),
        (post("x-sloeline-effect: safe"), keyed("1s"), &["dangerous C001", "breaking C007"]),
        (keyed("1s"), post(KEY), &["dangerous C001"]),
        (keyed("1s"), post(&format!("{KEY}, x-sloeline-key: 'query:k', x-sloeline-window: 1s")), &["dangerous C002"]),
        (keyed("2s"), keyed("1s"), &["dangerous C003"]),
        (keyed("1s"), keyed("2s"), &[]),
        (post(""), post("x-sloeline-effect: safe"), &["dangerous C004"]),
        (post(KEY), keyed("1s"), &["dangerous C004"]),
        (post("x-sloeline-time: 1s"), post("x-sloeline-time: 2s"), &["note C005"]),
        (post("x-sloeline-time: 2s"), post("x-sloeline-time: 1s"), &[]),
        (post(""), post("x-sloeline-body-limit: 1KiB"), &["breaking C006"]),
        (post("x-sloeline-body-limit: 1KiB"), post("x-sloeline-body-limit: 2KiB"), &[]),
        (post(""), post("parameters: [{name: q, in: query, required: true}]"), &["breaking C007"]),
        (
            post("parameters: [{name: q, in: query}]"),
            post("parameters: [{name: q, in: query, required: true}]"),
            &["breaking C007"],
        ),
        (post("responses: {'200': {}}"), post("responses: {'201': {}}"), &["note C008"]),
        (post(""), "  /b:\n    post: {}".to_owned(), &["breaking C010", "note C013"]),
        // Requests for /a/latest go to /a/{id} in the new version.
        (id("") + "\n" + &latest(""), id(""), &["breaking C011"]),
        (id(unsafe_) + "\n" + &latest(""), id(unsafe_), &["dangerous C011"]),
        // The opposite change.
        (id(""), id("") + "\n" + &latest(""), &["breaking C012"]),
        (id(""), id("") + "\n" + &latest(unsafe_), &["dangerous C012"]),
        // The most specific of several templates matches.
        (
            "  /a/{x}/{y}:\n    get: {}\n  /a/b/{y}:\n    get: {x-sloeline-effect: unsafe}\n  /a/b/c:\n    get: {}".to_owned(),
            "  /a/{x}/{y}:\n    get: {}\n  /a/b/{y}:\n    get: {x-sloeline-effect: unsafe}".to_owned(),
            &["dangerous C011"],
        ),
        (id(""), "  /b/{id}:\n    get: {}".to_owned(), &["breaking C010", "note C013"]),
    ];
    for (old, new, expected) in &cases {
        let changes = diff(&operations(old), &operations(new));
        let reported: Vec<String> =
            changes.iter().map(|c| c.to_string().split(':').next().unwrap_or("").to_owned()).collect();
        assert_eq!(reported, *expected, "{old}\n{new}\n{changes:#?}");
        assert!(changes.is_sorted_by_key(|c| std::cmp::Reverse(c.weight)));
        assert!(changes.iter().all(|c| c.line > 0 && c.weight >= Weight::Note));
    }
}
