//! The data plane: the balancer beside each application instance. Requests of this machine go out through [`front`] and
//! [`services`], which decide by the module; requests for this machine's upstream come in through [`receive`], which
//! only forwards what [`admission`] lets through; its answers share the link by [`link_shaper`]. [`beats`], [`admission`] and [`patience`] are without
//! I/O.

pub mod admission;
pub mod answer_lengths;
mod answers;
pub mod beats;
pub mod core_client;
pub mod follow;
pub mod front;
pub mod header_names;
pub mod keys;
pub mod link_shaper;
pub mod metrics;
pub mod patience;
pub mod program;
pub mod receive;
pub mod services;
pub mod shaped_body;
