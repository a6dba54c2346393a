//! Requests from other balancers for this machine's upstream. Admitted requests are forwarded to it, and its responses are
//! passed back. A response with the header `X-Not-Run` guarantees that the request never ran and never will, so that
//! the sending balancer may retry it elsewhere.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Uri, body::Body, body::Incoming};
use hyper_util::rt::TokioIo;
use log::debug;
use sloeline_discovery::rendezvous::top_candidates;
use sloeline_discovery::{Condition, Upstream};
use sloeline_engine::types::Target;
use sloeline_http::frontend::{ClientResponse, end_to_end_headers, parse_digits, text_response};
use sloeline_http::payload::Payload;
use sloeline_http::received_body::{BodyLimits, ReceivedBody, read_body};
use sloeline_http::upload::RequestBody;
use sloeline_http::upstream::{Call, RelayOutcome, Reply, Upstreams};
use sloeline_idempotency::{ClaimOutcome, Ledger, RunState, StoredResponse};
use sloeline_limits::{Permit as MemoryPermit, Share};
use sloeline_rpc::RpcResponse;
use sloeline_rpc::exchange::Exchange;
use sloeline_settings::setup::ring_hash;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::admission::{Arrival, Micros, State};
use crate::header_names;
use crate::heartbeats::UpstreamTracker;
use crate::keys::KeyClient;
use crate::link_shaper::{ExpectedResponse, LinkShaper};
use crate::metrics;
use crate::response_lengths::ResponseLengths;
use crate::responses::{collect, forwarded, not_run, replay};
use crate::shaped_body::ShapedBody;
use crate::upstream_slots::{Slot, SlotRefusal, UpstreamSlots};

/// Upper bound for the remaining time in the headers of a request: one day.
const MAX_TIME_LEFT: Micros = 86_400_000_000;
/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Number of other balancers that are asked for a stored response if the claim holder has lost it. The first of them gets a
/// replica of each response.
const REPLICA_CANDIDATES: usize = 2;
/// Requests with less time left than this are rejected.
const MIN_TIME_LEFT: Micros = 2_000;
/// Time reserved for the transmission of the response to the sending balancer.
const RESPONSE_TRANSIT: Micros = 3_000;
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Receives requests for this machine's upstream and forwards those that are admitted.
pub struct Receiver {
    /// The slots of the upstream.
    slots: Rc<UpstreamSlots>,
    /// The upstream's state as it reports it.
    upstream: RefCell<UpstreamTracker>,
    /// Connections to the upstream.
    upstreams: Upstreams,
    /// Claims operation keys and exchanges stored responses.
    keys: Rc<KeyClient>,
    /// Results of the keyed runs on this machine.
    ledger: RefCell<Ledger>,
    /// Records of the other processes, and the record of this one.
    exchange: Rc<Exchange>,
    /// Number of keyed requests that are being handled.
    keyed_requests: Rc<Cell<usize>>,
    /// Limits the memory for request bodies; shared with the requests of this machine's clients.
    body_memory: Rc<Share>,
    /// The outgoing link, which limits the rate of long responses.
    link: Rc<LinkShaper>,
    /// Learned response lengths, to estimate the load on the link.
    response_lengths: RefCell<ResponseLengths>,
}

/// Permission for one request at the upstream.
struct Permit {
    /// The slot of the upstream.
    slot: Slot,
    /// The expected size of the response, until the upstream has responded.
    expected: Option<ExpectedResponse>,
}

impl Permit {
    /// Records that the upstream has responded.
    fn set_responded(&mut self) {
        self.slot.set_responded();
        self.expected = None;
    }
}

/// Counts a keyed request while it is being handled.
struct KeyedRequestCount(Rc<Cell<usize>>);

impl KeyedRequestCount {
    /// Adds a request to a count. Dropping the returned value removes it.
    fn new(count: &Rc<Cell<usize>>) -> KeyedRequestCount {
        count.set(count.get() + 1);
        KeyedRequestCount(count.clone())
    }
}

impl Drop for KeyedRequestCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Identifies requests of similar processing time: a hash of the class name that the sending balancer gave.
fn kind(headers: &HeaderMap) -> u64 {
    headers.get(header_names::KIND).map_or(0, |v| ring_hash(v.to_str().unwrap_or_default()))
}

/// Checks that a request is for this upstream. A request that names no upstream is for none. The service is compared where
/// the sending balancer names it.
fn check_addressee(headers: &HeaderMap, upstream: &Upstream) -> Result<(), ClientResponse> {
    let declined = |reason| not_run(StatusCode::MISDIRECTED_REQUEST, reason, None);
    let Some(addressee) = headers.get(header_names::ADDRESSEE) else {
        return Err(declined("the request names no upstream"));
    };
    if addressee.as_bytes() != upstream.id.as_bytes() {
        let mut response = declined("another upstream is here");
        if let Ok(id) = HeaderValue::from_bytes(upstream.id.as_bytes()) {
            response.headers_mut().insert(header_names::INSTANCE, id);
        }
        return Err(response);
    }
    let service = headers.get(header_names::SERVICE);
    if service.is_some_and(|service| service.as_bytes() != upstream.service.as_bytes()) {
        return Err(declined("the upstream is of another service"));
    }
    Ok(())
}

/// A request to forward to the upstream.
struct ForwardRequest {
    /// The request to send to the upstream.
    call: Call,
    /// Permits for the memory of a buffered body.
    _body_memory: Vec<MemoryPermit>,
    /// Identifier of the client's try, which the response must repeat.
    try_id: Option<HeaderValue>,
    /// The upstream that the request is for.
    target: Target,
    /// When the request arrived at this balancer.
    arrived_at: Micros,
    /// When the client stops waiting for the response.
    deadline: Micros,
    /// What admission control needs to know about the request.
    arrival: Arrival,
}

impl Receiver {
    /// Creates a receiver whose upstream has not reported itself yet.
    pub fn new(
        upstreams: Upstreams,
        keys: Rc<KeyClient>,
        ledger: Ledger,
        exchange: Rc<Exchange>,
        drain: Micros,
        link: Rc<LinkShaper>,
        body_memory: Rc<Share>,
    ) -> Rc<Receiver> {
        Rc::new(Receiver {
            slots: UpstreamSlots::new(drain / 2),
            upstream: RefCell::default(),
            upstreams,
            keys,
            ledger: RefCell::new(ledger),
            exchange,
            keyed_requests: Rc::default(),
            body_memory,
            link,
            response_lengths: RefCell::default(),
        })
    }

    /// Time since this receiver was created.
    fn now(&self) -> Micros {
        self.slots.now()
    }

    /// Reads or updates the upstream's status, then passes it on to admission control and to the other processes.
    pub fn with_upstream<T>(&self, update: impl FnOnce(&mut UpstreamTracker) -> T) -> T {
        let result = update(&mut self.upstream.borrow_mut());
        let upstream = self.upstream.borrow().upstream().cloned();
        let state = match upstream.as_ref().map(|u| u.condition) {
            Some(Condition::Accepting) => State::Open,
            Some(Condition::Closing) => State::Closing,
            Some(Condition::Down) | None => State::Absent,
        };
        let slots = upstream.as_ref().map_or(1, |u| u.slots as usize);
        self.slots.set_upstream(state, slots);
        self.exchange.update_local_record(|own| own.upstream = upstream);
        result
    }

    /// Whether no request is queued or at the upstream, no keyed one waits for the core, no claim is to be released, and no
    /// response waits for the link.
    pub fn is_idle(&self) -> bool {
        self.slots.is_idle() && self.keyed_requests.get() == 0 && self.keys.is_idle() && self.link.is_idle()
    }

    /// Admits and expires queued requests when it is time; never returns.
    pub async fn run_admission(self: Rc<Self>) {
        self.slots.clone().run().await;
    }

    /// Accepts connections from other balancers; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve_connection(stream));
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Serves one connection from another balancer.
    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let receiver = self.clone();
            async move { Ok::<_, Infallible>(receiver.respond_numbered(request).await) }
        });
        let mut builder = http1::Builder::new();
        builder.max_buf_size(sloeline_http::MAX_HEAD_BUFFER_BYTES);
        let _ = builder.serve_connection(TokioIo::new(stream), service).await;
    }

    /// Responds to a request, and echoes in the response the number of the attempt that it belongs to.
    async fn respond_numbered(self: Rc<Self>, request: Request<Incoming>) -> Response<ShapedBody> {
        let attempt = request.headers().get(header_names::ATTEMPT).cloned();
        let link = self.link.clone();
        let mut response = self.respond(request).await;
        // Only this balancer may set the header; a value from the upstream has no meaning.
        response.headers_mut().remove(header_names::ATTEMPT);
        if let Some(attempt) = attempt {
            response.headers_mut().insert(header_names::ATTEMPT, attempt);
        }
        response.map(|body| ShapedBody::new(body, link))
    }

    /// Responds to a request without the echo of the attempt number.
    async fn respond(self: Rc<Self>, request: Request<Incoming>) -> ClientResponse {
        let arrived_at = self.now();
        let (head, body) = request.into_parts();
        let text = |name: &HeaderName| head.headers.get(name).and_then(|v| v.to_str().ok());
        let time_left = text(&header_names::TIME_LEFT)
            .and_then(parse_digits)
            .map_or(MAX_TIME_LEFT, |ms| ms.saturating_mul(1000));
        let deadline = arrived_at + time_left.min(MAX_TIME_LEFT);
        let time_to_target =
            text(&header_names::AIM).and_then(parse_digits).map_or(time_left, |ms| ms.saturating_mul(1000));
        let limit = text(&header_names::LIMIT)
            .and_then(parse_digits)
            .map_or(time_left, |ms| ms.saturating_mul(1000).min(time_left));
        let max_wait =
            text(&header_names::HOLD).and_then(parse_digits).map_or(limit, |ms| ms.saturating_mul(1000));
        let priority =
            text(&header_names::RANK).and_then(|priority| priority.parse().ok()).unwrap_or(u8::MAX);
        let kind = kind(&head.headers);
        let arrival = Arrival {
            kind,
            priority,
            time_to_target,
            time_left: limit.min(MAX_TIME_LEFT),
            max_wait,
            link_wait: 0,
            link_time: 0,
        };
        let (id, address) = {
            let tracker = self.upstream.borrow();
            let (Some(upstream), Some(address)) = (tracker.upstream(), tracker.address()) else {
                return not_run(StatusCode::SERVICE_UNAVAILABLE, "no upstream here", None);
            };
            if let Err(response) = check_addressee(&head.headers, upstream) {
                return response;
            }
            (upstream.id.clone(), address)
        };
        let limits = BodyLimits { max_bytes: MAX_BODY_BYTES, forbidden: false, memory: &self.body_memory };
        let mut streaming = None;
        let (body, body_memory) = match read_body(body, &limits).await {
            Ok(ReceivedBody::Buffered(body, memory)) => (RequestBody::Buffered(body), memory),
            Ok(ReceivedBody::Streaming(upload)) => {
                streaming = Some(upload.clone());
                (RequestBody::Streaming(upload), Vec::new())
            }
            Err(_) => {
                return not_run(StatusCode::BAD_REQUEST, "the body broke off or is too large", None);
            }
        };
        let key =
            head.headers.get(header_names::KEYED).and_then(|_| head.headers.get(header_names::OPERATION_KEY));
        let key = key.map(|k| Bytes::copy_from_slice(k.as_bytes()));
        let mut headers = end_to_end_headers(&head.headers);
        for internal in [
            header_names::KEYED,
            header_names::KIND,
            header_names::RANK,
            header_names::ONCE,
            header_names::AIM,
            header_names::LIMIT,
            header_names::HOLD,
            header_names::ATTEMPT,
            header_names::SERVICE,
        ] {
            headers.remove(internal);
        }
        let Ok(addressee) = HeaderValue::from_bytes(id.as_bytes()) else {
            return not_run(StatusCode::MISDIRECTED_REQUEST, "the upstream's id is no header value", None);
        };
        headers.insert(header_names::ADDRESSEE, addressee);
        debug_assert!(headers.contains_key(HOST));
        let uri: Uri = head.uri.path_and_query().cloned().map_or_else(Uri::default, Uri::from);
        let call = Call { method: head.method.clone(), uri, headers, body };
        let target = Target { server: 0, instance: id.into(), address };
        let try_id = head.headers.get(header_names::TRY_ID).cloned();
        let once = head.headers.contains_key(header_names::ONCE);
        let request =
            ForwardRequest { call, _body_memory: body_memory, try_id, target, arrived_at, deadline, arrival };
        let receiver = self.clone();
        let response = match key {
            None if once => self.forward_once(request).await,
            None => self.forward(request).await,
            // A keyed request continues even if the sender disconnects.
            Some(key) => {
                let (sender, response) = oneshot::channel();
                let counted = KeyedRequestCount::new(&self.keyed_requests);
                spawn_local(async move {
                    let _counted = counted;
                    let response = self.forward_keyed(request, key).await;
                    let _ = sender.send(response);
                });
                response.await.unwrap_or_else(|_| text_response(StatusCode::BAD_GATEWAY, "the run broke off"))
            }
        };
        if let Some(upload) = streaming.filter(|_| response.headers().contains_key(header_names::NOT_RUN)) {
            let left = Duration::from_micros(deadline.saturating_sub(receiver.now()));
            let _ = timeout(left, upload.discard()).await;
        }
        response
    }

    /// Expected wait for the link, and expected transmission time, of a response to a request of this kind.
    fn link_estimate(&self, kind: u64) -> (Micros, Micros) {
        let length = self.response_lengths.borrow().long_mean(kind);
        length.map_or((0, 0), |length| self.link.estimate(length))
    }

    /// Waits for a permit to use the upstream. If there is none, returns the response to send instead.
    async fn acquire_permit(
        self: &Rc<Self>,
        arrival: Arrival,
        arrived_at: Micros,
    ) -> Result<Permit, ClientResponse> {
        let now = self.now();
        let age = now.saturating_sub(arrived_at);
        let [time_to_target, time_left, max_wait] =
            [arrival.time_to_target, arrival.time_left, arrival.max_wait].map(|t| t.saturating_sub(age));
        if time_left < MIN_TIME_LEFT {
            return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "too little time left", None));
        }
        let kind = arrival.kind;
        let (link_wait, link_time) = self.link_estimate(kind);
        let arrival = Arrival { link_wait, link_time, ..arrival };
        let expected =
            self.response_lengths.borrow().long_mean(kind).map(|length| self.link.expect_response(length));
        let arrival = Arrival { time_to_target, time_left, max_wait, ..arrival };
        match self.slots.acquire(arrival).await {
            Ok(slot) => Ok(Permit { slot, expected }),
            Err(refusal) => {
                let (reason, wait) = match refusal {
                    SlotRefusal::Full { wait } => ("no room", Some(wait)),
                    SlotRefusal::Closed => ("the upstream leaves", None),
                    SlotRefusal::Expired => ("no room in time", None),
                };
                Err(not_run(StatusCode::SERVICE_UNAVAILABLE, reason, wait))
            }
        }
    }

    /// Sends a request to the upstream. Returns the response, or whether the request may have run without one.
    async fn run(self: &Rc<Self>, request: &ForwardRequest, mut permit: Permit) -> RunResult {
        let time_left = request.deadline.saturating_sub(self.now()).saturating_sub(RESPONSE_TRANSIT);
        if time_left < MIN_TIME_LEFT {
            return RunResult::NotRun(not_run(StatusCode::SERVICE_UNAVAILABLE, "too little time left", None));
        }
        let id = request.try_id.clone();
        let is_matching = move |status: StatusCode, headers: &HeaderMap| {
            // A response with another try id belongs to another request.
            let same_try = headers.get(header_names::TRY_ID) == id.as_ref();
            same_try && (!status.is_success() || headers.contains_key(header_names::POSTMARK))
        };
        match self.upstreams.relay(&request.target, &request.call, time_left, is_matching).await {
            RelayOutcome::NotSent if request.call.body.is_consumed() && !request.call.body.is_received() => {
                // The sender's part of the body did not come in time, which says nothing about the upstream; or the upstream
                // closed the connection before it had the whole request.
                RunResult::NotRun(not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the body did not pass whole",
                    None,
                ))
            }
            RelayOutcome::NotSent => {
                // The upstream is gone or accepts no connections; its next heartbeat makes it available again.
                if self.with_upstream(|upstream| upstream.mark_unreachable(&request.target.instance)) {
                    debug!(target: "upstream", "Upstream {} cannot be reached.", request.target.instance);
                }
                RunResult::NotRun(not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the upstream can't be reached",
                    None,
                ))
            }
            RelayOutcome::Broken(cause) => {
                let instance = &request.target.instance;
                debug!(target: "upstream", "Upstream {instance} broke off the response: {cause:?}.");
                RunResult::Unknown(text_response(StatusCode::BAD_GATEWAY, "the upstream broke off"))
            }
            RelayOutcome::Answered(reply) if reply.status == StatusCode::MISDIRECTED_REQUEST => {
                drop(reply);
                RunResult::NotRun(not_run(StatusCode::MISDIRECTED_REQUEST, "another upstream is here", None))
            }
            RelayOutcome::Answered(reply) if reply.headers.contains_key(header_names::NOT_RUN) => {
                RunResult::NotRun(not_run(StatusCode::SERVICE_UNAVAILABLE, "the upstream is full", None))
            }
            RelayOutcome::Answered(mut reply) => {
                permit.set_responded();
                if let (true, Some(length)) = (reply.status.is_success(), reply.body.size_hint().exact()) {
                    self.response_lengths.borrow_mut().record(request.arrival.kind, length);
                }
                if let Payload::Streaming(passing) = &mut reply.body {
                    let (receiver, started) = (self.clone(), self.now());
                    passing.on_end(move |_| {
                        metrics::GATE_HELD_PASSING.add(receiver.now().saturating_sub(started));
                        drop(permit);
                    });
                }
                RunResult::Responded(reply)
            }
        }
    }

    /// Forwards a request that must not run twice: once it is at the upstream it is not cancelled, even if the sender
    /// disconnects.
    async fn forward_once(self: Rc<Self>, request: ForwardRequest) -> ClientResponse {
        let permit = match self.acquire_permit(request.arrival, request.arrived_at).await {
            Ok(permit) => permit,
            Err(response) => return response,
        };
        let (sender, response) = oneshot::channel();
        spawn_local(async move {
            let response = match self.run(&request, permit).await {
                RunResult::NotRun(response) | RunResult::Unknown(response) => response,
                RunResult::Responded(reply) => forwarded(reply),
            };
            let _ = sender.send(response);
        });
        response.await.unwrap_or_else(|_| text_response(StatusCode::BAD_GATEWAY, "the run broke off"))
    }

    /// Forwards a request; it is cancelled if the sender disconnects.
    async fn forward(self: Rc<Self>, request: ForwardRequest) -> ClientResponse {
        let permit = match self.acquire_permit(request.arrival, request.arrived_at).await {
            Ok(permit) => permit,
            Err(response) => return response,
        };
        match self.run(&request, permit).await {
            RunResult::NotRun(response) | RunResult::Unknown(response) => response,
            RunResult::Responded(reply) => forwarded(reply),
        }
    }

    /// State of a run that an earlier request has started on this machine, if it is known here.
    fn known_run(&self, key: &Bytes, run: u64) -> Option<RpcResponse> {
        match self.ledger.borrow().get(key) {
            Some((known, state)) if *known == run => Some(match state {
                RunState::Running => RpcResponse::RunInProgress,
                RunState::Finished(response) => RpcResponse::RunFinished(response.clone()),
            }),
            _ if self.ledger.borrow().is_claiming(run) => Some(RpcResponse::RunInProgress),
            _ => None,
        }
    }

    /// Answers another balancer's question about the result of a run.
    pub fn run_result(&self, key: &Bytes, run: u64) -> RpcResponse {
        self.known_run(key, run)
            .unwrap_or_else(|| RpcResponse::Unavailable("this run is not known here".to_owned()))
    }

    /// Addresses of the balancers that store replicas of a holder's responses in case it loses them: balancers of its own
    /// zone, selected by rendezvous hashing.
    fn replica_holders(&self, holder: &str) -> Vec<SocketAddr> {
        let records = self.exchange.view().records();
        let Some(zone) = records.get(holder).map(|r| r.zone.as_str()) else { return Vec::new() };
        let same_zone = records.values().filter(|r| !r.is_core && r.zone == zone).map(|r| r.source.as_str());
        let candidates = top_candidates(holder, same_zone, REPLICA_CANDIDATES);
        candidates.iter().filter_map(|name| records.get(*name)).map(|r| r.mesh_address).collect()
    }

    /// Stores a replica of a response for the machine that holds the claim.
    pub fn store_replica(&self, key: &Bytes, run: u64, response: StoredResponse) {
        self.ledger.borrow_mut().store_replica(self.now() / 1000, key, run, response);
    }

    /// Responds to a repeat of a keyed request, with the first response if it can still be found.
    async fn answer_repeat(
        &self,
        key: &Bytes,
        run: u64,
        holder: &str,
        try_id: Option<HeaderValue>,
    ) -> ClientResponse {
        let own = self.exchange.local_record();
        let mut result = self.known_run(key, run);
        let mut holders = Vec::new();
        if own.source != holder {
            holders.extend(self.exchange.view().records().get(holder).map(|r| r.mesh_address));
        }
        holders.extend(self.replica_holders(holder));
        for address in holders.into_iter().filter(|address| *address != own.mesh_address) {
            if matches!(result, Some(RpcResponse::RunInProgress | RpcResponse::RunFinished(Some(_)))) {
                break;
            }
            result = self.keys.run_result(address, key, run).await.ok();
        }
        match result {
            Some(RpcResponse::RunInProgress) => text_response(StatusCode::CONFLICT, "this key is at work"),
            Some(RpcResponse::RunFinished(Some(response))) => replay(response, try_id),
            _ => {
                debug!(target: "repeat", "The stored response of a run on {holder} is lost.");
                text_response(StatusCode::BAD_GATEWAY, "it ran or may have run, and its answer is lost")
            }
        }
    }

    /// Forwards a keyed request if its key can be claimed; otherwise it is answered as a repeat.
    async fn forward_keyed(self: Rc<Self>, request: ForwardRequest, key: Bytes) -> ClientResponse {
        let known = self.ledger.borrow().get(&key).map(|(run, _)| *run);
        if let Some(run) = known {
            let own = self.exchange.local_record().source;
            return self.answer_repeat(&key, run, &own, request.try_id).await;
        }
        let run = fastrand::u64(1..);
        self.ledger.borrow_mut().begin_claim(run);
        let time_left = Duration::from_micros(request.deadline.saturating_sub(self.now()));
        match self.keys.claim(&key, run, time_left / 2).await {
            Ok(ClaimOutcome::Granted) => self.ledger.borrow_mut().start(self.now() / 1000, &key, run),
            Ok(ClaimOutcome::Held { run: first, holder }) => {
                self.ledger.borrow_mut().end_claim(run);
                return self.answer_repeat(&key, first, &holder, request.try_id).await;
            }
            Err(error) => {
                debug!(target: "keys", "An operation key could not be claimed: {error:#}.");
                self.ledger.borrow_mut().end_claim(run);
                return not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the key could not be claimed",
                    Some(250_000),
                );
            }
        }
        let result = match self.acquire_permit(request.arrival, request.arrived_at).await {
            Ok(permit) => self.run(&request, permit).await,
            Err(response) => RunResult::NotRun(response),
        };
        match result {
            RunResult::NotRun(response) => {
                self.keys.release(&key, run).await;
                self.ledger.borrow_mut().remove_run(&key, run);
                response
            }
            RunResult::Unknown(response) => {
                self.ledger.borrow_mut().finish(&key, run, None);
                response
            }
            // A response that is larger than any that is stored is passed on as it comes.
            RunResult::Responded(Reply { status, headers, body: Payload::Streaming(mut body) }) => {
                let (receiver, key) = (self.clone(), key.clone());
                body.on_end(move |_| receiver.ledger.borrow_mut().finish(&key, run, None));
                forwarded(Reply { status, headers, body: Payload::Streaming(body) })
            }
            RunResult::Responded(reply) => {
                let (response, stored) = match collect(reply).await {
                    Ok(whole) => whole,
                    Err(response) => (response, None),
                };
                let own = self.exchange.local_record().source;
                if let (Some(response), Some(replica_holder)) = (&stored, self.replica_holders(&own).first())
                {
                    self.keys.store_replica(*replica_holder, key.clone(), run, response.clone());
                }
                self.ledger.borrow_mut().finish(&key, run, stored);
                response
            }
        }
    }
}

/// Result of forwarding a request to the upstream.
enum RunResult {
    /// The request never ran and never will; the response says so.
    NotRun(ClientResponse),
    /// The request may have run, but the upstream's response is lost.
    Unknown(ClientResponse),
    /// The request ran and the upstream responded.
    Responded(Reply),
}
