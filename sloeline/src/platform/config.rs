//! What the platform tells a balancer: `EDGE_CONFIG` and the variables beside it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;
use sloeline_membership::platform::List;
use sloeline_settings::setup::Setup;

/// Descriptors where the configuration names no limit.
const SOCKETS: usize = 1024;
/// Memory where it names none, in MB.
const MEMORY: f64 = 192.0;

/// The configuration file; unknown keys are passed over.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    #[serde(default)]
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<List>,
    settings: Setup,
}

#[derive(Default, Deserialize)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// All that a balancer is told at its start.
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where operators call; nothing where they can't.
    pub control: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may use, in bytes.
    pub memory: usize,
    /// The list of upstreams as last held.
    pub known: Option<List>,
    /// The simulator's start message.
    pub setup: Setup,
    /// The file as it stood.
    pub file: Value,
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names; a variable wins over the file. The error is one plain line.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::load(&variable, variable("EDGE_DISCOVERY"))
    }

    /// Reads the file again. Discovery's address is the file's now: the variable is as old as the process. A file that
    /// lacks a key that the running one has is broken, also where a default could stand in.
    pub fn read_again(variable: impl Fn(&str) -> Option<String>, running: &Value) -> Result<Config, String> {
        let config = Config::load(&variable, None)?;
        match lacking(running, &config.file, "") {
            Some(key) => Err(format!("EDGE_CONFIG: {key} is missing; the running configuration has it")),
            None => Ok(config),
        }
    }

    fn load(variable: &impl Fn(&str) -> Option<String>, discovery: Option<String>) -> Result<Config, String> {
        let path = variable("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("EDGE_CONFIG {path}: {e}"))?;
        // Twice, so that errors name their line.
        let file: File = serde_json::from_str(&text).map_err(|e| format!("EDGE_CONFIG {path}: {e}"))?;
        let shape: Value = serde_json::from_str(&text).map_err(|e| format!("EDGE_CONFIG {path}: {e}"))?;
        let address = |name: &str, text: Option<String>| {
            let text = text.ok_or_else(|| format!("{name} is not set"))?;
            text.parse().map_err(|_| format!("{name}: {text:?} is no address with a port"))
        };
        Ok(Config {
            name: variable("EDGE_NAME").or(file.name).unwrap_or_default(),
            listen: address("EDGE_LISTEN", variable("EDGE_LISTEN").or(file.listen))?,
            discovery: address("EDGE_DISCOVERY", discovery.or(file.discovery))?,
            control: match variable("EDGE_CONTROL").or(file.control) {
                Some(text) => Some(address("EDGE_CONTROL", Some(text))?),
                None => None,
            },
            seed: seed(&file.seed)?,
            sockets: file.limits.sockets.unwrap_or(SOCKETS),
            memory: (file.limits.memory_mb.unwrap_or(MEMORY).max(0.0) * f64::from(1 << 20)) as usize,
            known: file.known,
            setup: file.settings,
            file: shape,
        })
    }
}

/// Parts whose keys are names of things that may come and go, or that hold only at the start.
const FREE: [&str; 2] = ["/known", "/settings/Tariffs"];

/// The first key of one object that another lacks. Elements of arrays must each have what all old ones had.
fn lacking(old: &Value, new: &Value, path: &str) -> Option<String> {
    if FREE.contains(&path) {
        return None;
    }
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| {
            let path = format!("{path}/{key}");
            match new.get(key) {
                None if FREE.contains(&path.as_str()) => None,
                None => Some(path),
                Some(new) => lacking(value, new, &path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let mut objects = old.iter().filter_map(Value::as_object);
            let mut common = objects.next()?.clone();
            for other in objects {
                common.retain(|key, _| other.contains_key(key));
            }
            let common = Value::Object(common);
            new.iter().enumerate().find_map(|(at, new)| lacking(&common, new, &format!("{path}/{at}")))
        }
        (Value::Object(_) | Value::Array(_), _) => Some(path.to_owned()),
        _ => None,
    }
}

/// Hexadecimal; none is 0.
fn seed(text: &str) -> Result<u64, String> {
    let digits = if text.is_empty() { "0" } else { text };
    u64::from_str_radix(digits, 16).map_err(|_| format!("seed: {text:?} is no hexadecimal number"))
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn a_key_that_is_gone_is_named_and_names_may_come_and_go() {
        let old = json!({"a": 1, "known": {"x": 1}, "settings": {"Tariffs": {"t": 1}, "C": [
            {"Name": "p", "V": 1, "G": "all"}, {"Name": "q", "V": 2}]}});
        let with = |change: &dyn Fn(&mut Value)| {
            let mut new = old.clone();
            change(&mut new);
            lacking(&old, &new, "")
        };
        assert_eq!(with(&|_| {}), None);
        assert_eq!(with(&|v| v["more"] = json!(1)), None);
        assert_eq!(with(&|v| drop(v.as_object_mut().map(|o| o.remove("known")))), None);
        assert_eq!(with(&|v| v["settings"]["Tariffs"] = json!({})), None);
        assert_eq!(with(&|v| v["settings"]["C"] = json!([{"Name": "r", "V": 3}])), None);
        assert_eq!(with(&|v| drop(v.as_object_mut().map(|o| o.remove("a")))), Some("/a".to_owned()));
        assert_eq!(
            with(&|v| v["settings"]["C"] = json!([{"Name": "r"}])),
            Some("/settings/C/0/V".to_owned())
        );
        assert_eq!(with(&|v| v["settings"] = json!(7)), Some("/settings".to_owned()));
    }
}
