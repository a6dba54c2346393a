//! Table of all log events. Event names do not change between releases, so that log searches continue to work after an
//! upgrade. The operators' reference, `docs/EVENTS.md`, is generated from this table by [`reference()`]; a test compares the
//! two.

use std::fmt::Write;

use tracing::Level;

/// A kind of log event.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// Stable name of the event in the log.
    pub name: &'static str,
    /// Severity of the event.
    pub level: Level,
    /// Area of the system that emits the event; log levels are set per area.
    pub area: &'static str,
    /// Names of the event's fields. The event is rate-limited per value of the first field.
    pub fields: &'static [&'static str],
    /// Meaning of the event, for the operators' reference.
    pub meaning: &'static str,
    /// Action that an operator should take, for the operators' reference.
    pub action: &'static str,
}

/// Areas of events about operators' actions and their effects. They are not rate-limited, so that the audit trail of who did
/// what is complete.
const UNLIMITED_AREAS: [&str; 5] = ["config", "process", "orders", "control", "link"];

impl Event {
    /// Whether the event is rate-limited. Events that peers or requests can cause at any rate are limited.
    pub fn limited(&self) -> bool {
        !UNLIMITED_AREAS.contains(&self.area) && self.level != Level::TRACE
    }
}

macro_rules! events {
    ($($id:ident: $level:ident, $area:literal, $name:literal, [$($field:literal),*], $meaning:literal, $action:literal;)*) => {
        $(
            #[doc = $meaning]
            pub const $id: Event = Event {
                name: $name,
                level: Level::$level,
                area: $area,
                fields: &[$($field),*],
                meaning: $meaning,
                action: $action,
            };
        )*
        /// All events, in the order of the reference.
        pub const ALL: &[Event] = &[$($id),*];
        /// Names of the constants of the events, in the order of [`ALL`].
        pub const CONSTANTS: &[&str] = &[$(stringify!($id)),*];
    };
}

events! {
    DEFECT: ERROR, "defect", "defect", ["what"],
        "an internal error that should not happen; the request was still answered",
        "report it, with a snapshot";
    CONFIG_PROBLEM: WARN, "config", "config.problem", ["file"],
        "an error in a configuration file, or an entry that is not used",
        "fix the line; a file with errors is not applied";
    CONFIG_RELOADED: INFO, "config", "config.read", [],
        "a reloaded configuration was applied",
        "nothing";
    CONFIG_RELOAD_REJECTED: WARN, "config", "config.kept", ["why"],
        "a reload failed; the running configuration stays in force",
        "fix the reported problem and send SIGHUP again";
    LISTENER_STARTED: INFO, "process", "process.listening", ["listener", "address"],
        "a listener accepts connections",
        "nothing";
    LISTENER_STOPPED: INFO, "process", "process.listening-ended", ["listener", "address"],
        "a listener was removed by a reload",
        "nothing";
    CONNECTIONS_UNFINISHED: WARN, "process", "process.connections-left", ["listener"],
        "clients did not read their responses before the shutdown ended",
        "nothing";
    STOPPING: INFO, "process", "process.stopping", [],
        "the process was asked to stop",
        "nothing";
    POOL_DRAINED: INFO, "process", "process.pool-ended", ["pool"],
        "a removed pool has answered all its requests",
        "its upstreams may be stopped";
    ORDER_GIVEN: INFO, "orders", "order.given", ["who", "thing"],
        "an operator gave an order",
        "nothing";
    ORDER_WITHDRAWN: INFO, "orders", "order.taken-back", ["who", "thing"],
        "an operator withdrew orders",
        "nothing";
    ORDER_EXPIRED: INFO, "orders", "order.over", ["id", "who"],
        "an order expired",
        "nothing; give the order again if it should continue";
    ORDER_RESTORED: INFO, "orders", "order.stands", ["id", "who"],
        "an order given before a restart is still in force",
        "nothing";
    ORDERS_NOT_SAVED: WARN, "orders", "orders.not-kept", ["why"],
        "orders are in force, but could not be saved and would be lost if this process ended",
        "free disk space or stop the other process, then give an order again";
    ORDERS_CORRUPT: ERROR, "orders", "orders.spoilt", ["why"],
        "the file of orders is corrupt: the latest orders, or all, are lost",
        "give the lost orders again";
    CONTROL_LISTENING: INFO, "control", "control.open", ["at"],
        "operators' calls are accepted at this address",
        "nothing";
    CONTROL_UNAVAILABLE: WARN, "control", "control.closed", ["why"],
        "operators' calls cannot be accepted, or their new keys could not be loaded",
        "fix the reported problem and send SIGHUP";
    LINK_FAILED: WARN, "link", "link.trouble", ["why"],
        "during an upgrade, the other process does not answer or sends a message that this build cannot read",
        "see OPERATIONS.md";
    LINK_HANDED_OVER: INFO, "link", "link.later", [],
        "a newer process now accepts the connections of later processes",
        "nothing";
    PEER_PROCESS_CONNECTED: INFO, "link", "link.came", [],
        "an upgrade: another process has connected",
        "nothing; this process ends within seconds of SIGTERM";
    PEER_PROCESS_GONE: INFO, "link", "link.gone", ["which"],
        "the other process of an upgrade has disconnected",
        "if SIGTERM was not sent, check the log of that process";
    ORDER_TAKEN_OVER: INFO, "link", "link.taken-over", ["order"],
        "an order of the other process is now in force in this process too",
        "nothing";
    SOURCE_FAILED: WARN, "membership", "source.trouble", ["pool", "source"],
        "a membership source fails; the last view stays in use",
        "check the registry";
    SOURCE_RECOVERED: INFO, "membership", "source.follows", ["pool", "source"],
        "a membership source works again",
        "nothing";
    SOURCE_VIEW_REFUSED: WARN, "membership", "source.refused", ["pool", "source"],
        "a view of a membership source was rejected as implausible",
        "see MEMBERSHIP.md";
    NODE_FILE_UNREADABLE: WARN, "membership", "list.held", ["why"],
        "a file of nodes cannot be read or watched; the last list stays in use",
        "fix the file; it is read again as soon as it changes";
    DISCOVERY_FAILED: WARN, "discovery", "discovery.trouble", ["address"],
        "a registry fails; the last list stays in use",
        "check the registry";
    DISCOVERY_ADDRESS_INVALID: WARN, "discovery", "discovery.address", ["node"],
        "a node in a list has no valid address and is ignored",
        "fix the entry of the node";
    ANNOUNCE_FAILED: WARN, "announce", "announce.trouble", ["why"],
        "this instance could not be announced; the announcement is retried",
        "check the registry";
    FLEET_INSTANCE_JOINED: INFO, "fleet", "fleet.came", ["instance"],
        "another instance joined, for the first time or again",
        "nothing";
    FLEET_NO_PEERS: WARN, "fleet", "fleet.alone", [],
        "no other instance answered at startup; this instance runs alone until one does",
        "nothing if this is the first instance; otherwise check the seed addresses and the network";
    FLEET_INSTANCE_SUSPECTED: WARN, "fleet", "fleet.suspected", ["instance"],
        "another instance does not answer",
        "nothing yet: it is probed through other instances, and either answers or is declared dead";
    FLEET_INSTANCE_DEAD: WARN, "fleet", "fleet.died", ["instance"],
        "another instance is declared dead; it may only be unreachable",
        "check whether it runs, and the network between the instances";
    FLEET_INSTANCE_LEFT: INFO, "fleet", "fleet.left", ["instance"],
        "another instance announced that it is leaving",
        "nothing";
    FLEET_DUPLICATE_NAME: ERROR, "fleet", "fleet.twin", ["at"],
        "another instance has the name of this instance; the instance with the higher address stops sending",
        "give one of the two instances another name";
    FLEET_DATAGRAM_REFUSED: WARN, "fleet", "fleet.refused", ["from", "why"],
        "a datagram was rejected: wrong key, wrong version, or not a datagram of this protocol",
        "check the keys on both sides";
    ATTEMPT_SENT: TRACE, "attempt", "attempt.sent", ["upstream", "request", "attempt", "class"],
        "an attempt is sent to an upstream, cold or warm; compared with `cold.listed` events of other instances, it shows the attempts sent before a list arrived",
        "nothing; set the area `attempt` to trace to follow single requests";
    ATTEMPT_ENDED: TRACE, "attempt", "attempt.ended", ["upstream", "request", "attempt", "outcome", "latency"],
        "outcome of an attempt, and its latency in milliseconds; a failed upstream shows as attempts without an answer",
        "nothing; set the area `attempt` to trace to follow single requests";
    COLD_STARTED: INFO, "cold", "cold.told", ["upstreams", "count"],
        "a list names upstreams that have just started: until it is warm, each is sent a share of the load of a warm upstream",
        "nothing; `ctl pools` shows the share of each upstream and how often it was passed over";
    COLD_ENDED: INFO, "cold", "cold.over", ["upstreams", "count", "passed_over"],
        "upstreams are warm, or removed; `passed_over` counts the picks that skipped them while they were cold",
        "nothing";
    COLD_LISTED: TRACE, "cold", "cold.listed", ["upstream", "age"],
        "a list names a cold upstream; `age` is the time since its start in milliseconds",
        "nothing; set the area `cold` to trace to follow single upstreams";
    COLD_SENT: TRACE, "cold", "cold.sent", ["upstream", "age", "request", "attempt", "cause", "class", "share", "pace", "warm", "window", "all_cold"],
        "an attempt is sent to a cold upstream; `cause` is the kind of input on which the balancer sent it, `share` the usable share of its capacity, `pace` the milliseconds between calls to a warm upstream, `warm` the number of warm upstreams in its zone, `window` the window of that zone, `all_cold` whether no upstream is warm in any zone",
        "nothing; set the area `cold` to trace to follow single upstreams";
    OPERATION_MISMATCH: WARN, "operations", "operation.odd", ["operation", "code"],
        "an operation does not behave as its description says",
        "see DESCRIPTIONS.md";
    OPERATION_SUMMARY: INFO, "operations", "operation.summary", [],
        "summary of the observed behavior of operations, before a reload or stop",
        "nothing";
}

/// Generates the operators' reference of all events, in Markdown.
pub fn reference() -> String {
    let mut page = String::from(
        "# Log events\n\n\
         Generated from `events/src/events.rs`; a test fails if this page differs. Each line of the log is one event. With\n\
         `[log] form = \"json\"` the line is an object with `time` (microseconds of Unix time), `level`, `area`, `event`, `text`, the\n\
         fields below, and `dropped` if similar events before it were suppressed. Events of the areas config, process, orders, control\n\
         and link and events of level trace are never suppressed; other events are rate-limited per value of their first field.\n\n\
         | event | level | fields | meaning | action |\n| --- | --- | --- | --- | --- |\n",
    );
    for event in ALL {
        let level = event.level.as_str().to_ascii_lowercase();
        let fields = event.fields.join(", ");
        let _ = writeln!(
            page,
            "| `{}` | {level}, {} | {fields} | {} | {} |",
            event.name, event.area, event.meaning, event.action
        );
    }
    page
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;
    use std::path::Path;

    /// Appends the text of all Rust source files below `folder` to `found`, without tests and benches.
    fn read_sources(folder: &Path, found: &mut String) {
        for entry in std::fs::read_dir(folder).expect("the folder is readable").map_while(Result::ok) {
            let (path, name) = (entry.path(), entry.file_name());
            let name = name.to_string_lossy();
            if path.is_dir() && !["target", "tests", "journal", ".git", "benches"].contains(&&*name) {
                read_sources(&path, found);
            } else if name.ends_with(".rs") && name != "tests.rs" {
                *found += &std::fs::read_to_string(&path).expect("the source file is UTF-8");
            }
        }
    }

    #[test]
    fn every_event_is_emitted_with_its_fields_and_reference_is_current() {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the crate is in a workspace");
        let mut code = String::new();
        read_sources(root, &mut code);
        let names: BTreeSet<&str> = ALL.iter().map(|event| event.name).collect();
        assert_eq!(names.len(), ALL.len(), "two events have the same name");
        for (event, constant) in ALL.iter().zip(CONSTANTS) {
            let calls: Vec<&str> = code
                .split("emit!(")
                .flat_map(|part| part.split("emit_if_subscribed!("))
                .skip(1)
                .filter(|call| {
                    call.trim_start().strip_prefix(constant).is_some_and(|c| c.starts_with([',', ';']))
                })
                .collect();
            assert!(!calls.is_empty(), "{constant} is not emitted anywhere");
            for call in calls {
                let head = call.split(';').next().unwrap_or("");
                let fields: Vec<&str> = head
                    .split(" = %")
                    .map(|part| part.rsplit([' ', ',', '(']).next().unwrap_or(""))
                    .collect();
                let fields = &fields[..fields.len() - 1];
                assert_eq!(fields, event.fields, "{constant}: {head}");
            }
        }
        let path = root.join("docs").join("EVENTS.md");
        if std::env::var_os("UPDATE_EVENTS").is_some() {
            std::fs::write(&path, reference()).expect("the page is accessible");
        }
        let page = std::fs::read_to_string(&path).expect("the page is accessible");
        assert!(
            page == reference(),
            "docs/EVENTS.md differs from the table of events: run this test with UPDATE_EVENTS=1 to regenerate it"
        );
    }
}
