//! The route configuration as operators submit it in JSON, and its validation. Field names are the keys in the JSON.

use std::collections::HashSet;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};
use sloeline_process_settings::span::Span;
use validator::{Validate, ValidationError};

/// Maximum size of a configuration in bytes.
pub const MAX_CONFIG_BYTES: usize = 16 << 20;
/// Upper limit, in microseconds, on how far a route's target may exceed its timeout. An excess of one minute or more is
/// refused.
const TARGET_OVER_TIMEOUT_LIMIT_US: u64 = 60_000_000;

/// A complete route configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
#[validate(schema(function = "consistent"))]
pub struct Config {
    /// Version of the configuration; a higher version replaces a lower one.
    pub edition: Edition,
    /// Limits on the size and timing of client requests.
    #[serde(default)]
    pub size_limits: SizeLimits,
    /// The routes, grouped by host.
    #[validate(nested)]
    pub gateways: Vec<Gateway>,
    /// The services that routes send requests to.
    #[validate(nested)]
    pub depots: Vec<Service>,
}

impl Config {
    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.gateways.iter().map(|gateway| gateway.regulations.len()).sum()
    }
}

/// The version of a configuration, written as eight hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Edition(pub u32);

impl TryFrom<&str> for Edition {
    type Error = anyhow::Error;

    fn try_from(text: &str) -> Result<Edition> {
        let digits = text.len() == 8 && text.bytes().all(|b| b.is_ascii_hexdigit());
        match u32::from_str_radix(text, 16) {
            Ok(number) if digits => Ok(Edition(number)),
            _ => bail!("edition: found {text:?}, expected eight hexadecimal digits"),
        }
    }
}

impl std::fmt::Display for Edition {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl<'de> Deserialize<'de> for Edition {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> std::result::Result<Edition, D::Error> {
        let text = String::deserialize(deserializer)?;
        Edition::try_from(text.as_str()).map_err(serde::de::Error::custom)
    }
}

impl Serialize for Edition {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Limits on the size and timing of client requests.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct SizeLimits {
    /// Maximum size of a request head in bytes.
    pub header_bytes: u64,
    /// Maximum size of a request body in bytes.
    pub body_bytes: u64,
    /// Maximum time for receiving a request head.
    pub header: Span,
    /// Maximum time a connection may be idle.
    pub idle: Span,
}

impl Default for SizeLimits {
    fn default() -> SizeLimits {
        SizeLimits {
            header_bytes: 16 << 10,
            body_bytes: 64 << 20,
            header: Span::from_millis(3000),
            idle: Span::from_millis(15_000),
        }
    }
}

/// The routes of one host.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Gateway {
    /// Host name in requests, without a port; compared without regard to case.
    #[validate(length(min = 1, max = 255, message = "station: expected a host of 1 to 255 bytes"))]
    pub station: String,
    /// Routes of this host.
    #[validate(nested)]
    pub regulations: Vec<Route>,
}

/// Which requests of a route may be retried, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// All requests may be retried.
    Safe,
    /// No request may be retried.
    Unsafe,
    /// All requests may be retried; responses are large.
    Download,
    /// Requests carry a key, and requests with the same key are executed once.
    Tracked,
}

/// A route: the requests it matches, and where and how they are sent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Route {
    /// Descriptive name of the route.
    #[serde(default)]
    pub name: String,
    /// Which requests may be retried, and how.
    pub route_kind: RouteKind,
    /// Target response time; a response within it has full value.
    pub target: Span,
    /// Priority of the route's requests; 0 is the highest.
    #[serde(default)]
    pub precedence: u32,
    /// Condition that a request must meet to take this route.
    #[validate(nested)]
    pub sort_by: Match,
    /// Where the requests are sent.
    #[validate(nested)]
    pub dispatch: Dispatch,
}

/// Condition that a request must meet to take a route.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Match {
    /// Prefix of the request path. It starts and ends with a slash.
    #[validate(custom(function = "validate_prefix"))]
    pub lane_prefix: String,
}

/// Checks that a path prefix starts and ends with a slash.
fn validate_prefix(text: &str) -> std::result::Result<(), ValidationError> {
    let valid = text.starts_with('/') && text.ends_with('/') && text.len() <= 4096;
    if valid { Ok(()) } else { invalid(format!("lane_prefix: found {text:?}, expected one from / to /")) }
}

/// Where requests are sent: to one service, or split among several by weight.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Dispatch {
    /// Name of the only service; `None` if `splits` is given.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<String>,
    /// Services and their weights; empty if `line` is given.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(length(max = 64, message = "splits: expected at most 64"))]
    pub splits: Vec<SplitPart>,
    /// Maximum time for answering a request, including retries.
    pub timeout: Span,
    /// Maximum number of upstreams that one request is sent to.
    #[serde(default = "default_tries")]
    pub tries: u32,
}

/// Default of [`Dispatch::tries`].
fn default_tries() -> u32 {
    1
}

/// One of the services that a route's requests are split among.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SplitPart {
    /// Name of the service.
    pub line: String,
    /// Weight of the service relative to the other parts of the split.
    pub share: u32,
}

/// A service: a group of upstreams that answer the same requests.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Service {
    /// Name of the service, unique in the configuration.
    #[validate(length(min = 1, max = 255, message = "depots.name: expected 1 to 255 bytes"))]
    pub name: String,
    /// Request path of the upstreams' health check.
    #[serde(default)]
    pub health_path: String,
    /// Maximum number of connections that one upstream accepts.
    #[serde(default)]
    pub conn_limit: u32,
    /// Whether the upstreams detect repeated keys of tracked requests by themselves.
    #[serde(default)]
    pub deduplicates: bool,
}

/// Returns a validation error with `message`.
fn invalid(message: String) -> std::result::Result<(), ValidationError> {
    let mut error = ValidationError::new("config");
    error.message = Some(message.into());
    Err(error)
}

impl Dispatch {
    /// Returns the services and their weights; a single service has weight 1.
    pub fn weighted_services(&self) -> Vec<(&str, u32)> {
        match &self.line {
            Some(line) => vec![(line.as_str(), 1)],
            None => self.splits.iter().map(|part| (part.line.as_str(), part.share)).collect(),
        }
    }
}

/// Checks rules that involve several fields.
fn consistent(config: &Config) -> std::result::Result<(), ValidationError> {
    let names: HashSet<&str> = config.depots.iter().map(|service| service.name.as_str()).collect();
    if names.len() != config.depots.len() {
        return invalid("depots: two have the same name".to_owned());
    }
    let mut seen = HashSet::new();
    for gateway in &config.gateways {
        for route in &gateway.regulations {
            let place = format!("{}{}", gateway.station, route.sort_by.lane_prefix);
            if !seen.insert((gateway.station.to_ascii_lowercase(), route.sort_by.lane_prefix.as_str())) {
                return invalid(format!("{place}: two routes have this host and prefix"));
            }
            let dispatch = &route.dispatch;
            if dispatch.line.is_some() != dispatch.splits.is_empty() {
                return invalid(format!("{place}: dispatch: expected either line or splits"));
            }
            let parts = dispatch.weighted_services();
            if let Some((name, _)) = parts.iter().find(|(name, _)| !names.contains(name)) {
                return invalid(format!("{place}: line: found {name:?}, expected one of depots"));
            }
            if parts.iter().all(|(_, share)| *share == 0) {
                return invalid(format!("{place}: splits: found no share above 0"));
            }
            if dispatch.timeout.0 == 0 {
                return invalid(format!("{place}: timeout: found 0, expected more"));
            }
            if dispatch.tries == 0 {
                return invalid(format!("{place}: tries: found 0, expected 1 or more"));
            }
            if route.target.0 >= dispatch.timeout.0.saturating_add(TARGET_OVER_TIMEOUT_LIMIT_US) {
                return invalid(format!("{place}: target: expected less than a minute above the timeout"));
            }
        }
    }
    Ok(())
}

impl Config {
    /// Parses and validates a configuration from JSON. Errors name the field, what was found and what was expected.
    pub fn parse(body: &[u8]) -> Result<Config> {
        if body.len() > MAX_CONFIG_BYTES {
            bail!("configuration: found {} bytes, expected at most {MAX_CONFIG_BYTES}", body.len());
        }
        let config: Config = serde_json::from_slice(body).context("read the configuration")?;
        if let Err(errors) = config.validate() {
            bail!("{}", errors.to_string().replace('\n', "; "));
        }
        Ok(config)
    }
}
