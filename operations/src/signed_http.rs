//! Operators' calls over a network: `POST /v1/call` with HTTP/1.1, signed with a shared key ([`crate::signed_call`]). Each
//! connection carries one call. Calls and answers are not encrypted, but cannot be forged, changed, truncated or replayed.
//!
//! | header of the call | |
//! | --- | --- |
//! | `Sloeline-Key` | the key's name |
//! | `Sloeline-Time` | milliseconds of Unix time |
//! | `Sloeline-Nonce` | 32 hex digits |
//! | `Sloeline-Signature` | 64 hex digits |
//!
//! The answer is 200 with lines, each of 64 hex digits (the signature of the line), a space and an [`Answer`] in JSON; or 401
//! with the reason, which is not signed because there is no key to sign it with.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::{Buf, Bytes};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HOST, HeaderMap};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::command::{
    Answer, Call, Command, MAX_ANSWER_BYTES, MAX_CALL_BYTES, PendingCall, ReplySender, VERSION, read,
};
use crate::connection_set::{ACCEPT_RETRY_DELAY, ConnectionSet};
use crate::signed_call::{
    Authenticator, Denied, Key, Nonce, Permission, Secret, SignedCall, hex, sign_line, unhex, verify_line,
};
use crate::socket::CALL_TIMEOUT;

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 16;
/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The path of calls.
const PATH: &str = "/v1/call";

/// The present time, in milliseconds of Unix time.
fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A listener for signed calls. It is closed when dropped.
pub struct SignedListener {
    at: SocketAddr,
    authenticator: Rc<RefCell<Authenticator>>,
    task: AbortHandle,
}

impl Drop for SignedListener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl SignedListener {
    /// Starts to accept calls that are signed with one of these keys.
    pub fn open(
        listener: TcpListener,
        keys: BTreeMap<String, Key>,
        calls: mpsc::Sender<PendingCall>,
    ) -> io::Result<SignedListener> {
        let at = listener.local_addr()?;
        let authenticator = Rc::new(RefCell::new(Authenticator::new(unix(), keys)));
        let task = spawn_local(serve(listener, authenticator.clone(), calls)).abort_handle();
        Ok(SignedListener { at, authenticator, task })
    }

    /// The address of the listener.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Replaces the keys. Accepted calls remain known.
    pub fn set_keys(&self, keys: BTreeMap<String, Key>) {
        self.authenticator.borrow_mut().set_keys(keys);
    }

    /// Number of rejected calls by reason.
    pub fn denied(&self) -> Value {
        self.authenticator
            .borrow()
            .denied()
            .iter()
            .map(|(why, n)| ((*why).to_owned(), Value::from(*n)))
            .collect()
    }
}

async fn serve(
    listener: TcpListener,
    authenticator: Rc<RefCell<Authenticator>>,
    calls: mpsc::Sender<PendingCall>,
) {
    let connections = ConnectionSet::new(MAX_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (authenticator, calls) = (authenticator.clone(), calls.clone());
        connections.spawn(async move {
            let _: io::Result<()> = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let (authenticator, calls) = (authenticator.clone(), calls.clone());
                async move { Ok::<_, Infallible>(answer(request, &authenticator, calls).await) }
            });
            let mut builder = http1::Builder::new();
            builder.keep_alive(false).max_buf_size(MAX_HEAD_BYTES).timer(TokioTimer::new());
            builder.header_read_timeout(CALL_TIMEOUT);
            // An error means that the caller has disconnected.
            let _: Result<(), hyper::Error> = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// The body of an answer, whose lines are signed as they are sent.
struct SignedLines {
    answers: mpsc::Receiver<Answer>,
    secret: Secret,
    nonce: Nonce,
    number: u64,
    ended: bool,
    /// Time limit of an answer that is not streamed.
    late: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Body for SignedLines {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let late = self.late.as_mut().is_some_and(|late| late.as_mut().poll(cx).is_ready());
        let answer = match self.answers.poll_recv(cx) {
            Poll::Ready(answer) => answer.unwrap_or_else(|| Answer::Refused("it is stopping".to_owned())),
            Poll::Pending if late => {
                Answer::Refused("no answer in time; it may be done all the same".to_owned())
            }
            Poll::Pending => return Poll::Pending,
        };
        self.ended = !matches!(answer, Answer::More(_));
        let line = answer.written();
        let signature = hex(&sign_line(&self.secret, self.nonce, self.number, &line));
        self.number += 1;
        let text = [signature.as_bytes(), b" ", &line, b"\n"].concat();
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(text)))))
    }
}

type ResponseBody = http_body_util::Either<SignedLines, Full<Bytes>>;

fn plain(status: StatusCode, why: String) -> Response<ResponseBody> {
    let mut response = Response::new(http_body_util::Either::Right(Full::new(Bytes::from(why + "\n"))));
    *response.status_mut() = status;
    response
}

/// Parses the headers of a call: the key's name, the time, the nonce and the signature.
fn signed(headers: &HeaderMap) -> Option<(String, u64, Nonce, Vec<u8>)> {
    let text = |name: &str| {
        let mut all = headers.get_all(name).iter();
        // A repeated header is ambiguous.
        let one = all.next()?.to_str().ok()?;
        all.next().is_none().then_some(one)
    };
    let nonce = unhex(text("sloeline-nonce")?)?.try_into().ok()?;
    let time = text("sloeline-time")?;
    // Only the form that is signed is valid: without sign and leading zeros.
    let time = time.parse::<u64>().ok().filter(|n| n.to_string() == time)?;
    Some((text("sloeline-key")?.to_owned(), time, nonce, unhex(text("sloeline-signature")?)?))
}

async fn answer(
    request: Request<Incoming>,
    authenticator: &RefCell<Authenticator>,
    calls: mpsc::Sender<PendingCall>,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    if head.uri.path() != PATH || head.uri.query().is_some() {
        return plain(StatusCode::NOT_FOUND, format!("expected {PATH}"));
    }
    if head.method != hyper::Method::POST {
        return plain(StatusCode::METHOD_NOT_ALLOWED, format!("found {}, expected POST", head.method));
    }
    let Some((name, time, nonce, signature)) = signed(&head.headers) else {
        return plain(StatusCode::UNAUTHORIZED, Denied::Signature.to_string());
    };
    let Ok(Ok(body)) = timeout(CALL_TIMEOUT, Limited::new(body, MAX_CALL_BYTES as usize).collect()).await
    else {
        return plain(StatusCode::BAD_REQUEST, format!("found no body of at most {MAX_CALL_BYTES} bytes"));
    };
    let body = body.to_bytes();
    let call = SignedCall { method: head.method.as_str(), path: PATH, body: &body, time, nonce };
    let key = authenticator.borrow_mut().authenticate(unix(), &name, &call, &signature);
    let key = match key {
        Ok(key) => key,
        Err(why @ Denied::TooManyCalls) => return plain(StatusCode::SERVICE_UNAVAILABLE, why.to_string()),
        Err(why) => return plain(StatusCode::UNAUTHORIZED, why.to_string()),
    };
    let (to, answers) = ReplySender::new();
    let mut streaming = false;
    match read(&body) {
        Ok((_, verb)) if verb.required_permission() > key.permission => {
            to.end(Err(format!("found key {name:?}, which may only ask, expected one that may order")));
        }
        Ok((who, verb)) => {
            streaming = verb.is_streaming();
            let who = who.map_or_else(|| format!("key {name}"), |who| format!("{who} (key {name})"));
            let _ = timeout(CALL_TIMEOUT, calls.send(PendingCall { verb, who, to })).await;
        }
        Err(why) => to.end(Err(why)),
    }
    let late = (!streaming).then(|| Box::pin(sleep(CALL_TIMEOUT)));
    let lines = SignedLines { answers, secret: key.secret, nonce, number: 0, ended: false, late };
    Response::new(http_body_util::Either::Left(lines))
}

/// The credentials and the destination of a caller.
#[derive(Clone, Debug)]
pub struct SignedClient {
    /// Address of the daemon.
    pub address: SocketAddr,
    /// Name of the key.
    pub key: String,
    /// Secret of the key.
    pub secret: Secret,
}

/// Sends a command to a daemon; otherwise like [`crate::socket::ask`].
pub async fn ask(
    client: &SignedClient,
    who: Option<String>,
    verb: Command,
    time_limit: Duration,
    mut more: impl FnMut(Value),
) -> Result<Value, String> {
    let named = |why: String| format!("{}: {why}", client.address);
    let in_time = || named("no answer in time".to_owned());
    let streaming = verb.is_streaming();
    let body = Call { version: VERSION, who, verb }.written()?;
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).map_err(|e| e.to_string())?;
    let call = SignedCall { method: "POST", path: PATH, body: &body, time: unix(), nonce };
    let request = Request::post(PATH)
        .header(HOST, client.address.to_string())
        .header("sloeline-key", &client.key)
        .header("sloeline-time", call.time.to_string())
        .header("sloeline-nonce", hex(&nonce))
        .header("sloeline-signature", hex(&call.sign(&client.secret)));
    let request = request.body(Full::new(Bytes::from(body.clone()))).map_err(|e| e.to_string())?;
    let sent = async {
        let stream = TcpStream::connect(client.address).await.map_err(|e| named(e.to_string()))?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(|e| named(e.to_string()))?;
        spawn_local(async move {
            let _: Result<(), hyper::Error> = connection.await;
        });
        sender.send_request(request).await.map_err(|e| named(e.to_string()))
    };
    let response = timeout(time_limit, sent).await.map_err(|_| in_time())??;
    let (status, mut body) = (response.status(), response.into_body());
    let (mut text, mut number) = (Vec::<u8>::new(), 0);
    loop {
        while let Some(end) = text.iter().position(|b| *b == b'\n').filter(|_| status == StatusCode::OK) {
            let line: Vec<u8> = text.drain(..=end).collect();
            let answer = line.get(65..end).filter(|_| line.get(64) == Some(&b' '));
            let signature = std::str::from_utf8(&line[..end.min(64)]).ok().and_then(unhex);
            let good = answer
                .zip(signature)
                .filter(|(answer, signature)| verify_line(&client.secret, nonce, number, answer, signature));
            let (answer, _) =
                good.ok_or_else(|| named("found an answer that the daemon has not signed".to_owned()))?;
            number += 1;
            match serde_json::from_slice(answer).map_err(|e| named(format!("found no answer: {e}")))? {
                Answer::More(value) => more(value),
                Answer::Done(value) => return Ok(value),
                Answer::Refused(why) => return Err(why),
            }
        }
        if text.len() as u64 > MAX_ANSWER_BYTES {
            return Err(named(format!("found more than {MAX_ANSWER_BYTES} bytes")));
        }
        let frame = body.frame();
        let frame =
            if streaming { frame.await } else { timeout(time_limit, frame).await.map_err(|_| in_time())? };
        match frame {
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    text.extend_from_slice(data.chunk());
                }
            }
            Some(Err(e)) => return Err(named(e.to_string())),
            None if status != StatusCode::OK => {
                return Err(named(String::from_utf8_lossy(&text).trim_end().to_owned()));
            }
            None => return Err(named("found an answer without its end".to_owned())),
        }
    }
}

/// Parses the permission of a key in the configuration.
pub fn permission(word: &str) -> Option<Permission> {
    match word {
        "ask" => Some(Permission::Read),
        "order" => Some(Permission::Order),
        _ => None,
    }
}
