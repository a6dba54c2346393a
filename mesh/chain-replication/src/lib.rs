//! Control state in a chain: updates enter at the head, pass each member, and are answered by the tail once every member
//! of the view has them on disk. A small view, agreed on by a majority of the founders, says who the members are and
//! mends the chain. Neither I/O nor a clock: messages, finished writes and the time come in, [`Output`]s come out.
//!
//! What keeps an acknowledged update: every member of its view holds it on disk, a view's members hold a majority of the
//! founders, and a new view starts from the newest state among a majority that has promised to take nothing more of
//! older views. Two majorities meet. A disk that was lost has another number: promises that were made by the lost one
//! count for nothing, see [`View`].

pub mod message;
pub mod node;
mod proposal;
mod standing;

pub use message::{Ballot, Entry, Member, Message, Peer, Position, View};
pub use node::{Kept, Node, Output, Settings, Write};

use bytes::Bytes;

/// A row of the state: its key, and its value or nothing where it is gone.
pub type Row = (Bytes, Option<Bytes>);

/// What an update did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// For whoever asked.
    pub result: Bytes,
    /// What changes on disk.
    pub rows: Vec<Row>,
}

/// The state that the chain keeps. The same updates with the same stamps make the same state everywhere.
pub trait Tables {
    /// Applies an update. Stamps are milliseconds that never go back.
    fn apply(&mut self, stamp: u64, update: &Bytes) -> Applied;
    /// All rows.
    fn dump(&self) -> Vec<(Bytes, Bytes)>;
    /// Takes these rows in place of all others.
    fn load(&mut self, rows: Vec<(Bytes, Bytes)>);
}
