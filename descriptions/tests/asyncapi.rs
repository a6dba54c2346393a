//! AsyncAPI descriptions: which operations have routes, and when their deliveries can be repeated.

mod common;

use common::{found, summaries};

/// A description of version 2.6 with these servers and this channel.
fn two(servers: &str, channel: &str) -> String {
    format!(
        "asyncapi: 2.6.0\ninfo: {{title: t, version: '1'}}\nservers: {{{servers}}}\nchannels:\n  {channel}\n"
    )
}

/// A description of version 3.0 with these servers, this channel and this operation.
fn three(servers: &str, channel: &str, operation: &str) -> String {
    format!(
        "asyncapi: 3.0.0\ninfo: {{title: t, version: '1'}}\nservers: {{{servers}}}\nchannels:\n  c: {{{channel}}}\noperations:\n  o: {{{operation}}}\n"
    )
}

const HTTP: &str = "h: {url: 'https://a.example/v1/', protocol: https}";
const KAFKA: &str = "k: {url: 'k:9092', protocol: kafka}";
const HTTP3: &str = "h: {host: a.example, pathname: /v1, protocol: https}";
const MESSAGE: &str = "message: {payload: {type: object}}";
const WITH_ID: &str =
    "{headers: {type: object, required: [webhook-id], properties: {webhook-id: {type: string}}}}";
const MAY_ID: &str = "{headers: {type: object, properties: {webhook-id: {type: string}}}}";

#[test]
fn what_is_received_over_http_is_an_operation_and_its_identity_is_its_key() {
    let channel = "channel: {$ref: '#/channels/c'}";
    let rows: &[(String, &[&str])] = &[
        (two(HTTP, &format!("done: {{publish: {{{MESSAGE}}}}}")), &["POST /v1/done unsafe"]),
        (two(HTTP, &format!("/done: {{publish: {{{MESSAGE}}}}}")), &["POST /v1/done unsafe"]),
        (two(HTTP, &format!("done: {{subscribe: {{{MESSAGE}}}}}")), &[]),
        (two(KAFKA, &format!("done: {{publish: {{{MESSAGE}}}}}")), &[]),
        (
            two(&format!("{HTTP}, {KAFKA}"), &format!("done: {{publish: {{{MESSAGE}}}}}")),
            &["POST /v1/done unsafe"],
        ),
        (two(&format!("{HTTP}, {KAFKA}"), &format!("done: {{servers: [k], publish: {{{MESSAGE}}}}}")), &[]),
        (
            two(
                "",
                &format!(
                    "done: {{publish: {{bindings: {{http: {{type: request, method: PUT}}}}, {MESSAGE}}}}}"
                ),
            ),
            &["PUT /done unsafe"],
        ),
        (two("", &format!("done: {{publish: {{{MESSAGE}}}}}")), &[]),
        (two(HTTP, "done: {publish: {bindings: {http: {method: GET}}}}"), &["GET /v1/done safe"]),
        (
            two(HTTP, &format!("done: {{publish: {{x-sloeline-window: 30s, message: {WITH_ID}}}}}")),
            &["POST /v1/done keyed header:webhook-id 30000"],
        ),
        // Without a window the key is not relied on.
        (two(HTTP, &format!("done: {{publish: {{message: {WITH_ID}}}}}")), &["POST /v1/done unsafe"]),
        (
            two(
                HTTP,
                &format!(
                    "done: {{publish: {{x-sloeline-window: 30s, message: {{oneOf: [{WITH_ID}, {WITH_ID}]}}}}}}"
                ),
            ),
            &["POST /v1/done keyed header:webhook-id 30000"],
        ),
        (
            two(
                HTTP,
                "done: {publish: {message: {x-sloeline-key: 'header:ce-id', x-sloeline-window: 1min, headers: {allOf: [{properties: {ce-id: {}}}, {required: [ce-id]}]}}}}",
            ),
            &["POST /v1/done keyed header:ce-id 60000"],
        ),
        (
            two(
                HTTP,
                &format!(
                    "'checks/{{id}}/done': {{parameters: {{id: {{schema: {{type: string}}}}}}, publish: {{x-sloeline-key: 'path:id', x-sloeline-window: 1s, {MESSAGE}}}}}"
                ),
            ),
            &["POST /v1/checks/{id}/done keyed path:id 1000"],
        ),
        (
            three(
                HTTP3,
                "address: /done, messages: {m: {payload: {}}}",
                &format!("action: receive, {channel}"),
            ),
            &["POST /v1/done unsafe"],
        ),
        (three(HTTP3, "address: /done", &format!("action: send, {channel}")), &[]),
        (three(HTTP3, "address: null", &format!("action: receive, {channel}")), &[]),
        (
            three(
                HTTP3,
                &format!("address: /done, messages: {{m: {WITH_ID}}}"),
                &format!("action: receive, x-sloeline-window: 5s, {channel}"),
            ),
            &["POST /v1/done keyed header:webhook-id 5000"],
        ),
        (
            three(
                HTTP3,
                &format!(
                    "address: /done, servers: [{{$ref: '#/servers/h'}}], messages: {{m: {WITH_ID}, n: {MAY_ID}}}"
                ),
                &format!(
                    "action: receive, x-sloeline-window: 5s, {channel}, messages: [{{$ref: '#/channels/c/messages/m'}}]"
                ),
            ),
            &["POST /v1/done keyed header:webhook-id 5000"],
        ),
    ];
    for (text, expected) in rows {
        let (operations, findings) = found(&[("api.yaml", text)]);
        let operations: Vec<String> = operations.iter().flat_map(summaries).collect();
        assert_eq!(
            (operations, findings),
            (expected.iter().map(|e| (*e).to_owned()).collect(), vec![]),
            "{text}"
        );
    }
    println!("{} right ones", rows.len());
}

#[test]
fn wrong_ones_are_found_each_by_its_code_and_line() {
    let channel = "channel: {$ref: '#/channels/c'}";
    let rows: &[(String, &[&str])] = &[
        ("asyncapi: 2.5.0\nchannels: {}".to_owned(), &["D002:1"]),
        ("asyncapi: 3\nchannels: {}".to_owned(), &["D002:1"]),
        (two(HTTP, &format!("done: {{servers: [x], publish: {{{MESSAGE}}}}}")), &["D003:5"]),
        (
            two("h: {url: 'https://a/{v}', protocol: https}", &format!("done: {{publish: {{{MESSAGE}}}}}")),
            &["D022:3"],
        ),
        (two(HTTP, "done: {publish: {message: {$ref: '#/x'}}}"), &["D003:5"]),
        (
            two(HTTP, &format!("done: {{publish: {{x-sloeline-window: 30s, message: {MAY_ID}}}}}")),
            &["D013:5"],
        ),
        (
            two(
                HTTP,
                &format!(
                    "done: {{publish: {{x-sloeline-window: 30s, message: {{oneOf: [{WITH_ID}, {MAY_ID}]}}}}}}"
                ),
            ),
            &["D013:5"],
        ),
        (
            two(HTTP, &format!("done: {{publish: {{x-sloeline-window: 61s, message: {WITH_ID}}}}}")),
            &["D015:5"],
        ),
        (
            two(
                HTTP,
                &format!(
                    "done: {{publish: {{operationId: chargeCard, x-sloeline-effect: safe, {MESSAGE}}}}}"
                ),
            ),
            &["D010:5", "D012:5"],
        ),
        (two(HTTP, &format!("'a/{{id}}': {{publish: {{{MESSAGE}}}}}")), &["D021:5"]),
        (three(HTTP3, "address: /done", &format!("action: take, {channel}")), &["D004:7"]),
        (three(HTTP3, "address: /done", "action: receive"), &["D004:7"]),
        (three(HTTP3, "address: /done", "action: receive, channel: {$ref: '#/channels/d'}"), &["D003:7"]),
        (
            three(
                HTTP3,
                "address: /done, servers: [{$ref: '#/servers/x'}]",
                &format!("action: receive, {channel}"),
            ),
            &["D003:5"],
        ),
        (
            three(HTTP3, "address: /done", &format!("action: receive, x-sloeline-tim: 5s, {channel}")),
            &["D040:7"],
        ),
    ];
    let mut wrong = Vec::new();
    for (text, codes) in rows {
        let reported = found(&[("api.yaml", text)]).1;
        if reported != *codes {
            wrong.push(format!("found {reported:?}, expected {codes:?}:\n{text}"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
    println!("{} wrong ones", rows.len());
}
