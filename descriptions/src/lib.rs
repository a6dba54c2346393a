//! Reads descriptions of interfaces, OpenAPI 3.0 and 3.1 and AsyncAPI 2.6 and 3.0, in YAML or JSON. Each value keeps its
//! location. The result is the list of operations with their routes, whether a request may be repeated, and how long it takes.
//! An operation whose description says nothing about repeats is unsafe.
//!
//! This crate opens no socket. Files are read through [`refs::Files`].

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
