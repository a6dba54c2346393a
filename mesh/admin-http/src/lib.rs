//! What both programs of the mesh stand on: [`control`], the calls of operators and upstreams over HTTP/1.1, [`logging`], the
//! log, and [`program`], the command line.

pub mod control;
pub mod logging;
pub mod program;
