//! Keyed requests: the claim of the key, the run, and the answers to repeats.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use log::debug;
use sloeline_discovery::rendezvous::top_candidates;
use sloeline_http::frontend::{ClientResponse, text_response};
use sloeline_http::payload::Payload;
use sloeline_http::upstream::Reply;
use sloeline_idempotency::{ClaimOutcome, RunState, StoredResponse};
use sloeline_rpc::RpcResponse;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::request::ForwardRequest;
use super::{Receiver, RunResult};
use crate::responses::{collect, forwarded, not_run, replay};

/// Number of other balancers that are asked for a stored response if the claim holder has lost it. The first of them gets a
/// replica of each response.
const REPLICA_CANDIDATES: usize = 2;

/// Counts a keyed request while it is being handled.
struct KeyedRequestCount(Rc<Cell<usize>>);

impl KeyedRequestCount {
    /// Adds a request to a count. Dropping the returned value removes it.
    fn new(count: &Rc<Cell<usize>>) -> KeyedRequestCount {
        count.set(count.get() + 1);
        KeyedRequestCount(count.clone())
    }
}

impl Drop for KeyedRequestCount {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Receiver {
    /// Forwards a keyed request, which continues even if the sender disconnects.
    pub(super) async fn forward_keyed_to_end(
        self: Rc<Self>,
        request: ForwardRequest,
        key: Bytes,
    ) -> ClientResponse {
        let (sender, response) = oneshot::channel();
        let counted = KeyedRequestCount::new(&self.keyed_requests);
        spawn_local(async move {
            let _counted = counted;
            let response = self.forward_keyed(request, key).await;
            let _ = sender.send(response);
        });
        response.await.unwrap_or_else(|_| text_response(StatusCode::BAD_GATEWAY, "the run broke off"))
    }

    /// State of a run that an earlier request has started on this machine, if it is known here.
    fn known_run(&self, key: &Bytes, run: u64) -> Option<RpcResponse> {
        match self.ledger.borrow().get(key) {
            Some((known, state)) if *known == run => Some(match state {
                RunState::Running => RpcResponse::RunInProgress,
                RunState::Finished(response) => RpcResponse::RunFinished(response.clone()),
            }),
            _ if self.ledger.borrow().is_claiming(run) => Some(RpcResponse::RunInProgress),
            _ => None,
        }
    }

    /// Answers another balancer's question about the result of a run.
    pub fn run_result(&self, key: &Bytes, run: u64) -> RpcResponse {
        self.known_run(key, run)
            .unwrap_or_else(|| RpcResponse::Unavailable("this run is not known here".to_owned()))
    }

    /// Addresses of the balancers that store replicas of a holder's responses in case it loses them: balancers of its own
    /// zone, selected by rendezvous hashing.
    fn replica_holders(&self, holder: &str) -> Vec<SocketAddr> {
        let records = self.exchange.view().records();
        let Some(zone) = records.get(holder).map(|r| r.zone.as_str()) else { return Vec::new() };
        let same_zone = records.values().filter(|r| !r.is_core && r.zone == zone).map(|r| r.source.as_str());
        let candidates = top_candidates(holder, same_zone, REPLICA_CANDIDATES);
        candidates.iter().filter_map(|name| records.get(*name)).map(|r| r.mesh_address).collect()
    }

    /// Stores a replica of a response for the machine that holds the claim.
    pub fn store_replica(&self, key: &Bytes, run: u64, response: StoredResponse) {
        self.ledger.borrow_mut().store_replica(self.now() / 1000, key, run, response);
    }

    /// Responds to a repeat of a keyed request, with the first response if it can still be found.
    async fn answer_repeat(
        &self,
        key: &Bytes,
        run: u64,
        holder: &str,
        try_id: Option<HeaderValue>,
    ) -> ClientResponse {
        let own = self.exchange.local_record();
        let mut result = self.known_run(key, run);
        let mut holders = Vec::new();
        if own.source != holder {
            holders.extend(self.exchange.view().records().get(holder).map(|r| r.mesh_address));
        }
        holders.extend(self.replica_holders(holder));
        for address in holders.into_iter().filter(|address| *address != own.mesh_address) {
            if matches!(result, Some(RpcResponse::RunInProgress | RpcResponse::RunFinished(Some(_)))) {
                break;
            }
            result = self.keys.run_result(address, key, run).await.ok();
        }
        match result {
            Some(RpcResponse::RunInProgress) => text_response(StatusCode::CONFLICT, "this key is at work"),
            Some(RpcResponse::RunFinished(Some(response))) => replay(response, try_id),
            _ => {
                debug!(target: "repeat", "The stored response of a run on {holder} is lost.");
                text_response(StatusCode::BAD_GATEWAY, "it ran or may have run, and its answer is lost")
            }
        }
    }

    /// Forwards a keyed request if its key can be claimed; otherwise it is answered as a repeat.
    async fn forward_keyed(self: Rc<Self>, request: ForwardRequest, key: Bytes) -> ClientResponse {
        let known = self.ledger.borrow().get(&key).map(|(run, _)| *run);
        if let Some(run) = known {
            let own = self.exchange.local_record().source;
            return self.answer_repeat(&key, run, &own, request.try_id).await;
        }
        let run = fastrand::u64(1..);
        self.ledger.borrow_mut().begin_claim(run);
        let time_left = Duration::from_micros(request.deadline.saturating_sub(self.now()));
        match self.keys.claim(&key, run, time_left / 2).await {
            Ok(ClaimOutcome::Granted) => self.ledger.borrow_mut().start(self.now() / 1000, &key, run),
            Ok(ClaimOutcome::Held { run: first, holder }) => {
                self.ledger.borrow_mut().end_claim(run);
                return self.answer_repeat(&key, first, &holder, request.try_id).await;
            }
            Err(error) => {
                debug!(target: "keys", "An operation key could not be claimed: {error:#}.");
                self.ledger.borrow_mut().end_claim(run);
                return not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "the key could not be claimed",
                    Some(250_000),
                );
            }
        }
        let result = match self.acquire_permit(request.arrival, request.arrived_at).await {
            Ok(permit) => self.run(&request, permit).await,
            Err(response) => RunResult::NotRun(response),
        };
        match result {
            RunResult::NotRun(response) => {
                self.keys.release(&key, run).await;
                self.ledger.borrow_mut().remove_run(&key, run);
                response
            }
            RunResult::Unknown(response) => {
                self.ledger.borrow_mut().finish(&key, run, None);
                response
            }
            // A response that is larger than any that is stored is passed on as it comes.
            RunResult::Responded(Reply { status, headers, body: Payload::Streaming(mut body) }) => {
                let (receiver, key) = (self.clone(), key.clone());
                body.on_end(move |_| receiver.ledger.borrow_mut().finish(&key, run, None));
                forwarded(Reply { status, headers, body: Payload::Streaming(body) })
            }
            RunResult::Responded(reply) => {
                let (response, stored) = match collect(reply).await {
                    Ok(whole) => whole,
                    Err(response) => (response, None),
                };
                let own = self.exchange.local_record().source;
                if let (Some(response), Some(replica_holder)) = (&stored, self.replica_holders(&own).first())
                {
                    self.keys.store_replica(*replica_holder, key.clone(), run, response.clone());
                }
                self.ledger.borrow_mut().finish(&key, run, stored);
                response
            }
        }
    }
}
