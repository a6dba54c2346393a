//! Reads TOML tables key by key, with the position of each value. Missing, invalid and unknown keys are reported as
//! problems.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use finchshift::Micros;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{Problems, Span};

/// A value with its position in the text.
#[derive(Clone, Debug, PartialEq)]
pub struct Located<T> {
    /// The value that was read.
    pub value: T,
    /// Position of the value in the text.
    pub span: Span,
}

/// A table that is being read. It records which keys are looked up, so that [`finish`](Section::finish) can report the
/// others.
pub struct Section<'a> {
    table: &'a DeTable<'a>,
    /// Position of the table in the text.
    pub span: Span,
    /// Full key of the table, such as `pool.NAME`; empty for the root table.
    pub path: String,
    /// Collection that problems are added to.
    pub problems: &'a Problems<'a>,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

/// A type that can be read from a TOML value.
pub trait Value: Sized {
    /// Converts a TOML value. The error describes the expected value.
    fn read(value: &DeValue<'_>) -> Result<Self, String>;
}

/// Describes a value for the `found` part of a problem.
fn describe_value(value: &DeValue<'_>) -> String {
    match value {
        DeValue::String(text) => format!("{:?}", text.chars().take(80).collect::<String>()),
        DeValue::Integer(i) => i.as_str().to_owned(),
        DeValue::Float(f) => f.as_str().to_owned(),
        DeValue::Boolean(b) => b.to_string(),
        DeValue::Datetime(d) => d.to_string(),
        DeValue::Array(_) => "a list".to_owned(),
        DeValue::Table(_) => "a table".to_owned(),
    }
}

impl<'a> Section<'a> {
    /// Starts to read a table whose full key is `path`.
    pub fn new(table: &'a Spanned<DeTable<'a>>, path: &str, problems: &'a Problems<'a>) -> Section<'a> {
        let (span, table, path) = (table.span(), table.get_ref(), path.to_owned());
        Section { table, span, path, problems, known_keys: RefCell::default() }
    }

    /// Looks up a key and records it as known.
    fn find(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_keys.borrow_mut().insert(key);
        self.table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, v)| v)
    }

    /// Full key of a key of this table, such as `pool.NAME.attempts`.
    pub fn qualified_key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Reads an optional value. An invalid value is reported and treated as missing.
    pub fn get<T: Value>(&self, key: &'static str) -> Option<Located<T>> {
        let found = self.find(key)?;
        match T::read(found.get_ref()) {
            Ok(value) => Some(Located { value, span: found.span() }),
            Err(expected) => {
                self.problems.error(
                    &found.span(),
                    &self.qualified_key(key),
                    describe_value(found.get_ref()),
                    expected,
                );
                None
            }
        }
    }

    /// Reads a required value. A missing or invalid value is reported.
    pub fn required<T: Value>(&self, key: &'static str, expected: &str) -> Option<Located<T>> {
        if self.find(key).is_none() {
            self.problems.error(&self.span, &self.qualified_key(key), "nothing", expected);
        }
        self.get(key)
    }

    /// Reads an optional value, with a default for a missing or invalid value.
    pub fn get_or<T: Value>(&self, key: &'static str, default: T) -> T {
        self.get(key).map_or(default, |at| at.value)
    }

    /// Reports an error in a key of this table.
    pub fn report(&self, span: &Span, key: &str, found: impl Into<String>, expected: impl Into<String>) {
        self.problems.error(span, &self.qualified_key(key), found, expected);
    }

    /// Opens the table under a key of this table.
    pub fn section(&self, key: &'static str) -> Option<Section<'a>> {
        let found = self.find(key)?;
        self.subsection(found, &self.qualified_key(key))
    }

    /// Opens a value as a table whose full key is `path`; reports a value that is no table.
    fn subsection(&self, found: &'a Spanned<DeValue<'a>>, path: &str) -> Option<Section<'a>> {
        match found.get_ref() {
            DeValue::Table(table) => {
                let (span, path, problems) = (found.span(), path.to_owned(), self.problems);
                Some(Section { table, span, path, problems, known_keys: RefCell::default() })
            }
            other => {
                self.problems.error(&found.span(), path, describe_value(other), "a table");
                None
            }
        }
    }

    /// Opens the named tables under a key, as in `[pool.NAME]`, each with its name.
    pub fn named_sections(&self, key: &'static str) -> Vec<(Located<String>, Section<'a>)> {
        let Some(outer) = self.section(key) else { return Vec::new() };
        let name = |text: &str| {
            let good = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            !text.is_empty() && text.len() <= 64 && text.bytes().all(good)
        };
        let mut list = Vec::new();
        for (k, v) in outer.table {
            let path = outer.qualified_key(k.get_ref());
            if !name(k.get_ref()) {
                let expected = "a name of 1 to 64 letters, digits, -, _ and .";
                self.problems.error(&k.span(), &path, format!("{:?}", k.get_ref()), expected);
            } else if let Some(mut section) = outer.subsection(v, &path) {
                // Problems point to the line of the table's header, not of the first key below it.
                section.span = k.span();
                list.push((Located { value: k.get_ref().to_string(), span: k.span() }, section));
            }
        }
        list
    }

    /// Opens the tables of an array of tables, as in `[[route]]`.
    pub fn section_list(&self, key: &'static str) -> Vec<Section<'a>> {
        match self.find(key).map(|found| (found, found.get_ref())) {
            None => Vec::new(),
            Some((_, DeValue::Array(list))) => {
                let entry = |(n, v): (usize, &'a Spanned<DeValue<'a>>)| {
                    self.subsection(v, &format!("{}[{}]", self.qualified_key(key), n + 1))
                };
                list.iter().enumerate().filter_map(entry).collect()
            }
            Some((found, other)) => {
                self.problems.error(
                    &found.span(),
                    &self.qualified_key(key),
                    describe_value(other),
                    "a list of tables",
                );
                Vec::new()
            }
        }
    }

    /// Returns the keys and values of a table with arbitrary keys. Each key carries the position of its value.
    pub fn pairs(&self) -> Vec<(Located<String>, &'a DeValue<'a>)> {
        let pair = |(k, v): (&'a Spanned<_>, &'a Spanned<DeValue<'a>>)| {
            let name: &std::borrow::Cow<'a, str> = k.get_ref();
            (Located { value: name.to_string(), span: v.span() }, v.get_ref())
        };
        self.table.iter().map(pair).collect()
    }

    /// Ends reading the table: reports every key that was never looked up as unknown.
    pub fn finish(self) {
        let known_keys = self.known_keys.borrow();
        for (key, _) in self.table.iter().filter(|(k, _)| !known_keys.contains(k.get_ref().as_ref())) {
            let near = known_keys.iter().map(|a| (edit_distance(a, key.get_ref()), a)).min();
            let expected = match near {
                Some((distance, near)) if distance <= 2 => format!("{near:?}"),
                _ => format!("one of {}", known_keys.iter().copied().collect::<Vec<_>>().join(", ")),
            };
            self.problems.error(&key.span(), &self.qualified_key(key.get_ref()), "an unknown key", expected);
        }
    }
}

/// Edit distance (Levenshtein) between two keys, for suggestions on unknown keys.
fn edit_distance(a: &str, b: &str) -> usize {
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut corner = i;
        row[0] = i + 1;
        for (j, y) in b.bytes().enumerate() {
            let changed = corner + usize::from(x != y);
            corner = row[j + 1];
            row[j + 1] = changed.min(corner + 1).min(row[j] + 1);
        }
    }
    row[b.len()]
}

impl Value for String {
    fn read(value: &DeValue<'_>) -> Result<String, String> {
        value.as_str().filter(|t| !t.is_empty()).map(str::to_owned).ok_or_else(|| "a string".to_owned())
    }
}

impl Value for bool {
    fn read(value: &DeValue<'_>) -> Result<bool, String> {
        value.as_bool().ok_or_else(|| "true or false".to_owned())
    }
}

impl Value for u64 {
    fn read(value: &DeValue<'_>) -> Result<u64, String> {
        let number = value.as_integer().and_then(|i| u64::from_str_radix(i.as_str(), i.radix()).ok());
        number
            .filter(|n| *n <= u64::from(u32::MAX))
            .ok_or_else(|| "a whole number from 0 to 4294967295".to_owned())
    }
}

impl Value for f64 {
    fn read(value: &DeValue<'_>) -> Result<f64, String> {
        let number = match value {
            DeValue::Float(f) => f.as_str().parse().ok(),
            DeValue::Integer(i) => i.as_str().parse().ok(),
            _ => None,
        };
        let good = |n: &f64| n.is_finite() && *n >= 0.0;
        number.filter(good).ok_or_else(|| "a number that is not negative".to_owned())
    }
}

impl Value for SocketAddr {
    fn read(value: &DeValue<'_>) -> Result<SocketAddr, String> {
        let address = value.as_str().and_then(|t| t.parse().ok());
        address.ok_or_else(|| "an address with a port, such as \"127.0.0.1:8080\"".to_owned())
    }
}

impl<T: Value> Value for Vec<T> {
    fn read(value: &DeValue<'_>) -> Result<Vec<T>, String> {
        let list = value.as_array().ok_or("a list")?;
        list.iter()
            .map(|v| T::read(v.get_ref()).map_err(|e| format!("a list in which each entry is {e}")))
            .collect()
    }
}

/// A duration in microseconds, written with its unit, such as `"250ms"`.
pub struct TimeSpan(pub Micros);

impl Value for TimeSpan {
    fn read(value: &DeValue<'_>) -> Result<TimeSpan, String> {
        let units = [("ms", 1e3), ("us", 1.0), ("s", 1e6), ("min", 60e6), ("h", 3600e6)];
        let parsed = value.as_str().and_then(|text| {
            let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
            let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
            let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
            let span = number.parse::<f64>().ok().filter(|_| plain)? * factor;
            (span.is_finite() && span < 1e15).then_some(TimeSpan(span.round() as Micros))
        });
        parsed.ok_or_else(|| "a duration such as \"250ms\", \"1.5s\" or \"2min\"".to_owned())
    }
}

/// A number of bytes, written with its unit, such as `"64KiB"`.
pub struct ByteSize(pub usize);

impl Value for ByteSize {
    fn read(value: &DeValue<'_>) -> Result<ByteSize, String> {
        let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];
        let parsed = value.as_str().and_then(|text| {
            let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
            let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
            let number =
                number.bytes().all(|b| b.is_ascii_digit()).then(|| number.parse::<usize>().ok())??;
            number.checked_mul(*factor).map(ByteSize)
        });
        parsed.ok_or_else(|| "a size such as \"64KiB\" or \"16MiB\"".to_owned())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn durations_and_sizes_require_a_number_and_a_unit() {
        let time = |t: &'static str| TimeSpan::read(&DeValue::String(t.into())).map(|t| t.0).ok();
        assert_eq!(time("250ms"), Some(250_000));
        assert_eq!((time("1.5s"), time("2min"), time("7us")), (Some(1_500_000), Some(120_000_000), Some(7)));
        for bad in ["", "5", "s", "-1s", "1 s", "1e3s", "1.2.3s", "5m", "99999999999999999h", "NaNs", "infs"]
        {
            assert_eq!(time(bad), None, "{bad}");
        }
        let size = |t: &'static str| ByteSize::read(&DeValue::String(t.into())).map(|s| s.0).ok();
        assert_eq!((size("64KiB"), size("3MiB"), size("9B")), (Some(65536), Some(3 << 20), Some(9)));
        for bad in ["", "64", "64KB", "-1KiB", "1.5MiB", "99999999999999999999GiB", "KiB"] {
            assert_eq!(size(bad), None, "{bad}");
        }
    }

    #[test]
    fn edit_distance_counts_insertions_and_deletions() {
        assert_eq!(
            (edit_distance("deadline", "dedline"), edit_distance("a", "a"), edit_distance("", "abc")),
            (1, 0, 3)
        );
    }
}
