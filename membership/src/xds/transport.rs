//! Streams to xDS servers over gRPC, one at a time.

use std::net::SocketAddr;

use prost::Message;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tonic::Status as Failure;
use tonic::transport::Channel;

use super::messages::*;
use super::{Command, Reply};
use crate::etcd::transport::{Outgoing, channels, plain, streaming};
use crate::source::Transport;

/// Maximum number of queued requests, and of queued responses.
const QUEUE_LENGTH: usize = 16;
/// gRPC status code of a rejection.
const INVALID_ARGUMENT: i32 = 3;

/// An acknowledgement or rejection, for both variants of the protocol.
struct Answer {
    version: String,
    nonce: String,
    refused: Option<String>,
}

/// Runs one stream at a time.
pub struct XdsTransport {
    cluster: String,
    node: String,
    delta: bool,
    channels: Vec<Channel>,
    running_stream: Option<(u64, AbortHandle, mpsc::Sender<Answer>)>,
    sender: mpsc::Sender<Reply>,
    replies: mpsc::Receiver<Reply>,
}

impl XdsTransport {
    /// Creates a transport without a stream.
    pub fn new(
        cluster: &str,
        node: &str,
        delta: bool,
        endpoints: &[SocketAddr],
    ) -> Result<XdsTransport, String> {
        let (sender, replies) = mpsc::channel(QUEUE_LENGTH);
        let (cluster, node, channels) = (cluster.to_owned(), node.to_owned(), channels(endpoints)?);
        Ok(XdsTransport { cluster, node, delta, channels, running_stream: None, sender, replies })
    }

    fn close(&mut self) {
        if let Some((_, task, _)) = self.running_stream.take() {
            task.abort();
        }
    }
}

impl Drop for XdsTransport {
    fn drop(&mut self) {
        self.close();
    }
}

type Read = Result<Option<ClusterLoadAssignment>, String>;

fn read(any: &Any) -> Result<ClusterLoadAssignment, String> {
    if any.type_url != TYPE {
        return Err(format!("found a resource of type {:?}, expected {TYPE:?}", any.type_url));
    }
    ClusterLoadAssignment::decode(any.value.as_slice()).map_err(|e| e.to_string())
}

/// Returns the assignment in a response, or `None` if the response is about other clusters only.
fn state_of_the_world(cluster: &str, response: &DiscoveryResponse) -> Option<Read> {
    let mut other = false;
    for any in &response.resources {
        match read(any) {
            Ok(found) if found.cluster_name == cluster => return Some(Ok(Some(found))),
            Ok(_) => other = true,
            Err(why) => return Some(Err(why)),
        }
    }
    // A response may contain only some of the requested resources (xDS protocol, "grouping resources"), so a missing cluster
    // has no meaning.
    if other { None } else { Some(Err("found no resource, expected the cluster's assignment".to_owned())) }
}

fn incremental(cluster: &str, response: &DeltaDiscoveryResponse) -> Option<(String, Read)> {
    if let Some(resource) = response.resources.iter().find(|r| r.name == cluster) {
        let any =
            resource.resource.as_ref().ok_or_else(|| "found an empty resource, expected one".to_owned());
        return Some((resource.version.clone(), any.and_then(read).map(Some)));
    }
    let removed = response.removed_resources.iter().any(|name| name == cluster);
    removed.then(|| (response.system_version_info.clone(), Ok(None)))
}

fn status(refused: Option<String>) -> Option<Status> {
    refused.map(|message| Status { code: INVALID_ARGUMENT, message })
}

async fn world(
    channel: Channel,
    call: u64,
    (cluster, node): (String, String),
    mut answers: mpsc::Receiver<Answer>,
    sender: mpsc::Sender<Reply>,
) -> Result<(), Failure> {
    let request = |version_info, response_nonce, refused| DiscoveryRequest {
        version_info,
        node: Some(Node { id: node.clone() }),
        resource_names: vec![cluster.clone()],
        type_url: TYPE.to_owned(),
        response_nonce,
        error_detail: status(refused),
    };
    let (requests, outgoing) = mpsc::channel(QUEUE_LENGTH);
    let _ = requests.try_send(request(String::new(), String::new(), None));
    let mut responses = streaming::<_, DiscoveryResponse>(channel, STREAM, Outgoing(outgoing)).await?;
    loop {
        tokio::select! {
            Some(Answer { version, nonce, refused }) = answers.recv() => {
                let _ = requests.send(request(version, nonce, refused)).await;
            }
            response = responses.message() => {
                let response = response?.ok_or_else(|| Failure::unavailable("the stream ended"))?;
                let (version, nonce) = (response.version_info.clone(), response.nonce.clone());
                match state_of_the_world(&cluster, &response) {
                    Some(assignment) => {
                        let _ = sender.send(Reply::Response { call, version, nonce, assignment }).await;
                    }
                    None => {
                        let _ = requests.send(request(version, nonce, None)).await;
                    }
                }
            }
        }
    }
}

async fn delta(
    channel: Channel,
    call: u64,
    (cluster, node): (String, String),
    mut answers: mpsc::Receiver<Answer>,
    sender: mpsc::Sender<Reply>,
) -> Result<(), Failure> {
    let request = |subscribe: Vec<String>, response_nonce, refused| DeltaDiscoveryRequest {
        node: Some(Node { id: node.clone() }),
        type_url: TYPE.to_owned(),
        resource_names_subscribe: subscribe,
        // No known version is announced, so that the first response on a stream contains the present state.
        initial_resource_versions: std::collections::HashMap::new(),
        response_nonce,
        error_detail: status(refused),
    };
    let (requests, outgoing) = mpsc::channel(QUEUE_LENGTH);
    let _ = requests.try_send(request(vec![cluster.clone()], String::new(), None));
    let mut responses = streaming::<_, DeltaDiscoveryResponse>(channel, DELTA, Outgoing(outgoing)).await?;
    loop {
        tokio::select! {
            Some(Answer { nonce, refused, .. }) = answers.recv() => {
                let _ = requests.send(request(Vec::new(), nonce, refused)).await;
            }
            response = responses.message() => {
                let response = response?.ok_or_else(|| Failure::unavailable("the stream ended"))?;
                let nonce = response.nonce.clone();
                match incremental(&cluster, &response) {
                    Some((version, assignment)) => {
                        let _ = sender.send(Reply::Response { call, version, nonce, assignment }).await;
                    }
                    None => {
                        let _ = requests.send(request(Vec::new(), nonce, None)).await;
                    }
                }
            }
        }
    }
}

impl Transport for XdsTransport {
    type Command = Command;
    type Reply = Reply;

    fn execute(&mut self, command: Command) {
        match command {
            Command::Open { call, endpoint } => {
                self.close();
                let (answers, waiting) = mpsc::channel(QUEUE_LENGTH);
                let (sender, failed) = (self.sender.clone(), self.sender.clone());
                let channel = self.channels[endpoint % self.channels.len()].clone();
                let (cluster, node, incremental) = (self.cluster.clone(), self.node.clone(), self.delta);
                let task = spawn_local(async move {
                    let ended = if incremental {
                        delta(channel, call, (cluster, node), waiting, sender).await
                    } else {
                        world(channel, call, (cluster, node), waiting, sender).await
                    };
                    let why = ended.err().map_or_else(String::new, |status| plain(&status));
                    let _ = failed.send(Reply::Failed { call, why }).await;
                });
                self.running_stream = Some((call, task.abort_handle(), answers));
            }
            Command::Answer { call, version, nonce, refused } => {
                if let Some((running_stream, _, answers)) = &self.running_stream
                    && *running_stream == call
                {
                    let _ = answers.try_send(Answer { version, nonce, refused });
                }
            }
            Command::Leave { call } => {
                if self.running_stream.as_ref().is_some_and(|(running_stream, ..)| *running_stream == call) {
                    self.close();
                }
            }
        }
    }

    async fn next_reply(&mut self) -> Reply {
        match self.replies.recv().await {
            Some(reply) => reply,
            // Never the case: this value holds a sender.
            None => std::future::pending().await,
        }
    }
}
