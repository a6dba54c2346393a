//! What a route asks of a request.

use std::cmp::Ordering;
use std::fmt;

use crate::target::{BadTarget, Host, MOST_SEGMENTS, Path, Target};

/// Which hosts a route is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostPattern {
    /// All of them, and requests that name none.
    Any,
    /// All below a name, `*.example` without its first two characters; not the name itself.
    Below(String),
    /// One.
    Exact(String),
}

impl HostPattern {
    /// Reads `*`, `*.example` or `api.example`; a port has no place in it.
    pub fn parse(text: &str) -> Result<HostPattern, BadTarget> {
        if text == "*" {
            return Ok(HostPattern::Any);
        }
        let name = |text: &str| match Host::parse(text) {
            Ok(host) if host.to_string() == host.name() => Ok(host.name().to_owned()),
            _ => Err(BadTarget::Host),
        };
        match text.strip_prefix("*.") {
            Some(rest) => name(rest).map(HostPattern::Below),
            None => name(text).map(HostPattern::Exact),
        }
    }

    /// Whether a host is meant.
    pub fn matches(&self, host: Option<&str>) -> bool {
        match (self, host) {
            (HostPattern::Any, _) => true,
            (_, None) => false,
            (HostPattern::Exact(name), Some(host)) => name == host,
            (HostPattern::Below(name), Some(host)) => {
                host.strip_suffix(name.as_str()).is_some_and(|h| h.len() > 1 && h.ends_with('.'))
            }
        }
    }

    /// More specific is greater; of two that match one host, the longer name.
    pub fn rank(&self) -> (u8, usize) {
        match self {
            HostPattern::Any => (0, 0),
            HostPattern::Below(name) => (1, name.len()),
            HostPattern::Exact(_) => (2, 0),
        }
    }
}

impl fmt::Display for HostPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HostPattern::Any => f.write_str("*"),
            HostPattern::Below(name) => write!(f, "*.{name}"),
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
pub enum BadPattern {
    /// It has no normal form, so that no request could match it.
    Target(BadTarget),
    /// Braces elsewhere than round a whole segment's name.
    Braces(String),
    /// A name stands twice.
    Twice(String),
}

impl fmt::Display for BadPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BadPattern::Target(why) => write!(f, "no request can match it: {why}"),
            BadPattern::Braces(segment) => {
                write!(f, "{segment:?}: a parameter is a whole segment, {{name}}, of letters, digits and _")
            }
            BadPattern::Twice(name) => write!(f, "the parameter {name:?} stands twice"),
        }
    }
}

impl std::error::Error for BadPattern {}

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
    pub fn parse(text: &str, prefix: bool) -> Result<PathPattern, BadPattern> {
        let mut segments = Vec::new();
        let inner = text.strip_prefix('/').ok_or(BadPattern::Target(BadTarget::Form))?;
        let inner = inner.strip_suffix('/').unwrap_or(inner);
        let parts = if inner.is_empty() { Vec::new() } else { inner.split('/').collect() };
        for part in parts {
            if let Some(name) = part.strip_prefix('{').and_then(|p| p.strip_suffix('}')) {
                let good = |b: u8| b.is_ascii_alphanumeric() || b == b'_';
                if name.is_empty() || !name.bytes().all(good) {
                    return Err(BadPattern::Braces(part.to_owned()));
                }
                let known = |s: &Segment| matches!(s, Segment::Parameter(n) if n == name);
                if segments.iter().any(known) {
                    return Err(BadPattern::Twice(name.to_owned()));
                }
                segments.push(Segment::Parameter(name.to_owned()));
            } else if part.contains(['{', '}']) {
                return Err(BadPattern::Braces(part.to_owned()));
            } else {
                let path = Path::parse(&format!("/{part}")).map_err(BadPattern::Target)?;
                let literal = path.segment(0).ok_or(BadPattern::Target(BadTarget::EmptySegment))?;
                segments.push(Segment::Literal(literal.to_owned()));
            }
        }
        if segments.len() > MOST_SEGMENTS {
            return Err(BadPattern::Target(BadTarget::Segments));
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
    pub fn parameter(&self, name: &str) -> Option<usize> {
        self.segments.iter().position(|s| matches!(s, Segment::Parameter(n) if n == name))
    }

    /// How many parameters it has.
    pub fn parameters(&self) -> usize {
        self.segments.iter().filter(|s| matches!(s, Segment::Parameter(_))).count()
    }

    /// Of two that match the same path, the more specific is the greater: from left to right a text goes before a
    /// parameter, a parameter before the end of a prefix, and the exact end before that of a prefix.
    pub fn rank(&self, other: &PathPattern) -> Ordering {
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
pub enum Place {
    /// A header, by its name in lower case.
    Header(String),
    /// A parameter of the query, by its decoded name.
    Query(String),
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Header(name) => write!(f, "header {name}"),
            Place::Query(name) => write!(f, "query parameter {name}"),
        }
    }
}

/// What a condition asks for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Test {
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
    pub place: Place,
    /// What it asks for.
    pub test: Test,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.test {
            Test::Equals(value) => write!(f, "{} = {value:?}", self.place),
            Test::Present => write!(f, "{} present", self.place),
            Test::Absent => write!(f, "{} absent", self.place),
        }
    }
}

/// What stands in a request at a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing.
    Nothing,
    /// One value.
    One(String),
    /// Several, or one that is no text: readers differ on which of them counts.
    Unclear,
}

/// A request, as far as routes look at it.
pub struct Request<'a> {
    /// The method, as it came: methods are case-sensitive (RFC 9110 section 9.1).
    pub method: &'a str,
    /// Its target.
    pub target: &'a Target,
    /// What stands in a header, by its name in lower case.
    pub header: &'a dyn Fn(&str) -> Seen,
}

impl Request<'_> {
    /// What stands at a place.
    pub fn seen(&self, place: &Place) -> Seen {
        match place {
            Place::Header(name) => (self.header)(name),
            // Some servers part the pairs at semicolons too.
            Place::Query(_) if self.target.query.as_ref().is_some_and(|q| q.contains(';')) => Seen::Unclear,
            Place::Query(name) => {
                let mut found = self.target.pairs().into_iter().filter(|(n, _)| n == name);
                match (found.next(), found.next()) {
                    (None, _) => Seen::Nothing,
                    (Some((_, value)), None) => Seen::One(value),
                    (Some(_), Some(_)) => Seen::Unclear,
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
    pub fn holds(&self, request: &Request<'_>) -> Option<bool> {
        match (&self.test, request.seen(&self.place)) {
            (_, Seen::Unclear) => None,
            (Test::Equals(wanted), Seen::One(value)) => Some(*wanted == value),
            (Test::Equals(_), Seen::Nothing) => Some(false),
            (Test::Present, seen) => Some(seen != Seen::Nothing),
            (Test::Absent, seen) => Some(seen == Seen::Nothing),
        }
    }

    /// No request can meet both.
    pub fn excludes(&self, other: &Condition) -> bool {
        self.place == other.place
            && match (&self.test, &other.test) {
                (Test::Absent, Test::Absent) => false,
                (Test::Absent, _) | (_, Test::Absent) => true,
                (Test::Equals(a), Test::Equals(b)) => a != b,
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
    pub fn takes(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|m| m == method)
    }

    /// Of two routes with the same host and path, the greater goes first: one that names methods, then the one
    /// with more conditions.
    pub fn detail(&self) -> (bool, usize) {
        (!self.methods.is_empty(), self.conditions.len())
    }
}
