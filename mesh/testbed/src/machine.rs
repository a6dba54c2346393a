//! Machines: a process of the mesh, or a stand-in, in a thread with its own runtime. Stopped, all of it ends at once, as a
//! process that is killed.

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::thread::{self, JoinHandle};

use anyhow::{Context, Result};
use sloeline_admin_http::reload::fixed_settings;
use sloeline_process_settings::Settings;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

use crate::standin::{Place, Standin};

/// A thread that runs something until it is stopped.
pub struct Machine {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Machine {
    /// Starts one.
    pub fn start<F>(name: &str, work: impl FnOnce() -> F + Send + 'static) -> Result<Machine>
    where
        F: Future<Output = Result<()>> + 'static,
    {
        let (stop, stopped) = oneshot::channel();
        let named = name.to_owned();
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
                return;
            };
            LocalSet::new().block_on(&runtime, async {
                tokio::select! {
                    ended = work() => {
                        if let Err(why) = ended {
                            eprintln!("{named}: {why:#}");
                        }
                    }
                    _ = stopped => {}
                }
            });
        });
        Ok(Machine { stop: Some(stop), thread: Some(thread.context("start a thread")?) })
    }

    /// Ends it and waits until it has.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.end();
    }
}

/// A mesh's plan: where everything is. Each plan has a net of its own in 127/8.
#[derive(Clone, Debug)]
pub struct Plan {
    net: u8,
    cores: u8,
    folder: PathBuf,
    /// Processes of the mesh reach each other through relays.
    relayed: bool,
}

/// The memory that each process may have, in MB.
pub const MEMORY_MB: u64 = 64;

const INCOMING: u16 = 8300;
const APP: u16 = 8301;
const READINESS: u16 = 8302;
const OUTGOING: u16 = 8304;
const DOCK: u16 = 8306;
const MESH: u16 = 7620;

impl Plan {
    /// A net of 127/8 from 1 to 250, so many core machines, and where their disks are.
    pub fn new(net: u8, cores: u8, folder: PathBuf) -> Plan {
        Plan { net, cores, folder, relayed: false }
    }

    /// The same with processes that listen for each other at [`Plan::bind`] and are reached through relays.
    pub fn relayed(self) -> Plan {
        Plan { relayed: true, ..self }
    }

    /// Where a machine listens for others of the mesh where relays are between.
    pub fn bind(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(Ipv4Addr::new(127, 2, self.net, machine).into(), MESH)
    }

    fn ip(&self, machine: u8) -> IpAddr {
        Ipv4Addr::new(127, 1, self.net, machine).into()
    }

    /// Where operators call a core machine, from 0.
    pub fn operator(&self, core: u8) -> SocketAddr {
        SocketAddr::new(self.ip(200 + core), DOCK)
    }

    /// Where clients of a balancer's machine call, from 1.
    pub fn outgoing(&self, balancer: u8) -> SocketAddr {
        SocketAddr::new(self.ip(balancer), OUTGOING)
    }

    /// Where other balancers send requests for a balancer's upstream, from 1.
    pub fn incoming(&self, balancer: u8) -> SocketAddr {
        SocketAddr::new(self.ip(balancer), INCOMING)
    }

    /// Where a balancer tells whether it is ready.
    pub fn readiness(&self, balancer: u8) -> SocketAddr {
        SocketAddr::new(self.ip(balancer), READINESS)
    }

    /// Where an upstream is.
    pub fn upstream(&self, balancer: u8, service: &str, slots: u32) -> Place {
        Place {
            id: format!("i-{}-{balancer}", self.net),
            service: service.to_owned(),
            address: SocketAddr::new(self.ip(balancer), APP),
            dock: SocketAddr::new(self.ip(balancer), DOCK),
            slots,
        }
    }

    fn settings_text(&self, machine: u8, first: bool, rest: &str) -> String {
        let seeds: Vec<String> = (0..self.cores).map(|c| format!("\"{}\"", self.operator(c))).collect();
        let ip = self.ip(machine);
        let text = format!(
            "node_name = \"m-{machine}\"\nip_addr = \"{ip}\"\nzone_name = \"a\"\nport_range = [{MESH},7635]\n\
             seed_nodes = [{}]\nfirst_boot = {first}\n\
             guarantees = [\"grace=6s\",\"key_window=60s\",\"drain=2000ms\"]\n{rest}\n\
             [zones]\na = \"r\"\n[size_limits]\nfile_handles = 2000\nmemory_mb = {MEMORY_MB}\n\
             [tolerance]\nmachine_loss = 1\n[docks]\ncontrol_dock = \"{ip}:{DOCK}\"\n",
            seeds.join(","),
        );
        let docks = format!(
            "incoming = \"{ip}:{INCOMING}\"\noutgoing = \"{ip}:{OUTGOING}\"\nreadiness = \"{ip}:{READINESS}\"\n"
        );
        let text = if machine < 200 { text + &docks } else { text };
        if self.relayed { format!("mesh_bind_addr = \"{}\"\n{text}", self.bind(machine).ip()) } else { text }
    }

    /// Where a machine serves its figures.
    pub fn metrics(&self, machine: u8) -> SocketAddr {
        SocketAddr::new(self.ip(machine), sloeline_admin_http::metrics::PORT)
    }

    /// The number of a core machine, from 0, among all machines.
    pub fn core_machine(&self, core: u8) -> u8 {
        200 + core
    }

    /// Where processes of the mesh reach a core machine, from 0.
    pub fn core_mesh(&self, core: u8) -> SocketAddr {
        SocketAddr::new(self.ip(200 + core), MESH)
    }

    /// Where processes of the mesh reach a balancer, from 1.
    pub fn balancer_mesh(&self, balancer: u8) -> SocketAddr {
        SocketAddr::new(self.ip(balancer), MESH)
    }

    /// The settings of a core machine, from 0.
    pub fn core_settings(&self, core: u8, first: bool) -> Result<String> {
        let folder = self.folder.join(format!("core-{core}"));
        Ok(self.settings_text(200 + core, first, &format!("data_path = {:?}", folder.display().to_string())))
    }

    /// Starts a core machine, from 0. One that is not of the plan's first machines is a new one.
    pub fn core(&self, core: u8, first: bool) -> Result<Machine> {
        self.start_core(core, Settings::parse(&self.core_settings(core, first)?)?)
    }

    /// Starts a new core machine whose settings name these.
    pub fn new_core(&self, core: u8, seeds: &[u8]) -> Result<Machine> {
        let mut settings = Settings::parse(&self.core_settings(core, false)?)?;
        settings.seed_nodes = seeds.iter().map(|seed| self.operator(*seed)).collect();
        self.start_core(core, settings)
    }

    fn start_core(&self, core: u8, settings: Settings) -> Result<Machine> {
        Machine::start(&format!("core-{core}"), move || {
            sloeline_control_plane::program::run_with_settings(fixed_settings(settings))
        })
    }

    /// The settings of a balancer, from 1.
    pub fn balancer_settings(&self, balancer: u8, service: &str) -> String {
        let app = SocketAddr::new(self.ip(balancer), APP);
        self.settings_text(balancer, true, &format!("app_addr = \"{app}\"\nline = \"{service}\""))
    }

    /// Starts a balancer, from 1.
    pub fn balancer(&self, balancer: u8, service: &str) -> Result<Machine> {
        self.start_balancer(balancer, &self.balancer_settings(balancer, service))
    }

    /// The settings of a balancer, from 1, whose machine has a link of so many megabits a second.
    pub fn balancer_settings_on_link(&self, balancer: u8, service: &str, link_mbps: f64) -> String {
        let size = format!("[size_limits]\nlink_mbps = {link_mbps:?}\n");
        self.balancer_settings(balancer, service).replace("[size_limits]\n", &size)
    }

    /// Starts a balancer, from 1, whose machine has a link of so many megabits a second.
    pub fn balancer_on_link(&self, balancer: u8, service: &str, link_mbps: f64) -> Result<Machine> {
        self.start_balancer(balancer, &self.balancer_settings_on_link(balancer, service, link_mbps))
    }

    fn start_balancer(&self, balancer: u8, settings: &str) -> Result<Machine> {
        let settings = Settings::parse(settings)?;
        Machine::start(&format!("balancer-{balancer}"), move || {
            sloeline_data_plane::program::run_with_settings(fixed_settings(settings))
        })
    }

    /// Starts a stand-in upstream beside a balancer.
    pub fn standin(&self, balancer: u8, service: &str, standin: &Standin, slots: u32) -> Result<Machine> {
        let (place, standin) = (self.upstream(balancer, service, slots), standin.clone());
        Machine::start(&place.id.clone(), move || crate::standin::run(standin, place))
    }
}
