//! Client for the ends of upstream instances: reports them to the core and asks the core about instances that this process
//! does not know. The core remembers them when this process does not exist any more.

use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use sloeline_discovery::{UpstreamOutcome, UpstreamUpdate};
use sloeline_rpc::{RpcRequest, RpcResponse};
use tokio::time::Instant;

use crate::core_client::CoreClient;

/// Time limit for reporting an end. The upstream waits one second for the answer to its call.
const REPORT_TIMEOUT: Duration = Duration::from_millis(850);

/// Reports ends of upstream instances to the core and asks for them.
pub struct EndedUpstreamsClient {
    /// Sends the calls to the core machines.
    core: Rc<CoreClient>,
}

impl EndedUpstreamsClient {
    /// Creates a client that calls the core in this way.
    pub fn new(core: Rc<CoreClient>) -> EndedUpstreamsClient {
        EndedUpstreamsClient { core }
    }

    /// Reports the end of an instance. After an error the core may or may not remember it.
    pub async fn report_end(&self, id: &str) -> Result<()> {
        let update = UpstreamUpdate::End { id: id.to_owned() };
        match self.ask(update, REPORT_TIMEOUT).await? {
            UpstreamOutcome::Ended => Ok(()),
            UpstreamOutcome::NotEnded => bail!("core: the end of {id} was not taken"),
        }
    }

    /// Whether the core remembers the end of an instance.
    pub async fn has_ended(&self, id: &str, timeout: Duration) -> Result<bool> {
        let update = UpstreamUpdate::Query { id: id.to_owned() };
        Ok(self.ask(update, timeout).await? == UpstreamOutcome::Ended)
    }

    /// Sends a report or a question to the core and waits for the result.
    async fn ask(&self, update: UpstreamUpdate, timeout: Duration) -> Result<UpstreamOutcome> {
        match self.core.call(&RpcRequest::Upstream(update), Instant::now() + timeout).await? {
            RpcResponse::Upstream(outcome) => Ok(outcome),
            _ => bail!("core: unexpected type of response"),
        }
    }
}
