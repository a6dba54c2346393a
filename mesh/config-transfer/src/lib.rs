//! Transfer of configurations between processes.
//!
//! A configuration grows with the system and changes often, while the capacity of the links that carry it stays the same.
//! It is therefore never part of a message that must arrive whole within a time limit. Instead a holder offers a version
//! number, and a process that lacks this version requests the [`Piece`]s of a [`Transfer`] one after the other, from one
//! holder at a time. Received pieces are kept: after a lost piece the requester resumes at the same offset, also with
//! another holder.
//!
//! A transfer carries the configuration compressed. If the holder still has the version that the requester has, it sends
//! the difference to that version.
//!
//! [`Source`] implements the holder and [`Fetcher`] the requester. Neither does I/O or reads a clock.

pub mod encoding;
pub mod fetch;
pub mod message;
pub mod metrics;
pub mod source;

pub use fetch::{Fetcher, Progress};
pub use message::{Config, ConfigId, Piece, PieceAnswer, PieceRequest, Transfer};
pub use source::Source;
