//! Operators' orders to a running balancer, and the handover from one process to its successor.
//!
//! Without I/O: [`orders`], [`order_call`] and [`client_policy`] for the platform's program; [`order_book`], [`command`],
//! [`signed_call`] and [`snapshot`] for the daemon. With I/O: the listeners [`order_http`], [`socket`] and [`signed_http`],
//! which share [`connection_set`]; the files [`order_file`] and [`order_store`]; and the [`handover`] between two processes.

pub mod client_policy;
pub mod command;
pub mod connection_set;
pub mod handover;
pub mod order_book;
pub mod order_call;
pub mod order_file;
pub mod order_http;
pub mod order_store;
pub mod orders;
pub mod signed_call;
pub mod signed_http;
pub mod snapshot;
pub mod socket;
