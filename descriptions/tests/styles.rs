//! Large descriptions in common styles of public specifications. The reader must accept each of them in bounded time and find
//! exactly its operations.

mod common;

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use common::{found, summaries};

/// Number of operations of each description.
const MANY: usize = 400;

const OPEN: &str = "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n";
const ID: &str = "{name: id, in: path, required: true, schema: {type: string}}";

fn paths(one: impl Fn(usize) -> String) -> String {
    let mut text = OPEN.to_owned() + "paths:\n";
    for n in 0..MANY {
        let _ = write!(text, "  /things-{n}/{{id}}:\n{}", one(n));
    }
    text
}

fn get(more: &str) -> String {
    format!(
        "    get: {{parameters: [{ID}], {more}, responses: {{default: {{$ref: '#/components/responses/any'}}}}}}\n"
    )
}

const ANY: &str = "components:\n  responses: {any: {description: d, content: {application/json: {schema: {$ref: '#/components/schemas/a'}}}}}\n";

/// Name, text, number of operations, and expected summary of the first operation of each description.
fn styles() -> Vec<(&'static str, String, usize, &'static str)> {
    let first = "GET /things-0/{id} safe";
    let recursive = "  schemas: {a: {type: object, properties: {next: {$ref: '#/components/schemas/a'}, all: {type: array, items: {$ref: '#/components/schemas/b'}}}}, b: {anyOf: [{$ref: '#/components/schemas/a'}, {$ref: '#/components/schemas/b'}]}}\n";
    let polymorphic = "  schemas: {a: {oneOf: [{$ref: '#/components/schemas/cat'}, {$ref: '#/components/schemas/dog'}], discriminator: {propertyName: kind, mapping: {cat: '#/components/schemas/cat', dog: 'dog.json'}}}, cat: {allOf: [{$ref: '#/components/schemas/pet'}, {properties: {claws: {type: integer}}}]}, dog: {not: {type: 'null'}}, pet: {type: [object, 'null'], additionalProperties: {$ref: '#/components/schemas/a'}}}\n";
    let plain = "  schemas: {a: {type: string, enum: [no, yes, 'on', 0777, 1e3, ~]}}\n";
    let mut webhooks = OPEN.to_owned() + "webhooks:\n";
    for n in 0..MANY {
        let _ = writeln!(
            webhooks,
            "  event-{n}: {{post: {{operationId: charge{n}, requestBody: {{content: {{application/json: {{}}}}}}, responses: {{'200': {{description: d}}}}}}}}"
        );
    }
    let mut shared = OPEN.to_owned() + "paths:\n";
    for n in 0..MANY {
        let _ = writeln!(shared, "  /things-{n}/{{id}}: {{$ref: 'paths.yaml#/thing', summary: one more}}");
    }
    let mut merged = OPEN.to_owned()
        + "x-common: &common\n  parameters: ["
        + ID
        + "]\n  responses: {default: {description: d}}\npaths:\n";
    for n in 0..MANY {
        let _ = write!(
            merged,
            "  /things-{n}/{{id}}:\n    get:\n      <<: *common\n      parameters: [{ID}]\n      responses: {{default: {{}}}}\n"
        );
    }
    let json = {
        let items: Vec<String> = (0..MANY)
            .map(|n| format!("\"/things-{n}/{{id}}\": {{\"get\": {{\"parameters\": [{{\"name\": \"id\", \"in\": \"path\", \"required\": true, \"description\": \"\\u00e9 \\\"x\\\" \\n\"}}], \"responses\": {{\"default\": {{\"description\": \"\"}}}}}}}}"))
            .collect();
        format!("{{\"openapi\": \"3.0.3\", \"info\": {{}}, \"paths\": {{{}}}}}", items.join(",\n"))
    };
    let mut events = "asyncapi: 3.0.0\ninfo: {title: t, version: '1'}\nservers: {h: {host: a, protocol: https}, k: {host: 'k:9092', protocol: kafka}}\nchannels:\n".to_owned();
    for n in 0..MANY {
        let _ = writeln!(
            events,
            "  c{n}: {{address: '/hooks/{n}', servers: [{{$ref: '#/servers/{}'}}], messages: {{m: {{$ref: '#/components/messages/m'}}}}}}",
            ["h", "k"][n % 2]
        );
    }
    events += "operations:\n";
    for n in 0..MANY {
        let _ = writeln!(
            events,
            "  on{n}: {{action: receive, x-sloeline-window: 5s, channel: {{$ref: '#/channels/c{n}'}}, traits: [{{$ref: '#/components/operationTraits/t'}}], reply: {{address: {{location: '$message.header#/replyTo'}}}}}}"
        );
    }
    events += "components: {operationTraits: {t: {bindings: {kafka: {groupId: g}}}}, messages: {m: {headers: {type: object, required: [webhook-id], properties: {webhook-id: {type: string}}}, payload: {schemaFormat: 'application/vnd.apache.avro;version=1.9.0', schema: {type: record}}, correlationId: {location: '$message.header#/id'}}}}\n";
    let unsafe_ = "POST /things-0/{id} unsafe";
    vec![
        ("recursive schemas", paths(|_| get("tags: [a]")) + ANY + recursive, MANY, first),
        ("polymorphism", paths(|_| get("deprecated: true")) + ANY + polymorphic, MANY, first),
        ("yaml's plain scalars", paths(|_| get("x-a: no")) + ANY + plain, MANY, first),
        ("webhooks only", webhooks, 0, ""),
        (
            "callbacks",
            paths(|n| {
                format!(
                    "    post: {{parameters: [{ID}], callbacks: {{'{{$request.body#/url}}/{n}': {{'$ref': '#/components/callbacks/c'}}, inline: {{'{{$url}}': {{post: {{operationId: payBack, responses: {{}}}}}}}}}}, responses: {{default: {{}}}}}}\n"
                )
            }) + "components: {callbacks: {c: {'{$request.query.u}': {get: {responses: {}}}}}}\n",
            MANY,
            unsafe_,
        ),
        (
            "file upload",
            paths(|_| {
                format!(
                    "    post: {{parameters: [{ID}], requestBody: {{required: true, content: {{multipart/form-data: {{schema: {{type: object, properties: {{file: {{type: string, format: binary}}}}}}, encoding: {{file: {{contentType: 'image/png, image/*', headers: {{X-A: {{schema: {{}}}}}}}}}}}}, application/octet-stream: {{}}}}}}, responses: {{'200': {{content: {{'*/*': {{}}}}}}, default: {{}}}}}}\n"
                )
            }),
            MANY,
            unsafe_,
        ),
        ("references with siblings in another file", shared, MANY, first),
        ("merge keys and anchors", merged, MANY, first),
        ("json with escapes", json, MANY, first),
        (
            "links, security and servers of operations",
            paths(|_| {
                format!(
                    "    servers: [{{url: 'https://{{region}}.example', variables: {{region: {{default: x, enum: [x, z]}}}}}}]\n    get: {{security: [{{}}, {{oauth: [read]}}], parameters: [{ID}], responses: {{'200': {{links: {{next: {{operationId: other, parameters: {{id: '$response.body#/id'}}}}}}}}, default: {{}}}}}}\n"
                )
            }) + "components: {securitySchemes: {oauth: {type: oauth2, flows: {implicit: {authorizationUrl: 'https://a', scopes: {read: r}}}}}}\n",
            MANY,
            first,
        ),
        ("events over two protocols", events, MANY / 2, "POST /hooks/0 keyed header:webhook-id 5000"),
        (
            "long texts",
            paths(|_| {
                format!(
                    "    get:\n      description: |\n{}      parameters: [{ID}]\n      responses: {{default: {{}}}}\n",
                    "        # not a comment: {\n".repeat(40)
                )
            }),
            MANY,
            first,
        ),
    ]
}

#[test]
fn large_descriptions_in_many_styles_are_read_as_they_are_meant() {
    for (name, text, operations, first) in styles() {
        let start = Instant::now();
        let thing = format!("thing:\n  get: {{parameters: [{ID}], responses: {{default: {{}}}}}}\n");
        let (found, findings) = found(&[("api.yaml", &text), ("paths.yaml", &thing)]);
        assert_eq!((found.len(), findings), (operations, vec![]), "{name}");
        assert_eq!(found.first().map(|o| summaries(o).remove(0)).unwrap_or_default(), first, "{name}");
        // A generous limit, to detect exponential time.
        assert!(start.elapsed() < Duration::from_secs(20), "{name}: {:?}", start.elapsed());
    }
}
