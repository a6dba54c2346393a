//! Clients that keep a connection and use it for one request after the other, until the process at its other end is gone.

use std::time::Duration;

use fastrand::Rng;
use tokio::time::{Instant, sleep, timeout};

use super::load::{CONTACT, Load};
use crate::client::{Answer, Kept};

/// A process that has read a request whole answers it, but for one that it closed on within this time: it may not have read it.
const LOST_SLACK: Duration = Duration::from_millis(200);
/// How long an answer is waited for: the longest timeout of a route and a second.
const ANSWER_WITHIN: Duration = Duration::from_secs(6);
/// How much later than its route's timeout a request may be answered, on a busy test machine.
const LATE: Duration = Duration::from_secs(1);
/// One request in so many is slow.
const SLOW_EVERY: u32 = 4;

impl Load {
    /// Uses connections to any balancer, one after the other, until the end.
    pub async fn keep(self, client: u32, mut rng: Rng) {
        while Instant::now() < self.until {
            let balancer = rng.u8(1..=self.fleet.last_balancer());
            let connected = timeout(ANSWER_WITHIN, Kept::connect(self.fleet.plan.outgoing(balancer))).await;
            if let Ok(Ok(connection)) = connected {
                self.use_up(connection, balancer, client, &mut rng).await;
            }
            sleep(Duration::from_millis(rng.u64(5..50))).await;
        }
    }

    /// Sends requests on one connection until it ends.
    async fn use_up(&self, mut connection: Kept, balancer: u8, client: u32, rng: &mut Rng) {
        while Instant::now() < self.until {
            let id = format!("kept-{client}-{:x}", rng.u64(..));
            let (sent_at, timeout_before) = (Instant::now(), self.longest_timeout(balancer));
            let path = if rng.u32(..SLOW_EVERY) == 0 { "/slow/x" } else { "/v/1/x" };
            let answered = timeout(ANSWER_WITHIN, connection.ask(&request(path, &id))).await;
            match answered {
                Ok(Ok(answer)) => {
                    // It may have reached a version that was sent while it was on its way.
                    let timeout = timeout_before.max(self.longest_timeout(balancer));
                    self.check_late(balancer, &id, sent_at.elapsed(), timeout);
                    self.check_answer(balancer, &id, &answer);
                    if answer.header("connection").is_some_and(|value| value == "close") {
                        return;
                    }
                }
                Ok(Err(_)) => return self.check_lost(balancer, &id, sent_at),
                Err(_) => return self.check_late(balancer, &id, ANSWER_WITHIN, ANSWER_WITHIN - LATE),
            }
            sleep(Duration::from_millis(rng.u64(1..60))).await;
        }
    }

    /// A success belongs to the request that it answers.
    fn check_answer(&self, balancer: u8, id: &str, answer: &Answer) {
        let mut account = self.account.borrow_mut();
        if answer.status != 200 {
            return account.count("kept not served");
        }
        account.count("kept served");
        let (whose, stamp) = (answer.header("x-try-id"), answer.header("x-postmark"));
        if whose != Some(id) || !stamp.is_some_and(|stamp| stamp.starts_with(id)) {
            account.violate(format!("balancer {balancer} answered {id} with {whose:?}, {stamp:?}"));
        }
    }

    /// Whatever becomes of upstreams and other balancers, a request is answered within its route's timeout.
    fn check_late(&self, balancer: u8, id: &str, took: Duration, timeout: Duration) {
        let sent_at = Instant::now() - took;
        let stalled = self.stalls.of_runtime_since(sent_at.into_std());
        if took.saturating_sub(stalled) < timeout + LATE {
            return;
        }
        let node = &self.fleet.balancers[usize::from(balancer) - 1];
        let mut account = self.account.borrow_mut();
        account.count("kept without an answer in time");
        if node.is_free_of_unplanned_for(CONTACT + took) {
            let slowest = account.slowest_probe_since(balancer, sent_at);
            let disk = self.stalls.of_disk_since(sent_at.into_std());
            account.violate(format!(
                "balancer {balancer} has not answered {id} for {took:?} of {timeout:?}; meanwhile the soak stood still for \
                 {stalled:?}, the disk for {disk:?}, and the slowest probe took {slowest:?}"
            ));
        }
    }

    /// Whatever else is planned, a request that was read is answered before its connection ends.
    fn check_lost(&self, balancer: u8, id: &str, sent_at: Instant) {
        let node = &self.fleet.balancers[usize::from(balancer) - 1];
        let open = sent_at.elapsed();
        let mut account = self.account.borrow_mut();
        account.count("kept connections ended");
        if open > LOST_SLACK && node.is_free_of_unplanned_for(CONTACT + open) {
            account.violate(format!("balancer {balancer} left {id} without an answer after {open:?}"));
        }
    }
}

fn request(path: &str, id: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: shop.example\r\nX-Try-Id: {id}\r\nX-Time-Left: 9000\r\n\r\n")
}
