//! The operator's configuration: [`model`] reads and checks it, [`table`] is what requests are routed by.

pub mod model;
pub mod table;
