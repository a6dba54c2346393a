//! Background work of one instance: who goes next, how much, and who gives way.
//!
//! [`schedule`] decides, without I/O and with the time as an argument; [`budget`] keeps what may be used up, and
//! [`pressure`] learns when requests need the processor. [`worker`] runs turns on tokio.

pub mod budget;
pub mod pressure;
pub mod schedule;
pub mod worker;
