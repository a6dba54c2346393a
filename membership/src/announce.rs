//! Announces this instance at etcd: an entry with a lease. No I/O, time as an argument.
//!
//! The entry is written when the daemon is ready, its lease is renewed, the entry is written again if the lease was lost, and
//! changed to `draining` before the daemon stops accepting requests. Then the lease is revoked. While the lease is valid,
//! nothing is written again, so that readers see no change when the registry was unreachable for a while.

pub mod transport;

use std::collections::VecDeque;

use finchshift::Micros;

use crate::backoff::Backoff;
use crate::entry;
use crate::view::{MemberStatus, Node};

/// How often a lease is renewed within its duration.
const KEEP_ALIVES_PER_LEASE: u64 = 3;

/// While a lease is valid, a pause between attempts is at least the duration of the lease divided by this.
const MIN_PAUSE_DIVISOR: u64 = 20;

/// Settings of the announcer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Prefix of all keys; ends with a slash.
    pub prefix: String,
    /// The announced node.
    pub node: Node,
    /// Duration of the lease: how long the entry remains if it is not renewed.
    pub lease: Micros,
    /// Number of etcd endpoints.
    pub endpoints: usize,
    /// Number of instances that announce themselves.
    pub instances: u32,
    /// Calls per second that all instances together may make after a failure.
    pub fleet_call_rate: f64,
    /// Time limit of a call.
    pub response_timeout: Micros,
}

/// A command to the transport.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Command {
    /// Creates a lease with this duration.
    Grant { call: u64, endpoint: usize, seconds: i64 },
    /// Writes the entry with a lease.
    Put { call: u64, endpoint: usize, key: Vec<u8>, value: Vec<u8>, lease: i64 },
    /// Renews the lease.
    KeepAlive { call: u64, endpoint: usize, lease: i64 },
    /// Revokes the lease, which deletes the entry.
    Revoke { call: u64, endpoint: usize, lease: i64 },
    /// Nothing of this call is desired any more.
    Leave { call: u64 },
}

/// A reply from the transport.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "fields are named by their variant and their call")]
pub enum Reply {
    /// The lease was created.
    Granted { call: u64, lease: i64 },
    /// The remaining duration of the lease in seconds; 0 or less if it has ended.
    Alive { call: u64, seconds: i64 },
    /// The entry was written, or the lease was revoked.
    Done { call: u64 },
    /// The call failed.
    Failed { call: u64, why: String },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Operation {
    Grant,
    Put,
    KeepAlive,
    Revoke,
}

/// The state to announce.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DesiredState {
    /// Nothing is announced yet.
    Nothing,
    /// The daemon accepts requests.
    Serving,
    /// The daemon will stop accepting requests as soon as this is written.
    Draining,
    /// The entry is deleted. No other state follows.
    Gone,
}

/// Announces one instance.
pub struct Announcer {
    settings: Settings,
    desired: DesiredState,
    /// The state that was last written with the present lease.
    written: Option<DesiredState>,
    lease: Option<i64>,
    /// When the lease ends, counted from the time at which it was last requested or renewed.
    lease_valid_until: Micros,
    running_call: Option<(Operation, u64, Micros)>,
    /// The state that the running put writes.
    writing: DesiredState,
    called_at: Micros,
    next_call_at: Micros,
    endpoint: usize,
    calls: u64,
    commands: VecDeque<Command>,
    backoff: Backoff,
    rng: fastrand::Rng,
    trouble: Option<String>,
}

impl Announcer {
    /// Creates an announcer that announces nothing yet.
    pub fn new(now: Micros, settings: Settings, seed: u64) -> Announcer {
        let mut rng = fastrand::Rng::with_seed(seed);
        Announcer {
            desired: DesiredState::Nothing,
            written: None,
            lease: None,
            lease_valid_until: 0,
            running_call: None,
            writing: DesiredState::Nothing,
            called_at: now,
            next_call_at: now,
            endpoint: rng.usize(..settings.endpoints.max(1)),
            calls: 0,
            commands: VecDeque::new(),
            backoff: Backoff::new(settings.instances, settings.fleet_call_rate),
            rng,
            trouble: None,
            settings,
        }
    }

    /// Sets the state to announce from now on. It is announced at once, without waiting for the end of a pause.
    pub fn set_desired(&mut self, now: Micros, desired: DesiredState) {
        // The end is final.
        if self.desired == desired || self.desired == DesiredState::Gone {
            return;
        }
        self.desired = desired;
        if self.running_call.is_none() {
            self.next_call_at = now;
            self.tick(now);
        }
    }

    /// Returns whether the registry has the desired state. A state without an entry is reached when there is no lease.
    pub fn is_current(&self) -> bool {
        match self.desired {
            DesiredState::Nothing | DesiredState::Gone => self.lease.is_none(),
            DesiredState::Draining if self.lease.is_none() => true,
            desired => self.written == Some(desired),
        }
    }

    /// Removes and returns the newest failure, in one line.
    pub fn trouble(&mut self) -> Option<String> {
        self.trouble.take()
    }

    /// Removes and returns the next command for the transport.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// When [`tick`](Announcer::tick) has something to do.
    pub fn due(&self) -> Option<Micros> {
        match self.running_call {
            Some((_, _, until)) => Some(until),
            None => self.operation().map(|_| self.next_call_at),
        }
    }

    fn operation(&self) -> Option<Operation> {
        match (self.desired, self.lease) {
            (DesiredState::Nothing, None) | (DesiredState::Gone, None) => None,
            (DesiredState::Nothing | DesiredState::Gone, Some(_)) => Some(Operation::Revoke),
            // An instance that is not announced needs no drain.
            (DesiredState::Draining, None) => None,
            (DesiredState::Serving, None) => Some(Operation::Grant),
            (desired, Some(_)) if self.written != Some(desired) => Some(Operation::Put),
            (_, Some(_)) => Some(Operation::KeepAlive),
        }
    }

    /// Executes what is due at `now`.
    pub fn tick(&mut self, now: Micros) {
        if let Some((_, call, until)) = self.running_call {
            if until <= now {
                self.commands.push_back(Command::Leave { call });
                self.failed(now, "no answer in time".to_owned());
            }
            return;
        }
        let Some(operation) = self.operation().filter(|_| self.next_call_at <= now) else { return };
        self.calls += 1;
        let (call, endpoint, lease) = (self.calls, self.endpoint, self.lease.unwrap_or(0));
        self.commands.push_back(match operation {
            Operation::Grant => {
                let seconds = self.settings.lease.div_ceil(1_000_000).max(1) as i64;
                Command::Grant { call, endpoint, seconds }
            }
            Operation::Put => {
                self.writing = self.desired;
                let draining = self.desired == DesiredState::Draining;
                let status = if draining { MemberStatus::Draining } else { MemberStatus::Serving };
                let key =
                    format!("{}nodes/{}", self.settings.prefix, self.settings.node.identity).into_bytes();
                Command::Put { call, endpoint, key, value: entry::write(&self.settings.node, status), lease }
            }
            Operation::KeepAlive => Command::KeepAlive { call, endpoint, lease },
            Operation::Revoke => Command::Revoke { call, endpoint, lease },
        });
        self.called_at = now;
        self.running_call = Some((operation, call, now + self.settings.response_timeout));
    }

    fn failed(&mut self, now: Micros, why: String) {
        self.trouble = Some(why);
        self.running_call = None;
        self.endpoint = (self.endpoint + 1) % self.settings.endpoints.max(1);
        let pause = self.backoff.pause(&mut self.rng);
        // The next attempt comes before the lease ends.
        let left = self.lease_valid_until.saturating_sub(now);
        // The pauses do not become arbitrarily short near the end of the lease.
        let least = self.settings.lease / MIN_PAUSE_DIVISOR;
        self.next_call_at = now + if left > 0 { pause.min((left / 2).max(least)) } else { pause };
        if self.desired == DesiredState::Gone {
            // The lease expires.
            self.lease = None;
        }
    }

    fn lost(&mut self, now: Micros) {
        (self.lease, self.written) = (None, None);
        // With a pause, because the leases of all instances expired while the registry was unreachable. It is reachable
        // again, so the pause is drawn from the first ceiling.
        self.backoff.reset();
        self.next_call_at = now + self.backoff.pause(&mut self.rng);
    }

    /// Handles a reply. A reply to any other call than the running one is ignored.
    pub fn handle_reply(&mut self, now: Micros, reply: Reply) {
        let Some((operation, running_call, _)) = self.running_call else { return };
        let call = match &reply {
            Reply::Granted { call, .. }
            | Reply::Alive { call, .. }
            | Reply::Done { call }
            | Reply::Failed { call, .. } => *call,
        };
        if call != running_call {
            return;
        }
        self.running_call = None;
        match (reply, operation) {
            (Reply::Failed { why, .. }, Operation::Put) if why.contains("lease not found") => {
                self.trouble = Some(why);
                return self.lost(now);
            }
            (Reply::Failed { why, .. }, _) => return self.failed(now, why),
            (Reply::Granted { lease, .. }, _) => {
                self.lease = Some(lease);
                self.lease_valid_until = self.called_at + self.settings.lease;
                self.next_call_at = now;
            }
            (Reply::Alive { seconds, .. }, _) if seconds <= 0 => return self.lost(now),
            (Reply::Alive { .. }, _) => {
                self.lease_valid_until = self.called_at + self.settings.lease;
                self.next_call_at = self.called_at + self.settings.lease / KEEP_ALIVES_PER_LEASE;
            }
            (Reply::Done { .. }, Operation::Revoke) => (self.lease, self.written) = (None, None),
            (Reply::Done { .. }, _) => {
                // The desired state may have changed meanwhile.
                self.written = Some(self.writing);
                // A put does not renew the lease.
                let renewed = self.lease_valid_until.saturating_sub(self.settings.lease);
                self.next_call_at = now.max(renewed + self.settings.lease / KEEP_ALIVES_PER_LEASE);
            }
        }
        self.backoff.reset();
        if self.operation().is_some_and(|operation| operation != Operation::KeepAlive) {
            self.next_call_at = now;
        }
        self.tick(now);
    }
}
