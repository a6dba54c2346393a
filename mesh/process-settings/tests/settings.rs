//! Tests which settings files are accepted, which keys are ignored, and the errors for invalid files.

use sloeline_process_settings::Settings;
use sloeline_process_settings::file::{SettingsFile, fields_needing_restart};
use sloeline_process_settings::span::{Span, parse_span};

const GOOD: &str = r#"
node_name = "branch-a-1"
ip_addr = "10.1.0.8"
zone_name = "a"
port_range = [7620,7635]
seed_nodes = ["10.1.0.13:8306"]
first_boot = true
beat = "1500ms"
guarantees = ["key_window=60s","grace=6s","retry_ratio=0.2","something_new=true"]
a_field_of_tomorrow = { x = 1 }
app_addr = "10.1.0.8:8301"
line = "one"
[zones]
a = "r"
[docks]
incoming = "10.1.0.8:8300"
[size_limits]
cpu_share = 0.2
memory_mb = 260
file_handles = 4100
[tolerance]
machine_loss = 1
"#;

#[test]
fn a_settings_file_is_parsed_and_unknown_keys_are_ignored() {
    let settings = Settings::parse(GOOD).expect("good settings");
    assert_eq!(settings.mesh_address().to_string(), "10.1.0.8:7620");
    assert_eq!(settings.mesh_bind_address(), settings.mesh_address());
    assert_eq!(settings.mesh_address_of(settings.seed_nodes[0]).to_string(), "10.1.0.13:7620");
    let guarantees = settings.guarantees().expect("good guarantees");
    assert_eq!((guarantees.key_window, guarantees.retry_ratio), (Span::from_millis(60_000), 0.2));
    // A guarantee missing from the file has its default.
    assert_eq!(guarantees.drain, Span::from_millis(2000));
}

#[test]
fn an_invalid_value_is_reported_with_its_key() {
    for (from, to, key) in [
        ("\"branch-a-1\"", "\"\"", "node_name"),
        ("[7620,7635]", "[7635,7620]", "port_range"),
        ("0.2\nmemory", "0.0\nmemory", "cpu_share"),
        ("file_handles = 4100", "file_handles = 3", "file_handles"),
        ("grace=6s", "grace=6", "grace"),
        ("retry_ratio=0.2", "retry_ratio=-1", "retry_ratio"),
        ("\"retry_ratio=0.2\"", "\"retry_ratio\"", "name=value"),
        ("10.1.0.13:8306", "10.1.0.13", "seed_nodes"),
        ("ip_addr = \"10.1.0.8\"", "", "ip_addr"),
    ] {
        let text = GOOD.replacen(from, to, 1);
        assert_ne!(text, GOOD, "{from}");
        let error = format!("{:#}", Settings::parse(&text).expect_err(key));
        assert!(error.contains(key), "{error:?} does not name {key}");
    }
}

#[test]
fn a_duration_is_a_number_and_a_unit() {
    for (text, micros) in
        [("1500ms", 1_500_000), ("2.5s", 2_500_000), ("0ms", 0), ("0.25ms", 250), ("86400s", 86_400_000_000)]
    {
        assert_eq!(parse_span(text).ok(), Some(Span(micros)), "{text}");
    }
    for text in ["", "s", "ms", "1", "-1s", "1e3ms", "+1s", "1 s", "infs", "nans", "1m", "86401s", "1.2.3s"] {
        assert!(parse_span(text).is_err(), "{text}");
    }
}

#[test]
fn a_changed_file_is_reloaded_and_an_invalid_one_changes_nothing() {
    let path = std::env::temp_dir().join(format!("sloeline-settings-{}.toml", std::process::id()));
    std::fs::write(&path, GOOD).expect("a file");
    let mut file = SettingsFile::open(path.clone()).expect("good settings");
    assert!(file.reload(true).expect("readable").is_none(), "the content is unchanged");
    // A changed seed is noticed without a signal.
    std::fs::write(&path, GOOD.replace("10.1.0.13:8306", "10.1.0.113:8306")).expect("a file");
    let seeds = file.reload(false).expect("readable").expect("a change").seed_nodes.clone();
    assert_eq!(seeds[0].to_string(), "10.1.0.113:8306");
    // An invalid file is reported once, with its key, and the former settings stay in force.
    std::fs::write(&path, GOOD.replace("[7620,7635]", "[7635,7620]")).expect("a file");
    let error = format!("{:#}", file.reload(false).expect_err("an invalid port range"));
    assert!(error.contains("port_range"), "{error}");
    assert!(file.reload(false).expect("reported once").is_none());
    assert_eq!(file.settings().seed_nodes[0].to_string(), "10.1.0.113:8306");
    // Keys that need a restart are reported.
    let before = file.settings().clone();
    std::fs::write(&path, GOOD.replace("grace=6s", "grace=7s")).expect("a file");
    let after = file.reload(true).expect("readable").expect("a change");
    assert_eq!(fields_needing_restart(&before, after), ["guarantees"]);
    std::fs::remove_file(&path).expect("the file");
    assert!(file.reload(true).is_err(), "a deleted file");
}

#[test]
fn a_process_may_listen_at_another_address_than_it_is_reached_at() {
    let text = "node_name = \"m\"\nip_addr = \"10.1.0.8\"\nmesh_bind_addr = \"10.9.0.8\"\nzone_name = \"a\"\nport_range = [7620,7635]\n";
    let settings = Settings::parse(text).expect("good settings");
    assert_eq!(settings.mesh_address().to_string(), "10.1.0.8:7620");
    assert_eq!(settings.mesh_bind_address().to_string(), "10.9.0.8:7620");
    assert!(Settings::parse(&text.replace("10.9.0.8", "no address")).is_err());
}
