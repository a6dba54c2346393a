//! The engine: the decision module with its open requests and timers, over a [`Wire`](engine::Wire) that knows
//! the protocol. No sockets here.

pub mod clock;
pub mod engine;
pub mod registry;
pub mod types;
