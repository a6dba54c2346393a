//! An HTTP/1.1 server for calls of operators and upstreams: small requests whose body is read completely before they are
//! handled.

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

/// Maximum time for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a connection could not be accepted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A received call with its complete body.
#[derive(Debug)]
pub struct Call {
    /// HTTP method of the request.
    pub method: Method,
    /// Path of the request, without the query.
    pub path: String,
    /// Name of the called operation: the query parameter `call`.
    pub name: Option<String>,
    /// Identifier of the object that the call is about: the query parameter `of`.
    pub target: Option<String>,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// Complete body of the request.
    pub body: Bytes,
}

/// The response to a call.
pub type ControlResponse = Response<Full<Bytes>>;

/// Builds a response with a status and a plain text.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> ControlResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Builds a response with a status and a JSON body.
pub fn json_response(status: StatusCode, body: impl Into<Bytes>) -> ControlResponse {
    let mut response = text_response(status, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Builds an error response, whose JSON body has the message under `error`.
pub fn error_response(status: StatusCode, message: &str) -> ControlResponse {
    json_response(status, serde_json::json!({ "error": message }).to_string())
}

/// Accepts connections forever and passes each call and the address of its peer to `handler`. A body of more than
/// `max_body_bytes` bytes is refused.
pub async fn serve<A, F>(listener: TcpListener, max_body_bytes: usize, handler: A)
where
    A: Fn(Call, SocketAddr) -> F + 'static,
    F: Future<Output = ControlResponse> + 'static,
{
    let handler = Rc::new(handler);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                spawn_local(serve_connection(stream, peer, max_body_bytes, handler.clone()));
            }
            Err(_) => sleep(ACCEPT_ERROR_PAUSE).await,
        }
    }
}

/// Serves the calls of one connection, until it is closed or a request head times out.
async fn serve_connection<A, F>(stream: TcpStream, peer: SocketAddr, max_body_bytes: usize, handler: Rc<A>)
where
    A: Fn(Call, SocketAddr) -> F + 'static,
    F: Future<Output = ControlResponse> + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: Request<Incoming>| {
        let handler = handler.clone();
        async move {
            Ok::<_, Infallible>(match read_call(request, max_body_bytes).await {
                Ok(call) => handler(call, peer).await,
                Err(response) => response,
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(64 * 1024);
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}

/// Reads a request completely. The error is the response to send instead of calling the handler.
async fn read_call(request: Request<Incoming>, max_body_bytes: usize) -> Result<Call, ControlResponse> {
    let (head, body) = request.into_parts();
    let body = match timeout(BODY_TIMEOUT, Limited::new(body, max_body_bytes).collect()).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(_)) => {
            let message = format!("the body broke off or is longer than {max_body_bytes} bytes");
            return Err(error_response(StatusCode::PAYLOAD_TOO_LARGE, &message));
        }
        Err(_) => return Err(error_response(StatusCode::REQUEST_TIMEOUT, "the body took too long")),
    };
    let query = |name: &str| {
        let pairs = head.uri.query().unwrap_or("").split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
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
