//! The platform's settings, which the adapter and the balancer both read, and names with numbers.

pub mod setup;
