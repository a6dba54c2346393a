//! The platform's settings, which the adapter and the balancer both read, and ids for names.

pub mod setup;
