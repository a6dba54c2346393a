//! Requests for this machine's upstream: what the gate lets through is forwarded as it is, its answer passed back. An
//! answer with `X-Not-Run` is a promise that the near balancer may go by.

use std::cell::RefCell;
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri, body::Body, body::Incoming};
use hyper_util::rt::TokioIo;
use log::debug;
use sloeline_discovery::Condition;
use sloeline_discovery::rendezvous::top_candidates;
use sloeline_engine::types::Target;
use sloeline_http::front::{Answered, end_to_end, number, plain};
use sloeline_http::payload::Payload;
use sloeline_http::upload::Sent;
use sloeline_http::upstream::{Call, Relayed, Reply, Upstreams};
use sloeline_idempotency::{ClaimOutcome, Ledger, RunState, StoredResponse};
use sloeline_rpc::RpcResponse;
use sloeline_rpc::exchange::Exchange;
use sloeline_settings::setup::ring_hash;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::admission::{AdmissionQueue, Arrival, Micros, State, Verdict};
use crate::answer_lengths::AnswerLengths;
use crate::answers::{again, not_run, passed, whole};
use crate::beats::Beats;
use crate::header_names;
use crate::keys::Keys;
use crate::link_shaper::{Expected, LinkShaper};
use crate::metrics;
use crate::shaped_body::ShapedBody;

/// Longest time that a request is taken for, whatever it says: a day.
const LONGEST: Micros = 86_400_000_000;
/// Most bytes of a request's body.
const MOST_BODY: usize = 64 << 20;
/// Other balancers that are asked for an answer that its holder has forgotten; the first of them is given each.
const KEEPERS: usize = 2;
/// Less time than this is no use.
const LEAST: Micros = 2_000;
/// An answer's way back.
const WAY_BACK: Micros = 3_000;
const PAUSE: Duration = Duration::from_millis(20);

/// The way in.
pub struct Receiver {
    gate: RefCell<AdmissionQueue>,
    beats: RefCell<Beats>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    upstreams: Upstreams,
    keys: Rc<Keys>,
    ledger: RefCell<Ledger>,
    exchange: Rc<Exchange>,
    /// How long after its word that it closes the upstream is still sent what waits.
    drain: Micros,
    /// The link on which answers leave.
    link: Rc<LinkShaper>,
    lengths: RefCell<AnswerLengths>,
    start: Instant,
    changed: Notify,
}

/// A place with the upstream; dropped, it is free again.
struct Place {
    receiver: Rc<Receiver>,
    kind: u64,
    since: Micros,
    told: bool,
    /// What its answer will have for the link.
    expected: Option<Expected>,
}

impl Place {
    /// The upstream has answered: how long that took tells something.
    fn done(&mut self) {
        self.told = true;
        self.expected = None;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let now = self.receiver.now();
        let held = now.saturating_sub(self.since);
        metrics::GATE_HELD.add(held);
        let took = self.told.then_some(held);
        let go = self.receiver.gate.borrow_mut().complete(now, self.kind, took);
        self.receiver.wake(go, true);
        self.receiver.changed.notify_one();
    }
}

/// Whoever waits; dropped, it waits no more.
struct Waits<'a> {
    receiver: &'a Receiver,
    number: u64,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if self.receiver.waiting.borrow_mut().remove(&self.number).is_some() {
            self.receiver.gate.borrow_mut().forget(self.number);
        }
    }
}

/// What requests are told apart by in the gate: route and class, as the sender has them.
fn kind(headers: &HeaderMap) -> u64 {
    headers.get(header_names::KIND).map_or(0, |v| ring_hash(v.to_str().unwrap_or_default()))
}

/// A request as it goes on.
struct Going {
    call: Call,
    id: Option<HeaderValue>,
    target: Target,
    came: Micros,
    until: Micros,
    arrival: Arrival,
    upstream: String,
}

impl Receiver {
    /// No upstream has told of itself yet.
    pub fn new(
        upstreams: Upstreams,
        keys: Rc<Keys>,
        ledger: Ledger,
        exchange: Rc<Exchange>,
        drain: Micros,
        link: Rc<LinkShaper>,
    ) -> Rc<Receiver> {
        Rc::new(Receiver {
            gate: RefCell::default(),
            beats: RefCell::default(),
            waiting: RefCell::default(),
            upstreams,
            keys,
            ledger: RefCell::new(ledger),
            exchange,
            drain: drain / 2,
            link,
            lengths: RefCell::default(),
            start: Instant::now(),
            changed: Notify::new(),
        })
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Has a look at, or a word with, what the upstream tells of itself; what is new is told to all.
    pub fn beats<T>(&self, word: impl FnOnce(&mut Beats) -> T) -> T {
        let done = word(&mut self.beats.borrow_mut());
        let upstream = self.beats.borrow().upstream().cloned();
        let state = match upstream.as_ref().map(|u| u.condition) {
            Some(Condition::Accepting) => State::Open,
            Some(Condition::Closing) => State::Closing,
            Some(Condition::Down) | None => State::Absent,
        };
        let slots = upstream.as_ref().map_or(1, |u| u.slots as usize);
        {
            let mut gate = self.gate.borrow_mut();
            if state == State::Closing && gate.state() == State::Open {
                gate.close_by(self.now() + self.drain);
            }
            gate.set_upstream(state, slots);
        }
        self.changed.notify_one();
        self.exchange.update_local_record(|own| own.upstream = upstream);
        done
    }

    /// Nothing is with the upstream, and nothing waits for it or for the link.
    pub fn is_idle(&self) -> bool {
        self.gate.borrow().is_idle() && self.link.is_idle()
    }

    fn wake(&self, numbers: Vec<u64>, go: bool) {
        for number in numbers {
            let waits = self.waiting.borrow_mut().remove(&number);
            // Whoever left in the same moment gives its place back.
            if waits.is_some_and(|w| w.send(go).is_err()) && go {
                let go = self.gate.borrow_mut().complete(self.now(), 0, None);
                self.wake(go, true);
            }
        }
    }

    /// Turns away those that wait too long; never returns.
    pub async fn tend(self: Rc<Self>) {
        loop {
            let now = self.now();
            let (late, go, due) = {
                let mut gate = self.gate.borrow_mut();
                (gate.expire(now), gate.fill(now), gate.due())
            };
            self.wake(late, false);
            self.wake(go, true);
            match due {
                Some(due) => tokio::select! {
                    () = sleep_until(self.start + Duration::from_micros(due.max(now + 1000))) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
        }
    }

    /// Takes connections of other balancers for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().connection(stream));
                }
                Err(_) => sleep(PAUSE).await,
            }
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let receiver = self.clone();
            async move { Ok::<_, Infallible>(receiver.respond_numbered(request).await) }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(64 << 10);
        let _ = builder.serve_connection(TokioIo::new(stream), service).await;
    }

    /// Each answer says which attempt it belongs to.
    async fn respond_numbered(self: Rc<Self>, request: Request<Incoming>) -> Response<ShapedBody> {
        let attempt = request.headers().get(header_names::ATTEMPT).cloned();
        let link = self.link.clone();
        let mut answer = self.respond(request).await;
        // An upstream's own header of this name says nothing here.
        answer.headers_mut().remove(header_names::ATTEMPT);
        if let Some(attempt) = attempt {
            answer.headers_mut().insert(header_names::ATTEMPT, attempt);
        }
        answer.map(|body| ShapedBody::new(body, link))
    }

    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> Answered {
        let came = self.now();
        let (head, body) = request.into_parts();
        let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let left =
            text(&header_names::TIME_LEFT).and_then(number).map_or(LONGEST, |ms| ms.saturating_mul(1000));
        let until = came + left.min(LONGEST);
        let time_to_target =
            text(&header_names::AIM).and_then(number).map_or(left, |ms| ms.saturating_mul(1000));
        let limit =
            text(&header_names::LIMIT).and_then(number).map_or(left, |ms| ms.saturating_mul(1000).min(left));
        let max_wait = text(&header_names::HOLD).and_then(number).map_or(limit, |ms| ms.saturating_mul(1000));
        let priority =
            text(&header_names::RANK).and_then(|priority| priority.parse().ok()).unwrap_or(u8::MAX);
        let kind = kind(&head.headers);
        let arrival = Arrival {
            kind,
            priority,
            time_to_target,
            time_left: limit.min(LONGEST),
            max_wait,
            link_wait: 0,
            link_time: 0,
        };
        let (id, address) = {
            let beats = self.beats.borrow();
            match (beats.upstream(), beats.address()) {
                (Some(upstream), Some(address)) => (upstream.id.clone(), address),
                _ => return not_run(StatusCode::SERVICE_UNAVAILABLE, "no upstream here", None),
            }
        };
        if text(&header_names::ADDRESSEE).is_some_and(|to| to != id) {
            return not_run(StatusCode::MISDIRECTED_REQUEST, "another upstream is here", None);
        }
        let Ok(body) = Limited::new(body, MOST_BODY).collect().await else {
            return not_run(StatusCode::BAD_REQUEST, "the body broke off or is too large", None);
        };
        let key =
            head.headers.get(header_names::KEYED).and_then(|_| head.headers.get(header_names::OPERATION_KEY));
        let key = key.map(|k| Bytes::copy_from_slice(k.as_bytes()));
        let mut headers = end_to_end(&head.headers);
        for own in [
            header_names::KEYED,
            header_names::KIND,
            header_names::RANK,
            header_names::ONCE,
            header_names::AIM,
            header_names::LIMIT,
            header_names::HOLD,
            header_names::ATTEMPT,
        ] {
            headers.remove(own);
        }
        if let Ok(id) = HeaderValue::from_str(&id) {
            headers.insert(header_names::ADDRESSEE, id);
        }
        debug_assert!(headers.contains_key(HOST));
        let uri: Uri = head.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
        let (method, body): (Method, _) = (head.method.clone(), Sent::Whole(body.to_bytes()));
        let call = Call { method, uri, headers, body };
        let target = Target { server: 0, address };
        let try_id = head.headers.get(header_names::TRY_ID).cloned();
        let once = head.headers.contains_key(header_names::ONCE);
        let going = Going { call, id: try_id, target, came, until, arrival, upstream: id };
        match key {
            None if once => self.forward_once(going).await,
            None => self.forward(going).await,
            // Once it is under way it goes on, whoever still waits for it.
            Some(key) => {
                let (sender, answer) = oneshot::channel();
                spawn_local(async move {
                    let answer = self.keyed(going, key).await;
                    let _ = sender.send(answer);
                });
                answer.await.unwrap_or_else(|_| plain(StatusCode::BAD_GATEWAY, "the run broke off"))
            }
        }
    }

    /// How long the answer to such a request will wait for the link and then take there.
    fn outlook(&self, kind: u64) -> (Micros, Micros) {
        let length = self.lengths.borrow().long(kind);
        length.map_or((0, 0), |length| self.link.outlook(length))
    }

    /// A place with the upstream, or the answer where there is none.
    async fn place(self: &Rc<Self>, arrival: Arrival, came: Micros) -> Result<Place, Answered> {
        let now = self.now();
        let age = now.saturating_sub(came);
        let [time_to_target, time_left, max_wait] =
            [arrival.time_to_target, arrival.time_left, arrival.max_wait].map(|t| t.saturating_sub(age));
        if time_left < LEAST {
            return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "too little time left", None));
        }
        let kind = arrival.kind;
        let (link_wait, link_time) = self.outlook(kind);
        let arrival = Arrival { link_wait, link_time, ..arrival };
        let verdict =
            self.gate.borrow_mut().arrive(now, Arrival { time_to_target, time_left, max_wait, ..arrival });
        let expected = self.lengths.borrow().long(kind).map(|length| self.link.expect(length));
        let place = || {
            let since = self.now();
            metrics::GATE_ADMITTED.increment();
            metrics::GATE_WAIT.add(since.saturating_sub(now));
            Place { receiver: self.clone(), kind, since, told: false, expected }
        };
        match verdict {
            Verdict::Go => Ok(place()),
            Verdict::Full(wait) => {
                metrics::GATE_REFUSED.increment();
                Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "no room", Some(wait)))
            }
            Verdict::Closed => Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "the upstream leaves", None)),
            Verdict::Wait(number) => {
                let (sender, go) = oneshot::channel();
                self.waiting.borrow_mut().insert(number, sender);
                self.changed.notify_one();
                let waits = Waits { receiver: self, number };
                let go = go.await;
                drop(waits);
                match go {
                    Ok(true) => Ok(place()),
                    _ => {
                        metrics::GATE_EXPIRED.increment();
                        metrics::GATE_EXPIRED_WAIT.add(self.now().saturating_sub(now));
                        Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "no room in time", None))
                    }
                }
            }
        }
    }

    /// Sends a request to the upstream; its answer, or how it went where there is none.
    async fn run(self: &Rc<Self>, going: &Going, mut place: Place) -> Ran {
        let left = going.until.saturating_sub(self.now()).saturating_sub(WAY_BACK);
        if left < LEAST {
            return Ran::Not(not_run(StatusCode::SERVICE_UNAVAILABLE, "too little time left", None));
        }
        let id = going.id.clone();
        let right = move |status: StatusCode, headers: &HeaderMap| {
            // An answer that came in the place of this one's belongs to another request.
            let whose = headers.get(header_names::TRY_ID) == id.as_ref();
            whose && (!status.is_success() || headers.contains_key(header_names::POSTMARK))
        };
        match self.upstreams.relay(going.target, &going.call, left, right).await {
            Relayed::NotSent => {
                // The upstream is gone, or takes no more connections: its next beat tells.
                if self.beats(|b| b.unreachable(&going.upstream)) {
                    debug!(target: "upstream", "{} can't be reached.", going.upstream);
                }
                Ran::Not(not_run(StatusCode::SERVICE_UNAVAILABLE, "the upstream can't be reached", None))
            }
            Relayed::Broken(why) => {
                debug!(target: "upstream", "{} broke off: {why:?}.", going.upstream);
                Ran::Unknown(plain(StatusCode::BAD_GATEWAY, "the upstream broke off"))
            }
            Relayed::Answered(reply) if reply.status == StatusCode::MISDIRECTED_REQUEST => {
                drop(reply);
                Ran::Not(not_run(StatusCode::MISDIRECTED_REQUEST, "another upstream is here", None))
            }
            Relayed::Answered(reply) if reply.headers.contains_key(header_names::NOT_RUN) => {
                Ran::Not(not_run(StatusCode::SERVICE_UNAVAILABLE, "the upstream is full", None))
            }
            Relayed::Answered(mut reply) => {
                place.done();
                if let (true, Some(length)) = (reply.status.is_success(), reply.body.size_hint().exact()) {
                    self.lengths.borrow_mut().learn(going.arrival.kind, length);
                }
                if let Payload::Passing(passing) = &mut reply.body {
                    let (receiver, begun) = (self.clone(), self.now());
                    passing.at_end(move |_| {
                        metrics::GATE_HELD_PASSING.add(receiver.now().saturating_sub(begun));
                        drop(place);
                    });
                }
                Ran::Answered(reply)
            }
        }
    }

    /// Forwards what must not run again: once it is with its upstream it is not broken off, whoever still waits for it.
    async fn forward_once(self: Rc<Self>, going: Going) -> Answered {
        let place = match self.place(going.arrival, going.came).await {
            Ok(place) => place,
            Err(answer) => return answer,
        };
        let (sender, answer) = oneshot::channel();
        spawn_local(async move {
            let answer = match self.run(&going, place).await {
                Ran::Not(answer) | Ran::Unknown(answer) => answer,
                Ran::Answered(reply) => passed(reply),
            };
            let _ = sender.send(answer);
        });
        answer.await.unwrap_or_else(|_| plain(StatusCode::BAD_GATEWAY, "the run broke off"))
    }

    async fn forward(self: Rc<Self>, going: Going) -> Answered {
        let place = match self.place(going.arrival, going.came).await {
            Ok(place) => place,
            Err(answer) => return answer,
        };
        match self.run(&going, place).await {
            Ran::Not(answer) | Ran::Unknown(answer) => answer,
            Ran::Answered(reply) => passed(reply),
        }
    }

    /// What this machine knows of a run that another request has begun.
    fn recalled(&self, key: &Bytes, run: u64) -> Option<RpcResponse> {
        match self.ledger.borrow().get(key) {
            Some((known, entry)) if *known == run => Some(match entry {
                RunState::Running => RpcResponse::RunInProgress,
                RunState::Finished(answer) => RpcResponse::RunFinished(answer.clone()),
            }),
            _ => None,
        }
    }

    /// Answers another balancer that asks for it.
    pub fn recall(&self, key: &Bytes, run: u64) -> RpcResponse {
        self.recalled(key, run)
            .unwrap_or_else(|| RpcResponse::Unavailable("this run is not known here".to_owned()))
    }

    /// The balancers that keep answers for a holder in case it forgets them: of its own zone, the nearest by rendezvous.
    fn keepers(&self, holder: &str) -> Vec<SocketAddr> {
        let records = self.exchange.view().records();
        let Some(zone) = records.get(holder).map(|r| r.zone.as_str()) else { return Vec::new() };
        let near = records.values().filter(|r| !r.is_core && r.zone == zone).map(|r| r.source.as_str());
        let picked = top_candidates(holder, near, KEEPERS);
        picked.iter().filter_map(|name| records.get(*name)).map(|r| r.mesh_address).collect()
    }

    /// Keeps an answer for another holder.
    pub fn keep(&self, key: &Bytes, run: u64, answer: StoredResponse) {
        self.ledger.borrow_mut().store_replica(self.now() / 1000, key, run, answer);
    }

    /// The answer to a repeat.
    async fn repeat(&self, key: &Bytes, run: u64, holder: &str, id: Option<HeaderValue>) -> Answered {
        let me = self.exchange.local_record();
        let mut told = self.recalled(key, run);
        let mut ask = Vec::new();
        if me.source != holder {
            ask.extend(self.exchange.view().records().get(holder).map(|r| r.mesh_address));
        }
        ask.extend(self.keepers(holder));
        for mesh in ask.into_iter().filter(|mesh| *mesh != me.mesh_address) {
            if matches!(told, Some(RpcResponse::RunInProgress | RpcResponse::RunFinished(Some(_)))) {
                break;
            }
            told = self.keys.recall(mesh, key, run).await.ok();
        }
        match told {
            Some(RpcResponse::RunInProgress) => plain(StatusCode::CONFLICT, "this key is at work"),
            Some(RpcResponse::RunFinished(Some(answer))) => again(answer, id),
            _ => {
                debug!(target: "repeat", "The answer to a run of {holder} is lost.");
                plain(StatusCode::BAD_GATEWAY, "it ran or may have run, and its answer is lost")
            }
        }
    }

    async fn keyed(self: Rc<Self>, going: Going, key: Bytes) -> Answered {
        let known = self.ledger.borrow().get(&key).map(|(run, _)| *run);
        if let Some(run) = known {
            let own = self.exchange.local_record().source;
            return self.repeat(&key, run, &own, going.id).await;
        }
        let run = fastrand::u64(1..);
        self.ledger.borrow_mut().start(self.now() / 1000, &key, run);
        let left = Duration::from_micros(going.until.saturating_sub(self.now()));
        match self.keys.claim(&key, run, left / 2).await {
            Ok(ClaimOutcome::Granted) => {}
            Ok(ClaimOutcome::Held { run: first, holder }) => {
                self.ledger.borrow_mut().remove_run(&key, run);
                return self.repeat(&key, first, &holder, going.id).await;
            }
            Err(why) => {
                debug!(target: "keys", "Not claimed: {why:#}.");
                self.ledger.borrow_mut().remove_run(&key, run);
                return not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the key could not be claimed",
                    Some(250_000),
                );
            }
        }
        let ran = match self.place(going.arrival, going.came).await {
            Ok(place) => self.run(&going, place).await,
            Err(answer) => Ran::Not(answer),
        };
        match ran {
            Ran::Not(answer) => {
                self.keys.release(&key, run).await;
                self.ledger.borrow_mut().remove_run(&key, run);
                answer
            }
            Ran::Unknown(answer) => {
                self.ledger.borrow_mut().finish(&key, run, None);
                answer
            }
            Ran::Answered(reply) => {
                let (answer, kept) = match whole(reply).await {
                    Ok(whole) => whole,
                    Err(answer) => (answer, None),
                };
                let me = self.exchange.local_record().source;
                if let (Some(answer), Some(keeper)) = (&kept, self.keepers(&me).first()) {
                    self.keys.keep(*keeper, key.clone(), run, answer.clone());
                }
                self.ledger.borrow_mut().finish(&key, run, kept);
                answer
            }
        }
    }
}

/// How a run went.
enum Ran {
    /// It never ran.
    Not(Answered),
    /// It may have run.
    Unknown(Answered),
    /// It ran.
    Answered(Reply),
}
