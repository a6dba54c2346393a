//! From a request to its route, without I/O and without a clock.
//!
//! [`target`] brings what a caller wrote into the one form in which it is matched and forwarded, or says why it
//! has none. [`pattern`] holds what a route asks for, [`table`] finds the route, [`analysis`] tells which routes
//! contradict each other, and [`split`] deals requests out between pools.

pub mod analysis;
pub mod pattern;
pub mod split;
pub mod table;
pub mod target;
