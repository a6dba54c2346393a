//! A source of membership: a machine that decides, without I/O, and a line that carries its calls.

use std::collections::VecDeque;

use finchshift::Micros;

use crate::view::{Body, Health, News, Revision};

/// What a machine has to say that was not fetched yet.
#[derive(Debug)]
pub struct Outbox<A> {
    asks: VecDeque<A>,
    news: VecDeque<News>,
    /// How the source stands.
    pub health: Health,
    /// A problem with an entry; the newest.
    pub problem: Option<String>,
}

impl<A> Default for Outbox<A> {
    fn default() -> Outbox<A> {
        Outbox { asks: VecDeque::new(), news: VecDeque::new(), health: Health::default(), problem: None }
    }
}

impl<A> Outbox<A> {
    /// The number of the next call, counted as made.
    pub fn call(&mut self) -> u64 {
        self.health.calls += 1;
        self.health.calls
    }

    /// Has a call made, or left.
    pub fn ask(&mut self, ask: A) {
        self.asks.push_back(ask);
    }

    /// Tells a view, or what has changed since the last.
    pub fn tell(&mut self, revision: Revision, body: Body) {
        self.news.push_back(News { revision, body });
    }

    /// The source has confirmed what is held.
    pub fn confirmed(&mut self, now: Micros) {
        self.health.confirmed = Some(now);
        self.health.trouble = None;
    }

    /// An entry could not be read.
    pub fn unreadable(&mut self, problem: String) {
        self.health.unreadable += 1;
        self.problem = Some(problem);
    }
}

/// Decides what is asked when, and what the answers mean.
pub trait Machine {
    /// A call to make.
    type Ask;
    /// What came back.
    type Told;

    /// What it has to say.
    fn outbox(&mut self) -> &mut Outbox<Self::Ask>;
    /// How many members are believed at most. Guards what a machine gathers before it can tell a view.
    fn bound(&mut self, most: usize) {
        let _ = most;
    }
    /// When [`tick`](Machine::tick) has something to do.
    fn due(&self) -> Micros;
    /// Lets time pass.
    fn tick(&mut self, now: Micros);
    /// Takes what came back.
    fn told(&mut self, now: Micros, told: Self::Told);

    /// The next call to make.
    fn ask(&mut self) -> Option<Self::Ask> {
        self.outbox().asks.pop_front()
    }
    /// The next piece of news.
    fn news(&mut self) -> Option<News> {
        self.outbox().news.pop_front()
    }
    /// How it stands.
    fn health(&mut self) -> &Health {
        &self.outbox().health
    }
    /// A problem with an entry that was not told before.
    fn problem(&mut self) -> Option<String> {
        self.outbox().problem.take()
    }
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
