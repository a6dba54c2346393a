//! CPU cost of a request and of lists of servers, by the number of servers. Run by hand with
//! `cargo bench -p finchshift --bench fleet`. There is no I/O; on the simulated clock a request takes 5 ms.

use std::collections::VecDeque;
use std::time::Instant;

use finchshift::{
    Action, Balancer, Class, DedupGroup, Effect, Event, ListKind, Micros, Outcome, ServerEntry, ServerState,
    Settings,
};

const MS: Micros = 1_000;
/// Number of requests per measurement.
const REQUESTS: u64 = 100_000;
/// Number of requests that are open at once.
const OPEN: usize = 8;
/// Number of measurements of which the median is printed.
const ROUNDS: usize = 5;

/// A balancer and its simulated requests.
struct Simulation {
    now: Micros,
    balancer: Balancer,
    actions: Vec<Action>,
    /// Request and server of each attempt in flight, oldest first.
    in_flight: VecDeque<(u64, u32)>,
    next_id: u64,
    timers: Vec<(Micros, u64)>,
    /// Number of requests refused or failed.
    unserved: u64,
}

impl Simulation {
    fn new(servers: u32, balancers: u32) -> Simulation {
        let class = Class {
            effect: Effect::Keyed { group: DedupGroup::All, window: 10_000 * MS },
            max_runs: u32::MAX,
            latency_target: 6_000 * MS,
            target_per_work: 0.0,
            deadline: 6_000 * MS,
            value: 1.0,
            late_value_ratio: 0.0,
            stream: false,
        };
        let mut settings = Settings::new(vec![class]);
        settings.balancers = balancers;
        let balancer = Balancer::new(settings, 7).expect("valid settings");
        let mut sim = Simulation {
            now: 1_000_000 * MS,
            balancer,
            actions: Vec::new(),
            in_flight: VecDeque::new(),
            next_id: 0,
            timers: Vec::new(),
            unserved: 0,
        };
        let entries = (0..servers).map(|id| ServerEntry {
            ring_hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..ServerEntry::new(id)
        });
        let entries = entries.collect();
        sim.handle(Event::Servers { kind: ListKind::Complete, entries });
        sim
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, server, .. } => self.in_flight.push_back((request, server)),
                Action::Timer { delay, token } => self.timers.push((self.now + delay, token)),
                Action::Refuse { .. } | Action::Fail { .. } => self.unserved += 1,
                _ => {}
            }
        }
    }

    fn request(&mut self) {
        let id = self.next_id;
        self.next_id += 1;
        self.handle(Event::Request {
            id,
            class: 0,
            time_left: 6_000 * MS,
            tenant: None,
            work: None,
            retry: false,
        });
    }

    /// Answers the oldest attempt in flight.
    fn answer(&mut self) {
        let Some((request, server)) = self.in_flight.pop_front() else { return };
        let (outcome, latency) = (Outcome::Ok, 5 * MS);
        let (attempt, closed, load) = (0, true, None);
        self.handle(Event::Outcome { request, attempt, server, outcome, latency, closed, load });
    }

    /// Sends requests at a constant rate, answers them and fires timers.
    fn run_requests(&mut self, requests: u64) {
        for _ in 0..requests {
            self.now += 5 * MS / OPEN as u64;
            self.request();
            if self.in_flight.len() >= OPEN {
                self.answer();
            }
            let due = self.now;
            while let Some(at) = self.timers.iter().position(|(at, _)| *at <= due) {
                let (_, token) = self.timers.swap_remove(at);
                self.handle(Event::Timer { token });
            }
        }
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

fn main() {
    println!(
        "{OPEN} open requests, {REQUESTS} requests per run, medians of {ROUNDS} runs; requests include housekeeping"
    );
    println!(
        "| servers | balancers | request, ns | changed server, us | added server, us | complete list, us |"
    );
    println!("| --- | --- | --- | --- | --- | --- |");
    for balancers in [1, 8] {
        for servers in [20, 100, 1_000, 10_000] {
            let mut sim = Simulation::new(servers, balancers);
            sim.run_requests(REQUESTS / 10);
            let costs = (0..ROUNDS).map(|_| {
                let start = Instant::now();
                sim.run_requests(REQUESTS);
                start.elapsed().as_nanos() as f64 / REQUESTS as f64
            });
            let request = median(costs.collect());
            let timed = |sim: &mut Simulation, kind, entries: Vec<ServerEntry>| {
                let start = Instant::now();
                sim.handle(Event::Servers { kind, entries });
                start.elapsed().as_nanos() as f64 / 1e3
            };
            let (mut changed, mut added, mut complete) = (Vec::new(), Vec::new(), Vec::new());
            for n in 0..101 {
                let state = if n % 2 == 0 { ServerState::Draining } else { ServerState::Ready };
                let ring_hash = 7_u64.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let entry = ServerEntry { state, ring_hash, ..ServerEntry::new(7) };
                changed.push(timed(&mut sim, ListKind::Changes, vec![entry]));
                added.push(timed(&mut sim, ListKind::Changes, vec![ServerEntry::new(servers + n)]));
            }
            for _ in 0..11 {
                let ring = |id: u32| u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let list = (0..servers)
                    .map(|id| ServerEntry { ring_hash: ring(id), ..ServerEntry::new(id) })
                    .collect();
                complete.push(timed(&mut sim, ListKind::Complete, list));
            }
            println!(
                "| {servers} | {balancers} | {request:.0} | {:.1} | {:.1} | {:.0} |",
                median(changed),
                median(added),
                median(complete)
            );
            assert_eq!(sim.unserved, 0, "requests were refused or failed");
        }
    }
}
