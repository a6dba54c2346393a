//! Tests counters, gauges and invariants, and their Prometheus text format.

use sloeline_metrics::{Counter, Gauge, Invariant, Metric, Metrics, render};

static SENT: Counter = Counter::new("sent_bytes_total", "Bytes sent.");
static OPEN: Gauge = Gauge::new("open_calls", "Calls without an answer.");
static SEND_METRICS: Metrics = &[&SENT];
static CALL_METRICS: Metrics = &[&OPEN];
static VERSIONS_INCREASE: Invariant = Invariant::new("order_violations_total", "Versions increase");

#[test]
fn metrics_are_rendered_with_help_and_type() {
    SENT.add(41);
    SENT.increment();
    let open = OPEN.count_while_held();
    let expected = "# HELP sent_bytes_total Bytes sent.\n# TYPE sent_bytes_total counter\nsent_bytes_total 42\n\
                    # HELP open_calls Calls without an answer.\n# TYPE open_calls gauge\nopen_calls 1\n";
    assert_eq!(render(&[SEND_METRICS, CALL_METRICS]), expected);
    drop(open);
    assert_eq!(OPEN.value(), 0);
}

#[test]
fn an_invariant_counts_only_violations() {
    assert!(VERSIONS_INCREASE.check(true, || unreachable!("it holds")));
    assert!(!VERSIONS_INCREASE.check(false, || "3 after 4".to_owned()));
    assert_eq!(VERSIONS_INCREASE.violations(), 1);
}
