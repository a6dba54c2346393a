//! Deliberate defects, to check that the tests detect them. They are introduced by changing messages, disks
//! or clocks; the code under test has no switch for them.

use sloeline_chain_replication::message::FetchPayload;
use sloeline_chain_replication::{Message, Position, Rows, View};

/// A defect that is introduced into the machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    /// No defect.
    None,
    /// A write is reported as synced at once.
    UnsyncedWritesReported,
    /// A machine whose disk was lost returns with its former identity.
    LostDiskKeepsIdentity,
    /// A snapshot lacks its last row, and its digest is computed without that row.
    TruncatedSnapshot,
    /// Each view counts as established at once, so the outgoing voter set is ignored.
    OutgoingMajorityIgnored,
    /// A learner becomes active in a view with an incomplete state.
    LearnerActiveTooEarly,
    /// A replaced replica ignores newer voter sets, and its proposals are not rejected.
    ReplacedReplicaProposes,
    /// The clock used for leases is occasionally set back.
    ClockSetBack,
}

/// Changes a message according to the defect. `receiver_view` is the view that the receiver has accepted
/// last, `receiver_position` the end of its state, and `receiver_in_newest` whether it is a voter of the
/// newest view.
pub fn apply(
    defect: Defect,
    message: &mut Message,
    receiver_view: Option<&View>,
    receiver_position: Position,
    receiver_in_newest: bool,
) {
    match (defect, message) {
        (
            Defect::TruncatedSnapshot,
            Message::FetchReply { payload: FetchPayload::SnapshotChunk { id, rows, last: true }, .. },
        ) => {
            rows.pop();
            let rows: Rows = rows.iter().cloned().collect();
            id.digest = rows.digest();
        }
        (Defect::OutgoingMajorityIgnored, Message::Heartbeat(heartbeat)) if heartbeat.active => {
            heartbeat.established = true;
        }
        (Defect::OutgoingMajorityIgnored, Message::Promise { established, .. }) => *established = true,
        (Defect::LearnerActiveTooEarly, Message::Install { base, .. }) => *base = receiver_position,
        (Defect::LearnerActiveTooEarly, Message::Heartbeat(heartbeat)) if !heartbeat.active => {
            heartbeat.caught_up = true;
        }
        (Defect::LearnerActiveTooEarly, Message::Promise { caught_up, .. }) => *caught_up = true,
        (Defect::ReplacedReplicaProposes, Message::Promise { accepted, .. }) if !receiver_in_newest => {
            if let Some(view) = receiver_view {
                *accepted = Some(view.clone());
            }
        }
        (Defect::ReplacedReplicaProposes, Message::Prepare { voters, .. }) => *voters = u64::MAX,
        _ => {}
    }
}
