//! Keyed operations, one train to a section. A key is claimed before its operation runs: [`claims`] is the table of
//! claims that the core keeps. Whoever holds a claim keeps what came of its run: [`ledger`]. Both are state machines;
//! where they live is the caller's business.
//!
//! What a repeat is told, and why nothing runs twice:
//!
//! | the claim | the holder's ledger | a repeat gets |
//! | --- | --- | --- |
//! | none | | the claim, then a run of its own |
//! | held | at work | 409 |
//! | held | ran, answer kept | the first answer |
//! | held | ran, answer lost or too large | 502: it ran or may have run, and no promise |
//! | held | not asked, not reached, or the holder has started anew | 502: the same |
//! | taken back by its run | never ran | as if there had been none |
//!
//! A claim is taken back only by its own run, and only when that surely never ran and never will. It goes with the
//! window otherwise.

pub mod claims;
pub mod ledger;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use claims::{Claim, ClaimOutcome, ClaimUpdate, Claims};
pub use ledger::{Entry, Ledger};

/// Most bytes of a key; longer ones are refused.
pub const MAX_KEY_BYTES: usize = 512;

/// An answer that is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: Vec<(String, Bytes)>,
    /// Its body.
    pub body: Bytes,
}

impl StoredResponse {
    /// About what it takes of the memory.
    pub fn size(&self) -> usize {
        self.body.len()
            + self.headers.iter().map(|(name, value)| name.len() + value.len() + 64).sum::<usize>()
    }
}
