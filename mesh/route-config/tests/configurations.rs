//! Tests which configurations are accepted, the errors for invalid ones, and route lookup.

use serde_json::{Value, json};
use sloeline_route_config::model::{Config, Edition};
use sloeline_route_config::table::Table;

fn route(prefix: &str, line: &str) -> Value {
    json!({"name": "r", "route_kind": "safe", "target": "300ms", "precedence": 2,
        "sort_by": {"lane_prefix": prefix}, "dispatch": {"line": line, "timeout": "2s", "tries": 2}})
}

fn config() -> Value {
    json!({"edition": "0000000c",
        "size_limits": {"header_bytes": 16384, "body_bytes": 67108864, "header": "3000ms", "idle": "15000ms"},
        "gateways": [
            {"station": "a.example", "regulations": [route("/x/", "one"), route("/x/y/", "two")]},
            {"station": "b.example", "regulations": [{"name": "s", "route_kind": "tracked", "target": "0.4s",
                "precedence": 1, "sort_by": {"lane_prefix": "/k/"},
                "dispatch": {"splits": [{"line": "one", "share": 90}, {"line": "two", "share": 10}],
                    "timeout": "2500ms", "tries": 2}}]}],
        "depots": [
            {"name": "one", "health_path": "/health", "conn_limit": 120, "protocol": "h1", "tls_mode": false,
                "deduplicates": false},
            {"name": "two", "health_path": "/health", "conn_limit": 120, "deduplicates": true}]})
}

fn parse(config: &Value) -> anyhow::Result<Config> {
    Config::parse(config.to_string().as_bytes())
}

#[test]
fn a_request_takes_the_route_with_the_longest_matching_prefix() {
    let parsed = parse(&config()).expect("a valid configuration");
    assert_eq!(parsed.edition, Edition(12));
    let table = Table::new(&parsed);
    let line = |host: &str, path: &str| {
        table.find(host, path).map(|at| table.routes()[at].dispatch.weighted_services()[0].0.to_owned())
    };
    assert_eq!(line("a.example", "/x/1").as_deref(), Some("one"));
    assert_eq!(line("A.Example:80", "/x/y/1").as_deref(), Some("two"));
    assert_eq!(line("a.example", "/x/y").as_deref(), Some("one"));
    for (host, path) in
        [("a.example", "/x"), ("a.example", "/"), ("b.example", "/x/1"), ("c.example", "/x/1")]
    {
        assert_eq!(line(host, path), None, "{host}{path}");
    }
    // A prefix length may fall inside a multi-byte character of the path.
    assert_eq!(line("a.example", "/xé").as_deref(), None);
}

#[test]
fn each_kind_of_invalid_configuration_is_refused_with_the_field_name() {
    type Case<'a> = (&'a str, &'a dyn Fn(&mut Value), &'a str);
    let cases: [Case<'_>; 13] = [
        (
            "unknown service",
            &|c| c["gateways"][0]["regulations"][0]["dispatch"]["line"] = json!("no"),
            "line",
        ),
        (
            "two routes with the same host and prefix",
            &|c| c["gateways"][0]["regulations"][1] = route("/x/", "two"),
            "two routes",
        ),
        (
            "no timeout",
            &|c| c["gateways"][0]["regulations"][0]["dispatch"]["timeout"] = json!("0ms"),
            "timeout",
        ),
        ("empty host", &|c| c["gateways"][0]["station"] = json!(""), "station"),
        (
            "unknown route kind",
            &|c| c["gateways"][0]["regulations"][0]["route_kind"] = json!("maybe"),
            "maybe",
        ),
        (
            "target more than a minute above the timeout",
            &|c| c["gateways"][0]["regulations"][0]["target"] = json!("62s"),
            "target",
        ),
        ("version without eight digits", &|c| c["edition"] = json!("12"), "edition"),
        ("version with a sign", &|c| c["edition"] = json!("+000000c"), "edition"),
        (
            "no weight above 0",
            &|c| {
                c["gateways"][1]["regulations"][0]["dispatch"]["splits"] =
                    json!([{"line": "one", "share": 0}])
            },
            "share",
        ),
        (
            "neither service nor splits",
            &|c| c["gateways"][1]["regulations"][0]["dispatch"]["splits"] = json!([]),
            "splits",
        ),
        (
            "prefix without a final slash",
            &|c| c["gateways"][0]["regulations"][0]["sort_by"]["lane_prefix"] = json!("/x"),
            "lane_prefix",
        ),
        ("duration without a unit", &|c| c["gateways"][0]["regulations"][0]["target"] = json!("300"), "300"),
        ("two services with the same name", &|c| c["depots"][1]["name"] = json!("one"), "depots"),
    ];
    for (case, change, field) in cases {
        let mut changed = config();
        change(&mut changed);
        let error = format!("{:#}", parse(&changed).expect_err(case));
        assert!(error.contains(field), "{case}: {error:?} does not name {field}");
    }
    let whole = config().to_string();
    for cut in 0..whole.len() {
        assert!(Config::parse(&whole.as_bytes()[..cut]).is_err(), "cut at {cut}");
    }
    assert!(Config::parse(format!("{whole}{whole}").as_bytes()).is_err());
    // A target of slightly less than a minute above the timeout is accepted.
    let mut edge = config();
    edge["gateways"][0]["regulations"][0]["target"] = json!("61.999s");
    parse(&edge).expect("just under the bound");
}
