//! Normalization of request targets. The normalized target is both matched against routes and forwarded.
//!
//! A path that two HTTP implementations may interpret differently is rejected, so that no operation can be reached
//! under the class of another route. Forms that RFC 3986 section 6.2.2 calls equivalent (case of hexadecimal digits,
//! percent-encoded unreserved characters) are normalized to one. Everything on which real servers disagree is
//! rejected: dot segments, empty segments, path parameters (`;a=b`) and encoded delimiters (`%2F`, `%5C`, `%3B`,
//! `%3F`, `%23`, or a double encoding such as `%252e`).

use std::fmt;

/// Maximum number of segments in a path. Bounds the depth of a route lookup.
pub const MAX_PATH_SEGMENTS: usize = 64;
/// Maximum number of name-value pairs in a query. Bounds the parsing work for one request.
pub const MAX_QUERY_PAIRS: usize = 256;

/// Why a request target is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// The target is neither `/path` nor `http://host/path`.
    UnsupportedForm,
    /// The path contains a character that RFC 3986 section 3.3 does not allow there, or the target contains a
    /// fragment.
    InvalidCharacter,
    /// A `%` in the path is not followed by two hexadecimal digits.
    InvalidPercentEncoding,
    /// A path segment is `.` or `..`, literally or percent-encoded.
    DotSegment,
    /// The path contains `//`.
    EmptySegment,
    /// The path contains a percent-encoded delimiter or control character, or a double encoding.
    EncodedDelimiter,
    /// The path contains a path parameter (`;`).
    PathParameter,
    /// The path has more than [`MAX_PATH_SEGMENTS`] segments.
    TooManySegments,
    /// The host is missing, ambiguous or malformed.
    InvalidHost,
    /// The host of an absolute target differs from the `Host` header.
    HostMismatch,
    /// The query has a malformed percent-encoding, is not UTF-8, or has more than [`MAX_QUERY_PAIRS`] pairs.
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

/// A normalized path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Path {
    /// The whole path, normalized.
    text: String,
    /// Byte range of each segment in `text`. A trailing slash does not start a segment.
    segments: Vec<(usize, usize)>,
}

/// The value of a hexadecimal digit.
fn hex(byte: u8) -> Option<u8> {
    (byte as char).to_digit(16).map(|d| d as u8)
}

/// Whether a character is unreserved (RFC 3986 section 2.3): encoded and literal forms are equivalent.
fn is_unreserved(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-._~".contains(&byte)
}

/// Whether a character may stand unencoded in a path: `/`, or `pchar` without the percent sign (RFC 3986 section
/// 3.3).
fn is_path_char(byte: u8) -> bool {
    is_unreserved(byte) || b"!$&'()*+,=:@/".contains(&byte)
}

impl Path {
    /// Normalizes a path as received, without the query.
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
                    if is_unreserved(encoded) {
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
                _ if is_path_char(byte) => text.push(byte as char),
                _ => return Err(TargetError::InvalidCharacter),
            }
        }
        // Double encoding is checked on the normalized text, since the first decoding may have produced the digits.
        let double_encoded = |at: usize| {
            text.as_bytes().get(at + 3..at + 5).is_some_and(|d| d.iter().all(u8::is_ascii_hexdigit))
        };
        if text.match_indices("%25").any(|(at, _)| double_encoded(at)) {
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

    /// The whole normalized path.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The segments of the path. A trailing slash is ignored, since servers disagree on whether it makes a different
    /// path.
    pub fn segments(&self) -> impl DoubleEndedIterator<Item = &str> + ExactSizeIterator {
        self.segments.iter().map(|&(from, to)| &self.text[from..to])
    }

    /// The segment at an index, counted from 0.
    pub fn segment(&self, at: usize) -> Option<&str> {
        self.segments.get(at).map(|&(from, to)| &self.text[from..to])
    }

    /// Number of segments.
    pub fn len(&self) -> usize {
        self.segments.len()
    }

    /// Whether the path is `/`.
    pub fn is_empty(&self) -> bool {
        self.segments.is_empty()
    }
}

/// A normalized host with an optional port. The name is in lower case without a trailing dot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The name in lower case, or an IPv6 address in brackets.
    name: String,
    /// The port, if the host names one.
    port: Option<u16>,
}

impl Host {
    /// Parses `name`, `name:port` or `[address]:port` (RFC 3986 section 3.2.2). User info and percent-encoding are
    /// rejected.
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

    /// The host name that routes match, without the port.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The port, or the default port of `http`.
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

/// A normalized request target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The host, or `None` if the request names none, as versions before HTTP/1.1 allow.
    pub host: Option<Host>,
    /// The normalized path.
    pub path: Path,
    /// The query exactly as received, without the `?`.
    pub query: Option<String>,
}

impl Target {
    /// Parses a request target (RFC 9112 section 3.2) and the `Host` header. The host of an absolute target must
    /// equal the `Host` header.
    pub fn parse(target: &str, host: Option<&str>) -> Result<Target, TargetError> {
        let host = host.map(Host::parse).transpose()?;
        let absolute = target.get(..7).is_some_and(|s| s.eq_ignore_ascii_case("http://"));
        let (own, rest) = if absolute {
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
        let path = Path::parse(if absolute && path.is_empty() { "/" } else { path })?;
        if let Some(query) = query {
            parse_query(query)?;
        }
        Ok(Target { host, path, query: query.map(str::to_owned) })
    }

    /// The path and query to forward.
    pub fn path_and_query(&self) -> String {
        match &self.query {
            Some(query) => format!("{}?{query}", self.path.as_str()),
            None => self.path.as_str().to_owned(),
        }
    }

    /// The decoded name-value pairs of the query.
    pub fn query_pairs(&self) -> Vec<(String, String)> {
        self.query.as_deref().and_then(|q| parse_query(q).ok()).unwrap_or_default()
    }
}

/// Parses a query as `application/x-www-form-urlencoded` pairs; `+` decodes to a space. Semicolons do not separate
/// pairs. Text that does not decode to UTF-8 is an error, since another implementation could read a different name.
fn parse_query(query: &str) -> Result<Vec<(String, String)>, TargetError> {
    let parts = query.split('&').filter(|p| !p.is_empty());
    let parse = |part: &str| {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        Ok((percent_decode(&name.replace('+', " "))?, percent_decode(&value.replace('+', " "))?))
    };
    let pairs: Vec<_> = parts.take(MAX_QUERY_PAIRS + 1).map(parse).collect::<Result<_, _>>()?;
    if pairs.len() > MAX_QUERY_PAIRS { Err(TargetError::InvalidQuery) } else { Ok(pairs) }
}

/// Decodes percent-encoded text. The result must be UTF-8, and unencoded control characters are an error.
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
    fn equivalent_paths_normalize_to_one_form() {
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
    fn ambiguous_paths_are_rejected() {
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
    fn hosts_are_normalized_and_malformed_hosts_rejected() {
        let name = |raw: &str| Host::parse(raw).map(|h| h.to_string());
        assert_eq!(name("API.Example."), Ok("api.example".to_owned()));
        assert_eq!(name("api.example:8080"), Ok("api.example:8080".to_owned()));
        assert_eq!(name("[0:0::1]:80"), Ok("[::1]:80".to_owned()));
        for bad in ["", ".", "a..b", "a b", "u@a", "a:x", "a:99999", "a:1:2", "[::1", "a/b", "a,b", "%61"] {
            assert_eq!(name(bad), Err(TargetError::InvalidHost), "{bad:?}");
        }
    }

    #[test]
    fn the_host_of_an_absolute_target_must_match_the_host_header() {
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
    fn queries_are_decoded_but_forwarded_unchanged() {
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
