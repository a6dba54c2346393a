//! Keyed operations as the core keeps them: claims, and claims that are taken back.

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

/// How long a claim may take in all.
pub const CLAIM: Duration = Duration::from_millis(1300);
/// How long whoever takes a claim back waits for that to be known.
const RELEASE: Duration = Duration::from_millis(600);
/// How long it is tried to take a claim back in the background.
const RELEASE_LATER: Duration = Duration::from_secs(60);
/// Most claims that wait to be taken back; the oldest are given up for those beyond.
const MOST_RELEASES: usize = 8192;
/// How long the holder of an answer is waited for.
const RECALL: Duration = Duration::from_millis(600);
/// Most connections for answers that are kept.
const MOST_HOLDERS: usize = 64;

/// A claim that is to be taken back.
struct Release {
    update: ClaimUpdate,
    until: Instant,
}

/// Claims, and answers that are kept elsewhere.
pub struct Keys {
    core: CoreClient,
    /// Claims that wait to be taken back, one after the other.
    releases: RefCell<VecDeque<Release>>,
    /// A task takes them back.
    releasing: Cell<bool>,
    /// Other balancers that were asked for answers.
    holders: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    holder: String,
}

impl Keys {
    /// No core machine is known yet; `holder` is this machine's name.
    pub fn new(holder: String) -> Rc<Keys> {
        Rc::new(Keys {
            core: CoreClient::default(),
            releases: RefCell::default(),
            releasing: Cell::new(false),
            holders: RefCell::default(),
            holder,
        })
    }

    /// The core machines, the nearest first.
    pub fn set_core(&self, addresses: &[SocketAddr]) {
        self.core.set_machines(addresses);
    }

    async fn ask(&self, update: ClaimUpdate, until: Instant) -> Result<ClaimOutcome> {
        match self.core.call(&RpcRequest::Operation(update), until).await? {
            RpcResponse::Operation(outcome) => Ok(outcome),
            _ => bail!("core: an answer to another question"),
        }
    }

    /// Claims a key for a run. With an error the run must not go, and its claim is taken back.
    pub async fn claim(self: &Rc<Self>, key: &Bytes, run: u64, within: Duration) -> Result<ClaimOutcome> {
        let claim = ClaimUpdate::Claim { key: key.clone(), run, holder: self.holder.clone() };
        let outcome = self.ask(claim, Instant::now() + within.min(CLAIM)).await;
        if outcome.is_err() {
            self.release_later(ClaimUpdate::Release { key: key.clone(), run });
        }
        outcome
    }

    /// Takes a claim back: the run never went. Waits a moment until that is known.
    pub async fn release(self: &Rc<Self>, key: &Bytes, run: u64) {
        let release = ClaimUpdate::Release { key: key.clone(), run };
        if self.ask(release.clone(), Instant::now() + RELEASE).await.is_err() {
            self.release_later(release);
        }
    }

    /// Asks a holder of an answer what came of a run.
    pub async fn recall(&self, holder: SocketAddr, key: &Bytes, run: u64) -> Result<RpcResponse> {
        let link = self.holder(holder);
        link.call(&RpcRequest::QueryRun { key: key.clone(), run }, RECALL).await
    }

    /// Gives an answer to another machine, in case this one forgets it.
    pub fn keep(&self, keeper: SocketAddr, key: Bytes, run: u64, answer: StoredResponse) {
        self.holder(keeper).notify(&RpcRequest::StoreAnswer { key, run, answer });
    }

    fn holder(&self, address: SocketAddr) -> Rc<Link> {
        let mut holders = self.holders.borrow_mut();
        if holders.len() >= MOST_HOLDERS && !holders.contains_key(&address) {
            holders.clear();
        }
        holders.entry(address).or_insert_with(|| Link::new(address)).clone()
    }

    /// Takes a claim back in the background: one call at a time, however many wait.
    fn release_later(self: &Rc<Self>, update: ClaimUpdate) {
        let mut releases = self.releases.borrow_mut();
        if releases.len() >= MOST_RELEASES {
            releases.pop_front();
        }
        releases.push_back(Release { update, until: Instant::now() + RELEASE_LATER });
        metrics::KEY_RELEASES_WAITING.set(releases.len() as u64);
        if !self.releasing.replace(true) {
            spawn_local(self.clone().take_back());
        }
    }

    async fn take_back(self: Rc<Self>) {
        loop {
            let next = self.releases.borrow_mut().pop_front();
            let Some(Release { update, until }) = next else { break };
            if let Err(why) = self.ask(update, until).await {
                debug!(target: "keys", "A claim is not taken back: {why:#}.");
            }
            metrics::KEY_RELEASES_WAITING.set(self.releases.borrow().len() as u64);
        }
        self.releasing.set(false);
    }
}
