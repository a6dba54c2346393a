//! Runs the sources of a pool, each in a task, merges their updates and passes the changes on.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use finchshift::{ListKind, Micros};
use sloeline_engine::clock::Clock;
use sloeline_engine::types::DiscoveryEntry;
use sloeline_events::emit;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep_until;

use crate::etcd::{self, Etcd};
use crate::merge::Members;
use crate::plausibility::PlausibilityRules;
use crate::source::{SourceProtocol, Transport};
use crate::view::{Health, Update};
use crate::{consul, dns, file, platform, xds};

/// A source of members.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceConfig {
    /// A prefix in etcd.
    Etcd(etcd::Settings, Vec<SocketAddr>),
    /// A service in Consul.
    Consul(consul::Settings, Vec<SocketAddr>),
    /// A cluster at xDS servers.
    Xds(xds::Settings, Vec<SocketAddr>),
    /// A DNS name; without servers, those of the system are queried.
    Dns(dns::Settings, Vec<SocketAddr>),
    /// A file in the format of the platform's list.
    File(PathBuf),
    /// A registry with the platform's protocol.
    List(SocketAddr),
}

/// Runs the sources of a pool until it is dropped.
pub struct SourceFollower {
    shared: Rc<Shared>,
    tasks: Vec<AbortHandle>,
    files: Vec<file::FileWatch>,
    lists: Vec<Rc<platform::Discovery>>,
}

struct Shared {
    pool: String,
    clock: Clock,
    members: RefCell<Members>,
    /// Wakes the task that passes changes on.
    changed: Notify,
    /// Wakes tasks that wait for views.
    view_received: Notify,
}

impl Drop for SourceFollower {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.lists.iter().for_each(|list| list.leave());
        self.files.clear();
    }
}

impl Shared {
    fn apply_update(&self, source: usize, name: &str, update: Update) {
        let taken = self.members.borrow_mut().apply(self.clock.now(), source, update);
        if let Err(why) = taken {
            let pool = &self.pool;
            emit!(SOURCE_VIEW_REFUSED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: not taken: {why}");
        }
        self.changed.notify_one();
        self.view_received.notify_waiters();
    }
}

/// Runs a protocol with its transport.
async fn run<P, T>(shared: Rc<Shared>, source: usize, name: String, mut protocol: P, mut transport: T)
where
    P: SourceProtocol,
    T: Transport<Command = P::Command, Reply = P::Reply>,
{
    let mut trouble = None;
    loop {
        while let Some(command) = protocol.next_command() {
            transport.execute(command);
        }
        while let Some(update) = protocol.next_update() {
            shared.apply_update(source, &name, update);
        }
        if let Some(why) = protocol.take_problem() {
            let pool = &shared.pool;
            emit!(SOURCE_VIEW_REFUSED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: what was known of it holds: {why}");
        }
        let health = protocol.health();
        if health.trouble != trouble {
            trouble.clone_from(&health.trouble);
            match &trouble {
                Some(why) => {
                    let pool = &shared.pool;
                    emit!(SOURCE_FAILED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: the last view holds: {why}");
                }
                None => {
                    let pool = &shared.pool;
                    emit!(SOURCE_RECOVERED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: follows again");
                }
            }
        }
        let max_members = {
            let mut members = shared.members.borrow_mut();
            members.health(source, health.clone());
            members.rules().max_members
        };
        protocol.set_max_members(max_members);
        tokio::select! {
            reply = transport.next_reply() => protocol.handle_reply(shared.clock.now(), reply),
            () = sleep_until(shared.clock.instant(protocol.due())) => protocol.tick(shared.clock.now()),
        }
    }
}

/// Passes changes on when they are due.
async fn pass_on_changes(shared: Rc<Shared>, pass_on: impl Fn(ListKind, Vec<DiscoveryEntry>)) {
    loop {
        let now = shared.clock.now();
        let changes = {
            let mut members = shared.members.borrow_mut();
            members.tick(now);
            members.changes(now)
        };
        if let Some((kind, list)) = changes {
            pass_on(kind, list);
        }
        let due = shared.members.borrow().due();
        let timer = async {
            match due {
                Some(due) => sleep_until(shared.clock.instant(due)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = timer => {}
            () = shared.changed.notified() => {}
        }
    }
}

impl SourceFollower {
    /// Starts the sources, in the order of their precedence, each with its name. `pass_on` gets the whole list once, then
    /// changes.
    pub fn start(
        pool: &str,
        origins: &[(String, SourceConfig)],
        rules: &PlausibilityRules,
        seed: u64,
        pass_on: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static,
    ) -> SourceFollower {
        let names: Vec<String> = origins.iter().map(|(name, _)| name.clone()).collect();
        let shared = Rc::new(Shared {
            pool: pool.to_owned(),
            clock: Clock::new(),
            members: RefCell::new(Members::new(&names, rules)),
            changed: Notify::new(),
            view_received: Notify::new(),
        });
        let mut following = SourceFollower {
            shared: shared.clone(),
            tasks: Vec::new(),
            files: Vec::new(),
            lists: Vec::new(),
        };
        for (at, (name, origin)) in origins.iter().enumerate() {
            if let Err(why) = following.start_source(at, name, origin, seed.wrapping_add(at as u64)) {
                emit!(SOURCE_FAILED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: not followed: {why}");
                let trouble = Some(why);
                shared.members.borrow_mut().health(at, Health { trouble, ..Health::default() });
            }
        }
        following.tasks.push(spawn_local(pass_on_changes(shared, pass_on)).abort_handle());
        following
    }

    fn start_source(
        &mut self,
        at: usize,
        name: &str,
        origin: &SourceConfig,
        seed: u64,
    ) -> Result<(), String> {
        let (shared, named) = (self.shared.clone(), name.to_owned());
        let now = shared.clock.now();
        let task = match origin {
            SourceConfig::Etcd(settings, endpoints) => {
                let calls = etcd::transport::EtcdTransport::new(endpoints)?;
                let protocol = Etcd::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, protocol, calls))
            }
            SourceConfig::Consul(settings, endpoints) => {
                let questions = consul::transport::ConsulTransport::new(&settings.service, endpoints);
                let protocol = consul::Consul::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, protocol, questions))
            }
            SourceConfig::Xds(settings, endpoints) => {
                let line = xds::transport::XdsTransport::new(
                    &settings.cluster,
                    &settings.node,
                    settings.incremental,
                    endpoints,
                )?;
                let protocol = xds::Xds::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, protocol, line))
            }
            SourceConfig::Dns(settings, servers) => {
                let questions = dns::transport::DnsTransport::new(servers)?;
                let protocol = dns::Dns::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, protocol, questions))
            }
            SourceConfig::File(path) => {
                // The watch starts before the file is read, so that no change is missed.
                let apply = {
                    let (shared, named) = (shared.clone(), named.clone());
                    move |_, list: Vec<DiscoveryEntry>| shared.apply_list(at, &named, true, &list)
                };
                self.files.push(file::watch(path, apply)?);
                shared.apply_list(at, &named, true, &file::read(path)?);
                return Ok(());
            }
            SourceConfig::List(address) => {
                let discovery = platform::Discovery::new(*address, 0);
                discovery.follow(seed, move |kind, list| {
                    if kind != ListKind::Failed {
                        shared.apply_list(at, &named, kind == ListKind::Complete, &list);
                    }
                });
                self.lists.push(discovery);
                return Ok(());
            }
        };
        self.tasks.push(task.abort_handle());
        Ok(())
    }

    /// Changes the plausibility rules.
    pub fn set(&self, rules: &PlausibilityRules) {
        self.shared.members.borrow_mut().set(self.shared.clock.now(), rules);
        self.shared.changed.notify_one();
    }

    /// Waits until every source has a view.
    pub async fn all_views_received(&self) {
        loop {
            let view_received = self.shared.view_received.notified();
            if self.inspect(|_, members| members.sources().all(|s| s.2.is_some())) {
                return;
            }
            view_received.await;
        }
    }

    /// Passes the present time and the members to `inspect`.
    pub fn inspect<T>(&self, inspect: impl FnOnce(Micros, &Members) -> T) -> T {
        inspect(self.shared.clock.now(), &self.shared.members.borrow())
    }
}

impl Shared {
    /// Applies a list of a source without revisions: the last one that arrives is the newest.
    fn apply_list(&self, source: usize, name: &str, whole: bool, list: &[DiscoveryEntry]) {
        let confirmed = Some(self.clock.now());
        self.members.borrow_mut().health(source, Health { confirmed, ..Health::default() });
        self.apply_update(source, name, Update::from_list(whole, 0, list));
    }
}
