//! What a route asks of a request.

use std::cmp::Ordering;
use std::fmt;

use crate::target::{Host, MAX_PATH_SEGMENTS, Path, Target, TargetError};

/// Which hosts a route is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostPattern {
    /// All of them, and requests that name none.
    Any,
    /// All below a name, `*.example` without its first two characters; not the name itself.
    Subdomains(String),
    /// One.
    Exact(String),
}

impl HostPattern {
    /// Reads `*`, `*.example` or `api.example`; a port has no place in it.
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

    /// Whether a host is meant.
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

    /// More specific is greater; of two that match one host, the longer name.
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
    /// This text, in normal form.
    Literal(String),
    /// Any one segment, under a name.
    Parameter(String),
}

/// Why a path pattern makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatternError {
    /// It has no normal form, so that no request could match it.
    Target(TargetError),
    /// Braces elsewhere than round a whole segment's name.
    InvalidParameter(String),
    /// A name stands twice.
    DuplicateParameter(String),
}

impl fmt::Display for PatternError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatternError::Target(why) => write!(f, "no request can match it: {why}"),
            PatternError::InvalidParameter(segment) => {
                write!(f, "{segment:?}: a parameter is a whole segment, {{name}}, of letters, digits and _")
            }
            PatternError::DuplicateParameter(name) => write!(f, "the parameter {name:?} stands twice"),
        }
    }
}

impl std::error::Error for PatternError {}

/// Which paths a route is for. A slash at the end of pattern or path counts for nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    /// The segments that are asked for.
    pub segments: Vec<Segment>,
    /// More segments may follow.
    pub prefix: bool,
}

impl PathPattern {
    /// Reads `/checks/{id}`.
    pub fn parse(text: &str, prefix: bool) -> Result<PathPattern, PatternError> {
        let mut segments = Vec::new();
        let inner = text.strip_prefix('/').ok_or(PatternError::Target(TargetError::UnsupportedForm))?;
        let inner = inner.strip_suffix('/').unwrap_or(inner);
        let parts = if inner.is_empty() { Vec::new() } else { inner.split('/').collect() };
        for part in parts {
            if let Some(name) = part.strip_prefix('{').and_then(|p| p.strip_suffix('}')) {
                let good = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
                if name.is_empty() || !name.bytes().all(good) {
                    return Err(PatternError::InvalidParameter(part.to_owned()));
                }
                let known = |s: &Segment| matches!(s, Segment::Parameter(n) if n == name);
                if segments.iter().any(known) {
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

    /// Whether a path is meant.
    pub fn matches(&self, path: &Path) -> bool {
        let long_enough =
            if self.prefix { path.len() >= self.segments.len() } else { path.len() == self.segments.len() };
        long_enough
            && self.segments.iter().zip(path.segments()).all(|(segment, part)| match segment {
                Segment::Literal(text) => text == part,
                Segment::Parameter(_) => true,
            })
    }

    /// Where a parameter stands.
    pub fn parameter_index(&self, name: &str) -> Option<usize> {
        self.segments.iter().position(|s| matches!(s, Segment::Parameter(n) if n == name))
    }

    /// How many parameters it has.
    pub fn parameter_count(&self) -> usize {
        self.segments.iter().filter(|s| matches!(s, Segment::Parameter(_))).count()
    }

    /// Of two that match the same path, the more specific is the greater: from left to right a text goes before a
    /// parameter, a parameter before the end of a prefix, and the exact end before that of a prefix.
    pub fn compare_specificity(&self, other: &PathPattern) -> Ordering {
        let kind = |p: &PathPattern, at: usize| match p.segments.get(at) {
            Some(Segment::Literal(_)) => 3,
            Some(Segment::Parameter(_)) => 2,
            None if !p.prefix => 1,
            None => 0,
        };
        let most = self.segments.len().max(other.segments.len());
        (0..=most)
            .map(|at| kind(self, at).cmp(&kind(other, at)))
            .find(|o| o.is_ne())
            .unwrap_or(Ordering::Equal)
    }

    /// Matches the same paths: the names of parameters do not count.
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

/// Where a condition looks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConditionSource {
    /// A header, by its name in lower case.
    Header(String),
    /// A parameter of the query, by its decoded name.
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

/// What a condition asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Predicate {
    /// This value.
    Equals(String),
    /// Any value.
    Present,
    /// None.
    Absent,
}

/// A condition beside host, method and path.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Condition {
    /// Where it looks.
    pub source: ConditionSource,
    /// What it asks for.
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

/// What stands in a request at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FieldValue {
    /// Nothing.
    Missing,
    /// One value.
    Single(String),
    /// Several, or one that is no text: readers differ on which of them counts.
    Ambiguous,
}

/// A request, as far as routes look at it.
pub struct Request<'a> {
    /// The method, as it came: methods are case-sensitive (RFC 9110 section 9.1).
    pub method: &'a str,
    /// Its target.
    pub target: &'a Target,
    /// What stands in a header, by its name in lower case.
    pub header: &'a dyn Fn(&str) -> FieldValue,
}

impl Request<'_> {
    /// What stands at a place.
    pub fn field_value(&self, place: &ConditionSource) -> FieldValue {
        match place {
            ConditionSource::Header(name) => (self.header)(name),
            // Some servers part the pairs at semicolons too.
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

    /// The name of its host.
    pub fn host(&self) -> Option<&str> {
        self.target.host.as_ref().map(Host::name)
    }
}

impl Condition {
    /// Whether a request meets it; nothing where that is unclear.
    pub fn matches(&self, request: &Request<'_>) -> Option<bool> {
        match (&self.predicate, request.field_value(&self.source)) {
            (_, FieldValue::Ambiguous) => None,
            (Predicate::Equals(wanted), FieldValue::Single(value)) => Some(*wanted == value),
            (Predicate::Equals(_), FieldValue::Missing) => Some(false),
            (Predicate::Present, seen) => Some(seen != FieldValue::Missing),
            (Predicate::Absent, seen) => Some(seen == FieldValue::Missing),
        }
    }

    /// No request can meet both.
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

/// What a route asks for in all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Its name, for people.
    pub name: String,
    /// Its hosts, at least one.
    pub hosts: Vec<HostPattern>,
    /// Its methods; empty for all.
    pub methods: Vec<String>,
    /// Its paths.
    pub path: PathPattern,
    /// What else must hold.
    pub conditions: Vec<Condition>,
}

impl Route {
    /// Whether a method is meant.
    pub fn allows_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    /// Of two routes with the same host and path, the greater goes first: one that names methods, then the one
    /// with more conditions.
    pub fn specificity(&self) -> (bool, usize) {
        (!self.methods.is_empty(), self.conditions.len())
    }
}
