//! Durations in settings and configurations, written as a number followed by `ms` or `s`.

use anyhow::{Result, bail};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Longest accepted duration in milliseconds: one day.
const MAX_MILLIS: f64 = 86_400_000.0;

/// A duration in microseconds, written as text such as `1500ms` or `2.5s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// Creates a duration of `millis` milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * 1000)
    }

    /// Returns the duration in milliseconds, rounded down.
    pub const fn millis(self) -> u64 {
        self.0 / 1000
    }

    /// Converts to the duration type of the standard library.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

/// Parses a duration between 0 and one day, such as `1500ms` or `2.5s`.
pub fn parse_span(text: &str) -> Result<Span> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s').unwrap_or(""), 1000.0),
    };
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    match number.parse::<f64>() {
        Ok(value) if plain && value * unit <= MAX_MILLIS => Ok(Span((value * unit * 1000.0).round() as u64)),
        _ => bail!("found {text:?}, expected a time up to a day such as 1500ms or 2.5s"),
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Span, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_span(&text).map_err(D::Error::custom)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{}ms", self.0 as f64 / 1000.0))
    }
}
