//! Downloads and small answers share the link of the machine that sends them.

#[allow(dead_code)]
mod mesh;

use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mesh::{WITHIN, play, status, until};
use sloeline_testbed::client::ask;
use sloeline_testbed::machine::Plan;
use sloeline_testbed::process::{Builds, Process, Program};
use sloeline_testbed::standin::Standin;
use tokio::task::spawn_local;

/// Of the link, in megabits and in bytes a second.
const LINK_MBPS: f64 = 8.0;
const LINK_BYTES: f64 = LINK_MBPS * 1e6 / 8.0;
const DOWNLOADS: usize = 10;
const DOWNLOAD_BYTES: usize = 100_000;

/// The identifier of the upstream beside balancer 1.
const UPSTREAM_ID: [&str; 2] = ["i-49-1", "i-50-1"];

/// The headers of a request as another balancer sends it.
fn headers(plan: &Plan) -> [(&'static str, &'static str); 4] {
    let id = plan.upstream(1, "one", 1).id;
    let id = UPSTREAM_ID.into_iter().find(|known| *known == id).expect("an upstream of these tests");
    [("Host", "h.example"), ("X-Try-Id", "t"), ("X-Time-Left", "9000"), ("X-Addressee", id)]
}

/// More than the link carries at once would wait in its queue, and whatever is sent after that behind it.
#[test]
fn downloads_leave_no_faster_than_the_link_carries_them_and_small_answers_pass_by() {
    play(async || {
        let folder = std::env::temp_dir().join(format!("sloeline-links-{}", std::process::id()));
        let plan = Plan::new(49, 1, folder);
        let standin = Standin::default();
        standin.book().works = Duration::from_millis(1);
        standin.book().large = DOWNLOAD_BYTES;
        let _balancer = plan.balancer_on_link(1, "one", LINK_MBPS).expect("a balancer");
        let _upstream = plan.standin(1, "one", &standin, DOWNLOADS as u32 + 2).expect("an upstream");
        // As another balancer asks.
        let request =
            async |path: &str| ask(plan.incoming(1), "GET", path, &headers(&plan), b"", WITHIN).await;
        let small = until(|| request("/small"), |a| status(a) == 200).await;
        assert_eq!(status(&small), 200, "{small:?}");
        let (begun, over) = (Instant::now(), Rc::new(Cell::new(0)));
        for _ in 0..DOWNLOADS {
            let (plan, over) = (plan.clone(), over.clone());
            spawn_local(async move {
                let large = ask(plan.incoming(1), "GET", "/large", &headers(&plan), b"", WITHIN).await;
                let large = large.expect("an answer");
                assert_eq!((large.status, large.body.len()), (200, DOWNLOAD_BYTES));
                over.set(over.get() + 1);
            });
        }
        let mut passed_by = 0;
        while over.get() < DOWNLOADS {
            let small = request("/small").await;
            assert_eq!(status(&small), 200, "{small:?}");
            passed_by += usize::from(over.get() < DOWNLOADS);
        }
        let took = begun.elapsed().as_secs_f64();
        let at_least = 0.9 * (DOWNLOADS * DOWNLOAD_BYTES) as f64 / LINK_BYTES;
        assert!(took >= at_least, "{DOWNLOADS} downloads took {took:.3} s, the link takes {at_least:.3}");
        // Each would wait for a hundredth of a second behind what the link has; a download takes a tenth.
        assert!(passed_by >= 20, "{passed_by} small answers while the downloads were on their way");
    });
}

/// Their slots are free by then: only the link still knows of them.
#[test]
fn a_balancer_that_is_told_to_stop_sends_what_waits_for_its_link() {
    const SLOW_LINK_MBPS: f64 = 4.0;
    const LARGE_BYTES: usize = 150_000;
    play(async || {
        let folder = std::env::temp_dir().join(format!("sloeline-links-stop-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let plan = Plan::new(50, 1, folder.clone());
        let standin = Standin::default();
        standin.book().works = Duration::from_millis(1);
        standin.book().large = LARGE_BYTES;
        let settings = plan.balancer_settings_on_link(1, "one", SLOW_LINK_MBPS);
        let testbed = Path::new(env!("CARGO_BIN_EXE_sloeline-testbed"));
        let started =
            Process::start(Program::DataPlane, Builds::single(testbed), &folder, "balancer", &settings);
        let mut balancer = started.expect("a process");
        let _upstream = plan.standin(1, "one", &standin, DOWNLOADS as u32).expect("an upstream");
        let request =
            async |path: &str| ask(plan.incoming(1), "GET", path, &headers(&plan), b"", WITHIN).await;
        let small = until(|| request("/small"), |a| status(a) == 200).await;
        assert_eq!(status(&small), 200, "{small:?}");
        let downloads = [(); DOWNLOADS].map(|()| {
            let plan = plan.clone();
            spawn_local(async move {
                let large = ask(plan.incoming(1), "GET", "/large", &headers(&plan), b"", WITHIN).await;
                large.map(|answer| answer.body.len())
            })
        });
        let ran = until(async || standin.ran(), |ran| *ran as usize > DOWNLOADS).await;
        assert_eq!(ran as usize, DOWNLOADS + 1, "all are with their upstream, and the small one was");
        balancer.stop();
        for download in downloads {
            let length = download.await.expect("it ends");
            assert_eq!(length.ok(), Some(LARGE_BYTES), "{}", balancer.log());
        }
        let _ = std::fs::remove_dir_all(folder);
    });
}
