//! A pool's sources under way: each in a task, their news merged and handed on.

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

use crate::doubt::Rules;
use crate::etcd::{self, Etcd};
use crate::merge::Members;
use crate::source::{Line, Machine};
use crate::view::{Health, News};
use crate::{consul, dns, file, platform, xds};

/// Where a list comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum Origin {
    /// A prefix in etcd.
    Etcd(etcd::Settings, Vec<SocketAddr>),
    /// A service in Consul.
    Consul(consul::Settings, Vec<SocketAddr>),
    /// A cluster at xDS servers.
    Xds(xds::Settings, Vec<SocketAddr>),
    /// A name in the DNS; no servers for those of the system.
    Dns(dns::Settings, Vec<SocketAddr>),
    /// A file in the form of the platform's list.
    File(PathBuf),
    /// A registry that speaks the platform's protocol.
    List(SocketAddr),
}

/// Sources under way; dropped, they end.
pub struct Following {
    shared: Rc<Shared>,
    tasks: Vec<AbortHandle>,
    files: Vec<file::Watched>,
    lists: Vec<Rc<platform::Discovery>>,
}

struct Shared {
    pool: String,
    clock: Clock,
    members: RefCell<Members>,
    /// For the task that hands on what has changed.
    changed: Notify,
    /// For whoever waits for views.
    came: Notify,
}

impl Drop for Following {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
        self.lists.iter().for_each(|list| list.leave());
        self.files.clear();
    }
}

impl Shared {
    fn take(&self, source: usize, name: &str, news: News) {
        let taken = self.members.borrow_mut().take(self.clock.now(), source, news);
        if let Err(why) = taken {
            let pool = &self.pool;
            emit!(SOURCE_VIEW_REFUSED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: not taken: {why}");
        }
        self.changed.notify_one();
        self.came.notify_waiters();
    }
}

/// Runs a machine on its line.
async fn run<M, L>(shared: Rc<Shared>, source: usize, name: String, mut machine: M, mut line: L)
where
    M: Machine,
    L: Line<Ask = M::Ask, Told = M::Told>,
{
    let mut trouble = None;
    loop {
        while let Some(ask) = machine.ask() {
            line.make(ask);
        }
        while let Some(news) = machine.news() {
            shared.take(source, &name, news);
        }
        if let Some(why) = machine.problem() {
            let pool = &shared.pool;
            emit!(SOURCE_VIEW_REFUSED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: what was known of it holds: {why}");
        }
        let health = machine.health();
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
        let most = {
            let mut members = shared.members.borrow_mut();
            members.health(source, health.clone());
            members.rules().most_members
        };
        machine.bound(most);
        tokio::select! {
            told = line.next() => machine.told(shared.clock.now(), told),
            () = sleep_until(shared.clock.instant(machine.due())) => machine.tick(shared.clock.now()),
        }
    }
}

/// Hands on what has changed, when it is due.
async fn tell(shared: Rc<Shared>, tell: impl Fn(ListKind, Vec<DiscoveryEntry>)) {
    loop {
        let now = shared.clock.now();
        let changes = {
            let mut members = shared.members.borrow_mut();
            members.tick(now);
            members.changes(now)
        };
        if let Some((kind, list)) = changes {
            tell(kind, list);
        }
        let due = shared.members.borrow().due();
        let rings = async {
            match due {
                Some(due) => sleep_until(shared.clock.instant(due)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = rings => {}
            () = shared.changed.notified() => {}
        }
    }
}

impl Following {
    /// Follows sources, in the order of their precedence, each with its name; `told` has the whole list once, then changes.
    pub fn start(
        pool: &str,
        origins: &[(String, Origin)],
        rules: &Rules,
        seed: u64,
        told: impl Fn(ListKind, Vec<DiscoveryEntry>) + 'static,
    ) -> Following {
        let names: Vec<String> = origins.iter().map(|(name, _)| name.clone()).collect();
        let shared = Rc::new(Shared {
            pool: pool.to_owned(),
            clock: Clock::new(),
            members: RefCell::new(Members::new(&names, rules)),
            changed: Notify::new(),
            came: Notify::new(),
        });
        let mut following =
            Following { shared: shared.clone(), tasks: Vec::new(), files: Vec::new(), lists: Vec::new() };
        for (at, (name, origin)) in origins.iter().enumerate() {
            if let Err(why) = following.begin(at, name, origin, seed.wrapping_add(at as u64)) {
                emit!(SOURCE_FAILED, pool = %pool, source = %name; "membership: pool {pool}, source {name}: not followed: {why}");
                let trouble = Some(why);
                shared.members.borrow_mut().health(at, Health { trouble, ..Health::default() });
            }
        }
        following.tasks.push(spawn_local(tell(shared, told)).abort_handle());
        following
    }

    fn begin(&mut self, at: usize, name: &str, origin: &Origin, seed: u64) -> Result<(), String> {
        let (shared, named) = (self.shared.clone(), name.to_owned());
        let now = shared.clock.now();
        let task = match origin {
            Origin::Etcd(settings, endpoints) => {
                let calls = etcd::line::Calls::new(endpoints)?;
                let machine = Etcd::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, machine, calls))
            }
            Origin::Consul(settings, endpoints) => {
                let questions = consul::line::Questions::new(&settings.service, endpoints);
                let machine = consul::Consul::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, machine, questions))
            }
            Origin::Xds(settings, endpoints) => {
                let line =
                    xds::line::Stream::new(&settings.cluster, &settings.node, settings.delta, endpoints)?;
                let machine = xds::Xds::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, machine, line))
            }
            Origin::Dns(settings, servers) => {
                let questions = dns::line::Questions::new(servers)?;
                let machine = dns::Dns::new(now, settings.clone(), seed);
                spawn_local(run(shared, at, named, machine, questions))
            }
            Origin::File(path) => {
                // Watched first: what is written in between is not missed.
                let told = {
                    let (shared, named) = (shared.clone(), named.clone());
                    move |_, list: Vec<DiscoveryEntry>| shared.heard(at, &named, true, &list)
                };
                self.files.push(file::watch(path, told)?);
                shared.heard(at, &named, true, &file::read(path)?);
                return Ok(());
            }
            Origin::List(address) => {
                let discovery = platform::Discovery::new(*address, 0);
                discovery.follow(seed, move |kind, list| {
                    if kind != ListKind::Failed {
                        shared.heard(at, &named, kind == ListKind::Complete, &list);
                    }
                });
                self.lists.push(discovery);
                return Ok(());
            }
        };
        self.tasks.push(task.abort_handle());
        Ok(())
    }

    /// Goes on under other rules of doubt.
    pub fn set(&self, rules: &Rules) {
        self.shared.members.borrow_mut().set(self.shared.clock.now(), rules);
        self.shared.changed.notify_one();
    }

    /// Waits until every source has told a view.
    pub async fn whole(&self) {
        loop {
            let came = self.shared.came.notified();
            if self.look(|_, members| members.sources().all(|s| s.2.is_some())) {
                return;
            }
            came.await;
        }
    }

    /// Looks at the members, and the present time.
    pub fn look<T>(&self, look: impl FnOnce(Micros, &Members) -> T) -> T {
        look(self.shared.clock.now(), &self.shared.members.borrow())
    }
}

impl Shared {
    /// A list of a source that tells no revisions: the newest is the one that came last.
    fn heard(&self, source: usize, name: &str, whole: bool, list: &[DiscoveryEntry]) {
        let confirmed = Some(self.clock.now());
        self.members.borrow_mut().health(source, Health { confirmed, ..Health::default() });
        self.take(source, name, News::of_list(whole, 0, list));
    }
}
