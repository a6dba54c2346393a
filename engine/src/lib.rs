//! The request engine of a balancer: the decision module with its open requests and timers. [`core`] is the state
//! machine without I/O and without a clock. [`engine`] drives it with the clock of tokio, over a
//! [`Transport`](engine::Transport) that implements the protocol. This package opens no sockets.

pub mod clock;
pub mod core;
pub mod engine;
pub mod registry;
pub mod slots;
pub mod types;
