//! Calls to the core, with failover from one core machine to the next. While no machine answers, only one call at a time
//! retries and all others wait for it to succeed, so that waiting calls do not add load to a core in trouble.

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

/// Time limit for the response of one machine before the next one is asked.
const MACHINE_TIMEOUT: Duration = Duration::from_millis(600);
/// First pause between probes while no machine answers; doubles with every failure up to [`MAX_PROBE_PAUSE`].
const MIN_PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between probes while no machine answers.
const MAX_PROBE_PAUSE: Duration = Duration::from_millis(300);

/// The failure of a call because no machine answered.
struct CallFailure {
    /// The error of the machine asked last.
    error: anyhow::Error,
    /// Whether a machine refused, disconnected, or did not answer within [`MACHINE_TIMEOUT`]. A call that ended earlier
    /// says nothing about the core.
    conclusive: bool,
}

/// Sends calls to the core machines.
pub struct CoreClient {
    /// Connections to the core machines, in the order in which they are asked.
    links: RefCell<Vec<Rc<Link>>>,
    /// Whether a machine answered the last conclusive call.
    reachable: watch::Sender<bool>,
    /// Held by the call that probes whether the core answers again.
    probe: Semaphore,
    /// Time of the next probe.
    next_probe: Cell<Instant>,
    /// Pause before the probe after the next failure.
    pause: Cell<Duration>,
}

impl Default for CoreClient {
    fn default() -> CoreClient {
        CoreClient {
            links: RefCell::default(),
            reachable: watch::Sender::new(true),
            probe: Semaphore::new(1),
            next_probe: Cell::new(Instant::now()),
            pause: Cell::new(MIN_PROBE_PAUSE),
        }
    }
}

impl CoreClient {
    /// Sets the addresses of the core machines, nearest first. Existing connections are reused.
    pub fn set_machines(&self, addresses: &[SocketAddr]) {
        let mut links = self.links.borrow_mut();
        let known = std::mem::take(&mut *links);
        let link = |address: &SocketAddr| {
            let found = known.iter().find(|link| link.address() == *address);
            found.cloned().unwrap_or_else(|| Link::new(*address))
        };
        *links = addresses.iter().map(link).collect();
    }

    /// Calls the core until a machine answers or the deadline has passed. After an error a machine may nevertheless
    /// have executed the call.
    pub async fn call(&self, request: &RpcRequest, deadline: Instant) -> Result<RpcResponse> {
        loop {
            let _probe_permit = self.wait_for_turn(deadline).await?;
            let failure = match self.ask_each(request, deadline).await {
                Ok(response) => {
                    self.set_reachable(true);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            // A call that ended before the machines had time to answer says nothing about the core.
            if failure.conclusive {
                self.set_reachable(false);
            }
            if Instant::now() >= deadline {
                return Err(failure.error);
            }
        }
    }

    /// Waits until the core is reachable, or until this call may probe whether it is; returns a permit for the probe.
    async fn wait_for_turn(&self, deadline: Instant) -> Result<Option<SemaphorePermit<'_>>> {
        let mut reachable = self.reachable.subscribe();
        let probe = async {
            let permit = self.probe.acquire().await.ok();
            sleep_until(self.next_probe.get()).await;
            permit
        };
        tokio::select! {
            biased;
            _ = reachable.wait_for(|reachable| *reachable) => Ok(None),
            () = sleep_until(deadline) => Err(anyhow!("core: no core machine answers")),
            permit = probe => Ok(permit),
        }
    }

    /// Asks the machines in order, each once, until one answers.
    async fn ask_each(&self, request: &RpcRequest, deadline: Instant) -> Result<RpcResponse, CallFailure> {
        let links = self.links.borrow().clone();
        let mut last_error = anyhow!("core: no core machine is known");
        let mut conclusive = links.is_empty();
        for link in &links {
            let time_left = deadline.saturating_duration_since(Instant::now());
            if time_left.is_zero() {
                break;
            }
            metrics::KEY_CALLS.increment();
            let started = Instant::now();
            match link.call(request, time_left.min(MACHINE_TIMEOUT)).await {
                Ok(RpcResponse::Unavailable(reason)) => {
                    last_error = anyhow!("core {}: {reason}", link.address())
                }
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
            conclusive |= time_left >= MACHINE_TIMEOUT || started.elapsed() < time_left;
            metrics::KEY_CALLS_FAILED.increment();
            self.move_to_back(link);
        }
        Err(CallFailure { error: last_error, conclusive })
    }

    /// Moves the machine that is asked first to the end of the order, if it is the one that failed.
    fn move_to_back(&self, failed: &Rc<Link>) {
        let mut links = self.links.borrow_mut();
        if links.first().is_some_and(|first| Rc::ptr_eq(first, failed)) {
            links.rotate_left(1);
        }
    }

    /// Records whether the core answers, and schedules the next probe if it does not.
    fn set_reachable(&self, reachable: bool) {
        if reachable {
            self.pause.set(MIN_PROBE_PAUSE);
        } else {
            let pause = self.pause.get();
            self.next_probe.set(Instant::now() + pause);
            self.pause.set((pause * 2).min(MAX_PROBE_PAUSE));
        }
        self.reachable.send_if_modified(|before| std::mem::replace(before, reachable) != reachable);
    }
}
