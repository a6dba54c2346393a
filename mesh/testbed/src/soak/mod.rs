//! A soak: real processes on real sockets under troubles that overlap, with all invariants on.
//!
//! Three core machines and some balancers with an upstream each, behind relays. An operator changes the configuration all the
//! time, timeouts and tries with it, and loses some answers, clients send keyed requests again and again, probes look at what is
//! in force. Meanwhile processes are killed, paused, told to stop and started again, one by one or all balancers in a row, or
//! told of their settings, disks are lost, links are cut, reset, slowed and lose answers, up to three at a time. Some clients
//! keep their connections until the process is gone; some of their requests take longer than any route allows.
//! At the end all is well for a while. What must hold:
//!
//! - a read gives no version below one acknowledged before, and only what was sent under its number;
//! - within one life a balancer never goes back; in touch, it is at most two seconds behind;
//! - an order is never refused that is valid;
//! - at the end everybody has the newest acknowledged version;
//! - no key runs twice, also if upstreams begin with long bodies before they have read them, and lose their answers;
//! - an upstream whose `leave` was acknowledged gets nothing new, also if its balancer is killed and a heartbeat comes late;
//! - an answer on a kept connection is the one to its request, it comes within its route's timeout and a second (without the
//!   time for which the soak itself stood still), and around planned stops no request is left without one;
//! - no process goes over its memory, however many long bodies come at once and whatever upstreams turn away;
//! - no process counts a violation of an invariant, logs a defect, or ends by itself.

pub mod account;
pub mod fleet;
pub mod kept;
pub mod leaving;
pub mod load;
pub mod stalls;
pub mod troubles;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Result, bail};
use fastrand::Rng;
use tokio::time::{Instant, sleep};

use self::account::Account;
use self::fleet::{CORES, Fleet};
use self::load::Load;
use self::stalls::Stalls;
use crate::client::ask;
use crate::machine::MEMORY_MB;
use crate::process::Builds;

/// How long the beginning may take.
const BEGIN_WITHIN: Duration = Duration::from_secs(15);
/// How long after the last trouble everybody must have everything.
const RECOVER_WITHIN: Duration = Duration::from_secs(10);

/// What a soak found.
pub struct Report {
    /// What was wrong.
    pub violations: Vec<String>,
    /// How often what was done and seen.
    pub counts: BTreeMap<&'static str, u64>,
}

/// What a soak plays.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The net of 127/8, 1 to 250.
    pub net: u8,
    /// Draws troubles and load.
    pub seed: u64,
    /// For how long troubles are made.
    pub span: Duration,
    /// How many balancers there are, 3 to [`fleet::MAX_BALANCERS`].
    pub balancers: u8,
}

/// Plays one seed in this folder.
pub async fn play(setup: Setup, builds: &Builds, folder: &Path) -> Result<Report> {
    let Setup { net, seed, span, balancers } = setup;
    let _ = std::fs::remove_dir_all(folder);
    std::fs::create_dir_all(folder)?;
    let mut rng = Rng::with_seed(seed);
    let fleet = Rc::new(Fleet::start(net, balancers, builds, folder).await?);
    let account = Rc::new(RefCell::new(Account::default()));
    let begin = Instant::now();
    let stalls = Stalls::watch(folder);
    let beginning = Load {
        fleet: fleet.clone(),
        account: account.clone(),
        stalls: stalls.clone(),
        until: begin + BEGIN_WITHIN,
    };
    if !beginning.order(1, &mut rng).await {
        bail!("soak: no configuration is taken within {BEGIN_WITHIN:?}");
    }
    fleet.begun()?;
    all_have_the_newest(&beginning).await;
    let until = Instant::now() + span;
    let load = Load { fleet: fleet.clone(), account: account.clone(), stalls: stalls.clone(), until };
    load.start(&mut rng);
    troubles::play(fleet.clone(), account.clone(), folder, rng.fork(), until).await;
    check_recovery(load).await;
    check_keys(&fleet, &account);
    check_processes(&fleet, &account).await;
    let account = account.borrow();
    let mut counts = account.counts().clone();
    let millis = |stall: Duration| stall.as_millis() as u64;
    counts.insert("ms that the disk stood still", millis(stalls.of_disk_since(begin.into_std())));
    counts.insert("ms that the soak stood still", millis(stalls.of_runtime_since(begin.into_std())));
    Ok(Report { violations: account.violations.clone(), counts })
}

/// After the last trouble everybody comes to have the newest version. A disk that stands still is a trouble of all core machines.
async fn check_recovery(load: Load) {
    let calm_since = Instant::now();
    sleep(load::EDITION_TIME).await;
    let mut allowed = RECOVER_WITHIN;
    loop {
        let end = Load { until: calm_since + allowed, ..load.clone() };
        if all_have_the_newest(&end).await {
            return;
        }
        let stalled = load.stalls.of_disk_since(calm_since.into_std());
        if RECOVER_WITHIN + stalled <= allowed {
            break;
        }
        allowed = RECOVER_WITHIN + stalled;
    }
    let newest = load.account.borrow().newest_acknowledged();
    let late = format!("not everybody has {newest:?} {allowed:?} after the last trouble");
    load.account.borrow_mut().violate(late);
}

/// Waits until all core machines read back, and all balancers go by, the newest version; tells whether they came to.
async fn all_have_the_newest(load: &Load) -> bool {
    while Instant::now() < load.until {
        let newest = load.account.borrow().newest_acknowledged();
        let mut behind = 0;
        for core in 0..CORES {
            behind += u32::from(load.read(core).await < newest);
        }
        for balancer in 1..=load.fleet.last_balancer() {
            behind += u32::from(load.in_force(balancer).await < newest);
        }
        if behind == 0 {
            return true;
        }
        sleep(Duration::from_millis(200)).await;
    }
    false
}

fn check_keys(fleet: &Fleet, account: &RefCell<Account>) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for standin in &fleet.standins {
        for (key, count) in &standin.book().keys {
            *runs.entry(key.clone()).or_default() += count;
        }
    }
    for (key, count) in runs.iter().filter(|(_, count)| **count > 1) {
        account.borrow_mut().violate(format!("key {key} ran {count} times"));
    }
}

async fn check_processes(fleet: &Fleet, account: &RefCell<Account>) {
    for node in fleet.nodes() {
        let machine = node.machine;
        let peak = node.process.borrow().peak_memory_mib();
        if peak.is_some_and(|peak| peak > MEMORY_MB) {
            account.borrow_mut().violate(format!("machine {machine} had {peak:?} of {MEMORY_MB} MB"));
        }
        if !node.process.borrow_mut().is_running() {
            account.borrow_mut().violate(format!("machine {machine} has ended by itself"));
        }
        for status in node.process.borrow().own_ends() {
            account.borrow_mut().violate(format!("machine {machine} ended by itself: {status}"));
        }
        let log = node.process.borrow().log();
        for line in log.lines().filter(|line| line.contains("defect") || line.contains("panicked")) {
            account.borrow_mut().violate(format!("machine {machine} logged: {line}"));
        }
        let figures =
            ask(fleet.plan.metrics(machine), "GET", "/metrics", &[], b"", Duration::from_secs(2)).await;
        let Ok(figures) = figures else {
            account.borrow_mut().violate(format!("machine {machine} tells no figures"));
            continue;
        };
        for line in String::from_utf8_lossy(&figures.body).lines().filter(|line| violated(line)) {
            account.borrow_mut().violate(format!("machine {machine} counts {line}"));
        }
    }
}

/// A figure of an invariant that is not zero.
fn violated(line: &str) -> bool {
    !line.starts_with('#')
        && line
            .split_once(' ')
            .is_some_and(|(name, value)| name.ends_with("_violations_total") && value != "0")
}
