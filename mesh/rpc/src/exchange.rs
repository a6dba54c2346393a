//! Exchange of discovery records and configurations between processes: the local view, how it is kept up to date by pulling
//! from a few peers, and how pulls of other processes are answered.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use sloeline_config_transfer::{Fetcher, PieceAnswer, PieceRequest, Progress, Source};
use sloeline_discovery::{Config, CoreList, MeshState, Pull, PullResponse, Record, Version};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::link::Link;
use crate::metrics;
use crate::offers::Offers;
use crate::{RpcRequest, RpcResponse};

/// Maximum time for which a pull without updates is held, whatever its sender requests.
const MAX_HOLD: Duration = Duration::from_secs(10);
/// How long a caller waits for a response beyond the requested hold.
const RESPONSE_GRACE: Duration = Duration::from_millis(2000);
/// Pause after a failed pull.
const FAILED_PULL_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a pull that was answered by a core machine out of contact with a majority. It is short because the machine
/// has already waited for contact itself.
const OUT_OF_CONTACT_PAUSE: Duration = Duration::from_millis(50);
/// Maximum time for the response with one piece of a configuration. After a timeout only this piece is requested again; the
/// pieces received before are kept.
const PIECE_TIMEOUT: Duration = Duration::from_millis(1000);

/// The local view of records, configuration and core list, and its synchronization with peers.
pub struct Exchange {
    /// The local view.
    mesh_state: RefCell<MeshState>,
    /// The record of this process.
    local_record: RefCell<Record>,
    /// Answers the piece requests of other processes.
    source: RefCell<Source>,
    /// Fetches newer configurations from peers.
    fetcher: RefCell<Fetcher>,
    /// The peers that offer a newer configuration.
    offers: RefCell<Offers>,
    /// Whether a task is running that fetches offered configurations.
    fetching: Cell<bool>,
    /// Incremented with each change of the view.
    view_changes: watch::Sender<u64>,
    /// Incremented with each change of the local record.
    local_changes: watch::Sender<u64>,
}

impl Exchange {
    /// Creates an exchange whose view contains only the record of this process.
    pub fn new(local_record: Record) -> Rc<Exchange> {
        let mut mesh_state = MeshState::default();
        mesh_state.merge(vec![local_record.clone()]);
        Rc::new(Exchange {
            mesh_state: RefCell::new(mesh_state),
            local_record: RefCell::new(local_record),
            source: RefCell::default(),
            fetcher: RefCell::default(),
            offers: RefCell::default(),
            fetching: Cell::new(false),
            view_changes: watch::Sender::new(0),
            local_changes: watch::Sender::new(0),
        })
    }

    /// Subscribes to changes of the view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.view_changes.subscribe()
    }

    /// Borrows the local view of records, configuration and core list.
    pub fn view(&self) -> std::cell::Ref<'_, MeshState> {
        self.mesh_state.borrow()
    }

    /// Returns the record of this process.
    pub fn local_record(&self) -> Record {
        self.local_record.borrow().clone()
    }

    /// Changes the record of this process and sends it to the peers that this process follows. If `change` leaves the record
    /// as it is, nothing is sent.
    pub fn update_local_record(&self, change: impl FnOnce(&mut Record)) {
        let record = {
            let mut local = self.local_record.borrow_mut();
            let before = local.clone();
            change(&mut local);
            if *local == before {
                return;
            }
            local.version.revision += 1;
            local.clone()
        };
        self.merge_records(vec![record]);
        self.local_changes.send_modify(|n| *n += 1);
    }

    /// Merges records into the view. Received records of this process are ignored, except that one with a higher incarnation
    /// makes the local record take the next incarnation.
    fn merge_records(&self, records: Vec<Record>) {
        let me = self.local_record.borrow().source.clone();
        let known = records.iter().filter(|record| record.source == me).map(|record| record.version).max();
        self.replace_newer_incarnation(known);
        let accepted = records
            .into_iter()
            .filter(|record| record.source != me || *record == *self.local_record.borrow());
        let changed = self.mesh_state.borrow_mut().merge(accepted.collect());
        if !changed.is_empty() {
            self.view_changes.send_modify(|n| *n += 1);
        }
    }

    /// Makes the local record take the next incarnation if a peer knows this process in a later one than its own, which happens
    /// when the clock was set back before the start. The record then replaces the old one everywhere.
    fn replace_newer_incarnation(&self, known: Option<Version>) {
        let local = {
            let mut local = self.local_record.borrow_mut();
            let Some(known) = known.filter(|known| known.incarnation > local.version.incarnation) else {
                return;
            };
            local.version = Version { incarnation: known.incarnation.saturating_add(1), revision: 1 };
            local.clone()
        };
        self.mesh_state.borrow_mut().merge(vec![local]);
        self.local_changes.send_modify(|n| *n += 1);
    }

    /// Adds a committed configuration to the view, unless the view has one that is at least as new.
    pub fn apply_config(&self, config: Config) {
        let version = config.edition;
        if self.mesh_state.borrow_mut().update_config(config) {
            metrics::CONFIGURATION_VERSION.set(version.into());
            if let Some(config) = self.mesh_state.borrow().config() {
                self.source.borrow_mut().add(config.clone());
                self.fetcher.borrow_mut().set_held(config);
            }
            self.view_changes.send_modify(|n| *n += 1);
        }
    }

    /// Adds a list of the active core machines to the view, unless the view has one that is at least as new.
    pub fn apply_core_list(&self, core: CoreList) {
        if self.mesh_state.borrow_mut().update_core_list(core) {
            self.view_changes.send_modify(|n| *n += 1);
        }
    }

    /// Builds a pull for everything that the view lacks. `pushed` are records sent along, and `offered` is the highest
    /// configuration version that the peer has already offered.
    fn pull_request(&self, pushed: Vec<Record>, hold: Duration, offered: Option<u32>) -> Pull {
        let mesh_state = self.mesh_state.borrow();
        Pull {
            source: self.local_record.borrow().source.clone(),
            vector: mesh_state.vector(),
            config_version: mesh_state.config().map(|config| config.edition),
            offered_version: offered,
            core_round: mesh_state.core_list().map(|core| core.round),
            pushed_records: pushed,
            max_hold_ms: hold.as_millis() as u64,
        }
    }

    /// Merges the answer to a pull into the view.
    fn apply_updates(self: &Rc<Self>, response: PullResponse, from: &Rc<Link>) {
        self.replace_newer_incarnation(response.requester_version);
        if let Some(version) = response.offered_version {
            self.handle_offer(version, from);
        }
        if let Some(core) = response.core_list {
            self.apply_core_list(core);
        }
        self.merge_records(response.records);
    }

    /// Records that a peer offers a configuration version, and starts to fetch it. Core machines ignore offers, because they
    /// receive configurations through the chain.
    fn handle_offer(self: &Rc<Self>, version: u32, from: &Rc<Link>) {
        if self.local_record.borrow().is_core {
            return;
        }
        self.offers.borrow_mut().add(from, version);
        if !self.fetching.replace(true) {
            spawn_local(self.clone().fetch_offered());
        }
    }

    /// Fetches offered configurations piece by piece, from one peer at a time, until no offer is newer than the view.
    async fn fetch_offered(self: Rc<Self>) {
        loop {
            let held = self.mesh_state.borrow().config().map(|config| config.edition);
            let best = self.offers.borrow_mut().best(held);
            let Some(link) = best else { break };
            let request = self.fetcher.borrow().next_request();
            match link.call(&RpcRequest::ConfigPiece(request), PIECE_TIMEOUT).await {
                Ok(RpcResponse::ConfigPiece(answer)) => self.handle_piece(answer, &link),
                _ => {
                    self.fetcher.borrow_mut().handle_loss();
                    self.offers.borrow_mut().defer(&link);
                    sleep(FAILED_PULL_PAUSE).await;
                }
            }
        }
        self.fetching.set(false);
    }

    /// Handles the answer to a piece request.
    fn handle_piece(&self, answer: PieceAnswer, from: &Rc<Link>) {
        let progress = self.fetcher.borrow_mut().handle_answer(answer);
        match progress {
            Ok(Progress::Incomplete) => {}
            Ok(Progress::Complete(config)) => self.apply_config(config),
            Ok(Progress::NothingNewer) => self.offers.borrow_mut().withdraw(from),
            Err(error) => {
                warn!(target: "config", "A piece from {} was refused: {error:#}.", from.address());
                self.offers.borrow_mut().defer(from);
            }
        }
    }

    /// Answers a request for a piece of a configuration. A process that is out of contact with a majority may answer too:
    /// every configuration in the view was committed, and no process replaces its configuration with an older one.
    pub fn config_piece(&self, request: &PieceRequest) -> PieceAnswer {
        self.source.borrow_mut().answer(request)
    }

    /// Removes all records for which `is_gone` returns true from the view.
    pub fn remove_records(&self, is_gone: impl Fn(&Record) -> bool) {
        self.mesh_state.borrow_mut().remove_where(is_gone);
    }

    /// Merges records that another process has pushed into the view.
    pub fn apply_records(&self, records: Vec<Record>) {
        self.merge_records(records);
    }

    /// Answers a pull as soon as there are updates for its sender, at the latest when its hold ends.
    pub async fn answer_pull(&self, mut pull: Pull) -> PullResponse {
        self.merge_records(std::mem::take(&mut pull.pushed_records));
        let deadline = Instant::now() + Duration::from_millis(pull.max_hold_ms).min(MAX_HOLD);
        let mut changes = self.view_changes.subscribe();
        loop {
            changes.mark_unchanged();
            let response = self.mesh_state.borrow().response_to(&pull);
            if !response.is_empty() || Instant::now() >= deadline {
                return response;
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep_until(deadline) => {}
            }
        }
    }

    /// Answers whether the view has the given digest: with [`RpcResponse::Done`] if so, else with
    /// [`RpcResponse::Unavailable`].
    pub fn compare_digest(&self, digest: u64) -> RpcResponse {
        match self.mesh_state.borrow().digest() == digest {
            true => RpcResponse::Done,
            false => RpcResponse::Unavailable("something else is known here".to_owned()),
        }
    }

    /// Compares digests with a peer at a fixed interval, and pulls from it only if they differ. Meant for every peer but the
    /// first: most of what these peers know has already been received from the first.
    pub fn poll(self: &Rc<Self>, address: SocketAddr, interval: Duration) -> PeerSync {
        let last_contact = Rc::new(Cell::new(None));
        let task =
            spawn_local(self.clone().poll_peer(address, interval, last_contact.clone())).abort_handle();
        PeerSync { task, last_contact, hold: None }
    }

    /// The task of [`Exchange::poll`]; never returns.
    async fn poll_peer(
        self: Rc<Self>,
        address: SocketAddr,
        interval: Duration,
        last_contact: Rc<Cell<Option<Instant>>>,
    ) {
        let link = Link::new(address);
        let mut first = true;
        let mut offered = None;
        loop {
            let digest = self.mesh_state.borrow().digest();
            let same = !first
                && matches!(
                    link.call(&RpcRequest::CompareDigest { digest }, RESPONSE_GRACE).await,
                    Ok(RpcResponse::Done)
                );
            if same {
                last_contact.set(Some(Instant::now()));
            } else {
                first = false;
                let pull = self.pull_request(vec![self.local_record()], Duration::ZERO, offered);
                let answer = link.call(&RpcRequest::Pull(pull), RESPONSE_GRACE).await;
                count_pull(&answer);
                if let Ok(RpcResponse::Updates(response)) = answer {
                    last_contact.set((!response.out_of_contact).then(Instant::now));
                    offered = offered.max(response.offered_version);
                    self.apply_updates(response, &link);
                }
            }
            // Until the peer has answered once, it is polled more often, because a process that has just started waits for the
            // first answer.
            sleep(if last_contact.get().is_some() { interval } else { interval.min(FAILED_PULL_PAUSE / 2) })
                .await;
        }
    }

    /// Pulls from a peer continuously. The peer holds each pull for up to `hold` until it has updates.
    pub fn follow(self: &Rc<Self>, address: SocketAddr, hold: Duration) -> PeerSync {
        let last_contact = Rc::new(Cell::new(None));
        let task = spawn_local(self.clone().follow_peer(address, hold, last_contact.clone())).abort_handle();
        PeerSync { task, last_contact, hold: Some(hold) }
    }

    /// The task of [`Exchange::follow`]; never returns.
    async fn follow_peer(
        self: Rc<Self>,
        address: SocketAddr,
        hold: Duration,
        last_contact: Rc<Cell<Option<Instant>>>,
    ) {
        let link = Link::new(address);
        // The version of the local record that the peer has confirmed.
        let mut confirmed: Option<Version> = None;
        let mut offered = None;
        let mut local_changes = self.local_changes.subscribe();
        // The first pull is not held, because a process that has just started waits for its answer.
        let mut next_hold = Duration::ZERO;
        loop {
            local_changes.mark_unchanged();
            let local = self.local_record();
            let pushed = if confirmed == Some(local.version) { Vec::new() } else { vec![local.clone()] };
            let request = RpcRequest::Pull(self.pull_request(pushed, next_hold, offered));
            let mut call = std::pin::pin!(link.call(&request, next_hold + RESPONSE_GRACE));
            let answer = loop {
                tokio::select! {
                    answer = &mut call => break answer,
                    // A change of the local record is sent at once instead of with the next pull.
                    _ = local_changes.changed() => link.notify(&RpcRequest::PushRecords(vec![self.local_record()])),
                }
            };
            count_pull(&answer);
            match answer {
                Ok(RpcResponse::Updates(response)) => {
                    let out_of_contact = response.out_of_contact;
                    last_contact.set((!out_of_contact).then(Instant::now));
                    confirmed = response.requester_version;
                    offered = offered.max(response.offered_version);
                    next_hold = if out_of_contact { Duration::ZERO } else { hold };
                    self.apply_updates(response, &link);
                    if out_of_contact {
                        sleep(OUT_OF_CONTACT_PAUSE).await;
                    }
                }
                _ => {
                    confirmed = None;
                    next_hold = Duration::ZERO;
                    sleep(FAILED_PULL_PAUSE).await;
                }
            }
        }
    }
}

/// Counts the result of a pull in the metrics.
fn count_pull(answer: &anyhow::Result<RpcResponse>) {
    match answer {
        Ok(RpcResponse::Updates(response)) if response.out_of_contact => {
            metrics::PULLS_OUT_OF_CONTACT.increment()
        }
        Ok(RpcResponse::Updates(_)) => metrics::PULLS_ANSWERED.increment(),
        _ => metrics::PULLS_FAILED.increment(),
    }
}

/// The synchronization with one peer. It ends when this value is dropped.
pub struct PeerSync {
    /// The task that pulls from the peer.
    task: AbortHandle,
    /// Time of the last answer; `None` if there was none yet, or if the last pull was answered by a core machine out of contact
    /// with a majority.
    last_contact: Rc<Cell<Option<Instant>>>,
    /// How long the peer holds each pull; `None` if the peer is polled.
    hold: Option<Duration>,
}

impl PeerSync {
    /// How long the peer holds each pull; `None` if the peer is polled with [`Exchange::poll`].
    pub fn hold(&self) -> Option<Duration> {
        self.hold
    }

    /// Time of the peer's last answer; `None` if there was none yet, or if the last pull was answered by a core machine out of
    /// contact with a majority.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact.get()
    }
}

impl Drop for PeerSync {
    fn drop(&mut self) {
        self.task.abort();
    }
}
