//! Who exists: each process of the mesh is the source of one record about itself and its upstream. Processes pull what
//! they lack by a [`Vector`] of versions, one for each source; the configuration is one source more. Rendezvous hashing
//! names the few others that a balancer pulls from.

pub mod board;
pub mod record;
pub mod rendezvous;

pub use board::{Board, Config, CoreList, News, Pull};
pub use record::{Condition, Record, Upstream, Vector, Version};
