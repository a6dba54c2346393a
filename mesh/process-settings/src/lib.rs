//! The settings file of a mesh process, read from TOML and validated.
//!
//! Validation errors name the field, what was found and what was expected. Fields out of range are reported together.
//! Unknown fields are ignored, so that a file written for a newer version can be read.

pub mod file;
pub mod span;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use span::{Span, parse_span};
use validator::{Validate, ValidationError};

/// The settings of a mesh process. Where the name of a field differs from its key in the file, its comment states the key.
#[derive(Clone, Debug, Deserialize, Validate)]
#[validate(schema(function = "consistent"))]
pub struct Settings {
    /// Name of this machine, unique in the mesh.
    #[validate(length(min = 1, max = 255, message = "expected 1 to 255 bytes"))]
    pub node_name: String,
    /// Label for the class of this machine.
    #[serde(default)]
    pub machine_class: String,
    /// Roles in which this machine serves clients outside the mesh.
    #[serde(default)]
    pub serves_role: Vec<String>,
    /// IP address at which other machines reach this one.
    pub ip_addr: std::net::IpAddr,
    /// IP address at which this process listens for other mesh processes, if it differs from `ip_addr`, as behind an address
    /// translation or a proxy.
    #[serde(default)]
    pub mesh_bind_addr: Option<std::net::IpAddr>,
    /// Name of the zone that this machine is in.
    #[validate(length(min = 1, max = 255, message = "expected 1 to 255 bytes"))]
    pub zone_name: String,
    /// Region that this machine is in.
    #[serde(default)]
    pub region: String,
    /// First and last port reserved for mesh processes on this machine. Mesh traffic uses the first port.
    pub port_range: (u16, u16),
    /// Addresses of core machines at the time the file was written; the ports are ignored.
    #[serde(default)]
    #[validate(length(max = 64, message = "expected at most 64 addresses"))]
    pub seed_nodes: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    #[serde(default)]
    pub first_boot: bool,
    /// Directory for persistent state; core machines need it.
    #[serde(default)]
    pub data_path: Option<PathBuf>,
    /// Interval between the heartbeats of this machine's upstream; `beat` in the file.
    #[serde(rename = "beat", default = "default_heartbeat_interval")]
    pub heartbeat_interval: Span,
    /// Parameters of the service guarantees, each as `name=value`; see [`Settings::guarantees`].
    #[serde(default)]
    pub guarantees: Vec<String>,
    /// Address of the upstream on this machine; `app_addr` in the file.
    #[serde(rename = "app_addr", default)]
    pub upstream_addr: Option<SocketAddr>,
    /// Name of the service that the upstream on this machine provides; `line` in the file.
    #[serde(rename = "line", default)]
    pub service: Option<String>,
    /// Region of each zone, by zone name.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses at which this process listens; `docks` in the file.
    #[serde(rename = "docks", default)]
    pub listen_addrs: ListenAddrs,
    /// Resources of this machine.
    #[serde(default)]
    #[validate(nested)]
    pub size_limits: Size,
    /// Number of simultaneous failures that the system must tolerate.
    #[serde(default)]
    pub tolerance: Tolerance,
}

/// Default of [`Settings::heartbeat_interval`].
fn default_heartbeat_interval() -> Span {
    Span::from_millis(1500)
}

/// Addresses at which a process listens, each for one kind of traffic. `None` means that this kind is not served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ListenAddrs {
    /// Accepts requests from other balancers for the upstream on this machine.
    pub incoming: Option<SocketAddr>,
    /// Accepts requests from clients on this machine, including its upstream.
    pub outgoing: Option<SocketAddr>,
    /// Serves the readiness check that tells whether clients may be sent to this machine.
    pub readiness: Option<SocketAddr>,
    /// Accepts heartbeats of upstreams and calls of operators; `control_dock` in the file.
    #[serde(rename = "control_dock")]
    pub control: Option<SocketAddr>,
}

/// Resources of a machine.
#[derive(Clone, Copy, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct Size {
    /// CPU capacity in cores, possibly a fraction of one.
    #[validate(range(exclusive_min = 0.0, max = 4096.0, message = "expected more than 0, at most 4096"))]
    pub cpu_share: f64,
    /// Memory in megabytes.
    #[validate(range(min = 16, max = 1_048_576, message = "expected 16 to 1048576"))]
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    #[validate(range(min = 64, max = 1_048_576, message = "expected 64 to 1048576"))]
    pub file_handles: u64,
    /// Bandwidth of the network link in megabits per second.
    #[validate(range(min = 0.1, max = 1e6, message = "expected 0.1 to 1000000"))]
    pub link_mbps: f64,
}

impl Default for Size {
    fn default() -> Size {
        Size { cpu_share: 1.0, memory_mb: 256, file_handles: 1024, link_mbps: 1000.0 }
    }
}

/// Number of simultaneous failures that the system must tolerate.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Tolerance {
    /// Number of core machines that may fail at the same time without loss of data or service.
    pub machine_loss: u64,
}

/// Parameters of the service guarantees. Parameters missing from the settings file have their default.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guarantees {
    /// How long a key of a tracked request is remembered.
    pub key_window: Span,
    /// Time between the request to stop a process and its kill.
    pub grace: Span,
    /// How long an upstream that has announced its shutdown still serves requests.
    pub drain: Span,
    /// Number of retries allowed in each `retry_window`, as a ratio of the number of requests.
    pub retry_ratio: f64,
    /// Number of retries allowed in each `retry_window` in addition to `retry_ratio`.
    pub retry_slack: f64,
    /// Length of the window in which retries are counted against `retry_ratio` and `retry_slack`.
    pub retry_window: Span,
    /// Maximum time from the acknowledgement of a configuration until it is in force on all machines.
    pub edition_time: Span,
}

/// Checks rules that involve several fields or the text of a field.
fn consistent(settings: &Settings) -> std::result::Result<(), ValidationError> {
    let invalid = |message: String| {
        let mut error = ValidationError::new("settings");
        error.message = Some(message.into());
        Err(error)
    };
    let (first, last) = settings.port_range;
    if first == 0 || first > last {
        return invalid(format!("port_range: found [{first},{last}], expected a first port up to the last"));
    }
    for text in &settings.guarantees {
        if text.split_once('=').is_none() {
            return invalid(format!("guarantees: found {text:?}, expected name=value"));
        }
    }
    settings.guarantees().map(|_| ()).or_else(|e| invalid(e.to_string()))
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
        Settings::parse(&text).with_context(|| format!("check {}", path.display()))
    }

    /// Parses and validates the text of a settings file.
    pub fn parse(text: &str) -> Result<Settings> {
        let settings: Settings = toml::from_str(text)?;
        if let Err(errors) = settings.validate() {
            let lines: Vec<String> = errors.to_string().lines().map(str::to_owned).collect();
            bail!("{}", lines.join("; "));
        }
        Ok(settings)
    }

    /// Parses the service guarantees. Unknown names are ignored.
    pub fn guarantees(&self) -> Result<Guarantees> {
        let text = |name: &str| {
            self.guarantees
                .iter()
                .filter_map(|entry| entry.split_once('='))
                .find(|(n, _)| *n == name)
                .map(|(_, v)| v)
        };
        let time = |name: &str, default_millis: u64| match text(name) {
            None => Ok(Span::from_millis(default_millis)),
            Some(value) => parse_span(value).with_context(|| format!("guarantees.{name}")),
        };
        let number = |name: &str, default: f64| match text(name) {
            None => Ok(default),
            Some(value) => match value.parse::<f64>() {
                Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
                _ => bail!("guarantees.{name}: found {value:?}, expected a number from 0"),
            },
        };
        Ok(Guarantees {
            key_window: time("key_window", 60_000)?,
            grace: time("grace", 6_000)?,
            drain: time("drain", 2_000)?,
            retry_ratio: number("retry_ratio", 0.2)?,
            retry_slack: number("retry_slack", 60.0)?,
            retry_window: time("retry_window", 10_000)?,
            edition_time: time("edition_time", 2_000)?,
        })
    }

    /// Address at which other mesh processes reach this one.
    pub fn mesh_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip_addr, self.port_range.0)
    }

    /// Address at which this process listens for other mesh processes.
    pub fn mesh_bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.mesh_bind_addr.unwrap_or(self.ip_addr), self.port_range.0)
    }

    /// Address at which mesh processes reach the machine that has `address` as one of its addresses. All machines use the same
    /// mesh port.
    pub fn mesh_address_of(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(address.ip(), self.port_range.0)
    }
}
