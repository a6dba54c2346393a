//! Operators' commands to a daemon and its answers, as lines of JSON, independent of the transport.
//!
//! A call is `{"version":1,"who":"anna","verb":"out","node":"n7"}`. Its answer is any number of lines `{"more":...}`, then
//! one line `{"done":...}` or `{"refused":"why"}`. A command with an unknown field is refused, because ignoring the field could
//! change its meaning.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sloeline_events::filter::EventFilter;
use tokio::sync::mpsc;

use crate::signed_call::Permission;

/// Version of the format of calls and answers.
pub const VERSION: u32 = 1;
/// Maximum length of a call in bytes.
pub const MAX_CALL_BYTES: u64 = 64 << 10;
/// Maximum length in bytes of an answer, or of each line of a streamed answer, that a client reads.
pub const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// Maximum length in bytes of the name that a caller gives.
const MAX_CALLER_BYTES: usize = 64;
/// Maximum number of answer lines that are queued for a caller.
const MAX_QUEUED_LINES: usize = 256;

/// Reason, duration and precondition of an order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderReason {
    /// The reason, for other operators.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
    /// Seconds after which the order expires.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// The order is refused if any order was given or has ended since this revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Reports the status of the daemon.
    Status,
    /// Lists the pools.
    Pools,
    /// Lists the members of a pool, or of all pools.
    Members {
        /// Lists only this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
    },
    /// Lists open requests, oldest first.
    Requests {
        /// Lists only requests of this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// Maximum number of requests per pool.
        most: usize,
    },
    /// Reports the resource limits of each pool and their use.
    Budgets,
    /// Lists the routes with their pools.
    Routes,
    /// Reports background jobs.
    Work,
    /// Lists operations whose observed behaviour contradicts their description.
    Operations,
    /// Explains which route a request would take.
    Explain {
        /// Method, such as `GET`.
        method: String,
        /// Path or URL.
        url: String,
        /// Headers, as `Name: value`.
        headers: Vec<String>,
    },
    /// Lists the orders in force and those that have ended.
    Orders,
    /// Sends no new requests to a node.
    Out {
        /// Name of the node.
        node: String,
        /// Applies only to this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// Reason and duration.
        #[serde(flatten)]
        because: OrderReason,
    },
    /// Sends no new requests to a node, and reports its requests in flight until there are none.
    Drain {
        /// Name of the node.
        node: String,
        /// Applies only to this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// Reason and duration.
        #[serde(flatten)]
        because: OrderReason,
    },
    /// Revokes [`Command::Out`] and [`Command::Drain`] for a node.
    Back {
        /// Name of the node.
        node: String,
        /// Applies only to this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// Reason; the duration is not used.
        #[serde(flatten)]
        because: OrderReason,
    },
    /// Sends clients away.
    Standby {
        /// Reason and duration.
        #[serde(flatten)]
        because: OrderReason,
    },
    /// Accepts clients again.
    Active {
        /// Reason; the duration is not used.
        #[serde(flatten)]
        because: OrderReason,
    },
    /// Limits a pool.
    Limit {
        /// Name of the pool.
        pool: String,
        /// Maximum number of open requests.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        open: Option<u64>,
        /// Maximum rate in requests per second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rate: Option<f64>,
        /// Reason and duration.
        #[serde(flatten)]
        because: OrderReason,
    },
    /// Revokes [`Command::Limit`] for a pool.
    Unlimit {
        /// Name of the pool.
        pool: String,
        /// Reason; the duration is not used.
        #[serde(flatten)]
        because: OrderReason,
    },
    /// Reports the other instances and the shared limits.
    Fleet,
    /// Reports what a reload of the configuration would change.
    Changes,
    /// Returns a snapshot of everything that the daemon can report.
    Snapshot,
    /// Streams events until the caller disconnects.
    Tail {
        /// Selects the events.
        #[serde(flatten)]
        wanted: EventFilter,
        /// Number of past events to send first.
        backlog: usize,
    },
    /// Reports the status periodically until the caller disconnects.
    Watch {
        /// Interval in milliseconds.
        every_ms: u64,
    },
}

impl Command {
    /// The permission that the command requires.
    pub fn required_permission(&self) -> Permission {
        match self {
            Command::Out { .. }
            | Command::Drain { .. }
            | Command::Back { .. }
            | Command::Standby { .. }
            | Command::Active { .. }
            | Command::Limit { .. }
            | Command::Unlimit { .. } => Permission::Order,
            _ => Permission::Read,
        }
    }

    /// Whether the answer is streamed until the caller disconnects or the command ends.
    pub fn is_streaming(&self) -> bool {
        matches!(self, Command::Watch { .. } | Command::Drain { .. } | Command::Tail { .. })
    }

    /// The fields that a call with this command may have.
    fn fields(&self) -> &'static [&'static str] {
        match self {
            Command::Members { .. } => &["pool"],
            Command::Requests { .. } => &["pool", "most"],
            Command::Explain { .. } => &["method", "url", "headers"],
            Command::Out { .. } | Command::Drain { .. } => &["node", "pool", "why", "for_s", "revision"],
            Command::Back { .. } => &["node", "pool", "why", "revision"],
            Command::Standby { .. } => &["why", "for_s", "revision"],
            Command::Active { .. } => &["why", "revision"],
            Command::Limit { .. } => &["pool", "open", "rate", "why", "for_s", "revision"],
            Command::Unlimit { .. } => &["pool", "why", "revision"],
            Command::Tail { .. } => &["level", "area", "event", "text", "backlog"],
            Command::Watch { .. } => &["every_ms"],
            _ => &[],
        }
    }
}

/// A call in the form in which it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Version of the format, see [`VERSION`].
    pub version: u32,
    /// The name that the caller gives. Its key or user is known independently.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub who: Option<String>,
    /// The command.
    #[serde(flatten)]
    pub verb: Command,
}

impl Call {
    /// Serializes the call as a line of JSON.
    pub fn written(&self) -> Result<Vec<u8>, String> {
        let mut text = serde_json::to_vec(self).map_err(|e| e.to_string())?;
        text.push(b'\n');
        Ok(text)
    }
}

/// One line of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    /// A part of a streamed answer; further lines follow.
    More(Value),
    /// The result; the last line.
    Done(Value),
    /// The command was refused and has changed nothing; the last line.
    Refused(String),
}

impl Answer {
    /// Serializes the line without its line feed.
    pub fn written(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_else(|e| format!("{{\"refused\":\"defect: {e:?}\"}}").into_bytes())
    }
}

/// A received call that waits for its answer.
pub struct PendingCall {
    /// The command.
    pub verb: Command,
    /// The caller.
    pub who: String,
    /// Sends the answer.
    pub to: ReplySender,
}

/// Sends the lines of an answer. If it is dropped without a last line, the caller is told that the daemon is stopping.
#[derive(Clone)]
pub struct ReplySender(mpsc::Sender<Answer>);

impl ReplySender {
    /// Creates a sender with its receiver.
    pub fn new() -> (ReplySender, mpsc::Receiver<Answer>) {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_LINES);
        (ReplySender(sender), receiver)
    }

    /// Sends the last line, unless the caller has disconnected.
    pub fn end(&self, answer: Result<Value, String>) {
        let _ = self.0.try_send(answer.map_or_else(Answer::Refused, Answer::Done));
    }

    /// Sends a line of a streamed answer. Returns false if the caller has disconnected or does not read.
    pub fn more(&self, value: Value) -> bool {
        self.0.try_send(Answer::More(value)).is_ok()
    }

    /// Resolves when the caller has disconnected.
    pub async fn left(&self) {
        self.0.closed().await;
    }
}

/// Parses a call. Returns the name that the caller gives and the command. The error says what was found and expected.
pub fn read(line: &[u8]) -> Result<(Option<String>, Command), String> {
    #[derive(Deserialize)]
    struct Form {
        version: u32,
        who: Option<String>,
    }
    let Some(line) = line.strip_suffix(b"\n") else {
        return Err(format!(
            "found {} bytes without an end, expected a line of less than {MAX_CALL_BYTES}",
            line.len()
        ));
    };
    let form: Form = serde_json::from_slice(line).map_err(|e| format!("found no call: {e}"))?;
    if form.version != VERSION {
        return Err(format!("found a call of version {}, expected {VERSION}", form.version));
    }
    if let Some(who) = &form.who
        && (who.is_empty() || who.len() > MAX_CALLER_BYTES || who.chars().any(char::is_control))
    {
        return Err(format!("who: found {who:?}, expected a name of at most {MAX_CALLER_BYTES} bytes"));
    }
    let mut call: Value = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    if let Some(call) = call.as_object_mut() {
        call.retain(|name, _| !["version", "who"].contains(&name.as_str()));
    }
    let verb: Command =
        serde_json::from_value(call.clone()).map_err(|e| format!("found a call that is not known: {e}"))?;
    let known = verb.fields();
    let mut names = call.as_object().into_iter().flat_map(|call| call.keys());
    if let Some(odd) = names.find(|name| *name != "verb" && !known.contains(&name.as_str())) {
        let expected = if known.is_empty() { "none".to_owned() } else { known.join(", ") };
        return Err(format!("found a call that is not known: unknown field `{odd}`, expected {expected}"));
    }
    Ok((form.who, verb))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_parsed_as_serialized_and_invalid_ones_are_rejected() {
        let because = OrderReason { why: Some("sick".to_owned()), for_s: Some(1.5), revision: Some(3) };
        let (node, pool) = ("n".to_owned(), Some("p".to_owned()));
        let headers = vec!["A: b".to_owned()];
        let commands = [
            Command::Status,
            Command::Members { pool: pool.clone() },
            Command::Requests { pool: None, most: 3 },
            Command::Explain { method: "GET".to_owned(), url: "/a".to_owned(), headers },
            Command::Out { node: node.clone(), pool: None, because: OrderReason::default() },
            Command::Drain { node, pool, because: because.clone() },
            Command::Standby { because: because.clone() },
            Command::Limit { pool: "p".to_owned(), open: None, rate: Some(0.5), because },
            Command::Tail {
                wanted: EventFilter { level: Some("warn".to_owned()), ..EventFilter::default() },
                backlog: 3,
            },
            Command::Watch { every_ms: 200 },
        ];
        for verb in commands {
            for who in [None, Some("anna".to_owned())] {
                let call = Call { version: VERSION, who: who.clone(), verb: verb.clone() };
                let text = call.written().expect("JSON");
                assert_eq!(read(&text), Ok((who, verb.clone())), "{}", String::from_utf8_lossy(&text));
                // Truncated anywhere.
                assert!((0..text.len() - 1).all(|at| read(&text[..at]).is_err()));
            }
        }
        for (text, why) in [
            ("\n", "found no call"),
            ("{}\n", "version"),
            ("{\"version\":2,\"verb\":\"status\"}\n", "found a call of version 2, expected 1"),
            ("{\"version\":1,\"verb\":\"stat\"}\n", "unknown variant `stat`"),
            ("{\"version\":1,\"verb\":\"out\"}\n", "missing field `node`"),
            ("{\"version\":1,\"verb\":\"out\",\"node\":\"n\",\"nod\":1}\n", "unknown field `nod`"),
            ("{\"version\":1,\"verb\":\"back\",\"node\":\"n\",\"for_s\":1}\n", "unknown field `for_s`"),
            ("{\"version\":1,\"verb\":\"status\",\"pool\":\"p\"}\n", "unknown field `pool`, expected none"),
            ("{\"version\":1,\"verb\":\"status\",\"who\":\"a\\u0007\"}\n", "who: found"),
            ("{\"version\":1,\"verb\":\"status\"}", "without an end"),
        ] {
            let found = read(text.as_bytes());
            assert!(found.as_ref().is_err_and(|e| e.contains(why)), "{text:?}: {found:?}");
        }
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..50_000 {
            let mut text = br#"{"version":1,"verb":"out","node":"n","pool":null,"for_s":1.0}"#.to_vec();
            for _ in 0..rng.usize(1..4) {
                let at = rng.usize(..text.len());
                text[at] = rng.u8(..);
            }
            text.push(b'\n');
            // Must not panic, whatever the result.
            let _ = read(&text);
        }
    }
}
