//! Streams to xDS servers over gRPC, one at a time.

use std::net::SocketAddr;

use prost::Message;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tonic::Status as Failure;
use tonic::transport::Channel;

use super::messages::*;
use super::{Ask, Told};
use crate::etcd::line::{Outgoing, channels, plain, streaming};
use crate::source::Line;

/// Answers that wait to be sent, and responses that wait to be taken.
const WAITING: usize = 16;
/// `INVALID_ARGUMENT`, the code of a refusal.
const INVALID: i32 = 3;

/// What is sent on a stream, in words of both ways.
struct Answer {
    version: String,
    nonce: String,
    refused: Option<String>,
}

/// The stream under way.
pub struct Stream {
    cluster: String,
    node: String,
    delta: bool,
    channels: Vec<Channel>,
    under_way: Option<(u64, AbortHandle, mpsc::Sender<Answer>)>,
    sender: mpsc::Sender<Told>,
    told: mpsc::Receiver<Told>,
}

impl Stream {
    /// None yet.
    pub fn new(cluster: &str, node: &str, delta: bool, endpoints: &[SocketAddr]) -> Result<Stream, String> {
        let (sender, told) = mpsc::channel(WAITING);
        let (cluster, node, channels) = (cluster.to_owned(), node.to_owned(), channels(endpoints)?);
        Ok(Stream { cluster, node, delta, channels, under_way: None, sender, told })
    }

    fn leave(&mut self) {
        if let Some((_, task, _)) = self.under_way.take() {
            task.abort();
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.leave();
    }
}

type Read = Result<Option<ClusterLoadAssignment>, String>;

fn read(any: &Any) -> Result<ClusterLoadAssignment, String> {
    if any.type_url != TYPE {
        return Err(format!("found a resource of type {:?}, expected {TYPE:?}", any.type_url));
    }
    ClusterLoadAssignment::decode(any.value.as_slice()).map_err(|e| e.to_string())
}

/// What a response says of the cluster; nothing where it is of other ones only.
fn state_of_the_world(cluster: &str, response: &DiscoveryResponse) -> Option<Read> {
    let mut other = false;
    for any in &response.resources {
        match read(any) {
            Ok(found) if found.cluster_name == cluster => return Some(Ok(Some(found))),
            Ok(_) => other = true,
            Err(why) => return Some(Err(why)),
        }
    }
    // Endpoint discovery may answer for some of what was asked for (xDS protocol, "grouping resources"): that a cluster is
    // not in a response is no word on it.
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
    refused.map(|message| Status { code: INVALID, message })
}

async fn world(
    channel: Channel,
    call: u64,
    (cluster, node): (String, String),
    mut answers: mpsc::Receiver<Answer>,
    sender: mpsc::Sender<Told>,
) -> Result<(), Failure> {
    let request = |version_info, response_nonce, refused| DiscoveryRequest {
        version_info,
        node: Some(Node { id: node.clone() }),
        resource_names: vec![cluster.clone()],
        type_url: TYPE.to_owned(),
        response_nonce,
        error_detail: status(refused),
    };
    let (requests, outgoing) = mpsc::channel(WAITING);
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
                        let _ = sender.send(Told::Response { call, version, nonce, assignment }).await;
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
    sender: mpsc::Sender<Told>,
) -> Result<(), Failure> {
    let request = |subscribe: Vec<String>, response_nonce, refused| DeltaDiscoveryRequest {
        node: Some(Node { id: node.clone() }),
        type_url: TYPE.to_owned(),
        resource_names_subscribe: subscribe,
        // None is claimed to be known: what comes first on a stream is the present state, for it is weighed anew.
        initial_resource_versions: std::collections::HashMap::new(),
        response_nonce,
        error_detail: status(refused),
    };
    let (requests, outgoing) = mpsc::channel(WAITING);
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
                        let _ = sender.send(Told::Response { call, version, nonce, assignment }).await;
                    }
                    None => {
                        let _ = requests.send(request(Vec::new(), nonce, None)).await;
                    }
                }
            }
        }
    }
}

impl Line for Stream {
    type Ask = Ask;
    type Told = Told;

    fn make(&mut self, ask: Ask) {
        match ask {
            Ask::Open { call, endpoint } => {
                self.leave();
                let (answers, waiting) = mpsc::channel(WAITING);
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
                    let _ = failed.send(Told::Failed { call, why }).await;
                });
                self.under_way = Some((call, task.abort_handle(), answers));
            }
            Ask::Answer { call, version, nonce, refused } => {
                if let Some((under_way, _, answers)) = &self.under_way
                    && *under_way == call
                {
                    let _ = answers.try_send(Answer { version, nonce, refused });
                }
            }
            Ask::Leave { call } => {
                if self.under_way.as_ref().is_some_and(|(under_way, ..)| *under_way == call) {
                    self.leave();
                }
            }
        }
    }

    async fn next(&mut self) -> Told {
        match self.told.recv().await {
            Some(told) => told,
            // The sender is held here.
            None => std::future::pending().await,
        }
    }
}
