//! The messages of the bench's wire, as they are named there.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

use sloeline_settings::setup::{Setup, default_one};

/// A message from the bench.
#[derive(Deserialize)]
#[allow(missing_docs)]
pub enum Message<'a> {
    BeginBatch {
        #[serde(rename = "NowMs")]
        now: f64,
    },
    Commit {},
    Table {
        #[serde(rename = "SetId")]
        set: u64,
        #[serde(rename = "Items")]
        items: Vec<Entry>,
    },
    PowerOn {
        #[serde(rename = "BalancerId")]
        balancer: u64,
        #[serde(rename = "RngSeed")]
        seed: u64,
        #[serde(rename = "Setup")]
        setup: Box<Setup>,
    },
    Fleet {
        #[serde(rename = "BalancerId")]
        balancer: u64,
        #[serde(rename = "Form")]
        form: Form,
        #[serde(rename = "SetId", default)]
        set: u64,
    },
    #[serde(rename_all = "PascalCase")]
    JobIn {
        balancer_id: u64,
        #[serde(borrow)]
        rid: Cow<'a, str>,
        #[serde(default, borrow)]
        owner: Option<Owner<'a>>,
        #[serde(default)]
        expected_ms: Option<f64>,
        #[serde(borrow)]
        lane: Cow<'a, str>,
        time_left_ms: f64,
        #[serde(default)]
        retry: bool,
    },
    #[serde(rename_all = "PascalCase")]
    Echo {
        balancer_id: u64,
        #[serde(borrow)]
        upstream: Cow<'a, str>,
        disposition: Disposition,
        time_taken_ms: f64,
        #[serde(default)]
        load: Option<Load>,
    },
    #[serde(rename_all = "PascalCase")]
    Teardown {
        balancer_id: u64,
    },
    #[serde(rename_all = "PascalCase")]
    AckFirst {
        balancer_id: u64,
        #[serde(borrow)]
        rid: Cow<'a, str>,
        trial: u32,
    },
    #[serde(rename_all = "PascalCase")]
    Resolved {
        balancer_id: u64,
        #[serde(borrow)]
        rid: Cow<'a, str>,
        trial: u32,
        #[serde(borrow)]
        upstream: Cow<'a, str>,
        disposition: Disposition,
        time_taken_ms: f64,
        #[serde(rename = "Final", default)]
        closed: bool,
        #[serde(default)]
        load: Option<Load>,
    },
    #[serde(rename_all = "PascalCase")]
    Aborted {
        balancer_id: u64,
        #[serde(borrow)]
        rid: Cow<'a, str>,
    },
    #[serde(rename_all = "PascalCase")]
    Bell {
        balancer_id: u64,
        ctx: u64,
    },
    /// Peers share nothing here; read and passed over.
    #[serde(rename_all = "PascalCase")]
    Peer {
        #[allow(dead_code)]
        balancer_id: u64,
    },
}

/// Whose a request is: a tenant's name, or 0 where there are no tenants.
#[derive(Deserialize)]
#[serde(untagged)]
#[allow(missing_docs)]
pub enum Owner<'a> {
    #[serde(borrow)]
    Name(Cow<'a, str>),
    Nobody(#[allow(dead_code)] u64),
}

/// What a list is.
#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Form {
    Patch,
    Whole,
    StaleCopy,
    Broken,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Deserialize)]
#[allow(missing_docs)]
pub enum Disposition {
    S,
    E,
    F,
    T,
    C,
    R,
    X,
    N,
}

/// A load report; unknown keys are passed over.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub struct Load {
    pub outstanding: Option<f64>,
    pub backlog: Option<f64>,
    pub utilization: Option<f64>,
    pub throughput: Option<f64>,
    pub recent_ms: Option<f64>,
    pub errors_per_s: Option<f64>,
}

/// An entry of a list of servers.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Entry {
    pub upstream: String,
    pub locality: String,
    pub machine: String,
    #[serde(default)]
    pub group: u32,
    pub condition: Condition,
    #[serde(default = "default_one")]
    pub weight: f64,
    #[serde(default)]
    pub last_start_ms: f64,
}

/// What discovery says of a server.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Condition {
    On,
    Fading,
    Off,
}

/// A line of a reply.
#[derive(Serialize)]
#[allow(missing_docs)]
pub enum Reply<'a> {
    #[serde(rename_all = "PascalCase")]
    CallOut {
        balancer_id: u64,
        rid: &'a str,
        limit_ms: f64,
        upstream: &'a str,
    },
    #[serde(rename_all = "PascalCase")]
    Refuse {
        balancer_id: u64,
        rid: &'a str,
        wait_ms: f64,
    },
    #[serde(rename_all = "PascalCase")]
    FinishError {
        balancer_id: u64,
        rid: &'a str,
    },
    #[serde(rename_all = "PascalCase")]
    AbortAttempt {
        balancer_id: u64,
        rid: &'a str,
        trial: u32,
    },
    #[serde(rename_all = "PascalCase")]
    Touch {
        balancer_id: u64,
        upstream: &'a str,
    },
    #[serde(rename_all = "PascalCase")]
    ShutIdle {
        balancer_id: u64,
        upstream: &'a str,
    },
    #[serde(rename_all = "PascalCase")]
    Schedule {
        balancer_id: u64,
        offset_ms: f64,
        ctx: u64,
    },
    #[serde(rename_all = "PascalCase")]
    Subscribe {
        balancer_id: u64,
        enable: bool,
    },
    #[serde(rename_all = "PascalCase")]
    QueryAll {
        balancer_id: u64,
    },
    Yield {},
}
