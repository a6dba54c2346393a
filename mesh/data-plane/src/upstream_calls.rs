//! Calls from this machine's upstream: heartbeats, and the report that it leaves.
//!
//! A positive answer to a heartbeat that says `closing`, and to a report that the upstream leaves, promises that the instance
//! gets no new requests. The promise must outlast this process, which has no disk. So the core stores the end first, and this
//! process asks the core about each instance that it does not know before it believes the heartbeats of that instance.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::{Method, StatusCode};
use log::{info, warn};
use sloeline_admin_http::control::{Call, ControlResponse, error_response, json_response};
use tokio::task::spawn_local;
use tokio::time::sleep;

use crate::ended_upstreams::EndedUpstreamsClient;
use crate::heartbeats::{Heartbeat, ReportedCondition, is_valid_id};
use crate::receive::Receiver;

/// How long an unknown instance is not believed while the core does not answer. After that its heartbeats count, because a
/// machine may serve while the core is out of reach, and the question goes on.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time limit of each question after the first one.
const REPEATED_QUERY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between questions that the core does not answer.
const QUERY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of instances that the core is being asked about.
const MAX_OPEN_QUERIES: usize = 64;

/// The present time, in microseconds since the Unix epoch.
fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Handles the calls from this machine's upstream.
pub struct UpstreamCalls {
    /// Holds the state of the upstream.
    receiver: Rc<Receiver>,
    /// The ends of instances, stored by the core.
    ended: EndedUpstreamsClient,
    /// The newest heartbeat of each unknown instance that the core is being asked about.
    unverified: RefCell<HashMap<String, Heartbeat>>,
}

impl UpstreamCalls {
    /// Creates a handler that passes the upstream's state to `receiver`.
    pub fn new(receiver: Rc<Receiver>, ended: EndedUpstreamsClient) -> Rc<UpstreamCalls> {
        Rc::new(UpstreamCalls { receiver, ended, unverified: RefCell::default() })
    }

    /// Answers a call.
    pub async fn answer(self: Rc<Self>, call: Call) -> ControlResponse {
        if call.path != "/-/rpc" || call.method != Method::POST {
            return error_response(StatusCode::NOT_FOUND, "expected POST /-/rpc");
        }
        let id = call.target.as_deref().unwrap_or_default();
        if !is_valid_id(id) {
            let reason = format!(
                "of: found {id:?}, expected an upstream's id of 1 to 255 bytes without control characters and spaces"
            );
            return error_response(StatusCode::BAD_REQUEST, &reason);
        }
        match call.name.as_deref() {
            Some("upstreams.beat") => match Heartbeat::parse(&call.body) {
                Ok(heartbeat) => self.answer_heartbeat(id, heartbeat).await,
                Err(error) => error_response(StatusCode::BAD_REQUEST, &format!("{error:#}")),
            },
            Some("upstreams.leave") => {
                if self.receiver.with_upstream(|upstream| upstream.record_leave(id)) {
                    info!(target: "upstream", "Upstream {id} has left.");
                }
                self.acknowledge_end(id).await
            }
            _ => error_response(StatusCode::NOT_FOUND, "call: expected upstreams.beat or upstreams.leave"),
        }
    }

    /// Answers a heartbeat.
    async fn answer_heartbeat(self: Rc<Self>, id: &str, heartbeat: Heartbeat) -> ControlResponse {
        if heartbeat.status.condition == ReportedCondition::Closing {
            self.record(id, &heartbeat);
            return self.acknowledge_end(id).await;
        }
        if self.receiver.with_upstream(|upstream| upstream.knows(id)) {
            self.record(id, &heartbeat);
        } else if let Err(response) = self.verify(id, heartbeat) {
            return response;
        }
        json_response(StatusCode::OK, "{}")
    }

    /// Passes a heartbeat to the upstream's state.
    fn record(&self, id: &str, heartbeat: &Heartbeat) {
        let changed =
            self.receiver.with_upstream(|upstream| upstream.record_heartbeat(unix_micros(), id, heartbeat));
        if changed {
            info!(target: "upstream", "Upstream {id} is {:?}.", heartbeat.status.condition);
        }
    }

    /// Acknowledges the end of an instance once the core has stored it.
    async fn acknowledge_end(&self, id: &str) -> ControlResponse {
        if !self.receiver.with_upstream(|upstream| upstream.is_end_stored(id)) {
            if let Err(error) = self.ended.report_end(id).await {
                warn!(target: "upstream", "The end of upstream {id} could not be stored: {error:#}.");
                return error_response(StatusCode::SERVICE_UNAVAILABLE, &format!("{error:#}"));
            }
            self.receiver.with_upstream(|upstream| upstream.record_end_stored(id));
        }
        json_response(StatusCode::OK, "{}")
    }

    /// Keeps the heartbeat of an unknown instance until the core has said whether that instance has ended. The error is the
    /// response if there are too many such instances.
    fn verify(self: Rc<Self>, id: &str, heartbeat: Heartbeat) -> Result<(), ControlResponse> {
        let mut unverified = self.unverified.borrow_mut();
        if let Some(known) = unverified.get_mut(id) {
            if known.status.sequence < heartbeat.status.sequence {
                *known = heartbeat;
            }
            return Ok(());
        }
        if unverified.len() >= MAX_OPEN_QUERIES {
            let reason = "of: found too many unknown instances, expected one";
            return Err(error_response(StatusCode::SERVICE_UNAVAILABLE, reason));
        }
        unverified.insert(id.to_owned(), heartbeat);
        spawn_local(self.clone().query(id.to_owned()));
        Ok(())
    }

    /// Asks the core about an unknown instance, and takes up its newest heartbeat unless the instance has ended. While the core
    /// does not answer, the instance is believed after [`QUERY_TIMEOUT`] and ends later if need be.
    async fn query(self: Rc<Self>, id: String) {
        let mut answer = self.ended.has_ended(&id, QUERY_TIMEOUT).await;
        let heartbeat = self.unverified.borrow_mut().remove(&id);
        if !matches!(answer, Ok(true))
            && let Some(heartbeat) = heartbeat
        {
            self.record(&id, &heartbeat);
        }
        while answer.is_err() {
            sleep(QUERY_PAUSE).await;
            // Another instance has taken the place of this one.
            if !self.receiver.with_upstream(|upstream| upstream.knows(&id)) {
                return;
            }
            answer = self.ended.has_ended(&id, REPEATED_QUERY_TIMEOUT).await;
        }
        if matches!(answer, Ok(true)) {
            let changed = self.receiver.with_upstream(|upstream| {
                upstream.record_end_stored(&id);
                upstream.record_leave(&id)
            });
            info!(target: "upstream", "Upstream {id} had left before this process knew it.");
            if changed {
                warn!(target: "upstream", "Upstream {id} got requests while the core did not answer.");
            }
        }
    }
}
