//! Keyed operations as the core keeps them: asked of one core machine, and of another when that one does not answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, anyhow, bail};
use bytes::Bytes;
use log::debug;
use sloeline_idempotency::{Answer, Outcome, Update};
use sloeline_rpc::link::Link;
use sloeline_rpc::{Ask, Told};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::metrics;

/// How long one core machine is waited for before another is asked.
const PATIENCE: Duration = Duration::from_millis(600);
/// How long a claim may take in all.
pub const CLAIM: Duration = Duration::from_millis(1300);
/// How long it is tried to take a claim back.
const RECORD: Duration = Duration::from_secs(20);
/// Most connections for answers that are kept.
const MOST_HOLDERS: usize = 64;
const PAUSE: Duration = Duration::from_millis(100);

/// The way to the core.
pub struct Keys {
    links: RefCell<Vec<Rc<Link>>>,
    /// Other balancers that were asked for answers.
    holders: RefCell<HashMap<SocketAddr, Rc<Link>>>,
    holder: String,
}

impl Keys {
    /// No core machine is known yet; `holder` is this machine's name.
    pub fn new(holder: String) -> Rc<Keys> {
        Rc::new(Keys { links: RefCell::default(), holders: RefCell::default(), holder })
    }

    /// The core machines, the nearest first.
    pub fn set_core(&self, addresses: &[SocketAddr]) {
        let mut links = self.links.borrow_mut();
        let known = std::mem::take(&mut *links);
        let link = |address: &SocketAddr| {
            let found = known.iter().find(|l| l.address() == *address);
            found.cloned().unwrap_or_else(|| Link::new(*address))
        };
        *links = addresses.iter().map(link).collect();
    }

    async fn ask(&self, update: &Update, within: Duration) -> Result<Outcome> {
        let until = Instant::now() + within;
        let ask = Ask::Operation(update.clone());
        let mut last = anyhow!("core: no machine of it is known");
        loop {
            let links = self.links.borrow().clone();
            for link in &links {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    return Err(last);
                }
                metrics::KEY_CALLS.increment();
                match link.ask(&ask, left.min(PATIENCE)).await {
                    Ok(Told::Operation(outcome)) => return Ok(outcome),
                    Ok(Told::Unable(why)) => last = anyhow!("core {}: {why}", link.address()),
                    Ok(_) => bail!("core {}: an answer to another question", link.address()),
                    Err(why) => last = why,
                }
                metrics::KEY_CALLS_FAILED.increment();
                // The next one is asked first from now on.
                self.links.borrow_mut().rotate_left(usize::from(links.len() > 1));
            }
            if Instant::now() + PAUSE >= until {
                return Err(last);
            }
            sleep(PAUSE).await;
        }
    }

    /// Claims a key for a run. With an error the run must not go, and its claim is taken back.
    pub async fn claim(self: &Rc<Self>, key: &Bytes, run: u64, within: Duration) -> Result<Outcome> {
        let claim = Update::Claim { key: key.clone(), run, holder: self.holder.clone() };
        let outcome = self.ask(&claim, within.min(CLAIM)).await;
        if outcome.is_err() {
            self.record(Update::Release { key: key.clone(), run });
        }
        outcome
    }

    /// Takes a claim back: the run never went. Waits a moment until that is known.
    pub async fn release(self: &Rc<Self>, key: &Bytes, run: u64) {
        let release = Update::Release { key: key.clone(), run };
        if self.ask(&release, PATIENCE).await.is_err() {
            self.record(release);
        }
    }

    /// Asks a holder of an answer what came of a run.
    pub async fn recall(&self, holder: SocketAddr, key: &Bytes, run: u64) -> Result<Told> {
        let link = self.holder(holder);
        link.ask(&Ask::Recall { key: key.clone(), run }, PATIENCE).await
    }

    /// Gives an answer to another machine, in case this one forgets it.
    pub fn keep(&self, keeper: SocketAddr, key: Bytes, run: u64, answer: Answer) {
        self.holder(keeper).tell(&Ask::Keep { key, run, answer });
    }

    fn holder(&self, address: SocketAddr) -> Rc<Link> {
        let mut holders = self.holders.borrow_mut();
        if holders.len() >= MOST_HOLDERS && !holders.contains_key(&address) {
            holders.clear();
        }
        holders.entry(address).or_insert_with(|| Link::new(address)).clone()
    }

    fn record(self: &Rc<Self>, update: Update) {
        let keys = self.clone();
        spawn_local(async move {
            let _open = metrics::KEY_RELEASES_OPEN.hold();
            if let Err(why) = keys.ask(&update, RECORD).await {
                debug!(target: "keys", "A claim is not taken back: {why:#}.");
            }
        });
    }
}
