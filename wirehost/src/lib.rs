//! What the adapter shares with the real balancer.

pub mod setup;
