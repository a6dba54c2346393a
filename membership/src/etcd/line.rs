//! Calls to etcd over gRPC.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use prost::Message;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio_stream::Stream;
use tonic::client::Grpc;
use tonic::codegen::http::uri::PathAndQuery;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Status, Streaming};
use tonic_prost::ProstCodec;

use super::messages::*;
use super::{Ask, Header, Told};
use crate::source::Line;

/// Most bytes of an answer: a page of entries of the greatest length.
const MOST_ANSWER: usize = 16 << 20;
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_secs(2);
/// Silent connections are tried this often, and left after as long without an answer.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Answers that wait for the machine; a stream that brings more waits itself.
const WAITING: usize = 16;

/// Channels to the endpoints; they connect when first used, and again after a break.
pub fn channels(endpoints: &[SocketAddr]) -> Result<Vec<Channel>, String> {
    let channel = |address: &SocketAddr| {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(|e| e.to_string())?;
        let endpoint = endpoint
            .connect_timeout(CONNECT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(false);
        Ok(endpoint.connect_lazy())
    };
    endpoints.iter().map(channel).collect()
}

async fn ready(channel: Channel) -> Result<Grpc<Channel>, Status> {
    let mut grpc = Grpc::new(channel).max_decoding_message_size(MOST_ANSWER);
    grpc.ready().await.map_err(|e| Status::unavailable(e.to_string()))?;
    Ok(grpc)
}

/// A call with one answer.
pub async fn unary<Q, A>(channel: Channel, path: &'static str, message: Q) -> Result<A, Status>
where
    Q: Message + 'static,
    A: Message + Default + 'static,
{
    let codec = ProstCodec::<Q, A>::default();
    let path = PathAndQuery::from_static(path);
    Ok(ready(channel).await?.unary(Request::new(message), path, codec).await?.into_inner())
}

/// A call with streams both ways.
pub async fn streaming<Q, A>(
    channel: Channel,
    path: &'static str,
    messages: impl Stream<Item = Q> + Send + 'static,
) -> Result<Streaming<A>, Status>
where
    Q: Message + 'static,
    A: Message + Default + 'static,
{
    let codec = ProstCodec::<Q, A>::default();
    let path = PathAndQuery::from_static(path);
    Ok(ready(channel).await?.streaming(Request::new(messages), path, codec).await?.into_inner())
}

/// What a status says, in one line.
pub fn plain(status: &Status) -> String {
    format!("{:?}: {}", status.code(), status.message())
}

fn header(header: Option<ResponseHeader>) -> Header {
    let header = header.unwrap_or_default();
    Header { cluster: header.cluster_id, revision: header.revision }
}

fn pair(kv: KeyValue) -> super::KeyValue {
    let KeyValue { key, create_revision: made, mod_revision: written, value, lease, .. } = kv;
    super::KeyValue { key, value, written, made, lease }
}

fn event(event: Event) -> super::Event {
    let now = pair(event.kv.unwrap_or_default());
    super::Event { deleted: event.kind == 1, now, before: event.prev_kv.map(pair) }
}

/// A message stream that ends when its sender goes.
pub struct Outgoing<T>(pub mpsc::Receiver<T>);

impl<T> Stream for Outgoing<T> {
    type Item = T;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<T>> {
        self.0.poll_recv(context)
    }
}

struct Call {
    task: AbortHandle,
    progress: Option<mpsc::Sender<WatchRequest>>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Calls under way.
pub struct Calls {
    channels: Vec<Channel>,
    calls: HashMap<u64, Call>,
    sender: mpsc::Sender<Told>,
    told: mpsc::Receiver<Told>,
}

impl Calls {
    /// None yet.
    pub fn new(endpoints: &[SocketAddr]) -> Result<Calls, String> {
        let (sender, told) = mpsc::channel(WAITING);
        Ok(Calls { channels: channels(endpoints)?, calls: HashMap::new(), sender, told })
    }

    fn begin(
        &mut self,
        call: u64,
        progress: Option<mpsc::Sender<WatchRequest>>,
        made: impl Future<Output = Result<(), Status>> + 'static,
    ) {
        let sender = self.sender.clone();
        let task = spawn_local(async move {
            if let Err(status) = made.await {
                let compacted = status.code() == Code::OutOfRange;
                let _ = sender.send(Told::Failed { call, why: plain(&status), compacted }).await;
            }
        });
        self.calls.retain(|_, call| !call.task.is_finished());
        self.calls.insert(call, Call { task: task.abort_handle(), progress });
    }
}

impl Line for Calls {
    type Ask = Ask;
    type Told = Told;

    fn make(&mut self, ask: Ask) {
        let sender = self.sender.clone();
        let channel = |endpoint: usize| self.channels[endpoint % self.channels.len()].clone();
        match ask {
            Ask::Range { call, endpoint, from, end, revision, limit, count_only } => {
                let message = RangeRequest {
                    key: from,
                    range_end: end,
                    limit,
                    revision,
                    serializable: false,
                    count_only,
                };
                let channel = channel(endpoint);
                self.begin(call, None, async move {
                    let answer: RangeResponse = unary(channel, path::RANGE, message).await?;
                    let kvs = answer.kvs.into_iter().map(pair).collect();
                    let told = Told::Range { call, header: header(answer.header), kvs, more: answer.more };
                    let _ = sender.send(told).await;
                    Ok(())
                });
            }
            Ask::Watch { call, endpoint, from, end, start } => {
                let (messages, outgoing) = mpsc::channel(WAITING);
                let create = WatchCreateRequest {
                    key: from,
                    range_end: end,
                    start_revision: start,
                    progress_notify: true,
                    prev_kv: true,
                    fragment: true,
                };
                let _ =
                    messages.try_send(WatchRequest { create_request: Some(create), progress_request: None });
                let channel = channel(endpoint);
                self.begin(call, Some(messages), async move {
                    let mut answers: Streaming<WatchResponse> =
                        streaming(channel, path::WATCH, Outgoing(outgoing)).await?;
                    while let Some(answer) = answers.message().await? {
                        let told = Told::Watch {
                            call,
                            header: header(answer.header),
                            canceled: answer.canceled,
                            compacted: answer.compact_revision,
                            fragment: answer.fragment,
                            events: answer.events.into_iter().map(event).collect(),
                        };
                        if sender.send(told).await.is_err() {
                            return Ok(());
                        }
                    }
                    Err(Status::unavailable("the watch ended"))
                });
            }
            Ask::Progress { call } => {
                let message =
                    WatchRequest { create_request: None, progress_request: Some(WatchProgressRequest {}) };
                if let Some(progress) = self.calls.get(&call).and_then(|c| c.progress.as_ref()) {
                    let _ = progress.try_send(message);
                }
            }
            Ask::Lease { call, endpoint, lease } => {
                let channel = channel(endpoint);
                self.begin(call, None, async move {
                    let answer: LeaseResponse =
                        unary(channel, path::TIME_TO_LIVE, LeaseRequest { id: lease }).await?;
                    let _ = sender.send(Told::Lease { call, ttl: answer.ttl }).await;
                    Ok(())
                });
            }
            Ask::Leave { call } => {
                self.calls.remove(&call);
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
