//! Where lists of upstreams come from.

pub mod platform;
