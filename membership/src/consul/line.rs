//! Questions to Consul over HTTP/1.1.

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

use super::{Ask, Entry, Mode, Told};
use crate::source::Line;

/// Most bytes of an answer.
const MOST_ANSWER: usize = 64 << 20;
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_secs(2);

/// The question under way. Each has a connection of its own: a blocking question is rare, and one that is left must not
/// hold up the next.
pub struct Questions {
    service: String,
    endpoints: Vec<SocketAddr>,
    under_way: Option<(u64, AbortHandle)>,
    sender: mpsc::Sender<Told>,
    told: mpsc::Receiver<Told>,
}

impl Questions {
    /// None yet; the service's name is put into a path, byte by byte where that is needed.
    pub fn new(service: &str, endpoints: &[SocketAddr]) -> Questions {
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.~".contains(&b);
        let escape = |b: u8| if plain(b) { char::from(b).to_string() } else { format!("%{b:02X}") };
        let (sender, told) = mpsc::channel(2);
        let (service, endpoints) = (service.bytes().map(escape).collect(), endpoints.to_vec());
        Questions { service, endpoints, under_way: None, sender, told }
    }
}

impl Drop for Questions {
    fn drop(&mut self) {
        if let Some((_, task)) = &self.under_way {
            task.abort();
        }
    }
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn question(call: u64, address: SocketAddr, path: String) -> Result<Told, String> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(|_| "no connection in time")?;
    let stream = stream.map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let asked = async move {
        let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new());
        let request = request.map_err(|e| e.to_string())?;
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let (head, body) = response.into_parts();
        if head.status != StatusCode::OK {
            return Err(format!("found status {}, expected 200", head.status));
        }
        let index = number(&head.headers, "x-consul-index").ok_or("found no X-Consul-Index, expected one")?;
        let leader = head.headers.get("x-consul-knownleader").is_none_or(|v| v.as_bytes() == b"true");
        let last_contact = number(&head.headers, "x-consul-lastcontact").unwrap_or(0).saturating_mul(1000);
        let body = Limited::new(body, MOST_ANSWER).collect().await.map_err(|e| e.to_string())?.to_bytes();
        let entries: Vec<Entry> = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        Ok(Told::Answer { call, index, leader, last_contact, entries })
    };
    tokio::pin!(asked);
    let mut connection = std::pin::pin!(connection);
    let mut open = true;
    loop {
        tokio::select! {
            told = &mut asked => return told,
            _ = &mut connection, if open => open = false,
        }
    }
}

impl Line for Questions {
    type Ask = Ask;
    type Told = Told;

    fn make(&mut self, ask: Ask) {
        match ask {
            Ask::Query { call, endpoint, index, wait, mode } => {
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
                    let told = question(call, address, path).await;
                    let told = told.unwrap_or_else(|why| Told::Failed { call, why });
                    let _ = sender.send(told).await;
                });
                if let Some((_, before)) = self.under_way.replace((call, task.abort_handle())) {
                    before.abort();
                }
            }
            Ask::Leave { call } => {
                if let Some((_, task)) = self.under_way.take_if(|(under_way, _)| *under_way == call) {
                    task.abort();
                }
            }
        }
    }

    async fn next(&mut self) -> Told {
        match self.told.recv().await {
            Some(told) => told,
            // The sender is held here.
            None => std::future::pending().await,
        }
    }
}
