//! What operators order while a balancer runs, and how one process takes over from another.
//!
//! [`orders`], [`call`] and [`presence`] decide, without I/O; [`control`], [`keep`] and [`link`] are the sockets and the
//! file around them.

pub mod call;
pub mod control;
pub mod keep;
pub mod link;
pub mod orders;
pub mod presence;
pub mod socket;
