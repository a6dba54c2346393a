//! Descriptions of interfaces: OpenAPI 3.0 and 3.1 and AsyncAPI 2.6 and 3.0 in YAML or JSON, read with the place of every value, and what they say of
//! each operation: its routes, whether a repeat is harmless, how long it takes. Silence means unsafe.
//!
//! Nothing here touches a socket; files are read by whoever implements [`refs::Files`].

mod asyncapi;
pub mod behaviour;
pub mod check;
pub mod diff;
pub mod effect;
pub mod extensions;
pub mod findings;
pub mod folder;
pub mod openapi;
pub mod refs;
pub mod tree;
