//! The announcement's calls to etcd over gRPC, and the task that makes them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use sloeline_engine::clock::Clock;
use sloeline_events::emit;
use tokio::sync::{Notify, mpsc};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep_until;
use tonic::Status;
use tonic::transport::Channel;

use super::{Announce, Ask, Settings, Told, Wanted};
use crate::etcd::line::{channels, plain, streaming, unary};
use crate::etcd::messages::*;

/// An announcement under way; dropped, nothing is kept alive any more.
pub struct Announcement {
    announce: Rc<RefCell<Announce>>,
    clock: Rc<Clock>,
    changed: Rc<Notify>,
    stands: Rc<Notify>,
    task: AbortHandle,
    /// Waits for the moment from which something is announced.
    later: RefCell<Option<AbortHandle>>,
}

impl Drop for Announcement {
    fn drop(&mut self) {
        self.task.abort();
        self.later.take().iter().for_each(AbortHandle::abort);
    }
}

async fn call(channel: Channel, ask: Ask) -> Result<Told, Status> {
    Ok(match ask {
        Ask::Grant { call, seconds, .. } => {
            let message = LeaseGrantRequest { ttl: seconds, id: 0 };
            let answer: LeaseResponse = unary(channel, path::GRANT, message).await?;
            Told::Granted { call, lease: answer.id }
        }
        Ask::Put { call, key, value, lease, .. } => {
            let message = PutRequest { key, value, lease };
            let _: HeaderOnly = unary(channel, path::PUT, message).await?;
            Told::Done { call }
        }
        Ask::KeepAlive { call, lease, .. } => {
            let once = tokio_stream::once(LeaseRequest { id: lease });
            let mut answers = streaming::<_, LeaseResponse>(channel, path::KEEP_ALIVE, once).await?;
            let answer = answers.message().await?.ok_or_else(|| Status::unavailable("no answer"))?;
            Told::Alive { call, seconds: answer.ttl }
        }
        Ask::Revoke { call, lease, .. } => {
            let _: HeaderOnly = unary(channel, path::REVOKE, LeaseRequest { id: lease }).await?;
            Told::Done { call }
        }
        Ask::Leave { call } => Told::Done { call },
    })
}

impl Announcement {
    /// Begins; nothing is announced until [`want`](Announcement::want) says so.
    pub fn start(settings: Settings, endpoints: &[SocketAddr], seed: u64) -> Result<Announcement, String> {
        let channels = channels(endpoints)?;
        let clock = Rc::new(Clock::new());
        let announce = Rc::new(RefCell::new(Announce::new(clock.now(), settings, seed)));
        let (changed, stands) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let task =
            spawn_local(run(announce.clone(), clock.clone(), changed.clone(), stands.clone(), channels));
        let later = RefCell::default();
        Ok(Announcement { announce, clock, changed, stands, task: task.abort_handle(), later })
    }

    /// What is to be announced once something has come true, unless something else is wanted before.
    pub fn want_after(&self, ready: impl Future<Output = ()> + 'static, wanted: Wanted) {
        let (announce, clock, changed) = (self.announce.clone(), self.clock.clone(), self.changed.clone());
        let task = spawn_local(async move {
            ready.await;
            announce.borrow_mut().want(clock.now(), wanted);
            changed.notify_one();
        });
        self.later.replace(Some(task.abort_handle()));
    }

    /// What is to be announced from now on.
    pub fn want(&self, wanted: Wanted) {
        if let Some(later) = self.later.take() {
            later.abort();
        }
        self.announce.borrow_mut().want(self.clock.now(), wanted);
        self.changed.notify_one();
    }

    /// Waits until what is wanted stands in the registry.
    pub async fn stands(&self) {
        while !self.announce.borrow().stands() {
            self.stands.notified().await;
        }
    }
}

async fn run(
    announce: Rc<RefCell<Announce>>,
    clock: Rc<Clock>,
    changed: Rc<Notify>,
    stands: Rc<Notify>,
    channels: Vec<Channel>,
) {
    let (sender, mut told) = mpsc::channel(4);
    let mut under_way: Option<AbortHandle> = None;
    loop {
        loop {
            let Some(ask) = announce.borrow_mut().ask() else { break };
            let (number, endpoint) = match &ask {
                Ask::Grant { call, endpoint, .. }
                | Ask::Put { call, endpoint, .. }
                | Ask::KeepAlive { call, endpoint, .. }
                | Ask::Revoke { call, endpoint, .. } => (*call, *endpoint),
                Ask::Leave { .. } => {
                    if let Some(task) = under_way.take() {
                        task.abort();
                    }
                    continue;
                }
            };
            let (channel, sender) = (channels[endpoint % channels.len()].clone(), sender.clone());
            let task = spawn_local(async move {
                let made = call(channel, ask).await;
                let told = made.unwrap_or_else(|status| Told::Failed { call: number, why: plain(&status) });
                let _ = sender.send(told).await;
            });
            under_way = Some(task.abort_handle());
        }
        if announce.borrow().stands() {
            stands.notify_waiters();
            stands.notify_one();
        }
        if let Some(why) = announce.borrow_mut().trouble() {
            emit!(ANNOUNCE_FAILED, why = %why; "announce: {why}; tried again");
        }
        let due = announce.borrow().due();
        let rings = async {
            match due {
                Some(due) => sleep_until(clock.instant(due)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Some(told) = told.recv() => announce.borrow_mut().told(clock.now(), told),
            () = rings => announce.borrow_mut().tick(clock.now()),
            () = changed.notified() => {}
        }
    }
}
