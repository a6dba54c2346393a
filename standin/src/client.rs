//! A client with one connection, which it keeps as long as the balancer does.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::timeout;

use crate::record::{ID, KIND, Kind, Record, Told};

/// What an answer may come later than the client's time: its way through busy sockets.
const GRACE: Duration = Duration::from_millis(250);

/// A request as a client words it; number and kind are added.
#[derive(Clone, Debug)]
pub struct Wording {
    /// Its method.
    pub method: &'static str,
    /// Its path.
    pub path: String,
    /// What may be repeated.
    pub kind: Kind,
    /// How long the client waits.
    pub patience: Duration,
    /// The body.
    pub body: Bytes,
    /// More headers.
    pub headers: Vec<(&'static str, String)>,
}

struct Line {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// A client.
pub struct Client {
    to: SocketAddr,
    line: Option<Line>,
    record: Record,
}

impl Client {
    /// A client of the balancer at an address.
    pub fn new(to: SocketAddr, record: &Record) -> Client {
        Client { to, line: None, record: record.clone() }
    }

    /// Goes to another balancer from the next request on.
    pub fn turn_to(&mut self, to: SocketAddr) {
        if self.to != to {
            (self.to, self.line) = (to, None);
        }
    }

    /// Whether a connection is up.
    pub fn connected(&self) -> bool {
        self.line.as_ref().is_some_and(|l| !l.sender.is_closed())
    }

    /// Sends one request and waits for what comes of it; also what was answered, where something was.
    pub async fn ask(&mut self, wording: &Wording) -> (Told, Option<StatusCode>) {
        let id = self.record.ask(wording.kind);
        let asked = timeout(wording.patience + GRACE, self.exchange(id, wording)).await;
        let (told, status) = match asked {
            Ok(Ok((status, made_for))) => (told(id, status, made_for), Some(status)),
            // The connection is of no further use.
            Ok(Err(_)) | Err(_) => {
                self.line = None;
                (Told::Lost, None)
            }
        };
        self.record.told(id, told);
        (told, status)
    }

    async fn exchange(&mut self, id: u64, wording: &Wording) -> Result<(StatusCode, Option<u64>), String> {
        let mut again = self.line.is_some();
        loop {
            match self.attempt(id, wording).await {
                Ok(response) => {
                    let (head, body) = response.into_parts();
                    body.collect().await.map_err(|e| e.to_string())?;
                    let made_for = head.headers.get(ID).and_then(|v| v.to_str().ok()?.parse().ok());
                    return Ok((head.status, made_for));
                }
                // A kept connection may be closed while the request is on its way: once more, on a new one.
                Err(_) if again => (again, self.line) = (false, None),
                Err(why) => return Err(why),
            }
        }
    }

    async fn attempt(&mut self, id: u64, wording: &Wording) -> Result<Response<Incoming>, String> {
        let up = match &mut self.line {
            Some(line) => line.sender.ready().await.is_ok(),
            None => false,
        };
        if !up {
            let stream = TcpStream::connect(self.to).await.map_err(|e| e.to_string())?;
            let _ = stream.set_nodelay(true);
            let (sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
            let driver = spawn_local(async move {
                let _ = connection.await;
            });
            self.line = Some(Line { sender, driver: driver.abort_handle() });
        }
        let mut request = Request::builder()
            .method(wording.method)
            .uri(&wording.path)
            .header("host", "demo.local")
            .header(ID, id)
            .header(KIND, wording.kind.word())
            .header("request-timeout-ms", wording.patience.as_millis().to_string());
        if wording.kind == Kind::Keyed {
            request = request.header("idempotency-key", format!("key-{id}"));
        }
        for (name, value) in &wording.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(wording.body.clone())).map_err(|e| e.to_string())?;
        let Some(line) = &mut self.line else { return Err("no connection".to_owned()) };
        line.sender.send_request(request).await.map_err(|e| e.to_string())
    }
}

fn told(id: u64, status: StatusCode, made_for: Option<u64>) -> Told {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Told::Refused,
        status if status.is_success() && made_for == Some(id) => Told::Served,
        // Served with what no upstream made for it.
        status if status.is_success() => Told::Lost,
        _ => Told::Failed,
    }
}
