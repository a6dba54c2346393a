//! Troubles of a soak: drawn by the seed, on any process, two or three at a time.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::account::Account;
use super::fleet::{CORES, Fleet, Node};
use super::leaving;
use crate::relay::Fault;
use crate::standin::Manner;

/// Most troubles at a time.
const MOST_AT_ONCE: usize = 3;
/// Time between the beginnings of two.
const GAP_MS: std::ops::Range<u64> = 150..700;
/// How long a core machine that was lost counts as lost after its return.
const SYNC_TIME: Duration = Duration::from_secs(4);

/// How long a process has from the order to stop until it is killed, and how often it is looked at.
const GRACE: Duration = Duration::from_secs(6);
const LOOK: Duration = Duration::from_millis(20);

/// How often processes are told of their settings in a series, and the time between.
const SETTINGS_SERIES: u32 = 4;
const SETTINGS_GAP: Duration = Duration::from_millis(150);

/// One trouble.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The process is killed and starts again after so long.
    Kill(Duration),
    /// All core machines are killed at once.
    KillCore(Duration),
    /// A core machine is killed and comes back with an empty disk.
    Wipe(Duration),
    /// The process is told to stop, is killed if it has not ended within `grace`, and starts again after so long.
    Stop(Duration),
    /// All balancers are told to stop, this long after one another, as in an upgrade.
    Roll(Duration),
    /// The process is told that its settings have changed.
    Settings,
    /// All processes are told so, several times.
    SettingsSeries,
    /// The process stands still.
    Pause(Duration),
    /// The upstream beside a balancer turns all requests away.
    Refuse(Duration),
    /// The upstream beside a balancer begins with requests before it has read their bodies, and answers before that.
    Early(Duration),
    /// The same, and it loses its answers.
    LoseEarly(Duration),
    /// The upstream beside a balancer leaves, the balancer is killed after that and starts again after so long.
    Leave(Duration),
    /// The relay before it does something.
    Link(Fault, Duration),
}

/// Draws troubles until the moment, then waits until all are over.
pub async fn play(
    fleet: Rc<Fleet>,
    account: Rc<RefCell<Account>>,
    folder: &Path,
    mut rng: Rng,
    until: Instant,
) {
    let mut at_work = JoinSet::new();
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.u64(GAP_MS))).await;
        while at_work.try_join_next().is_some() {}
        if at_work.len() >= MOST_AT_ONCE {
            continue;
        }
        let nodes: Vec<Rc<Node>> = fleet.nodes().cloned().collect();
        let node = nodes[rng.usize(..nodes.len())].clone();
        let trouble = draw(&mut rng, &fleet, &node);
        account.borrow_mut().count(trouble.name());
        let (fleet, folder, account) = (fleet.clone(), folder.to_owned(), account.clone());
        // Its troubles count from now on, not from when the task is first run.
        let troubled = trouble.troubles(&fleet, &node);
        let planned = trouble.is_planned();
        troubled.iter().for_each(|node| node.disturb(planned));
        at_work.spawn_local(async move {
            trouble.run(&fleet, &node, &troubled, &folder, &account).await;
            troubled.iter().for_each(|node| node.calm(planned));
        });
    }
    while at_work.join_next().await.is_some() {}
}

fn draw(rng: &mut Rng, fleet: &Fleet, node: &Node) -> Trouble {
    let span = Duration::from_millis(rng.u64(100..2500));
    let is_core = node.machine == fleet.plan.core_machine(0) || node.machine > fleet.plan.core_machine(0);
    // A disk may be lost only while every other core machine has been well for long enough.
    let others = fleet.cores.iter().filter(|core| core.machine != node.machine);
    let may_wipe =
        is_core && node.troubles.get() == 0 && others.clone().all(|core| core.is_calm_for(SYNC_TIME));
    match rng.u32(..22) {
        0 | 1 => Trouble::Kill(span),
        2 => Trouble::KillCore(span / 2),
        3 if may_wipe => Trouble::Wipe(span),
        3 | 4 => Trouble::Pause(span),
        5 => Trouble::Link(Fault::Hold, span),
        6 => Trouble::Link(Fault::HoldAnswers, span),
        7 => Trouble::Link(Fault::Reset, span / 4),
        8 => Trouble::Link(Fault::Slow(rng.u32(4_000..60_000)), span * 2),
        9 | 10 => Trouble::Stop(span / 4),
        11 => Trouble::Settings,
        12 => Trouble::Roll(span / 4),
        13 => Trouble::SettingsSeries,
        14 | 15 => Trouble::Refuse(span),
        17 => Trouble::Early(span),
        18 => Trouble::LoseEarly(span),
        // One at a time: the next one would find the upstream gone.
        19..22 if !is_core && node.troubles.get() == 0 => Trouble::Leave(span / 2),
        _ => Trouble::Pause(span / 4),
    }
}

/// Tells the process to stop, kills it at the end of the grace period, and starts it again after so long.
async fn stop_and_restart(node: &Node, span: Duration) {
    node.process.borrow_mut().stop();
    let told = Instant::now();
    while node.process.borrow_mut().is_running() && told.elapsed() < GRACE {
        sleep(LOOK).await;
    }
    node.process.borrow_mut().kill();
    sleep(span).await;
    let _ = node.restart();
}

impl Trouble {
    fn name(self) -> &'static str {
        match self {
            Trouble::Kill(_) => "kill",
            Trouble::KillCore(_) => "kill of the core",
            Trouble::Wipe(_) => "lost disk",
            Trouble::Stop(_) => "stop",
            Trouble::Roll(_) => "stop of all balancers in a row",
            Trouble::Settings => "settings told",
            Trouble::SettingsSeries => "settings told in a series",
            Trouble::Pause(_) => "pause",
            Trouble::Refuse(_) => "refusing upstream",
            Trouble::Early(_) => "early upstream",
            Trouble::LoseEarly(_) => "early upstream that loses answers",
            Trouble::Leave(_) => "leaving upstream",
            Trouble::Link(Fault::Hold, _) => "cut",
            Trouble::Link(Fault::HoldAnswers, _) => "lost answers",
            Trouble::Link(Fault::Reset, _) => "resets",
            Trouble::Link(..) => "slow link",
        }
    }

    /// Operators do it on purpose.
    fn is_planned(self) -> bool {
        matches!(self, Trouble::Stop(_) | Trouble::Roll(_) | Trouble::Settings | Trouble::SettingsSeries)
    }

    /// Whom it troubles.
    fn troubles(self, fleet: &Fleet, node: &Rc<Node>) -> Vec<Rc<Node>> {
        match self {
            Trouble::KillCore(_) => fleet.cores.iter().take(usize::from(CORES)).cloned().collect(),
            Trouble::Roll(_) => fleet.balancers.clone(),
            Trouble::SettingsSeries => fleet.nodes().cloned().collect(),
            // Processes must keep all promises whatever their upstreams do.
            Trouble::Refuse(_) | Trouble::Early(_) | Trouble::LoseEarly(_) => Vec::new(),
            _ => vec![node.clone()],
        }
    }

    async fn run(
        self,
        fleet: &Fleet,
        node: &Node,
        troubled: &[Rc<Node>],
        folder: &Path,
        account: &RefCell<Account>,
    ) {
        match self {
            Trouble::Kill(span) | Trouble::KillCore(span) => {
                troubled.iter().for_each(|node| node.process.borrow_mut().kill());
                sleep(span).await;
                troubled.iter().for_each(|node| _ = node.restart());
            }
            Trouble::Wipe(span) => {
                node.process.borrow_mut().kill();
                let core = usize::from(node.machine).saturating_sub(200);
                let _ = std::fs::remove_dir_all(folder.join(format!("core-{core}")));
                sleep(span).await;
                let _ = node.restart();
                // Lost for as long as it may take to have everything again.
                sleep(SYNC_TIME).await;
            }
            Trouble::Stop(span) => stop_and_restart(node, span).await,
            Trouble::Roll(gap) => {
                let mut stops = JoinSet::new();
                for node in troubled {
                    let node = node.clone();
                    stops.spawn_local(async move { stop_and_restart(&node, gap).await });
                    sleep(gap).await;
                }
                while stops.join_next().await.is_some() {}
            }
            Trouble::Settings => node.process.borrow().tell_settings(),
            Trouble::SettingsSeries => {
                for _ in 0..SETTINGS_SERIES {
                    troubled.iter().for_each(|node| node.process.borrow().tell_settings());
                    sleep(SETTINGS_GAP).await;
                }
            }
            Trouble::Pause(span) => {
                node.process.borrow().pause();
                sleep(span).await;
                node.process.borrow().resume();
            }
            Trouble::Refuse(span) => {
                let standin = &fleet.standins[usize::from(node.machine) % fleet.standins.len()];
                standin.book().manner = Manner::Sheds;
                sleep(span).await;
                standin.book().manner = Manner::Well;
            }
            Trouble::Early(span) | Trouble::LoseEarly(span) => {
                let standin = &fleet.standins[usize::from(node.machine) % fleet.standins.len()];
                standin.book().begins_early = true;
                if matches!(self, Trouble::LoseEarly(_)) {
                    standin.book().manner = Manner::CutDuring;
                }
                sleep(span).await;
                standin.book().begins_early = false;
                standin.book().manner = Manner::Well;
            }
            Trouble::Leave(span) => leaving::play(fleet, node, span, account).await,
            Trouble::Link(fault, span) => {
                node.relay.set(fault);
                sleep(span).await;
                node.relay.set(Fault::None);
            }
        }
    }
}
