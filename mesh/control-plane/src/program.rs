//! The program: settings, disk, sockets.

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
use sloeline_discovery::{Pull, PullResponse, Record, Version};
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

/// How long balancers wait for what they ask of an operation; the answer must be there before.
const OPERATION: Duration = Duration::from_millis(1500);
/// Changes that may wait for their result; balancers' calls beyond are refused at once, so that a machine that falls behind
/// spends its time on those that it has.
const MOST_OPEN_CHANGES: usize = 1024;
/// Pause before a store that does not open is tried again.
const OPEN_AGAIN: Duration = Duration::from_millis(250);
/// How long core machines hold each other's pulls.
const HOLD: Duration = Duration::from_secs(3);
/// How often it is looked which core machines are known.
const FOLLOW: Duration = Duration::from_millis(500);
/// How long a balancer's call waits for contact with a majority.
const CONTACT_WITHIN: Duration = Duration::from_millis(200);
/// Time between the end of leaving and the kill.
const MARGIN: Duration = Duration::from_millis(500);

/// Runs a core machine until it is told to stop.
pub fn run(path: &Path) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("start the runtime")?;
    LocalSet::new()
        .block_on(&runtime, async { run_with_settings(reload::watch_settings(path.to_owned())?).await })
}

/// The store of this machine, made if there is none. One that can't be opened now is tried again for good: only a file that
/// is spoilt counts as a lost disk.
async fn open(
    settings: &Settings,
    me: SocketAddr,
    seeds: &[SocketAddr],
) -> Result<(Store, DurableState, Rows)> {
    let folder = settings.data_path.as_deref().context("data_path: found nothing, expected a folder")?;
    let mut spoilt = false;
    while sloeline_storage::exists(folder)? {
        match open_existing(folder) {
            Ok(opened) => return Ok(opened),
            // What it has promised is in doubt, so it counts as lost: the others take this machine in again.
            Err(why) if sloeline_storage::is_corrupt(&why) => {
                error!(target: "disk", "Set aside, it does not open: {why:#}.");
                sloeline_storage::quarantine(folder)?;
                spoilt = true;
            }
            Err(why) if sloeline_storage::is_format_mismatch(&why) => return Err(why),
            Err(why) => {
                warn!(target: "disk", "Does not open now: {why:#}.");
                sleep(OPEN_AGAIN).await;
            }
        }
    }
    let founder = settings.first_boot && !spoilt && seeds.contains(&me);
    let durable = if founder {
        DurableState::founder(VoterSet::founders(seeds))
    } else {
        DurableState::learner(draw_disk()?)
    };
    let store = Store::create(folder, &durable)?;
    let what = if founder { "the system begins" } else { "it learns from the others" };
    info!(target: "disk", "New for {me}: {what}.");
    Ok((store, durable, Rows::default()))
}

fn open_existing(folder: &Path) -> Result<(Store, DurableState, Rows)> {
    let (store, durable, rows) = Store::open(folder)?;
    let rows: Rows = rows.into_iter().collect();
    if rows.digest() != durable.digest {
        return Err(sloeline_storage::StoreCorrupt)
            .context("digest: the rows are not those that were written");
    }
    Ok((store, durable, rows))
}

/// A number for a disk, which no other has.
pub(crate) fn draw_disk() -> Result<u64> {
    let mut drawn = [0; 8];
    getrandom::fill(&mut drawn).map_err(|e| anyhow::anyhow!("draw the disk's number: {e}"))?;
    Ok(u64::from_le_bytes(drawn).max(sloeline_chain_replication::FOUNDER_DISK_ID + 1))
}

/// Where core machines may be, as the settings have it. A machine that knows of no other is the whole core.
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

/// The whole life of one, by its settings.
pub async fn run_with_settings(watched: SettingsWatch) -> Result<()> {
    let settings = Settings::clone(&watched.borrow());
    let me = settings.mesh_address();
    let seeds = seeds(&settings);
    let (store, durable, rows) = open(&settings, me, &seeds).await?;
    let folder = settings.data_path.clone().unwrap_or_default();
    let (writes, events) = Disk::start(store, folder)?.split();
    let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let own = Record {
        source: settings.node_name.clone(),
        version: Version { incarnation: life, revision: 1 },
        mesh_address: me,
        zone: settings.zone_name.clone(),
        is_core: true,
        leaving: false,
        incoming_address: None,
        upstream: None,
    };
    let exchange = Exchange::new(own);
    let guarantees = settings.guarantees()?;
    let key_window = guarantees.key_window.millis();
    let machine_loss = settings.tolerance.machine_loss as usize;
    let chain = core::chain_settings(me, seeds, machine_loss);
    let core = Core::new(chain, durable, rows, key_window, writes, exchange.clone());
    let bind = settings.mesh_bind_address();
    let listener = TcpListener::bind(bind).await.with_context(|| format!("listen at {bind}"))?;
    spawn_local(serve(listener, {
        let (core, exchange) = (core.clone(), exchange.clone());
        move |ask| answer(core.clone(), exchange.clone(), ask)
    }));
    if let Some(dock) = settings.listen_addrs.control {
        let listener = TcpListener::bind(dock).await.with_context(|| format!("listen at {dock}"))?;
        let core = core.clone();
        spawn_local(control::serve(listener, MAX_CONFIG_BYTES, move |call, _| {
            operator::answer(core.clone(), dock, call)
        }));
    }
    let figures =
        vec![metrics::METRICS, sloeline_rpc::metrics::METRICS, sloeline_config_transfer::metrics::METRICS];
    spawn_local(sloeline_admin_http::metrics::serve(settings.ip_addr, figures));
    spawn_local(follow_settings(watched, core.clone()));
    spawn_local(follow_core(core.clone(), exchange.clone()));
    info!(target: "start", "{} serves control at {me}.", settings.node_name);
    let mut stop = signal(SignalKind::terminate()).context("wait for SIGTERM")?;
    let stopping = async {
        stop.recv().await;
        info!(target: "stop", "Told to stop.");
        exchange.update_local_record(|own| own.leaving = true);
        core.leave(guarantees.grace.duration().saturating_sub(MARGIN)).await;
        info!(target: "stop", "Ends.");
    };
    tokio::select! {
        ended = core.clone().run(events) => ended,
        () = stopping => Ok(()),
    }
}

/// Hands the seeds on as the settings file changes.
async fn follow_settings(mut watched: SettingsWatch, core: Rc<Core>) {
    while watched.changed().await.is_ok() {
        let settings = watched.borrow_and_update().clone();
        core.set_seeds(seeds(&settings));
    }
}

/// Follows all other core machines that are known, as they come and go; never returns.
async fn follow_core(core: Rc<Core>, exchange: Rc<Exchange>) {
    let mut following: HashMap<SocketAddr, PeerSync> = HashMap::new();
    loop {
        let known = core.look(|node, _| node.known_peers());
        following.retain(|peer, _| known.contains(peer));
        for peer in known {
            following.entry(peer).or_insert_with(|| exchange.follow(peer, HOLD));
        }
        sleep(FOLLOW).await;
    }
}

/// Answers a pull as soon as there is news, or contact with the majority is lost.
async fn answer_pull(core: &Core, exchange: &Exchange, pull: Pull) -> PullResponse {
    // Whoever waits hears of the contact as soon as it is there.
    if !core.wait_for_contact(CONTACT_WITHIN).await {
        return out_of_contact(exchange, pull).await;
    }
    let lost = pull.clone();
    tokio::select! {
        news = exchange.answer_pull(pull) => match core.in_contact() {
            true => news,
            false => PullResponse { offered_version: None, core_list: None, out_of_contact: true, ..news },
        },
        () = core.contact_lost() => out_of_contact(exchange, lost).await,
    }
}

/// Who exists is told by its sources and can't be wrong, only late; a configuration and a list of the core could be old.
async fn out_of_contact(exchange: &Exchange, pull: Pull) -> PullResponse {
    let news = exchange.answer_pull(Pull { max_hold_ms: 0, ..pull }).await;
    PullResponse { offered_version: None, core_list: None, out_of_contact: true, ..news }
}

async fn answer_operation(core: &Core, update: ClaimUpdate) -> RpcResponse {
    if core.open_changes() >= MOST_OPEN_CHANGES {
        return RpcResponse::Unavailable("chain: too many changes wait for their result".to_owned());
    }
    if !core.wait_for_contact(CONTACT_WITHIN).await {
        return RpcResponse::Unavailable("chain: out of contact with a majority".to_owned());
    }
    match core.change(&Change::Key(update), OPERATION).await {
        Ok(ChangeResult::Key(outcome)) => RpcResponse::Operation(outcome),
        Ok(_) => RpcResponse::Unavailable("chain: an answer to another question".to_owned()),
        Err(why) => RpcResponse::Unavailable(format!("{why:#}")),
    }
}

async fn answer(core: Rc<Core>, exchange: Rc<Exchange>, ask: RpcRequest) -> Option<RpcResponse> {
    match ask {
        RpcRequest::Chain { from, message } => {
            core.receive(from, *message);
            None
        }
        RpcRequest::Pull(pull) => {
            core.followers.pulled(&pull);
            Some(RpcResponse::Updates(answer_pull(&core, &exchange, pull).await))
        }
        RpcRequest::CompareDigest { .. } if !core.in_contact() => {
            Some(RpcResponse::Unavailable("chain: out of contact with a majority".to_owned()))
        }
        RpcRequest::CompareDigest { digest } => Some(exchange.compare_digest(digest)),
        RpcRequest::ConfigPiece(request) if request.in_progress.is_none() && !core.in_contact() => {
            Some(RpcResponse::Unavailable("chain: out of contact with a majority".to_owned()))
        }
        RpcRequest::ConfigPiece(request) => Some(RpcResponse::ConfigPiece(exchange.config_piece(&request))),
        RpcRequest::PushRecords(records) => {
            exchange.apply_records(records);
            Some(RpcResponse::Done)
        }
        RpcRequest::Operation(update) => Some(answer_operation(&core, update).await),
        RpcRequest::QueryRun { .. } | RpcRequest::StoreAnswer { .. } => {
            Some(RpcResponse::Unavailable("core machines run nothing".to_owned()))
        }
        RpcRequest::Status => Some(RpcResponse::Status(status(&core).to_string().into())),
    }
}
