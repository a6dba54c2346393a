//! The laboratory: experiments on the emulated fleet, played on all cores, kept, compared and told.

pub mod experiment;
pub mod play;
pub mod report;
pub mod scenarios;
pub mod shrink;
pub mod stats;
