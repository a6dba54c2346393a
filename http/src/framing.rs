//! Determines where a request ends from its head. It is stricter than the HTTP specification requires: a head that
//! other software could interpret differently is rejected.

use httparse::{EMPTY_HEADER, Header, Request, Status};

/// Maximum number of header lines in a head.
const MAX_HEADER_LINES: usize = 100;

/// How the length of a body is given.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
}

/// Parses the head of a request. Returns its length in bytes and the framing of the body, or `None` while the head
/// is incomplete. The error means that the head is malformed or its framing is ambiguous.
pub fn parse_request_head(bytes: &[u8]) -> Result<Option<(usize, Framing)>, ()> {
    let mut lines = [EMPTY_HEADER; MAX_HEADER_LINES];
    let mut head = Request::new(&mut lines);
    match head.parse(bytes).map_err(|_| ())? {
        Status::Partial => Ok(None),
        Status::Complete(end) => {
            let framing = body_framing(head.headers)?;
            // Chunked encoding is new in HTTP/1.1. An older peer would read the chunks as the body itself.
            let supported = head.version == Some(1) || framing != Some(Framing::Chunked);
            if supported { Ok(Some((end, framing.unwrap_or(Framing::Length(0))))) } else { Err(()) }
        }
    }
}

/// Returns the framing that the header lines give, or `None` if they give none. Conflicting, repeated or malformed
/// framing headers are errors. This prevents request smuggling.
pub fn body_framing(lines: &[Header<'_>]) -> Result<Option<Framing>, ()> {
    let named = |name: &'static str| lines.iter().filter(move |l| l.name.eq_ignore_ascii_case(name));
    let mut lengths = named("content-length");
    let mut codings = named("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (None, None, None, None) => Ok(None),
        (Some(length), None, None, None) => {
            let digits = !length.value.is_empty() && length.value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(length.value).map_err(|_| ())?;
            if digits { text.parse().map(|n| Some(Framing::Length(n))).map_err(|_| ()) } else { Err(()) }
        }
        (None, None, Some(coding), None) if coding.value.eq_ignore_ascii_case(b"chunked") => {
            Ok(Some(Framing::Chunked))
        }
        _ => Err(()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn heads_with_ambiguous_framing_are_rejected() {
        let read = |lines: &str| {
            let text = format!("POST /api HTTP/1.1\r\nHost: b\r\n{lines}\r\n");
            parse_request_head(text.as_bytes()).map(|r| r.map(|(end, framing)| (end == text.len(), framing)))
        };
        for (lines, framing) in [
            ("", Framing::Length(0)),
            ("Content-Length: 65536\r\n", Framing::Length(65_536)),
            ("content-length:0\r\n", Framing::Length(0)),
            ("TRANSFER-ENCODING: Chunked\r\n", Framing::Chunked),
        ] {
            assert_eq!(read(lines), Ok(Some((true, framing))), "{lines:?}");
        }
        for lines in [
            "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
            "Content-Length: 4\r\nContent-Length: 4\r\n",
            "Content-Length: 4, 4\r\n",
            "Content-Length: -4\r\n",
            "Content-Length: +4\r\n",
            "Content-Length: ten\r\n",
            "Content-Length:\r\n",
            "Content-Length: 99999999999999999999\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding : chunked\r\n",
            "no colon\r\n",
        ] {
            assert_eq!(read(lines), Err(()), "{lines:?}");
        }
        assert_eq!(parse_request_head(b"POST /api HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"), Err(()));
        assert_eq!(parse_request_head(b"POST /api HTTP/1.1\r\nContent-Le"), Ok(None));
        assert_eq!(parse_request_head(b"\0\0\0\0"), Err(()));
    }
}
