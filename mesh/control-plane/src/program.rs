//! The control-plane process: opens the disk, listens on its sockets, and runs the core machine until it is stopped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use log::{error, info, warn};
use sloeline_admin_http::control;
use sloeline_admin_http::reload::{self, SettingsWatch};
use sloeline_chain_replication::{DurableState, Rows, VoterSet};
use sloeline_discovery::{Pull, PullResponse, Record, UpstreamUpdate, Version};
use sloeline_idempotency::ClaimUpdate;
use sloeline_process_settings::Settings;
use sloeline_route_config::model::MAX_CONFIG_BYTES;
use sloeline_rpc::exchange::{Exchange, PeerSync};
use sloeline_rpc::serve::serve;
use sloeline_rpc::{RpcRequest, RpcResponse};
use sloeline_storage::Store;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::core::{self, Core};
use crate::disk::Disk;
use crate::metrics;
use crate::operator;
use crate::status::status;
use crate::tables::{Change, ChangeResult};

/// Timeout for the update of a keyed operation. It is shorter than the time for which balancers wait for the response.
const OPERATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of changes without a result. Further calls of balancers are refused at once, so that an overloaded machine
/// spends its time on the changes it has accepted.
const MAX_PENDING_CHANGES: usize = 1024;
/// Pause before another attempt to open a store.
const OPEN_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// How long a core machine holds a pull of another core machine until there are updates.
const PULL_HOLD: Duration = Duration::from_secs(3);
/// Interval at which the set of followed core machines is updated.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);
/// How long a call of a balancer waits for contact with a majority.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time reserved between leaving the chain and the kill at the end of the grace period.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Runs a core machine with the given settings file until it receives SIGTERM.
pub fn run(path: &Path) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("start the runtime")?;
    LocalSet::new()
        .block_on(&runtime, async { run_with_settings(reload::watch_settings(path.to_owned())?).await })
}

/// Opens the store of this machine, or creates it if there is none. A store that cannot be opened at the moment is tried again
/// forever. Only a corrupt store counts as a lost disk and is replaced.
async fn open_store(
    settings: &Settings,
    me: SocketAddr,
    seeds: &[SocketAddr],
) -> Result<(Store, DurableState, Rows)> {
    let folder = settings.data_path.as_deref().context("data_path: found nothing, expected a folder")?;
    let mut was_corrupt = false;
    while sloeline_storage::exists(folder)? {
        match open_existing(folder) {
            Ok(opened) => return Ok(opened),
            // A corrupt store may have lost promises that this replica made to the others, so the disk counts as lost. The
            // machine joins the core again as a new replica.
            Err(error) if sloeline_storage::is_corrupt(&error) => {
                error!(target: "disk", "The store is corrupt and was set aside: {error:#}.");
                sloeline_storage::quarantine(folder)?;
                was_corrupt = true;
            }
            Err(error) if sloeline_storage::is_format_mismatch(&error) => return Err(error),
            Err(error) => {
                warn!(target: "disk", "The store cannot be opened, trying again: {error:#}.");
                sleep(OPEN_RETRY_PAUSE).await;
            }
        }
    }
    let is_founder = settings.first_boot && !was_corrupt && seeds.contains(&me);
    let durable = if is_founder {
        DurableState::founder(VoterSet::founders(seeds))
    } else {
        DurableState::learner(random_disk_id()?)
    };
    let store = Store::create(folder, &durable)?;
    let role = if is_founder { "founder of the core" } else { "learner" };
    info!(target: "disk", "Created a store for {me}: {role}.");
    Ok((store, durable, Rows::default()))
}

/// Opens a store and verifies the digest of its rows.
fn open_existing(folder: &Path) -> Result<(Store, DurableState, Rows)> {
    let (store, durable, rows) = Store::open(folder)?;
    let rows: Rows = rows.into_iter().collect();
    if rows.digest() != durable.digest {
        return Err(sloeline_storage::StoreCorrupt)
            .context("digest: the rows are not those that were written");
    }
    Ok((store, durable, rows))
}

/// Returns a random number that identifies a disk.
pub(crate) fn random_disk_id() -> Result<u64> {
    let mut random = [0; 8];
    getrandom::fill(&mut random).map_err(|error| anyhow::anyhow!("generate a disk number: {error}"))?;
    Ok(u64::from_le_bytes(random).max(sloeline_chain_replication::FOUNDER_DISK_ID + 1))
}

/// Returns the possible mesh addresses of core machines according to the settings. Without any, the machine itself is the only
/// one.
fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let mut seeds: Vec<SocketAddr> =
        settings.seed_nodes.iter().map(|seed| settings.mesh_address_of(*seed)).collect();
    if seeds.is_empty() {
        seeds.push(settings.mesh_address());
    }
    seeds.sort_unstable();
    seeds.dedup();
    seeds
}

/// Runs a core machine with the given settings until it receives SIGTERM.
pub async fn run_with_settings(watched: SettingsWatch) -> Result<()> {
    let settings = Settings::clone(&watched.borrow());
    let me = settings.mesh_address();
    let seeds = seeds(&settings);
    let (store, durable, rows) = open_store(&settings, me, &seeds).await?;
    let folder = settings.data_path.clone().unwrap_or_default();
    let (writes, events) = Disk::start(store, folder)?.split();
    let incarnation = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let local_record = Record {
        source: settings.node_name.clone(),
        version: Version { incarnation, revision: 1 },
        mesh_address: me,
        zone: settings.zone_name.clone(),
        is_core: true,
        leaving: false,
        incoming_address: None,
        upstream: None,
    };
    let exchange = Exchange::new(local_record);
    let guarantees = settings.guarantees()?;
    let key_window_ms = guarantees.key_window.millis();
    let machine_loss = settings.tolerance.machine_loss as usize;
    let chain_settings = core::chain_settings(me, seeds, machine_loss);
    let core = Core::new(chain_settings, durable, rows, key_window_ms, writes, exchange.clone());
    let bind = settings.mesh_bind_address();
    let listener = TcpListener::bind(bind).await.with_context(|| format!("listen at {bind}"))?;
    spawn_local(serve(listener, {
        let (core, exchange) = (core.clone(), exchange.clone());
        move |request| answer(core.clone(), exchange.clone(), request)
    }));
    if let Some(control_addr) = settings.listen_addrs.control {
        let listener =
            TcpListener::bind(control_addr).await.with_context(|| format!("listen at {control_addr}"))?;
        let core = core.clone();
        spawn_local(control::serve(listener, MAX_CONFIG_BYTES, move |call, _| {
            operator::answer(core.clone(), control_addr, call)
        }));
    }
    let metric_lists =
        vec![metrics::METRICS, sloeline_rpc::metrics::METRICS, sloeline_config_transfer::metrics::METRICS];
    spawn_local(sloeline_admin_http::metrics::serve(settings.ip_addr, metric_lists));
    spawn_local(watch_seeds(watched, core.clone()));
    spawn_local(follow_core_machines(core.clone(), exchange.clone()));
    info!(target: "start", "{} is running as a core machine at {me}.", settings.node_name);
    let mut sigterm = signal(SignalKind::terminate()).context("wait for SIGTERM")?;
    let shutdown = async {
        sigterm.recv().await;
        info!(target: "stop", "Received SIGTERM, leaving the chain.");
        exchange.update_local_record(|record| record.leaving = true);
        core.leave(guarantees.grace.duration().saturating_sub(SHUTDOWN_MARGIN)).await;
        info!(target: "stop", "Stopped.");
    };
    tokio::select! {
        result = core.clone().run(events) => result,
        () = shutdown => Ok(()),
    }
}

/// Passes the seed addresses to the core machine whenever the settings file changes.
async fn watch_seeds(mut watched: SettingsWatch, core: Rc<Core>) {
    while watched.changed().await.is_ok() {
        let settings = watched.borrow_and_update().clone();
        core.set_seeds(seeds(&settings));
    }
}

/// Follows all known core machines, and updates the set at a fixed interval. Never returns.
async fn follow_core_machines(core: Rc<Core>, exchange: Rc<Exchange>) {
    let mut syncs: HashMap<SocketAddr, PeerSync> = HashMap::new();
    loop {
        let known = core.inspect(|node, _| node.known_peers());
        syncs.retain(|peer, _| known.contains(peer));
        for peer in known {
            syncs.entry(peer).or_insert_with(|| exchange.follow(peer, PULL_HOLD));
        }
        sleep(FOLLOW_INTERVAL).await;
    }
}

/// Answers a pull as soon as there are updates, or contact with a majority is lost.
async fn answer_pull(core: &Core, exchange: &Exchange, pull: Pull) -> PullResponse {
    // The wait ends as soon as there is contact.
    if !core.wait_for_contact(CONTACT_TIMEOUT).await {
        return answer_without_contact(exchange, pull).await;
    }
    let unanswered = pull.clone();
    tokio::select! {
        response = exchange.answer_pull(pull) => match core.in_contact() {
            true => response,
            false => PullResponse { offered_version: None, core_list: None, out_of_contact: true, ..response },
        },
        () = core.contact_lost() => answer_without_contact(exchange, unanswered).await,
    }
}

/// Answers a pull at once with records only. Records come from their own sources, so they can be old but not wrong; the
/// configuration and the core list could already be replaced by the majority.
async fn answer_without_contact(exchange: &Exchange, pull: Pull) -> PullResponse {
    let response = exchange.answer_pull(Pull { max_hold_ms: 0, ..pull }).await;
    PullResponse { offered_version: None, core_list: None, out_of_contact: true, ..response }
}

/// Executes a change for another process through the chain. The error is the response to send instead of a result.
async fn change_for_peer(core: &Core, change: &Change) -> Result<ChangeResult, RpcResponse> {
    if core.pending_change_count() >= MAX_PENDING_CHANGES {
        return Err(RpcResponse::Unavailable("chain: too many changes wait for their result".to_owned()));
    }
    if !core.wait_for_contact(CONTACT_TIMEOUT).await {
        return Err(RpcResponse::Unavailable("chain: out of contact with a majority".to_owned()));
    }
    let result = core.change(change, OPERATION_TIMEOUT).await;
    result.map_err(|error| RpcResponse::Unavailable(format!("{error:#}")))
}

/// The response to a request whose change had a result of another kind.
fn unexpected_result() -> RpcResponse {
    RpcResponse::Unavailable("chain: an answer to another question".to_owned())
}

/// Executes the update of a keyed operation through the chain.
async fn answer_operation(core: &Core, update: ClaimUpdate) -> RpcResponse {
    match change_for_peer(core, &Change::Key(update)).await {
        Ok(ChangeResult::Key(outcome)) => RpcResponse::Operation(outcome),
        Ok(_) => unexpected_result(),
        Err(response) => response,
    }
}

/// Executes a report or a question about an upstream instance through the chain.
async fn answer_upstream(core: &Core, update: UpstreamUpdate) -> RpcResponse {
    match change_for_peer(core, &Change::Upstream(update)).await {
        Ok(ChangeResult::Upstream(outcome)) => RpcResponse::Upstream(outcome),
        Ok(_) => unexpected_result(),
        Err(response) => response,
    }
}

/// Answers a request of another process. Returns `None` for notifications without a response.
async fn answer(core: Rc<Core>, exchange: Rc<Exchange>, request: RpcRequest) -> Option<RpcResponse> {
    match request {
        RpcRequest::Chain { from, message } => {
            core.receive(from, *message);
            None
        }
        RpcRequest::Pull(pull) => {
            core.followers.record_pull(&pull);
            Some(RpcResponse::Updates(answer_pull(&core, &exchange, pull).await))
        }
        RpcRequest::CompareDigest { .. } if !core.in_contact() => {
            Some(RpcResponse::Unavailable("chain: out of contact with a majority".to_owned()))
        }
        RpcRequest::CompareDigest { digest } => Some(exchange.compare_digest(digest)),
        RpcRequest::ConfigPiece(piece) if piece.in_progress.is_none() && !core.in_contact() => {
            Some(RpcResponse::Unavailable("chain: out of contact with a majority".to_owned()))
        }
        RpcRequest::ConfigPiece(piece) => Some(RpcResponse::ConfigPiece(exchange.config_piece(&piece))),
        RpcRequest::PushRecords(records) => {
            exchange.apply_records(records);
            Some(RpcResponse::Done)
        }
        RpcRequest::Operation(update) => Some(answer_operation(&core, update).await),
        RpcRequest::Upstream(update) => Some(answer_upstream(&core, update).await),
        RpcRequest::QueryRun { .. } | RpcRequest::StoreAnswer { .. } => {
            Some(RpcResponse::Unavailable("core machines run nothing".to_owned()))
        }
        RpcRequest::Status => Some(RpcResponse::Status(status(&core).to_string().into())),
    }
}
