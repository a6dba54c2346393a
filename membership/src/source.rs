//! A source of membership: a protocol that decides, without I/O, and a transport that carries its calls.

use std::collections::VecDeque;

use finchshift::Micros;

use crate::view::{Health, Revision, Update, UpdateContent};

/// The output of a protocol that was not fetched yet.
#[derive(Debug)]
pub struct Outbox<C> {
    commands: VecDeque<C>,
    updates: VecDeque<Update>,
    /// State of the connection to the registry.
    pub health: Health,
    /// The newest problem with an entry, in one line.
    pub problem: Option<String>,
}

impl<C> Default for Outbox<C> {
    fn default() -> Outbox<C> {
        Outbox {
            commands: VecDeque::new(),
            updates: VecDeque::new(),
            health: Health::default(),
            problem: None,
        }
    }
}

impl<C> Outbox<C> {
    /// Counts a call and returns its number.
    pub fn call(&mut self) -> u64 {
        self.health.calls += 1;
        self.health.calls
    }

    /// Adds a command for the transport.
    pub fn push_command(&mut self, command: C) {
        self.commands.push_back(command);
    }

    /// Adds a whole view, or the changes since the previous update.
    pub fn push_update(&mut self, revision: Revision, content: UpdateContent) {
        self.updates.push_back(Update { revision, content });
    }

    /// Records that the source has confirmed the present view.
    pub fn confirmed(&mut self, now: Micros) {
        self.health.confirmed = Some(now);
        self.health.trouble = None;
    }

    /// Records that an entry could not be read.
    pub fn unreadable(&mut self, problem: String) {
        self.health.unreadable += 1;
        self.problem = Some(problem);
    }
}

/// The protocol of a registry: decides when which call is made, and what the replies mean.
pub trait SourceProtocol {
    /// A command to the transport.
    type Command;
    /// A reply from the transport.
    type Reply;

    /// The output that was not fetched yet.
    fn outbox(&mut self) -> &mut Outbox<Self::Command>;
    /// Sets how many members are accepted at most. Bounds what a protocol collects before it has a whole view.
    fn set_max_members(&mut self, max_members: usize) {
        let _ = max_members;
    }
    /// When [`tick`](SourceProtocol::tick) has something to do.
    fn due(&self) -> Micros;
    /// Executes what is due at `now`.
    fn tick(&mut self, now: Micros);
    /// Handles a reply.
    fn handle_reply(&mut self, now: Micros, reply: Self::Reply);

    /// Removes and returns the next command for the transport.
    fn next_command(&mut self) -> Option<Self::Command> {
        self.outbox().commands.pop_front()
    }
    /// Removes and returns the next update.
    fn next_update(&mut self) -> Option<Update> {
        self.outbox().updates.pop_front()
    }
    /// State of the connection to the registry.
    fn health(&mut self) -> &Health {
        &self.outbox().health
    }
    /// Removes and returns the newest problem with an entry.
    fn take_problem(&mut self) -> Option<String> {
        self.outbox().problem.take()
    }
}

/// Carries the calls of a protocol.
pub trait Transport {
    /// A command of the protocol.
    type Command;
    /// A reply to the protocol.
    type Reply;

    /// Starts a call, or cancels one.
    fn execute(&mut self, command: Self::Command);
    /// Waits for the next reply to any call.
    fn next_reply(&mut self) -> impl Future<Output = Self::Reply>;
}
