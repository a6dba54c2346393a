//! The settings file of a process of the mesh, checked: every mistake at once, each with its field, what was found and
//! what was expected. Fields that are not known are passed over.

pub mod file;
pub mod span;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use anyhow::{Context, Result, bail};
use serde::Deserialize;
use span::{Span, span};
use validator::{Validate, ValidationError};

/// What a process is told.
#[derive(Clone, Debug, Deserialize, Validate)]
#[validate(schema(function = "consistent"))]
pub struct Settings {
    /// This machine's name.
    #[validate(length(min = 1, max = 255, message = "expected 1 to 255 bytes"))]
    pub node_name: String,
    /// Its class.
    #[serde(default)]
    pub machine_class: String,
    /// What is served here to those outside.
    #[serde(default)]
    pub serves_role: Vec<String>,
    /// Its address.
    pub ip_addr: std::net::IpAddr,
    /// Where this process listens for others of the mesh, if not at `ip_addr`: they reach it there through something between.
    #[serde(default)]
    pub mesh_bind_addr: Option<std::net::IpAddr>,
    /// Its zone.
    #[validate(length(min = 1, max = 255, message = "expected 1 to 255 bytes"))]
    pub zone_name: String,
    /// Its region.
    #[serde(default)]
    pub region: String,
    /// First and last port that is free for processes of the mesh.
    pub port_range: (u16, u16),
    /// Where core machines were when the file was written.
    #[serde(default)]
    #[validate(length(max = 64, message = "expected at most 64 addresses"))]
    pub seed_nodes: Vec<SocketAddr>,
    /// The whole system starts for the first time.
    #[serde(default)]
    pub first_boot: bool,
    /// The folder of its disk.
    #[serde(default)]
    pub data_path: Option<PathBuf>,
    /// How often the upstream says that it is there.
    #[serde(rename = "beat", default = "default_heartbeat_interval")]
    pub heartbeat_interval: Span,
    /// Figures of the rules, `name=value`.
    #[serde(default)]
    pub guarantees: Vec<String>,
    /// The upstream of this machine.
    #[serde(rename = "app_addr", default)]
    pub upstream_addr: Option<SocketAddr>,
    /// Its service.
    #[serde(rename = "line", default)]
    pub service: Option<String>,
    /// The zones and their regions.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where this process serves.
    #[serde(rename = "docks", default)]
    pub listen_addrs: ListenAddrs,
    /// What the machine has.
    #[serde(default)]
    #[validate(nested)]
    pub size_limits: Size,
    /// What may be lost at once.
    #[serde(default)]
    pub tolerance: Tolerance,
}

fn default_heartbeat_interval() -> Span {
    Span::from_millis(1500)
}

/// Addresses at which a process serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct ListenAddrs {
    /// Requests for the upstream of this machine, from other balancers.
    pub incoming: Option<SocketAddr>,
    /// Requests of this machine's clients and of its upstream.
    pub outgoing: Option<SocketAddr>,
    /// Whether this machine may get clients.
    pub readiness: Option<SocketAddr>,
    /// Beats, and operators' calls.
    #[serde(rename = "control_dock")]
    pub control: Option<SocketAddr>,
}

/// What a machine has.
#[derive(Clone, Copy, Debug, Deserialize, Validate)]
#[serde(default)]
pub struct Size {
    /// Part of a core.
    #[validate(range(exclusive_min = 0.0, max = 4096.0, message = "expected more than 0, at most 4096"))]
    pub cpu_share: f64,
    /// Megabytes of memory.
    #[validate(range(min = 16, max = 1_048_576, message = "expected 16 to 1048576"))]
    pub memory_mb: u64,
    /// Descriptors.
    #[validate(range(min = 64, max = 1_048_576, message = "expected 64 to 1048576"))]
    pub file_handles: u64,
    /// Megabits a second that its link carries.
    #[validate(range(min = 0.1, max = 1e6, message = "expected 0.1 to 1000000"))]
    pub link_mbps: f64,
}

impl Default for Size {
    fn default() -> Size {
        Size { cpu_share: 1.0, memory_mb: 256, file_handles: 1024, link_mbps: 1000.0 }
    }
}

/// What may be lost at once.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(default)]
pub struct Tolerance {
    /// Machines that count.
    pub machine_loss: u64,
}

/// Figures of the rules, with what holds where the file does not say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Guarantees {
    /// How long a key is remembered.
    pub key_window: Span,
    /// From the order to stop to the kill.
    pub grace: Span,
    /// How long an upstream that leaves still serves.
    pub drain: Span,
    /// Further arrivals for each request.
    pub retry_ratio: f64,
    /// And so many beyond that.
    pub retry_slack: f64,
    /// In each span of this length.
    pub retry_window: Span,
    /// From an acknowledgement until it holds everywhere.
    pub edition_time: Span,
}

fn consistent(settings: &Settings) -> std::result::Result<(), ValidationError> {
    let wrong = |message: String| {
        let mut error = ValidationError::new("settings");
        error.message = Some(message.into());
        Err(error)
    };
    let (first, last) = settings.port_range;
    if first == 0 || first > last {
        return wrong(format!("port_range: found [{first},{last}], expected a first port up to the last"));
    }
    for text in &settings.guarantees {
        if text.split_once('=').is_none() {
            return wrong(format!("guarantees: found {text:?}, expected name=value"));
        }
    }
    settings.guarantees().map(|_| ()).or_else(|e| wrong(e.to_string()))
}

impl Settings {
    /// Reads and checks a file.
    pub fn read(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path).with_context(|| format!("read {}", path.display()))?;
        Settings::parse(&text).with_context(|| format!("check {}", path.display()))
    }

    /// Reads and checks the text of a file.
    pub fn parse(text: &str) -> Result<Settings> {
        let settings: Settings = toml::from_str(text)?;
        if let Err(errors) = settings.validate() {
            let lines: Vec<String> = errors.to_string().lines().map(str::to_owned).collect();
            bail!("{}", lines.join("; "));
        }
        Ok(settings)
    }

    /// The figures of the rules.
    pub fn guarantees(&self) -> Result<Guarantees> {
        let text = |name: &str| {
            self.guarantees.iter().filter_map(|g| g.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
        };
        let time = |name: &str, untold: u64| match text(name) {
            None => Ok(Span::from_millis(untold)),
            Some(value) => span(value).with_context(|| format!("guarantees.{name}")),
        };
        let figure = |name: &str, untold: f64| match text(name) {
            None => Ok(untold),
            Some(value) => match value.parse::<f64>() {
                Ok(figure) if figure.is_finite() && figure >= 0.0 => Ok(figure),
                _ => bail!("guarantees.{name}: found {value:?}, expected a number from 0"),
            },
        };
        Ok(Guarantees {
            key_window: time("key_window", 60_000)?,
            grace: time("grace", 6_000)?,
            drain: time("drain", 2_000)?,
            retry_ratio: figure("retry_ratio", 0.2)?,
            retry_slack: figure("retry_slack", 60.0)?,
            retry_window: time("retry_window", 10_000)?,
            edition_time: time("edition_time", 2_000)?,
        })
    }

    /// Where processes of the mesh reach this one.
    pub fn mesh_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip_addr, self.port_range.0)
    }

    /// Where this process listens for others of the mesh.
    pub fn mesh_bind_address(&self) -> SocketAddr {
        SocketAddr::new(self.mesh_bind_addr.unwrap_or(self.ip_addr), self.port_range.0)
    }

    /// Where processes of the mesh reach a machine that is named by another address of its own: ports are alike on all.
    pub fn mesh_address_of(&self, address: SocketAddr) -> SocketAddr {
        SocketAddr::new(address.ip(), self.port_range.0)
    }
}
