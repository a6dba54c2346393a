//! Runs the adapter as a process, with hand-written messages.

use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings of the instance, with keys that the adapter does not know.
const SETUP: &str = r#"{"Areas":["a","b"],"Balancers":2,"Categories":[{"DeadlineMs":1000.0,"DedupWindowMs":0.0,"Effect":"retryable","Group":"all","LateWorth":0.0,"Name":"get","Streaming":false,"TargetMs":500.0,"Value":1.0}],"ClientHabits":{"MarksRetry":true},"Discovery":"automatic","Extra":{"PassesDeadline":true},"Family":"chain","Goal":{"Whole":1.0},"GranularityMs":1.0,"Kinds":["k"],"Limits":{"Cancel":true,"MostTries":3,"NewLimit":7},"Me":0,"Realms":[],"Rules":{"ColdFrom":0.5,"DrainGraceMs":500.0,"OverloadFactor":3.0,"TipAfterMs":1000.0,"WarmAfterMs":5000.0},"Stage":0,"Stats":{"Fields":["backlog"],"How":"answers"},"Tariffs":{"CrossZone":0.01},"Tiers":["t"],"Weights":"none","WorthBy":"request","Zone":"a","SomethingNew":[1]}"#;

/// Runs the adapter on an input and returns its output.
fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_finchshift-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("adapter starts");
    child
        .stdin
        .take()
        .expect("stdin is a pipe")
        .write_all(input.as_bytes())
        .expect("adapter reads its input");
    child.wait_with_output().expect("adapter exits")
}

/// A batch that starts an instance with one server, followed by `rest`.
fn start(rest: &str) -> String {
    let table = r#"{"Table":{"SetId":3,"Items":[{"Upstream":"10.0.0.1:80","Locality":"a","Machine":"k","Group":0,"Condition":"on","Weight":1}]}}"#;
    format!(
        "{{\"BeginBatch\":{{\"NowMs\":10.5}}}}\n{{\"PowerOn\":{{\"BalancerId\":4,\"RngSeed\":5,\"Setup\":{SETUP}}}}}\n\
         {table}\n{{\"Fleet\":{{\"BalancerId\":4,\"Form\":\"stale_copy\",\"Index\":1,\"SetId\":3}}}}\n{rest}"
    )
}

/// A request.
const REQUEST: &str = r#"{"JobIn":{"BalancerId":4,"Rid":"r-1","Lane":"get","TimeLeftMs":240.0}}"#;
const COMMIT: &str = r#"{"Commit":{}}"#;

/// Expects the adapter to fail without any action for the request.
fn assert_fails(input: &str, reason: &str) {
    let out = assert_fails_after_replies(input, reason);
    assert!(!String::from_utf8_lossy(&out.stdout).contains("CallOut"), "no partial reply");
}

/// Expects the adapter to fail with a one-line message that has the number of the input line and the reason. It may have
/// replied to earlier batches.
fn assert_fails_after_replies(input: &str, reason: &str) -> Output {
    let out = run_adapter(input);
    assert!(!out.status.success(), "expected a failure on {input}");
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(text.contains(reason) && text.contains("line ") && text.lines().count() == 1, "{text}");
    out
}

#[test]
fn sends_a_request_and_accepts_its_outcome() {
    let resolved = r#"{"Resolved":{"BalancerId":4,"Rid":"r-1","Trial":0,"Upstream":"10.0.0.1:80","Disposition":"S","TimeTakenMs":8.5,"Final":true,"Load":{"backlog":2,"unheard_of":1}}}"#;
    let batch = "{\"BeginBatch\":{\"NowMs\":30}}";
    let out = run_adapter(&start(&format!("{REQUEST}\n{COMMIT}\n{batch}\n{resolved}\n{COMMIT}\n")));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    let send = r#"{"CallOut":{"BalancerId":4,"Rid":"r-1","LimitMs":240.0,"Upstream":"10.0.0.1:80"}}"#;
    assert!(text.lines().any(|l| l == send), "{text}");
    assert_eq!(text.lines().filter(|l| *l == r#"{"Yield":{}}"#).count(), 2);
}

/// The reply lines without timers.
fn lines(out: &Output) -> Vec<String> {
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout.clone()).expect("UTF-8");
    text.lines().filter(|l| !l.contains("Schedule")).map(str::to_owned).collect()
}

/// A message that ends an attempt; `rest` holds more fields.
fn resolved(attempt: u32, outcome: &str, rest: &str) -> String {
    format!(
        "{{\"Resolved\":{{\"BalancerId\":4,\"Rid\":\"r-1\",\"Trial\":{attempt},\"Upstream\":\"10.0.0.1:80\",\
         \"Disposition\":\"{outcome}\",\"TimeTakenMs\":8.5{rest}}}}}"
    )
}

#[test]
fn accepts_every_outcome() {
    // The request is safe to repeat, so it is retried after every outcome except success.
    for (outcome, retried) in [
        ("E", true),
        ("F", true),
        ("T", true),
        ("C", true),
        ("R", true),
        ("X", true),
        ("N", true),
        ("S", false),
    ] {
        let rest = if retried { "" } else { ",\"Final\":true" };
        let end = resolved(0, outcome, rest);
        let later = "{\"BeginBatch\":{\"NowMs\":60}}\n{\"Bell\":{\"BalancerId\":4,\"Ctx\":1}}";
        let input = format!(
            "{REQUEST}\n{COMMIT}\n{{\"BeginBatch\":{{\"NowMs\":30}}}}\n{end}\n{COMMIT}\n{later}\n{COMMIT}\n"
        );
        let sends = lines(&run_adapter(&start(&input))).iter().filter(|l| l.contains("CallOut")).count();
        assert_eq!(sends, if retried { 2 } else { 1 }, "{outcome}");
    }
    let unknown = start(&format!("{REQUEST}\n{COMMIT}\n")) + "{\"BeginBatch\":{\"NowMs\":30}}\n";
    assert_fails_after_replies(&(unknown + &resolved(0, "Q", "") + "\n"), "Q");
}

#[test]
fn accepts_an_outcome_after_the_final_answer() {
    let gone = r#"{"Aborted":{"BalancerId":4,"Rid":"r-1"}}"#;
    let next = "{\"BeginBatch\":{\"NowMs\":30}}";
    let late = resolved(0, "T", ",\"Final\":true");
    let out = run_adapter(&start(&format!(
        "{REQUEST}\n{COMMIT}\n{next}\n{gone}\n{late}\n{late}\n{gone}\n{COMMIT}\n"
    )));
    assert_eq!(
        lines(&out).iter().filter(|l| l.contains("r-1")).count(),
        1,
        "one attempt and no further reply"
    );
}

#[test]
fn resolves_list_ids_in_message_order() {
    let items = |n: u32| {
        format!(
            r#"{{"Table":{{"SetId":3,"Items":[{{"Upstream":"10.0.0.{n}:80","Locality":"a","Machine":"k","Group":0,"Condition":"on","Weight":1,"LastStartMs":0}}]}}}}"#
        )
    };
    let fleet = |i: u32| format!(r#"{{"Fleet":{{"BalancerId":4,"Form":"whole","Index":{i},"SetId":3}}}}"#);
    let input = format!("{}\n{}\n{}\n{}\n{REQUEST}\n{COMMIT}\n", items(7), fleet(2), items(8), fleet(3));
    let sent = lines(&run_adapter(&start(&input)));
    assert!(sent.iter().any(|l| l.contains("CallOut") && l.contains("10.0.0.8:80")), "{sent:?}");
}

#[test]
fn restarts_an_instance_in_the_batch_that_stopped_it() {
    let stop = r#"{"Teardown":{"BalancerId":4}}"#;
    let again = start("").lines().skip(1).collect::<Vec<_>>().join("\n");
    let next = "{\"BeginBatch\":{\"NowMs\":30}}";
    let out = run_adapter(&start(&format!(
        "{REQUEST}\n{COMMIT}\n{next}\n{stop}\n{again}\n{}\n{REQUEST}\n{COMMIT}\n",
        resolved(0, "T", "")
    )));
    assert_eq!(
        lines(&out).iter().filter(|l| l.contains("CallOut")).count(),
        2,
        "one attempt before and one after the restart"
    );
}

#[test]
fn accepts_tenants_streams_probes_and_failed_lists() {
    let shared = start("").replace(
        r#""Realms":[]"#,
        r#""Realms":[{"Name":"north","QuotaRps":5.0,"Share":0.5}],"OverShareWorth":0.1"#,
    );
    let job = REQUEST.replace("\"Lane\"", "\"Owner\":\"north\",\"TargetKey\":\"k\",\"Update\":true,\"Lane\"");
    let ack =
        r#"{"AckFirst":{"BalancerId":4,"Rid":"r-1","Trial":0,"TimeTakenMs":3,"Upstream":"10.0.0.1:80"}}"#;
    let echo = r#"{"Echo":{"BalancerId":4,"Upstream":"10.0.0.1:80","Disposition":"S","TimeTakenMs":3,"Load":{"outstanding":1,"recent_ms":4,"x9":1}}}"#;
    let broken = r#"{"Fleet":{"BalancerId":4,"Form":"broken","Index":1}}"#;
    let sent = lines(&run_adapter(&format!("{shared}{job}\n{ack}\n{echo}\n{broken}\n{COMMIT}\n")));
    assert_eq!(sent.iter().filter(|l| l.contains("CallOut")).count(), 1, "{sent:?}");
    assert_fails(&format!("{shared}{}\n{COMMIT}\n", job.replace("north", "south")), "unknown tenant");
}

#[test]
fn ignores_peers_and_unknown_instances() {
    let peer = r#"{"Peer":{"BalancerId":4,"Sender":1,"Contents":"x"}}"#;
    let gone = r#"{"Aborted":{"BalancerId":4,"Rid":"nobody"}}"#;
    let stop = r#"{"Teardown":{"BalancerId":9}}"#;
    assert!(run_adapter(&start(&format!("{peer}\n{gone}\n{stop}\n{COMMIT}\n"))).status.success());
}

#[test]
fn exits_cleanly_at_the_end_of_input() {
    assert!(run_adapter("").status.success());
}

#[test]
fn malformed_input_fails_with_a_clear_message() {
    assert_fails("{\"BeginBatch\":{\"NowMs\":1}}\nnonsense\n", "line 2");
    assert_fails("{\"BeginBatch\":{\"NowMs\":1}}\n{\"Unheard\":{}}\n", "Unheard");
    assert_fails("{\"BeginBatch\":{}}\n", "NowMs");
    assert_fails("{\"Commit\":{}}\n", "outside a batch");
    assert_fails(&start(REQUEST), "inside a batch");
    assert_fails(&start(&format!("{}\n{COMMIT}\n", REQUEST.replace("\"get\"", "\"got\""))), "unknown class");
    assert_fails(
        &start(&format!("{}\n{COMMIT}\n", REQUEST.replace(",\"TimeLeftMs\":240.0", ""))),
        "TimeLeftMs",
    );
    let invalid = start(COMMIT).replace("\"MostTries\":3", "\"MostTries\":0");
    assert_fails(&invalid, "no attempts allowed");
}
