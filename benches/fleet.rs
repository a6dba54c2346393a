//! What the module costs a request, a change of the list and a round of housekeeping, by the number of servers. Run by
//! hand: `cargo bench -p finchshift --bench fleet`. No I/O; the clock is made up, a request takes 5 ms of it.

use std::collections::VecDeque;
use std::time::Instant;

use finchshift::{
    Action, Balancer, Class, DedupGroup, Effect, Event, ListKind, Micros, Outcome, ServerEntry, ServerState,
    Settings,
};

const MS: Micros = 1_000;
const REQUESTS: u64 = 100_000;
/// Requests that are open at once.
const OPEN: usize = 8;
const ROUNDS: usize = 5;

struct World {
    now: Micros,
    balancer: Balancer,
    actions: Vec<Action>,
    out: VecDeque<(u64, u32)>,
    next: u64,
    timers: Vec<(Micros, u64)>,
    lost: u64,
}

impl World {
    fn new(servers: u32, balancers: u32) -> World {
        let class = Class {
            effect: Effect::Keyed { group: DedupGroup::All, window: 10_000 * MS },
            latency_target: 6_000 * MS,
            target_per_work: 0.0,
            deadline: 6_000 * MS,
            value: 1.0,
            late_value_ratio: 0.0,
            stream: false,
        };
        let mut settings = Settings::new(vec![class]);
        settings.balancers = balancers;
        let balancer = Balancer::new(settings, 7).expect("good settings");
        let mut world = World {
            now: 1_000_000 * MS,
            balancer,
            actions: Vec::new(),
            out: VecDeque::new(),
            next: 0,
            timers: Vec::new(),
            lost: 0,
        };
        let entries = (0..servers).map(|id| ServerEntry {
            ring_hash: u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ..ServerEntry::new(id)
        });
        let entries = entries.collect();
        world.handle(Event::Servers { kind: ListKind::Complete, entries });
        world
    }

    fn handle(&mut self, event: Event) {
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            match action {
                Action::Send { request, server, .. } => self.out.push_back((request, server)),
                Action::Timer { delay, token } => self.timers.push((self.now + delay, token)),
                Action::Refuse { .. } | Action::Fail { .. } => self.lost += 1,
                _ => {}
            }
        }
    }

    fn request(&mut self) {
        let id = self.next;
        self.next += 1;
        self.handle(Event::Request {
            id,
            class: 0,
            time_left: 6_000 * MS,
            tenant: None,
            work: None,
            retry: false,
        });
    }

    /// Answers the one that is out longest.
    fn answer(&mut self) {
        let Some((request, server)) = self.out.pop_front() else { return };
        let (outcome, latency) = (Outcome::Ok, 5 * MS);
        let (attempt, closed, load) = (0, true, None);
        self.handle(Event::Outcome { request, attempt, server, outcome, latency, closed, load });
    }

    fn play(&mut self, requests: u64) {
        for _ in 0..requests {
            self.now += 5 * MS / OPEN as u64;
            self.request();
            if self.out.len() >= OPEN {
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

fn median(mut figures: Vec<f64>) -> f64 {
    figures.sort_by(f64::total_cmp);
    figures[figures.len() / 2]
}

fn main() {
    println!(
        "{OPEN} requests open at once, {REQUESTS} a play, medians of {ROUNDS}; housekeeping is in the first figure"
    );
    println!("| servers | balancers | a request, ns | news of one, us | one more, us | the whole list, us |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for balancers in [1, 8] {
        for servers in [20, 100, 1_000, 10_000] {
            let mut world = World::new(servers, balancers);
            world.play(REQUESTS / 10);
            let costs = (0..ROUNDS).map(|_| {
                let start = Instant::now();
                world.play(REQUESTS);
                start.elapsed().as_nanos() as f64 / REQUESTS as f64
            });
            let request = median(costs.collect());
            let timed = |world: &mut World, kind, entries: Vec<ServerEntry>| {
                let start = Instant::now();
                world.handle(Event::Servers { kind, entries });
                start.elapsed().as_nanos() as f64 / 1e3
            };
            let (mut news, mut more, mut whole) = (Vec::new(), Vec::new(), Vec::new());
            for n in 0..101 {
                let state = if n % 2 == 0 { ServerState::Draining } else { ServerState::Ready };
                let ring = 7_u64.wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let entry = ServerEntry { state, ring_hash: ring, ..ServerEntry::new(7) };
                news.push(timed(&mut world, ListKind::Changes, vec![entry]));
                more.push(timed(&mut world, ListKind::Changes, vec![ServerEntry::new(servers + n)]));
            }
            for _ in 0..11 {
                let ring = |id: u32| u64::from(id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                let list = (0..servers)
                    .map(|id| ServerEntry { ring_hash: ring(id), ..ServerEntry::new(id) })
                    .collect();
                whole.push(timed(&mut world, ListKind::Complete, list));
            }
            println!(
                "| {servers} | {balancers} | {request:.0} | {:.1} | {:.1} | {:.0} |",
                median(news),
                median(more),
                median(whole)
            );
            assert_eq!(world.lost, 0, "requests were given up");
        }
    }
}
