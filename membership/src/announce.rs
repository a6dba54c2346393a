//! Announcing oneself at etcd: an entry that hangs on a lease. No I/O, time as an argument.
//!
//! The entry is written when the daemon is ready, kept alive, written again where its lease was lost, and changed to
//! `draining` before the daemon stops taking requests; then the lease is revoked. A registry that goes away and comes back
//! finds the same entry with the same start: while the lease lives, nothing is written anew, so that readers see no change.

pub mod line;

use std::collections::VecDeque;

use finchshift::Micros;

use crate::backoff::Backoff;
use crate::entry;
use crate::view::{Node, Standing};

/// The lease is kept alive this many times in its life.
const TIMES: u64 = 3;

/// While a lease lives, a pause is no shorter than this part of its life.
const LEAST_PART: u64 = 20;

/// What is announced, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Ends with a slash.
    pub prefix: String,
    /// What is announced.
    pub node: Node,
    /// How long the entry outlives its writer.
    pub lease: Micros,
    /// How many endpoints there are.
    pub endpoints: usize,
    /// How many instances announce themselves there.
    pub instances: u32,
    /// Calls a second that they may make together after a failure.
    pub rate: f64,
    /// How long a call may take.
    pub answer: Micros,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Ask {
    /// A lease of so many seconds.
    Grant { call: u64, endpoint: usize, seconds: i64 },
    /// The entry, on a lease.
    Put { call: u64, endpoint: usize, key: Vec<u8>, value: Vec<u8>, lease: i64 },
    /// The lease's life begins anew.
    KeepAlive { call: u64, endpoint: usize, lease: i64 },
    /// The lease ends, and the entry with it.
    Revoke { call: u64, endpoint: usize, lease: i64 },
    /// Nothing of this call is wanted any more.
    Leave { call: u64 },
}

/// What came back.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Told {
    /// A lease.
    Granted { call: u64, lease: i64 },
    /// The lease lives so many seconds more; 0 or less where it is no more.
    Alive { call: u64, seconds: i64 },
    /// A put or a revocation is done.
    Done { call: u64 },
    /// The call failed.
    Failed { call: u64, why: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doing {
    Grant,
    Put,
    KeepAlive,
    Revoke,
}

/// How far the announcement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// Nothing is to be announced yet.
    Nothing,
    /// The daemon takes requests.
    Serving,
    /// It will stop taking them as soon as this is written.
    Draining,
    /// It has gone.
    Gone,
}

/// An announcement.
pub struct Announce {
    settings: Settings,
    wanted: Wanted,
    /// What the registry was last told, under the lease that is held.
    written: Option<Wanted>,
    lease: Option<i64>,
    /// The lease is believed to live until then: from the moment at which its last call was made.
    lives: Micros,
    under_way: Option<(Doing, u64, Micros)>,
    /// What the put under way says.
    writing: Wanted,
    made: Micros,
    next: Micros,
    endpoint: usize,
    calls: u64,
    asks: VecDeque<Ask>,
    backoff: Backoff,
    rng: fastrand::Rng,
    trouble: Option<String>,
}

impl Announce {
    /// Announces nothing yet.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Announce {
        let mut rng = fastrand::Rng::with_seed(seed);
        Announce {
            wanted: Wanted::Nothing,
            written: None,
            lease: None,
            lives: 0,
            under_way: None,
            writing: Wanted::Nothing,
            made: now,
            next: now,
            endpoint: rng.usize(..settings.endpoints.max(1)),
            calls: 0,
            asks: VecDeque::new(),
            backoff: Backoff::new(settings.instances, settings.rate),
            rng,
            trouble: None,
            settings,
        }
    }

    /// What is to be announced from now on. An order to drain or to go does not wait for a pause to end.
    pub fn want(&mut self, now: Micros, wanted: Wanted) {
        // One that has gone does not come back.
        if self.wanted == wanted || self.wanted == Wanted::Gone {
            return;
        }
        self.wanted = wanted;
        if self.under_way.is_none() {
            self.next = now;
            self.tick(now);
        }
    }

    /// What is wanted stands in the registry; nothing stands where nothing is to be announced.
    pub fn stands(&self) -> bool {
        match self.wanted {
            Wanted::Nothing | Wanted::Gone => self.lease.is_none(),
            Wanted::Draining if self.lease.is_none() => true,
            wanted => self.written == Some(wanted),
        }
    }

    /// What went wrong since the last call, in one line.
    pub fn trouble(&mut self) -> Option<String> {
        self.trouble.take()
    }

    /// The next call to make.
    pub fn ask(&mut self) -> Option<Ask> {
        self.asks.pop_front()
    }

    /// When [`tick`](Announce::tick) has something to do.
    pub fn due(&self) -> Option<Micros> {
        match self.under_way {
            Some((_, _, until)) => Some(until),
            None => self.doing().map(|_| self.next),
        }
    }

    fn doing(&self) -> Option<Doing> {
        match (self.wanted, self.lease) {
            (Wanted::Nothing, None) | (Wanted::Gone, None) => None,
            (Wanted::Nothing | Wanted::Gone, Some(_)) => Some(Doing::Revoke),
            // Whoever drains and is not announced has nothing to take back.
            (Wanted::Draining, None) => None,
            (Wanted::Serving, None) => Some(Doing::Grant),
            (wanted, Some(_)) if self.written != Some(wanted) => Some(Doing::Put),
            (_, Some(_)) => Some(Doing::KeepAlive),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Micros) {
        if let Some((_, call, until)) = self.under_way {
            if until <= now {
                self.asks.push_back(Ask::Leave { call });
                self.failed(now, "no answer in time".to_owned());
            }
            return;
        }
        let Some(doing) = self.doing().filter(|_| self.next <= now) else { return };
        self.calls += 1;
        let (call, endpoint, lease) = (self.calls, self.endpoint, self.lease.unwrap_or(0));
        self.asks.push_back(match doing {
            Doing::Grant => {
                let seconds = self.settings.lease.div_ceil(1_000_000).max(1) as i64;
                Ask::Grant { call, endpoint, seconds }
            }
            Doing::Put => {
                self.writing = self.wanted;
                let draining = self.wanted == Wanted::Draining;
                let standing = if draining { Standing::Draining } else { Standing::Serving };
                let key =
                    format!("{}nodes/{}", self.settings.prefix, self.settings.node.identity).into_bytes();
                Ask::Put { call, endpoint, key, value: entry::write(&self.settings.node, standing), lease }
            }
            Doing::KeepAlive => Ask::KeepAlive { call, endpoint, lease },
            Doing::Revoke => Ask::Revoke { call, endpoint, lease },
        });
        self.made = now;
        self.under_way = Some((doing, call, now + self.settings.answer));
    }

    fn failed(&mut self, now: Micros, why: String) {
        self.trouble = Some(why);
        self.under_way = None;
        self.endpoint = (self.endpoint + 1) % self.settings.endpoints.max(1);
        let pause = self.backoff.pause(&mut self.rng);
        // A lease that is about to run out is not lost to a pause: the next try comes while it lives.
        let left = self.lives.saturating_sub(now);
        // Nor is it tried faster and faster as its end comes near.
        let least = self.settings.lease / LEAST_PART;
        self.next = now + if left > 0 { pause.min((left / 2).max(least)) } else { pause };
        if self.wanted == Wanted::Gone {
            // The lease runs out by itself.
            self.lease = None;
        }
    }

    fn lost(&mut self, now: Micros) {
        (self.lease, self.written) = (None, None);
        // Not at once: every instance's lease ran out while the registry was away. It is there again: the first ceiling.
        self.backoff.reset();
        self.next = now + self.backoff.pause(&mut self.rng);
    }

    /// Takes what came back; what belongs to no call under way is passed over.
    pub fn told(&mut self, now: Micros, told: Told) {
        let Some((doing, under_way, _)) = self.under_way else { return };
        let call = match &told {
            Told::Granted { call, .. }
            | Told::Alive { call, .. }
            | Told::Done { call }
            | Told::Failed { call, .. } => *call,
        };
        if call != under_way {
            return;
        }
        self.under_way = None;
        match (told, doing) {
            (Told::Failed { why, .. }, Doing::Put) if why.contains("lease not found") => {
                self.trouble = Some(why);
                return self.lost(now);
            }
            (Told::Failed { why, .. }, _) => return self.failed(now, why),
            (Told::Granted { lease, .. }, _) => {
                self.lease = Some(lease);
                self.lives = self.made + self.settings.lease;
                self.next = now;
            }
            (Told::Alive { seconds, .. }, _) if seconds <= 0 => return self.lost(now),
            (Told::Alive { .. }, _) => {
                self.lives = self.made + self.settings.lease;
                self.next = self.made + self.settings.lease / TIMES;
            }
            (Told::Done { .. }, Doing::Revoke) => (self.lease, self.written) = (None, None),
            (Told::Done { .. }, _) => {
                // What is wanted may have changed while it was on its way.
                self.written = Some(self.writing);
                // A put does not lengthen the lease's life.
                let renewed = self.lives.saturating_sub(self.settings.lease);
                self.next = now.max(renewed + self.settings.lease / TIMES);
            }
        }
        self.backoff.reset();
        if self.doing().is_some_and(|doing| doing != Doing::KeepAlive) {
            self.next = now;
        }
        self.tick(now);
    }
}
