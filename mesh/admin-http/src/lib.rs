//! What both programs of the mesh stand on: [`control`], the calls of operators and upstreams over HTTP/1.1, [`logging`], the
//! log, [`program`], the command line, and [`reload`], the settings file as it changes.

pub mod control;
pub mod logging;
pub mod program;
pub mod reload;
