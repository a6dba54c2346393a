//! Calls to the core: of one machine, and of the next when that one does not answer. While no machine answers, one call at a
//! time tries again and all others wait for its success: a core that has trouble is not given more work by those that wait
//! for it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, anyhow};
use sloeline_rpc::link::Link;
use sloeline_rpc::{RpcRequest, RpcResponse};
use tokio::sync::{Semaphore, SemaphorePermit, watch};
use tokio::time::{Instant, sleep_until};

use crate::metrics;

/// How long one machine is waited for before the next is asked.
const PATIENCE: Duration = Duration::from_millis(600);
/// Pause between tries while no machine answers: the first, and the longest that it grows to.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(300);

/// No machine answered.
struct NoAnswer {
    error: anyhow::Error,
    /// A machine refused, broke off, or had all the time that it is given.
    conclusive: bool,
}

/// The way to the core.
pub struct CoreClient {
    /// The one asked first is the first.
    links: RefCell<Vec<Rc<Link>>>,
    /// Whether a machine answered when one was last asked.
    reachable: watch::Sender<bool>,
    /// Held by the call that tries whether the core is back.
    probe: Semaphore,
    /// When that is tried next, and how long after the last try that is.
    next_probe: Cell<Instant>,
    pause: Cell<Duration>,
}

impl Default for CoreClient {
    fn default() -> CoreClient {
        CoreClient {
            links: RefCell::default(),
            reachable: watch::Sender::new(true),
            probe: Semaphore::new(1),
            next_probe: Cell::new(Instant::now()),
            pause: Cell::new(FIRST_PAUSE),
        }
    }
}

impl CoreClient {
    /// The core machines, the nearest first.
    pub fn set_machines(&self, addresses: &[SocketAddr]) {
        let mut links = self.links.borrow_mut();
        let known = std::mem::take(&mut *links);
        let link = |address: &SocketAddr| {
            let found = known.iter().find(|link| link.address() == *address);
            found.cloned().unwrap_or_else(|| Link::new(*address))
        };
        *links = addresses.iter().map(link).collect();
    }

    /// The answer of a core machine, if there is one before `until`. Without one the call may have been taken.
    pub async fn call(&self, ask: &RpcRequest, until: Instant) -> Result<RpcResponse> {
        loop {
            let _probing = self.turn(until).await?;
            let why = match self.ask_each(ask, until).await {
                Ok(told) => {
                    self.set_reachable(true);
                    return Ok(told);
                }
                Err(why) => why,
            };
            // A call that had no time for an answer tells nothing of the core.
            if why.conclusive {
                self.set_reachable(false);
            }
            if Instant::now() >= until {
                return Err(why.error);
            }
        }
    }

    /// Waits until the core is reachable, or until this call is the one that tries.
    async fn turn(&self, until: Instant) -> Result<Option<SemaphorePermit<'_>>> {
        let mut reachable = self.reachable.subscribe();
        let probe = async {
            let permit = self.probe.acquire().await.ok();
            sleep_until(self.next_probe.get()).await;
            permit
        };
        tokio::select! {
            biased;
            _ = reachable.wait_for(|reachable| *reachable) => Ok(None),
            () = sleep_until(until) => Err(anyhow!("core: no machine of it answers")),
            permit = probe => Ok(permit),
        }
    }

    /// Asks each machine once, until one answers.
    async fn ask_each(&self, ask: &RpcRequest, until: Instant) -> Result<RpcResponse, NoAnswer> {
        let links = self.links.borrow().clone();
        let mut last = anyhow!("core: no machine of it is known");
        let mut conclusive = links.is_empty();
        for link in &links {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            metrics::KEY_CALLS.increment();
            let asked = Instant::now();
            match link.call(ask, left.min(PATIENCE)).await {
                Ok(RpcResponse::Unavailable(why)) => last = anyhow!("core {}: {why}", link.address()),
                Ok(told) => return Ok(told),
                Err(why) => last = why,
            }
            conclusive |= left >= PATIENCE || asked.elapsed() < left;
            metrics::KEY_CALLS_FAILED.increment();
            self.ask_later(link);
        }
        Err(NoAnswer { error: last, conclusive })
    }

    /// The others are asked before this one from now on.
    fn ask_later(&self, failed: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        if links.first().is_some_and(|first| Rc::ptr_eq(first, failed)) {
            links.rotate_left(1);
        }
    }

    fn set_reachable(&self, reachable: bool) {
        if reachable {
            self.pause.set(FIRST_PAUSE);
        } else {
            let pause = self.pause.get();
            self.next_probe.set(Instant::now() + pause);
            self.pause.set((pause * 2).min(LONGEST_PAUSE));
        }
        self.reachable.send_if_modified(|before| std::mem::replace(before, reachable) != reachable);
    }
}
