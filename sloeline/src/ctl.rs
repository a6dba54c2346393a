//! `sloeline ctl`: asks a daemon that runs, over its control socket or its address for signed calls.

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use serde_json::{Map, Value};
use sloeline_events::filter::EventFilter;
use sloeline_operations::command::{Command, OrderReason};
use sloeline_operations::signed_call::Secret;
use sloeline_operations::signed_http::{self, SignedClient};
use sloeline_operations::snapshot;
use sloeline_operations::socket;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(10);

/// Which daemon, and what.
#[derive(Args)]
pub struct Ctl {
    /// The daemon's socket, `[control] socket` of its configuration.
    #[arg(long, value_name = "PATH", env = "SLOELINE_SOCKET")]
    socket: Option<PathBuf>,
    /// Its address for signed calls, `[control] address`; with --key and --key-file.
    #[arg(long, value_name = "HOST:PORT", env = "SLOELINE_ADDRESS", conflicts_with = "socket", requires_all = ["key", "key_file"])]
    address: Option<SocketAddr>,
    /// The key's name, `[control.key.NAME]`.
    #[arg(long, value_name = "NAME", env = "SLOELINE_KEY")]
    key: Option<String>,
    /// The file in which the key stands.
    #[arg(long, value_name = "FILE", env = "SLOELINE_KEY_FILE")]
    key_file: Option<PathBuf>,
    /// Your name, for the record beside your user or key.
    #[arg(long, value_name = "NAME", env = "SLOELINE_WHO")]
    who: Option<String>,
    /// The answer as JSON, one object a line where it goes on.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    what: What,
}

/// Why, and for how long.
#[derive(Args, Default)]
struct Reason {
    /// For whoever reads it at night.
    #[arg(long, value_name = "TEXT")]
    why: Option<String>,
    /// It ends by itself after this, such as "10min".
    #[arg(long = "for", value_name = "SPAN", value_parser = crate::descriptions::span)]
    span: Option<u64>,
    /// Only if no order was given or ended since this revision (`ctl orders`).
    #[arg(long, value_name = "N")]
    revision: Option<u64>,
}

impl From<Reason> for OrderReason {
    fn from(reason: Reason) -> OrderReason {
        let for_s = reason.span.map(|micros| micros as f64 / 1e6);
        OrderReason { why: reason.why, for_s, revision: reason.revision }
    }
}

/// The same for what has no end of its own.
#[derive(Args, Default)]
struct TakenBack {
    /// For whoever reads it at night.
    #[arg(long, value_name = "TEXT")]
    why: Option<String>,
    /// Only if no order was given or ended since this revision (`ctl orders`).
    #[arg(long, value_name = "N")]
    revision: Option<u64>,
}

impl From<TakenBack> for OrderReason {
    fn from(back: TakenBack) -> OrderReason {
        OrderReason { why: back.why, for_s: None, revision: back.revision }
    }
}

/// A node, in one pool or wherever it is listed.
#[derive(Args)]
struct Node {
    /// Its name.
    node: String,
    /// Only in this pool.
    #[arg(long)]
    pool: Option<String>,
}

#[derive(Subcommand)]
enum What {
    /// How it stands.
    Status,
    /// Each pool: how many nodes take requests, how many requests are open.
    Pools,
    /// Members, and why each is in or out.
    Members {
        /// Only of this pool.
        #[arg(long)]
        pool: Option<String>,
    },
    /// Open requests: how many at each stage, and the oldest.
    Requests {
        /// Only of this pool.
        #[arg(long)]
        pool: Option<String>,
        /// So many of each pool.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(0..=10_000))]
        most: u64,
    },
    /// What each pool may take up, and what it does.
    Budgets,
    /// Where each route leads.
    Routes,
    /// Background work: what waits, what was late or left out, and how far it gives way.
    Work,
    /// Operations that do not do as they are described.
    Operations,
    /// Which route a request takes now, and why the others do not match.
    Explain {
        /// GET, POST, ...
        method: String,
        /// A path, or a whole http address.
        url: String,
        /// A header of the request, "Name: value".
        #[arg(short = 'H', value_name = "HEADER")]
        headers: Vec<String>,
    },
    /// The orders that stand, and those that have ended: what, by whom, why, until when.
    Orders,
    /// Send nothing new to a node, until it is put back or the order ends.
    Out {
        #[command(flatten)]
        node: Node,
        #[command(flatten)]
        reason: Reason,
    },
    /// The same, and wait until the node carries nothing any more.
    Drain {
        #[command(flatten)]
        node: Node,
        #[command(flatten)]
        reason: Reason,
    },
    /// Send to a node again that was ordered out.
    Back {
        #[command(flatten)]
        node: Node,
        #[command(flatten)]
        back: TakenBack,
    },
    /// Send callers away: unready at once, connections closed with their next answer. What is open is answered.
    Standby {
        #[command(flatten)]
        reason: Reason,
    },
    /// Take callers again.
    Active {
        #[command(flatten)]
        back: TakenBack,
    },
    /// Let a pool take no more than this; beyond it callers get 503 with the time to return.
    Limit {
        /// The pool.
        pool: String,
        /// Requests open at once.
        #[arg(long, value_name = "N")]
        open: Option<u64>,
        /// Requests a second.
        #[arg(long, value_name = "N")]
        rate: Option<f64>,
        #[command(flatten)]
        reason: Reason,
    },
    /// End that.
    Unlimit {
        /// The pool.
        pool: String,
        #[command(flatten)]
        back: TakenBack,
    },
    /// The other instances as this one sees them, and what all share.
    Fleet,
    /// What reading its configuration again would change; status 1 if it can't be read.
    Changes,
    /// Write all that it can tell into a file, for later (`sloeline snapshot show|diff`).
    Snapshot {
        /// The file; one that is there is not written over.
        file: PathBuf,
    },
    /// Events as they come.
    Tail {
        /// This level or a graver one: error, warn, info, debug or trace.
        #[arg(long)]
        level: Option<String>,
        /// In this area, or one within it.
        #[arg(long)]
        area: Option<String>,
        /// Whose name begins so.
        #[arg(long)]
        event: Option<String>,
        /// Whose text or a field has this in it.
        #[arg(long)]
        text: Option<String>,
        /// So many of the latest first.
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(0..=512))]
        backlog: u64,
    },
    /// How it stands, again and again.
    Watch {
        /// From one to the next.
        #[arg(long, default_value = "1s", value_parser = crate::descriptions::span)]
        every: u64,
    },
}

fn verb(what: What) -> Command {
    match what {
        What::Status => Command::Status,
        What::Pools => Command::Pools,
        What::Members { pool } => Command::Members { pool },
        What::Requests { pool, most } => Command::Requests { pool, most: most as usize },
        What::Budgets => Command::Budgets,
        What::Routes => Command::Routes,
        What::Work => Command::Work,
        What::Operations => Command::Operations,
        What::Explain { method, url, headers } => Command::Explain { method, url, headers },
        What::Orders => Command::Orders,
        What::Out { node: Node { node, pool }, reason } => {
            Command::Out { node, pool, because: reason.into() }
        }
        What::Drain { node: Node { node, pool }, reason } => {
            Command::Drain { node, pool, because: reason.into() }
        }
        What::Back { node: Node { node, pool }, back } => Command::Back { node, pool, because: back.into() },
        What::Standby { reason } => Command::Standby { because: reason.into() },
        What::Active { back } => Command::Active { because: back.into() },
        What::Limit { pool, open, rate, reason } => {
            Command::Limit { pool, open, rate, because: reason.into() }
        }
        What::Unlimit { pool, back } => Command::Unlimit { pool, because: back.into() },
        What::Fleet => Command::Fleet,
        What::Changes => Command::Changes,
        What::Snapshot { .. } => Command::Snapshot,
        What::Tail { level, area, event, text, backlog } => {
            Command::Tail { wanted: EventFilter { level, area, event, text }, backlog: backlog as usize }
        }
        What::Watch { every } => Command::Watch { every_ms: every / 1000 },
    }
}

/// Reads a key's file.
fn secret(path: &Path) -> Result<Secret, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| named(e.to_string()))?;
    Secret::read(&text).map_err(named)
}

/// Asks, and says what was answered; what goes on is printed as it comes.
pub async fn run(ctl: Ctl) -> Result<String, String> {
    let Ctl { socket, address, key, key_file, who, json, what } = ctl;
    let into = match &what {
        What::Snapshot { file } => Some(file.clone()),
        _ => None,
    };
    let verb = verb(what);
    let more = |value: Value| {
        let text = if json { value.to_string() + "\n" } else { shown(&value) + "\n" };
        let mut out = std::io::stdout().lock();
        // Whoever reads it may have left; then the next one ends this.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    };
    let answer = match (socket, address, key, key_file) {
        (Some(path), ..) => socket::ask(&path, who, verb, PATIENCE, more).await?,
        (None, Some(address), Some(key), Some(file)) => {
            let client = SignedClient { address, key, secret: secret(&file)? };
            signed_http::ask(&client, who, verb, PATIENCE, more).await?
        }
        _ => return Err("expected --socket, or --address with --key and --key-file".to_owned()),
    };
    if let Some(file) = into {
        return keep(&file, &answer);
    }
    if json {
        return serde_json::to_string_pretty(&answer).map(|text| text + "\n").map_err(|e| e.to_string());
    }
    Ok(shown(&answer))
}

fn keep(file: &Path, answer: &Value) -> Result<String, String> {
    let named = |why: String| format!("{}: {why}", file.display());
    let packed = snapshot::pack(answer)?;
    let made = std::fs::File::options().write(true).create_new(true).open(file);
    made.and_then(|mut made| made.write_all(&packed)).map_err(|e| named(e.to_string()))?;
    Ok(format!("{}: {} bytes\n", file.display(), packed.len()))
}

/// Reads a snapshot.
fn kept(file: &Path) -> Result<Value, String> {
    let named = |why: String| format!("{}: {why}", file.display());
    snapshot::unpack(&std::fs::read(file).map_err(|e| named(e.to_string()))?).map_err(named)
}

/// Shows a snapshot, or a part of it such as `orders.standing`.
pub fn show_kept(file: &Path, part: Option<&str>, json: bool) -> Result<String, String> {
    let whole = kept(file)?;
    let mut value = &whole;
    for name in part.iter().flat_map(|part| part.split('.')) {
        let found = value.get(name).or_else(|| value.get(name.parse::<usize>().ok()?));
        value = found.ok_or_else(|| format!("{}: found no {name:?}", file.display()))?;
    }
    if json {
        return serde_json::to_string_pretty(value).map(|text| text + "\n").map_err(|e| e.to_string());
    }
    Ok(shown(value))
}

/// What differs between two snapshots, a line each.
pub fn compare_kept(was: &Path, is: &Path) -> Result<String, String> {
    let differences = snapshot::differences(&kept(was)?, &kept(is)?);
    Ok(differences.iter().map(|difference| format!("{difference}\n")).collect())
}

/// Makes a key in a file that only its owner may read; one that is there is not written over.
pub fn make_key(file: &Path) -> Result<String, String> {
    use std::os::unix::fs::OpenOptionsExt;
    let mut bytes = [0; sloeline_operations::signed_call::MIN_SECRET_BYTES];
    getrandom::fill(&mut bytes).map_err(|e| e.to_string())?;
    let text = sloeline_operations::signed_call::hex(&bytes) + "\n";
    let made = std::fs::File::options().write(true).create_new(true).mode(0o600).open(file);
    made.and_then(|mut made| made.write_all(text.as_bytes()))
        .map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(String::new())
}

fn shown(value: &Value) -> String {
    let mut text = String::new();
    show(&mut text, "", value);
    text
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(list) => list.iter().map(plain).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}

/// A list of objects is a table, an object a line for each of its values.
fn show(text: &mut String, indent: &str, value: &Value) {
    match value {
        Value::Array(rows) if rows.iter().all(Value::is_object) && !rows.is_empty() => {
            table(text, indent, &rows.iter().filter_map(Value::as_object).collect::<Vec<_>>());
        }
        Value::Array(rows) => rows.iter().for_each(|row| {
            let _ = writeln!(text, "{indent}{}", plain(row));
        }),
        Value::Object(of) => {
            let width = of.keys().map(String::len).max().unwrap_or(0);
            for (name, value) in of {
                let table = value.as_array().is_some_and(|rows| rows.iter().any(Value::is_object));
                if value.is_object() || table {
                    let _ = writeln!(text, "{indent}{name}");
                    show(text, &format!("{indent}  "), value);
                } else {
                    let _ = writeln!(text, "{indent}{name:<width$}  {}", plain(value));
                }
            }
        }
        other => text.push_str(&plain(other)),
    }
}

fn table(text: &mut String, indent: &str, rows: &[&Map<String, Value>]) {
    let names: Vec<&String> = rows[0].keys().collect();
    let cell = |row: &Map<String, Value>, name: &String| row.get(name).map(plain).unwrap_or_default();
    let width = |name: &&String| {
        let longest = rows.iter().map(|row| cell(row, name).chars().count()).max().unwrap_or(0);
        longest.max(name.len())
    };
    let widths: Vec<usize> = names.iter().map(width).collect();
    let mut line = |cells: Vec<String>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        let _ = writeln!(text, "{indent}{}", cells.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(names.iter().map(|name| (*name).clone()).collect());
    rows.iter().for_each(|row| line(names.iter().map(|name| cell(row, name)).collect()));
}
