//! Metrics of the control plane.

use sloeline_metrics::{Counter, Gauge, Metrics};

/// Whether this machine holds a lease, which means that it is in contact with a majority: 1 or 0.
pub static IN_CONTACT: Gauge =
    Gauge::new("sloeline_chain_in_contact", "1 while this machine holds a lease, 0 otherwise.");
/// Round number of the chain view that this machine has accepted.
pub static VIEW_ROUND: Gauge = Gauge::new("sloeline_chain_view_round", "Round of the view that is accepted.");
/// Sequence number of the last update in this machine's state.
pub static POSITION: Gauge = Gauge::new("sloeline_chain_position", "Number of the last update that is held.");
/// Sequence number of the last update known to be stored by all members of the chain.
pub static COMMITTED: Gauge =
    Gauge::new("sloeline_chain_committed", "Number of the last update that is known to be committed.");
/// Counts the changes submitted to the chain on this machine.
pub static CHANGES: Counter =
    Counter::new("sloeline_changes_total", "Changes that were submitted to the chain here.");
/// Number of changes submitted on this machine that have no result yet.
pub static CHANGES_OPEN: Gauge =
    Gauge::new("sloeline_changes_open", "Changes that were submitted here and have no result yet.");
/// Counts the chain messages received from other core machines.
pub static CHAIN_MESSAGES: Counter =
    Counter::new("sloeline_chain_messages_total", "Messages received from other core machines.");

/// All metrics of the control plane.
pub static METRICS: Metrics =
    &[&IN_CONTACT, &VIEW_ROUND, &POSITION, &COMMITTED, &CHANGES, &CHANGES_OPEN, &CHAIN_MESSAGES];
