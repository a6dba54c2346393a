//! A configuration as operators send it, and what makes one invalid.

use std::collections::HashSet;

use anyhow::{Context, Result, bail};
use serde::{Deserialize, Serialize};
use sloeline_process_settings::span::Span;
use validator::{Validate, ValidationError};

/// Most bytes of a configuration.
pub const MOST_BYTES: usize = 16 << 20;
/// So far a target may lie above its route's time-out, in microseconds: a minute, which is too much.
const TARGET_OVER: u64 = 60_000_000;

/// A whole configuration.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
#[validate(schema(function = "consistent"))]
pub struct Config {
    /// Its version.
    pub edition: Edition,
    /// Bounds on what clients send.
    #[serde(default)]
    pub size_limits: SizeLimits,
    /// The routes, by host.
    #[validate(nested)]
    pub gateways: Vec<Gateway>,
    /// The services.
    #[validate(nested)]
    pub depots: Vec<Service>,
}

impl Config {
    /// How many routes there are.
    pub fn routes(&self) -> usize {
        self.gateways.iter().map(|gateway| gateway.regulations.len()).sum()
    }
}

/// A version: eight hexadecimal digits.
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

/// Bounds on what clients send.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct SizeLimits {
    /// Bytes of a head.
    pub header_bytes: u64,
    /// Bytes of a body.
    pub body_bytes: u64,
    /// How long a head may take.
    pub header: Span,
    /// How long a connection may be idle.
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

/// The routes of a host.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Gateway {
    /// The host.
    #[validate(length(min = 1, max = 255, message = "station: expected a host of 1 to 255 bytes"))]
    pub station: String,
    /// Its routes.
    #[validate(nested)]
    pub regulations: Vec<Route>,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Everything.
    Safe,
    /// Nothing.
    Unsafe,
    /// Everything; answers are large.
    Download,
    /// What has the same key runs once.
    Tracked,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Route {
    /// Its name.
    #[serde(default)]
    pub name: String,
    /// What may be repeated.
    pub route_kind: RouteKind,
    /// Within this time an answer earns its full worth.
    pub target: Span,
    /// Its rank, 0 the highest.
    #[serde(default)]
    pub precedence: u32,
    /// What it is found by.
    #[validate(nested)]
    pub sort_by: Match,
    /// Where its requests go.
    #[validate(nested)]
    pub dispatch: Dispatch,
}

/// What a route is found by.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Match {
    /// The beginning of the path, from a slash to a slash.
    #[validate(custom(function = "prefix"))]
    pub lane_prefix: String,
}

fn prefix(text: &str) -> std::result::Result<(), ValidationError> {
    let whole = text.starts_with('/') && text.ends_with('/') && text.len() <= 4096;
    if whole { Ok(()) } else { wrong(format!("lane_prefix: found {text:?}, expected one from / to /")) }
}

/// Where requests go: to one service, or split among several.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Dispatch {
    /// The only service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub line: Option<String>,
    /// Several, by shares.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[validate(length(max = 64, message = "splits: expected at most 64"))]
    pub splits: Vec<SplitPart>,
    /// How long a request may be held.
    pub timeout: Span,
    /// Upstreams that one request may be sent to.
    #[serde(default = "one")]
    pub tries: u32,
}

fn one() -> u32 {
    1
}

/// A part of a split.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct SplitPart {
    /// The service.
    pub line: String,
    /// Its weight.
    pub share: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, Validate)]
pub struct Service {
    /// Its name.
    #[validate(length(min = 1, max = 255, message = "depots.name: expected 1 to 255 bytes"))]
    pub name: String,
    /// The path that tells whether an upstream is well.
    #[serde(default)]
    pub health_path: String,
    /// Connections that an upstream accepts.
    #[serde(default)]
    pub conn_limit: u32,
    /// Its upstreams keep a record of keys of their own.
    #[serde(default)]
    pub deduplicates: bool,
}

fn wrong(message: String) -> std::result::Result<(), ValidationError> {
    let mut error = ValidationError::new("config");
    error.message = Some(message.into());
    Err(error)
}

impl Dispatch {
    /// The services and their weights.
    pub fn weighted_services(&self) -> Vec<(&str, u32)> {
        match &self.line {
            Some(line) => vec![(line.as_str(), 1)],
            None => self.splits.iter().map(|s| (s.line.as_str(), s.share)).collect(),
        }
    }
}

fn consistent(config: &Config) -> std::result::Result<(), ValidationError> {
    let names: HashSet<&str> = config.depots.iter().map(|d| d.name.as_str()).collect();
    if names.len() != config.depots.len() {
        return wrong("depots: two have the same name".to_owned());
    }
    let mut places = HashSet::new();
    for gateway in &config.gateways {
        for route in &gateway.regulations {
            let place = format!("{}{}", gateway.station, route.sort_by.lane_prefix);
            if !places.insert((gateway.station.to_ascii_lowercase(), route.sort_by.lane_prefix.as_str())) {
                return wrong(format!("{place}: two routes have this host and prefix"));
            }
            let dispatch = &route.dispatch;
            if dispatch.line.is_some() != dispatch.splits.is_empty() {
                return wrong(format!("{place}: dispatch: expected either line or splits"));
            }
            let parts = dispatch.weighted_services();
            if let Some((name, _)) = parts.iter().find(|(name, _)| !names.contains(name)) {
                return wrong(format!("{place}: line: found {name:?}, expected one of depots"));
            }
            if parts.iter().all(|(_, share)| *share == 0) {
                return wrong(format!("{place}: splits: found no share above 0"));
            }
            if dispatch.timeout.0 == 0 {
                return wrong(format!("{place}: timeout: found 0, expected more"));
            }
            if dispatch.tries == 0 {
                return wrong(format!("{place}: tries: found 0, expected 1 or more"));
            }
            if route.target.0 >= dispatch.timeout.0.saturating_add(TARGET_OVER) {
                return wrong(format!("{place}: target: expected less than a minute above the timeout"));
            }
        }
    }
    Ok(())
}

impl Config {
    /// Reads and checks a configuration. The error names the field, what was found and what was expected.
    pub fn parse(body: &[u8]) -> Result<Config> {
        if body.len() > MOST_BYTES {
            bail!("configuration: found {} bytes, expected at most {MOST_BYTES}", body.len());
        }
        let config: Config = serde_json::from_slice(body).context("read the configuration")?;
        if let Err(errors) = config.validate() {
            bail!("{}", errors.to_string().replace('\n', "; "));
        }
        Ok(config)
    }
}
