//! Where lists of upstreams come from.
//!
//! The protocol of a registry is a state machine without I/O ([`source::SourceProtocol`]: [`etcd`], [`consul`], [`dns`],
//! [`xds`]), and a transport carries its calls. Its updates are checked ([`plausibility`]), merged with those of other sources
//! ([`merge`]) and passed to the engine ([`follow`]). The platform's list ([`platform`]) and a file ([`mod@file`]) can be the
//! only source of a pool without any of that.

pub mod announce;
pub mod backoff;
pub mod consul;
pub mod dns;
pub mod entry;
pub mod etcd;
pub mod file;
pub mod follow;
pub mod merge;
pub mod platform;
pub mod plausibility;
pub mod source;
pub mod view;
pub mod xds;
