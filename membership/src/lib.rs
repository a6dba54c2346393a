//! Where lists of upstreams come from.

pub mod file;
pub mod platform;
