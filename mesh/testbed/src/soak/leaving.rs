//! An upstream of a soak that leaves: it reports so, serves on for a while and starts anew. Its balancer is killed meanwhile, and
//! a heartbeat from before the report comes late.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::account::Account;
use super::fleet::{Fleet, Node, SERVICE, SLOTS};
use super::load::CONTACT;
use crate::standin::Place;

/// The guarantee `drain` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// How long the upstream is watched after that.
const WATCH_TIME: Duration = Duration::from_millis(1500);
/// How often and how long the upstream tries to be heard.
const CALL_PAUSE: Duration = Duration::from_millis(100);
const CALLS_WITHIN: Duration = Duration::from_secs(4);
/// Sequence numbers of the upstream's last heartbeats, above those that it has sent by itself.
const LATE_SEQUENCE: u64 = 1 << 40;

/// Plays one upstream that leaves. Its balancer is down for `span`.
pub async fn play(fleet: &Fleet, node: &Node, span: Duration, account: &RefCell<Account>) {
    let standin = &fleet.standins[usize::from(node.machine) - 1];
    let place = fleet.plan.upstream(node.machine, SERVICE, SLOTS).in_life(standin.book().life);
    standin.book().silent = true;
    if report_leave(&place).await {
        account.borrow_mut().count("leave acknowledged");
        let acknowledged = Instant::now();
        node.process.borrow_mut().kill();
        sleep(span).await;
        let _ = node.restart();
        let restarted = Instant::now();
        beat_late(&place).await;
        let drained = acknowledged + DRAIN;
        tokio::time::sleep_until(drained.max(restarted + CONTACT)).await;
        watch(fleet, node, account).await;
    }
    // A new life, with a new id at the same address.
    let mut book = standin.book();
    book.life += 1;
    book.silent = false;
}

/// Reports that the upstream leaves; tells whether that was acknowledged.
async fn report_leave(place: &Place) -> bool {
    let begin = Instant::now();
    while begin.elapsed() < CALLS_WITHIN {
        if place.leave().await.is_ok_and(|answer| answer.status == 200) {
            return true;
        }
        sleep(CALL_PAUSE).await;
    }
    false
}

/// Delivers a heartbeat from before the report.
async fn beat_late(place: &Place) {
    let begin = Instant::now();
    while begin.elapsed() < CALLS_WITHIN {
        if place.beat("accepting", LATE_SEQUENCE).await.is_ok_and(|answer| answer.status == 200) {
            return;
        }
        sleep(CALL_PAUSE).await;
    }
}

/// Looks whether the upstream gets anything, and counts that if its balancer and the core were in touch meanwhile.
async fn watch(fleet: &Fleet, node: &Node, account: &RefCell<Account>) {
    let standin = &fleet.standins[usize::from(node.machine) - 1];
    let (ran, troubles) = (standin.ran(), node.begun_troubles.get());
    sleep(WATCH_TIME).await;
    let new = standin.ran() - ran;
    let in_touch = fleet.cores.iter().all(|core| core.is_calm_for(CONTACT + WATCH_TIME));
    if !in_touch || node.begun_troubles.get() != troubles || node.troubles.get() != 1 {
        return;
    }
    account.borrow_mut().count("left upstreams watched");
    if new > 0 {
        let what = format!("the upstream of machine {} got {new} requests after its leave", node.machine);
        account.borrow_mut().violate(what);
    }
}
