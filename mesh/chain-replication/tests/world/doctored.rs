//! Machines that are wrong on purpose, so that the histories are seen to notice. What is wrong is done to their messages,
//! their disks or their clocks; the code under test has no switch for it.

use sloeline_chain_replication::message::FetchPayload;
use sloeline_chain_replication::{Message, Position, Rows, View};

/// What is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Doctored {
    /// Nothing.
    No,
    /// A write counts as synced at once.
    NoSync,
    /// A machine whose disk was lost comes back under its former identity.
    WipedVotes,
    /// A snapshot lacks its last row, and its digest was made of what is left.
    TornSnapshot,
    /// Each view counts as established at once: the outgoing set is not asked.
    OldMajorityIgnored,
    /// A learner works in a view with whatever it has.
    LearnerCountsEarly,
    /// A replica that was replaced takes no notice of newer sets of voters, and is not refused.
    ReplacedVotes,
    /// The time that leases go by is set back now and then.
    SettableClock,
}

/// What a machine says once it is doctored. `sender_view` is the view that the receiver has accepted last,
/// `receiver_position` how far the receiver's state goes.
pub fn rewrite(
    doctored: Doctored,
    message: &mut Message,
    receiver_view: Option<&View>,
    receiver_position: Position,
    receiver_in_newest: bool,
) {
    match (doctored, message) {
        (
            Doctored::TornSnapshot,
            Message::FetchReply { payload: FetchPayload::SnapshotChunk { id, rows, last: true }, .. },
        ) => {
            rows.pop();
            let rows: Rows = rows.iter().cloned().collect();
            id.digest = rows.digest();
        }
        (Doctored::OldMajorityIgnored, Message::Heartbeat(heartbeat)) if heartbeat.active => {
            heartbeat.established = true;
        }
        (Doctored::OldMajorityIgnored, Message::Promise { established, .. }) => *established = true,
        (Doctored::LearnerCountsEarly, Message::Install { base, .. }) => *base = receiver_position,
        (Doctored::LearnerCountsEarly, Message::Heartbeat(heartbeat)) if !heartbeat.active => {
            heartbeat.caught_up = true;
        }
        (Doctored::LearnerCountsEarly, Message::Promise { caught_up, .. }) => *caught_up = true,
        (Doctored::ReplacedVotes, Message::Promise { accepted, .. }) if !receiver_in_newest => {
            if let Some(view) = receiver_view {
                *accepted = Some(view.clone());
            }
        }
        (Doctored::ReplacedVotes, Message::Prepare { voters, .. }) => *voters = u64::MAX,
        _ => {}
    }
}
