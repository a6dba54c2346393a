//! What the platform tells a balancer: `EDGE_CONFIG` and the variables beside it.

use std::net::SocketAddr;

use serde::Deserialize;
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
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names; a variable wins over the file. The error is one plain line.
    pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::load(&variable, variable("EDGE_DISCOVERY"))
    }

    /// Reads the file again. Discovery's address is the file's now: the variable is as old as the process.
    pub fn read_again(variable: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
        Config::load(&variable, None)
    }

    fn load(variable: &impl Fn(&str) -> Option<String>, discovery: Option<String>) -> Result<Config, String> {
        let path = variable("EDGE_CONFIG").ok_or("EDGE_CONFIG is not set")?;
        let text = std::fs::read_to_string(&path).map_err(|e| format!("EDGE_CONFIG {path}: {e}"))?;
        let file: File = serde_json::from_str(&text).map_err(|e| format!("EDGE_CONFIG {path}: {e}"))?;
        let address = |name: &str, text: Option<String>| {
            let text = text.ok_or_else(|| format!("{name} is not set"))?;
            text.parse().map_err(|_| format!("{name}: {text:?} is no address with a port"))
        };
        Ok(Config {
            name: variable("EDGE_NAME").or(file.name).unwrap_or_default(),
            listen: address("EDGE_LISTEN", variable("EDGE_LISTEN").or(file.listen))?,
            discovery: address("EDGE_DISCOVERY", discovery.or(file.discovery))?,
            seed: seed(&file.seed)?,
            sockets: file.limits.sockets.unwrap_or(SOCKETS),
            memory: (file.limits.memory_mb.unwrap_or(MEMORY).max(0.0) * f64::from(1 << 20)) as usize,
            known: file.known,
            setup: file.settings,
        })
    }
}

/// Hexadecimal; none is 0.
fn seed(text: &str) -> Result<u64, String> {
    let digits = if text.is_empty() { "0" } else { text };
    u64::from_str_radix(digits, 16).map_err(|_| format!("seed: {text:?} is no hexadecimal number"))
}
