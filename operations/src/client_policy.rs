//! How a process treats its clients at a given time: derived from operators' orders, from whether a successor process serves,
//! and from the order to stop.

use std::time::{Duration, Instant};

/// How long clients still connect to this process after it reports itself as not ready: two readiness checks of the load
/// balancer in front, its reaction time and a margin. A response that closes its connection earlier would make the client
/// reconnect to this process.
const CLIENT_SWITCH_TIME: Duration = Duration::from_millis(500);
/// Time from the order until idle connections are closed. By then, connections in use have got a response that closes them.
/// Less than the 2 s after which a connection may carry no new request.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1200);

/// How clients are treated at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientPolicy {
    /// Whether the readiness check succeeds.
    pub ready: bool,
    /// Whether new connections are accepted.
    pub accepts: bool,
    /// Whether responses close their connection.
    pub answers_close: bool,
    /// Whether idle connections are closed.
    pub idle_close: bool,
}

impl Default for ClientPolicy {
    fn default() -> ClientPolicy {
        ClientPolicy { ready: true, accepts: true, answers_close: false, idle_close: false }
    }
}

/// The orders and events that determine the [`ClientPolicy`].
#[derive(Clone, Debug, Default)]
pub struct Lifecycle {
    standby_since: Option<Instant>,
    /// Whether another process accepts connections at the same address.
    has_successor: bool,
    stopping: bool,
}

impl Lifecycle {
    /// Turns standby on or off: in standby, clients are sent away.
    pub fn set_standby(&mut self, now: Instant, on: bool) {
        // A repeated order does not restart the time.
        self.standby_since = on.then(|| self.standby_since.unwrap_or(now));
    }

    /// Records whether another process accepts connections at the same address.
    pub fn set_successor(&mut self, present: bool) {
        self.has_successor = present;
    }

    /// Records the order to stop.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether another process accepts connections at the same address.
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// Returns the policy at the time `now`.
    pub fn client_policy(&self, now: Instant) -> ClientPolicy {
        let elapsed = |span: Duration| self.standby_since.is_some_and(|at| now >= at + span);
        // The successor serves at the same address, so a client that reconnects reaches it: this process stays ready.
        let handed_over = self.stopping && self.has_successor;
        ClientPolicy {
            ready: self.standby_since.is_none() && (!self.stopping || handed_over),
            accepts: !self.has_successor,
            answers_close: handed_over || elapsed(CLIENT_SWITCH_TIME),
            idle_close: elapsed(IDLE_CLOSE_DELAY),
        }
    }

    /// When the policy changes next without any further order or event.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let at = self.standby_since?;
        [CLIENT_SWITCH_TIME, IDLE_CLOSE_DELAY].into_iter().map(|span| at + span).find(|at| *at > now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NORMAL: ClientPolicy =
        ClientPolicy { ready: true, accepts: true, answers_close: false, idle_close: false };

    #[test]
    fn standby_sends_clients_away_in_steps_and_ends_at_once() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut lifecycle = Lifecycle::default();
        assert_eq!((lifecycle.client_policy(start), lifecycle.next_change(start)), (NORMAL, None));
        lifecycle.set_standby(start, true);
        assert_eq!(lifecycle.client_policy(start), ClientPolicy { ready: false, ..NORMAL });
        assert_eq!(lifecycle.next_change(start), Some(at(500)));
        // A repeated order does not restart the time.
        lifecycle.set_standby(at(400), true);
        let closing = ClientPolicy { ready: false, answers_close: true, ..NORMAL };
        assert_eq!(lifecycle.client_policy(at(500)), closing);
        assert_eq!(lifecycle.next_change(at(500)), Some(at(1200)));
        assert_eq!(lifecycle.client_policy(at(1200)), ClientPolicy { idle_close: true, ..closing });
        assert_eq!(lifecycle.next_change(at(1200)), None);
        lifecycle.set_standby(at(9000), false);
        assert_eq!((lifecycle.client_policy(at(9000)), lifecycle.next_change(at(9000))), (NORMAL, None));
    }

    #[test]
    fn a_successor_accepts_connections_and_only_the_order_to_stop_closes_those_open_here() {
        let now = Instant::now();
        let mut lifecycle = Lifecycle::default();
        lifecycle.set_successor(true);
        assert_eq!(lifecycle.client_policy(now), ClientPolicy { accepts: false, ..NORMAL });
        // The successor has ended.
        lifecycle.set_successor(false);
        assert_eq!(lifecycle.client_policy(now), NORMAL);
        lifecycle.set_successor(true);
        lifecycle.stop();
        let handed = ClientPolicy { accepts: false, answers_close: true, ..NORMAL };
        assert_eq!(lifecycle.client_policy(now), handed);
        // Clients are sent away from both.
        lifecycle.set_standby(now, true);
        assert!(!lifecycle.client_policy(now).ready);
        // Without a successor, a stopping process is not ready.
        let mut alone = Lifecycle::default();
        alone.stop();
        assert_eq!(alone.client_policy(now), ClientPolicy { ready: false, ..NORMAL });
    }
}
