//! Configurations on their way from one process to another.
//!
//! A configuration grows with the system and changes often, while the links that carry it stay as they are. So it is never part
//! of a message that must arrive whole within a time limit: its holder offers a version number, and whoever lacks it asks
//! for [`Piece`]s of a [`Transfer`], one after the other, from one holder at a time. What has arrived is kept: after a lost
//! piece the asker goes on where it stopped, also with another holder.
//!
//! A transfer carries the configuration packed, as the difference to one that the asker has where the holder still knows that.
//!
//! [`Source`] is the holder's part, [`Fetch`] the asker's. Both are without I/O and without a clock.

pub mod encoding;
pub mod fetch;
pub mod message;
pub mod metrics;
pub mod source;

pub use fetch::{Fetch, Progress};
pub use message::{Base, Config, Piece, PieceAnswer, PieceRequest, Transfer};
pub use source::Source;
