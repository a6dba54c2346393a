//! Where lists of upstreams come from.
//!
//! A source is a machine without I/O ([`source::Machine`]: [`etcd`], [`consul`], [`dns`], [`xds`]) and a line that carries its calls.
//! What it tells is weighed ([`doubt`]), merged with what other sources tell ([`merge`]) and handed to the engine
//! ([`follow`]). The platform's list ([`platform`]) and a file ([`mod@file`]) can be a pool's only source without any of that.

pub mod announce;
pub mod backoff;
pub mod consul;
pub mod dns;
pub mod doubt;
pub mod entry;
pub mod etcd;
pub mod file;
pub mod follow;
pub mod merge;
pub mod platform;
pub mod source;
pub mod view;
pub mod xds;
