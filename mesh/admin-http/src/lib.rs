//! Common parts of the control-plane and data-plane programs: [`control`] serves calls of operators and upstreams over
//! HTTP/1.1, [`logging`] sets up the log, [`metrics`] exports metrics, [`program`] implements the command line, and [`reload`]
//! watches the settings file.

pub mod control;
pub mod logging;
pub mod metrics;
pub mod program;
pub mod reload;
