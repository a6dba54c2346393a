//! Match rules of routes: host and path patterns, methods and conditions.

use std::cmp::Ordering;
use std::fmt;

use crate::target::{Host, MAX_PATH_SEGMENTS, Path, Target, TargetError};

/// A pattern for the host of a request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostPattern {
    /// `*`: any host, and requests without a host.
    Any,
    /// `*.example`: all subdomains of a name, but not the name itself. Holds the name without the `*.`.
    Subdomains(String),
    /// Exactly this host name.
    Exact(String),
}

impl HostPattern {
    /// Parses `*`, `*.example` or `api.example`. A port is an error.
    pub fn parse(text: &str) -> Result<HostPattern, TargetError> {
        if text == "*" {
            return Ok(HostPattern::Any);
        }
        let name = |text: &str| match Host::parse(text) {
            Ok(host) if host.to_string() == host.name() => Ok(host.name().to_owned()),
            _ => Err(TargetError::InvalidHost),
        };
        match text.strip_prefix("*.") {
            Some(rest) => name(rest).map(HostPattern::Subdomains),
            None => name(text).map(HostPattern::Exact),
        }
    }

    /// Whether the pattern matches a host name; `None` stands for a request without a host.
    pub fn matches(&self, host: Option<&str>) -> bool {
        match (self, host) {
            (HostPattern::Any, _) => true,
            (_, None) => false,
            (HostPattern::Exact(name), Some(host)) => name == host,
            (HostPattern::Subdomains(name), Some(host)) => {
                host.strip_suffix(name.as_str()).is_some_and(|h| h.len() > 1 && h.ends_with('.'))
            }
        }
    }

    /// Precedence among patterns that match the same host: the greater value is more specific. Of two subdomain
    /// patterns, the longer name is more specific.
    pub fn rank(&self) -> (u8, usize) {
        match self {
            HostPattern::Any => (0, 0),
            HostPattern::Subdomains(name) => (1, name.len()),
            HostPattern::Exact(_) => (2, 0),
        }
    }
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostPattern::Any => f.write_str("*"),
            HostPattern::Subdomains(name) => write!(f, "*.{name}"),
            HostPattern::Exact(name) => f.write_str(name),
        }
    }
}

/// A segment of a path pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// A segment with exactly this normalized text.
    Literal(String),
    /// A parameter, which matches any single segment. Holds the name of the parameter.
    Parameter(String),
}

/// Why a path pattern is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatternError {
    /// The path is not valid as a request target, so no request could match the pattern.
    Target(TargetError),
    /// A segment uses braces in another way than `{name}`. Holds the segment.
    InvalidParameter(String),
    /// Two parameters have the same name. Holds the name.
    DuplicateParameter(String),
}

impl fmt::Display for PatternError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatternError::Target(why) => write!(f, "no request can match the pattern: {why}"),
            PatternError::InvalidParameter(segment) => {
                write!(
                    f,
                    "{segment:?}: a parameter must be a whole segment {{name}}, named with letters, digits and _"
                )
            }
            PatternError::DuplicateParameter(name) => write!(f, "duplicate parameter {name:?}"),
        }
    }
}

impl std::error::Error for PatternError {}

/// A pattern for the path of a request. A trailing slash is ignored in both the pattern and the path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    /// The leading segments that a path must have.
    pub segments: Vec<Segment>,
    /// Whether further segments may follow.
    pub prefix: bool,
}

impl PathPattern {
    /// Parses a pattern such as `/checks/{id}`. With `prefix`, it also matches longer paths.
    pub fn parse(text: &str, prefix: bool) -> Result<PathPattern, PatternError> {
        let mut segments = Vec::new();
        let inner = text.strip_prefix('/').ok_or(PatternError::Target(TargetError::UnsupportedForm))?;
        let inner = inner.strip_suffix('/').unwrap_or(inner);
        let parts = if inner.is_empty() { Vec::new() } else { inner.split('/').collect() };
        for part in parts {
            if let Some(name) = part.strip_prefix('{').and_then(|p| p.strip_suffix('}')) {
                let is_name_char = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
                if name.is_empty() || !name.bytes().all(is_name_char) {
                    return Err(PatternError::InvalidParameter(part.to_owned()));
                }
                let same_name = |s: &Segment| matches!(s, Segment::Parameter(n) if n == name);
                if segments.iter().any(same_name) {
                    return Err(PatternError::DuplicateParameter(name.to_owned()));
                }
                segments.push(Segment::Parameter(name.to_owned()));
            } else if part.contains(['{', '}']) {
                return Err(PatternError::InvalidParameter(part.to_owned()));
            } else {
                let path = Path::parse(&format!("/{part}")).map_err(PatternError::Target)?;
                let literal = path.segment(0).ok_or(PatternError::Target(TargetError::EmptySegment))?;
                segments.push(Segment::Literal(literal.to_owned()));
            }
        }
        if segments.len() > MAX_PATH_SEGMENTS {
            return Err(PatternError::Target(TargetError::TooManySegments));
        }
        Ok(PathPattern { segments, prefix })
    }

    /// Whether the pattern matches a path.
    pub fn matches(&self, path: &Path) -> bool {
        let length_matches =
            if self.prefix { path.len() >= self.segments.len() } else { path.len() == self.segments.len() };
        length_matches
            && self.segments.iter().zip(path.segments()).all(|(segment, part)| match segment {
                Segment::Literal(text) => text == part,
                Segment::Parameter(_) => true,
            })
    }

    /// The index of the segment that a parameter matches.
    pub fn parameter_index(&self, name: &str) -> Option<usize> {
        self.segments.iter().position(|s| matches!(s, Segment::Parameter(n) if n == name))
    }

    /// Number of parameters in the pattern.
    pub fn parameter_count(&self) -> usize {
        self.segments.iter().filter(|s| matches!(s, Segment::Parameter(_))).count()
    }

    /// Compares two patterns that match the same path; the more specific one is greater. Segments are compared from
    /// the left: a literal is more specific than a parameter, a parameter more than the end of the pattern, and an
    /// exact end more than the end of a prefix.
    pub fn compare_specificity(&self, other: &PathPattern) -> Ordering {
        let kind = |p: &PathPattern, at: usize| match p.segments.get(at) {
            Some(Segment::Literal(_)) => 3,
            Some(Segment::Parameter(_)) => 2,
            None if !p.prefix => 1,
            None => 0,
        };
        let max_len = self.segments.len().max(other.segments.len());
        (0..=max_len)
            .map(|at| kind(self, at).cmp(&kind(other, at)))
            .find(|o| o.is_ne())
            .unwrap_or(Ordering::Equal)
    }

    /// Whether two patterns match the same paths, whatever the names of their parameters.
    pub fn same_shape(&self, other: &PathPattern) -> bool {
        let same = |(a, b): (&Segment, &Segment)| match (a, b) {
            (Segment::Literal(a), Segment::Literal(b)) => a == b,
            (Segment::Parameter(_), Segment::Parameter(_)) => true,
            _ => false,
        };
        self.prefix == other.prefix
            && self.segments.len() == other.segments.len()
            && self.segments.iter().zip(&other.segments).all(same)
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            match segment {
                Segment::Literal(text) => write!(f, "/{text}")?,
                Segment::Parameter(name) => write!(f, "/{{{name}}}")?,
            }
        }
        match (self.prefix, self.segments.is_empty()) {
            (true, _) => f.write_str("/**"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}

/// The part of a request whose value a [`Condition`] tests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConditionSource {
    /// A header, by its name in lower case.
    Header(String),
    /// A query parameter, by its decoded name.
    Query(String),
}

impl fmt::Display for ConditionSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConditionSource::Header(name) => write!(f, "header {name}"),
            ConditionSource::Query(name) => write!(f, "query parameter {name}"),
        }
    }
}

/// The test that a [`Condition`] applies to a header or query parameter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Predicate {
    /// The field has exactly this value.
    Equals(String),
    /// The field is present, with any value.
    Present,
    /// The field is absent.
    Absent,
}

/// A match condition on a header or query parameter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Condition {
    /// The header or query parameter that is tested.
    pub source: ConditionSource,
    /// The test that the value must pass.
    pub predicate: Predicate,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.predicate {
            Predicate::Equals(value) => write!(f, "{} = {value:?}", self.source),
            Predicate::Present => write!(f, "{} present", self.source),
            Predicate::Absent => write!(f, "{} absent", self.source),
        }
    }
}

/// The value of a header or query parameter in a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldValue {
    /// The field is not in the request.
    Missing,
    /// The field occurs once, with this value.
    Single(String),
    /// The field occurs more than once or is not valid text: implementations disagree on which value counts.
    Ambiguous,
}

/// The parts of a request that routes match.
pub struct Request<'a> {
    /// The method as received; methods are case-sensitive (RFC 9110 section 9.1).
    pub method: &'a str,
    /// The normalized request target.
    pub target: &'a Target,
    /// Looks up a header by its name in lower case.
    pub header: &'a dyn Fn(&str) -> FieldValue,
}

impl Request<'_> {
    /// The value of a header or query parameter.
    pub fn field_value(&self, source: &ConditionSource) -> FieldValue {
        match source {
            ConditionSource::Header(name) => (self.header)(name),
            // Some servers also separate pairs at semicolons.
            ConditionSource::Query(_) if self.target.query.as_ref().is_some_and(|q| q.contains(';')) => {
                FieldValue::Ambiguous
            }
            ConditionSource::Query(name) => {
                let mut found = self.target.query_pairs().into_iter().filter(|(n, _)| n == name);
                match (found.next(), found.next()) {
                    (None, _) => FieldValue::Missing,
                    (Some((_, value)), None) => FieldValue::Single(value),
                    (Some(_), Some(_)) => FieldValue::Ambiguous,
                }
            }
        }
    }

    /// The host name without the port.
    pub fn host(&self) -> Option<&str> {
        self.target.host.as_ref().map(Host::name)
    }
}

impl Condition {
    /// Whether a request meets the condition; `None` if the value is ambiguous.
    pub fn matches(&self, request: &Request<'_>) -> Option<bool> {
        match (&self.predicate, request.field_value(&self.source)) {
            (_, FieldValue::Ambiguous) => None,
            (Predicate::Equals(expected), FieldValue::Single(value)) => Some(*expected == value),
            (Predicate::Equals(_), FieldValue::Missing) => Some(false),
            (Predicate::Present, value) => Some(value != FieldValue::Missing),
            (Predicate::Absent, value) => Some(value == FieldValue::Missing),
        }
    }

    /// Whether no request can meet both conditions.
    pub fn excludes(&self, other: &Condition) -> bool {
        self.source == other.source
            && match (&self.predicate, &other.predicate) {
                (Predicate::Absent, Predicate::Absent) => false,
                (Predicate::Absent, _) | (_, Predicate::Absent) => true,
                (Predicate::Equals(a), Predicate::Equals(b)) => a != b,
                _ => false,
            }
    }
}

/// The match rules of a route. A request must meet all of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The name of the route, shown to operators.
    pub name: String,
    /// Host patterns, at least one; a request must match any of them.
    pub hosts: Vec<HostPattern>,
    /// Allowed methods; empty allows all.
    pub methods: Vec<String>,
    /// The path pattern.
    pub path: PathPattern,
    /// Conditions on headers and query parameters, all of which must hold.
    pub conditions: Vec<Condition>,
}

impl Route {
    /// Whether the route allows a method.
    pub fn allows_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    /// Precedence among routes with the same host and path pattern; the greater value comes first. A route that lists
    /// methods precedes one that allows all, and of those a route with more conditions precedes one with fewer.
    pub fn specificity(&self) -> (bool, usize) {
        (!self.methods.is_empty(), self.conditions.len())
    }
}
