//! Simulates a fleet of 40, 400 and 4,000 instances: time to converge, time until a death is known, bytes sent, and
//! false deaths at 1% and 10% message loss. Run it by hand: `cargo bench -p sloeline-fleet`; `-- 40 400` selects
//! sizes.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Instant;

use sloeline_fleet::message::State;
use sloeline_fleet::swim::{Change, Settings};
use world::{SECOND, World, name};

fn main() {
    let requested: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let sizes = if requested.is_empty() { vec![40, 400, 4_000] } else { requested };
    println!(
        "| instances | converged within | bytes a second, each | peak in one second | death detected: first, median, all | false deaths at 1%, 10% loss, in a minute | took |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for size in sizes {
        let started = Instant::now();
        let mut world = World::new(size, Settings::default(), 7);
        let converged = world.run_until(300 * SECOND, World::converged);
        let (start, before): (u64, u64) =
            (world.now, world.instances.iter().map(|instance| instance.sent_bytes).sum());
        world.advance_to(start + 30 * SECOND);
        let sent = (world.instances.iter().map(|instance| instance.sent_bytes).sum::<u64>() - before)
            / 30
            / size as u64;
        let peak_bytes = world.instances.iter().map(|instance| instance.peak_bytes).max().unwrap_or(0);
        let (killed_at, killed) = (world.now, size / 2);
        world.kill(killed);
        let known_by_all =
            world.run_until(300 * SECOND, |w| w.count_in_state(&name(killed), State::Dead) == size - 1);
        let mut detected_after: Vec<u64> = world
            .changes
            .iter()
            .filter(|(at, _, change)| *at >= killed_at && *change == Change::Died(name(killed)))
            .map(|(at, ..)| at - killed_at)
            .collect();
        detected_after.sort_unstable();
        let mut alarms = Vec::new();
        for loss in [0.01, 0.1] {
            world.loss = loss;
            let since = world.now;
            world.advance_to(since + 60 * SECOND);
            alarms.push(world.deaths_since(since));
        }
        let seconds = |span: u64| format!("{:.1}", span as f64 / SECOND as f64);
        println!(
            "| {size} | {} s | {sent} | {peak_bytes} | {}, {}, {} s | {}, {} | {:.0} s |",
            converged.map_or("never".to_owned(), seconds),
            detected_after.first().copied().map_or("-".to_owned(), seconds),
            detected_after.get(detected_after.len() / 2).copied().map_or("-".to_owned(), seconds),
            known_by_all.map_or("never".to_owned(), seconds),
            alarms[0],
            alarms[1],
            started.elapsed().as_secs_f64(),
        );
    }
}
