//! All events: their names stay, so that whoever searches for one finds it after an upgrade too. The operators' reference,
//! `docs/EVENTS.md`, is made from this table ([`reference()`]) and held against it by a test.

use std::fmt::Write;

use tracing::Level;

/// An event of note.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// What it is known by.
    pub name: &'static str,
    /// How grave it is.
    pub level: Level,
    /// Where it belongs.
    pub area: &'static str,
    /// Its fields; the first is what it is limited by.
    pub fields: &'static [&'static str],
    /// What it means.
    pub means: &'static str,
    /// What it asks of whoever reads it.
    pub ask: &'static str,
}

/// What operators do and what becomes of it: told each time, or a record of who did what has gaps.
const DEEDS: [&str; 5] = ["config", "process", "orders", "control", "link"];

impl Event {
    /// Whether it is limited. What comes from outside, as often as it likes, is.
    pub fn limited(&self) -> bool {
        !DEEDS.contains(&self.area) && self.level != Level::TRACE
    }
}

macro_rules! events {
    ($($id:ident: $level:ident, $area:literal, $name:literal, [$($field:literal),*], $means:literal, $ask:literal;)*) => {
        $(
            #[doc = $means]
            pub const $id: Event = Event {
                name: $name,
                level: Level::$level,
                area: $area,
                fields: &[$($field),*],
                means: $means,
                ask: $ask,
            };
        )*
        /// All of them, and the names of their constants.
        pub const ALL: &[Event] = &[$($id),*];
        /// The names of the constants, in the same order.
        pub const CONSTANTS: &[&str] = &[$(stringify!($id)),*];
    };
}

events! {
    DEFECT: ERROR, "defect", "defect", ["what"],
        "something that should not happen; the request was answered all the same",
        "report it, with a snapshot";
    CONFIG_PROBLEM: WARN, "config", "config.problem", ["file"],
        "a mistake in a configuration, or something in it that nothing uses",
        "mend the line; with errors the file was not taken";
    CONFIG_RELOADED: INFO, "config", "config.read", [],
        "a reload was taken",
        "nothing";
    CONFIG_RELOAD_REJECTED: WARN, "config", "config.kept", ["why"],
        "a reload changed nothing",
        "mend what it names, send SIGHUP again";
    LISTENER_STARTED: INFO, "process", "process.listening", ["listener", "address"],
        "a listener takes connections",
        "nothing";
    LISTENER_STOPPED: INFO, "process", "process.listening-ended", ["listener", "address"],
        "a listener is gone with a reload",
        "nothing";
    CONNECTIONS_UNFINISHED: WARN, "process", "process.connections-left", ["listener"],
        "callers did not read their answers during a stop",
        "nothing";
    STOPPING: INFO, "process", "process.stopping", [],
        "the order to stop came",
        "nothing";
    POOL_DRAINED: INFO, "process", "process.pool-ended", ["pool"],
        "a removed pool has answered all it had",
        "its upstreams may go";
    ORDER_GIVEN: INFO, "orders", "order.given", ["who", "thing"],
        "an operator has ordered something",
        "nothing";
    ORDER_WITHDRAWN: INFO, "orders", "order.taken-back", ["who", "thing"],
        "an operator has taken orders back",
        "nothing";
    ORDER_EXPIRED: INFO, "orders", "order.over", ["id", "who"],
        "an order came to its end by itself",
        "nothing; order again what should last";
    ORDER_RESTORED: INFO, "orders", "order.stands", ["id", "who"],
        "an order of before a restart holds",
        "nothing";
    ORDERS_NOT_SAVED: WARN, "orders", "orders.not-kept", ["why"],
        "orders hold, and would be lost with this process",
        "make room, or end the other process; give an order again";
    ORDERS_CORRUPT: ERROR, "orders", "orders.spoilt", ["why"],
        "the file of orders is spoilt: the latest are lost, or all",
        "order again what should be out";
    CONTROL_LISTENING: INFO, "control", "control.open", ["at"],
        "operators' calls are taken there",
        "nothing";
    CONTROL_UNAVAILABLE: WARN, "control", "control.closed", ["why"],
        "operators' calls, or other keys for them, could not be had",
        "mend what it names, send SIGHUP";
    LINK_FAILED: WARN, "link", "link.trouble", ["why"],
        "the other process of an upgrade hangs, or words something otherwise",
        "see OPERATIONS.md";
    LINK_HANDED_OVER: INFO, "link", "link.later", [],
        "a later process is met by another one",
        "nothing";
    PEER_PROCESS_CONNECTED: INFO, "link", "link.came", [],
        "an upgrade: another process has come",
        "its end follows within seconds of SIGTERM";
    PEER_PROCESS_GONE: INFO, "link", "link.gone", ["which"],
        "the other process of an upgrade has gone",
        "before SIGTERM: look at its log";
    ORDER_TAKEN_OVER: INFO, "link", "link.taken-over", ["order"],
        "an order of the other process holds here too",
        "nothing";
    SOURCE_FAILED: WARN, "membership", "source.trouble", ["pool", "source"],
        "a source fails; the last view holds",
        "look at the registry";
    SOURCE_RECOVERED: INFO, "membership", "source.follows", ["pool", "source"],
        "a source is followed again",
        "nothing";
    SOURCE_VIEW_REFUSED: WARN, "membership", "source.refused", ["pool", "source"],
        "a view was not taken, by the rules for doubt",
        "see MEMBERSHIP.md";
    NODE_FILE_UNREADABLE: WARN, "membership", "list.held", ["why"],
        "a file of nodes cannot be read or watched; the last list holds",
        "mend it; it is read as soon as it changes";
    DISCOVERY_FAILED: WARN, "discovery", "discovery.trouble", ["address"],
        "a registry fails; the last list holds",
        "look at the registry";
    DISCOVERY_ADDRESS_INVALID: WARN, "discovery", "discovery.address", ["node"],
        "a node in a list has no readable address and is left out",
        "mend its entry";
    ANNOUNCE_FAILED: WARN, "announce", "announce.trouble", ["why"],
        "this instance could not be announced; it is tried again",
        "look at the registry";
    FLEET_INSTANCE_JOINED: INFO, "fleet", "fleet.came", ["instance"],
        "another instance is there, for the first time or again",
        "nothing";
    FLEET_NO_PEERS: WARN, "fleet", "fleet.alone", [],
        "no other instance answered at the start; this one goes on by itself until one does",
        "nothing for the first of all; else look at the seeds and the network";
    FLEET_INSTANCE_SUSPECTED: WARN, "fleet", "fleet.suspected", ["instance"],
        "another instance does not answer",
        "nothing at once: it is asked through others, and answers or is held for dead";
    FLEET_INSTANCE_DEAD: WARN, "fleet", "fleet.died", ["instance"],
        "another instance is held for dead; it may only be out of reach",
        "look whether it runs, and at the network between them";
    FLEET_INSTANCE_LEFT: INFO, "fleet", "fleet.left", ["instance"],
        "another instance has said that it leaves",
        "nothing";
    FLEET_DUPLICATE_NAME: ERROR, "fleet", "fleet.twin", ["at"],
        "another instance has this one's name; the one with the higher address falls silent",
        "give one of them another name";
    FLEET_DATAGRAM_REFUSED: WARN, "fleet", "fleet.refused", ["from", "why"],
        "a datagram was not heard: another key, another version, or none of ours",
        "look at the keys on both sides";
    ATTEMPT_SENT: TRACE, "attempt", "attempt.sent", ["upstream", "request", "attempt", "class"],
        "an attempt goes to an upstream, cold or not; beside `cold.listed` of others it shows what goes out before the news",
        "nothing; to follow one case, with the level of the area `attempt` at trace";
    ATTEMPT_ENDED: TRACE, "attempt", "attempt.ended", ["upstream", "request", "attempt", "outcome", "latency"],
        "how an attempt ended and after how many milliseconds: an upstream that has fallen answers nobody from then on",
        "nothing; to follow one case, with the level of the area `attempt` at trace";
    COLD_STARTED: INFO, "cold", "cold.told", ["upstreams", "count"],
        "a list names upstreams that have just started: each is sent its share of what a warm one takes, until it is warm",
        "nothing; `ctl pools` shows the share of each and how often it was passed over";
    COLD_ENDED: INFO, "cold", "cold.over", ["upstreams", "count", "passed_over"],
        "upstreams are warm, or gone; `passed_over`: picks that went past them while they were cold",
        "nothing";
    COLD_LISTED: TRACE, "cold", "cold.listed", ["upstream", "age"],
        "a list names a cold upstream; `age` in milliseconds since its start",
        "nothing; to follow one case, with the level of the area `cold` at trace";
    COLD_SENT: TRACE, "cold", "cold.sent", ["upstream", "age", "request", "attempt", "cause", "class", "share", "pace", "warm", "window", "all_cold"],
        "an attempt goes to a cold upstream; `cause` is what the module was told when it let it go, `share` the part of its capacity, `pace` the milliseconds between calls to a warm one, `warm` the warm ones of its zone, `window` that zone's, `all_cold` whether none is warm anywhere",
        "nothing; to follow one case, with the level of the area `cold` at trace";
    OPERATION_MISMATCH: WARN, "operations", "operation.odd", ["operation", "code"],
        "an operation does not do as it is described",
        "see DESCRIPTIONS.md";
    OPERATION_SUMMARY: INFO, "operations", "operation.summary", [],
        "what operations were found to do, before a reload or stop",
        "nothing";
}

/// The reference, as a page.
pub fn reference() -> String {
    let mut page = String::from(
        "# Events of the log\n\n\
         Made from the code (`events/src/events.rs`); a test says so where it is not. Each line of the log is one event; with\n\
         `[log] form = \"json\"` it is an object with `time` (microseconds of Unix time), `level`, `area`, `event`, `text`, the fields\n\
         below, and `dropped` where some like it were not told. Events of the areas config, process, orders, control and link are told\n\
         each time, and so is what is at the level trace; others are limited by their first field.\n\n\
         | event | level | fields | means | do |\n| --- | --- | --- | --- | --- |\n",
    );
    for event in ALL {
        let level = event.level.as_str().to_ascii_lowercase();
        let fields = event.fields.join(", ");
        let _ = writeln!(
            page,
            "| `{}` | {level}, {} | {fields} | {} | {} |",
            event.name, event.area, event.means, event.ask
        );
    }
    page
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::BTreeSet;
    use std::path::Path;

    fn sources(folder: &Path, found: &mut String) {
        for entry in std::fs::read_dir(folder).expect("a folder").map_while(Result::ok) {
            let (path, name) = (entry.path(), entry.file_name());
            let name = name.to_string_lossy();
            if path.is_dir() && !["target", "tests", "journal", ".git", "benches"].contains(&&*name) {
                sources(&path, found);
            } else if name.ends_with(".rs") && name != "tests.rs" {
                *found += &std::fs::read_to_string(&path).expect("text");
            }
        }
    }

    #[test]
    fn every_event_is_told_somewhere_with_its_fields_and_the_reference_is_this_table() {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("a folder");
        let mut code = String::new();
        sources(root, &mut code);
        let names: BTreeSet<&str> = ALL.iter().map(|event| event.name).collect();
        assert_eq!(names.len(), ALL.len(), "two of one name");
        for (event, constant) in ALL.iter().zip(CONSTANTS) {
            let calls: Vec<&str> = code
                .split("emit!(")
                .flat_map(|part| part.split("emit_if_subscribed!("))
                .skip(1)
                .filter(|call| {
                    call.trim_start().strip_prefix(constant).is_some_and(|c| c.starts_with([',', ';']))
                })
                .collect();
            assert!(!calls.is_empty(), "{constant} is told nowhere");
            for call in calls {
                let head = call.split(';').next().unwrap_or("");
                let told: Vec<&str> = head
                    .split(" = %")
                    .map(|part| part.rsplit([' ', ',', '(']).next().unwrap_or(""))
                    .collect();
                let told = &told[..told.len() - 1];
                assert_eq!(told, event.fields, "{constant}: {head}");
            }
        }
        let path = root.join("docs").join("EVENTS.md");
        if std::env::var_os("UPDATE_EVENTS").is_some() {
            std::fs::write(&path, reference()).expect("a page");
        }
        let page = std::fs::read_to_string(&path).expect("a page");
        assert!(page == reference(), "docs/EVENTS.md is another: UPDATE_EVENTS=1 makes it anew");
    }
}
