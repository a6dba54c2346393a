//! Scheduling of one instance's background work, so that it does not delay requests.
//!
//! [`schedule`] decides which job runs next, without I/O and with the time passed as an argument. [`budget`] limits how
//! much of a resource background work uses, and [`pressure`] estimates when requests need the processor. [`worker`] runs
//! the jobs' turns on tokio.

pub mod budget;
pub mod pressure;
pub mod schedule;
pub mod worker;
