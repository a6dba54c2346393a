//! Times as they are written: a number and `ms` or `s`.

use anyhow::{Result, bail};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error};

/// Longest time that is taken: a day.
const LONGEST: f64 = 86_400_000.0;

/// A time in microseconds, written as text such as `1500ms` or `2.5s`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub u64);

impl Span {
    /// So many milliseconds.
    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * 1000)
    }

    /// In whole milliseconds.
    pub const fn millis(self) -> u64 {
        self.0 / 1000
    }

    /// As the standard library has it.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

/// Reads a time of 0 to a day.
pub fn span(text: &str) -> Result<Span> {
    let (number, unit) = match text.strip_suffix("ms") {
        Some(number) => (number, 1.0),
        None => (text.strip_suffix('s').unwrap_or(""), 1000.0),
    };
    let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    match number.parse::<f64>() {
        Ok(value) if plain && value * unit <= LONGEST => Ok(Span((value * unit * 1000.0).round() as u64)),
        _ => bail!("found {text:?}, expected a time up to a day such as 1500ms or 2.5s"),
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Span, D::Error> {
        let text = String::deserialize(deserializer)?;
        span(&text).map_err(D::Error::custom)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, serializer: S) -> std::result::Result<S::Ok, S::Error> {
        serializer.serialize_str(&format!("{}ms", self.0 as f64 / 1000.0))
    }
}
