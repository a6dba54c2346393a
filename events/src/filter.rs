//! Which events are heard: levels by area, and what one who follows wants.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tracing::Level;

use crate::hub::Record;

/// Reads a level.
pub fn parse_level(word: &str) -> Option<Level> {
    ["error", "warn", "info", "debug", "trace"].contains(&word).then(|| word.parse().ok()).flatten()
}

/// Levels by area.
#[derive(Clone, Debug, PartialEq)]
pub struct Levels {
    /// Of all others.
    pub default_level: Level,
    /// Of an area and those within it, `membership` for `membership.etcd` too.
    pub areas: BTreeMap<String, Level>,
}

impl Default for Levels {
    fn default() -> Levels {
        Levels { default_level: Level::INFO, areas: BTreeMap::new() }
    }
}

impl Levels {
    /// Reads `warn`, or `info,cold=trace,membership.etcd=debug`: the level of all others, then those of areas. The error
    /// names the part that can't be read.
    pub fn parse(text: &str) -> Result<Levels, String> {
        let mut levels = Levels::default();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            let (area, word) = part.split_once('=').map_or((None, part), |(area, word)| (Some(area), word));
            let found = parse_level(word).ok_or_else(|| {
                format!("found {part:?}, expected a level (error, warn, info, debug, trace) or AREA=LEVEL")
            })?;
            match area {
                Some(area) => _ = levels.areas.insert(area.to_owned(), found),
                None => levels.default_level = found,
            }
        }
        Ok(levels)
    }

    /// The level of an area: of the longest name that it lies in.
    pub fn of(&self, area: &str) -> Level {
        let mut within = area;
        loop {
            if let Some(level) = self.areas.get(within) {
                return *level;
            }
            match within.rfind('.') {
                Some(end) => within = &within[..end],
                None => return self.default_level,
            }
        }
    }

    /// Whether an event of a level in an area is heard.
    pub fn hear(&self, area: &str, level: Level) -> bool {
        level <= self.of(area)
    }
}

/// What one who follows wants to hear; all of it must be so.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventFilter {
    /// This level or a graver one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub level: Option<String>,
    /// In this area, or one within it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub area: Option<String>,
    /// Its name begins so.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub event: Option<String>,
    /// Its text or one of its fields has this in it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
}

impl EventFilter {
    /// What is wrong with it, if anything.
    pub fn validate(&self) -> Result<(), String> {
        match &self.level {
            Some(word) if parse_level(word).is_none() => {
                Err(format!("level: found {word:?}, expected error, warn, info, debug or trace"))
            }
            _ => Ok(()),
        }
    }

    /// Whether that is so of an event.
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
    fn levels_are_read_from_a_line_and_what_is_wrong_is_named() {
        let read =
            |text| Levels::parse(text).map(|l| (l.default_level, l.of("cold"), l.of("membership.etcd")));
        for (text, base, cold, etcd) in [
            ("", Level::INFO, Level::INFO, Level::INFO),
            ("warn", Level::WARN, Level::WARN, Level::WARN),
            ("cold=trace", Level::INFO, Level::TRACE, Level::INFO),
            (" error , membership=debug,cold=info,", Level::ERROR, Level::INFO, Level::DEBUG),
        ] {
            assert_eq!(read(text), Ok((base, cold, etcd)), "{text:?}");
        }
        for (text, found) in
            [("loud", "\"loud\""), ("info,cold=", "\"cold=\""), ("cold:trace", "\"cold:trace\"")]
        {
            assert!(read(text).is_err_and(|why| why.contains(found)), "{text:?}");
        }
    }

    #[test]
    fn the_longest_area_that_one_lies_in_says_its_level() {
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
            assert_eq!(levels.of(area), expected, "{area}");
        }
        assert!(levels.hear("membership", Level::ERROR) && !levels.hear("membership", Level::WARN));
        assert_eq!(
            (parse_level("warn"), parse_level("WARN"), parse_level("3")),
            (Some(Level::WARN), None, None)
        );
    }
}
