//! The adapter as a process, over hand-written exchanges.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETUP: &str = r#"{"Areas":["a","b"],"Balancers":2,"Categories":[{"DeadlineMs":1000.0,"DedupWindowMs":0.0,"Effect":"retryable","Group":"all","LateWorth":0.0,"Name":"get","Streaming":false,"TargetMs":500.0,"Value":1.0}],"ClientHabits":{"MarksRetry":true},"Discovery":"automatic","Extra":{"PassesDeadline":true},"Family":"chain","Goal":{"Whole":1.0},"GranularityMs":1.0,"Kinds":["k"],"Limits":{"Cancel":true,"MostTries":3,"NewLimit":7},"Me":0,"Realms":[],"Rules":{"ColdFrom":0.5,"DrainGraceMs":500.0,"OverloadFactor":3.0,"TipAfterMs":1000.0,"WarmAfterMs":5000.0},"Stage":0,"Stats":{"Fields":["backlog"],"How":"answers"},"Tariffs":{"CrossZone":0.01},"Tiers":["t"],"Weights":"none","WorthBy":"request","Zone":"a","SomethingNew":[1]}"#;

fn talk(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_finchshift-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child.stdin.take().expect("a pipe").write_all(input.as_bytes()).expect("it reads");
    child.wait_with_output().expect("it ends")
}

fn start(rest: &str) -> String {
    let table = r#"{"Table":{"SetId":3,"Items":[{"Upstream":"10.0.0.1:80","Locality":"a","Machine":"k","Group":0,"Condition":"on","Weight":1}]}}"#;
    format!(
        "{{\"BeginBatch\":{{\"NowMs\":10.5}}}}\n{{\"PowerOn\":{{\"BalancerId\":4,\"RngSeed\":5,\"Setup\":{SETUP}}}}}\n\
         {table}\n{{\"Fleet\":{{\"BalancerId\":4,\"Form\":\"stale_copy\",\"Index\":1,\"SetId\":3}}}}\n{rest}"
    )
}

const JOB: &str = r#"{"JobIn":{"BalancerId":4,"Rid":"r-1","Lane":"get","TimeLeftMs":240.0}}"#;
const COMMIT: &str = r#"{"Commit":{}}"#;

fn fails(input: &str, why: &str) {
    let out = fails_after(input, why);
    assert!(!String::from_utf8_lossy(&out.stdout).contains("CallOut"), "no half reply");
}

/// The adapter ends with one line that gives the line number and the cause, whatever it answered before.
fn fails_after(input: &str, why: &str) -> Output {
    let out = talk(input);
    assert!(!out.status.success(), "it should have failed on {input}");
    let text = String::from_utf8_lossy(&out.stderr);
    assert!(text.contains(why) && text.contains("line ") && text.lines().count() == 1, "{text}");
    out
}

#[test]
fn a_request_is_sent_and_its_outcome_taken() {
    let resolved = r#"{"Resolved":{"BalancerId":4,"Rid":"r-1","Trial":0,"Upstream":"10.0.0.1:80","Disposition":"S","TimeTakenMs":8.5,"Final":true,"Load":{"backlog":2,"unheard_of":1}}}"#;
    let batch = "{\"BeginBatch\":{\"NowMs\":30}}";
    let out = talk(&start(&format!("{JOB}\n{COMMIT}\n{batch}\n{resolved}\n{COMMIT}\n")));
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout).expect("UTF-8");
    let send = r#"{"CallOut":{"BalancerId":4,"Rid":"r-1","LimitMs":240.0,"Upstream":"10.0.0.1:80"}}"#;
    assert!(text.lines().any(|l| l == send), "{text}");
    assert_eq!(text.lines().filter(|l| *l == r#"{"Yield":{}}"#).count(), 2);
}

/// The lines of the replies, with the housekeeping timers left out.
fn lines(out: &Output) -> Vec<String> {
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout.clone()).expect("UTF-8");
    text.lines().filter(|l| !l.contains("Schedule")).map(str::to_owned).collect()
}

fn resolved(trial: u32, how: &str, rest: &str) -> String {
    format!(
        "{{\"Resolved\":{{\"BalancerId\":4,\"Rid\":\"r-1\",\"Trial\":{trial},\"Upstream\":\"10.0.0.1:80\",\
         \"Disposition\":\"{how}\",\"TimeTakenMs\":8.5{rest}}}}}"
    )
}

#[test]
fn every_outcome_is_understood() {
    // What never ran or is safe to repeat goes out again; what ended the request does not.
    for (how, again) in [
        ("E", true),
        ("F", true),
        ("T", true),
        ("C", true),
        ("R", true),
        ("X", true),
        ("N", true),
        ("S", false),
    ] {
        let rest = if again { "" } else { ",\"Final\":true" };
        let end = resolved(0, how, rest);
        let later = "{\"BeginBatch\":{\"NowMs\":60}}\n{\"Bell\":{\"BalancerId\":4,\"Ctx\":1}}";
        let input = format!(
            "{JOB}\n{COMMIT}\n{{\"BeginBatch\":{{\"NowMs\":30}}}}\n{end}\n{COMMIT}\n{later}\n{COMMIT}\n"
        );
        let sends = lines(&talk(&start(&input))).iter().filter(|l| l.contains("CallOut")).count();
        assert_eq!(sends, if again { 2 } else { 1 }, "{how}");
    }
    let unheard = start(&format!("{JOB}\n{COMMIT}\n")) + "{\"BeginBatch\":{\"NowMs\":30}}\n";
    fails_after(&(unheard + &resolved(0, "Q", "") + "\n"), "Q");
}

#[test]
fn an_outcome_after_the_final_answer_is_taken() {
    let gone = r#"{"Aborted":{"BalancerId":4,"Rid":"r-1"}}"#;
    let next = "{\"BeginBatch\":{\"NowMs\":30}}";
    let late = resolved(0, "T", ",\"Final\":true");
    let out = talk(&start(&format!("{JOB}\n{COMMIT}\n{next}\n{gone}\n{late}\n{late}\n{gone}\n{COMMIT}\n")));
    assert_eq!(
        lines(&out).iter().filter(|l| l.contains("r-1")).count(),
        1,
        "the one attempt and nothing after"
    );
}

#[test]
fn a_list_number_is_resolved_in_the_order_of_events() {
    let items = |n: u32| {
        format!(
            r#"{{"Table":{{"SetId":3,"Items":[{{"Upstream":"10.0.0.{n}:80","Locality":"a","Machine":"k","Group":0,"Condition":"on","Weight":1,"LastStartMs":0}}]}}}}"#
        )
    };
    let fleet = |i: u32| format!(r#"{{"Fleet":{{"BalancerId":4,"Form":"whole","Index":{i},"SetId":3}}}}"#);
    let input = format!("{}\n{}\n{}\n{}\n{JOB}\n{COMMIT}\n", items(7), fleet(2), items(8), fleet(3));
    let sent = lines(&talk(&start(&input)));
    assert!(sent.iter().any(|l| l.contains("CallOut") && l.contains("10.0.0.8:80")), "{sent:?}");
}

#[test]
fn an_instance_starts_again_in_the_batch_that_killed_it() {
    let stop = r#"{"Teardown":{"BalancerId":4}}"#;
    let again = start("").lines().skip(1).collect::<Vec<_>>().join("\n");
    let next = "{\"BeginBatch\":{\"NowMs\":30}}";
    let out = talk(&start(&format!(
        "{JOB}\n{COMMIT}\n{next}\n{stop}\n{again}\n{}\n{JOB}\n{COMMIT}\n",
        resolved(0, "T", "")
    )));
    assert_eq!(lines(&out).iter().filter(|l| l.contains("CallOut")).count(), 2, "one attempt in each life");
}

#[test]
fn tenants_streams_probes_and_failed_lists_are_understood() {
    let shared = start("").replace(
        r#""Realms":[]"#,
        r#""Realms":[{"Name":"north","QuotaRps":5.0,"Share":0.5}],"OverShareWorth":0.1"#,
    );
    let job = JOB.replace("\"Lane\"", "\"Owner\":\"north\",\"TargetKey\":\"k\",\"Update\":true,\"Lane\"");
    let ack =
        r#"{"AckFirst":{"BalancerId":4,"Rid":"r-1","Trial":0,"TimeTakenMs":3,"Upstream":"10.0.0.1:80"}}"#;
    let echo = r#"{"Echo":{"BalancerId":4,"Upstream":"10.0.0.1:80","Disposition":"S","TimeTakenMs":3,"Load":{"outstanding":1,"recent_ms":4,"x9":1}}}"#;
    let broken = r#"{"Fleet":{"BalancerId":4,"Form":"broken","Index":1}}"#;
    let sent = lines(&talk(&format!("{shared}{job}\n{ack}\n{echo}\n{broken}\n{COMMIT}\n")));
    assert_eq!(sent.iter().filter(|l| l.contains("CallOut")).count(), 1, "{sent:?}");
    fails(&format!("{shared}{}\n{COMMIT}\n", job.replace("north", "south")), "unknown tenant");
}

#[test]
fn events_for_unknown_instances_and_peers_are_passed_over() {
    let peer = r#"{"Peer":{"BalancerId":4,"Sender":1,"Contents":"x"}}"#;
    let gone = r#"{"Aborted":{"BalancerId":4,"Rid":"nobody"}}"#;
    let stop = r#"{"Teardown":{"BalancerId":9}}"#;
    assert!(talk(&start(&format!("{peer}\n{gone}\n{stop}\n{COMMIT}\n"))).status.success());
}

#[test]
fn the_end_of_input_is_a_clean_exit() {
    assert!(talk("").status.success());
}

#[test]
fn malformed_input_ends_it_with_a_plain_message() {
    fails("{\"BeginBatch\":{\"NowMs\":1}}\nnonsense\n", "line 2");
    fails("{\"BeginBatch\":{\"NowMs\":1}}\n{\"Unheard\":{}}\n", "Unheard");
    fails("{\"BeginBatch\":{}}\n", "NowMs");
    fails("{\"Commit\":{}}\n", "outside a batch");
    fails(&start(JOB), "inside a batch");
    fails(&start(&format!("{}\n{COMMIT}\n", JOB.replace("\"get\"", "\"got\""))), "unknown class");
    fails(&start(&format!("{}\n{COMMIT}\n", JOB.replace(",\"TimeLeftMs\":240.0", ""))), "TimeLeftMs");
    let senseless = start(COMMIT).replace("\"MostTries\":3", "\"MostTries\":0");
    fails(&senseless, "no attempts allowed");
}
