//! The control plane: core machines keep the configuration and the keyed operations in a chain, and know who exists.
//! [`tables`] is the state, without I/O; [`core`] drives the chain; [`operator`] takes operators' calls; [`status`] tells
//! how a machine is, and [`commands`] are what operators type.

pub mod commands;
pub mod core;
pub mod disk;
pub mod followers;
pub mod links;
pub mod metrics;
pub mod operator;
pub mod program;
pub mod status;
pub mod tables;
