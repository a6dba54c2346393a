//! A whole mesh on loopback: core machines, balancers and stand-in upstreams, each with an address of its own in 127/8 and
//! in a thread of its own, so that one can be ended as a machine is. [`soak`] plays
//! real processes under troubles.

pub mod client;
pub mod machine;
pub mod process;
pub mod relay;
pub mod soak;
pub mod standin;
