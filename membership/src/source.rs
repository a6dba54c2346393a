//! A source of membership: a machine that decides, without I/O, and a line that carries its calls.

use finchshift::Micros;

use crate::view::{Health, News};

/// Decides what is asked when, and what the answers mean.
pub trait Machine {
    /// A call to make.
    type Ask;
    /// What came back.
    type Told;

    /// The next call to make.
    fn ask(&mut self) -> Option<Self::Ask>;
    /// The next piece of news.
    fn news(&mut self) -> Option<News>;
    /// How it stands.
    fn health(&self) -> &Health;
    /// A problem with an entry that was not told before.
    fn problem(&mut self) -> Option<String>;
    /// When [`tick`](Machine::tick) has something to do.
    fn due(&self) -> Micros;
    /// Lets time pass.
    fn tick(&mut self, now: Micros);
    /// Takes what came back.
    fn told(&mut self, now: Micros, told: Self::Told);
}

/// Makes the calls.
pub trait Line {
    /// A call to make.
    type Ask;
    /// What came back.
    type Told;

    /// Begins a call, or ends one.
    fn make(&mut self, ask: Self::Ask);
    /// The next that comes back, of any call.
    fn next(&mut self) -> impl Future<Output = Self::Told>;
}
