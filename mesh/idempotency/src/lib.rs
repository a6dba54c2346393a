//! Idempotency keys: an operation with a key runs at most once within a time window. A key is claimed before its operation
//! runs; [`claims`] is the table of claims that the core keeps. The machine that holds a claim records the result of the
//! run in its [`ledger`]. Both are state machines without I/O; the caller decides where they run.
//!
//! How a repeated request is answered, and why no operation runs twice:
//!
//! | claim | ledger of the claim holder | answer to the repeat |
//! | --- | --- | --- |
//! | none | | the repeat gets the claim and runs the operation |
//! | held | running | 409 |
//! | held | finished, response stored | the first response |
//! | held | finished, response lost or too large | 502: the operation ran or may have run; no guarantee |
//! | held | not asked, not reachable, or the holder has restarted | 502, as in the row above |
//! | released by its run | never ran | as if there had been no claim |
//!
//! Only the run itself releases its claim, and only if it certainly never ran and never will. A claim that arrives after the
//! release of its run is denied. All other claims end with the window.

pub mod claims;
pub mod ledger;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

pub use claims::{Claim, ClaimChanges, ClaimOutcome, ClaimUpdate, Claims, ReleasedRun};
pub use ledger::{Ledger, RunState};

/// Maximum length of an operation key in bytes; requests with longer keys are rejected.
pub const MAX_KEY_BYTES: usize = 512;

/// A response stored for repeats of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Names and values of the HTTP headers.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

impl StoredResponse {
    /// Approximate memory use in bytes.
    pub fn size(&self) -> usize {
        self.body.len()
            + self.headers.iter().map(|(name, value)| name.len() + value.len() + 64).sum::<usize>()
    }
}
