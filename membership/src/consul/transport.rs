//! Queries to Consul over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1;
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use super::{Command, Entry, Mode, Reply};
use crate::source::Transport;

/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs one query at a time. Each uses a connection of its own, because blocking queries are rare, and a cancelled one must
/// not delay the next.
pub struct ConsulTransport {
    service: String,
    endpoints: Vec<SocketAddr>,
    under_way: Option<(u64, AbortHandle)>,
    sender: mpsc::Sender<Reply>,
    replies: mpsc::Receiver<Reply>,
}

impl ConsulTransport {
    /// Creates a transport. The name of the service is percent-encoded.
    pub fn new(service: &str, endpoints: &[SocketAddr]) -> ConsulTransport {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
        let escape = |b: u8| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") };
        let (sender, replies) = mpsc::channel(2);
        let (service, endpoints) = (service.bytes().map(escape).collect(), endpoints.to_vec());
        ConsulTransport { service, endpoints, under_way: None, sender, replies }
    }
}

impl Drop for ConsulTransport {
    fn drop(&mut self) {
        if let Some((_, task)) = &self.under_way {
            task.abort();
        }
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn query(call: u64, address: SocketAddr, path: String) -> Result<Reply, String> {
    let stream =
        timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.map_err(|_| "no connection in time")?;
    let stream = stream.map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let response = async move {
        let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
        let request = request.map_err(|e| e.to_string())?;
        let received = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let (head, body) = received.into_parts();
        if head.status != StatusCode::OK {
            return Err(format!("found status {}, expected 200", head.status));
        }
        let index = number(&head.headers, "x-consul-index").ok_or("found no X-Consul-Index, expected one")?;
        let leader = head.headers.get("x-consul-knownleader").is_none_or(|v| v.as_bytes() == b"true");
        let last_contact = number(&head.headers, "x-consul-lastcontact").unwrap_or(0).saturating_mul(1000);
        let body =
            Limited::new(body, MAX_RESPONSE_BYTES).collect().await.map_err(|e| e.to_string())?.to_bytes();
        let entries: Vec<Entry> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        Ok(Reply::Answer { call, index, leader, last_contact, entries })
    };
    tokio::pin!(response);
    let mut connection = std::pin::pin!(connection);
    let mut open = true;
    loop {
        tokio::select! {
            reply = &mut response => return reply,
            _ = &mut connection, if open => open = false,
        }
    }
}

impl Transport for ConsulTransport {
    type Command = Command;
    type Reply = Reply;

    fn execute(&mut self, command: Command) {
        match command {
            Command::Query { call, endpoint, index, wait, mode } => {
                let mode = match mode {
                    Mode::Default => "",
                    Mode::Stale => "&stale",
                    Mode::Consistent => "&consistent",
                };
                let wait = if index == 0 { String::new() } else { format!("&wait={}ms", wait / 1000) };
                let path = format!("/v1/health/service/{}?index={index}{wait}{mode}", self.service);
                let address = self.endpoints[endpoint % self.endpoints.len()];
                let sender = self.sender.clone();
                let task = spawn_local(async move {
                    let reply = query(call, address, path).await;
                    let reply = reply.unwrap_or_else(|why| Reply::Failed { call, why });
                    let _ = sender.send(reply).await;
                });
                if let Some((_, before)) = self.under_way.replace((call, task.abort_handle())) {
                    before.abort();
                }
            }
            Command::Leave { call } => {
                if let Some((_, task)) = self.under_way.take_if(|(under_way, _)| *under_way == call) {
                    task.abort();
                }
            }
        }
    }

    async fn next_reply(&mut self) -> Reply {
        match self.replies.recv().await {
            Some(reply) => reply,
            // Never the case: this value holds a sender.
            None => std::future::pending().await,
        }
    }
}
