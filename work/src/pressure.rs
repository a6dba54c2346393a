//! Estimates when requests need the processor, from the event-loop lag: the time that one pass over all ready tasks takes,
//! which is what a new request waits before it is handled.

use finchshift::Micros;

/// Weight of the latest sample in the moving average of the lag.
const LAG_EMA_WEIGHT: f64 = 0.2;
/// Length of a window for the idle lag, which is the lowest lag of the current and the previous window. Longer than the
/// overloads during which background work must yield to requests.
const IDLE_WINDOW_US: Micros = 1_800_000_000;
/// A lag up to this many times the idle lag is not pressure: one pass contains a turn of work or a burst of requests.
const NORMAL_LAG_FACTOR: f64 = 4.0;
/// Lower bound of the idle lag; shorter lags are below the resolution of the clock.
const MIN_IDLE_LAG_US: f64 = 20.0;
/// Smallest share of its budget that background work keeps under pressure, so that it never stops completely.
pub const MIN_BUDGET_SHARE: f64 = 1.0 / 32.0;

/// Current and idle lag of an event loop.
#[derive(Clone, Debug, PartialEq)]
pub struct Pressure {
    /// Moving average of the lag, in microseconds.
    current_lag_us: f64,
    /// Lowest lag, in microseconds, of the current window and of the previous window.
    min_lag_us: [f64; 2],
    /// Start of the current window.
    window_start: Micros,
}

impl Default for Pressure {
    fn default() -> Pressure {
        Pressure { current_lag_us: 0.0, min_lag_us: [f64::INFINITY; 2], window_start: 0 }
    }
}

impl Pressure {
    /// Records that one pass of the event loop took `lag`, without a turn of background work.
    pub fn record_lag(&mut self, now: Micros, lag: Micros) {
        let lag = lag as f64;
        self.current_lag_us += LAG_EMA_WEIGHT * (lag - self.current_lag_us);
        if now >= self.window_start + IDLE_WINDOW_US {
            self.min_lag_us = [f64::INFINITY, self.min_lag_us[0]];
            self.window_start = now;
        }
        self.min_lag_us[0] = self.min_lag_us[0].min(lag);
    }

    /// The lag of the idle event loop, in microseconds.
    pub fn idle_lag(&self) -> f64 {
        let lowest = self.min_lag_us[0].min(self.min_lag_us[1]);
        if lowest.is_finite() { lowest.max(MIN_IDLE_LAG_US) } else { MIN_IDLE_LAG_US }
    }

    /// The share (0 to 1) of its budget that background work may use: 1 while the lag is within `NORMAL_LAG_FACTOR` times the
    /// idle lag; beyond that, inversely proportional to the lag.
    pub fn budget_share(&self) -> f64 {
        let normal_lag = NORMAL_LAG_FACTOR * self.idle_lag();
        if self.current_lag_us <= normal_lag {
            1.0
        } else {
            (normal_lag / self.current_lag_us).max(MIN_BUDGET_SHARE)
        }
    }

    /// Moving average of the lag, in microseconds.
    pub fn current_lag(&self) -> f64 {
        self.current_lag_us
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn budget_share_drops_under_pressure_and_recovers() {
        let mut pressure = Pressure::default();
        let mut now = 0;
        let mut run_passes = |pressure: &mut Pressure, lag: Micros, duration: Micros| {
            let end = now + duration;
            while now < end {
                now += lag.max(1_000);
                pressure.record_lag(now, lag);
            }
        };
        let second = 1_000_000;
        run_passes(&mut pressure, 50, second);
        assert_eq!(pressure.budget_share(), 1.0);
        // A single long pass is not pressure.
        run_passes(&mut pressure, 400, 1);
        assert_eq!(pressure.budget_share(), 1.0);
        run_passes(&mut pressure, 4_000, 600 * second);
        assert!(
            pressure.budget_share() < 0.1 && pressure.budget_share() >= MIN_BUDGET_SHARE,
            "{}",
            pressure.budget_share()
        );
        run_passes(&mut pressure, 100_000, 10 * second);
        assert_eq!(pressure.budget_share(), MIN_BUDGET_SHARE);
        run_passes(&mut pressure, 50, second);
        assert_eq!(pressure.budget_share(), 1.0);
        // A lag that is never lower for an hour becomes the idle lag.
        run_passes(&mut pressure, 4_000, 3_700 * second);
        assert_eq!(pressure.budget_share(), 1.0);
    }
}
