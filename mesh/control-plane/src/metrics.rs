//! What the control plane measures.

use sloeline_metrics::{Counter, Gauge, Metrics};

/// Whether a majority is heard.
pub static IN_CONTACT: Gauge =
    Gauge::new("sloeline_chain_in_contact", "1 while this machine holds a lease, 0 otherwise.");
/// The view.
pub static VIEW_ROUND: Gauge = Gauge::new("sloeline_chain_view_round", "Round of the view that is accepted.");
/// The last update.
pub static POSITION: Gauge = Gauge::new("sloeline_chain_position", "Number of the last update that is held.");
/// The last update that all of the chain hold.
pub static COMMITTED: Gauge =
    Gauge::new("sloeline_chain_committed", "Number of the last update that is known to be committed.");
/// Changes.
pub static CHANGES: Counter =
    Counter::new("sloeline_changes_total", "Changes that were submitted to the chain here.");
/// Changes that wait.
pub static CHANGES_OPEN: Gauge =
    Gauge::new("sloeline_changes_open", "Changes that were submitted here and have no result yet.");
/// Messages of other core machines.
pub static CHAIN_MESSAGES: Counter =
    Counter::new("sloeline_chain_messages_total", "Messages received from other core machines.");

/// All of them.
pub static METRICS: Metrics =
    &[&IN_CONTACT, &VIEW_ROUND, &POSITION, &COMMITTED, &CHANGES, &CHANGES_OPEN, &CHAIN_MESSAGES];
