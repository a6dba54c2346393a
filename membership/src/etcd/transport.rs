//! EtcdTransport to etcd over gRPC.

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
use super::{Command, Header, Reply};
use crate::source::Transport;

/// Maximum size of a response in bytes. A page of entries of maximum size fits.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of HTTP/2 keep-alive pings, and time limit for their answers.
const KEEP_ALIVE: Duration = Duration::from_secs(5);
/// Maximum number of queued replies. Streams wait while the queue is full.
const QUEUE_LENGTH: usize = 16;

/// Creates channels to the endpoints. They connect when they are first used, and reconnect after a failure.
pub fn channels(endpoints: &[SocketAddr]) -> Result<Vec<Channel>, String> {
    let channel = |address: &SocketAddr| {
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(|e| e.to_string())?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE)
            .keep_alive_while_idle(false);
        Ok(endpoint.connect_lazy())
    };
    endpoints.iter().map(channel).collect()
}

async fn ready(channel: Channel) -> Result<Grpc<Channel>, Status> {
    let mut grpc = Grpc::new(channel).max_decoding_message_size(MAX_RESPONSE_BYTES);
    grpc.ready().await.map_err(|e| Status::unavailable(e.to_string()))?;
    Ok(grpc)
}

/// Makes a call with one response.
pub async fn unary<Q, A>(channel: Channel, path: &'static str, message: Q) -> Result<A, Status>
where
    Q: Message + 'static,
    A: Message + Default + 'static,
{
    let codec = ProstCodec::<Q, A>::default();
    let path = PathAndQuery::from_static(path);
    Ok(ready(channel).await?.unary(Request::new(message), path, codec).await?.into_inner())
}

/// Makes a call with streams in both directions.
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

/// Formats a status in one line.
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

/// A stream of messages that ends when its sender is dropped.
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

/// Runs the calls of an etcd source.
pub struct EtcdTransport {
    channels: Vec<Channel>,
    calls: HashMap<u64, Call>,
    sender: mpsc::Sender<Reply>,
    replies: mpsc::Receiver<Reply>,
}

impl EtcdTransport {
    /// Creates a transport without running calls.
    pub fn new(endpoints: &[SocketAddr]) -> Result<EtcdTransport, String> {
        let (sender, replies) = mpsc::channel(QUEUE_LENGTH);
        Ok(EtcdTransport { channels: channels(endpoints)?, calls: HashMap::new(), sender, replies })
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
                let _ = sender.send(Reply::Failed { call, why: plain(&status), compacted }).await;
            }
        });
        self.calls.retain(|_, call| !call.task.is_finished());
        self.calls.insert(call, Call { task: task.abort_handle(), progress });
    }
}

impl Transport for EtcdTransport {
    type Command = Command;
    type Reply = Reply;

    fn execute(&mut self, command: Command) {
        let sender = self.sender.clone();
        let channel = |endpoint: usize| self.channels[endpoint % self.channels.len()].clone();
        match command {
            Command::Range { call, endpoint, from, end, revision, limit, count_only } => {
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
                    let reply = Reply::Range { call, header: header(answer.header), kvs, more: answer.more };
                    let _ = sender.send(reply).await;
                    Ok(())
                });
            }
            Command::Watch { call, endpoint, from, end, start } => {
                let (messages, outgoing) = mpsc::channel(QUEUE_LENGTH);
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
                        let reply = Reply::Watch {
                            call,
                            header: header(answer.header),
                            canceled: answer.canceled,
                            compacted: answer.compact_revision,
                            fragment: answer.fragment,
                            events: answer.events.into_iter().map(event).collect(),
                        };
                        if sender.send(reply).await.is_err() {
                            return Ok(());
                        }
                    }
                    Err(Status::unavailable("the watch ended"))
                });
            }
            Command::Progress { call } => {
                let message =
                    WatchRequest { create_request: None, progress_request: Some(WatchProgressRequest {}) };
                if let Some(progress) = self.calls.get(&call).and_then(|c| c.progress.as_ref()) {
                    let _ = progress.try_send(message);
                }
            }
            Command::Lease { call, endpoint, lease } => {
                let channel = channel(endpoint);
                self.begin(call, None, async move {
                    let answer: LeaseResponse =
                        unary(channel, path::TIME_TO_LIVE, LeaseRequest { id: lease }).await?;
                    let _ = sender.send(Reply::Lease { call, ttl: answer.ttl }).await;
                    Ok(())
                });
            }
            Command::Leave { call } => {
                self.calls.remove(&call);
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
