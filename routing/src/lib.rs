//! Request routing, without I/O and without a clock.
//!
//! [`target`] normalizes a request target into the form that is matched and forwarded, or reports why that is not
//! possible. [`pattern`] defines the match rules of a route, [`table`] looks up the route of a request, [`analysis`]
//! finds conflicting and unreachable routes, and [`split`] distributes requests between pools by weight.

pub mod analysis;
pub mod pattern;
pub mod split;
pub mod table;
pub mod target;
