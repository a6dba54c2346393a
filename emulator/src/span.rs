//! Spans of time as experiments write them: a number and its unit.

use std::fmt;

use finchshift::Micros;
use serde::de::{Deserializer, Error, Visitor};
use serde::{Deserialize, Serialize, Serializer};

/// Longest span: a year. Guards sums of times.
const MOST: f64 = 366.0 * 86_400e6;
const UNITS: [(&str, f64); 5] = [("us", 1.0), ("ms", 1e3), ("s", 1e6), ("m", 60e6), ("h", 3600e6)];

/// A span in microseconds, written as `"250ms"`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

impl Span {
    /// Reads a span.
    pub fn parse(text: &str) -> Result<Span, String> {
        let expected =
            || format!("found {text:?}, expected a number and one of us, ms, s, m, h, such as \"250ms\"");
        let at = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(expected)?;
        let (number, unit) = text.split_at(at);
        let micros = UNITS.iter().find(|(name, _)| *name == unit).ok_or_else(expected)?.1;
        let number: f64 = number.trim().parse().map_err(|_| expected())?;
        let span = number * micros;
        if !(0.0..=MOST).contains(&span) {
            return Err(format!("found {text:?}, expected a span from 0 to a year"));
        }
        Ok(Span(span.round() as Micros))
    }

    /// In seconds.
    pub fn seconds(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let us = self.0 as f64;
        match UNITS.iter().rev().find(|(_, size)| us >= *size) {
            Some((unit, size)) => write!(f, "{}{unit}", us / size),
            None => f.write_str("0s"),
        }
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Span, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = Span;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a span such as \"250ms\"")
            }
            fn visit_str<E: Error>(self, text: &str) -> Result<Span, E> {
                Span::parse(text).map_err(E::custom)
            }
        }
        from.deserialize_str(Text)
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_are_read_and_written() {
        for (text, micros) in
            [("250ms", 250_000), ("3s", 3_000_000), ("1.5m", 90_000_000), ("7us", 7), ("0s", 0)]
        {
            let span = Span::parse(text).expect("a span");
            assert_eq!(span, Span(micros), "{text}");
            assert_eq!(Span::parse(&span.to_string()), Ok(span), "{text}");
        }
        for text in ["", "3", "ms", "-1s", "1 day", "NaNs", "infs", "999999999h", "1e400s"] {
            assert!(Span::parse(text).is_err(), "{text}");
        }
    }
}
