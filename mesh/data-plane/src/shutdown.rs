//! When the steps of a shutdown follow the order to stop.

use std::time::Duration;

/// How long clients still send requests after the process receives SIGTERM: they check readiness once per second and leave
/// after two failed checks.
pub const CLIENT_LEAVE_TIME: Duration = Duration::from_millis(2600);
/// Maximum time between the end of the process and the end of the grace period, when it is killed.
const MAX_KILL_MARGIN: Duration = Duration::from_millis(400);
/// Upper bound for [`MAX_KILL_MARGIN`] as a share of the grace period.
const KILL_MARGIN_SHARE: f64 = 1.0 / 15.0;
/// Maximum time for the responses to requests that are still open at the end. It has to cover a processor that is taken
/// away for a tenth of a second.
const MAX_LAST_RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Upper bound for [`MAX_LAST_RESPONSE_TIME`] as a share of the grace period. Together with the kill margin it stays below
/// a sixth: until then, an upstream that is still processing a request must be waited for.
const LAST_RESPONSE_SHARE: f64 = 1.0 / 20.0;

/// Times of a shutdown, counted from the order to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Until then, connections and requests of clients are accepted.
    pub accept_end: Duration,
    /// Then all requests that are still open are answered.
    pub requests_end: Duration,
    /// Then the process ends, even if a client has not read its response.
    pub process_end: Duration,
}

impl ShutdownSchedule {
    /// The schedule for a process that is killed this long after the order to stop.
    pub fn new(grace: Duration) -> ShutdownSchedule {
        let kill_margin = MAX_KILL_MARGIN.min(grace.mul_f64(KILL_MARGIN_SHARE));
        let last_response_time = MAX_LAST_RESPONSE_TIME.min(grace.mul_f64(LAST_RESPONSE_SHARE));
        let process_end = grace - kill_margin;
        let requests_end = process_end - last_response_time;
        ShutdownSchedule { accept_end: CLIENT_LEAVE_TIME.min(requests_end), requests_end, process_end }
    }
}
