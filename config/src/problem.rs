//! What is wrong with a configuration, and where.

use std::cell::RefCell;
use std::fmt;
use std::ops::Range;

/// Whether the configuration can be used all the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// It cannot.
    Error,
    /// It can.
    Warning,
}

/// A place in the text, as bytes.
pub type Span = Range<usize>;

/// One thing that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The line, from 1.
    pub line: usize,
    /// The key, `pool.loket.attempts`.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What should.
    pub expected: String,
    /// How bad it is.
    pub severity: Severity,
    /// The name by which it can be asserted, where it can.
    pub assertion: Option<&'static str>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.severity == Severity::Error { "error" } else { "warning" };
        write!(f, "{}: {kind}: ", self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)?;
        match self.assertion {
            Some(name) => write!(f, " (if it is meant: assert = [\"{name}\"])"),
            None => Ok(()),
        }
    }
}

/// All that was found so far.
pub struct Problems<'a> {
    text: &'a str,
    found: RefCell<Vec<Problem>>,
}

impl<'a> Problems<'a> {
    /// None yet.
    pub fn new(text: &'a str) -> Problems<'a> {
        Problems { text, found: RefCell::default() }
    }

    /// The line of a place, from 1.
    pub fn line(&self, span: &Span) -> usize {
        let before = self.text.as_bytes().get(..span.start).unwrap_or(self.text.as_bytes());
        1 + before.iter().filter(|b| **b == b'\n').count()
    }

    pub(crate) fn add(&self, span: &Span, key: &str, found: impl Into<String>, expected: impl Into<String>) {
        self.put(span, key, found.into(), expected.into(), Severity::Error, None);
    }

    pub(crate) fn warn(&self, span: &Span, key: &str, found: impl Into<String>, expected: impl Into<String>) {
        self.put(span, key, found.into(), expected.into(), Severity::Warning, None);
    }

    /// An error that can be asserted by name.
    pub(crate) fn dangerous(
        &self,
        span: &Span,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
        assertion: &'static str,
    ) {
        self.put(span, key, found.into(), expected.into(), Severity::Error, Some(assertion));
    }

    pub(crate) fn syntax(&self, span: Option<Span>, message: &str) {
        let span = span.unwrap_or(0..0);
        let shown: String = self.text.get(span.clone()).unwrap_or("").chars().take(40).collect();
        self.add(&span, "", format!("{shown:?}"), format!("TOML: {message}"));
    }

    fn put(
        &self,
        span: &Span,
        key: &str,
        found: String,
        expected: String,
        severity: Severity,
        assertion: Option<&'static str>,
    ) {
        let (line, key) = (self.line(span), key.to_owned());
        self.found.borrow_mut().push(Problem { line, key, found, expected, severity, assertion });
    }

    /// All of them, by line.
    pub fn into_sorted(self) -> Vec<Problem> {
        let mut found = self.found.into_inner();
        found.sort();
        found.dedup();
        found
    }
}
