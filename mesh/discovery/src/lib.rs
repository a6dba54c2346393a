//! Discovery of mesh members: each process publishes one record about itself and its upstream. Processes pull newer
//! records from each other; a [`VersionVector`] with one version per source says what the requester has. A response only
//! announces the version of the newest configuration, whose content is transferred separately. Rendezvous hashing selects
//! the few processes that a balancer pulls from.

pub mod ended_upstreams;
pub mod mesh_state;
pub mod record;
pub mod rendezvous;

pub use ended_upstreams::{UpstreamOutcome, UpstreamUpdate};
pub use mesh_state::{CoreList, MeshState, Pull, PullResponse};
pub use sloeline_config_transfer::Config;

pub use record::{Condition, Record, Upstream, Version, VersionVector};
