//! Clients: one request on one connection.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result, bail};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Most bytes of an answer.
const MOST: usize = 8 << 20;

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Answer {
    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// Sends a request and reads its answer to the end; an answer that is cut short is an error.
pub async fn ask(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Result<Answer> {
    timeout(within, exchange(to, method, target, headers, body)).await.context("no answer in time")?
}

async fn exchange(
    to: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<Answer> {
    let mut stream = TcpStream::connect(to).await.with_context(|| format!("connect to {to}"))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\nConnection: close\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    stream.write_all(head.as_bytes()).await?;
    // An answer may come before the body was read, with the end of the connection.
    let _ = stream.write_all(body).await;
    let mut come = Vec::new();
    while stream.read_buf(&mut come).await? > 0 {
        if come.len() > MOST {
            bail!("answer: longer than {MOST} bytes");
        }
    }
    parse(&come)
}

/// A connection that is kept for one request after the other.
pub struct Kept {
    stream: TcpStream,
    come: Vec<u8>,
}

impl Kept {
    /// Connects.
    pub async fn connect(to: SocketAddr) -> Result<Kept> {
        let stream = TcpStream::connect(to).await.with_context(|| format!("connect to {to}"))?;
        Ok(Kept { stream, come: Vec::new() })
    }

    /// Sends a request as it stands and reads its answer, which must tell its length.
    pub async fn ask(&mut self, request: &str) -> Result<Answer> {
        self.stream.write_all(request.as_bytes()).await?;
        loop {
            if let Some(length) = whole_length(&self.come)? {
                let answer = parse(&self.come[..length])?;
                self.come.drain(..length);
                return Ok(answer);
            }
            if self.come.len() > MOST {
                bail!("answer: longer than {MOST} bytes");
            }
            if self.stream.read_buf(&mut self.come).await? == 0 {
                bail!("answer: the connection ended");
            }
        }
    }
}

/// The length in bytes of the answer that what has come begins with, where all of it is here.
fn whole_length(come: &[u8]) -> Result<Option<usize>> {
    let Some(head) = come.windows(4).position(|window| window == b"\r\n\r\n") else { return Ok(None) };
    let text = std::str::from_utf8(&come[..head]).context("answer: its head is no text")?;
    let text = text.to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|length| length.trim().parse::<usize>().ok());
    let length = length.context("answer: found no content-length, expected one")?;
    let end = head + 4 + length;
    Ok((come.len() >= end).then_some(end))
}

fn parse(come: &[u8]) -> Result<Answer> {
    let end = come.windows(4).position(|w| w == b"\r\n\r\n").context("answer: no head")?;
    let head = std::str::from_utf8(&come[..end]).context("answer: its head is no text")?;
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|l| l.split(' ').nth(1)).and_then(|s| s.parse().ok());
    let status = status.context("answer: no status")?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect();
    let body = come[end + 4..].to_vec();
    let length: Option<usize> =
        headers.iter().find(|(n, _)| n == "content-length").and_then(|(_, v)| v.parse().ok());
    let chunked = headers.iter().any(|(n, _)| n == "transfer-encoding");
    let body = match (length, chunked) {
        (Some(length), _) if body.len() != length => bail!("answer: {} of {length} bytes", body.len()),
        (_, true) => unchunked(&body)?,
        _ => body,
    };
    Ok(Answer { status, headers, body })
}

fn unchunked(mut rest: &[u8]) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = rest.windows(2).position(|w| w == b"\r\n").context("answer: a chunk without its size")?;
        let size =
            std::str::from_utf8(&rest[..end]).ok().and_then(|s| usize::from_str_radix(s.trim(), 16).ok());
        let size = size.context("answer: a chunk's size is no number")?;
        rest = &rest[end + 2..];
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(rest.get(..size).context("answer: cut in a chunk")?);
        rest = rest.get(size + 2..).context("answer: cut after a chunk")?;
    }
}
