//! Exhaustive check of the grant protocol over all histories of three instances up to a given depth. Messages may be
//! lost, late or reordered, time may pass between any two events, and an instance may restart without its state. The
//! granted sum never exceeds the limit. With any one safeguard disabled, the same search finds a history that breaks
//! the limit.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use sloeline_fleet::grants::{GrantMessage, Grants, Settings};
use sloeline_fleet::message::Name;

/// Settings of the limit under test; one tick is a microsecond.
const fn settings(term: u64) -> Settings {
    Settings { limit: 2, guaranteed: 0, max_instances: 3, vote_term: term, grant_duration: 2 }
}
/// Number of instances.
const INSTANCES: usize = 3;

/// Bounds on the events of a history.
#[derive(Clone, Copy)]
struct Depth {
    vote_requests: u8,
    grant_requests: u8,
    restarts: u8,
    ticks: u64,
    term: u64,
}

/// Safeguard of the protocol that a search disables.
#[derive(Clone, Copy, PartialEq)]
enum Disabled {
    Nothing,
    /// A restarted voter lends its vote at once.
    VoterRestartDelay,
    /// A restarted coordinator has the run ID of its previous run.
    FreshRunId,
    /// The requester measures a grant from its arrival, not from the request.
    RequestTimeBase,
}

#[derive(Clone, PartialEq, Eq, Hash)]
/// State of all instances and the messages between them.
struct World {
    now: u64,
    instances: Vec<Grants>,
    /// When each instance last requested a grant.
    requested_at: [u64; INSTANCES],
    /// Messages in flight: sender, receiver, message. Sorted, because they may arrive in any order.
    in_flight: Vec<(usize, usize, GrantMessage)>,
    vote_requests: u8,
    grant_requests: u8,
    restarts: u8,
    /// Number of the last run started by a restart.
    last_run: u64,
}

fn name(index: usize) -> Name {
    ["a", "b", "c"][index].into()
}

impl World {
    /// Puts a message in flight.
    fn send(&mut self, from: usize, to: usize, message: GrantMessage) {
        self.in_flight.push((from, to, message));
        self.in_flight.sort_unstable();
    }

    /// Returns whether delivering the message has no effect. Such a delivery equals the loss of the message, which the
    /// search covers anyway by never delivering it.
    fn has_no_effect(&self, from: usize, to: usize, message: GrantMessage) -> bool {
        let mut instance = self.instances[to].clone();
        instance.handle_message(self.now, &name(from), message).is_none() && instance == self.instances[to]
    }

    /// Delivers a message and sends the answer.
    fn deliver(&mut self, from: usize, to: usize, mut message: GrantMessage, disabled: Disabled) {
        if let (Disabled::RequestTimeBase, GrantMessage::Grant(_, _, duration)) = (disabled, &mut message) {
            *duration += self.now - self.requested_at[to];
        }
        if let Some(answer) = self.instances[to].handle_message(self.now, &name(from), message) {
            if from == to {
                self.instances[to].handle_message(self.now, &name(to), answer);
            } else {
                self.send(to, from, answer);
            }
        }
    }

    /// Returns all possible next events with their resulting states.
    fn next(&self, depth: Depth, disabled: Disabled) -> Vec<(String, World)> {
        let mut next = Vec::new();
        let mut then = |what: String, change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            next.push((what, world));
        };
        if self.now < depth.term + depth.ticks {
            then("a tick".to_owned(), &|world| world.now += 1);
        }
        for (at, &(from, to, message)) in self.in_flight.iter().enumerate() {
            if self.has_no_effect(from, to, message) {
                continue;
            }
            then(format!("{from} to {to} arrives: {message:?}"), &|world| {
                world.in_flight.remove(at);
                world.deliver(from, to, message, disabled);
            });
        }
        for index in 0..INSTANCES {
            // Two candidates are enough for every conflict.
            if self.vote_requests < depth.vote_requests && index < 2 {
                then(format!("{index} requests votes"), &|world| {
                    world.vote_requests += 1;
                    let message = world.instances[index].request_votes(world.now);
                    (0..INSTANCES).filter(|to| *to != index).for_each(|to| world.send(index, to, message));
                });
            }
            // Requests from one candidate and from the instance that is no candidate.
            for to in (0..2).filter(|_| self.grant_requests < depth.grant_requests && index != 1) {
                then(format!("{index} asks {to}"), &|world| {
                    world.grant_requests += 1;
                    world.requested_at[index] = world.now;
                    let message = world.instances[index].request_grant(world.now, 2);
                    if index == to {
                        world.deliver(index, to, message, disabled)
                    } else {
                        world.send(index, to, message)
                    }
                });
            }
            if self.restarts < depth.restarts {
                then(format!("{index} restarts"), &|world| {
                    world.restarts += 1;
                    world.last_run += 1;
                    let run_id = if disabled == Disabled::FreshRunId {
                        1000 * index as u64
                    } else {
                        1000 * world.last_run
                    };
                    let started = if disabled == Disabled::VoterRestartDelay { 0 } else { world.now };
                    world.instances[index] = Grants::new(started, name(index), run_id, settings(depth.term));
                });
            }
        }
        next
    }
}

/// A 128-bit fingerprint of a state. Collisions are not to be expected among so few states.
fn fingerprint(world: &World) -> u128 {
    let half = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        world.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(1) << 64 | half(2)
}

/// Searches all histories. Returns the number of distinct states, or a history that exceeds the limit.
fn search(depth: Depth, disabled: Disabled) -> Result<usize, Vec<String>> {
    let all = (0..INSTANCES)
        .map(|index| Grants::new(0, name(index), 1000 * index as u64, settings(depth.term)))
        .collect();
    let first = World {
        now: depth.term,
        instances: all,
        requested_at: [0; INSTANCES],
        in_flight: Vec::new(),
        vote_requests: 0,
        grant_requests: 0,
        restarts: 0,
        last_run: 9,
    };
    let (mut seen, mut path) = (HashSet::new(), Vec::new());
    seen.insert(fingerprint(&first));
    let mut stack = vec![(String::new(), first.next(depth, disabled))];
    while let Some((_, left)) = stack.last_mut() {
        let Some((what, world)) = left.pop() else {
            stack.pop();
            path.pop();
            continue;
        };
        let granted: u64 = world.instances.iter().map(|instance| instance.granted(world.now)).sum();
        if granted > settings(depth.term).grantable() {
            path.push(what);
            return Err(path);
        }
        let mut world = world;
        // Drop answers to old requests, which no longer have an effect.
        let all = &world.instances;
        world.in_flight.retain(|(from, to, message)| match message {
            GrantMessage::Lent(_) | GrantMessage::Grant(..) => {
                let mut instance = all[*to].clone();
                instance.handle_message(world.now, &name(*from), *message);
                instance != all[*to]
            }
            _ => true,
        });
        if seen.insert(fingerprint(&world)) {
            let next = world.next(depth, disabled);
            path.push(what.clone());
            stack.push((what, next));
        }
    }
    Ok(seen.len())
}

/// Searches all histories within each depth and checks that the search visits more than the given number of states.
fn assert_limit_holds(cases: &[(Depth, usize)]) {
    for (depth, min_states) in cases {
        let begun = std::time::Instant::now();
        match search(*depth, Disabled::Nothing) {
            Ok(states) => {
                println!("{states} states, {:?}", begun.elapsed());
                assert!(states > *min_states, "{states}: too few states explored");
            }
            Err(history) => panic!("{history:#?}"),
        }
    }
}

#[test]
fn the_limit_holds_in_every_history() {
    assert_limit_holds(&[
        // Two candidates, grant requests to both, and a term that ends.
        (Depth { vote_requests: 2, grant_requests: 2, restarts: 0, ticks: 2, term: 2 }, 100_000),
        // One instance restarts at any moment.
        (Depth { vote_requests: 2, grant_requests: 2, restarts: 1, ticks: 0, term: 2 }, 10_000),
        // Late answers.
        (Depth { vote_requests: 1, grant_requests: 2, restarts: 0, ticks: 3, term: 3 }, 100_000),
    ]);
}

/// Takes minutes and some gigabytes: `cargo test --release -p sloeline-fleet --test grants -- --ignored --nocapture`.
#[test]
#[ignore = "long"]
fn the_limit_holds_in_longer_histories() {
    assert_limit_holds(&[
        (Depth { vote_requests: 2, grant_requests: 2, restarts: 0, ticks: 4, term: 2 }, 1_000_000),
        (Depth { vote_requests: 2, grant_requests: 2, restarts: 1, ticks: 1, term: 2 }, 1_000_000),
        (Depth { vote_requests: 1, grant_requests: 3, restarts: 0, ticks: 3, term: 2 }, 1_000_000),
    ]);
}

#[test]
fn without_any_one_safeguard_the_limit_breaks() {
    let restarts = Depth { vote_requests: 2, grant_requests: 2, restarts: 1, ticks: 0, term: 2 };
    let cases = [
        ("voter restart delay", Disabled::VoterRestartDelay, restarts),
        ("fresh run id", Disabled::FreshRunId, restarts),
        (
            "request time base",
            Disabled::RequestTimeBase,
            Depth { vote_requests: 1, grant_requests: 2, restarts: 0, ticks: 3, term: 3 },
        ),
    ];
    for (what, disabled, depth) in cases {
        let history = search(depth, disabled).expect_err(what);
        println!("{what}: {history:#?}");
    }
}
