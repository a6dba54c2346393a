//! What the acknowledgement of an upstream's end promises: the instance gets no new requests, whichever processes are killed
//! and started again, and whatever comes late.

#[allow(dead_code)]
mod mesh;

use std::time::{Duration, Instant};

use mesh::{Mesh, play, status, until};
use sloeline_testbed::machine::Machine;
use sloeline_testbed::standin::Place;
use tokio::time::sleep;

/// The guarantee `contact` of the settings: within it machines that have started serve.
const CONTACT: Duration = Duration::from_secs(3);
/// How long requests are sent that must not reach an upstream.
const WATCH_TIME: Duration = Duration::from_millis(1500);

/// A mesh whose only upstream is beside balancer 2 and sends what the test says.
struct Watched {
    mesh: Mesh,
    balancer: Option<Machine>,
    _upstream: Machine,
    place: Place,
}

impl Watched {
    /// Starts one whose upstream serves.
    async fn start(net: u8, cores: u8) -> Watched {
        let mesh = Mesh::without_upstream(net, cores).await;
        mesh.standin.book().silent = true;
        let balancer = Some(mesh.plan.balancer(2, "one").expect("a balancer"));
        let upstream = mesh.plan.standin(2, "one", &mesh.standin, 2).expect("an upstream");
        let place = mesh.plan.upstream(2, "one", 2);
        let watched = Watched { mesh, balancer, _upstream: upstream, place };
        let beat = until(|| watched.place.beat("accepting", 1), |a| status(a) == 200).await;
        assert_eq!(status(&beat), 200, "{beat:?}");
        watched.assert_serves("first").await;
        watched
    }

    /// Kills the balancer beside the upstream and starts it again.
    fn restart_balancer(&mut self) {
        drop(self.balancer.take());
        self.balancer = Some(self.mesh.plan.balancer(2, "one").expect("a balancer"));
    }

    /// Restarts the balancer, delivers a heartbeat from before the end late, and sends requests, none of which may reach the
    /// upstream.
    async fn assert_end_outlasts_restart(&mut self, late_sequence: u64) {
        self.restart_balancer();
        self.beat_late(late_sequence).await;
        self.assert_gets_nothing("left").await;
    }

    /// Sends requests until one is served.
    async fn assert_serves(&self, id: &str) {
        let served = until(|| self.mesh.request("/once/a", id, None), |a| status(a) == 200).await;
        assert_eq!(status(&served), 200, "{id}: {served:?}");
    }

    /// Sends requests for a while, none of which may reach the upstream.
    async fn assert_gets_nothing(&self, what: &str) {
        let (before, start) = (self.mesh.standin.ran(), Instant::now());
        let mut number = 0;
        while start.elapsed() < WATCH_TIME {
            number += 1;
            let _ = self.mesh.request_with("/once/a", &format!("{what}-{number}"), None, 300).await;
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(self.mesh.standin.ran(), before, "{what}: {number} requests were sent");
    }

    /// Sends a heartbeat until the balancer, which may just be starting, has acknowledged it.
    async fn beat_late(&self, sequence: u64) {
        let late = until(|| self.place.beat("accepting", sequence), |a| status(a) == 200).await;
        assert_eq!(status(&late), 200, "{late:?}");
    }
}

/// Guards against an upstream that gets requests after its `leave` was acknowledged, when its balancer is killed and a late
/// heartbeat meets the next process.
#[test]
fn an_end_that_was_acknowledged_outlasts_the_process_that_acknowledged_it() {
    play(async || {
        for (net, closing) in [(64, false), (65, true)] {
            let mut watched = Watched::start(net, 1).await;
            let ended =
                if closing { watched.place.beat("closing", 2).await } else { watched.place.leave().await };
            assert_eq!(status(&ended), 200, "{ended:?}");
            // At once, before any peer could pull it.
            watched.assert_end_outlasts_restart(if closing { 1 } else { 2 }).await;
            // A new instance, perhaps at the same address, serves.
            let next = Place { id: "i-next".to_owned(), ..watched.place.clone() };
            let started = Instant::now();
            assert_eq!(status(&next.beat("accepting", 1).await), 200);
            watched.assert_serves("next").await;
            assert!(started.elapsed() < CONTACT, "{:?}", started.elapsed());
            watched.beat_late(3).await;
            watched.assert_serves("after-late").await;
        }
    });
}

/// Guards against the same when all processes of the core are killed too, at the same moment, and keep their disks.
#[test]
fn an_end_that_was_acknowledged_outlasts_all_processes() {
    play(async || {
        let mut watched = Watched::start(66, 3).await;
        assert_eq!(status(&watched.place.leave().await), 200);
        watched.mesh.cores.clear();
        drop(watched.balancer.take());
        for core in 0..3 {
            let again = watched.mesh.plan.core(core, false).expect("a core machine");
            watched.mesh.cores.push(Some(again));
        }
        watched.assert_end_outlasts_restart(2).await;
    });
}

/// Guards against a `leave` that a process acknowledges and forgets, since it has not heard of the instance yet.
#[test]
fn an_end_counts_also_if_the_process_does_not_know_the_instance() {
    play(async || {
        let mut watched = Watched::start(67, 1).await;
        watched.restart_balancer();
        let left = until(|| watched.place.leave(), |a| status(a) == 200).await;
        assert_eq!(status(&left), 200, "{left:?}");
        watched.beat_late(2).await;
        watched.assert_gets_nothing("left").await;
    });
}

/// Guards against promises that nobody else has heard: without the core an end takes effect here, but is not acknowledged.
/// Guards also against balancers that wait for the core to answer before they believe an upstream that is well.
#[test]
fn without_the_core_an_end_is_not_acknowledged_and_an_upstream_that_is_well_serves() {
    play(async || {
        let mut watched = Watched::start(68, 1).await;
        watched.mesh.cores.clear();
        let started = Instant::now();
        watched.restart_balancer();
        watched.beat_late(2).await;
        watched.assert_serves("without-core").await;
        assert!(started.elapsed() < CONTACT, "{:?}", started.elapsed());
        let left = watched.place.leave().await;
        assert_eq!(status(&left), 503, "{left:?}");
        watched.assert_gets_nothing("left").await;
        // The core is back: the same call is acknowledged.
        watched.mesh.cores.push(Some(watched.mesh.plan.core(0, false).expect("a core machine")));
        let left = until(|| watched.place.leave(), |a| status(a) == 200).await;
        assert_eq!(status(&left), 200, "{left:?}");
    });
}
