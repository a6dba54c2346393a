//! Stand-ins on loopback: upstreams that fail when told to, clients that measure what they are owed, and a
//! [`record::Record`] in which both sides write, so that every request can be accounted for.

pub mod client;
pub mod consul;
pub mod dns;
pub mod etcd;
pub mod grpc;
pub mod keys;
pub mod node;
pub mod record;
pub mod registry;
pub mod xds;
