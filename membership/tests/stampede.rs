//! Call rate at a registry that becomes reachable again, with a thousand instances.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::*;
use sloeline_membership::etcd::{Command, Etcd, Header, Reply, Settings};
use sloeline_membership::source::SourceProtocol;

const INSTANCES: usize = 1000;
const RATE: f64 = 200.0;

/// Returns the calls in each second after the failure, and after how many seconds the last instance had recovered.
fn outage(seed: u64, away: u64, compacted: bool) -> (Vec<usize>, u64) {
    let begin = 1_000 * SECOND;
    let settings =
        Settings { instances: INSTANCES as u32, fleet_call_rate: RATE, endpoints: 1, ..settings() };
    let fresh = |n: usize| Etcd::new(begin, settings.clone(), seed.wrapping_add(n as u64));
    let mut machines: Vec<Etcd> = (0..INSTANCES).map(fresh).collect();
    let header = Header { cluster: 7, revision: 100 };
    let (broken, back) = (begin + 10 * SECOND, begin + (10 + away) * SECOND);
    // Replies in transit: time, instance and index.
    let mut answers: BinaryHeap<(Reverse<u64>, usize, usize)> = BinaryHeap::new();
    let mut told: Vec<Option<Reply>> = Vec::new();
    let mut watch = vec![None; INSTANCES];
    let mut seconds = vec![0; (away + 60) as usize];
    let (mut follows, mut now, mut cut) = (vec![None; INSTANCES], begin, false);
    let end = broken + (away + 60) * SECOND - 1;
    while now < end {
        let answer = answers.peek().map(|(Reverse(at), ..)| *at);
        let due = machines.iter().map(SourceProtocol::due).min();
        let next = answer.into_iter().chain(due).min().unwrap_or(end).max(now);
        if next >= end {
            break;
        }
        if !cut && next >= broken {
            (cut, now) = (true, broken);
            for (n, machine) in machines.iter_mut().enumerate() {
                if let Some(call) = watch[n] {
                    machine.handle_reply(now, Reply::Failed { call, why: "down".into(), compacted: false });
                }
            }
        } else {
            now = next;
        }
        while answers.peek().is_some_and(|(Reverse(at), ..)| *at <= now) {
            let Some((_, n, what)) = answers.pop() else { break };
            if let Some(told) = told[what].take() {
                machines[n].handle_reply(now, told);
            }
        }
        for (n, machine) in machines.iter_mut().enumerate() {
            machine.tick(now);
            while machine.next_update().is_some() {}
            while let Some(command) = machine.next_command() {
                let up = now < broken || now >= back;
                if now >= broken && !matches!(command, Command::Leave { .. } | Command::Progress { .. }) {
                    seconds[((now - broken) / SECOND) as usize] += 1;
                }
                let event = |call, compacted, canceled| Reply::Watch {
                    call,
                    header,
                    canceled,
                    compacted,
                    fragment: false,
                    events: Vec::new(),
                };
                let answer = match command {
                    Command::Range { call, .. } | Command::Watch { call, .. } if !up => {
                        Reply::Failed { call, why: "refused".into(), compacted: false }
                    }
                    Command::Range { call, .. } => {
                        Reply::Range { call, header, kvs: Vec::new(), more: false }
                    }
                    Command::Watch { call, start, .. } => {
                        watch[n] = Some(call);
                        // The revisions since the failure were compacted.
                        let gone = compacted && now >= back && follows[n].is_none() && start == 101;
                        if now >= back {
                            follows[n] = Some(now);
                        }
                        event(call, if gone { 101 } else { 0 }, gone)
                    }
                    Command::Progress { call } => event(call, 0, false),
                    Command::Lease { .. } | Command::Leave { .. } => continue,
                };
                answers.push((Reverse(now + MS), n, told.len()));
                told.push(Some(answer));
            }
        }
    }
    let last = follows.iter().map(|f| f.map_or(u64::MAX, |at| (at - back) / SECOND)).max();
    (seconds, last.unwrap_or(u64::MAX))
}

#[test]
fn the_call_rate_stays_limited_when_a_registry_becomes_reachable_again() {
    let first = seed();
    for (away, compacted) in [(0, false), (60, false), (60, true)] {
        let (seconds, last) = outage(first, away, compacted);
        let most = seconds.iter().max().copied().unwrap_or(0);
        let all: usize = seconds.iter().sum();
        println!(
            "away {away} s, compacted {compacted}: at most {most} calls a second, {all} in all, all follow after {last} s"
        );
        // After a compaction an instance makes up to three calls: watch, range, watch.
        let each = if compacted { 3.0 } else { 1.0 };
        // In addition each watch is checked every five seconds.
        let checks = INSTANCES as f64 / 5.0;
        let bound = RATE * each + checks;
        assert!((most as f64) < bound + 5.0 * bound.sqrt(), "{most} of {bound}");
        assert!(last <= 20 + 5 * u64::from(compacted), "{last} s");
        // Ensures that the calls were counted at all.
        assert!(all >= INSTANCES * (1 + 2 * usize::from(compacted)), "{all}");
    }
}
