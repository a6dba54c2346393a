//! Whom this balancer pulls from: the nearest core machine that answers, with an eye on others, and other balancers only
//! while no core machine does.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sloeline_admin_http::reload::SettingsWatch;
use sloeline_discovery::{Record, rendezvous};
use sloeline_process_settings::Settings;
use sloeline_rpc::exchange::{Exchange, PeerSync};
use tokio::time::Instant;

use crate::keys::Keys;

/// How long a core machine holds a pull for want of news.
const CORE_HOLD: Duration = Duration::from_millis(1000);
/// How long another balancer does.
const PEER_HOLD: Duration = Duration::from_secs(5);
/// How often another core machine is looked at.
const LOOK: Duration = Duration::from_millis(700);
/// Whoever has not answered for so long is not counted on. Longer than a pull is held.
const STALE: Duration = Duration::from_millis(1700);
/// Balancers that each one follows.
const PEERS: usize = 2;

/// Whom this balancer follows.
pub struct Follow {
    settings: SettingsWatch,
    exchange: Rc<Exchange>,
    keys: Rc<Keys>,
    now: RefCell<HashMap<SocketAddr, PeerSync>>,
    reached: Cell<bool>,
    since: Instant,
}

impl Follow {
    /// Nobody yet.
    pub fn new(settings: SettingsWatch, exchange: Rc<Exchange>, keys: Rc<Keys>) -> Follow {
        let (now, reached, since) = (RefCell::default(), Cell::new(false), Instant::now());
        Follow { settings, exchange, keys, now, reached, since }
    }

    /// How long this process has been following.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }

    /// Follows the nearest core machine that answers and looks at others, as rendezvous hashing names them; other balancers
    /// only while no core machine answers.
    pub fn choose(&self) {
        let records = self.exchange.view().records();
        let settings = self.settings.borrow().clone();
        let me = settings.node_name.as_str();
        let mut core = self.core_machines(&settings, &records);
        let weigh = |address: &SocketAddr| {
            let zone = records.values().find(|r| r.mesh_address == *address).map(|r| r.zone.as_str());
            let far = zone != Some(settings.zone_name.as_str());
            (far, std::cmp::Reverse(rendezvous::weight(me, &address.to_string())))
        };
        core.sort_by_key(weigh);
        self.keys.set_core(&core);
        let mut now = self.now.borrow_mut();
        let fresh = |address: &SocketAddr| {
            now.get(address).and_then(PeerSync::last_contact).is_some_and(|at| at.elapsed() < STALE)
        };
        // As many as may be lost, and one more.
        let few = (settings.tolerance.machine_loss as usize + 1).min(core.len());
        let answers = core.iter().take(few).any(fresh);
        let nearest = core.iter().take(few).find(|a| fresh(a)).or(core.first()).copied();
        let mut wanted: Vec<(SocketAddr, Option<Duration>)> = core[..few]
            .iter()
            .map(|address| (*address, (Some(*address) == nearest).then_some(CORE_HOLD)))
            .collect();
        if !answers && self.since.elapsed() > STALE {
            wanted.extend(core[few..].iter().map(|address| (*address, None)));
            let others = records.values().filter(|r| !r.is_core && !r.leaving).map(|r| r.source.as_str());
            let peers = rendezvous::top_candidates(me, others, PEERS);
            let met = peers.iter().filter_map(|p| records.get(*p));
            wanted.extend(met.map(|r| (r.mesh_address, Some(PEER_HOLD))));
        }
        now.retain(|address, following| {
            wanted.iter().any(|(w, hold)| w == address && *hold == following.hold())
        });
        for (address, hold) in wanted {
            now.entry(address).or_insert_with(|| match hold {
                Some(hold) => self.exchange.follow(address, hold),
                None => self.exchange.poll(address, LOOK),
            });
        }
    }

    /// The core machines that serve, by the newest list of theirs. Without one, or when none of the list answers: all that
    /// anything names.
    fn core_machines(&self, settings: &Settings, records: &BTreeMap<String, Rc<Record>>) -> Vec<SocketAddr> {
        let now = self.now.borrow();
        let answers = |address: &SocketAddr| {
            now.get(address).and_then(PeerSync::last_contact).is_some_and(|at| at.elapsed() < STALE)
        };
        if let Some(list) = self.exchange.view().core_list()
            && list.machines.iter().any(answers)
        {
            return list.machines.clone();
        }
        let seeds = settings.seed_nodes.iter().map(|seed| settings.mesh_address_of(*seed));
        let records =
            records.values().filter(|record| record.is_core && !record.leaving).map(|r| r.mesh_address);
        let list = self.exchange.view().core_list();
        let listed = list.iter().flat_map(|list| list.machines.iter().copied());
        let mut core: Vec<SocketAddr> = seeds.chain(records).chain(listed).collect();
        core.sort_unstable();
        core.dedup();
        core
    }

    /// Some other process has told what it knows in this life.
    pub fn reached(&self) -> bool {
        let reached = self.reached.get() || self.now.borrow().values().any(|f| f.last_contact().is_some());
        self.reached.set(reached);
        reached
    }
}
