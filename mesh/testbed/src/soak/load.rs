//! The load of a soak: an operator that changes the configuration, clients with keyed requests, and probes of what is in force.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;
use serde_json::Value;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::account::Account;
use super::fleet::{CORES, Fleet, SERVICE};
use super::stalls::Stalls;
use crate::client::{Answer, ask};

/// Routes of a configuration that stay as they are: together some 40 KB.
const ROUTES: u32 = 250;
/// Versions whose marker route a configuration has. Older markers are taken away.
const MARKERS: u32 = 40;
/// Timeouts of routes: one to five seconds, each for so many versions.
const SHORTEST_TIMEOUT_MS: u32 = 1000;
const TIMEOUT_STEP_MS: u32 = 500;
const TIMEOUT_STEPS: u32 = 9;
const VERSIONS_PER_TIMEOUT: u32 = 8;
/// How long an order and a probe are waited for.
const ORDER_WITHIN: Duration = Duration::from_millis(2500);
const PROBE_WITHIN: Duration = Duration::from_millis(1500);
/// From an acknowledgement until it holds at every machine in touch.
pub const EDITION_TIME: Duration = Duration::from_secs(2);
/// What a machine must have been without trouble for to be in touch.
pub const CONTACT: Duration = Duration::from_secs(3);
/// A busy test machine is late by as much.
const LATE: Duration = Duration::from_millis(500);
/// Clients, and the keys that each uses over and over.
const CLIENTS: u32 = 4;
const KEYS: u32 = 400;
/// Clients that keep their connections.
const KEPT: u32 = 6;
/// Clients that send long bodies, how long these are, and the pause between two.
const UPLOADERS: u32 = 3;
const UPLOAD_BYTES: std::ops::Range<usize> = (1 << 20)..(12 << 20);
const UPLOAD_GAP_MS: std::ops::Range<u64> = 20..400;
/// Orders that the operator has under way at once.
const ORDERS: u32 = 3;

/// What the load works on.
#[derive(Clone)]
pub struct Load {
    /// The processes.
    pub fleet: Rc<Fleet>,
    /// What is seen.
    pub account: Rc<RefCell<Account>>,
    /// How long the soak itself and the disk stood still.
    pub stalls: Rc<Stalls>,
    /// When it ends.
    pub until: Instant,
}

/// The timeout of all routes in a version.
fn route_timeout(edition: u32) -> Duration {
    let step = (edition / VERSIONS_PER_TIMEOUT) % TIMEOUT_STEPS;
    Duration::from_millis(u64::from(SHORTEST_TIMEOUT_MS + TIMEOUT_STEP_MS * step))
}

/// A configuration. Version `n` has the marker routes `/v/n/`, `/v/n-1/` and so on, so that a probe tells which is in force.
/// Timeouts and tries change with the version.
pub fn configuration(edition: u32) -> String {
    let (timeout_ms, tries) = (route_timeout(edition).as_millis(), 1 + edition % 3);
    let route = |name: String, prefix: String, kind: &str| {
        format!(
            r#"{{"name":"{name}","route_kind":"{kind}","target":"400ms","precedence":1,"sort_by":{{"lane_prefix":"{prefix}"}},"dispatch":{{"line":"{SERVICE}","timeout":"{timeout_ms}ms","tries":{tries}}}}}"#
        )
    };
    let markers = (edition.saturating_sub(MARKERS - 1)..=edition)
        .map(|version| route(format!("m{version}"), format!("/v/{version}/"), "safe"));
    let name = |number: u32| number.wrapping_mul(2_654_435_761) ^ 0x5bd1_e995;
    let fixed =
        (0..ROUTES).map(|number| route(format!("r{number}"), format!("/{:x}/", name(number)), "safe"));
    let book = route("book".to_owned(), "/book/".to_owned(), "tracked");
    let slow = route("slow".to_owned(), "/slow/".to_owned(), "safe");
    let routes: Vec<String> = markers.chain(fixed).chain([book, slow]).collect();
    format!(
        r#"{{"edition":"{edition:08x}","gateways":[{{"station":"shop.example","regulations":[{}]}}],"depots":[{{"name":"{SERVICE}"}}]}}"#,
        routes.join(",")
    )
}

impl Load {
    /// Sends an order to any core machine until it is acknowledged, again and again as it is. Some answers are lost.
    pub async fn order(&self, edition: u32, rng: &mut Rng) -> bool {
        let body = configuration(edition);
        self.account.borrow_mut().sent(edition, body.clone());
        while Instant::now() < self.until {
            let within = if rng.u32(..8) == 0 { Duration::from_millis(30) } else { ORDER_WITHIN };
            match self.put(rng.u8(..CORES), &body, within).await {
                Some(Answer { status: 200, .. }) => {
                    self.account.borrow_mut().acknowledged(edition);
                    return true;
                }
                Some(answer) if (400..500).contains(&answer.status) => {
                    let why = String::from_utf8_lossy(&answer.body).into_owned();
                    self.account
                        .borrow_mut()
                        .violate(format!("{edition} is refused: {} {why}", answer.status));
                    return false;
                }
                _ => sleep(Duration::from_millis(rng.u64(20..200))).await,
            }
        }
        false
    }

    /// Sends an order and follows where it is sent on to.
    async fn put(&self, core: u8, body: &str, within: Duration) -> Option<Answer> {
        let mut to = self.fleet.plan.operator(core);
        for _ in 0..3 {
            let sent = ask(to, "POST", "/-/rpc?call=config.replace", &[], body.as_bytes(), within).await;
            let answer = sent.ok()?;
            if answer.status != 307 {
                return Some(answer);
            }
            to = answer.header("location")?.strip_prefix("http://")?.split('/').next()?.parse().ok()?;
        }
        None
    }

    /// Changes the configuration until the end, by orders that overlap: one in so many versions is this one's.
    pub async fn operate(self, first: u32, mut rng: Rng) {
        for edition in (first..).step_by(ORDERS as usize) {
            if Instant::now() >= self.until {
                return;
            }
            self.order(edition, &mut rng).await;
            // Now and then many changes follow one another at once.
            if rng.u32(..3) > 0 {
                sleep(Duration::from_millis(rng.u64(50..900))).await;
            }
        }
    }

    /// Reads the configuration at any machine; tells whether it came.
    pub async fn read(&self, core: u8) -> Option<u32> {
        let sent_at = Instant::now();
        let to = self.fleet.plan.operator(core);
        let answer = ask(to, "POST", "/-/rpc?call=config.read", &[], b"", ORDER_WITHIN).await.ok()?;
        if answer.status != 200 {
            return None;
        }
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        let value: Value = serde_json::from_str(&body).ok()?;
        let edition = u32::from_str_radix(value["edition"].as_str()?, 16).ok()?;
        self.account.borrow_mut().read_back(sent_at, edition, &body);
        Some(edition)
    }

    /// Reads until the end.
    pub async fn read_often(self, mut rng: Rng) {
        while Instant::now() < self.until {
            self.read(rng.u8(..CORES)).await;
            sleep(Duration::from_millis(rng.u64(100..600))).await;
        }
    }

    /// The longest timeout that a balancer may go by from now on: that of the version which it has shown in this life, or of a
    /// later one.
    pub fn longest_timeout(&self, balancer: u8) -> Duration {
        let life = self.fleet.balancers[usize::from(balancer) - 1].life.get();
        let account = self.account.borrow();
        let oldest = account.shown_by(balancer, life);
        let possible = account.editions().into_iter().filter(|edition| Some(*edition) >= oldest);
        possible.map(route_timeout).max().unwrap_or_default()
    }

    /// The version that is in force at a balancer: the highest whose marker has a route. A balancer that serves nothing now
    /// tells none.
    pub async fn in_force(&self, balancer: u8) -> Option<u32> {
        let newest = *self.account.borrow().editions().last()?;
        let began = Instant::now();
        let node = &self.fleet.balancers[usize::from(balancer) - 1];
        let life = node.life.get();
        for version in (1..=newest).rev() {
            if !self.has_route(balancer, version).await? {
                continue;
            }
            if life == node.life.get() {
                self.account.borrow_mut().shows(balancer, life, version, began);
            }
            return Some(version);
        }
        None
    }

    async fn has_route(&self, balancer: u8, version: u32) -> Option<bool> {
        let (to, path) = (self.fleet.plan.outgoing(balancer), format!("/v/{version}/x"));
        let id = format!("probe-{:x}", fastrand::u64(..));
        let headers = [("Host", "shop.example"), ("X-Try-Id", id.as_str()), ("X-Time-Left", "1000")];
        let began = Instant::now();
        let answer = ask(to, "GET", &path, &headers, b"", PROBE_WITHIN).await;
        self.account.borrow_mut().probe_took(balancer, began);
        let answer = answer.ok()?;
        match answer.status {
            404 => Some(false),
            503 if answer.body == b"no configuration yet" => None,
            _ => Some(true),
        }
    }

    /// Looks at one balancer until the end: what it shows, and whether that is new enough while it is in touch.
    pub async fn probe(self, balancer: u8) {
        while Instant::now() < self.until {
            let began = Instant::now();
            let due = self.account.borrow().acknowledged_before(began - EDITION_TIME - LATE);
            let shown = self.in_force(balancer).await;
            let node = &self.fleet.balancers[usize::from(balancer) - 1];
            let in_touch = node.is_calm_for(CONTACT + began.elapsed())
                && self.fleet.cores.iter().all(|core| core.is_calm_for(CONTACT + began.elapsed()));
            if let (true, Some(shown), Some(due)) = (in_touch, shown, due) {
                self.account.borrow_mut().count("probes in touch");
                if shown < due {
                    let late = format!("balancer {balancer} in touch goes by {shown}, {due} is due");
                    self.account.borrow_mut().violate(late);
                }
            }
            sleep(Duration::from_millis(150)).await;
        }
    }

    /// Keyed requests: each key several times, at any balancer, also after a good answer.
    pub async fn call(self, client: u32, mut rng: Rng) {
        while Instant::now() < self.until {
            let key = format!("k-{client}-{}", rng.u32(..KEYS));
            let balancer = rng.u8(1..=self.fleet.last_balancer());
            let load = self.clone();
            let id = format!("try-{client}-{:x}", rng.u64(..));
            spawn_local(async move { load.keyed(balancer, &id, &key).await });
            sleep(Duration::from_millis(rng.u64(10..40))).await;
        }
    }

    async fn keyed(&self, balancer: u8, id: &str, key: &str) {
        let to = self.fleet.plan.outgoing(balancer);
        let headers =
            [("Host", "shop.example"), ("X-Try-Id", id), ("X-Time-Left", "2000"), ("X-Operation-Key", key)];
        // Some leave early.
        let within = Duration::from_millis(if fastrand::u32(..10) == 0 { 10 } else { 2500 });
        let answer = timeout(within, ask(to, "POST", "/book/1", &headers, b"", within)).await;
        let served = matches!(answer, Ok(Ok(Answer { status: 200, .. })));
        self.account.borrow_mut().count(if served { "keyed served" } else { "keyed not served" });
    }

    /// Keyed requests with long bodies, each key once.
    pub async fn upload(self, client: u32, mut rng: Rng) {
        while Instant::now() < self.until {
            let to = self.fleet.plan.outgoing(rng.u8(1..=self.fleet.last_balancer()));
            let id = format!("upload-{client}-{:x}", rng.u64(..));
            let headers = [
                ("Host", "shop.example"),
                ("X-Try-Id", id.as_str()),
                ("X-Time-Left", "2000"),
                ("X-Operation-Key", id.as_str()),
            ];
            let body = vec![b'u'; rng.usize(UPLOAD_BYTES)];
            let within = Duration::from_secs(5);
            let answer = ask(to, "POST", "/book/large", &headers, &body, within).await;
            let served = answer.is_ok_and(|answer| answer.status == 200);
            self.account.borrow_mut().count(if served { "upload served" } else { "upload not served" });
            sleep(Duration::from_millis(rng.u64(UPLOAD_GAP_MS))).await;
        }
    }

    /// Starts all of it.
    pub fn start(&self, rng: &mut Rng) {
        (0..ORDERS).for_each(|order| _ = spawn_local(self.clone().operate(2 + order, rng.fork())));
        (0..KEPT).for_each(|client| _ = spawn_local(self.clone().keep(client, rng.fork())));
        (0..UPLOADERS).for_each(|client| _ = spawn_local(self.clone().upload(client, rng.fork())));
        spawn_local(self.clone().read_often(rng.fork()));
        (1..=self.fleet.last_balancer()).for_each(|balancer| _ = spawn_local(self.clone().probe(balancer)));
        (0..CLIENTS).for_each(|client| _ = spawn_local(self.clone().call(client, rng.fork())));
    }
}
