//! What operators ask of a daemon, and how it answers: lines of JSON, whatever carries them.
//!
//! A call is `{"version":1,"who":"anna","verb":"out","node":"n7"}`. Its answer is any number of lines `{"more":...}`, then
//! one line `{"done":...}` or `{"refused":"why"}`. A verb or field that is not known is refused, not passed over: an order
//! half understood is another order.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use sloeline_events::filter::EventFilter;
use tokio::sync::mpsc;

use crate::auth::May;

/// The form of calls and answers.
pub const VERSION: u32 = 1;
/// Longest call, in bytes.
pub const MOST_CALL: u64 = 64 << 10;
/// Longest answer that a client reads, in bytes, and longest line of one that goes on.
pub const MOST_ANSWER: u64 = 64 << 20;
/// Longest name that a caller gives, in bytes.
const MOST_WHO: usize = 64;
/// Lines of an answer that wait for their caller.
const WAITING: usize = 256;

/// Why something is ordered, and for how long.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Because {
    /// For whoever reads it at night.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub why: Option<String>,
    /// It ends by itself after so many seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub for_s: Option<f64>,
    /// Only if no order was given or ended since this revision.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
}

/// What is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Verb {
    /// How it stands.
    Status,
    /// Each pool.
    Pools,
    /// The members of a pool, or of all.
    Members {
        /// Only this one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
    },
    /// Open requests, the oldest first.
    Requests {
        /// Only of this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// So many of each pool.
        most: usize,
    },
    /// What each pool may take up, and what it does.
    Budgets,
    /// Where each route leads.
    Routes,
    /// Background work.
    Work,
    /// Operations that were found odd.
    Operations,
    /// Which route a request takes.
    Explain {
        /// `GET`
        method: String,
        /// A path, or an address.
        url: String,
        /// `Name: value`
        headers: Vec<String>,
    },
    /// The orders that stand, and those that have ended.
    Orders,
    /// Nothing new goes to a node.
    Out {
        /// Its name.
        node: String,
        /// Only in this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// Why, and for how long.
        #[serde(flatten)]
        because: Because,
    },
    /// The same, and the answer goes on until the node carries nothing any more.
    Drain {
        /// Its name.
        node: String,
        /// Only in this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// Why, and for how long.
        #[serde(flatten)]
        because: Because,
    },
    /// A node that was ordered out takes requests again.
    Back {
        /// Its name.
        node: String,
        /// Only in this pool.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pool: Option<String>,
        /// Why; there is no end to it.
        #[serde(flatten)]
        because: Because,
    },
    /// Callers are sent away.
    Standby {
        /// Why, and for how long.
        #[serde(flatten)]
        because: Because,
    },
    /// Callers may come again.
    Active {
        /// Why; there is no end to it.
        #[serde(flatten)]
        because: Because,
    },
    /// A pool takes no more than this.
    Limit {
        /// The pool.
        pool: String,
        /// Requests open at once.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        open: Option<u64>,
        /// Requests a second.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        rate: Option<f64>,
        /// Why, and for how long.
        #[serde(flatten)]
        because: Because,
    },
    /// A pool takes what it takes by its configuration.
    Unlimit {
        /// The pool.
        pool: String,
        /// Why; there is no end to it.
        #[serde(flatten)]
        because: Because,
    },
    /// The other instances, and what all share.
    Fleet,
    /// What reading the configuration again would change.
    Changes,
    /// All that can be told, for later.
    Snapshot,
    /// Events as they come, until the caller leaves.
    Tail {
        /// Which of them.
        #[serde(flatten)]
        wanted: EventFilter,
        /// So many of the latest first.
        backlog: usize,
    },
    /// How it stands, again and again, until the caller leaves.
    Watch {
        /// From one to the next, in milliseconds.
        every_ms: u64,
    },
}

impl Verb {
    /// What a caller must be allowed to.
    pub fn needs(&self) -> May {
        match self {
            Verb::Out { .. }
            | Verb::Drain { .. }
            | Verb::Back { .. }
            | Verb::Standby { .. }
            | Verb::Active { .. }
            | Verb::Limit { .. }
            | Verb::Unlimit { .. } => May::Order,
            _ => May::Ask,
        }
    }

    /// Its answer goes on for as long as the caller wants.
    pub fn lasts(&self) -> bool {
        matches!(self, Verb::Watch { .. } | Verb::Drain { .. } | Verb::Tail { .. })
    }

    /// The fields that a call of this verb may have.
    fn fields(&self) -> &'static [&'static str] {
        match self {
            Verb::Members { .. } => &["pool"],
            Verb::Requests { .. } => &["pool", "most"],
            Verb::Explain { .. } => &["method", "url", "headers"],
            Verb::Out { .. } | Verb::Drain { .. } => &["node", "pool", "why", "for_s", "revision"],
            Verb::Back { .. } => &["node", "pool", "why", "revision"],
            Verb::Standby { .. } => &["why", "for_s", "revision"],
            Verb::Active { .. } => &["why", "revision"],
            Verb::Limit { .. } => &["pool", "open", "rate", "why", "for_s", "revision"],
            Verb::Unlimit { .. } => &["pool", "why", "revision"],
            Verb::Tail { .. } => &["level", "area", "event", "text", "backlog"],
            Verb::Watch { .. } => &["every_ms"],
            _ => &[],
        }
    }
}

/// A call as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its form.
    pub version: u32,
    /// Who the caller says to be; who it is by its key or its user is known besides.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub who: Option<String>,
    /// What is asked.
    #[serde(flatten)]
    pub verb: Verb,
}

impl Call {
    /// A call in words.
    pub fn written(&self) -> Result<Vec<u8>, String> {
        let mut text = serde_json::to_vec(self).map_err(|e| e.to_string())?;
        text.push(b'\n');
        Ok(text)
    }
}

/// A line of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    /// A part; more is to come.
    More(Value),
    /// It was done.
    Done(Value),
    /// It was not, and nothing has changed.
    Refused(String),
}

impl Answer {
    /// As it is sent, without the line's end.
    pub fn written(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_else(|e| format!("{{\"refused\":\"defect: {e:?}\"}}").into_bytes())
    }
}

/// A call, who it is by, and where its answer goes.
pub struct Asked {
    /// What is asked.
    pub verb: Verb,
    /// By whom.
    pub who: String,
    /// Where the answer goes.
    pub to: Replies,
}

/// Where an answer goes. Dropped without one, the caller is told that the daemon is stopping.
#[derive(Clone)]
pub struct Replies(mpsc::Sender<Answer>);

impl Replies {
    /// Both ends.
    pub fn new() -> (Replies, mpsc::Receiver<Answer>) {
        let (sender, receiver) = mpsc::channel(WAITING);
        (Replies(sender), receiver)
    }

    /// The last line. Whoever asked may have left.
    pub fn end(&self, answer: Result<Value, String>) {
        let _ = self.0.try_send(answer.map_or_else(Answer::Refused, Answer::Done));
    }

    /// One line of several; false where the caller has left or takes nothing.
    pub fn more(&self, value: Value) -> bool {
        self.0.try_send(Answer::More(value)).is_ok()
    }

    /// Resolves when the caller has left.
    pub async fn left(&self) {
        self.0.closed().await;
    }
}

/// Reads a call: who its caller says to be, and what is asked. The error says what was found and what was expected.
pub fn read(line: &[u8]) -> Result<(Option<String>, Verb), String> {
    #[derive(Deserialize)]
    struct Form {
        version: u32,
        who: Option<String>,
    }
    let Some(line) = line.strip_suffix(b"\n") else {
        return Err(format!(
            "found {} bytes without an end, expected a line of less than {MOST_CALL}",
            line.len()
        ));
    };
    let form: Form = serde_json::from_slice(line).map_err(|e| format!("found no call: {e}"))?;
    if form.version != VERSION {
        return Err(format!("found a call of version {}, expected {VERSION}", form.version));
    }
    if let Some(who) = &form.who
        && (who.is_empty() || who.len() > MOST_WHO || who.chars().any(char::is_control))
    {
        return Err(format!("who: found {who:?}, expected a name of at most {MOST_WHO} bytes"));
    }
    let mut call: Value = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    if let Some(call) = call.as_object_mut() {
        call.retain(|name, _| !["version", "who"].contains(&name.as_str()));
    }
    let verb: Verb =
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
    fn calls_are_read_as_they_are_written_and_nothing_else_is_one() {
        let because = Because { why: Some("sick".to_owned()), for_s: Some(1.5), revision: Some(3) };
        let (node, pool) = ("n".to_owned(), Some("p".to_owned()));
        let headers = vec!["A: b".to_owned()];
        let verbs = [
            Verb::Status,
            Verb::Members { pool: pool.clone() },
            Verb::Requests { pool: None, most: 3 },
            Verb::Explain { method: "GET".to_owned(), url: "/a".to_owned(), headers },
            Verb::Out { node: node.clone(), pool: None, because: Because::default() },
            Verb::Drain { node, pool, because: because.clone() },
            Verb::Standby { because: because.clone() },
            Verb::Limit { pool: "p".to_owned(), open: None, rate: Some(0.5), because },
            Verb::Tail {
                wanted: EventFilter { level: Some("warn".to_owned()), ..EventFilter::default() },
                backlog: 3,
            },
            Verb::Watch { every_ms: 200 },
        ];
        for verb in verbs {
            for who in [None, Some("anna".to_owned())] {
                let call = Call { version: VERSION, who: who.clone(), verb: verb.clone() };
                let text = call.written().expect("JSON");
                assert_eq!(read(&text), Ok((who, verb.clone())), "{}", String::from_utf8_lossy(&text));
                // Cut off anywhere.
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
            // It ends, with a call or without.
            let _ = read(&text);
        }
    }
}
