//! What both programs of the mesh stand on: [`control`], the calls of operators and upstreams over HTTP/1.1, [`logging`], the
//! log, [`metrics`], figures for monitoring, [`program`], the command line, and [`reload`], the settings file as it changes.

pub mod control;
pub mod logging;
pub mod metrics;
pub mod program;
pub mod reload;
