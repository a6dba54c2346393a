//! The route configuration that operators submit: [`model`] parses and validates it, and [`table`] looks up the route of a
//! request.

pub mod model;
pub mod table;
