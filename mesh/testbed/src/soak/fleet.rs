//! The processes of a soak, the relays between them, and which of them are in trouble.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Result;
use tokio::time::Instant;

use crate::machine::{Machine, Plan};
use crate::process::{Builds, Process, Program};
use crate::relay::Relay;
use crate::standin::Standin;

/// Core machines.
pub const CORES: u8 = 3;
/// Most balancers: machines from 200 on are core machines.
pub const MAX_BALANCERS: u8 = 190;
/// The service of all upstreams.
pub const SERVICE: &str = "goods";
/// Requests that an upstream works on at once, and how long each takes.
pub const SLOTS: u32 = 16;
const WORK: Duration = Duration::from_millis(15);
/// How long a slow one takes: longer than any route allows.
const SLOW_WORK: Duration = Duration::from_secs(8);

/// A process, its relay, and its troubles.
pub struct Node {
    /// Its number among all machines.
    pub machine: u8,
    /// The process.
    pub process: RefCell<Process>,
    /// What stands between it and the others.
    pub relay: Rc<Relay>,
    /// Counts its starts.
    pub life: Cell<u64>,
    /// Troubles that are at work on it.
    pub troubles: Cell<u32>,
    /// When the last of them ended.
    pub calm_since: Cell<Instant>,
    /// Counts the troubles that have begun.
    pub begun_troubles: Cell<u64>,
    /// Those of them that nobody has planned.
    pub unplanned: Cell<u32>,
    /// When the last of those ended.
    pub unplanned_until: Cell<Instant>,
}

impl Node {
    /// A trouble begins.
    pub fn disturb(&self, planned: bool) {
        self.troubles.set(self.troubles.get() + 1);
        self.begun_troubles.set(self.begun_troubles.get() + 1);
        self.unplanned.set(self.unplanned.get() + u32::from(!planned));
    }

    /// It ends.
    pub fn calm(&self, planned: bool) {
        self.troubles.set(self.troubles.get() - 1);
        self.calm_since.set(Instant::now());
        if !planned {
            self.unplanned.set(self.unplanned.get() - 1);
            self.unplanned_until.set(Instant::now());
        }
    }

    /// Nothing unplanned has troubled it for so long.
    pub fn is_free_of_unplanned_for(&self, span: Duration) -> bool {
        self.unplanned.get() == 0 && self.unplanned_until.get().elapsed() >= span
    }

    /// Nothing has troubled it for so long.
    pub fn is_calm_for(&self, span: Duration) -> bool {
        self.troubles.get() == 0 && self.calm_since.get().elapsed() >= span
    }

    /// Starts the process again where it does not run.
    pub fn restart(&self) -> Result<()> {
        let mut process = self.process.borrow_mut();
        if !process.is_running() {
            self.life.set(self.life.get() + 1);
            process.restart()?;
        }
        Ok(())
    }
}

/// All of them.
pub struct Fleet {
    /// Where everything is.
    pub plan: Plan,
    /// Core machines.
    pub cores: Vec<Rc<Node>>,
    /// Balancers; the first has number 1.
    pub balancers: Vec<Rc<Node>>,
    /// The upstreams beside them.
    pub standins: Vec<Standin>,
    _upstreams: Vec<Machine>,
}

impl Fleet {
    /// Starts all processes from these builds: the core machines and so many balancers, each with an upstream.
    pub async fn start(net: u8, balancer_count: u8, builds: &Builds, folder: &Path) -> Result<Fleet> {
        let plan = Plan::new(net, CORES, folder.to_owned()).relayed();
        let (mut cores, mut balancers) = (Vec::new(), Vec::new());
        for core in 0..CORES {
            let settings = plan.core_settings(core, true)?;
            let name = format!("core-{core}-process");
            let builds = builds.for_process(usize::from(core));
            let process = Process::start(Program::ControlPlane, builds, folder, &name, &settings)?;
            let machine = plan.core_machine(core);
            let relay = Relay::start(plan.core_mesh(core), plan.bind(machine)).await?;
            cores.push(Rc::new(node(machine, process, relay)));
        }
        for balancer in 1..=balancer_count {
            let settings = plan.balancer_settings(balancer, SERVICE);
            let name = format!("balancer-{balancer}-process");
            let builds = builds.for_process(usize::from(balancer));
            let process = Process::start(Program::DataPlane, builds, folder, &name, &settings)?;
            let relay = Relay::start(plan.balancer_mesh(balancer), plan.bind(balancer)).await?;
            balancers.push(Rc::new(node(balancer, process, relay)));
        }
        let standins: Vec<Standin> = (0..balancer_count).map(|_| Standin::default()).collect();
        let mut upstreams = Vec::new();
        for (balancer, standin) in (1..).zip(&standins) {
            standin.book().works = WORK;
            standin.book().works_on_slow = SLOW_WORK;
            upstreams.push(plan.standin(balancer, SERVICE, standin, SLOTS)?);
        }
        Ok(Fleet { plan, cores, balancers, standins, _upstreams: upstreams })
    }

    /// The system has begun: later starts of its core machines are not its first.
    pub fn begun(&self) -> Result<()> {
        for (core, node) in (0..).zip(&self.cores) {
            node.process.borrow().set_settings(&self.plan.core_settings(core, false)?)?;
        }
        Ok(())
    }

    /// The number of the last balancer; the first is 1.
    pub fn last_balancer(&self) -> u8 {
        self.balancers.len() as u8
    }

    /// All processes.
    pub fn nodes(&self) -> impl Iterator<Item = &Rc<Node>> {
        self.cores.iter().chain(&self.balancers)
    }
}

fn node(machine: u8, process: Process, relay: Rc<Relay>) -> Node {
    Node {
        machine,
        process: RefCell::new(process),
        relay,
        life: Cell::new(1),
        troubles: Cell::new(0),
        begun_troubles: Cell::new(0),
        calm_since: Cell::new(Instant::now()),
        unplanned: Cell::new(0),
        unplanned_until: Cell::new(Instant::now()),
    }
}
