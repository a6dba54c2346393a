//! Feeds recorded heartbeats of upstreams to the tracker of a balancer.

use sloeline_data_plane::heartbeats::{Heartbeat, UpstreamTracker, is_valid_id};
use sloeline_discovery::Condition;

/// A heartbeat with a condition, a sequence number and a remaining warm-up time.
fn heartbeat(condition: &str, sequence: u64, cold: &str) -> Heartbeat {
    let body = format!(
        r#"{{"address":"10.128.0.9:8080","notice":{{"line":"one","edition":"v1","zone_name":"a","berths":6}},
        "tracking":{{"condition":"{condition}","sequence":{sequence},"cold_left":"{cold}"}},"later":1}}"#
    );
    Heartbeat::parse(body.as_bytes()).expect("a valid heartbeat")
}

/// The condition of the upstream as the tracker knows it.
fn condition(tracker: &UpstreamTracker) -> Option<Condition> {
    tracker.upstream().map(|u| u.condition)
}

#[test]
fn an_upstream_goes_from_accepting_to_closing_to_down_and_never_back() {
    let mut tracker = UpstreamTracker::default();
    assert!(tracker.record_heartbeat(1_000, "i-1", &heartbeat("accepting", 1, "3s")));
    assert_eq!(tracker.upstream().and_then(|u| u.cold_until_micros), Some(3_001_000));
    // A repeated heartbeat changes nothing, although the remaining warm-up time is shorter.
    assert!(!tracker.record_heartbeat(2_000, "i-1", &heartbeat("accepting", 2, "2s")));
    assert!(tracker.record_heartbeat(3_000, "i-1", &heartbeat("closing", 4, "0ms")));
    // A heartbeat that arrives late, and one that contradicts the closing state.
    assert!(!tracker.record_heartbeat(4_000, "i-1", &heartbeat("accepting", 3, "0ms")));
    assert!(!tracker.record_heartbeat(5_000, "i-1", &heartbeat("accepting", 5, "0ms")));
    assert_eq!(condition(&tracker), Some(Condition::Closing));
    assert!(tracker.record_leave("i-1"));
    assert!(!tracker.record_heartbeat(6_000, "i-1", &heartbeat("accepting", 6, "0ms")));
    assert_eq!(condition(&tracker), Some(Condition::Down));
}

#[test]
fn a_new_instance_replaces_the_old_one_whose_late_messages_are_ignored() {
    let mut tracker = UpstreamTracker::default();
    tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 9, "0ms"));
    assert!(tracker.record_heartbeat(0, "i-2", &heartbeat("accepting", 1, "0ms")));
    assert!(!tracker.record_heartbeat(0, "i-1", &heartbeat("closing", 10, "0ms")));
    assert!(!tracker.record_leave("i-1"));
    assert_eq!(tracker.upstream().map(|u| u.id.as_str()), Some("i-2"));
}

/// Guards against a late heartbeat of an earlier instance that puts the present one out for good, when it is the first that a
/// new process hears of that earlier instance.
#[test]
fn the_present_instance_returns_after_a_late_heartbeat_of_an_earlier_one() {
    let mut tracker = UpstreamTracker::default();
    let present = |tracker: &UpstreamTracker| tracker.upstream().map(|u| u.id.clone());
    tracker.record_heartbeat(0, "i-2", &heartbeat("accepting", 1, "0ms"));
    tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 40, "0ms"));
    assert_eq!(present(&tracker).as_deref(), Some("i-1"), "it may as well be a new one");
    assert!(tracker.knows("i-1") && tracker.knows("i-2"));
    tracker.record_heartbeat(0, "i-2", &heartbeat("accepting", 2, "0ms"));
    assert!(tracker.record_heartbeat(0, "i-2", &heartbeat("accepting", 3, "0ms")));
    assert_eq!(present(&tracker).as_deref(), Some("i-2"));
    // A replaced instance does not return by single late heartbeats while the present one sends its own, nor by repeated ones.
    for sequence in 4..20 {
        assert!(!tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 40 + sequence, "0ms")));
        assert!(!tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 40 + sequence, "0ms")));
        assert!(!tracker.record_heartbeat(0, "i-2", &heartbeat("accepting", sequence, "0ms")));
        assert_eq!(present(&tracker).as_deref(), Some("i-2"));
    }
}

/// Guards against a report of an instance that is not known yet, and is believed when its late heartbeat comes.
#[test]
fn an_instance_that_left_before_it_was_known_never_comes_up() {
    let mut tracker = UpstreamTracker::default();
    assert!(!tracker.knows("i-1") && !tracker.record_leave("i-1") && tracker.knows("i-1"));
    assert!(!tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 7, "0ms")));
    assert!(tracker.upstream().is_none());
    assert!(!tracker.is_end_stored("i-1"));
    tracker.record_end_stored("i-1");
    assert!(tracker.is_end_stored("i-1"));
}

/// Guards against a late `closing` of an earlier instance that closes the present one.
#[test]
fn an_unknown_instance_that_closes_takes_nobodys_place() {
    let mut tracker = UpstreamTracker::default();
    tracker.record_heartbeat(0, "i-2", &heartbeat("accepting", 1, "0ms"));
    assert!(!tracker.record_heartbeat(0, "i-1", &heartbeat("closing", 40, "0ms")));
    assert_eq!(condition(&tracker), Some(Condition::Accepting));
    assert!(!tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 41, "0ms")));
    assert_eq!(tracker.upstream().map(|u| u.id.as_str()), Some("i-2"));
}

/// Guards against an instance that had said `closing`, was replaced, and accepts requests again.
#[test]
fn an_instance_that_was_closing_when_it_was_replaced_never_returns() {
    let mut tracker = UpstreamTracker::default();
    tracker.record_heartbeat(0, "i-1", &heartbeat("closing", 1, "0ms"));
    tracker.record_heartbeat(0, "i-2", &heartbeat("accepting", 1, "0ms"));
    for sequence in 2..6 {
        assert!(!tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", sequence, "0ms")));
    }
    assert_eq!(tracker.upstream().map(|u| u.id.as_str()), Some("i-2"));
}

#[test]
fn an_unreachable_upstream_is_available_after_its_next_heartbeat() {
    let mut tracker = UpstreamTracker::default();
    tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 1, "0ms"));
    assert!(tracker.mark_unreachable("i-1") && !tracker.mark_unreachable("i-1"));
    assert_eq!(condition(&tracker), Some(Condition::Down));
    assert!(tracker.record_heartbeat(0, "i-1", &heartbeat("accepting", 2, "0ms")));
    assert_eq!(condition(&tracker), Some(Condition::Accepting));
}

#[test]
fn invalid_heartbeats_are_rejected_with_a_reason() {
    for (body, expected) in [
        ("", "heartbeat"),
        ("{}", "address"),
        (
            r#"{"address":"x","notice":{"line":"a","berths":1},"tracking":{"condition":"accepting","sequence":1}}"#,
            "address",
        ),
        (
            r#"{"address":"1.2.3.4:5","notice":{"line":"a","berths":0},"tracking":{"condition":"accepting","sequence":1}}"#,
            "berths",
        ),
        (
            r#"{"address":"1.2.3.4:5","notice":{"line":"","berths":1},"tracking":{"condition":"accepting","sequence":1}}"#,
            "line",
        ),
        (
            r#"{"address":"1.2.3.4:5","notice":{"line":"a","berths":1},"tracking":{"condition":"tired","sequence":1}}"#,
            "tired",
        ),
    ] {
        let error = format!("{:#}", Heartbeat::parse(body.as_bytes()).expect_err(body));
        assert!(error.contains(expected), "{body}: {error}");
    }
}

/// Guards against upstreams whose id gets lost on the way, so that a balancer has nothing to compare.
#[test]
fn an_id_is_valid_if_a_header_carries_it_as_it_is() {
    for id in ["", " i-1", "i-1\t", "i 1", "i\n1", "i\u{7f}1"] {
        assert!(!is_valid_id(id), "{id:?}");
    }
    assert!(is_valid_id("i-7f3a91c2") && is_valid_id("i-ü") && is_valid_id(&"i".repeat(255)));
    assert!(!is_valid_id(&"i".repeat(256)));
}
