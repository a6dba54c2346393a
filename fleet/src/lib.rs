//! Membership of a fleet of load-balancer instances, and limits that the whole fleet shares.
//!
//! - [`swim`]: membership and failure detection by probes and gossip (A. Das, I. Gupta, A. Motivala, "SWIM", 2002),
//!   with suspicion, and with timeouts that grow while an instance's own probes fail (A. Dadgar, J. Phillips, J.
//!   Currey, "Lifeguard", 2017).
//! - [`grants`]: one limit for the whole fleet, divided into grants that expire; the sum never exceeds the limit,
//!   whatever messages are lost or late and whichever instances fail.
//! - [`facts`]: observations that instances share; merging them in any order gives the same result.
//! - [`message`] and [`channel`]: the wire format, bounded in size, signed and protected against replay.
//! - [`shell`]: the UDP transport and the task that drives the modules above.
//!
//! All modules except the shell do no I/O and read no clock; times are microseconds of the instance's own clock, which
//! need not agree with that of any other instance.

pub mod channel;
pub mod facts;
pub mod grants;
pub mod message;
pub mod shell;

pub mod swim;
