//! The engine with its callers, and how both go on under other settings.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use finchshift as fs;
use finchshift::Micros;
use serde_json::Value;
use sloeline_engine::engine::Engine;
use sloeline_http::platform::{PlatformFrontend, PlatformNames};
use sloeline_http::server::{HttpServer, Phase, ServerLimits};
use sloeline_http::upstream::{UpstreamProtocol, Upstreams};
use sloeline_limits::Share;
use sloeline_membership::platform::Discovery;
use sloeline_settings::setup::{NameTable, Setup, balancer_settings};
use tokio::sync::watch;
use tokio::task::spawn_local;

use super::config::Config;
use super::operator::Learned;
use crate::net::Net;
use sloeline_engine::slots::{ClassSlot, assign};

/// Descriptors for the runtime, the signals, the listeners, operators' calls, discovery and standard streams.
const RESERVED: usize = 40;
/// Part of the other descriptors that callers may hold; upstreams have the rest.
const CALLERS: f64 = 0.55;
/// Part of the memory that the bodies of open requests and their answers may fill. The rest is for what each
/// connection has beside: of 32 MB with 256 descriptors, 8 KB buffers and heads take 5, the program itself 2.
const BODIES: f64 = 0.5;

/// What a service is told at its start.
pub struct Told {
    /// The settings.
    pub setup: Setup,
    /// The file that they stood in.
    pub file: Value,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The version of the list that is known.
    pub generation: u64,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors that it may hold.
    pub sockets: usize,
    /// Memory that it may use, in bytes.
    pub memory: usize,
}

/// The balancer between its sockets.
pub struct Service {
    engine: Rc<Engine<Net>>,
    callers: Rc<HttpServer<PlatformFrontend<Net>>>,
    discovery: Rc<Discovery>,
    connections: Rc<Share>,
    bodies: Rc<Share>,
    sockets: usize,
    memory: usize,
    /// How many processes of the same balancer there are; each takes its part.
    processes: Cell<usize>,
    longest: Cell<Micros>,
    slots: RefCell<Vec<ClassSlot>>,
    zone: String,
    file: RefCell<Value>,
    at: Cell<SocketAddr>,
}

fn wanted(setup: &Setup, settings: &fs::Settings) -> Vec<ClassSlot> {
    let classes = setup.classes.iter().zip(&settings.classes);
    classes.map(|(c, class)| ClassSlot { name: c.name.clone(), class: class.clone() }).collect()
}

fn named(setup: &Setup, wanted: &[ClassSlot], numbers: &[fs::ClassId]) -> PlatformNames {
    let classes = wanted.iter().zip(numbers).map(|(w, n)| (w.name.clone(), (*n, w.class.clone())));
    let tenants = setup.tenants.iter().enumerate().map(|(i, r)| (r.name.clone(), i));
    PlatformNames { classes: classes.collect(), tenants: tenants.collect() }
}

fn longest(wanted: &[ClassSlot]) -> Micros {
    wanted.iter().map(|w| w.class.deadline).max().unwrap_or(0)
}

/// How many descriptors callers and upstreams have in one of so many processes.
fn descriptors(sockets: usize, processes: usize) -> (usize, usize) {
    let free = (sockets.saturating_sub(processes * RESERVED) / processes).max(2);
    let callers = ((free as f64 * CALLERS) as usize).max(1);
    (callers, free - callers)
}

fn body_bytes(memory: usize, processes: usize) -> usize {
    (memory as f64 * BODIES) as usize / processes
}

impl Service {
    /// One that has no list yet, of so many processes. The error is one plain line.
    pub fn new(told: Told, processes: usize, phase: watch::Receiver<Phase>) -> Result<Rc<Service>, String> {
        let Told { setup, file, discovery: at, generation, seed, sockets, memory } = told;
        let mut zones = NameTable::default();
        let settings = balancer_settings(&setup, &mut zones)?;
        let slots = wanted(&setup, &settings);
        let (callers, upstreams) = descriptors(sockets, processes);
        let connections = Share::standalone(upstreams);
        let upstreams = Upstreams::new(&settings.limits, connections.clone(), UpstreamProtocol::platform());
        spawn_local(upstreams.close_expired());
        let discovery = Discovery::new(at, generation);
        let net = Net { upstreams, discovery: Some(discovery.clone()) };
        let engine = Engine::new(settings, &zones, seed, net)?;
        let numbers: Vec<_> = (0..slots.len()).collect();
        let bodies = Share::standalone(body_bytes(memory, processes));
        let front = PlatformFrontend::new(engine.clone(), named(&setup, &slots, &numbers), bodies.clone());
        let longest = longest(&slots);
        Ok(Rc::new(Service {
            engine,
            callers: HttpServer::new(front, ServerLimits::platform(callers, longest), phase),
            discovery,
            connections,
            bodies,
            sockets,
            memory,
            processes: Cell::new(processes),
            longest: Cell::new(longest),
            slots: RefCell::new(slots),
            zone: setup.zone,
            file: RefCell::new(file),
            at: Cell::new(at),
        }))
    }

    /// The engine.
    pub fn engine(&self) -> &Rc<Engine<Net>> {
        &self.engine
    }

    /// The callers.
    pub fn callers(&self) -> &Rc<HttpServer<PlatformFrontend<Net>>> {
        &self.callers
    }

    /// The file whose settings hold.
    pub fn file(&self) -> Value {
        self.file.borrow().clone()
    }

    /// Where discovery is, and the version of the list that is held.
    pub fn discovery(&self) -> (SocketAddr, u64) {
        (self.at.get(), self.discovery.generation())
    }

    /// What the module has learned.
    pub fn learned(&self) -> Learned {
        let (learned, zones) = self.engine.learned();
        let slots = self.slots.borrow();
        let classes = slots.iter().map(|s| s.name.clone()).zip(learned.classes).collect();
        Learned { classes, all: learned.overall, zones }
    }

    /// Goes on with what another process has learned; after its list.
    pub fn resume(&self, mut learned: Learned) {
        let slots = self.slots.borrow();
        // A class that the other did not have begins anew.
        let classes = slots.iter().map(|s| learned.classes.remove(&s.name).unwrap_or_default());
        let classes = classes.collect();
        let figures = fs::LearnedState { classes, overall: learned.all, zones: Vec::new() };
        self.engine.import_learned(figures, learned.zones);
    }

    /// There are so many processes of this balancer. All together hold no more than one may.
    pub fn share(&self, processes: usize) {
        if self.processes.replace(processes) != processes {
            self.resize();
        }
    }

    fn resize(&self) {
        let (callers, upstreams) = descriptors(self.sockets, self.processes.get());
        self.callers.set_limits(ServerLimits::platform(callers, self.longest.get()));
        self.connections.resize(upstreams);
        self.bodies.resize(body_bytes(self.memory, self.processes.get()));
    }

    /// Goes on under another configuration; with an error nothing has changed. Requests that are admitted keep their
    /// class. Returns where discovery is now.
    pub fn retune(&self, config: Config) -> Result<SocketAddr, String> {
        if config.setup.zone != self.zone {
            let (found, expected) = (&config.setup.zone, &self.zone);
            return Err(format!(
                "settings.Zone: found {found:?}, expected {expected:?}: it changes with a restart"
            ));
        }
        let mut settings = balancer_settings(&config.setup, &mut NameTable::default())?;
        // What is wanted, before the classes that are only kept are among it.
        settings.check().map_err(|e| format!("settings: {e}"))?;
        let wanted = wanted(&config.setup, &settings);
        let assigned =
            assign(&self.slots.borrow(), &wanted, |class| self.callers.frontend().uses_class(class));
        settings.classes = assigned.slots.iter().map(|s| s.class.clone()).collect();
        let limits = settings.limits.clone();
        self.engine.reconfigure(settings, &assigned.inherited)?;
        self.callers.frontend().set_names(named(&config.setup, &wanted, &assigned.class_ids));
        self.engine.transport().upstreams.set_config(&limits, UpstreamProtocol::platform());
        // A class that is gone may have requests that are to be answered before a stop.
        self.longest.set(longest(&assigned.slots));
        *self.slots.borrow_mut() = assigned.slots;
        self.resize();
        *self.file.borrow_mut() = config.file;
        self.at.set(config.discovery);
        let engine = self.engine.clone();
        self.discovery.move_to(config.discovery, move |kind, entries| engine.update_list(kind, entries));
        Ok(config.discovery)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn several_processes_hold_no_more_than_one_may() {
        for (sockets, processes) in
            [60, 64, 100, 256, 384, 1024, 4096].into_iter().flat_map(|s| [(s, 1), (s, 2), (s, 3)])
        {
            let (callers, upstreams) = descriptors(sockets, processes);
            assert!(callers > 0 && upstreams > 0);
            // Where there is room for so many at all.
            if sockets >= 60 * processes {
                assert!(processes * (callers + upstreams + RESERVED) <= sockets, "{sockets}, {processes}");
            }
        }
        for memory in [1 << 20, 33 << 20] {
            assert!(3 * body_bytes(memory, 3) <= body_bytes(memory, 1));
        }
    }
}
