//! The calls of the announcer to etcd over gRPC, and the task that makes them.

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

use super::{Announcer, Command, DesiredState, Reply, Settings};
use crate::etcd::messages::*;
use crate::etcd::transport::{channels, plain, streaming, unary};

/// The task that announces this instance. Dropping it ends the task, and the lease is not renewed any more.
pub struct AnnouncerTask {
    announcer: Rc<RefCell<Announcer>>,
    clock: Rc<Clock>,
    changed: Rc<Notify>,
    became_current: Rc<Notify>,
    task: AbortHandle,
    /// Sets the desired state later, see [`AnnouncerTask::set_desired_after`].
    delayed: RefCell<Option<AbortHandle>>,
}

impl Drop for AnnouncerTask {
    fn drop(&mut self) {
        self.task.abort();
        self.delayed.take().iter().for_each(AbortHandle::abort);
    }
}

async fn call(channel: Channel, command: Command) -> Result<Reply, Status> {
    Ok(match command {
        Command::Grant { call, seconds, .. } => {
            let message = LeaseGrantRequest { ttl: seconds, id: 0 };
            let answer: LeaseResponse = unary(channel, path::GRANT, message).await?;
            Reply::Granted { call, lease: answer.id }
        }
        Command::Put { call, key, value, lease, .. } => {
            let message = PutRequest { key, value, lease };
            let _: HeaderOnly = unary(channel, path::PUT, message).await?;
            Reply::Done { call }
        }
        Command::KeepAlive { call, lease, .. } => {
            let once = tokio_stream::once(LeaseRequest { id: lease });
            let mut answers = streaming::<_, LeaseResponse>(channel, path::KEEP_ALIVE, once).await?;
            let answer = answers.message().await?.ok_or_else(|| Status::unavailable("no answer"))?;
            Reply::Alive { call, seconds: answer.ttl }
        }
        Command::Revoke { call, lease, .. } => {
            let _: HeaderOnly = unary(channel, path::REVOKE, LeaseRequest { id: lease }).await?;
            Reply::Done { call }
        }
        Command::Leave { call } => Reply::Done { call },
    })
}

impl AnnouncerTask {
    /// Starts the task. Nothing is announced until [`AnnouncerTask::set_desired`] is called.
    pub fn start(settings: Settings, endpoints: &[SocketAddr], seed: u64) -> Result<AnnouncerTask, String> {
        let channels = channels(endpoints)?;
        let clock = Rc::new(Clock::new());
        let announcer = Rc::new(RefCell::new(Announcer::new(clock.now(), settings, seed)));
        let (changed, became_current) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let task = spawn_local(run(
            announcer.clone(),
            clock.clone(),
            changed.clone(),
            became_current.clone(),
            channels,
        ));
        let delayed = RefCell::default();
        Ok(AnnouncerTask { announcer, clock, changed, became_current, task: task.abort_handle(), delayed })
    }

    /// Sets the desired state once `ready` completes, unless another state is set before.
    pub fn set_desired_after(&self, ready: impl Future<Output = ()> + 'static, desired: DesiredState) {
        let (announcer, clock, changed) = (self.announcer.clone(), self.clock.clone(), self.changed.clone());
        let task = spawn_local(async move {
            ready.await;
            announcer.borrow_mut().set_desired(clock.now(), desired);
            changed.notify_one();
        });
        self.delayed.replace(Some(task.abort_handle()));
    }

    /// Sets the state to announce from now on.
    pub fn set_desired(&self, desired: DesiredState) {
        if let Some(task) = self.delayed.take() {
            task.abort();
        }
        self.announcer.borrow_mut().set_desired(self.clock.now(), desired);
        self.changed.notify_one();
    }

    /// Waits until the registry has the desired state.
    pub async fn is_current(&self) {
        while !self.announcer.borrow().is_current() {
            self.became_current.notified().await;
        }
    }
}

async fn run(
    announcer: Rc<RefCell<Announcer>>,
    clock: Rc<Clock>,
    changed: Rc<Notify>,
    became_current: Rc<Notify>,
    channels: Vec<Channel>,
) {
    let (sender, mut replies) = mpsc::channel(4);
    let mut under_way: Option<AbortHandle> = None;
    loop {
        loop {
            let Some(command) = announcer.borrow_mut().next_command() else { break };
            let (number, endpoint) = match &command {
                Command::Grant { call, endpoint, .. }
                | Command::Put { call, endpoint, .. }
                | Command::KeepAlive { call, endpoint, .. }
                | Command::Revoke { call, endpoint, .. } => (*call, *endpoint),
                Command::Leave { .. } => {
                    if let Some(task) = under_way.take() {
                        task.abort();
                    }
                    continue;
                }
            };
            let (channel, sender) = (channels[endpoint % channels.len()].clone(), sender.clone());
            let task = spawn_local(async move {
                let result = call(channel, command).await;
                let reply =
                    result.unwrap_or_else(|status| Reply::Failed { call: number, why: plain(&status) });
                let _ = sender.send(reply).await;
            });
            under_way = Some(task.abort_handle());
        }
        if announcer.borrow().is_current() {
            became_current.notify_waiters();
            became_current.notify_one();
        }
        if let Some(why) = announcer.borrow_mut().trouble() {
            emit!(ANNOUNCE_FAILED, why = %why; "announce: {why}; tried again");
        }
        let due = announcer.borrow().due();
        let timer = async {
            match due {
                Some(due) => sleep_until(clock.instant(due)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            Some(reply) = replies.recv() => announcer.borrow_mut().handle_reply(clock.now(), reply),
            () = timer => announcer.borrow_mut().tick(clock.now()),
            () = changed.notified() => {}
        }
    }
}
