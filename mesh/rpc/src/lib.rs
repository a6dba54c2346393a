//! Messages between processes of the mesh: MessagePack in frames of a bounded length, many calls at once on one
//! connection. [`frame`] is without I/O; [`link`] and [`serve`] carry frames over TCP.

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
use sloeline_discovery::{Pull, PullResponse, Record};
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate, StoredResponse};

/// What a process asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RpcRequest {
    /// News that the asker lacks.
    Pull(Pull),
    /// Whether the asked process knows the same as the asker; [`RpcResponse::Done`] where it does.
    #[serde(rename = "Compare")]
    CompareDigest {
        /// Of the asker's board.
        digest: u64,
    },
    /// The next piece of a newer configuration.
    ConfigPiece(PieceRequest),
    /// The asker's own news.
    #[serde(rename = "Tell")]
    PushRecords(Vec<Record>),
    /// Something of a keyed operation; only the core answers.
    Operation(ClaimUpdate),
    /// What came of a run; only the machine that holds its claim answers.
    #[serde(rename = "Recall")]
    QueryRun {
        /// The key.
        key: Bytes,
        /// The run.
        run: u64,
    },
    /// Keeps the answer to a run for its holder; has no answer.
    #[serde(rename = "Keep")]
    StoreAnswer {
        /// The key.
        key: Bytes,
        /// The run.
        run: u64,
        /// Its answer.
        answer: StoredResponse,
    },
    /// Between core machines; has no answer.
    Chain {
        /// Who sends it.
        from: std::net::SocketAddr,
        /// What.
        message: Box<Message>,
    },
    /// How the asked process is, as JSON.
    Status,
}

/// What it is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RpcResponse {
    /// The news.
    #[serde(rename = "News")]
    Updates(PullResponse),
    /// The piece.
    ConfigPiece(PieceAnswer),
    /// Done.
    Done,
    /// What came of the operation.
    Operation(ClaimOutcome),
    /// The run is at work.
    #[serde(rename = "Running")]
    RunInProgress,
    /// It ran, with this answer where it is kept.
    #[serde(rename = "Ran")]
    RunFinished(Option<StoredResponse>),
    /// JSON.
    Status(Bytes),
    /// It can't be done here and now; nothing has happened, or it may still happen.
    #[serde(rename = "Unable")]
    Unavailable(String),
}
