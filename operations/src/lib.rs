//! What operators order while a balancer runs, and how one process takes over from another.
//!
//! Decisions, without I/O: [`orders`], [`call`] and [`presence`] for the platform's program, [`book`], [`verbs`], [`auth`] and
//! [`snapshot`] for the daemon. Around them the listeners ([`control`]; [`socket`] and [`address`], each with its [`crowd`] of callers),
//! the files ([`keep`]; [`ledger`]) and the [`link`] between two processes.

pub mod address;
pub mod auth;
pub mod book;
pub mod call;
pub mod control;
pub mod crowd;
pub mod keep;
pub mod ledger;
pub mod link;
pub mod orders;
pub mod presence;
pub mod snapshot;
pub mod socket;
pub mod verbs;
