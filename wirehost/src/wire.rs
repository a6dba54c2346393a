//! The messages that the simulator and the adapter exchange, one JSON object per line. Types and fields have the
//! balancer module's names; attributes keep the names on the wire.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

use sloeline_settings::setup::{Setup, default_one};

/// A message from the simulator.
#[derive(Deserialize)]
pub enum Message<'a> {
    /// Starts a batch of messages at one time.
    BeginBatch {
        /// Time of the batch in milliseconds.
        #[serde(rename = "NowMs")]
        now: f64,
    },
    /// Ends the batch; the adapter sends its reply.
    Commit {},
    /// Defines a list of servers that later messages refer to.
    #[serde(rename = "Table")]
    ServerTable {
        /// Id of the list; a new list with the same id replaces it.
        #[serde(rename = "SetId")]
        table: u64,
        /// The entries of the list.
        #[serde(rename = "Items")]
        entries: Vec<Entry>,
    },
    /// Starts a balancer instance.
    #[serde(rename = "PowerOn")]
    StartInstance {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Seed of the instance's random numbers.
        #[serde(rename = "RngSeed")]
        seed: u64,
        /// Settings of the instance.
        #[serde(rename = "Setup")]
        setup: Box<Setup>,
    },
    /// Delivers a list of servers to an instance.
    #[serde(rename = "Fleet")]
    Servers {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Whether the list holds changes or all servers.
        #[serde(rename = "Form")]
        kind: ListKind,
        /// Id of the list, from `ServerTable`.
        #[serde(rename = "SetId", default)]
        table: u64,
    },
    /// A request arrived at an instance.
    #[serde(rename = "JobIn")]
    Request {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the request.
        #[serde(rename = "Rid", borrow)]
        request: Cow<'a, str>,
        /// Tenant of the request.
        #[serde(rename = "Owner", default, borrow)]
        tenant: Option<Tenant<'a>>,
        /// Expected work in milliseconds.
        #[serde(rename = "ExpectedMs", default)]
        work_ms: Option<f64>,
        /// Name of the request's class.
        #[serde(rename = "Lane", borrow)]
        class: Cow<'a, str>,
        /// Time until the client gives up, in milliseconds.
        #[serde(rename = "TimeLeftMs")]
        time_left_ms: f64,
        /// The client marks the request as a retry.
        #[serde(rename = "Retry", default)]
        retry: bool,
    },
    /// A probe ended.
    #[serde(rename = "Echo")]
    Probed {
        /// The instance that sent the probe.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Address of the probed server.
        #[serde(rename = "Upstream", borrow)]
        server: Cow<'a, str>,
        /// How the probe ended.
        #[serde(rename = "Disposition")]
        outcome: Outcome,
        /// Time from sending the probe until its end, in milliseconds.
        #[serde(rename = "TimeTakenMs")]
        latency_ms: f64,
        /// The server's load, if it reported any.
        #[serde(rename = "Load", default)]
        load: Option<Load>,
    },
    /// Stops a balancer instance.
    #[serde(rename = "Teardown")]
    StopInstance {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
    },
    /// A streamed answer has begun.
    #[serde(rename = "AckFirst")]
    FirstByte {
        /// The instance that sent the attempt.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the request.
        #[serde(rename = "Rid", borrow)]
        request: Cow<'a, str>,
        /// Number of the attempt, from 0.
        #[serde(rename = "Trial")]
        attempt: u32,
    },
    /// An attempt ended.
    #[serde(rename = "Resolved")]
    AttemptEnded {
        /// The instance that sent the attempt.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the request.
        #[serde(rename = "Rid", borrow)]
        request: Cow<'a, str>,
        /// Number of the attempt, from 0.
        #[serde(rename = "Trial")]
        attempt: u32,
        /// Address of the server that the attempt was sent to.
        #[serde(rename = "Upstream", borrow)]
        server: Cow<'a, str>,
        /// How the attempt ended.
        #[serde(rename = "Disposition")]
        outcome: Outcome,
        /// Time from sending the attempt until its end, in milliseconds.
        #[serde(rename = "TimeTakenMs")]
        latency_ms: f64,
        /// The request is finished: it needs no further answer.
        #[serde(rename = "Final", default)]
        closed: bool,
        /// The server's load, if it reported any.
        #[serde(rename = "Load", default)]
        load: Option<Load>,
    },
    /// A client disconnected.
    #[serde(rename = "Aborted")]
    ClientGone {
        /// The instance that held the request.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the client's request.
        #[serde(rename = "Rid", borrow)]
        request: Cow<'a, str>,
    },
    /// A timer of an instance fired.
    #[serde(rename = "Bell")]
    Timer {
        /// The instance that set the timer.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Token from the action that set the timer.
        #[serde(rename = "Ctx")]
        token: u64,
    },
    /// A message from another balancer; it is ignored, as instances share nothing.
    Peer {
        /// The instance that receives the message.
        #[allow(dead_code)]
        #[serde(rename = "BalancerId")]
        balancer: u64,
    },
}

/// The tenant of a request.
#[derive(Deserialize)]
#[serde(untagged)]
pub enum Tenant<'a> {
    /// Name of the tenant.
    #[serde(borrow)]
    Name(Cow<'a, str>),
    /// The number 0, sent if the service has no tenants.
    None(#[allow(dead_code)] u64),
}

/// The kind of a list of servers.
#[derive(Clone, Copy, Deserialize, PartialEq)]
pub enum ListKind {
    /// Changed entries only.
    #[serde(rename = "patch")]
    Changes,
    /// All servers.
    #[serde(rename = "whole")]
    Complete,
    /// All servers as saved before a restart.
    #[serde(rename = "stale_copy")]
    Stale,
    /// A call to discovery failed; there is no list.
    #[serde(rename = "broken")]
    Failed,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Deserialize)]
pub enum Outcome {
    /// Served.
    #[serde(rename = "S")]
    Ok,
    /// The server answered with an error.
    #[serde(rename = "E")]
    Error,
    /// The server rejected the attempt as overloaded.
    #[serde(rename = "F")]
    Full,
    /// No answer within the attempt's limit.
    #[serde(rename = "T")]
    TimedOut,
    /// No connection was established.
    #[serde(rename = "C")]
    ConnectFailed,
    /// The connection broke.
    #[serde(rename = "R")]
    Reset,
    /// The attempt was cancelled.
    #[serde(rename = "X")]
    Cancelled,
    /// The attempt was never sent.
    #[serde(rename = "N")]
    NotSent,
}

/// A server's report of its load; unknown keys are ignored.
#[derive(Clone, Copy, Deserialize)]
pub struct Load {
    /// Requests in the server, running or queued.
    #[serde(rename = "outstanding")]
    pub in_flight: Option<f64>,
    /// Requests that wait in the server's queue.
    #[serde(rename = "backlog")]
    pub queue: Option<f64>,
    /// Share of the server's CPU in use.
    pub utilization: Option<f64>,
    /// Requests served per second.
    pub throughput: Option<f64>,
    /// Recent time to serve a request, in milliseconds.
    #[serde(rename = "recent_ms")]
    pub latency_ms: Option<f64>,
    /// Errors per second.
    pub errors_per_s: Option<f64>,
}

/// An entry of a list of servers.
#[derive(Clone, Deserialize)]
pub struct Entry {
    /// Address of the server.
    #[serde(rename = "Upstream")]
    pub server: String,
    /// Name of the server's zone.
    #[serde(rename = "Locality")]
    pub zone: String,
    /// Name of the server's machine type.
    #[serde(rename = "Machine")]
    pub kind: String,
    /// Cell of the server: a small group that deduplicates requests among its members.
    #[serde(rename = "Group", default)]
    pub cell: u32,
    /// State of the server according to discovery.
    #[serde(rename = "Condition")]
    pub state: ServerState,
    /// Relative capacity of the server.
    #[serde(rename = "Weight", default = "default_one")]
    pub weight: f64,
    /// Time of the last start of the server's process, in milliseconds; 0 if it is long ago.
    #[serde(rename = "LastStartMs", default)]
    pub started_at_ms: f64,
}

/// The state of a server according to discovery.
#[derive(Clone, Copy, Deserialize)]
pub enum ServerState {
    /// Accepts requests.
    #[serde(rename = "on")]
    Ready,
    /// Finishes the requests in flight; nothing new may be sent to it.
    #[serde(rename = "fading")]
    Draining,
    /// Deregistered.
    #[serde(rename = "off")]
    Gone,
}

/// A line of the reply to a batch: an action of an instance, or the end of the reply.
#[derive(Serialize)]
pub enum Reply<'a> {
    /// Send an attempt.
    #[serde(rename = "CallOut")]
    Send {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the request.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Time limit of the attempt, in milliseconds.
        #[serde(rename = "LimitMs")]
        limit_ms: f64,
        /// Address of the server to send the request to.
        #[serde(rename = "Upstream")]
        server: &'a str,
    },
    /// Final answer: refused; a retry by the client is safe.
    Refuse {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the request.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Time that the client should wait before a retry, in milliseconds.
        #[serde(rename = "WaitMs")]
        retry_after_ms: f64,
    },
    /// Final answer: failed.
    #[serde(rename = "FinishError")]
    Fail {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the request.
        #[serde(rename = "Rid")]
        request: &'a str,
    },
    /// Cancel an attempt.
    #[serde(rename = "AbortAttempt")]
    Cancel {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Name of the request.
        #[serde(rename = "Rid")]
        request: &'a str,
        /// Number of the attempt, from 0.
        #[serde(rename = "Trial")]
        attempt: u32,
    },
    /// Probe a server.
    #[serde(rename = "Touch")]
    Probe {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Address of the server to probe.
        #[serde(rename = "Upstream")]
        server: &'a str,
    },
    /// Close the idle connections to a server.
    #[serde(rename = "ShutIdle")]
    CloseIdle {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Address of the server.
        #[serde(rename = "Upstream")]
        server: &'a str,
    },
    /// Send `Timer` after a delay.
    #[serde(rename = "Schedule")]
    SetTimer {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Delay in milliseconds.
        #[serde(rename = "OffsetMs")]
        delay_ms: f64,
        /// Token to send with the timer.
        #[serde(rename = "Ctx")]
        token: u64,
    },
    /// Push changes of the list of servers from now on.
    #[serde(rename = "Subscribe")]
    Watch {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
        /// Always true: an instance never ends a watch.
        #[serde(rename = "Enable")]
        enable: bool,
    },
    /// Send the complete list of servers once.
    #[serde(rename = "QueryAll")]
    Fetch {
        /// The instance.
        #[serde(rename = "BalancerId")]
        balancer: u64,
    },
    /// The reply to the batch is complete.
    #[serde(rename = "Yield")]
    EndBatch {},
}
