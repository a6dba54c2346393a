//! The program: settings, sockets, and how it begins and ends.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use finchshift as fs;
use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use log::{info, warn};
use sloeline_admin_http::control::{
    self, Call, ControlResponse, error_response, json_response, text_response,
};
use sloeline_admin_http::reload::{self, SettingsWatch};
use sloeline_discovery::{Record, Version};
use sloeline_engine::clock::Clock;
use sloeline_http::client_io::StageTimeouts;
use sloeline_http::server::{HttpServer, Phase, ServerLimits};
use sloeline_http::upstream::{UpstreamProtocol, Upstreams};
use sloeline_idempotency::Ledger;
use sloeline_limits::Share;
use sloeline_process_settings::Settings;
use sloeline_route_config::model::{Config, SizeLimits};
use sloeline_route_config::table::Table;
use sloeline_rpc::exchange::Exchange;
use sloeline_rpc::serve::serve;
use sloeline_rpc::{RpcRequest, RpcResponse};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use crate::beats::Beat;
use crate::follow::Follow;
use crate::front::{Outgoing, Routes};
use crate::header_names;
use crate::keys::Keys;
use crate::link_shaper::LinkShaper;
use crate::metrics;
use crate::receive::Receiver;
use crate::services::{Ground, Services};

/// How often it is looked whom to follow.
const CHOOSE: Duration = Duration::from_millis(500);
/// Descriptors for listeners, the mesh's own connections, the runtime and standard streams.
const RESERVED: u64 = 300;
/// Part of the other descriptors that callers may hold.
const CALLERS: f64 = 0.5;
/// Part of the memory that bodies may fill.
const BODIES: f64 = 0.4;
/// Part of the memory that keyed answers may fill.
const ANSWERS: f64 = 0.15;
/// Keyed answers are kept so much longer than their window, in milliseconds.
const LEDGER_LONGER: u64 = 10_000;
/// After an order to stop clients still come for so long: they look once a second and leave after two misses.
const STILL: Duration = Duration::from_millis(2600);
/// Time between the last answer and the kill.
const MARGIN: Duration = Duration::from_millis(400);
/// A start may follow an order to stop, which came at least [`STILL`] before. Until `grace` and so much more are over since
/// the order, requests are finished as if it held still.
const AFTER_GRACE: Duration = Duration::from_millis(1200);
/// Answers of the upstream up to here are read whole before they leave, so that its slot is free while they wait for the
/// link; longer ones pass through.
const HELD: usize = 256 << 10;
/// Most bytes of a beat.
const MOST_BEAT: usize = 64 << 10;

/// Runs a balancer until it is told to stop.
pub fn run(path: &Path) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("start the runtime")?;
    LocalSet::new()
        .block_on(&runtime, async { run_with_settings(reload::watch_settings(path.to_owned())?).await })
}

fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

async fn listen(what: &str, address: Option<SocketAddr>) -> Result<TcpListener> {
    let address = address.with_context(|| format!("docks.{what}: found nothing, expected an address"))?;
    TcpListener::bind(address).await.with_context(|| format!("listen at {address} for {what}"))
}

/// What callers may take up.
fn room(places: usize, limits: SizeLimits, grace: Duration) -> ServerLimits {
    let pace = StageTimeouts {
        idle: limits.idle.duration(),
        head: limits.header.duration(),
        ..StageTimeouts::default()
    };
    let leave_within = grace.saturating_sub(MARGIN);
    ServerLimits {
        max_connections: places,
        timeouts: pace,
        ready_path: "/-/ready".to_owned(),
        drain_timeout: leave_within,
        accept_after_stop: STILL.min(leave_within),
    }
}

/// The whole life of one, by its settings.
pub async fn run_with_settings(watched: SettingsWatch) -> Result<()> {
    let settings = Settings::clone(&watched.borrow());
    let guarantees = settings.guarantees()?;
    let own = Record {
        source: settings.node_name.clone(),
        version: Version { incarnation: unix_micros(), revision: 1 },
        mesh_address: settings.mesh_address(),
        zone: settings.zone_name.clone(),
        is_core: false,
        leaving: false,
        incoming_address: settings.listen_addrs.incoming,
        upstream: None,
    };
    let exchange = Exchange::new(own);
    let sender = settings.service.clone().context("line: found nothing, expected this machine's service")?;
    let sender = HeaderValue::from_str(&sender).context("line: expected what may stand in a header")?;
    let free = settings.size_limits.file_handles.saturating_sub(RESERVED).max(16) as f64;
    let (places, connections) = ((free * CALLERS) as usize, (free * (1.0 - CALLERS)) as usize);
    let memory = (settings.size_limits.memory_mb << 20) as f64;
    let bodies = Share::standalone((memory * BODIES) as usize);
    let connections = Share::standalone(connections);

    let keys = Keys::new(settings.node_name.clone());
    let dialect = UpstreamProtocol {
        deadline_header: Some(header_names::TIME_LEFT),
        only_200: false,
        declined_mark: None,
        max_response_bytes: 1 << 30,
        max_buffered_bytes: HELD,
        forwards_any_status: true,
        forwards_errors: false,
        echo_header: None,
    };
    let limits = fs::Limits { idle_close: 8_000_000, ..fs::Settings::new(Vec::new()).limits };
    let to_upstream = Upstreams::new(&limits, connections.clone(), dialect);
    spawn_local(to_upstream.close_expired());
    let window = guarantees.key_window.millis() + LEDGER_LONGER;
    let ledger = Ledger::new(window, (memory * ANSWERS) as usize);
    let link = LinkShaper::new(settings.size_limits.link_mbps);
    spawn_local(link.clone().tend());
    let receiver =
        Receiver::new(to_upstream, keys.clone(), ledger, exchange.clone(), guarantees.drain.0, link);
    spawn_local(receiver.clone().tend());

    let clock = Rc::new(Clock::new());
    let (phases, phase) = watch::channel(Phase::Running);
    let first = room(places, SizeLimits::default(), guarantees.grace.duration());
    let callers = HttpServer::new(Outgoing::new(sender, bodies, clock.clone()), first, phase);

    let mesh = TcpListener::bind(settings.mesh_bind_address()).await.context("listen for the mesh")?;
    let incoming = listen("incoming", settings.listen_addrs.incoming).await?;
    let outgoing = listen("outgoing", settings.listen_addrs.outgoing).await?;
    let readiness = listen("readiness", settings.listen_addrs.readiness).await?;
    let dock = listen("control_dock", settings.listen_addrs.control).await?;
    spawn_local(serve(mesh, {
        let (exchange, receiver) = (exchange.clone(), receiver.clone());
        move |ask| answer(exchange.clone(), receiver.clone(), ask)
    }));
    spawn_local(receiver.clone().serve(incoming));
    spawn_local(control::serve(readiness, 1024, {
        let callers = callers.clone();
        move |call, _| {
            let ready = call.path == "/-/ready" && callers.frontend().is_ready();
            async move {
                match ready {
                    true => text_response(StatusCode::OK, "ready"),
                    false => text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
                }
            }
        }
    }));
    spawn_local(control::serve(dock, MOST_BEAT, {
        let receiver = receiver.clone();
        move |call, _| {
            let answer = beat(&receiver, &call);
            async move { answer }
        }
    }));
    let figures =
        vec![metrics::METRICS, sloeline_rpc::metrics::METRICS, sloeline_config_transfer::metrics::METRICS];
    spawn_local(sloeline_admin_http::metrics::serve(settings.ip_addr, figures));
    let ground = Ground {
        zone: settings.zone_name.clone(),
        zones: settings.zones.len().max(1) as u32,
        clock,
        connections,
    };
    let following = Follow::new(watched, exchange.clone(), keys);
    spawn_local(follow(
        following,
        exchange.clone(),
        callers.clone(),
        ground,
        places,
        guarantees.grace.duration(),
    ));
    info!(target: "start", "{} serves at {}.", settings.node_name, settings.mesh_address());

    let mut stop = signal(SignalKind::terminate()).context("wait for SIGTERM")?;
    let accepting = callers.accept(outgoing, &phases);
    let stopping = async {
        let _ = stop.recv().await;
        info!(target: "stop", "Told to stop.");
        callers.frontend().set_ready(false);
        exchange.update_local_record(|own| own.leaving = true);
        let _ = phases.send(Phase::Stopping);
        Instant::now()
    };
    let ((), ordered) = tokio::join!(accepting, stopping);
    let until = ordered + guarantees.grace.duration().saturating_sub(MARGIN);
    let rest = async {
        callers.wait_closed().await;
        while !receiver.is_idle() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = timeout(until.saturating_duration_since(Instant::now()), rest).await;
    info!(target: "stop", "Ends.");
    Ok(())
}

/// What other processes ask.
async fn answer(exchange: Rc<Exchange>, receiver: Rc<Receiver>, ask: RpcRequest) -> Option<RpcResponse> {
    match ask {
        RpcRequest::Pull(pull) => Some(RpcResponse::Updates(exchange.answer_pull(pull).await)),
        RpcRequest::CompareDigest { digest } => Some(exchange.compare_digest(digest)),
        RpcRequest::ConfigPiece(request) => Some(RpcResponse::ConfigPiece(exchange.config_piece(&request))),
        RpcRequest::PushRecords(records) => {
            exchange.apply_records(records);
            Some(RpcResponse::Done)
        }
        RpcRequest::QueryRun { key, run } => Some(receiver.recall(&key, run)),
        RpcRequest::StoreAnswer { key, run, answer } => {
            receiver.keep(&key, run, answer);
            None
        }
        RpcRequest::Chain { .. } => None,
        RpcRequest::Operation(_) => Some(RpcResponse::Unavailable("a balancer keeps no keys".to_owned())),
        RpcRequest::Status => Some(RpcResponse::Status("{}".into())),
    }
}

/// A call of this machine's upstream.
fn beat(receiver: &Receiver, call: &Call) -> ControlResponse {
    if call.path != "/-/rpc" || call.method != Method::POST {
        return error_response(StatusCode::NOT_FOUND, "expected POST /-/rpc");
    }
    let Some(id) = call.target.as_deref().filter(|id| !id.is_empty() && id.len() <= 255) else {
        return error_response(StatusCode::BAD_REQUEST, "of: expected an upstream's id of 1 to 255 bytes");
    };
    match call.name.as_deref() {
        Some("upstreams.beat") => match Beat::parse(&call.body) {
            Ok(beat) => {
                if receiver.beats(|beats| beats.beat(unix_micros(), id, &beat)) {
                    info!(target: "upstream", "{id} is {:?}.", beat.tracking.condition);
                }
                json_response(StatusCode::OK, "{}")
            }
            Err(why) => error_response(StatusCode::BAD_REQUEST, &format!("{why:#}")),
        },
        Some("upstreams.leave") => {
            if receiver.beats(|beats| beats.leave(id)) {
                info!(target: "upstream", "{id} has left.");
            }
            json_response(StatusCode::OK, "{}")
        }
        _ => error_response(StatusCode::NOT_FOUND, "call: expected upstreams.beat or upstreams.leave"),
    }
}

/// Goes by every change of what is known; never returns.
async fn follow(
    follow: Follow,
    exchange: Rc<Exchange>,
    callers: Rc<HttpServer<Outgoing>>,
    ground: Ground,
    places: usize,
    grace: Duration,
) {
    let mut changes = exchange.subscribe();
    let mut services = Services::default();
    services.set_cutting(false);
    let mut planned = None;
    loop {
        changes.mark_unchanged();
        follow.choose();
        let (records, config) = (exchange.view().records(), exchange.view().config());
        if let Some(config) = config
            && planned != Some(config.edition)
        {
            match Config::parse(&config.body) {
                Ok(parsed) => {
                    let table = Table::new(&parsed);
                    let limits = table.limits();
                    match services.plan(&table, &ground) {
                        Ok(leads) => {
                            metrics::VERSION_IN_FORCE.set(config.edition.into());
                            info!(target: "routes", "Configuration {:08x} is in force.", config.edition);
                            callers.frontend().swap(Routes { table, leads });
                            callers.set_limits(room(places, limits, grace));
                        }
                        Err(why) => warn!(target: "routes", "Not in force: {why:#}."),
                    }
                }
                Err(why) => warn!(target: "routes", "Not in force: {why:#}."),
            }
            planned = Some(config.edition);
        }
        services.list(&records);
        let leaving = exchange.local_record().leaving;
        services.set_cutting(!leaving && follow.age() > (grace + AFTER_GRACE).saturating_sub(STILL));
        callers.frontend().set_ready(!leaving && planned.is_some() && services.listed() && follow.reached());
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = sleep(CHOOSE) => {}
        }
    }
}
