//! The operators' listener: HTTP/1.1, one call on each connection.

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

use crate::call::{Call, NoCall, parse};
use crate::crowd::{Crowd, PAUSE};

/// Connections at once.
const MOST: usize = 12;
/// How long a connection may last.
const PATIENCE: Duration = Duration::from_secs(6);
/// Most of a head, in bytes.
const MOST_HEAD: usize = 16 * 1024;

/// Whoever carries calls out.
pub trait Operated: 'static {
    /// The answer: yes with a word, or no with the reason.
    fn call(&self, call: Call) -> Result<String, String>;
}

/// Answers calls; never returns. Each connection has a task, so that one that says nothing holds up no other.
pub async fn serve(listener: TcpListener, operated: Rc<impl Operated>) {
    let crowd = Crowd::new(MOST);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let operated = operated.clone();
        crowd.take(async move {
            let _ = timeout(PATIENCE, connection(stream, operated)).await;
        });
    }
}

async fn connection(stream: TcpStream, operated: Rc<impl Operated>) -> Result<(), hyper::Error> {
    let _: io::Result<()> = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer(&*operated, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(MOST_HEAD).timer(TokioTimer::new());
    builder.serve_connection(TokioIo::new(stream), service).await
}

fn answer(operated: &impl Operated, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (method, path) = (request.method().as_str(), request.uri().path());
    let (status, text, allow) = match parse(method, path) {
        Ok(call) => match operated.call(call) {
            Ok(word) => (StatusCode::OK, word, None),
            Err(why) => (StatusCode::CONFLICT, why, None),
        },
        Err(NoCall::Path) => (StatusCode::NOT_FOUND, format!("nothing at {path}"), None),
        Err(NoCall::Id) => (StatusCode::BAD_REQUEST, "the identity cannot be read".to_owned(), None),
        Err(NoCall::Method(needs)) => {
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
