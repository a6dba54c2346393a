//! Recorded beats of upstreams, played against what a balancer makes of them.

use sloeline_data_plane::beats::{Beat, Beats};
use sloeline_discovery::Condition;

fn beat(condition: &str, sequence: u64, cold: &str) -> Beat {
    let body = format!(
        r#"{{"address":"10.128.0.9:8080","notice":{{"line":"one","edition":"v1","zone_name":"a","berths":6}},
        "tracking":{{"condition":"{condition}","sequence":{sequence},"cold_left":"{cold}"}},"later":1}}"#
    );
    Beat::parse(body.as_bytes()).expect("a beat")
}

fn condition(beats: &Beats) -> Option<Condition> {
    beats.upstream().map(|u| u.condition)
}

#[test]
fn a_life_goes_from_accepting_to_closing_to_its_end_and_never_back() {
    let mut beats = Beats::default();
    assert!(beats.beat(1_000, "i-1", &beat("accepting", 1, "3s")));
    assert_eq!(beats.upstream().and_then(|u| u.cold_until_micros), Some(3_001_000));
    // The same again says nothing new, however much the cold has shrunk.
    assert!(!beats.beat(2_000, "i-1", &beat("accepting", 2, "2s")));
    assert!(beats.beat(3_000, "i-1", &beat("closing", 4, "0ms")));
    // A late one, and one that contradicts.
    assert!(!beats.beat(4_000, "i-1", &beat("accepting", 3, "0ms")));
    assert!(!beats.beat(5_000, "i-1", &beat("accepting", 5, "0ms")));
    assert_eq!(condition(&beats), Some(Condition::Closing));
    assert!(beats.leave("i-1"));
    assert!(!beats.beat(6_000, "i-1", &beat("accepting", 6, "0ms")));
    assert_eq!(condition(&beats), Some(Condition::Down));
}

#[test]
fn a_new_life_replaces_the_old_one_whose_late_words_say_nothing() {
    let mut beats = Beats::default();
    beats.beat(0, "i-1", &beat("accepting", 9, "0ms"));
    assert!(beats.beat(0, "i-2", &beat("accepting", 1, "0ms")));
    assert!(!beats.beat(0, "i-1", &beat("closing", 10, "0ms")));
    assert!(!beats.leave("i-1"));
    assert_eq!(beats.upstream().map(|u| u.id.as_str()), Some("i-2"));
}

#[test]
fn one_that_cannot_be_reached_is_back_with_its_next_beat() {
    let mut beats = Beats::default();
    beats.beat(0, "i-1", &beat("accepting", 1, "0ms"));
    assert!(beats.unreachable("i-1") && !beats.unreachable("i-1"));
    assert_eq!(condition(&beats), Some(Condition::Down));
    assert!(beats.beat(0, "i-1", &beat("accepting", 2, "0ms")));
    assert_eq!(condition(&beats), Some(Condition::Accepting));
}

#[test]
fn what_is_no_beat_is_told_why() {
    for (body, told) in [
        ("", "beat"),
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
        let why = format!("{:#}", Beat::parse(body.as_bytes()).expect_err(body));
        assert!(why.contains(told), "{body}: {why}");
    }
}
