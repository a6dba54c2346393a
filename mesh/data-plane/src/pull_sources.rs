//! Selects the processes that this balancer pulls updates from: the nearest core machine that answers, with periodic checks
//! of further ones, and other balancers only while no core machine answers.

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

use crate::keys::KeyClient;

/// How long a core machine holds a pull while it has nothing new.
const CORE_PULL_HOLD: Duration = Duration::from_millis(1000);
/// How long another balancer holds a pull while it has nothing new.
const PEER_PULL_HOLD: Duration = Duration::from_secs(5);
/// Interval between checks of a core machine that is not pulled from.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);
/// A core machine that has not answered for this long counts as unreachable. Longer than a core machine holds a pull.
const STALE_AFTER: Duration = Duration::from_millis(1700);
/// Number of other balancers that a balancer pulls from while no core machine answers.
const PEER_COUNT: usize = 2;

/// The processes that this balancer pulls updates from.
pub struct PullSources {
    /// The process settings, which name the seed nodes.
    settings: SettingsWatch,
    /// Records of the mesh; runs the pulls and checks.
    exchange: Rc<Exchange>,
    /// Gets the addresses of the core machines.
    keys: Rc<KeyClient>,
    /// The processes that are pulled from or checked now, by address.
    sources: RefCell<HashMap<SocketAddr, PeerSync>>,
    /// Whether any process has answered since the start.
    reached: Cell<bool>,
    /// When the process started.
    started: Instant,
}

impl PullSources {
    /// Creates a selection without any source; [`PullSources::update`] selects the first ones.
    pub fn new(settings: SettingsWatch, exchange: Rc<Exchange>, keys: Rc<KeyClient>) -> PullSources {
        let (sources, reached, started) = (RefCell::default(), Cell::new(false), Instant::now());
        PullSources { settings, exchange, keys, sources, reached, started }
    }

    /// Time since this selection was created, at the start of the process.
    pub fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Selects the sources anew: pulls from the nearest core machine that answers, and checks as many further ones as may
    /// fail. While no core machine answers, also checks the rest of them and pulls from a few other balancers. Core
    /// machines of the own zone count as nearer, and rendezvous hashing orders machines of equal distance.
    pub fn update(&self) {
        let records = self.exchange.view().records();
        let settings = self.settings.borrow().clone();
        let own_name = settings.node_name.as_str();
        let mut core = self.core_machines(&settings, &records);
        let rank = |address: &SocketAddr| {
            let zone = records.values().find(|r| r.mesh_address == *address).map(|r| r.zone.as_str());
            let other_zone = zone != Some(settings.zone_name.as_str());
            (other_zone, std::cmp::Reverse(rendezvous::weight(own_name, &address.to_string())))
        };
        core.sort_by_key(rank);
        self.keys.set_core_machines(&core);
        let mut sources = self.sources.borrow_mut();
        let answers_now = |address: &SocketAddr| {
            sources.get(address).and_then(PeerSync::last_contact).is_some_and(|at| at.elapsed() < STALE_AFTER)
        };
        // One more than the number of core machines whose loss is tolerated.
        let checked = (settings.tolerance.machine_loss as usize + 1).min(core.len());
        let core_answers = core.iter().take(checked).any(answers_now);
        let nearest = core.iter().take(checked).find(|a| answers_now(a)).or(core.first()).copied();
        let mut wanted: Vec<(SocketAddr, Option<Duration>)> = core[..checked]
            .iter()
            .map(|address| (*address, (Some(*address) == nearest).then_some(CORE_PULL_HOLD)))
            .collect();
        if !core_answers && self.started.elapsed() > STALE_AFTER {
            wanted.extend(core[checked..].iter().map(|address| (*address, None)));
            let others = records.values().filter(|r| !r.is_core && !r.leaving).map(|r| r.source.as_str());
            let peers = rendezvous::top_candidates(own_name, others, PEER_COUNT);
            let known_peers = peers.iter().filter_map(|p| records.get(*p));
            wanted.extend(known_peers.map(|r| (r.mesh_address, Some(PEER_PULL_HOLD))));
        }
        sources.retain(|address, sync| wanted.iter().any(|(w, hold)| w == address && *hold == sync.hold()));
        for (address, hold) in wanted {
            sources.entry(address).or_insert_with(|| match hold {
                Some(hold) => self.exchange.follow(address, hold),
                None => self.exchange.poll(address, CHECK_INTERVAL),
            });
        }
    }

    /// Addresses of the core machines in the newest list. Without a list, or if none of its machines answers: all addresses of
    /// core machines from the settings, the records and the list.
    fn core_machines(&self, settings: &Settings, records: &BTreeMap<String, Rc<Record>>) -> Vec<SocketAddr> {
        let sources = self.sources.borrow();
        let answers = |address: &SocketAddr| {
            sources.get(address).and_then(PeerSync::last_contact).is_some_and(|at| at.elapsed() < STALE_AFTER)
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

    /// Whether any other process has answered since this process started.
    pub fn reached(&self) -> bool {
        let reached =
            self.reached.get() || self.sources.borrow().values().any(|sync| sync.last_contact().is_some());
        self.reached.set(reached);
        reached
    }
}
