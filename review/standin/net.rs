//! HTTP/1.1 for stand-ins: messages read from and written to blocking sockets. Nothing but the standard library.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer: its first line, its headers with names in lower case, and its body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// The status of an answer, 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Method and path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

fn bad(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// A connection with what was read from it and not taken yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr, within: Duration) -> io::Result<Wire> {
        Ok(Wire::new(TcpStream::connect_timeout(&to, within)?))
    }

    /// Reads more; `Ok(false)` at the end of the stream.
    fn fill(&mut self, deadline: Instant) -> io::Result<bool> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "out of time"));
        }
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        let mut chunk = [0; 16384];
        match self.stream.read(&mut chunk) {
            Ok(0) => Ok(false),
            Ok(n) => {
                self.buffer.extend_from_slice(&chunk[..n]);
                Ok(true)
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Ok(true),
            Err(e) => Err(e),
        }
    }

    fn need(&mut self, deadline: Instant) -> io::Result<()> {
        if self.fill(deadline)? { Ok(()) } else { Err(bad("the connection ended within a message")) }
    }

    /// Reads one whole message; `Ok(None)` if the connection ends before its first byte.
    pub fn read(&mut self, deadline: Instant) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.fill(deadline)? {
                return if self.buffer.is_empty() { Ok(None) } else { Err(bad("cut within a head")) };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { first, headers, body: Vec::new() };
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size =
                    usize::from_str_radix(self.line(deadline)?.trim(), 16).map_err(|_| bad("no size"))?;
                let part = self.take(size, deadline)?;
                message.body.extend_from_slice(&part);
                self.line(deadline)?;
                if size == 0 {
                    break;
                }
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.take(length, deadline)?;
        } else if message.first.starts_with("HTTP/") {
            while self.fill(deadline)? {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Ok(Some(message))
    }

    fn line(&mut self, deadline: Instant) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.need(deadline)?;
        }
    }

    fn take(&mut self, length: usize, deadline: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.need(deadline)?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.set_write_timeout(Some(Duration::from_secs(5)))?;
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(n) => n == 0,
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// The head of a request with these headers.
pub fn head_of(method: &str, target: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    (text + "\r\n").into_bytes()
}

/// A whole request, with the length of its body.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let length = body.len().to_string();
    let mut headers = headers.to_vec();
    if !body.is_empty() || method == "POST" {
        headers.push(("Content-Length", &length));
    }
    let mut bytes = head_of(method, target, &headers);
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a new connection and reads its answer.
pub fn ask(to: SocketAddr, bytes: &[u8], within: Duration) -> io::Result<Message> {
    let deadline = Instant::now() + within;
    let mut wire = Wire::connect(to, within.min(Duration::from_secs(1)))?;
    wire.write(bytes)?;
    wire.read(deadline)?.ok_or_else(|| bad("closed without an answer"))
}
