//! A fleet that knows itself: which instances are alive, and what all of them may do together.
//!
//! - [`swim`]: who is alive, by probes and gossip (A. Das, I. Gupta, A. Motivala, "SWIM", 2002), with suspicion, and with
//!   patience that grows where one's own probes fail (A. Dadgar, J. Phillips, J. Currey, "Lifeguard", 2017).
//! - [`grants`]: one limit for all, divided into grants that expire; the sum never passes the limit, whatever is lost, late
//!   or dead.
//! - [`facts`]: what each has seen and all should know, merged in any order to the same.
//! - [`message`] and [`channel`]: what goes over the wire, bounded, signed, and heard once.
//! - [`shell`]: UDP around all of it.
//!
//! All but the shell is without I/O and without a clock; times are microseconds of the instance's own clock, which need not
//! agree with anybody's.

pub mod channel;
pub mod facts;
pub mod grants;
pub mod message;
pub mod shell;

pub mod swim;
