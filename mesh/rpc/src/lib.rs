//! Remote procedure calls between mesh processes: MessagePack in frames of limited length, with many concurrent calls on one
//! connection. [`frame`] defines the format and does no I/O; [`link`] and [`serve`] carry frames over TCP; [`exchange`]
//! synchronizes discovery records and configurations.

pub mod exchange;
pub mod frame;
pub mod link;
pub mod metrics;
mod offers;
pub mod serve;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sloeline_chain_replication::Message;
use sloeline_config_transfer::{PieceAnswer, PieceRequest};
use sloeline_discovery::{Pull, PullResponse, Record, UpstreamOutcome, UpstreamUpdate};
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate, StoredResponse};

/// A request or notification from one process to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RpcRequest {
    /// Requests the updates that the sender lacks; answered with [`RpcResponse::Updates`].
    Pull(Pull),
    /// Asks whether the receiver's view equals the sender's; answered with [`RpcResponse::Done`] if so.
    #[serde(rename = "Compare")]
    CompareDigest {
        /// Digest of the sender's view.
        digest: u64,
    },
    /// Requests the next piece of a newer configuration.
    ConfigPiece(PieceRequest),
    /// Pushes records to the receiver, usually the sender's own.
    #[serde(rename = "Tell")]
    PushRecords(Vec<Record>),
    /// Updates the state of a keyed operation; only core machines handle this request.
    Operation(ClaimUpdate),
    /// Reports or asks for the end of an upstream instance; only core machines handle this request.
    Upstream(UpstreamUpdate),
    /// Asks for the state of a run. Machines that executed the run or store a copy of its answer can respond.
    #[serde(rename = "Recall")]
    QueryRun {
        /// Key of the operation.
        key: Bytes,
        /// Number of the run.
        run: u64,
    },
    /// Stores a copy of a run's answer on the receiver, in case the machine that executed the run loses it. A notification
    /// without a response.
    #[serde(rename = "Keep")]
    StoreAnswer {
        /// Key of the operation.
        key: Bytes,
        /// Number of the run.
        run: u64,
        /// Answer of the run.
        answer: StoredResponse,
    },
    /// Carries a message of the chain protocol between core machines. A notification without a response.
    Chain {
        /// Address of the sending core machine.
        from: std::net::SocketAddr,
        /// The message of the chain protocol.
        message: Box<Message>,
    },
    /// Requests the status of the receiver for operators; answered with [`RpcResponse::Status`].
    Status,
}

/// The response to an [`RpcRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RpcResponse {
    /// The updates that the sender of a pull lacks.
    #[serde(rename = "News")]
    Updates(PullResponse),
    /// The requested piece of a configuration.
    ConfigPiece(PieceAnswer),
    /// The request was handled, or the compared digests are equal.
    Done,
    /// The result of a keyed operation.
    Operation(ClaimOutcome),
    /// The result of a report or a question about an upstream instance.
    Upstream(UpstreamOutcome),
    /// The run is still being executed.
    #[serde(rename = "Running")]
    RunInProgress,
    /// The run has finished. Contains its answer if it is still stored.
    #[serde(rename = "Ran")]
    RunFinished(Option<StoredResponse>),
    /// The status of the process as JSON.
    Status(Bytes),
    /// The request could not be handled, for the given reason. It may have had no effect, or may still take effect.
    #[serde(rename = "Unable")]
    Unavailable(String),
}
