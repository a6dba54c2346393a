//! The balancer as a program: the platform's, and the daemon with listeners, routes and pools.

pub mod cli;
pub mod daemon;
pub mod demo;
pub mod explain;
pub mod net;
pub mod platform;
mod slots;
