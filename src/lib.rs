//! Load-balancing decisions for services that call other services.
#![doc = include_str!("../README.md")]

pub mod api;
mod brain;

pub use api::*;
pub use brain::Balancer;
