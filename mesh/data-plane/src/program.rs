//! The program: settings, sockets, startup and shutdown.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use finchshift as fs;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use log::{info, warn};
use sloeline_admin_http::control::{self, text_response};
use sloeline_admin_http::reload::{self, SettingsWatch};
use sloeline_discovery::{Record, Version};
use sloeline_engine::clock::Clock;
use sloeline_http::client_io::{ConnectionCounts, StageTimeouts};
use sloeline_http::server::{HttpServer, Phase, ServerLimits};
use sloeline_http::upstream::{ProcessingStart, UpstreamProtocol, Upstreams};
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

use crate::ended_upstreams::EndedUpstreamsClient;
use crate::front::{Outgoing, Routes};
use crate::header_names;
use crate::keys::KeyClient;
use crate::link_shaper::LinkShaper;
use crate::metrics;
use crate::pull_sources::PullSources;
use crate::receive::Receiver;
use crate::services::{ServiceContext, Services};
use crate::shutdown::{CLIENT_LEAVE_TIME, ShutdownSchedule};
use crate::upstream_calls::UpstreamCalls;

/// Maximum interval between updates of the pull sources.
const SOURCE_UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// File descriptors reserved for listeners, the mesh's own connections, the runtime and the standard streams.
const RESERVED_DESCRIPTORS: u64 = 300;
/// Share of the other file descriptors that clients' connections may use.
const CLIENT_DESCRIPTOR_SHARE: f64 = 0.5;
/// Share of the configured memory for request bodies, those of clients and those for this machine's upstream together.
const BODY_MEMORY_SHARE: f64 = 0.4;
/// Share of the configured memory for the stored responses of keyed requests.
const STORED_RESPONSE_MEMORY_SHARE: f64 = 0.15;
/// How much longer than the key window stored responses are kept.
const LEDGER_EXTRA_MS: u64 = 10_000;
/// The start of a process may follow the shutdown of another one, which began at least
/// [`CLIENT_LEAVE_TIME`] earlier. Requests
/// are not cancelled until the grace period and this time have passed since the shutdown began.
const AFTER_GRACE: Duration = Duration::from_millis(1200);
/// Responses of the upstream up to this size are read whole before they are sent, so that the upstream's slot is free while
/// they wait for the link; larger ones are streamed.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 << 10;
/// Maximum size of a heartbeat message.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;

/// Runs a balancer with the settings file at this path until the process receives SIGTERM.
pub fn run(path: &Path) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("start the runtime")?;
    LocalSet::new()
        .block_on(&runtime, async { run_with_settings(reload::watch_settings(path.to_owned())?).await })
}

/// The present time, in microseconds since the Unix epoch.
fn unix_micros() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

/// Binds the listener for one of the addresses in the `docks` settings.
async fn listen(what: &str, address: Option<SocketAddr>) -> Result<TcpListener> {
    let address = address.with_context(|| format!("docks.{what}: found nothing, expected an address"))?;
    TcpListener::bind(address).await.with_context(|| format!("listen at {address} for {what}"))
}

/// Limits for the connections of clients.
fn client_limits(places: usize, limits: SizeLimits, shutdown: &ShutdownSchedule) -> ServerLimits {
    let pace = StageTimeouts {
        idle: limits.idle.duration(),
        head: limits.header.duration(),
        body_within_time_left: true,
        ..StageTimeouts::default()
    };
    ServerLimits {
        max_connections: places,
        timeouts: pace,
        max_head_bytes: usize::try_from(limits.header_bytes).unwrap_or(usize::MAX),
        ready_path: "/-/ready".to_owned(),
        drain_timeout: shutdown.requests_end,
        accept_after_stop: shutdown.accept_end,
    }
}

/// Runs a balancer with these settings, which may change while it runs, until the process receives SIGTERM.
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
    let sender = HeaderValue::from_str(&sender).context("line: expected a valid HTTP header value")?;
    let free = settings.size_limits.file_handles.saturating_sub(RESERVED_DESCRIPTORS).max(16) as f64;
    let (max_clients, connections) =
        ((free * CLIENT_DESCRIPTOR_SHARE) as usize, (free * (1.0 - CLIENT_DESCRIPTOR_SHARE)) as usize);
    let memory = (settings.size_limits.memory_mb << 20) as f64;
    let bodies = Share::standalone((memory * BODY_MEMORY_SHARE) as usize);
    let connections = Share::standalone(connections);

    let keys = KeyClient::new(settings.node_name.clone());
    let dialect = UpstreamProtocol {
        processing_start: ProcessingStart::FirstByte,
        deadline_header: Some(header_names::TIME_LEFT),
        only_200: false,
        declined_mark: None,
        max_response_bytes: 1 << 30,
        max_buffered_bytes: MAX_BUFFERED_RESPONSE_BYTES,
        forwards_any_status: true,
        forwards_errors: false,
        echo_header: None,
        instance_header: None,
        request_id_header: Some(header_names::TRY_ID),
    };
    let limits = fs::Limits { idle_close: 8_000_000, ..fs::Settings::new(Vec::new()).limits };
    let to_upstream = Upstreams::new(&limits, connections.clone(), dialect);
    spawn_local(to_upstream.close_expired());
    let window = guarantees.key_window.millis() + LEDGER_EXTRA_MS;
    let ledger = Ledger::new(window, (memory * STORED_RESPONSE_MEMORY_SHARE) as usize);
    let link = LinkShaper::new(settings.size_limits.link_mbps);
    spawn_local(link.clone().run());
    let receiver = Receiver::new(
        to_upstream,
        keys.clone(),
        ledger,
        exchange.clone(),
        guarantees.drain.0,
        link,
        bodies.clone(),
    );
    spawn_local(receiver.clone().run_admission());

    let clock = Rc::new(Clock::new());
    let (phases, phase) = watch::channel(Phase::Running);
    let grace = guarantees.grace.duration();
    let shutdown = ShutdownSchedule::new(grace);
    let initial_limits = client_limits(max_clients, SizeLimits::default(), &shutdown);
    let callers = HttpServer::new(Outgoing::new(sender, bodies, clock.clone()), initial_limits, phase);

    let mesh = TcpListener::bind(settings.mesh_bind_address()).await.context("listen for the mesh")?;
    let incoming = listen("incoming", settings.listen_addrs.incoming).await?;
    let outgoing = listen("outgoing", settings.listen_addrs.outgoing).await?;
    let readiness = listen("readiness", settings.listen_addrs.readiness).await?;
    let control = listen("control_dock", settings.listen_addrs.control).await?;
    spawn_local(serve(mesh, {
        let (exchange, receiver) = (exchange.clone(), receiver.clone());
        move |request| answer_rpc(exchange.clone(), receiver.clone(), request)
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
    spawn_local(control::serve(control, MAX_HEARTBEAT_BYTES, {
        let calls = UpstreamCalls::new(receiver.clone(), EndedUpstreamsClient::new(keys.core()));
        move |call, _| calls.clone().answer(call)
    }));
    let metric_sets =
        vec![metrics::METRICS, sloeline_rpc::metrics::METRICS, sloeline_config_transfer::metrics::METRICS];
    spawn_local(sloeline_admin_http::metrics::serve(settings.ip_addr, metric_sets));
    let context = ServiceContext {
        zone: settings.zone_name.clone(),
        zones: settings.zones.len().max(1) as u32,
        clock,
        connections,
        replaced_upstreams: Rc::default(),
    };
    let sources = PullSources::new(watched, exchange.clone(), keys);
    spawn_local(apply_changes(sources, exchange.clone(), callers.clone(), context, max_clients, grace));
    info!(target: "start", "{} is listening at {}.", settings.node_name, settings.mesh_address());

    let mut stop = signal(SignalKind::terminate()).context("wait for SIGTERM")?;
    let accepting = callers.accept(outgoing, &phases);
    let stopping = async {
        let _ = stop.recv().await;
        info!(target: "stop", "Shutting down.");
        callers.frontend().set_ready(false);
        callers.frontend().limit_waits(shutdown.requests_end);
        exchange.update_local_record(|own| own.leaving = true);
        let _ = phases.send(Phase::Stopping);
        Instant::now()
    };
    let ((), stop_time) = tokio::join!(accepting, stopping);
    let deadline = stop_time + shutdown.process_end;
    let drained = async {
        callers.wait_closed().await;
        while !receiver.is_idle() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let _ = timeout(deadline.saturating_duration_since(Instant::now()), drained).await;
    log_stopped(&callers.connection_counts(), receiver.is_idle());
    Ok(())
}

/// Logs what is left open at the end of a shutdown.
fn log_stopped(clients: &ConnectionCounts, receiver_idle: bool) {
    if clients.open_requests() == 0 && clients.write_blocked == 0 && receiver_idle {
        info!(target: "stop", "Stopped.");
        return;
    }
    warn!(
        target: "stop",
        "Stopped with {} open requests of clients: {} incomplete, {} without a response, {} being answered; \
         {} clients did not read; requests of other balancers {}.",
        clients.open_requests(),
        clients.receiving,
        clients.awaiting_response,
        clients.responding,
        clients.write_blocked,
        if receiver_idle { "finished" } else { "open" }
    );
}

/// Answers a request from another process of the mesh.
async fn answer_rpc(
    exchange: Rc<Exchange>,
    receiver: Rc<Receiver>,
    request: RpcRequest,
) -> Option<RpcResponse> {
    match request {
        RpcRequest::Pull(pull) => Some(RpcResponse::Updates(exchange.answer_pull(pull).await)),
        RpcRequest::CompareDigest { digest } => Some(exchange.compare_digest(digest)),
        RpcRequest::ConfigPiece(piece) => Some(RpcResponse::ConfigPiece(exchange.config_piece(&piece))),
        RpcRequest::PushRecords(records) => {
            exchange.apply_records(records);
            Some(RpcResponse::Done)
        }
        RpcRequest::QueryRun { key, run } => Some(receiver.run_result(&key, run)),
        RpcRequest::StoreAnswer { key, run, answer } => {
            receiver.store_replica(&key, run, answer);
            None
        }
        RpcRequest::Chain { .. } => None,
        RpcRequest::Operation(_) => Some(RpcResponse::Unavailable("a balancer keeps no keys".to_owned())),
        RpcRequest::Upstream(_) => Some(RpcResponse::Unavailable("a balancer stores no ends".to_owned())),
        RpcRequest::Status => Some(RpcResponse::Status("{}".into())),
    }
}

/// Applies every change of the known records and of the configuration; never returns.
async fn apply_changes(
    sources: PullSources,
    exchange: Rc<Exchange>,
    callers: Rc<HttpServer<Outgoing>>,
    context: ServiceContext,
    max_clients: usize,
    grace: Duration,
) {
    let shutdown = ShutdownSchedule::new(grace);
    let mut changes = exchange.subscribe();
    let mut services = Services::default();
    services.set_cancellation(false);
    let mut applied = None;
    loop {
        changes.mark_unchanged();
        sources.update();
        let (records, config) = (exchange.view().records(), exchange.view().config());
        if let Some(config) = config
            && applied != Some(config.edition)
        {
            match Config::parse(&config.body) {
                Ok(parsed) => {
                    let table = Table::new(&parsed);
                    let limits = table.limits();
                    match services.configure(&table, &context) {
                        Ok(targets) => {
                            metrics::VERSION_IN_FORCE.set(config.edition.into());
                            info!(target: "routes", "Configuration {:08x} is in force.", config.edition);
                            callers.frontend().set_routes(Routes { table, targets });
                            callers.set_limits(client_limits(max_clients, limits, &shutdown));
                        }
                        Err(error) => {
                            warn!(target: "routes", "The configuration cannot be applied: {error:#}.")
                        }
                    }
                }
                Err(error) => warn!(target: "routes", "The configuration cannot be applied: {error:#}."),
            }
            applied = Some(config.edition);
        }
        services.end_retired();
        services.update_upstreams(&records, &context.replaced_upstreams);
        let leaving = exchange.local_record().leaving;
        services.set_cancellation(
            !leaving && sources.age() > (grace + AFTER_GRACE).saturating_sub(CLIENT_LEAVE_TIME),
        );
        callers
            .frontend()
            .set_ready(!leaving && applied.is_some() && services.any_upstream() && sources.reached());
        tokio::select! {
            changed = changes.changed() => if changed.is_err() { return },
            () = context.replaced_upstreams.added() => {}
            () = sleep(SOURCE_UPDATE_INTERVAL) => {}
        }
    }
}
