//! The control plane. Core machines store the configuration and the keyed operations in a replicated chain, and keep track of
//! all mesh processes.
//!
//! [`tables`] is the replicated state and does no I/O; [`core`] runs the chain; [`operator`] answers calls of operators;
//! [`status`] reports the state of a machine; and [`commands`] implements the subcommands for operators.

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
