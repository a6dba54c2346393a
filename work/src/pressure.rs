//! When requests need the processor: learned from how long the loop takes to come round, which is what a request waits
//! before anybody looks at it.

use finchshift::Micros;

/// How fast the present lag is learned, a lap.
const PRESENT: f64 = 0.2;
/// The quiet lag is the least of this span and the one before: longer than an overload that work must outwait.
const SPAN: Micros = 1_800_000_000;
/// A lag this many times the quiet one is none yet: a lap has a turn of work in it, or a burst of requests.
const USUAL: f64 = 4.0;
/// The least quiet lag, in microseconds: below that the clock's grain is what is measured.
const GRAIN: f64 = 20.0;
/// The least part that work keeps under pressure, so that it goes on at all.
pub const LEAST: f64 = 1.0 / 32.0;

/// The lag of a loop, as it is and as it is when there is little to do.
#[derive(Clone, Debug, PartialEq)]
pub struct Pressure {
    present: f64,
    /// The least lag of this span and of the one before.
    least: [f64; 2],
    /// When this span began.
    since: Micros,
}

impl Default for Pressure {
    fn default() -> Pressure {
        Pressure { present: 0.0, least: [f64::INFINITY; 2], since: 0 }
    }
}

impl Pressure {
    /// A lap took so long, without work of its own.
    pub fn lap(&mut self, now: Micros, lag: Micros) {
        let lag = lag as f64;
        self.present += PRESENT * (lag - self.present);
        if now >= self.since + SPAN {
            self.least = [f64::INFINITY, self.least[0]];
            self.since = now;
        }
        self.least[0] = self.least[0].min(lag);
    }

    /// The lag when there is little to do, in microseconds.
    pub fn quiet(&self) -> f64 {
        let least = self.least[0].min(self.least[1]);
        if least.is_finite() { least.max(GRAIN) } else { GRAIN }
    }

    /// The part of its budget that work may use: all of it while the lag is usual, and less in proportion beyond.
    pub fn budget_share(&self) -> f64 {
        let usual = USUAL * self.quiet();
        if self.present <= usual { 1.0 } else { (usual / self.present).max(LEAST) }
    }

    /// The lag as it is, in microseconds.
    pub fn current_lag(&self) -> f64 {
        self.present
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn work_gives_way_under_pressure_and_comes_back_after_it() {
        let mut pressure = Pressure::default();
        let mut now = 0;
        let mut laps = |pressure: &mut Pressure, lag: Micros, span: Micros| {
            let end = now + span;
            while now < end {
                now += lag.max(1_000);
                pressure.lap(now, lag);
            }
        };
        let second = 1_000_000;
        laps(&mut pressure, 50, second);
        assert_eq!(pressure.budget_share(), 1.0);
        // One long lap is no pressure yet.
        laps(&mut pressure, 400, 1);
        assert_eq!(pressure.budget_share(), 1.0);
        laps(&mut pressure, 4_000, 600 * second);
        assert!(
            pressure.budget_share() < 0.1 && pressure.budget_share() >= LEAST,
            "{}",
            pressure.budget_share()
        );
        laps(&mut pressure, 100_000, 10 * second);
        assert_eq!(pressure.budget_share(), LEAST);
        laps(&mut pressure, 50, second);
        assert_eq!(pressure.budget_share(), 1.0);
        // Where it never is quieter for an hour, that is what quiet is.
        laps(&mut pressure, 4_000, 3_700 * second);
        assert_eq!(pressure.budget_share(), 1.0);
    }
}
