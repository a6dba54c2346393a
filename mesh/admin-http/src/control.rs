//! Calls of operators and upstreams: small requests with a whole body, answered whole.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How long a head may take.
const HEAD: Duration = Duration::from_secs(3);
/// How long a body may take.
const BODY: Duration = Duration::from_secs(10);
const PAUSE: Duration = Duration::from_millis(20);

/// A call, read whole.
#[derive(Debug)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// The path.
    pub path: String,
    /// What is called: `call` of the query.
    pub name: Option<String>,
    /// On what: `of` of the query.
    pub target: Option<String>,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// The answer to a call.
pub type ControlResponse = Response<Full<Bytes>>;

/// An answer of a status and a sentence.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> ControlResponse {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}

/// An answer of JSON.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> ControlResponse {
    let mut answer = text_response(status, body);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// A mistake of the caller's, as JSON.
pub fn error_response(status: StatusCode, why: &str) -> ControlResponse {
    json_response(status, serde_json::json!({ "error": why }).to_string())
}

/// Takes calls for good; bodies have at most so many bytes.
pub async fn serve<A, F>(listener: TcpListener, most_body: usize, answer: A)
where
    A: Fn(Call, SocketAddr) -> F + 'static,
    F: Future<Output = ControlResponse> + 'static,
{
    let answer = Rc::new(answer);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(connection(stream, peer, most_body, answer.clone()));
            }
            Err(_) => sleep(PAUSE).await,
        }
    }
}

async fn connection<A, F>(stream: TcpStream, peer: SocketAddr, most_body: usize, answer: Rc<A>)
where
    A: Fn(Call, SocketAddr) -> F + 'static,
    F: Future<Output = ControlResponse> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let answer = answer.clone();
        async move {
            Ok::<_, Infallible>(match read(request, most_body).await {
                Ok(call) => answer(call, peer).await,
                Err(answer) => answer,
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD).max_buf_size(64 * 1024);
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

async fn read(request: Request<Incoming>, most: usize) -> Result<Call, ControlResponse> {
    let (head, body) = request.into_parts();
    let body = match timeout(BODY, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            let why = format!("the body broke off or is longer than {most} bytes");
            return Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, &why));
        }
        Err(_) => return Err(error_response(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    };
    let query = |name: &str| {
        let pairs = head.uri.query().unwrap_or("").split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next()
    };
    let (name, target) = (query("call"), query("of"));
    Ok(Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        name,
        target,
        headers: head.headers,
        body,
    })
}
