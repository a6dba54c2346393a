//! The way to this machine's upstream, without I/O: how many requests are with it, who waits, and who is turned away
//! before the upstream is touched. Only requests that pass here reach it, so that what is counted here is all there is.

use std::collections::BTreeMap;

/// Microseconds.
pub type Micros = u64;

/// Weight of the newest figure in the mean.
const NEWEST: f64 = 0.05;
/// Most requests that wait, for each slot.
const MOST_WAITING: usize = 16;
/// Most kinds of requests whose means are kept apart; those beyond share the last.
const MOST_KINDS: usize = 32;
/// So long before its sender stops waiting, a request that waits is turned away: the word must be there in time.
const WORD: Micros = 20_000;
/// Part of the longest mean under which a kind of request is short.
const SHORT: f64 = 0.4;
/// Weight of the newest outcome in the part of late requests that are let through in the end.
const NEWEST_LATE: f64 = 0.1;
/// Under this part late requests are turned away at once, but for one that shows whether there is room for them again.
const LEAST_LATE: f64 = 0.5;
/// Part of the mean that is left to a request at the least when it is let through.
const LEAST_LEFT: f64 = 1.3;

/// What becomes of a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It goes on.
    Go,
    /// It waits under this number until [`AdmissionQueue::complete`] or [`AdmissionQueue::expire`] names it.
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

/// A request as it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Requests of one kind take about as long: what its route says of it.
    pub kind: u64,
    /// What its route says of its urgency; 0 is the highest.
    pub priority: u8,
    /// How long until its aim.
    pub time_to_target: Micros,
    /// How long its sender waits.
    pub time_left: Micros,
    /// How long it may wait here.
    pub max_wait: Micros,
    /// How long its answer will wait for the link; zero for a short one.
    pub link_wait: Micros,
    /// How long its answer then takes on the link; zero for a short one.
    pub link_time: Micros,
}

impl Arrival {
    /// How long its answer is on its way.
    fn on_link(&self) -> Micros {
        self.link_wait.saturating_add(self.link_time)
    }
}

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiting {
    kind: usize,
    /// When it must be let through to be in time for its aim.
    aim: Micros,
    /// When it is turned away.
    last: Micros,
}

/// Where a request stands in the queue: the fields are compared one after the other, and the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    /// Those in time for their aims go before those that are late.
    late: bool,
    /// The more urgent goes first.
    rank: u8,
    /// What is short beside the others goes before them: whoever waits for it holds a place elsewhere.
    long: bool,
    /// When it must go.
    by: Micros,
    /// Its number, in the order of arrival.
    number: u64,
}

/// The gate.
#[derive(Debug)]
pub struct AdmissionQueue {
    state: State,
    slots: usize,
    in_flight: usize,
    next: u64,
    queue: BTreeMap<Place, Waiting>,
    /// Kinds and their mean time with the upstream.
    kinds: Vec<(u64, f64)>,
    /// Part of the late requests that are let through, of late.
    late_through: f64,
}

impl Default for AdmissionQueue {
    fn default() -> AdmissionQueue {
        AdmissionQueue {
            state: State::Absent,
            slots: 1,
            in_flight: 0,
            next: 0,
            queue: BTreeMap::new(),
            kinds: Vec::new(),
            late_through: 1.0,
        }
    }
}

impl AdmissionQueue {
    /// The upstream is so from now on, and works on so many requests at once.
    pub fn set_upstream(&mut self, state: State, slots: usize) {
        self.state = state;
        self.slots = slots.max(1);
    }

    /// Nothing that waits now is let through after this moment: an upstream that closes gets nothing late.
    pub fn close_by(&mut self, moment: Micros) {
        self.queue.values_mut().for_each(|w| w.last = w.last.min(moment));
    }

    /// How the upstream is.
    pub fn state(&self) -> State {
        self.state
    }

    /// Requests that are with the upstream.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Neither.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.queue.is_empty()
    }

    /// The number of a kind.
    fn kind(&mut self, kind: u64) -> usize {
        match self.kinds.iter().position(|(k, _)| *k == kind) {
            Some(at) => at,
            None if self.kinds.len() < MOST_KINDS => {
                self.kinds.push((kind, 0.0));
                self.kinds.len() - 1
            }
            None => MOST_KINDS - 1,
        }
    }

    fn mean(&self, kind: usize) -> f64 {
        self.kinds.get(kind).map_or(0.0, |(_, mean)| *mean)
    }

    fn longest(&self) -> f64 {
        self.kinds.iter().map(|(_, mean)| *mean).fold(0.0, f64::max)
    }

    /// It is not short beside the others.
    fn is_long(&self, kind: usize) -> bool {
        self.mean(kind) > SHORT * self.longest()
    }

    fn has_room(&self) -> bool {
        self.in_flight < self.slots
    }

    /// About how long until a request is let through that has so much work before it.
    fn wait(&self, work: f64) -> f64 {
        // One of those at work ends after its part of a mean; all means are taken for alike there.
        (work + 0.5 * self.longest()) / self.slots as f64
    }

    /// A request arrives.
    pub fn arrive(&mut self, now: Micros, arrival: Arrival) -> Verdict {
        if self.state != State::Open {
            return Verdict::Closed;
        }
        let (kind, rank) = (self.kind(arrival.kind), arrival.priority);
        let mean = self.mean(kind);
        let on_link = arrival.on_link();
        // An answer that the link would carry too late takes it from those that are in time: one without a chance is
        // worked on only where next to nothing waits for the link.
        let too_late =
            mean as Micros + on_link > arrival.time_to_target && arrival.link_wait > arrival.link_time;
        if too_late || on_link > arrival.time_left {
            return Verdict::Full(arrival.link_wait.max(1_000));
        }
        if self.queue.is_empty() && self.has_room() {
            self.in_flight += 1;
            return Verdict::Go;
        }
        let long = self.is_long(kind);
        let aim = now + arrival.time_to_target.saturating_sub(mean as Micros + on_link);
        let in_time = Place { late: false, rank, long, by: aim, number: u64::MAX };
        let wait_in_time = self.wait(self.ahead(in_time));
        // Whoever is late for its aim waits behind all that are not; but what is short beside the others delays nobody.
        let late = long && wait_in_time + mean + on_link as f64 > arrival.time_to_target as f64;
        let behind = Place { late: true, by: now + arrival.time_left, ..in_time };
        let wait = if late { self.wait(self.ahead(behind)) } else { wait_in_time };
        let needed = WORD.max((mean * LEAST_LEFT) as Micros) + on_link;
        let last = arrival.time_left.saturating_sub(needed).min(arrival.max_wait);
        // What comes in time takes all places for now: a late one would wait in vain.
        let in_vain = late && self.late_through < LEAST_LATE && self.queue.keys().any(|place| place.late);
        if in_vain || wait > last as f64 || last == 0 || self.queue.len() >= MOST_WAITING * self.slots {
            return Verdict::Full((wait as Micros).max(1_000));
        }
        let number = self.next;
        self.next += 1;
        let waiting = Waiting { kind, aim, last: now + last };
        let by = if late { waiting.last } else { aim };
        self.queue.insert(Place { late, rank, long, by, number }, waiting);
        Verdict::Wait(number)
    }

    /// The work of all that go before a place.
    fn ahead(&self, place: Place) -> f64 {
        self.queue.range(..place).map(|(_, w)| self.mean(w.kind)).sum()
    }

    /// A request of this kind that was let through is over; it took so long, where that tells something. Those named go on
    /// now.
    pub fn complete(&mut self, now: Micros, kind: u64, took: Option<Micros>) -> Vec<u64> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            let kind = self.kind(kind);
            let mean = &mut self.kinds[kind].1;
            *mean = if *mean == 0.0 { took as f64 } else { *mean + NEWEST * (took as f64 - *mean) };
        }
        self.fill(now)
    }

    /// Those that go on now.
    pub fn fill(&mut self, now: Micros) -> Vec<u64> {
        let mut go = Vec::new();
        while self.has_room() && self.state != State::Absent {
            let Some(place) = self.queue.keys().next().copied() else { break };
            let Some(waiting) = self.queue.remove(&place) else { break };
            if !place.late && waiting.aim < now && self.is_long(waiting.kind) {
                // Too late for its aim by now: behind those that are not.
                self.queue.insert(Place { late: true, by: waiting.last, ..place }, waiting);
                continue;
            }
            if waiting.last <= now {
                // Told by expire.
                self.queue.insert(place, waiting);
                break;
            }
            self.in_flight += 1;
            self.learn_late(place, true);
            go.push(place.number);
        }
        go
    }

    /// Takes out those that can't be served in time any more, or at all, and names them.
    pub fn expire(&mut self, now: Micros) -> Vec<u64> {
        let gone = self.state == State::Absent;
        let late = |w: &Waiting| gone || w.last <= now;
        let places: Vec<Place> = self.queue.iter().filter(|(_, w)| late(w)).map(|(key, _)| *key).collect();
        self.queue.retain(|_, w| !late(w));
        places.iter().for_each(|place| self.learn_late(*place, false));
        places.into_iter().map(|place| place.number).collect()
    }

    /// A request that stood here was let through, or waited in vain.
    fn learn_late(&mut self, place: Place, through: bool) {
        if place.late {
            self.late_through += NEWEST_LATE * (f64::from(u8::from(through)) - self.late_through);
        }
    }

    /// Whoever waited under this number has left.
    pub fn forget(&mut self, number: u64) {
        let place = self.queue.keys().find(|place| place.number == number).copied();
        place.and_then(|place| self.queue.remove(&place));
    }

    /// When the first of those that wait is to be turned away.
    pub fn due(&self) -> Option<Micros> {
        self.queue.values().map(|w| w.last).min()
    }
}
