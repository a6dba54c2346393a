//! Errors and warnings about a configuration, with their line and key.

use std::cell::RefCell;
use std::fmt;
use std::ops::Range;

/// Whether a problem prevents the configuration from being used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The configuration cannot be used.
    Error,
    /// The configuration can be used.
    Warning,
}

/// A byte range in the text of the configuration.
pub type Span = Range<usize>;

/// An error or a warning about a configuration.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// Line of the problem in the text, from 1.
    pub line: usize,
    /// Full key that the problem concerns, such as `pool.loket.attempts`; empty for a syntax error.
    pub key: String,
    /// The value or condition that was found.
    pub found: String,
    /// The value or condition that was expected.
    pub expected: String,
    /// Whether the problem is an error or a warning.
    pub severity: Severity,
    /// Name of the assertion that suppresses the problem. `None` if no assertion does.
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
            Some(name) => write!(f, " (if this is intended: assert = [\"{name}\"])"),
            None => Ok(()),
        }
    }
}

/// Collects the problems of one configuration text.
pub struct Problems<'a> {
    text: &'a str,
    found: RefCell<Vec<Problem>>,
}

impl<'a> Problems<'a> {
    /// An empty collection for this configuration text.
    pub fn new(text: &'a str) -> Problems<'a> {
        Problems { text, found: RefCell::default() }
    }

    /// Line number, from 1, at which a span starts.
    pub fn line(&self, span: &Span) -> usize {
        let before = self.text.as_bytes().get(..span.start).unwrap_or(self.text.as_bytes());
        1 + before.iter().filter(|b| **b == b'\n').count()
    }

    /// Adds an error.
    pub(crate) fn error(
        &self,
        span: &Span,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.push(span, key, found.into(), expected.into(), Severity::Error, None);
    }

    /// Adds a warning.
    pub(crate) fn warning(
        &self,
        span: &Span,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        self.push(span, key, found.into(), expected.into(), Severity::Warning, None);
    }

    /// Adds an error that the operator can suppress with `assert = ["NAME"]`.
    pub(crate) fn assertable_error(
        &self,
        span: &Span,
        key: &str,
        found: impl Into<String>,
        expected: impl Into<String>,
        assertion: &'static str,
    ) {
        self.push(span, key, found.into(), expected.into(), Severity::Error, Some(assertion));
    }

    /// Adds an error of the TOML parser.
    pub(crate) fn syntax_error(&self, span: Option<Span>, message: &str) {
        let span = span.unwrap_or(0..0);
        let excerpt: String = self.text.get(span.clone()).unwrap_or("").chars().take(40).collect();
        self.error(&span, "", format!("{excerpt:?}"), format!("TOML: {message}"));
    }

    fn push(
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

    /// Returns all problems sorted by line, without duplicates.
    pub fn into_sorted(self) -> Vec<Problem> {
        let mut found = self.found.into_inner();
        found.sort();
        found.dedup();
        found
    }
}
