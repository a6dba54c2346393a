//! Who exists: each process of the mesh is the source of one record about itself and its upstream. Processes pull what
//! they lack by a [`Vector`] of versions, one for each source. Of configurations a pull tells the newest version only; the
//! configuration itself is a transfer of its own. Rendezvous hashing names the few others that a balancer pulls from.

pub mod board;
pub mod record;
pub mod rendezvous;

pub use board::{Board, CoreList, News, Pull};
pub use sloeline_config_transfer::Config;

pub use record::{Condition, Record, Upstream, Vector, Version};
