//! The program as the platform runs it: one listener, one engine, all of it told by `EDGE_CONFIG`.

use std::net::SocketAddr;
use std::rc::Rc;

use finchshift::ListKind;
use sloeline_events::emit;
use sloeline_operations::handover::{request_handover, socket_path};
use sloeline_operations::order_file::OrderFile;
use sloeline_operations::order_http;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;

use self::config::Config;
use self::operator::{Handed, Operator};
use self::service::Service;
use sloeline_http::server::Phase;

pub mod config;
mod operator;
mod service;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Takes an address; the error names it. `beside` another process that has done the same.
pub fn listen(address: SocketAddr, beside: bool) -> Result<TcpListener, String> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let listener = socket.and_then(|s| {
        s.set_reuseaddr(true)?;
        s.set_reuseport(beside)?;
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
    let operated = config.control.is_some();
    // Where another process of this balancer may be met; only where operators run it.
    let folder = operated.then(|| variable("TMPDIR")).flatten().map(std::path::PathBuf::from);
    let place = folder.as_ref().and_then(|folder| {
        socket_path(folder, &config.name)
            .inspect_err(|why| emit!(LINK_FAILED, why = %why; "link: {why}"))
            .ok()
    });
    let inherited = match &place {
        Some(place) => request_handover::<Handed>(place).await.unwrap_or_else(|why| {
            emit!(LINK_FAILED, why = %why; "link: the process that serves gave nothing: {why}");
            None
        }),
        None => None,
    };
    let (ours, hello, line) = match inherited {
        Some(i) => (Some(i.listener), Some(i.handover), Some(i.line)),
        None => (None, None, None),
    };
    let same = |l: &std::net::TcpListener| {
        l.local_addr().is_ok_and(|a| a == config.listen || config.listen.port() == 0)
    };
    let ours = ours.filter(same);
    // Told another address it follows nobody: the one before goes on at its own until it is told to stop.
    let follows = ours.is_some();
    let listener = match ours {
        Some(listener) => listener,
        None => listen(config.listen, operated)?.into_std().map_err(|e| e.to_string())?,
    };
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let second = listener.try_clone().map_err(|e| e.to_string())?;
    let control = config.control.map(|address| listen(address, false)).transpose()?;

    let (phases, phase) = watch::channel(Phase::Running);
    let keep = folder.map(|folder| OrderFile::new(&folder, &config.name));
    let (known, name) = (config.known, config.name);
    let handed = hello.as_ref().and_then(|h| h.list.as_ref());
    let generation = handed.filter(|h| h.discovery == config.discovery).map(|h| h.list.generation);
    let generation = generation.or(known.as_ref().map(|k| k.generation)).unwrap_or(0);
    let service = Service::new(
        service::Told {
            setup: config.setup,
            file: config.file,
            discovery: config.discovery,
            generation,
            seed: config.seed,
            sockets: config.sockets,
            memory: config.memory,
        },
        1 + usize::from(line.is_some()),
        phase,
    )?;
    let (orders, list) = match hello {
        Some(hello) => (hello.orders, hello.list),
        None => {
            let kept = keep.as_ref().map(OrderFile::read).transpose();
            let kept = kept
                .inspect_err(|why| emit!(ORDERS_CORRUPT, why = %why; "sloeline: no orders are known: {why}"));
            (kept.ok().flatten().unwrap_or_default(), None)
        }
    };
    let engine = service.engine().clone();
    let operator = Operator::new(service.clone(), keep, second, follows);
    // Before any list: nothing is sent to an upstream that is out.
    operator.adopt(&orders);
    match (list, known) {
        (Some(handed), _) => {
            engine.import_unconfirmed_restarts(handed.returned);
            engine.update_list(ListKind::Complete, handed.list.entries());
            service.resume(handed.learned);
        }
        (None, Some(known)) => engine.update_list(ListKind::Stale, known.entries()),
        (None, None) => engine.start(),
    }
    spawn_local(engine.run());
    spawn_local({
        let service = service.clone();
        async move {
            while hangup.recv().await.is_some() {
                match Config::read_again(variable, &service.file()).and_then(|c| service.retune(c)) {
                    Ok(discovery) => {
                        emit!(CONFIG_RELOADED; "sloeline: configuration read again; discovery is {discovery}");
                    }
                    // Guards against a file that is half written or wrong.
                    Err(why) => {
                        emit!(CONFIG_RELOAD_REJECTED, why = %why; "sloeline: the running configuration is kept: {why}");
                    }
                }
            }
        }
    });

    let listener = TcpListener::from_std(listener).map_err(|e| e.to_string())?;
    emit!(LISTENER_STARTED, listener = %name, address = %address; "sloeline {name} listens on {address}");
    spawn_local(operator.clone().pose());
    if let Some(control) = control {
        let address = control.local_addr().map_err(|e| e.to_string())?;
        emit!(CONTROL_LISTENING, at = %address; "sloeline {name} takes operators' calls on {address}");
        spawn_local(order_http::serve(control, operator.clone()));
    }
    if let Some(place) = place {
        spawn_local(operator.clone().meet(place, line));
    }
    let stop = phases.clone();
    spawn_local({
        let operator = operator.clone();
        async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
            emit!(STOPPING; "sloeline: told to stop");
            operator.stop();
            let _ = stop.send(Phase::Stopping);
        }
    });
    let callers: &Rc<_> = service.callers();
    operator.serving();
    callers.accept(listener, &phases).await;
    operator.let_go();
    callers.wait_closed().await;
    Ok(())
}
