//! Who exists: each process of the mesh is the source of one record about itself and its upstream. Processes pull what
//! they lack by a [`VersionVector`] of versions, one for each source. Of configurations a pull tells the newest version only; the
//! configuration itself is a transfer of its own. Rendezvous hashing names the few others that a balancer pulls from.

pub mod mesh_state;
pub mod record;
pub mod rendezvous;

pub use mesh_state::{CoreList, MeshState, Pull, PullResponse};
pub use sloeline_config_transfer::Config;

pub use record::{Condition, Record, Upstream, Version, VersionVector};
