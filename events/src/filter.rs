//! Selects events: log levels by area, and filters for subscribers.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tracing::Level;

use crate::hub::Record;

/// Parses a level in lower case: `error`, `warn`, `info`, `debug` or `trace`.
pub fn parse_level(word: &str) -> Option<Level> {
    ["error", "warn", "info", "debug", "trace"].contains(&word).then(|| word.parse().ok()).flatten()
}

/// Log levels: a default, and exceptions by area.
#[derive(Clone, Debug, PartialEq)]
pub struct Levels {
    /// Level of areas that are not in `areas`.
    pub default_level: Level,
    /// Level by area. An entry also applies to nested areas: `membership` to `membership.etcd`.
    pub areas: BTreeMap<String, Level>,
}

impl Default for Levels {
    fn default() -> Levels {
        Levels { default_level: Level::INFO, areas: BTreeMap::new() }
    }
}

impl Levels {
    /// Parses a comma-separated list of a default level and `AREA=LEVEL` entries, such as `info,cold=trace`. The error names the
    /// part that is invalid.
    pub fn parse(text: &str) -> Result<Levels, String> {
        let mut levels = Levels::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (area, word) = part.split_once('=').map_or((None, part), |(area, word)| (Some(area), word));
            let parsed = parse_level(word).ok_or_else(|| {
                format!("found {part:?}, expected a level (error, warn, info, debug, trace) or AREA=LEVEL")
            })?;
            match area {
                Some(area) => _ = levels.areas.insert(area.to_owned(), parsed),
                None => levels.default_level = parsed,
            }
        }
        Ok(levels)
    }

    /// The level of an area: that of the most specific entry that contains it.
    pub fn level_of(&self, area: &str) -> Level {
        let mut prefix = area;
        loop {
            if let Some(level) = self.areas.get(prefix) {
                return *level;
            }
            match prefix.rfind('.') {
                Some(end) => prefix = &prefix[..end],
                None => return self.default_level,
            }
        }
    }

    /// Whether an event of this area and level is logged.
    pub fn enabled(&self, area: &str, level: Level) -> bool {
        level <= self.level_of(area)
    }
}

/// Filter of a subscriber. An event must satisfy every condition that is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFilter {
    /// Lowest severity to include: `warn` includes `error`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub level: Option<String>,
    /// Area of the event, or an area that contains it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub area: Option<String>,
    /// Prefix of the event's name.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub event: Option<String>,
    /// Substring of the event's text or of one of its field values.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl EventFilter {
    /// Checks that `level` is a valid level; the error describes the problem.
    pub fn validate(&self) -> Result<(), String> {
        match &self.level {
            Some(word) if parse_level(word).is_none() => {
                Err(format!("level: found {word:?}, expected error, warn, info, debug or trace"))
            }
            _ => Ok(()),
        }
    }

    /// Whether an event satisfies every condition that is set.
    pub fn matches(&self, record: &Record) -> bool {
        let within = |area: &str| {
            let rest = record.area.strip_prefix(area);
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('.'))
        };
        self.level.as_deref().and_then(parse_level).is_none_or(|level| record.level <= level)
            && self.area.as_deref().is_none_or(within)
            && self.event.as_deref().is_none_or(|event| record.event.starts_with(event))
            && self.text.as_deref().is_none_or(|text| {
                record.text.contains(text) || record.fields.iter().any(|(_, value)| value.contains(text))
            })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn levels_parse_and_errors_name_the_invalid_part() {
        let parse = |text| {
            Levels::parse(text).map(|l| (l.default_level, l.level_of("cold"), l.level_of("membership.etcd")))
        };
        for (text, base, cold, etcd) in [
            ("", Level::INFO, Level::INFO, Level::INFO),
            ("warn", Level::WARN, Level::WARN, Level::WARN),
            ("cold=trace", Level::INFO, Level::TRACE, Level::INFO),
            (" error , membership=debug,cold=info,", Level::ERROR, Level::INFO, Level::DEBUG),
        ] {
            assert_eq!(parse(text), Ok((base, cold, etcd)), "{text:?}");
        }
        for (text, found) in
            [("loud", "\"loud\""), ("info,cold=", "\"cold=\""), ("cold:trace", "\"cold:trace\"")]
        {
            assert!(parse(text).is_err_and(|why| why.contains(found)), "{text:?}");
        }
    }

    #[test]
    fn most_specific_area_determines_level() {
        let areas = [("membership", Level::ERROR), ("membership.etcd", Level::DEBUG)];
        let areas = areas.into_iter().map(|(area, level)| (area.to_owned(), level)).collect();
        let levels = Levels { default_level: Level::INFO, areas };
        for (area, expected) in [
            ("membership", Level::ERROR),
            ("membership.dns", Level::ERROR),
            ("membership.etcd.watch", Level::DEBUG),
            ("members", Level::INFO),
            ("", Level::INFO),
        ] {
            assert_eq!(levels.level_of(area), expected, "{area}");
        }
        assert!(levels.enabled("membership", Level::ERROR) && !levels.enabled("membership", Level::WARN));
        assert_eq!(
            (parse_level("warn"), parse_level("WARN"), parse_level("3")),
            (Some(Level::WARN), None, None)
        );
    }
}
