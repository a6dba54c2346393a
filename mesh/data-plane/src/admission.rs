//! Admission control for this machine's upstream, without I/O: counts the requests at the upstream, queues further ones,
//! and rejects those that cannot be served in time. All requests to the upstream pass through here, so that the count of
//! requests in flight is complete.

use std::collections::BTreeMap;

/// A duration or a point in time, in microseconds.
pub type Micros = u64;

/// Weight of the newest sample in the moving averages of processing times.
const MEAN_UPDATE_WEIGHT: f64 = 0.05;
/// Maximum number of queued requests per slot of the upstream.
const MAX_QUEUED_PER_SLOT: usize = 16;
/// Maximum number of request kinds with a mean processing time of their own; all further kinds share the last one.
const MAX_KINDS: usize = 32;
/// A queued request is rejected at least this long before its sender stops waiting, so that the rejection arrives in time.
const REJECTION_LEAD_MICROS: Micros = 20_000;
/// A kind of requests is short if its mean processing time is at most this fraction of the longest mean.
const SHORT_KIND_RATIO: f64 = 0.4;
/// Weight of the newest outcome in the share of late requests that are admitted in the end.
const LATE_UPDATE_WEIGHT: f64 = 0.1;
/// If a smaller share of late requests is admitted, late requests are rejected on arrival, except for one that stays
/// queued to detect when there is room for them again.
const MIN_LATE_ADMISSION_SHARE: f64 = 0.5;
/// Time that a request must have left when it is admitted, as a multiple of the mean processing time of its kind.
const MIN_TIME_LEFT_RATIO: f64 = 1.3;

/// Decision on a request that has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is forwarded to the upstream now.
    Admit,
    /// The request is queued under this number until [`AdmissionQueue::complete`], [`AdmissionQueue::admit_queued`] or
    /// [`AdmissionQueue::expire`] returns the number.
    Queue(u64),
    /// The request is rejected; there may be room after this time.
    Reject(Micros),
    /// The request is rejected because the upstream accepts no new requests.
    Closed,
}

/// State of the upstream, as its balancer knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The upstream has not reported itself yet, or is gone.
    Absent,
    /// The upstream accepts requests.
    Open,
    /// The upstream finishes its requests and those that are queued, and accepts no new ones.
    Closing,
}

/// What admission control needs to know about a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Identifies requests of similar processing time; derived from the request's route.
    pub kind: u64,
    /// Priority of the request's route; 0 is the highest.
    pub priority: u8,
    /// Time until the latency target of the request.
    pub time_to_target: Micros,
    /// How much longer the sender waits for a response.
    pub time_left: Micros,
    /// Maximum time in the queue.
    pub max_wait: Micros,
    /// How long the response will wait for the link; zero for a short response.
    pub link_wait: Micros,
    /// How long the transmission of the response then takes; zero for a short response.
    pub link_time: Micros,
}

impl Arrival {
    /// Time from the end of processing until the response has left on the link.
    fn response_time(&self) -> Micros {
        self.link_wait.saturating_add(self.link_time)
    }
}

/// A request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct QueuedRequest {
    /// Index of the request's kind in `AdmissionQueue::kinds`.
    kind: usize,
    /// When the request must be admitted to meet its latency target.
    target_start: Micros,
    /// When the request is rejected if it has not been admitted.
    expires_at: Micros,
}

/// Position of a request in the queue. Positions are compared field by field, and the smallest is admitted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    /// Requests that can meet their latency targets are admitted before those that are late.
    late: bool,
    /// Requests with a smaller number are admitted first.
    priority: u8,
    /// Requests of a short kind are admitted before long ones: their senders hold a slot elsewhere while they wait.
    long: bool,
    /// When the request must be admitted.
    admit_by: Micros,
    /// Number of the request, in the order of arrival.
    number: u64,
}

/// Decides which requests go to this machine's upstream, in which order, and which are rejected.
#[derive(Debug)]
pub struct AdmissionQueue {
    /// State of the upstream.
    state: State,
    /// Number of requests that the upstream processes concurrently.
    slots: usize,
    /// Number of requests at the upstream.
    in_flight: usize,
    /// Number of the next request that is queued.
    next_number: u64,
    /// Queued requests in the order of admission.
    queue: BTreeMap<QueuePosition, QueuedRequest>,
    /// Request kinds with their mean processing times at the upstream, in microseconds.
    kinds: Vec<(u64, f64)>,
    /// Moving average of the share of late requests that are admitted.
    late_admission_share: f64,
}

impl Default for AdmissionQueue {
    fn default() -> AdmissionQueue {
        AdmissionQueue {
            state: State::Absent,
            slots: 1,
            in_flight: 0,
            next_number: 0,
            queue: BTreeMap::new(),
            kinds: Vec::new(),
            late_admission_share: 1.0,
        }
    }
}

impl AdmissionQueue {
    /// Sets the state of the upstream and the number of requests that it processes concurrently.
    pub fn set_upstream(&mut self, state: State, slots: usize) {
        self.state = state;
        self.slots = slots.max(1);
    }

    /// Lets all requests that are queued now expire at this time or earlier, so that a closing upstream receives no late
    /// requests.
    pub fn limit_expiry(&mut self, latest: Micros) {
        self.queue.values_mut().for_each(|r| r.expires_at = r.expires_at.min(latest));
    }

    /// State of the upstream.
    pub fn state(&self) -> State {
        self.state
    }

    /// Number of requests at the upstream.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Number of requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request is queued or at the upstream.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.queue.is_empty()
    }

    /// Index of a request kind in the list of kinds. Adds the kind while the list has room.
    fn kind_index(&mut self, kind: u64) -> usize {
        match self.kinds.iter().position(|(k, _)| *k == kind) {
            Some(at) => at,
            None if self.kinds.len() < MAX_KINDS => {
                self.kinds.push((kind, 0.0));
                self.kinds.len() - 1
            }
            None => MAX_KINDS - 1,
        }
    }

    /// Mean processing time of the kind with this index, in microseconds; zero while there is no sample.
    fn mean(&self, kind: usize) -> f64 {
        self.kinds.get(kind).map_or(0.0, |(_, mean)| *mean)
    }

    /// The longest mean processing time of all kinds, in microseconds.
    fn longest_mean(&self) -> f64 {
        self.kinds.iter().map(|(_, mean)| *mean).fold(0.0, f64::max)
    }

    /// Whether requests of a kind take long compared to the kind with the longest mean.
    fn is_long(&self, kind: usize) -> bool {
        self.mean(kind) > SHORT_KIND_RATIO * self.longest_mean()
    }

    /// Whether the upstream has a free slot.
    fn has_free_slot(&self) -> bool {
        self.in_flight < self.slots
    }

    /// Expected time until a request is admitted, given the total processing time of the requests ahead of it.
    fn expected_wait(&self, work_ahead: f64) -> f64 {
        // Each request in flight is assumed to need half of the longest mean to complete, whatever its kind.
        (work_ahead + 0.5 * self.longest_mean()) / self.slots as f64
    }

    /// Decides on a request that arrives at the time `now`.
    pub fn arrive(&mut self, now: Micros, arrival: Arrival) -> Verdict {
        if self.state != State::Open {
            return Verdict::Closed;
        }
        let (kind, priority) = (self.kind_index(arrival.kind), arrival.priority);
        let mean = self.mean(kind);
        let response_time = arrival.response_time();
        // A late response on the link delays responses that are in time. A request that will miss its target anyway is
        // therefore only admitted while hardly anything waits for the link.
        let too_late =
            mean as Micros + response_time > arrival.time_to_target && arrival.link_wait > arrival.link_time;
        if too_late || response_time > arrival.time_left {
            return Verdict::Reject(arrival.link_wait.max(1_000));
        }
        if self.queue.is_empty() && self.has_free_slot() {
            self.in_flight += 1;
            return Verdict::Admit;
        }
        let long = self.is_long(kind);
        let target_start = now + arrival.time_to_target.saturating_sub(mean as Micros + response_time);
        let in_time = QueuePosition { late: false, priority, long, admit_by: target_start, number: u64::MAX };
        let wait_in_time = self.expected_wait(self.work_ahead(in_time));
        // Requests that will miss their targets wait behind all others, except for short ones, which delay nobody.
        let late = long && wait_in_time + mean + response_time as f64 > arrival.time_to_target as f64;
        let behind = QueuePosition { late: true, admit_by: now + arrival.time_left, ..in_time };
        let wait = if late { self.expected_wait(self.work_ahead(behind)) } else { wait_in_time };
        let needed = REJECTION_LEAD_MICROS.max((mean * MIN_TIME_LEFT_RATIO) as Micros) + response_time;
        let wait_limit = arrival.time_left.saturating_sub(needed).min(arrival.max_wait);
        // While requests that are in time take all slots, a late request would only wait until it expires.
        let hopeless = late
            && self.late_admission_share < MIN_LATE_ADMISSION_SHARE
            && self.queue.keys().any(|position| position.late);
        if hopeless
            || wait > wait_limit as f64
            || wait_limit == 0
            || self.queue.len() >= MAX_QUEUED_PER_SLOT * self.slots
        {
            return Verdict::Reject((wait as Micros).max(1_000));
        }
        let number = self.next_number;
        self.next_number += 1;
        let request = QueuedRequest { kind, target_start, expires_at: now + wait_limit };
        let admit_by = if late { request.expires_at } else { target_start };
        self.queue.insert(QueuePosition { late, priority, long, admit_by, number }, request);
        Verdict::Queue(number)
    }

    /// Total mean processing time of all queued requests ahead of a position, in microseconds.
    fn work_ahead(&self, position: QueuePosition) -> f64 {
        self.queue.range(..position).map(|(_, r)| self.mean(r.kind)).sum()
    }

    /// Records that an admitted request of this kind has ended, with its processing time if that is representative. Returns
    /// the numbers of the queued requests that are admitted now.
    pub fn complete(&mut self, now: Micros, kind: u64, took: Option<Micros>) -> Vec<u64> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            let kind = self.kind_index(kind);
            let mean = &mut self.kinds[kind].1;
            *mean =
                if *mean == 0.0 { took as f64 } else { *mean + MEAN_UPDATE_WEIGHT * (took as f64 - *mean) };
        }
        self.admit_queued(now)
    }

    /// Admits queued requests while there are free slots, and returns their numbers.
    pub fn admit_queued(&mut self, now: Micros) -> Vec<u64> {
        let mut admitted = Vec::new();
        while self.has_free_slot() && self.state != State::Absent {
            let Some(position) = self.queue.keys().next().copied() else { break };
            let Some(request) = self.queue.remove(&position) else { break };
            if !position.late && request.target_start < now && self.is_long(request.kind) {
                // The request can no longer meet its target and moves behind those that can.
                self.queue
                    .insert(QueuePosition { late: true, admit_by: request.expires_at, ..position }, request);
                continue;
            }
            if request.expires_at <= now {
                // The next call of `expire` returns this request.
                self.queue.insert(position, request);
                break;
            }
            self.in_flight += 1;
            self.record_late_outcome(position, true);
            admitted.push(position.number);
        }
        admitted
    }

    /// Removes the queued requests that have expired, or all if the upstream is absent, and returns their numbers.
    pub fn expire(&mut self, now: Micros) -> Vec<u64> {
        let absent = self.state == State::Absent;
        let expired = |r: &QueuedRequest| absent || r.expires_at <= now;
        let positions: Vec<QueuePosition> =
            self.queue.iter().filter(|(_, r)| expired(r)).map(|(position, _)| *position).collect();
        self.queue.retain(|_, r| !expired(r));
        positions.iter().for_each(|position| self.record_late_outcome(*position, false));
        positions.into_iter().map(|position| position.number).collect()
    }

    /// Updates the share of late requests that are admitted, if the request at this position was late.
    fn record_late_outcome(&mut self, position: QueuePosition, admitted: bool) {
        if position.late {
            self.late_admission_share +=
                LATE_UPDATE_WEIGHT * (f64::from(u8::from(admitted)) - self.late_admission_share);
        }
    }

    /// Removes a queued request whose sender has disconnected.
    pub fn remove(&mut self, number: u64) {
        let position = self.queue.keys().find(|position| position.number == number).copied();
        position.and_then(|position| self.queue.remove(&position));
    }

    /// When the first of the queued requests expires; `None` while the queue is empty.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.queue.values().map(|r| r.expires_at).min()
    }
}
