//! The engine: the decision module with its open requests and timers. [`core`] is that without I/O and without a clock;
//! [`engine`] drives it by tokio's, over a [`Transport`](engine::Transport) that knows the protocol. No sockets here.

pub mod clock;
pub mod core;
pub mod engine;
pub mod registry;
pub mod slots;
pub mod types;
