//! A balancer that is told to stop: every request that it takes until its end gets a whole answer.

#[allow(dead_code)]
mod mesh;

use std::path::Path;
use std::time::{Duration, Instant};

use mesh::{WITHIN, config, play, status, until};
use sloeline_testbed::client::{Answer, Kept, ask};
use sloeline_testbed::machine::{Machine, Plan};
use sloeline_testbed::process::{Builds, Process, Program};
use sloeline_testbed::standin::Standin;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// The grace period of the test settings.
const GRACE: Duration = Duration::from_secs(6);
/// Only an upstream that is still at work in this last part of the grace period may be left without its answer passed on.
const LAST_PART: f64 = 5.0 / 6.0;
/// Clients send on open connections until they have missed two readiness checks, a second apart.
const LATE_REQUEST: Duration = Duration::from_millis(2300);

/// A balancer of its own process for clients, and one with the only upstream of service `one`.
struct Fleet {
    plan: Plan,
    standin: Standin,
    front: Process,
    _machines: Vec<Machine>,
    _folder: mesh::Folder,
}

impl Fleet {
    /// Requests take this long at the upstream, which works on so many at once, and its machine has this link.
    async fn start(net: u8, slots: u32, link_mbps: f64, timeout: &str) -> Fleet {
        let folder = std::env::temp_dir().join(format!("sloeline-shutdown-{}-{net}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let plan = Plan::new(net, 1, folder.clone());
        let standin = Standin::default();
        let testbed = Path::new(env!("CARGO_BIN_EXE_sloeline-testbed"));
        let settings = plan.balancer_settings(1, "front");
        let front = Process::start(Program::DataPlane, Builds::single(testbed), &folder, "front", &settings);
        let machines = vec![
            plan.core(0, true).expect("a core machine"),
            plan.balancer_on_link(2, "one", link_mbps).expect("a balancer"),
            plan.standin(2, "one", &standin, slots).expect("an upstream"),
        ];
        let body = config(1, timeout);
        let target = "/-/rpc?call=config.replace";
        let put = || ask(plan.operator(0), "POST", target, &[], body.as_bytes(), WITHIN);
        let put = until(put, |a| status(a) == 200).await;
        assert_eq!(status(&put), 200, "{put:?}");
        let ready = || ask(plan.readiness(1), "GET", "/-/ready", &[], b"", WITHIN);
        let ready = until(ready, |a| status(a) == 200).await;
        assert_eq!(status(&ready), 200, "{ready:?}");
        let front = front.expect("a process");
        Fleet { plan, standin, front, _machines: machines, _folder: mesh::Folder(folder) }
    }

    /// A connection that has had an answer.
    async fn connection(&self) -> Kept {
        let mut connection = Kept::connect(self.plan.outgoing(1)).await.expect("a connection");
        let first = connection.ask(&get("/safe/first", "first")).await.expect("an answer");
        assert_eq!(first.status, 200, "{first:?}");
        connection
    }

    /// Sleeps until this long after the moment, then lets the process run only a tenth of each tenth of a second, as on a
    /// machine that has spent its share of the processor, until it has ended; how long that took.
    async fn ended_with_little_processor_time(&mut self, told_at: Instant, from: Duration) -> Duration {
        const PERIOD: Duration = Duration::from_millis(100);
        sleep(from.saturating_sub(told_at.elapsed())).await;
        while self.front.is_running() && told_at.elapsed() < GRACE {
            self.front.pause();
            sleep(PERIOD.mul_f64(0.9)).await;
            self.front.resume();
            sleep(PERIOD.mul_f64(0.1)).await;
        }
        told_at.elapsed()
    }

    /// Waits until the process has ended; how long that took.
    async fn ended(&mut self, told_at: Instant) -> Duration {
        while self.front.is_running() && told_at.elapsed() < GRACE {
            sleep(Duration::from_millis(5)).await;
        }
        told_at.elapsed()
    }
}

/// A request of a client that waits for longer than a shutdown lasts.
fn get(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Try-Id: {id}\r\nX-Time-Left: 20000\r\n\r\n")
}

/// The answer to a request on this connection, and when it was whole.
fn send(mut connection: Kept, path: &str, id: &str) -> JoinHandle<(anyhow::Result<Answer>, Instant)> {
    let request = get(path, id);
    spawn_local(async move {
        let answer = timeout(WITHIN, connection.ask(&request)).await;
        (answer.unwrap_or_else(|_| Err(anyhow::anyhow!("no answer in time"))), Instant::now())
    })
}

#[test]
fn a_request_from_before_a_shutdown_whose_upstream_outlasts_it_gets_a_whole_answer() {
    play(async || {
        let mut fleet = Fleet::start(53, 2, 100.0, "15s").await;
        let connection = fleet.connection().await;
        let ran_before = fleet.standin.ran();
        fleet.standin.book().works = Duration::from_secs(30);
        let pending = send(connection, "/safe/before", "before");
        until(async || fleet.standin.ran(), |ran| *ran == ran_before + 1).await;
        fleet.front.stop();
        let told_at = Instant::now();
        let (answer, at) = pending.await.expect("it ends");
        let answer = answer.unwrap_or_else(|why| panic!("{why:#}, {}", fleet.front.log()));
        assert_eq!(answer.status, 504, "{answer:?}");
        assert!(at - told_at >= GRACE.mul_f64(LAST_PART), "its upstream was at work, {:?}", at - told_at);
        let ended = fleet.ended(told_at).await;
        assert!(ended < GRACE, "it takes {ended:?} to end");
    });
}

#[test]
fn requests_taken_late_in_a_shutdown_get_whole_answers_with_little_processor_time() {
    const REQUESTS: usize = 40;
    /// Of them so many reach the upstream, and the others wait for its slots.
    const SLOTS: u32 = 20;
    const LITTLE_TIME_FROM: Duration = Duration::from_millis(4000);
    play(async || {
        let mut fleet = Fleet::start(55, SLOTS, 100.0, "15s").await;
        let mut connections = Vec::new();
        for _ in 0..REQUESTS {
            connections.push(fleet.connection().await);
        }
        fleet.standin.book().works = Duration::from_secs(30);
        fleet.front.stop();
        let told_at = Instant::now();
        sleep(LATE_REQUEST).await;
        let pending: Vec<_> = (0..)
            .zip(connections)
            .map(|(number, connection)| send(connection, "/safe/late", &format!("late-{number}")))
            .collect();
        let ended = fleet.ended_with_little_processor_time(told_at, LITTLE_TIME_FROM).await;
        let mut lost = 0;
        for (number, pending) in pending.into_iter().enumerate() {
            let (answer, at) = pending.await.expect("it ends");
            lost += usize::from(answer.is_err());
            let Ok(answer) = answer else { continue };
            let ran = fleet.standin.book().runs.contains_key(&format!("late-{number}"));
            assert_eq!(answer.status, if ran { 504 } else { 503 }, "{number}: {answer:?}");
            let early = ran && at - told_at < GRACE.mul_f64(LAST_PART);
            assert!(!early, "{number}: its upstream was at work, {:?}", at - told_at);
        }
        assert_eq!(lost, 0, "of {REQUESTS} got no answer, {}", fleet.front.log());
        assert!(ended < GRACE, "it takes {ended:?} to end");
    });
}

/// It is too long to be read whole before it is passed on.
#[test]
fn a_long_answer_that_does_not_fit_into_a_shutdown_is_not_begun() {
    const DOWNLOAD_BYTES: usize = 400_000;
    /// It carries the download in four seconds.
    const LINK_MBPS: f64 = 1.0;
    play(async || {
        let mut fleet = Fleet::start(57, 2, LINK_MBPS, "15s").await;
        let connection = fleet.connection().await;
        fleet.standin.book().large = DOWNLOAD_BYTES;
        fleet.front.stop();
        let told_at = Instant::now();
        sleep(LATE_REQUEST).await;
        let (answer, _) = send(connection, "/safe/large", "large").await.expect("it ends");
        let answer = answer.unwrap_or_else(|why| panic!("{why:#}, {}", fleet.front.log()));
        assert_eq!(answer.status, 504, "{answer:?}");
        let ended = fleet.ended(told_at).await;
        assert!(ended < GRACE, "it takes {ended:?} to end");
    });
}

/// Answers that the upstream has given still wait for the link of the other balancer.
#[test]
fn answers_that_wait_for_a_link_at_the_end_of_a_shutdown_are_answered_whole() {
    const DOWNLOADS: usize = 8;
    const DOWNLOAD_BYTES: usize = 100_000;
    /// It carries one of the downloads a second.
    const LINK_MBPS: f64 = 1.0;
    play(async || {
        let mut fleet = Fleet::start(54, DOWNLOADS as u32, LINK_MBPS, "15s").await;
        let mut connections = Vec::new();
        for _ in 0..DOWNLOADS {
            connections.push(fleet.connection().await);
        }
        fleet.standin.book().large = DOWNLOAD_BYTES;
        fleet.standin.book().works = Duration::from_millis(50);
        fleet.front.stop();
        let told_at = Instant::now();
        sleep(LATE_REQUEST).await;
        let pending: Vec<_> = (0..)
            .zip(connections)
            .map(|(number, connection)| send(connection, "/safe/large", &format!("large-{number}")))
            .collect();
        let mut served = 0;
        for (number, pending) in pending.into_iter().enumerate() {
            let (answer, _) = pending.await.expect("it ends");
            let answer = answer.unwrap_or_else(|why| panic!("{number}: {why:#}, {}", fleet.front.log()));
            assert!([200, 503, 504].contains(&answer.status), "{number}: {}", answer.status);
            served += usize::from(answer.status == 200);
        }
        assert!(served > 0, "the link has carried none of them");
        let ended = fleet.ended(told_at).await;
        assert!(ended < GRACE, "it takes {ended:?} to end");
    });
}
