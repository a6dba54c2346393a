//! What both programs of the mesh stand on: [`control`], the calls of operators and upstreams over HTTP/1.1, and
//! [`lamps`], the log.

pub mod control;
pub mod lamps;
