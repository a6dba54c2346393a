//! The data plane: the local balancer (sidecar) of each application instance. Requests from this machine leave through
//! [`front`] and [`services`], which use the load-balancing engine. Requests for this machine's upstream arrive through
//! [`receive`], which forwards those that [`admission`] admits; [`link_shaper`] limits the rate of long responses.
//! [`upstream_calls`] answers that upstream's heartbeats. [`heartbeats`], [`admission`] and [`request_age`] are without I/O.

pub mod admission;
pub mod core_client;
pub mod ended_upstreams;
pub mod front;
pub mod header_names;
pub mod heartbeats;
pub mod keys;
pub mod link_shaper;
pub mod metrics;
pub mod program;
pub mod pull_sources;
pub mod receive;
pub mod replaced_upstreams;
pub mod request_age;
pub mod response_lengths;
mod responses;
pub mod services;
pub mod shaped_body;
pub mod shutdown;
pub mod upstream_calls;
pub mod upstream_slots;
