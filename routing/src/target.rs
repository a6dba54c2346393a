//! The normal form of a request's target: what is matched is what is forwarded.
//!
//! A path that two readers may understand differently has no normal form and is an error, so that no operation
//! is reached under another route's class. RFC 3986 section 6.2.2 says which forms are equivalent (case of the
//! hexadecimal digits, percent-encoded unreserved characters); those are brought into one. Everything on which
//! real servers disagree is refused: dot segments, empty segments, path parameters (`;a=b`), and encoded
//! characters that delimit (`%2F`, `%5C`, `%3B`, `%3F`, `%23`, a second encoding such as `%252e`).

use std::fmt;

/// Most segments of a path: bounds the walk through the routes.
pub const MAX_PATH_SEGMENTS: usize = 64;
/// Most pairs of a query that are looked at: bounds the work for one request.
pub const MAX_QUERY_PAIRS: usize = 256;

/// Why a target has no normal form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// Not `/path` and not `http://host/path`.
    UnsupportedForm,
    /// A character that no path may hold (RFC 3986 section 3.3).
    InvalidCharacter,
    /// `%` without two hexadecimal digits.
    InvalidPercentEncoding,
    /// `.` or `..`, plain or encoded.
    DotSegment,
    /// `//` within the path.
    EmptySegment,
    /// An encoded delimiter or control character, or an encoding of an encoding.
    EncodedDelimiter,
    /// A path parameter.
    PathParameter,
    /// Too many segments.
    TooManySegments,
    /// No host, several, or one that cannot be read.
    InvalidHost,
    /// The target's own host is not that of the `Host` line.
    HostMismatch,
    /// A query that cannot be read.
    InvalidQuery,
}

impl fmt::Display for TargetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TargetError::UnsupportedForm => "the target is neither a path nor a whole http address",
            TargetError::InvalidCharacter => "the path holds a character that must be encoded",
            TargetError::InvalidPercentEncoding => "% without two hexadecimal digits",
            TargetError::DotSegment => "the path holds . or .. as a segment",
            TargetError::EmptySegment => "the path holds an empty segment",
            TargetError::EncodedDelimiter => {
                "the path holds an encoded delimiter, control character or second encoding"
            }
            TargetError::PathParameter => "the path holds a parameter (;)",
            TargetError::TooManySegments => "the path has too many segments",
            TargetError::InvalidHost => "there must be one readable Host",
            TargetError::HostMismatch => "the target names another host than Host",
            TargetError::InvalidQuery => "the query cannot be read",
        })
    }
}

impl std::error::Error for TargetError {}

/// A path in normal form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    text: String,
    /// Where each segment begins and ends. A slash at the end begins none.
    segments: Vec<(usize, usize)>,
}

fn hex(byte: u8) -> Option<u8> {
    (byte as char).to_digit(16).map(|d| d as u8)
}

fn unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)
}

/// `pchar` without the percent sign (RFC 3986 section 3.3), and `/`.
fn plain(byte: u8) -> bool {
    unreserved(byte) || b"!$&'()*+,=:@/".contains(&byte)
}

impl Path {
    /// The normal form of a path as it came, without its query.
    pub fn parse(raw: &str) -> Result<Path, TargetError> {
        let bytes = raw.as_bytes();
        if bytes.first() != Some(&b'/') {
            return Err(TargetError::UnsupportedForm);
        }
        let mut text = String::with_capacity(raw.len());
        let mut at = 0;
        while at < bytes.len() {
            let byte = bytes[at];
            at += 1;
            match byte {
                b';' => return Err(TargetError::PathParameter),
                b'%' => {
                    let digits =
                        (bytes.get(at).copied().and_then(hex), bytes.get(at + 1).copied().and_then(hex));
                    let (Some(high), Some(low)) = digits else {
                        return Err(TargetError::InvalidPercentEncoding);
                    };
                    at += 2;
                    let encoded = high * 16 + low;
                    if unreserved(encoded) {
                        text.push(encoded as char);
                    } else if encoded.is_ascii_control() || b"/\\;?#".contains(&encoded) {
                        return Err(TargetError::EncodedDelimiter);
                    } else {
                        let digit =
                            |d: u8| char::from_digit(u32::from(d), 16).map(|c| c.to_ascii_uppercase());
                        text.push('%');
                        text.extend(digit(high).into_iter().chain(digit(low)));
                    }
                }
                _ if plain(byte) => text.push(byte as char),
                _ => return Err(TargetError::InvalidCharacter),
            }
        }
        // Looked for in what came of the first decoding: it may have made the digits.
        let twice = |at: usize| {
            text.as_bytes().get(at + 3..at + 5).is_some_and(|d| d.iter().all(u8::is_ascii_hexdigit))
        };
        if text.match_indices("%25").any(|(at, _)| twice(at)) {
            return Err(TargetError::EncodedDelimiter);
        }
        let mut segments = Vec::new();
        let mut from = 1;
        while from < text.len() {
            let to = text[from..].find('/').map_or(text.len(), |n| from + n);
            match &text[from..to] {
                "" => return Err(TargetError::EmptySegment),
                "." | ".." => return Err(TargetError::DotSegment),
                _ => segments.push((from, to)),
            }
            from = to + 1;
        }
        if segments.len() > MAX_PATH_SEGMENTS {
            return Err(TargetError::TooManySegments);
        }
        Ok(Path { text, segments })
    }

    /// The whole path.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The segments. A slash at the end counts for nothing: servers differ on whether it makes another path.
    pub fn segments(&self) -> impl DoubleEndedIterator<Item = &str> + ExactSizeIterator {
        self.segments.iter().map(|&(from, to)| &self.text[from..to])
    }

    /// A segment by its place.
    pub fn segment(&self, at: usize) -> Option<&str> {
        self.segments.get(at).map(|&(from, to)| &self.text[from..to])
    }

    /// How many segments there are.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// It is `/`.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }
}

/// A host in normal form: lower case, without a dot at the end; the port aside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    name: String,
    port: Option<u16>,
}

impl Host {
    /// Reads `name`, `name:port` or `[address]:port` (RFC 3986 section 3.2.2; no user, no encoding).
    pub fn parse(raw: &str) -> Result<Host, TargetError> {
        let (name, port) = match raw.strip_prefix('[') {
            Some(rest) => {
                let (address, port) = rest.split_once(']').ok_or(TargetError::InvalidHost)?;
                let address: std::net::Ipv6Addr = address.parse().map_err(|_| TargetError::InvalidHost)?;
                (format!("[{address}]"), port)
            }
            None => {
                let (name, port) = raw.find(':').map_or((raw, ""), |at| raw.split_at(at));
                let name = name.strip_suffix('.').unwrap_or(name).to_ascii_lowercase();
                let label = |l: &str| {
                    !l.is_empty() && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_')
                };
                if name.len() > 253 || !name.split('.').all(label) {
                    return Err(TargetError::InvalidHost);
                }
                (name, port)
            }
        };
        let port = match port.strip_prefix(':') {
            None if port.is_empty() => None,
            Some("") => None,
            Some(digits) if digits.bytes().all(|b| b.is_ascii_digit()) => {
                Some(digits.parse().map_err(|_| TargetError::InvalidHost)?)
            }
            _ => return Err(TargetError::InvalidHost),
        };
        Ok(Host { name, port })
    }

    /// The name, as routes match it.
    pub fn name(&self) -> &str {
        &self.name
    }

    fn port(&self) -> u16 {
        self.port.unwrap_or(80)
    }
}

impl fmt::Display for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.port {
            Some(port) => write!(f, "{}:{port}", self.name),
            None => f.write_str(&self.name),
        }
    }
}

/// A request's target in normal form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Nothing only where the caller is older than HTTP/1.1 and names none.
    pub host: Option<Host>,
    /// The path.
    pub path: Path,
    /// The query as it came.
    pub query: Option<String>,
}

impl Target {
    /// Reads a request target (RFC 9112 section 3.2) and the `Host` line. A whole address must name the same host.
    pub fn parse(target: &str, host: Option<&str>) -> Result<Target, TargetError> {
        let host = host.map(Host::parse).transpose()?;
        let scheme = target.get(..7).is_some_and(|s| s.eq_ignore_ascii_case("http://"));
        let (own, rest) = if scheme {
            let rest = &target[7..];
            let end = rest.find(['/', '?', '#']).unwrap_or(rest.len());
            (Some(Host::parse(&rest[..end])?), &rest[end..])
        } else {
            (None, target)
        };
        let host = match (own, host) {
            (Some(own), Some(host)) if (own.name(), own.port()) != (host.name(), host.port()) => {
                return Err(TargetError::HostMismatch);
            }
            (own, host) => own.or(host),
        };
        if rest.contains('#') {
            return Err(TargetError::InvalidCharacter);
        }
        let (path, query) = match rest.split_once('?') {
            Some((path, query)) => (path, Some(query)),
            None => (rest, None),
        };
        let path = Path::parse(if scheme && path.is_empty() { "/" } else { path })?;
        if let Some(query) = query {
            pairs(query)?;
        }
        Ok(Target { host, path, query: query.map(str::to_owned) })
    }

    /// Path and query, as they are forwarded.
    pub fn path_and_query(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path.as_str()),
            None => self.path.as_str().to_owned(),
        }
    }

    /// The pairs of the query, decoded.
    pub fn query_pairs(&self) -> Vec<(String, String)> {
        self.query.as_deref().and_then(|q| pairs(q).ok()).unwrap_or_default()
    }
}

/// The pairs of a query, as forms write them; `+` is a space. Semicolons do not part pairs, and what cannot be
/// decoded into text is an error, since another reader would find another name there.
fn pairs(query: &str) -> Result<Vec<(String, String)>, TargetError> {
    let parts = query.split('&').filter(|p| !p.is_empty());
    let read = |part: &str| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        Ok((percent_decode(&name.replace('+', " "))?, percent_decode(&value.replace('+', " "))?))
    };
    let pairs: Vec<_> = parts.take(MAX_QUERY_PAIRS + 1).map(read).collect::<Result<_, _>>()?;
    if pairs.len() > MAX_QUERY_PAIRS { Err(TargetError::InvalidQuery) } else { Ok(pairs) }
}

/// Text with its percent signs decoded.
pub fn percent_decode(text: &str) -> Result<String, TargetError> {
    let bytes = text.as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' {
            let digits = (bytes.get(at + 1).copied().and_then(hex), bytes.get(at + 2).copied().and_then(hex));
            let (Some(high), Some(low)) = digits else { return Err(TargetError::InvalidQuery) };
            out.push(high * 16 + low);
            at += 3;
        } else if bytes[at].is_ascii_control() || bytes[at] == b' ' && !text.contains(' ') {
            return Err(TargetError::InvalidQuery);
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8(out).map_err(|_| TargetError::InvalidQuery)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_equivalent_has_one_form() {
        for (raw, normal) in [
            ("/", "/"),
            ("/checks/7", "/checks/7"),
            ("/%63hecks/%37", "/checks/7"),
            ("/a%7Eb%2d", "/a~b-"),
            ("/a%c3%a9", "/a%C3%A9"),
            ("/a/", "/a/"),
            ("/100%25", "/100%25"),
            ("/a:b@c", "/a:b@c"),
        ] {
            assert_eq!(Path::parse(raw).map(|p| p.text), Ok(normal.to_owned()), "{raw}");
        }
        assert_eq!(Path::parse("/a/b/").map(|p| p.len()), Ok(2));
    }

    #[test]
    fn what_two_readers_understand_differently_has_none() {
        for (raw, why) in [
            ("", TargetError::UnsupportedForm),
            ("checks", TargetError::UnsupportedForm),
            ("*", TargetError::UnsupportedForm),
            ("/a/../b", TargetError::DotSegment),
            ("/a/%2e%2E/b", TargetError::DotSegment),
            ("/a/.%2e/b", TargetError::DotSegment),
            ("/a/./b", TargetError::DotSegment),
            ("/a/..", TargetError::DotSegment),
            ("//a", TargetError::EmptySegment),
            ("/a//b", TargetError::EmptySegment),
            ("/a//", TargetError::EmptySegment),
            ("/a%2Fb", TargetError::EncodedDelimiter),
            ("/a%5cb", TargetError::EncodedDelimiter),
            ("/a%00", TargetError::EncodedDelimiter),
            ("/a%3bv=1", TargetError::EncodedDelimiter),
            ("/a%3Fb", TargetError::EncodedDelimiter),
            ("/a%23", TargetError::EncodedDelimiter),
            ("/%252e%252e/b", TargetError::EncodedDelimiter),
            ("/%25%32e", TargetError::EncodedDelimiter),
            ("/a;v=1/b", TargetError::PathParameter),
            ("/a\\b", TargetError::InvalidCharacter),
            ("/a b", TargetError::InvalidCharacter),
            ("/a\u{e9}", TargetError::InvalidCharacter),
            ("/a%", TargetError::InvalidPercentEncoding),
            ("/a%4", TargetError::InvalidPercentEncoding),
            ("/a%zz", TargetError::InvalidPercentEncoding),
        ] {
            assert_eq!(Path::parse(raw).err(), Some(why), "{raw}");
        }
        assert_eq!(
            Path::parse(&"/a".repeat(MAX_PATH_SEGMENTS + 1)).err(),
            Some(TargetError::TooManySegments)
        );
    }

    #[test]
    fn hosts_are_compared_without_case_last_dot_and_own_port() {
        let name = |raw: &str| Host::parse(raw).map(|h| h.to_string());
        assert_eq!(name("API.Example."), Ok("api.example".to_owned()));
        assert_eq!(name("api.example:8080"), Ok("api.example:8080".to_owned()));
        assert_eq!(name("[0:0::1]:80"), Ok("[::1]:80".to_owned()));
        for bad in ["", ".", "a..b", "a b", "u@a", "a:x", "a:99999", "a:1:2", "[::1", "a/b", "a,b", "%61"] {
            assert_eq!(name(bad), Err(TargetError::InvalidHost), "{bad:?}");
        }
    }

    #[test]
    fn a_whole_address_names_the_same_host_or_none_is_served() {
        let read = |target: &str, host| Target::parse(target, host).map(|t| (t.host, t.path.text));
        let own = Host::parse("api.example").ok();
        for target in ["http://API.example./a", "HTTP://api.example:80/a"] {
            assert_eq!(
                read(target, Some("api.example")).map(|(h, p)| (h.map(|h| h.name), p)),
                Ok((own.clone().map(|h| h.name), "/a".to_owned())),
                "{target}"
            );
        }
        assert_eq!(read("http://api.example", Some("api.example")), Ok((own.clone(), "/".to_owned())));
        assert_eq!(read("/a", None), Ok((None, "/a".to_owned())));
        assert_eq!(read("http://other/a", Some("api.example")), Err(TargetError::HostMismatch));
        assert_eq!(read("http://api.example:81/a", Some("api.example")), Err(TargetError::HostMismatch));
        assert_eq!(read("http://u@api.example/a", Some("api.example")), Err(TargetError::InvalidHost));
        assert_eq!(read("https://api.example/a", Some("api.example")), Err(TargetError::UnsupportedForm));
        assert_eq!(read("api.example:443", Some("api.example")), Err(TargetError::UnsupportedForm));
    }

    #[test]
    fn queries_are_decoded_and_go_on_as_they_came() {
        let target = Target::parse("/a?%76=1+2&w=%3D&x&&y=", None).expect("a target");
        let pairs = target.query_pairs();
        let pairs: Vec<_> = pairs.iter().map(|(n, v)| (n.as_str(), v.as_str())).collect();
        assert_eq!(pairs, [("v", "1 2"), ("w", "="), ("x", ""), ("y", "")]);
        assert_eq!(target.path_and_query(), "/a?%76=1+2&w=%3D&x&&y=");
        for bad in ["/a?b=%", "/a?b=%zz", "/a?b=%ff", "/a#b", "/a?b#c"] {
            assert!(Target::parse(bad, None).is_err(), "{bad}");
        }
    }
}
