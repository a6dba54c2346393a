//! What a process knows of all others, how it follows a few of them, and what it answers those that follow it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use log::warn;
use sloeline_config_transfer::{Fetch, PieceAnswer, PieceRequest, Progress, Source};
use sloeline_discovery::{Config, CoreList, MeshState, Pull, PullResponse, Record, Version};
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

use crate::link::Link;
use crate::metrics;
use crate::offers::Offers;
use crate::{RpcRequest, RpcResponse};

/// Longest that a pull is held for want of news, whatever it asks.
const MOST_HOLD: Duration = Duration::from_secs(10);
/// An answer may come so much later than the hold ends.
const LATE: Duration = Duration::from_millis(2000);
/// Pause after a pull that failed.
const PAUSE: Duration = Duration::from_millis(200);
/// Pause after a pull from a machine of the core that is out of contact: it has waited a moment itself.
const OUT_OF_CONTACT: Duration = Duration::from_millis(50);
/// How long a piece of a configuration may take. One that does not come costs the piece, not what has arrived before.
const PIECE_WITHIN: Duration = Duration::from_millis(1000);

/// What is known here.
pub struct Exchange {
    board: RefCell<MeshState>,
    own: RefCell<Record>,
    /// Configurations as they are handed on.
    source: RefCell<Source>,
    /// A configuration as it arrives.
    fetch: RefCell<Fetch>,
    offers: RefCell<Offers>,
    /// A task fetches what is offered.
    fetching: Cell<bool>,
    /// Counts up with everything that is new here.
    changed: watch::Sender<u64>,
    /// Counts up with every change of the own record.
    announced: watch::Sender<u64>,
}

impl Exchange {
    /// Nothing is known but the own record.
    pub fn new(own: Record) -> Rc<Exchange> {
        let mut board = MeshState::default();
        board.merge(vec![own.clone()]);
        Rc::new(Exchange {
            board: RefCell::new(board),
            own: RefCell::new(own),
            source: RefCell::default(),
            fetch: RefCell::default(),
            offers: RefCell::default(),
            fetching: Cell::new(false),
            changed: watch::Sender::new(0),
            announced: watch::Sender::new(0),
        })
    }

    /// Tells of every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// What is known.
    pub fn view(&self) -> std::cell::Ref<'_, MeshState> {
        self.board.borrow()
    }

    /// The own record.
    pub fn local_record(&self) -> Record {
        self.own.borrow().clone()
    }

    /// Changes the own record and tells those that are followed.
    pub fn update_local_record(&self, change: impl FnOnce(&mut Record)) {
        let record = {
            let mut own = self.own.borrow_mut();
            let before = own.clone();
            change(&mut own);
            if *own == before {
                return;
            }
            own.version.revision += 1;
            own.clone()
        };
        self.take(vec![record]);
        self.announced.send_modify(|n| *n += 1);
    }

    fn take(&self, records: Vec<Record>) {
        // Somebody knows a later life of this process than it does itself: its clock was set back.
        let me = self.own.borrow().source.clone();
        let later = records.iter().filter(|r| r.source == me).map(|r| r.version.incarnation).max();
        if later.is_some_and(|life| life > self.own.borrow().version.incarnation) {
            let own = {
                let mut own = self.own.borrow_mut();
                own.version = Version { incarnation: later.unwrap_or(0) + 1, revision: 1 };
                own.clone()
            };
            self.board.borrow_mut().merge(vec![own]);
            self.announced.send_modify(|n| *n += 1);
        }
        let others = records.into_iter().filter(|r| r.source != me || *r == *self.own.borrow());
        let changed = self.board.borrow_mut().merge(others.collect());
        if !changed.is_empty() {
            self.changed.send_modify(|n| *n += 1);
        }
    }

    /// Takes a configuration that is in force.
    pub fn take_config(&self, config: Config) {
        let version = config.edition;
        if self.board.borrow_mut().update_config(config) {
            metrics::CONFIGURATION_VERSION.set(version.into());
            if let Some(config) = self.board.borrow().config() {
                self.source.borrow_mut().hold(config.clone());
                self.fetch.borrow_mut().held(config);
            }
            self.changed.send_modify(|n| *n += 1);
        }
    }

    /// Takes a list of the core machines that serve.
    pub fn take_core(&self, core: CoreList) {
        if self.board.borrow_mut().update_core_list(core) {
            self.changed.send_modify(|n| *n += 1);
        }
    }

    /// Asks for what is lacking here.
    fn pull_for(&self, told: Vec<Record>, hold: Duration, offered: Option<u32>) -> Pull {
        let board = self.board.borrow();
        Pull {
            source: self.own.borrow().source.clone(),
            vector: board.vector(),
            config_version: board.config().map(|config| config.edition),
            offered_version: offered,
            core_round: board.core_list().map(|core| core.round),
            pushed_records: told,
            max_hold_ms: hold.as_millis() as u64,
        }
    }

    fn take_news(self: &Rc<Self>, news: PullResponse, from: &Rc<Link>) {
        if let Some(version) = news.offered_version {
            self.take_offer(version, from);
        }
        if let Some(core) = news.core_list {
            self.take_core(core);
        }
        self.take(news.records);
    }

    /// Somebody has a newer configuration. Core machines get theirs through the chain.
    fn take_offer(self: &Rc<Self>, version: u32, from: &Rc<Link>) {
        if self.own.borrow().is_core {
            return;
        }
        self.offers.borrow_mut().add(from, version);
        if !self.fetching.replace(true) {
            spawn_local(self.clone().fetch_offered());
        }
    }

    /// Fetches what is offered, piece by piece and from one process at a time, until nothing newer is.
    async fn fetch_offered(self: Rc<Self>) {
        loop {
            let held = self.board.borrow().config().map(|config| config.edition);
            let best = self.offers.borrow_mut().best(held);
            let Some(link) = best else { break };
            let request = self.fetch.borrow().request();
            match link.call(&RpcRequest::ConfigPiece(request), PIECE_WITHIN).await {
                Ok(RpcResponse::ConfigPiece(answer)) => self.take_piece(answer, &link),
                _ => {
                    self.fetch.borrow_mut().lost();
                    self.offers.borrow_mut().defer(&link);
                    sleep(PAUSE).await;
                }
            }
        }
        self.fetching.set(false);
    }

    fn take_piece(&self, answer: PieceAnswer, from: &Rc<Link>) {
        let progress = self.fetch.borrow_mut().answered(answer);
        match progress {
            Ok(Progress::More) => {}
            Ok(Progress::Complete(config)) => self.take_config(config),
            Ok(Progress::NothingNewer) => self.offers.borrow_mut().withdraw(from),
            Err(why) => {
                warn!(target: "config", "Not taken from {}: {why:#}.", from.address());
                self.offers.borrow_mut().defer(from);
            }
        }
    }

    /// The next piece of a configuration for somebody who lacks it. Whatever is held here was committed, and nobody takes a
    /// version below its own: a process out of contact may hand on what it has.
    pub fn config_piece(&self, request: &PieceRequest) -> PieceAnswer {
        self.source.borrow_mut().answer(request)
    }

    /// Forgets sources.
    pub fn forget(&self, gone: impl Fn(&Record) -> bool) {
        self.board.borrow_mut().remove_where(gone);
    }

    /// Takes what somebody tells of itself.
    pub fn apply_records(&self, records: Vec<Record>) {
        self.take(records);
    }

    /// Answers a pull as soon as there is news for it.
    pub async fn answer_pull(&self, mut pull: Pull) -> PullResponse {
        self.take(std::mem::take(&mut pull.pushed_records));
        let until = Instant::now() + Duration::from_millis(pull.max_hold_ms).min(MOST_HOLD);
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            let news = self.board.borrow().response_to(&pull);
            if !news.is_empty() || Instant::now() >= until {
                return news;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep_until(until) => {}
            }
        }
    }

    /// Tells whether the same is known here.
    pub fn compare_digest(&self, digest: u64) -> RpcResponse {
        match self.board.borrow().digest() == digest {
            true => RpcResponse::Done,
            false => RpcResponse::Unavailable("something else is known here".to_owned()),
        }
    }

    /// Looks at one process again and again, and pulls from it only where it knows something else. For a second source:
    /// most of what it knows has come from the first.
    pub fn poll(self: &Rc<Self>, address: SocketAddr, every: Duration) -> PeerSync {
        let reached = Rc::new(Cell::new(None));
        let task = spawn_local(self.clone().look(address, every, reached.clone())).abort_handle();
        PeerSync { task, reached, hold: None }
    }

    async fn look(self: Rc<Self>, address: SocketAddr, every: Duration, reached: Rc<Cell<Option<Instant>>>) {
        let link = Link::new(address);
        let mut first = true;
        let mut offered = None;
        loop {
            let digest = self.board.borrow().digest();
            let same = !first
                && matches!(
                    link.call(&RpcRequest::CompareDigest { digest }, LATE).await,
                    Ok(RpcResponse::Done)
                );
            if same {
                reached.set(Some(Instant::now()));
            } else {
                first = false;
                let pull = self.pull_for(vec![self.local_record()], Duration::ZERO, offered);
                let answer = link.call(&RpcRequest::Pull(pull), LATE).await;
                count_pull(&answer);
                if let Ok(RpcResponse::Updates(news)) = answer {
                    reached.set((!news.out_of_contact).then(Instant::now));
                    offered = offered.max(news.offered_version);
                    self.take_news(news, &link);
                }
            }
            // Until it has told something once it is asked more often: whoever has just started waits for it.
            sleep(if reached.get().is_some() { every } else { every.min(PAUSE / 2) }).await;
        }
    }

    /// Pulls from one process for good.
    pub fn follow(self: &Rc<Self>, address: SocketAddr, hold: Duration) -> PeerSync {
        let reached = Rc::new(Cell::new(None));
        let task = spawn_local(self.clone().pull(address, hold, reached.clone())).abort_handle();
        PeerSync { task, reached, hold: Some(hold) }
    }

    async fn pull(self: Rc<Self>, address: SocketAddr, hold: Duration, reached: Rc<Cell<Option<Instant>>>) {
        let link = Link::new(address);
        let mut theirs: Option<Version> = None;
        let mut offered = None;
        let mut announced = self.announced.subscribe();
        // The first answer comes at once: whoever has just started waits for it.
        let mut patience = Duration::ZERO;
        loop {
            announced.mark_unchanged();
            let own = self.local_record();
            let told = if theirs == Some(own.version) { Vec::new() } else { vec![own.clone()] };
            let ask = RpcRequest::Pull(self.pull_for(told, patience, offered));
            let mut asking = std::pin::pin!(link.call(&ask, patience + LATE));
            let answer = loop {
                tokio::select! {
                    answer = &mut asking => break answer,
                    // News of this process is not to wait for theirs.
                    _ = announced.changed() => link.notify(&RpcRequest::PushRecords(vec![self.local_record()])),
                }
            };
            count_pull(&answer);
            match answer {
                Ok(RpcResponse::Updates(news)) => {
                    let out_of_contact = news.out_of_contact;
                    reached.set((!out_of_contact).then(Instant::now));
                    theirs = news.requester_version;
                    offered = offered.max(news.offered_version);
                    patience = if out_of_contact { Duration::ZERO } else { hold };
                    self.take_news(news, &link);
                    if out_of_contact {
                        sleep(OUT_OF_CONTACT).await;
                    }
                }
                _ => {
                    theirs = None;
                    patience = Duration::ZERO;
                    sleep(PAUSE).await;
                }
            }
        }
    }
}

fn count_pull(answer: &anyhow::Result<RpcResponse>) {
    match answer {
        Ok(RpcResponse::Updates(news)) if news.out_of_contact => metrics::PULLS_OUT_OF_CONTACT.increment(),
        Ok(RpcResponse::Updates(_)) => metrics::PULLS_ANSWERED.increment(),
        _ => metrics::PULLS_FAILED.increment(),
    }
}

/// A process that is followed; dropped, it is not.
pub struct PeerSync {
    task: AbortHandle,
    reached: Rc<Cell<Option<Instant>>>,
    hold: Option<Duration>,
}

impl PeerSync {
    /// How long its pulls are held; nothing where it is only looked at.
    pub fn hold(&self) -> Option<Duration> {
        self.hold
    }

    /// When it answered last.
    pub fn last_contact(&self) -> Option<Instant> {
        self.reached.get()
    }
}

impl Drop for PeerSync {
    fn drop(&mut self) {
        self.task.abort();
    }
}
