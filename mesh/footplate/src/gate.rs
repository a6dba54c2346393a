//! The way to this machine's upstream, without I/O: how many requests are with it, who waits, and who is turned away
//! before the upstream is touched. Only requests that pass here reach it, so that what is counted here is all there is.

use std::collections::BTreeMap;

/// Microseconds.
pub type Micros = u64;

/// Requests that an upstream holds beyond those it works on: the next one is there when a slot frees.
const AHEAD: usize = 1;
/// Weight of the newest figure in the mean.
const NEWEST: f64 = 0.05;
/// Ranks that are told apart.
const RANKS: usize = 8;
/// Most requests that wait, for each slot.
const MOST_WAITING: usize = 64;

/// What becomes of a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on.
    Go,
    /// It waits under this number until [`Gate::leave`] or [`Gate::expire`] names it.
    Wait(u64),
    /// It is turned away; there may be room after so long.
    Full(Micros),
    /// The upstream takes nothing new.
    Closed,
}

/// The upstream as its balancer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing is known of it yet, or it is gone.
    Absent,
    /// It takes requests.
    Open,
    /// It finishes what it has.
    Closing,
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiting {
    deadline: Micros,
    rank: usize,
}

/// The gate.
#[derive(Debug)]
pub struct Gate {
    state: State,
    slots: usize,
    working: usize,
    next: u64,
    /// By rank and order of arrival.
    queue: BTreeMap<(usize, u64), Waiting>,
    /// Mean time with the upstream, by rank.
    mean: [f64; RANKS],
}

impl Default for Gate {
    fn default() -> Gate {
        Gate {
            state: State::Absent,
            slots: 1,
            working: 0,
            next: 0,
            queue: BTreeMap::new(),
            mean: [0.0; RANKS],
        }
    }
}

impl Gate {
    /// The upstream is so from now on, and works on so many requests at once. Its means are learned anew where it begins.
    pub fn set(&mut self, state: State, slots: usize) {
        self.state = state;
        self.slots = slots.max(1);
    }

    /// How the upstream is.
    pub fn state(&self) -> State {
        self.state
    }

    /// Requests that are with the upstream.
    pub fn working(&self) -> usize {
        self.working
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Neither.
    pub fn is_idle(&self) -> bool {
        self.working == 0 && self.queue.is_empty()
    }

    fn mean(&self, rank: usize) -> f64 {
        match self.mean[rank] {
            0.0 => self.mean.iter().copied().fold(0.0, f64::max),
            mean => mean,
        }
    }

    /// About how long a request of this rank would wait.
    fn wait(&self, rank: usize) -> Micros {
        let room = (self.slots + AHEAD).saturating_sub(self.working);
        let before = self.queue.range(..(rank + 1, 0));
        let work: f64 = before.clone().map(|(_, w)| self.mean(w.rank)).sum();
        if room > 0 && self.queue.is_empty() {
            return 0;
        }
        // Half of what is at work is done, and one of them ends first.
        let first = self.mean.iter().copied().fold(0.0, f64::max) / self.slots as f64;
        ((work + first) / self.slots as f64 + first / 2.0) as Micros
    }

    /// A request arrives that has so much time left.
    pub fn arrive(&mut self, now: Micros, rank: usize, time_left: Micros) -> Verdict {
        let rank = rank.min(RANKS - 1);
        if self.state != State::Open {
            return Verdict::Closed;
        }
        if self.queue.is_empty() && self.working < self.slots + AHEAD {
            self.working += 1;
            return Verdict::Go;
        }
        let wait = self.wait(rank);
        let needs = wait as f64 + self.mean(rank);
        if needs > time_left as f64 || self.queue.len() >= MOST_WAITING * self.slots {
            return Verdict::Full(wait.max(1_000));
        }
        let number = self.next;
        self.next += 1;
        let deadline = now + time_left.saturating_sub((self.mean(rank) / 2.0) as Micros);
        self.queue.insert((rank, number), Waiting { deadline, rank });
        Verdict::Wait(number)
    }

    /// A request that was let through is over; it took so long, where that tells something. Those named go on now.
    pub fn leave(&mut self, now: Micros, rank: usize, took: Option<Micros>) -> Vec<u64> {
        let rank = rank.min(RANKS - 1);
        self.working = self.working.saturating_sub(1);
        if let Some(took) = took {
            let mean = &mut self.mean[rank];
            *mean = if *mean == 0.0 { took as f64 } else { *mean + NEWEST * (took as f64 - *mean) };
        }
        self.fill(now)
    }

    /// Those that go on now.
    pub fn fill(&mut self, now: Micros) -> Vec<u64> {
        let mut go = Vec::new();
        while self.working < self.slots + AHEAD && self.state != State::Absent {
            let Some(((_, number), waiting)) = self.queue.pop_first() else { break };
            if waiting.deadline <= now {
                // Told by expire, which the caller asks right after.
                self.queue.insert((waiting.rank, number), waiting);
                break;
            }
            self.working += 1;
            go.push(number);
        }
        go
    }

    /// Takes out those that can't be served in time any more, or at all, and names them.
    pub fn expire(&mut self, now: Micros) -> Vec<u64> {
        let gone = self.state == State::Absent;
        let late = |w: &Waiting| gone || w.deadline <= now;
        let numbers: Vec<(usize, u64)> =
            self.queue.iter().filter(|(_, w)| late(w)).map(|(key, _)| *key).collect();
        self.queue.retain(|_, w| !late(w));
        numbers.into_iter().map(|(_, number)| number).collect()
    }

    /// Whoever waited under this number has left.
    pub fn forget(&mut self, number: u64) {
        self.queue.retain(|(_, n), _| *n != number);
    }

    /// When the first of those that wait is late.
    pub fn due(&self) -> Option<Micros> {
        self.queue.values().map(|w| w.deadline).min()
    }
}
