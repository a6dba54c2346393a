//! The module's time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use finchshift::Micros;
use tokio::time::Instant;

/// The module's clock: Unix time at the start and monotonic from there, since lists tell Unix times.
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}

impl Clock {
    /// Starts now.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The same point on the runtime's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}
