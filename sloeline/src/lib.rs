//! The balancer as a program: the platform's, and the daemon with listeners, routes and pools.

pub mod cli;
pub mod ctl;
pub mod daemon;
pub mod demo;
pub mod describe;
pub mod descriptions;
pub mod explain;
pub mod members;
pub mod net;
pub mod observed;
pub mod origins;
pub mod platform;
