//! The operators' HTTP/1.1 listener of the platform's program. Each connection carries one call.

use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{ALLOW, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

use crate::connection_set::{ACCEPT_RETRY_DELAY, ConnectionSet};
use crate::order_call::{Call, ParseError, parse};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 12;
/// Maximum duration of a connection.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(6);
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Executes operators' calls.
pub trait OrderHandler: 'static {
    /// Executes a call. The result is a short confirmation, or the reason why nothing was done.
    fn call(&self, call: Call) -> Result<String, String>;
}

/// Answers calls; never returns. Each connection has a task of its own, so that a silent one does not block others.
pub async fn serve(listener: TcpListener, handler: Rc<impl OrderHandler>) {
    let connections = ConnectionSet::new(MAX_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let handler = handler.clone();
        connections.spawn(async move {
            let _ = timeout(CONNECTION_TIMEOUT, connection(stream, handler)).await;
        });
    }
}

async fn connection(stream: TcpStream, handler: Rc<impl OrderHandler>) -> Result<(), hyper::Error> {
    let _: io::Result<()> = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer(&*handler, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).timer(TokioTimer::new());
    builder.serve_connection(TokioIo::new(stream), service).await
}

fn answer(handler: &impl OrderHandler, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (method, path) = (request.method().as_str(), request.uri().path());
    let (status, text, allow) = match parse(method, path) {
        Ok(call) => match handler.call(call) {
            Ok(word) => (StatusCode::OK, word, None),
            Err(why) => (StatusCode::CONFLICT, why, None),
        },
        Err(ParseError::UnknownPath) => (StatusCode::NOT_FOUND, format!("nothing at {path}"), None),
        Err(ParseError::InvalidId) => {
            (StatusCode::BAD_REQUEST, "the identity cannot be read".to_owned(), None)
        }
        Err(ParseError::WrongMethod(needs)) => {
            let text = format!("found {method}, expected {needs}");
            (StatusCode::METHOD_NOT_ALLOWED, text, Some(HeaderValue::from_static(needs)))
        }
    };
    let mut response = Response::new(Full::new(Bytes::from(text + "\n")));
    *response.status_mut() = status;
    if let Some(allow) = allow {
        response.headers_mut().insert(ALLOW, allow);
    }
    response
}
