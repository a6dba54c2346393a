//! Requests from other balancers for this machine's upstream. Admitted requests are forwarded to it, and its responses are
//! passed back. A response with the header `X-Not-Run` guarantees that the request never ran and never will, so that
//! the sending balancer may retry it elsewhere.

mod keyed;
mod request;

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, body::Body, body::Incoming};
use hyper_util::rt::TokioIo;
use log::debug;
use sloeline_discovery::Condition;
use sloeline_engine::types::Target;
use sloeline_http::frontend::{ClientResponse, text_response};
use sloeline_http::payload::Payload;
use sloeline_http::received_body::{BodyLimits, ReceivedBody, read_body};
use sloeline_http::upload::RequestBody;
use sloeline_http::upstream::{RelayOutcome, Reply, Upstreams};
use sloeline_idempotency::Ledger;
use sloeline_limits::Share;
use sloeline_rpc::exchange::Exchange;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use self::request::{ForwardRequest, check_addressee, operation_key};
use crate::admission::{Arrival, Micros, State};
use crate::header_names;
use crate::heartbeats::UpstreamTracker;
use crate::keys::KeyClient;
use crate::link_shaper::{ExpectedResponse, LinkShaper};
use crate::metrics;
use crate::response_lengths::ResponseLengths;
use crate::responses::{forwarded, not_run};
use crate::shaped_body::ShapedBody;
use crate::upstream_slots::{Slot, SlotRefusal, UpstreamSlots};

/// Maximum size of a request body.
const MAX_BODY_BYTES: u64 = 64 << 20;
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
        let target = match self.target(&head.headers) {
            Ok(target) => target,
            Err(response) => return response,
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
        let Some(request) = ForwardRequest::new(&head, body, body_memory, target, arrived_at) else {
            return not_run(StatusCode::MISDIRECTED_REQUEST, "the upstream's id is no header value", None);
        };
        let deadline = request.deadline;
        let response = self.clone().forward_as_required(request, &head.headers).await;
        if let Some(upload) = streaming.filter(|_| response.headers().contains_key(header_names::NOT_RUN)) {
            let left = Duration::from_micros(deadline.saturating_sub(self.now()));
            let _ = timeout(left, upload.discard()).await;
        }
        response
    }

    /// The upstream here, if a request with these headers is for it.
    fn target(&self, headers: &HeaderMap) -> Result<Target, ClientResponse> {
        let tracker = self.upstream.borrow();
        let (Some(upstream), Some(address)) = (tracker.upstream(), tracker.address()) else {
            return Err(not_run(StatusCode::SERVICE_UNAVAILABLE, "no upstream here", None));
        };
        check_addressee(headers, upstream)?;
        Ok(Target { server: 0, instance: upstream.id.as_str().into(), address })
    }

    /// Forwards a request as the headers of the sending balancer say: keyed, at most once, or cancelled with its sender.
    async fn forward_as_required(
        self: Rc<Self>,
        request: ForwardRequest,
        headers: &HeaderMap,
    ) -> ClientResponse {
        match operation_key(headers) {
            Some(key) => self.forward_keyed_to_end(request, key).await,
            None if headers.contains_key(header_names::ONCE) => self.forward_once(request).await,
            None => self.forward(request).await,
        }
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
                // A part of the body was taken from the sender for a connection that broke before its first byte. The
                // sender cannot send that part again, and it says nothing about the upstream.
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
