//! The reference: a plain pass-through proxy of a few lines, with a pool and round robin, no limits and no repeats.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

struct Pool {
    upstreams: Vec<SocketAddr>,
    turn: Cell<usize>,
    idle: RefCell<Vec<Vec<SendRequest<Full<Bytes>>>>>,
}

impl Pool {
    async fn pass(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
        let (head, body) = request.into_parts();
        let request = Request::from_parts(head, Full::new(body.collect().await?.to_bytes()));
        let at = self.turn.get() % self.upstreams.len();
        self.turn.set(at + 1);
        let idle = loop {
            match self.idle.borrow_mut()[at].pop() {
                Some(line) if line.is_closed() => {}
                other => break other,
            }
        };
        let failed = || {
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::BAD_GATEWAY;
            response
        };
        let mut line = match idle {
            Some(line) => line,
            None => {
                let Ok(stream) = TcpStream::connect(self.upstreams[at]).await else { return Ok(failed()) };
                let _ = stream.set_nodelay(true);
                let (line, connection) = handshake(TokioIo::new(stream)).await?;
                spawn_local(async move {
                    let _ = connection.await;
                });
                line
            }
        };
        let Ok(response) = line.send_request(request).await else { return Ok(failed()) };
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        if line.ready().await.is_ok() {
            self.idle.borrow_mut()[at].push(line);
        }
        Ok(Response::from_parts(head, Full::new(body)))
    }
}

/// Serves until it is killed; its address is the last word of its first line on standard error.
pub fn run(upstreams: Vec<SocketAddr>) -> Result<(), String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(|e| e.to_string())?;
        eprintln!("proxy: listens on {}", listener.local_addr().map_err(|e| e.to_string())?);
        let idle = RefCell::new(upstreams.iter().map(|_| Vec::new()).collect());
        let pool = Rc::new(Pool { upstreams, turn: Cell::new(0), idle });
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let pool = pool.clone();
            let service = service_fn(move |request| {
                let pool = pool.clone();
                async move { pool.pass(request).await }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            spawn_local(async move {
                let _ = connection.await;
            });
        }
    })
}
