//! A balancer that is told to stop while a keyed request waits for the core.

#[allow(dead_code)]
mod mesh;

use std::path::Path;
use std::time::{Duration, Instant};

use mesh::{WITHIN, play, status, until};
use sloeline_testbed::client::{Answer, ask};
use sloeline_testbed::machine::Plan;
use sloeline_testbed::process::{Builds, Process, Program};
use sloeline_testbed::standin::Standin;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// The balancer that is told to stop, and another one of the same service.
const STOPPED: u8 = 2;
const OTHER: u8 = 3;
/// Slots of each upstream.
const SLOTS: u32 = 2;
/// From the order to stop on: when the core stands still, when the request comes, and when the core goes on. A balancer
/// without anything to do ends between the last two.
const CORE_PAUSES: Duration = Duration::from_millis(1900);
const REQUEST: Duration = Duration::from_millis(2300);
const CORE_RESUMES: Duration = Duration::from_millis(3000);

/// Sends a keyed request to the balancer of a machine, as another balancer does.
async fn send(plan: &Plan, machine: u8, id: &str, key: &str) -> anyhow::Result<Answer> {
    let upstream = plan.upstream(machine, "one", SLOTS);
    let headers = [
        ("X-Try-Id", id),
        ("X-Time-Left", "3000"),
        ("X-Addressee", upstream.id.as_str()),
        ("X-Mesh-Keyed", "1"),
        ("X-Operation-Key", key),
    ];
    ask(plan.incoming(machine), "POST", "/key/a", &headers, b"", WITHIN).await
}

/// Guards against keys that stay claimed by a run that never was, because its balancer ended while it asked for the claim.
#[test]
fn a_balancer_that_stops_ends_its_keyed_requests_first() {
    play(async || {
        let folder = std::env::temp_dir().join(format!("sloeline-keyed-stop-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let plan = Plan::new(63, 1, folder.clone());
        let builds = Builds::single(Path::new(env!("CARGO_BIN_EXE_sloeline-testbed")));
        let start = |program: Program, name: &str, settings: &str| {
            Process::start(program, builds.clone(), &folder, name, settings).expect("a process")
        };
        let core = start(Program::ControlPlane, "core", &plan.core_settings(0, true).expect("settings"));
        let mut stopped = start(Program::DataPlane, "stopped", &plan.balancer_settings(STOPPED, "one"));
        let _other = start(Program::DataPlane, "other", &plan.balancer_settings(OTHER, "one"));
        let standin = Standin::default();
        let _upstreams = [STOPPED, OTHER]
            .map(|machine| plan.standin(machine, "one", &standin, SLOTS).expect("an upstream"));
        for machine in [STOPPED, OTHER] {
            let (id, key) = (format!("warm-{machine}"), format!("k-warm-{machine}"));
            let warm = until(|| send(&plan, machine, &id, &key), |a| status(a) == 200).await;
            assert_eq!(status(&warm), 200, "{warm:?}");
        }
        sleep(Duration::from_secs(1)).await;
        stopped.stop();
        let told_at = tokio::time::Instant::now();
        sleep_until(told_at + CORE_PAUSES).await;
        core.pause();
        sleep_until(told_at + REQUEST).await;
        let request = spawn_local({
            let plan = plan.clone();
            async move { send(&plan, STOPPED, "first", "k").await }
        });
        sleep_until(told_at + CORE_RESUMES).await;
        core.resume();
        let first = request.await.expect("no panic").expect("an answer");
        let ended_within = Instant::now() + Duration::from_secs(6);
        while stopped.is_running() && Instant::now() < ended_within {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(!stopped.is_running(), "{}", stopped.log());
        let repeat = until(|| send(&plan, OTHER, "repeat", "k"), |a| status(a) == 200).await;
        assert_eq!(status(&repeat), 200, "first {first:?}, repeat {repeat:?}");
        assert_eq!(standin.book().keys.get("k"), Some(&1));
        let _ = std::fs::remove_dir_all(&folder);
    });
}
