//! `sloeline ctl`: asks a daemon that runs, over its control socket.

use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};
use serde_json::{Map, Value};
use sloeline_operations::socket::{Verb, ask};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(10);

/// Which daemon, and what.
#[derive(Args)]
pub struct Ctl {
    /// The daemon's socket, `[control] socket` of its configuration.
    #[arg(long, value_name = "PATH", env = "SLOELINE_SOCKET")]
    socket: PathBuf,
    /// The answer as JSON.
    #[arg(long)]
    json: bool,
    #[command(subcommand)]
    what: What,
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
    /// Send nothing new to a node, until it is put back or the process ends.
    Out {
        /// Its name.
        node: String,
        /// Only in this pool.
        #[arg(long)]
        pool: Option<String>,
    },
    /// Send to a node again that was ordered out.
    Back {
        /// Its name.
        node: String,
        /// Only in this pool.
        #[arg(long)]
        pool: Option<String>,
    },
    /// What reading its configuration again would change; status 1 if it can't be read.
    Changes,
}

/// Asks, and says what was answered.
pub async fn run(ctl: Ctl) -> Result<String, String> {
    let verb = match ctl.what {
        What::Status => Verb::Status,
        What::Pools => Verb::Pools,
        What::Members { pool } => Verb::Members { pool },
        What::Work => Verb::Work,
        What::Operations => Verb::Operations,
        What::Explain { method, url, headers } => Verb::Explain { method, url, headers },
        What::Out { node, pool } => Verb::Out { node, pool },
        What::Back { node, pool } => Verb::Back { node, pool },
        What::Changes => Verb::Changes,
    };
    let answer = ask(&ctl.socket, verb, PATIENCE).await?;
    if ctl.json {
        return serde_json::to_string_pretty(&answer).map(|text| text + "\n").map_err(|e| e.to_string());
    }
    let mut text = String::new();
    show(&mut text, "", &answer);
    Ok(text)
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
