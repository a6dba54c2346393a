//! The status of a core machine for operators, as JSON.

use serde_json::{Value, json};
use sloeline_chain_replication::{Heartbeat, Node, Replica, VoterSet};

use crate::core::Core;
use crate::tables::State;

/// Returns the status of this machine, and what it knows of other core machines and of the balancers that pull from it.
pub fn status(core: &Core) -> Value {
    let balancer = |(name, edition): (String, Option<u32>)| json!({ "name": name, "configuration": edition.map(|edition| format!("{edition:08x}")) });
    let balancers: Vec<Value> = core.followers.recent().into_iter().map(balancer).collect();
    core.inspect(|node, now| {
        let view = node.known_view();
        let heartbeats = node.heartbeats();
        let is_voter = |replica: &Replica| view.is_some_and(|view| view.voters.contains(replica));
        let learners: Vec<Value> = heartbeats
            .iter()
            .filter(|heartbeat| !is_voter(&heartbeat.replica))
            .map(|heartbeat| machine(node, heartbeat))
            .collect();
        let voters: Vec<Value> = heartbeats
            .iter()
            .filter(|heartbeat| is_voter(&heartbeat.replica))
            .map(|heartbeat| machine(node, heartbeat))
            .collect();
        json!({
            "replica": replica(&node.replica()),
            "view": view.map(|view| view.number.round),
            "established": node.established(),
            "active": node.active(),
            "in_contact": node.holds_lease(now),
            "voter": is_voter(&node.replica()),
            "voter_set": view.map(|view| voter_set(&view.voters)),
            "outgoing_voter_set": view.and_then(|view| view.outgoing.as_ref().map(voter_set)),
            "chain": view.map(|view| view.chain.iter().map(replica).collect::<Vec<_>>()),
            "position": node.position().sequence,
            "committed": node.committed(),
            "configuration": node.state_machine().config().map(|config| format!("{:08x}", config.edition)),
            "keys": node.state_machine().keys().len(),
            "voters_heard": voters,
            "learners_heard": learners,
            "balancers": balancers,
        })
    })
}

/// Returns the address and the disk number of a replica.
fn replica(replica: &Replica) -> Value {
    json!({ "address": replica.peer.to_string(), "disk": format!("{:016x}", replica.disk) })
}

/// Returns the number and the replicas of a voter set.
fn voter_set(voters: &VoterSet) -> Value {
    json!({ "number": voters.number, "replicas": voters.replicas.iter().map(replica).collect::<Vec<_>>() })
}

/// Returns the state of another core machine according to its last heartbeat.
fn machine(node: &Node<State>, heartbeat: &Heartbeat) -> Value {
    json!({
        "replica": replica(&heartbeat.replica),
        "active": heartbeat.active,
        "in_contact": heartbeat.holds_lease,
        "healthy": heartbeat.healthy,
        "leaving": heartbeat.leaving,
        "caught_up": heartbeat.caught_up || heartbeat.active,
        "lacks": node.position().sequence.saturating_sub(heartbeat.position.sequence),
    })
}
