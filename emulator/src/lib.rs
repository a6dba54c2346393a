//! A world of callers, balancers, network and nodes as discrete events, from one seed: designs can be tried at sizes that
//! sockets do not reach, and a run that went wrong can be had again. The balancers in it decide by the same code as the
//! daemon's (`sloeline_engine::core`).
//!
//! Times are microseconds from the beginning. Nothing here reads a clock, a file or an environment variable.

pub mod check;
pub mod host;
pub mod measure;
pub mod node;
mod play;
pub mod queue;
pub mod run;
pub mod script;
pub mod span;
pub mod streams;
pub mod truth;
mod way;
pub mod world;
