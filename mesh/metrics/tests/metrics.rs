//! Counters, gauges and invariants, and their text form.

use sloeline_metrics::{Counter, Gauge, Invariant, Metric, Metrics, render};

static SENT: Counter = Counter::new("sent_bytes_total", "Bytes sent.");
static OPEN: Gauge = Gauge::new("open_calls", "Calls without an answer.");
static SENDING: Metrics = &[&SENT];
static CALLING: Metrics = &[&OPEN];
static ORDERED: Invariant = Invariant::new("order_violations_total", "Versions go up");

#[test]
fn figures_are_rendered_with_help_and_kind() {
    SENT.add(41);
    SENT.increment();
    let open = OPEN.hold();
    let expected = "# HELP sent_bytes_total Bytes sent.\n# TYPE sent_bytes_total counter\nsent_bytes_total 42\n\
                    # HELP open_calls Calls without an answer.\n# TYPE open_calls gauge\nopen_calls 1\n";
    assert_eq!(render(&[SENDING, CALLING]), expected);
    drop(open);
    assert_eq!(OPEN.value(), 0);
}

#[test]
fn an_invariant_counts_only_what_violates_it() {
    assert!(ORDERED.check(true, || unreachable!("it holds")));
    assert!(!ORDERED.check(false, || "3 after 4".to_owned()));
    assert_eq!(ORDERED.violations(), 1);
}
