//! Operators' calls over a network: `POST /v1/call` on HTTP/1.1, signed by a key that both sides have ([`crate::auth`]),
//! one call on each connection. What is said is not hidden, only kept from being forged, changed, cut off or repeated.
//!
//! | header of the call | |
//! | --- | --- |
//! | `Sloeline-Key` | the key's name |
//! | `Sloeline-Time` | milliseconds of Unix time |
//! | `Sloeline-Nonce` | 32 hex digits |
//! | `Sloeline-Signature` | 64 hex digits |
//!
//! The answer is 200 with lines, each of 64 hex digits (the line's signature), a space and an [`Answer`] in JSON; or 401 with
//! the reason, which is not signed, since there is no key to sign with.

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

use crate::auth::{Denied, Guard, Key, May, Nonce, Secret, Signed, hex, is_line, sign_line, unhex};
use crate::crowd::{Crowd, PAUSE};
use crate::socket::PATIENCE;
use crate::verbs::{Answer, Asked, Call, MOST_ANSWER, MOST_CALL, Replies, VERSION, Verb, read};

/// Connections at once.
const MOST: usize = 16;
/// Most of a head, in bytes.
const MOST_HEAD: usize = 16 * 1024;
/// Where calls go.
const PATH: &str = "/v1/call";

/// The present time, in milliseconds of Unix time.
fn unix() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A listener under way, until it is dropped.
pub struct Address {
    at: SocketAddr,
    guard: Rc<RefCell<Guard>>,
    task: AbortHandle,
}

impl Drop for Address {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Address {
    /// Listens for calls that are signed with one of these keys.
    pub fn open(
        listener: TcpListener,
        keys: BTreeMap<String, Key>,
        calls: mpsc::Sender<Asked>,
    ) -> io::Result<Address> {
        let at = listener.local_addr()?;
        let guard = Rc::new(RefCell::new(Guard::new(unix(), keys)));
        let task = spawn_local(serve(listener, guard.clone(), calls)).abort_handle();
        Ok(Address { at, guard, task })
    }

    /// Where it is.
    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Other keys from now on; what was heard stays heard.
    pub fn set_keys(&self, keys: BTreeMap<String, Key>) {
        self.guard.borrow_mut().set_keys(keys);
    }

    /// How many calls were denied, by why.
    pub fn denied(&self) -> Value {
        self.guard.borrow().denied().iter().map(|(why, n)| ((*why).to_owned(), Value::from(*n))).collect()
    }
}

async fn serve(listener: TcpListener, guard: Rc<RefCell<Guard>>, calls: mpsc::Sender<Asked>) {
    let crowd = Crowd::new(MOST);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let (guard, calls) = (guard.clone(), calls.clone());
        crowd.take(async move {
            let _: io::Result<()> = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let (guard, calls) = (guard.clone(), calls.clone());
                async move { Ok::<_, Infallible>(answer(request, &guard, calls).await) }
            });
            let mut builder = http1::Builder::new();
            builder.keep_alive(false).max_buf_size(MOST_HEAD).timer(TokioTimer::new());
            builder.header_read_timeout(PATIENCE);
            // Whoever called has left.
            let _: Result<(), hyper::Error> = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// Lines of an answer, signed as they go.
struct Lines {
    answers: mpsc::Receiver<Answer>,
    secret: Secret,
    nonce: Nonce,
    number: u64,
    ended: bool,
    /// For an answer that does not go on.
    late: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl Body for Lines {
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

type Told = http_body_util::Either<Lines, Full<Bytes>>;

fn plain(status: StatusCode, why: String) -> Response<Told> {
    let mut response = Response::new(http_body_util::Either::Right(Full::new(Bytes::from(why + "\n"))));
    *response.status_mut() = status;
    response
}

/// What a call's headers say: the key's name, the time, the nonce and the signature.
fn signed(headers: &HeaderMap) -> Option<(String, u64, Nonce, Vec<u8>)> {
    let text = |name: &str| {
        let mut all = headers.get_all(name).iter();
        // Two of them would be two calls.
        let one = all.next()?.to_str().ok()?;
        all.next().is_none().then_some(one)
    };
    let nonce = unhex(text("sloeline-nonce")?)?.try_into().ok()?;
    let time = text("sloeline-time")?;
    // Only as it is signed: no sign, no leading zero.
    let time = time.parse::<u64>().ok().filter(|n| n.to_string() == time)?;
    Some((text("sloeline-key")?.to_owned(), time, nonce, unhex(text("sloeline-signature")?)?))
}

async fn answer(
    request: Request<Incoming>,
    guard: &RefCell<Guard>,
    calls: mpsc::Sender<Asked>,
) -> Response<Told> {
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
    let Ok(Ok(body)) = timeout(PATIENCE, Limited::new(body, MOST_CALL as usize).collect()).await else {
        return plain(StatusCode::BAD_REQUEST, format!("found no body of at most {MOST_CALL} bytes"));
    };
    let body = body.to_bytes();
    let call = Signed { method: head.method.as_str(), path: PATH, body: &body, time, nonce };
    let heard = guard.borrow_mut().hear(unix(), &name, &call, &signature);
    let key = match heard {
        Ok(key) => key,
        Err(why @ Denied::Busy) => return plain(StatusCode::SERVICE_UNAVAILABLE, why.to_string()),
        Err(why) => return plain(StatusCode::UNAUTHORIZED, why.to_string()),
    };
    let (to, answers) = Replies::new();
    let mut lasts = false;
    match read(&body) {
        Ok((_, verb)) if verb.needs() > key.may => {
            to.end(Err(format!("found key {name:?}, which may only ask, expected one that may order")));
        }
        Ok((who, verb)) => {
            lasts = verb.lasts();
            let who = who.map_or_else(|| format!("key {name}"), |who| format!("{who} (key {name})"));
            let _ = timeout(PATIENCE, calls.send(Asked { verb, who, to })).await;
        }
        Err(why) => to.end(Err(why)),
    }
    let late = (!lasts).then(|| Box::pin(sleep(PATIENCE)));
    let lines = Lines { answers, secret: key.secret, nonce, number: 0, ended: false, late };
    Response::new(http_body_util::Either::Left(lines))
}

/// Who calls, over a network.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The daemon.
    pub address: SocketAddr,
    /// The key's name.
    pub key: String,
    /// The key.
    pub secret: Secret,
}

/// Asks a daemon; as [`crate::socket::ask`].
pub async fn ask(
    caller: &Caller,
    who: Option<String>,
    verb: Verb,
    patience: Duration,
    mut more: impl FnMut(Value),
) -> Result<Value, String> {
    let named = |why: String| format!("{}: {why}", caller.address);
    let in_time = || named("no answer in time".to_owned());
    let lasts = verb.lasts();
    let body = Call { version: VERSION, who, verb }.written()?;
    let mut nonce = Nonce::default();
    getrandom::fill(&mut nonce).map_err(|e| e.to_string())?;
    let call = Signed { method: "POST", path: PATH, body: &body, time: unix(), nonce };
    let request = Request::post(PATH)
        .header(HOST, caller.address.to_string())
        .header("sloeline-key", &caller.key)
        .header("sloeline-time", call.time.to_string())
        .header("sloeline-nonce", hex(&nonce))
        .header("sloeline-signature", hex(&call.sign(&caller.secret)));
    let request = request.body(Full::new(Bytes::from(body.clone()))).map_err(|e| e.to_string())?;
    let sent = async {
        let stream = TcpStream::connect(caller.address).await.map_err(|e| named(e.to_string()))?;
        let io = TokioIo::new(stream);
        let (mut sender, connection) =
            hyper::client::conn::http1::handshake(io).await.map_err(|e| named(e.to_string()))?;
        spawn_local(async move {
            let _: Result<(), hyper::Error> = connection.await;
        });
        sender.send_request(request).await.map_err(|e| named(e.to_string()))
    };
    let response = timeout(patience, sent).await.map_err(|_| in_time())??;
    let (status, mut body) = (response.status(), response.into_body());
    let (mut text, mut number) = (Vec::<u8>::new(), 0);
    loop {
        while let Some(end) = text.iter().position(|b| *b == b'\n').filter(|_| status == StatusCode::OK) {
            let line: Vec<u8> = text.drain(..=end).collect();
            let answer = line.get(65..end).filter(|_| line.get(64) == Some(&b' '));
            let signature = std::str::from_utf8(&line[..end.min(64)]).ok().and_then(unhex);
            let good = answer
                .zip(signature)
                .filter(|(answer, signature)| is_line(&caller.secret, nonce, number, answer, signature));
            let (answer, _) =
                good.ok_or_else(|| named("found an answer that the daemon has not signed".to_owned()))?;
            number += 1;
            match serde_json::from_slice(answer).map_err(|e| named(format!("found no answer: {e}")))? {
                Answer::More(value) => more(value),
                Answer::Done(value) => return Ok(value),
                Answer::Refused(why) => return Err(why),
            }
        }
        if text.len() as u64 > MOST_ANSWER {
            return Err(named(format!("found more than {MOST_ANSWER} bytes")));
        }
        let frame = body.frame();
        let frame =
            if lasts { frame.await } else { timeout(patience, frame).await.map_err(|_| in_time())? };
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

/// Whether a key may do more than ask, in words.
pub fn may(word: &str) -> Option<May> {
    match word {
        "ask" => Some(May::Ask),
        "order" => Some(May::Order),
        _ => None,
    }
}
