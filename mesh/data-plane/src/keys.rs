//! Client for operation keys: claims and releases keys at the core, and exchanges stored responses with other balancers.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use bytes::Bytes;
use log::debug;
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate, StoredResponse};
use sloeline_rpc::link::Link;
use sloeline_rpc::{RpcRequest, RpcResponse};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::core_client::CoreClient;
use crate::metrics;

/// Time limit for claiming a key.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(1300);
/// How long a caller waits for the release of its claim before the release continues in the background.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(600);
/// How long the release of a claim is retried in the background.
const BACKGROUND_RELEASE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of pending background releases; beyond this the oldest ones are dropped.
const MAX_PENDING_RELEASES: usize = 8192;
/// Time limit for asking another balancer for the result of a run.
const RUN_RESULT_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum number of open connections to other balancers for stored responses.
const MAX_BALANCER_LINKS: usize = 64;

/// A pending background release of a claim.
struct PendingRelease {
    /// The release to send to the core.
    update: ClaimUpdate,
    /// When the release is abandoned; the claim then ends with its window.
    deadline: Instant,
}

/// Claims and releases operation keys at the core, and exchanges stored responses with other balancers.
pub struct KeyClient {
    /// Sends claims and releases to the core machines.
    core: Rc<CoreClient>,
    /// Claims to release in the background, oldest first.
    pending_releases: RefCell<VecDeque<PendingRelease>>,
    /// Whether the background task that releases claims is running.
    releasing: Cell<bool>,
    /// Connections to other balancers for stored responses, by address.
    balancer_links: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    /// Name of this machine.
    holder: String,
}

impl KeyClient {
    /// Creates a client that knows no core machine yet; `holder` is the name of this machine.
    pub fn new(holder: String) -> Rc<KeyClient> {
        Rc::new(KeyClient {
            core: Rc::default(),
            pending_releases: RefCell::default(),
            releasing: Cell::new(false),
            balancer_links: RefCell::default(),
            holder,
        })
    }

    /// Whether no claim is to be released in the background.
    pub fn is_idle(&self) -> bool {
        !self.releasing.get()
    }

    /// The client for calls to the core machines.
    pub fn core(&self) -> Rc<CoreClient> {
        self.core.clone()
    }

    /// Sets the addresses of the core machines, nearest first.
    pub fn set_core_machines(&self, addresses: &[SocketAddr]) {
        self.core.set_machines(addresses);
    }

    /// Sends a claim update to the core and waits for its outcome until the deadline.
    async fn ask(&self, update: ClaimUpdate, deadline: Instant) -> Result<ClaimOutcome> {
        match self.core.call(&RpcRequest::Operation(update), deadline).await? {
            RpcResponse::Operation(outcome) => Ok(outcome),
            _ => bail!("core: unexpected type of response"),
        }
    }

    /// Claims a key for a run. After an error the run must not start, and the claim is released in the background, because
    /// the core may have granted it.
    pub async fn claim(self: &Rc<Self>, key: &Bytes, run: u64, timeout: Duration) -> Result<ClaimOutcome> {
        let claim = ClaimUpdate::Claim { key: key.clone(), run, holder: self.holder.clone() };
        let outcome = self.ask(claim, Instant::now() + timeout.min(CLAIM_TIMEOUT)).await;
        if outcome.is_err() {
            self.release_in_background(ClaimUpdate::Release { key: key.clone(), run });
        }
        outcome
    }

    /// Releases the claim of a run that never started. Waits a short time for the core, then continues in the
    /// background.
    pub async fn release(self: &Rc<Self>, key: &Bytes, run: u64) {
        let release = ClaimUpdate::Release { key: key.clone(), run };
        if self.ask(release.clone(), Instant::now() + RELEASE_TIMEOUT).await.is_err() {
            self.release_in_background(release);
        }
    }

    /// Asks another balancer for the result of a run.
    pub async fn run_result(&self, balancer: SocketAddr, key: &Bytes, run: u64) -> Result<RpcResponse> {
        let link = self.link(balancer);
        link.call(&RpcRequest::QueryRun { key: key.clone(), run }, RUN_RESULT_TIMEOUT).await
    }

    /// Sends a replica of a response to another balancer, in case this one loses it.
    pub fn store_replica(&self, balancer: SocketAddr, key: Bytes, run: u64, answer: StoredResponse) {
        self.link(balancer).notify(&RpcRequest::StoreAnswer { key, run, answer });
    }

    /// The connection to another balancer; a new one is opened if there is none.
    fn link(&self, address: SocketAddr) -> Rc<Link> {
        let mut links = self.balancer_links.borrow_mut();
        if links.len() >= MAX_BALANCER_LINKS && !links.contains_key(&address) {
            links.clear();
        }
        links.entry(address).or_insert_with(|| Link::new(address)).clone()
    }

    /// Releases a claim in the background. There is one call to the core at a time, however many releases are pending.
    fn release_in_background(self: &Rc<Self>, update: ClaimUpdate) {
        let mut releases = self.pending_releases.borrow_mut();
        if releases.len() >= MAX_PENDING_RELEASES {
            releases.pop_front();
        }
        releases.push_back(PendingRelease { update, deadline: Instant::now() + BACKGROUND_RELEASE_TIMEOUT });
        metrics::KEY_RELEASES_WAITING.set(releases.len() as u64);
        if !self.releasing.replace(true) {
            spawn_local(self.clone().run_releases());
        }
    }

    /// Sends the pending releases one at a time until none is left.
    async fn run_releases(self: Rc<Self>) {
        loop {
            let next = self.pending_releases.borrow_mut().pop_front();
            let Some(PendingRelease { update, deadline }) = next else { break };
            if let Err(error) = self.ask(update, deadline).await {
                debug!(target: "keys", "A claim could not be released: {error:#}.");
            }
            metrics::KEY_RELEASES_WAITING.set(self.pending_releases.borrow().len() as u64);
        }
        self.releasing.set(false);
    }
}
