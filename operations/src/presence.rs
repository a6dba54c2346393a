//! How a process meets its clients: from operators' orders, its successor and the order to stop to what its listener
//! and connections do at a time.

use std::time::{Duration, Instant};

/// Clients still come for so long after they find this process unready: two of the front's looks, its notice and a
/// margin. Answers that close their connection earlier would send them back here.
const STILL_COMING: Duration = Duration::from_millis(500);
/// Idle connections are closed so long after the order: those in use have met an answer that closes by then. Under
/// the 2 s after which a connection may carry nothing new.
const IDLE_LEFT: Duration = Duration::from_millis(1200);

/// What holds at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Posture {
    /// Says that it is ready.
    pub ready: bool,
    /// Takes new connections.
    pub accepts: bool,
    /// Answers close their connection.
    pub answers_close: bool,
    /// Connections that carry nothing are closed.
    pub idle_close: bool,
}

impl Default for Posture {
    fn default() -> Posture {
        Posture { ready: true, accepts: true, answers_close: false, idle_close: false }
    }
}

/// What has happened to the process.
#[derive(Clone, Debug, Default)]
pub struct Presence {
    standby: Option<Instant>,
    /// Another process takes the connections.
    succeeded: bool,
    stopping: bool,
}

impl Presence {
    /// Clients are to be sent away, or not.
    pub fn standby(&mut self, now: Instant, on: bool) {
        // A repeated order is not a later one.
        self.standby = on.then(|| self.standby.unwrap_or(now));
    }

    /// Another process takes connections from the same address, or has gone.
    pub fn succeeded(&mut self, by: bool) {
        self.succeeded = by;
    }

    /// The order to stop.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Another process takes the connections.
    pub fn is_succeeded(&self) -> bool {
        self.succeeded
    }

    /// What holds now.
    pub fn posture(&self, now: Instant) -> Posture {
        let left = |span: Duration| self.standby.is_some_and(|at| now >= at + span);
        // With a successor the address goes on serving: whoever asks here is told so, and comes to it next.
        let handed_over = self.stopping && self.succeeded;
        Posture {
            ready: self.standby.is_none() && (!self.stopping || handed_over),
            accepts: !self.succeeded,
            answers_close: handed_over || left(STILL_COMING),
            idle_close: left(IDLE_LEFT),
        }
    }

    /// When the next change comes by itself.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let at = self.standby?;
        [STILL_COMING, IDLE_LEFT].into_iter().map(|span| at + span).find(|at| *at > now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NORMAL: Posture = Posture { ready: true, accepts: true, answers_close: false, idle_close: false };

    #[test]
    fn clients_are_sent_away_step_by_step_and_come_back_at_once() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut presence = Presence::default();
        assert_eq!((presence.posture(start), presence.next_change(start)), (NORMAL, None));
        presence.standby(start, true);
        assert_eq!(presence.posture(start), Posture { ready: false, ..NORMAL });
        assert_eq!(presence.next_change(start), Some(at(500)));
        // Said again, it does not begin anew.
        presence.standby(at(400), true);
        let closing = Posture { ready: false, answers_close: true, ..NORMAL };
        assert_eq!(presence.posture(at(500)), closing);
        assert_eq!(presence.next_change(at(500)), Some(at(1200)));
        assert_eq!(presence.posture(at(1200)), Posture { idle_close: true, ..closing });
        assert_eq!(presence.next_change(at(1200)), None);
        presence.standby(at(9000), false);
        assert_eq!((presence.posture(at(9000)), presence.next_change(at(9000))), (NORMAL, None));
    }

    #[test]
    fn a_successor_takes_the_connections_and_only_the_order_to_stop_sends_clients_there() {
        let now = Instant::now();
        let mut presence = Presence::default();
        presence.succeeded(true);
        assert_eq!(presence.posture(now), Posture { accepts: false, ..NORMAL });
        // It died: as before.
        presence.succeeded(false);
        assert_eq!(presence.posture(now), NORMAL);
        presence.succeeded(true);
        presence.stop();
        let handed = Posture { accepts: false, answers_close: true, ..NORMAL };
        assert_eq!(presence.posture(now), handed);
        // Clients are sent away from both.
        presence.standby(now, true);
        assert!(!presence.posture(now).ready);
        // Without one, a stop says so.
        let mut alone = Presence::default();
        alone.stop();
        assert_eq!(alone.posture(now), Posture { ready: false, ..NORMAL });
    }
}
