//! A fleet at 40, 400 and 4,000 instances: how long it takes to meet, to know of a death, and what it sends; false alarms at
//! 1% and 10% loss. Run by hand: `cargo bench -p sloeline-fleet`; with `-- 40 400` only those sizes.

#[path = "../tests/world/mod.rs"]
mod world;

use std::time::Instant;

use sloeline_fleet::message::State;
use sloeline_fleet::swim::{Change, Settings};
use world::{SECOND, World, name};

fn main() {
    let named: Vec<usize> = std::env::args().filter_map(|a| a.parse().ok()).collect();
    let sizes = if named.is_empty() { vec![40, 400, 4_000] } else { named };
    println!(
        "| instances | met within | bytes a second, each | most in one second | a death: first, median, all know | false deaths at 1%, 10% loss, in a minute | took |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for size in sizes {
        let begun = Instant::now();
        let mut world = World::new(size, Settings::default(), 7);
        let met = world.until_so(300 * SECOND, World::agreed);
        let (start, before): (u64, u64) = (world.now, world.all.iter().map(|one| one.bytes).sum());
        world.until(start + 30 * SECOND);
        let sent = (world.all.iter().map(|one| one.bytes).sum::<u64>() - before) / 30 / size as u64;
        let most = world.all.iter().map(|one| one.most).max().unwrap_or(0);
        let (died, dead) = (world.now, size / 2);
        world.kill(dead);
        let all = world.until_so(300 * SECOND, |w| w.believe(&name(dead), State::Dead) == size - 1);
        let mut knew: Vec<u64> = world
            .told
            .iter()
            .filter(|(at, _, change)| *at >= died && *change == Change::Died(name(dead)))
            .map(|(at, ..)| at - died)
            .collect();
        knew.sort_unstable();
        let mut alarms = Vec::new();
        for loss in [0.01, 0.1] {
            world.loss = loss;
            let since = world.now;
            world.until(since + 60 * SECOND);
            alarms.push(world.deaths(since));
        }
        let seconds = |span: u64| format!("{:.1}", span as f64 / SECOND as f64);
        println!(
            "| {size} | {} s | {sent} | {most} | {}, {}, {} s | {}, {} | {:.0} s |",
            met.map_or("never".to_owned(), seconds),
            knew.first().copied().map_or("-".to_owned(), seconds),
            knew.get(knew.len() / 2).copied().map_or("-".to_owned(), seconds),
            all.map_or("never".to_owned(), seconds),
            alarms[0],
            alarms[1],
            begun.elapsed().as_secs_f64(),
        );
    }
}
