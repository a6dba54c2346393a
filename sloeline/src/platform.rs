//! The program as the platform runs it: one listener, one engine, all of it told by `EDGE_CONFIG`.

use std::rc::Rc;

use finchshift::ListKind;
use sloeline_engine::engine::Engine;
use sloeline_http::callers::{Callers, Phase, Room};
use sloeline_http::platform::Platform;
use sloeline_http::upstream::{Dialect, Upstreams};
use sloeline_limits::Share;
use sloeline_membership::platform::Discovery;
use sloeline_settings::setup::{Names, settings};
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;

use crate::net::Net;
use crate::platform_config::Config;

/// Descriptors for the runtime, the signals, the listener, discovery and standard streams.
const RESERVED: usize = 40;
/// Part of the other descriptors that callers may hold; upstreams have the rest.
const CALLERS: f64 = 0.55;
/// Part of the memory that the bodies of open requests and their answers may fill. The rest is for what each
/// connection has beside: of 32 MB with 256 descriptors, 8 KB buffers and heads take 5, the program itself 2.
const BODIES: f64 = 0.4;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Takes over what may change while it runs, which is where discovery is. Guards against a file that is half
/// written or wrong: the running configuration is kept then.
fn reload(engine: &Rc<Engine<Net>>, discovery: &Rc<Discovery>) {
    match Config::read_again(variable) {
        Ok(config) => {
            eprintln!("sloeline: configuration read again; discovery is {}", config.discovery);
            let engine = engine.clone();
            discovery.move_to(config.discovery, move |kind, entries| engine.list(kind, entries));
        }
        Err(why) => eprintln!("sloeline: the running configuration is kept: {why}"),
    }
}

/// Takes an address; the error names it.
pub fn listen(address: std::net::SocketAddr) -> Result<TcpListener, String> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let listener = socket.and_then(|s| {
        s.set_reuseaddr(true)?;
        s.bind(address)?;
        s.listen(BACKLOG)
    });
    listener.map_err(|e| format!("{address}: {e}"))
}

/// Runs until the order to stop; the error is one plain line.
pub async fn run() -> Result<(), String> {
    // The signals before all else: until it is handled, SIGHUP ends the process.
    let order = |kind| signal(kind).map_err(|e| e.to_string());
    let mut hangup = order(SignalKind::hangup())?;
    let mut terminate = order(SignalKind::terminate())?;
    let mut interrupt = order(SignalKind::interrupt())?;
    let config = Config::read(variable)?;
    let mut zones = Names::default();
    let settings = settings(&config.setup, &mut zones)?;

    let free = config.sockets.saturating_sub(RESERVED).max(2);
    let callers = ((free as f64 * CALLERS) as usize).max(1);
    let upstreams = Upstreams::new(&settings.limits, Share::alone(free - callers), Dialect::platform());
    spawn_local(upstreams.tend());
    let generation = config.known.as_ref().map_or(0, |known| known.generation);
    let discovery = Discovery::new(config.discovery, generation);
    let classes: Vec<_> = config
        .setup
        .categories
        .iter()
        .map(|c| c.name.clone())
        .zip(settings.classes.iter().cloned())
        .collect();
    let tenants = config.setup.realms.iter().map(|r| r.name.clone()).collect();
    let engine =
        Engine::new(settings, &zones, config.seed, Net { upstreams, discovery: Some(discovery.clone()) })?;
    match config.known {
        Some(known) => engine.list(ListKind::Stale, known.entries()),
        None => engine.begin(),
    }
    spawn_local(engine.clone().run());
    spawn_local({
        let engine = engine.clone();
        async move {
            while hangup.recv().await.is_some() {
                reload(&engine, &discovery);
            }
        }
    });

    let listener = listen(config.listen)?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    eprintln!("sloeline {} listens on {address}", config.name);

    let (phases, phase) = watch::channel(Phase::Running);
    let stop = phases.clone();
    spawn_local(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        eprintln!("sloeline: told to stop");
        let _ = stop.send(Phase::Stopping);
    });
    let room = Room::platform(callers, classes.iter().map(|(_, class)| class.deadline).max().unwrap_or(0));
    let front = Platform::new(engine, classes, tenants, (config.memory as f64 * BODIES) as usize);
    let callers = Callers::new(front, room, phase);
    callers.accept(listener, &phases).await;
    callers.closed().await;
    Ok(())
}
