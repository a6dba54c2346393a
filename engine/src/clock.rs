//! The clock of the engine.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use finchshift::Micros;
use tokio::time::Instant;

/// A monotonic clock that starts at the current Unix time, so that its values compare with the Unix times in lists.
pub struct Clock {
    /// Unix time when the clock was created, in microseconds.
    unix_start: Micros,
    /// The time on the runtime's clock when this clock was created.
    start: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn new() -> Clock {
        let unix_start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_start: unix_start.as_micros() as Micros, start: Instant::now() }
    }

    /// The current time in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to the runtime's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix_start))
    }
}
