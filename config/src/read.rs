//! Tables read key by key: each value with its place, and a problem for each that is missing, wrong or unknown.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use finchshift::Micros;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::problem::{Problems, Span};

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct At<T> {
    /// The value.
    pub value: T,
    /// Its place.
    pub span: Span,
}

/// A table under way of being read.
pub struct Section<'a> {
    table: &'a DeTable<'a>,
    pub span: Span,
    pub path: String,
    pub problems: &'a Problems<'a>,
    asked: RefCell<BTreeSet<&'static str>>,
}

/// What values are read into; the error says what was expected.
pub trait Value: Sized {
    fn read(value: &DeValue<'_>) -> Result<Self, String>;
}

fn shown(value: &DeValue<'_>) -> String {
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
    pub fn new(table: &'a Spanned<DeTable<'a>>, path: &str, problems: &'a Problems<'a>) -> Section<'a> {
        let (span, table, path) = (table.span(), table.get_ref(), path.to_owned());
        Section { table, span, path, problems, asked: RefCell::default() }
    }

    fn find(&self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.asked.borrow_mut().insert(key);
        self.table.iter().find(|(k, _)| k.get_ref() == key).map(|(_, v)| v)
    }

    pub fn key(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// A value that may be missing; a wrong one counts as missing after the problem was noted.
    pub fn get<T: Value>(&self, key: &'static str) -> Option<At<T>> {
        let found = self.find(key)?;
        match T::read(found.get_ref()) {
            Ok(value) => Some(At { value, span: found.span() }),
            Err(expected) => {
                self.problems.add(&found.span(), &self.key(key), shown(found.get_ref()), expected);
                None
            }
        }
    }

    /// A value that must be there.
    pub fn need<T: Value>(&self, key: &'static str, expected: &str) -> Option<At<T>> {
        if self.find(key).is_none() {
            self.problems.add(&self.span, &self.key(key), "nothing", expected);
        }
        self.get(key)
    }

    /// A value, or what holds where there is none.
    pub fn or<T: Value>(&self, key: &'static str, otherwise: T) -> T {
        self.get(key).map_or(otherwise, |at| at.value)
    }

    /// Notes a problem with a key.
    pub fn wrong(&self, span: &Span, key: &str, found: impl Into<String>, expected: impl Into<String>) {
        self.problems.add(span, &self.key(key), found, expected);
    }

    /// A table within this one.
    pub fn section(&self, key: &'static str) -> Option<Section<'a>> {
        let found = self.find(key)?;
        self.sub(found, &self.key(key))
    }

    fn sub(&self, found: &'a Spanned<DeValue<'a>>, path: &str) -> Option<Section<'a>> {
        match found.get_ref() {
            DeValue::Table(table) => {
                let (span, path, problems) = (found.span(), path.to_owned(), self.problems);
                Some(Section { table, span, path, problems, asked: RefCell::default() })
            }
            other => {
                self.problems.add(&found.span(), path, shown(other), "a table");
                None
            }
        }
    }

    /// The named tables of a table, `[pool.NAME]`.
    pub fn named(&self, key: &'static str) -> Vec<(At<String>, Section<'a>)> {
        let Some(outer) = self.section(key) else { return Vec::new() };
        let name = |text: &str| {
            let good = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
            !text.is_empty() && text.len() <= 64 && text.bytes().all(good)
        };
        let mut list = Vec::new();
        for (k, v) in outer.table {
            let path = outer.key(k.get_ref());
            if !name(k.get_ref()) {
                let expected = "a name of 1 to 64 letters, digits, -, _ and .";
                self.problems.add(&k.span(), &path, format!("{:?}", k.get_ref()), expected);
            } else if let Some(mut section) = outer.sub(v, &path) {
                // A header's place says more than that of the first key below it.
                section.span = k.span();
                list.push((At { value: k.get_ref().to_string(), span: k.span() }, section));
            }
        }
        list
    }

    /// The tables of a list, `[[route]]`.
    pub fn list(&self, key: &'static str) -> Vec<Section<'a>> {
        match self.find(key).map(|found| (found, found.get_ref())) {
            None => Vec::new(),
            Some((_, DeValue::Array(list))) => {
                let entry = |(n, v): (usize, &'a Spanned<DeValue<'a>>)| {
                    self.sub(v, &format!("{}[{}]", self.key(key), n + 1))
                };
                list.iter().enumerate().filter_map(entry).collect()
            }
            Some((found, other)) => {
                self.problems.add(&found.span(), &self.key(key), shown(other), "a list of tables");
                Vec::new()
            }
        }
    }

    /// All pairs of a small table of texts, booleans or numbers.
    pub fn pairs(&self) -> Vec<(At<String>, &'a DeValue<'a>)> {
        let pair = |(k, v): (&'a Spanned<_>, &'a Spanned<DeValue<'a>>)| {
            let name: &std::borrow::Cow<'a, str> = k.get_ref();
            (At { value: name.to_string(), span: v.span() }, v.get_ref())
        };
        self.table.iter().map(pair).collect()
    }

    /// Notes every key that nobody asked for.
    pub fn end(self) {
        let asked = self.asked.borrow();
        for (key, _) in self.table.iter().filter(|(k, _)| !asked.contains(k.get_ref().as_ref())) {
            let near = asked.iter().map(|a| (distance(a, key.get_ref()), a)).min();
            let expected = match near {
                Some((distance, near)) if distance <= 2 => format!("{near:?}"),
                _ => format!("one of {}", asked.iter().copied().collect::<Vec<_>>().join(", ")),
            };
            self.problems.add(&key.span(), &self.key(key.get_ref()), "an unknown key", expected);
        }
    }
}

/// Edit distance.
fn distance(a: &str, b: &str) -> usize {
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
        value.as_str().filter(|t| !t.is_empty()).map(str::to_owned).ok_or_else(|| "a text".to_owned())
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
        list.iter().map(|v| T::read(v.get_ref()).map_err(|e| format!("a list, each of it {e}"))).collect()
    }
}

/// A span of time, in microseconds.
pub struct Time(pub Micros);

impl Value for Time {
    fn read(value: &DeValue<'_>) -> Result<Time, String> {
        let units = [("ms", 1e3), ("us", 1.0), ("s", 1e6), ("min", 60e6), ("h", 3600e6)];
        let parsed = value.as_str().and_then(|text| {
            let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
            let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
            let plain = !number.is_empty() && number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
            let span = number.parse::<f64>().ok().filter(|_| plain)? * factor;
            (span.is_finite() && span < 1e15).then_some(Time(span.round() as Micros))
        });
        parsed.ok_or_else(|| "a span such as \"250ms\", \"1.5s\" or \"2min\"".to_owned())
    }
}

/// A number of bytes.
pub struct Size(pub usize);

impl Value for Size {
    fn read(value: &DeValue<'_>) -> Result<Size, String> {
        let units = [("KiB", 1 << 10), ("MiB", 1 << 20), ("GiB", 1 << 30), ("B", 1)];
        let parsed = value.as_str().and_then(|text| {
            let (number, unit) = text.split_at(text.find(|c: char| c.is_ascii_alphabetic())?);
            let (_, factor) = units.iter().find(|(name, _)| *name == unit)?;
            let number =
                number.bytes().all(|b| b.is_ascii_digit()).then(|| number.parse::<usize>().ok())??;
            number.checked_mul(*factor).map(Size)
        });
        parsed.ok_or_else(|| "a size such as \"64KiB\" or \"16MiB\"".to_owned())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn spans_and_sizes_have_units_and_nothing_else() {
        let time = |t: &'static str| Time::read(&DeValue::String(t.into())).map(|t| t.0).ok();
        assert_eq!(time("250ms"), Some(250_000));
        assert_eq!((time("1.5s"), time("2min"), time("7us")), (Some(1_500_000), Some(120_000_000), Some(7)));
        for bad in ["", "5", "s", "-1s", "1 s", "1e3s", "1.2.3s", "5m", "99999999999999999h", "NaNs", "infs"]
        {
            assert_eq!(time(bad), None, "{bad}");
        }
        let size = |t: &'static str| Size::read(&DeValue::String(t.into())).map(|s| s.0).ok();
        assert_eq!((size("64KiB"), size("3MiB"), size("9B")), (Some(65536), Some(3 << 20), Some(9)));
        for bad in ["", "64", "64KB", "-1KiB", "1.5MiB", "99999999999999999999GiB", "KiB"] {
            assert_eq!(size(bad), None, "{bad}");
        }
    }

    #[test]
    fn near_names_are_suggested() {
        assert_eq!((distance("deadline", "dedline"), distance("a", "a"), distance("", "abc")), (1, 0, 3));
    }
}
