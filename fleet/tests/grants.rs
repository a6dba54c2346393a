//! All histories of three instances, to a stated depth: votes, questions and answers that are lost, late or out of order,
//! time that passes between any two of them, and an instance that dies and comes back having forgotten everything. At no time
//! is more granted than there is. The same search with a defence taken out finds the history that breaks it.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use sloeline_fleet::grants::{GrantMessage, Grants, Settings};
use sloeline_fleet::message::Name;

/// A tick is a microsecond.
const fn settings(term: u64) -> Settings {
    Settings { limit: 2, guaranteed: 0, max_instances: 3, vote_term: term, grant_duration: 2 }
}
const INSTANCES: usize = 3;

/// What may happen in a history.
#[derive(Clone, Copy)]
struct Depth {
    vote_requests: u8,
    grant_requests: u8,
    restarts: u8,
    ticks: u64,
    term: u64,
}

/// A defence that is taken out.
#[derive(Clone, Copy, PartialEq)]
enum Disabled {
    Nothing,
    /// A voter that comes back lends its vote at once.
    VoterRestartDelay,
    /// A keeper that comes back is the same life.
    FreshRunId,
    /// A grant counts from when it arrives.
    RequestTimeBase,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    instances: Vec<Grants>,
    requested_at: [u64; INSTANCES],
    /// From, to, what. An order of arrival is not kept.
    in_flight: Vec<(usize, usize, GrantMessage)>,
    vote_requests: u8,
    grant_requests: u8,
    restarts: u8,
    last_run: u64,
}

fn name(of: usize) -> Name {
    ["a", "b", "c"][of].into()
}

impl World {
    fn send(&mut self, from: usize, to: usize, message: GrantMessage) {
        self.in_flight.push((from, to, message));
        self.in_flight.sort_unstable();
    }

    /// Whether it changes nothing when a message arrives. To be lost is then the same, and what never arrives is tried anyway.
    fn has_no_effect(&self, from: usize, to: usize, message: GrantMessage) -> bool {
        let mut instance = self.instances[to].clone();
        instance.handle_message(self.now, &name(from), message).is_none() && instance == self.instances[to]
    }

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

    /// All that may happen next.
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
        for of in 0..INSTANCES {
            // Both that ask for votes are enough for every quarrel.
            if self.vote_requests < depth.vote_requests && of < 2 {
                then(format!("{of} requests votes"), &|world| {
                    world.vote_requests += 1;
                    let message = world.instances[of].request_votes(world.now);
                    (0..INSTANCES).filter(|to| *to != of).for_each(|to| world.send(of, to, message));
                });
            }
            // One of them, and the one who only asks.
            for to in (0..2).filter(|_| self.grant_requests < depth.grant_requests && of != 1) {
                then(format!("{of} asks {to}"), &|world| {
                    world.grant_requests += 1;
                    world.requested_at[of] = world.now;
                    let message = world.instances[of].request_grant(world.now, 2);
                    if of == to {
                        world.deliver(of, to, message, disabled)
                    } else {
                        world.send(of, to, message)
                    }
                });
            }
            if self.restarts < depth.restarts {
                then(format!("{of} restarts"), &|world| {
                    world.restarts += 1;
                    world.last_run += 1;
                    let run_id = if disabled == Disabled::FreshRunId {
                        1000 * of as u64
                    } else {
                        1000 * world.last_run
                    };
                    let started = if disabled == Disabled::VoterRestartDelay { 0 } else { world.now };
                    world.instances[of] = Grants::new(started, name(of), run_id, settings(depth.term));
                });
            }
        }
        next
    }
}

/// A state by 128 bits: two that share them are not to be expected among so few.
fn fingerprint(world: &World) -> u128 {
    let half = |salt: u64| {
        let mut hasher = DefaultHasher::new();
        salt.hash(&mut hasher);
        world.hash(&mut hasher);
        u128::from(hasher.finish())
    };
    half(1) << 64 | half(2)
}

/// Tries all; how many states there are, or the history that breaks the limit.
fn search(depth: Depth, disabled: Disabled) -> Result<usize, Vec<String>> {
    let all =
        (0..INSTANCES).map(|of| Grants::new(0, name(of), 1000 * of as u64, settings(depth.term))).collect();
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
        // Answers to old questions are never heard any more.
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
        // Two who would be keeper, all who ask them both, and a term that ends.
        (Depth { vote_requests: 2, grant_requests: 2, restarts: 0, ticks: 2, term: 2 }, 100_000),
        // One dies at any moment.
        (Depth { vote_requests: 2, grant_requests: 2, restarts: 1, ticks: 0, term: 2 }, 10_000),
        // Answers that are late.
        (Depth { vote_requests: 1, grant_requests: 2, restarts: 0, ticks: 3, term: 3 }, 100_000),
    ]);
}

/// Minutes and some gigabytes: `cargo test --release -p sloeline-fleet --test grants -- --ignored --nocapture`.
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
