//! The program: settings, disk, sockets.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use log::{error, info, warn};
use sloeline_admin_http::control;
use sloeline_admin_http::reload::{self, SettingsWatch};
use sloeline_chain_replication::Kept;
use sloeline_discovery::{Record, Version};
use sloeline_process_settings::Settings;
use sloeline_route_config::model::MOST_BYTES;
use sloeline_rpc::exchange::Exchange;
use sloeline_rpc::serve::serve;
use sloeline_rpc::{Ask, Told};
use sloeline_storage::{Rows, Store};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::core::Core;
use crate::disk::Disk;
use crate::operator;
use crate::tables::{Came, Change};

/// How long balancers wait for what they ask of an operation; the answer must be there before.
const OPERATION: Duration = Duration::from_millis(1500);
/// Pause before a store that does not open is tried again.
const OPEN_AGAIN: Duration = Duration::from_millis(250);
/// How long core machines hold each other's pulls.
const HOLD: Duration = Duration::from_secs(3);

/// Runs a core machine until it is told to stop.
pub fn run(path: &Path) -> Result<()> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().context("start the runtime")?;
    LocalSet::new().block_on(&runtime, async { work(reload::follow(path.to_owned())?).await })
}

/// The store of this machine, made if there is none. One that can't be opened now is tried again for good: only a file that
/// is spoilt counts as a lost disk.
async fn open(settings: &Settings, me: SocketAddr, founders: &[SocketAddr]) -> Result<(Store, Kept, Rows)> {
    let folder = settings.data_path.as_deref().context("data_path: found nothing, expected a folder")?;
    let mut spoilt = false;
    while sloeline_storage::exists(folder)? {
        match Store::open(folder) {
            Ok(opened) => return Ok(opened),
            // What it has promised is in doubt, so it counts as lost: the others take this machine in again.
            Err(why) if sloeline_storage::is_spoilt(&why) => {
                error!(target: "disk", "Set aside, it does not open: {why:#}.");
                sloeline_storage::set_aside(folder)?;
                spoilt = true;
            }
            Err(why) => {
                warn!(target: "disk", "Does not open now: {why:#}.");
                sleep(OPEN_AGAIN).await;
            }
        }
    }
    let mut drawn = [0; 8];
    getrandom::fill(&mut drawn).map_err(|e| anyhow::anyhow!("draw the disk's number: {e}"))?;
    let kept = Kept::new(founders.to_vec(), u64::from_le_bytes(drawn), settings.first_boot && !spoilt);
    let store = Store::create(folder, &kept)?;
    let what = if kept.remembers { "the system begins" } else { "an earlier one was lost" };
    info!(target: "disk", "New for {me}: {what}.");
    Ok((store, kept, Rows::new()))
}

/// The whole life of one, by its settings.
pub async fn work(watched: SettingsWatch) -> Result<()> {
    let settings = Settings::clone(&watched.borrow());
    let me = settings.mesh_address();
    let mut founders: Vec<SocketAddr> =
        settings.seed_nodes.iter().map(|seed| settings.mesh_address_of(*seed)).collect();
    if founders.is_empty() {
        founders.push(me);
    }
    founders.sort_unstable();
    founders.dedup();
    let (store, kept, rows) = open(&settings, me, &founders).await?;
    let folder = settings.data_path.clone().unwrap_or_default();
    let (writes, told) = Disk::start(store, folder)?.split();
    let life = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
    let own = Record {
        source: settings.node_name.clone(),
        version: Version { life, change: 1 },
        mesh: me,
        zone: settings.zone_name.clone(),
        core: true,
        leaving: false,
        incoming: None,
        upstream: None,
    };
    let exchange = Exchange::new(own);
    let key_window = settings.guarantees()?.key_window.millis();
    let others: Vec<SocketAddr> = kept.founders.iter().copied().filter(|p| *p != me).collect();
    let core = Core::new(me, kept, rows, key_window, writes, exchange.clone());
    let listener = TcpListener::bind(me).await.with_context(|| format!("listen at {me}"))?;
    spawn_local(serve(listener, {
        let (core, exchange) = (core.clone(), exchange.clone());
        move |ask| answer(core.clone(), exchange.clone(), ask)
    }));
    if let Some(dock) = settings.docks.control_dock {
        let listener = TcpListener::bind(dock).await.with_context(|| format!("listen at {dock}"))?;
        let core = core.clone();
        spawn_local(control::serve(listener, MOST_BYTES, move |call, _| {
            operator::answer(core.clone(), call)
        }));
    }
    let _following: Vec<_> = others.into_iter().map(|peer| exchange.follow(peer, HOLD)).collect();
    info!(target: "start", "{} serves control at {me}.", settings.node_name);
    let mut stop = signal(SignalKind::terminate()).context("wait for SIGTERM")?;
    tokio::select! {
        ended = core.run(told) => ended,
        _ = stop.recv() => {
            info!(target: "start", "Told to stop.");
            Ok(())
        }
    }
}

async fn answer(core: Rc<Core>, exchange: Rc<Exchange>, ask: Ask) -> Option<Told> {
    match ask {
        Ask::Chain { from, message } => {
            core.receive(from, message);
            None
        }
        Ask::Pull(pull) => Some(Told::News(exchange.answer(pull).await)),
        Ask::Compare { digest } => Some(exchange.compare(digest)),
        Ask::Tell(records) => {
            exchange.told(records);
            Some(Told::Done)
        }
        Ask::Operation(update) => Some(match core.change(&Change::Key(update), OPERATION).await {
            Ok(Came::Key(outcome)) => Told::Operation(outcome),
            Ok(_) => Told::Unable("chain: an answer to another question".to_owned()),
            Err(why) => Told::Unable(format!("{why:#}")),
        }),
        Ask::Recall { .. } | Ask::Keep { .. } => Some(Told::Unable("core machines run nothing".to_owned())),
        Ask::Status => Some(Told::Status(status(&core).to_string().into())),
    }
}

/// How this machine is.
fn status(core: &Core) -> serde_json::Value {
    core.look(|node| {
        let members = node.view().map(|v| v.members.iter().map(|m| m.peer.to_string()).collect::<Vec<_>>());
        serde_json::json!({
            "view": node.view().map(|v| v.ballot.number),
            "chain": members,
            "at_work": node.active(),
            "held": node.held().sequence,
            "committed": node.committed(),
            "configuration": node.tables().config().map(|c| format!("{:08x}", c.edition)),
            "keys": node.tables().keys().len(),
        })
    })
}
